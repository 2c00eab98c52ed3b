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

/// Guards against case 1 of the review: while the events of one answer were applied, no client was read for seconds.
#[test]
fn a_release_that_comes_in_one_answer_stops_no_client() {
    let hosts: Vec<Value> = (0..HOSTS).map(|host| endpoint(host, "active", 0)).collect();
    let whole = json!({"seq": 1, "fleet": {"index": 0, "snapshot": true, "endpoints": hosts}});
    let known = json!({"seq": 1, "results": [whole]});
    let mut rig = DispatcherRig::with_known_events(settings(), DEFAULT_LIMITS, &known);
    let events: Vec<Value> = (0..REPLACED)
        .flat_map(|host| {
            let successor = endpoint(HOSTS + host, "active", 1_764_576_000_000);
            [endpoint(host, "leaving", 0), successor, endpoint(host, "left", 0)]
        })
        .enumerate()
        .map(|(index, line)| json!({"seq": index + 2, "fleet": {"index": 0, "endpoints": [line]}}))
        .collect();
    rig.answer_poll(&json!({"seq": events.len() + 1, "results": events}).to_string());
    let (started_at, mut longest) = (Instant::now(), Duration::ZERO);
    while started_at.elapsed() < ms(1000) {
        let iteration_start = Instant::now();
        rig.run_iteration();
        longest = longest.max(iteration_start.elapsed());
    }
    assert!(longest < ANSWER_SLACK, "no client was read for {longest:?}");
    assert_eq!(rig.dispatcher.host_slots(), HOSTS + REPLACED, "all events are applied");
}
