//! The command line.

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use myrtlegauge_operator::logs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A traffic router for a two-tier cache.
///
/// Without a subcommand it is the dispatcher, as the platform starts it: it reads the JSON file that ROUTER_CONFIG names.
/// Everything else is told in an operator file of S-expressions.
#[derive(Parser)]
#[command(
    name = "myrtlegauge",
    version,
    after_help = "Exit codes: 0 done; 1 failed while running; 2 unusable arguments or operator file."
)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

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

#[derive(clap::Args)]
pub struct Asked {
    /// Where the service listens.
    #[arg(long, default_value = "127.0.0.1:18000")]
    pub address: SocketAddr,
    /// Milliseconds to wait for the answer.
    #[arg(long, default_value_t = 2000)]
    pub patience_ms: u64,
}

#[derive(Subcommand)]
pub enum Zone {
    /// Each zone's stage, part, epoch and step, what holds it back, and who says what.
    Status {
        #[command(flatten)]
        asked: Asked,
        /// Who voted what, too.
        #[arg(long)]
        votes: bool,
    },
    /// Leave a zone, as far as the others bear its traffic, until it is returned to by hand.
    Leave {
        zone: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Keep a zone as it is, whatever is seen of it.
    Hold {
        zone: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Take back an order; a zone that was left is returned to, in steps, from now on.
    Return {
        zone: String,
        #[command(flatten)]
        asked: Asked,
    },
}

#[derive(Subcommand)]
pub enum ReplicaOrder {
    /// Show a running replica: its log, its watermark, its members, and which purges are in force or who lags.
    Status {
        /// Where the replica listens.
        #[arg(default_value = "127.0.0.1:18100")]
        address: SocketAddr,
        /// Milliseconds to wait for the answer.
        #[arg(long, default_value_t = 2000)]
        patience_ms: u64,
    },
}

#[derive(Subcommand)]
pub enum Command {
    /// Run the control service: the decision module's choices for other proxies, over xDS.
    ///
    /// SIGTERM ends it, SIGHUP reads the hosts of FILE again, SIGUSR1 logs its counters. Proxies whose lease is not
    /// renewed shed by themselves once it is over.
    Control {
        /// The operator file.
        file: PathBuf,
        /// How log records are written, whatever the file says.
        #[arg(long)]
        log_form: Option<LogForm>,
    },
    /// Show the proxies of a running control service: what each accepted, refused and why, its lag and its lease.
    Status {
        /// Where the service listens.
        #[arg(default_value = "127.0.0.1:18000")]
        address: SocketAddr,
        /// Milliseconds to wait for the answer.
        #[arg(long, default_value_t = 2000)]
        patience_ms: u64,
    },
    /// Run a dispatcher that is told in an operator file and follows control services on zones.
    ///
    /// SIGTERM ends it, SIGHUP reads where the change log is again, SIGUSR1 logs its counters.
    Dispatch {
        /// The operator file.
        file: PathBuf,
        /// How log records are written, whatever the file says.
        #[arg(long)]
        log_form: Option<LogForm>,
    },
    /// Run a replica of the change log, which dispatchers poll in place of the platform's.
    ///
    /// SIGTERM ends it, SIGUSR1 logs its counters.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Replica {
        #[command(subcommand)]
        order: Option<ReplicaOrder>,
        /// The operator file.
        #[arg(required = true)]
        file: Option<PathBuf>,
        /// How log records are written, whatever the file says.
        #[arg(long)]
        log_form: Option<LogForm>,
    },
    /// Show zones, and leave, hold or return to one, at a running control service.
    Zone {
        #[command(subcommand)]
        order: Zone,
    },
    /// Play an experiment in the model of the fleets, over several seeds on all cores.
    ///
    /// Without a file the built-in one runs, a Saturday in small. The table has means with their 95% confidence, and says
    /// whether the difference to a baseline may be noise. Exit code 1 if the module broke a rule.
    Experiment {
        file: Option<PathBuf>,
        /// Runs of each brain, whatever the file says.
        #[arg(long)]
        seeds: Option<u64>,
        /// Write each run's figures there, as CSV.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// Print one JSON object instead of the table.
        #[arg(long)]
        json: bool,
    },
    /// Check a whole operator file; every fault is told as FILE:LINE:COLUMN, exit code 2 if there is one.
    Check {
        #[arg(required_unless_present = "explain")]
        file: Option<PathBuf>,
        /// Print all that an operator file may say, with units and what holds where it is left out.
        #[arg(long)]
        explain: bool,
    },
    /// Print completions for a shell.
    Completions { shell: Shell },
}
