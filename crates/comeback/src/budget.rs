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

#[cfg(test)]
mod tests {
    use super::Budget;
    use std::time::Duration;

    /// Three hundred routers at a host that has just started, each GET heavier than any one's part: what they send together
    /// stays at what it bears, from the first second on. Without the scatter all would send in the first moment, and with no
    /// room for a heavy GET none ever would.
    #[test]
    fn many_routers_with_heavy_gets_send_what_the_host_bears() {
        let start = Duration::from_secs(3600);
        let (routers, bears) = (300, 4.0);
        let rate = bears / f64::from(routers);
        let mut budgets = vec![Budget::default(); routers as usize];
        let mut seconds = [0.0; 20];
        for ms in (0..20_000).step_by(50) {
            for (n, budget) in budgets.iter_mut().enumerate() {
                let now = start + Duration::from_millis(ms);
                let phase = (n as f64 * 0.618_034).fract();
                if budget.admits(0.3, (rate, 1.0), start, phase, now) {
                    seconds[ms as usize / 1000] += 0.3;
                }
            }
        }
        let most = seconds.iter().copied().fold(0.0, f64::max);
        assert!(most <= bears * 1.6, "{seconds:?}");
        assert!(seconds.iter().sum::<f64>() >= bears * 20.0 * 0.8, "{seconds:?}");
    }
}
