//! A dispatcher of another installation, configured by an operator file. It takes GETs as the platform's dispatcher does,
//! and follows control services on zones over gRPC streams. No decisions are made here.

pub mod stream;

use myrtlegauge_dispatcher::program;
use myrtlegauge_dispatcher::routing::{
    Guards, ReplicasStartup, ResourceLimits, Startup, SubscriberDefences, ZoneChannel,
};
use myrtlegauge_membership::driver;
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_wire::protocol::changelog::Changes;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Runs a dispatcher until it is signalled to shut down. On SIGHUP the address of the change log is reloaded.
///
/// # Errors
/// The file configures no dispatcher, or an address cannot be listened on.
pub fn run(path: PathBuf, file: &OperatorFile) -> Result<(), String> {
    run_with(path, file, SubscriberDefences::default())
}

/// Runs a dispatcher with some of the subscriber's defences disabled, for proof runs.
///
/// # Errors
/// The same as those of [`run`].
pub fn run_with(path: PathBuf, file: &OperatorFile, defences: SubscriberDefences) -> Result<(), String> {
    // Precedes the start of any thread: each thread inherits the mask of signals that are kept for the event loop.
    let signals = program::signals()?;
    let dispatcher = file.dispatcher.as_ref().ok_or("the operator file configures no dispatcher")?;
    let zones = if dispatcher.control_services.is_empty() {
        None
    } else {
        let (update_sender, updates) = calloop::channel::channel();
        let stream_settings = stream::StreamSettings {
            name: dispatcher.name.clone(),
            zones: file.zones.iter().map(|zone| zone.name.clone()).collect(),
            services: file.services.clone(),
            control_services: dispatcher.control_services.clone(),
        };
        let reports = stream::start(stream_settings, update_sender)?;
        let report = Box::new(move |report| drop(reports.send(std::sync::Arc::new(report))));
        Some(ZoneChannel { updates, report, report_interval: dispatcher.report_interval })
    };
    let member = dispatcher.peers.as_ref().map(|peers| driver::Startup {
        name: dispatcher.name.clone(),
        fleet: peers.fleet.clone(),
        listen: peers.listen,
        advertised: peers.advertised_address,
        seed_peers: peers.peers.clone(),
        expected_members: peers.origin_sharers,
    });
    let replicas = dispatcher.replicas.map(|replicas| ReplicasStartup {
        name: dispatcher.name.clone(),
        primary: replicas.primary,
        fallback: replicas.fallback,
        doubt_after: replicas.purges_unknown_after,
        seed: fastrand::u64(..),
        defences,
    });
    let startup = Startup {
        listen: dispatcher.listen,
        change_log: dispatcher.change_log,
        known_changes: Changes { last_seq: 0, results: Vec::new() },
        settings: &file.decision_settings,
        seed: fastrand::u64(..),
        resource_limits: ResourceLimits {
            descriptors: dispatcher.max_descriptors,
            memory_bytes: dispatcher.memory_mb << 20,
        },
        guards: Guards::ALL,
        zones,
        member,
        replicas,
    };
    program::serve(signals, &dispatcher.name, startup, move || change_log_address(&path))
}

/// Reads the address of the change log from the operator file.
fn change_log_address(path: &Path) -> Result<SocketAddr, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let file = myrtlegauge_operator::read(&text)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    file.dispatcher
        .map(|dispatcher| dispatcher.change_log)
        .ok_or_else(|| "the operator file configures no dispatcher".into())
}
