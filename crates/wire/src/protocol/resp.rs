//! RESP for hosts: writes commands, reads replies, both as arrays of bulk strings. Implemented here rather than taken
//! from a crate, because lengths have to be checked against a limit before their content is awaited.

use super::StreamError;
use bytes::{BufMut, Bytes, BytesMut};
use std::fmt::Write;

/// Bytes of an answer's id, status, fields and body; the protocol page allows objects of 240,000.
const ELEMENT_MOST: [usize; ELEMENTS] = [ID_LONG, 16, 4096, 256 * 1024];
/// Digits of an id.
const ID_LONG: usize = 16;
/// Bytes of one length line.
const LINE_MOST: usize = 16;
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
        self.fields.split(|&b| b == b',').find_map(|field| {
            let (key, value) = field.split_at(field.iter().position(|&b| b == b'=')?);
            (key == name.as_bytes()).then_some(&value[1..])
        })
    }
}

/// Reads a length line; none until it is whole. What comes back is the length and where the line ends.
fn length(bytes: &[u8], from: usize, mark: u8) -> Result<Option<(usize, usize)>, StreamError> {
    let line = &bytes[from.min(bytes.len())..];
    if line.first().is_some_and(|&b| b != mark) {
        return Err(StreamError("a RESP answer that is no array of bulk strings"));
    }
    let Some(end) = line.iter().take(LINE_MOST).position(|&b| b == b'\n') else {
        return if line.len() < LINE_MOST {
            Ok(None)
        } else {
            Err(StreamError("a RESP length that does not end"))
        };
    };
    let digits = line[..end].strip_suffix(b"\r").and_then(|l| l.get(1..)).unwrap_or_default();
    let digits = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let long = digits.and_then(|d| d.parse().ok()).ok_or(StreamError("a RESP length that is no number"))?;
    Ok(Some((long, from + end + 1)))
}

/// Takes the next reply out of `inbound`, or returns `None` until the reply is complete.
pub fn next_reply(inbound: &mut BytesMut) -> Result<Option<Reply>, StreamError> {
    let Some((elements, mut at)) = length(inbound, 0, b'*')? else { return Ok(None) };
    if elements != ELEMENTS {
        return Err(StreamError("a RESP answer of another number of elements"));
    }
    let mut spans = [(0, 0); ELEMENTS];
    for (span, most) in spans.iter_mut().zip(ELEMENT_MOST) {
        let Some((long, from)) = length(inbound, at, b'$')? else { return Ok(None) };
        if long > most {
            return Err(StreamError("a RESP element over the bound"));
        }
        at = from + long + 2;
        if inbound.len() < at {
            inbound.reserve(at - inbound.len());
            return Ok(None);
        }
        if &inbound[at - 2..at] != b"\r\n" {
            return Err(StreamError("a RESP element that runs on"));
        }
        *span = (from, from + long);
    }
    let whole = inbound.split_to(at).freeze();
    let [id, status, fields, body] = spans.map(|(from, to)| whole.slice(from..to));
    if id.len() != ID_LONG || !id.iter().all(u8::is_ascii_hexdigit) {
        return Err(StreamError("a RESP answer under no id"));
    }
    Ok(Some(Reply { id, status, fields, body }))
}

fn element(out: &mut BytesMut, bytes: &[u8]) {
    write!(out, "${}\r\n", bytes.len()).expect("a buffer takes all that is written");
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}

/// Writes a `serve` command.
pub fn write_serve(out: &mut BytesMut, id: &[u8], fields: &[u8], body: &[u8]) {
    out.put_slice(b"*4\r\n$5\r\nserve\r\n");
    element(out, id);
    element(out, if fields.is_empty() { b"-" } else { fields });
    element(out, body);
}

/// Writes a `cancel` command.
pub fn write_cancel(out: &mut BytesMut, id: &[u8]) {
    out.put_slice(b"*2\r\n$6\r\ncancel\r\n");
    element(out, id);
}
