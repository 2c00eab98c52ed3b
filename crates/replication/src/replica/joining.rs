//! Records that are published or read, members among them, and leases.

use super::Replica;
use crate::checks::millis;
use crate::compacted_log::MergeResult;
use crate::errors::{PublishError, RecordError};
use crate::members::Session;
use crate::poll::MAX_NAME_BYTES;
use crate::record::{Event, Member, MemberState, Record, RecordName, ReplicaName, Sequence};
use std::time::Duration;

impl Replica {
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

    /// Takes a record in; what it changes is told to those who wait.
    pub(super) fn join(&mut self, record: Record, now: Duration) -> Sequence {
        let member = match &record {
            Record::Member(member) => Some(member.clone()),
            _ => None,
        };
        let seq = match self.log.join(record, now) {
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

    pub(super) fn on_member_changed(&mut self, member: &Member, seq: Sequence, now: Duration) {
        let name = &member.name;
        self.sessions.close(name);
        self.remote_members.remove(name);
        match member.replica() {
            Some(replica) if *replica == self.config.name => {
                self.sessions.open(name, Session::new(seq, now));
            }
            Some(replica) => self.remote_members.attached(name, replica),
            None => {}
        }
        self.notify_peers_of_report_changes(now);
    }

    /// Takes a record of a peer's log.
    pub(super) fn merge_peer_event(&mut self, peer: &ReplicaName, event: &Event, now: Duration) {
        if self.is_expired(&event.record, now) {
            return;
        }
        let known = self.log.get(&event.record.name());
        let conflicts = known.is_some_and(|known| event.record.conflicts_with(&known.record));
        self.counters.conflicts += u64::from(conflicts);
        self.join(event.record.clone(), now);
        if let Record::Member(member) = &event.record
            && member.replica() == Some(peer)
            && self.log.member(&member.name) == Some(member)
        {
            self.remote_members.set_seq(&member.name, peer, event.seq);
        }
    }

    pub(super) fn is_expired(&self, record: &Record, now: Duration) -> bool {
        let span = match record {
            Record::Purge(purge) => Some((purge.unix_ms, self.config.purge_retention)),
            Record::Member(Member { state: MemberState::Left(at), .. }) => {
                Some((*at, self.config.left_member_retention))
            }
            _ => None,
        };
        span.is_some_and(|(at, span)| at < self.unix_ms(now).saturating_sub(millis(span)))
    }

    /// Members whose leases are over have left.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        while let Some((last_poll_at, name)) = self.sessions.longest_silent()
            && now >= last_poll_at + self.config.member_lease
        {
            let name = name.clone();
            let Some(member) = self.log.member(&name).cloned() else {
                self.sessions.close(&name);
                continue;
            };
            self.counters.expired += 1;
            let state = MemberState::Left(self.unix_ms(now));
            self.join(Record::Member(Member { state, ..member }), now);
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
    let fits = (1..=MAX_NAME_BYTES).contains(&length);
    if fits { Ok(()) } else { Err(PublishError::Name { length, max: MAX_NAME_BYTES }) }
}

fn name_text(name: &RecordName) -> String {
    match name {
        RecordName::Group(group) => group.to_string(),
        RecordName::Member(member) => member.0.clone(),
        RecordName::Object(text) | RecordName::Host(text) | RecordName::Configuration(text) => text.clone(),
    }
}
