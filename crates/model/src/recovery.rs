//! Computes the time to full service after a fault from the outcomes of GETs, in the same way for the model and for
//! processes.

use std::time::Duration;

/// Width of a bin in which outcomes are counted.
pub const BIN_WIDTH: Duration = Duration::from_millis(500);
/// Service is full again once the fraction in time of every bin stays within this tolerance of the fraction before the
/// fault.
pub const FULL_SERVICE_TOLERANCE: f64 = 0.02;
/// Minimum duration of full service at the end of the run.
pub const MIN_FULL_SERVICE: Duration = Duration::from_secs(10);

/// Outcomes of the GETs that were due in one bin.
#[derive(Clone, Copy, Default, Debug)]
pub struct Bin {
    pub due: u32,
    pub in_time: u32,
    pub late: u32,
    pub shed: u32,
    pub errored: u32,
}

impl Bin {
    /// Fraction of the GETs that were returned in time.
    pub fn in_time_fraction(&self) -> f64 {
        if self.due == 0 { 1.0 } else { f64::from(self.in_time) / f64::from(self.due) }
    }
}

/// The recovery of service after a fault.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Fraction in time before the fault.
    pub fraction_before: f64,
    /// Time from the fault to the moment from which service stays full.
    pub full_after: Option<Duration>,
    /// GETs after the fault that were not returned in time, beyond the number expected from before the fault.
    pub lost: u32,
    /// Lowest fraction in time of a bin after the fault.
    pub worst_fraction: f64,
    /// Number of drops in service after it had been full for a second.
    pub relapses: u32,
    /// Observed time after the fault.
    pub observed: Duration,
}

/// Computes the recovery from a fault at this time since the first bin.
pub fn recovery(bins: &[Bin], fault: Duration) -> Recovery {
    let fault_bin = fault.div_duration_f64(BIN_WIDTH) as usize;
    let (before, after) = bins.split_at(fault_bin.min(bins.len()));
    // The first half is left out, since it includes the warm-up at the start of the run.
    let before = &before[before.len() / 2..];
    let sum = |count: fn(&Bin) -> u32, bins: &[Bin]| bins.iter().map(count).sum::<u32>();
    let fraction_before =
        f64::from(sum(|bin| bin.in_time, before)) / f64::from(sum(|bin| bin.due, before).max(1));
    // In a bin with few GETs, a single missed GET does not count.
    let is_full = |bin: &Bin| {
        let missed = (fraction_before - FULL_SERVICE_TOLERANCE) * f64::from(bin.due) - f64::from(bin.in_time);
        missed <= if f64::from(bin.due) * FULL_SERVICE_TOLERANCE < 1.0 { 1.0 } else { 0.0 }
    };
    let mut first_full_bin = 0;
    for (index, bin) in after.iter().enumerate() {
        if !is_full(bin) {
            first_full_bin = index + 1;
        }
    }
    let full_for = BIN_WIDTH * (after.len() - first_full_bin) as u32;
    let mut relapses = 0;
    let (mut full_bins, mut has_been_full) = (0, false);
    for bin in after {
        if is_full(bin) {
            full_bins += 1;
            has_been_full |= full_bins >= 2;
        } else {
            relapses += u32::from(has_been_full && full_bins >= 2);
            full_bins = 0;
        }
    }
    let expected = fraction_before * f64::from(sum(|bin| bin.due, after));
    Recovery {
        fraction_before,
        full_after: (full_for >= MIN_FULL_SERVICE).then_some(BIN_WIDTH * first_full_bin as u32),
        lost: (expected - f64::from(sum(|bin| bin.in_time, after))).max(0.0).round() as u32,
        worst_fraction: after.iter().map(Bin::in_time_fraction).fold(1.0, f64::min),
        relapses,
        observed: BIN_WIDTH * after.len() as u32,
    }
}

#[cfg(test)]
mod tests {
    use super::{BIN_WIDTH, Bin, recovery};
    use std::time::Duration;

    fn bin(in_time: u32) -> Bin {
        Bin { due: 100, in_time, ..Bin::default() }
    }

    /// A second drop counts as a relapse and full service starts after it. If the rest of the run is too short, there is no
    /// time of full service.
    #[test]
    fn a_relapse_delays_full_service_and_a_short_rest_gives_no_time() {
        let mut bins = vec![bin(100); 8];
        bins.extend([bin(40), bin(90), bin(100), bin(100), bin(99), bin(60), bin(99)]);
        bins.extend(vec![bin(99); 20]);
        let result = recovery(&bins, BIN_WIDTH * 8);
        assert_eq!(result.full_after, Some(Duration::from_secs(3)));
        assert_eq!((result.relapses, result.lost), (1, 132));
        assert_eq!(recovery(&bins[..20], BIN_WIDTH * 8).full_after, None);
    }
}
