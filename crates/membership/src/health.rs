//! What a member thinks of itself, and of how it comes to hold another for gone: plain arithmetic on what was seen.

use std::time::Duration;

/// How often one member is asked whether it is there, by each.
pub const EVERY: Duration = Duration::from_millis(200);
/// From a ping to asking others for an answer, and from there to a failure; times the strain.
pub const PATIENCE: Duration = Duration::from_millis(120);
/// A look that brought no answer in this time is over.
pub const LOOKS: Duration = Duration::from_millis(600);
/// A doubted member that says nothing to anybody is held for gone after this, with no other accuser and with enough; times
/// the strain. The least is over a switch's or a route's change.
const SILENT: (Duration, Duration) = (Duration::from_millis(6000), Duration::from_millis(1200));
/// One whose machine takes connections that nobody answers is frozen, starved or swapping, and may come back; longer than
/// operators' longest pause (10 s).
const MUTE: Duration = Duration::from_millis(14_000);
/// Other accusers that are enough.
const ENOUGH: f64 = 3.0;
/// Without an answer by anybody for so long a member doubts itself and accuses nobody; times the strain, up to a most.
pub const ALONE: Duration = Duration::from_millis(1000);
const ALONE_STRAIN: f64 = 2.5;
/// A turn that comes so much late: this process did not run.
pub const PAUSE: Duration = Duration::from_millis(150);
/// The strain of one whose every ping fails, over one whose none does.
const STRAIN: f64 = 7.0;
/// Weight of a ping in the share that fail: some twenty of them.
const BLEND: f64 = 0.05;
/// Strain after a pause, as a share of pings that failed; it passes as pings succeed.
const WOKEN: f64 = 0.3;

/// What a look at a doubted member saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// Its machine says that nothing listens there: the process is gone.
    Refused,
    /// A connection came up, and nobody answered on it.
    Mute,
    /// Not even a connection.
    Silent,
}

/// This member's own state: how many of its pings fail, though those whom it asks are there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failing: f64,
}

impl Health {
    pub fn pinged(&mut self, answered: bool) {
        self.failing += BLEND * (f64::from(u8::from(!answered)) - self.failing);
    }

    pub fn woke(&mut self) {
        self.failing = self.failing.max(WOKEN);
    }

    /// Times that all patience is longer. Guards members against one that is slow, or whose ways lose; it hurts by slower
    /// news of a death there, and where many die at once.
    pub fn strain(&self) -> f64 {
        1.0 + STRAIN * self.failing
    }

    /// Without an answer for so long a member doubts itself: sooner than it would others under the same strain.
    pub fn alone_after(&self) -> Duration {
        ALONE.mul_f64(self.strain().min(ALONE_STRAIN))
    }

    /// For how long a member is doubted before it is held for gone.
    pub fn doubt_lasts(&self, saw: Look, others: usize) -> Duration {
        match saw {
            Look::Refused => Duration::ZERO,
            Look::Mute => MUTE,
            Look::Silent => {
                let (most, least) = SILENT;
                let heard = ((others as f64 + 1.0).ln() / (ENOUGH + 1.0).ln()).min(1.0);
                (most - (most - least).mul_f64(heard)).mul_f64(self.strain())
            }
        }
    }
}

/// Bytes that may be said: a bound on what a member costs its network, whatever others do to it.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    left: f64,
    at: Duration,
}

/// Bytes a second, and as many saved.
pub const BYTES_A_SECOND: f64 = 2300.0;
const SAVED: f64 = BYTES_A_SECOND;
/// Part of what is saved that answers may not use up: one who floods must not keep this member from asking. And the part
/// under which nothing but pings and answers is said: news that left no bytes for answers would make doubts, and those news.
const KEPT: f64 = 0.2;
const KEPT_FROM_NEWS: f64 = 0.6;

impl Bucket {
    pub fn new(now: Duration) -> Self {
        Self { left: SAVED, at: now }
    }

    fn fill(&mut self, now: Duration) {
        let gained = now.saturating_sub(self.at).as_secs_f64() * BYTES_A_SECOND;
        (self.left, self.at) = ((self.left + gained).min(SAVED), now);
    }

    /// Whether there is room for news.
    pub fn has_news_left(&mut self, now: Duration) -> bool {
        self.fill(now);
        self.left > SAVED * KEPT_FROM_NEWS
    }

    pub fn takes(&mut self, bytes: usize, is_answer: bool, now: Duration) -> bool {
        self.fill(now);
        let least = if is_answer { SAVED * KEPT } else { 0.0 };
        let fits = self.left - bytes as f64 >= least;
        if fits {
            self.left -= bytes as f64;
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::{Bucket, Health, Look};
    use std::time::Duration;

    #[test]
    fn doubt_is_shorter_with_accusers_and_longer_under_strain() {
        let ms = Duration::from_millis;
        let mut health = Health::default();
        assert_eq!(health.doubt_lasts(Look::Silent, 0), ms(6000));
        assert_eq!(health.doubt_lasts(Look::Silent, 3), ms(1200));
        assert_eq!(health.doubt_lasts(Look::Refused, 0), ms(0));
        (0..200).for_each(|n| health.pinged(n % 2 == 0));
        assert!((4.0..5.2).contains(&health.strain()), "{}", health.strain());
        assert!(health.doubt_lasts(Look::Silent, 3) > ms(4500));
    }

    #[test]
    fn answers_to_a_flood_leave_what_own_pings_need() {
        let mut bucket = Bucket::new(Duration::ZERO);
        let answered = (0..1000).filter(|_| bucket.takes(60, true, Duration::ZERO)).count();
        assert!(answered < 40, "{answered}");
        assert!(bucket.takes(60, false, Duration::ZERO));
    }
}
