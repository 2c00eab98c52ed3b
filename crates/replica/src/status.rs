//! What an operator is shown of a replica: asked for by `GET /status`, told as JSON, printed by `myrtlegauge replica status`.

use crate::errors::StatusError;
use bytes::BytesMut;
use myrtlegauge_replication::{
    MemberName, MemberView, Outstanding, PurgeTarget, Reason, Record, RecordName, Replica, ReplicaName,
    ReplicaStanding, Verdict,
};
use myrtlegauge_wire::protocol::{StreamError, changelog};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Purges that are shown: the latest.
const PURGES_MOST: usize = 1000;
/// Bytes read of an answer at once.
const CHUNK: usize = 64 * 1024;

/// A replica as an operator sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// The log in which its numbers count.
    pub log: String,
    /// How far it is after its start.
    pub standing: ReplicaStanding,
    /// All of its log up to here is in force.
    pub watermark: u64,
    /// The dispatchers that it knows.
    pub members: Vec<MemberStatus>,
    /// The latest purges.
    pub purges: Vec<PurgeStatus>,
    /// Connections of pollers.
    pub connections: usize,
    /// What passed since its start.
    pub traffic: Traffic,
}

/// What passed at a replica's sockets since its start: of pollers, peers and the platform's change log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Polls of dispatchers and peers that were answered.
    pub polls_answered: u64,
    /// Bytes read.
    pub bytes_in: u64,
    /// Bytes written.
    pub bytes_out: u64,
}

/// A dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// When its process started, Unix milliseconds.
    pub incarnation: u64,
    /// Where it polls; none: it has left.
    pub replica: Option<String>,
    /// Attached here: what it has acknowledged.
    pub acknowledged: Option<u64>,
    /// Attached here: whether its attach is complete.
    pub attached: bool,
}

/// A purge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeStatus {
    /// What is purged.
    #[serde(flatten)]
    pub target: PurgeTarget,
    /// Unix milliseconds.
    #[serde(rename = "time")]
    pub unix_ms: u64,
    /// Whether it is in force.
    #[serde(flatten)]
    pub state: PurgeState,
}

/// Whether a purge is in force at every dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum PurgeState {
    /// It is, and was known to be so long ago.
    InForce {
        /// Milliseconds.
        known_for_ms: u64,
    },
    /// It is not, as far as the replica knows.
    Outstanding {
        /// How long the replica has had it, milliseconds.
        known_for_ms: u64,
        /// Dispatchers that lag.
        dispatchers: Vec<String>,
        /// Replicas that it waits for.
        replicas: Vec<ReplicaStatus>,
    },
}

/// A replica that a purge waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its name.
    pub name: String,
    /// Why it is waited for.
    pub reason: String,
}

/// The latest purges that came by this replica, by their time.
#[derive(Debug, Default)]
pub struct LatestPurges {
    by_name: BTreeMap<RecordName, u64>,
    by_time: BTreeMap<(u64, RecordName), PurgeTarget>,
}

impl LatestPurges {
    /// Notes a record, if it is a purge.
    pub fn note(&mut self, record: &Record) {
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
        if self.by_time.len() > PURGES_MOST
            && let Some(((_, oldest), _)) = self.by_time.pop_first()
        {
            self.by_name.remove(&oldest);
        }
    }

    /// Those that the core still knows, the latest first, with its verdicts.
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
                        reason: said(lagging.reason).to_owned(),
                    })
                    .collect(),
            }),
            Verdict::Unknown => None,
        }
    }
}

fn said(reason: Reason) -> &'static str {
    match reason {
        Reason::StartUp => "it has started lately",
        Reason::NotHeard => "it does not answer",
        Reason::NotRead => "it has not read the purge",
        Reason::NotApplied => "dispatchers attached there lag",
        Reason::AttachedSince => "a dispatcher has attached there since its last report",
        Reason::NoPeer => "dispatchers are attached there and it is no peer",
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
    /// Names of dispatchers that lag behind a purge, each once.
    pub fn lagging(&self) -> Vec<&str> {
        let mut names: Vec<&str> =
            self.purges.iter().flat_map(PurgeStatus::lagging).map(String::as_str).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// The status as a text for a terminal.
    pub fn print(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).expect("a text takes all that is written");
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
    let (mut inbound, mut chunk) = (BytesMut::new(), vec![0; CHUNK]);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(connection(ErrorKind::TimedOut.into()));
        }
        stream.set_read_timeout(Some(remaining)).map_err(connection)?;
        let read = stream.read(&mut chunk).map_err(connection)?;
        if read == 0 {
            return Err(StatusError::Truncated(address));
        }
        inbound.extend_from_slice(&chunk[..read]);
        let invalid = |StreamError(cause)| StatusError::Invalid { address, cause: cause.to_owned() };
        if let Some(body) = changelog::next_answer(&mut inbound).map_err(invalid)? {
            return Ok(body);
        }
    }
}
