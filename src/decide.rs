//! The decision module of a router. `Router::new` parses the settings. `Router::round(now, &mut out, |round| …)` is
//! called once for all inputs that arrived, and the closure makes one method call on `Round` per input. The decisions
//! go to the sink `out`. `interface.rs` defines the types and the trait `DecisionSink`. Times are since the router's
//! start.
//!
//! A consistent-hash ring selects the cache and the parent of a key. A windowed count of origin fills sets `busy`.
//! While busy, the accepted age of a delivery service doubles at each miss, up to its upper bound. While not busy,
//! stale copies are rejected and fresh hits may be renewed. Six mechanisms complement this:
//! 1. health: a host is judged by the successes among its last few outcomes; silence counts as a failure;
//! 2. slow start: a recently started host gets a growing fraction of its keys, within a budget;
//! 3. fill source: the parent that the ring selects, or the next healthy one, with a limit on fills; otherwise the
//!    cache is asked for a cached copy only;
//! 4. silence and further forwards: a host with an overdue forward and no answer since is skipped;
//! 5. load limit: a GET that would be late at its cache is sent to the next cache on the ring or is shed;
//! 6. retention rank: an object that was requested again outranks one that was requested once.

use crate::host_life::{EndEvidence, TimeReference};
use crate::interface::*;
use crate::ring::{DirectMappedTable, Ring, SlidingCounts};
use crate::site_settings::{DeliveryService, SiteSettings, TokenGroup};
use crate::snapshot;
use crate::state::{HostState, InFlightGet, LinkLoad, SentForward, ServiceStats};
use myrtlegauge_recovery::{FillOutcome, RetryBudget, WorkEstimate, bits::mix};
use slab::Slab;
use std::collections::BTreeMap;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// Window of the fill counts and of the mean work per warm cache.
const WINDOW: Duration = Duration::from_millis(5000);
/// Slots in the window. With ten slots a count lags by a tenth of the window.
const WINDOW_SLOTS: usize = 10;
/// Least number of slow or failed fills in a window that sets `busy`. Fewer may be chance.
const MIN_BAD_FILLS: u32 = 3;
/// The origin counts as slow if more than one in this many fills of a window is slow or failed. Fewer may be chance.
const BAD_FILL_DIVISOR: u32 = 4;
/// Largest number of hosts that a walk along a ring visits, for near hosts and for others each. With three in ten
/// hosts failed, one key in 10^16 has 32 failed ones in a row. Where all hosts are cold and take a tenth of their
/// keys, three keys in a hundred find no host.
pub const MAX_WALKED_HOSTS: usize = 32;
/// Time before a failed host gets one trial, doubled at each failed trial up to four times this value. It is also the
/// time before a failed request for the host list is repeated.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(1000);
/// Interval of the wake-ups, in which the running means are updated. It is far below any latency objective and causes
/// few calls per second.
pub(crate) const WAKEUP_INTERVAL: Duration = Duration::from_millis(25);
/// Least time beyond the expected sending time before a forward is overdue: several round trips to a distant source.
const OVERDUE_MARGIN_S: f64 = 0.25;
/// Factor on the expected time up to which the silence or slowness of a host is tolerated. A host at half the expected
/// speed is not dead.
pub(crate) const TOLERATED_SLOWDOWN: f64 = 2.0;
/// Largest number of forwards for one GET. A third failure shows that the cause is not a single host.
pub(crate) const MAX_FORWARDS: u32 = 3;
/// Fraction of the time left to the latency objective that a GET is planned to take. The rest is for what comes after
/// it.
const USABLE_OBJECTIVE_FRACTION: f64 = 0.8;
/// Relative pace of hits below which a cache's link is full. A cache with spare capacity is faster even if sizes
/// vary.
pub(crate) const CONGESTED_PACE: f64 = 0.7;
/// The same for fills whose wait for the source is not reported. Their time includes that wait.
const CONGESTED_PACE_WITH_WAIT: f64 = 0.4;
/// Least sending time, in latency objectives, beside which a wait that is not reported is small.
const MIN_SENDING_OBJECTIVES: f64 = 0.5;
/// Fraction of the latency objective that is assumed as the sending time until some were observed.
const INITIAL_SENDING_FRACTION: f64 = 0.25;
/// Weight of a new sample in a moving average. The average covers about ten outcomes.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a probable fill in the fraction of them that reaches the origin. About one in twenty does. The average
/// covers about fifty fills, among which each of these shows.
const ORIGIN_FRACTION_WEIGHT: f64 = 0.02;
/// Fraction of the time left that a fill may wait for its scheduled start, since what follows may take longer than
/// expected.
const MAX_FILL_WAIT_FRACTION: f64 = 0.3;
/// A copy that was returned within this time is assumed to be still cached. It is less than the time for which caches
/// keep unused copies.
const ASSUMED_CACHED_TIME: Duration = Duration::from_millis(3000);
/// Number of objects that are remembered as requested: a power of two, for some minutes of a busy router.
const REMEMBERED_OBJECTS: usize = 1 << 16;
/// Mean retry delay that a client receives when its GET is shed. It is randomized by half of it in both directions.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Decides where the GETs of one router go. It does no I/O.
pub struct Router {
    pub(crate) site: SiteSettings,
    pub(crate) services: Vec<DeliveryService>,
    pub(crate) service_stats: Vec<ServiceStats>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) hosts: Vec<HostState>,
    gets: Slab<InFlightGet>,
    pub(crate) caches: Ring,
    pub(crate) parents: Ring,
    pub(crate) origin: Option<HostIndex>,
    /// The list has changed since the rings and the origin were derived from it.
    pub(crate) are_rings_outdated: bool,
    /// Points that updates of the rings have added and removed so far.
    pub(crate) changed_ring_points: usize,
    fill_counts: SlidingCounts<WINDOW_SLOTS>,
    pub(crate) busy: bool,
    /// Time of the last purge, by object or group.
    purges: BTreeMap<PurgeKey, Duration>,
    /// How current the host list is, and the offset to Unix time.
    pub(crate) time_reference: TimeReference,
    /// Purges since about this time may have been missed. Everything is treated as purged then.
    purges_unknown_since: Option<Duration>,
    /// When a copy was last returned, by key. Zero means that the key was only requested.
    last_returned: DirectMappedTable<Duration>,
    /// Observed sending time of a part in seconds, by object, where sizes are not reported.
    part_sending_s: DirectMappedTable<f64>,
    /// The location's inbound link: probable fills in flight, their mean, and the learnt capacity.
    location_link: LinkLoad,
    /// Work that a warm cache gets from this router, in seconds per second.
    pub(crate) work_per_warm_cache: f64,
    /// Work sent to warm caches since the last wake-up, in seconds.
    work_since_wakeup_s: f64,
    is_wakeup_scheduled: bool,
    /// GETs with a scheduled fill.
    scheduled_gets: Vec<GetIndex>,
    retry_budget: RetryBudget,
    /// Fraction of the probable fills from parents for which the parents had to ask the origin.
    origin_fraction: f64,
    /// When to subscribe to the host list. It is never reached where the list comes without a request.
    pub(crate) subscribe_at: Duration,
    pub(crate) limits_slow_start: bool,
    /// Factor on the work that the limit counts for a request; 1 but in tests.
    pub(crate) request_work_scale: f64,
    guards_repeats: bool,
    pub(crate) slow_start_violations: u64,
}

pub(crate) fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    mean + weight * (sample - mean)
}

impl Router {
    /// Creates a router. `seed` starts its random numbers.
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, String> {
        let (site, services) = (SiteSettings::parse(settings)?, DeliveryService::parse_all(settings)?);
        let initial_stats = |ds: &DeliveryService| ServiceStats {
            accepted_age: ds.fresh_time,
            mean_sending_s: ds.objective_s * INITIAL_SENDING_FRACTION,
            work: WorkEstimate::new(ds.objective_s),
            ..ServiceStats::default()
        };
        Ok(Self {
            service_stats: services.iter().map(initial_stats).collect(),
            subscribe_at: if site.must_request_list { ZERO } else { Duration::MAX },
            site,
            services,
            rng: fastrand::Rng::with_seed(seed),
            hosts: Vec::new(),
            gets: Slab::with_capacity(1024),
            caches: Ring::default(),
            parents: Ring::default(),
            origin: None,
            are_rings_outdated: false,
            changed_ring_points: 0,
            fill_counts: SlidingCounts::new(WINDOW),
            busy: false,
            purges: BTreeMap::new(),
            time_reference: TimeReference::default(),
            purges_unknown_since: None,
            last_returned: DirectMappedTable::new(REMEMBERED_OBJECTS),
            part_sending_s: DirectMappedTable::new(REMEMBERED_OBJECTS),
            location_link: LinkLoad::default(),
            work_per_warm_cache: 0.0,
            work_since_wakeup_s: 0.0,
            is_wakeup_scheduled: false,
            scheduled_gets: Vec::new(),
            retry_budget: RetryBudget::default(),
            origin_fraction: 0.0,
            limits_slow_start: true,
            request_work_scale: 1.0,
            guards_repeats: true,
            slow_start_violations: 0,
        })
    }

    /// Runs one round: `apply_inputs` passes on all inputs that arrived by `now`. Its result is returned.
    pub fn round<D, T>(
        &mut self,
        now: Duration,
        out: &mut D,
        apply_inputs: impl FnOnce(&mut Round<'_, D>) -> T,
    ) -> T
    where
        D: DecisionSink,
    {
        self.fill_counts.advance(now);
        let mut round = Round { router: self, out, now };
        let result = apply_inputs(&mut round);
        round.finish();
        result
    }

    /// Number of forwards in flight to a host, as counted here.
    pub fn in_flight_at(&self, host: HostIndex) -> f64 {
        self.hosts.get(host).map_or(0.0, |host| host.link.in_flight)
    }

    /// Computes the busy flag: whether the fills exceed this router's share of the configured origin rate, or, if
    /// none is configured, whether too many fills are slow or failed.
    fn is_origin_busy(&self) -> bool {
        let (all, bad) = self.fill_counts.totals();
        match self.site.origin_fills_per_s {
            Some(rate) => f64::from(all) > rate / self.site.routers * WINDOW.as_secs_f64(),
            None => bad >= MIN_BAD_FILLS && bad * BAD_FILL_DIVISOR > all,
        }
    }

    /// Records misses of a service. While the origin is busy the accepted age doubles at each miss.
    fn record_misses(&mut self, ds: usize, misses: u32) {
        self.busy = self.is_origin_busy();
        let (service, stats) = (&self.services[ds], &mut self.service_stats[ds]);
        for _ in 0..if self.busy { misses.min(u64::BITS) } else { 0 } {
            stats.accepted_age = (stats.accepted_age * 2).min(service.fresh_time + service.grace);
            stats.staleness_decay.raise(stats.accepted_age);
        }
    }

    /// Disables the guard against running an effect twice, so that a test can see its check fail.
    pub fn disable_repeat_guard(&mut self) {
        self.guards_repeats = false;
    }

    /// Whether a GET may be forwarded to a host. A tokened GET that may have run stays in the group that drops its
    /// repeats, and within the window in which the group does so.
    fn may_forward_to(&self, in_flight: &InFlightGet, host: HostIndex, now: Duration) -> bool {
        let ds = &self.services[in_flight.get.ds];
        let Some((ran_at_host, _)) = in_flight.may_have_run.filter(|_| self.guards_repeats) else {
            return true;
        };
        let (first, next) = (&self.hosts[ran_at_host].entry, &self.hosts[host].entry);
        let is_same_group = match ds.token_group {
            TokenGroup::All => true,
            TokenGroup::Zone => first.zone == next.zone,
            TokenGroup::Cell => first.cell == next.cell,
        };
        ds.is_idempotent
            || ds.is_tokened
                && is_same_group
                && self.repeat_deadline(in_flight).is_none_or(|deadline| now < deadline)
    }

    /// Whether a GET may only go to a process that is known to be the listed one. Another process at a host's address may be
    /// of another group, and run the GET again.
    fn needs_known_process(&self, in_flight: &InFlightGet) -> bool {
        let ds = &self.services[in_flight.get.ds];
        let is_dropped_everywhere = ds.token_group == TokenGroup::All;
        let may_run_again = self.guards_repeats && !ds.is_idempotent && !is_dropped_everywhere;
        may_run_again && in_flight.may_have_run.is_some()
    }

    /// Until when a GET that may have run and is not idempotent can be sent again; `None` if there is no limit.
    fn repeat_deadline(&self, in_flight: &InFlightGet) -> Option<Duration> {
        let may_have_run = in_flight.may_have_run.filter(|_| !self.services[in_flight.get.ds].is_idempotent);
        may_have_run.map(|(_, sent_at)| {
            sent_at + self.services[in_flight.get.ds].token_window.saturating_sub(self.site.time_resolution)
        })
    }

    /// When the object or its group was last purged, or may have been.
    fn purged_at(&self, get: &Get) -> Option<Duration> {
        let keys = [PurgeKey::Object(get.object), PurgeKey::Group(get.group)];
        keys.iter().filter_map(|key| self.purges.get(key)).copied().chain(self.purges_unknown_since).max()
    }

    /// Age of the oldest copy that may be returned for a GET.
    fn max_accepted_age(&self, get: &Get, key: u64, now: Duration) -> Duration {
        let accepted_age = self.service_stats[get.ds].staleness_decay.accepted_age(
            key,
            self.services[get.ds].fresh_time,
            now,
        );
        snapshot::max_accepted_age(accepted_age, self.purged_at(get), now, self.site.time_resolution)
    }

    /// Factor on the sending time of a GET at a host because of the load on its link.
    fn slowness(&self, host: HostIndex) -> f64 {
        let configured_capacity = if self.site.has_weights { self.hosts[host].entry.weight } else { 0.0 };
        self.hosts[host].link.slowness(self.site.other_local_routers, configured_capacity)
    }

    /// Selects the first cache on the ring that can return the GET within `within_s` seconds. A cache that just
    /// failed the GET is used only if there is no other. The flag tells whether any cache was open to the GET.
    fn select_cache(&mut self, index: GetIndex, within_s: f64, now: Duration) -> (Option<HostIndex>, bool) {
        let ring = std::mem::take(&mut self.caches);
        let InFlightGet { get, key, sending_s, .. } = self.gets[index];
        let (work_s, mut any_open) = (self.request_work_s(get.ds), false);
        let mut find_cache = |allows_last_failed: bool| {
            ring.walk::<MAX_WALKED_HOSTS>(key, true).find(|&host| {
                let in_flight = &self.gets[index];
                let is_open = (allows_last_failed || in_flight.last_failed[0] != Some(host))
                    && self.hosts[host].is_usable(now);
                let is_open = is_open && self.may_forward_to(in_flight, host, now);
                any_open |= is_open;
                let is_in_time = is_open && sending_s * self.slowness(host) <= within_s;
                is_in_time && self.slow_start_admits(host, key, work_s, now)
            })
        };
        let found = find_cache(false).or_else(|| find_cache(true));
        self.caches = ring;
        (found, any_open)
    }

    /// Selects the source of a fill: the first parent on the ring that can take it, those of the own hub first;
    /// otherwise the origin. While busy, it is otherwise a parent at its limit, which the returned flag restricts to
    /// its cached copies.
    fn select_source(
        &mut self,
        index: GetIndex,
        is_fill: bool,
        within_s: f64,
        now: Duration,
    ) -> Option<(HostIndex, bool)> {
        let InFlightGet { get, key, last_failed: [_, failed_source], sending_s, scheduled_fill, .. } =
            self.gets[index];
        let (work_s, ring) = (self.request_work_s(get.ds), std::mem::take(&mut self.parents));
        let is_below_limit = |host: &HostState| host.fill_limiter.has_room(host.fills_in_flight, now);
        let (origin, origin_has_room) = (
            self.origin,
            self.origin_fraction == 0.0
                || self.origin.is_none_or(|origin| is_below_limit(&self.hosts[origin])),
        );
        let has_room = |host: &HostState| {
            let is_scheduled = scheduled_fill.is_some_and(|(source, _)| source == host.entry.host);
            let is_admitted =
                is_scheduled || is_below_limit(host) && (origin_has_room || origin == Some(host.entry.host));
            !is_fill || is_admitted && host.latency.estimate_s(sending_s, now) <= within_s
        };
        let (mut full_parent, mut usable_parent) = (None, None);
        let mut find_parent = |is_near: bool| {
            ring.walk::<MAX_WALKED_HOSTS>(key, is_near).find(|&host| {
                let state = &self.hosts[host];
                let is_open = Some(host) != failed_source && state.is_usable(now);
                full_parent = full_parent.or(Some(host).filter(|_| is_open && !has_room(state)));
                usable_parent = usable_parent.or(Some(host).filter(|_| state.is_usable(now)));
                is_open && full_parent.is_none() && self.slow_start_admits(host, key, work_s, now)
            })
        };
        let found = find_parent(true).or_else(|| find_parent(false));
        self.parents = ring;
        let is_origin_spared = full_parent.is_some() && self.busy && self.site.has_fill_notes;
        let found =
            found.or(self.origin.filter(|&origin| !is_origin_spared && has_room(&self.hosts[origin])));
        found.map(|host| (host, false)).or_else(|| {
            let parent = full_parent
                .or(usable_parent)
                .filter(|_| self.busy && !self.gets[index].is_missing_at_source)?;
            self.slow_start_admits(parent, key, work_s, now).then_some((parent, true))
        })
    }

    /// The origin, if `source` is another host whose fills may reach it. The origin's limit covers all fills that
    /// reach it, on any path. This protects an origin behind many parents, of each of which a router sees too few
    /// fills. It does harm to what a parent has cached while the origin is at its limit.
    fn origin_behind(&self, source: HostIndex) -> Option<HostIndex> {
        self.origin.filter(|&origin| origin != source && self.origin_fraction > 0.0)
    }

    /// Schedules a fill at the ring's parent, otherwise at the origin, if the fill is then in time. Returns whether
    /// it was scheduled, or `None` if it was before or if the limit there does not depend on time. This protects GETs
    /// that arrive unevenly. It does harm by late fills where the source slows down in the meantime.
    fn schedule_fill(&mut self, index: GetIndex, within_s: f64, now: Duration) -> Option<bool> {
        let InFlightGet { key, sending_s, scheduled_fill, .. } = self.gets[index];
        let near_parent = self
            .parents
            .walk::<MAX_WALKED_HOSTS>(key, true)
            .find(|&parent| self.hosts[parent].is_usable(now));
        let is_spaced = |host: HostIndex| self.hosts[host].fill_limiter.limit() < 1.0;
        let source = near_parent.or(self.origin).filter(|_| scheduled_fill.is_none())?;
        (is_spaced(source) || self.origin_behind(source).is_some_and(is_spaced)).then_some(())?;
        let available_at = |host: HostIndex| {
            self.hosts[host].fill_limiter.available_at(self.hosts[host].fills_in_flight, now)
        };
        let start_at = available_at(source)?.max(self.origin_behind(source).map_or(Some(now), available_at)?);
        let wait_s = (start_at - now).as_secs_f64();
        let expected_s = self.hosts[source].latency.estimate_s(sending_s, now);
        let is_in_time = wait_s <= within_s * MAX_FILL_WAIT_FRACTION && wait_s + expected_s <= within_s;
        if is_in_time {
            self.record_fill_sent(source, now);
            self.gets[index].scheduled_fill = Some((source, start_at));
            self.scheduled_gets.push(index);
        }
        Some(is_in_time)
    }

    /// Records a fill that was sent or scheduled, at its source and at the origin behind that.
    fn record_fill_sent(&mut self, source: HostIndex, now: Duration) {
        self.hosts[source].fill_limiter.on_sent(1.0, now);
        self.origin_behind(source)
            .into_iter()
            .for_each(|origin| self.hosts[origin].fill_limiter.on_sent(self.origin_fraction, now));
    }

    /// Ranks an object that was requested again above one that was requested once, so that a scan cannot displace
    /// objects in demand.
    fn retention_rank(&mut self, key: u64) -> u8 {
        if self.last_returned.get(key).is_none() {
            self.last_returned.set(key, ZERO);
            return 1;
        }
        2
    }

    /// Whether a copy was returned recently and not purged since, so that a cache probably still holds it.
    fn is_probably_cached(&self, in_flight: &InFlightGet, now: Duration) -> bool {
        let since =
            self.purged_at(&in_flight.get).unwrap_or(ZERO).max(now.saturating_sub(ASSUMED_CACHED_TIME));
        self.last_returned.get(in_flight.key).is_some_and(|returned_at| returned_at > since)
    }
}

/// One round of inputs to a router. Each input is one method call.
pub struct Round<'a, D: DecisionSink> {
    pub(crate) router: &'a mut Router,
    out: &'a mut D,
    pub(crate) now: Duration,
}

impl<D: DecisionSink> Round<'_, D> {
    /// The sink, for the adapter's own state.
    pub fn sink(&mut self) -> &mut D {
        self.out
    }

    /// The index that the next GET will have.
    pub fn next_get_index(&self) -> GetIndex {
        self.router.gets.vacant_key()
    }

    /// Takes a GET and decides on it. A GET of an unknown delivery service is answered with an error.
    pub fn on_get(&mut self, get: Get) {
        let router = &mut *self.router;
        router.update_rings();
        let Some(stats) = router.service_stats.get_mut(get.ds) else {
            self.out.error(router.gets.vacant_key());
            return self.out.release(router.gets.vacant_key());
        };
        let (object, reported_sending_s) =
            (mix(get.object), (get.size_kb > 0.0).then_some(get.size_kb / router.site.transfer_kb_per_s));
        let sending_s =
            reported_sending_s.or_else(|| router.part_sending_s.get(object)).unwrap_or(stats.mean_sending_s);
        stats.mean_sending_s = reported_sending_s.map_or(stats.mean_sending_s, |reported| {
            moving_average(stats.mean_sending_s, reported, SAMPLE_WEIGHT)
        });
        reported_sending_s.into_iter().for_each(|reported| stats.work.record(reported));
        let index = router.gets.insert(InFlightGet {
            get,
            taken_at: self.now,
            key: snapshot::ring_key(get.object, get.part),
            sending_s,
            ..InFlightGet::default()
        });
        self.decide(index);
    }

    /// Forwards the GET, schedules its fill, or answers it at once.
    fn decide(&mut self, index: GetIndex) {
        let (now, router) = (self.now, &mut *self.router);
        let in_flight = &router.gets[index];
        let (get, key, sending_s, last_failed, forward_count) = (
            in_flight.get,
            in_flight.key,
            in_flight.sending_s,
            in_flight.last_failed,
            in_flight.forward_count,
        );
        let time_left =
            (in_flight.taken_at + get.viewer_timeout).saturating_sub(now + router.site.time_resolution * 2);
        let (ds, is_write) = (&router.services[get.ds], router.services[get.ds].is_write);
        let objective_left_s =
            ds.objective_s + ds.objective_stretch * sending_s - (now - in_flight.taken_at).as_secs_f64();
        let is_unanswerable = time_left.is_zero()
            || get.size_kb > 0.0 && time_left.as_secs_f64() < sending_s
            || get.in_shed_fraction && !is_write;
        if is_unanswerable || forward_count >= router.site.max_forwards.min(MAX_FORWARDS) {
            return self.shed_or_error(index);
        }
        let is_fill = !is_write && !router.is_probably_cached(&router.gets[index], now);
        let within_s = if is_write {
            f64::INFINITY
        } else {
            (objective_left_s * USABLE_OBJECTIVE_FRACTION).max(sending_s)
        };
        let (cache, any_open) = if is_write && router.site.can_bypass_caches {
            (None, false)
        } else {
            router.select_cache(index, within_s, now)
        };
        if cache.is_none() && any_open {
            return self.shed_or_error(index);
        }
        let write_origin = router.origin.filter(|&origin| is_write && last_failed[1] != Some(origin));
        // While the origin is busy, fills for clients' retries have a budget, since first attempts can still be in
        // time.
        let is_fill_refused = is_fill
            && sending_s
                * router.location_link.slowness(router.site.other_local_routers, router.site.link_transfers)
                > within_s
            || get.is_retry && router.busy && !router.retry_budget.allows();
        let select_source = |router: &mut Router| {
            if is_fill_refused { None } else { router.select_source(index, is_fill, within_s, now) }
        };
        let source = write_origin.map(|origin| (origin, false)).or_else(|| select_source(router));
        // No fill would be in time: the cache is asked once for a cached copy.
        let lookup_cache =
            cache.filter(|_| source.is_none() && !is_write && !router.gets[index].is_missing_at_source);
        if is_fill
            && !is_fill_refused
            && cache.is_some()
            && source.is_none_or(|(_, only_if_cached)| only_if_cached)
        {
            match router.schedule_fill(index, within_s.min(time_left.as_secs_f64()), now) {
                Some(true) => return,
                // The source's limit, a share among many routers, is below one fill and has no room. If the origin has
                // none either, this counts as a failed fill for the busy flag.
                Some(false) => {
                    let is_full = |origin: HostIndex| {
                        let origin = &router.hosts[origin];
                        !origin.fill_limiter.has_room(origin.fills_in_flight, now)
                    };
                    let refused = u32::from(router.origin.is_none_or(is_full));
                    router.fill_counts.add(refused, refused);
                }
                None => {}
            }
        }
        let source = source.or(lookup_cache.map(|host| (host, false)));
        let (source, only_if_cached) =
            source.map_or((None, false), |(host, only_if_cached)| (Some(host), only_if_cached));
        if source.is_none() && !is_write {
            return self.shed_or_error(index);
        }
        let is_fill = is_fill && lookup_cache.is_none();
        let host = cache.or(source.filter(|_| router.site.can_bypass_caches));
        let Some(host) = host.filter(|&host| router.may_forward_to(&router.gets[index], host, now)) else {
            return self.shed_or_error(index);
        };
        let forward = Forward {
            host,
            // A parent that is asked directly and is its own source would return only a cached copy.
            source: router.origin.filter(|_| cache.is_none()).or(source).unwrap_or(host),
            timeout: time_left,
            retention_rank: if is_write { 0 } else { router.retention_rank(key) },
            accepted_age: if is_write { ZERO } else { router.max_accepted_age(&get, key, now) },
            join_fill: router.site.can_join_fills && !is_write,
            only_if_cached,
            renew: !router.busy && !is_write,
            start_deadline: router.repeat_deadline(&router.gets[index]).unwrap_or(ZERO),
            needs_known_process: router.needs_known_process(&router.gets[index]),
        };
        let work_s = router.request_work_s(get.ds);
        let fill_source = Some(forward.source).filter(|&source| source != host);
        for checked_host in [Some(host), fill_source].into_iter().flatten() {
            if !router.check_slow_start(checked_host, work_s, now) {
                let id_hash = router.hosts[checked_host].entry.id_hash;
                self.out.log(format_args!(
                    "broken: host {checked_host} ({id_hash:016x}) in slow start gets over its share"
                ));
            }
        }
        let slowness = router.slowness(host);
        let overdue_after_s =
            (objective_left_s - sending_s).max(sending_s * slowness * TOLERATED_SLOWDOWN + OVERDUE_MARGIN_S);
        let overdue_at = now + Duration::from_secs_f64(overdue_after_s);
        let host_state = &mut router.hosts[host];
        host_state.answer_due =
            if host_state.link.in_flight > 0.0 { host_state.answer_due.min(overdue_at) } else { overdue_at };
        host_state.link.in_flight += 1.0;
        let (fill_count, scheduled_fill, is_withdrawn) =
            (f64::from(u8::from(is_fill)), router.gets[index].scheduled_fill.take(), false);
        let origin_behind = router.origin_behind(forward.source).filter(|_| is_fill && !only_if_cached);
        let (origin_fraction, attempt, sent_at) =
            (origin_behind.map_or(0.0, |_| router.origin_fraction), forward_count, now);
        router.gets[index].current_forward = Some(SentForward {
            attempt,
            forward,
            sent_at,
            overdue_at,
            is_fill,
            origin_fraction,
            is_withdrawn,
        });
        router.gets[index].forward_count += 1;
        if is_fill {
            router.hosts[forward.source].fills_in_flight += fill_count;
            origin_behind
                .into_iter()
                .for_each(|origin| router.hosts[origin].fills_in_flight += origin_fraction);
            if scheduled_fill.is_none() && !only_if_cached {
                router.record_fill_sent(forward.source, now);
            }
            router.retry_budget.record_fill(get.is_retry);
        }
        router.location_link.in_flight += fill_count;
        self.out.forward(index, &forward);
    }

    /// Answers a GET at once that is not forwarded any more. It is shed if it is idempotent, was proven not to have
    /// run, or is tokened and all hosts drop its repeats. Otherwise it is errored.
    fn shed_or_error(&mut self, index: GetIndex) {
        let router = &mut *self.router;
        let in_flight = &mut router.gets[index];
        in_flight.is_answered = true;
        let ds = &router.services[in_flight.get.ds];
        if ds.is_idempotent
            || in_flight.may_have_run.is_none()
            || ds.is_tokened && ds.token_group == TokenGroup::All
        {
            let retry_after = MEAN_RETRY_AFTER.mul_f64(0.5 + router.rng.f64());
            self.out.shed(
                index,
                router.site.max_retry_after.map(|max_retry_after| retry_after.min(max_retry_after)),
            );
        } else {
            self.out.error(index);
        }
        self.withdraw_or_release(index);
    }

    /// Withdraws the forward in flight of an answered GET. The GET's index is released only once no forward is in
    /// flight.
    fn withdraw_or_release(&mut self, index: GetIndex) {
        let in_flight = &mut self.router.gets[index];
        if let Some(sent) = in_flight
            .current_forward
            .as_mut()
            .filter(|sent| !sent.is_withdrawn && self.router.site.can_withdraw)
        {
            sent.is_withdrawn = true;
            self.out.withdraw(index, sent.attempt);
        }
        if in_flight.current_forward.is_none() {
            self.router.gets.remove(index);
            self.out.release(index);
        }
    }

    /// The client has disconnected or no longer waits for this GET.
    pub fn on_abandoned(&mut self, index: GetIndex) {
        let Some(in_flight) = self.router.gets.get_mut(index) else { return };
        in_flight.is_answered = true;
        self.withdraw_or_release(index);
    }

    /// Answers the GET now, since the router is about to exit. A forward in flight may still run.
    pub fn answer_now(&mut self, index: GetIndex) {
        let Some(in_flight) = self.router.gets.get_mut(index).filter(|get| !get.is_answered) else { return };
        in_flight.may_have_run = in_flight
            .may_have_run
            .or(in_flight.current_forward.as_ref().map(|sent| (sent.forward.host, sent.sent_at)));
        self.shed_or_error(index);
    }

    /// Takes the outcome of a forward, and decides again on a GET that has no final answer.
    pub fn on_outcome(&mut self, index: GetIndex, outcome: &Outcome) {
        self.router.update_rings();
        let Some(in_flight) = self.router.gets.get_mut(index) else { return };
        let Some(sent) = in_flight.current_forward.take_if(|sent| sent.attempt == outcome.attempt) else {
            return;
        };
        if !outcome.end.proves_not_run() && outcome.end != End::Returned && in_flight.may_have_run.is_none() {
            in_flight.may_have_run = Some((sent.forward.host, sent.sent_at));
        }
        in_flight.is_answered |= outcome.is_answered;
        in_flight.is_missing_at_source |= outcome.end == End::Miss;
        let none_failed = matches!(outcome.end, End::Miss | End::Spoilt);
        in_flight.last_failed =
            [sent.forward.host, sent.forward.source].map(|tried| Some(tried).filter(|_| !none_failed));
        let InFlightGet { get, key, sending_s, suspect_host, is_answered, may_have_run, .. } = *in_flight;
        // If two hosts answer errored, the GET is the cause. If one does and another returns, that host is the cause.
        in_flight.suspect_host = if outcome.end == End::Errored {
            suspect_host.xor(Some(sent.forward.host))
        } else {
            suspect_host
        };
        if let Some(host) =
            suspect_host.filter(|&host| outcome.end == End::Returned && host != sent.forward.host)
        {
            self.router.hosts[host].record_outcome(self.now, false);
        }
        self.update_stats(&sent, outcome, &get, key, sending_s);
        let ds = &self.router.services[get.ds];
        if is_answered {
            self.withdraw_or_release(index);
        } else if ds.is_idempotent || ds.is_tokened || may_have_run.is_none() || !self.router.guards_repeats {
            self.decide(index);
        } else {
            self.shed_or_error(index);
        }
    }

    /// Updates the state of the host, the source, the origin and the service from an outcome.
    fn update_stats(&mut self, sent: &SentForward, outcome: &Outcome, get: &Get, key: u64, sending_s: f64) {
        let (now, router, is_own_source) =
            (self.now, &mut *self.router, sent.forward.host == sent.forward.source);
        let source_failed =
            matches!(outcome.note, Note::SourceRefused | Note::SourceBroke | Note::OriginFailed)
                || !router.site.has_fill_notes && matches!(outcome.end, End::Errored | End::Full);
        let is_cold = router.slow_start_fraction(sent.forward.host, now).is_some();
        let host = &mut router.hosts[sent.forward.host];
        host.link.in_flight = (host.link.in_flight - 1.0).max(0.0);
        if matches!(outcome.end, End::Returned | End::Miss | End::Full) || source_failed {
            (host.last_answer, host.answer_due) = (now, Duration::MAX);
        }
        let is_silent = now >= sent.overdue_at && host.last_answer < sent.sent_at;
        match outcome.end {
            End::Returned | End::Miss => host.record_outcome(now, true),
            End::Errored if source_failed && !is_own_source => host.record_outcome(now, true),
            End::Full if is_cold => host.record_outcome(now, false),
            End::NoConnection | End::Reset => host.record_outcome(now, false),
            End::TimedOut | End::Withdrawn if is_silent => host.record_outcome(now, false),
            _ => {}
        }
        let (ds, elapsed_s) = (&router.services[get.ds], outcome.elapsed.as_secs_f64());
        let (is_returned, wait_s) = (outcome.end == End::Returned, outcome.source_wait.as_secs_f64());
        let is_in_time = elapsed_s <= ds.objective_s + ds.objective_stretch * sending_s;
        let is_cut_short = matches!(outcome.end, End::TimedOut | End::Withdrawn);
        let is_filled = matches!(outcome.note, Note::Filled | Note::FilledFromOrigin | Note::Joined);
        let is_completed = is_returned && (is_filled || ds.is_write);
        let reported_wait_s = (is_completed && router.site.has_fill_notes).then_some(wait_s);
        let fill_outcome = FillOutcome {
            in_time: is_in_time && is_completed,
            waited_s: reported_wait_s,
            objective_s: ds.objective_s,
            duration: outcome.elapsed,
        };
        if ds.is_write {
            // A request that runs at the origin shows how long it takes there.
            let shows_origin = router.site.has_fill_notes && (is_returned || is_cut_short && !is_in_time);
            if let Some(origin) =
                router.origin.filter(|&origin| shows_origin && origin == sent.forward.source)
            {
                router.hosts[origin].record_fill(&fill_outcome, now);
            }
            return;
        }
        let fill_count = f64::from(u8::from(sent.is_fill));
        router.hosts[sent.forward.source].fills_in_flight -= fill_count;
        router.hosts[router.origin.unwrap_or(sent.forward.source)].fills_in_flight -= sent.origin_fraction;
        router.location_link.in_flight -= fill_count;
        // Where the wait is not reported, only a transfer that is long beside any wait shows the pace of the link.
        let shows_pace = router.site.link_transfers == 0.0
            && (router.site.has_fill_notes || sending_s > ds.objective_s * MIN_SENDING_OBJECTIVES);
        if is_filled && is_returned && shows_pace {
            let pace = sending_s / (elapsed_s - wait_s).max(1e-3);
            router.location_link.record_pace(
                router.site.other_local_routers,
                pace,
                if router.site.has_fill_notes { CONGESTED_PACE } else { CONGESTED_PACE_WITH_WAIT },
            );
        }
        // A fill that its client or host cancelled early shows nothing about the source.
        let fill_failed = sent.is_fill && (source_failed || is_cut_short && !is_in_time);
        let is_unfinished =
            sent.is_fill && is_cut_short && router.hosts[sent.forward.host].last_answer > sent.sent_at;
        let is_hit = matches!(outcome.note, Note::Hit | Note::Stale);
        if (is_filled || is_hit) && is_returned && !outcome.is_unmodified || is_unfinished {
            router.hosts[if is_hit { sent.forward.host } else { sent.forward.source }]
                .latency
                .record(elapsed_s, wait_s, sending_s, now);
        }
        let mut is_congested = false;
        if sent.is_fill
            && is_returned
            && router.site.has_fill_notes
            && Some(sent.forward.source) != router.origin
        {
            router.origin_fraction = moving_average(
                router.origin_fraction,
                f64::from(u8::from(outcome.note == Note::FilledFromOrigin)),
                ORIGIN_FRACTION_WEIGHT,
            );
        }
        if !sent.forward.only_if_cached && (is_filled && is_returned || fill_failed) {
            // A fill that a parent had to request from the origin shows the state of the origin. One that was cut
            // short shows that of either.
            let asked_origin = matches!(outcome.note, Note::FilledFromOrigin | Note::OriginFailed);
            let origin =
                router.origin.filter(|&origin| router.site.has_fill_notes && origin != sent.forward.source);
            if let Some(origin) = origin.filter(|_| asked_origin || is_unfinished) {
                is_congested = router.hosts[origin].record_fill(&fill_outcome, now);
            }
            if origin.is_none() || !asked_origin {
                is_congested |= router.hosts[sent.forward.source].record_fill(&fill_outcome, now);
            }
        }
        let (stats, host) = (&mut router.service_stats[get.ds], &mut router.hosts[sent.forward.host]);
        if is_returned {
            router.work_since_wakeup_s += if is_cold { 0.0 } else { stats.work.mean_s() };
            router.last_returned.set(key, now);
        }
        if get.size_kb == 0.0 && is_returned && !outcome.is_unmodified {
            // Parts of an object are alike: the time of one, without the wait, predicts that of the others. It is not
            // corrected by the load that this router supposes at the host.
            let observed_s = (elapsed_s - wait_s).max(1e-3);
            let object = mix(get.object);
            let known_s = router.part_sending_s.get(object).filter(|&known_s| known_s < observed_s);
            router.part_sending_s.set(
                object,
                known_s.map_or(observed_s, |known_s| moving_average(known_s, observed_s, SAMPLE_WEIGHT)),
            );
            stats.sample_count += 1.0;
            let weight = SAMPLE_WEIGHT.max(1.0 / stats.sample_count);
            stats.mean_sending_s = moving_average(stats.mean_sending_s, observed_s, weight);
            // The wait that a joined fill reports may have begun before the forward.
            if outcome.note != Note::Joined {
                stats.work.record(observed_s);
                stats.service_range.record(observed_s);
            }
        }
        if is_hit && is_returned && get.size_kb > 0.0 {
            host.link.record_pace(
                router.site.other_local_routers,
                sending_s / elapsed_s.max(1e-3),
                CONGESTED_PACE,
            );
        }
        let is_source_silent = is_unfinished && router.hosts[sent.forward.source].last_answer < sent.sent_at;
        if is_filled && !is_own_source {
            let source = &mut router.hosts[sent.forward.source];
            (source.last_answer, source.answer_due) = (now, Duration::MAX);
            source.record_outcome(now, true);
        } else if (source_failed && outcome.note != Note::OriginFailed || is_source_silent) && !is_own_source
        {
            router.hosts[sent.forward.source].record_outcome(now, false);
        }
        let is_bad_fill =
            is_filled && (is_congested || !is_in_time && !router.site.has_fill_notes) || source_failed;
        let is_reported_from_origin =
            outcome.note == Note::FilledFromOrigin || is_filled && Some(sent.forward.source) == router.origin;
        let is_from_origin = if router.site.has_fill_notes { is_reported_from_origin } else { is_filled };
        if is_from_origin || is_bad_fill {
            router.fill_counts.add(1, u32::from(is_bad_fill));
        }
        router.record_misses(get.ds, u32::from(!is_hit));
    }

    /// Records one outcome of a host that followers or a late connection report. Only the host's last few outcomes
    /// count.
    pub fn on_host_report(&mut self, host: HostIndex, success: bool) {
        self.router.hosts.get_mut(host).into_iter().for_each(|host| host.record_outcome(self.now, success));
    }

    /// Records what followers report about a service's fills from one source: all fills, the late or failed ones
    /// among them, and those in flight.
    pub fn on_fill_report(&mut self, ds: usize, source: HostIndex, all: u32, bad: u32, in_flight: u32) {
        let router = &mut *self.router;
        router.update_rings();
        let Some(host) = router.hosts.get_mut(source).filter(|_| ds < router.services.len()) else { return };
        host.fills_in_flight = f64::from(in_flight);
        if all > 0 {
            host.record_fill(&FillOutcome::untimed(bad * 2 <= all), self.now);
        }
        router.fill_counts.add(if Some(source) == router.origin { all } else { bad }, bad);
        router.record_misses(ds, all);
    }

    /// The host list is known up to this time: every start that the change log had by then was received.
    pub fn on_list_known(&mut self, until: Duration) {
        self.router.time_reference.list_known_until = self.router.time_reference.list_known_until.max(until);
    }

    /// Unix time is ahead of this router's own clock by at least this, according to two clocks.
    pub fn on_unix_offset(&mut self, offset: Duration) {
        self.router.time_reference.unix_offset = self.router.time_reference.unix_offset.max(offset);
    }

    /// The process of a host has ended, or may have.
    pub fn on_process_ended(&mut self, host: HostIndex, at: Duration, evidence: EndEvidence) {
        self.router.hosts.get_mut(host).into_iter().for_each(|host| host.lifecycle.on_ended(at, evidence));
    }

    /// A connection to a host has come up.
    pub fn on_connected(&mut self, host: HostIndex) {
        self.router.hosts.get_mut(host).into_iter().for_each(|host| host.lifecycle.on_connected(self.now));
    }

    /// Records a purge that was issued `age` ago.
    pub fn on_purge(&mut self, key: PurgeKey, age: Duration) {
        let at = self.now.saturating_sub(age);
        self.router.purges.entry(key).and_modify(|purged_at| *purged_at = at.max(*purged_at)).or_insert(at);
    }

    /// Sets the time since which purges may have been missed; `None` if all are known.
    pub fn set_purges_unknown_since(&mut self, since: Option<Duration>) {
        self.router.purges_unknown_since = since;
    }

    /// Sends the scheduled fills that are due. An index that is another GET's by now is skipped.
    fn send_scheduled_fills(&mut self) {
        for index in std::mem::take(&mut self.router.scheduled_gets) {
            match self.router.gets.get(index).and_then(|get| get.scheduled_fill) {
                Some((_, start_at)) if start_at <= self.now => self.decide(index),
                Some(_) => self.router.scheduled_gets.push(index),
                None => {}
            }
        }
    }

    /// Handles the scheduled wake-up: drops purges that all caches have applied, and updates the running means.
    pub fn on_wakeup(&mut self) {
        let (now, router) = (self.now, &mut *self.router);
        router.update_rings();
        router.is_wakeup_scheduled = false;
        router.purges.retain(|_, purged_at| {
            now < *purged_at + router.site.max_purge_delay + router.site.time_resolution
        });
        let is_warm = |host: &HostIndex| {
            router.hosts[*host].is_usable(now) && router.slow_start_fraction(*host, now).is_none()
        };
        let warm_count = router.caches.members().filter(is_warm).count();
        if warm_count > 0 {
            let rate = std::mem::take(&mut router.work_since_wakeup_s)
                / warm_count as f64
                / WAKEUP_INTERVAL.as_secs_f64();
            router.work_per_warm_cache =
                moving_average(router.work_per_warm_cache, rate, WAKEUP_INTERVAL.div_duration_f64(WINDOW));
        }
        router.location_link.update_mean();
        let best_s = router
            .caches
            .members()
            .map(|cache| router.hosts[cache].latency.estimate_s(1.0, now))
            .fold(f64::MAX, f64::min);
        for cache in router.caches.members() {
            router.hosts[cache].link.update_mean();
            router.hosts[cache].link.slowdown = router.hosts[cache].latency.estimate_s(1.0, now) / best_s;
        }
    }

    /// Ends a round: sends scheduled fills that are due, lets accepted ages return to the fresh times while the
    /// origin is not busy, and requests the host list and the next wake-up if needed.
    fn finish(&mut self) {
        self.router.update_rings();
        self.send_scheduled_fills();
        let (now, router) = (self.now, &mut *self.router);
        router.busy = router.is_origin_busy();
        for (stats, ds) in router.service_stats.iter_mut().zip(&router.services).filter(|_| !router.busy) {
            stats.accepted_age = ds.fresh_time;
            stats.staleness_decay.decay(ds.fresh_time, now);
        }
        if now >= router.subscribe_at {
            router.subscribe_at = Duration::MAX;
            self.out.subscribe_host_list();
        }
        if !std::mem::replace(&mut router.is_wakeup_scheduled, true) {
            self.out.schedule_wakeup(WAKEUP_INTERVAL);
        }
    }
}
