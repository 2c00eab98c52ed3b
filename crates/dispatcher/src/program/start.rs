//! What the program is told at its start, and what of it may change later.

use crate::routing::{Guards, ResourceLimits, Startup};
use myrtlegauge::interface::Settings;
use myrtlegauge_wire::protocol::changelog::Changes;
use serde::Deserialize;
use std::borrow::Cow;
use std::net::SocketAddr;

const FILE: &str = "ROUTER_CONFIG";

#[derive(Deserialize)]
pub struct ConfigFile<'a> {
    #[serde(borrow)]
    pub name: Cow<'a, str>,
    #[serde(borrow)]
    listen: Cow<'a, str>,
    #[serde(borrow)]
    changelog: Cow<'a, str>,
    #[serde(borrow)]
    seed: Cow<'a, str>,
    limits: Limits,
    #[serde(borrow)]
    known: &'a serde_json::value::RawValue,
    settings: Settings,
}

#[derive(Deserialize, PartialEq)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

pub fn read() -> Result<String, String> {
    let file = std::env::var(FILE).map_err(|_| format!("{FILE} is not set"))?;
    std::fs::read_to_string(&file).map_err(|e| format!("{FILE} {file}: {e}"))
}

/// Where the change log is by a later file, and the fields in which that file differs from the one of the start
/// without effect. The events known and the seed belong to a start and are passed over.
pub fn moved(started: &str, text: &str) -> Result<(SocketAddr, Vec<&'static str>), String> {
    let (was, is) = (ConfigFile::parse(started)?, ConfigFile::parse(text)?);
    let same = [
        ("name", was.name == is.name),
        ("listen", was.listen == is.listen),
        ("limits", was.limits == is.limits),
        ("settings", was.settings == is.settings),
    ];
    let kept = same.iter().filter(|(_, same)| !same).map(|(name, _)| *name).collect();
    Ok((address("changelog", &is.changelog)?, kept))
}

fn address(what: &str, told: &str) -> Result<SocketAddr, String> {
    told.parse().map_err(|_| format!("{FILE}: {what} {told:?} is not an address"))
}

impl<'a> ConfigFile<'a> {
    pub fn parse(text: &'a str) -> Result<Self, String> {
        serde_json::from_str(text).map_err(|e| format!("{FILE}: {e}"))
    }

    pub fn startup(&self) -> Result<Startup<'_>, String> {
        let seed = u64::from_str_radix(&self.seed, 16);
        let known: Changes<'_> =
            serde_json::from_str(self.known.get()).map_err(|e| format!("{FILE}: known: {e}"))?;
        Ok(Startup {
            listen: address("listen", &self.listen)?,
            change_log: address("changelog", &self.changelog)?,
            known_changes: known,
            settings: &self.settings,
            seed: seed.map_err(|_| format!("{FILE}: seed {:?} is not hexadecimal", self.seed))?,
            guards: Guards::ALL,
            zones: None,
            member: None,
            replicas: None,
            resource_limits: ResourceLimits {
                descriptors: self.limits.sockets,
                memory_bytes: (self.limits.memory_mb * 1024.0 * 1024.0) as usize,
            },
        })
    }
}
