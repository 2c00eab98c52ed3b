//! State of hosts, of GETs in flight and of delivery services, as records without logic.

use crate::host_life::{HostLifecycle, ProcessStart, TimeReference};
use crate::interface::{Forward, Get, HostEntry, HostIndex};
use myrtlegauge_recovery::{
    FillLimiter, LatencyEstimator, SlowStart, SlowStartCheck, StalenessDecay, TimeRange, WorkEstimate,
};
use std::time::Duration;

/// State of a cache host, a parent or the origin. All zero means warm, healthy, not loaded and not listed.
#[derive(Clone, Default)]
pub struct HostState {
    pub entry: HostEntry,
    /// Recent outcomes, the newest in the lowest bit; 1 is a failure.
    pub recent_failures: u32,
    /// When a failed host may get its next trial.
    pub backoff_until: Duration,
    /// Failed trials since the last success.
    pub failed_trials: u32,
    pub last_success: Duration,
    pub last_answer: Duration,
    /// When the first forward since the last answer is overdue.
    pub answer_due: Duration,
    /// When the host last returned after an absence in which it may have been restarted; zero if never.
    pub recovered_at: Duration,
    /// Starts and ends of its process, from the host list and from connections.
    pub lifecycle: HostLifecycle,
    /// Forwards in flight to the host, and the learnt capacity of its link.
    pub link: LinkLoad,
    /// Forwards in flight that are probably fills from this host, and the limit on them.
    pub fills_in_flight: f64,
    pub fill_limiter: FillLimiter,
    /// Latency of fills from this host, and of hits at a cache.
    pub latency: LatencyEstimator,
    /// Limits the work sent while the host is cold.
    pub slow_start: SlowStart,
    /// What was sent to it in slow start since the last status report.
    pub slow_start_sent: SentWork,
    /// Checks that the work sent while the host is cold stays within this router's share.
    pub slow_start_check: SlowStartCheck,
}

impl HostState {
    /// Since when the host may be cold: its process started then, or it was lost and reached again.
    pub fn process_start(&self, time_reference: &TimeReference, now: Duration) -> ProcessStart {
        self.lifecycle.process_start(self.recovered_at, time_reference, now)
    }
}

/// Requests sent to a host, and their expected work.
#[derive(Clone, Copy, Default)]
pub struct SentWork {
    pub requests: u32,
    pub work_s: f64,
}

/// Load on a link.
#[derive(Clone, Default)]
pub struct LinkLoad {
    /// Transfers of this router.
    pub in_flight: f64,
    /// Their recent mean.
    pub mean_in_flight: f64,
    /// The learnt capacity in transfers; 0 if not learnt yet.
    pub capacity: f64,
    /// Recent duration of hits here, relative to that at the best cache.
    pub slowdown: f64,
}

/// A forward in flight.
#[derive(Clone, Copy)]
pub struct SentForward {
    pub attempt: u32,
    pub forward: Forward,
    pub sent_at: Duration,
    pub overdue_at: Duration,
    /// The forward is probably a miss and is counted as a fill.
    pub is_fill: bool,
    /// Fraction of a fill that the forward counts as at the origin, since its source may have to ask the origin.
    pub origin_fraction: f64,
    pub is_withdrawn: bool,
}

/// State of a GET in flight.
#[derive(Default)]
pub struct InFlightGet {
    pub get: Get,
    pub taken_at: Duration,
    /// Position on the rings.
    pub key: u64,
    /// Expected sending time.
    pub sending_s: f64,
    pub forward_count: u32,
    pub current_forward: Option<SentForward>,
    /// Host and source of the last forward that failed.
    pub last_failed: [Option<HostIndex>; 2],
    /// The first forward that may have run, and when it was sent.
    pub may_have_run: Option<(HostIndex, Duration)>,
    /// Host that answered errored. This counts as a failure of the host only if another host returns this GET.
    pub suspect_host: Option<HostIndex>,
    pub is_missing_at_source: bool,
    /// The source of a scheduled fill, and when it may be sent.
    pub scheduled_fill: Option<(HostIndex, Duration)>,
    pub is_answered: bool,
}

/// Statistics of a delivery service.
#[derive(Default)]
pub struct ServiceStats {
    /// The accepted age. It equals the fresh time while the origin is not busy.
    pub accepted_age: Duration,
    /// Returns the accepted age to the fresh time for one key after another.
    pub staleness_decay: StalenessDecay,
    /// Mean sending time, and the number of parts that it was learnt from. The first parts have more weight.
    pub mean_sending_s: f64,
    pub sample_count: f64,
    /// Work of a request at a cache, for limits that protect hosts.
    pub work: WorkEstimate,
    /// Shortest and longest time that a part took at its cache, without the wait for the source, since the last status report on slow starts.
    pub service_range: TimeRange,
}
