//! A fleet of the largest size in sixteen zones. Discovery is down for 8 s while six in ten cache hosts are replaced,
//! and comes back with all its events. After that objects are purged. No client may get a copy from before the purge.
#[path = "stand.rs"]
mod stand;

use stand::*;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Zones, cache hosts of each, and how many of each are replaced.
const ZONES: usize = 16;
const HOSTS: usize = 200;
const REPLACED: usize = HOSTS * 6 / 10;
const DOWN_MS: u64 = 8000;
const REPLACED_WITHIN_MS: u64 = 7000;
const OBJECTS: u64 = 40;
const GROUP: u32 = 17;
const CLIENTS: u64 = 6;
const BUDGET_MS: u64 = 5000;
/// The settings' `obey_after_ms`, and the 50 ms by which every limit is longer on sockets.
const OBEY_MS: u64 = 500 + 50;
/// Caches of the own zone that are drained right after the purge: not judged here, but seen.
const DRAINED: std::ops::Range<usize> = HOSTS - 20..HOSTS;
const TOLD_AT_LATEST_MS: u64 = 7000;
const DRAIN_GRACE_MS: u64 = 1000 + 50;
/// The change log answers at once when the purge is made, so that it counts as told as soon as the dispatcher asks. This
/// is what the pages grant a change log in trouble, after the end of the requested wait.
const TOLD_AFTER_WAIT_MS: u64 = 2000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    exit_with(|| run(&PathBuf::from(&arguments[1])));
}

fn zone_name(zone: usize) -> String {
    format!("edge-{zone:02}")
}

fn run(case_dir: &Path) -> i32 {
    let record = Record::create(&case_dir.join("record.txt"));
    limit_run_time(Duration::from_secs(115));
    // The hosts of the own zone, their successors, and the origin have sockets. The other zones' hosts are listed only:
    // nothing goes to them.
    let own = HOSTS + REPLACED;
    let listeners: Vec<TcpListener> = (0..=own).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|socket| socket.local_addr().unwrap()).collect();
    let name = |zone: usize, host: usize| {
        format!("s-{:08x}", ((zone * 1000 + host) as u32).wrapping_mul(0x9e37_79b9) ^ 0x00c4_1f7a)
    };
    let address = |zone: usize, host: usize| match zone {
        0 => addresses[host],
        _ => SocketAddr::from(([127, 1, zone as u8, (host / 250) as u8 + 1], 20_000 + host as u16)),
    };
    let line = |zone: usize, host: usize, status: &str, since: u64| {
        endpoint(&name(zone, host), address(zone, host), &zone_name(zone), "standard", status, since)
    };
    let mut whole: Vec<String> = (0..ZONES)
        .flat_map(|zone| (0..HOSTS).map(move |host| (zone, host)))
        .map(|(zone, host)| line(zone, host, "active", 0))
        .collect();
    whole.push(endpoint("o-0000a001", addresses[own], &zone_name(0), "origin", "active", 0));
    let mut names: Vec<String> = (0..own).map(|host| name(0, host)).collect();
    names.push("o-0000a001".to_owned());
    let world = World::new(names, &record);
    World::serve(&world, listeners);
    let change_log = ChangeLog::start(&record, vec![fleet(1, true, &whole)]);
    let listen = free_address();
    let zones = (0..ZONES).map(zone_name).collect();
    let site = Site { settings: MEMBER_CATALOGUE, zones, dispatchers_per_zone: 20 };
    let text = config(listen, change_log.address, &change_log.known(), &site);
    let mut dispatcher = match Dispatcher::start(&root(case_dir), listen, "n1", &text) {
        Ok(dispatcher) => dispatcher,
        Err(error) => {
            record.say(&error);
            return COULD_NOT_RUN;
        }
    };
    record.say(&format!(
        "{} cache hosts in {ZONES} zones; dispatcher ready, process {}",
        ZONES * HOSTS,
        dispatcher.id()
    ));
    let clients = Clients::new(&record);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let clients = Arc::clone(&clients);
            std::thread::spawn(move || run_client(number, listen, &clients))
        })
        .collect();
    std::thread::sleep(ms(3000));

    let down_from = Instant::now();
    if has_trouble() {
        change_log.set_down(true);
    }
    replace_hosts(&change_log, &record, &line);
    std::thread::sleep(ms(DOWN_MS).saturating_sub(down_from.elapsed()));
    change_log.set_down(false);
    std::thread::sleep(ms(6000));
    // All is quiet again for some seconds, and the change log answers at once.
    let at = unix_ms();
    world.lock().unwrap().purged_at = Some(at);
    let number = change_log.add(purge(GROUP, at));
    record.say(&format!(
        "group {GROUP} is purged, 6 s after discovery is back; event {number} is in the change log"
    ));
    DRAINED.for_each(|host| _ = change_log.add(fleet(2, false, &[line(0, host, "leaving", 0)])));
    let drained_at = Instant::now();
    let is_over = Duration::from_millis(TOLD_AT_LATEST_MS + DRAIN_GRACE_MS);
    std::thread::sleep(is_over);
    let drained = || world.lock().unwrap().arrivals[DRAINED].iter().sum::<u64>();
    let before = drained();
    std::thread::sleep(ms(3000));
    let at_drained = drained() - before;
    record.say(&format!(
        "not judged: {at_drained} requests came to draining caches from {} to {} ms after its event",
        is_over.as_millis(),
        drained_at.elapsed().as_millis()
    ));
    clients.stop();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let ended = dispatcher.has_ended();
    record.line("dispatcher's log:");
    dispatcher.log().lines().take(400).for_each(|text| record.line(text));
    let (tally, world) = (clients.tally.lock().unwrap(), world.lock().unwrap());
    record.say(&change_log.summary());
    record.say(&format!("requests: {tally:?}"));
    if let Some(status) = ended {
        record.say(&format!("BROKEN: the dispatcher ended by itself: {status}"));
        return BROKEN;
    }
    if tally.served == 0 {
        record.say("no request was served at all");
        return COULD_NOT_RUN;
    }
    let told_ms = change_log.requested_wait_ms.load(Ordering::Relaxed) + TOLD_AFTER_WAIT_MS;
    judge_purge(&record, &world.old_after, told_ms + OBEY_MS)
}

/// Replaces six in ten hosts of each zone: each is told as leaving, its successor as started 1 s later, and it as left
/// 2.5 s later.
fn replace_hosts(change_log: &ChangeLog, record: &Record, line: &dyn Fn(usize, usize, &str, u64) -> String) {
    let spread = REPLACED_WITHIN_MS - 2500;
    let mut steps: Vec<(u64, usize, usize, &str)> = Vec::new();
    for number in 0..REPLACED {
        let at = number as u64 * spread / REPLACED as u64;
        for zone in 0..ZONES {
            steps.push((at, zone, number, "leaving"));
            steps.push((at + 1000, zone, HOSTS + number, "active"));
            steps.push((at + 2500, zone, number, "left"));
        }
    }
    steps.sort_unstable();
    record.say(&format!("{} cache hosts are replaced within {REPLACED_WITHIN_MS} ms", REPLACED * ZONES));
    let start = Instant::now();
    for (index, (at, zone, host, status)) in steps.into_iter().enumerate() {
        std::thread::sleep(ms(at).saturating_sub(start.elapsed()));
        let since = if status == "active" { unix_ms() } else { 0 };
        change_log.add(fleet(index + 2, false, &[line(zone, host, status, since)]));
    }
}

fn run_client(number: u64, listen: SocketAddr, clients: &Clients) {
    let mut random = Random(number + 7);
    let mut client = None;
    while !clients.is_stopped() {
        std::thread::sleep(ms(20 + random.below(30)));
        if client.is_none() {
            client = Client::connect(listen).ok();
        }
        let Some(open) = &mut client else { continue };
        let object = random.below(OBJECTS);
        let get = Get { class: "media", object, part: 0, group: GROUP, budget_ms: BUDGET_MS, body: b"" };
        let (id, sent) = (new_id(), Instant::now());
        let answer = open.get(&id, &get, ms(BUDGET_MS + 550));
        clients.note(&id, &format!("object {object:016x}"), sent.elapsed(), &answer);
        if matches!(answer, Answer::Lost(_)) {
            client = None;
        }
    }
}
