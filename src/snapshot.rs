//! Snapshot of a router's current decisions, for followers that route GETs elsewhere: the proxies of a control service. The
//! rules that map a key to its host are defined here, for the decision module and for its followers.

use crate::decide::{MAX_FORWARDS, MAX_WALKED_HOSTS, Round, Router};
use crate::interface::{DecisionSink, HostIndex};
use crate::ring::{Ring, RingMember, WalkCost};
use myrtlegauge_recovery::bits::{mix, unit_fraction};
use std::time::Duration;

/// Key of an object's part. It gives the position on the ring, and decides which keys a cold host takes.
pub fn ring_key(object: u64, part: u32) -> u64 {
    mix(mix(object) ^ mix(u64::from(part) + 1))
}

/// Whether a key is in the fraction, from 0 to 1, of its keys that a host takes. The result is the same at every router.
pub fn is_in_key_fraction(key: u64, mark: u64, part: f64) -> bool {
    unit_fraction(key ^ mark) <= part
}

/// Rounds the fraction of its keys that a host takes down to a step. Followers are updated once per step.
pub fn quantize_fraction(part: f64) -> f64 {
    const STEPS: f64 = 64.0;
    (part * STEPS).floor() / STEPS
}

/// Age of the oldest copy that may be returned: the accepted age, limited by the last purge. With a purge it is never zero,
/// since zero means any age.
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

/// A host's share of the keys of its tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    pub host: HostIndex,
    pub id_hash: u64,
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
    pub renew: bool,
    /// A GET may be forwarded again however its forward ended. Otherwise only after an end that proves that nothing ran.
    pub is_repeatable: bool,
}

/// All that a follower needs to route GETs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingSnapshot {
    pub terms: Vec<ForwardTerms>,
    pub caches: Vec<HostShare>,
    pub parents: Vec<HostShare>,
    pub origin: Option<HostShare>,
    /// Above a source's limit the origin is not asked. The source is asked for what it has cached.
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
    /// The cache of a key. The cache that failed it is selected only if no other takes the key.
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
            let &HostShare { id_hash: mark, points, is_near: near, .. } = share;
            RingMember { host, id_hash: mark, points, is_near: near }
        };
        Self { ring: Ring::build(shares.iter().enumerate().map(member)), shares }
    }

    /// Updates the shares for the same hosts and points. Returns false if the ring has to be rebuilt.
    pub fn update_fractions(&mut self, shares: &[HostShare]) -> bool {
        let laid = |share: &HostShare| (share.host, share.id_hash, share.points, share.is_near);
        let fits = shares.len() == self.shares.len()
            && self.shares.iter().zip(shares).all(|(a, b)| laid(a) == laid(b));
        if fits {
            self.shares.copy_from_slice(shares);
        }
        fits
    }

    /// The hosts that take a key, each once, in the order in which they are asked: near ones first. The walk along the ring is
    /// as long as in the decision module (`MAX_WALKED_HOSTS` near ones and as many others). A draining host still has its
    /// points here and counts.
    pub fn candidates(&self, key: u64) -> impl Iterator<Item = &HostShare> {
        let of = move |near: bool| {
            let shares = self.ring.walk::<MAX_WALKED_HOSTS>(key, near).map(|at| &self.shares[at]);
            shares.filter(move |s| s.key_fraction > 0.0 && is_in_key_fraction(key, s.id_hash, s.key_fraction))
        };
        of(true).chain(of(false))
    }
}

impl Router {
    /// Cost of the walks along the rings of caches and of parents since the last change of the host list.
    pub fn walk_costs(&self) -> [WalkCost; 2] {
        [self.caches.walk_cost(), self.parents.walk_cost()]
    }

    /// Snapshot of this router's current decisions on hosts and services. The trial of a failed host is the fraction of its
    /// keys that a newly started host gets, since a follower cannot send just one GET.
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
    /// Sets the number of routers that share the sources, from the current membership view.
    pub fn set_router_count(&mut self, routers: f64) {
        let r = &mut *self.router;
        r.site.set_router_count(routers);
        for host in &mut r.hosts {
            let is_parent = Some(host.entry.kind) == r.site.parent_kind;
            host.fill_limiter.set_sharers(r.site.source_sharers(is_parent));
        }
    }
}
