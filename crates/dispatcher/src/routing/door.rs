//! What messages name, as the module knows it: ids become small indices here, words its types.

use super::clock::Clock;
use crate::protocol::changelog::Endpoint;
use crate::protocol::fastcgi::Request;
use crate::protocol::resp::Answer;
use bytes::Bytes;
use myrtlegauge::interface::{End, Entry, Get, HostIndex, Load, Note, Standing, Values, mark, span};
use myrtlegauge::values::flag;
use std::collections::HashMap;

pub struct Door {
    pub services: Vec<Bytes>,
    /// Whether a service's GETs are answered by copies; those that are passed on are not.
    copies: Vec<bool>,
    zones: Vec<String>,
    kinds: Vec<String>,
    indices: HashMap<String, HostIndex>,
    /// Indices given back.
    free: Vec<HostIndex>,
}

impl Door {
    pub fn new(told: &Values) -> Result<Self, String> {
        let list = |name: &str| {
            let list = told.get(name).and_then(|v| v.as_array());
            list.ok_or_else(|| format!("setting {name} is missing or no list"))
        };
        let names = |name: &str| -> Result<Vec<String>, String> {
            Ok(list(name)?.iter().map(|v| v.as_str().unwrap_or_default().to_owned()).collect())
        };
        let service = |v: &serde_json::Value| {
            let name = v.get("name").and_then(|name| name.as_str());
            name.map(|name| Bytes::copy_from_slice(name.as_bytes())).ok_or("a delivery service has no name")
        };
        let services = list("classes")?.iter().map(service).collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            copies: (0..services.len()).map(|ds| !flag(told, &format!("domain.pass_on.{ds}"))).collect(),
            services,
            zones: names("zones")?,
            kinds: names("kinds")?,
            indices: HashMap::new(),
            free: Vec::new(),
        })
    }

    /// A GET by its request's fields, each in the form that the page gives it; none where one that is needed is
    /// missing or unusable. What comes this far goes on to hosts as it came.
    pub fn get(&self, request: &Request) -> Option<Get> {
        let service = request.path.strip_prefix(b"/rpc/")?;
        let usable = !request.spoilt && request.id.len() == KEY_LONG && hex(&request.id).is_some();
        let budget = number(&request.budget).filter(|&ms| ms <= BUDGET_MOST)?;
        // What does not name an object, a write for one, goes without.
        let or_none = |read: fn(&[u8]) -> Option<u64>, bytes: &[u8]| match bytes {
            b"" => Some(0),
            _ => read(bytes),
        };
        let held = request.held.is_empty() || request.held.len() <= TAG_LONG && is_token(&request.held);
        Some(Get {
            ds: self.services.iter().position(|name| name == service).filter(|_| usable && held)?,
            object: or_none(|key| hex(key).filter(|_| key.len() == KEY_LONG), &request.key)?,
            part: u32::try_from(or_none(digits, &request.part)?).ok()?,
            group: or_none(digits, &request.group).filter(|&group| group <= GROUP_MOST)?,
            size_kb: 0.0,
            viewer_timeout: span(budget),
        })
    }

    /// How an answer ends a forward; none for a word that is not known, or without the fields of a copy where the
    /// answer must be one.
    pub fn end(&self, ds: usize, answer: &Answer) -> Option<End> {
        let copy = || {
            let tag = answer.field("rev").is_some_and(|tag| !tag.is_empty() && is_token(tag));
            tag && answer.field("since").and_then(number).is_some()
        };
        Some(match &answer.word[..] {
            b"200" if !self.copies[ds] || copy() => End::Returned,
            b"304" if self.copies[ds] && copy() => End::Returned,
            b"404" => End::Miss,
            b"503" => End::Full,
            b"500" => End::Errored,
            b"504" => End::NeverSent,
            _ => return None,
        })
    }

    /// An index for a host's name, the same until it is given back; and whether it is new.
    pub fn host(&mut self, name: &str) -> (HostIndex, bool) {
        if let Some(&known) = self.indices.get(name) {
            return (known, false);
        }
        let index = self.free.pop().unwrap_or(self.indices.len());
        self.indices.insert(name.to_owned(), index);
        (index, true)
    }

    /// Gives the index of a host back.
    pub fn forget(&mut self, name: &[u8]) {
        let index = std::str::from_utf8(name).ok().and_then(|name| self.indices.remove(name));
        self.free.extend(index);
    }

    /// A line of the list, with what is wrong with it. What it leaves out is as it was known; a host that can't be
    /// placed is taken as gone.
    pub fn entry(&self, known: &Entry, told: &Endpoint<'_>, clock: &Clock) -> (Entry, Option<&'static str>) {
        let place = |list: &[String], name: &str, known: usize| match name {
            "" => Some(known),
            _ => list.iter().position(|listed| listed == name),
        };
        let standing = match &*told.status {
            "active" => Ok(Standing::On),
            "leaving" => Ok(Standing::Draining),
            "left" => Ok(Standing::Gone),
            _ => Err("a status that is not known"),
        };
        let zone = place(&self.zones, &told.zone, known.zone).ok_or("a zone that is not in the settings");
        let kind = place(&self.kinds, &told.kind, known.kind).ok_or("a type that is not in the settings");
        let fault = standing.err().or(zone.err()).or(kind.err());
        let entry = Entry {
            host: known.host,
            mark: mark(&told.name),
            standing: standing.ok().filter(|_| fault.is_none()).unwrap_or(Standing::Gone),
            started: told.since_ms.map_or(known.started, |at| clock.span(at)),
            zone: zone.unwrap_or(known.zone),
            cell: told.group.unwrap_or(known.cell),
            kind: kind.unwrap_or(known.kind),
            units: told.weight.unwrap_or(known.units),
        };
        (entry, fault)
    }
}

/// Digits of an object's or a request's id.
const KEY_LONG: usize = 16;
/// Digits of any other number, and bytes of a copy's tag.
const NUMBER_LONG: usize = 10;
const TAG_LONG: usize = 64;
/// Groups of objects are numbered up to here.
const GROUP_MOST: u64 = 255;
/// ms; no client waits longer than an hour.
pub const BUDGET_MOST: f64 = 3.6e6;

pub fn hex(bytes: &[u8]) -> Option<u64> {
    let fits = (1..=KEY_LONG).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_hexdigit);
    u64::from_str_radix(std::str::from_utf8(bytes).ok().filter(|_| fits)?, 16).ok()
}

fn digits(bytes: &[u8]) -> Option<u64> {
    let fits = (1..=NUMBER_LONG).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(bytes).ok().filter(|_| fits)?.parse().ok()
}

/// What can stand in a list of fields.
fn is_token(bytes: &[u8]) -> bool {
    bytes.iter().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// The tag alone, without the marks that HTTP puts around it.
pub fn bare(tag: &Bytes) -> Bytes {
    let tag = tag.strip_prefix(b"W/").map_or(tag.clone(), |rest| tag.slice_ref(rest));
    let inner = tag.strip_prefix(b"\"").and_then(|rest| rest.strip_suffix(b"\""));
    inner.map_or(tag.clone(), |inner| tag.slice_ref(inner))
}

pub fn number(bytes: &[u8]) -> Option<f64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

pub fn note(answer: &Answer) -> Note {
    match answer.field("why").unwrap_or_default() {
        b"TCP_HIT" => Note::Hit,
        b"TCP_MISS" => Note::Filled,
        b"TCP_MISS_ROOT" => Note::FilledFromOrigin,
        b"TCP_JOIN" => Note::Joined,
        b"TCP_STALE" => Note::Stale,
        b"PEER_DENY" => Note::SourceRefused,
        b"PEER_DEAD" => Note::SourceBroke,
        b"PEER_MISS" => Note::SourceLacks,
        b"FILL_FULL" => Note::NoFillPlace,
        b"ROOT_FAIL" => Note::OriginFailed,
        _ => Note::Untold,
    }
}

/// The load report of an answer, by the settings' names or the page's.
pub fn load(answer: &Answer) -> Load {
    let mut load = Load::default();
    for pair in answer.field("rep").unwrap_or_default().split(|&b| b == b';') {
        let Some(colon) = pair.iter().position(|&b| b == b':') else { continue };
        let value = number(&pair[colon + 1..]);
        match &pair[..colon] {
            b"util" | b"cpu_share" => load.util = value,
            b"inflight" | b"busy_reqs" => load.in_hand = value,
            b"x0" => load.hit_share = value,
            b"x1" => load.link_fill = value,
            _ => {}
        }
    }
    load
}
