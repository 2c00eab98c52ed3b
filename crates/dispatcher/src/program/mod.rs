//! The program around the router: what it is told at the start and on SIGHUP, its loop, its signals.

mod start;
mod usage;

pub use start::{ConfigFile, moved};

use crate::routing::{Dispatcher, Guards, Startup};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use std::net::SocketAddr;

/// The signals that a dispatcher takes; the system keeps them for its loop from the call on.
///
/// Called before anything else is done: SIGHUP ends a process that has not asked for it, and what is told anew while the
/// first configuration is read would be missed.
pub fn signals() -> Result<Signals, String> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])
        .map_err(|e| format!("signals can't be watched: {e}"))
}

pub fn run() -> Result<(), String> {
    run_with(Guards::ALL)
}

/// The same with these guards: a proof leaves one out.
pub fn run_with(guards: Guards) -> Result<(), String> {
    let signals = signals()?;
    let text = start::read()?;
    let told = start::ConfigFile::parse(&text)?;
    let started = text.clone();
    let reread = move || {
        let (changelog, kept) = start::read().and_then(|text| moved(&started, &text))?;
        if !kept.is_empty() {
            log::warn!("read anew: {} can't change while running, kept as it was", kept.join(", "));
        }
        Ok(changelog)
    };
    serve(signals, &told.name, Startup { guards, ..told.startup()? }, reread)
}

/// Takes GETs until it is told to end. `reread` says at SIGHUP where the change log is by what was told anew.
pub fn serve(
    signals: Signals,
    name: &str,
    startup: Startup<'_>,
    reread: impl Fn() -> Result<SocketAddr, String> + 'static,
) -> Result<(), String> {
    let mut turns = EventLoop::<Dispatcher>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let watched = turns.handle().insert_source(signals, move |signal, _, dispatcher| match signal.signal() {
        Signal::SIGUSR1 => report(dispatcher),
        Signal::SIGHUP => follow(dispatcher, reread()),
        _ => dispatcher.stop(),
    });
    watched.map_err(|e| format!("signals can't be watched: {e}"))?;
    let mut dispatcher = Dispatcher::start(turns.handle(), startup)?;
    let address = dispatcher.address().map_err(|e| format!("the listener has no address: {e}"))?;
    log::info!("{name} listens on {address}");
    while !dispatcher.is_done() {
        turns
            .dispatch(dispatcher.poll_timeout(), &mut dispatcher)
            .map_err(|e| format!("the event loop: {e}"))?;
        dispatcher.process_events();
    }
    report(&dispatcher);
    Ok(())
}

/// Follows the change log that was named anew; what can't be used changes nothing.
fn follow(dispatcher: &mut Dispatcher, moved: Result<SocketAddr, String>) {
    match &moved {
        Ok(changelog) => log::info!("read anew: the change log is at {changelog}"),
        Err(fault) => log::error!("not read anew, what was known stays: {fault}"),
    }
    dispatcher.set_change_log_address(moved.ok());
}

fn report(dispatcher: &Dispatcher) {
    dispatcher.report();
    log::info!("{}", usage::line(dispatcher.gets_taken()));
}
