//! A replica's log: each name stands once, at the place of its latest change.
//!
//! A record that is new, or greater than the one of its name, takes the next place; one that changes nothing takes
//! none, so replicas that read each other's logs come to an end. Who has been told everything up to the last place `n`
//! has been told the greatest record of each name as of then.

use crate::record::{Event, Member, MemberName, MemberState, Record, RecordName, Sequence};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A record at its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its place.
    pub seq: Sequence,
    /// The record.
    pub record: Record,
    /// When it was taken into this log.
    pub added_at: Duration,
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// It took a place: it is new, or greater than the one before.
    Changed(Sequence),
    /// It is known, or one that is greater: at this place.
    Known(Sequence),
}

/// A part of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSlice {
    /// In order.
    pub events: Vec<Event>,
    /// All up to here is told.
    pub seq: Sequence,
    /// There is more above.
    pub more: bool,
}

/// Which records a reader is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Dispatchers: all but members.
    Dispatchers,
    /// Replicas: all.
    Replicas,
}

/// The log.
///
/// ```
/// use myrtlegauge_replication::compacted_log::{Audience, CompactedLog, MergeResult};
/// use myrtlegauge_replication::{Purge, PurgeTarget, Record, Sequence};
/// use std::time::Duration;
/// let purge = |unix_ms| Record::Purge(Purge { target: PurgeTarget::Group(17), unix_ms });
/// let mut log = CompactedLog::default();
/// assert_eq!(log.join(purge(1000), Duration::ZERO), MergeResult::Changed(Sequence(1)));
/// assert_eq!(log.join(purge(900), Duration::ZERO), MergeResult::Known(Sequence(1)));
/// assert_eq!(log.join(purge(1200), Duration::ZERO), MergeResult::Changed(Sequence(2)));
/// assert_eq!(log.since(Sequence(0), 10, Audience::Dispatchers).events.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CompactedLog {
    last: Sequence,
    last_data_seq: Sequence,
    entries: BTreeMap<RecordName, Entry>,
    data: BTreeMap<Sequence, RecordName>,
    members: BTreeMap<Sequence, RecordName>,
    purges_by_time: BTreeSet<(u64, RecordName)>,
    left_members_by_time: BTreeSet<(u64, RecordName)>,
}

impl CompactedLog {
    /// The last place.
    pub fn last(&self) -> Sequence {
        self.last
    }

    /// The last place that a record other than a member's took.
    pub fn last_data_seq(&self) -> Sequence {
        self.last_data_seq
    }

    /// Records that are held, members aside.
    pub fn data_count(&self) -> usize {
        self.data.len()
    }

    /// Members that are held.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// The record of a name.
    pub fn get(&self, name: &RecordName) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// The record of a member.
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        match &self.get(&RecordName::Member(name.clone()))?.record {
            Record::Member(member) => Some(member),
            _ => None,
        }
    }

    /// All members, in order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let first = RecordName::Member(MemberName(String::new()));
        self.entries.range(first..).filter_map(|(_, entry)| match &entry.record {
            Record::Member(member) => Some(member),
            _ => None,
        })
    }

    /// Takes a record in: the greater one of its name stays.
    pub fn join(&mut self, record: Record, now: Duration) -> MergeResult {
        let name = record.name();
        if let Some(known) = self.entries.get(&name)
            && record.cmp_precedence(&known.record).is_le()
        {
            return MergeResult::Known(known.seq);
        }
        self.remove(&name);
        self.last.0 += 1;
        let seq = self.last;
        if name.is_member() {
            self.members.insert(seq, name.clone());
        } else {
            self.last_data_seq = seq;
            self.data.insert(seq, name.clone());
        }
        match &record {
            Record::Purge(purge) => _ = self.purges_by_time.insert((purge.unix_ms, name.clone())),
            Record::Member(Member { state: MemberState::Left(unix_ms), .. }) => {
                _ = self.left_members_by_time.insert((*unix_ms, name.clone()));
            }
            _ => {}
        }
        self.entries.insert(name, Entry { seq, record, added_at: now });
        MergeResult::Changed(seq)
    }

    /// Records above a place, `max_records` of them at most.
    pub fn since(&self, since: Sequence, max_records: usize, audience: Audience) -> LogSlice {
        let above = Sequence(since.0.saturating_add(1));
        let mut data = self.data.range(above..).peekable();
        let mut members =
            self.members.range(above..).take_while(|_| audience == Audience::Replicas).peekable();
        let mut events = Vec::new();
        loop {
            let next = match (data.peek(), members.peek()) {
                (Some((data_seq, _)), Some((member_seq, _))) if member_seq < data_seq => members.next(),
                (Some(_), _) => data.next(),
                (None, _) => members.next(),
            };
            let Some((&seq, name)) = next else {
                return LogSlice { events, seq: self.last, more: false };
            };
            if events.len() >= max_records {
                let last_returned = events.last().map_or(since, |event: &Event| event.seq);
                return LogSlice { events, seq: last_returned, more: true };
            }
            if let Some(entry) = self.entries.get(name) {
                events.push(Event { seq, record: entry.record.clone() });
            }
        }
    }

    /// Drops purges of before a Unix time, in milliseconds; how many.
    pub fn drop_purges_before(&mut self, unix_ms: u64) -> u64 {
        drop_before(self, unix_ms, |log| &log.purges_by_time)
    }

    /// Forgets members that left before a Unix time, in milliseconds; how many.
    pub fn drop_members_left_before(&mut self, unix_ms: u64) -> u64 {
        drop_before(self, unix_ms, |log| &log.left_members_by_time)
    }

    fn remove(&mut self, name: &RecordName) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        self.data.remove(&entry.seq);
        self.members.remove(&entry.seq);
        match entry.record {
            Record::Purge(purge) => _ = self.purges_by_time.remove(&(purge.unix_ms, name.clone())),
            Record::Member(Member { state: MemberState::Left(unix_ms), .. }) => {
                _ = self.left_members_by_time.remove(&(unix_ms, name.clone()));
            }
            _ => {}
        }
    }
}

fn drop_before(
    log: &mut CompactedLog,
    unix_ms: u64,
    by_time: impl Fn(&CompactedLog) -> &BTreeSet<(u64, RecordName)>,
) -> u64 {
    let mut dropped = 0;
    while let Some((at, name)) = by_time(log).first().cloned()
        && at < unix_ms
    {
        log.remove(&name);
        dropped += 1;
    }
    dropped
}
