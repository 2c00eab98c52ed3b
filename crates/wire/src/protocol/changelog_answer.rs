//! Takes the changes out of an answer of the change log while it arrives. An answer holds all changes since the
//! requested one, so its size has no bound; only that of each change has.

use super::StreamError;
use super::changelog::Changes;
use super::http_body::BodyReader;
use bytes::{Buf, Bytes, BytesMut};

/// Limit of the bytes of one change. The list of 3,200 hosts takes a third of it.
const MAX_CHANGE_BYTES: usize = 2 * 1024 * 1024;
/// Limit of the bytes of an answer that is taken as a whole.
const MAX_WHOLE_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Limit of the bytes of an answer beside its changes.
const MAX_ENVELOPE_BYTES: usize = 4 * 1024;
/// Nesting depth within the list of changes: the answer is an object, and the changes are in an array of it.
const LIST_DEPTH: usize = 2;
const LIST_KEY: &[u8] = b"\"results\"";

/// A part of an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The JSON text of one change.
    Change(Bytes),
    /// The answer is complete.
    End,
}

/// Reads one answer after another.
#[derive(Default)]
pub struct AnswerReader {
    body: BodyReader,
    /// Bytes of the body from the current change on, or else those not scanned yet.
    received: BytesMut,
    /// The number of these that were scanned.
    scanned: usize,
    cursor: JsonCursor,
    is_in_list: bool,
    is_in_change: bool,
    /// The body without the changes.
    envelope: Vec<u8>,
}

/// Nesting at a position of a JSON text.
#[derive(Default)]
struct JsonCursor {
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl JsonCursor {
    fn advance(&mut self, byte: u8) {
        if self.is_in_string {
            let ends_string = byte == b'"' && !self.is_escaped;
            self.is_escaped = byte == b'\\' && !self.is_escaped;
            self.is_in_string = !ends_string;
            return;
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Whether the position is directly within the list of changes, if it is within that list at all.
    fn is_at_list_level(&self) -> bool {
        self.depth == LIST_DEPTH && !self.is_in_string
    }
}

impl AnswerReader {
    /// Whether a part of the current answer has arrived.
    pub fn has_begun(&self) -> bool {
        !self.body.is_new()
    }

    /// The next part of the answer, or `None` until more has arrived in `inbound`.
    ///
    /// # Errors
    /// The answer is not valid HTTP or JSON, or a change exceeds the size limit.
    pub fn next_part(
        &mut self,
        inbound: &mut BytesMut,
        is_peer_closed: bool,
    ) -> Result<Option<AnswerPart>, StreamError> {
        if let Some(change) = self.scan()? {
            return Ok(Some(AnswerPart::Change(change)));
        }
        let is_complete = self.body.read(inbound, &mut self.received, is_peer_closed)?;
        if let Some(change) = self.scan()? {
            return Ok(Some(AnswerPart::Change(change)));
        }
        if !is_complete {
            return Ok(None);
        }
        let envelope = std::mem::take(self).envelope;
        let changes: Result<Changes<'_>, _> = serde_json::from_slice(&envelope);
        changes
            .map(|_| Some(AnswerPart::End))
            .map_err(|_| StreamError("change log answer is not the JSON of a list of changes"))
    }

    /// The body of the next answer as a whole, or `None` until all of it has arrived in `inbound`. An answer is read
    /// either so or by its parts.
    ///
    /// # Errors
    /// The answer is not valid HTTP, or exceeds the size limit.
    pub fn next_whole(
        &mut self,
        inbound: &mut BytesMut,
        is_peer_closed: bool,
    ) -> Result<Option<Bytes>, StreamError> {
        let is_complete = self.body.read(inbound, &mut self.received, is_peer_closed)?;
        if self.received.len() > MAX_WHOLE_ANSWER_BYTES {
            return Err(StreamError(
                "answer exceeds 16 MiB: restart to get a new list of hosts, or publish shorter entries",
            ));
        }
        Ok(is_complete.then(|| std::mem::take(self).received.freeze()))
    }

    /// The next complete change among the received bytes.
    fn scan(&mut self) -> Result<Option<Bytes>, StreamError> {
        while let Some(&byte) = self.received.get(self.scanned) {
            self.scanned += 1;
            if !self.is_in_change {
                self.scan_envelope(byte);
                continue;
            }
            self.cursor.advance(byte);
            if self.cursor.is_at_list_level() {
                self.is_in_change = false;
                let length = std::mem::take(&mut self.scanned);
                return Ok(Some(self.received.split_to(length).freeze()));
            }
        }
        if self.is_in_change && self.scanned > MAX_CHANGE_BYTES {
            return Err(StreamError(
                "a change of the change log exceeds 2 MiB: publish the host list in several changes",
            ));
        }
        if self.envelope.len() > MAX_ENVELOPE_BYTES {
            return Err(StreamError("change log answer holds more than a list of changes"));
        }
        if !self.is_in_change {
            self.received.clear();
            self.scanned = 0;
        }
        Ok(None)
    }

    /// Takes a byte outside of the changes, or the first byte of a change.
    fn scan_envelope(&mut self, byte: u8) {
        let is_at_list_level = self.is_in_list && self.cursor.is_at_list_level();
        if is_at_list_level && byte == b'{' {
            self.received.advance(self.scanned - 1);
            self.scanned = 1;
            self.is_in_change = true;
            return self.cursor.advance(byte);
        }
        if is_at_list_level && (byte == b',' || byte.is_ascii_whitespace()) {
            return;
        }
        let begins_list = byte == b'['
            && !self.cursor.is_in_string
            && self.cursor.depth + 1 == LIST_DEPTH
            && follows_list_key(&self.envelope);
        self.cursor.advance(byte);
        self.is_in_list = begins_list || self.is_in_list && self.cursor.depth >= LIST_DEPTH;
        if self.envelope.len() <= MAX_ENVELOPE_BYTES {
            self.envelope.push(byte);
        }
    }
}

/// Whether the value after this text is that of the list's key.
fn follows_list_key(text: &[u8]) -> bool {
    let key = text.trim_ascii_end().strip_suffix(b":");
    key.is_some_and(|key| key.trim_ascii_end().ends_with(LIST_KEY))
}
