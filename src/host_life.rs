//! Detects when the process of a host may have started, on this router's own monotonic clock. The slow start of a
//! host is computed from this.
//!
//! There are two kinds of evidence of a new process:
//! - The host list states a start with a timestamp of another machine's wall clock. Such a timestamp is a claim. It
//!   tells one start from another. The time of the start is taken from when this router received the claim, since too
//!   late a time is safe. A start in this router's first list may be much older. There the claim is used as far as
//!   two other clocks agree: this machine's and the newest timestamp that was received.
//! - Connections: when a dial is refused, the previous process has ended. When the last connection ends while the list
//!   is out of date, the process may have ended. The process that answers next counts as new until the list, known up
//!   to a later time, states no start.

use crate::interface::Start;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// Largest assumed step of a wall clock. For a host that was not known before, a start that is claimed to be older
/// than this counts as long ago, whatever other timestamps say.
pub const MAX_CLOCK_STEP: Duration = Duration::from_secs(3 * 3600);
/// The list is out of date if it was not confirmed for this long: several polls were lost, or this process did not
/// run. Connections are also reset without a restart, so their end alone is no evidence while the list is up to date.
const LIST_STALE_AFTER: Duration = Duration::from_millis(3000);
/// A process that ended is back and in the list within this time, if the list is up to date. If it takes longer, each
/// refused dial in the meantime is new evidence of its end.
const MAX_RESTART_TIME: Duration = Duration::from_millis(2000);
/// A start is in the change log within this time after the end of the previous process. It covers the restart and the
/// delay of the list.
const MAX_LISTING_DELAY: Duration = Duration::from_millis(5000);

/// Whether a connection that came up at `up_at` is to the process whose start the list reports now. It is if it came
/// up after the previous process was observed to end, and that end was at about the time up to which the list was
/// known before this update, `list_known_until`.
pub fn is_to_new_process(up_at: Duration, ended_at: Option<Duration>, list_known_until: Duration) -> bool {
    ended_at.is_some_and(|ended_at| ended_at <= up_at && list_known_until <= ended_at + MAX_LISTING_DELAY)
}

/// Whether the list, known up to `list_known_until`, tells of every process that had started by `at`.
pub fn lists_processes_of(at: Duration, list_known_until: Duration) -> bool {
    list_known_until > at + MAX_LISTING_DELAY
}

/// A host's start as an entry of the host list claims it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartClaim {
    /// Unix milliseconds on another machine's wall clock. Each start of a host has its own value. Zero means that the
    /// host did not start recently.
    pub unix_ms: u64,
    /// Time since then by this machine's wall clock.
    pub age: Duration,
}

/// In which context an entry of the host list was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingContext {
    /// In the list that this router's own process was started with.
    InitialList,
    /// For a host that was not known before.
    NewHost,
    /// For a host that was known already.
    KnownHost,
}

/// How current the host list is, and how this router's clock relates to Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeReference {
    /// The host list is known up to this time.
    pub list_known_until: Duration,
    /// Unix time is ahead of this router's own clock by at least this, according to two clocks: this machine's and
    /// the newest timestamp of other machines. Zero means that no timestamp was received.
    pub unix_offset: Duration,
}

/// Evidence that a host's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// No process listens at its address.
    DialRefused,
    /// Its last connection ended. A process that is still running may have closed it.
    ConnectionsEnded,
    /// This router did not run for a while. It has no connection to the host left from before, and nothing from the
    /// change log since.
    Unobserved,
}

/// Start of a host's process, from which its slow start is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStart {
    /// Identifies one slow start; zero means that there was none.
    pub at: Duration,
    pub age: Duration,
    /// The start may precede this router's own process.
    pub is_from_initial_list: bool,
}

/// Tracks the starts and ends of a host's process from the host list and from connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLifecycle {
    /// The claimed Unix time of the start that the list last reported.
    start_unix_ms: u64,
    /// The latest time at which that start may have been. Zero means long ago.
    listed_start: Duration,
    /// The start was in the first list, and may have been long before it.
    is_from_initial_list: bool,
    /// When the process was last observed to end.
    ended_at: Option<Duration>,
    /// The end is evidence of a new process even while the list is up to date.
    is_end_certain: bool,
    /// When a connection first came up after that.
    connected_at: Option<Duration>,
}

impl HostLifecycle {
    /// Takes the start that an entry of the host list reports. Returns whether it is another one than was known.
    ///
    /// A timestamp that is known already changes nothing, nor does one that claims no recent start. A reported start
    /// was now at the latest. It was before the connection came up that has existed since the previous process was
    /// observed to end, unless the list, known up to `list_known_until` before this update, covers that connection: it
    /// is to an earlier process then.
    pub fn on_listed(
        &mut self,
        start: Start,
        context: ListingContext,
        list_known_until: Duration,
        now: Duration,
    ) -> bool {
        let connected_at = self.connected_at.filter(|&connected_at| list_known_until <= connected_at);
        let (start_unix_ms, listed_start) = match start {
            Start::At(at) => (0, at),
            Start::Claimed(StartClaim { unix_ms: 0, .. }) => return false,
            Start::Claimed(claim) if claim.unix_ms == self.start_unix_ms => return false,
            Start::Claimed(claim) if context != ListingContext::KnownHost && claim.age > MAX_CLOCK_STEP => {
                (claim.unix_ms, ZERO)
            }
            Start::Claimed(claim) => (claim.unix_ms, connected_at.unwrap_or(now)),
        };
        let is_another = start_unix_ms != 0 || self.listed_start < listed_start;
        (self.start_unix_ms, self.listed_start, self.is_from_initial_list) =
            (start_unix_ms, listed_start, context == ListingContext::InitialList);
        if is_another {
            // The connection belongs to this process, so it is no evidence of a later start.
            (self.ended_at, self.connected_at) = (None, None);
        }
        is_another
    }

    /// Records that the process has ended, or may have.
    pub fn on_ended(&mut self, at: Duration, evidence: EndEvidence) {
        let is_end_certain = evidence != EndEvidence::ConnectionsEnded;
        (self.ended_at, self.is_end_certain, self.connected_at) = (Some(at), is_end_certain, None);
    }

    /// Records that a connection has come up.
    pub fn on_connected(&mut self, at: Duration) {
        if self.ended_at.is_some() {
            self.connected_at.get_or_insert(at);
        }
    }

    /// Start of a process that may have started after `list_known_until`, the time up to which the host list is
    /// known.
    fn suspected_start(&self, list_known_until: Duration, now: Duration) -> Option<ProcessStart> {
        let ended_at = self.ended_at.filter(|&ended_at| list_known_until <= ended_at + MAX_RESTART_TIME)?;
        if !self.is_end_certain && now < list_known_until + LIST_STALE_AFTER {
            return None;
        }
        match self.connected_at {
            None => Some(ProcessStart { at: ended_at, age: ZERO, is_from_initial_list: false }),
            Some(connected_at) if list_known_until <= connected_at => Some(ProcessStart {
                at: connected_at,
                age: now.saturating_sub(connected_at),
                is_from_initial_list: false,
            }),
            Some(_) => None,
        }
    }

    /// The latest time at which the start that the list last reported may have been; zero means long ago.
    pub fn listed_start(&self) -> Duration {
        self.listed_start
    }

    /// The start from the host list. For one in the first list it is the claimed time, where that is earlier.
    fn start_from_list(&self, unix_offset: Duration) -> Duration {
        if !self.is_from_initial_list || unix_offset.is_zero() {
            return self.listed_start;
        }
        self.listed_start.min(Duration::from_millis(self.start_unix_ms).saturating_sub(unix_offset))
    }

    /// The latest start known from the host list, from connections, or from other evidence (`other_start`).
    pub fn process_start(
        &self,
        other_start: Duration,
        time_reference: &TimeReference,
        now: Duration,
    ) -> ProcessStart {
        let known_start = self.start_from_list(time_reference.unix_offset).max(other_start);
        let suspected_start = self
            .suspected_start(time_reference.list_known_until, now)
            .filter(|suspected| suspected.at > known_start);
        let is_from_initial_list = self.is_from_initial_list && self.listed_start >= other_start;
        suspected_start.unwrap_or(ProcessStart {
            at: known_start,
            age: now.saturating_sub(known_start),
            is_from_initial_list,
        })
    }
}
