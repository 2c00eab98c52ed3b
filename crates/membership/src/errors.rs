//! The errors of membership, each with what an operator can do about it.

use std::net::SocketAddr;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum MembershipError {
    #[error(
        "the member's name has {length} bytes: give this dispatcher a name of 1 to {max} bytes in (dispatcher (name ...))"
    )]
    NameLength { length: usize, max: usize },
    #[error(
        "message of {length} bytes exceeds the limit of {max}: another program sends to this port; give members a port of their own"
    )]
    TooLong { length: usize, max: usize },
    #[error(
        "message cannot be decoded ({error}): look for another program at this port, or members of another version"
    )]
    Undecodable { error: postcard::Error },
    #[error(
        "message is from fleet {theirs:016x}, this is fleet {ours:016x}: give both the same (fleet ...), or other ports"
    )]
    OtherFleet { theirs: u64, ours: u64 },
    #[error(
        "cannot open the {what} at {address}: {error}; choose an address of this machine that nothing else uses in (peers ...)"
    )]
    Socket { what: &'static str, address: SocketAddr, error: std::io::Error },
    #[error("cannot add the {what} to the event loop: {error}; check this machine's limit on descriptors")]
    EventLoop { what: &'static str, error: String },
}
