//! One hollow dispatcher: the loop of the shipped program with its change-log client or its client of the replicas, its
//! decision core and, where asked for, its membership, on real sockets. It has no listener and no connections to hosts. Rounds, the wake-up timer and the
//! look-over every 100 ms are those of the dispatcher's `routing`.

use super::tally::Tally;
use crate::capacity::messages::{HollowConfig, HollowStart, MemberStart};
use crate::stand::ledger::unix_ms;
use bytes::Bytes;
use calloop::EventLoop;
use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{
    DecisionSink, Forward, GetIndex, HostEntry, HostStatus, ListUpdate, PurgeKey, Settings,
};
use myrtlegauge_dispatcher::routing::replicas::{Change, PurgeUncertainty, ReplicaClient};
use myrtlegauge_dispatcher::routing::{ReplicaKey, ReplicasStartup, SubscriberDefences};
use myrtlegauge_membership::driver::{self, Member};
use myrtlegauge_replication::{Purge, PurgeTarget};
use myrtlegauge_wire::change_log_client::{ChangeLogClient, SequenceCheck};
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::host_registry::HostRegistry;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::changelog::{Changes, Endpoint};
use myrtlegauge_wire::transport::{EventLoopHandle, ReadinessHandler, ResourceUsage};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The dispatcher's buffer that all connections read by way of.
const SHARED: usize = 64 * 1024;
/// How often the dispatcher looks its connections over.
const TIDY_EVERY: Duration = Duration::from_millis(100);
/// A gap between two turns after which the dispatcher doubts what it knows.
const FROZEN: Duration = Duration::from_millis(750);

/// Without an answer of a replica for so long, copies are in doubt.
const DOUBT_AFTER: Duration = Duration::from_secs(3);

/// What the loop tells to be ready.
#[derive(Clone, Copy)]
pub enum Who {
    /// The poll of the change log.
    ChangeLog,
    /// The poll of a replica of it.
    Replica(ReplicaKey),
}

/// A hollow dispatcher on its loop.
pub struct HollowDispatcher {
    router: Router,
    wire: Wire,
    /// Kept for its sockets and timers.
    _member: Option<Member<HollowDispatcher>>,
}

impl ReadinessHandler for HollowDispatcher {
    type Key = Who;

    fn on_socket_ready(&mut self, who: Who) {
        match who {
            Who::ChangeLog => self.wire.ready = true,
            Who::Replica(key) => self.wire.ready_replicas.push(key),
        }
    }
}

/// A host as it was listed.
struct KnownHost {
    name: String,
    entry: HostEntry,
}

/// A purge that this round's core was told.
struct TakenPurge {
    object: u64,
    published_unix_ms: f64,
}

/// All but the decision core: sockets, clock, the list by name, and what is due.
struct Wire {
    hub: EventLoopHandle<HollowDispatcher>,
    accounts: Rc<ResourceUsage>,
    clock: Clock,
    now: Duration,
    places: HostRegistry,
    hosts: Vec<KnownHost>,
    feed: ChangeLogClient<HollowDispatcher>,
    ready: bool,
    feed_ready: bool,
    /// Polled in place of the change log, where there are some.
    replicas: Option<ReplicaClient<HollowDispatcher>>,
    ready_replicas: Vec<ReplicaKey>,
    shared: Box<[u8]>,
    wake_at: Duration,
    tidy_at: Duration,
    doubted: Option<Duration>,
    sharers: Option<usize>,
    began_unix_ms: f64,
    deaf_to_purges: bool,
    taken: Vec<TakenPurge>,
    tally: Arc<Tally>,
}

impl HollowDispatcher {
    /// Runs one until `ends` is set.
    ///
    /// # Errors
    /// Settings that can't be used, a loop or a socket that the system refuses.
    pub fn live(
        config: &HollowConfig,
        start: &HollowStart,
        tally: Arc<Tally>,
        ends: &AtomicBool,
    ) -> Result<(), String> {
        let mut turns = EventLoop::<Self>::try_new().map_err(|e| format!("no event loop: {e}"))?;
        let mut hollow = Self::new(turns.handle(), config, start, tally)?;
        while !ends.load(Ordering::Relaxed) {
            let patience = hollow.wire.due().saturating_sub(hollow.wire.clock.now());
            turns.dispatch(patience, &mut hollow).map_err(|e| format!("the event loop: {e}"))?;
            hollow.turn();
        }
        Ok(())
    }

    fn new(
        hub: EventLoopHandle<Self>,
        config: &HollowConfig,
        start: &HollowStart,
        tally: Arc<Tally>,
    ) -> Result<Self, String> {
        let settings: Settings =
            serde_json::from_value(config.settings.clone()).map_err(|e| e.to_string())?;
        let router = Router::new(&settings, config.seed.wrapping_add(start.number as u64))?;
        let clock = Clock::start();
        let member = start.member.as_ref().map(|told| membership(&hub, &start.name, told)).transpose()?;
        let replicas = replicas(config, start, &clock)?;
        let wire = Wire {
            accounts: Rc::new(ResourceUsage::default()),
            now: clock.now(),
            places: HostRegistry::new(&settings)?,
            hosts: Vec::new(),
            feed: ChangeLogClient::new(config.change_log, Who::ChangeLog),
            ready: false,
            feed_ready: false,
            replicas,
            ready_replicas: Vec::new(),
            shared: vec![0; SHARED].into(),
            wake_at: Duration::MAX,
            tidy_at: Duration::ZERO,
            doubted: None,
            sharers: None,
            began_unix_ms: unix_ms(),
            deaf_to_purges: start.deaf_to_purges,
            taken: Vec::new(),
            tally,
            clock,
            hub,
        };
        let mut hollow = Self { router, wire, _member: member };
        let now = hollow.wire.now;
        hollow.router.round(now, &mut hollow.wire, |round| round.on_host_list(ListUpdate::Persisted, &[]));
        Ok(hollow)
    }

    /// All that one turn of the loop brought, as one round.
    fn turn(&mut self) {
        let Self { router, wire, .. } = self;
        wire.read();
        while wire.has_news() {
            let now = wire.now;
            router.round(now, wire, |round| {
                while let Some(body) = round.sink().next_changes() {
                    take_answer(round, &body);
                }
                while let Some(change) = round.sink().next_replicated() {
                    take_replicated(round, &change);
                }
                round.sink().look_for_doubt();
                let doubted = round.sink().doubted;
                round.set_purges_unknown_since(doubted);
                if let Some(sharers) = round.sink().sharers.take() {
                    round.set_router_count(sharers as f64);
                }
                if round.sink().wakes() {
                    round.on_wakeup();
                }
            });
            wire.count_purges();
            wire.now = wire.clock.now();
        }
        if wire.tidies() {
            for host in 0..wire.hosts.len() {
                assert_eq!(router.in_flight_at(host), 0.0, "nothing is forwarded without clients");
            }
        }
        wire.count();
    }
}

/// The client of the replicas, where there are some: the dispatcher's zone has one of them, the next one stands in for it.
fn replicas(
    config: &HollowConfig,
    start: &HollowStart,
    clock: &Clock,
) -> Result<Option<ReplicaClient<HollowDispatcher>>, String> {
    let at = |number: usize| -> Option<SocketAddr> {
        let place = number.checked_rem(config.replicas.len())?;
        config.replicas.get(place).copied()
    };
    let (Some(primary), Some(fallback)) = (at(start.number), at(start.number + 1)) else { return Ok(None) };
    let told = ReplicasStartup {
        name: start.name.clone(),
        primary,
        fallback,
        doubt_after: DOUBT_AFTER,
        seed: config.seed.wrapping_add(start.number as u64),
        defences: SubscriberDefences::default(),
    };
    let now = clock.now();
    ReplicaClient::new(&told, Who::Replica, clock.unix_ms(now), now).map(Some).map_err(|e| e.to_string())
}

fn membership(
    hub: &EventLoopHandle<HollowDispatcher>,
    name: &str,
    told: &MemberStart,
) -> Result<Member<HollowDispatcher>, String> {
    let startup = driver::Startup {
        name: name.to_owned(),
        fleet: told.fleet.clone(),
        listen: told.listen,
        advertised: Some(told.reached_at),
        seed_peers: told.peers.clone(),
        expected_members: told.told,
    };
    let heard = |hollow: &mut HollowDispatcher, update: driver::ViewUpdate<'_>| {
        hollow.wire.sharers = Some(update.source_sharers);
    };
    Member::start(hub, &startup, heard).map_err(|e| e.to_string())
}

/// An answer of the change log, as the dispatcher takes it.
fn take_answer(round: &mut Round<'_, Wire>, body: &Bytes) {
    let before = round.sink().feed.last_seq;
    match serde_json::from_slice(body) {
        Ok(changes) => {
            take_changes(round, &changes);
            round.sink().answered(before);
        }
        Err(_) => round.sink().lose(),
    }
}

/// Each numbered event once, in order.
fn take_changes(round: &mut Round<'_, Wire>, changes: &Changes<'_>) {
    for change in &changes.results {
        let now = round.sink().now;
        match round.sink().feed.accept(change.seq, now) {
            SequenceCheck::Duplicate => continue,
            SequenceCheck::GapRetried(_) => return,
            SequenceCheck::Next | SequenceCheck::GapAccepted(_) => {}
        }
        if let Some(fleet) = &change.fleet {
            let entries = round.sink().listed(&fleet.endpoints, fleet.snapshot);
            round.on_host_list(if fleet.snapshot { ListUpdate::Full } else { ListUpdate::Changes }, &entries);
        }
        if let Some(purge) = &change.invalidate {
            take_purge(round, purge.object.as_deref(), purge.unix_ms);
        }
    }
}

/// What a replica told, as the dispatcher takes it.
fn take_replicated(round: &mut Round<'_, Wire>, change: &Change) {
    match change {
        Change::Purge(Purge { target: PurgeTarget::Object(object), unix_ms }) => {
            take_purge(round, Some(object), *unix_ms as f64);
        }
        Change::HostLines(lines) => {
            let read = lines.iter().filter_map(|line| Endpoint::deserialize(&line.endpoint).ok());
            let endpoints: Vec<_> = read.collect();
            let entries = round.sink().listed(&endpoints, false);
            round.on_host_list(ListUpdate::Changes, &entries);
        }
        Change::Purge(_) | Change::Other => {}
    }
}

/// A purge of one object; the runs publish no others.
fn take_purge(round: &mut Round<'_, Wire>, object: Option<&str>, published_unix_ms: f64) {
    let object = object.and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some(object) = object.filter(|_| !round.sink().deaf_to_purges) else { return };
    let wire = round.sink();
    wire.taken.push(TakenPurge { object, published_unix_ms });
    round.on_purge(PurgeKey::Object(object), Duration::ZERO);
}

impl Wire {
    fn due(&self) -> Duration {
        if self.ready || !self.ready_replicas.is_empty() || self.sharers.is_some() {
            return Duration::ZERO;
        }
        let news = self.replicas.as_ref().map_or(self.feed.deadline, |replicas| replicas.deadline(self.now));
        self.wake_at.min(self.tidy_at).min(news)
    }

    fn has_news(&self) -> bool {
        let is_turning = |replicas: &ReplicaClient<_>| {
            replicas.has_records() || replicas.has_uncertainty_changed(self.now)
        };
        let has_records = self.replicas.as_ref().is_some_and(is_turning);
        self.feed_ready || has_records || self.sharers.is_some() || self.now >= self.wake_at
    }

    /// Reads what the change log sent, and asks again where nothing is asked.
    fn read(&mut self) {
        let before = std::mem::replace(&mut self.now, self.clock.now());
        if self.replicas.is_some() {
            return self.read_replicas();
        }
        if self.now >= before + FROZEN {
            self.doubted = Some(self.now);
            self.feed.poll_immediately(self.now);
        }
        if std::mem::take(&mut self.ready) {
            self.feed_ready = true;
            self.ready = self.feed.on_ready(&mut self.shared, self.now);
        }
        self.feed.poll_if_due(&self.hub, &self.accounts, self.now);
    }

    /// Reads what the replicas sent, and polls them again where nothing is asked.
    fn read_replicas(&mut self) {
        let Self { replicas: Some(replicas), hub, accounts, now, .. } = self else { return };
        for key in std::mem::take(&mut self.ready_replicas) {
            let has_more = replicas.on_ready(key, &mut self.shared);
            self.ready_replicas.extend(has_more.then_some(key));
        }
        // A poll that was lost is asked again by the client itself.
        while replicas.next_result(*now).is_some() {}
        replicas.send_polls(hub, accounts, *now);
    }

    fn next_replicated(&mut self) -> Option<Change> {
        self.replicas.as_mut()?.next_change()
    }

    /// Whether copies are in doubt, where replicas are polled.
    fn look_for_doubt(&mut self) {
        let Some(replicas) = &mut self.replicas else { return };
        let doubt = replicas.update_uncertainty(self.now);
        self.doubted =
            matches!(doubt, PurgeUncertainty::Began | PurgeUncertainty::Ongoing).then_some(self.now);
    }

    fn next_changes(&mut self) -> Option<Bytes> {
        if !std::mem::take(&mut self.feed_ready) {
            return None;
        }
        match self.feed.next_answer(self.now) {
            Ok(body) => {
                self.feed_ready = body.is_some();
                body
            }
            Err(StreamError(_)) => {
                self.lose();
                None
            }
        }
    }

    fn lose(&mut self) {
        self.feed.disconnect(self.now);
    }

    /// An answer was taken; `before` was the last event until then.
    fn answered(&mut self, before: u64) {
        if self.doubted.is_none_or(|woke| self.feed.polled_at() >= woke) {
            self.doubted = None;
        }
        if self.feed.last_seq == before {
            self.feed.on_empty_answer(self.now);
        }
    }

    /// The list's lines as the decision core takes them.
    fn listed(&mut self, lines: &[Endpoint<'_>], whole: bool) -> Vec<HostEntry> {
        if whole {
            for host in &mut self.hosts {
                if !lines.iter().any(|line| line.name == host.name) {
                    host.entry.status = HostStatus::Removed;
                }
            }
        }
        let entries = lines.iter().map(|line| self.entry(line)).collect();
        let active = self.hosts.iter().filter(|host| host.entry.status == HostStatus::Active).count();
        self.tally.active_hosts.store(active, Ordering::Relaxed);
        entries
    }

    fn entry(&mut self, line: &Endpoint<'_>) -> HostEntry {
        let (index, new) = self.places.register(&line.name);
        if new {
            let entry = HostEntry { host: index, weight: 1.0, ..HostEntry::default() };
            self.hosts.push(KnownHost { name: line.name.to_string(), entry });
        }
        let (entry, _) = self.places.resolve_entry(&self.hosts[index].entry, line, &self.clock, self.now);
        self.hosts[index].entry = entry;
        entry
    }

    fn wakes(&mut self) -> bool {
        let wakes = self.now >= self.wake_at;
        if wakes {
            self.wake_at = Duration::MAX;
        }
        wakes
    }

    fn tidies(&mut self) -> bool {
        let tidies = self.now >= self.tidy_at;
        if tidies {
            self.tidy_at = self.now + TIDY_EVERY;
        }
        tidies
    }

    /// The round is over: its purges are in force for every request that comes from now on.
    fn count_purges(&mut self) {
        if self.taken.is_empty() {
            return;
        }
        let now_unix_ms = unix_ms();
        for purge in self.taken.drain(..) {
            let in_this_life = purge.published_unix_ms >= self.began_unix_ms;
            let in_force_us = ((now_unix_ms - purge.published_unix_ms) * 1e3).max(0.0) as u32;
            self.tally.purged(purge.object, in_this_life.then_some(in_force_us));
        }
    }

    fn count(&self) {
        self.tally.last.store(self.feed.last_seq, Ordering::Relaxed);
        self.tally.bytes_in.store(self.accounts.bytes_in.current() as u64, Ordering::Relaxed);
        self.tally.bytes_out.store(self.accounts.bytes_out.current() as u64, Ordering::Relaxed);
        let polls = self.replicas.as_ref().map_or(0, |replicas| replicas.counters().answers);
        self.tally.polls_answered.store(polls, Ordering::Relaxed);
        self.tally.turns.fetch_add(1, Ordering::Relaxed);
    }
}

/// Without clients nothing is decided; only the wake-up is asked for.
impl DecisionSink for Wire {
    fn forward(&mut self, _: GetIndex, _: &Forward) {}

    fn withdraw(&mut self, _: GetIndex, _: u32) {}

    fn shed(&mut self, _: GetIndex, _: Option<Duration>) {}

    fn error(&mut self, _: GetIndex) {}

    fn release(&mut self, _: GetIndex) {}

    fn schedule_wakeup(&mut self, after: Duration) {
        self.wake_at = self.wake_at.min(self.now + after);
    }

    fn subscribe_host_list(&mut self) {}

    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}
