//! Limit on the concurrent fills that one router sends to one origin or parent.
//!
//! The limit follows additive increase and multiplicative decrease (AIMD), as in TCP congestion control. Routers do not
//! coordinate. Each router derives its share from the number of routers and from the outcomes of its own fills:
//!
//! - The limit starts at this router's share of a few fills for the whole fleet.
//! - It doubles while fills are fast and the limit is reached (slow start).
//! - It is cut when fills wait long, finish late or fail.
//! - After the first cut, the limits of the whole fleet rise by a fixed number of fills in the duration of one fill.
//! - A share may be below one fill. Fills are then sent one at a time, spaced so that the share is kept. Routers that
//!   start together send their first fills at different times.

use crate::bits::count_recent;
use std::time::Duration;

/// A number of fills: a total that the fleet divides among its routers, and an addend for each router.
struct FleetShare {
    total: f64,
    per_router: f64,
}

impl FleetShare {
    /// The number of fills for one router out of `sharers`.
    fn share_of_one_router(&self, sharers: f64) -> f64 {
        self.total / sharers + self.per_router
    }
}

/// Initial limit. The total is what a small origin can take. The addend per router exists because an origin shared by
/// many routers is sized for many.
const INITIAL: FleetShare = FleetShare { total: 4.0, per_router: 0.1 };
/// The lowest limit.
const MINIMUM: FleetShare = FleetShare { total: 4.0, per_router: 0.05 };
/// Factor on the initial addend per router if the origin has other users too. Such an origin is sized for their fills as
/// well.
const SHARED_ORIGIN_FACTOR: f64 = 3.0;
/// Added to the initial limit after division by the square of the number of routers. A router of a small fleet observes
/// more of the effect of its fills on the origin, and may start higher.
const SMALL_FLEET_BONUS: f64 = 60.0;
/// Fills by which the limits of the whole fleet rise in the duration of one fill, after the first cut.
const ADDITIVE_INCREASE: f64 = 32.0;

/// A wait for the first byte at which the limit reacts, as a fraction of the latency objective.
struct WaitThreshold {
    /// Threshold in a large fleet.
    fraction: f64,
    /// Added to `fraction` after division by the number of routers. A small fleet sees the effect of its cuts sooner.
    small_fleet_addend: f64,
    /// Fraction of the objective remaining after the base wait that a fill may wait in addition. Applies to an origin so
    /// far away or slow that the base wait alone would exceed `fraction`.
    beyond_base: f64,
}

impl WaitThreshold {
    fn for_fleet(&self, sharers: f64, base_fraction: f64) -> f64 {
        let above_base = base_fraction + self.beyond_base * (1.0 - base_fraction);
        (self.fraction + self.small_fleet_addend / sharers).max(above_base).min(1.0)
    }
}

/// The limit rises up to this wait. The margin covers what all routers send before any of them observes the effect.
const GROWTH_THRESHOLD: WaitThreshold =
    WaitThreshold { fraction: 0.25, small_fleet_addend: 3.0, beyond_base: 0.4 };
/// The limit is cut beyond this wait.
const CONGESTION_THRESHOLD: WaitThreshold =
    WaitThreshold { fraction: 0.4, small_fleet_addend: 4.0, beyond_base: 0.5 };
/// Largest fraction of the objective that counts as base wait. A longer wait is queueing time.
const MAX_BASE_WAIT_FRACTION: f64 = 0.5;
/// Weight of a longer wait in the base wait. The base wait follows a longer network path within some hundred fills.
const BASE_WAIT_RISE_WEIGHT: f64 = 0.01;
/// Shortest objective that waits are compared with.
const MIN_OBJECTIVE_S: f64 = 1e-3;

/// The limit is cut at most once in the duration of one fill, or in this interval if that is shorter.
const MAX_CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Factors on the limit for the mildest and the strongest cut.
const MILDEST_CUT_FACTOR: f64 = 0.85;
const STRONGEST_CUT_FACTOR: f64 = 0.5;
/// More than one late or failed fill among this many recent fills is not a coincidence, and the limit is cut.
const RECENT_FILLS: u32 = 4;

/// Factor on the limit at each fill while less than half of it is used. An origin that has never received the remaining
/// load may not be able to take it.
const UNUSED_LIMIT_DECAY: f64 = 0.98;
/// A limit below one fill rises only if at least this fraction of it was used recently. Otherwise it would rise with each
/// fast fill, far beyond what the origin can take once it slows down.
const MIN_USED_FRACTION: f64 = 0.3;
/// Time over which the use of a limit is averaged.
const USAGE_WINDOW_S: f64 = 2.0;
/// Fewest fills in the window from which the use of the limit is computed.
const MIN_FILLS_IN_WINDOW: f64 = 2.0;

/// Assumed duration of a fill before the first one is observed: the network delay of a distant origin plus its work.
const INITIAL_DURATION_S: f64 = 0.1;
/// Weight of a new duration in the mean duration of fills.
const DURATION_WEIGHT: f64 = 0.1;
/// Fills that a limit below one accumulates while none is requested, since requests arrive unevenly.
const MAX_SAVED_FILLS: f64 = 1.0;
/// Lowest limit from which the spacing of fills is computed.
const MIN_SPACING_LIMIT: f64 = 1e-3;

/// Outcome of a fill, as evidence of the load of its origin.
#[derive(Clone, Copy, Debug)]
pub struct FillOutcome {
    /// The fill succeeded within its latency objective.
    pub in_time: bool,
    /// Wait for the first byte of the origin, if known.
    pub waited_s: Option<f64>,
    pub objective_s: f64,
    pub duration: Duration,
}

impl FillOutcome {
    /// Outcome of a fill for which only success or failure is known.
    pub fn untimed(in_time: bool) -> Self {
        Self { in_time, waited_s: None, objective_s: 1.0, duration: Duration::ZERO }
    }

    /// Wait as a fraction of the objective; zero if the wait is unknown.
    fn wait_fraction(&self) -> f64 {
        self.fraction_of_objective(self.waited_s.unwrap_or(0.0))
    }

    fn fraction_of_objective(&self, seconds: f64) -> f64 {
        seconds / self.objective_s.max(MIN_OBJECTIVE_S)
    }
}

/// One router's limit on its fills to one origin or parent. Times are measured from the router's start.
#[derive(Clone, Debug, Default)]
pub struct FillLimiter {
    limit: f64,
    /// Number of routers that share the origin.
    sharers: f64,
    /// Factor on the initial addend per router.
    initial_factor: f64,
    /// Outcomes of recent fills, with the newest in the lowest bit; 1 is a late or failed fill.
    recent_failures: u32,
    last_cut_at: Option<Duration>,
    /// Earliest time of the next fill while the limit is below one.
    next_fill_at: Duration,
    mean_duration_s: f64,
    /// Recent rate of fills as of `usage_updated_at`, each weighted by the probability that it reaches the origin.
    sent_per_s: f64,
    /// Recent number of fills in the window as of `usage_updated_at`, unweighted.
    sent_in_window: f64,
    usage_updated_at: Duration,
    /// Wait of a fill that does not queue; 0 before the first observation. It is a time and not a fraction of an
    /// objective, since the path to an origin is the same for all services, whose objectives differ.
    base_wait_s: f64,
}

impl FillLimiter {
    /// Initializes the limit for an origin that `sharers` routers share. A limit that is already initialized keeps its
    /// value.
    ///
    /// `has_other_users` is set if the origin also serves users other than these routers and is sized for them as well.
    /// `start_phase`, from 0 to 1, spreads the first fills of routers that start together.
    pub fn start(&mut self, sharers: f64, has_other_users: bool, start_phase: f64, now: Duration) {
        self.sharers = sharers.max(1.0);
        self.initial_factor = if has_other_users { SHARED_ORIGIN_FACTOR } else { 1.0 };
        if self.limit > 0.0 {
            return;
        }
        (self.limit, self.mean_duration_s) = (self.initial_limit(), INITIAL_DURATION_S);
        if self.limit < 1.0 {
            self.next_fill_at = now + Duration::from_secs_f64(self.spacing_s() * start_phase.clamp(0.0, 1.0));
        }
    }

    /// Sets the number of routers that share the origin.
    ///
    /// When routers are added, the limit shrinks at once, since the new routers start sending at once. When routers leave,
    /// the limit rises only as the origin shows that it can take more.
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
            + SMALL_FLEET_BONUS / (self.sharers * self.sharers)
    }

    /// Number of fills that may be in flight together. A value below one is the fraction of time in which one fill may be
    /// in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Interval between fills while the limit is below one.
    fn spacing_s(&self) -> f64 {
        self.mean_duration_s / self.limit.max(MIN_SPACING_LIMIT)
    }

    /// Whether one more fill may be sent now, with `in_flight` others in flight.
    pub fn has_room(&self, in_flight: f64, now: Duration) -> bool {
        self.available_at(in_flight, now) == Some(now)
    }

    /// When one more fill may be sent, with `in_flight` others in flight; `None` if that depends on the end of another
    /// fill.
    pub fn available_at(&self, in_flight: f64, now: Duration) -> Option<Duration> {
        if self.limit >= 1.0 {
            (in_flight < self.limit).then_some(now)
        } else {
            Some(self.next_fill_at.max(now))
        }
    }

    /// Records a fill that was sent or scheduled. `reach_probability`, from 0 to 1, is the probability that it reaches this
    /// origin.
    pub fn on_sent(&mut self, reach_probability: f64, now: Duration) {
        let retained = self.retained_fraction(now);
        self.sent_per_s = self.sent_per_s * retained + reach_probability / USAGE_WINDOW_S;
        self.sent_in_window = self.sent_in_window * retained + 1.0;
        self.usage_updated_at = now;
        if self.limit < 1.0 {
            let spacing_s = self.spacing_s() * reach_probability;
            let max_credit = Duration::from_secs_f64(spacing_s * MAX_SAVED_FILLS);
            self.next_fill_at =
                self.next_fill_at.max(now.saturating_sub(max_credit)) + Duration::from_secs_f64(spacing_s);
        }
    }

    /// Fraction of the averages that has not decayed by `now`.
    fn retained_fraction(&self, now: Duration) -> f64 {
        (-(now.saturating_sub(self.usage_updated_at).as_secs_f64() / USAGE_WINDOW_S)).exp()
    }

    /// Recent mean number of fills in flight. `None` if the limit is at least one or there were too few fills to tell.
    fn mean_in_flight(&self, now: Duration) -> Option<f64> {
        let retained = self.retained_fraction(now);
        let is_measurable = self.limit < 1.0 && self.sent_in_window * retained >= MIN_FILLS_IN_WINDOW;
        is_measurable.then_some(self.sent_per_s * retained * self.mean_duration_s)
    }

    /// Whether enough of the limit is in use for it to rise.
    fn is_limit_in_use(&self, in_flight: f64, now: Duration) -> bool {
        if self.limit >= 1.0 {
            in_flight + 1.0 >= self.limit
        } else {
            self.mean_in_flight(now).is_none_or(|mean| mean >= self.limit * MIN_USED_FRACTION)
        }
    }

    /// Records the end of a fill, with `in_flight` others still in flight, and adjusts the limit. Returns whether the
    /// outcome shows a congested or failing origin.
    ///
    /// The limit protects origins, and the links to them, from the combined fills of all routers. It does harm where a
    /// slow cache makes an origin look slow.
    pub fn on_completed(&mut self, in_flight: f64, outcome: &FillOutcome, now: Duration) -> bool {
        self.update_base_wait(outcome);
        let wait_fraction = outcome.wait_fraction();
        let base_fraction = outcome.fraction_of_objective(self.base_wait_s).min(MAX_BASE_WAIT_FRACTION);
        let growth_threshold = GROWTH_THRESHOLD.for_fleet(self.sharers, base_fraction);
        let is_congested =
            outcome.in_time && wait_fraction > CONGESTION_THRESHOLD.for_fleet(self.sharers, base_fraction);
        self.recent_failures = self.recent_failures << 1 | u32::from(!outcome.in_time);
        self.mean_duration_s += DURATION_WEIGHT * (outcome.duration.as_secs_f64() - self.mean_duration_s);
        let is_failing = !outcome.in_time && count_recent(self.recent_failures, RECENT_FILLS) > 1;
        if (is_congested || is_failing) && self.is_cut_allowed(now) {
            let factor = if is_congested {
                (growth_threshold / wait_fraction).clamp(STRONGEST_CUT_FACTOR, MILDEST_CUT_FACTOR)
            } else {
                STRONGEST_CUT_FACTOR
            };
            self.cut(factor, in_flight, now);
        } else if outcome.in_time && wait_fraction <= growth_threshold {
            self.grow(in_flight, now);
        }
        is_congested || !outcome.in_time
    }

    fn update_base_wait(&mut self, outcome: &FillOutcome) {
        if let Some(wait_s) = outcome.waited_s.filter(|_| outcome.in_time) {
            let smoothed_wait_s = self.base_wait_s + BASE_WAIT_RISE_WEIGHT * (wait_s - self.base_wait_s);
            self.base_wait_s = if self.base_wait_s > 0.0 { wait_s.min(smoothed_wait_s) } else { wait_s };
        }
    }

    fn is_cut_allowed(&self, now: Duration) -> bool {
        let interval = Duration::from_secs_f64(self.mean_duration_s).min(MAX_CUT_INTERVAL);
        self.last_cut_at.is_none_or(|at| now >= at + interval)
    }

    /// Cuts the limit to a fraction of the portion of it that is in use. A limit far above its use would admit an
    /// overload.
    fn cut(&mut self, factor: f64, in_flight: f64, now: Duration) {
        let minimum = MINIMUM.share_of_one_router(self.sharers);
        let in_use = self.mean_in_flight(now).unwrap_or(in_flight + 1.0);
        self.limit = (self.limit.min(in_use.max(minimum)) * factor).max(minimum);
        self.last_cut_at = Some(now);
    }

    /// Raises the limit if it is in use, and lowers it if less than half of it is used.
    fn grow(&mut self, in_flight: f64, now: Duration) {
        let initial_limit = self.initial_limit();
        if self.limit < initial_limit.min(1.0) || self.is_limit_in_use(in_flight, now) {
            let step =
                if self.last_cut_at.is_some() { ADDITIVE_INCREASE / self.sharers / self.limit } else { 1.0 };
            self.limit += step.min(self.limit);
        } else if in_flight + 1.0 < self.limit / 2.0 && self.limit > initial_limit {
            self.limit = (self.limit * UNUSED_LIMIT_DECAY).max(initial_limit);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{FillLimiter, FillOutcome};
    use std::time::Duration;

    fn outcome(wait_s: f64, objective_s: f64) -> FillOutcome {
        let duration = Duration::from_secs_f64(wait_s + 0.05);
        FillOutcome { in_time: wait_s < objective_s, waited_s: Some(wait_s), objective_s, duration }
    }

    fn limiter() -> FillLimiter {
        let mut limiter = FillLimiter::default();
        limiter.start(300.0, true, 0.0, Duration::ZERO);
        limiter
    }

    /// The limit rises with three fast fills per second that all reach the origin. It stays low if one in ten does, since a
    /// limit far above its use would admit an overload at once.
    #[test]
    fn a_limit_below_one_rises_only_while_it_is_in_use() {
        let (ms, limit_after) = (Duration::from_millis, |reach_fraction| {
            let mut limiter = limiter();
            (0..4).for_each(|_| limiter.on_sent(reach_fraction, Duration::ZERO));
            for index in 0..180 {
                limiter.on_sent(reach_fraction, Duration::from_millis(index * 333));
                limiter.on_completed(0.0, &outcome(0.05, 0.28), Duration::from_millis(index * 333 + 100));
            }
            limiter.limit()
        });
        assert!(
            limit_after(0.1) < 0.4 && limit_after(1.0) >= 1.0,
            "limits after fast fills: {} and {}",
            limit_after(0.1),
            limit_after(1.0)
        );
        assert_eq!(limiter().mean_in_flight(ms(1)), None);
    }

    /// Two late fills cut the limit to a fraction of the portion in use, however large the limit was before.
    #[test]
    fn a_cut_starts_from_the_portion_of_the_limit_in_use() {
        let (mut limiter, ms) = (limiter(), Duration::from_millis);
        (0..20).for_each(|index| limiter.on_sent(0.1, ms(index * 100)));
        let before = limiter.limit();
        for index in 0..2 {
            limiter.on_completed(0.0, &outcome(0.9, 0.28), ms(2000 + index));
        }
        assert!(before > 0.3 && limiter.limit() < 0.1, "limit went from {before} to {}", limiter.limit());
    }

    /// Two services with different latency objectives share a distant origin. The shorter objective must not make the
    /// origin look congested.
    #[test]
    fn a_distant_origin_is_not_congested_for_any_service() {
        let (mut limiter, ms) = (limiter(), Duration::from_millis);
        for index in 0..100 {
            let objective_s = if index % 2 == 0 { 0.5 } else { 0.22 };
            assert!(!limiter.on_completed(0.0, &outcome(0.1, objective_s), ms(index * 100)));
        }
    }
}
