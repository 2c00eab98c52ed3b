//! Client connections and the responses that are sent on them.

use super::Dispatcher;
use super::client_reads::UnreadInput;
use bytes::Bytes;
use myrtlegauge::interface::GetIndex;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::fastcgi::{Message, Request, RequestReader};
use myrtlegauge_wire::transport::{Connection, Gauge};
use std::collections::VecDeque;
use std::io::Write;
use std::ops::Range;
use std::time::Duration;

/// Memory of the records of a request beside its parameters and body: its place in the queue of requests, its slot among
/// the requests in flight, which is doubled where the slots grow, its timers, and its state in the decision module.
const REQUEST_RECORD_BYTES: usize = 2048;

/// A client's connection.
pub struct Client {
    pub connection: Connection<Dispatcher>,
    pub reader: RequestReader,
    /// Requests that wait for an answer, by their numbers.
    pub open_requests: Vec<(u16, OpenRequest)>,
    /// The connection is closed once no request is open and all output is written.
    pub closes_after_answers: bool,
    /// Further input is discarded, since it can't be used.
    pub ignores_input: bool,
    /// The peer has closed or reset the connection, so its client waits for nothing.
    pub has_ended: bool,
    /// Whether a complete request has been received.
    pub has_sent_request: bool,
    pub accepted_at: Duration,
    /// Since when an incomplete record has been waiting for its remaining bytes.
    pub partial_since: Option<Duration>,
    /// When the socket was last ready to read or write.
    pub last_active_at: Duration,
    /// Answers with a body that are not written completely.
    pub unsent_answers: VecDeque<UnsentAnswer>,
    /// Answers were replaced because the client did not read. Its input is read again once it has read its output.
    pub must_read_output: bool,
    /// How reading stopped before all input was read, if it did.
    pub unread_input: Option<UnreadInput>,
    /// Bytes written when output last made progress, and when that was.
    pub progress_bytes: u64,
    pub write_progress_at: Duration,
}

/// An answer that waits to be written, with the numbers of its messages on the connection.
pub struct UnsentAnswer {
    /// The number of the request.
    pub number: u16,
    pub messages: Range<u64>,
}

/// A request that waits for an answer.
#[derive(Clone, Copy)]
pub struct OpenRequest {
    /// The GET made from it; `None` until the decision module has taken it.
    pub get_index: Option<GetIndex>,
    /// Memory that the request holds.
    pub held_bytes: usize,
}

/// Memory that a request holds until it is answered: its parameters and body, and its records here and in the decision
/// module.
pub fn request_memory(request: &Request) -> usize {
    request.size + REQUEST_RECORD_BYTES
}

impl Client {
    /// Wraps a connection that was accepted at `now`.
    pub fn new(connection: Connection<Dispatcher>, now: Duration) -> Self {
        Self {
            connection,
            reader: RequestReader::default(),
            open_requests: Vec::new(),
            closes_after_answers: false,
            ignores_input: false,
            has_ended: false,
            has_sent_request: false,
            accepted_at: now,
            partial_since: None,
            last_active_at: now,
            unsent_answers: VecDeque::new(),
            must_read_output: false,
            unread_input: None,
            progress_bytes: 0,
            write_progress_at: now,
        }
    }

    /// Whether no request is open and all output is written.
    pub fn is_drained(&self) -> bool {
        self.open_requests.is_empty() && self.connection.unsent_bytes() == 0
    }

    /// Whether the connection is drained and no request or record is partly received.
    pub fn is_idle(&self) -> bool {
        self.is_drained() && self.reader.is_empty() && self.connection.unparsed_bytes() == 0
    }

    /// Whether the connection may be closed to make room: it is idle, or it is drained and never sent a complete
    /// request.
    pub fn is_evictable(&self) -> bool {
        self.is_idle() || self.is_drained() && !self.has_sent_request
    }

    /// Parses the next message. The memory of incomplete requests is counted in `request_bytes`.
    pub fn next_message(
        &mut self,
        request_bytes: &Gauge,
        now: Duration,
    ) -> Result<Option<Message>, StreamError> {
        let (held_before, completed_before) = (self.reader.held_bytes(), self.reader.completed_records());
        let Self { connection, reader, open_requests, .. } = self;
        let next = connection.parse(|inbound| reader.next_message(inbound, open_requests, now));
        request_bytes.subtract(held_before);
        request_bytes.add(self.reader.held_bytes());
        self.partial_since =
            self.partial_since.filter(|_| self.reader.completed_records() == completed_before);
        if self.reader.has_open_record() || self.connection.unparsed_bytes() > 0 {
            self.partial_since.get_or_insert(now);
        }
        next
    }

    /// Memory that the client's requests hold, complete or not, and the output that waits for it.
    pub fn held_bytes(&self) -> usize {
        let open: usize = self.open_requests.iter().map(|(_, request)| request.held_bytes).sum();
        let buffered = self.connection.unparsed_bytes() + self.connection.unsent_memory_bytes();
        open + self.reader.held_bytes() + buffered
    }

    /// Refuses one incomplete request that began before `time` and returns its number.
    pub fn refuse_older_than(&mut self, request_bytes: &Gauge, time: Duration) -> Option<u16> {
        let before = self.reader.held_bytes();
        let refused = self.reader.refuse_older_than(time);
        request_bytes.subtract(before - self.reader.held_bytes());
        refused
    }

    /// Writes pending output, and records whether it made progress.
    pub fn flush(&mut self, now: Duration) {
        self.has_ended |= self.connection.flush().is_err();
        self.record_write_progress(now);
    }

    /// Records whether output has made progress since the last time. Returns false if some waits and it has made none.
    pub fn record_write_progress(&mut self, now: Duration) -> bool {
        let written_bytes = self.connection.written_bytes();
        let is_drained = self.connection.unsent_bytes() == 0;
        let has_progress = self.progress_bytes != written_bytes || is_drained;
        if has_progress {
            (self.progress_bytes, self.write_progress_at) = (written_bytes, now);
            self.must_read_output &= !is_drained;
        }
        has_progress
    }

    /// Records an answer whose messages were queued, and forgets those that were written.
    pub fn record_unsent_answer(&mut self, answer: UnsentAnswer) {
        let Self { unsent_answers, connection, .. } = self;
        while unsent_answers.pop_front_if(|answer| connection.is_written(answer.messages.end - 1)).is_some() {
        }
        unsent_answers.push_back(answer);
    }

    /// Removes from the queue the answers of which no byte was written, and returns the numbers of their requests.
    pub fn cancel_unsent_answers(&mut self) -> Vec<u16> {
        let Self { unsent_answers, connection, .. } = self;
        let mut cancelled = Vec::new();
        unsent_answers.retain(|UnsentAnswer { number, messages }| {
            let is_cancelled = connection.cancel_unsent(messages.start);
            if is_cancelled {
                (messages.start + 1..messages.end).for_each(|message| _ = connection.cancel_unsent(message));
                cancelled.push(*number);
            }
            !is_cancelled
        });
        cancelled
    }

    /// Ends a request; `None` if it has ended before.
    pub fn close_request(&mut self, number: u16) -> Option<OpenRequest> {
        let position = self.open_requests.iter().position(|&(open, _)| open == number)?;
        Some(self.open_requests.swap_remove(position).1)
    }
}

/// A response to a client.
pub enum ClientResponse {
    Returned(Bytes),
    /// The version that the client holds is current.
    NotModified,
    Shed(Option<Duration>),
    Errored,
    /// The request can't be used.
    Unusable,
    /// Health check: whether the dispatcher is ready.
    Healthy(bool),
}

impl ClientResponse {
    /// Writes the response's header fields.
    pub fn write_head(&self, output: &mut Vec<u8>) {
        output.clear();
        let written = match self {
            ClientResponse::Returned(body) => {
                let length = body.len();
                write!(
                    output,
                    "Status: 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n"
                )
            }
            ClientResponse::NotModified => {
                write!(output, "Status: 200 OK\r\nX-Valid: 1\r\nContent-Length: 0\r\n")
            }
            ClientResponse::Shed(None) => write!(output, "Status: 503 Service Unavailable\r\n"),
            ClientResponse::Shed(Some(wait)) => {
                write!(
                    output,
                    "Status: 503 Service Unavailable\r\nBack-Off-Ms: {}\r\n",
                    wait.as_millis().max(1)
                )
            }
            ClientResponse::Errored => write!(output, "Status: 502 Bad Gateway\r\n"),
            ClientResponse::Unusable => write!(output, "Status: 400 Bad Request\r\n"),
            ClientResponse::Healthy(true) => write!(output, "Status: 200 OK\r\nContent-Length: 0\r\n"),
            ClientResponse::Healthy(false) => write!(output, "Status: 503 Service Unavailable\r\n"),
        };
        written.and_then(|()| output.write_all(b"\r\n")).expect("writing to a vector does not fail");
    }
}
