//! Faults: the effects of their start and end.

use super::event::Event;
use super::store::Store;
use super::{Engine, PURGE_GROUPS};
use crate::world::FaultKind;
use myrtlegauge::interface::{End, HostStatus, Note, PurgeKey};
use std::time::Duration;

/// A draining host is removed this long before the end of its fault.
const REMOVED_BEFORE_END: Duration = Duration::from_millis(500);

impl Engine<'_> {
    pub(super) fn start_fault(&mut self, fault: usize) {
        match self.world.faults[fault].kind {
            FaultKind::OriginSlow => self.origin.is_slow = true,
            FaultKind::Burst(percent) => self.rate_factor = f64::from(percent) / 100.0,
            FaultKind::StoresLost(percent) => {
                for host in self.draw_percent(percent, 0, self.world.origin()) {
                    self.hosts[host].store = Store::default();
                }
            }
            FaultKind::DispatchersDie(percent) => self.kill_dispatchers(fault, percent),
            FaultKind::PurgeAll => (0..PURGE_GROUPS).for_each(|group| self.purge(group)),
            FaultKind::CachesDie(count) => self.affect_caches(fault, count, Self::kill_host),
            FaultKind::CachesSilent(count) => {
                self.affect_caches(fault, count, |engine, host| engine.hosts[host].is_silent = true);
            }
            FaultKind::CachesSlow(count) => {
                self.affect_caches(fault, count, |engine, host| engine.hosts[host].is_slow = true);
            }
            FaultKind::CachesDrain(count) => {
                let duration = self.world.faults[fault].duration;
                self.affect_caches(fault, count, |engine, host| engine.drain_host(host, duration));
            }
            FaultKind::ParentsDie(count) => {
                let hosts = self.draw(count, self.world.first_parent(), self.world.origin());
                hosts.iter().for_each(|&host| self.kill_host(host));
                self.affected[fault] = hosts;
            }
        }
    }

    /// Applies a fault to some caches drawn at random.
    fn affect_caches(&mut self, fault: usize, count: usize, mut affect: impl FnMut(&mut Self, usize)) {
        let hosts = self.draw(count, 0, self.world.first_parent());
        hosts.iter().for_each(|&host| affect(self, host));
        self.affected[fault] = hosts;
    }

    fn kill_dispatchers(&mut self, fault: usize, percent: u32) {
        for location in 0..self.world.locations {
            let first = location * self.world.dispatchers;
            let killed = self.draw_percent(percent, first, first + self.world.dispatchers);
            killed.iter().for_each(|&dispatcher| self.kill_dispatcher(dispatcher));
            self.affected[fault].extend(killed);
        }
    }

    fn purge(&mut self, group: u64) {
        self.oracle.on_purge(group, self.now);
        self.purged_at.insert(group, self.now);
        for dispatcher in 0..self.dispatchers.len() {
            self.round(dispatcher, |round| round.on_purge(PurgeKey::Group(group), Duration::ZERO));
        }
    }

    fn drain_host(&mut self, host: usize, duration: Duration) {
        self.hosts[host].status = HostStatus::Draining;
        self.oracle.on_drain(host, self.now);
        self.announce_hosts(Some(host));
        let removed_at = self.now + duration.saturating_sub(REMOVED_BEFORE_END);
        self.events.push(removed_at, Event::HostGone(host));
    }

    /// Ends the process of a host: its attempts are reset, and its copies are lost.
    fn kill_host(&mut self, host: usize) {
        let killed = &mut self.hosts[host];
        (killed.is_up, killed.running, killed.store) = (false, 0, Store::default());
        killed.queue.clear();
        killed.incarnation += 1;
        let open =
            self.attempts.iter().filter(|(_, attempt)| attempt.forward.host == host && attempt.end.is_none());
        let open: Vec<_> = open.map(|(attempt_id, _)| *attempt_id).collect();
        for attempt_id in open {
            self.end_attempt(attempt_id, End::Reset, Note::Untold, true);
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let affected = std::mem::take(&mut self.affected[fault]);
        match self.world.faults[fault].kind {
            FaultKind::OriginSlow => self.origin.is_slow = false,
            FaultKind::Burst(_) => self.rate_factor = 1.0,
            FaultKind::DispatchersDie(_) => {
                affected.into_iter().for_each(|dispatcher| self.start_dispatcher(dispatcher));
            }
            _ => affected.into_iter().for_each(|host| self.restore_host(host)),
        }
    }

    /// Restores a host after a fault. One that was killed or removed comes back cold.
    fn restore_host(&mut self, host: usize) {
        let restored = &mut self.hosts[host];
        let is_cold = !restored.is_up || restored.status != HostStatus::Active;
        (restored.is_up, restored.is_silent, restored.is_slow, restored.status) =
            (true, false, false, HostStatus::Active);
        if is_cold {
            (restored.started_at, restored.store) = (self.now, Store::default());
        }
        self.oracle.on_restored(host);
        self.announce_hosts(Some(host));
    }

    /// Draws a number of indices from a range.
    fn draw(&mut self, count: usize, from: usize, to: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (from..to).collect();
        self.rng.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Draws a percentage of the indices of a range.
    fn draw_percent(&mut self, percent: u32, from: usize, to: usize) -> Vec<usize> {
        self.draw(((to - from) as f64 * f64::from(percent) / 100.0).round() as usize, from, to)
    }
}
