//! The replicas, the dispatchers, the stand-ins around them, and what happens all the time: purges are watched at each
//! replica, and clients of each dispatcher ask for what was purged.

use super::Plan;
use super::errors::{ProofError, io};
use super::host;
use super::oracle::{HostAddress, MEMBER_LEASE, Oracle, PURGED_WITHIN};
use super::program::{Program, Start};
use super::relay::{self, Direction, Relays};
use crate::stand::asker::{Asked, Client, Ended};
use crate::stand::changelog::{ChangeLog, Tells};
use crate::stand::ledger::{Ledger, Named};
use crate::stand::process::own_address;
use myrtlegauge_replica::status::{self, Status};
use myrtlegauge_replication::ReplicaStanding;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long something that has to come is waited for.
const PATIENCE: Duration = Duration::from_secs(40);
const STATUS_EVERY: Duration = Duration::from_millis(20);
const STATUS_PATIENCE: Duration = Duration::from_secs(1);
/// Clients of each dispatcher, and how long each waits between its requests and for an answer.
const CLIENTS: usize = 8;
const ASKS_EVERY: Duration = Duration::from_millis(8);
const CLIENT_DEADLINE: Duration = Duration::from_secs(4);
/// Objects that clients ask for: so many of the latest that were purged.
const ASKED_OBJECTS: usize = 64;
const SERVICE: &str = "assembly-video";
/// The cache that moves.
const CACHE: &str = "cache-1";
const PURGES_KEPT: Duration = Duration::from_secs(120);

/// See the module.
pub struct Fleet {
    /// What judges.
    pub oracle: Arc<Oracle>,
    /// The replicas.
    pub replicas: Vec<Program>,
    /// The dispatchers: the one at a place polls the replica at that place, wrapped around.
    pub dispatchers: Vec<Program>,
    /// The ways between replicas.
    pub relays: Relays,
    /// The change log that the first replicas follow.
    log: Arc<ChangeLog>,
    moved_to: SocketAddr,
    first_line: Value,
    clients: Vec<tokio::task::JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    chance: fastrand::Rng,
}

impl Fleet {
    /// Starts all; done once every dispatcher is attached and returns what it is asked for.
    pub async fn start(plan: &Plan) -> Result<Self, ProofError> {
        let oracle = Arc::new(Oracle::new());
        let at = host::serve(HostAddress::Cache, &oracle)?;
        let moved_to = host::serve(HostAddress::CacheMoved, &oracle)?;
        let behind = host::serve(HostAddress::Behind, &oracle)?;
        let log = Arc::new(ChangeLog::new(Arc::new(Ledger::new())).map_err(io("the change log"))?);
        tokio::spawn(Arc::clone(&log).serve());
        let first_line = line(CACHE, at, "edge", "standard");
        let lines = [
            first_line.clone(),
            line("parent-1", behind, "hub", "parent"),
            line("origin-1", behind, "hub", "origin"),
        ];
        log.list(&lines.map(|line| line.to_string()), true, Tells::List);
        let addresses: Vec<SocketAddr> = (0..plan.replicas()).map(|_| own_address()).collect();
        let relays = Relays::lay(&addresses).await?;
        let mut fleet = Self {
            replicas: replicas(plan, &addresses, &relays, log.address)?,
            dispatchers: dispatchers(plan, &addresses, &oracle).await?,
            oracle,
            relays,
            log,
            moved_to,
            first_line,
            clients: Vec::new(),
            is_over: Arc::default(),
            chance: fastrand::Rng::with_seed(plan.seed),
        };
        fleet.replicas.iter_mut().try_for_each(Program::begin)?;
        fleet.dispatchers.iter_mut().try_for_each(Program::begin)?;
        fleet.until_settled().await?;
        fleet.until_answered().await?;
        fleet.watch();
        fleet.ask();
        Ok(fleet)
    }

    /// The chance of this seed.
    pub fn chance(&mut self) -> &mut fastrand::Rng {
        &mut self.chance
    }

    /// Publishes a purge of an object that was not purged before.
    pub fn purge(&mut self, case: &'static str) -> u64 {
        let object = self.chance.u64(1..);
        let now_ms = self.oracle.now_ms();
        self.oracle.published(case, object, now_ms);
        self.log.purge(Named::Object(object), now_ms, true);
        object
    }

    /// Publishes purges for a while.
    pub async fn purge_for(&mut self, case: &'static str, long: Duration, every: Duration) {
        let end = Instant::now() + long;
        while Instant::now() < end {
            self.purge(case);
            tokio::time::sleep(every).await;
        }
    }

    /// Lists the cache at its other address.
    pub fn move_cache(&self) {
        let line = line(CACHE, self.moved_to, "edge", "standard");
        self.log.list(&[line.to_string()], false, Tells::List);
    }

    /// The cache's line as it was listed first.
    pub fn first_line(&self) -> &Value {
        &self.first_line
    }

    /// Waits until all replicas are established and each knows all dispatchers to be attached.
    pub async fn until_settled(&self) -> Result<(), ProofError> {
        let end = Instant::now() + PATIENCE;
        for replica in &self.replicas {
            while !self.is_settled(&ask(replica.address).await) {
                if Instant::now() > end {
                    return Err(ProofError::Late { what: "an established replica", waited: PATIENCE });
                }
                tokio::time::sleep(STATUS_EVERY).await;
            }
        }
        Ok(())
    }

    fn is_settled(&self, status: &Option<Status>) -> bool {
        let Some(status) = status else { return false };
        let attached = status.members.iter().filter(|member| member.replica.is_some()).count();
        status.standing == ReplicaStanding::Established && attached == self.dispatchers.len()
    }

    /// Waits until each dispatcher returns what it is asked for.
    async fn until_answered(&self) -> Result<(), ProofError> {
        let end = Instant::now() + PATIENCE;
        for dispatcher in &self.dispatchers {
            let client = Client::new(dispatcher.address, Arc::new(Ledger::new()));
            while !matches!(client.ask(&asked(1)).await, Ended::Returned { .. }) {
                if Instant::now() > end {
                    return Err(ProofError::Late { what: "a dispatcher's answer", waited: PATIENCE });
                }
                tokio::time::sleep(STATUS_EVERY).await;
            }
        }
        Ok(())
    }

    /// Has each replica asked for its status all the time, by a thread that ends with the fleet.
    fn watch(&self) {
        for replica in &self.replicas {
            let (oracle, is_over) = (Arc::clone(&self.oracle), Arc::clone(&self.is_over));
            let address = replica.address;
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    if let Ok(status) = status::fetch(address, STATUS_PATIENCE) {
                        oracle.status_told(&status);
                    }
                    std::thread::sleep(STATUS_EVERY);
                }
            });
        }
    }

    /// Has each dispatcher asked for purged objects all the time.
    fn ask(&mut self) {
        for (place, dispatcher) in self.dispatchers.iter().enumerate() {
            let client = Client::new(dispatcher.address, Arc::new(Ledger::new())).marked(place as u16);
            let client = Arc::new(client);
            for _ in 0..CLIENTS {
                let client = Arc::clone(&client);
                self.clients.push(tokio::spawn(ask_on(client, Arc::clone(&self.oracle))));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.clients.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn ask(at: SocketAddr) -> Option<Status> {
    let asked = tokio::task::spawn_blocking(move || status::fetch(at, STATUS_PATIENCE).ok());
    asked.await.ok().flatten()
}

async fn ask_on(client: Arc<Client>, oracle: Arc<Oracle>) {
    loop {
        let objects = oracle.latest_objects(ASKED_OBJECTS);
        let object = if objects.is_empty() { 1 } else { objects[fastrand::usize(..objects.len())] };
        client.ask(&asked(object)).await;
        tokio::time::sleep(ASKS_EVERY).await;
    }
}

fn asked(object: u64) -> Asked<'static> {
    Asked { service: SERVICE, object, deadline: CLIENT_DEADLINE, tried: None, known: false }
}

fn line(name: &str, address: SocketAddr, zone: &str, kind: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": zone, "type": kind, "group": 0,
        "status": "active", "weight": 4.0, "since_ms": 0})
}

fn replica_name(place: usize) -> String {
    format!("r{place}")
}

fn replicas(
    plan: &Plan,
    addresses: &[SocketAddr],
    relays: &Relays,
    source: SocketAddr,
) -> Result<Vec<Program>, ProofError> {
    let start = Start { subcommand: "publishing-replica", without: plan.without, verbose: plan.verbose };
    let program = |(place, address): (usize, &SocketAddr)| {
        let text = replica_file(place, addresses, relays, source);
        Program::new(replica_name(place), *address, &text, start)
    };
    addresses.iter().enumerate().map(program).collect()
}

/// All replicas but the last follow the change log; the last hears of it by the others.
fn replica_file(place: usize, addresses: &[SocketAddr], relays: &Relays, source: SocketAddr) -> String {
    let others = (0..addresses.len()).filter(|other| *other != place);
    let peer = |other: usize| {
        let address = relays.address(Direction { from: place, to: other });
        format!(" (peer (name \"{}\") (address \"{address}\"))\n", replica_name(other))
    };
    let peers: String = others.map(peer).collect();
    let has_source = place + 1 < addresses.len();
    let source = if has_source { format!(" (source \"{source}\")\n") } else { String::new() };
    format!(
        "(log (level error))\n(replica (name \"{}\") (listen \"{}\")\n{peers}{source} (member-lease {}s) (purges-kept {}s))\n",
        replica_name(place),
        addresses[place],
        MEMBER_LEASE.as_secs(),
        PURGES_KEPT.as_secs()
    )
}

async fn dispatchers(
    plan: &Plan,
    replicas: &[SocketAddr],
    oracle: &Arc<Oracle>,
) -> Result<Vec<Program>, ProofError> {
    let start = Start { subcommand: "dispatch", without: plan.without, verbose: plan.verbose };
    let mut programs = Vec::new();
    for place in 0..plan.dispatchers() {
        let (name, listen) = (format!("d{place}"), own_address());
        let primary = relay::lay_polls(&name, replicas[place % replicas.len()], oracle).await?;
        let fallback = relay::lay_polls(&name, replicas[(place + 1) % replicas.len()], oracle).await?;
        let text = format!(
            "(log (level error))\n(dispatcher (name \"{name}\") (listen \"{listen}\")\n \
             (replicas (primary \"{primary}\") (fallback \"{fallback}\")))\n\
             (footprint (zone \"hub\" (hub 0)) (zone \"edge\" (hub 0)) (here \"edge\") (transfer-pace 10MB/s)\n \
             (cache-start (share 22%) (warm-within 17s)) (purged-within {}s))\n\
             (delivery-service \"{SERVICE}\" (objective 500ms) (timeout 5s))\n",
            PURGED_WITHIN.as_secs()
        );
        programs.push(Program::new(name, listen, &text, start)?);
    }
    Ok(programs)
}
