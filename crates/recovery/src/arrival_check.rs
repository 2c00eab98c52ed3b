//! Check of what a host in slow start is sent, apart from the limit on it. It counts the requests that were written to the
//! host, at the least work that is credible for them, against what the settings and the host's weight allow. It uses
//! neither the estimate nor the books of the limit.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests under which the bound leaves more room for chance.
const FEW_REQUESTS: f64 = 30.0;
/// Number of successive samples whose mean is credible as the mean work of a service.
const BLOCK_SAMPLES: u32 = 64;

/// Slow start of the hosts of a tier, by the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartTerms {
    /// Fraction of its full work that a host can do right after its start.
    pub initial_fraction: f64,
    pub duration: Duration,
    /// Multiple of the work that a cold host can do at which it fails from overload.
    pub overload_factor: f64,
    pub window: Duration,
    /// Number of routers that send to a host.
    pub sharing_routers: f64,
}

impl SlowStartTerms {
    /// Work that one router may send within the window to a host of this age and weight, in seconds.
    fn allowed_s(&self, age: Duration, weight: f64) -> f64 {
        let warmth = age.div_duration_f64(self.duration).min(1.0);
        let capacity = (self.initial_fraction + (1.0 - self.initial_fraction) * warmth) * weight;
        self.overload_factor * capacity * self.window.as_secs_f64() / self.sharing_routers
    }
}

/// The number of requests that may be sent where `allowed` requests are allowed, with room for chance.
pub fn request_bound(allowed: f64) -> f64 {
    let root = allowed.sqrt();
    if allowed < FEW_REQUESTS { allowed + 3.0 * root + 3.0 } else { allowed + 2.0 * root + 2.0 }
}

/// Least credible mean work of the requests of a service: the least mean of a block of observed times. A time is never
/// shorter than the work of its request.
#[derive(Clone, Copy, Debug)]
pub struct LeastWork {
    count: u32,
    sum_s: f64,
    initial_s: f64,
    least_s: Option<f64>,
}

impl LeastWork {
    /// Creates a value without samples.
    pub fn new(initial_s: f64) -> Self {
        Self { count: 0, sum_s: 0.0, initial_s, least_s: None }
    }

    /// Records the time that a request took at a host, without any wait for another one.
    pub fn record(&mut self, time_s: f64) {
        (self.count, self.sum_s) = (self.count + 1, self.sum_s + time_s);
        if self.count == BLOCK_SAMPLES {
            let mean_s = self.sum_s / f64::from(self.count);
            self.least_s = Some(self.least_s.map_or(mean_s, |least_s| least_s.min(mean_s)));
            (self.count, self.sum_s) = (0, 0.0);
        }
    }

    /// The least credible mean. Before the first block is full it is the initial value or the mean so far, whichever is
    /// smaller.
    pub fn mean_s(&self) -> f64 {
        let mean_so_far_s = if self.count > 0 { self.sum_s / f64::from(self.count) } else { self.initial_s };
        self.least_s.unwrap_or(self.initial_s.min(mean_so_far_s))
    }
}

/// More requests than a host in slow start may get from this router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    pub requests: usize,
    pub bound: f64,
    /// Time since the start of the host.
    pub age: Duration,
}

/// Requests that were written to one host since it started.
#[derive(Clone, Debug, Default)]
pub struct ArrivalCheck {
    started_at: Option<Duration>,
    /// When each request of the last window was written, and its work.
    written: VecDeque<(Duration, f64)>,
    sum_s: f64,
}

impl ArrivalCheck {
    /// The host started at this time, or not long after.
    pub fn on_start(&mut self, at: Duration) {
        *self = Self { started_at: Some(at), ..Self::default() };
    }

    /// Counts a request that is written to the host now. Returns the excess if it is one too many.
    pub fn on_written(
        &mut self,
        work_s: f64,
        weight: f64,
        terms: &SlowStartTerms,
        now: Duration,
    ) -> Option<Excess> {
        let age = now.saturating_sub(self.started_at?);
        if age >= terms.duration {
            *self = Self::default();
            return None;
        }
        self.written.push_back((now, work_s));
        self.sum_s += work_s;
        while let Some(&(_, work_s)) = self.written.front().filter(|(at, _)| *at + terms.window <= now) {
            self.sum_s -= work_s;
            self.written.pop_front();
        }
        let requests = self.written.len();
        let mean_s = self.sum_s / requests as f64;
        let bound = request_bound(terms.allowed_s(age, weight) / mean_s);
        (requests as f64 > bound).then_some(Excess { requests, bound, age })
    }
}
