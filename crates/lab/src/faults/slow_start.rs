//! Judges what a cache in slow start gets from all dispatchers together, from the arrivals that it noted itself.

use super::fleet::{ColdStart, Fleet, SlowStartTerms};
use std::time::{Duration, Instant};

/// Where `N` is under this, chance is given more room.
const FEW: f64 = 30.0;

/// What the platform lets a cold cache get where its settings allow `allowed` requests.
pub fn bound(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    if allowed < FEW { allowed + 3.0 * root + 3.0 } else { allowed + 2.0 * root + 2.0 }
}

/// One arrival at a cold cache.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// Its dispatcher counted as told of the start.
    pub told: bool,
}

/// The window in which most came beside its bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    /// Arrivals over their bound.
    pub ratio: f64,
    pub arrivals: usize,
    pub bound: f64,
    /// The cache's age at the window's end.
    pub age: Duration,
}

/// The worst window of one slow start among those that break the rule if they are over: more than two thirds of the
/// arrivals came from dispatchers that counted as told.
pub fn worst_window(arrivals: &[Arrival], began: Instant, terms: &SlowStartTerms, weight: f64) -> Worst {
    let (mut worst, mut first) = (Worst::default(), 0);
    for (last, arrival) in arrivals.iter().enumerate() {
        while arrivals[first].at + terms.fall_within <= arrival.at {
            first += 1;
        }
        let window = &arrivals[first..=last];
        let told = window.iter().filter(|arrival| arrival.told).count();
        if told * 3 <= window.len() * 2 {
            continue;
        }
        let age = arrival.at.saturating_duration_since(began);
        let bound = bound(terms.allowed(age, weight));
        let ratio = window.len() as f64 / bound;
        if ratio > worst.ratio {
            worst = Worst { ratio, arrivals: window.len(), bound, age };
        }
    }
    worst
}

/// The worst window of each slow start of a run.
pub fn judge(fleet: &Fleet) -> Vec<(ColdStart, Worst)> {
    let starts = fleet.cold_starts.lock().expect("no holder panics").clone();
    let ended = |start: &ColdStart| {
        let next = starts.iter().filter(|next| next.cache == start.cache && next.began > start.began);
        let next = next.map(|next| next.began).min();
        let warm = start.began + fleet.scale.terms.warm_within;
        next.map_or(warm, |next| next.min(warm))
    };
    let worst = |start: &ColdStart| {
        let end = ended(start);
        let came = fleet.hosts[start.cache].came();
        let cold = came.into_iter().filter(|(at, _)| (start.began..end).contains(at));
        let mut arrivals: Vec<_> = cold
            .map(|(at, who)| Arrival { at, told: at >= fleet.ledger.start_told_at(start.event, who) })
            .collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        (*start, worst_window(&arrivals, start.began, &fleet.scale.terms, fleet.scale.cache_model.weight))
    };
    starts.iter().map(worst).collect()
}

#[cfg(test)]
mod tests {
    use super::{Arrival, bound, worst_window};
    use crate::faults::fleet::SlowStartTerms;
    use std::time::{Duration, Instant};

    const TERMS: SlowStartTerms = SlowStartTerms {
        start_capacity: 0.22,
        warm_within: Duration::from_secs(10),
        fall_multiple: 2.0,
        fall_within: Duration::from_secs(1),
    };

    const WEIGHT: f64 = 8.0;

    fn arrivals(began: Instant, gap: Duration, count: u32, told: bool) -> Vec<Arrival> {
        (0..count).map(|number| Arrival { at: began + gap * number, told }).collect()
    }

    /// The bound is the page's: with less chance left to it from thirty on.
    #[test]
    fn the_bound_is_the_pages() {
        assert_eq!(bound(25.0), 43.0);
        assert_eq!(bound(36.0), 50.0);
        assert!((TERMS.allowed(Duration::ZERO, WEIGHT) - 44.0).abs() < 1e-9);
    }

    /// A rush that dispatchers send which were told breaks the rule, the same from others does not.
    #[test]
    fn a_rush_counts_by_who_was_told() {
        let began = Instant::now();
        let rush = arrivals(began, Duration::from_millis(5), 190, true);
        assert!(worst_window(&rush, began, &TERMS, WEIGHT).ratio > 1.0);
        let untold = arrivals(began, Duration::from_millis(5), 190, false);
        assert_eq!(worst_window(&untold, began, &TERMS, WEIGHT).arrivals, 0);
        let slow = arrivals(began, Duration::from_millis(40), 90, true);
        assert!(worst_window(&slow, began, &TERMS, WEIGHT).ratio < 1.0);
    }
}
