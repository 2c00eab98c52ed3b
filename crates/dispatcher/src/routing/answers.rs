//! The clients' side of the proxy: requests in, answers out.

use super::clients::Answer;
use super::codec;
use super::in_flight::Pending;
use super::proxy::Proxy;
use super::{Key, Who};
use bytes::Bytes;
use myrtlegauge::interface::{Get, Place};
use myrtlegauge_wire::protocol::Fault;
use myrtlegauge_wire::protocol::fastcgi::{self, Message, Request};

impl Proxy {
    /// Reads on with one client until a GET is whole; none once nothing more has come.
    pub fn next_request(&mut self, key: Key, place: Place) -> Option<Get> {
        loop {
            let Self { clients, accounts, now, .. } = self;
            let client = clients.get_mut(key)?;
            match client.next(&accounts.requests, *now) {
                Ok(Some(Message::Request(request))) => {
                    if let Some(get) = self.asked(key, place, request) {
                        return Some(get);
                    }
                }
                Ok(Some(Message::Reply(bytes))) => {
                    client.connection.push(bytes);
                    self.dirty.push(Who::Client(key));
                }
                Ok(Some(Message::Abort(number))) => {
                    if let Some(place) = client.close(number) {
                        client.connection.push(fastcgi::end_aborted(number));
                        self.abandon(place);
                        self.dirty.push(Who::Client(key));
                    }
                }
                Ok(Some(Message::Refuse(number))) => self.refuse(key, number),
                Ok(None) => {
                    if client.ended || client.last && client.quiet() {
                        self.drop_client(key);
                    }
                    return None;
                }
                Err(Fault(what)) => {
                    self.fault(format_args!("a client's connection is closed: {what}"));
                    self.drop_client(key);
                    return None;
                }
            }
        }
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

    fn asked(&mut self, key: Key, place: Place, mut request: Request) -> Option<Get> {
        request.held = codec::bare(&request.held);
        let (number, keep_conn) = (request.number, request.keep_conn);
        let (mut get, id) = (self.codec.get(&request), codec::hex(&request.id).unwrap_or_default());
        if let (Some(get), Some(zones)) = (&mut get, &self.zones) {
            get.over = zones.is_over(myrtlegauge::reading::key(get.object, get.part));
        }
        // Two GETs under one id would take each other's answers at a host.
        let twice = get.is_some() && self.in_flight.holds(id);
        self.counters.twice += u64::from(twice);
        let get = get.filter(|_| !twice);
        let ready = self.is_ready();
        let health = get.is_none() && &request.path[..] == b"/health";
        let client = self.clients.get_mut(key)?;
        client.last |= !keep_conn;
        client.asked = true;
        let Some(mut get) = get else {
            let answer = if health { Answer::Healthy(ready) } else { Answer::Unusable };
            self.counters.health += u64::from(health);
            self.counters.unusable += u64::from(!health);
            if !health {
                let path = request.path.escape_ascii();
                self.fault(format_args!("a request for {path} can't be used"));
            }
            self.write_answer(key, number, &answer);
            return None;
        };
        // No client waits longer than the settings tell.
        get.viewer_timeout = get.viewer_timeout.min(self.limits.longest);
        self.counters.taken += 1;
        self.record.took(self.now);
        self.counters.retries += u64::from(get.again);
        self.clients.get_mut(key)?.open.push((number, place));
        let until = self.now + get.viewer_timeout;
        let owed = Some((key, number));
        self.accounts.requests.add(request.long);
        self.in_flight.open(place, Pending { owed, id, request, get, until, ..Pending::default() });
        Some(get)
    }

    fn write_answer(&mut self, key: Key, number: u16, answer: &Answer) {
        let Self { clients, pen, text, .. } = self;
        if let Some(client) = clients.get_mut(key) {
            answer.head(text);
            let body = if let Answer::Returned(body) = answer { body.clone() } else { Bytes::new() };
            fastcgi::answer(pen, number, text, body, |bytes| client.connection.push(bytes));
            self.dirty.push(Who::Client(key));
            if client.last {
                self.heard_clients.push_back(key);
            }
        }
    }

    /// Pays what is owed for a GET; false if it was answered or abandoned before.
    pub fn pay(&mut self, place: Place, answer: &Answer) -> bool {
        let retry = self.in_flight.at(place).get.again;
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
            if self.record.returned(in_time, self.now) {
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
    fn log_end(&mut self, place: Place, answer: &Answer) {
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

    fn abandon(&mut self, place: Place) {
        if self.in_flight.settle(place).is_some() {
            self.counters.abandoned += 1;
            self.abandoned.push_back(place);
        }
    }

    /// A client that is gone waits for nothing.
    pub fn drop_client(&mut self, key: Key) {
        let client = self.clients.remove(key);
        self.accounts.requests.take(client.reader.long());
        for &(_, place) in &client.open {
            self.abandon(place);
        }
    }

    /// The answer that a host's bytes make; none where they can't be one.
    pub fn returned(&mut self, place: Place, word: &[u8], body: Bytes) -> Option<Answer> {
        let holds = !self.in_flight.at(place).request.held.is_empty();
        match word {
            b"304" if holds => Some(Answer::NotModified),
            b"304" => None,
            _ => Some(Answer::Returned(body)),
        }
    }
}
