//! The replicas of a capacity run: processes of the shipped program in full mesh, a few of which follow the change log.

use super::errors::CapacityError;
use super::fleet::Look;
use super::in_force::ToldInForce;
use super::point::{MESSAGES_OF_A_POLL, RoleFigures, sum_cpu};
use super::usage::Usage;
use crate::stand::process::own_address;
use crate::stand::service::Service;
use myrtlegauge_replica::status::{self, Status, Traffic};
use myrtlegauge_replication::ReplicaStanding;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The hidden subcommand of a replica.
const PROGRAM: &str = "replica";
/// How long a replica may take to show its status.
pub const STATUS_PATIENCE: Duration = Duration::from_secs(5);
/// How long all may take to be established: a start-up hold of five seconds is a part of that.
const ESTABLISHED_WITHIN: Duration = Duration::from_secs(20);
/// Between two looks at how far they are.
const LOOKS_EVERY: Duration = Duration::from_millis(50);

/// The replicas, in the order of their numbers.
#[derive(Default)]
pub struct Replicas {
    processes: Vec<Service>,
}

/// The name of a replica.
fn name_of(number: usize) -> String {
    format!("replica-{number}")
}

/// The operator file of a replica among all of them.
fn file_of(number: usize, addresses: &[SocketAddr], source: Option<SocketAddr>) -> String {
    let others = addresses.iter().enumerate().filter(|(other, _)| *other != number);
    let peers: String = others
        .map(|(other, address)| format!(" (peer (name \"{}\") (address \"{address}\"))\n", name_of(other)))
        .collect();
    let source = source.map_or(String::new(), |address| format!(" (source \"{address}\")\n"));
    format!(
        "(log (level error))\n(replica (name \"{}\") (listen \"{}\")\n{peers}{source} (batch 100ms) (member-lease 10s) \
         (doubt-after 3s) (purges-kept 40s) (most-connections 1000))\n",
        name_of(number),
        addresses[number]
    )
}

impl Replicas {
    /// Starts so many, the first `sources` of which follow the change log.
    ///
    /// # Errors
    /// A program that does not start.
    pub fn start(count: usize, sources: usize, change_log: SocketAddr) -> Result<Self, CapacityError> {
        let addresses: Vec<_> = (0..count).map(|_| own_address()).collect();
        let mut replicas = Self::default();
        for number in 0..count {
            let text = file_of(number, &addresses, (number < sources).then_some(change_log));
            let process =
                Service::of_program(PROGRAM, addresses[number], &text, false).map_err(not_started)?;
            replicas.processes.push(process);
            replicas.restart(number)?;
        }
        Ok(replicas)
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(Service::address).collect()
    }

    /// The one that is asked what is in force: the last, which follows only its peers where there are fewer sources.
    pub fn observer(&self) -> Option<SocketAddr> {
        self.processes.last().map(Service::address)
    }

    /// The one that is killed: from the middle.
    pub fn victim(&self) -> usize {
        self.processes.len() / 2
    }

    /// Ends one at once, without a word.
    pub fn kill(&mut self, number: usize) {
        self.processes[number].kill();
    }

    /// Starts one again that was killed.
    ///
    /// # Errors
    /// A program that does not start.
    pub fn restart(&mut self, number: usize) -> Result<(), CapacityError> {
        self.processes[number].start().map_err(not_started)
    }

    /// Waits until each has read the others and counts in majorities.
    ///
    /// # Errors
    /// Some that have not in time.
    pub async fn until_established(&self) -> Result<(), CapacityError> {
        let began = Instant::now();
        loop {
            let is_established = |status: &Option<Status>| {
                status.as_ref().is_some_and(|status| status.standing == ReplicaStanding::Established)
            };
            let done = self.statuses().iter().filter(|status| is_established(status)).count();
            let all = self.processes.len();
            if done == all {
                return Ok(());
            }
            if began.elapsed() > ESTABLISHED_WITHIN {
                let (what, seconds) = ("replicas were established", ESTABLISHED_WITHIN.as_secs());
                return Err(CapacityError::TooLate { what, seconds, done, all });
            }
            tokio::time::sleep(LOOKS_EVERY).await;
        }
    }

    fn statuses(&self) -> Vec<Option<Status>> {
        let shown = |process: &Service| {
            process.id().and_then(|_| status::fetch(process.address(), STATUS_PATIENCE).ok())
        };
        self.processes.iter().map(shown).collect()
    }

    /// What has passed at each once this look is over; none of one that does not run.
    pub fn traffic(&self) -> Vec<Option<Traffic>> {
        let with_answer = |status: Status| {
            // The answer itself is counted only after it was made.
            let answer = serde_json::to_vec(&status).map_or(0, |body| body.len() as u64);
            Traffic { bytes_out: status.traffic.bytes_out + answer, ..status.traffic }
        };
        self.statuses().into_iter().map(|status| status.map(with_answer)).collect()
    }

    /// What each uses; nothing of one that does not run.
    pub fn used(&self) -> Vec<Usage> {
        self.processes.iter().map(|process| process.id().map(Usage::of).unwrap_or_default()).collect()
    }

    /// Those that ended though nobody asked them to.
    pub fn deaths(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut().enumerate();
        let dead = processes.filter_map(|(number, process)| process.has_crashed().then(|| name_of(number)));
        dead.collect()
    }
}

impl From<Traffic> for RoleTraffic {
    fn from(traffic: Traffic) -> Self {
        Self {
            messages: MESSAGES_OF_A_POLL * traffic.polls_answered,
            bytes: traffic.bytes_in + traffic.bytes_out,
        }
    }
}

/// What passed at a replica, as a role's figures have it.
struct RoleTraffic {
    messages: u64,
    bytes: u64,
}

fn not_started(why: String) -> CapacityError {
    CapacityError::Start { program: "a replica", why }
}

/// What the replicas cost, and what one of them told.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaFigures {
    /// Each of those that ran all the while and were not asked what is in force.
    pub each: RoleFigures,
    /// The one that was asked many times a second.
    pub observer: RoleFigures,
    /// The most that one of them took, the observer left out.
    pub cpu_percent_most: f64,
    /// From published to told as in force at every dispatcher.
    pub told: ToldInForce,
}

impl ReplicaFigures {
    /// Between two looks; what was told is put in by who has waited for it.
    pub fn of(before: &Look, after: &Look, seconds: f64) -> Self {
        let figures: Vec<_> =
            (0..after.replicas.len()).map(|number| of_one(before, after, number, seconds)).collect();
        let (observer, others) =
            figures.split_last().map_or((None, &[][..]), |(last, others)| (*last, others));
        let others: Vec<RoleFigures> = others.iter().flatten().copied().collect();
        let most = others.iter().map(|figures| figures.cpu_percent).fold(0.0, f64::max);
        Self {
            each: RoleFigures::mean(&others),
            observer: observer.unwrap_or_default(),
            cpu_percent_most: most,
            told: ToldInForce::default(),
        }
    }
}

/// None of a replica that did not run at both looks.
fn of_one(before: &Look, after: &Look, number: usize, seconds: f64) -> Option<RoleFigures> {
    let (then, now) = (RoleTraffic::from(before.traffic[number]?), RoleTraffic::from(after.traffic[number]?));
    let used = after.replicas[number];
    Some(RoleFigures {
        cpu_percent: sum_cpu(&before.replicas[number..=number], &[used]) / seconds * 100.0,
        memory_kb: used.memory_kb as f64,
        descriptors: used.descriptors as f64,
        messages_per_second: now.messages.saturating_sub(then.messages) as f64 / seconds,
        bytes_per_second: now.bytes.saturating_sub(then.bytes) as f64 / seconds,
    })
}
