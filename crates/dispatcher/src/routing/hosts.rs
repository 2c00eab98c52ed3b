//! Cache hosts, parents and the origin as they are connected to. A connection belongs to one life of one host.

use super::{Dispatcher, Key};
use bytes::Bytes;
use myrtlegauge::interface::{GetIndex, HostEntry, HostIndex};
use myrtlegauge_wire::transport::Connection;
use std::net::SocketAddr;
use std::time::Duration;

pub struct Host {
    pub name: Bytes,
    /// As the list told it last.
    pub entry: HostEntry,
    pub address: Option<SocketAddr>,
    /// Since when it is gone; nothing is sent there any more.
    pub gone_at: Option<Duration>,
    /// When all connections to it had ended at its end, or a dial was refused, for the last time.
    pub process_ended_at: Option<Duration>,
    pub links: Vec<Key>,
}

pub struct Link {
    pub connection: Connection<Dispatcher>,
    pub host: HostIndex,
    pub up: bool,
    /// It did not come up in the time that GETs wait for it, and may still.
    pub late: bool,
    /// When it came up, or, before that, when it was asked for.
    pub since: Duration,
    /// GETs with a forward out here, those that wait for it to come up included.
    pub out: Vec<GetIndex>,
    /// Takes nothing new: its host has started anew, or something out here was given up in silence.
    pub retired: bool,
    pub ended: bool,
    pub heard_at: Duration,
    /// Since when a part of an answer waits for its rest.
    pub part_since: Option<Duration>,
    pub used_at: Duration,
}

impl Link {
    pub fn takes(&self, streams: usize) -> bool {
        !self.retired && !self.ended && !self.late && self.out.len() < streams
    }
}
