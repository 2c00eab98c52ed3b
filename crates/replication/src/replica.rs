//! A replica: takes publications and polls, polls its peers, and says what is in force.

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

/// The driver's number of one poll that waits: not used again while it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollId(pub u64);

/// Who a replica is, and its bounds. [`ReplicaConfig::new`] has the defaults.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Its name.
    pub name: ReplicaName,
    /// The other replicas, all of them: a majority is counted of these and itself.
    pub peers: Vec<ReplicaName>,
    /// The identity of this life's log; no other life of any replica may have it.
    pub log: LogId,
    /// Unix milliseconds at the start.
    pub incarnation: Incarnation,
    /// An answer to one poller leaves at the earliest this long after the one before.
    pub batch_interval: Duration,
    /// Records in one answer.
    pub max_batch_records: usize,
    /// How long a poll of a peer may wait there.
    pub peer_timeout: Duration,
    /// A poll of a peer is given up this long after its timeout.
    pub peer_timeout_margin: Duration,
    /// Between a poll that failed and the next.
    pub peer_retry_delay: Duration,
    /// Purges older than this are older than any copy: they are dropped.
    pub purge_retention: Duration,
    /// How far ahead of this replica's clock a purge may be.
    pub max_clock_ahead: Duration,
    /// The dispatchers' doubt span: see [`SubscriberConfig::doubt_after`](crate::SubscriberConfig::doubt_after).
    pub doubt_after: Duration,
    /// A silent member is held for gone after this.
    pub member_lease: Duration,
    /// A member that left is forgotten after this.
    pub left_member_retention: Duration,
    /// Answers of peers count in a majority for this long after they were asked for.
    pub quorum_window: Duration,
    /// A started replica counts in no majority for this long, and until it has read its peers after that.
    pub start_up_hold: Duration,
    /// Members that are known at most.
    pub max_members: usize,
    /// Records that are known at most, members aside.
    pub max_records: usize,
    /// All on, except in proofs.
    pub defences: ReplicaDefences,
}

impl ReplicaConfig {
    /// The defaults; `incarnation` is the Unix time of the start in milliseconds, and names the log with the name.
    pub fn new(name: ReplicaName, peers: Vec<ReplicaName>, incarnation: Incarnation) -> Self {
        Self {
            log: LogId(format!("{name}-{incarnation}")),
            name,
            peers,
            incarnation,
            batch_interval: Duration::from_millis(100),
            max_batch_records: 5000,
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

/// Defences that proofs switch off, one at a time, to see the oracle fail. Leave them on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaDefences {
    /// A claim waits for acknowledgements. Off: a record is in force once a majority has read it.
    pub watermark: bool,
    /// A peer that reports is waited for only as of its report. Off: members that attached since are passed over.
    pub attached_since: bool,
    /// An attach is complete after a majority knows it. Off: once the replica itself does.
    pub attach_quorum: bool,
    /// A claim needs a majority heard lately. Off: the members that are known are enough.
    pub claim_quorum: bool,
    /// A started replica is held. Off: it counts at once.
    pub start_up_hold: bool,
    /// Only whole answers are acknowledged. Off: each is.
    pub complete_answers: bool,
}

/// A poll to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerPoll {
    /// The peer.
    pub to: ReplicaName,
    /// The poll.
    pub request: PollRequest,
    /// Without an answer until then, tell [`Replica::on_peer_failure`].
    pub deadline: Duration,
}

/// A member as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The dispatcher.
    pub name: MemberName,
    /// Which process.
    pub incarnation: Incarnation,
    /// Which of its choices of a replica.
    pub attachment: Attachment,
    /// Where it polls; none: it left.
    pub replica: Option<ReplicaName>,
    /// Attached here: what it has acknowledged of this replica's log.
    pub acknowledged: Option<Sequence>,
    /// Attached here: whether its attach is complete.
    pub attached: bool,
}

/// What a replica has done, from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounters {
    /// Publications that were taken.
    pub published: u64,
    /// Publications that were refused.
    pub refused: u64,
    /// Polls that were taken.
    pub polls: u64,
    /// Answers that were given.
    pub answers: u64,
    /// Records in those answers.
    pub records_told: u64,
    /// Answers of peers that were taken.
    pub peer_answers: u64,
    /// Polls of peers that failed.
    pub peer_failures: u64,
    /// Records that changed something.
    pub joined: u64,
    /// Records that changed nothing.
    pub known_already: u64,
    /// Records of peers with another body under a known version.
    pub conflicts: u64,
    /// Purges that were dropped as older than any copy.
    pub dropped: u64,
    /// Attaches that became complete.
    pub attached: u64,
    /// Members whose lease expired here.
    pub expired: u64,
    /// Polls by attachments that were over.
    pub superseded: u64,
    /// Polls that acknowledged what was not told.
    pub ahead: u64,
    /// Entries of members that were looked at, for the bound on the work of a poll.
    pub member_steps: u64,
}

/// The longest that a poll may ask to wait.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(60);
/// Dispatchers that a report names.
const MAX_REPORTED_LAGGING: usize = 8;
/// A dispatcher that holds a report back for longer is named in it.
const LAGGING_AFTER: Duration = Duration::from_millis(500);
/// Two polls of one peer are at least this part of a batch interval apart, also if it answers at once.
const PEER_POLLS_PER_BATCH_INTERVAL: u32 = 10;

/// A replica.
///
/// ```
/// use myrtlegauge_replication::*;
/// use std::time::Duration;
/// // Alone, it is a majority; after its start-up hold it counts.
/// let config = ReplicaConfig::new("north".into(), Vec::new(), Incarnation(1_700_000_000_000));
/// let mut replica = Replica::new(config, Duration::ZERO)?;
/// let now = Duration::from_secs(5);
/// replica.tick(now);
/// let purge = Purge { target: PurgeTarget::Group(17), unix_ms: 1_700_000_005_000 };
/// replica.publish(Record::Purge(purge), now)?;
/// // No dispatcher is there that would lack it.
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
    /// A replica that knows nothing yet.
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

    /// Takes a record, and gives its place in this replica's log. The place of a record that changes nothing, as a purge
    /// that is older than the one known, is that of the known one.
    pub fn publish(&mut self, record: Record, now: Duration) -> Result<Sequence, PublishError> {
        if let Err(refused) = self.check_publication(&record, now) {
            self.counters.refused += 1;
            return Err(refused);
        }
        self.counters.published += 1;
        let seq = self.join(record, now);
        self.update_claimed_watermark(now);
        Ok(seq)
    }

    /// Takes a poll; its answer comes out of [`Replica::next_answer`]. After an error with
    /// [`PollError::is_answered`] an answer comes too; after another there is none.
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

    /// The poller hung up.
    pub fn cancel(&mut self, id: PollId) {
        self.waiting_polls.remove(id);
    }

    /// An answer that is due. A poll that was replaced by a newer one of the same poller gets none.
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

    /// A poll that is to be sent to a peer now. One poll of a peer is open at a time; one that was to be given up by now
    /// counts as failed.
    pub fn next_poll(&mut self, now: Duration) -> Option<PeerPoll> {
        let is_superseded =
            |peer: &Peer| peer.open_poll.as_ref().is_some_and(|open_poll| now >= open_poll.deadline);
        let over = self.peers.iter().find(|(_, peer)| is_superseded(peer)).map(|(name, _)| name.clone());
        if let Some(name) = over {
            self.on_peer_failure(&name, now);
        }
        let timeout = self.peer_poll_timeout();
        let gap = self.config.batch_interval / PEER_POLLS_PER_BATCH_INTERVAL;
        let (name, peer) =
            self.peers.iter_mut().find(|(_, peer)| peer.open_poll.is_none() && peer.next_poll_at <= now)?;
        let deadline = now + timeout + self.config.peer_timeout_margin;
        peer.open_poll = Some(OpenPoll { sent_at: now, since: peer.since, deadline });
        peer.next_poll_at = now + gap;
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

    /// Takes the answer to the open poll of a peer.
    ///
    /// A whole answer says in one message what the peer knew, what it had read of this log, and what its dispatchers had
    /// applied of it: all as of the moment it was made, which is after the poll was sent.
    pub fn on_peer_answer(
        &mut self,
        name: &ReplicaName,
        answer: PollAnswer,
        now: Duration,
    ) -> Result<(), AnswerError> {
        let peer = self.peers.get_mut(name).ok_or_else(|| AnswerError::UnknownReplica(name.clone()))?;
        let open_poll = peer.open_poll.take().ok_or_else(|| AnswerError::Unsolicited(name.clone()))?;
        let other_log = peer.log.as_ref() != Some(&answer.log);
        let from = if other_log || answer.seq < open_poll.since { Sequence(0) } else { open_poll.since };
        check_order(name, &answer, from)?;
        if other_log {
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

    /// The open poll of a peer has failed, or was given up.
    pub fn on_peer_failure(&mut self, name: &ReplicaName, now: Duration) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.open_poll = None;
            peer.next_poll_at = now + self.config.peer_retry_delay;
            self.counters.peer_failures += 1;
        }
    }

    /// Lets leases expire, drops what is too old, ends the start-up hold.
    pub fn tick(&mut self, now: Duration) {
        self.expire_leases(now);
        let unix_ms = self.unix_ms(now);
        let oldest = unix_ms.saturating_sub(millis(self.config.purge_retention));
        self.counters.dropped += self.log.drop_purges_before(oldest);
        let left = unix_ms.saturating_sub(millis(self.config.left_member_retention));
        self.log.drop_members_left_before(left);
        self.update_standing(now);
        self.update_claimed_watermark(now);
    }

    /// When [`Replica::tick`], [`Replica::next_poll`] or [`Replica::next_answer`] has something to do next, if nothing
    /// comes in. Purges are dropped at the next call of `tick` for another reason.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let next_poll_at =
            |peer: &Peer| peer.open_poll.as_ref().map_or(peer.next_poll_at, |open_poll| open_poll.deadline);
        let ask = self.peers.values().map(next_poll_at).min();
        let expiry =
            self.sessions.longest_silent().map(|(last_poll_at, _)| last_poll_at + self.config.member_lease);
        let hold = self.started_at + self.config.start_up_hold;
        let hold = (self.standing == ReplicaStanding::Starting).then_some(hold);
        [ask, expiry, hold, self.waiting_polls.next_answer_at()].into_iter().flatten().min()
    }

    /// Whether the record of this name is in force at every dispatcher that is not in doubt.
    pub fn in_force(&mut self, name: &RecordName, now: Duration) -> Verdict {
        self.update_claimed_watermark(now);
        let Some(entry) = self.log.get(name) else {
            return Verdict::Unknown;
        };
        let (seq, added_at) = (entry.seq, entry.added_at);
        match self.claimed_watermark.at(seq) {
            Some(at) => Verdict::InForce { at },
            None => Verdict::Outstanding(self.outstanding(seq, added_at, now)),
        }
    }

    /// All of this replica's log up to here is in force.
    pub fn fleet_watermark(&mut self, now: Duration) -> Sequence {
        self.update_claimed_watermark(now);
        self.claimed_watermark.seq()
    }

    /// All members that are known, in order of their names.
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

    /// How far it is after its start.
    pub fn standing(&self) -> ReplicaStanding {
        self.standing
    }

    /// The log, for those who keep or show it.
    pub fn log(&self) -> &CompactedLog {
        &self.log
    }

    /// What it has done.
    pub fn counters(&self) -> ReplicaCounters {
        self.counters
    }
}

fn check_config(config: &ReplicaConfig) -> Result<(), ConfigurationError> {
    check_name("replica's name", &config.name.0)?;
    let mut seen = BTreeSet::new();
    for peer in &config.peers {
        check_name("peer's name", &peer.0)?;
        if *peer == config.name {
            return Err(ConfigurationError::OwnPeer(peer.clone()));
        }
        if !seen.insert(peer) {
            return Err(ConfigurationError::PeerTwice(peer.clone()));
        }
    }
    for (kind, bound) in [
        ("the batch of records", config.max_batch_records),
        ("the bound on members", config.max_members),
        ("the bound on records", config.max_records),
    ] {
        if bound == 0 {
            return Err(ConfigurationError::Zero(kind));
        }
    }
    check_longer(("the member lease", config.member_lease), ("the doubt span", config.doubt_after))?;
    check_longer(("the start-up hold", config.start_up_hold), ("the doubt span", config.doubt_after))?;
    check_longer(("the start-up hold", config.start_up_hold), ("the quorum window", config.quorum_window))?;
    check_longer(("the quorum window", config.quorum_window), ("a peer's timeout", config.peer_timeout))
}

/// Events have to stand in order, above what was asked for and up to `seq`.
fn check_order(replica: &ReplicaName, answer: &PollAnswer, since: Sequence) -> Result<(), AnswerError> {
    answer.check_order(since).map_err(|event| AnswerError::OutOfOrder { replica: replica.clone(), event })
}
