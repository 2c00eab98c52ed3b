//! Tests the library over sockets against a scripted dispatcher.

mod common;

use common::{ms, record};
use myrtlegauge_client::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the scripted dispatcher handles a connection.
#[derive(Clone)]
enum Behaviour {
    /// Reads this many bytes, then closes the connection.
    ReadThenClose(usize),
    /// Reads a request, writes this many bytes of the answer, then closes the connection.
    AnswerThenClose(usize),
    /// Answers every request with this text.
    Answer(Vec<u8>),
    /// Reads requests and never answers.
    Silent,
    /// Answers every request this much later.
    AnswerAfter(Duration),
    /// Reads nothing for this long, then reads requests and never answers.
    ReadAfter(Duration),
    /// Reads a request, then writes records that belong to none for as long as they are taken.
    Flood,
    /// Refuses the first request after its client has aborted it, and answers later ones.
    RefuseLate,
}

struct ScriptedDispatcher {
    address: SocketAddr,
    /// Number of complete requests that were read.
    requests_read: Arc<AtomicUsize>,
    behaviours: Arc<Mutex<Vec<Behaviour>>>,
}

fn answer(number: u16, text: &str) -> Vec<u8> {
    [record(6, number, text.as_bytes()), record(3, number, &[0; 8])].concat()
}

const OK_RESPONSE: &str = "Status: 200\r\n\r\nbytes";

impl ScriptedDispatcher {
    /// Applies one behaviour to each connection, and the last one to all later connections.
    fn start(behaviours: Vec<Behaviour>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (requests_read, behaviours) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(behaviours)));
        let (count, script) = (Arc::clone(&requests_read), Arc::clone(&behaviours));
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut script = script.lock().unwrap();
                let behaviour = if script.len() > 1 { script.remove(0) } else { script[0].clone() };
                let count = Arc::clone(&count);
                std::thread::spawn(move || serve(stream, &behaviour, &count));
            }
        });
        Self { address, requests_read, behaviours }
    }

    fn endpoint(&self, group: u64) -> Dispatcher {
        Dispatcher { address: self.address, group, sharers: 1 }
    }
}

/// Reads a complete request and returns its number.
fn read_request(stream: &mut TcpStream) -> Option<u16> {
    loop {
        let mut head = [0; 8];
        stream.read_exact(&mut head).ok()?;
        let size = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
        let mut content = vec![0; size];
        stream.read_exact(&mut content).ok()?;
        if head[1] == 5 && size == 0 {
            return Some(u16::from_be_bytes([head[2], head[3]]));
        }
    }
}

fn serve(mut stream: TcpStream, behaviour: &Behaviour, requests_read: &AtomicUsize) {
    match behaviour {
        Behaviour::ReadThenClose(bytes) => {
            let _ = stream.read_exact(&mut vec![0; *bytes]);
        }
        Behaviour::AnswerThenClose(bytes) => {
            let Some(number) = read_request(&mut stream) else { return };
            requests_read.fetch_add(1, Ordering::SeqCst);
            let answer = answer(number, OK_RESPONSE);
            let _ = stream.write_all(&answer[..answer.len().min(*bytes)]);
        }
        Behaviour::Answer(text) => {
            while let Some(number) = read_request(&mut stream) {
                requests_read.fetch_add(1, Ordering::SeqCst);
                let text = String::from_utf8_lossy(text).into_owned();
                if stream.write_all(&answer(number, &text)).is_err() {
                    return;
                }
            }
        }
        Behaviour::Flood => {
            let Some(_) = read_request(&mut stream) else { return };
            requests_read.fetch_add(1, Ordering::SeqCst);
            let records = record(13, 0, b"").repeat(10_000);
            while stream.write_all(&records).is_ok() {}
        }
        Behaviour::RefuseLate => {
            let Some(first) = read_request(&mut stream) else { return };
            std::thread::sleep(ms(80));
            let refusal = answer(first, "Status: 503\r\nBack-Off-Ms: 5000\r\n\r\n");
            if stream.write_all(&refusal).is_err() {
                return;
            }
            serve(stream, &Behaviour::Answer(OK_RESPONSE.into()), requests_read);
        }
        Behaviour::AnswerAfter(delay) => {
            while let Some(number) = read_request(&mut stream) {
                requests_read.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(*delay);
                if stream.write_all(&answer(number, OK_RESPONSE)).is_err() {
                    return;
                }
            }
        }
        Behaviour::ReadAfter(delay) => {
            std::thread::sleep(*delay);
            serve(stream, &Behaviour::Silent, requests_read);
        }
        Behaviour::Silent => {
            while read_request(&mut stream).is_some() {
                requests_read.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

fn services() -> Vec<Service> {
    let service = |name: &str, effect| Service { name: name.into(), effect };
    vec![
        service("video", Effect::Idempotent),
        service("confirm", Effect::NonIdempotent),
        service("order", Effect::Tokened { window: ms(2000) }),
    ]
}

const VIDEO: usize = 0;
const CONFIRM: usize = 1;
const ORDER: usize = 2;

fn get(service: usize, budget_ms: u64) -> Get {
    Get {
        service,
        budget: ms(budget_ms),
        object: 7,
        chunk: 0,
        group: 1,
        held_version: Default::default(),
        body: vec![b'x'; 40].into(),
    }
}

/// Makes a call and runs the client until its outcome.
fn outcome(client: &mut Client, get: Get) -> (Outcome, Duration) {
    let started = Instant::now();
    let ticket = client.ask(get);
    loop {
        if let Some((outcome_ticket, outcome)) = client.next_outcome() {
            assert_eq!(outcome_ticket, ticket);
            return (outcome, started.elapsed());
        }
        client.turn(ms(5)).unwrap();
    }
}

fn returned() -> Outcome {
    Outcome::Returned(Returned { valid: false, body: "bytes".into() })
}

#[test]
fn a_connection_closed_at_any_byte_never_makes_an_effect_happen_twice() {
    // The cuts cover the request in steps of 5 bytes and then every byte of the answer.
    let answer_size = answer(1, OK_RESPONSE).len();
    let mut outcome_counts = std::collections::BTreeMap::<String, u32>::new();
    let cuts = (0..300)
        .step_by(5)
        .map(Behaviour::ReadThenClose)
        .chain((0..=answer_size).map(Behaviour::AnswerThenClose));
    for cut in cuts {
        let is_answer_complete = matches!(cut, Behaviour::AnswerThenClose(bytes) if bytes == answer_size);
        let dispatcher = ScriptedDispatcher::start(vec![cut, Behaviour::Answer(OK_RESPONSE.into())]);
        let mut client = Client::new(services(), vec![dispatcher.endpoint(0)], 3).unwrap();
        let (outcome, _) = outcome(&mut client, get(1, 150));
        let run_count = dispatcher.requests_read.load(Ordering::SeqCst);
        assert!(run_count <= 1, "{run_count} runs");
        assert!(!is_answer_complete || outcome == returned(), "{outcome:?}");
        // The call is returned only if it ran; it may have run whenever all bytes were sent.
        assert!(outcome != returned() || run_count == 1);
        *outcome_counts.entry(format!("{outcome:?}").chars().take(12).collect()).or_default() += 1;
    }
    assert!(outcome_counts.contains_key("MayHaveRun"), "{outcome_counts:?}");
}

#[test]
fn an_idempotent_get_is_retried_and_a_malformed_answer_is_never_returned() {
    let malformed: [&[u8]; 4] =
        [b"no head at all", b"Status: abc\r\n\r\n", b"Status 200\r\n\r\n", b"Status: 500\r\n\r\nbytes"];
    for text in malformed {
        let bad = ScriptedDispatcher::start(vec![Behaviour::Answer(text.to_vec())]);
        let good = ScriptedDispatcher::start(vec![Behaviour::Answer(OK_RESPONSE.into())]);
        let mut client = Client::new(services(), vec![bad.endpoint(0), good.endpoint(1)], 5).unwrap();
        for _ in 0..4 {
            let (outcome, _) = outcome(&mut client, get(0, 1500));
            assert_eq!(outcome, returned(), "{}", String::from_utf8_lossy(text));
        }
        assert!(client.next_resend().is_some());
    }
}

/// Guards against a dispatcher that sends without a pause: the client read it in one turn without a bound, and no call had an
/// outcome any more.
#[test]
fn a_call_has_its_outcome_in_time_beside_a_dispatcher_that_sends_without_a_pause() {
    const BUDGET_MS: u64 = 400;
    let flood = ScriptedDispatcher::start(vec![Behaviour::Flood]);
    let endpoint = flood.endpoint(0);
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut client = Client::new(services(), vec![endpoint], 5).unwrap();
        let _ = sender.send(outcome(&mut client, get(1, BUDGET_MS)));
    });
    let (_, elapsed) = receiver.recv_timeout(ms(BUDGET_MS * 10)).expect("the call has an outcome");
    assert!(elapsed < ms(BUDGET_MS * 2), "{elapsed:?}");
}

#[test]
fn a_call_leaves_a_silent_dispatcher_within_its_budget() {
    let (silent, good) = (
        ScriptedDispatcher::start(vec![Behaviour::Silent]),
        ScriptedDispatcher::start(vec![Behaviour::Answer(OK_RESPONSE.into())]),
    );
    let mut client = Client::new(services(), vec![silent.endpoint(0), good.endpoint(0)], 5).unwrap();
    let (result, elapsed) = outcome(&mut client, get(0, 1500));
    assert_eq!(result, returned());
    assert!(elapsed < ms(1000), "{elapsed:?}");
    // Without another dispatcher the call takes its budget and no longer, and its effect may have happened.
    let mut client = Client::new(services(), vec![silent.endpoint(0)], 5).unwrap();
    let (result, elapsed) = outcome(&mut client, get(1, 400));
    assert_eq!(result, Outcome::MayHaveRun);
    assert!(elapsed < ms(500), "{elapsed:?}");
}

/// Guards against a call with an effect that is told as without effect although its request was sent: its budget ends while the
/// answer is awaited.
#[test]
fn a_call_whose_answer_has_not_come_by_the_end_of_its_budget_may_have_run() {
    let silent = ScriptedDispatcher::start(vec![Behaviour::Silent]);
    let mut client = Client::new(services(), vec![silent.endpoint(0)], 5).unwrap();
    let ends = [(CONFIRM, Outcome::MayHaveRun), (ORDER, Outcome::MayHaveRun), (VIDEO, Outcome::OutOfTime)];
    for (service, expected) in ends.clone() {
        // Shorter than the silence after which the connection counts as dead.
        let (result, elapsed) = outcome(&mut client, get(service, 100));
        assert_eq!(result, expected, "service {service}");
        assert!(elapsed < ms(200), "{elapsed:?}");
    }
    assert_eq!(silent.requests_read.load(Ordering::SeqCst), ends.len());
}

/// Guards against the same with an answer that comes just before, at or just after the end of the budget.
#[test]
fn an_answer_around_the_end_of_the_budget_never_makes_a_call_with_an_effect_end_as_without_one() {
    const BUDGET_MS: u64 = 60;
    let mut ends = [0; 2];
    for delay_ms in (BUDGET_MS - 20..BUDGET_MS + 20).step_by(2) {
        for service in [CONFIRM, ORDER] {
            let late = ScriptedDispatcher::start(vec![Behaviour::AnswerAfter(ms(delay_ms))]);
            let mut client = Client::new(services(), vec![late.endpoint(0)], delay_ms).unwrap();
            let (result, _) = outcome(&mut client, get(service, BUDGET_MS));
            let is_returned = result == returned();
            assert!(is_returned || result == Outcome::MayHaveRun, "{delay_ms} ms: {result:?}");
            assert!(late.requests_read.load(Ordering::SeqCst) <= 1);
            ends[usize::from(is_returned)] += 1;
        }
    }
    assert!(ends.iter().all(|&count| count > 0), "{ends:?}");
}

/// Guards against a call that is told as without effect while its request still waits to be sent, and is sent afterwards.
#[test]
fn a_request_that_has_not_left_by_the_end_of_its_budget_is_never_sent() {
    const CALLS: usize = 32;
    // More than the buffers of the system take on both sides.
    const BODY_BYTES: usize = 400_000;
    let late = ScriptedDispatcher::start(vec![Behaviour::ReadAfter(ms(200))]);
    let mut client = Client::new(services(), vec![late.endpoint(0)], 5).unwrap();
    for _ in 0..CALLS {
        client.ask(Get { body: vec![b'x'; BODY_BYTES].into(), ..get(CONFIRM, 100) });
    }
    let (mut without_effect, mut may_have_run) = (0, 0);
    let started = Instant::now();
    while started.elapsed() < ms(1200) {
        client.turn(ms(5)).unwrap();
        while let Some((_, outcome)) = client.next_outcome() {
            match outcome {
                Outcome::OutOfTime => without_effect += 1,
                Outcome::MayHaveRun => may_have_run += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    let requests_read = late.requests_read.load(Ordering::SeqCst);
    assert_eq!(without_effect + may_have_run, CALLS);
    assert!(without_effect > 0 && requests_read > 0, "{without_effect} without effect, {requests_read} read");
    assert!(
        requests_read <= may_have_run,
        "{requests_read} read, {may_have_run} told that they may have run"
    );
}

#[test]
fn a_dispatcher_that_refuses_all_calls_gets_none_during_the_requested_pause() {
    let text = b"Status: 503\r\nBack-Off-Ms: 400\r\n\r\n".to_vec();
    let busy = ScriptedDispatcher::start(vec![Behaviour::Answer(text)]);
    let mut client = Client::new(services(), vec![busy.endpoint(0)], 5).unwrap();
    let started = Instant::now();
    let mut shed = 0;
    while started.elapsed() < ms(1000) {
        let (result, elapsed) = outcome(&mut client, get(0, 300));
        let Outcome::Shed { retry_after, .. } = result else { panic!("{result:?}") };
        assert!(retry_after >= ms(20) && elapsed < ms(100));
        shed += 1;
        std::thread::sleep(ms(10));
    }
    let requests_read = busy.requests_read.load(Ordering::SeqCst);
    assert!(shed > 30 && requests_read <= 4, "{shed} shed, {requests_read} requests");
}

#[test]
fn a_lost_connection_with_many_requests_ends_each_by_its_effect() {
    let failing = ScriptedDispatcher::start(vec![
        Behaviour::ReadThenClose(4000),
        Behaviour::Answer(OK_RESPONSE.into()),
    ]);
    let mut client = Client::new(services(), vec![failing.endpoint(0)], 9).unwrap();
    let tickets: Vec<_> = (0..32).map(|index| client.ask(get(index % 2, 1500))).collect();
    let mut outcomes = std::collections::BTreeMap::new();
    let deadline = Instant::now() + ms(2500);
    while outcomes.len() < tickets.len() && Instant::now() < deadline {
        client.turn(ms(5)).unwrap();
        while let Some((ticket, outcome)) = client.next_outcome() {
            assert!(outcomes.insert(ticket, outcome).is_none(), "two outcomes");
        }
    }
    assert_eq!(outcomes.len(), 32);
    for (index, ticket) in tickets.iter().enumerate() {
        let is_allowed = match &outcomes[ticket] {
            Outcome::MayHaveRun => index % 2 == 1,
            Outcome::Returned(_) | Outcome::Shed { .. } | Outcome::OutOfTime => true,
            Outcome::Errored => false,
        };
        assert!(is_allowed, "{index}: {:?}", outcomes[ticket]);
    }
    assert_eq!(client.in_flight(), 0);
}

#[test]
fn a_refusal_that_arrives_after_an_abort_affects_no_other_call() {
    let late = ScriptedDispatcher::start(vec![Behaviour::RefuseLate]);
    let mut client = Client::new(services(), vec![late.endpoint(0)], 4).unwrap();
    let ticket = client.ask(get(1, 1500));
    let started = Instant::now();
    while started.elapsed() < ms(30) {
        client.turn(ms(5)).unwrap();
    }
    client.abandon(ticket);
    while started.elapsed() < ms(150) {
        client.turn(ms(5)).unwrap();
    }
    // The call was aborted: the refusal belongs to no call, and the connection stays open.
    assert_eq!(client.next_outcome(), None);
    assert_eq!(outcome(&mut client, get(1, 1500)).0, returned());
}

#[test]
fn a_dropped_call_is_aborted_and_its_late_answer_does_no_harm() {
    let good = ScriptedDispatcher::start(vec![Behaviour::Answer(OK_RESPONSE.into())]);
    let handle = Handle::start(services(), vec![good.endpoint(0)], 4).unwrap();
    for _ in 0..20 {
        drop(handle.ask(get(0, 1000)));
        assert_eq!(handle.get(get(0, 1000)), returned());
    }
    assert!(good.behaviours.lock().unwrap().len() == 1);
}
