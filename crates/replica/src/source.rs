//! The platform's change log as records: one for each purge and for each line of the list of hosts. Without I/O.
//!
//! The log tells of a host by lines that may leave out what has not changed, and by whole lists; a record is a host's whole
//! line, so lines are laid over what is known, and whom a whole list leaves out gets a line that says it has left. A
//! line's version is its event's number, so that all replicas that follow one change log give it the same.

use myrtlegauge_replication::{HostLine, Purge, PurgeTarget, Record, Version};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// One answer of the platform's change log.
#[derive(Debug, Deserialize)]
pub struct SourceAnswer {
    /// The number of its last event.
    #[serde(rename = "seq")]
    pub last_seq: u64,
    /// Events that were asked for.
    #[serde(default)]
    pub results: Vec<SourceEvent>,
}

/// One event; what it tells of that is not known here is passed over.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SourceEvent {
    /// Its number.
    pub seq: u64,
    /// Hosts.
    pub fleet: Option<SourceFleet>,
    /// A purge.
    pub invalidate: Option<SourcePurge>,
}

/// Lines of the list of hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SourceFleet {
    /// Whether these are all there are.
    #[serde(default)]
    pub snapshot: bool,
    /// The lines.
    #[serde(default)]
    pub endpoints: Vec<Map<String, Value>>,
}

/// A purge.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SourcePurge {
    /// The object, in hexadecimal.
    pub object: Option<String>,
    /// The group of objects.
    pub bucket: Option<u64>,
    /// Unix milliseconds; copies from before it are not to be served.
    #[serde(rename = "time")]
    pub unix_ms: f64,
}

/// An event, or a part of it, that says nothing usable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// No target.
    #[error("event {0} purges neither an object nor a group: it is passed over")]
    MissingTarget(u64),
    /// No time.
    #[error("event {0} purges at no time that can be read: it is passed over")]
    InvalidTime(u64),
    /// A host without a name.
    #[error("event {0} has a host without a name: the line is passed over")]
    MissingName(u64),
}

/// The list of hosts as told so far.
#[derive(Debug, Default)]
pub struct SourceList {
    hosts: BTreeMap<String, Map<String, Value>>,
    /// What event numbers begin at: over zero once the change log has begun anew.
    base: u64,
    /// The highest version that was given.
    highest: u64,
}

impl SourceList {
    /// The records that an event comes to, and what of it is unusable.
    pub fn apply(&mut self, event: &SourceEvent) -> (Vec<Record>, Vec<SourceError>) {
        let (mut records, mut errors) = (Vec::new(), Vec::new());
        if let Some(purge) = &event.invalidate {
            match purge.record(event.seq) {
                Ok(record) => records.push(record),
                Err(error) => errors.push(error),
            }
        }
        if let Some(fleet) = &event.fleet {
            self.apply_fleet(event.seq, fleet, &mut records, &mut errors);
        }
        (records, errors)
    }

    fn apply_fleet(
        &mut self,
        seq: u64,
        fleet: &SourceFleet,
        records: &mut Vec<Record>,
        errors: &mut Vec<SourceError>,
    ) {
        let version = self.version(seq);
        if fleet.snapshot {
            let gone = self.left_out(&fleet.endpoints);
            records.extend(gone.into_iter().map(|name| self.leave(name, version)));
        }
        for line in &fleet.endpoints {
            match line.get("name").and_then(Value::as_str) {
                Some(name) => records.push(self.lay_over(name, line, version)),
                None => errors.push(SourceError::MissingName(seq)),
            }
        }
    }

    fn version(&mut self, seq: u64) -> Version {
        let version = self.base + seq;
        self.highest = self.highest.max(version);
        Version(version)
    }

    /// Names that are known and not among the lines of a whole list.
    fn left_out(&self, lines: &[Map<String, Value>]) -> Vec<String> {
        let is_listed =
            |name: &str| lines.iter().any(|line| line.get("name").and_then(Value::as_str) == Some(name));
        self.hosts.keys().filter(|name| !is_listed(name)).cloned().collect()
    }

    fn leave(&mut self, name: String, version: Version) -> Record {
        let mut line = self.hosts.remove(&name).unwrap_or_default();
        line.insert("status".to_owned(), STATUS_LEFT.into());
        Record::HostLine(HostLine { name, version, endpoint: Value::Object(line) })
    }

    fn lay_over(&mut self, name: &str, line: &Map<String, Value>, version: Version) -> Record {
        let known = self.hosts.entry(name.to_owned()).or_default();
        known.extend(line.iter().map(|(field, value)| (field.clone(), value.clone())));
        Record::HostLine(HostLine { name: name.to_owned(), version, endpoint: Value::Object(known.clone()) })
    }

    /// The change log began anew: its next numbers are over all that were given. The list stays until it is told whole.
    pub fn on_log_restart(&mut self) {
        self.base = self.highest;
    }

    /// A version under one that replicas know was refused. True: the change log, whose last event is `last`, began anew
    /// before this replica started, and its lines are over the known version from now on.
    pub fn rebase_if_restarted(&mut self, known: Version, last_seq: u64) -> bool {
        let has_restarted = self.base + last_seq < known.0;
        if has_restarted {
            self.base = known.0;
            self.highest = self.highest.max(known.0);
        }
        has_restarted
    }
}

/// How the list says that a host is no more.
const STATUS_LEFT: &str = "left";

impl SourcePurge {
    /// Its record; the time is rounded up, which purges no less.
    fn record(&self, seq: u64) -> Result<Record, SourceError> {
        let object = self.object.clone().map(PurgeTarget::Object);
        let target = object.or(self.bucket.map(PurgeTarget::Group)).ok_or(SourceError::MissingTarget(seq))?;
        let is_time = self.unix_ms.is_finite() && self.unix_ms >= 0.0;
        let unix_ms = is_time.then(|| self.unix_ms.ceil() as u64).ok_or(SourceError::InvalidTime(seq))?;
        Ok(Record::Purge(Purge { target, unix_ms }))
    }
}
