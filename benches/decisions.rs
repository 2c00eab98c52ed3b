//! Cost of a decision by the number of hosts: for a request without failures, for a request while half of the hosts, the
//! parents of the router's own hub or all hosts have failed, for a list change and for a timer wakeup. Also the cost of a
//! request while the router holds purges.
//!
//! Run with `cargo bench -p myrtlegauge --bench decisions`. There is no I/O: the router's decisions go to a sink that drops
//! them.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Numbers of hosts in a fleet without its origin. Half of them are caches of the router's zone, and half are parents.
const FLEET_SIZES: [usize; 4] = [32, 100, 290, 2000];
/// Number of hubs over which the parents are distributed. The router's own hub is one of them.
const HUBS: usize = 4;
/// Zone of the caches, after the zones of the hubs.
const EDGE_ZONE: usize = HUBS;
/// Requests between two reports that keep failed hosts in backoff. Only the reports are excluded from the measured time.
const REQUESTS_PER_BLOCK: u64 = 500;
/// Time between requests, which corresponds to the rate of a busy router.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
/// Longer than the backoff of a failed host, so that a report of failure starts a new backoff.
const BACKOFF_EXPIRY: Duration = Duration::from_millis(5000);
/// Number of recent outcomes that decide whether a host has failed.
const RECENT_OUTCOMES: usize = 4;
/// Number of purges in effect after a busy hour.
const PURGE_COUNT: u64 = 120;

/// A sink that keeps the last forward and drops all other decisions.
#[derive(Default)]
struct LastForwardSink {
    last: Option<Forward>,
}

impl DecisionSink for LastForwardSink {
    fn forward(&mut self, _get: GetIndex, forward: &Forward) {
        self.last = Some(*forward);
    }

    fn withdraw(&mut self, _get: GetIndex, _attempt: u32) {}
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
        "balancers": 2, "my_zone": EDGE_ZONE, "discovery": "pushed", "weights": "rough", "resolution_ms": 2.0,
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

/// Entry of a host. Caches and parents alternate, so that every second host is of each kind; the origin comes last.
fn entry(host: HostIndex, hosts: usize) -> HostEntry {
    let (kind, zone) = match host {
        host if host == hosts => (2, 0),
        host if host % 2 == 1 => (1, host / 2 % HUBS),
        _ => (0, EDGE_ZONE),
    };
    let id_hash = hash_host_id(&format!("host {host}"));
    HostEntry { host, id_hash, status: HostStatus::Active, zone, kind, weight: 30.0, ..HostEntry::default() }
}

/// Which hosts have failed. `All` includes the origin.
#[derive(Clone, Copy)]
enum FailedHosts {
    None,
    Half,
    /// The parents of the router's own hub.
    OwnHub,
    All,
}

impl FailedHosts {
    fn contains(self, host: HostIndex) -> bool {
        match self {
            Self::None => false,
            // Each block of eight hosts contains as many caches as parents, and parents of each hub.
            Self::Half => (host / 8).is_multiple_of(2),
            Self::OwnHub => host % 2 == 1 && (host / 2).is_multiple_of(HUBS),
            Self::All => true,
        }
    }
}

/// A router with a fleet and a simulated clock.
struct Bench {
    router: Router,
    sink: LastForwardSink,
    now: Duration,
    hosts: usize,
    object: u64,
}

impl Bench {
    fn new(hosts: usize) -> Self {
        let router = Router::new(settings().as_object().unwrap(), 7).unwrap();
        let now = Duration::from_secs(100);
        let mut bench = Self { router, sink: LastForwardSink::default(), now, hosts, object: 0 };
        let entries: Vec<_> = (0..=hosts).map(|host| entry(host, hosts)).collect();
        bench.router.round(now, &mut bench.sink, |round| round.on_host_list(ListUpdate::Full, &entries));
        bench
    }

    /// Reports failures of the failed hosts, for the backoff that a host has after several failed trials.
    fn report_failures(&mut self, failed: FailedHosts) {
        self.now += BACKOFF_EXPIRY;
        let hosts = (0..=self.hosts).filter(|&host| failed.contains(host));
        self.router.round(self.now, &mut self.sink, |round| {
            hosts.for_each(|host| (0..RECENT_OUTCOMES).for_each(|_| round.on_host_report(host, false)));
        });
    }

    /// Takes a request for a new object and reports the outcome of its forward.
    fn request(&mut self) {
        self.object += 1;
        self.now += REQUEST_INTERVAL;
        self.sink.last = None;
        let get = Get {
            object: self.object,
            size_kb: 1000.0,
            viewer_timeout: Duration::from_millis(5000),
            ..Get::default()
        };
        let get_index = self.router.round(self.now, &mut self.sink, |round| {
            let get_index = round.next_get_index();
            round.on_get(get);
            get_index
        });
        if self.sink.last.is_some() {
            let outcome = Outcome {
                attempt: 0,
                end: End::Returned,
                elapsed: Duration::from_millis(100),
                is_answered: true,
                note: Note::Hit,
                is_unmodified: false,
                source_wait: Duration::ZERO,
                load: LoadReport::default(),
            };
            self.router.round(self.now, &mut self.sink, |round| round.on_outcome(get_index, &outcome));
        }
    }

    /// Measures the time of `count` requests, without the reports that keep hosts in backoff.
    fn time_requests(&mut self, count: u64, failed: FailedHosts) -> Duration {
        let mut elapsed = Duration::ZERO;
        let mut remaining = count;
        while remaining > 0 {
            self.report_failures(failed);
            let block = remaining.min(REQUESTS_PER_BLOCK);
            let block_start = Instant::now();
            (0..block).for_each(|_| self.request());
            elapsed += block_start.elapsed();
            remaining -= block;
        }
        elapsed
    }

    fn wake_up(&mut self) {
        self.now += Duration::from_millis(25);
        self.router.round(self.now, &mut self.sink, |round| round.on_wakeup());
    }

    /// Removes a host from the list, or adds it again.
    fn change_list(&mut self) {
        self.object += 1;
        let status = if self.object.is_multiple_of(2) { HostStatus::Active } else { HostStatus::Removed };
        let changed = HostEntry { status, ..entry(0, self.hosts) };
        self.router
            .round(self.now, &mut self.sink, |round| round.on_host_list(ListUpdate::Changes, [&changed]));
    }
}

fn decisions(criterion: &mut Criterion) {
    let requests = [
        ("request, all well", FailedHosts::None),
        ("request while hosts fail", FailedHosts::Half),
        ("request, own hub's parents failed", FailedHosts::OwnHub),
        ("request, all failed", FailedHosts::All),
    ];
    for (name, failed) in requests {
        let mut group = criterion.benchmark_group(name);
        for hosts in FLEET_SIZES {
            let mut bench = Bench::new(hosts);
            group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| {
                bencher.iter_custom(|count| bench.time_requests(count, failed));
            });
        }
    }
    let mut group = criterion.benchmark_group("list change");
    for hosts in FLEET_SIZES {
        let mut bench = Bench::new(hosts);
        group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| {
            bencher.iter(|| bench.change_list())
        });
    }
    drop(group);
    let mut group = criterion.benchmark_group("timer turn");
    for hosts in FLEET_SIZES {
        let mut bench = Bench::new(hosts);
        group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| bencher.iter(|| bench.wake_up()));
    }
}

/// Measures requests while the router holds purges. The purges are reported again before each block of requests.
fn purges(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request beside purges");
    for count in [0, PURGE_COUNT] {
        let mut bench = Bench::new(FLEET_SIZES[0]);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter_custom(|requests| {
                let mut elapsed = Duration::ZERO;
                let mut remaining = requests;
                while remaining > 0 {
                    bench.router.round(bench.now, &mut bench.sink, |round| {
                        (0..count)
                            .for_each(|object| round.on_purge(PurgeKey::Object(!object), Duration::ZERO));
                    });
                    let block = remaining.min(REQUESTS_PER_BLOCK);
                    elapsed += bench.time_requests(block, FailedHosts::None);
                    remaining -= block;
                }
                elapsed
            });
        });
    }
}

fn short_measurement() -> Criterion {
    Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
}

criterion_group! {
    name = benches;
    config = short_measurement();
    targets = decisions, purges
}
criterion_main!(benches);
