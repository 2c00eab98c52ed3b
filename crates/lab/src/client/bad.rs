//! A dispatcher that is no good: it refuses everybody, says nothing, writes what can't be read, answers twice, or only
//! half. It never runs what it is asked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const WAYS: u32 = 6;

pub struct Bad {
    pub address: SocketAddr,
    pub way: AtomicU32,
    pub asked: AtomicU64,
}

impl Bad {
    pub async fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let bad = Arc::new(Self {
            address: listener.local_addr()?,
            way: AtomicU32::new(0),
            asked: AtomicU64::new(0),
        });
        let serves = Arc::clone(&bad);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let bad = Arc::clone(&serves);
                tokio::spawn(async move { bad.serve(stream).await });
            }
        });
        Ok(bad)
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let mut head = [0; 8];
            stream.read_exact(&mut head).await?;
            let long = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
            let mut content = vec![0; long];
            stream.read_exact(&mut content).await?;
            // The empty STDIN record ends a request.
            if head[1] != 5 || long > 0 {
                continue;
            }
            self.asked.fetch_add(1, Ordering::Relaxed);
            let number = [head[2], head[3]];
            let record = |kind: u8, content: &[u8]| {
                let long = (content.len() as u16).to_be_bytes();
                [&[1, kind, number[0], number[1], long[0], long[1], 0, 0], content].concat()
            };
            let end = record(3, &[0; 8]);
            let shed = |pause: &str| {
                let text = format!("Status: 503\r\nBack-Off-Ms: {pause}\r\n\r\n");
                [record(6, text.as_bytes()), end.clone()].concat()
            };
            let answer = match self.way.load(Ordering::Relaxed) {
                0 => shed("300"),
                1 => Vec::new(),
                2 => b"HTTP/1.1 502 Bad Gateway\r\n\r\n".to_vec(),
                3 => [shed("150"), shed("150")].concat(),
                4 => record(6, b"Status: 200\r\n\r\nhalf of it"),
                _ => shed(["0", "-7", "31536000000", "soon"][usize::from(number[1]) % 4]),
            };
            stream.write_all(&answer).await?;
        }
    }
}
