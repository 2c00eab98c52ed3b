//! A replica: accepts publications and polls, polls its peers, and determines which records are in force.

mod claims;
mod joining;
mod polls;

use crate::checks::{check_longer, check_name, millis};
use crate::compacted_log::{Audience, CompactedLog};
use crate::errors::{AnswerError, ConfigurationError, PollError, PublishError};
use crate::members::{RemoteMembers, Sessions};
use crate::peers::{OpenPoll, Peer, Peers};
use crate::poll::{PollAnswer, PollRequest, Poller, ReplicaStanding};
use crate::record::{
    Attachment, Incarnation, LogId, Member, MemberName, MemberState, Record, RecordName, ReplicaName,
    Sequence,
};
use crate::waiting::{PollOwner, WaitingPolls};
use crate::watermark::{ClaimedWatermark, Verdict};
use std::collections::BTreeSet;
use std::time::Duration;

/// The caller's number of a waiting poll. It must not be reused while the poll waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollId(pub u64);

/// The configuration of a replica. [`ReplicaConfig::new`] sets the defaults.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The name of the replica.
    pub name: ReplicaName,
    /// All other replicas. A majority is counted over these and the replica itself.
    pub peers: Vec<ReplicaName>,
    /// Identifies the log of this process. No other process of any replica may use the same identity.
    pub log: LogId,
    /// The start of this process.
    pub incarnation: Incarnation,
    /// The minimum time between two answers to the same poller.
    pub batch_interval: Duration,
    /// The maximum number of records in one answer.
    pub max_batch_records: usize,
    /// The maximum length of the JSON of all records in one answer. A longer record is sent on its own. Pollers accept
    /// four times as much.
    pub max_batch_bytes: usize,
    /// How long a peer may hold a poll of this replica.
    pub peer_timeout: Duration,
    /// A poll of a peer counts as failed this long after its timeout.
    pub peer_timeout_margin: Duration,
    /// The delay between a failed poll of a peer and the next one.
    pub peer_retry_delay: Duration,
    /// Purges older than this are dropped, because no cached copy is that old.
    pub purge_retention: Duration,
    /// How far the time of a purge may be ahead of this replica's clock.
    pub max_clock_ahead: Duration,
    /// The doubt timeout of the dispatchers, see
    /// [`SubscriberConfig::doubt_after`](crate::SubscriberConfig::doubt_after).
    pub doubt_after: Duration,
    /// A member that has not polled for this long counts as having left.
    pub member_lease: Duration,
    /// How long the record of a member that left is kept.
    pub left_member_retention: Duration,
    /// An answer of a peer counts in a majority for this long after its poll was sent.
    pub quorum_window: Duration,
    /// After its start, a replica counts in no majority for this long, and until it has read its peers after that.
    pub start_up_hold: Duration,
    /// The maximum number of members.
    pub max_members: usize,
    /// The maximum number of records, without member records.
    pub max_records: usize,
    /// All are enabled, except in proof runs.
    pub defences: ReplicaDefences,
}

impl ReplicaConfig {
    /// The defaults. The log is named after the replica and `incarnation`, the Unix time of the start in milliseconds.
    pub fn new(name: ReplicaName, peers: Vec<ReplicaName>, incarnation: Incarnation) -> Self {
        Self {
            log: LogId(format!("{name}-{incarnation}")),
            name,
            peers,
            incarnation,
            batch_interval: Duration::from_millis(100),
            max_batch_records: 5000,
            max_batch_bytes: 4 * 1024 * 1024,
            peer_timeout: Duration::from_secs(1),
            peer_timeout_margin: Duration::from_secs(1),
            peer_retry_delay: Duration::from_millis(200),
            purge_retention: Duration::from_secs(24 * 3600),
            max_clock_ahead: Duration::from_secs(10),
            doubt_after: Duration::from_secs(3),
            member_lease: Duration::from_secs(10),
            left_member_retention: Duration::from_secs(24 * 3600),
            quorum_window: Duration::from_secs(3),
            start_up_hold: Duration::from_secs(5),
            max_members: 4096,
            max_records: 2_000_000,
            defences: ReplicaDefences::default(),
        }
    }
}

impl Default for ReplicaDefences {
    fn default() -> Self {
        Self {
            watermark: true,
            attached_since: true,
            attach_quorum: true,
            claim_quorum: true,
            start_up_hold: true,
            complete_answers: true,
        }
    }
}

/// Safety mechanisms that proof runs disable one at a time, to show that the oracle detects their absence. They must
/// stay enabled otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaDefences {
    /// A record is in force only once it is acknowledged. Disabled: once a majority has read it.
    pub watermark: bool,
    /// A report of a peer counts only for members that had attached before it was made. Disabled: members that attached
    /// since are ignored.
    pub attached_since: bool,
    /// An attachment completes only once a majority has the member record. Disabled: once the replica itself has it.
    pub attach_quorum: bool,
    /// A record is in force only if a majority has answered within the quorum window. Disabled: the known members
    /// suffice.
    pub claim_quorum: bool,
    /// A replica observes the start-up hold after its start. Disabled: it counts immediately.
    pub start_up_hold: bool,
    /// Only complete answers, those without `more`, count as acknowledged. Disabled: every answer does.
    pub complete_answers: bool,
}

/// A poll to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerPoll {
    /// The peer to poll.
    pub to: ReplicaName,
    /// The content of the poll.
    pub request: PollRequest,
    /// Without an answer by then, the caller reports [`Replica::on_peer_failure`].
    pub deadline: Duration,
}

/// A member, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The name of the dispatcher.
    pub name: MemberName,
    /// The process of the dispatcher.
    pub incarnation: Incarnation,
    /// The attachment of that process.
    pub attachment: Attachment,
    /// The replica that the dispatcher polls, or `None` if it has left.
    pub replica: Option<ReplicaName>,
    /// What the dispatcher has acknowledged of this replica's log, if it is attached to this replica.
    pub acknowledged: Option<Sequence>,
    /// Whether the dispatcher is attached to this replica and its attachment is complete.
    pub attached: bool,
}

/// Counters of a replica since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounters {
    /// Accepted publications.
    pub published: u64,
    /// Rejected publications.
    pub refused: u64,
    /// Received polls.
    pub polls: u64,
    /// Answers returned to pollers.
    pub answers: u64,
    /// Records in those answers.
    pub records_told: u64,
    /// Accepted answers of peers.
    pub peer_answers: u64,
    /// Failed polls of peers.
    pub peer_failures: u64,
    /// Merged records that changed the log.
    pub joined: u64,
    /// Merged records that changed nothing.
    pub known_already: u64,
    /// Records of peers with a known version and a different body.
    pub conflicts: u64,
    /// Purges that were dropped as older than any cached copy.
    pub dropped: u64,
    /// Attachments that became complete.
    pub attached: u64,
    /// Members whose lease expired at this replica.
    pub expired: u64,
    /// Polls under superseded attachments.
    pub superseded: u64,
    /// Polls that acknowledged records beyond the end of the log.
    pub ahead: u64,
    /// Visited member entries. Tests check with them that the work of a poll is bounded.
    pub member_steps: u64,
}

/// The maximum timeout of a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum number of dispatchers named in a report.
const MAX_REPORTED_LAGGING: usize = 8;
/// A dispatcher that holds back `applied` for longer than this is named in the report.
const LAGGING_AFTER: Duration = Duration::from_millis(500);
/// Two polls of the same peer are at least a batch interval divided by this apart, even if the peer answers
/// immediately.
const PEER_POLLS_PER_BATCH_INTERVAL: u32 = 10;

/// A replica.
///
/// ```
/// use myrtlegauge_replication::*;
/// use std::time::Duration;
/// // A single replica is a majority on its own, and counts after its start-up hold.
/// let config = ReplicaConfig::new("north".into(), Vec::new(), Incarnation(1_700_000_000_000));
/// let mut replica = Replica::new(config, Duration::ZERO)?;
/// let now = Duration::from_secs(5);
/// replica.tick(now);
/// let purge = Purge { target: PurgeTarget::Group(17), unix_ms: 1_700_000_005_000 };
/// replica.publish(Record::Purge(purge), now)?;
/// // No dispatcher is attached, so the purge is in force immediately.
/// assert!(matches!(replica.in_force(&RecordName::Group(17), now), Verdict::InForce { .. }));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct Replica {
    config: ReplicaConfig,
    started_at: Duration,
    standing: ReplicaStanding,
    log: CompactedLog,
    sessions: Sessions,
    remote_members: RemoteMembers,
    peers: Peers,
    waiting_polls: WaitingPolls,
    claimed_watermark: ClaimedWatermark,
    counters: ReplicaCounters,
}

impl Replica {
    /// Creates a replica with an empty log.
    pub fn new(config: ReplicaConfig, now: Duration) -> Result<Self, ConfigurationError> {
        check_config(&config)?;
        let peers = config.peers.iter().map(|name| (name.clone(), Peer::default())).collect();
        let mut replica = Self {
            config,
            started_at: now,
            standing: ReplicaStanding::Starting,
            log: CompactedLog::default(),
            sessions: Sessions::default(),
            remote_members: RemoteMembers::default(),
            peers,
            waiting_polls: WaitingPolls::default(),
            claimed_watermark: ClaimedWatermark::default(),
            counters: ReplicaCounters::default(),
        };
        replica.update_standing(now);
        Ok(replica)
    }

    /// Publishes a record and returns its sequence number in this replica's log. For a record that changes nothing,
    /// such as a purge older than the known one, it is the sequence number of the known record.
    pub fn publish(&mut self, record: Record, now: Duration) -> Result<Sequence, PublishError> {
        if let Err(error) = self.check_publication(&record, now) {
            self.counters.refused += 1;
            return Err(error);
        }
        self.counters.published += 1;
        let seq = self.merge(record, now);
        self.update_claimed_watermark(now);
        Ok(seq)
    }

    /// Accepts a poll. [`Replica::next_answer`] returns its answer. A poll with an error is answered only if
    /// [`PollError::is_answered`] is true.
    pub fn poll(&mut self, id: PollId, request: PollRequest, now: Duration) -> Result<(), PollError> {
        self.counters.polls += 1;
        match request.poller.clone() {
            Poller::Probe => {
                self.answer_immediately(id, PollOwner::Probe(id), now);
                Ok(())
            }
            Poller::Reader => self.enqueue_poll(id, PollOwner::Reader(id), &request, None, now),
            Poller::Replica { name, .. } => self.on_peer_poll(id, &name, &request, now),
            Poller::Dispatcher { name, incarnation, attachment, leaving } => {
                let state = MemberState::AttachedAt(self.config.name.clone());
                let member = Member { name, incarnation, attachment, state };
                self.on_dispatcher_poll(id, member, leaving, &request, now)
            }
        }
    }

    /// Cancels a poll whose poller has disconnected.
    pub fn cancel(&mut self, id: PollId) {
        self.waiting_polls.remove(id);
    }

    /// The next answer that is due. A poll that was replaced by a newer one of the same poller gets no answer.
    pub fn next_answer(&mut self, now: Duration) -> Option<(PollId, PollAnswer)> {
        let (id, poll) = self.waiting_polls.pop_due(now)?;
        let answer = match &poll.owner {
            PollOwner::Probe(_) => self.bare_answer(poll.since),
            PollOwner::Superseded(_) => PollAnswer { superseded: true, ..self.bare_answer(poll.since) },
            PollOwner::Reader(_) => self.answer(poll.since, Audience::Dispatchers),
            PollOwner::Member(name) => self.answer_member(name, poll.since, now),
            PollOwner::Peer(name) => self.answer_peer(name, poll.since, now),
        };
        self.counters.answers += 1;
        self.counters.records_told += answer.results.len() as u64;
        Some((id, answer))
    }

    /// The next poll to send to a peer now. One poll per peer is open at a time. An open poll past its deadline counts
    /// as failed.
    pub fn next_poll(&mut self, now: Duration) -> Option<PeerPoll> {
        let is_overdue = |peer: &Peer| peer.open_poll.as_ref().is_some_and(|poll| now >= poll.deadline);
        let overdue = self.peers.iter().find(|(_, peer)| is_overdue(peer)).map(|(name, _)| name.clone());
        if let Some(name) = overdue {
            self.on_peer_failure(&name, now);
        }
        let timeout = self.peer_poll_timeout();
        let min_poll_interval = self.config.batch_interval / PEER_POLLS_PER_BATCH_INTERVAL;
        let (name, peer) =
            self.peers.iter_mut().find(|(_, peer)| peer.open_poll.is_none() && peer.next_poll_at <= now)?;
        let deadline = now + timeout + self.config.peer_timeout_margin;
        peer.open_poll = Some(OpenPoll { sent_at: now, since: peer.since, deadline });
        peer.next_poll_at = now + min_poll_interval;
        let own_log = self.config.log.clone();
        let request = PollRequest {
            log: peer.log.clone(),
            since: peer.since,
            acknowledged: peer.acknowledged,
            timeout,
            poller: Poller::Replica { name: self.config.name.clone(), own_log },
        };
        Some(PeerPoll { to: name.clone(), request, deadline })
    }

    /// Handles the answer to the open poll of a peer.
    ///
    /// A complete answer contains what the peer knew, what it had read of this log, and what its dispatchers had
    /// applied of it, all as of the moment when the answer was made, which is after the poll was sent.
    pub fn on_peer_answer(
        &mut self,
        name: &ReplicaName,
        answer: PollAnswer,
        now: Duration,
    ) -> Result<(), AnswerError> {
        let peer = self.peers.get_mut(name).ok_or_else(|| AnswerError::UnknownReplica(name.clone()))?;
        let open_poll = peer.open_poll.take().ok_or_else(|| AnswerError::Unsolicited(name.clone()))?;
        let is_other_log = peer.log.as_ref() != Some(&answer.log);
        let expected_after =
            if is_other_log || answer.seq < open_poll.since { Sequence(0) } else { open_poll.since };
        check_order(name, &answer, expected_after)?;
        if is_other_log {
            peer.reset_to_log(&answer.log);
            self.remote_members.forget_seqs(name);
        }
        self.counters.peer_answers += 1;
        for event in &answer.results {
            self.merge_peer_event(name, event, now);
        }
        self.apply_peer_answer(name, &answer, open_poll.sent_at, now);
        self.update_standing(now);
        self.confirm_attaches(now);
        self.update_claimed_watermark(now);
        Ok(())
    }

    /// Handles the failure or the timeout of the open poll of a peer.
    pub fn on_peer_failure(&mut self, name: &ReplicaName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.open_poll = None;
            peer.next_poll_at = now + self.config.peer_retry_delay;
            self.counters.peer_failures += 1;
        }
    }

    /// Expires leases, drops records that are too old, and ends the start-up hold.
    pub fn tick(&mut self, now: Duration) {
        self.expire_leases(now);
        let unix_ms = self.unix_ms(now);
        let oldest = unix_ms.saturating_sub(millis(self.config.purge_retention));
        self.counters.dropped += self.log.drop_purges_before(oldest);
        let oldest_leave = unix_ms.saturating_sub(millis(self.config.left_member_retention));
        self.log.drop_members_left_before(oldest_leave);
        self.update_standing(now);
        self.update_claimed_watermark(now);
    }

    /// The next time at which [`Replica::tick`], [`Replica::next_poll`] or [`Replica::next_answer`] has work, if no
    /// input arrives before. Expired purges cause no wakeup: they are dropped when `tick` is called for another reason.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let next_poll_at =
            |peer: &Peer| peer.open_poll.as_ref().map_or(peer.next_poll_at, |open_poll| open_poll.deadline);
        let peer_poll = self.peers.values().map(next_poll_at).min();
        let expiry =
            self.sessions.longest_idle().map(|(last_poll_at, _)| last_poll_at + self.config.member_lease);
        let hold_end = self.started_at + self.config.start_up_hold;
        let hold_end = (self.standing == ReplicaStanding::Starting).then_some(hold_end);
        [peer_poll, expiry, hold_end, self.waiting_polls.next_answer_at()].into_iter().flatten().min()
    }

    /// Whether the record with this name is in force at every dispatcher that is not in doubt.
    pub fn in_force(&mut self, name: &RecordName, now: Duration) -> Verdict {
        self.update_claimed_watermark(now);
        let Some(entry) = self.log.get(name) else {
            return Verdict::Unknown;
        };
        let (seq, added_at) = (entry.seq, entry.added_at);
        match self.claimed_watermark.claimed_at(seq) {
            Some(at) => Verdict::InForce { at },
            None => Verdict::Outstanding(self.outstanding(seq, added_at, now)),
        }
    }

    /// The sequence number up to which this replica's log is in force.
    pub fn fleet_watermark(&mut self, now: Duration) -> Sequence {
        self.update_claimed_watermark(now);
        self.claimed_watermark.seq()
    }

    /// All known members, in order of their names.
    pub fn members(&self) -> Vec<MemberView> {
        let view = |member: &Member| {
            let session = self.sessions.get(&member.name);
            MemberView {
                name: member.name.clone(),
                incarnation: member.incarnation,
                attachment: member.attachment,
                replica: member.replica().cloned(),
                acknowledged: session.map(|session| session.acknowledged),
                attached: session.is_some_and(|session| session.attached),
            }
        };
        self.log.members().map(view).collect()
    }

    /// The progress of the replica after its start.
    pub fn standing(&self) -> ReplicaStanding {
        self.standing
    }

    /// The log.
    pub fn log(&self) -> &CompactedLog {
        &self.log
    }

    /// The counters since the start.
    pub fn counters(&self) -> ReplicaCounters {
        self.counters
    }
}

fn check_config(config: &ReplicaConfig) -> Result<(), ConfigurationError> {
    check_name("replica name", &config.name.0)?;
    let mut peer_names = BTreeSet::new();
    for peer in &config.peers {
        check_name("peer name", &peer.0)?;
        if *peer == config.name {
            return Err(ConfigurationError::OwnPeer(peer.clone()));
        }
        if !peer_names.insert(peer) {
            return Err(ConfigurationError::PeerTwice(peer.clone()));
        }
    }
    for (setting, limit) in [
        ("the maximum number of records in a batch", config.max_batch_records),
        ("the maximum number of bytes in a batch", config.max_batch_bytes),
        ("the maximum number of members", config.max_members),
        ("the maximum number of records", config.max_records),
    ] {
        if limit == 0 {
            return Err(ConfigurationError::Zero(setting));
        }
    }
    check_longer(("the member lease", config.member_lease), ("the doubt timeout", config.doubt_after))?;
    check_longer(("the start-up hold", config.start_up_hold), ("the doubt timeout", config.doubt_after))?;
    check_longer(("the start-up hold", config.start_up_hold), ("the quorum window", config.quorum_window))?;
    check_longer(
        ("the quorum window", config.quorum_window),
        ("the timeout of peer polls", config.peer_timeout),
    )
}

/// Checks that the events are in ascending order, above `since` and up to `seq`.
fn check_order(replica: &ReplicaName, answer: &PollAnswer, since: Sequence) -> Result<(), AnswerError> {
    answer.check_order(since).map_err(|event| AnswerError::OutOfOrder { replica: replica.clone(), event })
}
