//! FastCGI 1.0 on the client side: writes requests, reads responses. No I/O.

use super::StreamError;
use super::fastcgi::{
    self, ABORT_REQUEST, BEGIN_REQUEST, COMPLETE, END_REQUEST, KEEP_CONN, MAX_RECORD_CONTENT_BYTES,
    OVERLOADED, PARAMS, RESPONDER, STDIN, STDOUT,
};
use super::fastcgi_responses::write_record_header;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Limit of the bytes of one response. An object has at most 240,000 bytes, and a head a few hundred.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Length of the content of an end record, and where its protocol status stands.
const END_CONTENT_BYTES: usize = 8;
const PROTOCOL_STATUS_INDEX: usize = 4;
/// Limit of the bytes of a response's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Writes a complete request.
pub fn write_request(out: &mut BytesMut, number: u16, params: &[(&str, &[u8])], body: &[u8]) {
    write_record_header(out, BEGIN_REQUEST, number, 8);
    out.put_u16(RESPONDER);
    out.put_slice(&[KEEP_CONN, 0, 0, 0, 0, 0]);
    let mut encoded_params = BytesMut::new();
    let write_length = |out: &mut BytesMut, length: usize| match u8::try_from(length) {
        Ok(short @ 0..0x80) => out.put_u8(short),
        _ => out.put_u32(length as u32 | 0x8000_0000),
    };
    for (name, value) in params {
        write_length(&mut encoded_params, name.len());
        write_length(&mut encoded_params, value.len());
        encoded_params.put_slice(name.as_bytes());
        encoded_params.put_slice(value);
    }
    for (kind, bytes) in [(PARAMS, &encoded_params[..]), (STDIN, body)] {
        for content in bytes.chunks(MAX_RECORD_CONTENT_BYTES) {
            write_record_header(out, kind, number, content.len());
            out.put_slice(content);
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
    /// The FastCGI request id.
    pub number: u16,
    /// The HTTP status, or `None` if the FastCGI end record says that the server is overloaded.
    pub status: Option<u16>,
    /// The value of `Back-Off-Ms`, as received.
    pub back_off_ms: Option<Bytes>,
    /// Whether the copy that the client holds is current.
    pub is_held_copy_valid: bool,
    pub body: Bytes,
}

/// What a client knows of a request number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its response is awaited.
    Open,
    /// It was aborted, and its end was not read yet.
    Aborted,
    /// No request has this number.
    Unknown,
}

/// What was read of the response to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEvent {
    Complete(Response),
    /// The response can't be used. The records around it can, and with them all other responses.
    Malformed {
        number: u16,
        /// Its end was read: no more records of this request follow.
        has_ended: bool,
        reason: StreamError,
    },
    /// An aborted request has ended, with whatever output.
    AbortEnded {
        number: u16,
    },
}

/// Reads the responses of one connection and holds those that are still incomplete.
#[derive(Default)]
pub struct ResponseReader {
    /// Incomplete responses by the number of their request.
    partial: Vec<(u16, BytesMut)>,
}

impl ResponseReader {
    /// Bytes of incomplete responses.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// The next event, or `None` until more bytes arrive. `state` returns what is known of a request number.
    ///
    /// # Errors
    /// A record is invalid or belongs to no request. The connection can no longer be used.
    pub fn next_event(
        &mut self,
        inbound: &mut BytesMut,
        state: impl Fn(u16) -> RequestState,
    ) -> Result<Option<ResponseEvent>, StreamError> {
        while let Some((kind, number, record)) = fastcgi::next_record(inbound)? {
            if !matches!(kind, STDOUT | END_REQUEST) || number == 0 {
                continue;
            }
            let event = match (state(number), kind) {
                (RequestState::Unknown, _) => {
                    return Err(StreamError("FastCGI response belongs to no request"));
                }
                (RequestState::Open, STDOUT) => self.on_output(number, &record),
                (RequestState::Open, _) => Some(self.on_end(number, &record)),
                (RequestState::Aborted, STDOUT) => None,
                (RequestState::Aborted, _) => Some(ResponseEvent::AbortEnded { number }),
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        Ok(None)
    }

    /// Keeps output of an open request, unless it is too large.
    fn on_output(&mut self, number: u16, output: &[u8]) -> Option<ResponseEvent> {
        let index = self.partial.iter().position(|(partial_number, _)| *partial_number == number);
        let index = index.unwrap_or_else(|| {
            self.partial.push((number, BytesMut::new()));
            self.partial.len() - 1
        });
        let bytes = &mut self.partial[index].1;
        if bytes.len() + output.len() > MAX_RESPONSE_BYTES {
            self.partial.swap_remove(index);
            let reason = StreamError("FastCGI response exceeds the size limit");
            return Some(ResponseEvent::Malformed { number, has_ended: false, reason });
        }
        bytes.extend_from_slice(output);
        None
    }

    /// Takes the response of an open request at its end.
    fn on_end(&mut self, number: u16, end: &[u8]) -> ResponseEvent {
        let index = self.partial.iter().position(|(partial_number, _)| *partial_number == number);
        let output = index.map(|index| self.partial.swap_remove(index).1).unwrap_or_default();
        match parse_end(number, end, output.freeze()) {
            Ok(response) => ResponseEvent::Complete(response),
            Err(reason) => ResponseEvent::Malformed { number, has_ended: true, reason },
        }
    }

    /// Discards the incomplete response to a request that was aborted.
    pub fn discard(&mut self, number: u16) {
        self.partial.retain(|(partial_number, _)| *partial_number != number);
    }
}

/// Parses the end record of a request with its output before it.
fn parse_end(number: u16, end: &[u8], output: Bytes) -> Result<Response, StreamError> {
    if end.len() != END_CONTENT_BYTES {
        return Err(StreamError("FastCGI end record is malformed"));
    }
    match end[PROTOCOL_STATUS_INDEX] {
        OVERLOADED => {
            let (back_off_ms, body) = (None, Bytes::new());
            Ok(Response { number, status: None, back_off_ms, is_held_copy_valid: false, body })
        }
        COMPLETE => parse_response(number, output),
        _ => Err(StreamError("FastCGI end record has an unknown protocol status")),
    }
}

/// Parses the head of a CGI response.
fn parse_response(number: u16, mut bytes: Bytes) -> Result<Response, StreamError> {
    let error = StreamError("FastCGI response has no complete head");
    let head_range = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
    let end = head_range.windows(4).position(|window| window == b"\r\n\r\n").ok_or(error)?;
    let head = bytes.split_to(end);
    bytes.advance(4);
    let mut response =
        Response { number, status: Some(200), back_off_ms: None, is_held_copy_valid: false, body: bytes };
    for line in head.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|&byte| byte == b':') else {
            return Err(StreamError("header line of a FastCGI response has no colon"));
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"status") {
            let code = value.get(..3).and_then(|code| std::str::from_utf8(code).ok()?.parse().ok());
            response.status = Some(code.ok_or(StreamError("status of a FastCGI response is not a number"))?);
        } else if name.eq_ignore_ascii_case(b"back-off-ms") {
            response.back_off_ms = Some(head.slice_ref(value));
        } else if name.eq_ignore_ascii_case(b"x-valid") {
            response.is_held_copy_valid = value == b"1";
        }
    }
    Ok(response)
}
