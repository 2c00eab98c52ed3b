//! Updates of the host list, as one router takes them: the state of the listed hosts, and the rings of caches and of
//! parents that follow from it.

use crate::decide::{INITIAL_BACKOFF, Round, Router};
use crate::host_life::ListingContext;
use crate::interface::{DecisionSink, HostEntry, HostStatus, ListUpdate};
use crate::ring::RingMember;
use crate::state::HostState;
use std::time::Duration;

/// Points on the ring for a host of mean weight. They even out the shares to about a tenth, and the ring still fits
/// into the processor's cache.
const POINTS_PER_MEAN_HOST: f64 = 96.0;

impl Router {
    pub(crate) fn is_parent(&self, entry: &HostEntry) -> bool {
        Some(entry.kind) == self.site.parent_kind
    }

    fn is_origin(&self, entry: &HostEntry) -> bool {
        entry.kind == self.site.origin_kind
    }

    /// Whether the host is a cache of a zone that this router uses.
    fn is_used_cache(&self, entry: &HostEntry) -> bool {
        self.site.uses_zone(entry.zone) && !self.is_parent(entry) && !self.is_origin(entry)
    }

    /// Whether the host is anything but a parent of another hub.
    pub(crate) fn is_near(&self, entry: &HostEntry) -> bool {
        !self.is_parent(entry)
            || self.site.hub_by_zone.get(entry.zone) == self.site.hub_by_zone.get(self.site.zone)
    }

    /// Points that updates of the rings have added and removed so far: the cost of the changes of the list.
    pub fn changed_ring_points(&self) -> usize {
        self.changed_ring_points
    }

    /// Derives the rings and the origin from the list if it has changed since. All updates of a round are applied at
    /// once here, before the first decision that needs the rings.
    pub(crate) fn update_rings(&mut self) {
        if !std::mem::take(&mut self.are_rings_outdated) {
            return;
        }
        let (mut caches, mut parents) = (std::mem::take(&mut self.caches), std::mem::take(&mut self.parents));
        self.changed_ring_points += caches.update(self.ring_members(Self::is_used_cache));
        self.changed_ring_points += parents.update(self.ring_members(Self::is_parent));
        (self.caches, self.parents) = (caches, parents);
        self.origin = self.hosts.iter().position(|host| host.is_active() && self.is_origin(&host.entry));
    }

    /// The active hosts that `selects` accepts, with points by weight.
    fn ring_members(&self, selects: impl Fn(&Self, &HostEntry) -> bool) -> impl Iterator<Item = RingMember> {
        let entries: Vec<&HostEntry> = self
            .hosts
            .iter()
            .filter(|host| host.is_active() && selects(self, &host.entry))
            .map(|host| &host.entry)
            .collect();
        let mean_weight = entries.iter().map(|entry| entry.weight).sum::<f64>() / entries.len() as f64;
        let points = move |entry: &HostEntry| {
            (POINTS_PER_MEAN_HOST * entry.weight / mean_weight.max(1e-9)).round().max(1.0) as u64
        };
        entries.into_iter().map(move |entry| RingMember {
            host: entry.host,
            id_hash: entry.id_hash,
            points: points(entry),
            is_near: self.is_near(entry),
        })
    }

    /// Takes one entry of the host list.
    fn update_host(&mut self, entry: &HostEntry, kind: ListUpdate, now: Duration) {
        self.hosts.resize(self.hosts.len().max(entry.host + 1), HostState::default());
        let sharers = self.site.source_sharers(self.is_parent(entry));
        let has_other_users = self.is_origin(entry) && self.site.has_fill_notes;
        let host = &mut self.hosts[entry.host];
        let is_new = host.entry.id_hash != entry.id_hash;
        if is_new {
            *host = HostState::default();
        }
        let context = match (is_new, kind) {
            (true, ListUpdate::Persisted) => ListingContext::InitialList,
            (true, _) => ListingContext::NewHost,
            (false, _) => ListingContext::KnownHost,
        };
        let list_known_until = self.time_reference.list_known_until;
        if host.lifecycle.on_listed(entry.start, context, list_known_until, now) && !is_new {
            // The process is new: the state that was learnt from the old one no longer applies.
            (
                host.recent_failures,
                host.failed_trials,
                host.link.capacity,
                host.recovered_at,
                host.fill_limiter,
            ) = Default::default();
        }
        host.entry = *entry;
        host.fill_limiter.start(sharers, has_other_users, self.rng.f64(), now);
    }
}

impl<D: DecisionSink> Round<'_, D> {
    /// Takes an update of the host list.
    pub fn on_host_list<'e>(&mut self, kind: ListUpdate, entries: impl IntoIterator<Item = &'e HostEntry>) {
        let (now, router) = (self.now, &mut *self.router);
        if matches!(kind, ListUpdate::Full | ListUpdate::Persisted) {
            router.hosts.iter_mut().for_each(|host| host.entry.status = HostStatus::Removed);
            router.are_rings_outdated = true;
        } else if kind == ListUpdate::Failed {
            router.subscribe_at = now + INITIAL_BACKOFF;
        }
        for entry in entries {
            // Changes to caches of zones that this router does not use change no ring here.
            router.are_rings_outdated |=
                router.is_parent(entry) || router.site.uses_zone(entry.zone) || router.is_origin(entry);
            router.update_host(entry, kind, now);
        }
    }
}
