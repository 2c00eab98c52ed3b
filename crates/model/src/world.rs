//! The modelled system and its scripted faults.

use serde_json::{Map, Value, json};
use std::time::Duration;

/// A delivery service and its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub objective: Duration,
    pub timeout: Duration,
    pub fresh: Duration,
    pub grace: Duration,
    /// A second run does harm. Requests are passed on to the origin.
    pub is_non_idempotent: bool,
    /// Fraction of all GETs.
    pub request_fraction: f64,
    /// Mean size of an object.
    pub size_kb: f64,
    pub objects: u64,
}

/// The policy that routes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The decision module.
    Module,
    /// Baselines: a cache and a parent by plain consistent hashing, or at random, with one attempt. They know neither health
    /// nor limits.
    Hashing,
    Random,
    /// An informed bound for comparison. It knows which hosts are up, which copies they hold and the length of the queue of
    /// the origin, and sends to the origin only what is answered in time.
    Informed,
}

impl Policy {
    /// The name in files and tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Hashing => "hashing",
            Policy::Random => "random",
            Policy::Informed => "informed",
        }
    }

    /// The policy with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Policy::Module, Policy::Hashing, Policy::Random, Policy::Informed]
            .into_iter()
            .find(|policy| policy.name() == name)
    }
}

/// A scripted fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: Duration,
    /// Duration of the fault. A host that was killed comes back cold.
    pub duration: Duration,
    pub kind: FaultKind,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// This many caches, drawn with the seed, are killed. Connections to them are refused.
    CachesDie(usize),
    /// The caches send nothing more and refuse nothing.
    CachesSilent(usize),
    /// The caches take five times as long.
    CachesSlow(usize),
    /// The caches drain, and are removed half a second before the end of the fault.
    CachesDrain(usize),
    ParentsDie(usize),
    /// This percentage of the dispatchers of each location is killed. Clients move to the others, and requests that the
    /// killed ones had sent run on. The dispatchers come back with the host list and the purges and no other state.
    DispatchersDie(u32),
    /// This percentage of the caches and parents loses its copies.
    StoresLost(u32),
    /// The origin takes ten times as long.
    OriginSlow,
    /// Every group of objects is purged.
    PurgeAll,
    /// The rate of requests changes to this percentage of the normal rate.
    Burst(u32),
}

/// The sizes, rates and faults of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    pub locations: usize,
    pub caches: usize,
    pub dispatchers: usize,
    pub parents: usize,
    /// GETs per second of each location.
    pub requests_per_s: f64,
    pub services: Vec<Service>,
    /// Concurrent transfers of a cache, and the rate of one.
    pub slots: usize,
    pub transfer_kb_per_s: f64,
    /// Capacity of the store of a cache and of a parent.
    pub cache_store_kb: f64,
    pub parent_store_kb: f64,
    /// Concurrent fills of the origin, and the time of one.
    pub origin_slots: usize,
    pub origin_fill_time: Duration,
    /// One-way latency between dispatchers and caches, and from there to the hub.
    pub cache_latency: Duration,
    pub hub_latency: Duration,
    pub drain_grace: Duration,
    pub purge_grace: Duration,
    /// Fraction of its capacity that a cold cache has, and the time until it has all of it.
    pub cold_fraction: f64,
    pub warmup_time: Duration,
    pub duration: Duration,
    pub faults: Vec<Fault>,
    /// The policy that routes requests.
    pub policy: Policy,
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

impl World {
    /// Checks that the sizes make sense.
    ///
    /// # Errors
    /// A size or rate that makes no sense.
    pub fn check(&self) -> Result<(), String> {
        let fractions: f64 = self.services.iter().map(|service| service.request_fraction).sum();
        let counts =
            [self.locations, self.caches, self.dispatchers, self.parents, self.slots, self.origin_slots];
        if counts.contains(&0) {
            return Err("a size of the world is zero: locations, caches, dispatchers, parents, slots and \
                origin-slots must be above zero"
                .into());
        }
        if self.services.is_empty() || (fractions - 1.0).abs() > 0.01 {
            return Err(format!(
                "the shares of the services add up to {fractions:.2}: change them to add up to 1"
            ));
        }
        if self.requests_per_s <= 0.0
            || self.duration.is_zero()
            || self.services.iter().any(|service| service.objects == 0)
        {
            return Err(
                "the world has no requests: rate, long and the objects of each service must be above zero"
                    .into(),
            );
        }
        Ok(())
    }

    /// The number of hosts. Their indices are those of the caches of all locations, then the parents, then the origin.
    pub fn hosts(&self) -> usize {
        self.locations * self.caches + self.parents + 1
    }

    /// The index of the origin.
    pub fn origin(&self) -> usize {
        self.hosts() - 1
    }

    /// The index of the first parent.
    pub fn first_parent(&self) -> usize {
        self.locations * self.caches
    }

    pub fn is_parent(&self, host: usize) -> bool {
        host >= self.first_parent() && host < self.origin()
    }

    /// The zone of a host: the hub is 0, locations follow.
    pub fn zone(&self, host: usize) -> usize {
        if host < self.first_parent() { 1 + host / self.caches } else { 0 }
    }

    /// The settings of the dispatchers of a location.
    pub fn settings(&self, location: usize) -> Map<String, Value> {
        let zones: Vec<String> = (0..=self.locations).map(|zone| format!("zone-{zone}")).collect();
        let counts: Vec<usize> =
            (0..=self.locations).map(|zone| if zone == 0 { 0 } else { self.dispatchers }).collect();
        let service_settings = |service: &Service| {
            json!({"name": service.name, "aim_ms": milliseconds(service.objective), "aim_stretch": 1.0, "group": "cell",
                "deadline_ms": milliseconds(service.timeout), "key_ttl_ms": 0.0,
                "effect": if service.is_non_idempotent { "at_most_once" } else { "idempotent" }})
        };
        let for_each_service =
            |read: fn(&Service) -> Value| self.services.iter().map(read).collect::<Vec<_>>();
        let settings = json!({
            "balancers": self.dispatchers * self.locations, "my_zone": location + 1, "discovery": "pushed",
            "weights": "rough", "resolution_ms": 1.0, "zones": zones, "kinds": ["cache", "parent", "origin"],
            "classes": self.services.iter().map(service_settings).collect::<Vec<_>>(),
            "domain": {"count_by_zone": counts, "hub_of": vec![0; self.locations + 1], "shield_kind": 1,
                "master_kind": 2, "flow_kb_per_s": self.transfer_kb_per_s, "shares_fills": false, "pass_through_ok": false,
                "note_level": "all", "lifetime_by_class_ms": for_each_service(|service| json!(milliseconds(service.fresh))),
                "grace_for_ms": for_each_service(|service| json!(milliseconds(service.grace))),
                "pass_on": for_each_service(|service| json!(service.is_non_idempotent)),
                "parent_floor": self.cold_fraction, "parent_cold_ms": milliseconds(self.warmup_time), "parent_breaks_at": 2.0,
                "gone_everywhere_ms": 6000.0},
            "limits": {"cancel": true, "retry_after": true, "max_retry_after_ms": 2000.0, "max_attempts": 3},
            "obligations": {"start_capacity": self.cold_fraction, "warm_within_ms": milliseconds(self.warmup_time),
                "fall_multiple": 2.0, "fall_ms": 1000.0}
        });
        if let Value::Object(settings) = settings { settings } else { Map::new() }
    }
}
