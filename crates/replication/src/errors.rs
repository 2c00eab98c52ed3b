//! Errors of replication. Each message states what failed and what an operator can do about it.

use crate::record::{LogId, MemberName, ReplicaName, Sequence, Version};
use std::time::Duration;
use thiserror::Error;

/// A record that is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The known record has the same version and a different body.
    #[error(
        "{kind} `{name}` version {version} is already known with a different body: publish the change under a greater version"
    )]
    Conflict {
        /// The kind of record.
        kind: &'static str,
        /// The name of the record.
        name: String,
        /// The version of both records.
        version: Version,
    },
}

/// A rejected publication. Nothing was applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The record itself is rejected.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The version is lower than that of the known record.
    #[error(
        "{kind} `{name}` version {version} is older than the current version {known}: read the current version and publish a greater one"
    )]
    Older {
        /// The kind of record.
        kind: &'static str,
        /// The name of the record.
        name: String,
        /// The published version.
        version: Version,
        /// The known version.
        known: Version,
    },
    /// The purge is older than any cached copy can be.
    #[error(
        "the purge time {unix_ms} (Unix ms) is before {oldest}, and no cached copy is that old: nothing needs purging; check the publisher's clock"
    )]
    PurgeTooOld {
        /// The time of the purge.
        unix_ms: u64,
        /// The oldest accepted time.
        oldest: u64,
    },
    /// The purge lies in the future, and would purge copies that are yet to be made.
    #[error(
        "the purge time {unix_ms} (Unix ms) is {ahead_ms} ms ahead of this replica's clock: correct the publisher's clock"
    )]
    PurgeAhead {
        /// The time of the purge.
        unix_ms: u64,
        /// How far the time is ahead of this replica's clock.
        ahead_ms: u64,
    },
    /// The maximum number of records is reached.
    #[error(
        "record rejected: the limit of {max} records is reached; purge groups instead of objects, or raise the limit"
    )]
    Full {
        /// The maximum number of records.
        max: usize,
    },
    /// Member records are created by polls only.
    #[error(
        "publication of member `{0}` rejected: member records come from the members' own polls; publish only purges, hosts and configurations"
    )]
    Member(MemberName),
    /// The name is empty or too long.
    #[error("record name of {length} bytes rejected: use 1 to {max} bytes")]
    Name {
        /// The length of the name in bytes.
        length: usize,
        /// The maximum length in bytes.
        max: usize,
    },
}

/// A poll that is rejected, or is answered from the start of the log or as superseded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PollError {
    /// A required field is missing.
    #[error("poll rejected: the field `{0}=` is missing; add it, or poll without a role to be no member")]
    MissingField(&'static str),
    /// A field has an invalid value.
    #[error("poll rejected: invalid `{field}={value}`; give {expected}")]
    InvalidField {
        /// The name of the field.
        field: &'static str,
        /// The given value.
        value: String,
        /// A description of valid values.
        expected: &'static str,
    },
    /// The poll acknowledges records that the log does not have.
    #[error(
        "poll since {since} of log {log}, which ends at {last}: answering from 0; check for two replicas with the same name"
    )]
    AheadOfLog {
        /// The polled log.
        log: LogId,
        /// The sequence number that the poll acknowledges.
        since: Sequence,
        /// The last sequence number of the log.
        last: Sequence,
    },
    /// The polling replica is not one of the peers.
    #[error(
        "poll of replica `{0}` rejected: it is not among the peers of this replica; add it to them, or correct the address that it polls"
    )]
    UnknownReplica(ReplicaName),
    /// The poll comes from an older process of that name, or under an attachment that was superseded.
    #[error(
        "member `{name}` polls under a superseded attachment; answering that it has to attach again; if this repeats, check for two dispatchers with the same name"
    )]
    Superseded {
        /// The name of the dispatcher.
        name: MemberName,
    },
    /// The maximum number of members is reached.
    #[error(
        "poll of new member `{name}` rejected: the limit of {max} members is reached; check for made-up names, or raise the limit"
    )]
    TooManyMembers {
        /// The name of the dispatcher.
        name: MemberName,
        /// The maximum number of members.
        max: usize,
    },
}

/// A rejected answer. Nothing of it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// The body is not the JSON of a replica's answer.
    #[error(
        "answer ignored: it is not a replica's answer ({0}); check for another program at that address, or replicas of another version"
    )]
    Unreadable(String),
    /// No poll of that replica is open: none was sent, or it timed out.
    #[error("answer of `{0}` ignored: no poll of that replica is open")]
    Unsolicited(ReplicaName),
    /// The answering replica is not one of the peers.
    #[error("answer of replica `{0}` ignored: it is not among the peers of this replica; add it to them")]
    UnknownReplica(ReplicaName),
    /// An event is not above the one before it, or is above the `seq` of the answer.
    #[error(
        "answer of `{replica}` ignored: event {event} is out of order; update that replica, or check for another program at its address"
    )]
    OutOfOrder {
        /// The replica that answered.
        replica: ReplicaName,
        /// The first event that is out of order.
        event: Sequence,
    },
}

/// An invalid configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The fallback is the primary.
    #[error("replica `{0}` is both primary and fallback: name a replica of another site as the fallback")]
    FallbackIsPrimary(ReplicaName),
    /// The replica is among its own peers.
    #[error("replica `{0}` is among its own peers: list only the other replicas")]
    OwnPeer(ReplicaName),
    /// A peer is listed twice.
    #[error("peer `{0}` is listed twice: list each peer once, because majorities are counted from the list")]
    PeerTwice(ReplicaName),
    /// A name is empty or too long.
    #[error("the {item} has {length} bytes: use 1 to {max} bytes")]
    Name {
        /// The item that has the name.
        item: &'static str,
        /// The length of the name in bytes.
        length: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// A duration is not longer than another.
    #[error(
        "{setting} of {value:?} must be longer than {other} ({minimum:?}): raise it, because a record could be reported in force too soon"
    )]
    TooShort {
        /// The duration that is too short.
        setting: &'static str,
        /// The value of that duration.
        value: Duration,
        /// The duration that it must exceed.
        other: &'static str,
        /// The value of that other duration.
        minimum: Duration,
    },
    /// A limit is zero.
    #[error("{0} is zero: use at least 1")]
    Zero(&'static str),
}

impl PollError {
    /// Whether the poll was accepted and is answered, so that the error is only to be logged.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::AheadOfLog { .. } | Self::Superseded { .. })
    }
}
