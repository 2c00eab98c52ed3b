//! Polls of the other replicas: sent as the core asks for them, their answers handed to it.

use crate::service::{Service, Who};
use bytes::Bytes;
use myrtlegauge_operator::file::ReplicaPeer;
use myrtlegauge_replication::{PeerPoll, ReplicaName};
use myrtlegauge_wire::long_poll::LongPollClient;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{EventLoopHandle, ResourceUsage};
use std::rc::Rc;
use std::time::Duration;

/// Names one peer, by its place in the operator file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerKey(usize);

struct Peer {
    name: ReplicaName,
    poll: LongPollClient<Service>,
}

/// All other replicas.
pub struct Peers(Vec<Peer>);

/// What came of the poll of a peer.
pub struct PeerOutcome {
    /// The peer.
    pub name: ReplicaName,
    /// The body of its answer, or why there is none.
    pub answer: Result<Bytes, StreamError>,
}

impl Peers {
    /// The peers of an operator file.
    pub fn new(told: &[ReplicaPeer]) -> Self {
        let peer = |(place, peer): (usize, &ReplicaPeer)| Peer {
            name: ReplicaName(peer.name.clone()),
            poll: LongPollClient::new(peer.address, Who::Peer(PeerKey(place))),
        };
        Self(told.iter().enumerate().map(peer).collect())
    }

    /// Sends a poll.
    pub fn ask(&mut self, ask: &PeerPoll, hub: &EventLoopHandle<Service>, accounts: &Rc<ResourceUsage>) {
        let Some(peer) = self.0.iter_mut().find(|peer| peer.name == ask.to) else { return };
        peer.poll.start_poll(&ask.request.to_query(), ask.deadline, hub, accounts);
    }

    /// Reads and writes what can be; true: there is more to read.
    pub fn on_ready(&mut self, key: PeerKey, shared: &mut [u8]) -> bool {
        self.0[key.0].poll.on_ready(shared)
    }

    /// The next poll that was answered or has failed.
    pub fn next(&mut self, now: Duration) -> Option<PeerOutcome> {
        let outcome = |peer: &mut Peer| {
            Some(PeerOutcome { answer: peer.poll.take_result(now)?, name: peer.name.clone() })
        };
        self.0.iter_mut().find_map(outcome)
    }

    /// When the first open poll is given up.
    pub fn due(&self) -> Duration {
        self.0.iter().map(|peer| peer.poll.deadline()).min().unwrap_or(Duration::MAX)
    }
}
