//! What an operator is told: a thread that asks one replica for its status many times a second, and notes when each purge
//! is first told as in force at every dispatcher.

use super::errors::CapacityError;
use super::point::InForce;
use super::replicas::STATUS_PATIENCE;
use crate::stand::ledger::unix_ms;
use myrtlegauge_replica::status::{self, PurgeState, PurgeStatus, Status};
use myrtlegauge_replication::PurgeTarget;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// From an answer to the next question: what is told has this for its resolution.
const ASKS_EVERY: Duration = Duration::from_millis(50);
/// How long all dispatchers may take to attach.
const ATTACHED_WITHIN: Duration = Duration::from_secs(20);

/// What was told of the purges in a span of time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ToldInForce {
    /// From published to told.
    pub in_force: InForce,
    /// From a question to its whole answer.
    pub answers: InForce,
    /// Questions without an answer.
    pub unanswered: u64,
}

/// What was seen so far.
#[derive(Default)]
struct Seen {
    /// Dispatchers that poll some replica.
    members: usize,
    /// Purges told as in force.
    purges: BTreeSet<u64>,
    /// Since it was last taken.
    in_force_us: Vec<u64>,
    answers_us: Vec<u64>,
    unanswered: u64,
}

impl Seen {
    fn take(&mut self, status: &Status, answered_in: Duration) {
        let now_unix_ms = unix_ms();
        self.members = status.members.iter().filter(|member| member.replica.is_some()).count();
        self.answers_us.push(answered_in.as_micros() as u64);
        for (purge, published_unix_ms) in status.purges.iter().filter_map(in_force) {
            if self.purges.insert(purge) {
                self.in_force_us.push(((now_unix_ms - published_unix_ms) * 1e3).max(0.0) as u64);
            }
        }
    }
}

/// The name and the time of a purge, if it is told as in force.
fn in_force(purge: &PurgeStatus) -> Option<(u64, f64)> {
    match (&purge.target, &purge.state) {
        (PurgeTarget::Object(object), PurgeState::InForce { .. }) => {
            Some((u64::from_str_radix(object, 16).ok()?, purge.unix_ms as f64))
        }
        _ => None,
    }
}

/// The thread that asks, and what it has seen.
pub struct InForceWatch {
    seen: Arc<Mutex<Seen>>,
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl InForceWatch {
    /// Asks the replica at an address until this is dropped.
    pub fn start(at: SocketAddr) -> Self {
        let (seen, ends) = (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicBool::new(false)));
        let (its_seen, its_end) = (Arc::clone(&seen), Arc::clone(&ends));
        let thread = std::thread::spawn(move || {
            while !its_end.load(Ordering::Relaxed) {
                ask(at, &its_seen);
                std::thread::sleep(ASKS_EVERY);
            }
        });
        Self { seen, ends, thread: Some(thread) }
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        locked(&self.seen)
    }

    /// What was told since this was last called.
    pub fn take(&self) -> ToldInForce {
        let mut seen = self.seen();
        let each_once = |times: Vec<u64>| times.into_iter().map(|us| (us, 1)).collect::<Vec<_>>();
        ToldInForce {
            in_force: InForce::of(&each_once(std::mem::take(&mut seen.in_force_us))),
            answers: InForce::of(&each_once(std::mem::take(&mut seen.answers_us))),
            unanswered: std::mem::take(&mut seen.unanswered),
        }
    }

    /// Purges of 1 to `published` that were never told as in force.
    pub fn missing(&self, published: u64) -> Vec<u64> {
        let seen = self.seen();
        (1..=published).filter(|purge| !seen.purges.contains(purge)).collect()
    }

    /// Waits until the replica knows where each of so many dispatchers polls.
    ///
    /// # Errors
    /// Some that it does not know in time.
    pub async fn until_attached(&self, dispatchers: usize) -> Result<(), CapacityError> {
        let began = Instant::now();
        loop {
            let done = self.seen().members;
            if done >= dispatchers {
                return Ok(());
            }
            if began.elapsed() > ATTACHED_WITHIN {
                let (what, seconds) = ("dispatchers were known to the replicas", ATTACHED_WITHIN.as_secs());
                return Err(CapacityError::TooLate { what, seconds, done, all: dispatchers });
            }
            tokio::time::sleep(ASKS_EVERY).await;
        }
    }
}

fn ask(at: SocketAddr, seen: &Mutex<Seen>) {
    let asked = Instant::now();
    let answer = status::fetch(at, STATUS_PATIENCE);
    let answered_in = asked.elapsed();
    let mut seen = locked(seen);
    match answer {
        Ok(status) => seen.take(&status, answered_in),
        Err(_) => seen.unanswered += 1,
    }
}

fn locked(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for InForceWatch {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
