//! The change log's news, as the module takes it: each event once, in order.

use super::hosts::Host;
use super::in_flight::{Out, Pending};
use super::proxy::Proxy;
use super::replicas::{Change, Doubt};
use bytes::Bytes;
use myrtlegauge::host_life::{EndEvidence, is_to_new_process};
use myrtlegauge::interface::{End, HostEntry, HostIndex, HostStatus, PurgeKey};
use myrtlegauge_wire::change_log_client::SequenceCheck;
use myrtlegauge_wire::protocol::StreamError;
use myrtlegauge_wire::protocol::changelog::Endpoint;
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::time::Duration;

/// A gap between two turns of the loop, which wakes many times a second, that tells that the process did not run. Under
/// any grace on purges.
const FROZEN: Duration = Duration::from_millis(750);
/// After the longest wait of any client, for what still ends then.
const LET_GO: Duration = Duration::from_millis(1000);

impl Proxy {
    /// Polls the change log, or the replicas where they are polled in its place.
    pub fn poll(&mut self) {
        let Self { replicas, hub, accounts, now, .. } = self;
        let Some(replicas) = replicas else {
            let is_lost = self.feed.poll_if_due(&self.hub, &self.accounts, self.now);
            self.counters.polls_failed += u64::from(is_lost);
            return;
        };
        let lost: Vec<_> = std::iter::from_fn(|| replicas.hear(*now)).filter_map(Result::err).collect();
        replicas.ask(hub, accounts, *now);
        for poll in lost {
            self.counters.polls_failed += 1;
            self.fault(format_args!("replica {poll}"));
        }
    }

    /// When the next poll is to be asked or given up.
    pub fn news_due(&self) -> Duration {
        self.replicas.as_ref().map_or(self.feed.deadline, |replicas| replicas.due(self.now))
    }

    /// What a replica told that is to be applied next.
    pub fn next_replicated(&mut self) -> Option<Change> {
        self.replicas.as_mut()?.next_change()
    }

    /// Whether copies are in doubt, where replicas are polled; what was decided before a doubt and not sent is decided
    /// again.
    pub fn look_for_doubt(&mut self) {
        let Some(replicas) = &mut self.replicas else { return };
        let doubt = replicas.in_doubt(self.now);
        self.list_known = self.list_known.max(replicas.list_known());
        self.doubted = matches!(doubt, Doubt::Begins | Doubt::Lasts).then_some(self.now);
        match doubt {
            Doubt::Begins => {
                self.counters.gaps += 1;
                log::warn!("replication: no replica has answered in time: copies are doubted until one does");
                self.decide_anew(|_, _| true);
            }
            Doubt::Ends => {
                log::info!("replication: attached, copies are doubted no more");
                if self.startup.log_synced(self.now) {
                    self.tell_return("whole");
                }
            }
            Doubt::Lasts | Doubt::None => {}
        }
    }

    /// At the end, tells the replica that this dispatcher leaves.
    pub fn leave_replicas(&mut self) {
        let is_done = self.is_done();
        let Self { replicas, hub, accounts, now, has_left_replicas, .. } = self;
        let Some(replicas) = replicas else { return };
        *has_left_replicas = is_done && replicas.leave(hub, accounts, *now);
    }

    pub fn next_changes(&mut self) -> Option<Bytes> {
        if !std::mem::take(&mut self.feed_heard) {
            return None;
        }
        match self.feed.next_answer(self.now) {
            Ok(body) => {
                self.feed_heard = body.is_some();
                body
            }
            Err(StreamError(what)) => {
                self.unread(format_args!("{what}"));
                None
            }
        }
    }

    pub fn last_change(&self) -> u64 {
        self.feed.last_seq
    }

    /// An answer that could not be read is asked for again on a new connection.
    pub fn unread(&mut self, what: Arguments<'_>) {
        self.counters.polls_failed += 1;
        self.fault(what);
        self.feed.disconnect(self.now);
    }

    /// An answer was taken; `before` was the last event until then.
    pub fn polled(&mut self, before: u64) {
        self.list_known = self.feed.polled_at();
        if self.doubted.is_none_or(|woke| self.feed.polled_at() >= woke) {
            self.doubted = None;
            if self.startup.log_synced(self.now) {
                self.tell_return("whole");
            }
        }
        if self.feed.last_seq == before {
            self.feed.on_empty_answer(self.now);
        }
    }

    /// After a time in which nothing ran here, since `before`, a machine asleep or a process frozen, what is believed is old: purges and
    /// the list are doubted until the change log has answered what is asked from now on, at once.
    ///
    /// Guards against copies from before a purge that was told meanwhile. It hurts by fills for what is asked until then.
    pub fn look_for_gap(&mut self, before: Duration) {
        let now = self.now;
        if now >= before + FROZEN {
            let gap_ms = (now - before).as_millis() as u64;
            log::warn!(gap_ms; "nothing ran here for a while: copies are doubted until the change log has answered");
            if self.replicas.is_none() {
                self.doubted = Some(now);
                self.feed.poll_immediately(now);
            }
            self.doubt_processes(before);
            self.counters.gaps += 1;
            if let Some(zones) = &mut self.zones {
                zones.woke(now);
                self.zones_due = now;
            }
        }
    }

    /// Whatever ended since `before` was not seen to: a host without a connection may have another process by now.
    fn doubt_processes(&mut self, before: Duration) {
        for index in 0..self.hosts.len() {
            if !self.hosts[index].name.is_empty() && !self.has_live_link(index) {
                self.process_ended(index, before, EndEvidence::Unobserved);
            }
        }
    }

    /// Whether a connection to a host is up, so that its process is the one that it was.
    fn has_live_link(&self, host: HostIndex) -> bool {
        self.hosts[host].links.iter().any(|&key| self.links[key].up && !self.links[key].ended)
    }

    /// A connection has ended at its other end, or a dial was refused. Where no other is up, the process may be gone.
    pub fn lost_link(&mut self, host: HostIndex, evidence: EndEvidence) {
        let is_unseen = evidence == EndEvidence::ConnectionsEnded && self.doubted.is_some();
        let evidence = if is_unseen { EndEvidence::Unobserved } else { evidence };
        if !self.has_live_link(host) {
            self.process_ended(host, self.now, evidence);
        }
    }

    fn process_ended(&mut self, host: HostIndex, at: Duration, evidence: EndEvidence) {
        self.hosts[host].process_ended_at = Some(at);
        self.processes_ended.push((host, at, evidence));
    }

    /// Whether an event has not been taken yet; none if others should have come before it.
    pub fn is_next(&mut self, number: u64) -> Option<bool> {
        let step = self.feed.accept(number, self.now);
        if let SequenceCheck::GapRetried(last) | SequenceCheck::GapAccepted(last) = step {
            self.fault(format_args!("the change log went from {last} to {number}"));
        }
        let taken = match step {
            SequenceCheck::Duplicate => Some(false),
            SequenceCheck::GapRetried(_) => None,
            SequenceCheck::Next | SequenceCheck::GapAccepted(_) => Some(true),
        };
        self.counters.changes += u64::from(taken == Some(true));
        taken
    }

    pub fn told_up_to(&mut self, last: u64) {
        self.feed.last_seq = self.feed.last_seq.max(last);
    }

    /// What a purge names. It counts from now on, when it is heard of: its time is another machine's claim, and late is safe.
    pub fn purged(&mut self, named: Option<PurgeKey>) -> Option<PurgeKey> {
        if named.is_none() {
            self.fault(format_args!("a purge names neither an object nor a group"));
        }
        self.counters.purges += 1;
        let named = named?;
        self.decide_anew(|pending, _| match named {
            PurgeKey::Object(object) => pending.get.object == object,
            PurgeKey::Group(group) => pending.get.group == group,
        });
        Some(named)
    }

    /// The list's lines as entries; a host that started anew gets new connections. Whom a whole list leaves out is
    /// gone.
    pub fn listed(&mut self, lines: &[Endpoint<'_>], whole: bool) -> Vec<HostEntry> {
        let mut entries = Vec::with_capacity(lines.len());
        for index in 0..if whole { self.hosts.len() } else { 0 } {
            if !lines.iter().any(|line| line.name.as_bytes() == self.hosts[index].name) {
                let Host { entry, address, .. } = self.hosts[index];
                self.stands(index, HostEntry { status: HostStatus::Removed, ..entry }, address);
            }
        }
        for line in lines {
            let (index, new) = self.places.register(&line.name);
            if new {
                let host = Host {
                    name: Bytes::copy_from_slice(line.name.as_bytes()),
                    entry: HostEntry { host: index, weight: 1.0, ..HostEntry::default() },
                    address: None,
                    gone_at: None,
                    process_ended_at: None,
                    links: Vec::new(),
                };
                match self.hosts.get_mut(index) {
                    Some(place) => *place = host,
                    None => self.hosts.push(host),
                }
            }
            let Host { entry: known, address, .. } = &self.hosts[index];
            let (entry, fault) = self.places.resolve_entry(known, line, &self.clock, self.now);
            let address = line.address.parse().ok().or(*address);
            if let Some(what) = fault {
                self.fault(format_args!("host {} has {what}: taken as gone", line.name));
            }
            self.stands(index, entry, address);
            entries.push(self.zones.as_ref().map_or(entry, |zones| zones.told(entry)));
        }
        self.listed |= !entries.is_empty();
        if self.listed && self.startup.hosts_known(self.now) {
            self.tell_return("ready");
        }
        entries
    }

    /// Takes a host's entry and address as they are told now, with all that follows for its connections.
    fn stands(&mut self, index: HostIndex, entry: HostEntry, address: Option<SocketAddr>) {
        let gone = entry.status == HostStatus::Removed;
        let host = &mut self.hosts[index];
        let has_started = has_another_start(&host.entry, &entry);
        (host.entry, host.gone_at) = (entry, host.gone_at.or(Some(self.now)).filter(|_| gone));
        self.new_life(index, address, has_started);
        if entry.status != HostStatus::Active {
            self.decide_anew(|_, out| out.to.host == index || out.to.source == index);
        }
    }

    /// Gives back what a host had that is gone for longer than any GET lasts: by then nothing in hand or in the
    /// module names its index, and a new host may take it.
    pub fn forget_gone(&mut self) {
        let longest = self.limits.longest + LET_GO;
        for host in &mut self.hosts {
            let over = host.gone_at.is_some_and(|at| self.now >= at + longest);
            if over && host.links.is_empty() && !host.name.is_empty() {
                self.places.unregister(&host.name);
                self.counters.hosts_forgotten += 1;
                (host.name, host.address) = (Bytes::new(), None);
            }
        }
    }

    /// Ends connections of a process that is no more: this host's earlier one, or another's at the same address.
    ///
    /// After a start that is heard of, connections go on that came up after its process was seen to end: they are to the new one.
    fn new_life(&mut self, index: HostIndex, address: Option<SocketAddr>, has_started: bool) {
        let ended = self.hosts[index].process_ended_at;
        let moved = std::mem::replace(&mut self.hosts[index].address, address) != address;
        let entry = self.hosts[index].entry;
        for host in 0..self.hosts.len() {
            let own = host == index;
            if !own && (self.hosts[host].address != address || entry.status != HostStatus::Active) {
                continue;
            }
            for key in self.hosts[host].links.clone() {
                let link = &mut self.links[key];
                let is_earlier = link.up && !is_to_new_process(link.since, ended, self.list_known);
                if !own || moved || has_started && is_earlier {
                    self.end_link(key, End::Reset);
                } else if entry.status == HostStatus::Removed {
                    link.retired = true;
                }
            }
        }
    }

    /// What still waits for a connection, or in the queue of one that its host does not read, was decided before this news:
    /// it never ran and is decided again. Guards drains and purges, whose graces may be shorter than a connection takes or
    /// a host hangs. It hurts by one forward of a GET.
    pub fn decide_anew(&mut self, concerned: impl Fn(&Pending, &Out) -> bool) {
        if !self.guards.sending {
            return;
        }
        for (_, link) in self.links.iter_mut() {
            let (in_flight, ended, connection) = (&mut self.in_flight, &mut self.ended, &mut link.connection);
            link.out.retain(|&place| {
                let pending = in_flight.at(place);
                let out = pending.out.filter(|out| concerned(pending, out));
                let unsent = |out: &Out| out.message.is_none_or(|message| connection.cancel_unsent(message));
                let out = out.filter(unsent);
                if let Some(out) = out {
                    pending.out = Some(Out { link: None, ..out });
                    ended.push_back((place, out.serial, End::NeverSent));
                }
                out.is_none()
            });
        }
    }
}

/// Whether a line of a host tells of another start than the one that is known.
fn has_another_start(known: &HostEntry, told: &HostEntry) -> bool {
    told.start.claimed_unix_ms() != 0 && told.start.claimed_unix_ms() != known.start.claimed_unix_ms()
}
