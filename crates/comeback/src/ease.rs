//! The way back from a raised age. While the origin is busy, copies past their fresh time are accepted. If all of them were
//! refused at the moment when the flag falls, all would be asked for anew together, and again one fresh time later: what
//! was filled together grows stale together. So the fresh time is taken back for one key after another.

use crate::bits::place;
use std::time::Duration;

/// The least time over which the fresh time is taken back: the window in which the flag is counted.
const OVER_LEAST: Duration = Duration::from_millis(5000);

/// One delivery service's age on its way back.
#[derive(Clone, Debug, Default)]
pub struct Ease {
    raised: Duration,
    fell_at: Option<Duration>,
}

/// Keeps a key's place in the order in which the fresh time is taken back apart from its place in a cold host's part.
const APART: u64 = 0x9e37_79b9_7f4a_7c15;

impl Ease {
    /// The age that is accepted for all while the flag stands.
    pub fn raise(&mut self, age: Duration) {
        (self.raised, self.fell_at) = (age, None);
    }

    /// The flag does not stand: from its fall on the age goes back.
    pub fn fall(&mut self, fresh: Duration, now: Duration) {
        if self.raised <= fresh {
            self.fell_at = None;
            return;
        }
        let at = *self.fell_at.get_or_insert(now);
        if now >= at + fresh.max(OVER_LEAST) {
            (self.raised, self.fell_at) = (Duration::ZERO, None);
        }
    }

    /// The oldest copy of a key that will do, in an order that is the same at every router, so that what one of them
    /// refuses is filled once for all. Guards the origin from all that grew stale while it was busy; it hurts by
    /// copies past their fresh time, of some keys, for one fresh time more.
    pub fn accepted(&self, key: u64, fresh: Duration, now: Duration) -> Duration {
        let Some(at) = self.fell_at else { return self.raised.max(fresh) };
        let part = now.saturating_sub(at).div_duration_f64(fresh.max(OVER_LEAST));
        if place(key ^ APART) >= part { self.raised.max(fresh) } else { fresh }
    }
}

#[cfg(test)]
mod tests {
    use super::Ease;
    use std::time::Duration;

    const FRESH: Duration = Duration::from_millis(5000);

    /// Keys are taken back evenly over one fresh time, each once; without it all would be in the first step.
    #[test]
    fn the_fresh_time_is_taken_back_for_one_key_after_another() {
        let mut ease = Ease::default();
        ease.raise(FRESH * 4);
        let mut now = Duration::from_secs(100);
        let refused =
            |ease: &Ease, now| (0..1000).filter(|&key| ease.accepted(key, FRESH, now) == FRESH).count();
        let mut before = 0;
        assert_eq!(refused(&ease, now), 0);
        for step in 0..10 {
            ease.fall(FRESH, now);
            let count = refused(&ease, now);
            assert!(count >= before && count - before < 140, "{count} after {before} in step {step}");
            (before, now) = (count, now + Duration::from_millis(500));
        }
        ease.fall(FRESH, now);
        assert_eq!(refused(&ease, now), 1000);
        // Busy again on the way back: the raised age holds for all again.
        ease.raise(FRESH * 2);
        assert_eq!(refused(&ease, now), 0);
    }
}
