//! What a dispatcher holds of the fleet's verdicts, and for how long. Several services may tell it; none is needed.
//!
//! That a zone serves needs no lease: each GET there renews the dispatcher's own evidence. That one was left holds until
//! somebody says otherwise. That a part of a returning zone may be used is leased, for the part was measured for all
//! dispatchers together, and one that is cut off can't know when it was taken back.

use crate::fleet::{Stage, Verdict};
use std::time::Duration;

/// The longest that a verdict waits to take effect by this clock, whatever the other clock says.
const LEAD_MOST: Duration = Duration::from_millis(300);
/// After a start, or a gap in which nothing ran here, how long a word is waited for before old beliefs count.
const UNSURE_FOR: Duration = Duration::from_millis(300);

/// What one holds of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    verdict: Verdict,
    /// Its part until the verdict takes effect.
    before: f64,
    /// When that is, by this dispatcher's clock.
    from: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Belief {
    zones: Vec<Held>,
    leased_until: Duration,
    /// Nothing was heard since a start or a gap: until then no zone counts.
    unsure_until: Duration,
}

impl Belief {
    pub fn new(zones: usize, now: Duration) -> Self {
        let held = Held { before: 1.0, ..Held::default() };
        Self { zones: vec![held; zones], leased_until: Duration::ZERO, unsure_until: now + UNSURE_FOR }
    }

    /// Takes a verdict that takes effect in `lead`; false where what is held goes before it.
    pub fn told(&mut self, zone: usize, verdict: &Verdict, lead: Duration, now: Duration) -> bool {
        let part = self.part(zone, now);
        let Some(held) = self.zones.get_mut(zone) else { return false };
        if !verdict.goes_before(&held.verdict) {
            return false;
        }
        *held = Held { verdict: *verdict, before: part, from: now + lead.min(LEAD_MOST) };
        true
    }

    /// All that holds is known up to now, for so long.
    pub fn leased(&mut self, until: Duration) {
        self.leased_until = self.leased_until.max(until);
        self.unsure_until = Duration::ZERO;
    }

    /// Nothing ran here for a while: what is believed is old until a word comes, or none does.
    ///
    /// Guards zones that were left meanwhile. It hurts by GETs shed for some tenths of a second where nobody speaks.
    pub fn woke(&mut self, now: Duration) {
        (self.leased_until, self.unsure_until) = (Duration::ZERO, now + UNSURE_FOR);
    }

    pub fn is_unsure(&self, now: Duration) -> bool {
        now < self.unsure_until
    }

    /// Part of its keys that a zone takes now.
    pub fn part(&self, zone: usize, now: Duration) -> f64 {
        if self.is_unsure(now) {
            return 0.0;
        }
        let Some(held) = self.zones.get(zone) else { return 1.0 };
        let part = if now < held.from { held.before } else { held.verdict.part };
        if held.verdict.stage == Stage::Returning && now >= self.leased_until { 0.0 } else { part }
    }

    /// Part of all GETs to be shed at once.
    pub fn sheds(&self, now: Duration) -> f64 {
        let of = self.zones.iter().filter(|held| now >= held.from).map(|held| held.verdict.sheds);
        of.fold(0.0, f64::max)
    }

    /// As it is told to services, so that one which began anew learns it.
    pub fn held(&self, zone: usize) -> Verdict {
        self.zones[zone].verdict
    }

    /// When what holds changes by itself.
    pub fn due(&self, now: Duration) -> Duration {
        let later = |at: Duration| if at > now { at } else { Duration::MAX };
        let from = self.zones.iter().map(|held| later(held.from)).min().unwrap_or(Duration::MAX);
        from.min(later(self.leased_until)).min(later(self.unsure_until))
    }
}

#[cfg(test)]
mod tests {
    use super::Belief;
    use crate::fleet::{Stage, Verdict};
    use std::time::Duration;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn verdict(epoch: u64, stage: Stage, part: f64) -> Verdict {
        Verdict { epoch, stage, part, ..Verdict::default() }
    }

    fn sure(zones: usize) -> Belief {
        let mut belief = Belief::new(zones, ms(0));
        belief.leased(ms(200));
        belief
    }

    #[test]
    fn a_part_of_a_returning_zone_ends_with_its_lease_and_a_left_one_stays_left() {
        let mut belief = sure(2);
        belief.told(0, &verdict(3, Stage::Returning, 0.5), ms(0), ms(100));
        belief.told(1, &verdict(4, Stage::Left, 0.0), ms(0), ms(100));
        assert_eq!((belief.part(0, ms(150)), belief.part(1, ms(150))), (0.5, 0.0));
        assert_eq!((belief.part(0, ms(200)), belief.part(1, ms(9000))), (0.0, 0.0));
        belief.leased(ms(400));
        assert_eq!(belief.part(0, ms(300)), 0.5);
    }

    #[test]
    fn an_older_word_changes_nothing_and_of_two_the_stricter_holds() {
        let mut belief = sure(1);
        assert!(belief.told(0, &verdict(5, Stage::Left, 0.0), ms(0), ms(10)));
        assert!(!belief.told(0, &verdict(4, Stage::Serving, 1.0), ms(0), ms(11)));
        assert!(!belief.told(0, &verdict(5, Stage::Returning, 0.5), ms(0), ms(12)));
        assert_eq!(belief.part(0, ms(20)), 0.0);
    }

    #[test]
    fn a_clock_that_is_hours_off_delays_a_verdict_by_tenths_of_a_second() {
        let mut belief = sure(1);
        belief.told(0, &verdict(5, Stage::Left, 0.0), Duration::from_secs(7200), ms(10));
        assert_eq!((belief.part(0, ms(100)), belief.part(0, ms(310))), (1.0, 0.0));
    }

    #[test]
    fn one_that_woke_uses_no_zone_until_it_hears_or_nobody_speaks() {
        let mut belief = sure(1);
        belief.woke(ms(5000));
        assert_eq!((belief.part(0, ms(5100)), belief.part(0, ms(5300))), (0.0, 1.0));
        belief.woke(ms(6000));
        belief.leased(ms(6220));
        assert_eq!(belief.part(0, ms(6011)), 1.0);
    }
}
