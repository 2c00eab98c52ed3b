//! Shedding while zones are evacuated, as a closed loop: the announced fraction decides what is sent, and what is sent
//! decides the next fraction.

use myrtlegauge_zones::ShedController;
use std::time::Duration;

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// GETs a second that clients request.
const RATE: f64 = 1440.0;
/// GETs a second that the remaining zones have the capacity for.
const CAPACITY: f64 = 1152.0;

/// A key that carries a share of all GETs, and is among the keys that are shed from some fraction on.
#[derive(Clone, Copy, Debug)]
struct HotKey {
    share: f64,
    shed_from: f64,
}

impl HotKey {
    /// The fraction of the GETs that is sent while this fraction of the keys is shed.
    fn admitted(self, shed_fraction: f64) -> f64 {
        let hot = if shed_fraction < self.shed_from { self.share } else { 0.0 };
        (1.0 - self.share) * (1.0 - shed_fraction) + hot
    }
}

/// The fraction that is shed and the GETs a second that are sent, by report interval, from the moment that a zone is
/// evacuated at this GET rate.
fn simulate(hot: HotKey, initial_rate: f64, intervals: u32) -> Vec<(f64, f64)> {
    let (mut controller, mut shed_fraction, mut history) = (ShedController::default(), 0.0, Vec::new());
    for interval in 0..intervals {
        let now = REPORT_INTERVAL * interval;
        if interval > 0 {
            let sent = RATE * hot.admitted(shed_fraction);
            controller.record(sent * REPORT_INTERVAL.as_secs_f64(), REPORT_INTERVAL, now);
            history.push((shed_fraction, sent));
        }
        shed_fraction =
            controller.adjust(CAPACITY, initial_rate, REPORT_INTERVAL, now).unwrap_or(shed_fraction);
    }
    history
}

/// Retries make the traffic look larger by half as the zone is evacuated, and a hot key is shed with the rest. The GETs
/// admitted afterwards grow in steps, so that the return of the hot key does not overload the remaining zones.
#[test]
fn lowering_the_shed_fraction_does_not_overload_the_remaining_zones() {
    for share in [0.05, 0.1, 0.15, 0.2, 0.25] {
        for shed_from in [0.25, 0.3, 0.35] {
            let hot = HotKey { share, shed_from };
            let history = simulate(hot, RATE * 1.5, 120);
            assert!(history[0].0 > 0.4, "{hot:?}: {history:?}");
            let max_sent = history.iter().map(|&(_, sent)| sent).fold(0.0, f64::max);
            assert!(max_sent <= CAPACITY * 1.1, "{hot:?}: {max_sent:.0} GETs a second");
            let (shed_fraction, sent) = history[history.len() - 1];
            assert!(
                sent >= CAPACITY * 0.85,
                "{hot:?}: the shed fraction stays at {shed_fraction:.2}, {sent:.0} GETs a second"
            );
        }
    }
}

/// A fraction that is too small is raised as soon as three reports show it.
#[test]
fn a_shed_fraction_that_is_too_small_is_raised_within_a_second() {
    let hot = HotKey { share: 0.2, shed_from: 0.9 };
    let history = simulate(hot, CAPACITY * 1.1, 12);
    assert!(history[0].1 > CAPACITY * 1.05, "{history:?}");
    assert!(history[4].1 <= CAPACITY * 1.05, "{history:?}");
}

/// Intervals that began before the last change of the fraction are not measured.
#[test]
fn only_gets_sent_under_the_announced_fraction_are_measured() {
    let mut controller = ShedController::default();
    assert_eq!(controller.adjust(750.0, 1000.0, REPORT_INTERVAL, Duration::ZERO), Some(0.25));
    for interval in 1..=8 {
        let sent = if interval == 1 { 5000.0 } else { 750.0 };
        let now = REPORT_INTERVAL * interval;
        controller.record(sent * REPORT_INTERVAL.as_secs_f64(), REPORT_INTERVAL, now);
        assert_eq!(controller.adjust(750.0, 0.0, REPORT_INTERVAL, now), None);
    }
}
