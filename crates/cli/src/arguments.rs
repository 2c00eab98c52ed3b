//! The command line arguments.

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use myrtlegauge_operator::logs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A traffic router for a two-tier cache.
///
/// Without a subcommand it runs the dispatcher, as the platform starts it: it reads the JSON file that ROUTER_CONFIG
/// names. Everything else is configured by an operator file of S-expressions.
#[derive(Parser)]
#[command(
    name = "myrtlegauge",
    version,
    after_help = "Exit codes: 0 success; 1 failed while running; 2 invalid arguments or operator file."
)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

// The format of log records.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogForm {
    Text,
    Json,
}

impl From<LogForm> for logs::LogFormat {
    fn from(form: LogForm) -> Self {
        match form {
            LogForm::Text => Self::Text,
            LogForm::Json => Self::Json,
        }
    }
}

// The control service that a `zone` subcommand connects to, and the time limit.
#[derive(clap::Args)]
pub struct ServiceArguments {
    /// Address of the service.
    #[arg(long, default_value = "127.0.0.1:18000")]
    pub address: SocketAddr,
    /// Time limit for the response, in milliseconds.
    #[arg(long = "patience-ms", value_name = "PATIENCE_MS", default_value_t = 2000)]
    pub timeout_ms: u64,
}

// The subcommands of `zone`.
#[derive(Subcommand)]
pub enum ZoneCommand {
    /// Show the stage, traffic fraction, epoch and step of each zone, what holds it back, and the votes on it.
    Status {
        #[command(flatten)]
        service: ServiceArguments,
        /// Also show the vote of each member.
        #[arg(long)]
        votes: bool,
    },
    /// Stop sending traffic to a zone, as far as the other zones can take its traffic, until `zone return`.
    Leave {
        zone: String,
        #[command(flatten)]
        service: ServiceArguments,
    },
    /// Keep a zone in its present state, whatever is observed of it.
    Hold {
        zone: String,
        #[command(flatten)]
        service: ServiceArguments,
    },
    /// Withdraw a `leave` or `hold`; traffic to a zone that was left resumes in steps from now on.
    Return {
        zone: String,
        #[command(flatten)]
        service: ServiceArguments,
    },
}

// The subcommands of `replica`.
#[derive(Subcommand)]
pub enum ReplicaCommand {
    /// Show a running replica: its log, watermark and members, the purges in force, and the dispatchers that lag.
    Status {
        /// Address of the replica.
        #[arg(default_value = "127.0.0.1:18100")]
        address: SocketAddr,
        /// Time limit for the response, in milliseconds.
        #[arg(long = "patience-ms", value_name = "PATIENCE_MS", default_value_t = 2000)]
        timeout_ms: u64,
    },
}

// The subcommands of `myrtlegauge`.
#[derive(Subcommand)]
pub enum Command {
    /// Run the control service, which sends the choices of the decision module to other proxies over xDS.
    ///
    /// SIGTERM stops it, SIGHUP reloads the hosts of FILE, SIGUSR1 logs its counters. A proxy sheds by itself once its
    /// lease expires without a renewal.
    Control {
        /// The operator file.
        file: PathBuf,
        /// Format of log records; overrides the operator file.
        #[arg(long)]
        log_form: Option<LogForm>,
    },
    /// Show the proxies of a running control service: what each accepted and refused, why, its lag and its lease.
    Status {
        /// Address of the service.
        #[arg(default_value = "127.0.0.1:18000")]
        address: SocketAddr,
        /// Time limit for the response, in milliseconds.
        #[arg(long = "patience-ms", value_name = "PATIENCE_MS", default_value_t = 2000)]
        timeout_ms: u64,
    },
    /// Run a dispatcher that is configured by an operator file and follows the zone decisions of control services.
    ///
    /// SIGTERM stops it, SIGHUP reloads the address of the change log, SIGUSR1 logs its counters.
    Dispatch {
        /// The operator file.
        file: PathBuf,
        /// Format of log records; overrides the operator file.
        #[arg(long)]
        log_form: Option<LogForm>,
    },
    /// Run a replica of the change log, which dispatchers poll in place of the platform's.
    ///
    /// SIGTERM stops it, SIGUSR1 logs its counters.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Replica {
        #[command(subcommand)]
        command: Option<ReplicaCommand>,
        /// The operator file.
        #[arg(required = true)]
        file: Option<PathBuf>,
        /// Format of log records; overrides the operator file.
        #[arg(long)]
        log_form: Option<LogForm>,
    },
    /// Show the zones of a running control service, and leave, hold or return to a zone.
    Zone {
        #[command(subcommand)]
        command: ZoneCommand,
    },
    /// Run an experiment in the fleet model, with several seeds on all cores.
    ///
    /// Without a file, the built-in experiment runs: a small model of a Saturday. The table shows means with their 95%
    /// confidence intervals, and whether the difference to a baseline may be noise. Exit code 1 if the decision module
    /// broke a rule.
    Experiment {
        file: Option<PathBuf>,
        /// Number of runs per policy; overrides the file.
        #[arg(long)]
        seeds: Option<u64>,
        /// Write the figures of each run to this CSV file.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// Print one JSON object instead of the table.
        #[arg(long)]
        json: bool,
    },
    /// Check an operator file and report every error as FILE:LINE:COLUMN; exit code 2 if there are any.
    Check {
        #[arg(required_unless_present = "explain")]
        file: Option<PathBuf>,
        /// Print everything that an operator file may contain, with units and defaults.
        #[arg(long)]
        explain: bool,
    },
    /// Print shell completions.
    Completions { shell: Shell },
}
