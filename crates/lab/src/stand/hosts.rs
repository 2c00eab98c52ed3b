//! Stand-in caches, parents and origin: they speak the dispatcher's protocol to hosts, keep copies with their birth, obey
//! the oldest age that will do, fill from the source they are told, and note every arrival. What binds a real host binds
//! them: places for work, a queue, a store, a cold start that falls over when pushed; what was begun for an asker that
//! is gone runs on.

use super::ledger::{Ledger, unix_ms};
use super::net::{Net, Party, Passed};
use super::process::own_address;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

/// ms; the fresh time of the service whose copies age.
pub const FRESH_MS: f64 = 5000.0;
/// After this much a purge has reached every host by itself.
const PURGED_WITHIN: Duration = Duration::from_millis(5500);
/// Bytes of one word.
const WORD_LONG: usize = 64 * 1024;
/// How long a fill is waited for; what is under way at the source runs on.
const FILL_PATIENCE: Duration = Duration::from_millis(2000);
/// Part of its fresh time past which a copy is renewed behind a hit that asks for it.
const RENEWED_FROM: f64 = 0.8;
/// Steps of the figures over time.
pub const STEP: Duration = Duration::from_millis(100);

/// What binds a host.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// GETs worked on at once; what comes further waits in the order it came.
    pub slots: usize,
    /// GETs that may wait; more are turned away as full.
    pub queue: usize,
    /// Work for what is held, for what is given out anew, and for an effect.
    pub hit: Duration,
    pub fill: Duration,
    pub write: Duration,
    /// Spread of the work around its mean: the standard deviation of its logarithm.
    pub work_sigma: f64,
    /// Transfers that fit the host's link at full pace. More of them share it, and each takes longer.
    pub link_transfers: Option<f64>,
    /// Copies held; the one unused for longest goes first.
    pub holds: usize,
    pub cold: Option<Cold>,
}

/// A start: the share of its work that a host bears at first, until when it bears all, and the seconds of work that wait
/// beyond which it falls over and is down.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub share: f64,
    pub warm_within: Duration,
    pub falls_at: f64,
    pub down_for: Duration,
}

/// Nothing binds but the time that a GET takes.
pub const UNBOUND: Bounds = Bounds {
    slots: 10_000,
    queue: 10_000,
    hit: Duration::from_micros(300),
    fill: Duration::from_micros(300),
    write: Duration::from_micros(300),
    work_sigma: 0.0,
    link_transfers: None,
    holds: usize::MAX,
    cold: None,
};

/// What came to a host in one step.
#[derive(Clone, Copy, Default, Debug)]
pub struct Arrived {
    pub gets: u32,
    /// Work asked for, s.
    pub work: f64,
    /// Most at once, waiting ones included.
    pub at_once: usize,
    /// Fills of what it had given out less than four fifths of a fresh time before.
    pub again: u32,
}

type CopyKey = (u64, u32);

/// What a host holds, the one unused for longest out first.
#[derive(Default)]
struct Store {
    copies: HashMap<CopyKey, (f64, u64)>,
    order: BTreeSet<(u64, CopyKey)>,
    clock: u64,
    renewing: BTreeSet<CopyKey>,
    /// Where everything is held: when each was last given out as a fill.
    given: HashMap<CopyKey, Instant>,
}

impl Store {
    fn born(&mut self, key: CopyKey) -> Option<f64> {
        self.clock += 1;
        let (born, used) = self.copies.get_mut(&key)?;
        self.order.remove(&(*used, key));
        *used = self.clock;
        self.order.insert((self.clock, key));
        Some(*born)
    }

    fn put(&mut self, key: CopyKey, born: f64, most: usize) {
        self.clock += 1;
        if let Some((_, used)) = self.copies.insert(key, (born, self.clock)) {
            self.order.remove(&(used, key));
        }
        self.order.insert((self.clock, key));
        while self.copies.len() > most {
            let Some((_, out)) = self.order.pop_first() else { break };
            self.copies.remove(&out);
        }
    }
}

pub struct Host {
    pub index: usize,
    pub name: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    /// Where it stands, as the list tells it.
    pub zone: String,
    /// When its life began, Unix milliseconds, as the list tells it.
    pub since_ms: AtomicU64,
    /// An effect is known by the object it names, not by the id of the try; and no answer is lost on purpose.
    by_object: bool,
    bounds: Bounds,
    places: Semaphore,
    at_once: AtomicUsize,
    /// Times its time that work takes, in percent.
    slow: AtomicU32,
    /// It answers nothing until then, as one that is dead.
    down_until: Mutex<Option<Instant>>,
    began: Mutex<Option<Instant>>,
    /// It reads nothing until then.
    stalled_until: Mutex<Option<Instant>>,
    /// Processes that it has had, and how long the next one stays away; connections end with theirs.
    process: watch::Sender<Process>,
    listeners: Mutex<Vec<(Party, std::net::TcpListener)>>,
    store: Mutex<Store>,
    /// When GETs came, and from whom.
    came: Mutex<Vec<(Instant, Party)>>,
    steps: Mutex<(Instant, Vec<Arrived>)>,
    /// Times that it fell over, pushed while cold.
    pub fell: AtomicU32,
    /// Clients' copies that it said were the ones.
    pub named_current: AtomicU64,
    fleet: OnceLock<Vec<Arc<Host>>>,
    net: Arc<Net>,
    random: Mutex<fastrand::Rng>,
}

/// A life of the host's process.
#[derive(Clone, Copy, Default)]
struct Process {
    number: u32,
    /// How long nobody listened before it.
    away: Duration,
}

/// What a source gives.
enum Given {
    Copy { born: f64, from_origin: bool },
    Lacks,
    Refused,
    Broke,
}

/// A listener at an address of this run's own, which stays free while the host's process is away.
fn own_listener() -> std::io::Result<(std::net::TcpListener, SocketAddr)> {
    let address = own_address();
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok((listener, address))
}

impl Host {
    pub fn new(index: usize, kind: &'static str) -> std::io::Result<Self> {
        Self::bound(index, kind, UNBOUND, Arc::new(Net::new(0)))
    }

    pub fn bound(index: usize, kind: &'static str, bounds: Bounds, net: Arc<Net>) -> std::io::Result<Self> {
        let (listener, address) = own_listener()?;
        Ok(Self {
            index,
            name: format!("{kind}-{index}"),
            address,
            kind,
            zone: if kind == "cache" { "edge" } else { "hub" }.to_owned(),
            came: Mutex::default(),
            since_ms: AtomicU64::new(0),
            by_object: false,
            bounds,
            places: Semaphore::new(bounds.slots),
            at_once: AtomicUsize::new(0),
            slow: AtomicU32::new(100),
            down_until: Mutex::default(),
            began: Mutex::default(),
            stalled_until: Mutex::default(),
            process: watch::Sender::new(Process::default()),
            listeners: Mutex::new(vec![(Party::Front, listener)]),
            store: Mutex::default(),
            steps: Mutex::new((Instant::now(), Vec::new())),
            fell: AtomicU32::new(0),
            named_current: AtomicU64::new(0),
            fleet: OnceLock::new(),
            net,
            random: Mutex::new(fastrand::Rng::with_seed(index as u64)),
        })
    }

    pub fn in_zone(self, zone: String) -> Self {
        Self { zone, ..self }
    }

    /// When GETs came from each dispatcher.
    pub fn came(&self) -> Vec<(Instant, Party)> {
        self.came.lock().expect("no holder panics").clone()
    }

    pub fn by_object(self) -> Self {
        Self { by_object: true, ..self }
    }

    /// An address of its own for each who asks, so that a link is known by where it ends.
    pub fn listen_for(&self, who: Party) -> std::io::Result<SocketAddr> {
        let (listener, address) = own_listener()?;
        self.listeners.lock().expect("no holder panics").push((who, listener));
        Ok(address)
    }

    pub fn meet(&self, fleet: &[Arc<Host>]) {
        let _ = self.fleet.set(fleet.to_vec());
    }

    /// A new process at the same address, with nothing in it.
    pub fn restart(&self) {
        self.empty();
        self.since_ms.store(unix_ms() as u64, Ordering::Relaxed);
        *self.began.lock().expect("no holder panics") = Some(Instant::now());
    }

    /// Its process dies: connections end, dials are refused. A new one with nothing in it is there after `away`.
    pub fn crash(&self, away: Duration) {
        self.restart();
        *self.began.lock().expect("no holder panics") = Some(Instant::now() + away);
        self.since_ms.store((unix_ms() + away.as_secs_f64() * 1e3) as u64, Ordering::Relaxed);
        self.process.send_modify(|process| *process = Process { number: process.number + 1, away });
    }

    /// It reads nothing for a while, and then all that has come.
    pub fn stall(&self, long: Duration) {
        *self.stalled_until.lock().expect("no holder panics") = Some(Instant::now() + long);
    }

    /// Waits until it reads again.
    async fn stalled(&self) {
        loop {
            let until = *self.stalled_until.lock().expect("no holder panics");
            match until.filter(|until| Instant::now() < *until) {
                Some(until) => tokio::time::sleep_until(until.into()).await,
                None => return,
            }
        }
    }

    /// All that it held is lost, and nobody is told.
    pub fn empty(&self) {
        *self.store.lock().expect("no holder panics") = Store::default();
    }

    /// Work takes so many percent of its time.
    pub fn slow(&self, percent: u32) {
        self.slow.store(percent.max(1), Ordering::Relaxed);
    }

    pub fn down(&self, long: Duration) {
        *self.down_until.lock().expect("no holder panics") = Some(Instant::now() + long);
    }

    fn is_down(&self) -> bool {
        self.down_until.lock().expect("no holder panics").is_some_and(|until| Instant::now() < until)
    }

    /// What it bears in a second of time, in seconds of work.
    pub fn bears(&self) -> f64 {
        self.bounds.slots as f64
    }

    /// The same at a moment, by how long it had been there: a start that came later is none yet.
    pub fn bears_at(&self, at: Instant) -> f64 {
        let began = *self.began.lock().expect("no holder panics");
        let (Some(cold), Some(began)) = (self.bounds.cold, began.filter(|began| *began <= at)) else {
            return self.bears();
        };
        let age = (at - began).div_duration_f64(cold.warm_within).min(1.0);
        self.bears() * (cold.share + (1.0 - cold.share) * age)
    }

    /// What came, by steps since `from`.
    pub fn arrived(&self, from: Instant) -> Vec<Arrived> {
        let steps = self.steps.lock().expect("no holder panics");
        let skip = from.saturating_duration_since(steps.0).div_duration_f64(STEP).round() as usize;
        steps.1.iter().skip(skip).copied().collect()
    }

    /// Share of its work that it bears now.
    fn warmth(&self) -> f64 {
        let Some(cold) = self.bounds.cold else { return 1.0 };
        let Some(began) = *self.began.lock().expect("no holder panics") else { return 1.0 };
        let age = began.elapsed().div_duration_f64(cold.warm_within).min(1.0);
        cold.share + (1.0 - cold.share) * age
    }

    fn note(&self, work: Duration, again: bool) {
        let mut steps = self.steps.lock().expect("no holder panics");
        let at = steps.0.elapsed().div_duration_f64(STEP) as usize;
        if steps.1.len() <= at {
            steps.1.resize(at + 1, Arrived::default());
        }
        let step = &mut steps.1[at];
        step.gets += u32::from(!again);
        step.again += u32::from(again);
        step.work += work.as_secs_f64();
        step.at_once = step.at_once.max(self.at_once.load(Ordering::Relaxed));
    }

    /// Draws the work of one GET, as a multiple of the mean, from a log-normal distribution.
    fn draw_work(&self) -> f64 {
        let sigma = self.bounds.work_sigma;
        if sigma == 0.0 {
            return 1.0;
        }
        let mut random = self.random.lock().expect("no holder panics");
        let normal = (-2.0 * (1.0 - random.f64()).ln()).sqrt() * (std::f64::consts::TAU * random.f64()).cos();
        (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// Works on a GET once there is a place; false: it is full, or fell over under what was asked of it.
    async fn work(&self, long: Duration) -> bool {
        let at_once = self.at_once.fetch_add(1, Ordering::Relaxed) + 1;
        self.note(long, false);
        let warmth = self.warmth();
        let full = at_once > self.bounds.slots + self.bounds.queue;
        if let Some(cold) = self.bounds.cold.filter(|_| warmth < 1.0) {
            let waits = at_once as f64 * long.as_secs_f64() / (self.bears() * warmth);
            if waits > cold.falls_at && !self.is_down() {
                self.fell.fetch_add(1, Ordering::Relaxed);
                self.restart();
                self.down(cold.down_for);
            }
        }
        let mut done = !full && !self.is_down();
        if done {
            let _place = self.places.acquire().await;
            let sharing =
                self.bounds.link_transfers.map_or(1.0, |transfers| (at_once as f64 / transfers).max(1.0));
            let times = f64::from(self.slow.load(Ordering::Relaxed)) / 100.0 / warmth * sharing;
            tokio::time::sleep(long.mul_f64(times * self.draw_work())).await;
            done = !self.is_down();
        }
        self.at_once.fetch_sub(1, Ordering::Relaxed);
        done
    }

    pub async fn serve(self: Arc<Self>, ledger: Arc<Ledger>) -> std::io::Result<()> {
        let listeners = std::mem::take(&mut *self.listeners.lock().expect("no holder panics"));
        let mut all = tokio::task::JoinSet::new();
        for (who, listener) in listeners {
            let listener = TcpListener::from_std(listener)?;
            let (host, ledger) = (Arc::clone(&self), Arc::clone(&ledger));
            all.spawn(async move { host.listen(who, listener, &ledger).await });
        }
        all.join_all().await;
        Ok(())
    }

    /// Takes connections, by one process after another at the same address.
    async fn listen(self: &Arc<Self>, who: Party, mut listener: TcpListener, ledger: &Arc<Ledger>) {
        let mut process = self.process.subscribe();
        let Ok(address) = listener.local_addr() else { return };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                changed = process.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let away = process.borrow_and_update().away;
                    drop(listener);
                    tokio::time::sleep(away).await;
                    match TcpListener::bind(address).await {
                        Ok(anew) => listener = anew,
                        Err(e) => return ledger.broken(format!("{address} can't be listened at again: {e}")),
                    }
                    continue;
                }
            };
            let Ok((stream, _)) = accepted else { return };
            let _ = stream.set_nodelay(true);
            if self.is_down() {
                continue;
            }
            let (host, ledger, mut process) = (Arc::clone(self), Arc::clone(ledger), process.clone());
            tokio::spawn(async move {
                tokio::select! {
                    _ = host.connection(who, stream, &ledger) => {}
                    _ = process.changed() => {}
                }
            });
        }
    }

    /// One connection: what comes is worked on at once beside what came before, and answered as it is done.
    async fn connection(
        self: Arc<Self>,
        who: Party,
        stream: TcpStream,
        ledger: &Arc<Ledger>,
    ) -> std::io::Result<()> {
        let here = Party::Host(self.index);
        let (from, mut to) = stream.into_split();
        let mut from = BufReader::new(from);
        // None: the connection ends here.
        let (answers, mut answered) = mpsc::unbounded_channel::<Option<Vec<u8>>>();
        let host = Arc::clone(&self);
        // In a set, so that it ends with its connection.
        let mut writes = tokio::task::JoinSet::new();
        writes.spawn(async move {
            while let Some(Some(answer)) = answered.recv().await {
                let passed = host.net.pass(here, who).await;
                let whole = if passed == Passed::Reset { answer.len() / 2 } else { answer.len() };
                if passed != Passed::Lost && to.write_all(&answer[..whole]).await.is_err() {
                    return;
                }
                if passed == Passed::Reset || host.is_down() {
                    return;
                }
            }
        });
        loop {
            self.stalled().await;
            let read = read_words(&mut from, |first| ledger_first(&self, ledger, first));
            let got = tokio::select! {
                got = read => got?,
                _ = writes.join_next() => return Ok(()),
            };
            let Some(got) = got else { return Ok(()) };
            if got.first().is_some_and(|verb| verb == b"serve") {
                self.came.lock().expect("no holder panics").push((Instant::now(), who));
            }
            if self.net.pass(who, here).await == Passed::Reset || self.is_down() {
                return Ok(());
            }
            let [verb, id, fields, _] = &got[..] else { return Ok(()) };
            if verb != b"serve" {
                continue;
            }
            let (id, fields) =
                (String::from_utf8_lossy(id).into_owned(), String::from_utf8_lossy(fields).into_owned());
            let (host, ledger, answers) = (Arc::clone(&self), Arc::clone(ledger), answers.clone());
            tokio::spawn(async move {
                let answer = host.answer(&id, &fields, &ledger).await;
                let untold = host.kind == "cache"
                    && !host.by_object
                    && fields.starts_with("lane=delivery-confirm")
                    && id.ends_with(['3', 'b']);
                // It ran, and nobody is told.
                let _ = answers.send(Some(answer).filter(|_| !untold));
            });
        }
    }

    async fn answer(self: &Arc<Self>, id: &str, fields: &str, ledger: &Arc<Ledger>) -> Vec<u8> {
        let field = |name: &str| {
            let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let lane = field("lane").unwrap_or_default();
        let says = |word: &str| field("do").is_some_and(|said| said.split('+').any(|one| one == word));
        if lane == "delivery-confirm" || lane == "order-note" {
            return match self.effect(id, &lane, field("name"), field("up"), ledger).await {
                Some(true) => words(&[id, "200", "-", "done"]),
                Some(false) => words(&[id, "503", "-", ""]),
                None => words(&[id, "500", "-", ""]),
            };
        }
        let object = field("name").and_then(|name| u64::from_str_radix(&name, 16).ok()).unwrap_or(0);
        let part = field("piece").and_then(|part| part.parse().ok()).unwrap_or(0);
        let told: f64 = field("cap").and_then(|cap| cap.parse().ok()).unwrap_or(0.0);
        let fresh = if lane == "product-photo" { FRESH_MS } else { f64::INFINITY };
        // No age told: the fresh time of the service, or any where it has none.
        let oldest = if told > 0.0 { told } else { fresh };
        let key = (object, part);
        if self.kind == "origin" {
            return match self.give(key, oldest, false, ledger).await {
                Given::Copy { born, .. } => {
                    words(&[id, "200", &format!("rev=a,since={born:.0},why=TCP_HIT"), &body(born)])
                }
                _ => words(&[id, "503", "-", ""]),
            };
        }
        let held = self.held(key, oldest, ledger);
        let up = if self.kind == "parent" { Some("origin".to_owned()) } else { field("up") };
        if let Some(born) = held {
            if !self.work(self.bounds.hit).await {
                return words(&[id, "503", "-", ""]);
            }
            let aged = unix_ms() - born > fresh * RENEWED_FROM;
            if says("renew") && aged && self.begins_renewal(key) {
                let (host, ledger, source) = (Arc::clone(self), Arc::clone(ledger), self.source(up));
                tokio::spawn(async move {
                    host.fill(source, key, fresh, false, &ledger).await;
                    host.store.lock().expect("no holder panics").renewing.remove(&key);
                });
            }
            let why = if unix_ms() - born > fresh { "TCP_STALE" } else { "TCP_HIT" };
            // The client's copy is named as current by this host, and by nobody else.
            let known = field("inm").is_some_and(|tag| tag == "a");
            let fields = format!("rev=a,since={born:.0},why={why}");
            return if known {
                self.named_current.fetch_add(1, Ordering::Relaxed);
                words(&[id, "304", &fields, ""])
            } else {
                words(&[id, "200", &fields, &body(born)])
            };
        }
        let Some(source) = self.source(up) else { return words(&[id, "404", "-", ""]) };
        let began = Instant::now();
        let (host, ledger, held_only) = (Arc::clone(self), Arc::clone(ledger), says("held"));
        // It runs on when nobody waits for it any more.
        let filling =
            tokio::spawn(async move { host.fill(Some(source), key, oldest, held_only, &ledger).await });
        let given = match tokio::time::timeout(FILL_PATIENCE, filling).await {
            Ok(Ok(given)) => given,
            _ => Given::Broke,
        };
        let waited = began.elapsed().as_secs_f64() * 1e3;
        let told = |word: &str, why: &str| words(&[id, word, &format!("why={why},fill={waited:.1}"), ""]);
        match given {
            Given::Copy { .. } if !self.work(self.bounds.hit).await => words(&[id, "503", "-", ""]),
            Given::Copy { born, from_origin } => {
                let why = if from_origin { "TCP_MISS_ROOT" } else { "TCP_MISS" };
                let fields = format!("rev=a,since={born:.0},why={why},fill={waited:.1}");
                words(&[id, "200", &fields, &body(born)])
            }
            Given::Lacks => told("404", "PEER_MISS"),
            Given::Refused => told("500", "PEER_DENY"),
            Given::Broke => told("500", "PEER_DEAD"),
        }
    }

    /// Runs an effect at the origin, straight or by way of it; whether it ran, or may have.
    async fn effect(
        &self,
        id: &str,
        lane: &str,
        object: Option<String>,
        up: Option<String>,
        ledger: &Ledger,
    ) -> Option<bool> {
        if self.kind == "origin" {
            if !self.work(self.bounds.write).await {
                return Some(false);
            }
            // Repeats of what has a token are dropped where the page says so: it is counted on the ways.
            if lane != "order-note" {
                let object = object.unwrap_or_default();
                ledger.ran(if self.by_object { object.trim_start_matches('0') } else { id });
            }
            return Some(true);
        }
        tokio::time::sleep(self.bounds.hit).await;
        let source = self.source(up)?;
        ledger.arrived(source.index, id, true);
        let origin = self.fleet.get()?.iter().find(|host| host.kind == "origin")?;
        match Box::pin(origin.effect(id, lane, object, None, ledger)).await {
            Some(true) => Some(true),
            _ => None,
        }
    }

    fn source(&self, up: Option<String>) -> Option<Arc<Host>> {
        let up = up?;
        let mut fleet = self.fleet.get()?.iter();
        fleet.find(|host| host.name == up || host.kind == up && up == "origin").cloned()
    }

    /// Whether it holds an object, of whatever age.
    pub fn holds(&self, object: u64) -> bool {
        self.store.lock().expect("no holder panics").copies.contains_key(&(object, 0))
    }

    fn held(&self, key: CopyKey, oldest: f64, ledger: &Ledger) -> Option<f64> {
        let born = self.store.lock().expect("no holder panics").born(key)?;
        // A purge reaches every host in the end, as the operator file says.
        let purged = ledger.purged_since(key.0, key.0 % 64, born, PURGED_WITHIN);
        (!purged && unix_ms() - born <= oldest).then_some(born)
    }

    fn begins_renewal(&self, key: CopyKey) -> bool {
        self.store.lock().expect("no holder panics").renewing.insert(key)
    }

    /// Fetches a copy from a source and keeps it.
    async fn fill(
        &self,
        source: Option<Arc<Host>>,
        key: CopyKey,
        oldest: f64,
        held_only: bool,
        ledger: &Arc<Ledger>,
    ) -> Given {
        let Some(source) = source else { return Given::Lacks };
        let (here, there) = (Party::Host(self.index), Party::Host(source.index));
        if self.net.pass(here, there).await != Passed::Whole {
            return Given::Broke;
        }
        ledger.arrived(source.index, "fill", true);
        let given = source.give(key, oldest, held_only, ledger).await;
        if self.net.pass(there, here).await != Passed::Whole {
            return Given::Broke;
        }
        if let Given::Copy { born, .. } = given {
            self.store.lock().expect("no holder panics").put(key, born, self.bounds.holds);
        }
        given
    }

    /// What it gives as a source.
    async fn give(&self, key: CopyKey, oldest: f64, held_only: bool, ledger: &Arc<Ledger>) -> Given {
        if self.is_down() {
            return Given::Broke;
        }
        if self.kind == "origin" {
            let last = self.store.lock().expect("no holder panics").given.insert(key, Instant::now());
            let lately = Duration::from_secs_f64(FRESH_MS * RENEWED_FROM / 1e3);
            if last.is_some_and(|last| last.elapsed() < lately) {
                self.note(Duration::ZERO, true);
            }
            return match self.work(self.bounds.fill).await {
                true => Given::Copy { born: unix_ms(), from_origin: true },
                false => Given::Refused,
            };
        }
        if let Some(born) = self.held(key, oldest, ledger) {
            return match self.work(self.bounds.hit).await {
                true => Given::Copy { born, from_origin: false },
                false => Given::Refused,
            };
        }
        if held_only || self.kind != "parent" {
            return Given::Lacks;
        }
        let origin = self.source(Some("origin".to_owned()));
        Box::pin(self.fill(origin, key, oldest, false, ledger)).await
    }
}

/// The arrival counts from the first byte, but which kind it is is known only from the whole.
fn ledger_first(host: &Host, ledger: &Ledger, words: &[Vec<u8>]) {
    let id = words.get(1).map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default();
    ledger.arrived(host.index, &id, false);
}

/// A copy tells its birth, so that a client's end can judge it.
fn body(born: f64) -> String {
    format!("born={born:.0}")
}

pub fn words(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}

/// Reads one array of words; none at the end of the stream.
pub async fn read_words<R: AsyncRead + Unpin>(
    stream: &mut BufReader<R>,
    whole: impl FnOnce(&[Vec<u8>]),
) -> std::io::Result<Option<Vec<Vec<u8>>>> {
    let bad = || std::io::Error::other("no array of words");
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let count: usize = line.trim().strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
    let mut words = Vec::new();
    for _ in 0..count.min(8) {
        line.clear();
        stream.read_line(&mut line).await?;
        let long: usize = line.trim().strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        let mut word = vec![0; long.min(WORD_LONG) + 2];
        stream.read_exact(&mut word).await?;
        word.truncate(long);
        words.push(word);
    }
    whole(&words);
    Ok(Some(words))
}

/// Copies that a host held before the run: a warm start.
pub fn warm(host: &Host, copies: &BTreeMap<u64, f64>) {
    let mut store = host.store.lock().expect("no holder panics");
    for (object, born) in copies {
        store.put((*object, 0), *born, host.bounds.holds);
    }
}
