//! All decisions of a router. `Router::new` reads the settings; `Router::round(now, &mut out, |round| …)` is
//! called once for all that came in, and the closure makes one plain call per message on `Round`. Decisions
//! go into `out`. Types and the writer trait `Dispatch` stand in `interface.rs`. Times are since the start.
//! The design: a consistent-hash ring names cache and parent; a windowed count of origin fills sets `busy`;
//! busy doubles the accepted age of a delivery service at each miss, up to its upper bound; idle rejects
//! stale copies and lets fresh hits be renewed. Beside it stand six mechanisms:
//! 1. health: a host is judged by the successes among its last few outcomes, silence included;
//! 2. cold-start budget: a host that started lately gets a growing share of its part, within a budget;
//! 3. fill source: the ring's parent, or the next that is well, with fills bounded; else a look at the cache;
//! 4. silence and further forwards: a host with an overdue forward and no answer since is passed by;
//! 5. load bound: what would be late at its cache goes on along the ring or is shed;
//! 6. keep rank: an object seen again outranks one seen once.

use crate::footprint::{ColdStart, DeliveryService, Footprint, TokenGroup};
use crate::host_life::{EndEvidence, Heard, Known};
use crate::interface::*;
use crate::reading;
use crate::ring::{Member, Memory, Ring, Window};
use crate::state::{Crowd, Host, InHand, Learnt, Sent};
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
pub const MOST_HOSTS: usize = 32;
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
pub(crate) const MOST_FORWARDS: u32 = 3;
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
    pub(crate) site: Footprint,
    pub(crate) services: Vec<DeliveryService>,
    pub(crate) learnt: Vec<Learnt>,
    chance: fastrand::Rng,
    pub(crate) hosts: Vec<Host>,
    gets: Slab<InHand>,
    pub(crate) caches: Ring,
    pub(crate) parents: Ring,
    pub(crate) origin: Option<HostIndex>,
    fills: Window<SLOTS>,
    pub(crate) busy: bool,
    /// By object or group, when it was purged.
    purges: BTreeMap<Purged, Duration>,
    /// What is known of the list and of time.
    known: Known,
    /// Purges of about then may not have been told here: as if all had been purged.
    doubted: Option<Duration>,
    /// By key, when a copy of it was last returned; zero: only asked for.
    seen: Memory<Duration>,
    /// By object, where sizes are untold, the sending time of a part as learnt, s.
    sizes: Memory<f64>,
    /// The location's link in: probable fills out, their mean, the room as learnt.
    link: Crowd,
    /// Work that a warm cache gets from this router, s a second, and what was sent since the last wake-up.
    carried: f64,
    sent_work: f64,
    waking: bool,
    /// GETs whose fills wait for their turn.
    waiting: Vec<Place>,
    again: RetryBudget,
    /// Part of the probable fills from parents that these had to ask the origin for.
    reaches: f64,
    /// When to ask to follow the list; never where it comes unasked.
    follow_at: Duration,
    limits_slow_start: bool,
    guards_repeats: bool,
    slow_start_violations: u64,
}

impl Crowd {
    /// Transfers with one more: this router's, and as many as it has on the mean for each other one here.
    fn all(&self, others: f64) -> f64 {
        self.out + 1.0 + self.mean * others
    }

    /// Times its full time that a transfer takes among these, by the room as learnt or told; 1 by neither.
    fn slowness(&self, others: f64, told: f64) -> f64 {
        let room = if self.room > 0.0 { self.room } else { told };
        let drag = if self.drag > PATIENT { self.drag } else { 1.0 };
        if room > 0.0 { (self.all(others) / room).max(drag) } else { drag }
    }

    /// Learns from a transfer's pace what the link fits: at once while it is full, slowly more while not.
    fn learn(&mut self, others: f64, pace: f64, crowded: f64) {
        let fits = (self.all(others) * pace).max(LEAST_ROOM);
        if pace < crowded {
            self.room = if self.room > 0.0 { blended(self.room, fits, BLEND) } else { fits };
        } else if self.room > 0.0 && pace > CROWDED && fits > self.room {
            self.room = blended(self.room, fits, RISE);
        }
    }

    fn pass(&mut self) {
        self.mean = blended(self.mean, self.out, SWEEP.div_duration_f64(MEAN_OVER));
    }
}

fn blended(mean: f64, new: f64, weight: f64) -> f64 {
    mean + weight * (new - mean)
}

impl Host {
    fn on(&self) -> bool {
        self.entry.standing == Standing::On
    }

    pub(crate) fn failed(&self) -> bool {
        count_recent(self.failures, FEW) > FEW / 2
    }

    /// Open to GETs; a failed host, after its rest, to one trial at a time. A silent one, with a forward due
    /// and no answer since, is passed by; what is out there stays, for a fill may run on and be paid twice.
    pub(crate) fn usable(&self, now: Duration) -> bool {
        let silent = self.crowd.out > 0.0 && now >= self.due;
        self.on() && !silent && (!self.failed() || now >= self.rests_until && self.crowd.out == 0.0)
    }

    fn filled(&mut self, told: &FillOutcome, now: Duration) -> bool {
        self.fills.on_completed(self.fills_out, told, now)
    }

    /// Guards against dead, silent, unreachable and cold, refusing hosts. It hurts crowded ones.
    fn judge(&mut self, now: Duration, success: bool) {
        let failed = self.failed();
        self.failures = self.failures << 1 | u32::from(!success);
        if success {
            if failed && now.saturating_sub(self.last_success) > LOST {
                self.cold_since = now;
            }
            (self.last_success, self.trials) = (now, 0);
        } else if self.failed() && (!failed || now >= self.rests_until) {
            self.rests_until = now + REST * (1 << self.trials);
            self.trials = (self.trials + 1).min(2);
        }
    }
}

impl Router {
    pub fn new(told: &Values, seed: u64) -> Result<Self, String> {
        let (site, services) = (Footprint::read(told)?, DeliveryService::read_all(told)?);
        let learnt = |ds: &DeliveryService| Learnt {
            accepted_age: ds.fresh,
            sending: ds.objective * SENDING_FIRST,
            ..Learnt::default()
        };
        Ok(Self {
            learnt: services.iter().map(learnt).collect(),
            follow_at: if site.ask_list { ZERO } else { Duration::MAX },
            site,
            services,
            chance: fastrand::Rng::with_seed(seed),
            hosts: Vec::new(),
            gets: Slab::with_capacity(1024),
            caches: Ring::default(),
            parents: Ring::default(),
            origin: None,
            fills: Window::new(WINDOW),
            busy: false,
            purges: BTreeMap::new(),
            known: Known::default(),
            doubted: None,
            seen: Memory::new(SEEN),
            sizes: Memory::new(SEEN),
            link: Crowd::default(),
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
        D: Dispatch,
    {
        self.fills.turn(now);
        let mut round = Round { r: self, out, now };
        let told = said(&mut round);
        round.settle();
        told
    }

    /// Forwards that are out at a host, by these books.
    pub fn out_at(&self, host: HostIndex) -> f64 {
        self.hosts.get(host).map_or(0.0, |h| h.crowd.out)
    }

    /// The design's flag: over this router's share of a told rate, or, with none, by slow and failed fills.
    fn counts_busy(&self) -> bool {
        let (all, bad) = self.fills.sums();
        match self.site.origin_rate {
            Some(rate) => f64::from(all) > rate / self.site.routers * WINDOW.as_secs_f64(),
            None => bad >= BUSY_LEAST && bad * BUSY_PART > all,
        }
    }

    /// The design's growth: while busy the accepted age doubles at each miss.
    fn missed(&mut self, ds: usize, misses: u32) {
        self.busy = self.counts_busy();
        let (service, learnt) = (&self.services[ds], &mut self.learnt[ds]);
        for _ in 0..if self.busy { misses.min(u64::BITS) } else { 0 } {
            learnt.accepted_age = (learnt.accepted_age * 2).min(service.fresh + service.grace);
            learnt.ease.raise(learnt.accepted_age);
        }
    }

    /// Lays a ring of the hosts that are on, points by weight.
    fn ring(&self, holds: impl Fn(&Self, &Entry) -> bool) -> Ring {
        let members = || self.hosts.iter().filter(|h| h.on() && holds(self, &h.entry)).map(|h| &h.entry);
        let mean = members().map(|e| e.units).sum::<f64>() / members().count() as f64;
        let points = |e: &Entry| (RING_POINTS * e.units / mean.max(1e-9)).round().max(1.0) as u64;
        let member = |e: &Entry| Member { host: e.host, mark: e.mark, points: points(e), near: self.near(e) };
        Ring::lay(members().map(member))
    }

    pub(crate) fn parental(&self, entry: &Entry) -> bool {
        Some(entry.kind) == self.site.parent_kind
    }

    /// No parent of another hub.
    pub(crate) fn near(&self, entry: &Entry) -> bool {
        !self.parental(entry) || self.site.hub_of.get(entry.zone) == self.site.hub_of.get(self.site.zone)
    }

    pub(crate) fn start(&self, entry: &Entry) -> &ColdStart {
        if self.parental(entry) { &self.site.parent_start } else { &self.site.cache_start }
    }

    /// Share of its full work that a host which started lately may get; none of a warm one.
    pub(crate) fn warmth(&self, host: HostIndex, now: Duration) -> Option<f64> {
        let (entry, began) = (&self.hosts[host].entry, self.hosts[host].began(&self.known, now));
        let start = self.start(entry);
        let age = began.age.as_secs_f64() / start.long.as_secs_f64().max(1e-3);
        let cold = began.at > ZERO && age < 1.0 && entry.kind != self.site.origin_kind;
        let part = if cold { reading::stepped(start.from + (1.0 - start.from) * age) } else { 1.0 };
        Some(part.min(1.0 - entry.held_back)).filter(|&part| part < 1.0)
    }

    /// Work of a request of this service as a host in slow start is asked for it: where nothing is learnt yet, as after a
    /// restart, a large part of what the objective allows.
    fn work(&self, get: &Get) -> Work {
        let (learnt, ds) = (&self.learnt[get.ds], &self.services[get.ds]);
        match (get.size_kb == 0.0, learnt.parts == 0.0) {
            (false, _) => Work { alone: learnt.sending, crowded: learnt.sending },
            (true, true) => Work { alone: ds.objective * WORK_FIRST, crowded: ds.objective * WORK_FIRST },
            (true, false) => Work { alone: learnt.sending, crowded: learnt.taking.max(learnt.sending) },
        }
    }

    /// What this router may send to a host in slow start that takes `warmth` of its full work.
    fn slow_start_share(&self, host: HostIndex, warmth: f64) -> WorkShare {
        let carried = self.carried * (self.site.neighbours + 1.0) * SMALLEST;
        let entry = &self.hosts[host].entry;
        let room = if self.site.weights { entry.units } else { carried };
        let start = self.start(entry);
        let rate = BUDGET_PART * start.falls_at * warmth * room / start.routers;
        WorkShare { rate, window: self.site.falls_in }
    }

    /// Cold-start budget, also of a host lost and found again: a fixed part of the keys, the same at every
    /// router, within this router's part of what the host bears.
    fn admits(&mut self, host: HostIndex, key: u64, work: Work, now: Duration) -> bool {
        let Some(warmth) = self.warmth(host, now).filter(|_| self.limits_slow_start) else { return true };
        let share = self.slow_start_share(host, warmth);
        let (known, phase) = (self.known, self.chance.f64());
        let (is_near, is_parent) =
            (self.near(&self.hosts[host].entry), self.parental(&self.hosts[host].entry));
        let h = &mut self.hosts[host];
        let takes = is_near && reading::in_part(key, h.entry.mark, warmth);
        // What a silent host has not answered counts beside what was sent lately: it may read all of that at once.
        let out = if is_parent { h.fills_out } else { h.crowd.out };
        let is_silent = out > 0.0 && now >= h.last_answer + SILENT;
        let fits = !is_silent || (out + 1.0) * work.crowded <= (share.rate * share.window).max(work.crowded);
        let began = h.began(&known, now);
        let cold_since = ColdSince { at: began.at, is_older_than_router: began.is_from_first_list };
        takes && fits && h.budget.admits(work.alone, share, cold_since, phase, now)
    }

    /// The check of the slow start, on what is really sent to a host or, for a fill, asked of a parent.
    fn check_slow_start(&mut self, host: HostIndex, work: f64, now: Duration) -> bool {
        let Some(warmth) = self.warmth(host, now) else { return true };
        let share = self.slow_start_share(host, warmth);
        let holds = self.hosts[host].budget_check.holds(work, share, now);
        self.slow_start_violations += u64::from(!holds);
        holds
    }

    /// What hosts in slow start got over this router's share: zero, unless its limit is missing.
    pub fn slow_start_violations(&self) -> u64 {
        self.slow_start_violations
    }

    /// Leaves the limit out, for a test to see its check fire.
    pub fn leave_slow_start_unlimited(&mut self) {
        self.limits_slow_start = false;
    }

    /// Leaves out what keeps an effect from being run twice, for a test to see its check fire.
    pub fn leave_repeats_unguarded(&mut self) {
        self.guards_repeats = false;
    }

    /// A tokened GET that may have run stays in the group that drops its repeats, and in the window.
    fn may_go(&self, g: &InHand, host: HostIndex, now: Duration) -> bool {
        let ds = &self.services[g.get.ds];
        let Some((ran_at, _)) = g.may_have_run.filter(|_| self.guards_repeats) else { return true };
        let (a, b) = (&self.hosts[ran_at].entry, &self.hosts[host].entry);
        let same = match ds.group {
            TokenGroup::All => true,
            TokenGroup::Zone => a.zone == b.zone,
            TokenGroup::Cell => a.cell == b.cell,
        };
        ds.idempotent || ds.tokened && same && self.window_ends(g).is_none_or(|at| now < at)
    }

    /// Until when what may have run can be sent again, where it may not simply be repeated.
    fn window_ends(&self, g: &InHand) -> Option<Duration> {
        let ran = g.may_have_run.filter(|_| !self.services[g.get.ds].idempotent);
        ran.map(|(_, at)| at + self.services[g.get.ds].token_window.saturating_sub(self.site.tick))
    }

    fn purged_at(&self, get: &Get) -> Option<Duration> {
        let named = [Purged::Object(get.object), Purged::Group(get.group)];
        named.iter().filter_map(|named| self.purges.get(named)).copied().chain(self.doubted).max()
    }

    /// The oldest copy that will do.
    fn oldest(&self, get: &Get, key: u64, now: Duration) -> Duration {
        let accepted = self.learnt[get.ds].ease.accepted_age(key, self.services[get.ds].fresh, now);
        reading::oldest(accepted, self.purged_at(get), now, self.site.tick)
    }

    /// Times its sending time that a GET takes at a cache.
    fn slowness(&self, host: HostIndex) -> f64 {
        let told = if self.site.weights { self.hosts[host].entry.units } else { 0.0 };
        self.hosts[host].crowd.slowness(self.site.neighbours, told)
    }

    /// The cache that the ring names, or the next that can take the GET in time; and whether any is open.
    fn cache(&mut self, place: Place, within: f64, now: Duration) -> (Option<HostIndex>, bool) {
        let ring = std::mem::take(&mut self.caches);
        let InHand { get, key, sending, .. } = self.gets[place];
        let (work, mut any) = (self.work(&get), false);
        let mut first = |again: bool| {
            ring.walk::<MOST_HOSTS>(key, true).find(|&host| {
                let g = &self.gets[place];
                let open = (again || g.tried[0] != Some(host)) && self.hosts[host].usable(now);
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
    fn source(&mut self, place: Place, fill: bool, within: f64, now: Duration) -> Option<(HostIndex, bool)> {
        let InHand { get, key, tried: [_, tried], sending, goes, .. } = self.gets[place];
        let (work, ring) = (self.work(&get), std::mem::take(&mut self.parents));
        let paced = |h: &Host| h.fills.has_room(h.fills_out, now);
        let (origin, open) =
            (self.origin, self.reaches == 0.0 || self.origin.is_none_or(|o| paced(&self.hosts[o])));
        let room = |h: &Host| {
            let turn = goes.is_some_and(|(host, _)| host == h.entry.host);
            let paced = turn || paced(h) && (open || origin == Some(h.entry.host));
            !fill || paced && h.times.estimate(sending, now) <= within
        };
        let (mut full, mut listed) = (None, None);
        let mut fit = |near: bool| {
            ring.walk::<MOST_HOSTS>(key, near).find(|&host| {
                let h = &self.hosts[host];
                let open = Some(host) != tried && h.usable(now);
                full = full.or(Some(host).filter(|_| open && !room(h)));
                listed = listed.or(Some(host).filter(|_| h.usable(now)));
                open && full.is_none() && self.admits(host, key, work, now)
            })
        };
        let found = fit(true).or_else(|| fit(false));
        self.parents = ring;
        let spared = full.is_some() && self.busy && self.site.notes;
        let found = found.or(self.origin.filter(|&origin| !spared && room(&self.hosts[origin])));
        found.map(|host| (host, false)).or_else(|| {
            let held = full.or(listed).filter(|_| self.busy && !self.gets[place].source_lacks)?;
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
    fn waits(&mut self, place: Place, within: f64, now: Duration) -> Option<bool> {
        let InHand { key, sending, goes, .. } = self.gets[place];
        let near = self.parents.walk::<MOST_HOSTS>(key, true).find(|&h| self.hosts[h].usable(now));
        let by_turns = |h: HostIndex| self.hosts[h].fills.limit() < 1.0;
        let host = near.or(self.origin).filter(|_| goes.is_none())?;
        (by_turns(host) || self.behind(host).is_some_and(by_turns)).then_some(())?;
        let opens = |h: HostIndex| self.hosts[h].fills.available_at(self.hosts[h].fills_out, now);
        let at = opens(host)?.max(self.behind(host).map_or(Some(now), opens)?);
        let wait = (at - now).as_secs_f64();
        let expected = self.hosts[host].times.estimate(sending, now);
        let in_time = wait <= within * TURN_PART && wait + expected <= within;
        if in_time {
            self.sent_to(host, now);
            self.gets[place].goes = Some((host, at));
            self.waiting.push(place);
        }
        Some(in_time)
    }

    fn sent_to(&mut self, source: HostIndex, now: Duration) {
        self.hosts[source].fills.on_sent(1.0, now);
        self.behind(source).into_iter().for_each(|o| self.hosts[o].fills.on_sent(self.reaches, now));
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
    fn held(&self, g: &InHand, now: Duration) -> bool {
        let since = self.purged_at(&g.get).unwrap_or(ZERO).max(now.saturating_sub(HELD));
        self.seen.get(g.key).is_some_and(|at| at > since)
    }
}

pub struct Round<'a, D: Dispatch> {
    pub(crate) r: &'a mut Router,
    out: &'a mut D,
    now: Duration,
}

impl<D: Dispatch> Round<'_, D> {
    /// The writer, for the adapter's own books.
    pub fn writer(&mut self) -> &mut D {
        self.out
    }

    /// The place that the next GET taken will have.
    pub fn next_place(&self) -> Place {
        self.r.gets.vacant_key()
    }

    pub fn take(&mut self, get: Get) {
        let r = &mut *self.r;
        let Some(learnt) = r.learnt.get_mut(get.ds) else {
            self.out.error(r.gets.vacant_key());
            return self.out.settled(r.gets.vacant_key());
        };
        let (object, told) = (mix(get.object), (get.size_kb > 0.0).then_some(get.size_kb / r.site.flow));
        let sending = told.or_else(|| r.sizes.get(object)).unwrap_or(learnt.sending);
        learnt.sending = told.map_or(learnt.sending, |told| blended(learnt.sending, told, BLEND));
        let place = r.gets.insert(InHand {
            get,
            taken: self.now,
            key: reading::key(get.object, get.part),
            sending,
            ..InHand::default()
        });
        self.decide(place);
    }

    /// Sends the GET on, or gives it up at once.
    fn decide(&mut self, place: Place) {
        let (now, r) = (self.now, &mut *self.r);
        let g = &r.gets[place];
        let (get, key, sending, tried, hops) = (g.get, g.key, g.sending, g.tried, g.hops);
        let left = (g.taken + get.viewer_timeout).saturating_sub(now + r.site.tick * 2);
        let (ds, write) = (&r.services[get.ds], r.services[get.ds].write);
        let objective = ds.objective + ds.stretch * sending - (now - g.taken).as_secs_f64();
        let hopeless =
            left.is_zero() || get.size_kb > 0.0 && left.as_secs_f64() < sending || get.over && !write;
        if hopeless || hops >= r.site.most_forwards.min(MOST_FORWARDS) {
            return self.give_up(place);
        }
        let fill = !write && !r.held(&r.gets[place], now);
        let within = if write { f64::INFINITY } else { (objective * IN_TIME).max(sending) };
        let (chosen, any) = if write && r.site.direct { (None, false) } else { r.cache(place, within, now) };
        if chosen.is_none() && any {
            return self.give_up(place);
        }
        let origin = r.origin.filter(|&origin| write && tried[1] != Some(origin));
        // While the origin is busy a client's try again has a fill within a budget: first ones can still be in time.
        let late = fill && sending * r.link.slowness(r.site.neighbours, r.site.link) > within
            || get.again && r.busy && !r.again.allows();
        let asked = |r: &mut Router| if late { None } else { r.source(place, fill, within, now) };
        let source = origin.map(|origin| (origin, false)).or_else(|| asked(r));
        // No fill would be in time: the cache is asked for what it holds, once.
        let look = chosen.filter(|_| source.is_none() && !write && !r.gets[place].source_lacks);
        if fill && !late && chosen.is_some() && source.is_none_or(|(_, held)| held) {
            match r.waits(place, within.min(left.as_secs_f64()), now) {
                Some(true) => return,
                // No room in a part under one fill, a share among many, nor at the origin: a failed fill in the flag's count.
                Some(false) => {
                    let full = |o: HostIndex| !r.hosts[o].fills.has_room(r.hosts[o].fills_out, now);
                    let refused = u32::from(r.origin.is_none_or(full));
                    r.fills.count(refused, refused);
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
        let host = chosen.or(source.filter(|_| r.site.direct));
        let Some(host) = host.filter(|&host| r.may_go(&r.gets[place], host, now)) else {
            return self.give_up(place);
        };
        let forward = Forward {
            host,
            // Asked straight, a parent that is its own source would only look.
            source: r.origin.filter(|_| chosen.is_none()).or(source).unwrap_or(host),
            timeout: left,
            keep: if write { 0 } else { r.rank(key) },
            accepted_age: if write { ZERO } else { r.oldest(&get, key, now) },
            join: r.site.joins && !write,
            held_only,
            renew: !r.busy && !write,
            begin_by: r.window_ends(&r.gets[place]).unwrap_or(ZERO),
        };
        let work = r.work(&get).alone;
        let asked_fill = Some(forward.source).filter(|&source| source != host);
        for cold in [Some(host), asked_fill].into_iter().flatten() {
            if !r.check_slow_start(cold, work, now) {
                let mark = r.hosts[cold].entry.mark;
                self.out
                    .log(format_args!("broken: host {cold} ({mark:016x}) in slow start gets over its share"));
            }
        }
        let slowness = r.slowness(host);
        let patience = (objective - sending).max(sending * slowness * PATIENT + PATIENCE);
        let overdue = now + Duration::from_secs_f64(patience);
        let h = &mut r.hosts[host];
        h.due = if h.crowd.out > 0.0 { h.due.min(overdue) } else { overdue };
        h.crowd.out += 1.0;
        let (fills, turn, withdrawn) = (f64::from(u8::from(fill)), r.gets[place].goes.take(), false);
        let behind = r.behind(forward.source).filter(|_| fill && !held_only);
        let (reaches, hop, to, at) = (behind.map_or(0.0, |_| r.reaches), hops, forward, now);
        r.gets[place].out = Some(Sent { hop, to, at, overdue, fill, reaches, slowness, withdrawn });
        r.gets[place].hops += 1;
        if fill {
            r.hosts[forward.source].fills_out += fills;
            behind.into_iter().for_each(|origin| r.hosts[origin].fills_out += reaches);
            if turn.is_none() && !held_only {
                r.sent_to(forward.source, now);
            }
            r.again.record_fill(get.again);
        }
        r.link.out += fills;
        self.out.forward(place, &forward);
    }

    /// The final answer of a GET given up on, at once: idempotent or proven not run, it is shed.
    fn give_up(&mut self, place: Place) {
        let r = &mut *self.r;
        let g = &mut r.gets[place];
        g.answered = true;
        let ds = &r.services[g.get.ds];
        if ds.idempotent || g.may_have_run.is_none() || ds.tokened && ds.group == TokenGroup::All {
            let wait = COME_BACK.mul_f64(0.5 + r.chance.f64());
            self.out.shed(place, r.site.come_back.map(|most| wait.min(most)));
        } else {
            self.out.error(place);
        }
        self.free(place);
    }

    /// Calls off what is out for an answered GET. Its place is reused only once nothing is.
    fn free(&mut self, place: Place) {
        let g = &mut self.r.gets[place];
        if let Some(sent) = g.out.as_mut().filter(|s| !s.withdrawn && self.r.site.cancel) {
            sent.withdrawn = true;
            self.out.withdraw(place, sent.hop);
        }
        if g.out.is_none() {
            self.r.gets.remove(place);
            self.out.settled(place);
        }
    }

    pub fn abandoned(&mut self, place: Place) {
        let Some(g) = self.r.gets.get_mut(place) else { return };
        g.answered = true;
        self.free(place);
    }

    /// Its router's end is near: it is answered now, and what is out may run.
    pub fn cut_short(&mut self, place: Place) {
        let Some(g) = self.r.gets.get_mut(place).filter(|g| !g.answered) else { return };
        g.may_have_run = g.may_have_run.or(g.out.as_ref().map(|sent| (sent.to.host, sent.at)));
        self.give_up(place);
    }

    pub fn outcome(&mut self, place: Place, o: &Outcome) {
        let Some(g) = self.r.gets.get_mut(place) else { return };
        let Some(sent) = g.out.take_if(|s| s.hop == o.hop) else { return };
        if !o.end.proven() && o.end != End::Returned && g.may_have_run.is_none() {
            g.may_have_run = Some((sent.to.host, sent.at));
        }
        g.answered |= o.closed;
        g.source_lacks |= o.end == End::Miss;
        let none_failed = matches!(o.end, End::Miss | End::Spoilt);
        g.tried = [sent.to.host, sent.to.source].map(|tried| Some(tried).filter(|_| !none_failed));
        let InHand { get, key, sending, doubted, answered, may_have_run, .. } = *g;
        // Two hosts that err tell of the GET; one that errs where another returns, of that host.
        g.doubted = if o.end == End::Errored { doubted.xor(Some(sent.to.host)) } else { doubted };
        if let Some(host) = doubted.filter(|&host| o.end == End::Returned && host != sent.to.host) {
            self.r.hosts[host].judge(self.now, false);
        }
        self.learn(&sent, o, &get, key, sending);
        let ds = &self.r.services[get.ds];
        if answered {
            self.free(place);
        } else if ds.idempotent || ds.tokened || may_have_run.is_none() || !self.r.guards_repeats {
            self.decide(place);
        } else {
            self.give_up(place);
        }
    }

    /// What an outcome tells of the host, the source and the origin.
    fn learn(&mut self, sent: &Sent, o: &Outcome, get: &Get, key: u64, sending: f64) {
        let (now, r, straight) = (self.now, &mut *self.r, sent.to.host == sent.to.source);
        let source_failed = matches!(o.note, Note::SourceRefused | Note::SourceBroke | Note::OriginFailed)
            || !r.site.notes && matches!(o.end, End::Errored | End::Full);
        let (cold, slowness) = (r.warmth(sent.to.host, now).is_some(), r.slowness(sent.to.host));
        let h = &mut r.hosts[sent.to.host];
        h.crowd.out = (h.crowd.out - 1.0).max(0.0);
        if matches!(o.end, End::Returned | End::Miss | End::Full) || source_failed {
            (h.last_answer, h.due) = (now, Duration::MAX);
        }
        let unheard = now >= sent.overdue && h.last_answer < sent.at;
        match o.end {
            End::Returned | End::Miss => h.judge(now, true),
            End::Errored if source_failed && !straight => h.judge(now, true),
            End::Full if cold => h.judge(now, false),
            End::NoConnection | End::Reset => h.judge(now, false),
            End::TimedOut | End::Withdrawn if unheard => h.judge(now, false),
            _ => {}
        }
        let (ds, spent) = (&r.services[get.ds], o.spent.as_secs_f64());
        let (returned, wait) = (o.end == End::Returned, o.source_wait.as_secs_f64());
        let in_time = spent <= ds.objective + ds.stretch * sending;
        let cut_short = matches!(o.end, End::TimedOut | End::Withdrawn);
        let filled = matches!(o.note, Note::Filled | Note::FilledFromOrigin | Note::Joined);
        let came = returned && (filled || ds.write);
        let waited = (came && r.site.notes).then_some(wait);
        let told = FillOutcome { in_time: in_time && came, waited, objective: ds.objective, took: o.spent };
        if ds.write {
            // What runs at the origin tells how long it takes there.
            let tells = r.site.notes && (returned || cut_short && !in_time);
            if let Some(origin) = r.origin.filter(|&origin| tells && origin == sent.to.source) {
                r.hosts[origin].filled(&told, now);
            }
            return;
        }
        let fills = f64::from(u8::from(sent.fill));
        r.hosts[sent.to.source].fills_out -= fills;
        r.hosts[r.origin.unwrap_or(sent.to.source)].fills_out -= sent.reaches;
        r.link.out -= fills;
        // Where the wait is untold, only what takes long beside any wait tells the link's pace.
        let tells = r.site.link == 0.0 && (r.site.notes || sending > ds.objective * LONG);
        if filled && returned && tells {
            let pace = sending / (spent - wait).max(1e-3);
            r.link.learn(r.site.neighbours, pace, if r.site.notes { CROWDED } else { JAMMED });
        }
        // What its client or host broke off early tells nothing of a source.
        let failed = sent.fill && (source_failed || cut_short && !in_time);
        let unfinished = sent.fill && cut_short && r.hosts[sent.to.host].last_answer > sent.at;
        let hit = matches!(o.note, Note::Hit | Note::Stale);
        if (filled || hit) && returned || unfinished {
            r.hosts[if hit { sent.to.host } else { sent.to.source }].times.record(spent, wait, sending, now);
        }
        let mut pressed = false;
        if sent.fill && returned && r.site.notes && Some(sent.to.source) != r.origin {
            r.reaches =
                blended(r.reaches, f64::from(u8::from(o.note == Note::FilledFromOrigin)), REACHES_BLEND);
        }
        if !sent.to.held_only && (filled && returned || failed) {
            // What a parent had to ask the origin for tells of the origin; what was cut short, of either.
            let asked = matches!(o.note, Note::FilledFromOrigin | Note::OriginFailed);
            let origin = r.origin.filter(|&origin| r.site.notes && origin != sent.to.source);
            if let Some(origin) = origin.filter(|_| asked || unfinished) {
                pressed = r.hosts[origin].filled(&told, now);
            }
            if origin.is_none() || !asked {
                pressed |= r.hosts[sent.to.source].filled(&told, now);
            }
        }
        let (learnt, h) = (&mut r.learnt[get.ds], &mut r.hosts[sent.to.host]);
        if returned {
            r.sent_work += if cold { 0.0 } else { learnt.sending };
            r.seen.set(key, now);
        }
        if get.size_kb == 0.0 && returned {
            // Parts of an object are alike: what one took, less the wait and the crowd, tells of the others.
            let seen = (spent - wait).max(1e-3) * 2.0 / (sent.slowness + slowness);
            let object = mix(get.object);
            let known = r.sizes.get(object).filter(|&known| known < seen);
            r.sizes.set(object, known.map_or(seen, |known| blended(known, seen, BLEND)));
            learnt.parts += 1.0;
            let weight = BLEND.max(1.0 / learnt.parts);
            learnt.sending = blended(learnt.sending, seen, weight);
            learnt.taking = blended(learnt.taking, (spent - wait).max(1e-3), weight);
        }
        if hit && returned && get.size_kb > 0.0 {
            h.crowd.learn(r.site.neighbours, sending / spent.max(1e-3), CROWDED);
        }
        let silent = unfinished && r.hosts[sent.to.source].last_answer < sent.at;
        if filled && !straight {
            let h = &mut r.hosts[sent.to.source];
            (h.last_answer, h.due) = (now, Duration::MAX);
            h.judge(now, true);
        } else if (source_failed && o.note != Note::OriginFailed || silent) && !straight {
            r.hosts[sent.to.source].judge(now, false);
        }
        let bad = filled && (pressed || !in_time && !r.site.notes) || source_failed;
        let by_origin = o.note == Note::FilledFromOrigin || filled && Some(sent.to.source) == r.origin;
        let from_origin = if r.site.notes { by_origin } else { filled };
        if from_origin || bad {
            r.fills.count(1, u32::from(bad));
        }
        r.missed(get.ds, u32::from(!hit));
    }

    /// What followers, or a late connection, tell of a host, as one outcome; of it no more than its own last few count.
    pub fn reported(&mut self, host: HostIndex, success: bool) {
        self.r.hosts.get_mut(host).into_iter().for_each(|h| h.judge(self.now, success));
    }

    /// What followers told of a service's fills from one source: all, the late or failed among them, and those out.
    pub fn filled(&mut self, ds: usize, source: HostIndex, all: u32, bad: u32, out: u32) {
        let r = &mut *self.r;
        let Some(h) = r.hosts.get_mut(source).filter(|_| ds < r.services.len()) else { return };
        h.fills_out = f64::from(out);
        if all > 0 {
            h.filled(&FillOutcome::untimed(bad * 2 <= all), self.now);
        }
        r.fills.count(if Some(source) == r.origin { all } else { bad }, bad);
        r.missed(ds, all);
    }

    /// The list of hosts is known up to this moment: a start that the change log had by then was told.
    pub fn list_known(&mut self, until: Duration) {
        self.r.known.list = self.r.known.list.max(until);
    }

    /// By two clocks, Unix time is ahead of this router's own clock by at least this.
    pub fn unix_offset(&mut self, offset: Duration) {
        self.r.known.unix_offset = self.r.known.unix_offset.max(offset);
    }

    /// The process of a host has ended, or may have.
    pub fn process_ended(&mut self, host: HostIndex, at: Duration, evidence: EndEvidence) {
        self.r.hosts.get_mut(host).into_iter().for_each(|h| h.life.on_ended(at, evidence));
    }

    /// A connection to a host has come up.
    pub fn connected(&mut self, host: HostIndex) {
        self.r.hosts.get_mut(host).into_iter().for_each(|h| h.life.on_connected(self.now));
    }

    pub fn listed<'e>(&mut self, kind: ListKind, entries: impl IntoIterator<Item = &'e Entry>) {
        let (r, mut laid) = (&mut *self.r, matches!(kind, ListKind::Whole | ListKind::Kept));
        if laid {
            r.hosts.iter_mut().for_each(|h| h.entry.standing = Standing::Gone);
        } else if kind == ListKind::Failed {
            r.follow_at = self.now + REST;
        }
        for entry in entries {
            // What happens to caches elsewhere changes no ring here.
            laid |= r.parental(entry) || r.site.serves(entry.zone) || entry.kind == r.site.origin_kind;
            r.hosts.resize(r.hosts.len().max(entry.host + 1), Host::default());
            let (sharers, h) = (r.site.sharers(r.parental(entry)), &mut r.hosts[entry.host]);
            let is_new = h.entry.mark != entry.mark;
            if is_new {
                *h = Host::default();
            }
            let heard = match (is_new, kind) {
                (true, ListKind::Kept) => Heard::AtStart,
                (true, _) => Heard::First,
                (false, _) => Heard::Again,
            };
            if h.life.on_listed(entry.start, heard, self.now) && !is_new {
                // A fresh start: what was known of the old process does not count.
                (h.failures, h.trials, h.crowd.room, h.cold_since, h.fills) = Default::default();
            }
            h.entry = *entry;
            let others = entry.kind == r.site.origin_kind && r.site.notes;
            h.fills.start(sharers, others, r.chance.f64(), self.now);
        }
        if laid {
            r.caches = r.ring(|r, e| r.site.serves(e.zone) && !r.parental(e) && e.kind != r.site.origin_kind);
            r.parents = r.ring(Router::parental);
            r.origin = r.hosts.iter().position(|h| h.on() && h.entry.kind == r.site.origin_kind);
        }
    }

    pub fn purged(&mut self, named: Purged, age: Duration) {
        let at = self.now.saturating_sub(age);
        self.r.purges.entry(named).and_modify(|known| *known = at.max(*known)).or_insert(at);
    }

    /// Since when purges may have been missed; none: all are known.
    pub fn doubted(&mut self, since: Option<Duration>) {
        self.r.doubted = since;
    }

    /// Sends on the fills whose turn it is; a place that is another GET's by now is passed over.
    fn turns(&mut self) {
        for place in std::mem::take(&mut self.r.waiting) {
            match self.r.gets.get(place).and_then(|g| g.goes) {
                Some((_, at)) if at <= self.now => self.decide(place),
                Some(_) => self.r.waiting.push(place),
                None => {}
            }
        }
    }

    /// The wake-up: purges that all have obeyed are forgotten, running means.
    pub fn woken(&mut self) {
        let (now, r) = (self.now, &mut *self.r);
        r.waking = false;
        r.purges.retain(|_, at| now < *at + r.site.purged_within + r.site.tick);
        let warm = |h: &HostIndex| r.hosts[*h].usable(now) && r.warmth(*h, now).is_none();
        let warm = r.caches.members().filter(warm).count();
        if warm > 0 {
            let rate = std::mem::take(&mut r.sent_work) / warm as f64 / SWEEP.as_secs_f64();
            r.carried = blended(r.carried, rate, SWEEP.div_duration_f64(WINDOW));
        }
        r.link.pass();
        let best = r.caches.members().map(|c| r.hosts[c].times.estimate(1.0, now)).fold(f64::MAX, f64::min);
        for cache in r.caches.members() {
            r.hosts[cache].crowd.pass();
            r.hosts[cache].crowd.drag = r.hosts[cache].times.estimate(1.0, now) / best;
        }
    }

    /// Closes a round: fills whose turn it is, the design's return to idle, the next wake-up.
    fn settle(&mut self) {
        self.turns();
        let (now, r) = (self.now, &mut *self.r);
        r.busy = r.counts_busy();
        for (learnt, ds) in r.learnt.iter_mut().zip(&r.services).filter(|_| !r.busy) {
            learnt.accepted_age = ds.fresh;
            learnt.ease.decay(ds.fresh, now);
        }
        if now >= r.follow_at {
            r.follow_at = Duration::MAX;
            self.out.follow_list();
        }
        if !std::mem::replace(&mut r.waking, true) {
            self.out.wake(SWEEP);
        }
    }
}
