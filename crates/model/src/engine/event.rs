//! Events of the simulation, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Identifies an attempt.
pub(super) type AttemptId = u64;

/// Something that happens at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A client of a location sends a request.
    RequestSent(usize),
    /// An attempt arrives at its host.
    AttemptArrived(AttemptId),
    /// A fill arrives at its source.
    FillArrived(AttemptId),
    /// A parent has sent the object of a fill.
    FillCompleted(AttemptId),
    /// The origin has finished a fill, and a slot is free again.
    OriginFinished(AttemptId),
    /// A transfer ended, started in this incarnation of the host.
    TransferEnded {
        host: usize,
        incarnation: u32,
        attempt_id: AttemptId,
    },
    /// The dispatcher learns how an attempt ended.
    OutcomeReceived(AttemptId),
    AttemptTimedOut(AttemptId),
    /// A client has given up waiting.
    ClientGaveUp(u64),
    /// A dispatcher's timer expired.
    TimerExpired(usize),
    FaultStarted(usize),
    FaultEnded(usize),
    /// A draining host is removed.
    HostGone(usize),
}

/// Pending events. Events of the same time happen in the order in which they were pushed, so that the same seed gives the
/// same run.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        let number = self.next_number();
        self.heap.push(Reverse((at, number, event)));
    }

    /// Takes the next event with its time.
    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }

    /// A number that no event and no attempt has yet.
    pub(super) fn next_number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }
}
