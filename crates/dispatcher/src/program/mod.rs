//! The program around the router: its configuration file, read at the start and on SIGHUP, its event loop and its
//! signals.

mod allocator;
mod start;
mod usage;

pub use start::{ConfigFile, reload};

use crate::routing::{Dispatcher, Guards, Startup};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use std::net::SocketAddr;

/// The signals that a dispatcher handles. From this call on, the operating system queues them for the event loop.
///
/// Has to be called before anything else: SIGHUP ends a process that does not handle it, and a reload requested while
/// the first configuration is read would be missed.
pub fn signals() -> Result<Signals, String> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])
        .map_err(|error| format!("cannot watch signals: {error}"))
}

/// Runs the dispatcher with the configuration file that the environment names, until a signal stops it.
pub fn run() -> Result<(), String> {
    run_with(Guards::ALL)
}

/// Like [`run`], with a choice of guards. Proof runs leave one out.
pub fn run_with(guards: Guards) -> Result<(), String> {
    let signals = signals()?;
    let text = start::read_file()?;
    let config = start::ConfigFile::parse(&text)?;
    let startup_text = text.clone();
    let reload_change_log = move || {
        let (changelog, ignored_fields) = start::read_file().and_then(|text| reload(&startup_text, &text))?;
        if !ignored_fields.is_empty() {
            log::warn!(
                "configuration reload: {} cannot change at run time, keeping the values from the start",
                ignored_fields.join(", ")
            );
        }
        Ok(changelog)
    };
    serve(signals, &config.name, Startup { guards, ..config.startup()? }, reload_change_log)
}

/// Serves GETs until a signal stops the dispatcher. On SIGHUP, `reload_change_log` reads the configuration again and
/// returns the address of the change log.
pub fn serve(
    signals: Signals,
    name: &str,
    startup: Startup<'_>,
    reload_change_log: impl Fn() -> Result<SocketAddr, String> + 'static,
) -> Result<(), String> {
    allocator::keep_memory_of_messages(startup.resource_limits.memory_bytes);
    let mut event_loop = EventLoop::<Dispatcher>::try_new()
        .map_err(|error| format!("cannot create the event loop: {error}"))?;
    let registration =
        event_loop.handle().insert_source(signals, move |signal, _, dispatcher| match signal.signal() {
            Signal::SIGUSR1 => report(dispatcher),
            Signal::SIGHUP => follow_change_log(dispatcher, reload_change_log()),
            _ => dispatcher.stop(),
        });
    registration.map_err(|error| format!("cannot watch signals: {error}"))?;
    let mut dispatcher = Dispatcher::start(event_loop.handle(), startup)?;
    let address =
        dispatcher.address().map_err(|error| format!("cannot read the address of the listener: {error}"))?;
    log::info!("{name} listens on {address}");
    while !dispatcher.is_done() {
        event_loop
            .dispatch(dispatcher.poll_timeout(), &mut dispatcher)
            .map_err(|error| format!("the event loop failed: {error}"))?;
        dispatcher.process_events();
    }
    report(&dispatcher);
    Ok(())
}

/// Switches to the change log of the reloaded configuration. A configuration that can't be used changes nothing.
fn follow_change_log(dispatcher: &mut Dispatcher, reloaded: Result<SocketAddr, String>) {
    match &reloaded {
        Ok(changelog) => log::info!("configuration reloaded, following the change log at {changelog}"),
        Err(error) => log::error!("configuration not reloaded, keeping the previous one: {error}"),
    }
    dispatcher.set_change_log_address(reloaded.ok());
}

/// Logs the counters and the resource usage of the process.
fn report(dispatcher: &Dispatcher) {
    dispatcher.report();
    log::info!("{}", usage::summary(dispatcher.gets_taken()));
}
