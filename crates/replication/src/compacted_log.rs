//! A replica's compacted log: it has one record per name, at the sequence number of its latest change.
//!
//! A record that is new, or takes precedence over the known one of its name, gets the next sequence number. A record
//! that changes nothing gets none, so that replicas that read each other's logs stop exchanging records. A reader that
//! has received the whole log up to the last sequence number `n` has the record of greatest precedence of each name as
//! of that time.

use crate::record::{Event, Member, MemberName, MemberState, Record, RecordName, Sequence};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A record with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The sequence number of the record.
    pub seq: Sequence,
    /// The record.
    pub record: Record,
    /// When the record was added to this log.
    pub added_at: Duration,
    /// The length of the record's JSON.
    pub json_bytes: usize,
}

/// The result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The record got this sequence number, because it is new or takes precedence over the known one.
    Changed(Sequence),
    /// The record, or one of greater precedence, is already known, at this sequence number.
    Known(Sequence),
}

/// The largest part of the log that is returned at once. It has at least one record, however long that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceLimits {
    /// The maximum number of records.
    pub records: usize,
    /// The maximum length of the JSON of all records.
    pub bytes: usize,
}

/// A part of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSlice {
    /// The records, in order.
    pub events: Vec<Event>,
    /// The slice contains all records up to this sequence number.
    pub seq: Sequence,
    /// Whether the log has more records above `seq`.
    pub more: bool,
}

/// Which records a reader receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// All records except member records.
    Dispatchers,
    /// All records.
    Replicas,
}

/// A compacted log.
///
/// ```
/// use myrtlegauge_replication::compacted_log::{Audience, CompactedLog, MergeResult, SliceLimits};
/// use myrtlegauge_replication::{Purge, PurgeTarget, Record, Sequence};
/// use std::time::Duration;
/// let purge = |unix_ms| Record::Purge(Purge { target: PurgeTarget::Group(17), unix_ms });
/// let mut log = CompactedLog::default();
/// assert_eq!(log.merge(purge(1000), Duration::ZERO), MergeResult::Changed(Sequence(1)));
/// assert_eq!(log.merge(purge(900), Duration::ZERO), MergeResult::Known(Sequence(1)));
/// assert_eq!(log.merge(purge(1200), Duration::ZERO), MergeResult::Changed(Sequence(2)));
/// let limits = SliceLimits { records: 10, bytes: 1000 };
/// assert_eq!(log.events_after(Sequence(0), limits, Audience::Dispatchers).events.len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CompactedLog {
    last_seq: Sequence,
    last_data_seq: Sequence,
    entries: BTreeMap<RecordName, Entry>,
    data: BTreeMap<Sequence, RecordName>,
    members: BTreeMap<Sequence, RecordName>,
    purges_by_time: BTreeSet<(u64, RecordName)>,
    left_members_by_time: BTreeSet<(u64, RecordName)>,
}

impl CompactedLog {
    /// The last sequence number.
    pub fn last_seq(&self) -> Sequence {
        self.last_seq
    }

    /// The last sequence number of a record other than a member record.
    pub fn last_data_seq(&self) -> Sequence {
        self.last_data_seq
    }

    /// The number of records, without member records.
    pub fn data_count(&self) -> usize {
        self.data.len()
    }

    /// The number of member records.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// The record with a name.
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

    /// All member records, in order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let first = RecordName::Member(MemberName(String::new()));
        self.entries.range(first..).filter_map(|(_, entry)| match &entry.record {
            Record::Member(member) => Some(member),
            _ => None,
        })
    }

    /// Merges a record. Of two records with the same name, the one of greater precedence is kept.
    pub fn merge(&mut self, record: Record, now: Duration) -> MergeResult {
        let name = record.name();
        if let Some(known) = self.entries.get(&name)
            && record.cmp_precedence(&known.record).is_le()
        {
            return MergeResult::Known(known.seq);
        }
        self.remove(&name);
        self.last_seq.0 += 1;
        let seq = self.last_seq;
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
        let json_bytes = record.json_bytes();
        self.entries.insert(name, Entry { seq, record, added_at: now, json_bytes });
        MergeResult::Changed(seq)
    }

    /// Returns the records above `since`, up to the limits.
    pub fn events_after(&self, since: Sequence, limits: SliceLimits, audience: Audience) -> LogSlice {
        let above = Sequence(since.0.saturating_add(1));
        let mut data = self.data.range(above..).peekable();
        let mut members =
            self.members.range(above..).take_while(|_| audience == Audience::Replicas).peekable();
        let mut events: Vec<Event> = Vec::new();
        let mut bytes = 0;
        loop {
            let next = match (data.peek(), members.peek()) {
                (Some((data_seq, _)), Some((member_seq, _))) if member_seq < data_seq => members.next(),
                (Some(_), _) => data.next(),
                (None, _) => members.next(),
            };
            let Some((&seq, name)) = next else {
                return LogSlice { events, seq: self.last_seq, more: false };
            };
            let Some(entry) = self.entries.get(name) else {
                continue;
            };
            bytes += entry.json_bytes;
            if let Some(&Event { seq: last_returned, .. }) = events.last()
                && (events.len() >= limits.records || bytes > limits.bytes)
            {
                return LogSlice { events, seq: last_returned, more: true };
            }
            events.push(Event { seq, record: entry.record.clone() });
        }
    }

    /// Drops purges from before a Unix time. Returns how many were dropped.
    pub fn drop_purges_before(&mut self, unix_ms: u64) -> u64 {
        drop_before(self, unix_ms, |log| &log.purges_by_time)
    }

    /// Drops the records of members that left before a Unix time. Returns how many were dropped.
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
