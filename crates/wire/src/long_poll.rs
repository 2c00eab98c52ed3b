//! Long-poll client of a replica: one request at a time on a persistent connection. The caller decides on the query and
//! the timeout. The platform's change log is polled by `change_log_client`, under rules of its own.

use crate::protocol::{StreamError, changelog};
use crate::transport::{Connection, EventLoopHandle, ReadOutcome, ReadinessHandler, ResourceUsage};
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Bytes read from the replica in one turn.
const READ_MOST: usize = 256 * 1024;

/// Long-poll client of one replica.
pub struct LongPollClient<O: ReadinessHandler> {
    address: SocketAddr,
    host: String,
    /// How the owner knows that it was ready.
    key: O::Key,
    connection: Option<Connection<O>>,
    /// Until when an answer is waited for, while one is asked for.
    give_up_at: Option<Duration>,
    /// The other side has closed; what came before may still be a whole answer.
    has_ended: bool,
    /// Why the poll that is open can't be answered any more.
    failure: Option<StreamError>,
}

impl<O: ReadinessHandler> LongPollClient<O> {
    /// Creates a client that has not polled yet.
    pub fn new(address: SocketAddr, key: O::Key) -> Self {
        Self {
            address,
            host: address.to_string(),
            key,
            connection: None,
            give_up_at: None,
            has_ended: false,
            failure: None,
        }
    }

    /// The address of the replica.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a poll is outstanding.
    pub fn is_pending(&self) -> bool {
        self.give_up_at.is_some()
    }

    /// When [`LongPollClient::take_result`] has a result at the latest: the timeout of the outstanding poll, zero if the
    /// poll has failed, and `Duration::MAX` if none is outstanding.
    pub fn deadline(&self) -> Duration {
        if self.failure.is_some() { Duration::ZERO } else { self.give_up_at.unwrap_or(Duration::MAX) }
    }

    /// Sends a poll on the existing connection or a new one. [`LongPollClient::take_result`] returns its result. A poll
    /// that is still outstanding is dropped without a result.
    pub fn start_poll(
        &mut self,
        query: &str,
        give_up_at: Duration,
        hub: &EventLoopHandle<O>,
        accounts: &Rc<ResourceUsage>,
    ) {
        if self.is_pending() {
            self.disconnect();
        }
        self.give_up_at = Some(give_up_at);
        self.failure = None;
        let request = changelog::poll_request_with_query(&self.host, format_args!("{query}"));
        let is_sent = self.connection.as_mut().is_some_and(|connection| {
            connection.enqueue(request.clone());
            connection.flush().is_ok()
        });
        if !is_sent {
            self.ask_anew(request, hub, accounts);
        }
    }

    fn ask_anew(&mut self, request: Bytes, hub: &EventLoopHandle<O>, accounts: &Rc<ResourceUsage>) {
        self.disconnect();
        match Connection::connect(hub, self.address, self.key, accounts) {
            Ok(mut connection) => {
                connection.enqueue(request);
                self.connection = Some(connection);
            }
            Err(_) => self.failure = Some(REFUSED),
        }
    }

    /// Drops the outstanding poll and closes the connection.
    pub fn cancel(&mut self) {
        self.disconnect();
        (self.give_up_at, self.failure) = (None, None);
    }

    /// Reads and writes as much as possible. Returns whether there may be more to read.
    pub fn on_ready(&mut self, shared: &mut [u8]) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        match connection.is_connected() {
            Ok(true) => {}
            Ok(false) => return false,
            Err(_) => {
                self.fail(REFUSED);
                return false;
            }
        }
        let reading = match connection.flush() {
            Ok(()) => connection.read(shared, READ_MOST),
            Err(_) => ReadOutcome::Closed,
        };
        self.has_ended |= reading == ReadOutcome::Closed;
        if self.has_ended && !self.is_pending() {
            self.disconnect();
        }
        reading == ReadOutcome::More
    }

    /// The result of the outstanding poll, returned once: the body of the answer or the reason of the failure.
    pub fn take_result(&mut self, now: Duration) -> Option<Result<Bytes, StreamError>> {
        let give_up_at = self.give_up_at?;
        let answer = self.answer();
        match answer {
            Ok(Some(body)) => {
                self.give_up_at = None;
                if self.has_ended {
                    // The next poll must not go out on what has closed behind its answer.
                    self.disconnect();
                }
                Some(Ok(body))
            }
            Ok(None) if now < give_up_at => None,
            Ok(None) => {
                self.cancel();
                Some(Err(SILENT))
            }
            Err(fault) => {
                self.cancel();
                Some(Err(fault))
            }
        }
    }

    fn answer(&mut self) -> Result<Option<Bytes>, StreamError> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        let Some(connection) = &mut self.connection else { return Err(LOST) };
        let body = connection.parse(changelog::next_answer)?;
        if body.is_none() && self.has_ended { Err(LOST) } else { Ok(body) }
    }

    fn fail(&mut self, fault: StreamError) {
        self.disconnect();
        self.failure = self.is_pending().then_some(fault);
    }

    fn disconnect(&mut self) {
        self.connection = None;
        self.has_ended = false;
    }
}

const REFUSED: StreamError =
    StreamError("the replica refuses connections: look whether it runs, and its address");
const SILENT: StreamError = StreamError("the replica did not answer in time");
const LOST: StreamError = StreamError("the connection to the replica was lost");
