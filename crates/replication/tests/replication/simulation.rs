//! A deterministic network in virtual time: replicas, dispatchers, faults, and an oracle that knows nothing of the
//! core.
//!
//! The oracle compares what dispatchers have applied with what replicas claim. It reads no watermark, no report and no
//! membership record.

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
/// Between two looks of the oracle at everything.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Names that are purged: few, so that records move up in the logs all the time.
const GROUPS: u64 = 6;
/// Bytes around a query: `GET /changes? HTTP/1.1` and a host.
const REQUEST_HEAD: usize = 60;
/// Bytes before a body: status, type and length.
const ANSWER_HEAD: usize = 90;
/// Clocks run this much too fast or too slow at most.
const DRIFT_MOST: f64 = 0.01;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One of the machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Replica(usize),
    Dispatcher(usize),
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub seed: u64,
    pub replicas: usize,
    pub dispatchers: usize,
    /// Faults come until then.
    pub faults_until: Duration,
    /// Mean span between two faults; none: no faults.
    pub fault_every: Option<Duration>,
    pub publish_every: Duration,
    pub max_batch_records: usize,
    pub replica_defences: ReplicaDefences,
    pub subscriber_defences: SubscriberDefences,
    /// Polls and answers travel as text.
    pub through_text: bool,
    /// The spans of the defaults; else a fifth of them.
    pub full_spans: bool,
    /// Between two looks of the oracle at everything; it also looks at each claim that is new if this is short.
    pub look_every: Duration,
    /// One way between two regions, in milliseconds.
    pub far_ms: (u64, u64),
}

impl Setting {
    pub fn new(seed: u64, replicas: usize, dispatchers: usize) -> Self {
        Self {
            seed,
            replicas,
            dispatchers,
            faults_until: ms(20_000),
            fault_every: Some(ms(400)),
            publish_every: ms(150),
            max_batch_records: 3,
            replica_defences: ReplicaDefences::default(),
            subscriber_defences: SubscriberDefences::default(),
            through_text: seed.is_multiple_of(4),
            full_spans: false,
            look_every: LOOK_EVERY,
            far_ms: (3, 25),
        }
    }
}

/// A clock of a machine: its own origin, and a little too fast or slow.
#[derive(Clone, Copy, Debug)]
struct Clock {
    origin: Duration,
    rate: f64,
}

impl Clock {
    fn local(self, now: Duration) -> Duration {
        self.origin + now.mul_f64(self.rate)
    }

    fn global(self, local: Duration) -> Duration {
        // Rounded up, so that what is due at a local time is due then.
        local.saturating_sub(self.origin).div_f64(self.rate) + Duration::from_micros(1)
    }
}

#[derive(Clone, Debug)]
enum Happening {
    Request { from: Node, from_life: u64, to: usize, connection: u64, request: PollRequest },
    Answer { from: usize, to: Node, to_life: u64, connection: u64, answer: PollAnswer },
    Failed { node: Node, life: u64, replica: usize, connection: u64 },
    Wake { node: Node, life: u64, alarm: u64 },
    Fault,
    Publish,
    Look,
    Start(Node),
    Thaw(Node),
    Heal(Vec<(usize, usize)>),
    Loss(f64),
    Slow(Duration),
}

struct Machine<T> {
    core: Option<T>,
    life: u64,
    frozen: bool,
    mail: Vec<Happening>,
    alarm: u64,
    clock: Clock,
    /// The connection of the open poll of each replica.
    asks: BTreeMap<usize, u64>,
}

struct ReplicaState {
    replica: Replica,
    polls: BTreeMap<PollId, (Node, u64, u64)>,
    claimed: Sequence,
}

struct DispatcherState {
    subscriber: Subscriber,
    applied: BTreeMap<RecordName, Record>,
}

/// Bytes of polls and answers, by who polls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    pub of_dispatchers: u64,
    pub of_replicas: u64,
}

impl Bytes {
    fn add(&mut self, poller: Node, bytes: usize) {
        match poller {
            Node::Replica(_) => self.of_replicas += bytes as u64,
            Node::Dispatcher(_) => self.of_dispatchers += bytes as u64,
        }
    }
}

pub struct Simulation {
    /// Counted where polls and answers travel as text.
    pub bytes: Bytes,
    pub now: Duration,
    setting: Setting,
    chance: Rng,
    queue: BTreeMap<(Duration, u64), Happening>,
    serial: u64,
    replicas: Vec<Machine<ReplicaState>>,
    dispatchers: Vec<Machine<DispatcherState>>,
    /// Regions (by the number of their replica) that don't hear each other, one way.
    cuts: BTreeMap<(usize, usize), u32>,
    loss: f64,
    slow: Duration,
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
    name.0[1..].parse().expect("a replica of the simulation")
}

impl Simulation {
    pub fn new(setting: Setting) -> Self {
        let mut chance = Rng::with_seed(setting.seed);
        let mut clock = || Clock {
            origin: ms(chance.u64(0..100_000)),
            rate: 1.0 + (chance.f64() * 2.0 - 1.0) * DRIFT_MOST,
        };
        let replicas = (0..setting.replicas).map(|_| Machine::new(clock())).collect();
        let dispatchers = (0..setting.dispatchers).map(|_| Machine::new(clock())).collect();
        let mut simulation = Self {
            bytes: Bytes::default(),
            now: ms(1),
            setting,
            chance,
            queue: BTreeMap::new(),
            serial: 0,
            replicas,
            dispatchers,
            cuts: BTreeMap::new(),
            loss: 0.0,
            slow: Duration::ZERO,
            published: BTreeMap::new(),
            violations: Vec::new(),
            claims_checked: 0,
            faults: 0,
            stop_publishing: false,
        };
        for index in 0..setting.replicas {
            simulation.after(Duration::ZERO, Happening::Start(Node::Replica(index)));
        }
        for index in 0..setting.dispatchers {
            let at = ms(simulation.chance.u64(0..3000));
            simulation.after(at, Happening::Start(Node::Dispatcher(index)));
        }
        simulation.after(ms(1500), Happening::Publish);
        simulation.after(setting.look_every, Happening::Look);
        if setting.fault_every.is_some() {
            simulation.after(ms(2500), Happening::Fault);
        }
        simulation
    }

    /// Runs to a moment, or to the first violation.
    pub fn run_until(&mut self, until: Duration) {
        while self.violations.is_empty()
            && let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), happening) = entry.remove_entry();
            self.now = self.now.max(at);
            self.take(happening);
        }
        self.now = self.now.max(until);
    }

    /// Ends all faults: what was killed starts, what is frozen runs, what is cut is joined.
    pub fn heal(&mut self) {
        self.setting.fault_every = None;
        self.cuts.clear();
        self.loss = 0.0;
        self.slow = Duration::ZERO;
        for index in 0..self.replicas.len() {
            self.thaw(Node::Replica(index));
            self.start(Node::Replica(index));
        }
        for index in 0..self.dispatchers.len() {
            self.thaw(Node::Dispatcher(index));
        }
    }

    /// Publishes again what no replica knows, as a publisher does that was not told that it is in force.
    pub fn publish_lost(&mut self) {
        self.stop_publishing = true;
        for record in self.published.values().cloned().collect::<Vec<_>>() {
            self.publish_at(0, record);
        }
    }

    /// What is not in force at some replica.
    pub fn not_in_force(&mut self) -> Vec<String> {
        let mut missing = Vec::new();
        for (index, machine) in self.replicas.iter_mut().enumerate() {
            let now = machine.clock.local(self.now);
            let Some(state) = &mut machine.core else {
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

    /// Dispatchers that run and are in doubt, or lack a record.
    pub fn lacking(&self) -> Vec<String> {
        let mut lacking = Vec::new();
        for (index, machine) in self.dispatchers.iter().enumerate() {
            let Some(state) = &machine.core else {
                continue;
            };
            if let Some(since) = state.subscriber.in_doubt_since(machine.clock.local(self.now)) {
                lacking.push(format!("d{index} in doubt since {since:?}"));
            }
            for (name, record) in &self.published {
                if state.applied.get(name).is_none_or(|applied| applied.cmp_precedence(record).is_lt()) {
                    lacking.push(format!("d{index} lacks {name:?}"));
                }
            }
        }
        lacking
    }

    pub fn verdict(&mut self, replica: usize, name: &RecordName) -> Verdict {
        let machine = &mut self.replicas[replica];
        let now = machine.clock.local(self.now);
        machine.core.as_mut().map_or(Verdict::Unknown, |state| state.replica.in_force(name, now))
    }

    pub fn replica(&self, index: usize) -> &Replica {
        &self.replicas[index].core.as_ref().expect("the replica runs").replica
    }

    pub fn subscriber(&self, index: usize) -> &Subscriber {
        &self.dispatchers[index].core.as_ref().expect("the dispatcher runs").subscriber
    }

    pub fn in_doubt_since(&self, index: usize) -> bool {
        let now = self.dispatchers[index].clock.local(self.now);
        self.subscriber(index).in_doubt_since(now).is_some()
    }

    pub fn applied(&self, index: usize, record: &Record) -> bool {
        let state = self.dispatchers[index].core.as_ref().expect("the dispatcher runs");
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

    pub fn thaw(&mut self, node: Node) {
        let (frozen, mut mail) = match node {
            Node::Replica(index) => self.replicas[index].wake(),
            Node::Dispatcher(index) => self.dispatchers[index].wake(),
        };
        if !frozen {
            return;
        }
        // Timers or messages, whichever the machine looks at first.
        if self.chance.bool() {
            self.drive(node);
        }
        if self.chance.bool() {
            self.chance.shuffle(&mut mail);
        }
        for happening in mail {
            self.take(happening);
        }
        self.drive(node);
    }

    pub fn cut(&mut self, ways: &[(usize, usize)]) {
        for way in ways {
            *self.cuts.entry(*way).or_default() += 1;
        }
    }

    pub fn join(&mut self, ways: &[(usize, usize)]) {
        for way in ways {
            if let Some(count) = self.cuts.get_mut(way) {
                *count = count.saturating_sub(1);
            }
        }
    }

    pub fn publish_at(&mut self, replica: usize, record: Record) -> bool {
        let machine = &mut self.replicas[replica];
        let now = machine.clock.local(self.now);
        let Some(state) = machine.core.as_mut().filter(|_| !machine.frozen) else {
            return false;
        };
        if state.replica.publish(record.clone(), now).is_err() {
            return false;
        }
        let known = self.published.get(&record.name());
        if known.is_none_or(|known| record.cmp_precedence(known).is_gt()) {
            self.published.insert(record.name(), record);
        }
        self.drive(Node::Replica(replica));
        true
    }

    pub fn start(&mut self, node: Node) {
        match node {
            Node::Replica(index) if self.replicas[index].core.is_none() => {
                let state = self.new_replica(index);
                self.replicas[index].start(state);
            }
            Node::Dispatcher(index) if self.dispatchers[index].core.is_none() => {
                let state = self.new_dispatcher(index);
                self.dispatchers[index].start(state);
            }
            _ => return,
        }
        self.drive(node);
    }

    fn new_replica(&self, index: usize) -> ReplicaState {
        let peers = (0..self.setting.replicas).filter(|peer| *peer != index).map(replica_name).collect();
        let mut config = ReplicaConfig::new(replica_name(index), peers, Incarnation(self.unix_ms()));
        config.max_batch_records = self.setting.max_batch_records;
        if !self.setting.full_spans {
            config.batch_interval = ms(20);
            config.peer_timeout = ms(200);
            config.peer_timeout_margin = ms(150);
            config.peer_retry_delay = ms(40);
            config.doubt_after = ms(600);
            config.member_lease = ms(2000);
            config.quorum_window = ms(600);
            config.start_up_hold = ms(1000);
        }
        config.defences = self.setting.replica_defences;
        let now = self.replicas[index].clock.local(self.now);
        let replica = Replica::new(config, now).expect("a good configuration");
        ReplicaState { replica, polls: BTreeMap::new(), claimed: Sequence(0) }
    }

    fn new_dispatcher(&mut self, index: usize) -> DispatcherState {
        let replicas = self.setting.replicas;
        let fallback = (replicas > 1).then(|| replica_name((index + 1) % replicas));
        let name = format!("d{index}").as_str().into();
        let primary = replica_name(index % replicas);
        let mut config = SubscriberConfig::new(name, Incarnation(self.unix_ms()), primary, fallback);
        if !self.setting.full_spans {
            config.poll_timeout = ms(200);
            config.poll_timeout_margin = ms(100);
            config.retry_delay = ms(40);
            config.doubt_after = ms(600);
            config.attach_timeout = ms(1200);
            config.probe_interval = ms(200);
            config.return_after = ms(1000);
            config.return_jitter = ms(2000);
        }
        config.seed = self.chance.u64(..);
        config.defences = self.setting.subscriber_defences;
        let now = self.dispatchers[index].clock.local(self.now);
        let subscriber = Subscriber::new(config, now).expect("a good configuration");
        DispatcherState { subscriber, applied: BTreeMap::new() }
    }

    fn after(&mut self, span: Duration, happening: Happening) {
        self.serial += 1;
        self.queue.insert((self.now + span, self.serial), happening);
    }

    fn region(&self, node: Node) -> usize {
        match node {
            Node::Replica(index) => index,
            Node::Dispatcher(index) => index % self.setting.replicas,
        }
    }

    /// Sends a message, which may be lost, or late.
    fn send(&mut self, from: Node, to: Node, happening: Happening) {
        let way = (self.region(from), self.region(to));
        if self.cuts.get(&way).is_some_and(|count| *count > 0) || self.chance.f64() < self.loss {
            return;
        }
        let near = way.0 == way.1;
        let mut delay =
            if near { ms(1) } else { ms(self.chance.u64(self.setting.far_ms.0..self.setting.far_ms.1)) };
        if self.slow > Duration::ZERO && self.chance.u32(0..4) == 0 {
            delay += self.slow.mul_f64(self.chance.f64());
        }
        self.after(delay, happening);
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Request { to, .. } => {
                if self.replicas[to].frozen {
                    return self.replicas[to].mail.push(happening);
                }
                self.take_request(happening);
            }
            Happening::Answer { to, .. } => {
                if self.is_frozen(to) {
                    return self.keep_mail(to, happening);
                }
                self.take_answer(happening);
            }
            Happening::Failed { node, life, replica, connection } => {
                if self.is_frozen(node) {
                    return self.keep_mail(node, happening);
                }
                self.take_failure(node, life, replica, connection);
            }
            Happening::Wake { node, life, alarm } => {
                if self.life(node) == life && *self.alarm(node) == alarm {
                    self.drive(node);
                }
            }
            Happening::Fault => self.fault(),
            Happening::Publish => self.publish(),
            Happening::Look => {
                self.look_at_all();
                self.after(self.setting.look_every, Happening::Look);
            }
            Happening::Start(node) => self.start(node),
            Happening::Thaw(node) => self.thaw(node),
            Happening::Heal(ways) => self.join(&ways),
            Happening::Loss(loss) => self.loss = loss,
            Happening::Slow(slow) => self.slow = slow,
        }
    }

    fn is_frozen(&self, node: Node) -> bool {
        match node {
            Node::Replica(index) => self.replicas[index].frozen,
            Node::Dispatcher(index) => self.dispatchers[index].frozen,
        }
    }

    fn keep_mail(&mut self, node: Node, happening: Happening) {
        match node {
            Node::Replica(index) => self.replicas[index].mail.push(happening),
            Node::Dispatcher(index) => self.dispatchers[index].mail.push(happening),
        }
    }

    fn life(&self, node: Node) -> u64 {
        match node {
            Node::Replica(index) => self.replicas[index].life,
            Node::Dispatcher(index) => self.dispatchers[index].life,
        }
    }

    fn take_request(&mut self, happening: Happening) {
        let Happening::Request { from, from_life, to, connection, request } = happening else {
            return;
        };
        let machine = &mut self.replicas[to];
        let now = machine.clock.local(self.now);
        let Some(state) = &mut machine.core else {
            // Refused by the machine.
            let failed = Happening::Failed { node: from, life: from_life, replica: to, connection };
            return self.send(Node::Replica(to), from, failed);
        };
        let id = PollId(connection);
        state.polls.insert(id, (from, from_life, connection));
        match state.replica.poll(id, request, now) {
            Ok(()) => {}
            Err(error) if error.is_answered() => {}
            Err(error) => panic!("a poll was refused: {error}"),
        }
        self.drive(Node::Replica(to));
    }

    fn take_answer(&mut self, happening: Happening) {
        let Happening::Answer { from, to, to_life, connection, answer } = happening else {
            return;
        };
        let name = replica_name(from);
        match to {
            Node::Replica(index) => {
                let machine = &mut self.replicas[index];
                if !machine.is_open(to_life, from, connection) {
                    return;
                }
                let now = machine.clock.local(self.now);
                let state = machine.core.as_mut().expect("a life that runs");
                match state.replica.on_peer_answer(&name, answer, now) {
                    // It was given up at once after a freeze.
                    Ok(()) | Err(AnswerError::Unsolicited(_)) => {}
                    Err(error) => panic!("an answer was refused: {error}"),
                }
            }
            Node::Dispatcher(index) => {
                let machine = &mut self.dispatchers[index];
                if !machine.is_open(to_life, from, connection) {
                    return;
                }
                let now = machine.clock.local(self.now);
                let state = machine.core.as_mut().expect("a life that runs");
                match state.subscriber.on_answer(&name, answer, now) {
                    Ok(taken) => {
                        state.applied.extend(taken.records.into_iter().map(|record| (record.name(), record)));
                    }
                    // The choice has changed since.
                    Err(AnswerError::Unsolicited(_)) => {}
                    Err(error) => panic!("an answer was refused: {error}"),
                }
            }
        }
        self.drive(to);
    }

    fn take_failure(&mut self, node: Node, life: u64, replica: usize, connection: u64) {
        let name = replica_name(replica);
        match node {
            Node::Replica(index) => {
                let machine = &mut self.replicas[index];
                if machine.is_open(life, replica, connection) {
                    let now = machine.clock.local(self.now);
                    machine.core.as_mut().expect("a life that runs").replica.on_peer_failure(&name, now);
                }
            }
            Node::Dispatcher(index) => {
                let machine = &mut self.dispatchers[index];
                if machine.is_open(life, replica, connection) {
                    let now = machine.clock.local(self.now);
                    machine.core.as_mut().expect("a life that runs").subscriber.on_failure(&name, now);
                }
            }
        }
        self.drive(node);
    }

    /// Lets a machine do what it has to do now, and sets its alarm.
    fn drive(&mut self, node: Node) {
        if self.is_frozen(node) {
            return;
        }
        match node {
            Node::Replica(index) => self.drive_replica(index),
            Node::Dispatcher(index) => self.drive_dispatcher(index),
        }
    }

    fn drive_replica(&mut self, index: usize) {
        let machine = &mut self.replicas[index];
        let (clock, life) = (machine.clock, machine.life);
        let now = clock.local(self.now);
        let Some(state) = &mut machine.core else {
            return;
        };
        state.replica.tick(now);
        let mut answers = Vec::new();
        while let Some((id, answer)) = state.replica.next_answer(now) {
            let (to, to_life, connection) = state.polls.remove(&id).expect("a poll that came");
            answers.push((to, Happening::Answer { from: index, to, to_life, connection, answer }));
        }
        let mut asks = Vec::new();
        while let Some(ask) = state.replica.next_poll(now) {
            asks.push((ask.to, ask.request, ask.deadline));
        }
        let next = state.replica.next_wakeup();
        let watermark = state.replica.fleet_watermark(now);
        let rose = watermark > state.claimed;
        state.claimed = watermark;
        for (to, answer) in answers {
            let answer = self.as_text(answer);
            self.send(Node::Replica(index), to, answer);
        }
        for (to, request, deadline) in asks {
            self.ask(Node::Replica(index), life, clock, &to, request, deadline);
        }
        if let Some(at) = next {
            self.set_alarm(Node::Replica(index), life, clock.global(at));
        }
        if rose && self.setting.look_every <= LOOK_EVERY {
            self.look_at(index);
        }
    }

    fn drive_dispatcher(&mut self, index: usize) {
        let machine = &mut self.dispatchers[index];
        let (clock, life) = (machine.clock, machine.life);
        let now = clock.local(self.now);
        let Some(state) = &mut machine.core else {
            return;
        };
        let mut asks = Vec::new();
        while let Some(ask) = state.subscriber.next_poll(now) {
            asks.push((ask.to, ask.request, ask.deadline));
        }
        let next = state.subscriber.next_wakeup(now);
        for (to, request, deadline) in asks {
            self.ask(Node::Dispatcher(index), life, clock, &to, request, deadline);
        }
        if let Some(at) = next {
            self.set_alarm(Node::Dispatcher(index), life, clock.global(at));
        }
    }

    /// One alarm of a machine counts: the one set last.
    fn set_alarm(&mut self, node: Node, life: u64, at: Duration) {
        let span = at.saturating_sub(self.now).max(Duration::from_micros(10));
        self.serial += 1;
        let alarm = self.serial;
        *self.alarm(node) = alarm;
        self.after(span, Happening::Wake { node, life, alarm });
    }

    fn alarm(&mut self, node: Node) -> &mut u64 {
        match node {
            Node::Replica(index) => &mut self.replicas[index].alarm,
            Node::Dispatcher(index) => &mut self.dispatchers[index].alarm,
        }
    }

    fn ask(
        &mut self,
        from: Node,
        life: u64,
        clock: Clock,
        to: &ReplicaName,
        request: PollRequest,
        deadline: Duration,
    ) {
        let to = replica_index(to);
        self.serial += 1;
        let connection = self.serial;
        let asks = match from {
            Node::Replica(index) => &mut self.replicas[index].asks,
            Node::Dispatcher(index) => &mut self.dispatchers[index].asks,
        };
        asks.insert(to, connection);
        let span = clock.global(deadline).saturating_sub(self.now);
        self.after(span, Happening::Failed { node: from, life, replica: to, connection });
        let query = request.to_query();
        self.bytes.add(from, query.len() + REQUEST_HEAD);
        let request = match self.setting.through_text {
            true => PollRequest::from_query(&query).expect("it reads what it writes"),
            false => request,
        };
        self.send(
            from,
            Node::Replica(to),
            Happening::Request { from, from_life: life, to, connection, request },
        );
    }

    fn as_text(&mut self, happening: Happening) -> Happening {
        match happening {
            Happening::Answer { from, to, to_life, connection, answer } if self.setting.through_text => {
                let json = answer.to_json();
                self.bytes.add(to, json.len() + ANSWER_HEAD);
                let answer = PollAnswer::from_json(&json).expect("it reads what it writes");
                Happening::Answer { from, to, to_life, connection, answer }
            }
            other => other,
        }
    }

    fn publish(&mut self) {
        if self.stop_publishing {
            return;
        }
        let span = self.setting.publish_every.mul_f64(self.chance.f64() * 2.0);
        self.after(span, Happening::Publish);
        let replica = self.chance.usize(0..self.setting.replicas);
        let record = if self.chance.u32(0..8) == 0 {
            let version = Version(self.unix_ms());
            Record::Configuration(Configuration {
                name: "limits".to_owned(),
                version,
                body: version.0.into(),
            })
        } else {
            let target = PurgeTarget::Group(self.chance.u64(0..GROUPS));
            // Publishers' clocks differ.
            let unix_ms = self.unix_ms() + self.chance.u64(0..200);
            Record::Purge(Purge { target, unix_ms })
        };
        self.publish_at(replica, record);
    }

    fn fault(&mut self) {
        let Some(every) = self.setting.fault_every.filter(|_| self.now < self.setting.faults_until) else {
            return;
        };
        let next = every.mul_f64(self.chance.f64() * 2.0);
        self.after(next, Happening::Fault);
        self.faults += 1;
        let replicas = self.setting.replicas;
        let replica = Node::Replica(self.chance.usize(0..replicas));
        let dispatcher = Node::Dispatcher(self.chance.usize(0..self.setting.dispatchers));
        let span = ms(self.chance.u64(20..4000));
        match self.chance.u32(0..100) {
            0..15 => {
                self.kill(replica);
                self.after(span, Happening::Start(replica));
            }
            15..17 => {
                for index in 0..replicas {
                    self.kill(Node::Replica(index));
                    let late = ms(self.chance.u64(1..300));
                    self.after(late, Happening::Start(Node::Replica(index)));
                }
            }
            17..25 => {
                self.freeze(replica);
                self.after(span, Happening::Thaw(replica));
            }
            25..40 => {
                self.freeze(dispatcher);
                self.after(span, Happening::Thaw(dispatcher));
            }
            40..55 => {
                self.kill(dispatcher);
                if self.chance.u32(0..5) > 0 {
                    self.after(span, Happening::Start(dispatcher));
                }
            }
            55..75 => {
                let ways = self.random_parting();
                self.cut(&ways);
                self.after(span, Happening::Heal(ways));
            }
            75..88 => {
                let way = (self.chance.usize(0..replicas), self.chance.usize(0..replicas));
                self.cut(&[way]);
                self.after(span, Happening::Heal(vec![way]));
            }
            88..94 => {
                self.loss = 0.2;
                self.after(span, Happening::Loss(0.0));
            }
            _ => {
                self.slow = ms(3000);
                self.after(span, Happening::Slow(Duration::ZERO));
            }
        }
    }

    /// The ways between two random sides.
    fn random_parting(&mut self) -> Vec<(usize, usize)> {
        let side: Vec<bool> = (0..self.setting.replicas).map(|_| self.chance.bool()).collect();
        let mut ways = Vec::new();
        for one in 0..side.len() {
            for other in (0..side.len()).filter(|other| side[one] != side[*other]) {
                ways.push((one, other));
            }
        }
        ways
    }

    fn look_at_all(&mut self) {
        (0..self.replicas.len()).for_each(|index| self.look_at(index));
    }

    /// The oracle: what a replica says is in force is applied at each dispatcher that runs and is not in doubt.
    fn look_at(&mut self, index: usize) {
        let machine = &mut self.replicas[index];
        let now = machine.clock.local(self.now);
        let Some(state) = machine.core.as_mut().filter(|_| !machine.frozen) else {
            return;
        };
        let mut claims = Vec::new();
        for name in self.published.keys() {
            if let Verdict::InForce { .. } = state.replica.in_force(name, now) {
                let record = state.replica.log().get(name).expect("it is in force").record.clone();
                claims.push((name.clone(), record));
            }
        }
        self.claims_checked += claims.len() as u64;
        for (at, machine) in self.dispatchers.iter().enumerate().filter(|(_, machine)| !machine.frozen) {
            let Some(state) = &machine.core else {
                continue;
            };
            if state.subscriber.in_doubt_since(machine.clock.local(self.now)).is_some() {
                continue;
            }
            for (name, record) in &claims {
                if state.applied.get(name).is_none_or(|applied| applied.cmp_precedence(record).is_lt()) {
                    let says = format!("{:?}: r{index} says {name:?} is in force, d{at} lacks it", self.now);
                    self.violations.push(says);
                }
            }
        }
    }
}

impl<T> Machine<T> {
    fn new(clock: Clock) -> Self {
        Self { core: None, life: 0, frozen: false, mail: Vec::new(), alarm: 0, clock, asks: BTreeMap::new() }
    }

    fn stop(&mut self) {
        self.core = None;
        self.life += 1;
        self.frozen = false;
        self.mail.clear();
        self.asks.clear();
    }

    fn start(&mut self, core: T) {
        self.life += 1;
        self.core = Some(core);
    }

    /// Whether it was frozen, and what came meanwhile.
    fn wake(&mut self) -> (bool, Vec<Happening>) {
        (std::mem::take(&mut self.frozen), std::mem::take(&mut self.mail))
    }

    /// Whether a poll is still waited for.
    fn is_open(&mut self, life: u64, replica: usize, connection: u64) -> bool {
        let open = self.core.is_some() && self.life == life && self.asks.get(&replica) == Some(&connection);
        if open {
            self.asks.remove(&replica);
        }
        open
    }
}
