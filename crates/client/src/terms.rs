//! The public types of the library: calls, their outcomes, and the ends of attempts.

use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// The effect of running a GET a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A second run has no effect.
    Idempotent,
    /// A second run has no effect if it is in the group of the dispatcher that may have run the GET, within the window.
    Tokened { window: Duration },
    /// A second run repeats the effect, which does harm.
    NonIdempotent,
}

/// A delivery service.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub effect: Effect,
}

/// A dispatcher that GETs may be sent to.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub address: SocketAddr,
    /// Dispatchers of one group drop each other's repeats of a tokened GET.
    pub group: u64,
    /// Approximate number of clients that use the same dispatcher. Reconnects after a loss are spread in proportion to it.
    pub sharers: u32,
}

/// A call.
#[derive(Clone, Debug)]
pub struct Get {
    /// Index into the list of services.
    pub service: usize,
    /// Time limit of the whole call, including all attempts and pauses.
    pub budget: Duration,
    pub object: u64,
    pub chunk: u32,
    pub group: u32,
    /// The tag of the version that the caller holds; empty if it holds none.
    pub held_version: Bytes,
    pub body: Bytes,
}

/// The outcome of a call. Each call has exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Returned(Returned),
    /// Retrying the GET after the pause is harmless. A GET with an effect has not run and will not.
    Shed {
        reason: ShedReason,
        retry_after: Duration,
    },
    /// The GET was answered with a failure. Only an idempotent GET may have run: the others end as `MayHaveRun` then.
    Errored,
    /// It is unknown whether the GET has run or will still run. The caller must find out before it retries.
    MayHaveRun,
    /// The budget is over. A GET with an effect has not run and will not: no attempt of it has left this machine whole, but
    /// for those that were refused. An idempotent GET may have run.
    OutOfTime,
}

/// The answer to a returned call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Returned {
    /// The version that the caller holds is valid; the body is empty.
    pub valid: bool,
    pub body: Bytes,
}

/// The reason for which a call was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// A dispatcher refused the call, and no other can take it.
    ByDispatcher,
    /// The library shed the call: every dispatcher has requested a pause longer than the budget.
    BackingOff,
    /// The library shed the call: the credit for retries is spent.
    RetriesSpent,
    /// The library shed the call: no dispatcher can be reached in time.
    NoDispatcher,
    /// The library shed the call: the limit of calls in flight is reached.
    Full,
}

/// The end of an attempt that did not return its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Shed,
    Errored,
    /// The connection has ended.
    Lost,
    /// Nothing was read for too long.
    Silent,
    /// The answer was malformed.
    Spoilt,
}

/// How far the bytes of an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    /// Some bytes never left this machine. A dispatcher never accepts an incomplete request.
    NotWhole,
    /// All bytes left this machine.
    Whole,
}

/// Where the next attempt of a GET may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    Anywhere,
    /// Only to the group of the dispatcher that may have run the GET, within the window.
    SameGroup,
    Never,
}

/// Record of an attempt after the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resend {
    /// Id of the first attempt, which identifies the GET.
    pub first_id: u64,
    /// 1 for the second attempt.
    pub attempt: u32,
    /// End of the attempt before this one.
    pub end: End,
    /// How far the bytes of the attempt before this one got.
    pub reached: Reached,
    /// Index of the dispatcher of the attempt before this one.
    pub from: usize,
    /// Index of the dispatcher of this attempt.
    pub to: usize,
}
