//! Replicas and a dispatcher as processes: the dispatcher polls one replica, falls back to another when the first is
//! killed, and a purge is reported as in force only once it was applied.

mod common;

use common::{KillOnDrop, TempFile, program, request};
use myrtlegauge_replica::status::{self, PurgeState, Status};
use myrtlegauge_replication::{PurgeTarget, ReplicaStanding};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time limit for expected events; far above what they take, since the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
const SITE_FORMS: &str = "(footprint (zone \"hub\" (hub 0)) (zone \"edge\" (hub 0)) (here \"edge\") (transfer-pace 10MB/s)\n \
    (cache-start (share 22%) (warm-within 17s)))\n(delivery-service \"video\" (objective 500ms) (timeout 5s))\n";

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address")
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// A stub of the platform's change log: serves events that a test adds by HTTP long poll.
struct StubChangeLog {
    address: SocketAddr,
    events: Arc<(Mutex<Vec<Value>>, Condvar)>,
}

impl StubChangeLog {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let events = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let shared_events = Arc::clone(&events);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection_events = Arc::clone(&shared_events);
                std::thread::spawn(move || answer_polls(stream, &connection_events));
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

/// Answers the polls of a connection until it is closed.
fn answer_polls(mut stream: TcpStream, shared_events: &(Mutex<Vec<Value>>, Condvar)) {
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
    loop {
        let head: Vec<String> =
            lines.by_ref().map_while(Result::ok).take_while(|line| !line.is_empty()).collect();
        let Some(request) = head.first() else { return };
        let field = |name: &str| {
            let start = request.find(&format!("{name}=")).expect("a poll") + name.len() + 1;
            let digits: String = request[start..].chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().expect("a number")
        };
        let (since, timeout) = (field("since") as usize, Duration::from_millis(field("timeout")));
        let (events, added) = shared_events;
        let events = events.lock().expect("the events");
        let (events, _) =
            added.wait_timeout_while(events, timeout, |events| events.len() <= since).expect("the events");
        let new_events = events.get(since..).unwrap_or_default();
        let body = json!({"seq": events.len(), "results": new_events}).to_string();
        drop(events);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A child process whose log lines are collected.
struct LoggedProcess {
    process: KillOnDrop,
    lines: Arc<Mutex<Vec<String>>>,
    _file: TempFile,
}

impl LoggedProcess {
    fn start(command: &str, name: &str, text: &str) -> Self {
        let file = TempFile::new(name, text);
        let mut child = program();
        child
            .args([command, file.path()])
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .env_remove("RUST_LOG");
        let mut process = KillOnDrop(child.spawn().expect("the program starts"));
        let stderr = process.0.stderr.take().expect("a pipe for the log");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&lines);
        std::thread::spawn(move || {
            let all = BufReader::new(stderr).lines().map_while(Result::ok);
            all.for_each(|line| collected.lock().expect("the log lines").push(line));
        });
        Self { process, lines, _file: file }
    }

    fn count(&self, text: &str) -> usize {
        self.lines.lock().expect("the log lines").iter().filter(|line| line.contains(text)).count()
    }

    /// Waits until the log has `count` lines that contain the text; returns the last of them.
    fn wait_for_lines(&self, text: &str, count: usize) -> String {
        let deadline = Instant::now() + TIMEOUT;
        while self.count(text) < count {
            assert!(
                Instant::now() < deadline,
                "fewer than {count} lines with {text:?}: {:#?}",
                self.lines.lock().expect("the log lines")
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        let lines = self.lines.lock().expect("the log lines");
        lines.iter().rfind(|line| line.contains(text)).expect("a line with the text").clone()
    }

    fn send_signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.0.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Requests a report of the counters by SIGUSR1; returns its line with the text.
    fn report(&self, text: &str) -> String {
        let before = self.count(text);
        self.send_signal("-USR1");
        self.wait_for_lines(text, before + 1)
    }

    fn stop(mut self) {
        self.send_signal("-TERM");
        let deadline = Instant::now() + TIMEOUT;
        while self.process.0.try_wait().expect("the state of the process").is_none() {
            assert!(Instant::now() < deadline, "the process does not exit");
            std::thread::sleep(Duration::from_millis(10));
        }
        assert_eq!(self.process.0.wait().expect("the state of the process").code(), Some(0));
    }
}

/// Starts three replicas that are peers; the last follows the change log.
fn start_replicas(change_log: &StubChangeLog) -> Vec<(SocketAddr, LoggedProcess)> {
    let names = ["a", "b", "c"];
    let addresses = names.map(|_| free_address());
    let operator_file = |index: usize| {
        let others = (0..names.len()).filter(|other| *other != index);
        let peers: String = others
            .map(|other| format!("(peer (name \"{}\") (address \"{}\"))\n", names[other], addresses[other]))
            .collect();
        let source = if index == 2 { format!("(source \"{}\")", change_log.address) } else { String::new() };
        format!("(replica (name \"{}\") (listen \"{}\")\n{peers}{source})\n", names[index], addresses[index])
    };
    (0..names.len())
        .map(|index| {
            let name = format!("replica-{}.sexp", names[index]);
            (addresses[index], LoggedProcess::start("replica", &name, &operator_file(index)))
        })
        .collect()
}

fn purge_state(status: &Status, object: &str) -> Option<PurgeState> {
    let target = PurgeTarget::Object(object.to_owned());
    status.purges.iter().find(|purge| purge.target == target).map(|purge| purge.state.clone())
}

/// Polls the status of a replica until it satisfies the condition.
fn wait_for_status(address: SocketAddr, description: &str, is_expected: impl Fn(&Status) -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        // The replica may not listen yet.
        let status = status::fetch(address, TIMEOUT);
        if status.as_ref().is_ok_and(&is_expected) {
            return;
        }
        assert!(Instant::now() < deadline, "{description}: {status:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until a replica reports a purge as in force; returns the states reported before.
fn wait_until_in_force(address: SocketAddr, object: &str) -> Vec<PurgeState> {
    let (deadline, mut earlier_states) = (Instant::now() + TIMEOUT, Vec::new());
    loop {
        let status = status::fetch(address, TIMEOUT).expect("a status");
        match purge_state(&status, object) {
            Some(PurgeState::InForce { .. }) => return earlier_states,
            Some(state) => earlier_states.push(state),
            None => {}
        }
        assert!(Instant::now() < deadline, "the purge does not come into force: {status:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The number of purges that a dispatcher has applied, from its report.
fn applied_purges(dispatcher: &LoggedProcess) -> u64 {
    let line = dispatcher.report("change log: hosts forgotten");
    let start = line.find(" purges ").expect("the count of purges") + " purges ".len();
    line[start..].chars().take_while(char::is_ascii_digit).collect::<String>().parse().expect("a number")
}

#[test]
fn a_dispatcher_falls_back_when_its_replica_is_killed_and_gets_the_next_purge_from_the_other() {
    let change_log = StubChangeLog::start();
    let host = json!({"name": "c1", "address": free_address().to_string(), "zone": "edge", "type": "standard",
        "group": 0, "status": "active", "weight": 4.0, "since_ms": 0});
    change_log.add(json!({"fleet": {"snapshot": true, "endpoints": [host]}}));
    let mut replicas = start_replicas(&change_log);
    let [a, b, c] = [0, 1, 2].map(|index| replicas[index].0);
    for address in [a, b, c] {
        wait_for_status(address, "the replica is established", |status| {
            status.standing == ReplicaStanding::Established
        });
    }
    let settings = format!(
        "(dispatcher (name \"edge-1\") (listen \"{}\")\n (replicas (primary \"{a}\") (fallback \"{b}\")))\n{SITE_FORMS}",
        free_address()
    );
    let dispatcher = LoggedProcess::start("dispatch", "dispatcher.sexp", &settings);
    dispatcher.wait_for_lines("replication: attached", 1);

    wait_for_status(b, "the dispatcher polls its primary replica", |status| {
        status.members.iter().any(|member| member.replica.as_deref() == Some("a"))
    });

    change_log.purge("00000000000000a1");
    wait_until_in_force(b, "00000000000000a1");
    assert_eq!(applied_purges(&dispatcher), 1, "a purge in force has been applied");

    // The primary replica is killed; the next purge must arrive through the fallback.
    replicas.remove(0).1.process.0.kill().expect("the process runs");
    let killed_at = Instant::now();
    change_log.purge("00000000000000a2");
    let earlier_states = wait_until_in_force(b, "00000000000000a2");
    let in_force_after = killed_at.elapsed();
    assert_eq!(applied_purges(&dispatcher), 2, "a purge in force after {in_force_after:?} has been applied");
    let is_waited_for = |state: &PurgeState| {
        matches!(state, PurgeState::Outstanding { dispatchers, replicas, .. }
            if dispatchers.iter().any(|name| name == "edge-1") || replicas.iter().any(|replica| replica.name == "a"))
    };
    assert!(
        earlier_states.iter().any(is_waited_for),
        "no status named the dispatcher or the killed replica: {earlier_states:?}"
    );
    let polls = dispatcher.report("replication: polls");
    assert!(polls.contains(&b.to_string()) && polls.contains("fallbacks: 1"), "{polls}");
    assert!(in_force_after < Duration::from_secs(20), "{in_force_after:?}");

    // The status for operators, and the line in the log.
    let output = program().args(["replica", "status", &b.to_string()]).output().expect("the process runs");
    let printed = String::from_utf8(output.stdout).expect("a text");
    assert!(
        printed.contains("edge-1") && printed.contains("in force") && printed.contains("watermark"),
        "{printed}"
    );
    let line = replicas[0].1.report("replication: replica b");
    for field in ["polls_answered=", "events_sent=", "bytes_out=", "members=1", "lagging=0", "watermark="] {
        assert!(line.contains(field), "{field}: {line}");
    }

    // A dispatcher that stops leaves the members explicitly, well before its lease expires.
    dispatcher.stop();
    let left_at = Instant::now();
    wait_for_status(c, "the dispatcher has left", |status| {
        status.members.iter().all(|member| member.replica.is_none())
    });
    assert!(
        left_at.elapsed() < Duration::from_secs(8),
        "the dispatcher left only when its lease expired: {:?}",
        left_at.elapsed()
    );
    for (_, replica) in replicas {
        replica.stop();
    }
}

/// Starts a stub cache that returns each GET with a copy made now; the receiver gets the forwards that it reads.
fn start_stub_cache() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || answer_forwards(stream, &sender));
        }
    });
    (address, receiver)
}

fn answer_forwards(mut stream: TcpStream, sender: &Sender<String>) {
    let mut bytes = [0; 1024];
    while let Ok(read @ 1..) = stream.read(&mut bytes) {
        let forward = String::from_utf8_lossy(&bytes[..read]).into_owned();
        let id = forward.lines().nth(4).expect("the id behind its length").to_owned();
        let fields = format!("why=TCP_HIT,rev=4be0c1927d55a6f3,since={}", unix_ms());
        let length = fields.len();
        let answer =
            format!("*4\r\n$16\r\n{id}\r\n$3\r\n200\r\n${length}\r\n{fields}\r\n$9\r\nthe bytes\r\n");
        let is_answered = sender.send(forward).is_ok() && stream.write_all(answer.as_bytes()).is_ok();
        if !is_answered {
            return;
        }
    }
}

/// Sends a GET to the dispatcher and checks that it is returned.
fn send_get(dispatcher: SocketAddr, id: &str) {
    let mut client = TcpStream::connect(dispatcher).expect("the dispatcher listens");
    client.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let parameters = [
        ("SCRIPT_NAME", "/rpc/video"),
        ("HTTP_REQUEST_ID", id),
        ("HTTP_BUDGET_MS", "3000"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
    ];
    client.write_all(&request(&parameters)).expect("the request is written");
    let mut bytes = [0; 1024];
    let read = client.read(&mut bytes).expect("an answer");
    let response = String::from_utf8_lossy(&bytes[..read]);
    assert!(response.contains("Status: 200 OK"), "{response}");
}

#[test]
fn a_dispatcher_without_an_answering_replica_limits_the_age_of_copies_until_one_answers() {
    let change_log = StubChangeLog::start();
    let (cache, forwards) = start_stub_cache();
    let entry = |name: &str, zone: &str, kind: &str| {
        json!({"name": name, "address": cache.to_string(), "zone": zone, "type": kind, "group": 0,
            "status": "active", "weight": 4.0, "since_ms": 0})
    };
    let entries =
        [entry("c1", "edge", "standard"), entry("p1", "hub", "parent"), entry("o1", "hub", "origin")];
    change_log.add(json!({"fleet": {"snapshot": true, "endpoints": entries}}));
    let [replica_address, unused_address, listen] = [(); 3].map(|()| free_address());
    let replica = format!(
        "(replica (name \"a\") (listen \"{replica_address}\") (source \"{}\"))\n",
        change_log.address
    );
    let replica_process = LoggedProcess::start("replica", "lone-replica.sexp", &replica);
    let settings = format!(
        "(dispatcher (name \"edge-1\") (listen \"{listen}\")\n \
         (replicas (primary \"{replica_address}\") (fallback \"{unused_address}\")))\n{SITE_FORMS}"
    );
    let dispatcher = LoggedProcess::start("dispatch", "fallback.sexp", &settings);
    let accepts_copies_of_any_age = |id: &str| {
        send_get(listen, id);
        let forward = forwards.recv_timeout(TIMEOUT).expect("the GET is forwarded");
        assert!(forward.contains(id), "{forward}");
        !forward.contains(",cap=")
    };
    dispatcher.wait_for_lines("replication: attached", 1);
    assert!(accepts_copies_of_any_age("00000000000000a1"), "nothing was purged, and all purges are known");

    drop(replica_process);
    let killed_at = Instant::now();
    dispatcher.wait_for_lines("no replica has answered in time", 1);
    let limited_after = killed_at.elapsed();
    assert!(limited_after < Duration::from_secs(10), "{limited_after:?}");
    assert!(!accepts_copies_of_any_age("00000000000000a2"), "a purge may have been missed");

    let _restarted_replica = LoggedProcess::start("replica", "lone-replica-again.sexp", &replica);
    dispatcher.wait_for_lines("replication: attached", 2);
    assert!(accepts_copies_of_any_age("00000000000000a3"), "all purges are known again");
}

#[test]
fn the_replica_subcommand_rejects_invalid_files_and_missing_arguments() {
    let invalid_file = TempFile::new(
        "bad-replica.sexp",
        "(replica (name \"a\") (listen \"127.0.0.1:0\") (peer (name \"a\")))",
    );
    let output = program().args(["replica", invalid_file.path()]).output().expect("the process runs");
    let errors = String::from_utf8(output.stderr).expect("a text");
    assert_eq!((output.status.code(), errors.lines().count()), (Some(2), 2), "{errors}");
    assert!(errors.contains(":1:") && errors.contains("peer is this replica itself"), "{errors}");
    let unused_address = free_address().to_string();
    assert_eq!(
        program()
            .args(["replica", "status", &unused_address])
            .output()
            .expect("the process runs")
            .status
            .code(),
        Some(1)
    );
    assert_eq!(program().arg("replica").output().expect("the process runs").status.code(), Some(2));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/replica.sexp");
    assert_eq!(program().args(["check", example]).output().expect("the process runs").status.code(), Some(0));
}
