//! Polls of readers, dispatchers and peers, and their answers.

use super::{MAX_POLL_TIMEOUT, PollId, Replica};
use crate::compacted_log::{Audience, SliceLimits};
use crate::errors::PollError;
use crate::poll::{PollAnswer, PollRequest};
use crate::record::{Member, MemberName, MemberState, Record, ReplicaName, Sequence};
use crate::waiting::{PollOwner, WaitingPoll};
use std::time::Duration;

impl Replica {
    pub(super) fn on_peer_poll(
        &mut self,
        id: PollId,
        name: &ReplicaName,
        request: &PollRequest,
        now: Duration,
    ) -> Result<(), PollError> {
        let peer = self.peers.get(name).ok_or_else(|| PollError::UnknownReplica(name.clone()))?;
        let answered_at = peer.answered_at;
        let result = self.enqueue_poll(id, PollOwner::Peer(name.clone()), request, answered_at, now);
        self.notify_peer_if_report_changed(name, now);
        result
    }

    pub(super) fn on_dispatcher_poll(
        &mut self,
        id: PollId,
        member: Member,
        leaving: bool,
        request: &PollRequest,
        now: Duration,
    ) -> Result<(), PollError> {
        let name = member.name.clone();
        if self.is_superseded(&member) {
            self.counters.superseded += 1;
            self.answer_immediately(id, PollOwner::Superseded(id), now);
            return Err(PollError::Superseded { name });
        }
        let known = self.log.member(&name);
        if known.is_none() && self.log.member_count() >= self.config.max_members {
            return Err(PollError::TooManyMembers { name, max: self.config.max_members });
        }
        if leaving {
            let state = MemberState::Left(self.unix_ms(now));
            self.merge(Record::Member(Member { state, ..member }), now);
            self.answer_immediately(id, PollOwner::Superseded(id), now);
            return Ok(());
        }
        self.merge(Record::Member(member), now);
        self.sessions.record_poll(&name, now);
        if self.names_this_log(request) {
            self.on_acknowledgement(&name, request, now);
        }
        self.confirm_attaches(now);
        let answered_at = self.sessions.get(&name).and_then(|session| session.answered_at);
        self.enqueue_poll(id, PollOwner::Member(name), request, answered_at, now)
    }

    /// Whether a later attachment of the member is known, or this one has ended.
    pub(super) fn is_superseded(&self, member: &Member) -> bool {
        self.log.member(&member.name).is_some_and(|known| known.precedence() > member.precedence())
    }

    /// Records what a dispatcher acknowledges. An acknowledgement beyond the end of the log is ignored.
    pub(super) fn on_acknowledgement(&mut self, name: &MemberName, request: &PollRequest, now: Duration) {
        let seq = if self.config.defences.complete_answers { request.acknowledged } else { request.since };
        if seq > self.log.last_seq() {
            return;
        }
        let previous_min = self.sessions.min_acknowledged();
        self.sessions.acknowledge(name, seq);
        self.complete_attach(name);
        if self.sessions.min_acknowledged() != previous_min {
            self.notify_peers_of_report_changes(now);
            self.update_claimed_watermark(now);
        }
    }

    /// Whether the poll refers to the log of this process.
    pub(super) fn names_this_log(&self, request: &PollRequest) -> bool {
        request.log.as_ref() == Some(&self.config.log)
    }

    /// Adds a poll to the waiting ones. Its answer is scheduled immediately if there are records above its position, or
    /// if the poller does not follow this log yet.
    pub(super) fn enqueue_poll(
        &mut self,
        id: PollId,
        owner: PollOwner,
        request: &PollRequest,
        answered_at: Option<Duration>,
        now: Duration,
    ) -> Result<(), PollError> {
        let is_ahead = self.names_this_log(request) && request.since > self.log.last_seq();
        let is_log_known = match owner {
            PollOwner::Reader(_) => request.log.is_none() || self.names_this_log(request),
            _ => self.names_this_log(request),
        };
        let since =
            if is_log_known && request.since <= self.log.last_seq() { request.since } else { Sequence(0) };
        let last = match owner {
            PollOwner::Peer(_) => self.log.last_seq(),
            _ => self.log.last_data_seq(),
        };
        let earliest_answer_at = answered_at.map_or(now, |at| now.max(at + self.config.batch_interval));
        let answer_at = now + request.timeout.min(MAX_POLL_TIMEOUT);
        self.waiting_polls.add(id, WaitingPoll { owner, since, answer_at, earliest_answer_at });
        if since < last || !is_log_known || is_ahead {
            self.waiting_polls.schedule_answer(id);
        }
        if !is_ahead {
            return Ok(());
        }
        self.counters.ahead += 1;
        Err(PollError::AheadOfLog {
            log: self.config.log.clone(),
            since: request.since,
            last: self.log.last_seq(),
        })
    }

    /// Adds a poll that is answered immediately, without records.
    pub(super) fn answer_immediately(&mut self, id: PollId, owner: PollOwner, now: Duration) {
        self.waiting_polls
            .add(id, WaitingPoll { owner, since: Sequence(0), answer_at: now, earliest_answer_at: now });
    }

    /// An answer without records.
    pub(super) fn bare_answer(&self, seq: Sequence) -> PollAnswer {
        PollAnswer {
            log: self.config.log.clone(),
            seq,
            more: false,
            attached: false,
            standing: self.standing,
            superseded: false,
            report: None,
            results: Vec::new(),
        }
    }

    /// An answer with the records above `since`.
    pub(super) fn answer(&self, since: Sequence, audience: Audience) -> PollAnswer {
        let limits =
            SliceLimits { records: self.config.max_batch_records, bytes: self.config.max_batch_bytes };
        let slice = self.log.events_after(since, limits, audience);
        PollAnswer { more: slice.more, results: slice.events, ..self.bare_answer(slice.seq) }
    }

    pub(super) fn answer_member(&mut self, name: &MemberName, since: Sequence, now: Duration) -> PollAnswer {
        let answer = self.answer(since, Audience::Dispatchers);
        // The rest of a long answer is requested immediately, and does not wait for the batch interval.
        self.sessions.set_answered_at(name, (!answer.more).then_some(now));
        let attached = self.sessions.get(name).is_some_and(|session| session.attached);
        PollAnswer { attached, ..answer }
    }

    pub(super) fn answer_peer(&mut self, name: &ReplicaName, since: Sequence, now: Duration) -> PollAnswer {
        let answer = self.answer(since, Audience::Replicas);
        let report = if answer.more { None } else { self.report_for(name, now) };
        if let Some(peer) = self.peers.get_mut(name) {
            peer.answered_at = (!answer.more).then_some(now);
            peer.last_sent_report = report.clone();
        }
        PollAnswer { report, ..answer }
    }
}
