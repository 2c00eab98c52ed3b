//! Simulates a world: events happen in order of time, and the same seed gives the same run.

mod baselines;
mod clients;
mod dispatchers;
mod event;
mod faults;
mod figures;
mod hosts;
mod origin;
mod state;
mod store;

pub use figures::Figures;

use crate::oracle::Oracle;
use crate::world::{Policy, World};
use event::{Event, EventQueue, Serial};
use figures::TimeSeries;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::{End, Forward, HostStatus, Note, hash_host_id};
use myrtlegauge::snapshot::{HostShare, Tier};
use state::{Attempt, Dispatcher, Host, Origin, Request};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Objects are purged by this many groups.
const GROUPS: u64 = 64;
/// Every object has one part.
const PART: u32 = 0;
/// Points of each host on the rings of the baselines.
const RING_POINTS: u64 = 96;
/// Time at the start of a run: late enough for spans before it.
const START: Duration = Duration::from_secs(3600);

/// Simulates a world with a seed.
///
/// # Errors
/// A world whose sizes make no sense, or settings that the decision module does not take.
pub fn play(world: &World, seed: u64) -> Result<Figures, String> {
    world.check()?;
    let mut engine = Engine::new(world, seed)?;
    engine.run();
    let Engine { oracle, mut figures, series, .. } = engine;
    if let Some(first) = world.faults.iter().map(|fault| fault.at).min() {
        figures.recovery = series.recovery(first);
        figures.origin_peak = series.origin_peak(first, world);
    }
    (figures.broken, figures.first_breaks) = (oracle.broken, oracle.first);
    Ok(figures)
}

/// The state of a run.
struct Engine<'a> {
    world: &'a World,
    events: EventQueue,
    now: Duration,
    random: fastrand::Rng,
    hosts: Vec<Host>,
    origin: Origin,
    /// Factor on the rate of requests.
    burst: f64,
    dispatchers: Vec<Dispatcher>,
    /// The dispatchers of each location that live, in order.
    live: Vec<Vec<usize>>,
    /// Rings of the baselines, by location.
    cache_rings: Vec<Tier>,
    parent_ring: Tier,
    /// When each group was last purged.
    purged: BTreeMap<u64, Duration>,
    attempts: BTreeMap<Serial, Attempt>,
    requests: BTreeMap<u64, Request>,
    /// Hosts or dispatchers that each fault hit.
    affected: Vec<Vec<usize>>,
    oracle: Oracle,
    figures: Figures,
    series: TimeSeries,
    /// When the informed bound sent fills that are still on their way to the origin.
    fills_on_the_way: VecDeque<Duration>,
}

impl<'a> Engine<'a> {
    fn new(world: &'a World, seed: u64) -> Result<Self, String> {
        let mut random = fastrand::Rng::with_seed(seed);
        let dispatchers = start_dispatchers(world, &mut random)?;
        let host = || Host { up: true, standing: HostStatus::Active, ..Host::default() };
        let of_location = |location: usize, each: usize| location * each..(location + 1) * each;
        let ring = |hosts: std::ops::Range<usize>| Tier::build(hosts.map(ring_share).collect());
        let mut engine = Self {
            world,
            events: EventQueue::default(),
            now: START,
            random,
            hosts: (0..world.hosts()).map(|_| host()).collect(),
            origin: Origin::default(),
            burst: 1.0,
            dispatchers,
            live: (0..world.locations)
                .map(|location| of_location(location, world.dispatchers).collect())
                .collect(),
            cache_rings: (0..world.locations)
                .map(|location| ring(of_location(location, world.caches)))
                .collect(),
            parent_ring: ring(world.first_parent()..world.origin()),
            purged: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            affected: vec![Vec::new(); world.faults.len()],
            oracle: Oracle::default(),
            figures: Figures::new()?,
            series: TimeSeries::new(START, world.long),
            fills_on_the_way: VecDeque::new(),
        };
        engine.announce_hosts(None);
        engine.push_first_events();
        Ok(engine)
    }

    fn push_first_events(&mut self) {
        for location in 0..self.world.locations {
            self.events.push(START, Event::RequestSent(location));
        }
        for (index, fault) in self.world.faults.iter().enumerate() {
            self.events.push(START + fault.at, Event::FaultStarted(index));
            self.events.push(START + fault.at + fault.duration, Event::FaultEnded(index));
        }
    }

    /// Handles all events. Requests of before the end still get their answers after it.
    fn run(&mut self) {
        let end = START + self.world.long;
        let last_answer =
            self.world.services.iter().map(|service| service.timeout).max().unwrap_or_default() * 2;
        while let Some((at, event)) = self.events.pop() {
            if at > end + last_answer {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            match event {
                Event::RequestSent(_) if at >= end => {}
                event => self.handle(event),
            }
        }
        let unanswered = self.requests.values().filter(|request| !request.answered).count() as u64;
        self.oracle.close(unanswered, self.now);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestSent(location) => self.send_request(location),
            Event::AttemptArrived(serial) => self.attempt_arrived(serial),
            Event::FillArrived(serial) => self.fill_arrived(serial),
            Event::FillCompleted(serial) => self.fill_completed(serial),
            Event::OriginFinished(serial) => self.origin_finished(serial),
            Event::TransferEnded { host, process, serial } => self.transfer_ended(host, process, serial),
            Event::OutcomeReceived(serial) => self.outcome_received(serial),
            Event::AttemptTimedOut(serial) => self.end_attempt(serial, End::TimedOut, Note::Untold, false),
            Event::ClientGaveUp(request) => self.client_gave_up(request),
            Event::TimerExpired(dispatcher) => self.round(dispatcher, |round| round.on_wakeup()),
            Event::FaultStarted(fault) => self.start_fault(fault),
            Event::FaultEnded(fault) => self.end_fault(fault),
            Event::HostGone(host) => {
                self.hosts[host].standing = HostStatus::Removed;
                self.announce_hosts(Some(host));
            }
        }
    }

    /// Copies born before this are gone from every store by now.
    fn purged_before(&self, object: u64) -> Duration {
        let at = self.purged.get(&(object % GROUPS)).copied();
        at.filter(|&at| self.now >= at + hosts::PURGED_WITHIN).unwrap_or_default()
    }
}

/// The dispatchers of all locations at the start.
fn start_dispatchers(world: &World, random: &mut fastrand::Rng) -> Result<Vec<Dispatcher>, String> {
    let mut dispatchers = Vec::new();
    for location in 0..world.locations {
        let settings = world.settings(location);
        for _ in 0..world.dispatchers {
            let router = match world.policy {
                Policy::Module => Some(Router::new(&settings, random.u64(..))?),
                Policy::Hashing | Policy::Random | Policy::Informed => None,
            };
            dispatchers.push(Dispatcher { router, ..Dispatcher::default() });
        }
    }
    Ok(dispatchers)
}

/// A host's share of a baseline's ring.
fn ring_share(host: usize) -> HostShare {
    HostShare {
        host,
        id_hash: host_mark(host),
        points: RING_POINTS,
        key_fraction: 1.0,
        is_near: true,
        max_fills: 0.0,
    }
}

/// The mark by which rings place a host.
fn host_mark(host: usize) -> u64 {
    hash_host_id(&format!("host-{host}"))
}

/// The oldest copy that may be returned: as the attempt says, else the freshness lifetime of the service, or any age where
/// it has none.
fn max_age(to: &Forward, fresh: Duration) -> Duration {
    match (to.accepted_age.is_zero(), fresh.is_zero()) {
        (false, _) => to.accepted_age,
        (true, false) => fresh,
        (true, true) => Duration::MAX,
    }
}
