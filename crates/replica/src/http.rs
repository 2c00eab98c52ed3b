//! The HTTP/1.1 subset of a replica: GET requests without a body, one after the other on a persistent connection.

use crate::errors::http_status::Status;
use crate::errors::{RequestError, http_status};
use bytes::{Buf, Bytes, BytesMut};
use myrtlegauge_replication::PollRequest;
use std::fmt::Write;

/// The maximum size of a request head; the query of a poll takes a few hundred bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 32;
const POLL_PATH: &str = "/changes";
const STATUS_PATH: &str = "/status";

/// A request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A long poll of the change log.
    Poll(PollRequest),
    /// A request for the status.
    Status,
}

/// Removes the next request from the received bytes; returns none until its head is complete.
pub fn next_request(inbound: &mut BytesMut) -> Result<Option<Request>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_len = match request.parse(inbound) {
        Ok(httparse::Status::Complete(head_len)) if head_len <= MAX_HEAD_BYTES => head_len,
        Ok(httparse::Status::Partial) if inbound.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::HeadTooLong { max_bytes: MAX_HEAD_BYTES });
        }
        Err(_) => return Err(RequestError::NotHttp),
    };
    let parsed = parse_head(&request);
    inbound.advance(head_len);
    parsed.map(Some)
}

fn parse_head(request: &httparse::Request<'_, '_>) -> Result<Request, RequestError> {
    let method = request.method.unwrap_or_default();
    if method != "GET" {
        return Err(RequestError::Method(method.to_owned()));
    }
    if request.headers.iter().any(has_body) {
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

fn has_body(header: &httparse::Header<'_>) -> bool {
    let has_length = header.name.eq_ignore_ascii_case("content-length") && header.value.trim_ascii() != b"0";
    has_length || header.name.eq_ignore_ascii_case("transfer-encoding")
}

/// Builds a response with a JSON body, after which the connection stays open.
pub fn json_response(body: &[u8]) -> Bytes {
    response(http_status::OK, "application/json", "keep-alive", body)
}

/// Builds an error response, after which the connection is closed.
pub fn error_response(error: &RequestError) -> Bytes {
    let body = format!("{error}\n");
    response(error.status(), "text/plain", "close", body.as_bytes())
}

fn response(status: Status, content_type: &str, connection: &str, body: &[u8]) -> Bytes {
    let mut response = BytesMut::with_capacity(HEAD_CAPACITY + body.len());
    let written = write!(
        response,
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        body.len()
    );
    written.expect("writing to a buffer cannot fail");
    response.extend_from_slice(body);
    response.freeze()
}

/// The capacity reserved for the head of a response.
const HEAD_CAPACITY: usize = 160;
