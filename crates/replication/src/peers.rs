//! Peers: what is read of their logs, and what their answers said of this one.

use crate::poll::{PollAnswer, ReplicaReport, ReplicaStanding};
use crate::record::{LogId, MemberName, ReplicaName, Sequence};
use crate::watermark::SeqTranslation;
use std::collections::BTreeMap;
use std::time::Duration;

/// An open poll of a peer.
#[derive(Clone, Debug)]
pub(crate) struct OpenPoll {
    pub sent_at: Duration,
    pub since: Sequence,
    pub deadline: Duration,
}

/// What the last whole answer of a peer said.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    /// When it was asked for: the peer answered after this.
    pub sent_at: Duration,
    pub standing: ReplicaStanding,
    /// The peer's log is read up to here, and the report is as of here.
    pub as_of: Sequence,
    /// This log is read there up to here.
    pub read: Sequence,
    /// This log is applied up to here at the dispatchers attached there.
    pub applied: Sequence,
    pub lagging: Vec<MemberName>,
}

/// One peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// The log of it that is read.
    pub log: Option<LogId>,
    pub since: Sequence,
    pub acknowledged: Sequence,
    pub open_poll: Option<OpenPoll>,
    /// Not asked before.
    pub next_poll_at: Duration,
    pub report: Option<ReceivedReport>,
    /// It answered as established what was asked after this replica's hold.
    pub read_established: bool,
    /// It answered, past its own hold, what was asked after this replica's hold.
    pub read_after_hold: bool,
    pub seq_translation: SeqTranslation,
    /// What it was last told of its log.
    pub last_sent_report: Option<ReplicaReport>,
    /// The last answer to it left then.
    pub answered_at: Option<Duration>,
}

impl Peer {
    /// Another log is read from its start.
    pub fn reset_to_log(&mut self, log: &LogId) {
        self.log = Some(log.clone());
        self.since = Sequence(0);
        self.acknowledged = Sequence(0);
        self.report = None;
        self.seq_translation.clear();
    }

    /// Takes what a whole answer says beside its records.
    pub fn store_report(&mut self, answer: &PollAnswer, sent_at: Duration, own_log: &LogId) {
        let report = answer.report.as_ref().filter(|report| report.log == *own_log);
        self.report = Some(ReceivedReport {
            sent_at,
            standing: answer.standing,
            as_of: answer.seq,
            read: report.map_or(Sequence(0), |report| report.read),
            applied: report.map_or(Sequence(0), |report| report.applied),
            lagging: report.map_or(Vec::new(), |report| report.lagging.clone()),
        });
    }

    /// The last report, if it was asked for at `oldest` or later by an established peer.
    pub fn recent_report(&self, oldest: Duration) -> Option<&ReceivedReport> {
        self.report.as_ref().filter(|report| report.sent_at >= oldest && report.standing.is_established())
    }
}

/// The peers by name.
pub(crate) type Peers = BTreeMap<ReplicaName, Peer>;

/// What the `count` peers that read most have all read of this log, by reports asked for at `oldest` or later; none:
/// fewer were heard.
pub(crate) fn seq_read_by(peers: &Peers, count: usize, oldest: Duration) -> Option<Sequence> {
    let recent_report = peers.values().filter_map(|peer| peer.recent_report(oldest));
    let mut read: Vec<Sequence> = recent_report.map(|report| report.read).collect();
    read.sort_unstable_by(|one, other| other.cmp(one));
    match count.checked_sub(1) {
        None => Some(Sequence(u64::MAX)),
        Some(last) => read.get(last).copied(),
    }
}
