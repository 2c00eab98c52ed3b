//! The program as an operator or a script meets it.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../deploy/control.sexp");

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_myrtlegauge"))
}

fn run(arguments: &[&str]) -> Output {
    program().args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file of its own for a test, taken away at its end.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("myrtlegauge-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
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

/// Ends what a test has started.
struct Ends(Child);

impl Drop for Ends {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
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
    let began = until("gives decisions");
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
    assert_eq!(until("read anew")["hosts"], 5);
    std::fs::write(&file.0, "(control").unwrap();
    signal("-HUP", service.0.id());
    assert_eq!(until("not read anew")["level"], "ERROR");
    signal("-USR1", service.0.id());
    assert_eq!(until("change log")["hosts"], 5);
    signal("-TERM", service.0.id());
    let end = Instant::now() + Duration::from_secs(5);
    while service.0.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "it does not end");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(service.0.wait().unwrap().code(), Some(0));
}
