//! The change log: JSON over HTTP/1.1, polled one answer at a time.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt::{Arguments, Write};

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
