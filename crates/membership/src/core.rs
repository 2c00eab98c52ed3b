//! The membership core: member records, probes and suspicion. It has no I/O and no clock, and its order never depends on a
//! hash.

use crate::errors::MembershipError;
use crate::health::{
    EXCHANGE_TIMEOUT, ExchangeFailure, Health, PAUSE_THRESHOLD, PROBE_INTERVAL, PROBE_TIMEOUT, TokenBucket,
};
use crate::message::{
    Body, Datagram, Exchange, MAX_DATAGRAM_BYTES, MAX_EXCHANGE_BYTES, MAX_GOSSIPED_RECORDS, MAX_NAME_BYTES,
    MemberRecord, MemberState, MemberVersion, decode, encode, fleet_id,
};
use crate::refused_versions::RefusedVersions;
use crate::view::{Change, Reach, View};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The number of members that are requested to probe indirectly: with three, one bad network path among them does not
/// matter.
const INDIRECT_PROBES: usize = 3;
/// Members that receive a change at once. The others receive it with messages that are sent anyway.
const IMMEDIATE_GOSSIP: usize = 3;
/// The retransmit limit of a record, for each doubling of the fleet.
const RETRANSMITS_PER_DOUBLING: u32 = 3;
/// The time between two exchanges with the same suspect.
const SUSPECT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(1000);
/// The minimum time between two anti-entropy exchanges.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(15);
/// The bytes a second that anti-entropy exchanges may come to, at any size of the fleet.
const EXCHANGE_BYTES_PER_SECOND: f64 = 250.0;
/// The time between two attempts to reach a dead member, or a seed peer that is not known.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(1500);
/// After this time a dead member no longer counts as part of the last known fleet, where this member reaches most of it.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The maximum number of recorded members, so that made-up names cannot fill the memory.
const MAX_MEMBERS: usize = 4096;
/// The maximum number of accusers, and of vouchers, recorded for a member.
const MAX_WITNESSES: usize = 4;
/// The maximum number of indirect probes for other members in progress.
const MAX_RELAYED_PROBES: usize = 64;
/// The maximum number of exchanges in progress.
const MAX_EXCHANGES: usize = 32;

/// The identity of this member.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// The name. It has to be unique in the fleet.
    pub name: String,
    /// Where others reach it, by datagrams and by connections.
    pub address: SocketAddr,
    /// The name of the fleet.
    pub fleet: String,
    /// Unix milliseconds of its start.
    pub generation: u64,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Open a connection, send [`Membership::exchange_message`], and pass the answer to
    /// [`Membership::on_exchange_result`].
    Exchange {
        address: SocketAddr,
    },
    /// Report a change.
    Changed(Change),
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    version: MemberVersion,
    state: MemberState,
    /// When it entered this state.
    since: Duration,
    /// It has answered this member.
    has_answered: bool,
    /// Members that have answered this one and that report it. With two of them it counts, even if it has not answered
    /// this member itself.
    vouchers: BTreeSet<String>,
    /// Members that report it as suspect, dead or left.
    accusers: BTreeSet<String>,
    /// Since when this member has evidence of its own against it. None: there is only gossip.
    unanswered_since: Option<Duration>,
    exchange_failure: Option<ExchangeFailure>,
    next_exchange: Duration,
    /// How often its record is still to be sent.
    transmits_left: u32,
    /// Others report that it left; it has not announced that itself.
    is_reported_left: bool,
}

/// A direct probe in progress.
#[derive(Clone, Debug)]
struct Probe {
    seq: u32,
    target: String,
    sent_at: Duration,
    /// Others were requested to probe the target as well.
    is_indirect: bool,
}

/// An indirect probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    seq: u32,
    requester: SocketAddr,
    requester_seq: u32,
    expires_at: Duration,
}

/// The membership of a fleet as one member knows it.
pub struct Membership {
    local: MemberRecord,
    fleet: u64,
    members: BTreeMap<String, Member>,
    refused_versions: RefusedVersions,
    seed_peers: Vec<SocketAddr>,
    expected_members: usize,
    rng: fastrand::Rng,
    health: Health,
    send_budget: TokenBucket,
    /// The members still to be probed in this round.
    probe_order: Vec<String>,
    probes: VecDeque<Probe>,
    relayed_probes: VecDeque<RelayedProbe>,
    /// The exchanges in progress, and when they began.
    exchanges: BTreeMap<SocketAddr, Duration>,
    last_seq: u32,
    now: Duration,
    next_probe: Duration,
    next_reconnect: Duration,
    next_exchange: Duration,
    last_answer_at: Option<Duration>,
    /// Another member has the name of this one and started later.
    is_name_taken: bool,
    is_leaving: bool,
    epoch: u64,
    /// The members that are alive, suspect and dead, and the reach, as of the last epoch.
    last_view: Option<(usize, usize, usize, Reach)>,
    has_reached_most: bool,
    /// Changes to be reported with the next actions.
    changes: Vec<Change>,
    /// Bytes sent as datagrams so far.
    pub bytes_sent: u64,
    /// Messages rejected so far.
    pub rejected_messages: u64,
}

impl Membership {
    /// A member that knows the addresses of some seed peers, and the configured number of members.
    ///
    /// # Errors
    /// The name is empty or longer than [`MAX_NAME_BYTES`].
    pub fn new(
        local: LocalMember,
        seed_peers: Vec<SocketAddr>,
        expected_members: usize,
        seed: u64,
        now: Duration,
    ) -> Result<Self, MembershipError> {
        let length = local.name.len();
        if length == 0 || length > MAX_NAME_BYTES {
            return Err(MembershipError::NameLength { length, max: MAX_NAME_BYTES });
        }
        let version = MemberVersion { generation: local.generation, incarnation: 0 };
        let address = local.address;
        Ok(Self {
            local: MemberRecord { name: local.name, address, version, state: MemberState::Alive },
            fleet: fleet_id(&local.fleet),
            members: BTreeMap::new(),
            refused_versions: RefusedVersions::default(),
            seed_peers: seed_peers.into_iter().filter(|&peer| peer != address).collect(),
            expected_members: expected_members.max(1),
            rng: fastrand::Rng::with_seed(seed),
            health: Health::default(),
            send_budget: TokenBucket::new(now),
            probe_order: Vec::new(),
            probes: VecDeque::new(),
            relayed_probes: VecDeque::new(),
            exchanges: BTreeMap::new(),
            last_seq: 0,
            now,
            next_probe: now,
            next_reconnect: now,
            next_exchange: now + MIN_EXCHANGE_INTERVAL,
            last_answer_at: None,
            is_name_taken: false,
            is_leaving: false,
            epoch: 0,
            last_view: None,
            has_reached_most: false,
            changes: Vec::new(),
            bytes_sent: 0,
            rejected_messages: 0,
        })
    }

    /// When [`Membership::on_timer`] is to be called.
    pub fn next_timeout(&self) -> Duration {
        let timeout = PROBE_TIMEOUT.mul_f64(self.health.multiplier());
        let deadlines =
            self.probes.iter().map(|probe| probe.sent_at + timeout * if probe.is_indirect { 2 } else { 1 });
        let mut first = deadlines.min().unwrap_or(Duration::MAX).min(self.next_probe);
        if !self.changes.is_empty() {
            first = self.now;
        }
        first.max(self.now)
    }

    /// This member's current view.
    pub fn view(&self) -> View {
        let count =
            |state| self.members.values().filter(|member| member.counts() && member.state == state).count();
        let alive = 1 + count(MemberState::Alive);
        let (suspect, dead) = (count(MemberState::Suspect), count(MemberState::Dead));
        let known = alive + suspect + dead;
        let fleet_size = if self.has_reached_most { known } else { known.max(self.expected_members) };
        let takes_part = !self.is_isolated() && !self.is_name_taken;
        let reach = if takes_part && alive * 2 > fleet_size { Reach::Most } else { Reach::NotMost };
        View { epoch: self.epoch, alive, suspect, dead, known, reach }
    }

    /// The number of members by which the capacity of sources is to be divided ([`View::source_sharers`]).
    pub fn source_sharers(&self) -> usize {
        self.view().source_sharers(self.expected_members, self.has_reached_most)
    }

    /// The state of a member by its name. None: it is not known.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        if name == self.local.name {
            return Some(self.local.state);
        }
        self.members.get(name).map(|member| member.state)
    }

    /// The names of the members that are alive or suspect, this one included.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let others = self.members.iter();
        let others = others.filter(|(_, member)| member.counts() && member.state <= MemberState::Suspect);
        std::iter::once(self.local.name.as_str()).chain(others.map(|(name, _)| name.as_str()))
    }

    /// This member's version, as it is sent to others.
    pub fn version(&self) -> MemberVersion {
        self.local.version
    }

    /// Whether nobody has answered for so long that the fault is more likely at this member than at the others.
    fn is_isolated(&self) -> bool {
        let has_others = self.members.values().any(|member| member.state <= MemberState::Suspect)
            || !self.seed_peers.is_empty();
        has_others && self.last_answer_at.is_none_or(|at| self.now > at + self.health.isolation_timeout())
    }

    /// Handles a received datagram. One that cannot be used is counted and changes nothing.
    ///
    /// # Errors
    /// Why the datagram was rejected.
    pub fn on_datagram(
        &mut self,
        bytes: &[u8],
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> Result<(), MembershipError> {
        let datagram = self.decode_message(bytes, MAX_DATAGRAM_BYTES, |message: &Datagram| message.fleet)?;
        self.advance(now);
        if datagram.from.name == self.local.name {
            self.merge_own_record(&datagram.from);
            return Ok(());
        }
        self.merge_record(&datagram.from, &datagram.from.name);
        for record in datagram.records.iter().take(MAX_GOSSIPED_RECORDS) {
            self.merge_record(record, &datagram.from.name);
        }
        let sender = datagram.from.address;
        match datagram.body {
            Body::Ping { seq } if !self.is_leaving && !self.is_name_taken => {
                self.send(sender, Body::Ack { seq }, true, actions);
            }
            Body::PingRequest { seq: requester_seq, target } if !self.is_leaving => {
                let seq = self.next_seq();
                let expires_at = now + PROBE_INTERVAL * 5;
                self.relayed_probes.push_back(RelayedProbe {
                    seq,
                    requester: sender,
                    requester_seq,
                    expires_at,
                });
                self.relayed_probes.truncate(MAX_RELAYED_PROBES);
                self.send(target, Body::Ping { seq }, true, actions);
            }
            Body::Ack { seq } => {
                if let Some(index) = self.relayed_probes.iter().position(|probe| probe.seq == seq) {
                    if let Some(probe) = self.relayed_probes.remove(index) {
                        let ack = Body::IndirectAck { seq: probe.requester_seq };
                        self.send(probe.requester, ack, true, actions);
                    }
                } else if let Some(probe) = self.take_probe(seq, |target| *target == datagram.from.name) {
                    if !probe.is_indirect {
                        self.health.record_probe(true);
                    }
                    self.on_answer(&datagram.from.name);
                }
            }
            Body::IndirectAck { seq } => {
                if let Some(probe) = self.take_probe(seq, |_| true) {
                    self.on_answer(&probe.target);
                }
            }
            Body::Ping { .. } | Body::PingRequest { .. } | Body::Gossip => {}
        }
        self.report_changes(actions);
        Ok(())
    }

    /// All that this member knows, for an exchange.
    pub fn exchange_message(&self) -> Vec<u8> {
        let records = self.members.iter().map(|(name, member)| member.record(name)).collect();
        let (from, view) = (Some(self.local.clone()), self.view());
        let reaches_most = view.reach == Reach::Most;
        encode(&Exchange { fleet: self.fleet, from, epoch: view.epoch, reaches_most, records })
    }

    /// Handles an exchange that another member began. Returns all that is known here, as the answer.
    ///
    /// # Errors
    /// Why the message was rejected.
    pub fn on_exchange(&mut self, bytes: &[u8], now: Duration) -> Result<Vec<u8>, MembershipError> {
        let exchange = self.decode_message(bytes, MAX_EXCHANGE_BYTES, |message: &Exchange| message.fleet)?;
        self.advance(now);
        self.merge_exchange(&exchange);
        Ok(self.exchange_message())
    }

    /// Handles the result of an exchange that this member began: the answer, or why there was none.
    ///
    /// # Errors
    /// Why the answer was rejected; it counts as none.
    pub fn on_exchange_result(
        &mut self,
        address: SocketAddr,
        result: Result<&[u8], ExchangeFailure>,
        now: Duration,
    ) -> Result<(), MembershipError> {
        self.advance(now);
        self.exchanges.remove(&address);
        let failure = match result {
            Ok(bytes) => {
                let exchange =
                    self.decode_message(bytes, MAX_EXCHANGE_BYTES, |message: &Exchange| message.fleet)?;
                self.merge_exchange(&exchange);
                if let Some(from) = exchange.from.filter(|from| from.name != self.local.name) {
                    self.on_answer(&from.name);
                }
                return Ok(());
            }
            Err(failure) => failure,
        };
        let at_address = self.members.iter().filter(|(_, member)| member.address == address);
        let names: Vec<_> = at_address.map(|(name, _)| name.clone()).collect();
        for name in names {
            let member = self.members.get_mut(&name);
            let Some(member) = member.filter(|member| member.state == MemberState::Suspect) else {
                continue;
            };
            member.exchange_failure = Some(failure);
            if failure == ExchangeFailure::Refused {
                member.unanswered_since.get_or_insert(now);
            }
            self.evaluate_suspect(&name);
        }
        Ok(())
    }

    /// Does all work that is due: times out probes, sends new ones, begins exchanges, and declares suspects dead.
    pub fn on_timer(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.advance(now);
        if !self.is_leaving && !self.is_name_taken {
            self.time_out_probes(actions);
            if now >= self.next_probe {
                self.next_probe = now + PROBE_INTERVAL;
                self.probe_suspects(actions);
                self.probe_next(actions);
                let suspects = self.members.iter().filter(|(_, member)| member.state == MemberState::Suspect);
                let suspects: Vec<_> = suspects.map(|(name, _)| name.clone()).collect();
                suspects.iter().for_each(|name| self.evaluate_suspect(name));
                self.forget_old_members();
            }
            self.begin_due_exchanges(actions);
        }
        self.report_changes(actions);
    }

    /// Announces that this member leaves. From now on it answers nothing.
    pub fn leave(&mut self, actions: &mut Vec<Action>) {
        (self.is_leaving, self.local.state) = (true, MemberState::Left);
        let others = self.members.values().filter(|member| member.state <= MemberState::Suspect);
        let addresses: Vec<_> = others.map(|member| member.address).collect();
        for to in addresses {
            self.send(to, Body::Gossip, false, actions);
        }
    }

    /// Decodes a message of this fleet; any other is counted.
    fn decode_message<'a, T: serde::Deserialize<'a>>(
        &mut self,
        bytes: &'a [u8],
        max: usize,
        fleet_of: impl Fn(&T) -> u64,
    ) -> Result<T, MembershipError> {
        let decoded = decode::<T>(bytes, max).and_then(|message| match fleet_of(&message) {
            theirs if theirs == self.fleet => Ok(message),
            theirs => Err(MembershipError::OtherFleet { theirs, ours: self.fleet }),
        });
        decoded.inspect_err(|_| self.rejected_messages += 1)
    }

    /// Advances the time. After a pause of this process no member is accused for answers that were due meanwhile, since
    /// it was this process that did not run. This member raises its incarnation, since others may have declared it
    /// dead.
    fn advance(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_timeout().max(self.now));
        self.now = now;
        if late < PAUSE_THRESHOLD {
            return;
        }
        self.probes.clear();
        self.relayed_probes.clear();
        for member in self.members.values_mut() {
            (member.unanswered_since, member.exchange_failure) = (None, None);
            member.accusers.clear();
            if member.state == MemberState::Suspect {
                member.since = now;
            }
        }
        self.health.on_pause();
        self.last_answer_at = None;
        self.local.version.incarnation += 1;
        self.changes.push(Change::Woke(late.as_millis() as u64));
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    fn retransmit_limit(&self) -> u32 {
        RETRANSMITS_PER_DOUBLING * (self.members.len() as u32 + 1).ilog2().max(1)
    }

    /// Sends a message with new records, as far as the byte budget allows. Returns whether it was sent.
    fn send(&mut self, to: SocketAddr, body: Body, is_answer: bool, actions: &mut Vec<Action>) -> bool {
        let mut records = Vec::new();
        // The receiver's own record comes first where it is not alive: only the receiver can refute that.
        let receiver = self
            .members
            .iter_mut()
            .find(|(_, member)| member.address == to && member.state != MemberState::Alive);
        if let Some((name, member)) = receiver {
            records.push(member.record(name));
        }
        let max_records = if self.send_budget.allows_gossip(self.now) { MAX_GOSSIPED_RECORDS } else { 1 };
        if body == Body::Gossip && max_records < MAX_GOSSIPED_RECORDS && !self.is_leaving {
            return false;
        }
        let new = self.members.iter_mut();
        let mut new: Vec<_> =
            new.filter(|(_, member)| member.transmits_left > 0 && member.address != to).collect();
        new.sort_by_key(|(_, member)| std::cmp::Reverse(member.transmits_left));
        for (name, member) in new.into_iter().take(max_records - records.len()) {
            member.transmits_left -= 1;
            records.push(member.record(name));
        }
        let bytes = encode(&Datagram { fleet: self.fleet, from: self.local.clone(), body, records });
        if bytes.len() > MAX_DATAGRAM_BYTES || !self.send_budget.try_take(bytes.len(), is_answer, self.now) {
            return false;
        }
        self.bytes_sent += bytes.len() as u64;
        actions.push(Action::Send { to, bytes });
        true
    }

    /// Reports changes to the driver, and gossips them to a few members.
    fn report_changes(&mut self, actions: &mut Vec<Action>) {
        let view = self.view();
        let current = (view.alive, view.suspect, view.dead, view.reach);
        if self.last_view != Some(current) {
            let previous = self.last_view.replace(current);
            self.epoch += 1;
            self.has_reached_most |= view.reach == Reach::Most;
            if previous.is_none_or(|previous| previous.3 != view.reach) {
                self.changes.push(Change::Reach(view.reach));
            }
        }
        if self.changes.is_empty() {
            return;
        }
        actions.extend(std::mem::take(&mut self.changes).into_iter().map(Action::Changed));
        for to in self.random_alive(IMMEDIATE_GOSSIP, &self.local.name.clone()) {
            self.send(to, Body::Gossip, false, actions);
        }
    }

    /// The addresses of random members that are alive, without the excluded one.
    fn random_alive(&mut self, count: usize, excluded: &str) -> Vec<SocketAddr> {
        let alive = self
            .members
            .iter()
            .filter(|(name, member)| member.state == MemberState::Alive && *name != excluded);
        let mut addresses: Vec<_> = alive.map(|(_, member)| member.address).collect();
        self.rng.shuffle(&mut addresses);
        addresses.truncate(count);
        addresses
    }

    fn take_probe(&mut self, seq: u32, is_target: impl Fn(&String) -> bool) -> Option<Probe> {
        let index = self.probes.iter().position(|probe| probe.seq == seq && is_target(&probe.target))?;
        self.probes.remove(index)
    }

    /// A member has answered this one: it is no longer suspect or dead here.
    fn on_answer(&mut self, name: &str) {
        let (now, retransmit_limit) = (self.now, self.retransmit_limit());
        self.last_answer_at = Some(now);
        self.probes.retain(|probe| probe.target != name);
        let Some(member) = self.members.get_mut(name) else { return };
        (member.unanswered_since, member.exchange_failure, member.is_reported_left) = (None, None, false);
        member.accusers.clear();
        if !std::mem::replace(&mut member.has_answered, true) {
            member.transmits_left = retransmit_limit;
            self.changes.push(Change::New(name.to_owned()));
        }
        match member.state {
            MemberState::Alive => return,
            MemberState::Suspect => self.changes.push(Change::Cleared(name.to_owned())),
            MemberState::Dead => self.changes.push(Change::Back(name.to_owned())),
            // The answer was sent before the member left.
            MemberState::Left => return,
        }
        (member.state, member.since) = (MemberState::Alive, now);
    }

    /// Handles a record under this member's own name: another member has the same name, or this one has to refute it.
    fn merge_own_record(&mut self, record: &MemberRecord) {
        if record.address != self.local.address {
            let theirs = (record.version.generation, record.address);
            if theirs > (self.local.version.generation, self.local.address) && !self.is_name_taken {
                self.is_name_taken = true;
                self.changes.push(Change::NameTaken);
            }
            return;
        }
        if self.is_leaving {
            return;
        }
        if record.version.generation > self.local.version.generation {
            // From an earlier process of this member, whose clock was ahead.
            self.local.version = MemberVersion { generation: record.version.generation + 1, incarnation: 0 };
        } else if record.version.generation == self.local.version.generation
            && record.state != MemberState::Alive
            && record.version.incarnation >= self.local.version.incarnation
        {
            self.local.version.incarnation = record.version.incarnation + 1;
        }
    }

    /// Handles a record of another member, as the named sender reports it.
    fn merge_record(&mut self, record: &MemberRecord, sender: &str) {
        if record.name == self.local.name {
            return self.merge_own_record(record);
        }
        if record.name.is_empty() || record.name.len() > MAX_NAME_BYTES {
            return;
        }
        let (now, retransmit_limit) = (self.now, self.retransmit_limit());
        let is_own_record = record.name == sender;
        let sender_has_answered = self.members.get(sender).is_some_and(|member| member.has_answered);
        let Some(member) = self.members.get_mut(&record.name) else {
            // A version whose machine refused a connection does not become suspect again because others have not forgotten
            // it yet.
            let is_refused = record.state != MemberState::Alive
                && self.refused_versions.covers(&record.name, record.version);
            if self.members.len() < MAX_MEMBERS && record.state != MemberState::Left && !is_refused {
                let is_alive = record.state == MemberState::Alive;
                let member = Member {
                    address: record.address,
                    version: record.version,
                    // Gossip alone declares nobody dead: a member that is reported dead is suspect, and is probed.
                    state: if is_alive { MemberState::Alive } else { MemberState::Suspect },
                    since: now,
                    has_answered: false,
                    vouchers: BTreeSet::new(),
                    accusers: BTreeSet::new(),
                    unanswered_since: None,
                    exchange_failure: None,
                    next_exchange: now,
                    transmits_left: 0,
                    is_reported_left: false,
                };
                self.members.insert(record.name.clone(), member);
                // The new member is the next one to be probed.
                self.probe_order.push(record.name.clone());
            }
            return;
        };
        let can_vouch = sender_has_answered && !is_own_record;
        if !member.has_answered && can_vouch && member.vouchers.len() < MAX_WITNESSES {
            member.vouchers.insert(sender.to_owned());
        }
        if record.version < member.version {
            return;
        }
        if record.version > member.version {
            let is_restarted = record.version.generation > member.version.generation;
            let change = match member.state {
                _ if !member.has_answered => None,
                MemberState::Dead | MemberState::Left if is_restarted => {
                    Some(Change::Restarted(record.name.clone()))
                }
                MemberState::Dead | MemberState::Left => Some(Change::Back(record.name.clone())),
                _ if is_restarted => Some(Change::Restarted(record.name.clone())),
                MemberState::Suspect => Some(Change::Cleared(record.name.clone())),
                MemberState::Alive => None,
            };
            // The member itself raised its version, in a message to this member or to one that passed it on, so it is alive.
            // Earlier evidence against it no longer counts.
            (member.address, member.version, member.transmits_left) =
                (record.address, record.version, retransmit_limit);
            (member.unanswered_since, member.exchange_failure, member.is_reported_left) = (None, None, false);
            member.accusers.clear();
            if member.state != MemberState::Alive {
                (member.state, member.since) = (MemberState::Alive, now);
            }
            self.changes.extend(change);
        }
        let member = self.members.get_mut(&record.name).expect("the member was found above");
        match record.state {
            MemberState::Alive => {}
            MemberState::Left if is_own_record && member.state == MemberState::Left => {}
            MemberState::Left if is_own_record => {
                (member.state, member.since, member.transmits_left) =
                    (MemberState::Left, now, retransmit_limit);
                self.changes.push(Change::Left(record.name.clone()));
            }
            MemberState::Suspect | MemberState::Dead | MemberState::Left
                if member.state <= MemberState::Suspect =>
            {
                if member.accusers.len() < MAX_WITNESSES {
                    member.accusers.insert(sender.to_owned());
                }
                member.is_reported_left |= record.state == MemberState::Left;
                if member.state == MemberState::Alive {
                    (member.state, member.since, member.next_exchange) = (MemberState::Suspect, now, now);
                    // Probed at once: a suspicion of others is a reason to probe the member, and no more.
                    self.next_probe = now;
                    if member.has_answered {
                        self.changes.push(Change::Doubted(record.name.clone()));
                    }
                }
            }
            _ => {}
        }
    }

    fn merge_exchange(&mut self, exchange: &Exchange) {
        let Some(from) = &exchange.from else { return };
        if from.name == self.local.name {
            return self.merge_own_record(from);
        }
        self.merge_record(from, &from.name);
        for record in &exchange.records {
            self.merge_record(record, &from.name);
        }
    }

    /// Times out probes: after the first timeout others are requested to probe indirectly, after the second the probe
    /// has failed.
    fn time_out_probes(&mut self, actions: &mut Vec<Action>) {
        let timeout = PROBE_TIMEOUT.mul_f64(self.health.multiplier());
        let (now, mut remaining) = (self.now, VecDeque::new());
        self.relayed_probes.retain(|probe| probe.expires_at > now);
        for mut probe in std::mem::take(&mut self.probes) {
            let Some(target) = self.members.get(&probe.target).map(|member| member.address) else { continue };
            if !probe.is_indirect && now >= probe.sent_at + timeout {
                let is_alive = self.members[&probe.target].state == MemberState::Alive;
                if is_alive {
                    self.health.record_probe(false);
                }
                for helper in self.random_alive(INDIRECT_PROBES, &probe.target) {
                    self.send(helper, Body::PingRequest { seq: probe.seq, target }, false, actions);
                }
                probe.is_indirect = true;
            }
            if !probe.is_indirect || now < probe.sent_at + timeout * 2 {
                remaining.push_back(probe);
            } else {
                self.on_failed_probe(&probe);
            }
        }
        self.probes = remaining;
    }

    /// Neither the target nor a helper has answered a probe. This guards against dead members. The cost falls on a member
    /// that is cut off from this one and its helpers, until it answers.
    fn on_failed_probe(&mut self, probe: &Probe) {
        let (now, is_isolated, retransmit_limit) = (self.now, self.is_isolated(), self.retransmit_limit());
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        if is_isolated || member.state > MemberState::Suspect {
            return;
        }
        if !member.counts() && member.state == MemberState::Alive {
            // It never answered: the name comes from gossip only.
            (member.state, member.since) = (MemberState::Suspect, now);
        }
        member.unanswered_since.get_or_insert(probe.sent_at);
        if member.state == MemberState::Alive {
            (member.state, member.since, member.next_exchange, member.transmits_left) =
                (MemberState::Suspect, now, now, retransmit_limit);
            self.changes.push(Change::Doubted(probe.target.clone()));
        }
        self.evaluate_suspect(&probe.target);
    }

    /// Declares a suspect dead once the suspicion timeout is over, on this member's own evidence only.
    fn evaluate_suspect(&mut self, name: &str) {
        let (now, is_isolated, retransmit_limit) = (self.now, self.is_isolated(), self.retransmit_limit());
        let member = self.members.get_mut(name);
        let Some(member) = member.filter(|member| member.state == MemberState::Suspect) else { return };
        let (Some(since), Some(failure)) = (member.unanswered_since, member.exchange_failure) else { return };
        // A refused connection is proof, even to an isolated member.
        if failure != ExchangeFailure::Refused
            && (is_isolated || now < since + self.health.suspicion_timeout(failure, member.accusers.len()))
        {
            return;
        }
        if !member.counts() {
            if failure == ExchangeFailure::Refused {
                self.refused_versions.record(name, member.version, now);
            }
            self.members.remove(name);
            return;
        }
        let has_left = member.is_reported_left && failure == ExchangeFailure::Refused;
        member.state = if has_left { MemberState::Left } else { MemberState::Dead };
        (member.since, member.transmits_left) = (now, retransmit_limit);
        let name = name.to_owned();
        self.changes.push(if has_left { Change::Left(name) } else { Change::Gone(name) });
    }

    /// Probes all suspects at each probe interval, and begins exchanges with them.
    fn probe_suspects(&mut self, actions: &mut Vec<Action>) {
        let suspects = self.members.iter().filter(|(_, member)| member.state == MemberState::Suspect);
        let suspects: Vec<_> =
            suspects.map(|(name, member)| (name.clone(), member.address, member.next_exchange)).collect();
        for (name, address, next_exchange) in suspects {
            self.ping(&name, address, actions);
            if self.now >= next_exchange {
                self.begin_exchange(address, actions);
                if let Some(member) = self.members.get_mut(&name) {
                    member.next_exchange = self.now + SUSPECT_EXCHANGE_INTERVAL;
                }
            }
        }
    }

    /// Probes the next member. Each round probes every live member once, in a random order of this member's own.
    fn probe_next(&mut self, actions: &mut Vec<Action>) {
        while let Some(name) = self.probe_order.pop() {
            let alive = self.members.get(&name).filter(|member| member.state == MemberState::Alive);
            if let Some(address) = alive.map(|member| member.address) {
                return self.ping(&name, address, actions);
            }
        }
        let alive = self.members.iter().filter(|(_, member)| member.state == MemberState::Alive);
        self.probe_order = alive.map(|(name, _)| name.clone()).collect();
        self.rng.shuffle(&mut self.probe_order);
        if let Some(name) = self.probe_order.pop() {
            let address = self.members[&name].address;
            self.ping(&name, address, actions);
        }
    }

    fn ping(&mut self, name: &str, address: SocketAddr, actions: &mut Vec<Action>) {
        if self.probes.iter().any(|probe| probe.target == name) {
            return;
        }
        let seq = self.next_seq();
        // A ping that was not sent for lack of bytes must not count as unanswered.
        if self.send(address, Body::Ping { seq }, false, actions) {
            let target = name.to_owned();
            self.probes.push_back(Probe { seq, target, sent_at: self.now, is_indirect: false });
        }
    }

    fn begin_exchange(&mut self, address: SocketAddr, actions: &mut Vec<Action>) {
        let now = self.now;
        self.exchanges.retain(|_, began| now < *began + EXCHANGE_TIMEOUT * 2);
        if self.exchanges.len() < MAX_EXCHANGES && !self.exchanges.contains_key(&address) {
            self.exchanges.insert(address, now);
            actions.push(Action::Exchange { address });
        }
    }

    /// Begins exchanges with unknown seed peers, with dead members, and from time to time with a live member, so that the
    /// parts of a partition join again.
    fn begin_due_exchanges(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        if now >= self.next_reconnect {
            let jittered = RECONNECT_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.f64());
            self.next_reconnect = now + jittered;
            let dead = self.members.values().filter(|member| member.state == MemberState::Dead);
            let dead = dead.map(|member| member.address);
            let is_known = |address| self.members.values().any(|member| member.address == address);
            let unknown = self.seed_peers.iter().copied().filter(|&address| !is_known(address));
            let candidates: Vec<_> = dead.chain(unknown).collect();
            if self.last_answer_at.is_none() {
                let seed_peers = self.seed_peers.clone();
                seed_peers.into_iter().for_each(|address| self.begin_exchange(address, actions));
            } else if let Some(&address) = self.rng.choice(&candidates) {
                self.begin_exchange(address, actions);
            }
        }
        if now >= self.next_exchange {
            let bytes = self.exchange_message().len() as f64 * 2.0;
            let interval =
                MIN_EXCHANGE_INTERVAL.max(Duration::from_secs_f64(bytes / EXCHANGE_BYTES_PER_SECOND));
            self.next_exchange = now + interval.mul_f64(0.75 + 0.5 * self.rng.f64());
            if let Some(address) = self.random_alive(1, "").pop() {
                self.begin_exchange(address, actions);
            }
        }
    }

    /// Forgets members that are dead or left for long, where most of the fleet is reached. The part of a partition that does
    /// not reach most keeps the count of all.
    fn forget_old_members(&mut self) {
        self.refused_versions.drop_before(self.now.saturating_sub(FORGET_AFTER));
        if self.view().reach != Reach::Most {
            return;
        }
        let now = self.now;
        let old = self
            .members
            .iter()
            .filter(|(_, member)| member.state > MemberState::Suspect && now > member.since + FORGET_AFTER);
        let old: Vec<_> = old.map(|(name, _)| name.clone()).collect();
        for name in old {
            self.members.remove(&name);
            self.changes.push(Change::Forgotten(name));
        }
    }
}

impl Member {
    /// The record that is sent to others.
    fn record(&self, name: &str) -> MemberRecord {
        // A member that suspects another one by gossip only does not spread the suspicion.
        let has_evidence = self.state != MemberState::Suspect || self.unanswered_since.is_some();
        let state = if has_evidence { self.state } else { MemberState::Alive };
        MemberRecord { name: name.to_owned(), address: self.address, version: self.version, state }
    }

    /// Whether it counts as a member of the fleet: it has answered this member, or two members that have answered vouch for
    /// it.
    fn counts(&self) -> bool {
        self.has_answered || self.vouchers.len() > 1
    }
}
