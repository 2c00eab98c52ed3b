//! A fleet of real dispatcher processes, each with a page of faults of its own, before stand-in hosts and a change log.

use super::guards::{self, Without};
use crate::fleet::dispatchers::{Links, share_among};
use crate::fleet::testbed::serve;
use crate::stand::changelog::{ChangeLog, Tells};
use crate::stand::fault_page::FaultPage;
use crate::stand::hosts::{Bounds, Host, UNBOUND};
use crate::stand::ledger::Ledger;
use crate::stand::net::Net;
use crate::stand::process::{self, Dispatcher, Told};
use crate::stand::{asker, line_of_weight};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;

/// Mean time that a request takes at a cache that is not crowded.
const CACHE_WORK: Duration = Duration::from_millis(80);
const SOURCE_WORK: Duration = Duration::from_millis(2);
const DRAIN_GRACE_MS: u64 = 250;
/// How often and at what pace it is looked whether a started process listens.
const READY_LOOKS: u32 = 500;
const READY_LOOKS_EVERY: Duration = Duration::from_millis(10);
/// How often a dispatcher is asked to end, and how far apart.
const TERM_SIGNALS: u32 = 3;
const TERM_GAP: Duration = Duration::from_millis(20);
/// Keeps the seeds of the dispatchers of different runs apart.
const SEEDS_PER_RUN: u64 = 1000;

/// What the settings tell of a cache's slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartTerms {
    /// Share of its full work that it bears at first.
    pub start_capacity: f64,
    pub warm_within: Duration,
    /// Times what it bears that makes it fall, within `fall_within`.
    pub fall_multiple: f64,
    pub fall_within: Duration,
}

impl SlowStartTerms {
    /// Requests of mean work that a cache of this age and weight may get within `fall_within`, chance left out.
    pub fn allowed(&self, age: Duration, weight: f64) -> f64 {
        let warmth = age.div_duration_f64(self.warm_within).min(1.0);
        let capacity = self.start_capacity + (1.0 - self.start_capacity) * warmth;
        let full = weight * self.fall_within.div_duration_f64(CACHE_WORK);
        self.fall_multiple * capacity * full
    }
}

/// How the caches of a run work.
#[derive(Clone, Copy, Debug)]
pub struct CacheModel {
    /// Weight in the list: transfers at full pace that fit the cache's link.
    pub weight: f64,
    /// Transfers that really fit, as a multiple of the weight. Without it, a request takes as long beside any others.
    pub capacity_factor: Option<f64>,
    /// Standard deviation of the logarithm of a request's work.
    pub work_sigma: f64,
}

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub dispatchers: usize,
    pub caches: usize,
    pub cache_model: CacheModel,
    pub terms: SlowStartTerms,
    pub seed: u64,
    pub without: Option<Without>,
}

/// One life of a cache's process that began cold during the run.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub cache: usize,
    pub began: Instant,
    /// The ledger's number of the event that tells of it.
    pub event: usize,
}

/// When a dispatcher did not run as it should: killed, frozen, asked to end, or with failing calls.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub dispatcher: usize,
    pub from: Instant,
    pub to: Instant,
}

pub struct Fleet {
    pub scale: Scale,
    pub ledger: Arc<Ledger>,
    pub net: Arc<Net>,
    pub change_log: Arc<ChangeLog>,
    pub hosts: Vec<Arc<Host>>,
    pub dispatchers: Vec<AsyncMutex<Dispatcher>>,
    pub addresses: Vec<std::net::SocketAddr>,
    pub pages: Vec<FaultPage>,
    pub links: Vec<Links>,
    pub cold_starts: Mutex<Vec<ColdStart>>,
    /// Until when each dispatcher is stopped, or was.
    frozen_until: Mutex<Vec<Instant>>,
    outages: Mutex<Vec<Outage>>,
    _servers: JoinSet<()>,
}

impl Fleet {
    /// Starts everything but the clients, and waits until each dispatcher answers.
    pub async fn start(scale: Scale) -> Result<Arc<Self>, String> {
        let ledger = Arc::new(Ledger::new());
        let net = Arc::new(Net::new(scale.seed));
        let hosts = hosts(&scale, &net).map_err(|e| e.to_string())?;
        let change_log = ChangeLog::on(Arc::clone(&ledger), Arc::clone(&net)).map_err(|e| e.to_string())?;
        let change_log = Arc::new(change_log);
        let links = (0..scale.dispatchers).map(|index| Links::open(index, &hosts, &change_log));
        let links = links.collect::<std::io::Result<Vec<_>>>().map_err(|e| e.to_string())?;
        let weight = scale.cache_model.weight;
        let lines: Vec<_> = hosts.iter().map(|host| line_of_weight(host, "active", 0, weight)).collect();
        change_log.list(&lines, true, Tells::List);
        let servers = serve(&hosts, &change_log, &ledger);
        let pages = (0..scale.dispatchers).map(|index| FaultPage::new(scale.seed ^ index as u64));
        let pages = pages.collect::<std::io::Result<Vec<_>>>().map_err(|e| e.to_string())?;
        let settings = settings(&scale, &change_log.address.to_string())?;
        let mut dispatchers = Vec::with_capacity(scale.dispatchers);
        for (index, (links, page)) in links.iter().zip(&pages).enumerate() {
            let told = Told {
                name: format!("d{index}"),
                changelog: links.change_log,
                known: change_log.known(&links.hosts),
                seed: scale.seed.wrapping_mul(SEEDS_PER_RUN) + index as u64,
            };
            let mut environment = Vec::from(page.environment());
            environment.extend(scale.without.map(|without| (guards::VARIABLE, without.word().into())));
            dispatchers.push(Dispatcher::start_in(&settings, told, false, environment)?);
        }
        let addresses: Vec<_> = dispatchers.iter().map(|dispatcher| dispatcher.address).collect();
        for &address in &addresses {
            asker::ready(address, &hosts).await?;
        }
        Ok(Arc::new(Self {
            scale,
            ledger,
            net,
            change_log,
            hosts,
            dispatchers: dispatchers.into_iter().map(AsyncMutex::new).collect(),
            addresses,
            pages,
            links,
            cold_starts: Mutex::default(),
            frozen_until: Mutex::new(vec![Instant::now(); scale.dispatchers]),
            outages: Mutex::default(),
            _servers: servers,
        }))
    }

    /// A cache's process dies and is back after `away`, cold; the change log tells of it as it is back.
    pub async fn crash_cache(&self, cache: usize, away: Duration) {
        let host = &self.hosts[cache];
        host.crash(away);
        let began = Instant::now() + away;
        tokio::time::sleep_until(began.into()).await;
        let event = self.ledger.start_put();
        self.cold_starts.lock().expect("no holder panics").push(ColdStart { cache, began, event });
        let since_ms = host.since_ms.load(Ordering::Relaxed);
        let told = line_of_weight(host, "active", since_ms, self.scale.cache_model.weight);
        self.change_log.list(&[told], false, Tells::Start(event));
    }

    /// Kills a dispatcher, and starts it again after `away` with what the change log tells by then.
    pub async fn kill_dispatcher(&self, index: usize, away: Duration) -> Result<(), String> {
        let mut dispatcher = self.dispatchers[index].lock().await;
        self.note_outage(index, away);
        dispatcher.kill();
        tokio::time::sleep(away).await;
        self.begin(index, &mut dispatcher).await
    }

    /// Starts a new life of a dispatcher, and waits until it listens: no process can take a signal before it runs.
    async fn begin(&self, index: usize, dispatcher: &mut Dispatcher) -> Result<(), String> {
        dispatcher.begin(Some(self.change_log.known(&self.links[index].hosts)))?;
        for _ in 0..READY_LOOKS {
            if tokio::net::TcpStream::connect(dispatcher.address).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(READY_LOOKS_EVERY).await;
        }
        Err(format!("dispatcher {index} does not listen"))
    }

    /// Asks a dispatcher to end, waits until it has, and starts it again.
    pub async fn restart_dispatcher(&self, index: usize) -> Result<(), String> {
        const KILLED_AFTER: Duration = Duration::from_millis(3700);
        let mut dispatcher = self.dispatchers[index].lock().await;
        self.note_outage(index, KILLED_AFTER);
        let asked_at = Instant::now();
        for _ in 0..TERM_SIGNALS {
            dispatcher.signal(Signal::TERM);
            tokio::time::sleep(TERM_GAP).await;
        }
        // A process that is stopped hears of the signal once it runs on.
        let until = self.frozen_until(index).max(asked_at) + KILLED_AFTER;
        while !dispatcher.has_crashed() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if Instant::now() >= until {
            self.ledger.broken(format!("dispatcher {index} runs on until it is killed"));
        }
        dispatcher.kill();
        self.begin(index, &mut dispatcher).await
    }

    /// Tells that a cache drains. It serves on for those who come.
    pub fn drain_cache(&self, cache: usize) {
        let weight = self.scale.cache_model.weight;
        let line = line_of_weight(&self.hosts[cache], "leaving", 0, weight);
        self.change_log.list(&[line], false, Tells::Drain(cache));
    }

    /// Sends a signal to a dispatcher's process.
    pub async fn signal_dispatcher(&self, index: usize, signal: Signal) {
        self.dispatchers[index].lock().await.signal(signal);
    }

    /// Stops a dispatcher's process for a while.
    pub async fn freeze_dispatcher(&self, index: usize, long: Duration) {
        self.note_outage(index, long);
        self.note_frozen(index, Instant::now() + long);
        let process = {
            let dispatcher = self.dispatchers[index].lock().await;
            dispatcher.signal(Signal::STOP);
            dispatcher.id()
        };
        tokio::time::sleep(long).await;
        // Who restarts it meanwhile holds the lock until it has ended, which it can't while it is stopped.
        process::signal_id(process, Signal::CONT);
    }

    fn note_frozen(&self, dispatcher: usize, until: Instant) {
        let mut frozen_until = self.frozen_until.lock().expect("no holder panics");
        frozen_until[dispatcher] = frozen_until[dispatcher].max(until);
    }

    fn frozen_until(&self, dispatcher: usize) -> Instant {
        self.frozen_until.lock().expect("no holder panics")[dispatcher]
    }

    /// From now on until `long` from now, and a moment longer, requests to a dispatcher may be lost.
    pub fn note_outage(&self, dispatcher: usize, long: Duration) {
        const MOMENT: Duration = Duration::from_millis(500);
        let from = Instant::now();
        let outage = Outage { dispatcher, from, to: from + long + MOMENT };
        self.outages.lock().expect("no holder panics").push(outage);
    }

    /// Whether a dispatcher ran as it should from `from` to `to`.
    pub fn was_well(&self, dispatcher: usize, from: Instant, to: Instant) -> bool {
        let outages = self.outages.lock().expect("no holder panics");
        !outages
            .iter()
            .any(|outage| outage.dispatcher == dispatcher && outage.from <= to && from <= outage.to)
    }

    /// System calls of the dispatchers that were made to fail so far.
    pub fn failed_calls(&self) -> Result<u64, String> {
        self.pages.iter().map(|page| page.failed_calls().map_err(|e| e.to_string())).sum()
    }

    /// Lines of the dispatchers' logs on hosts in slow start.
    pub async fn slow_starts_logged(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (index, dispatcher) in self.dispatchers.iter().enumerate() {
            let logged = dispatcher.lock().await.logged();
            let lines = logged.lines().filter(|line| line.contains("slow start host="));
            found.extend(lines.map(|line| format!("dispatcher {index} logged: {line}")));
        }
        found
    }

    /// Lines of the dispatchers' logs that tell of an invariant that did not hold, or of a panic.
    pub async fn violations_logged(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (index, dispatcher) in self.dispatchers.iter().enumerate() {
            let logged = dispatcher.lock().await.logged();
            let violations =
                logged.lines().filter(|line| line.contains("broken: ") || line.contains("panicked"));
            found.extend(violations.map(|line| format!("dispatcher {index} logged: {line}")));
        }
        found
    }
}

fn hosts(scale: &Scale, net: &Arc<Net>) -> std::io::Result<Vec<Arc<Host>>> {
    let kinds = std::iter::repeat_n("cache", scale.caches).chain(["parent", "origin"]);
    let host = |(index, kind): (usize, &'static str)| {
        let bounds = if kind == "cache" { cache_bounds(&scale.cache_model) } else { SOURCE_BOUNDS };
        Ok(Arc::new(Host::bound(index, kind, bounds, Arc::clone(net))?.by_object()))
    };
    kinds.enumerate().map(host).collect()
}

const SOURCE_BOUNDS: Bounds = Bounds { hit: SOURCE_WORK, fill: SOURCE_WORK, write: SOURCE_WORK, ..UNBOUND };

fn cache_bounds(model: &CacheModel) -> Bounds {
    let link_transfers = model.capacity_factor.map(|factor| factor * model.weight);
    let work_sigma = model.work_sigma;
    Bounds { hit: CACHE_WORK, fill: CACHE_WORK, work_sigma, link_transfers, ..SOURCE_BOUNDS }
}

/// The settings of the fleet: the platform's, with the slow start of `scale`.
fn settings(scale: &Scale, change_log: &str) -> Result<Value, String> {
    let file = process::operator_file("127.0.0.1:1", change_log, false, DRAIN_GRACE_MS);
    let mut settings = process::settings(&file)?;
    let terms = &scale.terms;
    settings["obligations"] = json!({
        "start_capacity": terms.start_capacity, "warm_within_ms": terms.warm_within.as_secs_f64() * 1e3,
        "fall_multiple": terms.fall_multiple, "fall_ms": terms.fall_within.as_secs_f64() * 1e3});
    settings["domain"]["pass_through_ok"] = json!(true);
    settings["domain"]["shares_fills"] = json!(false);
    share_among(&mut settings, scale.dispatchers);
    Ok(settings)
}
