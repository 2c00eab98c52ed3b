//! All decisions of a router. `Router::new` reads the settings; `Router::round(now, &mut out, |round| …)` is
//! called once for all that came in, and the closure makes one plain call per message on `Round`. Decisions
//! go into `out`. Types and the trait `DecisionSink` are defined in `interface.rs`. Times are since the start.
//! The design: a consistent-hash ring names cache and parent; a windowed count of origin fills sets `busy`;
//! busy doubles the accepted age of a delivery service at each miss, up to its upper bound; idle rejects
//! stale copies and lets fresh hits be renewed. Beside it stand six mechanisms:
//! 1. health: a host is judged by the successes among its last few outcomes, silence included;
//! 2. cold-start budget: a host that started lately gets a growing share of its part, within a budget;
//! 3. fill source: the ring's parent, or the next that is well, with fills bounded; else a look at the cache;
//! 4. silence and further forwards: a host with an overdue forward and no answer since is passed by;
//! 5. load bound: what would be late at its cache goes on along the ring or is shed;
//! 6. keep rank: an object seen again outranks one seen once.

use crate::host_life::{EndEvidence, ListingContext, TimeReference};
use crate::interface::*;
use crate::ring::{DirectMappedTable, Ring, RingMember, SlidingCounts};
use crate::site_settings::{DeliveryService, SiteSettings, SlowStartSettings, TokenGroup};
use crate::snapshot;
use crate::state::{HostState, InFlightGet, LinkLoad, SentForward, ServiceStats};
use myrtlegauge_recovery::{ColdSince, FillOutcome, RetryBudget, WorkShare, bits::count_recent, bits::mix};
use slab::Slab;
use std::collections::BTreeMap;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// ms; the design's window.
const WINDOW: Duration = Duration::from_millis(5000);
/// slots in the window; with ten a count lags by a tenth of it.
const SLOTS: usize = 10;
/// fills; fewer slow or failed ones in a window are chance.
const BUSY_LEAST: u32 = 3;
/// slow or failed fills are one in so many of a window's fills when the origin is slow, not chance.
const BUSY_PART: u32 = 4;
/// points on the ring for a host of mean size; evens parts out to a tenth, stays in the processor's cache.
const RING_POINTS: f64 = 96.0;
/// hosts that a walk along a ring meets, of near ones and of others each: with three in ten failed, 32 in a row are one key
/// in 10^16; where all are cold and take a tenth of their keys, three keys in a hundred find none.
pub const MAX_WALKED_HOSTS: usize = 32;
/// outcomes by which a host is judged, half of them successes: few, to find a dead one in time.
const FEW: u32 = 4;
/// ms; a failed host rests this long before one trial, doubled at each failed trial up to four times it.
const REST: Duration = Duration::from_millis(1000);
/// ms; a host without a success for so long may have been restarted and is treated as cold on its return.
const LOST: Duration = Duration::from_millis(2000);
/// ms; step of the running means: far under any latency objective, few calls a second.
const SWEEP: Duration = Duration::from_millis(25);
/// s; least patience beyond the expected sending time: several round trips to a far source.
const PATIENCE: f64 = 0.25;
/// times the expected time that a host may be silent: half as fast as thought is not dead.
const PATIENT: f64 = 2.0;
/// forwards for one GET; a third failure says that the trouble is not one host's.
pub(crate) const MAX_FORWARDS: u32 = 3;
/// ms; a host in slow start that has answered nothing for so long, with something out there, may be reading nothing.
const SILENT: Duration = Duration::from_millis(250);
/// share of what pushes a cold host over: a burst and what drains meanwhile make twice it in one span.
const BUDGET_PART: f64 = 0.5;
/// size of a small host beside the mean, where weights are untold: the cold one may be small.
const SMALLEST: f64 = 0.6;
/// share of the time left for the latency objective that a GET is sent within: room for what comes after it.
const IN_TIME: f64 = 0.8;
/// pace of hits under which a cache's link is full: a cache with room goes faster even where sizes vary.
const CROWDED: f64 = 0.7;
/// the same for fills where their wait is untold and part of their time.
const JAMMED: f64 = 0.4;
/// ms; over which what this router has out at a cache is taken as what each other one has there.
const MEAN_OVER: Duration = Duration::from_millis(1000);
/// transfers; least room learnt: under one, for a host may slow many times while nothing else is out there.
const LEAST_ROOM: f64 = 0.1;
/// weight of a transfer at full pace beyond the learnt room: low, for room is lost faster than it is had.
const RISE: f64 = 0.03;
/// latency objectives that a sending time must take for a wait not told to be small beside it.
const LONG: f64 = 0.5;
/// share of the latency objective taken for the sending time until some are seen.
const SENDING_FIRST: f64 = 0.25;
/// share of the latency objective taken for a request's work at a host in slow start until some are seen: too much is safe.
const WORK_FIRST: f64 = 0.5;
/// weight of a new figure in a running mean; some ten outcomes' memory.
const BLEND: f64 = 0.1;
/// weight of a probable fill in the part of them that comes to the origin: one in twenty does, in some fifty each shows.
const REACHES_BLEND: f64 = 0.02;
/// part of the time left that a fill may wait for its turn, for what comes after it may take longer than thought.
const TURN_PART: f64 = 0.3;
/// ms; a copy returned so lately is taken to be held still: under what caches keep unused.
const HELD: Duration = Duration::from_millis(3000);
/// objects remembered as seen; a power of two, some minutes of a busy router.
const SEEN: usize = 1 << 16;
/// ms; mean wait told to a client that was shed, scattered by half.
const COME_BACK: Duration = Duration::from_millis(500);

/// What a request takes at a cache, s.
#[derive(Clone, Copy)]
struct Work {
    /// By itself.
    alone: f64,
    /// Beside what is there usually.
    crowded: f64,
}

pub struct Router {
    pub(crate) site: SiteSettings,
    pub(crate) services: Vec<DeliveryService>,
    pub(crate) service_stats: Vec<ServiceStats>,
    chance: fastrand::Rng,
    pub(crate) hosts: Vec<HostState>,
    gets: Slab<InFlightGet>,
    pub(crate) caches: Ring,
    pub(crate) parents: Ring,
    pub(crate) origin: Option<HostIndex>,
    fills: SlidingCounts<SLOTS>,
    pub(crate) busy: bool,
    /// By object or group, when it was purged.
    purges: BTreeMap<PurgeKey, Duration>,
    /// What is known of the list and of time.
    known: TimeReference,
    /// Purges of about then may not have been told here: as if all had been purged.
    doubted: Option<Duration>,
    /// By key, when a copy of it was last returned; zero: only asked for.
    seen: DirectMappedTable<Duration>,
    /// By object, where sizes are untold, the sending time of a part as learnt, s.
    sizes: DirectMappedTable<f64>,
    /// The location's link in: probable fills out, their mean, the room as learnt.
    link: LinkLoad,
    /// Work that a warm cache gets from this router, s a second, and what was sent since the last wake-up.
    carried: f64,
    sent_work: f64,
    waking: bool,
    /// GETs whose fills wait for their turn.
    waiting: Vec<GetIndex>,
    again: RetryBudget,
    /// Part of the probable fills from parents that these had to ask the origin for.
    reaches: f64,
    /// When to ask to follow the list; never where it comes unasked.
    follow_at: Duration,
    limits_slow_start: bool,
    guards_repeats: bool,
    slow_start_violations: u64,
}

impl LinkLoad {
    /// Transfers with one more: this router's, and as many as it has on the mean for each other one here.
    fn all(&self, others: f64) -> f64 {
        self.in_flight + 1.0 + self.mean_in_flight * others
    }

    /// Times its full time that a transfer takes among these, by the room as learnt or told; 1 by neither.
    fn slowness(&self, others: f64, told: f64) -> f64 {
        let room = if self.capacity > 0.0 { self.capacity } else { told };
        let drag = if self.slowdown > PATIENT { self.slowdown } else { 1.0 };
        if room > 0.0 { (self.all(others) / room).max(drag) } else { drag }
    }

    /// Learns from a transfer's pace what the link fits: at once while it is full, slowly more while not.
    fn learn(&mut self, others: f64, pace: f64, crowded: f64) {
        let fits = (self.all(others) * pace).max(LEAST_ROOM);
        if pace < crowded {
            self.capacity = if self.capacity > 0.0 { blended(self.capacity, fits, BLEND) } else { fits };
        } else if self.capacity > 0.0 && pace > CROWDED && fits > self.capacity {
            self.capacity = blended(self.capacity, fits, RISE);
        }
    }

    fn pass(&mut self) {
        self.mean_in_flight = blended(self.mean_in_flight, self.in_flight, SWEEP.div_duration_f64(MEAN_OVER));
    }
}

fn blended(mean: f64, new: f64, weight: f64) -> f64 {
    mean + weight * (new - mean)
}

impl HostState {
    fn on(&self) -> bool {
        self.entry.status == HostStatus::Active
    }

    pub(crate) fn has_failed(&self) -> bool {
        count_recent(self.recent_failures, FEW) > FEW / 2
    }

    /// Open to GETs; a failed host, after its rest, to one trial at a time. A silent one, with a forward due
    /// and no answer since, is passed by; what is out there stays, for a fill may run on and be paid twice.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        let silent = self.link.in_flight > 0.0 && now >= self.answer_due;
        self.on()
            && !silent
            && (!self.has_failed() || now >= self.backoff_until && self.link.in_flight == 0.0)
    }

    fn filled(&mut self, told: &FillOutcome, now: Duration) -> bool {
        self.fill_limiter.on_completed(self.fills_in_flight, told, now)
    }

    /// Guards against dead, silent, unreachable and cold, refusing hosts. It hurts crowded ones.
    fn judge(&mut self, now: Duration, success: bool) {
        let failed = self.has_failed();
        self.recent_failures = self.recent_failures << 1 | u32::from(!success);
        if success {
            if failed && now.saturating_sub(self.last_success) > LOST {
                self.recovered_at = now;
            }
            (self.last_success, self.failed_trials) = (now, 0);
        } else if self.has_failed() && (!failed || now >= self.backoff_until) {
            self.backoff_until = now + REST * (1 << self.failed_trials);
            self.failed_trials = (self.failed_trials + 1).min(2);
        }
    }
}

impl Router {
    pub fn new(told: &Settings, seed: u64) -> Result<Self, String> {
        let (site, services) = (SiteSettings::parse(told)?, DeliveryService::parse_all(told)?);
        let learnt = |ds: &DeliveryService| ServiceStats {
            accepted_age: ds.fresh_time,
            mean_sending_s: ds.objective_s * SENDING_FIRST,
            ..ServiceStats::default()
        };
        Ok(Self {
            service_stats: services.iter().map(learnt).collect(),
            follow_at: if site.must_request_list { ZERO } else { Duration::MAX },
            site,
            services,
            chance: fastrand::Rng::with_seed(seed),
            hosts: Vec::new(),
            gets: Slab::with_capacity(1024),
            caches: Ring::default(),
            parents: Ring::default(),
            origin: None,
            fills: SlidingCounts::new(WINDOW),
            busy: false,
            purges: BTreeMap::new(),
            known: TimeReference::default(),
            doubted: None,
            seen: DirectMappedTable::new(SEEN),
            sizes: DirectMappedTable::new(SEEN),
            link: LinkLoad::default(),
            carried: 0.0,
            sent_work: 0.0,
            waking: false,
            waiting: Vec::new(),
            again: RetryBudget::default(),
            reaches: 0.0,
            limits_slow_start: true,
            guards_repeats: true,
            slow_start_violations: 0,
        })
    }

    /// One round with all that came in at `now`.
    pub fn round<D, T>(&mut self, now: Duration, out: &mut D, said: impl FnOnce(&mut Round<'_, D>) -> T) -> T
    where
        D: DecisionSink,
    {
        self.fills.advance(now);
        let mut round = Round { router: self, out, now };
        let told = said(&mut round);
        round.settle();
        told
    }

    /// Number of forwards in flight to a host, as counted here.
    pub fn in_flight_at(&self, host: HostIndex) -> f64 {
        self.hosts.get(host).map_or(0.0, |h| h.link.in_flight)
    }

    /// The design's flag: over this router's share of a told rate, or, with none, by slow and failed fills.
    fn counts_busy(&self) -> bool {
        let (all, bad) = self.fills.totals();
        match self.site.origin_fills_per_s {
            Some(rate) => f64::from(all) > rate / self.site.routers * WINDOW.as_secs_f64(),
            None => bad >= BUSY_LEAST && bad * BUSY_PART > all,
        }
    }

    /// The design's growth: while busy the accepted age doubles at each miss.
    fn missed(&mut self, ds: usize, misses: u32) {
        self.busy = self.counts_busy();
        let (service, learnt) = (&self.services[ds], &mut self.service_stats[ds]);
        for _ in 0..if self.busy { misses.min(u64::BITS) } else { 0 } {
            learnt.accepted_age = (learnt.accepted_age * 2).min(service.fresh_time + service.grace);
            learnt.staleness_decay.raise(learnt.accepted_age);
        }
    }

    /// Lays a ring of the hosts that are on, points by weight.
    fn ring(&self, holds: impl Fn(&Self, &HostEntry) -> bool) -> Ring {
        let members = || self.hosts.iter().filter(|h| h.on() && holds(self, &h.entry)).map(|h| &h.entry);
        let mean = members().map(|e| e.weight).sum::<f64>() / members().count() as f64;
        let points = |e: &HostEntry| (RING_POINTS * e.weight / mean.max(1e-9)).round().max(1.0) as u64;
        let member = |e: &HostEntry| RingMember {
            host: e.host,
            id_hash: e.id_hash,
            points: points(e),
            is_near: self.is_near(e),
        };
        Ring::build(members().map(member))
    }

    pub(crate) fn is_parent(&self, entry: &HostEntry) -> bool {
        Some(entry.kind) == self.site.parent_kind
    }

    /// No parent of another hub.
    pub(crate) fn is_near(&self, entry: &HostEntry) -> bool {
        !self.is_parent(entry)
            || self.site.hub_by_zone.get(entry.zone) == self.site.hub_by_zone.get(self.site.zone)
    }

    pub(crate) fn slow_start_settings(&self, entry: &HostEntry) -> &SlowStartSettings {
        if self.is_parent(entry) { &self.site.parent_slow_start } else { &self.site.cache_slow_start }
    }

    /// Fraction of its full work that a recently started host may get; `None` for a warm host.
    pub(crate) fn slow_start_fraction(&self, host: HostIndex, now: Duration) -> Option<f64> {
        let (entry, began) = (&self.hosts[host].entry, self.hosts[host].process_start(&self.known, now));
        let start = self.slow_start_settings(entry);
        let age = began.age.as_secs_f64() / start.duration.as_secs_f64().max(1e-3);
        let cold = began.at > ZERO && age < 1.0 && entry.kind != self.site.origin_kind;
        let part = if cold {
            snapshot::quantize_fraction(start.initial_fraction + (1.0 - start.initial_fraction) * age)
        } else {
            1.0
        };
        Some(part.min(1.0 - entry.withheld_fraction)).filter(|&part| part < 1.0)
    }

    /// Work of a request of this service as a host in slow start is asked for it: where nothing is learnt yet, as after a
    /// restart, a large part of what the objective allows.
    fn work(&self, get: &Get) -> Work {
        let (learnt, ds) = (&self.service_stats[get.ds], &self.services[get.ds]);
        match (get.size_kb == 0.0, learnt.sample_count == 0.0) {
            (false, _) => Work { alone: learnt.mean_sending_s, crowded: learnt.mean_sending_s },
            (true, true) => Work { alone: ds.objective_s * WORK_FIRST, crowded: ds.objective_s * WORK_FIRST },
            (true, false) => Work {
                alone: learnt.mean_sending_s,
                crowded: learnt.mean_service_s.max(learnt.mean_sending_s),
            },
        }
    }

    /// What this router may send to a host in slow start that takes `warmth` of its full work.
    fn slow_start_share(&self, host: HostIndex, warmth: f64) -> WorkShare {
        let carried = self.carried * (self.site.other_local_routers + 1.0) * SMALLEST;
        let entry = &self.hosts[host].entry;
        let room = if self.site.has_weights { entry.weight } else { carried };
        let start = self.slow_start_settings(entry);
        let rate = BUDGET_PART * start.overload_factor * warmth * room / start.sharing_routers;
        WorkShare { rate, window_s: self.site.overload_window_s }
    }

    /// Cold-start budget, also of a host lost and found again: a fixed part of the keys, the same at every
    /// router, within this router's part of what the host bears.
    fn admits(&mut self, host: HostIndex, key: u64, work: Work, now: Duration) -> bool {
        let Some(warmth) = self.slow_start_fraction(host, now).filter(|_| self.limits_slow_start) else {
            return true;
        };
        let share = self.slow_start_share(host, warmth);
        let (known, phase) = (self.known, self.chance.f64());
        let (is_near, is_parent) =
            (self.is_near(&self.hosts[host].entry), self.is_parent(&self.hosts[host].entry));
        let h = &mut self.hosts[host];
        let takes = is_near && snapshot::is_in_key_fraction(key, h.entry.id_hash, warmth);
        // What a silent host has not answered counts beside what was sent lately: it may read all of that at once.
        let out = if is_parent { h.fills_in_flight } else { h.link.in_flight };
        let is_silent = out > 0.0 && now >= h.last_answer + SILENT;
        let fits =
            !is_silent || (out + 1.0) * work.crowded <= (share.rate * share.window_s).max(work.crowded);
        let began = h.process_start(&known, now);
        let cold_since = ColdSince { at: began.at, is_older_than_router: began.is_from_initial_list };
        takes && fits && h.slow_start.admits(work.alone, share, cold_since, phase, now)
    }

    /// The check of the slow start, on what is really sent to a host or, for a fill, asked of a parent.
    fn check_slow_start(&mut self, host: HostIndex, work: f64, now: Duration) -> bool {
        let Some(warmth) = self.slow_start_fraction(host, now) else { return true };
        let share = self.slow_start_share(host, warmth);
        let holds = self.hosts[host].slow_start_check.check(work, share, now);
        self.slow_start_violations += u64::from(!holds);
        holds
    }

    /// Number of times that a host in slow start got more than this router's share. Zero unless the limit is disabled.
    pub fn slow_start_violations(&self) -> u64 {
        self.slow_start_violations
    }

    /// Disables the limit, so that a test can see its check fail.
    pub fn disable_slow_start_limit(&mut self) {
        self.limits_slow_start = false;
    }

    /// Disables the guard against running an effect twice, so that a test can see its check fail.
    pub fn disable_repeat_guard(&mut self) {
        self.guards_repeats = false;
    }

    /// A tokened GET that may have run stays in the group that drops its repeats, and in the window.
    fn may_go(&self, g: &InFlightGet, host: HostIndex, now: Duration) -> bool {
        let ds = &self.services[g.get.ds];
        let Some((ran_at, _)) = g.may_have_run.filter(|_| self.guards_repeats) else { return true };
        let (a, b) = (&self.hosts[ran_at].entry, &self.hosts[host].entry);
        let same = match ds.token_group {
            TokenGroup::All => true,
            TokenGroup::Zone => a.zone == b.zone,
            TokenGroup::Cell => a.cell == b.cell,
        };
        ds.is_idempotent || ds.is_tokened && same && self.window_ends(g).is_none_or(|at| now < at)
    }

    /// Until when what may have run can be sent again, where it may not simply be repeated.
    fn window_ends(&self, g: &InFlightGet) -> Option<Duration> {
        let ran = g.may_have_run.filter(|_| !self.services[g.get.ds].is_idempotent);
        ran.map(|(_, at)| at + self.services[g.get.ds].token_window.saturating_sub(self.site.time_resolution))
    }

    fn purged_at(&self, get: &Get) -> Option<Duration> {
        let named = [PurgeKey::Object(get.object), PurgeKey::Group(get.group)];
        named.iter().filter_map(|named| self.purges.get(named)).copied().chain(self.doubted).max()
    }

    /// The oldest copy that will do.
    fn oldest(&self, get: &Get, key: u64, now: Duration) -> Duration {
        let accepted = self.service_stats[get.ds].staleness_decay.accepted_age(
            key,
            self.services[get.ds].fresh_time,
            now,
        );
        snapshot::max_accepted_age(accepted, self.purged_at(get), now, self.site.time_resolution)
    }

    /// Times its sending time that a GET takes at a cache.
    fn slowness(&self, host: HostIndex) -> f64 {
        let told = if self.site.has_weights { self.hosts[host].entry.weight } else { 0.0 };
        self.hosts[host].link.slowness(self.site.other_local_routers, told)
    }

    /// The cache that the ring names, or the next that can take the GET in time; and whether any is open.
    fn cache(&mut self, place: GetIndex, within: f64, now: Duration) -> (Option<HostIndex>, bool) {
        let ring = std::mem::take(&mut self.caches);
        let InFlightGet { get, key, sending_s: sending, .. } = self.gets[place];
        let (work, mut any) = (self.work(&get), false);
        let mut first = |again: bool| {
            ring.walk::<MAX_WALKED_HOSTS>(key, true).find(|&host| {
                let g = &self.gets[place];
                let open = (again || g.last_failed[0] != Some(host)) && self.hosts[host].is_usable(now);
                let open = open && self.may_go(g, host, now);
                any |= open;
                let fits = open && sending * self.slowness(host) <= within;
                fits && self.admits(host, key, work, now)
            })
        };
        let found = first(false).or_else(|| first(true));
        self.caches = ring;
        (found, any)
    }

    /// The parent that the ring names, or the next that can take the fill, own hub first; else the origin;
    /// else, while busy, a full parent for what it holds, told by the flag that comes with it.
    fn source(
        &mut self,
        place: GetIndex,
        fill: bool,
        within: f64,
        now: Duration,
    ) -> Option<(HostIndex, bool)> {
        let InFlightGet {
            get, key, last_failed: [_, tried], sending_s: sending, scheduled_fill: goes, ..
        } = self.gets[place];
        let (work, ring) = (self.work(&get), std::mem::take(&mut self.parents));
        let paced = |h: &HostState| h.fill_limiter.has_room(h.fills_in_flight, now);
        let (origin, open) =
            (self.origin, self.reaches == 0.0 || self.origin.is_none_or(|o| paced(&self.hosts[o])));
        let room = |h: &HostState| {
            let turn = goes.is_some_and(|(host, _)| host == h.entry.host);
            let paced = turn || paced(h) && (open || origin == Some(h.entry.host));
            !fill || paced && h.latency.estimate_s(sending, now) <= within
        };
        let (mut full, mut listed) = (None, None);
        let mut fit = |near: bool| {
            ring.walk::<MAX_WALKED_HOSTS>(key, near).find(|&host| {
                let h = &self.hosts[host];
                let open = Some(host) != tried && h.is_usable(now);
                full = full.or(Some(host).filter(|_| open && !room(h)));
                listed = listed.or(Some(host).filter(|_| h.is_usable(now)));
                open && full.is_none() && self.admits(host, key, work, now)
            })
        };
        let found = fit(true).or_else(|| fit(false));
        self.parents = ring;
        let spared = full.is_some() && self.busy && self.site.has_fill_notes;
        let found = found.or(self.origin.filter(|&origin| !spared && room(&self.hosts[origin])));
        found.map(|host| (host, false)).or_else(|| {
            let held = full.or(listed).filter(|_| self.busy && !self.gets[place].is_missing_at_source)?;
            self.admits(held, key, work, now).then_some((held, true))
        })
    }

    /// The origin, where a host's own sources ask it: its bound is on all that comes to it, by whatever way. Guards an origin
    /// behind many parents, of each of which a router sees too little; it hurts what a parent holds while that is full.
    fn behind(&self, source: HostIndex) -> Option<HostIndex> {
        self.origin.filter(|&origin| origin != source && self.reaches > 0.0)
    }

    /// Has a fill wait for its turn at the ring's parent, else the origin, if it is in time then; none: its bound there is
    /// no matter of time. Guards GETs that come unevenly; it hurts by late fills where the source slows meanwhile.
    fn waits(&mut self, place: GetIndex, within: f64, now: Duration) -> Option<bool> {
        let InFlightGet { key, sending_s: sending, scheduled_fill: goes, .. } = self.gets[place];
        let near = self.parents.walk::<MAX_WALKED_HOSTS>(key, true).find(|&h| self.hosts[h].is_usable(now));
        let by_turns = |h: HostIndex| self.hosts[h].fill_limiter.limit() < 1.0;
        let host = near.or(self.origin).filter(|_| goes.is_none())?;
        (by_turns(host) || self.behind(host).is_some_and(by_turns)).then_some(())?;
        let opens =
            |h: HostIndex| self.hosts[h].fill_limiter.available_at(self.hosts[h].fills_in_flight, now);
        let at = opens(host)?.max(self.behind(host).map_or(Some(now), opens)?);
        let wait = (at - now).as_secs_f64();
        let expected = self.hosts[host].latency.estimate_s(sending, now);
        let in_time = wait <= within * TURN_PART && wait + expected <= within;
        if in_time {
            self.sent_to(host, now);
            self.gets[place].scheduled_fill = Some((host, at));
            self.waiting.push(place);
        }
        Some(in_time)
    }

    fn sent_to(&mut self, source: HostIndex, now: Duration) {
        self.hosts[source].fill_limiter.on_sent(1.0, now);
        self.behind(source).into_iter().for_each(|o| self.hosts[o].fill_limiter.on_sent(self.reaches, now));
    }

    /// Ranks an object seen again over one seen once, so that a scan can't push out what is wanted.
    fn rank(&mut self, key: u64) -> u8 {
        if self.seen.get(key).is_none() {
            self.seen.set(key, ZERO);
            return 1;
        }
        2
    }

    /// A copy was returned lately and not purged since, so that a cache probably holds it still.
    fn held(&self, g: &InFlightGet, now: Duration) -> bool {
        let since = self.purged_at(&g.get).unwrap_or(ZERO).max(now.saturating_sub(HELD));
        self.seen.get(g.key).is_some_and(|at| at > since)
    }
}

/// One round of inputs to a router. Each input is one method call.
pub struct Round<'a, D: DecisionSink> {
    pub(crate) router: &'a mut Router,
    out: &'a mut D,
    now: Duration,
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

    /// Takes a GET and decides on it.
    pub fn on_get(&mut self, get: Get) {
        let r = &mut *self.router;
        let Some(learnt) = r.service_stats.get_mut(get.ds) else {
            self.out.error(r.gets.vacant_key());
            return self.out.release(r.gets.vacant_key());
        };
        let (object, told) =
            (mix(get.object), (get.size_kb > 0.0).then_some(get.size_kb / r.site.transfer_kb_per_s));
        let sending = told.or_else(|| r.sizes.get(object)).unwrap_or(learnt.mean_sending_s);
        learnt.mean_sending_s =
            told.map_or(learnt.mean_sending_s, |told| blended(learnt.mean_sending_s, told, BLEND));
        let place = r.gets.insert(InFlightGet {
            get,
            taken_at: self.now,
            key: snapshot::ring_key(get.object, get.part),
            sending_s: sending,
            ..InFlightGet::default()
        });
        self.decide(place);
    }

    /// Sends the GET on, or gives it up at once.
    fn decide(&mut self, place: GetIndex) {
        let (now, r) = (self.now, &mut *self.router);
        let g = &r.gets[place];
        let (get, key, sending, tried, hops) = (g.get, g.key, g.sending_s, g.last_failed, g.forward_count);
        let left = (g.taken_at + get.viewer_timeout).saturating_sub(now + r.site.time_resolution * 2);
        let (ds, write) = (&r.services[get.ds], r.services[get.ds].is_write);
        let objective = ds.objective_s + ds.objective_stretch * sending - (now - g.taken_at).as_secs_f64();
        let hopeless = left.is_zero()
            || get.size_kb > 0.0 && left.as_secs_f64() < sending
            || get.in_shed_fraction && !write;
        if hopeless || hops >= r.site.max_forwards.min(MAX_FORWARDS) {
            return self.give_up(place);
        }
        let fill = !write && !r.held(&r.gets[place], now);
        let within = if write { f64::INFINITY } else { (objective * IN_TIME).max(sending) };
        let (chosen, any) =
            if write && r.site.can_bypass_caches { (None, false) } else { r.cache(place, within, now) };
        if chosen.is_none() && any {
            return self.give_up(place);
        }
        let origin = r.origin.filter(|&origin| write && tried[1] != Some(origin));
        // While the origin is busy a client's try again has a fill within a budget: first ones can still be in time.
        let late = fill
            && sending * r.link.slowness(r.site.other_local_routers, r.site.link_transfers) > within
            || get.is_retry && r.busy && !r.again.allows();
        let asked = |r: &mut Router| if late { None } else { r.source(place, fill, within, now) };
        let source = origin.map(|origin| (origin, false)).or_else(|| asked(r));
        // No fill would be in time: the cache is asked for what it holds, once.
        let look = chosen.filter(|_| source.is_none() && !write && !r.gets[place].is_missing_at_source);
        if fill && !late && chosen.is_some() && source.is_none_or(|(_, held)| held) {
            match r.waits(place, within.min(left.as_secs_f64()), now) {
                Some(true) => return,
                // No room in a part under one fill, a share among many, nor at the origin: a failed fill in the flag's count.
                Some(false) => {
                    let full =
                        |o: HostIndex| !r.hosts[o].fill_limiter.has_room(r.hosts[o].fills_in_flight, now);
                    let refused = u32::from(r.origin.is_none_or(full));
                    r.fills.add(refused, refused);
                }
                None => {}
            }
        }
        let source = source.or(look.map(|host| (host, false)));
        let (source, held_only) = source.map_or((None, false), |(host, held)| (Some(host), held));
        if source.is_none() && !write {
            return self.give_up(place);
        }
        let fill = fill && look.is_none();
        let host = chosen.or(source.filter(|_| r.site.can_bypass_caches));
        let Some(host) = host.filter(|&host| r.may_go(&r.gets[place], host, now)) else {
            return self.give_up(place);
        };
        let forward = Forward {
            host,
            // Asked straight, a parent that is its own source would only look.
            source: r.origin.filter(|_| chosen.is_none()).or(source).unwrap_or(host),
            timeout: left,
            retention_rank: if write { 0 } else { r.rank(key) },
            accepted_age: if write { ZERO } else { r.oldest(&get, key, now) },
            join_fill: r.site.can_join_fills && !write,
            only_if_cached: held_only,
            renew: !r.busy && !write,
            start_deadline: r.window_ends(&r.gets[place]).unwrap_or(ZERO),
        };
        let work = r.work(&get).alone;
        let asked_fill = Some(forward.source).filter(|&source| source != host);
        for cold in [Some(host), asked_fill].into_iter().flatten() {
            if !r.check_slow_start(cold, work, now) {
                let mark = r.hosts[cold].entry.id_hash;
                self.out
                    .log(format_args!("broken: host {cold} ({mark:016x}) in slow start gets over its share"));
            }
        }
        let slowness = r.slowness(host);
        let patience = (objective - sending).max(sending * slowness * PATIENT + PATIENCE);
        let overdue = now + Duration::from_secs_f64(patience);
        let h = &mut r.hosts[host];
        h.answer_due = if h.link.in_flight > 0.0 { h.answer_due.min(overdue) } else { overdue };
        h.link.in_flight += 1.0;
        let (fills, turn, withdrawn) =
            (f64::from(u8::from(fill)), r.gets[place].scheduled_fill.take(), false);
        let behind = r.behind(forward.source).filter(|_| fill && !held_only);
        let (reaches, hop, to, at) = (behind.map_or(0.0, |_| r.reaches), hops, forward, now);
        r.gets[place].current_forward = Some(SentForward {
            attempt: hop,
            forward: to,
            sent_at: at,
            overdue_at: overdue,
            is_fill: fill,
            origin_fraction: reaches,
            slowness,
            is_withdrawn: withdrawn,
        });
        r.gets[place].forward_count += 1;
        if fill {
            r.hosts[forward.source].fills_in_flight += fills;
            behind.into_iter().for_each(|origin| r.hosts[origin].fills_in_flight += reaches);
            if turn.is_none() && !held_only {
                r.sent_to(forward.source, now);
            }
            r.again.record_fill(get.is_retry);
        }
        r.link.in_flight += fills;
        self.out.forward(place, &forward);
    }

    /// The final answer of a GET given up on, at once: idempotent or proven not run, it is shed.
    fn give_up(&mut self, place: GetIndex) {
        let r = &mut *self.router;
        let g = &mut r.gets[place];
        g.is_answered = true;
        let ds = &r.services[g.get.ds];
        if ds.is_idempotent || g.may_have_run.is_none() || ds.is_tokened && ds.token_group == TokenGroup::All
        {
            let wait = COME_BACK.mul_f64(0.5 + r.chance.f64());
            self.out.shed(place, r.site.max_retry_after.map(|most| wait.min(most)));
        } else {
            self.out.error(place);
        }
        self.free(place);
    }

    /// Calls off what is out for an answered GET. Its place is reused only once nothing is.
    fn free(&mut self, place: GetIndex) {
        let g = &mut self.router.gets[place];
        if let Some(sent) =
            g.current_forward.as_mut().filter(|s| !s.is_withdrawn && self.router.site.can_withdraw)
        {
            sent.is_withdrawn = true;
            self.out.withdraw(place, sent.attempt);
        }
        if g.current_forward.is_none() {
            self.router.gets.remove(place);
            self.out.release(place);
        }
    }

    /// The client has gone or no longer waits for this GET.
    pub fn on_abandoned(&mut self, place: GetIndex) {
        let Some(g) = self.router.gets.get_mut(place) else { return };
        g.is_answered = true;
        self.free(place);
    }

    /// Answers the GET now, since the router is about to exit. A forward in flight may still run.
    pub fn answer_now(&mut self, place: GetIndex) {
        let Some(g) = self.router.gets.get_mut(place).filter(|g| !g.is_answered) else { return };
        g.may_have_run =
            g.may_have_run.or(g.current_forward.as_ref().map(|sent| (sent.forward.host, sent.sent_at)));
        self.give_up(place);
    }

    /// Takes the outcome of a forward, and decides again on a GET that has no final answer.
    pub fn on_outcome(&mut self, place: GetIndex, o: &Outcome) {
        let Some(g) = self.router.gets.get_mut(place) else { return };
        let Some(sent) = g.current_forward.take_if(|s| s.attempt == o.attempt) else { return };
        if !o.end.proves_not_run() && o.end != End::Returned && g.may_have_run.is_none() {
            g.may_have_run = Some((sent.forward.host, sent.sent_at));
        }
        g.is_answered |= o.is_answered;
        g.is_missing_at_source |= o.end == End::Miss;
        let none_failed = matches!(o.end, End::Miss | End::Spoilt);
        g.last_failed =
            [sent.forward.host, sent.forward.source].map(|tried| Some(tried).filter(|_| !none_failed));
        let InFlightGet {
            get,
            key,
            sending_s: sending,
            suspect_host: doubted,
            is_answered: answered,
            may_have_run,
            ..
        } = *g;
        // Two hosts that err tell of the GET; one that errs where another returns, of that host.
        g.suspect_host = if o.end == End::Errored { doubted.xor(Some(sent.forward.host)) } else { doubted };
        if let Some(host) = doubted.filter(|&host| o.end == End::Returned && host != sent.forward.host) {
            self.router.hosts[host].judge(self.now, false);
        }
        self.learn(&sent, o, &get, key, sending);
        let ds = &self.router.services[get.ds];
        if answered {
            self.free(place);
        } else if ds.is_idempotent || ds.is_tokened || may_have_run.is_none() || !self.router.guards_repeats {
            self.decide(place);
        } else {
            self.give_up(place);
        }
    }

    /// What an outcome tells of the host, the source and the origin.
    fn learn(&mut self, sent: &SentForward, o: &Outcome, get: &Get, key: u64, sending: f64) {
        let (now, r, straight) = (self.now, &mut *self.router, sent.forward.host == sent.forward.source);
        let source_failed = matches!(o.note, Note::SourceRefused | Note::SourceBroke | Note::OriginFailed)
            || !r.site.has_fill_notes && matches!(o.end, End::Errored | End::Full);
        let (cold, slowness) =
            (r.slow_start_fraction(sent.forward.host, now).is_some(), r.slowness(sent.forward.host));
        let h = &mut r.hosts[sent.forward.host];
        h.link.in_flight = (h.link.in_flight - 1.0).max(0.0);
        if matches!(o.end, End::Returned | End::Miss | End::Full) || source_failed {
            (h.last_answer, h.answer_due) = (now, Duration::MAX);
        }
        let unheard = now >= sent.overdue_at && h.last_answer < sent.sent_at;
        match o.end {
            End::Returned | End::Miss => h.judge(now, true),
            End::Errored if source_failed && !straight => h.judge(now, true),
            End::Full if cold => h.judge(now, false),
            End::NoConnection | End::Reset => h.judge(now, false),
            End::TimedOut | End::Withdrawn if unheard => h.judge(now, false),
            _ => {}
        }
        let (ds, spent) = (&r.services[get.ds], o.elapsed.as_secs_f64());
        let (returned, wait) = (o.end == End::Returned, o.source_wait.as_secs_f64());
        let in_time = spent <= ds.objective_s + ds.objective_stretch * sending;
        let cut_short = matches!(o.end, End::TimedOut | End::Withdrawn);
        let filled = matches!(o.note, Note::Filled | Note::FilledFromOrigin | Note::Joined);
        let came = returned && (filled || ds.is_write);
        let waited = (came && r.site.has_fill_notes).then_some(wait);
        let told = FillOutcome {
            in_time: in_time && came,
            waited_s: waited,
            objective_s: ds.objective_s,
            duration: o.elapsed,
        };
        if ds.is_write {
            // What runs at the origin tells how long it takes there.
            let tells = r.site.has_fill_notes && (returned || cut_short && !in_time);
            if let Some(origin) = r.origin.filter(|&origin| tells && origin == sent.forward.source) {
                r.hosts[origin].filled(&told, now);
            }
            return;
        }
        let fills = f64::from(u8::from(sent.is_fill));
        r.hosts[sent.forward.source].fills_in_flight -= fills;
        r.hosts[r.origin.unwrap_or(sent.forward.source)].fills_in_flight -= sent.origin_fraction;
        r.link.in_flight -= fills;
        // Where the wait is untold, only what takes long beside any wait tells the link's pace.
        let tells =
            r.site.link_transfers == 0.0 && (r.site.has_fill_notes || sending > ds.objective_s * LONG);
        if filled && returned && tells {
            let pace = sending / (spent - wait).max(1e-3);
            r.link.learn(
                r.site.other_local_routers,
                pace,
                if r.site.has_fill_notes { CROWDED } else { JAMMED },
            );
        }
        // What its client or host broke off early tells nothing of a source.
        let failed = sent.is_fill && (source_failed || cut_short && !in_time);
        let unfinished = sent.is_fill && cut_short && r.hosts[sent.forward.host].last_answer > sent.sent_at;
        let hit = matches!(o.note, Note::Hit | Note::Stale);
        if (filled || hit) && returned || unfinished {
            r.hosts[if hit { sent.forward.host } else { sent.forward.source }]
                .latency
                .record(spent, wait, sending, now);
        }
        let mut pressed = false;
        if sent.is_fill && returned && r.site.has_fill_notes && Some(sent.forward.source) != r.origin {
            r.reaches =
                blended(r.reaches, f64::from(u8::from(o.note == Note::FilledFromOrigin)), REACHES_BLEND);
        }
        if !sent.forward.only_if_cached && (filled && returned || failed) {
            // What a parent had to ask the origin for tells of the origin; what was cut short, of either.
            let asked = matches!(o.note, Note::FilledFromOrigin | Note::OriginFailed);
            let origin = r.origin.filter(|&origin| r.site.has_fill_notes && origin != sent.forward.source);
            if let Some(origin) = origin.filter(|_| asked || unfinished) {
                pressed = r.hosts[origin].filled(&told, now);
            }
            if origin.is_none() || !asked {
                pressed |= r.hosts[sent.forward.source].filled(&told, now);
            }
        }
        let (learnt, h) = (&mut r.service_stats[get.ds], &mut r.hosts[sent.forward.host]);
        if returned {
            r.sent_work += if cold { 0.0 } else { learnt.mean_sending_s };
            r.seen.set(key, now);
        }
        if get.size_kb == 0.0 && returned {
            // Parts of an object are alike: what one took, less the wait and the crowd, tells of the others.
            let seen = (spent - wait).max(1e-3) * 2.0 / (sent.slowness + slowness);
            let object = mix(get.object);
            let known = r.sizes.get(object).filter(|&known| known < seen);
            r.sizes.set(object, known.map_or(seen, |known| blended(known, seen, BLEND)));
            learnt.sample_count += 1.0;
            let weight = BLEND.max(1.0 / learnt.sample_count);
            learnt.mean_sending_s = blended(learnt.mean_sending_s, seen, weight);
            learnt.mean_service_s = blended(learnt.mean_service_s, (spent - wait).max(1e-3), weight);
        }
        if hit && returned && get.size_kb > 0.0 {
            h.link.learn(r.site.other_local_routers, sending / spent.max(1e-3), CROWDED);
        }
        let silent = unfinished && r.hosts[sent.forward.source].last_answer < sent.sent_at;
        if filled && !straight {
            let h = &mut r.hosts[sent.forward.source];
            (h.last_answer, h.answer_due) = (now, Duration::MAX);
            h.judge(now, true);
        } else if (source_failed && o.note != Note::OriginFailed || silent) && !straight {
            r.hosts[sent.forward.source].judge(now, false);
        }
        let bad = filled && (pressed || !in_time && !r.site.has_fill_notes) || source_failed;
        let by_origin = o.note == Note::FilledFromOrigin || filled && Some(sent.forward.source) == r.origin;
        let from_origin = if r.site.has_fill_notes { by_origin } else { filled };
        if from_origin || bad {
            r.fills.add(1, u32::from(bad));
        }
        r.missed(get.ds, u32::from(!hit));
    }

    /// Records one outcome of a host that followers or a late connection report. Only the host's last few outcomes count.
    pub fn on_host_report(&mut self, host: HostIndex, success: bool) {
        self.router.hosts.get_mut(host).into_iter().for_each(|h| h.judge(self.now, success));
    }

    /// Records what followers report about a service's fills from one source: all fills, the late or failed ones among them,
    /// and those in flight.
    pub fn on_fill_report(&mut self, ds: usize, source: HostIndex, all: u32, bad: u32, out: u32) {
        let r = &mut *self.router;
        let Some(h) = r.hosts.get_mut(source).filter(|_| ds < r.services.len()) else { return };
        h.fills_in_flight = f64::from(out);
        if all > 0 {
            h.filled(&FillOutcome::untimed(bad * 2 <= all), self.now);
        }
        r.fills.add(if Some(source) == r.origin { all } else { bad }, bad);
        r.missed(ds, all);
    }

    /// The host list is known up to this time: every start that the change log had by then was received.
    pub fn on_list_known(&mut self, until: Duration) {
        self.router.known.list_known_until = self.router.known.list_known_until.max(until);
    }

    /// Unix time is ahead of this router's own clock by at least this, according to two clocks.
    pub fn on_unix_offset(&mut self, offset: Duration) {
        self.router.known.unix_offset = self.router.known.unix_offset.max(offset);
    }

    /// The process of a host has ended, or may have.
    pub fn on_process_ended(&mut self, host: HostIndex, at: Duration, evidence: EndEvidence) {
        self.router.hosts.get_mut(host).into_iter().for_each(|h| h.lifecycle.on_ended(at, evidence));
    }

    /// A connection to a host has come up.
    pub fn on_connected(&mut self, host: HostIndex) {
        self.router.hosts.get_mut(host).into_iter().for_each(|h| h.lifecycle.on_connected(self.now));
    }

    /// Takes an update of the host list.
    pub fn on_host_list<'e>(&mut self, kind: ListUpdate, entries: impl IntoIterator<Item = &'e HostEntry>) {
        let (r, mut laid) = (&mut *self.router, matches!(kind, ListUpdate::Full | ListUpdate::Persisted));
        if laid {
            r.hosts.iter_mut().for_each(|h| h.entry.status = HostStatus::Removed);
        } else if kind == ListUpdate::Failed {
            r.follow_at = self.now + REST;
        }
        for entry in entries {
            // What happens to caches elsewhere changes no ring here.
            laid |= r.is_parent(entry) || r.site.serves(entry.zone) || entry.kind == r.site.origin_kind;
            r.hosts.resize(r.hosts.len().max(entry.host + 1), HostState::default());
            let (sharers, h) = (r.site.source_sharers(r.is_parent(entry)), &mut r.hosts[entry.host]);
            let is_new = h.entry.id_hash != entry.id_hash;
            if is_new {
                *h = HostState::default();
            }
            let heard = match (is_new, kind) {
                (true, ListUpdate::Persisted) => ListingContext::InitialList,
                (true, _) => ListingContext::NewHost,
                (false, _) => ListingContext::KnownHost,
            };
            if h.lifecycle.on_listed(entry.start, heard, self.now) && !is_new {
                // A fresh start: what was known of the old process does not count.
                (h.recent_failures, h.failed_trials, h.link.capacity, h.recovered_at, h.fill_limiter) =
                    Default::default();
            }
            h.entry = *entry;
            let others = entry.kind == r.site.origin_kind && r.site.has_fill_notes;
            h.fill_limiter.start(sharers, others, r.chance.f64(), self.now);
        }
        if laid {
            r.caches =
                r.ring(|r, e| r.site.serves(e.zone) && !r.is_parent(e) && e.kind != r.site.origin_kind);
            r.parents = r.ring(Router::is_parent);
            r.origin = r.hosts.iter().position(|h| h.on() && h.entry.kind == r.site.origin_kind);
        }
    }

    /// Records a purge that was issued `age` ago.
    pub fn on_purge(&mut self, named: PurgeKey, age: Duration) {
        let at = self.now.saturating_sub(age);
        self.router.purges.entry(named).and_modify(|known| *known = at.max(*known)).or_insert(at);
    }

    /// Sets the time since which purges may have been missed; `None` if all are known.
    pub fn set_purges_unknown_since(&mut self, since: Option<Duration>) {
        self.router.doubted = since;
    }

    /// Sends on the fills whose turn it is; a place that is another GET's by now is passed over.
    fn turns(&mut self) {
        for place in std::mem::take(&mut self.router.waiting) {
            match self.router.gets.get(place).and_then(|g| g.scheduled_fill) {
                Some((_, at)) if at <= self.now => self.decide(place),
                Some(_) => self.router.waiting.push(place),
                None => {}
            }
        }
    }

    /// Handles the scheduled wake-up: drops purges that all caches have applied, and updates the running means.
    pub fn on_wakeup(&mut self) {
        let (now, r) = (self.now, &mut *self.router);
        r.waking = false;
        r.purges.retain(|_, at| now < *at + r.site.max_purge_delay + r.site.time_resolution);
        let warm = |h: &HostIndex| r.hosts[*h].is_usable(now) && r.slow_start_fraction(*h, now).is_none();
        let warm = r.caches.members().filter(warm).count();
        if warm > 0 {
            let rate = std::mem::take(&mut r.sent_work) / warm as f64 / SWEEP.as_secs_f64();
            r.carried = blended(r.carried, rate, SWEEP.div_duration_f64(WINDOW));
        }
        r.link.pass();
        let best =
            r.caches.members().map(|c| r.hosts[c].latency.estimate_s(1.0, now)).fold(f64::MAX, f64::min);
        for cache in r.caches.members() {
            r.hosts[cache].link.pass();
            r.hosts[cache].link.slowdown = r.hosts[cache].latency.estimate_s(1.0, now) / best;
        }
    }

    /// Closes a round: fills whose turn it is, the design's return to idle, the next wake-up.
    fn settle(&mut self) {
        self.turns();
        let (now, r) = (self.now, &mut *self.router);
        r.busy = r.counts_busy();
        for (learnt, ds) in r.service_stats.iter_mut().zip(&r.services).filter(|_| !r.busy) {
            learnt.accepted_age = ds.fresh_time;
            learnt.staleness_decay.decay(ds.fresh_time, now);
        }
        if now >= r.follow_at {
            r.follow_at = Duration::MAX;
            self.out.subscribe_host_list();
        }
        if !std::mem::replace(&mut r.waking, true) {
            self.out.schedule_wakeup(SWEEP);
        }
    }
}
