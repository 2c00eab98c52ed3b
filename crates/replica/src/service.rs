//! The event loop: passes input from pollers, peers and the platform's change log to the core, and sends the output of
//! the core.

use crate::errors::{ReplicaError, RequestError};
use crate::http::{self, Request};
use crate::log_budget::LogBudget;
use crate::peers::{PeerKey, PeerOutcome, Peers};
use crate::pollers::{PollerKey, Pollers};
use crate::source::{SourceAnswer, SourceEvent, SourceList};
use crate::status::{LatestPurges, MemberStatus, Status, Traffic};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_operator::file::ReplicaSettings;
use myrtlegauge_replication::{
    Incarnation, LogId, PollAnswer, PollId, PollRequest, PublishError, Record, Replica, ReplicaConfig,
    ReplicaDefences, ReplicaName,
};
use myrtlegauge_wire::change_log_client::{ChangeLogClient, SequenceCheck};
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{Listener, ReadinessHandler, ResourceUsage};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The size of the read buffer that all connections share.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The interval between sweeps of stalled connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of unsent response bytes; above it, no further response is taken from the core until pollers have
/// read some of them.
const MAX_BUFFERED_BYTES: usize = 128 * 1024 * 1024;

/// A socket that the event loop reports as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The listener has a pending connection.
    Listener,
    /// The connection of a poller.
    Poller(PollerKey),
    /// The connection to a peer.
    Peer(PeerKey),
    /// The connection to the platform's change log.
    Source,
}

/// Counters of the program, in addition to those of the core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Answered polls.
    pub polls_answered: u64,
    /// Events in the responses to polls.
    pub events_sent: u64,
    /// Requests that were rejected with an error response.
    pub requests_refused: u64,
    /// Polls that were cancelled before their response.
    pub polls_cancelled: u64,
    /// Failed polls of peers.
    pub peer_polls_failed: u64,
    /// Failed polls of the platform's change log.
    pub source_polls_failed: u64,
    /// Restarts of the platform's change log.
    pub source_restarts: u64,
    /// Events of the platform's change log that were published.
    pub source_events: u64,
    /// Records of the platform's change log that the core rejected.
    pub records_refused: u64,
}

/// The client of the platform's change log.
struct Source {
    client: ChangeLogClient<Service>,
    list: SourceList,
    /// The last event that was accepted. A different event with the same sequence number shows that the change log has
    /// restarted.
    last_event: Option<SourceEvent>,
}

/// A replica on an event loop.
pub struct Service {
    name: ReplicaName,
    log: LogId,
    core: Replica,
    pollers: Pollers,
    peers: Peers,
    source: Option<Source>,
    purges: LatestPurges,
    event_loop: LoopHandle<'static, Self>,
    usage: Rc<ResourceUsage>,
    read_buffer: Box<[u8]>,
    ready: Vec<EventSource>,
    clock: Clock,
    now: Duration,
    sweep_at: Duration,
    warnings: LogBudget,
    counters: Counters,
    is_done: bool,
}

impl ReadinessHandler for Service {
    type Key = EventSource;

    fn on_socket_ready(&mut self, source: EventSource) {
        self.ready.push(source);
    }
}

/// Runs a replica until SIGTERM or SIGINT; SIGUSR1 logs its counters.
///
/// # Errors
/// The file configures no replica, its settings are unusable, the address cannot be listened on, or the event loop
/// fails.
pub fn run(file: &OperatorFile) -> Result<(), ReplicaError> {
    let terms = file.replica.as_ref().ok_or(ReplicaError::NoReplica)?;
    let failed =
        |operation: &'static str| move |cause: calloop::Error| ReplicaError::Loop { operation, cause };
    let mut event_loop = EventLoop::<Service>::try_new().map_err(failed("cannot create the event loop"))?;
    watch_signals(&event_loop.handle())?;
    let mut service = Service::start(event_loop.handle(), terms)?;
    let address = service.address().map_err(|cause| ReplicaError::Listen { address: terms.listen, cause })?;
    log::info!(log = service.log.0.as_str(); "replication: {} listens on {address}", service.name);
    while !service.is_done {
        event_loop.dispatch(service.poll_timeout(), &mut service).map_err(failed("the event loop failed"))?;
        service.process_events();
    }
    service.log_report();
    Ok(())
}

fn watch_signals(event_loop: &LoopHandle<'static, Service>) -> Result<(), ReplicaError> {
    let failed = |cause: calloop::Error| ReplicaError::Loop { operation: "cannot watch signals", cause };
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1]).map_err(failed)?;
    let watched = event_loop.insert_source(signals, |signal, _, service| match signal.signal() {
        Signal::SIGUSR1 => service.log_report(),
        _ => service.is_done = true,
    });
    watched.map(drop).map_err(|e| failed(e.error))
}

impl Service {
    /// Starts listening; polls start with the first loop iteration.
    ///
    /// # Errors
    /// The settings are unusable, or the address cannot be listened on.
    pub fn start(
        event_loop: LoopHandle<'static, Self>,
        terms: &ReplicaSettings,
    ) -> Result<Self, ReplicaError> {
        Self::start_with(event_loop, terms, ReplicaDefences::default())
    }

    /// Like [`Service::start`], with some safeguards of the core disabled, for runs that prove that they are needed.
    ///
    /// # Errors
    /// The same as for [`Service::start`].
    pub fn start_with(
        event_loop: LoopHandle<'static, Self>,
        terms: &ReplicaSettings,
        defences: ReplicaDefences,
    ) -> Result<Self, ReplicaError> {
        let clock = Clock::start();
        let now = clock.now();
        let config = ReplicaConfig { defences, ..replica_config(terms, Incarnation(clock.unix_ms(now))) };
        let (name, log) = (config.name.clone(), config.log.clone());
        let core = Replica::new(config, now)?;
        let usage = Rc::new(ResourceUsage::default());
        let listener = Listener::bind(&event_loop, terms.listen, EventSource::Listener, &usage)
            .map_err(|cause| ReplicaError::Listen { address: terms.listen, cause })?;
        Ok(Self {
            name,
            log,
            core,
            pollers: Pollers::new(listener, terms.max_connections),
            peers: Peers::new(&terms.peers),
            source: terms.source.map(Source::new),
            purges: LatestPurges::default(),
            event_loop,
            usage,
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
            ready: Vec::new(),
            clock,
            now,
            sweep_at: now,
            warnings: LogBudget::default(),
            counters: Counters::default(),
            is_done: false,
        })
    }

    /// Returns the address that the replica listens on.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.pollers.address()
    }

    /// Returns the counters of the program.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Publishes a record as if it came from the platform's change log.
    ///
    /// # Errors
    /// The core rejects the record.
    pub fn publish(&mut self, record: Record) -> Result<(), PublishError> {
        self.now = self.clock.now();
        self.purges.add(&record);
        self.core.publish(record, self.now).map(drop)
    }

    /// Returns how long the event loop may sleep.
    pub fn poll_timeout(&self) -> Duration {
        if !self.ready.is_empty() {
            return Duration::ZERO;
        }
        let core = self.core.next_wakeup().filter(|_| !self.is_full()).unwrap_or(Duration::MAX);
        let source = self.source.as_ref().map_or(Duration::MAX, |source| source.client.deadline);
        let deadline = core.min(source).min(self.peers.deadline()).min(self.sweep_at);
        deadline.saturating_sub(self.clock.now())
    }

    /// Processes all input since the last loop iteration and sends all pending output.
    pub fn process_events(&mut self) {
        self.now = self.clock.now();
        self.read_sockets();
        self.poll_source();
        self.process_peer_results();
        if self.core.next_wakeup().is_some_and(|at| self.now >= at) {
            self.core.tick(self.now);
        }
        self.poll_peers();
        self.answer_polls();
        self.sweep_if_due();
    }

    fn is_full(&self) -> bool {
        self.usage.buffered_bytes.current() > MAX_BUFFERED_BYTES
    }

    fn read_sockets(&mut self) {
        for source in std::mem::take(&mut self.ready) {
            let has_more = match source {
                EventSource::Listener => {
                    self.pollers.on_listener_ready();
                    false
                }
                EventSource::Poller(key) => self.read_poller(key),
                EventSource::Peer(key) => self.peers.on_ready(key, &mut self.read_buffer),
                EventSource::Source => self.read_source(),
            };
            self.ready.extend(has_more.then_some(source));
        }
        match self.pollers.accept(&self.event_loop, &self.usage, &mut self.read_buffer, self.now) {
            Ok(active) => self.ready.extend(active.into_iter().map(EventSource::Poller)),
            Err(e) => self.warnings.warn(
                self.now,
                &format_args!("cannot accept a connection: {e}; retrying in the next loop iteration"),
            ),
        }
    }

    fn read_poller(&mut self, key: PollerKey) -> bool {
        let has_more = self.pollers.on_ready(key, &mut self.read_buffer, self.now);
        self.process_requests(key);
        let cancelled = self.pollers.drop_ended(key);
        self.cancel(cancelled);
        has_more
    }

    /// Processes the requests of a connection until one has to wait for its response.
    fn process_requests(&mut self, key: PollerKey) {
        loop {
            match self.pollers.next_request(key) {
                Ok(Some(Request::Poll(request))) => return self.start_poll(key, request),
                Ok(Some(Request::Status)) => self.send_status(key),
                Ok(None) => return,
                Err(error) => return self.reject(key, &error),
            }
        }
    }

    fn start_poll(&mut self, key: PollerKey, request: PollRequest) {
        let id = self.pollers.start_wait(key, request.timeout, self.now);
        let Err(error) = self.core.poll(id, request, self.now) else { return };
        if error.is_answered() {
            self.warnings.warn(self.now, &error);
        } else {
            self.reject(key, &error.into());
        }
    }

    fn reject(&mut self, key: PollerKey, error: &RequestError) {
        self.counters.requests_refused += 1;
        self.warnings.warn(self.now, error);
        // Only a poll that the core had accepted before has to be cancelled there.
        let accepted_poll = self.pollers.reject(key, error, &mut self.read_buffer, self.now);
        self.cancel(accepted_poll);
    }

    fn cancel(&mut self, polls: impl IntoIterator<Item = PollId>) {
        for poll in polls {
            self.counters.polls_cancelled += 1;
            self.core.cancel(poll);
        }
    }

    fn send_status(&mut self, key: PollerKey) {
        let status = self.status();
        let body = serde_json::to_vec(&status).expect("a status serializes to JSON");
        self.pollers.answer(key, http::json_response(&body), self.now);
    }

    /// Returns the status for operators.
    pub fn status(&mut self) -> Status {
        Status {
            name: self.name.0.clone(),
            log: self.log.0.clone(),
            standing: self.core.standing(),
            watermark: self.core.fleet_watermark(self.now).0,
            members: self.core.members().into_iter().map(MemberStatus::from).collect(),
            purges: self.purges.verdicts(&mut self.core, self.now),
            connections: self.pollers.len(),
            traffic: self.traffic(),
        }
    }

    fn traffic(&self) -> Traffic {
        Traffic {
            polls_answered: self.counters.polls_answered,
            bytes_in: self.usage.bytes_in.current() as u64,
            bytes_out: self.usage.bytes_out.current() as u64,
        }
    }

    fn answer_polls(&mut self) {
        while !self.is_full()
            && let Some((poll, answer)) = self.core.next_answer(self.now)
        {
            let Some(key) = self.pollers.waiting_for(poll) else { continue };
            self.counters.polls_answered += 1;
            self.counters.events_sent += answer.results.len() as u64;
            let body = serde_json::to_vec(&answer).expect("a poll answer serializes to JSON");
            self.pollers.answer(key, http::json_response(&body), self.now);
            // Requests received after the poll are processed in the next loop iteration.
            self.ready.push(EventSource::Poller(key));
        }
    }

    fn poll_peers(&mut self) {
        while let Some(poll) = self.core.next_poll(self.now) {
            self.peers.start_poll(&poll, &self.event_loop, &self.usage);
        }
    }

    fn process_peer_results(&mut self) {
        while let Some(PeerOutcome { name, result }) = self.peers.next_outcome(self.now) {
            match result {
                Ok(body) => self.process_peer_answer(&name, &body),
                Err(StreamError(cause)) => self.fail_peer_poll(&name, &cause),
            }
        }
    }

    fn process_peer_answer(&mut self, name: &ReplicaName, body: &[u8]) {
        let answer: PollAnswer = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(e) => return self.fail_peer_poll(name, &format_args!("invalid poll answer: {e}")),
        };
        let records: Vec<Record> = answer.results.iter().map(|event| event.record.clone()).collect();
        match self.core.on_peer_answer(name, answer, self.now) {
            Ok(()) => records.iter().for_each(|record| self.purges.add(record)),
            Err(error) => self.fail_peer_poll(name, &error),
        }
    }

    fn fail_peer_poll(&mut self, name: &ReplicaName, cause: &dyn std::fmt::Display) {
        self.counters.peer_polls_failed += 1;
        self.warnings
            .warn(self.now, &format_args!("poll of replica {name} failed: {cause}; retrying after a pause"));
        self.core.on_peer_failure(name, self.now);
    }

    fn read_source(&mut self) -> bool {
        let Some(mut source) = self.source.take() else { return false };
        let has_more = source.client.on_ready(&mut self.read_buffer, self.now);
        loop {
            match source.client.next_answer(self.now) {
                Ok(Some(body)) => self.process_source_answer(&mut source, &body),
                Ok(None) => break,
                Err(StreamError(cause)) => {
                    self.fail_source_poll(&mut source, &cause);
                    break;
                }
            }
        }
        self.source = Some(source);
        has_more
    }

    fn poll_source(&mut self) {
        let Some(source) = &mut self.source else { return };
        let has_failed = source.client.poll_if_due(&self.event_loop, &self.usage, self.now);
        self.counters.source_polls_failed += u64::from(has_failed);
    }

    fn fail_source_poll(&mut self, source: &mut Source, cause: &dyn std::fmt::Display) {
        self.counters.source_polls_failed += 1;
        self.warnings.warn(
            self.now,
            &format_args!("poll of the change log failed: {cause}; reconnecting after a pause"),
        );
        source.client.disconnect(self.now);
    }

    fn process_source_answer(&mut self, source: &mut Source, body: &[u8]) {
        let answer: SourceAnswer = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(e) => return self.fail_source_poll(source, &format_args!("invalid answer: {e}")),
        };
        if source.has_restarted(&answer) {
            self.counters.source_restarts += 1;
            source.restart(self.now);
            return log::warn!(last = answer.last_seq; "replication: the change log restarted; requesting all events");
        }
        let last_seq_before = source.client.last_seq;
        for event in &answer.results {
            match source.client.accept(event.seq, self.now) {
                SequenceCheck::Duplicate => continue,
                SequenceCheck::GapRetried(last) => {
                    let message = format_args!(
                        "sequence gap in the change log, from {last} to {}; requesting the events after {last} again",
                        event.seq
                    );
                    return self.warnings.warn(self.now, &message);
                }
                SequenceCheck::GapAccepted(_) | SequenceCheck::Next => {
                    self.apply_event(source, event, answer.last_seq)
                }
            }
        }
        if source.client.last_seq == last_seq_before {
            source.client.on_empty_answer(self.now);
        }
    }

    fn apply_event(&mut self, source: &mut Source, event: &SourceEvent, last_seq: u64) {
        source.last_event = Some(event.clone());
        self.counters.source_events += 1;
        let (records, errors) = source.list.apply(event);
        errors.iter().for_each(|error| self.warnings.warn(self.now, error));
        let Some(known) = self.publish_all(records) else { return };
        if source.list.rebase_if_restarted(known, last_seq) {
            let (records, _) = source.list.apply(event);
            self.publish_all(records);
        }
    }

    /// Publishes records; returns the newest known version if a record is older than the known one.
    fn publish_all(&mut self, records: Vec<Record>) -> Option<myrtlegauge_replication::Version> {
        let mut newest_known = None;
        for record in records {
            self.purges.add(&record);
            match self.core.publish(record, self.now) {
                Ok(_) => {}
                Err(PublishError::Older { known, .. }) => newest_known = newest_known.max(Some(known)),
                Err(error) => {
                    self.counters.records_refused += 1;
                    self.warnings.warn(self.now, &error);
                }
            }
        }
        newest_known
    }

    fn sweep_if_due(&mut self) {
        if self.now < self.sweep_at {
            return;
        }
        self.sweep_at = self.now + SWEEP_INTERVAL;
        let cancelled = self.pollers.sweep(&mut self.read_buffer, self.now);
        self.cancel(cancelled);
    }

    /// Logs the counters and the state of the log.
    pub fn log_report(&mut self) {
        self.now = self.clock.now();
        let status = self.status();
        let counters = self.counters;
        let (members, lagging, watermark) = (status.members.len(), status.lagging().len(), status.watermark);
        let (polls_answered, events_sent) = (counters.polls_answered, counters.events_sent);
        let (bytes_in, bytes_out) = (self.usage.bytes_in.current(), self.usage.bytes_out.current());
        log::info!(
            polls_answered, events_sent, bytes_in, bytes_out, members, lagging, watermark,
            log = status.log.as_str(), standing:? = status.standing, connections = status.connections;
            "replication: replica {}", self.name
        );
        log::info!("replication: driver {counters:?}");
        log::info!("replication: core {:?}", self.core.counters());
    }
}

fn replica_config(terms: &ReplicaSettings, incarnation: Incarnation) -> ReplicaConfig {
    let name = ReplicaName(terms.name.clone());
    let peers = terms.peers.iter().map(|peer| ReplicaName(peer.name.clone())).collect();
    ReplicaConfig {
        batch_interval: terms.batch_interval,
        member_lease: terms.member_lease,
        purge_retention: terms.purge_retention,
        doubt_after: terms.purges_unknown_after,
        ..ReplicaConfig::new(name, peers, incarnation)
    }
}

impl Source {
    fn new(address: SocketAddr) -> Self {
        let client = ChangeLogClient::new(address, EventSource::Source).with_overlap();
        Self { client, list: SourceList::default(), last_event: None }
    }

    /// Returns whether the sequence numbers went back, or the last accepted event differs from the one received now.
    fn has_restarted(&self, answer: &SourceAnswer) -> bool {
        let is_changed = |event: &SourceEvent| {
            self.last_event.as_ref().is_some_and(|last| last.seq == event.seq && last != event)
        };
        answer.last_seq < self.client.last_seq || answer.results.iter().any(is_changed)
    }

    fn restart(&mut self, now: Duration) {
        self.client.resync_from_start(now);
        self.list.on_log_restart();
        self.last_event = None;
    }
}
