//! What goes into the decision module and the writer that its decisions go to.

use std::time::Duration;

/// Place of a GET in hand; reused once `Dispatch::settled` has named it.
pub type Place = usize;
/// Small index of a cache host, parent or origin, given where names are read.
pub type HostIndex = usize;

pub use crate::host_life::StartClaim;
pub use crate::values::Values;

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
    pub again: bool,
    /// Of the part of keys that its fleet sheds, since what remains of its zones does not bear them.
    pub over: bool,
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
    pub fn proven(self) -> bool {
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
pub struct Load {
    pub util: Option<f64>,
    pub in_hand: Option<f64>,
    pub link_fill: Option<f64>,
    pub hit_share: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub hop: u32,
    pub end: End,
    pub spent: Duration,
    /// The GET has had its final answer, by this outcome or before it.
    pub closed: bool,
    pub note: Note,
    pub source_wait: Duration,
    pub load: Load,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    On,
    Draining,
    #[default]
    Gone,
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
    pub fn stamp(self) -> u64 {
        match self {
            Self::At(_) => 0,
            Self::Claimed(claim) => claim.stamp,
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
pub struct Entry {
    pub host: HostIndex,
    /// The same number for this host at every router.
    pub mark: u64,
    pub standing: Standing,
    pub start: Start,
    pub zone: usize,
    pub cell: u64,
    pub kind: usize,
    pub units: f64,
    /// Part of its keys, from 0 to 1, that its fleet holds back from it: a zone that comes back in steps.
    pub held_back: f64,
}

/// The number of a host for its id, the same at every router: FNV-1a.
pub fn mark(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Milliseconds as they are told; none, or no time at all, is zero.
pub fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64((ms / 1e3).max(0.0)).unwrap_or_default()
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purged {
    Object(u64),
    Group(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Whole,
    /// The whole list as this router last held it, perhaps out of date.
    Kept,
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
    pub keep: u8,
    /// Zero: the fresh time of the delivery service, or any age where it has none.
    pub accepted_age: Duration,
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    pub renew: bool,
    /// It may not begin after this, since the router's start: a tokened repeat whose window ends then. Zero: no such end.
    pub begin_by: Duration,
}

/// Takes the decisions, in order.
pub trait Dispatch {
    fn forward(&mut self, get: Place, forward: &Forward);
    fn withdraw(&mut self, get: Place, hop: u32);
    fn shed(&mut self, get: Place, retry_after: Option<Duration>);
    fn error(&mut self, get: Place);
    /// Nothing more will be said of this GET; its place may be reused.
    fn settled(&mut self, get: Place);
    fn wake(&mut self, after: Duration);
    /// Follow the list of hosts from now on.
    fn follow_list(&mut self);
    fn log(&mut self, line: std::fmt::Arguments<'_>);
}
