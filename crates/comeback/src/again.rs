//! A budget for tries again. After a mass restart clients come again with what was lost or shed; where a source has no room
//! for all, a fill for one of them takes the place of a first try that could still be in time.

/// Fills for tries again for each fill of a first try while fills are bounded: few enough that first tries keep the
/// source, and some, so that those who came again are not shut out.
const PART: f64 = 0.1;
/// Fills saved up for them.
const SAVED: f64 = 3.0;

/// What is left of the budget.
#[derive(Clone, Debug)]
pub struct Again {
    left: f64,
}

impl Default for Again {
    fn default() -> Self {
        Self { left: 1.0 }
    }
}

impl Again {
    /// Whether a try again may have a fill now. It hurts clients whose every try is one again.
    pub fn allows(&self) -> bool {
        self.left >= 1.0
    }

    /// A fill went out, for a try again or a first one.
    pub fn filled(&mut self, again: bool) {
        self.left = if again { (self.left - 1.0).max(0.0) } else { (self.left + PART).min(SAVED) };
    }
}

#[cfg(test)]
mod tests {
    use super::Again;

    /// Of as many tries again as first ones, one in ten gets through once what was saved is gone.
    #[test]
    fn tries_again_have_a_tenth_of_what_first_ones_have() {
        let (mut again, mut through) = (Again::default(), 0);
        for _ in 0..1000 {
            again.filled(false);
            if again.allows() {
                again.filled(true);
                through += 1;
            }
        }
        assert!((95..=105).contains(&through), "{through}");
    }
}
