//! Proof runs: stand-ins on loopback around the real programs, faults drawn from a seed, an oracle that counts at the
//! stand-ins. `xds` proves the control service, `client` the client library, `return` the recovery
//! of a fleet after a mass restart, `leave` a fleet that
//! leaves a zone and returns, `membership` that members know who is there, `shutdown` that an end under load loses
//! nothing, `replication` that a purge which a replica calls in force is in force, `capacity` what each role costs by the size of the fleet. Exit code 0 only if every promise held; 3 if the machine was too busy
//! to judge.

mod capacity;
mod client;
mod faults;
mod fleet;
mod leave;
mod membership;
mod recovery;
mod replication;
mod shutdown;
mod stand;
mod xds;

use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Proof runs of myrtlegauge, on loopback.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    proof: Proof,
}

#[derive(Subcommand)]
enum Proof {
    /// The control service with stand-in proxies, caches and change log.
    Xds(xds::Plan),
    /// The client library against real dispatchers with stand-in caches.
    Client(client::Plan),
    /// Recovery: dispatchers killed, caches emptied, origins near their capacity.
    Return(recovery::Plan),
    /// Leaving a zone as a fleet, and coming back to it in steps.
    Leave(leave::Plan),
    /// Members know who is there: pauses, loss, one-sided cuts, splits, deaths, liars, floods.
    Membership(membership::Plan),
    /// A dispatcher that is asked to end under load answers all that was taken, and ends.
    Shutdown(shutdown::Plan),
    /// What one dispatcher, control machine and change log cost, by the number of each.
    Capacity(capacity::Plan),
    /// A purge that a replica calls in force is in force: replicas killed, restarted, cut off; dispatchers frozen.
    Replication(replication::Plan),
    /// The platform's rules under faults: a cold cache beside stepped clocks, kills, pauses, a silent change log.
    Faults(faults::Plan),
    /// A replica that also publishes the records it reads on standard input, for `replication` to start and kill.
    #[command(hide = true)]
    PublishingReplica { file: PathBuf },
    /// Many dispatchers without clients in one process, for a proof run to start.
    #[command(hide = true)]
    Hollow,
    /// The change log of a capacity run, for it to start.
    #[command(hide = true)]
    ChangelogStandIn,
    /// The control service itself, for a proof run to start and kill.
    #[command(hide = true)]
    Serve { file: PathBuf },
    /// The dispatcher, for a proof run to start.
    #[command(hide = true)]
    Dispatch { file: Option<PathBuf> },
    /// A replica of the change log, for a proof run to start and kill.
    #[command(hide = true)]
    Replica { file: PathBuf },
}

fn main() -> ExitCode {
    stand::process::end_with_parent();
    match Arguments::parse().proof {
        Proof::Xds(plan) => xds::run(&plan),
        Proof::Client(plan) => client::run(&plan),
        Proof::Return(plan) => recovery::run(&plan),
        Proof::Leave(plan) => leave::run(&plan),
        Proof::Membership(plan) => membership::run(&plan),
        Proof::Shutdown(plan) => shutdown::run(&plan),
        Proof::Capacity(plan) => capacity::run(&plan),
        Proof::Replication(plan) => replication::run(&plan),
        Proof::Faults(plan) => faults::run(&plan),
        Proof::PublishingReplica { file } => ended(
            told(&file).and_then(|told| replication::replica_program::run(&told).map_err(|e| e.to_string())),
        ),
        Proof::Hollow => ended(capacity::hollow::run()),
        Proof::ChangelogStandIn => ended(capacity::change_log::run()),
        Proof::Dispatch { file: None } => {
            myrtlegauge_operator::logs::start_plain();
            ended(myrtlegauge_dispatcher::program::run_with(faults::guards::guards()))
        }
        Proof::Dispatch { file: Some(file) } => {
            let defences = replication::defences::subscriber();
            ended(told(&file).and_then(|told| myrtlegauge_follow::run_with(file, &told, defences)))
        }
        Proof::Replica { file } => {
            ended(told(&file).and_then(|told| myrtlegauge_replica::run(&told).map_err(|e| e.to_string())))
        }
        Proof::Serve { file } => {
            ended(told(&file).and_then(|told| myrtlegauge_control::service::run(file, &told)))
        }
    }
}

fn told(file: &Path) -> Result<myrtlegauge_operator::OperatorFile, String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let told = myrtlegauge_operator::read(&text).map_err(|faults| format!("{faults:?}"))?;
    myrtlegauge_operator::logs::start(told.log_format, told.log_level);
    Ok(told)
}

fn ended(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}
