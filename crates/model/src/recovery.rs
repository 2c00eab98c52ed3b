//! The time to full service after a fault, from what clients got: the same verdict for the model and for processes.

use std::time::Duration;

/// Service is looked at by half seconds.
pub const BIN: Duration = Duration::from_millis(500);
/// It is full again once each half second stays within this of before, for so long.
pub const WITHIN: f64 = 0.02;
pub const FOR: Duration = Duration::from_secs(10);

/// GETs due in one half second.
#[derive(Clone, Copy, Default, Debug)]
pub struct Bin {
    pub due: u32,
    pub in_time: u32,
    pub late: u32,
    pub shed: u32,
    pub errored: u32,
}

impl Bin {
    pub fn share(&self) -> f64 {
        if self.due == 0 { 1.0 } else { f64::from(self.in_time) / f64::from(self.due) }
    }
}

/// What came back after a fault, and when.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Share in time before the fault.
    pub before: f64,
    /// From the fault on to the first moment from which service stays full.
    pub full_after: Option<Duration>,
    /// GETs that were not returned in time from the fault on, beyond those of before.
    pub lost: u32,
    pub worst: f64,
    /// Falls after service had been full for a second.
    pub falls: u32,
    /// How long was looked at from the fault on.
    pub seen: Duration,
}

pub fn recovery(bins: &[Bin], fault: Duration) -> Recovery {
    let at = fault.div_duration_f64(BIN) as usize;
    let (before, after) = bins.split_at(at.min(bins.len()));
    // What was warming up at the start of the run is no measure.
    let before = &before[before.len() / 2..];
    let sum = |of: fn(&Bin) -> u32, bins: &[Bin]| bins.iter().map(of).sum::<u32>();
    let share = f64::from(sum(|b| b.in_time, before)) / f64::from(sum(|b| b.due, before).max(1));
    // One GET more or less in a half second with few is no fall.
    let full = |bin: &Bin| {
        let missed = (share - WITHIN) * f64::from(bin.due) - f64::from(bin.in_time);
        missed <= if f64::from(bin.due) * WITHIN < 1.0 { 1.0 } else { 0.0 }
    };
    let mut from = 0;
    for (n, bin) in after.iter().enumerate() {
        if !full(bin) {
            from = n + 1;
        }
    }
    let stays = BIN * (after.len() - from) as u32;
    let mut falls = 0;
    let (mut well, mut has_been_full) = (0, false);
    for bin in after {
        if full(bin) {
            well += 1;
            has_been_full |= well >= 2;
        } else {
            falls += u32::from(has_been_full && well >= 2);
            well = 0;
        }
    }
    let expected = share * f64::from(sum(|b| b.due, after));
    Recovery {
        before: share,
        full_after: (stays >= FOR).then_some(BIN * from as u32),
        lost: (expected - f64::from(sum(|b| b.in_time, after))).max(0.0).round() as u32,
        worst: after.iter().map(Bin::share).fold(1.0, f64::min),
        falls,
        seen: BIN * after.len() as u32,
    }
}

#[cfg(test)]
mod tests {
    use super::{BIN, Bin, recovery};
    use std::time::Duration;

    fn bin(in_time: u32) -> Bin {
        Bin { due: 100, in_time, ..Bin::default() }
    }

    /// A second fall counts, and full service is from after it; too short a rest is no verdict.
    #[test]
    fn a_second_fall_moves_full_service_and_a_short_rest_is_none() {
        let mut bins = vec![bin(100); 8];
        bins.extend([bin(40), bin(90), bin(100), bin(100), bin(99), bin(60), bin(99)]);
        bins.extend(vec![bin(99); 20]);
        let told = recovery(&bins, BIN * 8);
        assert_eq!(told.full_after, Some(Duration::from_secs(3)));
        assert_eq!((told.falls, told.lost), (1, 132));
        assert_eq!(recovery(&bins[..20], BIN * 8).full_after, None);
    }
}
