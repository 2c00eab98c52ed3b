//! The program under a file descriptor limit that idle clients use up while the change log is down.

mod common;

use common::{KillOnDrop, TempFile, config, request};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const MAX_DESCRIPTORS: usize = 64;

/// Reads the first bytes of a response.
fn read_response(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut bytes = [0; 512];
    let length = stream.read(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

/// Sends a health request; returns the connection and the response.
fn request_health(to: SocketAddr) -> Option<(TcpStream, String)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(&request(&[("SCRIPT_NAME", "/health")])).ok()?;
    let response = read_response(&mut stream);
    Some((stream, response))
}

/// Guards against idle clients that take all descriptors, so that the dispatcher can neither poll the change log nor
/// reach a host nor answer health requests. With the change log down, the dispatcher has to be ready within 10 s from
/// its initial events. Idle clients then use up their share, and the change log, a new host connection and health
/// requests must still get descriptors.
#[test]
fn idle_clients_leave_descriptors_for_the_change_log_a_host_and_health_requests() {
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    // Addresses that nothing listens on yet.
    let unused_address = |_| TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let [listen, changelog] = [(); 2].map(unused_address);
    let entry = |name: &str, kind: &str, zone: &str| {
        json!({"name": name, "address": host.local_addr().unwrap().to_string(), "zone": zone, "type": kind, "group": 0,
            "status": "active", "weight": 4.0, "since_ms": 0})
    };
    let entries =
        [entry("c1", "standard", "edge"), entry("p1", "parent", "hub"), entry("o1", "origin", "hub")];
    let initial_events = json!({"seq": 1, "results": [{"seq": 1, "fleet": {"index": 0, "snapshot": true, "endpoints": entries}}]});
    let config_json = config(listen, changelog, MAX_DESCRIPTORS, &initial_events);
    let file = TempFile::new("narrow.json", &config_json.to_string());
    let limited = format!("ulimit -n {MAX_DESCRIPTORS}; exec {}", env!("CARGO_BIN_EXE_myrtlegauge"));
    let mut child = Command::new("sh");
    child
        .args(["-c", &limited])
        .env("ROUTER_CONFIG", file.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let _dispatcher = KillOnDrop(child.spawn().unwrap());
    let start = Instant::now();
    let ready = std::iter::from_fn(|| {
        std::thread::sleep(Duration::from_millis(10));
        Some(request_health(listen))
    })
    .take(500)
    .flatten()
    .find(|(_, response)| response.contains("200 OK"));
    assert!(ready.is_some() && start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());

    let idle: Vec<_> = (0..MAX_DESCRIPTORS * 2).filter_map(|_| request_health(listen)).collect();
    assert_eq!(
        idle.len(),
        MAX_DESCRIPTORS * 2,
        "each new connection is accepted, and the one idle for longest is closed"
    );
    assert!(idle.iter().all(|(_, response)| response.contains("200 OK")));

    // The change log starts and is polled.
    let changelog = TcpListener::bind(changelog).unwrap();
    let (mut poll, _) = changelog.accept().unwrap();
    let mut bytes = [0; 256];
    let length = poll.read(&mut bytes).unwrap();
    assert!(
        bytes[..length].starts_with(b"GET /changes?since=1"),
        "{}",
        String::from_utf8_lossy(&bytes[..length])
    );

    // A GET is forwarded to a host on a new connection.
    let mut client = TcpStream::connect(listen).unwrap();
    let get = [
        ("SCRIPT_NAME", "/rpc/video"),
        ("HTTP_REQUEST_ID", "00000000000000a1"),
        ("HTTP_BUDGET_MS", "3000"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
    ];
    client.write_all(&request(&get)).unwrap();
    let (mut forward, _) = host.accept().unwrap();
    let length = forward.read(&mut bytes).unwrap();
    assert!(
        bytes[..length].starts_with(b"*4\r\n$5\r\nserve\r\n"),
        "{}",
        String::from_utf8_lossy(&bytes[..length])
    );
    let fields = "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123";
    let answer = format!(
        "*4\r\n$16\r\n00000000000000a1\r\n$3\r\n200\r\n${}\r\n{fields}\r\n$9\r\nthe bytes\r\n",
        fields.len()
    );
    forward.write_all(answer.as_bytes()).unwrap();
    assert!(read_response(&mut client).contains("Status: 200 OK"));
}
