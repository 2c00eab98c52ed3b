//! The program around the router: what it is told at the start, its loop, its signals.

mod start;
mod usage;

pub use start::Told;

use crate::routing::Dispatcher;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};

pub fn run() -> Result<(), String> {
    let text = start::read()?;
    let told = start::Told::parse(&text)?;
    let mut turns = EventLoop::<Dispatcher>::try_new().map_err(|e| format!("no event loop: {e}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1])
        .map_err(|e| format!("signals can't be watched: {e}"))?;
    let watched = turns.handle().insert_source(signals, |signal, _, dispatcher| match signal.signal() {
        Signal::SIGUSR1 => report(dispatcher),
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

fn report(dispatcher: &Dispatcher) {
    dispatcher.report();
    log::info!("{}", usage::line(dispatcher.taken()));
}
