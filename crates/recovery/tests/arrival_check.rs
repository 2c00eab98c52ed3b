//! The check of what is written to a host in slow start, and the two estimates of a request's work.

use myrtlegauge_recovery::{ArrivalCheck, LeastWork, SlowStartTerms, WorkEstimate};
use std::time::Duration;

const START: Duration = Duration::from_secs(3600);
const WORK_S: f64 = 0.08;
const WEIGHT: f64 = 4.0;
const TERMS: SlowStartTerms = SlowStartTerms {
    initial_fraction: 0.22,
    duration: Duration::from_secs(10),
    overload_factor: 2.0,
    window: Duration::from_secs(1),
    sharing_routers: 1.0,
};

/// The number of requests, `gap` apart, after which the check reports an excess.
fn requests_until_excess(gap: Duration, terms: &SlowStartTerms) -> Option<u32> {
    let mut check = ArrivalCheck::default();
    check.on_start(START);
    let is_excess = |number: &u32| check.on_written(WORK_S, WEIGHT, terms, START + gap * *number).is_some();
    (0..1000).find(is_excess)
}

#[test]
fn a_burst_is_allowed_up_to_the_bound_of_the_fleet_and_of_one_router() {
    // N is 22 at the start, and its bound 22 + 3 * root of 22 + 3 = 39.07.
    assert_eq!(requests_until_excess(Duration::ZERO, &TERMS), Some(39));
    let shared = SlowStartTerms { sharing_routers: 22.0, ..TERMS };
    assert_eq!(requests_until_excess(Duration::ZERO, &shared), Some(7));
}

#[test]
fn requests_at_the_rate_that_the_settings_allow_are_no_excess() {
    assert_eq!(requests_until_excess(Duration::from_secs(1) / 22, &TERMS), None);
    assert!(requests_until_excess(Duration::from_secs(1) / 70, &TERMS).is_some());
}

#[test]
fn a_host_that_is_warm_or_has_not_started_is_not_checked() {
    let mut check = ArrivalCheck::default();
    assert!((0..1000).all(|_| check.on_written(WORK_S, WEIGHT, &TERMS, START).is_none()));
    check.on_start(START);
    let warm = START + TERMS.duration;
    assert!((0..1000).all(|_| check.on_written(WORK_S, WEIGHT, &TERMS, warm).is_none()));
}

#[test]
fn the_least_credible_work_is_that_of_the_quietest_block() {
    let mut least = LeastWork::new(0.25);
    assert_eq!(least.mean_s(), 0.25);
    least.record(0.5);
    assert_eq!(least.mean_s(), 0.25, "one long time is no evidence");
    (1..64).for_each(|_| least.record(0.1));
    let quiet_s = least.mean_s();
    assert!((0.1..0.11).contains(&quiet_s), "{quiet_s}");
    (0..640).for_each(|_| least.record(0.9));
    assert_eq!(least.mean_s(), quiet_s, "later times under load do not count");
}

/// Mean work of requests whose times are those of a lightly loaded host at first and a multiple of it later.
#[test]
fn the_estimate_of_work_never_falls_below_the_work_under_load_and_follows_it_slowly() {
    let mut estimate = WorkEstimate::new(0.5);
    assert_eq!(estimate.mean_s(), 0.5);
    for _ in 0..100 {
        estimate.record(WORK_S);
        assert!(estimate.mean_s() >= WORK_S);
    }
    assert!(estimate.mean_s() < WORK_S * 1.05);
    for _ in 0..100 {
        estimate.record(WORK_S * 8.0);
        assert!(estimate.mean_s() >= WORK_S);
    }
    assert!(estimate.mean_s() < WORK_S * 1.3, "load raises the estimate by {}", estimate.mean_s() / WORK_S);
    (0..3000).for_each(|_| estimate.record(WORK_S * 8.0));
    assert!(estimate.mean_s() > WORK_S * 7.9, "requests became heavier");
}

/// A block of light requests by chance does not lower the estimate below the mean work by more than a fifth.
#[test]
fn the_estimate_of_work_allows_for_its_spread() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut estimate = WorkEstimate::new(0.5);
        let mut least = f64::MAX;
        for _ in 0..2000 {
            // Exponentially distributed.
            estimate.record(-WORK_S * (1.0 - rng.f64()).ln());
            least = least.min(estimate.mean_s());
        }
        assert!(least >= WORK_S * 0.8, "seed {seed}: {}", least / WORK_S);
    }
}
