//! What is published now: resources of each type by name, with versions that say their content.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

/// The published types of resources, in the order in which a proxy has to have them: nothing is named before it is
/// there. Notices (purges, terms of delivery services) and hosts stand on their own; assignments bring the lease, so
/// they come after what the lease vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceType {
    Notice,
    Cluster,
    Host,
    Assignment,
    Route,
}

pub const RESOURCE_TYPES: [ResourceType; 5] = [
    ResourceType::Notice,
    ResourceType::Cluster,
    ResourceType::Host,
    ResourceType::Assignment,
    ResourceType::Route,
];

impl ResourceType {
    pub fn type_url(self) -> &'static str {
        match self {
            ResourceType::Notice => "type.googleapis.com/envoy.config.core.v3.TypedExtensionConfig",
            ResourceType::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            ResourceType::Host => "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
            ResourceType::Assignment => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            ResourceType::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    pub fn from_type_url(url: &str) -> Option<Self> {
        RESOURCE_TYPES.into_iter().find(|resource_type| resource_type.type_url() == url)
    }

    /// A state-of-the-world answer of this type holds all that is wanted, so that what it lacks is gone.
    pub fn is_full_state(self) -> bool {
        self == ResourceType::Cluster
    }
}

/// Says the content_hash, so that two instances with the same news give it the same version. `incarnation` and `revision` order the
/// versions of one resource where facts are ordered: a host's incarnation by its start and its standing in it, a purge by time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub incarnation: u64,
    pub revision: u64,
    pub content_hash: u64,
}

impl Version {
    pub fn new(incarnation: u64, revision: u64, body: &[u8]) -> Self {
        Self { incarnation, revision, content_hash: twox_hash::XxHash64::oneshot(0, body) }
    }

    /// A later fact of the same resource, whatever else it says.
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    pub version: Version,
    /// The message, as protobuf has it.
    pub body: Rc<[u8]>,
    /// It goes out with a time to live and is renewed.
    pub is_leased: bool,
}

#[derive(Default)]
pub struct ResourceCache {
    by_type: [BTreeMap<Rc<str>, Resource>; RESOURCE_TYPES.len()],
}

impl ResourceCache {
    pub fn get(&self, resource_type: ResourceType, name: &str) -> Option<&Resource> {
        self.by_type[resource_type as usize].get(name)
    }

    /// With the name as it is kept here.
    pub fn entry(&self, resource_type: ResourceType, name: &str) -> Option<(&Rc<str>, &Resource)> {
        self.by_type[resource_type as usize].get_key_value(name)
    }

    pub fn all(&self, resource_type: ResourceType) -> impl Iterator<Item = (&Rc<str>, &Resource)> {
        self.by_type[resource_type as usize].iter()
    }

    /// Puts a resource there or takes it away; its name if that changed anything.
    pub fn put(
        &mut self,
        resource_type: ResourceType,
        name: &str,
        resource: Option<Resource>,
    ) -> Option<Rc<str>> {
        let resource_type = &mut self.by_type[resource_type as usize];
        let Some(resource) = resource else { return resource_type.remove_entry(name).map(|(name, _)| name) };
        let known = resource_type.get_key_value(name);
        if known.is_some_and(|(_, known)| known.version == resource.version) {
            return None;
        }
        let name = known.map_or_else(|| Rc::from(name), |(name, _)| Rc::clone(name));
        resource_type.insert(Rc::clone(&name), resource);
        Some(name)
    }
}
