//! Polls of the other replicas, sent at the request of the core; their responses are returned to it.

use crate::service::{EventSource, Service};
use bytes::Bytes;
use myrtlegauge_operator::file::ReplicaPeer;
use myrtlegauge_replication::{PeerPoll, ReplicaName};
use myrtlegauge_wire::long_poll::LongPollClient;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{EventLoopHandle, ResourceUsage};
use std::rc::Rc;
use std::time::Duration;

/// Identifies a peer by its index in the operator file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerKey(usize);

struct Peer {
    name: ReplicaName,
    poll: LongPollClient<Service>,
}

/// The other replicas.
pub struct Peers(Vec<Peer>);

/// The result of polling a peer.
pub struct PeerOutcome {
    /// The name of the peer.
    pub name: ReplicaName,
    /// The body of the response, or the error of the connection.
    pub result: Result<Bytes, StreamError>,
}

impl Peers {
    /// Creates the clients for the peers of an operator file.
    pub fn new(peers: &[ReplicaPeer]) -> Self {
        let to_peer = |(index, peer): (usize, &ReplicaPeer)| Peer {
            name: ReplicaName(peer.name.clone()),
            poll: LongPollClient::new(peer.address, EventSource::Peer(PeerKey(index))),
        };
        Self(peers.iter().enumerate().map(to_peer).collect())
    }

    /// Sends a poll; ignores one to an unknown peer.
    pub fn start_poll(
        &mut self,
        poll: &PeerPoll,
        event_loop: &EventLoopHandle<Service>,
        usage: &Rc<ResourceUsage>,
    ) {
        let Some(peer) = self.0.iter_mut().find(|peer| peer.name == poll.to) else { return };
        peer.poll.start_poll(&poll.request.to_query(), poll.deadline, event_loop, usage);
    }

    /// Reads and writes as much as the socket allows; returns whether more can be read.
    pub fn on_ready(&mut self, key: PeerKey, read_buffer: &mut [u8]) -> bool {
        self.0[key.0].poll.on_ready(read_buffer)
    }

    /// Returns the result of the next poll that was answered or has failed.
    pub fn next_outcome(&mut self, now: Duration) -> Option<PeerOutcome> {
        let outcome = |peer: &mut Peer| {
            Some(PeerOutcome { result: peer.poll.take_result(now)?, name: peer.name.clone() })
        };
        self.0.iter_mut().find_map(outcome)
    }

    /// Returns the earliest deadline of the open polls.
    pub fn deadline(&self) -> Duration {
        self.0.iter().map(|peer| peer.poll.deadline()).min().unwrap_or(Duration::MAX)
    }
}
