//! Gradual return of a raised accepted age to the fresh time.
//!
//! While the origin is busy, copies older than the fresh time are accepted. Rejecting all of them at the moment when the
//! origin recovers would renew all of them together, and again one fresh time later. The accepted age is therefore lowered
//! key by key.

use crate::bits::unit_fraction;
use std::time::Duration;

/// Shortest time over which the accepted age is lowered: the window over which the busy flag is computed.
const MIN_DECAY: Duration = Duration::from_millis(5000);
/// Makes the order in which the accepted ages of keys are lowered independent of the order in which a cold host receives
/// keys.
const ORDER_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Accepted age of one delivery service while the origin is busy and afterwards.
#[derive(Clone, Debug, Default)]
pub struct StalenessDecay {
    raised_accepted_age: Duration,
    decaying_since: Option<Duration>,
}

impl StalenessDecay {
    /// Accepts copies up to `age` for all keys while the origin is busy.
    pub fn raise(&mut self, age: Duration) {
        (self.raised_accepted_age, self.decaying_since) = (age, None);
    }

    /// Records that the origin is not busy. The decay begins at the first call after a raise.
    pub fn decay(&mut self, fresh_time: Duration, now: Duration) {
        if self.raised_accepted_age <= fresh_time {
            self.decaying_since = None;
            return;
        }
        let since = *self.decaying_since.get_or_insert(now);
        if now >= since + fresh_time.max(MIN_DECAY) {
            (self.raised_accepted_age, self.decaying_since) = (Duration::ZERO, None);
        }
    }

    /// Age up to which copies of a key are accepted.
    ///
    /// Every router lowers the accepted ages of keys in the same order, so a renewal requested by one router serves all of
    /// them. The decay protects the origin from renewing at once all copies that became stale while it was busy. Its cost:
    /// copies of some keys are accepted past their fresh time, for one more fresh time.
    pub fn accepted_age(&self, key: u64, fresh_time: Duration, now: Duration) -> Duration {
        let Some(since) = self.decaying_since else { return self.raised_accepted_age.max(fresh_time) };
        let progress = now.saturating_sub(since).div_duration_f64(fresh_time.max(MIN_DECAY));
        if unit_fraction(key ^ ORDER_SALT) >= progress {
            self.raised_accepted_age.max(fresh_time)
        } else {
            fresh_time
        }
    }
}

#[cfg(test)]
mod tests {
    use super::StalenessDecay;
    use std::time::Duration;

    const FRESH_TIME: Duration = Duration::from_millis(5000);

    /// The accepted age of each key is lowered once, evenly spread over one fresh time. Without the decay, all keys would
    /// be lowered in the first step.
    #[test]
    fn the_accepted_age_returns_to_the_fresh_time_key_by_key() {
        let mut decay = StalenessDecay::default();
        decay.raise(FRESH_TIME * 4);
        let mut now = Duration::from_secs(100);
        let refused = |decay: &StalenessDecay, now| {
            (0..1000).filter(|&key| decay.accepted_age(key, FRESH_TIME, now) == FRESH_TIME).count()
        };
        let mut before = 0;
        assert_eq!(refused(&decay, now), 0);
        for step in 0..10 {
            decay.decay(FRESH_TIME, now);
            let count = refused(&decay, now);
            assert!(
                count >= before && count - before < 140,
                "{count} keys lowered after {before} in step {step}"
            );
            (before, now) = (count, now + Duration::from_millis(500));
        }
        decay.decay(FRESH_TIME, now);
        assert_eq!(refused(&decay, now), 1000);
        // The origin is busy again: the raised age applies to all keys again.
        decay.raise(FRESH_TIME * 2);
        assert_eq!(refused(&decay, now), 0);
    }
}
