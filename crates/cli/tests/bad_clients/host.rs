//! A stand-in for all hosts of a deployment: answers each request after a fixed time and records what reached it.

use super::common::resp::parse_command;
use super::records::spoil;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time until an ordinary request is answered.
pub const READ_TIME: Duration = Duration::from_millis(20);
/// Pause within each answer of a host that answers in two parts.
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Bytes of an answer that such a host writes after its pause.
const LAST_PART_BYTES: usize = 1000;
/// Time until a request with effects is answered.
pub const EFFECT_TIME: Duration = Duration::from_millis(300);
/// How the fields of requests with effects begin.
const EFFECT_FIELDS: [&[u8]; 2] = [b"lane=confirm", b"lane=order"];
/// Fields of each answer.
const FIELDS: &str = "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123";

/// One request as it reached the host.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

/// The requests that reached a host, in the order of their arrival.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A host, a process of its own as far as its clients can tell. Its threads end with the test's process.
pub struct Host {
    pub address: SocketAddr,
    pub arrivals: Arrivals,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    listening: Option<JoinHandle<()>>,
}

/// The connections of a host that has been killed, which end at the latest when this is dropped.
pub struct EndingConnections(Vec<TcpStream>);

impl EndingConnections {
    /// Number of connections that have not ended.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Ends all connections but the last one.
    pub fn end_all_but_one(&mut self) {
        let others = self.0.len().saturating_sub(1);
        self.0.drain(..others).for_each(|connection| _ = connection.shutdown(Shutdown::Both));
    }
}

impl Drop for EndingConnections {
    fn drop(&mut self) {
        self.0.drain(..).for_each(|connection| _ = connection.shutdown(Shutdown::Both));
    }
}

/// Pause between two looks at the listener's queue.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// The form of a host's answers.
#[derive(Clone, Copy)]
struct Answers {
    body_bytes: usize,
    /// Whether it pauses within each of them.
    in_two_parts: bool,
    /// Draws how each of them is spoilt, unless they are sound.
    spoiling_seed: Option<u64>,
}

/// An answer that is written once it is due.
struct DueAnswer {
    id: String,
    after: Duration,
}

impl Host {
    /// Starts a host whose answers carry `body_bytes` bytes.
    pub fn start(body_bytes: usize) -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), body_bytes)
    }

    /// Starts a host that pauses within each answer.
    pub fn start_pausing(body_bytes: usize) -> Self {
        let answers = Answers { body_bytes, in_two_parts: true, spoiling_seed: None };
        Self::start_with((Ipv4Addr::LOCALHOST, 0).into(), answers)
    }

    /// Starts a host whose answers are spoilt as the seed draws it.
    pub fn start_spoiling(body_bytes: usize, seed: u64) -> Self {
        let answers = Answers { body_bytes, in_two_parts: false, spoiling_seed: Some(seed) };
        Self::start_with((Ipv4Addr::LOCALHOST, 0).into(), answers)
    }

    /// Starts a host at an address, which may be that of a host that was stopped.
    pub fn start_at(address: SocketAddr, body_bytes: usize) -> Self {
        Self::start_with(address, Answers { body_bytes, in_two_parts: false, spoiling_seed: None })
    }

    fn start_with(address: SocketAddr, answers: Answers) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let mut host = Self {
            address: listener.local_addr().unwrap(),
            arrivals: Arrivals::default(),
            is_stopped: Arc::default(),
            connections: Arc::default(),
            listening: None,
        };
        let (arrivals, is_stopped, connections) =
            (Arc::clone(&host.arrivals), Arc::clone(&host.is_stopped), Arc::clone(&host.connections));
        host.listening = Some(thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                connections.lock().unwrap().push(stream.try_clone().unwrap());
                let (arrivals, is_stopped) = (Arc::clone(&arrivals), Arc::clone(&is_stopped));
                thread::spawn(move || serve(stream, &arrivals, &is_stopped, answers));
            }
        }));
        host
    }

    /// Ends the host as a killed process ends: it listens no more and takes no request. Its connections end as the caller
    /// asks.
    pub fn stop_in_steps(&mut self) -> EndingConnections {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.listening.take().into_iter().for_each(|thread| thread.join().unwrap());
        EndingConnections(self.connections.lock().unwrap().drain(..).collect())
    }

    /// Number of requests with this id that reached the host.
    pub fn runs_of(&self, id: &str) -> usize {
        self.arrivals.lock().unwrap().iter().filter(|arrival| arrival.id == id).count()
    }
}

/// Reads requests until the connection ends. Work goes on when a request is cancelled. A host that has been killed takes none.
fn serve(mut stream: TcpStream, arrivals: &Arrivals, is_stopped: &Arc<AtomicBool>, form: Answers) {
    stream.set_nodelay(true).unwrap();
    let (answers, due) = channel();
    let output = stream.try_clone().unwrap();
    let is_ended = Arc::clone(is_stopped);
    thread::spawn(move || write_answers(output, &due, &is_ended, form));
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        if is_stopped.load(Ordering::SeqCst) {
            continue;
        }
        bytes.extend_from_slice(&buffer[..count]);
        let mut consumed = 0;
        while let Some((length, words)) = parse_command(&bytes[consumed..]) {
            consumed += length;
            take_command(&words, arrivals, &answers);
        }
        bytes.drain(..consumed);
    }
}

fn take_command(words: &[Vec<u8>], arrivals: &Arrivals, answers: &Sender<DueAnswer>) {
    if words[0] != b"serve" {
        return;
    }
    let id = String::from_utf8_lossy(&words[1]).into_owned();
    arrivals.lock().unwrap().push(Arrival { id: id.clone(), at: Instant::now() });
    let has_effect = EFFECT_FIELDS.iter().any(|fields| words[2].starts_with(fields));
    let after = if has_effect { EFFECT_TIME } else { READ_TIME };
    let _ = answers.send(DueAnswer { id, after });
}

fn write_answers(mut stream: TcpStream, due: &Receiver<DueAnswer>, is_stopped: &AtomicBool, form: Answers) {
    let Answers { body_bytes, in_two_parts, spoiling_seed } = form;
    let mut spoiling = spoiling_seed.map(Rng::with_seed);
    let body = "x".repeat(body_bytes);
    let mut waiting: BTreeMap<(Instant, usize), String> = BTreeMap::new();
    let mut count = 0;
    loop {
        let wait = waiting
            .first_key_value()
            .map_or(EFFECT_TIME, |((at, _), _)| at.saturating_duration_since(Instant::now()));
        match due.recv_timeout(wait) {
            Ok(DueAnswer { id, after }) => {
                count += 1;
                waiting.insert((Instant::now() + after, count), id);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        while let Some(entry) = waiting.first_entry().filter(|entry| entry.key().0 <= Instant::now()) {
            let id = entry.remove();
            let mut answer = format!(
                "*4\r\n$16\r\n{id}\r\n$3\r\n200\r\n${}\r\n{FIELDS}\r\n${body_bytes}\r\n{body}\r\n",
                FIELDS.len()
            )
            .into_bytes();
            if let Some(rng) = &mut spoiling {
                spoil(&mut answer, rng);
            }
            let first_part = if in_two_parts { answer.len() - LAST_PART_BYTES } else { answer.len() };
            let (first, last) = answer.split_at(first_part);
            let mut written = stream.write_all(first);
            if !last.is_empty() {
                thread::sleep(PART_PAUSE);
                written = written.and_then(|()| stream.write_all(last));
            }
            if written.is_err() {
                return;
            }
        }
    }
}
