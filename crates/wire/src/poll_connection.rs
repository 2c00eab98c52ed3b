//! A connection on which polls are sent and their answers read, one after another.

use crate::protocol::StreamError;
use crate::protocol::changelog_answer::AnswerReader;
use crate::transport::{Connection, ReadOutcome, ReadinessHandler};
use bytes::BytesMut;

/// How an answer is read: by its parts or as a whole. The last argument tells whether the peer has closed the
/// connection.
pub(crate) type ReadAnswer<T> = fn(&mut AnswerReader, &mut BytesMut, bool) -> Result<Option<T>, StreamError>;

/// A connection to a change log or a replica with the answer that is read on it.
pub(crate) struct PollConnection<O: ReadinessHandler> {
    pub connection: Connection<O>,
    reader: AnswerReader,
    /// The peer has closed the connection. The bytes received before may still be a complete answer.
    is_peer_closed: bool,
    /// The error if the connection is lost before an answer is complete.
    lost: StreamError,
}

impl<O: ReadinessHandler> PollConnection<O> {
    /// A connection on which nothing was read yet. `lost` is the error if it is lost before an answer is complete.
    pub fn new(connection: Connection<O>, lost: StreamError) -> Self {
        Self { connection, reader: AnswerReader::default(), is_peer_closed: false, lost }
    }

    /// Reads and writes as much as possible, up to a limit. Returns whether there may be more to read.
    pub fn on_ready(&mut self, read_buffer: &mut [u8], max_bytes: usize) -> bool {
        let outcome = match self.connection.flush() {
            Ok(()) => self.connection.read(read_buffer, max_bytes),
            Err(_) => ReadOutcome::Closed,
        };
        self.is_peer_closed |= outcome == ReadOutcome::Closed;
        outcome == ReadOutcome::More
    }

    /// Applies `read` to the bytes that were read.
    ///
    /// # Errors
    /// The answer is invalid, or the connection is lost before the answer is complete.
    pub fn parse<T>(&mut self, read: ReadAnswer<T>) -> Result<Option<T>, StreamError> {
        let Self { connection, reader, is_peer_closed, lost } = self;
        let parsed = connection.parse(|inbound| read(reader, inbound, *is_peer_closed))?;
        if parsed.is_none() && *is_peer_closed {
            return Err(*lost);
        }
        Ok(parsed)
    }

    pub fn is_peer_closed(&self) -> bool {
        self.is_peer_closed
    }

    /// Whether a part of an answer has arrived.
    pub fn has_begun_answer(&self) -> bool {
        self.reader.has_begun() || self.connection.unparsed_bytes() > 0
    }
}
