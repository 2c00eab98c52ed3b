//! The long poll of a replica against stand-ins on loopback: answered, refused, silent, lost, replaced.

use bytes::Bytes;
use calloop::EventLoop;
use myrtlegauge_wire::long_poll::LongPollClient;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{EventLoopHandle, ReadinessHandler, ResourceUsage};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Far over what anything here takes.
const PATIENCE: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Stirred(bool);

impl ReadinessHandler for Stirred {
    type Key = ();

    fn on_socket_ready(&mut self, (): ()) {
        self.0 = true;
    }
}

struct Rig {
    turns: EventLoop<'static, Stirred>,
    hub: EventLoopHandle<Stirred>,
    accounts: Rc<ResourceUsage>,
    poll: LongPollClient<Stirred>,
    began: Instant,
}

impl Rig {
    fn new(address: SocketAddr) -> Self {
        let turns = EventLoop::try_new().expect("a loop");
        let hub = turns.handle();
        let accounts = Rc::new(ResourceUsage::default());
        Self { turns, hub, accounts, poll: LongPollClient::new(address, ()), began: Instant::now() }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn ask(&mut self, query: &str, patience: Duration) {
        let give_up_at = self.now() + patience;
        self.poll.start_poll(query, give_up_at, &self.hub, &self.accounts);
    }

    /// Turns the loop until the poll is answered or has failed.
    fn outcome(&mut self) -> Result<Bytes, StreamError> {
        let (mut stirred, mut shared) = (Stirred::default(), vec![0; 4096]);
        loop {
            if let Some(outcome) = self.poll.take_result(self.now()) {
                return outcome;
            }
            let wait = self.poll.deadline().saturating_sub(self.now()).min(Duration::from_millis(10));
            self.turns.dispatch(wait, &mut stirred).expect("the loop goes on");
            while std::mem::take(&mut stirred.0) || self.poll.on_ready(&mut shared) {}
            assert!(self.now() < PATIENCE, "neither answered nor failed");
        }
    }
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// The head of the next request on a connection.
fn request(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("a text")
}

fn answer(stream: &mut TcpStream, body: &str) {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).expect("it is taken");
}

#[test]
fn polls_are_answered_one_after_the_other_on_one_connection() {
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a poller");
        for number in 0..3 {
            let asked = request(&mut stream);
            assert!(
                asked.starts_with(&format!("GET /changes?since={number}&role=probe HTTP/1.1\r\n")),
                "{asked}"
            );
            answer(&mut stream, &format!("{{\"seq\":{number}}}"));
        }
    });
    let mut rig = Rig::new(address);
    for number in 0..3 {
        rig.ask(&format!("since={number}&role=probe"), PATIENCE);
        assert_eq!(rig.outcome(), Ok(Bytes::from(format!("{{\"seq\":{number}}}"))));
        assert!(!rig.poll.is_pending());
    }
    server.join().expect("it was asked as wanted");
}

#[test]
fn a_replica_that_is_not_there_is_told_at_once() {
    let (gone, address) = listener();
    drop(gone);
    let mut rig = Rig::new(address);
    rig.ask("since=0", PATIENCE);
    assert!(rig.outcome().is_err_and(|StreamError(what)| what.contains("refuses")));
    assert!(rig.now() < PATIENCE / 2);
}

#[test]
fn a_silent_replica_is_given_up_when_the_caller_says() {
    let (_silent, address) = listener();
    let mut rig = Rig::new(address);
    rig.ask("since=0", Duration::from_millis(200));
    assert!(rig.outcome().is_err_and(|StreamError(what)| what.contains("in time")));
    assert!(rig.now() >= Duration::from_millis(200) && !rig.poll.is_pending());
}

#[test]
fn a_connection_that_closes_before_its_answer_is_whole_is_lost() {
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a poller");
        request(&mut stream);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"seq\"").expect("it is taken");
    });
    let mut rig = Rig::new(address);
    rig.ask("since=0", PATIENCE);
    assert!(rig.outcome().is_err_and(|StreamError(what)| what.contains("lost")));
    server.join().expect("it was asked");
}

#[test]
fn a_kept_connection_that_has_closed_meanwhile_is_replaced() {
    let (listener, address) = listener();
    let (closes, closed) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        for body in ["{\"seq\":1}", "{\"seq\":2}"] {
            let (mut stream, _) = listener.accept().expect("a poller");
            request(&mut stream);
            answer(&mut stream, body);
            drop(stream);
            closes.send(()).expect("the test waits for it");
        }
    });
    let mut rig = Rig::new(address);
    rig.ask("since=0", PATIENCE);
    assert_eq!(rig.outcome(), Ok(Bytes::from("{\"seq\":1}")));
    closed.recv_timeout(PATIENCE).expect("the server has closed it");
    rig.poll.on_ready(&mut [0; 4096]);
    rig.ask("since=1", PATIENCE);
    assert_eq!(rig.outcome(), Ok(Bytes::from("{\"seq\":2}")));
    closed.recv_timeout(PATIENCE).expect("and the second");
    server.join().expect("it was asked twice");
}

#[test]
fn a_connection_that_closes_right_behind_its_answer_is_replaced() {
    let (listener, address) = listener();
    let (closes, closed) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        for body in ["1", "2"] {
            let (mut stream, _) = listener.accept().expect("a poller");
            request(&mut stream);
            answer(&mut stream, body);
            drop(stream);
            closes.send(()).expect("the test waits for it");
        }
    });
    let mut rig = Rig::new(address);
    for (since, body) in [("since=0", "1"), ("since=1", "2")] {
        rig.ask(since, PATIENCE);
        rig.turns.dispatch(Some(PATIENCE), &mut Stirred::default()).expect("the loop goes on");
        rig.poll.on_ready(&mut [0; 4096]);
        // The answer and the end of the connection are read together.
        closed.recv_timeout(PATIENCE).expect("the server has closed it");
        assert_eq!(rig.outcome(), Ok(Bytes::from(body)));
    }
    server.join().expect("it was asked twice");
}

#[test]
fn a_new_poll_replaces_one_that_is_open() {
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a poller");
        request(&mut first);
        let (mut second, _) = listener.accept().expect("the same poller");
        assert!(request(&mut second).contains("since=2"));
        // What comes late to the one that was replaced reaches nobody.
        let _ = first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
        answer(&mut second, "2");
    });
    let mut rig = Rig::new(address);
    rig.ask("since=1", PATIENCE);
    rig.turns.dispatch(Some(Duration::from_millis(50)), &mut Stirred::default()).expect("the loop goes on");
    rig.poll.on_ready(&mut vec![0; 4096]);
    rig.ask("since=2", PATIENCE);
    assert_eq!(rig.outcome(), Ok(Bytes::from("2")));
    server.join().expect("it was asked as wanted");
}
