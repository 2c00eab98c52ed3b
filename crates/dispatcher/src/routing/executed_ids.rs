//! Ids of requests with effects that have run or may still run, so that none runs twice in this process when its id comes
//! again.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Fraction of the memory for the ids.
const MEMORY_FRACTION: f64 = 1.0 / 64.0;
/// Memory of one id: its entry by age, and its entry in a hash table that is half empty after it has grown.
const BYTES_PER_ID: f64 = 40.0;
/// How many times the longest time that any client waits an id is kept: an attempt may run on for one after its client
/// has left, and another client may wait for one more.
const REQUIRED_WAITS: u32 = 2;

/// An id with the time at which its request was released.
struct ExecutedId {
    id: u64,
    released_at: Duration,
}

/// The ids of requests with effects that were released lately.
///
/// An id is kept for the required time at least, and after that for as long as there is room. While all room is taken by
/// ids that are required, no further request with effects may be taken.
pub struct ExecutedIds {
    by_age: VecDeque<ExecutedId>,
    ids: HashSet<u64>,
    max_ids: usize,
    required_time: Duration,
}

impl ExecutedIds {
    /// The ids of a process with this memory limit, whose clients wait for at most `max_client_wait`.
    pub fn new(memory_bytes: usize, max_client_wait: Duration) -> Self {
        Self {
            by_age: VecDeque::new(),
            ids: HashSet::new(),
            max_ids: (memory_bytes as f64 * MEMORY_FRACTION / BYTES_PER_ID) as usize,
            required_time: max_client_wait * REQUIRED_WAITS,
        }
    }

    /// Whether a request with this id has run, or may have.
    pub fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Whether there is room for the ids of `in_flight` requests and of one more.
    pub fn has_room(&self, in_flight: usize, now: Duration) -> bool {
        let is_oldest_required =
            self.by_age.front().is_some_and(|oldest| now < oldest.released_at + self.required_time);
        !is_oldest_required || self.by_age.len() + in_flight < self.max_ids
    }

    /// Records the id of a request that is released at `now`.
    pub fn insert(&mut self, id: u64, now: Duration) {
        if self.ids.insert(id) {
            self.by_age.push_back(ExecutedId { id, released_at: now });
        }
        while self.by_age.len() > self.max_ids
            && let Some(oldest) =
                self.by_age.pop_front_if(|oldest| now >= oldest.released_at + self.required_time)
        {
            self.ids.remove(&oldest.id);
        }
    }
}
