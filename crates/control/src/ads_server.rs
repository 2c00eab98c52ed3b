//! The state of all ADS streams: the subscriptions of each proxy, the versions sent, acknowledged and rejected, the
//! order in which resources are sent, and which proxies may have their lease renewed. Does no I/O and reads no clock:
//! requests and the time are passed in, messages are returned.
//!
//! No messages are queued for a proxy. Each subscription holds the set of resource names that are still to be sent, and
//! a message is built from the current resources only when there is room to send it. A proxy that reads nothing therefore
//! costs a bounded set and does not delay other proxies.

use crate::copy_refusals::{COPY_REFUSALS, COPY_REFUSALS_FEATURE, CopyRefusals};
use crate::lease::Lease;
use crate::messages::parse_zone_resource_name;
use crate::resource_cache::{RESOURCE_TYPES, Resource, ResourceCache, ResourceType, Version};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Resource bytes after which an ordinary message is complete. Urgent messages never wait behind more than this.
const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Urgent messages of one type that may be unacknowledged. Beyond this, urgent names accumulate and are sent in one message.
const MAX_UNACKED_URGENT: usize = 16;
/// Names that one stream may subscribe to, over all types: several times the number in a large location.
const MAX_NAMES_PER_STREAM: usize = 4096;
/// Maximum length of a resource name. Published names are far shorter.
const MAX_NAME_BYTES: usize = 256;
/// Streams that are admitted to ordinary resources in each `ADMISSION_INTERVAL`. Many proxies that reconnect at once must
/// not delay drains and purges by using up the processor.
const ADMISSIONS_PER_INTERVAL: u32 = 16;
const ADMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// A stream with a message unacknowledged for this long is ended, so that another proxy can have its place.
const ACK_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a proxy may keep a newer version than this instance has before it is sent the version of this instance.
/// Change log entries reach every instance within seven seconds.
const NEWER_FACT_TIMEOUT: Duration = Duration::from_secs(8);

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

/// A sent message that was neither acknowledged nor rejected yet.
struct UnackedMessage {
    sequence: u64,
    sent_at: Duration,
    is_urgent: bool,
    resources: Vec<(Rc<str>, Version)>,
}

/// A resource version that a proxy rejected. The resource is not sent again until its version changes.
pub struct Nack {
    pub version: Version,
    pub error: String,
    is_urgent: bool,
}

/// The subscription of one stream to one resource type.
#[derive(Default)]
struct Subscription {
    /// Whether a request for this type has been received.
    is_requested: bool,
    /// Whether all resources of this type are subscribed to, in addition to `names`.
    is_wildcard: bool,
    names: BTreeSet<Rc<str>>,
    /// Versions last sent and not rejected.
    sent_versions: BTreeMap<Rc<str>, Version>,
    /// Names to send with ordinary priority.
    pending: BTreeSet<Rc<str>>,
    /// Names to send with urgent priority.
    pending_urgent: BTreeSet<Rc<str>>,
    /// Names that were in a rejected message with others. Each is sent in a message of its own, so that only the resource
    /// that is at fault stays rejected.
    send_separately: BTreeSet<Rc<str>>,
    /// A response is due even if there are no resources to send.
    is_response_due: bool,
    /// Everything that existed at the first request has been sent.
    is_initial_sync_done: bool,
    unacked: VecDeque<UnackedMessage>,
    nacked: BTreeMap<Rc<str>, Nack>,
    /// Versions at the proxy that are newer than those of this instance, and until when they are left as they are.
    newer_at_client: BTreeMap<Rc<str>, (Version, Duration)>,
}

impl Subscription {
    fn is_subscribed(&self, name: &str) -> bool {
        self.is_wildcard || self.names.contains(name)
    }

    fn enqueue(&mut self, name: &Rc<str>, is_urgent: bool) {
        if is_urgent {
            self.pending.remove(name);
            self.pending_urgent.insert(Rc::clone(name));
        } else if !self.pending_urgent.contains(name) {
            self.pending.insert(Rc::clone(name));
        }
    }

    /// Drops the state of names that are no longer subscribed to.
    fn drop_unsubscribed(&mut self) {
        let Self { is_wildcard, names, sent_versions, pending, pending_urgent, nacked, .. } = self;
        let is_subscribed = |name: &Rc<str>| *is_wildcard || names.contains(name);
        sent_versions.retain(|name, _| is_subscribed(name));
        nacked.retain(|name, _| is_subscribed(name));
        pending.retain(|name| is_subscribed(name));
        pending_urgent.retain(|name| is_subscribed(name));
    }

    /// Whether it names nothing but verdicts on zones.
    fn has_only_zones(&self) -> bool {
        !self.is_wildcard && self.names.iter().all(|name| parse_zone_resource_name(name).is_some())
    }

    fn is_idle(&self) -> bool {
        !self.is_response_due && self.pending.is_empty() && self.pending_urgent.is_empty()
    }
}

/// One ADS stream to a proxy.
struct AdsStream {
    variant: ProtocolVariant,
    node: String,
    /// The proxy obeys refusals of copies.
    obeys_copy_refusals: bool,
    /// No lease is sent: copies are refused, and the proxy does not obey that.
    is_lease_withheld: bool,
    peer: String,
    opened_at: Duration,
    subscriptions: [Subscription; RESOURCE_TYPES.len()],
    last_sequence: u64,
    /// Whether ordinary resources may be sent.
    is_admitted: bool,
    /// When the lease is next due for renewal.
    next_heartbeat: Duration,
    /// When the lease was last renewed.
    lease_renewed_at: Option<Duration>,
    last_request_at: Duration,
    end_reason: Option<StreamEndReason>,
    counters: StreamCounters,
}

impl AdsStream {
    /// Whether the proxy may accept copies that are refused. One that follows verdicts on zones alone chooses no copies
    /// by what is published here.
    fn disobeys_copy_refusals(&self) -> bool {
        !self.obeys_copy_refusals && !self.subscriptions[ResourceType::Notice as usize].has_only_zones()
    }
}

/// Event counters of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounters {
    pub messages: u64,
    pub heartbeats: u64,
    pub acks: u64,
    pub nacks: u64,
    pub stale_nonces: u64,
    pub unknown_types: u64,
}

/// Status of a stream for operators.
pub struct StreamStatus<'a> {
    pub id: StreamId,
    pub variant: ProtocolVariant,
    /// Node name that the proxy gave.
    pub node: &'a str,
    pub peer: &'a str,
    pub age: Duration,
    pub since_last_request: Duration,
    /// Age of the oldest unacknowledged message.
    pub oldest_unacked_age: Duration,
    /// Number of names still to be sent.
    pub pending: usize,
    /// Remaining time of the lease. None: the proxy has no lease.
    pub lease_left: Option<Duration>,
    pub counters: StreamCounters,
    pub sent_versions: Vec<(ResourceType, &'a str, Version)>,
    pub nacked: Vec<(ResourceType, &'a str, &'a Nack)>,
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

/// Handles the ACK or NACK in a request. It counts only if its nonce belongs to an unacknowledged message.
fn on_ack_or_nack(subscription: &mut Subscription, counters: &mut StreamCounters, request: &Request) {
    let sequence =
        request.nonce.split('.').next().and_then(|sequence| u64::from_str_radix(sequence, 16).ok());
    let Some(position) =
        subscription.unacked.iter().position(|unacked_message| Some(unacked_message.sequence) == sequence)
    else {
        // The nonce of a lease renewal, or of an older message: it is no response to any of the unacknowledged messages.
        counters.stale_nonces += 1;
        return;
    };
    // Messages are handled in order, so the earlier ones were accepted.
    for unacked_message in subscription.unacked.drain(..position) {
        unacked_message.resources.iter().for_each(|(name, _)| drop(subscription.nacked.remove(name)));
    }
    let Some(UnackedMessage { is_urgent, resources, .. }) = subscription.unacked.pop_front() else { return };
    let Some(error) = &request.error_detail else {
        counters.acks += 1;
        resources.iter().for_each(|(name, _)| drop(subscription.nacked.remove(name)));
        return;
    };
    counters.nacks += 1;
    // Assignments are sent together, so they are rejected together.
    let must_separate = resources.len() > 1 && request.type_url != ResourceType::Assignment.type_url();
    for (name, version) in resources {
        // A later message already carries this resource; the response to that message decides.
        if subscription.sent_versions.get(&name).is_some_and(|sent| *sent != version) {
            continue;
        }
        subscription.sent_versions.remove(&name);
        if must_separate {
            subscription.send_separately.insert(Rc::clone(&name));
            subscription.enqueue(&name, is_urgent);
        } else {
            let error = error.chars().take(MAX_NAME_BYTES).collect();
            subscription.send_separately.remove(&name);
            subscription.nacked.insert(name, Nack { version, error, is_urgent });
        }
    }
}

fn subscribe_whole(
    subscription: &mut Subscription,
    cache: &ResourceCache,
    resource_type: ResourceType,
    request: &Request,
    is_first: bool,
) {
    let has_wildcard_name = request.resource_names.iter().any(|name| name == "*");
    // For a full-state type, a first request without names is a wildcard subscription, and later ones without names
    // continue it.
    let is_wildcard = has_wildcard_name
        || request.resource_names.is_empty()
            && resource_type.is_full_state()
            && (is_first || subscription.is_wildcard);
    let names: BTreeSet<Rc<str>> = request
        .resource_names
        .iter()
        .filter(|name| *name != "*")
        .take(MAX_NAMES_PER_STREAM + 1)
        .map(|name| Rc::from(&**name))
        .collect();
    let previous_names = std::mem::replace(&mut subscription.names, names);
    let was_wildcard = std::mem::replace(&mut subscription.is_wildcard, is_wildcard);
    subscription.is_response_due |= is_first && (is_wildcard || !subscription.names.is_empty());
    subscription.drop_unsubscribed();
    let new: Vec<_> = cache.all(resource_type).filter(|(name, _)| subscription.is_subscribed(name)).collect();
    if is_first
        && !request.accepted_version.is_empty()
        && request.accepted_version
            == versions_hash(new.iter().map(|(name, resource)| (*name, &resource.version)))
    {
        // The proxy has all of this from an earlier stream.
        subscription.sent_versions =
            new.iter().map(|(name, resource)| (Rc::clone(name), resource.version)).collect();
        subscription.is_response_due = false;
        // Leased resources are sent again all the same, since their time to live must be renewed.
        let leased = new.iter().filter(|(_, resource)| resource.is_leased);
        let leased: Vec<_> = leased.map(|(name, _)| Rc::clone(name)).collect();
        leased.iter().for_each(|name| subscription.enqueue(name, false));
        return;
    }
    let mut has_new_names = false;
    for (name, resource) in new {
        if is_first || !was_wildcard && !previous_names.contains(name) {
            subscription.enqueue(name, resource.version.revision > 0);
            has_new_names = true;
        }
    }
    subscription.is_response_due |= has_new_names && resource_type.is_full_state();
}

fn subscribe_delta(
    subscription: &mut Subscription,
    cache: &ResourceCache,
    resource_type: ResourceType,
    request: &Request,
    is_first: bool,
    now: Duration,
) {
    for name in &request.unsubscribed_names {
        if name == "*" {
            subscription.is_wildcard = false;
        }
        subscription.names.remove(&**name);
    }
    if !request.unsubscribed_names.is_empty() {
        subscription.drop_unsubscribed();
    }
    let has_wildcard_name = request.resource_names.iter().any(|name| name == "*")
        || is_first && request.resource_names.is_empty();
    let starts_wildcard = has_wildcard_name && !subscription.is_wildcard;
    subscription.is_wildcard |= has_wildcard_name;
    subscription.is_response_due |= is_first || !request.resource_names.is_empty();
    for name in request.resource_names.iter().filter(|name| *name != "*").take(MAX_NAMES_PER_STREAM + 1) {
        let name =
            cache.entry(resource_type, name).map_or_else(|| Rc::from(&**name), |(known, _)| Rc::clone(known));
        // A resource requested by name is sent again even if it was sent before. If it does not exist, that is sent too.
        subscription.sent_versions.remove(&name);
        subscription.enqueue(
            &name,
            cache.get(resource_type, &name).is_some_and(|resource| resource.version.revision > 0),
        );
        subscription.names.insert(name);
    }
    if starts_wildcard {
        for (name, resource) in cache.all(resource_type) {
            if !subscription.names.contains(name) {
                subscription.enqueue(name, resource.version.revision > 0);
            }
        }
    }
    for (name, version) in request.held_versions.iter().filter(|_| is_first).take(MAX_NAMES_PER_STREAM) {
        if !subscription.is_subscribed(name) {
            continue;
        }
        let Ok(version) = version.parse::<Version>() else { continue };
        match cache.entry(resource_type, name) {
            Some((name, resource)) if resource.version == version && !resource.is_leased => {
                subscription.sent_versions.insert(Rc::clone(name), version);
                subscription.pending.remove(name);
                subscription.pending_urgent.remove(name);
            }
            Some((name, resource))
                if version.is_newer_than(&resource.version) && resource.version.revision == 0 =>
            {
                subscription.sent_versions.insert(Rc::clone(name), version);
                subscription.newer_at_client.insert(Rc::clone(name), (version, now + NEWER_FACT_TIMEOUT));
            }
            // A leased resource is sent again; its lease is not renewed before that.
            Some((_, resource)) if resource.is_leased => {}
            Some((name, _)) => drop(subscription.sent_versions.insert(Rc::clone(name), version)),
            // A purge or a host that this instance does not know yet, or no longer.
            None => {
                let name: Rc<str> = Rc::from(&**name);
                subscription.sent_versions.insert(Rc::clone(&name), version);
                if version.revision > 0 {
                    subscription.newer_at_client.insert(name, (version, now + NEWER_FACT_TIMEOUT));
                } else {
                    subscription.enqueue(&name, false);
                }
            }
        }
    }
}

/// Hashes names and versions. Every instance gets the same hash for the same resources.
fn versions_hash<'a>(versions: impl Iterator<Item = (&'a Rc<str>, &'a Version)>) -> String {
    let mut text = String::new();
    for (name, version) in versions {
        text.push_str(&format!("{name}={version};"));
    }
    format!("{:016x}", twox_hash::XxHash64::oneshot(0, text.as_bytes()))
}

/// Whether the proxy has all that a lease covers. For the types before `end`, it must have been sent everything that
/// existed when it connected and everything urgent since. For all types, nothing urgent may have been rejected or be
/// unacknowledged for a whole lease. Otherwise a lease could arrive before a drain or purge that it covers. The cost: a
/// proxy that rejects an urgent resource, or does not obey refusals of copies that there are, loses its lease and sheds.
fn can_extend_lease(stream: &mut AdsStream, end: usize, lease: Lease, now: Duration) -> bool {
    if stream.is_lease_withheld {
        return false;
    }
    for subscription in &mut stream.subscriptions {
        subscription.is_initial_sync_done |= subscription.is_requested && subscription.is_idle();
    }
    let is_up_to_date = |subscription: &Subscription| {
        subscription.pending_urgent.is_empty()
            && (subscription.is_initial_sync_done || !subscription.is_requested)
    };
    stream.subscriptions[..end].iter().all(is_up_to_date)
        && stream.subscriptions.iter().enumerate().all(|(resource_type, subscription)| {
            let is_assignment = resource_type == ResourceType::Assignment as usize;
            let has_nack = subscription
                .nacked
                .iter()
                .any(|(name, nack)| nack.is_urgent || is_assignment || &**name == COPY_REFUSALS);
            let is_overdue = subscription.unacked.iter().any(|unacked_message| {
                unacked_message.is_urgent && now >= unacked_message.sent_at + lease.ttl
            });
            !has_nack && !is_overdue
        })
}

/// Builds a message from pending names. Names that need no update any more are dropped from the pending set.
fn build_message(
    stream: &mut AdsStream,
    cache: &ResourceCache,
    resource_type: ResourceType,
    priority: Priority,
    lease: Lease,
    include_removed: bool,
) -> Option<Message> {
    let (variant, subscription) = (stream.variant, &mut stream.subscriptions[resource_type as usize]);
    let is_urgent = priority == Priority::Urgent;
    if resource_type == ResourceType::Assignment {
        // Assignments carry the lease, so they are sent together or not at all.
        let pending = std::mem::take(if is_urgent {
            &mut subscription.pending
        } else {
            &mut subscription.pending_urgent
        });
        if is_urgent { &mut subscription.pending_urgent } else { &mut subscription.pending }.extend(pending);
    }
    let (mut resources, mut removed, mut byte_count) = (Vec::new(), Vec::<Rc<str>>::new(), 0);
    let names: Vec<Rc<str>> = if is_urgent { &subscription.pending_urgent } else { &subscription.pending }
        .iter()
        .cloned()
        .collect();
    let mut handled = BTreeSet::new();
    for name in names {
        let resource = cache.get(resource_type, &name);
        if subscription
            .newer_at_client
            .get(&name)
            .is_some_and(|(newer, _)| resource.is_none_or(|resource| newer.is_newer_than(&resource.version)))
        {
            // The proxy has a newer version. It is not reverted while this instance may still receive that version.
            handled.insert(name);
            continue;
        }
        subscription.newer_at_client.remove(&name);
        let Some(resource) = resource else {
            if !include_removed {
                continue;
            }
            let was_sent =
                subscription.sent_versions.remove(&name).is_some() || subscription.names.contains(&name);
            if was_sent && variant == ProtocolVariant::Delta {
                removed.push(Rc::clone(&name));
            }
            subscription.nacked.remove(&name);
            handled.insert(name);
            continue;
        };
        let is_current =
            subscription.sent_versions.get(&name) == Some(&resource.version) && !resource.is_leased;
        let is_nacked = subscription.nacked.get(&name).is_some_and(|nack| nack.version == resource.version);
        if is_current || is_nacked {
            handled.insert(name);
            continue;
        }
        let is_separate =
            subscription.send_separately.contains(&name) && resource_type != ResourceType::Assignment;
        if is_separate && !(resources.is_empty() && removed.is_empty()) {
            continue;
        }
        byte_count += resource.body.len();
        resources.push(to_sent_resource(&name, resource, lease));
        subscription.sent_versions.insert(Rc::clone(&name), resource.version);
        subscription.send_separately.remove(&name);
        handled.insert(name);
        if is_separate || byte_count >= MAX_MESSAGE_BYTES && resource_type != ResourceType::Assignment {
            break;
        }
    }
    let pending_names = if is_urgent { &mut subscription.pending_urgent } else { &mut subscription.pending };
    pending_names.retain(|name| !handled.contains(name));
    if variant == ProtocolVariant::Whole
        && resource_type.is_full_state()
        && (subscription.is_response_due || !handled.is_empty())
    {
        // The proxy treats resources that such a response omits as removed, so it contains all of them.
        let subscribed: Vec<_> =
            cache.all(resource_type).filter(|(name, _)| subscription.is_subscribed(name)).collect();
        resources =
            subscribed.iter().map(|(name, resource)| to_sent_resource(name, resource, lease)).collect();
        subscription.sent_versions =
            subscribed.iter().map(|(name, resource)| (Rc::clone(name), resource.version)).collect();
        subscription.pending.clear();
    }
    let is_complete = subscription.pending.is_empty() && subscription.pending_urgent.is_empty();
    let responds = is_complete && std::mem::take(&mut subscription.is_response_due);
    if resources.is_empty() && removed.is_empty() && !responds {
        return None;
    }
    // The version covers what the proxy has with this message. More resources may follow.
    let version = if variant == ProtocolVariant::Whole {
        versions_hash(subscription.sent_versions.iter())
    } else {
        String::new()
    };
    Some(Message { resource_type, priority, version, resources, removed, nonce: String::new() })
}

fn to_sent_resource(name: &Rc<str>, resource: &Resource, lease: Lease) -> SentResource {
    SentResource {
        name: Rc::clone(name),
        version: resource.version,
        body: Some(Rc::clone(&resource.body)),
        ttl: resource.is_leased.then_some(lease.ttl),
    }
}

fn next_urgent(
    stream: &mut AdsStream,
    cache: &ResourceCache,
    lease: Lease,
    now: Duration,
) -> Option<Message> {
    RESOURCE_TYPES.into_iter().find_map(|resource_type| {
        let is_covered = can_extend_lease(stream, resource_type as usize, lease, now);
        let subscription = &stream.subscriptions[resource_type as usize];
        // An assignment carries a lease, which a proxy that rejected a drain must not get.
        let is_allowed = resource_type != ResourceType::Assignment || is_covered;
        let can_send = !subscription.pending_urgent.is_empty()
            && subscription.unacked.len() < MAX_UNACKED_URGENT
            && is_allowed;
        can_send.then(|| build_message(stream, cache, resource_type, Priority::Urgent, lease, true)).flatten()
    })
}

/// Builds a lease renewal for a proxy that was sent everything urgent and rejected none of it.
fn next_heartbeat(
    stream: &mut AdsStream,
    cache: &ResourceCache,
    lease: Lease,
    now: Duration,
) -> Option<Message> {
    if now < stream.next_heartbeat || !can_extend_lease(stream, ResourceType::Route as usize, lease, now) {
        return None;
    }
    let subscription = &stream.subscriptions[ResourceType::Assignment as usize];
    let renewed = subscription.sent_versions.iter().filter_map(|(name, sent_version)| {
        let leased = cache
            .get(ResourceType::Assignment, name)
            .filter(|resource| resource.is_leased && resource.version == *sent_version);
        leased.map(|resource| SentResource {
            name: Rc::clone(name),
            version: resource.version,
            body: None,
            ttl: Some(lease.ttl),
        })
    });
    let resources: Vec<_> = renewed.collect();
    if resources.is_empty() {
        return None;
    }
    let version = if stream.variant == ProtocolVariant::Whole {
        versions_hash(subscription.sent_versions.iter())
    } else {
        String::new()
    };
    let resource_type = ResourceType::Assignment;
    Some(Message {
        resource_type,
        priority: Priority::Heartbeat,
        version,
        resources,
        removed: Vec::new(),
        nonce: String::new(),
    })
}

/// Builds the next ordinary message, type by type. A type waits until the earlier types are acknowledged, so that no
/// resource is referenced before it exists. A resource is removed only when nothing references it any more.
fn next_ordinary(
    stream: &mut AdsStream,
    cache: &ResourceCache,
    lease: Lease,
    now: Duration,
) -> Option<Message> {
    if !stream.is_admitted {
        return None;
    }
    let is_covered = can_extend_lease(stream, ResourceType::Assignment as usize, lease, now);
    for resource_type in RESOURCE_TYPES {
        let subscription = &stream.subscriptions[resource_type as usize];
        if subscription.unacked.iter().any(|unacked_message| !unacked_message.is_urgent) {
            return None;
        }
        if subscription.is_idle() || resource_type == ResourceType::Assignment && !is_covered {
            continue;
        }
        // A cluster is removed once no route references it. Removed resources of other types are not referenced.
        let routes = &stream.subscriptions[ResourceType::Route as usize];
        let include_removed =
            resource_type != ResourceType::Cluster || routes.is_idle() && routes.unacked.is_empty();
        if let Some(message) =
            build_message(stream, cache, resource_type, Priority::Ordinary, lease, include_removed)
        {
            return Some(message);
        }
    }
    None
}
