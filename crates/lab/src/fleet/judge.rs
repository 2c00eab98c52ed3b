//! What a run came to, from what clients and stand-ins saw: service over time, and what sources were asked for beside what
//! they bear.

use super::front::{Got, How};
use crate::stand::hosts::{Arrived, STEP};
pub use myrtlegauge_model::recovery::{BIN_WIDTH, Bin, Recovery, recovery};
use std::time::Duration;

pub fn bins(got: &[Got], long: Duration) -> Vec<Bin> {
    let mut bins = vec![Bin::default(); long.div_duration_f64(BIN_WIDTH) as usize];
    for got in got {
        let Some(bin) = bins.get_mut(got.due.at.div_duration_f64(BIN_WIDTH) as usize) else { continue };
        bin.due += 1;
        match got.how {
            How::InTime => bin.in_time += 1,
            How::Late => bin.late += 1,
            How::Shed => bin.shed += 1,
            How::Errored | How::Lost => bin.errored += 1,
        }
    }
    bins
}

/// The most that a source was asked for in any half second, over what it bears in one; and at once.
pub fn peak(steps: &[Arrived], bears: f64) -> (f64, usize) {
    let each = (BIN_WIDTH.as_millis() / STEP.as_millis()) as usize;
    let asked = steps.windows(each).map(|w| w.iter().map(|step| step.work).sum::<f64>());
    let most = asked.fold(0.0, f64::max) / (bears * BIN_WIDTH.as_secs_f64());
    (most, steps.iter().map(|step| step.at_once).max().unwrap_or(0))
}
