//! A dispatcher's own rule on zones, for what the fleet does not see: it alone, or a third, is cut off from one. It is only
//! ever stricter than the fleet's verdict, and needs nobody.

use crate::votes::{Saw, Vote};
use std::time::Duration;

/// Intervals in a row that must say so: one is a moment.
const INTERVALS: u32 = 2;
/// How long a zone is not used but for a trial, at first; doubled each time that the trial fails, up to the most.
const REST: Duration = Duration::from_millis(1000);
const REST_MOST: Duration = Duration::from_millis(16_000);
/// Part of the keys that goes on there, to see whether it lives.
const TRIAL: f64 = 1.0 / 64.0;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    dead_for: u32,
    rests_until: Duration,
    rest: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Own {
    zones: Vec<Seen>,
}

impl Own {
    pub fn new(zones: usize) -> Self {
        Self { zones: vec![Seen::default(); zones] }
    }

    /// What was seen of all zones in an interval. One that is dead rests if another is well: where all are dead it is
    /// this dispatcher that is cut off, or the origin that is gone, and leaving helps nobody.
    pub fn saw(&mut self, saw: &[Saw], now: Duration) {
        let well = saw.iter().any(|saw| saw.vote() == Some(Vote::Well));
        for (zone, saw) in self.zones.iter_mut().zip(saw) {
            match saw.vote() {
                Some(Vote::Dead) => zone.dead_for += 1,
                Some(_) => {
                    zone.dead_for = 0;
                    if now >= zone.rests_until {
                        zone.rest = Duration::ZERO;
                    }
                }
                None => {}
            }
            if well && zone.dead_for >= INTERVALS && now >= zone.rests_until {
                zone.rest = (zone.rest * 2).clamp(REST, REST_MOST);
                (zone.rests_until, zone.dead_for) = (now + zone.rest, 0);
            }
        }
    }

    /// The most of its keys that a zone may take by this rule.
    pub fn part(&self, zone: usize, now: Duration) -> f64 {
        if self.zones.get(zone).is_some_and(|zone| now < zone.rests_until) { TRIAL } else { 1.0 }
    }

    /// When what holds changes by itself.
    pub fn due(&self, now: Duration) -> Duration {
        let ends = self.zones.iter().map(|zone| zone.rests_until).filter(|&at| at > now);
        ends.min().unwrap_or(Duration::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::Own;
    use crate::votes::Saw;
    use std::time::Duration;

    /// One zone dead beside one that is well rests; where both are dead neither does.
    #[test]
    fn a_zone_rests_only_where_another_is_well() {
        let (dead, well) = (Saw { asked: 4, failed: 4, late: 0 }, Saw { asked: 4, failed: 0, late: 0 });
        let ms = Duration::from_millis;
        let mut own = Own::new(2);
        own.saw(&[dead, well], ms(250));
        assert_eq!(own.part(0, ms(260)), 1.0);
        own.saw(&[dead, well], ms(500));
        assert!(own.part(0, ms(510)) < 0.1 && own.part(1, ms(510)) == 1.0);
        assert_eq!(own.part(0, ms(1600)), 1.0);
        let mut own = Own::new(2);
        (1..9).for_each(|n| own.saw(&[dead, dead], ms(250 * n)));
        assert_eq!((own.part(0, ms(2500)), own.part(1, ms(2500))), (1.0, 1.0));
    }
}
