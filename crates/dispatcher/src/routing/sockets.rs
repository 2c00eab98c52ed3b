//! The proxy's sockets: what is read and written in a turn, who is let in, who is closed.

use super::clients::Client;
use super::hosts::Link;
use super::lifecycle::State;
use super::proxy::{Proxy, TIDY_EVERY};
use super::{Dispatcher, Key, Who};
use myrtlegauge::interface::End;
use myrtlegauge_wire::transport::{Connection, ReadOutcome};
use std::time::Duration;

/// Time in which a request, and the first one on a connection, becomes whole; far over a slow network's round trips. It is
/// no part of any deadline, for a request's time counts from its last byte.
const WHOLE_WITHIN: Duration = Duration::from_millis(1500);
/// Bytes read in one turn from a client, who may send without end, and from a host, whose answers are larger.
const CLIENT_MOST: usize = 64 * 1024;
pub const HOST_MOST: usize = 256 * 1024;
/// Looks at a connection that seemed idle and on which bytes go on coming, before it is closed all the same.
const LOOKS_MOST: usize = 4;

impl Proxy {
    /// Reads what came on all that was ready, as far as buffers allow.
    pub fn read(&mut self) {
        let before = std::mem::replace(&mut self.now, self.clock.now());
        self.look_for_gap(before);
        std::mem::swap(&mut self.ready, &mut self.woken);
        for i in 0..self.woken.len() {
            let who = self.woken[i];
            let again = match who {
                Who::Listener => {
                    self.accepting = true;
                    false
                }
                Who::Client(key) => self.on_client_ready(key),
                Who::Link(key) => self.on_link_ready(key),
                Who::Feed => {
                    self.feed_heard = true;
                    self.feed.on_ready(&mut self.shared, self.now)
                }
                Who::Replica(key) => {
                    let Self { replicas, shared, .. } = self;
                    replicas.as_mut().is_some_and(|replicas| replicas.on_ready(key, shared))
                }
            };
            self.ready.extend(again.then_some(who));
        }
        self.woken.clear();
        self.accept();
        self.fall_due();
        self.poll();
    }

    /// True: there is more to read, now or once buffers have room.
    fn on_client_ready(&mut self, key: Key) -> bool {
        let Self { clients, shared, now, closing, .. } = self;
        let Some(client) = clients.get_mut(key) else {
            return closing.on_ready(Who::Client(key), shared).unwrap_or(false);
        };
        // Also while there is no room for requests: their ends and calls-off are among what comes.
        let (ended, again) = on_ready(&mut client.connection, shared, false, CLIENT_MOST);
        client.ended |= ended;
        client.moved_at = *now;
        self.heard_clients.push_back(key);
        again
    }

    fn on_link_ready(&mut self, key: Key) -> bool {
        let Some(link) = self.links.get_mut(key) else {
            return self.closing.on_ready(Who::Link(key), &mut self.shared).unwrap_or(false);
        };
        if !link.up {
            match link.connection.is_connected() {
                Ok(true) => self.link_up(key),
                Ok(false) => return false,
                Err(e) => self.link_failed(key, e.kind()),
            }
            return true;
        }
        let full = self.is_full();
        let Self { links, shared, now, .. } = self;
        let link = &mut links[key];
        let before = link.connection.unparsed_bytes();
        let (ended, again) = on_ready(&mut link.connection, shared, full, HOST_MOST);
        link.ended |= ended;
        if link.connection.unparsed_bytes() > before {
            link.heard_at = *now;
        }
        if again {
            // What is here and not read keeps nobody waiting but this side.
            link.part_since = link.part_since.map(|_| *now);
        }
        self.heard_links.push_back(key);
        again
    }

    /// Lets in who waits. Over the bound the connection that has asked nothing for longest makes room, else the
    /// one idle for longest; with none idle, they wait in the listener's queue.
    fn accept(&mut self) {
        while self.accepting {
            let over = self.clients.len() >= self.most_clients;
            if over && self.longest_idle().is_none() {
                return;
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok(Some(stream)) => {
                    while over
                        && let Some(key) = self.longest_idle()
                        && !self.close_idle_client(key)
                    {}
                    let key = self.clients.next_key();
                    let who = Who::Client(key);
                    if let Ok(connection) = Connection::from_accepted(&self.hub, stream, who, &self.accounts)
                    {
                        self.clients.insert(key, Client::new(connection, self.now));
                        self.counters.clients += 1;
                        self.ready.push(who);
                    }
                }
                Ok(None) => self.accepting = false,
                Err(e) => return self.fault(format_args!("a client's connection could not be taken: {e}")),
            }
        }
    }

    /// Closes a connection that seemed idle, unless a request has just come on it; true: it is closed.
    ///
    /// What comes is parsed as it is read, for a client that writes without end would fill the memory here. One from which
    /// no request has come after a few looks, which take more than the longest request, is closed with what it writes.
    fn close_idle_client(&mut self, key: Key) -> bool {
        for _ in 0..LOOKS_MOST {
            if !self.look_once_more(key) {
                break;
            }
            self.parse_all_of(key);
            match self.clients.get_mut(key) {
                Some(client) if client.idle() => {}
                Some(_) => return false,
                None => return true,
            }
        }
        if self.clients[key].ended {
            self.drop_client(key)
        } else {
            self.close_client(key)
        }
        true
    }

    /// Reads a client's connection dry; whether something more has come.
    fn look_once_more(&mut self, key: Key) -> bool {
        let client = &mut self.clients[key];
        let before = client.connection.unparsed_bytes();
        let reading = client.connection.read(&mut self.shared, CLIENT_MOST);
        client.ended |= reading == ReadOutcome::Closed;
        let more = client.connection.unparsed_bytes() > before;
        if more || client.ended {
            self.heard_clients.push_back(key);
        }
        more
    }

    /// Goes on with the end, where one was asked for: reads all once more before what is to come is refused, then closes
    /// each connection that is quiet.
    pub fn end_in_steps(&mut self) {
        if self.lifecycle.may_close(self.now) {
            self.accepting = true;
            self.accept();
            let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
            keys.into_iter().for_each(|key| _ = self.look_once_more(key));
            self.parse_clients();
            self.listener = None;
            self.lifecycle.close();
        }
        if self.lifecycle.state() != State::Closing {
            return;
        }
        let rests = |client: &Client| client.rests() && !client.ended;
        let resting: Vec<Key> = self.clients.iter().filter(|(_, c)| rests(c)).map(|(key, _)| key).collect();
        for key in resting {
            self.close_idle_client(key);
        }
        let lingers = self.closing.keys().any(|who| matches!(who, Who::Client(_)));
        self.lifecycle.turn(self.clients.len() == 0 && !lingers && self.in_flight.owed == 0, self.now);
        if self.lifecycle.state() == State::Done {
            self.leave_hosts();
        }
    }

    /// The last step: hosts are told that nothing more comes, and what they have just written is read.
    fn leave_hosts(&mut self) {
        let Self { links, shared, .. } = self;
        for (_, link) in links.iter_mut().filter(|(_, link)| link.up) {
            let _ = link.connection.flush();
            link.connection.half_close();
            link.connection.discard(shared, HOST_MOST);
        }
    }

    fn longest_idle(&self) -> Option<Key> {
        let idle = self.clients.iter().filter(|(_, client)| client.idle());
        let first = |client: &Client| if client.asked { client.moved_at } else { client.since };
        idle.min_by_key(|(_, client)| (client.asked, first(client))).map(|(key, _)| key)
    }

    pub fn close_idle_link(&mut self) -> bool {
        let idle = self.links.iter().filter(|(_, link)| link.out.is_empty()).min_by_key(|(_, l)| l.used_at);
        let Some(key) = idle.map(|(key, _)| key) else { return false };
        self.close_link(key);
        true
    }

    pub fn has_room_for_link(&mut self) -> bool {
        self.links.len() < self.most_links || self.close_idle_link()
    }

    /// Writes out what this round put down.
    pub fn write(&mut self) {
        while let Some(who) = self.dirty.pop() {
            match who {
                Who::Client(key) => {
                    let Some(client) = self.clients.get_mut(key) else { continue };
                    client.ended |= client.connection.flush().is_err();
                    if client.ended || client.last && client.quiet() {
                        self.heard_clients.push_back(key);
                    }
                }
                Who::Link(key) => {
                    let Some(link) = self.links.get_mut(key) else { continue };
                    if link.up && link.connection.flush().is_err() && !link.ended {
                        link.ended = true;
                        self.heard_links.push_back(key);
                    }
                }
                Who::Feed | Who::Replica(_) | Who::Listener => {}
            }
        }
    }

    /// Closes what is idle or does not move, now and then; true: it did so, and nothing is left to be told.
    pub fn tidy(&mut self) -> bool {
        if self.now < self.tidy_at {
            return false;
        }
        self.tidy_at = self.now + TIDY_EVERY;
        let (now, idle, longest) = (self.now, self.limits.idle, self.limits.longest);
        let done = |link: &Link| {
            link.up
                && link.out.is_empty()
                && (link.retired || idle > Duration::ZERO && now >= link.used_at + idle)
        };
        let done: Vec<Key> = self.links.iter().filter(|(_, link)| done(link)).map(|(key, _)| key).collect();
        for key in done {
            self.counters.links_idle += 1;
            self.close_link(key);
        }
        self.closing.expire(now);
        self.forget_gone();
        self.tidy_clients();
        let mut deaf = Vec::new();
        for (key, client) in self.clients.iter_mut() {
            let flushed = client.connection.written_bytes();
            if client.flushed != flushed || client.connection.unsent_bytes() == 0 {
                (client.flushed, client.flushed_at) = (flushed, now);
            } else if now >= client.flushed_at + longest {
                // It has taken nothing of its answers for longer than any client waits.
                deaf.push(key);
            }
        }
        for key in deaf {
            // By now it waits for nothing.
            self.clients[key].ended = true;
            self.drop_client(key);
        }
        self.end_stuck_links();
        self.ended.is_empty()
    }

    /// A part of an answer that stays one holds up all behind it: the connection is of no further use. It hurts
    /// where a host takes longer than this between two writes of one answer.
    fn end_stuck_links(&mut self) {
        let stuck = |link: &Link| link.part_since.is_some_and(|since| self.now >= since + self.limits.part);
        let stuck: Vec<Key> = self.links.iter().filter(|(_, link)| stuck(link)).map(|(key, _)| key).collect();
        for key in stuck {
            self.counters.links_stuck += 1;
            self.end_link(key, End::Spoilt);
        }
    }

    /// Refuses requests that are begun and do not become whole, and closes connections that say nothing whole. It
    /// hurts a client that takes longer to write a request than this, which on a clear network none does.
    fn tidy_clients(&mut self) {
        let then = self.now.saturating_sub(WHOLE_WITHIN);
        let stuck = |client: &Client| {
            client.part_since.is_some_and(|since| since < then) || !client.asked && client.since < then
        };
        let keys: Vec<Key> =
            self.clients.iter().filter(|(_, c)| !c.idle() || !c.asked).map(|(k, _)| k).collect();
        for key in keys {
            while let Some(client) = self.clients.get_mut(key)
                && let Some(number) = client.refuse_older(&self.accounts.request_bytes, then)
            {
                self.refuse(key, number);
            }
            let client = &mut self.clients[key];
            if stuck(client) && !client.reads_no_further {
                self.counters.mute += 1;
                self.close_client(key);
            }
        }
    }
}

/// Writes what waits and reads what came; whether the connection has ended, and whether there is more to read.
fn on_ready(
    connection: &mut Connection<Dispatcher>,
    shared: &mut [u8],
    full: bool,
    most: usize,
) -> (bool, bool) {
    let broken = connection.flush().is_err();
    if full && !broken {
        return (false, true);
    }
    let reading = connection.read(shared, most);
    (broken || reading == ReadOutcome::Closed, reading == ReadOutcome::More)
}
