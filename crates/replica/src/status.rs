//! The status of a replica for operators: served as JSON under `GET /status` and printed by
//! `myrtlegauge replica status`.

use crate::errors::StatusError;
use bytes::BytesMut;
use myrtlegauge_replication::{
    MemberName, MemberView, Outstanding, PurgeTarget, Reason, Record, RecordName, Replica, ReplicaName,
    ReplicaStanding, Verdict,
};
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::changelog_answer::AnswerReader;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The maximum number of purges in a status; the latest are kept.
const MAX_PURGES: usize = 1000;
/// The size of the buffer for reading a response.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The status of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the replica.
    pub name: String,
    /// The id of the log that the sequence numbers belong to.
    pub log: String,
    /// The progress of the start-up.
    pub standing: ReplicaStanding,
    /// The sequence number up to which the whole log is in force.
    pub watermark: u64,
    /// The known dispatchers.
    pub members: Vec<MemberStatus>,
    /// The latest purges.
    pub purges: Vec<PurgeStatus>,
    /// The number of connections from pollers.
    pub connections: usize,
    /// The traffic since the start of the replica.
    pub traffic: Traffic,
}

/// The traffic on the sockets of a replica since its start, including pollers, peers and the platform's change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Answered polls of dispatchers and peers.
    pub polls_answered: u64,
    /// Bytes read.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
}

/// The status of a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the dispatcher.
    pub name: String,
    /// The start time of the process, in Unix milliseconds.
    pub incarnation: u64,
    /// The replica that it polls; none if it has left.
    pub replica: Option<String>,
    /// The acknowledged sequence number, if it is attached to this replica.
    pub acknowledged: Option<u64>,
    /// Whether it has completed its attachment to this replica.
    pub attached: bool,
}

/// The status of a purge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeStatus {
    /// The purged object or group.
    #[serde(flatten)]
    pub target: PurgeTarget,
    /// The time of the purge, in Unix milliseconds.
    #[serde(rename = "time")]
    pub unix_ms: u64,
    /// Whether the purge is in force.
    #[serde(flatten)]
    pub state: PurgeState,
}

/// Whether a purge is in force at every dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum PurgeState {
    /// The purge is in force at every dispatcher.
    InForce {
        /// The time since the replica learnt this, in milliseconds.
        known_for_ms: u64,
    },
    /// The replica does not know the purge to be in force.
    Outstanding {
        /// The time since the replica received the purge, in milliseconds.
        known_for_ms: u64,
        /// The lagging dispatchers.
        dispatchers: Vec<String>,
        /// The replicas that the purge waits for.
        replicas: Vec<ReplicaStatus>,
    },
}

/// A replica that a purge waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The name of the replica.
    pub name: String,
    /// The reason for waiting.
    pub reason: String,
}

/// The latest purges that this replica has received, ordered by time.
#[derive(Debug, Default)]
pub struct LatestPurges {
    by_name: BTreeMap<RecordName, u64>,
    by_time: BTreeMap<(u64, RecordName), PurgeTarget>,
}

impl LatestPurges {
    /// Adds the record if it is a purge.
    pub fn add(&mut self, record: &Record) {
        let Record::Purge(purge) = record else { return };
        let name = match &purge.target {
            PurgeTarget::Object(object) => RecordName::Object(object.clone()),
            PurgeTarget::Group(group) => RecordName::Group(*group),
        };
        let known = self.by_name.get(&name).copied();
        if known.is_some_and(|known| known >= purge.unix_ms) {
            return;
        }
        if let Some(known) = known {
            self.by_time.remove(&(known, name.clone()));
        }
        self.by_name.insert(name.clone(), purge.unix_ms);
        self.by_time.insert((purge.unix_ms, name), purge.target.clone());
        if self.by_time.len() > MAX_PURGES
            && let Some(((_, oldest), _)) = self.by_time.pop_first()
        {
            self.by_name.remove(&oldest);
        }
    }

    /// Returns the purges that the core still knows with their verdicts, the latest first.
    pub fn verdicts(&self, core: &mut Replica, now: Duration) -> Vec<PurgeStatus> {
        let purges = self.by_time.iter().rev();
        let status = |((unix_ms, name), target): (&(u64, RecordName), &PurgeTarget)| {
            let state = PurgeState::of(core.in_force(name, now), now)?;
            Some(PurgeStatus { target: target.clone(), unix_ms: *unix_ms, state })
        };
        purges.filter_map(status).collect()
    }
}

impl PurgeState {
    fn of(verdict: Verdict, now: Duration) -> Option<Self> {
        let ms_since = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        match verdict {
            Verdict::InForce { at } => Some(Self::InForce { known_for_ms: ms_since(at) }),
            Verdict::Outstanding(Outstanding { dispatchers, replicas, since }) => Some(Self::Outstanding {
                known_for_ms: ms_since(since),
                dispatchers: dispatchers.into_iter().map(|MemberName(name)| name).collect(),
                replicas: replicas
                    .into_iter()
                    .map(|lagging| ReplicaStatus {
                        name: lagging.name.0,
                        reason: describe(lagging.reason).to_owned(),
                    })
                    .collect(),
            }),
            Verdict::Unknown => None,
        }
    }
}

fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::StartUp => "it has started lately",
        Reason::NoRecentAnswer => "it does not answer",
        Reason::NotRead => "it has not read the purge",
        Reason::NotApplied => "dispatchers attached there lag",
        Reason::AttachedSinceReport => "a dispatcher has attached there since its last report",
        Reason::NotAPeer => "dispatchers are attached there and it is no peer",
    }
}

impl From<MemberView> for MemberStatus {
    fn from(member: MemberView) -> Self {
        Self {
            name: member.name.0,
            incarnation: member.incarnation.0,
            replica: member.replica.map(|ReplicaName(name)| name),
            acknowledged: member.acknowledged.map(|seq| seq.0),
            attached: member.attached,
        }
    }
}

impl Status {
    /// Returns the names of dispatchers that lag behind a purge, each once.
    pub fn lagging(&self) -> Vec<&str> {
        let mut names: Vec<&str> =
            self.purges.iter().flat_map(PurgeStatus::lagging).map(String::as_str).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Formats the status as text for a terminal.
    pub fn print(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).expect("writing to a string cannot fail");
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "replica {} log {} standing {:?}", self.name, self.log, self.standing)?;
        writeln!(text, "watermark {} connections {}", self.watermark, self.connections)?;
        writeln!(text, "members {}", self.members.len())?;
        for member in &self.members {
            let replica = member.replica.as_deref().unwrap_or("left");
            let acknowledged = member.acknowledged.map_or("-".to_owned(), |seq| seq.to_string());
            let attached = if member.attached { "attached" } else { "" };
            writeln!(text, "  {} at {replica} acknowledged {acknowledged} {attached}", member.name)?;
        }
        writeln!(text, "purges {}", self.purges.len())?;
        self.purges.iter().try_for_each(|purge| purge.write(text))
    }
}

impl PurgeStatus {
    fn lagging(&self) -> &[String] {
        match &self.state {
            PurgeState::Outstanding { dispatchers, .. } => dispatchers,
            PurgeState::InForce { .. } => &[],
        }
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        match &self.target {
            PurgeTarget::Object(object) => write!(text, "  object {object} time {}", self.unix_ms)?,
            PurgeTarget::Group(group) => write!(text, "  group {group} time {}", self.unix_ms)?,
        }
        match &self.state {
            PurgeState::InForce { known_for_ms } => writeln!(text, " in force for {known_for_ms} ms"),
            PurgeState::Outstanding { known_for_ms, dispatchers, replicas } => {
                writeln!(text, " outstanding for {known_for_ms} ms")?;
                if !dispatchers.is_empty() {
                    writeln!(text, "    lagging: {}", dispatchers.join(", "))?;
                }
                replicas.iter().try_for_each(|replica| {
                    writeln!(text, "    waits for {}: {}", replica.name, replica.reason)
                })
            }
        }
    }
}

/// Requests the status of a replica.
///
/// # Errors
/// The replica cannot be reached, or it sends no complete, valid response within `timeout`.
pub fn fetch(address: SocketAddr, timeout: Duration) -> Result<Status, StatusError> {
    let body = exchange(address, timeout)?;
    serde_json::from_slice(&body).map_err(|e| StatusError::Invalid { address, cause: e.to_string() })
}

fn exchange(address: SocketAddr, timeout: Duration) -> Result<bytes::Bytes, StatusError> {
    let connection = |cause: std::io::Error| StatusError::Connection { address, cause };
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(connection)?;
    let request = format!("GET /status HTTP/1.1\r\nHost: {address}\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(connection)?;
    let (mut inbound, mut buffer) = (BytesMut::new(), vec![0; READ_BUFFER_BYTES]);
    let mut reader = AnswerReader::default();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(connection(ErrorKind::TimedOut.into()));
        }
        stream.set_read_timeout(Some(remaining)).map_err(connection)?;
        let read = stream.read(&mut buffer).map_err(connection)?;
        if read == 0 {
            return Err(StatusError::Truncated(address));
        }
        inbound.extend_from_slice(&buffer[..read]);
        let invalid = |StreamError(cause)| StatusError::Invalid { address, cause: cause.to_owned() };
        if let Some(body) = reader.next_whole(&mut inbound, false).map_err(invalid)? {
            return Ok(body);
        }
    }
}
