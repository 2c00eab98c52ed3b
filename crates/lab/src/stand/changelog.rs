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

/// In which form an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// With a length, at once.
    Whole,
    /// With a length, in pieces some time apart.
    Dripped,
    /// In chunks.
    Chunked,
    /// Without a length: the connection's close ends it.
    UntilClose,
}

/// How the answers of a slow change log are delivered.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Each answer leaves this much later, drawn anew for each.
    pub lateness_ms: std::ops::Range<u64>,
    pub form: AnswerForm,
    /// Draws the lateness.
    pub seed: u64,
}

/// Pieces of an answer that drips, and the time between two.
const DRIPS: usize = 16;
const DRIP_GAP: Duration = Duration::from_millis(20);
/// Chunks of an answer in chunks.
const CHUNKS: usize = 5;

#[derive(Default)]
struct Events {
    bodies: Vec<(String, Tells)>,
    /// Numbers count from here: a log that began anew counts from 1 again.
    first: usize,
    /// The next answer ends in its middle.
    break_off: bool,
    /// Nothing is answered until then.
    silent: Option<tokio::time::Instant>,
    /// Answers are late or in another form. A purge then counts as told as soon as it is asked for.
    delivery: Option<Delivery>,
    lateness: fastrand::Rng,
    /// Connections are closed at once.
    is_down: bool,
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

    /// Delivers answers so from now on; soundly without.
    pub fn deliver(&self, delivery: Option<Delivery>) {
        let mut events = self.events();
        let seed = delivery.as_ref().map_or(0, |delivery| delivery.seed);
        (events.delivery, events.lateness) = (delivery, fastrand::Rng::with_seed(seed));
    }

    /// Closes all connections at once, or takes them again.
    pub fn set_down(&self, is_down: bool) {
        self.events().is_down = is_down;
        self.news.notify_waiters();
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
                    if log.events().is_down {
                        continue;
                    }
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
            if self.events().delivery.is_some() {
                self.count_as_told(who);
            }
            let silent = self.events().silent.take();
            if let Some(end) = silent {
                tokio::time::sleep_until(end).await;
            }
            while self.last() == since {
                let news = self.news.notified();
                if self.events().is_down {
                    return Ok(());
                }
                if self.last() != since || tokio::time::timeout_at(until, news).await.is_err() {
                    break;
                }
            }
            let delivery = self.events().delivery.clone();
            if let Some(Delivery { lateness_ms, .. }) = &delivery {
                let lateness_ms = self.events().lateness.u64(lateness_ms.clone());
                tokio::time::sleep(Duration::from_millis(lateness_ms)).await;
            }
            if self.events().is_down {
                return Ok(());
            }
            if self.events().life != life || self.net.pass(Party::ChangeLog, who).await != Passed::Whole {
                return Ok(());
            }
            let (body, told, broken) = self.since(since);
            let body = rename(body, renamed);
            let form = delivery.map_or(AnswerForm::Whole, |delivery| delivery.form);
            stream.get_mut().write_all(head(form, body.len()).as_bytes()).await?;
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
            send_body(stream.get_mut(), body.as_bytes(), form).await?;
            if form == AnswerForm::UntilClose {
                return Ok(());
            }
        }
    }

    /// All purges in the log count as told to one who asks.
    fn count_as_told(&self, who: Party) {
        let purges: Vec<usize> = {
            let events = self.events();
            let told = events.bodies[events.first..].iter().filter_map(|(_, tells)| match tells {
                Tells::Purge(purge) => Some(*purge),
                _ => None,
            });
            told.collect()
        };
        purges.into_iter().for_each(|purge| self.ledger.purge_told(purge, who));
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

fn head(form: AnswerForm, length: usize) -> String {
    let framing = match form {
        AnswerForm::Whole | AnswerForm::Dripped => format!("Content-Length: {length}\r\n"),
        AnswerForm::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        AnswerForm::UntilClose => String::new(),
    };
    format!("HTTP/1.1 200 OK\r\n{framing}\r\n")
}

async fn send_body(stream: &mut TcpStream, body: &[u8], form: AnswerForm) -> std::io::Result<()> {
    match form {
        AnswerForm::Whole | AnswerForm::UntilClose => stream.write_all(body).await,
        AnswerForm::Dripped => {
            for piece in body.chunks(body.len().div_ceil(DRIPS).max(1)) {
                stream.write_all(piece).await?;
                tokio::time::sleep(DRIP_GAP).await;
            }
            Ok(())
        }
        AnswerForm::Chunked => {
            for chunk in body.chunks(body.len().div_ceil(CHUNKS).max(1)) {
                stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
                stream.write_all(chunk).await?;
                stream.write_all(b"\r\n").await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        }
    }
}

/// Hosts' addresses as they are listed and as one who polls is told them, in quotes.
fn renames(hosts: &[(SocketAddr, SocketAddr)]) -> Vec<(String, String)> {
    hosts.iter().map(|(listed, told)| (format!("\"{listed}\""), format!("\"{told}\""))).collect()
}

fn rename(body: String, renamed: &[(String, String)]) -> String {
    renamed.iter().fold(body, |body, (listed, told)| body.replace(listed, told))
}
