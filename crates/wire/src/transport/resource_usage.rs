//! Accounting of the resources that all connections hold together: descriptors, buffered bytes and bytes of requests,
//! with their peaks.

use std::cell::Cell;

/// Resources held by all connections together.
#[derive(Default)]
pub struct ResourceUsage {
    /// Open sockets.
    pub descriptors: Gauge,
    /// Buffers of bytes that were read and not parsed, as allocated, and bytes that wait to be written with what each
    /// message takes beside them.
    pub buffered_bytes: Gauge,
    /// Memory of requests that are unanswered or still incomplete.
    pub request_bytes: Gauge,
    /// Total bytes read.
    pub bytes_in: Gauge,
    /// Total bytes written.
    pub bytes_out: Gauge,
}

/// A value with its peak.
#[derive(Default)]
pub struct Gauge {
    current: Cell<usize>,
    peak: Cell<usize>,
}

impl Gauge {
    /// Increases the value, and the peak if the value exceeds it.
    pub fn add(&self, amount: usize) {
        self.current.set(self.current.get() + amount);
        self.peak.set(self.peak.get().max(self.current.get()));
    }

    /// Decreases the value.
    pub fn subtract(&self, amount: usize) {
        debug_assert!(self.current.get() >= amount, "more released than was held");
        self.current.set(self.current.get().saturating_sub(amount));
    }

    /// The current value.
    pub fn current(&self) -> usize {
        self.current.get()
    }

    /// The highest value so far.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }
}
