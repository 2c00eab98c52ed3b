//! Whether a host takes GETs: its status in the host list, and its health by its recent outcomes.

use crate::decide::INITIAL_BACKOFF;
use crate::interface::HostStatus;
use crate::state::HostState;
use myrtlegauge_recovery::{FillOutcome, bits::count_recent};
use std::time::Duration;

/// Number of recent outcomes by which a host is judged. At least half of them must be successes. The number is small
/// so that a dead host is found in time.
const JUDGED_OUTCOMES: u32 = 4;
/// A failed host without a success for longer than this may have been restarted, and is treated as cold on its
/// return.
const ASSUMED_RESTART_AFTER: Duration = Duration::from_millis(2000);

impl HostState {
    pub(crate) fn is_active(&self) -> bool {
        self.entry.status == HostStatus::Active
    }

    pub(crate) fn has_failed(&self) -> bool {
        count_recent(self.recent_failures, JUDGED_OUTCOMES) > JUDGED_OUTCOMES / 2
    }

    /// Whether the host takes GETs. A failed host takes one trial at a time after its backoff. A silent host, with an
    /// overdue forward and no answer since, is skipped. Forwards in flight to it are not withdrawn, since a fill may
    /// still be running and a second one would cost the source twice.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        let is_silent = self.link.in_flight > 0.0 && now >= self.answer_due;
        self.is_active()
            && !is_silent
            && (!self.has_failed() || now >= self.backoff_until && self.link.in_flight == 0.0)
    }

    /// Records the end of a fill from this host. Returns whether the host is congested.
    pub(crate) fn record_fill(&mut self, outcome: &FillOutcome, now: Duration) -> bool {
        self.fill_limiter.on_completed(self.fills_in_flight, outcome, now)
    }

    /// Records an outcome by which the host's health is judged. This protects GETs from dead, silent and unreachable
    /// hosts, and from cold ones that refuse work. It does harm to hosts that are only overloaded.
    pub(crate) fn record_outcome(&mut self, now: Duration, success: bool) {
        let had_failed = self.has_failed();
        self.recent_failures = self.recent_failures << 1 | u32::from(!success);
        if success {
            if had_failed && now.saturating_sub(self.last_success) > ASSUMED_RESTART_AFTER {
                self.recovered_at = now;
            }
            (self.last_success, self.failed_trials) = (now, 0);
        } else if self.has_failed() && (!had_failed || now >= self.backoff_until) {
            self.backoff_until = now + INITIAL_BACKOFF * (1 << self.failed_trials);
            self.failed_trials = (self.failed_trials + 1).min(2);
        }
    }
}
