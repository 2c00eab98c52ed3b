//! A deterministic network in virtual time, with replicas, dispatchers, faults, and an oracle that is independent of
//! the tested logic.
//!
//! The oracle compares what dispatchers have applied with what replicas report as in force. It uses no watermark, no
//! report and no member record.

use fastrand::Rng;
use myrtlegauge_replication::{
    AnswerError, Configuration, Incarnation, PollAnswer, PollId, PollRequest, Purge, PurgeTarget, Record,
    RecordName, Replica, ReplicaConfig, ReplicaDefences, ReplicaName, Sequence, Subscriber, SubscriberConfig,
    SubscriberDefences, Verdict, Version,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Unix milliseconds at the start of virtual time.
const UNIX_START_MS: u64 = 1_700_000_000_000;
/// The interval at which the oracle checks all replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The number of purged groups. It is small, so that records move to new sequence numbers all the time.
const GROUPS: u64 = 6;
/// The bytes of a request besides its query: `GET /changes? HTTP/1.1` and a host.
const REQUEST_HEAD_BYTES: usize = 60;
/// The bytes of an answer before its body: status, type and length.
const ANSWER_HEAD_BYTES: usize = 90;
/// The maximum relative error of the rate of a clock.
const MAX_CLOCK_DRIFT: f64 = 0.01;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A simulated machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Replica(usize),
    Dispatcher(usize),
}

/// The settings of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSettings {
    pub seed: u64,
    pub replicas: usize,
    pub dispatchers: usize,
    /// When the last fault may be injected.
    pub faults_end: Duration,
    /// The mean interval between two faults, or `None` for no faults.
    pub fault_interval: Option<Duration>,
    pub publish_interval: Duration,
    pub max_batch_records: usize,
    pub replica_defences: ReplicaDefences,
    pub subscriber_defences: SubscriberDefences,
    /// Whether polls and answers are serialized and parsed.
    pub serialize_messages: bool,
    /// Whether the default durations are used. Otherwise, about a fifth of them are.
    pub use_default_durations: bool,
    /// The interval at which the oracle checks all replicas. If it is not above `CHECK_INTERVAL`, the oracle also
    /// checks a replica whenever its watermark rises.
    pub check_interval: Duration,
    /// The range of the one-way delay between two regions.
    pub remote_delay_ms: (u64, u64),
}

impl SimulationSettings {
    pub fn new(seed: u64, replicas: usize, dispatchers: usize) -> Self {
        Self {
            seed,
            replicas,
            dispatchers,
            faults_end: ms(20_000),
            fault_interval: Some(ms(400)),
            publish_interval: ms(150),
            max_batch_records: 3,
            replica_defences: ReplicaDefences::default(),
            subscriber_defences: SubscriberDefences::default(),
            serialize_messages: seed.is_multiple_of(4),
            use_default_durations: false,
            check_interval: CHECK_INTERVAL,
            remote_delay_ms: (3, 25),
        }
    }
}

/// The clock of a machine. It has its own origin and runs slightly too fast or too slow.
#[derive(Clone, Copy, Debug)]
struct Clock {
    origin: Duration,
    rate: f64,
}

impl Clock {
    fn to_local(self, now: Duration) -> Duration {
        self.origin + now.mul_f64(self.rate)
    }

    fn to_global(self, local: Duration) -> Duration {
        // Rounded up, so that the local deadline has passed at the returned time.
        local.saturating_sub(self.origin).div_f64(self.rate) + Duration::from_micros(1)
    }
}

#[derive(Clone, Debug)]
enum SimEvent {
    Request { from: Node, from_generation: u64, to: usize, connection: u64, request: PollRequest },
    Answer { from: usize, to: Node, to_generation: u64, connection: u64, answer: PollAnswer },
    PollFailed { node: Node, generation: u64, replica: usize, connection: u64 },
    Timer { node: Node, generation: u64, latest_timer: u64 },
    Fault,
    Publish,
    CheckClaims,
    Start(Node),
    Resume(Node),
    RestoreLinks(Vec<(usize, usize)>),
    SetLoss(f64),
    SetExtraDelay(Duration),
}

struct Machine<T> {
    process: Option<T>,
    generation: u64,
    frozen: bool,
    inbox: Vec<SimEvent>,
    latest_timer: u64,
    clock: Clock,
    /// The connection of the open poll to each replica.
    open_polls: BTreeMap<usize, u64>,
}

struct ReplicaProcess {
    replica: Replica,
    polls: BTreeMap<PollId, (Node, u64, u64)>,
    last_watermark: Sequence,
}

struct DispatcherProcess {
    subscriber: Subscriber,
    applied: BTreeMap<RecordName, Record>,
}

/// The bytes of polls and answers, by the kind of poller.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentBytes {
    pub dispatcher_bytes: u64,
    pub replica_bytes: u64,
}

impl SentBytes {
    fn add(&mut self, poller: Node, bytes: usize) {
        match poller {
            Node::Replica(_) => self.replica_bytes += bytes as u64,
            Node::Dispatcher(_) => self.dispatcher_bytes += bytes as u64,
        }
    }
}

pub struct Simulation {
    /// Answers are counted only if `serialize_messages` is set.
    pub bytes: SentBytes,
    pub now: Duration,
    settings: SimulationSettings,
    rng: Rng,
    queue: BTreeMap<(Duration, u64), SimEvent>,
    last_id: u64,
    replicas: Vec<Machine<ReplicaProcess>>,
    dispatchers: Vec<Machine<DispatcherProcess>>,
    /// How many faults cut each one-way link between two regions. A region has the index of its replica.
    cut_counts: BTreeMap<(usize, usize), u32>,
    loss_probability: f64,
    max_extra_delay: Duration,
    pub published: BTreeMap<RecordName, Record>,
    pub violations: Vec<String>,
    pub claims_checked: u64,
    pub faults: u64,
    stop_publishing: bool,
}

pub fn replica_name(index: usize) -> ReplicaName {
    ReplicaName(format!("r{index}"))
}

fn replica_index(name: &ReplicaName) -> usize {
    name.0[1..].parse().expect("the name of a simulated replica")
}

impl Simulation {
    pub fn new(settings: SimulationSettings) -> Self {
        let mut rng = Rng::with_seed(settings.seed);
        let mut clock = || Clock {
            origin: ms(rng.u64(0..100_000)),
            rate: 1.0 + (rng.f64() * 2.0 - 1.0) * MAX_CLOCK_DRIFT,
        };
        let replicas = (0..settings.replicas).map(|_| Machine::new(clock())).collect();
        let dispatchers = (0..settings.dispatchers).map(|_| Machine::new(clock())).collect();
        let mut simulation = Self {
            bytes: SentBytes::default(),
            now: ms(1),
            settings,
            rng,
            queue: BTreeMap::new(),
            last_id: 0,
            replicas,
            dispatchers,
            cut_counts: BTreeMap::new(),
            loss_probability: 0.0,
            max_extra_delay: Duration::ZERO,
            published: BTreeMap::new(),
            violations: Vec::new(),
            claims_checked: 0,
            faults: 0,
            stop_publishing: false,
        };
        for index in 0..settings.replicas {
            simulation.schedule(Duration::ZERO, SimEvent::Start(Node::Replica(index)));
        }
        for index in 0..settings.dispatchers {
            let at = ms(simulation.rng.u64(0..3000));
            simulation.schedule(at, SimEvent::Start(Node::Dispatcher(index)));
        }
        simulation.schedule(ms(1500), SimEvent::Publish);
        simulation.schedule(settings.check_interval, SimEvent::CheckClaims);
        if settings.fault_interval.is_some() {
            simulation.schedule(ms(2500), SimEvent::Fault);
        }
        simulation
    }

    /// Runs up to a time, or up to the first violation.
    pub fn run_until(&mut self, until: Duration) {
        while self.violations.is_empty()
            && let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = self.now.max(until);
    }

    /// Ends all faults: starts killed replicas, resumes frozen machines, and restores all links.
    pub fn end_faults(&mut self) {
        self.settings.fault_interval = None;
        self.cut_counts.clear();
        self.loss_probability = 0.0;
        self.max_extra_delay = Duration::ZERO;
        for index in 0..self.replicas.len() {
            self.resume(Node::Replica(index));
            self.start(Node::Replica(index));
        }
        for index in 0..self.dispatchers.len() {
            self.resume(Node::Dispatcher(index));
        }
    }

    /// Publishes all records again, among them those that no replica knows any more, like a publisher that was not
    /// notified that they are in force.
    pub fn republish_all(&mut self) {
        self.stop_publishing = true;
        for record in self.published.values().cloned().collect::<Vec<_>>() {
            self.publish_at(0, record);
        }
    }

    /// The records that are not in force by the verdict of some replica.
    pub fn not_in_force(&mut self) -> Vec<String> {
        let mut missing = Vec::new();
        for (index, machine) in self.replicas.iter_mut().enumerate() {
            let now = machine.clock.to_local(self.now);
            let Some(state) = &mut machine.process else {
                missing.push(format!("r{index} does not run"));
                continue;
            };
            for name in self.published.keys() {
                let verdict = state.replica.in_force(name, now);
                if !matches!(verdict, Verdict::InForce { .. }) {
                    missing.push(format!("{name:?} at r{index}: {verdict:?}"));
                }
            }
        }
        missing
    }

    /// The running dispatchers that are in doubt or lack a record.
    pub fn missing_at_dispatchers(&self) -> Vec<String> {
        let mut missing_at_dispatchers = Vec::new();
        for (index, machine) in self.dispatchers.iter().enumerate() {
            let Some(state) = &machine.process else {
                continue;
            };
            if let Some(since) = state.subscriber.in_doubt_since(machine.clock.to_local(self.now)) {
                missing_at_dispatchers.push(format!("d{index} in doubt since {since:?}"));
            }
            for (name, record) in &self.published {
                if state.applied.get(name).is_none_or(|applied| applied.cmp_precedence(record).is_lt()) {
                    missing_at_dispatchers.push(format!("d{index} lacks {name:?}"));
                }
            }
        }
        missing_at_dispatchers
    }

    pub fn verdict(&mut self, replica: usize, name: &RecordName) -> Verdict {
        let machine = &mut self.replicas[replica];
        let now = machine.clock.to_local(self.now);
        machine.process.as_mut().map_or(Verdict::Unknown, |state| state.replica.in_force(name, now))
    }

    pub fn replica(&self, index: usize) -> &Replica {
        &self.replicas[index].process.as_ref().expect("the replica runs").replica
    }

    pub fn subscriber(&self, index: usize) -> &Subscriber {
        &self.dispatchers[index].process.as_ref().expect("the dispatcher runs").subscriber
    }

    pub fn is_in_doubt(&self, index: usize) -> bool {
        let now = self.dispatchers[index].clock.to_local(self.now);
        self.subscriber(index).in_doubt_since(now).is_some()
    }

    pub fn has_applied(&self, index: usize, record: &Record) -> bool {
        let state = self.dispatchers[index].process.as_ref().expect("the dispatcher runs");
        state.applied.get(&record.name()).is_some_and(|applied| applied.cmp_precedence(record).is_ge())
    }

    pub fn unix_ms(&self) -> u64 {
        UNIX_START_MS + self.now.as_millis() as u64
    }

    pub fn kill(&mut self, node: Node) {
        match node {
            Node::Replica(index) => self.replicas[index].stop(),
            Node::Dispatcher(index) => self.dispatchers[index].stop(),
        }
    }

    pub fn freeze(&mut self, node: Node) {
        match node {
            Node::Replica(index) => self.replicas[index].frozen = true,
            Node::Dispatcher(index) => self.dispatchers[index].frozen = true,
        }
    }

    pub fn resume(&mut self, node: Node) {
        let (frozen, mut inbox) = match node {
            Node::Replica(index) => self.replicas[index].resume(),
            Node::Dispatcher(index) => self.dispatchers[index].resume(),
        };
        if !frozen {
            return;
        }
        // Whether timers or messages are handled first is random.
        if self.rng.bool() {
            self.run_node(node);
        }
        if self.rng.bool() {
            self.rng.shuffle(&mut inbox);
        }
        for event in inbox {
            self.handle(event);
        }
        self.run_node(node);
    }

    pub fn cut_links(&mut self, links: &[(usize, usize)]) {
        for link in links {
            *self.cut_counts.entry(*link).or_default() += 1;
        }
    }

    pub fn restore_links(&mut self, links: &[(usize, usize)]) {
        for link in links {
            if let Some(count) = self.cut_counts.get_mut(link) {
                *count = count.saturating_sub(1);
            }
        }
    }

    pub fn publish_at(&mut self, replica: usize, record: Record) -> bool {
        let machine = &mut self.replicas[replica];
        let now = machine.clock.to_local(self.now);
        let Some(state) = machine.process.as_mut().filter(|_| !machine.frozen) else {
            return false;
        };
        if state.replica.publish(record.clone(), now).is_err() {
            return false;
        }
        let known = self.published.get(&record.name());
        if known.is_none_or(|known| record.cmp_precedence(known).is_gt()) {
            self.published.insert(record.name(), record);
        }
        self.run_node(Node::Replica(replica));
        true
    }

    pub fn start(&mut self, node: Node) {
        match node {
            Node::Replica(index) if self.replicas[index].process.is_none() => {
                let state = self.new_replica(index);
                self.replicas[index].start(state);
            }
            Node::Dispatcher(index) if self.dispatchers[index].process.is_none() => {
                let state = self.new_dispatcher(index);
                self.dispatchers[index].start(state);
            }
            _ => return,
        }
        self.run_node(node);
    }

    fn new_replica(&self, index: usize) -> ReplicaProcess {
        let peers = (0..self.settings.replicas).filter(|peer| *peer != index).map(replica_name).collect();
        let mut config = ReplicaConfig::new(replica_name(index), peers, Incarnation(self.unix_ms()));
        config.max_batch_records = self.settings.max_batch_records;
        if !self.settings.use_default_durations {
            config.batch_interval = ms(20);
            config.peer_timeout = ms(200);
            config.peer_timeout_margin = ms(150);
            config.peer_retry_delay = ms(40);
            config.doubt_after = ms(600);
            config.member_lease = ms(2000);
            config.quorum_window = ms(600);
            config.start_up_hold = ms(1000);
        }
        config.defences = self.settings.replica_defences;
        let now = self.replicas[index].clock.to_local(self.now);
        let replica = Replica::new(config, now).expect("a valid configuration");
        ReplicaProcess { replica, polls: BTreeMap::new(), last_watermark: Sequence(0) }
    }

    fn new_dispatcher(&mut self, index: usize) -> DispatcherProcess {
        let replicas = self.settings.replicas;
        let fallback = (replicas > 1).then(|| replica_name((index + 1) % replicas));
        let name = format!("d{index}").as_str().into();
        let primary = replica_name(index % replicas);
        let mut config = SubscriberConfig::new(name, Incarnation(self.unix_ms()), primary, fallback);
        if !self.settings.use_default_durations {
            config.poll_timeout = ms(200);
            config.poll_timeout_margin = ms(100);
            config.retry_delay = ms(40);
            config.doubt_after = ms(600);
            config.attach_timeout = ms(1200);
            config.probe_interval = ms(200);
            config.return_after = ms(1000);
            config.return_jitter = ms(2000);
        }
        config.seed = self.rng.u64(..);
        config.defences = self.settings.subscriber_defences;
        let now = self.dispatchers[index].clock.to_local(self.now);
        let subscriber = Subscriber::new(config, now).expect("a valid configuration");
        DispatcherProcess { subscriber, applied: BTreeMap::new() }
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.last_id += 1;
        self.queue.insert((self.now + delay, self.last_id), event);
    }

    fn region(&self, node: Node) -> usize {
        match node {
            Node::Replica(index) => index,
            Node::Dispatcher(index) => index % self.settings.replicas,
        }
    }

    /// Sends a message, which may be lost or delayed.
    fn send(&mut self, from: Node, to: Node, event: SimEvent) {
        let link = (self.region(from), self.region(to));
        if self.cut_counts.get(&link).is_some_and(|count| *count > 0)
            || self.rng.f64() < self.loss_probability
        {
            return;
        }
        let is_local = link.0 == link.1;
        let mut delay = if is_local {
            ms(1)
        } else {
            ms(self.rng.u64(self.settings.remote_delay_ms.0..self.settings.remote_delay_ms.1))
        };
        if self.max_extra_delay > Duration::ZERO && self.rng.u32(0..4) == 0 {
            delay += self.max_extra_delay.mul_f64(self.rng.f64());
        }
        self.schedule(delay, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Request { to, .. } => {
                if self.replicas[to].frozen {
                    return self.replicas[to].inbox.push(event);
                }
                self.on_request(event);
            }
            SimEvent::Answer { to, .. } => {
                if self.is_frozen(to) {
                    return self.defer(to, event);
                }
                self.on_answer(event);
            }
            SimEvent::PollFailed { node, generation, replica, connection } => {
                if self.is_frozen(node) {
                    return self.defer(node, event);
                }
                self.on_poll_failure(node, generation, replica, connection);
            }
            SimEvent::Timer { node, generation, latest_timer } => {
                if self.generation(node) == generation && *self.latest_timer(node) == latest_timer {
                    self.run_node(node);
                }
            }
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Publish => self.publish(),
            SimEvent::CheckClaims => {
                self.check_all_claims();
                self.schedule(self.settings.check_interval, SimEvent::CheckClaims);
            }
            SimEvent::Start(node) => self.start(node),
            SimEvent::Resume(node) => self.resume(node),
            SimEvent::RestoreLinks(links) => self.restore_links(&links),
            SimEvent::SetLoss(loss_probability) => self.loss_probability = loss_probability,
            SimEvent::SetExtraDelay(max_extra_delay) => self.max_extra_delay = max_extra_delay,
        }
    }

    fn is_frozen(&self, node: Node) -> bool {
        match node {
            Node::Replica(index) => self.replicas[index].frozen,
            Node::Dispatcher(index) => self.dispatchers[index].frozen,
        }
    }

    fn defer(&mut self, node: Node, event: SimEvent) {
        match node {
            Node::Replica(index) => self.replicas[index].inbox.push(event),
            Node::Dispatcher(index) => self.dispatchers[index].inbox.push(event),
        }
    }

    fn generation(&self, node: Node) -> u64 {
        match node {
            Node::Replica(index) => self.replicas[index].generation,
            Node::Dispatcher(index) => self.dispatchers[index].generation,
        }
    }

    fn on_request(&mut self, event: SimEvent) {
        let SimEvent::Request { from, from_generation, to, connection, request } = event else {
            return;
        };
        let machine = &mut self.replicas[to];
        let now = machine.clock.to_local(self.now);
        let Some(state) = &mut machine.process else {
            // The machine refuses the connection, because the process does not run.
            let failed =
                SimEvent::PollFailed { node: from, generation: from_generation, replica: to, connection };
            return self.send(Node::Replica(to), from, failed);
        };
        let id = PollId(connection);
        state.polls.insert(id, (from, from_generation, connection));
        match state.replica.poll(id, request, now) {
            Ok(()) => {}
            Err(error) if error.is_answered() => {}
            Err(error) => panic!("poll rejected: {error}"),
        }
        self.run_node(Node::Replica(to));
    }

    fn on_answer(&mut self, event: SimEvent) {
        let SimEvent::Answer { from, to, to_generation, connection, answer } = event else {
            return;
        };
        let name = replica_name(from);
        match to {
            Node::Replica(index) => {
                let machine = &mut self.replicas[index];
                if !machine.close_poll(to_generation, from, connection) {
                    return;
                }
                let now = machine.clock.to_local(self.now);
                let state = machine.process.as_mut().expect("the process runs");
                match state.replica.on_peer_answer(&name, answer, now) {
                    // The poll timed out when the machine resumed after a freeze.
                    Ok(()) | Err(AnswerError::Unsolicited(_)) => {}
                    Err(error) => panic!("answer rejected: {error}"),
                }
            }
            Node::Dispatcher(index) => {
                let machine = &mut self.dispatchers[index];
                if !machine.close_poll(to_generation, from, connection) {
                    return;
                }
                let now = machine.clock.to_local(self.now);
                let state = machine.process.as_mut().expect("the process runs");
                match state.subscriber.on_answer(&name, answer, now) {
                    Ok(accepted) => {
                        state
                            .applied
                            .extend(accepted.records.into_iter().map(|record| (record.name(), record)));
                    }
                    // The dispatcher has switched replicas since.
                    Err(AnswerError::Unsolicited(_)) => {}
                    Err(error) => panic!("answer rejected: {error}"),
                }
            }
        }
        self.run_node(to);
    }

    fn on_poll_failure(&mut self, node: Node, generation: u64, replica: usize, connection: u64) {
        let name = replica_name(replica);
        match node {
            Node::Replica(index) => {
                let machine = &mut self.replicas[index];
                if machine.close_poll(generation, replica, connection) {
                    let now = machine.clock.to_local(self.now);
                    machine.process.as_mut().expect("the process runs").replica.on_peer_failure(&name, now);
                }
            }
            Node::Dispatcher(index) => {
                let machine = &mut self.dispatchers[index];
                if machine.close_poll(generation, replica, connection) {
                    let now = machine.clock.to_local(self.now);
                    machine.process.as_mut().expect("the process runs").subscriber.on_failure(&name, now);
                }
            }
        }
        self.run_node(node);
    }

    /// Lets a machine do all work that is due now, and sets its timer.
    fn run_node(&mut self, node: Node) {
        if self.is_frozen(node) {
            return;
        }
        match node {
            Node::Replica(index) => self.run_replica(index),
            Node::Dispatcher(index) => self.run_dispatcher(index),
        }
    }

    fn run_replica(&mut self, index: usize) {
        let machine = &mut self.replicas[index];
        let (clock, generation) = (machine.clock, machine.generation);
        let now = clock.to_local(self.now);
        let Some(state) = &mut machine.process else {
            return;
        };
        state.replica.tick(now);
        let mut answers = Vec::new();
        while let Some((id, answer)) = state.replica.next_answer(now) {
            let (to, to_generation, connection) =
                state.polls.remove(&id).expect("an answer has a received poll");
            answers.push((to, SimEvent::Answer { from: index, to, to_generation, connection, answer }));
        }
        let mut polls = Vec::new();
        while let Some(poll) = state.replica.next_poll(now) {
            polls.push((poll.to, poll.request, poll.deadline));
        }
        let next = state.replica.next_wakeup();
        let watermark = state.replica.fleet_watermark(now);
        let has_risen = watermark > state.last_watermark;
        state.last_watermark = watermark;
        for (to, answer) in answers {
            let answer = self.serialize_answer(answer);
            self.send(Node::Replica(index), to, answer);
        }
        for (to, request, deadline) in polls {
            self.send_poll(Node::Replica(index), generation, clock, &to, request, deadline);
        }
        if let Some(at) = next {
            self.set_timer(Node::Replica(index), generation, clock.to_global(at));
        }
        if has_risen && self.settings.check_interval <= CHECK_INTERVAL {
            self.check_claims(index);
        }
    }

    fn run_dispatcher(&mut self, index: usize) {
        let machine = &mut self.dispatchers[index];
        let (clock, generation) = (machine.clock, machine.generation);
        let now = clock.to_local(self.now);
        let Some(state) = &mut machine.process else {
            return;
        };
        let mut polls = Vec::new();
        while let Some(poll) = state.subscriber.next_poll(now) {
            polls.push((poll.to, poll.request, poll.deadline));
        }
        let next = state.subscriber.next_wakeup(now);
        for (to, request, deadline) in polls {
            self.send_poll(Node::Dispatcher(index), generation, clock, &to, request, deadline);
        }
        if let Some(at) = next {
            self.set_timer(Node::Dispatcher(index), generation, clock.to_global(at));
        }
    }

    /// Sets the timer of a machine. Only the timer set last is effective.
    fn set_timer(&mut self, node: Node, generation: u64, at: Duration) {
        let delay = at.saturating_sub(self.now).max(Duration::from_micros(10));
        self.last_id += 1;
        let latest_timer = self.last_id;
        *self.latest_timer(node) = latest_timer;
        self.schedule(delay, SimEvent::Timer { node, generation, latest_timer });
    }

    fn latest_timer(&mut self, node: Node) -> &mut u64 {
        match node {
            Node::Replica(index) => &mut self.replicas[index].latest_timer,
            Node::Dispatcher(index) => &mut self.dispatchers[index].latest_timer,
        }
    }

    fn send_poll(
        &mut self,
        from: Node,
        generation: u64,
        clock: Clock,
        to: &ReplicaName,
        request: PollRequest,
        deadline: Duration,
    ) {
        let to = replica_index(to);
        self.last_id += 1;
        let connection = self.last_id;
        let open_polls = match from {
            Node::Replica(index) => &mut self.replicas[index].open_polls,
            Node::Dispatcher(index) => &mut self.dispatchers[index].open_polls,
        };
        open_polls.insert(to, connection);
        let delay = clock.to_global(deadline).saturating_sub(self.now);
        self.schedule(delay, SimEvent::PollFailed { node: from, generation, replica: to, connection });
        let query = request.to_query();
        self.bytes.add(from, query.len() + REQUEST_HEAD_BYTES);
        let request = match self.settings.serialize_messages {
            true => PollRequest::from_query(&query).expect("a serialized message is parsed again"),
            false => request,
        };
        self.send(
            from,
            Node::Replica(to),
            SimEvent::Request { from, from_generation: generation, to, connection, request },
        );
    }

    fn serialize_answer(&mut self, event: SimEvent) -> SimEvent {
        match event {
            SimEvent::Answer { from, to, to_generation, connection, answer }
                if self.settings.serialize_messages =>
            {
                let json = answer.to_json();
                self.bytes.add(to, json.len() + ANSWER_HEAD_BYTES);
                let answer = PollAnswer::from_json(&json).expect("a serialized message is parsed again");
                SimEvent::Answer { from, to, to_generation, connection, answer }
            }
            other => other,
        }
    }

    fn publish(&mut self) {
        if self.stop_publishing {
            return;
        }
        let delay = self.settings.publish_interval.mul_f64(self.rng.f64() * 2.0);
        self.schedule(delay, SimEvent::Publish);
        let replica = self.rng.usize(0..self.settings.replicas);
        let record = if self.rng.u32(0..8) == 0 {
            let version = Version(self.unix_ms());
            Record::Configuration(Configuration {
                name: "limits".to_owned(),
                version,
                body: version.0.into(),
            })
        } else {
            let target = PurgeTarget::Group(self.rng.u64(0..GROUPS));
            // The clocks of publishers differ.
            let unix_ms = self.unix_ms() + self.rng.u64(0..200);
            Record::Purge(Purge { target, unix_ms })
        };
        self.publish_at(replica, record);
    }

    fn inject_fault(&mut self) {
        let Some(mean_interval) =
            self.settings.fault_interval.filter(|_| self.now < self.settings.faults_end)
        else {
            return;
        };
        let next = mean_interval.mul_f64(self.rng.f64() * 2.0);
        self.schedule(next, SimEvent::Fault);
        self.faults += 1;
        let replicas = self.settings.replicas;
        let replica = Node::Replica(self.rng.usize(0..replicas));
        let dispatcher = Node::Dispatcher(self.rng.usize(0..self.settings.dispatchers));
        let delay = ms(self.rng.u64(20..4000));
        match self.rng.u32(0..100) {
            0..15 => {
                self.kill(replica);
                self.schedule(delay, SimEvent::Start(replica));
            }
            15..17 => {
                for index in 0..replicas {
                    self.kill(Node::Replica(index));
                    let start_delay = ms(self.rng.u64(1..300));
                    self.schedule(start_delay, SimEvent::Start(Node::Replica(index)));
                }
            }
            17..25 => {
                self.freeze(replica);
                self.schedule(delay, SimEvent::Resume(replica));
            }
            25..40 => {
                self.freeze(dispatcher);
                self.schedule(delay, SimEvent::Resume(dispatcher));
            }
            40..55 => {
                self.kill(dispatcher);
                if self.rng.u32(0..5) > 0 {
                    self.schedule(delay, SimEvent::Start(dispatcher));
                }
            }
            55..75 => {
                let links = self.random_partition();
                self.cut_links(&links);
                self.schedule(delay, SimEvent::RestoreLinks(links));
            }
            75..88 => {
                let link = (self.rng.usize(0..replicas), self.rng.usize(0..replicas));
                self.cut_links(&[link]);
                self.schedule(delay, SimEvent::RestoreLinks(vec![link]));
            }
            88..94 => {
                self.loss_probability = 0.2;
                self.schedule(delay, SimEvent::SetLoss(0.0));
            }
            _ => {
                self.max_extra_delay = ms(3000);
                self.schedule(delay, SimEvent::SetExtraDelay(Duration::ZERO));
            }
        }
    }

    /// The links between the two sides of a random partition.
    fn random_partition(&mut self) -> Vec<(usize, usize)> {
        let side: Vec<bool> = (0..self.settings.replicas).map(|_| self.rng.bool()).collect();
        let mut links = Vec::new();
        for one in 0..side.len() {
            for other in (0..side.len()).filter(|other| side[one] != side[*other]) {
                links.push((one, other));
            }
        }
        links
    }

    fn check_all_claims(&mut self) {
        (0..self.replicas.len()).for_each(|index| self.check_claims(index));
    }

    /// The oracle: checks that every record that a replica reports in force is applied at each running dispatcher that
    /// is not in doubt.
    fn check_claims(&mut self, index: usize) {
        let machine = &mut self.replicas[index];
        let now = machine.clock.to_local(self.now);
        let Some(state) = machine.process.as_mut().filter(|_| !machine.frozen) else {
            return;
        };
        let mut claims = Vec::new();
        for name in self.published.keys() {
            if let Verdict::InForce { .. } = state.replica.in_force(name, now) {
                let record =
                    state.replica.log().get(name).expect("a record in force is in the log").record.clone();
                claims.push((name.clone(), record));
            }
        }
        self.claims_checked += claims.len() as u64;
        for (at, machine) in self.dispatchers.iter().enumerate().filter(|(_, machine)| !machine.frozen) {
            let Some(state) = &machine.process else {
                continue;
            };
            if state.subscriber.in_doubt_since(machine.clock.to_local(self.now)).is_some() {
                continue;
            }
            for (name, record) in &claims {
                if state.applied.get(name).is_none_or(|applied| applied.cmp_precedence(record).is_lt()) {
                    let violation =
                        format!("{:?}: r{index} reports {name:?} in force, d{at} lacks it", self.now);
                    self.violations.push(violation);
                }
            }
        }
    }
}

impl<T> Machine<T> {
    fn new(clock: Clock) -> Self {
        Self {
            process: None,
            generation: 0,
            frozen: false,
            inbox: Vec::new(),
            latest_timer: 0,
            clock,
            open_polls: BTreeMap::new(),
        }
    }

    fn stop(&mut self) {
        self.process = None;
        self.generation += 1;
        self.frozen = false;
        self.inbox.clear();
        self.open_polls.clear();
    }

    fn start(&mut self, process: T) {
        self.generation += 1;
        self.process = Some(process);
    }

    /// Resumes the machine. Returns whether it was frozen, and the events received meanwhile.
    fn resume(&mut self) -> (bool, Vec<SimEvent>) {
        (std::mem::take(&mut self.frozen), std::mem::take(&mut self.inbox))
    }

    /// Closes a poll. Returns whether it was open.
    fn close_poll(&mut self, generation: u64, replica: usize, connection: u64) -> bool {
        let open = self.process.is_some()
            && self.generation == generation
            && self.open_polls.get(&replica) == Some(&connection);
        if open {
            self.open_polls.remove(&replica);
        }
        open
    }
}
