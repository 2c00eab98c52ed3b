//! RESP for hosts: writes commands, reads replies, both as arrays of bulk strings. Implemented here rather than taken
//! from a crate, because lengths have to be checked against a limit before their content is awaited.
//!
//! A reply is found in the bytes without taking them, so that the caller decides in which memory it is kept.

use super::StreamError;
use bytes::{BufMut, Bytes, BytesMut};
use std::fmt::Write;
use std::ops::Range;

/// Limits of the bytes of a reply's id, status, fields and body. The protocol page allows objects of 240,000 bytes.
const MAX_ELEMENT_BYTES: [usize; ELEMENTS] = [ID_DIGITS, 16, 4096, 256 * 1024];
/// Hexadecimal digits of an id.
const ID_DIGITS: usize = 16;
/// Limit of the bytes of one length line.
const MAX_LENGTH_LINE_BYTES: usize = 16;
/// Elements of a reply.
const ELEMENTS: usize = 4;

/// One reply of a host.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub id: Bytes,
    pub status: Bytes,
    pub fields: Bytes,
    pub body: Bytes,
}

impl Reply {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields.split(|&byte| byte == b',').find_map(|field| {
            let (key, value) = field.split_at(field.iter().position(|&byte| byte == b'=')?);
            (key == name.as_bytes()).then_some(&value[1..])
        })
    }
}

/// Reads the length line that starts at `from`, or returns `None` until the line is complete. Returns the length and
/// the position after the line.
fn read_length(bytes: &[u8], from: usize, type_byte: u8) -> Result<Option<(usize, usize)>, StreamError> {
    let line = &bytes[from.min(bytes.len())..];
    if line.first().is_some_and(|&byte| byte != type_byte) {
        return Err(StreamError("RESP reply is not an array of bulk strings"));
    }
    let Some(end) = line.iter().take(MAX_LENGTH_LINE_BYTES).position(|&byte| byte == b'\n') else {
        return if line.len() < MAX_LENGTH_LINE_BYTES {
            Ok(None)
        } else {
            Err(StreamError("RESP length line is not terminated"))
        };
    };
    let digits = line[..end].strip_suffix(b"\r").and_then(|line| line.get(1..)).unwrap_or_default();
    let digits =
        std::str::from_utf8(digits).ok().filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()));
    let length =
        digits.and_then(|digits| digits.parse().ok()).ok_or(StreamError("RESP length is not a number"))?;
    Ok(Some((length, from + end + 1)))
}

/// What stands at the start of the bytes from a host.
#[derive(Debug)]
pub enum Frame {
    Complete(ReplyFrame),
    /// A part of a reply, with the length of the whole once it is known.
    Incomplete {
        length: Option<usize>,
    },
}

/// Where a complete reply and its elements stand.
#[derive(Debug)]
pub struct ReplyFrame {
    elements: [Range<usize>; ELEMENTS],
    length: usize,
}

impl ReplyFrame {
    /// Bytes of the whole reply.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The reply in the bytes that it was found in, or in a copy of them.
    ///
    /// # Errors
    /// The id is invalid.
    pub fn into_reply(self, bytes: &Bytes) -> Result<Reply, StreamError> {
        let [id, status, fields, body] = self.elements.map(|element| bytes.slice(element));
        if id.len() != ID_DIGITS || !id.iter().all(u8::is_ascii_hexdigit) {
            return Err(StreamError("RESP reply has no valid id"));
        }
        Ok(Reply { id, status, fields, body })
    }
}

/// Finds the reply that starts the bytes.
///
/// # Errors
/// The bytes start no valid reply, or one that exceeds a limit.
pub fn read_frame(bytes: &[u8]) -> Result<Frame, StreamError> {
    let unknown = Frame::Incomplete { length: None };
    let Some((elements, mut position)) = read_length(bytes, 0, b'*')? else { return Ok(unknown) };
    if elements != ELEMENTS {
        return Err(StreamError("RESP reply does not have four elements"));
    }
    let mut elements = [const { 0..0 }; ELEMENTS];
    for (index, (element, max_bytes)) in elements.iter_mut().zip(MAX_ELEMENT_BYTES).enumerate() {
        let Some((length, from)) = read_length(bytes, position, b'$')? else { return Ok(unknown) };
        if length > max_bytes {
            return Err(StreamError("RESP element exceeds the size limit"));
        }
        position = from + length + 2;
        if bytes.len() < position {
            let is_last = index == ELEMENTS - 1;
            return Ok(Frame::Incomplete { length: is_last.then_some(position) });
        }
        if &bytes[position - 2..position] != b"\r\n" {
            return Err(StreamError("RESP element is longer than its length says"));
        }
        *element = from..from + length;
    }
    Ok(Frame::Complete(ReplyFrame { elements, length: position }))
}

fn write_element(out: &mut BytesMut, bytes: &[u8]) {
    write!(out, "${}\r\n", bytes.len()).expect("writing to a buffer can't fail");
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}

/// Writes a `serve` command.
pub fn write_serve(out: &mut BytesMut, id: &[u8], fields: &[u8], body: &[u8]) {
    out.put_slice(b"*4\r\n$5\r\nserve\r\n");
    write_element(out, id);
    write_element(out, if fields.is_empty() { b"-" } else { fields });
    write_element(out, body);
}

/// Writes a `cancel` command.
pub fn write_cancel(out: &mut BytesMut, id: &[u8]) {
    out.put_slice(b"*2\r\n$6\r\ncancel\r\n");
    write_element(out, id);
}
