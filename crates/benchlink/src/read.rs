//! Messages of the wire as they are read.

use myrtlegauge::interface::{
    End, HostEntry, HostStatus, LoadReport, Note, Settings, Start, duration_from_ms, hash_host_id,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;

pub struct Envelope<'a> {
    pub name: String,
    pub body: &'a str,
}

impl<'a> Envelope<'a> {
    pub fn read(number: usize, text: &'a str) -> Result<Self, String> {
        let read: BTreeMap<String, &'a RawValue> =
            serde_json::from_str(text).map_err(|e| format!("line {number}: not a message: {e}"))?;
        let mut read = read.into_iter();
        match (read.next(), read.next()) {
            (Some((name, body)), None) => Ok(Self { name, body: body.get() }),
            _ => Err(format!("line {number}: not a message: one key is wanted")),
        }
    }
}

/// Reads a message's fields; what is missing or ill-typed is named.
pub fn body<'a, T: Deserialize<'a>>(number: usize, name: &str, text: &'a str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|e| format!("line {number}: {name}: {e}"))
}

pub fn ticket(number: usize, name: &str, text: &str) -> Result<u64, String> {
    let read = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    read.ok_or_else(|| format!("line {number}: {name}: ticket {text:?} is not 16 hex digits"))
}

#[derive(Deserialize)]
pub struct Begin {
    pub moment_ms: f64,
}

#[derive(Deserialize)]
pub struct Instance {
    pub i: u64,
}

#[derive(Deserialize)]
pub struct Init {
    pub init_seed: u64,
    pub facts: Settings,
}

#[derive(Deserialize)]
pub struct Call<'a> {
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    pub lane: usize,
    #[serde(default)]
    pub item: u64,
    pub ttl_ms: f64,
    #[serde(default)]
    pub kbytes: f64,
    #[serde(default)]
    pub purge_group: u64,
    #[serde(default)]
    pub slice: u32,
}

#[derive(Deserialize)]
pub struct Response<'a> {
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    pub hop: u32,
    pub result: u32,
    #[serde(default)]
    pub spent_ms: f64,
    #[serde(default)]
    pub no_more: bool,
    #[serde(default)]
    pub detail: u32,
    #[serde(default)]
    pub source_wait_ms: f64,
    #[serde(borrow, default)]
    pub gauge: BTreeMap<Cow<'a, str>, f64>,
}

#[derive(Deserialize)]
pub struct Named<'a> {
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
}

#[derive(Deserialize)]
pub struct Endpoints<'a> {
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    #[serde(borrow, default)]
    pub items: Vec<Item<'a>>,
}

#[derive(Deserialize)]
pub struct Item<'a> {
    #[serde(borrow)]
    pub lifecycle: Cow<'a, str>,
    #[serde(default)]
    pub since_ms: f64,
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    #[serde(default)]
    pub stripe: u64,
    #[serde(default = "one")]
    pub units: f64,
    #[serde(default)]
    pub generation_hw: usize,
    #[serde(default)]
    pub failure_domain: usize,
}

fn one() -> f64 {
    1.0
}

impl Item<'_> {
    pub fn entry(&self, host: usize) -> Option<HostEntry> {
        let standing = match &*self.lifecycle {
            "on" => HostStatus::Active,
            "fading" => HostStatus::Draining,
            "off" => HostStatus::Removed,
            _ => return None,
        };
        Some(HostEntry {
            host,
            id_hash: hash_host_id(&self.host),
            status: standing,
            start: Start::At(duration_from_ms(self.since_ms)),
            zone: self.failure_domain,
            cell: self.stripe,
            kind: self.generation_hw,
            weight: self.units,
            withheld_fraction: 0.0,
        })
    }
}

#[derive(Deserialize)]
pub struct ExpiredNow {
    #[serde(default)]
    pub oldness_ms: f64,
    pub item: Option<u64>,
    pub set_no: u64,
}

pub fn load(gauge: &BTreeMap<Cow<'_, str>, f64>) -> LoadReport {
    let told = |name: &str| gauge.get(name).copied();
    LoadReport {
        utilization: told("cpu_share"),
        in_flight: told("busy_reqs"),
        link_utilization: told("x1"),
        hit_ratio: told("x0"),
    }
}

pub fn end(code: u32) -> Option<End> {
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

pub fn note(code: u32) -> Option<Note> {
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
