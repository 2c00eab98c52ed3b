//! Verdicts: whether a record is in force everywhere, and what it waits for.

use crate::record::{MemberName, ReplicaName, Sequence};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Whether a record is applied at every dispatcher that is not in doubt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every dispatcher that is not in doubt has applied it, or one that is greater; this stays so.
    InForce {
        /// When this replica knew so, at the latest.
        at: Duration,
    },
    /// Not yet, as far as this replica knows.
    Outstanding(Outstanding),
    /// No record of this name is known: it was never published here, or it was dropped as older than any copy.
    Unknown,
}

/// What a record waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Dispatchers that have not acknowledged it; at other replicas the first few that those name.
    pub dispatchers: Vec<MemberName>,
    /// Replicas that it waits for, and why.
    pub replicas: Vec<LaggingReplica>,
    /// Since when this replica has the record.
    pub since: Duration,
}

/// A replica that a record waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingReplica {
    /// The replica.
    pub name: ReplicaName,
    /// Why.
    pub reason: Reason,
}

/// Why a record waits for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This replica itself has started lately, and doesn't know yet who is there.
    StartUp,
    /// No answer came within the quorum window, and fewer than a majority did answer.
    NoRecentAnswer,
    /// It answers, and hasn't read the record yet.
    NotRead,
    /// Dispatchers attached there have not all acknowledged it.
    NotApplied,
    /// A dispatcher is known to be attached there of which its last report doesn't speak yet.
    AttachedSinceReport,
    /// Dispatchers are attached there, and it is no peer here.
    NotAPeer,
}

/// Marks that are kept of one peer's log; above it every second one is left out, which only makes a report later.
const MAX_SEQ_PAIRS: usize = 256;
/// Times that are kept of when the claimed watermark rose.
const MAX_RAISE_TIMES: usize = 4096;

/// The peer's log up to `peer_seq` was read when the last news of this log stood at `own_seq`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeqPair {
    peer_seq: Sequence,
    own_seq: Sequence,
    at: Duration,
}

/// Translates what dispatchers acknowledge of this log into what is applied of a peer's.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeqTranslation {
    pairs: VecDeque<SeqPair>,
}

impl SeqTranslation {
    pub fn read(&mut self, peer_seq: Sequence, own_seq: Sequence, at: Duration) {
        if let Some(last) = self.pairs.back_mut()
            && last.own_seq == own_seq
        {
            last.peer_seq = last.peer_seq.max(peer_seq);
            return;
        }
        self.pairs.push_back(SeqPair { peer_seq, own_seq, at });
        if self.pairs.len() > MAX_SEQ_PAIRS {
            self.drop_every_second_pair();
        }
    }

    /// What of the peer's log is applied where this log is, up to `acknowledged`.
    pub fn applied(&mut self, acknowledged: Sequence) -> Sequence {
        while self.pairs.get(1).is_some_and(|second| second.own_seq <= acknowledged) {
            self.pairs.pop_front();
        }
        let passed = self.pairs.front().filter(|mark| mark.own_seq <= acknowledged);
        passed.map_or(Sequence(0), |mark| mark.peer_seq)
    }

    /// The place in this log that some have not acknowledged though it was read before a time.
    pub fn overdue(&self, acknowledged: Sequence, before: Duration) -> Option<Sequence> {
        let pending = self.pairs.iter().find(|mark| mark.own_seq > acknowledged)?;
        (pending.at <= before).then_some(pending.own_seq)
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

/// The claimed watermark: it never falls in one life, and remembers when it rose.
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

    /// When a place was claimed, at the latest.
    pub fn at(&self, seq: Sequence) -> Option<Duration> {
        let claimed = seq <= self.seq;
        let raise = self.raise_times.range(seq..).next().filter(|_| claimed);
        raise.map(|(_, at)| *at).or(claimed.then_some(Duration::ZERO))
    }
}
