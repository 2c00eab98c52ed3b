//! The faults, one case after the other on one fleet, and what is promised in each.

use super::errors::{Break, BreakCause, ProofError};
use super::fleet::Fleet;
use super::oracle::{HostAddress, MEMBER_LEASE, PurgeSeen};
use super::relay::Direction;
use super::replica_program::Published;
use myrtlegauge_replication::{HostLine, Record, Version};
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// A purge is in force within this, also where a replica is killed.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(1900);
/// And where replicas hear nothing of each other, or all start again, once those that are gone have lost their leases.
const IN_FORCE_AT_LAST: Duration = Duration::from_secs(20);
/// A change of the list is in force everywhere within this.
const CHANGED_WITHIN: Duration = Duration::from_secs(7);
/// Between two purges.
const PURGE_EVERY: Duration = Duration::from_millis(50);
/// Purges at once, and until when after them a replica is killed: within one batch of its log.
const BATCH: usize = 20;
const KILLED_WITHIN_MS: u64 = 100;
/// How long clients go on to ask after all purges of a case are in force.
const ASKED_FOR: Duration = Duration::from_millis(800);
const LOOKS_EVERY: Duration = Duration::from_millis(20);

/// What is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// A replica is killed in mid-batch.
    Killed,
    /// All replicas are killed and started again together.
    Restarted,
    /// One direction between two replicas is cut, then healed.
    Cut,
    /// A dispatcher is frozen across purges, and woken.
    Frozen,
    /// The same for longer than its lease.
    FrozenLong,
    /// A line of the list of hosts changes, and an older one is published.
    Configuration,
}

/// All cases in their order; a quick run leaves out the long one.
pub fn all(is_quick: bool) -> Vec<Case> {
    let mut cases = vec![Case::Frozen, Case::Cut, Case::Configuration, Case::Killed, Case::Restarted];
    if !is_quick {
        cases.push(Case::FrozenLong);
    }
    cases
}

impl Case {
    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Killed => "killed",
            Self::Restarted => "restarted",
            Self::Cut => "cut",
            Self::Frozen => "frozen",
            Self::FrozenLong => "frozen_long",
            Self::Configuration => "configuration",
        }
    }

    /// Runs it, waits until its purges are in force, and judges.
    pub async fn run(self, fleet: &mut Fleet) -> Result<(), ProofError> {
        match self {
            Self::Killed => self.kill(fleet).await?,
            Self::Restarted => self.restart(fleet).await?,
            Self::Cut => self.cut(fleet).await,
            Self::Frozen => self.freeze(fleet, Duration::from_millis(2500)).await,
            Self::FrozenLong => self.freeze(fleet, MEMBER_LEASE + Duration::from_secs(3)).await,
            Self::Configuration => self.configure(fleet).await?,
        }
        self.until_in_force(fleet).await;
        tokio::time::sleep(ASKED_FOR).await;
        self.judge(fleet);
        Ok(())
    }

    /// How long after its publication a purge of this case may come in force.
    fn bound(self) -> Duration {
        match self {
            Self::Killed | Self::Configuration => IN_FORCE_WITHIN,
            Self::Restarted | Self::Cut | Self::Frozen | Self::FrozenLong => IN_FORCE_AT_LAST,
        }
    }

    async fn kill(self, fleet: &mut Fleet) -> Result<(), ProofError> {
        // Two replicas follow the change log, so that each of the three may be killed.
        let size = fleet_size(fleet);
        let victim = fleet.chance().usize(..size);
        let wait = Duration::from_millis(fleet.chance().u64(..KILLED_WITHIN_MS));
        self.batch(fleet);
        tokio::time::sleep(wait).await;
        fleet.replicas[victim].kill();
        self.batch(fleet);
        fleet.purge_for(self.name(), Duration::from_millis(1500), PURGE_EVERY).await;
        self.until_in_force(fleet).await;
        fleet.replicas[victim].begin()?;
        fleet.until_settled().await
    }

    fn batch(self, fleet: &mut Fleet) {
        for _ in 0..BATCH {
            fleet.purge(self.name());
        }
    }

    async fn restart(self, fleet: &mut Fleet) -> Result<(), ProofError> {
        self.batch(fleet);
        fleet.replicas.iter_mut().for_each(super::program::Program::kill);
        fleet.purge_for(self.name(), Duration::from_millis(300), PURGE_EVERY).await;
        for replica in &mut fleet.replicas {
            replica.begin()?;
        }
        fleet.purge_for(self.name(), Duration::from_secs(1), PURGE_EVERY).await;
        fleet.until_settled().await?;
        let settled_ms = fleet.oracle.now_ms();
        fleet.purge_for(self.name(), Duration::from_secs(1), PURGE_EVERY).await;
        self.until_in_force(fleet).await;
        self.hold_to(fleet, settled_ms, IN_FORCE_WITHIN);
        Ok(())
    }

    async fn cut(self, fleet: &mut Fleet) {
        let size = fleet_size(fleet);
        let from = fleet.chance().usize(..size);
        let to = (from + fleet.chance().usize(1..size)) % size;
        let direction = Direction { from, to };
        fleet.relays.cut(direction);
        fleet.purge_for(self.name(), Duration::from_secs(4), PURGE_EVERY).await;
        fleet.relays.heal(direction);
        let healed_ms = fleet.oracle.now_ms();
        fleet.purge_for(self.name(), Duration::from_secs(1), PURGE_EVERY).await;
        self.until_in_force(fleet).await;
        // What was on its way is heard first, and a poll that was given up is sent again.
        self.hold_to(fleet, healed_ms, IN_FORCE_AT_LAST);
    }

    async fn freeze(self, fleet: &mut Fleet, long: Duration) {
        let size = fleet.dispatchers.len();
        let place = fleet.chance().usize(..size);
        let name = fleet.dispatchers[place].name.clone();
        fleet.dispatchers[place].signal(Signal::STOP);
        tokio::time::sleep(LOOKS_EVERY).await;
        fleet.oracle.froze(&name);
        tokio::time::sleep(LOOKS_EVERY).await;
        self.batch(fleet);
        fleet.purge_for(self.name(), Duration::from_millis(500), PURGE_EVERY).await;
        tokio::time::sleep(long).await;
        fleet.oracle.wakes();
        let woken = Instant::now();
        fleet.dispatchers[place].signal(Signal::CONT);
        self.until_in_force(fleet).await;
        let is_named = |purge: &PurgeSeen| purge.outstanding.contains(&name);
        if !fleet.oracle.purges(self.name()).iter().any(is_named) {
            self.broke(fleet, None, BreakCause::NotNamed(name));
        }
        let took = woken.elapsed();
        if took > IN_FORCE_WITHIN {
            let took_ms = Some(took.as_secs_f64() * 1e3);
            let waited_for = "a dispatcher that was woken".to_owned();
            self.broke(fleet, None, BreakCause::TooLate { took_ms, bound: IN_FORCE_WITHIN, waited_for });
        }
    }

    async fn configure(self, fleet: &mut Fleet) -> Result<(), ProofError> {
        let published_ms = fleet.oracle.now_ms();
        fleet.move_cache();
        fleet.purge_for(self.name(), Duration::from_secs(1), PURGE_EVERY).await;
        let end = Instant::now() + CHANGED_WITHIN;
        let places = 0..fleet.dispatchers.len();
        while Instant::now() < end && !places.clone().all(|place| has_moved(fleet, place, published_ms)) {
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        tokio::time::sleep(ASKED_FOR).await;
        let end_ms = published_ms + CHANGED_WITHIN.as_secs_f64() * 1e3;
        for dispatcher in places {
            let first = fleet.oracle.first_forward(dispatcher, HostAddress::CacheMoved, published_ms);
            let old = fleet.oracle.last_forward(dispatcher, HostAddress::Cache);
            let in_time = first.is_some_and(|at| at <= end_ms) && old.is_none_or(|at| at <= end_ms);
            if !in_time {
                let cause = BreakCause::ChangeTooLate { dispatcher, bound: CHANGED_WITHIN };
                self.broke(fleet, None, cause);
            }
        }
        self.publish_older(fleet)
    }

    /// Publishes the line that the cache had at first, under the version that it had.
    fn publish_older(self, fleet: &mut Fleet) -> Result<(), ProofError> {
        let endpoint = fleet.first_line().clone();
        let name = endpoint["name"].as_str().unwrap_or_default().to_owned();
        let record = Record::HostLine(HostLine { name, version: Version(1), endpoint });
        for place in 0..fleet.replicas.len() {
            let published = fleet.replicas[place].publish(&record)?;
            if !matches!(published, Published::Older { known } if known > Version(1)) {
                self.broke(fleet, None, BreakCause::OlderTaken(format!("{published:?}")));
            }
        }
        Ok(())
    }

    /// Waits until all purges of this case are in force, or one of them is so late that the promise is broken.
    async fn until_in_force(self, fleet: &Fleet) {
        let end = Instant::now() + IN_FORCE_AT_LAST;
        let is_open = |purge: &PurgeSeen| purge.in_force_ms.is_none();
        while Instant::now() < end && fleet.oracle.purges(self.name()).iter().any(is_open) {
            tokio::time::sleep(LOOKS_EVERY).await;
        }
    }

    fn judge(self, fleet: &Fleet) {
        self.hold_to(fleet, 0.0, self.bound());
        let judged = fleet.oracle.judge(self.name());
        if judged.count == 0 {
            self.broke(fleet, None, BreakCause::NothingJudged);
        }
        judged.breaks.into_iter().for_each(|broken| fleet.oracle.broke(broken));
    }

    /// Notes purges published since a time that were not in force within a bound.
    fn hold_to(self, fleet: &Fleet, since_ms: f64, bound: Duration) {
        let bound_ms = bound.as_secs_f64() * 1e3;
        for purge in fleet.oracle.purges(self.name()) {
            let in_time = purge.took_ms().is_some_and(|took| took <= bound_ms);
            if purge.published_ms >= since_ms && !in_time {
                let waited_for = purge.waits_for.iter().cloned().collect::<Vec<_>>().join(", ");
                fleet.oracle.broke(Break {
                    at_ms: purge.published_ms + bound_ms,
                    case: self.name(),
                    object: Some(purge.object),
                    cause: BreakCause::TooLate { took_ms: purge.took_ms(), bound, waited_for },
                });
            }
        }
    }

    fn broke(self, fleet: &Fleet, object: Option<u64>, cause: BreakCause) {
        let at_ms = fleet.oracle.now_ms();
        fleet.oracle.broke(Break { at_ms, case: self.name(), object, cause });
    }
}

fn fleet_size(fleet: &Fleet) -> usize {
    fleet.replicas.len()
}

fn has_moved(fleet: &Fleet, dispatcher: usize, since_ms: f64) -> bool {
    fleet.oracle.first_forward(dispatcher, HostAddress::CacheMoved, since_ms).is_some()
}
