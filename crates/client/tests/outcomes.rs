//! Tests that an outcome promises "not run" only where no attempt has reached a dispatcher whole, or still may, in drawn
//! orders of partial writes, answers, losses, ends of budgets and abandoned calls.

use myrtlegauge_client::decide::*;
use myrtlegauge_client::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const EFFECTS: [Effect; 3] =
    [Effect::Idempotent, Effect::NonIdempotent, Effect::Tokened { window: Duration::from_millis(2000) }];

/// How much of an attempt has left the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Nothing,
    Part,
    Whole,
}

/// An attempt that is neither answered, withdrawn nor lost.
struct OpenAttempt {
    connection: ConnectionId,
    number: u16,
    first_id: u64,
    written: Written,
}

/// Stands for the driver and the dispatchers: a request that reaches a dispatcher whole runs, unless it is refused.
#[derive(Default)]
struct Fleet {
    connections: BTreeSet<ConnectionId>,
    open: Vec<OpenAttempt>,
    /// The first attempt of each call without an outcome that was sent.
    first_ids: BTreeMap<CallId, u64>,
    /// Calls that have run, by the ids of their first attempts.
    runs: BTreeSet<u64>,
    /// Outcomes of calls that were sent, by the ids of their first attempts.
    outcomes: Vec<(u64, CallOutcome)>,
}

impl Fleet {
    fn find(&self, connection: ConnectionId, number: u16) -> Option<usize> {
        self.open.iter().position(|attempt| (attempt.connection, attempt.number) == (connection, number))
    }

    /// Writes all of an attempt.
    fn write(&mut self, index: usize) {
        self.open[index].written = Written::Whole;
    }

    /// Ends an attempt that its dispatcher has not refused.
    fn end_attempt(&mut self, index: usize) {
        let ended = self.open.swap_remove(index);
        if ended.written == Written::Whole {
            self.runs.insert(ended.first_id);
        }
    }

    fn reached(&self, connection: ConnectionId, number: u16) -> Reached {
        let written = self.find(connection, number).map(|index| self.open[index].written);
        if written == Some(Written::Whole) { Reached::Whole } else { Reached::NotWhole }
    }
}

impl ActionSink for Fleet {
    fn connect(&mut self, connection: ConnectionId, _: usize) {
        self.connections.insert(connection);
    }

    fn send(&mut self, connection: ConnectionId, number: u16, call: CallId, id: AttemptId, _: Duration) {
        self.first_ids.insert(call, id.first_id);
        let first_id = id.first_id;
        self.open.push(OpenAttempt { connection, number, first_id, written: Written::Nothing });
    }

    fn abort(&mut self, connection: ConnectionId, number: u16) -> Reached {
        let Some(index) = self.find(connection, number) else { return Reached::Whole };
        if self.open[index].written == Written::Nothing {
            self.open.swap_remove(index);
            return Reached::NotWhole;
        }
        // The rest of a partly written request follows before its abort.
        self.write(index);
        self.end_attempt(index);
        Reached::Whole
    }

    fn free_number(&self, _: ConnectionId, from: u16) -> Option<u16> {
        Some(from)
    }

    fn close(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        while let Some(index) = self.open.iter().position(|attempt| attempt.connection == connection) {
            self.end_attempt(index);
        }
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome) {
        if let Some(first_id) = self.first_ids.remove(&call) {
            self.outcomes.push((first_id, outcome));
        }
    }

    fn record_resend(&mut self, _: &Resend) {}
}

#[derive(Clone, Debug)]
enum Step {
    Call { service: usize, budget_ms: u64 },
    Establish,
    Write { index: usize, written: Written },
    Answer { index: usize, answer: DispatcherAnswer },
    Lose(usize),
    Abandon(usize),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let answers = prop_oneof![
        Just(DispatcherAnswer::Returned),
        Just(DispatcherAnswer::Shed(Some(30.0))),
        Just(DispatcherAnswer::Errored)
    ];
    let written = prop_oneof![Just(Written::Part), Just(Written::Whole), Just(Written::Whole)];
    let step = prop_oneof![
        3 => (0..EFFECTS.len(), 1u64..600).prop_map(|(service, budget_ms)| Step::Call { service, budget_ms }),
        2 => Just(Step::Establish),
        4 => (0usize..6, written).prop_map(|(index, written)| Step::Write { index, written }),
        2 => (0usize..6, answers).prop_map(|(index, answer)| Step::Answer { index, answer }),
        1 => (0usize..4).prop_map(Step::Lose),
        1 => (0usize..6).prop_map(Step::Abandon),
        3 => (1u64..200).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..100)
}

struct Rig {
    core: Core,
    fleet: Fleet,
    now: Duration,
    /// The services of calls that were sent, by the ids of their first attempts.
    services: BTreeMap<u64, usize>,
}

impl Rig {
    fn new(seed: u64) -> Self {
        let services = EFFECTS.map(|effect| Service { name: "service".into(), effect });
        let address = "127.0.0.1:1".parse().unwrap();
        let dispatchers = [1, 2, 1].map(|group| Dispatcher { address, group, sharers: 1 });
        let core = Core::new(services.to_vec(), dispatchers.to_vec(), seed);
        Self { core, fleet: Fleet::default(), now: Duration::ZERO, services: BTreeMap::new() }
    }

    fn round<T>(&mut self, handle_events: impl FnOnce(&mut Round<'_, Fleet>) -> T) -> T {
        let result = self.core.round(self.now, &mut self.fleet, handle_events);
        for (&call, &first_id) in &self.fleet.first_ids {
            self.services.extend(self.core.service_of(call).map(|service| (first_id, service)));
        }
        result
    }

    fn advance(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let until = self.now + duration;
        while self.now < until {
            self.now = (self.now + STEP).min(until);
            self.round(|_| ());
        }
    }

    fn answer(&mut self, index: usize, answer: DispatcherAnswer) {
        let Some(&OpenAttempt { connection, number, written, .. }) = self.fleet.open.get(index) else {
            return;
        };
        if written != Written::Whole {
            return;
        }
        if matches!(answer, DispatcherAnswer::Shed(_)) {
            self.fleet.open.swap_remove(index);
        } else {
            self.fleet.end_attempt(index);
        }
        self.round(|round| round.on_answer(connection, number, answer));
    }

    fn lose(&mut self, index: usize) {
        let Some(&connection) = self.fleet.connections.iter().nth(index) else { return };
        let on_connection = self.fleet.open.iter().filter(|attempt| attempt.connection == connection);
        let reached: BTreeMap<u16, Reached> = on_connection
            .map(|attempt| (attempt.number, self.fleet.reached(connection, attempt.number)))
            .collect();
        self.round(|round| round.on_connection_lost(connection, End::Lost, |number| reached[&number]));
    }

    fn abandon(&mut self, index: usize) {
        let Some((&call, _)) = self.fleet.first_ids.iter().nth(index) else { return };
        self.fleet.first_ids.remove(&call);
        self.round(|round| round.on_abandoned(call));
    }

    fn take_step(&mut self, step: Step) {
        match step {
            Step::Call { service, budget_ms } => {
                self.round(|round| round.on_call(service, Duration::from_millis(budget_ms)));
            }
            Step::Establish => {
                let connections = self.fleet.connections.clone();
                self.round(|round| connections.iter().for_each(|&connection| round.on_connected(connection)));
            }
            Step::Write { index, written } => {
                if let Some(attempt) = self.fleet.open.get_mut(index)
                    && attempt.written != Written::Whole
                {
                    attempt.written = written;
                }
            }
            Step::Answer { index, answer } => self.answer(index, answer),
            Step::Lose(index) => self.lose(index),
            Step::Abandon(index) => self.abandon(index),
            Step::Advance(duration_ms) => self.advance(Duration::from_millis(duration_ms)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Guards against an outcome that promises "not run" while an attempt is out, or is sent afterwards.
    #[test]
    fn an_outcome_promises_that_a_call_has_not_run_only_if_it_never_runs(steps in steps(), seed in any::<u64>()) {
        let mut rig = Rig::new(seed);
        for step in steps {
            rig.take_step(step);
        }
        // What is written in part becomes whole, and what is whole runs.
        for index in 0..rig.fleet.open.len() {
            rig.fleet.write(index);
        }
        rig.advance(Duration::from_secs(1));
        while !rig.fleet.open.is_empty() {
            rig.fleet.end_attempt(0);
        }
        for (first_id, outcome) in &rig.fleet.outcomes {
            let promises_no_run =
                matches!(outcome, CallOutcome::Shed { .. } | CallOutcome::Errored | CallOutcome::OutOfTime);
            let has_effect = EFFECTS[rig.services[first_id]] != Effect::Idempotent;
            prop_assert!(
                !(promises_no_run && has_effect && rig.fleet.runs.contains(first_id)),
                "{:?}, and it runs", outcome
            );
        }
    }
}
