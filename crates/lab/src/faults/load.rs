//! Clients of the fleet: requests at a steady rate to each dispatcher, whatever becomes of those before, and what the
//! platform's rules say of their answers.

use super::fleet::Fleet;
use crate::stand::asker::{Asked, Client, Ended};
use crate::stand::net::Party;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// How long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(1500);
/// An answer may come so much later before its request is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Objects that are asked for.
const OBJECTS: u64 = 2000;
/// Objects of requests with an effect begin here; each has its own.
const FIRST_EFFECT: u64 = 1 << 32;
/// Of a hundred requests, those with an effect and those for copies that age.
const EFFECTS: u32 = 5;
const PHOTOS: u32 = 30;

/// How many requests ended how.
#[derive(Default)]
pub struct Tally {
    ends: Mutex<BTreeMap<&'static str, u64>>,
}

impl Tally {
    fn count(&self, how: &'static str) {
        *self.ends.lock().expect("no holder panics").entry(how).or_default() += 1;
    }

    pub fn ends(&self) -> BTreeMap<&'static str, u64> {
        self.ends.lock().expect("no holder panics").clone()
    }
}

/// Sends `rate` requests a second to all dispatchers together until the moment that `until` is set to, and waits for their ends.
pub async fn run(fleet: &Arc<Fleet>, rate: f64, until: &Arc<OnceLock<Instant>>, tally: &Arc<Tally>) {
    let mut clients = JoinSet::new();
    for dispatcher in 0..fleet.scale.dispatchers {
        let (fleet, tally, until) = (Arc::clone(fleet), Arc::clone(tally), Arc::clone(until));
        let mean = fleet.scale.dispatchers as f64 / rate;
        clients.spawn(async move { load(&fleet, dispatcher, mean, &until, &tally).await });
    }
    while clients.join_next().await.is_some() {}
}

/// Requests to one dispatcher, `mean` seconds apart.
async fn load(
    fleet: &Arc<Fleet>,
    dispatcher: usize,
    mean: f64,
    until: &OnceLock<Instant>,
    tally: &Arc<Tally>,
) {
    let mut random = fastrand::Rng::with_seed(fleet.scale.seed << 16 | dispatcher as u64);
    let client = Arc::new(Client::new(fleet.addresses[dispatcher], Arc::clone(&fleet.ledger)));
    let (mut at, mut asked, mut effects) = (Instant::now(), JoinSet::new(), 0);
    loop {
        at += Duration::from_secs_f64(-mean * (1.0 - random.f64()).ln());
        if until.get().is_some_and(|until| at >= *until) {
            break;
        }
        tokio::time::sleep_until(at.into()).await;
        let (service, object) = match random.u32(0..100) {
            drawn if drawn < EFFECTS => {
                effects += 1;
                ("delivery-confirm", FIRST_EFFECT | (dispatcher as u64) << 20 | effects)
            }
            drawn if drawn < EFFECTS + PHOTOS => ("product-photo", random.u64(0..OBJECTS)),
            _ => ("assembly-video", random.u64(0..OBJECTS)),
        };
        let (fleet, client, tally) = (Arc::clone(fleet), Arc::clone(&client), Arc::clone(tally));
        asked.spawn(async move { ask(&fleet, dispatcher, &client, service, object, &tally).await });
        while asked.try_join_next().is_some() {}
    }
    while asked.join_next().await.is_some() {}
}

/// One request, judged by the rules.
async fn ask(
    fleet: &Fleet,
    dispatcher: usize,
    client: &Client,
    service: &'static str,
    object: u64,
    tally: &Tally,
) {
    let began = Instant::now();
    let asked = Asked { service, object, deadline: DEADLINE, tried: None, known: false };
    let ended = client.ask_within(&asked, DEADLINE + LOST_AFTER).await;
    let well = fleet.was_well(dispatcher, began, Instant::now());
    tally.count(match ended {
        Ended::Returned { born, .. } => {
            if let Some(born) = born {
                let group = object % 64;
                fleet.ledger.returned_by(Party::Dispatcher(dispatcher), object, group, born as f64, began);
            }
            "returned"
        }
        Ended::Shed(_) => "rejected",
        Ended::Errored => "failed",
        Ended::OutOfTime | Ended::Refused | Ended::Lost if !well => "ended by a fault put in",
        Ended::OutOfTime | Ended::Refused | Ended::Lost => {
            let took = began.elapsed();
            fleet
                .ledger
                .broken(format!("a request to dispatcher {dispatcher} ended {ended:?} after {took:?}"));
            "lost"
        }
    });
}
