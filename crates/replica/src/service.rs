//! The loop: what pollers, peers and the platform's change log send goes to the core; what the core has goes out.

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

/// A buffer that all connections read by way of.
const SHARED: usize = 64 * 1024;
/// How often connections are looked over.
const TIDY_EVERY: Duration = Duration::from_millis(250);
/// Bytes that wait to be taken by pollers; with more, no further answer is asked of the core until some have gone.
const BUFFERED_MOST: usize = 128 * 1024 * 1024;

/// What the loop tells to be ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    /// Somebody wants to be let in.
    Listener,
    /// A poller's connection.
    Poller(PollerKey),
    /// The poll of a peer.
    Peer(PeerKey),
    /// The poll of the platform's change log.
    Source,
}

/// What is counted beside the core's own counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Polls that were answered.
    pub polls_answered: u64,
    /// Events in those answers.
    pub events_sent: u64,
    /// Requests that were refused, with a sentence.
    pub requests_refused: u64,
    /// Polls that were given up before their answers.
    pub polls_cancelled: u64,
    /// Polls of peers that failed.
    pub peer_polls_failed: u64,
    /// Polls of the platform's change log that failed.
    pub source_polls_failed: u64,
    /// Times that the platform's change log began anew.
    pub source_restarts: u64,
    /// Events of it that were published.
    pub source_events: u64,
    /// Records of it that were refused.
    pub records_refused: u64,
}

/// The poll of the platform's change log.
struct Source {
    feed: ChangeLogClient<Service>,
    list: SourceList,
    /// The last event that was taken: another one under its number tells of a change log that began anew.
    last_event: Option<SourceEvent>,
}

/// A replica on a loop.
pub struct Service {
    name: ReplicaName,
    log: LogId,
    core: Replica,
    pollers: Pollers,
    peers: Peers,
    source: Option<Source>,
    purges: LatestPurges,
    hub: LoopHandle<'static, Self>,
    accounts: Rc<ResourceUsage>,
    shared: Box<[u8]>,
    ready: Vec<Who>,
    clock: Clock,
    now: Duration,
    tidy_at: Duration,
    faults: LogBudget,
    counters: Counters,
    is_done: bool,
}

impl ReadinessHandler for Service {
    type Key = Who;

    fn on_socket_ready(&mut self, who: Who) {
        self.ready.push(who);
    }
}

/// Runs a replica until it is told to end; SIGUSR1 logs its counters.
///
/// # Errors
/// A file without a replica in it, terms that can't work, an address that can't be listened on.
pub fn run(file: &OperatorFile) -> Result<(), ReplicaError> {
    let terms = file.replica.as_ref().ok_or(ReplicaError::NoReplica)?;
    let failed = |what: &'static str| move |why: calloop::Error| ReplicaError::Loop { what, why };
    let mut turns = EventLoop::<Service>::try_new().map_err(failed("no event loop"))?;
    watch_signals(&turns.handle())?;
    let mut service = Service::start(turns.handle(), terms)?;
    let address = service.address().map_err(|why| ReplicaError::Listen { at: terms.listen, why })?;
    log::info!(log = service.log.0.as_str(); "replication: {} listens on {address}", service.name);
    while !service.is_done {
        turns.dispatch(service.patience(), &mut service).map_err(failed("the event loop"))?;
        service.turn();
    }
    service.report();
    Ok(())
}

fn watch_signals(hub: &LoopHandle<'static, Service>) -> Result<(), ReplicaError> {
    let failed = |why: calloop::Error| ReplicaError::Loop { what: "signals can't be watched", why };
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1]).map_err(failed)?;
    let watched = hub.insert_source(signals, |signal, _, service| match signal.signal() {
        Signal::SIGUSR1 => service.report(),
        _ => service.is_done = true,
    });
    watched.map(drop).map_err(|e| failed(e.error))
}

impl Service {
    /// Listens, and begins to poll.
    ///
    /// # Errors
    /// Terms that can't work, an address that can't be listened on.
    pub fn start(hub: LoopHandle<'static, Self>, terms: &ReplicaSettings) -> Result<Self, ReplicaError> {
        Self::start_with(hub, terms, ReplicaDefences::default())
    }

    /// The same with some of the core's defences switched off, for proofs.
    ///
    /// # Errors
    /// As of [`Service::start`].
    pub fn start_with(
        hub: LoopHandle<'static, Self>,
        terms: &ReplicaSettings,
        defences: ReplicaDefences,
    ) -> Result<Self, ReplicaError> {
        let clock = Clock::start();
        let now = clock.now();
        let config = ReplicaConfig { defences, ..config(terms, Incarnation(clock.unix_ms(now))) };
        let (name, log) = (config.name.clone(), config.log.clone());
        let core = Replica::new(config, now)?;
        let accounts = Rc::new(ResourceUsage::default());
        let listener = Listener::bind(&hub, terms.listen, Who::Listener, &accounts)
            .map_err(|why| ReplicaError::Listen { at: terms.listen, why })?;
        Ok(Self {
            name,
            log,
            core,
            pollers: Pollers::new(listener, terms.max_connections),
            peers: Peers::new(&terms.peers),
            source: terms.source.map(Source::new),
            purges: LatestPurges::default(),
            hub,
            accounts,
            shared: vec![0; SHARED].into(),
            ready: Vec::new(),
            clock,
            now,
            tidy_at: now,
            faults: LogBudget::default(),
            counters: Counters::default(),
            is_done: false,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.pollers.address()
    }

    /// What it has done.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes a record, as if the platform's change log had told it.
    ///
    /// # Errors
    /// A record that the core refuses.
    pub fn publish(&mut self, record: Record) -> Result<(), PublishError> {
        self.now = self.clock.now();
        self.purges.note(&record);
        self.core.publish(record, self.now).map(drop)
    }

    /// How long the loop may sleep.
    pub fn patience(&self) -> Duration {
        if !self.ready.is_empty() {
            return Duration::ZERO;
        }
        let core = self.core.next_wake().filter(|_| !self.is_full()).unwrap_or(Duration::MAX);
        let source = self.source.as_ref().map_or(Duration::MAX, |source| source.feed.deadline);
        let due = core.min(source).min(self.peers.due()).min(self.tidy_at);
        due.saturating_sub(self.clock.now())
    }

    /// All that came since the last turn, and all that may go out.
    pub fn turn(&mut self) {
        self.now = self.clock.now();
        self.read();
        self.follow_source();
        self.hear_peers();
        if self.core.next_wake().is_some_and(|at| self.now >= at) {
            self.core.tick(self.now);
        }
        self.ask_peers();
        self.answer_polls();
        self.tidy();
    }

    fn is_full(&self) -> bool {
        self.accounts.buffered_bytes.current() > BUFFERED_MOST
    }

    fn read(&mut self) {
        for who in std::mem::take(&mut self.ready) {
            let has_more = match who {
                Who::Listener => {
                    self.pollers.on_listener_ready();
                    false
                }
                Who::Poller(key) => self.read_poller(key),
                Who::Peer(key) => self.peers.on_ready(key, &mut self.shared),
                Who::Source => self.read_source(),
            };
            self.ready.extend(has_more.then_some(who));
        }
        match self.pollers.accept(&self.hub, &self.accounts, &mut self.shared, self.now) {
            Ok(heard) => self.ready.extend(heard.into_iter().map(Who::Poller)),
            Err(e) => self.faults.warn(self.now, &format_args!("a connection could not be taken: {e}")),
        }
    }

    fn read_poller(&mut self, key: PollerKey) -> bool {
        let has_more = self.pollers.on_ready(key, &mut self.shared, self.now);
        self.take_requests(key);
        let cancelled = self.pollers.drop_ended(key);
        self.cancel(cancelled);
        has_more
    }

    /// Takes the requests of a connection, until one waits for its answer.
    fn take_requests(&mut self, key: PollerKey) {
        loop {
            match self.pollers.next_request(key) {
                Ok(Some(Request::Poll(request))) => return self.take_poll(key, request),
                Ok(Some(Request::Status)) => self.show(key),
                Ok(None) => return,
                Err(error) => return self.refuse(key, &error),
            }
        }
    }

    fn take_poll(&mut self, key: PollerKey, request: PollRequest) {
        let id = self.pollers.wait(key, request.timeout, self.now);
        let Err(error) = self.core.poll(id, request, self.now) else { return };
        if error.is_answered() {
            self.faults.warn(self.now, &error);
        } else {
            self.refuse(key, &error.into());
        }
    }

    fn refuse(&mut self, key: PollerKey, error: &RequestError) {
        self.counters.requests_refused += 1;
        self.faults.warn(self.now, error);
        // A poll that the core did not take is none that it has to be told of.
        let taken_before = self.pollers.refuse(key, error, &mut self.shared, self.now);
        self.cancel(taken_before);
    }

    fn cancel(&mut self, polls: impl IntoIterator<Item = PollId>) {
        for poll in polls {
            self.counters.polls_cancelled += 1;
            self.core.cancel(poll);
        }
    }

    fn show(&mut self, key: PollerKey) {
        let status = self.status();
        let body = serde_json::to_vec(&status).expect("a status is made of texts and numbers");
        self.pollers.answer(key, http::json_answer(&body), self.now);
    }

    /// What an operator is shown.
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
            bytes_in: self.accounts.bytes_in.current() as u64,
            bytes_out: self.accounts.bytes_out.current() as u64,
        }
    }

    fn answer_polls(&mut self) {
        while !self.is_full()
            && let Some((poll, answer)) = self.core.next_answer(self.now)
        {
            let Some(key) = self.pollers.waits_for(poll) else { continue };
            self.counters.polls_answered += 1;
            self.counters.events_sent += answer.results.len() as u64;
            let body = serde_json::to_vec(&answer).expect("an answer is made of texts and numbers");
            self.pollers.answer(key, http::json_answer(&body), self.now);
            // What came behind the poll is read in the next turn.
            self.ready.push(Who::Poller(key));
        }
    }

    fn ask_peers(&mut self) {
        while let Some(ask) = self.core.next_ask(self.now) {
            self.peers.ask(&ask, &self.hub, &self.accounts);
        }
    }

    fn hear_peers(&mut self) {
        while let Some(PeerOutcome { name, answer }) = self.peers.next(self.now) {
            match answer {
                Ok(body) => self.take_peer_answer(&name, &body),
                Err(StreamError(what)) => self.lose_peer_poll(&name, &what),
            }
        }
    }

    fn take_peer_answer(&mut self, name: &ReplicaName, body: &[u8]) {
        let answer: PollAnswer = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(e) => return self.lose_peer_poll(name, &format_args!("an answer can't be read: {e}")),
        };
        let records: Vec<Record> = answer.results.iter().map(|event| event.record.clone()).collect();
        match self.core.peer_answered(name, answer, self.now) {
            Ok(()) => records.iter().for_each(|record| self.purges.note(record)),
            Err(error) => self.lose_peer_poll(name, &error),
        }
    }

    fn lose_peer_poll(&mut self, name: &ReplicaName, what: &dyn std::fmt::Display) {
        self.counters.peer_polls_failed += 1;
        self.faults.warn(self.now, &format_args!("replica {name}: {what}"));
        self.core.peer_failed(name, self.now);
    }

    fn read_source(&mut self) -> bool {
        let Some(mut source) = self.source.take() else { return false };
        let has_more = source.feed.on_ready(&mut self.shared, self.now);
        loop {
            match source.feed.next_answer(self.now) {
                Ok(Some(body)) => self.take_source_answer(&mut source, &body),
                Ok(None) => break,
                Err(StreamError(what)) => {
                    self.lose_source_poll(&mut source, &what);
                    break;
                }
            }
        }
        self.source = Some(source);
        has_more
    }

    fn follow_source(&mut self) {
        let Some(source) = &mut self.source else { return };
        let is_lost = source.feed.poll_if_due(&self.hub, &self.accounts, self.now);
        self.counters.source_polls_failed += u64::from(is_lost);
    }

    fn lose_source_poll(&mut self, source: &mut Source, what: &dyn std::fmt::Display) {
        self.counters.source_polls_failed += 1;
        self.faults.warn(self.now, &format_args!("the change log: {what}"));
        source.feed.disconnect(self.now);
    }

    fn take_source_answer(&mut self, source: &mut Source, body: &[u8]) {
        let answer: SourceAnswer = match serde_json::from_slice(body) {
            Ok(answer) => answer,
            Err(e) => return self.lose_source_poll(source, &format_args!("an answer can't be read: {e}")),
        };
        if source.began_anew(&answer) {
            self.counters.source_restarts += 1;
            source.begin_anew(self.now);
            return log::warn!(last = answer.last; "replication: the change log began anew: asked for all");
        }
        let before = source.feed.last_seq;
        for event in &answer.results {
            match source.feed.accept(event.number, self.now) {
                SequenceCheck::Duplicate => continue,
                SequenceCheck::GapRetried(last) => {
                    let what = format_args!("the change log went from {last} to {}", event.number);
                    return self.faults.warn(self.now, &what);
                }
                SequenceCheck::GapAccepted(_) | SequenceCheck::Next => {
                    self.take_event(source, event, answer.last)
                }
            }
        }
        if source.feed.last_seq == before {
            source.feed.on_empty_answer(self.now);
        }
    }

    fn take_event(&mut self, source: &mut Source, event: &SourceEvent, last: u64) {
        source.last_event = Some(event.clone());
        self.counters.source_events += 1;
        let (records, errors) = source.list.take(event);
        errors.iter().for_each(|error| self.faults.warn(self.now, error));
        let Some(known) = self.publish_all(records) else { return };
        if source.list.is_behind(known, last) {
            let (records, _) = source.list.take(event);
            self.publish_all(records);
        }
    }

    /// Publishes records; the version that is known where one of them is older.
    fn publish_all(&mut self, records: Vec<Record>) -> Option<myrtlegauge_replication::Version> {
        let mut newest_known = None;
        for record in records {
            self.purges.note(&record);
            match self.core.publish(record, self.now) {
                Ok(_) => {}
                Err(PublishError::Older { known, .. }) => newest_known = newest_known.max(Some(known)),
                Err(error) => {
                    self.counters.records_refused += 1;
                    self.faults.warn(self.now, &error);
                }
            }
        }
        newest_known
    }

    fn tidy(&mut self) {
        if self.now < self.tidy_at {
            return;
        }
        self.tidy_at = self.now + TIDY_EVERY;
        let cancelled = self.pollers.tidy(&mut self.shared, self.now);
        self.cancel(cancelled);
    }

    /// Logs what was done and where the log stands.
    pub fn report(&mut self) {
        self.now = self.clock.now();
        let status = self.status();
        let counters = self.counters;
        let (members, lagging, watermark) = (status.members.len(), status.lagging().len(), status.watermark);
        let (polls_answered, events_sent) = (counters.polls_answered, counters.events_sent);
        let (bytes_in, bytes_out) = (self.accounts.bytes_in.current(), self.accounts.bytes_out.current());
        log::info!(
            polls_answered, events_sent, bytes_in, bytes_out, members, lagging, watermark,
            log = status.log.as_str(), standing:? = status.standing, connections = status.connections;
            "replication: replica {}", self.name
        );
        log::info!("replication: driver {counters:?}");
        log::info!("replication: core {:?}", self.core.counters());
    }
}

fn config(terms: &ReplicaSettings, incarnation: Incarnation) -> ReplicaConfig {
    let name = ReplicaName(terms.name.clone());
    let peers = terms.peers.iter().map(|peer| ReplicaName(peer.name.clone())).collect();
    ReplicaConfig {
        batch_interval: terms.batch_interval,
        member_lease: terms.member_lease,
        purge_span: terms.purge_retention,
        doubt_after: terms.purges_unknown_after,
        ..ReplicaConfig::new(name, peers, incarnation)
    }
}

impl Source {
    fn new(address: SocketAddr) -> Self {
        let feed = ChangeLogClient::new(address, Who::Source).with_overlap();
        Self { feed, list: SourceList::default(), last_event: None }
    }

    /// Whether its numbers went back, or the last event that was taken is another now.
    fn began_anew(&self, answer: &SourceAnswer) -> bool {
        let is_other = |event: &SourceEvent| {
            self.last_event.as_ref().is_some_and(|last| last.number == event.number && last != event)
        };
        answer.last < self.feed.last_seq || answer.results.iter().any(is_other)
    }

    fn begin_anew(&mut self, now: Duration) {
        self.feed.resync_from_start(now);
        self.list.begin_anew();
        self.last_event = None;
    }
}
