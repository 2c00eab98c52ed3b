//! The client side of the proxy: parses requests and writes answers.

use super::client_reads::{MAX_CLIENT_MESSAGES, Taking};
use super::clients::{Client, ClientResponse, OpenRequest, UnsentAnswer, request_memory};
use super::codec;
use super::guards::Effect;
use super::in_flight::PendingGet;
use super::lifecycle::State;
use super::proxy::Proxy;
use super::request_queue::QueuedRequest;
use super::{ConnectionKey, EventSource};
use bytes::Bytes;
use myrtlegauge::interface::{Get, GetIndex};
use myrtlegauge_wire::protocol::fastcgi::{self, Message, Request};
use myrtlegauge_wire::protocol::{StreamError, resp};

impl Proxy {
    /// Parses the data received from clients that have some left. Disconnects and cancellations are thus known before any
    /// request received with them, or any forward decided meanwhile, is sent.
    pub fn parse_clients(&mut self) {
        while let Some(key) = self.readable_clients.pop_front() {
            let mut messages_left = MAX_CLIENT_MESSAGES;
            self.parse_client(key, &mut messages_left);
            if messages_left == 0 {
                self.ready.push(EventSource::Client(key));
            }
        }
    }

    /// Parses the data received from one client, up to a number of messages and for as long as the client reads what is
    /// written to it. It closes no other client's connection.
    pub fn parse_client(&mut self, key: ConnectionKey, messages_left: &mut u32) {
        let max_unsent_bytes = self.max_unsent_bytes();
        while *messages_left > 0
            && self.clients.get_mut(key).is_some_and(|client| !client.is_over_unsent(max_unsent_bytes))
            && self.parse_next_message(key)
        {
            *messages_left -= 1;
        }
    }

    /// Handles the next message of a client. Returns false if no complete message is left.
    fn parse_next_message(&mut self, key: ConnectionKey) -> bool {
        let (is_memory_full, bytes_per_client) = (self.is_request_memory_full(), self.bytes_per_client());
        let is_closing = self.lifecycle.state() == State::Closing;
        let Self { clients, resource_usage, now, pending_writes, .. } = self;
        let Some(client) = clients.get_mut(key) else { return false };
        if client.ignores_input {
            client.connection.parse(|inbound| inbound.clear());
            if client.has_ended {
                self.drop_client(key);
            } else if client.is_drained() {
                self.close_client(key);
            }
            return false;
        }
        match client.next_message(&resource_usage.request_bytes, *now) {
            Ok(Some(Message::Request(request))) => {
                let Request { number, keep_conn, .. } = request;
                let held_bytes = request_memory(&request);
                let is_over_share = is_memory_full && client.held_bytes() + held_bytes > bytes_per_client;
                client.has_sent_request = true;
                client.closes_after_answers |= !keep_conn;
                if is_closing || is_over_share {
                    self.memory.refused_requests += u64::from(is_over_share);
                    self.refuse_as_overloaded(key, number);
                } else {
                    resource_usage.request_bytes.add(held_bytes);
                    client.open_requests.push((number, OpenRequest { get_index: None, held_bytes }));
                    self.queued_requests.push(key, QueuedRequest { request, received_at: *now });
                    if self.taking.has_ended() {
                        self.taking = Taking::OutOfTime;
                    }
                }
            }
            Ok(Some(Message::Reply(bytes))) => {
                client.connection.enqueue(bytes);
                pending_writes.push(EventSource::Client(key));
            }
            Ok(Some(Message::Abort(number))) => {
                if let Some(request) = client.close_request(number) {
                    client.connection.enqueue(fastcgi::end_request_aborted(number));
                    pending_writes.push(EventSource::Client(key));
                    self.cancel_request(key, number, request);
                }
            }
            Ok(Some(Message::Refuse(number))) => self.refuse_request(key, number),
            Ok(None) => {
                if is_memory_full && client.held_bytes() > bytes_per_client {
                    self.refuse_incomplete(key);
                }
                let Some(client) = self.clients.get_mut(key) else { return false };
                if client.has_ended {
                    self.drop_client(key);
                } else if client.closes_after_answers && client.is_drained() {
                    self.close_client(key);
                }
                return false;
            }
            Err(StreamError(error)) => {
                self.report_fault(format_args!("invalid data on a client's connection, closing it: {error}"));
                self.close_client(key);
                return false;
            }
        }
        true
    }

    /// Refuses a request that was not forwarded, so that its client can safely retry it elsewhere.
    pub fn refuse_as_overloaded(&mut self, key: ConnectionKey, number: u16) {
        self.counters.refused += 1;
        let Some(client) = self.clients.get_mut(key) else { return };
        client.connection.enqueue(fastcgi::end_request_overloaded(number));
        self.pending_writes.push(EventSource::Client(key));
    }

    /// Answers at once a request that exceeded a limit or was not completed in time. Its connection is closed once no
    /// other request is open there, since the following data can't be used. Ordinary clients send a request in one
    /// piece.
    pub fn refuse_request(&mut self, key: ConnectionKey, number: u16) {
        self.counters.unusable += 1;
        self.report_fault(format_args!(
            "a request exceeded a limit or was not completed in time; answering 400 and closing its connection"
        ));
        if let Some(client) = self.clients.get_mut(key) {
            client.closes_after_answers = true;
        }
        self.write_answer(key, number, &ClientResponse::Unusable);
    }

    /// Takes a request if it is a valid GET. Any other request is answered here.
    pub fn accept_request(
        &mut self,
        key: ConnectionKey,
        get_index: GetIndex,
        mut request: Request,
    ) -> Option<Get> {
        request.held_version = codec::strip_etag_quotes(&request.held_version);
        let (number, held_bytes) = (request.number, request_memory(&request));
        let (mut get, id) = (self.codec.get(&request), codec::parse_hex(&request.id).unwrap_or_default());
        if let (Some(get), Some(zones)) = (&mut get, &self.zones) {
            get.in_shed_fraction =
                zones.is_in_shed_fraction(myrtlegauge::snapshot::ring_key(get.object, get.part));
        }
        let has_effects = get.as_ref().is_some_and(|get| self.has_effects(get.ds));
        let is_duplicate = get.is_some() && self.is_repeated_id(id, has_effects);
        self.counters.duplicate_ids += u64::from(is_duplicate);
        let has_room = !has_effects || self.executed_ids.has_room(self.in_flight.unanswered_count, self.now);
        let Some(mut get) = get.filter(|_| !is_duplicate && has_room) else {
            // A repeated id may have run, so that its client may not be told to try again.
            let response = if is_duplicate || has_room {
                self.response_to_unusable(&request)
            } else {
                self.refuse_effects();
                ClientResponse::Shed(None)
            };
            self.resource_usage.request_bytes.subtract(held_bytes);
            self.clients.get_mut(key)?.close_request(number);
            self.write_answer(key, number, &response);
            return None;
        };
        // The wait is limited by the longest deadline in the settings and by the time left until shutdown.
        let max_wait = self.limits.max_client_wait.min(self.lifecycle.time_left(self.now));
        get.viewer_timeout = get.viewer_timeout.min(max_wait);
        self.counters.taken += 1;
        self.startup.request_taken(self.now);
        self.counters.retries += u64::from(get.is_retry);
        let open_requests = &mut self.clients.get_mut(key)?.open_requests;
        open_requests
            .iter_mut()
            .filter(|(open, _)| *open == number)
            .for_each(|(_, open_request)| open_request.get_index = Some(get_index));
        let deadline = self.now + get.viewer_timeout;
        let client = Some((key, number));
        self.in_flight
            .insert(get_index, PendingGet { client, id, request, get, deadline, ..PendingGet::default() });
        Some(get)
    }

    /// Whether requests of this class may not run twice.
    pub fn has_effects(&self, ds: usize) -> bool {
        self.effects.get(ds).is_none_or(|effect| *effect != Effect::Idempotent)
    }

    /// Whether a request with this id may not be taken: another one is in flight, and hosts match replies by id; or it has
    /// effects and one with its id has run before.
    fn is_repeated_id(&self, id: u64, has_effects: bool) -> bool {
        self.in_flight.contains_id(id) || has_effects && self.executed_ids.contains(id)
    }

    /// The response to a request that is no valid GET: a health check, or a fault.
    fn response_to_unusable(&mut self, request: &Request) -> ClientResponse {
        if &request.path[..] == b"/health" {
            self.counters.health += 1;
            return ClientResponse::Healthy(self.is_ready());
        }
        self.counters.unusable += 1;
        let path = request.path.escape_ascii();
        self.report_fault(format_args!("invalid request for {path}, answering 400"));
        ClientResponse::Unusable
    }

    /// Counts a request with effects that is refused because the ids of others that ran lately take all room.
    fn refuse_effects(&mut self) {
        self.counters.refused += 1;
        self.memory.refused_requests += 1;
        self.report_fault(format_args!(
            "no room for the id of a further request with effects, refusing it; more memory gives more room"
        ));
    }

    pub fn write_answer(&mut self, key: ConnectionKey, number: u16, response: &ClientResponse) {
        let Self { clients, write_buffer, text_buffer, .. } = self;
        if let Some(client) = clients.get_mut(key) {
            response.write_head(text_buffer);
            let body =
                if let ClientResponse::Returned(body) = response { body.clone() } else { Bytes::new() };
            let has_body = !body.is_empty();
            let first_message = client.connection.next_message_number();
            fastcgi::write_response(write_buffer, number, text_buffer, body, |bytes| {
                _ = client.connection.enqueue(bytes)
            });
            if has_body {
                let messages = first_message..client.connection.next_message_number();
                client.record_unsent_answer(UnsentAnswer { number, messages });
            }
            self.pending_writes.push(EventSource::Client(key));
            if client.closes_after_answers {
                self.readable_clients.push_back(key);
            }
        }
    }

    /// Answers a GET. Returns false if it was answered or abandoned before.
    pub fn answer(&mut self, get_index: GetIndex, response: &ClientResponse) -> bool {
        let is_retry = self.in_flight.get_mut(get_index).get.is_retry;
        let Some((key, number)) = self.in_flight.take_client(get_index) else { return false };
        if let Some(client) = self.clients.get_mut(key) {
            client.close_request(number);
        }
        let is_returned = matches!(response, ClientResponse::Returned(_) | ClientResponse::NotModified);
        self.counters.retries_returned += u64::from(is_retry && is_returned);
        match response {
            ClientResponse::Returned(_) => self.counters.returned += 1,
            ClientResponse::NotModified => {
                self.counters.returned += 1;
                self.counters.not_modified += 1;
            }
            ClientResponse::Shed(_) => self.counters.shed += 1,
            _ => self.counters.errored += 1,
        }
        if is_returned {
            let pending = self.in_flight.get_mut(get_index);
            let (age, ds) = (pending.age(self.now), pending.get.ds);
            let is_on_time = self.limits.max_on_time.get(ds).is_none_or(|limit| age <= *limit);
            if self.startup.request_answered(is_on_time, self.now) {
                self.log_startup_step("returned");
            }
        } else {
            self.record_lost_request(get_index);
            self.log_end(get_index, response);
        }
        self.write_answer(key, number, response);
        true
    }

    /// Logs a GET that was not returned, with the request's id, its service, its number of forwards and its last end.
    fn log_end(&mut self, get_index: GetIndex, response: &ClientResponse) {
        let Some(suppressed) = self.take_end_log_line() else { return };
        let pending = self.in_flight.get_mut(get_index);
        let (id, class, attempts) =
            (String::from_utf8_lossy(&pending.request.id), pending.get.ds, pending.attempts);
        let age = pending.age(self.now);
        let (end, retry_after_ms) = match response {
            ClientResponse::Shed(after) => ("shed", after.map_or(0, |after| after.as_millis())),
            ClientResponse::Errored => ("errored", 0),
            _ => ("unusable", 0),
        };
        let age_ms = age.as_millis();
        // End and note of the last forward that ended, and the name of its host in the list.
        let (last, note, host) = match pending.last_end {
            Some((host, end, note)) => (
                format!("{end:?}"),
                format!("{note:?}"),
                String::from_utf8_lossy(&self.hosts[host].name).into_owned(),
            ),
            None => ("none".to_owned(), "none".to_owned(), "none".to_owned()),
        };
        log::info!(id:%, class, forwards = attempts, in_hand_ms = age_ms, end, retry_after_ms, last:%, note:%,
            host:%, unsaid = suppressed;
            "not returned");
    }

    fn abandon(&mut self, get_index: GetIndex) {
        if self.in_flight.take_client(get_index).is_some() {
            self.counters.abandoned += 1;
            self.abandoned_gets.push_back(get_index);
        }
    }

    /// Drops a request that no client waits for any more, whether it was taken or not.
    fn cancel_request(&mut self, key: ConnectionKey, number: u16, request: OpenRequest) {
        match request.get_index {
            Some(get_index) => self.abandon(get_index),
            None => {
                self.queued_requests.remove(key, number);
                self.resource_usage.request_bytes.subtract(request.held_bytes);
                self.counters.left_before_taken += 1;
            }
        }
    }

    /// Removes a client and cancels its open requests.
    fn remove_client(&mut self, key: ConnectionKey) -> Client {
        let client = self.clients.remove(key);
        self.check_closed(client.has_ended, client.open_requests.len());
        self.resource_usage.request_bytes.subtract(client.reader.held_bytes());
        for &(number, request) in &client.open_requests {
            self.cancel_request(key, number, request);
        }
        client
    }

    /// Removes a client whose connection has ended.
    pub fn drop_client(&mut self, key: ConnectionKey) {
        self.remove_client(key);
    }

    /// Starts a lingering close of a client's connection, now or once its open requests are answered.
    pub fn close_client(&mut self, key: ConnectionKey) {
        if !self.may_close(key) {
            return;
        }
        let client = self.remove_client(key);
        self.closing.start_close(
            EventSource::Client(key),
            client.connection,
            &mut self.read_buffer,
            self.now,
        );
    }

    /// The response to the client that a host's reply makes, or `None` if the reply is invalid. The client's held
    /// version is reported as current only if its tag was sent with the forward and the host names that tag.
    pub fn response_from_reply(
        &mut self,
        get_index: GetIndex,
        sent_version: bool,
        reply: resp::Reply,
    ) -> Option<ClientResponse> {
        if &reply.status[..] != b"304" {
            return Some(ClientResponse::Returned(reply.body));
        }
        let held = &self.in_flight.get_mut(get_index).request.held_version;
        let is_current = sent_version && reply.field("rev") == Some(&held[..]);
        is_current.then_some(ClientResponse::NotModified)
    }
}
