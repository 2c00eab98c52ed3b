//! Replicas on loopback in threads of the test, and raw pollers.
#![allow(dead_code)]

use calloop::EventLoop;
use myrtlegauge_operator::file::{ReplicaPeer, ReplicaSettings};
use myrtlegauge_replica::Service;
use myrtlegauge_replica::status::{self, PurgeState, Status};
use myrtlegauge_replication::{HostLine, PollAnswer, Purge, PurgeTarget, Record, Version};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long something that has to come is waited for; far over what it takes, for the machine may be busy.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// How often the thread of a replica looks for orders of its test.
const LOOK_EVERY: Duration = Duration::from_millis(2);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// A free address; it stays free until it is listened at, as far as no other program takes it.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

pub fn terms(name: &str, listen: SocketAddr) -> ReplicaSettings {
    ReplicaSettings {
        name: name.to_owned(),
        listen,
        peers: Vec::new(),
        source: None,
        batch_interval: Duration::from_millis(100),
        member_lease: Duration::from_secs(10),
        purges_unknown_after: Duration::from_secs(3),
        purge_retention: Duration::from_secs(40),
        max_connections: 100,
    }
}

pub fn peer(name: &str, address: SocketAddr) -> ReplicaPeer {
    ReplicaPeer { name: name.to_owned(), address }
}

enum Order {
    Publish(Record),
    End,
}

/// A replica in a thread of its own, ended with its owner.
pub struct Running {
    pub address: SocketAddr,
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    pub fn start(terms: ReplicaSettings) -> Self {
        let (orders, heard) = mpsc::channel();
        let (tells, told) = mpsc::channel();
        let thread = std::thread::spawn(move || serve(&terms, &heard, &tells));
        let address = told.recv().expect("the replica starts");
        Self { address, orders, thread: Some(thread) }
    }

    /// One without peers at a port of the system's choosing.
    pub fn alone() -> Self {
        Self::start(terms("a", "127.0.0.1:0".parse().expect("an address")))
    }

    pub fn publish(&self, record: Record) {
        self.orders.send(Order::Publish(record)).expect("the replica runs");
    }

    pub fn status(&self) -> Status {
        status::ask(self.address, PATIENCE).expect("a status")
    }

    /// Looks at the status until it is as wanted.
    pub fn until(&self, what: &str, wanted: impl Fn(&Status) -> bool) -> Status {
        let end = Instant::now() + PATIENCE;
        loop {
            let status = self.status();
            if wanted(&status) {
                return status;
            }
            assert!(Instant::now() < end, "{what}: {status:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.orders.send(Order::End);
        let ended = self.thread.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            ended.expect("a thread").expect("the replica's thread ends well");
        }
    }
}

fn serve(terms: &ReplicaSettings, orders: &Receiver<Order>, tells: &Sender<SocketAddr>) {
    let mut turns = EventLoop::<Service>::try_new().expect("a loop");
    let mut service = Service::start(turns.handle(), terms).expect("a replica");
    tells.send(service.address().expect("an address")).expect("the test waits for it");
    loop {
        match orders.try_recv() {
            Ok(Order::Publish(record)) => service.publish(record).expect("a record that is taken"),
            Ok(Order::End) => return,
            Err(_) => {}
        }
        let patience = service.patience().min(LOOK_EVERY);
        turns.dispatch(patience, &mut service).expect("the loop goes on");
        service.turn();
    }
}

pub fn purge(object: &str) -> Record {
    Record::Purge(Purge { target: PurgeTarget::Object(object.to_owned()), unix_ms: unix_ms() })
}

/// A host line that is long.
pub fn long_line(name: &str, bytes: usize) -> Record {
    let endpoint = json!({"name": name, "status": "active", "address": "x".repeat(bytes)});
    Record::HostLine(HostLine { name: name.to_owned(), version: Version(1), endpoint })
}

/// The objects whose purges an answer tells, in order.
pub fn purged(answer: &PollAnswer) -> Vec<String> {
    let object = |record: &Record| match record {
        Record::Purge(Purge { target: PurgeTarget::Object(object), .. }) => Some(object.clone()),
        _ => None,
    };
    answer.results.iter().filter_map(|event| object(&event.record)).collect()
}

/// How a purge stands by a status.
pub fn state(status: &Status, object: &str) -> Option<PurgeState> {
    let wanted = PurgeTarget::Object(object.to_owned());
    status.purges.iter().find(|purge| purge.target == wanted).map(|purge| purge.state.clone())
}

pub fn is_in_force(status: &Status, object: &str) -> bool {
    matches!(state(status, object), Some(PurgeState::InForce { .. }))
}

/// A raw poller: its bytes are written and read by the test.
pub struct Raw(pub TcpStream);

impl Raw {
    pub fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        Self(stream)
    }

    pub fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("it is taken");
    }

    pub fn ask(&mut self, query: &str) {
        self.write(&format!("GET /changes?{query} HTTP/1.1\r\nHost: replica\r\n\r\n"));
    }

    /// One whole answer: its status line's code and its body.
    pub fn answer(&mut self) -> (u16, String) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            assert_eq!(
                self.0.read(&mut byte).expect("an answer"),
                1,
                "it closes: {:?}",
                String::from_utf8_lossy(&head)
            );
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("a text");
        let code = head.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status line");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let mut body = vec![0; length.expect("a length").parse().expect("a number")];
        self.0.read_exact(&mut body).expect("a whole body");
        (code, String::from_utf8(body).expect("a text"))
    }

    pub fn poll_answer(&mut self) -> PollAnswer {
        let (code, body) = self.answer();
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).expect("an answer to a poll")
    }

    pub fn poll(&mut self, query: &str) -> PollAnswer {
        self.ask(query);
        self.poll_answer()
    }

    /// Whether nothing comes for so long.
    pub fn is_silent_for(&mut self, span: Duration) -> bool {
        self.0.set_read_timeout(Some(span)).expect("a timeout");
        let peeked = self.0.peek(&mut [0]);
        self.0.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        matches!(peeked, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }

    /// Whether the other side has closed, once what it sent was read.
    pub fn is_closed(&mut self) -> bool {
        !matches!(self.0.read(&mut [0]), Ok(1..))
    }
}

/// A raw dispatcher's query.
pub fn member_query(name: &str, log: &str, since: u64, timeout_ms: u64) -> String {
    let log = if log.is_empty() { String::new() } else { format!("&log={log}&whole={since}") };
    format!("since={since}&timeout={timeout_ms}{log}&role=dispatcher&name={name}&incarnation=1&attachment=1")
}
