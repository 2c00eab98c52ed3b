//! Caches and parents: attempts that arrive, fills, and transfers.

use super::event::{Event, Serial};
use super::{Engine, PART, max_age};
use myrtlegauge::interface::{End, Note};
use myrtlegauge::snapshot::ring_key;
use std::time::Duration;

/// A purge reaches every store by itself in this time, as dispatchers are configured.
pub(super) const PURGED_WITHIN: Duration = Duration::from_millis(5900);
/// Attempts in the queue of a warm cache for each slot; more are refused.
const QUEUE_PER_SLOT: usize = 16;
/// Attempts at a cold cache for each slot, relative to its warmth, at which it is overloaded; and the least such count.
const COLD_ATTEMPTS_PER_SLOT: usize = 4;
const COLD_OVERLOAD: f64 = 2.0;
const MIN_COLD_ATTEMPTS: f64 = 4.0;
/// A parent sends this many times as fast as a cache.
const PARENT_SPEED: f64 = 4.0;
/// Factor on the time of a transfer while a host is slow.
const SLOW_FACTOR: f64 = 5.0;

impl Engine<'_> {
    /// Fraction of its full work that a host can do now.
    fn warmth(&self, host: usize) -> f64 {
        let started = self.hosts[host].started;
        if started.is_zero() {
            return 1.0;
        }
        let age = self.now.saturating_sub(started).div_duration_f64(self.world.warm_within);
        (self.world.cold_share + (1.0 - self.world.cold_share) * age).min(1.0)
    }

    /// An attempt arrives at a cache.
    pub(super) fn attempt_arrived(&mut self, serial: Serial) {
        let Some(attempt) = self.attempts.get(&serial) else { return };
        let (to, id) = (attempt.to, attempt.request);
        let host = &self.hosts[to.host];
        if !host.up {
            return self.end_attempt(serial, End::NoConnection, Note::Untold, true);
        }
        if host.silent {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let (service, object) = (&self.world.services[request.service], request.object);
        if self.refuses(to.host) {
            return self.end_attempt(serial, End::Full, Note::Untold, true);
        }
        if service.non_idempotent {
            self.oracle.ran(id, self.now);
            return self.start_transfer(to.host, serial);
        }
        let purged_before = self.purged_before(object);
        let born = self.hosts[to.host].store.touch(ring_key(object, PART), to.retention_rank, purged_before);
        let max_age = max_age(&to, service.fresh);
        if let Some(born) = born.filter(|born| self.now - *born <= max_age) {
            return self.serve_copy(serial, to.host, born, service.fresh);
        }
        if to.source == to.host {
            return self.end_attempt(serial, End::Miss, Note::SourceLacks, true);
        }
        self.figures.fills += 1;
        self.oracle.sent(id, to.source, self.world.drain_grace, self.now);
        self.events.push(self.now + self.world.hub_way, Event::FillArrived(serial));
    }

    /// Whether a cache is full. A cold one that has too much work is overloaded, which the oracle counts.
    fn refuses(&mut self, index: usize) -> bool {
        let (host, warmth) = (&self.hosts[index], self.warmth(index));
        let cold_limit = warmth * (self.world.slots * COLD_ATTEMPTS_PER_SLOT) as f64 * COLD_OVERLOAD;
        if warmth < 1.0 && (host.queue.len() + host.busy) as f64 > cold_limit.max(MIN_COLD_ATTEMPTS) {
            self.oracle.fell(index, self.now);
            return true;
        }
        host.queue.len() > self.world.slots * QUEUE_PER_SLOT
    }

    fn serve_copy(&mut self, serial: Serial, host: usize, born: Duration, fresh: Duration) {
        self.figures.hits += 1;
        let is_stale = !fresh.is_zero() && self.now - born > fresh;
        if let Some(attempt) = self.attempts.get_mut(&serial) {
            attempt.born = born;
            attempt.note = if is_stale { Note::Stale } else { Note::Hit };
        }
        self.start_transfer(host, serial);
    }

    /// A fill arrives at its source.
    pub(super) fn fill_arrived(&mut self, serial: Serial) {
        let Some(attempt) = self.attempts.get(&serial) else { return };
        let to = attempt.to;
        if to.source == self.world.origin() {
            return self.ask_origin(serial);
        }
        let parent = &self.hosts[to.source];
        if !parent.up {
            return self.end_attempt(serial, End::Errored, Note::SourceBroke, true);
        }
        if parent.silent {
            return;
        }
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let (object, size) = (request.object, request.size);
        let max_age = max_age(&to, self.world.services[request.service].fresh);
        let purged_before = self.purged_before(object);
        let born =
            self.hosts[to.source].store.touch(ring_key(object, PART), to.retention_rank, purged_before);
        match born.filter(|born| self.now - *born <= max_age) {
            Some(born) => {
                let took = Duration::from_secs_f64(size / self.world.pace_kb / PARENT_SPEED);
                if let Some(attempt) = self.attempts.get_mut(&serial) {
                    (attempt.born, attempt.note) = (born, Note::Filled);
                }
                self.events.push(self.now + took + self.world.hub_way, Event::FillCompleted(serial));
            }
            None if to.only_if_cached => self.end_attempt(serial, End::Miss, Note::SourceLacks, true),
            None => self.ask_origin(serial),
        }
    }

    /// A cache has what it asked its source for, and keeps a copy, as does a parent in between.
    pub(super) fn fill_completed(&mut self, serial: Serial) {
        let Some(attempt) = self.attempts.get_mut(&serial) else { return };
        let (to, born) = (attempt.to, attempt.born);
        let by_origin = attempt.note == Note::FilledFromOrigin;
        attempt.source_wait = self.now.saturating_sub(attempt.sent_at);
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let (key, size) = (ring_key(request.object, PART), request.size);
        if by_origin && self.world.is_parent(to.source) && self.hosts[to.source].up {
            self.hosts[to.source].store.put(key, born, to.retention_rank, size, self.world.parent_store_kb);
        }
        if !self.hosts[to.host].up {
            return self.end_attempt(serial, End::Reset, Note::Untold, true);
        }
        self.hosts[to.host].store.put(key, born, to.retention_rank, size, self.world.store_kb);
        self.start_transfer(to.host, serial);
    }

    /// A host starts a transfer, or queues it while all its slots are busy.
    fn start_transfer(&mut self, host: usize, serial: Serial) {
        if self.hosts[host].busy >= self.world.slots {
            return self.hosts[host].queue.push_back(serial);
        }
        let Some(attempt) = self.attempts.get(&serial) else { return };
        let size = self.requests.get(&attempt.request).map_or(1.0, |request| request.size);
        let sender = &mut self.hosts[host];
        let slowness = if sender.slow { SLOW_FACTOR } else { 1.0 };
        sender.busy += 1;
        let took = Duration::from_secs_f64(size / self.world.pace_kb * slowness);
        let process = sender.process;
        self.events.push(self.now + took, Event::TransferEnded { host, process, serial });
    }

    /// A transfer ended; one of an earlier process of the host does not count.
    pub(super) fn transfer_ended(&mut self, host: usize, process: u32, serial: Serial) {
        if self.hosts[host].process != process {
            return;
        }
        self.hosts[host].busy -= 1;
        if let Some(next) = self.hosts[host].queue.pop_front() {
            self.start_transfer(host, next);
        }
        let note = self.attempts.get(&serial).map(|attempt| attempt.note);
        if let Some(note) = note.filter(|_| self.hosts[host].up && !self.hosts[host].silent) {
            self.end_attempt(serial, End::Returned, note, true);
        }
    }
}
