//! Bad clients that send hundreds of requests at once, before a dispatcher with sound cache hosts and large objects. What the
//! dispatcher takes of memory is read from the system. The platform would kill it over its limit; here it runs on, so that the
//! record tells how far it goes.

use review_stand_2::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Cache hosts: what the site has on its busiest days.
const HOSTS: usize = 17;
/// Bytes of an object; the protocol allows 240,000.
const OBJECT_BYTES: usize = 239_000;
/// Transfers that a host does at once, its weight in the list, and how long one takes: 239 KB at 8 MB a second.
const TRANSFERS: usize = 8;
const TRANSFER: Duration = Duration::from_millis(30);
/// Connections of bad clients, and the requests that each sends at once: what one connection may carry.
const BAD_CLIENTS: u64 = 20;
const AT_ONCE: u16 = 32;
const TIME: Duration = Duration::from_secs(10);
/// What the dispatcher is told; the pages: "between 32 and 192 MB".
const MEMORY_MB: u64 = 32;
/// And its descriptors; the pages: "between 256 and 1,024".
const SOCKETS: u64 = 512;
/// What a client is sent in a microsecond: 8 MB a second; the brief: 4.9 to 12.
const BYTES_PER_US: u64 = 8;

/// Room for a number of transfers.
struct Link(Mutex<usize>, Condvar);

impl Link {
    fn transfer(&self) {
        let mut free = self.0.lock().expect("no holder panics");
        while *free == 0 {
            free = self.1.wait(free).expect("no holder panics");
        }
        *free -= 1;
        drop(free);
        thread::sleep(TRANSFER);
        *self.0.lock().expect("no holder panics") += 1;
        self.1.notify_one();
    }
}

/// One client connection: sends `count` requests at once, reads all that comes, and returns the statuses.
fn ask(listen: SocketAddr, ids: &AtomicU64, count: u16) -> std::io::Result<Vec<u16>> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let mut out = Vec::new();
    for number in 1..=count {
        let id = ids.fetch_add(1, Ordering::Relaxed);
        let (id, key) = (format!("{id:016x}"), format!("{:016x}", id.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let params = [
            ("SCRIPT_NAME", "/rpc/assembly-video"),
            ("HTTP_REQUEST_ID", &*id),
            ("HTTP_BUDGET_MS", "5000"),
            ("HTTP_RESOURCE_KEY", &*key),
            ("HTTP_X_CHUNK", "0"),
            ("HTTP_X_TAG", "17"),
        ];
        write_request(&mut out, number, &params);
    }
    stream.write_all(&out)?;
    let mut statuses = Vec::new();
    let mut content = vec![0; 65_536 + 256];
    while statuses.len() < usize::from(count) {
        let mut header = [0; 8];
        stream.read_exact(&mut header)?;
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        stream.read_exact(&mut content[..length + usize::from(header[6])])?;
        // What was just read took its time on the way to the client.
        thread::sleep(Duration::from_micros(length as u64 / BYTES_PER_US));
        if header[1] == 6 && content.starts_with(b"Status: ") {
            let status = std::str::from_utf8(&content[8..11]).ok().and_then(|status| status.parse().ok());
            statuses.push(status.unwrap_or(0));
        } else if header[1] == 3 && content[4] == 2 {
            statuses.push(503);
        }
    }
    Ok(statuses)
}

/// The resident memory of a process in kB, now and at most.
fn memory_kb(pid: u32) -> Option<(u64, u64)> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let figure = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    Some((figure("VmRSS:")?, figure("VmHWM:")?))
}

fn main() {
    let (record, trouble) = (Record::create(), has_trouble());
    let body = vec![7; OBJECT_BYTES];
    let host = || {
        let (link, body) = (Link(Mutex::new(TRANSFERS), Condvar::new()), body.clone());
        start_host(move |_| {
            link.transfer();
            let since = unix_ms() - 40.0;
            Action::Answer {
                after: Duration::ZERO,
                word: "200",
                fields: format!(
                    "rev=4be0c1927d55a6f3,since={since:.0},why=TCP_HIT,fill=0,rep=util:0.30;x0:0.70"
                ),
                body: body.clone(),
            }
        })
    };
    let log = ChangeLog::start(&record);
    let mut lines: Vec<_> =
        (0..HOSTS).map(|index| host_line(&format!("s-{index}"), host(), "standard", "active")).collect();
    lines.push(host_line("p-0", host(), "parent", "active"));
    lines.push(host_line("o-0", host(), "origin", "active"));
    log.add(&whole_list(&lines));
    let listen = free_address();
    let mut dispatcher = start_dispatcher_with(&record, listen, &log, MEMORY_MB, SOCKETS);
    let pid = dispatcher.id();
    let (stop, ids) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let totals = Arc::new(Mutex::new(std::collections::BTreeMap::<(bool, u16), u32>::new()));
    let mut clients = Vec::new();
    for index in 0..BAD_CLIENTS + 3 {
        let is_bad = index >= 3;
        if is_bad && !trouble {
            continue;
        }
        let (stop, ids, totals, record) =
            (Arc::clone(&stop), Arc::clone(&ids), Arc::clone(&totals), Arc::clone(&record));
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(if is_bad { 1500 } else { 0 }));
            while !stop.load(Ordering::Relaxed) {
                match ask(listen, &ids, if is_bad { AT_ONCE } else { 1 }) {
                    Ok(statuses) => {
                        let mut totals = totals.lock().expect("no holder panics");
                        statuses.iter().for_each(|status| *totals.entry((is_bad, *status)).or_insert(0) += 1);
                    }
                    Err(error) => {
                        let who = if is_bad { "a bad client" } else { "a usual client" };
                        record.say(format_args!("{who}: no whole answer: {error}"));
                        thread::sleep(Duration::from_millis(200));
                    }
                }
                if !is_bad {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }));
    }
    let (begun, mut peak, mut is_over) = (Instant::now(), 0, false);
    let mut told = 0;
    while begun.elapsed() < TIME {
        let Some((resident, most)) = memory_kb(pid).filter(|_| !dispatcher.has_ended()) else { break };
        peak = peak.max(most);
        if resident > told + 4096 {
            told = resident;
            record.say(format_args!("the dispatcher holds {resident} kB of {}", MEMORY_MB * 1024));
        }
        if most > MEMORY_MB * 1024 && !is_over {
            is_over = true;
            record.say(format_args!(
                "the dispatcher held {most} kB, over its limit: the platform would kill it now"
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let has_crashed = dispatcher.has_ended();
    if !has_crashed {
        // What the dispatcher itself counts.
        dispatcher.signal("USR1");
        thread::sleep(Duration::from_millis(300));
        let log = std::fs::read_to_string(folder().join("dispatcher.log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.trim_start().starts_with("memory:"));
        lines.for_each(|line| record.say(format_args!("the dispatcher's counters: {}", line.trim())));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    for ((is_bad, status), count) in totals.lock().expect("no holder panics").iter() {
        let who = if *is_bad { "bad clients" } else { "usual clients" };
        record.say(format_args!("{who}: {count} answers of status {status}"));
    }
    record.say(format_args!(
        "judged: at most {peak} kB of {} were held; over the limit: {is_over}; ended by itself: {has_crashed}",
        MEMORY_MB * 1024
    ));
    let broken = is_over || has_crashed;
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(if broken { BROKEN } else { HELD });
}
