//! The running parts of a fleet: processes, stand-ins and links, and the basic operations on them that faults use.

use super::dispatchers::{self, Links};
use super::zones::{self, ControlService};
use super::{Scenario, servers};
use crate::stand::changelog::{ChangeLog, Tells};
use crate::stand::hosts::Host;
use crate::stand::ledger::Ledger;
use crate::stand::line;
use crate::stand::net::{Net, Party, Way};
use crate::stand::process::Dispatcher;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;

/// Separates the random order of dispatchers from other draws of the same seed.
const DISPATCHER_SALT: u64 = 0xd15;

/// One process of a dispatcher. Times are since the first request.
#[derive(Clone, Copy, Debug)]
pub struct Lifetime {
    pub started: Duration,
    /// None while it runs.
    pub ended: Option<Duration>,
}

/// A cache or parent, by index, that lost its copies at a time since the first request.
pub type CopyLoss = (Duration, usize);

/// All running parts of a run.
pub struct Testbed {
    pub scenario: Scenario,
    pub net: Arc<Net>,
    pub change_log: Arc<ChangeLog>,
    pub hosts: Vec<Arc<Host>>,
    pub dispatchers: Vec<AsyncMutex<Dispatcher>>,
    pub links: Vec<Links>,
    pub control_services: Vec<ControlService>,
    /// When the first request is sent.
    pub started: Instant,
    /// The processes of each dispatcher.
    lifetimes: Mutex<Vec<Vec<Lifetime>>>,
    copy_losses: Mutex<Vec<CopyLoss>>,
    /// Serve hosts and change log; they end with the testbed.
    _servers: JoinSet<()>,
}

impl Testbed {
    /// Starts everything but the clients.
    pub async fn start(scenario: &Scenario, ledger: &Arc<Ledger>) -> Result<Self, String> {
        let net = Arc::new(Net::new(scenario.seed));
        let change_log = ChangeLog::on(Arc::clone(ledger), Arc::clone(&net)).map_err(|e| e.to_string())?;
        let change_log = Arc::new(change_log);
        let hosts = servers::start(scenario, &net).map_err(|e| e.to_string())?;
        let links = (0..scenario.dispatchers).map(|index| Links::open(index, &hosts, &change_log));
        let links: Vec<Links> = links.collect::<std::io::Result<_>>().map_err(|e| e.to_string())?;
        change_log.list(
            &hosts.iter().map(|host| line(host, "active", 0)).collect::<Vec<_>>(),
            true,
            Tells::List,
        );
        let servers = serve(&hosts, &change_log, ledger);
        let control_services = zones::start(scenario, change_log.address).await?;
        let dispatchers = dispatchers::start(scenario, &links, &change_log, &control_services)?;
        let first = Lifetime { started: Duration::ZERO, ended: None };
        Ok(Self {
            scenario: *scenario,
            net,
            change_log,
            hosts,
            dispatchers: dispatchers.into_iter().map(AsyncMutex::new).collect(),
            links,
            control_services,
            started: Instant::now(),
            lifetimes: Mutex::new(vec![vec![first]; scenario.dispatchers]),
            copy_losses: Mutex::default(),
            _servers: servers,
        })
    }

    /// The processes of each dispatcher so far.
    pub fn lifetimes(&self) -> Vec<Vec<Lifetime>> {
        self.lifetimes.lock().expect("no holder panics").clone()
    }

    /// Caches and parents that lost their copies so far.
    pub fn copy_losses(&self) -> Vec<CopyLoss> {
        self.copy_losses.lock().expect("no holder panics").clone()
    }

    /// A share in percent of so many, the first ones in an order drawn from the seed and `salt`.
    pub fn sample(&self, count: usize, share: usize, salt: u64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        fastrand::Rng::with_seed(self.scenario.seed ^ salt).shuffle(&mut all);
        all.truncate((count * share).div_ceil(100));
        all
    }

    /// A share of the dispatchers in percent; a larger share contains a smaller one.
    pub fn sample_dispatchers(&self, share: usize) -> Vec<usize> {
        self.sample(self.scenario.dispatchers, share, DISPATCHER_SALT)
    }

    /// Starts dispatchers that were killed.
    pub async fn start_dispatchers(&self, which: &[usize]) -> Result<(), String> {
        for &dispatcher in which {
            let known = self.change_log.known(&self.links[dispatcher].hosts);
            self.dispatchers[dispatcher].lock().await.begin(Some(known))?;
            let lifetime = Lifetime { started: self.started.elapsed(), ended: None };
            self.lifetimes.lock().expect("no holder panics")[dispatcher].push(lifetime);
        }
        Ok(())
    }

    /// Kills dispatchers without a chance to finish.
    pub async fn kill_dispatchers(&self, which: &[usize]) {
        for &dispatcher in which {
            self.dispatchers[dispatcher].lock().await.kill();
            let mut lifetimes = self.lifetimes.lock().expect("no holder panics");
            if let Some(lifetime) = lifetimes[dispatcher].last_mut() {
                lifetime.ended.get_or_insert(self.started.elapsed());
            }
        }
    }

    /// Restarts caches cold, and announces it in the host list.
    pub fn restart_caches(&self, which: &[usize]) {
        let at = self.started.elapsed();
        for &cache in which {
            self.hosts[cache].restart();
            self.record_copy_loss(at, cache);
        }
        let lines = host_lines(which.iter().map(|&cache| &self.hosts[cache]));
        self.change_log.list(&lines, false, Tells::List);
    }

    /// Records that a host lost its copies.
    pub fn record_copy_loss(&self, at: Duration, host: usize) {
        self.copy_losses.lock().expect("no holder panics").push((at, host));
    }

    /// Partitions hosts from dispatchers, both ways.
    pub fn partition(&self, hosts: &[usize], dispatchers: &[usize]) {
        pairs(hosts, dispatchers)
            .for_each(|(host, dispatcher)| self.net.set_both(host, dispatcher, Way::Cut));
    }

    /// Repairs all links between hosts and dispatchers.
    pub fn repair(&self, hosts: &[usize], dispatchers: &[usize]) {
        pairs(hosts, dispatchers).for_each(|(host, dispatcher)| self.net.mend_both(host, dispatcher));
    }

    /// Impairs the links from hosts to dispatchers.
    pub fn impair_from(&self, hosts: &[usize], dispatchers: &[usize], way: Way) {
        pairs(hosts, dispatchers).for_each(|(host, dispatcher)| self.net.set(host, dispatcher, way));
    }

    /// Impairs the links from dispatchers to hosts.
    pub fn impair_to(&self, hosts: &[usize], dispatchers: &[usize], way: Way) {
        pairs(hosts, dispatchers).for_each(|(host, dispatcher)| self.net.set(dispatcher, host, way));
    }

    /// The indices of all hosts.
    pub fn all_hosts(&self) -> Vec<usize> {
        (0..self.hosts.len()).collect()
    }

    /// The indices of all dispatchers.
    pub fn all_dispatchers(&self) -> Vec<usize> {
        (0..self.scenario.dispatchers).collect()
    }
}

/// Serves hosts and change log in tasks.
pub fn serve(hosts: &[Arc<Host>], change_log: &Arc<ChangeLog>, ledger: &Arc<Ledger>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for host in hosts {
        host.meet(hosts);
        let (host, ledger) = (Arc::clone(host), Arc::clone(ledger));
        tasks.spawn(async move { drop(host.serve(ledger).await) });
    }
    let change_log = Arc::clone(change_log);
    tasks.spawn(async move { drop(change_log.serve().await) });
    tasks
}

/// The lines of some hosts in the host list.
pub fn host_lines<'a>(hosts: impl IntoIterator<Item = &'a Arc<Host>>) -> Vec<String> {
    let host_line = |host: &Arc<Host>| line(host, "active", host.since_ms.load(Ordering::Relaxed));
    hosts.into_iter().map(host_line).collect()
}

/// Each of some hosts with each of some dispatchers.
fn pairs(hosts: &[usize], dispatchers: &[usize]) -> impl Iterator<Item = (Party, Party)> {
    let pair = |&host| dispatchers.iter().map(move |&one| (Party::Host(host), Party::Dispatcher(one)));
    hosts.iter().flat_map(pair)
}
