//! `myrtlegauge`: the traffic router on sockets. Modules go by layer, each of which knows only those before it:
//! transport, protocol, routing, program.

mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match program::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("myrtlegauge: {fault}");
            ExitCode::FAILURE
        }
    }
}
