//! One ADS stream to a proxy, and which message is sent on it next. Does no I/O and reads no clock.

use crate::ads_server::{Message, Priority, ProtocolVariant, SentResource, StreamEndReason, StreamId};
use crate::copy_refusals::COPY_REFUSALS;
use crate::lease::Lease;
use crate::resource_cache::{RESOURCE_TYPES, Resource, ResourceCache, ResourceType, Version};
use crate::subscription::{Nack, Subscription, versions_hash};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Resource bytes after which an ordinary message is complete. Urgent messages never wait behind more than this.
const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Urgent messages of one type that may be unacknowledged. Beyond this, urgent names accumulate and are sent in one message.
const MAX_UNACKED_URGENT: usize = 16;

/// One ADS stream to a proxy.
pub struct AdsStream {
    pub variant: ProtocolVariant,
    pub node: String,
    /// The proxy obeys refusals of copies.
    pub obeys_copy_refusals: bool,
    /// No lease is sent: copies are refused, and the proxy does not obey that.
    pub is_lease_withheld: bool,
    pub peer: String,
    pub opened_at: Duration,
    pub subscriptions: [Subscription; RESOURCE_TYPES.len()],
    pub last_sequence: u64,
    /// Whether ordinary resources may be sent.
    pub is_admitted: bool,
    /// When the lease is next due for renewal.
    pub next_heartbeat: Duration,
    /// When the lease was last renewed.
    pub lease_renewed_at: Option<Duration>,
    pub last_request_at: Duration,
    pub end_reason: Option<StreamEndReason>,
    pub counters: StreamCounters,
}

impl AdsStream {
    /// Whether the proxy may accept copies that are refused. One that follows verdicts on zones alone chooses no copies
    /// by what is published here.
    pub fn disobeys_copy_refusals(&self) -> bool {
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

pub fn next_urgent(
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
pub fn next_heartbeat(
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
pub fn next_ordinary(
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
