//! A dispatcher whose purges come through replicas of the change log (`outage replicas`) or from the change log itself
//! (`outage direct`, a comparison), with a change log that breaks off in the middle of a purge and is down for 8 s; and one that
//! is told of another change log by SIGHUP, which is down for 8 s (`outage reload`).

use review_stand_2::store::{Store, judge};
use review_stand_2::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery is down for so long, by the page on the full fleet.
const DOWN: Duration = Duration::from_secs(8);
const OBJECT: &str = "7f3a9c21e0b4d655";

/// The parts of an operator file that a dispatcher and a site share.
const SITE: &str = r#"
(footprint (zone "inland" (hub 0)) (zone "w-1" (hub 0)) (here "w-1") (transfer-pace 8MB/s)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2)) (parent-start (share 10%) (warm-within 17s) (falls-at 2))
  (purged-within 6s))
(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 2500ms) (fresh 5s) (grace 30s))
(delivery-service "delivery-confirm" (objective 600ms) (timeout 3s) (effect non-idempotent) (passed-on yes))
"#;

/// What a client asks for before the hand-over of `outage reload`.
const EARLIER_OBJECT: &str = "11d0a7c35e82f964";

fn get(listen: SocketAddr, id: &str, object: &str) -> String {
    let params = [
        ("SCRIPT_NAME", "/rpc/assembly-video"),
        ("HTTP_REQUEST_ID", id),
        ("HTTP_BUDGET_MS", "2500"),
        ("HTTP_RESOURCE_KEY", object),
        ("HTTP_X_CHUNK", "0"),
        ("HTTP_X_TAG", "17"),
    ];
    match fastcgi(listen, &params, Duration::from_secs(4)) {
        Ok(answer) => answer.status.to_string(),
        Err(error) => format!("no answer: {error}"),
    }
}

/// Starts three replicas that follow the change log, and a dispatcher that polls two of them.
fn start_replicated(record: &Record, listen: SocketAddr, log: SocketAddr) -> Vec<Process> {
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut processes = Vec::new();
    let mut start = |file: &str, role: &str, text: String| {
        let path = folder().join(file);
        std::fs::write(&path, text).expect("the operator file can be written");
        let command = format!("{} {role} {}", run_command(), path.display());
        match Process::start(&command, &[], &folder().join(format!("{file}.log"))) {
            Ok(process) => processes.push(process),
            Err(_) => cannot_run(record, "a program does not start"),
        }
    };
    for (index, address) in addresses.iter().enumerate() {
        let peers = addresses.iter().enumerate().filter(|(other, _)| *other != index);
        let peers: String = peers
            .map(|(other, peer)| format!("  (peer (name \"replica-{other}\") (address \"{peer}\"))\n"))
            .collect();
        let text = format!(
            "(log (form text) (level info))\n(replica (name \"replica-{index}\") (listen \"{address}\")\n{peers}  (source \"{log}\")\n  (batch 100ms) (member-lease 10s) (doubt-after 3s) (purges-kept 40s) (most-connections 100))\n"
        );
        start(&format!("replica-{index}.sexp"), "replica", text);
    }
    let text = format!(
        "(log (form text) (level info))\n(dispatcher (name \"edge-1\") (listen \"{listen}\")\n  (replicas (primary \"{}\") (fallback \"{}\") (doubt-after 3s)))\n{SITE}",
        addresses[0], addresses[1]
    );
    start("dispatcher.sexp", "dispatch", text);
    processes
}

/// The change log breaks off in the middle of a purge and is down for 8 s. Returns when the purge was made, and when it counts
/// as told.
fn break_off(record: &Record, store: &Store, log: &Arc<ChangeLog>, trouble: bool) -> (f64, f64) {
    let purged = unix_ms();
    store.purge(OBJECT, purged);
    let purge = format!(r#""invalidate":{{"object":"{OBJECT}","time":{}}}"#, purged as u64);
    let told = if trouble {
        log.add_breaking_off(&purge);
        let waiting = Instant::now();
        while !log.is_down() {
            if waiting.elapsed() > Duration::from_secs(2) {
                cannot_run(record, "nobody polled the change log");
            }
            thread::sleep(Duration::from_millis(5));
        }
        // What a broken answer would have told counts as told 2 s after the break.
        unix_ms() + 2000.0
    } else {
        log.add(&purge);
        // The open poll is answered at once; 100 ms are more than it takes.
        unix_ms() + 100.0
    };
    thread::sleep(DOWN);
    if trouble {
        log.come_back();
    }
    (purged, told)
}

/// The configuration names another change log, and 0.6 s later a third one, since the second does not come up. With trouble
/// discovery is down for 8 s from the first SIGHUP on. In between an object is asked for that was not asked for before, and
/// purged.
fn reload(
    record: &Record,
    store: &Store,
    log: &Arc<ChangeLog>,
    dispatcher: &Process,
    listen: SocketAddr,
    trouble: bool,
    asks_earlier: &AtomicBool,
) -> (f64, f64) {
    let hand_over = |from: &Arc<ChangeLog>| {
        let next = from.successor();
        if !trouble {
            next.come_back();
        }
        write_config(listen, &next);
        from.retire();
        dispatcher.signal("HUP");
        record.say(format_args!("SIGHUP: the change log is at {} now", next.address));
        next
    };
    let began = Instant::now();
    let second = hand_over(log);
    thread::sleep(Duration::from_millis(100));
    asks_earlier.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(400));
    let purged = unix_ms();
    store.purge(OBJECT, purged);
    second.add(&format!(r#""invalidate":{{"object":"{OBJECT}","time":{}}}"#, purged as u64));
    thread::sleep(Duration::from_millis(100));
    let third = hand_over(&second);
    let reloaded = unix_ms();
    thread::sleep(DOWN.saturating_sub(began.elapsed()));
    if trouble {
        third.come_back();
    }
    // What the change log has to tell counts as told 4 s after SIGHUP.
    (purged, reloaded + 4000.0)
}

fn finish(record: &Record, store: &Store, purged: f64, told: f64) -> ! {
    let broken = match judge(record, &store.served(), OBJECT, purged, told) {
        usize::MAX => cannot_run(record, "nothing was served after the grace"),
        count => count > 0,
    };
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(if broken { BROKEN } else { HELD })
}

fn main() {
    let way = std::env::args().nth(1).unwrap_or_default();
    let (replicated, reloads) = (way == "replicas", way == "reload");
    let (record, trouble, store) = (Record::create(), has_trouble(), Store::default());
    let log = ChangeLog::start(&record);
    let mut lines: Vec<_> = ["s-0", "s-1", "s-2"]
        .iter()
        .map(|name| host_line(name, store.start_host(name, &record), "standard", "active"))
        .collect();
    lines.push(host_line("p-3", store.start_host("p-3", &record), "parent", "active"));
    lines.push(host_line("o-4", store.start_origin(), "origin", "active"));
    log.add(&whole_list(&lines));
    let listen = free_address();
    let mut processes = if replicated {
        start_replicated(&record, listen, log.address)
    } else {
        vec![start_dispatcher(&record, listen, &log)]
    };
    if !wait_for_listener(listen, Duration::from_secs(10)) {
        cannot_run(&record, "the dispatcher does not listen");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let asks_earlier = Arc::new(AtomicBool::new(reloads));
    let asker = {
        let (stop, record, asks_earlier) =
            (Arc::clone(&stop), Arc::clone(&record), Arc::clone(&asks_earlier));
        thread::spawn(move || {
            let (mut count, mut last) = (0u32, String::new());
            while !stop.load(Ordering::Relaxed) {
                count += 1;
                let object = if asks_earlier.load(Ordering::Relaxed) { EARLIER_OBJECT } else { OBJECT };
                let ended = get(listen, &format!("{count:016x}"), object);
                if ended != last {
                    record.say(format_args!("client: GET {count}: {ended}"));
                    last = ended;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    };
    // Replicas count in no majority for their first 5 s. Copies are used once the dispatcher has attached.
    let begun = Instant::now();
    let is_warm = |store: &Store| {
        let served = store.served();
        let recent: Vec<_> = served.iter().rev().take(10).collect();
        recent.len() == 10 && recent.iter().all(|served| served.since_unix_ms < served.asked_unix_ms - 500.0)
    };
    while !is_warm(&store) {
        if begun.elapsed() > Duration::from_secs(30) {
            cannot_run(&record, "no copy is used before the purge");
        }
        thread::sleep(Duration::from_millis(50));
    }
    let (purged, told) = if reloads {
        reload(&record, &store, &log, &processes[0], listen, trouble, &asks_earlier)
    } else {
        break_off(&record, &store, &log, trouble)
    };
    thread::sleep(Duration::from_millis(1500));
    stop.store(true, Ordering::Relaxed);
    let _ = asker.join();
    if processes.iter_mut().any(Process::has_ended) {
        cannot_run(&record, "a program has ended");
    }
    finish(&record, &store, purged, told)
}
