//! The inputs of the decision module, and the sink that receives its decisions.

use std::time::Duration;

/// Index of a GET in flight. It may be reused once `DecisionSink::release` was called with it.
pub type GetIndex = usize;
/// Small index of a cache host, parent or origin, assigned where host names are parsed.
pub type HostIndex = usize;

pub use crate::host_life::StartClaim;
pub use crate::settings::Settings;

/// A client's GET as it was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Get {
    /// Index of the delivery service.
    pub ds: usize,
    /// Hash of the object.
    pub object: u64,
    /// Number of the part of the object.
    pub part: u32,
    /// Hash of the group of objects, which can be purged together.
    pub group: u64,
    /// Size of the response in kilobytes; 0 if unknown.
    pub size_kb: f64,
    pub viewer_timeout: Duration,
    /// The client marked this GET as a retry.
    pub is_retry: bool,
    /// The key is in the fraction that the fleet sheds because the remaining zones lack the capacity for it.
    pub in_shed_fraction: bool,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Returned,
    /// The host had no copy to return.
    Miss,
    Errored,
    /// The host refused the forward and did not run it.
    Full,
    TimedOut,
    /// The connection failed before the whole forward was sent, so the forward did not run.
    NoConnection,
    Reset,
    Withdrawn,
    /// The forward was not sent completely, so it did not run. The host is not judged by this.
    NeverSent,
    /// The response cannot be used, or the connection was closed because of another request. The forward may have
    /// run. The host is alive, and its health is not judged by this.
    Spoilt,
}

impl End {
    /// Whether this end proves that the forward never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(self, End::Full | End::NoConnection | End::NeverSent | End::Miss)
    }
}

/// What the answer reports about the copy or the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The answer carries no note that is known.
    Untold,
    Hit,
    Filled,
    /// The object was requested from the origin for this fill.
    FilledFromOrigin,
    /// The host joined a fill in progress.
    Joined,
    Stale,
    SourceRefused,
    SourceBroke,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// The load that a host reports about itself. Values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub utilization: Option<f64>,
    pub in_flight: Option<f64>,
    pub link_utilization: Option<f64>,
    pub hit_ratio: Option<f64>,
}

/// How a forward ended, with its timing and what the host reported.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Index of the forward among those of its GET, from 0.
    pub attempt: u32,
    pub end: End,
    pub elapsed: Duration,
    /// The GET has its final answer, by this outcome or from an earlier one.
    pub is_answered: bool,
    pub note: Note,
    /// The client's copy is current, so that no bytes were sent. The time of the forward tells nothing of its work.
    pub is_unmodified: bool,
    /// Time for which the host waited for the source, as the host reports it.
    pub source_wait: Duration,
    pub load: LoadReport,
}

/// Status of a host in the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostStatus {
    Active,
    Draining,
    #[default]
    Removed,
}

/// When a host last started, as its entry in the host list states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// A time on this router's own clock; zero means long ago.
    At(Duration),
    /// A time on another machine's wall clock.
    Claimed(StartClaim),
}

impl Start {
    /// The claimed Unix time in milliseconds, which identifies this start; zero if there is none.
    pub fn claimed_unix_ms(self) -> u64 {
        match self {
            Self::At(_) => 0,
            Self::Claimed(claim) => claim.unix_ms,
        }
    }
}

impl Default for Start {
    fn default() -> Self {
        Self::At(Duration::ZERO)
    }
}

/// One entry of the host list.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostEntry {
    pub host: HostIndex,
    /// Hash of the host's id, the same at every router.
    pub id_hash: u64,
    pub status: HostStatus,
    pub start: Start,
    pub zone: usize,
    pub cell: u64,
    pub kind: usize,
    pub weight: f64,
    /// Fraction of its keys, from 0 to 1, that the fleet withholds from the host while its zone returns in steps.
    pub withheld_fraction: f64,
}

/// Hashes a host id with FNV-1a. The result is the same at every router.
pub fn hash_host_id(id: &str) -> u64 {
    id.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Converts milliseconds to a `Duration`. Negative and invalid values become zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64((ms / 1e3).max(0.0)).unwrap_or_default()
}

/// What a purge applies to: the hash of an object or of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeKey {
    Object(u64),
    Group(u64),
}

/// Kind of an update of the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Entries that were added or have changed.
    Changes,
    /// The full list. Hosts that are missing from it are removed.
    Full,
    /// The full list as this router last held it. It may be out of date.
    Persisted,
    /// A request for the list failed. The known hosts stay.
    Failed,
}

/// A forward to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Forward {
    pub host: HostIndex,
    /// Where a miss is filled from. The host itself means that a miss is not filled.
    pub source: HostIndex,
    /// Zero means until the client stops waiting.
    pub timeout: Duration,
    /// How strongly the cache is to retain the copy: a higher rank outranks a lower one.
    pub retention_rank: u8,
    /// Zero means the fresh time of the delivery service, or any age if it has none.
    pub accepted_age: Duration,
    /// The host may join a fill of the same part that is in progress.
    pub join_fill: bool,
    /// The source returns only what it has cached.
    pub only_if_cached: bool,
    /// Fresh hits may be renewed.
    pub renew: bool,
    /// Latest time, since the router's start, at which the forward may begin: the end of the window of a tokened
    /// repeat. Zero means no limit.
    pub start_deadline: Duration,
    /// Only a connection whose process is known to be the listed one may be used. The GET may have run, and hosts outside
    /// one group do not drop its repeats.
    pub needs_known_process: bool,
}

impl Forward {
    /// Whether the GET is a write, which the origin runs and of which no copy is kept.
    pub fn is_write(&self) -> bool {
        self.retention_rank == 0
    }
}

/// Receives the decisions, in order.
pub trait DecisionSink {
    /// Sends a forward for this GET.
    fn forward(&mut self, get: GetIndex, forward: &Forward);
    /// Withdraws the forward with this attempt index.
    fn withdraw(&mut self, get: GetIndex, attempt: u32);
    /// Answers the GET as shed. The client may retry after `retry_after`, if it is given.
    fn shed(&mut self, get: GetIndex, retry_after: Option<Duration>);
    /// Answers the GET with an error.
    fn error(&mut self, get: GetIndex);
    /// No further decision concerns this GET. Its index may be reused.
    fn release(&mut self, get: GetIndex);
    /// Requests a call of `Round::on_wakeup` after this time.
    fn schedule_wakeup(&mut self, after: Duration);
    /// Requests updates of the host list from now on.
    fn subscribe_host_list(&mut self);
    /// Logs a line.
    fn log(&mut self, line: std::fmt::Arguments<'_>);
}
