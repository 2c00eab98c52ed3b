//! Checks that the load one router sends to a host in slow start stays within its share. It counts work as the limit
//! does; `arrival_check` does not.

use crate::WorkShare;
use std::time::Duration;

/// Upper bound on the work that the limit admits in one window, as a multiple of the share for that window: the content of
/// the bucket plus what drains.
const MAX_SHARE_MULTIPLE: f64 = 2.0;

/// Tracks the work sent in the current window.
#[derive(Clone, Debug, Default)]
pub struct SlowStartCheck {
    window_start: Duration,
    sent_s: f64,
    rate: f64,
}

impl SlowStartCheck {
    /// Counts a request of the given processing time that is sent now, and returns whether the share is kept.
    ///
    /// A share that falls, for example when the host restarts, begins a new window, since the work sent before was within
    /// the earlier share. The limit occasionally admits a request heavier than the share, so one such request at each end
    /// of a window is tolerated.
    pub fn check(&mut self, work_s: f64, share: WorkShare, now: Duration) -> bool {
        let is_window_over = now.saturating_sub(self.window_start).as_secs_f64() >= share.window_s;
        if is_window_over || share.rate < self.rate {
            (self.window_start, self.sent_s) = (now, 0.0);
        }
        self.rate = share.rate;
        self.sent_s += work_s;
        self.sent_s <= MAX_SHARE_MULTIPLE * (share.rate * share.window_s + work_s)
    }
}
