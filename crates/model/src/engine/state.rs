//! The state of hosts, dispatchers, requests and attempts.

use super::event::AttemptId;
use super::store::Store;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::{DecisionSink, End, Forward, GetIndex, HostStatus, Note};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A cache, a parent or the origin.
#[derive(Default)]
pub(super) struct Host {
    pub is_up: bool,
    pub is_silent: bool,
    pub is_slow: bool,
    pub status: HostStatus,
    pub started_at: Duration,
    /// Incremented when its process ends.
    pub incarnation: u32,
    /// Running transfers.
    pub running: usize,
    /// Attempts that wait for a slot.
    pub queue: VecDeque<AttemptId>,
    pub store: Store,
}

/// The origin's load.
#[derive(Default)]
pub(super) struct Origin {
    /// Running fills.
    pub running: usize,
    /// Fills that wait for a slot.
    pub queue: VecDeque<AttemptId>,
    pub is_slow: bool,
}

/// One attempt of a dispatcher at a request.
pub(super) struct Attempt {
    pub request: u64,
    pub dispatcher: usize,
    /// Incarnation of the dispatcher that sent it.
    pub incarnation: u32,
    pub get_index: GetIndex,
    pub attempt_number: u32,
    pub forward: Forward,
    pub sent_at: Duration,
    pub end: Option<End>,
    pub note: Note,
    /// Time that a fill waited for its source.
    pub source_wait: Duration,
    /// Creation time of the copy that is sent.
    pub created_at: Duration,
    /// The dispatcher has received the outcome.
    pub is_reported: bool,
}

/// A client's request.
pub(super) struct Request {
    pub service: usize,
    pub object: u64,
    pub size_kb: f64,
    pub sent_at: Duration,
    pub is_answered: bool,
    pub is_given_up: bool,
    pub dispatcher: usize,
    pub get_index: GetIndex,
}

/// A decision of the decision module.
pub(super) enum Decision {
    Forward(GetIndex, Forward),
    Shed(GetIndex),
    Error(GetIndex),
    Released(GetIndex),
    ScheduleWakeup(Duration),
}

/// Collects the decisions of a round, in order.
#[derive(Default)]
pub(super) struct Decisions(pub Vec<Decision>);

impl DecisionSink for Decisions {
    fn forward(&mut self, get: GetIndex, forward: &Forward) {
        self.0.push(Decision::Forward(get, *forward));
    }
    fn withdraw(&mut self, _: GetIndex, _: u32) {}
    fn shed(&mut self, get: GetIndex, _: Option<Duration>) {
        self.0.push(Decision::Shed(get));
    }
    fn error(&mut self, get: GetIndex) {
        self.0.push(Decision::Error(get));
    }
    fn release(&mut self, get: GetIndex) {
        self.0.push(Decision::Released(get));
    }
    fn schedule_wakeup(&mut self, after: Duration) {
        self.0.push(Decision::ScheduleWakeup(after));
    }
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

/// A dispatcher. It has a decision module only under the policy `Module` and while its process runs.
#[derive(Default)]
pub(super) struct Dispatcher {
    /// Incremented when its process ends.
    pub incarnation: u32,
    pub router: Option<Router>,
    pub decisions: Decisions,
    /// Requests by their GET indices.
    pub requests: Vec<Option<u64>>,
    /// Number of attempts sent for each GET.
    pub attempts_sent: Vec<u32>,
    /// The attempt in flight for each GET.
    pub in_flight: BTreeMap<GetIndex, AttemptId>,
}
