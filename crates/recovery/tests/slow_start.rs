//! Load that many routers send together to a cold host under slow start.

use myrtlegauge_recovery::{ColdSince, SlowStart, WorkShare};
use std::collections::VecDeque;
use std::time::Duration;

/// A slow start that began while the router was running.
fn began_at(at: Duration) -> ColdSince {
    ColdSince { at, is_older_than_router: false }
}

/// Three hundred routers share a host that has just started, and each request is heavier than the share of one router.
/// Their combined load stays at the capacity of the host from the first second on. Without the phase, all routers would
/// send at once; without the exception for heavy requests, none would ever send.
#[test]
fn many_routers_with_heavy_requests_stay_within_the_host_capacity() {
    let start = Duration::from_secs(3600);
    let (routers, capacity) = (300, 4.0);
    let rate = capacity / f64::from(routers);
    let mut limits = vec![SlowStart::default(); routers as usize];
    let mut work_by_second = [0.0; 20];
    for ms in (0..20_000).step_by(50) {
        for (index, limit) in limits.iter_mut().enumerate() {
            let now = start + Duration::from_millis(ms);
            let phase = (index as f64 * 0.618_034).fract();
            if limit.admits(0.3, WorkShare { rate, window_s: 1.0 }, began_at(start), phase, now) {
                work_by_second[ms as usize / 1000] += 0.3;
            }
        }
    }
    let max_work = work_by_second.iter().copied().fold(0.0, f64::max);
    assert!(max_work <= capacity * 1.6, "too much work in one second: {work_by_second:?}");
    assert!(
        work_by_second.iter().sum::<f64>() >= capacity * 20.0 * 0.8,
        "too little work in total: {work_by_second:?}"
    );
}

/// The demand of a fleet for one cold host.
struct Demand {
    routers: usize,
    /// Factor on the usual demand for a host.
    demand_factor: f64,
    /// The demand is low until this time after the start, so that the buckets are empty.
    low_until_s: f64,
}

/// Mean work of a request.
const MEAN_WORK_S: f64 = 0.25;
/// Work per second that the host can do when it is warm.
const CORES: f64 = 5.0;
/// Fraction of its full capacity that the host has when it starts.
const INITIAL_FRACTION: f64 = 0.22;
/// Duration of the slow start.
const SLOW_START_S: f64 = 12.0;
/// Load that overloads the host, as a multiple of its capacity.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Fraction of the overload threshold that is divided among the routers.
const SHARED_FRACTION: f64 = 0.5;

/// Fraction of its full capacity that the host has at a time after its start.
fn slow_start_fraction(elapsed_s: f64) -> f64 {
    (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * elapsed_s / SLOW_START_S).min(1.0)
}

/// Excess of the worst second over the host's limit of N requests of mean work, divided by the square root of N.
fn worst_excess(demand: &Demand, is_limited: bool, seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let phases: Vec<f64> = (0..demand.routers).map(|_| rng.f64()).collect();
    let mut limits = vec![SlowStart::default(); demand.routers];
    let start = Duration::from_secs(3600);
    // Requests are drawn at the highest rate and thinned to the rate at each time.
    let max_rate = 0.6 * CORES / MEAN_WORK_S * demand.demand_factor.max(1.0);
    let (mut elapsed_s, mut sent_s, mut last_second, mut worst_excess) =
        (0.0, 0.0, VecDeque::new(), f64::MIN);
    while elapsed_s < SLOW_START_S {
        elapsed_s -= (1.0 - rng.f64()).ln() / max_rate;
        let demand_factor = if elapsed_s < demand.low_until_s { 0.3 } else { demand.demand_factor };
        if rng.f64() >= slow_start_fraction(elapsed_s) * demand_factor / demand.demand_factor.max(1.0) {
            continue;
        }
        let (router, work_s) = (rng.usize(0..demand.routers), if rng.f64() < 0.53 { 0.4 } else { 0.07 });
        let rate = SHARED_FRACTION * OVERLOAD_FACTOR * slow_start_fraction(elapsed_s) * CORES
            / demand.routers as f64;
        let now = start + Duration::from_secs_f64(elapsed_s);
        let admits = limits[router].admits(
            work_s,
            WorkShare { rate, window_s: 1.0 },
            began_at(start),
            phases[router],
            now,
        );
        if admits || !is_limited {
            last_second.push_back((elapsed_s, work_s));
            sent_s += work_s;
        }
        while last_second.front().is_some_and(|(at_s, _)| *at_s < elapsed_s - 1.0) {
            sent_s -= last_second.pop_front().map_or(0.0, |(_, work_s)| work_s);
        }
        let allowed = OVERLOAD_FACTOR * slow_start_fraction((elapsed_s - 1.0).max(0.0)) * CORES / MEAN_WORK_S;
        worst_excess = worst_excess.max((sent_s / MEAN_WORK_S - allowed) / allowed.sqrt());
    }
    worst_excess
}

/// An excess of up to twice the square root of N is attributed to chance, for every size of the fleet.
#[test]
fn the_load_of_a_fleet_stays_within_the_limit_of_a_cold_host() {
    for routers in [3, 20, 30, 300] {
        for (demand_factor, low_until_s) in [(1.0, 0.0), (2.0, 0.0), (4.0, 0.0), (4.0, 5.0), (6.0, 5.0)] {
            let demand = Demand { routers, demand_factor, low_until_s };
            let worst_excess = (0..40).map(|seed| worst_excess(&demand, true, seed)).fold(f64::MIN, f64::max);
            assert!(
                worst_excess <= 2.0,
                "{routers} routers, {demand_factor} times the usual demand: \
                 excess of {worst_excess:.2} times the square root of N"
            );
        }
    }
}

/// Without the limit the excess is larger, which shows that the test above can fail.
#[test]
fn without_the_limit_the_load_exceeds_the_limit_of_a_cold_host() {
    let demand = Demand { routers: 30, demand_factor: 6.0, low_until_s: 5.0 };
    let worst_excess = (0..40).map(|seed| worst_excess(&demand, false, seed)).fold(f64::MIN, f64::max);
    assert!(worst_excess > 2.0, "excess of only {worst_excess:.2} times the square root of N");
}

/// A randomly generated fleet that shares a cold host.
struct Fleet {
    routers: usize,
    /// Work per second that the host can do when it is warm.
    capacity: f64,
    overload_factor: f64,
    /// Times at which each router's process is replaced by one without state.
    restarts_s: Vec<Vec<f64>>,
    /// Time at which each router is informed of the host's start.
    informed_at_s: Vec<f64>,
    /// Start and end of each router's pause, in seconds. The requests that arrive during a pause are handled at its end.
    pauses: Vec<(f64, f64)>,
    /// Requests of mean work per second.
    demand: f64,
}

impl Fleet {
    fn generate(rng: &mut fastrand::Rng) -> Self {
        let sizes = [2, 3, 5, 12, 30, 100, 300, 900];
        let routers = sizes[rng.usize(0..sizes.len())];
        let capacity = 2.0 * 150f64.powf(rng.f64());
        let restarts = |rng: &mut fastrand::Rng| {
            let count = rng.usize(0..6);
            let first_s = rng.f64() * SLOW_START_S * 0.7;
            (0..count).map(|index| first_s + 0.66 * index as f64).collect()
        };
        let common_restarts: Vec<f64> = restarts(rng);
        let is_simultaneous = rng.bool();
        let restarts_s =
            (0..routers).map(|_| if is_simultaneous { common_restarts.clone() } else { restarts(rng) });
        let restarts_s = restarts_s.collect();
        let pause = |rng: &mut fastrand::Rng| {
            let start_s = rng.f64() * SLOW_START_S;
            if rng.u32(0..3) == 0 {
                (start_s, start_s + rng.f64() * 4.0)
            } else {
                (SLOW_START_S, SLOW_START_S)
            }
        };
        Self {
            routers,
            capacity,
            overload_factor: 1.2 + rng.f64() * 1.8,
            restarts_s,
            informed_at_s: (0..routers).map(|_| rng.f64() * 0.3).collect(),
            pauses: (0..routers).map(|_| pause(rng)).collect(),
            demand: capacity / MEAN_WORK_S * (0.5 + rng.f64() * 4.0),
        }
    }

    /// Expected number of requests per second that the host may receive at a time after its start.
    fn allowed(&self, elapsed_s: f64) -> f64 {
        self.overload_factor * slow_start_fraction(elapsed_s) * self.capacity / MEAN_WORK_S
    }

    /// Start of the slow start as assumed by the process of a router that runs at `elapsed_s`.
    fn slow_start_from(&self, router: usize, elapsed_s: f64) -> f64 {
        let process_start_s =
            self.restarts_s[router].iter().copied().filter(|&at_s| at_s <= elapsed_s).fold(0.0, f64::max);
        self.informed_at_s[router].max(process_start_s)
    }

    /// Largest ratio of the arrivals in one second to the bound for that second.
    fn worst_ratio(&self, is_limited: bool, rng: &mut fastrand::Rng) -> f64 {
        let epoch = Duration::from_secs(3600);
        let mut limits = vec![SlowStart::default(); self.routers];
        let mut process_starts = vec![0.0; self.routers];
        let (mut elapsed_s, mut arrivals, mut worst_ratio) = (0.0, VecDeque::new(), 0.0_f64);
        while elapsed_s < SLOW_START_S {
            elapsed_s -= (1.0 - rng.f64()).ln() / self.demand;
            let router = rng.usize(0..self.routers);
            let from_s = self.slow_start_from(router, elapsed_s);
            if elapsed_s < self.informed_at_s[router] || rng.f64() > slow_start_fraction(elapsed_s - from_s) {
                continue;
            }
            if process_starts[router] != from_s {
                (process_starts[router], limits[router]) = (from_s, SlowStart::default());
            }
            // Requests that arrive during a pause are handled at its end.
            let (pause_start_s, pause_end_s) = self.pauses[router];
            let at_s =
                if (pause_start_s..pause_end_s).contains(&elapsed_s) { pause_end_s } else { elapsed_s };
            let rate =
                SHARED_FRACTION * self.overload_factor * slow_start_fraction(at_s - from_s) * self.capacity
                    / self.routers as f64;
            let share = WorkShare { rate, window_s: 1.0 };
            let cold_at = epoch + Duration::from_secs_f64(from_s);
            let cold_since =
                ColdSince { at: cold_at, is_older_than_router: from_s > self.informed_at_s[router] };
            let now = epoch + Duration::from_secs_f64(at_s);
            if !is_limited || limits[router].admits(MEAN_WORK_S, share, cold_since, rng.f64(), now) {
                let index = arrivals.partition_point(|&other_s| other_s <= at_s);
                arrivals.insert(index, at_s);
            }
        }
        let arrivals: Vec<f64> = arrivals.into();
        for (last, &at_s) in arrivals.iter().enumerate().filter(|(_, at_s)| **at_s < SLOW_START_S) {
            let first = arrivals.partition_point(|&other_s| other_s <= at_s - 1.0);
            let (count, allowed) = ((last + 1 - first) as f64, self.allowed(at_s));
            let bound = if allowed < 30.0 {
                allowed + 3.0 * allowed.sqrt() + 3.0
            } else {
                allowed + 2.0 * allowed.sqrt() + 2.0
            };
            worst_ratio = worst_ratio.max(count / bound);
        }
        worst_ratio
    }
}

/// Fleets of 2 to 900 routers are restarted several times, one by one or all at once, paused, and informed late of the
/// host's start. The combined load stays within the bound of the platform, although each restarted process adds to it:
/// the process has no record of what the previous one sent.
#[test]
fn the_load_of_restarted_paused_and_late_informed_fleets_stays_within_the_bound() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fleet = Fleet::generate(&mut rng);
        let worst_ratio = fleet.worst_ratio(true, &mut rng);
        let Fleet { routers, capacity, demand, .. } = fleet;
        assert!(
            worst_ratio <= 1.0,
            "seed {seed}: {routers} routers, capacity {capacity:.0}, {demand:.0} requests per second: \
             load of {worst_ratio:.2} times the bound"
        );
    }
}

/// Without the limit the same fleets exceed the bound, which shows that the test above can fail.
#[test]
fn without_the_limit_restarted_fleets_exceed_the_bound() {
    let exceeding = (0..60).filter(|&seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        Fleet::generate(&mut rng).worst_ratio(false, &mut rng) > 1.0
    });
    assert!(exceeding.count() > 10);
}
