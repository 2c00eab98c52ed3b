//! The proof of ending: a dispatcher under load is asked to end, by SIGTERM, as a planned restart does, while clients write
//! on new connections and on kept ones, and hosts hang or are reset just then. By the platform's page new connections come
//! for 0.4 s more and requests on open ones for 0.2 s after that. What is promised: each request written until then has its
//! answer, no connection is reset, an effect runs once, and the process ends by itself well before it would be killed.

use crate::stand::asker::{Asked, Client, Ended, ready};
use crate::stand::changelog::{ChangeLog, Tells};
use crate::stand::hosts::Host;
use crate::stand::ledger::Ledger;
use crate::stand::process::Dispatcher;
use crate::stand::{self, line, process, watch};
use serde_json::json;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long new connections are made after the dispatcher was asked to end, and requests are written on open ones.
const CONNECTS_FOR: Duration = Duration::from_millis(400);
const WRITES_FOR: Duration = Duration::from_millis(600);
/// When it would be killed, where clients wait for 5 s: three seconds count, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// Load before it is asked to end.
const BEFORE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(1500);
const TOO_BUSY: Duration = Duration::from_millis(40);

/// What is left out, so that the proof is seen to fail.
#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// The dispatcher is not asked, but killed.
    Asking,
}

#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Ends one after the other, each on the next seed.
    #[arg(long, default_value_t = 20)]
    ends: u64,
    #[arg(long, default_value_t = 16)]
    clients: usize,
    #[arg(long)]
    without: Option<Without>,
    /// The small form: ten ends.
    #[arg(long)]
    quick: bool,
    #[arg(long)]
    verbose: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(prove(plan))
}

#[derive(Default)]
struct Found {
    answers: BTreeMap<&'static str, u64>,
    broken: Vec<String>,
    took: Vec<Duration>,
    asked: u64,
}

async fn prove(plan: &Plan) -> Result<ExitCode, String> {
    let lag = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch(Arc::clone(&lag)));
    let mut found = Found::default();
    let ends = if plan.quick { 10 } else { plan.ends };
    for seed in plan.seed..plan.seed + ends {
        end(plan, seed, &mut found).await?;
    }
    watch.abort();
    let lag = Duration::from_micros(lag.load(Ordering::Relaxed));
    println!("{ends} ends under load, {} requests", found.asked);
    for (how, count) in &found.answers {
        println!("  {count:>7}  {how}");
    }
    let longest = found.took.iter().max().copied().unwrap_or_default();
    println!("ended {longest:?} after it was asked at the latest; the machine woke up to {lag:?} late");
    for what in found.broken.iter().take(20) {
        println!("BROKEN {what}");
    }
    let broken = found.broken.len();
    let judged = broken == 0 || lag < TOO_BUSY || plan.without.is_some();
    if !judged {
        println!("not judged: the machine was too busy");
    }
    if broken > 0 {
        println!("replay: cargo run --release -p myrtlegauge-lab -- shutdown --seed {} --ends 1", plan.seed);
    }
    let summary = json!({"proof": "shutdown", "seed": plan.seed, "held": broken == 0, "judged": judged,
        "broken": broken, "requests": found.asked, "answers": found.answers,
        "longest_ms": longest.as_secs_f64() * 1e3, "lag_ms": lag.as_secs_f64() * 1e3});
    println!("{summary}");
    Ok(stand::verdict(broken == 0, judged))
}

/// One life under load, asked to end.
async fn end(plan: &Plan, seed: u64, found: &mut Found) -> Result<(), String> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let ledger = Arc::new(Ledger::new());
    let kinds = ["cache", "cache", "cache", "parent", "parent", "origin"];
    let hosts: Result<Vec<_>, _> =
        kinds.iter().enumerate().map(|(at, kind)| Host::new(at, kind).map(Arc::new)).collect();
    let hosts = hosts.map_err(|e| e.to_string())?;
    for host in &hosts {
        host.meet(&hosts);
        tokio::spawn(Arc::clone(host).serve(Arc::clone(&ledger)));
    }
    let log = Arc::new(ChangeLog::new(Arc::clone(&ledger)).map_err(|e| e.to_string())?);
    tokio::spawn(Arc::clone(&log).serve());
    log.list(&hosts.iter().map(|host| line(host, "active", 0)).collect::<Vec<_>>(), true, Tells::List);
    let text = process::operator_file("127.0.0.1:1", &log.address.to_string(), false, 250);
    let mut dispatcher = Dispatcher::start(&text, log.address, plan.verbose)?;
    ready(dispatcher.address, &hosts).await?;
    let begun = Instant::now();
    let asked_at = begun + BEFORE + Duration::from_millis(chance.u64(0..100));
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for _ in 0..plan.clients {
        let (ends, seed, to) = (Arc::clone(&ends), chance.u64(..), dispatcher.address);
        clients.push(tokio::spawn(load(
            Arc::new(Client::new(to, Arc::clone(&ledger))),
            seed,
            asked_at,
            ends,
        )));
    }
    tokio::time::sleep_until(asked_at.into()).await;
    // Just then a host is slow, silent for a while, or loses its connections.
    let host = &hosts[chance.usize(0..3)];
    match chance.u32(0..4) {
        0 => host.slow(400),
        1 => host.restart(),
        2 => host.down(Duration::from_millis(chance.u64(100..600))),
        _ => {}
    }
    match plan.without {
        Some(Without::Asking) => dispatcher.kill(),
        None => dispatcher.signal(rustix::process::Signal::TERM),
    }
    if chance.bool() {
        // A second word changes nothing.
        tokio::time::sleep(Duration::from_millis(chance.u64(0..300))).await;
        dispatcher.signal(rustix::process::Signal::TERM);
    }
    while !dispatcher.has_crashed() && asked_at.elapsed() < KILLED_AFTER && plan.without.is_none() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    found.took.push(asked_at.elapsed());
    if asked_at.elapsed() >= KILLED_AFTER {
        found.broken.push(format!("seed {seed}: it runs on until it is killed"));
    }
    for client in clients {
        client.await.map_err(|e| e.to_string())?;
    }
    for (after, how) in std::mem::take(&mut *ends.lock().expect("no holder panics")) {
        found.asked += 1;
        *found.answers.entry(how).or_default() += 1;
        if matches!(how, "lost" | "refused a connection" | "out of time") {
            found.broken.push(format!("seed {seed}: a request written {after} ms after the word was {how}"));
        }
    }
    found.broken.extend(ledger.breaks().1.into_iter().map(|what| format!("seed {seed}: {what}")));
    Ok(())
}

/// One client's requests, one after another, until no more may come; what became of each, and when it was written.
async fn load(client: Arc<Client>, seed: u64, asked_at: Instant, ends: Arc<Mutex<Vec<(i64, &'static str)>>>) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let last = asked_at + WRITES_FOR;
    loop {
        tokio::time::sleep(Duration::from_millis(chance.u64(0..12))).await;
        let now = Instant::now();
        if now >= last {
            return;
        }
        if chance.u32(0..8) == 0 && now < asked_at + CONNECTS_FOR {
            client.forget();
        }
        let service = ["product-photo", "assembly-video", "delivery-confirm"][chance.usize(0..3)];
        let object = if service == "delivery-confirm" { chance.u64(..) } else { chance.u64(0..100) };
        let asked = Asked { service, object, deadline: DEADLINE, tried: None, known: false };
        let how = match client.ask(&asked).await {
            Ended::Returned { .. } => "returned",
            Ended::Shed(_) => "shed",
            Ended::Errored => "errored",
            Ended::OutOfTime => "out of time",
            Ended::Refused => "refused a connection",
            Ended::Lost => "lost",
        };
        let after = now.saturating_duration_since(asked_at).as_millis() as i64
            - asked_at.saturating_duration_since(now).as_millis() as i64;
        // A kept connection may be none any more once new ones are no longer made: such a request is not written at all.
        if how == "refused a connection" && now >= asked_at + CONNECTS_FOR {
            return;
        }
        ends.lock().expect("no holder panics").push((after, how));
    }
}
