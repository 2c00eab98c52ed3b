//! What may be asked of one source: a bound on the fills out there together, which many routers share without a word
//! between them, from the start on.
//!
//! The bound begins at a share of a few fills for all routers together, doubles while fills are easy and it is reached, is
//! cut when they wait for long, come late or fail, and from the first cut on rises by a few fills for all routers together
//! in the time that a fill takes. A router's part may be under one fill: then fills are let out one by one, as far apart as
//! keeps the part; routers that start together begin at moments of their own.

use crate::bits::marked;
use std::time::Duration;

/// Fills out that all routers of a source together are let have at first, and always: a few, which a small source bears,
/// and a part of one for each router, since a source that many share is sized for many.
const FIRST: (f64, f64) = (4.0, 0.1);
const LEAST: (f64, f64) = (4.0, 0.05);
/// Times as large a part for each router at first where others ask there too: their fills count as well, and they are asked for some.
const FIRST_OTHERS: f64 = 3.0;
/// What is added for each router at first, over the square of their count: the fewer there are, the more each sees of
/// what its fills do to the source.
const FIRST_FEW: f64 = 60.0;
/// Fills that all together add in the time that a fill takes, once the bound was cut.
const RISE: f64 = 32.0;
/// Parts of its objective that a fill may wait from which the bound rises no more, and over which it is cut: where many
/// share a source, with room for what all of them ask for before any of them hears of it, and for the rest of the way; and
/// what is added to them, over the count of routers, for the fewer there are the sooner a cut is felt.
const EASY: (f64, f64) = (0.25, 3.0);
const PRESSED: (f64, f64) = (0.4, 4.0);
/// Of the objective that is left beside the way and work of a fill that waits for nobody, the parts that it may wait beyond
/// them: where a source is far, or works long, the marks above would be passed with no fill in the queue.
const EASY_MORE: f64 = 0.4;
const PRESSED_MORE: f64 = 0.5;
/// The most of its objective that a way and its work are taken to need: what waits longer waits in a queue.
const BASE_MOST: f64 = 0.5;
/// Weight of a longer wait in the least one: a way that came to be longer is known after some hundred fills.
const BASE_RISES: f64 = 0.01;
/// The bound is cut to this share at least and at most when fills wait for too long, once in the time that a fill takes or
/// in so many ms.
const CUT_EVERY: Duration = Duration::from_millis(250);
const CUT_LEAST: f64 = 0.85;
const CUT_MOST: f64 = 0.5;
/// Of the last fills, so many late or failed are no chance.
const FEW: u32 = 4;
/// Share of the bound that stays at each fill while less than half of it is used: what was never needed is not known to
/// be borne.
const UNUSED: f64 = 0.98;
/// Share of a part under one fill that must have been used lately for it to rise, and s over which that is told: a part that
/// nobody needs would rise with each easy fill, and be far over what the source bears once it slows.
const USED: f64 = 0.3;
const USED_OVER: f64 = 2.0;
/// Fills in that time from which their use tells: of one that comes every few seconds it is chance.
const TELLING: f64 = 2.0;
/// s; a fill's time until one was seen: a way to a far source and its work.
const TAKES_FIRST: f64 = 0.1;
/// weight of a fill's time in the mean.
const BLEND: f64 = 0.1;
/// Fills saved up while none was asked for, where a part is under one: GETs come unevenly.
const SAVED: f64 = 1.0;

/// What a fill's end tells of its source.
#[derive(Clone, Copy, Debug)]
pub struct Filled {
    /// It came, within its objective.
    pub in_time: bool,
    /// s; how long it waited for the source's first byte, where that is told, and its latency objective.
    pub waited: Option<f64>,
    pub objective: f64,
    pub took: Duration,
}

/// The bound of one router on one source. Times are since the router's start, as everywhere.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    limit: f64,
    sharers: f64,
    /// Times as much at first.
    times: f64,
    /// Last fills, newest in the lowest bit, 1 a bad one.
    bad: u32,
    cut_at: Option<Duration>,
    /// Under one fill: when the next may go out.
    next: Duration,
    /// s; how long a fill takes, lately.
    takes: f64,
    /// Fills a second sent lately, as of the last one, by their parts and by their count.
    rate: f64,
    count: f64,
    rate_at: Duration,
    /// s; how long a fill waits where nothing queues; 0: not seen yet. A time and no part of an objective: the way to a
    /// source is the same for all services, and where objectives differ one would be taken for pressed by another's measure.
    base: f64,
}

impl Pace {
    /// Of a source shared by so many routers; `phase`, from 0 to 1, scatters those that start together. One that `others`
    /// ask for what they lack is sized for them, too.
    pub fn begin(&mut self, sharers: f64, others: bool, phase: f64, now: Duration) {
        (self.sharers, self.times) = (sharers.max(1.0), if others { FIRST_OTHERS } else { 1.0 });
        if self.limit > 0.0 {
            return;
        }
        (self.limit, self.takes) = (self.first(), TAKES_FIRST);
        if self.limit < 1.0 {
            self.next = now + Duration::from_secs_f64(self.apart() * phase.clamp(0.0, 1.0));
        }
    }

    /// Shared by so many from now on. By more: the part shrinks at once, for the others begin at once; by fewer: it rises
    /// as the source shows that it bears it.
    ///
    /// ```
    /// use myrtlegauge_comeback::Pace;
    /// let mut pace = Pace::default();
    /// pace.begin(10.0, false, 0.0, std::time::Duration::ZERO);
    /// let before = pace.limit();
    /// pace.shared_by(20.0);
    /// assert_eq!(pace.limit(), before / 2.0);
    /// pace.shared_by(10.0);
    /// assert_eq!(pace.limit(), before / 2.0);
    /// ```
    pub fn shared_by(&mut self, sharers: f64) {
        let sharers = sharers.max(1.0);
        self.limit *= (self.sharers / sharers).min(1.0);
        self.sharers = sharers;
    }

    fn first(&self) -> f64 {
        self.times * FIRST.1 + FIRST.0 / self.sharers + FIRST_FEW / (self.sharers * self.sharers)
    }

    fn part(&self, (few, each): (f64, f64)) -> f64 {
        few / self.sharers + each
    }

    /// Fills that may be out together; under one, the part of the time that one may be.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    fn apart(&self) -> f64 {
        self.takes / self.limit.max(1e-3)
    }

    /// Whether one more may go out beside `out` others.
    pub fn has_room(&self, out: f64, now: Duration) -> bool {
        self.opens_at(out, now) == Some(now)
    }

    /// When one more may go out beside `out` others; none where that is no matter of time.
    pub fn opens_at(&self, out: f64, now: Duration) -> Option<Duration> {
        if self.limit >= 1.0 { (out < self.limit).then_some(now) } else { Some(self.next.max(now)) }
    }

    /// One went out, or will as soon as it may; `part` of it, where only some such fills come to this source.
    pub fn sent(&mut self, part: f64, now: Duration) {
        let fades = self.fades(now);
        (self.rate, self.count) = (self.rate * fades + part / USED_OVER, self.count * fades + 1.0);
        self.rate_at = now;
        if self.limit < 1.0 {
            let apart = self.apart() * part;
            let from = self.next.max(now.saturating_sub(Duration::from_secs_f64(apart * SAVED)));
            self.next = from + Duration::from_secs_f64(apart);
        }
    }

    fn fades(&self, now: Duration) -> f64 {
        (-(now.saturating_sub(self.rate_at).as_secs_f64() / USED_OVER)).exp()
    }

    /// Fills that were out together on the mean lately, where a part under one lets them out; none: too few to tell.
    fn used(&self, now: Duration) -> Option<f64> {
        let fades = self.fades(now);
        (self.limit < 1.0 && self.count * fades >= TELLING).then_some(self.rate * fades * self.takes)
    }

    /// Whether what it lets out is needed.
    fn is_needed(&self, out: f64, now: Duration) -> bool {
        if self.limit >= 1.0 {
            out + 1.0 >= self.limit
        } else {
            self.used(now).is_none_or(|used| used >= self.limit * USED)
        }
    }

    /// One ended with `out` others out; whether it tells that the source is pressed. Guards sources, and links on the way
    /// there, from what all routers ask for together; it hurts where a slow cache spoils a source's count.
    pub fn ended(&mut self, out: f64, filled: &Filled, now: Duration) -> bool {
        if let Some(waited) = filled.waited.filter(|_| filled.in_time) {
            let risen = self.base + BASE_RISES * (waited - self.base);
            self.base = if self.base > 0.0 { waited.min(risen) } else { waited };
        }
        let of_objective = |s: f64| s / filled.objective.max(1e-3);
        let (waited, base) =
            (of_objective(filled.waited.unwrap_or(0.0)), of_objective(self.base).min(BASE_MOST));
        let mark = |(part, few): (f64, f64), more: f64| {
            (part + few / self.sharers).max(base + more * (1.0 - base)).min(1.0)
        };
        let (easy, pressed) = (mark(EASY, EASY_MORE), filled.in_time && waited > mark(PRESSED, PRESSED_MORE));
        self.bad = self.bad << 1 | u32::from(!filled.in_time);
        self.takes += BLEND * (filled.took.as_secs_f64() - self.takes);
        let many = !filled.in_time && marked(self.bad, FEW) > 1;
        let (least, first) = (self.part(LEAST), self.first());
        let every = Duration::from_secs_f64(self.takes).min(CUT_EVERY);
        if (pressed || many) && self.cut_at.is_none_or(|at| now >= at + every) {
            let share = if pressed { (easy / waited).clamp(CUT_MOST, CUT_LEAST) } else { CUT_MOST };
            let used = self.used(now).unwrap_or(out + 1.0);
            self.limit = (self.limit.min(used.max(least)) * share).max(least);
            self.cut_at = Some(now);
        } else if filled.in_time && waited <= easy {
            if self.limit < first.min(1.0) || self.is_needed(out, now) {
                let most = if self.cut_at.is_some() { RISE / self.sharers / self.limit } else { 1.0 };
                self.limit += most.min(self.limit);
            } else if out + 1.0 < self.limit / 2.0 && self.limit > first {
                self.limit = (self.limit * UNUSED).max(first);
            }
        }
        pressed || !filled.in_time
    }
}

#[cfg(test)]
mod tests {
    use super::{Filled, Pace};
    use std::time::Duration;

    fn fill(waited: f64, objective: f64) -> Filled {
        let took = Duration::from_secs_f64(waited + 0.05);
        Filled { in_time: waited < objective, waited: Some(waited), objective, took }
    }

    fn pace() -> Pace {
        let mut pace = Pace::default();
        pace.begin(300.0, true, 0.0, Duration::ZERO);
        pace
    }

    /// Of three easy fills a second that all come to the source it rises; of three of which a tenth do, it need not: a part
    /// far over what is used would let an overload in at once.
    #[test]
    fn a_part_rises_only_while_it_is_used() {
        let (ms, after) = (Duration::from_millis, |part| {
            let mut pace = pace();
            (0..4).for_each(|_| pace.sent(part, Duration::ZERO));
            for n in 0..180 {
                pace.sent(part, Duration::from_millis(n * 333));
                pace.ended(0.0, &fill(0.05, 0.28), Duration::from_millis(n * 333 + 100));
            }
            pace.limit()
        });
        assert!(after(0.1) < 0.4 && after(1.0) >= 1.0, "{} {}", after(0.1), after(1.0));
        assert_eq!(pace().used(ms(1)), None);
    }

    /// Two late ones cut it by what is used, however far it was over that.
    #[test]
    fn a_cut_goes_by_what_is_used() {
        let (mut pace, ms) = (pace(), Duration::from_millis);
        (0..20).for_each(|n| pace.sent(0.1, ms(n * 100)));
        let before = pace.limit();
        for n in 0..2 {
            pace.ended(0.0, &fill(0.9, 0.28), ms(2000 + n));
        }
        assert!(before > 0.3 && pace.limit() < 0.1, "{before} to {}", pace.limit());
    }

    /// One way and work, two objectives: what is easy by the longer is not taken for pressed by the shorter.
    #[test]
    fn a_far_source_is_pressed_for_no_service() {
        let (mut pace, ms) = (pace(), Duration::from_millis);
        for n in 0..100 {
            let objective = if n % 2 == 0 { 0.5 } else { 0.22 };
            assert!(!pace.ended(0.0, &fill(0.1, objective), ms(n * 100)));
        }
    }
}
