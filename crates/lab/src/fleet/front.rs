//! A front as the platform's, with its clients: it notices late that a dispatcher is dead, takes it in again once it says
//! that it is well, and clients try again elsewhere.

use crate::stand::asker::{Asked, Client, Ended};
use crate::stand::hosts::Host;
use crate::stand::ledger::Ledger;
use crate::stand::net::{Net, Party};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Pause between questions whether a dispatcher is well.
const LOOKS_EVERY: Duration = Duration::from_millis(50);
/// A dispatcher that has not been well for so long is left out.
pub const NOTICES_AFTER: Duration = Duration::from_millis(1000);
/// Tries of a client in all.
const TRIES: u32 = 3;
/// Pause of a client before it tries again where nobody told one, and what is drawn on top.
const PAUSE_MS: (u64, u64) = (50, 100);

/// A delivery service as clients ask for it.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub name: &'static str,
    pub objective: Duration,
    pub deadline: Duration,
    pub effect: bool,
}

pub const SERVICES: [Service; 3] = [
    Service {
        name: "product-photo",
        objective: Duration::from_millis(400),
        deadline: Duration::from_millis(2500),
        effect: false,
    },
    Service {
        name: "assembly-video",
        objective: Duration::from_millis(500),
        deadline: Duration::from_millis(3000),
        effect: false,
    },
    Service {
        name: "delivery-confirm",
        objective: Duration::from_millis(600),
        deadline: Duration::from_millis(3000),
        effect: true,
    },
];

/// One GET of the schedule: drawn from the seed before the run.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    pub at: Duration,
    pub service: usize,
    pub object: u64,
    /// The client holds a copy.
    pub known: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum How {
    InTime,
    Late,
    Shed,
    Errored,
    /// Its connection ended, or its time, before an answer.
    Lost,
}

/// What became of a GET, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Got {
    pub due: Due,
    pub how: How,
    pub tries: u32,
    /// At its first shed: a cache held the object, or a parent.
    pub held: Option<[bool; 2]>,
}

struct Gate {
    client: Client,
    party: Party,
    up: AtomicBool,
}

pub struct Front {
    gates: Vec<Gate>,
    net: Arc<Net>,
    /// Clients ask again what may have run: a fault put in.
    careless: bool,
    hosts: Vec<Arc<Host>>,
    ledger: Arc<Ledger>,
    got: Mutex<Vec<Got>>,
    pub said_current: AtomicU64,
    /// Times to come back as they were told.
    backs: Mutex<Vec<Duration>>,
}

impl Front {
    pub fn new(
        to: &[SocketAddr],
        hosts: &[Arc<Host>],
        net: Arc<Net>,
        ledger: Arc<Ledger>,
        careless: bool,
    ) -> Arc<Self> {
        let gate = |(index, &address): (usize, &SocketAddr)| Gate {
            client: Client::new(address, Arc::clone(&ledger)),
            party: Party::Dispatcher(index),
            up: AtomicBool::new(false),
        };
        Arc::new(Self {
            gates: to.iter().enumerate().map(gate).collect(),
            net,
            careless,
            hosts: hosts.to_vec(),
            got: Mutex::default(),
            said_current: AtomicU64::new(0),
            backs: Mutex::default(),
            ledger,
        })
    }

    /// Asks each dispatcher whether it is well, for as long as the run lasts.
    pub fn watch(self: &Arc<Self>) {
        for gate in 0..self.gates.len() {
            let front = Arc::clone(self);
            tokio::spawn(async move {
                let mut well_at = Instant::now();
                loop {
                    let gate = &front.gates[gate];
                    if gate.client.is_healthy().await {
                        well_at = Instant::now();
                        gate.up.store(true, Ordering::Relaxed);
                    } else if well_at.elapsed() > NOTICES_AFTER {
                        gate.up.store(false, Ordering::Relaxed);
                    }
                    tokio::time::sleep(LOOKS_EVERY).await;
                }
            });
        }
    }

    pub fn all_up(&self) -> bool {
        self.gates.iter().all(|gate| gate.up.load(Ordering::Relaxed))
    }

    pub fn second_answers(&self) -> u64 {
        self.gates.iter().map(|gate| gate.client.second_answers.load(Ordering::Relaxed)).sum()
    }

    pub fn got(&self) -> Vec<Got> {
        self.got.lock().expect("no holder panics").clone()
    }

    pub fn backs(&self) -> Vec<Duration> {
        self.backs.lock().expect("no holder panics").clone()
    }

    /// One that is in, by chance; another than the one tried last where there is one.
    fn pick(&self, chance: &mut fastrand::Rng, not: Option<usize>) -> Option<usize> {
        let up = |gate: &usize| self.gates[*gate].up.load(Ordering::Relaxed);
        let others: Vec<usize> = (0..self.gates.len()).filter(up).filter(|gate| Some(*gate) != not).collect();
        if others.is_empty() { not.filter(up) } else { Some(others[chance.usize(0..others.len())]) }
    }

    /// A client's GET with its tries, to its one end.
    pub async fn get(&self, due: Due, began: Instant, seed: u64) {
        let service = SERVICES[due.service];
        let mut chance = fastrand::Rng::with_seed(seed);
        let (first, mut tries, mut sheds, mut last, mut held) = (chance.u64(..), 0, 0, None, None);
        let began = began + due.at;
        let how = loop {
            let left = service.deadline.saturating_sub(began.elapsed());
            if left < Duration::from_millis(5) {
                break if sheds > 0 { How::Shed } else { How::Lost };
            }
            let mut pause = Duration::from_millis(PAUSE_MS.0 + chance.u64(0..PAUSE_MS.1));
            let Some(gate) = self.pick(&mut chance, last) else {
                tokio::time::sleep(pause.min(left)).await;
                continue;
            };
            last = Some(gate);
            let gate = &self.gates[gate];
            self.net.pass(Party::Front, gate.party).await;
            let asked = Asked {
                service: service.name,
                object: due.object,
                deadline: left,
                tried: (tries > 0).then_some((first, tries)),
                known: due.known,
            };
            tries += 1;
            let asked_at = Instant::now();
            let mut ended = gate.client.ask(&asked).await;
            if self.careless && service.effect && tries == 1 && matches!(ended, Ended::Returned { .. }) {
                // It ran, and its answer is lost on the way back: what a careless client is then seen to do.
                ended = Ended::Lost;
            }
            match ended {
                Ended::Returned { current, born } => {
                    self.said_current.fetch_add(u64::from(current), Ordering::Relaxed);
                    if let Some(born) = born.filter(|_| !service.effect) {
                        let group = due.object % 64;
                        self.ledger.returned_by(gate.party, due.object, group, born as f64, asked_at);
                    }
                    break if began.elapsed() <= service.objective { How::InTime } else { How::Late };
                }
                Ended::Shed(back) => {
                    sheds += 1;
                    held.get_or_insert_with(|| {
                        ["cache", "parent"].map(|kind| {
                            let mut of = self.hosts.iter().filter(|host| host.kind == kind);
                            of.any(|host| host.holds(due.object))
                        })
                    });
                    if let Some(back) = back {
                        self.backs.lock().expect("no holder panics").push(back);
                        pause = back;
                    }
                    if tries >= TRIES {
                        break How::Shed;
                    }
                }
                // It may have run: a client that is careful asks nobody again.
                Ended::Errored | Ended::Lost | Ended::OutOfTime if service.effect && !self.careless => {
                    break How::Errored;
                }
                Ended::Errored if tries >= TRIES => break How::Errored,
                Ended::Lost if tries >= TRIES => break How::Lost,
                Ended::OutOfTime => break How::Lost,
                Ended::Errored | Ended::Lost => {}
                Ended::Refused => {
                    // Nobody has heard of it: it is as good as not tried.
                    gate.client.forget();
                    tries -= 1;
                }
            }
            let left = service.deadline.saturating_sub(began.elapsed());
            tokio::time::sleep(pause.min(left)).await;
        };
        self.got.lock().expect("no holder panics").push(Got { due, how, tries, held });
    }
}
