//! A small location: three caches, a parent and the origin, one dispatcher. A group is purged while the change log is
//! in trouble. `purge CASE_DIR slow|silent`.
#[path = "stand.rs"]
mod stand;

use stand::*;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const OBJECTS: u64 = 40;
const GROUP: u32 = 17;
const CLIENTS: u64 = 6;
const BUDGET_MS: u64 = 5000;
/// How much later each answer of the slow change log leaves.
const LATE: Duration = Duration::from_millis(1000);
/// The settings' `obey_after_ms`, and the 50 ms by which every limit is longer on sockets.
const OBEY_MS: u64 = 500 + 50;
/// A cache that is drained right after the purge: not judged here, but seen.
const DRAINED: usize = 2;
const TOLD_AT_LATEST_MS: u64 = 7000;
const DRAIN_GRACE_MS: u64 = 1000 + 50;
/// What a change log in trouble would have told counts as told this long after the end of the requested wait.
const TOLD_AFTER_WAIT_MS: u64 = 2000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    exit_with(|| run(&PathBuf::from(&arguments[1]), &arguments[2]));
}

fn run(case_dir: &Path, trouble: &str) -> i32 {
    let record = Record::create(&case_dir.join("record.txt"));
    limit_run_time(Duration::from_secs(100));
    let names =
        ["s-00c41f7a", "s-1b2204e9", "s-5f01c3d8", "p-77a0b1c2", "o-0000a001"].map(String::from).to_vec();
    let listeners: Vec<TcpListener> =
        names.iter().map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|socket| socket.local_addr().unwrap()).collect();
    let kind = |host: usize| ["standard", "standard", "standard", "parent", "origin"][host];
    let line =
        |host: usize, status: &str| endpoint(&names[host], addresses[host], "north", kind(host), status, 0);
    let whole: Vec<String> = (0..names.len()).map(|host| line(host, "active")).collect();
    let world = World::new(names.clone(), &record);
    World::serve(&world, listeners);
    let change_log = ChangeLog::start(&record, vec![fleet(1, true, &whole)]);
    let listen = free_address();
    let site = Site { settings: MEMBER_CATALOGUE, zones: vec!["north".to_owned()], dispatchers_per_zone: 3 };
    let text = config(listen, change_log.address, &change_log.known(), &site);
    let mut dispatcher = match Dispatcher::start(&root(case_dir), listen, "n1", &text) {
        Ok(dispatcher) => dispatcher,
        Err(error) => {
            record.say(&error);
            return COULD_NOT_RUN;
        }
    };
    record.say(&format!("dispatcher ready, process {}", dispatcher.id()));
    let clients = Clients::new(&record);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let clients = Arc::clone(&clients);
            std::thread::spawn(move || run_client(number, listen, &clients))
        })
        .collect();
    std::thread::sleep(ms(4000));
    if has_trouble() {
        match trouble {
            "slow" => change_log.set_answers(Answers::Late(LATE)),
            "silent" => change_log.set_answers(Answers::Never),
            _ => return COULD_NOT_RUN,
        }
    }
    std::thread::sleep(ms(3000));
    let at = unix_ms();
    world.lock().unwrap().purged_at = Some(at);
    let number = change_log.add(purge(GROUP, at));
    record.say(&format!("group {GROUP} is purged; event {number} is in the change log"));
    let drained_at = Instant::now();
    change_log.add(fleet(2, false, &[line(DRAINED, "leaving")]));
    let is_over = Duration::from_millis(TOLD_AT_LATEST_MS + DRAIN_GRACE_MS);
    std::thread::sleep(is_over);
    let before = world.lock().unwrap().arrivals[DRAINED];
    std::thread::sleep(ms(1500));
    let at_drained = world.lock().unwrap().arrivals[DRAINED] - before;
    record.say(&format!(
        "not judged: {at_drained} requests came to a draining cache from {} to {} ms after its event",
        is_over.as_millis(),
        drained_at.elapsed().as_millis()
    ));
    clients.stop();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let ended = dispatcher.has_ended();
    record.line("dispatcher's log:");
    dispatcher.log().lines().take(200).for_each(|text| record.line(text));
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
