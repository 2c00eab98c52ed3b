//! The hosts, the purges and the decision module, and what is published of them. No I/O: news and the time come in,
//! resources go to the exchange.

use crate::exchange::Exchange;
use crate::messages::{self, BY_HOST, HostLine, PurgeLine, ROUTES, RouteLine, TIERS, TermsLine, Tier};
use crate::reports::Summary;
use crate::shelf::{Kind, Resource, Version};
use myrtlegauge::decide::Router;
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

/// A host gone for so long is forgotten: by then no proxy can still mean it.
const FORGET: Duration = Duration::from_secs(60);
/// Time to connect that proxies are told: under the least grace, for a host may drain meanwhile.
const CONNECT: Duration = Duration::from_millis(200);
/// An assignment holds a whole tier, so that what only grows in it (a cold host's part) is put together over this long;
/// what drains, is gone or takes less goes at once. It hurts by a cold host that warms up a little later.
const GATHER: Duration = Duration::from_millis(250);
/// Purges held at once; a log that names more than that in the time for which purges hold is out of its mind, and the
/// oldest go first.
const PURGES_MOST: usize = 65_536;

/// A host by its index.
struct Known {
    name: String,
    address: Option<SocketAddr>,
    entry: HostEntry,
    /// When its life began, Unix milliseconds; never goes back, whatever later lines leave out or contradict. One that
    /// is on again after it was not has begun another, whether or not the list says so.
    life: u64,
    gone_at: Option<Duration>,
    /// As it was published last.
    line: Option<HostLine>,
}

/// Where the module's decisions would go: a control service takes no GETs, so only its wake-up matters.
#[derive(Default)]
struct Bell {
    rings: Option<Duration>,
}

impl DecisionSink for Bell {
    fn forward(&mut self, _: GetIndex, _: &Forward) {}
    fn withdraw(&mut self, _: GetIndex, _: u32) {}
    fn shed(&mut self, _: GetIndex, _: Option<Duration>) {}
    fn error(&mut self, _: GetIndex) {}
    fn release(&mut self, _: GetIndex) {}
    fn schedule_wakeup(&mut self, after: Duration) {
        self.rings = Some(after);
    }
    fn subscribe_host_list(&mut self) {}
    fn log(&mut self, line: std::fmt::Arguments<'_>) {
        log::info!("{line}");
    }
}

/// A delivery service as far as proxies are told of it for good.
struct Service {
    name: String,
    passed_on: bool,
    timeout: Duration,
}

pub struct Fleet {
    router: Router,
    bell: Bell,
    wakes: Duration,
    places: HostRegistry,
    clock: Clock,
    hosts: Vec<Known>,
    by_address: HashMap<SocketAddr, HostIndex>,
    /// By what it names, when it was purged, Unix milliseconds.
    purges: BTreeMap<PurgeKey, u64>,
    services: Vec<Service>,
    parent_kind: Option<usize>,
    origin_kind: usize,
    /// By the footprint's number, what is held back from hosts of a zone; and whether their caches are chosen here.
    held_back: Vec<f64>,
    serves: Vec<bool>,
    purged_within: Duration,
    /// Terms as published last, by service.
    terms: Vec<Option<TermsLine>>,
    routed: bool,
    /// By tier: its assignment lags behind its hosts, and since when it stands as it is.
    lags: [bool; 3],
    assigned_at: [Duration; 3],
    pub faults: u64,
}

impl Fleet {
    pub fn new(facts: &Settings, seed: u64, clock: Clock) -> Result<Self, String> {
        let services = list(facts, "classes")?.iter().enumerate().map(|(ds, class)| {
            let name =
                class.get("name").and_then(|name| name.as_str()).ok_or("a delivery service has no name")?;
            let timeout = settings::duration(facts, &format!("classes.{ds}.deadline_ms"))?;
            Ok(Service {
                name: name.to_owned(),
                passed_on: flag(facts, &format!("domain.pass_on.{ds}")),
                timeout,
            })
        });
        let services = services.collect::<Result<Vec<_>, String>>()?;
        let zones = list(facts, "zones")?.len();
        let serves = settings::served_zones(facts)?;
        let kind =
            |name: &str| number(facts, name).ok().filter(|&kind| kind >= 0.0).map(|kind| kind as usize);
        Ok(Self {
            router: Router::new(facts, seed)?,
            bell: Bell::default(),
            wakes: Duration::ZERO,
            places: HostRegistry::new(facts)?,
            clock,
            hosts: Vec::new(),
            by_address: HashMap::new(),
            purges: BTreeMap::new(),
            terms: vec![None; services.len()],
            services,
            parent_kind: kind("domain.shield_kind"),
            origin_kind: kind("domain.master_kind").ok_or("setting domain.master_kind is missing")?,
            held_back: vec![0.0; zones],
            serves: (0..zones).map(|zone| serves.contains(&zone)).collect(),
            purged_within: settings::duration(facts, "domain.gone_everywhere_ms")?,
            routed: false,
            lags: [false; 3],
            assigned_at: [Duration::ZERO; 3],
            faults: 0,
        })
    }

    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.iter().map(|service| service.name.as_str())
    }

    pub fn host_name(&self, index: HostIndex) -> &str {
        &self.hosts[index].name
    }

    /// The list as the module was told it.
    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.iter().filter(|host| !host.name.is_empty()).map(|host| &host.entry)
    }

    /// Hosts that are not gone.
    pub fn len(&self) -> usize {
        self.hosts.iter().filter(|host| host.gone_at.is_none()).count()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The host that listens at an address now.
    pub fn at(&self, address: SocketAddr) -> Option<HostIndex> {
        self.by_address.get(&address).copied().filter(|&host| self.hosts[host].gone_at.is_none())
    }

    /// The host of this name now.
    pub fn named(&self, name: &str) -> Option<HostIndex> {
        self.places.index_of(name).filter(|&host| self.hosts[host].gone_at.is_none())
    }

    pub fn service(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.name == name)
    }

    /// Takes lines of the list; whom a whole one leaves out is gone.
    pub fn listed(&mut self, lines: &[Endpoint<'_>], whole: bool, now: Duration) {
        let mut entries = Vec::with_capacity(lines.len());
        if whole {
            let told: std::collections::BTreeSet<&str> = lines.iter().map(|line| &*line.name).collect();
            for host in &mut self.hosts {
                if host.gone_at.is_none() && !told.contains(host.name.as_str()) {
                    host.entry.status = HostStatus::Removed;
                    host.gone_at = Some(now);
                }
            }
        }
        for line in lines {
            let (index, new) = self.places.register(&line.name);
            if new {
                let entry = HostEntry { host: index, weight: 1.0, ..HostEntry::default() };
                let known = Known {
                    name: line.name.to_string(),
                    address: None,
                    entry,
                    life: 0,
                    gone_at: None,
                    line: None,
                };
                match self.hosts.get_mut(index) {
                    Some(place) => *place = known,
                    None => self.hosts.push(known),
                }
            }
            let (entry, fault) = self.places.resolve_entry(&self.hosts[index].entry, line, &self.clock, now);
            if let Some(what) = fault {
                self.faults += 1;
                log::warn!(host = &*line.name; "a host's line has {what}: taken as gone");
            }
            let address = line.address.parse().ok();
            if let Some(address) = address {
                // An address belongs to one host; the earlier one there is no more.
                if let Some(other) = self.by_address.insert(address, index).filter(|&other| other != index) {
                    self.hosts[other].address = None;
                }
            }
            let host = &mut self.hosts[index];
            if let Some(left) = host.address.filter(|&left| address.is_some_and(|now| now != left)) {
                self.by_address.remove(&left);
            }
            host.address = address.or(host.address);
            let (began, was) = (entry.start.claimed_unix_ms(), host.entry.status);
            let again =
                !new && was != HostStatus::Active && entry.status == HostStatus::Active && began <= host.life;
            host.life = if again { self.clock.unix_ms(now) } else { began.max(host.life) };
            host.entry = entry;
            host.gone_at = host.gone_at.or(Some(now)).filter(|_| entry.status == HostStatus::Removed);
            entries.push(self.held(entry));
        }
        self.told(now, |round| {
            round.on_host_list(if whole { ListUpdate::Full } else { ListUpdate::Changes }, &entries);
        });
    }

    /// Holds back what zones don't take, by the footprint's numbers.
    pub fn hold_back(&mut self, parts: &[(usize, f64)], now: Duration) {
        let moved: Vec<_> =
            parts.iter().filter(|(zone, part)| self.held_back[*zone] != 1.0 - part).copied().collect();
        if moved.is_empty() {
            return;
        }
        for (zone, part) in moved {
            self.held_back[zone] = 1.0 - part;
        }
        let known = self.hosts.iter().filter(|host| !host.name.is_empty() && host.gone_at.is_none());
        let entries: Vec<_> = known.map(|host| self.held(host.entry)).collect();
        self.told(now, |round| round.on_host_list(ListUpdate::Changes, &entries));
    }

    /// A host's entry as the module is told it.
    fn held(&self, entry: HostEntry) -> HostEntry {
        HostEntry { withheld_fraction: self.held_back[entry.zone], ..entry }
    }

    /// Where a host stands, by the footprint's number.
    pub fn zone(&self, index: HostIndex) -> usize {
        self.hosts[index].entry.zone
    }

    fn told(&mut self, now: Duration, say: impl FnOnce(&mut myrtlegauge::decide::Round<'_, Bell>)) {
        self.router.round(now, &mut self.bell, say);
        if let Some(after) = self.bell.rings.take() {
            self.wakes = now + after;
        }
    }

    /// Takes a purge; one that names nothing, or whose time is no time, is counted and says nothing.
    pub fn purged(&mut self, purge: &Purge<'_>, now: Duration) {
        let object = purge.object.as_deref().and_then(|id| u64::from_str_radix(id, 16).ok());
        let named = object.map(PurgeKey::Object).or(purge.bucket.map(PurgeKey::Group));
        let Some(named) = named.filter(|_| purge.unix_ms.is_finite() && purge.unix_ms >= 0.0) else {
            self.faults += 1;
            return log::warn!("a purge names neither an object nor a group, or no time");
        };
        let at = purge.unix_ms as u64;
        let known = self.purges.entry(named).or_insert(at);
        *known = at.max(*known);
        if self.purges.len() > PURGES_MOST {
            let oldest = self.purges.iter().min_by_key(|(_, at)| **at).map(|(named, _)| *named);
            oldest.map(|named| self.purges.remove(&named));
        }
        self.told(now, |round| round.on_purge(named, Duration::ZERO));
    }

    /// What proxies saw in an interval.
    pub fn reported(&mut self, summary: &Summary, now: Duration) {
        self.told(now, |round| {
            for &(host, success) in &summary.outcomes {
                round.on_host_report(host, success);
            }
            for &(source, ds, all, bad, out) in &summary.fills {
                round.on_fill_report(ds, source, all, bad, out);
            }
        });
    }

    /// The module's wake-up, where it is due; and hosts long gone give their index back.
    pub fn tend(&mut self, now: Duration) {
        if now >= self.wakes {
            self.told(now, |round| round.on_wakeup());
        }
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if !host.name.is_empty()
                && host.gone_at.is_some_and(|at| now >= at + FORGET)
                && host.line.is_none()
            {
                self.places.unregister(std::mem::take(&mut host.name).as_bytes());
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
            self.serves.get(entry.zone).is_some_and(|serves| *serves).then_some(Tier::Caches)
        }
    }

    /// Publishes what differs from what was published last. `proxies`: how many share the bounds on fills.
    pub fn publish(&mut self, exchange: &mut Exchange, proxies: usize, now: Duration, unix_ms: u64) {
        let reading = self.router.routing_snapshot(now);
        let mut shares: Vec<Option<HostShare>> = vec![None; self.hosts.len()];
        for share in reading.caches.iter().chain(&reading.parents).chain(&reading.origin) {
            shares[share.host] = Some(*share);
        }
        let (mut changed, mut ended) = ([false; 3], [false; 3]);
        for (index, &share) in shares.iter().enumerate() {
            let line = self.line(index, share, proxies);
            let host = &mut self.hosts[index];
            if line == host.line {
                continue;
            }
            let before = std::mem::replace(&mut host.line, line);
            let (old, new) = (before.as_ref(), host.line.as_ref());
            // A host that drains, is gone, or is another process at the same address, is urgent.
            let life = |line: Option<&HostLine>| line.map(|line| (line.life, line.draining, line.address));
            let urgent = old.is_some() && life(old) != life(new);
            // So is one whose zone is left.
            let held_back = self.held_back.get(host.entry.zone).is_some_and(|held| *held >= 1.0);
            let urgent = urgent || held_back && old.is_some_and(|line| line.part > 0.0);
            let (at, name) = match (old, new) {
                (_, Some(line)) | (Some(line), None) => (line.tier as usize, line.resource_name()),
                (None, None) => continue,
            };
            if let Some(moved) = old.filter(|old| new.is_some_and(|new| new.tier != old.tier)) {
                (changed[moved.tier as usize], ended[moved.tier as usize]) = (true, true);
                exchange.put(Kind::Host, &moved.resource_name(), None, true);
            }
            let part = |line: Option<&HostLine>| line.map_or(0.0, |line| line.part);
            self.lags[at] = true;
            // A new host is named at once: nothing is gathered while a tier comes into being.
            changed[at] |= urgent || old.is_none() || part(new) < part(old);
            ended[at] |= urgent;
            exchange.put(Kind::Host, &name, new.map(host_resource), urgent);
        }
        for (tier, changed) in changed.iter_mut().enumerate() {
            *changed |= self.lags[tier] && now >= self.assigned_at[tier] + GATHER;
            if *changed {
                (self.lags[tier], self.assigned_at[tier]) = (false, now);
            }
        }
        self.publish_rest(exchange, &reading, changed, ended, unix_ms);
    }

    fn line(&self, index: HostIndex, share: Option<HostShare>, proxies: usize) -> Option<HostLine> {
        let host = &self.hosts[index];
        let (entry, address) = (&host.entry, host.address?);
        let tier = self.tier(entry).filter(|_| entry.status != HostStatus::Removed)?;
        // One that drains keeps its points, so that proxies need not lay their rings anew at once.
        let kept = host.line.as_ref().filter(|_| entry.status == HostStatus::Draining);
        let points = share.map(|share| share.points).or(kept.map(|line| line.points));
        let near = share.map(|share| share.is_near).or(kept.map(|line| line.near));
        let fills = share.map_or(1.0, |share| (share.max_fills / proxies.max(1) as f64).ceil().max(1.0));
        Some(HostLine {
            name: host.name.clone(),
            address,
            tier,
            life: host.life,
            draining: entry.status == HostStatus::Draining,
            mark: entry.id_hash,
            points: points.unwrap_or(0),
            part: share.map_or(0.0, |share| share.key_fraction),
            near: near.unwrap_or(true),
            fills: fills as u32,
        })
    }

    fn publish_rest(
        &mut self,
        exchange: &mut Exchange,
        reading: &RoutingSnapshot,
        changed: [bool; 3],
        ended: [bool; 3],
        unix_ms: u64,
    ) {
        for tier in TIERS.into_iter().filter(|&tier| changed[tier as usize] || !self.routed) {
            let lines = self.hosts.iter().filter_map(|host| host.line.as_ref());
            let mut lines: Vec<_> = lines.filter(|line| line.tier == tier).collect();
            lines.sort_by(|a, b| a.name.cmp(&b.name));
            let said: String = lines.iter().map(|line| line.canonical()).collect();
            let body = messages::assignment_body(tier.name(), &lines);
            let resource = resource(0, 0, &said, body, true);
            exchange.put(Kind::Assignment, tier.name(), Some(resource), ended[tier as usize]);
        }
        if !std::mem::replace(&mut self.routed, true) {
            for name in TIERS.map(Tier::name).into_iter().chain([BY_HOST]) {
                let body = messages::cluster_body(name, CONNECT);
                exchange.put(Kind::Cluster, name, Some(resource(0, 0, name, body, false)), false);
            }
            let body = messages::assignment_body(BY_HOST, &[]);
            exchange.put(Kind::Assignment, BY_HOST, Some(resource(0, 0, BY_HOST, body, true)), false);
            let lines = self.services.iter().zip(&reading.terms).map(|(service, terms)| RouteLine {
                service: &service.name,
                again: terms.is_repeatable,
                timeout: service.timeout,
                forwards: reading.max_forwards,
            });
            let lines: Vec<_> = lines.collect();
            let said: String = lines
                .iter()
                .map(|l| format!("{} {} {:?} {};", l.service, l.again, l.timeout, l.forwards))
                .collect();
            let body = messages::routes_body(&lines);
            exchange.put(Kind::Route, ROUTES, Some(resource(0, 0, &said, body, false)), false);
        }
        for (ds, (service, terms)) in self.services.iter().zip(&reading.terms).enumerate() {
            let line = TermsLine {
                accepted_age: terms.accepted_age,
                renew: terms.renew,
                again: terms.is_repeatable,
                passed_on: service.passed_on,
                spared: reading.is_origin_spared,
                forwards: reading.max_forwards,
                timeout: service.timeout,
            };
            if self.terms[ds] != Some(line) {
                self.terms[ds] = Some(line);
                let name = format!("service/{}", service.name);
                let put = resource(0, 0, &format!("{line:?}"), line.body(&name), false);
                exchange.put(Kind::Notice, &name, Some(put), false);
            }
        }
        let long = self.purged_within.as_millis() as u64;
        let over = self.purges.extract_if(.., |_, at| unix_ms >= at.saturating_add(long));
        for (named, _) in over.collect::<Vec<_>>() {
            exchange.put(Kind::Notice, &purge_name(named), None, false);
        }
        for (&named, &at) in &self.purges {
            let name = purge_name(named);
            let known = exchange.shelf().get(Kind::Notice, &name);
            if known.is_none_or(|known| known.version.life < at) {
                let line = PurgeLine { at_unix_ms: at, until_unix_ms: at.saturating_add(long) };
                let put = resource(at, 1, &format!("{line:?}"), line.body(&name), false);
                exchange.put(Kind::Notice, &name, Some(put), true);
            }
        }
    }

    /// Hosts that the operator file names, as lines of a list.
    pub fn listed_in_file(&mut self, hosts: &[myrtlegauge_operator::file::ListedHost], now: Duration) {
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
        self.listed(&lines, true, now);
    }
}

pub fn purge_name(named: PurgeKey) -> String {
    match named {
        PurgeKey::Object(object) => format!("purge/object/{object:016x}"),
        PurgeKey::Group(group) => format!("purge/group/{group}"),
    }
}

/// What a purge's resource name names.
pub fn purge_named(name: &str) -> Option<PurgeKey> {
    let rest = name.strip_prefix("purge/")?;
    let object = rest.strip_prefix("object/").and_then(|id| u64::from_str_radix(id, 16).ok());
    let group = rest.strip_prefix("group/").and_then(|id| id.parse().ok());
    object.map(PurgeKey::Object).or(group.map(PurgeKey::Group))
}

fn resource(life: u64, step: u64, said: &str, body: Vec<u8>, leased: bool) -> Resource {
    Resource { version: Version::of(life, step, said.as_bytes()), body: body.into(), leased }
}

fn host_resource(line: &HostLine) -> Resource {
    use prost::Message;
    resource(line.life, line.draining.into(), &line.canonical(), line.message().encode_to_vec(), false)
}
