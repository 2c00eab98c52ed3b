//! HTTP/1.1 as a replica speaks it: GET without a body, one request after the other on a kept connection.

use crate::errors::http_status::Status;
use crate::errors::{RequestError, http_status};
use bytes::{Buf, Bytes, BytesMut};
use myrtlegauge_replication::PollRequest;
use std::fmt::Write;

/// Bytes of a request's head: a poll's query takes a few hundred.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
const HEADERS_MOST: usize = 32;
const POLL_PATH: &str = "/changes";
const STATUS_PATH: &str = "/status";

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// News of the log.
    Poll(PollRequest),
    /// What an operator wants to know.
    Status,
}

/// Takes the next request out of what came in; none until its head is whole.
pub fn next_request(inbound: &mut BytesMut) -> Result<Option<Request>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(inbound) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => head,
        Ok(httparse::Status::Partial) if inbound.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES });
        }
        Err(_) => return Err(RequestError::NotHttp),
    };
    let read = read_head(&request);
    inbound.advance(head);
    read.map(Some)
}

fn read_head(request: &httparse::Request<'_, '_>) -> Result<Request, RequestError> {
    let method = request.method.unwrap_or_default();
    if method != "GET" {
        return Err(RequestError::Method(method.to_owned()));
    }
    if request.headers.iter().any(tells_of_body) {
        return Err(RequestError::Body);
    }
    let target = request.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match path {
        POLL_PATH => Ok(Request::Poll(PollRequest::from_query(query)?)),
        STATUS_PATH => Ok(Request::Status),
        _ => Err(RequestError::Path(path.to_owned())),
    }
}

fn tells_of_body(header: &httparse::Header<'_>) -> bool {
    let has_length = header.name.eq_ignore_ascii_case("content-length") && header.value.trim_ascii() != b"0";
    has_length || header.name.eq_ignore_ascii_case("transfer-encoding")
}

/// A whole answer with a JSON body, after which the connection is kept.
pub fn json_answer(body: &[u8]) -> Bytes {
    answer(http_status::OK, "application/json", "keep-alive", body)
}

/// A whole answer that says what is wrong, after which the connection is closed.
pub fn error_answer(error: &RequestError) -> Bytes {
    let body = format!("{error}\n");
    answer(error.status(), "text/plain", "close", body.as_bytes())
}

fn answer(status: Status, content_type: &str, connection: &str, body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD_ROOM + body.len());
    let head = write!(
        out,
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        body.len()
    );
    head.expect("a buffer takes all that is written");
    out.extend_from_slice(body);
    out.freeze()
}

/// Room for an answer's head.
const HEAD_ROOM: usize = 160;
