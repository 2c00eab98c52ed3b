//! The streams to control services, on tokio on a thread of their own: verdicts and leases in, evidence out.

use calloop::channel::Sender;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::service::discovery::v3::DeltaDiscoveryRequest;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use myrtlegauge_control::follower::nonce_unix_ms;
use myrtlegauge_control::messages::{self, BY_HOST_CLUSTER, ZoneNotice};
use myrtlegauge_control::resource_cache::ResourceType;
use myrtlegauge_control::session::Response;
use myrtlegauge_dispatcher::routing::{SeenHost, ZoneNews, ZoneReport};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

/// Time to connect, and pauses before a service that was lost is tried again, scattered: a fleet must not come back to a
/// restarted one in one moment.
const CONNECT: Duration = Duration::from_millis(300);
const PAUSE_MS: std::ops::Range<u64> = 20..120;
/// A connection that is dead without a word is found in this much and the same again.
const KEEPALIVE: Duration = Duration::from_millis(1000);

pub struct Following {
    pub name: String,
    pub zones: Vec<String>,
    pub services: Vec<String>,
    pub to: Vec<SocketAddr>,
}

pub type Reports = watch::Sender<Arc<ZoneReport>>;

/// Follows all services until the process ends; reports that are sent go to each of them.
pub fn start(following: Following, says: Sender<ZoneNews>) -> Result<Reports, String> {
    let (reports, reported) = watch::channel(Arc::new(ZoneReport::default()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime for gRPC: {e}"))?;
    let following = Arc::new(following);
    let run = move || {
        runtime.block_on(async move {
            let mut all = tokio::task::JoinSet::new();
            for &to in &following.to {
                let (of, says, reported) = (Arc::clone(&following), says.clone(), reported.clone());
                all.spawn(async move {
                    tokio::join!(
                        again(|| verdicts(&of, to, &says)),
                        again(|| report(&of, to, reported.clone()))
                    )
                });
            }
            all.join_all().await;
        });
    };
    let thread = std::thread::Builder::new().name("follow".into()).spawn(run);
    thread.map_err(|e| format!("no thread for gRPC: {e}"))?;
    Ok(reports)
}

async fn again<F: Future<Output = Result<(), String>>>(mut stream: impl FnMut() -> F) {
    loop {
        if let Err(why) = stream().await {
            log::debug!("a control service is lost: {why}");
        }
        tokio::time::sleep(Duration::from_millis(fastrand::u64(PAUSE_MS))).await;
    }
}

async fn connected(to: SocketAddr) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).map_err(|e| e.to_string())?;
    let endpoint = endpoint
        .connect_timeout(CONNECT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE);
    endpoint.connect().await.map_err(|e| e.to_string())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// One stream of verdicts, to its end.
async fn verdicts(of: &Following, to: SocketAddr, says: &Sender<ZoneNews>) -> Result<(), String> {
    let said = |status: tonic::Status| status.to_string();
    let mut client = AggregatedDiscoveryServiceClient::new(connected(to).await?);
    let (out, requests) = mpsc::channel(8);
    let names = of.zones.iter().map(|zone| messages::zone_resource_name(zone)).collect();
    for (resource_type, names) in
        [(ResourceType::Notice, names), (ResourceType::Assignment, vec![BY_HOST_CLUSTER.to_owned()])]
    {
        let request = DeltaDiscoveryRequest {
            node: Some(Node { id: of.name.clone(), ..Default::default() }),
            type_url: resource_type.type_url().into(),
            resource_names_subscribe: names,
            ..Default::default()
        };
        out.send(request).await.map_err(|e| e.to_string())?;
    }
    let answers = client.delta_aggregated_resources(ReceiverStream::new(requests)).await.map_err(said)?;
    let (mut answers, mut heard) = (answers.into_inner(), BTreeSet::new());
    while let Some(response) = answers.message().await.map_err(said)? {
        let (nonce, url) = (response.nonce.clone(), response.type_url.clone());
        let response = Response::from(response);
        let mut refused = None;
        for resource in
            response.resources.iter().filter(|_| response.resource_type == Some(ResourceType::Notice))
        {
            let Some(body) = &resource.body else { continue };
            match verdict(body) {
                Ok((zone, line)) => {
                    let lead = Duration::from_millis(line.from_unix_ms.saturating_sub(unix_ms()));
                    heard.insert(zone.clone());
                    let news = ZoneNews::Verdict { zone, verdict: line.verdict(), lead };
                    says.send(news).map_err(|_| "the dispatcher ends")?;
                }
                Err(why) => refused = Some(why.to_owned()),
            }
        }
        // A lease vouches for what was told before it: for nothing before all zones were.
        let ttl = response.resources.iter().filter_map(|resource| resource.ttl).max();
        if let (Some(ttl), Some(written), true) = (ttl, nonce_unix_ms(&nonce), heard.len() == of.zones.len())
        {
            let old = Duration::from_millis(unix_ms().saturating_sub(written));
            let left = ttl.saturating_sub(old);
            says.send(ZoneNews::Lease(left)).map_err(|_| "the dispatcher ends")?;
        }
        let error_detail = refused.map(|message| envoy_types::pb::google::rpc::Status {
            code: 3,
            message,
            ..Default::default()
        });
        let answer = DeltaDiscoveryRequest {
            type_url: url,
            response_nonce: nonce,
            error_detail,
            ..Default::default()
        };
        out.send(answer).await.map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn verdict(body: &[u8]) -> Result<(String, ZoneNotice), &'static str> {
    let (name, fields) = messages::decode_notice(body)?;
    let zone = messages::parse_zone_resource_name(&name).ok_or("a notice that names no zone")?;
    Ok((zone.to_owned(), ZoneNotice::from_fields(&fields)?))
}

/// One stream of evidence, to its end.
async fn report(
    of: &Following,
    to: SocketAddr,
    mut reported: watch::Receiver<Arc<ZoneReport>>,
) -> Result<(), String> {
    let said = |status: tonic::Status| status.to_string();
    let mut client = LoadReportingServiceClient::new(connected(to).await?);
    let (out, reports) = mpsc::channel(2);
    let first = LoadStatsRequest { node: Some(node(of, &ZoneReport::default())), ..Default::default() };
    out.send(first).await.map_err(|e| e.to_string())?;
    let mut answers =
        client.stream_load_stats(ReceiverStream::new(reports)).await.map_err(said)?.into_inner();
    answers.message().await.map_err(said)?.ok_or("it ended")?;
    loop {
        tokio::select! {
            changed = reported.changed() => changed.map_err(|e| e.to_string())?,
            ended = answers.message() => return ended.map(drop).map_err(said),
        }
        let latest = Arc::clone(&reported.borrow_and_update());
        out.send(message(of, &latest)).await.map_err(|e| e.to_string())?;
    }
}

fn node(of: &Following, report: &ZoneReport) -> Node {
    let held =
        report.held.iter().map(|(zone, verdict)| (zone.as_str(), ZoneNotice::from_verdict(verdict, 0)));
    Node {
        id: of.name.clone(),
        metadata: Some(messages::held_verdicts_metadata(held, report.taken)),
        ..Default::default()
    }
}

fn message(of: &Following, report: &ZoneReport) -> LoadStatsRequest {
    let metric = |name: String, count: u64, total: u64| endpoint::EndpointLoadMetricStats {
        metric_name: name,
        num_requests_finished_with_metric: count,
        total_metric_value: total as f64,
    };
    let stats = report.hosts.iter().map(|(name, address, seen)| {
        let SeenHost { returned, errored, late, fills } = seen;
        let fills =
            fills.iter().enumerate().filter(|(_, (all, _))| *all > 0).filter_map(|(ds, (all, bad))| {
                Some(metric(format!("fills/{}", of.services.get(ds)?), *all, *bad))
            });
        endpoint::UpstreamEndpointStats {
            address: Some(messages::encode_address(*address)),
            metadata: Some(messages::host_metadata(name)),
            total_successful_requests: *returned,
            total_error_requests: *errored,
            load_metric_stats: std::iter::once(metric("late".into(), *late, 0)).chain(fills).collect(),
            ..Default::default()
        }
    });
    let locality =
        endpoint::UpstreamLocalityStats { upstream_endpoint_stats: stats.collect(), ..Default::default() };
    let cluster = endpoint::ClusterStats {
        cluster_name: "caches".into(),
        upstream_locality_stats: vec![locality],
        ..Default::default()
    };
    LoadStatsRequest { node: Some(node(of, report)), cluster_stats: vec![cluster] }
}
