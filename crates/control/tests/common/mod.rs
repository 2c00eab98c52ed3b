//! A fleet, an server and followers, without sockets.
#![allow(dead_code)]

use myrtlegauge_control::ads_server::{
    AdsServer, Message, PRIORITIES, Priority, ProtocolVariant, Request, StreamId,
};
use myrtlegauge_control::fleet::Fleet;
use myrtlegauge_control::follower::{Follower, GetKey, nonce_unix_ms, subscriptions};
use myrtlegauge_control::lease::Lease;
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

pub struct World {
    pub fleet: Fleet,
    pub server: AdsServer,
    pub now: Duration,
}

pub fn line(name: &str, status: &'static str, since_unix_ms: u64) -> Endpoint<'static> {
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

impl World {
    pub fn new(caches: usize, parents: usize) -> Self {
        Self::leasing(caches, parents, lease())
    }

    pub fn leasing(caches: usize, parents: usize, lease: Lease) -> Self {
        // A cold host's budget in work is this router's alone; a follower has its part of the keys.
        let text = EXAMPLE.replace("(falls-at 2))", "(falls-at 2) (falls-in 1h))");
        let file = myrtlegauge_operator::read(&text).expect("the example has no fault");
        let clock = Clock::start();
        let now = clock.now();
        let fleet = Fleet::new(&file.facts, 7, clock).unwrap();
        let mut world = Self { fleet, server: AdsServer::new(lease, 64), now };
        let mut lines: Vec<_> = (0..caches).map(|n| line(&format!("cache-{n}"), "active", 0)).collect();
        lines.extend((0..parents).map(|n| line(&format!("parent-{}", 1000 + n), "active", 0)));
        lines.push(line("origin-2000", "active", 0));
        world.fleet.on_host_list(&lines, true, now);
        world.server.set_ready();
        world.publish();
        world
    }

    pub fn unix_ms(&self) -> u64 {
        self.fleet.clock().unix_ms(self.now)
    }

    pub fn publish(&mut self) {
        let unix_ms = self.unix_ms();
        self.fleet.publish(&mut self.server, 1, self.now, unix_ms);
    }

    pub fn told(&mut self, name: &str, status: &'static str, since_unix_ms: u64) {
        self.fleet.on_host_list(&[line(name, status, since_unix_ms)], false, self.now);
        self.publish();
    }

    pub fn purge(&mut self, object: Option<&'static str>, bucket: Option<u64>, unix_ms: f64) {
        self.fleet.on_purge(&Purge { object: object.map(Cow::Borrowed), bucket, unix_ms }, self.now);
        self.publish();
    }

    pub fn pass(&mut self, by: Duration) {
        self.now += by;
        self.fleet.on_timer(self.now);
        self.publish();
        self.server.advance(self.now);
    }

    /// The next message to a stream, of the most pressing lane that has one.
    pub fn next(&mut self, id: StreamId) -> Option<Message> {
        let unix_ms = self.unix_ms();
        PRIORITIES.into_iter().find_map(|lane| self.server.next_message(id, lane, self.now, unix_ms))
    }
}

/// A proxy on one stream.
pub struct Proxy {
    pub form: ProtocolVariant,
    pub stream: StreamId,
    pub follower: Follower,
    /// What it would tell on a new stream: names and versions that it holds, and of the whole types the last version.
    pub holds: std::collections::BTreeMap<(ResourceType, String), String>,
    pub last: std::collections::BTreeMap<ResourceType, String>,
    /// What it refuses, by name.
    pub refuses: Option<String>,
    pub got: Vec<(Priority, ResourceType, usize)>,
}

impl Proxy {
    pub fn join(world: &mut World, form: ProtocolVariant) -> Self {
        let mut proxy = Self {
            form,
            stream: 0,
            follower: Follower::default(),
            holds: Default::default(),
            last: Default::default(),
            refuses: None,
            got: Vec::new(),
        };
        proxy.open(world);
        proxy
    }

    pub fn open(&mut self, world: &mut World) {
        self.stream = world.server.open_stream(self.form, "test", world.now).unwrap();
        world.server.advance(world.now);
        for (resource_type, names) in subscriptions(self.form) {
            let mut request = Request { type_url: resource_type.type_url().into(), ..Request::default() };
            request.resource_names = names.iter().map(|name| (*name).to_owned()).collect();
            match self.form {
                ProtocolVariant::Whole => {
                    request.accepted_version = self.last.get(&resource_type).cloned().unwrap_or_default()
                }
                ProtocolVariant::Delta => {
                    let held = self.holds.iter().filter(|((of, _), _)| *of == resource_type);
                    request.held_versions =
                        held.map(|((_, name), version)| (name.clone(), version.clone())).collect();
                }
            }
            world.server.on_request(self.stream, &request, world.now).unwrap();
        }
    }

    pub fn reopen(&mut self, world: &mut World) {
        world.server.close_stream(self.stream);
        self.open(world);
    }

    /// Takes a message; the answer that it gives.
    pub fn take(&mut self, message: &Message, now_ms: u64) -> Request {
        let mut error = None;
        self.got.push((
            message.priority,
            message.resource_type,
            message.resources.len() + message.removed.len(),
        ));
        let refused = |name: &str| self.refuses.as_deref() == Some(name);
        if message.resources.iter().any(|sent| sent.body.is_some() && refused(&sent.name)) {
            error = Some("not to be had".to_owned());
        }
        if error.is_none() {
            for sent in &message.resources {
                if let Some(body) = &sent.body {
                    if let Err(why) = self.follower.apply(message.resource_type, &sent.name, body, now_ms) {
                        error = Some(why.to_owned());
                        break;
                    }
                    self.holds
                        .insert((message.resource_type, sent.name.to_string()), sent.version.to_string());
                }
                if let Some(ttl) = sent.ttl {
                    self.follower.extend_lease(ttl, nonce_unix_ms(&message.nonce).unwrap(), now_ms);
                }
            }
            for name in &message.removed {
                self.follower.remove(message.resource_type, name, now_ms);
                self.holds.remove(&(message.resource_type, name.to_string()));
            }
            self.last.insert(message.resource_type, message.version.clone());
        }
        let names = if self.form == ProtocolVariant::Whole {
            let asked = subscriptions(self.form)
                .into_iter()
                .find(|(resource_type, _)| *resource_type == message.resource_type);
            asked.map(|(_, names)| names.iter().map(|name| (*name).to_owned()).collect()).unwrap_or_default()
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

    /// Takes all there is and answers it.
    pub fn drain(&mut self, world: &mut World) -> usize {
        let mut count = 0;
        while let Some(message) = world.next(self.stream) {
            let answer = self.take(&message, world.unix_ms());
            world.server.on_request(self.stream, &answer, world.now).unwrap();
            count += 1;
            assert!(count < 10_000, "a stream without an end");
        }
        count
    }

    /// Its choice of cache and source for a key.
    pub fn choice(
        &mut self,
        object: u64,
        now_ms: u64,
    ) -> Result<(String, Option<String>, bool, Duration), String> {
        let asked = GetKey { service: "product-photo", object, chunk: 0, group: object % 256 };
        let chosen = self.follower.choose(&asked, [None, None], |_| 0, now_ms);
        let told = chosen.map(|c| {
            (c.cache.name.clone(), c.source.map(|s| s.name.clone()), c.only_if_cached, c.max_accepted_age)
        });
        told.map_err(|why| format!("{why:?}"))
    }
}
