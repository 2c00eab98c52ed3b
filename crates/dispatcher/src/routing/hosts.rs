//! Connections to cache hosts, parents and the origin. A connection belongs to one incarnation of one host.

use super::{ConnectionKey, Dispatcher};
use bytes::Bytes;
use myrtlegauge::interface::{GetIndex, HostEntry, HostIndex};
use myrtlegauge_wire::transport::Connection;
use std::net::SocketAddr;
use std::time::Duration;

/// A host of the list with its connections.
pub struct Host {
    pub name: Bytes,
    /// The host's entry as last listed.
    pub entry: HostEntry,
    pub address: Option<SocketAddr>,
    /// When the host was removed from the list. Nothing is sent to a removed host.
    pub removed_at: Option<Duration>,
    /// The last time that all connections were ended by the host, or that a connection attempt was refused.
    pub process_ended_at: Option<Duration>,
    pub links: Vec<ConnectionKey>,
}

/// A connection to a host.
pub struct Link {
    pub connection: Connection<Dispatcher>,
    pub host: HostIndex,
    pub is_up: bool,
    /// Whether the connection was not established within the connect timeout. It may still be.
    pub is_late: bool,
    /// When the connection was established; before that, when it was dialled.
    pub opened_at: Duration,
    /// GETs with a forward on this connection, including those that wait for it to be established.
    pub in_flight_gets: Vec<GetIndex>,
    /// Takes no new forwards: the host has restarted, or a forward was abandoned without a byte received.
    pub is_retired: bool,
    pub has_ended: bool,
    pub received_at: Duration,
    /// Since when an incomplete reply has been waiting for its remaining bytes.
    pub partial_since: Option<Duration>,
    pub last_used_at: Duration,
}

impl Link {
    /// Whether the connection takes another forward.
    pub fn has_capacity(&self, streams_per_connection: usize) -> bool {
        !self.is_retired
            && !self.has_ended
            && !self.is_late
            && self.in_flight_gets.len() < streams_per_connection
    }
}
