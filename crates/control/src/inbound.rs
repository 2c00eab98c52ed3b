//! What a follower reads off the published streams, and what it answers.

use crate::exchange::Form;
use crate::follower::{Follower, subscriptions, written_at};
use crate::shelf::Kind;
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
pub struct Told {
    pub kind: Option<Kind>,
    pub url: String,
    pub version: String,
    pub nonce: String,
    pub resources: Vec<ToldResource>,
    pub removed: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct ToldResource {
    pub name: String,
    pub version: String,
    /// None: the time to live alone.
    pub body: Option<Vec<u8>>,
    pub ttl: Option<Duration>,
}

fn wrapped(resource: Resource) -> ToldResource {
    let ttl = resource.ttl.map(|ttl| {
        Duration::new(ttl.seconds.try_into().unwrap_or(0), ttl.nanos.clamp(0, 999_999_999) as u32)
    });
    let body = resource.resource.map(|any| any.value);
    ToldResource { name: resource.name, version: resource.version, body, ttl }
}

impl From<DiscoveryResponse> for Told {
    fn from(response: DiscoveryResponse) -> Self {
        let resources = response.resources.into_iter().map(|any| {
            if any.type_url != Resource::type_url() {
                return ToldResource { body: Some(any.value), ..ToldResource::default() };
            }
            Resource::decode(&*any.value).map(wrapped).unwrap_or_default()
        });
        Self {
            kind: Kind::of(&response.type_url),
            url: response.type_url,
            version: response.version_info,
            nonce: response.nonce,
            resources: resources.collect(),
            removed: Vec::new(),
        }
    }
}

impl From<DeltaDiscoveryResponse> for Told {
    fn from(response: DeltaDiscoveryResponse) -> Self {
        Self {
            kind: Kind::of(&response.type_url),
            url: response.type_url,
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
    form: Form,
    node: String,
    /// What a new stream is told that it holds.
    holds: BTreeMap<(Kind, String), String>,
    accepted: BTreeMap<Kind, String>,
}

impl Session {
    pub fn new(form: Form, node: &str) -> Self {
        Self {
            follower: Follower::default(),
            form,
            node: node.to_owned(),
            holds: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }

    pub fn form(&self) -> Form {
        self.form
    }

    fn node(&self) -> Option<Node> {
        Some(Node { id: self.node.clone(), ..Default::default() })
    }

    /// The first requests of a new stream.
    pub fn begin_whole(&self) -> Vec<DiscoveryRequest> {
        let asked = subscriptions(Form::Whole).into_iter().map(|(kind, names)| DiscoveryRequest {
            version_info: self.accepted.get(&kind).cloned().unwrap_or_default(),
            node: self.node(),
            resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
            type_url: kind.url().into(),
            ..Default::default()
        });
        asked.collect()
    }

    pub fn begin_delta(&self) -> Vec<DeltaDiscoveryRequest> {
        let asked = subscriptions(Form::Delta).into_iter().map(|(kind, names)| {
            let held = self.holds.iter().filter(|((of, _), _)| *of == kind);
            DeltaDiscoveryRequest {
                node: self.node(),
                type_url: kind.url().into(),
                resource_names_subscribe: names.iter().map(|name| (*name).to_owned()).collect(),
                initial_resource_versions: held.map(|((_, name), v)| (name.clone(), v.clone())).collect(),
                ..Default::default()
            }
        });
        asked.collect()
    }

    /// Takes a response; why it is refused, if it is. What could be used of one that is refused stays: a drain or a purge
    /// beside what can't be read is not lost.
    pub fn take(&mut self, told: &Told, now_ms: u64) -> Result<(), String> {
        let Some(kind) = told.kind else { return Err(format!("{} is not a type known here", told.url)) };
        let mut refused = Ok(());
        for resource in &told.resources {
            if let Some(body) = &resource.body {
                match self.follower.take(kind, &resource.name, body, now_ms) {
                    Ok(()) => {
                        let name = (kind, resource.name.clone());
                        self.holds.insert(name, resource.version.clone());
                    }
                    Err(why) => refused = Err(format!("{}: {why}", resource.name)),
                }
            }
        }
        for name in &told.removed {
            self.follower.removed(kind, name, now_ms);
            self.holds.remove(&(kind, name.clone()));
        }
        if refused.is_ok() {
            self.accepted.insert(kind, told.version.clone());
            // The lease vouches for what was taken; one that came with what was refused vouches for nothing.
            let ttl = told.resources.iter().filter_map(|resource| resource.ttl).max();
            if let (Some(ttl), Some(written)) = (ttl, written_at(&told.nonce)) {
                self.follower.leased(ttl, written, now_ms);
            }
        }
        refused
    }

    /// The answer to a response.
    pub fn answer_whole(&self, told: &Told, refused: Option<String>) -> DiscoveryRequest {
        let names = subscriptions(Form::Whole).into_iter().find(|(kind, _)| Some(*kind) == told.kind);
        let names = names.map(|(_, names)| names).unwrap_or_default();
        DiscoveryRequest {
            version_info: told.kind.and_then(|kind| self.accepted.get(&kind).cloned()).unwrap_or_default(),
            resource_names: names.iter().map(|name| (*name).to_owned()).collect(),
            type_url: told.url.clone(),
            response_nonce: told.nonce.clone(),
            error_detail: refused.map(|message| Status { code: INVALID, message, ..Default::default() }),
            ..Default::default()
        }
    }

    pub fn answer_delta(&self, told: &Told, refused: Option<String>) -> DeltaDiscoveryRequest {
        DeltaDiscoveryRequest {
            type_url: told.url.clone(),
            response_nonce: told.nonce.clone(),
            error_detail: refused.map(|message| Status { code: INVALID, message, ..Default::default() }),
            ..Default::default()
        }
    }
}
