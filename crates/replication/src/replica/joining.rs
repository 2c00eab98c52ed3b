//! Checks and merging of published records and of records read from peers, member records included, and leases.

use super::Replica;
use crate::checks::millis;
use crate::compacted_log::MergeResult;
use crate::errors::{PublishError, RecordError};
use crate::members::Session;
use crate::poll::MAX_NAME_BYTES;
use crate::record::{Event, Member, MemberState, Record, RecordName, ReplicaName, Sequence};
use std::time::Duration;

impl Replica {
    /// Checks whether a published record is valid and not older than the known one.
    pub(super) fn check_publication(&self, record: &Record, now: Duration) -> Result<(), PublishError> {
        let name = record.name();
        check_record_name(&name)?;
        if let Record::Purge(purge) = record {
            self.check_purge_time(purge.unix_ms, now)?;
        }
        let Some(known) = self.log.get(&name) else {
            let max = self.config.max_records;
            return if self.log.data_count() < max { Ok(()) } else { Err(PublishError::Full { max }) };
        };
        let (Some(version), Some(known_version)) = (record.version(), known.record.version()) else {
            return Ok(());
        };
        let (kind, name) = (record.kind(), name_text(&name));
        if record.conflicts_with(&known.record) {
            return Err(RecordError::Conflict { kind, name, version }.into());
        }
        if version < known_version {
            return Err(PublishError::Older { kind, name, version, known: known_version });
        }
        Ok(())
    }

    pub(super) fn check_purge_time(&self, unix_ms: u64, now: Duration) -> Result<(), PublishError> {
        let now_unix_ms = self.unix_ms(now);
        let oldest = now_unix_ms.saturating_sub(millis(self.config.purge_retention));
        if unix_ms < oldest {
            return Err(PublishError::PurgeTooOld { unix_ms, oldest });
        }
        let ahead_ms = unix_ms.saturating_sub(now_unix_ms);
        if ahead_ms > millis(self.config.max_clock_ahead) {
            return Err(PublishError::PurgeAhead { unix_ms, ahead_ms });
        }
        Ok(())
    }

    /// Merges a record into the log, and schedules answers to the waiting polls if it changes something.
    pub(super) fn merge(&mut self, record: Record, now: Duration) -> Sequence {
        let member = match &record {
            Record::Member(member) => Some(member.clone()),
            _ => None,
        };
        let seq = match self.log.merge(record, now) {
            MergeResult::Known(seq) => {
                self.counters.known_already += 1;
                return seq;
            }
            MergeResult::Changed(seq) => seq,
        };
        self.counters.joined += 1;
        if let Some(member) = &member {
            self.on_member_changed(member, seq, now);
        }
        self.waiting_polls.on_record_added(member.is_some());
        seq
    }

    /// Updates the sessions and the remote members after a member record has changed.
    pub(super) fn on_member_changed(&mut self, member: &Member, seq: Sequence, now: Duration) {
        let name = &member.name;
        self.sessions.close(name);
        self.remote_members.remove(name);
        match member.replica() {
            Some(replica) if *replica == self.config.name => {
                self.sessions.open(name, Session::new(seq, now));
            }
            Some(replica) => self.remote_members.add(name, replica),
            None => {}
        }
        self.notify_peers_of_report_changes(now);
    }

    /// Merges a record of a peer's log, unless it has expired.
    pub(super) fn merge_peer_event(&mut self, peer: &ReplicaName, event: &Event, now: Duration) {
        if self.is_expired(&event.record, now) {
            return;
        }
        let known = self.log.get(&event.record.name());
        let conflicts = known.is_some_and(|known| event.record.conflicts_with(&known.record));
        self.counters.conflicts += u64::from(conflicts);
        self.merge(event.record.clone(), now);
        if let Record::Member(member) = &event.record
            && member.replica() == Some(peer)
            && self.log.member(&member.name) == Some(member)
        {
            self.remote_members.set_seq(&member.name, peer, event.seq);
        }
    }

    /// Whether a record is older than the retention of its kind.
    pub(super) fn is_expired(&self, record: &Record, now: Duration) -> bool {
        let time_and_retention = match record {
            Record::Purge(purge) => Some((purge.unix_ms, self.config.purge_retention)),
            Record::Member(Member { state: MemberState::Left(at), .. }) => {
                Some((*at, self.config.left_member_retention))
            }
            _ => None,
        };
        time_and_retention
            .is_some_and(|(at, retention)| at < self.unix_ms(now).saturating_sub(millis(retention)))
    }

    /// Records members whose leases have expired as having left.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        while let Some((last_poll_at, name)) = self.sessions.longest_idle()
            && now >= last_poll_at + self.config.member_lease
        {
            let name = name.clone();
            let Some(member) = self.log.member(&name).cloned() else {
                self.sessions.close(&name);
                continue;
            };
            self.counters.expired += 1;
            let state = MemberState::Left(self.unix_ms(now));
            self.merge(Record::Member(Member { state, ..member }), now);
        }
    }
}

fn check_record_name(name: &RecordName) -> Result<(), PublishError> {
    let text = match name {
        RecordName::Member(member) => return Err(PublishError::Member(member.clone())),
        RecordName::Group(_) => return Ok(()),
        RecordName::Object(text) | RecordName::Host(text) | RecordName::Configuration(text) => text,
    };
    let length = text.len();
    let is_valid = (1..=MAX_NAME_BYTES).contains(&length);
    if is_valid { Ok(()) } else { Err(PublishError::Name { length, max: MAX_NAME_BYTES }) }
}

fn name_text(name: &RecordName) -> String {
    match name {
        RecordName::Group(group) => group.to_string(),
        RecordName::Member(member) => member.0.clone(),
        RecordName::Object(text) | RecordName::Host(text) | RecordName::Configuration(text) => text.clone(),
    }
}
