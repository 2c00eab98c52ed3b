//! A crowd of clients in virtual time: the library's own core, and beside it a plain client that tries again at once, on
//! the same schedule against the same dispatcher. The dispatcher has a pace and sheds what would wait too long; it
//! can be down. No sockets: sizes that they don't reach, the same figures each time.

use myrtlegauge_client::decide::{
    ActionSink, AttemptId, CallId, CallOutcome, ConnectionId, Core, DispatcherAnswer,
};
use myrtlegauge_client::{Dispatcher, Effect, Reached, Resend, Service};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Way to the dispatcher and back, each.
const WAY: Duration = Duration::from_millis(1);
/// What would wait longer in the dispatcher is shed at once.
const QUEUE_MOST: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_millis(1500);
/// Tries of the plain client.
const PLAIN_TRIES: u32 = 3;
/// Steps of the figures over time.
const STEP: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    /// A caller asks.
    Asks(usize),
    /// A connection comes up, or is refused.
    Arrives(usize, ConnectionId),
    /// A request is there.
    Comes(usize, ConnectionId, u16),
    /// An answer is there: returned, or shed with a pause in milliseconds.
    Answers(usize, ConnectionId, u16, Option<u32>),
    /// Something of the client's own is due.
    Due(usize),
    /// The plain client's budget for a call is over.
    Over(usize, u64),
    Down,
    Up,
}

/// What is to happen, in order of time, then as it was put there.
#[derive(Default)]
struct Ahead {
    heap: BinaryHeap<Reverse<(Duration, u64, Happens)>>,
    count: u64,
}

impl Ahead {
    fn put(&mut self, at: Duration, what: Happens) {
        self.count += 1;
        self.heap.push(Reverse((at, self.count, what)));
    }
}

/// Schedules the actions of one client's core in the simulation.
struct ScheduledActions<'a> {
    ahead: &'a mut Ahead,
    now: Duration,
    client: usize,
    done: Vec<CallOutcome>,
    resends: u64,
    connects: Vec<Duration>,
}

impl ActionSink for ScheduledActions<'_> {
    fn connect(&mut self, link: ConnectionId, _: usize) {
        self.connects.push(self.now);
        self.ahead.put(self.now + WAY * 2, Happens::Arrives(self.client, link));
    }
    fn send(&mut self, link: ConnectionId, number: u16, _: CallId, _: AttemptId, _: Duration) {
        self.ahead.put(self.now + WAY, Happens::Comes(self.client, link, number));
    }
    fn abort(&mut self, _: ConnectionId, _: u16) -> Reached {
        Reached::Whole
    }
    fn free_number(&self, _: ConnectionId, from: u16) -> Option<u16> {
        Some(from)
    }
    fn close(&mut self, _: ConnectionId) {}
    fn finish(&mut self, _: CallId, end: CallOutcome) {
        self.done.push(end);
    }
    fn record_resend(&mut self, _: &Resend) {
        self.resends += 1;
    }
}

/// A caller's GET at the plain client.
#[derive(Clone, Copy)]
struct PlainCall {
    tries: u32,
    until: Duration,
}

enum Kind {
    Library(Box<Core>, Vec<ConnectionId>),
    Plain(BTreeMap<u64, PlainCall>),
}

/// The figures of a run.
pub struct Figures {
    pub firsts: Vec<u64>,
    pub load: Vec<u64>,
    pub returned: Vec<u64>,
    pub shed: u64,
    pub connects: Vec<u64>,
}

#[derive(Clone, Copy)]
pub struct Plan {
    pub clients: usize,
    /// Asked by all clients together, a second, and times as much while it is overloaded.
    pub rate: f64,
    pub overload: f64,
    pub overload_span: (Duration, Duration),
    pub down_span: (Duration, Duration),
    /// What the dispatcher does a second.
    pub pace: f64,
    pub long: Duration,
    pub library: bool,
    pub seed: u64,
}

/// Plays a plan.
pub fn play(plan: &Plan) -> Figures {
    let steps = plan.long.div_duration_f64(STEP) as usize + 1;
    let mut figures = Figures {
        firsts: vec![0; steps],
        load: vec![0; steps],
        returned: vec![0; steps],
        shed: 0,
        connects: vec![0; steps],
    };
    let mut chance = fastrand::Rng::with_seed(plan.seed);
    let service = || vec![Service { name: "video".into(), effect: Effect::Idempotent }];
    let place = || {
        vec![Dispatcher {
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            group: 0,
            sharers: plan.clients as u32,
        }]
    };
    let mut clients: Vec<Kind> = (0..plan.clients)
        .map(|n| match plan.library {
            true => Kind::Library(
                Box::new(Core::new(service(), place(), plan.seed ^ (n as u64 + 1) << 8)),
                Vec::new(),
            ),
            false => Kind::Plain(BTreeMap::new()),
        })
        .collect();
    let mut ahead = Ahead::default();
    for client in 0..plan.clients {
        ahead.put(
            Duration::from_secs_f64(chance.f64() * plan.clients as f64 / plan.rate),
            Happens::Asks(client),
        );
    }
    if plan.down_span.1 > plan.down_span.0 {
        ahead.put(plan.down_span.0, Happens::Down);
        ahead.put(plan.down_span.1, Happens::Up);
    }
    let (mut down, mut busy_until, mut calls) = (false, Duration::ZERO, 0u64);
    let step = |at: Duration| (at.div_duration_f64(STEP) as usize).min(steps - 1);
    while let Some(Reverse((now, _, what))) = ahead.heap.pop() {
        if now > plan.long {
            break;
        }
        match what {
            Happens::Down => {
                down = true;
                for client in 0..clients.len() {
                    lose_all(&mut clients, client, &mut ahead, now, &mut figures, step(now));
                }
            }
            Happens::Up => down = false,
            Happens::Asks(client) => {
                let over = now >= plan.overload_span.0 && now < plan.overload_span.1;
                let rate = plan.rate * if over { plan.overload } else { 1.0 };
                let next = (0.5 + chance.f64()) * plan.clients as f64 / rate;
                ahead.put(now + Duration::from_secs_f64(next), Happens::Asks(client));
                figures.firsts[step(now)] += 1;
                match &mut clients[client] {
                    Kind::Plain(open) => {
                        calls += 1;
                        open.insert(calls, PlainCall { tries: 1, until: now + BUDGET });
                        ahead.put(now + BUDGET, Happens::Over(client, calls));
                        plain_send(&mut ahead, client, calls, down, now);
                    }
                    Kind::Library(..) => {
                        library(&mut clients, client, &mut ahead, now, &mut figures, step(now), |round| {
                            round.on_call(0, BUDGET);
                        })
                    }
                }
            }
            Happens::Arrives(client, link) => {
                if let Kind::Library(_, links) = &mut clients[client]
                    && !down
                {
                    links.push(link);
                }
                library(&mut clients, client, &mut ahead, now, &mut figures, step(now), |round| match down {
                    true => {
                        round.on_connection_lost(link, myrtlegauge_client::End::Lost, |_| Reached::NotWhole)
                    }
                    false => round.on_connected(link),
                });
            }
            Happens::Comes(client, link, number) => {
                if down {
                    // The plain client is refused the connection, and tries again at once.
                    if let Kind::Plain(_) = clients[client] {
                        ahead.put(now + WAY, Happens::Answers(client, link, number, Some(0)));
                    }
                    continue;
                }
                figures.load[step(now)] += 1;
                busy_until = busy_until.max(now);
                if busy_until > now + QUEUE_MOST {
                    let pause = 250 + chance.u32(0..500);
                    ahead.put(now + WAY, Happens::Answers(client, link, number, Some(pause)));
                } else {
                    busy_until += Duration::from_secs_f64(1.0 / plan.pace);
                    ahead.put(busy_until + WAY, Happens::Answers(client, link, number, None));
                }
            }
            Happens::Answers(client, link, number, shed) => match &mut clients[client] {
                Kind::Plain(open) => {
                    // Its calls go by their own numbers here.
                    let call = (link as u64) << 16 | u64::from(number);
                    let Some(known) = open.get_mut(&call) else { continue };
                    match shed {
                        None => {
                            figures.returned[step(now)] += 1;
                            open.remove(&call);
                        }
                        Some(_) if known.tries < PLAIN_TRIES && now < known.until => {
                            known.tries += 1;
                            plain_send(&mut ahead, client, call, down, now);
                        }
                        Some(_) => {
                            figures.shed += 1;
                            open.remove(&call);
                        }
                    }
                }
                Kind::Library(..) => {
                    let answer = shed.map_or(DispatcherAnswer::Returned, |pause| {
                        DispatcherAnswer::Shed(Some(pause.into()))
                    });
                    library(&mut clients, client, &mut ahead, now, &mut figures, step(now), |round| {
                        round.on_answer(link, number, answer);
                    });
                }
            },
            Happens::Over(client, call) => {
                if let Kind::Plain(open) = &mut clients[client] {
                    figures.shed += u64::from(open.remove(&call).is_some());
                }
            }
            Happens::Due(client) => {
                library(&mut clients, client, &mut ahead, now, &mut figures, step(now), |_| ());
            }
        }
    }
    figures
}

fn plain_send(ahead: &mut Ahead, client: usize, call: u64, _: bool, now: Duration) {
    ahead.put(now + WAY, Happens::Comes(client, (call >> 16) as ConnectionId, call as u16));
}

fn library(
    clients: &mut [Kind],
    client: usize,
    ahead: &mut Ahead,
    now: Duration,
    figures: &mut Figures,
    step: usize,
    said: impl FnOnce(&mut myrtlegauge_client::decide::Round<'_, ScheduledActions<'_>>),
) {
    let Kind::Library(core, _) = &mut clients[client] else { return };
    let mut wants =
        ScheduledActions { ahead, now, client, done: Vec::new(), resends: 0, connects: Vec::new() };
    core.round(now, &mut wants, said);
    for end in &wants.done {
        match end {
            CallOutcome::Returned => figures.returned[step] += 1,
            _ => figures.shed += 1,
        }
    }
    figures.connects[step] += wants.connects.len() as u64;
    if let Some(due) = core.next_deadline() {
        let due = due.max(now + Duration::from_micros(100));
        wants.ahead.put(due, Happens::Due(client));
    }
}

fn lose_all(
    clients: &mut [Kind],
    client: usize,
    ahead: &mut Ahead,
    now: Duration,
    figures: &mut Figures,
    step: usize,
) {
    let Kind::Library(_, links) = &mut clients[client] else { return };
    for link in std::mem::take(links) {
        library(clients, client, ahead, now, figures, step, |round| {
            round.on_connection_lost(link, myrtlegauge_client::End::Lost, |_| Reached::Whole);
        });
    }
}

fn sum(of: &[u64], from: Duration, to: Duration) -> u64 {
    let at = |at: Duration| (at.div_duration_f64(STEP) as usize).min(of.len());
    of[at(from)..at(to)].iter().sum()
}

/// How long after `cause` until half a second passes in which what is asked is returned again.
fn back_after(figures: &Figures, cause: Duration, long: Duration) -> Option<Duration> {
    let half = ms(500);
    let mut at = cause;
    while at + half <= long {
        let asked = sum(&figures.firsts, at, at + half) as f64;
        if sum(&figures.returned, at, at + half) as f64 >= asked * 0.95 {
            return Some(at - cause);
        }
        at += STEP;
    }
    None
}

/// Records connections and requests, and carries out no action.
#[derive(Default)]
struct RecordedActions {
    sent: Vec<(ConnectionId, u16)>,
    links: Vec<ConnectionId>,
}

impl ActionSink for RecordedActions {
    fn connect(&mut self, link: ConnectionId, _: usize) {
        self.links.push(link);
    }
    fn send(&mut self, link: ConnectionId, number: u16, _: CallId, _: AttemptId, _: Duration) {
        self.sent.push((link, number));
    }
    fn abort(&mut self, _: ConnectionId, _: u16) -> Reached {
        Reached::Whole
    }
    fn free_number(&self, _: ConnectionId, from: u16) -> Option<u16> {
        Some(from)
    }
    fn close(&mut self, _: ConnectionId) {}
    fn finish(&mut self, _: CallId, _: CallOutcome) {}
    fn record_resend(&mut self, _: &Resend) {}
}

/// What a call costs in the core, and what an idle client with one connection that is not up weighs.
fn cost() -> Value {
    const CALLS: u32 = 1_000_000;
    let service = vec![Service { name: "video".into(), effect: Effect::Idempotent }];
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let places = vec![Dispatcher { address, group: 0, sharers: 1 }; 2];
    let (mut core, mut out) = (Core::new(service.clone(), places.clone(), 1), RecordedActions::default());
    let began = std::time::Instant::now();
    let mut now = Duration::ZERO;
    for _ in 0..CALLS {
        now += Duration::from_micros(100);
        core.round(now, &mut out, |round| round.on_call(0, BUDGET));
        for link in std::mem::take(&mut out.links) {
            core.round(now, &mut out, |round| round.on_connected(link));
        }
        for (link, number) in std::mem::take(&mut out.sent) {
            core.round(now, &mut out, |round| round.on_answer(link, number, DispatcherAnswer::Returned));
        }
    }
    let each = began.elapsed().as_nanos() as u64 / u64::from(CALLS);
    let before = crate::stand::process::used(std::process::id()).memory_kb;
    let clients: Vec<_> = (0..500)
        .filter_map(|seed| myrtlegauge_client::Client::new(service.clone(), places.clone(), seed).ok())
        .collect();
    let after = crate::stand::process::used(std::process::id()).memory_kb;
    let weighs = (after - before) as f64 / clients.len().max(1) as f64;
    println!("a call in the core {each} ns; an idle client {weighs:.1} KB");
    json!({"call_ns": each, "idle_client_kb": weighs})
}

/// The measurement: an overload of 1.5 times, a 3 s outage, and a crowd that returns after a restart.
pub fn measure(seed: u64) -> Value {
    let mut told = Vec::new();
    for library in [false, true] {
        let name = if library { "library" } else { "plain client" };
        let (long, span) = (ms(20_000), (ms(5000), ms(10_000)));
        let none = (ms(0), ms(0));
        let base = Plan {
            clients: 400,
            rate: 900.0,
            overload: 1.0,
            overload_span: none,
            down_span: none,
            pace: 1000.0,
            long,
            library,
            seed,
        };
        let overload = play(&Plan { overload: 1.5 / 0.9, overload_span: span, ..base });
        let outage =
            play(&Plan { down_span: (ms(5000), ms(8000)), overload: 1.0, overload_span: none, ..base });
        for (what, figures, from, cause) in
            [("overload 1.5", &overload, ms(5000), ms(10_000)), ("3 s outage", &outage, ms(8000), ms(8000))]
        {
            let until = cause + ms(3000);
            let firsts = sum(&figures.firsts, from, until) as f64;
            let multiple = sum(&figures.load, from, until) as f64 / firsts;
            let returned = sum(&figures.returned, from, until) as f64 / firsts;
            let back = back_after(figures, cause, long);
            let shown = back.map_or("never".to_owned(), |back| format!("{} ms", back.as_millis()));
            println!(
                "{name:<13} {what:<13} load {multiple:>5.2} times first tries, returned {:>5.1} %, back after {shown}",
                returned * 100.0
            );
            told.push(json!({"client": name, "trouble": what, "load": multiple, "returned": returned,
                "back_ms": back.map(|back| back.as_millis() as u64)}));
        }
    }
    // Five thousand clients that each hold a connection lose it in one instant.
    let crowd = Plan {
        clients: 5000,
        rate: 20_000.0,
        overload: 1.0,
        overload_span: (ms(0), ms(0)),
        down_span: (ms(3000), ms(3001)),
        pace: 1e6,
        long: ms(9000),
        library: true,
        seed,
    };
    let figures = play(&crowd);
    let from = (ms(3000).div_duration_f64(STEP)) as usize;
    let came = &figures.connects[from..];
    let last = came.iter().rposition(|n| *n > 0).unwrap_or(0);
    let came = &came[..=last];
    let (all, worst) = (came.iter().sum::<u64>(), came.iter().copied().max().unwrap_or(0));
    let mean = all as f64 / came.len() as f64;
    println!("5000 clients back over {} ms; the worst 100 ms {worst}, the mean {mean:.0}", came.len() * 100);
    for (at, n) in came.iter().enumerate() {
        println!(
            "  {:>5} ms {n:>5} {}",
            at * 100,
            "#".repeat((*n as usize * 60).div_ceil(worst.max(1) as usize))
        );
    }
    let cost = cost();
    json!({"cost": cost, "runs": told, "crowd": {"clients": 5000, "returns": all, "over_ms": came.len() * 100,
        "worst_100ms": worst, "mean_100ms": mean, "worst_over_mean": worst as f64 / mean}})
}
