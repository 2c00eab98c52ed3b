//! A dispatcher of another installation: told in an operator file, it takes GETs as the platform's does, and follows control
//! services on zones over the streams that they speak. Nothing is decided here.

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

/// Runs a dispatcher until it is told to end. SIGHUP reads where the change log is again.
///
/// # Errors
/// A file without a dispatcher in it, an address that can't be listened on.
pub fn run(path: PathBuf, file: &OperatorFile) -> Result<(), String> {
    run_with(path, file, SubscriberDefences::default())
}

/// The same with some of the subscriber's defences switched off, for proofs.
///
/// # Errors
/// As of [`run`].
pub fn run_with(path: PathBuf, file: &OperatorFile, defences: SubscriberDefences) -> Result<(), String> {
    // Before any thread is started: each takes over which signals are kept for the loop.
    let signals = program::signals()?;
    let told = file.dispatcher.as_ref().ok_or("the file tells of no dispatcher")?;
    let zones = if told.control_services.is_empty() {
        None
    } else {
        let (says, updates) = calloop::channel::channel();
        let following = stream::Following {
            name: told.name.clone(),
            zones: file.zones.iter().map(|zone| zone.name.clone()).collect(),
            services: file.services.clone(),
            to: told.control_services.clone(),
        };
        let reports = stream::start(following, says)?;
        let report = Box::new(move |report| drop(reports.send(std::sync::Arc::new(report))));
        Some(ZoneChannel { updates, report, report_interval: told.report_interval })
    };
    let member = told.peers.as_ref().map(|peers| driver::Startup {
        name: told.name.clone(),
        fleet: peers.fleet.clone(),
        listen: peers.listen,
        reached_at: peers.advertised_address,
        peers: peers.peers.clone(),
        told: peers.origin_sharers,
    });
    let replicas = told.replicas.map(|replicas| ReplicasStartup {
        name: told.name.clone(),
        primary: replicas.primary,
        fallback: replicas.fallback,
        doubt_after: replicas.purges_unknown_after,
        seed: fastrand::u64(..),
        defences,
    });
    let startup = Startup {
        listen: told.listen,
        change_log: told.change_log,
        known_changes: Changes { last_seq: 0, results: Vec::new() },
        settings: &file.decision_settings,
        seed: fastrand::u64(..),
        resource_limits: ResourceLimits {
            descriptors: told.max_descriptors,
            memory_bytes: told.memory_mb << 20,
        },
        guards: Guards::ALL,
        zones,
        member,
        replicas,
    };
    program::serve(signals, &told.name, startup, move || change_log(&path))
}

fn change_log(path: &Path) -> Result<SocketAddr, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let file = myrtlegauge_operator::read(&text)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
    file.dispatcher.map(|told| told.change_log).ok_or_else(|| "the file tells of no dispatcher".into())
}
