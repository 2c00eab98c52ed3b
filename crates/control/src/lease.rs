//! For how long a proxy may go on without hearing from its control service.
//!
//! A proxy that is cut off can't be told of a drain or a purge, so what it was told holds for a while only: a lease. It is
//! counted from when the control service wrote the message (the message says when), not from when it came, for one that
//! was long on its way must not last longer. What is told at a time `t` is written after every lease stamped before `t`
//! on the same ordered stream; so a proxy that does not know of it has a lease stamped at `t` or before. It stops using
//! it at `t + ttl` by a clock that is at most `clock error` off, and what it sent just before is at its host `MAX_SEND_DELAY`
//! later. Hence `ttl + clock error + MAX_SEND_DELAY = the shortest grace`.

use std::time::Duration;

/// From a proxy's look at its lease until the first byte of the GET is at its host: some wake-ups of a busy machine.
const MAX_SEND_DELAY: Duration = Duration::from_millis(30);
/// Heartbeats in a lease: it survives a few that are late, at the cost of as many small messages.
const HEARTBEATS_PER_LEASE: u32 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// How long what was told holds, from the stamp of the message.
    pub ttl: Duration,
    /// How often it is renewed.
    pub renew_interval: Duration,
}

impl Lease {
    /// From the graces after which a drain and a purge must have taken effect everywhere. A clock error that leaves no
    /// time gives a lease of one millisecond: proxies shed, and break nothing. The operator file refuses such errors.
    pub fn from_grace_periods(drain_grace: Duration, purge_grace: Duration, clock_error: Duration) -> Self {
        let ttl = drain_grace
            .min(purge_grace)
            .saturating_sub(MAX_SEND_DELAY + clock_error)
            .max(Duration::from_millis(1));
        Self { ttl, renew_interval: ttl / HEARTBEATS_PER_LEASE }
    }
}
