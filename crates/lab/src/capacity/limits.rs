//! What the machine bears, looked at before anything is started: processes, descriptors, memory. No limit is raised.

use super::errors::CapacityError;
use super::size::Size;
use rustix::process::{Resource, getrlimit};

/// Processes of a run, under which it stays whatever the machine allows.
const PROCESSES_MOST: usize = 200;
/// Part of the machine's memory that a run may take.
const MEMORY_PART: f64 = 0.5;
/// Descriptors of a hollow dispatcher: its loop's three, its connection, and the three further dials of a change log that
/// does not answer.
const DESCRIPTORS_EACH: u64 = 7;
/// Descriptors that any of the run's processes needs besides: streams, runtime, listeners.
const DESCRIPTORS_KEPT: u64 = 64;
/// Memory taken for a hollow dispatcher and for each host that it knows, on the safe side of what was measured.
const HOLLOW_KB: u64 = 6 * 1024;
const HOST_KB: u64 = 4;
/// The same for a control process, the change log and the run itself.
const PROCESS_KB: u64 = 40 * 1024;
/// Replicas of a run that has any.
const REPLICAS_LEAST: usize = 3;
/// Connections of a dispatcher to its two replicas, while it falls back.
const CONNECTIONS_TO_REPLICAS: u64 = 2;
/// Processes besides hollow and control ones: the run, the change log.
const OWN_PROCESSES: usize = 2;

/// A limit of the machine under the size asked for, and the size that fits.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitError {
    #[error(
        "{wanted} processes are wanted and a run may have {most}: nothing was started; ask for at most {fits} control \
         processes (--controls)"
    )]
    Processes { wanted: usize, most: usize, fits: usize },
    #[error(
        "{wanted} descriptors are wanted in one process and the system allows {most} (ulimit -n): nothing was started; \
         ask for at most {fits} dispatchers (--dispatchers), or raise the limit before the run"
    )]
    Descriptors { wanted: u64, most: u64, fits: usize },
    #[error(
        "{wanted_mb} MB are wanted and a run may take {most_mb} MB, half of the memory: nothing was started; ask for at \
         most {fits} dispatchers (--dispatchers), or run on a larger machine"
    )]
    Memory { wanted_mb: u64, most_mb: u64, fits: usize },
    #[error(
        "{sources} replicas are to follow the change log and the run has {replicas}: ask for 1 to {replicas} (--sources)"
    )]
    Sources { sources: usize, replicas: usize },
    #[error("a run needs {0}: nothing was started; give a larger number")]
    TooSmall(&'static str),
}

/// What a machine allows.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub descriptors: u64,
    pub memory_kb: u64,
}

impl Machine {
    /// This machine.
    ///
    /// # Errors
    /// A system that does not tell its memory.
    pub fn here() -> Result<Self, CapacityError> {
        let told = std::fs::read_to_string("/proc/meminfo");
        let told = told.map_err(|why| CapacityError::Machine(format!("/proc/meminfo: {why}")))?;
        let total = told.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let memory_kb = total.and_then(|total| total.split_whitespace().next()?.parse().ok());
        let memory_kb =
            memory_kb.ok_or_else(|| CapacityError::Machine("/proc/meminfo tells no MemTotal".into()))?;
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        Ok(Self { descriptors, memory_kb })
    }

    /// Whether a run of this size fits.
    ///
    /// # Errors
    /// The limit that it does not fit under, and the size that fits under all of them.
    pub fn bears(&self, size: &Size) -> Result<(), LimitError> {
        if size.dispatchers == 0 {
            return Err(LimitError::TooSmall("a dispatcher"));
        }
        if size.hosts < super::footprint::HOSTS_LEAST {
            return Err(LimitError::TooSmall("three hosts: a cache, a parent and an origin"));
        }
        if (1..REPLICAS_LEAST).contains(&size.replicas) {
            return Err(LimitError::TooSmall(
                "three replicas, of which a majority is left when one is killed",
            ));
        }
        let needs = Needs::of(size);
        let dispatchers = || self.largest(size.dispatchers, |dispatchers| Size { dispatchers, ..*size });
        if needs.processes >= PROCESSES_MOST {
            let fits = self.largest(size.controls, |controls| Size { controls, ..*size });
            return Err(LimitError::Processes { wanted: needs.processes, most: PROCESSES_MOST, fits });
        }
        if needs.descriptors > self.descriptors {
            let (wanted, most) = (needs.descriptors, self.descriptors);
            return Err(LimitError::Descriptors { wanted, most, fits: dispatchers() });
        }
        if needs.memory_kb > self.memory_most_kb() {
            let (wanted_mb, most_mb) = (needs.memory_kb >> 10, self.memory_most_kb() >> 10);
            return Err(LimitError::Memory { wanted_mb, most_mb, fits: dispatchers() });
        }
        Ok(())
    }

    fn memory_most_kb(&self) -> u64 {
        (self.memory_kb as f64 * MEMORY_PART) as u64
    }

    fn fits(&self, size: &Size) -> bool {
        let needs = Needs::of(size);
        needs.processes < PROCESSES_MOST
            && needs.descriptors <= self.descriptors
            && needs.memory_kb <= self.memory_most_kb()
    }

    /// The largest number under `wanted` with which a size fits under all limits, found by halves; zero if none does.
    fn largest(&self, wanted: usize, size: impl Fn(usize) -> Size) -> usize {
        let (mut fits, mut over) = (0, wanted);
        while over - fits > 1 {
            let half = fits + (over - fits) / 2;
            if self.fits(&size(half)) { fits = half } else { over = half }
        }
        fits
    }
}

/// Connections of the replica that holds most: its own dispatchers, those of a neighbour that is gone, the other replicas
/// both ways.
fn in_a_replica(size: &Size) -> u64 {
    let replicas = size.replicas as u64;
    let attached = size.dispatchers.checked_div(size.replicas).map_or(0, |share| share as u64 + 1);
    attached * CONNECTIONS_TO_REPLICAS + 2 * replicas
}

/// What a size needs.
struct Needs {
    processes: usize,
    /// Of the process that holds most: the change log a connection of each dispatcher, a hollow process all of its share.
    descriptors: u64,
    memory_kb: u64,
}

impl Needs {
    fn of(size: &Size) -> Self {
        let (dispatchers, hollow_processes) = (size.dispatchers as u64, size.hollow_processes());
        let processes = hollow_processes + size.controls + size.replicas + OWN_PROCESSES;
        let in_the_log = dispatchers + 2 * (size.controls + size.replicas) as u64;
        let in_a_process = dispatchers.div_ceil(hollow_processes as u64) * DESCRIPTORS_EACH;
        let each_kb = HOLLOW_KB + size.hosts as u64 * HOST_KB;
        Self {
            processes,
            descriptors: in_the_log.max(in_a_process).max(in_a_replica(size)) + DESCRIPTORS_KEPT,
            memory_kb: processes as u64 * PROCESS_KB + dispatchers * each_kb,
        }
    }
}

#[cfg(test)]
mod tests;
