//! Holds the log keys of a resend, which operators' tools read. A renamed local variable would change a key in its short form.

use log::kv::{Error, Key, Value, VisitSource};
use myrtlegauge_client::*;
use std::io::Read;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The keys and values of each log record of the client.
static RECORDS: Mutex<Vec<Vec<(String, String)>>> = Mutex::new(Vec::new());

struct RecordCollector;

struct Pairs(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

impl log::Log for RecordCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() != "myrtlegauge_client::client" {
            return;
        }
        let mut pairs = Pairs(Vec::new());
        record.key_values().visit(&mut pairs).unwrap();
        RECORDS.lock().unwrap().push(pairs.0);
    }

    fn flush(&self) {}
}

#[test]
fn a_resend_is_logged_with_its_keys() {
    log::set_logger(&RecordCollector).unwrap();
    log::set_max_level(log::LevelFilter::Debug);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Every connection is closed after the first bytes of a request.
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.read_exact(&mut [0; 8]);
        }
    });
    let service = Service { name: "video".into(), effect: Effect::Idempotent };
    let dispatcher = Dispatcher { address, group: 0, sharers: 1 };
    let mut client = Client::new(vec![service], vec![dispatcher], 3).unwrap();
    client.ask(Get {
        service: 0,
        budget: Duration::from_secs(3),
        object: 7,
        chunk: 0,
        group: 1,
        held_version: Default::default(),
        body: Default::default(),
    });
    let deadline = Instant::now() + Duration::from_secs(4);
    let resend = loop {
        client.turn(Duration::from_millis(5)).unwrap();
        if let Some(resend) = client.next_resend() {
            break resend;
        }
        assert!(Instant::now() < deadline, "no resend within the budget");
    };
    assert_eq!((resend.attempt, resend.end), (1, End::Lost));
    let reached = format!("{:?}", resend.reached);
    let expected =
        [("number", "1"), ("end", "Lost"), ("reached", reached.as_str()), ("from", "0"), ("to", "0")];
    let expected: Vec<_> = expected.map(|(key, value)| (key.to_owned(), value.to_owned())).to_vec();
    assert_eq!(RECORDS.lock().unwrap().first(), Some(&expected));
}
