//! Cost of a decision by the number of hosts: a request while all is well, while half of the hosts, the parents of the
//! router's own hub or all hosts have failed, a list change, a timer turn; and a request while purges are remembered.
//!
//! `cargo bench -p myrtlegauge --bench decisions`. No I/O: the router's decisions go to a writer that drops them.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Hosts of a fleet, its origin not counted: half of them caches of the router's zone, half of them parents.
const FLEETS: [usize; 4] = [32, 100, 290, 2000];
/// Hubs that the parents are spread over; the router's own is one of them.
const HUBS: usize = 4;
/// Zone of the caches; the zones of the hubs come first.
const EDGE: usize = HUBS;
/// Requests between two reports that keep failed hosts failed; untimed is the report alone.
const REQUESTS_A_BLOCK: u64 = 500;
/// Time from one request to the next: the rate of a busy router.
const REQUEST_EVERY: Duration = Duration::from_millis(1);
/// Longer than a failed host rests, so that a report of failure has it rest anew.
const REST_ENDS: Duration = Duration::from_millis(5000);
/// Outcomes by which a host is judged.
const FAILURES: usize = 4;
/// Purges that a busy hour leaves alive.
const PURGES: u64 = 120;

/// A writer that keeps the last forward and drops all else.
#[derive(Default)]
struct Sink {
    last: Option<Forward>,
}

impl DecisionSink for Sink {
    fn forward(&mut self, _get: GetIndex, forward: &Forward) {
        self.last = Some(*forward);
    }

    fn withdraw(&mut self, _get: GetIndex, _hop: u32) {}
    fn shed(&mut self, _get: GetIndex, _retry_after: Option<Duration>) {}
    fn error(&mut self, _get: GetIndex) {}
    fn release(&mut self, _get: GetIndex) {}
    fn schedule_wakeup(&mut self, _after: Duration) {}
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, _line: std::fmt::Arguments<'_>) {}
}

fn settings() -> Value {
    let zones: Vec<_> = (0..=HUBS).map(|zone| format!("zone {zone}")).collect();
    let hub_of: Vec<_> = (0..HUBS).chain([0]).collect();
    let counts: Vec<_> = (0..HUBS).map(|_| 0).chain([2]).collect();
    json!({
        "balancers": 2, "my_zone": EDGE, "discovery": "pushed", "weights": "rough", "resolution_ms": 2.0,
        "zones": zones, "kinds": ["standard", "parent", "origin"],
        "classes": [{"name": "photo", "aim_ms": 400.0, "aim_stretch": 1.6, "deadline_ms": 5000.0,
            "effect": "idempotent", "group": "zone", "key_ttl_ms": 5000.0}],
        "domain": {"count_by_zone": counts, "hub_of": hub_of, "shield_kind": 1, "master_kind": 2,
            "flow_kb_per_s": 10000.0, "shares_fills": false, "pass_through_ok": true, "note_level": "all",
            "lifetime_by_class_ms": [5000.0], "grace_for_ms": [30000.0], "pass_on": [false],
            "parent_floor": 0.08, "parent_cold_ms": 20000.0, "parent_breaks_at": 2.0,
            "gone_everywhere_ms": 6000.0, "obey_after_ms": 1000.0},
        "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0, "max_attempts": 8,
            "streams_per_conn": 100, "connect_timeout_ms": 400.0, "conn_idle_ms": 15000.0},
        "obligations": {"start_capacity": 0.22, "warm_within_ms": 17000.0, "fall_multiple": 2.0, "fall_ms": 1000.0}
    })
}

/// Caches and parents by turns, so that every second host is of each kind; the origin comes last.
fn entry(host: HostIndex, hosts: usize) -> HostEntry {
    let (kind, zone) = match host {
        host if host == hosts => (2, 0),
        host if host % 2 == 1 => (1, host / 2 % HUBS),
        _ => (0, EDGE),
    };
    let mark = hash_host_id(&format!("host {host}"));
    HostEntry {
        host,
        id_hash: mark,
        status: HostStatus::Active,
        zone,
        kind,
        weight: 30.0,
        ..HostEntry::default()
    }
}

/// Which hosts have failed, the origin included where all have.
#[derive(Clone, Copy)]
enum Failed {
    None,
    Half,
    /// The parents of the router's own hub.
    OwnHub,
    All,
}

impl Failed {
    fn holds(self, host: HostIndex) -> bool {
        match self {
            Self::None => false,
            // Blocks of eight hold as many caches as parents, and parents of each hub.
            Self::Half => (host / 8).is_multiple_of(2),
            Self::OwnHub => host % 2 == 1 && (host / 2).is_multiple_of(HUBS),
            Self::All => true,
        }
    }
}

/// A router with a fleet and a clock.
struct Bench {
    router: Router,
    sink: Sink,
    now: Duration,
    hosts: usize,
    object: u64,
}

impl Bench {
    fn new(hosts: usize) -> Self {
        let router = Router::new(settings().as_object().unwrap(), 7).unwrap();
        let now = Duration::from_secs(100);
        let mut bench = Self { router, sink: Sink::default(), now, hosts, object: 0 };
        let entries: Vec<_> = (0..=hosts).map(|host| entry(host, hosts)).collect();
        bench.router.round(now, &mut bench.sink, |round| round.on_host_list(ListUpdate::Full, &entries));
        bench
    }

    /// Has hosts fail anew, for the rest that a host has after several failed trials.
    fn fail(&mut self, failed: Failed) {
        self.now += REST_ENDS;
        let hosts = (0..=self.hosts).filter(|&host| failed.holds(host));
        self.router.round(self.now, &mut self.sink, |round| {
            hosts.for_each(|host| (0..FAILURES).for_each(|_| round.on_host_report(host, false)));
        });
    }

    /// A request for an object not seen before, and the outcome of each forward.
    fn request(&mut self) {
        self.object += 1;
        self.now += REQUEST_EVERY;
        self.sink.last = None;
        let get = Get {
            object: self.object,
            size_kb: 1000.0,
            viewer_timeout: Duration::from_millis(5000),
            ..Get::default()
        };
        let place = self.router.round(self.now, &mut self.sink, |round| {
            let place = round.next_get_index();
            round.on_get(get);
            place
        });
        if self.sink.last.is_some() {
            let outcome = Outcome {
                attempt: 0,
                end: End::Returned,
                elapsed: Duration::from_millis(100),
                is_answered: true,
                note: Note::Hit,
                source_wait: Duration::ZERO,
                load: LoadReport::default(),
            };
            self.router.round(self.now, &mut self.sink, |round| round.on_outcome(place, &outcome));
        }
    }

    /// Time of so many requests, without the reports that keep hosts failed.
    fn requests(&mut self, count: u64, failed: Failed) -> Duration {
        let mut spent = Duration::ZERO;
        let mut left = count;
        while left > 0 {
            self.fail(failed);
            let block = left.min(REQUESTS_A_BLOCK);
            let begun = Instant::now();
            (0..block).for_each(|_| self.request());
            spent += begun.elapsed();
            left -= block;
        }
        spent
    }

    fn woken(&mut self) {
        self.now += Duration::from_millis(25);
        self.router.round(self.now, &mut self.sink, |round| round.on_wakeup());
    }

    /// One host leaves, or comes back.
    fn change(&mut self) {
        self.object += 1;
        let standing = if self.object.is_multiple_of(2) { HostStatus::Active } else { HostStatus::Removed };
        let changed = HostEntry { status: standing, ..entry(0, self.hosts) };
        self.router
            .round(self.now, &mut self.sink, |round| round.on_host_list(ListUpdate::Changes, [&changed]));
    }
}

fn decisions(criterion: &mut Criterion) {
    let requests = [
        ("request, all well", Failed::None),
        ("request while hosts fail", Failed::Half),
        ("request, own hub's parents failed", Failed::OwnHub),
        ("request, all failed", Failed::All),
    ];
    for (name, failed) in requests {
        let mut group = criterion.benchmark_group(name);
        for hosts in FLEETS {
            let mut bench = Bench::new(hosts);
            group.bench_function(BenchmarkId::from_parameter(hosts), |b| {
                b.iter_custom(|count| bench.requests(count, failed));
            });
        }
    }
    let mut group = criterion.benchmark_group("list change");
    for hosts in FLEETS {
        let mut bench = Bench::new(hosts);
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| b.iter(|| bench.change()));
    }
    drop(group);
    let mut group = criterion.benchmark_group("timer turn");
    for hosts in FLEETS {
        let mut bench = Bench::new(hosts);
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| b.iter(|| bench.woken()));
    }
}

/// A request beside purges that are all remembered: they are told anew before each block of requests.
fn purges(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request beside purges");
    for count in [0, PURGES] {
        let mut bench = Bench::new(FLEETS[0]);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter_custom(|requests| {
                let mut spent = Duration::ZERO;
                let mut left = requests;
                while left > 0 {
                    bench.router.round(bench.now, &mut bench.sink, |round| {
                        (0..count)
                            .for_each(|object| round.on_purge(PurgeKey::Object(!object), Duration::ZERO));
                    });
                    let block = left.min(REQUESTS_A_BLOCK);
                    spent += bench.requests(block, Failed::None);
                    left -= block;
                }
                spent
            });
        });
    }
}

fn short() -> Criterion {
    Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
}

criterion_group! {
    name = benches;
    config = short();
    targets = decisions, purges
}
criterion_main!(benches);
