//! Replicas on loopback, each in its own thread of the test process, and raw polling connections.
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

/// The time limit for expected events; far above what they take, since the machine may be busy.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which the thread of a replica checks for commands of its test.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(2);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Returns an address that was free a moment ago; another program could still take it.
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

enum Command {
    Publish(Record),
    Stop,
}

/// A replica in its own thread, which is stopped on drop.
pub struct ReplicaThread {
    pub address: SocketAddr,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl ReplicaThread {
    pub fn start(terms: ReplicaSettings) -> Self {
        let (commands, command_receiver) = mpsc::channel();
        let (address_sender, address_receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || serve(&terms, &command_receiver, &address_sender));
        let address = address_receiver.recv().expect("the replica starts");
        Self { address, commands, thread: Some(thread) }
    }

    /// Starts a replica without peers on a port chosen by the system.
    pub fn without_peers() -> Self {
        Self::start(terms("a", "127.0.0.1:0".parse().expect("an address")))
    }

    pub fn publish(&self, record: Record) {
        self.commands.send(Command::Publish(record)).expect("the replica runs");
    }

    pub fn status(&self) -> Status {
        status::fetch(self.address, TIMEOUT).expect("a status")
    }

    /// Polls the status until it satisfies the condition, and returns it.
    pub fn wait_for_status(&self, description: &str, is_expected: impl Fn(&Status) -> bool) -> Status {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let status = self.status();
            if is_expected(&status) {
                return status;
            }
            assert!(Instant::now() < deadline, "{description}: {status:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for ReplicaThread {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        let joined = self.thread.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            joined.expect("a thread").expect("the thread of the replica ends without a panic");
        }
    }
}

fn serve(terms: &ReplicaSettings, commands: &Receiver<Command>, address_sender: &Sender<SocketAddr>) {
    let mut event_loop = EventLoop::<Service>::try_new().expect("an event loop");
    let mut service = Service::start(event_loop.handle(), terms).expect("a replica");
    address_sender.send(service.address().expect("an address")).expect("the test waits for it");
    loop {
        match commands.try_recv() {
            Ok(Command::Publish(record)) => service.publish(record).expect("the record is accepted"),
            Ok(Command::Stop) => return,
            Err(_) => {}
        }
        let timeout = service.poll_timeout().min(COMMAND_POLL_INTERVAL);
        event_loop.dispatch(timeout, &mut service).expect("the event loop runs");
        service.process_events();
    }
}

pub fn purge(object: &str) -> Record {
    Record::Purge(Purge { target: PurgeTarget::Object(object.to_owned()), unix_ms: unix_ms() })
}

/// A host entry with an address of the given length.
pub fn large_host_entry(name: &str, bytes: usize) -> Record {
    let endpoint = json!({"name": name, "status": "active", "address": "x".repeat(bytes)});
    Record::HostLine(HostLine { name: name.to_owned(), version: Version(1), endpoint })
}

/// The objects of the purges in an answer, in order.
pub fn purged_objects(answer: &PollAnswer) -> Vec<String> {
    let object = |record: &Record| match record {
        Record::Purge(Purge { target: PurgeTarget::Object(object), .. }) => Some(object.clone()),
        _ => None,
    };
    answer.results.iter().filter_map(|event| object(&event.record)).collect()
}

/// The state of the purge of an object in a status.
pub fn purge_state(status: &Status, object: &str) -> Option<PurgeState> {
    let wanted = PurgeTarget::Object(object.to_owned());
    status.purges.iter().find(|purge| purge.target == wanted).map(|purge| purge.state.clone())
}

pub fn is_in_force(status: &Status, object: &str) -> bool {
    matches!(purge_state(status, object), Some(PurgeState::InForce { .. }))
}

/// A polling connection whose bytes are written and read by the test.
pub struct RawPoller(pub TcpStream);

impl RawPoller {
    pub fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("the replica listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        Self(stream)
    }

    pub fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("the bytes are written");
    }

    pub fn send_poll(&mut self, query: &str) {
        self.write(&format!("GET /changes?{query} HTTP/1.1\r\nHost: replica\r\n\r\n"));
    }

    /// Reads one complete response; returns its status code and its body.
    pub fn read_response(&mut self) -> (u16, String) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            assert_eq!(
                self.0.read(&mut byte).expect("an answer"),
                1,
                "the connection was closed after {:?}",
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

    pub fn read_poll_answer(&mut self) -> PollAnswer {
        let (code, body) = self.read_response();
        assert_eq!(code, 200, "{body}");
        serde_json::from_str(&body).expect("an answer to a poll")
    }

    pub fn poll(&mut self, query: &str) -> PollAnswer {
        self.send_poll(query);
        self.read_poll_answer()
    }

    /// Returns whether nothing arrives for the given time.
    pub fn receives_nothing_for(&mut self, duration: Duration) -> bool {
        self.0.set_read_timeout(Some(duration)).expect("a timeout");
        let peeked = self.0.peek(&mut [0]);
        self.0.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        matches!(peeked, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }

    /// Returns whether the peer has closed the connection, once everything it sent was read.
    pub fn is_closed(&mut self) -> bool {
        !matches!(self.0.read(&mut [0]), Ok(1..))
    }
}

/// The query of a poll by a dispatcher.
pub fn member_query(name: &str, log: &str, since: u64, timeout_ms: u64) -> String {
    let log = if log.is_empty() { String::new() } else { format!("&log={log}&whole={since}") };
    format!("since={since}&timeout={timeout_ms}{log}&role=dispatcher&name={name}&incarnation=1&attachment=1")
}
