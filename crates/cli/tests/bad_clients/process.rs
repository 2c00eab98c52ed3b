//! The program as a process with limits of its own, and what the system says of it.

use super::change_log::ChangeLog;
use super::common::{
    KillOnDrop, TempFile, config, host_line, host_lines, list_event, send_signal, wait_until_listening,
};
use serde_json::{Value, json};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time in which the program listens, also on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Deadline of all classes, which counts for the time of the kill.
const DEADLINE: Duration = Duration::from_millis(1500);
/// The kill comes this much later than the longest deadline after the signal to end, by the protocol page.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Limits that a process is told.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// The least memory that the deployment pages name, with the most descriptors.
pub const NARROW: Limits = Limits { memory_mb: 32, descriptors: 1024 };

/// A running dispatcher.
pub struct Dispatcher {
    pub address: SocketAddr,
    child: KillOnDrop,
    config: TempFile,
    log: TempFile,
    limits: Limits,
}

/// A list of this many hosts, all of them at one address.
pub fn long_list(address: SocketAddr, count: usize) -> Vec<Value> {
    let mut lines = host_lines(address, address);
    let more = lines.len()..count;
    lines.extend(more.map(|n| host_line(&format!("c{n}"), "standard", "edge", address, "active")));
    lines
}

impl Dispatcher {
    /// Starts a dispatcher that knows these hosts, and waits until it listens.
    pub fn start(limits: Limits, hosts: &[Value], change_log: &ChangeLog) -> Self {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let known = list_event(hosts);
        let mut settings = config(address, change_log.address, limits.descriptors, &known);
        settings["limits"]["memory_mb"] = json!(limits.memory_mb);
        add_tokened_class(&mut settings["settings"]);
        for class in settings["settings"]["classes"].as_array_mut().unwrap() {
            class["deadline_ms"] = json!(DEADLINE.as_millis() as u64);
        }
        let file = TempFile::new(&format!("bad-clients-{}.json", address.port()), &settings.to_string());
        let log = TempFile::new(&format!("bad-clients-{}.log", address.port()), "");
        let child = KillOnDrop(spawn(limits, &file, &log));
        let dispatcher = Self { address, child, config: file, log, limits };
        wait_until_listening(address, START_TIMEOUT);
        dispatcher
    }

    /// Kills the process and starts it again under the same address.
    pub fn restart(&mut self) {
        let _ = self.child.0.kill();
        let _ = self.child.0.wait();
        self.child = KillOnDrop(spawn(self.limits, &self.config, &self.log));
        wait_until_listening(self.address, START_TIMEOUT);
    }

    /// Asks the process to end, and kills it at the earliest time that the protocol page allows.
    pub fn end_in_steps(&mut self) {
        self.signal("-TERM");
        let kill_at = Instant::now() + DEADLINE + KILL_MARGIN;
        while matches!(self.child.0.try_wait(), Ok(None)) && Instant::now() < kill_at {
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.child.0.kill();
    }

    /// The highest resident memory so far as a fraction of the limit; more than 1 if the process has ended.
    pub fn peak_memory(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.0.id()));
        let peak_kb = status
            .unwrap_or_default()
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse::<f64>().ok());
        peak_kb.map_or(f64::INFINITY, |peak_kb| peak_kb / 1024.0 / self.limits.memory_mb as f64)
    }

    /// Has the counters reported, and returns the line of the report that begins like this.
    pub fn reported_line(&self, beginning: &str) -> String {
        self.signal("-USR1");
        let start = Instant::now();
        loop {
            let log = std::fs::read_to_string(self.log.path()).unwrap();
            if let Some(line) = log.lines().find(|line| line.trim_start().starts_with(beginning)) {
                return line.to_owned();
            }
            assert!(start.elapsed() < START_TIMEOUT, "no line {beginning:?} in the report: {log}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, name: &str) {
        send_signal(&self.child.0, name);
    }
}

/// Adds a class whose repeats hosts of a zone drop by their token.
fn add_tokened_class(settings: &mut Value) {
    let mut class = settings["classes"][1].clone();
    (class["name"], class["effect"]) = (json!("order"), json!("deduplicated"));
    settings["classes"].as_array_mut().unwrap().push(class);
    for (list, value) in
        [("lifetime_by_class_ms", json!(0.0)), ("grace_for_ms", json!(0.0)), ("pass_on", json!(true))]
    {
        settings["domain"][list].as_array_mut().unwrap().push(value);
    }
}

fn spawn(limits: Limits, config: &TempFile, log: &TempFile) -> Child {
    let program = format!("ulimit -n {}; exec {}", limits.descriptors, env!("CARGO_BIN_EXE_myrtlegauge"));
    let mut command = Command::new("sh");
    command.args(["-c", &program]).env("ROUTER_CONFIG", config.path());
    let log = File::options().append(true).open(log.path()).unwrap();
    command.env("RUST_LOG", "info").stdout(Stdio::null()).stderr(log).spawn().unwrap()
}
