//! The names of the list of hosts, as the module knows them: places and kinds by their position in the settings, hosts by
//! small indices that are given back.

use crate::clock::Clock;
use crate::protocol::changelog::Endpoint;
use myrtlegauge::interface::{HostEntry, HostIndex, HostStatus, Settings, Start, hash_host_id};
use std::collections::HashMap;
use std::time::Duration;

pub struct Places {
    zones: Vec<String>,
    kinds: Vec<String>,
    indices: HashMap<String, HostIndex>,
    /// Indices given back.
    free: Vec<HostIndex>,
}

impl Places {
    pub fn new(told: &Settings) -> Result<Self, String> {
        let names = |name: &str| -> Result<Vec<String>, String> {
            let list = told.get(name).and_then(|v| v.as_array());
            let list = list.ok_or_else(|| format!("setting {name} is missing or no list"))?;
            Ok(list.iter().map(|v| v.as_str().unwrap_or_default().to_owned()).collect())
        };
        Ok(Self { zones: names("zones")?, kinds: names("kinds")?, indices: HashMap::new(), free: Vec::new() })
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

    /// The names of the zones, by their numbers.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The index of a host that is known by this name.
    pub fn known(&self, name: &str) -> Option<HostIndex> {
        self.indices.get(name).copied()
    }

    /// Gives the index of a host back.
    pub fn forget(&mut self, name: &[u8]) {
        let index = std::str::from_utf8(name).ok().and_then(|name| self.indices.remove(name));
        self.free.extend(index);
    }

    /// A line of the list, with what is wrong with it. What it leaves out is as it was known; a host that can't be
    /// placed is taken as gone.
    pub fn entry(
        &self,
        known: &HostEntry,
        told: &Endpoint<'_>,
        clock: &Clock,
        now: Duration,
    ) -> (HostEntry, Option<&'static str>) {
        let place = |list: &[String], name: &str, known: usize| match name {
            "" => Some(known),
            _ => list.iter().position(|listed| listed == name),
        };
        let standing = match &*told.status {
            "active" => Ok(HostStatus::Active),
            "leaving" => Ok(HostStatus::Draining),
            "left" => Ok(HostStatus::Removed),
            _ => Err("a status that is not known"),
        };
        let zone = place(&self.zones, &told.zone, known.zone).ok_or("a zone that is not in the settings");
        let kind = place(&self.kinds, &told.kind, known.kind).ok_or("a type that is not in the settings");
        let fault = standing.err().or(zone.err()).or(kind.err());
        let entry = HostEntry {
            host: known.host,
            id_hash: hash_host_id(&told.name),
            status: standing.ok().filter(|_| fault.is_none()).unwrap_or(HostStatus::Removed),
            start: told.since_ms.map_or(known.start, |at| Start::Claimed(clock.claim(at, now))),
            zone: zone.unwrap_or(known.zone),
            cell: told.group.unwrap_or(known.cell),
            kind: kind.unwrap_or(known.kind),
            weight: told.weight.unwrap_or(known.weight),
            withheld_fraction: 0.0,
        };
        (entry, fault)
    }
}
