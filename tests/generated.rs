//! Random sequences of steps by clients, hosts and the change log on real sockets. Invariants checked after each step:
//! - a client gets at most one answer to a GET, and exactly one if it waits for it;
//! - no forward is sent for a client that has disconnected, and none to a draining host after the grace time of the drain;
//! - each GET taken is answered, abandoned or in flight (asserted by the dispatcher itself in debug builds);
//! - at the end the dispatcher holds no client connection and no buffered byte.

mod common;

use common::{DispatcherRig, HOSTS, ms, object_request, record, settings};
use myrtlegauge_dispatcher::routing::ResourceLimits;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Time within which the platform requires a drain to take effect, with a margin.
const DRAIN_GRACE_MS: u64 = 300;

/// One action of a client, of a host or of the change log.
#[derive(Clone, Debug)]
enum Step {
    /// A client sends a GET: the client, the delivery service and the object.
    SendGet(usize, usize, u8),
    /// A client sends a GET and aborts it in the same write.
    SendAndAbort(usize, u8),
    /// A client sends the beginning of a GET, or the rest of one that it has begun.
    SendHalf(usize, u8),
    Abort(usize),
    CloseClient(usize),
    ResetClient(usize),
    /// A host answers the oldest command that it has read and not answered.
    Answer(usize, ResponseMode),
    /// A host sends a response to no command.
    SendUnrequested(usize),
    /// A host sends bytes that are not a valid response.
    SendMalformed(usize),
    CloseHost(usize),
    /// A host stops reading, or reads again.
    SetHanging(usize, bool),
    /// The change log lists a host as draining.
    Drain(usize),
    /// Time passes, in milliseconds.
    Wait(u8),
}

/// How a host answers a command.
#[derive(Clone, Copy, Debug)]
enum ResponseMode {
    Whole,
    InPieces,
    Twice,
    Full,
    Miss,
}

fn step() -> impl Strategy<Value = Step> {
    let mode = prop_oneof![
        4 => Just(ResponseMode::Whole),
        1 => Just(ResponseMode::InPieces),
        1 => Just(ResponseMode::Twice),
        1 => Just(ResponseMode::Full),
        1 => Just(ResponseMode::Miss),
    ];
    prop_oneof![
        8 => (0..3usize, 0..4usize, 0..8u8)
            .prop_map(|(client, service, object)| Step::SendGet(client, service, object)),
        2 => (0..3usize, 0..8u8).prop_map(|(client, object)| Step::SendAndAbort(client, object)),
        1 => (0..3usize, 0..8u8).prop_map(|(client, object)| Step::SendHalf(client, object)),
        2 => (0..3usize).prop_map(Step::Abort),
        1 => (0..3usize).prop_map(Step::CloseClient),
        1 => (0..3usize).prop_map(Step::ResetClient),
        8 => (0..HOSTS.len(), mode).prop_map(|(host, mode)| Step::Answer(host, mode)),
        1 => (0..HOSTS.len()).prop_map(Step::SendUnrequested),
        1 => (0..HOSTS.len()).prop_map(Step::SendMalformed),
        1 => (0..HOSTS.len()).prop_map(Step::CloseHost),
        1 => (0..HOSTS.len(), any::<bool>())
            .prop_map(|(host, is_hanging)| Step::SetHanging(host, is_hanging)),
        1 => (0..3usize).prop_map(Step::Drain),
        6 => (0..20u8).prop_map(Step::Wait),
    ]
}

/// A client connection and its unfinished GETs.
#[derive(Default)]
struct TestClient {
    /// Index of the connection in the rig.
    connection: usize,
    /// Ids of the GETs that have no answer yet.
    pending: BTreeSet<u16>,
    /// Id and remaining bytes of a GET that is partly sent.
    partial: Option<(u16, Vec<u8>)>,
    is_closed: bool,
}

/// A rig together with the state that the invariants are checked against.
struct Scenario {
    rig: DispatcherRig,
    clients: Vec<TestClient>,
    /// Time at which each GET was abandoned by its client, by id.
    abandoned_at: BTreeMap<u16, Instant>,
    last_id: u16,
    /// Number of trace lines checked so far.
    checked_lines: usize,
    /// Time at which each draining host was listed as draining.
    drained_at: BTreeMap<String, Instant>,
    /// Sequence number of the last change.
    seq: u64,
    /// Ids of the commands that each host has read and not answered.
    unanswered: BTreeMap<String, Vec<u16>>,
}

const SERVICES: [&str; 4] = ["video", "photo", "confirm", "order"];

fn encode_get(id: u16, service: usize, object: u8) -> Vec<u8> {
    let object = format!("{object:016x}");
    object_request(id, SERVICES[service], &[("HTTP_BUDGET_MS", "400"), ("HTTP_RESOURCE_KEY", &object)], b"")
}

impl Scenario {
    fn new() -> Self {
        let mut rig = DispatcherRig::with_settings(
            settings(),
            ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 },
        );
        let clients = (0..3)
            .map(|_| TestClient { connection: rig.connect_client(), ..TestClient::default() })
            .collect();
        let (abandoned_at, drained_at, unanswered) = Default::default();
        Self { rig, clients, abandoned_at, last_id: 0, checked_lines: 0, drained_at, seq: 1, unanswered }
    }

    /// Returns a client, on a new connection if its previous one is closed.
    fn open_client(&mut self, client: usize) -> &mut TestClient {
        if self.clients[client].is_closed {
            self.clients[client] =
                TestClient { connection: self.rig.connect_client(), ..TestClient::default() };
        }
        &mut self.clients[client]
    }

    /// Records that the connection of a client is closed and that its GETs are abandoned.
    fn mark_closed(&mut self, client: usize) {
        let client = &mut self.clients[client];
        client.is_closed = true;
        let now = Instant::now();
        self.abandoned_at.extend(std::mem::take(&mut client.pending).into_iter().map(|id| (id, now)));
    }

    /// Performs a step, then checks the trace.
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::SendGet(client, service, object) => {
                self.last_id += 1;
                let (id, bytes) = (self.last_id, encode_get(self.last_id, service, object));
                let connection = self.open_client(client).connection;
                self.clients[client].pending.insert(id);
                self.rig.write(connection, &bytes);
            }
            Step::SendAndAbort(client, object) => {
                self.last_id += 1;
                let id = self.last_id;
                let connection = self.open_client(client).connection;
                self.abandoned_at.insert(id, Instant::now());
                self.rig.write(connection, &[encode_get(id, 0, object), record(2, id, b"")].concat());
            }
            Step::SendHalf(client, object) => {
                self.last_id += 1;
                let id = self.last_id;
                let connection = self.open_client(client).connection;
                let bytes = encode_get(id, 1, object);
                let begun = self.clients[client].partial.take();
                if let Some((begun_id, rest)) = begun {
                    self.clients[client].pending.insert(begun_id);
                    self.rig.write(connection, &rest);
                } else {
                    // The cut is at the end of a record, so that records of other GETs may follow.
                    let cut = bytes.len() - 11;
                    self.clients[client].partial = Some((id, bytes[cut..].to_vec()));
                    self.rig.write(connection, &bytes[..cut]);
                }
            }
            Step::Abort(client) => {
                if let Some(id) = self.clients[client].pending.pop_first() {
                    self.abandoned_at.insert(id, Instant::now());
                    let connection = self.clients[client].connection;
                    self.rig.write(connection, &record(2, id, b""));
                }
            }
            Step::CloseClient(client) | Step::ResetClient(client) if !self.clients[client].is_closed => {
                let connection = self.clients[client].connection;
                if matches!(step, Step::ResetClient(_)) {
                    self.rig.reset_client(connection)
                } else {
                    self.rig.close_client(connection)
                }
                self.mark_closed(client);
            }
            Step::CloseClient(_) | Step::ResetClient(_) => {}
            Step::Answer(host, mode) => {
                let host = HOSTS[host];
                let Some(id) =
                    self.unanswered.get_mut(host).and_then(|ids| (!ids.is_empty()).then(|| ids.remove(0)))
                else {
                    return Ok(());
                };
                self.rig.last_reader = host.to_owned();
                if self.rig.connection_count(host) == 0 {
                    return Ok(());
                }
                match mode {
                    ResponseMode::Whole => self.rig.answer(id, "200", "why=TCP_HIT", "the bytes"),
                    ResponseMode::Twice => {
                        (0..2).for_each(|_| self.rig.answer(id, "200", "why=TCP_HIT", "the bytes"))
                    }
                    ResponseMode::Full => self.rig.answer(id, "503", "-", ""),
                    ResponseMode::Miss => self.rig.answer(id, "404", "why=PEER_MISS", ""),
                    ResponseMode::InPieces => {
                        self.rig.answer(id, "200", "why=TCP_HIT", "the bytes");
                        self.rig.flush_in_pieces(host);
                    }
                }
            }
            Step::SendUnrequested(host) if self.rig.connection_count(HOSTS[host]) > 0 => {
                self.rig.last_reader = HOSTS[host].to_owned();
                self.rig.answer(60_000, "200", "why=TCP_HIT", "unrequested");
            }
            Step::SendMalformed(host) if self.rig.connection_count(HOSTS[host]) > 0 => {
                self.rig.last_reader = HOSTS[host].to_owned();
                self.rig.answer_raw(b"?");
            }
            Step::SendUnrequested(_) | Step::SendMalformed(_) => {}
            Step::CloseHost(host) => {
                self.rig.close_host(HOSTS[host], false);
                self.unanswered.remove(HOSTS[host]);
            }
            Step::SetHanging(host, is_hanging) => self.rig.set_reading_paused(HOSTS[host], is_hanging),
            Step::Drain(host) => {
                // At least one of the three caches stays active.
                if self.drained_at.len() < 2 && !self.drained_at.contains_key(HOSTS[host]) {
                    self.seq += 1;
                    let entry = json!({"name": HOSTS[host], "status": "leaving"});
                    let change = json!({"seq": self.seq, "fleet": {"endpoints": [entry]}});
                    self.rig.answer_poll(&json!({"seq": self.seq, "results": [change]}).to_string());
                    self.drained_at.insert(HOSTS[host].to_owned(), Instant::now());
                }
            }
            Step::Wait(wait_ms) => self.rig.run_for_ms(u64::from(wait_ms)),
        }
        self.rig.run_iteration();
        self.check_trace()
    }

    /// Checks the trace lines added since the last check against the invariants.
    fn check_trace(&mut self) -> Result<(), TestCaseError> {
        let lines: Vec<String> = self.rig.trace.lines().skip(self.checked_lines).map(str::to_owned).collect();
        self.checked_lines += lines.len();
        for line in lines {
            if let Some((host, rest)) = line.split_once(" reads serve ") {
                let id = u16::from_str_radix(&rest[..16], 16).unwrap();
                self.unanswered.entry(host.to_owned()).or_default().push(id);
                if !self.rig.may_have_unread_requests(host) {
                    let abandoned = self.abandoned_at.get(&id).filter(|at| at.elapsed() > ms(100));
                    prop_assert!(
                        abandoned.is_none(),
                        "{line}: forward for an abandoned GET\n{}",
                        self.rig.trace
                    );
                    let draining = self.drained_at.get(host).filter(|at| at.elapsed() > ms(DRAIN_GRACE_MS));
                    prop_assert!(
                        draining.is_none(),
                        "{line}: forward to a draining host\n{}",
                        self.rig.trace
                    );
                }
            } else if let Some((connection, rest)) =
                line.strip_prefix("client ").and_then(|text| text.split_once(" reads "))
            {
                let id: u16 = rest.split(':').next().unwrap().parse().unwrap();
                let connection: usize = connection.parse().unwrap();
                let is_expected = self
                    .clients
                    .iter_mut()
                    .any(|client| client.connection == connection && client.pending.remove(&id));
                let is_abandoned = self.abandoned_at.contains_key(&id);
                prop_assert!(is_expected || is_abandoned, "{line}: a second answer\n{}", self.rig.trace);
            }
        }
        Ok(())
    }

    /// Checks that all pending GETs are answered by their deadline, and that the dispatcher stops and holds nothing then.
    fn check_end(&mut self) -> Result<(), TestCaseError> {
        // Hosts that were hanging now read the commands that were sent before.
        for host in HOSTS {
            self.rig.set_reading_paused(host, false);
        }
        self.rig.run_for_ms(20);
        self.check_trace()?;
        self.rig.run_for_ms(430);
        self.check_trace()?;
        for client in &self.clients {
            prop_assert!(
                client.pending.is_empty(),
                "GETs {:?} have no answer\n{}",
                client.pending,
                self.rig.trace
            );
        }
        self.rig.dispatcher.stop();
        let start = Instant::now();
        while !self.rig.dispatcher.is_done() && start.elapsed() < ms(3700) {
            self.rig.run_iteration();
        }
        prop_assert!(self.rig.dispatcher.is_done(), "the dispatcher did not stop\n{}", self.rig.trace);
        prop_assert_eq!(
            (self.rig.dispatcher.buffered_bytes(), self.rig.dispatcher.client_connections()),
            (0, 0)
        );
        Ok(())
    }
}

/// The steps are the same in each run. `GENERATED_SEED` selects other sequences, and `GENERATED_CASES` sets their number.
#[test]
fn each_waiting_client_gets_one_answer_for_any_order_of_steps() {
    let variable = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
    };
    let mut seed = [7; 32];
    seed[..8].copy_from_slice(&variable("GENERATED_SEED", 7).to_le_bytes());
    let config = Config {
        cases: variable("GENERATED_CASES", 16) as u32,
        max_shrink_iters: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let steps = proptest::collection::vec(step(), 20..70);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut scenario = Scenario::new();
        for step in &steps {
            scenario.apply(step)?;
        }
        scenario.check_end()
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
