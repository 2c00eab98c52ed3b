//! `myrtlegauge`: the traffic router on sockets.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match myrtlegauge_dispatcher::program::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("myrtlegauge: {fault}");
            ExitCode::FAILURE
        }
    }
}
