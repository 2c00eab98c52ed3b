//! News from the change log or the replicas: polls, answers and purges, applied once each and in order. Also detects
//! pauses of the process, after which news may have been missed.

use super::hosts::OutdatedDecisions;
use super::in_flight::{InFlightForward, PendingGet};
use super::news_watch::NewsFault;
use super::proxy::Proxy;
use super::replicas::{Change, PurgeUncertainty};
use myrtlegauge::host_life::EndEvidence;
use myrtlegauge::interface::{End, HostIndex, PurgeKey};
use myrtlegauge::snapshot;
use myrtlegauge_wire::change_log_client::{CANNOT_CONNECT, CONNECTION_LOST, SequenceCheck};
use myrtlegauge_wire::poll_records::{pause_between, record_polls};
use myrtlegauge_wire::protocol::changelog_answer::AnswerPart;
use std::time::Duration;

/// Unit of the accepted ages that are sent to hosts.
const COPY_AGE_RESOLUTION: Duration = Duration::from_millis(1);

impl Proxy {
    /// Polls the change log, or the replicas if they are polled in its place.
    pub fn poll(&mut self) {
        if self.replicas.is_some() {
            self.poll_replicas();
        } else {
            self.poll_change_log();
        }
    }

    fn poll_replicas(&mut self) {
        let Self { replicas: Some(replicas), event_loop, resource_usage, now, .. } = self else { return };
        let errors: Vec<_> =
            std::iter::from_fn(|| replicas.next_result(*now)).filter_map(Result::err).collect();
        replicas.send_polls(event_loop, resource_usage, *now);
        for error in errors {
            self.counters.polls_failed += 1;
            self.report_fault(format_args!("poll of replica failed, retrying: {error}"));
        }
    }

    fn poll_change_log(&mut self) {
        let poll_wanted_at = self.purge_news.poll_wanted_at(self.change_log.polled_at());
        self.change_log.want_poll_at(poll_wanted_at);
        let has_failed = self.change_log.poll_if_due(&self.event_loop, &self.resource_usage, self.now);
        if has_failed {
            self.counters.polls_failed += 1;
            self.news_watch.on_fault(NewsFault::Silent);
        }
        record_polls(&mut self.change_log, &mut self.purge_news, &self.wait_times);
        self.news_watch.on_age(self.purge_news.age(self.now));
        self.reload_watch.follow(self.purge_news.known_until(), self.now);
    }

    /// If the change log is polled, updates up to when purges may be in force that were not received. When that time
    /// advances, forwards that were not sent do not accept older copies any more.
    pub fn update_unknown_purges(&mut self) {
        if self.replicas.is_some() {
            return;
        }
        let known =
            std::mem::replace(&mut self.purges_unknown_since, self.purge_news.in_force_until(self.now));
        if let Some(until) = self.purges_unknown_since.filter(|&until| Some(until) > known) {
            self.refuse_copies_before(until);
        }
    }

    /// Limits the accepted age of the forwards that wait for their connection, and cancels those that accept older
    /// copies and wait to be written.
    fn refuse_copies_before(&mut self, until: Duration) {
        let (now, resolution) = (self.now, COPY_AGE_RESOLUTION);
        let limited = |age: Duration| snapshot::max_accepted_age(age, Some(until), now, resolution);
        for (_, link) in self.links.iter_mut() {
            for &get_index in &link.in_flight_gets {
                let forward = self.in_flight.get_mut(get_index).forward.as_mut();
                if let Some(forward) =
                    forward.filter(|forward| forward.message.is_none() && !forward.decision.is_write())
                {
                    forward.decision.accepted_age = limited(forward.decision.accepted_age);
                }
            }
        }
        self.cancel_unsent_forwards(|_, forward| {
            let decision = &forward.decision;
            !decision.is_write() && limited(decision.accepted_age) != decision.accepted_age
        });
    }

    /// When the next poll is due, or the current one times out.
    pub fn poll_deadline(&self) -> Duration {
        self.replicas.as_ref().map_or(self.change_log.deadline, |replicas| replicas.deadline(self.now))
    }

    /// The next change from the replicas to apply.
    pub fn next_replicated(&mut self) -> Option<Change> {
        self.replicas.as_mut()?.next_change()
    }

    /// If replicas are polled, updates whether purges may have been missed. When that begins, forwards that were
    /// decided before and not sent are decided again.
    pub fn update_purge_uncertainty(&mut self) {
        let Some(replicas) = &mut self.replicas else { return };
        let uncertainty = replicas.update_uncertainty(self.now);
        self.list_known = self.list_known.max(replicas.list_known());
        self.purges_unknown_since =
            matches!(uncertainty, PurgeUncertainty::Began | PurgeUncertainty::Ongoing).then_some(self.now);
        match uncertainty {
            PurgeUncertainty::Began => {
                self.counters.pauses += 1;
                log::warn!(
                    "replication: no replica has answered in time; not accepting cached copies until one does"
                );
                self.cancel_unsent_forwards(|_, _| true);
            }
            PurgeUncertainty::Ended => {
                log::info!("replication: attached; accepting cached copies again");
                if self.startup.log_synced(self.now) {
                    self.log_startup_step("whole");
                }
            }
            PurgeUncertainty::Ongoing | PurgeUncertainty::None => {}
        }
    }

    /// After the shutdown, notifies the replica that this dispatcher leaves.
    pub fn leave_replicas(&mut self) {
        let is_done = self.is_done();
        let Self { replicas, event_loop, resource_usage, now, has_left_replicas, .. } = self;
        let Some(replicas) = replicas else { return };
        *has_left_replicas = is_done && replicas.leave(event_loop, resource_usage, *now);
    }

    /// The next part of an answer of the change log, if one was received and more may be applied in this iteration.
    pub fn next_answer_part(&mut self) -> Option<AnswerPart> {
        if !self.has_applicable_news() {
            return None;
        }
        match self.change_log.next_part(self.now) {
            Ok(part) => {
                self.has_change_log_data = part.is_some();
                if let Some(AnswerPart::Change(text)) = &part {
                    self.news_budget_bytes = self.news_budget_bytes.saturating_sub(text.len());
                }
                part
            }
            Err(error) => {
                self.has_change_log_data = false;
                self.counters.polls_failed += 1;
                self.news_watch.on_fault(match error {
                    CANNOT_CONNECT => NewsFault::Refused,
                    CONNECTION_LOST => NewsFault::Lost,
                    _ => NewsFault::Unusable,
                });
                self.report_fault(format_args!(
                    "invalid data from the change log, reconnecting to poll again: {}",
                    error.0
                ));
                self.change_log.disconnect(self.now);
                None
            }
        }
    }

    /// Whether there is data of the change log that may be applied in this iteration.
    pub fn has_applicable_news(&self) -> bool {
        self.has_change_log_data && self.news_budget_bytes > 0
    }

    /// Reports an unreadable change. The change log is polled again on a new connection.
    pub fn on_unreadable_change(&mut self, error: &serde_json::Error) {
        self.counters.polls_failed += 1;
        self.news_watch.on_fault(NewsFault::Unusable);
        self.report_fault(format_args!(
            "unreadable change of the change log, reconnecting to poll again: {error}"
        ));
        self.change_log.disconnect_all(self.now);
    }

    /// Handles the end of an answer, of which all changes are applied.
    pub fn on_poll_answered(&mut self) {
        let polled_at = self.change_log.polled_at();
        self.list_known = self.list_known.max(polled_at);
        let poll_age = self.now.saturating_sub(polled_at);
        self.news_watch.on_answered(poll_age, self.purge_news.age(self.now));
        self.purge_news.on_poll_answered(polled_at);
        if !self.purge_news.is_resync_pending() && self.startup.log_synced(self.now) {
            self.log_startup_step("whole");
        }
        let last_seq = self.change_log.last_seq;
        if std::mem::replace(&mut self.last_answered_seq, last_seq) == last_seq {
            self.change_log.on_empty_answer(self.now);
        }
    }

    /// Detects that the process did not run since `last_active`, because the machine was asleep or the process
    /// frozen. Purges and list updates may have been missed, so both count as unknown until the change log has
    /// answered a poll that is sent now.
    ///
    /// This prevents serving copies older than a purge that was published during the pause. The cost is fills for the
    /// requests that arrive until the answer.
    pub fn detect_pause(&mut self, last_active: Duration) {
        let now = self.now;
        if let Some(gap) = pause_between(last_active, now) {
            let gap_ms = gap.as_millis() as u64;
            log::warn!(gap_ms;
                "process was paused; not accepting older cached copies until the change log has answered");
            if self.replicas.is_none() {
                self.purge_news.on_resumed(now);
                self.change_log.poll_immediately(now);
            }
            self.mark_processes_unobserved(last_active);
            self.counters.pauses += 1;
            if let Some(zones) = &mut self.zones {
                zones.on_resumed(now);
                self.zones_due_at = now;
            }
        }
    }

    /// Process ends since `last_active` were not observed: a host without a connection may have a new process.
    fn mark_processes_unobserved(&mut self, last_active: Duration) {
        for index in 0..self.hosts.len() {
            if !self.hosts[index].name.is_empty() && !self.has_live_link(index) {
                self.record_process_end(index, last_active, EndEvidence::Unobserved);
            }
        }
    }

    /// Whether a connection to a host is established, which shows that its process has not changed.
    fn has_live_link(&self, host: HostIndex) -> bool {
        self.hosts[host].links.iter().any(|&key| self.links[key].is_up && !self.links[key].has_ended)
    }

    /// Handles a connection ended by the host, or a refused connection attempt. If no other connection is
    /// established, the host's process may have ended.
    pub fn on_link_lost(&mut self, host: HostIndex, evidence: EndEvidence) {
        let is_out_of_sync = match self.replicas {
            Some(_) => self.purges_unknown_since.is_some(),
            None => self.purge_news.is_resync_pending(),
        };
        let is_unobserved = evidence == EndEvidence::ConnectionsEnded && is_out_of_sync;
        let evidence = if is_unobserved { EndEvidence::Unobserved } else { evidence };
        if !self.has_live_link(host) {
            self.record_process_end(host, self.now, evidence);
        }
    }

    /// Records that a host's process ended at a time, by this evidence.
    fn record_process_end(&mut self, host: HostIndex, at: Duration, evidence: EndEvidence) {
        self.hosts[host].process_ended_at = Some(at);
        self.hosts[host].was_reached = true;
        self.ended_processes.push((host, at, evidence));
    }

    /// Whether a change is to be applied: it is new, and no changes before it are missing that are polled again.
    pub fn accept_change(&mut self, seq: u64) -> bool {
        let step = self.change_log.accept(seq, self.now);
        if let SequenceCheck::GapRetried(last_seq) | SequenceCheck::GapAccepted(last_seq) = step {
            let next_step = if matches!(step, SequenceCheck::GapRetried(_)) {
                "polling again for the missing changes"
            } else {
                "continuing without the missing changes"
            };
            self.report_fault(format_args!(
                "sequence gap in the change log, from {last_seq} to {seq}; {next_step}"
            ));
        }
        if matches!(step, SequenceCheck::GapAccepted(_)) && self.replicas.is_none() {
            self.on_events_missed();
        }
        let is_accepted = matches!(step, SequenceCheck::Next | SequenceCheck::GapAccepted(_));
        self.counters.changes += u64::from(is_accepted);
        is_accepted
    }

    /// Purges may be among events that the change log no longer has. At the start none are missing: those before the
    /// first event are older than the process.
    fn on_events_missed(&mut self) {
        let polled_at = self.change_log.polled_at();
        if !polled_at.is_zero() {
            self.purge_news.on_events_missed(polled_at, self.now);
        }
    }

    /// Skips changes up to a sequence number.
    pub fn skip_changes_up_to(&mut self, last_seq: u64) {
        self.change_log.last_seq = self.change_log.last_seq.max(last_seq);
    }

    /// Handles a received purge and returns what it names. A purge takes effect when it is received: its timestamp
    /// comes from another machine's clock, and a later time is safe.
    pub fn on_purge_received(&mut self, key: Option<PurgeKey>) -> Option<PurgeKey> {
        if key.is_none() {
            self.report_fault(format_args!("a purge names neither an object nor a group, ignoring it"));
        }
        self.counters.purges += 1;
        self.outdated_decisions.purges.extend(key);
        key
    }

    /// Cancels the forwards that contradict the drains and purges received since the last call, if they were not sent.
    pub fn cancel_outdated_forwards(&mut self) {
        let outdated = std::mem::take(&mut self.outdated_decisions);
        if outdated != OutdatedDecisions::default() {
            self.cancel_unsent_forwards(|pending, forward| {
                outdated.includes(&pending.get, &forward.decision)
            });
        }
    }

    /// Cancels affected forwards of which no byte was sent, because they wait for a connection or for a host that
    /// does not read. They were decided before the current update, have not run and are decided again. This protects
    /// drains and purges, whose grace may be shorter than it takes to connect or than a host hangs. The cost is one
    /// of the GET's allowed forwards.
    pub fn cancel_unsent_forwards(&mut self, is_affected: impl Fn(&PendingGet, &InFlightForward) -> bool) {
        if !self.guards.sending {
            return;
        }
        for (_, link) in self.links.iter_mut() {
            let (in_flight, ended, connection) =
                (&mut self.in_flight, &mut self.ended_forwards, &mut link.connection);
            link.in_flight_gets.retain(|&get_index| {
                let pending = in_flight.get_mut(get_index);
                let forward = pending.forward.filter(|forward| is_affected(pending, forward));
                let is_cancelled = |forward: &InFlightForward| {
                    forward.message.is_none_or(|message| connection.cancel_unsent(message))
                };
                let forward = forward.filter(is_cancelled);
                if let Some(forward) = forward {
                    pending.forward = Some(InFlightForward { link: None, ..forward });
                    ended.push_back((get_index, forward.serial, End::NeverSent));
                }
                forward.is_none()
            });
        }
    }
}
