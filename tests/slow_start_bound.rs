//! Work that a fleet of routers sends to a cache that has just started, in the units in which it is judged: requests of the
//! mean work of their service, against what the settings and the weight in the list allow. Drawn are the number of routers,
//! the demand, the spread of the work and what the caches can really do.

mod common;

use common::{host_entry, ms, settings};
use myrtlegauge::decide::Router;
use myrtlegauge::host_life::EndEvidence;
use myrtlegauge::interface::*;
use serde_json::json;
use std::collections::VecDeque;
use std::fmt::Arguments;
use std::time::Duration;

const CACHES: usize = 4;
/// The cache that starts anew.
const STARTED: HostIndex = 0;
const PARENT: HostIndex = 4;
const ORIGIN: HostIndex = 5;
const HOSTS: usize = 6;
/// Step of the simulated time, and of the calls of the wake-up.
const STEP: Duration = Duration::from_millis(5);
const STEPS_PER_WAKEUP: u32 = 5;
/// When the cache's process ends, and how long nothing answers.
const ENDS_AT: Duration = Duration::from_secs(6);
const AWAY: Duration = Duration::from_millis(300);
/// How long the simulation goes on after the start.
const OBSERVED: Duration = Duration::from_secs(5);
/// The routers' own clocks begin here, since a time of zero means long ago.
const EPOCH: Duration = Duration::from_secs(1000);
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the bound that a fleet may reach. It is well below one, since weights in the list are rough.
const MAX_BOUND_FRACTION: f64 = 0.9;
const OBJECTS: u64 = 3000;
const TIMEOUT: Duration = Duration::from_millis(2000);
/// Requests of `N` under which the bound leaves more room for chance.
const FEW_REQUESTS: f64 = 30.0;

/// What is drawn for a fleet.
#[derive(Clone, Debug)]
struct Plan {
    routers: usize,
    weight: f64,
    /// Transfers that really fit a cache's link, as a multiple of the weight; `None` if a request takes as long beside any others.
    capacity_factor: Option<f64>,
    /// Requests per second of all clients, as a multiple of what the caches can do by their weights.
    demand: f64,
    /// Mean work of a request of each of the two services, and the fraction of requests that are of the first.
    mean_work_s: [f64; 2],
    first_fraction: f64,
    /// Standard deviation of the logarithm of the work within a service.
    work_sigma: f64,
    /// Fraction of requests that are answered without bytes, since the client's copy is current.
    unmodified: f64,
    /// All routers are replaced by new ones, without any state, this long after the cache has started.
    restarts_after: Option<Duration>,
    /// The cache's machine vanishes without a word instead, after it had closed an idle connection long before.
    vanishes: bool,
    overload_factor: f64,
    initial_fraction: f64,
    slow_start: Duration,
    seed: u64,
}

impl Plan {
    fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let routers = [1, 1, 3, 3, 6, 12, 30, 100][rng.usize(0..8)];
        Self {
            routers,
            weight: 2.0 + 6.0 * rng.f64(),
            capacity_factor: (rng.f64() < 0.75).then(|| 0.5 * 6f64.powf(rng.f64())),
            demand: 0.3 * 13f64.powf(rng.f64()),
            mean_work_s: [0.1 + 0.3 * rng.f64(), 0.03 + 0.07 * rng.f64()],
            first_fraction: rng.f64(),
            work_sigma: 1.2 * rng.f64(),
            unmodified: if rng.f64() < 0.3 { 0.5 * rng.f64() } else { 0.0 },
            restarts_after: (rng.f64() < 0.3).then(|| Duration::from_secs_f64(2.0 * rng.f64())),
            vanishes: rng.f64() < 0.3,
            overload_factor: [0.75, 1.0, 2.0, 4.0][rng.usize(0..4)],
            initial_fraction: 0.1 + 0.4 * rng.f64(),
            slow_start: Duration::from_secs_f64(6.0 + 11.0 * rng.f64()),
            seed,
        }
    }

    /// Mean work of all requests.
    fn overall_work_s(&self) -> f64 {
        self.mean_work_s[0] * self.first_fraction + self.mean_work_s[1] * (1.0 - self.first_fraction)
    }

    fn requests_per_s(&self) -> f64 {
        self.demand * CACHES as f64 * self.weight / self.overall_work_s()
    }

    fn settings(&self) -> serde_json::Value {
        let mut settings = settings();
        settings["balancers"] = json!(self.routers);
        settings["domain"]["count_by_zone"] = json!([0, self.routers]);
        settings["obligations"] = json!({"start_capacity": self.initial_fraction,
            "warm_within_ms": self.slow_start.as_secs_f64() * 1e3, "fall_multiple": self.overload_factor,
            "fall_ms": OVERLOAD_WINDOW.as_secs_f64() * 1e3});
        settings
    }

    /// Requests of mean work that the started cache may get within the overload window at this age, with room for chance.
    fn bound(&self, age: Duration) -> f64 {
        let warmth = age.div_duration_f64(self.slow_start).min(1.0);
        let capacity = (self.initial_fraction + (1.0 - self.initial_fraction) * warmth) * self.weight;
        let allowed = self.overload_factor * capacity * OVERLOAD_WINDOW.as_secs_f64() / self.overall_work_s();
        let root = allowed.sqrt();
        if allowed < FEW_REQUESTS { allowed + 3.0 * root + 3.0 } else { allowed + 2.0 * root + 2.0 }
    }
}

fn entry(host: HostIndex, weight: f64, start: Start) -> HostEntry {
    let (kind, zone) = match host {
        PARENT => (1, 0),
        ORIGIN => (2, 0),
        _ => (0, 1),
    };
    HostEntry { kind, zone, weight, start, ..host_entry(host) }
}

/// Collects the decisions of one round.
#[derive(Default)]
struct Decisions {
    forwards: Vec<(GetIndex, Forward)>,
    ended: Vec<GetIndex>,
}

impl DecisionSink for Decisions {
    fn forward(&mut self, get: GetIndex, forward: &Forward) {
        self.forwards.push((get, *forward));
    }
    fn withdraw(&mut self, _get: GetIndex, _attempt: u32) {}
    fn shed(&mut self, get: GetIndex, _retry_after: Option<Duration>) {
        self.ended.push(get);
    }
    fn error(&mut self, get: GetIndex) {
        self.ended.push(get);
    }
    fn release(&mut self, _get: GetIndex) {}
    fn schedule_wakeup(&mut self, _after: Duration) {}
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, _line: Arguments<'_>) {}
}

/// A forward that a cache works on.
struct Transfer {
    router: usize,
    get: GetIndex,
    attempt: u32,
    sent_at: Duration,
    remaining_s: f64,
}

/// A GET in flight at a router.
#[derive(Clone, Copy, Default)]
struct Request {
    service: usize,
    work_s: f64,
    attempts: u32,
}

/// An arrival at the started cache: when, and the mean work of its service.
type Arrival = (Duration, f64);

/// Starts the routers of a plan, whose list tells of this start of the first cache.
fn routers(plan: &Plan, now: Duration, start: Start) -> Vec<Router> {
    let settings = plan.settings();
    let start_of = |host| if host == STARTED { start } else { Start::default() };
    let entries: Vec<_> = (0..HOSTS).map(|host| entry(host, plan.weight, start_of(host))).collect();
    let start_router = |index: u64| {
        let seed = plan.seed ^ index << 8 ^ now.as_millis() as u64;
        let mut router = Router::new(settings.as_object().unwrap(), seed).unwrap();
        router.round(now, &mut Decisions::default(), |round| {
            round.on_host_list(ListUpdate::Persisted, &entries);
        });
        router
    };
    (0..plan.routers as u64).map(start_router).collect()
}

struct Simulation {
    plan: Plan,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    requests: Vec<Vec<Request>>,
    transfers: [Vec<Transfer>; HOSTS],
    is_down: bool,
    started_at: Option<Duration>,
    arrivals: Vec<Arrival>,
    now: Duration,
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        Self {
            routers: routers(&plan, EPOCH, Start::default()),
            requests: vec![Vec::new(); plan.routers],
            rng: fastrand::Rng::with_seed(plan.seed),
            transfers: Default::default(),
            is_down: false,
            started_at: None,
            arrivals: Vec::new(),
            now: EPOCH,
            plan,
        }
    }

    fn draw_work_s(&mut self, service: usize) -> f64 {
        let sigma = self.plan.work_sigma;
        let normal =
            (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * self.rng.f64()).cos();
        self.plan.mean_work_s[service] * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// Runs a round of one router and carries out its decisions. Forwards to the cache that is away are reset.
    fn round(&mut self, index: usize, apply: impl FnOnce(&mut myrtlegauge::decide::Round<'_, Decisions>)) {
        let mut decisions = Decisions::default();
        self.routers[index].round(self.now, &mut decisions, apply);
        let mut resets = Vec::new();
        for (get, forward) in decisions.forwards {
            let request = &mut self.requests[index][get];
            let attempt = request.attempts;
            request.attempts += 1;
            let Request { service, work_s, .. } = *request;
            if forward.host == STARTED && self.is_down && !self.plan.vanishes {
                resets.push((get, attempt));
                continue;
            }
            if forward.host == STARTED && self.started_at.is_some() {
                self.arrivals.push((self.now, self.plan.mean_work_s[service]));
            }
            let is_lost = forward.host == STARTED && self.is_down;
            let remaining_s = if is_lost { f64::INFINITY } else { work_s };
            let transfer = Transfer { router: index, get, attempt, sent_at: self.now, remaining_s };
            self.transfers[forward.host].push(transfer);
        }
        for (get, attempt) in resets {
            self.end(index, get, attempt, End::NoConnection, Duration::ZERO);
        }
    }

    fn end(&mut self, router: usize, get: GetIndex, attempt: u32, end: End, elapsed: Duration) {
        let is_answered = matches!(end, End::Returned | End::TimedOut);
        let note = if end == End::Returned { Note::Hit } else { Note::Untold };
        let outcome = Outcome {
            attempt,
            end,
            elapsed,
            is_answered,
            note,
            is_unmodified: self.requests[router][get].work_s == 0.0,
            source_wait: Duration::ZERO,
            load: LoadReport::default(),
        };
        self.round(router, |round| round.on_outcome(get, &outcome));
    }

    /// A client's request at a router that is drawn: half of them get twice the requests of the others.
    fn request(&mut self) {
        let (first, second) = (self.rng.usize(0..self.plan.routers), self.rng.usize(0..self.plan.routers));
        let router = if self.rng.f64() < 1.0 / 3.0 { first.min(second) } else { first };
        let service = usize::from(self.rng.f64() >= self.plan.first_fraction);
        let work_s = if self.rng.f64() < self.plan.unmodified { 0.0 } else { self.draw_work_s(service) };
        let object = self.rng.u64(0..OBJECTS);
        let get = Get { ds: service, object, viewer_timeout: TIMEOUT, ..Get::default() };
        let mut index = 0;
        self.round_with_index(router, &mut index, get, Request { service, work_s, attempts: 0 });
    }

    fn round_with_index(&mut self, router: usize, index: &mut usize, get: Get, request: Request) {
        let mut next = 0;
        self.routers[router]
            .round(self.now, &mut Decisions::default(), |round| next = round.next_get_index());
        if self.requests[router].len() <= next {
            self.requests[router].resize(next + 1, Request::default());
        }
        self.requests[router][next] = request;
        *index = next;
        self.round(router, |round| round.on_get(get));
    }

    /// Work that one transfer at a host gets done in a step.
    fn pace(&self, host: HostIndex) -> f64 {
        let factor = self.plan.capacity_factor.filter(|_| host < CACHES);
        let Some(factor) = factor else { return STEP.as_secs_f64() };
        let warmth = match self.started_at.filter(|_| host == STARTED) {
            Some(at) => {
                let age = (self.now - at).div_duration_f64(self.plan.slow_start).min(1.0);
                self.plan.initial_fraction + (1.0 - self.plan.initial_fraction) * age
            }
            None => 1.0,
        };
        let capacity = factor * self.plan.weight * warmth;
        STEP.as_secs_f64() * (capacity / self.transfers[host].len() as f64).min(1.0)
    }

    fn advance_transfers(&mut self) {
        for host in 0..HOSTS {
            let pace = self.pace(host);
            let now = self.now;
            let mut done = Vec::new();
            self.transfers[host].iter_mut().for_each(|transfer| transfer.remaining_s -= pace);
            self.transfers[host].retain_mut(|transfer| {
                let elapsed = now - transfer.sent_at;
                let end = if transfer.remaining_s <= 0.0 { Some(End::Returned) } else { None };
                let end = end.or((elapsed >= TIMEOUT).then_some(End::TimedOut));
                done.extend(end.map(|end| (transfer.router, transfer.get, transfer.attempt, end, elapsed)));
                end.is_none()
            });
            for (router, get, attempt, end, elapsed) in done {
                self.end(router, get, attempt, end, elapsed.max(ms(1)));
            }
        }
    }

    /// The cache closes the only connection of each router while the list is up to date, and another one comes up.
    fn close_idle_connections(&mut self) {
        let now = self.now;
        for router in 0..self.plan.routers {
            self.round(router, |round| {
                round.on_process_ended(STARTED, now, EndEvidence::ConnectionsEnded);
                round.on_connected(STARTED);
            });
        }
    }

    /// The process of the cache ends: what it works on is reset.
    fn end_process(&mut self) {
        self.is_down = true;
        if self.plan.vanishes {
            let lost = &mut self.transfers[STARTED];
            return lost.iter_mut().for_each(|transfer| transfer.remaining_s = f64::INFINITY);
        }
        for transfer in std::mem::take(&mut self.transfers[STARTED]) {
            let elapsed = self.now - transfer.sent_at;
            self.end(transfer.router, transfer.get, transfer.attempt, End::Reset, elapsed);
        }
    }

    /// The cache is back, cold, and all routers are told.
    fn start_process(&mut self) {
        (self.is_down, self.started_at) = (false, Some(self.now));
        let claim = StartClaim { unix_ms: self.now.as_millis() as u64, age: Duration::ZERO };
        let start = if self.plan.vanishes { Start::Claimed(claim) } else { Start::At(self.now) };
        let started = entry(STARTED, self.plan.weight, start);
        for router in 0..self.plan.routers {
            self.round(router, |round| round.on_host_list(ListUpdate::Changes, &[started]));
        }
    }

    /// All routers are replaced by new ones, whose list tells of the start. What they had sent runs on unheard.
    fn restart_routers(&mut self) {
        let start = Start::At(self.started_at.expect("the cache has started"));
        self.routers = routers(&self.plan, self.now, start);
        self.requests.iter_mut().for_each(Vec::clear);
        self.transfers.iter_mut().for_each(Vec::clear);
    }

    /// Plays the plan. Returns the worst window as a fraction of its bound.
    fn run(mut self) -> f64 {
        let steps = (ENDS_AT + AWAY + OBSERVED).div_duration_f64(STEP) as u32;
        let mut due = 0.0;
        for step in 0..steps {
            self.now = EPOCH + STEP * step;
            if self.plan.vanishes && step == 1 {
                self.close_idle_connections();
            }
            if step == ENDS_AT.div_duration_f64(STEP) as u32 {
                self.end_process();
            }
            if step == (ENDS_AT + AWAY).div_duration_f64(STEP) as u32 {
                self.start_process();
            }
            let restarts_at = self.plan.restarts_after.map(|after| ENDS_AT + AWAY + after);
            if restarts_at.is_some_and(|at| step == at.div_duration_f64(STEP) as u32) {
                self.restart_routers();
            }
            self.advance_transfers();
            due += self.plan.requests_per_s() * STEP.as_secs_f64() * 2.0 * self.rng.f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
            if step % STEPS_PER_WAKEUP == 0 {
                let now = self.now;
                (0..self.plan.routers).for_each(|router| {
                    self.round(router, |round| {
                        round.on_list_known(now);
                        round.on_wakeup();
                    });
                });
            }
        }
        self.worst_fraction()
    }

    fn worst_fraction(&self) -> f64 {
        let (mut window, mut sent_s, mut worst) = (VecDeque::new(), 0.0, 0.0f64);
        let started_at = self.started_at.expect("the cache has started");
        for &(at, work_s) in &self.arrivals {
            window.push_back((at, work_s));
            sent_s += work_s;
            while window.front().is_some_and(|(first, _)| *first + OVERLOAD_WINDOW <= at) {
                sent_s -= window.pop_front().map_or(0.0, |(_, work_s)| work_s);
            }
            let requests = sent_s / self.plan.overall_work_s();
            worst = worst.max(requests / self.plan.bound(at - started_at));
        }
        worst
    }
}

/// Asserts that none of the plans brings more to the started cache than the fraction of its bound.
fn assert_within_bound(plans: impl IntoIterator<Item = Plan>) {
    let mut over = Vec::new();
    let (mut count, mut worst_of_all) = (0, 0.0f64);
    for plan in plans {
        let worst = Simulation::new(plan.clone()).run();
        count += 1;
        worst_of_all = worst_of_all.max(worst);
        if worst > MAX_BOUND_FRACTION {
            over.push(format!("{worst:.2} of the bound: {plan:?}"));
        }
    }
    println!("{count} plans, at most {worst_of_all:.2} of the bound");
    assert!(
        over.is_empty(),
        "{} of {count} plans, at most {worst_of_all:.2}:\n{}",
        over.len(),
        over.join("\n")
    );
}

/// Guards against issue 54: the work of a request was estimated lower the more forwards were in flight, so that a host in
/// slow start got more the more was asked.
#[test]
fn a_cold_cache_is_not_overloaded_by_more_demand_than_its_weight_tells() {
    let base = Plan {
        routers: 3,
        weight: 4.0,
        capacity_factor: None,
        demand: 1.0,
        mean_work_s: [0.08, 0.08],
        first_fraction: 0.5,
        work_sigma: 0.0,
        unmodified: 0.0,
        restarts_after: None,
        vanishes: false,
        overload_factor: 2.0,
        initial_fraction: 0.22,
        slow_start: Duration::from_secs(10),
        seed: 1,
    };
    assert_within_bound([1, 3, 12].into_iter().flat_map(|routers| {
        let base = base.clone();
        [1.8, 2.7, 3.6].map(move |demand| Plan { routers, demand, ..base.clone() })
    }));
}

/// Guards against a cache whose machine vanishes and comes back cold: an old connection made its start as old as itself.
#[test]
fn a_cold_cache_that_had_vanished_is_not_overloaded() {
    let drawn = (0..12).map(Plan::draw);
    assert_within_bound(drawn.map(|plan| Plan { vanishes: true, restarts_after: None, ..plan }));
}

/// Seeds that CI plays; more are played with `SLOW_START_SEEDS`.
const SEEDS: u64 = 24;

#[test]
fn a_cold_cache_is_not_overloaded_whatever_is_drawn() {
    let seeds = std::env::var("SLOW_START_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(SEEDS);
    assert_within_bound((0..seeds).map(Plan::draw));
}
