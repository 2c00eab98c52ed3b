//! What the programs of a capacity run are told: the operator file with nine zones, and the lines of the list of hosts.

use super::errors::CapacityError;
use super::size::ZONES;
use crate::stand::process;
use serde_json::{Value, json};

/// One origin, one parent, one cache.
pub const HOSTS_LEAST: usize = 3;
/// Of so many hosts one is a parent.
const PARENT_EVERY: usize = 8;
/// The first port in the list; nobody connects there, for there are no clients.
const FIRST_PORT: usize = 20_000;

/// The operator file of a control machine that follows a change log.
pub fn control_file(listen: &str, change_log: &str) -> String {
    format!(
        "(log (level error))\n(control (name \"capacity\") (listen \"{listen}\") (change-log \"{change_log}\") \
         (drain-grace 250ms) (purge-grace 1s) (clock-error 5ms) (reports-every 250ms) (most-proxies 2000))\n{}",
        footprint()
    )
}

/// Nine zones, the caches of all of them chosen among: what costs a dispatcher most.
fn footprint() -> String {
    let zones: String = (0..ZONES).map(|zone| format!("(zone \"zone-{zone}\") ")).collect();
    let also: String = (1..ZONES).map(|zone| format!("(also \"zone-{zone}\") ")).collect();
    format!(
        "(footprint {zones}(here \"zone-0\") {also}(transfer-pace 10MB/s)\n\
         (cache-start (share 22%) (warm-within 3s)) (parent-start (share 8%) (warm-within 3s)) (purged-within 6s))\n\
         (delivery-service \"assembly-video\" (objective 500ms) (timeout 5s))\n\
         (delivery-service \"product-photo\" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))\n\
         (delivery-service \"delivery-confirm\" (objective 600ms) (timeout 5s) (effect non-idempotent) (passed-on yes))\n"
    )
}

/// The settings of the decision core.
///
/// # Errors
/// An operator file that can't be used.
pub fn settings() -> Result<Value, CapacityError> {
    process::settings(&control_file("127.0.0.1:1", "127.0.0.1:1")).map_err(CapacityError::Settings)
}

/// The zone of a host or of a dispatcher by its number.
pub fn zone_of(number: usize) -> usize {
    number % ZONES
}

/// A host's line of the list.
pub fn host_line(number: usize, status: &str) -> Value {
    let kind = match number {
        0 => "origin",
        1 => "parent",
        _ if number.is_multiple_of(PARENT_EVERY) => "parent",
        _ => "standard",
    };
    json!({"name": format!("host-{number:03}"), "address": format!("127.0.0.1:{}", FIRST_PORT + number),
        "zone": format!("zone-{}", zone_of(number)), "type": kind, "group": 0, "status": status, "weight": 4.0,
        "since_ms": 0})
}
