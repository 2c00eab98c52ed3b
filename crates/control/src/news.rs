//! Follows the change log: applies its events to the fleet, and publishes which copies proxies must refuse while purges may
//! be in force that were not received.

use crate::ads_server::AdsServer;
use crate::copy_refusals::{ClockReading, CopyRefusals, RefusalPlanner, answer_within};
use crate::lease::Lease;
use crate::refusal_watch::RefusalWatch;
use crate::service::{ChangeLog, Service};
use myrtlegauge::purge_news::PurgeNews;
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_operator::file::ControlSettings;
use myrtlegauge_wire::change_log_client::{ChangeLogClient, SequenceCheck};
use myrtlegauge_wire::poll_records::{WaitTimes, pause_between, record_polls};
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::changelog::{Change, Changes};
use std::net::SocketAddr;
use std::time::Duration;

/// Size of the read buffer for change log polls.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The event of the change log that was accepted last.
#[derive(Clone, Copy, Debug, Default)]
struct LastEvent {
    seq: u64,
    content_hash: u64,
}

impl LastEvent {
    fn of(change: &Change<'_>) -> Self {
        let content_hash = twox_hash::XxHash64::oneshot(0, format!("{change:?}").as_bytes());
        Self { seq: change.seq, content_hash }
    }

    /// Whether a change has the number of this event and other content, so that the change log has begun anew.
    fn is_contradicted_by(&self, change: &Change<'_>) -> bool {
        change.seq == self.seq && Self::of(change).content_hash != self.content_hash
    }
}

/// What a control service has of its change log.
pub struct News {
    client: ChangeLogClient<Service>,
    pub is_socket_ready: bool,
    last_event: LastEvent,
    /// The whole host list was received.
    is_list_known: bool,
    purge_news: PurgeNews,
    pub wait_times: WaitTimes,
    planner: RefusalPlanner,
    watch: RefusalWatch,
}

impl News {
    /// Creates the state of a control service that has received nothing.
    pub fn new(
        address: SocketAddr,
        lease: Lease,
        file: &OperatorFile,
        control: &ControlSettings,
        max_copy_lifetime: Duration,
        now: Duration,
    ) -> Self {
        let answer_within = answer_within(control.purge_grace, lease, control.clock_error);
        Self {
            client: ChangeLogClient::new(address, ChangeLog).with_overlap().with_answer_within(answer_within),
            is_socket_ready: false,
            last_event: LastEvent::default(),
            is_list_known: false,
            purge_news: PurgeNews::with_grace(control.purge_grace, &file.decision_settings, now),
            wait_times: WaitTimes::new(now),
            planner: RefusalPlanner::new(lease, control.clock_error, max_copy_lifetime),
            watch: RefusalWatch::default(),
        }
    }

    /// The answer that came now is not used.
    fn reject_answer(&mut self, now: Duration) {
        self.purge_news.on_answer_rejected(self.client.polled_at(), now);
    }

    /// Purges that the answer that came now should have told are missing for good.
    fn miss_purges(&mut self, now: Duration) {
        self.purge_news.on_events_missed(self.client.polled_at(), now);
    }

    /// When the change log is to be polled next.
    pub fn deadline(&self) -> Duration {
        self.client.deadline
    }

    /// Time since which all purges were received.
    pub fn age(&self, now: Duration) -> Duration {
        self.purge_news.age(now)
    }

    /// After a pause of the process, purges may be in force that were not received.
    fn detect_pause(&mut self, last_active: Duration, now: Duration) {
        if let Some(gap) = pause_between(last_active, now) {
            let gap_ms = gap.as_millis() as u64;
            log::warn!(gap_ms; "process was paused; proxies refuse older copies until the change log has answered");
            self.purge_news.on_resumed(now);
            self.client.poll_immediately(now);
        }
    }

    /// Publishes other refusals if they are needed now. Returns whether it did.
    fn publish_refusals(&mut self, server: &mut AdsServer, clock: ClockReading) -> bool {
        // Drops what later polls have made redundant.
        self.purge_news.in_force_until(clock.now);
        let update = self.planner.update(&self.purge_news, clock.now);
        if let Some(forecast) = &update {
            server.put_copy_refusals(&self.planner.to_published(forecast, clock));
            self.watch.on_published(forecast, clock.now, self.age(clock.now));
        }
        self.watch.on_time(clock.now);
        update.is_some()
    }
}

impl Service {
    /// Polls the change log, handles its answers, and publishes what follows for copies.
    pub(crate) fn follow_change_log(&mut self, last_active: Duration, unix_ms: u64) {
        let Some(mut news) = self.news.take() else { return };
        news.detect_pause(last_active, self.now);
        self.poll_change_log(&mut news);
        let mut has_more = std::mem::take(&mut news.is_socket_ready);
        while has_more {
            has_more = news.client.on_ready(&mut self.read_buffer, self.now);
            self.read_answers(&mut news);
        }
        self.poll_change_log(&mut news);
        let clock = ClockReading { now: self.now, unix_ms };
        let is_published = news.publish_refusals(&mut self.server, clock);
        self.counters.copy_refusals += u64::from(is_published);
        self.news = Some(news);
    }

    fn poll_change_log(&mut self, news: &mut News) {
        let has_failed = news.client.poll_if_due(&self.loop_handle, &self.resource_usage, self.now);
        self.counters.failed_polls += u64::from(has_failed);
        record_polls(&mut news.client, &mut news.purge_news, &news.wait_times);
    }

    fn read_answers(&mut self, news: &mut News) {
        loop {
            match news.client.next_answer(self.now) {
                Ok(Some(body)) => self.on_answer(news, &body),
                Ok(None) => return,
                Err(StreamError(error)) => {
                    self.counters.failed_polls += 1;
                    self.warn(error);
                    return news.client.disconnect(self.now);
                }
            }
        }
    }

    fn on_answer(&mut self, news: &mut News, body: &[u8]) {
        let changes: Changes<'_> = match serde_json::from_slice(body) {
            Ok(changes) => changes,
            Err(e) => {
                self.counters.failed_polls += 1;
                self.warn(&format!("cannot decode an answer of the change log, reconnecting: {e}"));
                news.reject_answer(self.now);
                return news.client.disconnect(self.now);
            }
        };
        let has_contradiction =
            changes.results.iter().any(|change| news.last_event.is_contradicted_by(change));
        if changes.last_seq < news.client.last_seq || has_contradiction {
            return self.on_restarted_log(news, changes.last_seq);
        }
        let previous_seq = news.client.last_seq;
        for change in &changes.results {
            if !self.accept_change(news, change) {
                news.reject_answer(self.now);
                return;
            }
        }
        if changes.results.is_empty() || news.client.last_seq >= changes.last_seq {
            self.on_all_events_received(news);
        }
        if news.client.last_seq == previous_seq {
            news.client.on_empty_answer(self.now);
        }
    }

    /// Its sequence numbers decreased, or the last accepted event has different content now.
    fn on_restarted_log(&mut self, news: &mut News, last: u64) {
        self.counters.log_restarts += 1;
        news.reject_answer(self.now);
        news.client.resync_from_start(self.now);
        news.last_event = LastEvent::default();
        log::warn!(last; "change log restarted, requesting all events again");
    }

    /// Applies a change that follows the last one. Returns false if changes before it are missing that are requested again.
    fn accept_change(&mut self, news: &mut News, change: &Change<'_>) -> bool {
        match news.client.accept(change.seq, self.now) {
            SequenceCheck::Duplicate => return true,
            SequenceCheck::GapRetried(last) => {
                self.warn(&format!(
                    "sequence gap in the change log, from {last} to {}; requesting the events after {last} again",
                    change.seq
                ));
                return false;
            }
            SequenceCheck::GapAccepted(last) => {
                self.warn(&format!(
                    "sequence gap in the change log, from {last} to {}; continuing without the missing events",
                    change.seq
                ));
                if news.is_list_known {
                    news.miss_purges(self.now);
                }
            }
            SequenceCheck::Next => {}
        }
        self.counters.events += 1;
        self.must_publish = true;
        news.last_event = LastEvent::of(change);
        if let Some(fleet) = &change.fleet {
            self.fleet.on_host_list(&fleet.endpoints, fleet.snapshot, self.now);
            news.is_list_known |= fleet.snapshot;
        }
        if let Some(purge) = &change.invalidate
            && self.fleet.on_purge(purge).is_older_dropped
        {
            news.miss_purges(self.now);
        }
        true
    }

    /// All that the change log had when the last poll was sent is applied.
    fn on_all_events_received(&mut self, news: &mut News) {
        news.purge_news.on_poll_answered(news.client.polled_at());
        // Nothing is sent before, since proxies would take it for the complete state.
        if news.is_list_known && !self.server.is_ready() {
            self.server.set_ready();
            self.server.put_copy_refusals(&CopyRefusals::default());
        }
    }
}
