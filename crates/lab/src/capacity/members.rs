//! Membership apart: hollow dispatchers as members, each at an address of its own, at one size after the other. What they say
//! of each other is asked of each from outside; datagrams are counted on the ways between them.

use super::child::Child;
use super::errors::CapacityError;
use super::footprint::{HOSTS_LEAST, host_line, settings};
use super::messages::{
    Done, HollowConfig, HollowRequest, HollowStart, Listening, LogCounts, LogRequest, MemberStart,
};
use super::usage::Usage;
use crate::membership::{FLEET, ask, number};
use crate::stand::between::Between;
use crate::stand::net::Net;
use crate::stand::process::own_address_of;
use myrtlegauge_membership::MemberState;
use myrtlegauge_membership::message::Exchange;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sizes of a fleet of members, in full and in the small form.
const FULL: [usize; 5] = [8, 21, 48, 64, 96];
const QUICK: [usize; 1] = [8];
/// Members in one process.
const MEMBERS_EACH: usize = 12;
/// Peers that each is told of to begin with.
const PEERS: usize = 3;
/// How long they may take to find each other, and to know of a death.
const WHOLE_WITHIN: Duration = Duration::from_secs(10);
const DEATH_WITHIN: Duration = Duration::from_secs(5);
/// How long bytes are counted.
const WINDOW: Duration = Duration::from_secs(3);
const QUICK_WINDOW: Duration = Duration::from_secs(1);
/// Between two looks at all members.
const LOOKS_EVERY: Duration = Duration::from_millis(50);

pub fn sizes(quick: bool) -> &'static [usize] {
    if quick { &QUICK } else { &FULL }
}

/// What members cost at one size, and what they know.
#[derive(Clone, Debug, Serialize)]
pub struct MemberFigures {
    pub members: usize,
    /// Bytes of datagrams that each sent, by the ways between them; connections of looks are not counted.
    pub bytes_per_second: f64,
    pub cpu_percent: f64,
    pub memory_kb: f64,
    /// Until each held all others for here and had most; none: not in time.
    pub whole_ms: Option<f64>,
    /// Until all others held one that was ended for gone; none: not in time, or not asked since they were not whole.
    pub death_known_ms: Option<f64>,
    pub breaks: Vec<String>,
}

/// Members in their processes, the last of them in one of its own, which can be killed as a dispatcher's is; with the change
/// log that they follow and the ways between them.
struct Members {
    processes: Vec<Child>,
    empty: Vec<Usage>,
    between: Arc<Between>,
    /// Kept while the members follow it.
    _log: Child,
}

/// Plays one size.
///
/// # Errors
/// A process that does not start, or breaks off.
pub async fn play(count: usize, seed: u64, quick: bool) -> Result<MemberFigures, CapacityError> {
    let mut members = Members::start(count, seed).await?;
    let whole_ms = members.until(WHOLE_WITHIN, is_whole(count)).await;
    let (before, sent) = (members.usage(), members.sent());
    let began = Instant::now();
    tokio::time::sleep(if quick { QUICK_WINDOW } else { WINDOW }).await;
    let long = began.elapsed().as_secs_f64();
    let sent = members.sent() - sent;
    let after = members.usage();
    let cpu: f64 = before.iter().zip(&after).map(|(then, now)| (now.cpu - then.cpu).as_secs_f64()).sum();
    let memory: u64 =
        after.iter().zip(&members.empty).map(|(now, empty)| now.memory_kb - empty.memory_kb).sum();
    let mut breaks = Vec::new();
    let death_known_ms = if whole_ms.is_some() { members.death(count).await } else { None };
    if members.processes.iter_mut().any(Child::has_died) {
        breaks.push(format!("a process of {count} members ended by itself"));
    }
    Ok(MemberFigures {
        members: count,
        bytes_per_second: sent as f64 / count as f64 / long,
        cpu_percent: cpu / count as f64 / long * 100.0,
        memory_kb: memory as f64 / count as f64,
        whole_ms,
        death_known_ms,
        breaks,
    })
}

impl Members {
    async fn start(count: usize, seed: u64) -> Result<Self, CapacityError> {
        let listens: Vec<SocketAddr> = (0..count).map(own_address_of).collect();
        let laid = Between::lay(listens.clone(), &Arc::new(Net::new(seed))).await;
        let between = laid.map_err(|why| CapacityError::Machine(why.to_string()))?;
        let mut log = Child::start("changelog-stand-in")?;
        let lines = (0..HOSTS_LEAST).map(|host| host_line(host, "active")).collect();
        let _: LogCounts = log.ask(&LogRequest::List { lines, snapshot: true })?;
        let listening: Listening = log.ask(&LogRequest::Listen { name: "members".to_owned() })?;
        let config =
            HollowConfig { settings: settings()?, change_log: listening.address, replicas: Vec::new(), seed };
        let mut members = Self { processes: Vec::new(), empty: Vec::new(), between, _log: log };
        for _ in 0..1 + (count - 1).div_ceil(MEMBERS_EACH) {
            let mut process = Child::start("hollow")?;
            let _: Done = process.ask(&HollowRequest::Configure(config.clone()))?;
            members.empty.push(Usage::of(process.id()));
            members.processes.push(process);
        }
        members.begin(count)?;
        Ok(members)
    }

    fn begin(&mut self, count: usize) -> Result<(), CapacityError> {
        let (shared, last) = (self.processes.len() - 1, count - 1);
        for (at, process) in self.processes.iter_mut().enumerate() {
            let between = &self.between;
            let start = |number: usize| HollowStart {
                number,
                name: format!("d{number}"),
                deaf_to_purges: false,
                member: Some(MemberStart {
                    fleet: FLEET.to_owned(),
                    listen: between.listens[number],
                    reached_at: between.reached[number],
                    peers: between.reached.iter().take(PEERS).copied().collect(),
                    told: count,
                }),
            };
            let numbers = if at == shared { last..count } else { at..last };
            let hollows = numbers.step_by(shared).map(start).collect();
            process.send(&HollowRequest::Start { hollows })?;
        }
        for process in &mut self.processes {
            let _: Done = process.receive()?;
        }
        Ok(())
    }

    fn usage(&self) -> Vec<Usage> {
        self.processes.iter().map(|process| Usage::of(process.id())).collect()
    }

    fn sent(&self) -> u64 {
        (0..self.between.listens.len()).map(|member| self.between.sent(member)).sum()
    }

    /// What all members say, asked at once; who does not answer in time is left out.
    async fn views(&self) -> BTreeMap<usize, Exchange> {
        let mut asked = tokio::task::JoinSet::new();
        for (member, at) in self.between.listens.iter().copied().enumerate() {
            asked.spawn(async move { Some((member, ask(at).await?)) });
        }
        asked.join_all().await.into_iter().flatten().collect()
    }

    /// Milliseconds until what members say is as it should be; none: not in time.
    async fn until(&self, most: Duration, is_so: impl Fn(&BTreeMap<usize, Exchange>) -> bool) -> Option<f64> {
        let began = Instant::now();
        while began.elapsed() < most {
            if is_so(&self.views().await) {
                return Some(began.elapsed().as_secs_f64() * 1e3);
            }
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        None
    }

    /// Kills the process of the last member, which is none of the peers that the others began with; milliseconds until all
    /// others hold it for gone.
    async fn death(&mut self, count: usize) -> Option<f64> {
        let dead = count - 1;
        drop(self.processes.pop());
        let knows = |view: &Exchange| {
            view.records.iter().any(|line| number(line) == Some(dead) && line.state == MemberState::Dead)
        };
        let all_know =
            |views: &BTreeMap<usize, Exchange>| views.len() + 1 == count && views.values().all(knows);
        self.until(DEATH_WITHIN, all_know).await
    }
}

/// Whether each holds all others for here, and has most.
fn is_whole(count: usize) -> impl Fn(&BTreeMap<usize, Exchange>) -> bool {
    move |views| {
        let here =
            |view: &Exchange| view.records.iter().filter(|line| line.state == MemberState::Alive).count();
        views.len() == count && views.values().all(|view| view.reaches_most && here(view) + 1 == count)
    }
}
