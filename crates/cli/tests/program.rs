//! The command line of the program: subcommands, exit codes, signals and the process that the platform starts.

mod common;

use common::{KillOnDrop, TempFile, program};
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
fn every_error_of_a_file_is_reported_and_sets_the_exit_code() {
    let good = TempFile::new("good.sexp", EXAMPLE);
    let output = run(&["check", good.path()]);
    assert_eq!(
        (output.status.code(), text(&output.stdout).trim()),
        (Some(0), "3 delivery services, 6 hosts, no fault")
    );
    let broken = EXAMPLE.replace("drain-grace 250ms", "drain-grace 250").replace("kind origin", "kind orgin");
    let bad = TempFile::new("bad.sexp", &broken);
    for arguments in [["check", bad.path()], ["control", bad.path()]] {
        let output = run(&arguments);
        let errors = text(&output.stderr);
        assert_eq!((output.status.code(), errors.lines().count()), (Some(2), 2), "{errors}");
        assert!(errors.starts_with(&format!("{}:10:16: drain-grace expects", bad.path())), "{errors}");
    }
    assert_eq!(run(&["check", "/nowhere/at-all"]).status.code(), Some(2));
    assert_eq!(run(&["check"]).status.code(), Some(2));
    assert_eq!(run(&["no-such-thing"]).status.code(), Some(2));
    assert_eq!(run(&["status", "127.0.0.1:1"]).status.code(), Some(1));
}

#[test]
fn help_and_completions_name_every_subcommand() {
    for output in [run(&["help"]), run(&["completions", "bash"])] {
        let output = text(&output.stdout);
        for name in ["control", "status", "check", "completions"] {
            assert!(output.contains(name), "{name}: {output}");
        }
    }
    assert!(text(&run(&["check", "--explain"]).stdout).contains("purge-grace"));
}

/// The names of flags and of their values in help texts are set explicitly, so that renamed fields do not change them.
#[test]
fn the_time_limit_of_status_requests_is_the_flag_patience_ms() {
    for subcommand in [&["status"][..], &["zone", "status"], &["zone", "leave"], &["replica", "status"]] {
        let help = text(&run(&[subcommand, &["--help"]].concat()).stdout);
        assert!(help.contains("--patience-ms <PATIENCE_MS>"), "{subcommand:?}: {help}");
    }
    assert_eq!(run(&["status", "127.0.0.1:1", "--patience-ms", "50"]).status.code(), Some(1));
}

#[test]
fn a_control_service_reports_its_status_reloads_its_hosts_and_stops() {
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let address = format!("127.0.0.1:{port}");
    let settings = EXAMPLE.replace("127.0.0.1:18000", &address);
    let file = TempFile::new("service.sexp", &settings);
    let mut child = program();
    child.args(["control", file.path(), "--log-form", "json"]).stderr(Stdio::piped()).env_remove("RUST_LOG");
    let mut service = KillOnDrop(child.spawn().unwrap());
    let mut lines = BufReader::new(service.0.stderr.take().unwrap()).lines();
    // Each line is one JSON object.
    let mut wait_for_line = |wanted: &str| -> serde_json::Value {
        loop {
            let line = lines.next().expect("the service logs another line").unwrap();
            let record: serde_json::Value =
                serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line}: {e}"));
            if record["message"].as_str().is_some_and(|message| message.contains(wanted)) {
                return record;
            }
        }
    };
    let started = wait_for_line("serves routing decisions");
    assert_eq!((started["level"].as_str(), started["address"].as_str()), (Some("INFO"), Some(&*address)));
    let status = run(&["status", &address]);
    assert_eq!(status.status.code(), Some(0), "{}", text(&status.stderr));
    assert!(text(&status.stdout).starts_with("proxy"));
    let signal = |name: &str, id: u32| {
        Command::new("kill").args([name, &id.to_string()]).status().unwrap();
    };
    // A file with one host fewer is loaded; a malformed file is rejected, and the hosts stay.
    let fewer_hosts: String =
        settings.lines().filter(|line| !line.contains("cache-2")).map(|line| format!("{line}\n")).collect();
    std::fs::write(&file.0, fewer_hosts).unwrap();
    signal("-HUP", service.0.id());
    assert_eq!(wait_for_line("operator file reloaded")["hosts"], 5);
    std::fs::write(&file.0, "(control").unwrap();
    signal("-HUP", service.0.id());
    assert_eq!(wait_for_line("operator file not reloaded")["level"], "ERROR");
    signal("-USR1", service.0.id());
    // The keys of the counters are read by operators' tools.
    assert_eq!(wait_for_line("streams")["turned_away"], 0);
    assert_eq!(wait_for_line("messages")["beats"], 0);
    let change_log = wait_for_line("change log");
    assert_eq!((&change_log["hosts"], &change_log["polls_lost"]), (&5.into(), &0.into()));
    assert_eq!(change_log["logs_anew"], 0);
    assert_eq!(wait_for_line("reports")["disbelieved"], 0);
    assert!(wait_for_line("loop")["turn_longest_us"].is_u64());
    signal("-TERM", service.0.id());
    let deadline = Instant::now() + Duration::from_secs(5);
    while service.0.try_wait().unwrap().is_none() {
        assert!(Instant::now() < deadline, "the service does not stop");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(service.0.wait().unwrap().code(), Some(0));
}

/// The inodes and states of the sockets in a table of `/proc/PID/net`.
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

/// Holds the platform's requirements on `run` in `deploy/balancer.toml`: without arguments the program is one
/// dynamically linked process without children. It has only IPv4 TCP sockets, one of them listening, and opens no
/// persistent file. The control service, its gRPC listeners and everything durable are off.
#[test]
fn without_arguments_the_program_opens_only_tcp_sockets_and_no_files() {
    let changelog = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = common::config(
        listen,
        changelog.local_addr().unwrap(),
        1024,
        &serde_json::json!({"seq": 0, "results": []}),
    );
    let file = TempFile::new("router.json", &config.to_string());
    let mut child = program();
    child.env("ROUTER_CONFIG", file.path()).stdout(Stdio::null()).stderr(Stdio::null());
    let dispatcher = KillOnDrop(child.spawn().unwrap());
    let id = dispatcher.0.id();
    // Wait until the dispatcher listens and has connected to the change log.
    let deadline = Instant::now() + Duration::from_secs(10);
    while std::net::TcpStream::connect(listen).is_err() {
        assert!(Instant::now() < deadline, "the dispatcher does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    let (_change_log_connection, _) = changelog.accept().unwrap();
    std::thread::sleep(Duration::from_millis(200));

    let maps = std::fs::read_to_string(format!("/proc/{id}/maps")).unwrap();
    assert!(maps.contains("libc.so"), "linked dynamically against the C library");
    let children: String = std::fs::read_dir(format!("/proc/{id}/task"))
        .unwrap()
        .map(|task| std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default())
        .collect();
    assert_eq!(children.trim(), "", "no child process");

    // Connections may open or close between two reads: the check is repeated until all open sockets are in the tables.
    let states =
        (0..100).find_map(|_| open_socket_states(id)).expect("a socket that is not TCP over IPv4 stays open");
    // 0A is the state of a listening socket in the table of the kernel; only the configured one may listen.
    assert_eq!(states.iter().filter(|state| *state == "0A").count(), 1, "{states:?}");
    assert!(states.len() >= 2, "the listener and the change log: {states:?}");
}

/// Returns the states of the open sockets, all of them TCP over IPv4; none if one is in no table, as when it was opened
/// between two reads.
fn open_socket_states(id: u32) -> Option<Vec<String>> {
    let entries = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().filter_map(Result::ok);
    let targets: Vec<String> = entries
        .filter_map(|entry| std::fs::read_link(entry.path()).ok())
        .map(|target| target.display().to_string())
        .collect();
    let (tcp, tcp6, udp6, unix) =
        (sockets_in(id, "tcp"), sockets_in(id, "tcp6"), sockets_in(id, "udp6"), sockets_in(id, "unix"));
    let mut states = Vec::new();
    for target in targets {
        if let Some(inode) = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) {
            let inode: u64 = inode.parse().unwrap();
            let found = |table: &[(u64, String)]| {
                table.iter().find(|(listed, _)| *listed == inode).map(|(_, state)| state.clone())
            };
            let others = (found(&tcp6), found(&udp6), found(&unix));
            assert_eq!(others, (None, None, None), "IPv4 alone: {target}");
            let Some(state) = found(&tcp) else {
                std::thread::sleep(std::time::Duration::from_millis(10));
                return None;
            };
            states.push(state);
        } else {
            let allowed = ["anon_inode:", "pipe:", "/dev/null", "/dev/pts/"];
            assert!(allowed.iter().any(|start| target.starts_with(start)), "a file is open: {target}");
        }
    }
    Some(states)
}
