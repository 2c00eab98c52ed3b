//! Limits concurrent fills to one origin or parent across all dispatchers.
//!
//! The limit follows additive increase and multiplicative decrease (AIMD), as in TCP congestion control. Routers do not
//! talk to each other. Each router derives its share from the count of routers and from the ends of its own fills:
//!
//! - The limit starts at a share of a few fills for all routers together.
//! - It doubles while fills are fast and the limit is reached (slow start).
//! - It is cut when fills wait long, come late or fail.
//! - After the first cut it rises by a few fills for all routers together in the time that one fill takes.
//! - A share may be below one fill. Then fills are sent one at a time, spaced out so that the share is kept. Routers that
//!   start together send their first fills at different times.

use crate::bits::count_recent;
use std::time::Duration;

/// A number of fills for the whole fleet and a number for each of its routers.
struct FleetShare {
    total: f64,
    per_router: f64,
}

impl FleetShare {
    /// The share of one of so many routers.
    fn of_one(&self, sharers: f64) -> f64 {
        self.total / sharers + self.per_router
    }
}

/// The first limit. The total is what a small origin can take. The part per router is there because an origin that many
/// routers share is sized for many.
const INITIAL: FleetShare = FleetShare { total: 4.0, per_router: 0.1 };
/// The lowest limit.
const MINIMUM: FleetShare = FleetShare { total: 4.0, per_router: 0.05 };
/// Factor on the initial part per router at an origin that others use too: it is sized for their fills as well.
const INITIAL_WITH_OTHERS: f64 = 3.0;
/// Added to the initial limit, divided by the square of the count of routers. A router of a small fleet sees more of what
/// its fills do to the origin, and may begin with more.
const INITIAL_SMALL_FLEET: f64 = 60.0;
/// Fills by which the limits of all routers together rise in the time that one fill takes, after the first cut.
const ADDITIVE_INCREASE: f64 = 32.0;

/// A wait at which the limit reacts, as a fraction of the latency objective.
struct WaitThreshold {
    /// The fraction in a large fleet.
    fraction: f64,
    /// Added to the fraction, divided by the count of routers: a small fleet feels its cuts sooner.
    small_fleet: f64,
    /// The fraction of the objective left beyond the base wait that a fill may wait. It counts where an origin is far away
    /// or slow, and the base wait alone would exceed the fraction above.
    beyond_base: f64,
}

impl WaitThreshold {
    fn of(&self, sharers: f64, base: f64) -> f64 {
        (self.fraction + self.small_fleet / sharers).max(base + self.beyond_base * (1.0 - base)).min(1.0)
    }
}

/// Up to this wait the limit rises. It leaves room for what all routers send before any of them sees the effect.
const EASY: WaitThreshold = WaitThreshold { fraction: 0.25, small_fleet: 3.0, beyond_base: 0.4 };
/// Beyond this wait the limit is cut.
const CONGESTED: WaitThreshold = WaitThreshold { fraction: 0.4, small_fleet: 4.0, beyond_base: 0.5 };
/// Largest fraction of the objective that the base wait may take. A longer wait is time in a queue.
const MAX_BASE: f64 = 0.5;
/// Weight of a longer wait in the base wait: after some hundred fills a longer way to the origin is known.
const BASE_RISE: f64 = 0.01;
/// Shortest objective that waits are compared with, in seconds.
const MIN_OBJECTIVE_S: f64 = 1e-3;

/// The limit is cut once in the time that a fill takes, or in this time if that is shorter.
const MAX_CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Factors of the weakest and the strongest cut.
const WEAKEST_CUT: f64 = 0.85;
const STRONGEST_CUT: f64 = 0.5;
/// More than one late or failed fill among this many recent ones is no chance, and the limit is cut.
const RECENT_FILLS: u32 = 4;

/// Factor on the limit at each fill while less than half of it is used: an origin that was never asked for the rest may
/// not have it.
const UNUSED_DECAY: f64 = 0.98;
/// A limit below one fill rises only if at least this share of it was used lately. Otherwise it would rise with each fast
/// fill, far beyond what the origin can take once it slows down.
const MIN_USED_SHARE: f64 = 0.3;
/// Seconds over which the use of a limit is averaged.
const USE_WINDOW_S: f64 = 2.0;
/// Fewest fills in the window that tell how much of the limit is used.
const MIN_FILLS_IN_WINDOW: f64 = 2.0;

/// Seconds; the duration of a fill until one was seen: the way to a far origin and its work.
const INITIAL_DURATION_S: f64 = 0.1;
/// Weight of a fill's duration in the mean.
const DURATION_WEIGHT: f64 = 0.1;
/// Fills that a limit below one saves up while none is asked for, since requests come unevenly.
const MAX_SAVED: f64 = 1.0;
/// Lowest limit that spacing is computed from.
const MIN_LIMIT: f64 = 1e-3;

/// What the end of a fill tells of its origin.
#[derive(Clone, Copy, Debug)]
pub struct FillOutcome {
    /// The fill succeeded within its objective.
    pub in_time: bool,
    /// Seconds that the fill waited for the first byte of the origin, where that is known.
    pub waited_s: Option<f64>,
    /// Latency objective in seconds.
    pub objective_s: f64,
    pub duration: Duration,
}

impl FillOutcome {
    /// The outcome of fills of which only their success is known.
    pub fn untimed(in_time: bool) -> Self {
        Self { in_time, waited_s: None, objective_s: 1.0, duration: Duration::ZERO }
    }

    /// The wait as a fraction of the objective, zero where it is not known.
    fn wait_fraction(&self) -> f64 {
        self.of_objective(self.waited_s.unwrap_or(0.0))
    }

    fn of_objective(&self, seconds: f64) -> f64 {
        seconds / self.objective_s.max(MIN_OBJECTIVE_S)
    }
}

/// The limit of one router on its fills to one origin or parent. Times are since the router's start.
#[derive(Clone, Debug, Default)]
pub struct FillLimiter {
    limit: f64,
    /// Count of routers that share the origin.
    sharers: f64,
    /// Factor on the initial part per router.
    initial_factor: f64,
    /// Recent fills, the newest in the lowest bit; 1 is a late or failed one.
    failures: u32,
    cut_at: Option<Duration>,
    /// When the next fill may go out, while the limit is below one.
    next_at: Duration,
    /// Mean duration of a fill in seconds.
    mean_duration: f64,
    /// Fills per second sent lately, as of `rate_at`, each counted by the chance that it reaches the origin.
    rate: f64,
    /// Fills in the window, as of `rate_at`, each counted whole.
    count: f64,
    rate_at: Duration,
    /// Seconds that a fill waits where nothing queues; 0: none was seen. It is a time and not a fraction of an objective:
    /// the way to an origin is the same for all services, whose objectives differ.
    base_wait: f64,
}

impl FillLimiter {
    /// Starts the limit at an origin that so many routers share.
    ///
    /// `others`: others than these routers use the origin too, which is sized for them as well. `phase`, from 0 to 1,
    /// spreads the first fills of routers that start together. A limit that has started keeps its value.
    pub fn start(&mut self, sharers: f64, others: bool, phase: f64, now: Duration) {
        self.sharers = sharers.max(1.0);
        self.initial_factor = if others { INITIAL_WITH_OTHERS } else { 1.0 };
        if self.limit > 0.0 {
            return;
        }
        (self.limit, self.mean_duration) = (self.initial_limit(), INITIAL_DURATION_S);
        if self.limit < 1.0 {
            self.next_at = now + Duration::from_secs_f64(self.spacing() * phase.clamp(0.0, 1.0));
        }
    }

    /// Sets the count of routers that share the origin.
    ///
    /// With more routers the limit shrinks at once, for the new ones start at once. With fewer it rises as the origin shows
    /// that it can take more.
    ///
    /// ```
    /// use myrtlegauge_recovery::FillLimiter;
    /// let mut limiter = FillLimiter::default();
    /// limiter.start(10.0, false, 0.0, std::time::Duration::ZERO);
    /// let before = limiter.limit();
    /// limiter.set_sharers(20.0);
    /// assert_eq!(limiter.limit(), before / 2.0);
    /// limiter.set_sharers(10.0);
    /// assert_eq!(limiter.limit(), before / 2.0);
    /// ```
    pub fn set_sharers(&mut self, sharers: f64) {
        let sharers = sharers.max(1.0);
        self.limit *= (self.sharers / sharers).min(1.0);
        self.sharers = sharers;
    }

    fn initial_limit(&self) -> f64 {
        self.initial_factor * INITIAL.per_router
            + INITIAL.total / self.sharers
            + INITIAL_SMALL_FLEET / (self.sharers * self.sharers)
    }

    /// Fills that may be out together. Below one: the fraction of the time in which one may be out.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Seconds between fills while the limit is below one.
    fn spacing(&self) -> f64 {
        self.mean_duration / self.limit.max(MIN_LIMIT)
    }

    /// Whether one more fill may go out beside `out` others.
    pub fn has_room(&self, out: f64, now: Duration) -> bool {
        self.available_at(out, now) == Some(now)
    }

    /// When one more fill may go out beside `out` others; none if it depends on the end of another fill.
    pub fn available_at(&self, out: f64, now: Duration) -> Option<Duration> {
        if self.limit >= 1.0 { (out < self.limit).then_some(now) } else { Some(self.next_at.max(now)) }
    }

    /// Records a fill that was sent, or is scheduled. `reaches` is the chance that it reaches this origin, from 0 to 1.
    pub fn on_sent(&mut self, reaches: f64, now: Duration) {
        let retained = self.retained(now);
        self.rate = self.rate * retained + reaches / USE_WINDOW_S;
        self.count = self.count * retained + 1.0;
        self.rate_at = now;
        if self.limit < 1.0 {
            let spacing = self.spacing() * reaches;
            let saved = Duration::from_secs_f64(spacing * MAX_SAVED);
            self.next_at = self.next_at.max(now.saturating_sub(saved)) + Duration::from_secs_f64(spacing);
        }
    }

    /// Share of the averages that is left at `now`.
    fn retained(&self, now: Duration) -> f64 {
        (-(now.saturating_sub(self.rate_at).as_secs_f64() / USE_WINDOW_S)).exp()
    }

    /// Mean count of fills out lately, while the limit is below one; none if there were too few fills to tell.
    fn used(&self, now: Duration) -> Option<f64> {
        let retained = self.retained(now);
        let known = self.limit < 1.0 && self.count * retained >= MIN_FILLS_IN_WINDOW;
        known.then_some(self.rate * retained * self.mean_duration)
    }

    /// Whether the whole limit is in use.
    fn is_used(&self, out: f64, now: Duration) -> bool {
        if self.limit >= 1.0 {
            out + 1.0 >= self.limit
        } else {
            self.used(now).is_none_or(|used| used >= self.limit * MIN_USED_SHARE)
        }
    }

    /// Records the end of a fill, with `out` others still out, and adjusts the limit. True: the origin is congested.
    ///
    /// The limit protects origins, and links on the way to them, from the fills of all routers together. It does harm where
    /// a slow cache makes an origin look slow.
    pub fn on_completed(&mut self, out: f64, outcome: &FillOutcome, now: Duration) -> bool {
        self.learn_base_wait(outcome);
        let waited = outcome.wait_fraction();
        let base = outcome.of_objective(self.base_wait).min(MAX_BASE);
        let easy = EASY.of(self.sharers, base);
        let congested = outcome.in_time && waited > CONGESTED.of(self.sharers, base);
        self.failures = self.failures << 1 | u32::from(!outcome.in_time);
        self.mean_duration += DURATION_WEIGHT * (outcome.duration.as_secs_f64() - self.mean_duration);
        let failing = !outcome.in_time && count_recent(self.failures, RECENT_FILLS) > 1;
        if (congested || failing) && self.may_cut(now) {
            let factor =
                if congested { (easy / waited).clamp(STRONGEST_CUT, WEAKEST_CUT) } else { STRONGEST_CUT };
            self.cut(factor, out, now);
        } else if outcome.in_time && waited <= easy {
            self.grow(out, now);
        }
        congested || !outcome.in_time
    }

    fn learn_base_wait(&mut self, outcome: &FillOutcome) {
        if let Some(waited) = outcome.waited_s.filter(|_| outcome.in_time) {
            let risen = self.base_wait + BASE_RISE * (waited - self.base_wait);
            self.base_wait = if self.base_wait > 0.0 { waited.min(risen) } else { waited };
        }
    }

    fn may_cut(&self, now: Duration) -> bool {
        let interval = Duration::from_secs_f64(self.mean_duration).min(MAX_CUT_INTERVAL);
        self.cut_at.is_none_or(|at| now >= at + interval)
    }

    /// Cuts what is used of the limit: a limit far above its use would let an overload in.
    fn cut(&mut self, factor: f64, out: f64, now: Duration) {
        let minimum = MINIMUM.of_one(self.sharers);
        let used = self.used(now).unwrap_or(out + 1.0);
        self.limit = (self.limit.min(used.max(minimum)) * factor).max(minimum);
        self.cut_at = Some(now);
    }

    /// Raises a limit that is in use, and lowers one of which less than half is used.
    fn grow(&mut self, out: f64, now: Duration) {
        let initial = self.initial_limit();
        if self.limit < initial.min(1.0) || self.is_used(out, now) {
            let step =
                if self.cut_at.is_some() { ADDITIVE_INCREASE / self.sharers / self.limit } else { 1.0 };
            self.limit += step.min(self.limit);
        } else if out + 1.0 < self.limit / 2.0 && self.limit > initial {
            self.limit = (self.limit * UNUSED_DECAY).max(initial);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{FillLimiter, FillOutcome};
    use std::time::Duration;

    fn fill(waited: f64, objective: f64) -> FillOutcome {
        let took = Duration::from_secs_f64(waited + 0.05);
        FillOutcome {
            in_time: waited < objective,
            waited_s: Some(waited),
            objective_s: objective,
            duration: took,
        }
    }

    fn limiter() -> FillLimiter {
        let mut limiter = FillLimiter::default();
        limiter.start(300.0, true, 0.0, Duration::ZERO);
        limiter
    }

    /// The limit rises with three fast fills a second that all reach the origin. It stays where a tenth of them do: a limit
    /// far above its use would let an overload in at once.
    #[test]
    fn a_part_rises_only_while_it_is_used() {
        let (ms, after) = (Duration::from_millis, |part| {
            let mut limiter = limiter();
            (0..4).for_each(|_| limiter.on_sent(part, Duration::ZERO));
            for n in 0..180 {
                limiter.on_sent(part, Duration::from_millis(n * 333));
                limiter.on_completed(0.0, &fill(0.05, 0.28), Duration::from_millis(n * 333 + 100));
            }
            limiter.limit()
        });
        assert!(after(0.1) < 0.4 && after(1.0) >= 1.0, "{} {}", after(0.1), after(1.0));
        assert_eq!(limiter().used(ms(1)), None);
    }

    /// Two late fills cut what is used of the limit, however far above that it was.
    #[test]
    fn a_cut_goes_by_what_is_used() {
        let (mut limiter, ms) = (limiter(), Duration::from_millis);
        (0..20).for_each(|n| limiter.on_sent(0.1, ms(n * 100)));
        let before = limiter.limit();
        for n in 0..2 {
            limiter.on_completed(0.0, &fill(0.9, 0.28), ms(2000 + n));
        }
        assert!(before > 0.3 && limiter.limit() < 0.1, "{before} to {}", limiter.limit());
    }

    /// Two services with different objectives share a far origin: the shorter objective does not make it look congested.
    #[test]
    fn a_far_source_is_pressed_for_no_service() {
        let (mut limiter, ms) = (limiter(), Duration::from_millis);
        for n in 0..100 {
            let objective = if n % 2 == 0 { 0.5 } else { 0.22 };
            assert!(!limiter.on_completed(0.0, &fill(0.1, objective), ms(n * 100)));
        }
    }
}
