//! Updates of the host list: the hosts and their entries, and which connections to them end with an update.

use super::hosts::Host;
use super::proxy::Proxy;
use bytes::Bytes;
use myrtlegauge::host_life::is_to_new_process;
use myrtlegauge::interface::{End, HostEntry, HostIndex, HostStatus};
use myrtlegauge_wire::protocol::changelog::Endpoint;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A removed host's slot is released this long after the longest client wait, for forwards that end at that time.
const RELEASE_MARGIN: Duration = Duration::from_millis(1000);

impl Proxy {
    /// Applies lines of the host list and returns their entries. A restarted host gets new connections. Hosts missing
    /// from a full list are removed.
    pub fn update_hosts(&mut self, lines: &[Endpoint<'_>], is_full_list: bool) -> Vec<HostEntry> {
        let mut entries = Vec::with_capacity(lines.len());
        if is_full_list {
            self.remove_unlisted_hosts(lines);
        }
        for line in lines {
            let (index, is_new_host) = self.host_registry.register(&line.name);
            if is_new_host {
                let host = Host {
                    name: Bytes::copy_from_slice(line.name.as_bytes()),
                    entry: HostEntry { host: index, weight: 1.0, ..HostEntry::default() },
                    address: None,
                    removed_at: None,
                    process_ended_at: None,
                    was_reached: false,
                    links: Vec::new(),
                };
                self.written_requests.forget(index);
                match self.hosts.get_mut(index) {
                    Some(slot) => *slot = host,
                    None => self.hosts.push(host),
                }
            }
            let Host { entry: known, address, .. } = &self.hosts[index];
            let (entry, fault) = self.host_registry.resolve_entry(known, line, &self.clock, self.now);
            let address = line.address.parse().ok().or(*address);
            if let Some(fault) = fault {
                self.report_fault(format_args!("host {} has {fault}; treating it as removed", line.name));
            }
            self.update_host(index, entry, address);
            entries.push(self.zones.as_ref().map_or(entry, |zones| zones.adjust_entry(entry)));
        }
        self.has_host_list |= !entries.is_empty();
        if self.has_host_list && self.startup.hosts_known(self.now) {
            self.log_startup_step("ready");
        }
        entries
    }

    /// Removes the hosts that a full list does not name.
    fn remove_unlisted_hosts(&mut self, lines: &[Endpoint<'_>]) {
        let listed: HashSet<&[u8]> = lines.iter().map(|line| line.name.as_bytes()).collect();
        for index in 0..self.hosts.len() {
            let Host { entry, address, ref name, .. } = self.hosts[index];
            if !listed.contains(&name[..]) {
                self.update_host(index, HostEntry { status: HostStatus::Removed, ..entry }, address);
            }
        }
    }

    /// Applies a host's current entry and address, and closes or retires its connections accordingly.
    fn update_host(&mut self, index: HostIndex, entry: HostEntry, address: Option<SocketAddr>) {
        let is_removed = entry.status == HostStatus::Removed;
        let host = &mut self.hosts[index];
        let has_restarted = has_new_start(&host.entry, &entry);
        (host.entry, host.removed_at) = (entry, host.removed_at.or(Some(self.now)).filter(|_| is_removed));
        if has_restarted {
            self.record_listed_start(index);
        }
        self.close_outdated_links(index, address, has_restarted);
        if entry.status != HostStatus::Active {
            self.outdated_decisions.hosts.insert(index);
        }
    }

    /// Releases the slots of hosts that were removed longer ago than any GET lasts. By then no GET in flight and
    /// nothing in the decision module refers to the host's index, so a new host may reuse it.
    pub fn release_removed_hosts(&mut self) {
        let release_after = self.limits.max_client_wait + RELEASE_MARGIN;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let is_expired = host.removed_at.is_some_and(|at| self.now >= at + release_after);
            if is_expired && host.links.is_empty() && !host.name.is_empty() {
                self.host_registry.unregister(&host.name);
                self.counters.hosts_released += 1;
                host.name = Bytes::new();
                self.host_addresses.replace(index, &mut host.address, None, self.now);
            }
        }
    }

    /// Ends connections to a process that no longer exists: this host's earlier process, or another host's process at
    /// the same address.
    ///
    /// After a reported restart, connections are kept that were established after the old process was observed to
    /// end, since they lead to the new one.
    fn close_outdated_links(&mut self, index: HostIndex, address: Option<SocketAddr>, has_restarted: bool) {
        let process_ended_at = self.hosts[index].process_ended_at;
        let known_address =
            self.host_addresses.replace(index, &mut self.hosts[index].address, address, self.now);
        let has_moved = known_address != address;
        if let Some(address) = address.filter(|_| has_restarted) {
            self.host_addresses.restart(index, address, self.now);
        }
        self.hosts[index].was_reached &= !has_moved && !has_restarted;
        let entry = self.hosts[index].entry;
        // Another host's process at the same address has ended once this one is active there.
        let replaced = address.filter(|_| entry.status == HostStatus::Active);
        let replaced = replaced.map_or(Vec::new(), |address| self.host_addresses.hosts_at(address).collect());
        for host in replaced.into_iter().filter(|&host| host != index).chain([index]) {
            let is_same_host = host == index;
            for key in self.hosts[host].links.clone() {
                let link = &mut self.links[key];
                let is_to_old_process =
                    link.is_up && !is_to_new_process(link.opened_at, process_ended_at, self.list_known);
                if !is_same_host || has_moved || has_restarted && is_to_old_process {
                    self.fail_link(key, End::Reset);
                } else if entry.status == HostStatus::Removed {
                    link.is_retired = true;
                }
            }
        }
    }
}

/// Whether a host's listed entry has another start than the known one.
fn has_new_start(known: &HostEntry, listed: &HostEntry) -> bool {
    listed.start.claimed_unix_ms() != 0 && listed.start.claimed_unix_ms() != known.start.claimed_unix_ms()
}
