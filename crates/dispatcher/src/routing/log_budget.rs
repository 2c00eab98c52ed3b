//! Limits on the number of log lines.

use std::time::Duration;

/// Interval of the log budgets: one line on faults and `MAX_END_LINES` lines on GETs in each.
pub const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// Limits the log lines in each `LOG_INTERVAL` and counts the lines suppressed since the last one written.
///
/// It keeps logging from making an overload worse, since every GET shed or late would be a line. The cost is that a
/// fault that needs more lines can't be followed in full; the next line gives the number of suppressed ones.
#[derive(Debug, Default, PartialEq)]
pub struct LogBudget {
    renews_at: Duration,
    remaining: u32,
    suppressed: u64,
}

impl LogBudget {
    /// Returns the number of lines suppressed before this one if a line may be written now, else `None`.
    pub fn take(&mut self, now: Duration, lines_per_interval: u32) -> Option<u64> {
        if now >= self.renews_at {
            (self.renews_at, self.remaining) = (now + LOG_INTERVAL, lines_per_interval);
        }
        if self.remaining == 0 {
            self.suppressed += 1;
            return None;
        }
        self.remaining -= 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
