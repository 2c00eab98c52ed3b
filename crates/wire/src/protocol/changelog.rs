//! The change log: HTTP/1.1 around JSON, polled one answer at a time.

use super::Fault;
use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::{Arguments, Write};

/// Bytes of one answer; a list of a thousand hosts takes a fifth of it.
const ANSWER_MOST: usize = 1024 * 1024;
const HEADERS_MOST: usize = 32;

#[derive(Debug, Deserialize)]
pub struct Changes<'a> {
    #[serde(rename = "seq")]
    pub last: u64,
    #[serde(borrow, default)]
    pub results: Vec<Change<'a>>,
}

impl Changes<'_> {
    /// All times by other machines' wall clocks that these events tell.
    pub fn stamps(&self) -> impl Iterator<Item = f64> {
        self.results.iter().flat_map(|change| {
            let lines = change.fleet.iter().flat_map(|fleet| &fleet.endpoints);
            lines.filter_map(|line| line.since_ms).chain(change.invalidate.iter().map(|purge| purge.unix_ms))
        })
    }
}

/// One numbered event: a change to the list, a purge, or something that is not known here.
#[derive(Debug, Deserialize)]
pub struct Change<'a> {
    #[serde(rename = "seq")]
    pub number: u64,
    #[serde(borrow)]
    pub fleet: Option<Fleet<'a>>,
    #[serde(borrow)]
    pub invalidate: Option<Purge<'a>>,
}

#[derive(Debug, Deserialize)]
pub struct Fleet<'a> {
    #[serde(default)]
    pub snapshot: bool,
    #[serde(borrow, default)]
    pub endpoints: Vec<Endpoint<'a>>,
}

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

#[derive(Debug, Deserialize)]
pub struct Purge<'a> {
    #[serde(borrow)]
    pub object: Option<Cow<'a, str>>,
    pub bucket: Option<u64>,
    #[serde(rename = "time")]
    pub unix_ms: f64,
}

pub fn poll(host: &str, since: u64, wait_ms: u128) -> Bytes {
    poll_with(host, format_args!("since={since}&timeout={wait_ms}"))
}

/// A poll with a whole query of its own: replicas take more fields than the platform's change log.
pub fn poll_with(host: &str, query: Arguments<'_>) -> Bytes {
    let mut out = BytesMut::new();
    let line = write!(out, "GET /changes?{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    line.expect("a buffer takes all that is written");
    out.freeze()
}

/// Takes the body of the next answer out of what came in; none until it is whole.
pub fn next(inbound: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    if inbound.len() > ANSWER_MOST {
        return Err(Fault("an answer of the change log over the bound"));
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(inbound) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Fault("an answer of the change log that is no HTTP")),
    };
    if response.code != Some(200) {
        return Err(Fault("a change log that answers with another status"));
    }
    let told = |name: &str| {
        let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        header.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if told("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return chunked(inbound, head);
    }
    let long = told("content-length").and_then(|long| long.parse::<usize>().ok());
    let long = long.filter(|&long| long <= ANSWER_MOST).ok_or(Fault("a change log without a length"))?;
    if inbound.len() < head + long {
        return Ok(None);
    }
    inbound.advance(head);
    Ok(Some(inbound.split_to(long).freeze()))
}

/// Puts the chunks of a body together once they are all there.
fn chunked(inbound: &mut BytesMut, head: usize) -> Result<Option<Bytes>, Fault> {
    let (mut at, mut body) = (head, BytesMut::new());
    loop {
        let (line, long) = match httparse::parse_chunk_size(&inbound[at..]) {
            Ok(httparse::Status::Complete((line, long))) => (line, long),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Fault("a chunk of the change log without a length")),
        };
        let long = usize::try_from(long).ok().filter(|&long| long <= ANSWER_MOST);
        let long = long.ok_or(Fault("a chunk of the change log over the bound"))?;
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
