//! What all connections together hold: descriptors, buffered bytes and those of requests, with their peaks.

use std::cell::Cell;

#[derive(Default)]
pub struct Accounts {
    descriptors: Gauge,
    buffered: Gauge,
    requests: Gauge,
    pub bytes_in: Cell<u64>,
    pub bytes_out: Cell<u64>,
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

impl Accounts {
    pub fn descriptors(&self) -> &Gauge {
        &self.descriptors
    }

    pub fn buffered(&self) -> &Gauge {
        &self.buffered
    }

    /// Bytes of requests that are in hand or not yet whole.
    pub fn requests(&self) -> &Gauge {
        &self.requests
    }

    pub fn count(counter: &Cell<u64>, n: usize) {
        counter.set(counter.get() + n as u64);
    }
}
