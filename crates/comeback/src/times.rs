//! How long what a source or a cache sends takes lately: a wait that all of it has, and a pace by which its size counts.

use std::time::Duration;

/// Weight of a fill of mean size in its source's pace, and s in which what was seen is half forgotten.
const PACE_BLEND: f64 = 0.2;
const PACE_HALVES: f64 = 2.0;
/// Weight of a new sending time in their mean.
const BLEND: f64 = 0.1;

/// Wait, s, times the sending time that transfers take, their mean sending time, s, and when the last one was seen.
#[derive(Clone, Debug, Default)]
pub struct Times {
    wait: f64,
    pace: f64,
    sending: f64,
    at: Duration,
}

impl Times {
    /// What a transfer of a sending time takes, s, as seen lately; of nothing seen, its sending time.
    ///
    /// ```
    /// use myrtlegauge_comeback::Times;
    /// use std::time::Duration;
    ///
    /// let (mut times, now) = (Times::default(), Duration::from_secs(9));
    /// assert_eq!(times.of(0.2, now), 0.2);
    /// times.learn(1.0, 0.5, 0.2, now);
    /// assert!(times.of(0.2, now) > 0.3);
    /// // Ten seconds later it is forgotten.
    /// assert!(times.of(0.2, now + Duration::from_secs(10)) < 0.21);
    /// ```
    pub fn of(&self, sending: f64, now: Duration) -> f64 {
        let lately = 0.5f64.powf(now.saturating_sub(self.at).as_secs_f64() / PACE_HALVES);
        self.wait * lately + sending * (1.0 + (self.pace - 1.0).max(0.0) * lately)
    }

    /// Learns from a transfer's time and its wait, s, that of one not yet done included.
    pub fn learn(&mut self, spent: f64, wait: f64, sending: f64, now: Duration) {
        let waited = self.of(0.0, now);
        let pace = self.of(1.0, now) - waited;
        let weight = (PACE_BLEND * sending / self.sending.max(sending)).min(1.0);
        self.sending += if self.sending > 0.0 { BLEND * (sending - self.sending) } else { sending };
        self.pace = pace + weight * ((spent - wait).max(0.0) / sending.max(1e-3) - pace);
        (self.wait, self.at) = (waited + PACE_BLEND * (wait - waited), now);
    }
}
