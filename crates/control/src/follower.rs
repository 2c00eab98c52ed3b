//! The core of a proxy that follows a control service: what it was told, and where by that a GET goes. No I/O: resources
//! and the time come in. What it decides by are the decision module's own rules (`myrtlegauge::reading`), fed with what
//! the control service published.
//!
//! What it was told holds for a lease. Without one nothing is sent and each GET is shed at once.

use crate::ads_server::ProtocolVariant;
use crate::fleet::parse_purge_resource_name;
use crate::messages::{self, BY_HOST_CLUSTER, HostLine, PurgeLine, ROUTE_TABLE, TIERS, TermsLine, Tier};
use crate::resource_cache::ResourceType;
use envoy_types::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LbEndpoint};
use myrtlegauge::interface::PurgeKey;
use myrtlegauge::snapshot::{self, HostShare, RoutingTable};
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// For how long something that was told is not taken back by an instance that may not have heard of it: what a change
/// log has to tell is everywhere within seven seconds.
const NEWER_FACT_TIMEOUT_MS: u64 = 8000;
/// What times are rounded to.
const TICK: Duration = Duration::from_millis(2);
/// Hosts remembered after they were gone, so that an instance behind can't bring them back.
const MAX_REMOVED_HOSTS: usize = 4096;

/// A GET as far as it matters where it goes.
#[derive(Clone, Copy, Debug)]
pub struct GetKey<'a> {
    pub service: &'a str,
    pub object: u64,
    pub chunk: u32,
    pub group: u64,
}

/// Why a GET is shed here, at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedReason {
    /// Nothing was heard for too long: a drain or a purge may have gone by.
    NoLease,
    UnknownService,
    /// No host takes the key.
    NoHost,
}

/// Where a GET goes, and with what.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    pub cache: &'a HostLine,
    /// None: a miss is not filled.
    pub source: Option<&'a HostLine>,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// The oldest copy that will do; zero: any age.
    pub max_accepted_age: Duration,
    pub terms: &'a TermsLine,
}

struct KnownHost {
    line: HostLine,
    at_ms: u64,
}

#[derive(Default)]
pub struct Follower {
    hosts: BTreeMap<String, KnownHost>,
    /// Hosts taken away, with the life that ended and when.
    gone: BTreeMap<String, (u64, u64)>,
    purges: BTreeMap<PurgeKey, PurgeLine>,
    terms: BTreeMap<String, TermsLine>,
    lease_until_ms: u64,
    /// Laid from the above where that has changed.
    map: RoutingTable,
    lines: Vec<HostLine>,
    stale: bool,
}

/// What to subscribe to, in order.
pub fn subscriptions(form: ProtocolVariant) -> Vec<(ResourceType, Vec<&'static str>)> {
    match form {
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

/// When a message was written, by its nonce: a lease counts from there.
pub fn nonce_unix_ms(nonce: &str) -> Option<u64> {
    u64::from_str_radix(nonce.split_once('.')?.1, 16).ok()
}

impl Follower {
    /// Takes a resource. What can't be used changes nothing, and is to be refused.
    pub fn apply(
        &mut self,
        resource_type: ResourceType,
        name: &str,
        body: &[u8],
        now_ms: u64,
    ) -> Result<(), &'static str> {
        match resource_type {
            ResourceType::Notice => {
                let (named, fields) = messages::decode_notice(body)?;
                if let Some(purged) = parse_purge_resource_name(&named) {
                    let told = PurgeLine::from_fields(&fields)?;
                    let known = self.purges.entry(purged).or_insert(told);
                    if known.at_unix_ms < told.at_unix_ms {
                        *known = told;
                    }
                } else if let Some(service) = named.strip_prefix("service/") {
                    self.terms.insert(service.to_owned(), TermsLine::from_fields(&fields)?);
                }
                // Others are for later versions.
                self.purges.retain(|_, purge| now_ms < purge.until_unix_ms);
                Ok(())
            }
            ResourceType::Host => {
                let read = LbEndpoint::decode(body).map_err(|_| "an endpoint that can't be read")?;
                let line = HostLine::from_endpoint(&read)?;
                self.stands(name, line, now_ms);
                Ok(())
            }
            ResourceType::Assignment => {
                let read =
                    ClusterLoadAssignment::decode(body).map_err(|_| "an assignment that can't be read")?;
                let Some(tier) = Tier::from_name(&read.cluster_name) else { return Ok(()) };
                let told = read.endpoints.iter().flat_map(|locality| &locality.lb_endpoints);
                let lines = told.map(HostLine::from_endpoint).collect::<Result<Vec<_>, _>>()?;
                let left: Vec<_> = self
                    .hosts
                    .iter()
                    .filter(|(_, told)| {
                        told.line.tier == tier && lines.iter().all(|l| l.name != told.line.name)
                    })
                    .map(|(name, _)| name.clone())
                    .collect();
                left.iter().for_each(|name| self.remove(ResourceType::Host, name, now_ms));
                for line in lines {
                    self.stands(&line.resource_name(), line, now_ms);
                }
                Ok(())
            }
            ResourceType::Cluster | ResourceType::Route => Ok(()),
        }
    }

    /// A host as it is told now, unless that is older news than what is known, and laxer: a drain is taken whoever tells
    /// of it, for it costs little where it is wrong.
    fn stands(&mut self, name: &str, line: HostLine, now_ms: u64) {
        let order = (line.life, line.draining);
        let lately = |at_ms: u64| now_ms < at_ms + NEWER_FACT_TIMEOUT_MS;
        let known = self.hosts.get(name).filter(|told| lately(told.at_ms));
        let ended = self.gone.get(name).filter(|(_, at_ms)| lately(*at_ms));
        let older = known.is_some_and(|told| (told.line.life, told.line.draining) > order)
            || ended.is_some_and(|(life, _)| *life >= line.life);
        if older && !line.draining {
            return;
        }
        // The same news again leaves its time as it was, for a correction must get through in the end.
        let at_ms = self.hosts.get(name).filter(|told| (told.line.life, told.line.draining) == order);
        let at_ms = at_ms.map_or(now_ms, |told| told.at_ms);
        self.hosts.insert(name.to_owned(), KnownHost { line, at_ms });
        self.stale = true;
    }

    /// Takes a resource away. A purge stays: it ends by its own time.
    pub fn remove(&mut self, resource_type: ResourceType, name: &str, now_ms: u64) {
        if resource_type != ResourceType::Host {
            return;
        }
        if let Some(told) = self.hosts.remove(name) {
            self.gone.retain(|_, (_, at_ms)| now_ms < *at_ms + NEWER_FACT_TIMEOUT_MS);
            if self.gone.len() < MAX_REMOVED_HOSTS {
                self.gone.insert(name.to_owned(), (told.line.life, now_ms));
            }
            self.stale = true;
        }
    }

    /// Takes a lease: a time to live of an assignment, of a message written and received at these times.
    pub fn extend_lease(&mut self, ttl: Duration, written_ms: u64, received_ms: u64) {
        let until = written_ms.min(received_ms) + ttl.as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(until);
    }

    pub fn lease_left_ms(&self, now_ms: u64) -> u64 {
        self.lease_until_ms.saturating_sub(now_ms)
    }

    pub fn host(&self, host: &str) -> Option<&HostLine> {
        self.hosts.values().map(|told| &told.line).find(|line| line.name == host)
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub fn purge(&self, named: PurgeKey) -> Option<PurgeLine> {
        self.purges.get(&named).copied()
    }

    fn settle(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        self.lines = self.hosts.values().map(|told| told.line.clone()).collect();
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
        for (tier, laid) in [(Tier::Caches, &mut self.map.caches), (Tier::Parents, &mut self.map.parents)] {
            let shares = shares(tier);
            if !laid.update_fractions(&shares) {
                *laid = myrtlegauge::snapshot::Tier::build(shares);
            }
        }
        self.map.origin = shares(Tier::Origin).into_iter().find(|share| !self.lines[share.host].draining);
    }

    /// Where a GET goes now. `tried`: the cache and the source that failed it; `out`: fills that this proxy has out at a
    /// host, by name.
    pub fn choose(
        &mut self,
        get: &GetKey<'_>,
        tried: [Option<&str>; 2],
        out: impl Fn(&str) -> u32,
        now_ms: u64,
    ) -> Result<Choice<'_>, ShedReason> {
        if now_ms >= self.lease_until_ms {
            return Err(ShedReason::NoLease);
        }
        self.settle();
        let terms = self.terms.get(get.service).ok_or(ShedReason::UnknownService)?;
        self.map.is_origin_spared = terms.spared;
        let key = snapshot::ring_key(get.object, get.chunk);
        let index = |name: &str| self.lines.iter().position(|line| line.name == name);
        let [tried_cache, tried_source] = tried.map(|name| name.and_then(index));
        let cache = self.map.cache(key, tried_cache).ok_or(ShedReason::NoHost)?.host;
        let room = |share: &HostShare| f64::from(out(&self.lines[share.host].name)) < share.max_fills;
        let source = if terms.passed_on {
            self.map.origin.map(|origin| (origin.host, false))
        } else {
            self.map.source(key, tried_source, room)
        };
        let named = [PurgeKey::Object(get.object), PurgeKey::Group(get.group)];
        let purged =
            named.iter().filter_map(|named| self.purges.get(named)).map(|purge| purge.at_unix_ms).max();
        let purged = purged.map(Duration::from_millis);
        let max_accepted_age =
            snapshot::max_accepted_age(terms.accepted_age, purged, Duration::from_millis(now_ms), TICK);
        Ok(Choice {
            cache: &self.lines[cache],
            source: source.map(|(host, _)| &self.lines[host]),
            only_if_cached: source.is_some_and(|(_, held)| held),
            max_accepted_age: if terms.passed_on { Duration::ZERO } else { max_accepted_age },
            terms,
        })
    }
}
