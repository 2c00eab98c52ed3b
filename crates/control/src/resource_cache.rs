//! The resources that are published now, by type and name, each with a version that identifies its content.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

/// The published resource types, in the order in which a proxy must receive them, so that no resource is referenced before
/// it exists. Notices (purges, terms of delivery services) and hosts depend on nothing; assignments carry the lease, so
/// they follow the resources that the lease covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceType {
    Notice,
    Cluster,
    Host,
    Assignment,
    Route,
}

/// All resource types, in the order in which they must be received.
pub const RESOURCE_TYPES: [ResourceType; 5] = [
    ResourceType::Notice,
    ResourceType::Cluster,
    ResourceType::Host,
    ResourceType::Assignment,
    ResourceType::Route,
];

impl ResourceType {
    /// The xDS type URL.
    pub fn type_url(self) -> &'static str {
        match self {
            ResourceType::Notice => "type.googleapis.com/envoy.config.core.v3.TypedExtensionConfig",
            ResourceType::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            ResourceType::Host => "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
            ResourceType::Assignment => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            ResourceType::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The resource type of a type URL. None for other types.
    pub fn from_type_url(url: &str) -> Option<Self> {
        RESOURCE_TYPES.into_iter().find(|resource_type| resource_type.type_url() == url)
    }

    /// Whether a state-of-the-world response of this type contains every subscribed resource, so that resources that it
    /// omits are removed.
    pub fn is_full_state(self) -> bool {
        self == ResourceType::Cluster
    }
}

/// Version of a resource. `content_hash` makes two instances with the same facts give the same version. `incarnation` and
/// `revision` order the versions of one resource where facts are ordered: for a host, its start and its state since
/// then (draining or not); for a purge, its time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub incarnation: u64,
    pub revision: u64,
    pub content_hash: u64,
}

impl Version {
    /// Creates a version for the given content.
    pub fn new(incarnation: u64, revision: u64, body: &[u8]) -> Self {
        Self { incarnation, revision, content_hash: twox_hash::XxHash64::oneshot(0, body) }
    }

    /// Whether this version states a later fact about the same resource, whatever its content.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{:x}.{:016x}", self.incarnation, self.revision, self.content_hash)
    }
}

impl FromStr for Version {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('.').map(|part| u64::from_str_radix(part, 16));
        match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some(Ok(incarnation)), Some(Ok(revision)), Some(Ok(content_hash)), None) => {
                Ok(Self { incarnation, revision, content_hash })
            }
            _ => Err(()),
        }
    }
}

/// A published resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    pub version: Version,
    /// The encoded protobuf message.
    pub body: Rc<[u8]>,
    /// Whether it is sent with a time to live and renewed by heartbeats.
    pub is_leased: bool,
}

/// The published resources by type and name.
#[derive(Default)]
pub struct ResourceCache {
    by_type: [BTreeMap<Rc<str>, Resource>; RESOURCE_TYPES.len()],
}

impl ResourceCache {
    /// Returns a resource.
    pub fn get(&self, resource_type: ResourceType, name: &str) -> Option<&Resource> {
        self.by_type[resource_type as usize].get(name)
    }

    /// Returns a resource with its shared name.
    pub fn entry(&self, resource_type: ResourceType, name: &str) -> Option<(&Rc<str>, &Resource)> {
        self.by_type[resource_type as usize].get_key_value(name)
    }

    /// All resources of a type, sorted by name.
    pub fn all(&self, resource_type: ResourceType) -> impl Iterator<Item = (&Rc<str>, &Resource)> {
        self.by_type[resource_type as usize].iter()
    }

    /// Inserts a resource, or removes it (None). Returns its name if anything changed.
    pub fn put(
        &mut self,
        resource_type: ResourceType,
        name: &str,
        resource: Option<Resource>,
    ) -> Option<Rc<str>> {
        let resources = &mut self.by_type[resource_type as usize];
        let Some(resource) = resource else { return resources.remove_entry(name).map(|(name, _)| name) };
        let known = resources.get_key_value(name);
        if known.is_some_and(|(_, known)| known.version == resource.version) {
            return None;
        }
        let name = known.map_or_else(|| Rc::from(name), |(name, _)| Rc::clone(name));
        resources.insert(Rc::clone(&name), resource);
        Some(name)
    }
}
