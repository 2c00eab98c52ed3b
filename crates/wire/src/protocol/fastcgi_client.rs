//! FastCGI 1.0 on the client side: writes requests, reads responses. No I/O.

use super::StreamError;
use super::fastcgi::{
    self, ABORT_REQUEST, BEGIN_REQUEST, COMPLETE, END_REQUEST, KEEP_CONN, MAX_RECORD_CONTENT, OVERLOADED,
    PARAMS, RESPONDER, STDIN, STDOUT, write_record_header,
};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of one answer: an object is at most 240,000, and a head a few hundred.
const ANSWER_MOST: usize = 256 * 1024;
/// Bytes of an answer's head.
const HEAD_MOST: usize = 8 * 1024;

/// Writes a complete request.
pub fn write_request(out: &mut BytesMut, number: u16, params: &[(&str, &[u8])], body: &[u8]) {
    write_record_header(out, BEGIN_REQUEST, number, 8);
    out.put_u16(RESPONDER);
    out.put_slice(&[KEEP_CONN, 0, 0, 0, 0, 0]);
    let mut told = BytesMut::new();
    let length = |told: &mut BytesMut, long: usize| match u8::try_from(long) {
        Ok(short @ 0..0x80) => told.put_u8(short),
        _ => told.put_u32(long as u32 | 0x8000_0000),
    };
    for (name, value) in params {
        length(&mut told, name.len());
        length(&mut told, value.len());
        told.put_slice(name.as_bytes());
        told.put_slice(value);
    }
    for (kind, bytes) in [(PARAMS, &told[..]), (STDIN, body)] {
        for part in bytes.chunks(MAX_RECORD_CONTENT) {
            write_record_header(out, kind, number, part.len());
            out.put_slice(part);
        }
        write_record_header(out, kind, number, 0);
    }
}

/// Writes an abort of a request.
pub fn write_abort(out: &mut BytesMut, number: u16) {
    write_record_header(out, ABORT_REQUEST, number, 0);
}

/// A complete response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub number: u16,
    /// The HTTP status, or `None` if the FastCGI end record says that the server is overloaded.
    pub status: Option<u16>,
    /// The value of `Back-Off-Ms`, as received.
    pub back_off_ms: Option<Bytes>,
    /// Whether the copy that the client holds is current.
    pub is_held_copy_valid: bool,
    pub body: Bytes,
}

/// Reads the responses of one connection and holds those that are still incomplete.
#[derive(Default)]
pub struct ResponseReader {
    partial: Vec<(u16, BytesMut)>,
}

impl ResponseReader {
    /// Bytes of incomplete responses.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// The next complete response, or `None` until more bytes arrive. `open` returns whether a request of this number is
    /// outstanding.
    ///
    /// # Errors
    /// A response is invalid, exceeds a limit or belongs to no request. The connection can no longer be used.
    pub fn next_response(
        &mut self,
        inbound: &mut BytesMut,
        open: impl Fn(u16) -> bool,
    ) -> Result<Option<Response>, StreamError> {
        while let Some((kind, number, record)) = fastcgi::next_record(inbound)? {
            if !matches!(kind, STDOUT | END_REQUEST) || number == 0 {
                continue;
            }
            if !open(number) {
                return Err(StreamError("an answer that belongs to no request"));
            }
            let at = self.partial.iter().position(|(known, _)| *known == number);
            if kind == STDOUT {
                let at = at.unwrap_or_else(|| {
                    self.partial.push((number, BytesMut::new()));
                    self.partial.len() - 1
                });
                let bytes = &mut self.partial[at].1;
                if bytes.len() + record.len() > ANSWER_MOST {
                    return Err(StreamError("an answer over the bound"));
                }
                bytes.extend_from_slice(&record);
                continue;
            }
            if record.len() != 8 {
                return Err(StreamError("the end of a request that is malformed"));
            }
            let bytes = at.map(|at| self.partial.swap_remove(at).1).unwrap_or_default();
            return match record[4] {
                OVERLOADED => {
                    let (back_off_ms, body) = (None, Bytes::new());
                    Ok(Some(Response { number, status: None, back_off_ms, is_held_copy_valid: false, body }))
                }
                COMPLETE => read(number, bytes.freeze()).map(Some),
                _ => Err(StreamError("an end that the protocol does not know")),
            };
        }
        Ok(None)
    }

    /// Discards the incomplete response to a request that was aborted.
    pub fn discard(&mut self, number: u16) {
        self.partial.retain(|(known, _)| *known != number);
    }
}

/// Reads the CGI response.
fn read(number: u16, mut bytes: Bytes) -> Result<Response, StreamError> {
    let bad = StreamError("an answer without a head");
    let look = &bytes[..bytes.len().min(HEAD_MOST)];
    let end = look.windows(4).position(|four| four == b"\r\n\r\n").ok_or(bad)?;
    let head = bytes.split_to(end);
    bytes.advance(4);
    let mut answer =
        Response { number, status: Some(200), back_off_ms: None, is_held_copy_valid: false, body: bytes };
    for line in head.split(|&b| b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|&b| b == b':') else {
            return Err(StreamError("a line of an answer's head without a colon"));
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"status") {
            let code = value.get(..3).and_then(|code| std::str::from_utf8(code).ok()?.parse().ok());
            answer.status = Some(code.ok_or(StreamError("an answer whose status is no number"))?);
        } else if name.eq_ignore_ascii_case(b"back-off-ms") {
            answer.back_off_ms = Some(head.slice_ref(value));
        } else if name.eq_ignore_ascii_case(b"x-valid") {
            answer.is_held_copy_valid = value == b"1";
        }
    }
    Ok(answer)
}
