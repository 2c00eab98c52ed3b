//! What operators are shown of proxies, by the published client-status service: made here, and asked for and printed.

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

/// Bytes of an answer on a thousand proxies.
const ANSWER_LONG: usize = 64 * 1024 * 1024;

pub(crate) fn number(n: f64) -> Value {
    Value { kind: Some(ProtoValue::NumberValue(n)) }
}

pub(crate) fn text(text: &str) -> Value {
    Value { kind: Some(ProtoValue::StringValue(text.to_owned())) }
}

/// Streams shown in one turn: what is shown must not keep a drain waiting.
const TURN_MOST: usize = 8;

/// A status that is being put together, a few streams a turn.
#[derive(Default)]
pub struct StatusBuilder {
    next: StreamId,
    response: ClientStatusResponse,
}

impl StatusBuilder {
    /// Takes the next few streams; the whole once there are no more.
    pub fn advance(&mut self, server: &AdsServer, now: Duration) -> Option<ClientStatusResponse> {
        let before = self.response.config.len();
        for stream in server.stream_statuses_from(self.next, now).take(TURN_MOST) {
            self.next = stream.id + 1;
            self.response.config.push(config(&stream));
        }
        let done = self.response.config.len() < before + TURN_MOST;
        done.then(|| std::mem::take(&mut self.response))
    }
}

/// A stream with what it holds and refused; what the published message has no field for stands in the node's metadata.
fn config(stream: &StreamStatus<'_>) -> ClientConfig {
    let ms = |span: Duration| number(span.as_millis() as f64);
    let variant = if stream.variant == ProtocolVariant::Whole { "whole" } else { "delta" };
    let told = [
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
    let fields = told.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    let held = stream.sent_versions.iter().map(|(resource_type, name, version)| GenericXdsConfig {
        type_url: resource_type.type_url().into(),
        name: (*name).to_owned(),
        version_info: version.to_string(),
        config_status: ConfigStatus::Synced.into(),
        client_status: ClientResourceStatus::Acked.into(),
        ..Default::default()
    });
    let refused = stream.nacked.iter().map(|(resource_type, name, nack)| GenericXdsConfig {
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
        generic_xds_configs: held.chain(refused).collect(),
        ..Default::default()
    }
}

/// Asks a running service, with an order for one of its zones or without: the zone, and what is ordered.
pub fn fetch(
    address: SocketAddr,
    order: Option<(&str, &str)>,
    patience: Duration,
) -> Result<ClientStatusResponse, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    runtime.block_on(async {
        let asked = async {
            let client = csds::ClientStatusDiscoveryServiceClient::connect(format!("http://{address}")).await;
            let client = client.map_err(|e| format!("{address} can't be reached: {e}"))?;
            let mut client = client.max_decoding_message_size(ANSWER_LONG);
            let node = order.map(|(zone, order)| Node {
                id: "operator".into(),
                metadata: Some(Struct {
                    fields: [("zone", zone), ("order", order)].map(|(n, v)| (n.to_owned(), text(v))).into(),
                }),
                ..Default::default()
            });
            let request = ClientStatusRequest { node, ..Default::default() };
            let answer = client.fetch_client_status(request).await;
            answer.map(tonic::Response::into_inner).map_err(|e| format!("{address} answers: {}", e.message()))
        };
        let late = |_| format!("{address} has not answered in {} ms", patience.as_millis());
        tokio::time::timeout(patience, asked).await.map_err(late)?
    })
}

/// What an order asks for, if a request bears one: the zone, and what is ordered.
pub fn parse_order(request: &ClientStatusRequest) -> Option<(String, String)> {
    let fields = &request.node.as_ref()?.metadata.as_ref()?.fields;
    let said = |name: &str| match fields.get(name)?.kind.as_ref()? {
        ProtoValue::StringValue(text) => Some(text.clone()),
        _ => None,
    };
    Some((said("zone")?, said("order")?))
}

/// The table of zones that people read; `votes` adds who says what.
pub fn format_zones(status: &ClientStatusResponse, votes: bool) -> String {
    let mut out = String::new();
    let heads = [
        "stage", "part", "why", "order", "epoch", "step", "backs", "since ms", "sheds", "asked/s", "bears/s",
    ];
    let _ = write!(out, "{:<16}", "zone");
    heads.iter().for_each(|head| _ = write!(out, " {head:>9}"));
    let _ = writeln!(out, "  well/ill/dead of members");
    for client in &status.config {
        let Some(node) = &client.node else { continue };
        let (Some(zone), Some(metadata)) = (parse_zone_resource_name(&node.id), &node.metadata) else {
            continue;
        };
        let told = |name: &str| match metadata.fields.get(name).and_then(|v| v.kind.as_ref()) {
            Some(ProtoValue::NumberValue(n)) if matches!(name, "part" | "sheds") => {
                format!("{:.0}%", n * 100.0)
            }
            Some(ProtoValue::NumberValue(n)) => format!("{n:.0}"),
            Some(ProtoValue::StringValue(text)) => text.clone(),
            _ => "?".to_owned(),
        };
        let _ = write!(out, "{zone:<16}");
        for name in
            ["stage", "part", "why", "order", "epoch", "step", "backs", "since_ms", "sheds", "asked", "bears"]
        {
            let _ = write!(out, " {:>9}", told(name));
        }
        let _ = writeln!(out, "  {}/{}/{} of {}", told("well"), told("ill"), told("dead"), told("members"));
        if votes {
            let _ = writeln!(out, "    {}", told("votes"));
        }
    }
    out
}

/// The table that people read: a line for each proxy, one more for each thing that it refused.
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
    let mut why = Vec::new();
    for client in &status.config {
        let Some(node) = client.node.as_ref().filter(|node| parse_zone_resource_name(&node.id).is_none())
        else {
            continue;
        };
        let told = |name: &str| {
            let value = node.metadata.as_ref().and_then(|m| m.fields.get(name)).and_then(|v| v.kind.as_ref());
            match value {
                Some(ProtoValue::NumberValue(n)) if *n < 0.0 => "none".to_owned(),
                Some(ProtoValue::NumberValue(n)) => format!("{n:.0}"),
                Some(ProtoValue::StringValue(text)) => text.clone(),
                _ => "?".to_owned(),
            }
        };
        let refused: Vec<_> = client.generic_xds_configs.iter().filter(|c| c.error_state.is_some()).collect();
        let holds = client.generic_xds_configs.len() - refused.len();
        let cells = [
            node.id.clone(),
            told("peer"),
            told("form"),
            told("lease_ms"),
            told("lag_ms"),
            told("owed"),
            holds.to_string(),
            refused.len().to_string(),
        ];
        line(cells.each_ref().map(String::as_str));
        for config in refused {
            let details = config.error_state.as_ref().map(|state| state.details.as_str()).unwrap_or_default();
            why.push(format!("{} refuses {}: {details}", node.id, config.name));
        }
    }
    for why in why {
        let _ = writeln!(out, "{why}");
    }
    out
}
