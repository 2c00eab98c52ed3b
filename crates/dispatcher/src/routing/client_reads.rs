//! Reading from clients: how much of one client's input is taken in one iteration of the event loop, when reading pauses,
//! and which clients wait when many send without a pause.
//!
//! Input is parsed as it is read, in pieces, so that what is buffered depends neither on the length of a record nor on how
//! many clients write at once.

use super::clients::{Client, request_memory};
use super::proxy::Proxy;
use super::{ConnectionKey, EventSource};
use myrtlegauge_wire::protocol::fastcgi::Request;
use myrtlegauge_wire::transport::ReadOutcome;
use std::time::{Duration, Instant};

/// Bytes read in one iteration from a client, since a client may send without limit.
pub const MAX_CLIENT_READ_BYTES: usize = 64 * 1024;
/// Messages taken in one iteration from a client: as many requests as a connection may have open, and an abort of each.
pub const MAX_CLIENT_MESSAGES: u32 = 64;
/// Bounds of the piece in which a client's input is read.
const MIN_PIECE_BYTES: usize = 2 * 1024;
const MAX_PIECE_BYTES: usize = 16 * 1024;
/// Fraction of the buffer memory that the pieces of all clients may take together.
const PIECES_FRACTION: f64 = 0.25;
/// Time in one iteration for clients that had unread input left in the iteration before. All others are read first.
const BACKLOG_TIME: Duration = Duration::from_millis(1);
/// Bytes read from a client of the backlog in one iteration. Most of such input is discarded, and it may end with a close.
const MAX_BACKLOG_READ_BYTES: usize = 512 * 1024;
/// How long a request waits while its client has more input to read, which may hold its abort or end with a close. After
/// that it is refused: its client sends more than is read of it in each iteration.
const MAX_DEFERRAL: Duration = Duration::from_millis(250);
/// Time in one iteration for taking requests, one of each client in turn, since each costs a decision and a write.
const TAKING_TIME: Duration = Duration::from_millis(2);

/// Bytes read from a client at once, so that the pieces of `max_clients` clients fit in their part of the memory.
pub fn piece_bytes(max_buffered_bytes: usize, max_clients: usize) -> usize {
    let bytes = max_buffered_bytes as f64 * PIECES_FRACTION / max_clients.max(1) as f64;
    (bytes as usize).clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES)
}

/// How reading from a client stopped before all of its input was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// At a limit of one iteration; the rest is read in the next ones.
    OverLimit,
    /// Until the client reads what was written to it.
    Paused,
}

/// How far the requests that wait were taken in one iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taking {
    /// None was taken yet.
    NotStarted,
    Since(Instant),
    /// All were taken that may be taken in this iteration.
    Ended,
    /// The time is over, and further requests wait for the next iteration.
    OutOfTime,
}

impl Taking {
    /// Whether another request may be taken now.
    fn may_take(&mut self) -> bool {
        match self {
            Self::NotStarted => {
                *self = Self::Since(Instant::now());
                true
            }
            Self::Since(start) => start.elapsed() < TAKING_TIME,
            Self::Ended | Self::OutOfTime => false,
        }
    }

    /// Whether taking has ended in this iteration.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Ended | Self::OutOfTime)
    }
}

impl Proxy {
    /// Writes pending output to a client and reads its input, up to about `max_bytes`. Returns whether there is more to
    /// read.
    pub fn on_client_ready(&mut self, key: ConnectionKey, max_bytes: usize) -> bool {
        let Self { clients, read_buffer, now, closing, .. } = self;
        let Some(client) = clients.get_mut(key) else {
            return closing.on_ready(EventSource::Client(key), read_buffer).unwrap_or(false);
        };
        client.flush(*now);
        client.last_active_at = *now;
        self.read_client(key, max_bytes)
    }

    /// Reads and parses a client's input up to the limits of one iteration. Returns whether there is more to read.
    ///
    /// Input is also read while the memory for requests is full, since it may hold aborts or the end of the connection.
    pub fn read_client(&mut self, key: ConnectionKey, max_bytes: usize) -> bool {
        let (mut messages_left, mut bytes_left) = (MAX_CLIENT_MESSAGES, max_bytes);
        loop {
            self.parse_client(key, &mut messages_left);
            let is_over_limit = messages_left == 0 || bytes_left == 0;
            let max_unsent_bytes = self.max_unsent_bytes();
            let Some(client) = self.clients.get_mut(key) else { return false };
            client.unread_input = match () {
                () if client.is_over_unsent(max_unsent_bytes) => Some(UnreadInput::Paused),
                () if is_over_limit => Some(UnreadInput::OverLimit),
                () => None,
            };
            if let Some(unread) = client.unread_input {
                return !self.drop_if_closed(key) && unread == UnreadInput::OverLimit;
            }
            if client.has_ended {
                self.drop_client(key);
                return false;
            }
            let unparsed_before = client.connection.unparsed_bytes();
            let piece = &mut self.read_buffer[..self.client_piece_bytes];
            match client.connection.read(piece, 1) {
                ReadOutcome::Drained => return false,
                ReadOutcome::Closed => client.has_ended = true,
                ReadOutcome::More => {
                    let count = client.connection.unparsed_bytes() - unparsed_before;
                    bytes_left = bytes_left.saturating_sub(count);
                }
            }
        }
    }

    /// Drops a client with unread input if it has closed its connection: it waits for nothing, and neither its requests
    /// nor the rest of its input are taken. Returns whether it was dropped.
    fn drop_if_closed(&mut self, key: ConnectionKey) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return false };
        client.has_ended |= client.connection.has_peer_closed();
        let has_ended = client.has_ended;
        if has_ended {
            self.drop_client(key);
        }
        has_ended
    }

    /// Whether a source is read after all others: a client with unread input from an earlier iteration, or a connection
    /// in a lingering close, whose input is discarded.
    pub fn is_backlogged(&mut self, source: EventSource) -> bool {
        let EventSource::Client(key) = source else { return false };
        self.clients.get_mut(key).is_none_or(|client| client.has_unread_input())
    }

    /// Reads the sources of the backlog in turn until the time for them is over. The rest comes first in the next
    /// iteration.
    ///
    /// Clients whose complete requests wait for the rest of their input go first.
    pub fn read_backlog(&mut self, mut backlog: Vec<EventSource>) {
        let start = Instant::now();
        let mut with_more = Vec::new();
        let queued_requests = &self.queued_requests;
        backlog.sort_by_key(|source| match source {
            EventSource::Client(key) => !queued_requests.has_requests_of(*key),
            _ => true,
        });
        for source in backlog {
            let EventSource::Client(key) = source else { continue };
            if start.elapsed() >= BACKLOG_TIME {
                if !self.drop_if_closed(key) {
                    self.ready.push(source);
                }
            } else if self.on_client_ready(key, MAX_BACKLOG_READ_BYTES) {
                with_more.push(source);
            }
        }
        with_more.into_iter().for_each(|source| self.ready.push(source));
    }

    /// The next request to take in this iteration. A request waits while its client has more input to read, and is refused
    /// if that takes too long.
    pub fn next_request(&mut self) -> Option<(ConnectionKey, Request)> {
        while self.taking.may_take() {
            let Self { queued_requests, clients, now, .. } = self;
            let next = queued_requests.pop(|key, queued| {
                let has_unread_input = clients.get_mut(key).is_some_and(|client| client.has_unread_input());
                !has_unread_input || *now >= queued.received_at + MAX_DEFERRAL
            });
            let Some((key, request)) = next else {
                // Those that are left are deferred.
                self.taking = Taking::Ended;
                return None;
            };
            if !self.clients.get_mut(key).is_some_and(|client| client.has_unread_input()) {
                return Some((key, request));
            }
            self.refuse_queued(key, &request);
        }
        if !self.queued_requests.is_empty() {
            self.taking = Taking::OutOfTime;
        }
        None
    }

    /// Refuses a request that waits to be taken.
    fn refuse_queued(&mut self, key: ConnectionKey, request: &Request) {
        self.resource_usage.request_bytes.subtract(request_memory(request));
        self.clients.get_mut(key).and_then(|client| client.close_request(request.number));
        self.refuse_as_overloaded(key, request.number);
    }
}

impl Client {
    /// Whether reading stopped before all input was read.
    pub fn has_unread_input(&self) -> bool {
        self.unread_input.is_some()
    }

    /// Whether the client has to read its output before its input is read: more than `max_bytes` waits for it, or answers
    /// were replaced.
    pub fn is_over_unsent(&self, max_bytes: usize) -> bool {
        let unsent_bytes = self.connection.unsent_memory_bytes();
        unsent_bytes > max_bytes || self.must_read_output && unsent_bytes > 0
    }
}
