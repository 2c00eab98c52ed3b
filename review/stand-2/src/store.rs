//! A cache host that keeps copies, with a parent and an origin behind it in the same process.

use crate::{Action, Record, Serve, start_host, unix_ms};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Caches and parents have dropped all older copies by this time after a purge: the settings say 6 s at most.
pub const DROPPED_AFTER_MS: f64 = 5900.0;

/// An answer with a copy.
#[derive(Clone, Debug)]
pub struct Served {
    /// When the request arrived, and when the origin gave out the copy.
    pub asked_unix_ms: f64,
    pub since_unix_ms: f64,
    pub host: String,
    pub id: String,
    pub fields: String,
}

#[derive(Default)]
struct State {
    /// Copies by host and object.
    copies: BTreeMap<(String, String), f64>,
    purges: Vec<(String, f64)>,
    served: Vec<Served>,
}

/// The copies of all hosts, and what was served.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// The purge of an object is made now.
    pub fn purge(&self, object: &str, at_unix_ms: f64) {
        self.0.lock().expect("no holder panics").purges.push((object.into(), at_unix_ms));
    }

    pub fn served(&self) -> Vec<Served> {
        self.0.lock().expect("no holder panics").served.clone()
    }

    /// Starts a host of this name that keeps copies.
    pub fn start_host(&self, name: &str, record: &Arc<Record>) -> SocketAddr {
        let (store, name, record) = (self.clone(), name.to_owned(), Arc::clone(record));
        start_host(move |serve| store.serve(&name, serve, &record))
    }

    /// Starts an origin, which gives out new copies.
    pub fn start_origin(&self) -> SocketAddr {
        start_host(|_| answer(unix_ms(), "TCP_MISS_ROOT", Duration::from_millis(50)))
    }

    /// A copy that a host may give: it holds one, that is not older than the request allows.
    fn copy(state: &mut State, host: &str, object: &str, max_age_ms: Option<f64>) -> Option<f64> {
        let now = unix_ms();
        let key = (host.to_owned(), object.to_owned());
        let since = *state.copies.get(&key)?;
        let is_dropped = state
            .purges
            .iter()
            .any(|(purged, at)| purged == object && since < *at && now >= at + DROPPED_AFTER_MS);
        if is_dropped {
            state.copies.remove(&key);
            return None;
        }
        // A class without a fresh time: without a limit in the request any copy will do until it is purged.
        max_age_ms.is_none_or(|max_age_ms| now - since <= max_age_ms).then_some(since)
    }

    fn serve(&self, name: &str, serve: &Serve, record: &Record) -> Action {
        let object = serve.field("name").unwrap_or_default().to_owned();
        let cap = serve.field("cap").and_then(|cap| cap.parse().ok()).filter(|cap: &f64| *cap > 0.0);
        let mut state = self.0.lock().expect("no holder panics");
        let held = Self::copy(&mut state, name, &object, cap);
        let (since, note, after) = match (held, serve.field("up")) {
            (Some(since), _) => (since, "TCP_HIT", 10),
            (None, None) => {
                let miss = "why=PEER_MISS".to_owned();
                return Action::Answer {
                    after: Duration::from_millis(5),
                    word: "404",
                    fields: miss,
                    body: Vec::new(),
                };
            }
            (None, Some(source)) => {
                let at_source = Self::copy(&mut state, source, &object, cap);
                let since = at_source.unwrap_or_else(unix_ms);
                state.copies.insert((source.to_owned(), object.clone()), since);
                state.copies.insert((name.to_owned(), object.clone()), since);
                (since, if at_source.is_some() { "TCP_MISS" } else { "TCP_MISS_ROOT" }, 60)
            }
        };
        let served = Served {
            asked_unix_ms: serve.at_unix_ms,
            since_unix_ms: since,
            host: name.into(),
            id: serve.id.clone(),
            fields: serve.fields.clone(),
        };
        record.say(format_args!(
            "host {name}: request {} ({}): {note}, since {since:.1}",
            serve.id, serve.fields
        ));
        state.served.push(served);
        answer(since, note, Duration::from_millis(after))
    }
}

fn answer(since: f64, note: &str, after: Duration) -> Action {
    let fields =
        format!("rev={:016x},since={since:.0},why={note},fill=0,rep=util:0.30;x0:0.70", since as u64);
    Action::Answer { after, word: "200", fields, body: vec![7; 2000] }
}

/// Judges the rule on purges: no request that arrived later than `told` and the grace of 1 s, with 50 ms more on sockets,
/// is answered from a copy older than the purge.
pub fn judge(record: &Record, served: &[Served], object: &str, purged: f64, told: f64) -> usize {
    let binds_from = told + 1000.0 + 50.0;
    let of_object = served.iter().filter(|served| served.fields.contains(object));
    let late: Vec<_> = of_object.clone().filter(|served| served.asked_unix_ms > binds_from).collect();
    let broken: Vec<_> = late.iter().filter(|served| served.since_unix_ms < purged.floor()).collect();
    for served in &broken {
        record.say(format_args!(
            "broken: request {} came to {} {:.0} ms after the purge counts as told and was answered from a copy {:.0} ms older than it ({})",
            served.id,
            served.host,
            served.asked_unix_ms - told,
            purged - served.since_unix_ms,
            served.fields
        ));
    }
    record.say(format_args!(
        "judged: {} answers for the object, {} to requests after the grace, {} of these from a copy older than the purge",
        of_object.count(),
        late.len(),
        broken.len()
    ));
    if late.is_empty() { usize::MAX } else { broken.len() }
}
