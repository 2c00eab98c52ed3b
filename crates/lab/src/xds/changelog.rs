//! A stand-in change log: numbered events, a long poll over HTTP/1.1, and the faults that one can have.

use super::ledger::{Ledger, Named};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What an event tells, for the ledger.
#[derive(Clone, Copy)]
pub enum Tells {
    List,
    Drain(usize),
    Purge(usize),
}

#[derive(Default)]
struct Events {
    bodies: Vec<(String, Tells)>,
    /// Numbers count from here: a log that began anew counts from 1 again.
    first: usize,
    /// The next answer ends in its middle.
    break_off: bool,
    /// Nothing is answered until then.
    silent: Option<tokio::time::Instant>,
    /// Times that it began anew: connections of before are gone.
    life: u64,
}

pub struct ChangeLog {
    pub address: SocketAddr,
    listener: Mutex<Option<std::net::TcpListener>>,
    events: Mutex<Events>,
    news: Notify,
    ledger: Arc<Ledger>,
}

impl ChangeLog {
    pub fn new(ledger: Arc<Ledger>) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Mutex::new(Some(listener)),
            events: Mutex::default(),
            news: Notify::new(),
            ledger,
        })
    }

    fn events(&self) -> std::sync::MutexGuard<'_, Events> {
        self.events.lock().expect("no holder panics")
    }

    fn add(&self, body: String, tells: Tells) {
        self.events().bodies.push((body, tells));
        self.news.notify_waiters();
    }

    /// Lines of the list, each as JSON.
    pub fn list(&self, lines: &[String], whole: bool, tells: Tells) {
        let fleet =
            format!("\"fleet\":{{\"index\":0,\"snapshot\":{whole},\"endpoints\":[{}]}}", lines.join(","));
        self.add(fleet, tells);
    }

    pub fn purge(&self, named: Named, unix_ms: f64) {
        let purge = self.ledger.purged(named, unix_ms);
        let what = match named {
            Named::Object(object) => format!("\"object\":\"{object:016x}\""),
            Named::Group(group) => format!("\"bucket\":{group}"),
        };
        self.add(format!("\"invalidate\":{{{what},\"time\":{unix_ms:.0}}}"), Tells::Purge(purge));
    }

    pub fn break_off(&self) {
        self.events().break_off = true;
    }

    pub fn fall_silent(&self, long: Duration) {
        self.events().silent = Some(tokio::time::Instant::now() + long);
    }

    /// Counts from 1 again, with all that still holds: the whole list as it is now, and purges of the last while. Its
    /// connections end.
    pub fn begin_anew(&self, lines: &[String]) {
        let mut events = self.events();
        events.life += 1;
        let purge = |(_, tells): &&(String, Tells)| matches!(tells, Tells::Purge(_));
        let purges: Vec<_> = events.bodies.iter().rev().filter(purge).take(100).cloned().collect();
        events.first = events.bodies.len();
        let fleet =
            format!("\"fleet\":{{\"index\":0,\"snapshot\":true,\"endpoints\":[{}]}}", lines.join(","));
        events.bodies.push((fleet, Tells::List));
        events.bodies.extend(purges.into_iter().rev());
        drop(events);
        self.news.notify_waiters();
    }

    pub async fn serve(self: Arc<Self>) -> std::io::Result<()> {
        let listener = self.listener.lock().expect("no holder panics").take().expect("served once");
        let listener = TcpListener::from_std(listener)?;
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let log = Arc::clone(&self);
            tokio::spawn(async move { log.connection(stream).await });
        }
    }

    async fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let life = self.events().life;
        loop {
            let (mut first, mut line) = (String::new(), String::new());
            if stream.read_line(&mut first).await? == 0 {
                return Ok(());
            }
            while line != "\r\n" {
                line.clear();
                if stream.read_line(&mut line).await? == 0 {
                    return Ok(());
                }
            }
            let asked = |name: &str| -> usize {
                let at = first.find(name).map(|at| &first[at + name.len()..]).unwrap_or_default();
                at.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            };
            let (since, patience) = (asked("since="), Duration::from_millis(asked("timeout=") as u64));
            let until = tokio::time::Instant::now() + patience.min(Duration::from_secs(5));
            let silent = self.events().silent.take();
            if let Some(end) = silent {
                tokio::time::sleep_until(end).await;
            }
            while self.last() == since {
                let news = self.news.notified();
                if self.last() != since || tokio::time::timeout_at(until, news).await.is_err() {
                    break;
                }
            }
            if self.events().life != life {
                return Ok(());
            }
            let (body, told, broken) = self.since(since);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.get_mut().write_all(head.as_bytes()).await?;
            if broken {
                stream.get_mut().write_all(&body.as_bytes()[..body.len() / 2]).await?;
                return Ok(());
            }
            // What is written whole is told; it counts from before the write, so that nothing is judged too kindly.
            for tells in &told {
                match *tells {
                    Tells::Drain(host) => self.ledger.drain_told(host),
                    Tells::Purge(purge) => self.ledger.purge_told(purge),
                    Tells::List => {}
                }
            }
            stream.get_mut().write_all(body.as_bytes()).await?;
        }
    }

    fn last(&self) -> usize {
        let events = self.events();
        events.bodies.len() - events.first
    }

    /// The answer to a poll, what it tells, and whether it is to break off.
    fn since(&self, since: usize) -> (String, Vec<Tells>, bool) {
        let mut events = self.events();
        let now = &events.bodies[events.first..];
        let new = now.iter().enumerate().skip(since);
        let numbered: Vec<_> =
            new.clone().map(|(at, (body, _))| format!("{{\"seq\":{},{body}}}", at + 1)).collect();
        let tells = new.map(|(_, (_, tells))| *tells).collect();
        let body = format!("{{\"seq\":{},\"results\":[{}]}}", now.len(), numbered.join(","));
        let broken = events.break_off && !numbered.is_empty();
        events.break_off &= !broken;
        (body, tells, broken)
    }
}
