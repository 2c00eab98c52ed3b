//! The log lines on GETs that were late or not returned, whose keys operators' tools read.

use log::kv::{Error, Key, Value as KvValue, VisitSource};
use myrtlegauge_dispatcher::routing::{Dispatcher, Guards, ResourceLimits, Startup};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Records the message and the keys of each log line.
struct KeyRecorder(Mutex<Vec<(String, Vec<String>)>>);

static RECORDER: KeyRecorder = KeyRecorder(Mutex::new(Vec::new()));

struct Keys(Vec<String>);

impl<'a> VisitSource<'a> for Keys {
    fn visit_pair(&mut self, key: Key<'a>, _: KvValue<'a>) -> Result<(), Error> {
        self.0.push(key.to_string());
        Ok(())
    }
}

impl log::Log for KeyRecorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut keys = Keys(Vec::new());
        record.key_values().visit(&mut keys).unwrap();
        self.0.lock().unwrap().push((record.args().to_string(), keys.0));
    }

    fn flush(&self) {}
}

/// One delivery service with a latency objective of 1 ms, and one kind of host beside the origin.
fn settings() -> Value {
    json!({
        "balancers": 2, "my_zone": 1, "discovery": "pushed", "weights": "rough", "resolution_ms": 2.0,
        "zones": ["hub", "edge"], "kinds": ["standard", "parent", "origin"],
        "classes": [{"name": "video", "aim_ms": 1.0, "aim_stretch": 1.6, "deadline_ms": 5000.0,
            "effect": "idempotent", "group": "zone", "key_ttl_ms": 5000.0}],
        "domain": {"count_by_zone": [0, 2], "hub_of": [0, 0], "shield_kind": 1, "master_kind": 2,
            "flow_kb_per_s": 10000.0, "shares_fills": false, "pass_through_ok": true, "note_level": "all",
            "lifetime_by_class_ms": [0.0], "grace_for_ms": [0.0],
            "pass_on": [false], "parent_floor": 0.08, "parent_cold_ms": 20000.0,
            "parent_breaks_at": 2.0, "gone_everywhere_ms": 6000.0, "obey_after_ms": 1000.0},
        "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0, "max_attempts": 8,
            "streams_per_conn": 100, "connect_timeout_ms": 400.0, "conn_idle_ms": 15000.0},
        "obligations": {"start_capacity": 0.22, "warm_within_ms": 17000.0, "fall_multiple": 2.0, "fall_ms": 1000.0}
    })
}

/// A FastCGI request for a chunk of an object.
fn request() -> Vec<u8> {
    let params = [
        ("SCRIPT_NAME", "/rpc/video"),
        ("HTTP_REQUEST_ID", "0000000000000001"),
        ("HTTP_BUDGET_MS", "3000"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
    ];
    let mut encoded = Vec::new();
    for (name, value) in params {
        encoded.extend_from_slice(&[name.len() as u8, value.len() as u8]);
        encoded.extend_from_slice(name.as_bytes());
        encoded.extend_from_slice(value.as_bytes());
    }
    let records = [(1, &[0, 1, 1, 0, 0, 0, 0, 0][..]), (4, &encoded), (4, &[]), (5, &[])];
    let record =
        |(kind, content): (u8, &[u8])| [&[1, kind, 0, 1, 0, content.len() as u8, 0, 0], content].concat();
    records.into_iter().flat_map(record).collect()
}

/// Listens as a host and replies to one command with a copy, 20 ms after it is received.
fn slow_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        std::thread::sleep(Duration::from_millis(20));
        let parts =
            ["0000000000000001", "200", "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123", "body"];
        let parts: String = parts.map(|part| format!("${}\r\n{part}\r\n", part.len())).concat();
        stream.write_all(format!("*4\r\n{parts}").as_bytes()).unwrap();
        // The connection stays open until the dispatcher closes it.
        let _ = stream.read(&mut [0; 64]);
    });
    address
}

/// Listens as a change log without events that answers nothing for 2 s.
fn silent_change_log() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let start = Instant::now();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {
                    std::thread::sleep(Duration::from_secs(2).saturating_sub(start.elapsed()));
                    let body = "{\"seq\":0,\"results\":[]}";
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    address
}

/// The keys of the first line with this message that a dispatcher with these hosts logs on one GET.
fn keys_of(message: &str, known: &Value) -> Vec<String> {
    let (settings, known) = (settings(), known.to_string());
    let mut event_loop = calloop::EventLoop::try_new().unwrap();
    let startup = Startup {
        listen: ([127, 0, 0, 1], 0).into(),
        change_log: silent_change_log(),
        known_changes: serde_json::from_str(&known).unwrap(),
        settings: settings.as_object().unwrap(),
        seed: 7,
        resource_limits: ResourceLimits { descriptors: 1024, memory_bytes: 64 << 20 },
        guards: Guards::ALL,
        zones: None,
        member: None,
        replicas: None,
    };
    let mut dispatcher = Dispatcher::start(event_loop.handle(), startup).unwrap();
    let mut client = TcpStream::connect(dispatcher.address().unwrap()).unwrap();
    client.write_all(&request()).unwrap();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        event_loop
            .dispatch(Duration::from_millis(1).min(dispatcher.poll_timeout()), &mut dispatcher)
            .unwrap();
        dispatcher.process_events();
        let lines = RECORDER.0.lock().unwrap();
        if let Some((_, keys)) = lines.iter().find(|(logged, _)| logged == message) {
            return keys.clone();
        }
    }
    panic!("no line {message:?} in {:?}", RECORDER.0.lock().unwrap());
}

/// Guards against a renamed variable that renames a key: the keys are looked up by name outside of this program.
#[test]
fn lines_on_gets_that_are_late_or_not_returned_have_the_documented_keys() {
    log::set_logger(&RECORDER).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let keys = keys_of("not returned", &json!({"seq": 0, "results": []}));
    let expected =
        ["id", "class", "forwards", "in_hand_ms", "end", "retry_after_ms", "last", "note", "host", "unsaid"];
    assert_eq!(keys, expected);
    let host = |name: &str, kind: &str, zone: &str, since_ms: u128| {
        json!({"name": name, "address": slow_host().to_string(), "zone": zone, "type": kind, "group": 0,
            "status": "active", "weight": 8.0, "since_ms": since_ms as u64})
    };
    let endpoints = [
        host("cache-0", "standard", "edge", 0),
        host("parent-1", "parent", "hub", 0),
        host("origin-2", "origin", "hub", 0),
    ];
    let fleet = json!({"index": 0, "snapshot": true, "endpoints": endpoints});
    let keys = keys_of("late", &json!({"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}));
    let expected =
        ["id", "class", "forwards", "in_hand_ms", "forward_ms", "host", "source", "fill_ms", "unsaid"];
    assert_eq!(keys, expected);
    let unix_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
    let started = host("cache-0", "standard", "edge", unix_ms);
    let fleet = json!({"index": 0, "snapshot": true, "endpoints": [started]});
    let keys = keys_of("slow start", &json!({"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}));
    let expected = [
        "host",
        "from",
        "age_ms",
        "fraction",
        "allowed",
        "allowed_work_ms",
        "share_work_ms",
        "requests",
        "work_ms",
        "mean_work_ms",
        "least_ms",
        "largest_ms",
        "unsaid",
    ];
    assert_eq!(keys, expected);
    let known = json!({"seq": 0, "results": []});
    assert_eq!(keys_of("change log not heard in time, copies may be refused", &known), ["cause", "age_ms"]);
    assert_eq!(keys_of("change log heard again", &known), ["cause", "silent_ms"]);
}
