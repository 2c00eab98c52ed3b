//! Estimates how long transfers from an origin or a cache take lately: a fixed wait, and a slope by size.

use std::time::Duration;

/// Weight of a transfer of mean size in the slope, and in the wait.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Seconds after which half of what was observed is forgotten.
const HALF_LIFE_S: f64 = 2.0;
/// Weight of a new sending time in their mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Seconds; the shortest sending time that a slope is computed from.
const MIN_SENDING_S: f64 = 1e-3;

/// Linear model of latency: `wait + slope * sending time`. It decays to the plain sending time while nothing is observed.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    /// Seconds that every transfer waits.
    wait: f64,
    /// Latency beyond the wait, over the sending time.
    slope: f64,
    /// Seconds; mean sending time of the transfers observed.
    mean_sending: f64,
    observed_at: Duration,
}

impl LatencyEstimator {
    /// Seconds that a transfer with this sending time, in seconds, is expected to take.
    ///
    /// ```
    /// use myrtlegauge_recovery::LatencyEstimator;
    /// use std::time::Duration;
    ///
    /// let (mut latency, now) = (LatencyEstimator::default(), Duration::from_secs(9));
    /// assert_eq!(latency.estimate_s(0.2, now), 0.2);
    /// latency.record(1.0, 0.5, 0.2, now);
    /// assert!(latency.estimate_s(0.2, now) > 0.3);
    /// // Ten seconds later it is forgotten.
    /// assert!(latency.estimate_s(0.2, now + Duration::from_secs(10)) < 0.21);
    /// ```
    pub fn estimate_s(&self, sending: f64, now: Duration) -> f64 {
        let retained = 0.5f64.powf(now.saturating_sub(self.observed_at).as_secs_f64() / HALF_LIFE_S);
        self.wait * retained + sending * (1.0 + (self.slope - 1.0).max(0.0) * retained)
    }

    /// Records the time that a transfer took and its wait, both in seconds. The transfer may still be running.
    pub fn record(&mut self, took: f64, wait: f64, sending: f64, now: Duration) {
        let old_wait = self.estimate_s(0.0, now);
        let old_slope = self.estimate_s(1.0, now) - old_wait;
        let weight = (OBSERVATION_WEIGHT * sending / self.mean_sending.max(sending)).min(1.0);
        self.mean_sending +=
            if self.mean_sending > 0.0 { MEAN_WEIGHT * (sending - self.mean_sending) } else { sending };
        let slope = (took - wait).max(0.0) / sending.max(MIN_SENDING_S);
        self.slope = old_slope + weight * (slope - old_slope);
        (self.wait, self.observed_at) = (old_wait + OBSERVATION_WEIGHT * (wait - old_wait), now);
    }
}
