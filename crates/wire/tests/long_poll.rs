//! The long-poll client of a replica against fake replicas on loopback: polls that are answered, refused, timed out,
//! lost or replaced.

mod common;

use bytes::Bytes;
use calloop::EventLoop;
use common::{ReadyFlag, listener};
use myrtlegauge_wire::long_poll::LongPollClient;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::transport::{EventLoopHandle, ResourceUsage};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Far above the duration of any step of these tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A client with its event loop.
struct TestClient {
    event_loop: EventLoop<'static, ReadyFlag>,
    event_loop_handle: EventLoopHandle<ReadyFlag>,
    resource_usage: Rc<ResourceUsage>,
    client: LongPollClient<ReadyFlag>,
    started_at: Instant,
}

impl TestClient {
    fn new(address: SocketAddr) -> Self {
        let event_loop = EventLoop::try_new().expect("an event loop");
        let event_loop_handle = event_loop.handle();
        let resource_usage = Rc::new(ResourceUsage::default());
        Self {
            event_loop,
            event_loop_handle,
            resource_usage,
            client: LongPollClient::new(address, ()),
            started_at: Instant::now(),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn start_poll(&mut self, query: &str, timeout: Duration) {
        let timeout_at = self.now() + timeout;
        self.client.start_poll(query, timeout_at, &self.event_loop_handle, &self.resource_usage);
    }

    /// Runs the event loop until the poll is answered or has failed.
    fn result(&mut self) -> Result<Bytes, StreamError> {
        let (mut ready_flag, mut read_buffer) = (ReadyFlag::default(), vec![0; 4096]);
        loop {
            if let Some(result) = self.client.take_result(self.now()) {
                return result;
            }
            let wait = self.client.deadline().saturating_sub(self.now()).min(Duration::from_millis(10));
            self.event_loop.dispatch(wait, &mut ready_flag).expect("the event loop runs");
            while std::mem::take(&mut ready_flag.0) || self.client.on_ready(&mut read_buffer) {}
            assert!(self.now() < TEST_TIMEOUT, "the poll was neither answered nor failed");
        }
    }
}

/// Reads the head of the next request on a connection.
fn read_request(stream: &mut TcpStream) -> String {
    common::read_request(stream).expect("a request")
}

fn write_answer(stream: &mut TcpStream, body: &str) {
    common::write_answer(stream, body).expect("the peer accepts the bytes");
}

#[test]
fn successive_polls_use_one_connection() {
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection of the client");
        for number in 0..3 {
            let head = read_request(&mut stream);
            assert!(
                head.starts_with(&format!("GET /changes?since={number}&role=probe HTTP/1.1\r\n")),
                "{head}"
            );
            write_answer(&mut stream, &format!("{{\"seq\":{number}}}"));
        }
    });
    let mut test_client = TestClient::new(address);
    for number in 0..3 {
        test_client.start_poll(&format!("since={number}&role=probe"), TEST_TIMEOUT);
        assert_eq!(test_client.result(), Ok(Bytes::from(format!("{{\"seq\":{number}}}"))));
        assert!(!test_client.client.is_pending());
    }
    server.join().expect("the server received the expected requests");
}

#[test]
fn a_refused_connection_fails_immediately() {
    let (closed_listener, address) = listener();
    drop(closed_listener);
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=0", TEST_TIMEOUT);
    assert!(test_client.result().is_err_and(|StreamError(reason)| reason.contains("refuses")));
    assert!(test_client.now() < TEST_TIMEOUT / 2);
}

#[test]
fn a_poll_of_a_silent_replica_times_out_at_the_given_time() {
    let (_silent_listener, address) = listener();
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=0", Duration::from_millis(200));
    assert!(test_client.result().is_err_and(|StreamError(reason)| reason.contains("in time")));
    assert!(test_client.now() >= Duration::from_millis(200) && !test_client.client.is_pending());
}

#[test]
fn a_connection_closed_before_the_answer_is_complete_fails_the_poll() {
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection of the client");
        read_request(&mut stream);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"seq\"")
            .expect("the peer accepts the bytes");
    });
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=0", TEST_TIMEOUT);
    assert!(test_client.result().is_err_and(|StreamError(reason)| reason.contains("lost")));
    server.join().expect("the server received the request");
}

#[test]
fn an_idle_connection_closed_by_the_peer_is_replaced() {
    let (listener, address) = listener();
    let (close_sender, close_receiver) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        for body in ["{\"seq\":1}", "{\"seq\":2}"] {
            let (mut stream, _) = listener.accept().expect("a connection of the client");
            read_request(&mut stream);
            write_answer(&mut stream, body);
            drop(stream);
            close_sender.send(()).expect("the test still receives");
        }
    });
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=0", TEST_TIMEOUT);
    assert_eq!(test_client.result(), Ok(Bytes::from("{\"seq\":1}")));
    close_receiver.recv_timeout(TEST_TIMEOUT).expect("the server has closed the connection");
    test_client.client.on_ready(&mut [0; 4096]);
    test_client.start_poll("since=1", TEST_TIMEOUT);
    assert_eq!(test_client.result(), Ok(Bytes::from("{\"seq\":2}")));
    close_receiver.recv_timeout(TEST_TIMEOUT).expect("the server has closed the second connection");
    server.join().expect("the server received both requests");
}

#[test]
fn a_connection_closed_right_after_its_answer_is_replaced() {
    let (listener, address) = listener();
    let (close_sender, close_receiver) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        for body in ["1", "2"] {
            let (mut stream, _) = listener.accept().expect("a connection of the client");
            read_request(&mut stream);
            write_answer(&mut stream, body);
            drop(stream);
            close_sender.send(()).expect("the test still receives");
        }
    });
    let mut test_client = TestClient::new(address);
    for (since, body) in [("since=0", "1"), ("since=1", "2")] {
        test_client.start_poll(since, TEST_TIMEOUT);
        test_client
            .event_loop
            .dispatch(Some(TEST_TIMEOUT), &mut ReadyFlag::default())
            .expect("the event loop runs");
        test_client.client.on_ready(&mut [0; 4096]);
        // The answer and the end of the stream are read together.
        close_receiver.recv_timeout(TEST_TIMEOUT).expect("the server has closed the connection");
        assert_eq!(test_client.result(), Ok(Bytes::from(body)));
    }
    server.join().expect("the server received both requests");
}

#[test]
fn a_new_poll_replaces_an_outstanding_one() {
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection of the client");
        read_request(&mut first);
        let (mut second, _) = listener.accept().expect("a second connection of the client");
        assert!(read_request(&mut second).contains("since=2"));
        // A late answer to the replaced poll is ignored.
        let _ = first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
        write_answer(&mut second, "2");
    });
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=1", TEST_TIMEOUT);
    test_client
        .event_loop
        .dispatch(Some(Duration::from_millis(50)), &mut ReadyFlag::default())
        .expect("the event loop runs");
    test_client.client.on_ready(&mut vec![0; 4096]);
    test_client.start_poll("since=2", TEST_TIMEOUT);
    assert_eq!(test_client.result(), Ok(Bytes::from("2")));
    server.join().expect("the server received the expected requests");
}

/// Guards against a page of a replica that is longer than the client accepts: the dispatcher was told of nothing any more.
#[test]
fn the_longest_page_of_a_replica_is_taken() {
    const RECORDS: usize = 5000;
    let line = |seq: usize| {
        format!(
            "{{\"seq\":{seq},\"fleet\":{{\"snapshot\":false,\"version\":1764576000123,\"endpoints\":[{{\"name\":\"cache-{seq:08}\",\
             \"address\":\"127.0.0.1:45678\",\"zone\":\"edge-1\",\"type\":\"standard\",\"group\":12,\"status\":\"active\",\
             \"weight\":4.0,\"since_ms\":1764576000123}}]}}}}"
        )
    };
    let lines: Vec<String> = (1..=RECORDS).map(line).collect();
    let body = format!("{{\"log\":\"north-1\",\"seq\":{RECORDS},\"results\":[{}]}}", lines.join(","));
    let (listener, address) = listener();
    let page = body.clone();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection of the client");
        read_request(&mut stream);
        write_answer(&mut stream, &page);
    });
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=0", TEST_TIMEOUT);
    assert_eq!(test_client.result(), Ok(Bytes::from(body)));
    server.join().expect("the server received the request");
}

#[test]
fn an_answer_over_the_limit_fails_its_poll_and_the_next_poll_is_answered() {
    const LIMIT: usize = 16 * 1024 * 1024;
    let (listener, address) = listener();
    let server = std::thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection of the client");
        read_request(&mut first);
        let too_long = "x".repeat(LIMIT + 1);
        // The client closes the connection as soon as it has read more than the limit.
        let _ = common::write_answer(&mut first, &too_long);
        let (mut second, _) = listener.accept().expect("a second connection of the client");
        read_request(&mut second);
        write_answer(&mut second, &too_long[..LIMIT]);
    });
    let mut test_client = TestClient::new(address);
    test_client.start_poll("since=0", TEST_TIMEOUT);
    let Err(StreamError(reason)) = test_client.result() else {
        panic!("the answer exceeds the limit");
    };
    assert!(reason.contains("publish shorter entries"), "{reason}");
    test_client.start_poll("since=0", TEST_TIMEOUT);
    assert_eq!(test_client.result().map(|body| body.len()), Ok(LIMIT));
    server.join().expect("the server received both requests");
}
