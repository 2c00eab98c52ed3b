//! The proof of replication: replicas and dispatchers as processes, with faults between them, and purges all the time. What
//! is promised: once a replica calls a purge in force, no dispatcher accepts a copy from before it, as the hosts see it;
//! and it is in force in time.

mod cases;
pub mod defences;
mod errors;
mod fleet;
mod host;
mod oracle;
mod program;
mod relay;
pub mod replica_program;
mod report;

use crate::stand::{self, watch};
use cases::Case;
use defences::Without;
use errors::ProofError;
use fleet::Fleet;
use report::Report;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A machine that wakes what sleeps later than this is too busy to judge on.
const TOO_BUSY: Duration = Duration::from_millis(100);

/// What is run.
#[derive(clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The small form: three dispatchers, and no freeze beyond the lease.
    #[arg(long)]
    quick: bool,
    /// Leaves a defence out, so that the proof is seen to fail.
    #[arg(long)]
    without: Option<Without>,
    #[arg(long)]
    verbose: bool,
}

impl Plan {
    fn replicas(&self) -> usize {
        3
    }

    fn dispatchers(&self) -> usize {
        if self.quick { 3 } else { 6 }
    }
}

/// Runs the proof.
pub fn run(plan: &Plan) -> ExitCode {
    stand::run(async { prove(plan).await.map_err(|e| e.to_string()) })
}

async fn prove(plan: &Plan) -> Result<ExitCode, ProofError> {
    let lag = Arc::new(AtomicU64::new(0));
    let watched = tokio::spawn(watch(Arc::clone(&lag)));
    let mut fleet = Fleet::start(plan).await?;
    let mut run: Vec<Case> = Vec::new();
    for case in cases::all(plan.quick) {
        run.push(case);
        case.run(&mut fleet).await?;
        if !fleet.oracle.breaks().is_empty() {
            break;
        }
    }
    watched.abort();
    let lag = Duration::from_micros(lag.load(Ordering::Relaxed));
    let report = Report::new(&fleet.oracle, &run, lag);
    let judged = report.held() || lag < TOO_BUSY || plan.without.is_some();
    report.print(plan, judged);
    Ok(stand::verdict(report.held(), judged))
}
