//! Peers that do what none should: ask for ten thousand names, for a type that is not known, for nothing; read nothing;
//! go under another's name; report what can't be true. None may harm the others, and each meets a clear answer.

use crate::stand::hosts::Host;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::service::discovery::v3::DeltaDiscoveryRequest;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use myrtlegauge_control::messages::encode_address;
use myrtlegauge_control::resource_cache::ResourceType;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};

async fn channel(to: SocketAddr) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).map_err(|e| e.to_string())?;
    endpoint.connect().await.map_err(|e| e.to_string())
}

/// What each found that should not be; a service that was just killed is none of that.
pub async fn run(to: SocketAddr, hosts: Vec<Arc<Host>>, seed: u64) -> Vec<String> {
    let mut found = Vec::new();
    let liars: Vec<_> = (0..3).map(|liar| tokio::spawn(lie(to, hosts.clone(), seed + liar))).collect();
    let deaf = tokio::spawn(read_nothing(to));
    for names in [10_000, 0] {
        for url in [ResourceType::Host.type_url(), "type.googleapis.com/no.such.Type"] {
            match ask(to, url, names).await {
                Ok(Some(Code::ResourceExhausted)) if names > 4096 && url == ResourceType::Host.type_url() => {
                }
                Ok(None) if names > 4096 && url == ResourceType::Host.type_url() => {
                    found.push(format!("{names} names of {url} were not refused"));
                }
                Ok(Some(code))
                    if code != Code::Unavailable && code != Code::Unknown && code != Code::Cancelled =>
                {
                    found.push(format!("{names} names of {url} ended the stream with {code:?}"));
                }
                _ => {}
            }
        }
    }
    for liar in liars {
        let _ = liar.await;
    }
    deaf.abort();
    found
}

/// Asks under the name of another proxy; how the stream ended within a while, if it did.
async fn ask(to: SocketAddr, url: &str, names: usize) -> Result<Option<Code>, String> {
    let mut client =
        AggregatedDiscoveryServiceClient::new(channel(to).await?).max_decoding_message_size(16 << 20);
    let (out, requests) = mpsc::channel(4);
    let request = DeltaDiscoveryRequest {
        node: Some(Node { id: "proxy-0".into(), ..Default::default() }),
        type_url: url.into(),
        resource_names_subscribe: (0..names).map(|name| format!("caches/none-{name}")).collect(),
        ..Default::default()
    };
    out.send(request).await.map_err(|e| e.to_string())?;
    let answers = client.delta_aggregated_resources(ReceiverStream::new(requests)).await;
    let mut answers = match answers {
        Ok(answers) => answers.into_inner(),
        Err(status) => return Ok(Some(status.code())),
    };
    let until = tokio::time::Instant::now() + Duration::from_millis(700);
    loop {
        match tokio::time::timeout_at(until, answers.message()).await {
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return Ok(Some(Code::Ok)),
            Ok(Err(status)) => return Ok(Some(status.code())),
            Err(_) => return Ok(None),
        }
    }
}

/// Subscribes to all, and never reads.
async fn read_nothing(to: SocketAddr) -> Result<(), String> {
    let mut client = AggregatedDiscoveryServiceClient::new(channel(to).await?);
    let (out, requests) = mpsc::channel(8);
    for resource_type in [ResourceType::Notice, ResourceType::Host, ResourceType::Cluster] {
        let request = DeltaDiscoveryRequest {
            node: Some(Node { id: "deaf".into(), ..Default::default() }),
            type_url: resource_type.type_url().into(),
            resource_names_subscribe: vec!["*".into()],
            ..Default::default()
        };
        out.send(request).await.map_err(|e| e.to_string())?;
    }
    let answers =
        client.delta_aggregated_resources(ReceiverStream::new(requests)).await.map_err(|e| e.to_string())?;
    tokio::time::sleep(Duration::from_secs(3600)).await;
    drop(answers);
    Ok(())
}

/// Reports that all hosts fail, or what can't be true, as often as it can.
async fn lie(to: SocketAddr, hosts: Vec<Arc<Host>>, seed: u64) -> Result<(), String> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut client = LoadReportingServiceClient::new(channel(to).await?);
    let (out, reports) = mpsc::channel(4);
    let node = Some(Node { id: format!("liar-{}", chance.u32(..)), ..Default::default() });
    out.send(LoadStatsRequest { node, ..Default::default() }).await.map_err(|e| e.to_string())?;
    let answers = client.stream_load_stats(ReceiverStream::new(reports)).await.map_err(|e| e.to_string())?;
    for _ in 0..200 {
        let stats = hosts.iter().map(|host| endpoint::UpstreamEndpointStats {
            address: Some(encode_address(host.address)),
            total_successful_requests: 0,
            total_error_requests: if chance.bool() { u64::MAX } else { 1000 },
            load_metric_stats: vec![endpoint::EndpointLoadMetricStats {
                metric_name: "fills/product-photo".into(),
                num_requests_finished_with_metric: chance.u64(..),
                total_metric_value: [f64::NAN, -1.0, f64::INFINITY, 1e300, 5.0][chance.usize(0..5)],
            }],
            ..Default::default()
        });
        let locality = endpoint::UpstreamLocalityStats {
            upstream_endpoint_stats: stats.collect(),
            ..Default::default()
        };
        let cluster =
            endpoint::ClusterStats { upstream_locality_stats: vec![locality], ..Default::default() };
        let report = LoadStatsRequest { cluster_stats: vec![cluster], ..Default::default() };
        out.send(report).await.map_err(|e| e.to_string())?;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(answers);
    Ok(())
}
