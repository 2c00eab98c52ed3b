//! Long-poll client of the change log. It polls again immediately after an answer. If an answer is overdue, it polls on
//! another connection as well and takes the answer that comes first.

use crate::overdue_polls::{MAX_OVERDUE_POLLS, OverduePolls, SentPoll};
use crate::poll_connection::{PollConnection, ReadAnswer};
use crate::protocol::changelog_answer::{AnswerPart, AnswerReader};
use crate::protocol::{StreamError, changelog};
use crate::transport::{Connection, EventLoopHandle, ReadinessHandler, ResourceUsage};
use bytes::Bytes;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the change log may hold back an answer while it has no new events. Short, because a connection that has
/// failed without a reset delivers nothing, while an event counts as known as soon as it is in the change log.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// The wait of the first poll and of a poll after a gap, which are to be answered immediately.
const IMMEDIATE_POLL_WAIT: Duration = Duration::from_millis(1);
/// Time beyond the wait after which an answer is overdue and another poll is sent on a new connection, because the
/// connection may have failed without a reset. An answer that trickles in does not extend it.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Upper limit of the answer timeout, which doubles at each overdue poll. It is below the 2 s after which an event
/// counts as known on a connection that has failed.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval after which another connection attempt starts beside those that are pending. A change log that comes back
/// with new events is therefore reached in under half a second. While it is down, each dispatcher sends one
/// connection request per interval.
const CONNECT_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a pending connection attempt is dropped, so that up to four are pending at once. The operating
/// system repeats a lost connection request after 1 s, and a slow network path takes half as long again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1600);
/// Pause after a lost connection, or after an empty answer that came early. It prevents a flood of polls and is far
/// below any grace for drains.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Each answer lowers the remembered delay of answers by this part, unless it was delayed as much.
const DELAY_DECAY: u32 = 8;

/// Limit of the bytes read from the change log in one iteration of the event loop.
const MAX_READ_BYTES: usize = 256 * 1024;

/// No connection to the change log could be established.
pub const CANNOT_CONNECT: StreamError = StreamError("cannot connect to the change log");
/// The connection was lost before an answer was complete.
pub const CONNECTION_LOST: StreamError = StreamError("connection to the change log lost");

/// Long-poll client of the change log, with the sequence number of the last applied event.
pub struct ChangeLogClient<O: ReadinessHandler> {
    address: SocketAddr,
    host: String,
    /// The key under which the handler is notified.
    key: O::Key,
    connection: Option<PollConnection<O>>,
    /// Earlier polls that are overdue, each on a connection of its own.
    overdue_polls: OverduePolls<O>,
    /// Pending connection attempts with their start times, oldest first. Empty while a connection is established.
    connect_attempts: VecDeque<(Duration, Connection<O>)>,
    /// All pending connection attempts have failed.
    has_connect_failed: bool,
    /// The current answer timeout, beyond the wait of the poll.
    answer_timeout: Duration,
    /// A poll is outstanding.
    is_pending: bool,
    polled_at: Duration,
    /// The wait that the last poll requested.
    requested_wait: Duration,
    /// How much longer than requested an answer takes to come.
    answer_delay: Duration,
    /// The time after a poll within which its answer is wanted, if it is limited.
    answer_within: Option<Duration>,
    /// The poll sent and the polls lost since these were last taken.
    newly_sent: Option<SentPollTimes>,
    newly_lost: Vec<LostPoll>,
    /// When [`ChangeLogClient::poll_if_due`] has to act next: to time out, to reconnect or to poll again.
    pub deadline: Duration,
    /// The sequence number of the last accepted event.
    pub last_seq: u64,
    /// The first poll on each new connection requests the last event once more.
    has_overlap: bool,
    /// Nothing was polled on this connection yet.
    is_new: bool,
    /// Sequence number of an event that was rejected once because the events before it were missing.
    retried_gap_seq: u64,
    /// The next poll requests an immediate answer, because the known state must be complete before it is used.
    polls_immediately: bool,
    /// No poll that is sent before this time waits for longer, and one that is sent after it requests an immediate answer.
    poll_wanted_at: Option<Duration>,
}

/// A poll that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPollTimes {
    pub sent_at: Duration,
    /// When its answer is due if there are no events.
    pub answer_due_at: Duration,
}

/// A poll whose connection was lost while it was outstanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostPoll {
    pub sent_at: Duration,
    pub lost_at: Duration,
}

/// Result of checking the sequence number of an event against the last accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// The event was accepted before.
    Duplicate,
    /// The event follows the last accepted one.
    Next,
    /// Events after this sequence number are missing and are requested once more; the event is not accepted.
    GapRetried(u64),
    /// Events after this sequence number are no longer available; the event is accepted nevertheless.
    GapAccepted(u64),
}

impl<O: ReadinessHandler> ChangeLogClient<O> {
    /// Creates a client that has not connected yet.
    pub fn new(address: SocketAddr, key: O::Key) -> Self {
        Self {
            address,
            host: address.to_string(),
            key,
            connection: None,
            overdue_polls: OverduePolls::new(),
            connect_attempts: VecDeque::new(),
            has_connect_failed: false,
            answer_timeout: MIN_ANSWER_TIMEOUT,
            is_pending: false,
            polled_at: Duration::ZERO,
            requested_wait: Duration::ZERO,
            answer_delay: Duration::ZERO,
            answer_within: None,
            newly_sent: None,
            newly_lost: Vec::new(),
            deadline: Duration::ZERO,
            last_seq: 0,
            has_overlap: false,
            is_new: false,
            retried_gap_seq: 0,
            polls_immediately: true,
            poll_wanted_at: None,
        }
    }

    /// Requests the last event once more on each new connection. By this event the caller can recognize a change log
    /// that restarted while the connection was lost and has reached the same sequence number again.
    pub fn with_overlap(mut self) -> Self {
        self.has_overlap = true;
        self
    }

    /// Requests a shorter wait where answers are delayed, so that they come within this time after the poll.
    pub fn with_answer_within(mut self, answer_within: Duration) -> Self {
        self.answer_within = Some(answer_within);
        self
    }

    /// Switches to another address and polls it immediately. The sequence numbers continue.
    pub fn set_address(&mut self, address: SocketAddr, now: Duration) {
        (self.address, self.host) = (address, address.to_string());
        self.disconnect_all(now);
        self.deadline = now;
    }

    /// Checks the sequence number of an event, and advances to it if the event is to be applied.
    pub fn accept(&mut self, seq: u64, now: Duration) -> SequenceCheck {
        let last = self.last_seq;
        if seq <= last {
            return SequenceCheck::Duplicate;
        }
        let is_gap = seq != last + 1;
        if is_gap && !self.accepts_after_gap(seq, now) {
            return SequenceCheck::GapRetried(last);
        }
        self.last_seq = seq;
        if is_gap { SequenceCheck::GapAccepted(last) } else { SequenceCheck::Next }
    }

    /// Requests all events again, immediately, after a restart of the change log.
    pub fn resync_from_start(&mut self, now: Duration) {
        self.last_seq = 0;
        self.disconnect_all(now);
        self.deadline = now;
    }

    /// Whether an event is accepted although events before it are missing. At the start it is. Later it is rejected
    /// the first time, and the missing events are requested again on a new connection. The second time it is
    /// accepted, because the change log no longer has the missing events.
    fn accepts_after_gap(&mut self, seq: u64, now: Duration) -> bool {
        let has_polled = !self.polled_at.is_zero();
        let is_accepted = !has_polled || std::mem::replace(&mut self.retried_gap_seq, seq) == seq;
        if !is_accepted {
            self.disconnect_all(now);
        }
        is_accepted
    }

    /// Sends a poll if none is outstanding or the outstanding one is overdue. Returns whether a poll was overdue or
    /// lost.
    pub fn poll_if_due(
        &mut self,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
        now: Duration,
    ) -> bool {
        let is_overdue = now >= self.deadline && (self.is_pending || !self.connect_attempts.is_empty());
        if self.is_pending && is_overdue {
            self.set_poll_aside(now);
        }
        if now < self.deadline || self.is_pending {
            return is_overdue;
        }
        let longest_wait = self.longest_wait();
        let Some(connection) = &mut self.connection else {
            return self.start_connect(event_loop, resource_usage, now) || is_overdue;
        };
        let is_immediate = std::mem::take(&mut self.polls_immediately);
        let longest = if is_immediate { IMMEDIATE_POLL_WAIT } else { longest_wait };
        let wait = next_wait(longest, self.poll_wanted_at, now);
        self.requested_wait = wait;
        let since =
            self.last_seq.saturating_sub(u64::from(std::mem::take(&mut self.is_new) && self.has_overlap));
        let connection = &mut connection.connection;
        connection.enqueue(changelog::poll_request(&self.host, since, wait.as_millis()));
        (self.is_pending, self.polled_at, self.deadline) =
            (true, now, now + LONG_POLL_WAIT + self.answer_timeout);
        if connection.flush().is_err() {
            self.disconnect(now);
            return true;
        }
        self.newly_sent = Some(SentPollTimes { sent_at: now, answer_due_at: now + wait });
        is_overdue
    }

    /// The longest wait after which an answer comes in time.
    fn longest_wait(&self) -> Duration {
        let in_time = self.answer_within.map(|within| within.saturating_sub(self.answer_delay));
        in_time.unwrap_or(LONG_POLL_WAIT).clamp(IMMEDIATE_POLL_WAIT, LONG_POLL_WAIT)
    }

    /// The last poll that was sent since the last call.
    pub fn take_sent(&mut self) -> Option<SentPollTimes> {
        self.newly_sent.take()
    }

    /// The polls, also overdue ones, whose connections were lost since the last call.
    pub fn take_lost(&mut self) -> Vec<LostPoll> {
        std::mem::take(&mut self.newly_lost)
    }

    /// Records the loss of a poll. Callers that never take the losses keep the last ones.
    fn record_lost(&mut self, sent_at: Duration, lost_at: Duration) {
        if self.newly_lost.len() > MAX_OVERDUE_POLLS {
            self.newly_lost.remove(0);
        }
        self.newly_lost.push(LostPoll { sent_at, lost_at });
    }

    /// Keeps the outstanding poll as an overdue one, so that another can be sent.
    fn set_poll_aside(&mut self, now: Duration) {
        self.answer_timeout = (self.answer_timeout * 2).min(MAX_ANSWER_TIMEOUT);
        if let Some(connection) = self.connection.take() {
            self.overdue_polls.push(SentPoll { connection, sent_at: self.polled_at });
        }
        (self.is_pending, self.deadline) = (false, now);
    }

    /// Starts a connection attempt beside those that are pending. Returns true if none could be started.
    ///
    /// On a network path where establishing a connection takes longer than the timeout of a silent one, attempts made
    /// one after the other would all time out. Parallel attempts prevent this, at the cost of a few descriptors while
    /// the change log is down.
    fn start_connect(
        &mut self,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
        now: Duration,
    ) -> bool {
        self.connect_attempts.retain(|&(started_at, _)| now < started_at + CONNECT_TIMEOUT);
        match Connection::connect(event_loop, self.address, self.key, resource_usage) {
            Ok(attempt) => {
                self.connect_attempts.push_back((now, attempt));
                self.deadline = now + CONNECT_INTERVAL;
                false
            }
            Err(_) => {
                self.deadline = now + RETRY_PAUSE;
                true
            }
        }
    }

    /// When the newest outstanding poll, or else the last answered one, was sent.
    pub fn polled_at(&self) -> Duration {
        self.polled_at
    }

    /// Has a poll answered soon after a time: none that is sent before waits for longer, and the first one after it
    /// requests an immediate answer. `None` withdraws this.
    pub fn want_poll_at(&mut self, at: Option<Duration>) {
        self.poll_wanted_at = at;
    }

    /// Requests an immediate answer, after any that may have arrived in the meantime. An outstanding poll is overdue
    /// soon.
    pub fn poll_immediately(&mut self, now: Duration) {
        self.polls_immediately = true;
        self.deadline = if self.is_pending { now + MIN_ANSWER_TIMEOUT } else { now };
    }

    /// Closes the current connection and the pending attempts, and schedules the next attempt after a pause. Overdue
    /// polls are kept.
    pub fn disconnect(&mut self, now: Duration) {
        if self.is_pending {
            self.record_lost(self.polled_at, now);
        }
        self.connection = None;
        self.connect_attempts.clear();
        self.has_connect_failed = false;
        (self.is_pending, self.deadline) = (false, now + RETRY_PAUSE);
    }

    /// Closes all connections, also those of overdue polls, and schedules the next attempt after a pause.
    pub fn disconnect_all(&mut self, now: Duration) {
        self.overdue_polls.clear();
        self.disconnect(now);
    }

    /// Handles an answer without new events: polls again immediately, unless the answer came without waiting for
    /// events.
    pub fn on_empty_answer(&mut self, now: Duration) {
        if now < self.polled_at + LONG_POLL_WAIT / 2 {
            self.deadline = now + RETRY_PAUSE;
        }
    }

    /// Reads and writes as much as possible. Returns whether there may be more to read.
    pub fn on_ready(&mut self, read_buffer: &mut [u8], now: Duration) -> bool {
        self.check_connect_attempts(now);
        let has_more_overdue = self.overdue_polls.on_ready(read_buffer, MAX_READ_BYTES);
        let has_more =
            self.connection.as_mut().is_some_and(|current| current.on_ready(read_buffer, MAX_READ_BYTES));
        has_more_overdue || has_more
    }

    /// Keeps the first connection that is established and drops the other attempts.
    fn check_connect_attempts(&mut self, now: Duration) {
        let count_before = self.connect_attempts.len();
        self.connect_attempts.retain_mut(|(_, attempt)| attempt.is_connected().is_ok());
        self.has_connect_failed |= count_before > 0 && self.connect_attempts.is_empty();
        let established = self
            .connect_attempts
            .iter_mut()
            .position(|(_, attempt)| matches!(attempt.is_connected(), Ok(true)));
        if let Some((_, connection)) = established.and_then(|index| self.connect_attempts.remove(index)) {
            self.connection = Some(PollConnection::new(connection, CONNECTION_LOST));
            self.connect_attempts.clear();
            (self.is_new, self.deadline) = (true, now);
        }
    }

    /// The next part of an answer, if any: each change as soon as it has arrived, and the end of the answer.
    ///
    /// # Errors
    /// The current connection failed, was lost or carries an invalid answer, and can no longer be used.
    pub fn next_part(&mut self, now: Duration) -> Result<Option<AnswerPart>, StreamError> {
        self.read_answer(now, AnswerReader::next_part, |part| *part == AnswerPart::End)
    }

    /// The body of the next complete answer, if any.
    ///
    /// # Errors
    /// The current connection failed, was lost or carries an invalid answer, and can no longer be used.
    pub fn next_answer(&mut self, now: Duration) -> Result<Option<Bytes>, StreamError> {
        self.read_answer(now, AnswerReader::next_whole, |_| true)
    }

    fn read_answer<T>(
        &mut self,
        now: Duration,
        read: ReadAnswer<T>,
        is_end: impl Fn(&T) -> bool,
    ) -> Result<Option<T>, StreamError> {
        let overdue_part = self.overdue_polls.next_part(read);
        for sent_at in self.overdue_polls.take_failed() {
            self.record_lost(sent_at, now);
        }
        if let Some((index, part)) = overdue_part {
            if is_end(&part)
                && let Some(SentPoll { connection, sent_at }) = self.overdue_polls.remove(index)
            {
                self.connect_attempts.clear();
                (self.connection, self.polled_at) = (Some(connection), sent_at);
                self.on_answered(now);
            }
            return Ok(Some(part));
        }
        let Some(connection) = &mut self.connection else {
            return if self.has_connect_failed { Err(CANNOT_CONNECT) } else { Ok(None) };
        };
        let part = connection.parse(read)?;
        if part.as_ref().is_some_and(is_end) {
            self.on_answered(now);
        }
        Ok(part)
    }

    /// Handles an answer on what is now the current connection. The next poll is sent there, after all others were
    /// given up: their answers hold nothing that it will not hold. An answer that was late makes the next ones
    /// overdue later, and less so with each that was not.
    fn on_answered(&mut self, now: Duration) {
        self.overdue_polls.clear();
        let delay = now.saturating_sub(self.polled_at + self.requested_wait);
        self.answer_delay = delay.max(self.answer_delay - self.answer_delay / DELAY_DECAY);
        let lateness = now.saturating_sub(self.polled_at + LONG_POLL_WAIT);
        self.answer_timeout =
            (self.answer_timeout / 2).max(lateness * 2).clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
        (self.is_pending, self.deadline) = (false, now);
        if self.connection.as_ref().is_some_and(PollConnection::is_peer_closed) {
            // The answer was ended by the close, or the peer closes each connection after its answer.
            self.connection = None;
        }
    }
}

/// How long the change log may hold back the answer to a poll that is sent now.
fn next_wait(longest: Duration, poll_wanted_at: Option<Duration>, now: Duration) -> Duration {
    // The wait is sent in whole milliseconds; rounded up, it ends after the time and not just before it.
    let until_wanted = poll_wanted_at.map(|at| at.saturating_sub(now) + IMMEDIATE_POLL_WAIT);
    until_wanted.unwrap_or(longest).min(longest)
}
