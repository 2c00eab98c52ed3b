//! Members: the dispatchers attached to this replica, with what they have acknowledged, and the replicas that the other
//! members are attached to.
//!
//! Each query that a poll needs reads the end of an ordered set, so that the work does not grow with the number of
//! members.

use crate::record::{MemberName, ReplicaName, Sequence};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Stands for a sequence number in a peer's log that is not known yet. It is above all known ones.
const UNKNOWN_SEQ: Sequence = Sequence(u64::MAX);

/// One dispatcher attached to this replica.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    /// The sequence number of the member record in this replica's log.
    pub record_seq: Sequence,
    /// The dispatcher has applied this replica's log up to this sequence number.
    pub acknowledged: Sequence,
    pub last_poll_at: Duration,
    /// What the dispatcher has to acknowledge to be attached, or `None` until a majority has the member record.
    pub required_seq: Option<Sequence>,
    /// Whether the attachment is complete.
    pub attached: bool,
    /// When the last answer was sent, if the next one has to wait for the batch interval.
    pub answered_at: Option<Duration>,
}

impl Session {
    pub fn new(record_seq: Sequence, now: Duration) -> Self {
        Self {
            record_seq,
            acknowledged: Sequence(0),
            last_poll_at: now,
            required_seq: None,
            attached: false,
            answered_at: None,
        }
    }
}

/// The dispatchers attached to this replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    sessions: BTreeMap<MemberName, Session>,
    by_acknowledged: BTreeSet<(Sequence, MemberName)>,
    by_last_poll: BTreeSet<(Duration, MemberName)>,
    /// Those whose member record is not known to be read by a majority, by its sequence number.
    awaiting_quorum: BTreeSet<(Sequence, MemberName)>,
}

impl Sessions {
    pub fn get(&self, name: &MemberName) -> Option<&Session> {
        self.sessions.get(name)
    }

    pub fn open(&mut self, name: &MemberName, session: Session) {
        self.close(name);
        self.by_acknowledged.insert((session.acknowledged, name.clone()));
        self.by_last_poll.insert((session.last_poll_at, name.clone()));
        self.awaiting_quorum.insert((session.record_seq, name.clone()));
        self.sessions.insert(name.clone(), session);
    }

    pub fn close(&mut self, name: &MemberName) {
        let Some(session) = self.sessions.remove(name) else {
            return;
        };
        self.by_acknowledged.remove(&(session.acknowledged, name.clone()));
        self.by_last_poll.remove(&(session.last_poll_at, name.clone()));
        self.awaiting_quorum.remove(&(session.record_seq, name.clone()));
    }

    pub fn record_poll(&mut self, name: &MemberName, now: Duration) {
        if let Some(session) = self.sessions.get_mut(name) {
            self.by_last_poll.remove(&(session.last_poll_at, name.clone()));
            session.last_poll_at = now;
            self.by_last_poll.insert((now, name.clone()));
        }
    }

    pub fn set_answered_at(&mut self, name: &MemberName, at: Option<Duration>) {
        if let Some(session) = self.sessions.get_mut(name) {
            session.answered_at = at;
        }
    }

    /// Records an acknowledgement. An older one changes nothing, because applied records stay applied.
    pub fn acknowledge(&mut self, name: &MemberName, seq: Sequence) {
        let Some(session) = self.sessions.get_mut(name).filter(|session| session.acknowledged < seq) else {
            return;
        };
        self.by_acknowledged.remove(&(session.acknowledged, name.clone()));
        session.acknowledged = seq;
        self.by_acknowledged.insert((seq, name.clone()));
    }

    /// Completes the attachment if a majority has the member record and the member has acknowledged the required
    /// sequence number. Returns whether the attachment has just become complete.
    pub fn try_complete_attach(&mut self, name: &MemberName) -> bool {
        let Some(session) = self.sessions.get_mut(name).filter(|session| !session.attached) else {
            return false;
        };
        session.attached =
            session.required_seq.is_some_and(|required_seq| session.acknowledged >= required_seq);
        session.attached
    }

    /// Requires the members whose records are at `read` or below, which a majority has read, to acknowledge
    /// `required_seq`. Returns their names.
    pub fn set_required_seq(&mut self, read: Sequence, required_seq: Sequence) -> Vec<MemberName> {
        let mut confirmed_names = Vec::new();
        while let Some((seq, _)) = self.awaiting_quorum.first()
            && *seq <= read
            && let Some((_, name)) = self.awaiting_quorum.pop_first()
        {
            if let Some(session) = self.sessions.get_mut(&name) {
                session.required_seq = Some(required_seq);
            }
            confirmed_names.push(name);
        }
        confirmed_names
    }

    /// The sequence number that all have acknowledged, or `None` if no dispatcher is attached.
    pub fn min_acknowledged(&self) -> Option<Sequence> {
        self.by_acknowledged.first().map(|(seq, _)| *seq)
    }

    /// The members that have not acknowledged a sequence number.
    pub fn lagging_behind(&self, seq: Sequence) -> impl Iterator<Item = &MemberName> {
        self.by_acknowledged
            .iter()
            .take_while(move |(acknowledged, _)| *acknowledged < seq)
            .map(|(_, name)| name)
    }

    /// The member whose last poll is the oldest, with the time of that poll.
    pub fn longest_idle(&self) -> Option<(Duration, &MemberName)> {
        self.by_last_poll.first().map(|(last_poll_at, name)| (*last_poll_at, name))
    }
}

/// The members attached to other replicas, with the sequence numbers of their records in the logs of those replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteMembers {
    locations: BTreeMap<MemberName, (ReplicaName, Sequence)>,
    by_replica: BTreeMap<ReplicaName, BTreeSet<(Sequence, MemberName)>>,
}

impl RemoteMembers {
    /// Adds a member attached to another replica. The sequence number of its record there is not known yet.
    pub fn add(&mut self, name: &MemberName, replica: &ReplicaName) {
        self.remove(name);
        self.insert(name, replica, UNKNOWN_SEQ);
    }

    /// Sets the sequence number of a member record, read in the log of the replica that the member is attached to.
    pub fn set_seq(&mut self, name: &MemberName, replica: &ReplicaName, seq: Sequence) {
        if self.locations.get(name).is_some_and(|(at, known_seq)| at == replica && *known_seq == UNKNOWN_SEQ)
        {
            self.remove(name);
            self.insert(name, replica, seq);
        }
    }

    /// Removes a member, which is no longer attached to another replica.
    pub fn remove(&mut self, name: &MemberName) {
        let Some((replica, seq)) = self.locations.remove(name) else {
            return;
        };
        let Some(members_there) = self.by_replica.get_mut(&replica) else {
            return;
        };
        members_there.remove(&(seq, name.clone()));
        if members_there.is_empty() {
            self.by_replica.remove(&replica);
        }
    }

    /// Forgets the sequence numbers in a replica's log, because that replica has a new log.
    pub fn forget_seqs(&mut self, replica: &ReplicaName) {
        let members_there = self.by_replica.get(replica);
        let names: Vec<MemberName> =
            members_there.into_iter().flatten().map(|(_, name)| name.clone()).collect();
        names.iter().for_each(|name| self.add(name, replica));
    }

    /// The replicas that members are attached to, each with the highest sequence number of a member record there.
    pub fn highest_seqs(&self) -> impl Iterator<Item = (&ReplicaName, Sequence)> {
        self.by_replica.iter().filter_map(|(replica, members_there)| Some((replica, members_there.last()?.0)))
    }

    /// The members attached to a replica whose records there are above a sequence number.
    pub fn members_above(&self, replica: &ReplicaName, seq: Sequence) -> impl Iterator<Item = &MemberName> {
        let members_there =
            self.by_replica.get(replica).into_iter().flat_map(|members_there| members_there.iter().rev());
        members_there.take_while(move |(known_seq, _)| *known_seq > seq).map(|(_, name)| name)
    }

    /// The members attached to a replica.
    pub fn members_at(&self, replica: &ReplicaName) -> impl Iterator<Item = &MemberName> {
        self.by_replica.get(replica).into_iter().flatten().map(|(_, name)| name)
    }

    fn insert(&mut self, name: &MemberName, replica: &ReplicaName, seq: Sequence) {
        self.locations.insert(name.clone(), (replica.clone(), seq));
        self.by_replica.entry(replica.clone()).or_default().insert((seq, name.clone()));
    }
}
