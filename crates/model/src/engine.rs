//! Plays a world: events in order of time, then as they were put there, so that the same seed gives the same run.

use crate::oracle::Oracle;
use crate::recovery::{BIN, Bin, Recovery, recovery};
use crate::world::{Brain, Trouble, World};
use hdrhistogram::Histogram;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use myrtlegauge::reading::{Share, Tier, key};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

/// Objects are purged by this many groups.
const GROUPS: u64 = 64;
/// A purge reaches every store by itself in this time, as dispatchers are told.
const PURGED_WITHIN: Duration = Duration::from_millis(5900);
/// A forward whose client waits longer than any other end is told after this.
const PART: u32 = 0;
/// Steps of half a second by which the origin's load is looked at.
const FINE: u32 = 5;
/// Tilt of what is asked: the power of a uniform draw that names the object; 3 gives a tenth of them half of the GETs.
const TILT: i32 = 3;

type Serial = u64;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Asks(usize),
    Comes(Serial),
    /// A fill is at its source.
    Fill(Serial),
    /// The origin gives what a fill asked for; by way of a parent, or straight.
    Given(Serial),
    /// The origin has a place free again, whoever still waits for what it gave.
    Freed(Serial),
    /// A transfer at a host is over, of the life that it began in.
    Sent(usize, u32, Serial),
    /// The dispatcher hears how a forward ended.
    Hears(Serial),
    /// A forward's time is over.
    Over(Serial),
    GivesUp(u64),
    Wakes(usize),
    Begins(usize),
    Ends(usize),
    Gone(usize),
}

struct Copy {
    born: Duration,
    rank: u8,
    used: u64,
    size: f64,
}

/// What a host holds, least wanted first out.
#[derive(Default)]
struct Store {
    copies: BTreeMap<u64, Copy>,
    order: BTreeSet<(u8, u64, u64)>,
    held: f64,
    clock: u64,
}

impl Store {
    /// A copy's birth, if it is held and was not purged `since`.
    fn touch(&mut self, key: u64, rank: u8, since: Duration) -> Option<Duration> {
        self.clock += 1;
        if self.copies.get(&key).is_some_and(|copy| copy.born < since) {
            let purged = self.copies.remove(&key)?;
            self.order.remove(&(purged.rank, purged.used, key));
            self.held -= purged.size;
        }
        let copy = self.copies.get_mut(&key)?;
        self.order.remove(&(copy.rank, copy.used, key));
        (copy.rank, copy.used) = (copy.rank.max(rank), self.clock);
        self.order.insert((copy.rank, copy.used, key));
        Some(copy.born)
    }

    fn put(&mut self, key: u64, born: Duration, rank: u8, size: f64, most: f64) {
        if let Some(old) = self.copies.remove(&key) {
            self.order.remove(&(old.rank, old.used, key));
            self.held -= old.size;
        }
        self.clock += 1;
        self.copies.insert(key, Copy { born, rank, used: self.clock, size });
        self.order.insert((rank, self.clock, key));
        self.held += size;
        while self.held > most {
            let Some((.., out)) = self.order.pop_first() else { break };
            if let Some(copy) = self.copies.remove(&out) {
                self.held -= copy.size;
            }
        }
    }
}

#[derive(Default)]
struct Host {
    up: bool,
    silent: bool,
    slow: bool,
    standing: Standing,
    started: Duration,
    life: u32,
    /// Transfers that run, and that wait.
    busy: usize,
    queue: VecDeque<Serial>,
    store: Store,
}

/// A forward.
struct Sending {
    get: u64,
    router: usize,
    place: Place,
    hop: u32,
    to: Forward,
    at: Duration,
    end: Option<End>,
    note: Note,
    wait: Duration,
    born: Duration,
    filling: bool,
    told: bool,
    /// Of its dispatcher, when it was sent.
    life: u32,
}

/// A client's GET.
struct Asked {
    service: usize,
    object: u64,
    size: f64,
    at: Duration,
    answered: bool,
    given_up: bool,
    router: usize,
    place: Place,
}

/// What a router says, in order.
enum Says {
    Forward(Place, Forward),
    Shed(Place),
    Error(Place),
    Settled(Place),
    Wake(Duration),
}

#[derive(Default)]
struct Desk {
    says: Vec<Says>,
}

impl Dispatch for Desk {
    fn forward(&mut self, get: Place, forward: &Forward) {
        self.says.push(Says::Forward(get, *forward));
    }
    fn withdraw(&mut self, _: Place, _: u32) {}
    fn shed(&mut self, get: Place, _: Option<Duration>) {
        self.says.push(Says::Shed(get));
    }
    fn error(&mut self, get: Place) {
        self.says.push(Says::Error(get));
    }
    fn settled(&mut self, get: Place) {
        self.says.push(Says::Settled(get));
    }
    fn wake(&mut self, after: Duration) {
        self.says.push(Says::Wake(after));
    }
    fn follow_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

struct Dispatcher {
    life: u32,
    router: Option<Router>,
    desk: Desk,
    /// GETs by their places, and what is out for each.
    gets: Vec<Option<u64>>,
    hops: Vec<u32>,
    out: BTreeMap<Place, Serial>,
}

/// The oldest copy that will do: as told, else the fresh time of the service, or any age where it has none.
fn oldest(to: &Forward, fresh: Duration) -> Duration {
    match (to.accepted_age.is_zero(), fresh.is_zero()) {
        (false, _) => to.accepted_age,
        (true, false) => fresh,
        (true, true) => Duration::MAX,
    }
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Figures {
    pub taken: u64,
    pub returned: u64,
    pub in_time: u64,
    pub shed: u64,
    pub errored: u64,
    pub hits: u64,
    pub fills: u64,
    pub origin_fills: u64,
    pub forwards: u64,
    pub events: u64,
    pub latency: Histogram<u64>,
    pub broken: BTreeMap<&'static str, u64>,
    pub first_breaks: Vec<String>,
    /// From the first fault on.
    pub recovery: Recovery,
    /// The most that the origin was asked for in half a second from then on, over what it bears in one.
    pub origin_peak: f64,
}

impl Figures {
    /// Share of GETs returned within their objectives.
    pub fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.taken.max(1) as f64
    }
}

pub struct Engine<'a> {
    world: &'a World,
    heap: BinaryHeap<Reverse<(Duration, u64, Happens)>>,
    count: u64,
    now: Duration,
    chance: fastrand::Rng,
    hosts: Vec<Host>,
    origin_busy: usize,
    origin_queue: VecDeque<Serial>,
    origin_slow: bool,
    burst: f64,
    dispatchers: Vec<Dispatcher>,
    /// Those of each location that live, in order.
    live: Vec<Vec<usize>>,
    /// Rings of the baselines, by location, and the parents'.
    rings: Vec<Tier>,
    parents: Tier,
    /// By group, when it was purged.
    purged: BTreeMap<u64, Duration>,
    sendings: BTreeMap<Serial, Sending>,
    gets: BTreeMap<u64, Asked>,
    hurt: Vec<Vec<usize>>,
    oracle: Oracle,
    figures: Figures,
    begin: Duration,
    /// GETs by half seconds, and fills that came to the origin by steps of it.
    bins: Vec<Bin>,
    origin_asked: Vec<u32>,
    /// When the informed bound sent fills that are still on their way to the origin.
    on_the_way: VecDeque<Duration>,
}

/// Plays a world by a seed.
///
/// # Errors
/// A world whose sizes make no sense, or settings that the module does not take.
pub fn play(world: &World, seed: u64) -> Result<Figures, String> {
    world.check()?;
    let mut engine = Engine::new(world, seed)?;
    engine.run();
    let Engine { oracle, mut figures, bins, origin_asked, .. } = engine;
    if let Some(first) = world.faults.iter().map(|fault| fault.at).min() {
        figures.recovery = recovery(&bins, first);
        let after = &origin_asked[(first.div_duration_f64(BIN / FINE) as usize).min(origin_asked.len())..];
        let most = after.windows(FINE as usize).map(|w| w.iter().sum::<u32>()).max().unwrap_or(0);
        let bears = world.origin_slots as f64 * BIN.div_duration_f64(world.origin_wait);
        figures.origin_peak = f64::from(most) / bears;
    }
    (figures.broken, figures.first_breaks) = (oracle.broken, oracle.first);
    Ok(figures)
}

impl<'a> Engine<'a> {
    fn new(world: &'a World, seed: u64) -> Result<Self, String> {
        let mut chance = fastrand::Rng::with_seed(seed);
        let host = || Host { up: true, standing: Standing::On, ..Host::default() };
        let share = |host: usize| Share {
            host,
            mark: mark(&format!("host-{host}")),
            points: 96,
            part: 1.0,
            near: true,
            fills: 0.0,
        };
        let mut dispatchers = Vec::new();
        for location in 0..world.locations {
            let facts = world.facts(location);
            for _ in 0..world.dispatchers {
                let router = match world.brain {
                    Brain::Module => Some(Router::new(&facts, chance.u64(..))?),
                    Brain::Hashing | Brain::Random | Brain::Informed => None,
                };
                let desk = Desk::default();
                dispatchers.push(Dispatcher {
                    life: 0,
                    router,
                    desk,
                    gets: Vec::new(),
                    hops: Vec::new(),
                    out: BTreeMap::new(),
                });
            }
        }
        let latency = Histogram::new(3).map_err(|e| e.to_string())?;
        let first_parent = world.locations * world.caches;
        let mut engine = Self {
            world,
            heap: BinaryHeap::new(),
            count: 0,
            now: Duration::ZERO,
            chance,
            hosts: (0..world.hosts()).map(|_| host()).collect(),
            origin_busy: 0,
            origin_queue: VecDeque::new(),
            origin_slow: false,
            burst: 1.0,
            dispatchers,
            live: (0..world.locations)
                .map(|l| (l * world.dispatchers..(l + 1) * world.dispatchers).collect())
                .collect(),
            rings: (0..world.locations)
                .map(|l| Tier::lay((l * world.caches..(l + 1) * world.caches).map(share).collect()))
                .collect(),
            parents: Tier::lay((first_parent..world.origin()).map(share).collect()),
            purged: BTreeMap::new(),
            sendings: BTreeMap::new(),
            gets: BTreeMap::new(),
            hurt: vec![Vec::new(); world.faults.len()],
            oracle: Oracle::default(),
            figures: Figures {
                taken: 0,
                returned: 0,
                in_time: 0,
                shed: 0,
                errored: 0,
                hits: 0,
                fills: 0,
                origin_fills: 0,
                forwards: 0,
                events: 0,
                latency,
                broken: BTreeMap::new(),
                first_breaks: Vec::new(),
                recovery: Recovery::default(),
                origin_peak: 0.0,
            },
            begin: Duration::ZERO,
            bins: vec![Bin::default(); world.long.div_duration_f64(BIN).ceil() as usize],
            origin_asked: vec![0; world.long.div_duration_f64(BIN / FINE).ceil() as usize],
            on_the_way: VecDeque::new(),
        };
        // Time begins late enough for a start or a purge of before to be a span.
        engine.now = Duration::from_secs(3600);
        let begin = engine.now;
        engine.begin = begin;
        engine.tell_list(None);
        for location in 0..world.locations {
            engine.put(begin, Happens::Asks(location));
        }
        for (at, fault) in world.faults.iter().enumerate() {
            engine.put(begin + fault.at, Happens::Begins(at));
            engine.put(begin + fault.at + fault.long, Happens::Ends(at));
        }
        Ok(engine)
    }

    fn put(&mut self, at: Duration, what: Happens) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count, what)));
    }

    fn run(&mut self) {
        let end = self.now + self.world.long;
        // What was taken before the end still gets its answer.
        let last = end + self.world.services.iter().map(|s| s.timeout).max().unwrap_or_default() * 2;
        while let Some(Reverse((at, _, what))) = self.heap.pop() {
            if at > last {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            match what {
                Happens::Asks(location) => {
                    if at < end {
                        self.asks(location);
                    }
                }
                Happens::Comes(serial) => self.comes(serial),
                Happens::Fill(serial) => self.fill(serial),
                Happens::Given(serial) => self.given(serial),
                Happens::Freed(serial) => self.freed(serial),
                Happens::Sent(host, life, serial) => self.sent(host, life, serial),
                Happens::Hears(serial) => self.hears(serial),
                Happens::Over(serial) => self.ended(serial, End::TimedOut, Note::Untold, false),
                Happens::GivesUp(get) => self.gives_up(get),
                Happens::Wakes(router) => self.round(router, |round| round.woken()),
                Happens::Begins(fault) => self.begins(fault),
                Happens::Ends(fault) => self.ends(fault),
                Happens::Gone(host) => {
                    self.hosts[host].standing = Standing::Gone;
                    self.tell_list(Some(host));
                }
            }
        }
        let open = self.gets.values().filter(|asked| !asked.answered && !asked.given_up).count() as u64;
        let gone = self.gets.values().filter(|asked| !asked.answered && asked.given_up).count() as u64;
        self.oracle.close(open + gone, self.now);
    }

    fn bin(&mut self, at: Duration) -> Option<&mut Bin> {
        self.bins.get_mut(at.saturating_sub(self.begin).div_duration_f64(BIN) as usize)
    }

    fn entry(&self, host: usize) -> Entry {
        let Host { standing, started, .. } = self.hosts[host];
        let kind = if host == self.world.origin() { 2 } else { usize::from(self.world.is_parent(host)) };
        let units = if kind == 0 { self.world.slots as f64 } else { self.world.slots as f64 * 4.0 };
        let mark = mark(&format!("host-{host}"));
        Entry {
            host,
            mark,
            standing,
            started,
            zone: self.world.zone(host),
            cell: 0,
            kind,
            units,
            held_back: 0.0,
        }
    }

    /// Tells every router of a host, or of all.
    fn tell_list(&mut self, host: Option<usize>) {
        let entries: Vec<_> = match host {
            Some(host) => vec![self.entry(host)],
            None => (0..self.hosts.len()).map(|host| self.entry(host)).collect(),
        };
        let kind = if host.is_some() { ListKind::Changes } else { ListKind::Whole };
        for router in 0..self.dispatchers.len() {
            self.round(router, |round| round.listed(kind, &entries));
        }
    }

    fn round(&mut self, router: usize, said: impl FnOnce(&mut myrtlegauge::decide::Round<'_, Desk>)) {
        let Dispatcher { router: module, desk, .. } = &mut self.dispatchers[router];
        let Some(module) = module else { return };
        module.round(self.now, desk, said);
        self.carry_out(router);
    }

    /// What a router has said.
    fn carry_out(&mut self, router: usize) {
        for says in std::mem::take(&mut self.dispatchers[router].desk.says) {
            match says {
                Says::Forward(place, to) => self.forward(router, place, to),
                Says::Shed(place) => self.final_answer(router, place, false),
                Says::Error(place) => self.final_answer(router, place, true),
                Says::Settled(place) => self.dispatchers[router].gets[place] = None,
                Says::Wake(after) => self.put(self.now + after, Happens::Wakes(router)),
            }
        }
    }

    fn asks(&mut self, location: usize) {
        let rate = self.world.rate * self.burst;
        let next = Duration::from_secs_f64(-(1.0 - self.chance.f64()).ln() / rate);
        self.put(self.now + next, Happens::Asks(location));
        let (mut draw, mut service) = (self.chance.f64(), 0);
        while service + 1 < self.world.services.len() && draw >= self.world.services[service].share {
            draw -= self.world.services[service].share;
            service += 1;
        }
        let kind = &self.world.services[service];
        let id = self.figures.taken;
        let object = match kind.non_idempotent {
            // Each its own.
            true => 1 << 48 | id,
            false => (service as u64) << 40 | (self.chance.f64().powi(TILT) * kind.objects as f64) as u64,
        };
        // An object's size is its own, whoever asks.
        let size = kind.size_kb * (0.25 + 1.5 * (key(object, 7) >> 11) as f64 / (1u64 << 53) as f64);
        let drawn = self.chance.usize(0..self.live[location].len().max(1));
        let router = self.live[location].get(drawn).copied();
        self.figures.taken += 1;
        if let Some(bin) = self.bin(self.now) {
            bin.due += 1;
        }
        // Nobody takes it: its client's connection is refused.
        let Some(router) = router else {
            self.figures.errored += 1;
            return;
        };
        self.oracle.taken += 1;
        self.put(self.now + kind.timeout, Happens::GivesUp(id));
        let group = object % GROUPS;
        let get = Get {
            ds: service,
            object,
            part: PART,
            group,
            size_kb: size,
            viewer_timeout: kind.timeout,
            again: false,
            over: false,
        };
        let asked =
            Asked { service, object, size, at: self.now, answered: false, given_up: false, router, place: 0 };
        self.gets.insert(id, asked);
        if self.world.brain != Brain::Module {
            return self.plain(router, id, location);
        }
        let Dispatcher { router: Some(module), desk, gets, hops, .. } = &mut self.dispatchers[router] else {
            return;
        };
        let place = module.round(self.now, desk, |round| {
            let place = round.next_place();
            if gets.len() <= place {
                gets.resize(place + 1, None);
                hops.resize(place + 1, 0);
            }
            (gets[place], hops[place]) = (Some(id), 0);
            round.take(get);
            place
        });
        if let Some(asked) = self.gets.get_mut(&id) {
            asked.place = place;
        }
        self.carry_out(router);
    }

    /// A baseline's one forward.
    fn plain(&mut self, router: usize, id: u64, location: usize) {
        let Some(asked) = self.gets.get(&id) else { return };
        let (object, service) = (asked.object, asked.service);
        let kind = &self.world.services[service];
        let key = key(object, PART);
        let (random, informed) = (self.world.brain == Brain::Random, self.world.brain == Brain::Informed);
        let (first, second) =
            (self.chance.usize(0..self.world.caches), self.chance.usize(0..self.world.parents));
        let first_parent = self.world.locations * self.world.caches;
        let listed = |host: usize| {
            let host = &self.hosts[host];
            host.standing == Standing::On && !(informed && (!host.up || host.silent))
        };
        let by_ring = |ring: &Tier| ring.takers(key).map(|share| share.host).find(|&host| listed(host));
        let cache = match random {
            true => Some(location * self.world.caches + first).filter(|&host| listed(host)),
            false => by_ring(&self.rings[location]),
        };
        let parent = match random {
            true => Some(first_parent + second).filter(|&host| listed(host)),
            false => by_ring(&self.parents),
        };
        let Some(host) = cache else { return self.answer(id, false, true) };
        let source =
            if kind.non_idempotent { self.world.origin() } else { parent.unwrap_or(self.world.origin()) };
        let mut accepted_age = Duration::ZERO;
        if informed && !kind.non_idempotent {
            let since = self.purged.get(&(object % GROUPS)).copied().unwrap_or_default();
            let fresh = if kind.fresh.is_zero() { Duration::MAX } else { kind.fresh };
            let room = self.origin_gives_in_time(kind.objective);
            let now = self.now;
            let mut held = |at: usize, oldest: Duration| {
                let born = self.hosts[at].store.touch(key, 1, since);
                born.is_some_and(|born| now - born <= oldest)
            };
            let has = held(host, fresh) || source != self.world.origin() && held(source, fresh);
            if !has && !room {
                accepted_age = fresh.saturating_add(kind.grace);
                if !held(host, accepted_age) {
                    return self.answer(id, false, false);
                }
            }
            if !has && room {
                self.on_the_way.push_back(now);
            }
        }
        let forward = Forward {
            host,
            source,
            timeout: kind.timeout,
            keep: 1,
            accepted_age,
            join: false,
            held_only: false,
            renew: false,
            begin_by: Duration::ZERO,
        };
        let place = self.dispatchers[router].gets.len();
        self.dispatchers[router].gets.push(Some(id));
        self.dispatchers[router].hops.push(0);
        self.forward(router, place, forward);
    }

    /// Whether a fill that is sent off now is back in time, behind all that is on its way or waits.
    fn origin_gives_in_time(&mut self, objective: Duration) -> bool {
        let World { origin_slots, origin_wait, way, hub_way, .. } = *self.world;
        while self.on_the_way.pop_front_if(|sent| *sent + way + hub_way < self.now).is_some() {}
        let before = self.origin_busy + self.origin_queue.len() + self.on_the_way.len();
        let wait = origin_wait * if self.origin_slow { 10 } else { 1 };
        let waits = wait.mul_f64((before as f64 / origin_slots as f64).max(1.0) + 0.5);
        waits + (way + hub_way) * 2 <= objective
    }

    fn forward(&mut self, router: usize, place: Place, to: Forward) {
        let Some(get) = self.dispatchers[router].gets[place] else { return };
        self.count += 1;
        let serial = self.count;
        let hop = self.dispatchers[router].hops[place];
        self.dispatchers[router].hops[place] += 1;
        self.dispatchers[router].out.insert(place, serial);
        self.figures.forwards += 1;
        self.oracle.sent(get, to.host, self.world.drain_grace, self.now);
        let sending = Sending {
            get,
            router,
            place,
            hop,
            to,
            at: self.now,
            end: None,
            note: Note::Untold,
            wait: Duration::ZERO,
            born: Duration::ZERO,
            filling: false,
            told: false,
            life: self.dispatchers[router].life,
        };
        self.sendings.insert(serial, sending);
        self.put(self.now + self.world.way, Happens::Comes(serial));
        let timeout = if to.timeout.is_zero() { Duration::from_secs(10) } else { to.timeout };
        self.put(self.now + timeout, Happens::Over(serial));
    }

    /// Part of its work that a host bears now.
    fn warmth(&self, host: usize) -> f64 {
        let Host { started, .. } = self.hosts[host];
        if started.is_zero() {
            return 1.0;
        }
        let age = self.now.saturating_sub(started).div_duration_f64(self.world.warm_within);
        (self.world.cold_share + (1.0 - self.world.cold_share) * age).min(1.0)
    }

    fn comes(&mut self, serial: Serial) {
        let Some(sending) = self.sendings.get(&serial) else { return };
        let (to, get) = (sending.to, sending.get);
        let host = &self.hosts[to.host];
        if !host.up {
            return self.ended(serial, End::NoConnection, Note::Untold, true);
        }
        if host.silent {
            return;
        }
        let Some(asked) = self.gets.get(&get) else { return };
        let service = &self.world.services[asked.service];
        // Pushed over while cold: twice what it bears waits for it.
        let bears = self.warmth(to.host) * (self.world.slots * 4) as f64 * 2.0;
        if self.warmth(to.host) < 1.0 && (host.queue.len() + host.busy) as f64 > bears.max(4.0) {
            self.oracle.fell(to.host, self.now);
            return self.ended(serial, End::Full, Note::Untold, true);
        }
        if host.queue.len() > self.world.slots * 16 {
            return self.ended(serial, End::Full, Note::Untold, true);
        }
        if service.non_idempotent {
            self.oracle.ran(get, self.now);
            return self.transfer(to.host, serial);
        }
        let (key, fresh) = (key(asked.object, PART), service.fresh);
        let oldest = oldest(&to, fresh);
        let since = self.purged_since(asked.object);
        let born = self.hosts[to.host].store.touch(key, to.keep, since);
        if let Some(born) = born.filter(|born| self.now - *born <= oldest) {
            self.figures.hits += 1;
            if let Some(sending) = self.sendings.get_mut(&serial) {
                sending.born = born;
                sending.note =
                    if !fresh.is_zero() && self.now - born > fresh { Note::Stale } else { Note::Hit };
            }
            return self.transfer(to.host, serial);
        }
        if to.source == to.host {
            return self.ended(serial, End::Miss, Note::SourceLacks, true);
        }
        self.figures.fills += 1;
        self.oracle.sent(get, to.source, self.world.drain_grace, self.now);
        if let Some(sending) = self.sendings.get_mut(&serial) {
            sending.filling = true;
        }
        self.put(self.now + self.world.hub_way, Happens::Fill(serial));
    }

    /// Copies born before this are gone from every store by now.
    fn purged_since(&self, object: u64) -> Duration {
        let at = self.purged.get(&(object % GROUPS)).copied();
        at.filter(|&at| self.now >= at + PURGED_WITHIN).unwrap_or_default()
    }

    fn fill(&mut self, serial: Serial) {
        let Some(sending) = self.sendings.get(&serial) else { return };
        let (to, origin) = (sending.to, self.world.origin());
        if to.source == origin {
            return self.ask_origin(serial);
        }
        let parent = &self.hosts[to.source];
        if !parent.up {
            return self.ended(serial, End::Errored, Note::SourceBroke, true);
        }
        if parent.silent {
            return;
        }
        let Some(asked) = self.gets.get(&sending.get) else { return };
        let fresh = self.world.services[asked.service].fresh;
        let oldest = oldest(&to, fresh);
        let key = key(asked.object, PART);
        let size = asked.size;
        let since = self.purged_since(asked.object);
        let born =
            self.hosts[to.source].store.touch(key, to.keep, since).filter(|born| self.now - *born <= oldest);
        match born {
            Some(born) => {
                let took = Duration::from_secs_f64(size / self.world.pace_kb / 4.0);
                if let Some(sending) = self.sendings.get_mut(&serial) {
                    (sending.born, sending.note) = (born, Note::Filled);
                }
                self.put(self.now + took + self.world.hub_way, Happens::Given(serial));
            }
            None if to.held_only => self.ended(serial, End::Miss, Note::SourceLacks, true),
            None => self.ask_origin(serial),
        }
    }

    fn ask_origin(&mut self, serial: Serial) {
        self.figures.origin_fills += 1;
        let step = (self.now - self.begin).div_duration_f64(BIN / FINE) as usize;
        if let Some(asked) = self.origin_asked.get_mut(step) {
            *asked += 1;
        }
        if let Some(sending) = self.sendings.get_mut(&serial) {
            sending.note = Note::FilledFromOrigin;
        }
        if self.origin_busy < self.world.origin_slots {
            self.origin_serves(serial);
        } else if self.origin_queue.len() < self.world.origin_slots * 50 {
            self.origin_queue.push_back(serial);
        } else {
            self.ended(serial, End::Errored, Note::OriginFailed, true);
        }
    }

    fn origin_serves(&mut self, serial: Serial) {
        self.origin_busy += 1;
        let wait = self.world.origin_wait * if self.origin_slow { 10 } else { 1 };
        if let Some(sending) = self.sendings.get_mut(&serial) {
            sending.born = self.now + wait;
        }
        self.put(self.now + wait, Happens::Freed(serial));
    }

    fn freed(&mut self, serial: Serial) {
        self.origin_busy -= 1;
        if let Some(next) = self.origin_queue.pop_front() {
            self.origin_serves(next);
        }
        self.given(serial);
    }

    fn given(&mut self, serial: Serial) {
        let Some(sending) = self.sendings.get_mut(&serial) else { return };
        let (to, born) = (sending.to, sending.born);
        let by_origin = sending.note == Note::FilledFromOrigin;
        sending.wait = self.now.saturating_sub(sending.at);
        let Some(asked) = self.gets.get(&sending.get) else { return };
        let (key, size) = (key(asked.object, PART), asked.size);
        if by_origin && self.world.is_parent(to.source) && self.hosts[to.source].up {
            self.hosts[to.source].store.put(key, born, to.keep, size, self.world.parent_store_kb);
        }
        if !self.hosts[to.host].up {
            return self.ended(serial, End::Reset, Note::Untold, true);
        }
        self.hosts[to.host].store.put(key, born, to.keep, size, self.world.store_kb);
        self.transfer(to.host, serial);
    }

    /// A host sends what it has, as many at once as it can at full pace; the others wait.
    fn transfer(&mut self, host: usize, serial: Serial) {
        if self.hosts[host].busy >= self.world.slots {
            return self.hosts[host].queue.push_back(serial);
        }
        let Some(sending) = self.sendings.get(&serial) else { return };
        let size = self.gets.get(&sending.get).map_or(1.0, |asked| asked.size);
        let slow = if self.hosts[host].slow { 5.0 } else { 1.0 };
        self.hosts[host].busy += 1;
        let took = Duration::from_secs_f64(size / self.world.pace_kb * slow);
        let life = self.hosts[host].life;
        self.put(self.now + took, Happens::Sent(host, life, serial));
    }

    fn sent(&mut self, host: usize, life: u32, serial: Serial) {
        if self.hosts[host].life != life {
            return;
        }
        self.hosts[host].busy -= 1;
        if let Some(next) = self.hosts[host].queue.pop_front() {
            self.transfer(host, next);
        }
        let note = self.sendings.get(&serial).map(|sending| sending.note);
        if let Some(note) = note.filter(|_| self.hosts[host].up && !self.hosts[host].silent) {
            self.ended(serial, End::Returned, note, true);
        }
    }

    /// A forward is over at the host, or here; the dispatcher hears of it after the way back.
    fn ended(&mut self, serial: Serial, end: End, note: Note, there: bool) {
        let Some(sending) = self.sendings.get_mut(&serial).filter(|sending| sending.end.is_none()) else {
            return;
        };
        (sending.end, sending.note) = (Some(end), note);
        let way = if there { self.world.way } else { Duration::ZERO };
        self.put(self.now + way, Happens::Hears(serial));
    }

    fn hears(&mut self, serial: Serial) {
        let Some(sending) = self.sendings.get_mut(&serial).filter(|sending| !sending.told) else { return };
        sending.told = true;
        let (router, place, get, born) = (sending.router, sending.place, sending.get, sending.born);
        if sending.life != self.dispatchers[router].life {
            self.sendings.remove(&serial);
            return;
        }
        let Some(end) = sending.end else { return };
        let outcome = Outcome {
            hop: sending.hop,
            end,
            spent: self.now - sending.at,
            closed: end == End::Returned,
            note: sending.note,
            source_wait: sending.wait,
            load: Load::default(),
        };
        self.sendings.remove(&serial);
        if self.dispatchers[router].out.get(&place) == Some(&serial) {
            self.dispatchers[router].out.remove(&place);
        }
        if end == End::Returned {
            self.returned(get, born);
        }
        if self.world.brain != Brain::Module {
            if end != End::Returned {
                self.answer(get, false, end == End::Errored || end == End::TimedOut);
            }
            return;
        }
        self.round(router, |round| round.outcome(place, &outcome));
    }

    fn returned(&mut self, get: u64, born: Duration) {
        let Some(asked) = self.gets.get(&get) else { return };
        let service = &self.world.services[asked.service];
        let took = self.now - asked.at;
        if asked.given_up || asked.answered {
            return;
        }
        if !service.non_idempotent && matches!(self.world.brain, Brain::Module | Brain::Informed) {
            // Baselines know nothing of purges: they are judged by their figures.
            self.oracle.returned(get, asked.object % GROUPS, born, self.world.purge_grace, self.now);
        }
        let full = asked.size / self.world.pace_kb;
        let in_time = took.as_secs_f64() <= service.objective.as_secs_f64() + full;
        self.figures.returned += 1;
        self.figures.in_time += u64::from(in_time);
        let at = asked.at;
        if let Some(bin) = self.bin(at) {
            *(if in_time { &mut bin.in_time } else { &mut bin.late }) += 1;
        }
        let _ = self.figures.latency.record(took.as_micros() as u64);
        self.answer(get, true, false);
    }

    fn final_answer(&mut self, router: usize, place: Place, errored: bool) {
        if let Some(get) = self.dispatchers[router].gets[place] {
            self.answer(get, false, errored);
        }
    }

    fn answer(&mut self, get: u64, returned: bool, errored: bool) {
        let Some(asked) = self.gets.get_mut(&get) else { return };
        let (twice, late) = (asked.answered, asked.given_up);
        asked.answered = true;
        self.oracle.answered(get, twice, late, self.now);
        if !returned && !twice {
            self.figures.errored += u64::from(errored);
            self.figures.shed += u64::from(!errored);
        }
        if !twice {
            self.gets.remove(&get);
        }
    }

    fn gives_up(&mut self, get: u64) {
        let Some(asked) = self.gets.get_mut(&get).filter(|asked| !asked.answered) else { return };
        asked.given_up = true;
        let (router, place) = (asked.router, asked.place);
        self.figures.errored += 1;
        if self.world.brain == Brain::Module {
            self.round(router, |round| round.abandoned(place));
            // What was withdrawn is told as such.
            if let Some(serial) = self.dispatchers[router].out.get(&place).copied() {
                self.ended(serial, End::Withdrawn, Note::Untold, false);
            }
        }
        // Its client has gone: an answer is owed no more, and none was late.
        self.gets.remove(&get);
        self.oracle.answered += 1;
    }

    /// So many of a range, by the seed.
    fn draw(&mut self, count: usize, from: usize, to: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (from..to).collect();
        self.chance.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// So many in a hundred of a range.
    fn drawn(&mut self, percent: u32, from: usize, to: usize) -> Vec<usize> {
        self.draw(((to - from) as f64 * f64::from(percent) / 100.0).round() as usize, from, to)
    }

    /// A dispatcher's process ends. Its clients' connections end; what it had asked for runs on, unheard.
    fn killed(&mut self, router: usize) {
        self.live[router / self.world.dispatchers].retain(|&live| live != router);
        let dead = &mut self.dispatchers[router];
        dead.router = None;
        dead.life += 1;
        dead.hops.clear();
        dead.out.clear();
        for get in std::mem::take(&mut dead.gets).into_iter().flatten() {
            let Some(asked) = self.gets.get_mut(&get).filter(|asked| !asked.answered) else { continue };
            // Kept, so that its fill goes on to the end.
            asked.answered = true;
            self.figures.errored += 1;
            self.oracle.answered(get, false, false, self.now);
        }
    }

    /// And one begins in its place: it is told the list, and the purges of before with their age.
    fn begun(&mut self, router: usize) {
        let seed = self.chance.u64(..);
        let live = &mut self.live[router / self.world.dispatchers];
        live.insert(live.partition_point(|&other| other < router), router);
        if self.world.brain != Brain::Module {
            return;
        }
        // These settings were taken once already, at the start.
        self.dispatchers[router].router =
            Router::new(&self.world.facts(router / self.world.dispatchers), seed).ok();
        let entries: Vec<_> = (0..self.hosts.len()).map(|host| self.entry(host)).collect();
        self.round(router, |round| round.listed(ListKind::Whole, &entries));
        for (group, at) in self.purged.clone() {
            let ago = self.now - at;
            self.round(router, |round| round.purged(Purged::Group(group), ago));
        }
    }

    fn begins(&mut self, fault: usize) {
        let world = self.world;
        let first_parent = world.locations * world.caches;
        let what = world.faults[fault].what;
        let hurt = match what {
            Trouble::CachesDie(n)
            | Trouble::CachesSilent(n)
            | Trouble::CachesSlow(n)
            | Trouble::CachesDrain(n) => self.draw(n, 0, first_parent),
            Trouble::ParentsDie(n) => self.draw(n, first_parent, world.origin()),
            _ => Vec::new(),
        };
        match what {
            Trouble::OriginSlow => self.origin_slow = true,
            Trouble::Burst(percent) => self.burst = f64::from(percent) / 100.0,
            Trouble::StoresLost(percent) => {
                for host in self.drawn(percent, 0, world.origin()) {
                    self.hosts[host].store = Store::default();
                }
            }
            Trouble::DispatchersDie(percent) => {
                for location in 0..world.locations {
                    let first = location * world.dispatchers;
                    let killed = self.drawn(percent, first, first + world.dispatchers);
                    killed.iter().for_each(|&router| self.killed(router));
                    self.hurt[fault].extend(killed);
                }
                return;
            }
            Trouble::PurgeAll => {
                for group in 0..GROUPS {
                    self.oracle.purged(group, self.now);
                    self.purged.insert(group, self.now);
                    for router in 0..self.dispatchers.len() {
                        self.round(router, |round| round.purged(Purged::Group(group), Duration::ZERO));
                    }
                }
            }
            _ => {}
        }
        for &host in &hurt {
            match what {
                Trouble::CachesDie(_) | Trouble::ParentsDie(_) => self.die(host),
                Trouble::CachesSilent(_) => self.hosts[host].silent = true,
                Trouble::CachesSlow(_) => self.hosts[host].slow = true,
                Trouble::CachesDrain(_) => {
                    self.hosts[host].standing = Standing::Draining;
                    self.oracle.drains(host, self.now);
                    self.tell_list(Some(host));
                    let gone = self.now + world.faults[fault].long.saturating_sub(Duration::from_millis(500));
                    self.put(gone, Happens::Gone(host));
                }
                _ => {}
            }
        }
        self.hurt[fault] = hurt;
    }

    /// A process ends: what was there is reset.
    fn die(&mut self, host: usize) {
        let dead = &mut self.hosts[host];
        (dead.up, dead.busy, dead.store) = (false, 0, Store::default());
        dead.queue.clear();
        dead.life += 1;
        let there: Vec<_> = self
            .sendings
            .iter()
            .filter(|(_, s)| s.to.host == host && s.end.is_none())
            .map(|(n, _)| *n)
            .collect();
        for serial in there {
            self.ended(serial, End::Reset, Note::Untold, true);
        }
    }

    fn ends(&mut self, fault: usize) {
        match self.world.faults[fault].what {
            Trouble::OriginSlow => self.origin_slow = false,
            Trouble::Burst(_) => self.burst = 1.0,
            Trouble::DispatchersDie(_) => {
                std::mem::take(&mut self.hurt[fault]).into_iter().for_each(|router| self.begun(router));
            }
            _ => {}
        }
        for host in std::mem::take(&mut self.hurt[fault]) {
            let back = &mut self.hosts[host];
            let cold = !back.up || back.standing != Standing::On;
            (back.up, back.silent, back.slow, back.standing) = (true, false, false, Standing::On);
            if cold {
                (back.started, back.store) = (self.now, Store::default());
            }
            self.oracle.lives(host);
            self.tell_list(Some(host));
        }
    }
}
