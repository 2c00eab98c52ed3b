//! Replicated records. Each has a name and a precedence. Of two records with the same name, the one with the greater
//! precedence is kept.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub String);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $type {
            fn from(name: &str) -> Self {
                Self(name.to_owned())
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// The name of a replica. It names a position in the set of replicas; the machine behind it may be replaced.
    ReplicaName
);
name_type!(
    /// The name of a dispatcher.
    MemberName
);
name_type!(
    /// Identifies the log of one process of one replica. Sequence numbers are comparable only within the same log.
    LogId
);
number_type!(
    /// A sequence number in one replica's log. Zero is before the first record.
    Sequence
);
number_type!(
    /// The start of a process, in Unix milliseconds. A later process of the same name has a greater incarnation.
    Incarnation
);
number_type!(
    /// How many times a process has attached to a replica. A later attachment has a greater number.
    Attachment
);
number_type!(
    /// The version of a host line or of a configuration.
    Version
);

/// What a purge removes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PurgeTarget {
    /// One object, by its hexadecimal name.
    #[serde(rename = "object")]
    Object(String),
    /// All objects of a group.
    #[serde(rename = "bucket")]
    Group(u64),
}

/// Cached copies of the target made before the given time must not be served. The precedence is the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purge {
    /// What is purged.
    #[serde(flatten)]
    pub target: PurgeTarget,
    /// The time of the purge, in Unix milliseconds.
    #[serde(rename = "time")]
    pub unix_ms: u64,
}

/// One line of the list of cache hosts. The precedence is the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostLine {
    /// The name of the host.
    pub name: String,
    /// The version of the line.
    pub version: Version,
    /// The endpoint in the form of the change log: `{"name":...,"address":...,"status":...}`.
    pub endpoint: Value,
}

/// A host line in the form of the change log: a partial host list with one endpoint.
#[derive(Serialize, Deserialize)]
struct FleetForm {
    snapshot: bool,
    #[serde(default)]
    version: Version,
    endpoints: Vec<Value>,
}

impl Serialize for HostLine {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let endpoints = vec![self.endpoint.clone()];
        FleetForm { snapshot: false, version: self.version, endpoints }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for HostLine {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        use serde::de::Error;
        let FleetForm { snapshot, version, mut endpoints } = FleetForm::deserialize(deserializer)?;
        let endpoint = endpoints.pop().filter(|_| endpoints.is_empty() && !snapshot);
        let endpoint = endpoint.ok_or_else(|| {
            D::Error::custom("a host line must have exactly one endpoint and must not be a snapshot")
        })?;
        let name = endpoint.get("name").and_then(Value::as_str);
        let name =
            name.ok_or_else(|| D::Error::custom("the endpoint of a host line has no name"))?.to_owned();
        Ok(Self { name, version, endpoint })
    }
}

/// One named configuration. The precedence is the version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The name of the configuration.
    pub name: String,
    /// The version of the configuration.
    pub version: Version,
    /// The content of the configuration.
    pub body: Value,
}

/// Whether a member is attached. Of two records of the same attachment, the one with `Left` is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member polls this replica.
    AttachedAt(ReplicaName),
    /// The member left, or its lease expired, at this time in Unix milliseconds.
    Left(u64),
}

/// A dispatcher and the replica that it polls. The precedence is (incarnation, attachment, state).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the dispatcher.
    pub name: MemberName,
    /// The process of the dispatcher.
    pub incarnation: Incarnation,
    /// The attachment of that process.
    pub attachment: Attachment,
    /// Whether the dispatcher is attached or has left.
    pub state: MemberState,
}

/// A replicated record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Cached copies made before a time must not be served.
    #[serde(rename = "invalidate")]
    Purge(Purge),
    /// A line of the list of cache hosts.
    #[serde(rename = "fleet")]
    HostLine(HostLine),
    /// A named configuration.
    #[serde(rename = "configuration")]
    Configuration(Configuration),
    /// A dispatcher and the replica that it polls.
    #[serde(rename = "member")]
    Member(Member),
}

/// The name of a record. One record is kept per name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordName {
    /// A purge of an object.
    Object(String),
    /// A purge of a group.
    Group(u64),
    /// A line of the list of cache hosts.
    Host(String),
    /// A named configuration.
    Configuration(String),
    /// A dispatcher.
    Member(MemberName),
}

/// One record with its sequence number in a replica's log. The JSON form is `{"seq":42,"invalidate":{...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The sequence number of the record.
    pub seq: Sequence,
    /// The record.
    #[serde(flatten)]
    pub record: Record,
}

impl RecordName {
    /// Whether this names a member record. Member records are sent to replicas only.
    pub fn is_member(&self) -> bool {
        matches!(self, Self::Member(_))
    }
}

impl Record {
    /// The length of the record's JSON.
    pub fn json_bytes(&self) -> usize {
        serde_json::to_vec(self).expect("a record has only string keys, and is written to memory").len()
    }

    /// The name of the record.
    ///
    /// ```
    /// use myrtlegauge_replication::{Purge, PurgeTarget, Record, RecordName};
    /// let record = Record::Purge(Purge { target: PurgeTarget::Group(17), unix_ms: 1_700_000_000_000 });
    /// assert_eq!(record.name(), RecordName::Group(17));
    /// ```
    pub fn name(&self) -> RecordName {
        match self {
            Self::Purge(Purge { target: PurgeTarget::Object(object), .. }) => {
                RecordName::Object(object.clone())
            }
            Self::Purge(Purge { target: PurgeTarget::Group(group), .. }) => RecordName::Group(*group),
            Self::HostLine(line) => RecordName::Host(line.name.clone()),
            Self::Configuration(configuration) => RecordName::Configuration(configuration.name.clone()),
            Self::Member(member) => RecordName::Member(member.name.clone()),
        }
    }

    /// Compares the precedence of two records with the same name. The order is total, so that all replicas keep the
    /// same record. Two bodies with the same version are a conflict, and the one with the greater JSON text takes
    /// precedence.
    ///
    /// ```
    /// use myrtlegauge_replication::{Configuration, Record, Version};
    /// let configuration = |version| {
    ///     let name = "limits".to_owned();
    ///     Record::Configuration(Configuration { name, version: Version(version), body: true.into() })
    /// };
    /// assert!(configuration(3).cmp_precedence(&configuration(2)).is_gt());
    /// ```
    pub fn cmp_precedence(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Purge(ours), Self::Purge(theirs)) => ours.unix_ms.cmp(&theirs.unix_ms),
            (Self::HostLine(ours), Self::HostLine(theirs)) => {
                cmp_versions((ours.version, &ours.endpoint), (theirs.version, &theirs.endpoint))
            }
            (Self::Configuration(ours), Self::Configuration(theirs)) => {
                cmp_versions((ours.version, &ours.body), (theirs.version, &theirs.body))
            }
            (Self::Member(ours), Self::Member(theirs)) => ours.precedence().cmp(&theirs.precedence()),
            _ => self.name().cmp(&other.name()),
        }
    }

    /// Whether both records have the same version and different bodies.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.version().is_some() && self.version() == other.version() && self != other
    }

    /// The version of a host line or a configuration.
    pub fn version(&self) -> Option<Version> {
        match self {
            Self::HostLine(line) => Some(line.version),
            Self::Configuration(configuration) => Some(configuration.version),
            Self::Purge(_) | Self::Member(_) => None,
        }
    }

    /// The kind of the record, for messages.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Purge(_) => "purge",
            Self::HostLine(_) => "host",
            Self::Configuration(_) => "configuration",
            Self::Member(_) => "member",
        }
    }
}

impl Member {
    /// The precedence. Of two records of one member, the one with the greater precedence is kept.
    pub fn precedence(&self) -> (Incarnation, Attachment, &MemberState) {
        (self.incarnation, self.attachment, &self.state)
    }

    /// The replica that the member polls, or `None` if the member has left.
    pub fn replica(&self) -> Option<&ReplicaName> {
        match &self.state {
            MemberState::AttachedAt(replica) => Some(replica),
            MemberState::Left(_) => None,
        }
    }
}

fn cmp_versions(ours: (Version, &Value), theirs: (Version, &Value)) -> Ordering {
    let by_version = ours.0.cmp(&theirs.0);
    by_version.then_with(|| ours.1.to_string().cmp(&theirs.1.to_string()))
}
