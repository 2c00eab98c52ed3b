//! A fleet, an exchange and followers, without sockets.
#![allow(dead_code)]

use myrtlegauge_control::exchange::{Exchange, Form, LANES, Lane, Message, Request, StreamId};
use myrtlegauge_control::fleet::Fleet;
use myrtlegauge_control::follower::{Asked, Follower, subscriptions, written_at};
use myrtlegauge_control::lease::Lease;
use myrtlegauge_control::shelf::Kind;
use myrtlegauge_wire::clock::Clock;
use myrtlegauge_wire::protocol::changelog::{Endpoint, Purge};
use std::borrow::Cow;
use std::time::Duration;

pub const EXAMPLE: &str = include_str!("../../../../deploy/control.sexp");

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn lease() -> Lease {
    Lease::of(ms(250), ms(1000), ms(10))
}

pub struct World {
    pub fleet: Fleet,
    pub exchange: Exchange,
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
        let fleet = Fleet::new(&file.decision_settings, 7, clock).unwrap();
        let mut world = Self { fleet, exchange: Exchange::new(lease, 64), now };
        let mut lines: Vec<_> = (0..caches).map(|n| line(&format!("cache-{n}"), "active", 0)).collect();
        lines.extend((0..parents).map(|n| line(&format!("parent-{}", 1000 + n), "active", 0)));
        lines.push(line("origin-2000", "active", 0));
        world.fleet.listed(&lines, true, now);
        world.exchange.begin();
        world.publish();
        world
    }

    pub fn unix_ms(&self) -> u64 {
        self.fleet.clock().unix_ms(self.now)
    }

    pub fn publish(&mut self) {
        let unix_ms = self.unix_ms();
        self.fleet.publish(&mut self.exchange, 1, self.now, unix_ms);
    }

    pub fn told(&mut self, name: &str, status: &'static str, since_unix_ms: u64) {
        self.fleet.listed(&[line(name, status, since_unix_ms)], false, self.now);
        self.publish();
    }

    pub fn purge(&mut self, object: Option<&'static str>, bucket: Option<u64>, unix_ms: f64) {
        self.fleet.purged(&Purge { object: object.map(Cow::Borrowed), bucket, unix_ms }, self.now);
        self.publish();
    }

    pub fn pass(&mut self, by: Duration) {
        self.now += by;
        self.fleet.tend(self.now);
        self.publish();
        self.exchange.turn(self.now);
    }

    /// The next message to a stream, of the most pressing lane that has one.
    pub fn next(&mut self, id: StreamId) -> Option<Message> {
        let unix_ms = self.unix_ms();
        LANES.into_iter().find_map(|lane| self.exchange.next(id, lane, self.now, unix_ms))
    }
}

/// A proxy on one stream.
pub struct Proxy {
    pub form: Form,
    pub stream: StreamId,
    pub follower: Follower,
    /// What it would tell on a new stream: names and versions that it holds, and of the whole types the last version.
    pub holds: std::collections::BTreeMap<(Kind, String), String>,
    pub last: std::collections::BTreeMap<Kind, String>,
    /// What it refuses, by name.
    pub refuses: Option<String>,
    pub got: Vec<(Lane, Kind, usize)>,
}

impl Proxy {
    pub fn join(world: &mut World, form: Form) -> Self {
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
        self.stream = world.exchange.open(self.form, "test", world.now).unwrap();
        world.exchange.turn(world.now);
        for (kind, names) in subscriptions(self.form) {
            let mut request = Request { url: kind.url().into(), ..Request::default() };
            request.names = names.iter().map(|name| (*name).to_owned()).collect();
            match self.form {
                Form::Whole => request.version = self.last.get(&kind).cloned().unwrap_or_default(),
                Form::Delta => {
                    let held = self.holds.iter().filter(|((of, _), _)| *of == kind);
                    request.holds =
                        held.map(|((_, name), version)| (name.clone(), version.clone())).collect();
                }
            }
            world.exchange.heard(self.stream, &request, world.now).unwrap();
        }
    }

    pub fn reopen(&mut self, world: &mut World) {
        world.exchange.close(self.stream);
        self.open(world);
    }

    /// Takes a message; the answer that it gives.
    pub fn take(&mut self, message: &Message, now_ms: u64) -> Request {
        let mut error = None;
        self.got.push((message.lane, message.kind, message.resources.len() + message.removed.len()));
        let refused = |name: &str| self.refuses.as_deref() == Some(name);
        if message.resources.iter().any(|sent| sent.body.is_some() && refused(&sent.name)) {
            error = Some("not to be had".to_owned());
        }
        if error.is_none() {
            for sent in &message.resources {
                if let Some(body) = &sent.body {
                    if let Err(why) = self.follower.take(message.kind, &sent.name, body, now_ms) {
                        error = Some(why.to_owned());
                        break;
                    }
                    self.holds.insert((message.kind, sent.name.to_string()), sent.version.to_string());
                }
                if let Some(ttl) = sent.ttl {
                    self.follower.leased(ttl, written_at(&message.nonce).unwrap(), now_ms);
                }
            }
            for name in &message.removed {
                self.follower.removed(message.kind, name, now_ms);
                self.holds.remove(&(message.kind, name.to_string()));
            }
            self.last.insert(message.kind, message.version.clone());
        }
        let names = if self.form == Form::Whole {
            let asked = subscriptions(self.form).into_iter().find(|(kind, _)| *kind == message.kind);
            asked.map(|(_, names)| names.iter().map(|name| (*name).to_owned()).collect()).unwrap_or_default()
        } else {
            Vec::new()
        };
        Request {
            url: message.kind.url().into(),
            names,
            version: message.version.clone(),
            nonce: message.nonce.clone(),
            error,
            ..Request::default()
        }
    }

    /// Takes all there is and answers it.
    pub fn drain(&mut self, world: &mut World) -> usize {
        let mut count = 0;
        while let Some(message) = world.next(self.stream) {
            let answer = self.take(&message, world.unix_ms());
            world.exchange.heard(self.stream, &answer, world.now).unwrap();
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
        let asked = Asked { service: "product-photo", object, part: 0, group: object % 256 };
        let chosen = self.follower.choose(&asked, [None, None], |_| 0, now_ms);
        let told =
            chosen.map(|c| (c.cache.name.clone(), c.source.map(|s| s.name.clone()), c.held_only, c.oldest));
        told.map_err(|why| format!("{why:?}"))
    }
}
