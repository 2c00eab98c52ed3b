//! The subscription of one ADS stream to one resource type: what was sent, acknowledged and rejected, and what is still to
//! be sent. Does no I/O and reads no clock.

use crate::ads_server::Request;
use crate::ads_stream::StreamCounters;
use crate::messages::parse_zone_resource_name;
use crate::resource_cache::{ResourceCache, ResourceType, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Names that one stream may subscribe to, over all types: several times the number in a large location.
pub const MAX_NAMES_PER_STREAM: usize = 4096;
/// Maximum length of a resource name. Published names are far shorter.
pub const MAX_NAME_BYTES: usize = 256;
/// How long a proxy may keep a newer version than this instance has before it is sent the version of this instance.
/// Change log entries reach every instance within seven seconds.
const NEWER_FACT_TIMEOUT: Duration = Duration::from_secs(8);

/// A sent message that was neither acknowledged nor rejected yet.
pub struct UnackedMessage {
    pub sequence: u64,
    pub sent_at: Duration,
    pub is_urgent: bool,
    pub resources: Vec<(Rc<str>, Version)>,
}

/// A resource version that a proxy rejected. The resource is not sent again until its version changes.
pub struct Nack {
    pub version: Version,
    pub error: String,
    pub is_urgent: bool,
}

/// The subscription of one stream to one resource type.
#[derive(Default)]
pub struct Subscription {
    /// Whether a request for this type has been received.
    pub is_requested: bool,
    /// Whether all resources of this type are subscribed to, in addition to `names`.
    pub is_wildcard: bool,
    pub names: BTreeSet<Rc<str>>,
    /// Versions last sent and not rejected.
    pub sent_versions: BTreeMap<Rc<str>, Version>,
    /// Names to send with ordinary priority.
    pub pending: BTreeSet<Rc<str>>,
    /// Names to send with urgent priority.
    pub pending_urgent: BTreeSet<Rc<str>>,
    /// Names that were in a rejected message with others. Each is sent in a message of its own, so that only the resource
    /// that is at fault stays rejected.
    pub send_separately: BTreeSet<Rc<str>>,
    /// A response is due even if there are no resources to send.
    pub is_response_due: bool,
    /// Everything that existed at the first request has been sent.
    pub is_initial_sync_done: bool,
    pub unacked: VecDeque<UnackedMessage>,
    pub nacked: BTreeMap<Rc<str>, Nack>,
    /// Versions at the proxy that are newer than those of this instance, and until when they are left as they are.
    pub newer_at_client: BTreeMap<Rc<str>, (Version, Duration)>,
}

impl Subscription {
    pub fn is_subscribed(&self, name: &str) -> bool {
        self.is_wildcard || self.names.contains(name)
    }

    pub fn enqueue(&mut self, name: &Rc<str>, is_urgent: bool) {
        if is_urgent {
            self.pending.remove(name);
            self.pending_urgent.insert(Rc::clone(name));
        } else if !self.pending_urgent.contains(name) {
            self.pending.insert(Rc::clone(name));
        }
    }

    /// Drops the state of names that are no longer subscribed to.
    pub fn drop_unsubscribed(&mut self) {
        let Self { is_wildcard, names, sent_versions, pending, pending_urgent, nacked, .. } = self;
        let is_subscribed = |name: &Rc<str>| *is_wildcard || names.contains(name);
        sent_versions.retain(|name, _| is_subscribed(name));
        nacked.retain(|name, _| is_subscribed(name));
        pending.retain(|name| is_subscribed(name));
        pending_urgent.retain(|name| is_subscribed(name));
    }

    /// Whether it names nothing but verdicts on zones.
    pub fn has_only_zones(&self) -> bool {
        !self.is_wildcard && self.names.iter().all(|name| parse_zone_resource_name(name).is_some())
    }

    pub fn is_idle(&self) -> bool {
        !self.is_response_due && self.pending.is_empty() && self.pending_urgent.is_empty()
    }
}

/// Handles the ACK or NACK in a request. It counts only if its nonce belongs to an unacknowledged message.
pub fn on_ack_or_nack(subscription: &mut Subscription, counters: &mut StreamCounters, request: &Request) {
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

pub fn subscribe_whole(
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

pub fn subscribe_delta(
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
pub fn versions_hash<'a>(versions: impl Iterator<Item = (&'a Rc<str>, &'a Version)>) -> String {
    let mut text = String::new();
    for (name, version) in versions {
        text.push_str(&format!("{name}={version};"));
    }
    format!("{:016x}", twox_hash::XxHash64::oneshot(0, text.as_bytes()))
}
