//! Records: what is replicated. Each has a name and a stamp; of two records of one name the greater stamp wins.

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
    /// The name of a replica (a seat among the replicas; the machine behind it may be replaced).
    ReplicaName
);
name_type!(
    /// The name of a dispatcher.
    MemberName
);
name_type!(
    /// The identity of one life of one replica's log: sequence numbers are only compared under the same one.
    LogId
);
number_type!(
    /// A position in one replica's log. Zero stands before the first record.
    Sequence
);
number_type!(
    /// The start of a process, in Unix milliseconds: a later process of the same name has a greater one.
    Incarnation
);
number_type!(
    /// How often a process chose a replica: a later choice has a greater one.
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

/// Copies of the target that were made before the time are not to be served. The stamp is the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purge {
    /// What is purged.
    #[serde(flatten)]
    pub target: PurgeTarget,
    /// Unix milliseconds.
    #[serde(rename = "time")]
    pub unix_ms: u64,
}

/// One line of the list of cache hosts. The stamp is the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostLine {
    /// The name of the host.
    pub name: String,
    /// Which edition of the line this is.
    pub version: Version,
    /// The endpoint as the change log tells it: `{"name":...,"address":...,"status":...}`.
    pub endpoint: Value,
}

/// A host line in the change log's form: a part of the list, with one endpoint.
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
        let endpoint =
            endpoint.ok_or_else(|| D::Error::custom("a host line has one endpoint and is no snapshot"))?;
        let name = endpoint.get("name").and_then(Value::as_str);
        let name = name.ok_or_else(|| D::Error::custom("an endpoint without a name"))?.to_owned();
        Ok(Self { name, version, endpoint })
    }
}

/// One named configuration. The stamp is the version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The name of the configuration.
    pub name: String,
    /// Which edition of the configuration this is.
    pub version: Version,
    /// The configuration itself.
    pub body: Value,
}

/// Whether a member is attached. Of two records of the same attachment, the one that left wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It polls this replica.
    AttachedAt(ReplicaName),
    /// It said so, or its lease expired: Unix milliseconds of that.
    Left(u64),
}

/// A dispatcher and where it polls. The stamp is (incarnation, attachment, state).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the dispatcher.
    pub name: MemberName,
    /// Which process.
    pub incarnation: Incarnation,
    /// Which of its choices of a replica.
    pub attachment: Attachment,
    /// Attached, or left.
    pub state: MemberState,
}

/// What is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Copies before a time are not to be served.
    #[serde(rename = "invalidate")]
    Purge(Purge),
    /// A line of the list of cache hosts.
    #[serde(rename = "fleet")]
    HostLine(HostLine),
    /// A named configuration.
    #[serde(rename = "configuration")]
    Configuration(Configuration),
    /// A dispatcher and where it polls.
    #[serde(rename = "member")]
    Member(Member),
}

/// The name under which a record stands: one record is kept of each.
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

/// One record at its place in a replica's log; in JSON `{"seq":42,"invalidate":{...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The place.
    pub seq: Sequence,
    /// The record.
    #[serde(flatten)]
    pub record: Record,
}

impl RecordName {
    /// Whether it is a member's: such records are for replicas alone.
    pub fn is_member(&self) -> bool {
        matches!(self, Self::Member(_))
    }
}

impl Record {
    /// The name under which it stands.
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

    /// Compares the stamps of two records of one name. It is a total order, so all replicas keep the same one: of two
    /// bodies under one version, which is a conflict, the one whose JSON is greater.
    ///
    /// ```
    /// use myrtlegauge_replication::{Configuration, Record, Version};
    /// let edition = |version| {
    ///     let name = "limits".to_owned();
    ///     Record::Configuration(Configuration { name, version: Version(version), body: true.into() })
    /// };
    /// assert!(edition(3).cmp_precedence(&edition(2)).is_gt());
    /// ```
    pub fn cmp_precedence(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Purge(ours), Self::Purge(theirs)) => ours.unix_ms.cmp(&theirs.unix_ms),
            (Self::HostLine(ours), Self::HostLine(theirs)) => {
                versions_cmp((ours.version, &ours.endpoint), (theirs.version, &theirs.endpoint))
            }
            (Self::Configuration(ours), Self::Configuration(theirs)) => {
                versions_cmp((ours.version, &ours.body), (theirs.version, &theirs.body))
            }
            (Self::Member(ours), Self::Member(theirs)) => ours.precedence().cmp(&theirs.precedence()),
            _ => self.name().cmp(&other.name()),
        }
    }

    /// Whether both have one version and another body.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.version().is_some() && self.version() == other.version() && self != other
    }

    /// The version, of a host line or a configuration.
    pub fn version(&self) -> Option<Version> {
        match self {
            Self::HostLine(line) => Some(line.version),
            Self::Configuration(configuration) => Some(configuration.version),
            Self::Purge(_) | Self::Member(_) => None,
        }
    }

    /// The kind of record, for messages.
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
    /// The stamp: of two records of one member the greater one wins.
    pub fn precedence(&self) -> (Incarnation, Attachment, &MemberState) {
        (self.incarnation, self.attachment, &self.state)
    }

    /// The replica where it polls; none if it left.
    pub fn replica(&self) -> Option<&ReplicaName> {
        match &self.state {
            MemberState::AttachedAt(replica) => Some(replica),
            MemberState::Left(_) => None,
        }
    }
}

fn versions_cmp(ours: (Version, &Value), theirs: (Version, &Value)) -> Ordering {
    let by_version = ours.0.cmp(&theirs.0);
    by_version.then_with(|| ours.1.to_string().cmp(&theirs.1.to_string()))
}
