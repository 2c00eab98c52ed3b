//! Helpers shared by the tests of the program: starting it, its configuration, temporary files. Each test file uses
//! some of them.
#![allow(dead_code)]

pub mod polls;
pub mod resp;

use serde_json::{Value, json};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_myrtlegauge"))
}

/// The configuration of a dispatcher, as the platform writes it.
pub fn config(listen: SocketAddr, changelog: SocketAddr, sockets: usize, initial_events: &Value) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim_ms": 500.0, "aim_stretch": 1.6, "deadline_ms": 5000.0,
            "effect": effect, "group": "zone", "key_ttl_ms": 5000.0})
    };
    json!({
        "name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "changelog": changelog.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": initial_events,
        "settings": {
            "balancers": 2, "my_zone": 1, "discovery": "pushed", "weights": "rough", "resolution_ms": 2.0,
            "zones": ["hub", "edge"], "kinds": ["standard", "parent", "origin"],
            "classes": [class("video", "idempotent"), class("confirm", "at_most_once")],
            "domain": {"count_by_zone": [0, 2], "hub_of": [0, 0], "shield_kind": 1, "master_kind": 2,
                "flow_kb_per_s": 10000.0, "shares_fills": false, "pass_through_ok": true, "note_level": "all",
                "lifetime_by_class_ms": [0.0, 0.0], "grace_for_ms": [0.0, 0.0], "pass_on": [false, true],
                "parent_floor": 0.08, "parent_cold_ms": 20000.0, "parent_breaks_at": 2.0,
                "gone_everywhere_ms": 6000.0, "obey_after_ms": 1000.0},
            "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0, "max_attempts": 8,
                "streams_per_conn": 100, "connect_timeout_ms": 400.0, "conn_idle_ms": 15000.0},
            "obligations": {"start_capacity": 0.22, "warm_within_ms": 17000.0, "fall_multiple": 2.0,
                "fall_ms": 1000.0}
        }
    })
}

/// A FastCGI request with these parameters.
pub fn request(params: &[(&str, &str)]) -> Vec<u8> {
    let record = |kind: u8, content: &[u8]| {
        let length = (content.len() as u16).to_be_bytes();
        [&[1, kind, 0, 1, length[0], length[1], 0, 0], content].concat()
    };
    let pair = |(name, value): &(&str, &str)| {
        [&[name.len() as u8, value.len() as u8], name.as_bytes(), value.as_bytes()].concat()
    };
    let encoded: Vec<u8> = params.iter().flat_map(pair).collect();
    [record(1, &[0, 1, 1, 0, 0, 0, 0, 0]), record(4, &encoded), record(4, b""), record(5, b"")].concat()
}

/// A temporary file of a test, removed on drop.
pub struct TempFile(pub PathBuf);

impl TempFile {
    pub fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("myrtlegauge-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A child process, killed on drop.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns an address that nothing listens on yet.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Sends a process a signal by its name.
pub fn send_signal(process: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &process.id().to_string()]).status().unwrap().success());
}

/// Waits until something listens at an address.
pub fn wait_until_listening(address: SocketAddr, timeout: Duration) {
    let start = Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(start.elapsed() < timeout, "the dispatcher does not listen");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A number from the environment, or its default.
pub fn setting((name, default): (&str, u64)) -> u64 {
    let parse = |text: String| text.parse().unwrap_or_else(|_| panic!("{name}: {text:?} is no number"));
    std::env::var(name).map_or(default, parse)
}

/// A line of the host list.
pub fn host_line(name: &str, kind: &str, zone: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": zone, "type": kind, "group": 0,
        "status": status, "weight": 4.0, "since_ms": 0})
}

/// The lines of one cache, one parent and an origin.
pub fn host_lines(cache: SocketAddr, sources: SocketAddr) -> Vec<Value> {
    vec![
        host_line("c1", "standard", "edge", cache, "active"),
        host_line("p1", "parent", "hub", sources, "active"),
        host_line("o1", "origin", "hub", sources, "active"),
    ]
}

/// The first event of a dispatcher, with the full list of these hosts.
pub fn list_event(hosts: &[Value]) -> Value {
    json!({"seq": 1, "results": [{"seq": 1, "fleet": {"index": 0, "snapshot": true, "endpoints": hosts}}]})
}

/// The initial events of a dispatcher: one cache, one parent and an origin, all at one address.
pub fn initial_events(host: SocketAddr) -> Value {
    list_event(&host_lines(host, host))
}

/// Reads from a connection until the peer ends a response or closes the connection; none if it times out.
pub fn read_response(stream: &mut TcpStream) -> Option<String> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return None,
            Err(_) => break,
        }
        // The bytes end with an END_REQUEST record.
        if bytes.len() >= 16 && bytes[bytes.len() - 16..][..2] == [1, 3] {
            break;
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
