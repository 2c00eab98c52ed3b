//! Connections of clients, and the answers that go out on them.

use super::Dispatcher;
use bytes::Bytes;
use myrtlegauge::interface::GetIndex;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::fastcgi::{Message, RequestReader};
use myrtlegauge_wire::transport::{Connection, Gauge};
use std::io::Write;
use std::time::Duration;

pub struct Client {
    pub connection: Connection<Dispatcher>,
    pub reader: RequestReader,
    /// Requests that are owed an answer, by their numbers.
    pub open: Vec<(u16, Owed)>,
    /// To be closed once nothing is open and all is written.
    pub last: bool,
    /// Nothing more is read: what came can't be used.
    pub reads_no_further: bool,
    /// The other side has closed or broken it: its client waits for nothing.
    pub ended: bool,
    /// A whole request has come.
    pub asked: bool,
    pub since: Duration,
    /// Since when a part of a record waits for its rest.
    pub part_since: Option<Duration>,
    /// When it last came in or went out.
    pub moved_at: Duration,
    /// How much of its answers had gone out when some last did, and when that was.
    pub flushed: u64,
    pub flushed_at: Duration,
}

/// A request that is owed an answer.
#[derive(Clone, Copy)]
pub struct Owed {
    /// The GET it is; none until the module has taken it.
    pub place: Option<GetIndex>,
    /// Bytes that it holds.
    pub long: usize,
}

impl Client {
    pub fn new(connection: Connection<Dispatcher>, now: Duration) -> Self {
        Self {
            connection,
            reader: RequestReader::default(),
            open: Vec::new(),
            last: false,
            reads_no_further: false,
            ended: false,
            asked: false,
            since: now,
            part_since: None,
            moved_at: now,
            flushed: 0,
            flushed_at: now,
        }
    }

    pub fn quiet(&self) -> bool {
        self.open.is_empty() && self.connection.unsent_bytes() == 0
    }

    /// Quiet, and with no request on its way.
    pub fn rests(&self) -> bool {
        self.quiet() && self.reader.is_empty() && self.connection.unparsed_bytes() == 0
    }

    /// At rest; or never heard of but for bytes that made no request.
    pub fn idle(&self) -> bool {
        self.rests() || self.quiet() && !self.asked
    }

    /// The next message of what came; requests that are not yet whole are counted as held.
    pub fn next(&mut self, requests: &Gauge, now: Duration) -> Result<Option<Message>, StreamError> {
        let (before, unread) = (self.reader.buffered_bytes(), self.connection.unparsed_bytes());
        let Self { connection, reader, open, .. } = self;
        let next = connection.parse(|inbound| reader.next_message(inbound, open, now));
        requests.add(self.reader.buffered_bytes());
        requests.subtract(before);
        self.part_since = self.part_since.filter(|_| self.connection.unparsed_bytes() == unread);
        if self.connection.unparsed_bytes() > 0 {
            self.part_since.get_or_insert(now);
        }
        next
    }

    /// Bytes that its requests hold here, whole or not.
    pub fn holds(&self) -> usize {
        let open: usize = self.open.iter().map(|(_, owed)| owed.long).sum();
        open + self.reader.buffered_bytes() + self.connection.unparsed_bytes()
    }

    /// A request that was begun before `then` and is not yet whole; it is refused.
    pub fn refuse_older(&mut self, requests: &Gauge, then: Duration) -> Option<u16> {
        let before = self.reader.buffered_bytes();
        let refused = self.reader.refuse_older_than(then);
        requests.subtract(before - self.reader.buffered_bytes());
        refused
    }

    /// The request is over; none if it was before.
    pub fn close(&mut self, number: u16) -> Option<Owed> {
        let at = self.open.iter().position(|&(open, _)| open == number)?;
        Some(self.open.swap_remove(at).1)
    }
}

/// The answers that there are.
pub enum Answer {
    Returned(Bytes),
    /// The copy that the client holds is the one.
    NotModified,
    Shed(Option<Duration>),
    Errored,
    /// What was asked could not be used.
    Unusable,
    Healthy(bool),
}

impl Answer {
    /// Writes its head.
    pub fn head(&self, out: &mut Vec<u8>) {
        out.clear();
        let written = match self {
            Answer::Returned(body) => {
                let long = body.len();
                write!(
                    out,
                    "Status: 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {long}\r\n"
                )
            }
            Answer::NotModified => write!(out, "Status: 200 OK\r\nX-Valid: 1\r\nContent-Length: 0\r\n"),
            Answer::Shed(None) => write!(out, "Status: 503 Service Unavailable\r\n"),
            Answer::Shed(Some(wait)) => {
                write!(out, "Status: 503 Service Unavailable\r\nBack-Off-Ms: {}\r\n", wait.as_millis().max(1))
            }
            Answer::Errored => write!(out, "Status: 502 Bad Gateway\r\n"),
            Answer::Unusable => write!(out, "Status: 400 Bad Request\r\n"),
            Answer::Healthy(true) => write!(out, "Status: 200 OK\r\nContent-Length: 0\r\n"),
            Answer::Healthy(false) => write!(out, "Status: 503 Service Unavailable\r\n"),
        };
        written.and_then(|()| out.write_all(b"\r\n")).expect("a vector takes all that is written");
    }
}
