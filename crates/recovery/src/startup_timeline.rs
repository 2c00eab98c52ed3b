//! Startup timeline: how long a dispatcher takes from its start to readiness and to full service, and what delays it.
//!
//! Operators aggregate these figures over a fleet.

use std::time::Duration;

/// Length of the intervals in which requests are counted.
const INTERVAL: Duration = Duration::from_millis(500);
/// Full service begins at the first moment after which, for this long, at most `MAX_LOSS_FRACTION` of the requests are
/// lost.
const STABILITY_PERIOD: Duration = Duration::from_secs(10);
/// Largest fraction of lost requests that counts as full service.
const MAX_LOSS_FRACTION: f64 = 0.02;
const INTERVAL_COUNT: usize = (STABILITY_PERIOD.as_millis() / INTERVAL.as_millis()) as usize;

/// Why a request was not answered in time after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The host list is incomplete.
    HostList,
    /// Purges may be missing, since the change log has not answered since the start.
    Purges,
    /// No origin or parent had capacity for the fill, or the fill failed.
    Source,
    /// No cache accepted the request: all were in slow start, in backoff or overloaded.
    Host,
    /// Any other cause.
    Other,
}

impl LossCause {
    /// All causes, in the order in which they are logged.
    pub const ALL: [Self; 5] = [Self::HostList, Self::Purges, Self::Source, Self::Host, Self::Other];

    /// Name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::HostList => "list",
            Self::Purges => "purges",
            Self::Source => "source",
            Self::Host => "host",
            Self::Other => "other",
        }
    }
}

/// Time from the start to each milestone; `None` if it is not reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Milestones {
    /// The host list is known, and clients are accepted.
    pub hosts_known: Option<Duration>,
    /// The change log answered, so that the purges and the host list are complete.
    pub log_synced: Option<Duration>,
    /// The first request was answered.
    pub first_answer: Option<Duration>,
    /// Full service began.
    pub full_service: Option<Duration>,
}

/// Counts of requests in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    accepted: u32,
    lost: u32,
}

impl Interval {
    fn is_lossy(self) -> bool {
        f64::from(self.lost) > f64::from(self.accepted) * MAX_LOSS_FRACTION
    }
}

/// Startup timeline of one process. Times passed in are readings of the program's own monotonic clock.
#[derive(Clone, Debug)]
pub struct StartupTimeline {
    started_at: Duration,
    milestones: Milestones,
    intervals: [Interval; INTERVAL_COUNT],
    /// Index of the interval in progress, counted from the start.
    current_interval: u64,
    /// Requests lost until full service, by cause.
    losses: [u64; LossCause::ALL.len()],
}

/// Sets a milestone if it was not reached before. Returns whether it was set now.
fn reach_milestone(milestone: &mut Option<Duration>, elapsed: Duration) -> bool {
    let is_first = milestone.is_none();
    milestone.get_or_insert(elapsed);
    is_first
}

impl StartupTimeline {
    /// Creates the timeline of a process that starts now.
    pub fn start(now: Duration) -> Self {
        Self {
            started_at: now,
            milestones: Milestones::default(),
            intervals: [Interval::default(); INTERVAL_COUNT],
            current_interval: 0,
            losses: [0; LossCause::ALL.len()],
        }
    }

    fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    fn interval(&mut self) -> &mut Interval {
        &mut self.intervals[self.current_interval as usize % INTERVAL_COUNT]
    }

    /// Records that the host list is known and clients may be accepted. Returns whether this is the first call.
    pub fn hosts_known(&mut self, now: Duration) -> bool {
        let elapsed = self.elapsed(now);
        reach_milestone(&mut self.milestones.hosts_known, elapsed)
    }

    /// Records that the change log answered, so that the purges and the host list are complete. Returns whether this is the
    /// first call.
    pub fn log_synced(&mut self, now: Duration) -> bool {
        let elapsed = self.elapsed(now);
        reach_milestone(&mut self.milestones.log_synced, elapsed)
    }

    /// Whether the change log has answered since the start.
    pub fn is_log_synced(&self) -> bool {
        self.milestones.log_synced.is_some()
    }

    /// Records a request that was accepted.
    pub fn request_taken(&mut self, now: Duration) {
        self.advance(now);
        self.interval().accepted += 1;
    }

    /// Records a request that was answered, in time or late. Returns whether it is the first one.
    pub fn request_answered(&mut self, in_time: bool, now: Duration) -> bool {
        self.advance(now);
        self.interval().lost += u32::from(!in_time);
        let elapsed = self.elapsed(now);
        reach_milestone(&mut self.milestones.first_answer, elapsed)
    }

    /// Records a request that was not answered, and the cause.
    pub fn request_lost(&mut self, cause: LossCause, now: Duration) {
        self.advance(now);
        self.interval().lost += 1;
        if self.milestones.full_service.is_none() {
            self.losses[cause as usize] += 1;
        }
    }

    /// Advances to the interval of `now`. Returns whether full service was detected by this call.
    pub fn advance(&mut self, now: Duration) -> bool {
        let target = self.elapsed(now).div_duration_f64(INTERVAL) as u64;
        let mut is_full_service_reached = false;
        while self.current_interval < target {
            is_full_service_reached |= self.check_full_service();
            // After a gap longer than all intervals together, none of their counts applies any more.
            let is_gap = target - self.current_interval > INTERVAL_COUNT as u64;
            self.current_interval =
                if is_gap { target - INTERVAL_COUNT as u64 } else { self.current_interval + 1 };
            *self.interval() = Interval::default();
        }
        is_full_service_reached
    }

    /// Sets the beginning of full service if the last intervals are its first ones. Lossy intervals at their beginning are
    /// excluded. Returns whether it was set now.
    fn check_full_service(&mut self) -> bool {
        let Some(first_answer) = self.milestones.first_answer else { return false };
        if self.milestones.full_service.is_some() || self.current_interval + 1 < INTERVAL_COUNT as u64 {
            return false;
        }
        let sum = |of: fn(&Interval) -> u32| self.intervals.iter().map(of).sum::<u32>();
        let total =
            Interval { accepted: sum(|interval| interval.accepted), lost: sum(|interval| interval.lost) };
        if total.accepted == 0 || total.is_lossy() {
            return false;
        }
        let first = self.current_interval + 1 - INTERVAL_COUNT as u64;
        let is_lossy = |index: &u64| self.intervals[*index as usize % INTERVAL_COUNT].is_lossy();
        let leading_lossy = (first..=self.current_interval).take_while(is_lossy).count() as u64;
        self.milestones.full_service = Some((INTERVAL * (first + leading_lossy) as u32).max(first_answer));
        true
    }

    /// Milestones reached so far.
    pub fn milestones(&self) -> Milestones {
        self.milestones
    }

    /// Number of requests not answered before full service for this cause.
    pub fn losses_by(&self, cause: LossCause) -> u64 {
        self.losses[cause as usize]
    }
}

#[cfg(test)]
mod tests {
    use super::{LossCause, Milestones, StartupTimeline};
    use std::time::Duration;

    /// A process that loses requests for two seconds is at full service from then on. Full service is reported about ten
    /// seconds later.
    #[test]
    fn full_service_begins_at_the_first_moment_after_which_it_lasts() {
        let start = Duration::from_secs(3600);
        let mut timeline = StartupTimeline::start(start);
        let mut reported_ms = None;
        assert!(timeline.hosts_known(start) && !timeline.hosts_known(start));
        for ms in (0..20_000u64).step_by(20) {
            let now = start + Duration::from_millis(ms);
            if timeline.advance(now) {
                reported_ms = Some(ms);
            }
            timeline.request_taken(now);
            match ms {
                0..2000 if ms % 100 == 0 => timeline.request_lost(LossCause::Source, now),
                // One request in two hundred is lost in normal operation.
                _ if ms % 4000 == 3980 => timeline.request_lost(LossCause::Other, now),
                _ => {
                    timeline.request_answered(true, now);
                }
            }
        }
        assert_eq!(timeline.milestones().full_service, Some(Duration::from_secs(2)));
        // One lossy interval at the beginning is within the loss limit, so ten seconds are covered half a second earlier.
        assert_eq!((reported_ms, timeline.losses_by(LossCause::Source)), (Some(11_500), 20));
    }

    /// A process that answers no request never reaches full service, even without any loss.
    #[test]
    fn full_service_is_not_reached_without_an_answered_request() {
        let mut timeline = StartupTimeline::start(Duration::ZERO);
        for ms in (0..60_000u64).step_by(100) {
            assert!(!timeline.advance(Duration::from_millis(ms)));
        }
        assert_eq!(timeline.milestones(), Milestones::default());
    }
}
