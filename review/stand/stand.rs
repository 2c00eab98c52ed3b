//! Stand-ins for the review cases: cache hosts and the origin (RESP), the change log (long poll over HTTP/1.1), the
//! front's clients (FastCGI), and the dispatcher as a process, started by the `run` command of the deploy file.
//! Standard library only. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64
}

/// What was sent, answered and run, one line each, with the milliseconds since the start of the case.
pub struct Record {
    out: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let out = File::create(path).expect("record.txt can be written");
        Arc::new(Self { out: Mutex::new(out), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let _ = writeln!(self.out.lock().unwrap(), "{at:>6} ms  {text}");
    }

    /// A line for the record and for the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Whether the case runs with its disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case and ends the process with its exit code. A case that panics could not run.
pub fn exit_with(run: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    std::process::exit(std::panic::catch_unwind(run).unwrap_or(COULD_NOT_RUN))
}

/// Ends the whole case after this time with the exit code for a case that could not run. The processes that it started
/// end with it.
pub fn limit_run_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        println!("the case took too long");
        std::process::exit(COULD_NOT_RUN);
    });
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn poll(fds: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

#[repr(C)]
#[derive(Clone, Copy)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

const POLLIN: i16 = 1;

/// Has a child process end with the case, however that ends.
pub fn end_with_case(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    }
}

/// Sends a signal to a process that this case has started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

// ---------------------------------------------------------------------------------------------------------- dispatcher

/// A dispatcher as a process, ended on drop.
pub struct Dispatcher {
    pub child: Child,
    pub listen: SocketAddr,
    pub dir: PathBuf,
}

/// The root of the repository, by the case's folder `review/N`.
pub fn root(case_dir: &Path) -> PathBuf {
    case_dir.join("../..").canonicalize().expect("the case stands in the repository")
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the deploy file names `run`");
    line.split('"').nth(1).expect("`run` is a string").to_owned()
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

impl Dispatcher {
    /// Starts a dispatcher with this configuration (`listen` is part of it) and waits until it is ready.
    pub fn start(root: &Path, listen: SocketAddr, name: &str, config: &str) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(dir.join("tmp")).map_err(|e| e.to_string())?;
        let file = dir.join("config.json");
        std::fs::write(&file, config).map_err(|e| e.to_string())?;
        let log = File::create(dir.join("log.txt")).map_err(|e| e.to_string())?;
        let child = end_with_case(&mut Command::new("/bin/sh"))
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", dir.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        let mut dispatcher = Self { child, listen, dir };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(Some(status)) = dispatcher.child.try_wait() {
                return Err(format!("the dispatcher ended at its start: {status}\n{}", dispatcher.log()));
            }
            if let Ok(mut client) = Client::connect(listen)
                && matches!(client.health(ms(1000)), Answer::Served(..))
            {
                return Ok(dispatcher);
            }
            std::thread::sleep(ms(50));
        }
        Err(format!("the dispatcher is not ready after 20 s\n{}", dispatcher.log()))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.dir.join("log.txt")).unwrap_or_default()
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// What a case varies of a configuration.
pub struct Site<'a> {
    /// The settings of one of the sites below.
    pub settings: &'a str,
    /// The location's zone comes first; its dispatchers.
    pub zones: Vec<String>,
    pub dispatchers_per_zone: usize,
}

/// Settings with the figures of the site `delivery-desk`, in the form of the wire page.
pub const DELIVERY_DESK: &str = r#"
  "weights":"rough","classes":[
   {"name":"assembly-video","effect":"idempotent","group":"all","key_ttl_ms":5000.0,"aim_ms":500.0,"aim_stretch":1.6,
    "deadline_ms":5000.0,"points":2.0,"late_share":0.15,"stream":false},
   {"name":"product-photo","effect":"idempotent","group":"all","key_ttl_ms":5000.0,"aim_ms":400.0,"aim_stretch":2.0,
    "deadline_ms":2500.0,"points":1.0,"late_share":0.2,"stream":false},
   {"name":"delivery-confirm","effect":"at_most_once","group":"all","key_ttl_ms":5000.0,"aim_ms":600.0,
    "aim_stretch":0.0,"deadline_ms":3000.0,"points":3.0,"late_share":0.0,"stream":false}],
  "client_habits":{"marks_retry":false},
  "domain":{@ZONED@,"shield_kind":1,"master_kind":2,"lateral":"location","flow_kb_per_s":8000.0,"shares_fills":false,
   "pass_through_ok":true,"note_level":"all","in_parts":[true,false,false],"lifetime_by_class_ms":[0.0,5000.0,0.0],
   "grace_for_ms":[0.0,30000.0,0.0],"aged_worth":[1.0,0.7,1.0],"pass_on":[false,false,true],"parent_floor":0.1,
   "parent_cold_ms":16000.0,"parent_breaks_at":2.0,"gone_everywhere_ms":6000.0,"obey_after_ms":1000.0,
   "origin_stops_at":2.5,"origin_fall_ms":1000.0,"transit_price":0.06},
  "limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":400.0,"cpu_us_per_request":0.0,
   "cpu_us_per_s":400000,"max_attempts":8,"max_open":20000,"max_retry_after_ms":2000.0,"may_probe":false,
   "peers":false,"retry_after":true,"second_copies":false,"streams_per_conn":100},
  "obligations":{"answer_slack_ms":8.0,"drain_grace_ms":250.0,"fall_ms":1000.0,"fall_multiple":2.0,
   "must_ask_in_ms":10000.0,"start_capacity":0.3,"warm_within_ms":12000.0}"#;

/// Settings with the figures of the site `member-catalogue`.
pub const MEMBER_CATALOGUE: &str = r#"
  "weights":"rough","classes":[
   {"name":"media","effect":"idempotent","group":"all","key_ttl_ms":5000.0,"aim_ms":600.0,"aim_stretch":1.6,
    "deadline_ms":5000.0,"points":2.0,"late_share":0.15,"stream":false},
   {"name":"listing","effect":"idempotent","group":"all","key_ttl_ms":5000.0,"aim_ms":300.0,"aim_stretch":2.0,
    "deadline_ms":2500.0,"points":1.0,"late_share":0.2,"stream":false}],
  "client_habits":{"marks_retry":true},
  "domain":{@ZONED@,"shield_kind":1,"master_kind":2,"lateral":"any","flow_kb_per_s":8000.0,"shares_fills":true,
   "pass_through_ok":false,"note_level":"hit","in_parts":[false,false],"lifetime_by_class_ms":[0.0,12000.0],
   "grace_for_ms":[0.0,30000.0],"aged_worth":[0.7,0.5],"pass_on":[false,false],"parent_floor":0.1,
   "parent_cold_ms":16000.0,"parent_breaks_at":2.0,"gone_everywhere_ms":6000.0,"obey_after_ms":500.0,
   "origin_stops_at":0.0,"origin_fall_ms":3000.0,"transit_price":0.04},
  "limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":400.0,"cpu_us_per_request":0.0,
   "cpu_us_per_s":500000,"max_attempts":8,"max_open":20000,"max_retry_after_ms":2000.0,"may_probe":false,
   "peers":false,"retry_after":false,"second_copies":false,"streams_per_conn":100},
  "obligations":{"answer_slack_ms":8.0,"drain_grace_ms":1000.0,"fall_ms":2000.0,"fall_multiple":4.0,
   "must_ask_in_ms":10000.0,"start_capacity":0.3,"warm_within_ms":12000.0}"#;

/// A configuration in the form of the deployment page.
pub fn config(listen: SocketAddr, change_log: SocketAddr, known: &str, site: &Site) -> String {
    let count = site.zones.len();
    let each = |value: &str| vec![value; count].join(",");
    let dispatchers = site.dispatchers_per_zone.to_string();
    let zoned = format!(
        "\"count_by_zone\":[{}],\"hub_of\":[{}],\"feed_kb_per_s\":[{}]",
        each(&dispatchers),
        each("0"),
        each("0.0")
    );
    let settings = site.settings.replace("@ZONED@", &zoned);
    let zones: Vec<String> = site.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"changelog\":\"{change_log}\",\
         \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\n \"known\":{known},\n \"settings\":{{\
         \"balancers\":{},\"me\":0,\"my_zone\":0,\"layer\":0,\"tiers\":[\"caches\"],\"zones\":[{}],\
         \"kinds\":[\"standard\",\"parent\",\"origin\"],\"discovery\":\"pushed\",\"resolution_ms\":2.0,\
         \"family\":\"edge\",\"worth_by\":\"request\",\"tenants\":[],\"prices\":{{}},\
         \"report\":{{\"names\":[\"cpu_share\",\"x0\"],\"via\":\"piggyback\"}},{settings}}}}}",
        site.dispatchers_per_zone * count,
        zones.join(",")
    )
}

// ---------------------------------------------------------------------------------------------------------- change log

/// How the change log answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answers {
    /// At once when there are later events, else after the requested wait.
    Soundly,
    /// As `Soundly`, but each answer leaves this much later: the service is slow.
    Late(Duration),
    /// Connections come up and stay open, and nothing is answered.
    Never,
}

struct Events {
    /// The events in their JSON form, without their numbers; the first is number 1.
    list: Vec<String>,
    answers: Answers,
    /// Connections are closed at once: the service is down.
    is_down: bool,
    /// Highest number that was written in an answer.
    told: usize,
}

/// The change log: numbered events, a long poll over HTTP/1.1.
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Mutex<Events>,
    news: Condvar,
    pub polls: AtomicU64,
    pub answered: AtomicU64,
    pub largest_answer: AtomicU64,
    /// The wait that the last poll requested, ms.
    pub requested_wait_ms: AtomicU64,
    record: Arc<Record>,
}

impl ChangeLog {
    /// Starts with these events, which are the ones `known` to a dispatcher at its start.
    pub fn start(record: &Arc<Record>, first: Vec<String>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let told = first.len();
        let events = Events { list: first, answers: Answers::Soundly, is_down: false, told };
        let log = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            events: Mutex::new(events),
            news: Condvar::new(),
            polls: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            largest_answer: AtomicU64::new(0),
            requested_wait_ms: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&log);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = Arc::clone(&accepting);
                if log.events.lock().unwrap().is_down {
                    continue; // dropped, so that it is closed
                }
                std::thread::spawn(move || log.serve(stream));
            }
        });
        log
    }

    /// Adds an event: the JSON of one field, such as `"fleet":{…}`. Returns its number.
    pub fn add(&self, event: String) -> usize {
        let mut events = self.events.lock().unwrap();
        events.list.push(event);
        self.news.notify_all();
        events.list.len()
    }

    pub fn set_answers(&self, answers: Answers) {
        self.record.line(&format!("change log: answers {answers:?}"));
        self.events.lock().unwrap().answers = answers;
        self.news.notify_all();
    }

    /// Whether the service is down. Open connections are closed when it goes down.
    pub fn set_down(&self, is_down: bool) {
        self.record.line(&format!("change log: {}", if is_down { "down" } else { "up" }));
        self.events.lock().unwrap().is_down = is_down;
        self.news.notify_all();
    }

    /// Highest number that was written to the dispatcher.
    pub fn told(&self) -> usize {
        self.events.lock().unwrap().told
    }

    pub fn last(&self) -> usize {
        self.events.lock().unwrap().list.len()
    }

    /// All events as the configuration's `known`.
    pub fn known(&self) -> String {
        body(&self.events.lock().unwrap().list, 0)
    }

    pub fn summary(&self) -> String {
        format!(
            "change log: {} events, written up to event {}, {} polls, {} answers, the largest of {} bytes",
            self.last(),
            self.told(),
            self.polls.load(Ordering::Relaxed),
            self.answered.load(Ordering::Relaxed),
            self.largest_answer.load(Ordering::Relaxed)
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut inbound = Vec::new();
        loop {
            let Some(request) = read_head(&mut stream, &mut inbound) else { return };
            let query = |name: &str| -> Option<u64> {
                let from = request.find(&format!("{name}="))? + name.len() + 1;
                let digits: String = request[from..].chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            let (Some(since), Some(wait)) = (query("since"), query("timeout")) else { return };
            self.polls.fetch_add(1, Ordering::Relaxed);
            self.requested_wait_ms.store(wait.min(5000), Ordering::Relaxed);
            let until = Instant::now() + ms(wait.min(5000));
            let mut events = self.events.lock().unwrap();
            loop {
                let left = until.saturating_duration_since(Instant::now());
                let is_due = events.list.len() as u64 > since || left.is_zero();
                if events.is_down {
                    return;
                }
                if is_due && events.answers != Answers::Never {
                    break;
                }
                let wait = if left.is_zero() { ms(50) } else { left };
                events = self.news.wait_timeout(events, wait).unwrap().0;
            }
            if let Answers::Late(late) = events.answers {
                drop(events);
                std::thread::sleep(late);
                events = self.events.lock().unwrap();
            }
            let (body, last) = (body(&events.list, since as usize), events.list.len());
            drop(events);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).is_err() {
                return;
            }
            self.answered.fetch_add(1, Ordering::Relaxed);
            self.largest_answer.fetch_max(body.len() as u64, Ordering::Relaxed);
            let mut events = self.events.lock().unwrap();
            events.told = events.told.max(last);
        }
    }
}

/// The events after `since`, in the form of the protocol page.
fn body(list: &[String], since: usize) -> String {
    let mut text = format!("{{\"seq\":{},\"results\":[", list.len().max(since));
    for (index, event) in list.iter().enumerate().skip(since) {
        let comma = if index > since { "," } else { "" };
        text.push_str(&format!("{comma}\n {{\"seq\":{},{event}}}", index + 1));
    }
    text.push_str("]}");
    text
}

fn read_head(stream: &mut TcpStream, inbound: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = inbound.windows(4).position(|four| four == b"\r\n\r\n") {
            let head: Vec<u8> = inbound.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => inbound.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// A host's line in the list.
pub fn endpoint(
    name: &str,
    address: SocketAddr,
    zone: &str,
    kind: &str,
    status: &str,
    since_ms: u64,
) -> String {
    let weight = if kind == "standard" { 4 } else { 30 };
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"type\":\"{kind}\",\"group\":0,\
         \"status\":\"{status}\",\"weight\":{weight},\"since_ms\":{since_ms}}}"
    )
}

/// A change of the list.
pub fn fleet(index: usize, is_whole: bool, endpoints: &[String]) -> String {
    format!("\"fleet\":{{\"index\":{index},\"snapshot\":{is_whole},\"endpoints\":[{}]}}", endpoints.join(","))
}

/// A purge of a group of objects.
pub fn purge(group: u32, at_unix_ms: u64) -> String {
    format!("\"invalidate\":{{\"bucket\":{group},\"time\":{at_unix_ms}}}")
}

// --------------------------------------------------------------------------------------------------------- cache hosts

/// A request as it arrived at a host.
pub struct Serve<'a> {
    pub host: usize,
    pub id: &'a str,
    pub fields: &'a HashMap<String, String>,
    pub body: &'a [u8],
}

/// What a host does with a request.
pub enum Reply {
    Answer {
        status: &'static str,
        fields: String,
        body: Vec<u8>,
    },
    /// Nothing is answered, and the connection stays open.
    Silence,
}

/// Serves RESP on all these listeners, in the order given, from one thread. `on_serve` makes the answer.
pub fn serve_hosts(listeners: Vec<TcpListener>, mut on_serve: impl FnMut(&Serve) -> Reply) {
    struct Conn {
        stream: TcpStream,
        host: usize,
        inbound: Vec<u8>,
    }
    listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
    let mut conns: Vec<Conn> = Vec::new();
    loop {
        let entry = |fd: i32| PollFd { fd, events: POLLIN, revents: 0 };
        let mut fds: Vec<PollFd> = listeners.iter().map(|listener| entry(listener.as_raw_fd())).collect();
        fds.extend(conns.iter().map(|conn| entry(conn.stream.as_raw_fd())));
        unsafe { poll(fds.as_mut_ptr(), fds.len() as u64, 1000) };
        let mut ended = Vec::new();
        for (index, conn) in conns.iter_mut().enumerate() {
            if fds[listeners.len() + index].revents == 0 {
                continue;
            }
            let mut buffer = [0; 65536];
            match conn.stream.read(&mut buffer) {
                Ok(0) => ended.push(index),
                Ok(count) => conn.inbound.extend_from_slice(&buffer[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => ended.push(index),
            }
            while let Some(words) = next_command(&mut conn.inbound) {
                let Some(reply) = answer(conn.host, &words, &mut on_serve) else { continue };
                conn.stream.set_nonblocking(false).unwrap();
                if conn.stream.write_all(&reply).is_err() {
                    ended.push(index);
                }
                conn.stream.set_nonblocking(true).unwrap();
            }
        }
        ended.dedup();
        ended.into_iter().rev().for_each(|index| _ = conns.swap_remove(index));
        for (host, listener) in listeners.iter().enumerate().filter(|(host, _)| fds[*host].revents != 0) {
            while let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_nonblocking(true);
                conns.push(Conn { stream, host, inbound: Vec::new() });
            }
        }
    }
}

fn answer(host: usize, words: &[Vec<u8>], on_serve: &mut impl FnMut(&Serve) -> Reply) -> Option<Vec<u8>> {
    let text =
        |index: usize| String::from_utf8_lossy(words.get(index).map_or(&[][..], |word| word)).into_owned();
    match &text(0)[..] {
        "serve" => {
            let (id, list) = (text(1), text(2));
            let fields: HashMap<String, String> = list
                .split(',')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect();
            let body = words.get(3).map_or(&[][..], |word| word);
            match on_serve(&Serve { host, id: &id, fields: &fields, body }) {
                Reply::Answer { status, fields, body } => {
                    let fields = if fields.is_empty() { "-".to_owned() } else { fields };
                    Some(resp(&[id.as_bytes(), status.as_bytes(), fields.as_bytes(), &body]))
                }
                Reply::Silence => None,
            }
        }
        "health" => Some(resp(&[text(1).as_bytes(), b"alive", b"-", b""])),
        _ => None,
    }
}

fn resp(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

fn next_command(inbound: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    fn line(bytes: &[u8], from: usize) -> Option<(usize, usize)> {
        let end = from + bytes.get(from..)?.windows(2).position(|two| two == b"\r\n")?;
        Some((std::str::from_utf8(&bytes[from + 1..end]).ok()?.parse().ok()?, end + 2))
    }
    let (count, mut position) = line(inbound, 0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, from) = line(inbound, position)?;
        position = from + length + 2;
        words.push(inbound.get(from..from + length)?.to_vec());
    }
    (inbound.len() >= position).then_some(())?;
    inbound.drain(..position);
    Some(words)
}

/// A copy of a part of an object.
#[derive(Clone, Copy, Debug)]
pub struct Copy {
    /// Unix milliseconds at which the origin gave it out.
    pub since: u64,
}

/// Sound cache hosts, parents and an origin: what they hold, and the purge that has come to them. All objects of a case
/// are in one group.
pub struct World {
    /// The names of the hosts: caches, then parents; the last is the origin.
    pub names: Vec<String>,
    pub copies: HashMap<(usize, String, String), Copy>,
    /// When the group was purged. The hosts drop older copies by themselves some time after.
    pub purged_at: Option<u64>,
    /// Fresh time by class, ms; 0: until it is purged.
    pub fresh_ms: HashMap<String, u64>,
    /// Requests answered from a copy older than the purge: how long after it they arrived, ms.
    pub old_after: Vec<u64>,
    /// Requests that came to each host.
    pub arrivals: Vec<u64>,
    record: Arc<Record>,
}

/// Within this time of a purge, hosts have dropped older copies by themselves. The settings say 6 s at most.
const DROPPED_AFTER_MS: u64 = 5800;

impl World {
    pub fn new(names: Vec<String>, record: &Arc<Record>) -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            arrivals: vec![0; names.len()],
            names,
            copies: HashMap::new(),
            purged_at: None,
            fresh_ms: HashMap::from([("product-photo".to_owned(), 5000), ("listing".to_owned(), 12000)]),
            old_after: Vec::new(),
            record: Arc::clone(record),
        }))
    }

    /// Serves all hosts on these listeners, in the order of their names.
    pub fn serve(world: &Arc<Mutex<Self>>, listeners: Vec<TcpListener>) {
        let world = Arc::clone(world);
        std::thread::spawn(move || serve_hosts(listeners, |request| world.lock().unwrap().answer(request)));
    }

    /// The copy that a host gives: one it holds that is not older than `oldest`, else one from `source`.
    fn copy(
        &mut self,
        host: usize,
        key: (&str, &str),
        oldest: u64,
        source: Option<usize>,
    ) -> Option<(Copy, bool)> {
        let now = unix_ms();
        let origin = self.names.len() - 1;
        if host == origin {
            return Some((Copy { since: now }, false));
        }
        let purged_at = self.purged_at.filter(|at| at + DROPPED_AFTER_MS <= now).unwrap_or(0);
        let place = (host, key.0.to_owned(), key.1.to_owned());
        let held = self.copies.get(&place).copied().filter(|copy| copy.since >= purged_at);
        if let Some(copy) = held.filter(|copy| now.saturating_sub(copy.since) <= oldest) {
            return Some((copy, true));
        }
        let (copy, _) = self.copy(source?, key, oldest, Some(origin))?;
        self.copies.insert(place, copy);
        Some((copy, false))
    }

    pub fn answer(&mut self, request: &Serve) -> Reply {
        self.arrivals[request.host] += 1;
        let (now, field) = (unix_ms(), |name: &str| request.fields.get(name).cloned().unwrap_or_default());
        let (lane, object, part) = (field("lane"), field("name"), field("piece"));
        if lane == "delivery-confirm" {
            let fields = "why=TCP_MISS_ROOT,fill=1,rep=util:0.2;x0:0.5".to_owned();
            return Reply::Answer { status: "200", fields, body: b"confirmed".to_vec() };
        }
        let oldest = field("cap").parse().ok().filter(|&cap: &u64| cap > 0);
        let oldest = oldest.or(self.fresh_ms.get(&lane).copied()).unwrap_or(u64::MAX);
        let source = self.names.iter().position(|name| *name == field("up"));
        let Some((copy, is_hit)) = self.copy(request.host, (&object, &part), oldest, source) else {
            return Reply::Answer { status: "404", fields: String::new(), body: Vec::new() };
        };
        if let Some(at) = self.purged_at.filter(|at| copy.since < *at) {
            self.old_after.push(now - at);
            self.record.line(&format!(
                "{}: request {} arrives {} ms after the purge, cap={}, answered from a copy {} ms older than the purge",
                self.names[request.host],
                request.id,
                now - at,
                field("cap"),
                at - copy.since
            ));
        }
        let why = if is_hit { "TCP_HIT" } else { "TCP_MISS" };
        let fields = format!("rev={:x},since={},why={why},rep=util:0.2;x0:0.5", copy.since, copy.since);
        Reply::Answer {
            status: "200",
            fields,
            body: format!("{lane} {object} {part} {}", copy.since).into_bytes(),
        }
    }
}

/// Judges the rule on purges: no request that arrives later than this after the purge is answered from an older copy.
pub fn judge_purge(record: &Record, old_after: &[u64], allowed_ms: u64) -> i32 {
    let late = old_after.iter().filter(|after| **after > allowed_ms).count();
    let last = old_after.iter().max().copied().unwrap_or(0);
    if late > 0 {
        record.say(&format!(
            "BROKEN: {late} requests that arrived over {allowed_ms} ms after the purge were answered from older copies, \
             the last {last} ms after it"
        ));
        return BROKEN;
    }
    record.say(&format!(
        "HELD: no request that arrived over {allowed_ms} ms after the purge was answered from an older copy; {} before \
         that, the last {last} ms after it",
        old_after.len()
    ));
    HELD
}

// ------------------------------------------------------------------------------------------------------------- clients

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Status 200, with `X-Valid` and the body.
    Served(bool, Vec<u8>),
    Refused,
    Failed(String),
    /// No whole answer, and why.
    Lost(String),
}

/// A request of the front.
pub struct Get<'a> {
    pub class: &'a str,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub budget_ms: u64,
    pub body: &'a [u8],
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    let seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", seed ^ IDS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0xbf58_476d_1ce4_e5b9))
}

/// One connection of the front, with one open request at a time.
pub struct Client {
    stream: TcpStream,
    inbound: Vec<u8>,
    number: u16,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(2000))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, inbound: Vec::new(), number: 0 })
    }

    pub fn health(&mut self, wait: Duration) -> Answer {
        self.ask(&[("SCRIPT_NAME", "/health".to_owned())], b"", wait)
    }

    /// Sends a request and waits for its answer, for `wait` at most.
    pub fn get(&mut self, id: &str, get: &Get, wait: Duration) -> Answer {
        let mut params = vec![
            ("SCRIPT_NAME", format!("/rpc/{}", get.class)),
            ("HTTP_REQUEST_ID", id.to_owned()),
            ("HTTP_BUDGET_MS", get.budget_ms.to_string()),
            ("HTTP_RESOURCE_KEY", format!("{:016x}", get.object)),
            ("HTTP_X_CHUNK", get.part.to_string()),
            ("HTTP_X_TAG", get.group.to_string()),
        ];
        params.retain(|(_, value)| !value.is_empty());
        self.ask(&params, get.body, wait)
    }

    fn ask(&mut self, params: &[(&str, String)], body: &[u8], wait: Duration) -> Answer {
        self.number = self.number % 32 + 1;
        let number = self.number.to_be_bytes();
        let record = |kind: u8, content: &[u8]| {
            let length = (content.len() as u16).to_be_bytes();
            [&[1, kind, number[0], number[1], length[0], length[1], 0, 0], content].concat()
        };
        let pairs: Vec<u8> = params
            .iter()
            .flat_map(|(name, value)| {
                [&[name.len() as u8, value.len() as u8], name.as_bytes(), value.as_bytes()].concat()
            })
            .collect();
        let mut out = [record(1, &[0, 1, 1, 0, 0, 0, 0, 0]), record(4, &pairs), record(4, b"")].concat();
        if !body.is_empty() {
            out.extend(record(5, body));
        }
        out.extend(record(5, b""));
        if let Err(e) = self.stream.write_all(&out) {
            return Answer::Lost(format!("not written: {e}"));
        }
        self.read_answer(Instant::now() + wait)
    }

    fn read_answer(&mut self, until: Instant) -> Answer {
        let mut content = Vec::new();
        loop {
            while self.inbound.len() >= 8 {
                let length = usize::from(u16::from_be_bytes([self.inbound[4], self.inbound[5]]));
                let whole = 8 + length + usize::from(self.inbound[6]);
                if self.inbound.len() < whole {
                    break;
                }
                let record: Vec<u8> = self.inbound.drain(..whole).collect();
                let number = u16::from_be_bytes([record[2], record[3]]);
                match record[1] {
                    _ if number != self.number => return Answer::Lost("an answer to another request".into()),
                    6 => content.extend_from_slice(&record[8..8 + length]),
                    3 if record[12] == 2 => return Answer::Refused,
                    3 => return read_cgi(&content),
                    kind => return Answer::Lost(format!("a record of type {kind}")),
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Lost("no answer in time".into());
            }
            self.stream.set_read_timeout(Some(left)).unwrap();
            let mut buffer = [0; 65536];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Answer::Lost("the connection was closed".into()),
                Ok(count) => self.inbound.extend_from_slice(&buffer[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Answer::Lost(format!("the connection failed: {e}")),
            }
        }
    }
}

fn read_cgi(content: &[u8]) -> Answer {
    let Some(end) = content.windows(4).position(|four| four == b"\r\n\r\n") else {
        return Answer::Lost("an answer without a head".into());
    };
    let head = String::from_utf8_lossy(&content[..end]).into_owned();
    let status = head.lines().find_map(|line| line.strip_prefix("Status: ")).unwrap_or("200").to_owned();
    match &status[..3.min(status.len())] {
        "200" => Answer::Served(head.contains("X-Valid: 1"), content[end + 4..].to_vec()),
        "429" | "503" => Answer::Refused,
        _ => Answer::Failed(status),
    }
}

/// Counts of answers.
#[derive(Default, Debug)]
pub struct Tally {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
}

/// What all clients of a case saw.
pub struct Clients {
    pub tally: Mutex<Tally>,
    pub is_stopped: AtomicBool,
    pub record: Arc<Record>,
}

impl Clients {
    pub fn new(record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            tally: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            record: Arc::clone(record),
        })
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Notes the end of a request.
    pub fn note(&self, id: &str, what: &str, took: Duration, answer: &Answer) {
        let mut tally = self.tally.lock().unwrap();
        let (count, word) = match answer {
            Answer::Served(..) => (&mut tally.served, "served".to_owned()),
            Answer::Refused => (&mut tally.refused, "refused".to_owned()),
            Answer::Failed(status) => (&mut tally.failed, format!("failed, {status}")),
            Answer::Lost(why) => (&mut tally.lost, format!("LOST, {why}")),
        };
        *count += 1;
        drop(tally);
        self.record.line(&format!("client: request {id} {what}: {word} after {} ms", took.as_millis()));
    }
}

/// A small random number generator, the same for every run.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
