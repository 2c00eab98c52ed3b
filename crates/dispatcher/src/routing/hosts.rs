//! Connections to cache hosts, parents and the origin. A connection belongs to one incarnation of one host.

use super::{ConnectionKey, Dispatcher};
use bytes::Bytes;
use myrtlegauge::interface::{Forward, Get, GetIndex, HostEntry, HostIndex, PurgeKey};
use myrtlegauge_wire::transport::Connection;
use std::collections::{BTreeSet, HashMap};
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
    /// Whether a connection has come up, or the process was observed to end, since the host, its address or its restart was
    /// listed. The process that answers after that may be another one.
    pub was_reached: bool,
    pub links: Vec<ConnectionKey>,
}

/// A connection to a host.
pub struct Link {
    pub connection: Connection<Dispatcher>,
    pub host: HostIndex,
    pub is_up: bool,
    /// Whether the process at the other end is known to be the listed one: the connection was the first since the host was
    /// listed, or was compared with a known one.
    pub is_process_known: bool,
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

/// A host at an address, and since when the list names it there.
struct ListedHost {
    host: HostIndex,
    since: Duration,
}

/// The hosts listed at each address. A host that has started may be listed at the address of one that is not removed
/// yet.
#[derive(Default)]
pub struct HostAddresses {
    hosts: HashMap<SocketAddr, Vec<ListedHost>>,
}

impl HostAddresses {
    /// Replaces the address of a host at `now`, and returns the one that it had.
    pub fn replace(
        &mut self,
        host: HostIndex,
        current: &mut Option<SocketAddr>,
        address: Option<SocketAddr>,
        now: Duration,
    ) -> Option<SocketAddr> {
        let known = std::mem::replace(current, address);
        if known == address {
            return known;
        }
        if let Some(known) = known
            && let Some(hosts) = self.hosts.get_mut(&known)
        {
            hosts.retain(|listed| listed.host != host);
            if hosts.is_empty() {
                self.hosts.remove(&known);
            }
        }
        if let Some(address) = address {
            self.hosts.entry(address).or_default().push(ListedHost { host, since: now });
        }
        known
    }

    /// Records that a host's start at its address is listed at `now`.
    pub fn restart(&mut self, host: HostIndex, address: SocketAddr, now: Duration) {
        let hosts = self.hosts.get_mut(&address).into_iter().flatten();
        hosts.filter(|listed| listed.host == host).for_each(|listed| listed.since = now);
    }

    /// The hosts at an address, in the order in which they were listed there.
    pub fn hosts_at(&self, address: SocketAddr) -> impl Iterator<Item = HostIndex> {
        self.listed_at(address).iter().map(|listed| listed.host)
    }

    /// The hosts that are listed at a host's address later than it, whose processes have taken the place of its own.
    pub fn successors(&self, host: HostIndex, address: SocketAddr) -> impl Iterator<Item = HostIndex> {
        let listed = self.listed_at(address);
        let since = listed.iter().find(|listed| listed.host == host).map(|listed| listed.since);
        let is_later = move |listed: &&ListedHost| since.is_some_and(|since| listed.since > since);
        listed.iter().filter(is_later).map(|listed| listed.host)
    }

    fn listed_at(&self, address: SocketAddr) -> &[ListedHost] {
        self.hosts.get(&address).map_or(&[], Vec::as_slice)
    }
}

/// Drains, removals and purges that contradict decisions made before they were received.
#[derive(Default, PartialEq, Eq)]
pub struct OutdatedDecisions {
    /// Hosts that nothing is to be sent to or filled from any more.
    pub hosts: BTreeSet<HostIndex>,
    pub purges: BTreeSet<PurgeKey>,
}

impl OutdatedDecisions {
    /// Whether the decision on a GET is outdated.
    pub fn includes(&self, get: &Get, decision: &Forward) -> bool {
        self.hosts.contains(&decision.host)
            || self.hosts.contains(&decision.source)
            || self.purges.contains(&PurgeKey::Object(get.object))
            || self.purges.contains(&PurgeKey::Group(get.group))
    }
}
