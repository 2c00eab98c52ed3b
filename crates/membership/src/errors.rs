//! What can be wrong, each with what an operator can do about it.

use std::net::SocketAddr;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum MembershipError {
    #[error(
        "a name of {length} bytes: give this dispatcher a name of 1 to {most} bytes in (dispatcher (name ...))"
    )]
    Name { length: usize, most: usize },
    #[error(
        "a message of {length} bytes where {most} are allowed: something else talks to this port; give members a port of their own"
    )]
    TooLong { length: usize, most: usize },
    #[error(
        "a message that can't be read ({why}): look for another program at this port, or members of another version"
    )]
    Unreadable { why: postcard::Error },
    #[error(
        "a message of the fleet {theirs:016x}, this is {ours:016x}: give both the same (fleet ...), or other ports"
    )]
    OtherFleet { theirs: u64, ours: u64 },
    #[error("{what} {at}: {why}; choose an address of this machine that nothing else uses in (peers ...)")]
    Socket { what: &'static str, at: SocketAddr, why: std::io::Error },
    #[error("the event loop does not take {what}: {why}; look at this machine's limit on descriptors")]
    Loop { what: &'static str, why: String },
}
