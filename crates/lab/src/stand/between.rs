//! The ways among members: each is reached at an address of its own here, and what comes there for it, by datagram or by
//! connection, passes as the net lets it. Who sends is told by the address that it sends from.

use super::net::{Net, Party, Passed, Way};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Where one member listens, where others reach it, and the bytes of datagrams that it has sent.
pub struct Between {
    pub listens: Vec<SocketAddr>,
    pub reached: Vec<SocketAddr>,
    sent: Vec<AtomicU64>,
}

impl Between {
    /// Lays the ways to members that listen at these addresses, each of another host.
    pub async fn lay(listens: Vec<SocketAddr>, net: &Arc<Net>) -> std::io::Result<Arc<Self>> {
        let mut doors = Vec::new();
        for _ in &listens {
            let tcp = TcpListener::bind("127.0.0.1:0").await?;
            let udp = UdpSocket::bind(tcp.local_addr()?).await?;
            doors.push((tcp, udp));
        }
        let reached = doors.iter().map(|(tcp, _)| tcp.local_addr()).collect::<std::io::Result<_>>()?;
        let sent = listens.iter().map(|_| AtomicU64::new(0)).collect();
        let between = Arc::new(Self { listens, reached, sent });
        for (to, (tcp, udp)) in doors.into_iter().enumerate() {
            tokio::spawn(datagrams(Arc::clone(&between), to, Arc::new(udp), Arc::clone(net)));
            tokio::spawn(connections(Arc::clone(&between), to, tcp, Arc::clone(net)));
        }
        Ok(between)
    }

    pub fn sent(&self, member: usize) -> u64 {
        self.sent[member].load(Ordering::Relaxed)
    }

    fn who(&self, from: SocketAddr) -> Option<usize> {
        self.listens.iter().position(|listens| listens.ip() == from.ip())
    }
}

async fn datagrams(of: Arc<Between>, to: usize, udp: Arc<UdpSocket>, net: Arc<Net>) {
    let mut bytes = [0; 2048];
    loop {
        let Ok((length, from)) = udp.recv_from(&mut bytes).await else { continue };
        let Some(who) = of.who(from) else { continue };
        of.sent[who].fetch_add(length as u64, Ordering::Relaxed);
        let ways = (Party::Dispatcher(who), Party::Dispatcher(to));
        // A datagram does not wait for a way to be mended.
        if net.way(ways.0, ways.1) == Some(Way::Cut) {
            continue;
        }
        let (net, udp, at) = (Arc::clone(&net), Arc::clone(&udp), of.listens[to]);
        let said = bytes[..length].to_vec();
        tokio::spawn(async move {
            if net.pass(ways.0, ways.1).await == Passed::Whole {
                let _ = udp.send_to(&said, at).await;
            }
        });
    }
}

async fn connections(of: Arc<Between>, to: usize, tcp: TcpListener, net: Arc<Net>) {
    while let Ok((near, from)) = tcp.accept().await {
        let Some(who) = of.who(from) else { continue };
        let (ways, net, at) =
            ((Party::Dispatcher(who), Party::Dispatcher(to)), Arc::clone(&net), of.listens[to]);
        tokio::spawn(async move {
            // A connection needs both ways; one that is cut says nothing.
            let cut =
                |net: &Net| [ways, (ways.1, ways.0)].iter().any(|(a, b)| net.way(*a, *b) == Some(Way::Cut));
            if cut(&net) {
                return tokio::time::sleep(Duration::from_secs(5)).await;
            }
            let Ok(mut far) = TcpStream::connect(at).await else {
                // Nobody listens there: as the system of that host would say it.
                let _ = near.set_zero_linger();
                return;
            };
            let mut near = near;
            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
        });
    }
}
