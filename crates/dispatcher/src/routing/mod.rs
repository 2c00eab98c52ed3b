//! Passes received messages to the decision module in rounds, at least one for each event loop iteration with work, and
//! carries out its decisions.

mod answers;
mod client_reads;
mod clients;
mod codec;
mod connection_limits;
mod connection_slab;
mod counters;
mod executed_ids;
mod forwards;
mod guards;
mod host_updates;
mod hosts;
mod in_flight;
mod lifecycle;
mod links;
mod log_budget;
mod memory;
mod news;
mod news_watch;
mod proxy;
mod ready_queue;
mod reload_watch;
pub mod replicas;
mod request_queue;
mod slow_start_check;
mod slow_start_log;
mod sockets;
mod zones;

use codec::Codec;
pub use connection_slab::ConnectionKey;
use guards::Effect;
pub use guards::{Guards, Rule};
pub use log_budget::LogBudget;
pub use memory::{account_bytes, process_status};
use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{ListUpdate, PurgeKey, Settings};
use myrtlegauge::purge_news::PurgeNews;
use myrtlegauge_membership::driver::{self, Member};
pub use myrtlegauge_replication::SubscriberDefences;
use myrtlegauge_replication::{HostLine, Purge, PurgeTarget};
use myrtlegauge_wire::change_log_client::ChangeLogClient;
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::host_registry::HostRegistry;
use myrtlegauge_wire::protocol::changelog;
use myrtlegauge_wire::protocol::changelog_answer::AnswerPart;
use myrtlegauge_wire::transport::{EventLoopHandle, Listener, ReadinessHandler, ResourceUsage};
pub use proxy::{Proxy, ResourceLimits};
use replicas::{Change, ReplicaClient};
pub use replicas::{ReplicaKey, ReplicasStartup};
use serde::Deserialize;
use slow_start_check::WrittenRequests;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
pub use zones::{HostEvidence, ZoneChannel, ZoneReport, ZoneUpdate};

/// Limit of the bytes of changes that are applied in one event loop iteration, so that clients, hosts and timers do
/// not wait until a long answer of the change log is applied. A change that is larger is applied as a whole.
const MAX_NEWS_BYTES: usize = 64 * 1024;

/// A source of readiness events on the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventSource {
    Listener,
    Client(ConnectionKey),
    Link(ConnectionKey),
    /// The poll of the change log.
    ChangeLog,
    /// The poll of a replica of the change log.
    Replica(ReplicaKey),
}

/// Configuration and state that a dispatcher starts with.
pub struct Startup<'a> {
    pub listen: SocketAddr,
    pub change_log: SocketAddr,
    /// The changes known at the start; the change log is polled for those after them.
    pub known_changes: changelog::Changes<'a>,
    pub settings: &'a Settings,
    pub seed: u64,
    pub resource_limits: ResourceLimits,
    /// All are enabled, except in tests and proof runs.
    pub guards: Guards,
    /// The control services to follow for zone verdicts; `None` in `run`.
    pub zones: Option<ZoneChannel>,
    /// This dispatcher as a member of its fleet; `None` in `run`.
    pub member: Option<driver::Startup>,
    /// The replicas that are polled in place of the change log; `None` in `run`.
    pub replicas: Option<ReplicasStartup>,
}

/// A dispatcher: the decision module, its sockets and, if configured, its fleet membership.
pub struct Dispatcher {
    router: Router,
    proxy: Proxy,
    member: Option<Member<Dispatcher>>,
}

impl ReadinessHandler for Dispatcher {
    type Key = EventSource;

    fn on_socket_ready(&mut self, source: EventSource) {
        self.proxy.ready.push(source);
    }
}

impl Dispatcher {
    /// Binds the listener and starts a dispatcher on an event loop.
    ///
    /// # Errors
    /// Settings that can't be used, an address that can't be listened on, or replicas or members that can't be used.
    pub fn start(event_loop: EventLoopHandle<Self>, mut startup: Startup<'_>) -> Result<Self, String> {
        let mut router = Router::new(startup.settings, startup.seed)?;
        if !startup.guards.starting {
            router.disable_slow_start_limit();
        }
        if !startup.guards.repeating {
            router.disable_repeat_guard();
        }
        let resource_usage = Rc::new(ResourceUsage::default());
        let listener = Listener::bind(&event_loop, startup.listen, EventSource::Listener, &resource_usage)
            .map_err(|e| format!("can't listen on {}: {e}", startup.listen))?;
        let change_log = ChangeLogClient::new(startup.change_log, EventSource::ChangeLog);
        let clock = Clock::start();
        let components = (
            Codec::new(startup.settings)?,
            HostRegistry::new(startup.settings)?,
            connection_limits::ConnectionLimits::read(startup.settings),
            PurgeNews::new(startup.settings, clock.now()),
        );
        let zone_channel = startup.zones.take();
        let (zone_event_loop, member_event_loop) = (event_loop.clone(), event_loop.clone());
        let mut proxy = Proxy::new(
            event_loop,
            listener,
            resource_usage,
            change_log,
            components,
            startup.resource_limits,
            clock,
        );
        (proxy.guards, proxy.effects) = (startup.guards, Effect::read_all(startup.settings));
        proxy.written_requests = WrittenRequests::new(&router, startup.settings, proxy.limits.objectives());
        if let Some(ZoneChannel { updates, report, report_interval }) = zone_channel {
            let inserted = zone_event_loop.insert_source(updates, |event, (), dispatcher: &mut Self| {
                if let calloop::channel::Event::Msg(update) = event {
                    dispatcher.proxy.zone_updates.push(update);
                }
            });
            inserted.map_err(|e| format!("can't receive zone updates on the event loop: {e}"))?;
            let names = proxy.host_registry.zone_names().to_vec();
            proxy.zones = Some(zones::Zones::new(names, report_interval, report, proxy.now));
            proxy.zones_due_at = proxy.now;
        }
        let replicas = startup.replicas.as_ref();
        let replicas = replicas.map(|startup| {
            ReplicaClient::new(startup, EventSource::Replica, proxy.clock.unix_ms(proxy.now), proxy.now)
        });
        proxy.replicas = replicas.transpose().map_err(|e| e.to_string())?;
        proxy.has_left_replicas = proxy.replicas.is_none();
        let member = startup
            .member
            .as_ref()
            .map(|startup| Member::start(&member_event_loop, startup, Self::on_membership_change));
        let member = member.transpose().map_err(|e| e.to_string())?;
        let mut dispatcher = Self { router, proxy, member };
        let now = dispatcher.proxy.now;
        dispatcher.router.round(now, &mut dispatcher.proxy, |round| {
            let last_seq = startup.known_changes.last_seq;
            let list_known = round.sink().list_known;
            round.on_list_known(list_known);
            for change in &startup.known_changes.results {
                apply_change(round, change, ListUpdate::Persisted);
            }
            round.sink().cancel_outdated_forwards();
            // The known changes are complete up to their last number; those left out are obsolete.
            round.sink().skip_changes_up_to(last_seq);
        });
        Ok(dispatcher)
    }

    /// Logs a membership change and passes on the new number of routers that share the sources.
    fn on_membership_change(&mut self, membership: driver::ViewUpdate<'_>) {
        let (view, sharers) = (membership.view, membership.source_sharers);
        log::info!(epoch = view.epoch, here = view.alive, doubted = view.suspect, gone = view.dead,
            known = view.known, reach:? = view.reach, sharers, change:? = membership.change;
            "members");
        self.proxy.new_router_count = Some(sharers);
    }

    /// The listener's address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        let not_connected = || std::io::Error::from(std::io::ErrorKind::NotConnected);
        self.proxy.listener.as_ref().ok_or_else(not_connected)?.address()
    }

    /// How long the event loop may wait for events.
    pub fn poll_timeout(&self) -> Duration {
        self.proxy.next_deadline().saturating_sub(self.proxy.clock.now())
    }

    /// Processes all events of one event loop iteration as one round, and runs another round at once if one ended
    /// forwards locally.
    pub fn process_events(&mut self) {
        let Self { router, proxy, .. } = self;
        let iteration_start = Instant::now();
        proxy.read_ready();
        proxy.news_budget_bytes = MAX_NEWS_BYTES;
        proxy.apply_zone_updates();
        proxy.advance_shutdown();
        proxy.leave_replicas();
        loop {
            // Disconnects are known before forwards that were decided meanwhile are sent.
            proxy.parse_clients();
            if !proxy.has_work() {
                break;
            }
            let round_start = Instant::now();
            let now = proxy.now;
            router.round(now, proxy, |round| {
                while let Some(part) = round.sink().next_answer_part() {
                    apply_answer_part(round, &part);
                }
                while let Some(change) = round.sink().next_replicated() {
                    apply_replicated(round, &change);
                }
                round.sink().cancel_outdated_forwards();
                round.sink().update_purge_uncertainty();
                // Once more, since an answer may have been applied in this round.
                round.sink().update_unknown_purges();
                let purges_unknown_since = round.sink().purges_unknown_since;
                round.set_purges_unknown_since(purges_unknown_since);
                let list_known = round.sink().list_known;
                round.on_list_known(list_known);
                if let Some(router_count) = round.sink().new_router_count.take() {
                    round.set_router_count(router_count as f64);
                }
                let changed_entries = round.sink().take_changed_zone_entries();
                if !changed_entries.is_empty() {
                    round.on_host_list(ListUpdate::Changes, &changed_entries);
                }
                // Abandoned GETs come before outcomes, so that a failed forward is not retried for a client that has
                // disconnected.
                while let Some(get_index) = round.sink().next_abandoned() {
                    round.on_abandoned(get_index);
                }
                apply_process_events(round);
                while let Some(host) = round.sink().late_connected_hosts.pop() {
                    round.on_host_report(host, true);
                }
                while let Some((get_index, outcome)) = round.sink().next_reply_outcome() {
                    apply_process_events(round);
                    round.on_outcome(get_index, &outcome);
                }
                apply_process_events(round);
                while let Some((get_index, outcome)) = round.sink().next_ended_outcome() {
                    round.on_outcome(get_index, &outcome);
                }
                if round.sink().must_answer() {
                    round.sink().lifecycle.mark_answered();
                    for get_index in round.sink().in_flight.unanswered() {
                        round.answer_now(get_index);
                    }
                }
                let mut get_index = round.next_get_index();
                while let Some(get) = round.sink().next_get(get_index) {
                    round.on_get(get);
                    get_index = round.next_get_index();
                }
                if round.sink().take_wakeup() {
                    round.on_wakeup();
                }
            });
            proxy.flush_connections();
            let violations = router.slow_start_violations();
            let counters = &mut proxy.counters;
            counters.slow_start_share_exceeded = violations;
            counters.rounds += 1;
            counters.longest_round_us =
                counters.longest_round_us.max(round_start.elapsed().as_micros() as u64);
            proxy.now = proxy.clock.now();
        }
        proxy.flush_connections();
        proxy.log_origin_use();
        proxy.log_slow_starts(router);
        proxy.check_full_service();
        if proxy.sweep() {
            // The decision module's count of a host's forwards must match the forwards on its connections.
            for host in 0..proxy.hosts.len() {
                let is_consistent = router.in_flight_at(host) == proxy.forwards_at(host) as f64;
                proxy.counters.check_invariant(
                    is_consistent,
                    "forwards in flight at a host are those on its connections",
                );
            }
        }
        proxy.check_get_balance();
        proxy.log_memory_actions();
        proxy.wait_times.begin_wait(proxy.clock.now());
        let longest = &mut proxy.counters.longest_iteration_us;
        *longest = (*longest).max(iteration_start.elapsed().as_micros() as u64);
    }

    /// Starts the graceful shutdown: requests are accepted for as long as a restart allows, then idle connections are
    /// closed.
    pub fn stop(&mut self) {
        self.proxy.stop();
        if let Some(member) = self.member.clone() {
            member.leave(self);
        }
    }

    /// Polls the change log at another address from now on. `None` counts a reloaded configuration that can't be used,
    /// at which the previous change log may have stopped as well.
    pub fn set_change_log_address(&mut self, address: Option<SocketAddr>) {
        self.proxy.counters.config_reloads += u64::from(address.is_some());
        self.proxy.counters.config_reloads_failed += u64::from(address.is_none());
        if self.proxy.replicas.is_some() {
            log::warn!("replicas are polled, and their addresses can't change while running; keeping them");
            return;
        }
        let now = self.proxy.clock.now();
        let reloaded = self.proxy.wait_times.event_time(now, Duration::ZERO);
        let terms = self.proxy.purge_news.on_reload(reloaded);
        self.proxy.reload_watch.on_reload(terms, now);
        if let Some(address) = address {
            self.proxy.change_log.set_address(address, now);
        }
    }

    /// Whether the shutdown is complete.
    pub fn is_done(&self) -> bool {
        self.proxy.is_done() && self.proxy.has_left_replicas
    }

    /// GETs taken so far.
    pub fn gets_taken(&self) -> u64 {
        self.proxy.counters.taken
    }

    /// Multiplies the work that the limit on hosts in slow start counts for a request, so that a test can see the check of
    /// what was written fail.
    pub fn scale_request_work(&mut self, factor: f64) {
        self.router.scale_request_work(factor);
    }

    /// Violations of a rule so far; zero unless a guard is missing.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.proxy.counters.violations_of(rule)
    }

    /// Bytes in all buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.proxy.resource_usage.buffered_bytes.current()
    }

    /// The maximum number of bytes in all buffers at one time.
    pub fn peak_buffered_bytes(&self) -> usize {
        self.proxy.resource_usage.buffered_bytes.peak()
    }

    /// Number of client connections, not counting those in a lingering close.
    pub fn client_connections(&self) -> usize {
        self.proxy.clients.len()
    }

    /// Number of host slots, including free ones.
    pub fn host_slots(&self) -> usize {
        self.proxy.hosts.len()
    }

    /// Logs the report of counters.
    pub fn report(&self) {
        self.proxy.report();
        if let Some(member) = &self.member {
            log::info!("{}", member.summary());
        }
        if let Some(replicas) = &self.proxy.replicas {
            log::info!("{}", replicas.summary());
        }
    }
}

fn apply_answer_part(round: &mut Round<'_, Proxy>, part: &AnswerPart) {
    let AnswerPart::Change(text) = part else { return round.sink().on_poll_answered() };
    match serde_json::from_slice(text) {
        Ok(change) => apply_change(round, &change, ListUpdate::Full),
        Err(e) => round.sink().on_unreadable_change(&e),
    }
}

/// Reports ended host processes and established connections, before any decision based on them. Ends are reported
/// before connections: a connection established in an iteration was dialled before that iteration.
fn apply_process_events(round: &mut Round<'_, Proxy>) {
    while let Some((host, at, evidence)) = round.sink().ended_processes.pop() {
        round.on_process_ended(host, at, evidence);
    }
    while let Some(host) = round.sink().connected.pop() {
        round.on_connected(host);
    }
}

/// Applies a numbered change, unless it was applied before or changes before it are missing. `full_list_as` is the
/// kind of update that a full host list counts as.
fn apply_change(round: &mut Round<'_, Proxy>, change: &changelog::Change<'_>, full_list_as: ListUpdate) {
    let now = round.sink().now;
    change
        .remote_timestamps_ms()
        .for_each(|timestamp_ms| round.sink().clock.record_remote_timestamp(timestamp_ms, now));
    let offset = round.sink().clock.unix_offset();
    round.on_unix_offset(offset);
    if !round.sink().accept_change(change.seq) {
        return;
    }
    if let Some(fleet) = &change.fleet {
        let entries = round.sink().update_hosts(&fleet.endpoints, fleet.snapshot);
        round.on_host_list(if fleet.snapshot { full_list_as } else { ListUpdate::Changes }, &entries);
    }
    if let Some(purge) = &change.invalidate {
        let object = purge.object.as_deref().and_then(|id| codec::parse_hex(id.as_bytes()));
        apply_purge(round, object.map(PurgeKey::Object).or(purge.bucket.map(PurgeKey::Group)));
    }
}

fn apply_purge(round: &mut Round<'_, Proxy>, key: Option<PurgeKey>) {
    if let Some(key) = round.sink().on_purge_received(key) {
        round.on_purge(key, Duration::ZERO);
    }
}

/// Applies a replicated change. Records that do not concern dispatchers change nothing.
fn apply_replicated(round: &mut Round<'_, Proxy>, change: &Change) {
    match change {
        Change::HostLines(lines) => apply_host_lines(round, lines),
        Change::Purge(purge) => apply_purge_record(round, purge),
        Change::Other => round.sink().counters.changes += 1,
    }
}

fn apply_host_lines(round: &mut Round<'_, Proxy>, lines: &[HostLine]) {
    round.sink().counters.changes += lines.len() as u64;
    let mut endpoints = Vec::with_capacity(lines.len());
    for line in lines {
        match changelog::Endpoint::deserialize(&line.endpoint) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(e) => round
                .sink()
                .report_fault(format_args!("unreadable list line of host {}, ignoring it: {e}", line.name)),
        }
    }
    let entries = round.sink().update_hosts(&endpoints, false);
    round.on_host_list(ListUpdate::Changes, &entries);
}

fn apply_purge_record(round: &mut Round<'_, Proxy>, Purge { target, .. }: &Purge) {
    round.sink().counters.changes += 1;
    let key = match target {
        PurgeTarget::Object(object) => codec::parse_hex(object.as_bytes()).map(PurgeKey::Object),
        PurgeTarget::Group(group) => Some(PurgeKey::Group(*group)),
    };
    apply_purge(round, key);
}
