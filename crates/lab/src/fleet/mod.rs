//! Dozens of dispatchers as processes of their own, a front that moves clients, hosts that bind, a change log, links between
//! any two, and a script of faults drawn from a seed. What happened is judged at the stand-ins and at the clients.

pub mod bound;
pub mod front;
pub mod judge;
pub mod plot;
pub mod zoned;

use crate::stand::changelog::{ChangeLog, Tells};
use crate::stand::hosts::{self, Arrived, Bounds, Cold, Host};
use crate::stand::ledger::{Ledger, Named, unix_ms};
use crate::stand::net::{Net, Party, Way};
use crate::stand::process::{self, Dispatcher, Told};
use crate::stand::{line, watch};
use front::{Due, Front, Got};
use myrtlegauge::interface::mark;
use myrtlegauge::reading::{Share, Tier, key};
use rustix::process::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Mutex as Held;

pub const PHOTOS: u64 = 1500;
pub const VIDEOS: u64 = 800;
/// Shares of what is asked for, in percent, in the order of `SERVICES`.
const SHARES: [u32; 3] = [55, 40, 5];
/// Clients that hold a copy, in percent.
const KNOWN: u32 = 20;
pub const ORIGIN_WORK: Duration = Duration::from_millis(60);
const CACHE_WORK: Duration = Duration::from_millis(15);
pub const WARM_WITHIN: Duration = Duration::from_secs(3);
pub const CACHE_SLOTS: usize = 2;
const PARENT_WORK: Duration = Duration::from_millis(5);
/// Points of each host on the ring, all being of one size.
const RING_POINTS: u64 = 96;
/// How long GETs that are due last may take.
const TAIL: Duration = Duration::from_millis(3200);

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub dispatchers: usize,
    pub caches: usize,
    pub parents: usize,
    /// GETs a second.
    pub rate: f64,
    /// Places for work at the origin, 60 ms each.
    pub origin_slots: usize,
    /// Until the first fault, and in all.
    pub before: Duration,
    pub long: Duration,
    pub seed: u64,
    pub fault: Option<Fault>,
    /// Zones that the caches stand in; with several, dispatchers are told in operator files.
    pub zones: usize,
    /// Control services whose verdicts on zones they follow.
    pub services: usize,
    /// GETs a second that a zone's caches bear; zero: not told.
    pub zone_bears: f64,
    /// Places for work of a cache.
    pub cache_slots: usize,
    /// Until a cache that started cold bears all its work; the programs are told it.
    pub warm_within: Duration,
}

/// A fault put into the run itself, so that its judge is seen to see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Purges are in the log and reach nobody.
    PurgesUntold,
    /// Clients ask again what may have run.
    EffectsAgain,
    /// Each dispatcher is told that no other shares its sources.
    ToldAlone,
    /// One voter has many names.
    NoQuorum,
    /// A part of a returning zone is used for as long as nobody takes it back.
    NoLease,
    /// A zone that was left takes all its keys at once.
    NoPace,
    /// What zones bear is not told.
    NoCapacity,
}

/// What goes wrong. Shares are percent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// So many dispatchers are killed at once and start again after a while; they are told all events by then.
    Kill {
        share: usize,
        back: Duration,
    },
    /// The same ones over and over, for so long.
    KillInALoop {
        share: usize,
        every: Duration,
        long: Duration,
    },
    /// So many caches lose what they hold and start anew, which the list tells; parents lose it too, or not.
    Empty {
        share: usize,
        parents: bool,
    },
    /// So many caches fall silent, and are back cold.
    Silent {
        share: usize,
        long: Duration,
    },
    /// So many dispatchers are frozen and woken.
    Freeze {
        share: usize,
        long: Duration,
    },
    /// Nobody hears from the change log for so long.
    LogDown {
        long: Duration,
    },
    LogAnew,
    /// So many of the groups of objects are purged, of 64.
    Purge {
        groups: u64,
    },
    OriginSlow {
        times: u32,
        long: Duration,
    },
    OriginDead {
        long: Duration,
    },
    /// Every dispatcher is told another change log by SIGHUP.
    Hup,
    /// So many dispatchers can send to caches and hear nothing back.
    Deaf {
        share: usize,
        long: Duration,
    },
    /// So many dispatchers' connections to hosts are reset in the middle of messages.
    Reset {
        share: usize,
        long: Duration,
    },
    /// A zone's caches are dead, and back cold.
    ZoneDead {
        zone: usize,
        long: Duration,
    },
    /// They hear nothing and say nothing, to so many dispatchers; back as they were, or cold.
    ZoneCut {
        zone: usize,
        share: usize,
        cold: bool,
        long: Duration,
    },
    /// They take so many times as long.
    ZoneSlow {
        zone: usize,
        times: u32,
        long: Duration,
    },
    /// Of what they say so many of a hundred messages are lost.
    ZoneLossy {
        zone: usize,
        lossy: u32,
        long: Duration,
    },
    /// Control services are killed, one or all, and start again with nothing.
    ServicesDie {
        one: bool,
        long: Duration,
    },
    /// So many dispatchers are cut off from all control services, without a word.
    ServicesCut {
        share: usize,
        long: Duration,
    },
    /// An operator orders something of a zone at the first service.
    Order {
        zone: usize,
        order: &'static str,
    },
    /// So many voters beside the dispatchers say that a zone is dead, whatever it is.
    Liars {
        zone: usize,
        count: usize,
        long: Duration,
    },
    /// Their ways to caches are slow, and lose some of what is sent on the way back.
    Bad {
        share: usize,
        slow: Duration,
        lossy: u32,
        long: Duration,
    },
}

pub type Script = Vec<(Duration, Trouble)>;

/// When a life of a dispatcher began and ended.
pub type Life = (Duration, Option<Duration>);

/// What a run came to.
pub struct Played {
    pub got: Vec<Got>,
    pub dues: Vec<Due>,
    pub origin: Vec<Arrived>,
    pub parents: Vec<Vec<Arrived>>,
    pub parent_bears: f64,
    /// When each life of each dispatcher began and ended, since the first GET.
    pub lives: Vec<Vec<Life>>,
    pub breaks: Vec<String>,
    pub effects: u64,
    pub caches_fell: u32,
    /// Times to come back that were told with sheds.
    pub backs: Vec<Duration>,
    pub logs: Vec<String>,
    pub lag: Duration,
    /// When caches lost what they held.
    pub emptied: Vec<(Duration, usize)>,
    /// By zone and dispatcher, when GETs came to its caches.
    pub came: Vec<Vec<Vec<Duration>>>,
    /// By zone and half second, work asked of its caches over what they bear, those that began cold as warm as they were.
    pub pressed: Vec<Vec<f64>>,
    /// Verdicts as a control service told them first, and to whom it would be told since the first GET.
    pub verdicts: Vec<zoned::Seen>,
}

impl Played {
    pub fn bins(&self, scene: &Scene) -> Vec<judge::Bin> {
        judge::bins(&self.got, scene.long)
    }

    pub fn recovery(&self, scene: &Scene) -> judge::Recovery {
        judge::recovery(&self.bins(scene), scene.before)
    }

    /// How far apart the times are to which clients were told to come back after a shed: between the quarters.
    pub fn spread_of_backs(&self) -> Duration {
        let mut backs = self.backs.clone();
        backs.sort_unstable();
        let at = |part: usize| backs.get(backs.len() * part / 4).copied().unwrap_or_default();
        at(3).saturating_sub(at(1))
    }

    /// When each life that got that far stood at full service by its own word, ms since its start.
    pub fn own_records(&self) -> Vec<i64> {
        let lines = self.logs.iter().flat_map(|log| log.lines());
        let full = lines.filter(|line| line.contains("step=full"));
        let field = |line: &str| line.split("full_ms=").nth(1)?.split(' ').next()?.parse().ok();
        full.filter_map(field).collect()
    }

    /// Which GETs were returned in time, by the order of the schedule.
    pub fn in_time(&self) -> Vec<bool> {
        let mut in_time = vec![false; self.dues.len()];
        for got in self.got.iter().filter(|got| got.how == front::How::InTime) {
            let at = self.dues.partition_point(|due| due.at < got.due.at);
            if let Some(good) = in_time.get_mut(at) {
                *good = true;
            }
        }
        in_time
    }

    /// What an informed policy would have lost from the fault on.
    pub fn bound(&self, scene: &Scene, script: &Script) -> u32 {
        let served = self.informed(scene, script);
        let lost = self.dues.iter().zip(&served).filter(|(due, served)| due.at >= scene.before && !**served);
        lost.count() as u32
    }

    /// Which GETs an informed policy would have served in time.
    pub fn informed(&self, scene: &Scene, script: &Script) -> Vec<bool> {
        let dead = script.iter().filter_map(|(at, trouble)| match trouble {
            Trouble::OriginDead { long } => Some((*at, *at + *long)),
            _ => None,
        });
        let slowed = script.iter().filter_map(|(at, trouble)| match trouble {
            Trouble::OriginSlow { times, long } => Some((*at, *at + *long, f64::from(*times))),
            _ => None,
        });
        let fresh = Duration::from_millis(hosts::FRESH_MS as u64);
        // Copies of all ages, as at the start of the run.
        let spread = |object: u64| (object, fresh.mul_f64((object as f64 * 0.618_034).fract()));
        let known = bound::Known {
            slots: scene.origin_slots,
            work: ORIGIN_WORK,
            around: CACHE_WORK,
            fresh,
            caches: scene.caches,
            held: objects().map(spread).collect(),
            emptied: self.emptied.clone(),
            dead: dead.collect(),
            slowed: slowed.collect(),
        };
        bound::served(&self.dues, &known)
    }
}

/// All objects that are asked for and kept.
fn objects() -> impl Iterator<Item = u64> {
    (0..PHOTOS).chain((0..VIDEOS).map(|video| 1 << 32 | video))
}

/// The GETs of a run, by its seed.
pub fn schedule(scene: &Scene) -> Vec<Due> {
    let mut chance = fastrand::Rng::with_seed(scene.seed.wrapping_mul(0x51_7c_c1_b7));
    let (mut at, mut dues) = (0.0, Vec::new());
    while at < scene.long.as_secs_f64() {
        at += (0.5 + chance.f64()) / scene.rate;
        let drawn = chance.u32(0..100);
        let service = if drawn < SHARES[0] { 0 } else { usize::from(drawn >= SHARES[0] + SHARES[1]) + 1 };
        // Few objects have most of the GETs; what has an effect has an object of its own.
        let tilted = chance.f64().powi(3);
        let object = match service {
            0 => (tilted * PHOTOS as f64) as u64,
            1 => 1 << 32 | (tilted * VIDEOS as f64) as u64,
            _ => 2 << 32 | dues.len() as u64,
        };
        let known = service == 0 && chance.u32(0..100) < KNOWN;
        dues.push(Due { at: Duration::from_secs_f64(at), service, object, known });
    }
    dues
}

/// The settings of the fleet: as the platform's, fills neither joined nor called off, writes straight to the origin.
fn settings(scene: &Scene, log: &str) -> Result<serde_json::Value, String> {
    let mut settings = process::settings(&process::operator_file("127.0.0.1:1", log, false, 250))?;
    settings["domain"]["shares_fills"] = json!(false);
    settings["domain"]["pass_through_ok"] = json!(true);
    settings["limits"]["cancel"] = json!(false);
    let told = if scene.fault == Some(Fault::ToldAlone) { 1 } else { scene.dispatchers };
    settings["balancers"] = json!(told);
    // An operator file counts one here and none elsewhere.
    let counts = settings["domain"]["count_by_zone"].as_array_mut().into_iter().flatten();
    counts.filter(|count| **count != json!(0)).for_each(|count| *count = json!(told));
    Ok(settings)
}

struct Stage {
    scene: Scene,
    net: Arc<Net>,
    log: Arc<ChangeLog>,
    hosts: Vec<Arc<Host>>,
    dispatchers: Vec<Held<Dispatcher>>,
    /// A host's listed address and the one that each dispatcher is told.
    addresses: Vec<Vec<(SocketAddr, SocketAddr)>>,
    other_logs: Vec<SocketAddr>,
    lives: Mutex<Vec<Vec<Life>>>,
    emptied: Mutex<Vec<(Duration, usize)>>,
    services: Vec<zoned::Followed>,
    began: Instant,
}

fn io(e: std::io::Error) -> String {
    e.to_string()
}

impl Stage {
    /// So many of a hundred, the first ones in an order drawn from the seed.
    fn some(&self, of: usize, share: usize, salt: u64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        fastrand::Rng::with_seed(self.scene.seed ^ salt).shuffle(&mut all);
        all.truncate((of * share).div_ceil(100));
        all
    }

    fn some_dispatchers(&self, share: usize) -> Vec<usize> {
        self.some(self.scene.dispatchers, share, 0xd15)
    }

    fn ended(&self, dispatcher: usize) {
        let mut lives = self.lives.lock().expect("no holder panics");
        if let Some((_, end)) = lives[dispatcher].last_mut() {
            end.get_or_insert(self.began.elapsed());
        }
    }

    async fn begin(&self, dispatcher: usize) -> Result<(), String> {
        let known = self.log.known(&self.addresses[dispatcher]);
        self.dispatchers[dispatcher].lock().await.begin(Some(known))?;
        self.lives.lock().expect("no holder panics")[dispatcher].push((self.began.elapsed(), None));
        Ok(())
    }

    async fn kill(&self, which: &[usize]) {
        for &dispatcher in which {
            self.dispatchers[dispatcher].lock().await.kill();
            self.ended(dispatcher);
        }
    }

    fn restart_caches(&self, which: &[usize]) {
        let at = self.began.elapsed();
        for &cache in which {
            self.hosts[cache].restart();
            self.emptied.lock().expect("no holder panics").push((at, cache));
        }
        self.log.list(&self.lines(which.iter().map(|&cache| &self.hosts[cache])), false, Tells::List);
    }

    /// All hosts' lines of the list, or those of some.
    fn lines<'a>(&self, hosts: impl IntoIterator<Item = &'a Arc<Host>>) -> Vec<String> {
        let line = |host: &Arc<Host>| line(host, "active", host.since_ms.load(Ordering::Relaxed));
        hosts.into_iter().map(line).collect()
    }

    /// The ways between some dispatchers and all hosts are bad for a while: from the hosts, and to them.
    async fn badly(&self, share: usize, long: Duration, from: &[Way], to: &[Way]) {
        let which = self.some_dispatchers(share);
        let pairs = || pairs(0..self.hosts.len(), &which);
        for (host, one) in pairs() {
            from.iter().for_each(|way| self.net.set(host, one, *way));
            to.iter().for_each(|way| self.net.set(one, host, *way));
        }
        tokio::time::sleep(long).await;
        pairs().for_each(|(host, one)| self.net.mend_both(host, one));
    }

    async fn happen(&self, trouble: Trouble) -> Result<(), String> {
        let origin = self.hosts.last().ok_or("no origin")?;
        match trouble {
            Trouble::Kill { share, back } => {
                let which = self.some_dispatchers(share);
                self.kill(&which).await;
                tokio::time::sleep(back).await;
                for dispatcher in which {
                    self.begin(dispatcher).await?;
                }
            }
            Trouble::KillInALoop { share, every, long } => {
                let until = Instant::now() + long;
                let which = self.some(self.scene.dispatchers, share, 0x100b);
                while Instant::now() < until {
                    self.kill(&which).await;
                    for &dispatcher in &which {
                        self.begin(dispatcher).await?;
                    }
                    tokio::time::sleep(every).await;
                }
            }
            Trouble::Empty { share, parents } => {
                self.restart_caches(&self.some(self.scene.caches, share, 0xe4));
                for parent in self.hosts.iter().filter(|host| parents && host.kind == "parent") {
                    parent.empty();
                    self.emptied.lock().expect("no holder panics").push((self.began.elapsed(), parent.index));
                }
            }
            Trouble::Silent { share, long } => {
                let which = self.some(self.scene.caches, share, 0x51);
                let all: Vec<usize> = (0..self.scene.dispatchers).collect();
                let pairs = || pairs(which.iter().copied(), &all);
                pairs().for_each(|(host, one)| self.net.set_both(host, one, Way::Cut));
                tokio::time::sleep(long).await;
                self.restart_caches(&which);
                pairs().for_each(|(host, one)| self.net.mend_both(host, one));
            }
            Trouble::Freeze { share, long } => {
                let which = self.some_dispatchers(share);
                for &dispatcher in &which {
                    self.dispatchers[dispatcher].lock().await.signal(Signal::STOP);
                }
                tokio::time::sleep(long).await;
                for &dispatcher in &which {
                    self.dispatchers[dispatcher].lock().await.signal(Signal::CONT);
                }
            }
            Trouble::LogDown { long } => {
                let all = || (0..self.scene.dispatchers).map(Party::Dispatcher);
                all().for_each(|one| self.net.set_both(one, Party::ChangeLog, Way::Cut));
                tokio::time::sleep(long).await;
                all().for_each(|one| self.net.mend_both(one, Party::ChangeLog));
            }
            Trouble::LogAnew => self.log.begin_anew(&self.lines(&self.hosts)),
            Trouble::Purge { groups } => {
                let told = self.scene.fault != Some(Fault::PurgesUntold);
                (0..groups).for_each(|group| self.log.purge(Named::Group(group), unix_ms(), told));
            }
            Trouble::OriginSlow { times, long } => {
                origin.slow(times * 100);
                tokio::time::sleep(long).await;
                origin.slow(100);
            }
            Trouble::OriginDead { long } => origin.down(long),
            Trouble::Hup => {
                for (dispatcher, to) in self.dispatchers.iter().zip(&self.other_logs) {
                    dispatcher.lock().await.follow(*to)?;
                }
            }
            Trouble::Deaf { share, long } => self.badly(share, long, &[Way::Cut], &[]).await,
            Trouble::Reset { share, long } => self.badly(share, long, &[Way::Reset], &[]).await,
            Trouble::ZoneDead { zone, long } => {
                let which = self.scene.caches_of(zone);
                which.clone().for_each(|cache| self.hosts[cache].down(long));
                tokio::time::sleep(long).await;
                self.restart_caches(&which.collect::<Vec<_>>());
            }
            Trouble::ZoneCut { zone, share, cold, long } => {
                let which: Vec<usize> = self.scene.caches_of(zone).collect();
                let from = self.some_dispatchers(share);
                let pairs = || pairs(which.iter().copied(), &from);
                pairs().for_each(|(host, one)| self.net.set_both(host, one, Way::Cut));
                tokio::time::sleep(long).await;
                if cold {
                    self.restart_caches(&which);
                }
                pairs().for_each(|(host, one)| self.net.mend_both(host, one));
            }
            Trouble::ZoneSlow { zone, times, long } => {
                let which = self.scene.caches_of(zone);
                which.clone().for_each(|cache| self.hosts[cache].slow(times * 100));
                tokio::time::sleep(long).await;
                which.for_each(|cache| self.hosts[cache].slow(100));
            }
            Trouble::ZoneLossy { zone, lossy, long } => {
                let all: Vec<usize> = (0..self.scene.dispatchers).collect();
                let pairs = || pairs(self.scene.caches_of(zone), &all);
                pairs().for_each(|(host, one)| self.net.set(host, one, Way::Lossy(lossy)));
                tokio::time::sleep(long).await;
                pairs().for_each(|(host, one)| self.net.mend_both(host, one));
            }
            Trouble::ServicesDie { one, long } => {
                let which = if one { &self.services[..1] } else { &self.services[..] };
                for service in which {
                    service.process.lock().await.kill();
                }
                tokio::time::sleep(long).await;
                for service in which {
                    service.process.lock().await.start()?;
                }
            }
            Trouble::ServicesCut { share, long } => {
                let which = self.some_dispatchers(share);
                let links = || which.iter().flat_map(|&one| self.services.iter().map(move |s| &s.links[one]));
                links().for_each(|link| link.cut());
                tokio::time::sleep(long).await;
                links().for_each(|link| link.mend());
            }
            Trouble::Order { zone, order } => {
                let (zone, to) =
                    (zoned::zone_name(zone), self.services.first().map(|service| service.address));
                let ask = move || {
                    let to = to.ok_or("no service to order anything of")?;
                    myrtlegauge_control::shown::ask(to, Some((&zone, order)), Duration::from_secs(2))
                };
                tokio::task::spawn_blocking(ask).await.map_err(|e| e.to_string())??;
            }
            Trouble::Liars { zone, count, long } => {
                let hosts: Vec<_> =
                    self.scene.caches_of(zone).map(|cache| self.hosts[cache].address).collect();
                zoned::lie(&self.services, &hosts, count, long).await;
            }
            Trouble::Bad { share, slow, lossy, long } => {
                self.badly(share, long, &[Way::Lossy(lossy)], &[Way::Slow(slow)]).await;
            }
        }
        Ok(())
    }
}

/// Each of some hosts with each of some dispatchers.
fn pairs(hosts: impl Iterator<Item = usize>, dispatchers: &[usize]) -> impl Iterator<Item = (Party, Party)> {
    hosts.flat_map(|host| dispatchers.iter().map(move |&one| (Party::Host(host), Party::Dispatcher(one))))
}

/// The run begins as in the middle of a day: each cache holds what the ring names it for, parents too, and copies are
/// of all ages.
fn warm_up(hosts: &[Arc<Host>]) {
    let mut chance = fastrand::Rng::with_seed(7);
    let now = unix_ms();
    for kind in ["cache", "parent"] {
        let tier: Vec<_> = hosts.iter().filter(|host| host.kind == kind).collect();
        let share = |(at, host): (usize, &&Arc<Host>)| Share {
            host: at,
            mark: mark(&host.name),
            points: RING_POINTS,
            part: 1.0,
            near: true,
            fills: 1.0,
        };
        let ring = Tier::lay(tier.iter().enumerate().map(share).collect());
        let mut copies = vec![BTreeMap::new(); tier.len()];
        for object in objects() {
            if let Some(share) = ring.takers(key(object, 0)).next() {
                copies[share.host].insert(object, now - chance.f64() * hosts::FRESH_MS);
            }
        }
        tier.iter().zip(&copies).for_each(|(host, copies)| hosts::warm(host, copies));
    }
}

/// Plays a script on a scene.
pub async fn play(scene: &Scene, script: &Script) -> Result<Played, String> {
    let net = Arc::new(Net::new(scene.seed));
    let ledger = Arc::new(Ledger::new());
    let log = Arc::new(ChangeLog::on(Arc::clone(&ledger), Arc::clone(&net)).map_err(io)?);
    let cold =
        Cold { share: 0.22, warm_within: scene.warm_within, falls_at: 1.0, down_for: Duration::from_secs(2) };
    let bounds = |kind: &str| match kind {
        "cache" => Bounds {
            slots: scene.cache_slots,
            queue: 64,
            hit: CACHE_WORK,
            fill: CACHE_WORK,
            write: CACHE_WORK,
            holds: 150,
            cold: Some(cold),
        },
        "parent" => Bounds {
            slots: 8,
            queue: 400,
            hit: PARENT_WORK,
            fill: PARENT_WORK,
            write: PARENT_WORK,
            holds: 1200,
            cold: None,
        },
        _ => Bounds {
            slots: scene.origin_slots,
            queue: 2000,
            hit: ORIGIN_WORK,
            fill: ORIGIN_WORK,
            write: ORIGIN_WORK,
            holds: usize::MAX,
            cold: None,
        },
    };
    let kinds = std::iter::repeat_n("cache", scene.caches)
        .chain(std::iter::repeat_n("parent", scene.parents))
        .chain(["origin"]);
    let mut hosts = Vec::new();
    for (index, kind) in kinds.enumerate() {
        let host = Host::bound(index, kind, bounds(kind), Arc::clone(&net)).map_err(io)?;
        let zone = if kind == "cache" { scene.zone_of(index) } else { "hub".to_owned() };
        hosts.push(Arc::new(host.by_object().in_zone(zone)));
    }
    let (mut addresses, mut logs, mut other_logs) = (Vec::new(), Vec::new(), Vec::new());
    for dispatcher in 0..scene.dispatchers {
        let party = Party::Dispatcher(dispatcher);
        let own = hosts.iter().map(|host| Ok((host.address, host.listen_for(party)?)));
        let own: Vec<_> = own.collect::<std::io::Result<_>>().map_err(io)?;
        logs.push(log.listen_for(party, &own).map_err(io)?);
        other_logs.push(log.listen_for(party, &own).map_err(io)?);
        addresses.push(own);
    }
    log.list(&hosts.iter().map(|host| line(host, "active", 0)).collect::<Vec<_>>(), true, Tells::List);
    let mut tasks = tokio::task::JoinSet::new();
    for host in &hosts {
        host.meet(&hosts);
        let (host, ledger) = (Arc::clone(host), Arc::clone(&ledger));
        tasks.spawn(async move { drop(host.serve(ledger).await) });
    }
    let serves = Arc::clone(&log);
    tasks.spawn(async move { drop(serves.serve().await) });
    let settings = settings(scene, &log.address.to_string())?;
    let services = zoned::start(scene, log.address).await?;
    let mut dispatchers = Vec::new();
    for (index, own) in addresses.iter().enumerate() {
        if scene.zones > 1 {
            let follow: Vec<_> = services.iter().map(|service| service.links[index].address).collect();
            let text = |listen| zoned::dispatcher_file(scene, index, listen, logs[index], &follow);
            dispatchers.push(Held::new(Dispatcher::start_following(text, false)?));
            continue;
        }
        let told = Told {
            name: format!("d{index}"),
            changelog: logs[index],
            known: log.known(own),
            seed: scene.seed.wrapping_mul(1000) + index as u64,
        };
        dispatchers.push(Held::new(Dispatcher::start_as(&settings, told, false)?));
    }
    let mut to = Vec::new();
    for dispatcher in &dispatchers {
        to.push(dispatcher.lock().await.address);
    }
    let careless = scene.fault == Some(Fault::EffectsAgain);
    let front = Front::new(&to, &hosts, Arc::clone(&net), Arc::clone(&ledger), careless);
    front.watch();
    let patience = Instant::now() + Duration::from_secs(20);
    while !front.all_up() {
        if Instant::now() > patience {
            return Err("not all dispatchers are ready after 20 s".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    warm_up(&hosts);
    let dues = schedule(scene);
    let began = Instant::now() + Duration::from_millis(50);
    let stage = Arc::new(Stage {
        scene: *scene,
        net,
        log,
        hosts,
        lives: Mutex::new(vec![vec![(Duration::ZERO, None)]; scene.dispatchers]),
        dispatchers,
        addresses,
        other_logs,
        emptied: Mutex::default(),
        services,
        began,
    });
    let verdicts = zoned::watch(&stage.services, began);
    let lag = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch(Arc::clone(&lag)));
    let mut happening = Vec::new();
    for &(at, trouble) in script {
        let stage = Arc::clone(&stage);
        happening.push(tokio::spawn(async move {
            tokio::time::sleep_until((stage.began + at).into()).await;
            stage.happen(trouble).await
        }));
    }
    let mut asked = tokio::task::JoinSet::new();
    for (number, &due) in dues.iter().enumerate() {
        tokio::time::sleep_until((began + due.at).into()).await;
        let (front, seed) = (Arc::clone(&front), scene.seed << 32 | number as u64);
        asked.spawn(async move { front.get(due, began, seed).await });
    }
    let _ = tokio::time::timeout(TAIL, asked.join_all()).await;
    for happened in happening {
        happened.await.map_err(|e| e.to_string())??;
    }
    watch.abort();
    let (mut logged, mut crashed) = (Vec::new(), Vec::new());
    for (index, dispatcher) in stage.dispatchers.iter().enumerate() {
        let mut dispatcher = dispatcher.lock().await;
        if dispatcher.has_crashed() {
            let logged = dispatcher.logged();
            let last = logged.lines().rev().take(3).collect::<Vec<_>>().join(" | ");
            crashed.push(format!("dispatcher {index} ended by itself: {last}"));
        }
        // Asked to end, it tells its counters.
        dispatcher.signal(Signal::TERM);
    }
    tokio::time::sleep(Duration::from_millis(1300)).await;
    for dispatcher in &stage.dispatchers {
        logged.push(dispatcher.lock().await.logged());
    }
    let (_, mut breaks) = ledger.breaks();
    breaks.extend(crashed);
    let got = front.got();
    if got.len() != dues.len() {
        breaks.push(format!("{} GETs and {} ends", dues.len(), got.len()));
    }
    if front.second_answers() > 0 {
        breaks.push(format!("{} second answers", front.second_answers()));
    }
    let named: u64 = stage.hosts.iter().map(|host| host.named_current.load(Ordering::Relaxed)).sum();
    let said = front.said_current.load(Ordering::Relaxed);
    if said > named {
        breaks.push(format!("{said} copies were called current, hosts named {named}"));
    }
    let hosts = &stage.hosts;
    let parents = hosts.iter().filter(|host| host.kind == "parent");
    let lives = stage.lives.lock().expect("no holder panics").clone();
    let emptied = stage.emptied.lock().expect("no holder panics").clone();
    Ok(Played {
        got,
        dues,
        origin: hosts.last().map(|origin| origin.arrived(began)).unwrap_or_default(),
        parent_bears: parents.clone().next().map_or(1.0, |parent| parent.bears()),
        parents: parents.map(|parent| parent.arrived(began)).collect(),
        lives,
        breaks,
        effects: ledger.counted()[3],
        caches_fell: hosts.iter().map(|host| host.fell.load(Ordering::Relaxed)).sum(),
        backs: front.backs(),
        logs: logged,
        lag: Duration::from_micros(lag.load(Ordering::Relaxed)),
        emptied,
        came: zoned::came(scene, hosts, began),
        pressed: zoned::pressed(scene, hosts, began),
        verdicts: verdicts.lock().expect("no holder panics").clone(),
    })
}
