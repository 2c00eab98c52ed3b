//! Rate limit for warnings: at most one per interval, with the number of suppressed warnings.

use std::time::Duration;

/// The minimum time between two logged warnings.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limiter for warnings, with a count of those suppressed since the last one that was logged.
#[derive(Default)]
pub struct LogBudget {
    next_at: Duration,
    suppressed: u64,
}

impl LogBudget {
    /// Logs a warning, or counts it as suppressed if the interval since the last one is not over.
    pub fn warn(&mut self, now: Duration, message: &dyn std::fmt::Display) {
        if now < self.next_at {
            self.suppressed += 1;
            return;
        }
        self.next_at = now + LOG_INTERVAL;
        let suppressed = std::mem::take(&mut self.suppressed);
        log::warn!(unsaid = suppressed; "replication: {message}");
    }
}
