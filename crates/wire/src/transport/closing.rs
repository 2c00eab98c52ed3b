//! Lingering close of connections: pending bytes are written, the write side is shut down, and incoming bytes are
//! discarded until the peer closes too or a time limit expires.
//!
//! Closing a socket with unread bytes resets the connection, which destroys what the peer has not read yet. The
//! lingering close prevents this. It costs a descriptor until the peer closes; above the limit the oldest connection
//! is closed immediately.

use super::{Connection, ReadOutcome, ReadinessHandler};
use std::collections::VecDeque;
use std::time::Duration;

/// Time limit for the peer to close. By the protocol page, a request that crosses the close arrives within 50 ms, and a
/// round trip over the slowest network takes a tenth of this limit.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of the bytes discarded in one iteration of the event loop. The rest waits for the next iteration.
const MAX_DISCARD_BYTES: usize = 64 * 1024;

/// Connections in a lingering close, oldest first.
pub struct ClosingConnections<O: ReadinessHandler> {
    list: VecDeque<Entry<O>>,
    max_connections: usize,
}

/// A connection in a lingering close.
struct Entry<O: ReadinessHandler> {
    key: O::Key,
    connection: Connection<O>,
    deadline: Duration,
    /// All pending bytes are written, and the write side is shut down.
    is_half_closed: bool,
}

impl<O: ReadinessHandler> Entry<O> {
    /// Writes and discards as much as possible. Returns whether the close is complete, and whether there may be more
    /// to read.
    fn proceed(&mut self, read_buffer: &mut [u8]) -> (bool, bool) {
        if !self.is_half_closed {
            if self.connection.flush().is_err() {
                return (true, false);
            }
            if self.connection.unsent_bytes() == 0 {
                self.connection.half_close();
                self.is_half_closed = true;
            }
        }
        match self.connection.discard(read_buffer, MAX_DISCARD_BYTES) {
            ReadOutcome::Closed => (true, false),
            ReadOutcome::Drained => (false, false),
            ReadOutcome::More => (false, true),
        }
    }
}

impl<O: ReadinessHandler> ClosingConnections<O>
where
    O::Key: PartialEq,
{
    /// Creates a set that holds at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        Self { list: VecDeque::new(), max_connections }
    }

    /// Starts to close a connection. The handler is still called with `key` when the connection is ready.
    pub fn start_close(
        &mut self,
        key: O::Key,
        connection: Connection<O>,
        read_buffer: &mut [u8],
        now: Duration,
    ) {
        let mut entry = Entry { key, connection, deadline: now + LINGER_TIMEOUT, is_half_closed: false };
        if entry.proceed(read_buffer).0 {
            return;
        }
        self.list.push_back(entry);
        if self.list.len() > self.max_connections {
            self.list.pop_front();
        }
    }

    /// Continues to close the connection registered under `key`. Returns whether there may be more to read, or `None`
    /// if no such connection is being closed.
    pub fn on_ready(&mut self, key: O::Key, read_buffer: &mut [u8]) -> Option<bool> {
        let index = self.list.iter().position(|entry| entry.key == key)?;
        let (is_complete, has_more) = self.list[index].proceed(read_buffer);
        if is_complete {
            self.list.remove(index);
        }
        Some(has_more)
    }

    /// Closes the connections whose time limit has expired.
    pub fn expire(&mut self, now: Duration) {
        while self.list.front().is_some_and(|entry| now >= entry.deadline) {
            self.list.pop_front();
        }
    }

    /// The keys of all connections that are being closed.
    pub fn keys(&self) -> impl Iterator<Item = O::Key> {
        self.list.iter().map(|entry| entry.key)
    }
}
