//! The clients' side of the proxy: requests in, answers out.

use super::clients::{Answer, Client, Owed};
use super::codec;
use super::in_flight::Pending;
use super::lifecycle::State;
use super::proxy::{Asked, Proxy};
use super::{Key, Who};
use bytes::Bytes;
use myrtlegauge::interface::{Get, GetIndex};
use myrtlegauge_wire::protocol::fastcgi::{self, Message, Request};
use myrtlegauge_wire::protocol::{StreamError, resp};
use std::time::Duration;

impl Proxy {
    /// Reads all that came from clients. Whoever has left or called off is known before anything that came with it, or was
    /// decided meanwhile, is sent on.
    pub fn parse_clients(&mut self) {
        while let Some(key) = self.heard_clients.pop_front() {
            self.parse_all_of(key);
        }
    }

    /// Reads all that came from one client, and ends no other's connection.
    pub fn parse_all_of(&mut self, key: Key) {
        while self.parse_client(key) {}
    }

    /// The next message of a client; false: nothing more has come.
    fn parse_client(&mut self, key: Key) -> bool {
        let (full, share) = (self.is_full_of_requests(), self.share_of_requests());
        let closing = self.lifecycle.state() == State::Closing;
        let Self { clients, accounts, now, counters, dirty, .. } = self;
        let Some(client) = clients.get_mut(key) else { return false };
        if client.reads_no_further {
            client.connection.parse(|inbound| inbound.clear());
            if client.ended {
                self.drop_client(key);
            } else if client.quiet() {
                self.close_client(key);
            }
            return false;
        }
        match client.next(&accounts.request_bytes, *now) {
            Ok(Some(Message::Request(request))) => {
                let Request { number, keep_conn, size, .. } = request;
                client.asked = true;
                client.last |= !keep_conn;
                if closing || full && client.holds() + size > share {
                    // It was never sent on: trying again, elsewhere, is harmless.
                    counters.refused += 1;
                    client.connection.enqueue(fastcgi::end_request_overloaded(number));
                    dirty.push(Who::Client(key));
                } else {
                    accounts.request_bytes.add(size);
                    client.open.push((number, Owed { place: None, long: size }));
                    self.asked.push_back(Asked { key, request });
                }
            }
            Ok(Some(Message::Reply(bytes))) => {
                client.connection.enqueue(bytes);
                dirty.push(Who::Client(key));
            }
            Ok(Some(Message::Abort(number))) => {
                if let Some(owed) = client.close(number) {
                    client.connection.enqueue(fastcgi::end_request_aborted(number));
                    dirty.push(Who::Client(key));
                    self.call_off(key, number, owed);
                }
            }
            Ok(Some(Message::Refuse(number))) => self.refuse(key, number),
            Ok(None) => {
                if full && client.holds() > share {
                    while let Some(number) = client.refuse_older(&accounts.request_bytes, Duration::MAX) {
                        counters.refused += 1;
                        client.connection.enqueue(fastcgi::end_request_overloaded(number));
                        dirty.push(Who::Client(key));
                    }
                }
                if client.ended {
                    self.drop_client(key);
                } else if client.last && client.quiet() {
                    self.close_client(key);
                }
                return false;
            }
            Err(StreamError(what)) => {
                self.fault(format_args!("a client's connection is closed: {what}"));
                self.close_client(key);
                return false;
            }
        }
        true
    }

    /// A request that broke a bound or did not become whole is answered at once; its connection is closed once
    /// nothing else is open there, for what follows is of no use. Usual clients send a request in one go.
    pub fn refuse(&mut self, key: Key, number: u16) {
        self.counters.unusable += 1;
        self.fault(format_args!("a request broke a bound or did not become whole"));
        if let Some(client) = self.clients.get_mut(key) {
            client.last = true;
        }
        self.write_answer(key, number, &Answer::Unusable);
    }

    /// Takes a request, if it is a GET that can be used; anything else is answered here.
    pub fn take(&mut self, key: Key, place: GetIndex, mut request: Request) -> Option<Get> {
        request.held_version = codec::bare(&request.held_version);
        let (number, long) = (request.number, request.size);
        let (mut get, id) = (self.codec.get(&request), codec::hex(&request.id).unwrap_or_default());
        if let (Some(get), Some(zones)) = (&mut get, &self.zones) {
            get.in_shed_fraction = zones.is_over(myrtlegauge::snapshot::ring_key(get.object, get.part));
        }
        // Two GETs under one id would take each other's answers at a host.
        let twice = get.is_some() && self.in_flight.holds(id);
        self.counters.twice += u64::from(twice);
        let get = get.filter(|_| !twice);
        let ready = self.is_ready();
        let health = get.is_none() && &request.path[..] == b"/health";
        let Some(mut get) = get else {
            let answer = if health { Answer::Healthy(ready) } else { Answer::Unusable };
            self.counters.health += u64::from(health);
            self.counters.unusable += u64::from(!health);
            if !health {
                let path = request.path.escape_ascii();
                self.fault(format_args!("a request for {path} can't be used"));
            }
            self.accounts.request_bytes.subtract(long);
            self.clients.get_mut(key)?.close(number);
            self.write_answer(key, number, &answer);
            return None;
        };
        // No client waits longer than the settings tell, nor is there more time than the end leaves.
        let most = self.limits.longest.min(self.lifecycle.time_left(self.now));
        get.viewer_timeout = get.viewer_timeout.min(most);
        self.counters.taken += 1;
        self.startup.request_taken(self.now);
        self.counters.retries += u64::from(get.is_retry);
        let open = &mut self.clients.get_mut(key)?.open;
        open.iter_mut().filter(|(open, _)| *open == number).for_each(|(_, owed)| owed.place = Some(place));
        let until = self.now + get.viewer_timeout;
        let owed = Some((key, number));
        self.in_flight.open(place, Pending { owed, id, request, get, until, ..Pending::default() });
        Some(get)
    }

    fn write_answer(&mut self, key: Key, number: u16, answer: &Answer) {
        let Self { clients, pen, text, .. } = self;
        if let Some(client) = clients.get_mut(key) {
            answer.head(text);
            let body = if let Answer::Returned(body) = answer { body.clone() } else { Bytes::new() };
            fastcgi::write_response(pen, number, text, body, |bytes| _ = client.connection.enqueue(bytes));
            self.dirty.push(Who::Client(key));
            if client.last {
                self.heard_clients.push_back(key);
            }
        }
    }

    /// Pays what is owed for a GET; false if it was answered or abandoned before.
    pub fn pay(&mut self, place: GetIndex, answer: &Answer) -> bool {
        let retry = self.in_flight.at(place).get.is_retry;
        let Some((key, number)) = self.in_flight.settle(place) else { return false };
        if let Some(client) = self.clients.get_mut(key) {
            client.close(number);
        }
        let returned = matches!(answer, Answer::Returned(_) | Answer::NotModified);
        self.counters.retries_returned += u64::from(retry && returned);
        match answer {
            Answer::Returned(_) => self.counters.returned += 1,
            Answer::NotModified => {
                self.counters.returned += 1;
                self.counters.not_modified += 1;
            }
            Answer::Shed(_) => self.counters.shed += 1,
            _ => self.counters.errored += 1,
        }
        if returned {
            let pending = self.in_flight.at(place);
            let (in_hand, ds) = (pending.in_hand(self.now), pending.get.ds);
            let in_time = self.limits.aims_most.get(ds).is_none_or(|aim| in_hand <= *aim);
            if self.startup.request_answered(in_time, self.now) {
                self.tell_return("returned");
            }
        } else {
            self.note_lost(place);
            self.log_end(place, answer);
        }
        self.write_answer(key, number, answer);
        true
    }

    /// One line, by the request's id, on a GET that was not returned: what it was, how far it got, how it ended.
    fn log_end(&mut self, place: GetIndex, answer: &Answer) {
        let Some(unsaid) = self.may_log_end() else { return };
        let pending = self.in_flight.at(place);
        let (id, class, hops) = (String::from_utf8_lossy(&pending.request.id), pending.get.ds, pending.hops);
        let in_hand = pending.in_hand(self.now);
        let (end, back_ms) = match answer {
            Answer::Shed(after) => ("shed", after.map_or(0, |after| after.as_millis())),
            Answer::Errored => ("errored", 0),
            _ => ("unusable", 0),
        };
        let ms = in_hand.as_millis();
        // How the last forward that ended went, and where: the host by the list's name.
        let (last, note, host) = match pending.last {
            Some((host, end, note)) => (
                format!("{end:?}"),
                format!("{note:?}"),
                String::from_utf8_lossy(&self.hosts[host].name).into_owned(),
            ),
            None => ("none".to_owned(), "none".to_owned(), "none".to_owned()),
        };
        log::info!(id:%, class, forwards = hops, in_hand_ms = ms, end, retry_after_ms = back_ms, last:%, note:%,
            host:%, unsaid;
            "not returned");
    }

    fn abandon(&mut self, place: GetIndex) {
        if self.in_flight.settle(place).is_some() {
            self.counters.abandoned += 1;
            self.abandoned.push_back(place);
        }
    }

    /// A request that nobody waits for any more, taken or not.
    fn call_off(&mut self, key: Key, number: u16, owed: Owed) {
        match owed.place {
            Some(place) => self.abandon(place),
            None => {
                self.asked.retain(|asked| asked.key != key || asked.request.number != number);
                self.accounts.request_bytes.subtract(owed.long);
                self.counters.left_before += 1;
            }
        }
    }

    /// Takes a client out, with all that it waited for.
    fn remove_client(&mut self, key: Key) -> Client {
        let client = self.clients.remove(key);
        self.check_closed(client.ended, client.open.len());
        self.accounts.request_bytes.subtract(client.reader.buffered_bytes());
        for &(number, owed) in &client.open {
            self.call_off(key, number, owed);
        }
        client
    }

    /// A client that is gone waits for nothing.
    pub fn drop_client(&mut self, key: Key) {
        self.remove_client(key);
    }

    /// Closes a client's connection in steps, at once or when it has the answers that it is owed.
    pub fn close_client(&mut self, key: Key) {
        if !self.may_close(key) {
            return;
        }
        let client = self.remove_client(key);
        self.closing.start_close(Who::Client(key), client.connection, &mut self.shared, self.now);
    }

    /// The answer that a host's answer makes; none where it can't be one. A client's copy is called current only where its
    /// tag went with the forward and the host names that tag.
    pub fn returned(&mut self, place: GetIndex, names_copy: bool, answer: resp::Reply) -> Option<Answer> {
        if &answer.status[..] != b"304" {
            return Some(Answer::Returned(answer.body));
        }
        let held = &self.in_flight.at(place).request.held_version;
        let is_current = names_copy && answer.field("rev") == Some(&held[..]);
        is_current.then_some(Answer::NotModified)
    }
}
