//! Retry budget: limits the fraction of fills spent on clients' retries.
//!
//! After a mass restart, clients retry the requests that were lost or rejected. If an origin has no capacity for all fills,
//! a fill for a retry displaces a first attempt that could still be answered in time.

/// Tokens that each fill for a first attempt adds. A fill for a retry takes one token.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Capacity of the token bucket: the number of fills for retries that can be accumulated.
const MAX_TOKENS: f64 = 3.0;

/// Token bucket that is refilled by fills for first attempts and drained by fills for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl RetryBudget {
    /// Whether a fill for a retry may be sent now. Clients that mark every request as a retry get few fills.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Records a fill that was sent for a retry or for a first attempt.
    pub fn record_fill(&mut self, is_retry: bool) {
        self.tokens = if is_retry {
            (self.tokens - 1.0).max(0.0)
        } else {
            (self.tokens + RETRIES_PER_FIRST_ATTEMPT).min(MAX_TOKENS)
        };
    }
}

#[cfg(test)]
mod tests {
    use super::RetryBudget;

    /// With as many retries as first attempts, one retry in ten gets a fill.
    #[test]
    fn retries_get_a_tenth_of_the_fills_of_first_attempts() {
        let (mut budget, mut filled_retries) = (RetryBudget::default(), 0);
        for _ in 0..1000 {
            budget.record_fill(false);
            if budget.allows() {
                budget.record_fill(true);
                filled_retries += 1;
            }
        }
        assert!((95..=105).contains(&filled_retries), "{filled_retries} of 1000 retries got a fill");
    }
}
