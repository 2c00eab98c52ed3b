//! A running control service, over loopback sockets, that receives load reports with impossible numbers.

mod common;

use common::EXAMPLE;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::service::discovery::v3::DeltaDiscoveryRequest;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use myrtlegauge_control::messages::encode_address;
use myrtlegauge_control::resource_cache::ResourceType;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tonic::Code;
use tonic::transport::{Channel, Endpoint};

/// Time limit for the start of the service.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the end of a stream.
const STREAM_END_TIMEOUT: Duration = Duration::from_secs(10);
/// Streams that subscribe to too many names, one after the other, while and after the reports are handled.
const OVERSIZED_SUBSCRIPTIONS: usize = 10;

/// Runs the service of the example file on a thread of its own, at a free port.
fn serve() -> (SocketAddr, JoinHandle<Result<(), String>>) {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = EXAMPLE.replace("127.0.0.1:18000", &address.to_string());
    let file = myrtlegauge_operator::read(&text).expect("the example file is valid");
    let service = std::thread::spawn(move || myrtlegauge_control::service::run(PathBuf::new(), &file));
    (address, service)
}

async fn connect(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match endpoint.connect().await {
            Ok(channel) => return channel,
            Err(error) => assert!(Instant::now() < deadline, "the service does not answer: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A report on each host of the example file, with counts whose sums overflow.
fn out_of_range_report(index: usize) -> LoadStatsRequest {
    let metric = |name: &str| endpoint::EndpointLoadMetricStats {
        metric_name: name.into(),
        num_requests_finished_with_metric: u64::MAX,
        total_metric_value: 1e300,
    };
    let stats = (19000..19006).map(|port| endpoint::UpstreamEndpointStats {
        address: Some(encode_address(([127, 0, 0, 1], port).into())),
        total_successful_requests: u64::MAX,
        total_error_requests: u64::MAX,
        load_metric_stats: vec![metric("fills/product-photo"), metric("late")],
        ..Default::default()
    });
    let locality =
        endpoint::UpstreamLocalityStats { upstream_endpoint_stats: stats.collect(), ..Default::default() };
    let cluster = endpoint::ClusterStats { upstream_locality_stats: vec![locality], ..Default::default() };
    LoadStatsRequest {
        node: Some(Node { id: format!("false-reporter-{index}"), ..Default::default() }),
        cluster_stats: vec![cluster],
    }
}

/// The status with which a stream ends that subscribes to more names than the limit.
async fn subscribe_to_too_many_names(channel: Channel) -> Code {
    let request = DeltaDiscoveryRequest {
        type_url: ResourceType::Host.type_url().into(),
        resource_names_subscribe: (0..10_000).map(|index| format!("caches/none-{index}")).collect(),
        ..Default::default()
    };
    // The request side stays open, as that of a proxy does.
    let requests = tokio_stream::StreamExt::chain(tokio_stream::once(request), tokio_stream::pending());
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut answers = match client.delta_aggregated_resources(requests).await {
        Ok(answers) => answers.into_inner(),
        Err(status) => return status.code(),
    };
    loop {
        match answers.message().await {
            Ok(Some(_)) => {}
            Ok(None) => return Code::Ok,
            Err(status) => return status.code(),
        }
    }
}

#[tokio::test]
async fn the_service_keeps_answering_after_reports_whose_sums_overflow() {
    let (address, service) = serve();
    let mut reporter = LoadReportingServiceClient::new(connect(address).await);
    let reports = (0..3).map(out_of_range_report).collect::<Vec<_>>();
    let reports = tokio_stream::StreamExt::chain(tokio_stream::iter(reports), tokio_stream::pending());
    let _responses = reporter.stream_load_stats(reports).await.expect("the report stream opens");
    for attempt in 0..OVERSIZED_SUBSCRIPTIONS {
        let channel = connect(address).await;
        let ended = tokio::time::timeout(STREAM_END_TIMEOUT, subscribe_to_too_many_names(channel)).await;
        assert_eq!(ended.expect("the stream ends"), Code::ResourceExhausted, "attempt {attempt}");
    }
    assert!(!service.is_finished(), "the service ended");
}
