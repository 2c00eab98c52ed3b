//! The published gRPC services, on tokio on a thread of its own. Nothing is decided here: what proxies say goes to the
//! service's loop, and what the loop has for them goes out as it is.

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

/// Messages that wait for one proxy outside the server: a few, for what waits here can't be overtaken.
pub const OUTBOX_CAPACITY: usize = 4;
/// Requests of one proxy that wait for the loop; more are left unread.
const MAX_PENDING_REQUESTS: usize = 8;
/// Bytes of one request or report: four thousand names, or reports of as many hosts.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// Streams of one connection: its own, reports, status.
const MAX_STREAMS_PER_CONNECTION: u32 = 8;
/// A connection that is dead without a word is found in this much and the same again.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// A stream, from its start.
pub type GrpcStreamId = u64;

/// What the loop hears.
pub enum ServiceEvent {
    Opened {
        ticket: GrpcStreamId,
        peer: String,
        out: ResponseSender,
    },
    /// The permit is given back once it was heard.
    Requested {
        ticket: GrpcStreamId,
        node: String,
        request: Request,
        permit: OwnedSemaphorePermit,
    },
    Closed {
        ticket: GrpcStreamId,
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

/// Where a stream's messages go.
pub enum ResponseSender {
    Whole(mpsc::Sender<Result<DiscoveryResponse, Status>>),
    Delta(mpsc::Sender<Result<DeltaDiscoveryResponse, Status>>),
}

impl ResponseSender {
    pub fn variant(&self) -> ProtocolVariant {
        match self {
            ResponseSender::Whole(_) => ProtocolVariant::Whole,
            ResponseSender::Delta(_) => ProtocolVariant::Delta,
        }
    }

    /// Messages that may still be handed over.
    pub fn room(&self) -> usize {
        match self {
            ResponseSender::Whole(out) => out.capacity(),
            ResponseSender::Delta(out) => out.capacity(),
        }
    }

    /// Hands a message over, where there is room.
    pub fn send(&self, message: Message, plane: &str) {
        let control_plane = Some(ControlPlane { identifier: plane.to_owned() });
        match self {
            ResponseSender::Whole(out) => {
                let _ = out.try_send(Ok(DiscoveryResponse { control_plane, ..whole(message) }));
            }
            ResponseSender::Delta(out) => {
                let _ = out.try_send(Ok(DeltaDiscoveryResponse { control_plane, ..delta(message) }));
            }
        }
    }

    pub fn end(&self, status: Status) {
        match self {
            ResponseSender::Whole(out) => drop(out.try_send(Err(status))),
            ResponseSender::Delta(out) => drop(out.try_send(Err(status))),
        }
    }
}

/// A state-of-the-world message; what has a time to live stands in the published wrapper.
fn whole(message: Message) -> DiscoveryResponse {
    let resource_type = message.resource_type;
    let resources = message.resources.into_iter().map(|sent| {
        let body = sent.body.as_ref().map(|body| messages::encode_any(resource_type, body));
        match (sent.ttl, body) {
            (None, Some(body)) => body,
            (ttl, resource) => {
                let wrapped = Resource {
                    name: sent.name.to_string(),
                    version: sent.version.to_string(),
                    ttl: ttl.map(messages::encode_duration),
                    resource,
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

fn delta(message: Message) -> DeltaDiscoveryResponse {
    let resource_type = message.resource_type;
    let resources = message.resources.into_iter().map(|sent| Resource {
        name: sent.name.to_string(),
        version: sent.version.to_string(),
        ttl: sent.ttl.map(messages::encode_duration),
        resource: sent.body.as_ref().map(|body| messages::encode_any(resource_type, body)),
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

fn node_name(node: Option<Node>) -> String {
    node.map(|node| node.id).unwrap_or_default()
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

/// What every service here needs.
#[derive(Clone)]
struct Frontend {
    hears: Sender<ServiceEvent>,
    tickets: Arc<AtomicU64>,
    reports_every: Duration,
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Tells the loop that a stream is over, however it ended.
struct CloseNotifier(Sender<ServiceEvent>, GrpcStreamId);

impl Drop for CloseNotifier {
    fn drop(&mut self) {
        let _ = self.0.send(ServiceEvent::Closed { ticket: self.1 });
    }
}

impl Frontend {
    fn opened(&self, peer: Option<SocketAddr>, out: ResponseSender) -> GrpcStreamId {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let peer = peer.map(|peer| peer.to_string()).unwrap_or_default();
        let _ = self.hears.send(ServiceEvent::Opened { ticket, peer, out });
        ticket
    }

    /// Passes a stream's requests to the loop, a few at a time, until it ends.
    fn listen<T>(&self, ticket: GrpcStreamId, mut inbound: Streaming<T>, read: fn(T) -> (String, Request))
    where
        T: Send + 'static,
    {
        let ends = CloseNotifier(self.hears.clone(), ticket);
        tokio::spawn(async move {
            let unheard = Arc::new(Semaphore::new(MAX_PENDING_REQUESTS));
            while let Ok(Some(request)) = inbound.message().await {
                let (node, request) = read(request);
                let Ok(permit) = Arc::clone(&unheard).acquire_owned().await else { break };
                if ends.0.send(ServiceEvent::Requested { ticket, node, request, permit }).is_err() {
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
        let (out, answers) = mpsc::channel(OUTBOX_CAPACITY);
        let ticket = self.opened(request.remote_addr(), ResponseSender::Whole(out));
        self.listen(ticket, request.into_inner(), |mut request| {
            (node_name(request.node.take()), request.into())
        });
        Ok(tonic::Response::new(Box::pin(ReceiverStream::new(answers))))
    }

    async fn delta_aggregated_resources(
        &self,
        request: tonic::Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let (out, answers) = mpsc::channel(OUTBOX_CAPACITY);
        let ticket = self.opened(request.remote_addr(), ResponseSender::Delta(out));
        self.listen(ticket, request.into_inner(), |mut request| {
            (node_name(request.node.take()), request.into())
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
        let asked = LoadStatsResponse {
            send_all_clusters: true,
            load_reporting_interval: Some(messages::encode_duration(self.reports_every)),
            report_endpoint_granularity: true,
            ..Default::default()
        };
        let (out, answers) = mpsc::channel(1);
        let _ = out.try_send(Ok(asked));
        let hears = self.hears.clone();
        let mut inbound = request.into_inner();
        tokio::spawn(async move {
            // The first message names the proxy; later ones may leave it out.
            let (mut node, unheard) = (None, Arc::new(Semaphore::new(1)));
            while let Ok(Some(mut report)) = inbound.message().await {
                node = report.node.take().or(node);
                report.node.clone_from(&node);
                let Ok(permit) = Arc::clone(&unheard).acquire_owned().await else { break };
                if hears.send(ServiceEvent::Reported { report, permit }).is_err() {
                    break;
                }
            }
            drop(out);
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
        let front = self.clone();
        let answers = request.into_inner().then(move |asked| {
            let front = front.clone();
            async move { front.show(&asked?).await }
        });
        Ok(tonic::Response::new(Box::pin(answers)))
    }

    async fn fetch_client_status(
        &self,
        asked: tonic::Request<ClientStatusRequest>,
    ) -> Result<tonic::Response<ClientStatusResponse>, Status> {
        Ok(tonic::Response::new(self.show(asked.get_ref()).await?))
    }
}

impl Frontend {
    async fn show(&self, asked: &ClientStatusRequest) -> Result<ClientStatusResponse, Status> {
        let (reply, shown) = oneshot::channel();
        let gone = || Status::unavailable("the service is ending");
        self.hears
            .send(ServiceEvent::StatusRequested { order: crate::client_status::parse_order(asked), reply })
            .map_err(|_| gone())?;
        shown.await.map_err(|_| gone())?.map_err(Status::invalid_argument)
    }
}

/// Serves on a listener until the process ends.
pub fn serve(
    listener: TcpListener,
    hears: Sender<ServiceEvent>,
    reports_every: Duration,
) -> Result<(), String> {
    let front = Frontend { hears, tickets: Arc::new(AtomicU64::new(0)), reports_every };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime for gRPC: {e}"))?;
    listener.set_nonblocking(true).map_err(|e| format!("the listener: {e}"))?;
    let run = move || {
        let served = runtime.block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).map_err(|e| e.to_string())?;
            let incoming = tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
            tonic::transport::Server::builder()
                .http2_keepalive_interval(Some(KEEPALIVE))
                .http2_keepalive_timeout(Some(KEEPALIVE))
                .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
                .add_service(
                    ads::AggregatedDiscoveryServiceServer::new(front.clone())
                        .max_decoding_message_size(MAX_REQUEST_BYTES),
                )
                .add_service(
                    lrs::LoadReportingServiceServer::new(front.clone())
                        .max_decoding_message_size(MAX_REQUEST_BYTES),
                )
                .add_service(csds::ClientStatusDiscoveryServiceServer::new(front))
                .serve_with_incoming(incoming)
                .await
                .map_err(|e| e.to_string())
        });
        if let Err(fault) = served {
            log::error!("gRPC ended: {fault}");
        }
    };
    let thread = std::thread::Builder::new().name("grpc".into()).spawn(run);
    thread.map(drop).map_err(|e| format!("no thread for gRPC: {e}"))
}
