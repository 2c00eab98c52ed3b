//! Plays a script of faults on a fleet under load, and collects what clients and stand-ins observed.

use super::front::{Due, Front};
use super::result::RunResult;
use super::testbed::Testbed;
use super::{Defect, Scenario, Script, servers, workload, zones};
use crate::stand::ledger::Ledger;
use crate::stand::watch;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout};

/// Time until all dispatchers have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
/// Pause between the end of the set-up and the first request.
const START_DELAY: Duration = Duration::from_millis(50);
/// How long the last requests may take.
const LAST_REQUESTS: Duration = Duration::from_millis(3200);
/// How long dispatchers may take to end after SIGTERM.
const SHUTDOWN: Duration = Duration::from_millis(1300);
/// Lines of a crashed dispatcher's log that are reported.
const CRASH_LINES: usize = 3;

/// Runs a fleet under the requests of the scenario while the faults of the script happen.
pub async fn run(scenario: &Scenario, script: &Script) -> Result<RunResult, String> {
    let ledger = Arc::new(Ledger::new());
    let mut testbed = Testbed::start(scenario, &ledger).await?;
    let front = start_clients(&testbed, &ledger).await?;
    servers::fill_caches(&testbed.hosts);
    let requests = workload::schedule(scenario);
    testbed.started = Instant::now() + START_DELAY;
    let testbed = Arc::new(testbed);
    let verdicts = zones::watch(&testbed.control_services, testbed.started);
    let lag = Arc::new(AtomicU64::new(0));
    let lag_watch = tokio::spawn(watch(Arc::clone(&lag)));
    let faults = schedule_faults(&testbed, script);
    send_requests(&testbed, &front, &requests).await;
    for fault in faults {
        fault.await.map_err(|e| e.to_string())??;
    }
    lag_watch.abort();
    let crashes = stop_dispatchers(&testbed).await;
    let logs = read_logs(&testbed).await;
    let mut violations = ledger.breaks().1;
    violations.extend(crashes);
    violations.extend(count_violations(&testbed, &front, requests.len()));
    let (hosts, started) = (&testbed.hosts, testbed.started);
    let parents = hosts.iter().filter(|host| host.kind == "parent");
    let verdicts = verdicts.lock().expect("no holder panics").clone();
    Ok(RunResult {
        outcomes: front.got(),
        requests,
        origin_load: hosts.last().map(|origin| origin.arrived(started)).unwrap_or_default(),
        parent_capacity: parents.clone().next().map_or(1.0, |parent| parent.bears()),
        parent_loads: parents.map(|parent| parent.arrived(started)).collect(),
        lifetimes: testbed.lifetimes(),
        violations,
        effects: ledger.counted()[3],
        caches_overloaded: hosts.iter().map(|host| host.fell.load(Ordering::Relaxed)).sum(),
        retry_after: front.backs(),
        logs,
        lag: Duration::from_micros(lag.load(Ordering::Relaxed)),
        copy_losses: testbed.copy_losses(),
        zone_arrivals: zones::arrivals(scenario, hosts, started),
        zone_loads: zones::loads(scenario, hosts, started),
        verdicts,
    })
}

/// Starts the clients with their load balancer, and waits until every dispatcher is ready.
async fn start_clients(testbed: &Testbed, ledger: &Arc<Ledger>) -> Result<Arc<Front>, String> {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for dispatcher in &testbed.dispatchers {
        addresses.push(dispatcher.lock().await.address);
    }
    let careless = testbed.scenario.defect == Some(Defect::EffectsRetried);
    let net = Arc::clone(&testbed.net);
    let front = Front::new(&addresses, &testbed.hosts, net, Arc::clone(ledger), careless);
    front.watch();
    let deadline = Instant::now() + READY_TIMEOUT;
    while !front.all_up() {
        if Instant::now() > deadline {
            return Err(format!("not all dispatchers are ready after {READY_TIMEOUT:?}"));
        }
        sleep(READY_POLL).await;
    }
    Ok(front)
}

/// Injects each fault of the script at its time.
fn schedule_faults(testbed: &Arc<Testbed>, script: &Script) -> Vec<JoinHandle<Result<(), String>>> {
    let schedule = |&(at, fault)| {
        let testbed = Arc::clone(testbed);
        tokio::spawn(async move {
            sleep_until((testbed.started + at).into()).await;
            testbed.inject(fault).await
        })
    };
    script.iter().map(schedule).collect()
}

/// Sends each request at its time, and waits for the last ones for a while.
async fn send_requests(testbed: &Testbed, front: &Arc<Front>, requests: &[Due]) {
    let started = testbed.started;
    let mut pending = JoinSet::new();
    for (number, &request) in requests.iter().enumerate() {
        sleep_until((started + request.at).into()).await;
        let (front, seed) = (Arc::clone(front), testbed.scenario.seed << 32 | number as u64);
        pending.spawn(async move { front.get(request, started, seed).await });
    }
    let _ = timeout(LAST_REQUESTS, pending.join_all()).await;
}

/// Ends all dispatchers by SIGTERM, on which they log their counters. Reports those that had crashed before.
async fn stop_dispatchers(testbed: &Testbed) -> Vec<String> {
    let mut crashes = Vec::new();
    for (index, dispatcher) in testbed.dispatchers.iter().enumerate() {
        let mut dispatcher = dispatcher.lock().await;
        if dispatcher.has_crashed() {
            let log = dispatcher.logged();
            let last = log.lines().rev().take(CRASH_LINES).collect::<Vec<_>>().join(" | ");
            crashes.push(format!("dispatcher {index} ended by itself: {last}"));
        }
        dispatcher.signal(Signal::TERM);
    }
    sleep(SHUTDOWN).await;
    crashes
}

async fn read_logs(testbed: &Testbed) -> Vec<String> {
    let mut logs = Vec::new();
    for dispatcher in &testbed.dispatchers {
        logs.push(dispatcher.lock().await.logged());
    }
    logs
}

/// Checks that each request had one end, and that copies were called current only by hosts.
fn count_violations(testbed: &Testbed, front: &Front, requests: usize) -> Vec<String> {
    let mut violations = Vec::new();
    let ends = front.got().len();
    if ends != requests {
        violations.push(format!("{requests} GETs and {ends} ends"));
    }
    if front.second_answers() > 0 {
        violations.push(format!("{} second answers", front.second_answers()));
    }
    let confirmed: u64 = testbed.hosts.iter().map(|host| host.named_current.load(Ordering::Relaxed)).sum();
    let answered = front.said_current.load(Ordering::Relaxed);
    if answered > confirmed {
        violations.push(format!("{answered} copies were called current, hosts named {confirmed}"));
    }
    violations
}
