//! A stand-in for all hosts of a deployment, which records which copies each request accepts, and counts how often the
//! copy it holds was too old.

use super::common::resp::parse_command;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One request as it reached the host.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub object: u64,
    /// The age of the oldest copy that is accepted; `None` if any copy is.
    pub accepted_age: Option<Duration>,
    /// The copy that the host holds was too old, so that it was filled again.
    pub was_filled: bool,
}

/// A host. Its threads end with the test's process.
pub struct Host {
    pub address: SocketAddr,
    state: Arc<Mutex<HostState>>,
}

#[derive(Default)]
struct HostState {
    arrivals: Vec<Arrival>,
    /// When the copy of each object was filled.
    copies: HashMap<u64, Instant>,
}

impl Host {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        let state = Arc::clone(&host.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                thread::spawn(move || serve(stream, &state));
            }
        });
        host
    }

    /// All requests that have reached the host.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<HostState>) {
    stream.set_nodelay(true).unwrap();
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        let read_at = Instant::now();
        bytes.extend_from_slice(&buffer[..count]);
        let mut consumed = 0;
        while let Some((length, words)) = parse_command(&bytes[consumed..]) {
            consumed += length;
            if words[0] == b"serve" && stream.write_all(&answer(&words, read_at, state)).is_err() {
                return;
            }
        }
        bytes.drain(..consumed);
    }
}

/// Records a request and answers it from a copy, which is filled first if it is too old.
fn answer(words: &[Vec<u8>], read_at: Instant, state: &Mutex<HostState>) -> Vec<u8> {
    let fields = String::from_utf8_lossy(&words[2]).into_owned();
    let field = |name: &str| fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    let object = u64::from_str_radix(field("name").unwrap(), 16).unwrap();
    let accepted_age = field("cap").map(|ms| Duration::from_secs_f64(ms.parse::<f64>().unwrap() / 1000.0));
    let mut state = state.lock().unwrap();
    let copy = state.copies.entry(object).or_insert(read_at);
    let was_filled = accepted_age.is_some_and(|accepted_age| *copy + accepted_age < read_at);
    if was_filled {
        *copy = read_at;
    }
    state.arrivals.push(Arrival { at: read_at, object, accepted_age, was_filled });
    let id = String::from_utf8_lossy(&words[1]);
    const FIELDS: &str = "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123";
    let length = FIELDS.len();
    format!("*4\r\n$16\r\n{id}\r\n$3\r\n200\r\n${length}\r\n{FIELDS}\r\n$9\r\nthe bytes\r\n").into_bytes()
}
