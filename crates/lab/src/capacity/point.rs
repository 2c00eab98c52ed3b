//! One measured point: a fleet of one size, purges published at its rate, and what each role used in a window of time.

use super::errors::CapacityError;
use super::fleet::{Conditions, Fleet, HOLLOWS, Look, reader_name};
use super::messages::{HollowCounts, ListenerCounts};
use super::replicas::ReplicaFigures;
use super::replicated::never_told;
use super::size::Size;
use super::usage::Usage;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Between two looks at who has every purge.
const LOOKS_EVERY: Duration = Duration::from_millis(20);
/// What two counts in ticks, of user and of system time, may be off by.
const TICKS_OFF: Duration = Duration::from_millis(20);
/// A poll and its answer.
pub const MESSAGES_OF_A_POLL: u64 = 2;
/// Names in a break; the others are counted.
const NAMED_MOST: usize = 5;

/// How long purges are published before the window, and the window.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub before: Duration,
    pub window: Duration,
}

impl Timing {
    pub fn of(quick: bool) -> Self {
        if quick {
            Self { before: Duration::from_millis(200), window: Duration::from_millis(1000) }
        } else {
            Self { before: Duration::from_millis(500), window: Duration::from_millis(3000) }
        }
    }
}

/// What one instance of a role costs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleFigures {
    /// Hundredths of one core.
    pub cpu_percent: f64,
    pub memory_kb: f64,
    pub descriptors: f64,
    pub messages_per_second: f64,
    pub bytes_per_second: f64,
}

impl RoleFigures {
    /// The mean of several instances.
    pub fn mean(instances: &[Self]) -> Self {
        let of = |figure: fn(&Self) -> f64| mean(instances.iter().map(figure));
        Self {
            cpu_percent: of(|figures| figures.cpu_percent),
            memory_kb: of(|figures| figures.memory_kb),
            descriptors: of(|figures| figures.descriptors),
            messages_per_second: of(|figures| figures.messages_per_second),
            bytes_per_second: of(|figures| figures.bytes_per_second),
        }
    }
}

/// From published to in force at a hollow dispatcher.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct InForce {
    pub count: u64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub worst_us: u64,
}

impl InForce {
    /// Of microseconds, each with how often it was seen.
    pub fn of(seen: &[(u64, u64)]) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Self::default() };
        for &(us, count) in seen {
            histogram.record_n(us, count).expect("a histogram that grows takes any value");
        }
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            worst_us: histogram.max(),
        }
    }
}

/// What was measured at one point.
#[derive(Clone, Debug, Serialize)]
pub struct PointFigures {
    pub size: Size,
    pub window_s: f64,
    pub purges: u64,
    /// Each hollow dispatcher: the process's account by their number, less what it had used before it had any.
    pub dispatcher: RoleFigures,
    /// Memory of a process of hollow dispatchers that has none.
    pub fixed_memory_kb: f64,
    /// Each control machine.
    pub control: RoleFigures,
    /// The change log's one process.
    pub change_log: RoleFigures,
    /// The replicas, where there are some.
    pub replicas: Option<ReplicaFigures>,
    /// Each real dispatcher, where there are some.
    pub real: Option<RoleFigures>,
    /// Each hollow dispatcher with a process to itself, where there are some.
    pub lone: Option<RoleFigures>,
    pub in_force: InForce,
    /// Part by which the bytes that hollow dispatchers counted at their own sockets are off those that the change log counted,
    /// since the fleet began.
    pub own_bytes_off: f64,
    /// From the last purge published until everyone had every one.
    pub settled_ms: f64,
    pub breaks: Vec<String>,
}

impl PointFigures {
    /// What a dispatcher takes that has a process to itself.
    pub fn memory_alone_kb(&self) -> f64 {
        self.fixed_memory_kb + self.dispatcher.memory_kb
    }
}

/// Plays one point.
///
/// # Errors
/// A fleet that does not start, or breaks off.
pub async fn play(size: Size, conditions: Conditions, timing: Timing) -> Result<PointFigures, CapacityError> {
    let mut fleet = Fleet::start(size, conditions).await?;
    let (before, after) = window(&mut fleet, timing).await?;
    let mut figures = figures(&fleet, &before, &after);
    finish(&mut fleet, &mut figures).await?;
    Ok(figures)
}

/// Publishes purges, and looks at all before and after a window of time.
async fn window(fleet: &mut Fleet, timing: Timing) -> Result<(Look, Look), CapacityError> {
    fleet.publish()?;
    tokio::time::sleep(timing.before).await;
    let before = fleet.look()?;
    tokio::time::sleep(timing.window).await;
    let after = fleet.look()?;
    Ok((before, after))
}

/// Publishes no more, gives everyone time to have all, and counts by name who has not.
///
/// # Errors
/// A process that ended.
pub async fn finish(fleet: &mut Fleet, figures: &mut PointFigures) -> Result<(), CapacityError> {
    fleet.halt()?;
    let halted = Instant::now();
    let published = fleet.counts()?.purges;
    let (unsettled, untold) = loop {
        let unsettled = fleet.unsettled(published)?;
        let untold = fleet.untold(published);
        if unsettled.is_empty() && untold.is_empty() || halted.elapsed() > fleet.patience() {
            break (unsettled, untold);
        }
        tokio::time::sleep(LOOKS_EVERY).await;
    };
    figures.purges = published;
    figures.settled_ms = halted.elapsed().as_secs_f64() * 1e3;
    figures.in_force = InForce::of(&fleet.take_in_force()?);
    figures.breaks.extend(lacking(&unsettled, published));
    figures.breaks.extend(never_told(&untold));
    if let Some(replicas) = &mut figures.replicas {
        replicas.told = fleet.take_told();
    }
    figures.own_bytes_off = own_bytes_off(fleet)?;
    figures.breaks.extend(fleet.deaths().into_iter().map(|dead| format!("{dead} ended by itself")));
    Ok(())
}

/// Both counts are taken a moment apart, while polls without news go on.
fn own_bytes_off(fleet: &mut Fleet) -> Result<f64, CapacityError> {
    if fleet.size.replicas > 0 {
        return Ok(0.0);
    }
    let own = fleet.own_bytes()? as f64;
    let counted = fleet.counts()?.listeners.get(HOLLOWS).map_or(0, ListenerCounts::bytes) as f64;
    Ok(own / counted.max(1.0) - 1.0)
}

/// A break that names those who lack a purge or a host.
pub fn lacking(unsettled: &[String], published: u64) -> Option<String> {
    let named = unsettled.iter().take(NAMED_MOST).cloned().collect::<Vec<_>>().join(", ");
    let count = unsettled.len();
    (count > 0).then(|| format!("{count} have not the whole list and all of {published} purges: {named}"))
}

/// What each role used between two looks.
pub fn figures(fleet: &Fleet, before: &Look, after: &Look) -> PointFigures {
    let long = after.at.duration_since(before.at).as_secs_f64();
    let passed = |name: &str| {
        let (then, now) = (before.counts.listeners.get(name), after.counts.listeners.get(name));
        now.map(|now| now.since(&then.copied().unwrap_or_default())).unwrap_or_default()
    };
    let role = |role: &str, then: &[Usage], now: &[Usage]| {
        let passed: Vec<_> = (0..now.len()).map(|number| passed(&reader_name(role, number))).collect();
        of_processes(then, now, &passed, long)
    };
    let all = after.counts.listeners.keys().map(|name| passed(name)).collect::<Vec<_>>();
    PointFigures {
        size: fleet.size,
        window_s: long,
        purges: after.counts.purges,
        dispatcher: of_hollows(fleet, before, after, &passed(HOLLOWS), long),
        fixed_memory_kb: mean(fleet.empty().iter().map(|usage| usage.memory_kb as f64)),
        control: role("control", &before.controls, &after.controls),
        change_log: of_log(before, after, &all, long),
        replicas: (fleet.size.replicas > 0).then(|| ReplicaFigures::of(before, after, long)),
        real: (!after.reals.is_empty()).then(|| role("real", &before.reals, &after.reals)),
        lone: (!after.lones.is_empty()).then(|| role("lone", &before.lones, &after.lones)),
        in_force: InForce::default(),
        own_bytes_off: 0.0,
        settled_ms: 0.0,
        breaks: Vec::new(),
    }
}

fn of_hollows(fleet: &Fleet, before: &Look, after: &Look, passed: &ListenerCounts, long: f64) -> RoleFigures {
    let count = fleet.running_by_process().iter().sum::<usize>() as f64;
    let held = |of: fn(&Usage) -> f64| {
        let empty = fleet.empty();
        let grown = after.hollows.iter().zip(&empty).map(|(now, empty)| (of(now) - of(empty)).max(0.0));
        grown.sum::<f64>() / count
    };
    // Replicas count all their pollers together: where there are some, the dispatchers' own counts are taken.
    let (messages, bytes) = if fleet.size.replicas > 0 {
        own_traffic(before, after)
    } else {
        (passed.messages(), passed.bytes())
    };
    RoleFigures {
        cpu_percent: sum_cpu(&before.hollows, &after.hollows) / count / long * 100.0,
        memory_kb: held(|usage| usage.memory_kb as f64),
        descriptors: held(|usage| usage.descriptors as f64),
        messages_per_second: messages as f64 / count / long,
        bytes_per_second: bytes as f64 / count / long,
    }
}

/// Messages and bytes that hollow dispatchers counted between two looks; one that began anew meanwhile counts from zero.
fn own_traffic(before: &Look, after: &Look) -> (u64, u64) {
    let mut passed = (0, 0);
    for (number, now) in &after.own {
        let then = before.own.get(number).copied().unwrap_or_default();
        let since = |of: fn(&HollowCounts) -> u64| of(now).checked_sub(of(&then)).unwrap_or(of(now));
        passed.0 += MESSAGES_OF_A_POLL * since(|counts| counts.polls_answered);
        passed.1 += since(|counts| counts.bytes_in) + since(|counts| counts.bytes_out);
    }
    passed
}

fn of_processes(then: &[Usage], now: &[Usage], passed: &[ListenerCounts], long: f64) -> RoleFigures {
    let count = now.len().max(1) as f64;
    RoleFigures {
        cpu_percent: sum_cpu(then, now) / count / long * 100.0,
        memory_kb: mean(now.iter().map(|usage| usage.memory_kb as f64)),
        descriptors: mean(now.iter().map(|usage| usage.descriptors as f64)),
        messages_per_second: passed.iter().map(ListenerCounts::messages).sum::<u64>() as f64 / count / long,
        bytes_per_second: passed.iter().map(ListenerCounts::bytes).sum::<u64>() as f64 / count / long,
    }
}

fn of_log(before: &Look, after: &Look, passed: &[ListenerCounts], long: f64) -> RoleFigures {
    of_processes(&[before.log], &[after.log], passed, long)
}

/// Seconds of processor time between two looks; a process that began anew meanwhile counts from zero.
pub fn sum_cpu(then: &[Usage], now: &[Usage]) -> f64 {
    then.iter().zip(now).map(|(then, now)| used_between(then, now).as_secs_f64()).sum()
}

/// Threads that ended meanwhile are counted only in ticks.
fn used_between(then: &Usage, now: &Usage) -> Duration {
    let threads = now.cpu.checked_sub(then.cpu);
    let ticks = now.cpu_with_ended.checked_sub(then.cpu_with_ended).unwrap_or(now.cpu_with_ended);
    let some_ended = threads.is_none_or(|threads| ticks > threads + TICKS_OFF);
    if some_ended { ticks } else { threads.unwrap_or(ticks) }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
