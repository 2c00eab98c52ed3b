//! Records the polls of a change log client in the state of unreceived purges, for every program that follows the change
//! log, and when what a program notices may have happened: a process that was stopped notices it late.

use crate::change_log_client::{ChangeLogClient, LostPoll, SentPollTimes};
use crate::transport::ReadinessHandler;
use myrtlegauge::purge_news::{EventTime, PurgeNews};
use std::time::Duration;

/// The shortest gap between two event loop iterations that counts as a pause of the process. The loops wake up many
/// times a second. The value is below any grace on purges.
const MIN_PAUSE: Duration = Duration::from_millis(750);

/// When the event loop last waited for events.
#[derive(Clone, Copy, Debug)]
pub struct WaitTimes {
    began_at: Duration,
    previous_began_at: Duration,
}

impl WaitTimes {
    /// Creates the times of an event loop that has not waited before `now`.
    pub fn new(now: Duration) -> Self {
        Self { began_at: now, previous_began_at: now }
    }

    /// Records that the event loop is about to wait for events.
    pub fn begin_wait(&mut self, now: Duration) {
        self.previous_began_at = std::mem::replace(&mut self.began_at, now);
    }

    /// When something may have happened that was noticed at a time and came after another one. What had happened before
    /// the last wait but one for events began would have been noticed then: a wait that a signal or a stop of the process
    /// ends may report nothing.
    pub fn event_time(&self, noticed_at: Duration, not_before: Duration) -> EventTime {
        EventTime { earliest: self.previous_began_at.clamp(not_before, noticed_at), latest: noticed_at }
    }
}

/// How long the process did not run between two event loop iterations, if it counts as a pause: the machine was asleep
/// or the process stopped.
pub fn pause_between(last_active: Duration, now: Duration) -> Option<Duration> {
    now.checked_sub(last_active).filter(|&gap| gap >= MIN_PAUSE)
}

/// Records which polls were lost and sent since the last call.
pub fn record_polls<O: ReadinessHandler>(
    client: &mut ChangeLogClient<O>,
    purge_news: &mut PurgeNews,
    wait_times: &WaitTimes,
) {
    for LostPoll { sent_at, lost_at } in client.take_lost() {
        purge_news.on_poll_lost(sent_at, wait_times.event_time(lost_at, sent_at));
    }
    if let Some(SentPollTimes { sent_at, answer_due_at }) = client.take_sent() {
        purge_news.on_poll_sent(sent_at, answer_due_at);
    }
}
