//! The configuration file of the dispatcher: its fields, and which of them a reload may change.

use crate::routing::{Guards, ResourceLimits, Startup};
use myrtlegauge::interface::Settings;
use myrtlegauge_wire::protocol::changelog::Changes;
use serde::Deserialize;
use std::borrow::Cow;
use std::net::SocketAddr;

/// Environment variable with the path of the configuration file.
const PATH_VARIABLE: &str = "ROUTER_CONFIG";

/// The configuration file.
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

/// The resources that the dispatcher may use.
#[derive(Deserialize, PartialEq)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

/// Reads the file whose path is in the environment.
pub fn read_file() -> Result<String, String> {
    let path = std::env::var(PATH_VARIABLE).map_err(|_| format!("{PATH_VARIABLE} is not set"))?;
    std::fs::read_to_string(&path).map_err(|error| format!("{PATH_VARIABLE} {path}: {error}"))
}

/// Compares the file of a reload with the file of the start. Returns the address of the change log, and the names of
/// the fields whose changes have no effect while the dispatcher runs. The known events and the seed apply to the
/// start only and are not compared.
pub fn reload(startup_text: &str, text: &str) -> Result<(SocketAddr, Vec<&'static str>), String> {
    let (startup, current) = (ConfigFile::parse(startup_text)?, ConfigFile::parse(text)?);
    let fields = [
        ("name", startup.name == current.name),
        ("listen", startup.listen == current.listen),
        ("limits", startup.limits == current.limits),
        ("settings", startup.settings == current.settings),
    ];
    let ignored_fields = fields.iter().filter(|(_, is_same)| !is_same).map(|(name, _)| *name).collect();
    Ok((parse_address("changelog", &current.changelog)?, ignored_fields))
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{PATH_VARIABLE}: {field} {text:?} is not an address"))
}

impl<'a> ConfigFile<'a> {
    /// Parses the text of a configuration file.
    pub fn parse(text: &'a str) -> Result<Self, String> {
        serde_json::from_str(text).map_err(|error| format!("{PATH_VARIABLE}: {error}"))
    }

    /// Converts the file into the parameters of a start.
    pub fn startup(&self) -> Result<Startup<'_>, String> {
        let seed = u64::from_str_radix(&self.seed, 16);
        let known: Changes<'_> = serde_json::from_str(self.known.get())
            .map_err(|error| format!("{PATH_VARIABLE}: known: {error}"))?;
        Ok(Startup {
            listen: parse_address("listen", &self.listen)?,
            change_log: parse_address("changelog", &self.changelog)?,
            known_changes: known,
            settings: &self.settings,
            seed: seed.map_err(|_| format!("{PATH_VARIABLE}: seed {:?} is not hexadecimal", self.seed))?,
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
