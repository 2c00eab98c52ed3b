//! All decisions of a router. `Router::new` reads the settings once; then `Router::round(now, &mut out, |round| …)`
//! is called once for all that came in, and the closure makes one plain call per message on `Round`. Decisions go
//! straight into `out`. Types and the writer trait `Dispatch` stand in `interface.rs`. Times are since the start.
//!
//! The design: a consistent-hash ring names cache and parent; a windowed count of origin fills sets `busy`; busy
//! doubles the accepted age of a delivery service at each miss, up to its upper bound; idle rejects stale copies and
//! lets fresh hits be renewed. Beside it stand six mechanisms:
//! 1. health: a host is judged by the successes among its last few outcomes, silence included;
//! 2. cold-start budget: a host that started lately gets a growing share of its part of the ring, within a budget;
//! 3. fill source: a copy that probably lies at a neighbour is taken from there before a parent is asked;
//! 4. time-outs and further forwards: an overdue forward is withdrawn and sent elsewhere while it can still help;
//! 5. load bound: a cache over its bound passes a GET on along the ring; what can't be in time is shed;
//! 6. keep rank: an object seen again outranks one seen once.

use crate::interface::*;
use serde_json::Value;
use slab::Slab;
use std::collections::BTreeMap;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// ms; the design's window, in slots so that old fills leave it smoothly.
const WINDOW: Duration = Duration::from_millis(5000);
/// slots in the window; ten lets a count lag by a tenth of it.
const SLOTS: usize = 10;
/// fills; fewer slow or failed ones in a window are chance.
const BUSY_LEAST: f64 = 3.0;
/// share of a window's fills that are slow or failed; above it the origin, not chance, is slow.
const BUSY_SHARE: f64 = 0.25;
/// share of the latency objective that a source may take to its first byte before the fill counts as slow.
const SLOW_PART: f64 = 0.5;
/// points on the ring for a host of mean size; evens parts out to some tenths, stays in the processor's cache.
const RING_POINTS: f64 = 96.0;
/// outcomes by which a host is judged; few, so that a dead one is found within a few GETs.
const FEW: u32 = 4;
/// successes needed among them; half, so that single chance failures do not count.
const ENOUGH: u32 = 2;
/// ms; a failed host rests this long before one trial, doubled at each failed trial up to four times it.
const REST: Duration = Duration::from_millis(1000);
/// ms; a host without a success for so long may have been restarted and is treated as cold on its return.
const LOST: Duration = Duration::from_millis(2000);
/// ms; granularity of overdue checks: far under any latency objective, few calls a second.
const SWEEP: Duration = Duration::from_millis(25);
/// ms; least patience beyond the expected sending time: several round trips to a far source.
const PATIENCE: Duration = Duration::from_millis(250);
/// forwards for one GET; a third failure says that the trouble is not one host's.
const MOST_FORWARDS: u32 = 4;
/// share of GETs that may be withdrawn as overdue; bounds the extra work when everything is slow.
const OVERDUE_SHARE: f64 = 0.1;
/// GETs; how many overdue ones may be saved up: what one silent host holds.
const OVERDUE_BURST: f64 = 20.0;
/// share of a cold host's budget that the routers together use; the rest is for chance and late lists.
const BUDGET_PART: f64 = 0.5;
/// transfers over what a link fits before a cache passes GETs on; above 1, so that the ring rules the ordinary path.
const BOUND: f64 = 1.3;
/// weight of a new figure in a running mean; some ten outcomes' memory.
const BLEND: f64 = 0.1;
/// objects remembered as seen; a power of two, some minutes of a busy router.
const SEEN: usize = 1 << 16;
/// ms; mean wait told to a client that was shed, scattered by half.
const COME_BACK: Duration = Duration::from_millis(500);

/// One of the kinds of GET, with its promise to clients.
struct DeliveryService {
    objective: Duration,
    stretch: f64,
    fresh: Duration,
    grace: Duration,
    write: bool,
    idempotent: bool,
    tokened: bool,
    token_group: TokenGroup,
    token_window: Duration,
    /// The design's accepted age; rests at `fresh`.
    accepted_age: Duration,
    /// Mean sending time, s, and mean share of misses.
    sending: f64,
    misses: f64,
}

#[derive(PartialEq)]
enum TokenGroup {
    All,
    Zone,
    Cell,
}

/// What is fixed about the places, machines and rules around this router.
struct Footprint {
    zone: usize,
    hub: usize,
    hub_of: Vec<usize>,
    parent_kind: Option<usize>,
    origin_kind: usize,
    routers: f64,
    hub_routers: f64,
    zone_routers: f64,
    flow: f64,
    joins: bool,
    siblings: bool,
    direct: bool,
    notes: bool,
    second_copies: bool,
    cancel: bool,
    retry_after: Option<Duration>,
    cold_from: f64,
    cold_for: Duration,
    falls_at: f64,
    falls_in: Duration,
    parent_cold_from: f64,
    parent_cold_for: Duration,
    parent_falls_at: f64,
    purged_within: Duration,
    tick: Duration,
    most_forwards: u32,
    origin_rate: Option<f64>,
}

#[derive(Clone)]
struct Host {
    entry: Option<Entry>,
    /// Last outcomes, newest in the lowest bit, 1 a success.
    outcomes: u32,
    rests_until: Duration,
    rest: Duration,
    last_success: Duration,
    last_answer: Duration,
    cold_since: Option<Duration>,
    out: f64,
    /// Sending time over time taken, for hits.
    pace: f64,
    /// Work sent while cold, s, draining at the budget's rate.
    spent: f64,
    spent_at: Duration,
}

#[derive(Clone, Copy)]
struct Sent {
    hop: u32,
    host: HostIndex,
    source: HostIndex,
    at: Duration,
    overdue: Duration,
    withdrawn: bool,
}

struct InHand {
    get: Get,
    taken: Duration,
    key: u64,
    /// Expected sending time, s.
    sending: f64,
    hops: u32,
    out: [Option<Sent>; 2],
    tried: [Option<HostIndex>; 2],
    may_have_run: Option<(HostIndex, Duration)>,
    neighbour_lacks: bool,
    answered: bool,
    streaming: bool,
}

#[derive(Default)]
struct Ring {
    points: Vec<(u64, usize)>,
    members: Vec<HostIndex>,
}

impl Ring {
    fn lay(&mut self, hosts: &[Host], holds: impl Fn(&Entry) -> bool) {
        self.points.clear();
        self.members.clear();
        let told = |host: &Host| host.entry.filter(|e| e.standing == Standing::On && holds(e));
        self.members.extend((0..hosts.len()).filter(|&h| told(&hosts[h]).is_some()).take(128));
        let units: f64 = self.members.iter().filter_map(|&h| told(&hosts[h])).map(|e| e.units).sum();
        for (member, &host) in self.members.iter().enumerate() {
            let entry = told(&hosts[host]).expect("members are told");
            let points = RING_POINTS * entry.units * self.members.len() as f64 / units.max(1e-9);
            let point = |i| (mix(entry.mark ^ mix(i)), member);
            self.points.extend((0..points.round().max(1.0) as u64).map(point));
        }
        self.points.sort_unstable();
    }

    /// The hosts in the order in which they follow `key`, each once.
    fn walk(&self, key: u64) -> impl Iterator<Item = HostIndex> {
        let start = self.points.partition_point(|&(at, _)| at < key);
        let mut met = 0u128;
        let points = self.points[start..].iter().chain(&self.points[..start]);
        points.filter_map(move |&(_, member)| {
            let new = met & (1 << member) == 0;
            met |= 1 << member;
            new.then(|| self.members[member])
        })
    }
}

/// The design's windowed count.
#[derive(Default)]
struct Fills {
    slots: [(f64, f64); SLOTS],
    slot: u128,
}

impl Fills {
    fn turn(&mut self, now: Duration) {
        let slot = now.as_millis() * SLOTS as u128 / WINDOW.as_millis();
        for old in (self.slot + 1..=slot).take(SLOTS) {
            self.slots[(old % SLOTS as u128) as usize] = (0.0, 0.0);
        }
        if slot > self.slot + SLOTS as u128 {
            self.slots = Default::default();
        }
        self.slot = slot;
    }

    fn count(&mut self, bad: bool) {
        let slot = &mut self.slots[(self.slot % SLOTS as u128) as usize];
        slot.0 += 1.0;
        slot.1 += f64::from(u8::from(bad));
    }

    fn busy(&self, limit: Option<f64>) -> bool {
        let (all, bad) = self.slots.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        match limit {
            Some(rate) => all > rate * WINDOW.as_secs_f64(),
            None => bad >= BUSY_LEAST && bad > all * BUSY_SHARE,
        }
    }
}

pub struct Router {
    site: Footprint,
    services: Vec<DeliveryService>,
    chance: fastrand::Rng,
    hosts: Vec<Host>,
    gets: Slab<InHand>,
    caches: Ring,
    parents: Ring,
    origin: Option<HostIndex>,
    fills: Fills,
    busy: bool,
    /// By group and object (none: the whole group), when it was purged.
    purges: BTreeMap<(u64, Option<u64>), Duration>,
    seen: Box<[u32]>,
    overdue_left: f64,
    /// Transfers that fit a link of one unit, as learnt.
    fit: f64,
    waking: bool,
    follows: Option<Duration>,
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn blend(mean: &mut f64, new: f64) {
    *mean += BLEND * (new - *mean);
}

fn wanted<'a>(value: &'a Value, path: &str) -> Result<&'a Value, String> {
    value.pointer(path).ok_or_else(|| format!("setting {} is missing", path[1..].replace('/', ".")))
}

fn number(value: &Value, path: &str) -> Result<f64, String> {
    let told = wanted(value, path)?.as_f64();
    told.ok_or_else(|| format!("setting {} is not a number", path[1..].replace('/', ".")))
}

fn span(value: &Value, path: &str) -> Result<Duration, String> {
    Ok(Duration::from_secs_f64(number(value, path)?.max(0.0) / 1e3))
}

fn flag(value: &Value, path: &str) -> bool {
    value.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

fn text<'a>(value: &'a Value, path: &str) -> &'a str {
    value.pointer(path).and_then(Value::as_str).unwrap_or("")
}

impl DeliveryService {
    fn read(all: &Value, ds: usize) -> Result<Self, String> {
        let of = |name: &str| format!("/classes/{ds}/{name}");
        let per = |name: &str| span(all, &format!("/domain/{name}/{ds}")).unwrap_or(ZERO);
        let fresh = per("lifetime_by_class_ms");
        let objective = span(all, &of("aim_ms"))?;
        Ok(Self {
            objective,
            stretch: number(all, &of("aim_stretch")).unwrap_or(0.0),
            fresh,
            grace: per("grace_for_ms"),
            write: flag(all, &format!("/domain/pass_on/{ds}")),
            idempotent: text(all, &of("effect")) == "idempotent",
            tokened: text(all, &of("effect")) == "deduplicated",
            token_group: match text(all, &of("group")) {
                "all" => TokenGroup::All,
                "zone" => TokenGroup::Zone,
                _ => TokenGroup::Cell,
            },
            token_window: span(all, &of("key_ttl_ms")).unwrap_or(ZERO),
            accepted_age: fresh,
            sending: objective.as_secs_f64() / 4.0,
            misses: 0.5,
        })
    }
}

impl Footprint {
    fn read(all: &Value) -> Result<Self, String> {
        let list = |path: &str| -> Vec<usize> {
            let values = all.pointer(path).and_then(Value::as_array);
            values.into_iter().flatten().map(|v| v.as_u64().unwrap_or(0) as usize).collect()
        };
        let (zone, hub_of) = (number(all, "/my_zone")? as usize, list("/domain/hub_of"));
        let counts = list("/domain/count_by_zone");
        let routers = number(all, "/balancers")?.max(1.0);
        let hub = hub_of.get(zone).copied().unwrap_or(0);
        let near =
            hub_of.iter().zip(&counts).filter(|&(&h, _)| h == hub).map(|(_, &n)| n as f64).sum::<f64>();
        Ok(Self {
            zone,
            hub,
            hub_of,
            parent_kind: Some(number(all, "/domain/shield_kind")?).filter(|&k| k >= 0.0).map(|k| k as usize),
            origin_kind: number(all, "/domain/master_kind")? as usize,
            routers,
            hub_routers: near.max(1.0),
            zone_routers: counts.get(zone).map_or(routers, |&n| n as f64).max(1.0),
            flow: number(all, "/domain/flow_kb_per_s")?.max(1.0),
            joins: flag(all, "/domain/shares_fills"),
            siblings: !matches!(text(all, "/domain/lateral"), "" | "silent"),
            direct: flag(all, "/domain/pass_through_ok"),
            notes: text(all, "/domain/note_level") == "all",
            second_copies: flag(all, "/limits/second_copies"),
            cancel: flag(all, "/limits/cancel"),
            retry_after: Some(span(all, "/limits/max_retry_after_ms").unwrap_or(ZERO))
                .filter(|_| flag(all, "/limits/retry_after")),
            cold_from: number(all, "/obligations/start_capacity")?,
            cold_for: span(all, "/obligations/warm_within_ms")?,
            falls_at: number(all, "/obligations/fall_multiple")?,
            falls_in: span(all, "/obligations/fall_ms")?,
            parent_cold_from: number(all, "/domain/parent_floor").unwrap_or(0.0),
            parent_cold_for: span(all, "/domain/parent_cold_ms").unwrap_or(ZERO),
            parent_falls_at: number(all, "/domain/parent_breaks_at").unwrap_or(1.0),
            purged_within: span(all, "/domain/gone_everywhere_ms").unwrap_or(ZERO),
            tick: span(all, "/resolution_ms").unwrap_or(ZERO),
            most_forwards: number(all, "/limits/max_attempts")
                .map_or(MOST_FORWARDS, |n| MOST_FORWARDS.min(n as u32)),
            origin_rate: number(all, "/domain/origin_rate_per_s").ok().filter(|&rate| rate > 0.0),
        })
    }
}

impl Host {
    fn new() -> Self {
        Self {
            entry: None,
            outcomes: u32::MAX,
            rests_until: ZERO,
            rest: REST,
            last_success: ZERO,
            last_answer: ZERO,
            cold_since: None,
            out: 0.0,
            pace: 1.0,
            spent: 0.0,
            spent_at: ZERO,
        }
    }

    fn on(&self) -> bool {
        self.entry.is_some_and(|e| e.standing == Standing::On)
    }

    fn failed(&self) -> bool {
        (self.outcomes & ((1 << FEW) - 1)).count_ones() < ENOUGH
    }

    /// Guards against dead, silent, refusing and unreachable hosts alike. A host that is only crowded may be rested
    /// too; one trial at a time brings it back.
    fn judge(&mut self, now: Duration, success: bool) {
        let failed = self.failed();
        self.outcomes = self.outcomes << 1 | u32::from(success);
        if success {
            if now.saturating_sub(self.last_success) > LOST && failed {
                self.cold_since = Some(now);
            }
            self.last_success = now;
            self.rest = REST;
        } else if self.failed() {
            if failed && now >= self.rests_until {
                self.rest = (self.rest * 2).min(REST * 4);
            }
            if !failed || now >= self.rests_until {
                self.rests_until = now + self.rest;
            }
        }
    }
}

impl Router {
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, String> {
        let all = Value::Object(settings.clone());
        let services = wanted(&all, "/classes")?.as_array().map_or(0, Vec::len);
        Ok(Self {
            site: Footprint::read(&all)?,
            services: (0..services).map(|ds| DeliveryService::read(&all, ds)).collect::<Result<_, _>>()?,
            chance: fastrand::Rng::with_seed(seed),
            hosts: Vec::new(),
            gets: Slab::with_capacity(1024),
            caches: Ring::default(),
            parents: Ring::default(),
            origin: None,
            fills: Fills::default(),
            busy: false,
            purges: BTreeMap::new(),
            seen: vec![0; SEEN].into(),
            overdue_left: OVERDUE_BURST,
            fit: 1.0,
            waking: false,
            follows: (text(&all, "/discovery") == "on_request").then_some(ZERO),
        })
    }

    /// One round with all that came in at `now`.
    pub fn round<D: Dispatch, T>(
        &mut self,
        now: Duration,
        out: &mut D,
        said: impl FnOnce(&mut Round<'_, D>) -> T,
    ) -> T {
        self.fills.turn(now);
        let mut round = Round { r: self, out, now };
        let told = said(&mut round);
        round.settle();
        told
    }

    /// Share of its full work that a host which started lately may get, and whether it is cold at all.
    fn warmth(&self, host: HostIndex, now: Duration) -> (f64, bool) {
        let h = &self.hosts[host];
        let Some(entry) = h.entry else { return (0.0, true) };
        let parent = Some(entry.kind) == self.site.parent_kind;
        let (from, long) = match parent {
            true => (self.site.parent_cold_from, self.site.parent_cold_for),
            false => (self.site.cold_from, self.site.cold_for),
        };
        let since = h.cold_since.unwrap_or(ZERO).max(entry.started);
        let age = now.saturating_sub(since);
        if since == ZERO || age >= long || entry.kind == self.site.origin_kind {
            return (1.0, false);
        }
        (from + (1.0 - from) * age.as_secs_f64() / long.as_secs_f64(), true)
    }

    /// Transfers that a host's link fits.
    fn room(&self, host: HostIndex) -> f64 {
        self.hosts[host].entry.map_or(1.0, |e| e.units.max(0.1)) * self.fit
    }

    /// Cold-start budget. A fixed part of the keys, the same at every router, goes to a cold host, and this router's
    /// part of what the host can bear is never exceeded. Also holds against a host lost and found again. It hurts
    /// where the neighbours are overloaded while the cold host could do more.
    fn admits(&mut self, host: HostIndex, key: u64, work: f64, now: Duration) -> bool {
        let (warmth, cold) = self.warmth(host, now);
        if !cold {
            return true;
        }
        let Some(entry) = self.hosts[host].entry else { return false };
        let parent = Some(entry.kind) == self.site.parent_kind;
        let hub = self.site.hub_of.get(entry.zone).copied().unwrap_or(self.site.hub);
        if parent && hub != self.site.hub || mix(key ^ entry.mark) as f64 / u64::MAX as f64 > warmth {
            return false;
        }
        let (falls_at, sharing) = match parent {
            true => (self.site.parent_falls_at, self.site.hub_routers),
            false => (self.site.falls_at, self.site.zone_routers),
        };
        let rate = BUDGET_PART * falls_at * warmth * self.room(host) / sharing;
        let most = rate * self.site.falls_in.as_secs_f64();
        let h = &mut self.hosts[host];
        h.spent = (h.spent - now.saturating_sub(h.spent_at).as_secs_f64() * rate).max(0.0);
        h.spent_at = now;
        if h.spent > 0.0 && h.spent + work > most {
            return false;
        }
        h.spent += work;
        true
    }

    fn usable(&self, host: HostIndex, now: Duration) -> bool {
        let h = &self.hosts[host];
        h.on() && (!h.failed() || now >= h.rests_until && h.out == 0.0)
    }

    /// Transfers on a host's link over those that fit, as far as this router can tell.
    fn pressure(&self, host: HostIndex) -> f64 {
        (self.hosts[host].out * self.site.zone_routers + 1.0) / self.room(host)
    }

    /// A tokened GET that may have run stays in the group that drops its repeats, and in the window.
    fn may_go(&self, g: &InHand, host: HostIndex, now: Duration) -> bool {
        let ds = &self.services[g.get.ds];
        let Some((ran_at, since)) = g.may_have_run else { return true };
        let (Some(a), Some(b)) = (self.hosts[ran_at].entry, self.hosts[host].entry) else { return false };
        let same = match ds.token_group {
            TokenGroup::All => true,
            TokenGroup::Zone => a.zone == b.zone,
            TokenGroup::Cell => a.cell == b.cell,
        };
        ds.idempotent || ds.tokened && same && now < since + ds.token_window
    }

    /// The oldest copy that will do: the accepted age, never past a purge. The limit is never zero after a purge,
    /// for zero means any age.
    fn oldest(&self, get: &Get, now: Duration) -> Duration {
        let accepted = self.services[get.ds].accepted_age;
        let purged =
            [Some(get.object), None].into_iter().filter_map(|o| self.purges.get(&(get.group, o))).max();
        let Some(&at) = purged else { return accepted };
        let limit = now.saturating_sub(at + self.site.tick).max(Duration::from_micros(10));
        if accepted == ZERO { limit } else { limit.min(accepted) }
    }

    /// The parent that the ring names, or the next that can take the fill, own hub first; else the origin.
    fn parent(&mut self, key: u64, work: f64, tried: Option<HostIndex>, now: Duration) -> Option<HostIndex> {
        let ring = std::mem::take(&mut self.parents);
        let mut found = None;
        for far in [false, true] {
            found = found.or_else(|| {
                ring.walk(key).find(|&host| {
                    let zone = self.hosts[host].entry.map_or(0, |e| e.zone);
                    let hub = self.site.hub_of.get(zone).copied().unwrap_or(self.site.hub);
                    (hub != self.site.hub) == far
                        && Some(host) != tried
                        && self.usable(host, now)
                        && self.admits(host, key, work, now)
                })
            });
        }
        self.parents = ring;
        found.or(self.origin.filter(|&o| self.hosts[o].on()))
    }

    /// Ranks an object seen again over one seen once, so that a scan can't push out what is wanted.
    fn rank(&mut self, key: u64) -> u8 {
        let seen = &mut self.seen[key as usize % SEEN];
        let mark = (key >> 32) as u32 | 1;
        if *seen == mark {
            return 2;
        }
        *seen = mark;
        1
    }
}

pub struct Round<'a, D: Dispatch> {
    r: &'a mut Router,
    out: &'a mut D,
    now: Duration,
}

impl<D: Dispatch> Round<'_, D> {
    /// The writer, for the adapter's own books.
    pub fn desk(&mut self) -> &mut D {
        self.out
    }

    /// The place that the next GET taken will have.
    pub fn next_place(&self) -> Place {
        self.r.gets.vacant_key()
    }

    pub fn take(&mut self, get: Get) {
        if get.ds >= self.r.services.len() {
            let place = self.next_place();
            self.out.error(place);
            return self.out.settled(place);
        }
        let ds = &self.r.services[get.ds];
        let sending = if get.size_kb > 0.0 { get.size_kb / self.r.site.flow } else { ds.sending };
        let key = mix(get.object ^ mix(u64::from(get.part) + 1));
        self.r.overdue_left = (self.r.overdue_left + OVERDUE_SHARE).min(OVERDUE_BURST);
        let place = self.r.gets.insert(InHand {
            get,
            taken: self.now,
            key,
            sending,
            hops: 0,
            out: [None; 2],
            tried: [None; 2],
            may_have_run: None,
            neighbour_lacks: false,
            answered: false,
            streaming: false,
        });
        self.decide(place);
    }

    /// Sends the GET on, or gives it up at once.
    fn decide(&mut self, place: Place) {
        let (now, r) = (self.now, &mut *self.r);
        let g = &r.gets[place];
        let (get, key, sending, tried) = (g.get, g.key, g.sending, g.tried);
        let left = (g.taken + get.viewer_timeout).saturating_sub(now);
        let ds = &r.services[get.ds];
        let (write, misses) = (ds.write, ds.misses);
        if g.hops >= r.site.most_forwards || left <= r.site.tick * 2 {
            return self.give_up(place);
        }
        let objective = ds.objective.as_secs_f64() + ds.stretch * sending - (now - g.taken).as_secs_f64();
        let rank = if write { 0 } else { r.rank(key) };
        let ring = std::mem::take(&mut r.caches);
        let (mut chosen, mut least, mut home) = (None, f64::INFINITY, None);
        if !(write && r.site.direct) {
            for host in ring.walk(key) {
                home = home.or(Some(host));
                let fits = r.usable(host, now)
                    && !tried.contains(&Some(host))
                    && r.may_go(&r.gets[place], host, now);
                if !fits || !r.admits(host, key, sending, now) {
                    continue;
                }
                let pressure = r.pressure(host);
                if pressure < least {
                    (chosen, least) = (Some(host), pressure);
                }
                if least <= BOUND {
                    break;
                }
            }
            if chosen.is_none() && !r.site.direct {
                chosen = ring.walk(key).find(|&host| {
                    r.usable(host, now)
                        && r.may_go(&r.gets[place], host, now)
                        && r.admits(host, key, sending, now)
                });
            }
        }
        // A copy that the ring's home or, where the home is new, its successor holds is cheaper there than at a parent.
        let neighbour = chosen.and_then(|host| {
            let new = r.warmth(host, now).1;
            let other = if home == Some(host) { ring.walk(key).nth(1).filter(|_| new) } else { home };
            other.filter(|&o| r.site.siblings && !write && !r.gets[place].neighbour_lacks && r.usable(o, now))
        });
        let neighbour = neighbour.filter(|&o| !r.warmth(o, now).1 && !tried.contains(&Some(o)));
        r.caches = ring;
        if sending * least.max(1.0) > objective.max(0.0)
            && chosen.is_some()
            && left.as_secs_f64() < sending * least
            || chosen.is_some() && least > BOUND && sending * least > objective.max(sending * BOUND)
        {
            return self.give_up(place);
        }
        let r = &mut *self.r;
        let work = sending * misses;
        let broken = r.gets[place].tried[1]
            .filter(|&t| r.hosts[t].entry.is_some_and(|e| Some(e.kind) == r.site.parent_kind));
        let source = neighbour.or_else(|| match write {
            true => r.origin.filter(|&o| r.hosts[o].on()).or_else(|| r.parent(key, sending, broken, now)),
            false => r.parent(key, work, broken, now),
        });
        let Some(host) = chosen.or(source.filter(|_| r.site.direct && neighbour.is_none())) else {
            return self.give_up(place);
        };
        if !r.may_go(&r.gets[place], host, now) {
            return self.give_up(place);
        }
        let source = source.unwrap_or(host);
        let forward = Forward {
            host,
            source,
            timeout: left,
            keep: rank,
            accepted_age: if write { ZERO } else { r.oldest(&get, now) },
            join: r.site.joins && !write,
            held_only: neighbour.is_some(),
            renew: !r.busy && !write,
        };
        let slow = 1.0 / r.hosts[host].pace.clamp(0.2, 1.0);
        let patience = (objective - sending * 1.1).max(sending * slow + PATIENCE.as_secs_f64());
        let g = &mut r.gets[place];
        let sent = Sent {
            hop: g.hops,
            host,
            source,
            at: now,
            overdue: now + Duration::from_secs_f64(patience),
            withdrawn: false,
        };
        g.hops += 1;
        *g.out.iter_mut().find(|slot| slot.is_none()).expect("at most two forwards are out") = Some(sent);
        r.hosts[host].out += 1.0;
        self.out.forward(place, &forward);
    }

    /// The final answer of a GET that the router gives up on, at once. Idempotent ones and those proven not run are
    /// shed, with a time to come back where the client hears it.
    fn give_up(&mut self, place: Place) {
        let r = &mut *self.r;
        let g = &mut r.gets[place];
        if std::mem::replace(&mut g.answered, true) {
            return;
        }
        let ds = &r.services[g.get.ds];
        let may_have_run = g.may_have_run.is_some() || g.out.iter().any(Option::is_some);
        if ds.idempotent || !may_have_run || ds.tokened && ds.token_group == TokenGroup::All {
            let wait = COME_BACK.mul_f64(0.5 + r.chance.f64());
            self.out.shed(place, r.site.retry_after.map(|most| wait.min(most)));
        } else {
            self.out.error(place);
        }
        self.withdraw_all(place);
        self.free(place);
    }

    fn withdraw_all(&mut self, place: Place) {
        if !self.r.site.cancel {
            return;
        }
        for sent in self.r.gets[place].out.iter_mut().flatten().filter(|s| !s.withdrawn) {
            sent.withdrawn = true;
            self.out.withdraw(place, sent.hop);
        }
    }

    /// A place is reused only when nothing is out for it, so that no late outcome can meet another GET.
    fn free(&mut self, place: Place) {
        let g = &self.r.gets[place];
        if g.answered && g.out.iter().all(Option::is_none) {
            self.r.gets.remove(place);
            self.out.settled(place);
        }
    }

    pub fn abandoned(&mut self, place: Place) {
        if let Some(g) = self.r.gets.get_mut(place) {
            g.answered = true;
            self.withdraw_all(place);
            self.free(place);
        }
    }

    /// The answer of a streamed delivery service has begun: the client has it, no deadline counts.
    pub fn started(&mut self, place: Place, hop: u32) {
        if let Some(g) = self.r.gets.get_mut(place) {
            g.streaming = g.out.iter().flatten().any(|s| s.hop == hop);
        }
    }

    pub fn outcome(&mut self, place: Place, o: &Outcome) {
        let (now, r) = (self.now, &mut *self.r);
        let Some(g) = r.gets.get_mut(place) else { return };
        let Some(slot) = g.out.iter_mut().find(|s| s.is_some_and(|s| s.hop == o.hop)) else { return };
        let sent = slot.take().expect("found");
        let proven = matches!(o.end, End::Full | End::NoConnection | End::NeverSent | End::Miss);
        if !proven && o.end != End::Returned && g.may_have_run.is_none() {
            g.may_have_run = Some((sent.host, sent.at));
        }
        g.answered |= o.closed;
        g.neighbour_lacks |= o.note == Note::SourceLacks || o.end == End::Miss;
        let (ds, sending, answered) = (g.get.ds, g.sending, g.answered);
        g.tried = [Some(sent.host).filter(|_| o.end != End::Miss), Some(sent.source)];
        let h = &mut r.hosts[sent.host];
        h.out = (h.out - 1.0).max(0.0);
        self.learn(&sent, o, ds, sending);
        let r = &mut *self.r;
        if !answered && r.gets[place].out.iter().all(Option::is_none) {
            let ds = &r.services[ds];
            if ds.idempotent || ds.tokened || r.gets[place].may_have_run.is_none() {
                self.decide(place);
            } else {
                self.give_up(place);
            }
        } else if answered {
            self.withdraw_all(place);
            self.free(place);
        }
        let _ = now;
    }

    /// What an outcome tells of the host, the source and the origin.
    fn learn(&mut self, sent: &Sent, o: &Outcome, ds: usize, sending: f64) {
        let (now, r) = (self.now, &mut *self.r);
        let reached = matches!(o.end, End::Returned | End::Miss);
        let source_failed = matches!(o.note, Note::SourceRefused | Note::SourceBroke | Note::OriginFailed)
            || !r.site.notes && o.end == End::Errored;
        let straight = sent.host == sent.source;
        if reached || o.end == End::Full || source_failed {
            r.hosts[sent.host].last_answer = now;
        }
        match o.end {
            End::Returned | End::Miss => r.hosts[sent.host].judge(now, true),
            End::Errored | End::Full if source_failed && !straight => r.hosts[sent.host].judge(now, true),
            End::Errored | End::NoConnection | End::Reset => r.hosts[sent.host].judge(now, false),
            End::TimedOut if !sent.withdrawn => r.hosts[sent.host].judge(now, false),
            _ => {}
        }
        let s = &mut r.services[ds];
        let spent = o.spent.as_secs_f64();
        let hit = matches!(o.note, Note::Hit | Note::Stale);
        let filled = matches!(o.note, Note::Filled | Note::FilledFromOrigin | Note::Joined);
        if o.end == End::Returned && !s.write {
            blend(&mut s.misses, f64::from(u8::from(!hit)));
        }
        if hit && o.end == End::Returned {
            let pace = (sending / spent.max(1e-3)).min(1.0);
            blend(&mut s.sending, spent);
            let h = &mut r.hosts[sent.host];
            blend(&mut h.pace, pace);
            let units = h.entry.map_or(1.0, |e| e.units.max(0.1));
            let there = (h.out + 1.0) * r.site.zone_routers / units;
            if pace > 0.9 && there > r.fit {
                blend(&mut r.fit, there);
            }
        }
        if s.write {
            return;
        }
        if filled && !straight {
            r.hosts[sent.source].judge(now, true);
            r.hosts[sent.source].last_answer = now;
        } else if source_failed && !straight && o.note != Note::OriginFailed {
            r.hosts[sent.source].judge(now, false);
        }
        let s = &mut r.services[ds];
        let wait = if r.site.notes { o.source_wait.as_secs_f64() } else { spent - sending };
        let slow = filled && wait > s.objective.as_secs_f64() * SLOW_PART;
        let from_origin = match r.site.notes {
            true => o.note == Note::FilledFromOrigin || Some(sent.source) == r.origin && filled,
            false => filled,
        };
        let bad = slow || source_failed;
        if from_origin || bad {
            r.fills.count(bad);
        }
        r.busy = r.fills.busy(r.site.origin_rate.map(|rate| rate / r.site.routers));
        if !hit && !s.write && r.busy {
            s.accepted_age = (s.accepted_age * 2).min(s.fresh + s.grace);
        }
    }

    pub fn listed<'e>(&mut self, kind: ListKind, entries: impl IntoIterator<Item = &'e Entry>) {
        if kind == ListKind::Failed {
            if self.r.follows.is_some() {
                self.r.follows = Some(self.now + REST);
            }
            return;
        }
        let r = &mut *self.r;
        if matches!(kind, ListKind::Whole | ListKind::Kept) {
            for e in r.hosts.iter_mut().filter_map(|h| h.entry.as_mut()) {
                e.standing = Standing::Gone;
            }
        }
        for entry in entries {
            if r.hosts.len() <= entry.host {
                r.hosts.resize(entry.host + 1, Host::new());
            }
            let h = &mut r.hosts[entry.host];
            if h.entry.is_some_and(|e| e.started < entry.started) {
                // A fresh start: what was known of the old process does not count.
                *h = Host { out: h.out, spent: h.spent, spent_at: h.spent_at, ..Host::new() };
            }
            h.entry = Some(*entry);
        }
        let (site, hosts) = (&r.site, &r.hosts);
        let parent = |e: &Entry| Some(e.kind) == site.parent_kind;
        let origin = |e: &Entry| e.kind == site.origin_kind;
        r.caches.lay(hosts, |e| e.zone == site.zone && !parent(e) && !origin(e));
        r.parents.lay(hosts, parent);
        r.origin = (0..hosts.len()).find(|&h| hosts[h].on() && hosts[h].entry.as_ref().is_some_and(origin));
    }

    pub fn purged(&mut self, group: u64, object: Option<u64>, age: Duration) {
        let at = self.now.saturating_sub(age);
        let known = self.r.purges.entry((group, object)).or_insert(at);
        *known = at.max(*known);
    }

    pub fn sampled(&mut self, host: HostIndex, reached: bool, _load: &Load) {
        if let Some(h) = self.r.hosts.get_mut(host) {
            h.judge(self.now, reached);
        }
    }

    pub fn woken(&mut self) {
        self.r.waking = false;
        self.sweep();
    }

    /// Withdraws overdue forwards. Guards against hosts and sources that neither answer nor fail. When all is slow it
    /// would only add work, so a budget bounds it unless the host has gone silent.
    fn sweep(&mut self) {
        let now = self.now;
        for place in 0..self.r.gets.capacity() {
            let r = &mut *self.r;
            let Some(g) = r.gets.get_mut(place) else { continue };
            let ds = &r.services[g.get.ds];
            if g.answered || g.streaming || !ds.idempotent || !r.site.cancel || g.hops >= r.site.most_forwards
            {
                continue;
            }
            let Some(sent) = g.out.iter_mut().flatten().find(|s| !s.withdrawn) else { continue };
            let silent = r.hosts[sent.host].last_answer < sent.at;
            let dead = r.hosts[sent.host].failed() && silent;
            if now < sent.overdue && !dead || !silent && r.overdue_left < 1.0 {
                continue;
            }
            if !silent {
                r.overdue_left -= 1.0;
            }
            sent.withdrawn = true;
            let blamed = if silent || sent.source == sent.host { sent.host } else { sent.source };
            let hop = sent.hop;
            if !dead {
                r.hosts[blamed].judge(now, false);
            }
            self.out.withdraw(place, hop);
        }
    }

    /// Closes a round: the design's return to idle, purges that all have obeyed, the next sweep.
    fn settle(&mut self) {
        let (now, r) = (self.now, &mut *self.r);
        r.busy = r.fills.busy(r.site.origin_rate.map(|rate| rate / r.site.routers));
        if !r.busy {
            r.services.iter_mut().for_each(|s| s.accepted_age = s.fresh);
        }
        let kept = r.site.purged_within + r.site.tick;
        r.purges.retain(|_, at| now < *at + kept);
        if r.follows.is_some_and(|at| now >= at) {
            r.follows = Some(Duration::MAX);
            self.out.follow_list();
        }
        if !self.r.waking {
            self.r.waking = true;
            self.out.wake(SWEEP);
        }
    }
}
