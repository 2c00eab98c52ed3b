//! What messages name, as the module knows it: ids become small indices here, words its types.

use super::clock::Clock;
use crate::protocol::changelog::Endpoint;
use crate::protocol::fastcgi::Request;
use crate::protocol::resp::Answer;
use bytes::Bytes;
use myrtlegauge::interface::{End, Entry, Get, HostIndex, Load, Note, Standing, Values};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

pub struct Door {
    pub services: Vec<Bytes>,
    zones: Vec<String>,
    kinds: Vec<String>,
    indices: HashMap<String, HostIndex>,
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
        Ok(Self {
            services: list("classes")?.iter().map(service).collect::<Result<_, _>>()?,
            zones: names("zones")?,
            kinds: names("kinds")?,
            indices: HashMap::new(),
        })
    }

    /// A GET by its request's fields; none where one that is needed is missing or unusable.
    pub fn get(&self, request: &Request) -> Option<Get> {
        let service = request.path.strip_prefix(b"/rpc/")?;
        let usable =
            !request.spoilt && request.id.len() == 16 && request.id.iter().all(u8::is_ascii_hexdigit);
        let hex = |bytes: &[u8]| u64::from_str_radix(std::str::from_utf8(bytes).ok()?, 16).ok();
        // What does not name an object, a write for one, goes without.
        let or_none = |bytes: &Bytes| if bytes.is_empty() { Bytes::from_static(b"0") } else { bytes.clone() };
        Some(Get {
            ds: self.services.iter().position(|name| name == service).filter(|_| usable)?,
            object: hex(&or_none(&request.key))?,
            part: number(&or_none(&request.part))? as u32,
            group: number(&or_none(&request.group))? as u64,
            size_kb: 0.0,
            viewer_timeout: span(number(&request.budget)?),
        })
    }

    /// An index for a host's name, the same as long as the program runs; and whether it is new.
    pub fn host(&mut self, name: &str) -> (HostIndex, bool) {
        if let Some(&known) = self.indices.get(name) {
            return (known, false);
        }
        let index = self.indices.len();
        self.indices.insert(name.to_owned(), index);
        (index, true)
    }

    pub fn entry(
        &self,
        host: HostIndex,
        told: &Endpoint<'_>,
        clock: &Clock,
    ) -> Result<(Entry, SocketAddr), String> {
        let place = |list: &[String], name: &str| list.iter().position(|known| known == name);
        let wrong = |what: &str| format!("host {} has {what}", told.name);
        let standing = match &*told.status {
            "active" => Standing::On,
            "leaving" => Standing::Draining,
            "left" => Standing::Gone,
            other => return Err(wrong(&format!("the unknown status {other:?}"))),
        };
        let entry = Entry {
            host,
            mark: mark(&told.name),
            standing,
            started: clock.span(told.since_ms),
            zone: place(&self.zones, &told.zone)
                .ok_or_else(|| wrong("a zone that is not in the settings"))?,
            cell: told.group,
            kind: place(&self.kinds, &told.kind)
                .ok_or_else(|| wrong("a type that is not in the settings"))?,
            units: told.weight,
        };
        Ok((entry, told.address.parse().map_err(|_| wrong("an address that can't be read"))?))
    }
}

/// FNV-1a of the host's name: the same number at every router.
fn mark(host: &str) -> u64 {
    host.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

pub fn number(bytes: &[u8]) -> Option<f64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

pub fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

/// How an answer ends a forward; none for a word that is not known.
pub fn end(word: &[u8]) -> Option<End> {
    Some(match word {
        b"200" | b"304" => End::Returned,
        b"404" => End::Miss,
        b"503" => End::Full,
        b"500" => End::Errored,
        b"504" => End::NeverSent,
        _ => return None,
    })
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
