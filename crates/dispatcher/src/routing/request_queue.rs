//! Complete requests that wait to be taken: one of each client in turn, so that a client with many does not delay a client
//! with one.

use super::ConnectionKey;
use myrtlegauge_wire::protocol::fastcgi::Request;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// A complete request that waits to be taken.
pub struct QueuedRequest {
    pub request: Request,
    pub received_at: Duration,
}

/// The waiting requests by client.
#[derive(Default)]
pub struct RequestQueue {
    /// Clients with waiting requests, in the order of their turns.
    turns: VecDeque<ConnectionKey>,
    waiting: HashMap<ConnectionKey, VecDeque<QueuedRequest>>,
}

impl RequestQueue {
    /// Adds a request of a client.
    pub fn push(&mut self, key: ConnectionKey, queued: QueuedRequest) {
        let requests = self.waiting.entry(key).or_default();
        if requests.is_empty() {
            self.turns.push_back(key);
        }
        requests.push_back(queued);
    }

    /// Removes and returns the first request of the next client for which `may_take` holds.
    pub fn pop(
        &mut self,
        mut may_take: impl FnMut(ConnectionKey, &QueuedRequest) -> bool,
    ) -> Option<(ConnectionKey, Request)> {
        for _ in 0..self.turns.len() {
            let key = self.turns.pop_front()?;
            let requests = self.waiting.get_mut(&key)?;
            let taken = requests.pop_front_if(|queued| may_take(key, queued));
            if requests.is_empty() {
                self.waiting.remove(&key);
            } else {
                self.turns.push_back(key);
            }
            if let Some(queued) = taken {
                return Some((key, queued.request));
            }
        }
        None
    }

    /// Removes a client's request.
    pub fn remove(&mut self, key: ConnectionKey, number: u16) {
        let Some(requests) = self.waiting.get_mut(&key) else { return };
        requests.retain(|queued| queued.request.number != number);
        if requests.is_empty() {
            self.waiting.remove(&key);
            self.turns.retain(|&other| other != key);
        }
    }

    /// Whether requests of this client wait.
    pub fn has_requests_of(&self, key: ConnectionKey) -> bool {
        self.waiting.contains_key(&key)
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
