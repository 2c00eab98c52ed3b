//! The program as an operator or a script meets it.

mod common;

use common::{Ends, File, program};
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../deploy/control.sexp");

fn run(arguments: &[&str]) -> Output {
    program().args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_file_is_checked_whole_and_the_exit_code_tells() {
    let good = File::new("good.sexp", EXAMPLE);
    let told = run(&["check", good.path()]);
    assert_eq!(
        (told.status.code(), text(&told.stdout).trim()),
        (Some(0), "3 delivery services, 6 hosts, no fault")
    );
    let broken = EXAMPLE.replace("drain-grace 250ms", "drain-grace 250").replace("kind origin", "kind orgin");
    let bad = File::new("bad.sexp", &broken);
    for arguments in [["check", bad.path()], ["control", bad.path()]] {
        let told = run(&arguments);
        let faults = text(&told.stderr);
        assert_eq!((told.status.code(), faults.lines().count()), (Some(2), 2), "{faults}");
        assert!(faults.starts_with(&format!("{}:10:16: drain-grace takes", bad.path())), "{faults}");
    }
    assert_eq!(run(&["check", "/nowhere/at-all"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["no-such-thing"]).status.code(), Some(2));
    assert_eq!(run(&["status", "127.0.0.1:1"]).status.code(), Some(1));
}

#[test]
fn help_and_completions_name_every_subcommand() {
    for told in [run(&["help"]), run(&["completions", "bash"])] {
        let told = text(&told.stdout);
        for name in ["control", "status", "check", "completions"] {
            assert!(told.contains(name), "{name}: {told}");
        }
    }
    assert!(text(&run(&["check", "--explain"]).stdout).contains("purge-grace"));
}

#[test]
fn a_service_runs_is_asked_reads_its_hosts_again_and_ends() {
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let address = format!("127.0.0.1:{port}");
    let told = EXAMPLE.replace("127.0.0.1:18000", &address);
    let file = File::new("service.sexp", &told);
    let mut child = program();
    child.args(["control", file.path(), "--log-form", "json"]).stderr(Stdio::piped()).env_remove("RUST_LOG");
    let mut service = Ends(child.spawn().unwrap());
    let mut lines = BufReader::new(service.0.stderr.take().unwrap()).lines();
    // Each line is one JSON object.
    let mut until = |wanted: &str| -> serde_json::Value {
        loop {
            let line = lines.next().expect("it logs on").unwrap();
            let read: serde_json::Value =
                serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
            if read["message"].as_str().is_some_and(|message| message.contains(wanted)) {
                return read;
            }
        }
    };
    let began = until("serves routing decisions");
    assert_eq!((began["level"].as_str(), began["address"].as_str()), (Some("INFO"), Some(&*address)));
    let asked = run(&["status", &address]);
    assert_eq!(asked.status.code(), Some(0), "{}", text(&asked.stderr));
    assert!(text(&asked.stdout).starts_with("proxy"));
    let signal = |name: &str, id: u32| {
        Command::new("kill").args([name, &id.to_string()]).status().unwrap();
    };
    // One host fewer; then a file that is no use, which changes nothing.
    let fewer: String =
        told.lines().filter(|line| !line.contains("cache-2")).map(|line| format!("{line}\n")).collect();
    std::fs::write(&file.0, fewer).unwrap();
    signal("-HUP", service.0.id());
    assert_eq!(until("operator file reloaded")["hosts"], 5);
    std::fs::write(&file.0, "(control").unwrap();
    signal("-HUP", service.0.id());
    assert_eq!(until("operator file not reloaded")["level"], "ERROR");
    signal("-USR1", service.0.id());
    // The keys of the counters are read by operators' tools.
    assert_eq!(until("streams")["turned_away"], 0);
    assert_eq!(until("messages")["beats"], 0);
    let change_log = until("change log");
    assert_eq!((&change_log["hosts"], &change_log["polls_lost"]), (&5.into(), &0.into()));
    assert_eq!(change_log["logs_anew"], 0);
    assert_eq!(until("reports")["disbelieved"], 0);
    assert!(until("loop")["turn_longest_us"].is_u64());
    signal("-TERM", service.0.id());
    let end = Instant::now() + Duration::from_secs(5);
    while service.0.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "it does not end");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(service.0.wait().unwrap().code(), Some(0));
}

/// The inodes of the sockets that a table of `/proc/PID/net` lists, with their state.
fn sockets_in(id: u32, table: &str) -> Vec<(u64, String)> {
    let text = std::fs::read_to_string(format!("/proc/{id}/net/{table}")).unwrap_or_default();
    let inode = if table == "unix" { 6 } else { 9 };
    let state = if table == "unix" { 5 } else { 3 };
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        Some((fields.get(inode)?.parse().ok()?, (*fields.get(state)?).to_owned()))
    };
    text.lines().skip(1).filter_map(row).collect()
}

/// The platform's terms for `run` in `deploy/balancer.toml`: without arguments the program is one dynamically linked
/// process with no child, whose sockets are IPv4 TCP alone, one of them listening, and which opens no lasting file.
/// The control service, its gRPC listeners and anything durable stay off.
#[test]
fn the_program_as_the_platform_starts_it_opens_nothing_else() {
    let changelog = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let told = common::config(
        listen,
        changelog.local_addr().unwrap(),
        1024,
        &serde_json::json!({"seq": 0, "results": []}),
    );
    let file = File::new("router.json", &told.to_string());
    let mut child = program();
    child.env("ROUTER_CONFIG", file.path()).stdout(Stdio::null()).stderr(Stdio::null());
    let dispatcher = Ends(child.spawn().unwrap());
    let id = dispatcher.0.id();
    // Up: its listener answers, and it has come to the change log.
    let end = Instant::now() + Duration::from_secs(10);
    while std::net::TcpStream::connect(listen).is_err() {
        assert!(Instant::now() < end, "the dispatcher does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    let (_feed, _) = changelog.accept().unwrap();
    std::thread::sleep(Duration::from_millis(200));

    let maps = std::fs::read_to_string(format!("/proc/{id}/maps")).unwrap();
    assert!(maps.contains("libc.so"), "linked dynamically against the C library");
    let children: String = std::fs::read_dir(format!("/proc/{id}/task"))
        .unwrap()
        .map(|task| std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default())
        .collect();
    assert_eq!(children.trim(), "", "no child process");

    // A connection may come or go between two looks: what is held is looked at until all of it is in the tables.
    let held =
        (0..100).find_map(|_| held_sockets(id)).expect("a socket that is not TCP over IPv4 stays open");
    // 0A is a listening socket in the kernel's table: the one the platform named, and no other.
    assert_eq!(held.iter().filter(|state| *state == "0A").count(), 1, "{held:?}");
    assert!(held.len() >= 2, "the listener and the change log: {held:?}");
}

/// The states of the sockets held, all of them TCP over IPv4; none if one is in no table, as between two looks.
fn held_sockets(id: u32) -> Option<Vec<String>> {
    let entries = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().filter_map(Result::ok);
    let targets: Vec<String> = entries
        .filter_map(|entry| std::fs::read_link(entry.path()).ok())
        .map(|target| target.display().to_string())
        .collect();
    let (tcp, tcp6, udp6, unix) =
        (sockets_in(id, "tcp"), sockets_in(id, "tcp6"), sockets_in(id, "udp6"), sockets_in(id, "unix"));
    let mut held = Vec::new();
    for target in targets {
        if let Some(inode) = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
            let inode: u64 = inode.parse().unwrap();
            let found =
                |table: &[(u64, String)]| table.iter().find(|(i, _)| *i == inode).map(|(_, s)| s.clone());
            let others = (found(&tcp6), found(&udp6), found(&unix));
            assert_eq!(others, (None, None, None), "IPv4 alone: {target}");
            let Some(state) = found(&tcp) else {
                std::thread::sleep(std::time::Duration::from_millis(10));
                return None;
            };
            held.push(state);
        } else {
            let allowed = ["anon_inode:", "pipe:", "/dev/null", "/dev/pts/"];
            assert!(allowed.iter().any(|start| target.starts_with(start)), "a file is held open: {target}");
        }
    }
    Some(held)
}
