//! The command line.

use clap::{Parser, Subcommand};
use clap_complete::Shell;
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

#[derive(Subcommand)]
pub enum Command {
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
