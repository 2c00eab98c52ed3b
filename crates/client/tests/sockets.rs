//! The library on sockets against a scripted dispatcher.

use myrtlegauge_client::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What the dispatcher does with a connection.
#[derive(Clone)]
enum Plays {
    /// Reads so many bytes and drops it.
    ReadsThenDrops(usize),
    /// Reads a whole request, writes so many bytes of the answer, and drops it.
    AnswersThenDrops(usize),
    /// Answers every request with this.
    Answers(Vec<u8>),
    /// Reads and says nothing.
    Silent,
    /// Refuses the first request when its client has called it off already, and answers those after it.
    RefusesLate,
}

struct Scripted {
    address: SocketAddr,
    /// Requests that came whole.
    whole: Arc<AtomicUsize>,
    plays: Arc<Mutex<Vec<Plays>>>,
}

fn record(kind: u8, number: [u8; 2], content: &[u8]) -> Vec<u8> {
    let long = (content.len() as u16).to_be_bytes();
    [&[1, kind, number[0], number[1], long[0], long[1], 0, 0], content].concat()
}

fn answer(number: [u8; 2], text: &str) -> Vec<u8> {
    [record(6, number, text.as_bytes()), record(3, number, &[0; 8])].concat()
}

const FINE: &str = "Status: 200\r\n\r\nbytes";

impl Scripted {
    /// Plays the given parts, one a connection, the last one for all that follow.
    fn start(plays: Vec<Plays>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (whole, plays) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(plays)));
        let (count, script) = (Arc::clone(&whole), Arc::clone(&plays));
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut script = script.lock().unwrap();
                let part = if script.len() > 1 { script.remove(0) } else { script[0].clone() };
                let count = Arc::clone(&count);
                std::thread::spawn(move || play(stream, &part, &count));
            }
        });
        Self { address, whole, plays }
    }

    fn place(&self, group: u64) -> Place {
        Place { address: self.address, group, sharers: 1 }
    }
}

/// Reads a whole request; its number.
fn request(stream: &mut TcpStream) -> Option<[u8; 2]> {
    loop {
        let mut head = [0; 8];
        stream.read_exact(&mut head).ok()?;
        let long = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
        let mut content = vec![0; long];
        stream.read_exact(&mut content).ok()?;
        if head[1] == 5 && long == 0 {
            return Some([head[2], head[3]]);
        }
    }
}

fn play(mut stream: TcpStream, part: &Plays, whole: &AtomicUsize) {
    match part {
        Plays::ReadsThenDrops(bytes) => {
            let _ = stream.read_exact(&mut vec![0; *bytes]);
        }
        Plays::AnswersThenDrops(bytes) => {
            let Some(number) = request(&mut stream) else { return };
            whole.fetch_add(1, Ordering::SeqCst);
            let answer = answer(number, FINE);
            let _ = stream.write_all(&answer[..answer.len().min(*bytes)]);
        }
        Plays::Answers(text) => {
            while let Some(number) = request(&mut stream) {
                whole.fetch_add(1, Ordering::SeqCst);
                let text = String::from_utf8_lossy(text).into_owned();
                if stream.write_all(&answer(number, &text)).is_err() {
                    return;
                }
            }
        }
        Plays::RefusesLate => {
            let Some(first) = request(&mut stream) else { return };
            std::thread::sleep(ms(80));
            let refusal = answer(first, "Status: 503\r\nBack-Off-Ms: 5000\r\n\r\n");
            if stream.write_all(&refusal).is_err() {
                return;
            }
            play(stream, &Plays::Answers(FINE.into()), whole);
        }
        Plays::Silent => {
            while request(&mut stream).is_some() {
                whole.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

fn services() -> Vec<Service> {
    let service = |name: &str, effect| Service { name: name.into(), effect };
    vec![service("video", Effect::Idempotent), service("confirm", Effect::NonIdempotent)]
}

fn get(service: usize, budget: u64) -> Get {
    Get {
        service,
        budget: ms(budget),
        object: 7,
        part: 0,
        group: 1,
        held: Default::default(),
        body: vec![b'x'; 40].into(),
    }
}

/// Asks and turns until the outcome.
fn outcome(client: &mut Client, get: Get) -> (Outcome, Duration) {
    let began = Instant::now();
    let ticket = client.ask(get);
    loop {
        if let Some((told, outcome)) = client.next_outcome() {
            assert_eq!(told, ticket);
            return (outcome, began.elapsed());
        }
        client.turn(ms(5)).unwrap();
    }
}

fn returned() -> Outcome {
    Outcome::Returned(Returned { valid: false, body: "bytes".into() })
}

#[test]
fn a_connection_dropped_at_every_byte_never_makes_an_effect_happen_twice() {
    // Until the whole request was read, and beyond it at every byte of the answer.
    let long = answer([0, 1], FINE).len();
    let mut told = std::collections::BTreeMap::<String, u32>::new();
    let cuts = (0..300).step_by(5).map(Plays::ReadsThenDrops).chain((0..=long).map(Plays::AnswersThenDrops));
    for cut in cuts {
        let last = matches!(cut, Plays::AnswersThenDrops(bytes) if bytes == long);
        let scripted = Scripted::start(vec![cut, Plays::Answers(FINE.into())]);
        let mut client = Client::new(services(), vec![scripted.place(0)], 3).unwrap();
        let (outcome, _) = outcome(&mut client, get(1, 150));
        let whole = scripted.whole.load(Ordering::SeqCst);
        assert!(whole <= 1, "{whole} times");
        assert!(!last || outcome == returned(), "{outcome:?}");
        // It is returned only if it ran, and may have run whenever the bytes had left.
        assert!(outcome != returned() || whole == 1);
        *told.entry(format!("{outcome:?}").chars().take(12).collect()).or_default() += 1;
    }
    assert!(told.contains_key("MayHaveRun"), "{told:?}");
}

#[test]
fn an_idempotent_get_goes_again_and_what_can_not_be_read_is_never_passed_on() {
    let spoilt: [&[u8]; 4] =
        [b"no head at all", b"Status: abc\r\n\r\n", b"Status 200\r\n\r\n", b"Status: 500\r\n\r\nbytes"];
    for text in spoilt {
        let bad = Scripted::start(vec![Plays::Answers(text.to_vec())]);
        let good = Scripted::start(vec![Plays::Answers(FINE.into())]);
        let mut client = Client::new(services(), vec![bad.place(0), good.place(1)], 5).unwrap();
        for _ in 0..4 {
            let (outcome, _) = outcome(&mut client, get(0, 1500));
            assert_eq!(outcome, returned(), "{}", String::from_utf8_lossy(text));
        }
        assert!(client.next_resend().is_some());
    }
}

#[test]
fn one_that_accepts_and_says_nothing_is_left_within_the_budget() {
    let (mute, good) =
        (Scripted::start(vec![Plays::Silent]), Scripted::start(vec![Plays::Answers(FINE.into())]));
    let mut client = Client::new(services(), vec![mute.place(0), good.place(0)], 5).unwrap();
    let (told, took) = outcome(&mut client, get(0, 1500));
    assert_eq!(told, returned());
    assert!(took < ms(1000), "{took:?}");
    // Alone it costs the budget, and no more; an effect may have happened.
    let mut client = Client::new(services(), vec![mute.place(0)], 5).unwrap();
    let (told, took) = outcome(&mut client, get(1, 400));
    assert_eq!(told, Outcome::MayHaveRun);
    assert!(took < ms(500), "{took:?}");
}

#[test]
fn one_that_refuses_everybody_is_left_alone_as_long_as_it_says() {
    let text = b"Status: 503\r\nBack-Off-Ms: 400\r\n\r\n".to_vec();
    let busy = Scripted::start(vec![Plays::Answers(text)]);
    let mut client = Client::new(services(), vec![busy.place(0)], 5).unwrap();
    let began = Instant::now();
    let mut shed = 0;
    while began.elapsed() < ms(1000) {
        let (told, took) = outcome(&mut client, get(0, 300));
        let Outcome::Shed { retry_after, .. } = told else { panic!("{told:?}") };
        assert!(retry_after >= ms(20) && took < ms(100));
        shed += 1;
        std::thread::sleep(ms(10));
    }
    let asked = busy.whole.load(Ordering::SeqCst);
    assert!(shed > 30 && asked <= 4, "{shed} shed, {asked} asked");
}

#[test]
fn a_connection_that_dies_with_many_requests_ends_each_by_the_table() {
    let dies = Scripted::start(vec![Plays::ReadsThenDrops(4000), Plays::Answers(FINE.into())]);
    let mut client = Client::new(services(), vec![dies.place(0)], 9).unwrap();
    let tickets: Vec<_> = (0..32).map(|n| client.ask(get(n % 2, 1500))).collect();
    let mut told = std::collections::BTreeMap::new();
    let until = Instant::now() + ms(2500);
    while told.len() < tickets.len() && Instant::now() < until {
        client.turn(ms(5)).unwrap();
        while let Some((ticket, outcome)) = client.next_outcome() {
            assert!(told.insert(ticket, outcome).is_none(), "two outcomes");
        }
    }
    assert_eq!(told.len(), 32);
    for (n, ticket) in tickets.iter().enumerate() {
        let fits = match &told[ticket] {
            Outcome::MayHaveRun => n % 2 == 1,
            Outcome::Returned(_) | Outcome::Shed { .. } | Outcome::OutOfTime => true,
            Outcome::Errored => false,
        };
        assert!(fits, "{n}: {:?}", told[ticket]);
    }
    assert_eq!(client.in_hand(), 0);
}

#[test]
fn a_refusal_that_crosses_an_abort_ends_nothing_else() {
    let late = Scripted::start(vec![Plays::RefusesLate]);
    let mut client = Client::new(services(), vec![late.place(0)], 4).unwrap();
    let ticket = client.ask(get(1, 1500));
    let began = Instant::now();
    while began.elapsed() < ms(30) {
        client.turn(ms(5)).unwrap();
    }
    client.abandon(ticket);
    while began.elapsed() < ms(150) {
        client.turn(ms(5)).unwrap();
    }
    // It was called off: the refusal is nobody's, and the connection lives.
    assert_eq!(client.next_outcome(), None);
    assert_eq!(outcome(&mut client, get(1, 1500)).0, returned());
}

#[test]
fn a_dropped_call_is_called_off_and_its_late_answer_harms_nothing() {
    let good = Scripted::start(vec![Plays::Answers(FINE.into())]);
    let handle = Handle::start(services(), vec![good.place(0)], 4).unwrap();
    for _ in 0..20 {
        drop(handle.ask(get(0, 1000)));
        assert_eq!(handle.get(get(0, 1000)), returned());
    }
    assert!(good.plays.lock().unwrap().len() == 1);
}
