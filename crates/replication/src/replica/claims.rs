//! Reports to and from peers, majorities, the start-up hold, completion of attachments, and the claimed watermark.

use super::{LAGGING_AFTER, MAX_REPORTED_LAGGING, Replica};
use crate::checks::millis;
use crate::peers::{Peer, ReceivedReport, seq_read_by};
use crate::poll::{PollAnswer, ReplicaReport, ReplicaStanding};
use crate::record::{MemberName, ReplicaName, Sequence};
use crate::waiting::PollOwner;
use crate::watermark::{LaggingReplica, Outstanding, Reason};
use std::collections::BTreeMap;
use std::time::Duration;

impl Replica {
    /// The number of peers that form a majority together with this replica.
    pub(super) fn quorum_peer_count(&self) -> usize {
        self.peers.len().div_ceil(2)
    }

    /// The timeout of peer polls, which is the batch interval until this replica is established.
    pub(super) fn peer_poll_timeout(&self) -> Duration {
        match self.standing {
            ReplicaStanding::Established => self.config.peer_timeout,
            ReplicaStanding::Starting | ReplicaStanding::Waiting => self.config.batch_interval,
        }
    }

    /// Updates the state of a peer after the records of its answer are merged.
    pub(super) fn apply_peer_answer(
        &mut self,
        name: &ReplicaName,
        answer: &PollAnswer,
        sent_at: Duration,
        now: Duration,
    ) {
        let last_data_seq = self.log.last_data_seq();
        let hold_is_over = sent_at >= self.started_at + self.config.start_up_hold;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.since = answer.seq;
        if answer.more {
            peer.next_poll_at = now;
            return;
        }
        peer.acknowledged = answer.seq;
        peer.seq_translation.record(answer.seq, last_data_seq, now);
        peer.store_report(answer, sent_at, &self.config.log);
        peer.read_established |= hold_is_over && answer.standing.is_established();
        peer.read_after_hold |= hold_is_over && answer.standing != ReplicaStanding::Starting;
        self.notify_peer_if_report_changed(name, now);
    }

    /// The report to a peer about its log, or `None` before any of that log is read.
    pub(super) fn report_for(&mut self, name: &ReplicaName, now: Duration) -> Option<ReplicaReport> {
        let acknowledged = self.sessions.min_acknowledged().unwrap_or(self.log.last_seq());
        let peer = self.peers.get_mut(name)?;
        let log = peer.log.clone()?;
        let applied = peer.seq_translation.applied_seq(acknowledged);
        let overdue = peer.seq_translation.overdue(acknowledged, now.saturating_sub(LAGGING_AFTER));
        let lagging =
            overdue.into_iter().flat_map(|seq| self.sessions.lagging_behind(seq)).take(MAX_REPORTED_LAGGING);
        let lagging: Vec<MemberName> = lagging.cloned().collect();
        self.counters.member_steps += lagging.len() as u64;
        Some(ReplicaReport { log, read: peer.acknowledged, applied, lagging })
    }

    /// Schedules the answer to the waiting poll of a peer if the report to it has changed.
    pub(super) fn notify_peer_if_report_changed(&mut self, name: &ReplicaName, now: Duration) {
        let report = self.report_for(name, now);
        let last_sent_report = self.peers.get(name).and_then(|peer| peer.last_sent_report.as_ref());
        let last_sent_report = last_sent_report.map(|report| (&report.log, report.read, report.applied));
        if last_sent_report != report.as_ref().map(|report| (&report.log, report.read, report.applied)) {
            self.waiting_polls.schedule_answer_to(&PollOwner::Peer(name.clone()));
        }
    }

    pub(super) fn notify_peers_of_report_changes(&mut self, now: Duration) {
        let names: Vec<ReplicaName> = self.peers.keys().cloned().collect();
        names.iter().for_each(|name| self.notify_peer_if_report_changed(name, now));
    }

    /// Advances the standing once the start-up hold is over and enough peers are read.
    pub(super) fn update_standing(&mut self, now: Duration) {
        if self.standing == ReplicaStanding::Established {
            return;
        }
        let is_hold_enabled = self.config.defences.start_up_hold;
        if is_hold_enabled && now < self.started_at + self.config.start_up_hold {
            return;
        }
        // Among this many established peers, at least one was in any majority that had a record, even if this replica
        // was part of that majority and has lost its log.
        let required = self.peers.len() - self.quorum_peer_count() + 1;
        let established = self.peers.values().filter(|peer| peer.read_established).count();
        let all_past_hold = self.peers.values().all(|peer| peer.read_after_hold);
        let knows_majority = established >= required || all_past_hold;
        self.standing = if knows_majority || !is_hold_enabled {
            ReplicaStanding::Established
        } else {
            ReplicaStanding::Waiting
        };
        self.confirm_attaches(now);
    }

    /// Once a majority has the records of members, sets the sequence number that these members have to acknowledge for
    /// their attachment: that of the last data record known here.
    pub(super) fn confirm_attaches(&mut self, now: Duration) {
        if !self.standing.is_established() {
            return;
        }
        let oldest = now.saturating_sub(self.config.quorum_window);
        let read = match self.config.defences.attach_quorum {
            true => seq_read_by(&self.peers, self.quorum_peer_count(), oldest),
            false => Some(self.log.last_seq()),
        };
        let Some(read) = read else {
            return;
        };
        let required_seq = self.log.last_data_seq();
        for name in self.sessions.set_required_seq(read, required_seq) {
            self.counters.member_steps += 1;
            self.complete_attach(&name);
        }
    }

    /// Completes the attachment of a member if its conditions are met.
    pub(super) fn complete_attach(&mut self, name: &MemberName) {
        if self.sessions.try_complete_attach(name) {
            self.counters.attached += 1;
            self.waiting_polls.schedule_answer_to(&PollOwner::Member(name.clone()));
        }
    }

    /// Raises the claimed watermark as far as possible. Only an established replica does.
    pub(super) fn update_claimed_watermark(&mut self, now: Duration) {
        if !self.standing.is_established() {
            return;
        }
        let claimable_seq = self.claimable_seq(now).min(self.log.last_seq());
        self.claimed_watermark.raise(claimable_seq, now);
    }

    /// The sequence number up to which this log is in force, as far as is known now.
    pub(super) fn claimable_seq(&self, now: Duration) -> Sequence {
        let oldest = now.saturating_sub(self.config.quorum_window);
        let majority = match self.config.defences.claim_quorum {
            true => seq_read_by(&self.peers, self.quorum_peer_count(), oldest).unwrap_or_default(),
            false => self.log.last_seq(),
        };
        if !self.config.defences.watermark {
            return majority;
        }
        let acknowledged_here = self.sessions.min_acknowledged().unwrap_or(self.log.last_seq());
        let applied_remotely =
            self.remote_members.highest_seqs().map(|(replica, seq)| self.applied_at(replica, seq));
        applied_remotely.chain([acknowledged_here, majority]).min().unwrap_or_default()
    }

    /// The sequence number up to which this log is applied at the dispatchers attached to another replica. `highest` is
    /// the highest sequence number of their member records in that replica's log.
    pub(super) fn applied_at(&self, replica: &ReplicaName, highest: Sequence) -> Sequence {
        let report = self.peers.get(replica).and_then(|peer| peer.report.as_ref());
        let includes_members =
            |report: &&ReceivedReport| highest <= report.as_of || !self.config.defences.attached_since;
        report.filter(includes_members).map_or(Sequence(0), |report| report.applied)
    }

    /// What the record at `seq` waits for. It was received at `since`.
    pub(super) fn outstanding(&mut self, seq: Sequence, since: Duration, now: Duration) -> Outstanding {
        let mut dispatchers: Vec<MemberName> = self.sessions.lagging_behind(seq).cloned().collect();
        let mut replicas = Vec::new();
        if !self.standing.is_established() {
            replicas.push(LaggingReplica { name: self.config.name.clone(), reason: Reason::StartUp });
        }
        let oldest = now.saturating_sub(self.config.quorum_window);
        let majority = seq_read_by(&self.peers, self.quorum_peer_count(), oldest);
        let lacks_majority = majority.is_none_or(|read| read < seq);
        let highest: BTreeMap<&ReplicaName, Sequence> = self.remote_members.highest_seqs().collect();
        for (name, peer) in &self.peers {
            let highest = highest.get(name).copied();
            let Some(reason) = wait_reason(peer, seq, highest, oldest, lacks_majority) else {
                continue;
            };
            self.collect_lagging_dispatchers(name, peer, reason, &mut dispatchers);
            replicas.push(LaggingReplica { name: name.clone(), reason });
        }
        for name in highest.into_keys().filter(|name| !self.peers.contains_key(*name)) {
            dispatchers.extend(self.remote_members.members_at(name).cloned());
            replicas.push(LaggingReplica { name: name.clone(), reason: Reason::NotAPeer });
        }
        self.counters.member_steps += dispatchers.len() as u64;
        Outstanding { dispatchers, replicas, since }
    }

    /// Adds the dispatchers because of which a record waits for a peer, as far as they are known here.
    pub(super) fn collect_lagging_dispatchers(
        &self,
        name: &ReplicaName,
        peer: &Peer,
        reason: Reason,
        dispatchers: &mut Vec<MemberName>,
    ) {
        match (reason, &peer.report) {
            (Reason::NoRecentAnswer | Reason::StartUp, _) => {
                dispatchers.extend(self.remote_members.members_at(name).cloned())
            }
            (Reason::AttachedSinceReport, Some(report)) => {
                dispatchers.extend(self.remote_members.members_above(name, report.as_of).cloned());
            }
            (_, Some(report)) => dispatchers.extend(report.lagging.iter().cloned()),
            (_, None) => {}
        }
    }

    /// The Unix time in milliseconds, by the time since the start of the process.
    pub(super) fn unix_ms(&self, now: Duration) -> u64 {
        self.config.incarnation.0 + millis(now.saturating_sub(self.started_at))
    }
}

/// Why the record at `seq` waits for a peer, or `None` if it does not. `highest` is the highest sequence number of the
/// members attached to the peer. `oldest_report` is the start of the quorum window.
fn wait_reason(
    peer: &Peer,
    seq: Sequence,
    highest: Option<Sequence>,
    oldest_report: Duration,
    lacks_majority: bool,
) -> Option<Reason> {
    let report = peer.report.as_ref();
    let is_covered_by =
        |report: &ReceivedReport| highest.is_none_or(|at| at <= report.as_of && report.applied >= seq);
    let counts_in_quorum =
        report.is_some_and(|report| report.sent_at >= oldest_report && report.standing.is_established());
    let is_covered = highest.is_none() || report.is_some_and(is_covered_by);
    let is_counted = !lacks_majority || counts_in_quorum && report.is_some_and(|report| report.read >= seq);
    if is_covered && is_counted {
        return None;
    }
    let Some(report) = report.filter(|report| report.sent_at >= oldest_report) else {
        return Some(Reason::NoRecentAnswer);
    };
    Some(match highest {
        _ if report.read < seq => Reason::NotRead,
        Some(at) if at > report.as_of => Reason::AttachedSinceReport,
        Some(_) if report.applied < seq => Reason::NotApplied,
        _ => Reason::StartUp,
    })
}
