//! Long-poll client of the change log. It has one request outstanding and polls again immediately after an answer.

use crate::protocol::{StreamError, changelog};
use crate::transport::{Connection, EventLoopHandle, ReadOutcome, ReadinessHandler, ResourceUsage};
use bytes::Bytes;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long an answer may wait for news: short, for a connection gone silent tells nothing, and what is in the
/// change log counts as told.
const WAIT: Duration = Duration::from_millis(500);
/// The same for the first poll, and after a gap.
const AT_ONCE: Duration = Duration::from_millis(1);
/// After this much more the connection is given up. What trickles does not put it off; but while an answer has begun and
/// is not whole in time, the next has twice as long, for a slow way there is not a silent one.
const PATIENCE: Duration = Duration::from_millis(250);
/// The most of that: the longest that the page has an answer wait.
const PATIENCE_MOST: Duration = Duration::from_millis(5000);
/// A connection that does not come up is tried beside by another after this: a change log that was away, and has news as it
/// comes back, is found under half a second later. It hurts by a word from each dispatcher in that time while it is away.
const DIAL_AGAIN: Duration = Duration::from_millis(400);
/// And stays until this, so that four are tried at once: the system asks a second time after 1 s where the first word was
/// lost, and a slow way takes half as long more.
const DIAL_MOST: Duration = Duration::from_millis(1600);
/// Pause after a loss or an answer that brought nothing too soon: no flood, and far under any grace on drains.
const AGAIN: Duration = Duration::from_millis(50);

/// Bytes read from the change log in one turn.
const READ_MOST: usize = 256 * 1024;

/// Long-poll client of the change log, with the sequence number of the last applied event.
pub struct ChangeLogClient<O: ReadinessHandler> {
    address: SocketAddr,
    host: String,
    /// How the owner knows that it was ready.
    key: O::Key,
    connection: Option<Connection<O>>,
    /// Those that have not come up, oldest first, with when each was tried; none where one is up.
    dials: VecDeque<(Duration, Connection<O>)>,
    /// All dials failed since the last look.
    refused: bool,
    patience: Duration,
    asked: bool,
    asked_at: Duration,
    /// When [`ChangeLogClient::poll_if_due`] has to act next: to time out, to reconnect or to poll again.
    pub deadline: Duration,
    /// The other side has closed; what came before may still be a whole answer.
    ended: bool,
    /// The sequence number of the last accepted event.
    pub last_seq: u64,
    /// Each new connection asks for the last event once more.
    overlaps: bool,
    /// Nothing was asked on this connection yet.
    is_new: bool,
    /// An event that was refused once, because those before it were missing.
    retried_gap_seq: u64,
    /// The next poll is answered at once: what is known has to be whole before it is used.
    answers_at_once: bool,
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
            dials: VecDeque::new(),
            refused: false,
            patience: PATIENCE,
            asked: false,
            asked_at: Duration::ZERO,
            deadline: Duration::ZERO,
            ended: false,
            last_seq: 0,
            overlaps: false,
            is_new: false,
            retried_gap_seq: 0,
            answers_at_once: true,
        }
    }

    /// Requests the last event once more on each new connection. By this event the caller can recognize a change log that
    /// restarted while the connection was lost and has reached the same sequence number again.
    pub fn with_overlap(mut self) -> Self {
        self.overlaps = true;
        self
    }

    /// Switches to another address and polls it immediately. The sequence numbers continue.
    pub fn set_address(&mut self, address: SocketAddr, now: Duration) {
        (self.address, self.host) = (address, address.to_string());
        self.disconnect(now);
        self.deadline = now;
    }

    /// Checks the sequence number of an event, and advances to it if the event is to be applied.
    pub fn accept(&mut self, number: u64, now: Duration) -> SequenceCheck {
        let last = self.last_seq;
        if number <= last {
            return SequenceCheck::Duplicate;
        }
        let gap = number != last + 1;
        if gap && !self.takes_beyond(number, now) {
            return SequenceCheck::GapRetried(last);
        }
        self.last_seq = number;
        if gap { SequenceCheck::GapAccepted(last) } else { SequenceCheck::Next }
    }

    /// Requests all events again, immediately, after a restart of the change log.
    pub fn resync_from_start(&mut self, now: Duration) {
        self.last_seq = 0;
        self.disconnect(now);
        self.deadline = now;
    }

    /// Whether an event that others should come before is taken: at the start. Later not at first, for those are
    /// asked for again on a new connection; then it is, for the change log no longer has them.
    fn takes_beyond(&mut self, number: u64, now: Duration) -> bool {
        let again =
            self.connection.is_none() || std::mem::replace(&mut self.retried_gap_seq, number) == number;
        if !again {
            self.disconnect(now);
        }
        again
    }

    /// Sends a poll if none is outstanding, and gives up one that is overdue. Returns whether a poll was lost.
    pub fn poll_if_due(
        &mut self,
        hub: &EventLoopHandle<O>,
        accounts: &Rc<ResourceUsage>,
        now: Duration,
    ) -> bool {
        let overdue = now >= self.deadline && (self.asked || !self.dials.is_empty());
        if self.asked && overdue {
            let part = self.connection.as_ref().is_some_and(|connection| connection.unparsed_bytes() > 0);
            self.patience = if part { (self.patience * 2).min(PATIENCE_MOST) } else { PATIENCE };
            self.disconnect(now);
        }
        if now < self.deadline || self.asked {
            return overdue;
        }
        let Some(connection) = &mut self.connection else { return self.dial(hub, accounts, now) || overdue };
        let wait = if std::mem::take(&mut self.answers_at_once) { AT_ONCE } else { WAIT };
        let since =
            self.last_seq.saturating_sub(u64::from(std::mem::take(&mut self.is_new) && self.overlaps));
        connection.enqueue(changelog::poll_request(&self.host, since, wait.as_millis()));
        (self.asked, self.asked_at, self.deadline) = (true, now, now + WAIT + self.patience);
        if connection.flush().is_err() {
            self.disconnect(now);
            return true;
        }
        overdue
    }

    /// Tries a connection beside those that have not come up yet. True: none can be tried.
    ///
    /// Guards against a way on which connections come up later than a silent one is given up, where each would be given up
    /// in turn; it hurts by a few descriptors while the change log is down.
    fn dial(&mut self, hub: &EventLoopHandle<O>, accounts: &Rc<ResourceUsage>, now: Duration) -> bool {
        self.dials.retain(|&(at, _)| now < at + DIAL_MOST);
        match Connection::connect(hub, self.address, self.key, accounts) {
            Ok(dial) => {
                self.dials.push_back((now, dial));
                self.deadline = now + DIAL_AGAIN;
                false
            }
            Err(_) => {
                self.deadline = now + AGAIN;
                true
            }
        }
    }

    /// When the outstanding poll, or else the last answered one, was sent.
    pub fn polled_at(&self) -> Duration {
        self.asked_at
    }

    /// Requests an immediate answer, after any that may have arrived in the meantime. An outstanding poll gets a new
    /// timeout.
    pub fn poll_immediately(&mut self, now: Duration) {
        self.answers_at_once = true;
        self.deadline = if self.asked { now + PATIENCE } else { now };
    }

    /// Closes all connections, drops the outstanding poll and schedules the next attempt after a pause.
    pub fn disconnect(&mut self, now: Duration) {
        self.connection = None;
        self.dials.clear();
        self.refused = false;
        (self.asked, self.ended, self.deadline) = (false, false, now + AGAIN);
    }

    /// Handles an answer without new events: polls again immediately, unless the answer came without waiting for
    /// events.
    pub fn on_empty_answer(&mut self, now: Duration) {
        if now < self.asked_at + WAIT / 2 {
            self.deadline = now + AGAIN;
        }
    }

    /// Reads and writes as much as possible. Returns whether there may be more to read.
    pub fn on_ready(&mut self, shared: &mut [u8], now: Duration) -> bool {
        self.look_at_dials(now);
        let Some(connection) = &mut self.connection else { return false };
        let reading = match connection.flush() {
            Ok(()) => connection.read(shared, READ_MOST),
            Err(_) => ReadOutcome::Closed,
        };
        self.ended |= reading == ReadOutcome::Closed;
        reading == ReadOutcome::More
    }

    /// The first that has come up is the connection; the others are let go.
    fn look_at_dials(&mut self, now: Duration) {
        let before = self.dials.len();
        self.dials.retain_mut(|(_, dial)| dial.is_connected().is_ok());
        self.refused |= before > 0 && self.dials.is_empty();
        let up = self.dials.iter_mut().position(|(_, dial)| matches!(dial.is_connected(), Ok(true)));
        if let Some((_, dial)) = up.and_then(|at| self.dials.remove(at)) {
            self.connection = Some(dial);
            self.dials.clear();
            (self.is_new, self.deadline) = (true, now);
        }
    }

    /// The body of the next complete answer, if any.
    ///
    /// # Errors
    /// The connection failed, was lost or carries an invalid answer, and can no longer be used.
    pub fn next_answer(&mut self, now: Duration) -> Result<Option<Bytes>, StreamError> {
        let Some(connection) = &mut self.connection else {
            return if self.refused {
                Err(StreamError("the change log can't be connected to"))
            } else {
                Ok(None)
            };
        };
        let body = connection.parse(changelog::next_answer)?;
        if body.is_some() {
            (self.asked, self.deadline, self.patience) = (false, now, PATIENCE);
        } else if self.ended {
            return Err(StreamError("the change log's connection was lost"));
        }
        Ok(body)
    }
}
