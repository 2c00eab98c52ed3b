//! What a run has shown: a table for people, and one line for programs.

use super::Plan;
use super::cases::Case;
use super::errors::Break;
use super::oracle::{Oracle, PurgeSeen};
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;

/// Breaks that are told.
const BREAKS_TOLD: usize = 10;

/// Times from published to in force, ms.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct InForce {
    p50_ms: f64,
    p99_ms: f64,
    worst_ms: f64,
}

impl InForce {
    fn of(mut took: Vec<f64>) -> Self {
        took.sort_unstable_by(f64::total_cmp);
        let Some(last) = took.len().checked_sub(1) else { return Self::default() };
        let at = |share: f64| took[(last as f64 * share).round() as usize];
        Self { p50_ms: at(0.5), p99_ms: at(0.99), worst_ms: took[last] }
    }
}

/// One case, or all of them.
#[derive(Debug, Serialize)]
struct Row {
    case: &'static str,
    purges: usize,
    forwards_judged: usize,
    in_force: InForce,
    outstanding: BTreeSet<String>,
}

impl Row {
    fn of(case: &'static str, purges: &[PurgeSeen], forwards_judged: usize) -> Self {
        let outstanding = purges.iter().flat_map(|purge| purge.outstanding.iter().cloned()).collect();
        let in_force = InForce::of(purges.iter().filter_map(PurgeSeen::took_ms).collect());
        Self { case, purges: purges.len(), forwards_judged, in_force, outstanding }
    }

    fn print(&self) {
        let InForce { p50_ms, p99_ms, worst_ms } = self.in_force;
        let outstanding = self.outstanding.iter().cloned().collect::<Vec<_>>().join(" ");
        println!(
            "{:<14} {:>7} {:>9} {p50_ms:>8.0} {p99_ms:>8.0} {worst_ms:>8.0}  {outstanding}",
            self.case, self.purges, self.forwards_judged
        );
    }
}

/// See the module.
pub struct Report {
    rows: Vec<Row>,
    total: Row,
    forwards: usize,
    lag: Duration,
    breaks: Vec<(f64, Break)>,
}

impl Report {
    /// What the oracle has seen in these cases, on a machine that woke so late.
    pub fn new(oracle: &Oracle, run: &[Case], lag: Duration) -> Self {
        let (mut rows, mut purges) = (Vec::new(), Vec::new());
        for case in run {
            let seen = oracle.purges(case.name());
            rows.push(Row::of(case.name(), &seen, oracle.judge(case.name()).count));
            purges.extend(seen);
        }
        let judged = rows.iter().map(|row| row.forwards_judged).sum();
        let breaks = oracle.breaks().into_iter().map(|broken| (oracle.seconds(broken.at_ms), broken));
        Self {
            total: Row::of("all", &purges, judged),
            rows,
            forwards: oracle.forwards(),
            lag,
            breaks: breaks.collect(),
        }
    }

    /// Whether every promise was kept.
    pub fn held(&self) -> bool {
        self.breaks.is_empty()
    }

    /// Prints all of it.
    pub fn print(&self, plan: &Plan, judged: bool) {
        println!("case            purges  forwards    p50 ms   p99 ms worst ms  named as outstanding");
        self.rows.iter().for_each(Row::print);
        self.total.print();
        println!("{} forwards came; the machine woke up to {:?} late", self.forwards, self.lag);
        for (at, broken) in self.breaks.iter().take(BREAKS_TOLD) {
            let object = broken.object.map_or("-".to_owned(), |object| format!("{object:016x}"));
            println!("BROKEN at {at:.3} s in {}: object {object}: {}", broken.case, broken.cause);
        }
        if !judged {
            println!("not judged: the machine was too busy");
        }
        if !self.held() {
            println!("replay: cargo run --release -p myrtlegauge-lab -- replication --seed {}", plan.seed);
        }
        println!("{}", self.summary(plan, judged));
    }

    fn summary(&self, plan: &Plan, judged: bool) -> serde_json::Value {
        json!({"proof": "replication", "seed": plan.seed, "held": self.held(), "judged": judged,
            "broken": self.breaks.len(), "purges": self.total.purges, "forwards": self.forwards,
            "forwards_judged": self.total.forwards_judged, "in_force": self.total.in_force,
            "outstanding": self.total.outstanding, "cases": self.rows,
            "lag_ms": self.lag.as_secs_f64() * 1e3})
    }
}
