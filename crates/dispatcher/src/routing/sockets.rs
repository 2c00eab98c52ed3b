//! The proxy's sockets: reading, writing, accepting and closing connections.

use super::client_reads::{MAX_CLIENT_READ_BYTES, Taking, UnreadInput};
use super::clients::Client;
use super::hosts::Link;
use super::lifecycle::State;
use super::proxy::{Proxy, SWEEP_INTERVAL};
use super::{ConnectionKey, EventSource};
use myrtlegauge::interface::End;
use myrtlegauge_wire::host_replies::read_replies;
use myrtlegauge_wire::transport::{Connection, ReadOutcome};
use std::time::Duration;

/// Time in which a request, and the first one on a connection, must be complete; far above the round trips of a slow
/// network. It is not part of any deadline, since a request's deadline counts from its last byte.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes read in one iteration from a host, whose replies are larger.
pub const MAX_HOST_READ_BYTES: usize = 256 * 1024;
/// How often a seemingly idle connection that keeps receiving bytes is read again before it is closed nevertheless.
const MAX_IDLE_RECHECKS: usize = 4;

impl Proxy {
    /// Reads from all ready sources as far as the buffers allow, accepts clients, handles timers and polls the change
    /// log.
    pub fn read_ready(&mut self) {
        let last_active = std::mem::replace(&mut self.now, self.clock.now());
        self.detect_pause(last_active);
        // Before connections come up, since waiting forwards are then written as they are.
        self.update_unknown_purges();
        self.taking = Taking::NotStarted;
        let mut backlog = Vec::new();
        for _ in 0..self.ready.len() {
            let Some(source) = self.ready.pop() else { break };
            let has_more = !self.is_backlogged(source) && self.read_source(source);
            if self.is_backlogged(source) {
                backlog.push(source);
            } else if has_more {
                self.ready.push(source);
            }
        }
        self.read_backlog(backlog);
        self.refuse_largest_incomplete();
        self.replace_unread_answers();
        self.accept_clients();
        self.fire_timers();
        self.poll();
    }

    /// Reads from a source. Returns whether there is more to read, now or once the buffers have room.
    fn read_source(&mut self, source: EventSource) -> bool {
        match source {
            EventSource::Listener => {
                self.accepting = true;
                false
            }
            EventSource::Client(key) => self.on_client_ready(key, self.client_piece_bytes),
            EventSource::Link(key) => self.on_link_ready(key),
            // What was received before is applied before more is read, so that it can't pile up.
            EventSource::ChangeLog if self.has_change_log_data => true,
            EventSource::ChangeLog => {
                self.has_change_log_data = true;
                self.change_log.on_ready(&mut self.read_buffer, self.now)
            }
            EventSource::Replica(key) => {
                let Self { replicas, read_buffer, .. } = self;
                replicas.as_mut().is_some_and(|replicas| replicas.on_ready(key, read_buffer))
            }
        }
    }

    fn on_link_ready(&mut self, key: ConnectionKey) -> bool {
        let Some(link) = self.links.get_mut(key) else {
            return self.closing.on_ready(EventSource::Link(key), &mut self.read_buffer).unwrap_or(false);
        };
        if !link.is_up {
            match link.connection.is_connected() {
                Ok(true) => self.on_link_up(key),
                Ok(false) => return false,
                Err(e) => self.on_link_failed(key, e.kind()),
            }
            return true;
        }
        let are_buffers_full = self.are_buffers_full();
        let Self { links, read_buffer, now, .. } = self;
        let link = &mut links[key];
        let has_failed = link.connection.flush().is_err();
        if are_buffers_full && !link.connection.has_room_reserved() && !has_failed {
            // What the host has sent waits here, so the host is not at fault for the delay.
            link.partial_since = link.partial_since.map(|_| *now);
            return true;
        }
        let unparsed_before = link.connection.unparsed_bytes();
        let read_outcome = read_replies(&mut link.connection, read_buffer, MAX_HOST_READ_BYTES);
        let has_more = read_outcome == ReadOutcome::More;
        // What the host wrote before its connection failed is read first.
        link.has_ended |= has_failed && !has_more || read_outcome == ReadOutcome::Closed;
        if link.connection.unparsed_bytes() > unparsed_before {
            link.received_at = *now;
        }
        if has_more {
            // The rest of the reply is already received, so the host is not at fault for the delay.
            link.partial_since = link.partial_since.map(|_| *now);
        }
        self.readable_links.push_back(key);
        has_more
    }

    /// Whether there is more to read on a connection to a host that may be read now. While the buffers are full, only the
    /// rest of replies for which room is reserved is read: it takes no further memory, and nothing else may make room.
    pub fn has_readable_link(&self) -> bool {
        let may_read = |key: ConnectionKey| {
            !self.are_buffers_full()
                || self.links.get(key).is_some_and(|link| link.connection.has_room_reserved())
        };
        self.ready.iter().any(|source| matches!(source, EventSource::Link(key) if may_read(*key)))
    }

    /// Accepts waiting clients. At the limit, the oldest connection that never sent a request is closed to make room,
    /// else the one that has been idle for longest. If none is idle, clients wait in the listener's queue.
    fn accept_clients(&mut self) {
        while self.accepting {
            let is_at_limit = self.clients.len() >= self.max_clients;
            if is_at_limit && self.longest_idle_client().is_none() {
                return;
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok(Some(stream)) => {
                    while is_at_limit
                        && let Some(key) = self.longest_idle_client()
                        && !self.close_idle_client(key)
                    {}
                    let key = self.clients.next_key();
                    let source = EventSource::Client(key);
                    if let Ok(connection) =
                        Connection::from_accepted(&self.event_loop, stream, source, &self.resource_usage)
                    {
                        self.clients.insert(key, Client::new(connection, self.now));
                        self.counters.clients += 1;
                        self.ready.push(source);
                    }
                }
                Ok(None) => self.accepting = false,
                Err(e) => {
                    return self.report_fault(format_args!(
                        "can't accept a client's connection, trying again in the next iteration: {e}"
                    ));
                }
            }
        }
    }

    /// Closes a seemingly idle connection unless a request has just been received on it. Returns whether it is closed.
    ///
    /// After `MAX_IDLE_RECHECKS` reads, which take in more than the longest request, a connection without a request is
    /// closed although more data may come.
    fn close_idle_client(&mut self, key: ConnectionKey) -> bool {
        for _ in 0..MAX_IDLE_RECHECKS {
            let has_more = self.read_client(key, MAX_CLIENT_READ_BYTES);
            let Some(client) = self.clients.get_mut(key) else { return true };
            if !client.is_evictable() {
                self.keep_reading(key, has_more);
                return false;
            }
            if !has_more {
                break;
            }
        }
        self.close_client(key);
        true
    }

    /// Has the rest of a client's input read in the next iteration, if there is more.
    fn keep_reading(&mut self, key: ConnectionKey, has_more: bool) {
        if has_more {
            self.ready.push(EventSource::Client(key));
        }
    }

    /// Advances a requested shutdown: reads all connections once more before further requests are refused, then
    /// closes each connection that is idle.
    pub fn advance_shutdown(&mut self) {
        if self.lifecycle.should_close(self.now) {
            self.accepting = true;
            self.accept_clients();
            let keys: Vec<ConnectionKey> = self.clients.iter().map(|(key, _)| key).collect();
            for key in keys {
                let has_more = self.read_client(key, MAX_CLIENT_READ_BYTES);
                self.keep_reading(key, has_more);
            }
            self.listener = None;
            self.lifecycle.close();
        }
        if self.lifecycle.state() != State::Closing {
            return;
        }
        let is_closable = |client: &Client| client.is_idle() && !client.has_ended;
        let closable: Vec<ConnectionKey> =
            self.clients.iter().filter(|(_, client)| is_closable(client)).map(|(key, _)| key).collect();
        for key in closable {
            self.close_idle_client(key);
        }
        let is_closing_clients = self.closing.keys().any(|source| matches!(source, EventSource::Client(_)));
        self.lifecycle.advance(
            self.clients.len() == 0 && !is_closing_clients && self.in_flight.unanswered_count == 0,
            self.now,
        );
        if self.lifecycle.state() == State::Done {
            self.half_close_links();
        }
    }

    /// Last step of the shutdown: half-closes the connections to hosts and discards what the hosts have just written.
    fn half_close_links(&mut self) {
        let Self { links, read_buffer, .. } = self;
        for (_, link) in links.iter_mut().filter(|(_, link)| link.is_up) {
            let _ = link.connection.flush();
            link.connection.half_close();
            link.connection.discard(read_buffer, MAX_HOST_READ_BYTES);
        }
    }

    /// The evictable client to close first, if any.
    fn longest_idle_client(&self) -> Option<ConnectionKey> {
        let idle = self.clients.iter().filter(|(_, client)| client.is_evictable());
        let idle_since = |client: &Client| {
            if client.has_sent_request { client.last_active_at } else { client.accepted_at }
        };
        idle.min_by_key(|(_, client)| (client.has_sent_request, idle_since(client))).map(|(key, _)| key)
    }

    /// Closes the connection to a host that has been unused for longest. Returns false if all are in use.
    pub fn close_idle_link(&mut self) -> bool {
        let idle = self
            .links
            .iter()
            .filter(|(_, link)| link.in_flight_gets.is_empty())
            .min_by_key(|(_, link)| link.last_used_at);
        let Some(key) = idle.map(|(key, _)| key) else { return false };
        self.close_link(key);
        true
    }

    /// Whether another connection to a host may be opened, after closing an idle one if needed.
    pub fn has_room_for_link(&mut self) -> bool {
        self.links.len() < self.max_links || self.close_idle_link()
    }

    /// Writes the messages that were enqueued in this round.
    pub fn flush_connections(&mut self) {
        let (max_unsent_bytes, now) = (self.max_unsent_bytes(), self.now);
        while let Some(source) = self.pending_writes.pop() {
            match source {
                EventSource::Client(key) => {
                    let Some(client) = self.clients.get_mut(key) else { continue };
                    client.flush(now);
                    let is_paused = client.unread_input == Some(UnreadInput::Paused);
                    if is_paused && !client.is_over_unsent(max_unsent_bytes) {
                        self.ready.push(source);
                    }
                    if client.has_ended || client.closes_after_answers && client.is_drained() {
                        self.readable_clients.push_back(key);
                    }
                }
                EventSource::Link(key) => {
                    let Some(link) = self.links.get_mut(key) else { continue };
                    if link.is_up && link.connection.flush().is_err() && !link.has_ended {
                        link.has_ended = true;
                        self.readable_links.push_back(key);
                    }
                }
                EventSource::ChangeLog | EventSource::Replica(_) | EventSource::Listener => {}
            }
        }
    }

    /// Closes idle and stuck connections once in each `SWEEP_INTERVAL`. Returns true if it did so and no ended
    /// forward remains to be reported.
    pub fn sweep(&mut self) -> bool {
        if self.now < self.next_sweep_at {
            return false;
        }
        self.next_sweep_at = self.now + SWEEP_INTERVAL;
        let (now, idle, max_client_wait) = (self.now, self.limits.idle_timeout, self.limits.max_client_wait);
        let is_unneeded = |link: &Link| {
            link.is_up
                && link.in_flight_gets.is_empty()
                && (link.is_retired || idle > Duration::ZERO && now >= link.last_used_at + idle)
        };
        let unneeded: Vec<ConnectionKey> =
            self.links.iter().filter(|(_, link)| is_unneeded(link)).map(|(key, _)| key).collect();
        for key in unneeded {
            self.counters.links_idle += 1;
            self.close_link(key);
        }
        self.closing.expire(now);
        self.release_removed_hosts();
        self.sweep_clients();
        let mut unreading = Vec::new();
        for (key, client) in self.clients.iter_mut() {
            if !client.record_write_progress(now) && now >= client.write_progress_at + max_client_wait {
                // The client has read nothing of its answers for longer than any client waits.
                unreading.push(key);
            }
        }
        for key in unreading {
            // Its requests have timed out, so it waits for nothing.
            self.clients[key].has_ended = true;
            self.drop_client(key);
        }
        self.fail_stuck_links();
        self.ended_forwards.is_empty()
    }

    /// Ends connections on which an incomplete reply is not completed in time, since it blocks all replies behind it.
    /// The cost is a good connection lost if a host takes longer than the timeout between two writes of one reply.
    fn fail_stuck_links(&mut self) {
        let is_stuck = |link: &Link| {
            link.partial_since.is_some_and(|since| self.now >= since + self.limits.partial_timeout)
        };
        let stuck: Vec<ConnectionKey> =
            self.links.iter().filter(|(_, link)| is_stuck(link)).map(|(key, _)| key).collect();
        for key in stuck {
            self.counters.links_stuck += 1;
            self.fail_link(key, End::Spoilt);
        }
    }

    /// Refuses requests that are not completed in time, and closes connections on which nothing complete is received.
    /// The cost is an error for a client that takes longer to write a request, which does not happen on an
    /// undisturbed network.
    fn sweep_clients(&mut self) {
        let oldest_allowed = self.now.saturating_sub(REQUEST_TIMEOUT);
        let is_stuck = |client: &Client| {
            client.partial_since.is_some_and(|since| since < oldest_allowed)
                || !client.has_sent_request && client.accepted_at < oldest_allowed
        };
        let keys: Vec<ConnectionKey> = self
            .clients
            .iter()
            .filter(|(_, client)| !client.is_evictable() || !client.has_sent_request)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            while let Some(client) = self.clients.get_mut(key)
                && let Some(number) =
                    client.refuse_older_than(&self.resource_usage.request_bytes, oldest_allowed)
            {
                self.refuse_request(key, number);
            }
            let client = &mut self.clients[key];
            if is_stuck(client) && !client.ignores_input {
                self.counters.silent_clients += 1;
                self.close_client(key);
            }
        }
    }
}
