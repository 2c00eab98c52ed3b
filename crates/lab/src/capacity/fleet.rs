//! The fleet of one point: the change log, control machines, processes of hollow dispatchers and, for a comparison, real
//! dispatchers. All of it is started here, spoken to here, and ended when it is dropped.

use super::child::Child;
use super::errors::CapacityError;
use super::footprint::{control_file, host_line, settings};
use super::in_force::{InForceWatch, ToldInForce};
use super::messages::{
    Done, HollowConfig, HollowCounts, HollowReport, HollowRequest, HollowStart, Listening, LogCounts,
    LogRequest,
};
use super::replicas::Replicas;
use super::size::Size;
use super::usage::Usage;
use crate::stand::process::{Dispatcher, Told};
use crate::stand::service::Service;
use myrtlegauge_replica::status::Traffic;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The groups of readers that hollow dispatchers and replicas are, at the change log.
pub const HOLLOWS: &str = "hollow";
pub const REPLICAS: &str = "replica";
/// How long all may take to be listed in, or to have every purge.
pub const SETTLES_WITHIN: Duration = Duration::from_secs(20);
/// How long they are given where a fault was put in.
const FAULT_PATIENCE: Duration = Duration::from_secs(2);
/// Between two looks at who is done.
const LOOKS_EVERY: Duration = Duration::from_millis(50);

/// How a point is played, its size apart.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub seed: u64,
    /// A fault put in: the first hollow dispatcher takes no purges.
    pub without_delivery: bool,
    /// Real dispatchers beside the hollow ones.
    pub reals: usize,
    /// Hollow dispatchers that have a process to themselves, beside those that share one.
    pub lones: usize,
    /// Replicas that follow the change log themselves, where there are replicas.
    pub sources: usize,
}

pub struct Fleet {
    pub size: Size,
    conditions: Conditions,
    log: Child,
    hollows: Vec<HollowProcess>,
    controls: Vec<Service>,
    reals: Vec<Dispatcher>,
    lones: Vec<Child>,
    pub replicas: Replicas,
    /// What a replica tells of the purges, where there are replicas.
    pub watch: Option<InForceWatch>,
    /// Hollow dispatchers that are to be running now.
    running: Vec<bool>,
    /// Hosts that are active by the list as it is now.
    active_hosts: usize,
    /// Microseconds from published to in force, with how often each was seen, since they were last taken.
    in_force_us: Vec<(u64, u64)>,
}

/// A process of hollow dispatchers.
struct HollowProcess {
    child: Child,
    /// What it used before it had any hollow dispatcher.
    empty: Usage,
}

/// What every process used, and what the change log counted, at one time.
pub struct Look {
    pub at: Instant,
    pub hollows: Vec<Usage>,
    pub controls: Vec<Usage>,
    pub reals: Vec<Usage>,
    pub lones: Vec<Usage>,
    pub log: Usage,
    pub counts: LogCounts,
    pub replicas: Vec<Usage>,
    /// What each replica's own counters say; none of one that does not answer.
    pub traffic: Vec<Option<Traffic>>,
    /// What each hollow dispatcher counted, by its number, where there are replicas.
    pub own: BTreeMap<usize, HollowCounts>,
}

/// The name of a control machine or a real dispatcher at the change log.
pub fn reader_name(role: &str, number: usize) -> String {
    format!("{role}-{number}")
}

impl Fleet {
    /// Starts the fleet and waits until every dispatcher and control machine is listed in.
    ///
    /// # Errors
    /// A program that does not start, a dispatcher that is not listed in in time.
    pub async fn start(size: Size, conditions: Conditions) -> Result<Self, CapacityError> {
        let mut log = Child::start("changelog-stand-in")?;
        let lines = (0..size.hosts).map(|host| host_line(host, "active")).collect();
        let _: LogCounts = log.ask(&LogRequest::List { lines, snapshot: true })?;
        let mut fleet = Self {
            size,
            conditions,
            log,
            hollows: Vec::new(),
            controls: Vec::new(),
            reals: Vec::new(),
            lones: Vec::new(),
            replicas: Replicas::default(),
            watch: None,
            running: vec![false; size.dispatchers],
            active_hosts: size.hosts,
            in_force_us: Vec::new(),
        };
        fleet.start_replicas().await?;
        fleet.start_controls()?;
        fleet.start_reals()?;
        fleet.start_lones()?;
        fleet.start_processes()?;
        fleet.start_hollows(&(0..size.dispatchers).collect::<Vec<_>>())?;
        fleet.until_settled("dispatchers were listed in", 0).await?;
        if let Some(watch) = &fleet.watch {
            watch.until_attached(size.dispatchers).await?;
        }
        Ok(fleet)
    }

    async fn start_replicas(&mut self) -> Result<(), CapacityError> {
        if self.size.replicas == 0 {
            return Ok(());
        }
        let change_log = self.listen(REPLICAS.to_owned())?;
        self.replicas = Replicas::start(self.size.replicas, self.conditions.sources, change_log)?;
        self.replicas.until_established().await?;
        self.watch = self.replicas.observer().map(InForceWatch::start);
        Ok(())
    }

    fn listen(&mut self, name: String) -> Result<SocketAddr, CapacityError> {
        let listening: Listening = self.log.ask(&LogRequest::Listen { name })?;
        Ok(listening.address)
    }

    fn start_controls(&mut self) -> Result<(), CapacityError> {
        for number in 0..self.size.controls {
            let change_log = self.listen(reader_name("control", number))?.to_string();
            let fault = |why| CapacityError::Start { program: "the control service", why };
            let mut control =
                Service::new(false, |listen| control_file(listen, &change_log)).map_err(fault)?;
            control.start().map_err(fault)?;
            self.controls.push(control);
        }
        Ok(())
    }

    fn start_reals(&mut self) -> Result<(), CapacityError> {
        let settings = settings()?;
        for number in 0..self.conditions.reals {
            let name = reader_name("real", number);
            let changelog = self.listen(name.clone())?;
            let seed = self.conditions.seed.wrapping_add(number as u64);
            let told = Told { name, changelog, known: json!({"seq": 0, "results": []}), seed };
            let real = Dispatcher::start_as(&settings, told, false);
            self.reals.push(real.map_err(|why| CapacityError::Start { program: "a real dispatcher", why })?);
        }
        Ok(())
    }

    fn start_lones(&mut self) -> Result<(), CapacityError> {
        let settings = settings()?;
        for number in 0..self.conditions.lones {
            let name = reader_name("lone", number);
            let change_log = self.listen(name.clone())?;
            let seed = self.conditions.seed.wrapping_add(number as u64);
            let config = HollowConfig { settings: settings.clone(), change_log, replicas: Vec::new(), seed };
            let hollow = HollowStart { number, name, deaf_to_purges: false, member: None };
            let mut lone = Child::start("hollow")?;
            let _: Done = lone.ask(&HollowRequest::Configure(config))?;
            let _: Done = lone.ask(&HollowRequest::Start { hollows: vec![hollow] })?;
            self.lones.push(lone);
        }
        Ok(())
    }

    fn start_processes(&mut self) -> Result<(), CapacityError> {
        let change_log = self.listen(HOLLOWS.to_owned())?;
        let (replicas, seed) = (self.replicas.addresses(), self.conditions.seed);
        let config = HollowConfig { settings: settings()?, change_log, replicas, seed };
        for _ in 0..self.size.hollow_processes() {
            let mut child = Child::start("hollow")?;
            let _: Done = child.ask(&HollowRequest::Configure(config.clone()))?;
            let empty = Usage::of(child.id());
            self.hollows.push(HollowProcess { child, empty });
        }
        Ok(())
    }

    /// Hollow dispatchers by the process that they belong to.
    fn by_process(&self, numbers: &[usize]) -> Vec<Vec<usize>> {
        let processes = self.hollows.len();
        let mut shares = vec![Vec::new(); processes];
        for &number in numbers {
            shares[number % processes].push(number);
        }
        shares
    }

    /// Asks each process something of its own, all at once, and waits for all replies.
    fn ask_each<T: serde::de::DeserializeOwned>(
        &mut self,
        requests: impl IntoIterator<Item = HollowRequest>,
    ) -> Result<Vec<T>, CapacityError> {
        for (process, request) in self.hollows.iter_mut().zip(requests) {
            process.child.send(&request)?;
        }
        self.hollows.iter_mut().map(|process| process.child.receive()).collect()
    }

    /// Starts these hollow dispatchers, all processes at once.
    ///
    /// # Errors
    /// A process of them that ended.
    pub fn start_hollows(&mut self, numbers: &[usize]) -> Result<(), CapacityError> {
        let without_delivery = self.conditions.without_delivery;
        let start = |number: usize| HollowStart {
            number,
            name: format!("hollow-{number}"),
            deaf_to_purges: without_delivery && number == 0,
            member: None,
        };
        let shares = self.by_process(numbers);
        let requests = shares
            .into_iter()
            .map(|share| HollowRequest::Start { hollows: share.into_iter().map(start).collect() });
        let _: Vec<Done> = self.ask_each(requests)?;
        numbers.iter().for_each(|&number| self.running[number] = true);
        Ok(())
    }

    /// Ends these hollow dispatchers without a word, all processes at once.
    ///
    /// # Errors
    /// A process of them that ended.
    pub fn stop_hollows(&mut self, numbers: &[usize]) -> Result<(), CapacityError> {
        let shares = self.by_process(numbers);
        let requests = shares.into_iter().map(|numbers| HollowRequest::Stop { numbers });
        let _: Vec<Done> = self.ask_each(requests)?;
        numbers.iter().for_each(|&number| self.running[number] = false);
        Ok(())
    }

    pub fn kill_control(&mut self, number: usize) {
        self.controls[number].kill();
    }

    /// # Errors
    /// A control service that does not start again.
    pub fn restart_control(&mut self, number: usize) -> Result<(), CapacityError> {
        let started = self.controls[number].start();
        started.map_err(|why| CapacityError::Start { program: "the control service", why })
    }

    /// Takes hosts off the list, or puts them back.
    ///
    /// # Errors
    /// A change log that ended.
    pub fn list(&mut self, hosts: &[usize], active: bool) -> Result<(), CapacityError> {
        let status = if active { "active" } else { "left" };
        let lines = hosts.iter().map(|&host| host_line(host, status)).collect();
        self.active_hosts =
            if active { self.active_hosts + hosts.len() } else { self.active_hosts - hosts.len() };
        let _: LogCounts = self.log.ask(&LogRequest::List { lines, snapshot: false })?;
        Ok(())
    }

    /// Has purges published from now on.
    ///
    /// # Errors
    /// A change log that ended.
    pub fn publish(&mut self) -> Result<(), CapacityError> {
        let request =
            LogRequest::Publish { per_second: self.size.purges_per_second, seed: self.conditions.seed };
        let _: Done = self.log.ask(&request)?;
        Ok(())
    }

    /// # Errors
    /// A change log that ended.
    pub fn halt(&mut self) -> Result<(), CapacityError> {
        let _: Done = self.log.ask(&LogRequest::Halt)?;
        Ok(())
    }

    /// # Errors
    /// A change log that ended.
    pub fn counts(&mut self) -> Result<LogCounts, CapacityError> {
        self.log.ask(&LogRequest::Counts)
    }

    /// # Errors
    /// A process that ended.
    pub fn look(&mut self) -> Result<Look, CapacityError> {
        let of = |id: Option<u32>| id.map(Usage::of).unwrap_or_default();
        let own = if self.size.replicas > 0 { self.report(0)? } else { Vec::new() };
        Ok(Look {
            own: own.into_iter().map(|counts| (counts.number, counts)).collect(),
            traffic: self.replicas.traffic(),
            replicas: self.replicas.used(),
            counts: self.counts()?,
            at: Instant::now(),
            hollows: self.hollows.iter().map(|process| Usage::of(process.child.id())).collect(),
            controls: self.controls.iter().map(|control| of(control.id())).collect(),
            reals: self.reals.iter().map(|real| of(real.id())).collect(),
            lones: self.lones.iter().map(|lone| Usage::of(lone.id())).collect(),
            log: Usage::of(self.log.id()),
        })
    }

    /// What the processes of hollow dispatchers used before they had any.
    pub fn empty(&self) -> Vec<Usage> {
        self.hollows.iter().map(|process| process.empty).collect()
    }

    /// Hollow dispatchers that run, by process.
    pub fn running_by_process(&self) -> Vec<usize> {
        let running: Vec<_> = (0..self.running.len()).filter(|&number| self.running[number]).collect();
        self.by_process(&running).iter().map(Vec::len).collect()
    }

    /// What all hollow dispatchers counted, of purges 1 to `purges`.
    fn report(&mut self, purges: u64) -> Result<Vec<HollowCounts>, CapacityError> {
        let requests: Vec<_> = self.hollows.iter().map(|_| HollowRequest::Report { purges }).collect();
        let reports: Vec<HollowReport> = self.ask_each(requests)?;
        let mut all = Vec::new();
        for report in reports {
            all.extend(report.hollows);
            self.in_force_us.extend(report.in_force_us);
        }
        Ok(all)
    }

    /// The times from published to in force that were seen since this was last called.
    ///
    /// # Errors
    /// A process of hollow dispatchers that ended.
    pub fn take_in_force(&mut self) -> Result<Vec<(u64, u64)>, CapacityError> {
        self.report(0)?;
        Ok(std::mem::take(&mut self.in_force_us))
    }

    /// Those who have not the whole list and every one of purges 1 to `purges`, by name: hollow dispatchers by their own
    /// counts, all other readers of the change log by what their polls acknowledged.
    ///
    /// # Errors
    /// A process that ended.
    pub fn unsettled(&mut self, purges: u64) -> Result<Vec<String>, CapacityError> {
        let mut settled = vec![false; self.running.len()];
        for counts in self.report(purges)? {
            let whole = counts.active_hosts == self.active_hosts && counts.missing_purges == 0;
            settled[counts.number] = whole;
        }
        let lacking = |number: &usize| self.running[*number] && !settled[*number];
        let mut names: Vec<_> =
            (0..settled.len()).filter(lacking).map(|number| format!("hollow-{number}")).collect();
        for (name, counts) in &self.counts()?.listeners {
            // A replica that was killed has no connection: it is judged by what its dispatchers have.
            let is_told_by_name = name != HOLLOWS && name != REPLICAS;
            if is_told_by_name && counts.acknowledged == 0 {
                names.push(name.clone());
            }
        }
        Ok(names)
    }

    /// Bytes that all hollow dispatchers have read and written, counted by each at its own socket.
    ///
    /// # Errors
    /// A process of them that ended.
    pub fn own_bytes(&mut self) -> Result<u64, CapacityError> {
        Ok(self.report(0)?.iter().map(|counts| counts.bytes_in + counts.bytes_out).sum())
    }

    /// Waits until everyone has the whole list and purges 1 to `purges`; how long that took.
    ///
    /// # Errors
    /// Some who have not in time, a process that ended.
    pub async fn until_settled(
        &mut self,
        what: &'static str,
        purges: u64,
    ) -> Result<Duration, CapacityError> {
        let began = Instant::now();
        loop {
            let unsettled = self.unsettled(purges)?;
            if unsettled.is_empty() {
                return Ok(began.elapsed());
            }
            if began.elapsed() > SETTLES_WITHIN {
                let all = self.size.dispatchers
                    + self.size.controls
                    + self.conditions.reals
                    + self.conditions.lones;
                let (done, seconds) = (all - unsettled.len(), SETTLES_WITHIN.as_secs());
                return Err(CapacityError::TooLate { what, seconds, done, all });
            }
            tokio::time::sleep(LOOKS_EVERY).await;
        }
    }

    /// What a replica told since this was last called.
    pub fn take_told(&self) -> ToldInForce {
        self.watch.as_ref().map(InForceWatch::take).unwrap_or_default()
    }

    /// Purges of 1 to `published` that no replica has told as in force, where there are replicas.
    pub fn untold(&self, published: u64) -> Vec<u64> {
        self.watch.as_ref().map(|watch| watch.missing(published)).unwrap_or_default()
    }

    /// Whether a purge is not told as in force yet.
    pub fn is_outstanding(&self, purge: u64) -> bool {
        self.untold(purge).contains(&purge)
    }

    /// How long everyone is given to have all: one to whom a fault was put in would be waited for in vain.
    pub fn patience(&self) -> Duration {
        if self.conditions.without_delivery { FAULT_PATIENCE } else { SETTLES_WITHIN }
    }

    /// Programs that ended though nobody asked them to.
    pub fn deaths(&mut self) -> Vec<String> {
        let mut dead = self.replicas.deaths();
        if self.log.has_died() {
            dead.push("the change log".to_owned());
        }
        for (number, process) in self.hollows.iter_mut().enumerate() {
            if process.child.has_died() {
                dead.push(format!("hollow process {number}"));
            }
        }
        for (number, lone) in self.lones.iter_mut().enumerate() {
            if lone.has_died() {
                dead.push(reader_name("lone", number));
            }
        }
        for (number, control) in self.controls.iter_mut().enumerate() {
            if control.has_crashed() {
                dead.push(reader_name("control", number));
            }
        }
        for (number, real) in self.reals.iter_mut().enumerate() {
            if real.has_crashed() {
                dead.push(reader_name("real", number));
            }
        }
        dead
    }
}
