//! Shared test support: settings and hosts of a small location, a decision sink that prints decisions as a trace, a rig
//! for the router alone, and a rig that runs the dispatcher against stub servers on loopback sockets.
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

/// Settings with four delivery services: 0 video (never stale), 1 photo (fresh 5 s, grace 30 s), 2 confirm (a write, never
/// run twice), 3 order (tokened).
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, aim_ms: f64| json!({"name": name, "aim_ms": aim_ms, "aim_stretch": 1.6, "deadline_ms": 5000.0, "effect": effect, "group": "zone", "key_ttl_ms": 5000.0});
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

/// Returns the list entry of an active host: a cache of weight 4 in zone 1, or a parent of weight 30 or the origin in zone 0.
pub fn host_entry(host: HostIndex) -> HostEntry {
    let (kind, zone, weight) = match host {
        ORIGIN => (2, 0, 1.0),
        host if PARENTS.contains(&host) => (1, 0, 30.0),
        _ => (0, 1, 4.0),
    };
    let id_hash = 0x9e37_79b9 * (host as u64 + 1);
    HostEntry {
        host,
        id_hash,
        status: HostStatus::Active,
        start: Start::default(),
        zone,
        cell: 0,
        kind,
        weight,
        withheld_fraction: 0.0,
    }
}

/// A decision sink that prints each decision on a line of its own.
#[derive(Default)]
pub struct Trace {
    pub lines: String,
    pub last_forward: Option<Forward>,
    pub forwarded_to: Vec<HostIndex>,
    now: Duration,
}

/// The name of a host in the trace.
pub fn host_name(host: HostIndex) -> String {
    match host {
        ORIGIN => "origin".into(),
        host if PARENTS.contains(&host) => format!("parent {host}"),
        _ => format!("cache {host}"),
    }
}

impl Trace {
    fn push_line(&mut self, line: Arguments<'_>) {
        writeln!(self.lines, "{:>6} ms  {line}", self.now.as_millis()).unwrap();
    }

    /// Adds a comment line to the trace.
    pub fn comment(&mut self, text: &str) {
        writeln!(self.lines, "# {text}").unwrap();
    }
}

impl DecisionSink for Trace {
    fn forward(&mut self, get: GetIndex, forward: &Forward) {
        self.last_forward = Some(*forward);
        self.forwarded_to.push(forward.host);
        let (host, source) = (host_name(forward.host), host_name(forward.source));
        let age = if forward.accepted_age.is_zero() {
            "any age".into()
        } else {
            format!("{:?}", forward.accepted_age)
        };
        let renew = if forward.renew { ", renew" } else { "" };
        let only_if_cached = if forward.only_if_cached { " if it holds it" } else { "" };
        self.push_line(format_args!(
            "GET {get} to {host}, from {source}{only_if_cached}, rank {}, {age}{renew}",
            forward.retention_rank
        ));
    }

    fn withdraw(&mut self, get: GetIndex, attempt: u32) {
        self.push_line(format_args!("GET {get} withdrawn, forward {attempt}"));
    }

    fn shed(&mut self, get: GetIndex, retry_after: Option<Duration>) {
        let preposition = if retry_after.is_some() { "with" } else { "without" };
        self.push_line(format_args!("GET {get} shed, {preposition} a time to come back"));
    }

    fn error(&mut self, get: GetIndex) {
        self.push_line(format_args!("GET {get} errored"));
    }

    fn release(&mut self, get: GetIndex) {
        self.push_line(format_args!("GET {get} settled"));
    }

    fn schedule_wakeup(&mut self, _after: Duration) {}

    fn subscribe_host_list(&mut self) {
        self.push_line(format_args!("follow the list"));
    }

    fn log(&mut self, line: Arguments<'_>) {
        self.push_line(format_args!("log: {line}"));
    }
}

/// A router with a trace of its decisions and a clock that the test sets.
pub struct RouterRig {
    pub router: Router,
    pub trace: Trace,
    pub now: Duration,
}

impl RouterRig {
    /// Creates a router that has loaded the six hosts from a persisted list.
    pub fn new(settings: Value) -> Self {
        let router = Router::new(settings.as_object().unwrap(), 7).unwrap();
        let mut rig = Self { router, trace: Trace::default(), now: ms(100_000) };
        rig.apply_host_list(ListUpdate::Persisted, &(0..6).map(host_entry).collect::<Vec<_>>());
        rig
    }

    /// Delivers events to the router in one round at the current time.
    pub fn round(&mut self, events: impl FnOnce(&mut myrtlegauge::decide::Round<'_, Trace>)) {
        self.trace.now = self.now;
        self.router.round(self.now, &mut self.trace, events);
    }

    /// Delivers a host list or changes to it.
    pub fn apply_host_list(&mut self, update: ListUpdate, entries: &[HostEntry]) {
        self.round(|round| round.on_host_list(update, entries));
    }

    /// Starts a GET whose object takes 100 ms to send and returns the index that it got.
    pub fn start_get(&mut self, ds: usize, object: u64) -> GetIndex {
        let mut get_index = 0;
        let get = Get { ds, object, size_kb: 1000.0, viewer_timeout: ms(5000), ..Get::default() };
        self.round(|round| {
            get_index = round.next_get_index();
            round.on_get(get);
        });
        get_index
    }

    /// Reports the outcome of a forward. All of its time beyond the 100 ms of sending counts as the wait for the source, unless
    /// it is a hit.
    pub fn end_forward(&mut self, get: GetIndex, attempt: u32, end: End, note: Note, elapsed_ms: u64) {
        let is_answered = end == End::Returned;
        let source_wait_ms = if note == Note::Hit { 0 } else { elapsed_ms.saturating_sub(100) };
        let (elapsed, source_wait) = (ms(elapsed_ms), ms(source_wait_ms));
        let outcome = Outcome {
            attempt,
            end,
            elapsed,
            is_answered,
            note,
            is_unmodified: false,
            source_wait,
            load: LoadReport::default(),
        };
        self.round(|round| round.on_outcome(get, &outcome));
    }

    /// Advances the clock and wakes the router up.
    pub fn advance(&mut self, duration_ms: u64) {
        self.now += ms(duration_ms);
        self.round(|round| round.on_wakeup());
    }
}

/// A dispatcher on loopback sockets with stub hosts, a stub change log and clients, all in one thread. Each message that a
/// stub or a client reads becomes a line of the trace, with times masked.
pub struct DispatcherRig {
    event_loop: EventLoop<'static, Dispatcher>,
    pub dispatcher: Dispatcher,
    listen_address: SocketAddr,
    hosts: Vec<StubServer>,
    changelog: StubServer,
    clients: Vec<Client>,
    /// The stub that was the last to read a command.
    pub last_reader: String,
    /// While set, the clients read nothing.
    pub clients_paused: bool,
    pub trace: String,
}

/// A stub of a host or of the change log.
struct StubServer {
    name: String,
    listener: Option<TcpListener>,
    address: SocketAddr,
    connections: Vec<StubConnection>,
    /// Set while the accept queue is full: the listening socket and the connections that fill its queue.
    full_queue: Option<(Socket, Vec<TcpStream>)>,
    /// While set, the stub reads nothing. With shrunk receive buffers it then holds only little unread data.
    reading_paused: bool,
    /// When the stub last began to read again.
    resumed_at: Option<Instant>,
}

/// A connection to a stub, with the bytes not yet parsed and those not yet sent.
struct StubConnection {
    socket: TcpStream,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
    /// The ids of the requests read on this connection.
    request_ids: Vec<String>,
    last_read_at: Option<Instant>,
}

/// A client connection, with the bytes not yet parsed and the answers received in part, by request number.
struct Client {
    stream: TcpStream,
    inbound: Vec<u8>,
    partial_answers: BTreeMap<u16, String>,
    is_closed: bool,
    /// The client keeps its side open after the dispatcher has closed the connection.
    ignores_peer_close: bool,
}

impl StubServer {
    fn new(name: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self {
            name,
            listener: Some(listener),
            address,
            connections: Vec::new(),
            full_queue: None,
            reading_paused: false,
            resumed_at: None,
        }
    }
}

/// The limits of a rig whose test does not set its own.
pub const DEFAULT_LIMITS: ResourceLimits = ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 };

/// The event that gives a starting dispatcher the full host list.
fn full_host_list(hosts: &[StubServer]) -> Value {
    let lines: Vec<_> = hosts.iter().map(|host| host_line(host, "active", 0)).collect();
    json!({"seq": 1, "results": [{"seq": 1, "fleet": {"index": 0, "snapshot": true, "endpoints": lines}}]})
}

/// The names of the stub hosts.
pub const HOSTS: [&str; 6] = ["cache-0", "cache-1", "cache-2", "parent-3", "parent-4", "origin-5"];

impl DispatcherRig {
    /// Starts the dispatcher with the test settings and the full host list already known.
    pub fn new() -> Self {
        Self::with_settings(settings(), DEFAULT_LIMITS)
    }

    /// Starts the dispatcher with these settings and limits, and the full host list already known.
    pub fn with_settings(settings: Value, limits: ResourceLimits) -> Self {
        let hosts: Vec<_> = HOSTS.iter().map(|name| StubServer::new((*name).into())).collect();
        let known = full_host_list(&hosts);
        Self::with_all_guards(hosts, settings, limits, &known)
    }

    /// Starts the dispatcher with these change log events as already known.
    pub fn with_known_events(settings: Value, limits: ResourceLimits, known: &Value) -> Self {
        Self::with_all_guards(
            HOSTS.iter().map(|name| StubServer::new((*name).into())).collect(),
            settings,
            limits,
            known,
        )
    }

    /// Starts the dispatcher without one of its guards.
    pub fn without_guard(guard: Rule, settings: Value) -> Self {
        let hosts = HOSTS.iter().map(|name| StubServer::new((*name).into())).collect::<Vec<_>>();
        let known = full_host_list(&hosts);
        Self::start(hosts, settings, DEFAULT_LIMITS, &known, Guards::without(guard))
    }

    fn with_all_guards(
        hosts: Vec<StubServer>,
        settings: Value,
        limits: ResourceLimits,
        known: &Value,
    ) -> Self {
        Self::start(hosts, settings, limits, known, Guards::ALL)
    }

    fn start(
        hosts: Vec<StubServer>,
        settings: Value,
        limits: ResourceLimits,
        known: &Value,
        guards: Guards,
    ) -> Self {
        let known = known.to_string();
        let changelog = StubServer::new("change log".into());
        let event_loop = EventLoop::try_new().unwrap();
        let startup = Startup {
            zones: None,
            member: None,
            replicas: None,
            listen: ([127, 0, 0, 1], 0).into(),
            change_log: changelog.address,
            known_changes: serde_json::from_str(&known).unwrap(),
            settings: settings.as_object().unwrap(),
            seed: 7,
            resource_limits: limits,
            guards,
        };
        let dispatcher = Dispatcher::start(event_loop.handle(), startup).unwrap();
        let listen_address = dispatcher.address().unwrap();
        let (clients, last_reader, clients_paused, trace) = (Vec::new(), String::new(), false, String::new());
        let mut rig = Self {
            event_loop,
            dispatcher,
            listen_address,
            hosts,
            changelog,
            clients,
            last_reader,
            clients_paused,
            trace,
        };
        rig.connect_client();
        rig
    }

    /// Opens another client connection and returns its index.
    pub fn connect_client(&mut self) -> usize {
        let stream = TcpStream::connect(self.listen_address).unwrap();
        stream.set_nonblocking(true).unwrap();
        // Without this, Nagle's algorithm would hold a write back until earlier bytes are acknowledged.
        stream.set_nodelay(true).unwrap();
        self.clients.push(Client {
            stream,
            inbound: Vec::new(),
            partial_answers: BTreeMap::new(),
            is_closed: false,
            ignores_peer_close: false,
        });
        self.clients.len() - 1
    }

    /// Adds a comment line to the trace.
    pub fn comment(&mut self, text: &str) {
        writeln!(self.trace, "# {text}").unwrap();
    }

    /// Writes bytes from a client.
    pub fn write(&mut self, client: usize, bytes: &[u8]) {
        self.clients[client].stream.write_all(bytes).unwrap();
    }

    /// Sends a request from the first client; `extra` replaces or adds parameters.
    pub fn send_get(&mut self, number: u16, ds: &str, extra: &[(&str, &str)]) {
        self.write(0, &object_request(number, ds, extra, b""));
    }

    fn host_mut(&mut self, name: &str) -> &mut StubServer {
        self.hosts.iter_mut().find(|host| host.name == name).unwrap()
    }

    /// Answers the request with this number, from the host that was the last to read a command.
    pub fn answer(&mut self, number: u16, status: &str, fields: &str, body: &str) {
        let id = format!("{number:016x}");
        let needs_version = matches!(status, "200" | "304") && !fields.contains("rev=");
        let fields = &format!(
            "{fields}{}",
            if needs_version { ",rev=4be0c1927d55a6f3,since=1764576000123" } else { "" }
        );
        let encoded: String =
            [&id, status, fields, body].map(|part| format!("${}\r\n{part}\r\n", part.len())).concat();
        let host = self.last_reader.clone();
        let connections = &mut self.host_mut(&host).connections;
        let index = connections
            .iter()
            .rposition(|connection| connection.request_ids.contains(&id))
            .unwrap_or(connections.len() - 1);
        connections[index].outbound.extend_from_slice(format!("*4\r\n{encoded}").as_bytes());
    }

    /// Sends raw bytes from the host that was the last to read a command, on the connection that it last read from.
    pub fn answer_raw(&mut self, bytes: &[u8]) {
        let host = self.last_reader.clone();
        let connection =
            self.host_mut(&host).connections.iter_mut().max_by_key(|connection| connection.last_read_at);
        connection.unwrap().outbound.extend_from_slice(bytes);
    }

    /// Closes all connections of a host, and its listener too if it is to refuse connections from then on.
    pub fn close_host(&mut self, host: &str, refuses: bool) {
        let host = self.host_mut(host);
        host.connections.clear();
        host.listener = host.listener.take().filter(|_| !refuses);
    }

    /// Resets all connections of a host, which still accepts new ones.
    pub fn reset_host(&mut self, host: &str) {
        for StubConnection { socket, .. } in self.host_mut(host).connections.drain(..) {
            socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }

    /// Fills a host's accept queue: from now on connections to it are neither established nor refused.
    pub fn fill_accept_queue(&mut self, host: &str) {
        fill_accept_queue(self.host_mut(host));
    }

    /// Empties the full accept queue of a stub, which then accepts connections again. Connections that found the queue full are
    /// established when the system sends their SYN again.
    pub fn empty_accept_queue(&mut self, host: &str) {
        let host = if host == "change log" { &mut self.changelog } else { self.host_mut(host) };
        let (full, waiting) = host.full_queue.take().expect("the accept queue is not full");
        drop(waiting);
        full.listen(64).unwrap();
        full.set_nonblocking(true).unwrap();
        host.listener = Some(full.into());
        // The connections that filled the queue are accepted and dropped first.
        while host.listener.as_ref().is_some_and(|listener| listener.accept().is_ok()) {}
    }

    /// Closes the change log's connections and fills its accept queue.
    pub fn fill_changelog_accept_queue(&mut self) {
        fill_accept_queue(&mut self.changelog);
    }

    /// Makes a host stop reading, or read again.
    pub fn set_reading_paused(&mut self, host: &str, paused: bool) {
        let host = self.host_mut(host);
        if host.reading_paused && !paused {
            host.resumed_at = Some(Instant::now());
        }
        host.reading_paused = paused;
    }

    /// Shrinks the receive buffers and segments of all hosts, for connections accepted from now on.
    pub fn shrink_receive_buffers(&mut self) {
        for host in &mut self.hosts {
            let listener = host.listener.as_ref().unwrap();
            socket2::SockRef::from(listener).set_recv_buffer_size(4096).unwrap();
            socket2::SockRef::from(listener).set_tcp_mss(600).unwrap();
        }
    }

    /// Counts the forwards with this id that a host has read so far.
    pub fn forwards_read_by(&self, host: &str, id: u16) -> usize {
        let (id, prefix) = (format!("serve {id:016x}"), format!("{host} reads "));
        self.trace.lines().filter(|line| line.starts_with(&prefix) && line.contains(&id)).count()
    }

    /// Counts the forwards with this id that all hosts have read so far.
    pub fn forwards_read(&self, id: u16) -> usize {
        HOSTS.iter().map(|host| self.forwards_read_by(host, id)).sum()
    }

    /// Resets a client's connection.
    pub fn reset_client(&mut self, client: usize) {
        let stream = &self.clients[client].stream;
        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
        // The client keeps its index, with a connection that no process accepts.
        let nowhere = TcpListener::bind("127.0.0.1:0").unwrap();
        self.clients[client].stream = TcpStream::connect(nowhere.local_addr().unwrap()).unwrap();
        self.clients[client].is_closed = true;
    }

    /// From now on a client keeps its side open when the dispatcher closes the connection.
    pub fn ignore_peer_close(&mut self, client: usize) {
        self.clients[client].ignores_peer_close = true;
    }

    /// Starts a thread that writes `piece` repeatedly on a client's connection, until it has written `max_bytes`, the connection
    /// is closed, or 3 s have passed. The thread returns the number of bytes written.
    pub fn flood(&self, client: usize, piece: Vec<u8>, max_bytes: usize) -> std::thread::JoinHandle<usize> {
        let mut stream = self.clients[client].stream.try_clone().unwrap();
        std::thread::spawn(move || {
            let (mut written, mut offset, start) = (0, 0, Instant::now());
            while written < max_bytes && start.elapsed() < ms(3000) {
                match stream.write(&piece[offset..]) {
                    Ok(count) => (written, offset) = (written + count, (offset + count) % piece.len()),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => std::thread::yield_now(),
                    Err(_) => break,
                }
            }
            written
        })
    }

    /// Writes from a client, running iterations whenever the socket buffer is full, for at most 1 s.
    pub fn write_while_running(&mut self, client: usize, mut bytes: &[u8]) {
        let start = Instant::now();
        while !bytes.is_empty() && start.elapsed() < ms(1000) {
            match self.clients[client].stream.write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(_) => self.run_iteration(),
            }
        }
    }

    /// Sends a host's pending bytes now, without an iteration of the dispatcher.
    pub fn flush_host(&mut self, host: &str) {
        for StubConnection { socket, outbound, .. } in &mut self.host_mut(host).connections {
            socket.write_all(outbound).unwrap();
            outbound.clear();
        }
    }

    /// Sends another answer under an id, on the first connection on which the host read that id.
    pub fn answer_again_on_first_connection(&mut self, host: &str, id: u16, status: &str) {
        let id = format!("{id:016x}");
        let connection = self
            .host_mut(host)
            .connections
            .iter_mut()
            .find(|connection| connection.request_ids.contains(&id))
            .unwrap();
        let encoded = format!("*4\r\n$16\r\n{id}\r\n$3\r\n{status}\r\n$1\r\n-\r\n$0\r\n\r\n");
        connection.outbound.extend_from_slice(encoded.as_bytes());
    }

    /// Sends a host's pending bytes in two pieces.
    pub fn flush_in_pieces(&mut self, host: &str) {
        for StubConnection { socket, outbound, .. } in &mut self.host_mut(host).connections {
            let half = outbound.len() / 2;
            let sent = socket.write(&outbound[..half]).unwrap_or(0);
            outbound.drain(..sent);
        }
        // The second half is sent after an iteration in which the dispatcher reads the first.
        self.event_loop.dispatch(Some(ms(1)), &mut self.dispatcher).unwrap();
        self.dispatcher.process_events();
    }

    /// Whether a host is not reading, or began to read again less than 50 ms ago and may still read earlier requests.
    pub fn may_have_unread_requests(&self, host: &str) -> bool {
        self.hosts.iter().any(|stub| {
            stub.name == host
                && (stub.reading_paused
                    || stub.resumed_at.is_some_and(|resumed_at| resumed_at.elapsed() < ms(50)))
        })
    }

    /// Counts the connections that a host has accepted since it was last closed, reset or blocked.
    pub fn connection_count(&mut self, host: &str) -> usize {
        self.host_mut(host).connections.len()
    }

    /// Counts a host's connections that the dispatcher has closed, and those that it has reset.
    pub fn closed_and_reset_counts(&mut self, host: &str) -> (usize, usize) {
        let (mut closed, mut reset) = (0, 0);
        for StubConnection { socket, .. } in &mut self.host_mut(host).connections {
            if socket.write(b"x").is_err() {
                reset += 1;
            } else if matches!(socket.read(&mut [0]), Ok(0)) {
                closed += 1;
            }
        }
        (closed, reset)
    }

    /// Counts the connections that the change log has accepted.
    pub fn changelog_connection_count(&self) -> usize {
        self.changelog.connections.len()
    }

    /// Sends a piece of the change log's answer.
    pub fn write_poll_answer_piece(&mut self, piece: &[u8]) {
        let connection = self.changelog.connections.last_mut().unwrap();
        connection.inbound.clear();
        connection.outbound.extend_from_slice(piece);
    }

    /// Whether a client that writes on its connection now meets a reset.
    pub fn is_client_reset(&mut self, client: usize) -> bool {
        let is_fatal = |error: &std::io::Error| error.kind() != std::io::ErrorKind::WouldBlock;
        let stream = &mut self.clients[client].stream;
        let written = stream.write_all(&record(5, 99, b"more"));
        self.run_for_ms(20);
        let stream = &mut self.clients[client].stream;
        written.is_err() || stream.write_all(&record(5, 99, b"more")).as_ref().is_err_and(is_fatal)
    }

    /// Returns a host's line of the host list.
    pub fn host_line(&mut self, host: &str, status: &str, since_ms: u64) -> Value {
        host_line(self.host_mut(host), status, since_ms)
    }

    /// Answers the pending poll from the change log.
    pub fn answer_poll(&mut self, body: &str) {
        self.wait_for_poll();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let connection = self.changelog.connections.last_mut().unwrap();
        connection.inbound.clear();
        connection.outbound.extend_from_slice(answer.as_bytes());
    }

    /// Sends the beginning of an answer to the pending poll and closes the connection.
    pub fn truncate_poll_answer(&mut self, part: &str) {
        self.wait_for_poll();
        let mut connection = self.changelog.connections.pop().unwrap();
        write!(connection.socket, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{part}").unwrap();
    }

    /// Runs iterations until a poll is pending at the change log.
    pub fn wait_for_poll(&mut self) {
        self.turn_until("no poll reached the change log within 3 s", Self::is_poll_pending);
    }

    fn turn_until(&mut self, failure: &str, done: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !done(self) {
            self.run_iteration();
            assert!(start.elapsed() < ms(3000), "{failure}");
        }
    }

    /// Adds the request line of the pending poll to the trace.
    pub fn trace_poll(&mut self) {
        self.wait_for_poll();
        let connection = self.changelog.connections.last().unwrap();
        let text = String::from_utf8_lossy(&connection.inbound).into_owned();
        writeln!(self.trace, "change log reads {}", text.lines().next().unwrap_or_default()).unwrap();
    }

    /// Leaves the pending poll without an answer until the dispatcher polls on a new connection.
    pub fn wait_for_poll_timeout(&mut self) {
        self.wait_for_poll();
        let earlier_count = self.changelog.connections.len();
        self.turn_until("the silent poll was not given up within 3 s", |rig| {
            rig.changelog.connections.len() > earlier_count
        });
    }

    /// Moves the dispatcher to another change log. The connections of the earlier one stay open and silent.
    pub fn move_changelog(&mut self) {
        let old = std::mem::replace(&mut self.changelog, StubServer::new("change log".into()));
        self.hosts.push(StubServer { name: "old change log".into(), ..old });
        self.dispatcher.set_change_log_address(Some(self.changelog.address));
    }

    /// Makes the change log refuse connections, or accept them again at the same address.
    pub fn set_changelog_refusing(&mut self, refuses: bool) {
        let StubServer { listener, connections, address, .. } = &mut self.changelog;
        if refuses {
            connections.clear();
            *listener = None;
        } else {
            let socket = Socket::new(Domain::IPV4, Type::STREAM.nonblocking(), None).unwrap();
            socket.set_reuse_address(true).unwrap();
            socket.bind(&(*address).into()).unwrap();
            socket.listen(64).unwrap();
            *listener = Some(socket.into());
        }
    }

    /// Whether a poll is pending at the change log.
    pub fn is_poll_pending(&self) -> bool {
        self.changelog.connections.last().is_some_and(|connection| connection.inbound.ends_with(b"\r\n\r\n"))
    }

    /// Whether a host has read any request since the trace had `trace_length` bytes.
    pub fn has_read_since(&self, host: &str, trace_length: usize) -> bool {
        let prefix = format!("{host} reads serve ");
        self.trace[trace_length..].lines().any(|line| line.starts_with(&prefix))
    }

    /// Closes a client's connection in both directions.
    pub fn close_client(&mut self, client: usize) {
        self.clients[client].stream.shutdown(Shutdown::Both).unwrap();
        self.clients[client].is_closed = true;
    }

    /// Runs iterations for this long.
    pub fn run_for_ms(&mut self, duration_ms: u64) {
        let start = Instant::now();
        while start.elapsed() < ms(duration_ms) {
            self.run_iteration();
        }
    }

    /// Runs iterations until the trace has this many more lines, and 20 ms longer so that unexpected lines show too.
    pub fn wait_for_lines(&mut self, lines: usize) {
        let wanted_count = self.trace.lines().count() + lines;
        let (start, mut reached_at) = (Instant::now(), None);
        while start.elapsed() < ms(3000) && reached_at.is_none_or(|time: Instant| time.elapsed() < ms(20)) {
            self.run_iteration();
            reached_at = reached_at.or((self.trace.lines().count() >= wanted_count).then(Instant::now));
        }
        assert!(reached_at.is_some(), "the trace has fewer lines than expected after 3 s:\n{}", self.trace);
    }

    /// Runs one iteration of the event loop with the dispatcher, then the stubs and the clients.
    pub fn run_iteration(&mut self) {
        self.run_iteration_with(|_| ());
    }

    /// Runs an iteration with an action between the event loop's report of ready sockets and their processing by the
    /// dispatcher.
    pub fn run_iteration_with(&mut self, action: impl FnOnce(&mut Self)) {
        self.event_loop.dispatch(ms(1).min(self.dispatcher.poll_timeout()), &mut self.dispatcher).unwrap();
        action(self);
        self.dispatcher.process_events();
        let Self { hosts, changelog, clients, last_reader, clients_paused, trace, .. } = self;
        for host in hosts.iter_mut().chain([changelog]) {
            while let Some(Ok((socket, _))) = host.listener.as_ref().map(TcpListener::accept) {
                socket.set_nonblocking(true).unwrap();
                let (inbound, outbound, request_ids) = (Vec::new(), Vec::new(), Vec::new());
                host.connections.push(StubConnection {
                    socket,
                    inbound,
                    outbound,
                    request_ids,
                    last_read_at: None,
                });
            }
            let paused = host.reading_paused;
            for StubConnection { socket, inbound, outbound, request_ids, last_read_at } in
                &mut host.connections
            {
                if !paused {
                    let _ = socket.read_to_end(inbound);
                }
                let sent = socket.write(outbound).unwrap_or(0);
                outbound.drain(..sent);
                while let Some(words) = take_command(inbound) {
                    last_reader.clone_from(&host.name);
                    request_ids.extend(words.get(1).cloned());
                    *last_read_at = Some(Instant::now());
                    writeln!(trace, "{} reads {}", host.name, mask_times(&words.join(" "))).unwrap();
                }
            }
        }
        for (index, client) in
            clients.iter_mut().enumerate().filter(|(_, client)| !client.is_closed && !*clients_paused)
        {
            client.is_closed = client.stream.read_to_end(&mut client.inbound).is_ok();
            while let Some(line) = client.next() {
                writeln!(trace, "client {index} reads {line}").unwrap();
            }
            if client.is_closed {
                if !client.ignores_peer_close {
                    let _ = client.stream.shutdown(Shutdown::Both);
                }
                writeln!(trace, "client {index} is closed").unwrap();
            }
        }
    }
}

/// Closes a stub's connections and fills its accept queue.
fn fill_accept_queue(host: &mut StubServer) {
    host.connections.clear();
    host.listener = None;
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.set_reuse_address(true).unwrap();
    full.bind(&host.address.into()).unwrap();
    full.listen(0).unwrap();
    let waiting = (0..3).flat_map(|_| TcpStream::connect_timeout(&host.address, ms(20)));
    host.full_queue = Some((full, waiting.collect()));
}

/// Returns the line of a host in the host list, with its zone and type taken from its name.
fn host_line(host: &StubServer, status: &str, since_ms: u64) -> Value {
    let (kind, zone) = match host.name.split('-').next() {
        Some("cache") => ("standard", "edge"),
        Some("parent") => ("parent", "hub"),
        _ => ("origin", "hub"),
    };
    json!({"name": host.name, "address": host.address.to_string(), "zone": zone, "type": kind, "group": 0,
        "status": status, "weight": 8.0, "since_ms": since_ms})
}

/// Takes a complete RESP command off the bytes received. Requests to the change log stay there.
fn take_command(inbound: &mut Vec<u8>) -> Option<Vec<String>> {
    let text = String::from_utf8_lossy(inbound).into_owned();
    let mut lines = text.split("\r\n");
    let count: usize = lines.next()?.strip_prefix('*')?.parse().ok()?;
    let words: Vec<String> = (0..count).map_while(|_| lines.nth(1).map(str::to_owned)).collect();
    let rest: Vec<_> = lines.collect();
    let is_complete = words.len() == count && !rest.is_empty();
    is_complete.then(|| {
        inbound.drain(..text.len() - rest.join("\r\n").len());
        words
    })
}

/// Masks times, which differ from run to run. An accepted age (`cap=`) below 1000 ms, far under any fresh time, is shown as
/// `small`.
fn mask_times(text: &str) -> String {
    ["ttl=", "cap=", "Back-Off-Ms: "].iter().fold(text.to_owned(), |text, marker| {
        let Some((before, after)) = text.split_once(marker) else { return text };
        let rest = after.trim_start_matches(|character: char| character.is_ascii_digit());
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
    /// Takes records off the bytes received, and returns a line for the first one that ends a request or belongs to none.
    fn next(&mut self) -> Option<String> {
        loop {
            let length = usize::from(u16::from_be_bytes([*self.inbound.get(4)?, *self.inbound.get(5)?]));
            if self.inbound.len() < 8 + length {
                return None;
            }
            let record: Vec<u8> = self.inbound.drain(..8 + length).collect();
            let (kind, number) = (record[1], u16::from_be_bytes([record[2], record[3]]));
            let text = String::from_utf8_lossy(&record[8..]).replace("\r\n", " | ");
            let answer = self.partial_answers.entry(number).or_default();
            match kind {
                6 => answer.push_str(&text),
                3 if record[12] != 0 => return Some(format!("{number}: status {}", record[12])),
                3 if answer.is_empty() => return Some(format!("{number}: ended without an answer")),
                3 => return Some(format!("{number}: {}", shorten(&mask_times(&std::mem::take(answer))))),
                _ => return Some(format!("a record of type {kind}: {}", text.escape_default())),
            }
        }
    }
}

/// Cuts a text of 200 bytes or more to its first 100, followed by its length.
fn shorten(text: &str) -> String {
    if text.len() < 200 { text.to_owned() } else { format!("{}… {} bytes", &text[..100], text.len()) }
}

/// A FastCGI record with three bytes of padding.
pub fn record(kind: u8, number: u16, content: &[u8]) -> Vec<u8> {
    let (number, length) = (number.to_be_bytes(), (content.len() as u16).to_be_bytes());
    let mut out = vec![1, kind, number[0], number[1], length[0], length[1], 3, 0];
    out.extend_from_slice(content);
    out.extend_from_slice(b"pad");
    out
}

/// A FastCGI request for a part of an object, to the delivery service `ds`. `extra` replaces or adds parameters.
pub fn object_request(number: u16, ds: &str, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
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

/// A FastCGI request whose parameters are split over two records.
pub fn request(number: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut encoded = Vec::new();
    for (name, value) in params {
        encoded.push(name.len() as u8);
        encoded.extend_from_slice(&(value.len() as u32 | 0x8000_0000).to_be_bytes());
        encoded.extend_from_slice(name.as_bytes());
        encoded.extend_from_slice(value.as_bytes());
    }
    let (first, second) = encoded.split_at(encoded.len() / 3);
    let head = [(1, &[0, 1, 1, 0, 0, 0, 0, 0][..]), (4, first), (4, second), (4, &[])];
    let body = [(5, body), (5, &[])];
    let body = &body[usize::from(body[0].1.is_empty())..];
    head.iter().chain(body).flat_map(|(kind, content)| record(*kind, number, content)).collect()
}
