//! Compares the account of a connection's memory with what is allocated, by an allocator that counts.

mod common;

use bytes::Bytes;
use calloop::EventLoop;
use common::{ReadyFlag, listener};
use fastrand::Rng;
use myrtlegauge_wire::host_replies::{next_reply, read_replies};
use myrtlegauge_wire::protocol::fastcgi::{Message, RequestReader};
use myrtlegauge_wire::transport::{Connection, EventLoopHandle, ResourceUsage};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

thread_local! {
    /// Bytes that this thread has allocated and not freed.
    static LIVE_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// The system's allocator, which counts what a thread holds.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: all calls are passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = LIVE_BYTES.try_with(|live| live.set(live.get().wrapping_add(layout.size())));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        let _ = LIVE_BYTES.try_with(|live| live.set(live.get().wrapping_sub(layout.size())));
        unsafe { System.dealloc(pointer, layout) }
    }
}

fn live_bytes() -> usize {
    LIVE_BYTES.with(Cell::get)
}

const READ_BUFFER_BYTES: usize = 64 * 1024;
const MAX_READ_BYTES: usize = 256 * 1024;
/// The largest body that the protocol page allows.
const MAX_BODY_BYTES: usize = 240_000;
/// Content of one record of an answer.
const RECORD_BYTES: usize = 0xfff8;
const HOSTS: usize = 5;
const STEPS: usize = 1500;
/// What a connection holds beside what is counted: the room of its queue for further entries, and the test's own state.
const FIXED_BYTES: usize = (HOSTS + 1) * 6 * 1024;
/// The fraction by which the account may differ from what is allocated.
const TOLERANCE: f64 = 0.1;

/// A host or a client at the other end of a connection.
struct Peer {
    stream: TcpStream,
    /// The message that is being written: a head, then this many bytes of a body, and the part that was written.
    head: Vec<u8>,
    body_bytes: usize,
    tail: &'static [u8],
    written: usize,
    /// Messages begun so far.
    messages: u16,
}

impl Peer {
    fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, head: Vec::new(), body_bytes: 0, tail: b"", written: 0, messages: 0 }
    }

    fn message_bytes(&self) -> usize {
        self.head.len() + self.body_bytes + self.tail.len()
    }

    /// Writes up to `most` bytes, of as many messages as they reach. Returns whether the system takes more.
    fn write(&mut self, mut most: usize, body: &[u8], mut next: impl FnMut(&mut Self)) -> bool {
        while most > 0 {
            if self.written == self.message_bytes() {
                self.written = 0;
                self.messages += 1;
                next(self);
            }
            let body_end = self.head.len() + self.body_bytes;
            let part = match self.written {
                from if from < self.head.len() => &self.head[from..],
                from if from < body_end => &body[..body_end - from],
                from => &self.tail[from - body_end..],
            };
            match self.stream.write(&part[..part.len().min(most)]) {
                Ok(count) => {
                    self.written += count;
                    most -= count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) => panic!("{error}"),
            }
        }
        true
    }

    /// Reads and drops up to `most` bytes.
    fn read(&mut self, most: usize, buffer: &mut [u8]) {
        let most = most.min(buffer.len());
        let _ = self.stream.read(&mut buffer[..most]);
    }
}

/// Sizes of bodies: small ones, some of a few records, some of the largest.
fn draw_body_bytes(rng: &mut Rng) -> usize {
    match rng.u8(0..4) {
        0 => rng.usize(1..1000),
        1 => rng.usize(1000..READ_BUFFER_BYTES),
        _ => rng.usize(READ_BUFFER_BYTES..=MAX_BODY_BYTES),
    }
}

struct TestLoop {
    handle: EventLoopHandle<ReadyFlag>,
    usage: Rc<ResourceUsage>,
    _event_loop: EventLoop<'static, ReadyFlag>,
}

impl TestLoop {
    fn new() -> Self {
        let event_loop = EventLoop::try_new().unwrap();
        Self { handle: event_loop.handle(), usage: Rc::default(), _event_loop: event_loop }
    }

    fn connect(&self) -> (Connection<ReadyFlag>, Peer) {
        let (listener, address) = listener();
        let stream = TcpStream::connect(address).unwrap();
        let (accepted, _) = listener.accept().unwrap();
        let connection = Connection::from_accepted(&self.handle, stream, (), &self.usage).unwrap();
        (connection, Peer::new(accepted))
    }
}

/// The greatest differences between the account and what is allocated.
#[derive(Debug, Default)]
struct Differences {
    uncounted: usize,
    not_held: usize,
}

impl Differences {
    fn compare(&mut self, counted: usize, held: usize) {
        let slack = |bytes: usize| (bytes as f64 * TOLERANCE) as usize + FIXED_BYTES;
        self.uncounted = self.uncounted.max(held.saturating_sub(counted + slack(counted)));
        self.not_held = self.not_held.max(counted.saturating_sub(held + slack(held)));
    }

    fn assert_none(&self, seed: u64) {
        assert!(self.uncounted == 0 && self.not_held == 0, "seed {seed}: {self:?}");
    }
}

/// Guards against replies that keep the buffers they were read into, which the account did not count: replies that follow each
/// other closely and come in pieces, and a client that reads some of them now and then.
#[test]
fn the_account_of_replies_is_what_they_hold() {
    let body = vec![b'x'; MAX_BODY_BYTES];
    let mut read_buffer = vec![0; READ_BUFFER_BYTES];
    for seed in 1..=12 {
        let (mut rng, test_loop) = (Rng::with_seed(seed), TestLoop::new());
        let mut hosts: Vec<_> = (0..HOSTS).map(|_| test_loop.connect()).collect();
        let (mut client, mut reader) = test_loop.connect();
        let (live_before, mut differences) = (live_bytes(), Differences::default());
        let mut replies = 0;
        for _ in 0..STEPS {
            let (connection, host) = &mut hosts[rng.usize(0..HOSTS)];
            let piece_bytes = rng.usize(1..100_000);
            host.write(piece_bytes, &body, |host| {
                replies += 1;
                (host.body_bytes, host.tail) = (draw_body_bytes(&mut rng), b"\r\n");
                host.head.clear();
                write!(
                    host.head,
                    "*4\r\n$16\r\n{replies:016x}\r\n$3\r\n200\r\n$11\r\nwhy=TCP_HIT\r\n${}\r\n",
                    host.body_bytes
                )
                .unwrap();
            });
            read_replies(connection, &mut read_buffer, MAX_READ_BYTES);
            while let Some(reply) = next_reply(connection).unwrap() {
                assert!(reply.body.iter().all(|&byte| byte == b'x'));
                for start in (0..reply.body.len()).step_by(RECORD_BYTES) {
                    let end = reply.body.len().min(start + RECORD_BYTES);
                    client.enqueue(reply.body.slice(start..end));
                }
            }
            client.flush().unwrap();
            reader.read(rng.usize(0..60_000), &mut read_buffer);
            let held = live_bytes().wrapping_sub(live_before);
            differences.compare(test_loop.usage.buffered_bytes.current(), held);
        }
        assert!(replies > STEPS / 10, "{replies}");
        differences.assert_none(seed);
        drop((hosts, client));
        assert_eq!(test_loop.usage.buffered_bytes.current(), 0);
    }
}

/// Guards against requests, complete or not, that hold more than is counted: bodies in pieces, with others behind them.
#[test]
fn the_account_of_requests_is_what_they_hold() {
    const MAX_REQUEST_BODY_BYTES: usize = 48_000;
    const MAX_HELD: usize = 40;
    let body = vec![b'x'; MAX_REQUEST_BODY_BYTES];
    let mut read_buffer = vec![0; 16 * 1024];
    for seed in 1..=12 {
        let (mut rng, test_loop) = (Rng::with_seed(seed), TestLoop::new());
        let mut clients: Vec<_> =
            (0..HOSTS).map(|_| (test_loop.connect(), RequestReader::default())).collect();
        let mut held_requests = Vec::with_capacity(MAX_HELD + 1);
        let (live_before, mut differences) = (live_bytes(), Differences::default());
        for _ in 0..STEPS {
            let ((connection, client), reader) = &mut clients[rng.usize(0..HOSTS)];
            let piece_bytes = rng.usize(1..40_000);
            client.write(piece_bytes, &body, |client| {
                client.body_bytes = rng.usize(1..MAX_REQUEST_BODY_BYTES);
                write_request_head(&mut client.head, client.messages, client.body_bytes);
            });
            connection.read(&mut read_buffer, 1);
            loop {
                let next =
                    connection.parse(|inbound| reader.next_message::<()>(inbound, &[], Duration::ZERO));
                match next.unwrap() {
                    Some(Message::Request(request)) => held_requests.push(request),
                    Some(other) => panic!("{other:?}"),
                    None => break,
                }
            }
            if held_requests.len() > MAX_HELD {
                held_requests.swap_remove(rng.usize(0..MAX_HELD));
            }
            let complete: usize = held_requests.iter().map(|request| request.size).sum();
            let partial: usize = clients.iter().map(|(_, reader)| reader.held_bytes()).sum();
            let counted = test_loop.usage.buffered_bytes.current() + complete + partial;
            differences.compare(counted, live_bytes().wrapping_sub(live_before));
        }
        assert!(held_requests.len() > MAX_HELD / 2, "{}", held_requests.len());
        differences.assert_none(seed);
    }
}

/// Writes the records of a request up to its body, after those that end the request before.
fn write_request_head(head: &mut Vec<u8>, number: u16, body_bytes: usize) {
    const BEGIN: u8 = 1;
    const PARAMS: u8 = 4;
    const STDIN: u8 = 5;
    let path = [&[11, 10][..], b"SCRIPT_NAME/rpc/video"].concat();
    head.clear();
    let mut put = |kind: u8, number: u16, content: &[u8], length: usize| {
        let [high, low] = (length as u16).to_be_bytes();
        let [number_high, number_low] = number.to_be_bytes();
        head.extend_from_slice(&[1, kind, number_high, number_low, high, low, 0, 0]);
        head.extend_from_slice(content);
    };
    if number > 1 {
        put(STDIN, number - 1, &[], 0);
    }
    put(BEGIN, number, &[0, 1, 1, 0, 0, 0, 0, 0], 8);
    put(PARAMS, number, &path, path.len());
    put(PARAMS, number, &[], 0);
    put(STDIN, number, &[], body_bytes);
}

/// Guards against a copy of each reply, which the ordinary path does not need.
#[test]
fn a_reply_alone_in_its_buffer_is_taken_without_a_copy() {
    let test_loop = TestLoop::new();
    let (mut connection, mut host) = test_loop.connect();
    let mut read_buffer = vec![0; READ_BUFFER_BYTES];
    let head = b"*4\r\n$16\r\n0000000000000001\r\n$3\r\n200\r\n$1\r\n-\r\n$5000\r\n";
    host.stream.write_all(&[&head[..], &[b'x'; 5000], b"\r\n"].concat()).unwrap();
    read_replies(&mut connection, &mut read_buffer, MAX_READ_BYTES);
    let buffer = connection.unparsed().as_ptr();
    let reply: Bytes = next_reply(&mut connection).unwrap().unwrap().body;
    assert_eq!(reply.as_ptr() as usize - buffer as usize, head.len());
}
