//! When a dispatcher that started was of use again, and what held it back: a figure for each life that on-call adds up over
//! a fleet.

use std::time::Duration;

/// Service is looked at in steps of so long; it is full from the first moment on after which, for `FOR`, no more than
/// `LOST` of what came was not returned in time.
const STEP: Duration = Duration::from_millis(500);
const FOR: Duration = Duration::from_secs(10);
const LOST: f64 = 0.02;
const STEPS: usize = (FOR.as_millis() / STEP.as_millis()) as usize;

/// What keeps a GET from being returned in time after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// The list of hosts is not whole.
    List,
    /// Purges since the start are not known to be whole.
    Purges,
    /// No source had room for its fill, or the fill failed.
    Source,
    /// No cache took it: cold, resting or crowded.
    Host,
    /// Anything else.
    Other,
}

pub const HELD: [&str; 5] = ["list", "purges", "source", "host", "other"];

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    taken: u32,
    lost: u32,
}

/// One life's record. Times are since the program's own clock began; spans are since the start.
#[derive(Clone, Debug)]
pub struct Record {
    started: Duration,
    listed: Option<Duration>,
    whole: Option<Duration>,
    returned: Option<Duration>,
    full: Option<Duration>,
    steps: [Step; STEPS],
    /// Number of the step that is being filled, since the start.
    at: u64,
    held: [u64; HELD.len()],
}

/// Notes the first time that something came. True: it is this one.
fn first(noted: &mut Option<Duration>, since: Duration) -> bool {
    let first = noted.is_none();
    noted.get_or_insert(since);
    first
}

impl Record {
    pub fn begin(now: Duration) -> Self {
        Self {
            started: now,
            listed: None,
            whole: None,
            returned: None,
            full: None,
            steps: [Step::default(); STEPS],
            at: 0,
            held: [0; HELD.len()],
        }
    }

    fn since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// The list is known: it is ready for clients. True: only now.
    pub fn listed(&mut self, now: Duration) -> bool {
        let since = self.since(now);
        first(&mut self.listed, since)
    }

    /// The change log answered since the start: purges and the list are whole. True: only now.
    pub fn whole(&mut self, now: Duration) -> bool {
        let since = self.since(now);
        first(&mut self.whole, since)
    }

    pub fn is_whole(&self) -> bool {
        self.whole.is_some()
    }

    /// A GET was taken.
    pub fn took(&mut self, now: Duration) {
        self.turn(now);
        self.steps[self.at as usize % STEPS].taken += 1;
    }

    /// One was returned, in time or not. True: the first one.
    pub fn returned(&mut self, in_time: bool, now: Duration) -> bool {
        self.turn(now);
        self.steps[self.at as usize % STEPS].lost += u32::from(!in_time);
        let since = self.since(now);
        first(&mut self.returned, since)
    }

    /// One was not, for this reason.
    pub fn lost(&mut self, why: Held, now: Duration) {
        self.turn(now);
        self.steps[self.at as usize % STEPS].lost += 1;
        if self.full.is_none() {
            self.held[why as usize] += 1;
        }
    }

    /// Goes on to the step of now. True: service has been full for long enough, for the first time.
    pub fn turn(&mut self, now: Duration) -> bool {
        let to = self.since(now).div_duration_f64(STEP) as u64;
        let mut found = false;
        while self.at < to {
            found |= self.looked();
            // What lies further back than all steps is empty.
            self.at = if to - self.at > STEPS as u64 { to - STEPS as u64 } else { self.at + 1 };
            self.steps[self.at as usize % STEPS] = Step::default();
        }
        found
    }

    /// Whether the steps up to this one are the first that are full; leading ones that are not do not count.
    fn looked(&mut self) -> bool {
        if self.full.is_some() || self.at + 1 < STEPS as u64 || self.returned.is_none() {
            return false;
        }
        let sum = |of: fn(&Step) -> u32| self.steps.iter().map(of).sum::<u32>();
        let (taken, lost) = (sum(|step| step.taken), sum(|step| step.lost));
        if taken == 0 || f64::from(lost) > f64::from(taken) * LOST {
            return false;
        }
        let first = self.at + 1 - STEPS as u64;
        let bad = |at: &u64| {
            let step = self.steps[*at as usize % STEPS];
            f64::from(step.lost) > f64::from(step.taken) * LOST
        };
        let led = (first..=self.at).take_while(bad).count() as u64;
        self.full = Some((STEP * (first + led) as u32).max(self.returned.unwrap_or_default()));
        true
    }

    /// Spans since the start until the list was known, the log was whole, the first GET was returned, service was full;
    /// none where that has not come.
    pub fn spans(&self) -> [Option<Duration>; 4] {
        [self.listed, self.whole, self.returned, self.full]
    }

    /// GETs not returned until service was full, by what held them back, in the order of `HELD`.
    pub fn held(&self) -> &[u64; HELD.len()] {
        &self.held
    }
}

#[cfg(test)]
mod tests {
    use super::{Held, Record};
    use std::time::Duration;

    /// A life that sheds for two seconds stands at full service from then on, and says so ten seconds later.
    #[test]
    fn full_service_is_from_the_first_moment_after_which_it_stays() {
        let start = Duration::from_secs(3600);
        let mut record = Record::begin(start);
        let mut said = None;
        assert!(record.listed(start) && !record.listed(start));
        for ms in (0..20_000u64).step_by(20) {
            let now = start + Duration::from_millis(ms);
            if record.turn(now) {
                said = Some(ms);
            }
            record.took(now);
            match ms {
                0..2000 if ms % 100 == 0 => record.lost(Held::Source, now),
                // One in two hundred is lost on any day.
                _ if ms % 4000 == 3980 => record.lost(Held::Other, now),
                _ => {
                    record.returned(true, now);
                }
            }
        }
        assert_eq!(record.spans()[3], Some(Duration::from_secs(2)));
        // The first step's loss is led over, so that the look back over ten seconds is enough half a second earlier.
        assert_eq!((said, record.held()[2]), (Some(11_500), 20));
    }

    /// Where nothing is returned service is never full, however quiet it is.
    #[test]
    fn without_a_get_returned_it_is_never_full() {
        let mut record = Record::begin(Duration::ZERO);
        for ms in (0..60_000u64).step_by(100) {
            assert!(!record.turn(Duration::from_millis(ms)));
        }
        assert_eq!(record.spans(), [None; 4]);
    }
}
