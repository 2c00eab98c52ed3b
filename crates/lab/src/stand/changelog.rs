//! A stand-in change log: numbered events, a long poll over HTTP/1.1, and the faults that one can have.

use super::ledger::{Ledger, Named};
use super::listener;
use super::net::{Net, Party, Passed};
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
    /// The start of a host, by the ledger's number.
    Start(usize),
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

/// How one who polls sees the change log: at an address of its own, with hosts at addresses of its own.
struct View {
    who: Party,
    listener: std::net::TcpListener,
    /// A host's address as it is listed, in quotes, and as this one is told it.
    renamed: Vec<(String, String)>,
}

pub struct ChangeLog {
    pub address: SocketAddr,
    views: Mutex<Vec<View>>,
    net: Arc<Net>,
    events: Mutex<Events>,
    news: Notify,
    ledger: Arc<Ledger>,
}

impl ChangeLog {
    pub fn new(ledger: Arc<Ledger>) -> std::io::Result<Self> {
        Self::on(ledger, Arc::new(Net::new(0)))
    }

    pub fn on(ledger: Arc<Ledger>, net: Arc<Net>) -> std::io::Result<Self> {
        let (listener, address) = listener()?;
        Ok(Self {
            address,
            views: Mutex::new(vec![View { who: Party::Front, listener, renamed: Vec::new() }]),
            net,
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

    /// A purge; one that is kept back counts as told all the same, as what is in the log does after a while.
    pub fn purge(&self, named: Named, unix_ms: f64, told: bool) {
        let purge = self.ledger.purged(named, unix_ms);
        if !told {
            return;
        }
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

    /// An address of its own for one who polls, and what that one is told of hosts' addresses.
    pub fn listen_for(&self, who: Party, hosts: &[(SocketAddr, SocketAddr)]) -> std::io::Result<SocketAddr> {
        let (listener, address) = listener()?;
        let view = View { who, listener, renamed: renames(hosts) };
        self.views.lock().expect("no holder panics").push(view);
        Ok(address)
    }

    /// All events so far as a start is told them, in the words of one who polls.
    pub fn known(&self, hosts: &[(SocketAddr, SocketAddr)]) -> serde_json::Value {
        let told = rename(self.since(0).0, &renames(hosts));
        serde_json::from_str(&told).unwrap_or_default()
    }

    pub async fn serve(self: Arc<Self>) -> std::io::Result<()> {
        let views = std::mem::take(&mut *self.views.lock().expect("no holder panics"));
        let mut all = tokio::task::JoinSet::new();
        for View { who, listener, renamed } in views {
            let listener = TcpListener::from_std(listener)?;
            let (log, renamed) = (Arc::clone(&self), Arc::new(renamed));
            all.spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    let (log, renamed) = (Arc::clone(&log), Arc::clone(&renamed));
                    tokio::spawn(async move { log.connection(who, stream, &renamed).await });
                }
            });
        }
        all.join_all().await;
        Ok(())
    }

    async fn connection(
        &self,
        who: Party,
        stream: TcpStream,
        renamed: &[(String, String)],
    ) -> std::io::Result<()> {
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
            if self.net.pass(who, Party::ChangeLog).await != Passed::Whole {
                return Ok(());
            }
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
            if self.events().life != life || self.net.pass(Party::ChangeLog, who).await != Passed::Whole {
                return Ok(());
            }
            let (body, told, broken) = self.since(since);
            let body = rename(body, renamed);
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
                    Tells::Purge(purge) => self.ledger.purge_told(purge, who),
                    Tells::Start(start) => self.ledger.start_told(start, who),
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

/// Hosts' addresses as they are listed and as one who polls is told them, in quotes.
fn renames(hosts: &[(SocketAddr, SocketAddr)]) -> Vec<(String, String)> {
    hosts.iter().map(|(listed, told)| (format!("\"{listed}\""), format!("\"{told}\""))).collect()
}

fn rename(body: String, renamed: &[(String, String)]) -> String {
    renamed.iter().fold(body, |body, (listed, told)| body.replace(listed, told))
}
