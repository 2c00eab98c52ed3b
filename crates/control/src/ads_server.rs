//! The state of all ADS streams: the subscriptions of each proxy, the versions sent, acknowledged and rejected, the
//! order in which resources are sent, and which proxies may have their lease renewed. Does no I/O and reads no clock:
//! requests and the time are passed in, messages are returned.
//!
//! No messages are queued for a proxy. Each subscription holds the set of resource names that are still to be sent, and
//! a message is built from the current resources only when there is room to send it. A proxy that reads nothing therefore
//! costs a bounded set and does not delay other proxies.

pub use crate::ads_stream::{StreamCounters, StreamStatus};
pub use crate::subscription::Nack;

use crate::ads_stream::{AdsStream, next_heartbeat, next_ordinary, next_urgent};
use crate::copy_refusals::{COPY_REFUSALS, COPY_REFUSALS_FEATURE, CopyRefusals};
use crate::lease::Lease;
use crate::resource_cache::{RESOURCE_TYPES, Resource, ResourceCache, ResourceType, Version};
use crate::subscription::{
    MAX_NAME_BYTES, MAX_NAMES_PER_STREAM, Subscription, UnackedMessage, on_ack_or_nack, subscribe_delta,
    subscribe_whole,
};
use slab::Slab;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Streams that are admitted to ordinary resources in each `ADMISSION_INTERVAL`. Many proxies that reconnect at once must
/// not delay drains and purges by using up the processor.
const ADMISSIONS_PER_INTERVAL: u32 = 16;
const ADMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// A stream with a message unacknowledged for this long is ended, so that another proxy can have its place.
const ACK_TIMEOUT: Duration = Duration::from_secs(30);

/// Index of an open stream. Reused after the stream is closed.
pub type StreamId = usize;

/// The variant of the xDS transport protocol that a stream uses: `Whole` is state of the world, `Delta` is incremental.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVariant {
    Whole,
    Delta,
}

/// Priority of a message, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Drains and purges.
    Urgent,
    /// Lease renewals.
    Heartbeat,
    Ordinary,
}

/// All priorities, highest first.
pub const PRIORITIES: [Priority; 3] = [Priority::Urgent, Priority::Heartbeat, Priority::Ordinary];

/// A discovery request of either protocol variant.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub type_url: String,
    /// State of the world: all subscribed names. Delta: names to subscribe to in addition.
    pub resource_names: Vec<String>,
    pub unsubscribed_names: Vec<String>,
    /// Delta: names and versions that the proxy holds from an earlier stream.
    pub held_versions: Vec<(String, String)>,
    /// State of the world: the version that the proxy accepted last.
    pub accepted_version: String,
    pub nonce: String,
    /// The error of a NACK: why the message with this nonce was rejected.
    pub error_detail: Option<String>,
}

/// A resource as part of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct SentResource {
    pub name: Rc<str>,
    pub version: Version,
    /// None: the message renews only the time to live.
    pub body: Option<Rc<[u8]>>,
    pub ttl: Option<Duration>,
}

/// A discovery response to be sent, of either protocol variant.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub resource_type: ResourceType,
    pub priority: Priority,
    /// State of the world: a hash over the versions that the proxy has of this type once it has this message.
    pub version: String,
    pub resources: Vec<SentResource>,
    pub removed: Vec<Rc<str>>,
    pub nonce: String,
}

/// Why a stream is ended or rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEndReason {
    /// The maximum number of streams is open.
    StreamLimit,
    /// The stream subscribes to too many names, or to a name that is too long.
    SubscriptionLimit,
    /// A message was not acknowledged within the timeout.
    AckTimeout,
}

impl fmt::Display for StreamEndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamEndReason::StreamLimit => {
                write!(f, "stream rejected: the maximum number of streams is open")
            }
            StreamEndReason::SubscriptionLimit => {
                write!(
                    f,
                    "stream ended: it subscribed to more than {MAX_NAMES_PER_STREAM} names or to a name longer than {MAX_NAME_BYTES} bytes"
                )
            }
            StreamEndReason::AckTimeout => {
                write!(f, "stream ended: a message was not acknowledged within {} s", ACK_TIMEOUT.as_secs())
            }
        }
    }
}

/// The published resources and the state of every ADS stream.
pub struct AdsServer {
    cache: ResourceCache,
    streams: Slab<AdsStream>,
    max_streams: usize,
    lease: Lease,
    /// Streams waiting for admission to ordinary resources, in the order in which they were opened.
    admission_queue: VecDeque<StreamId>,
    admission_interval_end: Duration,
    admissions_left: u32,
    /// Whether the host list is known. Nothing is sent before, since a proxy would take it for the complete state.
    is_ready: bool,
    /// Whether copies are refused, now or soon.
    are_copies_refused: bool,
}

impl AdsServer {
    /// Creates a server without resources or streams.
    pub fn new(lease: Lease, max_streams: usize) -> Self {
        Self {
            cache: ResourceCache::default(),
            streams: Slab::new(),
            max_streams,
            lease,
            admission_queue: VecDeque::new(),
            admission_interval_end: Duration::ZERO,
            admissions_left: ADMISSIONS_PER_INTERVAL,
            is_ready: false,
            are_copies_refused: false,
        }
    }

    /// The published resources.
    pub fn cache(&self) -> &ResourceCache {
        &self.cache
    }

    /// Starts answering streams, now that the host list is known.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Whether streams are answered.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Publishes a resource, or removes it (None). Drains, purges and removed hosts are urgent.
    pub fn put(
        &mut self,
        resource_type: ResourceType,
        name: &str,
        resource: Option<Resource>,
        is_urgent: bool,
    ) {
        let Some(name) = self.cache.put(resource_type, name, resource) else { return };
        for (_, stream) in &mut self.streams {
            let subscription = &mut stream.subscriptions[resource_type as usize];
            if subscription.is_subscribed(&name) {
                subscription.enqueue(&name, is_urgent);
            }
        }
    }

    /// Publishes which copies proxies must refuse. A proxy that does not obey this gets no lease while there are any.
    pub fn put_copy_refusals(&mut self, refusals: &CopyRefusals) {
        self.are_copies_refused = !refusals.is_empty();
        self.put(ResourceType::Notice, COPY_REFUSALS, Some(refusals.to_resource()), self.are_copies_refused);
    }

    /// Opens a stream, or rejects it if the maximum number is open.
    pub fn open_stream(
        &mut self,
        variant: ProtocolVariant,
        peer: &str,
        now: Duration,
    ) -> Result<StreamId, StreamEndReason> {
        if self.streams.len() >= self.max_streams {
            return Err(StreamEndReason::StreamLimit);
        }
        let id = self.streams.insert(AdsStream {
            variant,
            node: String::new(),
            obeys_copy_refusals: false,
            is_lease_withheld: false,
            peer: peer.to_owned(),
            opened_at: now,
            subscriptions: Default::default(),
            last_sequence: 0,
            is_admitted: false,
            next_heartbeat: now,
            lease_renewed_at: None,
            last_request_at: now,
            end_reason: None,
            counters: StreamCounters::default(),
        });
        self.admission_queue.push_back(id);
        Ok(id)
    }

    /// Drops the state of a stream that has ended.
    pub fn close_stream(&mut self, id: StreamId) {
        self.streams.try_remove(id);
        self.admission_queue.retain(|&waiting| waiting != id);
    }

    /// Sets the node name of a proxy. Two proxies may have the same name; both are served.
    pub fn set_node(&mut self, id: StreamId, node: &str) {
        if let Some(stream) = self.streams.get_mut(id).filter(|stream| stream.node.is_empty()) {
            stream.node = node.chars().take(MAX_NAME_BYTES).collect();
        }
    }

    /// Sets the client features that a proxy named.
    pub fn set_client_features(&mut self, id: StreamId, features: &[String]) {
        if let Some(stream) = self.streams.get_mut(id) {
            stream.obeys_copy_refusals |= features.iter().any(|feature| feature == COPY_REFUSALS_FEATURE);
        }
    }

    /// Handles a request: its subscription, and its ACK or NACK of a message.
    pub fn on_request(
        &mut self,
        id: StreamId,
        request: &Request,
        now: Duration,
    ) -> Result<(), StreamEndReason> {
        let Some(stream) = self.streams.get_mut(id) else { return Ok(()) };
        stream.last_request_at = now;
        let Some(resource_type) = ResourceType::from_type_url(&request.type_url) else {
            stream.counters.unknown_types += 1;
            return Ok(());
        };
        let subscription = &mut stream.subscriptions[resource_type as usize];
        if !request.nonce.is_empty() {
            on_ack_or_nack(subscription, &mut stream.counters, request);
        }
        let is_first = !std::mem::replace(&mut subscription.is_requested, true);
        match stream.variant {
            ProtocolVariant::Whole => {
                subscribe_whole(subscription, &self.cache, resource_type, request, is_first)
            }
            ProtocolVariant::Delta => {
                subscribe_delta(subscription, &self.cache, resource_type, request, is_first, now)
            }
        }
        let is_name_too_long = request.resource_names.iter().any(|name| name.len() > MAX_NAME_BYTES);
        let name_count: usize =
            stream.subscriptions.iter().map(|subscription| subscription.names.len()).sum();
        if is_name_too_long || name_count > MAX_NAMES_PER_STREAM {
            Err(StreamEndReason::SubscriptionLimit)
        } else {
            Ok(())
        }
    }

    /// Admits waiting streams and re-sends resources whose newer version at the proxy was not confirmed in time. Returns
    /// the streams to be ended.
    pub fn advance(&mut self, now: Duration) -> Vec<StreamId> {
        if now >= self.admission_interval_end {
            (self.admission_interval_end, self.admissions_left) =
                (now + ADMISSION_INTERVAL, ADMISSIONS_PER_INTERVAL);
        }
        while self.is_ready && self.admissions_left > 0 {
            let Some(id) = self.admission_queue.pop_front() else { break };
            if let Some(stream) = self.streams.get_mut(id) {
                stream.is_admitted = true;
                self.admissions_left -= 1;
            }
        }
        let mut timed_out = Vec::new();
        for (id, stream) in &mut self.streams {
            for subscription in &mut stream.subscriptions {
                if !subscription.newer_at_client.is_empty() {
                    // This instance has received everything by now and still has another version, so its own is right.
                    let expired = subscription.newer_at_client.extract_if(.., |_, (_, until)| now >= *until);
                    for (name, _) in expired.collect::<Vec<_>>() {
                        subscription.enqueue(&name, false);
                    }
                }
                if subscription
                    .unacked
                    .front()
                    .is_some_and(|unacked_message| now >= unacked_message.sent_at + ACK_TIMEOUT)
                {
                    timed_out.push(id);
                    break;
                }
            }
        }
        for &id in &timed_out {
            self.streams[id].end_reason = Some(StreamEndReason::AckTimeout);
        }
        timed_out
    }

    /// When `advance` or a lease renewal is next due.
    pub fn next_deadline(&self, now: Duration) -> Duration {
        let heartbeat = self.streams.iter().map(|(_, stream)| stream.next_heartbeat).min();
        let admission = (!self.admission_queue.is_empty()).then_some(self.admission_interval_end);
        [heartbeat, admission].into_iter().flatten().min().unwrap_or(now + self.lease.renew_interval).max(now)
    }

    /// Whether nothing is pending for a stream.
    pub fn is_idle(&self, id: StreamId) -> bool {
        self.streams.get(id).is_none_or(|stream| stream.subscriptions.iter().all(Subscription::is_idle))
    }

    /// Returns the next message of a priority for a stream that has room for one. Its nonce contains `unix_ms`.
    pub fn next_message(
        &mut self,
        id: StreamId,
        priority: Priority,
        now: Duration,
        unix_ms: u64,
    ) -> Option<Message> {
        let Self { cache, streams, lease, is_ready, are_copies_refused, .. } = self;
        let stream = streams.get_mut(id).filter(|_| *is_ready)?;
        stream.is_lease_withheld = *are_copies_refused && stream.disobeys_copy_refusals();
        let message = match priority {
            Priority::Urgent => next_urgent(stream, cache, *lease, now),
            Priority::Heartbeat => next_heartbeat(stream, cache, *lease, now),
            Priority::Ordinary => next_ordinary(stream, cache, *lease, now),
        };
        if message.is_none() && priority == Priority::Heartbeat && now >= stream.next_heartbeat {
            // The lease cannot be renewed now. The next check comes well within a lease.
            stream.next_heartbeat = stream.next_heartbeat.max(now + lease.renew_interval / 4);
        }
        let mut message = message?;
        stream.last_sequence += 1;
        message.nonce = format!("{:x}.{unix_ms:x}", stream.last_sequence);
        stream.counters.messages += 1;
        let has_lease = message.resources.iter().any(|resource| resource.ttl.is_some());
        if has_lease {
            (stream.lease_renewed_at, stream.next_heartbeat) = (Some(now), now + lease.renew_interval);
        }
        if priority == Priority::Heartbeat {
            stream.counters.heartbeats += 1;
        } else {
            let resources =
                message.resources.iter().map(|resource| (Rc::clone(&resource.name), resource.version));
            let removed = message.removed.iter().map(|name| (Rc::clone(name), Version::default()));
            let resources = resources.chain(removed).collect();
            let unacked_message = UnackedMessage {
                sequence: stream.last_sequence,
                sent_at: now,
                is_urgent: priority == Priority::Urgent,
                resources,
            };
            stream.subscriptions[message.resource_type as usize].unacked.push_back(unacked_message);
        }
        Some(message)
    }

    /// Status of all streams.
    pub fn stream_statuses(&self, now: Duration) -> impl Iterator<Item = StreamStatus<'_>> {
        self.stream_statuses_from(0, now)
    }

    /// Status of the streams from the given id on.
    pub fn stream_statuses_from(
        &self,
        from: StreamId,
        now: Duration,
    ) -> impl Iterator<Item = StreamStatus<'_>> {
        self.streams.iter().filter(move |(id, _)| *id >= from).map(move |(id, stream)| {
            let subscriptions = || RESOURCE_TYPES.iter().zip(&stream.subscriptions);
            let oldest = subscriptions()
                .filter_map(|(_, subscription)| subscription.unacked.front())
                .map(|unacked_message| unacked_message.sent_at)
                .min();
            let until = stream.lease_renewed_at.map(|at| at + self.lease.ttl);
            StreamStatus {
                id,
                variant: stream.variant,
                node: &stream.node,
                peer: &stream.peer,
                age: now.saturating_sub(stream.opened_at),
                since_last_request: now.saturating_sub(stream.last_request_at),
                oldest_unacked_age: oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
                pending: subscriptions()
                    .map(|(_, subscription)| subscription.pending.len() + subscription.pending_urgent.len())
                    .sum(),
                lease_left: until.and_then(|until| until.checked_sub(now)),
                counters: stream.counters,
                sent_versions: subscriptions()
                    .flat_map(|(&resource_type, subscription)| {
                        subscription
                            .sent_versions
                            .iter()
                            .map(move |(name, &version)| (resource_type, &**name, version))
                    })
                    .collect(),
                nacked: subscriptions()
                    .flat_map(|(&resource_type, subscription)| {
                        subscription.nacked.iter().map(move |(name, nack)| (resource_type, &**name, nack))
                    })
                    .collect(),
            }
        })
    }
}
