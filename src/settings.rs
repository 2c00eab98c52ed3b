//! Typed access to the settings by name. Dots in a name separate the levels.

use serde_json::Value;
use std::time::Duration;

/// The settings as received, by name.
pub type Settings = serde_json::Map<String, Value>;

fn find<'a>(values: &'a Settings, name: &str) -> Option<&'a Value> {
    let (first, rest) = name.split_once('.').unwrap_or((name, ""));
    rest.split('.').filter(|step| !step.is_empty()).try_fold(values.get(first)?, |value, step| match value {
        Value::Array(list) => list.get(step.parse::<usize>().ok()?),
        _ => value.get(step),
    })
}

/// The number with this name.
pub fn number(values: &Settings, name: &str) -> Result<f64, String> {
    let value = find(values, name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.as_f64().ok_or_else(|| format!("setting {name} is not a number"))
}

/// A number that must be above zero.
pub fn positive_number(values: &Settings, name: &str) -> Result<f64, String> {
    let n = number(values, name)?;
    if n > 0.0 { Ok(n) } else { Err(format!("setting {name} is not above zero")) }
}

/// The duration with this name, given in milliseconds. Negative values become zero.
pub fn duration(values: &Settings, name: &str) -> Result<Duration, String> {
    let ms = number(values, name)?.max(0.0);
    Duration::try_from_secs_f64(ms / 1e3).map_err(|_| format!("setting {name} is not a time"))
}

/// Indices of the zones whose caches are used: those of the setting `serves`, or else this router's own zone.
pub fn served_zones(told: &Settings) -> Result<Vec<usize>, String> {
    let named = list(told, "serves").unwrap_or_default();
    let named: Vec<_> = named.iter().filter_map(|zone| Some(zone.as_u64()? as usize)).collect();
    Ok(if named.is_empty() { vec![number(told, "my_zone")? as usize] } else { named })
}

pub fn flag(values: &Settings, name: &str) -> bool {
    find(values, name).and_then(Value::as_bool).unwrap_or(false)
}

pub fn text<'a>(values: &'a Settings, name: &str) -> &'a str {
    find(values, name).and_then(Value::as_str).unwrap_or("")
}

pub fn list<'a>(values: &'a Settings, name: &str) -> Result<&'a [Value], String> {
    let value = find(values, name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.as_array().map(Vec::as_slice).ok_or_else(|| format!("setting {name} is not a list"))
}
