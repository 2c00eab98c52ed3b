//! Schedules drawn from a seed: faults of all kinds that overlap in time, one or two of them cold starts; and how a schedule
//! that fails is cut down to the least that still does.

use super::fleet::{CacheModel, Scale, SlowStartTerms};
use super::schedule::{Event, Fault};
use crate::stand::fault_layout::Call;
use crate::stand::fault_page::ClockShift;
use std::time::Duration;

/// Faults begin within this time, after a start without any.
const QUIET: Duration = Duration::from_millis(1500);
const FAULTS_WITHIN: Duration = Duration::from_millis(11_000);
/// Faults of a schedule, cold starts among them.
const FAULTS: std::ops::RangeInclusive<usize> = 6..=12;
/// Processes of a run where there are many, and of one in CI.
const DISPATCHERS: std::ops::RangeInclusive<usize> = 10..=40;
const DISPATCHERS_SMALL: usize = 10;
/// Processes of a run where there are few.
const FEW_DISPATCHERS: std::ops::RangeInclusive<usize> = 1..=6;
/// Requests a second of all clients.
const REQUESTS_PER_SECOND: std::ops::Range<f64> = 150.0..900.0;
/// Weight of a cache in the list, and what it can really do as a multiple of it.
const WEIGHT: std::ops::Range<f64> = 3.0..10.0;
const CAPACITY_FACTOR: std::ops::Range<f64> = 0.5..3.0;
/// Spread of the work of a request.
const WORK_SIGMA: std::ops::Range<f64> = 0.0..1.0;
/// Multiple of its capacity under which a cold cache falls.
const FALL_MULTIPLE: std::ops::Range<f64> = 0.75..3.0;
const CACHES: usize = 4;
/// Dispatchers to which idle clients come at once.
const CROWDED_DISPATCHERS: usize = 3;
/// Objects that a schedule purges.
const PURGED: std::ops::Range<u64> = 0..200;

fn ms(random: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.u64(range))
}

fn within(random: &mut fastrand::Rng, range: std::ops::Range<f64>) -> f64 {
    range.start + (range.end - range.start) * random.f64()
}

/// The sizes of a seed's run, and the requests a second of its clients.
pub fn scale(seed: u64, is_small: bool, terms: SlowStartTerms) -> (Scale, f64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let dispatchers = if is_small { DISPATCHERS_SMALL } else { random.usize(DISPATCHERS) };
    let dispatchers = if random.bool() { random.usize(FEW_DISPATCHERS) } else { dispatchers };
    let is_bound = random.bool();
    let cache_model = CacheModel {
        weight: within(&mut random, WEIGHT),
        capacity_factor: Some(within(&mut random, CAPACITY_FACTOR)).filter(|_| is_bound),
        work_sigma: within(&mut random, WORK_SIGMA),
    };
    let terms = SlowStartTerms { fall_multiple: within(&mut random, FALL_MULTIPLE), ..terms };
    let requests_per_second = within(&mut random, REQUESTS_PER_SECOND);
    (Scale { dispatchers, caches: CACHES, cache_model, terms, seed, without: None }, requests_per_second)
}

/// The schedule of a seed.
pub fn draw(scale: &Scale) -> Vec<Event> {
    let mut random = fastrand::Rng::with_seed(scale.seed.wrapping_mul(0x9e37_79b9));
    let mut events = vec![crash(&mut random)];
    for _ in 1..random.usize(FAULTS) {
        let at = QUIET + ms(&mut random, 0..(FAULTS_WITHIN - QUIET).as_millis() as u64);
        let fault = fault(&mut random, scale.dispatchers);
        events.push(Event { at, fault });
    }
    events.sort_by_key(|event| event.at);
    events
}

fn crash(random: &mut fastrand::Rng) -> Event {
    let away = ms(random, 100..1200);
    let at = QUIET + ms(random, 500..4000);
    Event { at, fault: Fault::CrashCache { cache: random.usize(0..CACHES), away } }
}

/// Some of the dispatchers, in an order drawn at random.
fn some(random: &mut fastrand::Rng, dispatchers: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..dispatchers).collect();
    random.shuffle(&mut all);
    all.truncate(random.usize(1..=dispatchers));
    all
}

fn fault(random: &mut fastrand::Rng, all: usize) -> Fault {
    let dispatchers = some(random, all);
    let cache = random.usize(0..CACHES);
    match random.u32(0..16) {
        0 => Fault::CrashCache { cache, away: ms(random, 100..1200) },
        1 => Fault::StallCache { cache, long: ms(random, 300..1600) },
        2 => Fault::Kill { dispatchers, away: ms(random, 50..800) },
        3 => Fault::Restart { dispatchers: dispatchers.into_iter().take(4).collect() },
        4 => Fault::Freeze { dispatchers, long: ms(random, 300..5000) },
        5 | 6 => Fault::StepClock { dispatchers, shift: shift(random) },
        7 => Fault::SilenceLog { long: ms(random, 1000..12_000) },
        8 => Fault::ResetLinks { cache, dispatchers, long: ms(random, 100..600) },
        9 => Fault::CutLinks { cache, dispatchers, long: ms(random, 200..2000) },
        10 => {
            Fault::Purge { objects: (0..20).map(|_| random.u64(PURGED)).collect(), gap: ms(random, 1..150) }
        }
        11 => Fault::Reload { dispatchers },
        12 => Fault::Signals { dispatchers, count: random.u32(2..12), gap: ms(random, 1..150) },
        13 => {
            let dispatchers = dispatchers.into_iter().take(CROWDED_DISPATCHERS).collect();
            Fault::Crowd { dispatchers, clients: random.usize(50..200), long: ms(random, 500..8000) }
        }
        _ => fail_calls(random, dispatchers),
    }
}

fn shift(random: &mut fastrand::Rng) -> ClockShift {
    let by = Duration::from_secs([5, 30, 3600, 7200][random.usize(0..4)]);
    match random.u32(0..3) {
        0 => ClockShift::None,
        1 => ClockShift::Ahead(by),
        _ => ClockShift::Behind(by),
    }
}

fn fail_calls(random: &mut fastrand::Rng, dispatchers: Vec<usize>) -> Fault {
    let (call, part) = match random.u32(0..8) {
        0 => (Call::Accept, 0.3),
        1 => (Call::Socket, 0.3),
        2 => (Call::Connect, 0.3),
        3 => (Call::Wait, 0.3),
        4 => (Call::Read, 0.3),
        5 => (Call::Write, 0.3),
        6 => (Call::Break, 0.002),
        _ => (Call::Close, 0.3),
    };
    Fault::FailCalls { dispatchers, call, part, long: ms(random, 500..5000) }
}

/// The candidates for a smaller schedule: each leaves one event out.
pub fn smaller(events: &[Event]) -> Vec<Vec<Event>> {
    let without = |left_out: usize| {
        let kept = events.iter().enumerate().filter(|(number, _)| *number != left_out);
        kept.map(|(_, event)| event.clone()).collect()
    };
    (0..events.len()).map(without).collect()
}

#[cfg(test)]
mod tests {
    use super::{draw, scale};
    use crate::faults::fleet::SlowStartTerms;
    use crate::faults::schedule::Fault;
    use std::time::Duration;

    const TERMS: SlowStartTerms = SlowStartTerms {
        start_capacity: 0.22,
        warm_within: Duration::from_secs(10),
        fall_multiple: 1.5,
        fall_within: Duration::from_secs(1),
    };

    /// The same seed draws the same schedule, another one another; each has a cold start.
    #[test]
    fn a_seed_draws_its_schedule() {
        for seed in 1..50 {
            let (scale, _) = scale(seed, false, TERMS);
            let drawn = draw(&scale);
            assert_eq!(drawn, draw(&scale));
            assert_ne!(drawn, draw(&super::scale(seed + 1, false, TERMS).0));
            assert!(drawn.iter().any(|event| matches!(event.fault, Fault::CrashCache { .. })));
            assert!((1..=6).contains(&scale.dispatchers) || (10..=40).contains(&scale.dispatchers));
        }
    }
}
