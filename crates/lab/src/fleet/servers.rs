//! The stand-in caches, parents and origin of a run, with their capacity and their copies at the start.

use super::Scenario;
use super::workload::objects;
use crate::stand::hosts::{self, Bounds, Cold, FRESH_MS, Host, UNBOUND};
use crate::stand::ledger::unix_ms;
use crate::stand::net::Net;
use myrtlegauge::interface::hash_host_id;
use myrtlegauge::snapshot::{HostShare, Tier, ring_key};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Time that a request takes at the origin, a cache and a parent.
pub const ORIGIN_WORK: Duration = Duration::from_millis(60);
pub const CACHE_WORK: Duration = Duration::from_millis(15);
const PARENT_WORK: Duration = Duration::from_millis(5);
/// Requests that a cache works on at once.
pub const CACHE_SLOTS: usize = 2;
const PARENT_SLOTS: usize = 8;
/// Requests that may wait at a host.
const CACHE_QUEUE: usize = 64;
const PARENT_QUEUE: usize = 400;
const ORIGIN_QUEUE: usize = 2000;
/// Copies that a host keeps.
const CACHE_COPIES: usize = 150;
const PARENT_COPIES: usize = 1200;
/// Time until a cache that started cold can do its full work.
pub const CACHE_WARM_UP: Duration = Duration::from_secs(3);
/// Fraction of its full work that a cold cache can do.
const COLD_SHARE: f64 = 0.22;
/// Seconds of waiting work that a cold cache fails at, and how long it is down then.
const COLD_FAILS_AT: f64 = 1.0;
const COLD_DOWN_FOR: Duration = Duration::from_secs(2);
/// Points of each host on the hash ring; all hosts have the same weight.
const RING_POINTS: u64 = 96;
/// Seed of the ages of copies at the start.
const AGE_SEED: u64 = 7;
/// Zone of the parents and the origin.
const HUB: &str = "hub";

/// Starts caches, parents and the origin, in this order.
pub fn start(scenario: &Scenario, net: &Arc<Net>) -> io::Result<Vec<Arc<Host>>> {
    let kinds = std::iter::repeat_n("cache", scenario.caches)
        .chain(std::iter::repeat_n("parent", scenario.parents))
        .chain(["origin"]);
    let start = |(index, kind)| {
        let host = Host::bound(index, kind, bounds(scenario, kind), Arc::clone(net))?;
        let zone = if kind == "cache" { scenario.zone_of(index) } else { HUB.to_owned() };
        Ok(Arc::new(host.by_object().in_zone(zone)))
    };
    kinds.enumerate().map(start).collect()
}

/// The capacity of a host of this kind.
fn bounds(scenario: &Scenario, kind: &str) -> Bounds {
    let same_work = |slots, queue, work, copies| Bounds {
        slots,
        queue,
        hit: work,
        fill: work,
        write: work,
        holds: copies,
        cold: None,
        ..UNBOUND
    };
    match kind {
        "cache" => Bounds {
            cold: Some(Cold {
                share: COLD_SHARE,
                warm_within: scenario.cache_warm_up,
                falls_at: COLD_FAILS_AT,
                down_for: COLD_DOWN_FOR,
            }),
            ..same_work(scenario.cache_slots, CACHE_QUEUE, CACHE_WORK, CACHE_COPIES)
        },
        "parent" => same_work(PARENT_SLOTS, PARENT_QUEUE, PARENT_WORK, PARENT_COPIES),
        _ => same_work(scenario.origin_slots, ORIGIN_QUEUE, ORIGIN_WORK, usize::MAX),
    }
}

/// Gives each cache and parent copies of the objects that the ring assigns to it, of all ages, as in the middle of a day.
pub fn fill_caches(hosts: &[Arc<Host>]) {
    let mut random = fastrand::Rng::with_seed(AGE_SEED);
    let now = unix_ms();
    for kind in ["cache", "parent"] {
        let tier: Vec<_> = hosts.iter().filter(|host| host.kind == kind).collect();
        let ring = Tier::build(tier.iter().enumerate().map(|(index, host)| share(index, host)).collect());
        let mut copies = vec![BTreeMap::new(); tier.len()];
        for object in objects() {
            if let Some(share) = ring.candidates(ring_key(object, 0)).next() {
                copies[share.host].insert(object, now - random.f64() * FRESH_MS);
            }
        }
        tier.iter().zip(&copies).for_each(|(host, copies)| hosts::warm(host, copies));
    }
}

/// A host's share of the ring.
fn share(index: usize, host: &Host) -> HostShare {
    HostShare {
        host: index,
        id_hash: hash_host_id(&host.name),
        points: RING_POINTS,
        key_fraction: 1.0,
        is_near: true,
        max_fills: 1.0,
    }
}
