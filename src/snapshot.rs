//! What a router decides at a moment, in a form that those can follow who take GETs elsewhere: proxies of a control
//! service. The rules by which a key finds its host stand here once, for the decision module and for its followers.

use crate::decide::{MAX_FORWARDS, MAX_WALKED_HOSTS, Round, Router};
use crate::interface::{DecisionSink, HostIndex};
use crate::ring::{Ring, RingMember, WalkCost};
use myrtlegauge_recovery::bits::{mix, unit_fraction};
use std::time::Duration;

/// The place of an object's part on the ring, and what its part of a cold host's keys goes by.
pub fn ring_key(object: u64, part: u32) -> u64 {
    mix(mix(object) ^ mix(u64::from(part) + 1))
}

/// Whether a key is in the part, from 0 to 1, of its keys that a host takes: the same at every router.
pub fn is_in_key_fraction(key: u64, mark: u64, part: f64) -> bool {
    unit_fraction(key ^ mark) <= part
}

/// Part of its keys that a host takes, in steps that stay the same for a while: a follower is told of a step.
pub fn quantize_fraction(part: f64) -> f64 {
    const STEPS: f64 = 64.0;
    (part * STEPS).floor() / STEPS
}

/// The oldest copy that will do: the accepted age, never past a purge, nor then zero (that is any age).
pub fn max_accepted_age(
    accepted: Duration,
    purged_at: Option<Duration>,
    now: Duration,
    tick: Duration,
) -> Duration {
    let Some(at) = purged_at else { return accepted };
    let limit = now.saturating_sub(at + tick).max(Duration::from_micros(10));
    if accepted == Duration::ZERO { limit } else { limit.min(accepted) }
}

/// A host's part in the ring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    pub host: HostIndex,
    pub id_hash: u64,
    pub points: u64,
    /// Of its keys; 1 warm, 0 none.
    pub key_fraction: f64,
    /// Of the same hub as the router's location.
    pub is_near: bool,
    /// Fills from it that may be out together, of all that follow this router.
    pub max_fills: f64,
}

/// What a delivery service's GETs are sent with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardTerms {
    pub accepted_age: Duration,
    pub renew: bool,
    /// It may be forwarded again however the forward ended; else only after ends that prove that nothing ran.
    pub is_repeatable: bool,
}

/// All that a follower needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingSnapshot {
    pub terms: Vec<ForwardTerms>,
    pub caches: Vec<HostShare>,
    pub parents: Vec<HostShare>,
    pub origin: Option<HostShare>,
    /// Over a source's bound the origin is not asked; the source is, for what it holds.
    pub is_origin_spared: bool,
    pub max_forwards: u32,
}

/// A location's tiers as a follower chooses in them.
#[derive(Default)]
pub struct RoutingTable {
    pub caches: Tier,
    pub parents: Tier,
    pub origin: Option<HostShare>,
    pub is_origin_spared: bool,
}

impl RoutingTable {
    /// The cache of a key, not the one that failed it unless no other takes it.
    pub fn cache(&self, key: u64, tried: Option<HostIndex>) -> Option<&HostShare> {
        let other = self.caches.candidates(key).find(|share| Some(share.host) != tried);
        other.or_else(|| self.caches.candidates(key).next())
    }

    /// Where a miss of a key is filled from, and whether only with what is held there. None: the cache gives what it
    /// holds. Guards sources from fills over their bound, as `room` counts those out; over a parent's bound the
    /// origin is asked, unless it is spared.
    pub fn source(
        &self,
        key: u64,
        tried: Option<HostIndex>,
        room: impl Fn(&HostShare) -> bool,
    ) -> Option<(HostIndex, bool)> {
        let parent = self.parents.candidates(key).find(|share| Some(share.host) != tried);
        if let Some(open) = parent.filter(|share| room(share)) {
            return Some((open.host, false));
        }
        let spared = parent.is_some() && self.is_origin_spared;
        let origin = self.origin.filter(|share| !spared && room(share));
        origin.map(|share| (share.host, false)).or(parent.filter(|_| spared).map(|share| (share.host, true)))
    }
}

/// A tier's ring with the part that each host takes.
#[derive(Default)]
pub struct Tier {
    ring: Ring,
    shares: Vec<HostShare>,
}

impl Tier {
    pub fn build(shares: Vec<HostShare>) -> Self {
        let member = |(host, share): (usize, &HostShare)| {
            let &HostShare { id_hash: mark, points, is_near: near, .. } = share;
            RingMember { host, id_hash: mark, points, is_near: near }
        };
        Self { ring: Ring::build(shares.iter().enumerate().map(member)), shares }
    }

    /// Takes other parts for the same hosts and points; false if the ring has to be laid anew.
    pub fn update_fractions(&mut self, shares: &[HostShare]) -> bool {
        let laid = |share: &HostShare| (share.host, share.id_hash, share.points, share.is_near);
        let fits = shares.len() == self.shares.len()
            && self.shares.iter().zip(shares).all(|(a, b)| laid(a) == laid(b));
        if fits {
            self.shares.copy_from_slice(shares);
        }
        fits
    }

    /// The hosts that take a key, in the order in which they would be asked: near ones first, each once. They are looked
    /// for as far along the ring as the module looks (`MOST_HOSTS` near ones and as many others); a host that drains has
    /// its points here still and counts.
    pub fn candidates(&self, key: u64) -> impl Iterator<Item = &HostShare> {
        let of = move |near: bool| {
            let shares = self.ring.walk::<MAX_WALKED_HOSTS>(key, near).map(|at| &self.shares[at]);
            shares.filter(move |s| s.key_fraction > 0.0 && is_in_key_fraction(key, s.id_hash, s.key_fraction))
        };
        of(true).chain(of(false))
    }
}

impl Router {
    /// What walks along the rings of caches and of parents have cost since the last list change.
    pub fn walk_costs(&self) -> [WalkCost; 2] {
        [self.caches.walk_cost(), self.parents.walk_cost()]
    }

    /// What this router decides now of hosts and services, for those who take GETs elsewhere. A failed host's trial
    /// is the part of its keys that a host gets which has just started: a follower can't send just one GET.
    pub fn routing_snapshot(&self, now: Duration) -> RoutingSnapshot {
        let share = |(host, points): (HostIndex, u64)| {
            let h = &self.hosts[host];
            let near = self.is_near(&h.entry);
            let warmth = if h.has_failed() {
                Some(self.slow_start_settings(&h.entry).initial_fraction)
            } else {
                self.slow_start_fraction(host, now)
            };
            let takes = h.is_usable(now) && (warmth.is_none() || near);
            let part = if takes { warmth.unwrap_or(1.0) } else { 0.0 };
            HostShare {
                host,
                id_hash: h.entry.id_hash,
                points,
                key_fraction: part,
                is_near: near,
                max_fills: h.fill_limiter.limit(),
            }
        };
        let terms = self.services.iter().zip(&self.service_stats).map(|(ds, learnt)| ForwardTerms {
            accepted_age: if ds.is_write { Duration::ZERO } else { learnt.accepted_age },
            renew: !self.busy && !ds.is_write,
            is_repeatable: ds.is_idempotent,
        });
        RoutingSnapshot {
            terms: terms.collect(),
            caches: self.caches.members_with_points().map(share).collect(),
            parents: self.parents.members_with_points().map(share).collect(),
            origin: self.origin.map(|host| share((host, 0))),
            is_origin_spared: self.busy && self.site.has_fill_notes,
            max_forwards: self.site.max_forwards.min(MAX_FORWARDS),
        }
    }
}

impl<D: DecisionSink> Round<'_, D> {
    /// For how many routers sources are shared from now on, as the view of their members has it.
    pub fn set_router_count(&mut self, routers: f64) {
        let r = &mut *self.router;
        r.site.set_router_count(routers);
        for host in &mut r.hosts {
            let is_parent = Some(host.entry.kind) == r.site.parent_kind;
            host.fill_limiter.set_sharers(r.site.source_sharers(is_parent));
        }
    }
}
