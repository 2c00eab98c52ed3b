//! Time as spans since an epoch that lies an hour before the program's start, so that a host's start or a purge
//! of some time ago is a span too.

use myrtlegauge::interface::span;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const BEFORE: Duration = Duration::from_secs(3600);

pub struct Clock {
    start: Instant,
    /// The epoch in Unix time.
    epoch: Duration,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), epoch: unix.saturating_sub(BEFORE) }
    }

    pub fn now(&self) -> Duration {
        BEFORE + self.start.elapsed()
    }

    /// Zero for what lies before the epoch.
    pub fn span(&self, unix_ms: f64) -> Duration {
        span(unix_ms).saturating_sub(self.epoch)
    }

    /// The other way round; zero for what lay before the epoch.
    pub fn unix_ms(&self, span: Duration) -> u64 {
        if span.is_zero() { 0 } else { (span + self.epoch).as_millis() as u64 }
    }
}
