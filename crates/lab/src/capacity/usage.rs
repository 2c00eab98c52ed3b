//! What the system says that a process uses, as Linux tells it.

use std::fs;
use std::time::Duration;

/// What a process has used so far, and holds now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Time on a processor of all threads that are there, to the nanosecond (`schedstat`).
    pub cpu: Duration,
    /// The same with threads that ended, to ten milliseconds (`stat`: user and system time).
    pub cpu_with_ended: Duration,
    pub memory_kb: u64,
    pub descriptors: usize,
}

/// Length of a tick in which `stat` counts, the same on every Linux.
const TICK: Duration = Duration::from_millis(10);

impl Usage {
    /// What a process uses; nothing of one that is not there.
    pub fn of(id: u32) -> Self {
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        Self {
            cpu: cpu(id),
            cpu_with_ended: cpu_with_ended(id),
            memory_kb: memory.and_then(|m| m.split_whitespace().next()?.parse().ok()).unwrap_or(0),
            descriptors: fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count),
        }
    }
}

fn cpu(id: u32) -> Duration {
    let threads = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let each = threads.filter_map(|thread| {
        let told = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        told.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(each.sum())
}

fn cpu_with_ended(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name, in parentheses, may hold anything; the counts of ticks are the 12th and 13th fields after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    let ticks: u32 = fields.filter_map(|ticks| ticks.parse::<u32>().ok()).sum();
    TICK * ticks
}
