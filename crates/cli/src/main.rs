//! `myrtlegauge`: without arguments the dispatcher, as the platform starts it; with them the subcommands.

mod arguments;

use arguments::{Arguments, Asked, Command, LogForm, ReplicaOrder, Zone};
use clap::{CommandFactory, Parser};
use myrtlegauge_control::shown;
use myrtlegauge_model as model;
use myrtlegauge_operator as operator;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// What scripts go by.
const UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    if std::env::args_os().len() <= 1 {
        operator::logs::start_plain();
        return ended(myrtlegauge_dispatcher::program::run());
    }
    match Arguments::parse().command {
        Command::Control { file, log_form } => {
            let Ok(told) = read(&file) else { return ExitCode::from(UNUSABLE) };
            operator::logs::start(log_form.map_or(told.log_format, Into::into), told.log_level);
            ended(myrtlegauge_control::service::run(file, &told))
        }
        Command::Status { address, patience_ms } => {
            let status = shown::ask(address, None, Duration::from_millis(patience_ms));
            ended(status.map(|status| print!("{}", shown::print(&status))))
        }
        Command::Dispatch { file, log_form } => {
            let Ok(told) = read(&file) else { return ExitCode::from(UNUSABLE) };
            operator::logs::start(log_form.map_or(told.log_format, Into::into), told.log_level);
            ended(myrtlegauge_follow::run(file, &told))
        }
        Command::Replica { order: Some(ReplicaOrder::Status { address, patience_ms }), .. } => {
            let status = myrtlegauge_replica::status::ask(address, Duration::from_millis(patience_ms));
            ended(status.map(|status| print!("{}", status.print())))
        }
        Command::Replica { order: None, file, log_form } => replica(file.as_deref(), log_form),
        Command::Zone { order } => {
            let (asked, order, votes) = match &order {
                Zone::Status { asked, votes } => (asked, None, *votes),
                Zone::Leave { zone, asked } => (asked, Some((zone.as_str(), "leave")), false),
                Zone::Hold { zone, asked } => (asked, Some((zone.as_str(), "hold")), false),
                Zone::Return { zone, asked } => (asked, Some((zone.as_str(), "return")), false),
            };
            let Asked { address, patience_ms } = *asked;
            let status = shown::ask(address, order, Duration::from_millis(patience_ms));
            ended(status.map(|status| print!("{}", shown::print_zones(&status, votes))))
        }
        Command::Experiment { file, seeds, csv, json } => {
            experiment(file.as_deref(), seeds, csv.as_deref(), json)
        }
        Command::Check { explain: true, .. } => {
            let mut text = String::new();
            operator::form::explain(&operator::file::FILE, 0, &mut text);
            print!("{text}");
            ExitCode::SUCCESS
        }
        Command::Check { file, .. } => match file.as_deref().map(read) {
            Some(Ok(file)) => {
                println!("{} delivery services, {} hosts, no fault", file.services.len(), file.hosts.len());
                ExitCode::SUCCESS
            }
            _ => ExitCode::from(UNUSABLE),
        },
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "myrtlegauge", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Runs a replica until it is told to end.
fn replica(file: Option<&Path>, log_form: Option<LogForm>) -> ExitCode {
    let Some(Ok(told)) = file.map(read) else { return ExitCode::from(UNUSABLE) };
    operator::logs::start(log_form.map_or(told.log_format, Into::into), told.log_level);
    ended(myrtlegauge_replica::run(&told))
}

fn ended<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("myrtlegauge: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Reads an operator file; all that is wrong with it goes to standard error, a line each.
fn read(path: &Path) -> Result<operator::OperatorFile, ()> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| eprintln!("{name}: {e}"))?;
    operator::read(&text).map_err(|faults| faults.iter().for_each(|fault| eprintln!("{name}:{fault}")))
}

/// Plays an experiment and tells what came of it.
fn experiment(file: Option<&Path>, seeds: Option<u64>, csv: Option<&Path>, json: bool) -> ExitCode {
    let (name, text) = match file {
        Some(path) => (path.display().to_string(), std::fs::read_to_string(path).map_err(|e| e.to_string())),
        None => ("the built-in experiment".to_owned(), Ok(model::experiment::BUILT_IN.to_owned())),
    };
    let read = text.and_then(|text| {
        let lines = |faults: Vec<operator::FileError>| {
            faults.iter().map(|fault| format!("{name}:{fault}")).collect::<Vec<_>>().join("\n")
        };
        model::experiment::read(&text).map_err(lines)
    });
    let mut told = match read {
        Ok(told) => told,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(UNUSABLE);
        }
    };
    told.seeds = seeds.unwrap_or(told.seeds).max(1);
    let results = model::experiment::run(&told, |brain, seed| {
        if !json {
            eprintln!("played {} seed {seed}", brain.name());
        }
    });
    let results = match results {
        Ok(results) => results,
        Err(fault) => return ended(Err(fault)),
    };
    if let Some(path) = csv
        && let Err(e) = std::fs::write(path, results.csv())
    {
        return ended(Err(format!("{}: {e}", path.display())));
    }
    if json {
        println!("{}", results.json());
    } else {
        print!("{}", results.table());
    }
    if results.violations() > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
