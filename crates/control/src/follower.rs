//! The core of a proxy that follows a control service: the received resources, and the choice of cache and source for a GET
//! from them. Does no I/O: resources and the time are passed in. It decides by the rules of the decision module
//! (`myrtlegauge::snapshot`), applied to what the control service published.
//!
//! The received state holds for a lease. Without a lease nothing is forwarded and each GET is shed at once.

use crate::ads_server::ProtocolVariant;
use crate::copy_refusals::{COPY_REFUSALS, CopyRefusals};
use crate::fleet::parse_purge_resource_name;
use crate::messages::{self, BY_HOST_CLUSTER, HostLine, PurgeLine, ROUTE_TABLE, TIERS, TermsLine, Tier};
use crate::resource_cache::ResourceType;
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LbEndpoint};
use myrtlegauge::interface::PurgeKey;
use myrtlegauge::snapshot::{self, HostShare, RoutingTable};
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a received fact cannot be reverted by an instance that may not have received it yet. Change log entries reach
/// every instance within seven seconds.
const NEWER_FACT_TIMEOUT_MS: u64 = 8000;
/// Resolution to which accepted ages are rounded.
const TIME_RESOLUTION: Duration = Duration::from_millis(2);
/// Maximum number of recorded removed hosts. An instance that lags behind cannot bring these back.
const MAX_REMOVED_HOSTS: usize = 4096;

/// The properties of a GET that determine its cache and source.
#[derive(Clone, Copy, Debug)]
pub struct GetKey<'a> {
    pub service: &'a str,
    pub object: u64,
    pub chunk: u32,
    pub group: u64,
}

/// Why a GET is shed at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// No lease: a drain or a purge may have been missed.
    NoLease,
    UnknownService,
    /// No host takes the key.
    NoHost,
}

/// The chosen hosts and terms for a GET.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    pub cache: &'a HostLine,
    /// None: a miss is not filled.
    pub source: Option<&'a HostLine>,
    /// The source answers only from its cache.
    pub only_if_cached: bool,
    /// Maximum age of an acceptable copy. Zero: any age.
    pub max_accepted_age: Duration,
    pub terms: &'a TermsLine,
}

/// A host with the time since which its current incarnation and draining state are known.
struct KnownHost {
    line: HostLine,
    since_ms: u64,
}

/// The state of a proxy that follows a control service.
#[derive(Default)]
pub struct Follower {
    hosts: BTreeMap<String, KnownHost>,
    /// Removed hosts, with the incarnation that ended and the time of removal.
    removed_hosts: BTreeMap<String, (u64, u64)>,
    purges: BTreeMap<PurgeKey, PurgeLine>,
    copy_refusals: CopyRefusals,
    terms: BTreeMap<String, TermsLine>,
    lease_until_ms: u64,
    /// Built from the fields above when they have changed.
    routing_table: RoutingTable,
    lines: Vec<HostLine>,
    is_stale: bool,
}

/// The subscriptions of a follower, in order.
pub fn subscriptions(variant: ProtocolVariant) -> Vec<(ResourceType, Vec<&'static str>)> {
    match variant {
        ProtocolVariant::Delta => vec![
            (ResourceType::Notice, vec!["*"]),
            (ResourceType::Cluster, vec!["*"]),
            (ResourceType::Host, vec!["*"]),
            (ResourceType::Assignment, vec![BY_HOST_CLUSTER]),
            (ResourceType::Route, vec![ROUTE_TABLE]),
        ],
        ProtocolVariant::Whole => vec![
            (ResourceType::Notice, vec!["*"]),
            (ResourceType::Cluster, vec![]),
            (ResourceType::Assignment, TIERS.map(Tier::name).to_vec()),
            (ResourceType::Route, vec![ROUTE_TABLE]),
        ],
    }
}

/// The time at which a message was written, from its nonce, in Unix milliseconds. Leases are counted from this time.
pub fn nonce_unix_ms(nonce: &str) -> Option<u64> {
    u64::from_str_radix(nonce.split_once('.')?.1, 16).ok()
}

impl Follower {
    /// Applies a resource. An unusable resource changes nothing; the error is the reason for a NACK.
    pub fn apply(
        &mut self,
        resource_type: ResourceType,
        name: &str,
        body: &[u8],
        now_ms: u64,
    ) -> Result<(), &'static str> {
        match resource_type {
            ResourceType::Notice => {
                let (notice_name, fields) = messages::decode_notice(body)?;
                if let Some(key) = parse_purge_resource_name(&notice_name) {
                    let purge = PurgeLine::from_fields(&fields)?;
                    let known = self.purges.entry(key).or_insert(purge);
                    if known.at_unix_ms < purge.at_unix_ms {
                        *known = purge;
                    }
                } else if let Some(service) = notice_name.strip_prefix("service/") {
                    self.terms.insert(service.to_owned(), TermsLine::from_fields(&fields)?);
                } else if notice_name == COPY_REFUSALS {
                    self.copy_refusals = CopyRefusals::from_fields(&fields)?.received_at(now_ms);
                }
                // Other notices are for later versions of the protocol.
                self.purges.retain(|_, purge| now_ms < purge.until_unix_ms);
                Ok(())
            }
            ResourceType::Host => {
                let endpoint = LbEndpoint::decode(body).map_err(|_| "endpoint cannot be decoded")?;
                let line = HostLine::from_endpoint(&endpoint)?;
                self.update_host(name, line, now_ms);
                Ok(())
            }
            ResourceType::Assignment => {
                let assignment =
                    ClusterLoadAssignment::decode(body).map_err(|_| "assignment cannot be decoded")?;
                let Some(tier) = Tier::from_name(&assignment.cluster_name) else { return Ok(()) };
                let endpoints = assignment.endpoints.iter().flat_map(|locality| &locality.lb_endpoints);
                let lines = endpoints.map(HostLine::from_endpoint).collect::<Result<Vec<_>, _>>()?;
                let missing: Vec<_> = self
                    .hosts
                    .iter()
                    .filter(|(_, known)| {
                        known.line.tier == tier && lines.iter().all(|line| line.name != known.line.name)
                    })
                    .map(|(name, _)| name.clone())
                    .collect();
                missing.iter().for_each(|name| self.remove(ResourceType::Host, name, now_ms));
                for line in lines {
                    self.update_host(&line.resource_name(), line, now_ms);
                }
                Ok(())
            }
            ResourceType::Cluster | ResourceType::Route => Ok(()),
        }
    }

    /// Updates a host, unless the update is older than the known facts and less strict. A drain is always applied,
    /// since a wrong drain costs little.
    fn update_host(&mut self, name: &str, line: HostLine, now_ms: u64) {
        let order = (line.life, line.draining);
        let is_recent = |since_ms: u64| now_ms < since_ms + NEWER_FACT_TIMEOUT_MS;
        let known = self.hosts.get(name).filter(|known| is_recent(known.since_ms));
        let removed = self.removed_hosts.get(name).filter(|(_, removed_ms)| is_recent(*removed_ms));
        let is_outdated = known.is_some_and(|known| (known.line.life, known.line.draining) > order)
            || removed.is_some_and(|(life, _)| *life >= line.life);
        if is_outdated && !line.draining {
            return;
        }
        // A repetition of the same facts keeps their time, so that a later correction is applied in the end.
        let previous = self.hosts.get(name).filter(|known| (known.line.life, known.line.draining) == order);
        let since_ms = previous.map_or(now_ms, |known| known.since_ms);
        self.hosts.insert(name.to_owned(), KnownHost { line, since_ms });
        self.is_stale = true;
    }

    /// Removes a resource. A purge stays in effect until its own end.
    pub fn remove(&mut self, resource_type: ResourceType, name: &str, now_ms: u64) {
        if resource_type == ResourceType::Notice && name == COPY_REFUSALS {
            self.copy_refusals = CopyRefusals::default();
        }
        if resource_type != ResourceType::Host {
            return;
        }
        if let Some(known) = self.hosts.remove(name) {
            self.removed_hosts.retain(|_, (_, removed_ms)| now_ms < *removed_ms + NEWER_FACT_TIMEOUT_MS);
            if self.removed_hosts.len() < MAX_REMOVED_HOSTS {
                self.removed_hosts.insert(name.to_owned(), (known.line.life, now_ms));
            }
            self.is_stale = true;
        }
    }

    /// Extends the lease by the time to live of an assignment. The message was written and received at the given times.
    pub fn extend_lease(&mut self, ttl: Duration, written_ms: u64, received_ms: u64) {
        let lease_until_ms = written_ms.min(received_ms) + ttl.as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
    }

    /// The remaining time of the lease, in milliseconds.
    pub fn lease_left_ms(&self, now_ms: u64) -> u64 {
        self.lease_until_ms.saturating_sub(now_ms)
    }

    /// The known host of this name.
    pub fn host(&self, host: &str) -> Option<&HostLine> {
        self.hosts.values().map(|known| &known.line).find(|line| line.name == host)
    }

    /// The number of known hosts.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// The purge in effect for a key.
    pub fn purge(&self, key: PurgeKey) -> Option<PurgeLine> {
        self.purges.get(&key).copied()
    }

    /// The copies that are refused because purges may be in force that the control service has not received.
    pub fn copy_refusals(&self) -> &CopyRefusals {
        &self.copy_refusals
    }

    /// Rebuilds the routing table if hosts have changed.
    fn rebuild_routing_table(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        self.lines = self.hosts.values().map(|known| known.line.clone()).collect();
        let shares = |tier: Tier| -> Vec<HostShare> {
            let lines = self.lines.iter().enumerate().filter(|(_, line)| line.tier == tier);
            lines
                .map(|(host, line)| HostShare {
                    host,
                    id_hash: line.mark,
                    points: line.points,
                    key_fraction: line.part,
                    is_near: line.near,
                    max_fills: line.fills.into(),
                })
                .collect()
        };
        for (tier, tier_table) in
            [(Tier::Caches, &mut self.routing_table.caches), (Tier::Parents, &mut self.routing_table.parents)]
        {
            let shares = shares(tier);
            if !tier_table.update_fractions(&shares) {
                *tier_table = myrtlegauge::snapshot::Tier::build(shares);
            }
        }
        self.routing_table.origin =
            shares(Tier::Origin).into_iter().find(|share| !self.lines[share.host].draining);
    }

    /// Chooses the cache and source of a GET. `tried` are the cache and the source that failed it before; `in_flight_fills`
    /// gives the number of fills that this proxy has in flight at a host, by name.
    pub fn choose(
        &mut self,
        get: &GetKey<'_>,
        tried: [Option<&str>; 2],
        in_flight_fills: impl Fn(&str) -> u32,
        now_ms: u64,
    ) -> Result<Choice<'_>, ShedReason> {
        if now_ms >= self.lease_until_ms {
            return Err(ShedReason::NoLease);
        }
        self.rebuild_routing_table();
        let terms = self.terms.get(get.service).ok_or(ShedReason::UnknownService)?;
        self.routing_table.is_origin_spared = terms.spared;
        let key = snapshot::ring_key(get.object, get.chunk);
        let index = |name: &str| self.lines.iter().position(|line| line.name == name);
        let [tried_cache, tried_source] = tried.map(|name| name.and_then(index));
        let cache = self.routing_table.cache(key, tried_cache).ok_or(ShedReason::NoHost)?.host;
        let has_room =
            |share: &HostShare| f64::from(in_flight_fills(&self.lines[share.host].name)) < share.max_fills;
        let source = if terms.passed_on {
            self.routing_table.origin.map(|origin| (origin.host, false))
        } else {
            self.routing_table.source(key, tried_source, has_room)
        };
        let purge_keys = [PurgeKey::Object(get.object), PurgeKey::Group(get.group)];
        let purged_at =
            purge_keys.iter().filter_map(|key| self.purges.get(key)).map(|purge| purge.at_unix_ms).max();
        let refused_before = self.copy_refusals.copies_before_unix_ms(now_ms);
        let purged_at = purged_at.max(refused_before).map(Duration::from_millis);
        let max_accepted_age = snapshot::max_accepted_age(
            terms.accepted_age,
            purged_at,
            Duration::from_millis(now_ms),
            TIME_RESOLUTION,
        );
        Ok(Choice {
            cache: &self.lines[cache],
            source: source.map(|(host, _)| &self.lines[host]),
            only_if_cached: source.is_some_and(|(_, only_if_cached)| only_if_cached),
            max_accepted_age: if terms.passed_on { Duration::ZERO } else { max_accepted_age },
            terms,
        })
    }
}
