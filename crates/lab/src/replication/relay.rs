//! The ways between replicas: each ordered pair has a relay, and what goes in one direction between two of them can be cut
//! while the other direction passes. What is cut waits, as bytes on a broken way do, until the way is healed.
//!
//! The ways from dispatchers to replicas pass all, and tell the oracle when a dispatcher polled.

use super::errors::{ProofError, io};
use super::oracle::Oracle;
use crate::stand::link;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What goes from one replica to another, by their places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// From this one.
    pub from: usize,
    /// To that one.
    pub to: usize,
}

impl Direction {
    fn back(self) -> Self {
        Self { from: self.to, to: self.from }
    }
}

/// All ways between replicas.
pub struct Relays {
    addresses: BTreeMap<Direction, SocketAddr>,
    open: BTreeMap<Direction, watch::Sender<bool>>,
}

impl Relays {
    /// Lays the ways between replicas that listen at these addresses.
    pub async fn lay(replicas: &[SocketAddr]) -> Result<Self, ProofError> {
        let places = 0..replicas.len();
        let directions = places
            .clone()
            .flat_map(|from| places.clone().map(move |to| Direction { from, to }))
            .filter(|direction| direction.from != direction.to);
        let open = directions.map(|direction| (direction, watch::Sender::new(true))).collect();
        let mut relays = Self { addresses: BTreeMap::new(), open };
        for direction in relays.open.keys().copied().collect::<Vec<_>>() {
            let address = relays.lay_one(direction, replicas[direction.to]).await?;
            relays.addresses.insert(direction, address);
        }
        Ok(relays)
    }

    async fn lay_one(&self, direction: Direction, to: SocketAddr) -> Result<SocketAddr, ProofError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("a relay"))?;
        let address = listener.local_addr().map_err(io("a relay"))?;
        let (there, back) = (self.open[&direction].subscribe(), self.open[&direction.back()].subscribe());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, to, there.clone(), back.clone()));
            }
        });
        Ok(address)
    }

    /// Where one replica reaches another.
    pub fn address(&self, direction: Direction) -> SocketAddr {
        self.addresses[&direction]
    }

    /// Nothing passes in this direction any more.
    pub fn cut(&self, direction: Direction) {
        self.open[&direction].send_replace(false);
    }

    /// All passes again.
    pub fn heal(&self, direction: Direction) {
        self.open[&direction].send_replace(true);
    }
}

async fn relay(near: TcpStream, to: SocketAddr, there: watch::Receiver<bool>, back: watch::Receiver<bool>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near, far) = (near.into_split(), far.into_split());
    tokio::select! {
        () = link::pass(near.0, far.1, there) => {}
        () = link::pass(far.0, near.1, back) => {}
    }
}

const POLL_BYTES: usize = 16 * 1024;
/// What a poll that renews the dispatcher's lease has in its query, and a probe of a replica to go back to has not.
const LEASE_POLL: &[u8] = b"role=dispatcher";

/// Lays the way of a dispatcher to a replica. The oracle is told of each poll that renews the lease before the replica is.
pub async fn lay_polls(
    dispatcher: &str,
    replica: SocketAddr,
    oracle: &Arc<Oracle>,
) -> Result<SocketAddr, ProofError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("a relay"))?;
    let address = listener.local_addr().map_err(io("a relay"))?;
    let (dispatcher, oracle) = (dispatcher.to_owned(), Arc::clone(oracle));
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(relay_polls(near, replica, dispatcher.clone(), Arc::clone(&oracle)));
        }
    });
    Ok(address)
}

async fn relay_polls(near: TcpStream, replica: SocketAddr, dispatcher: String, oracle: Arc<Oracle>) {
    let Ok(far) = TcpStream::connect(replica).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, mut near_out), (mut far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::select! {
        () = pass_polls(near_in, far_out, &dispatcher, &oracle) => {}
        _ = tokio::io::copy(&mut far_in, &mut near_out) => {}
    }
}

async fn pass_polls(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, dispatcher: &str, oracle: &Oracle) {
    let mut bytes = vec![0; POLL_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if bytes[..count].windows(LEASE_POLL.len()).any(|part| part == LEASE_POLL) {
            oracle.polled(dispatcher);
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
