//! The stand-ins of all proof runs: hosts with what really binds them, the change log, a client of the dispatcher, the
//! programs as processes, the links between any two of them, and the ledger that judges; and how a proof is run and ends.

pub mod asker;
pub mod between;
pub mod changelog;
pub mod fault_layout;
pub mod fault_page;
pub mod hosts;
pub mod ledger;
pub mod link;
pub mod net;
pub mod process;
pub mod service;

use hosts::Host;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Weight of a host in the list.
const WEIGHT: f64 = 4.0;
/// Exit code where the machine was too busy to judge.
const NOT_JUDGED: u8 = 3;

/// Runs a proof to its end.
pub fn run(prove: impl Future<Output = Result<ExitCode, String>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let held = runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(prove));
    held.unwrap_or_else(|fault| {
        eprintln!("the proof can't be run: {fault}");
        ExitCode::FAILURE
    })
}

/// How a proof ends that held or did not, on a machine that could be judged on or not.
pub fn verdict(held: bool, judged: bool) -> ExitCode {
    match (held, judged) {
        (true, _) => ExitCode::SUCCESS,
        (false, true) => ExitCode::FAILURE,
        (false, false) => ExitCode::from(NOT_JUDGED),
    }
}

/// A listener of a stand-in, at a port of the system's choosing.
pub fn listener() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// A host's line of the list.
pub fn line(host: &Host, status: &str, since_ms: u64) -> String {
    line_of_weight(host, status, since_ms, WEIGHT)
}

/// The same with a weight of its own.
pub fn line_of_weight(host: &Host, status: &str, since_ms: u64, weight: f64) -> String {
    let kind = if host.kind == "cache" { "standard" } else { host.kind };
    json!({"name": host.name, "address": host.address.to_string(), "zone": host.zone, "type": kind, "group": 0,
        "status": status, "weight": weight, "since_ms": since_ms})
    .to_string()
}

/// How late this machine wakes what sleeps.
pub async fn watch(lag: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + Duration::from_millis(5);
        tokio::time::sleep_until(due.into()).await;
        lag.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}
