//! The program around the router: what it is told at the start and on SIGHUP, its loop, its signals.

mod start;
mod usage;

pub use start::{Told, moved};

use crate::routing::Dispatcher;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};

pub fn run() -> Result<(), String> {
    let text = start::read()?;
    let told = start::Told::parse(&text)?;
    let mut turns = EventLoop::<Dispatcher>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])
        .map_err(|e| format!("signals can't be watched: {e}"))?;
    let started = text.clone();
    let watched = turns.handle().insert_source(signals, move |signal, _, dispatcher| match signal.signal() {
        Signal::SIGUSR1 => report(dispatcher),
        Signal::SIGHUP => reread(dispatcher, &started),
        _ => dispatcher.stop(),
    });
    watched.map_err(|e| format!("signals can't be watched: {e}"))?;
    let mut dispatcher = Dispatcher::start(turns.handle(), told.posting()?)?;
    let address = dispatcher.address().map_err(|e| format!("the listener has no address: {e}"))?;
    log::info!("{} listens on {address}", told.name);
    while !dispatcher.is_done() {
        turns.dispatch(dispatcher.patience(), &mut dispatcher).map_err(|e| format!("the event loop: {e}"))?;
        dispatcher.turn();
    }
    report(&dispatcher);
    Ok(())
}

/// Follows the change log that the file names now; an unusable file changes nothing.
fn reread(dispatcher: &mut Dispatcher, started: &str) {
    let moved = start::read().and_then(|text| moved(started, &text));
    match &moved {
        Ok((changelog, kept)) => {
            log::info!("read anew: the change log is at {changelog}");
            if !kept.is_empty() {
                log::warn!("read anew: {} can't change while running, kept as it was", kept.join(", "));
            }
        }
        Err(fault) => log::error!("not read anew, what was known stays: {fault}"),
    }
    dispatcher.follow(moved.ok().map(|(changelog, _)| changelog));
}

fn report(dispatcher: &Dispatcher) {
    dispatcher.report();
    log::info!("{}", usage::line(dispatcher.taken()));
}
