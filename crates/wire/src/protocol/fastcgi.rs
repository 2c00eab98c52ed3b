//! FastCGI 1.0 as a Responder: reads the records of requests. What is written stands in `fastcgi_responses`.

use super::StreamError;
use super::fastcgi_responses::{end_request, write_record_header};
pub use super::fastcgi_responses::{end_request_aborted, end_request_overloaded, write_response};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::ops::Range;
use std::time::Duration;

pub(super) const VERSION: u8 = 1;
const HEADER_BYTES: usize = 8;
pub(super) const RESPONDER: u16 = 1;
pub(super) const KEEP_CONN: u8 = 1;

// Record types.
pub(super) const BEGIN_REQUEST: u8 = 1;
pub(super) const ABORT_REQUEST: u8 = 2;
pub(super) const END_REQUEST: u8 = 3;
pub(super) const PARAMS: u8 = 4;
pub(super) const STDIN: u8 = 5;
pub(super) const STDOUT: u8 = 6;
const GET_VALUES: u8 = 9;
const GET_VALUES_RESULT: u8 = 10;
const UNKNOWN_TYPE: u8 = 11;

// Protocol status values of an end record.
pub(super) const COMPLETE: u8 = 0;
pub(super) const OVERLOADED: u8 = 2;
const UNKNOWN_ROLE: u8 = 3;

/// Limit of open requests on one connection, set by the protocol page.
const MAX_OPEN_REQUESTS: usize = 32;
/// Limit of the bytes of one request's parameters. Clients send a few hundred.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
/// Limit of the bytes of one request's body. The protocol page allows 48,000.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit of the bytes of a query of values. The names that the protocol defines take fewer than 100.
const MAX_QUERY_BYTES: usize = 1024;
/// Content bytes of a begin record.
const BEGIN_CONTENT_BYTES: usize = 8;
/// Limit of the content bytes of one record that is written.
pub(super) const MAX_RECORD_CONTENT_BYTES: usize = 0xfff8;

/// A complete request with the parameters that are used, as received.
#[derive(Debug, Default)]
pub struct Request {
    /// The FastCGI request id, unique among the open requests of the connection.
    pub number: u16,
    /// The connection stays open after the response.
    pub keep_conn: bool,
    pub path: Bytes,
    /// The id of this attempt.
    pub id: Bytes,
    /// The time budget, in milliseconds.
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

/// An incomplete request.
#[derive(Default)]
struct PartialRequest {
    number: u16,
    keep_conn: bool,
    params: BytesMut,
    has_all_params: bool,
    body: BytesMut,
    /// The request was refused, and its remaining records are ignored.
    is_refused: bool,
    began_at: Duration,
}

/// A part of a request that arrives in records.
#[derive(Clone, Copy)]
enum RequestPart {
    Params,
    Body,
}

/// A record of which the header was read. The rest is taken as it arrives, so that no incomplete record is buffered.
struct OpenRecord {
    number: u16,
    /// Where the content goes; `None` if it is discarded.
    part: Option<RequestPart>,
    content_left: usize,
    padding_left: usize,
}

/// Reads the requests of one connection and holds those that are still incomplete.
#[derive(Default)]
pub struct RequestReader {
    /// Incomplete requests.
    partial: Vec<PartialRequest>,
    open_record: Option<OpenRecord>,
    completed_records: u64,
    /// Memory of the incomplete requests.
    held_bytes: usize,
}

impl RequestReader {
    /// Memory of the incomplete requests, as allocated.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Whether there is neither an incomplete request nor an incomplete record.
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty() && self.open_record.is_none()
    }

    /// Whether the header of a record was read and the rest of it was not.
    pub fn has_open_record(&self) -> bool {
        self.open_record.is_some()
    }

    /// Records read completely so far.
    pub fn completed_records(&self) -> u64 {
        self.completed_records
    }

    /// Refuses one incomplete request that began before `earliest_start` and returns its number.
    pub fn refuse_older_than(&mut self, earliest_start: Duration) -> Option<u16> {
        let expired = self
            .partial
            .iter_mut()
            .find(|partial| !partial.is_refused && partial.began_at < earliest_start)?;
        self.held_bytes -= expired.refuse();
        Some(expired.number)
    }

    /// The next message in the bytes received by `now`, or `None` until more bytes arrive. `open` lists the requests
    /// that were handed out and not answered yet.
    pub fn next_message<T>(
        &mut self,
        inbound: &mut BytesMut,
        open: &[(u16, T)],
        now: Duration,
    ) -> Result<Option<Message>, StreamError> {
        while self.take_open_record(inbound) {
            let Some(header) = RecordHeader::read(inbound)? else { return Ok(None) };
            let needed_bytes = header.needed_content_bytes()?;
            if inbound.len() < HEADER_BYTES + needed_bytes {
                return Ok(None);
            }
            inbound.advance(HEADER_BYTES);
            let content = inbound.split_to(needed_bytes);
            self.open_record = Some(OpenRecord {
                number: header.number,
                part: None,
                content_left: header.content_length - needed_bytes,
                padding_left: header.padding_length,
            });
            let message = if header.number == 0 {
                answer_management_record(header.kind, &content)?
            } else {
                self.on_record(&header, &content, open, now)?
            };
            if message.is_some() {
                return Ok(message);
            }
        }
        Ok(None)
    }

    /// Takes what has arrived of the open record. Returns whether there is none any more.
    fn take_open_record(&mut self, inbound: &mut BytesMut) -> bool {
        let Some(record) = &mut self.open_record else { return true };
        let content_bytes = record.content_left.min(inbound.len());
        let is_target =
            |partial: &&mut PartialRequest| partial.number == record.number && !partial.is_refused;
        if let Some(part) = record.part
            && let Some(partial) = self.partial.iter_mut().find(is_target)
        {
            let target = partial.part(part);
            let allocated_before = target.capacity();
            target.extend_from_slice(&inbound[..content_bytes]);
            self.held_bytes += target.capacity() - allocated_before;
        }
        inbound.advance(content_bytes);
        record.content_left -= content_bytes;
        let padding_bytes = if record.content_left > 0 { 0 } else { record.padding_left.min(inbound.len()) };
        inbound.advance(padding_bytes);
        record.padding_left -= padding_bytes;
        let is_complete = record.content_left + record.padding_left == 0;
        if is_complete {
            self.open_record = None;
            self.completed_records += 1;
        }
        is_complete
    }

    /// Handles the start of a record that belongs to a request: its header and the content that is needed at once.
    fn on_record<T>(
        &mut self,
        header: &RecordHeader,
        content: &[u8],
        open: &[(u16, T)],
        now: Duration,
    ) -> Result<Option<Message>, StreamError> {
        let number = header.number;
        let is_open = open.iter().any(|(open_number, _)| *open_number == number);
        let index = self.partial.iter().position(|partial| partial.number == number);
        match (header.kind, index) {
            (BEGIN_REQUEST, None) if content.len() == BEGIN_CONTENT_BYTES && !is_open => {
                let role = u16::from_be_bytes([content[0], content[1]]);
                if role != RESPONDER {
                    return Ok(Some(Message::Reply(end_request(number, UNKNOWN_ROLE))));
                }
                if self.partial.len() + open.len() >= MAX_OPEN_REQUESTS {
                    return Ok(Some(Message::Reply(end_request(number, OVERLOADED))));
                }
                let keep_conn = content[2] & KEEP_CONN != 0;
                self.partial.push(PartialRequest {
                    number,
                    keep_conn,
                    began_at: now,
                    ..PartialRequest::default()
                });
                self.held_bytes += size_of::<PartialRequest>();
            }
            (BEGIN_REQUEST, _) => {
                return Err(StreamError("FastCGI begin record is malformed or repeats an open request"));
            }
            (ABORT_REQUEST, Some(index)) => {
                let is_refused = self.remove_partial(index).is_refused;
                return Ok((!is_refused).then(|| Message::Reply(end_request(number, COMPLETE))));
            }
            (ABORT_REQUEST, None) if is_open => return Ok(Some(Message::Abort(number))),
            (STDIN, Some(index)) if header.content_length == 0 => {
                let partial = self.remove_partial(index);
                return Ok((!partial.is_refused).then(|| Message::Request(partial.into_request())));
            }
            (PARAMS | STDIN, Some(index)) if !self.partial[index].is_refused => {
                let partial = &mut self.partial[index];
                partial.has_all_params |= header.content_length == 0;
                let (part, max_bytes) = match header.kind {
                    PARAMS => (RequestPart::Params, MAX_PARAMS_BYTES),
                    _ => (RequestPart::Body, MAX_BODY_BYTES),
                };
                let is_over_limit = partial.part(part).len() + header.content_length > max_bytes;
                if is_over_limit || header.kind == STDIN && !partial.has_all_params {
                    self.held_bytes -= partial.refuse();
                    return Ok(Some(Message::Refuse(number)));
                }
                if let Some(record) = &mut self.open_record {
                    record.part = Some(part);
                }
            }
            // Records of other types, and of requests that have ended, are ignored.
            _ => {}
        }
        Ok(None)
    }

    fn remove_partial(&mut self, index: usize) -> PartialRequest {
        let partial = self.partial.swap_remove(index);
        self.held_bytes -= size_of::<PartialRequest>() + partial.allocated_bytes();
        partial
    }
}

impl PartialRequest {
    /// Marks the request as refused and releases its buffers. Returns the bytes that were allocated.
    fn refuse(&mut self) -> usize {
        let released_bytes = self.allocated_bytes();
        (self.is_refused, self.params, self.body) = (true, BytesMut::new(), BytesMut::new());
        released_bytes
    }

    fn part(&mut self, part: RequestPart) -> &mut BytesMut {
        match part {
            RequestPart::Params => &mut self.params,
            RequestPart::Body => &mut self.body,
        }
    }

    fn allocated_bytes(&self) -> usize {
        self.params.capacity() + self.body.capacity()
    }

    fn into_request(self) -> Request {
        let (params, body) = (freeze_exactly(self.params), freeze_exactly(self.body));
        let size = params.len() + body.len();
        let (number, keep_conn) = (self.number, self.keep_conn);
        let mut request = Request { number, keep_conn, body, size, ..Request::default() };
        let pairs_read = for_each_pair(&params, |name, value| {
            let field = match name {
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
            *field = params.slice(value);
        });
        request.is_malformed = !self.has_all_params || pairs_read.is_none();
        request
    }
}

/// Bytes that take no more memory than their length, for a request that is held until it is answered.
fn freeze_exactly(bytes: BytesMut) -> Bytes {
    if bytes.capacity() > bytes.len() { Bytes::copy_from_slice(&bytes) } else { bytes.freeze() }
}

/// The header of a record.
struct RecordHeader {
    kind: u8,
    number: u16,
    content_length: usize,
    padding_length: usize,
}

impl RecordHeader {
    /// Reads the header at the start of the bytes; `None` until it is complete.
    fn read(bytes: &[u8]) -> Result<Option<Self>, StreamError> {
        if bytes.len() < HEADER_BYTES {
            return Ok(None);
        }
        if bytes[0] != VERSION {
            return Err(StreamError("FastCGI record has an unsupported version"));
        }
        Ok(Some(Self {
            kind: bytes[1],
            number: u16::from_be_bytes([bytes[2], bytes[3]]),
            content_length: usize::from(u16::from_be_bytes([bytes[4], bytes[5]])),
            padding_length: usize::from(bytes[6]),
        }))
    }

    /// Content bytes that have to be complete before the record is handled. All other content is taken as it arrives.
    fn needed_content_bytes(&self) -> Result<usize, StreamError> {
        match self.kind {
            GET_VALUES if self.number == 0 && self.content_length > MAX_QUERY_BYTES => {
                Err(StreamError("FastCGI query of values is too long"))
            }
            GET_VALUES if self.number == 0 => Ok(self.content_length),
            BEGIN_REQUEST if self.number != 0 && self.content_length == BEGIN_CONTENT_BYTES => {
                Ok(BEGIN_CONTENT_BYTES)
            }
            _ => Ok(0),
        }
    }
}

/// Takes the next complete record out of `inbound`: its type, the number of its request and its content.
pub(super) fn next_record(inbound: &mut BytesMut) -> Result<Option<(u8, u16, Bytes)>, StreamError> {
    let Some(RecordHeader { kind, number, content_length, padding_length }) = RecordHeader::read(inbound)?
    else {
        return Ok(None);
    };
    let record_length = HEADER_BYTES + content_length + padding_length;
    if inbound.len() < record_length {
        inbound.reserve(record_length - inbound.len());
        return Ok(None);
    }
    let mut record = inbound.split_to(record_length).freeze();
    record.advance(HEADER_BYTES);
    record.truncate(content_length);
    Ok(Some((kind, number, record)))
}

/// Calls `on_pair` with the name of each name-value pair and where its value stands. Returns `None` if a pair exceeds the
/// end of the parameters.
fn for_each_pair(params: &[u8], mut on_pair: impl FnMut(&[u8], Range<usize>)) -> Option<()> {
    let mut position = 0;
    while position < params.len() {
        let name_length = read_length(params, &mut position)?;
        let value_length = read_length(params, &mut position)?;
        let value_start = position.checked_add(name_length)?;
        let value_end = value_start.checked_add(value_length)?;
        if value_end > params.len() {
            return None;
        }
        on_pair(&params[position..value_start], value_start..value_end);
        position = value_end;
    }
    Some(())
}

/// Reads the length of a name or a value, in one byte or in four, and moves the position behind it.
fn read_length(params: &[u8], position: &mut usize) -> Option<usize> {
    const LONG_LENGTH_BYTES: usize = 4;
    let first = *params.get(*position)?;
    if first < 0x80 {
        *position += 1;
        return Some(usize::from(first));
    }
    let bytes = params.get(*position..*position + LONG_LENGTH_BYTES)?;
    *position += LONG_LENGTH_BYTES;
    Some(u32::from_be_bytes(bytes.try_into().ok()?) as usize & 0x7fff_ffff)
}

/// Answers records that belong to no request. Of the values that can be queried, only `FCGI_MPXS_CONNS` is answered,
/// since it never changes. Names that the answer omits count as unknown.
fn answer_management_record(kind: u8, record: &[u8]) -> Result<Option<Message>, StreamError> {
    const MULTIPLEXES_NAME: &[u8] = b"FCGI_MPXS_CONNS";
    let mut out = BytesMut::new();
    if kind == GET_VALUES {
        let mut is_queried = false;
        for_each_pair(record, |name, _| is_queried |= name == MULTIPLEXES_NAME)
            .ok_or(StreamError("FastCGI query of values is malformed"))?;
        write_record_header(
            &mut out,
            GET_VALUES_RESULT,
            0,
            if is_queried { MULTIPLEXES_NAME.len() + 3 } else { 0 },
        );
        if is_queried {
            out.put_slice(&[MULTIPLEXES_NAME.len() as u8, 1]);
            out.put_slice(MULTIPLEXES_NAME);
            out.put_u8(b'1');
        }
    } else {
        write_record_header(&mut out, UNKNOWN_TYPE, 0, 8);
        out.put_slice(&[kind, 0, 0, 0, 0, 0, 0, 0]);
    }
    Ok(Some(Message::Reply(out.freeze())))
}
