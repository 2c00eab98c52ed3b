//! The state between the sockets and the decision module: connections, GETs in flight, timers, log budgets.

use super::client_reads::Taking;
use super::clients::Client;
use super::codec::Codec;
use super::connection_limits::ConnectionLimits;
use super::connection_slab::ConnectionSlab;
use super::counters::Counters;
use super::executed_ids::ExecutedIds;
use super::guards::{Effect, Guards};
use super::hosts::{Host, HostAddresses, Link, OutdatedDecisions};
use super::in_flight::InFlightGets;
use super::lifecycle::{Lifecycle, State};
use super::log_budget::{LOG_INTERVAL, LogBudget};
use super::memory::{MAX_UNREAD_TIME, MemoryAccount};
use super::news_watch::NewsWatch;
use super::ready_queue::ReadyQueue;
use super::reload_watch::ReloadWatch;
use super::replicas::ReplicaClient;
use super::request_queue::RequestQueue;
use super::slow_start_check::WrittenRequests;
use super::slow_start_log::SlowStartLog;
use super::zones::{ZoneUpdate, Zones};
use super::{ConnectionKey, Dispatcher, EventSource, client_reads};
use bytes::BytesMut;
use myrtlegauge::host_life::EndEvidence;
use myrtlegauge::interface::{End, Get, GetIndex, HostIndex, Note};
use myrtlegauge::purge_news::PurgeNews;
use myrtlegauge_recovery::{LossCause, StartupTimeline};
use myrtlegauge_wire::change_log_client::ChangeLogClient;
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::host_registry::HostRegistry;
use myrtlegauge_wire::poll_records::WaitTimes;
use myrtlegauge_wire::transport::{ClosingConnections, EventLoopHandle, Listener, ResourceUsage};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Arguments;
use std::rc::Rc;
use std::time::Duration;

/// Size of the buffer through which all connections read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Interval at which idle and stuck connections are detected and closed.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of lines in each `LOG_INTERVAL` on GETs that were late or not returned. It allows following some of
/// them by id through the dispatchers involved, and keeps logging from making an overload worse: a line costs some
/// microseconds of the only core.
const MAX_END_LINES: u32 = 20;
/// Fraction of the descriptors for client connections.
const CLIENT_FRACTION: f64 = 0.5;
/// Fraction of the descriptors for connections to hosts.
const LINK_FRACTION: f64 = 0.35;
/// Fraction of the descriptors for connections in a lingering close.
const CLOSING_FRACTION: f64 = 0.05;
/// Descriptors reserved for what a dispatcher always needs, however many clients and hosts there are: the three
/// standard streams, three of the event loop, the listener, the signals, and those of the change log's polls: the
/// overdue ones and the connection attempts.
const RESERVED_DESCRIPTORS: usize = 17;

/// Limits on the resources of the process.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    pub descriptors: usize,
    pub memory_bytes: usize,
}

/// A timer of a forward, named by GET index and forward serial, or of a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The forward has timed out.
    ForwardTimeout(GetIndex, u64),
    /// The forward may no longer be started.
    StartDeadline(GetIndex, u64),
    /// GETs no longer wait for the connection to be established.
    ConnectTimeout(ConnectionKey),
    /// The connection attempt is abandoned.
    DialTimeout(ConnectionKey),
}

/// The state between the sockets and the decision module: connections, GETs in flight and timers.
pub struct Proxy {
    pub event_loop: EventLoopHandle<Dispatcher>,
    pub resource_usage: Rc<ResourceUsage>,
    pub counters: Counters,
    pub clock: Clock,
    /// The time of the current round.
    pub now: Duration,
    pub wait_times: WaitTimes,
    pub codec: Codec,
    pub host_registry: HostRegistry,
    pub limits: ConnectionLimits,
    pub in_flight: InFlightGets,
    /// Ids of requests with effects that have run, or may have.
    pub executed_ids: ExecutedIds,
    pub hosts: Vec<Host>,
    pub host_addresses: HostAddresses,
    /// Drains and purges received since forwards were last cancelled for them.
    pub outdated_decisions: OutdatedDecisions,
    pub links: ConnectionSlab<Link>,
    pub clients: ConnectionSlab<Client>,
    pub last_forward_serial: u64,
    /// Sources that the event loop reported as ready, and those with unread data.
    pub ready: ReadyQueue,
    /// Connections to hosts with received bytes to parse.
    pub readable_links: VecDeque<ConnectionKey>,
    /// Client connections with received bytes to parse.
    pub readable_clients: VecDeque<ConnectionKey>,
    /// Connections with bytes to write.
    pub pending_writes: Vec<EventSource>,
    /// Forwards that ended without a reply, reported to the decision module in the next round.
    pub ended_forwards: VecDeque<(GetIndex, u64, End)>,
    pub abandoned_gets: VecDeque<GetIndex>,
    /// Requests received and not yet taken. Requests of clients that have since disconnected are removed.
    pub queued_requests: RequestQueue,
    /// How far they were taken in this iteration.
    pub taking: Taking,
    /// Hosts whose connections were established after they had been reported as not established.
    pub late_connected_hosts: Vec<HostIndex>,
    pub guards: Guards,
    /// Whether requests may run more than once, by class.
    pub effects: Vec<Effect>,
    /// Hosts whose processes may have ended, with the time and the evidence.
    pub ended_processes: Vec<(HostIndex, Duration, EndEvidence)>,
    /// Hosts to which a connection has been established since.
    pub connected: Vec<HostIndex>,
    /// The time up to which the host list is known.
    pub list_known: Duration,
    pub closing: ClosingConnections<Dispatcher>,
    pub lifecycle: Lifecycle,
    pub timers: BinaryHeap<Reverse<(Duration, Timer)>>,
    /// Scratch buffer in which a message is built.
    pub write_buffer: BytesMut,
    /// Scratch buffer for the fields or the head of a message.
    pub text_buffer: Vec<u8>,
    pub change_log: ChangeLogClient<Dispatcher>,
    pub has_change_log_data: bool,
    /// Bytes of changes that may still be applied in this iteration.
    pub news_budget_bytes: usize,
    /// The last sequence number that was applied when the last answer was complete.
    pub last_answered_seq: u64,
    /// The client of the replicas, which replaces the change log where operators configure replicas.
    pub replicas: Option<ReplicaClient<Dispatcher>>,
    /// Whether the replicas need not be notified of the shutdown any more.
    pub has_left_replicas: bool,
    pub has_host_list: bool,
    /// `None` once it is closed.
    pub listener: Option<Listener<Dispatcher>>,
    pub accepting: bool,
    /// The buffer through which all connections read.
    pub read_buffer: Box<[u8]>,
    pub next_sweep_at: Duration,
    pub max_clients: usize,
    pub max_links: usize,
    /// Bytes read from a client at once.
    pub client_piece_bytes: usize,
    pub memory: MemoryAccount,
    wakeup_at: Duration,
    /// Budget of log lines on faults: one in each `LOG_INTERVAL`.
    fault_log_budget: LogBudget,
    /// Budget of log lines on GETs that were late or not returned.
    end_log_budget: LogBudget,
    /// Forwards sent in this `LOG_INTERVAL` that go to the origin or name it as their fill source.
    pub origin_forwards: u32,
    /// Replies in this `LOG_INTERVAL` that reported a fill from the origin.
    pub origin_fills: u32,
    /// When these two counts are logged next.
    origin_log_due_at: Duration,
    pub slow_start_log: SlowStartLog,
    pub written_requests: WrittenRequests,
    /// Which purges were received, from the polls of the change log.
    pub purge_news: PurgeNews,
    pub news_watch: NewsWatch,
    pub reload_watch: ReloadWatch,
    /// The time up to which purges may be in force that were not received: after the process was paused, while the
    /// change log is silent or late or, with replicas, while none answers.
    pub purges_unknown_since: Option<Duration>,
    /// Times from the start of this process to readiness and to full service.
    pub startup: StartupTimeline,
    /// The fleet's verdicts on zones, where control services are followed.
    pub zones: Option<Zones>,
    pub zone_updates: Vec<ZoneUpdate>,
    pub zones_due_at: Duration,
    /// The new number of routers that share the sources, if the membership view has just changed it.
    pub new_router_count: Option<usize>,
}

impl Proxy {
    pub fn new(
        event_loop: EventLoopHandle<Dispatcher>,
        listener: Listener<Dispatcher>,
        resource_usage: Rc<ResourceUsage>,
        change_log: ChangeLogClient<Dispatcher>,
        (codec, host_registry, limits, purge_news): (Codec, HostRegistry, ConnectionLimits, PurgeNews),
        resource_limits: ResourceLimits,
        clock: Clock,
    ) -> Self {
        let descriptors = |fraction: f64| (resource_limits.descriptors as f64 * fraction) as usize;
        let max_clients = descriptors(CLIENT_FRACTION);
        let links_available = resource_limits
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS + max_clients + descriptors(CLOSING_FRACTION));
        let memory = MemoryAccount::new(resource_limits.memory_bytes);
        let executed_ids = ExecutedIds::new(resource_limits.memory_bytes, limits.max_client_wait);
        Self {
            event_loop,
            resource_usage,
            counters: Counters::default(),
            now: clock.now(),
            wait_times: WaitTimes::new(clock.now()),
            codec,
            host_registry,
            limits,
            in_flight: InFlightGets::default(),
            executed_ids,
            hosts: Vec::new(),
            host_addresses: HostAddresses::default(),
            outdated_decisions: OutdatedDecisions::default(),
            links: ConnectionSlab::new(),
            clients: ConnectionSlab::new(),
            last_forward_serial: 0,
            ready: ReadyQueue::default(),
            readable_links: VecDeque::new(),
            readable_clients: VecDeque::new(),
            pending_writes: Vec::new(),
            ended_forwards: VecDeque::new(),
            abandoned_gets: VecDeque::new(),
            queued_requests: RequestQueue::default(),
            taking: Taking::NotStarted,
            late_connected_hosts: Vec::new(),
            guards: Guards::ALL,
            effects: Vec::new(),
            ended_processes: Vec::new(),
            connected: Vec::new(),
            list_known: clock.now(),
            closing: ClosingConnections::new(descriptors(CLOSING_FRACTION)),
            lifecycle: Lifecycle::new(),
            timers: BinaryHeap::new(),
            write_buffer: BytesMut::new(),
            text_buffer: Vec::new(),
            change_log,
            has_change_log_data: false,
            news_budget_bytes: 0,
            last_answered_seq: 0,
            replicas: None,
            has_left_replicas: true,
            has_host_list: false,
            listener: Some(listener),
            accepting: true,
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
            wakeup_at: Duration::MAX,
            next_sweep_at: Duration::ZERO,
            fault_log_budget: LogBudget::default(),
            end_log_budget: LogBudget::default(),
            origin_forwards: 0,
            origin_fills: 0,
            origin_log_due_at: Duration::ZERO,
            slow_start_log: SlowStartLog::default(),
            written_requests: WrittenRequests::default(),
            purge_news,
            news_watch: NewsWatch::default(),
            reload_watch: ReloadWatch::default(),
            purges_unknown_since: None,
            startup: StartupTimeline::start(clock.now()),
            zones: None,
            zone_updates: Vec::new(),
            zones_due_at: Duration::MAX,
            new_router_count: None,
            clock,
            max_clients,
            max_links: descriptors(LINK_FRACTION).min(links_available).max(1),
            client_piece_bytes: client_reads::piece_bytes(memory.max_bytes, max_clients),
            memory,
        }
    }

    /// Handles the timers that have expired.
    pub fn fire_timers(&mut self) {
        while let Some(&Reverse((_, due))) = self.timers.peek().filter(|Reverse((at, _))| *at <= self.now) {
            self.timers.pop();
            match due {
                Timer::ForwardTimeout(get_index, serial) => self.on_forward_timeout(get_index, serial),
                Timer::StartDeadline(get_index, serial) => self.on_start_deadline(get_index, serial),
                Timer::ConnectTimeout(key) => {
                    if self.links.get_mut(key).is_some_and(|link| !link.is_up) {
                        self.on_connect_timeout(key);
                    }
                }
                Timer::DialTimeout(key) => {
                    if self.links.get_mut(key).is_some_and(|link| !link.is_up) {
                        self.drop_link(key);
                    }
                }
            }
        }
    }

    /// Counts a message that could not be read or used, and logs it within the log budget.
    pub fn report_fault(&mut self, fault: Arguments<'_>) {
        self.counters.faults += 1;
        if let Some(suppressed) = self.fault_log_budget.take(self.now, 1) {
            log::warn!("{fault} ({suppressed} more faults since the last such line)");
        }
    }

    /// Logs once in each `LOG_INTERVAL` how many forwards went to the origin or named it as their fill source, and
    /// how many replies reported a fill from it, if there were any. Summed over a fleet's logs by second, the
    /// counts are the origin's requested and performed fills.
    pub fn log_origin_use(&mut self) {
        if self.now < self.origin_log_due_at {
            return;
        }
        if self.origin_forwards > 0 || self.origin_fills > 0 {
            let (forwards, filled) =
                (std::mem::take(&mut self.origin_forwards), std::mem::take(&mut self.origin_fills));
            log::info!(forwards, filled; "from the origin");
        }
        self.origin_log_due_at = self.now + LOG_INTERVAL;
    }

    /// Logs a milestone of the startup, once in each process. Operators add these lines up over a fleet.
    pub fn log_startup_step(&self, step: &str) {
        let to_ms = |span: Option<Duration>| span.map_or(-1, |span| span.as_millis() as i64);
        let reached = self.startup.milestones();
        let (ready_ms, whole_ms) = (to_ms(reached.hosts_known), to_ms(reached.log_synced));
        let (returned_ms, full_ms) = (to_ms(reached.first_answer), to_ms(reached.full_service));
        let [list, purges, source, host, other] = LossCause::ALL.map(|cause| self.startup.losses_by(cause));
        log::info!(step, ready_ms, whole_ms, returned_ms, full_ms, list, purges, source, host, other; "return");
    }

    /// Logs full service once it is reached.
    pub fn check_full_service(&mut self) {
        if self.startup.advance(self.now) {
            self.log_startup_step("full");
        }
    }

    /// Records a request that was not answered, by its cause.
    pub fn record_lost_request(&mut self, get_index: GetIndex) {
        let pending = self.in_flight.get_mut(get_index);
        let cause = match pending.last_end {
            _ if !self.has_host_list => LossCause::HostList,
            None => LossCause::Host,
            Some((_, End::Miss, _)) => LossCause::Source,
            Some((_, _, note)) => match note {
                Note::SourceRefused
                | Note::SourceBroke
                | Note::SourceLacks
                | Note::NoFillPlace
                | Note::OriginFailed => LossCause::Source,
                _ if !self.startup.is_log_synced() => LossCause::Purges,
                _ => LossCause::Other,
            },
        };
        self.startup.request_lost(cause, self.now);
    }

    /// Takes a line from the budget for GETs that were late or not returned; see [`LogBudget::take`].
    pub fn take_end_log_line(&mut self) -> Option<u64> {
        self.end_log_budget.take(self.now, MAX_END_LINES)
    }

    /// The next time at which there is work without any socket event.
    pub fn next_deadline(&self) -> Duration {
        if self.has_change_log_data
            || self.taking == Taking::OutOfTime
            || !self.zone_updates.is_empty()
            || self.new_router_count.is_some()
            || self.ready.iter().any(|source| !matches!(source, EventSource::Link(_)))
            || self.has_readable_link()
        {
            return Duration::ZERO;
        }
        let next_timer = self.timers.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
        let next_shutdown_step = self.lifecycle.next_deadline(self.now);
        let next_unread_check =
            if self.are_buffers_full() { self.now + MAX_UNREAD_TIME } else { Duration::MAX };
        next_timer
            .min(self.wakeup_at)
            .min(self.next_sweep_at)
            .min(self.poll_deadline())
            .min(self.zones_due_at)
            .min(next_unread_check)
            .min(next_shutdown_step)
    }

    /// Whether another round is needed.
    pub fn has_work(&self) -> bool {
        self.has_applicable_news()
            || self
                .replicas
                .as_ref()
                .is_some_and(|replicas| replicas.has_records() || replicas.has_uncertainty_changed(self.now))
            || self.new_router_count.is_some()
            || !self.readable_links.is_empty()
            || !self.readable_clients.is_empty()
            || !self.ended_forwards.is_empty()
            || !self.abandoned_gets.is_empty()
            || !self.taking.has_ended() && !self.queued_requests.is_empty()
            || !self.late_connected_hosts.is_empty()
            || self.must_answer()
            || self.now >= self.wakeup_at
            || self.now >= self.zones_due_at
    }

    /// Schedules a wake-up of the decision module after this time, unless an earlier one is scheduled.
    pub fn schedule_wakeup_in(&mut self, after: Duration) {
        self.wakeup_at = self.wakeup_at.min(self.now + after);
    }

    /// Whether the wake-up that the decision module asked for is due; if so, clears it.
    pub fn take_wakeup(&mut self) -> bool {
        let is_due = self.now >= self.wakeup_at;
        if is_due {
            self.wakeup_at = Duration::MAX;
        }
        is_due
    }

    /// Number of forwards on the connections of a host.
    pub fn forwards_at(&self, host: HostIndex) -> usize {
        self.hosts[host].links.iter().map(|&key| self.links[key].in_flight_gets.len()).sum()
    }

    /// Whether health checks succeed: a host list is known, no shutdown was requested and the zone verdicts are
    /// current.
    pub fn is_ready(&self) -> bool {
        let is_serving = self.lifecycle.state() == State::Serving;
        self.has_host_list
            && is_serving
            && !self.zones.as_ref().is_some_and(|zones| zones.are_verdicts_uncertain(self.now))
    }

    /// Starts the graceful shutdown.
    pub fn stop(&mut self) {
        if self.lifecycle.begin_shutdown(self.clock.now(), self.limits.max_client_wait) {
            log::info!("shutdown requested; draining {} GETs in flight", self.in_flight.unanswered_count);
        }
    }

    /// Whether the answer deadline of the shutdown is reached and GETs are in flight.
    pub fn must_answer(&self) -> bool {
        self.in_flight.unanswered_count > 0 && self.lifecycle.must_answer(self.now)
    }

    /// Whether the shutdown is complete.
    pub fn is_done(&self) -> bool {
        self.lifecycle.state() == State::Done
    }

    /// Checks that each GET taken is answered, abandoned or in flight.
    pub fn check_get_balance(&mut self) {
        let counters = &self.counters;
        let finished = counters.returned
            + counters.shed
            + counters.errored
            + counters.abandoned
            + self.in_flight.unanswered_count as u64;
        let is_balanced = counters.taken == finished;
        self.counters.check_invariant(is_balanced, "GETs taken = answered + abandoned + in flight");
    }

    /// The startup timeline as a line of the report of counters.
    fn startup_line(&self) -> String {
        let reached = self.startup.milestones();
        let spans = [
            ("list known", reached.hosts_known),
            ("log whole", reached.log_synced),
            ("first returned", reached.first_answer),
            ("full service", reached.full_service),
        ];
        let describe = |(name, span): (&str, Option<Duration>)| match span {
            Some(span) => format!("{name} {} ms", span.as_millis()),
            None => format!("{name} not yet"),
        };
        let spans = spans.map(describe);
        let losses =
            LossCause::ALL.map(|cause| format!("{} {}", cause.name(), self.startup.losses_by(cause)));
        format!("return: {}; held back until then: {}", spans.join(", "), losses.join(" "))
    }

    /// Logs the report of counters.
    pub fn report(&self) {
        let resource_usage = &self.resource_usage;
        log::info!(
            "{}\n{}\n{}\nnews: age {} ms, {} ms at most\nin hand: {} GETs, {} clients, {} connections to hosts\n\
             peaks: {} connections, {} bytes in buffers, {} in requests; bytes in {} out {}",
            self.counters,
            self.startup_line(),
            self.memory_line(),
            self.purge_news.age(self.now).as_millis(),
            self.news_watch.max_age.as_millis(),
            self.in_flight.unanswered_count,
            self.clients.len(),
            self.links.len(),
            resource_usage.descriptors.peak(),
            resource_usage.buffered_bytes.peak(),
            resource_usage.request_bytes.peak(),
            resource_usage.bytes_in.current(),
            resource_usage.bytes_out.current()
        );
    }

    /// Takes the next complete request that is a valid GET, if there is one. Other requests are answered here.
    pub fn next_get(&mut self, get_index: GetIndex) -> Option<Get> {
        while let Some((key, request)) = self.next_request() {
            if let Some(get) = self.accept_request(key, get_index, request) {
                return Some(get);
            }
        }
        None
    }

    /// The next GET that its client abandoned, to be reported to the decision module.
    pub fn next_abandoned(&mut self) -> Option<GetIndex> {
        self.abandoned_gets.pop_front()
    }
}
