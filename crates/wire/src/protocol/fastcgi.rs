//! FastCGI 1.0 as a Responder: records in, answers out.

use super::Fault;
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
pub(super) const RECORD_MOST: usize = 0xfff8;

/// A request that is whole, with the parameters that are used, as they came.
#[derive(Debug, Default)]
pub struct Request {
    pub number: u16,
    pub keep_conn: bool,
    pub path: Bytes,
    pub id: Bytes,
    pub budget: Bytes,
    pub key: Bytes,
    pub part: Bytes,
    pub group: Bytes,
    pub held: Bytes,
    /// The mark of a tokened request, by which hosts know a repeat.
    pub token: Bytes,
    /// The id of the first try of the same GET, and which try this is, where the client marks them.
    pub first: Bytes,
    pub attempt: Bytes,
    pub body: Bytes,
    /// It could not be read; it is owed an answer all the same.
    pub spoilt: bool,
    /// Bytes that it holds.
    pub long: usize,
}

/// What a record came to.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "moved once; a box would be an allocation for each GET")]
pub enum Message {
    Request(Request),
    /// The client waits no longer for this one.
    Abort(u16),
    /// It broke a bound before it was whole; its rest is passed over.
    Refuse(u16),
    /// To be written back as it stands; no request comes of it.
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

/// The requests of one connection that are not yet whole.
#[derive(Default)]
pub struct Reader {
    partial: Vec<Partial>,
}

impl Reader {
    /// Bytes of requests that are not yet whole.
    pub fn long(&self) -> usize {
        self.partial.iter().map(|partial| partial.params.len() + partial.body.len()).sum()
    }

    /// Nothing is begun.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// A request that was begun before `then` and is not yet whole; it is refused from now on.
    pub fn refuse_older(&mut self, then: Duration) -> Option<u16> {
        let old = self.partial.iter_mut().find(|partial| !partial.refused && partial.since < then)?;
        old.refuse();
        Some(old.number)
    }

    /// The next message in what came in by `now`; none until more has come. `open` are the requests that were
    /// handed out and not answered yet.
    pub fn next<T>(
        &mut self,
        inbound: &mut BytesMut,
        open: &[(u16, T)],
        now: Duration,
    ) -> Result<Option<Message>, Fault> {
        while let Some((kind, number, record)) = cut(inbound)? {
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
    ) -> Result<Option<Message>, Fault> {
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
            (BEGIN_REQUEST, _) => return Err(Fault("a FastCGI request begun twice or malformed")),
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
        let long = params.len() + body.len();
        let (number, keep_conn) = (self.number, self.keep_conn);
        let mut request = Request { number, keep_conn, body, long, ..Request::default() };
        let read = pairs(params, |name, value| {
            let field = match &name[..] {
                b"SCRIPT_NAME" => &mut request.path,
                b"HTTP_REQUEST_ID" => &mut request.id,
                b"HTTP_BUDGET_MS" => &mut request.budget,
                b"HTTP_RESOURCE_KEY" => &mut request.key,
                b"HTTP_X_CHUNK" => &mut request.part,
                b"HTTP_X_TAG" => &mut request.group,
                b"HTTP_X_KNOWN" => &mut request.held,
                b"HTTP_ONCE_KEY" => &mut request.token,
                b"HTTP_X_FIRST_ID" => &mut request.first,
                b"HTTP_X_TRY" => &mut request.attempt,
                _ => return,
            };
            *field = value;
        });
        request.spoilt = !self.params_done || read.is_none();
        request
    }
}

/// Cuts the next whole record out of what came in: its type, its request's number and its content.
pub(super) fn cut(inbound: &mut BytesMut) -> Result<Option<(u8, u16, Bytes)>, Fault> {
    if inbound.len() < HEADER {
        return Ok(None);
    }
    if inbound[0] != VERSION {
        return Err(Fault("a FastCGI record of another version"));
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
fn management(kind: u8, record: Bytes) -> Result<Option<Message>, Fault> {
    const MULTIPLEXES: &[u8] = b"FCGI_MPXS_CONNS";
    let mut out = BytesMut::new();
    if kind == GET_VALUES {
        let mut asked = false;
        pairs(record, |name, _| asked |= &name[..] == MULTIPLEXES)
            .ok_or(Fault("FastCGI values that can't be read"))?;
        header(&mut out, GET_VALUES_RESULT, 0, if asked { MULTIPLEXES.len() + 3 } else { 0 });
        if asked {
            out.put_slice(&[MULTIPLEXES.len() as u8, 1]);
            out.put_slice(MULTIPLEXES);
            out.put_u8(b'1');
        }
    } else {
        header(&mut out, UNKNOWN_TYPE, 0, 8);
        out.put_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
    }
    Ok(Some(Message::Reply(out.freeze())))
}

pub(super) fn header(out: &mut BytesMut, kind: u8, number: u16, long: usize) {
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

/// The end of a request that its client aborted.
pub fn end_aborted(number: u16) -> Bytes {
    end(number, COMPLETE)
}

/// The end of a request that was never sent on; trying again is harmless.
pub fn end_overloaded(number: u16) -> Bytes {
    end(number, OVERLOADED)
}

fn put_end(out: &mut BytesMut, number: u16, status: u8) {
    header(out, END_REQUEST, number, 8);
    out.put_slice(&[0, 0, 0, 0, status, 0, 0, 0]);
}

/// Writes a whole answer: its head, the body as the bytes that came, and the end.
pub fn answer(pen: &mut BytesMut, number: u16, head: &[u8], mut body: Bytes, mut out: impl FnMut(Bytes)) {
    header(pen, STDOUT, number, head.len());
    pen.put_slice(head);
    while !body.is_empty() {
        let part = body.split_to(body.len().min(RECORD_MOST));
        header(pen, STDOUT, number, part.len());
        out(pen.split().freeze());
        out(part);
    }
    header(pen, STDOUT, number, 0);
    put_end(pen, number, COMPLETE);
    out(pen.split().freeze());
}
