//! The change log: JSON over HTTP/1.1, polled one answer at a time.

use super::StreamError;
use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::{Arguments, Write};

/// Bytes of one answer; a list of a thousand hosts takes a fifth of it.
const ANSWER_MOST: usize = 1024 * 1024;
const HEADERS_MOST: usize = 32;

/// An answer of the change log: events, and the sequence number of the last one.
#[derive(Debug, Deserialize)]
pub struct Changes<'a> {
    #[serde(rename = "seq")]
    pub last_seq: u64,
    #[serde(borrow, default)]
    pub results: Vec<Change<'a>>,
}

impl Changes<'_> {
    /// All timestamps in these events, in Unix milliseconds by the wall clocks of other machines.
    pub fn remote_timestamps_ms(&self) -> impl Iterator<Item = f64> {
        self.results.iter().flat_map(|change| {
            let lines = change.fleet.iter().flat_map(|fleet| &fleet.endpoints);
            lines.filter_map(|line| line.since_ms).chain(change.invalidate.iter().map(|purge| purge.unix_ms))
        })
    }
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
    let line = write!(out, "GET /changes?{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    line.expect("a buffer takes all that is written");
    out.freeze()
}

/// Takes the body of the next answer out of `inbound`, or returns `None` until the answer is complete.
pub fn next_answer(inbound: &mut BytesMut) -> Result<Option<Bytes>, StreamError> {
    if inbound.len() > ANSWER_MOST {
        return Err(StreamError("an answer of the change log over the bound"));
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(inbound) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(StreamError("an answer of the change log that is no HTTP")),
    };
    if response.code != Some(200) {
        return Err(StreamError("a change log that answers with another status"));
    }
    let told = |name: &str| {
        let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if told("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return chunked(inbound, head);
    }
    let long = told("content-length").and_then(|long| long.parse::<usize>().ok());
    let long =
        long.filter(|&long| long <= ANSWER_MOST).ok_or(StreamError("a change log without a length"))?;
    if inbound.len() < head + long {
        return Ok(None);
    }
    inbound.advance(head);
    Ok(Some(inbound.split_to(long).freeze()))
}

/// Puts the chunks of a body together once they are all there.
fn chunked(inbound: &mut BytesMut, head: usize) -> Result<Option<Bytes>, StreamError> {
    let (mut at, mut body) = (head, BytesMut::new());
    loop {
        let (line, long) = match httparse::parse_chunk_size(&inbound[at..]) {
            Ok(httparse::Status::Complete((line, long))) => (line, long),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(StreamError("a chunk of the change log without a length")),
        };
        let long = usize::try_from(long).ok().filter(|&long| long <= ANSWER_MOST);
        let long = long.ok_or(StreamError("a chunk of the change log over the bound"))?;
        let end = at + line + long + 2;
        if inbound.len() < end {
            return Ok(None);
        }
        body.extend_from_slice(&inbound[at + line..at + line + long]);
        at = end;
        if long == 0 {
            inbound.advance(at);
            return Ok(Some(body.freeze()));
        }
    }
}
