//! Reads the replies of a host from its connection, each into memory of its own size. A reply that waits to be written to a
//! slow client thus keeps nothing of what was read before or after it.

use crate::protocol::StreamError;
use crate::protocol::resp::{self, Frame, Reply};
use crate::transport::{Connection, ReadOutcome, ReadinessHandler};

/// Reads what has arrived, up to the end of a reply that is larger than the read buffer, or else up to about `max_bytes`.
pub fn read_replies<O: ReadinessHandler>(
    connection: &mut Connection<O>,
    read_buffer: &mut [u8],
    max_bytes: usize,
) -> ReadOutcome {
    let mut bytes_left = max_bytes;
    loop {
        let unparsed_before = connection.unparsed_bytes();
        let outcome = connection.read(read_buffer, 1);
        let count = connection.unparsed_bytes() - unparsed_before;
        bytes_left = bytes_left.saturating_sub(count);
        if count == read_buffer.len() && !connection.has_room_reserved() {
            reserve_for_incomplete(connection);
        }
        let may_read_on = connection.has_room_reserved() || connection.unparsed_bytes() < read_buffer.len();
        if outcome != ReadOutcome::More || bytes_left == 0 || !may_read_on {
            return outcome;
        }
    }
}

/// Reserves room for the reply that the unparsed bytes are a part of, if its length is known.
fn reserve_for_incomplete<O: ReadinessHandler>(connection: &mut Connection<O>) {
    // Invalid bytes are reported by `next_reply`.
    if let Ok(Frame::Incomplete { length: Some(length) }) = resp::read_frame(connection.unparsed()) {
        connection.reserve_message(length);
    }
}

/// Takes the next reply, or returns `None` until the reply is complete.
///
/// # Errors
/// The host has sent something else than replies. The connection can no longer be used.
pub fn next_reply<O: ReadinessHandler>(connection: &mut Connection<O>) -> Result<Option<Reply>, StreamError> {
    match resp::read_frame(connection.unparsed())? {
        Frame::Complete(frame) => {
            let bytes = connection.take_message(frame.length());
            frame.into_reply(&bytes).map(Some)
        }
        Frame::Incomplete { length } => {
            if let Some(length) = length {
                connection.reserve_message(length);
            }
            Ok(None)
        }
    }
}
