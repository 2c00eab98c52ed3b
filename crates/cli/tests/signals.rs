//! Signals to the program at moments that can only be produced with a process: before it has read its configuration,
//! while it is stopped, and while it is idle.

mod common;

use common::{
    KillOnDrop, TempFile, config, initial_events, program, read_response, request, send_signal,
    unused_address,
};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MAX_DESCRIPTORS: usize = 256;
/// The time limit of each step, far above what it takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The number of clients that connect while the process is stopped.
const CLIENT_COUNT: u16 = 20;

fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn start_dispatcher(file: &Path) -> KillOnDrop {
    let mut child = program();
    child.env("ROUTER_CONFIG", file).stdout(Stdio::null()).stderr(Stdio::null());
    KillOnDrop(child.spawn().unwrap())
}

/// Sends a GET on a new connection.
fn send_get(to: SocketAddr, number: u16) -> TcpStream {
    let id = format!("{number:016x}");
    let params = [
        ("SCRIPT_NAME", "/rpc/video"),
        ("HTTP_REQUEST_ID", &*id),
        ("HTTP_BUDGET_MS", "3000"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
    ];
    let mut stream = TcpStream::connect(to).unwrap();
    stream.write_all(&request(&params)).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Requests health until the response is 200 OK; returns how long that took.
fn wait_until_healthy(to: SocketAddr) -> Duration {
    let start = Instant::now();
    let request_health = || {
        let mut stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        stream.write_all(&request(&[("SCRIPT_NAME", "/health")])).ok()?;
        read_response(&mut stream)
    };
    while !request_health().is_some_and(|answer| answer.contains("200 OK")) {
        assert!(start.elapsed() < TIMEOUT, "the dispatcher does not become healthy");
        sleep(millis(5));
    }
    start.elapsed()
}

/// Starts a host in its own thread that answers each request at once.
fn start_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_requests(stream));
        }
    });
    address
}

fn answer_requests(mut stream: TcpStream) {
    const ID_PREFIX: &str = "serve\r\n$16\r\n";
    const FIELDS: &str = "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123";
    let (mut text, mut buffer, mut position) = (String::new(), [0; 4096], 0);
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        while let Some(found) = text[position..].find(ID_PREFIX)
            && let Some(id) = text[position + found + ID_PREFIX.len()..].get(..16)
        {
            let length = FIELDS.len();
            let answer =
                format!("*4\r\n$16\r\n{id}\r\n$3\r\n200\r\n${length}\r\n{FIELDS}\r\n$9\r\nthe bytes\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            position += found + ID_PREFIX.len();
        }
    }
}

/// Waits for a process to exit; returns its exit code and how long it took.
fn wait_for_exit(dispatcher: &mut KillOnDrop) -> (Option<i32>, Duration) {
    let start = Instant::now();
    loop {
        if let Some(status) = dispatcher.0.try_wait().unwrap() {
            assert_eq!(status.signal(), None, "the process must not be killed by a signal");
            return (status.code(), start.elapsed());
        }
        assert!(start.elapsed() < TIMEOUT, "the process does not exit");
        sleep(millis(5));
    }
}

/// Waits for the first poll of a dispatcher at this change log; returns the start of the request.
fn receive_poll(changelog: &TcpListener) -> String {
    changelog.set_nonblocking(true).unwrap();
    let start = Instant::now();
    loop {
        if let Ok((mut poll, _)) = changelog.accept() {
            poll.set_nonblocking(false).unwrap();
            poll.set_read_timeout(Some(TIMEOUT)).unwrap();
            let mut bytes = [0; 256];
            let length = poll.read(&mut bytes).unwrap();
            return String::from_utf8_lossy(&bytes[..length]).into_owned();
        }
        assert!(start.elapsed() < TIMEOUT, "no poll arrived");
        sleep(millis(5));
    }
}

/// Guards against signals that arrive while the configuration is read and kill the process or get lost. The
/// configuration is a pipe, so that the signal arrives during the read. After SIGHUP the process starts and then loads
/// the new configuration; after SIGTERM it exits without a failure.
#[test]
fn signals_that_arrive_before_the_configuration_is_read_are_handled() {
    for name in ["-HUP", "-TERM"] {
        let new_changelog = TcpListener::bind("127.0.0.1:0").unwrap();
        let config_text = |changelog| {
            config(unused_address(), changelog, MAX_DESCRIPTORS, &initial_events(unused_address()))
                .to_string()
        };
        let (first, later) =
            (config_text(unused_address()), config_text(new_changelog.local_addr().unwrap()));
        let directory = tempfile::tempdir().unwrap();
        let [pipe, replacement] = ["router.json", "later.json"].map(|name| directory.path().join(name));
        assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
        let mut dispatcher = start_dispatcher(&pipe);
        // Opens once the process has opened the pipe for reading.
        let mut writer = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
        send_signal(&dispatcher.0, name);
        std::fs::write(&replacement, later).unwrap();
        std::fs::rename(&replacement, &pipe).unwrap();
        // The write fails if the process was killed.
        let _ = writer.write_all(first.as_bytes());
        drop(writer);
        if name == "-HUP" {
            assert!(receive_poll(&new_changelog).starts_with("GET /changes?since=1&"));
            assert_eq!(dispatcher.0.try_wait().unwrap(), None);
            send_signal(&dispatcher.0, "-TERM");
        }
        assert_eq!(wait_for_exit(&mut dispatcher).0, Some(0), "{name}");
    }
}

/// Guards against a slow restart at the same address. The process is killed while connections wait that the system has
/// accepted and the process has not read. Their clients must see a reset, and the next process must be ready at
/// once from its initial events.
#[test]
fn after_a_kill_with_unread_connections_the_next_process_is_ready_at_once() {
    let (listen, changelog) = (unused_address(), unused_address());
    let file = TempFile::new(
        "killed.json",
        &config(listen, changelog, MAX_DESCRIPTORS, &initial_events(start_host())).to_string(),
    );
    for _ in 0..3 {
        let mut dispatcher = start_dispatcher(&file.0);
        wait_until_healthy(listen);
        let mut open = send_get(listen, 1000);
        assert!(read_response(&mut open).unwrap().contains("the bytes"));
        send_signal(&dispatcher.0, "-STOP");
        let mut clients: Vec<TcpStream> = (1..=CLIENT_COUNT).map(|number| send_get(listen, number)).collect();
        dispatcher.0.kill().unwrap();
        dispatcher.0.wait().unwrap();
        for client in &mut clients {
            assert_eq!(read_response(client).as_deref(), Some(""), "the connection ends without a response");
        }
        let next_process = start_dispatcher(&file.0);
        let ready_after = wait_until_healthy(listen);
        assert!(ready_after < millis(1000), "{ready_after:?}");
        assert!(read_response(&mut send_get(listen, 1)).unwrap().contains("the bytes"));
        drop(next_process);
    }
}

/// Guards against requests that are lost on SIGTERM or SIGHUP. Requests wait in the accept queue and on open
/// connections of a stopped process when SIGTERM, SIGHUP or both arrive; all of them must be answered.
#[test]
fn requests_that_wait_unread_when_signals_arrive_are_answered() {
    for signals in [&["-HUP"][..], &["-TERM"], &["-HUP", "-TERM"], &["-TERM", "-HUP"]] {
        let (listen, changelog) = (unused_address(), TcpListener::bind("127.0.0.1:0").unwrap());
        let config =
            config(listen, changelog.local_addr().unwrap(), MAX_DESCRIPTORS, &initial_events(start_host()));
        let file = TempFile::new("waits.json", &config.to_string());
        let mut dispatcher = start_dispatcher(&file.0);
        wait_until_healthy(listen);
        let mut open = TcpStream::connect(listen).unwrap();
        send_signal(&dispatcher.0, "-STOP");
        // Half of a request arrives now, the other half once the process runs again.
        let request_bytes = request(&[
            ("SCRIPT_NAME", "/rpc/video"),
            ("HTTP_REQUEST_ID", "00000000000003e8"),
            ("HTTP_BUDGET_MS", "3000"),
            ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
        ]);
        open.set_read_timeout(Some(TIMEOUT)).unwrap();
        open.write_all(&request_bytes[..request_bytes.len() / 2]).unwrap();
        let mut clients: Vec<TcpStream> = (1..=CLIENT_COUNT).map(|number| send_get(listen, number)).collect();
        signals.iter().for_each(|name| send_signal(&dispatcher.0, name));
        sleep(millis(100));
        send_signal(&dispatcher.0, "-CONT");
        sleep(millis(100));
        open.write_all(&request_bytes[request_bytes.len() / 2..]).unwrap();
        clients.push(open);
        let mut returned_count = 0;
        for client in &mut clients {
            let response = read_response(client).unwrap_or_default();
            let is_complete = response.contains("Status: ") && response.as_bytes().contains(&3);
            assert!(is_complete, "{signals:?}: {response:?}");
            returned_count += usize::from(response.contains("the bytes"));
        }
        assert!(returned_count > 0, "a cold cache accepts some of them");
        drop(clients);
        if signals.contains(&"-TERM") {
            assert_eq!(wait_for_exit(&mut dispatcher).0, Some(0), "{signals:?}");
        } else {
            assert_eq!(dispatcher.0.try_wait().unwrap(), None, "{signals:?}");
        }
    }
}

/// Guards against an idle process that exits late or with a failure on SIGTERM. It has to exit promptly whether or not
/// the change log is up and whether or not it knows hosts.
#[test]
fn an_idle_process_exits_without_a_failure() {
    let no_events = json!({"seq": 0, "results": []});
    for is_up in [true, false] {
        for knows_hosts in [true, false] {
            let (listen, changelog) = (unused_address(), TcpListener::bind("127.0.0.1:0").unwrap());
            let changelog_address = changelog.local_addr().unwrap();
            let changelog = Some(changelog).filter(|_| is_up);
            let events = if knows_hosts { initial_events(unused_address()) } else { no_events.clone() };
            let file = TempFile::new(
                "idle.json",
                &config(listen, changelog_address, MAX_DESCRIPTORS, &events).to_string(),
            );
            let mut child = program();
            child.env("ROUTER_CONFIG", &file.0).env("RUST_LOG", "info");
            let mut dispatcher =
                KillOnDrop(child.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap());
            let mut lines = BufReader::new(dispatcher.0.stderr.take().unwrap()).lines();
            assert!(lines.any(|line| line.unwrap().contains("listens on")));
            // Its log has to be read, or the process blocks on a full pipe.
            std::thread::spawn(move || lines.for_each(drop));
            if let Some(changelog) = &changelog {
                receive_poll(changelog);
            }
            sleep(millis(1200));
            send_signal(&dispatcher.0, "-TERM");
            let (code, exit_time) = wait_for_exit(&mut dispatcher);
            assert_eq!(code, Some(0), "up {is_up}, hosts {knows_hosts}");
            assert!(exit_time < millis(1200), "up {is_up}, hosts {knows_hosts}: {exit_time:?}");
        }
    }
}
