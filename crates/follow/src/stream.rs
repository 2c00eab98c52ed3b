//! The gRPC streams to control services, in a tokio runtime on a thread of its own. Verdicts and leases are received,
//! evidence is sent.

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
use myrtlegauge_dispatcher::routing::{HostEvidence, ZoneReport, ZoneUpdate};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The backoff before an ended stream is opened again, drawn at random: a fleet must not reconnect to a restarted service
/// all at once.
const RECONNECT_BACKOFF_MS: std::ops::Range<u64> = 20..120;
/// Both the keep-alive interval and its timeout: a connection that died silently is detected within twice this time.
const KEEPALIVE: Duration = Duration::from_millis(1000);

/// What the streams need of this dispatcher's settings.
pub struct StreamSettings {
    /// This dispatcher's name.
    pub name: String,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the delivery services, by index.
    pub services: Vec<String>,
    /// The addresses of the control services to follow.
    pub control_services: Vec<SocketAddr>,
}

/// Passes reports to the streams. Each stream sends the latest one.
pub type ReportSender = watch::Sender<Arc<ZoneReport>>;

/// Follows all control services until the process ends. Verdicts and leases go to `updates`; reports that are handed to
/// the returned sender go to each service.
pub fn start(settings: StreamSettings, updates: Sender<ZoneUpdate>) -> Result<ReportSender, String> {
    let (report_sender, latest_report) = watch::channel(Arc::new(ZoneReport::default()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.map_err(|e| format!("cannot create the runtime for streams to control services: {e}"))?;
    let settings = Arc::new(settings);
    let run = move || {
        runtime.block_on(async move {
            let mut streams = tokio::task::JoinSet::new();
            for &service in &settings.control_services {
                let (settings, updates, latest_report) =
                    (Arc::clone(&settings), updates.clone(), latest_report.clone());
                streams.spawn(async move {
                    tokio::join!(
                        reopen_forever(service, || receive_verdicts(&settings, service, &updates)),
                        reopen_forever(service, || send_reports(&settings, service, latest_report.clone()))
                    )
                });
            }
            streams.join_all().await;
        });
    };
    let thread = std::thread::Builder::new().name("follow".into()).spawn(run);
    thread.map_err(|e| format!("cannot start the thread for streams to control services: {e}"))?;
    Ok(report_sender)
}

/// Runs a stream to a control service, and opens it again after a backoff each time that it ends.
async fn reopen_forever<F: Future<Output = Result<(), String>>>(
    service: SocketAddr,
    mut run_stream: impl FnMut() -> F,
) {
    loop {
        if let Err(error) = run_stream().await {
            log::debug!(
                "stream to control service {service} failed, opening it again after a backoff: {error}"
            );
        }
        tokio::time::sleep(Duration::from_millis(fastrand::u64(RECONNECT_BACKOFF_MS))).await;
    }
}

async fn connect(service: SocketAddr) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(format!("http://{service}")).map_err(|e| e.to_string())?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE);
    endpoint.connect().await.map_err(|e| e.to_string())
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Runs one stream of verdicts to its end.
async fn receive_verdicts(
    settings: &StreamSettings,
    service: SocketAddr,
    updates: &Sender<ZoneUpdate>,
) -> Result<(), String> {
    let describe = |status: tonic::Status| status.to_string();
    let mut client = AggregatedDiscoveryServiceClient::new(connect(service).await?);
    let (request_sender, requests) = mpsc::channel(8);
    let zone_names = settings.zones.iter().map(|zone| messages::zone_resource_name(zone)).collect();
    for (resource_type, names) in
        [(ResourceType::Notice, zone_names), (ResourceType::Assignment, vec![BY_HOST_CLUSTER.to_owned()])]
    {
        let request = DeltaDiscoveryRequest {
            node: Some(Node { id: settings.name.clone(), ..Default::default() }),
            type_url: resource_type.type_url().into(),
            resource_names_subscribe: names,
            ..Default::default()
        };
        request_sender.send(request).await.map_err(|e| e.to_string())?;
    }
    let responses =
        client.delta_aggregated_resources(ReceiverStream::new(requests)).await.map_err(describe)?;
    let (mut responses, mut received_zones) = (responses.into_inner(), BTreeSet::new());
    while let Some(response) = responses.message().await.map_err(describe)? {
        let (nonce, url) = (response.nonce.clone(), response.type_url.clone());
        let response = Response::from(response);
        let mut rejection = None;
        for resource in
            response.resources.iter().filter(|_| response.resource_type == Some(ResourceType::Notice))
        {
            let Some(body) = &resource.body else { continue };
            match read_verdict(body) {
                Ok((zone, line)) => {
                    let effective_in = Duration::from_millis(line.from_unix_ms.saturating_sub(unix_ms()));
                    received_zones.insert(zone.clone());
                    let verdict = ZoneUpdate::Verdict { zone, verdict: line.verdict(), effective_in };
                    updates.send(verdict).map_err(|_| "the dispatcher is shutting down")?;
                }
                Err(error) => rejection = Some(error.to_owned()),
            }
        }
        // A lease covers the verdicts that were sent before it. It counts only once the verdicts on all zones were received.
        let has_all_zones = received_zones.len() == settings.zones.len();
        let ttl = response.resources.iter().filter_map(|resource| resource.ttl).max();
        if let (Some(ttl), Some(written_unix_ms), true) = (ttl, nonce_unix_ms(&nonce), has_all_zones) {
            let age = Duration::from_millis(unix_ms().saturating_sub(written_unix_ms));
            let remaining = ttl.saturating_sub(age);
            updates.send(ZoneUpdate::Lease(remaining)).map_err(|_| "the dispatcher is shutting down")?;
        }
        let error_detail = rejection.map(|message| envoy_types::pb::google::rpc::Status {
            code: 3,
            message,
            ..Default::default()
        });
        let acknowledgement = DeltaDiscoveryRequest {
            type_url: url,
            response_nonce: nonce,
            error_detail,
            ..Default::default()
        };
        request_sender.send(acknowledgement).await.map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// The zone and the verdict of a notice.
fn read_verdict(body: &[u8]) -> Result<(String, ZoneNotice), &'static str> {
    let (name, fields) = messages::decode_notice(body)?;
    let zone = messages::parse_zone_resource_name(&name).ok_or("the notice's name is not that of a zone")?;
    Ok((zone.to_owned(), ZoneNotice::from_fields(&fields)?))
}

/// Runs one stream of evidence to its end.
async fn send_reports(
    settings: &StreamSettings,
    service: SocketAddr,
    mut latest_report: watch::Receiver<Arc<ZoneReport>>,
) -> Result<(), String> {
    let describe = |status: tonic::Status| status.to_string();
    let mut client = LoadReportingServiceClient::new(connect(service).await?);
    let (request_sender, requests) = mpsc::channel(2);
    let first = LoadStatsRequest { node: Some(node(settings, &ZoneReport::default())), ..Default::default() };
    request_sender.send(first).await.map_err(|e| e.to_string())?;
    let mut responses =
        client.stream_load_stats(ReceiverStream::new(requests)).await.map_err(describe)?.into_inner();
    let first_response = responses.message().await.map_err(describe)?;
    first_response.ok_or("the control service closed the report stream without an answer")?;
    loop {
        tokio::select! {
            changed = latest_report.changed() => changed.map_err(|e| e.to_string())?,
            ended = responses.message() => return ended.map(drop).map_err(describe),
        }
        let report = Arc::clone(&latest_report.borrow_and_update());
        request_sender.send(load_stats_request(settings, &report)).await.map_err(|e| e.to_string())?;
    }
}

/// This dispatcher as a node, with the verdicts that it holds.
fn node(settings: &StreamSettings, report: &ZoneReport) -> Node {
    let held = report
        .held_verdicts
        .iter()
        .map(|(zone, verdict)| (zone.as_str(), ZoneNotice::from_verdict(verdict, 0)));
    Node {
        id: settings.name.clone(),
        metadata: Some(messages::held_verdicts_metadata(held, report.gets_taken)),
        ..Default::default()
    }
}

/// A report as the published message.
fn load_stats_request(settings: &StreamSettings, report: &ZoneReport) -> LoadStatsRequest {
    let metric = |name: String, count: u64, total: u64| endpoint::EndpointLoadMetricStats {
        metric_name: name,
        num_requests_finished_with_metric: count,
        total_metric_value: total as f64,
    };
    let stats = report.hosts.iter().map(|(name, address, evidence)| {
        let HostEvidence { returned, errored, late, fills } = evidence;
        let fills = fills.iter().enumerate().filter(|(_, (total, _))| *total > 0).filter_map(
            |(ds, (total, late_or_failed))| {
                Some(metric(format!("fills/{}", settings.services.get(ds)?), *total, *late_or_failed))
            },
        );
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
    LoadStatsRequest { node: Some(node(settings, report)), cluster_stats: vec![cluster] }
}
