//! Polls that wait for new records, for the end of their batch interval, or for their timeout.

use crate::record::{MemberName, ReplicaName, Sequence};
use crate::replica::PollId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The poller that a waiting poll belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PollOwner {
    Reader(PollId),
    Probe(PollId),
    Member(MemberName),
    Peer(ReplicaName),
    /// A dispatcher whose attachment is superseded or has ended.
    Superseded(PollId),
}

/// One waiting poll.
#[derive(Clone, Debug)]
pub(crate) struct WaitingPoll {
    pub owner: PollOwner,
    pub since: Sequence,
    /// When the poll is answered, with or without new records.
    pub answer_at: Duration,
    /// The earliest time of an answer with new records.
    pub earliest_answer_at: Duration,
}

/// The waiting polls. Each is rescheduled at most once before its answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingPolls {
    polls: BTreeMap<PollId, WaitingPoll>,
    by_owner: BTreeMap<PollOwner, PollId>,
    schedule: BTreeSet<(Duration, PollId)>,
    /// Polls without new records, to be answered at the next record that is not a member record.
    idle: BTreeSet<PollId>,
    /// Polls of peers without new records, to be answered at the next record of any kind.
    idle_peers: BTreeSet<PollId>,
}

impl WaitingPolls {
    /// Adds a poll that has no new records yet. A previous poll of the same poller is dropped.
    pub fn add(&mut self, id: PollId, poll: WaitingPoll) {
        self.remove(id);
        if let Some(previous) = self.by_owner.insert(poll.owner.clone(), id) {
            self.drop_poll(previous);
        }
        match poll.owner {
            PollOwner::Peer(_) => self.idle_peers.insert(id),
            PollOwner::Reader(_) | PollOwner::Probe(_) | PollOwner::Member(_) | PollOwner::Superseded(_) => {
                self.idle.insert(id)
            }
        };
        self.schedule.insert((poll.answer_at, id));
        self.polls.insert(id, poll);
    }

    /// Schedules the answer to a poll that has new records for the end of its batch interval.
    pub fn schedule_answer(&mut self, id: PollId) {
        let was_idle = self.idle.remove(&id) | self.idle_peers.remove(&id);
        let Some(poll) = self.polls.get_mut(&id).filter(|_| was_idle) else {
            return;
        };
        self.schedule.remove(&(poll.answer_at, id));
        poll.answer_at = poll.answer_at.min(poll.earliest_answer_at);
        self.schedule.insert((poll.answer_at, id));
    }

    /// Schedules the answer to the waiting poll of a poller, if there is one.
    pub fn schedule_answer_to(&mut self, owner: &PollOwner) {
        if let Some(&id) = self.by_owner.get(owner) {
            self.schedule_answer(id);
        }
    }

    /// Schedules answers after a record was added to the log. A member record schedules those of peers only.
    pub fn on_record_added(&mut self, is_member_record: bool) {
        let peers = std::mem::take(&mut self.idle_peers);
        let others = if is_member_record { BTreeSet::new() } else { std::mem::take(&mut self.idle) };
        for id in peers.into_iter().chain(others) {
            self.idle.insert(id);
            self.schedule_answer(id);
        }
    }

    /// Removes and returns the next poll whose answer is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<(PollId, WaitingPoll)> {
        let (at, id) = *self.schedule.first()?;
        let poll = (at <= now).then(|| self.remove(id))??;
        Some((id, poll))
    }

    /// When the next answer is due.
    pub fn next_answer_at(&self) -> Option<Duration> {
        self.schedule.first().map(|(at, _)| *at)
    }

    /// Removes a poll.
    pub fn remove(&mut self, id: PollId) -> Option<WaitingPoll> {
        let poll = self.drop_poll(id)?;
        self.by_owner.remove(&poll.owner);
        Some(poll)
    }

    fn drop_poll(&mut self, id: PollId) -> Option<WaitingPoll> {
        let poll = self.polls.remove(&id)?;
        self.schedule.remove(&(poll.answer_at, id));
        self.idle.remove(&id);
        self.idle_peers.remove(&id);
        Some(poll)
    }
}
