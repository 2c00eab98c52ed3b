//! Estimates the current latency of transfers from an origin or a cache from a fixed delay and a slope by size.

use std::time::Duration;

/// Weight of a transfer of mean size in the slope and in the initial delay.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Time in which the weight of past observations falls by half.
const HALF_LIFE_S: f64 = 2.0;
/// Weight of a new value in the mean sending time.
const MEAN_WEIGHT: f64 = 0.1;
/// Shortest sending time from which a slope is computed.
const MIN_SENDING_S: f64 = 1e-3;

/// Linear model of latency: `wait_s + slope * sending_s`. Decays to the plain sending time while nothing is observed.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    /// Delay of every transfer before sending.
    wait_s: f64,
    /// Ratio of the latency beyond the initial delay to the sending time.
    slope: f64,
    /// Mean sending time of the transfers observed.
    mean_sending_s: f64,
    observed_at: Duration,
}

impl LatencyEstimator {
    /// Expected latency, in seconds, of a transfer with the given sending time.
    ///
    /// ```
    /// use myrtlegauge_recovery::LatencyEstimator;
    /// use std::time::Duration;
    ///
    /// let (mut latency, now) = (LatencyEstimator::default(), Duration::from_secs(9));
    /// assert_eq!(latency.estimate_s(0.2, now), 0.2);
    /// latency.record(1.0, 0.5, 0.2, now);
    /// assert!(latency.estimate_s(0.2, now) > 0.3);
    /// // The observation has decayed ten seconds later.
    /// assert!(latency.estimate_s(0.2, now + Duration::from_secs(10)) < 0.21);
    /// ```
    pub fn estimate_s(&self, sending_s: f64, now: Duration) -> f64 {
        let retained = 0.5f64.powf(now.saturating_sub(self.observed_at).as_secs_f64() / HALF_LIFE_S);
        self.wait_s * retained + sending_s * (1.0 + (self.slope - 1.0).max(0.0) * retained)
    }

    /// Records the duration of a transfer and how much of it was spent waiting. The transfer may still be running.
    pub fn record(&mut self, duration_s: f64, wait_s: f64, sending_s: f64, now: Duration) {
        let old_wait_s = self.estimate_s(0.0, now);
        let old_slope = self.estimate_s(1.0, now) - old_wait_s;
        let weight = (OBSERVATION_WEIGHT * sending_s / self.mean_sending_s.max(sending_s)).min(1.0);
        self.mean_sending_s += if self.mean_sending_s > 0.0 {
            MEAN_WEIGHT * (sending_s - self.mean_sending_s)
        } else {
            sending_s
        };
        let slope = (duration_s - wait_s).max(0.0) / sending_s.max(MIN_SENDING_S);
        self.slope = old_slope + weight * (slope - old_slope);
        (self.wait_s, self.observed_at) = (old_wait_s + OBSERVATION_WEIGHT * (wait_s - old_wait_s), now);
    }
}
