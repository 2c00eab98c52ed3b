//! All decisions of the library: budgets, retries and their destination, pauses, and the rate of reconnects. The module
//! has no I/O and no clock. The driver calls `Core::round(now, &mut sink, |round| …)` once per batch of events, with one
//! call on `Round` per event; the resulting actions go into `sink`.

use crate::dispatcher_state::{DispatcherState, SLOW_START_STEP};
use crate::terms::*;
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Attempts of one GET. A third failure shows that the fault is not limited to one dispatcher.
const MAX_ATTEMPTS: u32 = 3;
/// Requests open on one connection; the protocol sets the limit.
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// Connections to one dispatcher. With two of them, a lost connection takes down only half of the requests.
const MAX_CONNECTIONS_PER_DISPATCHER: usize = 2;
/// Calls above this number in flight are shed at once.
const MAX_CALLS_IN_FLIGHT: usize = 4096;
/// Shortest pause after a refusal: a requested pause of zero would make the client loop.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after a refusal: a pause of a year is a mistake, and a tablet must come back within the shift.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Pause after a refusal that requests none, or an invalid one.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);
/// A connection that is not established within this time is closed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A dispatcher that sends nothing is waited for this many times its mean answer time, and at least for the minimum,
/// before the GET goes to another one.
const SILENCE_FACTOR: f64 = 6.0;
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
pub type CallId = usize;
pub type ConnectionId = usize;

/// Identifies an attempt and the GET that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub id: u64,
    /// Id of the first attempt, which identifies the GET.
    pub first_id: u64,
    /// 0 for the first attempt.
    pub attempt: u32,
}

/// Receives the actions of the core, in order.
pub trait ActionSink {
    /// Opens a connection to a dispatcher.
    fn connect(&mut self, connection: ConnectionId, dispatcher: usize);
    fn send(
        &mut self,
        connection: ConnectionId,
        number: u16,
        call: CallId,
        attempt_id: AttemptId,
        remaining: Duration,
    );
    /// Ends an attempt that nobody waits for any more: withdraws its request if no byte of it was sent, else tells the
    /// dispatcher to abort it. Returns `NotWhole` only if the request can't reach the dispatcher whole any more.
    fn abort(&mut self, connection: ConnectionId, number: u16) -> Reached;
    /// The first number, from this one on, under which no request is open on a connection, and none is aborted whose end
    /// was not read. `None` if so many aborted ones have no end that the connection takes no more requests.
    fn free_number(&self, connection: ConnectionId, from: u16) -> Option<u16>;
    /// Closes a connection. Its id may be reused afterwards.
    fn close(&mut self, connection: ConnectionId);
    /// Reports the one outcome of a call. Its id may be reused afterwards. The bytes of a returned answer are with the
    /// driver.
    fn finish(&mut self, call: CallId, outcome: CallOutcome);
    fn record_resend(&mut self, resend: &Resend);
}

/// The outcome of a call. The answer that belongs to `Returned` is with the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Returned,
    Shed { reason: ShedReason, retry_after: Duration },
    Errored,
    MayHaveRun,
    OutOfTime,
}

/// The answer of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatcherAnswer {
    Returned,
    /// With the requested pause in milliseconds, if the refusal has a number.
    Shed(Option<f64>),
    Errored,
    /// It can't be used.
    Malformed,
}

/// The FastCGI request id after another one. Zero is reserved for the connection.
pub fn number_after(number: u16) -> u16 {
    number.checked_add(1).unwrap_or(1)
}

/// Whether and where a GET may be retried after an attempt; no other code decides this. A dispatcher accepts a request
/// only when it has all of it, so a request that was not sent in full is proven not to have run. A refusal proves the same.
pub fn retry_scope(effect: Effect, end: End, reached: Reached) -> RetryScope {
    match (effect, end, reached) {
        (_, _, Reached::NotWhole) | (_, End::Shed, _) | (Effect::Idempotent, ..) => RetryScope::Anywhere,
        (Effect::Tokened { .. }, ..) => RetryScope::SameGroup,
        (Effect::NonIdempotent, ..) => RetryScope::Never,
    }
}

/// The pause that follows a refusal: the requested one within the limits, or the default.
pub fn pause_after_refusal(requested_ms: Option<f64>) -> Duration {
    let requested = requested_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let requested = requested.map(|ms| Duration::try_from_secs_f64(ms / 1e3).unwrap_or(MAX_PAUSE));
    requested.unwrap_or(DEFAULT_PAUSE).clamp(MIN_PAUSE, MAX_PAUSE)
}

struct Call {
    service: usize,
    budget: Duration,
    accepted_at: Duration,
    first_id: u64,
    attempts: u32,
    /// Connection and request number of the attempt in flight.
    in_flight: Option<(ConnectionId, u16)>,
    /// Group of the first dispatcher that may have run the GET, and when it was sent there.
    may_have_run: Option<(u64, Duration)>,
    /// End of the last failed attempt, how far its bytes got, and its dispatcher.
    last_failure: Option<(End, Reached, usize)>,
    /// Pause of the last refusal by a dispatcher.
    refusal_pause: Option<Duration>,
}

struct OpenRequest {
    number: u16,
    call: CallId,
    sent_at: Duration,
    /// When the connection counts as silent if nothing was read since the request was sent.
    overdue_at: Duration,
}

struct Connection {
    dispatcher: usize,
    is_up: bool,
    opened_at: Duration,
    last_read_at: Duration,
    next_number: u16,
    open: Vec<OpenRequest>,
}

/// The state of a client: calls, connections, and what is known of each dispatcher.
pub struct Core {
    services: Vec<Service>,
    dispatchers: Vec<DispatcherState>,
    calls: Slab<Call>,
    connections: Slab<Connection>,
    /// Calls that wait for a connection or for capacity on one.
    waiting: VecDeque<CallId>,
    deadlines: BTreeSet<(Duration, CallId)>,
    rng: fastrand::Rng,
    now: Duration,
}

impl Core {
    pub fn new(services: Vec<Service>, dispatchers: Vec<Dispatcher>, seed: u64) -> Self {
        Self {
            services,
            dispatchers: dispatchers.into_iter().map(DispatcherState::new).collect(),
            calls: Slab::new(),
            connections: Slab::new(),
            waiting: VecDeque::new(),
            deadlines: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
        }
    }

    /// Runs one round with all events at `now`. A clock that goes back is treated as standing still.
    pub fn round<C: ActionSink, T>(
        &mut self,
        now: Duration,
        sink: &mut C,
        handle_events: impl FnOnce(&mut Round<'_, C>) -> T,
    ) -> T {
        self.now = self.now.max(now);
        let mut round = Round { core: self, sink };
        let result = handle_events(&mut round);
        round.finish_round();
        result
    }

    /// When the next round is due if there are no events.
    pub fn next_deadline(&self) -> Option<Duration> {
        let call_deadline = self.deadlines.first().map(|(at, _)| *at);
        let silence_deadline = self
            .connections
            .iter()
            .flat_map(|(_, connection)| connection.open.iter().map(|open| open.overdue_at))
            .min();
        let connect_deadline = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_up)
            .map(|(_, connection)| connection.opened_at + CONNECT_TIMEOUT)
            .min();
        let waiting_deadline = (!self.waiting.is_empty()).then(|| self.next_available_at()).flatten();
        [call_deadline, silence_deadline, connect_deadline, waiting_deadline].into_iter().flatten().min()
    }

    /// When a waiting call may find an available dispatcher.
    fn next_available_at(&self) -> Option<Duration> {
        let slow_start_step = |dispatcher_state: &DispatcherState| {
            dispatcher_state.recovered_at.map(|_| self.now + SLOW_START_STEP / 2)
        };
        let next_time = |dispatcher_state: &DispatcherState| {
            let available_at = dispatcher_state.available_at().max(dispatcher_state.pause_until);
            Some(available_at).filter(|&at| at > self.now).or(slow_start_step(dispatcher_state))
        };
        self.dispatchers.iter().filter_map(next_time).min()
    }

    /// Number of calls without an outcome.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The service of a call in flight.
    pub fn service_of(&self, call: CallId) -> Option<usize> {
        self.calls.get(call).map(|call| call.service)
    }

    fn in_flight_at(&self, dispatcher: usize) -> usize {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.dispatcher == dispatcher)
            .map(|(_, connection)| connection.open.len())
            .sum()
    }

    /// Shortest time within which an answer of the dispatcher can be expected.
    fn min_answer_time(&self, dispatcher: usize) -> Duration {
        Duration::from_secs_f64(self.dispatchers[dispatcher].mean_answer_s / 2.0)
    }
}

/// One round of the core: takes the events of a batch.
pub struct Round<'a, C: ActionSink> {
    core: &'a mut Core,
    sink: &'a mut C,
}

impl<C: ActionSink> Round<'_, C> {
    pub fn sink(&mut self) -> &mut C {
        self.sink
    }

    /// Accepts a call. Returns the id under which its outcome is reported, which may happen before this returns.
    pub fn on_call(&mut self, service: usize, budget: Duration) -> CallId {
        let core = &mut *self.core;
        let is_full = core.calls.len() >= MAX_CALLS_IN_FLIGHT;
        let call = core.calls.insert(Call {
            service,
            budget,
            accepted_at: core.now,
            first_id: core.rng.u64(..),
            attempts: 0,
            in_flight: None,
            may_have_run: None,
            last_failure: None,
            refusal_pause: None,
        });
        core.deadlines.insert((core.now + budget, call));
        if is_full {
            self.finish(call, CallOutcome::Shed { reason: ShedReason::Full, retry_after: DEFAULT_PAUSE });
        } else if service >= core.services.len() {
            self.finish(call, CallOutcome::Errored);
        } else {
            self.decide(call);
        }
        call
    }

    /// The caller has abandoned the call.
    pub fn on_abandoned(&mut self, call: CallId) {
        if self.core.calls.contains(call) {
            self.remove_call(call);
        }
    }

    pub fn on_connected(&mut self, connection: ConnectionId) {
        let now = self.core.now;
        if let Some(connection) = self.core.connections.get_mut(connection) {
            (connection.is_up, connection.last_read_at) = (true, now);
            self.core.dispatchers[connection.dispatcher].record_connection(now);
        }
    }

    /// Bytes of any kind were read.
    pub fn on_bytes_read(&mut self, connection: ConnectionId) {
        let now = self.core.now;
        if let Some(connection) = self.core.connections.get_mut(connection) {
            connection.last_read_at = now;
        }
    }

    /// A connection has ended. `reached` returns how far the bytes of a request got, by request number.
    pub fn on_connection_lost(
        &mut self,
        connection: ConnectionId,
        end: End,
        reached: impl Fn(u16) -> Reached,
    ) {
        let core = &mut *self.core;
        let Some(ended) = core.connections.try_remove(connection) else { return };
        self.sink.close(connection);
        let dispatcher_state = &mut core.dispatchers[ended.dispatcher];
        dispatcher_state.record_loss(core.now, &mut core.rng);
        // All requests lost with one connection count as one failure of the dispatcher.
        dispatcher_state.record_outcome(false, core.now);
        for open in ended.open {
            self.on_attempt_failed(open.call, ended.dispatcher, open.sent_at, end, reached(open.number));
        }
    }

    /// A complete answer was read.
    pub fn on_answer(&mut self, connection: ConnectionId, number: u16, answer: DispatcherAnswer) {
        let core = &mut *self.core;
        let now = core.now;
        let Some(sent_on) = core.connections.get_mut(connection) else { return };
        sent_on.last_read_at = now;
        let Some(index) = sent_on.open.iter().position(|open| open.number == number) else { return };
        let (open, dispatcher) = (sent_on.open.swap_remove(index), sent_on.dispatcher);
        let dispatcher_state = &mut core.dispatchers[dispatcher];
        let answer_time = now.saturating_sub(open.sent_at);
        match answer {
            DispatcherAnswer::Returned => {
                dispatcher_state.record_answer(answer_time, now);
                self.finish(open.call, CallOutcome::Returned);
            }
            DispatcherAnswer::Shed(requested_ms) => {
                // The dispatcher is alive and requests a pause for this GET and all others.
                let pause = pause_after_refusal(requested_ms);
                dispatcher_state.record_refusal(pause, now);
                core.calls[open.call].refusal_pause = Some(pause);
                self.on_attempt_failed(open.call, dispatcher, open.sent_at, End::Shed, Reached::Whole);
            }
            DispatcherAnswer::Errored => {
                dispatcher_state.record_outcome(false, now);
                self.on_attempt_failed(open.call, dispatcher, open.sent_at, End::Errored, Reached::Whole);
            }
            DispatcherAnswer::Malformed => {
                dispatcher_state.record_outcome(false, now);
                self.on_attempt_failed(open.call, dispatcher, open.sent_at, End::Spoilt, Reached::Whole);
            }
        }
    }

    /// An attempt ended without an answer that returns its call.
    fn on_attempt_failed(
        &mut self,
        call: CallId,
        dispatcher: usize,
        sent_at: Duration,
        end: End,
        reached: Reached,
    ) {
        let core = &mut *self.core;
        let Some(failed_call) = core.calls.get_mut(call) else { return };
        failed_call.in_flight = None;
        failed_call.last_failure = Some((end, reached, dispatcher));
        let scope = retry_scope(core.services[failed_call.service].effect, end, reached);
        if reached == Reached::Whole && end != End::Shed {
            self.record_possible_run(call, dispatcher, sent_at);
        }
        if scope == RetryScope::Never {
            return self.finish(call, CallOutcome::MayHaveRun);
        }
        self.decide(call);
    }

    /// Records that an attempt of a call, sent to a dispatcher at this time, may have run or may still run.
    fn record_possible_run(&mut self, call: CallId, dispatcher: usize, sent_at: Duration) {
        let core = &mut *self.core;
        let group = core.dispatchers[dispatcher].dispatcher.group;
        core.calls[call].may_have_run.get_or_insert((group, sent_at));
    }

    /// Whether the effect of a call allows it to go to a dispatcher.
    fn may_be_sent_to(&self, call: CallId, dispatcher: usize) -> bool {
        let (core, checked) = (&*self.core, &self.core.calls[call]);
        match (core.services[checked.service].effect, checked.may_have_run) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::Tokened { window }, Some((group, sent_at))) => {
                core.dispatchers[dispatcher].dispatcher.group == group && core.now < sent_at + window
            }
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }

    /// Sends a call, queues it, or gives it up.
    fn decide(&mut self, call: CallId) {
        let core = &*self.core;
        let (pending, now) = (&core.calls[call], core.now);
        let remaining = (pending.accepted_at + pending.budget).saturating_sub(now);
        if remaining.is_zero() || pending.attempts >= MAX_ATTEMPTS {
            return self.give_up(call, ShedReason::NoDispatcher);
        }
        let needs_credit = pending.attempts > 0
            && pending.last_failure.is_some_and(|(_, reached, _)| reached == Reached::Whole);
        let last_dispatcher = pending.last_failure.map(|(.., dispatcher)| dispatcher);
        let (mut best, mut credit_spent, mut paused_until, mut available_at) =
            (None, false, None::<Duration>, None::<Duration>);
        for dispatcher in 0..core.dispatchers.len() {
            let dispatcher_state = &core.dispatchers[dispatcher];
            if !self.may_be_sent_to(call, dispatcher) {
                continue;
            }
            if now < dispatcher_state.pause_until {
                paused_until = Some(
                    paused_until
                        .map_or(dispatcher_state.pause_until, |at| at.min(dispatcher_state.pause_until)),
                );
                continue;
            }
            let next_time = dispatcher_state.available_at();
            if next_time > now {
                available_at = Some(available_at.map_or(next_time, |at| at.min(next_time)));
                continue;
            }
            if remaining <= core.min_answer_time(dispatcher) {
                continue;
            }
            if needs_credit && dispatcher_state.retry_credit < 1.0 {
                credit_spent = true;
                continue;
            }
            // Prefers the dispatcher with the fewest GETs in flight, and any other to the one that failed the last attempt.
            let in_flight = core.in_flight_at(dispatcher);
            if in_flight >= dispatcher_state.max_in_flight(now) {
                available_at =
                    Some(available_at.map_or(now + SLOW_START_STEP, |at| at.min(now + SLOW_START_STEP)));
                continue;
            }
            let rank = (last_dispatcher == Some(dispatcher), in_flight);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, dispatcher));
            }
        }
        match best {
            Some((_, dispatcher)) => self.send(call, dispatcher, needs_credit),
            None if credit_spent => self.give_up(call, ShedReason::RetriesSpent),
            // Waits for a dispatcher to become available if that leaves time for an answer.
            None if available_at.is_some_and(|at| at + MIN_PAUSE < now + remaining) => self.queue(call),
            None if paused_until.is_some() => self.give_up(call, ShedReason::BackingOff),
            None => self.give_up(call, ShedReason::NoDispatcher),
        }
    }

    fn queue(&mut self, call: CallId) {
        if !self.core.waiting.contains(&call) {
            self.core.waiting.push_back(call);
        }
    }

    /// Sends a call on the connection with the fewest requests. Opens another connection if that one is busy, and queues
    /// the call if none is established.
    fn send(&mut self, call: CallId, dispatcher: usize, needs_credit: bool) {
        let core = &mut *self.core;
        let is_at = |connection: &Connection| connection.dispatcher == dispatcher;
        let usable = core.connections.iter().filter(|(_, connection)| {
            is_at(connection) && connection.is_up && connection.open.len() < MAX_REQUESTS_PER_CONNECTION
        });
        let sink = &*self.sink;
        let numbered = usable.filter_map(|(id, connection)| {
            let number = sink.free_number(id, connection.next_number)?;
            Some((connection.open.len(), id, number))
        });
        let least_loaded = numbered.min().map(|(_, id, number)| (id, number));
        let count = core.connections.iter().filter(|(_, connection)| is_at(connection)).count();
        let is_connecting =
            core.connections.iter().any(|(_, connection)| is_at(connection) && !connection.is_up);
        let is_busy = least_loaded.is_none_or(|(id, _)| !core.connections[id].open.is_empty());
        if is_busy && count < MAX_CONNECTIONS_PER_DISPATCHER && !is_connecting {
            let connection = Connection {
                dispatcher,
                is_up: false,
                opened_at: core.now,
                last_read_at: core.now,
                next_number: 1,
                open: Vec::new(),
            };
            let connection = core.connections.insert(connection);
            self.sink.connect(connection, dispatcher);
        }
        let Some((connection, number)) = least_loaded else { return self.queue(call) };
        let core = &mut *self.core;
        let now = core.now;
        let dispatcher_state = &mut core.dispatchers[dispatcher];
        let sent_call = &mut core.calls[call];
        if sent_call.attempts == 0 {
            dispatcher_state.add_retry_credit();
        } else if needs_credit {
            dispatcher_state.retry_credit -= 1.0;
        }
        let id = if sent_call.attempts == 0 { sent_call.first_id } else { core.rng.u64(..) };
        let attempt_id = AttemptId { id, first_id: sent_call.first_id, attempt: sent_call.attempts };
        if let Some((end, reached, from)) = sent_call.last_failure {
            self.sink.record_resend(&Resend {
                first_id: sent_call.first_id,
                attempt: sent_call.attempts,
                end,
                reached,
                from,
                to: dispatcher,
            });
        }
        let remaining = (sent_call.accepted_at + sent_call.budget).saturating_sub(now);
        let silence_timeout =
            Duration::from_secs_f64(dispatcher_state.mean_answer_s * SILENCE_FACTOR).max(MIN_SILENCE_TIMEOUT);
        let sent_on = &mut core.connections[connection];
        sent_on.next_number = number_after(number);
        sent_on.open.push(OpenRequest { number, call, sent_at: now, overdue_at: now + silence_timeout });
        sent_call.in_flight = Some((connection, number));
        sent_call.attempts += 1;
        self.sink.send(connection, number, call, attempt_id, remaining);
    }

    /// Finishes a call that was not returned. Its attempt in flight, if there is one, may have run unless it was withdrawn.
    fn give_up(&mut self, call: CallId, reason: ShedReason) {
        self.abort_attempt(call);
        let (core, failed_call) = (&*self.core, &self.core.calls[call]);
        let effect = core.services[failed_call.service].effect;
        if failed_call.may_have_run.is_some() && effect != Effect::Idempotent {
            return self.finish(call, CallOutcome::MayHaveRun);
        }
        if failed_call.accepted_at + failed_call.budget <= core.now {
            return self.finish(call, CallOutcome::OutOfTime);
        }
        let is_errored = matches!(failed_call.last_failure, Some((End::Errored, ..)));
        if is_errored && reason != ShedReason::RetriesSpent {
            return self.finish(call, CallOutcome::Errored);
        }
        let now = core.now;
        let time_until_available = |dispatcher_state: &DispatcherState| {
            dispatcher_state.pause_until.max(dispatcher_state.reconnect_at).saturating_sub(now)
        };
        let shortest_wait = core.dispatchers.iter().map(time_until_available).min().unwrap_or_default();
        let reason = if failed_call.refusal_pause.is_some() && reason == ShedReason::BackingOff {
            ShedReason::ByDispatcher
        } else {
            reason
        };
        let retry_after = failed_call.refusal_pause.unwrap_or_default().max(shortest_wait).max(MIN_PAUSE);
        self.finish(call, CallOutcome::Shed { reason, retry_after });
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome) {
        self.remove_call(call);
        self.sink.finish(call, outcome);
    }

    /// Removes a call and aborts its attempt in flight.
    fn remove_call(&mut self, call: CallId) {
        self.abort_attempt(call);
        let core = &mut *self.core;
        let removed = core.calls.remove(call);
        core.deadlines.remove(&(removed.accepted_at + removed.budget, call));
        core.waiting.retain(|&waiting| waiting != call);
    }

    /// Aborts a call's attempt in flight, if there is one, and records whether it may have run.
    fn abort_attempt(&mut self, call: CallId) {
        let core = &mut *self.core;
        let Some((connection, number)) = core.calls[call].in_flight.take() else { return };
        let Some(sent_on) = core.connections.get_mut(connection) else { return };
        let Some(index) = sent_on.open.iter().position(|open| open.number == number) else { return };
        let aborted = sent_on.open.swap_remove(index);
        let dispatcher = sent_on.dispatcher;
        if self.sink.abort(connection, number) == Reached::Whole {
            self.record_possible_run(call, dispatcher, aborted.sent_at);
        }
    }

    /// Closes the connections that take no more requests and have none.
    fn close_exhausted_connections(&mut self) {
        let (core, sink) = (&mut *self.core, &mut *self.sink);
        core.connections.retain(|id, connection| {
            let is_exhausted = connection.is_up
                && connection.open.is_empty()
                && sink.free_number(id, connection.next_number).is_none();
            if is_exhausted {
                sink.close(id);
            }
            !is_exhausted
        });
    }

    /// Finishes a round: handles calls past their budget, connections not established in time or silent for too long, and
    /// waiting calls.
    fn finish_round(&mut self) {
        let now = self.core.now;
        while let Some(&(deadline, call)) = self.core.deadlines.first()
            && deadline <= now
        {
            self.give_up(call, ShedReason::NoDispatcher);
        }
        let timed_out: Vec<_> = self
            .core
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_up && now >= connection.opened_at + CONNECT_TIMEOUT)
            .collect();
        let timed_out: Vec<_> = timed_out.into_iter().map(|(id, _)| id).collect();
        for connection in timed_out {
            self.on_connection_lost(connection, End::Lost, |_| Reached::NotWhole);
        }
        // A connection is treated as dead if a GET on it is overdue and nothing was read since that GET was sent.
        let is_silent = |connection: &Connection| {
            connection
                .open
                .iter()
                .any(|open| now >= open.overdue_at && connection.last_read_at <= open.sent_at)
        };
        let dead: Vec<_> = self
            .core
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_up && is_silent(connection))
            .map(|(id, _)| id)
            .collect();
        for connection in dead {
            self.on_connection_lost(connection, End::Silent, |_| Reached::Whole);
        }
        self.close_exhausted_connections();
        for (_, connection) in &mut self.core.connections {
            for open in connection.open.iter_mut().filter(|open| now >= open.overdue_at) {
                // The connection is alive: something was read after this GET was sent.
                open.overdue_at = now + MIN_SILENCE_TIMEOUT;
            }
        }
        for dispatcher_state in &mut self.core.dispatchers {
            dispatcher_state.end_slow_start_if_over(now);
        }
        for _ in 0..self.core.waiting.len() {
            let Some(call) = self.core.waiting.pop_front() else { break };
            self.decide(call);
        }
    }
}
