//! The fraction of all keys that is shed while zones are evacuated, since the remaining zones lack the capacity for the
//! traffic.
//!
//! Keys are not requested equally often, so the fraction of the GETs that a fraction of the keys carries is not known
//! beforehand. The controller therefore measures the GETs sent under the last announced fraction, and lowers that fraction
//! in steps.

use std::time::Duration;

/// Report intervals after a change until the GETs sent show it: dispatchers receive the change, then report what they sent
/// since.
const SETTLING_REPORTS: u32 = 1;
/// Report intervals that are measured before the fraction is raised, and before it is lowered. Overload has to end soon;
/// GETs that could be admitted may wait for a more reliable mean.
const REPORTS_TO_RAISE: u32 = 3;
const REPORTS_TO_LOWER: u32 = 7;
/// By how much the fraction must be too small before it is raised.
const MIN_RAISE: f64 = 0.05;
/// By how much the fraction is lowered at a time. The keys that come back may carry more GETs than their number suggests.
/// In addition, the clients of GETs that were shed with a retry delay in the last seconds return, all at once.
const LOWER_STEP: f64 = 0.03;
/// The fraction is lowered while less than this share of the zones' capacity is sent. Keys that are new to the remaining
/// zones are not sent in full before their fills have arrived, and hosts near their capacity are sent retries of what they
/// did not answer.
const LOWER_BELOW_UTILIZATION: f64 = 0.9;
/// The smallest fraction of the keys that is admitted.
const MIN_ADMITTED: f64 = 0.1;

/// Finds the fraction of all keys to shed from the GETs that are sent.
#[derive(Clone, Debug, Default)]
pub struct ShedController {
    fraction: f64,
    changed_at: Duration,
    /// GETs sent since the change took effect.
    sent: f64,
    /// The time over which `sent` was counted.
    measured: Duration,
}

impl ShedController {
    /// Takes over a fraction that was announced by this service or by another one.
    pub fn set_fraction(&mut self, fraction: f64, now: Duration) {
        if fraction != self.fraction {
            *self = Self { fraction, changed_at: now, ..Self::default() };
        }
    }

    /// Counts the GETs that were sent in a report interval that ends now.
    pub fn record(&mut self, sent: f64, interval: Duration, now: Duration) {
        if now >= self.changed_at + interval * (1 + SETTLING_REPORTS) {
            self.sent += sent;
            self.measured += interval;
        }
    }

    /// Returns the fraction to shed if it has to change. `capacity` and `sent_rate` are in GETs a second;
    /// `sent_rate` is the recent mean, and is used only while nothing is shed.
    pub fn adjust(
        &mut self,
        capacity: f64,
        sent_rate: f64,
        report_interval: Duration,
        now: Duration,
    ) -> Option<f64> {
        let is_shedding = self.fraction > 0.0;
        if is_shedding && self.measured < report_interval * REPORTS_TO_RAISE {
            return None;
        }
        let sent = if is_shedding { self.sent / self.measured.as_secs_f64() } else { sent_rate };
        let traffic = sent / (1.0 - self.fraction).max(MIN_ADMITTED);
        let needed = |capacity: f64| if traffic > capacity { 1.0 - capacity / traffic } else { 0.0 };
        let (needed_at_capacity, needed_with_reserve) =
            (needed(capacity), needed(capacity * LOWER_BELOW_UTILIZATION));
        let may_lower = self.measured >= report_interval * REPORTS_TO_LOWER;
        let next = if needed_at_capacity - self.fraction >= MIN_RAISE {
            needed_at_capacity
        } else if self.fraction - needed_with_reserve >= LOWER_STEP && may_lower {
            self.fraction - LOWER_STEP
        } else {
            return None;
        };
        self.set_fraction(next, now);
        Some(next)
    }
}
