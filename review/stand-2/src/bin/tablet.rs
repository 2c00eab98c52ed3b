//! A tablet with the client library, before a real dispatcher with stand-in hosts. `tablet deliveries` confirms deliveries
//! while it loads photos; `tablet abandons` does so while photos are given up early.

use bytes::Bytes;
use myrtlegauge_client::{Dispatcher, Effect, Get, Handle, Outcome, Service};
use review_stand_2::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a way between a client and its dispatcher takes, one direction.
const WAY: Duration = Duration::from_millis(8);
const DELIVERIES: u64 = 12;

type Runs = Arc<Mutex<BTreeMap<u64, u32>>>;

fn copy_fields(note: &str) -> String {
    format!("rev=4be0c1927d55a6f3,since={:.0},why={note},fill=20,rep=util:0.30;x0:0.70", unix_ms() - 50.0)
}

fn main() {
    let abandons = std::env::args().nth(1).as_deref() == Some("abandons");
    let (record, trouble) = (Record::create(), has_trouble());
    let runs = Runs::default();
    let photo = |record: &Arc<Record>| {
        let record = Arc::clone(record);
        start_host(move |serve| {
            let _ = &record;
            let wait = 60 + u64::from(serve.id.bytes().last().unwrap_or(0)) % 40;
            Action::Answer {
                after: Duration::from_millis(wait),
                word: "200",
                fields: copy_fields("TCP_HIT"),
                body: vec![7; 2000],
            }
        })
    };
    let caches = [photo(&record), photo(&record)];
    let parent = photo(&record);
    let origin = {
        let (record, runs) = (Arc::clone(&record), Arc::clone(&runs));
        start_host(move |serve| {
            if serve.field("lane") != Some("delivery-confirm") {
                return Action::Answer {
                    after: Duration::from_millis(60),
                    word: "200",
                    fields: copy_fields("TCP_MISS_ROOT"),
                    body: vec![7; 2000],
                };
            }
            let delivery = u64::from_str_radix(serve.field("name").unwrap_or("0"), 16).unwrap_or(0);
            let count = {
                let mut runs = runs.lock().expect("no holder panics");
                *runs.entry(delivery).and_modify(|count| *count += 1).or_insert(1)
            };
            record.say(format_args!("origin: runs delivery {delivery} (request {}), time {count}", serve.id));
            // One answer in three never arrives: the request has run.
            if trouble && !abandons && count == 1 && delivery % 3 == 0 {
                record.say(format_args!("origin: the answer to request {} never arrives", serve.id));
                return Action::Lost;
            }
            Action::Answer {
                after: Duration::from_millis(if abandons { 150 } else { 60 }),
                word: "200",
                fields: "why=TCP_MISS_ROOT,fill=40".into(),
                body: b"done".to_vec(),
            }
        })
    };
    let log = ChangeLog::start(&record);
    log.add(&whole_list(&[
        host_line("s-0", caches[0], "standard", "active"),
        host_line("s-1", caches[1], "standard", "active"),
        host_line("p-2", parent, "parent", "active"),
        host_line("o-3", origin, "origin", "active"),
    ]));
    let listen = free_address();
    let mut dispatcher = start_dispatcher(&record, listen, &log);
    let service = |name: &str, effect| Service { name: name.into(), effect };
    let services = vec![
        service("assembly-video", Effect::Idempotent),
        service("product-photo", Effect::Idempotent),
        service("delivery-confirm", Effect::NonIdempotent),
    ];
    let way = start_way(listen, WAY);
    let place = Dispatcher { address: way, group: 1, sharers: 1 };
    let handle = Handle::start(services, vec![place], 0x51f1_0c2a).expect("the library starts");
    let get = |service: usize, object: u64, budget: u64| Get {
        service,
        budget: Duration::from_millis(budget),
        object,
        chunk: 0,
        group: (object % 64) as u32,
        held_version: Bytes::new(),
        body: if service == 2 { Bytes::from_static(b"delivered") } else { Bytes::new() },
    };
    let (stop, told_undone, lost, asked) =
        (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        // Photos, as a tablet loads them all the time.
        for index in 0..6u64 {
            let (handle, stop, record, get) = (&handle, &stop, &record, &get);
            scope.spawn(move || {
                let mut object = 1000 + index * 1000;
                while !stop.load(Ordering::Relaxed) {
                    object += 1;
                    if abandons && trouble && index < 2 {
                        // This caller gives up early: its user has turned the page.
                        let call = handle.ask(get(1, object, 1500));
                        thread::sleep(Duration::from_millis(40));
                        drop(call);
                        record.say(format_args!("tablet: photo {object} given up early"));
                        thread::sleep(Duration::from_millis(150));
                        continue;
                    }
                    let outcome = handle.get(get(1, object, 1500));
                    if !matches!(outcome, Outcome::Returned(_)) {
                        record.say(format_args!("tablet: photo {object}: {outcome:?}"));
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            });
        }
        thread::sleep(Duration::from_millis(1000));
        let mut deliveries = Vec::new();
        for delivery in 1..=DELIVERIES {
            let (handle, record, get) = (&handle, &record, &get);
            let (told_undone, lost, asked, runs) = (&told_undone, &lost, &asked, &runs);
            deliveries.push(scope.spawn(move || {
                thread::sleep(Duration::from_millis(350 * delivery));
                for turn in 1..=2 {
                    asked.fetch_add(1, Ordering::Relaxed);
                    let outcome = handle.get(get(2, delivery, 2400));
                    record.say(format_args!("tablet: delivery {delivery}, asked time {turn}: {outcome:?}"));
                    let has_run = runs.lock().expect("no holder panics").contains_key(&delivery);
                    match outcome {
                        Outcome::Returned(_) => return,
                        // The guide: perhaps done, find out first. Nobody asks again.
                        Outcome::MayHaveRun => {
                            if has_run {
                                lost.fetch_add(1, Ordering::Relaxed);
                            }
                            return;
                        }
                        // The guide: not done, or no effect. The driver presses the button once more.
                        Outcome::OutOfTime | Outcome::Errored | Outcome::Shed { .. } => {
                            told_undone.fetch_add(1, Ordering::Relaxed);
                            thread::sleep(Duration::from_millis(500));
                        }
                    }
                }
            }));
        }
        for delivery in deliveries {
            let _ = delivery.join();
        }
        stop.store(true, Ordering::Relaxed);
    });
    if dispatcher.has_ended() {
        cannot_run(&record, "the dispatcher has ended");
    }
    let runs = runs.lock().expect("no holder panics");
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).map(|(delivery, _)| *delivery).collect();
    let (told_undone, lost) = (told_undone.into_inner(), lost.into_inner());
    record.say(format_args!(
        "judged: {} deliveries, {} calls; {told_undone} calls told as without effect; run twice: {twice:?}; run once and without \
         an answer for the caller: {lost}",
        DELIVERIES,
        asked.into_inner()
    ));
    let broken = if abandons { lost > 0 } else { !twice.is_empty() };
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(if broken { BROKEN } else { HELD });
}
