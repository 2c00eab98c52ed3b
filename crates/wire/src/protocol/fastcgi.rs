//! FastCGI 1.0 as a Responder: reads records, writes responses.

use super::StreamError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::time::Duration;

const VERSION: u8 = 1;
const HEADER: usize = 8;
pub(super) const RESPONDER: u16 = 1;
pub(super) const KEEP_CONN: u8 = 1;

pub(super) const BEGIN_REQUEST: u8 = 1;
pub(super) const ABORT_REQUEST: u8 = 2;
pub(super) const END_REQUEST: u8 = 3;
pub(super) const PARAMS: u8 = 4;
pub(super) const STDIN: u8 = 5;
pub(super) const STDOUT: u8 = 6;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

pub(super) const COMPLETE: u8 = 0;
pub(super) const OVERLOADED: u8 = 2;
const UNKNOWN_ROLE: u8 = 3;

/// Requests open on one connection, by the protocol page.
const MOST_OPEN: usize = 32;
/// Bytes of one request's parameters; what clients send takes a few hundred.
const PARAMS_MOST: usize = 16 * 1024;
/// Bytes of one request's body; the protocol page allows 48,000.
const BODY_MOST: usize = 64 * 1024;
/// Bytes of body in one STDOUT record.
pub(super) const MAX_RECORD_CONTENT: usize = 0xfff8;

/// A complete request with the parameters that are used, as received.
#[derive(Debug, Default)]
pub struct Request {
    pub number: u16,
    pub keep_conn: bool,
    pub path: Bytes,
    pub id: Bytes,
    pub budget: Bytes,
    pub key: Bytes,
    pub chunk: Bytes,
    pub group: Bytes,
    pub held_version: Bytes,
    /// The token of a tokened request, by which hosts recognize a repeat.
    pub token: Bytes,
    /// The id of the first attempt of the same GET, if the client sends it.
    pub first_id: Bytes,
    /// The number of this attempt, if the client sends it.
    pub attempt: Bytes,
    pub body: Bytes,
    /// The parameters could not be read. The request still gets a response.
    pub is_malformed: bool,
    /// Bytes of parameters and body.
    pub size: usize,
}

/// What the reader found in the records.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "moved once; a box would be an allocation for each GET")]
pub enum Message {
    /// A complete request.
    Request(Request),
    /// The client aborts this request.
    Abort(u16),
    /// The request exceeded a limit before it was complete. Its remaining records are ignored.
    Refuse(u16),
    /// Bytes to be written back unchanged. They belong to no request that is handed out.
    Reply(Bytes),
}

#[derive(Default)]
struct Partial {
    number: u16,
    keep_conn: bool,
    params: BytesMut,
    params_done: bool,
    body: BytesMut,
    /// It is over for its client; what still comes of it is passed over.
    refused: bool,
    since: Duration,
}

/// Reads the requests of one connection and holds those that are still incomplete.
#[derive(Default)]
pub struct RequestReader {
    partial: Vec<Partial>,
}

impl RequestReader {
    /// Bytes of incomplete requests.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.iter().map(|partial| partial.params.len() + partial.body.len()).sum()
    }

    /// Whether there is no incomplete request.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Refuses one incomplete request that began before `then` and returns its number.
    pub fn refuse_older_than(&mut self, then: Duration) -> Option<u16> {
        let old = self.partial.iter_mut().find(|partial| !partial.refused && partial.since < then)?;
        old.refuse();
        Some(old.number)
    }

    /// The next message in the bytes received by `now`, or `None` until more bytes arrive. `open` lists the requests
    /// that were handed out and not answered yet.
    pub fn next_message<T>(
        &mut self,
        inbound: &mut BytesMut,
        open: &[(u16, T)],
        now: Duration,
    ) -> Result<Option<Message>, StreamError> {
        while let Some((kind, number, record)) = next_record(inbound)? {
            let message = if number == 0 {
                management(kind, record)?
            } else {
                self.record(kind, number, record, open, now)?
            };
            if message.is_some() {
                return Ok(message);
            }
        }
        Ok(None)
    }

    fn record<T>(
        &mut self,
        kind: u8,
        number: u16,
        record: Bytes,
        open: &[(u16, T)],
        now: Duration,
    ) -> Result<Option<Message>, StreamError> {
        let is_open = open.iter().any(|(known, _)| *known == number);
        let at = self.partial.iter().position(|p| p.number == number);
        match (kind, at) {
            (BEGIN_REQUEST, None) if record.len() == 8 && !is_open => {
                let role = u16::from_be_bytes([record[0], record[1]]);
                if role != RESPONDER {
                    return Ok(Some(Message::Reply(end(number, UNKNOWN_ROLE))));
                }
                if self.partial.len() + open.len() >= MOST_OPEN {
                    return Ok(Some(Message::Reply(end(number, OVERLOADED))));
                }
                let keep_conn = record[2] & KEEP_CONN != 0;
                self.partial.push(Partial { number, keep_conn, since: now, ..Partial::default() });
            }
            (BEGIN_REQUEST, _) => return Err(StreamError("a FastCGI request begun twice or malformed")),
            (ABORT_REQUEST, Some(at)) => {
                let refused = self.partial.swap_remove(at).refused;
                return Ok((!refused).then(|| Message::Reply(end(number, COMPLETE))));
            }
            (ABORT_REQUEST, None) if is_open => return Ok(Some(Message::Abort(number))),
            (STDIN, Some(at)) if record.is_empty() => {
                let partial = self.partial.swap_remove(at);
                return Ok((!partial.refused).then(|| Message::Request(partial.whole())));
            }
            (PARAMS | STDIN, Some(at)) if !self.partial[at].refused => {
                let partial = &mut self.partial[at];
                partial.params_done |= record.is_empty();
                let (part, most) = match kind {
                    PARAMS => (&mut partial.params, PARAMS_MOST),
                    _ => (&mut partial.body, BODY_MOST),
                };
                if part.len() + record.len() > most || kind == STDIN && !partial.params_done {
                    partial.refuse();
                    return Ok(Some(Message::Refuse(number)));
                }
                part.extend_from_slice(&record);
            }
            // Records of other kinds, and those of requests that are over, are passed over.
            _ => {}
        }
        Ok(None)
    }
}

impl Partial {
    /// Gives back what it holds.
    fn refuse(&mut self) {
        (self.refused, self.params, self.body) = (true, BytesMut::new(), BytesMut::new());
    }

    fn whole(self) -> Request {
        let (params, body) = (self.params.freeze(), self.body.freeze());
        let size = params.len() + body.len();
        let (number, keep_conn) = (self.number, self.keep_conn);
        let mut request = Request { number, keep_conn, body, size, ..Request::default() };
        let read = pairs(params, |name, value| {
            let field = match &name[..] {
                b"SCRIPT_NAME" => &mut request.path,
                b"HTTP_REQUEST_ID" => &mut request.id,
                b"HTTP_BUDGET_MS" => &mut request.budget,
                b"HTTP_RESOURCE_KEY" => &mut request.key,
                b"HTTP_X_CHUNK" => &mut request.chunk,
                b"HTTP_X_TAG" => &mut request.group,
                b"HTTP_X_KNOWN" => &mut request.held_version,
                b"HTTP_ONCE_KEY" => &mut request.token,
                b"HTTP_X_FIRST_ID" => &mut request.first_id,
                b"HTTP_X_TRY" => &mut request.attempt,
                _ => return,
            };
            *field = value;
        });
        request.is_malformed = !self.params_done || read.is_none();
        request
    }
}

/// Takes the next complete record out of `inbound`: its type, the number of its request and its content.
pub(super) fn next_record(inbound: &mut BytesMut) -> Result<Option<(u8, u16, Bytes)>, StreamError> {
    if inbound.len() < HEADER {
        return Ok(None);
    }
    if inbound[0] != VERSION {
        return Err(StreamError("a FastCGI record of another version"));
    }
    let (kind, number) = (inbound[1], u16::from_be_bytes([inbound[2], inbound[3]]));
    let long = usize::from(u16::from_be_bytes([inbound[4], inbound[5]]));
    let whole = HEADER + long + usize::from(inbound[6]);
    if inbound.len() < whole {
        inbound.reserve(whole - inbound.len());
        return Ok(None);
    }
    let mut record = inbound.split_to(whole).freeze();
    record.advance(HEADER);
    record.truncate(long);
    Ok(Some((kind, number, record)))
}

/// Reads name-value pairs; none where they don't fit their record.
fn pairs(mut params: Bytes, mut each: impl FnMut(Bytes, Bytes)) -> Option<()> {
    let length = |params: &mut Bytes| {
        let first = *params.first()?;
        if first < 0x80 {
            params.advance(1);
            return Some(usize::from(first));
        }
        (params.len() >= 4).then(|| params.get_u32() as usize & 0x7fff_ffff)
    };
    while !params.is_empty() {
        let (name, value) = (length(&mut params)?, length(&mut params)?);
        if name.checked_add(value)? > params.len() {
            return None;
        }
        let name = params.split_to(name);
        each(name, params.split_to(value));
    }
    Some(())
}

/// Answers records that belong to no request. Of the values that may be asked for only the one that never changes
/// is told; names left out are taken as unknown.
fn management(kind: u8, record: Bytes) -> Result<Option<Message>, StreamError> {
    const MULTIPLEXES: &[u8] = b"FCGI_MPXS_CONNS";
    let mut out = BytesMut::new();
    if kind == GET_VALUES {
        let mut asked = false;
        pairs(record, |name, _| asked |= &name[..] == MULTIPLEXES)
            .ok_or(StreamError("FastCGI values that can't be read"))?;
        write_record_header(&mut out, GET_VALUES_RESULT, 0, if asked { MULTIPLEXES.len() + 3 } else { 0 });
        if asked {
            out.put_slice(&[MULTIPLEXES.len() as u8, 1]);
            out.put_slice(MULTIPLEXES);
            out.put_u8(b'1');
        }
    } else {
        write_record_header(&mut out, UNKNOWN_TYPE, 0, 8);
        out.put_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
    }
    Ok(Some(Message::Reply(out.freeze())))
}

/// Writes the header of a record.
pub(super) fn write_record_header(out: &mut BytesMut, kind: u8, number: u16, long: usize) {
    debug_assert!(long <= 0xffff, "a record is at most 65,535 bytes");
    out.put_slice(&[VERSION, kind]);
    out.put_u16(number);
    out.put_u16(long as u16);
    out.put_u16(0);
}

/// Ends a request without an answer.
fn end(number: u16, status: u8) -> Bytes {
    let mut out = BytesMut::with_capacity(16);
    put_end(&mut out, number, status);
    out.freeze()
}

/// The `FCGI_END_REQUEST` record of a request that its client aborted.
pub fn end_request_aborted(number: u16) -> Bytes {
    end(number, COMPLETE)
}

/// The `FCGI_END_REQUEST` record of a request that was never forwarded, so that a retry is safe.
pub fn end_request_overloaded(number: u16) -> Bytes {
    end(number, OVERLOADED)
}

fn put_end(out: &mut BytesMut, number: u16, status: u8) {
    write_record_header(out, END_REQUEST, number, 8);
    out.put_slice(&[0, 0, 0, 0, status, 0, 0, 0]);
}

/// Writes a complete response: its head, the body without copying it, and the end. `out` receives the parts in order.
pub fn write_response(
    pen: &mut BytesMut,
    number: u16,
    head: &[u8],
    mut body: Bytes,
    mut out: impl FnMut(Bytes),
) {
    write_record_header(pen, STDOUT, number, head.len());
    pen.put_slice(head);
    while !body.is_empty() {
        let part = body.split_to(body.len().min(MAX_RECORD_CONTENT));
        write_record_header(pen, STDOUT, number, part.len());
        out(pen.split().freeze());
        out(part);
    }
    write_record_header(pen, STDOUT, number, 0);
    put_end(pen, number, COMPLETE);
    out(pen.split().freeze());
}
