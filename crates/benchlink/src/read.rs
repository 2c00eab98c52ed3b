//! Parsing of the messages on the wire. Fields have the names that they have on the wire.

use myrtlegauge::interface::{
    End, HostEntry, HostStatus, LoadReport, Note, Settings, Start, duration_from_ms, hash_host_id,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// A message: an object with one key.
pub struct Envelope<'a> {
    /// The key.
    pub name: String,
    /// The JSON text of the value.
    pub body: &'a str,
}

impl<'a> Envelope<'a> {
    /// Splits a line into the name and the body of its message.
    pub fn parse(line_number: usize, text: &'a str) -> Result<Self, String> {
        let object: BTreeMap<String, &'a RawValue> =
            serde_json::from_str(text).map_err(|e| format!("line {line_number}: invalid message: {e}"))?;
        let mut entries = object.into_iter();
        match (entries.next(), entries.next()) {
            (Some((name, body)), None) => Ok(Self { name, body: body.get() }),
            _ => Err(format!("line {line_number}: invalid message: expected an object with one key")),
        }
    }
}

/// Parses the fields of a message. The error names a field that is missing or has the wrong type.
pub fn parse_body<'a, T: Deserialize<'a>>(
    line_number: usize,
    name: &str,
    text: &'a str,
) -> Result<T, String> {
    serde_json::from_str(text).map_err(|e| format!("line {line_number}: {name}: {e}"))
}

/// Parses the id of a GET.
pub fn parse_ticket(line_number: usize, name: &str, text: &str) -> Result<u64, String> {
    let ticket = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    ticket.ok_or_else(|| format!("line {line_number}: {name}: ticket {text:?} is not 16 hex digits"))
}

/// Starts a batch at a time.
#[derive(Deserialize)]
pub struct BeginBatch {
    pub moment_ms: f64,
}

/// The router instance that a message is for.
#[derive(Deserialize)]
pub struct Instance {
    pub i: u64,
}

/// Starts a router instance with its settings.
#[derive(Deserialize)]
pub struct Init {
    pub init_seed: u64,
    pub facts: Settings,
}

/// A GET from a client.
#[derive(Deserialize)]
pub struct Call<'a> {
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    /// The delivery service.
    pub lane: usize,
    /// The requested object.
    #[serde(default)]
    pub item: u64,
    /// The viewer timeout.
    pub ttl_ms: f64,
    #[serde(default)]
    pub kbytes: f64,
    #[serde(default)]
    pub purge_group: u64,
    /// The requested part of the object.
    #[serde(default)]
    pub slice: u32,
}

/// The outcome of a forward.
#[derive(Deserialize)]
pub struct Response<'a> {
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    /// The attempt.
    pub hop: u32,
    /// The code of an [`End`].
    pub result: u32,
    #[serde(default)]
    pub spent_ms: f64,
    /// Whether the GET is answered.
    #[serde(default)]
    pub no_more: bool,
    /// The code of a [`Note`].
    #[serde(default)]
    pub detail: u32,
    #[serde(default)]
    pub source_wait_ms: f64,
    /// The load report of the host.
    #[serde(borrow, default)]
    pub gauge: BTreeMap<Cow<'a, str>, f64>,
}

/// A GET that its client has abandoned.
#[derive(Deserialize)]
pub struct Abandoned<'a> {
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
}

/// An update of the host list.
#[derive(Deserialize)]
pub struct Endpoints<'a> {
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    #[serde(borrow, default)]
    pub items: Vec<Item<'a>>,
}

/// An entry of the host list.
#[derive(Deserialize)]
pub struct Item<'a> {
    #[serde(borrow)]
    pub lifecycle: Cow<'a, str>,
    #[serde(default)]
    pub since_ms: f64,
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    /// The cell.
    #[serde(default)]
    pub stripe: u64,
    /// The weight.
    #[serde(default = "default_units")]
    pub units: f64,
    /// The kind of host.
    #[serde(default)]
    pub generation_hw: usize,
    /// The zone.
    #[serde(default)]
    pub failure_domain: usize,
}

fn default_units() -> f64 {
    1.0
}

impl Item<'_> {
    /// Converts the item; none if its lifecycle is unknown.
    pub fn host_entry(&self, host: usize) -> Option<HostEntry> {
        let status = match &*self.lifecycle {
            "on" => HostStatus::Active,
            "fading" => HostStatus::Draining,
            "off" => HostStatus::Removed,
            _ => return None,
        };
        Some(HostEntry {
            host,
            id_hash: hash_host_id(&self.host),
            status,
            start: Start::At(duration_from_ms(self.since_ms)),
            zone: self.failure_domain,
            cell: self.stripe,
            kind: self.generation_hw,
            weight: self.units,
            withheld_fraction: 0.0,
        })
    }
}

/// A purge of an object or, without one, of a group.
#[derive(Deserialize)]
pub struct ExpiredNow {
    /// The time since the purge.
    #[serde(default)]
    pub oldness_ms: f64,
    pub item: Option<u64>,
    /// The group.
    pub set_no: u64,
}

/// Converts the gauges of a host.
pub fn load_report(gauge: &BTreeMap<Cow<'_, str>, f64>) -> LoadReport {
    let value = |name: &str| gauge.get(name).copied();
    LoadReport {
        utilization: value("cpu_share"),
        in_flight: value("busy_reqs"),
        link_utilization: value("x1"),
        hit_ratio: value("x0"),
    }
}

/// Returns the end of a forward for its code.
pub fn parse_end(code: u32) -> Option<End> {
    Some(match code {
        0 => End::Returned,
        1 => End::Miss,
        255 => End::Errored,
        254 => End::Full,
        253 => End::TimedOut,
        252 => End::NoConnection,
        251 => End::Reset,
        250 => End::Withdrawn,
        249 => End::NeverSent,
        _ => return None,
    })
}

/// Returns the note of a host for its code.
pub fn parse_note(code: u32) -> Option<Note> {
    Some(match code {
        0 => Note::Untold,
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledFromOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceBroke,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        _ => return None,
    })
}
