//! Members: those attached here, with what they have acknowledged, and where the others are attached.
//!
//! Each question a poll asks is answered by the end of an ordered set; none looks at all members.

use crate::record::{MemberName, ReplicaName, Sequence};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A place in a peer's log that is not known yet: above all that are.
const UNKNOWN_SEQ: Sequence = Sequence(u64::MAX);

/// One dispatcher attached here.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    /// The place of its record in this replica's log.
    pub record_seq: Sequence,
    /// All that this log held at this place is applied there.
    pub acknowledged: Sequence,
    pub last_poll_at: Duration,
    /// A majority knows its record; what it has to acknowledge to be attached.
    pub required_seq: Option<Sequence>,
    /// Its attach is complete.
    pub attached: bool,
    /// The last answer left then.
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

/// The dispatchers attached here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sessions {
    sessions: BTreeMap<MemberName, Session>,
    by_acknowledged: BTreeSet<(Sequence, MemberName)>,
    by_last_poll: BTreeSet<(Duration, MemberName)>,
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

    /// Takes an acknowledgement; one that is older changes nothing, since nothing that was applied is taken back.
    pub fn acknowledge(&mut self, name: &MemberName, seq: Sequence) {
        let Some(session) = self.sessions.get_mut(name).filter(|session| session.acknowledged < seq) else {
            return;
        };
        self.by_acknowledged.remove(&(session.acknowledged, name.clone()));
        session.acknowledged = seq;
        self.by_acknowledged.insert((seq, name.clone()));
    }

    /// Makes the attach complete if a majority knows the member and it has acknowledged what that takes.
    pub fn try_complete_attach(&mut self, name: &MemberName) -> bool {
        let Some(session) = self.sessions.get_mut(name).filter(|session| !session.attached) else {
            return false;
        };
        session.attached =
            session.required_seq.is_some_and(|required_seq| session.acknowledged >= required_seq);
        session.attached
    }

    /// A majority has read this log up to `read`: members whose records stand there have to acknowledge `required_seq`.
    /// Their names.
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

    /// What all have acknowledged; none: nobody is attached.
    pub fn min_acknowledged(&self) -> Option<Sequence> {
        self.by_acknowledged.first().map(|(seq, _)| *seq)
    }

    /// Those who have not acknowledged a place.
    pub fn lagging_behind(&self, seq: Sequence) -> impl Iterator<Item = &MemberName> {
        self.by_acknowledged
            .iter()
            .take_while(move |(acknowledged, _)| *acknowledged < seq)
            .map(|(_, name)| name)
    }

    /// When the one that was silent for longest was heard.
    pub fn longest_silent(&self) -> Option<(Duration, &MemberName)> {
        self.by_last_poll.first().map(|(last_poll_at, name)| (*last_poll_at, name))
    }
}

/// Where the others are attached, and the places of their records in the logs of those replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteMembers {
    locations: BTreeMap<MemberName, (ReplicaName, Sequence)>,
    by_replica: BTreeMap<ReplicaName, BTreeSet<(Sequence, MemberName)>>,
}

impl RemoteMembers {
    /// A member is attached at another replica; the place of its record there is not known yet.
    pub fn attached(&mut self, name: &MemberName, replica: &ReplicaName) {
        self.remove(name);
        self.insert(name, replica, UNKNOWN_SEQ);
    }

    /// The record of a member was read in the log of the replica where it is attached.
    pub fn set_seq(&mut self, name: &MemberName, replica: &ReplicaName, seq: Sequence) {
        if self.locations.get(name).is_some_and(|(at, known_seq)| at == replica && *known_seq == UNKNOWN_SEQ)
        {
            self.remove(name);
            self.insert(name, replica, seq);
        }
    }

    /// A member is attached at no other replica.
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

    /// A replica has another log: no place in it is known.
    pub fn forget_seqs(&mut self, replica: &ReplicaName) {
        let members_there = self.by_replica.get(replica);
        let names: Vec<MemberName> =
            members_there.into_iter().flatten().map(|(_, name)| name.clone()).collect();
        names.iter().for_each(|name| self.attached(name, replica));
    }

    /// The replicas where members are attached, with the highest place of a record there.
    pub fn highest_seqs(&self) -> impl Iterator<Item = (&ReplicaName, Sequence)> {
        self.by_replica.iter().filter_map(|(replica, members_there)| Some((replica, members_there.last()?.0)))
    }

    /// Those attached at a replica whose records stand above a place.
    pub fn members_above(&self, replica: &ReplicaName, seq: Sequence) -> impl Iterator<Item = &MemberName> {
        let members_there =
            self.by_replica.get(replica).into_iter().flat_map(|members_there| members_there.iter().rev());
        members_there.take_while(move |(known_seq, _)| *known_seq > seq).map(|(_, name)| name)
    }

    /// Those attached at a replica.
    pub fn at(&self, replica: &ReplicaName) -> impl Iterator<Item = &MemberName> {
        self.by_replica.get(replica).into_iter().flatten().map(|(_, name)| name)
    }

    fn insert(&mut self, name: &MemberName, replica: &ReplicaName, seq: Sequence) {
        self.locations.insert(name.clone(), (replica.clone(), seq));
        self.by_replica.entry(replica.clone()).or_default().insert((seq, name.clone()));
    }
}
