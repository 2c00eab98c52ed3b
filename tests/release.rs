//! A release in a fleet of the largest accepted size: most cache hosts are replaced within seconds, and each change is an
//! event of its own.

mod common;

use common::{DEFAULT_LIMITS, DispatcherRig, RouterRig, host_entry, ms, settings};
use myrtlegauge::interface::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Cache hosts of the largest accepted fleet.
const HOSTS: usize = 3200;
/// Hosts that are replaced while the answer with all these events is on its way.
const REPLACED: usize = 500;
/// Points on the ring of a host of mean weight.
const POINTS: usize = 96;
/// The time after its deadline up to which a client still gets its answer: half a second, and 50 ms on sockets.
const ANSWER_SLACK: Duration = Duration::from_millis(550);

fn cache(host: HostIndex) -> HostEntry {
    let id_hash = hash_host_id(&format!("cache {host}"));
    HostEntry { host, id_hash, ..host_entry(0) }
}

/// Guards against case 1 of the review: the rings were sorted anew for each event, so that the dispatcher answered nobody
/// for seconds while a release was told.
#[test]
fn a_change_of_the_list_costs_the_points_of_the_hosts_that_changed() {
    let mut rig = RouterRig::new(settings());
    rig.apply_host_list(ListUpdate::Full, &(0..HOSTS).map(cache).collect::<Vec<_>>());
    let points_before = rig.router.changed_ring_points();
    rig.round(|round| {
        for host in 0..REPLACED {
            let [drained, removed] =
                [HostStatus::Draining, HostStatus::Removed].map(|status| HostEntry { status, ..cache(host) });
            round.on_host_list(ListUpdate::Changes, [&drained]);
            round.on_host_list(ListUpdate::Changes, [&cache(HOSTS + host)]);
            round.on_host_list(ListUpdate::Changes, [&removed]);
        }
    });
    let changed_points = rig.router.changed_ring_points() - points_before;
    assert_eq!(
        changed_points,
        2 * REPLACED * POINTS,
        "each replaced host leaves its points to its successor"
    );
    rig.apply_host_list(ListUpdate::Changes, &[cache(HOSTS)]);
    assert_eq!(rig.router.changed_ring_points() - points_before, changed_points, "nothing has changed");
}

fn endpoint(host: usize, status: &str, since_ms: u64) -> Value {
    let address = format!("127.1.{}.{}:9000", host / 250, host % 250 + 1);
    json!({"name": format!("s-{host:08x}"), "address": address, "zone": "edge", "type": "standard", "group": 0,
        "status": status, "weight": 4, "since_ms": since_ms})
}

/// The answer that tells a release: of each replaced host that it drains, that its successor has started and that it is gone.
fn release(replaced: usize) -> String {
    let events: Vec<Value> = (0..replaced)
        .flat_map(|host| {
            let successor = endpoint(HOSTS + host, "active", 1_764_576_000_000);
            [endpoint(host, "leaving", 0), successor, endpoint(host, "left", 0)]
        })
        .enumerate()
        .map(|(index, line)| json!({"seq": index + 2, "fleet": {"index": 0, "endpoints": [line]}}))
        .collect();
    json!({"seq": events.len() + 1, "results": events}).to_string()
}

/// Guards against case 1 of the review: while the events of one answer were applied, no client was read for seconds.
#[test]
fn a_release_that_comes_in_one_answer_stops_no_client() {
    let hosts: Vec<Value> = (0..HOSTS).map(|host| endpoint(host, "active", 0)).collect();
    let whole = json!({"seq": 1, "fleet": {"index": 0, "snapshot": true, "endpoints": hosts}});
    let known = json!({"seq": 1, "results": [whole]});
    let mut rig = DispatcherRig::with_known_events(settings(), DEFAULT_LIMITS, &known);
    rig.answer_poll(&release(REPLACED));
    let (started_at, mut longest) = (Instant::now(), Duration::ZERO);
    while started_at.elapsed() < ms(1000) {
        let iteration_start = Instant::now();
        rig.run_iteration();
        longest = longest.max(iteration_start.elapsed());
    }
    assert!(longest < ANSWER_SLACK, "no client was read for {longest:?}");
    assert_eq!(rig.dispatcher.host_slots(), HOSTS + REPLACED, "all events are applied");
}

/// Guards against case 3 of the review: an answer with all events of an outage was larger than what is read, and no later one was
/// smaller, so that nothing was heard any more.
#[test]
fn an_answer_of_more_than_a_mebibyte_is_heard_while_clients_are_served() {
    const REPLACED_IN_OUTAGE: usize = HOSTS * 6 / 10;
    let known = json!({"seq": 1, "results": []});
    let mut rig = DispatcherRig::with_known_events(settings(), DEFAULT_LIMITS, &known);
    let answer = release(REPLACED_IN_OUTAGE);
    assert!(answer.len() > 1024 * 1024, "the answer has {} bytes", answer.len());
    rig.answer_poll(&answer);
    let (started_at, mut longest) = (Instant::now(), Duration::ZERO);
    // Each host of the release and its successor.
    while rig.dispatcher.host_slots() < 2 * REPLACED_IN_OUTAGE {
        let iteration_start = Instant::now();
        rig.run_iteration();
        longest = longest.max(iteration_start.elapsed());
        assert!(started_at.elapsed() < ms(20_000), "{} hosts are known", rig.dispatcher.host_slots());
    }
    assert!(longest < ANSWER_SLACK, "no client was read for {longest:?}");
    rig.trace_poll();
    let last_seq = 3 * REPLACED_IN_OUTAGE + 1;
    assert!(rig.trace.contains(&format!("since={last_seq}&")), "{}", rig.trace);
}

/// Guards against a part of an answer that is thrown away: a slow path would send an answer that grows for ever.
#[test]
fn changes_are_heard_though_the_answer_that_holds_them_never_ends() {
    let known = json!({"seq": 1, "results": []});
    let mut rig = DispatcherRig::with_known_events(settings(), DEFAULT_LIMITS, &known);
    let answer = release(4);
    rig.truncate_poll_answer(&answer[..answer.len() / 2]);
    rig.trace_poll();
    assert!(rig.trace.contains("since=7&"), "{}", rig.trace);
}
