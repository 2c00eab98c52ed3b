//! Typed access to the settings by name. Dots in a name separate the levels, and a number selects an entry of a list.

use serde_json::Value;
use std::time::Duration;

/// The settings as received, by name.
pub type Settings = serde_json::Map<String, Value>;

fn find<'a>(settings: &'a Settings, name: &str) -> Option<&'a Value> {
    let (first, rest) = name.split_once('.').unwrap_or((name, ""));
    let mut segments = rest.split('.').filter(|segment| !segment.is_empty());
    segments.try_fold(settings.get(first)?, |value, segment| match value {
        Value::Array(list) => list.get(segment.parse::<usize>().ok()?),
        _ => value.get(segment),
    })
}

/// The number with this name.
pub fn number(settings: &Settings, name: &str) -> Result<f64, String> {
    let value = find(settings, name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.as_f64().ok_or_else(|| format!("setting {name} is not a number"))
}

/// A number that must be above zero.
pub fn positive_number(settings: &Settings, name: &str) -> Result<f64, String> {
    let value = number(settings, name)?;
    if value > 0.0 { Ok(value) } else { Err(format!("setting {name} is not above zero")) }
}

/// The duration with this name, given in milliseconds. Negative values become zero.
pub fn duration(settings: &Settings, name: &str) -> Result<Duration, String> {
    let ms = number(settings, name)?.max(0.0);
    Duration::try_from_secs_f64(ms / 1e3).map_err(|_| format!("setting {name} is not a valid duration"))
}

/// Indices of the zones whose caches are used: those of the setting `serves`, or else this router's own zone.
pub fn served_zones(settings: &Settings) -> Result<Vec<usize>, String> {
    let zones = list(settings, "serves").unwrap_or_default();
    let zones: Vec<_> = zones.iter().filter_map(|zone| Some(zone.as_u64()? as usize)).collect();
    Ok(if zones.is_empty() { vec![number(settings, "my_zone")? as usize] } else { zones })
}

/// The boolean with this name; false if it is missing or of another type.
pub fn flag(settings: &Settings, name: &str) -> bool {
    find(settings, name).and_then(Value::as_bool).unwrap_or(false)
}

/// The string with this name; empty if it is missing or of another type.
pub fn text<'a>(settings: &'a Settings, name: &str) -> &'a str {
    find(settings, name).and_then(Value::as_str).unwrap_or("")
}

/// The list with this name.
pub fn list<'a>(settings: &'a Settings, name: &str) -> Result<&'a [Value], String> {
    let value = find(settings, name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.as_array().map(Vec::as_slice).ok_or_else(|| format!("setting {name} is not a list"))
}
