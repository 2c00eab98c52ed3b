//! The results of a run.

use crate::recovery::{BIN_WIDTH, Bin, Recovery, recovery};
use crate::world::World;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Steps per bin in which the load of the origin is counted.
const LOAD_STEPS_PER_BIN: u32 = 5;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// Counts of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    pub gets: u64,
    pub returned: u64,
    pub in_time: u64,
    pub shed: u64,
    pub errored: u64,
    pub hits: u64,
    pub fills: u64,
    pub origin_fills: u64,
    pub forwards: u64,
    pub events: u64,
    /// Time until an answer.
    pub latency_us: Histogram<u64>,
    /// Number of violations by rule.
    pub violations: BTreeMap<&'static str, u64>,
    pub first_violations: Vec<String>,
    /// Recovery from the first fault.
    pub recovery: Recovery,
    /// Maximum number of fills that reached the origin in half a second after the first fault, relative to its capacity.
    pub origin_peak: f64,
}

impl Figures {
    pub(super) fn new() -> Result<Self, String> {
        Ok(Self {
            gets: 0,
            returned: 0,
            in_time: 0,
            shed: 0,
            errored: 0,
            hits: 0,
            fills: 0,
            origin_fills: 0,
            forwards: 0,
            events: 0,
            latency_us: Histogram::new(LATENCY_DIGITS).map_err(|error| error.to_string())?,
            violations: BTreeMap::new(),
            first_violations: Vec::new(),
            recovery: Recovery::default(),
            origin_peak: 0.0,
        })
    }

    /// Fraction of requests answered within their objectives.
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.gets.max(1) as f64
    }
}

/// Outcomes of requests and the load of the origin over the time of a run.
pub(super) struct TimeSeries {
    start: Duration,
    bins: Vec<Bin>,
    origin_fills: Vec<u32>,
}

impl TimeSeries {
    pub(super) fn new(start: Duration, duration: Duration) -> Self {
        let steps = |step: Duration| duration.div_duration_f64(step).ceil() as usize;
        Self {
            start,
            bins: vec![Bin::default(); steps(BIN_WIDTH)],
            origin_fills: vec![0; steps(load_step())],
        }
    }

    /// The bin of a time; none after the end of the run.
    pub(super) fn bin(&mut self, at: Duration) -> Option<&mut Bin> {
        self.bins.get_mut(at.saturating_sub(self.start).div_duration_f64(BIN_WIDTH) as usize)
    }

    /// Counts a fill that arrived at the origin.
    pub(super) fn count_origin_fill(&mut self, at: Duration) {
        let step = (at - self.start).div_duration_f64(load_step()) as usize;
        if let Some(count) = self.origin_fills.get_mut(step) {
            *count += 1;
        }
    }

    /// Recovery from a fault at this time since the start.
    pub(super) fn recovery(&self, fault: Duration) -> Recovery {
        recovery(&self.bins, fault)
    }

    /// Maximum number of fills that reached the origin in half a second after a fault, relative to its capacity.
    pub(super) fn origin_peak(&self, fault: Duration, world: &World) -> f64 {
        let first = fault.div_duration_f64(load_step()) as usize;
        let after = &self.origin_fills[first.min(self.origin_fills.len())..];
        let windows = after.windows(LOAD_STEPS_PER_BIN as usize);
        let max_fills = windows.map(|window| window.iter().sum::<u32>()).max().unwrap_or(0);
        let capacity = world.origin_slots as f64 * BIN_WIDTH.div_duration_f64(world.origin_fill_time);
        f64::from(max_fills) / capacity
    }
}

fn load_step() -> Duration {
    BIN_WIDTH / LOAD_STEPS_PER_BIN
}
