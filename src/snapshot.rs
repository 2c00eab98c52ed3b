//! Snapshot of a router's current decisions, for followers that route GETs themselves: the proxies of a control
//! service. The rules that map a key to its host are defined here, both for the decision module and for followers.

use crate::decide::{MAX_FORWARDS, MAX_WALKED_HOSTS, Round, Router};
use crate::interface::{DecisionSink, HostIndex};
use crate::ring::{Ring, RingMember, WalkCost};
use myrtlegauge_recovery::bits::{mix, unit_fraction};
use std::time::Duration;

/// Key of a part of an object. It is the position on the ring, and decides whether a cold host takes the part.
pub fn ring_key(object: u64, part: u32) -> u64 {
    mix(mix(object) ^ mix(u64::from(part) + 1))
}

/// Whether a host that takes a fraction of its keys, from 0 to 1, takes this key. The result is the same at every
/// router.
pub fn is_in_key_fraction(key: u64, id_hash: u64, fraction: f64) -> bool {
    unit_fraction(key ^ id_hash) <= fraction
}

/// Rounds the fraction of its keys that a host takes down to a step. Followers are updated once per step.
pub fn quantize_fraction(fraction: f64) -> f64 {
    const STEPS: f64 = 64.0;
    (fraction * STEPS).floor() / STEPS
}

/// Age of the oldest copy that may be returned: the accepted age, limited by the last purge. With a purge it is never
/// zero, since zero means any age.
pub fn max_accepted_age(
    accepted_age: Duration,
    purged_at: Option<Duration>,
    now: Duration,
    time_resolution: Duration,
) -> Duration {
    let Some(purged_at) = purged_at else { return accepted_age };
    let limit = now.saturating_sub(purged_at + time_resolution).max(Duration::from_micros(10));
    if accepted_age == Duration::ZERO { limit } else { limit.min(accepted_age) }
}

/// A host's share of the keys of its tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    pub host: HostIndex,
    pub id_hash: u64,
    /// Number of points on the ring of its tier.
    pub points: u64,
    /// Fraction of its keys that the host takes: 1 if warm, 0 for none.
    pub key_fraction: f64,
    /// The host belongs to the hub of the router's location.
    pub is_near: bool,
    /// Fills from the host that may be in flight together, for all followers of this router.
    pub max_fills: f64,
}

/// Parameters of the forwards of a delivery service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardTerms {
    pub accepted_age: Duration,
    /// Fresh hits may be renewed.
    pub renew: bool,
    /// A GET may be forwarded again however its forward ended. Otherwise only after an end that proves that nothing
    /// ran.
    pub is_repeatable: bool,
}

/// All that a follower needs to route GETs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingSnapshot {
    pub terms: Vec<ForwardTerms>,
    pub caches: Vec<HostShare>,
    pub parents: Vec<HostShare>,
    pub origin: Option<HostShare>,
    /// When a parent is at its limit of fills, the parent is asked for a cached copy only, and the origin is not
    /// asked.
    pub is_origin_spared: bool,
    pub max_forwards: u32,
}

/// The tiers of a location, in which a follower selects hosts.
#[derive(Default)]
pub struct RoutingTable {
    pub caches: Tier,
    pub parents: Tier,
    pub origin: Option<HostShare>,
    pub is_origin_spared: bool,
}

impl RoutingTable {
    /// Selects the cache of a key. The cache that failed the GET is selected only if no other takes the key.
    pub fn cache(&self, key: u64, failed_cache: Option<HostIndex>) -> Option<&HostShare> {
        let other_cache = self.caches.candidates(key).find(|share| Some(share.host) != failed_cache);
        other_cache.or_else(|| self.caches.candidates(key).next())
    }

    /// Selects the source that a miss of a key is filled from. The flag restricts the source to its cached copies.
    /// `None` means that the cache returns only a cached copy. `has_room` tells whether a host is below its limit of
    /// fills, which protects sources from more fills than that. If the parent is at its limit, the origin is asked,
    /// unless it is spared.
    pub fn source(
        &self,
        key: u64,
        failed_source: Option<HostIndex>,
        has_room: impl Fn(&HostShare) -> bool,
    ) -> Option<(HostIndex, bool)> {
        let parent = self.parents.candidates(key).find(|share| Some(share.host) != failed_source);
        if let Some(available) = parent.filter(|share| has_room(share)) {
            return Some((available.host, false));
        }
        let is_origin_spared = parent.is_some() && self.is_origin_spared;
        let origin = self.origin.filter(|share| !is_origin_spared && has_room(share));
        origin
            .map(|share| (share.host, false))
            .or(parent.filter(|_| is_origin_spared).map(|share| (share.host, true)))
    }
}

/// The ring of a tier with the share of each host.
#[derive(Default)]
pub struct Tier {
    ring: Ring,
    shares: Vec<HostShare>,
}

impl Tier {
    /// Builds the ring from the shares.
    pub fn build(shares: Vec<HostShare>) -> Self {
        let member = |(host, share): (usize, &HostShare)| {
            let &HostShare { id_hash, points, is_near, .. } = share;
            RingMember { host, id_hash, points, is_near }
        };
        Self { ring: Ring::build(shares.iter().enumerate().map(member)), shares }
    }

    /// Updates the shares if the hosts and their points are the same. Otherwise nothing changes, and the result is
    /// false: the ring has to be rebuilt.
    pub fn update_fractions(&mut self, shares: &[HostShare]) -> bool {
        let ring_fields = |share: &HostShare| (share.host, share.id_hash, share.points, share.is_near);
        let is_same_ring = shares.len() == self.shares.len()
            && self.shares.iter().zip(shares).all(|(old, new)| ring_fields(old) == ring_fields(new));
        if is_same_ring {
            self.shares.copy_from_slice(shares);
        }
        is_same_ring
    }

    /// The hosts that take a key, each once, in the order in which they are asked: near ones first. As in the
    /// decision module, the walk visits at most `MAX_WALKED_HOSTS` near hosts and as many others. Here a draining
    /// host still has its points and counts towards these.
    pub fn candidates(&self, key: u64) -> impl Iterator<Item = &HostShare> {
        let takers = move |is_near: bool| {
            let shares = self.ring.walk::<MAX_WALKED_HOSTS>(key, is_near).map(|index| &self.shares[index]);
            shares.filter(move |share| {
                share.key_fraction > 0.0 && is_in_key_fraction(key, share.id_hash, share.key_fraction)
            })
        };
        takers(true).chain(takers(false))
    }
}

impl Router {
    /// Cost of the walks along the rings of caches and of parents since the last change of the host list.
    pub fn walk_costs(&self) -> [WalkCost; 2] {
        [self.caches.walk_cost(), self.parents.walk_cost()]
    }

    /// Takes a snapshot of this router's current decisions on hosts and services. For its trial a failed host gets
    /// the fraction of keys of a newly started host, since a follower cannot send just one GET.
    pub fn routing_snapshot(&self, now: Duration) -> RoutingSnapshot {
        let share = |(host, points): (HostIndex, u64)| {
            let state = &self.hosts[host];
            let is_near = self.is_near(&state.entry);
            let slow_start_fraction = if state.has_failed() {
                Some(self.slow_start_settings(&state.entry).initial_fraction)
            } else {
                self.slow_start_fraction(host, now)
            };
            let takes_keys = state.is_usable(now) && (slow_start_fraction.is_none() || is_near);
            let key_fraction = if takes_keys { slow_start_fraction.unwrap_or(1.0) } else { 0.0 };
            HostShare {
                host,
                id_hash: state.entry.id_hash,
                points,
                key_fraction,
                is_near,
                max_fills: state.fill_limiter.limit(),
            }
        };
        let terms = self.services.iter().zip(&self.service_stats).map(|(ds, stats)| ForwardTerms {
            accepted_age: if ds.is_write { Duration::ZERO } else { stats.accepted_age },
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
    /// Sets the number of routers that share the sources, from the current membership view.
    pub fn set_router_count(&mut self, routers: f64) {
        let router = &mut *self.router;
        router.site.set_router_count(routers);
        for host in &mut router.hosts {
            let is_parent = Some(host.entry.kind) == router.site.parent_kind;
            host.fill_limiter.set_sharers(router.site.source_sharers(is_parent));
        }
    }
}
