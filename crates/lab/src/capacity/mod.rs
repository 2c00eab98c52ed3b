//! The scale test: what each role costs by the number of dispatchers, hosts and purges a second, as slopes through four
//! sizes each, and in bad moments at the size to design for. Most dispatchers are *hollow* (`hollow`): the shipped parts on
//! real sockets without clients, many in a process; they are held against real ones first. Judged by the change log's own
//! counts, the system's account of each process, and purges counted by name.

pub mod change_log;
mod child;
mod comparison;
mod errors;
mod fleet;
mod footprint;
pub mod hollow;
mod in_force;
mod limits;
mod members;
mod messages;
mod moments;
mod point;
mod replicas;
mod replicated;
mod report;
mod size;
mod slope;
mod usage;

use crate::stand::{self, watch};
use errors::CapacityError;
use fleet::Conditions;
use limits::{LimitError, Machine};
use point::{PointFigures, Timing};
use report::Fits;
use serde_json::{Value, json};
use size::{BUDGET, DESIGN, Direction, QUICK, Size};
use slope::Fit;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A machine that wakes sleepers later than this is too busy to judge a broken promise.
const TOO_BUSY: Duration = Duration::from_millis(250);

/// What is left out, so that the test is seen to fail.
#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// One hollow dispatcher takes no purges.
    Delivery,
}

#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// One point alone, of so many dispatchers.
    #[arg(long)]
    dispatchers: Option<usize>,
    /// One point alone, of so many hosts.
    #[arg(long)]
    hosts: Option<usize>,
    /// One point alone, of so many purges a second.
    #[arg(long)]
    purges: Option<f64>,
    /// Control machines beside the dispatchers.
    #[arg(long)]
    controls: Option<usize>,
    /// Replicas between the change log and the dispatchers: one run of quiet and bad moments, or a slope with `--slope`.
    #[arg(long)]
    replicas: Option<usize>,
    /// Replicas that follow the change log themselves; the others learn its events from these.
    #[arg(long, default_value_t = 2)]
    sources: usize,
    /// One direction alone.
    #[arg(long)]
    slope: Option<Direction>,
    /// Membership alone.
    #[arg(long)]
    members: bool,
    /// A fault put in.
    #[arg(long)]
    without: Option<Without>,
    /// The small form.
    #[arg(long)]
    quick: bool,
}

pub fn run(plan: &Plan) -> ExitCode {
    stand::run(async { prove(plan).await.map_err(|fault| fault.to_string()) })
}

/// All that a run found.
#[derive(Default)]
struct Findings {
    comparison: Option<Value>,
    directions: BTreeMap<&'static str, Value>,
    moments: Vec<Value>,
    members: Vec<Value>,
    points: Vec<Value>,
    replicas: Option<Value>,
    budget: Option<Value>,
    breaks: Vec<String>,
}

impl Plan {
    fn largest(&self) -> Size {
        let size = if self.quick { QUICK } else { DESIGN };
        self.varied(size)
    }

    /// A size with what is told of the roles beside the dispatchers. Control machines poll the change log: beside replicas
    /// there are only those that are asked for.
    fn varied(&self, size: Size) -> Size {
        let controls = if self.replicas.is_some() { 0 } else { size.controls };
        let controls = self.controls.unwrap_or(controls);
        Size { controls, replicas: self.replicas.unwrap_or(size.replicas), ..size }
    }

    /// The one point that is asked for, if one is.
    fn point(&self) -> Option<Size> {
        let is_told = self.dispatchers.is_some() || self.hosts.is_some() || self.purges.is_some();
        let has_replicas = self.replicas.is_some() && self.slope.is_none();
        if !is_told && !has_replicas {
            return None;
        }
        let size = self.largest();
        Some(Size {
            dispatchers: self.dispatchers.unwrap_or(size.dispatchers),
            hosts: self.hosts.unwrap_or(size.hosts),
            purges_per_second: self.purges.unwrap_or(size.purges_per_second),
            ..size
        })
    }

    fn sizes(&self, direction: Direction) -> [Size; 4] {
        direction.sizes(self.quick).map(|size| self.varied(size))
    }

    /// Every size that will be played.
    fn all_sizes(&self) -> Vec<Size> {
        match (self.point(), self.slope) {
            (Some(size), _) => vec![size],
            (None, Some(direction)) => self.sizes(direction).to_vec(),
            (None, None) => {
                let slopes = Direction::ALL.into_iter().flat_map(|direction| self.sizes(direction));
                slopes.chain([comparison::size(self.quick).0, self.largest()]).collect()
            }
        }
    }

    fn conditions(&self) -> Conditions {
        Conditions {
            seed: self.seed,
            without_delivery: self.without == Some(Without::Delivery),
            reals: 0,
            lones: 0,
            sources: self.sources,
        }
    }
}

async fn prove(plan: &Plan) -> Result<ExitCode, CapacityError> {
    let machine = Machine::here()?;
    for size in plan.all_sizes() {
        machine.bears(&size)?;
    }
    if let Some(replicas) = plan.replicas
        && !(1..=replicas).contains(&plan.sources)
    {
        return Err(LimitError::Sources { sources: plan.sources, replicas }.into());
    }
    let lag = Arc::new(AtomicU64::new(0));
    let watching = tokio::spawn(watch(Arc::clone(&lag)));
    let mut found = Findings::default();
    play(plan, &mut found).await?;
    watching.abort();
    let lag = Duration::from_micros(lag.load(Ordering::Relaxed));
    let held = found.breaks.is_empty();
    let judged = held || lag < TOO_BUSY || plan.without.is_some();
    println!("the machine woke up to {lag:?} late");
    if !judged {
        println!("not judged: the machine was too busy");
    }
    if !held {
        println!("replay: cargo run --release -p myrtlegauge-lab -- capacity --seed {}", plan.seed);
    }
    println!("{}", summary(plan, &found, held, judged, lag));
    Ok(stand::verdict(held, judged))
}

async fn play(plan: &Plan, found: &mut Findings) -> Result<(), CapacityError> {
    let (timing, conditions) = (Timing::of(plan.quick), plan.conditions());
    if let (Some(size), Some(_)) = (plan.point(), plan.replicas) {
        return found.replicate(plan, size, conditions).await;
    }
    if let Some(size) = plan.point() {
        println!("one point");
        let figures = point::play(size, conditions, timing).await?;
        report::point(&figures);
        found.take_budget(&figures);
        found.points.push(json!(figures));
        found.breaks.extend(figures.breaks);
        return Ok(());
    }
    if plan.members {
        return found.membership(plan).await;
    }
    if plan.slope.is_none() {
        found.compare(plan, conditions, timing).await?;
    }
    for direction in Direction::ALL {
        if plan.slope.is_none_or(|asked| asked == direction) {
            found.follow(plan, direction, conditions, timing).await?;
        }
    }
    if plan.slope.is_none() {
        found.endure(plan, conditions, timing).await?;
        found.membership(plan).await?;
    }
    Ok(())
}

impl Findings {
    async fn compare(
        &mut self,
        plan: &Plan,
        conditions: Conditions,
        timing: Timing,
    ) -> Result<(), CapacityError> {
        println!("hollow dispatchers beside real ones");
        let compared = comparison::play(plan.quick, conditions, timing).await?;
        report::comparison(&compared);
        self.comparison = Some(json!(compared));
        self.breaks.extend(compared.figures.breaks);
        Ok(())
    }

    /// Four sizes along a direction, and the lines through them.
    async fn follow(
        &mut self,
        plan: &Plan,
        direction: Direction,
        conditions: Conditions,
        timing: Timing,
    ) -> Result<(), CapacityError> {
        println!("by {}", direction.name());
        let mut points = Vec::new();
        for size in plan.sizes(direction) {
            let figures = point::play(size, conditions, timing).await?;
            report::point(&figures);
            self.breaks.extend(figures.breaks.iter().cloned());
            points.push(figures);
        }
        let fits = fits(direction, &points);
        report::slopes(direction, &fits);
        self.directions.insert(direction.name(), json!({"points": points, "fits": fits}));
        Ok(())
    }

    async fn replicate(
        &mut self,
        plan: &Plan,
        size: Size,
        conditions: Conditions,
    ) -> Result<(), CapacityError> {
        println!("with replicas");
        let is_small = plan.quick || cfg!(debug_assertions);
        let aims = if is_small { replicated::LOOSE_AIMS } else { replicated::AIMS };
        let timing = replicated::timing(plan.quick);
        let played = replicated::play(size, conditions, timing, aims).await?;
        report::replicated(&played);
        if let Some(quiet) = played.moments.first() {
            self.take_budget(&quiet.figures);
        }
        self.breaks.extend(played.moments.iter().flat_map(|moment| moment.figures.breaks.iter().cloned()));
        self.breaks.extend(played.breaks.iter().cloned());
        self.replicas = Some(json!(played));
        Ok(())
    }

    async fn endure(
        &mut self,
        plan: &Plan,
        conditions: Conditions,
        timing: Timing,
    ) -> Result<(), CapacityError> {
        println!("moments at the largest size");
        for moment in moments::play(plan.largest(), conditions, timing).await? {
            report::moment(&moment);
            if moment.struck == 0 {
                self.take_budget(&moment.figures);
            }
            self.breaks.extend(moment.figures.breaks.iter().cloned());
            self.moments.push(json!(moment));
        }
        Ok(())
    }

    /// Members of a fleet, size by size. What ends at a size is told, for it is known and no promise of this test.
    async fn membership(&mut self, plan: &Plan) -> Result<(), CapacityError> {
        println!("members");
        for &count in members::sizes(plan.quick) {
            let figures = members::play(count, plan.seed, plan.quick).await?;
            report::members(&figures);
            self.breaks.extend(figures.breaks.iter().cloned());
            self.members.push(json!(figures));
        }
        Ok(())
    }

    /// Holds what a dispatcher cost against its budget; processor time only of a release build.
    fn take_budget(&mut self, figures: &PointFigures) {
        report::budget(figures);
        let cpu_judged = !cfg!(debug_assertions);
        // The budget is for the size to design for: what a rate beyond it costs is told, not judged.
        let judged = figures.size.purges_per_second <= DESIGN.purges_per_second;
        let spent = [
            ("CPU", figures.dispatcher.cpu_percent, BUDGET.cpu_percent, cpu_judged),
            ("memory", figures.memory_alone_kb(), BUDGET.memory_kb, true),
            ("bytes", figures.dispatcher.bytes_per_second, BUDGET.bytes_per_second, true),
        ];
        for (what, spent, most, counts) in spent {
            if judged && counts && spent > most {
                self.breaks.push(format!("a dispatcher's {what} over its budget: {spent:.3} of {most}"));
            }
        }
        self.budget = Some(json!({
            "cpu_percent": figures.dispatcher.cpu_percent, "cpu_percent_most": BUDGET.cpu_percent,
            "cpu_judged": cpu_judged, "memory_kb": figures.memory_alone_kb(), "memory_kb_most": BUDGET.memory_kb,
            "bytes_per_second": figures.dispatcher.bytes_per_second,
            "bytes_per_second_most": BUDGET.bytes_per_second, "judged": judged}));
    }
}

/// A line for each measure through the points of a direction.
fn fits(direction: Direction, points: &[PointFigures]) -> Fits {
    let Some(first) = points.first() else { return Fits::new() };
    let names = report::measures(first).into_iter().map(|(name, _)| name);
    let line = |(at, name): (usize, &'static str)| {
        let values: Vec<_> =
            points.iter().map(|point| (direction.of(&point.size), report::measures(point)[at].1)).collect();
        Some((name, Fit::through(&values)?))
    };
    names.enumerate().filter_map(line).collect()
}

fn summary(plan: &Plan, found: &Findings, held: bool, judged: bool, lag: Duration) -> Value {
    json!({"proof": "capacity", "seed": plan.seed, "held": held, "judged": judged, "quick": plan.quick,
        "release": !cfg!(debug_assertions), "comparison": found.comparison, "directions": found.directions,
        "moments": found.moments, "members": found.members, "points": found.points, "replicas": found.replicas, "budget": found.budget, "broken": found.breaks,
        "lag_ms": lag.as_secs_f64() * 1e3})
}
