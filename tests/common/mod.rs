//! A small location to decide in, a writer that prints decisions as a trace, and a rig of sockets around the
//! dispatcher. Each test file uses a part of it.
#![allow(dead_code)]

use calloop::EventLoop;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use myrtlegauge_dispatcher::routing::{Dispatcher, Guards, ResourceLimits, Rule, Startup};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::fmt::{Arguments, Write as _};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub const CACHES: [HostIndex; 3] = [0, 1, 2];
pub const PARENTS: [HostIndex; 2] = [3, 4];
pub const ORIGIN: HostIndex = 5;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Delivery services: 0 video (never stale), 1 photo (fresh 5 s, grace 30 s), 2 confirm (a write, never twice),
/// 3 order (tokened).
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, aim: f64| json!({"name": name, "aim_ms": aim, "aim_stretch": 1.6, "deadline_ms": 5000.0, "effect": effect, "group": "zone", "key_ttl_ms": 5000.0});
    json!({
        "balancers": 2, "my_zone": 1, "discovery": "pushed", "weights": "rough", "resolution_ms": 2.0,
        "zones": ["hub", "edge"], "kinds": ["standard", "parent", "origin"],
        "classes": [class("video", "idempotent", 500.0), class("photo", "idempotent", 400.0),
            class("confirm", "at_most_once", 600.0), class("order", "deduplicated", 600.0)],
        "domain": {"count_by_zone": [0, 2], "hub_of": [0, 0], "shield_kind": 1, "master_kind": 2,
            "flow_kb_per_s": 10000.0, "shares_fills": false, "pass_through_ok": true, "note_level": "all",
            "lifetime_by_class_ms": [0.0, 5000.0, 0.0, 0.0], "grace_for_ms": [0.0, 30000.0, 0.0, 0.0],
            "pass_on": [false, false, true, false], "parent_floor": 0.08, "parent_cold_ms": 20000.0,
            "parent_breaks_at": 2.0, "gone_everywhere_ms": 6000.0, "obey_after_ms": 1000.0},
        "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0, "max_attempts": 8,
            "streams_per_conn": 100, "connect_timeout_ms": 400.0, "conn_idle_ms": 15000.0},
        "obligations": {"start_capacity": 0.22, "warm_within_ms": 17000.0, "fall_multiple": 2.0, "fall_ms": 1000.0}
    })
}

pub fn entry(host: HostIndex) -> HostEntry {
    let (kind, zone, units) = match host {
        ORIGIN => (2, 0, 1.0),
        host if PARENTS.contains(&host) => (1, 0, 30.0),
        _ => (0, 1, 4.0),
    };
    let mark = 0x9e37_79b9 * (host as u64 + 1);
    HostEntry {
        host,
        id_hash: mark,
        status: HostStatus::Active,
        start: Start::default(),
        zone,
        cell: 0,
        kind,
        weight: units,
        withheld_fraction: 0.0,
    }
}

/// Prints each decision on a line of its own.
#[derive(Default)]
pub struct Trace {
    pub lines: String,
    pub last: Option<Forward>,
    pub sent: Vec<HostIndex>,
    now: Duration,
}

pub fn name(host: HostIndex) -> String {
    match host {
        ORIGIN => "origin".into(),
        host if PARENTS.contains(&host) => format!("parent {host}"),
        _ => format!("cache {host}"),
    }
}

impl Trace {
    fn line(&mut self, line: Arguments<'_>) {
        writeln!(self.lines, "{:>6} ms  {line}", self.now.as_millis()).unwrap();
    }

    pub fn say(&mut self, text: &str) {
        writeln!(self.lines, "# {text}").unwrap();
    }
}

impl DecisionSink for Trace {
    fn forward(&mut self, get: GetIndex, f: &Forward) {
        self.last = Some(*f);
        self.sent.push(f.host);
        let (host, source) = (name(f.host), name(f.source));
        let age = if f.accepted_age.is_zero() { "any age".into() } else { format!("{:?}", f.accepted_age) };
        let renew = if f.renew { ", renew" } else { "" };
        let held = if f.only_if_cached { " if it holds it" } else { "" };
        self.line(format_args!(
            "GET {get} to {host}, from {source}{held}, rank {}, {age}{renew}",
            f.retention_rank
        ));
    }

    fn withdraw(&mut self, get: GetIndex, hop: u32) {
        self.line(format_args!("GET {get} withdrawn, forward {hop}"));
    }

    fn shed(&mut self, get: GetIndex, retry_after: Option<Duration>) {
        let told = if retry_after.is_some() { "with" } else { "without" };
        self.line(format_args!("GET {get} shed, {told} a time to come back"));
    }

    fn error(&mut self, get: GetIndex) {
        self.line(format_args!("GET {get} errored"));
    }

    fn release(&mut self, get: GetIndex) {
        self.line(format_args!("GET {get} settled"));
    }

    fn schedule_wakeup(&mut self, _after: Duration) {}

    fn subscribe_host_list(&mut self) {
        self.line(format_args!("follow the list"));
    }

    fn log(&mut self, line: Arguments<'_>) {
        self.line(format_args!("log: {line}"));
    }
}

/// A router at its location, with a clock.
pub struct Day {
    pub router: Router,
    pub trace: Trace,
    pub now: Duration,
}

impl Day {
    pub fn new(settings: Value) -> Self {
        let router = Router::new(settings.as_object().unwrap(), 7).unwrap();
        let mut day = Self { router, trace: Trace::default(), now: ms(100_000) };
        day.list(ListUpdate::Persisted, &(0..6).map(entry).collect::<Vec<_>>());
        day
    }

    pub fn round(&mut self, said: impl FnOnce(&mut myrtlegauge::decide::Round<'_, Trace>)) {
        self.trace.now = self.now;
        self.router.round(self.now, &mut self.trace, said);
    }

    pub fn list(&mut self, kind: ListUpdate, entries: &[HostEntry]) {
        self.round(|round| round.on_host_list(kind, entries));
    }

    /// Takes a GET of 100 ms sending time; it gets the place that is free.
    pub fn take(&mut self, ds: usize, object: u64) -> GetIndex {
        let mut place = 0;
        let get = Get { ds, object, size_kb: 1000.0, viewer_timeout: ms(5000), ..Get::default() };
        self.round(|round| {
            place = round.next_get_index();
            round.on_get(get);
        });
        place
    }

    pub fn end(&mut self, place: GetIndex, hop: u32, end: End, note: Note, spent: u64) {
        let closed = end == End::Returned;
        let waited = if note == Note::Hit { 0 } else { spent.saturating_sub(100) };
        let (spent, source_wait) = (ms(spent), ms(waited));
        let o = Outcome {
            attempt: hop,
            end,
            elapsed: spent,
            is_answered: closed,
            note,
            source_wait,
            load: LoadReport::default(),
        };
        self.round(|round| round.on_outcome(place, &o));
    }

    pub fn after(&mut self, by: u64) {
        self.now += ms(by);
        self.round(|round| round.on_wakeup());
    }
}

/// A dispatcher on loopback sockets with stand-ins for what it talks to, all in one thread. Whatever a stand-in or
/// the client reads becomes a line of the trace; times are left out.
pub struct Rig {
    turns: EventLoop<'static, Dispatcher>,
    pub dispatcher: Dispatcher,
    listen: SocketAddr,
    hosts: Vec<StandIn>,
    changelog: StandIn,
    clients: Vec<Client>,
    /// The host that read a command last.
    pub last: String,
    /// The clients read nothing.
    pub deaf: bool,
    pub trace: String,
}

/// A host or the change log.
struct StandIn {
    name: String,
    listener: Option<TcpListener>,
    address: SocketAddr,
    streams: Vec<Stream>,
    clogged: Option<(Socket, Vec<TcpStream>)>,
    /// It reads nothing for now, and holds little that it has not read.
    hangs: bool,
    /// When it went on to read.
    woke: Option<Instant>,
}

/// A connection there, what came and was not yet understood, and what still has to go out.
struct Stream {
    socket: TcpStream,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
    /// Ids that it read, and when it last did.
    ids: Vec<String>,
    read_at: Option<Instant>,
}

struct Client {
    stream: TcpStream,
    inbound: Vec<u8>,
    texts: BTreeMap<u16, String>,
    closed: bool,
    /// It does not close because the other side has.
    rests: bool,
}

impl StandIn {
    fn new(name: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self {
            name,
            listener: Some(listener),
            address,
            streams: Vec::new(),
            clogged: None,
            hangs: false,
            woke: None,
        }
    }
}

pub const ROOM: ResourceLimits = ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 };

/// The whole list, as a start is told it.
fn listing(hosts: &[StandIn]) -> Value {
    let lines: Vec<_> = hosts.iter().map(|host| line(host, "active", 0)).collect();
    json!({"seq": 1, "results": [{"seq": 1, "fleet": {"index": 0, "snapshot": true, "endpoints": lines}}]})
}

pub const HOSTS: [&str; 6] = ["cache-0", "cache-1", "cache-2", "parent-3", "parent-4", "origin-5"];

impl Rig {
    pub fn new() -> Self {
        Self::with(settings(), ROOM)
    }

    pub fn with(settings: Value, room: ResourceLimits) -> Self {
        let hosts: Vec<_> = HOSTS.iter().map(|name| StandIn::new((*name).into())).collect();
        let known = listing(&hosts);
        Self::over(hosts, settings, room, &known)
    }

    /// One that is told these events at its start.
    pub fn knowing(settings: Value, room: ResourceLimits, known: &Value) -> Self {
        Self::over(HOSTS.iter().map(|name| StandIn::new((*name).into())).collect(), settings, room, known)
    }

    /// One that lacks a guard.
    pub fn without(guard: Rule, settings: Value) -> Self {
        let hosts = HOSTS.iter().map(|name| StandIn::new((*name).into())).collect::<Vec<_>>();
        let known = listing(&hosts);
        Self::guarded(hosts, settings, ROOM, &known, Guards::without(guard))
    }

    fn over(hosts: Vec<StandIn>, settings: Value, room: ResourceLimits, known: &Value) -> Self {
        Self::guarded(hosts, settings, room, known, Guards::ALL)
    }

    fn guarded(
        hosts: Vec<StandIn>,
        settings: Value,
        room: ResourceLimits,
        known: &Value,
        guards: Guards,
    ) -> Self {
        let known = known.to_string();
        let changelog = StandIn::new("change log".into());
        let turns = EventLoop::try_new().unwrap();
        let startup = Startup {
            zones: None,
            member: None,
            replicas: None,
            listen: ([127, 0, 0, 1], 0).into(),
            change_log: changelog.address,
            known_changes: serde_json::from_str(&known).unwrap(),
            settings: settings.as_object().unwrap(),
            seed: 7,
            resource_limits: room,
            guards,
        };
        let dispatcher = Dispatcher::start(turns.handle(), startup).unwrap();
        let listen = dispatcher.address().unwrap();
        let (clients, last, deaf, trace) = (Vec::new(), String::new(), false, String::new());
        let mut rig = Self { turns, dispatcher, listen, hosts, changelog, clients, last, deaf, trace };
        rig.client();
        rig
    }

    /// One more client connection.
    pub fn client(&mut self) -> usize {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nonblocking(true).unwrap();
        // What a test writes is there when it is written, and not once earlier bytes were acknowledged.
        stream.set_nodelay(true).unwrap();
        self.clients.push(Client {
            stream,
            inbound: Vec::new(),
            texts: BTreeMap::new(),
            closed: false,
            rests: false,
        });
        self.clients.len() - 1
    }

    pub fn say(&mut self, text: &str) {
        writeln!(self.trace, "# {text}").unwrap();
    }

    pub fn write(&mut self, client: usize, bytes: &[u8]) {
        self.clients[client].stream.write_all(bytes).unwrap();
    }

    /// A GET of the first client: its number, its delivery service, and what it sends with it.
    pub fn get(&mut self, number: u16, ds: &str, extra: &[(&str, &str)]) {
        self.write(0, &asked(number, ds, extra, b""));
    }

    fn host(&mut self, name: &str) -> &mut StandIn {
        self.hosts.iter_mut().find(|host| host.name == name).unwrap()
    }

    /// An answer to the GET of a number by the host that read last.
    pub fn answer(&mut self, number: u16, word: &str, fields: &str, body: &str) {
        let id = format!("{number:016x}");
        let copy = matches!(word, "200" | "304") && !fields.contains("rev=");
        let fields =
            &format!("{fields}{}", if copy { ",rev=4be0c1927d55a6f3,since=1764576000123" } else { "" });
        let told: String =
            [&id, word, fields, body].map(|part| format!("${}\r\n{part}\r\n", part.len())).concat();
        let last = self.last.clone();
        let streams = &mut self.host(&last).streams;
        let at = streams.iter().rposition(|stream| stream.ids.contains(&id)).unwrap_or(streams.len() - 1);
        streams[at].outbound.extend_from_slice(format!("*4\r\n{told}").as_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        let last = self.last.clone();
        let stream = self.host(&last).streams.iter_mut().max_by_key(|stream| stream.read_at);
        stream.unwrap().outbound.extend_from_slice(bytes);
    }

    /// Closes all that a host has open; a dead one refuses from then on.
    pub fn close(&mut self, host: &str, dead: bool) {
        let host = self.host(host);
        host.streams.clear();
        host.listener = host.listener.take().filter(|_| !dead);
    }

    /// Resets all that a host has open; it takes connections as before.
    pub fn reset_all(&mut self, host: &str) {
        for Stream { socket, .. } in self.host(host).streams.drain(..) {
            socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }

    /// From now on no connection to a host comes up, nor is one refused: its queue is full.
    pub fn clog(&mut self, host: &str) {
        clog(self.host(host));
    }

    /// What waited in the queue of a clogged host comes up, and it takes connections again; the system asks a second time
    /// for those that found the queue full.
    pub fn unclog(&mut self, host: &str) {
        let host = if host == "change log" { &mut self.changelog } else { self.host(host) };
        let (full, waiting) = host.clogged.take().expect("it was clogged");
        drop(waiting);
        full.listen(64).unwrap();
        full.set_nonblocking(true).unwrap();
        host.listener = Some(full.into());
        // Those that clogged it are among its first.
        while host.listener.as_ref().is_some_and(|listener| listener.accept().is_ok()) {}
    }

    /// The change log's queue is full from now on, and what it had open is closed.
    pub fn clog_changelog(&mut self) {
        clog(&mut self.changelog);
    }

    /// A host reads no more, or goes on.
    pub fn hang(&mut self, host: &str, hangs: bool) {
        let host = self.host(host);
        if host.hangs && !hangs {
            host.woke = Some(Instant::now());
        }
        host.hangs = hangs;
    }

    /// Each host reads little at once, for connections to come.
    pub fn narrow(&mut self) {
        for host in &mut self.hosts {
            let listener = host.listener.as_ref().unwrap();
            socket2::SockRef::from(listener).set_recv_buffer_size(4096).unwrap();
            socket2::SockRef::from(listener).set_tcp_mss(600).unwrap();
        }
    }

    /// What a host has read by now of commands that name an id.
    pub fn reads_of(&self, host: &str, id: u16) -> usize {
        let (id, mark) = (format!("serve {id:016x}"), format!("{host} reads "));
        self.trace.lines().filter(|line| line.starts_with(&mark) && line.contains(&id)).count()
    }

    /// What all hosts have read by now of commands that name an id.
    pub fn all_reads_of(&self, id: u16) -> usize {
        HOSTS.iter().map(|host| self.reads_of(host, id)).sum()
    }

    /// The client's connection is reset.
    pub fn reset(&mut self, client: usize) {
        let stream = &self.clients[client].stream;
        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
        // The number stays, with a connection to nowhere.
        let nowhere = TcpListener::bind("127.0.0.1:0").unwrap();
        self.clients[client].stream = TcpStream::connect(nowhere.local_addr().unwrap()).unwrap();
        self.clients[client].closed = true;
    }

    /// From now on this client closes only when it is told to.
    pub fn rest(&mut self, client: usize) {
        self.clients[client].rests = true;
    }

    /// Has a thread write `piece` again and again on a client's connection, until it has written so much or the connection is
    /// closed.
    pub fn flood(&self, client: usize, piece: Vec<u8>, most: usize) -> std::thread::JoinHandle<usize> {
        let mut stream = self.clients[client].stream.try_clone().unwrap();
        std::thread::spawn(move || {
            let (mut written, mut at, start) = (0, 0, Instant::now());
            while written < most && start.elapsed() < ms(3000) {
                match stream.write(&piece[at..]) {
                    Ok(count) => (written, at) = (written + count, (at + count) % piece.len()),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => std::thread::yield_now(),
                    Err(_) => break,
                }
            }
            written
        })
    }

    /// A client writes as much as the system takes now, and the rest while turns go on.
    pub fn write_some(&mut self, client: usize, mut bytes: &[u8]) {
        let start = Instant::now();
        while !bytes.is_empty() && start.elapsed() < ms(1000) {
            match self.clients[client].stream.write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(_) => self.turn(),
            }
        }
    }

    /// What a host still has to write goes out now, without a turn of the dispatcher.
    pub fn write_out(&mut self, host: &str) {
        for Stream { socket, outbound, .. } in &mut self.host(host).streams {
            socket.write_all(outbound).unwrap();
            outbound.clear();
        }
    }

    /// The first connection on which a host read an id gives another answer under it.
    pub fn first_answers_again(&mut self, host: &str, id: u16, word: &str) {
        let id = format!("{id:016x}");
        let stream = self.host(host).streams.iter_mut().find(|stream| stream.ids.contains(&id)).unwrap();
        let told = format!("*4\r\n$16\r\n{id}\r\n$3\r\n{word}\r\n$1\r\n-\r\n$0\r\n\r\n");
        stream.outbound.extend_from_slice(told.as_bytes());
    }

    /// What a host still has to write goes out in two pieces.
    pub fn in_pieces(&mut self, host: &str) {
        for Stream { socket, outbound, .. } in &mut self.host(host).streams {
            let half = outbound.len() / 2;
            let sent = socket.write(&outbound[..half]).unwrap_or(0);
            outbound.drain(..sent);
        }
        // The rest goes out after a turn that sees the first.
        self.turns.dispatch(Some(ms(1)), &mut self.dispatcher).unwrap();
        self.dispatcher.process_events();
    }

    /// Whether a host reads nothing for now, or has begun only lately to read what was written before.
    pub fn is_hanging(&self, host: &str) -> bool {
        self.hosts.iter().any(|known| {
            known.name == host && (known.hangs || known.woke.is_some_and(|at| at.elapsed() < ms(50)))
        })
    }

    /// Connections that a host has taken since it was made or clogged.
    pub fn streams_of(&mut self, host: &str) -> usize {
        self.host(host).streams.len()
    }

    /// Of a host's connections, how many the dispatcher has closed, and how many it has reset.
    pub fn ends_of(&mut self, host: &str) -> (usize, usize) {
        let (mut closed, mut reset) = (0, 0);
        for Stream { socket, .. } in &mut self.host(host).streams {
            if socket.write(b"x").is_err() {
                reset += 1;
            } else if matches!(socket.read(&mut [0]), Ok(0)) {
                closed += 1;
            }
        }
        (closed, reset)
    }

    pub fn change_log_streams(&self) -> usize {
        self.changelog.streams.len()
    }

    /// A piece of an answer of the change log.
    pub fn trickle(&mut self, piece: &[u8]) {
        let stream = self.changelog.streams.last_mut().unwrap();
        stream.inbound.clear();
        stream.outbound.extend_from_slice(piece);
    }

    /// Whether what a client writes now, and reads after, meets a reset.
    pub fn is_reset(&mut self, client: usize) -> bool {
        let broken = |e: &std::io::Error| e.kind() != std::io::ErrorKind::WouldBlock;
        let stream = &mut self.clients[client].stream;
        let written = stream.write_all(&record(5, 99, b"more"));
        self.settle(20);
        let stream = &mut self.clients[client].stream;
        written.is_err() || stream.write_all(&record(5, 99, b"more")).as_ref().is_err_and(broken)
    }

    /// A host's line of the list.
    pub fn line(&mut self, host: &str, status: &str, since: u64) -> Value {
        line(self.host(host), status, since)
    }

    /// The change log's answer to the poll that waits.
    pub fn changes(&mut self, body: &str) {
        self.polled();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let stream = self.changelog.streams.last_mut().unwrap();
        stream.inbound.clear();
        stream.outbound.extend_from_slice(answer.as_bytes());
    }

    /// A part of an answer to the poll that waits, and the end of the connection.
    pub fn break_off(&mut self, part: &str) {
        self.polled();
        let mut stream = self.changelog.streams.pop().unwrap();
        write!(stream.socket, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{part}").unwrap();
    }

    /// Turns until a poll waits at the change log.
    pub fn polled(&mut self) {
        self.turn_until("no poll came", Self::is_polled);
    }

    fn turn_until(&mut self, else_what: &str, done: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !done(self) {
            self.turn();
            assert!(start.elapsed() < ms(3000), "{else_what}");
        }
    }

    /// The poll that waits, as a line.
    pub fn poll(&mut self) {
        self.polled();
        let stream = self.changelog.streams.last().unwrap();
        let text = String::from_utf8_lossy(&stream.inbound).into_owned();
        writeln!(self.trace, "change log reads {}", text.lines().next().unwrap_or_default()).unwrap();
    }

    /// Leaves the poll that waits without an answer, until another comes on a new connection.
    pub fn stop_changelog(&mut self) {
        self.polled();
        let had = self.changelog.streams.len();
        self.turn_until("the poll waits on", |rig| rig.changelog.streams.len() > had);
    }

    /// Another change log; what the earlier one has open stays so, in silence.
    pub fn move_changelog(&mut self) {
        let old = std::mem::replace(&mut self.changelog, StandIn::new("change log".into()));
        self.hosts.push(StandIn { name: "old change log".into(), ..old });
        self.dispatcher.set_change_log_address(Some(self.changelog.address));
    }

    /// The change log refuses connections from now on, or takes them again at the same address.
    pub fn refuse_at_changelog(&mut self, refuses: bool) {
        let StandIn { listener, streams, address, .. } = &mut self.changelog;
        if refuses {
            streams.clear();
            *listener = None;
        } else {
            let again = Socket::new(Domain::IPV4, Type::STREAM.nonblocking(), None).unwrap();
            again.set_reuse_address(true).unwrap();
            again.bind(&(*address).into()).unwrap();
            again.listen(64).unwrap();
            *listener = Some(again.into());
        }
    }

    /// Whether a poll has come to the change log and waits there.
    pub fn is_polled(&self) -> bool {
        self.changelog.streams.last().is_some_and(|stream| stream.inbound.ends_with(b"\r\n\r\n"))
    }

    /// Whether a host has read any request since the trace was so long.
    pub fn has_read_since(&self, host: &str, from: usize) -> bool {
        let mark = format!("{host} reads serve ");
        self.trace[from..].lines().any(|line| line.starts_with(&mark))
    }

    pub fn hang_up(&mut self, client: usize) {
        self.clients[client].stream.shutdown(Shutdown::Both).unwrap();
        self.clients[client].closed = true;
    }

    pub fn settle(&mut self, span: u64) {
        let start = Instant::now();
        while start.elapsed() < ms(span) {
            self.turn();
        }
    }

    /// Turns until so many more lines stand in the trace, and a little longer for what should not come.
    pub fn until(&mut self, lines: usize) {
        let wanted = self.trace.lines().count() + lines;
        let (start, mut done) = (Instant::now(), None);
        while start.elapsed() < ms(3000) && done.is_none_or(|at: Instant| at.elapsed() < ms(20)) {
            self.turn();
            done = done.or((self.trace.lines().count() >= wanted).then(Instant::now));
        }
        assert!(done.is_some(), "too little came:\n{}", self.trace);
    }

    pub fn turn(&mut self) {
        self.turn_with(|_| ());
    }

    /// A turn in which something happens after the loop has told what is ready.
    pub fn turn_with(&mut self, happens: impl FnOnce(&mut Self)) {
        self.turns.dispatch(ms(1).min(self.dispatcher.poll_timeout()), &mut self.dispatcher).unwrap();
        happens(self);
        self.dispatcher.process_events();
        let Self { hosts, changelog, clients, last, deaf, trace, .. } = self;
        for host in hosts.iter_mut().chain([changelog]) {
            while let Some(Ok((stream, _))) = host.listener.as_ref().map(TcpListener::accept) {
                stream.set_nonblocking(true).unwrap();
                let (inbound, outbound, ids) = (Vec::new(), Vec::new(), Vec::new());
                host.streams.push(Stream { socket: stream, inbound, outbound, ids, read_at: None });
            }
            let hangs = host.hangs;
            for Stream { socket, inbound, outbound, ids, read_at } in &mut host.streams {
                if !hangs {
                    let _ = socket.read_to_end(inbound);
                }
                let sent = socket.write(outbound).unwrap_or(0);
                outbound.drain(..sent);
                while let Some(words) = command(inbound) {
                    last.clone_from(&host.name);
                    ids.extend(words.get(1).cloned());
                    *read_at = Some(Instant::now());
                    writeln!(trace, "{} reads {}", host.name, masked(&words.join(" "))).unwrap();
                }
            }
        }
        for (i, client) in clients.iter_mut().enumerate().filter(|(_, c)| !c.closed && !*deaf) {
            client.closed = client.stream.read_to_end(&mut client.inbound).is_ok();
            while let Some(line) = client.next() {
                writeln!(trace, "client {i} reads {line}").unwrap();
            }
            if client.closed {
                if !client.rests {
                    let _ = client.stream.shutdown(Shutdown::Both);
                }
                writeln!(trace, "client {i} is closed").unwrap();
            }
        }
    }
}

fn clog(host: &mut StandIn) {
    host.streams.clear();
    host.listener = None;
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.set_reuse_address(true).unwrap();
    full.bind(&host.address.into()).unwrap();
    full.listen(0).unwrap();
    let waiting = (0..3).flat_map(|_| TcpStream::connect_timeout(&host.address, ms(20)));
    host.clogged = Some((full, waiting.collect()));
}

fn line(host: &StandIn, status: &str, since: u64) -> Value {
    let (kind, zone) = match host.name.split('-').next() {
        Some("cache") => ("standard", "edge"),
        Some("parent") => ("parent", "hub"),
        _ => ("origin", "hub"),
    };
    json!({"name": host.name, "address": host.address.to_string(), "zone": zone, "type": kind, "group": 0,
        "status": status, "weight": 8.0, "since_ms": since})
}

/// Takes a whole RESP command off what came; the change log's requests are left.
fn command(inbound: &mut Vec<u8>) -> Option<Vec<String>> {
    let text = String::from_utf8_lossy(inbound).into_owned();
    let mut lines = text.split("\r\n");
    let n: usize = lines.next()?.strip_prefix('*')?.parse().ok()?;
    let words: Vec<String> = (0..n).map_while(|_| lines.nth(1).map(str::to_owned)).collect();
    let rest: Vec<_> = lines.collect();
    let whole = words.len() == n && !rest.is_empty();
    whole.then(|| {
        inbound.drain(..text.len() - rest.join("\r\n").len());
        words
    })
}

/// Times are not the same twice: only that a limit is far under any fresh time is told.
fn masked(text: &str) -> String {
    ["ttl=", "cap=", "Back-Off-Ms: "].iter().fold(text.to_owned(), |text, marker| {
        let Some((before, after)) = text.split_once(marker) else { return text };
        let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
        let number = &after[..after.len() - rest.len()];
        let shown = if *marker != "cap=" {
            "*"
        } else if number.len() < 4 {
            "small"
        } else {
            number
        };
        format!("{before}{marker}{shown}{rest}")
    })
}

impl Client {
    /// Takes a record off what came; a line once it ends a request or belongs to none.
    fn next(&mut self) -> Option<String> {
        loop {
            let long = usize::from(u16::from_be_bytes([*self.inbound.get(4)?, *self.inbound.get(5)?]));
            if self.inbound.len() < 8 + long {
                return None;
            }
            let record: Vec<u8> = self.inbound.drain(..8 + long).collect();
            let (kind, number) = (record[1], u16::from_be_bytes([record[2], record[3]]));
            let text = String::from_utf8_lossy(&record[8..]).replace("\r\n", " | ");
            let said = self.texts.entry(number).or_default();
            match kind {
                6 => said.push_str(&text),
                3 if record[12] != 0 => return Some(format!("{number}: status {}", record[12])),
                3 if said.is_empty() => return Some(format!("{number}: ended without an answer")),
                3 => return Some(format!("{number}: {}", shortened(&masked(&std::mem::take(said))))),
                _ => return Some(format!("a record of type {kind}: {}", text.escape_default())),
            }
        }
    }
}

fn shortened(text: &str) -> String {
    if text.len() < 200 { text.to_owned() } else { format!("{}… {} bytes", &text[..100], text.len()) }
}

pub fn record(kind: u8, number: u16, content: &[u8]) -> Vec<u8> {
    let (number, long) = (number.to_be_bytes(), (content.len() as u16).to_be_bytes());
    let mut out = vec![1, kind, number[0], number[1], long[0], long[1], 3, 0];
    out.extend_from_slice(content);
    out.extend_from_slice(b"pad");
    out
}

/// A request for a part of an object as a client writes it: its number, its delivery service, what it tells otherwise than
/// usual, and its body.
pub fn asked(number: u16, ds: &str, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let (id, path) = (format!("{number:016x}"), format!("/rpc/{ds}"));
    let mut params = vec![
        ("SCRIPT_NAME", &*path),
        ("HTTP_REQUEST_ID", &id),
        ("HTTP_BUDGET_MS", "3000"),
        ("HTTP_RESOURCE_KEY", "7f3a9c21e0b4d655"),
        ("HTTP_X_CHUNK", "3"),
        ("HTTP_X_TAG", "17"),
    ];
    for &(name, value) in extra {
        params.retain(|&(known, _)| known != name);
        params.push((name, value));
    }
    request(number, &params, body)
}

/// A request as a client writes it, its parameters over two records.
pub fn request(number: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut told = Vec::new();
    for (name, value) in params {
        told.push(name.len() as u8);
        told.extend_from_slice(&(value.len() as u32 | 0x8000_0000).to_be_bytes());
        told.extend_from_slice(name.as_bytes());
        told.extend_from_slice(value.as_bytes());
    }
    let (first, second) = told.split_at(told.len() / 3);
    let head = [(1, &[0, 1, 1, 0, 0, 0, 0, 0][..]), (4, first), (4, second), (4, &[])];
    let body = [(5, body), (5, &[])];
    let body = &body[usize::from(body[0].1.is_empty())..];
    head.iter().chain(body).flat_map(|(kind, part)| record(*kind, number, part)).collect()
}
