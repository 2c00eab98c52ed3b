//! Status of proxies and zones for operators, over the xDS client status discovery service (CSDS): building, fetching and
//! printing it.

use crate::ads_server::{AdsServer, ProtocolVariant, StreamId, StreamStatus};
use crate::messages::parse_zone_resource_name;
use envoy_types::pb::envoy::admin::v3::{ClientResourceStatus, UpdateFailureState};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::status::v3::client_config::GenericXdsConfig;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_client as csds;
use envoy_types::pb::envoy::service::status::v3::{
    ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus,
};
use envoy_types::pb::google::protobuf::value::Kind as ProtoValue;
use envoy_types::pb::google::protobuf::{Struct, Value};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum response size; sufficient for a thousand proxies.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

pub(crate) fn number(number: f64) -> Value {
    Value { kind: Some(ProtoValue::NumberValue(number)) }
}

pub(crate) fn text(text: &str) -> Value {
    Value { kind: Some(ProtoValue::StringValue(text.to_owned())) }
}

/// Streams added to a status in one loop iteration. A status must not delay a drain.
const MAX_STREAMS_PER_ITERATION: usize = 8;

/// A status response that is being built, a few streams per loop iteration.
#[derive(Default)]
pub struct StatusBuilder {
    next: StreamId,
    response: ClientStatusResponse,
}

impl StatusBuilder {
    /// Adds the next few streams. Returns the response once there are no more.
    pub fn advance(&mut self, server: &AdsServer, now: Duration) -> Option<ClientStatusResponse> {
        let previous_count = self.response.config.len();
        for stream in server.stream_statuses_from(self.next, now).take(MAX_STREAMS_PER_ITERATION) {
            self.next = stream.id + 1;
            self.response.config.push(client_config(&stream));
        }
        let is_complete = self.response.config.len() < previous_count + MAX_STREAMS_PER_ITERATION;
        is_complete.then(|| std::mem::take(&mut self.response))
    }
}

/// The status of one stream with its sent and rejected resources. Values for which the message has no field are stored in
/// the metadata of the node.
fn client_config(stream: &StreamStatus<'_>) -> ClientConfig {
    let ms = |duration: Duration| number(duration.as_millis() as f64);
    let variant = if stream.variant == ProtocolVariant::Whole { "whole" } else { "delta" };
    let fields = [
        ("peer", text(stream.peer)),
        ("form", text(variant)),
        ("stream", number(stream.id as f64)),
        ("age_ms", ms(stream.age)),
        ("heard_ms", ms(stream.since_last_request)),
        ("lag_ms", ms(stream.oldest_unacked_age)),
        ("lease_ms", stream.lease_left.map_or(number(-1.0), ms)),
        ("owed", number(stream.pending as f64)),
        ("messages", number(stream.counters.messages as f64)),
        ("beats", number(stream.counters.heartbeats as f64)),
        ("accepted", number(stream.counters.acks as f64)),
        ("refused", number(stream.counters.nacks as f64)),
        ("unknown_types", number(stream.counters.unknown_types as f64)),
    ];
    let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    let sent = stream.sent_versions.iter().map(|(resource_type, name, version)| GenericXdsConfig {
        type_url: resource_type.type_url().into(),
        name: (*name).to_owned(),
        version_info: version.to_string(),
        config_status: ConfigStatus::Synced.into(),
        client_status: ClientResourceStatus::Acked.into(),
        ..Default::default()
    });
    let nacked = stream.nacked.iter().map(|(resource_type, name, nack)| GenericXdsConfig {
        type_url: resource_type.type_url().into(),
        name: (*name).to_owned(),
        config_status: ConfigStatus::Error.into(),
        client_status: ClientResourceStatus::Nacked.into(),
        error_state: Some(UpdateFailureState {
            details: nack.error.clone(),
            version_info: nack.version.to_string(),
            ..Default::default()
        }),
        ..Default::default()
    });
    ClientConfig {
        node: Some(Node {
            id: stream.node.to_owned(),
            metadata: Some(Struct { fields }),
            ..Default::default()
        }),
        generic_xds_configs: sent.chain(nacked).collect(),
        ..Default::default()
    }
}

/// Fetches the status of a running service. If `order` has a zone and an order for it, the service applies the order
/// first.
pub fn fetch(
    address: SocketAddr,
    order: Option<(&str, &str)>,
    timeout: Duration,
) -> Result<ClientStatusResponse, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    runtime.block_on(async {
        let request = async {
            let client = csds::ClientStatusDiscoveryServiceClient::connect(format!("http://{address}")).await;
            let client = client.map_err(|e| format!("cannot connect to {address}: {e}"))?;
            let mut client = client.max_decoding_message_size(MAX_RESPONSE_BYTES);
            let node = order.map(|(zone, order)| Node {
                id: "operator".into(),
                metadata: Some(Struct {
                    fields: [("zone", zone), ("order", order)]
                        .map(|(name, value)| (name.to_owned(), text(value)))
                        .into(),
                }),
                ..Default::default()
            });
            let request = ClientStatusRequest { node, ..Default::default() };
            let answer = client.fetch_client_status(request).await;
            answer
                .map(tonic::Response::into_inner)
                .map_err(|e| format!("{address} rejected the request: {}", e.message()))
        };
        let timed_out = |_| format!("{address} did not answer within {} ms", timeout.as_millis());
        tokio::time::timeout(timeout, request).await.map_err(timed_out)?
    })
}

/// The order that a request contains, if any: the zone and the order.
pub fn parse_order(request: &ClientStatusRequest) -> Option<(String, String)> {
    let fields = &request.node.as_ref()?.metadata.as_ref()?.fields;
    let text_field = |name: &str| match fields.get(name)?.kind.as_ref()? {
        ProtoValue::StringValue(text) => Some(text.clone()),
        _ => None,
    };
    Some((text_field("zone")?, text_field("order")?))
}

/// Formats the table of zones, with the vote of each member if `with_votes` is set.
pub fn format_zones(status: &ClientStatusResponse, with_votes: bool) -> String {
    let mut out = String::new();
    let headers = [
        "stage", "part", "why", "order", "epoch", "step", "backs", "since ms", "sheds", "asked/s", "bears/s",
    ];
    let _ = write!(out, "{:<16}", "zone");
    headers.iter().for_each(|header| _ = write!(out, " {header:>9}"));
    let _ = writeln!(out, "  well/ill/dead of members");
    for client in &status.config {
        let Some(node) = &client.node else { continue };
        let (Some(zone), Some(metadata)) = (parse_zone_resource_name(&node.id), &node.metadata) else {
            continue;
        };
        let cell = |name: &str| match metadata.fields.get(name).and_then(|v| v.kind.as_ref()) {
            Some(ProtoValue::NumberValue(number)) if matches!(name, "part" | "sheds") => {
                format!("{:.0}%", number * 100.0)
            }
            Some(ProtoValue::NumberValue(number)) => format!("{number:.0}"),
            Some(ProtoValue::StringValue(text)) => text.clone(),
            _ => "?".to_owned(),
        };
        let _ = write!(out, "{zone:<16}");
        for name in
            ["stage", "part", "why", "order", "epoch", "step", "backs", "since_ms", "sheds", "asked", "bears"]
        {
            let _ = write!(out, " {:>9}", cell(name));
        }
        let _ = writeln!(out, "  {}/{}/{} of {}", cell("well"), cell("ill"), cell("dead"), cell("members"));
        if with_votes {
            let _ = writeln!(out, "    {}", cell("votes"));
        }
    }
    out
}

/// Formats the table of proxies: a line for each proxy, and one for each resource that it rejected.
pub fn format_streams(status: &ClientStatusResponse) -> String {
    let mut out = String::new();
    let mut line = |cells: [&str; 8]| {
        let [node, peer, form, lease, lag, owed, holds, refused] = cells;
        let _ = writeln!(
            out,
            "{node:<24} {peer:<21} {form:<5} {lease:>9} {lag:>8} {owed:>5} {holds:>6} {refused:>7}"
        );
    };
    line(["proxy", "from", "form", "lease ms", "lag ms", "owed", "holds", "refused"]);
    let mut nacks = Vec::new();
    for client in &status.config {
        let Some(node) = client.node.as_ref().filter(|node| parse_zone_resource_name(&node.id).is_none())
        else {
            continue;
        };
        let cell = |name: &str| {
            let value = node.metadata.as_ref().and_then(|m| m.fields.get(name)).and_then(|v| v.kind.as_ref());
            match value {
                Some(ProtoValue::NumberValue(number)) if *number < 0.0 => "none".to_owned(),
                Some(ProtoValue::NumberValue(number)) => format!("{number:.0}"),
                Some(ProtoValue::StringValue(text)) => text.clone(),
                _ => "?".to_owned(),
            }
        };
        let nacked: Vec<_> =
            client.generic_xds_configs.iter().filter(|config| config.error_state.is_some()).collect();
        let holds = client.generic_xds_configs.len() - nacked.len();
        let cells = [
            node.id.clone(),
            cell("peer"),
            cell("form"),
            cell("lease_ms"),
            cell("lag_ms"),
            cell("owed"),
            holds.to_string(),
            nacked.len().to_string(),
        ];
        line(cells.each_ref().map(String::as_str));
        for config in nacked {
            let details = config.error_state.as_ref().map(|state| state.details.as_str()).unwrap_or_default();
            nacks.push(format!("{} refuses {}: {details}", node.id, config.name));
        }
    }
    for nack in nacks {
        let _ = writeln!(out, "{nack}");
    }
    out
}
