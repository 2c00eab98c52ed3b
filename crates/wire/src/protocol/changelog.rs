//! The change log: JSON over HTTP/1.1, polled one answer at a time.

use super::StreamError;
use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::{Arguments, Write};

/// Limit of the bytes of one answer. A list of a thousand hosts takes a fifth of it.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
const MAX_HEADERS: usize = 32;

/// An answer of the change log: events, and the sequence number of the last one.
#[derive(Debug, Deserialize)]
pub struct Changes<'a> {
    #[serde(rename = "seq")]
    pub last_seq: u64,
    #[serde(borrow, default)]
    pub results: Vec<Change<'a>>,
}

/// One event with its sequence number: a change to the host list, a purge, or an event of another type.
#[derive(Debug, Deserialize)]
pub struct Change<'a> {
    pub seq: u64,
    #[serde(borrow)]
    pub fleet: Option<FleetUpdate<'a>>,
    #[serde(borrow)]
    pub invalidate: Option<Purge<'a>>,
}

impl Change<'_> {
    /// All timestamps in this event, in Unix milliseconds by the wall clocks of other machines.
    pub fn remote_timestamps_ms(&self) -> impl Iterator<Item = f64> {
        let endpoints = self.fleet.iter().flat_map(|fleet| &fleet.endpoints);
        endpoints
            .filter_map(|endpoint| endpoint.since_ms)
            .chain(self.invalidate.iter().map(|purge| purge.unix_ms))
    }
}

/// A change to the host list, or the whole list if it is a snapshot.
#[derive(Debug, Deserialize)]
pub struct FleetUpdate<'a> {
    #[serde(default)]
    pub snapshot: bool,
    #[serde(borrow, default)]
    pub endpoints: Vec<Endpoint<'a>>,
}

/// A host as the host list describes it.
#[derive(Debug, Deserialize)]
pub struct Endpoint<'a> {
    #[serde(borrow)]
    pub name: Cow<'a, str>,
    #[serde(borrow, default)]
    pub address: Cow<'a, str>,
    #[serde(borrow, default)]
    pub zone: Cow<'a, str>,
    #[serde(borrow, default, rename = "type")]
    pub kind: Cow<'a, str>,
    pub group: Option<u64>,
    #[serde(borrow)]
    pub status: Cow<'a, str>,
    pub weight: Option<f64>,
    /// When the host started, as a Unix timestamp.
    pub since_ms: Option<f64>,
}

/// A purge of an object or of a group of objects.
#[derive(Debug, Deserialize)]
pub struct Purge<'a> {
    #[serde(borrow)]
    pub object: Option<Cow<'a, str>>,
    pub bucket: Option<u64>,
    #[serde(rename = "time")]
    pub unix_ms: f64,
}

/// A poll for the events after `since` that may wait up to `wait_ms` for new ones.
pub fn poll_request(host: &str, since: u64, wait_ms: u128) -> Bytes {
    poll_request_with_query(host, format_args!("since={since}&timeout={wait_ms}"))
}

/// A poll with the given query: replicas accept more fields than the platform's change log.
pub fn poll_request_with_query(host: &str, query: Arguments<'_>) -> Bytes {
    let mut out = BytesMut::new();
    let written = write!(out, "GET /changes?{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    written.expect("writing to a buffer can't fail");
    out.freeze()
}

/// Takes the body of the next answer out of `inbound`, or returns `None` until the answer is complete.
pub fn next_answer(inbound: &mut BytesMut) -> Result<Option<Bytes>, StreamError> {
    if inbound.len() > MAX_ANSWER_BYTES {
        return Err(StreamError("change log answer exceeds the size limit"));
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(inbound) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(StreamError("change log answer is not valid HTTP")),
    };
    if response.code != Some(200) {
        return Err(StreamError("change log answer has a status other than 200"));
    }
    let header_value = |name: &str| {
        let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    if header_value("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return next_chunked_body(inbound, head_length);
    }
    let length = header_value("content-length").and_then(|length| length.parse::<usize>().ok());
    let length = length
        .filter(|&length| length <= MAX_ANSWER_BYTES)
        .ok_or(StreamError("change log answer has no valid content length"))?;
    if inbound.len() < head_length + length {
        return Ok(None);
    }
    inbound.advance(head_length);
    Ok(Some(inbound.split_to(length).freeze()))
}

/// Joins the chunks of a body and takes it out of `inbound`, or returns `None` until all chunks have arrived.
fn next_chunked_body(inbound: &mut BytesMut, head_length: usize) -> Result<Option<Bytes>, StreamError> {
    let (mut position, mut body) = (head_length, BytesMut::new());
    loop {
        let (size_line_length, length) = match httparse::parse_chunk_size(&inbound[position..]) {
            Ok(httparse::Status::Complete((size_line_length, length))) => (size_line_length, length),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(StreamError("chunk of a change log answer has no valid length")),
        };
        let length = usize::try_from(length).ok().filter(|&length| length <= MAX_ANSWER_BYTES);
        let length = length.ok_or(StreamError("chunk of a change log answer exceeds the size limit"))?;
        let end = position + size_line_length + length + 2;
        if inbound.len() < end {
            return Ok(None);
        }
        body.extend_from_slice(&inbound[position + size_line_length..position + size_line_length + length]);
        position = end;
        if length == 0 {
            inbound.advance(position);
            return Ok(Some(body.freeze()));
        }
    }
}
