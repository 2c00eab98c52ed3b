//! Verdicts: whether a record is in force at all dispatchers, and the dispatchers and replicas that it waits for.

use crate::record::{MemberName, ReplicaName, Sequence};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Whether a record is in force, which means applied at every dispatcher that is not in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every dispatcher that is not in doubt has applied this record or one of greater precedence. This does not change
    /// afterwards.
    InForce {
        /// The latest time at which this replica learned it.
        at: Duration,
    },
    /// The record is not in force yet, as far as this replica knows.
    Outstanding(Outstanding),
    /// No record with this name is known. It was never published, or it was dropped as older than any cached copy.
    Unknown,
}

/// What a record waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Dispatchers that have not acknowledged the record. Of those attached to other replicas, the first few that these
    /// replicas report.
    pub dispatchers: Vec<MemberName>,
    /// Replicas that the record waits for, with the reasons.
    pub replicas: Vec<LaggingReplica>,
    /// When this replica received the record.
    pub since: Duration,
}

/// A replica that a record waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingReplica {
    /// The name of the replica.
    pub name: ReplicaName,
    /// Why the record waits for the replica.
    pub reason: Reason,
}

/// Why a record waits for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This replica itself has started recently and does not know all members yet.
    StartUp,
    /// The replica has not answered within the quorum window, and the record still needs it for a majority or for the
    /// dispatchers attached to it.
    NoRecentAnswer,
    /// The replica answers, and has not read the record yet.
    NotRead,
    /// Not all dispatchers attached to the replica have acknowledged the record.
    NotApplied,
    /// A dispatcher has attached to the replica, and the replica's last report does not include it yet.
    AttachedSinceReport,
    /// Dispatchers are attached to the replica, and it is not among the peers of this replica.
    NotAPeer,
}

/// The maximum number of pairs per peer. Above it, every second pair is dropped, which only delays reports.
const MAX_SEQ_PAIRS: usize = 256;
/// The maximum number of recorded times at which the watermark rose.
const MAX_RAISE_TIMES: usize = 4096;

/// The peer's log was read up to `peer_seq` when the last data record of this log was at `own_seq`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeqPair {
    peer_seq: Sequence,
    own_seq: Sequence,
    read_at: Duration,
}

/// Translates the acknowledged sequence number of this log into the applied sequence number of a peer's log.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeqTranslation {
    pairs: VecDeque<SeqPair>,
}

impl SeqTranslation {
    pub fn record(&mut self, peer_seq: Sequence, own_seq: Sequence, read_at: Duration) {
        if let Some(last) = self.pairs.back_mut()
            && last.own_seq == own_seq
        {
            last.peer_seq = last.peer_seq.max(peer_seq);
            return;
        }
        self.pairs.push_back(SeqPair { peer_seq, own_seq, read_at });
        if self.pairs.len() > MAX_SEQ_PAIRS {
            self.drop_every_second_pair();
        }
    }

    /// The sequence number up to which the peer's log is applied where this log is applied up to `acknowledged`.
    pub fn applied_seq(&mut self, acknowledged: Sequence) -> Sequence {
        while self.pairs.get(1).is_some_and(|second| second.own_seq <= acknowledged) {
            self.pairs.pop_front();
        }
        let acknowledged_pair = self.pairs.front().filter(|pair| pair.own_seq <= acknowledged);
        acknowledged_pair.map_or(Sequence(0), |pair| pair.peer_seq)
    }

    /// The lowest sequence number of this log above `acknowledged`, if its records were read at `before` or earlier.
    pub fn overdue(&self, acknowledged: Sequence, before: Duration) -> Option<Sequence> {
        let pending = self.pairs.iter().find(|pair| pair.own_seq > acknowledged)?;
        (pending.read_at <= before).then_some(pending.own_seq)
    }

    pub fn clear(&mut self) {
        self.pairs.clear();
    }

    fn drop_every_second_pair(&mut self) {
        let newest = self.pairs.len() - 1;
        let mut index = 0;
        self.pairs.retain(|_| {
            index += 1;
            index % 2 == 1 || index > newest
        });
    }
}

/// The watermark up to which this replica has claimed its log to be in force. It never falls while the process runs.
/// The times at which it rose are recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimedWatermark {
    seq: Sequence,
    raise_times: BTreeMap<Sequence, Duration>,
}

impl ClaimedWatermark {
    pub fn seq(&self) -> Sequence {
        self.seq
    }

    pub fn raise(&mut self, seq: Sequence, now: Duration) {
        if seq <= self.seq {
            return;
        }
        self.seq = seq;
        self.raise_times.insert(seq, now);
        if self.raise_times.len() > MAX_RAISE_TIMES {
            self.raise_times.pop_first();
        }
    }

    /// The latest time at which a sequence number was claimed, or `None` if it is above the watermark.
    pub fn claimed_at(&self, seq: Sequence) -> Option<Duration> {
        let is_claimed = seq <= self.seq;
        let raised = self.raise_times.range(seq..).next().filter(|_| is_claimed);
        raised.map(|(_, at)| *at).or(is_claimed.then_some(Duration::ZERO))
    }
}
