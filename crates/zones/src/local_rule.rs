//! A dispatcher's own rule on zones, for failures that the fleet does not see: this dispatcher alone, or a third of all, is
//! cut off from a zone. The rule is only ever stricter than the fleet's verdict, and depends on no other process.

use crate::votes::{HostEvidence, Vote};
use std::time::Duration;

/// Consecutive intervals that must show a zone dead; a single one may be a brief disturbance.
const DEAD_INTERVALS: u32 = 2;
/// How long a zone is avoided, except for a trial, after the first failure. The time doubles with each failed trial, up
/// to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1000);
const MAX_BACKOFF: Duration = Duration::from_millis(16_000);
/// The fraction of the keys that is still sent there, to find out whether the zone is alive.
const TRIAL_FRACTION: f64 = 1.0 / 64.0;

/// The local rule's state for one zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneBackoff {
    dead_intervals: u32,
    backoff_until: Duration,
    backoff: Duration,
}

/// The local rule's state for all zones.
#[derive(Clone, Debug, Default)]
pub struct LocalRule {
    zones: Vec<ZoneBackoff>,
}

impl LocalRule {
    /// Creates the rule for a number of zones, none of which is avoided.
    pub fn new(zones: usize) -> Self {
        Self { zones: vec![ZoneBackoff::default(); zones] }
    }

    /// Records the evidence of an interval on all zones. A dead zone is avoided only if another one is well: where all are
    /// dead, either this dispatcher is cut off or the origin has failed, and avoiding a zone does not help.
    pub fn record(&mut self, evidence: &[HostEvidence], now: Duration) {
        let any_well = evidence.iter().any(|evidence| evidence.vote() == Some(Vote::Well));
        for (zone, evidence) in self.zones.iter_mut().zip(evidence) {
            match evidence.vote() {
                Some(Vote::Dead) => zone.dead_intervals += 1,
                Some(_) => {
                    zone.dead_intervals = 0;
                    if now >= zone.backoff_until {
                        zone.backoff = Duration::ZERO;
                    }
                }
                None => {}
            }
            if any_well && zone.dead_intervals >= DEAD_INTERVALS && now >= zone.backoff_until {
                zone.backoff = (zone.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
                (zone.backoff_until, zone.dead_intervals) = (now + zone.backoff, 0);
            }
        }
    }

    /// The largest fraction of its keys that a zone may take by this rule.
    pub fn max_key_fraction(&self, zone: usize, now: Duration) -> f64 {
        if self.zones.get(zone).is_some_and(|zone| now < zone.backoff_until) { TRIAL_FRACTION } else { 1.0 }
    }

    /// When a backoff next ends.
    pub fn next_change(&self, now: Duration) -> Duration {
        let ends = self.zones.iter().map(|zone| zone.backoff_until).filter(|&at| at > now);
        ends.min().unwrap_or(Duration::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::LocalRule;
    use crate::votes::HostEvidence;
    use std::time::Duration;

    /// A dead zone beside a well one is avoided; where both are dead neither is.
    #[test]
    fn a_dead_zone_is_avoided_only_where_another_is_well() {
        let dead = HostEvidence { contacted: 4, failed: 4, late: 0 };
        let well = HostEvidence { contacted: 4, failed: 0, late: 0 };
        let ms = Duration::from_millis;
        let mut rule = LocalRule::new(2);
        rule.record(&[dead, well], ms(250));
        assert_eq!(rule.max_key_fraction(0, ms(260)), 1.0);
        rule.record(&[dead, well], ms(500));
        assert!(rule.max_key_fraction(0, ms(510)) < 0.1 && rule.max_key_fraction(1, ms(510)) == 1.0);
        assert_eq!(rule.max_key_fraction(0, ms(1600)), 1.0);
        let mut rule = LocalRule::new(2);
        (1..9).for_each(|interval| rule.record(&[dead, dead], ms(250 * interval)));
        assert_eq!((rule.max_key_fraction(0, ms(2500)), rule.max_key_fraction(1, ms(2500))), (1.0, 1.0));
    }
}
