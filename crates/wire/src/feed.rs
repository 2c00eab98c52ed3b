//! The poll of the change log: one request at a time, at once again after an answer.

use crate::protocol::{Fault, changelog};
use crate::transport::{Accounts, Connection, Hub, Owner, Reading};
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

pub struct Feed<O: Owner> {
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
    /// When to give up or to ask again.
    pub due: Duration,
    /// The other side has closed; what came before may still be a whole answer.
    ended: bool,
    /// The last event that was taken.
    pub last: u64,
    /// Each new connection asks for the last event once more.
    overlaps: bool,
    /// Nothing was asked on this connection yet.
    is_new: bool,
    /// An event that was refused once, because those before it were missing.
    beyond: u64,
    /// The next poll is answered at once: what is known has to be whole before it is used.
    hurries: bool,
}

/// What an event's number says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Taken before.
    Known,
    Next,
    /// Those after this one are missing, and are asked for once more.
    Missing(u64),
    /// Those after this one can't be had: it is taken all the same.
    Beyond(u64),
}

impl<O: Owner> Feed<O> {
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
            due: Duration::ZERO,
            ended: false,
            last: 0,
            overlaps: false,
            is_new: false,
            beyond: 0,
            hurries: true,
        }
    }

    /// Has each new connection ask for the last event once more, so that its owner can tell by it a change log that began
    /// anew behind a lost connection and has as many events again.
    pub fn overlapping(mut self) -> Self {
        self.overlaps = true;
        self
    }

    /// Asks at another address from now on, at once; the numbers go on.
    pub fn follow(&mut self, address: SocketAddr, now: Duration) {
        (self.address, self.host) = (address, address.to_string());
        self.lose(now);
        self.due = now;
    }

    /// What an event's number says of it; one that is to be taken counts as taken.
    pub fn step(&mut self, number: u64, now: Duration) -> Step {
        let last = self.last;
        if number <= last {
            return Step::Known;
        }
        let gap = number != last + 1;
        if gap && !self.takes_beyond(number, now) {
            return Step::Missing(last);
        }
        self.last = number;
        if gap { Step::Beyond(last) } else { Step::Next }
    }

    /// The change log began anew: it is asked for all, at once.
    pub fn begin_anew(&mut self, now: Duration) {
        self.last = 0;
        self.lose(now);
        self.due = now;
    }

    /// Whether an event that others should come before is taken: at the start. Later not at first, for those are
    /// asked for again on a new connection; then it is, for the change log no longer has them.
    fn takes_beyond(&mut self, number: u64, now: Duration) -> bool {
        let again = self.connection.is_none() || std::mem::replace(&mut self.beyond, number) == number;
        if !again {
            self.lose(now);
        }
        again
    }

    /// Asks if nothing is asked; gives up what is overdue. True: a poll was lost.
    pub fn tend(&mut self, hub: &Hub<O>, accounts: &Rc<Accounts>, now: Duration) -> bool {
        let overdue = now >= self.due && (self.asked || !self.dials.is_empty());
        if self.asked && overdue {
            let part = self.connection.as_ref().is_some_and(|connection| connection.unread() > 0);
            self.patience = if part { (self.patience * 2).min(PATIENCE_MOST) } else { PATIENCE };
            self.lose(now);
        }
        if now < self.due || self.asked {
            return overdue;
        }
        let Some(connection) = &mut self.connection else { return self.dial(hub, accounts, now) || overdue };
        let wait = if std::mem::take(&mut self.hurries) { AT_ONCE } else { WAIT };
        let since = self.last.saturating_sub(u64::from(std::mem::take(&mut self.is_new) && self.overlaps));
        connection.push(changelog::poll(&self.host, since, wait.as_millis()));
        (self.asked, self.asked_at, self.due) = (true, now, now + WAIT + self.patience);
        if connection.flush().is_err() {
            self.lose(now);
            return true;
        }
        overdue
    }

    /// Tries a connection beside those that have not come up yet. True: none can be tried.
    ///
    /// Guards against a way on which connections come up later than a silent one is given up, where each would be given up
    /// in turn; it hurts by a few descriptors while the change log is down.
    fn dial(&mut self, hub: &Hub<O>, accounts: &Rc<Accounts>, now: Duration) -> bool {
        self.dials.retain(|&(at, _)| now < at + DIAL_MOST);
        match Connection::opening(hub, self.address, self.key, accounts) {
            Ok(dial) => {
                self.dials.push_back((now, dial));
                self.due = now + DIAL_AGAIN;
                false
            }
            Err(_) => {
                self.due = now + AGAIN;
                true
            }
        }
    }

    /// When the poll that is out or was answered last was asked.
    pub fn asked_at(&self) -> Duration {
        self.asked_at
    }

    /// Asks for an answer at once, after what may have come meanwhile: a poll that is out is given its patience anew.
    pub fn hurry(&mut self, now: Duration) {
        self.hurries = true;
        self.due = if self.asked { now + PATIENCE } else { now };
    }

    pub fn lose(&mut self, now: Duration) {
        self.connection = None;
        self.dials.clear();
        self.refused = false;
        (self.asked, self.ended, self.due) = (false, false, now + AGAIN);
    }

    /// After an answer without news: asks again at once, unless the answer had not waited for any.
    pub fn brought_nothing(&mut self, now: Duration) {
        if now < self.asked_at + WAIT / 2 {
            self.due = now + AGAIN;
        }
    }

    /// Reads and writes what can be; true: there is more to read.
    pub fn on_ready(&mut self, shared: &mut [u8], now: Duration) -> bool {
        self.look_at_dials(now);
        let Some(connection) = &mut self.connection else { return false };
        let reading = match connection.flush() {
            Ok(()) => connection.read(shared, READ_MOST),
            Err(_) => Reading::Ended,
        };
        self.ended |= reading == Reading::Ended;
        reading == Reading::More
    }

    /// The first that has come up is the connection; the others are let go.
    fn look_at_dials(&mut self, now: Duration) {
        let before = self.dials.len();
        self.dials.retain_mut(|(_, dial)| dial.is_up().is_ok());
        self.refused |= before > 0 && self.dials.is_empty();
        let up = self.dials.iter_mut().position(|(_, dial)| matches!(dial.is_up(), Ok(true)));
        if let Some((_, dial)) = up.and_then(|at| self.dials.remove(at)) {
            self.connection = Some(dial);
            self.dials.clear();
            (self.is_new, self.due) = (true, now);
        }
    }

    /// The next whole answer; after a fault the connection is of no further use.
    pub fn next(&mut self, now: Duration) -> Result<Option<Bytes>, Fault> {
        let Some(connection) = &mut self.connection else {
            return if self.refused { Err(Fault("the change log can't be connected to")) } else { Ok(None) };
        };
        let body = connection.parse(changelog::next)?;
        if body.is_some() {
            (self.asked, self.due, self.patience) = (false, now, PATIENCE);
        } else if self.ended {
            return Err(Fault("the change log's connection was lost"));
        }
        Ok(body)
    }
}
