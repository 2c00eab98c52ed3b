//! The hosts, the purges and the decision module, and the resources published from them. Does no I/O: updates and the time
//! are passed in, resources go to the ADS server.

use crate::ads_server::AdsServer;
use crate::load_reports::Summary;
use crate::messages::{
    self, BY_HOST_CLUSTER, HostLine, PurgeLine, ROUTE_TABLE, RouteLine, TIERS, TermsLine, Tier,
};
use crate::resource_cache::{Resource, ResourceType, Version};
use myrtlegauge::decide::{Round, Router};
use myrtlegauge::interface::{
    DecisionSink, Forward, GetIndex, HostEntry, HostIndex, HostStatus, ListUpdate, PurgeKey, Settings,
};
use myrtlegauge::settings::{self, flag, list, number};
use myrtlegauge::snapshot::{HostShare, RoutingSnapshot};
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::host_registry::HostRegistry;
use myrtlegauge_wire::protocol::changelog::{Endpoint, Purge};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a removed host is kept. After this, no proxy can still refer to it.
const REMOVED_HOST_RETENTION: Duration = Duration::from_secs(60);
/// Connect timeout published to proxies. It is below the shortest grace, since a host may drain meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// An assignment contains a whole tier, so increases (the key fraction of a cold host) are collected for this long before
/// it is published again. Drains, removals and decreases are published at once. The cost: a cold host warms up slightly
/// later.
const ASSIGNMENT_BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of purges in effect. A change log with more within the time that purges hold is faulty; the oldest are
/// dropped first.
const MAX_PURGES: usize = 65_536;

/// A host that is or was listed.
struct KnownHost {
    name: String,
    address: Option<SocketAddr>,
    entry: HostEntry,
    /// When its current incarnation started. Never decreases, whatever later lines leave out or contradict. A host that is
    /// active again after it was not has a new incarnation, whether or not the list says so.
    incarnation_unix_ms: u64,
    removed_at: Option<Duration>,
    /// The line that was last published.
    published: Option<HostLine>,
}

/// Sink for the decision module. A control service takes no GETs, so only the requested wake-up is used.
#[derive(Default)]
struct WakeupTimer {
    wakeup_after: Option<Duration>,
}

impl DecisionSink for WakeupTimer {
    fn forward(&mut self, _: GetIndex, _: &Forward) {}
    fn withdraw(&mut self, _: GetIndex, _: u32) {}
    fn shed(&mut self, _: GetIndex, _: Option<Duration>) {}
    fn error(&mut self, _: GetIndex) {}
    fn release(&mut self, _: GetIndex) {}
    fn schedule_wakeup(&mut self, after: Duration) {
        self.wakeup_after = Some(after);
    }
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, line: std::fmt::Arguments<'_>) {
        log::info!("{line}");
    }
}

/// The settings of a delivery service that are published to proxies and never change.
struct Service {
    name: String,
    passed_on: bool,
    timeout: Duration,
}

/// What became of a purge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PurgeOutcome {
    /// An older purge that may still bind was dropped for it.
    pub is_older_dropped: bool,
}

/// A change that the decision module has not been told of yet.
enum RouterChange {
    HostList(ListUpdate, Vec<HostEntry>),
    Purge(PurgeKey),
}

impl RouterChange {
    fn apply(&self, round: &mut Round<'_, WakeupTimer>) {
        match self {
            Self::HostList(update, entries) => round.on_host_list(*update, entries),
            Self::Purge(key) => round.on_purge(*key, Duration::ZERO),
        }
    }
}

/// The hosts, purges and delivery services, with the decision module that routes to them.
pub struct Fleet {
    router: Router,
    /// Applied together in the next round, since each round updates the rings.
    pending_changes: Vec<RouterChange>,
    timer: WakeupTimer,
    wakeup_at: Duration,
    registry: HostRegistry,
    clock: Clock,
    hosts: Vec<KnownHost>,
    by_address: HashMap<SocketAddr, HostIndex>,
    /// The time of each purge, in Unix milliseconds.
    purges: BTreeMap<PurgeKey, u64>,
    services: Vec<Service>,
    parent_kind: Option<usize>,
    origin_kind: usize,
    /// By zone index: the fraction of keys withheld from the hosts of the zone.
    withheld_fractions: Vec<f64>,
    /// By zone index: whether the caches of the zone are chosen here.
    serves_zone: Vec<bool>,
    max_purge_delay: Duration,
    /// The most that the clock of a proxy differs.
    clock_error: Duration,
    /// The terms last published, by service.
    terms: Vec<Option<TermsLine>>,
    is_static_config_published: bool,
    /// By tier: whether the published assignment is older than the hosts.
    is_assignment_stale: [bool; 3],
    /// By tier: when the assignment was last published.
    assigned_at: [Duration; 3],
    /// Number of unusable host lines and purges.
    pub faults: u64,
    /// Number of rounds of the decision module.
    pub rounds: u64,
}

impl Fleet {
    /// Creates a fleet without hosts.
    pub fn new(settings: &Settings, seed: u64, clock: Clock) -> Result<Self, String> {
        let services = list(settings, "classes")?.iter().enumerate().map(|(ds, class)| {
            let name =
                class.get("name").and_then(|name| name.as_str()).ok_or("a delivery service has no name")?;
            let timeout = settings::duration(settings, &format!("classes.{ds}.deadline_ms"))?;
            Ok(Service {
                name: name.to_owned(),
                passed_on: flag(settings, &format!("domain.pass_on.{ds}")),
                timeout,
            })
        });
        let services = services.collect::<Result<Vec<_>, String>>()?;
        let zones = list(settings, "zones")?.len();
        let served_zones = settings::served_zones(settings)?;
        let kind =
            |name: &str| number(settings, name).ok().filter(|&kind| kind >= 0.0).map(|kind| kind as usize);
        Ok(Self {
            router: Router::new(settings, seed)?,
            pending_changes: Vec::new(),
            timer: WakeupTimer::default(),
            wakeup_at: Duration::ZERO,
            registry: HostRegistry::new(settings)?,
            clock,
            hosts: Vec::new(),
            by_address: HashMap::new(),
            purges: BTreeMap::new(),
            terms: vec![None; services.len()],
            services,
            parent_kind: kind("domain.shield_kind"),
            origin_kind: kind("domain.master_kind").ok_or("setting domain.master_kind is missing")?,
            withheld_fractions: vec![0.0; zones],
            serves_zone: (0..zones).map(|zone| served_zones.contains(&zone)).collect(),
            max_purge_delay: settings::duration(settings, "domain.gone_everywhere_ms")?,
            clock_error: Duration::ZERO,
            is_static_config_published: false,
            is_assignment_stale: [false; 3],
            assigned_at: [Duration::ZERO; 3],
            faults: 0,
            rounds: 0,
        })
    }

    /// Sets the most that the clock of a proxy differs. A proxy whose clock is ahead takes copies for younger than they are.
    pub fn with_clock_error(mut self, clock_error: Duration) -> Self {
        self.clock_error = clock_error;
        self
    }

    /// From this long after a purge on, no cache holds a copy that it forbids.
    pub fn max_purge_delay(&self) -> Duration {
        self.max_purge_delay
    }

    /// The clock that all times passed in come from.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The names of the delivery services, by index.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|service| service.name.as_str())
    }

    /// The name of a host.
    pub fn host_name(&self, index: HostIndex) -> &str {
        &self.hosts[index].name
    }

    /// The host list as it was passed to the decision module.
    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.iter().filter(|host| !host.name.is_empty()).map(|host| &host.entry)
    }

    /// Number of hosts that are not removed.
    pub fn len(&self) -> usize {
        self.hosts.iter().filter(|host| host.removed_at.is_none()).count()
    }

    /// Whether all hosts are removed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the host that listens at an address now.
    pub fn host_by_address(&self, address: SocketAddr) -> Option<HostIndex> {
        self.by_address.get(&address).copied().filter(|&host| self.hosts[host].removed_at.is_none())
    }

    /// Returns the host that has this name now.
    pub fn host_by_name(&self, name: &str) -> Option<HostIndex> {
        self.registry.index_of(name).filter(|&host| self.hosts[host].removed_at.is_none())
    }

    /// The index of the delivery service of this name.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// Applies lines of the host list. Hosts that a full list leaves out are removed. The decision module is told in
    /// the next round.
    pub fn on_host_list(&mut self, lines: &[Endpoint<'_>], is_full: bool, now: Duration) {
        let mut entries = Vec::with_capacity(lines.len());
        if is_full {
            let listed: std::collections::BTreeSet<&str> = lines.iter().map(|line| &*line.name).collect();
            for host in &mut self.hosts {
                if host.removed_at.is_none() && !listed.contains(host.name.as_str()) {
                    host.entry.status = HostStatus::Removed;
                    host.removed_at = Some(now);
                }
            }
        }
        for line in lines {
            let (index, is_new) = self.registry.register(&line.name);
            if is_new {
                let entry = HostEntry { host: index, weight: 1.0, ..HostEntry::default() };
                let known = KnownHost {
                    name: line.name.to_string(),
                    address: None,
                    entry,
                    incarnation_unix_ms: 0,
                    removed_at: None,
                    published: None,
                };
                match self.hosts.get_mut(index) {
                    Some(slot) => *slot = known,
                    None => self.hosts.push(known),
                }
            }
            let (entry, fault) =
                self.registry.resolve_entry(&self.hosts[index].entry, line, &self.clock, now);
            if let Some(fault) = fault {
                self.faults += 1;
                log::warn!(host = &*line.name; "host list entry has {fault}: treating the host as removed");
            }
            let address = line.address.parse().ok();
            if let Some(address) = address {
                // An address belongs to one host; the earlier host no longer has it.
                if let Some(other) = self.by_address.insert(address, index).filter(|&other| other != index) {
                    self.hosts[other].address = None;
                }
            }
            let host = &mut self.hosts[index];
            if let Some(previous) =
                host.address.filter(|&previous| address.is_some_and(|address| address != previous))
            {
                self.by_address.remove(&previous);
            }
            host.address = address.or(host.address);
            let (started_unix_ms, previous_status) = (entry.start.claimed_unix_ms(), host.entry.status);
            let is_undeclared_restart = !is_new
                && previous_status != HostStatus::Active
                && entry.status == HostStatus::Active
                && started_unix_ms <= host.incarnation_unix_ms;
            host.incarnation_unix_ms = if is_undeclared_restart {
                self.clock.unix_ms(now)
            } else {
                started_unix_ms.max(host.incarnation_unix_ms)
            };
            host.entry = entry;
            host.removed_at = host.removed_at.or(Some(now)).filter(|_| entry.status == HostStatus::Removed);
            entries.push(self.withheld_entry(entry));
        }
        let update = if is_full { ListUpdate::Full } else { ListUpdate::Changes };
        self.pending_changes.push(RouterChange::HostList(update, entries));
    }

    /// Sets the fraction of keys that each zone (by index) takes, and withholds the rest from its hosts.
    pub fn withhold(&mut self, key_fractions: &[(usize, f64)], now: Duration) {
        let changed_zones: Vec<_> = key_fractions
            .iter()
            .filter(|(zone, fraction)| self.withheld_fractions[*zone] != 1.0 - fraction)
            .copied()
            .collect();
        if changed_zones.is_empty() {
            return;
        }
        for (zone, fraction) in changed_zones {
            self.withheld_fractions[zone] = 1.0 - fraction;
        }
        let known = self.hosts.iter().filter(|host| !host.name.is_empty() && host.removed_at.is_none());
        let entries: Vec<_> = known.map(|host| self.withheld_entry(host.entry)).collect();
        self.pending_changes.push(RouterChange::HostList(ListUpdate::Changes, entries));
        self.run_round(now, |_| ());
    }

    /// The host entry with the withheld fraction of its zone.
    fn withheld_entry(&self, entry: HostEntry) -> HostEntry {
        HostEntry { withheld_fraction: self.withheld_fractions[entry.zone], ..entry }
    }

    /// The zone index of a host.
    pub fn zone_of(&self, index: HostIndex) -> usize {
        self.hosts[index].entry.zone
    }

    /// Runs a round in which the pending changes come before the action.
    fn run_round(&mut self, now: Duration, action: impl FnOnce(&mut Round<'_, WakeupTimer>)) {
        let changes = std::mem::take(&mut self.pending_changes);
        self.rounds += 1;
        self.router.round(now, &mut self.timer, |round| {
            changes.iter().for_each(|change| change.apply(round));
            action(round);
        });
        if let Some(after) = self.timer.wakeup_after.take() {
            self.wakeup_at = now + after;
        }
    }

    /// Applies a purge. A purge that names nothing or has no valid time is counted as a fault and ignored. The decision
    /// module is told in the next round.
    pub fn on_purge(&mut self, purge: &Purge<'_>) -> PurgeOutcome {
        let object = purge.object.as_deref().and_then(|id| u64::from_str_radix(id, 16).ok());
        let key = object.map(PurgeKey::Object).or(purge.bucket.map(PurgeKey::Group));
        let Some(key) = key.filter(|_| purge.unix_ms.is_finite() && purge.unix_ms >= 0.0) else {
            self.faults += 1;
            log::warn!("purge names no object or group, or has no valid time: ignoring it");
            return PurgeOutcome::default();
        };
        let at = purge.unix_ms as u64;
        let known = self.purges.entry(key).or_insert(at);
        *known = at.max(*known);
        let is_older_dropped = self.purges.len() > MAX_PURGES;
        if is_older_dropped {
            let oldest = self.purges.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.map(|key| self.purges.remove(&key));
        }
        self.pending_changes.push(RouterChange::Purge(key));
        PurgeOutcome { is_older_dropped }
    }

    /// Passes the summary of one report interval to the decision module.
    pub fn on_load_summary(&mut self, summary: &Summary, now: Duration) {
        self.run_round(now, |round| {
            for &(host, is_success) in &summary.outcomes {
                round.on_host_report(host, is_success);
            }
            for &(source, ds, total, late_or_failed, in_flight) in &summary.fills {
                round.on_fill_report(ds, source, total, late_or_failed, in_flight);
            }
        });
    }

    /// Wakes the decision module when due, and frees the indices of hosts that were removed long ago.
    pub fn on_timer(&mut self, now: Duration) {
        if now >= self.wakeup_at {
            self.run_round(now, |round| round.on_wakeup());
        }
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if !host.name.is_empty()
                && host.removed_at.is_some_and(|at| now >= at + REMOVED_HOST_RETENTION)
                && host.published.is_none()
            {
                self.registry.unregister(std::mem::take(&mut host.name).as_bytes());
                if let Some(address) = host.address.take() {
                    self.by_address.remove(&address);
                }
            }
        }
    }

    fn tier(&self, entry: &HostEntry) -> Option<Tier> {
        if Some(entry.kind) == self.parent_kind {
            Some(Tier::Parents)
        } else if entry.kind == self.origin_kind {
            Some(Tier::Origin)
        } else {
            self.serves_zone.get(entry.zone).is_some_and(|is_served| *is_served).then_some(Tier::Caches)
        }
    }

    /// Publishes all changes since the last call. `proxies` is the number of proxies that share the limits on fills.
    pub fn publish(&mut self, server: &mut AdsServer, proxies: usize, now: Duration, unix_ms: u64) {
        if !self.pending_changes.is_empty() {
            self.run_round(now, |_| ());
        }
        let snapshot = self.router.routing_snapshot(now);
        let mut shares: Vec<Option<HostShare>> = vec![None; self.hosts.len()];
        for share in snapshot.caches.iter().chain(&snapshot.parents).chain(&snapshot.origin) {
            shares[share.host] = Some(*share);
        }
        let (mut changed, mut has_urgent_change) = ([false; 3], [false; 3]);
        for (index, &share) in shares.iter().enumerate() {
            let line = self.host_line(index, share, proxies);
            let host = &mut self.hosts[index];
            if line == host.published {
                continue;
            }
            let previous = std::mem::replace(&mut host.published, line);
            let (old, new) = (previous.as_ref(), host.published.as_ref());
            // A host that drains, is removed, or is another process at the same address is urgent.
            let identity =
                |line: Option<&HostLine>| line.map(|line| (line.life, line.draining, line.address));
            let is_urgent = old.is_some() && identity(old) != identity(new);
            // So is a host whose zone is evacuated.
            let is_zone_evacuated =
                self.withheld_fractions.get(host.entry.zone).is_some_and(|fraction| *fraction >= 1.0);
            let is_urgent = is_urgent || is_zone_evacuated && old.is_some_and(|line| line.part > 0.0);
            let (tier, name) = match (old, new) {
                (_, Some(line)) | (Some(line), None) => (line.tier as usize, line.resource_name()),
                (None, None) => continue,
            };
            if let Some(previous) = old.filter(|old| new.is_some_and(|new| new.tier != old.tier)) {
                (changed[previous.tier as usize], has_urgent_change[previous.tier as usize]) = (true, true);
                server.put(ResourceType::Host, &previous.resource_name(), None, true);
            }
            let key_fraction = |line: Option<&HostLine>| line.map_or(0.0, |line| line.part);
            self.is_assignment_stale[tier] = true;
            // A new host is published at once: nothing is collected while a tier is being set up.
            changed[tier] |= is_urgent || old.is_none() || key_fraction(new) < key_fraction(old);
            has_urgent_change[tier] |= is_urgent;
            server.put(ResourceType::Host, &name, new.map(host_resource), is_urgent);
        }
        for (tier, changed) in changed.iter_mut().enumerate() {
            *changed |=
                self.is_assignment_stale[tier] && now >= self.assigned_at[tier] + ASSIGNMENT_BATCH_INTERVAL;
            if *changed {
                (self.is_assignment_stale[tier], self.assigned_at[tier]) = (false, now);
            }
        }
        self.publish_derived(server, &snapshot, changed, has_urgent_change, unix_ms);
    }

    fn host_line(&self, index: HostIndex, share: Option<HostShare>, proxies: usize) -> Option<HostLine> {
        let host = &self.hosts[index];
        let (entry, address) = (&host.entry, host.address?);
        let tier = self.tier(entry).filter(|_| entry.status != HostStatus::Removed)?;
        // A draining host keeps its points, so that proxies need not rebuild their rings at once.
        let previous = host.published.as_ref().filter(|_| entry.status == HostStatus::Draining);
        let points = share.map(|share| share.points).or(previous.map(|line| line.points));
        let near = share.map(|share| share.is_near).or(previous.map(|line| line.near));
        let fills = share.map_or(1.0, |share| (share.max_fills / proxies.max(1) as f64).ceil().max(1.0));
        Some(HostLine {
            name: host.name.clone(),
            address,
            tier,
            life: host.incarnation_unix_ms,
            draining: entry.status == HostStatus::Draining,
            mark: entry.id_hash,
            points: points.unwrap_or(0),
            part: share.map_or(0.0, |share| share.key_fraction),
            near: near.unwrap_or(true),
            fills: fills as u32,
        })
    }

    fn publish_derived(
        &mut self,
        server: &mut AdsServer,
        snapshot: &RoutingSnapshot,
        changed: [bool; 3],
        has_urgent_change: [bool; 3],
        unix_ms: u64,
    ) {
        for tier in
            TIERS.into_iter().filter(|&tier| changed[tier as usize] || !self.is_static_config_published)
        {
            let lines = self.hosts.iter().filter_map(|host| host.published.as_ref());
            let mut lines: Vec<_> = lines.filter(|line| line.tier == tier).collect();
            lines.sort_by(|a, b| a.name.cmp(&b.name));
            let version_text: String = lines.iter().map(|line| line.version_text()).collect();
            let body = messages::assignment_body(tier.name(), &lines);
            let resource = resource(0, 0, &version_text, body, true);
            server.put(
                ResourceType::Assignment,
                tier.name(),
                Some(resource),
                has_urgent_change[tier as usize],
            );
        }
        if !std::mem::replace(&mut self.is_static_config_published, true) {
            for name in TIERS.map(Tier::name).into_iter().chain([BY_HOST_CLUSTER]) {
                let body = messages::cluster_body(name, CONNECT_TIMEOUT);
                server.put(ResourceType::Cluster, name, Some(resource(0, 0, name, body, false)), false);
            }
            let body = messages::assignment_body(BY_HOST_CLUSTER, &[]);
            server.put(
                ResourceType::Assignment,
                BY_HOST_CLUSTER,
                Some(resource(0, 0, BY_HOST_CLUSTER, body, true)),
                false,
            );
            let lines = self.services.iter().zip(&snapshot.terms).map(|(service, terms)| RouteLine {
                service: &service.name,
                is_repeatable: terms.is_repeatable,
                timeout: service.timeout,
                max_forwards: snapshot.max_forwards,
            });
            let lines: Vec<_> = lines.collect();
            let version_text: String = lines
                .iter()
                .map(|line| {
                    format!(
                        "{} {} {:?} {};",
                        line.service, line.is_repeatable, line.timeout, line.max_forwards
                    )
                })
                .collect();
            let body = messages::routes_body(&lines);
            server.put(
                ResourceType::Route,
                ROUTE_TABLE,
                Some(resource(0, 0, &version_text, body, false)),
                false,
            );
        }
        for (ds, (service, terms)) in self.services.iter().zip(&snapshot.terms).enumerate() {
            let line = TermsLine {
                accepted_age: terms.accepted_age,
                renew: terms.renew,
                again: terms.is_repeatable,
                passed_on: service.passed_on,
                spared: snapshot.is_origin_spared,
                forwards: snapshot.max_forwards,
                timeout: service.timeout,
            };
            if self.terms[ds] != Some(line) {
                self.terms[ds] = Some(line);
                let name = format!("service/{}", service.name);
                let notice = resource(0, 0, &format!("{line:?}"), line.encode_notice(&name), false);
                server.put(ResourceType::Notice, &name, Some(notice), false);
            }
        }
        let max_delay_ms = (self.max_purge_delay + self.clock_error).as_millis() as u64;
        let clock_error_ms = self.clock_error.as_millis() as u64;
        let expired = self.purges.extract_if(.., |_, at| unix_ms >= at.saturating_add(max_delay_ms));
        for (key, _) in expired.collect::<Vec<_>>() {
            server.put(ResourceType::Notice, &purge_resource_name(key), None, false);
        }
        for (&key, &at) in &self.purges {
            let name = purge_resource_name(key);
            let published = server.cache().get(ResourceType::Notice, &name);
            if published.is_none_or(|published| published.version.incarnation < at) {
                let line = PurgeLine {
                    at_unix_ms: at.saturating_add(clock_error_ms),
                    until_unix_ms: at.saturating_add(max_delay_ms),
                };
                let notice = resource(at, 1, &format!("{line:?}"), line.encode_notice(&name), false);
                server.put(ResourceType::Notice, &name, Some(notice), true);
            }
        }
    }

    /// Applies the hosts of the operator file as a full host list.
    pub fn load_file_hosts(&mut self, hosts: &[myrtlegauge_operator::file::ListedHost], now: Duration) {
        let lines: Vec<_> = hosts
            .iter()
            .map(|host| Endpoint {
                name: Cow::Borrowed(&host.name),
                address: Cow::Owned(host.address.to_string()),
                zone: Cow::Borrowed(&host.zone),
                kind: Cow::Borrowed(&host.kind),
                group: Some(host.cell),
                status: Cow::Borrowed(if host.is_draining { "leaving" } else { "active" }),
                weight: Some(host.weight),
                since_ms: Some(host.started_unix_ms),
            })
            .collect();
        self.on_host_list(&lines, true, now);
    }
}

/// The resource name of a purge.
pub fn purge_resource_name(key: PurgeKey) -> String {
    match key {
        PurgeKey::Object(object) => format!("purge/object/{object:016x}"),
        PurgeKey::Group(group) => format!("purge/group/{group}"),
    }
}

/// The inverse of `purge_resource_name`. None for other resource names.
pub fn parse_purge_resource_name(name: &str) -> Option<PurgeKey> {
    let rest = name.strip_prefix("purge/")?;
    let object = rest.strip_prefix("object/").and_then(|id| u64::from_str_radix(id, 16).ok());
    let group = rest.strip_prefix("group/").and_then(|id| id.parse().ok());
    object.map(PurgeKey::Object).or(group.map(PurgeKey::Group))
}

fn resource(incarnation: u64, revision: u64, version_text: &str, body: Vec<u8>, is_leased: bool) -> Resource {
    Resource {
        version: Version::new(incarnation, revision, version_text.as_bytes()),
        body: body.into(),
        is_leased,
    }
}

fn host_resource(line: &HostLine) -> Resource {
    use prost::Message;
    resource(line.life, line.draining.into(), &line.version_text(), line.to_endpoint().encode_to_vec(), false)
}
