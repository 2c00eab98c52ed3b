//! When the process of a host may have begun, on this router's own monotonic clock. A host in slow start is known by this.
//!
//! Two things tell of a new process. The list of hosts does, with a stamp of another machine's wall clock: such a stamp is a
//! claim. It tells one start from another; when it was is taken from when this router heard of it, since late is safe. What this
//! router finds in its first list may have started long before: there the claim is believed as far as two other clocks
//! agree, this machine's and the newest stamp that was heard. And connections do: when a dial is refused, the process
//! that was there is gone, and when the last one ends while the list is old, it may be. What answers next counts as a new process
//! until the list, known up to a later moment, tells of no start.

use crate::interface::Start;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// Largest assumed step of a wall clock. For a host seen for the first time, a start claimed to be longer ago than this was
/// long ago, whatever other stamps say.
pub const MAX_CLOCK_STEP: Duration = Duration::from_secs(3 * 3600);
/// The list is old if it was not known for so long: several polls were lost, or this process did not run. Connections are
/// reset without a restart, too, so that their end alone tells nothing while the list is newer.
const LIST_OLD: Duration = Duration::from_millis(3000);
/// A process that ended is back and in the list within this, where the list is up to date; longer, and each dial that is
/// refused meanwhile tells of it again.
const BACK_WITHIN: Duration = Duration::from_millis(2000);

/// A start is in the change log within this after the process before it ended: the time that a process is away, and the
/// list's delay.
const TOLD_WITHIN: Duration = Duration::from_millis(5000);

/// Whether a connection that came up at `up_at` is to the process whose start is heard of now: it came up after the process
/// before was seen to end, and that was about when the list, known up to `list_known` before this news, fell behind.
pub fn is_to_new_process(up_at: Duration, ended: Option<Duration>, list_known: Duration) -> bool {
    ended.is_some_and(|ended| ended <= up_at && list_known <= ended + TOLD_WITHIN)
}

/// A host's start as a line of the list claims it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartClaim {
    /// Unix milliseconds on another machine's wall clock. Each start of a host has its own value; zero means that it never
    /// started late.
    pub unix_ms: u64,
    /// How long ago that was by this machine's wall clock.
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
    /// Unix time is ahead of this router's own clock by at least this, according to two clocks: this machine's and the newest
    /// stamp of other machines. Zero means that no stamp was received.
    pub unix_offset: Duration,
}

/// What tells that a host's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// Nobody listens at its address.
    DialRefused,
    /// Its last connection ended, which a living process may have done.
    ConnectionsEnded,
    /// This router did not run for a while. It has no connection to the host left from before, and nothing from the change log
    /// since.
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
    /// The stamp of the start that the list last told of.
    stamp: u64,
    /// The latest moment at which that may have been; zero: long ago.
    listed: Duration,
    /// It was in the first list, and may have been long before.
    is_from_first_list: bool,
    /// When the process was last seen to end, and whether that tells something while the list is not old.
    ended: Option<Duration>,
    is_sure: bool,
    /// When a connection first came up after that.
    connected: Option<Duration>,
}

impl HostLifecycle {
    /// Takes the start that a line of the list tells of; whether it is another than the one that is known.
    ///
    /// A stamp that is known changes nothing, nor does one that tells of no late start. A start that is heard of was now at the
    /// latest, or before the connection came up that has been there since the process before it was seen to end.
    pub fn on_listed(&mut self, start: Start, heard: ListingContext, now: Duration) -> bool {
        let (stamp, listed) = match start {
            Start::At(at) => (0, at),
            Start::Claimed(StartClaim { unix_ms: 0, .. }) => return false,
            Start::Claimed(claim) if claim.unix_ms == self.stamp => return false,
            Start::Claimed(claim) if heard != ListingContext::KnownHost && claim.age > MAX_CLOCK_STEP => {
                (claim.unix_ms, ZERO)
            }
            Start::Claimed(claim) => (claim.unix_ms, self.connected.unwrap_or(now)),
        };
        let is_another = stamp != 0 || self.listed < listed;
        (self.stamp, self.listed, self.is_from_first_list) =
            (stamp, listed, heard == ListingContext::InitialList);
        if is_another {
            // The connection is this process's; of a further start it tells nothing.
            (self.ended, self.connected) = (None, None);
        }
        is_another
    }

    /// Its process has ended, or may have.
    pub fn on_ended(&mut self, at: Duration, evidence: EndEvidence) {
        let is_sure = evidence != EndEvidence::ConnectionsEnded;
        (self.ended, self.is_sure, self.connected) = (Some(at), is_sure, None);
    }

    /// A connection has come up.
    pub fn on_connected(&mut self, at: Duration) {
        if self.ended.is_some() {
            self.connected.get_or_insert(at);
        }
    }

    /// The start of a process that may have begun since the list was known, up to `list_known`.
    fn suspected(&self, list_known: Duration, now: Duration) -> Option<ProcessStart> {
        let ended = self.ended.filter(|&ended| list_known <= ended + BACK_WITHIN)?;
        if !self.is_sure && now < list_known + LIST_OLD {
            return None;
        }
        match self.connected {
            None => Some(ProcessStart { at: ended, age: ZERO, is_from_initial_list: false }),
            Some(connected) if list_known <= connected => Some(ProcessStart {
                at: connected,
                age: now.saturating_sub(connected),
                is_from_initial_list: false,
            }),
            Some(_) => None,
        }
    }

    /// The listed start; of one in the first list, what its stamp comes to where that is earlier.
    fn listed_at(&self, unix_offset: Duration) -> Duration {
        if !self.is_from_first_list || unix_offset.is_zero() {
            return self.listed;
        }
        self.listed.min(Duration::from_millis(self.stamp).saturating_sub(unix_offset))
    }

    /// The latest start known from the host list, from connections, or from other evidence (`found`).
    pub fn process_start(&self, found: Duration, known: &TimeReference, now: Duration) -> ProcessStart {
        let known_start = self.listed_at(known.unix_offset).max(found);
        let suspected =
            self.suspected(known.list_known_until, now).filter(|suspected| suspected.at > known_start);
        let is_from_first_list = self.is_from_first_list && self.listed >= found;
        suspected.unwrap_or(ProcessStart {
            at: known_start,
            age: now.saturating_sub(known_start),
            is_from_initial_list: is_from_first_list,
        })
    }
}
