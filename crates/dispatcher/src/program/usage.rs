//! Resource usage of this process, from `/proc` on Linux.

use crate::routing::process_status;
use std::fs;

/// Unit in which the kernel reports processor time, the same on every Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Summarizes in one line the peak of memory, the current number of descriptors, and the processor time in total and
/// per received GET.
pub fn summary(received_gets: u64) -> String {
    let peak_memory = process_status("VmHWM:").unwrap_or_else(|| "unknown".to_owned());
    let descriptors = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name, in parentheses, may contain any character. The user and system time in ticks are the 12th and
    // 13th fields after it.
    let cpu_ticks = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    let cpu_s = cpu_ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / CLOCK_TICKS_PER_SECOND;
    let us_per_get = cpu_s * 1e6 / received_gets.max(1) as f64;
    format!(
        "used: memory at most {peak_memory}, {descriptors} descriptors, {cpu_s:.2} s of CPU, {us_per_get:.0} us a GET"
    )
}
