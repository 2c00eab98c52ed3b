//! What all connections together hold: descriptors, buffered bytes and those of requests, with their peaks.

use std::cell::Cell;

#[derive(Default)]
pub struct Accounts {
    pub descriptors: Gauge,
    pub buffered: Gauge,
    /// Bytes of requests that are in hand or not yet whole.
    pub requests: Gauge,
    /// Bytes ever read and ever written.
    pub bytes_in: Gauge,
    pub bytes_out: Gauge,
}

/// A level and the highest that it has been.
#[derive(Default)]
pub struct Gauge {
    level: Cell<usize>,
    peak: Cell<usize>,
}

impl Gauge {
    pub fn add(&self, n: usize) {
        self.level.set(self.level.get() + n);
        self.peak.set(self.peak.get().max(self.level.get()));
    }

    pub fn take(&self, n: usize) {
        debug_assert!(self.level.get() >= n, "more given back than was held");
        self.level.set(self.level.get().saturating_sub(n));
    }

    pub fn level(&self) -> usize {
        self.level.get()
    }

    pub fn peak(&self) -> usize {
        self.peak.get()
    }
}
