//! A stand-in for the change log that moves, is down, falls silent or answers late, and records what the pages' times
//! follow from.
// Each test program uses a part of it.
#![allow(dead_code)]

use super::common::polls::{self, Poll};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Sequence number of the last event that a dispatcher starts with: the whole host list.
const FIRST_SEQ: usize = 1;
/// What is missing from an answer that breaks off.
const CUT_OFF_BYTES: usize = 20;
/// How often waiting threads look for events.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);
/// A change log that a reload has replaced closes its open connections after this time.
const RETIRED_CLOSE_AFTER: Duration = Duration::from_millis(1500);

/// How the change log serves polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Up,
    /// Answers leave this much late.
    Late(Duration),
    /// Connections are accepted, and polls are not answered.
    Silent,
    /// Connections are refused, and open ones closed.
    Refused,
    /// Connections are refused, and open ones stay silent until they are closed.
    Retired,
    /// The next answer breaks off in its middle. From then on connections are refused.
    BreaksOff,
}

/// What happened at the change log.
#[derive(Clone, Copy, Debug)]
pub enum LogEvent {
    /// A poll arrived.
    Polled { at: Instant, wait: Duration, connection: usize },
    /// A whole answer left.
    Answered { at: Instant, connection: usize },
    /// A connection was closed while its poll was not answered.
    Broken { at: Instant, connection: usize },
    /// The same, because a reload had replaced the change log at this address.
    Replaced { at: Instant, connection: usize },
}

/// A purge of an object.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    pub object: u64,
    pub at: Instant,
    unix_ms: u64,
}

/// The events of the change log, which move with it from address to address.
#[derive(Default)]
pub struct History {
    /// The lines of the whole host list, which is the first event. Dispatchers start with it.
    hosts: Vec<Value>,
    /// How often the change log began anew. Each time the list takes one number more.
    restarts: usize,
    purges: Vec<Purge>,
    log: Vec<LogEvent>,
    connections: usize,
}

/// The change log at one address.
pub struct ChangeLog {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// How polls are served, and since when.
#[derive(Clone, Copy)]
struct State {
    service: Service,
    since: Instant,
}

impl State {
    fn new(service: Service) -> Self {
        Self { service, since: Instant::now() }
    }

    /// Whether open connections are to end.
    fn is_closing(&self) -> bool {
        match self.service {
            Service::Refused => true,
            Service::Retired => self.since.elapsed() >= RETIRED_CLOSE_AFTER,
            Service::Up | Service::Late(_) | Service::Silent | Service::BreaksOff => false,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap()
}

impl ChangeLog {
    /// Starts a change log at an address of its own. Its threads end with the test's process.
    pub fn start(history: &Arc<Mutex<History>>, service: Service) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::new(service)));
        let (served, history) = (Arc::clone(&state), Arc::clone(history));
        thread::spawn(move || accept(listener, address, &served, &history));
        Self { address, state }
    }

    /// Changes how polls are served from now on.
    pub fn set_service(&self, service: Service) {
        *lock(&self.state) = State::new(service);
    }
}

impl History {
    /// Creates the events of a change log that has the whole host list.
    pub fn with_hosts(hosts: Vec<Value>) -> Self {
        Self { hosts, ..Self::default() }
    }

    /// Adds the purge of an object, made now.
    pub fn purge(&mut self, object: u64) {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        self.purges.push(Purge { object, at: Instant::now(), unix_ms });
    }

    /// The change log begins anew: its events have other numbers.
    pub fn restart(&mut self) {
        self.restarts += 1;
    }

    /// All purges so far.
    pub fn purges(&self) -> &[Purge] {
        &self.purges
    }

    pub fn log(&self) -> &[LogEvent] {
        &self.log
    }

    /// The number of the last event before the purges.
    fn list_seq(&self) -> usize {
        FIRST_SEQ + self.restarts
    }

    fn last_seq(&self) -> usize {
        self.list_seq() + self.purges.len()
    }

    /// The body of an answer with all events after a sequence number.
    fn answer_since(&self, since: usize) -> String {
        let lists = (FIRST_SEQ..=self.list_seq())
            .map(|seq| json!({"seq": seq, "fleet": {"index": 0, "snapshot": true, "endpoints": self.hosts}}));
        let purges = self.purges.iter().zip(self.list_seq() + 1..).map(|(purge, seq)| {
            let object = format!("{:016x}", purge.object);
            json!({"seq": seq, "invalidate": {"object": object, "time": purge.unix_ms}})
        });
        let later: Vec<Value> = lists.chain(purges).skip(since).collect();
        json!({"seq": self.last_seq(), "results": later}).to_string()
    }
}

/// Accepts connections while the service does, and listens again once it comes back.
fn accept(
    listener: TcpListener,
    address: SocketAddr,
    state: &Arc<Mutex<State>>,
    history: &Arc<Mutex<History>>,
) {
    let mut listener = Some(listener);
    loop {
        let service = lock(state).service;
        if matches!(service, Service::Refused | Service::Retired) {
            listener = None;
            sleep(LOOK_INTERVAL);
            continue;
        }
        let listening = listener.get_or_insert_with(|| TcpListener::bind(address).unwrap());
        listening.set_nonblocking(true).unwrap();
        let Ok((stream, _)) = listening.accept() else {
            sleep(LOOK_INTERVAL);
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        let (state, history) = (Arc::clone(state), Arc::clone(history));
        thread::spawn(move || serve(stream, &state, &history));
    }
}

/// Serves the polls of one connection until either side ends it.
fn serve(mut stream: TcpStream, state: &Arc<Mutex<State>>, history: &Mutex<History>) {
    let connection = {
        let mut history = lock(history);
        history.connections += 1;
        history.connections
    };
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(LOOK_INTERVAL)).unwrap();
    while let Some(Poll { since, wait }) = read_poll(&mut stream, state) {
        let polled_at = Instant::now();
        lock(history).log.push(LogEvent::Polled { at: polled_at, wait, connection });
        let answer = wait_for_answer(state, history, since, polled_at + wait);
        let breaks_off = lock(state).service == Service::BreaksOff;
        if breaks_off {
            let text = polls::answer(&lock(history).answer_since(since));
            let _ = stream.write_all(&text.as_bytes()[..text.len() - CUT_OFF_BYTES]);
            *lock(state) = State::new(Service::Refused);
        }
        let Some(lateness) = answer.filter(|_| !breaks_off) else {
            let _ = stream.shutdown(Shutdown::Both);
            let at = Instant::now();
            let is_replaced = lock(state).service == Service::Retired;
            let event = if is_replaced {
                LogEvent::Replaced { at, connection }
            } else {
                LogEvent::Broken { at, connection }
            };
            lock(history).log.push(event);
            return;
        };
        let body = lock(history).answer_since(since);
        sleep(lateness);
        if stream.write_all(polls::answer(&body).as_bytes()).is_err() {
            return;
        }
        lock(history).log.push(LogEvent::Answered { at: Instant::now(), connection });
    }
}

/// Reads a poll; `None` once the connection is to end.
fn read_poll(stream: &mut TcpStream, state: &Mutex<State>) -> Option<Poll> {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    while !text.contains("\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(count) => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
            Err(_) if lock(state).is_closing() => return None,
            Err(_) => {}
        }
    }
    Some(Poll::parse(&text))
}

/// Waits until a poll may be answered, and returns how late its answer leaves; `None` if the connection is to end instead.
fn wait_for_answer(
    state: &Mutex<State>,
    history: &Mutex<History>,
    since: usize,
    due_at: Instant,
) -> Option<Duration> {
    loop {
        let state = *lock(state);
        if state.is_closing() {
            return None;
        }
        let is_due = Instant::now() >= due_at || lock(history).last_seq() > since;
        match state.service {
            Service::Up | Service::BreaksOff if is_due => return Some(Duration::ZERO),
            Service::Late(lateness) if is_due => return Some(lateness),
            _ => sleep(LOOK_INTERVAL),
        }
    }
}
