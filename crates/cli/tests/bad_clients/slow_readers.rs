//! Clients that ask for many large answers at once, read them as slowly as a client of a site does, and ask again.

use super::clients::{new_id, try_connect};
use super::records;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// Bytes that a client takes in a microsecond.
const BYTES_PER_US: u64 = 8;
/// The record type that ends an answer.
const END_REQUEST: u8 = 3;

/// Clients with a connection and a thread each. They end when this is dropped.
pub struct SlowReaders {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SlowReaders {
    /// Starts clients that each send this many requests at once, and again once all are answered.
    pub fn start(to: SocketAddr, count: usize, at_once: u16) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let start = |_| {
            let is_over = Arc::clone(&is_over);
            spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // A client whose connection ends comes again.
                    let _ = try_connect(to).and_then(|stream| ask_again_and_again(stream, at_once, &is_over));
                }
            })
        };
        let threads = (0..count).map(start).collect();
        Self { is_over, threads }
    }
}

impl Drop for SlowReaders {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

fn ask_again_and_again(mut stream: TcpStream, at_once: u16, is_over: &AtomicBool) -> std::io::Result<()> {
    while !is_over.load(Ordering::Relaxed) {
        let new_object = |number| {
            let id = new_id();
            let object = u64::from_str_radix(&id, 16).unwrap_or_default();
            records::get(number, "video", &id, object.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        };
        let requests: Vec<u8> = (1..=at_once).flat_map(new_object).collect();
        stream.write_all(&requests)?;
        let mut open = at_once;
        while open > 0 && !is_over.load(Ordering::Relaxed) {
            open -= u16::from(read_record(&mut stream)? == END_REQUEST);
        }
    }
    Ok(())
}

/// Reads a record in the time that it takes on the way to the client, and returns its type.
fn read_record(stream: &mut TcpStream) -> std::io::Result<u8> {
    let mut header = [0; 8];
    stream.read_exact(&mut header)?;
    let content_bytes = u16::from_be_bytes([header[4], header[5]]);
    let mut content = vec![0; usize::from(content_bytes) + usize::from(header[6])];
    stream.read_exact(&mut content)?;
    sleep(Duration::from_micros(u64::from(content_bytes) / BYTES_PER_US));
    Ok(header[1])
}
