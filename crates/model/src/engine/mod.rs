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
use event::{AttemptId, Event, EventQueue};
use figures::TimeSeries;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::{End, Forward, HostStatus, Note, hash_host_id};
use myrtlegauge::snapshot::{HostShare, Tier};
use state::{Attempt, Dispatcher, Host, Origin, Request};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of groups by which objects are purged.
const PURGE_GROUPS: u64 = 64;
/// Every object has one chunk.
const CHUNK: u32 = 0;
/// Points of each host on the rings of the baselines.
const RING_POINTS: u64 = 96;
/// Time at the start of a run. It is late enough to subtract durations from it.
const START_TIME: Duration = Duration::from_secs(3600);

/// Simulates a world with a seed.
///
/// # Errors
/// The sizes of the world make no sense, or the decision module rejects its settings.
pub fn play(world: &World, seed: u64) -> Result<Figures, String> {
    world.check()?;
    let mut engine = Engine::new(world, seed)?;
    engine.run();
    let Engine { oracle, mut figures, series, .. } = engine;
    if let Some(first) = world.faults.iter().map(|fault| fault.at).min() {
        figures.recovery = series.recovery(first);
        figures.origin_peak = series.origin_peak(first, world);
    }
    (figures.violations, figures.first_violations) = (oracle.violations, oracle.first_violations);
    Ok(figures)
}

/// The state of a run.
struct Engine<'a> {
    world: &'a World,
    events: EventQueue,
    now: Duration,
    rng: fastrand::Rng,
    hosts: Vec<Host>,
    origin: Origin,
    /// Factor on the rate of requests.
    rate_factor: f64,
    dispatchers: Vec<Dispatcher>,
    /// The running dispatchers of each location, in order.
    live_dispatchers: Vec<Vec<usize>>,
    /// Rings of the baselines, by location.
    cache_rings: Vec<Tier>,
    parent_ring: Tier,
    /// When each group was last purged.
    purged_at: BTreeMap<u64, Duration>,
    attempts: BTreeMap<AttemptId, Attempt>,
    requests: BTreeMap<u64, Request>,
    /// Hosts or dispatchers that each fault affects.
    affected: Vec<Vec<usize>>,
    oracle: Oracle,
    figures: Figures,
    series: TimeSeries,
    /// When the informed bound sent the fills that have not reached the origin yet.
    fills_in_transit: VecDeque<Duration>,
}

impl<'a> Engine<'a> {
    fn new(world: &'a World, seed: u64) -> Result<Self, String> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let dispatchers = start_dispatchers(world, &mut rng)?;
        let host = || Host { is_up: true, status: HostStatus::Active, ..Host::default() };
        let indices_of_location =
            |location: usize, per_location: usize| location * per_location..(location + 1) * per_location;
        let ring = |hosts: std::ops::Range<usize>| Tier::build(hosts.map(ring_share).collect());
        let mut engine = Self {
            world,
            events: EventQueue::default(),
            now: START_TIME,
            rng,
            hosts: (0..world.hosts()).map(|_| host()).collect(),
            origin: Origin::default(),
            rate_factor: 1.0,
            dispatchers,
            live_dispatchers: (0..world.locations)
                .map(|location| indices_of_location(location, world.dispatchers).collect())
                .collect(),
            cache_rings: (0..world.locations)
                .map(|location| ring(indices_of_location(location, world.caches)))
                .collect(),
            parent_ring: ring(world.first_parent()..world.origin()),
            purged_at: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            affected: vec![Vec::new(); world.faults.len()],
            oracle: Oracle::default(),
            figures: Figures::new()?,
            series: TimeSeries::new(START_TIME, world.duration),
            fills_in_transit: VecDeque::new(),
        };
        engine.announce_hosts(None);
        engine.push_first_events();
        Ok(engine)
    }

    fn push_first_events(&mut self) {
        for location in 0..self.world.locations {
            self.events.push(START_TIME, Event::RequestSent(location));
        }
        for (index, fault) in self.world.faults.iter().enumerate() {
            self.events.push(START_TIME + fault.at, Event::FaultStarted(index));
            self.events.push(START_TIME + fault.at + fault.duration, Event::FaultEnded(index));
        }
    }

    /// Handles all events. Requests sent before the end of the run get their answers after it.
    fn run(&mut self) {
        let end = START_TIME + self.world.duration;
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
        let unanswered = self.requests.values().filter(|request| !request.is_answered).count() as u64;
        self.oracle.finish(unanswered, self.now);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestSent(location) => self.send_request(location),
            Event::AttemptArrived(attempt_id) => self.attempt_arrived(attempt_id),
            Event::FillArrived(attempt_id) => self.fill_arrived(attempt_id),
            Event::FillCompleted(attempt_id) => self.fill_completed(attempt_id),
            Event::OriginFinished(attempt_id) => self.origin_finished(attempt_id),
            Event::TransferEnded { host, incarnation, attempt_id } => {
                self.transfer_ended(host, incarnation, attempt_id)
            }
            Event::OutcomeReceived(attempt_id) => self.outcome_received(attempt_id),
            Event::AttemptTimedOut(attempt_id) => {
                self.end_attempt(attempt_id, End::TimedOut, Note::Untold, false)
            }
            Event::ClientGaveUp(request) => self.client_gave_up(request),
            Event::TimerExpired(dispatcher) => self.round(dispatcher, |round| round.on_wakeup()),
            Event::FaultStarted(fault) => self.start_fault(fault),
            Event::FaultEnded(fault) => self.end_fault(fault),
            Event::HostGone(host) => {
                self.hosts[host].status = HostStatus::Removed;
                self.announce_hosts(Some(host));
            }
        }
    }

    /// Copies created before this time are no longer in any store.
    fn purged_before(&self, object: u64) -> Duration {
        let purged_at = self.purged_at.get(&(object % PURGE_GROUPS)).copied();
        purged_at.filter(|&at| self.now >= at + hosts::PURGED_WITHIN).unwrap_or_default()
    }
}

/// The dispatchers of all locations at the start.
fn start_dispatchers(world: &World, rng: &mut fastrand::Rng) -> Result<Vec<Dispatcher>, String> {
    let mut dispatchers = Vec::new();
    for location in 0..world.locations {
        let settings = world.settings(location);
        for _ in 0..world.dispatchers {
            let router = match world.policy {
                Policy::Module => Some(Router::new(&settings, rng.u64(..))?),
                Policy::Hashing | Policy::Random | Policy::Informed => None,
            };
            dispatchers.push(Dispatcher { router, ..Dispatcher::default() });
        }
    }
    Ok(dispatchers)
}

/// The entry of a host on the ring of a baseline.
fn ring_share(host: usize) -> HostShare {
    HostShare {
        host,
        id_hash: host_id_hash(host),
        points: RING_POINTS,
        key_fraction: 1.0,
        is_near: true,
        max_fills: 0.0,
    }
}

/// The hash that determines the position of a host on a ring.
fn host_id_hash(host: usize) -> u64 {
    hash_host_id(&format!("host-{host}"))
}

/// Maximum age of a copy that may be returned: the accepted age of the attempt, else the freshness lifetime of the service,
/// else any age.
fn max_age(forward: &Forward, fresh: Duration) -> Duration {
    match (forward.accepted_age.is_zero(), fresh.is_zero()) {
        (false, _) => forward.accepted_age,
        (true, false) => fresh,
        (true, true) => Duration::MAX,
    }
}
