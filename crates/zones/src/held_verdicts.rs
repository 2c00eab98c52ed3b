//! The fleet's verdicts as one dispatcher holds them, and for how long. Several control services may send them; none is
//! required.
//!
//! That a zone serves needs no lease: each GET there renews the dispatcher's own evidence. That a zone was evacuated holds
//! until a later verdict replaces it. The key fraction of a returning zone is leased: it was computed for all
//! dispatchers together, and a dispatcher that is cut off cannot know when it was withdrawn.

use crate::controller::{Stage, Verdict};
use std::time::Duration;

/// The longest that a verdict waits to take effect by this dispatcher's clock, whatever the sender's clock says.
const MAX_LEAD: Duration = Duration::from_millis(300);
/// After a start, or a pause in which this process did not run: how long to wait for a control service before the
/// verdicts held so far count again.
const UNCERTAIN_FOR: Duration = Duration::from_millis(300);

/// The verdict held for one zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneVerdict {
    verdict: Verdict,
    /// The zone's key fraction until the verdict takes effect.
    previous_fraction: f64,
    /// When the verdict takes effect, by this dispatcher's clock.
    effective_at: Duration,
}

/// The verdicts that a dispatcher holds, one for each zone, with the lease on them.
#[derive(Clone, Debug, Default)]
pub struct HeldVerdicts {
    zones: Vec<ZoneVerdict>,
    leased_until: Duration,
    /// Nothing was received since a start or a pause: until then no zone takes keys.
    uncertain_until: Duration,
}

impl HeldVerdicts {
    /// All zones serve, after an initial wait for a control service.
    pub fn new(zones: usize, now: Duration) -> Self {
        let serving = ZoneVerdict { previous_fraction: 1.0, ..ZoneVerdict::default() };
        Self {
            zones: vec![serving; zones],
            leased_until: Duration::ZERO,
            uncertain_until: now + UNCERTAIN_FOR,
        }
    }

    /// Applies a verdict that takes effect in `lead`. Returns false where the held verdict supersedes it.
    pub fn apply(&mut self, zone: usize, verdict: &Verdict, lead: Duration, now: Duration) -> bool {
        let previous_fraction = self.key_fraction(zone, now);
        let Some(held) = self.zones.get_mut(zone) else { return false };
        if !verdict.supersedes(&held.verdict) {
            return false;
        }
        *held = ZoneVerdict { verdict: *verdict, previous_fraction, effective_at: now + lead.min(MAX_LEAD) };
        true
    }

    /// Renews the lease: a control service states that all its verdicts up to now are known here.
    pub fn renew_lease(&mut self, until: Duration) {
        self.leased_until = self.leased_until.max(until);
        self.uncertain_until = Duration::ZERO;
    }

    /// This process did not run for a while: the held verdicts are outdated until a control service answers, or the wait
    /// for one is over.
    ///
    /// Guards zones that were evacuated meanwhile. Where no control service answers, the cost is some tenths of a second in
    /// which GETs are shed.
    pub fn on_resume(&mut self, now: Duration) {
        (self.leased_until, self.uncertain_until) = (Duration::ZERO, now + UNCERTAIN_FOR);
    }

    /// Whether the wait for a control service after a start or a pause is still running.
    pub fn is_uncertain(&self, now: Duration) -> bool {
        now < self.uncertain_until
    }

    /// The fraction of its keys that a zone takes now.
    pub fn key_fraction(&self, zone: usize, now: Duration) -> f64 {
        if self.is_uncertain(now) {
            return 0.0;
        }
        let Some(held) = self.zones.get(zone) else { return 1.0 };
        let fraction = if now < held.effective_at { held.previous_fraction } else { held.verdict.part };
        if held.verdict.stage == Stage::Returning && now >= self.leased_until { 0.0 } else { fraction }
    }

    /// The fraction of all GETs to shed at once.
    pub fn shed_fraction(&self, now: Duration) -> f64 {
        let effective = self.zones.iter().filter(|held| now >= held.effective_at);
        effective.map(|held| held.verdict.sheds).fold(0.0, f64::max)
    }

    /// The verdict held for a zone, as it is reported to control services: one that has just started learns it from there.
    pub fn verdict(&self, zone: usize) -> Verdict {
        self.zones[zone].verdict
    }

    /// When the key fractions next change without a new verdict.
    pub fn next_change(&self, now: Duration) -> Duration {
        let if_later = |at: Duration| if at > now { at } else { Duration::MAX };
        let effective = self.zones.iter().map(|held| if_later(held.effective_at)).min();
        effective
            .unwrap_or(Duration::MAX)
            .min(if_later(self.leased_until))
            .min(if_later(self.uncertain_until))
    }
}

#[cfg(test)]
mod tests {
    use super::HeldVerdicts;
    use crate::controller::{Stage, Verdict};
    use std::time::Duration;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn verdict(epoch: u64, stage: Stage, part: f64) -> Verdict {
        Verdict { epoch, stage, part, ..Verdict::default() }
    }

    fn leased_for_200_ms(zones: usize) -> HeldVerdicts {
        let mut held = HeldVerdicts::new(zones, ms(0));
        held.renew_lease(ms(200));
        held
    }

    #[test]
    fn a_returning_fraction_ends_with_its_lease_and_an_evacuated_zone_stays_evacuated() {
        let mut held = leased_for_200_ms(2);
        held.apply(0, &verdict(3, Stage::Returning, 0.5), ms(0), ms(100));
        held.apply(1, &verdict(4, Stage::Left, 0.0), ms(0), ms(100));
        assert_eq!((held.key_fraction(0, ms(150)), held.key_fraction(1, ms(150))), (0.5, 0.0));
        assert_eq!((held.key_fraction(0, ms(200)), held.key_fraction(1, ms(9000))), (0.0, 0.0));
        held.renew_lease(ms(400));
        assert_eq!(held.key_fraction(0, ms(300)), 0.5);
    }

    #[test]
    fn an_older_verdict_changes_nothing_and_of_one_epoch_the_stricter_holds() {
        let mut held = leased_for_200_ms(1);
        assert!(held.apply(0, &verdict(5, Stage::Left, 0.0), ms(0), ms(10)));
        assert!(!held.apply(0, &verdict(4, Stage::Serving, 1.0), ms(0), ms(11)));
        assert!(!held.apply(0, &verdict(5, Stage::Returning, 0.5), ms(0), ms(12)));
        assert_eq!(held.key_fraction(0, ms(20)), 0.0);
    }

    #[test]
    fn a_clock_that_is_hours_off_delays_a_verdict_by_tenths_of_a_second() {
        let mut held = leased_for_200_ms(1);
        held.apply(0, &verdict(5, Stage::Left, 0.0), Duration::from_secs(7200), ms(10));
        assert_eq!((held.key_fraction(0, ms(100)), held.key_fraction(0, ms(310))), (1.0, 0.0));
    }

    #[test]
    fn after_a_gap_no_zone_takes_keys_until_a_lease_arrives_or_the_wait_is_over() {
        let mut held = leased_for_200_ms(1);
        held.on_resume(ms(5000));
        assert_eq!((held.key_fraction(0, ms(5100)), held.key_fraction(0, ms(5300))), (0.0, 1.0));
        held.on_resume(ms(6000));
        held.renew_lease(ms(6220));
        assert_eq!(held.key_fraction(0, ms(6011)), 1.0);
    }
}
