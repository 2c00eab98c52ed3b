//! The proof of leaving a zone as a fleet: a zone dead, silent, slow, lossy or cut off from some; control services killed, cut off
//! or standing in the zone that fails; voters that lie. All leave together, nothing new goes there, and they come back in
//! steps that its cold caches bear. Beside it the same faults with each dispatcher alone, and an informed bound.

use crate::fleet::zones::{HOLD, ObservedVerdict};
use crate::fleet::{self, Defect, Fault, RunResult, Scenario, Script, judge};
use crate::stand;
use clap::ValueEnum;
use myrtlegauge_zones::Stage;
use serde_json::{Value, json};
use std::process::ExitCode;
use std::time::Duration;

/// A lag of the machine's own beyond which a time is not held against the program.
const TOO_BUSY: Duration = Duration::from_millis(60);
/// From the failure until the verdict: three reports, and what their tick and a busy machine add.
const LEFT_WITHIN: Duration = Duration::from_millis(1500);
/// After a verdict nothing new comes: what was on its way, and a machine that is late.
const GRACE: Duration = Duration::from_millis(250);
/// Times that a flapping zone may be left in a run.
const LEFT_MOST: usize = 3;
/// Of the bound's service, from two seconds after the failure on, in the full form.
const SERVICE: f64 = 0.95;
const SETTLED: Duration = Duration::from_secs(2);
/// GETs over what a zone bears that its caches may be sent while what remains is short.
const OVER: f64 = 1.15;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Without {
    /// One liar is many voters.
    Quorum,
    /// What was told holds for ten seconds.
    Lease,
    /// All keys go back at once.
    #[value(name = "pace")]
    Ramp,
    /// What zones bear is not told.
    Capacity,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Case {
    /// Its caches are dead for three seconds, and back cold.
    Dead,
    /// They say nothing, to all, and are back cold.
    Silent,
    /// Five times as slow for five seconds.
    Slow,
    /// Half of their answers are lost.
    Lossy,
    /// A third of the dispatchers are cut off from it.
    Third,
    /// Half of them are.
    Half,
    /// All of them are, and what it holds stays warm.
    All,
    /// One of two control services stands in the zone that fails.
    ServiceInIt,
    /// All control services are gone at the failure, and back with nothing.
    ServicesGone,
    /// The only control service is killed in the middle of the return.
    ServiceAnew,
    /// A third of the dispatchers are cut off from the services in a return, and an operator takes it back meanwhile.
    CutOff,
    /// Dead for a second, well for a second, and so on.
    Flap,
    /// Two zones at once.
    Two,
    /// A second zone is lost while the first returns.
    WhileReturning,
    /// Half as many liars as dispatchers say that a zone is dead: a third of the voters.
    Liars,
    /// Purges go out while it is left and while it returns.
    Purges,
    /// What remains bears 80% of the traffic.
    Short,
    /// A third of the dispatchers are frozen at the failure, and woken after the verdict.
    Frozen,
    /// Most dispatchers are killed in the middle of the return.
    Killed,
}

#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 12)]
    dispatchers: usize,
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// GETs a second of all clients.
    #[arg(long, default_value_t = 360.0)]
    rate: f64,
    /// One case alone; else all of them, one after another.
    #[arg(long)]
    case: Option<Case>,
    /// The small form: sizes for a shared machine.
    #[arg(long)]
    quick: bool,
    /// Each dispatcher by itself, without control services: for a comparison.
    #[arg(long)]
    alone: bool,
    /// Leave a defence out: the run must fail.
    #[arg(long)]
    without: Option<Without>,
    #[arg(long, default_value_t = 6)]
    before: u64,
    #[arg(long, default_value_t = 18)]
    after: u64,
    /// Dispatchers' logs and verdicts go to standard error.
    #[arg(long)]
    verbose: bool,
    /// The half seconds, one by one.
    #[arg(long)]
    steps: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(prove(plan))
}

fn scenario(plan: &Plan, case: Case) -> Scenario {
    let (dispatchers, rate) = if plan.quick { (8, 240.0) } else { (plan.dispatchers, plan.rate) };
    let before = Duration::from_secs(if plan.quick { 3 } else { plan.before });
    let small = match case {
        Case::Third | Case::Half | Case::Liars | Case::Short | Case::ServicesGone => 7,
        Case::Slow | Case::Lossy | Case::Flap | Case::Frozen => 9,
        Case::Dead | Case::ServiceAnew => 14,
        _ => 12,
    };
    let after = Duration::from_secs(if plan.quick { small } else { plan.after });
    let defect = plan.without.map(|without| match without {
        Without::Quorum => Defect::NoQuorum,
        Without::Lease => Defect::NoLease,
        Without::Ramp => Defect::NoRamp,
        Without::Capacity => Defect::NoCapacity,
    });
    // Where a return has to be paced, and where what remains is short, caches have one place each: 66 GETs a second warm, 15
    // cold, five of them in a zone.
    let short = case == Case::Short;
    let tight = short || matches!(case, Case::Dead | Case::ServiceAnew);
    let rate = if short {
        375.0
    } else if tight {
        rate.max(480.0)
    } else {
        rate
    };
    let zones = match case {
        Case::Two => plan.zones.max(4),
        Case::Short => 2,
        _ => plan.zones.max(2),
    };
    Scenario {
        dispatchers,
        caches: zones * 5,
        parents: 2,
        rate,
        origin_slots: (8.2 / 360.0 * rate * 1.5).round() as usize,
        fault_at: before,
        duration: before + after,
        seed: plan.seed,
        defect,
        zones,
        control_services: match case {
            _ if plan.alone => 0,
            Case::ServiceInIt | Case::ServicesGone => 2,
            _ => 1,
        },
        // Five caches of one place, 15 ms a GET, bear 333; told with something to spare.
        zone_capacity: if tight { 290.0 } else { 600.0 },
        cache_warm_up: fleet::CACHE_WARM_UP * if tight && !short { 2 } else { 1 },
        cache_slots: if tight { 1 } else { fleet::CACHE_SLOTS },
    }
}

fn script(case: Case, scenario: &Scenario) -> Script {
    let (at, s, ms) = (scenario.fault_at, Duration::from_secs, Duration::from_millis);
    let dead = |zone, at, duration| (at, Fault::ZoneDown { zone, duration });
    let cut = |share, cold, duration| (at, Fault::ZonePartition { zone: 1, share, cold, duration });
    // Left after some 0.7 s, tried after the hold, at a quarter of its keys some second later.
    let returning = at + HOLD + ms(2200);
    match case {
        // Back just when it is tried, so that it is as cold then as it can be.
        Case::Dead => vec![dead(1, at, ms(3300))],
        Case::Silent => vec![cut(100, true, s(3))],
        Case::All => vec![cut(100, false, s(3))],
        Case::Slow => vec![(at, Fault::ZoneSlow { zone: 1, factor: 20, duration: s(4) })],
        Case::Lossy => vec![(at, Fault::ZoneLossy { zone: 1, loss: 70, duration: s(4) })],
        Case::Third => vec![cut(33, false, s(5))],
        Case::Half => vec![cut(50, false, s(5))],
        Case::ServiceInIt => {
            vec![dead(1, at, s(3)), (at, Fault::ControlServicesDown { only_one: true, duration: s(6) })]
        }
        Case::ServicesGone => {
            vec![dead(1, at, s(3)), (at, Fault::ControlServicesDown { only_one: false, duration: s(3) })]
        }
        Case::ServiceAnew => {
            vec![
                dead(1, at, ms(3300)),
                (returning, Fault::ControlServicesDown { only_one: false, duration: ms(300) }),
            ]
        }
        Case::CutOff => vec![
            dead(1, at, s(3)),
            (returning, Fault::ControlServicesPartition { share: 33, duration: s(4) }),
            (returning + ms(100), Fault::OperatorOrder { zone: 1, order: "leave" }),
            (returning + s(3), Fault::OperatorOrder { zone: 1, order: "return" }),
        ],
        Case::Flap => (0..5).map(|n| dead(1, at + s(2) * n, s(1))).collect(),
        Case::Two => vec![dead(1, at, s(3)), dead(2, at + ms(200), s(3))],
        Case::WhileReturning => vec![dead(1, at, s(3)), dead(0, returning, s(3))],
        Case::Liars => vec![(at, Fault::FalseReports { zone: 1, voters: liars(scenario), duration: s(5) })],
        Case::Purges => vec![
            cut(100, false, s(3)),
            (at + s(1), Fault::Purge { groups: 24 }),
            (returning, Fault::Purge { groups: 24 }),
        ],
        Case::Short => vec![dead(1, at, s(5))],
        Case::Frozen => vec![(at - ms(100), Fault::Freeze { share: 33, duration: s(3) }), dead(1, at, s(4))],
        Case::Killed => {
            vec![dead(1, at, s(3)), (returning, Fault::Kill { share: 70, restart_after: ms(300) })]
        }
    }
}

/// A third of all voters; without the quorum each has five names.
fn liars(scenario: &Scenario) -> usize {
    scenario.dispatchers / 2 * if scenario.defect == Some(Defect::NoQuorum) { 5 } else { 1 }
}

/// What came of a run, told as figures.
struct Figures {
    /// From the failure until the verdict, and until the last GET of any dispatcher before the return.
    left_after: Option<Duration>,
    last_after: Option<Duration>,
    lefts: usize,
    serving_after: Option<Duration>,
    /// In time from two seconds after the failure on, and the bound's.
    service: f64,
    bound: f64,
    sheds_most: f64,
}

fn first(
    verdicts: &[ObservedVerdict],
    zone: usize,
    stage: Stage,
    from: Duration,
) -> Option<&ObservedVerdict> {
    verdicts.iter().find(|seen| seen.zone == zone && seen.verdict.stage == stage && seen.at >= from)
}

fn figures(result: &RunResult, scenario: &Scenario, script: &Script) -> Figures {
    let (at, verdicts) = (scenario.fault_at, &result.verdicts);
    let left = first(verdicts, 1, Stage::Left, at);
    let back = left.and_then(|left| first(verdicts, 1, Stage::Returning, left.at));
    let until = back.map_or(scenario.duration, |back| back.at);
    // What waited in a way that was cut comes when it is mended.
    let mended = script.iter().filter_map(|(at, fault)| match fault {
        Fault::ZonePartition { duration, .. } => Some(*at + *duration),
        _ => None,
    });
    let mended: Vec<_> = mended.collect();
    let waited = |at: Duration| mended.iter().any(|&mended| at >= mended && at < mended + GRACE);
    let came = result.zone_arrivals[1].iter().flatten().filter(|&&at| !waited(at));
    let last = left.and_then(|left| came.filter(|&&came| came >= left.at && came < until).max());
    let serving = back.and_then(|back| first(verdicts, 1, Stage::Serving, back.at));
    let share = |of: &dyn Fn(usize) -> bool| {
        let due = result.requests.iter().enumerate().filter(|(_, due)| due.at >= at + SETTLED);
        let (all, good) = due.fold((0, 0), |(all, good), (n, _)| (all + 1, good + usize::from(of(n))));
        good as f64 / f64::from(all.max(1))
    };
    let bound = result.bound_in_time(scenario, script);
    let in_time = result.in_time();
    Figures {
        left_after: left.map(|left| left.at - at),
        last_after: last.map(|last| *last - at),
        lefts: verdicts
            .iter()
            .filter(|s| s.verdict.stage == Stage::Left)
            .map(|s| s.verdict.epoch)
            .collect::<std::collections::BTreeSet<_>>()
            .len(),
        serving_after: serving.map(|seen| seen.at - at),
        service: share(&|n| in_time[n]),
        bound: share(&|n| bound[n]),
        sheds_most: verdicts.iter().map(|seen| seen.verdict.sheds).fold(0.0, f64::max),
    }
}

fn broken(
    case: Case,
    plan: &Plan,
    scenario: &Scenario,
    result: &RunResult,
    figures: &Figures,
) -> Vec<String> {
    let mut breaks = result.violations.clone();
    if plan.alone {
        return breaks;
    }
    let stays = matches!(case, Case::Third | Case::Half | Case::Liars);
    if stays && figures.lefts > 0 {
        breaks.push("a zone was left that most could reach".into());
    }
    let dies = !stays && !matches!(case, Case::Slow | Case::Lossy | Case::Flap | Case::ServicesGone);
    if dies {
        match figures.left_after {
            Some(after) if after <= LEFT_WITHIN * if plan.quick { 2 } else { 1 } => {}
            after => breaks.push(format!("the zone was left after {after:?}")),
        }
        let left = figures.left_after.map(|after| after + scenario.fault_at);
        let late = |last: Duration| left.is_some_and(|left| last > left + GRACE);
        // One that was frozen, or cut off from the services, can't have heard.
        if let Some(last) =
            figures.last_after.filter(|&last| late(last + scenario.fault_at) && case != Case::Frozen)
        {
            breaks.push(format!(
                "a GET came to the zone {last:?} after its failure, left after {:?}",
                figures.left_after
            ));
        }
    }
    if figures.lefts > LEFT_MOST && matches!(case, Case::Flap) {
        breaks.push(format!("left {} times", figures.lefts));
    }
    if matches!(case, Case::Dead | Case::Silent | Case::ServiceAnew | Case::Killed | Case::ServiceInIt) {
        if result.caches_overloaded > 0 {
            breaks.push(format!("{} cold caches were pushed over", result.caches_overloaded));
        }
        let after = (scenario.fault_at.div_duration_f64(judge::BIN_WIDTH) as usize) + 1;
        let most = result.zone_loads[1][after..].iter().copied().fold(0.0, f64::max);
        if most > 1.0 {
            breaks.push(format!("a returning zone was asked for {most:.2} times what it bears"));
        }
        let least = HOLD + scenario.cache_warm_up;
        let most = (least + Duration::from_secs(1)).mul_f64(1.5);
        if figures.serving_after.is_none_or(|after| after > most) {
            breaks.push(format!("it served all its keys again after {:?}", figures.serving_after));
        }
    }
    if case == Case::CutOff {
        let left: Vec<_> = result.verdicts.iter().filter(|seen| seen.verdict.stage == Stage::Left).collect();
        let again = left.iter().find(|seen| seen.at > scenario.fault_at + HOLD).map(|seen| seen.at + GRACE);
        // Its services are cut off for longer than their leases: nobody uses its part of a return that was taken back.
        let until =
            again.and_then(|again| first(&result.verdicts, 1, Stage::Returning, again)).map(|seen| seen.at);
        let (from, until) = (again.unwrap_or(scenario.duration) + GRACE, until.unwrap_or(scenario.duration));
        let came = result.zone_arrivals[1].iter().flatten().filter(|&&at| at > from && at < until).count();
        if again.is_none() || came > 0 {
            breaks.push(format!("{came} GETs came to a zone whose return was taken back at {again:?}"));
        }
    }
    if case == Case::Short {
        if figures.sheds_most < 0.05 {
            breaks.push("what remained was short, and nothing was said to be shed".into());
        }
        let bears = scenario.zone_capacity * OVER;
        let left = first(&result.verdicts, 1, Stage::Left, scenario.fault_at)
            .map_or(scenario.duration, |seen| seen.at);
        let (from, until) = (left + SETTLED, left + SETTLED + Duration::from_secs(1));
        let sent = result.zone_arrivals[0].iter().flatten().filter(|&&at| at >= from && at < until).count();
        if sent as f64 > bears {
            breaks
                .push(format!("{sent} GETs in a second for a zone that bears {:.0}", scenario.zone_capacity));
        }
    }
    if !plan.quick && figures.service < SERVICE * figures.bound && dies && case != Case::Short {
        breaks.push(format!("service {:.3} beside {:.3} of the bound", figures.service, figures.bound));
    }
    breaks
}

async fn prove(plan: &Plan) -> Result<ExitCode, String> {
    let cases = plan.case.map_or_else(|| Case::value_variants().to_vec(), |case| vec![case]);
    println!(
        "case            left after  last GET  lefts  serving after  service  bound  worst  fell  sheds  parents  origin"
    );
    let (mut tolds, mut broke, mut lag) = (Vec::new(), 0, Duration::ZERO);
    for case in cases {
        let scenario = scenario(plan, case);
        let script = script(case, &scenario);
        let result = fleet::run(&scenario, &script).await?;
        let figures = figures(&result, &scenario, &script);
        let breaks = broken(case, plan, &scenario, &result, &figures);
        let told = told(case, &scenario, &result, &figures);
        for what in breaks.iter().take(10) {
            println!("BROKEN {what}");
        }
        if !breaks.is_empty() {
            let name = case.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned());
            let (seed, quick) = (plan.seed, if plan.quick { " --quick" } else { "" });
            println!(
                "replay: cargo run --release -p myrtlegauge-lab -- leave --case {name} --seed {seed}{quick}"
            );
        }
        if plan.verbose {
            result.verdicts.iter().for_each(|seen| eprintln!("{seen:?}"));
            result.logs.iter().for_each(|log| eprintln!("{log}"));
        }
        if plan.steps {
            for (n, bin) in result.bins(&scenario).iter().enumerate() {
                let (from, until) = (judge::BIN_WIDTH * n as u32, judge::BIN_WIDTH * (n as u32 + 1));
                let sent = |zone: &Vec<Vec<Duration>>| {
                    zone.iter().flatten().filter(|&&at| at >= from && at < until).count()
                };
                let sent: Vec<_> = result.zone_arrivals.iter().map(sent).collect();
                println!(
                    "{:>5.1} s  due {:>4} in time {:>3.0}% late {:>3} shed {:>3} errored {:>3}  sent to zones {sent:?}",
                    n as f64 * 0.5,
                    bin.due,
                    bin.in_time_fraction() * 100.0,
                    bin.late,
                    bin.shed,
                    bin.errored
                );
            }
        }
        broke += breaks.len();
        lag = lag.max(result.lag);
        tolds.push(told);
    }
    let judged = broke == 0 || lag < TOO_BUSY || plan.without.is_some();
    if !judged {
        println!("not judged: the machine was too busy");
    }
    println!(
        "{}",
        json!({"proof": "leave", "seed": plan.seed, "held": broke == 0, "judged": judged, "broken": broke,
        "runs": tolds, "lag_ms": lag.as_millis() as u64})
    );
    Ok(stand::verdict(broke == 0, judged))
}

fn told(case: Case, scenario: &Scenario, result: &RunResult, figures: &Figures) -> Value {
    let ms = |span: Option<Duration>| span.map(|span| span.as_millis() as u64);
    let said = |span: Option<Duration>| ms(span).map_or("-".to_owned(), |ms| format!("{ms} ms"));
    let after = |steps: &[crate::stand::hosts::Arrived]| {
        let from = (scenario.fault_at.as_millis() / 100) as usize;
        steps[steps.len().min(from)..].to_vec()
    };
    let origin = judge::peak(&after(&result.origin_load), scenario.origin_slots as f64).0;
    let parents =
        result.parent_loads.iter().map(|steps| judge::peak(&after(steps), result.parent_capacity).0);
    let parents = parents.fold(0.0, f64::max);
    let worst = result.recovery(scenario).worst_fraction;
    println!(
        "{:<15} {:>10} {:>9} {:>6} {:>14} {:>7.1}% {:>5.1}% {:>5.0}% {:>5} {:>5.0}% {parents:>8.2} {origin:>7.2}",
        format!("{case:?}"),
        said(figures.left_after),
        said(figures.last_after),
        figures.lefts,
        said(figures.serving_after),
        figures.service * 100.0,
        figures.bound * 100.0,
        worst * 100.0,
        result.caches_overloaded,
        figures.sheds_most * 100.0,
    );
    json!({"case": format!("{case:?}"), "left_after_ms": ms(figures.left_after), "last_get_ms": ms(figures.last_after),
        "lefts": figures.lefts, "serving_after_ms": ms(figures.serving_after), "service": figures.service,
        "bound": figures.bound, "worst": worst, "caches_fell": result.caches_overloaded, "sheds": figures.sheds_most,
        "zone_peak": result.zone_loads.iter().flatten().copied().fold(0.0, f64::max), "parents_peak": parents, "origin_peak": origin, "lag_ms": result.lag.as_millis() as u64})
}
