//! Slow start of a cold host: limits the load that one router sends to the host, so that all routers together do not
//! overload it.

use std::time::Duration;

/// One router's share of the capacity of a cold host.
#[derive(Clone, Copy, Debug)]
pub struct WorkShare {
    /// Work per unit of time, in seconds of processing per second.
    pub rate: f64,
    /// Burst size: the time at `rate` whose work may be sent at once.
    pub window_s: f64,
}

/// A host's slow start from the point of view of one router.
#[derive(Clone, Copy, Debug)]
pub struct ColdSince {
    /// Start of the slow start on the router's clock.
    pub at: Duration,
    /// The slow start may have begun before this router's process. A previous process of this router may then have sent
    /// requests to the host already.
    pub is_older_than_router: bool,
}

/// Leaky bucket of the processing time sent to a cold host. It drains at the rate of the router's share.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// Processing time sent and not yet drained.
    pending_s: f64,
    last_request_at: Duration,
}

impl SlowStart {
    /// Admits a request of the given processing time if it fits into `share` now, and counts it if admitted.
    ///
    /// If the slow start began after the last request, the bucket starts partly filled, in proportion to `phase` (0 to 1).
    /// Otherwise, routers whose share is smaller than one request would all send their first request at once. If the slow
    /// start may predate this router's process, the bucket is filled as if this router had already sent a burst, since its
    /// previous process may have done so and each restart would send another burst. The limit protects hosts that start or
    /// return. It does harm when the neighboring hosts of the cold host are overloaded.
    pub fn admits(
        &mut self,
        work_s: f64,
        share: WorkShare,
        cold_since: ColdSince,
        phase: f64,
        now: Duration,
    ) -> bool {
        let burst_s = share.rate * share.window_s;
        let drained_s = now.saturating_sub(self.last_request_at).as_secs_f64() * share.rate;
        self.pending_s = (self.pending_s - drained_s).max(0.0);
        if self.last_request_at < cold_since.at {
            let assumed_sent_s = if cold_since.is_older_than_router {
                burst_s.max(work_s)
            } else {
                (work_s - burst_s).max(0.0)
            };
            self.pending_s = self.pending_s.max(assumed_sent_s * phase);
        }
        self.last_request_at = now;
        let fits = self.pending_s + work_s <= burst_s.max(work_s);
        self.pending_s += if fits { work_s } else { 0.0 };
        fits
    }
}
