//! The errors of membership, each with what an operator can do about it.

use std::net::SocketAddr;
use thiserror::Error;

/// A reason why a member cannot start, or why a message is rejected.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The member's name is empty or too long.
    #[error(
        "the member's name has {length} bytes: give this dispatcher a name of 1 to {max} bytes in (dispatcher (name ...))"
    )]
    NameLength { length: usize, max: usize },
    /// The message is longer than any message of a member.
    #[error(
        "message of {length} bytes exceeds the limit of {max}: another program sends to this port; give members a port of their own"
    )]
    TooLong { length: usize, max: usize },
    /// The message is not in the encoding of members.
    #[error(
        "message cannot be decoded ({error}): look for another program at this port, or members of another version"
    )]
    Undecodable { error: postcard::Error },
    /// The sender belongs to another fleet.
    #[error(
        "message is from fleet {theirs:016x}, this is fleet {ours:016x}: give both the same (fleet ...), or other ports"
    )]
    OtherFleet { theirs: u64, ours: u64 },
    /// A socket cannot be opened.
    #[error(
        "cannot open the {socket} at {address}: {error}; choose an address of this machine that nothing else uses in (peers ...)"
    )]
    Socket { socket: &'static str, address: SocketAddr, error: std::io::Error },
    /// The event loop does not accept a socket or the timer.
    #[error(
        "cannot add the {event_source} to the event loop: {error}; check this machine's limit on descriptors"
    )]
    EventLoop { event_source: &'static str, error: String },
}
