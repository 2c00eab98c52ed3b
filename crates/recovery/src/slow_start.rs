//! Slow start of a cold host: limits the work that one router sends to it, so that all routers together do not overload it.

use std::time::Duration;

/// One router's share of the work that a cold host can do.
#[derive(Clone, Copy, Debug)]
pub struct WorkShare {
    /// Seconds of work per second.
    pub rate: f64,
    /// Seconds of work at this rate that may be sent at once.
    pub window_s: f64,
}

/// The slow start that a host is in, as one router knows it.
#[derive(Clone, Copy, Debug)]
pub struct ColdSince {
    pub at: Duration,
    /// It may have begun before this router's own process, whose life before may have sent to the host already.
    pub is_older_than_router: bool,
}

/// Leaky bucket of the work sent to a cold host. It drains at the rate of the router's share.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// Seconds of work sent and not yet drained.
    pending: f64,
    asked_at: Duration,
}

impl SlowStart {
    /// Whether a request of `work` seconds fits into `share` now; if so its work is counted.
    ///
    /// A slow start that began after the last request finds the bucket filled in part, by `phase` from 0 to 1, so that routers
    /// whose share is smaller than one request do not all send their first ones at once. One that may be older than this
    /// router's process finds it filled as if this router had sent before: it may have, and each restart would send a burst
    /// anew. The limit protects hosts that start or come back. It does harm where the neighbours of the cold host are
    /// overloaded.
    pub fn admits(
        &mut self,
        work: f64,
        share: WorkShare,
        cold_since: ColdSince,
        phase: f64,
        now: Duration,
    ) -> bool {
        let burst = share.rate * share.window_s;
        let drained = now.saturating_sub(self.asked_at).as_secs_f64() * share.rate;
        self.pending = (self.pending - drained).max(0.0);
        if self.asked_at < cold_since.at {
            let sent_before =
                if cold_since.is_older_than_router { burst.max(work) } else { (work - burst).max(0.0) };
            self.pending = self.pending.max(sent_before * phase);
        }
        self.asked_at = now;
        let fits = self.pending + work <= burst.max(work);
        self.pending += if fits { work } else { 0.0 };
        fits
    }
}
