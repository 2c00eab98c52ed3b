//! Calls that end alone beside others on the same connection, over sockets: abandoned ones, and ones whose answer is
//! malformed.

mod common;

use common::{ms, record};
use fastrand::Rng;
use myrtlegauge_client::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const ABORT: u8 = 2;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;
/// Length of a record's header.
const HEADER_BYTES: usize = 8;
/// Connections that a client holds to one dispatcher at most.
const MAX_CONNECTIONS: usize = 2;
/// One of so many videos has a spoilt answer.
const SPOILT_ONE_IN: u8 = 6;
const BUDGET: Duration = Duration::from_millis(2000);
const VIDEO: usize = 0;
const CONFIRM: usize = 1;

/// What a dispatcher does beside answering in two parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Ends an aborted request, after what it has written of its answer.
    EndsAborted,
    /// Never ends an aborted request.
    KeepsAborted,
    /// Answers some videos without a head. A dispatcher that did so with most would be avoided.
    AnswersSomeMalformed,
    /// Answers some videos beyond the size limit.
    AnswersSomeTooLarge,
}

/// A dispatcher and the number of connections that it accepted.
struct ScriptedDispatcher {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl ScriptedDispatcher {
    fn start(behaviour: Behaviour, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, connections) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
        let accepted = Arc::clone(&connections);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = accepted.fetch_add(1, Ordering::SeqCst) as u64;
                let rng = Rng::with_seed(seed ^ number << 32);
                std::thread::spawn(move || DispatcherConnection::new(stream, behaviour, rng).serve());
            }
        });
        Self { address, connections }
    }
}

/// A request that was read and not answered whole.
struct OpenRequest {
    number: u16,
    /// Its answer is spoilt, if the dispatcher spoils any.
    is_spoilt: bool,
    is_whole: bool,
    begins_at: Instant,
    ends_at: Instant,
    has_begun: bool,
}

struct DispatcherConnection {
    stream: TcpStream,
    behaviour: Behaviour,
    rng: Rng,
    inbound: Vec<u8>,
    open: Vec<OpenRequest>,
}

impl DispatcherConnection {
    fn new(stream: TcpStream, behaviour: Behaviour, rng: Rng) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(ms(1))).unwrap();
        Self { stream, behaviour, rng, inbound: Vec::new(), open: Vec::new() }
    }

    fn serve(mut self) {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => self.inbound.extend_from_slice(&buffer[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return,
            }
            let mut out = Vec::new();
            while let Some((kind, number, content)) = self.next_record() {
                self.on_record(kind, number, &content, &mut out);
            }
            self.write_due_answers(&mut out);
            if self.stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn next_record(&mut self) -> Option<(u8, u16, Vec<u8>)> {
        let header: [u8; HEADER_BYTES] = self.inbound.get(..HEADER_BYTES)?.try_into().unwrap();
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let end = HEADER_BYTES + length + usize::from(header[6]);
        let content = self.inbound.get(..end)?[HEADER_BYTES..HEADER_BYTES + length].to_vec();
        self.inbound.drain(..end);
        Some((header[1], u16::from_be_bytes([header[2], header[3]]), content))
    }

    fn on_record(&mut self, kind: u8, number: u16, content: &[u8], out: &mut Vec<u8>) {
        match kind {
            PARAMS if !content.is_empty() => {
                let is_video = content.windows(10).any(|window| window == b"/rpc/video");
                let is_spoilt = is_video && self.rng.u8(..SPOILT_ONE_IN) == 0;
                let begins_at = Instant::now() + ms(self.rng.u64(1..30));
                let ends_at = begins_at + ms(self.rng.u64(1..30));
                let is_new = self.open.iter().all(|request| request.number != number);
                assert!(is_new, "the number of an open request is used again");
                let (is_whole, has_begun) = (false, false);
                self.open.push(OpenRequest { number, is_spoilt, is_whole, begins_at, ends_at, has_begun });
            }
            STDIN if content.is_empty() => {
                self.open
                    .iter_mut()
                    .filter(|request| request.number == number)
                    .for_each(|request| request.is_whole = true);
            }
            ABORT => {
                let open_before = self.open.len();
                self.open.retain(|request| request.number != number);
                if self.open.len() < open_before && self.behaviour != Behaviour::KeepsAborted {
                    out.extend(record(END, number, &[0; 8]));
                }
            }
            _ => {}
        }
    }

    fn write_due_answers(&mut self, out: &mut Vec<u8>) {
        const TOO_LARGE: usize = 300 * 1024;
        let (now, behaviour) = (Instant::now(), self.behaviour);
        self.open.retain_mut(|request| {
            let number = request.number;
            if request.is_whole && !request.has_begun && now >= request.begins_at {
                request.has_begun = true;
                match behaviour {
                    Behaviour::AnswersSomeMalformed if request.is_spoilt => {
                        out.extend(record(STDOUT, number, b"no head"));
                    }
                    Behaviour::AnswersSomeTooLarge if request.is_spoilt => {
                        let content = [b'x'; 60 * 1024];
                        (0..TOO_LARGE / content.len() + 1)
                            .for_each(|_| out.extend(record(STDOUT, number, &content)));
                    }
                    _ => out.extend(record(STDOUT, number, b"Status: 200\r\n\r\n")),
                }
            }
            let is_over = request.has_begun && now >= request.ends_at;
            if is_over {
                out.extend(record(STDOUT, number, b"bytes"));
                out.extend(record(END, number, &[0; 8]));
            }
            !is_over
        });
    }
}

fn get(service: usize) -> Get {
    Get {
        service,
        budget: BUDGET,
        object: 7,
        chunk: 0,
        group: 1,
        held_version: Default::default(),
        body: vec![b'x'; 40].into(),
    }
}

/// Makes calls for deliveries beside calls for videos, which are abandoned after `abandon_after`, if that returns a time.
/// Returns the outcomes of the deliveries that were not returned, and the number of connections.
fn deliver_beside_videos(
    behaviour: Behaviour,
    seed: u64,
    mut abandon_after: impl FnMut(&mut Rng) -> Option<Duration>,
) -> (Vec<Outcome>, usize) {
    const DELIVERIES: usize = 120;
    let dispatcher = ScriptedDispatcher::start(behaviour, seed);
    let service = |name: &str, effect| Service { name: name.into(), effect };
    let services = vec![service("video", Effect::Idempotent), service("confirm", Effect::NonIdempotent)];
    let endpoint = Dispatcher { address: dispatcher.address, group: 0, sharers: 1 };
    let mut client = Client::new(services, vec![endpoint], seed).unwrap();
    let mut rng = Rng::with_seed(seed);
    let (mut deliveries, mut abandoned) = (Vec::new(), Vec::<(Instant, Ticket)>::new());
    let mut outcomes = std::collections::BTreeMap::new();
    let deadline = Instant::now() + BUDGET * 4;
    while outcomes.len() < DELIVERIES && Instant::now() < deadline {
        if deliveries.len() < DELIVERIES && rng.u8(..4) == 0 {
            deliveries.push(client.ask(get(CONFIRM)));
        }
        if rng.u8(..4) == 0 && deliveries.len() < DELIVERIES {
            let ticket = client.ask(get(VIDEO));
            abandoned.extend(abandon_after(&mut rng).map(|after| (Instant::now() + after, ticket)));
        }
        client.turn(ms(2)).unwrap();
        abandoned.retain(|&(at, ticket)| {
            let is_due = Instant::now() >= at;
            if is_due {
                client.abandon(ticket);
            }
            !is_due
        });
        while let Some((ticket, outcome)) = client.next_outcome() {
            if deliveries.contains(&ticket) {
                outcomes.insert(ticket, outcome);
            }
        }
    }
    assert_eq!(outcomes.len(), DELIVERIES, "each delivery has its outcome");
    let not_returned = outcomes.into_values().filter(|outcome| !matches!(outcome, Outcome::Returned(_)));
    (not_returned.collect(), dispatcher.connections.load(Ordering::SeqCst))
}

/// Guards against review case 10: the end of an aborted request was taken for a malformed answer, and closed the connection
/// with the requests of other callers on it. Aborts come before, within and after the answers.
#[test]
fn an_abandoned_call_costs_no_other_call_on_its_connection() {
    for seed in 1..=6 {
        let (not_returned, connections) =
            deliver_beside_videos(Behaviour::EndsAborted, seed, |rng| Some(ms(rng.u64(0..70))));
        assert_eq!(not_returned, [], "seed {seed}");
        assert!(connections <= MAX_CONNECTIONS, "seed {seed}: {connections} connections");
    }
}

/// Guards against a connection that collects aborted requests which never end, and against closing it with other requests on it.
#[test]
fn aborted_requests_that_never_end_cost_no_other_call() {
    for seed in 1..=3 {
        let (not_returned, _) =
            deliver_beside_videos(Behaviour::KeepsAborted, seed, |rng| Some(ms(rng.u64(0..10))));
        assert_eq!(not_returned, [], "seed {seed}");
    }
}

/// Guards against a malformed answer to one request, in sound records, that ends the others on its connection.
#[test]
fn a_malformed_answer_costs_no_other_call_on_its_connection() {
    for behaviour in [Behaviour::AnswersSomeMalformed, Behaviour::AnswersSomeTooLarge] {
        let (not_returned, connections) = deliver_beside_videos(behaviour, 1, |_| None);
        assert_eq!(not_returned, [], "{behaviour:?}");
        assert!(connections <= MAX_CONNECTIONS, "{behaviour:?}: {connections} connections");
    }
}
