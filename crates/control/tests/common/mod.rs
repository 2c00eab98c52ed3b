//! A fleet, an ADS server and followers, connected without sockets.
#![allow(dead_code)]

use myrtlegauge_control::ads_server::{
    AdsServer, Message, PRIORITIES, Priority, ProtocolVariant, Request, StreamId,
};
use myrtlegauge_control::copy_refusals::COPY_REFUSALS_FEATURE;
use myrtlegauge_control::fleet::Fleet;
use myrtlegauge_control::follower::{Follower, GetKey, nonce_unix_ms, subscriptions};
use myrtlegauge_control::lease::Lease;
use myrtlegauge_control::messages::{BY_HOST_CLUSTER, zone_resource_name};
use myrtlegauge_control::resource_cache::ResourceType;
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::protocol::changelog::{Endpoint, Purge};
use std::borrow::Cow;
use std::time::Duration;

pub const EXAMPLE: &str = include_str!("../../../../deploy/control.sexp");

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn lease() -> Lease {
    Lease::from_grace_periods(ms(250), ms(1000), ms(10))
}

/// The state of a control service with a time that tests advance.
pub struct TestControlPlane {
    pub fleet: Fleet,
    pub server: AdsServer,
    pub now: Duration,
}

pub fn host_entry(name: &str, status: &'static str, since_unix_ms: u64) -> Endpoint<'static> {
    let (kind, zone) = match name.split('-').next() {
        Some("cache") => ("standard", "edge"),
        Some("parent") => ("parent", "hub"),
        _ => ("origin", "hub"),
    };
    let port = 19000 + name.rsplit('-').next().unwrap().parse::<u16>().unwrap();
    Endpoint {
        name: Cow::Owned(name.to_owned()),
        address: Cow::Owned(format!("127.0.0.1:{port}")),
        zone: Cow::Borrowed(zone),
        kind: Cow::Borrowed(kind),
        group: Some(0),
        status: Cow::Borrowed(status),
        weight: Some(4.0),
        since_ms: Some(since_unix_ms as f64),
    }
}

impl TestControlPlane {
    pub fn new(caches: usize, parents: usize) -> Self {
        Self::with_lease(caches, parents, lease())
    }

    pub fn with_lease(caches: usize, parents: usize, lease: Lease) -> Self {
        // The slow-start budget in work applies to this router alone; a follower only knows the key fraction of a cold host.
        let text = EXAMPLE.replace("(falls-at 2))", "(falls-at 2) (falls-in 1h))");
        let file = myrtlegauge_operator::read(&text).expect("the example file is valid");
        let clock = Clock::start();
        let now = clock.now();
        let fleet = Fleet::new(&file.decision_settings, 7, clock).unwrap();
        let mut control = Self { fleet, server: AdsServer::new(lease, 64), now };
        let mut entries: Vec<_> =
            (0..caches).map(|index| host_entry(&format!("cache-{index}"), "active", 0)).collect();
        entries
            .extend((0..parents).map(|index| host_entry(&format!("parent-{}", 1000 + index), "active", 0)));
        entries.push(host_entry("origin-2000", "active", 0));
        control.fleet.on_host_list(&entries, true, now);
        control.server.set_ready();
        control.publish();
        control
    }

    pub fn unix_ms(&self) -> u64 {
        self.fleet.clock().unix_ms(self.now)
    }

    pub fn publish(&mut self) {
        let unix_ms = self.unix_ms();
        self.fleet.publish(&mut self.server, 1, self.now, unix_ms);
    }

    pub fn list_host(&mut self, name: &str, status: &'static str, since_unix_ms: u64) {
        self.fleet.on_host_list(&[host_entry(name, status, since_unix_ms)], false, self.now);
        self.publish();
    }

    pub fn purge(&mut self, object: Option<&'static str>, bucket: Option<u64>, unix_ms: f64) {
        self.fleet.on_purge(&Purge { object: object.map(Cow::Borrowed), bucket, unix_ms });
        self.publish();
    }

    pub fn advance_time(&mut self, by: Duration) {
        self.now += by;
        self.fleet.on_timer(self.now);
        self.publish();
        self.server.advance(self.now);
    }

    /// The next message to a stream, of the highest priority that has one.
    pub fn next(&mut self, id: StreamId) -> Option<Message> {
        let unix_ms = self.unix_ms();
        PRIORITIES.into_iter().find_map(|priority| self.server.next_message(id, priority, self.now, unix_ms))
    }
}

/// A proxy on one stream.
pub struct Proxy {
    pub variant: ProtocolVariant,
    /// The parts of the protocol that it supports.
    pub client_features: Vec<String>,
    /// The names that it subscribes to.
    pub subscriptions: Vec<(ResourceType, Vec<String>)>,
    pub stream: StreamId,
    pub follower: Follower,
    /// Sent on a new delta stream: the names and versions that it holds.
    pub held_versions: std::collections::BTreeMap<(ResourceType, String), String>,
    /// Sent on a new state-of-the-world stream: the last version of each type.
    pub last_versions: std::collections::BTreeMap<ResourceType, String>,
    /// The name of the resource that it rejects.
    pub rejected_name: Option<String>,
    pub received: Vec<(Priority, ResourceType, usize)>,
}

impl Proxy {
    pub fn connect(control: &mut TestControlPlane, variant: ProtocolVariant) -> Self {
        Self::connect_with_features(control, variant, &[COPY_REFUSALS_FEATURE])
    }

    /// A dispatcher that follows the verdicts on a zone alone.
    pub fn connect_to_zones(control: &mut TestControlPlane, zone: &str) -> Self {
        let names = [
            (ResourceType::Notice, vec![zone_resource_name(zone)]),
            (ResourceType::Assignment, vec![BY_HOST_CLUSTER.to_owned()]),
        ];
        Self::open_new(control, ProtocolVariant::Delta, &[], names.into())
    }

    /// A proxy of a version that supports these parts of the protocol.
    pub fn connect_with_features(
        control: &mut TestControlPlane,
        variant: ProtocolVariant,
        features: &[&str],
    ) -> Self {
        let owned = |names: Vec<&str>| names.into_iter().map(str::to_owned).collect();
        let names =
            subscriptions(variant).into_iter().map(|(resource_type, names)| (resource_type, owned(names)));
        Self::open_new(control, variant, features, names.collect())
    }

    fn open_new(
        control: &mut TestControlPlane,
        variant: ProtocolVariant,
        features: &[&str],
        subscriptions: Vec<(ResourceType, Vec<String>)>,
    ) -> Self {
        let mut proxy = Self {
            variant,
            client_features: features.iter().map(|&feature| feature.to_owned()).collect(),
            subscriptions,
            stream: 0,
            follower: Follower::default(),
            held_versions: Default::default(),
            last_versions: Default::default(),
            rejected_name: None,
            received: Vec::new(),
        };
        proxy.open(control);
        proxy
    }

    pub fn open(&mut self, control: &mut TestControlPlane) {
        self.stream = control.server.open_stream(self.variant, "test", control.now).unwrap();
        control.server.advance(control.now);
        control.server.set_client_features(self.stream, &self.client_features);
        for (resource_type, names) in self.subscriptions.clone() {
            let mut request = Request { type_url: resource_type.type_url().into(), ..Request::default() };
            request.resource_names = names;
            match self.variant {
                ProtocolVariant::Whole => {
                    request.accepted_version =
                        self.last_versions.get(&resource_type).cloned().unwrap_or_default()
                }
                ProtocolVariant::Delta => {
                    let held =
                        self.held_versions.iter().filter(|((held_type, _), _)| *held_type == resource_type);
                    request.held_versions =
                        held.map(|((_, name), version)| (name.clone(), version.clone())).collect();
                }
            }
            control.server.on_request(self.stream, &request, control.now).unwrap();
        }
    }

    pub fn reopen(&mut self, control: &mut TestControlPlane) {
        control.server.close_stream(self.stream);
        self.open(control);
    }

    /// Handles a message and returns the response to it.
    pub fn handle(&mut self, message: &Message, now_ms: u64) -> Request {
        let mut error = None;
        self.received.push((
            message.priority,
            message.resource_type,
            message.resources.len() + message.removed.len(),
        ));
        let is_rejected = |name: &str| self.rejected_name.as_deref() == Some(name);
        if message.resources.iter().any(|resource| resource.body.is_some() && is_rejected(&resource.name)) {
            error = Some("rejected by the test".to_owned());
        }
        if error.is_none() {
            for resource in &message.resources {
                if let Some(body) = &resource.body {
                    if let Err(reason) =
                        self.follower.apply(message.resource_type, &resource.name, body, now_ms)
                    {
                        error = Some(reason.to_owned());
                        break;
                    }
                    self.held_versions.insert(
                        (message.resource_type, resource.name.to_string()),
                        resource.version.to_string(),
                    );
                }
                if let Some(ttl) = resource.ttl {
                    self.follower.extend_lease(ttl, nonce_unix_ms(&message.nonce).unwrap(), now_ms);
                }
            }
            for name in &message.removed {
                self.follower.remove(message.resource_type, name, now_ms);
                self.held_versions.remove(&(message.resource_type, name.to_string()));
            }
            self.last_versions.insert(message.resource_type, message.version.clone());
        }
        let names = if self.variant == ProtocolVariant::Whole {
            let subscription = subscriptions(self.variant)
                .into_iter()
                .find(|(resource_type, _)| *resource_type == message.resource_type);
            subscription
                .map(|(_, names)| names.iter().map(|name| (*name).to_owned()).collect())
                .unwrap_or_default()
        } else {
            Vec::new()
        };
        Request {
            type_url: message.resource_type.type_url().into(),
            resource_names: names,
            accepted_version: message.version.clone(),
            nonce: message.nonce.clone(),
            error_detail: error,
            ..Request::default()
        }
    }

    /// Handles and acknowledges every pending message. Returns their number.
    pub fn handle_all(&mut self, control: &mut TestControlPlane) -> usize {
        let mut count = 0;
        while let Some(message) = control.next(self.stream) {
            let answer = self.handle(&message, control.unix_ms());
            control.server.on_request(self.stream, &answer, control.now).unwrap();
            count += 1;
            assert!(count < 10_000, "the stream does not become idle");
        }
        count
    }

    /// Its choice for a key: cache, source, whether the source only answers from its cache, and the accepted age.
    pub fn choice(
        &mut self,
        object: u64,
        now_ms: u64,
    ) -> Result<(String, Option<String>, bool, Duration), String> {
        let get = GetKey { service: "product-photo", object, chunk: 0, group: object % 256 };
        let chosen = self.follower.choose(&get, [None, None], |_| 0, now_ms);
        let choice = chosen.map(|choice| {
            let source = choice.source.map(|source| source.name.clone());
            (choice.cache.name.clone(), source, choice.only_if_cached, choice.max_accepted_age)
        });
        choice.map_err(|reason| format!("{reason:?}"))
    }
}
