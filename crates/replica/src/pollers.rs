//! The connections of pollers: accepting, reading, answering and lingering close. Each connection has at most one
//! request in flight.

use crate::errors::RequestError;
use crate::http::{self, MAX_HEAD_BYTES, Request};
use crate::service::{EventSource, Service};
use bytes::Bytes;
use myrtlegauge_replication::PollId;
use myrtlegauge_wire::transport::{
    ClosingConnections, Connection, EventLoopHandle, Listener, ReadOutcome, ResourceUsage,
};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of bytes read from a poller per loop iteration, enough for a few requests.
const MAX_READ_BYTES: usize = 16 * 1024;
/// The time in which a started request must be completed; far above the round trips of a slow network.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after which an idle connection is closed; a live poller sends its next poll at once.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The time after which a connection is closed if its poller reads nothing of a response; the poller has given up the
/// poll by then.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after its own timeout an unanswered poll is dropped with its connection; a newer poll has replaced it.
const REPLACED_POLL_GRACE: Duration = Duration::from_secs(2);
/// The maximum number of connections in lingering close.
const MAX_CLOSING: usize = 64;

/// Identifies a connection; keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollerKey(u64);

enum Stage {
    /// No request is in flight; a part of the next request may have arrived.
    Reading,
    /// A poll waits for its response.
    Waiting { poll: PollId, deadline: Duration },
}

struct PollerConnection {
    connection: Connection<Service>,
    stage: Stage,
    /// The time when the request being read started, or when the connection became idle.
    since: Duration,
    /// The number of bytes written to the socket so far, and the time of the last progress.
    written_bytes: u64,
    last_write_at: Duration,
    has_ended: bool,
}

/// The connections of all pollers.
pub struct Pollers {
    listener: Listener<Service>,
    has_pending: bool,
    connections: BTreeMap<PollerKey, PollerConnection>,
    by_poll: BTreeMap<PollId, PollerKey>,
    closing: ClosingConnections<Service>,
    max_connections: usize,
    next_key: u64,
    next_poll: u64,
}

impl Pollers {
    /// Creates the set of connections, which holds at most `max_connections` at once.
    pub fn new(listener: Listener<Service>, max_connections: usize) -> Self {
        Self {
            listener,
            has_pending: true,
            connections: BTreeMap::new(),
            by_poll: BTreeMap::new(),
            closing: ClosingConnections::new(MAX_CLOSING),
            max_connections,
            next_key: 0,
            next_poll: 0,
        }
    }

    /// Returns the address that pollers connect to.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.listener.address()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Marks that connections wait to be accepted.
    pub fn on_listener_ready(&mut self) {
        self.has_pending = true;
    }

    /// Accepts pending connections. At the limit, the connection that has been idle for longest is closed to make room;
    /// if none is idle, new connections stay pending. Returns the keys of connections to read from: the new ones, and
    /// those that seemed idle and were not.
    pub fn accept(
        &mut self,
        event_loop: &EventLoopHandle<Service>,
        usage: &Rc<ResourceUsage>,
        read_buffer: &mut [u8],
        now: Duration,
    ) -> io::Result<Vec<PollerKey>> {
        let mut active = Vec::new();
        while self.has_pending
            && (self.connections.len() < self.max_connections || self.longest_idle().is_some())
        {
            let Some(stream) = self.listener.accept()? else {
                self.has_pending = false;
                break;
            };
            self.make_room(&mut active, read_buffer, now);
            let key = PollerKey(self.next_key);
            self.next_key += 1;
            let connection = Connection::from_accepted(event_loop, stream, EventSource::Poller(key), usage)?;
            self.connections.insert(key, PollerConnection::new(connection, now));
            active.push(key);
        }
        Ok(active)
    }

    /// Closes the connections that have been idle for longest until there is room for one more. Each is read once more
    /// before it is closed, since a request may have arrived in this loop iteration.
    fn make_room(&mut self, active: &mut Vec<PollerKey>, read_buffer: &mut [u8], now: Duration) {
        while self.connections.len() >= self.max_connections
            && let Some(key) = self.longest_idle()
            && let Some(poller) = self.connections.get_mut(&key)
        {
            poller.on_ready(read_buffer, now);
            if poller.is_idle() {
                self.remove(key);
            } else {
                active.push(key);
            }
        }
    }

    fn longest_idle(&self) -> Option<PollerKey> {
        let idle = self.connections.iter().filter(|(_, poller)| poller.is_idle());
        idle.min_by_key(|(_, poller)| poller.since).map(|(key, _)| *key)
    }

    /// Reads and writes as much as the socket allows; returns whether more can be read.
    pub fn on_ready(&mut self, key: PollerKey, read_buffer: &mut [u8], now: Duration) -> bool {
        match self.connections.get_mut(&key) {
            Some(poller) => poller.on_ready(read_buffer, now),
            None => self.closing.on_ready(EventSource::Poller(key), read_buffer).unwrap_or(false),
        }
    }

    /// Returns the next request of a connection, if none is in flight and the next is complete.
    pub fn next_request(&mut self, key: PollerKey) -> Result<Option<Request>, RequestError> {
        let Some(poller) = self.connections.get_mut(&key) else { return Ok(None) };
        match poller.stage {
            Stage::Reading => poller.connection.parse(http::next_request),
            Stage::Waiting { .. } if poller.connection.unparsed_bytes() > MAX_HEAD_BYTES => {
                Err(RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES })
            }
            Stage::Waiting { .. } => Ok(None),
        }
    }

    /// Marks a poll as waiting on its connection; returns the id by which the core identifies it.
    pub fn start_wait(&mut self, key: PollerKey, timeout: Duration, now: Duration) -> PollId {
        let poll = PollId(self.next_poll);
        self.next_poll += 1;
        if let Some(poller) = self.connections.get_mut(&key) {
            let deadline = now + timeout.min(IDLE_TIMEOUT) + REPLACED_POLL_GRACE;
            poller.stage = Stage::Waiting { poll, deadline };
            self.by_poll.insert(poll, key);
        }
        poll
    }

    /// Returns the connection that waits for the response to a poll.
    pub fn waiting_for(&self, poll: PollId) -> Option<PollerKey> {
        self.by_poll.get(&poll).copied()
    }

    /// Sends the response to the request in flight; the next request can be read after that.
    pub fn answer(&mut self, key: PollerKey, response: Bytes, now: Duration) {
        let Some(poller) = self.connections.get_mut(&key) else { return };
        if let Stage::Waiting { poll, .. } = std::mem::replace(&mut poller.stage, Stage::Reading) {
            self.by_poll.remove(&poll);
        }
        if poller.connection.unsent_bytes() == 0 {
            poller.last_write_at = now;
        }
        poller.connection.enqueue(response);
        poller.since = now;
        poller.has_ended |= poller.connection.flush().is_err();
    }

    /// Sends an error response and starts a lingering close; returns the poll that was in flight.
    pub fn reject(
        &mut self,
        key: PollerKey,
        error: &RequestError,
        read_buffer: &mut [u8],
        now: Duration,
    ) -> Option<PollId> {
        let (mut poller, poll) = self.remove(key)?;
        poller.connection.enqueue(http::error_response(error));
        self.closing.start_close(EventSource::Poller(key), poller.connection, read_buffer, now);
        poll
    }

    /// Drops a connection that its poller has closed; returns the poll that was in flight.
    pub fn drop_ended(&mut self, key: PollerKey) -> Option<PollId> {
        let has_ended = self.connections.get(&key).is_some_and(|poller| poller.has_ended);
        if has_ended { self.remove(key)?.1 } else { None }
    }

    fn remove(&mut self, key: PollerKey) -> Option<(PollerConnection, Option<PollId>)> {
        let poller = self.connections.remove(&key)?;
        let poll = match poller.stage {
            Stage::Waiting { poll, .. } => Some(poll),
            Stage::Reading => None,
        };
        if let Some(poll) = poll {
            self.by_poll.remove(&poll);
        }
        Some((poller, poll))
    }

    /// Closes stalled connections; returns the polls that were in flight on them.
    pub fn sweep(&mut self, read_buffer: &mut [u8], now: Duration) -> Vec<PollId> {
        self.closing.expire(now);
        let stalled = |(key, poller): (&PollerKey, &mut PollerConnection)| Some((*key, poller.stall(now)?));
        let stalled: Vec<_> = self.connections.iter_mut().filter_map(stalled).collect();
        let mut cancelled = Vec::new();
        for (key, stall) in stalled {
            cancelled.extend(match stall {
                Stall::IncompleteRequest => self.reject(key, &RequestError::Timeout, read_buffer, now),
                Stall::Idle | Stall::ReplacedPoll | Stall::NotReading => {
                    self.remove(key).and_then(|(_, poll)| poll)
                }
            });
        }
        cancelled
    }
}

/// Reasons why a connection makes no progress.
enum Stall {
    IncompleteRequest,
    Idle,
    ReplacedPoll,
    NotReading,
}

impl PollerConnection {
    fn new(connection: Connection<Service>, now: Duration) -> Self {
        Self {
            connection,
            stage: Stage::Reading,
            since: now,
            written_bytes: 0,
            last_write_at: now,
            has_ended: false,
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Reading)
            && self.connection.unparsed_bytes() == 0
            && self.connection.unsent_bytes() == 0
    }

    fn on_ready(&mut self, read_buffer: &mut [u8], now: Duration) -> bool {
        let is_first = self.connection.unparsed_bytes() == 0;
        let outcome = match self.connection.flush() {
            Ok(()) => self.connection.read(read_buffer, MAX_READ_BYTES),
            Err(_) => ReadOutcome::Closed,
        };
        if is_first {
            self.since = now;
        }
        self.has_ended |= outcome == ReadOutcome::Closed;
        outcome == ReadOutcome::More
    }

    fn stall(&mut self, now: Duration) -> Option<Stall> {
        if self.connection.unsent_bytes() > 0 {
            return self.is_not_reading(now).then_some(Stall::NotReading);
        }
        match self.stage {
            Stage::Waiting { deadline, .. } => (now >= deadline).then_some(Stall::ReplacedPoll),
            Stage::Reading if self.connection.unparsed_bytes() > 0 => {
                (now >= self.since + REQUEST_TIMEOUT).then_some(Stall::IncompleteRequest)
            }
            Stage::Reading => (now >= self.since + IDLE_TIMEOUT).then_some(Stall::Idle),
        }
    }

    fn is_not_reading(&mut self, now: Duration) -> bool {
        let written_bytes = self.connection.written_bytes();
        if written_bytes != self.written_bytes {
            (self.written_bytes, self.last_write_at) = (written_bytes, now);
        }
        now >= self.last_write_at + WRITE_STALL_TIMEOUT
    }
}
