//! Proof of the platform's rules under faults: real dispatcher processes before stand-in caches, of which one starts cold, with
//! stepped clocks, kills, pauses, a silent change log, stalled and broken links, and system calls that fail.
//!
//! Checked: what a cache in slow start gets from all dispatchers together, copies from before a purge, effects that run
//! twice, requests that are lost, and invariants that the dispatchers themselves count as violated.

pub mod cases;
pub mod fleet;
pub mod guards;
mod load;
mod news;
mod schedule;
mod slow_start;
mod soak;

use crate::stand;
use cases::Case;
use clap::ValueEnum;
use fleet::{CacheModel, Fleet, Scale, SlowStartTerms};
use load::Tally;
use schedule::Event;
use serde_json::json;
use slow_start::Worst;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// A lag of the machine's own beyond which a break is not held against the program.
const TOO_BUSY: Duration = Duration::from_millis(120);
/// Caches of the fleet.
const CACHES: usize = 4;
/// Dispatchers of a named case, unless told, and of its small form.
const DISPATCHERS: usize = 12;
const DISPATCHERS_QUICK: usize = 8;
/// What a cache that is warm again gets, beside the mean of the others, at least.
const WARM_SHARE: f64 = 0.7;
/// A cache is looked at for that so long after it has to be warm to all, over so long a time. It has to be once the time of
/// the settings is over since the last fault ended: a dispatcher that starts counts from its own start, where nothing tells it
/// more.
const WARM_AFTER: Duration = Duration::from_millis(1500);
const WARM_OVER: Duration = Duration::from_millis(2000);

/// Lines of the dispatchers' logs that a failed run prints.
const MAX_LOG_LINES: usize = 60;
/// How long a drawn schedule's run goes on after its last fault has begun: the longest of them is over by then.
const HEALED_FOR: Duration = Duration::from_millis(8000);

/// How long a run goes on after trouble with the change log is over.
const OBEYED_FOR: Duration = Duration::from_millis(4000);

/// Until when a run goes on after its last fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    /// Until what started cold is warm again, which is looked at.
    Warm,
    /// Until the faults are over.
    Healed,
    /// Until what was told late has been obeyed.
    Obeyed,
}

#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Dispatchers; 12 unless told, 8 in the small form.
    #[arg(long)]
    dispatchers: Option<usize>,
    /// Requests a second of all clients.
    #[arg(long, default_value_t = 360.0)]
    rate: f64,
    /// Weight of each cache in the list.
    #[arg(long, default_value_t = 8.0)]
    weight: f64,
    /// Multiple of its capacity under which a cold cache falls.
    #[arg(long, default_value_t = 0.75)]
    fall_multiple: f64,
    /// Transfers that really fit a cache's link, as a multiple of its weight; else a request takes as long beside any others.
    #[arg(long)]
    capacity_factor: Option<f64>,
    /// Standard deviation of the logarithm of a request's work.
    #[arg(long, default_value_t = 0.0)]
    work_sigma: f64,
    /// Fraction of the bound of a cold cache over which a run fails.
    #[arg(long, default_value_t = 1.0)]
    within: f64,
    /// One case alone; else all of them, one after another.
    #[arg(long)]
    case: Option<Case>,
    /// Schedules drawn from so many seeds, from `--seed` on, in place of the named cases; demand, caches and fall multiple
    /// are drawn, too.
    #[arg(long)]
    soak: Option<u64>,
    /// The same, with trouble of the change log alone, before one dispatcher.
    #[arg(long)]
    news: Option<u64>,
    /// A drawn schedule that fails is cut down to the least that still does.
    #[arg(long)]
    reduce: bool,
    /// Of the schedule's events only these, by number from 0: to find the least that still fails.
    #[arg(long, value_delimiter = ',')]
    only: Vec<usize>,
    /// A guard that the dispatchers lack: the run must fail.
    #[arg(long)]
    without: Option<guards::Without>,
    /// The small form: sizes for a shared machine.
    #[arg(long)]
    quick: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(prove(plan))
}

/// Whether all runs so far held, and whether the machine was idle enough to judge those that did not.
struct Verdict {
    held: bool,
    judged: bool,
}

impl Default for Verdict {
    fn default() -> Self {
        Self { held: true, judged: true }
    }
}

impl Verdict {
    /// Counts a run. If it did not hold, prints the command that plays it again, with these arguments.
    fn add(&mut self, found: &Found, arguments: &str) {
        if !found.holds() {
            println!("replay: {}", replay(arguments));
        }
        self.held &= found.holds();
        self.judged &= found.holds() || found.lag < TOO_BUSY;
    }

    fn exit_code(&self) -> ExitCode {
        stand::verdict(self.held, self.judged)
    }
}

async fn prove(plan: &Plan) -> Result<ExitCode, String> {
    if let Some(seeds) = plan.soak {
        return prove_drawn(plan, plan.seed..plan.seed + seeds).await;
    }
    if let Some(seeds) = plan.news {
        return prove_news(plan, plan.seed..plan.seed + seeds).await;
    }
    let cases = plan.case.map_or_else(|| Case::value_variants().to_vec(), |case| vec![case]);
    let mut verdict = Verdict::default();
    for case in cases {
        let scale = plan.scale();
        let events = cases::events(case, scale.dispatchers);
        let events = select(events, &plan.only);
        let name = case.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned());
        let found = play(scale, plan.demand(), &events, After::Warm).await?;
        found.print(&name, plan.seed, &events);
        verdict.add(&found, &format!("--seed {} --case {name}", plan.seed));
    }
    Ok(verdict.exit_code())
}

/// Plays the schedules of some seeds, one after another.
async fn prove_drawn(plan: &Plan, seeds: std::ops::Range<u64>) -> Result<ExitCode, String> {
    let mut verdict = Verdict::default();
    for seed in seeds {
        let (drawn, requests_per_second) = soak::scale(seed, plan.quick, plan.terms());
        let scale = Scale { without: plan.without, ..drawn };
        let demand = Demand { requests_per_second, ..plan.demand() };
        let events = select(soak::draw(&scale), &plan.only);
        let found = play(scale, demand, &events, After::Healed).await?;
        found.print("soak", seed, &events);
        verdict.add(&found, &format!("--seed {seed} --soak 1"));
        if !found.holds() && plan.reduce {
            reduce(scale, demand, events).await?;
        }
    }
    Ok(verdict.exit_code())
}

/// Plays the schedules of trouble with the change log of some seeds, one after another.
async fn prove_news(plan: &Plan, seeds: std::ops::Range<u64>) -> Result<ExitCode, String> {
    let mut verdict = Verdict::default();
    for seed in seeds {
        // The ledger counts a drain as told to all once it is told to one.
        let scale = Scale { dispatchers: 1, seed, ..plan.scale() };
        let events = select(news::draw(seed, plan.quick), &plan.only);
        let found = play(scale, plan.demand(), &events, After::Obeyed).await?;
        found.print("news", seed, &events);
        verdict.add(&found, &format!("--seed {seed} --news 1"));
    }
    Ok(verdict.exit_code())
}

/// The command that plays one run of this program's again: its arguments, with the seed and the schedule of that run.
fn replay(run: &str) -> String {
    let replaced = ["--seed", "--case", "--soak", "--news"];
    let mut kept = Vec::new();
    let mut arguments = std::env::args().skip(2);
    while let Some(argument) = arguments.next() {
        if replaced.contains(&argument.as_str()) {
            arguments.next();
        } else {
            kept.push(argument);
        }
    }
    format!("cargo run --release -p myrtlegauge-lab -- faults {run} {}", kept.join(" "))
}

/// Leaves out one event after another as long as the schedule still fails, and prints what remains.
async fn reduce(scale: Scale, demand: Demand, mut events: Vec<Event>) -> Result<(), String> {
    'smaller: loop {
        for fewer in soak::smaller(&events) {
            if !play(scale, demand, &fewer, After::Healed).await?.holds() {
                events = fewer;
                continue 'smaller;
            }
        }
        break;
    }
    println!("the least schedule that fails:");
    for Event { at, fault } in &events {
        println!("  {at:?} {fault:?}");
    }
    Ok(())
}

impl Plan {
    /// A slow start that is long beside the faults, so that each meets a cold cache.
    fn terms(&self) -> SlowStartTerms {
        SlowStartTerms {
            start_capacity: 0.22,
            warm_within: Duration::from_secs(10),
            fall_multiple: self.fall_multiple,
            fall_within: Duration::from_secs(1),
        }
    }

    fn cache_model(&self) -> CacheModel {
        let (weight, work_sigma) = (self.weight, self.work_sigma);
        CacheModel { weight, capacity_factor: self.capacity_factor, work_sigma }
    }

    fn scale(&self) -> Scale {
        let usual = if self.quick { DISPATCHERS_QUICK } else { DISPATCHERS };
        Scale {
            dispatchers: self.dispatchers.unwrap_or(usual),
            caches: CACHES,
            cache_model: self.cache_model(),
            terms: self.terms(),
            seed: self.seed,
            without: self.without,
        }
    }

    fn demand(&self) -> Demand {
        Demand { requests_per_second: self.rate, within: self.within }
    }
}

/// What is asked of a fleet, and what must hold under it.
#[derive(Clone, Copy, Debug)]
struct Demand {
    requests_per_second: f64,
    /// Fraction of the bound of a cold cache that the fleet may send to it.
    within: f64,
}

/// The events with these numbers; all where none are named.
fn select(events: Vec<Event>, only: &[usize]) -> Vec<Event> {
    let kept = events.into_iter().enumerate().filter(|(number, _)| only.is_empty() || only.contains(number));
    kept.map(|(_, event)| event).collect()
}

/// What a run came to.
struct Found {
    worst: Worst,
    /// What the caches that started cold got when they had to be warm again, beside the mean of the others, at least.
    warm_share: f64,
    breaks: Vec<String>,
    ends: std::collections::BTreeMap<&'static str, u64>,
    /// System calls of the dispatchers that were made to fail.
    failed_calls: u64,
    lag: Duration,
    /// What the dispatchers logged on hosts in slow start.
    slow_starts: Vec<String>,
}

impl Found {
    fn holds(&self) -> bool {
        self.breaks.is_empty()
    }

    fn print(&self, name: &str, seed: u64, events: &[Event]) {
        let Worst { ratio, arrivals, bound, age } = self.worst;
        println!(
            "{name:<20} slow start {ratio:.2} of its bound ({arrivals} of {bound:.0} at {age:.1?}), warm again {:.2} of the \
             others, {:?}, lag {:?}",
            self.warm_share, self.ends, self.lag
        );
        for what in &self.breaks {
            println!("BROKEN {what}");
        }
        if !self.holds() {
            for (number, event) in events.iter().enumerate() {
                println!("  event {number}: {:?} {:?}", event.at, event.fault);
            }
            for line in self.slow_starts.iter().take(MAX_LOG_LINES) {
                println!("  {line}");
            }
        }
        let summary = json!({"proof": "faults", "case": name, "seed": seed, "held": self.holds(), "slow_start": ratio,
            "warm_share": self.warm_share, "broken": self.breaks.len(), "ends": self.ends, "failed_calls": self.failed_calls,
            "lag_ms": self.lag.as_secs_f64() * 1e3});
        println!("{summary}");
    }
}

/// Plays a schedule on a fleet under load.
async fn play(scale: Scale, demand: Demand, events: &[Event], after: After) -> Result<Found, String> {
    let lag = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(stand::watch(Arc::clone(&lag)));
    let fleet = Fleet::start(scale).await?;
    let tally = Arc::new(Tally::default());
    let last = events.iter().map(|event| event.at).max().unwrap_or_default();
    let runs_on = match after {
        After::Warm => scale.terms.warm_within + WARM_AFTER + WARM_OVER,
        After::Healed | After::Obeyed => HEALED_FOR,
    };
    let (least, until) = (Instant::now() + last + runs_on, Arc::new(OnceLock::new()));
    lag.store(0, Ordering::Relaxed);
    let playing = {
        let (fleet, events, until) = (Arc::clone(&fleet), events.to_vec(), Arc::clone(&until));
        tokio::spawn(async move {
            let played = schedule::play(&fleet, &events).await;
            let at = match after {
                // A dispatcher that has just started can't tell how long a cache has been up.
                After::Warm => Instant::now() + runs_on,
                After::Obeyed => Instant::now() + OBEYED_FOR,
                After::Healed => least,
            };
            until.set(at.max(least)).map_err(|_| "the end of a run is set twice")?;
            played
        })
    };
    load::run(&fleet, demand.requests_per_second, &until, &tally).await;
    playing.await.map_err(|e| e.to_string())??;
    watch.abort();
    let worst = slow_start::judge(&fleet);
    let (_, mut breaks) = fleet.ledger.breaks();
    for (start, worst) in worst.iter().filter(|(_, worst)| worst.ratio > demand.within) {
        let Worst { arrivals, bound, age, .. } = worst;
        let cache = start.cache;
        breaks.push(format!(
            "cache {cache} in slow start got {arrivals} requests within a window that bears {bound:.0}, {age:.1?} after its start"
        ));
    }
    let until = *until.get().ok_or("the end of a run is not set")?;
    let warm_share = warm_share(&fleet, until);
    if after == After::Warm && warm_share < WARM_SHARE {
        breaks.push(format!("a cache that has to be warm again gets {warm_share:.2} of what the others get"));
    }
    breaks.extend(fleet.violations_logged().await);
    let worst = worst.into_iter().map(|(_, worst)| worst).max_by(|a, b| a.ratio.total_cmp(&b.ratio));
    Ok(Found {
        worst: worst.unwrap_or_default(),
        warm_share,
        breaks,
        ends: tally.ends(),
        failed_calls: fleet.failed_calls()?,
        lag: Duration::from_micros(lag.load(Ordering::Relaxed)),
        slow_starts: fleet.slow_starts_logged().await,
    })
}

/// What the caches that started cold got at the end, beside the mean of the others, at least; 1 where none started.
fn warm_share(fleet: &Fleet, until: Instant) -> f64 {
    let started: Vec<usize> =
        fleet.cold_starts.lock().expect("no holder panics").iter().map(|start| start.cache).collect();
    let got = |cache: usize| {
        let came = fleet.hosts[cache].came();
        came.iter().filter(|(at, _)| *at + WARM_OVER >= until && *at < until).count() as f64
    };
    let others: Vec<f64> =
        (0..fleet.scale.caches).filter(|cache| !started.contains(cache)).map(got).collect();
    let mean = others.iter().sum::<f64>() / others.len().max(1) as f64;
    started.iter().map(|&cache| got(cache) / mean.max(1.0)).fold(1.0, f64::min)
}
