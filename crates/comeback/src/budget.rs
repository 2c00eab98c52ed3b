//! One router's budget of work at a cold host: its part of what the host bears, so that all together do not push it over.

use std::time::Duration;

/// Work sent, draining at the rate of the router's part.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// s
    spent: f64,
    asked_at: Duration,
}

impl Budget {
    /// Whether a GET of so much `work`, s, fits into a part of `rate`, s a second, that the host bears for `span`, s; if so
    /// it is spent. `since`: when the host came to be cold; `phase`, from 0 to 1, scatters routers. Guards hosts that
    /// start, or come back; it hurts where neighbours are overloaded.
    pub fn admits(
        &mut self,
        work: f64,
        (rate, span): (f64, f64),
        since: Duration,
        phase: f64,
        now: Duration,
    ) -> bool {
        let bears = rate * span;
        if self.asked_at < since {
            // Where a GET weighs more than the part, one goes now and then: each router's first at a moment of its own.
            self.spent = (work - bears).max(0.0) * phase;
        } else {
            self.spent = (self.spent - now.saturating_sub(self.asked_at).as_secs_f64() * rate).max(0.0);
        }
        self.asked_at = now;
        let fits = self.spent + work <= bears.max(work);
        self.spent += if fits { work } else { 0.0 };
        fits
    }
}
