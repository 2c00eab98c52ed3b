//! A fleet of the largest size, of which six in ten cache hosts are replaced within 7 s. Each change of the list is an
//! event of its own. Every request that a client sends has to get an answer.
#[path = "stand.rs"]
mod stand;

use stand::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Cache hosts of the fleet, and those that are replaced.
const HOSTS: usize = 3200;
const REPLACED: usize = HOSTS * 6 / 10;
/// Hosts whose sockets one stand-in process holds.
const HOSTS_PER_PROCESS: usize = 640;
const REPLACED_WITHIN_MS: u64 = 7000;
const CLIENTS: u64 = 12;
const BUDGET_MS: u64 = 2500;
/// Time after the deadline by which an answer has to be there: half a second, and 50 ms.
const SLACK_MS: u64 = 550;

/// A process with many stand-in hosts.
struct HostProcess {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl HostProcess {
    fn start(count: usize) -> Self {
        let own = std::env::current_exe().expect("the path of this program");
        let mut child = end_with_case(&mut Command::new(own))
            .args(["hosts", &count.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in hosts start");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let addresses =
            (0..count).map(|_| lines.next().unwrap().unwrap().parse().unwrap()).collect::<Vec<SocketAddr>>();
        Self { child, addresses }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The stand-in hosts of one process: each answers at once, with a copy that it has just filled.
fn run_hosts(count: usize) {
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let mut out = std::io::stdout().lock();
    for listener in &listeners {
        writeln!(out, "{}", listener.local_addr().unwrap()).unwrap();
    }
    out.flush().unwrap();
    // Ends with the process that started it.
    std::thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0]);
        std::process::exit(0);
    });
    serve_hosts(listeners, |serve| {
        let since = unix_ms();
        let fields = format!("rev={since:x},since={since},why=TCP_HIT,rep=util:0.1;x0:0.5");
        Reply::Answer { status: "200", fields, body: serve.id.as_bytes().to_vec() }
    });
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|word| word == "hosts") {
        return run_hosts(arguments[2].parse().unwrap());
    }
    exit_with(|| run(&PathBuf::from(&arguments[1])));
}

fn run(case_dir: &std::path::Path) -> i32 {
    let record = Record::create(&case_dir.join("record.txt"));
    let has_trouble = has_trouble();
    limit_run_time(Duration::from_secs(115));
    let (mut addresses, mut processes) = (Vec::new(), Vec::new());
    let wanted = HOSTS + REPLACED + 1;
    while addresses.len() < wanted {
        let process = HostProcess::start(HOSTS_PER_PROCESS.min(wanted - addresses.len()));
        addresses.extend(process.addresses.iter().copied());
        processes.push(process);
    }
    let origin = addresses.pop().unwrap();
    let name = |host: usize| format!("s-{:08x}", (host as u32).wrapping_mul(0x9e37_79b9) ^ 0x00c4_1f7a);
    let line = |host: usize, status: &str, since: u64| {
        endpoint(&name(host), addresses[host], "inland", "standard", status, since)
    };
    let mut whole: Vec<String> = (0..HOSTS).map(|host| line(host, "active", 0)).collect();
    whole.push(endpoint("origin-1", origin, "inland", "origin", "active", 0));
    let change_log = ChangeLog::start(&record, vec![fleet(1, true, &whole)]);
    let listen = free_address();
    let site = Site { settings: DELIVERY_DESK, zones: vec!["inland".to_owned()], dispatchers_per_zone: 300 };
    let text = config(listen, change_log.address, &change_log.known(), &site);
    let mut dispatcher = match Dispatcher::start(&root(case_dir), listen, "n1", &text) {
        Ok(dispatcher) => dispatcher,
        Err(error) => {
            record.say(&error);
            return COULD_NOT_RUN;
        }
    };
    record.say(&format!("fleet of {HOSTS} cache hosts; dispatcher ready, process {}", dispatcher.id()));

    let clients = Clients::new(&record);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let clients = Arc::clone(&clients);
            std::thread::spawn(move || run_client(number, listen, &clients))
        })
        .collect();
    std::thread::sleep(ms(4000));
    if has_trouble {
        replace_hosts(&change_log, &record, &line);
    } else {
        std::thread::sleep(ms(REPLACED_WITHIN_MS));
    }
    std::thread::sleep(ms(8000));
    clients.stop();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let ended = dispatcher.has_ended();
    record.line("dispatcher's log:");
    dispatcher.log().lines().take(400).for_each(|text| record.line(text));
    let tally = clients.tally.lock().unwrap();
    record.say(&change_log.summary());
    record.say(&format!("requests: {tally:?}"));
    if let Some(status) = ended {
        record.say(&format!("BROKEN: the dispatcher ended by itself: {status}"));
        return BROKEN;
    }
    if tally.served == 0 {
        record.say("no request was served at all");
        return COULD_NOT_RUN;
    }
    if tally.lost > 0 {
        record.say(&format!("BROKEN: {} requests got no answer in their time and {SLACK_MS} ms", tally.lost));
        return BROKEN;
    }
    record.say("HELD: every request got its answer");
    HELD
}

/// Replaces six in ten hosts: each is told as leaving, its successor as started 1 s later, and it as left 2.5 s later.
fn replace_hosts(change_log: &ChangeLog, record: &Record, line: &dyn Fn(usize, &str, u64) -> String) {
    let spread = REPLACED_WITHIN_MS - 2500;
    let mut steps: Vec<(u64, usize, &str)> = Vec::new();
    for number in 0..REPLACED {
        let at = number as u64 * spread / REPLACED as u64;
        steps.push((at, number, "leaving"));
        steps.push((at + 1000, HOSTS + number, "active"));
        steps.push((at + 2500, number, "left"));
    }
    steps.sort_unstable();
    record.say(&format!("{REPLACED} cache hosts are replaced within {REPLACED_WITHIN_MS} ms"));
    let start = Instant::now();
    for (index, (at, host, status)) in steps.into_iter().enumerate() {
        std::thread::sleep(ms(at).saturating_sub(start.elapsed()));
        let since = if status == "active" { unix_ms() } else { 0 };
        change_log.add(fleet(index + 2, false, &[line(host, status, since)]));
    }
    record.say(&format!("the last event is in the change log after {} ms", start.elapsed().as_millis()));
}

fn run_client(number: u64, listen: SocketAddr, clients: &Clients) {
    let mut random = Random(number + 7);
    let mut client = None;
    while !clients.is_stopped() {
        std::thread::sleep(ms(200 + random.below(100)));
        if client.is_none() {
            client = Client::connect(listen).ok();
        }
        let Some(open) = &mut client else { continue };
        let object = random.below(5000);
        let get = Get {
            class: "product-photo",
            object,
            part: 0,
            group: (object % 256) as u32,
            budget_ms: BUDGET_MS,
            body: b"",
        };
        let (id, sent) = (new_id(), Instant::now());
        let answer = open.get(&id, &get, ms(BUDGET_MS + SLACK_MS));
        clients.note(&id, &format!("object {object:016x}"), sent.elapsed(), &answer);
        if matches!(answer, Answer::Lost(_)) {
            client = None;
        }
    }
}
