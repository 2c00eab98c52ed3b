//! A member's local health, and how long a member stays suspect before it is declared dead: plain arithmetic on observed
//! probes.

use std::time::Duration;

/// How often each member probes another one.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// From a direct probe to the indirect probes, and from those to the failure of the probe; multiplied by the local health
/// multiplier.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// An exchange that brought no answer within this time has failed.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a member that nothing reaches stays suspect until it is declared dead: the maximum with no other accuser, the
/// minimum with enough of them; multiplied by the local health multiplier. The minimum is longer than a switch or a route
/// takes to change.
const MAX_SUSPICION_TIMEOUT: Duration = Duration::from_millis(6000);
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(1200);
/// The same for a member whose machine accepts connections that nobody answers. Its process is frozen, starved or swapping,
/// and may recover; the time is longer than operators' longest pause (10 s).
const UNANSWERED_SUSPICION_TIMEOUT: Duration = Duration::from_millis(14_000);
/// The number of other accusers with which the minimum applies.
const ACCUSERS_FOR_MIN_TIMEOUT: f64 = 3.0;
/// A member that received no answer from anybody for this time regards itself as isolated and accuses nobody; multiplied by
/// the local health multiplier, up to a maximum.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_ISOLATION_MULTIPLIER: f64 = 2.5;
/// A timer that fires this late shows that the process did not run.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
/// What is added to the health multiplier of a member whose probes all fail, over one whose probes all succeed.
const MULTIPLIER_RANGE: f64 = 7.0;
/// Weight of a probe in the fraction that fails: the average is over some twenty probes.
const AVERAGE_WEIGHT: f64 = 0.05;
/// The fraction of failed probes that is assumed after a pause; it decreases as probes succeed.
const FAILED_AFTER_PAUSE: f64 = 0.3;

/// Why an exchange with a member failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// The machine reports that nothing listens there: the process is gone.
    Refused,
    /// A connection was established, but nobody answered on it.
    Unanswered,
    /// No connection was established.
    Unreachable,
}

/// This member's own health: the fraction of its probes that fail although the probed members are alive.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failed_fraction: f64,
}

impl Health {
    /// Records the result of a probe.
    pub fn record_probe(&mut self, is_answered: bool) {
        let failed = f64::from(u8::from(!is_answered));
        self.failed_fraction += AVERAGE_WEIGHT * (failed - self.failed_fraction);
    }

    /// Records that this process did not run for a while.
    pub fn on_pause(&mut self) {
        self.failed_fraction = self.failed_fraction.max(FAILED_AFTER_PAUSE);
    }

    /// The local health multiplier, by which all timeouts are longer. It guards other members against a member that is slow
    /// or whose network paths lose datagrams. The cost is that a death is detected later there, and where many die at once.
    pub fn multiplier(&self) -> f64 {
        1.0 + MULTIPLIER_RANGE * self.failed_fraction
    }

    /// Without an answer for this time a member regards itself as isolated: sooner than it would declare others dead at the
    /// same multiplier.
    pub fn isolation_timeout(&self) -> Duration {
        ISOLATION_TIMEOUT.mul_f64(self.multiplier().min(MAX_ISOLATION_MULTIPLIER))
    }

    /// How long a member stays suspect before it is declared dead.
    pub fn suspicion_timeout(&self, failure: ExchangeFailure, other_accusers: usize) -> Duration {
        match failure {
            ExchangeFailure::Refused => Duration::ZERO,
            ExchangeFailure::Unanswered => UNANSWERED_SUSPICION_TIMEOUT,
            ExchangeFailure::Unreachable => {
                let (max, min) = (MAX_SUSPICION_TIMEOUT, MIN_SUSPICION_TIMEOUT);
                let confirmation =
                    ((other_accusers as f64 + 1.0).ln() / (ACCUSERS_FOR_MIN_TIMEOUT + 1.0).ln()).min(1.0);
                (max - (max - min).mul_f64(confirmation)).mul_f64(self.multiplier())
            }
        }
    }
}

/// A token bucket of bytes that may be sent: bounds what a member costs its network, whatever other members do to it.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
}

/// The fill rate of the bucket, and its capacity.
pub const BYTES_PER_SECOND: f64 = 2300.0;
const CAPACITY_BYTES: f64 = BYTES_PER_SECOND;
/// The fraction of the capacity that answers may not use up: a flood of messages must not keep this member from probing.
const RESERVED_FROM_ANSWERS: f64 = 0.2;
/// Below this fraction of the capacity only pings and answers are sent. Gossip that left no bytes for answers would make
/// members suspect, and that would cause more gossip.
const RESERVED_FROM_GOSSIP: f64 = 0.6;

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Duration) -> Self {
        Self { tokens: CAPACITY_BYTES, filled_at: now }
    }

    fn fill(&mut self, now: Duration) {
        let gained = now.saturating_sub(self.filled_at).as_secs_f64() * BYTES_PER_SECOND;
        (self.tokens, self.filled_at) = ((self.tokens + gained).min(CAPACITY_BYTES), now);
    }

    /// Whether there are bytes for gossip.
    pub fn allows_gossip(&mut self, now: Duration) -> bool {
        self.fill(now);
        self.tokens > CAPACITY_BYTES * RESERVED_FROM_GOSSIP
    }

    /// Takes the bytes of a message; false where there are too few.
    pub fn try_take(&mut self, bytes: usize, is_answer: bool, now: Duration) -> bool {
        self.fill(now);
        let reserved = if is_answer { CAPACITY_BYTES * RESERVED_FROM_ANSWERS } else { 0.0 };
        let fits = self.tokens - bytes as f64 >= reserved;
        if fits {
            self.tokens -= bytes as f64;
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::{ExchangeFailure, Health, TokenBucket};
    use std::time::Duration;

    #[test]
    fn the_suspicion_timeout_shrinks_with_accusers_and_grows_with_the_health_multiplier() {
        let ms = Duration::from_millis;
        let mut health = Health::default();
        assert_eq!(health.suspicion_timeout(ExchangeFailure::Unreachable, 0), ms(6000));
        assert_eq!(health.suspicion_timeout(ExchangeFailure::Unreachable, 3), ms(1200));
        assert_eq!(health.suspicion_timeout(ExchangeFailure::Refused, 0), ms(0));
        (0..200).for_each(|index| health.record_probe(index % 2 == 0));
        assert!((4.0..5.2).contains(&health.multiplier()), "{}", health.multiplier());
        assert!(health.suspicion_timeout(ExchangeFailure::Unreachable, 3) > ms(4500));
    }

    #[test]
    fn answers_to_a_flood_leave_bytes_for_own_probes() {
        let mut bucket = TokenBucket::new(Duration::ZERO);
        let answered = (0..1000).filter(|_| bucket.try_take(60, true, Duration::ZERO)).count();
        assert!(answered < 40, "{answered}");
        assert!(bucket.try_take(60, false, Duration::ZERO));
    }
}
