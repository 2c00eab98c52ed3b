//! The client side of an ADS stream: decodes responses, applies them to a follower and builds the requests.

use crate::ads_server::ProtocolVariant;
use crate::copy_refusals::COPY_REFUSALS_FEATURE;
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

/// The gRPC status code of a NACK.
const INVALID_ARGUMENT: i32 = 3;

/// A discovery response of either protocol variant.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub resource_type: Option<ResourceType>,
    pub type_url: String,
    pub version: String,
    pub nonce: String,
    pub resources: Vec<ReceivedResource>,
    pub removed: Vec<String>,
}

/// A resource in a response.
#[derive(Clone, Debug, Default)]
pub struct ReceivedResource {
    pub name: String,
    pub version: String,
    /// None: the resource only renews its time to live.
    pub body: Option<Vec<u8>>,
    pub ttl: Option<Duration>,
}

fn from_wrapper(resource: Resource) -> ReceivedResource {
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
            Resource::decode(&*any.value).map(from_wrapper).unwrap_or_default()
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
            resources: response.resources.into_iter().map(from_wrapper).collect(),
            removed: response.removed_resources,
        }
    }
}

/// A follower with the state that it keeps from stream to stream.
pub struct Session {
    pub follower: Follower,
    variant: ProtocolVariant,
    node: String,
    /// Versions that it holds, sent in the first requests of a new delta stream.
    held_versions: BTreeMap<(ResourceType, String), String>,
    accepted_versions: BTreeMap<ResourceType, String>,
}

impl Session {
    /// Creates a session without received state. `node` is the node name sent to the control service.
    pub fn new(variant: ProtocolVariant, node: &str) -> Self {
        Self {
            follower: Follower::default(),
            variant,
            node: node.to_owned(),
            held_versions: BTreeMap::new(),
            accepted_versions: BTreeMap::new(),
        }
    }

    /// The protocol variant of the streams.
    pub fn variant(&self) -> ProtocolVariant {
        self.variant
    }

    fn node(&self) -> Option<Node> {
        Some(Node {
            id: self.node.clone(),
            client_features: vec![COPY_REFUSALS_FEATURE.to_owned()],
            ..Default::default()
        })
    }

    /// The first requests of a new state-of-the-world stream.
    pub fn initial_whole_requests(&self) -> Vec<DiscoveryRequest> {
        let requests = subscriptions(ProtocolVariant::Whole).into_iter().map(|(resource_type, names)| {
            DiscoveryRequest {
                version_info: self.accepted_versions.get(&resource_type).cloned().unwrap_or_default(),
                node: self.node(),
                resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
                type_url: resource_type.type_url().into(),
                ..Default::default()
            }
        });
        requests.collect()
    }

    /// The first requests of a new delta stream.
    pub fn initial_delta_requests(&self) -> Vec<DeltaDiscoveryRequest> {
        let requests = subscriptions(ProtocolVariant::Delta).into_iter().map(|(resource_type, names)| {
            let held = self.held_versions.iter().filter(|((held_type, _), _)| *held_type == resource_type);
            DeltaDiscoveryRequest {
                node: self.node(),
                type_url: resource_type.type_url().into(),
                resource_names_subscribe: names.iter().map(|name| (*name).to_owned()).collect(),
                initial_resource_versions: held
                    .map(|((_, name), version)| (name.clone(), version.clone()))
                    .collect(),
                ..Default::default()
            }
        });
        requests.collect()
    }

    /// Applies a response. The error is the reason for a NACK. The usable resources of a rejected response stay applied, so
    /// that a drain or a purge beside an unusable resource is not lost.
    pub fn apply(&mut self, response: &Response, now_ms: u64) -> Result<(), String> {
        let Some(resource_type) = response.resource_type else {
            return Err(format!("unknown resource type {}", response.type_url));
        };
        let mut outcome = Ok(());
        let refused_copies = !self.follower.copy_refusals().is_empty();
        for resource in &response.resources {
            if let Some(body) = &resource.body {
                match self.follower.apply(resource_type, &resource.name, body, now_ms) {
                    Ok(()) => {
                        let name = (resource_type, resource.name.clone());
                        self.held_versions.insert(name, resource.version.clone());
                    }
                    Err(error) => outcome = Err(format!("{}: {error}", resource.name)),
                }
            }
        }
        for name in &response.removed {
            self.follower.remove(resource_type, name, now_ms);
            self.held_versions.remove(&(resource_type, name.clone()));
        }
        self.log_copy_refusals(refused_copies, now_ms);
        if outcome.is_ok() {
            self.accepted_versions.insert(resource_type, response.version.clone());
            // A lease covers what was applied. A lease in a rejected response is ignored.
            let ttl = response.resources.iter().filter_map(|resource| resource.ttl).max();
            if let (Some(ttl), Some(written)) = (ttl, nonce_unix_ms(&response.nonce)) {
                self.follower.extend_lease(ttl, written, now_ms);
            }
        }
        outcome
    }

    /// Tells the operator of the proxy when copies will be refused, and when this ends or is called off.
    fn log_copy_refusals(&self, refused_copies: bool, now_ms: u64) {
        let refusals = self.follower.copy_refusals();
        match (refused_copies, refusals.starts_at_unix_ms()) {
            (false, Some(starts_at_ms)) => {
                let refused_in_ms = starts_at_ms.saturating_sub(now_ms);
                log::warn!(refused_in_ms; "older copies will be refused: the control service does not hear the change log");
            }
            (true, None) => log::info!("no copies are refused any more"),
            _ => {}
        }
    }

    /// The ACK, or with an error the NACK, of a state-of-the-world response.
    pub fn acknowledge_whole(&self, response: &Response, error: Option<String>) -> DiscoveryRequest {
        let names = subscriptions(ProtocolVariant::Whole)
            .into_iter()
            .find(|(resource_type, _)| Some(*resource_type) == response.resource_type);
        let names = names.map(|(_, names)| names).unwrap_or_default();
        DiscoveryRequest {
            version_info: response
                .resource_type
                .and_then(|resource_type| self.accepted_versions.get(&resource_type).cloned())
                .unwrap_or_default(),
            resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
            type_url: response.type_url.clone(),
            response_nonce: response.nonce.clone(),
            error_detail: error.map(|message| Status {
                code: INVALID_ARGUMENT,
                message,
                ..Default::default()
            }),
            ..Default::default()
        }
    }

    /// The ACK, or with an error the NACK, of a delta response.
    pub fn acknowledge_delta(&self, response: &Response, error: Option<String>) -> DeltaDiscoveryRequest {
        DeltaDiscoveryRequest {
            type_url: response.type_url.clone(),
            response_nonce: response.nonce.clone(),
            error_detail: error.map(|message| Status {
                code: INVALID_ARGUMENT,
                message,
                ..Default::default()
            }),
            ..Default::default()
        }
    }
}
