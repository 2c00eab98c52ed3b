//! The lease: for how long a proxy may continue without a message from its control service.
//!
//! A proxy that is cut off cannot be informed of a drain or a purge, so the published state holds for a limited time
//! only, the lease. It is counted from when the control service wrote the message (its nonce contains that time), not
//! from when the message arrived, so that a message with a long delay in transit does not last longer.
//!
//! A drain or purge published at time `t` is written after every lease stamped before `t` on the same ordered stream,
//! so a proxy that has not received it has a lease stamped at `t` or before. Such a proxy stops using the old state at
//! `t + ttl` by a clock that is at most `clock error` off, and what it sent just before reaches its host
//! `MAX_SEND_DELAY` later. Hence `ttl + clock error + MAX_SEND_DELAY = the shortest grace`.
//!
//! A refusal of copies is published as long before it is in force. It is needed if a poll of the change log is not
//! answered within the grace of purges, so the lease of a service that polls one takes half of that grace at most, and
//! leaves the rest to the answer.

use std::time::Duration;

/// From a proxy's check of its lease until the first byte of the GET reaches its host: some wake-ups of a busy machine.
pub const MAX_SEND_DELAY: Duration = Duration::from_millis(30);
/// Heartbeats in a lease. It survives a few late ones, at the cost of as many small messages.
const HEARTBEATS_PER_LEASE: u32 = 5;

/// Time to live of the published state and how often it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Time to live, counted from the timestamp of the message.
    pub ttl: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
}

impl Lease {
    /// Derives the lease from the graces within which a drain and a purge must take effect everywhere. A clock error that
    /// leaves no time gives a lease of one millisecond: proxies shed, but break no rule. The operator file rejects such
    /// clock errors.
    pub fn from_grace_periods(drain_grace: Duration, purge_grace: Duration, clock_error: Duration) -> Self {
        let ttl = drain_grace
            .min(purge_grace)
            .saturating_sub(MAX_SEND_DELAY + clock_error)
            .max(Duration::from_millis(1));
        Self { ttl, renew_interval: ttl / HEARTBEATS_PER_LEASE }
    }

    /// The same for a service that polls a change log for purges.
    pub fn with_polled_purges(drain_grace: Duration, purge_grace: Duration, clock_error: Duration) -> Self {
        Self::from_grace_periods(drain_grace, purge_grace / 2, clock_error)
    }
}
