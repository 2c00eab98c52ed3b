//! The words of the library: what is asked, how a call ends, and what a try may come to.

use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// What a second run of a GET does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Idempotent,
    /// Nothing within the group of the dispatcher that may have run it, and for so long.
    Tokened { window: Duration },
    /// Harm: it happens again.
    NonIdempotent,
}

/// A delivery service.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub effect: Effect,
}

/// A dispatcher that GETs may go to.
#[derive(Clone, Debug)]
pub struct Place {
    pub address: SocketAddr,
    /// Dispatchers of one group drop each other's repeats of a tokened GET.
    pub group: u64,
    /// How many clients like this one share it, as far as is known; what a crowd's return is spread by.
    pub sharers: u32,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Get {
    /// Position in the list of services.
    pub service: usize,
    /// For the whole of it, all tries and pauses included.
    pub budget: Duration,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    /// The tag of a copy that the caller holds; empty: none.
    pub held: Bytes,
    pub body: Bytes,
}

/// The one outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Returned(Returned),
    /// It has not run, and trying again after the pause is harmless.
    Shed {
        why: Shed,
        retry_after: Duration,
    },
    /// It was answered with a failure; a GET with an effect has not run.
    Errored,
    /// It has, or has not: the caller must find out before it asks again.
    MayHaveRun,
    /// Its budget is over; it has no effect, whether or not it ran.
    OutOfTime,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Returned {
    /// The caller's copy is the one; no bytes.
    pub valid: bool,
    pub body: Bytes,
}

/// Who shed a call, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shed {
    /// A dispatcher, and there is no other.
    ByDispatcher,
    /// This library: every dispatcher has asked to be left alone for longer than the budget.
    BackingOff,
    /// This library: the share of retries is spent.
    RetriesSpent,
    /// This library: no dispatcher can be reached in time.
    NoDispatcher,
    /// This library: as many calls as may be in hand are.
    Full,
}

/// How a try ended, without an answer that returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Shed,
    Errored,
    /// The connection is over.
    Lost,
    /// Nothing was heard for too long.
    Silent,
    /// What came can't be read.
    Spoilt,
}

/// How far the bytes of a try got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    /// Not all of them left this machine: a request that is not whole is never taken.
    NotWhole,
    Whole,
}

/// Whether a try may be followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    Anywhere,
    /// Only in the group and window of the one that may have run.
    SameGroup,
    Never,
}

/// One try after the first, for the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resend {
    /// The identity of the GET: the id of its first try.
    pub first: u64,
    /// 1 for the second try.
    pub number: u32,
    /// How the try before it ended, and how far it had got.
    pub end: End,
    pub reached: Reached,
    pub from: usize,
    pub to: usize,
}
