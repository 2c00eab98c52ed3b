//! Caches and parents: arriving attempts, fills and transfers.

use super::event::{AttemptId, Event};
use super::{CHUNK, Engine, max_age};
use myrtlegauge::interface::{End, Note};
use myrtlegauge::snapshot::ring_key;
use std::time::Duration;

/// Within this time a purge reaches every store, in accordance with the settings of the dispatchers.
pub(super) const PURGED_WITHIN: Duration = Duration::from_millis(5900);
/// Maximum number of attempts in the queue of a warm cache per slot; more are refused.
const QUEUE_PER_SLOT: usize = 16;
/// Attempts per slot that a cold cache can take, relative to its warm-up; the factor above which it is overloaded; and the
/// smallest number of attempts that overloads it.
const COLD_ATTEMPTS_PER_SLOT: usize = 4;
const COLD_OVERLOAD: f64 = 2.0;
const MIN_COLD_ATTEMPTS: f64 = 4.0;
/// Transfer rate of a parent relative to a cache.
const PARENT_SPEED: f64 = 4.0;
/// Factor on the time of a transfer while a host is slow.
const SLOW_FACTOR: f64 = 5.0;

impl Engine<'_> {
    /// The fraction of its full capacity that a host has now.
    fn warmup_fraction(&self, host: usize) -> f64 {
        let started_at = self.hosts[host].started_at;
        if started_at.is_zero() {
            return 1.0;
        }
        let age = self.now.saturating_sub(started_at).div_duration_f64(self.world.warmup_time);
        (self.world.cold_fraction + (1.0 - self.world.cold_fraction) * age).min(1.0)
    }

    /// An attempt arrives at a cache.
    pub(super) fn attempt_arrived(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        let (forward, id) = (attempt.forward, attempt.request);
        let host = &self.hosts[forward.host];
        if !host.is_up {
            return self.end_attempt(attempt_id, End::NoConnection, Note::Untold, true);
        }
        if host.is_silent {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let (service, object) = (&self.world.services[request.service], request.object);
        if self.refuses_attempt(forward.host) {
            return self.end_attempt(attempt_id, End::Full, Note::Untold, true);
        }
        if service.is_non_idempotent {
            self.oracle.on_run(id, self.now);
            return self.start_transfer(forward.host, attempt_id);
        }
        let purged_before = self.purged_before(object);
        let created_at = self.hosts[forward.host].store.touch(
            ring_key(object, CHUNK),
            forward.retention_rank,
            purged_before,
        );
        let max_age = max_age(&forward, service.fresh);
        if let Some(created_at) = created_at.filter(|created_at| self.now - *created_at <= max_age) {
            return self.serve_copy(attempt_id, forward.host, created_at, service.fresh);
        }
        if forward.source == forward.host {
            return self.end_attempt(attempt_id, End::Miss, Note::SourceLacks, true);
        }
        self.figures.fills += 1;
        self.oracle.on_forward_sent(id, forward.source, self.world.drain_grace, self.now);
        self.events.push(self.now + self.world.hub_latency, Event::FillArrived(attempt_id));
    }

    /// Whether a cache is full and refuses an attempt. A cold cache with too many attempts is overloaded, which the oracle
    /// counts.
    fn refuses_attempt(&mut self, index: usize) -> bool {
        let (host, warmup_fraction) = (&self.hosts[index], self.warmup_fraction(index));
        let cold_limit = warmup_fraction * (self.world.slots * COLD_ATTEMPTS_PER_SLOT) as f64 * COLD_OVERLOAD;
        if warmup_fraction < 1.0
            && (host.queue.len() + host.running) as f64 > cold_limit.max(MIN_COLD_ATTEMPTS)
        {
            self.oracle.on_overload(index, self.now);
            return true;
        }
        host.queue.len() > self.world.slots * QUEUE_PER_SLOT
    }

    fn serve_copy(&mut self, attempt_id: AttemptId, host: usize, created_at: Duration, fresh: Duration) {
        self.figures.hits += 1;
        let is_stale = !fresh.is_zero() && self.now - created_at > fresh;
        if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
            attempt.created_at = created_at;
            attempt.note = if is_stale { Note::Stale } else { Note::Hit };
        }
        self.start_transfer(host, attempt_id);
    }

    /// A fill arrives at its source.
    pub(super) fn fill_arrived(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        let forward = attempt.forward;
        if forward.source == self.world.origin() {
            return self.fill_arrived_at_origin(attempt_id);
        }
        let parent = &self.hosts[forward.source];
        if !parent.is_up {
            return self.end_attempt(attempt_id, End::Errored, Note::SourceBroke, true);
        }
        if parent.is_silent {
            return;
        }
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let (object, size_kb) = (request.object, request.size_kb);
        let max_age = max_age(&forward, self.world.services[request.service].fresh);
        let purged_before = self.purged_before(object);
        let created_at = self.hosts[forward.source].store.touch(
            ring_key(object, CHUNK),
            forward.retention_rank,
            purged_before,
        );
        match created_at.filter(|created_at| self.now - *created_at <= max_age) {
            Some(created_at) => {
                let transfer_time =
                    Duration::from_secs_f64(size_kb / self.world.transfer_kb_per_s / PARENT_SPEED);
                if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
                    (attempt.created_at, attempt.note) = (created_at, Note::Filled);
                }
                self.events.push(
                    self.now + transfer_time + self.world.hub_latency,
                    Event::FillCompleted(attempt_id),
                );
            }
            None if forward.only_if_cached => {
                self.end_attempt(attempt_id, End::Miss, Note::SourceLacks, true)
            }
            None => self.fill_arrived_at_origin(attempt_id),
        }
    }

    /// A fill of a cache has completed. The cache keeps a copy, and so does a parent in between.
    pub(super) fn fill_completed(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        let (forward, created_at) = (attempt.forward, attempt.created_at);
        let is_from_origin = attempt.note == Note::FilledFromOrigin;
        attempt.source_wait = self.now.saturating_sub(attempt.sent_at);
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let (key, size_kb) = (ring_key(request.object, CHUNK), request.size_kb);
        if is_from_origin && self.world.is_parent(forward.source) && self.hosts[forward.source].is_up {
            self.hosts[forward.source].store.put(
                key,
                created_at,
                forward.retention_rank,
                size_kb,
                self.world.parent_store_kb,
            );
        }
        if !self.hosts[forward.host].is_up {
            return self.end_attempt(attempt_id, End::Reset, Note::Untold, true);
        }
        self.hosts[forward.host].store.put(
            key,
            created_at,
            forward.retention_rank,
            size_kb,
            self.world.cache_store_kb,
        );
        self.start_transfer(forward.host, attempt_id);
    }

    /// Starts a transfer at a host, or queues it while all slots are in use.
    fn start_transfer(&mut self, host: usize, attempt_id: AttemptId) {
        if self.hosts[host].running >= self.world.slots {
            return self.hosts[host].queue.push_back(attempt_id);
        }
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        let size_kb = self.requests.get(&attempt.request).map_or(1.0, |request| request.size_kb);
        let sender = &mut self.hosts[host];
        let slow_factor = if sender.is_slow { SLOW_FACTOR } else { 1.0 };
        sender.running += 1;
        let transfer_time = Duration::from_secs_f64(size_kb / self.world.transfer_kb_per_s * slow_factor);
        let incarnation = sender.incarnation;
        self.events.push(self.now + transfer_time, Event::TransferEnded { host, incarnation, attempt_id });
    }

    /// A transfer ended. One of an earlier incarnation of the host does not count.
    pub(super) fn transfer_ended(&mut self, host: usize, incarnation: u32, attempt_id: AttemptId) {
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        self.hosts[host].running -= 1;
        if let Some(next) = self.hosts[host].queue.pop_front() {
            self.start_transfer(host, next);
        }
        let note = self.attempts.get(&attempt_id).map(|attempt| attempt.note);
        if let Some(note) = note.filter(|_| self.hosts[host].is_up && !self.hosts[host].is_silent) {
            self.end_attempt(attempt_id, End::Returned, note, true);
        }
    }
}
