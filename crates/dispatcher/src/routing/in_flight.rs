//! GETs in flight, stored at the index that the decision module gave each of them.

use super::ConnectionKey;
use myrtlegauge::interface::{End, Forward, Get, GetIndex, HostIndex, Note};
use myrtlegauge_wire::protocol::fastcgi::Request;
use std::collections::HashSet;
use std::time::Duration;

/// A GET that was taken and is not yet released by the decision module.
#[derive(Default)]
pub struct PendingGet {
    /// The client's connection and the request's number on it; `None` once the GET is answered or abandoned.
    pub client: Option<(ConnectionKey, u16)>,
    pub id: u64,
    /// The request as received. Fields that are forwarded unchanged are copied from here.
    pub request: Request,
    pub get: Get,
    pub deadline: Duration,
    pub attempts: u32,
    pub forward: Option<InFlightForward>,
    /// Whether an earlier forward of this GET may have run.
    pub may_have_run: bool,
    /// Whether a forward of this GET has run, or may have or may still run.
    pub is_executed: bool,
    /// Connections on which an earlier forward of this GET was answered. Any further reply with its id on one of them
    /// belongs to that earlier forward.
    pub answered_on: Vec<ConnectionKey>,
    /// Host, end and note of the last forward that ended, for the log.
    pub last_end: Option<(HostIndex, End, Note)>,
}

impl PendingGet {
    /// Time since the GET was taken, which was one viewer timeout before its deadline.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.deadline.saturating_sub(self.get.viewer_timeout))
    }
}

/// A forward that has not ended.
#[derive(Clone, Copy)]
pub struct InFlightForward {
    pub attempt: u32,
    /// Unique among all forwards of this process.
    pub serial: u64,
    pub sent_at: Duration,
    pub deadline: Duration,
    pub link: Option<ConnectionKey>,
    /// Number of its message on the connection; `None` while the connection is not established.
    pub message: Option<u64>,
    /// Whether the tag of the client's held version was sent with it.
    pub sent_version: bool,
    pub decision: Forward,
}

/// All GETs in flight.
#[derive(Default)]
pub struct InFlightGets {
    slots: Vec<PendingGet>,
    ids: HashSet<u64>,
    pub unanswered_count: usize,
}

impl InFlightGets {
    /// Inserts a GET at the index that the decision module gave it.
    pub fn insert(&mut self, get_index: GetIndex, pending: PendingGet) {
        if self.slots.len() <= get_index {
            self.slots.resize_with(get_index + 1, PendingGet::default);
        }
        self.unanswered_count += 1;
        self.ids.insert(pending.id);
        self.slots[get_index] = pending;
    }

    /// The GET at this index, which must be in flight.
    pub fn get(&self, get_index: GetIndex) -> &PendingGet {
        &self.slots[get_index]
    }

    /// The GET at this index, which must be in flight, for modification.
    pub fn get_mut(&mut self, get_index: GetIndex) -> &mut PendingGet {
        &mut self.slots[get_index]
    }

    /// Indices of the GETs whose clients wait for an answer.
    pub fn unanswered(&self) -> Vec<GetIndex> {
        (0..self.slots.len()).filter(|&get_index| self.slots[get_index].client.is_some()).collect()
    }

    /// Removes and returns the client that waits for an answer, so that each GET is answered at most once.
    pub fn take_client(&mut self, get_index: GetIndex) -> Option<(ConnectionKey, u16)> {
        let client = self.slots[get_index].client.take()?;
        self.unanswered_count -= 1;
        Some(client)
    }

    /// Whether a GET with this id, or a forward of one, is in flight.
    pub fn contains_id(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Removes a GET that the decision module has released.
    pub fn remove(&mut self, get_index: GetIndex) {
        self.ids.remove(&self.slots[get_index].id);
        self.slots[get_index] = PendingGet::default();
    }
}
