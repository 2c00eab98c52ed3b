//! What clients and stand-ins observed in a run, and the figures drawn from it.

use super::bound::{self, Known};
use super::front::{Due, Got, How};
use super::judge::{self, Bin, Recovery};
use super::servers::{CACHE_WORK, ORIGIN_WORK};
use super::testbed::{CopyLoss, Lifetime};
use super::workload::objects;
use super::zones::ObservedVerdict;
use super::{Fault, Scenario, Script};
use crate::stand::hosts::{Arrived, FRESH_MS};
use std::time::Duration;

/// Fractional part of the golden ratio: spreads the ages of copies evenly.
const GOLDEN_RATIO: f64 = 0.618_034;

/// The observations of a run. Times are since the first request.
pub struct RunResult {
    /// The end of each request, as its client saw it.
    pub outcomes: Vec<Got>,
    pub requests: Vec<Due>,
    pub origin_load: Vec<Arrived>,
    pub parent_loads: Vec<Vec<Arrived>>,
    /// Seconds of work per second that a parent can do.
    pub parent_capacity: f64,
    /// The processes of each dispatcher.
    pub lifetimes: Vec<Vec<Lifetime>>,
    /// Broken guarantees, as text.
    pub violations: Vec<String>,
    pub effects: u64,
    /// How often a cold cache was overloaded and went down.
    pub caches_overloaded: u32,
    /// Retry times that rejections told to clients.
    pub retry_after: Vec<Duration>,
    /// The log of each dispatcher.
    pub logs: Vec<String>,
    /// The longest delay of a timer on this machine.
    pub lag: Duration,
    pub copy_losses: Vec<CopyLoss>,
    /// By zone and dispatcher, when requests came to the caches of the zone.
    pub zone_arrivals: Vec<Vec<Vec<Duration>>>,
    /// By zone and half second, the work asked of its caches over their capacity, which is smaller while they are cold.
    pub zone_loads: Vec<Vec<f64>>,
    /// Verdicts on zones, in the order in which an observer was told them.
    pub verdicts: Vec<ObservedVerdict>,
}

impl RunResult {
    /// The outcomes in half seconds.
    pub fn bins(&self, scenario: &Scenario) -> Vec<Bin> {
        judge::bins(&self.outcomes, scenario.duration)
    }

    /// How service recovered from the first fault.
    pub fn recovery(&self, scenario: &Scenario) -> Recovery {
        judge::recovery(&self.bins(scenario), scenario.fault_at)
    }

    /// The interquartile range of the retry times that clients were told.
    pub fn retry_after_spread(&self) -> Duration {
        let mut times = self.retry_after.clone();
        times.sort_unstable();
        let quartile = |number: usize| times.get(times.len() * number / 4).copied().unwrap_or_default();
        quartile(3).saturating_sub(quartile(1))
    }

    /// Time to full service in ms, as each process that reached it logged it.
    pub fn logged_full_service_ms(&self) -> Vec<i64> {
        let lines = self.logs.iter().flat_map(|log| log.lines());
        let full = lines.filter(|line| line.contains("step=full"));
        let field = |line: &str| line.split("full_ms=").nth(1)?.split(' ').next()?.parse().ok();
        full.filter_map(field).collect()
    }

    /// Which requests were answered in time, in the order of the schedule.
    pub fn in_time(&self) -> Vec<bool> {
        let mut in_time = vec![false; self.requests.len()];
        for outcome in self.outcomes.iter().filter(|outcome| outcome.how == How::InTime) {
            let index = self.requests.partition_point(|request| request.at < outcome.due.at);
            if let Some(answered) = in_time.get_mut(index) {
                *answered = true;
            }
        }
        in_time
    }

    /// Requests after the first fault that the informed bound would have lost.
    pub fn bound_losses(&self, scenario: &Scenario, script: &Script) -> u32 {
        let served = self.bound_in_time(scenario, script);
        let after_fault = self.requests.iter().zip(&served).filter(|(due, _)| due.at >= scenario.fault_at);
        after_fault.filter(|(_, served)| !**served).count() as u32
    }

    /// Which requests the informed bound would have answered in time, in the order of the schedule.
    pub fn bound_in_time(&self, scenario: &Scenario, script: &Script) -> Vec<bool> {
        let down = script.iter().filter_map(|&(at, fault)| match fault {
            Fault::OriginDown { duration } => Some((at, at + duration)),
            _ => None,
        });
        let slowed = script.iter().filter_map(|&(at, fault)| match fault {
            Fault::OriginSlow { factor, duration } => Some((at, at + duration, f64::from(factor))),
            _ => None,
        });
        let fresh = Duration::from_millis(FRESH_MS as u64);
        // Copies of all ages, as at the start of the run.
        let aged = |object: u64| (object, fresh.mul_f64((object as f64 * GOLDEN_RATIO).fract()));
        let known = Known {
            slots: scenario.origin_slots,
            work: ORIGIN_WORK,
            around: CACHE_WORK,
            fresh,
            caches: scenario.caches,
            held: objects().map(aged).collect(),
            emptied: self.copy_losses.clone(),
            dead: down.collect(),
            slowed: slowed.collect(),
        };
        bound::served(&self.requests, &known)
    }
}
