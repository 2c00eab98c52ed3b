//! The origin: running and waiting fills.

use super::Engine;
use super::event::{AttemptId, Event};
use myrtlegauge::interface::{End, Note};
use std::time::Duration;

/// Factor on the time of a fill while the origin is slow.
const SLOW_FACTOR: u32 = 10;
/// Maximum number of waiting fills per slot.
const QUEUE_PER_SLOT: usize = 50;

impl Engine<'_> {
    /// A fill arrives at the origin, directly or through a parent.
    pub(super) fn fill_arrived_at_origin(&mut self, attempt_id: AttemptId) {
        self.figures.origin_fills += 1;
        self.series.count_origin_fill(self.now);
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.note = Note::FilledFromOrigin;
        }
        if self.origin.running < self.world.origin_slots {
            self.start_origin_fill(attempt_id);
        } else if self.origin.queue.len() < self.world.origin_slots * QUEUE_PER_SLOT {
            self.origin.queue.push_back(attempt_id);
        } else {
            self.end_attempt(attempt_id, End::Errored, Note::OriginFailed, true);
        }
    }

    /// The current time of a fill at the origin.
    pub(super) fn current_origin_fill_time(&self) -> Duration {
        self.world.origin_fill_time * if self.origin.is_slow { SLOW_FACTOR } else { 1 }
    }

    fn start_origin_fill(&mut self, attempt_id: AttemptId) {
        self.origin.running += 1;
        let finished_at = self.now + self.current_origin_fill_time();
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.created_at = finished_at;
        }
        self.events.push(finished_at, Event::OriginFinished(attempt_id));
    }

    /// A fill has finished at the origin, whether or not a request still waits for it.
    pub(super) fn origin_finished(&mut self, attempt_id: AttemptId) {
        self.origin.running -= 1;
        if let Some(next) = self.origin.queue.pop_front() {
            self.start_origin_fill(next);
        }
        self.fill_completed(attempt_id);
    }
}
