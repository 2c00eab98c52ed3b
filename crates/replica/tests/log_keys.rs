//! The keys of log records, which operators' tools match.

mod common;

use common::{RawPoller, ReplicaThread, TIMEOUT};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

static WARNINGS: Mutex<Vec<BTreeMap<String, String>>> = Mutex::new(Vec::new());

/// Collects the key-values of the warnings of the replica.
struct WarningCollector;

struct Pairs(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for WarningCollector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string().starts_with("replication: ") {
            let mut pairs = Pairs(BTreeMap::new());
            record.key_values().visit(&mut pairs).expect("the key-values of a record");
            WARNINGS.lock().expect("the warnings").push(pairs.0);
        }
    }

    fn flush(&self) {}
}

#[test]
fn warnings_have_the_number_of_suppressed_ones_under_the_key_unsaid() {
    log::set_logger(&WarningCollector).expect("no other logger");
    log::set_max_level(LevelFilter::Warn);
    let replica = ReplicaThread::without_peers();
    let deadline = Instant::now() + TIMEOUT;
    let count = |pairs: &BTreeMap<String, String>| pairs.get("unsaid").and_then(|count| count.parse().ok());
    loop {
        let mut poller = RawPoller::connect(replica.address);
        poller.send_poll("since=x");
        assert_eq!(poller.read_response().0, 400);
        let counts: Vec<Option<u64>> = WARNINGS.lock().expect("the warnings").iter().map(count).collect();
        assert!(counts.iter().all(Option::is_some), "a warning without the key: {counts:?}");
        if counts.iter().flatten().any(|count| *count > 0) {
            break;
        }
        assert!(Instant::now() < deadline, "no warning was suppressed: {counts:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
