//! A small location to decide in, and a writer that prints decisions as a trace.

use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use serde_json::{Value, json};
use std::fmt::{Arguments, Write};
use std::time::Duration;

pub const CACHES: [HostIndex; 3] = [0, 1, 2];
pub const PARENTS: [HostIndex; 2] = [3, 4];
pub const ORIGIN: HostIndex = 5;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Delivery services: 0 video (never stale), 1 photo (fresh 5 s, grace 30 s), 2 confirm (a write, never twice),
/// 3 order (tokened).
pub fn settings() -> Value {
    let class = |effect: &str, aim: f64| json!({"aim_ms": aim, "aim_stretch": 1.6, "effect": effect, "group": "zone", "key_ttl_ms": 5000.0});
    json!({
        "balancers": 2, "my_zone": 1, "discovery": "pushed", "weights": "rough", "resolution_ms": 2.0,
        "classes": [class("idempotent", 500.0), class("idempotent", 400.0), class("at_most_once", 600.0),
            class("deduplicated", 600.0)],
        "domain": {"count_by_zone": [0, 2], "hub_of": [0, 0], "shield_kind": 1, "master_kind": 2,
            "flow_kb_per_s": 10000.0, "shares_fills": false, "pass_through_ok": true, "note_level": "all",
            "lifetime_by_class_ms": [0.0, 5000.0, 0.0, 0.0], "grace_for_ms": [0.0, 30000.0, 0.0, 0.0],
            "pass_on": [false, false, true, false], "parent_floor": 0.08, "parent_cold_ms": 20000.0,
            "parent_breaks_at": 2.0, "gone_everywhere_ms": 6000.0, "obey_after_ms": 1000.0},
        "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0, "max_attempts": 8},
        "obligations": {"start_capacity": 0.22, "warm_within_ms": 17000.0, "fall_multiple": 2.0, "fall_ms": 1000.0}
    })
}

pub fn entry(host: HostIndex) -> Entry {
    let (kind, zone, units) = match host {
        ORIGIN => (2, 0, 1.0),
        host if PARENTS.contains(&host) => (1, 0, 30.0),
        _ => (0, 1, 4.0),
    };
    let mark = 0x9e37_79b9 * (host as u64 + 1);
    Entry { host, mark, standing: Standing::On, started: Duration::ZERO, zone, cell: 0, kind, units }
}

/// Prints each decision on a line of its own.
#[derive(Default)]
pub struct Trace {
    pub lines: String,
    pub last: Option<Forward>,
    pub sent: Vec<HostIndex>,
    now: Duration,
}

pub fn name(host: HostIndex) -> String {
    match host {
        ORIGIN => "origin".into(),
        host if PARENTS.contains(&host) => format!("parent {host}"),
        _ => format!("cache {host}"),
    }
}

impl Trace {
    fn line(&mut self, line: Arguments<'_>) {
        writeln!(self.lines, "{:>6} ms  {line}", self.now.as_millis()).unwrap();
    }

    pub fn say(&mut self, text: &str) {
        writeln!(self.lines, "# {text}").unwrap();
    }
}

impl Dispatch for Trace {
    fn forward(&mut self, get: Place, f: &Forward) {
        self.last = Some(*f);
        self.sent.push(f.host);
        let (host, source) = (name(f.host), name(f.source));
        let age = if f.accepted_age.is_zero() { "any age".into() } else { format!("{:?}", f.accepted_age) };
        let renew = if f.renew { ", renew" } else { "" };
        let held = if f.held_only { " if it holds it" } else { "" };
        self.line(format_args!("GET {get} to {host}, from {source}{held}, rank {}, {age}{renew}", f.keep));
    }

    fn withdraw(&mut self, get: Place, hop: u32) {
        self.line(format_args!("GET {get} withdrawn, forward {hop}"));
    }

    fn shed(&mut self, get: Place, retry_after: Option<Duration>) {
        let told = if retry_after.is_some() { "with" } else { "without" };
        self.line(format_args!("GET {get} shed, {told} a time to come back"));
    }

    fn error(&mut self, get: Place) {
        self.line(format_args!("GET {get} errored"));
    }

    fn settled(&mut self, get: Place) {
        self.line(format_args!("GET {get} settled"));
    }

    fn wake(&mut self, _after: Duration) {}

    fn follow_list(&mut self) {
        self.line(format_args!("follow the list"));
    }

    fn log(&mut self, line: Arguments<'_>) {
        self.line(format_args!("log: {line}"));
    }
}

/// A router at its location, with a clock.
pub struct Day {
    pub router: Router,
    pub trace: Trace,
    pub now: Duration,
}

impl Day {
    pub fn new(settings: Value) -> Self {
        let router = Router::new(settings.as_object().unwrap(), 7).unwrap();
        let mut day = Self { router, trace: Trace::default(), now: ms(100_000) };
        day.list(ListKind::Kept, &(0..6).map(entry).collect::<Vec<_>>());
        day
    }

    pub fn round(&mut self, said: impl FnOnce(&mut myrtlegauge::decide::Round<'_, Trace>)) {
        self.trace.now = self.now;
        self.router.round(self.now, &mut self.trace, said);
    }

    pub fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        self.round(|round| round.listed(kind, entries));
    }

    /// Takes a GET of 100 ms sending time; it gets the place that is free.
    pub fn take(&mut self, ds: usize, object: u64) -> Place {
        let mut place = 0;
        let get = Get { ds, object, size_kb: 1000.0, viewer_timeout: ms(5000), ..Get::default() };
        self.round(|round| {
            place = round.next_place();
            round.take(get);
        });
        place
    }

    pub fn end(&mut self, place: Place, hop: u32, end: End, note: Note, spent: u64) {
        let closed = end == End::Returned;
        let (spent, source_wait) = (ms(spent), ms(spent.saturating_sub(100)));
        let o = Outcome { hop, end, spent, closed, note, source_wait, load: Load::default() };
        self.round(|round| round.outcome(place, &o));
    }

    pub fn after(&mut self, by: u64) {
        self.now += ms(by);
        self.round(|round| round.woken());
    }
}
