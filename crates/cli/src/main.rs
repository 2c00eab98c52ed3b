//! `myrtlegauge`: runs the dispatcher without arguments, as the platform starts it, and subcommands with them.

mod arguments;

use arguments::{Arguments, Command, LogForm, ReplicaCommand, ServiceArguments, ZoneCommand};
use clap::{CommandFactory, Parser};
use myrtlegauge_control::client_status;
use myrtlegauge_model as model;
use myrtlegauge_operator as operator;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// The exit code for invalid arguments or an invalid operator file.
const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    if std::env::args_os().len() <= 1 {
        operator::logs::start_plain();
        return exit_code(myrtlegauge_dispatcher::program::run());
    }
    match Arguments::parse().command {
        Command::Control { file, log_form } => {
            let Ok(settings) = read_operator_file(&file) else { return ExitCode::from(INVALID_INPUT) };
            operator::logs::start(log_form.map_or(settings.log_format, Into::into), settings.log_level);
            exit_code(myrtlegauge_control::service::run(file, &settings))
        }
        Command::Status { address, timeout_ms } => {
            let status = client_status::fetch(address, None, Duration::from_millis(timeout_ms));
            exit_code(status.map(|status| print!("{}", client_status::format_streams(&status))))
        }
        Command::Dispatch { file, log_form } => {
            let Ok(settings) = read_operator_file(&file) else { return ExitCode::from(INVALID_INPUT) };
            operator::logs::start(log_form.map_or(settings.log_format, Into::into), settings.log_level);
            exit_code(myrtlegauge_follow::run(file, &settings))
        }
        Command::Replica { command: Some(ReplicaCommand::Status { address, timeout_ms }), .. } => {
            let status = myrtlegauge_replica::status::fetch(address, Duration::from_millis(timeout_ms));
            exit_code(status.map(|status| print!("{}", status.print())))
        }
        Command::Replica { command: None, file, log_form } => run_replica(file.as_deref(), log_form),
        Command::Zone { command } => {
            let (service, order, votes) = match &command {
                ZoneCommand::Status { service, votes } => (service, None, *votes),
                ZoneCommand::Leave { zone, service } => (service, Some((zone.as_str(), "leave")), false),
                ZoneCommand::Hold { zone, service } => (service, Some((zone.as_str(), "hold")), false),
                ZoneCommand::Return { zone, service } => (service, Some((zone.as_str(), "return")), false),
            };
            let ServiceArguments { address, timeout_ms } = *service;
            let status = client_status::fetch(address, order, Duration::from_millis(timeout_ms));
            exit_code(status.map(|status| print!("{}", client_status::format_zones(&status, votes))))
        }
        Command::Experiment { file, seeds, csv, json } => {
            run_experiment(file.as_deref(), seeds, csv.as_deref(), json)
        }
        Command::Check { explain: true, .. } => {
            let mut text = String::new();
            operator::form::explain(&operator::file::FILE, 0, &mut text);
            print!("{text}");
            ExitCode::SUCCESS
        }
        Command::Check { file, .. } => match file.as_deref().map(read_operator_file) {
            Some(Ok(file)) => {
                println!("{} delivery services, {} hosts, no fault", file.services.len(), file.hosts.len());
                ExitCode::SUCCESS
            }
            _ => ExitCode::from(INVALID_INPUT),
        },
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "myrtlegauge", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Runs a replica until it is stopped by a signal.
fn run_replica(file: Option<&Path>, log_form: Option<LogForm>) -> ExitCode {
    let Some(Ok(settings)) = file.map(read_operator_file) else { return ExitCode::from(INVALID_INPUT) };
    operator::logs::start(log_form.map_or(settings.log_format, Into::into), settings.log_level);
    exit_code(myrtlegauge_replica::run(&settings))
}

/// Prints an error to standard error; returns the exit code.
fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("myrtlegauge: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads an operator file; prints each error in it to standard error, one per line.
fn read_operator_file(path: &Path) -> Result<operator::OperatorFile, ()> {
    let name = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|e| eprintln!("{name}: cannot read the operator file: {e}"))?;
    operator::read(&text).map_err(|errors| errors.iter().for_each(|error| eprintln!("{name}:{error}")))
}

/// Runs an experiment and prints its results.
fn run_experiment(file: Option<&Path>, seeds: Option<u64>, csv: Option<&Path>, json: bool) -> ExitCode {
    let (name, text) = match file {
        Some(path) => (
            path.display().to_string(),
            std::fs::read_to_string(path)
                .map_err(|e| format!("{}: cannot read the experiment file: {e}", path.display())),
        ),
        None => ("the built-in experiment".to_owned(), Ok(model::experiment::BUILT_IN.to_owned())),
    };
    let settings = text.and_then(|text| {
        let to_lines = |errors: Vec<operator::FileError>| {
            errors.iter().map(|error| format!("{name}:{error}")).collect::<Vec<_>>().join("\n")
        };
        model::experiment::read(&text).map_err(to_lines)
    });
    let mut settings = match settings {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(INVALID_INPUT);
        }
    };
    settings.seeds = seeds.unwrap_or(settings.seeds).max(1);
    let results = model::experiment::run(&settings, |policy, seed| {
        if !json {
            eprintln!("finished the run of {} with seed {seed}", policy.name());
        }
    });
    let results = match results {
        Ok(results) => results,
        Err(error) => return exit_code(Err(error)),
    };
    if let Some(path) = csv
        && let Err(e) = std::fs::write(path, results.csv())
    {
        return exit_code(Err(format!("cannot write the results to {}: {e}", path.display())));
    }
    if json {
        println!("{}", results.json());
    } else {
        print!("{}", results.table());
    }
    if results.violations() > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
