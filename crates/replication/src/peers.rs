//! Peers: the state of reading their logs, and what they reported about this replica's log.

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

/// The content of the last complete answer of a peer, that is one without `more`.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    /// When the poll was sent. The peer answered after this time.
    pub sent_at: Duration,
    pub standing: ReplicaStanding,
    /// The sequence number of the peer's log up to which it is read, and as of which the report was made.
    pub as_of: Sequence,
    /// The peer has read this replica's log up to this sequence number.
    pub read: Sequence,
    /// This replica's log is applied up to this sequence number at the dispatchers attached to the peer.
    pub applied: Sequence,
    pub lagging: Vec<MemberName>,
}

/// One peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// The peer's log that is being read.
    pub log: Option<LogId>,
    pub since: Sequence,
    pub acknowledged: Sequence,
    pub open_poll: Option<OpenPoll>,
    /// The earliest time of the next poll.
    pub next_poll_at: Duration,
    pub report: Option<ReceivedReport>,
    /// The peer, being established, answered a poll sent after this replica's start-up hold.
    pub read_established: bool,
    /// The peer, after its own start-up hold, answered a poll sent after this replica's start-up hold.
    pub read_after_hold: bool,
    pub seq_translation: SeqTranslation,
    /// The last report about the peer's log that was sent to the peer.
    pub last_sent_report: Option<ReplicaReport>,
    /// When the last answer to the peer was sent, if the next one has to wait for the batch interval.
    pub answered_at: Option<Duration>,
}

impl Peer {
    /// Starts to read a new log of the peer from the beginning.
    pub fn reset_to_log(&mut self, log: &LogId) {
        self.log = Some(log.clone());
        self.since = Sequence(0);
        self.acknowledged = Sequence(0);
        self.report = None;
        self.seq_translation.clear();
    }

    /// Stores the content of a complete answer, except for its records.
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

    /// The last report, if its poll was sent at `oldest` or later and the peer is established.
    pub fn recent_report(&self, oldest: Duration) -> Option<&ReceivedReport> {
        self.report.as_ref().filter(|report| report.sent_at >= oldest && report.standing.is_established())
    }
}

/// The peers by name.
pub(crate) type Peers = BTreeMap<ReplicaName, Peer>;

/// The sequence number of this replica's log that at least `count` peers have read, by reports whose polls were sent at
/// `oldest` or later. `None` if there are fewer such reports.
pub(crate) fn seq_read_by(peers: &Peers, count: usize, oldest: Duration) -> Option<Sequence> {
    let recent_reports = peers.values().filter_map(|peer| peer.recent_report(oldest));
    let mut read: Vec<Sequence> = recent_reports.map(|report| report.read).collect();
    read.sort_unstable_by(|left, right| right.cmp(left));
    match count.checked_sub(1) {
        None => Some(Sequence(u64::MAX)),
        Some(last) => read.get(last).copied(),
    }
}
