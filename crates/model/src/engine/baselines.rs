//! The policies that the decision module is compared with. Each sends one attempt for a request.

use super::state::Request;
use super::{CHUNK, Engine, PURGE_GROUPS};
use crate::world::{Policy, Service, World};
use myrtlegauge::interface::{Forward, HostStatus};
use myrtlegauge::snapshot::{Tier, ring_key};
use std::time::Duration;

/// The decision of the informed bound on a request.
enum Admission {
    /// Sends the request and accepts copies up to this age; zero stands for the freshness lifetime.
    Send(Duration),
    Reject,
}

impl Engine<'_> {
    /// Sends the only attempt of a baseline, or answers the request at once.
    pub(super) fn send_baseline_attempt(&mut self, dispatcher: usize, id: u64, location: usize) {
        let Some(&Request { object, service, .. }) = self.requests.get(&id) else { return };
        let service = &self.world.services[service];
        let (cache, parent) = self.choose_hosts(location, ring_key(object, CHUNK));
        let Some(host) = cache else { return self.answer(id, false, true) };
        let origin = self.world.origin();
        let source = if service.is_non_idempotent { origin } else { parent.unwrap_or(origin) };
        let mut accepted_age = Duration::ZERO;
        if self.world.policy == Policy::Informed && !service.is_non_idempotent {
            match self.admit(service, object, host, source) {
                Admission::Send(age) => accepted_age = age,
                Admission::Reject => return self.answer(id, false, false),
            }
        }
        let forward = Forward {
            host,
            source,
            timeout: service.timeout,
            retention_rank: 1,
            accepted_age,
            join_fill: false,
            only_if_cached: false,
            renew: false,
            start_deadline: Duration::ZERO,
            needs_known_process: false,
        };
        let sender = &mut self.dispatchers[dispatcher];
        let get_index = sender.requests.len();
        sender.requests.push(Some(id));
        sender.attempts_sent.push(0);
        self.send_attempt(dispatcher, get_index, forward);
    }

    /// Chooses a cache and a parent, at random or by consistent hashing. The informed bound skips hosts that are down.
    fn choose_hosts(&mut self, location: usize, key: u64) -> (Option<usize>, Option<usize>) {
        // Drawn under every policy, so that all policies get the same requests.
        let cache = location * self.world.caches + self.rng.usize(0..self.world.caches);
        let parent = self.world.first_parent() + self.rng.usize(0..self.world.parents);
        let is_informed = self.world.policy == Policy::Informed;
        let is_listed = |host: &usize| {
            let host = &self.hosts[*host];
            host.status == HostStatus::Active && !(is_informed && (!host.is_up || host.is_silent))
        };
        if self.world.policy == Policy::Random {
            return (Some(cache).filter(is_listed), Some(parent).filter(is_listed));
        }
        let by_ring = |ring: &Tier| ring.candidates(key).map(|share| share.host).find(is_listed);
        (by_ring(&self.cache_rings[location]), by_ring(&self.parent_ring))
    }

    /// The informed bound sends a request that a cache or parent can answer, or that the origin can answer in time.
    fn admit(&mut self, service: &Service, object: u64, host: usize, source: usize) -> Admission {
        let purged_before = self.purged_at.get(&(object % PURGE_GROUPS)).copied().unwrap_or_default();
        let fresh = if service.fresh.is_zero() { Duration::MAX } else { service.fresh };
        let is_origin_in_time = self.is_origin_in_time(service.objective);
        let now = self.now;
        let mut holds = |host: usize, max_age: Duration| {
            let created_at = self.hosts[host].store.touch(ring_key(object, CHUNK), 1, purged_before);
            created_at.is_some_and(|created_at| now - created_at <= max_age)
        };
        if holds(host, fresh) || source != self.world.origin() && holds(source, fresh) {
            return Admission::Send(Duration::ZERO);
        }
        if is_origin_in_time {
            self.fills_in_transit.push_back(now);
            return Admission::Send(Duration::ZERO);
        }
        let stale_age = fresh.saturating_add(service.grace);
        if holds(host, stale_age) { Admission::Send(stale_age) } else { Admission::Reject }
    }

    /// Whether a fill sent now is answered in time, after all fills in transit, running and waiting.
    fn is_origin_in_time(&mut self, objective: Duration) -> bool {
        let World { origin_slots, cache_latency, hub_latency, .. } = *self.world;
        while self
            .fills_in_transit
            .pop_front_if(|sent_at| *sent_at + cache_latency + hub_latency < self.now)
            .is_some()
        {}
        let ahead = self.origin.running + self.origin.queue.len() + self.fills_in_transit.len();
        let fill_time = self.current_origin_fill_time();
        let wait = fill_time.mul_f64((ahead as f64 / origin_slots as f64).max(1.0) + 0.5);
        wait + (cache_latency + hub_latency) * 2 <= objective
    }
}
