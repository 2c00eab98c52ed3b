//! A client of the dispatcher over FastCGI, with connections that it keeps.

use super::hosts::Host;
use super::ledger::Ledger;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Connections kept.
const KEPT: usize = 4;
/// FastCGI's types of records.
const BEGIN: u8 = 1;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
/// Bits of a marked id below its mark.
const MARK_SHIFT: u32 = 48;

/// A client of the dispatcher, with connections that it keeps.
pub struct Client {
    to: SocketAddr,
    /// The upper digits of the ids of its requests; none: the whole id is drawn.
    mark: Option<u16>,
    ledger: Arc<Ledger>,
    pool: Mutex<Vec<TcpStream>>,
    /// Numbers of requests: an answer under another one is a second answer to an earlier request.
    numbers: AtomicU16,
    pub second_answers: AtomicU64,
}

fn record(out: &mut Vec<u8>, kind: u8, number: u16, content: &[u8]) {
    let [high, low] = number.to_be_bytes();
    out.extend_from_slice(&[1, kind, high, low]);
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[0, 0]);
    out.extend_from_slice(content);
}

impl Client {
    pub fn new(to: SocketAddr, ledger: Arc<Ledger>) -> Self {
        Self {
            to,
            mark: None,
            ledger,
            pool: Mutex::default(),
            numbers: AtomicU16::new(0),
            second_answers: AtomicU64::new(0),
        }
    }

    /// The same with ids that begin with a mark, so that a host knows by whom a forward was asked for.
    pub fn marked(self, mark: u16) -> Self {
        Self { mark: Some(mark), ..self }
    }

    fn draw_id(&self) -> u64 {
        let drawn = fastrand::u64(..);
        self.mark.map_or(drawn, |mark| u64::from(mark) << MARK_SHIFT | drawn >> (u64::BITS - MARK_SHIFT))
    }

    pub async fn get(self: Arc<Self>, service: &'static str, object: u64) {
        self.ledger.took();
        let asked = Asked { service, object, deadline: DEADLINE, tried: None, known: false };
        self.ledger.answered(match self.ask(&asked).await {
            Ended::Returned { .. } => "returned",
            Ended::Shed(_) => "shed",
            Ended::OutOfTime => "errored, out of time",
            Ended::Errored | Ended::Refused | Ended::Lost => "errored, may have run",
        });
    }

    /// Asks once, on a connection that is kept or a new one.
    pub async fn ask(&self, asked: &Asked<'_>) -> Ended {
        self.ask_within(asked, asked.deadline).await
    }

    /// The same, but waits for `patience`, which may be longer than the deadline that it tells.
    pub async fn ask_within(&self, asked: &Asked<'_>, patience: Duration) -> Ended {
        let kept = self.pool.lock().expect("no holder panics").pop();
        let stream = match kept {
            Some(kept) => Ok(kept),
            None => TcpStream::connect(self.to).await,
        };
        let Ok(mut stream) = stream else { return Ended::Refused };
        let _ = stream.set_nodelay(true);
        let number = self.numbers.fetch_add(1, Ordering::Relaxed).max(1);
        let answer =
            tokio::time::timeout(patience, exchange(&mut stream, number, self.draw_id(), asked)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => {
                let second = e.kind() == std::io::ErrorKind::InvalidData;
                self.second_answers.fetch_add(u64::from(second), Ordering::Relaxed);
                return Ended::Lost;
            }
            Err(_) => return Ended::OutOfTime,
        };
        let mut pool = self.pool.lock().expect("no holder panics");
        if pool.len() < KEPT {
            pool.push(stream);
        }
        drop(pool);
        let head = String::from_utf8_lossy(&answer[..answer.len().min(160)]).into_owned();
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        match field("Status:").and_then(|status| status.split(' ').next()) {
            Some("200") => Ended::Returned {
                current: field("X-Valid:") == Some("1"),
                born: head.split("born=").nth(1).and_then(|born| born.trim().parse().ok()),
            },
            Some("429" | "503") => {
                let wait = field("Back-Off-Ms:").and_then(|ms| ms.parse().ok());
                Ended::Shed(wait.map(Duration::from_millis))
            }
            _ => Ended::Errored,
        }
    }

    /// Whether it is well, by its own word.
    pub async fn is_healthy(&self) -> bool {
        let asked =
            Asked { service: "", object: 0, deadline: Duration::from_millis(300), tried: None, known: false };
        matches!(self.ask(&asked).await, Ended::Returned { .. })
    }

    /// Connections kept to a life that is no more are of no use.
    pub fn forget(&self) {
        self.pool.lock().expect("no holder panics").clear();
    }
}

/// One request.
pub struct Asked<'a> {
    /// Empty: the question whether it is well.
    pub service: &'a str,
    pub object: u64,
    pub deadline: Duration,
    /// The first try's id and the number of this one.
    pub tried: Option<(u64, u32)>,
    /// The client holds a copy, whose tag it tells.
    pub known: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// `current`: by word that the client's copy is the one; else the copy's birth, Unix milliseconds.
    Returned {
        current: bool,
        born: Option<u64>,
    },
    /// With the time to keep away.
    Shed(Option<Duration>),
    Errored,
    /// No connection: nobody has heard of it.
    Refused,
    /// The connection ended first.
    Lost,
    OutOfTime,
}

async fn exchange(
    stream: &mut TcpStream,
    number: u16,
    id: u64,
    asked: &Asked<'_>,
) -> std::io::Result<Vec<u8>> {
    let (id, key) = (format!("{id:016x}"), format!("{:016x}", asked.object));
    let path =
        if asked.service.is_empty() { "/health".to_owned() } else { format!("/rpc/{}", asked.service) };
    let (group, budget) = ((asked.object % 64).to_string(), asked.deadline.as_millis().max(1).to_string());
    let mut params = Vec::new();
    let mut put = |name: &str, value: &str| {
        params.extend_from_slice(&[name.len() as u8, value.len() as u8]);
        params.extend_from_slice(name.as_bytes());
        params.extend_from_slice(value.as_bytes());
    };
    put("SCRIPT_NAME", &path);
    put("HTTP_REQUEST_ID", &id);
    put("HTTP_BUDGET_MS", &budget);
    put("HTTP_RESOURCE_KEY", &key);
    put("HTTP_X_CHUNK", "0");
    put("HTTP_X_TAG", &group);
    if asked.known {
        put("HTTP_X_KNOWN", "a");
    }
    if let Some((first, number)) = asked.tried {
        put("HTTP_X_FIRST_ID", &format!("{first:016x}"));
        put("HTTP_X_TRY", &number.to_string());
    }
    let mut out = Vec::new();
    record(&mut out, BEGIN, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    record(&mut out, PARAMS, number, &params);
    record(&mut out, PARAMS, number, &[]);
    record(&mut out, STDIN, number, &[]);
    stream.write_all(&out).await?;
    let mut answer = Vec::new();
    loop {
        let mut head = [0; 8];
        stream.read_exact(&mut head).await?;
        let (long, padding) = (u16::from_be_bytes([head[4], head[5]]), head[6]);
        let mut content = vec![0; usize::from(long) + usize::from(padding)];
        stream.read_exact(&mut content).await?;
        if head[2..4] != number.to_be_bytes() {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        match head[1] {
            STDOUT => answer.extend_from_slice(&content[..usize::from(long)]),
            END => return Ok(answer),
            _ => {}
        }
    }
}

/// Waits until the dispatcher has the list: a GET is returned.
pub async fn ready(to: SocketAddr, hosts: &[Arc<Host>]) -> Result<(), String> {
    let probe = Client::new(to, Arc::new(Ledger::new()));
    for _ in 0..400 {
        let asked = Asked {
            service: "product-photo",
            object: hosts.len() as u64,
            deadline: DEADLINE,
            tried: None,
            known: false,
        };
        if matches!(probe.ask(&asked).await, Ended::Returned { .. }) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err("the dispatcher returns nothing".into())
}
