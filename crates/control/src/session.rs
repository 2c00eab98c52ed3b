//! What a follower reads off the published streams, and what it answers.

use crate::ads_server::ProtocolVariant;
use crate::follower::{Follower, nonce_unix_ms, subscriptions};
use crate::resource_cache::ResourceType;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::rpc::Status;
use prost::{Message, Name};
use std::collections::BTreeMap;
use std::time::Duration;

/// gRPC's code for what was refused.
const INVALID: i32 = 3;

/// A response of either form.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub resource_type: Option<ResourceType>,
    pub type_url: String,
    pub version: String,
    pub nonce: String,
    pub resources: Vec<ReceivedResource>,
    pub removed: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct ReceivedResource {
    pub name: String,
    pub version: String,
    /// None: the time to live alone.
    pub body: Option<Vec<u8>>,
    pub ttl: Option<Duration>,
}

fn wrapped(resource: Resource) -> ReceivedResource {
    let ttl = resource.ttl.map(|ttl| {
        Duration::new(ttl.seconds.try_into().unwrap_or(0), ttl.nanos.clamp(0, 999_999_999) as u32)
    });
    let body = resource.resource.map(|any| any.value);
    ReceivedResource { name: resource.name, version: resource.version, body, ttl }
}

impl From<DiscoveryResponse> for Response {
    fn from(response: DiscoveryResponse) -> Self {
        let resources = response.resources.into_iter().map(|any| {
            if any.type_url != Resource::type_url() {
                return ReceivedResource { body: Some(any.value), ..ReceivedResource::default() };
            }
            Resource::decode(&*any.value).map(wrapped).unwrap_or_default()
        });
        Self {
            resource_type: ResourceType::from_type_url(&response.type_url),
            type_url: response.type_url,
            version: response.version_info,
            nonce: response.nonce,
            resources: resources.collect(),
            removed: Vec::new(),
        }
    }
}

impl From<DeltaDiscoveryResponse> for Response {
    fn from(response: DeltaDiscoveryResponse) -> Self {
        Self {
            resource_type: ResourceType::from_type_url(&response.type_url),
            type_url: response.type_url,
            version: String::new(),
            nonce: response.nonce,
            resources: response.resources.into_iter().map(wrapped).collect(),
            removed: response.removed_resources,
        }
    }
}

/// A follower with what it must remember of its streams.
pub struct Session {
    pub follower: Follower,
    variant: ProtocolVariant,
    node: String,
    /// What a new stream is told that it holds.
    holds: BTreeMap<(ResourceType, String), String>,
    accepted: BTreeMap<ResourceType, String>,
}

impl Session {
    pub fn new(variant: ProtocolVariant, node: &str) -> Self {
        Self {
            follower: Follower::default(),
            variant,
            node: node.to_owned(),
            holds: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }

    pub fn variant(&self) -> ProtocolVariant {
        self.variant
    }

    fn node(&self) -> Option<Node> {
        Some(Node { id: self.node.clone(), ..Default::default() })
    }

    /// The first requests of a new stream.
    pub fn initial_whole_requests(&self) -> Vec<DiscoveryRequest> {
        let asked = subscriptions(ProtocolVariant::Whole).into_iter().map(|(resource_type, names)| {
            DiscoveryRequest {
                version_info: self.accepted.get(&resource_type).cloned().unwrap_or_default(),
                node: self.node(),
                resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
                type_url: resource_type.type_url().into(),
                ..Default::default()
            }
        });
        asked.collect()
    }

    pub fn initial_delta_requests(&self) -> Vec<DeltaDiscoveryRequest> {
        let asked = subscriptions(ProtocolVariant::Delta).into_iter().map(|(resource_type, names)| {
            let held = self.holds.iter().filter(|((of, _), _)| *of == resource_type);
            DeltaDiscoveryRequest {
                node: self.node(),
                type_url: resource_type.type_url().into(),
                resource_names_subscribe: names.iter().map(|name| (*name).to_owned()).collect(),
                initial_resource_versions: held.map(|((_, name), v)| (name.clone(), v.clone())).collect(),
                ..Default::default()
            }
        });
        asked.collect()
    }

    /// Takes a response; why it is refused, if it is. What could be used of one that is refused stays: a drain or a purge
    /// beside what can't be read is not lost.
    pub fn apply(&mut self, response: &Response, now_ms: u64) -> Result<(), String> {
        let Some(resource_type) = response.resource_type else {
            return Err(format!("{} is not a type known here", response.type_url));
        };
        let mut refused = Ok(());
        for resource in &response.resources {
            if let Some(body) = &resource.body {
                match self.follower.apply(resource_type, &resource.name, body, now_ms) {
                    Ok(()) => {
                        let name = (resource_type, resource.name.clone());
                        self.holds.insert(name, resource.version.clone());
                    }
                    Err(why) => refused = Err(format!("{}: {why}", resource.name)),
                }
            }
        }
        for name in &response.removed {
            self.follower.remove(resource_type, name, now_ms);
            self.holds.remove(&(resource_type, name.clone()));
        }
        if refused.is_ok() {
            self.accepted.insert(resource_type, response.version.clone());
            // The lease vouches for what was taken; one that came with what was refused vouches for nothing.
            let ttl = response.resources.iter().filter_map(|resource| resource.ttl).max();
            if let (Some(ttl), Some(written)) = (ttl, nonce_unix_ms(&response.nonce)) {
                self.follower.extend_lease(ttl, written, now_ms);
            }
        }
        refused
    }

    /// The answer to a response.
    pub fn acknowledge_whole(&self, response: &Response, refused: Option<String>) -> DiscoveryRequest {
        let names = subscriptions(ProtocolVariant::Whole)
            .into_iter()
            .find(|(resource_type, _)| Some(*resource_type) == response.resource_type);
        let names = names.map(|(_, names)| names).unwrap_or_default();
        DiscoveryRequest {
            version_info: response
                .resource_type
                .and_then(|resource_type| self.accepted.get(&resource_type).cloned())
                .unwrap_or_default(),
            resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
            type_url: response.type_url.clone(),
            response_nonce: response.nonce.clone(),
            error_detail: refused.map(|message| Status { code: INVALID, message, ..Default::default() }),
            ..Default::default()
        }
    }

    pub fn acknowledge_delta(&self, response: &Response, refused: Option<String>) -> DeltaDiscoveryRequest {
        DeltaDiscoveryRequest {
            type_url: response.type_url.clone(),
            response_nonce: response.nonce.clone(),
            error_detail: refused.map(|message| Status { code: INVALID, message, ..Default::default() }),
            ..Default::default()
        }
    }
}
