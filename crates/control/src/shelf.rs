//! What is published now: resources of each type by name, with versions that say their content.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

/// The published types of resources, in the order in which a proxy has to have them: nothing is named before it is
/// there. Notices (purges, terms of delivery services) and hosts stand on their own; assignments bring the lease, so
/// they come after what the lease vouches for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Notice,
    Cluster,
    Host,
    Assignment,
    Route,
}

pub const KINDS: [Kind; 5] = [Kind::Notice, Kind::Cluster, Kind::Host, Kind::Assignment, Kind::Route];

impl Kind {
    pub fn url(self) -> &'static str {
        match self {
            Kind::Notice => "type.googleapis.com/envoy.config.core.v3.TypedExtensionConfig",
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Host => "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
            Kind::Assignment => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    pub fn of(url: &str) -> Option<Self> {
        KINDS.into_iter().find(|kind| kind.url() == url)
    }

    /// A state-of-the-world answer of this type holds all that is wanted, so that what it lacks is gone.
    pub fn whole(self) -> bool {
        self == Kind::Cluster
    }
}

/// Says the content, so that two instances with the same news give it the same version. `life` and `step` order the
/// versions of one resource where facts are ordered: a host's life by its start and its standing in it, a purge by time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub life: u64,
    pub step: u64,
    pub content: u64,
}

impl Version {
    pub fn of(life: u64, step: u64, body: &[u8]) -> Self {
        Self { life, step, content: twox_hash::XxHash64::oneshot(0, body) }
    }

    /// A later fact of the same resource, whatever else it says.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        (self.life, self.step) > (other.life, other.step)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{:x}.{:016x}", self.life, self.step, self.content)
    }
}

impl FromStr for Version {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('.').map(|part| u64::from_str_radix(part, 16));
        match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some(Ok(life)), Some(Ok(step)), Some(Ok(content)), None) => Ok(Self { life, step, content }),
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
    pub leased: bool,
}

#[derive(Default)]
pub struct Shelf {
    kinds: [BTreeMap<Rc<str>, Resource>; KINDS.len()],
}

impl Shelf {
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.kinds[kind as usize].get(name)
    }

    /// With the name as it is kept here.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<(&Rc<str>, &Resource)> {
        self.kinds[kind as usize].get_key_value(name)
    }

    pub fn all(&self, kind: Kind) -> impl Iterator<Item = (&Rc<str>, &Resource)> {
        self.kinds[kind as usize].iter()
    }

    /// Puts a resource there or takes it away; its name if that changed anything.
    pub fn put(&mut self, kind: Kind, name: &str, resource: Option<Resource>) -> Option<Rc<str>> {
        let kind = &mut self.kinds[kind as usize];
        let Some(resource) = resource else { return kind.remove_entry(name).map(|(name, _)| name) };
        let known = kind.get_key_value(name);
        if known.is_some_and(|(_, known)| known.version == resource.version) {
            return None;
        }
        let name = known.map_or_else(|| Rc::from(name), |(name, _)| Rc::clone(name));
        kind.insert(Rc::clone(&name), resource);
        Some(name)
    }
}
