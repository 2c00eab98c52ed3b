//! Policies to compare the decision module with: each sends one attempt for a request.

use super::state::Request;
use super::{Engine, GROUPS, PART};
use crate::world::{Policy, Service, World};
use myrtlegauge::interface::{Forward, HostStatus};
use myrtlegauge::snapshot::{Tier, ring_key};
use std::time::Duration;

/// What the informed bound does with a request.
enum Admission {
    /// Sends it, and accepts copies up to this age; zero: the freshness lifetime.
    Send(Duration),
    Reject,
}

impl Engine<'_> {
    /// Sends the one attempt of a baseline, or answers the request at once.
    pub(super) fn send_baseline_attempt(&mut self, dispatcher: usize, id: u64, location: usize) {
        let Some(&Request { object, service, .. }) = self.requests.get(&id) else { return };
        let kind = &self.world.services[service];
        let (cache, parent) = self.choose_hosts(location, ring_key(object, PART));
        let Some(host) = cache else { return self.answer(id, false, true) };
        let origin = self.world.origin();
        let source = if kind.non_idempotent { origin } else { parent.unwrap_or(origin) };
        let mut accepted_age = Duration::ZERO;
        if self.world.policy == Policy::Informed && !kind.non_idempotent {
            match self.admit(kind, object, host, source) {
                Admission::Send(age) => accepted_age = age,
                Admission::Reject => return self.answer(id, false, false),
            }
        }
        let forward = Forward {
            host,
            source,
            timeout: kind.timeout,
            retention_rank: 1,
            accepted_age,
            join_fill: false,
            only_if_cached: false,
            renew: false,
            start_deadline: Duration::ZERO,
        };
        let sender = &mut self.dispatchers[dispatcher];
        let place = sender.requests.len();
        sender.requests.push(Some(id));
        sender.hops.push(0);
        self.send_attempt(dispatcher, place, forward);
    }

    /// A cache and a parent: at random, or by consistent hashing. The informed bound passes over hosts that are down.
    fn choose_hosts(&mut self, location: usize, key: u64) -> (Option<usize>, Option<usize>) {
        // Drawn under every policy, so that all of them see the same requests.
        let cache = location * self.world.caches + self.random.usize(0..self.world.caches);
        let parent = self.world.first_parent() + self.random.usize(0..self.world.parents);
        let informed = self.world.policy == Policy::Informed;
        let is_listed = |host: &usize| {
            let host = &self.hosts[*host];
            host.standing == HostStatus::Active && !(informed && (!host.up || host.silent))
        };
        if self.world.policy == Policy::Random {
            return (Some(cache).filter(is_listed), Some(parent).filter(is_listed));
        }
        let by_ring = |ring: &Tier| ring.candidates(key).map(|share| share.host).find(is_listed);
        (by_ring(&self.cache_rings[location]), by_ring(&self.parent_ring))
    }

    /// The informed bound: sends a request that a cache or parent can answer, or the origin in time.
    fn admit(&mut self, kind: &Service, object: u64, host: usize, source: usize) -> Admission {
        let purged_before = self.purged.get(&(object % GROUPS)).copied().unwrap_or_default();
        let fresh = if kind.fresh.is_zero() { Duration::MAX } else { kind.fresh };
        let origin_in_time = self.origin_is_in_time(kind.objective);
        let now = self.now;
        let mut holds = |host: usize, max_age: Duration| {
            let born = self.hosts[host].store.touch(ring_key(object, PART), 1, purged_before);
            born.is_some_and(|born| now - born <= max_age)
        };
        if holds(host, fresh) || source != self.world.origin() && holds(source, fresh) {
            return Admission::Send(Duration::ZERO);
        }
        if origin_in_time {
            self.fills_on_the_way.push_back(now);
            return Admission::Send(Duration::ZERO);
        }
        let stale = fresh.saturating_add(kind.grace);
        if holds(host, stale) { Admission::Send(stale) } else { Admission::Reject }
    }

    /// Whether a fill sent now is back in time, behind all fills that are on their way or wait.
    fn origin_is_in_time(&mut self, objective: Duration) -> bool {
        let World { origin_slots, way, hub_way, .. } = *self.world;
        while self.fills_on_the_way.pop_front_if(|sent| *sent + way + hub_way < self.now).is_some() {}
        let ahead = self.origin.busy + self.origin.queue.len() + self.fills_on_the_way.len();
        let work = self.origin_work();
        let wait = work.mul_f64((ahead as f64 / origin_slots as f64).max(1.0) + 0.5);
        wait + (way + hub_way) * 2 <= objective
    }
}
