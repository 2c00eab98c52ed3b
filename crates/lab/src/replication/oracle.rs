//! What judges, apart from the programs under proof: purges as they were published, what replicas say of them, and the
//! forwards that came to the hosts.

use super::errors::{Break, BreakCause};
use myrtlegauge_replica::status::{PurgeState, PurgeStatus, Status};
use myrtlegauge_replication::PurgeTarget;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Copies are judged until so long after their purge; see [`PURGED_WITHIN`].
const JUDGED_FOR_MS: f64 = 28_000.0;
/// When hosts know of a purge by themselves, as the dispatchers are told: from then on they need to be told no limit.
pub const PURGED_WITHIN: Duration = Duration::from_secs(30);
/// How late an arrival may be noted: a forward that was sent before the purge was in force may be read after it.
const ARRIVAL_SLACK_MS: f64 = 100.0;
/// How far clocks that count in whole milliseconds may be apart.
const CLOCK_SLACK_MS: f64 = 20.0;
/// A silent dispatcher is held for gone after this long.
pub const MEMBER_LEASE: Duration = Duration::from_secs(10);

/// Which address of which host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostAddress {
    /// The cache, where it is listed at first.
    Cache,
    /// The cache, where it is listed later.
    CacheMoved,
    /// The hosts behind it.
    Behind,
}

/// A forward as it came to a host.
#[derive(Clone, Copy, Debug)]
pub struct Forward {
    /// Who sent it.
    pub dispatcher: usize,
    /// For what.
    pub object: u64,
    /// The oldest copy that will do, ms; none: any.
    pub oldest_ms: Option<f64>,
    /// Where it came.
    pub host: HostAddress,
    /// When, Unix ms.
    pub arrived_ms: f64,
}

/// A purge as it was published, and what became of it.
#[derive(Clone, Debug)]
pub struct PurgeSeen {
    /// The case that published it.
    pub case: &'static str,
    /// What is purged.
    pub object: u64,
    /// Unix ms, and the purge's own time.
    pub published_ms: f64,
    /// When a replica's status first said that it is in force, Unix ms.
    pub in_force_ms: Option<f64>,
    /// Dispatchers and replicas that were named as outstanding, by any replica at any time.
    pub outstanding: BTreeSet<String>,
    /// Those that were named last.
    pub waits_for: BTreeSet<String>,
}

impl PurgeSeen {
    /// From its publication until it was said to be in force, ms.
    pub fn took_ms(&self) -> Option<f64> {
        self.in_force_ms.map(|at| at - self.published_ms)
    }
}

/// A dispatcher that is stopped.
struct Frozen {
    name: String,
    since_ms: f64,
}

#[derive(Default)]
struct Seen {
    purges: BTreeMap<u64, PurgeSeen>,
    forwards: Vec<Forward>,
    frozen: Option<Frozen>,
    /// When each dispatcher last sent a poll that renews its lease, Unix ms.
    polled_ms: BTreeMap<String, f64>,
    breaks: Vec<Break>,
}

/// Forwards that were judged, and those of them that accepted too old a copy.
#[derive(Default)]
pub struct Judged {
    /// Forwards of purged objects that came after the purge was in force.
    pub count: usize,
    /// The bad ones.
    pub breaks: Vec<Break>,
}

/// See the module.
pub struct Oracle {
    started: Instant,
    started_ms: f64,
    seen: Mutex<Seen>,
}

impl Oracle {
    /// Begins to count time.
    pub fn new() -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_ms = since_1970.as_secs_f64() * 1e3;
        Self { started: Instant::now(), started_ms, seen: Mutex::default() }
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("no holder panics")
    }

    /// Unix ms.
    pub fn now_ms(&self) -> f64 {
        self.started_ms + self.started.elapsed().as_secs_f64() * 1e3
    }

    /// A Unix time in seconds since the start of the run.
    pub fn seconds(&self, unix_ms: f64) -> f64 {
        (unix_ms - self.started_ms) / 1e3
    }

    /// A purge is about to be told to the change log.
    pub fn published(&self, case: &'static str, object: u64, published_ms: f64) {
        let (outstanding, waits_for) = (BTreeSet::new(), BTreeSet::new());
        let purge = PurgeSeen { case, object, published_ms, in_force_ms: None, outstanding, waits_for };
        self.seen().purges.insert(object, purge);
    }

    /// A forward came.
    pub fn forward_arrived(&self, forward: Forward) {
        self.seen().forwards.push(forward);
    }

    /// A replica told its status.
    pub fn status_told(&self, status: &Status) {
        let told_ms = self.now_ms();
        let mut seen = self.seen();
        for purge in &status.purges {
            seen.purge_told(&status.name, purge, told_ms);
        }
    }

    /// A dispatcher polls a replica, which has not heard of it yet.
    pub fn polled(&self, dispatcher: &str) {
        let now_ms = self.now_ms();
        self.seen().polled_ms.insert(dispatcher.to_owned(), now_ms);
    }

    /// A dispatcher was stopped.
    pub fn froze(&self, name: &str) {
        self.seen().frozen = Some(Frozen { name: name.to_owned(), since_ms: self.now_ms() });
    }

    /// It is about to be woken.
    pub fn wakes(&self) {
        self.seen().frozen = None;
    }

    /// Notes a broken promise.
    pub fn broke(&self, broken: Break) {
        self.seen().breaks.push(broken);
    }

    /// What is known of the purges of a case.
    pub fn purges(&self, case: &str) -> Vec<PurgeSeen> {
        self.seen().purges.values().filter(|purge| purge.case == case).cloned().collect()
    }

    /// Objects that were purged last.
    pub fn latest_objects(&self, most: usize) -> Vec<u64> {
        let seen = self.seen();
        let mut purges: Vec<&PurgeSeen> = seen.purges.values().collect();
        purges.sort_unstable_by(|a, b| b.published_ms.total_cmp(&a.published_ms));
        purges.iter().take(most).map(|purge| purge.object).collect()
    }

    /// How many forwards came.
    pub fn forwards(&self) -> usize {
        self.seen().forwards.len()
    }

    /// When a dispatcher first forwarded to an address since a time, Unix ms.
    pub fn first_forward(&self, dispatcher: usize, host: HostAddress, since_ms: f64) -> Option<f64> {
        let seen = self.seen();
        let is_it = |forward: &&Forward| {
            forward.dispatcher == dispatcher && forward.host == host && forward.arrived_ms >= since_ms
        };
        seen.forwards.iter().find(is_it).map(|forward| forward.arrived_ms)
    }

    /// When a dispatcher last forwarded to an address, Unix ms.
    pub fn last_forward(&self, dispatcher: usize, host: HostAddress) -> Option<f64> {
        let seen = self.seen();
        let is_it = |forward: &&Forward| forward.dispatcher == dispatcher && forward.host == host;
        seen.forwards.iter().rfind(is_it).map(|forward| forward.arrived_ms)
    }

    /// Judges all forwards for objects that a case has purged.
    pub fn judge(&self, case: &str) -> Judged {
        let seen = self.seen();
        let mut judged = Judged::default();
        for forward in &seen.forwards {
            let Some(purge) = seen.purges.get(&forward.object).filter(|purge| purge.case == case) else {
                continue;
            };
            let Some(accepted_before_ms) = accepted_before_purge_ms(forward, purge) else { continue };
            judged.count += 1;
            if accepted_before_ms > CLOCK_SLACK_MS {
                judged.breaks.push(old_copy_accepted(forward, purge, accepted_before_ms));
            }
        }
        judged
    }

    /// All broken promises that were noted, the first of them first.
    pub fn breaks(&self) -> Vec<Break> {
        let mut breaks = self.seen().breaks.clone();
        breaks.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        breaks
    }
}

/// How much older than the purge a copy may be by a forward, ms; none: it came too early or too late to be judged.
fn accepted_before_purge_ms(forward: &Forward, purge: &PurgeSeen) -> Option<f64> {
    let is_in_force = forward.arrived_ms > purge.in_force_ms? + ARRIVAL_SLACK_MS;
    let is_judged = is_in_force && forward.arrived_ms < purge.published_ms + JUDGED_FOR_MS;
    let oldest_ms = forward.oldest_ms.unwrap_or(f64::INFINITY);
    is_judged.then_some(purge.published_ms - (forward.arrived_ms - oldest_ms))
}

fn old_copy_accepted(forward: &Forward, purge: &PurgeSeen, before_purge_ms: f64) -> Break {
    let in_force_ms = forward.arrived_ms - purge.in_force_ms.unwrap_or(forward.arrived_ms);
    let dispatcher = forward.dispatcher;
    Break {
        at_ms: forward.arrived_ms,
        case: purge.case,
        object: Some(purge.object),
        cause: BreakCause::OldCopyAccepted { dispatcher, before_purge_ms, in_force_ms },
    }
}

impl Seen {
    fn purge_told(&mut self, replica: &str, told: &PurgeStatus, told_ms: f64) {
        let PurgeTarget::Object(name) = &told.target else { return };
        let object = u64::from_str_radix(name, 16).ok();
        let Some(purge) = object.and_then(|object| self.purges.get_mut(&object)) else { return };
        match &told.state {
            PurgeState::Outstanding { dispatchers, replicas, .. } => {
                let replicas = replicas.iter().map(|replica| replica.name.clone());
                purge.waits_for = dispatchers.iter().cloned().chain(replicas).collect();
                purge.outstanding.extend(purge.waits_for.iter().cloned());
            }
            PurgeState::InForce { .. } if purge.in_force_ms.is_none() => {
                purge.in_force_ms = Some(told_ms);
                let broken = self.frozen.as_ref().and_then(|frozen| {
                    let polled_ms = self.polled_ms.get(&frozen.name).copied().unwrap_or(frozen.since_ms);
                    frozen.broken(purge, replica, polled_ms, told_ms)
                });
                self.breaks.extend(broken);
            }
            PurgeState::InForce { .. } => {}
        }
    }
}

impl Frozen {
    /// The promise that is broken by a purge that came after it was stopped and was said to be in force now. Its lease
    /// counts from its last poll.
    fn broken(&self, purge: &PurgeSeen, replica: &str, polled_ms: f64, told_ms: f64) -> Option<Break> {
        let has_lease = told_ms < polled_ms + MEMBER_LEASE.as_secs_f64() * 1e3;
        let is_broken = purge.published_ms > self.since_ms && has_lease;
        is_broken.then(|| Break {
            at_ms: told_ms,
            case: purge.case,
            object: Some(purge.object),
            cause: BreakCause::InForceWhileFrozen {
                replica: replica.to_owned(),
                dispatcher: self.name.clone(),
            },
        })
    }
}
