//! Proof of recovery after a mass restart: most dispatchers are killed at once, with warm or emptied caches and an origin
//! with little or much spare capacity. It checks for stampedes, stale answers and repeated effects, and measures the time
//! to full service.

use crate::fleet::judge::{self, Recovery};
use crate::fleet::{self, Defect, Fault, RunResult, Scenario, Script, plot};
use crate::stand;
use clap::ValueEnum;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A lag of the machine's own beyond which a figure is not held against the program.
const TOO_BUSY: Duration = Duration::from_millis(60);
/// The origin's need on a quiet day, in places for work, for each GET a second: measured on the scenario itself.
const NEEDS: f64 = 8.2 / 360.0;
/// What a source may be asked for in half a second over what it bears, at the return and later, where it has half as
/// much to spare as it needs: kept by 1.3 to 1.56, and 2.1 to 2.5 for a fleet that is told a wrong count. The aim is 1.25.
const PEAK: f64 = 1.8;
/// GETs that the small form may lose where caches are warm, of those after the fault: its half seconds are too few and its
/// machine too shared to judge a stretch of ten seconds.
const LOST_SMALL: f64 = 0.03;
/// Full service with warm caches.
const WARM_WITHIN: Duration = Duration::from_secs(3);

/// What is left out, or put in, so that the proof is seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Without {
    /// The change log keeps purges to itself.
    Purges,
    /// Clients ask again what may have run.
    Effects,
    /// Each dispatcher is told that it is the only one.
    Count,
}

/// What goes wrong at the return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Case {
    /// Killed at once and back, all that caches hold still there.
    Warm,
    /// The same with the caches emptied, and the parents.
    Cold,
    /// Killed again in mid-recovery.
    Again,
    /// A tenth in a crash loop.
    Loop,
    /// The change log is down as they return.
    LogDown,
    /// The change log began anew, and purges fell while they were down and in the second of the return.
    Purges,
    /// The origin works three times as long then.
    Slow,
    /// The origin is dead for two seconds then.
    Dead,
    /// A new configuration by SIGHUP in it.
    Hup,
    /// A third frozen for five seconds, with purges meanwhile.
    Frozen,
    /// Five of sixteen caches silent for five seconds and back cold; no dispatcher killed.
    Silent,
    /// Two in three dispatchers' connections to hosts reset in mid-message, a tenth that hears nothing back, slow and lossy
    /// ways.
    Links,
}

#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 12)]
    dispatchers: usize,
    /// GETs a second of all clients.
    #[arg(long, default_value_t = 360.0)]
    rate: f64,
    /// Share of the dispatchers killed, percent.
    #[arg(long, default_value_t = 70)]
    killed: usize,
    /// What the origin has to spare over its need, percent.
    #[arg(long, default_value_t = 50)]
    spare: u32,
    /// One case alone; else all of them, one after another.
    #[arg(long)]
    case: Option<Case>,
    /// The small form: sizes for a shared machine.
    #[arg(long)]
    quick: bool,
    /// Share killed by caches warm or cold by what the origin has to spare.
    #[arg(long)]
    table: bool,
    #[arg(long, default_value_t = 8)]
    before: u64,
    #[arg(long, default_value_t = 20)]
    after: u64,
    /// Leave a defence out, or put a fault in: the run must fail.
    #[arg(long)]
    without: Option<Without>,
    /// Of the script's events only these, by number from 0: to find the least that still fails.
    #[arg(long, value_delimiter = ',')]
    only: Vec<usize>,
    /// A picture of the run goes here.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// The dispatchers' logs go to standard error.
    #[arg(long)]
    verbose: bool,
    /// The half seconds, one by one.
    #[arg(long)]
    steps: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(prove(plan))
}

fn scenario(plan: &Plan, spare: u32) -> Scenario {
    let (dispatchers, rate) = if plan.quick { (8, 240.0) } else { (plan.dispatchers, plan.rate) };
    let (before, after) = if plan.quick { (4, 12) } else { (plan.before, plan.after) };
    let before = Duration::from_secs(before);
    let defect = plan.without.map(|without| match without {
        Without::Purges => Defect::PurgesUnpublished,
        Without::Effects => Defect::EffectsRetried,
        Without::Count => Defect::CountOfOne,
    });
    Scenario {
        dispatchers,
        caches: 16,
        parents: 2,
        rate,
        origin_slots: (NEEDS * rate * f64::from(100 + spare) / 100.0).round().max(1.0) as usize,
        fault_at: before,
        duration: before + Duration::from_secs(after),
        seed: plan.seed,
        defect,
        zones: 1,
        control_services: 0,
        zone_capacity: 0.0,
        cache_slots: fleet::CACHE_SLOTS,
        cache_warm_up: fleet::CACHE_WARM_UP,
    }
}

/// What happens in a case, from the moment of the fault on.
fn script(case: Case, killed: usize, at: Duration) -> Script {
    let ms = Duration::from_millis;
    let back = at + ms(300);
    let kill = (at, Fault::Kill { share: killed, restart_after: ms(300) });
    match case {
        Case::Warm => vec![kill],
        Case::Cold => vec![kill, (back, Fault::EmptyCaches { share: 100, parents: true })],
        Case::Again => vec![kill, (at + ms(1500), Fault::Kill { share: killed, restart_after: ms(300) })],
        Case::Loop => {
            vec![kill, (at, Fault::CrashLoop { share: 10, every: ms(700), duration: ms(4000) })]
        }
        Case::LogDown => vec![(at, Fault::ChangeLogDown { duration: ms(2500) }), kill],
        Case::Purges => vec![
            kill,
            (at + ms(150), Fault::Purge { groups: 16 }),
            (back, Fault::ChangeLogReset),
            (back + ms(400), Fault::Purge { groups: 8 }),
        ],
        Case::Slow => vec![kill, (at, Fault::OriginSlow { factor: 3, duration: ms(3000) })],
        Case::Dead => vec![kill, (back, Fault::OriginDown { duration: ms(2000) })],
        Case::Hup => {
            vec![kill, (back + ms(200), Fault::Reload), (back + ms(600), Fault::Purge { groups: 8 })]
        }
        Case::Frozen => vec![
            (at, Fault::Freeze { share: 33, duration: ms(5000) }),
            (at + ms(1000), Fault::Purge { groups: 32 }),
            (at + ms(3000), Fault::Purge { groups: 32 }),
        ],
        Case::Silent => vec![(at, Fault::SilentCaches { share: 31, duration: ms(5000) })],
        Case::Links => vec![
            kill,
            (back, Fault::ConnectionResets { share: 66, duration: ms(300) }),
            (back + ms(400), Fault::OneWayLinks { share: 10, duration: ms(1500) }),
            (
                back + ms(2000),
                Fault::SlowAndLossyLinks { share: 40, delay: ms(20), loss: 5, duration: ms(1000) },
            ),
        ],
    }
}

/// One run and what is judged of it.
struct Judged {
    told: Value,
    breaks: Vec<String>,
    lag: Duration,
}

async fn one(plan: &Plan, case: Case, killed: usize, spare: u32) -> Result<Judged, String> {
    let scenario = scenario(plan, spare);
    let mut script = script(case, killed, scenario.fault_at);
    if !plan.only.is_empty() {
        let numbered = script.into_iter().enumerate();
        script = numbered.filter(|(n, _)| plan.only.contains(n)).map(|(_, event)| event).collect();
    }
    let result = fleet::run(&scenario, &script).await?;
    let recovery = result.recovery(&scenario);
    let bound = result.bound_losses(&scenario, &script);
    let after =
        &result.origin_load[result.origin_load.len().min((scenario.fault_at.as_millis() / 100) as usize)..];
    let (peak, at_once) = judge::peak(after, scenario.origin_slots as f64);
    let mut breaks = result.violations.clone();
    // The promises on time and load, where a bound of the source's own is not what the case takes away.
    if matches!(case, Case::Warm | Case::Hup) && plan.quick {
        let due = result.requests.iter().filter(|due| due.at >= scenario.fault_at).count() as f64;
        if f64::from(recovery.lost) > due * LOST_SMALL {
            breaks.push(format!("{} of {due} GETs lost with warm caches", recovery.lost));
        }
    } else if matches!(case, Case::Warm | Case::Hup) {
        if recovery.full_after.is_none_or(|full| full > WARM_WITHIN) {
            breaks.push(format!("full service after {:?} with warm caches", recovery.full_after));
        }
        if recovery.relapses > 0 {
            breaks.push(format!("{} falls after full service", recovery.relapses));
        }
    }
    if matches!(case, Case::Warm | Case::Cold | Case::Again | Case::Hup) && spare >= 50 && peak > PEAK {
        breaks.push(format!("the origin was asked for {peak:.2} times what it bears"));
    }
    let told = told(case, killed, spare, &recovery, bound, (peak, at_once), &result);
    if plan.steps {
        print_steps(&result, &scenario);
    }
    if plan.verbose {
        result.logs.iter().for_each(|log| eprintln!("{log}"));
    }
    if let Some(svg) = &plan.svg {
        plot::timeline(svg, &result, &scenario)?;
    }
    Ok(Judged { told, breaks, lag: result.lag })
}

fn told(
    case: Case,
    killed: usize,
    spare: u32,
    recovery: &Recovery,
    bound: u32,
    (peak, at_once): (f64, usize),
    result: &RunResult,
) -> Value {
    let sheds: Vec<_> = result.outcomes.iter().filter_map(|got| got.held).collect();
    let held = sheds.iter().filter(|held| held.contains(&true)).count();
    let tries: u32 = result.outcomes.iter().map(|got| got.tries).sum();
    let spread = result.retry_after_spread();
    let (full, own) = (recovery.full_after, result.logged_full_service_ms());
    json!({"case": format!("{case:?}"), "killed": killed, "spare": spare, "before": recovery.fraction_before,
        "full_after_ms": full.map(|full| full.as_millis() as u64), "lost": recovery.lost, "bound": bound,
        "worst": recovery.worst_fraction, "falls": recovery.relapses, "origin_peak": (peak * 100.0).round() / 100.0,
        "origin_at_once": at_once, "shed": sheds.len(), "shed_though_held": held, "tries": tries,
        "backs_spread_ms": spread.as_millis() as u64, "caches_fell": result.caches_overloaded,
        "effects": result.effects, "own_full_ms": own, "lag_ms": result.lag.as_millis() as u64})
}

fn print_steps(result: &RunResult, scenario: &Scenario) {
    for (n, bin) in result.bins(scenario).iter().enumerate() {
        let steps = &result.origin_load
            [(n * 5).min(result.origin_load.len())..((n + 1) * 5).min(result.origin_load.len())];
        let work: f64 = steps.iter().map(|s| s.work).sum();
        let (most, again) =
            (steps.iter().map(|s| s.at_once).max(), steps.iter().map(|s| s.again).sum::<u32>());
        println!(
            "{:>5.1} s  due {:>4} in time {:>3.0}% late {:>3} shed {:>3} errored {:>3}  origin asked {:>4.0}%, {} at once, {again} again",
            n as f64 * 0.5,
            bin.due,
            bin.in_time_fraction() * 100.0,
            bin.late,
            bin.shed,
            bin.errored,
            work / (scenario.origin_slots as f64 * 0.5) * 100.0,
            most.unwrap_or(0),
        );
    }
}

async fn prove(plan: &Plan) -> Result<ExitCode, String> {
    let mut runs = Vec::new();
    if plan.table {
        for case in [Case::Warm, Case::Cold] {
            for killed in [30, 70, 100] {
                runs.extend([10, 50, 100].map(|spare| (case, killed, spare)));
            }
        }
    } else {
        let all = plan.case.map_or_else(|| Case::value_variants().to_vec(), |case| vec![case]);
        runs.extend(all.into_iter().map(|case| (case, plan.killed, plan.spare)));
    }
    println!("case     killed spare   full after   lost  bound  worst  falls  origin peak  at once");
    let (mut tolds, mut broken, mut lag) = (Vec::new(), 0, Duration::ZERO);
    for (case, killed, spare) in runs {
        let judged = one(plan, case, killed, spare).await?;
        let t = &judged.told;
        let full = t["full_after_ms"].as_u64().map_or("not".to_owned(), |ms| format!("{ms} ms"));
        println!(
            "{:<8} {killed:>5}% {spare:>4}% {full:>12} {:>6} {:>6} {:>5.0}% {:>6} {:>12.2} {:>8}",
            format!("{case:?}"),
            t["lost"],
            t["bound"],
            t["worst"].as_f64().unwrap_or(0.0) * 100.0,
            t["falls"],
            t["origin_peak"].as_f64().unwrap_or(0.0),
            t["origin_at_once"],
        );
        for what in judged.breaks.iter().take(10) {
            println!("BROKEN {what}");
        }
        if !judged.breaks.is_empty() {
            let seed = plan.seed;
            println!(
                "replay: cargo run --release -p myrtlegauge-lab -- return --case {} --seed {seed} --killed {killed} --spare {spare}",
                case.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned())
            );
        }
        broken += judged.breaks.len();
        lag = lag.max(judged.lag);
        tolds.push(judged.told);
    }
    let judged = broken == 0 || lag < TOO_BUSY || plan.without.is_some();
    if !judged {
        println!("not judged: the machine was too busy");
    }
    let summary = json!({"proof": "return", "seed": plan.seed, "held": broken == 0, "judged": judged,
        "broken": broken, "dispatchers": scenario(plan, plan.spare).dispatchers, "runs": tolds,
        "lag_ms": lag.as_millis() as u64});
    println!("{summary}");
    Ok(stand::verdict(broken == 0, judged))
}
