//! Encoding and decoding of the published xDS messages that carry the routing decisions.

use crate::resource_cache::ResourceType;
use crate::struct_fields::{
    bool_value, fields, flag_field, number_field, number_value, text_field, text_value,
};
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

/// Name under which the metadata of this program is stored in the metadata of an endpoint.
pub const METADATA_NAMESPACE: &str = "myrtlegauge";
const STRUCT_TYPE_URL: &str = "type.googleapis.com/google.protobuf.Struct";
/// Name of the cluster and assignment whose hosts are resources of their own.
pub const BY_HOST_CLUSTER: &str = "caches-by-host";
/// Name of the route table.
pub const ROUTE_TABLE: &str = "gets";

/// The role of a host for this location.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    Caches,
    Parents,
    Origin,
}

/// All tiers, in the order of their indices.
pub const TIERS: [Tier; 3] = [Tier::Caches, Tier::Parents, Tier::Origin];

impl Tier {
    /// The published name of the tier.
    pub fn name(self) -> &'static str {
        match self {
            Tier::Caches => "caches",
            Tier::Parents => "parents",
            Tier::Origin => "origin",
        }
    }

    /// The tier of a published name.
    pub fn from_name(name: &str) -> Option<Self> {
        TIERS.into_iter().find(|tier| tier.name() == name)
    }
}

/// A host as it is published to proxies. Its whole `Debug` text is hashed into versions that instances compare, so struct
/// name, field names and field order are part of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct HostLine {
    pub name: String,
    pub address: SocketAddr,
    pub tier: Tier,
    /// When its incarnation started, in Unix milliseconds. Orders the facts about a host, together with `draining`.
    pub life: u64,
    pub draining: bool,
    /// Hash of the host id.
    pub mark: u64,
    /// Points on the ring.
    pub points: u64,
    /// Fraction of its keys that it takes. 0: it takes none now.
    pub part: f64,
    pub near: bool,
    /// Fills that one proxy may have in flight at this host.
    pub fills: u32,
}

/// A purge as it is published to proxies. Its `Debug` text is hashed into versions, as for [`HostLine`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PurgeLine {
    pub at_unix_ms: u64,
    /// From this time on, no copy from before the purge exists anywhere.
    pub until_unix_ms: u64,
}

/// The terms with which GETs of a delivery service are forwarded. Its `Debug` text is hashed into versions, as for
/// [`HostLine`].
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

/// Encodes a duration.
pub fn encode_duration(duration: Duration) -> ProtoDuration {
    ProtoDuration { seconds: duration.as_secs() as i64, nanos: duration.subsec_nanos() as i32 }
}

/// Encodes a resource body with its type.
pub fn encode_any(resource_type: ResourceType, body: &[u8]) -> Any {
    Any { type_url: resource_type.type_url().into(), value: body.to_vec() }
}

/// Encodes a socket address.
pub fn encode_address(address: SocketAddr) -> core::Address {
    let socket = core::SocketAddress {
        address: address.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(address.port().into())),
        ..Default::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(socket)) }
}

/// Decodes a socket address. None if it has no IP address or port.
pub fn parse_address(address: &core::Address) -> Option<SocketAddr> {
    let core::address::Address::SocketAddress(socket) = address.address.as_ref()? else { return None };
    let core::socket_address::PortSpecifier::PortValue(port) = socket.port_specifier.as_ref()? else {
        return None;
    };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(*port).ok()?))
}

impl HostLine {
    /// The name of the host resource.
    pub fn resource_name(&self) -> String {
        format!("{}/{}", self.tier.name(), self.name)
    }

    /// The text that is hashed into versions. It is the same on every instance.
    pub fn version_text(&self) -> String {
        format!("{self:?}")
    }

    /// Encodes the host as an endpoint.
    pub fn to_endpoint(&self) -> endpoint::LbEndpoint {
        let health = match (self.draining, self.part > 0.0) {
            (true, _) => core::HealthStatus::Draining,
            (false, true) => core::HealthStatus::Healthy,
            (false, false) => core::HealthStatus::Unhealthy,
        };
        // Proxies that only know ring hashing spread keys by this weight. The message type does not allow zero.
        let weight = (self.points as f64 * self.part).ceil().max(1.0) as u32;
        let own_fields = fields([
            ("host", text_value(self.name.clone())),
            ("tier", text_value(self.tier.name().into())),
            ("life", number_value(self.life as f64)),
            ("mark", text_value(format!("{:016x}", self.mark))),
            ("points", number_value(self.points as f64)),
            ("part", number_value(if self.draining { 0.0 } else { self.part })),
            ("near", bool_value(self.near)),
            ("fills", number_value(self.fills.into())),
        ]);
        let ring = fields([("hash_key", text_value(format!("{:016x}", self.mark)))]);
        let metadata = [(METADATA_NAMESPACE.to_owned(), own_fields), ("envoy.lb".to_owned(), ring)].into();
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

    /// Decodes an endpoint. The error names a missing or invalid item, as in an endpoint of another kind of control
    /// service.
    pub fn from_endpoint(message: &endpoint::LbEndpoint) -> Result<Self, &'static str> {
        let Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint)) = &message.host_identifier else {
            return Err("endpoint has no address");
        };
        let address =
            endpoint.address.as_ref().and_then(parse_address).ok_or("endpoint has no IP address")?;
        let metadata =
            message.metadata.as_ref().and_then(|metadata| metadata.filter_metadata.get(METADATA_NAMESPACE));
        let fields = metadata.ok_or("endpoint has no myrtlegauge metadata")?;
        let number =
            |name: &str| number_field(fields, name).ok_or("endpoint metadata lacks a required number");
        let text = |name: &str| text_field(fields, name).ok_or("endpoint metadata lacks a required text");
        Ok(Self {
            name: text("host")?.to_owned(),
            address,
            tier: Tier::from_name(text("tier")?).ok_or("endpoint has an unknown tier")?,
            life: number("life")? as u64,
            draining: message.health_status == core::HealthStatus::Draining as i32,
            mark: u64::from_str_radix(text("mark")?, 16)
                .map_err(|_| "endpoint mark is not a hexadecimal number")?,
            points: (number("points")? as u64).min(1 << 16),
            part: number("part")?.min(1.0),
            near: flag_field(fields, "near").unwrap_or(true),
            fills: number("fills")? as u32,
        })
    }
}

/// Encodes a notice with its name and fields.
pub(crate) fn notice(name: &str, value: Struct) -> Vec<u8> {
    core::TypedExtensionConfig {
        name: name.to_owned(),
        typed_config: Some(Any { type_url: STRUCT_TYPE_URL.into(), value: value.encode_to_vec() }),
    }
    .encode_to_vec()
}

/// Decodes a notice into its name and fields.
pub fn decode_notice(body: &[u8]) -> Result<(String, Struct), &'static str> {
    let notice = core::TypedExtensionConfig::decode(body).map_err(|_| "notice cannot be decoded")?;
    let config = notice
        .typed_config
        .filter(|any| any.type_url == STRUCT_TYPE_URL)
        .ok_or("notice has an unknown type of content")?;
    let fields = Struct::decode(&*config.value).map_err(|_| "notice fields cannot be decoded")?;
    Ok((notice.name, fields))
}

impl PurgeLine {
    /// Encodes it as a notice resource with the given name.
    pub fn encode_notice(&self, name: &str) -> Vec<u8> {
        let at = ("at_unix_ms", number_value(self.at_unix_ms as f64));
        notice(name, fields([at, ("until_unix_ms", number_value(self.until_unix_ms as f64))]))
    }

    /// Decodes the fields of a notice. The error names a missing or invalid item.
    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let number = |name: &str| number_field(fields, name).ok_or("purge notice lacks a time");
        Ok(Self { at_unix_ms: number("at_unix_ms")? as u64, until_unix_ms: number("until_unix_ms")? as u64 })
    }
}

/// The verdict on a zone, as published to dispatchers and as they report which verdict they hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneNotice {
    pub epoch: u64,
    pub stage: Stage,
    pub part: f64,
    pub sheds: f64,
    /// When the verdict takes effect.
    pub from_unix_ms: u64,
}

const STAGES: [(Stage, &str); 4] = [
    (Stage::Serving, "serving"),
    (Stage::Doubted, "doubted"),
    (Stage::Left, "left"),
    (Stage::Returning, "returning"),
];

/// The resource name of the verdict on a zone.
pub fn zone_resource_name(zone: &str) -> String {
    format!("zone/{zone}")
}

/// The inverse of [`zone_resource_name`]. None for other resource names.
pub fn parse_zone_resource_name(name: &str) -> Option<&str> {
    name.strip_prefix("zone/")
}

impl ZoneNotice {
    /// A notice of a verdict that takes effect at the given time.
    pub fn from_verdict(verdict: &Verdict, from_unix_ms: u64) -> Self {
        let Verdict { epoch, stage, part, sheds, .. } = *verdict;
        Self { epoch, stage, part, sheds, from_unix_ms }
    }

    /// The verdict, without the values that are not published.
    pub fn verdict(&self) -> Verdict {
        let Self { epoch, stage, part, sheds, .. } = *self;
        Verdict { epoch, stage, part, sheds, ..Verdict::default() }
    }

    fn fields(&self) -> Struct {
        let stage = STAGES.iter().find(|(stage, _)| *stage == self.stage).map_or("serving", |(_, name)| name);
        fields([
            ("epoch", number_value(self.epoch as f64)),
            ("stage", text_value(stage.into())),
            ("part", number_value(self.part)),
            ("sheds", number_value(self.sheds)),
            ("from_unix_ms", number_value(self.from_unix_ms as f64)),
        ])
    }

    /// Encodes it as a notice resource with the given name.
    pub fn encode_notice(&self, name: &str) -> Vec<u8> {
        notice(name, self.fields())
    }

    /// Decodes the fields of a notice. The error names a missing or invalid item.
    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let number = |name: &str| number_field(fields, name).ok_or("zone verdict lacks a required number");
        let stage = text_field(fields, "stage").ok_or("zone verdict lacks its stage")?;
        let stage =
            STAGES.iter().find(|(_, name)| *name == stage).ok_or("zone verdict has an unknown stage")?;
        Ok(Self {
            epoch: number("epoch")? as u64,
            stage: stage.0,
            part: number("part")?.min(1.0),
            sheds: number("sheds")?.min(1.0),
            from_unix_ms: number("from_unix_ms")? as u64,
        })
    }
}

/// Metadata with the host name in a load report, for hosts reached by other addresses than the list has.
pub fn host_metadata(name: &str) -> Struct {
    fields([("host", text_value(name.to_owned()))])
}

/// The inverse of [`host_metadata`].
pub fn host_name_from_metadata(metadata: &Struct) -> Option<&str> {
    text_field(metadata, "host")
}

/// The number of GETs that a dispatcher took since its last report, from the metadata of its node.
pub fn gets_taken(metadata: &Struct) -> u64 {
    number_field(metadata, "taken").unwrap_or(0.0) as u64
}

/// Node metadata with the zone verdicts that a dispatcher holds and the number of GETs that it took.
pub fn held_verdicts_metadata<'a>(
    verdicts: impl Iterator<Item = (&'a str, ZoneNotice)>,
    gets_taken: u64,
) -> Struct {
    let fields = verdicts.map(|(zone, notice)| {
        (zone_resource_name(zone), Value { kind: Some(ProtoValue::StructValue(notice.fields())) })
    });
    Struct { fields: fields.chain([("taken".to_owned(), number_value(gets_taken as f64))]).collect() }
}

/// The verdict on a zone that a dispatcher holds, from the metadata of its node.
pub fn held_verdict(metadata: &Struct, zone: &str) -> Option<ZoneNotice> {
    match metadata.fields.get(&zone_resource_name(zone))?.kind.as_ref()? {
        ProtoValue::StructValue(fields) => ZoneNotice::from_fields(fields).ok(),
        _ => None,
    }
}

impl TermsLine {
    /// Encodes it as a notice resource with the given name.
    pub fn encode_notice(&self, name: &str) -> Vec<u8> {
        notice(
            name,
            fields([
                ("accepted_age_ms", number_value(self.accepted_age.as_secs_f64() * 1e3)),
                ("renew", bool_value(self.renew)),
                ("again", bool_value(self.again)),
                ("passed_on", bool_value(self.passed_on)),
                ("spared", bool_value(self.spared)),
                ("forwards", number_value(self.forwards.into())),
                ("timeout_ms", number_value(self.timeout.as_secs_f64() * 1e3)),
            ]),
        )
    }

    /// Decodes the fields of a notice. The error names a missing or invalid item.
    pub fn from_fields(fields: &Struct) -> Result<Self, &'static str> {
        let duration = |name: &str| {
            let ms = number_field(fields, name).ok_or("service terms lack a duration")?;
            Duration::try_from_secs_f64(ms / 1e3).map_err(|_| "service terms have an invalid duration")
        };
        let flag = |name: &str| flag_field(fields, name).ok_or("service terms lack a flag");
        Ok(Self {
            accepted_age: duration("accepted_age_ms")?,
            renew: flag("renew")?,
            again: flag("again")?,
            passed_on: flag("passed_on")?,
            spared: flag("spared")?,
            forwards: number_field(fields, "forwards").ok_or("service terms lack a number")? as u32,
            timeout: duration("timeout_ms")?,
        })
    }
}

fn ads_config_source() -> core::ConfigSource {
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3.into(),
        config_source_specifier: Some(core::config_source::ConfigSourceSpecifier::Ads(Default::default())),
        ..Default::default()
    }
}

/// Encodes a tier as a cluster.
pub fn cluster_body(name: &str, connect_timeout: Duration) -> Vec<u8> {
    cluster::Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds.into(),
        )),
        eds_cluster_config: Some(cluster::cluster::EdsClusterConfig {
            eds_config: Some(ads_config_source()),
            service_name: name.to_owned(),
        }),
        connect_timeout: Some(encode_duration(connect_timeout)),
        lb_policy: cluster::cluster::LbPolicy::RingHash.into(),
        ..Default::default()
    }
    .encode_to_vec()
}

/// Encodes the assignment of a tier with its hosts. For [`BY_HOST_CLUSTER`] it refers to the collection of host resources
/// instead.
pub fn assignment_body(name: &str, lines: &[&HostLine]) -> Vec<u8> {
    let locality = if name == BY_HOST_CLUSTER {
        endpoint::LocalityLbEndpoints {
            lb_config: Some(endpoint::locality_lb_endpoints::LbConfig::LedsClusterLocalityConfig(
                endpoint::LedsClusterLocalityConfig {
                    leds_config: Some(ads_config_source()),
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

/// A delivery service as an entry of the route table.
pub struct RouteLine<'a> {
    pub service: &'a str,
    pub is_repeatable: bool,
    pub timeout: Duration,
    pub max_forwards: u32,
}

/// Status codes that prove that a GET never ran: a miss where nothing is filled, a full host, a GET that was already over.
const STATUS_NOT_RUN: [u32; 3] = [404, 503, 504];
/// Status codes of answers where the GET may have run.
const STATUS_MAY_HAVE_RUN: [u32; 1] = [500];

/// Encodes the route table: the destination of the GETs of each service, and the outcomes after which they may be retried. A
/// service whose GETs have an effect is retried only after an outcome that proves that nothing ran.
pub fn routes_body(lines: &[RouteLine<'_>]) -> Vec<u8> {
    let header = |name: &str| route::route_action::HashPolicy {
        policy_specifier: Some(route::route_action::hash_policy::PolicySpecifier::Header(
            route::route_action::hash_policy::Header { header_name: name.to_owned(), ..Default::default() },
        )),
        ..Default::default()
    };
    let routes = lines.iter().map(|line| {
        let not_run_conditions = "connect-failure,refused-stream,retriable-status-codes";
        let codes = STATUS_NOT_RUN.iter().chain(STATUS_MAY_HAVE_RUN.iter().filter(|_| line.is_repeatable));
        let retry = route::RetryPolicy {
            retry_on: if line.is_repeatable {
                format!("{not_run_conditions},reset")
            } else {
                not_run_conditions.to_owned()
            },
            num_retries: Some(UInt32Value { value: line.max_forwards.saturating_sub(1) }),
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
