//! The proof of the control service: real sockets, the real program as a process of its own, stand-in proxies, caches and
//! change log, faults drawn from a seed.

mod proxy;
mod rogues;

use crate::stand::changelog::{ChangeLog, Tells};
use crate::stand::hosts::Host;
use crate::stand::ledger::{Ledger, Named, Percentiles, unix_ms};
use crate::stand::link::Link;
use crate::stand::process::Dispatcher;
use crate::stand::service::Service;
use crate::stand::{self, asker, line, process, watch};
use myrtlegauge_control::ads_server::ProtocolVariant;
use proxy::{Fault, Proxy};
use serde_json::{Value, json};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Objects asked for.
const OBJECTS: u64 = 2000;
/// A lag of the machine's own beyond which a broken time is not held against the program.
const TOO_BUSY: Duration = Duration::from_millis(60);
/// What is left out, so that the proof is seen to fail.
#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// Proxies go on when their lease is over.
    Lease,
    /// Proxies tell caches no oldest age.
    Purges,
    /// Proxies send again what may have run.
    Effects,
}

#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Forms {
    Delta,
    Whole,
    Mixed,
}

#[derive(clap::Args)]
pub struct Plan {
    /// Faults are drawn from this.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 40)]
    proxies: usize,
    #[arg(long, default_value_t = 40)]
    caches: usize,
    #[arg(long, default_value_t = 4)]
    parents: usize,
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// GETs a second of each proxy.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// How proxies speak.
    #[arg(long, default_value = "mixed")]
    form: Forms,
    /// The small form: sizes for a shared machine, under half a minute.
    #[arg(long)]
    quick: bool,
    /// The dispatcher instead of followers, on the same stand-ins, without faults but drains and purges.
    #[arg(long)]
    dispatcher: bool,
    /// No faults but drains and purges: for measurements.
    #[arg(long)]
    calm: bool,
    /// With --calm, the service is killed all the same.
    #[arg(long)]
    kills: bool,
    /// The grace that the service is told for drains, ms: longer means fewer heartbeats, and a run that can't hold.
    #[arg(long, default_value_t = 250)]
    drain_grace_ms: u64,
    /// Leave a defence out: the run must fail.
    #[arg(long)]
    without: Option<Without>,
    /// The control service's log goes to standard error.
    #[arg(long)]
    verbose: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(prove(plan))
}

/// What a proof run works with.
struct Stage {
    ledger: Arc<Ledger>,
    log: Arc<ChangeLog>,
    hosts: Vec<Arc<Host>>,
    proxies: Vec<Arc<Proxy>>,
    stop: AtomicBool,
    in_hand: AtomicU64,
}

impl Stage {
    fn line(&self, host: &Host, status: &str, since_ms: u64) -> String {
        line(host, status, since_ms)
    }

    /// The list as it stands.
    fn lines(&self) -> Vec<String> {
        let standing = |host: &Arc<Host>| {
            let status = if self.ledger.is_draining(host.index) { "leaving" } else { "active" };
            self.line(host, status, host.since_ms.load(Ordering::Relaxed))
        };
        self.hosts.iter().map(standing).collect()
    }
}

async fn prove(plan: &Plan) -> Result<ExitCode, String> {
    let (proxies, caches, seconds) =
        if plan.quick { (12, 10, 8) } else { (plan.proxies, plan.caches, plan.seconds) };
    let ledger = Arc::new(Ledger::new());
    let log = Arc::new(ChangeLog::new(Arc::clone(&ledger)).map_err(|e| e.to_string())?);
    let mut hosts = Vec::new();
    let kinds = std::iter::repeat_n("cache", caches)
        .chain(std::iter::repeat_n("parent", plan.parents))
        .chain(["origin"]);
    for (index, kind) in kinds.enumerate() {
        hosts.push(Arc::new(Host::new(index, kind).map_err(|e| e.to_string())?));
    }
    for host in &hosts {
        host.meet(&hosts);
        tokio::spawn(Arc::clone(host).serve(Arc::clone(&ledger)));
    }
    tokio::spawn(Arc::clone(&log).serve());
    log.list(&hosts.iter().map(|host| line(host, "active", 0)).collect::<Vec<_>>(), true, Tells::List);

    if plan.dispatcher {
        return beside(plan, ledger, log, hosts, proxies, seconds).await;
    }
    let mut service = Service::new(plan.verbose, |address| {
        process::operator_file(address, &log.address.to_string(), plan.verbose, plan.drain_grace_ms)
    })?;
    service.start()?;
    service.wait_until_it_answers().await?;
    let alone = service.used();

    let mut followers = Vec::new();
    for index in 0..proxies {
        let form = match plan.form {
            Forms::Delta => ProtocolVariant::Delta,
            Forms::Whole => ProtocolVariant::Whole,
            Forms::Mixed if index % 2 == 0 => ProtocolVariant::Delta,
            Forms::Mixed => ProtocolVariant::Whole,
        };
        let link = Link::lay(service.address()).await.map_err(|e| e.to_string())?;
        followers.push(Arc::new(Proxy::new(index, form, link, Arc::clone(&ledger), plan.without)));
    }
    let stage = Arc::new(Stage {
        ledger: Arc::clone(&ledger),
        log,
        hosts,
        proxies: followers,
        stop: AtomicBool::new(false),
        in_hand: AtomicU64::new(0),
    });
    let began = Instant::now();
    for proxy in &stage.proxies {
        tokio::spawn(Arc::clone(proxy).follow(plan.seed ^ proxy.index as u64));
        tokio::spawn(Arc::clone(proxy).report(service.address()));
    }
    let first = converged(&stage, began, Duration::from_secs(20)).await?;
    let joined = service.used();
    for proxy in &stage.proxies {
        let proxy = Arc::clone(proxy);
        let index = proxy.index;
        let get = move |service, object| Arc::clone(&proxy).get(service, object);
        tokio::spawn(load(Arc::clone(&stage), index, plan.seed, plan.rate, get));
    }
    let lag = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch(Arc::clone(&lag)));
    let script = tokio::spawn(script(Arc::clone(&stage), plan.seed));
    let faults = (!plan.calm).then(|| tokio::spawn(faults(Arc::clone(&stage), plan.seed)));
    let rogues =
        (!plan.calm).then(|| tokio::spawn(rogues::run(service.address(), stage.hosts.clone(), plan.seed)));
    let forced = plan.without.filter(|without| *without == Without::Lease);
    let forced = forced.map(|_| tokio::spawn(cut_off_from_a_drain(Arc::clone(&stage))));
    let mut after_kill = Vec::new();
    for part in if plan.calm && !plan.kills { vec![] } else { vec![0.4, 0.75] } {
        tokio::time::sleep_until((began + first + Duration::from_secs(seconds).mul_f64(part)).into()).await;
        let mut chance = fastrand::Rng::with_seed(plan.seed.wrapping_mul(31) + (part * 100.0) as u64);
        expect_alive(&service, &ledger).await;
        ledger.say(format_args!("the service is killed"));
        service.kill();
        tokio::time::sleep(Duration::from_millis(chance.u64(20..400))).await;
        ledger.say(format_args!("the service starts"));
        service.start()?;
        let restarted = Instant::now();
        let again = converged(&stage, restarted, Duration::from_secs(10)).await;
        after_kill.push(again?.as_millis() as u64);
    }
    let busy = service.used();
    let from = Instant::now();
    let rest = (began + first + Duration::from_secs(seconds)).saturating_duration_since(Instant::now());
    tokio::time::sleep(rest.max(Duration::from_secs(1))).await;
    let end = service.used();
    let cpu = (end.cpu_s - busy.cpu_s) / from.elapsed().as_secs_f64();

    stage.stop.store(true, Ordering::Relaxed);
    let _ = script.await;
    for task in [faults, forced].into_iter().flatten() {
        let _ = task.await;
    }
    if let Some(rogues) = rogues {
        let found = rogues.await.map_err(|e| e.to_string())?;
        found.into_iter().for_each(|what| ledger.broken(what));
    }
    let patience = Instant::now() + Duration::from_secs(4);
    while stage.in_hand.load(Ordering::Relaxed) > 0 && Instant::now() < patience {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    watch.abort();
    expect_alive(&service, &ledger).await;
    service.kill();
    Ok(verdict(
        plan,
        &stage,
        proxies,
        caches,
        &Measured {
            first,
            after_kill,
            lag: Duration::from_micros(lag.load(Ordering::Relaxed)),
            cpu,
            alone_kb: alone.memory_kb,
            joined_kb: joined.memory_kb,
            end_kb: end.memory_kb,
        },
    ))
}

/// A service ends only when the schedule kills it: one that fell over by itself breaks the proof, whatever its proxies made
/// of that.
async fn expect_alive(service: &Service, ledger: &Ledger) {
    if let Err(fault) = tokio::net::TcpStream::connect(service.address()).await {
        ledger.broken(format!("the service ended by itself: {fault}"));
    }
}

/// The same GETs through a dispatcher.
async fn beside(
    plan: &Plan,
    ledger: Arc<Ledger>,
    log: Arc<ChangeLog>,
    hosts: Vec<Arc<Host>>,
    clients: usize,
    seconds: u64,
) -> Result<ExitCode, String> {
    let text = process::operator_file("127.0.0.1:1", &log.address.to_string(), false, 250);
    let dispatcher = Dispatcher::start(&text, log.address, plan.verbose)?;
    asker::ready(dispatcher.address, &hosts).await?;
    let stage = Stage {
        ledger: Arc::clone(&ledger),
        log,
        hosts,
        proxies: Vec::new(),
        stop: AtomicBool::new(false),
        in_hand: AtomicU64::new(0),
    };
    let stage = Arc::new(stage);
    let script = tokio::spawn(script(Arc::clone(&stage), plan.seed));
    for index in 0..clients {
        let client = Arc::new(asker::Client::new(dispatcher.address, Arc::clone(&ledger)));
        let get = move |service, object| Arc::clone(&client).get(service, object);
        tokio::spawn(load(Arc::clone(&stage), index, plan.seed, plan.rate, get));
    }
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    stage.stop.store(true, Ordering::Relaxed);
    let _ = script.await;
    tokio::time::sleep(Duration::from_millis(1800)).await;
    let (taken, answered, answers) = ledger.answers();
    let (broken, breaks) = ledger.breaks();
    breaks.iter().for_each(|what| println!("BROKEN {what}"));
    let share = answers.get("returned").copied().unwrap_or(0) as f64 / taken.max(1) as f64;
    let used = dispatcher.used();
    println!("through the dispatcher: GETs {taken}, answered {answered}, returned {:.2} %", share * 100.0);
    println!(
        "it used {:.2} s of CPU, {:.0} us a GET, {} KB",
        used.cpu_s,
        used.cpu_s * 1e6 / taken as f64,
        used.memory_kb
    );
    let summary = json!({"proof": "xds-dispatcher", "seed": plan.seed, "held": broken == 0, "gets": taken,
        "answers": answers, "returned_share": share, "cpu_s": used.cpu_s, "memory_kb": used.memory_kb});
    println!("{summary}");
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

struct Measured {
    first: Duration,
    after_kill: Vec<u64>,
    lag: Duration,
    cpu: f64,
    alone_kb: u64,
    joined_kb: u64,
    end_kb: u64,
}

/// Until every proxy that nothing is wrong with has a lease by a stream that began after `since`.
async fn converged(stage: &Stage, since: Instant, patience: Duration) -> Result<Duration, String> {
    loop {
        if stage.proxies.iter().all(|proxy| proxy.is_faulty() || proxy.serves_since(since)) {
            return Ok(since.elapsed());
        }
        if since.elapsed() > patience {
            let without =
                stage.proxies.iter().filter(|proxy| !proxy.is_faulty() && !proxy.serves_since(since)).count();
            return Err(format!("{without} proxies have no lease after {patience:?}"));
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// GETs of one proxy or client, each due at its time whatever became of the others.
async fn load<G, F>(stage: Arc<Stage>, index: usize, seed: u64, rate: f64, get: G)
where
    G: Fn(&'static str, u64) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut chance = fastrand::Rng::with_seed(seed ^ (index as u64) << 20);
    let mut due = tokio::time::Instant::now() + Duration::from_secs_f64(chance.f64() / rate);
    while !stage.stop.load(Ordering::Relaxed) {
        tokio::time::sleep_until(due).await;
        due += Duration::from_secs_f64(1.0 / rate);
        let service = match chance.u32(0..20) {
            0 => "delivery-confirm",
            1..=8 => "assembly-video",
            _ => "product-photo",
        };
        // Few objects have most of the GETs.
        let object = (chance.f64().powi(3) * OBJECTS as f64) as u64;
        stage.in_hand.fetch_add(1, Ordering::Relaxed);
        let (stage, got) = (Arc::clone(&stage), get(service, object));
        tokio::spawn(async move {
            got.await;
            stage.in_hand.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Purges, and hosts that drain, go, and come back cold.
async fn script(stage: Arc<Stage>, seed: u64) {
    let mut chance = fastrand::Rng::with_seed(seed.wrapping_add(77));
    let mut lives = Vec::new();
    let mut next_drain = Instant::now() + Duration::from_millis(300);
    while !stage.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(chance.u64(60..300))).await;
        let object = (chance.f64().powi(3) * OBJECTS as f64) as u64;
        let named = if chance.u32(0..4) == 0 { Named::Group(object % 64) } else { Named::Object(object) };
        stage.log.purge(named, unix_ms(), true);
        if Instant::now() < next_drain {
            continue;
        }
        next_drain = Instant::now() + Duration::from_millis(chance.u64(250..700));
        let among = stage.hosts.len() - 1;
        let host = Arc::clone(&stage.hosts[chance.usize(0..among)]);
        let away = (0..among).filter(|&host| stage.ledger.is_draining(host)).count();
        let peers = stage.hosts.iter().filter(|other| other.kind == host.kind).count();
        if stage.ledger.is_draining(host.index) || away * 3 > among || peers < 3 {
            continue;
        }
        // Sometimes the whole of it happens within one push.
        let [left, back] =
            if chance.u32(0..5) == 0 { [1, 1] } else { [chance.u64(350..900), chance.u64(100..900)] };
        let stage = Arc::clone(&stage);
        lives.push(tokio::spawn(async move {
            stage.ledger.say(format_args!("host {} drains", host.index));
            stage.ledger.draining(host.index);
            stage.log.list(&[stage.line(&host, "leaving", 0)], false, Tells::Drain(host.index));
            tokio::time::sleep(Duration::from_millis(left)).await;
            stage.ledger.say(format_args!("host {} is gone", host.index));
            stage.log.list(&[stage.line(&host, "left", 0)], false, Tells::List);
            tokio::time::sleep(Duration::from_millis(back)).await;
            stage.ledger.say(format_args!("host {} is back", host.index));
            host.restart();
            stage.ledger.lives_anew(host.index);
            let since_ms = host.since_ms.load(Ordering::Relaxed);
            stage.log.list(&[stage.line(&host, "active", since_ms)], false, Tells::List);
        }));
    }
    for life in lives {
        let _ = life.await;
    }
}

/// A drain that a third of the proxies can't hear of: without leases they go on sending there.
async fn cut_off_from_a_drain(stage: Arc<Stage>) {
    tokio::time::sleep(Duration::from_millis(500)).await;
    let long = Duration::from_millis(1500);
    let cut = stage.proxies.iter().step_by(3).map(|proxy| Arc::clone(proxy).suffer(Fault::Cut(long)));
    let cut: Vec<_> = cut.map(tokio::spawn).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let caches = || stage.hosts.iter().filter(|host| host.kind == "cache");
    if let Some(host) = caches().find(|host| !stage.ledger.is_draining(host.index)) {
        stage.ledger.draining(host.index);
        stage.log.list(&[stage.line(host, "leaving", 0)], false, Tells::Drain(host.index));
    }
    for cut in cut {
        let _ = cut.await;
    }
}

/// What goes wrong with proxies and with the change log.
async fn faults(stage: Arc<Stage>, seed: u64) {
    let mut chance = fastrand::Rng::with_seed(seed.wrapping_add(1001));
    let mut suffered = Vec::new();
    while !stage.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(chance.u64(40..200))).await;
        if chance.u32(0..12) == 0 {
            stage.ledger.say(format_args!("the change log fails"));
            match chance.u32(0..3) {
                0 => stage.log.break_off(),
                1 => stage.log.fall_silent(Duration::from_millis(chance.u64(50..700))),
                _ => stage.log.begin_anew(&stage.lines()),
            }
            continue;
        }
        let proxy = &stage.proxies[chance.usize(0..stage.proxies.len())];
        if proxy.is_faulty() {
            continue;
        }
        let long = Duration::from_millis(chance.u64(100..1600));
        let fault = match chance.u32(0..6) {
            0 | 1 => Fault::Reconnect,
            2 => Fault::Cut(long),
            3 => Fault::Deaf(long),
            4 => Fault::Slow(long / 10),
            _ => Fault::Refuse(["purge/", "cache-1", "caches", "gets"][chance.usize(0..4)]),
        };
        stage.ledger.say(format_args!("proxy {} suffers {fault:?}", proxy.index));
        suffered.push(tokio::spawn(Arc::clone(proxy).suffer(fault)));
    }
    for fault in suffered {
        let _ = fault.await;
    }
}

fn percentiles(of: &Percentiles) -> Value {
    json!({"count": of.count, "p50_ms": of.p50_us as f64 / 1e3, "p99_ms": of.p99_us as f64 / 1e3,
        "worst_ms": of.worst_us as f64 / 1e3})
}

fn verdict(plan: &Plan, stage: &Stage, proxies: usize, caches: usize, measured: &Measured) -> ExitCode {
    let (taken, answered, answers) = stage.ledger.answers();
    if taken != answered {
        stage.ledger.broken(format!("{taken} GETs were taken and {answered} answered"));
    }
    let (broken, breaks) = stage.ledger.breaks();
    let [arrivals, fills, purges, effects] = stage.ledger.counted();
    let [drain, purge] = stage.ledger.took_effect();
    let (after_drain, after_purge) = stage.ledger.worst();
    let messages: u64 = stage.proxies.iter().map(|proxy| proxy.messages.load(Ordering::Relaxed)).sum();
    let bytes: u64 = stage.proxies.iter().map(|proxy| proxy.bytes.load(Ordering::Relaxed)).sum();
    let streams: u32 = stage.proxies.iter().map(|proxy| proxy.streams.load(Ordering::Relaxed)).sum();
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    let share = answers.get("returned").copied().unwrap_or(0) as f64 / taken.max(1) as f64;
    println!("{proxies} proxies, {caches} caches, {} parents; {streams} streams", plan.parents);
    println!("GETs {taken}, answered {answered}, returned {:.1} %", share * 100.0);
    for (how, count) in &answers {
        println!("  {count:>8}  {how}");
    }
    println!("at hosts: {arrivals} GETs, {fills} fills, {effects} effects; {purges} purges");
    for (what, of) in [("drain", &drain), ("purge", &purge)] {
        println!(
            "{what:<6} from told to effect: {:>6} seen, p50 {:.1} ms, p99 {:.1} ms, worst {:.1} ms",
            of.count,
            of.p50_us as f64 / 1e3,
            of.p99_us as f64 / 1e3,
            of.worst_us as f64 / 1e3
        );
    }
    println!(
        "last at a draining host {:.1} ms after it was told (250 allowed), last copy from before a purge {:.1} ms (1000)",
        ms(after_drain),
        ms(after_purge)
    );
    println!(
        "converged in {:.0} ms, after kills in {:?} ms; service {:.2} cores, {} KB alone, {} KB joined, {} KB at the end",
        ms(measured.first),
        measured.after_kill,
        measured.cpu,
        measured.alone_kb,
        measured.joined_kb,
        measured.end_kb
    );
    println!("the machine woke what slept up to {:.1} ms late", ms(measured.lag));
    for what in &breaks {
        println!("BROKEN {what}");
    }
    let judged = broken == 0 || measured.lag < TOO_BUSY || plan.without.is_some();
    if !judged {
        println!("not judged: the machine was too busy");
    }
    if broken > 0 {
        println!("replay: cargo run --release -p myrtlegauge-lab -- xds --seed {}", plan.seed);
    }
    let summary = json!({
        "proof": "xds", "seed": plan.seed, "held": broken == 0, "judged": judged, "broken": broken,
        "proxies": proxies, "caches": caches, "streams": streams, "messages": messages, "resource_bytes": bytes,
        "gets": taken, "answers": answers, "returned_share": share, "purges": purges, "effects": effects,
        "drain_effect": percentiles(&drain), "purge_effect": percentiles(&purge),
        "last_after_drain_ms": ms(after_drain), "last_after_purge_ms": ms(after_purge),
        "converged_ms": ms(measured.first), "after_kill_ms": measured.after_kill, "cores": measured.cpu,
        "memory_kb": {"alone": measured.alone_kb, "joined": measured.joined_kb, "end": measured.end_kb},
        "lag_ms": ms(measured.lag),
    });
    println!("{summary}");
    stand::verdict(broken == 0, judged)
}
