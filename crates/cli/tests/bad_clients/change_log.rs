//! A stand-in for the change log: answers each poll once it has later events or the poll's time is over.

use super::common::polls::{self, Poll};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change log. A dispatcher starts with its first event.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// Sequence number of the last event that a dispatcher starts with.
const FIRST_SEQ: usize = 1;

impl ChangeLog {
    /// Starts a change log. Its threads end with the test's process.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let change_log = Self { address: listener.local_addr().unwrap(), events: Arc::default() };
        let served = change_log.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let change_log = served.clone();
                thread::spawn(move || change_log.serve(stream));
            }
        });
        change_log
    }

    /// Adds an event, given without its sequence number.
    pub fn publish(&self, event: &str) {
        let mut events = self.events.0.lock().unwrap();
        let seq = FIRST_SEQ + events.len() + 1;
        events.push(format!("{{\"seq\":{seq},{event}}}"));
        self.events.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut text, mut buffer) = (String::new(), [0; 4096]);
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            text.push_str(&String::from_utf8_lossy(&buffer[..count]));
            let Some(end) = text.find("\r\n\r\n") else { continue };
            let poll = Poll::parse(&text);
            let body = self.wait_for_events(poll.since, poll.wait);
            text.drain(..end + 4);
            if stream.write_all(polls::answer(&body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The body of the answer to a poll.
    fn wait_for_events(&self, since: usize, timeout: Duration) -> String {
        let due = Instant::now() + timeout;
        let mut events = self.events.0.lock().unwrap();
        while FIRST_SEQ + events.len() <= since && Instant::now() < due {
            let wait = due.saturating_duration_since(Instant::now());
            events = self.events.1.wait_timeout(events, wait).unwrap().0;
        }
        let later = events.get(since.saturating_sub(FIRST_SEQ)..).unwrap_or_default();
        format!("{{\"seq\":{},\"results\":[{}]}}", FIRST_SEQ + events.len(), later.join(","))
    }
}
