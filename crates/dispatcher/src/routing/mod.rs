//! Brings what was read to the decision module, one round for each turn of the loop, and its decisions back.

mod answers;
mod clients;
mod codec;
mod counters;
mod forwards;
mod guards;
mod hosts;
mod in_flight;
mod keyed;
mod lifecycle;
mod news;
mod proxy;
pub mod replicas;
mod sockets;
mod zones;

use bytes::Bytes;
use codec::Codec;
use guards::Effect;
pub use guards::{Guards, Rule};
pub use keyed::Key;
use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{ListUpdate, PurgeKey, Settings};
use myrtlegauge_membership::driver::{self, Member};
pub use myrtlegauge_replication::SubscriberDefences;
use myrtlegauge_replication::{HostLine, Purge, PurgeTarget};
use myrtlegauge_wire::change_log_client::ChangeLogClient;
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::host_registry::HostRegistry;
use myrtlegauge_wire::protocol::changelog;
use myrtlegauge_wire::transport::{EventLoopHandle, Listener, ReadinessHandler, ResourceUsage};
pub use proxy::{Lines, Proxy, Room};
use replicas::{Change, Replicas};
pub use replicas::{ReplicaKey, ReplicasStartup};
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
pub use zones::{SeenHost, ZoneNews, ZonePort, ZoneReport};

/// What the loop tells to be ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Listener,
    Client(Key),
    Link(Key),
    Feed,
    /// The poll of a replica of the change log.
    Replica(ReplicaKey),
}

/// What is known at the start.
pub struct Startup<'a> {
    pub listen: SocketAddr,
    pub changelog: SocketAddr,
    pub known: changelog::Changes<'a>,
    pub facts: &'a Settings,
    pub seed: u64,
    pub room: Room,
    /// All but in tests.
    pub guards: Guards,
    /// The services to follow on zones; none in `run`.
    pub zones: Option<ZonePort>,
    /// This dispatcher as a member of its fleet; none in `run`.
    pub member: Option<driver::Startup>,
    /// The replicas that are polled in place of the change log; none in `run`.
    pub replicas: Option<ReplicasStartup>,
}

pub struct Dispatcher {
    router: Router,
    proxy: Proxy,
    member: Option<Member<Dispatcher>>,
}

impl ReadinessHandler for Dispatcher {
    type Key = Who;

    fn on_socket_ready(&mut self, who: Who) {
        self.proxy.ready.push(who);
    }
}

impl Dispatcher {
    pub fn start(hub: EventLoopHandle<Self>, mut startup: Startup<'_>) -> Result<Self, String> {
        let mut router = Router::new(startup.facts, startup.seed)?;
        if !startup.guards.starting {
            router.disable_slow_start_limit();
        }
        if !startup.guards.repeating {
            router.disable_repeat_guard();
        }
        let accounts = Rc::new(ResourceUsage::default());
        let listener = Listener::bind(&hub, startup.listen, Who::Listener, &accounts)
            .map_err(|e| format!("can't listen on {}: {e}", startup.listen))?;
        let feed = ChangeLogClient::new(startup.changelog, Who::Feed);
        let names = (
            Codec::new(startup.facts)?,
            HostRegistry::new(startup.facts)?,
            proxy::ConnectionLimits::read(startup.facts),
        );
        let port = startup.zones.take();
        let (news, member_hub) = (hub.clone(), hub.clone());
        let mut proxy = Proxy::new(hub, listener, accounts, feed, names, startup.room, Clock::start());
        (proxy.guards, proxy.effects) = (startup.guards, Effect::read_all(startup.facts));
        if let Some(ZonePort { news: heard, report, every }) = port {
            let into = news.insert_source(heard, |event, (), dispatcher: &mut Self| {
                if let calloop::channel::Event::Msg(news) = event {
                    dispatcher.proxy.zone_heard.push(news);
                }
            });
            into.map_err(|e| format!("news of zones can't be heard: {e}"))?;
            let names = proxy.places.zone_names().to_vec();
            proxy.zones = Some(zones::Zones::new(names, every, report, proxy.now));
            proxy.zones_due = proxy.now;
        }
        let replicas = startup.replicas.as_ref();
        let replicas =
            replicas.map(|told| Replicas::new(told, Who::Replica, proxy.clock.unix_ms(proxy.now), proxy.now));
        proxy.replicas = replicas.transpose().map_err(|e| e.to_string())?;
        proxy.has_left_replicas = proxy.replicas.is_none();
        let member = startup.member.as_ref().map(|told| Member::start(&member_hub, told, Self::member_told));
        let member = member.transpose().map_err(|e| e.to_string())?;
        let mut started = Self { router, proxy, member };
        let now = started.proxy.now;
        started.router.round(now, &mut started.proxy, |round| {
            let last = startup.known.last_seq;
            let known = round.sink().list_known;
            round.on_list_known(known);
            tell_changes(round, startup.known, ListUpdate::Persisted);
            // A start is told all there was; what it leaves out is of no use any more.
            round.sink().told_up_to(last);
        });
        Ok(started)
    }

    /// What changed among the members: logged, and what it comes to for the sources is told to the module.
    fn member_told(&mut self, update: driver::ViewUpdate<'_>) {
        let (view, sharers) = (update.view, update.source_sharers);
        let (epoch, here, doubted, gone, known) =
            (view.epoch, view.alive, view.suspect, view.dead, view.known);
        let (reach, change) = (view.reach, update.change);
        log::info!(epoch, here, doubted, gone, known, reach:?, sharers, change:?; "members");
        self.proxy.sharers = Some(sharers);
    }

    pub fn address(&self) -> std::io::Result<SocketAddr> {
        let closed = || std::io::Error::from(std::io::ErrorKind::NotConnected);
        self.proxy.listener.as_ref().ok_or_else(closed)?.address()
    }

    /// How long the loop may sleep.
    pub fn patience(&self) -> Duration {
        self.proxy.next_due().saturating_sub(self.proxy.clock.now())
    }

    /// All that one turn of the loop brought, as one round; and another at once where one ended forwards here.
    pub fn turn(&mut self) {
        let Self { router, proxy, .. } = self;
        proxy.read();
        proxy.hear_zones();
        proxy.end_in_steps();
        proxy.leave_replicas();
        loop {
            // Who has left is known before what was decided meanwhile goes out.
            proxy.parse_clients();
            if !proxy.has_news() {
                break;
            }
            let began = Instant::now();
            let now = proxy.now;
            router.round(now, proxy, |round| {
                while let Some(body) = round.sink().next_changes() {
                    tell_polled(round, &body);
                }
                while let Some(change) = round.sink().next_replicated() {
                    tell_replicated(round, &change);
                }
                round.sink().look_for_doubt();
                let doubted = round.sink().doubted;
                round.set_purges_unknown_since(doubted);
                let list_known = round.sink().list_known;
                round.on_list_known(list_known);
                if let Some(sharers) = round.sink().sharers.take() {
                    round.set_router_count(sharers as f64);
                }
                let moved = round.sink().zones_moved();
                if !moved.is_empty() {
                    round.on_host_list(ListUpdate::Changes, &moved);
                }
                // What ends interest comes before what spends: a forward that failed is not tried again for who has left.
                while let Some(place) = round.sink().next_abandoned() {
                    round.on_abandoned(place);
                }
                tell_processes(round);
                while let Some(host) = round.sink().came_up.pop() {
                    round.on_host_report(host, true);
                }
                while let Some((place, outcome)) = round.sink().next_answered() {
                    tell_processes(round);
                    round.on_outcome(place, &outcome);
                }
                tell_processes(round);
                while let Some((place, outcome)) = round.sink().next_ended() {
                    round.on_outcome(place, &outcome);
                }
                if round.sink().must_answer() {
                    round.sink().lifecycle.gave_up();
                    for place in round.sink().in_flight.places() {
                        round.answer_now(place);
                    }
                }
                let mut place = round.next_get_index();
                while let Some(get) = round.sink().next_get(place) {
                    round.on_get(get);
                    place = round.next_get_index();
                }
                if round.sink().wakes() {
                    round.on_wakeup();
                }
            });
            proxy.write();
            let violations = router.slow_start_violations();
            let counters = &mut proxy.counters;
            counters.violations_were(Rule::Starting, violations);
            counters.rounds += 1;
            counters.round_longest_us = counters.round_longest_us.max(began.elapsed().as_micros() as u64);
            proxy.now = proxy.clock.now();
        }
        proxy.write();
        proxy.tell_origin();
        proxy.look_at_return();
        if proxy.tidy() {
            // What the module believes to be out at a host is what stands on its connections.
            for host in 0..proxy.hosts.len() {
                let holds = router.in_flight_at(host) == proxy.out_at(host) as f64;
                proxy.counters.must(holds, "forwards out at a host are those on its connections");
            }
        }
        proxy.count_holds();
    }

    /// Ends in steps: takes what still comes for the time that a restart allows, then closes what is quiet.
    pub fn stop(&mut self) {
        self.proxy.stop();
        if let Some(member) = self.member.clone() {
            member.leave(self);
        }
    }

    /// Follows the change log at another address, where a later configuration could be used.
    pub fn follow(&mut self, changelog: Option<SocketAddr>) {
        self.proxy.counters.reread += u64::from(changelog.is_some());
        self.proxy.counters.reread_failed += u64::from(changelog.is_none());
        if self.proxy.replicas.is_some() {
            log::warn!("replicas are polled: where they are can't change while running");
        } else if let Some(changelog) = changelog {
            self.proxy.feed.set_address(changelog, self.proxy.now);
        }
    }

    pub fn is_done(&self) -> bool {
        self.proxy.is_done() && self.proxy.has_left_replicas
    }

    /// GETs taken so far.
    pub fn taken(&self) -> u64 {
        self.proxy.counters.taken
    }

    /// What was done against a rule so far: zero, unless a guard is missing.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.proxy.counters.violations[rule as usize]
    }

    /// Bytes in all buffers.
    pub fn buffered(&self) -> usize {
        self.proxy.accounts.buffered_bytes.current()
    }

    /// The most bytes that have been in all buffers at once.
    pub fn buffered_peak(&self) -> usize {
        self.proxy.accounts.buffered_bytes.peak()
    }

    /// Connections of clients, those that are being closed left out.
    pub fn clients(&self) -> usize {
        self.proxy.clients.len()
    }

    /// Places of hosts, those that can be taken by a new one included.
    pub fn hosts(&self) -> usize {
        self.proxy.hosts.len()
    }

    pub fn report(&self) {
        self.proxy.report();
        if let Some(member) = &self.member {
            log::info!("{}", member.summary());
        }
        if let Some(replicas) = &self.proxy.replicas {
            log::info!("{}", replicas.line());
        }
    }
}

fn tell_polled(round: &mut Round<'_, Proxy>, body: &Bytes) {
    let before = round.sink().last_change();
    match serde_json::from_slice(body) {
        Ok(changes) => {
            tell_changes(round, changes, ListUpdate::Full);
            round.sink().polled(before);
        }
        Err(e) => round.sink().unread(format_args!("an answer of the change log can't be read: {e}")),
    }
}

/// What connections tell of hosts' processes, before anything is decided by it. An end and a connection that came up after it
/// are told in this order: what is up in a turn was dialled before that turn.
fn tell_processes(round: &mut Round<'_, Proxy>) {
    while let Some((host, at, evidence)) = round.sink().processes_ended.pop() {
        round.on_process_ended(host, at, evidence);
    }
    while let Some(host) = round.sink().connected.pop() {
        round.on_connected(host);
    }
}

/// Each numbered event once, in order; `whole` is what a whole list counts as.
fn tell_changes(round: &mut Round<'_, Proxy>, changes: changelog::Changes<'_>, whole: ListUpdate) {
    let now = round.sink().now;
    changes.remote_timestamps_ms().for_each(|stamp| round.sink().clock.record_remote_timestamp(stamp, now));
    let offset = round.sink().clock.unix_offset();
    round.on_unix_offset(offset);
    for change in &changes.results {
        match round.sink().is_next(change.seq) {
            Some(true) => {}
            Some(false) => continue,
            None => return,
        }
        if let Some(fleet) = &change.fleet {
            let entries = round.sink().listed(&fleet.endpoints, fleet.snapshot);
            round.on_host_list(if fleet.snapshot { whole } else { ListUpdate::Changes }, &entries);
        }
        if let Some(purge) = &change.invalidate {
            let object = purge.object.as_deref().and_then(|id| codec::hex(id.as_bytes()));
            tell_purge(round, object.map(PurgeKey::Object).or(purge.bucket.map(PurgeKey::Group)));
        }
    }
}

fn tell_purge(round: &mut Round<'_, Proxy>, named: Option<PurgeKey>) {
    if let Some(named) = round.sink().purged(named) {
        round.on_purge(named, Duration::ZERO);
    }
}

/// What a replica told; records that are not for dispatchers change nothing.
fn tell_replicated(round: &mut Round<'_, Proxy>, change: &Change) {
    match change {
        Change::HostLines(lines) => tell_host_lines(round, lines),
        Change::Purge(purge) => tell_purge_record(round, purge),
        Change::Other => round.sink().counters.changes += 1,
    }
}

fn tell_host_lines(round: &mut Round<'_, Proxy>, lines: &[HostLine]) {
    round.sink().counters.changes += lines.len() as u64;
    let mut endpoints = Vec::with_capacity(lines.len());
    for line in lines {
        match changelog::Endpoint::deserialize(&line.endpoint) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(e) => round.sink().fault(format_args!("the line of host {} can't be read: {e}", line.name)),
        }
    }
    let entries = round.sink().listed(&endpoints, false);
    round.on_host_list(ListUpdate::Changes, &entries);
}

fn tell_purge_record(round: &mut Round<'_, Proxy>, Purge { target, .. }: &Purge) {
    round.sink().counters.changes += 1;
    let named = match target {
        PurgeTarget::Object(object) => codec::hex(object.as_bytes()).map(PurgeKey::Object),
        PurgeTarget::Group(group) => Some(PurgeKey::Group(*group)),
    };
    tell_purge(round, named);
}
