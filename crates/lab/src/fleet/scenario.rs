//! What a run is made of: the size of the fleet, the script of faults, and defects that test the proof itself.

use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub dispatchers: usize,
    pub caches: usize,
    pub parents: usize,
    /// Requests per second of all clients.
    pub rate: f64,
    /// Requests that the origin works on at once, for `ORIGIN_WORK` each.
    pub origin_slots: usize,
    /// When the first fault happens.
    pub fault_at: Duration,
    /// Length of the run.
    pub duration: Duration,
    pub seed: u64,
    pub defect: Option<Defect>,
    /// Zones that the caches are spread over. With several, dispatchers get operator files.
    pub zones: usize,
    /// Control services whose verdicts on zones the dispatchers follow.
    pub control_services: usize,
    /// Requests per second that the caches of a zone can take; zero: not configured.
    pub zone_capacity: f64,
    /// Requests that a cache works on at once.
    pub cache_slots: usize,
    /// Time until a cache that started cold can do its full work. The programs are configured with it.
    pub cache_warm_up: Duration,
}

/// A defect put into the run itself. A proof that does not fail with it checks nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Purges are in the change log and reach nobody.
    PurgesUnpublished,
    /// Clients retry what may have run.
    EffectsRetried,
    /// Each dispatcher is configured as the only one.
    CountOfOne,
    /// One voter has many names.
    NoQuorum,
    /// Dispatchers use their part of a returning zone until they are told otherwise.
    NoLease,
    /// A zone that was left takes all its keys back at once.
    NoRamp,
    /// The capacity of zones is not configured.
    NoCapacity,
}

/// A fault that the script injects. Shares are in percent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of the dispatchers is killed at once and restarted. The configuration knows all events by then.
    Kill {
        share: usize,
        restart_after: Duration,
    },
    /// The same dispatchers are killed over and over.
    CrashLoop {
        share: usize,
        every: Duration,
        duration: Duration,
    },
    /// A share of the caches loses its copies and restarts, which the host list tells. Parents may lose their copies too.
    EmptyCaches {
        share: usize,
        parents: bool,
    },
    /// A share of the caches falls silent, and comes back cold.
    SilentCaches {
        share: usize,
        duration: Duration,
    },
    /// A share of the dispatchers is stopped and resumed.
    Freeze {
        share: usize,
        duration: Duration,
    },
    /// Nobody hears from the change log.
    ChangeLogDown {
        duration: Duration,
    },
    /// The change log restarts with a new sequence of events.
    ChangeLogReset,
    /// So many of the 64 groups of objects are purged.
    Purge {
        groups: u64,
    },
    /// The origin takes so many times as long.
    OriginSlow {
        factor: u32,
        duration: Duration,
    },
    OriginDown {
        duration: Duration,
    },
    /// Every dispatcher gets another change log by SIGHUP.
    Reload,
    /// A share of the dispatchers can send to hosts and hears nothing back.
    OneWayLinks {
        share: usize,
        duration: Duration,
    },
    /// Connections of a share of the dispatchers to hosts are reset in the middle of messages.
    ConnectionResets {
        share: usize,
        duration: Duration,
    },
    /// Links of a share of the dispatchers to hosts are slow, and lose some messages on the way back.
    SlowAndLossyLinks {
        share: usize,
        delay: Duration,
        loss: u32,
        duration: Duration,
    },
    /// The caches of a zone are down, and come back cold.
    ZoneDown {
        zone: usize,
        duration: Duration,
    },
    /// A share of the dispatchers is partitioned from the caches of a zone, which come back warm or cold.
    ZonePartition {
        zone: usize,
        share: usize,
        cold: bool,
        duration: Duration,
    },
    /// The caches of a zone take so many times as long.
    ZoneSlow {
        zone: usize,
        factor: u32,
        duration: Duration,
    },
    /// The caches of a zone lose so many messages of a hundred.
    ZoneLossy {
        zone: usize,
        loss: u32,
        duration: Duration,
    },
    /// One or all control services are killed and restart without state.
    ControlServicesDown {
        only_one: bool,
        duration: Duration,
    },
    /// A share of the dispatchers is partitioned from all control services.
    ControlServicesPartition {
        share: usize,
        duration: Duration,
    },
    /// An operator gives the first control service an order for a zone.
    OperatorOrder {
        zone: usize,
        order: &'static str,
    },
    /// So many voters beside the dispatchers report that a zone is down, whatever its state.
    FalseReports {
        zone: usize,
        voters: usize,
        duration: Duration,
    },
}

/// The faults of a run, each with its time since the first request.
pub type Script = Vec<(Duration, Fault)>;
