//! The state of hosts, dispatchers, requests and attempts.

use super::event::Serial;
use super::store::Store;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::{DecisionSink, End, Forward, GetIndex, HostStatus, Note};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A cache, a parent or the origin.
#[derive(Default)]
pub(super) struct Host {
    pub up: bool,
    pub silent: bool,
    pub slow: bool,
    pub standing: HostStatus,
    pub started: Duration,
    /// Number of its process.
    pub process: u32,
    /// Transfers that run.
    pub busy: usize,
    /// Attempts that wait for a transfer.
    pub queue: VecDeque<Serial>,
    pub store: Store,
}

/// The origin's load.
#[derive(Default)]
pub(super) struct Origin {
    /// Fills that run.
    pub busy: usize,
    /// Fills that wait.
    pub queue: VecDeque<Serial>,
    pub slow: bool,
}

/// One attempt of a dispatcher at a request.
pub(super) struct Attempt {
    pub request: u64,
    pub dispatcher: usize,
    /// Process of the dispatcher that sent it.
    pub process: u32,
    pub place: GetIndex,
    pub hop: u32,
    pub to: Forward,
    pub sent_at: Duration,
    pub end: Option<End>,
    pub note: Note,
    /// Wait of a fill for its source.
    pub source_wait: Duration,
    /// Birth of the copy that is sent.
    pub born: Duration,
    /// The dispatcher knows the end.
    pub reported: bool,
}

/// A client's request.
pub(super) struct Request {
    pub service: usize,
    pub object: u64,
    /// Kilobytes.
    pub size: f64,
    pub sent_at: Duration,
    pub answered: bool,
    pub given_up: bool,
    pub dispatcher: usize,
    pub place: GetIndex,
}

/// What the decision module decided, in order.
pub(super) enum Decision {
    Forward(GetIndex, Forward),
    Shed(GetIndex),
    Error(GetIndex),
    Settled(GetIndex),
    Wake(Duration),
}

/// Collects the decisions of a round.
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
        self.0.push(Decision::Settled(get));
    }
    fn schedule_wakeup(&mut self, after: Duration) {
        self.0.push(Decision::Wake(after));
    }
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

/// A dispatcher; its decision module is there only under the module's policy and while it lives.
#[derive(Default)]
pub(super) struct Dispatcher {
    /// Number of its process.
    pub process: u32,
    pub router: Option<Router>,
    pub decisions: Decisions,
    /// Requests by their places.
    pub requests: Vec<Option<u64>>,
    /// Attempts sent for each place.
    pub hops: Vec<u32>,
    /// The attempt that is out for each place.
    pub out: BTreeMap<GetIndex, Serial>,
}
