//! Lingering close of connections: pending bytes are written, the write side is shut down, and incoming bytes are
//! discarded until the peer closes too or a time limit expires.
//!
//! Closing a socket with unread bytes resets the connection, which destroys what the peer has not read yet. The lingering
//! close prevents this. It costs a descriptor until the peer closes; above the limit the oldest connection is closed
//! immediately.

use super::{Connection, ReadOutcome, ReadinessHandler};
use std::collections::VecDeque;
use std::time::Duration;

/// How long the other side is waited for: a request that crosses the close comes within 50 ms by the protocol page, and
/// a way there and back over the slowest network is a tenth of it.
const LINGERS: Duration = Duration::from_millis(500);
/// Bytes thrown away in one turn; what more there is waits for the next.
const DISCARD_MOST: usize = 256 * 1024;

/// Connections in a lingering close, oldest first.
pub struct ClosingConnections<O: ReadinessHandler> {
    list: VecDeque<Step<O>>,
    most: usize,
}

struct Step<O: ReadinessHandler> {
    key: O::Key,
    connection: Connection<O>,
    until: Duration,
    /// Nothing more is sent, and the other side has been told.
    half: bool,
}

impl<O: ReadinessHandler> Step<O> {
    /// Goes on as far as it can; whether it is over, and whether there is more to read.
    fn go_on(&mut self, shared: &mut [u8]) -> (bool, bool) {
        if !self.half {
            if self.connection.flush().is_err() {
                return (true, false);
            }
            if self.connection.unsent_bytes() == 0 {
                self.connection.half_close();
                self.half = true;
            }
        }
        match self.connection.discard(shared, DISCARD_MOST) {
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
    /// Creates a set that holds at most `most` connections.
    pub fn new(most: usize) -> Self {
        Self { list: VecDeque::new(), most }
    }

    /// Starts to close a connection. The handler is still called with `key` when the connection is ready.
    pub fn start_close(&mut self, key: O::Key, connection: Connection<O>, shared: &mut [u8], now: Duration) {
        let mut step = Step { key, connection, until: now + LINGERS, half: false };
        if step.go_on(shared).0 {
            return;
        }
        self.list.push_back(step);
        if self.list.len() > self.most {
            self.list.pop_front();
        }
    }

    /// Continues to close the connection registered under `key`. Returns whether there may be more to read, or `None` if
    /// no such connection is being closed.
    pub fn on_ready(&mut self, key: O::Key, shared: &mut [u8]) -> Option<bool> {
        let at = self.list.iter().position(|step| step.key == key)?;
        let (over, more) = self.list[at].go_on(shared);
        if over {
            self.list.remove(at);
        }
        Some(more)
    }

    /// Closes the connections whose time limit has expired.
    pub fn expire(&mut self, now: Duration) {
        while self.list.front().is_some_and(|step| now >= step.until) {
            self.list.pop_front();
        }
    }

    /// The keys of all connections that are being closed.
    pub fn keys(&self) -> impl Iterator<Item = O::Key> {
        self.list.iter().map(|step| step.key)
    }
}
