//! What members say to each other, as postcard writes it: small enough for one datagram, and bounded before it is read.

use crate::errors::MembershipError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a datagram at most: under what every way carries in one piece.
pub const DATAGRAM_MOST: usize = 1200;
/// Bytes of a full exchange at most: 4,096 members with the longest names.
pub const EXCHANGE_MOST: usize = 512 * 1024;
/// Bytes of a name.
pub const NAME_MOST: usize = 64;
/// Lines on members in a datagram: what is new travels on what is said anyway.
pub const LINES_MOST: usize = 6;

/// Which life of a member, and how often in it the member has had to say that it is there; the later goes before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// Unix milliseconds of its start, or one more than a former life's.
    pub generation: u64,
    pub incarnation: u32,
}

/// What is held of a member. Of one life, the later in this order is the stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Here,
    Doubted,
    Gone,
    /// By its own word.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub name: String,
    pub at: SocketAddr,
    pub life: Life,
    pub state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Ping {
        number: u32,
    },
    Ack {
        number: u32,
    },
    /// Ping that address for me.
    Ask {
        number: u32,
        whom: SocketAddr,
    },
    /// The one that you asked me to ping has answered.
    Through {
        number: u32,
    },
    /// Only lines.
    Tell,
}

/// A message: whose, and what it says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    pub fleet: u64,
    pub from: Line,
    pub body: Body,
    pub lines: Vec<Line>,
}

/// All that a member knows, over a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    pub fleet: u64,
    /// None: one who only looks on, and is no member.
    pub from: Option<Line>,
    /// How the sender's own view stands: its epoch, and whether it reaches most.
    pub epoch: u64,
    pub most: bool,
    pub lines: Vec<Line>,
}

/// A fleet's number for its name: FNV-1a.
pub fn fleet_number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

pub fn write(what: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(what).expect("what members say has a length and no maps")
}

pub fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8], most: usize) -> Result<T, MembershipError> {
    if bytes.len() > most {
        return Err(MembershipError::TooLong { length: bytes.len(), most });
    }
    postcard::from_bytes(bytes).map_err(|why| MembershipError::Unreadable { why })
}
