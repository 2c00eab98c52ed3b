//! Faults: what happens as one starts and ends.

use super::event::Event;
use super::store::Store;
use super::{Engine, GROUPS};
use crate::world::FaultKind;
use myrtlegauge::interface::{End, HostStatus, Note, PurgeKey};
use std::time::Duration;

/// A draining host is gone this long before the end of its fault.
const GONE_BEFORE_END: Duration = Duration::from_millis(500);

impl Engine<'_> {
    pub(super) fn start_fault(&mut self, fault: usize) {
        match self.world.faults[fault].kind {
            FaultKind::OriginSlow => self.origin.slow = true,
            FaultKind::Burst(percent) => self.burst = f64::from(percent) / 100.0,
            FaultKind::StoresLost(percent) => {
                for host in self.draw_percent(percent, 0, self.world.origin()) {
                    self.hosts[host].store = Store::default();
                }
            }
            FaultKind::DispatchersDie(percent) => self.kill_dispatchers(fault, percent),
            FaultKind::PurgeAll => (0..GROUPS).for_each(|group| self.purge(group)),
            FaultKind::CachesDie(count) => self.affect_caches(fault, count, Self::kill_host),
            FaultKind::CachesSilent(count) => {
                self.affect_caches(fault, count, |engine, host| engine.hosts[host].silent = true);
            }
            FaultKind::CachesSlow(count) => {
                self.affect_caches(fault, count, |engine, host| engine.hosts[host].slow = true);
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

    /// Hits some caches drawn at random.
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
        self.oracle.purged(group, self.now);
        self.purged.insert(group, self.now);
        for dispatcher in 0..self.dispatchers.len() {
            self.round(dispatcher, |round| round.on_purge(PurgeKey::Group(group), Duration::ZERO));
        }
    }

    fn drain_host(&mut self, host: usize, duration: Duration) {
        self.hosts[host].standing = HostStatus::Draining;
        self.oracle.drains(host, self.now);
        self.announce_hosts(Some(host));
        let gone = self.now + duration.saturating_sub(GONE_BEFORE_END);
        self.events.push(gone, Event::HostGone(host));
    }

    /// A host's process ends: its attempts are reset, and its copies are lost.
    fn kill_host(&mut self, host: usize) {
        let dead = &mut self.hosts[host];
        (dead.up, dead.busy, dead.store) = (false, 0, Store::default());
        dead.queue.clear();
        dead.process += 1;
        let open =
            self.attempts.iter().filter(|(_, attempt)| attempt.to.host == host && attempt.end.is_none());
        let open: Vec<_> = open.map(|(serial, _)| *serial).collect();
        for serial in open {
            self.end_attempt(serial, End::Reset, Note::Untold, true);
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let affected = std::mem::take(&mut self.affected[fault]);
        match self.world.faults[fault].kind {
            FaultKind::OriginSlow => self.origin.slow = false,
            FaultKind::Burst(_) => self.burst = 1.0,
            FaultKind::DispatchersDie(_) => {
                affected.into_iter().for_each(|dispatcher| self.start_dispatcher(dispatcher));
            }
            _ => affected.into_iter().for_each(|host| self.restore_host(host)),
        }
    }

    /// A host is as it was before a fault; one that was killed or gone comes back cold.
    fn restore_host(&mut self, host: usize) {
        let back = &mut self.hosts[host];
        let is_cold = !back.up || back.standing != HostStatus::Active;
        (back.up, back.silent, back.slow, back.standing) = (true, false, false, HostStatus::Active);
        if is_cold {
            (back.started, back.store) = (self.now, Store::default());
        }
        self.oracle.lives(host);
        self.announce_hosts(Some(host));
    }

    /// Draws so many of a range.
    fn draw(&mut self, count: usize, from: usize, to: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (from..to).collect();
        self.random.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Draws so many in a hundred of a range.
    fn draw_percent(&mut self, percent: u32, from: usize, to: usize) -> Vec<usize> {
        self.draw(((to - from) as f64 * f64::from(percent) / 100.0).round() as usize, from, to)
    }
}
