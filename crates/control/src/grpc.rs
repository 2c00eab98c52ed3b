//! The published gRPC services, on tokio on a thread of their own. Nothing is decided here: requests go to the event loop of
//! the service, and the messages of the event loop are sent unchanged.

use crate::ads_server::{Message, ProtocolVariant, Request};
use crate::messages;
use calloop::channel::Sender;
use envoy_types::pb::envoy::config::core::v3::{ControlPlane, Node};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server as ads;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_server as lrs;
use envoy_types::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_server as csds;
use envoy_types::pb::envoy::service::status::v3::{ClientStatusRequest, ClientStatusResponse};
use envoy_types::pb::google::protobuf::Any;
use prost::{Message as _, Name};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Status, Streaming};

/// Messages of one stream that may wait for the network. Only a few, since urgent messages cannot overtake them.
pub const OUTBOX_CAPACITY: usize = 4;
/// Requests of one stream that may wait for the event loop. Further ones are left unread.
const MAX_PENDING_REQUESTS: usize = 8;
/// Maximum size of a request or report; sufficient for four thousand names or reports on as many hosts.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// Concurrent streams of one connection, used for ADS, load reports and status.
const MAX_STREAMS_PER_CONNECTION: u32 = 8;
/// HTTP/2 keep-alive interval and timeout. A dead connection is detected within the sum of both.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Identifies a gRPC stream. Never reused.
pub type GrpcStreamId = u64;

/// Events for the event loop of the service.
pub enum ServiceEvent {
    Opened {
        stream_id: GrpcStreamId,
        peer: String,
        sender: ResponseSender,
    },
    /// The permit is released when the request has been handled.
    Requested {
        stream_id: GrpcStreamId,
        proxy: ProxyNode,
        request: Request,
        permit: OwnedSemaphorePermit,
    },
    Closed {
        stream_id: GrpcStreamId,
    },
    Reported {
        report: LoadStatsRequest,
        permit: OwnedSemaphorePermit,
    },
    StatusRequested {
        /// An operator's order for a zone.
        order: Option<(String, String)>,
        reply: oneshot::Sender<Result<ClientStatusResponse, String>>,
    },
}

/// What a proxy says of itself in a request.
#[derive(Clone, Debug, Default)]
pub struct ProxyNode {
    /// Its name; empty in later requests.
    pub name: String,
    /// The parts of the protocol that it supports.
    pub client_features: Vec<String>,
}

impl From<Option<Node>> for ProxyNode {
    fn from(node: Option<Node>) -> Self {
        let Node { id, client_features, .. } = node.unwrap_or_default();
        Self { name: id, client_features }
    }
}

/// Sends the responses of one ADS stream.
pub enum ResponseSender {
    Whole(mpsc::Sender<Result<DiscoveryResponse, Status>>),
    Delta(mpsc::Sender<Result<DeltaDiscoveryResponse, Status>>),
}

impl ResponseSender {
    /// The protocol variant of the stream.
    pub fn variant(&self) -> ProtocolVariant {
        match self {
            ResponseSender::Whole(_) => ProtocolVariant::Whole,
            ResponseSender::Delta(_) => ProtocolVariant::Delta,
        }
    }

    /// The number of messages that can be sent now.
    pub fn capacity(&self) -> usize {
        match self {
            ResponseSender::Whole(sender) => sender.capacity(),
            ResponseSender::Delta(sender) => sender.capacity(),
        }
    }

    /// Sends a message if there is capacity.
    pub fn send(&self, message: Message, control_plane: &str) {
        let control_plane = Some(ControlPlane { identifier: control_plane.to_owned() });
        match self {
            ResponseSender::Whole(sender) => {
                let _ = sender.try_send(Ok(DiscoveryResponse { control_plane, ..encode_whole(message) }));
            }
            ResponseSender::Delta(sender) => {
                let _ =
                    sender.try_send(Ok(DeltaDiscoveryResponse { control_plane, ..encode_delta(message) }));
            }
        }
    }

    /// Ends the stream with a status.
    pub fn end(&self, status: Status) {
        match self {
            ResponseSender::Whole(sender) => drop(sender.try_send(Err(status))),
            ResponseSender::Delta(sender) => drop(sender.try_send(Err(status))),
        }
    }
}

/// Encodes a state-of-the-world response. Resources with a time to live are put into the wrapper message `Resource`.
fn encode_whole(message: Message) -> DiscoveryResponse {
    let resource_type = message.resource_type;
    let resources = message.resources.into_iter().map(|resource| {
        let body = resource.body.as_ref().map(|body| messages::encode_any(resource_type, body));
        match (resource.ttl, body) {
            (None, Some(body)) => body,
            (ttl, encoded) => {
                let wrapped = Resource {
                    name: resource.name.to_string(),
                    version: resource.version.to_string(),
                    ttl: ttl.map(messages::encode_duration),
                    resource: encoded,
                    ..Default::default()
                };
                Any { type_url: Resource::type_url(), value: wrapped.encode_to_vec() }
            }
        }
    });
    DiscoveryResponse {
        version_info: message.version,
        resources: resources.collect(),
        type_url: resource_type.type_url().into(),
        nonce: message.nonce,
        ..Default::default()
    }
}

fn encode_delta(message: Message) -> DeltaDiscoveryResponse {
    let resource_type = message.resource_type;
    let resources = message.resources.into_iter().map(|resource| Resource {
        name: resource.name.to_string(),
        version: resource.version.to_string(),
        ttl: resource.ttl.map(messages::encode_duration),
        resource: resource.body.as_ref().map(|body| messages::encode_any(resource_type, body)),
        ..Default::default()
    });
    DeltaDiscoveryResponse {
        resources: resources.collect(),
        removed_resources: message.removed.iter().map(ToString::to_string).collect(),
        type_url: resource_type.type_url().into(),
        nonce: message.nonce,
        ..Default::default()
    }
}

impl From<DiscoveryRequest> for Request {
    fn from(request: DiscoveryRequest) -> Self {
        Self {
            type_url: request.type_url,
            resource_names: request.resource_names,
            accepted_version: request.version_info,
            nonce: request.response_nonce,
            error_detail: request.error_detail.map(|error| error.message),
            ..Self::default()
        }
    }
}

impl From<DeltaDiscoveryRequest> for Request {
    fn from(request: DeltaDiscoveryRequest) -> Self {
        let mut held_versions: Vec<_> = request.initial_resource_versions.into_iter().collect();
        held_versions.sort_unstable();
        Self {
            type_url: request.type_url,
            resource_names: request.resource_names_subscribe,
            unsubscribed_names: request.resource_names_unsubscribe,
            held_versions,
            nonce: request.response_nonce,
            error_detail: request.error_detail.map(|error| error.message),
            ..Self::default()
        }
    }
}

/// The state that the gRPC services share.
#[derive(Clone)]
struct Frontend {
    events: Sender<ServiceEvent>,
    next_stream_id: Arc<AtomicU64>,
    reports_every: Duration,
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Reports the end of a stream to the event loop, however it ended.
struct CloseNotifier(Sender<ServiceEvent>, GrpcStreamId);

impl Drop for CloseNotifier {
    fn drop(&mut self) {
        let _ = self.0.send(ServiceEvent::Closed { stream_id: self.1 });
    }
}

impl Frontend {
    fn open(&self, peer: Option<SocketAddr>, sender: ResponseSender) -> GrpcStreamId {
        let stream_id = self.next_stream_id.fetch_add(1, Ordering::Relaxed);
        let peer = peer.map(|peer| peer.to_string()).unwrap_or_default();
        let _ = self.events.send(ServiceEvent::Opened { stream_id, peer, sender });
        stream_id
    }

    /// Passes the requests of a stream to the event loop, a few at a time, until the stream ends.
    fn forward_requests<T>(
        &self,
        stream_id: GrpcStreamId,
        mut inbound: Streaming<T>,
        read: fn(T) -> (ProxyNode, Request),
    ) where
        T: Send + 'static,
    {
        let notifier = CloseNotifier(self.events.clone(), stream_id);
        tokio::spawn(async move {
            let pending_requests = Arc::new(Semaphore::new(MAX_PENDING_REQUESTS));
            while let Ok(Some(request)) = inbound.message().await {
                let (proxy, request) = read(request);
                let Ok(permit) = Arc::clone(&pending_requests).acquire_owned().await else { break };
                if notifier.0.send(ServiceEvent::Requested { stream_id, proxy, request, permit }).is_err() {
                    break;
                }
            }
        });
    }
}

#[tonic::async_trait]
impl ads::AggregatedDiscoveryService for Frontend {
    type StreamAggregatedResourcesStream = ResponseStream<DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = ResponseStream<DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::StreamAggregatedResourcesStream>, Status> {
        let (sender, answers) = mpsc::channel(OUTBOX_CAPACITY);
        let stream_id = self.open(request.remote_addr(), ResponseSender::Whole(sender));
        self.forward_requests(stream_id, request.into_inner(), |mut request| {
            (request.node.take().into(), request.into())
        });
        Ok(tonic::Response::new(Box::pin(ReceiverStream::new(answers))))
    }

    async fn delta_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let (sender, answers) = mpsc::channel(OUTBOX_CAPACITY);
        let stream_id = self.open(request.remote_addr(), ResponseSender::Delta(sender));
        self.forward_requests(stream_id, request.into_inner(), |mut request| {
            (request.node.take().into(), request.into())
        });
        Ok(tonic::Response::new(Box::pin(ReceiverStream::new(answers))))
    }
}

#[tonic::async_trait]
impl lrs::LoadReportingService for Frontend {
    type StreamLoadStatsStream = ResponseStream<LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: tonic::Request<Streaming<LoadStatsRequest>>,
    ) -> Result<tonic::Response<Self::StreamLoadStatsStream>, Status> {
        let settings = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Some(messages::encode_duration(self.reports_every)),
            report_endpoint_granularity: true,
            ..Default::default()
        };
        let (sender, answers) = mpsc::channel(1);
        let _ = sender.try_send(Ok(settings));
        let events = self.events.clone();
        let mut inbound = request.into_inner();
        tokio::spawn(async move {
            // The first message names the proxy; later ones may omit it.
            let (mut node, pending_requests) = (None, Arc::new(Semaphore::new(1)));
            while let Ok(Some(mut report)) = inbound.message().await {
                node = report.node.take().or(node);
                report.node.clone_from(&node);
                let Ok(permit) = Arc::clone(&pending_requests).acquire_owned().await else { break };
                if events.send(ServiceEvent::Reported { report, permit }).is_err() {
                    break;
                }
            }
            drop(sender);
        });
        Ok(tonic::Response::new(Box::pin(ReceiverStream::new(answers))))
    }
}

#[tonic::async_trait]
impl csds::ClientStatusDiscoveryService for Frontend {
    type StreamClientStatusStream = ResponseStream<ClientStatusResponse>;

    async fn stream_client_status(
        &self,
        request: tonic::Request<Streaming<ClientStatusRequest>>,
    ) -> Result<tonic::Response<Self::StreamClientStatusStream>, Status> {
        let frontend = self.clone();
        let answers = request.into_inner().then(move |request| {
            let frontend = frontend.clone();
            async move { frontend.fetch_status(&request?).await }
        });
        Ok(tonic::Response::new(Box::pin(answers)))
    }

    async fn fetch_client_status(
        &self,
        request: tonic::Request<ClientStatusRequest>,
    ) -> Result<tonic::Response<ClientStatusResponse>, Status> {
        Ok(tonic::Response::new(self.fetch_status(request.get_ref()).await?))
    }
}

impl Frontend {
    async fn fetch_status(&self, request: &ClientStatusRequest) -> Result<ClientStatusResponse, Status> {
        let (reply, status) = oneshot::channel();
        let ending = || Status::unavailable("the control service is shutting down");
        self.events
            .send(ServiceEvent::StatusRequested { order: crate::client_status::parse_order(request), reply })
            .map_err(|_| ending())?;
        status.await.map_err(|_| ending())?.map_err(Status::invalid_argument)
    }
}

/// Starts the gRPC services on a thread of their own. They run until the process ends.
pub fn serve(
    listener: TcpListener,
    events: Sender<ServiceEvent>,
    reports_every: Duration,
) -> Result<(), String> {
    let frontend = Frontend { events, next_stream_id: Arc::new(AtomicU64::new(0)), reports_every };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the gRPC runtime: {e}"))?;
    listener.set_nonblocking(true).map_err(|e| format!("cannot make the gRPC listener non-blocking: {e}"))?;
    let run = move || {
        let result = runtime.block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| e.to_string())?;
            let incoming = tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
            tonic::transport::Server::builder()
                .http2_keepalive_interval(Some(KEEPALIVE))
                .http2_keepalive_timeout(Some(KEEPALIVE))
                .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
                .add_service(
                    ads::AggregatedDiscoveryServiceServer::new(frontend.clone())
                        .max_decoding_message_size(MAX_REQUEST_BYTES),
                )
                .add_service(
                    lrs::LoadReportingServiceServer::new(frontend.clone())
                        .max_decoding_message_size(MAX_REQUEST_BYTES),
                )
                .add_service(csds::ClientStatusDiscoveryServiceServer::new(frontend))
                .serve_with_incoming(incoming)
                .await
                .map_err(|e| e.to_string())
        });
        if let Err(error) = result {
            log::error!("gRPC services ended, proxies are no longer served: {error}");
        }
    };
    let thread = std::thread::Builder::new().name("grpc".into()).spawn(run);
    thread.map(drop).map_err(|e| format!("cannot start the gRPC thread: {e}"))
}
