//! The way between a client and its dispatcher, with what can go wrong on it: it goes silent, it drops a connection after
//! so many bytes in either direction, and it counts what passes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub struct Way {
    pub address: SocketAddr,
    open: watch::Sender<bool>,
    /// Bytes from now on after which the connection that carries them is dropped; under zero: none.
    drops_after: AtomicI64,
    /// Answers to effects that are still to be lost on their way back: the effect ran, and its client never hears.
    pub loses: AtomicU64,
    pub connections: AtomicU64,
    pub dropped: AtomicU64,
    passed: Mutex<Passed>,
}

/// What was read off the bytes that passed.
#[derive(Default, Clone)]
pub struct Passed {
    pub tries: Vec<Tried>,
    /// When a refusal passed, and how long it asks to be left alone.
    pub pauses: Vec<(Instant, Duration)>,
}

/// A request, by its parameters.
#[derive(Clone, Copy)]
pub struct Tried {
    pub at: Instant,
    pub object: u64,
    /// Of the tokened service; of the one whose effect must not happen twice.
    pub order: bool,
    confirms: bool,
    /// The first try's id and the number of this one, where it is marked.
    pub mark: Option<(u64, u32)>,
    /// The connection that it was on, and its number there; a refusal came back for it.
    on: (u64, [u8; 2]),
    pub refused: bool,
}

/// The value of a parameter in a stretch of requests: what follows its name up to the next that is no digit.
fn value<'a>(text: &'a [u8], name: &str) -> Option<&'a str> {
    let at = text.windows(name.len()).position(|part| part == name.as_bytes())? + name.len();
    let rest = &text[at..];
    let long = rest.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    std::str::from_utf8(&rest[..long]).ok()
}

impl Way {
    pub fn passed(&self) -> Passed {
        self.passed.lock().expect("no holder panics").clone()
    }

    /// Notes the requests in bytes that go to the dispatcher, each by its first parameter.
    fn note_requests(&self, connection: u64, bytes: &[u8]) {
        const FIRST: &[u8] = b"SCRIPT_NAME";
        let starts =
            bytes.windows(FIRST.len()).enumerate().filter(|(_, part)| *part == FIRST).map(|(at, _)| at);
        let starts: Vec<_> = starts.collect();
        for (n, &start) in starts.iter().enumerate() {
            let text = &bytes[start..starts.get(n + 1).copied().unwrap_or(bytes.len())];
            let hex = |name: &str| value(text, name).and_then(|v| u64::from_str_radix(v, 16).ok());
            let number = value(text, "HTTP_X_TRY").and_then(|number| number.parse().ok());
            let tried = Tried {
                at: Instant::now(),
                object: hex("HTTP_RESOURCE_KEY").unwrap_or(0),
                order: text.windows(10).any(|part| part == b"order-note"),
                confirms: text.windows(16).any(|part| part == b"delivery-confirm"),
                mark: hex("HTTP_X_FIRST_ID").zip(number),
                // The record's head and the lengths of the first pair stand before it.
                on: (connection, start.checked_sub(8).map_or([0; 2], |at| [bytes[at], bytes[at + 1]])),
                refused: false,
            };
            self.passed.lock().expect("no holder panics").tries.push(tried);
        }
    }

    /// Whether these bytes answer an effect that ran, and are to be lost.
    fn is_to_be_lost(&self, connection: u64, bytes: &[u8]) -> bool {
        const DONE: &[u8] = b"Status: 200";
        if self.loses.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let passed = self.passed.lock().expect("no holder panics");
        let at = bytes.windows(DONE.len()).enumerate().filter(|(_, part)| *part == DONE).map(|(at, _)| at);
        let lost = at.filter_map(|at| at.checked_sub(6)).any(|head| {
            let on = (connection, [bytes[head], bytes[head + 1]]);
            passed.tries.iter().rev().find(|tried| tried.on == on).is_some_and(|tried| tried.confirms)
        });
        if lost {
            self.loses.fetch_sub(1, Ordering::Relaxed);
        }
        lost
    }

    fn note_answers(&self, connection: u64, bytes: &[u8]) {
        for status in [&b"Status: 503"[..], b"Status: 429"] {
            for (at, _) in bytes.windows(status.len()).enumerate().filter(|(_, part)| *part == status) {
                let Some(head) = at.checked_sub(6) else { continue };
                let on = (connection, [bytes[head], bytes[head + 1]]);
                let mut passed = self.passed.lock().expect("no holder panics");
                if let Some(tried) = passed.tries.iter_mut().rev().find(|tried| tried.on == on) {
                    tried.refused = true;
                }
            }
        }
        const PAUSE: &str = "Back-Off-Ms: ";
        let mut rest = bytes;
        while let Some(at) = rest.windows(PAUSE.len()).position(|part| part == PAUSE.as_bytes()) {
            rest = &rest[at..];
            let ms = value(rest, PAUSE).and_then(|ms| ms.parse::<u64>().ok());
            // What is no time, or a year, is bounded by the library; it is judged up to what any is kept.
            if let Some(ms) = ms.filter(|ms| *ms <= 60_000) {
                let pause = (Instant::now(), Duration::from_millis(ms));
                self.passed.lock().expect("no holder panics").pauses.push(pause);
            }
            rest = &rest[PAUSE.len()..];
        }
    }

    pub async fn lay(to: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let way = Arc::new(Self {
            address: listener.local_addr()?,
            open: watch::Sender::new(true),
            drops_after: AtomicI64::new(-1),
            loses: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            passed: Mutex::default(),
        });
        let laid = Arc::clone(&way);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let way = Arc::clone(&laid);
                let connection = way.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(to).await else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (near, far) = (near.into_split(), far.into_split());
                    tokio::select! {
                        () = way.pass(near.0, far.1, connection, true) => {}
                        () = way.pass(far.0, near.1, connection, false) => {}
                    }
                });
            }
        });
        Ok(way)
    }

    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// The connection on which so many more bytes have passed is dropped there.
    pub fn drop_after(&self, bytes: u32) {
        self.drops_after.store(bytes.into(), Ordering::Relaxed);
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, connection: u64, asks: bool) {
        let (mut bytes, mut open) = (vec![0; 16 * 1024], self.open.subscribe());
        loop {
            let Ok(n @ 1..) = from.read(&mut bytes).await else { return };
            if open.wait_for(|open| *open).await.is_err() {
                return;
            }
            let left = self.drops_after.load(Ordering::Relaxed);
            if left >= 0 {
                let rest = left - n as i64;
                self.drops_after.store(rest.max(-1), Ordering::Relaxed);
                if rest < 0 {
                    // A part of it still passes: that is the point.
                    let _ = to.write_all(&bytes[..left as usize]).await;
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                    return;
                }
            }
            if asks {
                self.note_requests(connection, &bytes[..n]);
            } else if self.is_to_be_lost(connection, &bytes[..n]) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return;
            } else {
                self.note_answers(connection, &bytes[..n]);
            }
            if to.write_all(&bytes[..n]).await.is_err() {
                return;
            }
        }
    }
}
