//! Checks, apart from the limit itself, that what one router sends to a host in slow start stays within its share.

use crate::WorkShare;
use std::time::Duration;

/// What the limit lets through in a window at most, in times of what the share is for it: the bucket's content and what drains.
const MOST: f64 = 2.0;

/// The work sent in the current window.
#[derive(Clone, Debug, Default)]
pub struct SlowStartCheck {
    began: Duration,
    sent: f64,
    rate: f64,
}

impl SlowStartCheck {
    /// Counts a request of `work` seconds that is sent now; whether the share is kept.
    ///
    /// A share that falls, as when the host starts anew, begins a new window: what was sent before was within the earlier one.
    /// A request heavier than the share passes now and then, so that one on each side of a window is let be.
    pub fn check(&mut self, work: f64, share: WorkShare, now: Duration) -> bool {
        let is_over = now.saturating_sub(self.began).as_secs_f64() >= share.window_s;
        if is_over || share.rate < self.rate {
            (self.began, self.sent) = (now, 0.0);
        }
        self.rate = share.rate;
        self.sent += work;
        self.sent <= MOST * (share.rate * share.window_s + work)
    }
}
