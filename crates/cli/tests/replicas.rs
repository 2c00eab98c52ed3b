//! Replicas and a dispatcher as processes: the dispatcher polls one replica, falls back to another as that one is killed,
//! and a purge counts as in force only once it was applied.

mod common;

use common::{Ends, File, program, request};
use myrtlegauge_replica::status::{self, PurgeState, Status};
use myrtlegauge_replication::{PurgeTarget, ReplicaStanding};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long something that has to come is waited for; far over what it takes, for the machine may be busy.
const PATIENCE: Duration = Duration::from_secs(60);
const FOOTPRINT: &str = "(footprint (zone \"hub\" (hub 0)) (zone \"edge\" (hub 0)) (here \"edge\") (transfer-pace 10MB/s)\n \
    (cache-start (share 22%) (warm-within 17s)))\n(delivery-service \"video\" (objective 500ms) (timeout 5s))\n";

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address")
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// The platform's change log: an HTTP long poll over events that a test adds.
struct ChangeLog {
    address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
}

impl ChangeLog {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let events = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let told = Arc::clone(&events);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = Arc::clone(&told);
                std::thread::spawn(move || answer_polls(stream, &told));
            }
        });
        Self { address, events }
    }

    fn add(&self, event: Value) {
        let (events, added) = &*self.events;
        let mut events = events.lock().expect("the events");
        let mut event = event;
        event["seq"] = (events.len() + 1).into();
        events.push(event);
        added.notify_all();
    }

    fn purge(&self, object: &str) {
        self.add(json!({"invalidate": {"object": object, "time": unix_ms()}}));
    }
}

/// Answers the polls of one connection until it is closed.
fn answer_polls(mut stream: TcpStream, told: &(Mutex<Vec<Value>>, Condvar)) {
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
    loop {
        let head: Vec<String> =
            lines.by_ref().map_while(Result::ok).take_while(|line| !line.is_empty()).collect();
        let Some(request) = head.first() else { return };
        let field = |name: &str| {
            let from = request.find(&format!("{name}=")).expect("a poll") + name.len() + 1;
            let digits: String = request[from..].chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().expect("a number")
        };
        let (since, wait) = (field("since") as usize, Duration::from_millis(field("timeout")));
        let (events, added) = told;
        let events = events.lock().expect("the events");
        let (events, _) =
            added.wait_timeout_while(events, wait, |events| events.len() <= since).expect("the events");
        let news = events.get(since..).unwrap_or_default();
        let body = json!({"seq": events.len(), "results": news}).to_string();
        drop(events);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A process with its log.
struct Logged {
    process: Ends,
    lines: Arc<Mutex<Vec<String>>>,
    _file: File,
}

impl Logged {
    fn start(command: &str, name: &str, text: &str) -> Self {
        let file = File::new(name, text);
        let mut child = program();
        child
            .args([command, file.path()])
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .env_remove("RUST_LOG");
        let mut process = Ends(child.spawn().expect("it starts"));
        let stderr = process.0.stderr.take().expect("its log");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let written = Arc::clone(&lines);
        std::thread::spawn(move || {
            let all = BufReader::new(stderr).lines().map_while(Result::ok);
            all.for_each(|line| written.lock().expect("its lines").push(line));
        });
        Self { process, lines, _file: file }
    }

    fn count(&self, wanted: &str) -> usize {
        self.lines.lock().expect("its lines").iter().filter(|line| line.contains(wanted)).count()
    }

    /// Waits until the log has so many lines with a text; the last of them.
    fn until(&self, wanted: &str, count: usize) -> String {
        let end = Instant::now() + PATIENCE;
        while self.count(wanted) < count {
            assert!(
                Instant::now() < end,
                "no line with {wanted:?}: {:#?}",
                self.lines.lock().expect("its lines")
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        let lines = self.lines.lock().expect("its lines");
        lines.iter().rfind(|line| line.contains(wanted)).expect("it is there").clone()
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.0.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// The last report, asked for now.
    fn report(&self, wanted: &str) -> String {
        let before = self.count(wanted);
        self.signal("-USR1");
        self.until(wanted, before + 1)
    }

    fn ends_well(mut self) {
        self.signal("-TERM");
        let end = Instant::now() + PATIENCE;
        while self.process.0.try_wait().expect("its state").is_none() {
            assert!(Instant::now() < end, "it does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
        assert_eq!(self.process.0.wait().expect("its state").code(), Some(0));
    }
}

/// Three replicas of which the last follows the change log, by name.
fn replicas(change_log: &ChangeLog) -> Vec<(SocketAddr, Logged)> {
    let names = ["a", "b", "c"];
    let addresses = names.map(|_| free_address());
    let file = |place: usize| {
        let others = (0..names.len()).filter(|other| *other != place);
        let peers: String = others
            .map(|other| format!("(peer (name \"{}\") (address \"{}\"))\n", names[other], addresses[other]))
            .collect();
        let source = if place == 2 { format!("(source \"{}\")", change_log.address) } else { String::new() };
        format!("(replica (name \"{}\") (listen \"{}\")\n{peers}{source})\n", names[place], addresses[place])
    };
    (0..names.len())
        .map(|place| {
            let name = format!("replica-{}.sexp", names[place]);
            (addresses[place], Logged::start("replica", &name, &file(place)))
        })
        .collect()
}

fn purge_state(status: &Status, object: &str) -> Option<PurgeState> {
    let target = PurgeTarget::Object(object.to_owned());
    status.purges.iter().find(|purge| purge.target == target).map(|purge| purge.state.clone())
}

/// Asks a replica until its status is as wanted.
fn until(at: SocketAddr, what: &str, wanted: impl Fn(&Status) -> bool) {
    let end = Instant::now() + PATIENCE;
    loop {
        // It may not listen yet.
        let status = status::fetch(at, PATIENCE);
        if status.as_ref().is_ok_and(&wanted) {
            return;
        }
        assert!(Instant::now() < end, "{what}: {status:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until a purge is in force by a replica; the states in which it was seen before, each once.
fn until_in_force(at: SocketAddr, object: &str) -> Vec<PurgeState> {
    let (end, mut seen) = (Instant::now() + PATIENCE, Vec::new());
    loop {
        let status = status::fetch(at, PATIENCE).expect("a status");
        match purge_state(&status, object) {
            Some(PurgeState::InForce { .. }) => return seen,
            Some(state) => seen.push(state),
            None => {}
        }
        assert!(Instant::now() < end, "never in force: {status:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// How many purges a dispatcher has taken, by its report.
fn purges_taken(dispatcher: &Logged) -> u64 {
    let line = dispatcher.report("change log: hosts forgotten");
    let from = line.find(" purges ").expect("the count of purges") + " purges ".len();
    line[from..].chars().take_while(char::is_ascii_digit).collect::<String>().parse().expect("a number")
}

#[test]
fn a_dispatcher_falls_back_as_its_replica_is_killed_and_takes_the_next_purge_by_the_other() {
    let change_log = ChangeLog::start();
    let host = json!({"name": "c1", "address": free_address().to_string(), "zone": "edge", "type": "standard",
        "group": 0, "status": "active", "weight": 4.0, "since_ms": 0});
    change_log.add(json!({"fleet": {"snapshot": true, "endpoints": [host]}}));
    let mut replicas = replicas(&change_log);
    let [a, b, c] = [0, 1, 2].map(|place| replicas[place].0);
    for at in [a, b, c] {
        until(at, "it is established", |status| status.standing == ReplicaStanding::Established);
    }
    let told = format!(
        "(dispatcher (name \"edge-1\") (listen \"{}\")\n (replicas (primary \"{a}\") (fallback \"{b}\")))\n{FOOTPRINT}",
        free_address()
    );
    let dispatcher = Logged::start("dispatch", "dispatcher.sexp", &told);
    dispatcher.until("replication: attached", 1);

    until(b, "the dispatcher is at its primary", |status| {
        status.members.iter().any(|member| member.replica.as_deref() == Some("a"))
    });

    change_log.purge("00000000000000a1");
    until_in_force(b, "00000000000000a1");
    assert_eq!(purges_taken(&dispatcher), 1, "in force, and so applied");

    // The replica that is polled is killed; the purge after it comes by the other one.
    replicas.remove(0).1.process.0.kill().expect("it runs");
    let killed_at = Instant::now();
    change_log.purge("00000000000000a2");
    let before = until_in_force(b, "00000000000000a2");
    let in_force_after = killed_at.elapsed();
    assert_eq!(purges_taken(&dispatcher), 2, "in force after {in_force_after:?}, and so applied");
    let names_it = |state: &PurgeState| {
        matches!(state, PurgeState::Outstanding { dispatchers, replicas, .. }
            if dispatchers.iter().any(|name| name == "edge-1") || replicas.iter().any(|replica| replica.name == "a"))
    };
    assert!(before.iter().any(names_it), "it was waited for: {before:?}");
    let polls = dispatcher.report("replication: polls");
    assert!(polls.contains(&b.to_string()) && polls.contains("fallbacks: 1"), "{polls}");
    assert!(in_force_after < Duration::from_secs(20), "{in_force_after:?}");

    // What an operator is shown, and a log line of it.
    let shown = program().args(["replica", "status", &b.to_string()]).output().expect("it runs");
    let shown = String::from_utf8(shown.stdout).expect("a text");
    assert!(shown.contains("edge-1") && shown.contains("in force") && shown.contains("watermark"), "{shown}");
    let line = replicas[0].1.report("replication: replica b");
    for field in ["polls_answered=", "events_sent=", "bytes_out=", "members=1", "lagging=0", "watermark="] {
        assert!(line.contains(field), "{field}: {line}");
    }

    // A dispatcher that ends says so: it is a member no more, well before its lease is over.
    dispatcher.ends_well();
    let left_at = Instant::now();
    until(c, "it has left", |status| status.members.iter().all(|member| member.replica.is_none()));
    assert!(
        left_at.elapsed() < Duration::from_secs(8),
        "only once its lease was over: {:?}",
        left_at.elapsed()
    );
    for (_, replica) in replicas {
        replica.ends_well();
    }
}

/// A stand-in cache that returns each GET with a copy made now, and tells the forwards that it read.
fn stand_in_cache() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tells, told) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tells = tells.clone();
            std::thread::spawn(move || answer_forwards(stream, &tells));
        }
    });
    (address, told)
}

fn answer_forwards(mut stream: TcpStream, tells: &Sender<String>) {
    let mut bytes = [0; 1024];
    while let Ok(read @ 1..) = stream.read(&mut bytes) {
        let forward = String::from_utf8_lossy(&bytes[..read]).into_owned();
        let id = forward.lines().nth(4).expect("the id behind its length").to_owned();
        let fields = format!("why=TCP_HIT,rev=4be0c1927d55a6f3,since={}", unix_ms());
        let long = fields.len();
        let answer = format!("*4\r\n$16\r\n{id}\r\n$3\r\n200\r\n${long}\r\n{fields}\r\n$9\r\nthe bytes\r\n");
        let is_taken = tells.send(forward).is_ok() && stream.write_all(answer.as_bytes()).is_ok();
        if !is_taken {
            return;
        }
    }
}

/// Has a GET answered by the dispatcher.
fn get(dispatcher: SocketAddr, id: &str) {
    let mut client = TcpStream::connect(dispatcher).expect("it listens");
    client.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let asked = [
        ("SCRIPT_NAME", "/rpc/video"),
        ("HTTP_REQUEST_ID", id),
        ("HTTP_BUDGET_MS", "3000"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
    ];
    client.write_all(&request(&asked)).expect("it is taken");
    let mut bytes = [0; 1024];
    let read = client.read(&mut bytes).expect("an answer");
    let answered = String::from_utf8_lossy(&bytes[..read]);
    assert!(answered.contains("Status: 200 OK"), "{answered}");
}

#[test]
fn a_dispatcher_that_no_replica_answers_doubts_its_copies_until_one_does() {
    let change_log = ChangeLog::start();
    let (cache, forwards) = stand_in_cache();
    let line = |name: &str, zone: &str, kind: &str| {
        json!({"name": name, "address": cache.to_string(), "zone": zone, "type": kind, "group": 0,
            "status": "active", "weight": 4.0, "since_ms": 0})
    };
    let lines = [line("c1", "edge", "standard"), line("p1", "hub", "parent"), line("o1", "hub", "origin")];
    change_log.add(json!({"fleet": {"snapshot": true, "endpoints": lines}}));
    let [at, nobody, listen] = [(); 3].map(|()| free_address());
    let replica = format!("(replica (name \"a\") (listen \"{at}\") (source \"{}\"))\n", change_log.address);
    let running = Logged::start("replica", "lone-replica.sexp", &replica);
    let told = format!(
        "(dispatcher (name \"edge-1\") (listen \"{listen}\")\n \
         (replicas (primary \"{at}\") (fallback \"{nobody}\")))\n{FOOTPRINT}"
    );
    let dispatcher = Logged::start("dispatch", "doubting.sexp", &told);
    let may_be_any_copy = |id: &str| {
        get(listen, id);
        let forward = forwards.recv_timeout(PATIENCE).expect("it was forwarded");
        assert!(forward.contains(id), "{forward}");
        !forward.contains(",cap=")
    };
    dispatcher.until("replication: attached", 1);
    assert!(may_be_any_copy("00000000000000a1"), "nothing was purged, and all purges are known");

    drop(running);
    let killed_at = Instant::now();
    dispatcher.until("no replica has answered in time", 1);
    let doubts_after = killed_at.elapsed();
    assert!(doubts_after < Duration::from_secs(10), "{doubts_after:?}");
    assert!(!may_be_any_copy("00000000000000a2"), "a purge may have been missed");

    let _again = Logged::start("replica", "lone-replica-again.sexp", &replica);
    dispatcher.until("replication: attached", 2);
    assert!(may_be_any_copy("00000000000000a3"), "all purges are known again");
}

#[test]
fn a_replica_is_started_and_asked_by_its_subcommand() {
    let bad =
        File::new("bad-replica.sexp", "(replica (name \"a\") (listen \"127.0.0.1:0\") (peer (name \"a\")))");
    let told = program().args(["replica", bad.path()]).output().expect("it runs");
    let faults = String::from_utf8(told.stderr).expect("a text");
    assert_eq!((told.status.code(), faults.lines().count()), (Some(2), 2), "{faults}");
    assert!(faults.contains(":1:") && faults.contains("peer is this replica itself"), "{faults}");
    let nobody = free_address().to_string();
    assert_eq!(
        program().args(["replica", "status", &nobody]).output().expect("it runs").status.code(),
        Some(1)
    );
    assert_eq!(program().arg("replica").output().expect("it runs").status.code(), Some(2));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/replica.sexp");
    assert_eq!(program().args(["check", example]).output().expect("it runs").status.code(), Some(0));
}
