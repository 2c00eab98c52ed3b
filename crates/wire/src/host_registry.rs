//! Maps the names in the host list to the indices that the routing module uses. Zones and kinds have their position in
//! the settings as index; hosts have small indices that are reused.

use crate::clock::Clock;
use crate::protocol::changelog::Endpoint;
use myrtlegauge::interface::{HostEntry, HostIndex, HostStatus, Settings, Start, hash_host_id};
use std::collections::HashMap;
use std::time::Duration;

/// The indices of zones, kinds and hosts, by name.
pub struct HostRegistry {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Indices of the registered hosts, by name.
    indices: HashMap<String, HostIndex>,
    /// Indices of unregistered hosts, for reuse.
    free_indices: Vec<HostIndex>,
}

impl HostRegistry {
    /// Reads the lists `zones` and `kinds` from the settings.
    ///
    /// # Errors
    /// One of the two settings is missing or is not a list.
    pub fn new(settings: &Settings) -> Result<Self, String> {
        let names = |name: &str| -> Result<Vec<String>, String> {
            let list = settings.get(name).and_then(|value| value.as_array());
            let list = list.ok_or_else(|| format!("setting {name} is missing or not a list"))?;
            Ok(list.iter().map(|value| value.as_str().unwrap_or_default().to_owned()).collect())
        };
        Ok(Self {
            zones: names("zones")?,
            kinds: names("kinds")?,
            indices: HashMap::new(),
            free_indices: Vec::new(),
        })
    }

    /// Returns the index of a host and whether it was assigned by this call. A name keeps its index until it is
    /// unregistered.
    pub fn register(&mut self, name: &str) -> (HostIndex, bool) {
        if let Some(&index) = self.indices.get(name) {
            return (index, false);
        }
        let index = self.free_indices.pop().unwrap_or(self.indices.len());
        self.indices.insert(name.to_owned(), index);
        (index, true)
    }

    /// The names of the zones, in the order of their indices.
    pub fn zone_names(&self) -> &[String] {
        &self.zones
    }

    /// The index of a registered host.
    pub fn index_of(&self, name: &str) -> Option<HostIndex> {
        self.indices.get(name).copied()
    }

    /// Removes a host and frees its index for reuse.
    pub fn unregister(&mut self, name: &[u8]) {
        let index = std::str::from_utf8(name).ok().and_then(|name| self.indices.remove(name));
        self.free_indices.extend(index);
    }

    /// Converts an endpoint of the host list into an entry, and returns it with a description of an invalid field, if
    /// there is one. Fields that the endpoint omits keep the values of `known`. A host with an unknown status, zone or type is
    /// treated as removed.
    pub fn resolve_entry(
        &self,
        known: &HostEntry,
        endpoint: &Endpoint<'_>,
        clock: &Clock,
        now: Duration,
    ) -> (HostEntry, Option<&'static str>) {
        let index_in = |list: &[String], name: &str, known: usize| match name {
            "" => Some(known),
            _ => list.iter().position(|candidate| candidate == name),
        };
        let status = match &*endpoint.status {
            "active" => Ok(HostStatus::Active),
            "leaving" => Ok(HostStatus::Draining),
            "left" => Ok(HostStatus::Removed),
            _ => Err("an unknown status"),
        };
        let zone =
            index_in(&self.zones, &endpoint.zone, known.zone).ok_or("a zone that is not in the settings");
        let kind =
            index_in(&self.kinds, &endpoint.kind, known.kind).ok_or("a type that is not in the settings");
        let error = status.err().or(zone.err()).or(kind.err());
        let entry = HostEntry {
            host: known.host,
            id_hash: hash_host_id(&endpoint.name),
            status: status.ok().filter(|_| error.is_none()).unwrap_or(HostStatus::Removed),
            start: endpoint
                .since_ms
                .map_or(known.start, |unix_ms| Start::Claimed(clock.start_claim(unix_ms, now))),
            zone: zone.unwrap_or(known.zone),
            cell: endpoint.group.unwrap_or(known.cell),
            kind: kind.unwrap_or(known.kind),
            weight: endpoint.weight.unwrap_or(known.weight),
            withheld_fraction: 0.0,
        };
        (entry, error)
    }
}
