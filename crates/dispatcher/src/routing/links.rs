//! Connections to hosts: which one a forward takes, how they come up and end, and which are known to lead to the listed
//! process.

use super::guards::SendRefusal;
use super::hosts::Link;
use super::proxy::{Proxy, Timer};
use super::{ConnectionKey, EventSource};
use myrtlegauge::host_life::{EndEvidence, lists_processes_of};
use myrtlegauge::interface::{End, Forward, GetIndex, HostIndex, HostStatus};
use myrtlegauge_wire::transport::Connection;
use std::cmp::Reverse;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of connections to one host, if descriptors allow.
const MAX_LINKS_PER_HOST: usize = 4;
/// How long a connection may take to be established. The system retransmits a lost SYN after 1 s, and the handshake
/// then takes another round trip. GETs wait for the connection only for the connect timeout in the settings.
const DIAL_TIMEOUT: Duration = Duration::from_millis(2000);

impl Proxy {
    /// Selects the connection for a forward to a host: the least loaded established one, else one that is being
    /// established, else a new one. If all are in use, one more is opened for later forwards, up to
    /// `MAX_LINKS_PER_HOST`, since a connection that is corrupted or reset fails all forwards on it. The cost, for a
    /// host to which many dispatchers connect, is one more connection from each.
    ///
    /// A resent GET does not use a connection on which it was answered before, because a late second reply to the
    /// earlier forward would be taken for the reply to the new one.
    pub fn select_link(&mut self, decision: &Forward, get_index: GetIndex) -> Result<ConnectionKey, End> {
        let Forward { host, needs_known_process, .. } = *decision;
        let is_first_connection = !self.hosts[host].was_reached;
        let answered_on = &self.in_flight.get(get_index).answered_on;
        let (links, streams, host_links) =
            (&self.links, self.limits.streams_per_connection, &self.hosts[host].links);
        let available = host_links
            .iter()
            .copied()
            .filter(|&key| links[key].has_capacity(streams) && !answered_on.contains(&key))
            .filter(|&key| !needs_known_process || is_first_connection || self.is_process_known(key));
        let least_loaded = available.min_by_key(|&key| (!links[key].is_up, links[key].in_flight_gets.len()));
        let Some(key) = least_loaded else {
            if needs_known_process && !is_first_connection {
                self.record_withheld(get_index, host, SendRefusal::ProcessUnknown);
                return Err(End::NeverSent);
            }
            return self.open_link(host);
        };
        let may_open_more = host_links.len() < MAX_LINKS_PER_HOST.min(self.max_links / self.hosts.len());
        if may_open_more
            && !links[key].in_flight_gets.is_empty()
            && host_links.iter().all(|&key| links[key].is_up || links[key].is_late)
        {
            let _ = self.open_link(host);
        }
        Ok(key)
    }

    /// Whether another host is active at a host's address that was listed there later.
    fn has_successor(&self, host: HostIndex, address: SocketAddr) -> bool {
        let mut successors = self.host_addresses.successors(host, address);
        successors.any(|successor| self.hosts[successor].entry.status == HostStatus::Active)
    }

    /// Starts to connect to a host, unless the list names another one at its address since.
    fn open_link(&mut self, host: HostIndex) -> Result<ConnectionKey, End> {
        if !self.has_room_for_link() {
            return Err(End::NeverSent);
        }
        let key = self.links.next_key();
        let address = self.hosts[host].address.ok_or(End::NoConnection)?;
        if self.has_successor(host, address) {
            return Err(End::NoConnection);
        }
        let result =
            Connection::connect(&self.event_loop, address, EventSource::Link(key), &self.resource_usage);
        // Local faults are not attributed to the host.
        let is_local_fault =
            |e: io::Error| !matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable);
        if result.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            self.on_link_lost(host, EndEvidence::DialRefused);
        }
        let connection =
            result.map_err(|e| if is_local_fault(e) { End::NeverSent } else { End::NoConnection })?;
        self.counters.links += 1;
        let now = self.now;
        let link = Link {
            connection,
            host,
            is_up: false,
            is_process_known: false,
            is_late: false,
            opened_at: now,
            in_flight_gets: Vec::new(),
            is_retired: false,
            has_ended: false,
            received_at: now,
            partial_since: None,
            last_used_at: now,
        };
        self.links.insert(key, link);
        self.hosts[host].links.push(key);
        self.timers.push(Reverse((now + self.limits.connect_timeout, Timer::ConnectTimeout(key))));
        Ok(key)
    }

    /// Handles an established connection: sends the forwards that waited for it.
    pub fn on_link_up(&mut self, key: ConnectionKey) {
        let now = self.now;
        let Some(link) = self.links.get_mut(key) else { return };
        if std::mem::take(&mut link.is_late) {
            self.late_connected_hosts.push(link.host);
        }
        (link.is_up, link.opened_at, link.received_at, link.last_used_at) = (true, now, now, now);
        link.is_process_known = !std::mem::replace(&mut self.hosts[link.host].was_reached, true);
        self.connected.push(link.host);
        for get_index in self.links[key].in_flight_gets.clone() {
            self.write_forward(key, get_index);
        }
    }

    /// Handles a failed connection attempt. The forwards that waited for it have not run.
    pub fn on_link_failed(&mut self, key: ConnectionKey, error: ErrorKind) {
        self.counters.links_failed += 1;
        let host = self.links[key].host;
        self.fail_link(key, End::NoConnection);
        if error == ErrorKind::ConnectionRefused {
            self.on_link_lost(host, EndEvidence::DialRefused);
        }
    }

    /// Handles a connection that is not established within the connect timeout. The forwards that waited for it have
    /// not run and are sent elsewhere. The attempt continues: if it succeeds, it shows that the host is alive. Until
    /// then, forwards to the host open another connection.
    ///
    /// Without this, a host whose connections are always established late would be considered dead, since each new
    /// attempt would be as late as the last. The cost is a descriptor for a host that no longer exists.
    pub fn on_connect_timeout(&mut self, key: ConnectionKey) {
        self.counters.links_late += 1;
        self.links[key].is_late = true;
        self.fail_forwards(key, End::NoConnection);
        let (dialled_at, host) = (self.links[key].opened_at, self.links[key].host);
        self.timers.push(Reverse((dialled_at + DIAL_TIMEOUT, Timer::DialTimeout(key))));
        let late_links = || self.hosts[host].links.iter().copied().filter(|&key| self.links[key].is_late);
        if late_links().count() >= MAX_LINKS_PER_HOST
            && let Some(oldest) = late_links().min_by_key(|&key| self.links[key].opened_at)
        {
            self.drop_link(oldest);
        }
    }

    /// Ends a connection and the forwards on it.
    pub fn fail_link(&mut self, key: ConnectionKey, end: End) {
        self.fail_forwards(key, end);
        self.drop_link(key);
    }

    /// Ends the forwards on a connection. A forward whose last byte was not sent has provably not run. One lost
    /// connection is reported to the decision module as one failure of the host, by its first forward; the other
    /// forwards get ends that do not count against the host.
    fn fail_forwards(&mut self, key: ConnectionKey, end: End) {
        let mut is_reported = end == End::Spoilt;
        for get_index in std::mem::take(&mut self.links[key].in_flight_gets) {
            let Some(forward) = self.in_flight.get_mut(get_index).forward.as_mut() else { continue };
            forward.link = None;
            let is_sent =
                forward.message.is_some_and(|message| self.links[key].connection.is_written(message));
            let end = match (is_sent, std::mem::replace(&mut is_reported, true)) {
                (true, false) => end,
                (true, true) => End::Spoilt,
                (false, false) => End::NoConnection,
                (false, true) => End::NeverSent,
            };
            self.ended_forwards.push_back((get_index, forward.serial, end));
        }
    }

    /// Starts a lingering close of a connection without forwards.
    pub fn close_link(&mut self, key: ConnectionKey) {
        let link = self.remove_link(key);
        self.closing.start_close(EventSource::Link(key), link.connection, &mut self.read_buffer, self.now);
    }

    /// Removes a connection without a lingering close.
    pub fn drop_link(&mut self, key: ConnectionKey) {
        self.remove_link(key);
    }

    fn remove_link(&mut self, key: ConnectionKey) -> Link {
        let link = self.links.remove(key);
        debug_assert!(link.in_flight_gets.is_empty(), "a removed connection has no forward in flight");
        self.hosts[link.host].links.retain(|&other| other != key);
        link
    }

    /// Whether the process at the other end of a connection is known to be the listed one.
    pub fn is_process_known(&self, key: ConnectionKey) -> bool {
        let link = &self.links[key];
        link.is_up && (link.is_process_known || lists_processes_of(link.opened_at, self.list_known))
    }

    /// Handles a reply that shows which process other connections of the host lead to: those that came up after its own
    /// connection and before its forward, all the time between which the same process held the address.
    pub fn confirm_processes(&mut self, key: ConnectionKey, get_index: GetIndex) {
        let Link { host, opened_at, .. } = self.links[key];
        let sent_at = self.in_flight.get(get_index).forward.map(|forward| forward.sent_at);
        if self.hosts[host].links.len() == 1 || !self.is_process_known(key) {
            return;
        }
        for &other in &self.hosts[host].links {
            let other = &mut self.links[other];
            let is_between = opened_at < other.opened_at && Some(other.opened_at) < sent_at;
            other.is_process_known |= other.is_up && is_between;
        }
    }
}
