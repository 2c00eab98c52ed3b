//! The way between a proxy and the control service, which can go silent without a word: connections stay open, and
//! nothing passes.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub struct Link {
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Link {
    pub async fn lay(to: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Arc::new(Self { address: listener.local_addr()?, open: watch::Sender::new(true) });
        let open = link.open.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let open = open.clone();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(to).await else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (near, far) = (near.into_split(), far.into_split());
                    tokio::select! {
                        () = pass(near.0, far.1, open.clone()) => {}
                        () = pass(far.0, near.1, open) => {}
                    }
                });
            }
        });
        Ok(link)
    }

    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    pub fn mend(&self) {
        self.open.send_replace(true);
    }
}

/// Passes on what comes, while the way is open; what comes meanwhile waits.
pub async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut open: watch::Receiver<bool>) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(n @ 1..) = from.read(&mut bytes).await else { return };
        if open.wait_for(|open| *open).await.is_err() || to.write_all(&bytes[..n]).await.is_err() {
            return;
        }
    }
}
