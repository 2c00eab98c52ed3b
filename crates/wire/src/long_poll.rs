//! Long-poll client of a replica: one request at a time on a persistent connection. The caller decides on the query
//! and the timeout. The platform's change log is polled by `change_log_client`, with its own rules for timeouts and
//! retries.

use crate::poll_connection::PollConnection;
use crate::protocol::changelog_answer::AnswerReader;
use crate::protocol::{StreamError, changelog};
use crate::transport::{Connection, EventLoopHandle, ReadinessHandler, ResourceUsage};
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Limit of the bytes read from the replica in one iteration of the event loop.
const MAX_READ_BYTES: usize = 256 * 1024;

/// Long-poll client of one replica.
pub struct LongPollClient<O: ReadinessHandler> {
    address: SocketAddr,
    host: String,
    /// The key under which the handler is notified.
    key: O::Key,
    connection: Option<PollConnection<O>>,
    /// When the outstanding poll times out, if there is one.
    timeout_at: Option<Duration>,
    /// The reason why the outstanding poll has failed.
    failure: Option<StreamError>,
}

impl<O: ReadinessHandler> LongPollClient<O> {
    /// Creates a client that has not polled yet.
    pub fn new(address: SocketAddr, key: O::Key) -> Self {
        Self { address, host: address.to_string(), key, connection: None, timeout_at: None, failure: None }
    }

    /// The address of the replica.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a poll is outstanding.
    pub fn is_pending(&self) -> bool {
        self.timeout_at.is_some()
    }

    /// When [`LongPollClient::take_result`] has a result at the latest: the timeout of the outstanding poll, zero if
    /// the poll has failed, and `Duration::MAX` if none is outstanding.
    pub fn deadline(&self) -> Duration {
        if self.failure.is_some() { Duration::ZERO } else { self.timeout_at.unwrap_or(Duration::MAX) }
    }

    /// Sends a poll on the existing connection or a new one. [`LongPollClient::take_result`] returns its result. A poll
    /// that is still outstanding is dropped without a result.
    pub fn start_poll(
        &mut self,
        query: &str,
        timeout_at: Duration,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
    ) {
        if self.is_pending() {
            self.disconnect();
        }
        self.timeout_at = Some(timeout_at);
        self.failure = None;
        let request = changelog::poll_request_with_query(&self.host, format_args!("{query}"));
        let is_sent = self.connection.as_mut().is_some_and(|PollConnection { connection, .. }| {
            connection.enqueue(request.clone());
            connection.flush().is_ok()
        });
        if !is_sent {
            self.send_on_new_connection(request, event_loop, resource_usage);
        }
    }

    /// Replaces the connection and queues the request on the new one.
    fn send_on_new_connection(
        &mut self,
        request: Bytes,
        event_loop: &EventLoopHandle<O>,
        resource_usage: &Rc<ResourceUsage>,
    ) {
        self.disconnect();
        match Connection::connect(event_loop, self.address, self.key, resource_usage) {
            Ok(mut connection) => {
                connection.enqueue(request);
                self.connection = Some(PollConnection::new(connection, CONNECTION_LOST));
            }
            Err(_) => self.failure = Some(CONNECTION_REFUSED),
        }
    }

    /// Drops the outstanding poll and closes the connection.
    pub fn cancel(&mut self) {
        self.disconnect();
        (self.timeout_at, self.failure) = (None, None);
    }

    /// Reads and writes as much as possible. Returns whether there may be more to read.
    pub fn on_ready(&mut self, read_buffer: &mut [u8]) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        match connection.connection.is_connected() {
            Ok(true) => {}
            Ok(false) => return false,
            Err(_) => {
                self.fail(CONNECTION_REFUSED);
                return false;
            }
        }
        let has_more = connection.on_ready(read_buffer, MAX_READ_BYTES);
        if connection.is_peer_closed() && !self.is_pending() {
            self.disconnect();
        }
        has_more
    }

    /// The result of the outstanding poll, returned once: the body of the answer or the reason of the failure.
    pub fn take_result(&mut self, now: Duration) -> Option<Result<Bytes, StreamError>> {
        let timeout_at = self.timeout_at?;
        let answer = self.next_answer();
        match answer {
            Ok(Some(body)) => {
                self.timeout_at = None;
                if self.connection.as_ref().is_some_and(PollConnection::is_peer_closed) {
                    // The peer closed the connection after its answer, so the next poll needs a new one.
                    self.disconnect();
                }
                Some(Ok(body))
            }
            Ok(None) if now < timeout_at => None,
            Ok(None) => {
                self.cancel();
                Some(Err(ANSWER_TIMED_OUT))
            }
            Err(error) => {
                self.cancel();
                Some(Err(error))
            }
        }
    }

    fn next_answer(&mut self) -> Result<Option<Bytes>, StreamError> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        self.connection.as_mut().ok_or(CONNECTION_LOST)?.parse(AnswerReader::next_whole)
    }

    fn fail(&mut self, error: StreamError) {
        self.disconnect();
        self.failure = self.is_pending().then_some(error);
    }

    fn disconnect(&mut self) {
        self.connection = None;
    }
}

const CONNECTION_REFUSED: StreamError =
    StreamError("the replica refuses connections: check that it runs and that its address is right");
const ANSWER_TIMED_OUT: StreamError = StreamError("the replica did not answer in time");
const CONNECTION_LOST: StreamError = StreamError("connection to the replica lost");
