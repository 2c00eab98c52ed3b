//! A running control service, over loopback sockets, against load reports whose numbers can't be true.

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

/// How long a service may take to listen.
const START_MOST: Duration = Duration::from_secs(10);
/// How long a stream may take to end.
const END_MOST: Duration = Duration::from_secs(10);
/// Streams that ask for too much, one after the other, while and after the reports are heard.
const ASKS: usize = 10;

/// The example's service on a thread of its own, at a port that was free.
fn serve() -> (SocketAddr, JoinHandle<Result<(), String>>) {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = EXAMPLE.replace("127.0.0.1:18000", &address.to_string());
    let file = myrtlegauge_operator::read(&text).expect("the example has no fault");
    let service = std::thread::spawn(move || myrtlegauge_control::service::run(PathBuf::new(), &file));
    (address, service)
}

async fn connect(to: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).unwrap();
    let until = Instant::now() + START_MOST;
    loop {
        match endpoint.connect().await {
            Ok(channel) => return channel,
            Err(fault) => assert!(Instant::now() < until, "the service does not answer: {fault}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A report that names each of the example's hosts, with counts that have no sum.
fn absurd_report(liar: usize) -> LoadStatsRequest {
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
        node: Some(Node { id: format!("liar-{liar}"), ..Default::default() }),
        cluster_stats: vec![cluster],
    }
}

/// How a stream ends that asks for more names than it may.
async fn ask_for_too_much(channel: Channel) -> Code {
    let request = DeltaDiscoveryRequest {
        type_url: ResourceType::Host.type_url().into(),
        resource_names_subscribe: (0..10_000).map(|name| format!("caches/none-{name}")).collect(),
        ..Default::default()
    };
    // The request side stays open, as a proxy's does.
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
async fn reports_that_can_not_be_added_up_leave_the_service_answering() {
    let (address, service) = serve();
    let mut reporter = LoadReportingServiceClient::new(connect(address).await);
    let reports = (0..3).map(absurd_report).collect::<Vec<_>>();
    let reports = tokio_stream::StreamExt::chain(tokio_stream::iter(reports), tokio_stream::pending());
    let _heard = reporter.stream_load_stats(reports).await.expect("reports are taken");
    for ask in 0..ASKS {
        let channel = connect(address).await;
        let ended = tokio::time::timeout(END_MOST, ask_for_too_much(channel)).await;
        assert_eq!(ended.expect("the stream ends"), Code::ResourceExhausted, "ask {ask}");
    }
    assert!(!service.is_finished(), "the service ended");
}
