//! The poll of the change log: one request at a time, at once again after an answer.

use super::{Dispatcher, Who};
use crate::protocol::{Fault, changelog};
use crate::transport::{Accounts, Connection, Hub, Reading};
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long an answer may wait for news: short, for a connection gone silent tells nothing, and what is in the
/// change log counts as told.
const WAIT: Duration = Duration::from_millis(500);
/// After this much more the connection is given up.
const PATIENCE: Duration = Duration::from_millis(250);
/// Pause after a loss or an answer that brought nothing too soon: no flood, and far under any grace on drains.
const AGAIN: Duration = Duration::from_millis(50);

pub struct Feed {
    address: SocketAddr,
    host: String,
    connection: Option<Connection<Dispatcher>>,
    asked: bool,
    asked_at: Duration,
    /// When to give up or to ask again.
    pub due: Duration,
    /// The last event that was taken.
    pub last: u64,
}

impl Feed {
    pub fn new(address: SocketAddr) -> Self {
        let (asked_at, due) = (Duration::ZERO, Duration::ZERO);
        Self { address, host: address.to_string(), connection: None, asked: false, asked_at, due, last: 0 }
    }

    /// Asks if nothing is asked; gives up what is overdue. True: a poll was lost.
    pub fn tend(&mut self, hub: &Hub<Dispatcher>, accounts: &Rc<Accounts>, now: Duration) -> bool {
        let overdue = self.connection.is_some() && self.asked && now >= self.due;
        if overdue {
            self.lose(now);
        }
        if now < self.due || self.asked {
            return overdue;
        }
        if self.connection.is_none() {
            self.connection = Connection::opening(hub, self.address, Who::Feed, accounts).ok();
            if self.connection.is_none() {
                self.lose(now);
                return true;
            }
        }
        if let Some(connection) = &mut self.connection {
            connection.push(changelog::poll(&self.host, self.last, WAIT.as_millis()));
            (self.asked, self.asked_at, self.due) = (true, now, now + WAIT + PATIENCE);
            if matches!(connection.is_up(), Ok(true)) && connection.flush().is_err() {
                self.lose(now);
                return true;
            }
        }
        overdue
    }

    fn lose(&mut self, now: Duration) {
        self.connection = None;
        (self.asked, self.due) = (false, now + AGAIN);
    }

    /// After an answer without news: asks again at once, unless the answer had not waited for any.
    pub fn brought_nothing(&mut self, now: Duration) {
        if now < self.asked_at + WAIT / 2 {
            self.due = now + AGAIN;
        }
    }

    /// Reads and writes what can be; a loss is told.
    pub fn stir(&mut self, shared: &mut [u8], now: Duration) -> Result<Reading, Fault> {
        let Some(connection) = &mut self.connection else { return Ok(Reading::Dry) };
        let reading = match connection.is_up().and_then(|up| connection.flush().map(|()| up)) {
            Ok(true) => connection.read(shared),
            Ok(false) => Reading::Dry,
            Err(_) => Reading::Ended,
        };
        // What came before the end may still be a whole answer.
        if reading == Reading::Ended && connection.unread() == 0 {
            self.lose(now);
            return Err(Fault("the change log's connection was lost"));
        }
        Ok(reading)
    }

    /// The next whole answer.
    pub fn next(&mut self, now: Duration) -> Result<Option<Bytes>, Fault> {
        let Some(connection) = &mut self.connection else { return Ok(None) };
        match connection.parse(changelog::next) {
            Ok(Some(body)) => {
                (self.asked, self.due) = (false, now);
                Ok(Some(body))
            }
            Ok(None) => Ok(None),
            Err(fault) => {
                self.lose(now);
                Err(fault)
            }
        }
    }
}
