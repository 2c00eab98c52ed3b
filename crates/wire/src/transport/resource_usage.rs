//! Accounting of the resources that all connections hold together: descriptors, buffered bytes and bytes of requests,
//! with their peaks.

use std::cell::Cell;

/// Resources held by all connections together.
#[derive(Default)]
pub struct ResourceUsage {
    /// Open sockets.
    pub descriptors: Gauge,
    /// Bytes read but not parsed, and bytes that wait to be written.
    pub buffered_bytes: Gauge,
    /// Bytes of requests that are unanswered or still incomplete.
    pub request_bytes: Gauge,
    /// Total bytes read.
    pub bytes_in: Gauge,
    /// Total bytes written.
    pub bytes_out: Gauge,
}

/// A value with its peak.
#[derive(Default)]
pub struct Gauge {
    level: Cell<usize>,
    peak: Cell<usize>,
}

impl Gauge {
    /// Increases the value, and the peak if the value exceeds it.
    pub fn add(&self, n: usize) {
        self.level.set(self.level.get() + n);
        self.peak.set(self.peak.get().max(self.level.get()));
    }

    /// Decreases the value.
    pub fn subtract(&self, n: usize) {
        debug_assert!(self.level.get() >= n, "more given back than was held");
        self.level.set(self.level.get().saturating_sub(n));
    }

    /// The current value.
    pub fn current(&self) -> usize {
        self.level.get()
    }

    /// The highest value so far.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }
}
