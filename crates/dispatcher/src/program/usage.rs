//! What the system says that this process has used, as Linux tells it.

use std::fs;

/// Ticks a second in which the system counts a process's time, the same on every Linux.
const TICKS: f64 = 100.0;

/// One line: the peak of memory, descriptors now, and processor time, in all and for each GET taken.
pub fn line(taken: u64) -> String {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).map_or("unknown", str::trim);
    let descriptors = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name, in parentheses, may hold anything; the counts of ticks are the 12th and 13th fields after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    let seconds = fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS;
    let each = seconds * 1e6 / taken.max(1) as f64;
    format!(
        "used: memory at most {peak}, {descriptors} descriptors, {seconds:.2} s of CPU, {each:.0} us a GET"
    )
}
