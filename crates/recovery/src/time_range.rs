//! Range of observed times.

/// The shortest and the longest of some observed times, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimeRange {
    bounds: Option<(f64, f64)>,
}

impl TimeRange {
    /// Extends the range by a time.
    pub fn record(&mut self, time_s: f64) {
        let (least, largest) = self.bounds.unwrap_or((time_s, time_s));
        self.bounds = Some((least.min(time_s), largest.max(time_s)));
    }

    /// Extends the range by another one.
    pub fn merge(&mut self, other: Self) {
        for time_s in other.bounds.into_iter().flat_map(|(least, largest)| [least, largest]) {
            self.record(time_s);
        }
    }

    /// The shortest time; `None` if none was observed.
    pub fn least(&self) -> Option<f64> {
        self.bounds.map(|(least, _)| least)
    }

    /// The longest time.
    pub fn largest(&self) -> Option<f64> {
        self.bounds.map(|(_, largest)| largest)
    }
}
