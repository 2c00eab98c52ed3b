//! Shared by the tests of the clients: the handler of an event loop, and the server's side of a poll.

// Each test file is a crate of its own and uses a part of this module.
#![allow(dead_code)]

use myrtlegauge_wire::transport::ReadinessHandler;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Records that a socket was ready.
#[derive(Default)]
pub struct ReadyFlag(pub bool);

impl ReadinessHandler for ReadyFlag {
    type Key = ();

    fn on_socket_ready(&mut self, (): ()) {
        self.0 = true;
    }
}

/// Listens on a free port.
pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads the head of the next request on a connection; `None` once it is closed.
pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Writes an answer with this body.
///
/// # Errors
/// The peer has closed the connection.
pub fn write_answer(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes())
}
