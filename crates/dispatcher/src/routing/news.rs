//! The change log's news, as the module takes it: each event once, in order.

use super::desk::Desk;
use super::hosts::Host;
use crate::protocol::changelog::Endpoint;
use bytes::Bytes;
use myrtlegauge::interface::{End, Entry, HostIndex, Purged, Standing};
use std::net::SocketAddr;
use std::time::Duration;

impl Desk {
    pub fn next_changes(&mut self) -> Option<Bytes> {
        let next = if std::mem::take(&mut self.feed_heard) { self.feed.next(self.now) } else { return None };
        match next {
            Ok(body) => {
                self.feed_heard = body.is_some();
                body
            }
            Err(fault) => {
                self.counters.polls_failed += 1;
                self.fault(format_args!("{}", fault.0));
                None
            }
        }
    }

    pub fn feed_unreadable(&mut self, fault: &serde_json::Error) {
        self.fault(format_args!("an answer of the change log can't be read: {fault}"));
    }

    /// Whether an event has not been taken yet.
    pub fn is_next(&mut self, number: u64) -> bool {
        let new = number > self.feed.last;
        if new {
            let last = self.feed.last;
            if number != last + 1 {
                self.fault(format_args!("the change log went from {last} to {number}"));
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
            self.fault(format_args!("a purge names neither an object nor a group"));
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
                    self.fault(format_args!("{fault}"));
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
    fn new_life(&mut self, index: HostIndex, entry: &Entry, address: SocketAddr) {
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
}
