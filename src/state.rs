//! What a router remembers of hosts and of GETs in hand: plain records.

use crate::host_life::{HostLifecycle, ProcessStart, TimeReference};
use crate::interface::{Forward, Get, HostEntry, HostIndex};
use myrtlegauge_recovery::{FillLimiter, LatencyEstimator, SlowStart, SlowStartCheck, StalenessDecay};
use std::time::Duration;

/// A cache host, a parent or the origin. All zero: warm, healthy, not crowded, not listed.
#[derive(Clone, Default)]
pub struct HostState {
    pub entry: HostEntry,
    /// Last outcomes, newest in the lowest bit, 1 a failure.
    pub recent_failures: u32,
    pub backoff_until: Duration,
    /// Trials that failed since it last succeeded.
    pub failed_trials: u32,
    pub last_success: Duration,
    pub last_answer: Duration,
    /// When the first forward since the last answer is overdue.
    pub answer_due: Duration,
    /// When it was found again after it had been lost; zero: never.
    pub recovered_at: Duration,
    /// What the list and connections tell of its process.
    pub lifecycle: HostLifecycle,
    /// Forwards out there, and what its link fits.
    pub link: LinkLoad,
    /// Forwards out that are probably fills from there, and the bound on them.
    pub fills_in_flight: f64,
    pub fill_limiter: FillLimiter,
    /// Of fills from there, and of hits at a cache.
    pub latency: LatencyEstimator,
    /// Work sent while cold.
    pub slow_start: SlowStart,
    /// Whether what was really sent stayed within that.
    pub slow_start_check: SlowStartCheck,
}

impl HostState {
    /// Since when it may be cold: it started then, or was lost and found again.
    pub fn process_start(&self, known: &TimeReference, now: Duration) -> ProcessStart {
        self.lifecycle.process_start(self.recovered_at, known, now)
    }
}

/// What this router has out on a link, its mean lately, and the transfers that fit, as learnt; 0: not yet.
#[derive(Clone, Default)]
pub struct LinkLoad {
    pub in_flight: f64,
    pub mean_in_flight: f64,
    pub capacity: f64,
    /// Times as long as at the best cache that hits take here lately.
    pub slowdown: f64,
}

/// One forward that is out.
#[derive(Clone, Copy)]
pub struct SentForward {
    pub attempt: u32,
    pub forward: Forward,
    pub sent_at: Duration,
    pub overdue_at: Duration,
    /// Probably no hit, and counted as a fill.
    pub is_fill: bool,
    /// Part of a fill that it counts as at the origin, which its source may have to ask.
    pub origin_fraction: f64,
    /// How slow the host was then.
    pub slowness: f64,
    pub is_withdrawn: bool,
}

#[derive(Default)]
pub struct InFlightGet {
    pub get: Get,
    pub taken_at: Duration,
    pub key: u64,
    /// Expected sending time, s.
    pub sending_s: f64,
    pub forward_count: u32,
    pub current_forward: Option<SentForward>,
    /// Host and source that failed it last.
    pub last_failed: [Option<HostIndex>; 2],
    /// The first forward that may have run, and when it was sent.
    pub may_have_run: Option<(HostIndex, Duration)>,
    /// Answered errored for no reason of its source's; held against it only if another host returns this GET.
    pub suspect_host: Option<HostIndex>,
    pub is_missing_at_source: bool,
    /// Its fill's turn at a source, and when that is.
    pub scheduled_fill: Option<(HostIndex, Duration)>,
    pub is_answered: bool,
}

/// What a router has learnt of a delivery service.
#[derive(Default)]
pub struct ServiceStats {
    /// The design's accepted age; rests at the fresh time, and goes back there for one key after another.
    pub accepted_age: Duration,
    pub staleness_decay: StalenessDecay,
    /// Mean sending time, s, and of how many parts it was learnt: the first ones count for more.
    pub mean_sending_s: f64,
    pub sample_count: f64,
    /// Mean time that a part takes at its cache, s, the source's wait left out and the crowd there left in.
    pub mean_service_s: f64,
}
