//! The state of all streams to proxies: what each subscribed to, holds, refused, and is owed, in which order it goes out,
//! and who may be renewed a lease. No I/O and no clock: what came and the time go in, messages come out.
//!
//! Nothing is queued for a proxy. What it is owed is a set of names; a message is made from it only when there is room
//! to send one, with what is true then. So a proxy that reads nothing costs a bounded set and delays nobody.

use crate::lease::Lease;
use crate::shelf::{KINDS, Kind, Resource, Shelf, Version};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of resources in one ordinary message: what is urgent never waits behind more.
const BYTES_MOST: usize = 32 * 1024;
/// Urgent messages that may be unacknowledged; beyond, what is urgent waits and is put together.
const FLIGHTS_MOST: usize = 16;
/// Names that one stream may subscribe to, of all types: some times what a large location has.
const NAMES_MOST: usize = 4096;
/// Bytes of a name; ours are far shorter.
const NAME_LONG: usize = 256;
/// Streams that begin to be given ordinary resources in each `PACE_EVERY`: a crowd that comes back at once must not
/// keep drains and purges waiting for the machine.
const PACE: u32 = 16;
const PACE_EVERY: Duration = Duration::from_millis(10);
/// A message not acknowledged for so long: the proxy is stuck, and its place is better given to another.
const STUCK: Duration = Duration::from_secs(30);
/// How long an instance waits for facts that a proxy has and it has not yet heard, before it holds the proxy wrong:
/// what a change log has to tell is there within seven seconds.
const CATCH_UP: Duration = Duration::from_secs(8);

pub type StreamId = usize;

/// Which way a stream is spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Whole,
    Delta,
}

/// What may go out now, most pressing first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Drains and purges.
    Urgent,
    /// Leases.
    Beat,
    Ordinary,
}

pub const LANES: [Lane; 3] = [Lane::Urgent, Lane::Beat, Lane::Ordinary];

/// A proxy's request, of either form.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub url: String,
    /// Whole: all names; delta: those subscribed to from now on.
    pub names: Vec<String>,
    pub dropped: Vec<String>,
    /// Delta: what the proxy holds from before, by name.
    pub holds: Vec<(String, String)>,
    /// Whole: the version it accepted last.
    pub version: String,
    pub nonce: String,
    /// Why the message of the nonce was refused.
    pub error: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub name: Rc<str>,
    pub version: Version,
    /// None renews the time to live alone.
    pub body: Option<Rc<[u8]>>,
    pub ttl: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub kind: Kind,
    pub lane: Lane,
    /// Whole: the version of all that is wanted of this type.
    pub version: String,
    pub resources: Vec<Sent>,
    pub removed: Vec<Rc<str>>,
    pub nonce: String,
}

/// Why a stream is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// All streams are taken.
    Full,
    /// More names than a stream may subscribe to, or one that is too long.
    Names,
    /// Nothing was acknowledged for too long.
    Stuck,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Full => write!(f, "all streams of this service are taken"),
            Refusal::Names => {
                write!(f, "a stream subscribes to at most {NAMES_MOST} names of at most {NAME_LONG} bytes")
            }
            Refusal::Stuck => write!(f, "nothing was acknowledged for {} s", STUCK.as_secs()),
        }
    }
}

/// A message that went out and was neither accepted nor refused.
struct Flight {
    serial: u64,
    at: Duration,
    urgent: bool,
    carried: Vec<(Rc<str>, Version)>,
}

/// What a proxy refused, and why; not sent again until it says something else.
pub struct Refused {
    pub version: Version,
    pub why: String,
    urgent: bool,
}

/// One type of resources on one stream.
#[derive(Default)]
struct Topic {
    asked: bool,
    all: bool,
    names: BTreeSet<Rc<str>>,
    /// As it was sent last and not refused.
    held: BTreeMap<Rc<str>, Version>,
    owed: BTreeSet<Rc<str>>,
    urgent: BTreeSet<Rc<str>>,
    /// Were in a refused message with others: they go alone, so that only the one that is meant stays refused.
    alone: BTreeSet<Rc<str>>,
    /// An answer is owed even if there is nothing to say.
    reply: bool,
    /// All that there was at its first request was sent once.
    synced: bool,
    flights: VecDeque<Flight>,
    refused: BTreeMap<Rc<str>, Refused>,
    /// Facts that the proxy has and this instance has not heard, with the time until which it waits for them.
    ahead: BTreeMap<Rc<str>, (Version, Duration)>,
}

impl Topic {
    fn wants(&self, name: &str) -> bool {
        self.all || self.names.contains(name)
    }

    fn owe(&mut self, name: &Rc<str>, urgent: bool) {
        if urgent {
            self.owed.remove(name);
            self.urgent.insert(Rc::clone(name));
        } else if !self.urgent.contains(name) {
            self.owed.insert(Rc::clone(name));
        }
    }

    /// Forgets what is wanted no more.
    fn let_go(&mut self) {
        let Self { all, names, held, owed, urgent, refused, .. } = self;
        let wants = |name: &Rc<str>| *all || names.contains(name);
        held.retain(|name, _| wants(name));
        refused.retain(|name, _| wants(name));
        owed.retain(|name| wants(name));
        urgent.retain(|name| wants(name));
    }

    fn quiet(&self) -> bool {
        !self.reply && self.owed.is_empty() && self.urgent.is_empty()
    }
}

struct Stream {
    form: Form,
    node: String,
    peer: String,
    since: Duration,
    topics: [Topic; KINDS.len()],
    serial: u64,
    /// Its turn has come to be given what is ordinary.
    admitted: bool,
    /// When its lease is to be renewed next, and was last.
    beat_at: Duration,
    renewed_at: Option<Duration>,
    heard_at: Duration,
    told: Option<Refusal>,
    counted: Counted,
}

/// What happened on a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    pub messages: u64,
    pub beats: u64,
    pub accepted: u64,
    pub refused: u64,
    pub late_nonces: u64,
    pub unknown_types: u64,
}

/// A stream as it is shown to operators.
pub struct Shown<'a> {
    pub id: StreamId,
    pub form: Form,
    pub node: &'a str,
    pub peer: &'a str,
    pub age: Duration,
    pub heard: Duration,
    /// Age of the oldest message that is not acknowledged.
    pub lag: Duration,
    /// Names still owed.
    pub owed: usize,
    /// What is left of its lease; none: it has none.
    pub lease: Option<Duration>,
    pub counted: Counted,
    pub held: Vec<(Kind, &'a str, Version)>,
    pub refused: Vec<(Kind, &'a str, &'a Refused)>,
}

pub struct Exchange {
    shelf: Shelf,
    streams: Slab<Stream>,
    most: usize,
    lease: Lease,
    /// Streams that wait to be admitted, and how many may be until when.
    waiting: VecDeque<StreamId>,
    pace_until: Duration,
    pace_left: u32,
    /// What its news are known up to: before the first list nothing is said, for it would be taken for all there is.
    ready: bool,
}

impl Exchange {
    pub fn new(lease: Lease, most: usize) -> Self {
        Self {
            shelf: Shelf::default(),
            streams: Slab::new(),
            most,
            lease,
            waiting: VecDeque::new(),
            pace_until: Duration::ZERO,
            pace_left: PACE,
            ready: false,
        }
    }

    pub fn shelf(&self) -> &Shelf {
        &self.shelf
    }

    /// The fleet is known: from now on streams are answered.
    pub fn begin(&mut self) {
        self.ready = true;
    }

    /// Publishes a resource, or takes it away. Urgent: it tells of a drain, a purge, or a host that is gone.
    pub fn put(&mut self, kind: Kind, name: &str, resource: Option<Resource>, urgent: bool) {
        let Some(name) = self.shelf.put(kind, name, resource) else { return };
        for (_, stream) in &mut self.streams {
            let topic = &mut stream.topics[kind as usize];
            if topic.wants(&name) {
                topic.owe(&name, urgent);
            }
        }
    }

    pub fn open(&mut self, form: Form, peer: &str, now: Duration) -> Result<StreamId, Refusal> {
        if self.streams.len() >= self.most {
            return Err(Refusal::Full);
        }
        let id = self.streams.insert(Stream {
            form,
            node: String::new(),
            peer: peer.to_owned(),
            since: now,
            topics: Default::default(),
            serial: 0,
            admitted: false,
            beat_at: now,
            renewed_at: None,
            heard_at: now,
            told: None,
            counted: Counted::default(),
        });
        self.waiting.push_back(id);
        Ok(id)
    }

    pub fn close(&mut self, id: StreamId) {
        self.streams.try_remove(id);
        self.waiting.retain(|&waiting| waiting != id);
    }

    /// The name under which a proxy goes; two may have the same, and each is served.
    pub fn named(&mut self, id: StreamId, node: &str) {
        if let Some(stream) = self.streams.get_mut(id).filter(|stream| stream.node.is_empty()) {
            stream.node = node.chars().take(NAME_LONG).collect();
        }
    }

    /// Takes a request: what it subscribes to, and what it says of a message.
    pub fn heard(&mut self, id: StreamId, request: &Request, now: Duration) -> Result<(), Refusal> {
        let Some(stream) = self.streams.get_mut(id) else { return Ok(()) };
        stream.heard_at = now;
        let Some(kind) = Kind::of(&request.url) else {
            stream.counted.unknown_types += 1;
            return Ok(());
        };
        let topic = &mut stream.topics[kind as usize];
        if !request.nonce.is_empty() {
            acknowledged(topic, &mut stream.counted, request);
        }
        let first = !std::mem::replace(&mut topic.asked, true);
        match stream.form {
            Form::Whole => subscribe_whole(topic, &self.shelf, kind, request, first),
            Form::Delta => subscribe_delta(topic, &self.shelf, kind, request, first, now),
        }
        let long = request.names.iter().any(|name| name.len() > NAME_LONG);
        let held: usize = stream.topics.iter().map(|topic| topic.names.len()).sum();
        if long || held > NAMES_MOST { Err(Refusal::Names) } else { Ok(()) }
    }

    /// Gives waiting streams their turn, and forgets facts that were waited for in vain. Streams to be ended.
    pub fn turn(&mut self, now: Duration) -> Vec<StreamId> {
        if now >= self.pace_until {
            (self.pace_until, self.pace_left) = (now + PACE_EVERY, PACE);
        }
        while self.ready && self.pace_left > 0 {
            let Some(id) = self.waiting.pop_front() else { break };
            if let Some(stream) = self.streams.get_mut(id) {
                stream.admitted = true;
                self.pace_left -= 1;
            }
        }
        let mut stuck = Vec::new();
        for (id, stream) in &mut self.streams {
            for topic in &mut stream.topics {
                if !topic.ahead.is_empty() {
                    // This instance has heard all that there was, and still says otherwise: it is right.
                    let over = topic.ahead.extract_if(.., |_, (_, until)| now >= *until);
                    for (name, _) in over.collect::<Vec<_>>() {
                        topic.owe(&name, false);
                    }
                }
                if topic.flights.front().is_some_and(|flight| now >= flight.at + STUCK) {
                    stuck.push(id);
                    break;
                }
            }
        }
        for &id in &stuck {
            self.streams[id].told = Some(Refusal::Stuck);
        }
        stuck
    }

    /// When `turn` or a lease is next to be looked at.
    pub fn due(&self, now: Duration) -> Duration {
        let beat = self.streams.iter().map(|(_, stream)| stream.beat_at).min();
        let pace = (!self.waiting.is_empty()).then_some(self.pace_until);
        [beat, pace].into_iter().flatten().min().unwrap_or(now + self.lease.every).max(now)
    }

    /// Nothing is owed to a stream.
    pub fn is_quiet(&self, id: StreamId) -> bool {
        self.streams.get(id).is_none_or(|stream| stream.topics.iter().all(Topic::quiet))
    }

    /// The next message of a lane for a stream that has room for one; its nonce bears the time as given.
    pub fn next(&mut self, id: StreamId, lane: Lane, now: Duration, unix_ms: u64) -> Option<Message> {
        let Self { shelf, streams, lease, ready, .. } = self;
        let stream = streams.get_mut(id).filter(|_| *ready)?;
        let message = match lane {
            Lane::Urgent => urgent(stream, shelf, *lease, now),
            Lane::Beat => beat(stream, shelf, *lease, now),
            Lane::Ordinary => ordinary(stream, shelf, *lease, now),
        };
        if message.is_none() && lane == Lane::Beat && now >= stream.beat_at {
            // Not to be vouched for now: it is looked at again well within a lease.
            stream.beat_at = stream.beat_at.max(now + lease.every / 4);
        }
        let mut message = message?;
        stream.serial += 1;
        message.nonce = format!("{:x}.{unix_ms:x}", stream.serial);
        stream.counted.messages += 1;
        let leased = message.resources.iter().any(|sent| sent.ttl.is_some());
        if leased {
            (stream.renewed_at, stream.beat_at) = (Some(now), now + lease.every);
        }
        if lane == Lane::Beat {
            stream.counted.beats += 1;
        } else {
            let carried = message.resources.iter().map(|sent| (Rc::clone(&sent.name), sent.version));
            let gone = message.removed.iter().map(|name| (Rc::clone(name), Version::default()));
            let carried = carried.chain(gone).collect();
            let flight = Flight { serial: stream.serial, at: now, urgent: lane == Lane::Urgent, carried };
            stream.topics[message.kind as usize].flights.push_back(flight);
        }
        Some(message)
    }

    pub fn shown(&self, now: Duration) -> impl Iterator<Item = Shown<'_>> {
        self.shown_from(0, now)
    }

    /// Streams from one on.
    pub fn shown_from(&self, from: StreamId, now: Duration) -> impl Iterator<Item = Shown<'_>> {
        self.streams.iter().filter(move |(id, _)| *id >= from).map(move |(id, stream)| {
            let topics = || KINDS.iter().zip(&stream.topics);
            let oldest =
                topics().filter_map(|(_, topic)| topic.flights.front()).map(|flight| flight.at).min();
            let until = stream.renewed_at.map(|at| at + self.lease.ttl);
            Shown {
                id,
                form: stream.form,
                node: &stream.node,
                peer: &stream.peer,
                age: now.saturating_sub(stream.since),
                heard: now.saturating_sub(stream.heard_at),
                lag: oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at)),
                owed: topics().map(|(_, topic)| topic.owed.len() + topic.urgent.len()).sum(),
                lease: until.and_then(|until| until.checked_sub(now)),
                counted: stream.counted,
                held: topics()
                    .flat_map(|(&kind, topic)| topic.held.iter().map(move |(name, &v)| (kind, &**name, v)))
                    .collect(),
                refused: topics()
                    .flat_map(|(&kind, topic)| {
                        topic.refused.iter().map(move |(name, why)| (kind, &**name, why))
                    })
                    .collect(),
            }
        })
    }
}

/// What a request says of a message: by its nonce, and only while that message is waited for.
fn acknowledged(topic: &mut Topic, counted: &mut Counted, request: &Request) {
    let serial = request.nonce.split('.').next().and_then(|serial| u64::from_str_radix(serial, 16).ok());
    let Some(at) = topic.flights.iter().position(|flight| Some(flight.serial) == serial) else {
        // A renewed lease's, or one that was overtaken: it says nothing of what is out now.
        counted.late_nonces += 1;
        return;
    };
    // Earlier ones were taken in order, and not refused.
    for flight in topic.flights.drain(..at) {
        flight.carried.iter().for_each(|(name, _)| drop(topic.refused.remove(name)));
    }
    let Some(Flight { urgent, carried, .. }) = topic.flights.pop_front() else { return };
    let Some(why) = &request.error else {
        counted.accepted += 1;
        carried.iter().for_each(|(name, _)| drop(topic.refused.remove(name)));
        return;
    };
    counted.refused += 1;
    // Assignments go together, and so they are refused.
    let several = carried.len() > 1 && request.url != Kind::Assignment.url();
    for (name, version) in carried {
        // A later message may bear the name already; that one speaks for it.
        if topic.held.get(&name).is_some_and(|held| *held != version) {
            continue;
        }
        topic.held.remove(&name);
        if several {
            topic.alone.insert(Rc::clone(&name));
            topic.owe(&name, urgent);
        } else {
            let why = why.chars().take(NAME_LONG).collect();
            topic.alone.remove(&name);
            topic.refused.insert(name, Refused { version, why, urgent });
        }
    }
}

fn subscribe_whole(topic: &mut Topic, shelf: &Shelf, kind: Kind, request: &Request, first: bool) {
    let star = request.names.iter().any(|name| name == "*");
    // No names at all in the first request of a whole type, and ever after: all there is.
    let all = star || request.names.is_empty() && kind.whole() && (first || topic.all);
    let names: BTreeSet<Rc<str>> = request
        .names
        .iter()
        .filter(|name| *name != "*")
        .take(NAMES_MOST + 1)
        .map(|n| Rc::from(&**n))
        .collect();
    let before = std::mem::replace(&mut topic.names, names);
    let had_all = std::mem::replace(&mut topic.all, all);
    topic.reply |= first && (all || !topic.names.is_empty());
    topic.let_go();
    let new: Vec<_> = shelf.all(kind).filter(|(name, _)| topic.wants(name)).collect();
    if first
        && !request.version.is_empty()
        && request.version == whole_version(new.iter().map(|(name, r)| (*name, &r.version)))
    {
        // It has all this from an earlier stream: nothing differs.
        topic.held = new.iter().map(|(name, resource)| (Rc::clone(name), resource.version)).collect();
        topic.reply = false;
        // But for what is leased, whose time must be given anew.
        let leased = new.iter().filter(|(_, resource)| resource.leased);
        let leased: Vec<_> = leased.map(|(name, _)| Rc::clone(name)).collect();
        leased.iter().for_each(|name| topic.owe(name, false));
        return;
    }
    let mut asks_more = false;
    for (name, resource) in new {
        if first || !had_all && !before.contains(name) {
            topic.owe(name, resource.version.step > 0);
            asks_more = true;
        }
    }
    topic.reply |= asks_more && kind.whole();
}

fn subscribe_delta(
    topic: &mut Topic,
    shelf: &Shelf,
    kind: Kind,
    request: &Request,
    first: bool,
    now: Duration,
) {
    for name in &request.dropped {
        if name == "*" {
            topic.all = false;
        }
        topic.names.remove(&**name);
    }
    if !request.dropped.is_empty() {
        topic.let_go();
    }
    let star = request.names.iter().any(|name| name == "*") || first && request.names.is_empty();
    let starts = star && !topic.all;
    topic.all |= star;
    topic.reply |= first || !request.names.is_empty();
    for name in request.names.iter().filter(|name| *name != "*").take(NAMES_MOST + 1) {
        let name = shelf.entry(kind, name).map_or_else(|| Rc::from(&**name), |(known, _)| Rc::clone(known));
        // Asked for by name it is told again, even if it was told, and that it is not there.
        topic.held.remove(&name);
        topic.owe(&name, shelf.get(kind, &name).is_some_and(|r| r.version.step > 0));
        topic.names.insert(name);
    }
    if starts {
        for (name, resource) in shelf.all(kind) {
            if !topic.names.contains(name) {
                topic.owe(name, resource.version.step > 0);
            }
        }
    }
    for (name, version) in request.holds.iter().filter(|_| first).take(NAMES_MOST) {
        if !topic.wants(name) {
            continue;
        }
        let Ok(version) = version.parse::<Version>() else { continue };
        match shelf.entry(kind, name) {
            Some((name, resource)) if resource.version == version && !resource.leased => {
                topic.held.insert(Rc::clone(name), version);
                topic.owed.remove(name);
                topic.urgent.remove(name);
            }
            Some((name, resource))
                if version.is_ahead_of(&resource.version) && resource.version.step == 0 =>
            {
                topic.held.insert(Rc::clone(name), version);
                topic.ahead.insert(Rc::clone(name), (version, now + CATCH_UP));
            }
            // What is leased is given anew: until then nothing of it is renewed.
            Some((_, resource)) if resource.leased => {}
            Some((name, _)) => drop(topic.held.insert(Rc::clone(name), version)),
            // A purge or a host that this instance knows nothing of, yet or any more.
            None => {
                let name: Rc<str> = Rc::from(&**name);
                topic.held.insert(Rc::clone(&name), version);
                if version.step > 0 {
                    topic.ahead.insert(name, (version, now + CATCH_UP));
                } else {
                    topic.owe(&name, false);
                }
            }
        }
    }
}

/// Says which resources in which versions, whoever makes it.
fn whole_version<'a>(held: impl Iterator<Item = (&'a Rc<str>, &'a Version)>) -> String {
    let mut said = String::new();
    for (name, version) in held {
        said.push_str(&format!("{name}={version};"));
    }
    format!("{:016x}", twox_hash::XxHash64::oneshot(0, said.as_bytes()))
}

/// Whether what a proxy holds, of the types before `end`, can be vouched for: it was sent all there was when it came and
/// all that is urgent since; nothing urgent was refused, or has been out for a whole lease. Guards against a lease that
/// comes before a drain or purge that it vouches for. It hurts a proxy that refuses one: it sheds.
fn vouches(stream: &mut Stream, end: usize, lease: Lease, now: Duration) -> bool {
    for topic in &mut stream.topics {
        topic.synced |= topic.asked && topic.quiet();
    }
    let told = |topic: &Topic| topic.urgent.is_empty() && (topic.synced || !topic.asked);
    stream.topics[..end].iter().all(told)
        && stream.topics.iter().enumerate().all(|(kind, topic)| {
            let leased = kind == Kind::Assignment as usize;
            let refused = topic.refused.values().any(|refused| refused.urgent || leased);
            let late = topic.flights.iter().any(|flight| flight.urgent && now >= flight.at + lease.ttl);
            !refused && !late
        })
}

/// Puts a message together from names that are owed; what needs no word any more is passed over.
fn make(
    stream: &mut Stream,
    shelf: &Shelf,
    kind: Kind,
    lane: Lane,
    lease: Lease,
    gone_too: bool,
) -> Option<Message> {
    let (form, topic) = (stream.form, &mut stream.topics[kind as usize]);
    let from_urgent = lane == Lane::Urgent;
    if kind == Kind::Assignment {
        // They bring the lease, so they go together or not at all.
        let owed = std::mem::take(if from_urgent { &mut topic.owed } else { &mut topic.urgent });
        if from_urgent { &mut topic.urgent } else { &mut topic.owed }.extend(owed);
    }
    let (mut resources, mut removed, mut bytes) = (Vec::new(), Vec::<Rc<str>>::new(), 0);
    let names: Vec<Rc<str>> = if from_urgent { &topic.urgent } else { &topic.owed }.iter().cloned().collect();
    let mut done = BTreeSet::new();
    for name in names {
        let resource = shelf.get(kind, &name);
        if topic
            .ahead
            .get(&name)
            .is_some_and(|(ahead, _)| resource.is_none_or(|r| ahead.is_ahead_of(&r.version)))
        {
            // The proxy knows of something later; it is not taken back while this instance may still hear of it.
            done.insert(name);
            continue;
        }
        topic.ahead.remove(&name);
        let Some(resource) = resource else {
            if !gone_too {
                continue;
            }
            let told = topic.held.remove(&name).is_some() || topic.names.contains(&name);
            if told && form == Form::Delta {
                removed.push(Rc::clone(&name));
            }
            topic.refused.remove(&name);
            done.insert(name);
            continue;
        };
        let same = topic.held.get(&name) == Some(&resource.version) && !resource.leased;
        let refused = topic.refused.get(&name).is_some_and(|refused| refused.version == resource.version);
        if same || refused {
            done.insert(name);
            continue;
        }
        let alone = topic.alone.contains(&name) && kind != Kind::Assignment;
        if alone && !(resources.is_empty() && removed.is_empty()) {
            continue;
        }
        bytes += resource.body.len();
        resources.push(sent(&name, resource, lease));
        topic.held.insert(Rc::clone(&name), resource.version);
        topic.alone.remove(&name);
        done.insert(name);
        if alone || bytes >= BYTES_MOST && kind != Kind::Assignment {
            break;
        }
    }
    let waits = if from_urgent { &mut topic.urgent } else { &mut topic.owed };
    waits.retain(|name| !done.contains(name));
    if form == Form::Whole && kind.whole() && (topic.reply || !done.is_empty()) {
        // What such an answer leaves out is gone, so it holds all.
        let wanted: Vec<_> = shelf.all(kind).filter(|(name, _)| topic.wants(name)).collect();
        resources = wanted.iter().map(|(name, resource)| sent(name, resource, lease)).collect();
        topic.held = wanted.iter().map(|(name, resource)| (Rc::clone(name), resource.version)).collect();
        topic.owed.clear();
    }
    let complete = topic.owed.is_empty() && topic.urgent.is_empty();
    let replies = complete && std::mem::take(&mut topic.reply);
    if resources.is_empty() && removed.is_empty() && !replies {
        return None;
    }
    // Says what the proxy has with this, not all there is: more may follow.
    let version = if form == Form::Whole { whole_version(topic.held.iter()) } else { String::new() };
    Some(Message { kind, lane, version, resources, removed, nonce: String::new() })
}

fn sent(name: &Rc<str>, resource: &Resource, lease: Lease) -> Sent {
    Sent {
        name: Rc::clone(name),
        version: resource.version,
        body: Some(Rc::clone(&resource.body)),
        ttl: resource.leased.then_some(lease.ttl),
    }
}

fn urgent(stream: &mut Stream, shelf: &Shelf, lease: Lease, now: Duration) -> Option<Message> {
    KINDS.into_iter().find_map(|kind| {
        let vouched = vouches(stream, kind as usize, lease, now);
        let topic = &stream.topics[kind as usize];
        // An assignment brings a lease with it, and none is due to one that refused a drain.
        let may = kind != Kind::Assignment || vouched;
        let open = !topic.urgent.is_empty() && topic.flights.len() < FLIGHTS_MOST && may;
        open.then(|| make(stream, shelf, kind, Lane::Urgent, lease, true)).flatten()
    })
}

/// Renews the lease of a proxy that was told all that is urgent and refused none of it.
fn beat(stream: &mut Stream, shelf: &Shelf, lease: Lease, now: Duration) -> Option<Message> {
    if now < stream.beat_at || !vouches(stream, Kind::Route as usize, lease, now) {
        return None;
    }
    let topic = &stream.topics[Kind::Assignment as usize];
    let renewed = topic.held.iter().filter_map(|(name, held)| {
        let leased = shelf.get(Kind::Assignment, name).filter(|r| r.leased && r.version == *held);
        leased.map(|r| Sent { name: Rc::clone(name), version: r.version, body: None, ttl: Some(lease.ttl) })
    });
    let resources: Vec<_> = renewed.collect();
    if resources.is_empty() {
        return None;
    }
    let version = if stream.form == Form::Whole { whole_version(topic.held.iter()) } else { String::new() };
    let kind = Kind::Assignment;
    Some(Message { kind, lane: Lane::Beat, version, resources, removed: Vec::new(), nonce: String::new() })
}

/// What is not urgent, type by type: the next one only once those before it were taken, so that nothing is named before
/// it is there; what is gone is taken away only once nothing names it any more.
fn ordinary(stream: &mut Stream, shelf: &Shelf, lease: Lease, now: Duration) -> Option<Message> {
    if !stream.admitted {
        return None;
    }
    let vouched = vouches(stream, Kind::Assignment as usize, lease, now);
    for kind in KINDS {
        let topic = &stream.topics[kind as usize];
        if topic.flights.iter().any(|flight| !flight.urgent) {
            return None;
        }
        if topic.quiet() || kind == Kind::Assignment && !vouched {
            continue;
        }
        // A cluster goes once no route names it any more; nothing names what else goes.
        let routes = &stream.topics[Kind::Route as usize];
        let unnamed = kind != Kind::Cluster || routes.quiet() && routes.flights.is_empty();
        if let Some(message) = make(stream, shelf, kind, Lane::Ordinary, lease, unnamed) {
            return Some(message);
        }
    }
    None
}
