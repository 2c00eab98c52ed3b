//! Hollow dispatchers: the shipped change-log client, decision core and membership without clients, many in one process.
//! Each has a thread, an event loop and sockets of its own, as a process of the shipped program has.

mod dispatcher;
mod tally;

use super::messages::{Done, HollowConfig, HollowReport, HollowRequest, HollowStart};
use dispatcher::HollowDispatcher;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use tally::Tally;

/// Bytes of a thread's stack; what is not touched costs no memory.
const STACK: usize = 1024 * 1024;

/// Runs hollow dispatchers as the parent process asks, until it closes standard input.
///
/// # Errors
/// A request that can't be read, a hollow dispatcher that does not start.
pub fn run() -> Result<(), String> {
    let mut fleet = Fleet::default();
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|e| e.to_string())?;
        match serde_json::from_str(&line).map_err(|e| format!("{line}: {e}"))? {
            HollowRequest::Configure(config) => {
                fleet.config = Some(Arc::new(config));
                reply(&Done {});
            }
            HollowRequest::Start { hollows } => {
                for hollow in hollows {
                    fleet.start(hollow)?;
                }
                reply(&Done {});
            }
            HollowRequest::Stop { numbers } => {
                fleet.stop(&numbers);
                reply(&Done {});
            }
            HollowRequest::Report { purges } => reply(&fleet.report(purges)),
        }
    }
    // The parent is gone or done: threads end with the process.
    std::process::exit(0);
}

fn reply(content: &impl Serialize) {
    println!("{}", serde_json::to_string(content).unwrap_or_default());
}

/// One hollow dispatcher that runs.
struct Running {
    thread: JoinHandle<()>,
    ends: Arc<AtomicBool>,
    tally: Arc<Tally>,
}

/// The hollow dispatchers of this process.
#[derive(Default)]
struct Fleet {
    config: Option<Arc<HollowConfig>>,
    running: BTreeMap<usize, Running>,
}

impl Fleet {
    fn start(&mut self, hollow: HollowStart) -> Result<(), String> {
        let config = Arc::clone(self.config.as_ref().ok_or("hollow dispatchers were told no configuration")?);
        let number = hollow.number;
        let (tally, ends) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
        let (its_tally, its_end) = (Arc::clone(&tally), Arc::clone(&ends));
        let life = move || {
            // A hollow dispatcher that fails ends the process: the run counts that as a death.
            if let Err(fault) = HollowDispatcher::live(&config, &hollow, its_tally, &its_end) {
                eprintln!("hollow dispatcher {}: {fault}", hollow.number);
                std::process::exit(1);
            }
        };
        let thread = std::thread::Builder::new().stack_size(STACK).name(format!("hollow-{number}"));
        let thread = thread.spawn(life).map_err(|e| format!("no thread for a hollow dispatcher: {e}"))?;
        self.running.insert(number, Running { thread, ends, tally });
        Ok(())
    }

    fn stop(&mut self, numbers: &[usize]) {
        let stopped: Vec<_> = numbers.iter().filter_map(|number| self.running.remove(number)).collect();
        for hollow in &stopped {
            hollow.ends.store(true, Ordering::Relaxed);
        }
        for hollow in stopped {
            let _ = hollow.thread.join();
        }
    }

    fn report(&self, purges: u64) -> HollowReport {
        let mut report = HollowReport::default();
        let mut in_force = BTreeMap::new();
        for (&number, hollow) in &self.running {
            report.hollows.push(hollow.tally.counts(number, purges));
            for us in hollow.tally.take_in_force() {
                *in_force.entry(u64::from(us)).or_insert(0) += 1;
            }
        }
        report.in_force_us = in_force.into_iter().collect();
        report
    }
}
