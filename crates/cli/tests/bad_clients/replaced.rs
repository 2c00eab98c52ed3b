//! A host that dies while another process starts at its address, which the change log tells late.

use super::change_log::ChangeLog;
use super::clients::{new_id, try_connect};
use super::common::host_line;
use super::host::{EFFECT_TIME, Host};
use super::process::{Dispatcher, NARROW};
use super::records::{get, params_with_token, request_of};
use fastrand::Rng;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// Requests with effects that are at the host when it dies, and those that come until the change log tells of it.
const REQUESTS: u16 = 4;
/// Time for a request to reach a host.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// The order in which the change log tells of the two hosts at one address.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    LeftFirst,
    NewFirst,
    /// The new host is told of this long before the other's end.
    NewLongBefore(Duration),
}

/// When the connections of the host that dies end.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionEnds {
    AtOnce,
    /// One of them this much later than the others.
    OneLater(Duration),
}

/// How a host is replaced.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    pub order: Order,
    /// How long after the death the change log tells of it.
    pub late: Duration,
    pub ends: ConnectionEnds,
}

impl Replacement {
    /// The longest time by which the change log is late in a drawn replacement.
    const MAX_LATE_MS: u64 = 1500;
    /// The longest time between the ends of two connections, or between two lines of the list.
    const MAX_PAUSE_MS: u64 = 300;

    /// Draws how a host is replaced.
    pub fn draw(rng: &mut Rng) -> Self {
        let mut pause = || Duration::from_millis(rng.u64(1..=Self::MAX_PAUSE_MS));
        let (ends_apart, lines_apart) = (pause(), pause());
        Self {
            order: [Order::LeftFirst, Order::NewFirst, Order::NewLongBefore(lines_apart)][rng.usize(..3)],
            late: Duration::from_millis(rng.u64(..=Self::MAX_LATE_MS)),
            ends: [ConnectionEnds::AtOnce, ConnectionEnds::OneLater(ends_apart)][rng.usize(..2)],
        }
    }
}

/// What became of the requests with effects.
pub struct Outcome {
    /// Ids that reached both the old and the new process. They are of different zones, so that neither drops a repeat of what
    /// the other has run.
    pub ran_twice: Vec<String>,
    /// Requests that reached the new process before the change log told of it.
    pub before_told: usize,
    /// Requests that were sent once the change log had told that the address is the new host's, and reached it all the same.
    pub after_told: usize,
}

/// Replaces the origin, which takes all requests with effects, by a cache of another zone at its address.
pub fn replace_origin(replacement: Replacement) -> Outcome {
    let (cache, parent, mut old) = (Host::start(64), Host::start(64), Host::start(64));
    let change_log = ChangeLog::start();
    let hosts = [
        host_line("c1", "standard", "edge", cache.address, "active"),
        host_line("p1", "parent", "hub", parent.address, "active"),
        host_line("o1", "origin", "hub", old.address, "active"),
    ];
    let dispatcher = Dispatcher::start(NARROW, &hosts, &change_log);
    let mut connections = Vec::new();
    let mut ids = send_effects(dispatcher.address, &mut connections);
    sleep(TRANSIT_TIME);
    // The first connection is in use by now, so that there is another one after this.
    ids.extend(send_effects(dispatcher.address, &mut connections));
    sleep(TRANSIT_TIME);
    let mut ending = old.stop_in_steps();
    let (new, next_origin) = (Host::start_at(old.address, 64), Host::start(64));
    if let ConnectionEnds::OneLater(pause) = replacement.ends {
        assert!(ending.count() > 1, "the host has several connections");
        ending.end_all_but_one();
        sleep(pause);
    }
    drop(ending);
    ids.extend(send_effects(dispatcher.address, &mut connections));
    sleep(replacement.late + TRANSIT_TIME);
    let before_told = ids.iter().map(|id| new.runs_of(id)).sum();
    let later_ids = publish(&change_log, replacement.order, old.address, next_origin.address, || {
        send_effects(dispatcher.address, &mut connections)
    });
    ids.extend(send_effects(dispatcher.address, &mut connections));
    sleep(EFFECT_TIME);
    let after_told = later_ids.iter().map(|id| new.runs_of(id)).sum();
    ids.extend(later_ids);
    let ran_twice = ids.into_iter().filter(|id| old.runs_of(id) > 0 && new.runs_of(id) > 0).collect();
    Outcome { ran_twice, before_told, after_told }
}

/// Sends requests of both classes with effects, and returns their ids.
fn send_effects(to: SocketAddr, connections: &mut Vec<TcpStream>) -> Vec<String> {
    let mut stream = try_connect(to).unwrap();
    let mut ids = Vec::new();
    for number in 1..=REQUESTS {
        let (once, tokened) = (new_id(), new_id());
        stream.write_all(&get(number, "confirm", &once, 1)).unwrap();
        let params = params_with_token("order", &tokened, 1, &format!("token-{tokened}"));
        stream.write_all(&request_of(number + REQUESTS, &params, b"")).unwrap();
        ids.extend([once, tokened]);
    }
    connections.push(stream);
    ids
}

/// Tells of both hosts. Between two lines that come apart, requests are sent; returns their ids.
fn publish(
    change_log: &ChangeLog,
    order: Order,
    address: SocketAddr,
    next_origin: SocketAddr,
    send: impl FnOnce() -> Vec<String>,
) -> Vec<String> {
    let left = [host_line("o1", "origin", "hub", address, "left")];
    let new = [
        host_line("c2", "standard", "edge", address, "active"),
        host_line("o2", "origin", "hub", next_origin, "active"),
    ];
    let lists: [&[Value]; 2] = match order {
        Order::LeftFirst => [&left, &new],
        // The other origin is told of last, so that requests are still for the one that has died.
        Order::NewLongBefore(_) => [&new[..1], &[left[0].clone(), new[1].clone()]],
        Order::NewFirst => [&new, &left],
    };
    let publish_list = |endpoints: &[Value]| {
        let fleet = json!({"index": 0, "snapshot": false, "endpoints": endpoints});
        change_log.publish(&format!("\"fleet\":{fleet}"));
    };
    publish_list(lists[0]);
    let mut ids = Vec::new();
    if let Order::NewLongBefore(span) = order {
        sleep(TRANSIT_TIME);
        ids = send();
        sleep(span);
    }
    publish_list(lists[1]);
    ids
}
