//! The published messages that carry our decisions, made and read in one place.

use crate::resource_cache::ResourceType;
use envoy_types::pb::envoy::config::cluster::v3 as cluster;
use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::config::route::v3 as route;
use envoy_types::pb::google::protobuf::value::Kind as ProtoValue;
use envoy_types::pb::google::protobuf::{Any, Duration as ProtoDuration, Struct, UInt32Value, Value};
use myrtlegauge_zones::{Stage, Verdict};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Under this name our part of an endpoint's metadata stands.
pub const METADATA_NAMESPACE: &str = "myrtlegauge";
const STRUCT: &str = "type.googleapis.com/google.protobuf.Struct";
/// The assignment whose hosts are resources of their own.
pub const BY_HOST_CLUSTER: &str = "caches-by-host";
pub const ROUTE_TABLE: &str = "gets";

/// What a host is to this location.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    Caches,
    Parents,
    Origin,
}

pub const TIERS: [Tier; 3] = [Tier::Caches, Tier::Parents, Tier::Origin];

impl Tier {
    pub fn name(self) -> &'static str {
        match self {
            Tier::Caches => "caches",
            Tier::Parents => "parents",
            Tier::Origin => "origin",
        }
    }

    pub fn from_name(name: &str) -> Option<Self> {
        TIERS.into_iter().find(|tier| tier.name() == name)
    }
}

/// A host as proxies are told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostLine {
    pub name: String,
    pub address: SocketAddr,
    pub tier: Tier,
    /// When its life began, Unix milliseconds; with `draining` the order of what is told of it.
    pub life: u64,
    pub draining: bool,
    pub mark: u64,
    pub points: u64,
    /// Of its keys; 0: it takes none now.
    pub part: f64,
    pub near: bool,
    /// FillCounts that one proxy may have out there.
    pub fills: u32,
}

/// A purge as proxies are told of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PurgeLine {
    pub at_unix_ms: u64,
    /// From then on no copy from before it is anywhere.
    pub until_unix_ms: u64,
}

/// What a service's GETs are sent with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TermsLine {
    pub accepted_age: Duration,
    pub renew: bool,
    pub again: bool,
    pub passed_on: bool,
    pub spared: bool,
    pub forwards: u32,
    pub timeout: Duration,
}

fn number(n: f64) -> Value {
    Value { kind: Some(ProtoValue::NumberValue(n)) }
}

fn text(text: String) -> Value {
    Value { kind: Some(ProtoValue::StringValue(text)) }
}

fn yes(yes: bool) -> Value {
    Value { kind: Some(ProtoValue::BoolValue(yes)) }
}

fn fields<const N: usize>(pairs: [(&str, Value); N]) -> Struct {
    Struct { fields: pairs.into_iter().map(|(name, value)| (name.to_owned(), value)).collect() }
}

fn told_number(fields: &Struct, name: &str) -> Option<f64> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::NumberValue(n) => Some(*n).filter(|n| n.is_finite() && *n >= 0.0),
        _ => None,
    }
}

fn told_text<'a>(fields: &'a Struct, name: &str) -> Option<&'a str> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::StringValue(text) => Some(text),
        _ => None,
    }
}

fn told_flag(fields: &Struct, name: &str) -> Option<bool> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::BoolValue(yes) => Some(*yes),
        _ => None,
    }
}

pub fn encode_duration(duration: Duration) -> ProtoDuration {
    ProtoDuration { seconds: duration.as_secs() as i64, nanos: duration.subsec_nanos() as i32 }
}

pub fn encode_any(resource_type: ResourceType, body: &[u8]) -> Any {
    Any { type_url: resource_type.type_url().into(), value: body.to_vec() }
}

pub fn encode_address(address: SocketAddr) -> core::Address {
    let socket = core::SocketAddress {
        address: address.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(address.port().into())),
        ..Default::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(socket)) }
}

pub fn parse_address(address: &core::Address) -> Option<SocketAddr> {
    let core::address::Address::SocketAddress(socket) = address.address.as_ref()? else { return None };
    let core::socket_address::PortSpecifier::PortValue(port) = socket.port_specifier.as_ref()? else {
        return None;
    };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(*port).ok()?))
}

impl HostLine {
    pub fn resource_name(&self) -> String {
        format!("{}/{}", self.tier.name(), self.name)
    }

    /// All that it says, in a form that is the same wherever it is made.
    pub fn version_text(&self) -> String {
        format!("{self:?}")
    }

    pub fn to_endpoint(&self) -> endpoint::LbEndpoint {
        let health = match (self.draining, self.part > 0.0) {
            (true, _) => core::HealthStatus::Draining,
            (false, true) => core::HealthStatus::Healthy,
            (false, false) => core::HealthStatus::Unhealthy,
        };
        // Those who know ring hashing alone spread keys by this; it is never zero, which the type does not allow.
        let weight = (self.points as f64 * self.part).ceil().max(1.0) as u32;
        let fields_in = fields([
            ("host", text(self.name.clone())),
            ("tier", text(self.tier.name().into())),
            ("life", number(self.life as f64)),
            ("mark", text(format!("{:016x}", self.mark))),
            ("points", number(self.points as f64)),
            ("part", number(if self.draining { 0.0 } else { self.part })),
            ("near", yes(self.near)),
            ("fills", number(self.fills.into())),
        ]);
        let ring = fields([("hash_key", text(format!("{:016x}", self.mark)))]);
        let metadata = [(METADATA_NAMESPACE.to_owned(), fields_in), ("envoy.lb".to_owned(), ring)].into();
        endpoint::LbEndpoint {
            health_status: health.into(),
            metadata: Some(core::Metadata { filter_metadata: metadata, ..Default::default() }),
            load_balancing_weight: Some(UInt32Value { value: weight }),
            host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint::Endpoint {
                address: Some(encode_address(self.address)),
                ..Default::default()
            })),
        }
    }

    /// Reads one back; what is wrong with one that is not fields_in.
    pub fn from_endpoint(message: &endpoint::LbEndpoint) -> Result<Self, &'static str> {
        let Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(at)) = &message.host_identifier else {
            return Err("an endpoint without an address");
        };
        let address =
            at.address.as_ref().and_then(parse_address).ok_or("an endpoint without an IP address")?;
        let metadata = message.metadata.as_ref().and_then(|m| m.filter_metadata.get(METADATA_NAMESPACE));
        let fields_in = metadata.ok_or("an endpoint without our metadata")?;
        let number = |name: &str| told_number(fields_in, name).ok_or("an endpoint's metadata lacks a number");
        let text = |name: &str| told_text(fields_in, name).ok_or("an endpoint's metadata lacks a text");
        Ok(Self {
            name: text("host")?.to_owned(),
            address,
            tier: Tier::from_name(text("tier")?).ok_or("an endpoint of no tier")?,
            life: number("life")? as u64,
            draining: message.health_status == core::HealthStatus::Draining as i32,
            mark: u64::from_str_radix(text("mark")?, 16).map_err(|_| "an endpoint's mark is no number")?,
            points: (number("points")? as u64).min(1 << 16),
            part: number("part")?.min(1.0),
            near: told_flag(fields_in, "near").unwrap_or(true),
            fills: number("fills")? as u32,
        })
    }
}

fn notice(name: &str, value: Struct) -> Vec<u8> {
    core::TypedExtensionConfig {
        name: name.to_owned(),
        typed_config: Some(Any { type_url: STRUCT.into(), value: value.encode_to_vec() }),
    }
    .encode_to_vec()
}

/// Reads the fields of a notice.
pub fn decode_notice(body: &[u8]) -> Result<(String, Struct), &'static str> {
    let read = core::TypedExtensionConfig::decode(body).map_err(|_| "a notice that can't be read")?;
    let held = read.typed_config.filter(|any| any.type_url == STRUCT).ok_or("a notice of an unknown form")?;
    let fields = Struct::decode(&*held.value).map_err(|_| "a notice whose fields can't be read")?;
    Ok((read.name, fields))
}

impl PurgeLine {
    pub fn encode_notice(&self, name: &str) -> Vec<u8> {
        let at = ("at_unix_ms", number(self.at_unix_ms as f64));
        notice(name, fields([at, ("until_unix_ms", number(self.until_unix_ms as f64))]))
    }

    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let number = |name: &str| told_number(fields, name).ok_or("a purge lacks a time");
        Ok(Self { at_unix_ms: number("at_unix_ms")? as u64, until_unix_ms: number("until_unix_ms")? as u64 })
    }
}

/// A zone's verdict as dispatchers are told of it, and as they tell what they hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneNotice {
    pub epoch: u64,
    pub stage: Stage,
    pub part: f64,
    pub sheds: f64,
    /// When it takes effect.
    pub from_unix_ms: u64,
}

const STAGES: [(Stage, &str); 4] = [
    (Stage::Serving, "serving"),
    (Stage::Doubted, "doubted"),
    (Stage::Left, "left"),
    (Stage::Returning, "returning"),
];

pub fn zone_resource_name(zone: &str) -> String {
    format!("zone/{zone}")
}

pub fn parse_zone_resource_name(name: &str) -> Option<&str> {
    name.strip_prefix("zone/")
}

impl ZoneNotice {
    pub fn from_verdict(verdict: &Verdict, from_unix_ms: u64) -> Self {
        let Verdict { epoch, stage, part, sheds, .. } = *verdict;
        Self { epoch, stage, part, sheds, from_unix_ms }
    }

    pub fn verdict(&self) -> Verdict {
        let Self { epoch, stage, part, sheds, .. } = *self;
        Verdict { epoch, stage, part, sheds, ..Verdict::default() }
    }

    fn fields(&self) -> Struct {
        let stage = STAGES.iter().find(|(stage, _)| *stage == self.stage).map_or("serving", |(_, name)| name);
        fields([
            ("epoch", number(self.epoch as f64)),
            ("stage", text(stage.into())),
            ("part", number(self.part)),
            ("sheds", number(self.sheds)),
            ("from_unix_ms", number(self.from_unix_ms as f64)),
        ])
    }

    pub fn encode_notice(&self, name: &str) -> Vec<u8> {
        notice(name, self.fields())
    }

    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let number = |name: &str| told_number(fields, name).ok_or("a zone's verdict lacks a number");
        let stage = told_text(fields, "stage").ok_or("a zone's verdict lacks its stage")?;
        let stage = STAGES.iter().find(|(_, name)| *name == stage).ok_or("a zone's stage is not known")?;
        Ok(Self {
            epoch: number("epoch")? as u64,
            stage: stage.0,
            part: number("part")?.min(1.0),
            sheds: number("sheds")?.min(1.0),
            from_unix_ms: number("from_unix_ms")? as u64,
        })
    }
}

/// A host's name beside its load, where it is reached by other addresses than the list tells.
pub fn host_metadata(name: &str) -> Struct {
    fields([("host", text(name.to_owned()))])
}

pub fn host_name_from_metadata(metadata: &Struct) -> Option<&str> {
    told_text(metadata, "host")
}

/// GETs that a dispatcher took since its last report, by its node's metadata.
pub fn gets_taken(metadata: &Struct) -> u64 {
    told_number(metadata, "taken").unwrap_or(0.0) as u64
}

/// What a dispatcher holds of zones and how many GETs it took, as a node's metadata.
pub fn held_verdicts_metadata<'a>(held: impl Iterator<Item = (&'a str, ZoneNotice)>, taken: u64) -> Struct {
    let fields = held.map(|(zone, line)| {
        (zone_resource_name(zone), Value { kind: Some(ProtoValue::StructValue(line.fields())) })
    });
    Struct { fields: fields.chain([("taken".to_owned(), number(taken as f64))]).collect() }
}

pub fn held_verdict(metadata: &Struct, zone: &str) -> Option<ZoneNotice> {
    match metadata.fields.get(&zone_resource_name(zone))?.kind.as_ref()? {
        ProtoValue::StructValue(fields) => ZoneNotice::from_fields(fields).ok(),
        _ => None,
    }
}

impl TermsLine {
    pub fn encode_notice(&self, name: &str) -> Vec<u8> {
        notice(
            name,
            fields([
                ("accepted_age_ms", number(self.accepted_age.as_secs_f64() * 1e3)),
                ("renew", yes(self.renew)),
                ("again", yes(self.again)),
                ("passed_on", yes(self.passed_on)),
                ("spared", yes(self.spared)),
                ("forwards", number(self.forwards.into())),
                ("timeout_ms", number(self.timeout.as_secs_f64() * 1e3)),
            ]),
        )
    }

    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let span = |name: &str| {
            let ms = told_number(fields, name).ok_or("a service's terms lack a time")?;
            Duration::try_from_secs_f64(ms / 1e3).map_err(|_| "a service's terms have no time")
        };
        let flag = |name: &str| told_flag(fields, name).ok_or("a service's terms lack a flag");
        Ok(Self {
            accepted_age: span("accepted_age_ms")?,
            renew: flag("renew")?,
            again: flag("again")?,
            passed_on: flag("passed_on")?,
            spared: flag("spared")?,
            forwards: told_number(fields, "forwards").ok_or("a service's terms lack a number")? as u32,
            timeout: span("timeout_ms")?,
        })
    }
}

fn ads() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3.into(),
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    }
}

/// A tier as a cluster; `by_host`: of hosts that are resources of their own.
pub fn cluster_body(name: &str, connect: Duration) -> Vec<u8> {
    cluster::Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds.into(),
        )),
        eds_cluster_config: Some(cluster::cluster::EdsClusterConfig {
            eds_config: Some(ads()),
            service_name: name.to_owned(),
        }),
        connect_timeout: Some(encode_duration(connect)),
        lb_policy: cluster::cluster::LbPolicy::RingHash.into(),
        ..Default::default()
    }
    .encode_to_vec()
}

/// The hosts of a tier; or, for those who take hosts one by one, where they are.
pub fn assignment_body(name: &str, lines: &[&HostLine]) -> Vec<u8> {
    let locality = if name == BY_HOST_CLUSTER {
        endpoint::LocalityLbEndpoints {
            lb_config: Some(endpoint::locality_lb_endpoints::LbConfig::LedsClusterLocalityConfig(
                endpoint::LedsClusterLocalityConfig {
                    leds_config: Some(ads()),
                    leds_collection_name: "caches/*".into(),
                },
            )),
            ..Default::default()
        }
    } else {
        endpoint::LocalityLbEndpoints {
            lb_endpoints: lines.iter().map(|line| line.to_endpoint()).collect(),
            ..Default::default()
        }
    };
    endpoint::ClusterLoadAssignment {
        cluster_name: name.to_owned(),
        endpoints: vec![locality],
        ..Default::default()
    }
    .encode_to_vec()
}

/// A delivery service as a route.
pub struct RouteLine<'a> {
    pub service: &'a str,
    pub again: bool,
    pub timeout: Duration,
    pub forwards: u32,
}

/// Answers that prove that a GET never ran: a miss where nothing is filled, a full host, one that was over already.
const NOT_RUN: [u32; 3] = [404, 503, 504];
/// Those that a run may have caused.
const MAY_HAVE_RUN: [u32; 1] = [500];

/// The route table: where each service's GETs go, and after which ends they may go again. A service whose GETs have an
/// effect gets no retry but after an end that proves that nothing ran.
pub fn routes_body(lines: &[RouteLine<'_>]) -> Vec<u8> {
    let header = |name: &str| route::route_action::HashPolicy {
        policy_specifier: Some(route::route_action::hash_policy::PolicySpecifier::Header(
            route::route_action::hash_policy::Header { header_name: name.to_owned(), ..Default::default() },
        )),
        ..Default::default()
    };
    let routes = lines.iter().map(|line| {
        let proven = "connect-failure,refused-stream,retriable-status-codes";
        let codes = NOT_RUN.iter().chain(MAY_HAVE_RUN.iter().filter(|_| line.again));
        let retry = route::RetryPolicy {
            retry_on: if line.again { format!("{proven},reset") } else { proven.to_owned() },
            num_retries: Some(UInt32Value { value: line.forwards.saturating_sub(1) }),
            retriable_status_codes: codes.copied().collect(),
            ..Default::default()
        };
        let action = route::RouteAction {
            cluster_specifier: Some(route::route_action::ClusterSpecifier::Cluster("caches".into())),
            hash_policy: vec![header("resource-key"), header("x-chunk")],
            timeout: Some(encode_duration(line.timeout)),
            retry_policy: Some(retry),
            ..Default::default()
        };
        let path = route::route_match::PathSpecifier::Path(format!("/rpc/{}", line.service));
        route::Route {
            name: line.service.to_owned(),
            r#match: Some(route::RouteMatch { path_specifier: Some(path), ..Default::default() }),
            action: Some(route::route::Action::Route(action)),
            ..Default::default()
        }
    });
    route::RouteConfiguration {
        name: ROUTE_TABLE.into(),
        virtual_hosts: vec![route::VirtualHost {
            name: ROUTE_TABLE.into(),
            domains: vec!["*".into()],
            routes: routes.collect(),
            ..Default::default()
        }],
        ..Default::default()
    }
    .encode_to_vec()
}
