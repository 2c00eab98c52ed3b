//! The books between the sockets and the module: who is connected, what is in hand, what is due.

use super::clients::Client;
use super::clock::Clock;
use super::counters::Counters;
use super::door::Door;
use super::feed::Feed;
use super::hands::Hands;
use super::hosts::{Host, Link};
use super::{Dispatcher, Key, Who};
use crate::protocol::changelog::Endpoint;
use crate::transport::{Accounts, Connection, Hub, Listener, Reading};
use bytes::{Bytes, BytesMut};
use myrtlegauge::interface::{End, Entry, Get, HostIndex, Place, Purged, Standing, Values};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// A buffer that all connections read by way of.
const SHARED: usize = 64 * 1024;
/// How often connections are looked over.
const TIDY_EVERY: Duration = Duration::from_millis(250);
/// Part of a host's idle time after which a connection is closed here, so that nothing is written to one that the
/// host is closing.
const IDLE_PART: f64 = 0.8;
/// How long GETs are still taken once a restart is asked for: the page has them come for 0.6 s.
const STOPS_AFTER: Duration = Duration::from_millis(1000);
/// Parts of the descriptors for clients and for hosts; the rest is for the loop, the log and the change log.
const CLIENTS_PART: f64 = 0.5;
const LINKS_PART: f64 = 0.35;
/// Part of the memory that buffers may take before nothing more is read: bytes in hand stand beside them.
const BUFFERS_PART: f64 = 0.2;

/// The limits that bind.
#[derive(Clone, Copy)]
pub struct Room {
    pub descriptors: usize,
    pub memory: usize,
}

/// What the settings say of connections.
pub struct Manners {
    pub streams: usize,
    pub idle: Duration,
    pub connect: Duration,
    pub cancel: bool,
    pub forwards: u32,
    /// The longest that any client waits.
    pub longest: Duration,
}

/// What falls due for a forward or a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Forward(Place, u64),
    Connect(u32, u32),
}

pub struct Desk {
    pub hub: Hub<Dispatcher>,
    pub accounts: Rc<Accounts>,
    pub counters: Counters,
    pub clock: Clock,
    /// The time of this round.
    pub now: Duration,
    pub door: Door,
    pub manners: Manners,
    pub hands: Hands,
    pub hosts: Vec<Host>,
    pub links: Slab<Link>,
    pub clients: Slab<Client>,
    pub serial: u32,
    pub forwards: u64,
    /// What the loop said, and what waits because buffers are full.
    pub stirred: Vec<Who>,
    stirring: Vec<Who>,
    /// Connections with bytes to be read by a parser, and with bytes to go out.
    pub heard_links: VecDeque<Key>,
    pub heard_clients: VecDeque<Key>,
    pub dirty: Vec<Who>,
    /// Forwards that ended here and not by an answer, to be told in the next round.
    pub ended: VecDeque<(Place, u64, End)>,
    pub abandoned: VecDeque<Place>,
    pub dues: BinaryHeap<Reverse<(Duration, Due)>>,
    pub pen: BytesMut,
    feed: Feed,
    feed_heard: bool,
    listed: bool,
    listener: Listener,
    accepting: bool,
    shared: Box<[u8]>,
    wake_at: Duration,
    tidy_at: Duration,
    stops_at: Option<Duration>,
    most_clients: usize,
    most_links: usize,
    most_buffered: usize,
}

impl Manners {
    pub fn read(told: &Values) -> Self {
        let limits = told.get("limits");
        let number = |name: &str| limits.and_then(|l| l.get(name)).and_then(|v| v.as_f64());
        let span = |name: &str| super::door::span(number(name).unwrap_or(0.0));
        let services = told.get("classes").and_then(|v| v.as_array()).into_iter().flatten();
        let longest = services.filter_map(|ds| ds.get("deadline_ms")?.as_f64()).fold(0.0, f64::max);
        Self {
            streams: number("streams_per_conn").map_or(1, |n| n as usize).max(1),
            idle: span("conn_idle_ms").mul_f64(IDLE_PART),
            connect: span("connect_timeout_ms"),
            cancel: limits.and_then(|l| l.get("cancel")).and_then(|v| v.as_bool()).unwrap_or(false),
            forwards: number("max_attempts").map_or(u32::MAX, |n| n as u32),
            longest: super::door::span(longest),
        }
    }
}

impl Desk {
    pub fn new(
        hub: Hub<Dispatcher>,
        listener: Listener,
        accounts: Rc<Accounts>,
        feed: Feed,
        (door, manners): (Door, Manners),
        room: Room,
        clock: Clock,
    ) -> Self {
        Self {
            hub,
            accounts,
            counters: Counters::default(),
            now: clock.now(),
            clock,
            door,
            manners,
            hands: Hands::default(),
            hosts: Vec::new(),
            links: Slab::new(),
            clients: Slab::new(),
            serial: 0,
            forwards: 0,
            stirred: Vec::new(),
            stirring: Vec::new(),
            heard_links: VecDeque::new(),
            heard_clients: VecDeque::new(),
            dirty: Vec::new(),
            ended: VecDeque::new(),
            abandoned: VecDeque::new(),
            dues: BinaryHeap::new(),
            pen: BytesMut::new(),
            feed,
            feed_heard: false,
            listed: false,
            listener,
            accepting: true,
            shared: vec![0; SHARED].into(),
            wake_at: Duration::MAX,
            tidy_at: Duration::ZERO,
            stops_at: None,
            most_clients: (room.descriptors as f64 * CLIENTS_PART) as usize,
            most_links: (room.descriptors as f64 * LINKS_PART) as usize,
            most_buffered: (room.memory as f64 * BUFFERS_PART) as usize,
        }
    }

    pub fn next_serial(&mut self) -> u32 {
        self.serial = self.serial.wrapping_add(1);
        self.serial
    }

    pub fn client(&mut self, key: Key) -> Option<&mut Client> {
        self.clients.get_mut(key.at as usize).filter(|client| client.serial == key.serial)
    }

    pub fn link(&mut self, key: Key) -> Option<&mut Link> {
        self.links.get_mut(key.at as usize).filter(|link| link.serial == key.serial)
    }

    /// Reads what came on all that stirred, as far as buffers allow.
    pub fn read(&mut self) {
        self.now = self.clock.now();
        std::mem::swap(&mut self.stirred, &mut self.stirring);
        for i in 0..self.stirring.len() {
            let who = self.stirring[i];
            let full = self.accounts.buffered().level() > self.most_buffered;
            match who {
                Who::Listener => self.accepting = true,
                Who::Feed => {
                    if let Err(fault) = self.feed.stir(&mut self.shared, self.now) {
                        self.counters.polls_failed += 1;
                        log::debug!("{}", fault.0);
                    }
                    self.feed_heard = true;
                }
                Who::Client(key) => {
                    let (now, shared) = (self.now, &mut self.shared);
                    let Some(client) =
                        self.clients.get_mut(key.at as usize).filter(|c| c.serial == key.serial)
                    else {
                        continue;
                    };
                    client.ended |= client.connection.flush().is_err();
                    if full {
                        self.stirred.push(who);
                        continue;
                    }
                    let reading = client.connection.read(shared);
                    client.ended |= reading == Reading::Ended;
                    client.moved_at = now;
                    self.heard_clients.push_back(key);
                    if reading == Reading::More {
                        self.stirred.push(who);
                    }
                }
                Who::Link(key) => {
                    let now = self.now;
                    let Some(link) = self.links.get_mut(key.at as usize).filter(|l| l.serial == key.serial)
                    else {
                        continue;
                    };
                    if !link.up {
                        match link.connection.is_up() {
                            Ok(true) => self.link_up(key),
                            Ok(false) => {}
                            Err(_) => self.link_failed(key),
                        }
                        let up = self.link(key).is_some_and(|link| link.up);
                        self.stirred.extend(up.then_some(who));
                        continue;
                    }
                    link.ended |= link.connection.flush().is_err();
                    if full {
                        self.stirred.push(who);
                        continue;
                    }
                    let reading = link.connection.read(&mut self.shared);
                    link.ended |= reading == Reading::Ended;
                    link.heard_at = now;
                    self.heard_links.push_back(key);
                    if reading == Reading::More {
                        self.stirred.push(who);
                    }
                }
            }
        }
        self.stirring.clear();
        self.accept();
        self.fall_due();
        self.counters.polls_failed += u64::from(self.feed.tend(&self.hub, &self.accounts, self.now));
    }

    fn accept(&mut self) {
        while self.accepting {
            if self.clients.len() >= self.most_clients && !self.close_idle_client() {
                self.counters.clients_refused += 1;
                return;
            }
            match self.listener.accept() {
                Ok(Some(stream)) => {
                    let (serial, entry) = (self.next_serial(), self.clients.vacant_key());
                    let who = Who::Client(Key { at: entry as u32, serial });
                    if let Ok(connection) = Connection::accepted(&self.hub, stream, who, &self.accounts) {
                        self.clients.insert(Client::new(connection, serial, self.now));
                        self.counters.clients += 1;
                        self.stirred.push(who);
                    }
                }
                Ok(None) => self.accepting = false,
                Err(e) => {
                    log::warn!("a client's connection could not be taken: {e}");
                    return;
                }
            }
        }
    }

    /// Makes room for a new client by the connection that was idle for longest.
    fn close_idle_client(&mut self) -> bool {
        let idle = self.clients.iter().filter(|(_, client)| client.quiet()).min_by_key(|(_, c)| c.moved_at);
        let Some(at) = idle.map(|(at, _)| at) else { return false };
        self.clients.remove(at);
        true
    }

    pub fn close_idle_link(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.out.is_empty()).min_by_key(|(_, l)| l.used_at);
        let Some(at) = idle.map(|(at, _)| at) else { return false };
        self.drop_link(at);
        true
    }

    pub fn has_room_for_link(&mut self) -> bool {
        self.links.len() < self.most_links || self.close_idle_link()
    }

    fn fall_due(&mut self) {
        while let Some(&Reverse((at, due))) = self.dues.peek().filter(|Reverse((at, _))| *at <= self.now) {
            debug_assert!(at <= self.now);
            self.dues.pop();
            match due {
                Due::Forward(place, serial) => self.overdue(place, serial),
                Due::Connect(at, serial) => {
                    let key = Key { at, serial };
                    if self.link(key).is_some_and(|link| !link.up) {
                        self.link_failed(key);
                    }
                }
            }
        }
    }

    pub fn next_due(&self) -> Duration {
        if !self.stirred.is_empty() && self.accounts.buffered().level() <= self.most_buffered {
            return Duration::ZERO;
        }
        let first = self.dues.peek().map_or(Duration::MAX, |Reverse((at, _))| *at);
        first.min(self.wake_at).min(self.tidy_at).min(self.feed.due)
    }

    pub fn has_news(&self) -> bool {
        self.feed_heard
            || !self.heard_links.is_empty()
            || !self.heard_clients.is_empty()
            || !self.ended.is_empty()
            || !self.abandoned.is_empty()
            || self.now >= self.wake_at
    }

    /// Writes out what this round put down.
    pub fn write(&mut self) {
        while let Some(who) = self.dirty.pop() {
            match who {
                Who::Client(key) => {
                    let Some(client) = self.client(key) else { continue };
                    if client.connection.flush().is_err() && !client.ended {
                        client.ended = true;
                        self.heard_clients.push_back(key);
                    }
                }
                Who::Link(key) => {
                    let Some(link) = self.link(key) else { continue };
                    if link.up && link.connection.flush().is_err() && !link.ended {
                        link.ended = true;
                        self.heard_links.push_back(key);
                    }
                }
                Who::Feed | Who::Listener => {}
            }
        }
    }

    pub fn wake_in(&mut self, after: Duration) {
        self.wake_at = self.wake_at.min(self.now + after);
    }

    pub fn wakes(&mut self) -> bool {
        let wakes = self.now >= self.wake_at;
        if wakes {
            self.wake_at = Duration::MAX;
        }
        wakes
    }

    /// Closes what is idle or does not move.
    pub fn tidy(&mut self) {
        if self.now < self.tidy_at {
            return;
        }
        self.tidy_at = self.now + TIDY_EVERY;
        let (now, idle, longest) = (self.now, self.manners.idle, self.manners.longest);
        let done = |link: &Link| {
            link.up
                && link.out.is_empty()
                && (link.retired || idle > Duration::ZERO && now >= link.used_at + idle)
        };
        while let Some(at) = self.links.iter().find(|(_, link)| done(link)).map(|(at, _)| at) {
            self.counters.links_idle += 1;
            self.drop_link(at);
        }
        for (at, client) in &mut self.clients {
            let flushed = client.connection.flushed();
            if client.flushed != flushed || client.connection.waiting() == 0 {
                (client.flushed, client.moved_at) =
                    (flushed, if client.quiet() { client.moved_at } else { now });
            } else if now >= client.moved_at + longest && !client.ended {
                // It has taken nothing of its answers for longer than any client waits.
                client.ended = true;
                self.heard_clients.push_back(client.key(at));
            }
        }
    }

    pub fn next_changes(&mut self) -> Option<Bytes> {
        let next = if std::mem::take(&mut self.feed_heard) { self.feed.next(self.now) } else { return None };
        match next {
            Ok(body) => {
                self.feed_heard = body.is_some();
                body
            }
            Err(fault) => {
                self.counters.faults += 1;
                self.counters.polls_failed += 1;
                log::warn!("{}", fault.0);
                None
            }
        }
    }

    pub fn feed_unreadable(&mut self, fault: &serde_json::Error) {
        self.counters.faults += 1;
        log::warn!("an answer of the change log can't be read: {fault}");
    }

    /// Whether an event has not been taken yet.
    pub fn is_next(&mut self, number: u64) -> bool {
        let new = number > self.feed.last;
        if new {
            if number != self.feed.last + 1 {
                log::warn!("the change log went from {} to {number}", self.feed.last);
            }
            self.feed.last = number;
            self.counters.changes += 1;
        }
        new
    }

    pub fn told_up_to(&mut self, last: u64) {
        self.feed.last = self.feed.last.max(last);
    }

    pub fn purged(&mut self, named: Option<Purged>, unix_ms: f64) -> Option<(Purged, Duration)> {
        if named.is_none() {
            self.counters.faults += 1;
            log::warn!("a purge names neither an object nor a group");
        }
        self.counters.purges += 1;
        Some((named?, self.now.saturating_sub(self.clock.span(unix_ms))))
    }

    /// The list's lines as entries; a host that started anew gets new connections.
    pub fn listed(&mut self, lines: &[Endpoint<'_>]) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(lines.len());
        for line in lines {
            let (index, new) = self.door.host(&line.name);
            let (entry, address) = match self.door.entry(index, line, &self.clock) {
                Ok(read) => read,
                Err(fault) => {
                    // Known as gone, so that indices and hosts go together.
                    self.counters.faults += 1;
                    log::warn!("{fault}");
                    (Entry { host: index, ..Entry::default() }, ([127, 0, 0, 1], 0).into())
                }
            };
            let name = Bytes::copy_from_slice(line.name.as_bytes());
            if new {
                self.hosts.push(Host { name, address, links: Vec::new() });
            }
            self.new_life(index, &entry, address);
            entries.push(entry);
        }
        self.listed |= !entries.is_empty();
        entries
    }

    /// Ends connections of a process that is no more: this host's earlier one, or another's at the same address.
    fn new_life(&mut self, index: HostIndex, entry: &Entry, address: std::net::SocketAddr) {
        let moved = std::mem::replace(&mut self.hosts[index].address, address) != address;
        for host in 0..self.hosts.len() {
            let own = host == index;
            if !own && (self.hosts[host].address != address || entry.standing != Standing::On) {
                continue;
            }
            let links = self.hosts[host].links.clone();
            for at in links {
                let link = &mut self.links[at];
                if !own || moved || link.up && link.since < entry.started {
                    self.end_link(at, End::Reset);
                } else if entry.standing == Standing::Gone {
                    link.retired = true;
                }
            }
        }
    }

    pub fn is_ready(&self) -> bool {
        self.listed && self.stops_at.is_none()
    }

    pub fn stop(&mut self) {
        if self.stops_at.is_none() {
            self.stops_at = Some(self.clock.now() + STOPS_AFTER);
            log::info!("asked to end; {} GETs in hand", self.hands.owed);
        }
    }

    pub fn is_done(&self) -> bool {
        let quiet = || self.hands.owed == 0 && self.clients.iter().all(|(_, c)| c.connection.waiting() == 0);
        self.stops_at.is_some_and(|at| self.now >= at) && quiet()
    }

    pub fn count_holds(&mut self) {
        let c = &self.counters;
        let settled = c.returned + c.shed + c.errored + c.abandoned + self.hands.owed as u64;
        let holds = c.taken == settled;
        self.counters.must(holds, "taken = answered + abandoned + in hand");
    }

    pub fn report(&self) {
        let accounts = &self.accounts;
        log::info!(
            "{}\nin hand: {} GETs, {} clients, {} connections to hosts\n\
             peaks: {} connections, {} bytes in buffers; bytes in {} out {}",
            self.counters,
            self.hands.owed,
            self.clients.len(),
            self.links.len(),
            accounts.descriptors().peak(),
            accounts.buffered().peak(),
            accounts.bytes_in.get(),
            accounts.bytes_out.get()
        );
    }

    /// A GET of the next request that is whole, if there is one; requests that are not GETs are answered here.
    pub fn next_get(&mut self, place: Place) -> Option<Get> {
        while let Some(&key) = self.heard_clients.front() {
            if let Some(get) = self.next_request(key, place) {
                return Some(get);
            }
            self.heard_clients.pop_front();
        }
        None
    }

    pub fn next_abandoned(&mut self) -> Option<Place> {
        self.abandoned.pop_front()
    }
}
