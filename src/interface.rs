//! What goes into the decision module and the writer that its decisions go to.

use std::time::Duration;

/// Place of a GET in hand; reused once `Dispatch::settled` has named it.
pub type GetIndex = usize;
/// Small index of a cache host, parent or origin, given where names are read.
pub type HostIndex = usize;

pub use crate::host_life::StartClaim;
pub use crate::settings::Settings;

/// A client's GET as it was taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Get {
    pub ds: usize,
    pub object: u64,
    pub part: u32,
    pub group: u64,
    /// Kilobytes to be sent; 0 where untold.
    pub size_kb: f64,
    pub viewer_timeout: Duration,
    /// Its client marked it as a try after the first.
    pub is_retry: bool,
    /// Of the part of keys that its fleet sheds, since what remains of its zones does not bear them.
    pub in_shed_fraction: bool,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Returned,
    Miss,
    Errored,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Withdrawn,
    NeverSent,
    /// What came can't be used, or its connection went down by another's trouble: it may have run, and nothing is
    /// told of the host, which lives.
    Spoilt,
}

impl End {
    /// It proves that the forward never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(self, End::Full | End::NoConnection | End::NeverSent | End::Miss)
    }
}

/// What the answer says of the copy or of the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    Untold,
    Hit,
    Filled,
    FilledFromOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceBroke,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// A host's own report; what is not told is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub utilization: Option<f64>,
    pub in_flight: Option<f64>,
    pub link_utilization: Option<f64>,
    pub hit_ratio: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub attempt: u32,
    pub end: End,
    pub elapsed: Duration,
    /// The GET has had its final answer, by this outcome or before it.
    pub is_answered: bool,
    pub note: Note,
    pub source_wait: Duration,
    pub load: LoadReport,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostStatus {
    Active,
    Draining,
    #[default]
    Removed,
}

/// When a host last started, as its line tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// At a time of this router's own clock; zero: long ago.
    At(Duration),
    /// At a time of another machine's wall clock.
    Claimed(StartClaim),
}

impl Start {
    /// The stamp that tells this start from another; zero: none.
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

/// One line of the list of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostEntry {
    pub host: HostIndex,
    /// The same number for this host at every router.
    pub id_hash: u64,
    pub status: HostStatus,
    pub start: Start,
    pub zone: usize,
    pub cell: u64,
    pub kind: usize,
    pub weight: f64,
    /// Part of its keys, from 0 to 1, that its fleet holds back from it: a zone that comes back in steps.
    pub withheld_fraction: f64,
}

/// The number of a host for its id, the same at every router: FNV-1a.
pub fn hash_host_id(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Milliseconds as they are told; none, or no time at all, is zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64((ms / 1e3).max(0.0)).unwrap_or_default()
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PurgeKey {
    Object(u64),
    Group(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Changes,
    Full,
    /// The whole list as this router last held it, perhaps out of date.
    Persisted,
    /// A call for the list failed; what was known stays.
    Failed,
}

/// One forward as it is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Forward {
    pub host: HostIndex,
    /// Where a miss is filled from; the host itself: nowhere.
    pub source: HostIndex,
    /// Zero: until the client gives up.
    pub timeout: Duration,
    pub retention_rank: u8,
    /// Zero: the fresh time of the delivery service, or any age where it has none.
    pub accepted_age: Duration,
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    pub renew: bool,
    /// It may not begin after this, since the router's start: a tokened repeat whose window ends then. Zero: no such end.
    pub start_deadline: Duration,
}

/// Takes the decisions, in order.
pub trait DecisionSink {
    fn forward(&mut self, get: GetIndex, forward: &Forward);
    fn withdraw(&mut self, get: GetIndex, hop: u32);
    fn shed(&mut self, get: GetIndex, retry_after: Option<Duration>);
    fn error(&mut self, get: GetIndex);
    /// Nothing more will be said of this GET; its place may be reused.
    fn release(&mut self, get: GetIndex);
    fn schedule_wakeup(&mut self, after: Duration);
    /// Follow the list of hosts from now on.
    fn subscribe_host_list(&mut self);
    fn log(&mut self, line: std::fmt::Arguments<'_>);
}
