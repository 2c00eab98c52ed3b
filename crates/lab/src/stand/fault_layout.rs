//! Layout of the page through which a proof run tells a preloaded library what to do. Both sides are built from this file.

/// The variable that names the page's file.
pub const PAGE_VARIABLE: &str = "FAULT_PAGE";
/// Bytes of the page: 64-bit words, each read and written atomically.
pub const PAGE_BYTES: usize = 4096;
/// Nanoseconds, signed, that the process's wall clock is ahead of the machine's.
pub const CLOCK_OFFSET: usize = 0;
/// State of the generator that draws which calls fail.
pub const DRAW: usize = 1;
/// First of the rates: calls of each kind that fail, of `RATE_OF`.
pub const RATES: usize = 8;
/// First of the counters: calls of each kind that were made to fail.
pub const FAILED: usize = 24;
/// A rate is a part of so many calls.
pub const RATE_OF: u64 = 10_000;

/// The kinds of calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `ECONNABORTED`, `ENFILE`, `ENOBUFS`.
    Accept,
    /// `ENFILE`, `ENOBUFS`.
    Socket,
    /// `EADDRNOTAVAIL`, `ENETUNREACH`.
    Connect,
    /// `EINTR`.
    Wait,
    /// `EINTR`, or fewer bytes than there are.
    Read,
    /// `EINTR`, or fewer bytes than there are.
    Write,
    /// `ETIMEDOUT`, `EHOSTUNREACH`: the connection is shut down, too.
    Break,
    /// `EINTR`; the descriptor is closed all the same.
    Close,
}

/// All kinds, in the order of their numbers.
pub const CALLS: [Call; 8] = [
    Call::Accept,
    Call::Socket,
    Call::Connect,
    Call::Wait,
    Call::Read,
    Call::Write,
    Call::Break,
    Call::Close,
];
