//! What a router remembers of hosts and of GETs in hand: plain records.

use crate::host_life::{Began, HostLife, Known};
use crate::interface::{Entry, Forward, Get, HostIndex};
use myrtlegauge_recovery::{FillLimiter, LatencyEstimator, SlowStart, SlowStartCheck, StalenessDecay};
use std::time::Duration;

/// A cache host, a parent or the origin. All zero: warm, healthy, not crowded, not listed.
#[derive(Clone, Default)]
pub struct Host {
    pub entry: Entry,
    /// Last outcomes, newest in the lowest bit, 1 a failure.
    pub failures: u32,
    pub rests_until: Duration,
    /// Trials that failed since it last succeeded.
    pub trials: u32,
    pub last_success: Duration,
    pub last_answer: Duration,
    /// When the first forward since the last answer is overdue.
    pub due: Duration,
    /// When it was found again after it had been lost; zero: never.
    pub cold_since: Duration,
    /// What the list and connections tell of its process.
    pub life: HostLife,
    /// Forwards out there, and what its link fits.
    pub crowd: Crowd,
    /// Forwards out that are probably fills from there, and the bound on them.
    pub fills_out: f64,
    pub fills: FillLimiter,
    /// Of fills from there, and of hits at a cache.
    pub times: LatencyEstimator,
    /// Work sent while cold.
    pub budget: SlowStart,
    /// Whether what was really sent stayed within that.
    pub budget_check: SlowStartCheck,
}

impl Host {
    /// Since when it may be cold: it started then, or was lost and found again.
    pub fn began(&self, known: &Known, now: Duration) -> Began {
        self.life.began(self.cold_since, known, now)
    }
}

/// What this router has out on a link, its mean lately, and the transfers that fit, as learnt; 0: not yet.
#[derive(Clone, Default)]
pub struct Crowd {
    pub out: f64,
    pub mean: f64,
    pub room: f64,
    /// Times as long as at the best cache that hits take here lately.
    pub drag: f64,
}

/// One forward that is out.
#[derive(Clone, Copy)]
pub struct Sent {
    pub hop: u32,
    pub to: Forward,
    pub at: Duration,
    pub overdue: Duration,
    /// Probably no hit, and counted as a fill.
    pub fill: bool,
    /// Part of a fill that it counts as at the origin, which its source may have to ask.
    pub reaches: f64,
    /// How slow the host was then.
    pub slowness: f64,
    pub withdrawn: bool,
}

#[derive(Default)]
pub struct InHand {
    pub get: Get,
    pub taken: Duration,
    pub key: u64,
    /// Expected sending time, s.
    pub sending: f64,
    pub hops: u32,
    pub out: Option<Sent>,
    /// Host and source that failed it last.
    pub tried: [Option<HostIndex>; 2],
    /// The first forward that may have run, and when it was sent.
    pub may_have_run: Option<(HostIndex, Duration)>,
    /// Answered errored for no reason of its source's; held against it only if another host returns this GET.
    pub doubted: Option<HostIndex>,
    pub source_lacks: bool,
    /// Its fill's turn at a source, and when that is.
    pub goes: Option<(HostIndex, Duration)>,
    pub answered: bool,
}

/// What a router has learnt of a delivery service.
#[derive(Default)]
pub struct Learnt {
    /// The design's accepted age; rests at the fresh time, and goes back there for one key after another.
    pub accepted_age: Duration,
    pub ease: StalenessDecay,
    /// Mean sending time, s, and of how many parts it was learnt: the first ones count for more.
    pub sending: f64,
    pub parts: f64,
    /// Mean time that a part takes at its cache, s, the source's wait left out and the crowd there left in.
    pub taking: f64,
}
