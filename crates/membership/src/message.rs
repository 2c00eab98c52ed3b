//! The messages between members, encoded by postcard: small enough for one datagram, and bounded before they are decoded.

use crate::errors::MembershipError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum size of a datagram: below what every network path carries unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The maximum size of a full exchange: 4,096 members with the longest names.
pub const MAX_EXCHANGE_BYTES: usize = 512 * 1024;
/// The maximum length of a member's name.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum number of member records in a datagram: gossip is piggybacked on messages that are sent anyway.
pub const MAX_GOSSIPED_RECORDS: usize = 6;

/// The version of a member's record; the later one supersedes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberVersion {
    /// Unix milliseconds of the process start, or one more than an earlier process's.
    pub generation: u64,
    /// Raised each time that the member has to refute that it is suspect or dead.
    pub incarnation: u32,
}

/// The state of a member. For one version, the later state in this order is the stricter one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers, as far as is known.
    Alive,
    /// Did not answer, or is reported so, and may still refute it.
    Suspect,
    /// Declared dead.
    Dead,
    /// The member announced that it leaves.
    Left,
}

/// The known facts about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: String,
    pub address: SocketAddr,
    pub version: MemberVersion,
    pub state: MemberState,
}

/// The request or answer in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A direct probe.
    Ping { seq: u32 },
    /// The answer to a direct probe.
    Ack { seq: u32 },
    /// An indirect probe: requests the receiver to ping the target.
    PingRequest { seq: u32, target: SocketAddr },
    /// The target of an indirect probe has answered.
    IndirectAck { seq: u32 },
    /// Only member records.
    Gossip,
}

/// A message with its sender and piggybacked member records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    pub fleet: u64,
    pub from: MemberRecord,
    pub body: Body,
    pub records: Vec<MemberRecord>,
}

/// All records of a member, sent over a connection as an anti-entropy exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    pub fleet: u64,
    /// None for an observer, which is not a member.
    pub from: Option<MemberRecord>,
    /// The epoch of the sender's view.
    pub epoch: u64,
    /// Whether the sender reaches most of the fleet.
    pub reaches_most: bool,
    pub records: Vec<MemberRecord>,
}

/// The id of a fleet by its name: FNV-1a.
pub fn fleet_id(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages have sequences of known length and no maps")
}

/// Decodes a message.
///
/// # Errors
/// The message is longer than `max` bytes, or cannot be decoded.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8], max: usize) -> Result<T, MembershipError> {
    if bytes.len() > max {
        return Err(MembershipError::TooLong { length: bytes.len(), max });
    }
    postcard::from_bytes(bytes).map_err(|error| MembershipError::Undecodable { error })
}
