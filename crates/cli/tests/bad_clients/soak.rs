//! Drawn clients and faults beside honest clients, judged by what the clients and hosts saw and by the system's account of
//! the process.

use super::change_log::ChangeLog;
use super::common::host_lines;
use super::drawn::{Fault, Plan};
use super::honest::{HonestClients, Outages, Report};
use super::host::Host;
use super::leavers;
use super::process::Dispatcher;
use fastrand::Rng;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the honest clients are alone, and beside the bad ones.
const ALONE_TIME: Duration = Duration::from_millis(1000);
const TROUBLE_TIME: Duration = Duration::from_millis(3000);
/// Pause between two signals or kills in a series.
const SERIES_PAUSE: Duration = Duration::from_millis(150);
/// Fraction of the memory limit that the process stays under.
const MAX_PEAK: f64 = 0.9;
/// Latency beside bad clients may be twice that of a client alone, and this much more.
const MAX_DELAY: Duration = Duration::from_millis(20);
/// A machine that wakes a sleeping thread later than this can't judge latencies.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Plays one seed and returns what was broken.
pub fn play(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let plan = Plan::draw(&mut rng);
    let (host, change_log) = (Host::start(plan.body_bytes), ChangeLog::start());
    let lines = host_lines(host.address, host.address);
    let mut dispatcher = Dispatcher::start(plan.limits, &lines, &change_log);
    let outages = Arc::new(Outages::default());
    let services = ["video", "video", "confirm"];
    let alone = HonestClients::start(dispatcher.address, &services, &outages);
    sleep(ALONE_TIME);
    let alone = alone.finish();
    let honest = HonestClients::start(dispatcher.address, &services, &outages);
    let lasting = HonestClients::start(dispatcher.address, &services, &outages);
    let bad_clients = plan.start_clients(dispatcher.address);
    let (mut left, mut repeated) = (Vec::new(), Vec::new());
    let (mut peak, mut lag, end) = (0.0f64, Duration::ZERO, Instant::now() + TROUBLE_TIME);
    let fault_at = Instant::now() + TROUBLE_TIME.mul_f64(rng.f64() / 2.0);
    let mut is_fault_due = true;
    while Instant::now() < end {
        if is_fault_due && Instant::now() >= fault_at {
            is_fault_due = false;
            peak = peak.max(dispatcher.peak_memory());
            left.extend(carry_out(plan.fault, &mut dispatcher, &outages, &mut rng));
        }
        left.extend(leavers::leave(dispatcher.address, &mut rng));
        if !matches!(plan.fault, Fault::Killed(_)) {
            repeated.extend(leavers::come_again(dispatcher.address, &mut rng));
        }
        let slept_at = Instant::now();
        sleep(SERIES_PAUSE);
        lag = lag.max(slept_at.elapsed() - SERIES_PAUSE);
    }
    peak = peak.max(dispatcher.peak_memory());
    let beside = honest.finish();
    // The other clients, bad ones too, go on until the kill.
    dispatcher.end_in_steps();
    drop(bad_clients);
    let mut broken = judge_requests(&beside);
    broken.extend(judge_requests(&lasting.finish()));
    broken.extend(
        left.iter().flat_map(|left| left.late_attempts(&host)).map(|id| format!("{id} sent after close")),
    );
    let runs = repeated.iter().map(|id| (id, host.runs_of(id)));
    broken.extend(runs.filter(|(_, runs)| *runs > 1).map(|(id, runs)| format!("{id} ran {runs} times")));
    if peak >= MAX_PEAK {
        broken.push(format!("memory at {peak:.2} of the limit"));
    }
    let (p99_alone, p99_beside) = (p99(&alone), p99(&beside));
    let is_judged = lag < MAX_LAG && matches!(plan.fault, Fault::None | Fault::Signalled(_));
    if is_judged && p99_beside > p99_alone * 2 + MAX_DELAY {
        broken.push(format!("p99 {p99_beside:?} beside, {p99_alone:?} alone"));
    }
    let not_returned: usize = beside.iter().map(|report| report.not_returned).sum();
    println!(
        "seed {seed}: {}; peak {peak:.2}, p99 {p99_alone:?} and {p99_beside:?}{}, {not_returned} not returned, {} left, \
         {} again; broken: {broken:?}",
        plan.describe(),
        if is_judged { "" } else { " (not judged)" },
        left.len(),
        repeated.len()
    );
    broken
}

/// Carries out a fault. While the process is stopped, clients come and leave.
fn carry_out(
    fault: Fault,
    dispatcher: &mut Dispatcher,
    outages: &Outages,
    rng: &mut Rng,
) -> Vec<leavers::Left> {
    let mut left = Vec::new();
    match fault {
        Fault::None => {}
        Fault::Stopped(span) => {
            dispatcher.signal("-STOP");
            left.extend((0..3).filter_map(|_| leavers::leave(dispatcher.address, rng)));
            sleep(span);
            dispatcher.signal("-CONT");
        }
        Fault::Killed(times) => {
            for _ in 0..times {
                outages.record_change();
                dispatcher.restart();
                outages.record_change();
                sleep(SERIES_PAUSE);
            }
        }
        Fault::Signalled(times) => {
            for _ in 0..times {
                dispatcher.signal("-HUP");
                dispatcher.signal("-USR1");
                sleep(SERIES_PAUSE / 10);
            }
        }
    }
    left
}

fn judge_requests(reports: &[Report]) -> Vec<String> {
    let lost = reports.iter().flat_map(|report| &report.lost);
    lost.map(|lost| format!("lost {lost}")).collect()
}

/// The latency that all but one in a hundred GETs of the reading clients stay under.
fn p99(reports: &[Report]) -> Duration {
    // The last one asks for requests with effects, which take longer.
    let reading = &reports[..reports.len() - 1];
    let mut latencies: Vec<Duration> = reading.iter().flat_map(|report| &report.latencies).copied().collect();
    latencies.sort();
    latencies.get(latencies.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default()
}
