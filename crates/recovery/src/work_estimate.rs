//! Estimate of the work of a request, for limits that protect hosts. The estimate does not fall as the load of a host
//! rises: its samples are times as they were observed, and a request never takes less time than its work.

/// Number of samples that the initial value counts for.
const INITIAL_SAMPLES: f64 = 5.0;
/// Weight of a new sample in the recent mean. The mean covers about 20 requests.
const RECENT_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the long-term mean. The mean covers about 500 requests, so that a spell in which only light
/// requests are answered hardly lowers it.
const LONG_TERM_WEIGHT: f64 = 0.002;
/// Number of successive samples whose mean may show the time of requests at hosts that are not loaded.
const BLOCK_SAMPLES: f64 = 64.0;
/// Standard errors added to the mean of a block, so that a block of light requests by chance is no evidence.
const STANDARD_ERRORS: f64 = 2.5;
/// Factor by which the time at unloaded hosts may rise from one block to the next, as requests become heavier.
const RISE_PER_BLOCK: f64 = 1.06;

/// Sum of some successive samples and of their squares.
#[derive(Clone, Copy, Debug, Default)]
struct Block {
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl Block {
    fn record(&mut self, time_s: f64) {
        self.count += 1.0;
        self.sum += time_s;
        self.sum_of_squares += time_s * time_s;
    }

    /// Upper bound of the mean work in the block, with the error of a mean of so few samples.
    fn upper_bound_s(&self) -> f64 {
        let mean = self.sum / self.count;
        let variance = (self.sum_of_squares / self.count - mean * mean).max(0.0);
        mean + STANDARD_ERRORS * (variance / self.count).sqrt()
    }
}

/// Mean work of a request, from the times that requests took.
///
/// Two values are no lower than the mean work: the mean of the times that were observed, which load makes larger, and
/// the least mean of a block of them, which shows the times at hosts that are not loaded. The smaller one is used.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimate {
    sample_count: f64,
    recent_s: f64,
    long_term_s: f64,
    block: Block,
    /// Time of a request at hosts that are not loaded; `None` before the first block is full.
    unloaded_s: Option<f64>,
}

impl WorkEstimate {
    /// Creates an estimate without samples. Too large an initial value is safe.
    pub fn new(initial_s: f64) -> Self {
        Self { sample_count: INITIAL_SAMPLES, recent_s: initial_s, long_term_s: initial_s, ..Self::default() }
    }

    /// Records the time that a request took at a host, without any wait for another one.
    pub fn record(&mut self, time_s: f64) {
        self.sample_count += 1.0;
        let least_weight = 1.0 / self.sample_count;
        self.recent_s += (time_s - self.recent_s) * RECENT_WEIGHT.max(least_weight);
        self.long_term_s += (time_s - self.long_term_s) * LONG_TERM_WEIGHT.max(least_weight);
        self.block.record(time_s);
        if self.block.count >= BLOCK_SAMPLES {
            let bound_s = std::mem::take(&mut self.block).upper_bound_s();
            self.unloaded_s =
                Some(self.unloaded_s.map_or(bound_s, |unloaded_s| bound_s.min(unloaded_s * RISE_PER_BLOCK)));
        }
    }

    /// Mean work of a request.
    pub fn mean_s(&self) -> f64 {
        let observed_s = self.recent_s.max(self.long_term_s);
        self.unloaded_s.map_or(observed_s, |unloaded_s| unloaded_s.min(observed_s))
    }
}
