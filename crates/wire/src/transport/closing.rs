//! Connections that are being closed, in steps: what waits goes out, nothing more is sent, what still comes is read and
//! thrown away until the other side closes too or a bound is up.
//!
//! Guards against a close over unread bytes, which resets a connection, and with it what the other side has not read yet.
//! It hurts by a descriptor for as long as the other side takes; where there are too many, the oldest goes at once.

use super::{Connection, Owner, Reading};
use std::collections::VecDeque;
use std::time::Duration;

/// How long the other side is waited for: a request that crosses the close comes within 50 ms by the protocol page, and
/// a way there and back over the slowest network is a tenth of it.
const LINGERS: Duration = Duration::from_millis(500);
/// Bytes thrown away in one turn; what more there is waits for the next.
const DISCARD_MOST: usize = 256 * 1024;

pub struct Closing<O: Owner> {
    list: VecDeque<Step<O>>,
    most: usize,
}

struct Step<O: Owner> {
    key: O::Key,
    connection: Connection<O>,
    until: Duration,
    /// Nothing more is sent, and the other side has been told.
    half: bool,
}

impl<O: Owner> Step<O> {
    /// Goes on as far as it can; whether it is over, and whether there is more to read.
    fn go_on(&mut self, shared: &mut [u8]) -> (bool, bool) {
        if !self.half {
            if self.connection.flush().is_err() {
                return (true, false);
            }
            if self.connection.waiting() == 0 {
                self.connection.half_close();
                self.half = true;
            }
        }
        match self.connection.discard(shared, DISCARD_MOST) {
            Reading::Ended => (true, false),
            Reading::Dry => (false, false),
            Reading::More => (false, true),
        }
    }
}

impl<O: Owner> Closing<O>
where
    O::Key: PartialEq,
{
    /// At most so many at once.
    pub fn new(most: usize) -> Self {
        Self { list: VecDeque::new(), most }
    }

    /// Begins to close a connection; `key` is what its owner is told of it.
    pub fn begin(&mut self, key: O::Key, connection: Connection<O>, shared: &mut [u8], now: Duration) {
        let mut step = Step { key, connection, until: now + LINGERS, half: false };
        if step.go_on(shared).0 {
            return;
        }
        self.list.push_back(step);
        if self.list.len() > self.most {
            self.list.pop_front();
        }
    }

    /// One of them can go on, by its key; none: no such connection is being closed. True: there is more to read.
    pub fn on_ready(&mut self, key: O::Key, shared: &mut [u8]) -> Option<bool> {
        let at = self.list.iter().position(|step| step.key == key)?;
        let (over, more) = self.list[at].go_on(shared);
        if over {
            self.list.remove(at);
        }
        Some(more)
    }

    /// Ends those whose time is up.
    pub fn expire(&mut self, now: Duration) {
        while self.list.front().is_some_and(|step| now >= step.until) {
            self.list.pop_front();
        }
    }

    pub fn keys(&self) -> impl Iterator<Item = O::Key> {
        self.list.iter().map(|step| step.key)
    }
}
