//! Tests the decisions of the core with short traces and generated schedules.

use myrtlegauge_client::decide::*;
use myrtlegauge_client::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const VIDEO: usize = 0;
const CONFIRM: usize = 1;
const ORDER: usize = 2;

fn services() -> Vec<Service> {
    let service = |name: &str, effect| Service { name: name.into(), effect };
    vec![
        service("video", Effect::Idempotent),
        service("confirm", Effect::NonIdempotent),
        service("order", Effect::Tokened { window: ms(2000) }),
    ]
}

fn dispatchers(groups: &[u64]) -> Vec<Dispatcher> {
    let dispatcher =
        |&group: &u64| Dispatcher { address: "127.0.0.1:1".parse().unwrap(), group, sharers: 100 };
    groups.iter().map(dispatcher).collect()
}

/// Records the actions of the core and the attempts in flight.
#[derive(Default)]
struct Trace {
    now: Duration,
    text: String,
    /// Open connections and their dispatchers.
    connections: BTreeMap<ConnectionId, usize>,
    /// Attempts in flight: connection, request number, call and dispatcher.
    in_flight: Vec<(ConnectionId, u16, CallId, usize)>,
    sent: Vec<(Duration, usize, CallId, AttemptId, Duration)>,
    finished: Vec<(Duration, CallId, CallOutcome)>,
    resends: Vec<Resend>,
}

impl ActionSink for Trace {
    fn connect(&mut self, connection: ConnectionId, dispatcher: usize) {
        self.connections.insert(connection, dispatcher);
        let _ = writeln!(self.text, "{:>6} connect to {dispatcher}", self.now.as_millis());
    }
    fn send(
        &mut self,
        connection: ConnectionId,
        number: u16,
        call: CallId,
        attempt_id: AttemptId,
        remaining: Duration,
    ) {
        let dispatcher = self.connections[&connection];
        self.in_flight.push((connection, number, call, dispatcher));
        self.sent.push((self.now, dispatcher, call, attempt_id, remaining));
        let at = self.now.as_millis();
        let _ = writeln!(
            self.text,
            "{at:>6} call {call} to {dispatcher}, attempt {}, {remaining:?} left",
            attempt_id.attempt
        );
    }
    fn abort(&mut self, connection: ConnectionId, number: u16) -> Reached {
        self.in_flight.retain(|(open_connection, open_number, ..)| {
            (*open_connection, *open_number) != (connection, number)
        });
        let _ = writeln!(self.text, "{:>6} abort", self.now.as_millis());
        Reached::Whole
    }
    fn free_number(&self, _: ConnectionId, from: u16) -> Option<u16> {
        Some(from)
    }

    fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.in_flight.retain(|(open_connection, ..)| *open_connection != connection);
    }
    fn finish(&mut self, call: CallId, outcome: CallOutcome) {
        self.finished.push((self.now, call, outcome));
        let _ = writeln!(self.text, "{:>6} call {call}: {outcome:?}", self.now.as_millis());
    }
    fn record_resend(&mut self, resend: &Resend) {
        self.resends.push(*resend);
    }
}

struct CoreRig {
    core: Core,
    trace: Trace,
}

impl CoreRig {
    fn new(groups: &[u64]) -> Self {
        Self { core: Core::new(services(), dispatchers(groups), 7), trace: Trace::default() }
    }

    fn round<T>(&mut self, handle_events: impl FnOnce(&mut Round<'_, Trace>) -> T) -> T {
        let now = self.trace.now;
        self.core.round(now, &mut self.trace, handle_events)
    }

    /// Advances the time, with a round whenever one is due.
    fn advance(&mut self, duration: Duration) {
        let until = self.trace.now + duration;
        for _ in 0..10_000 {
            let due = self.core.next_deadline().filter(|&due| due <= until);
            let Some(due) = due else { break };
            self.trace.now = self.trace.now.max(due);
            self.round(|_| ());
            if self.core.next_deadline() == Some(due) {
                self.trace.now += ms(1);
            }
        }
        self.trace.now = self.trace.now.max(until);
        self.round(|_| ());
    }

    fn call(&mut self, service: usize, budget_ms: u64) -> CallId {
        self.round(|round| round.on_call(service, ms(budget_ms)))
    }

    /// Establishes all open connections.
    fn establish_connections(&mut self) {
        let connections: Vec<_> = self.trace.connections.keys().copied().collect();
        self.round(|round| connections.iter().for_each(|&connection| round.on_connected(connection)));
    }

    fn attempt_of(&self, call: CallId) -> Option<(ConnectionId, u16)> {
        self.trace
            .in_flight
            .iter()
            .find(|(.., sent_call, _)| *sent_call == call)
            .map(|(connection, number, ..)| (*connection, *number))
    }

    fn answer(&mut self, call: CallId, answer: DispatcherAnswer) {
        let (connection, number) = self.attempt_of(call).expect("an attempt of the call is in flight");
        self.trace.in_flight.retain(|(open_connection, open_number, ..)| {
            (*open_connection, *open_number) != (connection, number)
        });
        self.round(|round| round.on_answer(connection, number, answer));
    }

    fn lose(&mut self, connection: ConnectionId, reached: Reached) {
        self.round(|round| round.on_connection_lost(connection, End::Lost, |_| reached));
    }

    /// Adds retry credit by calls that are returned.
    fn add_retry_credit(&mut self, count: usize) {
        for _ in 0..count {
            let call = self.call(VIDEO, 1000);
            self.establish_connections();
            self.answer(call, DispatcherAnswer::Returned);
        }
        self.trace.text.clear();
    }
}

#[test]
fn the_retry_scope_depends_on_effect_end_and_bytes_sent() {
    let mut table = String::new();
    for effect in [Effect::Idempotent, Effect::Tokened { window: ms(1) }, Effect::NonIdempotent] {
        for end in [End::Shed, End::Errored, End::Lost, End::Silent, End::Spoilt] {
            let [not_whole, whole] =
                [Reached::NotWhole, Reached::Whole].map(|reached| retry_scope(effect, end, reached));
            writeln!(table, "{effect:?} {end:?}: not whole {not_whole:?}, whole {whole:?}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_lost_connection_retries_calls_that_can_not_have_run_and_reports_those_that_may_have() {
    let mut rig = CoreRig::new(&[0, 0]);
    rig.add_retry_credit(3);
    for reached in [Reached::NotWhole, Reached::Whole] {
        let [video, confirm] = [rig.call(VIDEO, 1000), rig.call(CONFIRM, 1000)];
        rig.establish_connections();
        let connection = rig.attempt_of(confirm).or(rig.attempt_of(video)).unwrap().0;
        rig.lose(connection, reached);
        rig.advance(ms(400));
        rig.establish_connections();
        rig.advance(ms(1));
        for call in [video, confirm] {
            if rig.attempt_of(call).is_some() {
                rig.answer(call, DispatcherAnswer::Returned);
            }
        }
        writeln!(rig.trace.text).unwrap();
    }
    insta::assert_snapshot!(rig.trace.text);
}

#[test]
fn a_refusal_pauses_all_calls_and_a_call_without_a_dispatcher_is_shed_at_once() {
    let mut rig = CoreRig::new(&[0, 0]);
    rig.add_retry_credit(10);
    let first = rig.call(VIDEO, 3000);
    rig.establish_connections();
    rig.answer(first, DispatcherAnswer::Shed(Some(800.0)));
    rig.establish_connections();
    rig.answer(first, DispatcherAnswer::Shed(Some(300.0)));
    // Both dispatchers have requested a pause.
    let second = rig.call(CONFIRM, 3000);
    rig.advance(ms(301));
    let third = rig.call(CONFIRM, 3000);
    rig.establish_connections();
    assert_eq!(
        rig.trace.finished.iter().find(|(_, call, _)| *call == second).map(|(at, ..)| *at),
        Some(ms(0))
    );
    assert!(rig.attempt_of(third).is_some());
    insta::assert_snapshot!(rig.trace.text);
}

#[test]
fn pauses_out_of_range_are_bounded() {
    let requested =
        [Some(0.0), Some(-5.0), Some(3.15e10), Some(f64::NAN), Some(f64::INFINITY), None, Some(700.0)];
    let pauses = requested.map(|requested_ms| pause_after_refusal(requested_ms).as_millis());
    assert_eq!(pauses, [20, 500, 60_000, 500, 500, 500, 700]);
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts_and_then_shed_as_retries_spent() {
    let mut rig = CoreRig::new(&[0]);
    for index in 0..400 {
        let call = rig.call(VIDEO, 1000);
        rig.establish_connections();
        // Every second GET fails at its first attempt.
        if index % 2 == 1 {
            rig.answer(call, DispatcherAnswer::Errored);
            rig.establish_connections();
        }
        if rig.attempt_of(call).is_some() {
            rig.answer(call, DispatcherAnswer::Returned);
        }
        rig.advance(ms(1100));
    }
    let first_attempts =
        rig.trace.sent.iter().filter(|(.., attempt_id, _)| attempt_id.attempt == 0).count() as f64;
    let retries = rig.trace.resends.len() as f64;
    assert!(retries <= first_attempts * 0.1 + 3.0, "{retries} retries of {first_attempts} first attempts");
    let spent = rig.trace.finished.iter().filter(|(.., outcome)| {
        matches!(outcome, CallOutcome::Shed { reason: ShedReason::RetriesSpent, .. })
    });
    assert!(spent.count() > 0);
}

#[test]
fn a_budget_covers_all_attempts_and_each_is_sent_with_the_remaining_time() {
    let mut rig = CoreRig::new(&[0, 0]);
    rig.add_retry_credit(10);
    let call = rig.call(VIDEO, 1000);
    rig.establish_connections();
    rig.advance(ms(240));
    rig.answer(call, DispatcherAnswer::Errored);
    rig.establish_connections();
    rig.advance(ms(700));
    let text = rig.trace.text.clone();
    let remaining_ms: Vec<_> =
        rig.trace.sent.iter().rev().take(3).map(|(.., remaining)| remaining.as_millis()).collect();
    // The dispatcher of the second attempt is silent for 250 ms.
    assert_eq!(remaining_ms, [510, 760, 1000], "{text}");
    // The third is silent too: the call ends at once and does not wait for the end of its budget.
    let (finished_at, finished_call, outcome) = *rig.trace.finished.last().unwrap();
    assert!(
        finished_call == call && finished_at < ms(1000) && matches!(outcome, CallOutcome::Shed { .. }),
        "{text}"
    );
}

#[test]
fn a_silent_connection_is_closed_and_a_slow_one_is_kept() {
    let mut rig = CoreRig::new(&[0, 0]);
    rig.add_retry_credit(10);
    let [slow_call, silent_call] = [rig.call(VIDEO, 2000), rig.call(CONFIRM, 2000)];
    rig.establish_connections();
    let (slow_connection, _) = rig.attempt_of(slow_call).unwrap();
    // Bytes of some kind arrive from one dispatcher and none from the other.
    for _ in 0..8 {
        rig.advance(ms(60));
        rig.round(|round| round.on_bytes_read(slow_connection));
    }
    let outcomes: Vec<_> = rig
        .trace
        .finished
        .iter()
        .filter(|(_, call, _)| *call == silent_call)
        .map(|(.., outcome)| *outcome)
        .collect();
    let is_slow_connection_kept = rig
        .trace
        .in_flight
        .iter()
        .any(|(connection, _, call, _)| (*connection, *call) == (slow_connection, slow_call));
    assert!(is_slow_connection_kept, "{}", rig.trace.text);
    if rig.trace.sent.iter().filter(|(_, _, call, ..)| *call == silent_call).count() == 1 {
        assert!(outcomes.is_empty() || outcomes == [CallOutcome::MayHaveRun], "{}", rig.trace.text);
    }
}

#[test]
fn a_tokened_call_that_may_have_run_stays_in_its_group_and_window() {
    let mut rig = CoreRig::new(&[1, 2, 1]);
    rig.add_retry_credit(20);
    let call = rig.call(ORDER, 10_000);
    rig.establish_connections();
    let first_dispatcher = rig.trace.sent.last().unwrap().1;
    rig.answer(call, DispatcherAnswer::Errored);
    rig.establish_connections();
    rig.advance(ms(5));
    let group = |dispatcher: usize| [1, 2, 1][dispatcher];
    let retries: Vec<_> = rig
        .trace
        .sent
        .iter()
        .filter(|(_, _, sent_call, attempt_id, _)| *sent_call == call && attempt_id.attempt > 0)
        .collect();
    assert!(
        retries.iter().all(|(_, dispatcher, ..)| group(*dispatcher) == group(first_dispatcher)),
        "{}",
        rig.trace.text
    );
    rig.advance(ms(2500));
    if rig.attempt_of(call).is_some() {
        rig.answer(call, DispatcherAnswer::Errored);
        assert_eq!(
            rig.trace.finished.last().map(|(.., end)| *end),
            Some(CallOutcome::MayHaveRun),
            "after the window"
        );
    }
}

#[test]
fn clients_that_lost_a_dispatcher_at_the_same_instant_reconnect_spread_over_time() {
    let mut reconnects = [0u32; 14];
    for seed in 0..1000 {
        let dispatcher = Dispatcher { address: "127.0.0.1:1".parse().unwrap(), group: 0, sharers: 4000 };
        let mut rig =
            CoreRig { core: Core::new(services(), vec![dispatcher], seed), trace: Trace::default() };
        let call = rig.call(VIDEO, 5000);
        rig.establish_connections();
        let connection = rig.attempt_of(call).unwrap().0;
        rig.lose(connection, Reached::Whole);
        rig.trace.connections.clear();
        while rig.trace.connections.is_empty() {
            rig.advance(ms(5));
        }
        reconnects[(rig.trace.now.as_millis() / 100) as usize] += 1;
    }
    let (used_slots, max_reconnects) =
        (reconnects.iter().filter(|count| **count > 0).count() as f64, *reconnects.iter().max().unwrap());
    assert!(used_slots >= 10.0, "{reconnects:?}");
    assert!(f64::from(max_reconnects) < 3.0 * 1000.0 / used_slots, "{reconnects:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Call { service: usize, budget_ms: u16 },
    Abandon(usize),
    Establish,
    Answer { index: usize, kind: u8, pause_ms: i16 },
    Lose { index: usize, is_fully_sent: bool },
    ReadBytes(usize),
    Advance(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0usize..3, 1u16..3000).prop_map(|(service, budget_ms)| Step::Call { service, budget_ms }),
        (0usize..3, 1u16..3000).prop_map(|(service, budget_ms)| Step::Call { service, budget_ms }),
        (0usize..8).prop_map(Step::Abandon),
        Just(Step::Establish),
        (0usize..8, 0u8..4, -100i16..2000).prop_map(|(index, kind, pause_ms)| Step::Answer {
            index,
            kind,
            pause_ms
        }),
        (0usize..4, any::<bool>()).prop_map(|(index, is_fully_sent)| Step::Lose { index, is_fully_sent }),
        (0usize..4).prop_map(Step::ReadBytes),
        (1u16..500).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn any_schedule_keeps_the_rules_on_retries_pauses_and_outcomes(steps in steps(), seed in any::<u64>()) {
        let groups = [1, 2, 1];
        let mut rig = CoreRig { core: Core::new(services(), dispatchers(&groups), seed), trace: Trace::default() };
        let mut calls: Vec<(usize, Duration, Duration)> = Vec::new();
        let mut abandoned = 0;
        let mut paused: BTreeMap<usize, Duration> = BTreeMap::new();
        // By the id of the first attempt: service, time and dispatcher of an attempt that may have run.
        let mut may_have_run: BTreeMap<u64, (usize, Duration, usize)> = BTreeMap::new();
        let mut checked = 0;
        for step in steps {
            match step {
                Step::Call { service, budget_ms } => {
                    calls.push((service, rig.trace.now, ms(budget_ms.into())));
                    rig.call(service, budget_ms.into());
                }
                Step::Abandon(index) => {
                    if let Some(&(.., call, _)) = rig.trace.in_flight.get(index) {
                        rig.round(|round| round.on_abandoned(call));
                        abandoned += 1;
                    }
                }
                Step::Establish => rig.establish_connections(),
                Step::Answer { index, kind, pause_ms } => {
                    let Some(&(connection, number, call, dispatcher)) = rig.trace.in_flight.get(index) else { continue };
                    let answer = match kind {
                        0 | 1 => DispatcherAnswer::Returned,
                        2 => DispatcherAnswer::Shed(Some(pause_ms.into())),
                        _ => DispatcherAnswer::Errored,
                    };
                    if let DispatcherAnswer::Shed(requested_ms) = answer {
                        let until = rig.trace.now + pause_after_refusal(requested_ms);
                        let paused_until = paused.entry(dispatcher).or_default();
                        *paused_until = until.max(*paused_until);
                    }
                    if answer == DispatcherAnswer::Errored {
                        record_run(&rig, call, &mut may_have_run);
                    }
                    rig.trace.in_flight.retain(|(open_connection, open_number, ..)| {
                        (*open_connection, *open_number) != (connection, number)
                    });
                    rig.round(|round| round.on_answer(connection, number, answer));
                }
                Step::Lose { index, is_fully_sent } => {
                    let Some((&connection, _)) = rig.trace.connections.iter().nth(index) else { continue };
                    let reached = if is_fully_sent { Reached::Whole } else { Reached::NotWhole };
                    if is_fully_sent {
                        let on_connection = rig.trace.in_flight.iter().filter(|(id, ..)| *id == connection);
                        let calls: Vec<_> = on_connection.map(|(.., call, _)| *call).collect();
                        calls.iter().for_each(|&call| record_run(&rig, call, &mut may_have_run));
                    }
                    rig.lose(connection, reached);
                }
                Step::ReadBytes(index) => {
                    let Some((&connection, _)) = rig.trace.connections.iter().nth(index) else { continue };
                    rig.round(|round| round.on_bytes_read(connection));
                }
                Step::Advance(duration_ms) => rig.advance(ms(duration_ms.into())),
            }
            for (sent_at, dispatcher, _, attempt_id, remaining) in &rig.trace.sent[checked..] {
                prop_assert!(!remaining.is_zero(), "an attempt was sent without remaining time");
                prop_assert!(paused.get(dispatcher).is_none_or(|until| sent_at >= until), "an attempt was sent during a pause");
                if let Some((service, first_sent_at, first_dispatcher)) = may_have_run.get(&attempt_id.first_id) {
                    match services()[*service].effect {
                        Effect::NonIdempotent => prop_assert!(false, "a non-idempotent GET was sent again though it may have run"),
                        Effect::Tokened { window } => {
                            prop_assert!(groups[*dispatcher] == groups[*first_dispatcher] && *sent_at < *first_sent_at + window);
                        }
                        Effect::Idempotent => {}
                    }
                }
            }
            checked = rig.trace.sent.len();
        }
        rig.advance(ms(4000));
        // Each call has one outcome within its budget.
        prop_assert_eq!(rig.trace.finished.len() + abandoned, calls.len());
        prop_assert_eq!(rig.core.in_flight(), 0);
        let first_attempts = rig.trace.sent.iter().filter(|(.., attempt_id, _)| attempt_id.attempt == 0).count() as f64;
        let fully_sent = rig.trace.resends.iter().filter(|resend| resend.reached == Reached::Whole).count() as f64;
        prop_assert!(fully_sent <= first_attempts * 0.1 + 3.0 * 3.0 + 1e-6, "{} retries of {} first attempts", fully_sent, first_attempts);
    }
}

/// Records that an attempt of a call may have run. The service of the call is read from the core.
fn record_run(rig: &CoreRig, call: CallId, may_have_run: &mut BTreeMap<u64, (usize, Duration, usize)>) {
    let Some((sent_at, dispatcher, _, attempt_id, _)) =
        rig.trace.sent.iter().rev().find(|(_, _, sent_call, ..)| *sent_call == call)
    else {
        return;
    };
    let service = rig.core.service_of(call).expect("the call is in flight");
    may_have_run.entry(attempt_id.first_id).or_insert((service, *sent_at, *dispatcher));
}

#[test]
fn no_attempt_starts_too_late_to_finish_and_clock_jumps_do_no_harm() {
    let mut rig = CoreRig::new(&[0]);
    rig.add_retry_credit(10);
    // Answers take about 200 ms here, so an attempt with 60 ms left can't finish in time.
    for _ in 0..30 {
        let call = rig.call(VIDEO, 1000);
        rig.establish_connections();
        rig.advance(ms(200));
        rig.answer(call, DispatcherAnswer::Returned);
    }
    let call = rig.call(VIDEO, 260);
    rig.establish_connections();
    rig.advance(ms(200));
    let sent_before = rig.trace.sent.len();
    rig.answer(call, DispatcherAnswer::Errored);
    assert_eq!(rig.trace.sent.len(), sent_before, "an attempt started that can't finish in time");
    assert_eq!(
        rig.trace.finished.last().map(|(_, finished_call, outcome)| (*finished_call, *outcome)),
        Some((call, CallOutcome::Errored))
    );
    // The clock goes back by 100 ms, which the core treats as standing still, then forward by a day, which ends the call
    // once.
    let call = rig.call(VIDEO, 5000);
    rig.trace.now -= ms(100);
    rig.establish_connections();
    assert!(rig.attempt_of(call).is_some());
    let finished_before = rig.trace.finished.len();
    rig.trace.now += Duration::from_secs(86_400);
    rig.round(|_| ());
    rig.round(|_| ());
    assert_eq!(rig.trace.finished.len(), finished_before + 1);
}
