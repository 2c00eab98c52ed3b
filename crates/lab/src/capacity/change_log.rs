//! The change-log stand-in of a capacity run, a process of its own so that its costs stand apart. It follows the page of the
//! change log (numbered events, a long poll over HTTP/1.1), counts every byte that it reads and writes by the listener it
//! passed, and holds for each connection the last event that its polls acknowledged.

use super::messages::{Done, ListenerCounts, Listening, LogCounts, LogRequest};
use crate::stand::ledger::unix_ms;
use crate::stand::listener;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Worker threads: the work is small and the machine is shared with those who are measured.
const WORKERS: usize = 2;
/// The longest that a poll may wait, by the page.
const WAIT_MOST: Duration = Duration::from_secs(5);

/// Runs the stand-in until its parent closes standard input.
///
/// # Errors
/// A runtime or a listener that the system refuses, a request that can't be read.
pub fn run() -> Result<(), String> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(WORKERS).enable_all().build().map_err(|e| e.to_string())?;
    let _entered = runtime.enter();
    let log = Arc::new(Log::new());
    let mut publisher = None;
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|e| e.to_string())?;
        match serde_json::from_str(&line).map_err(|e| format!("{line}: {e}"))? {
            LogRequest::Listen { name } => reply(&log.listen(name).map_err(|e| e.to_string())?),
            LogRequest::List { lines, snapshot } => {
                let lines: Vec<_> = lines.iter().map(ToString::to_string).collect();
                let lines = lines.join(",");
                log.append(format!(
                    "\"fleet\":{{\"index\":0,\"snapshot\":{snapshot},\"endpoints\":[{lines}]}}"
                ));
                reply(&log.counts());
            }
            LogRequest::Publish { per_second, seed } => {
                publisher.replace(tokio::spawn(publish(Arc::clone(&log), per_second, seed)));
                reply(&Done {});
            }
            LogRequest::Halt => {
                if let Some(publisher) = publisher.take() {
                    publisher.abort();
                }
                reply(&Done {});
            }
            LogRequest::Counts => reply(&log.counts()),
        }
    }
    Ok(())
}

fn reply(content: &impl Serialize) {
    println!("{}", serde_json::to_string(content).unwrap_or_default());
}

/// Publishes purges at a mean rate until it is aborted; the pauses are spread evenly from half the mean to one and a half, so
/// that readers' timers don't fall in step with them.
async fn publish(log: Arc<Log>, per_second: f64, seed: u64) {
    if per_second <= 0.0 {
        return;
    }
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut due = tokio::time::Instant::now();
    loop {
        due += Duration::from_secs_f64((0.5 + chance.f64()) / per_second);
        tokio::time::sleep_until(due).await;
        let purge = log.purges.fetch_add(1, Ordering::SeqCst) + 1;
        // Three decimals, four bytes more than whole milliseconds, so that the time to in force is told in microseconds.
        log.append(format!("\"invalidate\":{{\"object\":\"{purge:016x}\",\"time\":{:.3}}}", unix_ms()));
    }
}

/// What is counted of one listener.
#[derive(Default)]
struct Counters {
    polls: AtomicU64,
    bytes_in: AtomicU64,
    answers: AtomicU64,
    bytes_out: AtomicU64,
    /// By connection, the last event acknowledged.
    acknowledged: Mutex<BTreeMap<u64, u64>>,
    connections: AtomicU64,
}

impl Counters {
    fn look(&self, last: u64) -> ListenerCounts {
        let acknowledged = self.acknowledged.lock().expect("no holder panics");
        ListenerCounts {
            connections: acknowledged.len() as u64,
            acknowledged: acknowledged.values().filter(|&&event| event >= last).count() as u64,
            polls: self.polls.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            answers: self.answers.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
        }
    }

    fn acknowledges(&self, connection: u64, event: u64) {
        self.acknowledged.lock().expect("no holder panics").insert(connection, event);
    }
}

struct Log {
    /// The events' content; the first has number 1.
    events: Mutex<Vec<String>>,
    last: watch::Sender<u64>,
    purges: AtomicU64,
    listeners: Mutex<BTreeMap<String, Arc<Counters>>>,
}

impl Log {
    fn new() -> Self {
        Self {
            events: Mutex::default(),
            last: watch::Sender::new(0),
            purges: AtomicU64::new(0),
            listeners: Mutex::default(),
        }
    }

    fn append(&self, content: String) {
        let mut events = self.events.lock().expect("no holder panics");
        events.push(content);
        self.last.send_replace(events.len() as u64);
    }

    fn counts(&self) -> LogCounts {
        let last = *self.last.borrow();
        let listeners = self.listeners.lock().expect("no holder panics");
        LogCounts {
            last,
            purges: self.purges.load(Ordering::SeqCst),
            listeners: listeners.iter().map(|(name, counters)| (name.clone(), counters.look(last))).collect(),
        }
    }

    fn listen(self: &Arc<Self>, name: String) -> std::io::Result<Listening> {
        let (listener, address) = listener()?;
        let listener = TcpListener::from_std(listener)?;
        let counters = Arc::new(Counters::default());
        self.listeners.lock().expect("no holder panics").insert(name, Arc::clone(&counters));
        let log = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (log, counters) = (Arc::clone(&log), Arc::clone(&counters));
                tokio::spawn(async move {
                    let connection = counters.connections.fetch_add(1, Ordering::Relaxed);
                    counters.acknowledges(connection, 0);
                    // A reader that goes away is no fault of the log's.
                    let _ = log.serve(stream, connection, &counters).await;
                    counters.acknowledged.lock().expect("no holder panics").remove(&connection);
                });
            }
        });
        Ok(Listening { address })
    }

    /// One reader's connection, to its end.
    async fn serve(&self, stream: TcpStream, connection: u64, counters: &Counters) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::with_capacity(1024, stream);
        let mut news = self.last.subscribe();
        while let Some(poll) = Poll::read(&mut stream).await? {
            counters.polls.fetch_add(1, Ordering::Relaxed);
            counters.bytes_in.fetch_add(poll.bytes, Ordering::Relaxed);
            counters.acknowledges(connection, poll.since);
            let newer = news.wait_for(|&last| last > poll.since);
            // At the end of the wait the answer brings nothing.
            let _ = tokio::time::timeout(poll.wait, newer).await;
            let answer = self.answer(poll.since);
            counters.answers.fetch_add(1, Ordering::Relaxed);
            counters.bytes_out.fetch_add(answer.len() as u64, Ordering::Relaxed);
            stream.get_mut().write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    /// All events after a number, with the head of an answer.
    fn answer(&self, since: u64) -> String {
        let events = self.events.lock().expect("no holder panics");
        let newer = events.iter().enumerate().skip(since as usize);
        let newer: Vec<_> = newer.map(|(at, content)| format!("{{\"seq\":{},{content}}}", at + 1)).collect();
        let body = format!("{{\"seq\":{},\"results\":[{}]}}", events.len(), newer.join(","));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// One poll as it was read.
struct Poll {
    since: u64,
    wait: Duration,
    bytes: u64,
}

impl Poll {
    /// The next poll; none once the reader has closed.
    async fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut first = String::new();
        let mut bytes = stream.read_line(&mut first).await?;
        if bytes == 0 {
            return Ok(None);
        }
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            let read = stream.read_line(&mut line).await?;
            if read == 0 {
                return Ok(None);
            }
            bytes += read;
        }
        let wait = Duration::from_millis(number_after(&first, "timeout="));
        let since = number_after(&first, "since=");
        Ok(Some(Self { since, wait: wait.min(WAIT_MOST), bytes: bytes as u64 }))
    }
}

/// The number that follows a word; zero if there is none.
fn number_after(text: &str, word: &str) -> u64 {
    let rest = text.split_once(word).map_or("", |(_, rest)| rest);
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
