//! Converts the platform's change log into records: one for each purge and one for each entry of the host list.
//! Does no I/O.
//!
//! The log describes hosts by partial entries, which may omit unchanged fields, and by full lists. A record holds the
//! whole entry of a host, so partial entries are merged into the known ones, and a host that a full list omits gets an
//! entry with the status `left`. The version of an entry is the sequence number of its event, so that all replicas that
//! follow the same change log assign the same version.

use myrtlegauge_replication::{HostLine, Purge, PurgeTarget, Record, Version};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// A response of the platform's change log.
#[derive(Debug, Deserialize)]
pub struct SourceAnswer {
    /// The sequence number of the last event in the log.
    #[serde(rename = "seq")]
    pub last_seq: u64,
    /// The requested events.
    #[serde(default)]
    pub results: Vec<SourceEvent>,
}

/// An event of the change log; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SourceEvent {
    /// The sequence number.
    pub seq: u64,
    /// A host list update.
    pub fleet: Option<SourceFleet>,
    /// A purge.
    pub invalidate: Option<SourcePurge>,
}

/// An update of the host list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SourceFleet {
    /// Whether the entries are the full list.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    #[serde(default)]
    pub endpoints: Vec<Map<String, Value>>,
}

/// A purge.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SourcePurge {
    /// The id of the purged object, in hexadecimal.
    pub object: Option<String>,
    /// The purged group of objects.
    pub bucket: Option<u64>,
    /// The time of the purge in Unix milliseconds; copies made before it must not be served.
    #[serde(rename = "time")]
    pub unix_ms: f64,
}

/// An event, or a part of it, that is unusable and is skipped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The purge has no target.
    #[error("change log event {0} has a purge without an object or a group: skipping the purge")]
    MissingTarget(u64),
    /// The purge has no valid time.
    #[error("change log event {0} has a purge without a valid time: skipping the purge")]
    InvalidTime(u64),
    /// A host entry has no name.
    #[error("change log event {0} has a host entry without a name: skipping the entry")]
    MissingName(u64),
}

/// The host list as received so far.
#[derive(Debug, Default)]
pub struct SourceList {
    hosts: BTreeMap<String, Map<String, Value>>,
    /// The offset added to sequence numbers to get versions; above zero once the change log has restarted.
    version_offset: u64,
    /// The highest version assigned so far.
    max_version: u64,
}

impl SourceList {
    /// Returns the records of an event, and errors for its unusable parts.
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
            let removed = self.missing_from(&fleet.endpoints);
            records.extend(removed.into_iter().map(|name| self.remove(name, version)));
        }
        for entry in &fleet.endpoints {
            match entry.get("name").and_then(Value::as_str) {
                Some(name) => records.push(self.merge(name, entry, version)),
                None => errors.push(SourceError::MissingName(seq)),
            }
        }
    }

    fn version(&mut self, seq: u64) -> Version {
        let version = self.version_offset + seq;
        self.max_version = self.max_version.max(version);
        Version(version)
    }

    /// Returns the names of known hosts that a full list omits.
    fn missing_from(&self, entries: &[Map<String, Value>]) -> Vec<String> {
        let is_listed =
            |name: &str| entries.iter().any(|entry| entry.get("name").and_then(Value::as_str) == Some(name));
        self.hosts.keys().filter(|name| !is_listed(name)).cloned().collect()
    }

    fn remove(&mut self, name: String, version: Version) -> Record {
        let mut entry = self.hosts.remove(&name).unwrap_or_default();
        entry.insert("status".to_owned(), STATUS_LEFT.into());
        Record::HostLine(HostLine { name, version, endpoint: Value::Object(entry) })
    }

    fn merge(&mut self, name: &str, entry: &Map<String, Value>, version: Version) -> Record {
        let known = self.hosts.entry(name.to_owned()).or_default();
        known.extend(entry.iter().map(|(field, value)| (field.clone(), value.clone())));
        Record::HostLine(HostLine { name: name.to_owned(), version, endpoint: Value::Object(known.clone()) })
    }

    /// Handles a restart of the change log: the versions of its next events are above all versions assigned so far. The
    /// known hosts are kept until a full list arrives.
    pub fn on_log_restart(&mut self) {
        self.version_offset = self.max_version;
    }

    /// Handles the rejection of a version that is lower than one known to replicas. Returns true if the change log, whose
    /// last event is `last_seq`, restarted before this replica started; versions are above `known` from then on.
    pub fn rebase_if_restarted(&mut self, known: Version, last_seq: u64) -> bool {
        let has_restarted = self.version_offset + last_seq < known.0;
        if has_restarted {
            self.version_offset = known.0;
            self.max_version = self.max_version.max(known.0);
        }
        has_restarted
    }
}

/// The status of a host that was removed from the list.
const STATUS_LEFT: &str = "left";

impl SourcePurge {
    /// Converts the purge into a record. The time is rounded up, so that no copy escapes the purge.
    fn record(&self, seq: u64) -> Result<Record, SourceError> {
        let object = self.object.clone().map(PurgeTarget::Object);
        let target = object.or(self.bucket.map(PurgeTarget::Group)).ok_or(SourceError::MissingTarget(seq))?;
        let is_valid = self.unix_ms.is_finite() && self.unix_ms >= 0.0;
        let unix_ms = is_valid.then(|| self.unix_ms.ceil() as u64).ok_or(SourceError::InvalidTime(seq))?;
        Ok(Record::Purge(Purge { target, unix_ms }))
    }
}
