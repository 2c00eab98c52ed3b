//! Limits and timeouts of connections and forwards, from the settings.

use super::codec;
use myrtlegauge::interface::{Settings, duration_from_ms};
use myrtlegauge::settings::{self, flag, number};
use std::time::Duration;

/// Fraction of the hosts' idle timeout after which a connection is closed here, so that nothing is written to a
/// connection that the host is closing.
const IDLE_TIME_FRACTION: f64 = 0.8;
/// Minimum time in which a partly received reply must be completed. Hosts write a reply in one piece, so the rest is
/// delayed only by a short network disturbance.
const MIN_PARTIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// The time to complete a reply is this many times the transfer time of the largest object at the rate in the settings.
const TRANSFER_TIME_FACTOR: f64 = 2.0;
/// Size of the largest object, by the protocol page.
const MAX_OBJECT_KB: f64 = 240.0;

/// Limits and timeouts of connections and forwards, from the settings.
pub struct ConnectionLimits {
    pub streams_per_connection: usize,
    pub idle_timeout: Duration,
    pub connect_timeout: Duration,
    pub can_withdraw: bool,
    pub max_forwards: u32,
    /// Time in which a partly received reply must be completed.
    pub partial_timeout: Duration,
    /// The longest time that any client waits.
    pub max_client_wait: Duration,
    /// Latency objective by class index. A GET returned later is logged.
    objectives: Vec<Duration>,
    /// Latency objective plus what the largest object may add, by class index. A GET returned later was not returned
    /// on time.
    pub max_on_time: Vec<Duration>,
    /// Kind index of the origin in the settings.
    pub origin_kind: Option<usize>,
}

impl ConnectionLimits {
    /// A class's latency objective; unlimited if the class has none.
    pub fn objective(&self, ds: usize) -> Duration {
        self.objectives.get(ds).copied().unwrap_or(Duration::MAX)
    }

    /// The latency objectives by class index.
    pub fn objectives(&self) -> &[Duration] {
        &self.objectives
    }

    /// Reads the limits from the settings.
    pub fn read(config: &Settings) -> Self {
        let services = || config.get("classes").and_then(|value| value.as_array()).into_iter().flatten();
        let max_client_wait = services().filter_map(|ds| ds.get("deadline_ms")?.as_f64()).fold(0.0, f64::max);
        let objectives = services()
            .map(|ds| duration_from_ms(ds.get("aim_ms").and_then(|value| value.as_f64()).unwrap_or(f64::MAX)))
            .collect();
        let on_time_limit = |ds: &serde_json::Value| {
            let setting = |name: &str| ds.get(name).and_then(|value| value.as_f64());
            duration_from_ms(
                setting("aim_ms").unwrap_or(f64::MAX)
                    * (1.0 + setting("aim_stretch").unwrap_or(0.0).max(0.0)),
            )
        };
        Self {
            max_on_time: services().map(on_time_limit).collect(),
            streams_per_connection: number(config, "limits.streams_per_conn")
                .map_or(1, |count| count as usize)
                .max(1),
            idle_timeout: settings::duration(config, "limits.conn_idle_ms")
                .unwrap_or_default()
                .mul_f64(IDLE_TIME_FRACTION),
            connect_timeout: settings::duration(config, "limits.connect_timeout_ms").unwrap_or_default(),
            can_withdraw: flag(config, "limits.cancel"),
            partial_timeout: number(config, "domain.flow_kb_per_s").map_or(MIN_PARTIAL_TIMEOUT, |kb_per_s| {
                duration_from_ms(MAX_OBJECT_KB / kb_per_s * TRANSFER_TIME_FACTOR * 1e3)
                    .max(MIN_PARTIAL_TIMEOUT)
            }),
            max_forwards: number(config, "limits.max_attempts").map_or(u32::MAX, |count| count as u32),
            max_client_wait: duration_from_ms(if max_client_wait > 0.0 {
                max_client_wait
            } else {
                codec::MAX_BUDGET_MS
            }),
            objectives,
            origin_kind: number(config, "domain.master_kind").ok().map(|kind| kind as usize),
        }
    }
}
