//! The connections of pollers: taken in, read, answered, and closed in steps. Each has one request in hand at most.

use crate::errors::RequestError;
use crate::http::{self, MAX_HEAD_BYTES, Request};
use crate::service::{Service, Who};
use bytes::Bytes;
use myrtlegauge_replication::PollId;
use myrtlegauge_wire::transport::{
    ClosingConnections, Connection, EventLoopHandle, Listener, ReadOutcome, ResourceUsage,
};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Bytes read from one poller in one turn: some requests.
const READ_MOST: usize = 16 * 1024;
/// Time in which a request that has begun becomes whole: far over a slow network's round trips.
const WHOLE_WITHIN: Duration = Duration::from_secs(2);
/// A connection on which nothing is asked is closed after this: a poller asks again at once.
const IDLE_MOST: Duration = Duration::from_secs(60);
/// A poller that takes nothing of its answer for so long is given up: it has given the poll up itself by then.
const TAKEN_WITHIN: Duration = Duration::from_secs(5);
/// A poll for which no answer came is given up this long after its own timeout: it was replaced by a newer one.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Connections at once that are being closed.
const CLOSING_MOST: usize = 64;

/// Names one connection; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollerKey(u64);

enum Stage {
    /// Nothing is in hand; of the next request a part may have come.
    Reading,
    /// A poll waits for its answer.
    Waiting { poll: PollId, give_up_at: Duration },
}

struct PollerConnection {
    connection: Connection<Service>,
    stage: Stage,
    /// When the request that is being read began, or the connection fell idle.
    since: Duration,
    /// What the system had taken of the answers, and when that last changed.
    flushed: u64,
    flushed_at: Duration,
    has_ended: bool,
}

/// All connections of pollers.
pub struct Pollers {
    listener: Listener<Service>,
    accepting: bool,
    connections: BTreeMap<PollerKey, PollerConnection>,
    by_poll: BTreeMap<PollId, PollerKey>,
    closing: ClosingConnections<Service>,
    most: usize,
    next_key: u64,
    next_poll: u64,
}

impl Pollers {
    /// No connection yet; at most `most` at once.
    pub fn new(listener: Listener<Service>, most: usize) -> Self {
        Self {
            listener,
            accepting: true,
            connections: BTreeMap::new(),
            by_poll: BTreeMap::new(),
            closing: ClosingConnections::new(CLOSING_MOST),
            most,
            next_key: 0,
            next_poll: 0,
        }
    }

    /// Where pollers connect.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.listener.address()
    }

    /// Connections at present.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Somebody waits to be let in.
    pub fn on_listener_ready(&mut self) {
        self.accepting = true;
    }

    /// Lets in who waits; over the bound the connection idle for longest makes room, and where none is, they wait. The
    /// keys of those to be looked at: the new ones, and who seemed idle and was not.
    pub fn accept(
        &mut self,
        hub: &EventLoopHandle<Service>,
        accounts: &Rc<ResourceUsage>,
        shared: &mut [u8],
        now: Duration,
    ) -> io::Result<Vec<PollerKey>> {
        let mut heard = Vec::new();
        while self.accepting && (self.connections.len() < self.most || self.longest_idle().is_some()) {
            let Some(stream) = self.listener.accept()? else {
                self.accepting = false;
                break;
            };
            self.make_room(&mut heard, shared, now);
            let key = PollerKey(self.next_key);
            self.next_key += 1;
            let connection = Connection::from_accepted(hub, stream, Who::Poller(key), accounts)?;
            self.connections.insert(key, PollerConnection::new(connection, now));
            heard.push(key);
        }
        Ok(heard)
    }

    /// Closes the connections idle for longest until one more is within the bound. Each is read once more before: what it
    /// asked may have come in this turn.
    fn make_room(&mut self, heard: &mut Vec<PollerKey>, shared: &mut [u8], now: Duration) {
        while self.connections.len() >= self.most
            && let Some(key) = self.longest_idle()
            && let Some(poller) = self.connections.get_mut(&key)
        {
            poller.on_ready(shared, now);
            if poller.is_idle() {
                self.remove(key);
            } else {
                heard.push(key);
            }
        }
    }

    fn longest_idle(&self) -> Option<PollerKey> {
        let idle = self.connections.iter().filter(|(_, poller)| poller.is_idle());
        idle.min_by_key(|(_, poller)| poller.since).map(|(key, _)| *key)
    }

    /// Reads and writes what can be; true: there is more to read.
    pub fn on_ready(&mut self, key: PollerKey, shared: &mut [u8], now: Duration) -> bool {
        match self.connections.get_mut(&key) {
            Some(poller) => poller.on_ready(shared, now),
            None => self.closing.on_ready(Who::Poller(key), shared).unwrap_or(false),
        }
    }

    /// The next request of a connection, if it has none in hand and one is whole.
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

    /// Has a poll wait on its connection; the number under which the core knows it.
    pub fn wait(&mut self, key: PollerKey, timeout: Duration, now: Duration) -> PollId {
        let poll = PollId(self.next_poll);
        self.next_poll += 1;
        if let Some(poller) = self.connections.get_mut(&key) {
            let give_up_at = now + timeout.min(IDLE_MOST) + REPLACED_AFTER;
            poller.stage = Stage::Waiting { poll, give_up_at };
            self.by_poll.insert(poll, key);
        }
        poll
    }

    /// Who waits for a poll's answer.
    pub fn waits_for(&self, poll: PollId) -> Option<PollerKey> {
        self.by_poll.get(&poll).copied()
    }

    /// Answers the request in hand; the next one may be read.
    pub fn answer(&mut self, key: PollerKey, answer: Bytes, now: Duration) {
        let Some(poller) = self.connections.get_mut(&key) else { return };
        if let Stage::Waiting { poll, .. } = std::mem::replace(&mut poller.stage, Stage::Reading) {
            self.by_poll.remove(&poll);
        }
        if poller.connection.unsent_bytes() == 0 {
            poller.flushed_at = now;
        }
        poller.connection.enqueue(answer);
        poller.since = now;
        poller.has_ended |= poller.connection.flush().is_err();
    }

    /// Says what is wrong and closes the connection in steps; the poll that it had in hand.
    pub fn refuse(
        &mut self,
        key: PollerKey,
        error: &RequestError,
        shared: &mut [u8],
        now: Duration,
    ) -> Option<PollId> {
        let (mut poller, poll) = self.remove(key)?;
        poller.connection.enqueue(http::error_answer(error));
        self.closing.start_close(Who::Poller(key), poller.connection, shared, now);
        poll
    }

    /// Lets a connection go whose poller has left; the poll that it had in hand.
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

    /// Closes what does not move; the polls that nobody waits for any more.
    pub fn tidy(&mut self, shared: &mut [u8], now: Duration) -> Vec<PollId> {
        self.closing.expire(now);
        let stalled = |(key, poller): (&PollerKey, &mut PollerConnection)| Some((*key, poller.stall(now)?));
        let stalled: Vec<_> = self.connections.iter_mut().filter_map(stalled).collect();
        let mut cancelled = Vec::new();
        for (key, stall) in stalled {
            cancelled.extend(match stall {
                Stall::HalfRequest => self.refuse(key, &RequestError::Timeout, shared, now),
                Stall::Idle | Stall::Replaced | Stall::Deaf => self.remove(key).and_then(|(_, poll)| poll),
            });
        }
        cancelled
    }
}

/// Why a connection does not move.
enum Stall {
    HalfRequest,
    Idle,
    Replaced,
    Deaf,
}

impl PollerConnection {
    fn new(connection: Connection<Service>, now: Duration) -> Self {
        Self { connection, stage: Stage::Reading, since: now, flushed: 0, flushed_at: now, has_ended: false }
    }

    fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Reading)
            && self.connection.unparsed_bytes() == 0
            && self.connection.unsent_bytes() == 0
    }

    fn on_ready(&mut self, shared: &mut [u8], now: Duration) -> bool {
        let is_first = self.connection.unparsed_bytes() == 0;
        let reading = match self.connection.flush() {
            Ok(()) => self.connection.read(shared, READ_MOST),
            Err(_) => ReadOutcome::Closed,
        };
        if is_first {
            self.since = now;
        }
        self.has_ended |= reading == ReadOutcome::Closed;
        reading == ReadOutcome::More
    }

    fn stall(&mut self, now: Duration) -> Option<Stall> {
        if self.connection.unsent_bytes() > 0 {
            return self.is_deaf(now).then_some(Stall::Deaf);
        }
        match self.stage {
            Stage::Waiting { give_up_at, .. } => (now >= give_up_at).then_some(Stall::Replaced),
            Stage::Reading if self.connection.unparsed_bytes() > 0 => {
                (now >= self.since + WHOLE_WITHIN).then_some(Stall::HalfRequest)
            }
            Stage::Reading => (now >= self.since + IDLE_MOST).then_some(Stall::Idle),
        }
    }

    fn is_deaf(&mut self, now: Duration) -> bool {
        let flushed = self.connection.written_bytes();
        if flushed != self.flushed {
            (self.flushed, self.flushed_at) = (flushed, now);
        }
        now >= self.flushed_at + TAKEN_WITHIN
    }
}
