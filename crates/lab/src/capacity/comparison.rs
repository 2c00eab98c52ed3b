//! Hollow dispatchers held against real ones, at one size, in one window, at one change log.

use super::errors::CapacityError;
use super::fleet::Conditions;
use super::point::{self, PointFigures, Timing};
use super::size::Size;
use serde::Serialize;

/// Sizes of the comparison, in full and in the small form.
const FULL: (Size, usize) =
    (Size { dispatchers: 50, hosts: 32, purges_per_second: 20.0, controls: 0, replicas: 0 }, 8);
const QUICK: (Size, usize) =
    (Size { dispatchers: 10, hosts: 16, purges_per_second: 20.0, controls: 0, replicas: 0 }, 2);
/// How far hollow ones may be off, of what real ones cost.
const BYTES_OFF: f64 = 0.05;
const MEMORY_OFF: f64 = 0.25;
const CPU_OFF: f64 = 0.25;
/// The real ones' window is longer: few of them use little.
const WINDOWS: u32 = 2;

/// What hollow and real dispatchers cost beside each other.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    pub reals: usize,
    pub figures: PointFigures,
    /// Part by which a hollow one is off the real one; below zero it costs less.
    pub bytes_off: f64,
    pub cpu_off: f64,
    /// The growth of memory by one hollow one, beside a real process whole.
    pub memory_off: f64,
    /// The same with the fixed memory of a hollow one's process.
    pub memory_alone_off: f64,
    /// A hollow one with a process to itself, beside the real one: what is left is by the parts that it lacks.
    pub lone_cpu_off: f64,
    pub lone_memory_off: f64,
    pub bytes_agree: bool,
    pub cpu_agrees: bool,
    pub memory_agrees: bool,
}

/// The size that is compared at, with its real dispatchers.
pub fn size(quick: bool) -> (Size, usize) {
    if quick { QUICK } else { FULL }
}

/// Plays both beside each other.
///
/// # Errors
/// A fleet that does not start, or breaks off.
pub async fn play(quick: bool, conditions: Conditions, timing: Timing) -> Result<Comparison, CapacityError> {
    let (size, reals) = size(quick);
    let timing = Timing { window: timing.window * WINDOWS, ..timing };
    let mut figures = point::play(size, Conditions { reals, lones: reals, ..conditions }, timing).await?;
    let real = figures.real.unwrap_or_default();
    let (hollow, lone) = (figures.dispatcher, figures.lone.unwrap_or_default());
    let bytes_off = off(hollow.bytes_per_second, real.bytes_per_second);
    let cpu_off = off(hollow.cpu_percent, real.cpu_percent);
    let memory_alone_off = off(figures.memory_alone_kb(), real.memory_kb);
    let bytes_agree = bytes_off.abs() <= BYTES_OFF;
    if !bytes_agree {
        figures
            .breaks
            .push(format!("hollow dispatchers' bytes are {:.1}% off the real ones'", bytes_off * 100.0));
    }
    Ok(Comparison {
        reals,
        figures,
        bytes_off,
        cpu_off,
        memory_off: off(hollow.memory_kb, real.memory_kb),
        memory_alone_off,
        lone_cpu_off: off(lone.cpu_percent, real.cpu_percent),
        lone_memory_off: off(lone.memory_kb, real.memory_kb),
        bytes_agree,
        cpu_agrees: cpu_off.abs() <= CPU_OFF,
        memory_agrees: memory_alone_off.abs() <= MEMORY_OFF,
    })
}

fn off(hollow: f64, real: f64) -> f64 {
    hollow / real.max(f64::MIN_POSITIVE) - 1.0
}
