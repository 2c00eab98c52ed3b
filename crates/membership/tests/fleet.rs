//! A fleet of membership cores in virtual time. Members die, freeze, restart and report falsely; network paths lose,
//! duplicate and delay datagrams, and are cut in one direction. In every case no live member that most others can reach is
//! removed, and no dead one stays.

use myrtlegauge_membership::message::{Body, Datagram, MemberRecord, encode, fleet_id};
use myrtlegauge_membership::{Action, Change, ExchangeFailure, LocalMember, MemberState, Membership, Reach};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, (index >> 8) as u8, index as u8 + 1], 9100).into()
}

/// An event at a member, which is the first field.
enum Event {
    Timer(usize),
    Datagram(usize, Vec<u8>),
    /// An exchange that the second member began.
    Exchange(usize, usize, Vec<u8>),
    /// The result of an exchange with the second member.
    ExchangeResult(usize, usize, Result<Vec<u8>, ExchangeFailure>),
}

/// Membership cores on a simulated network.
struct Fleet {
    cores: Vec<Option<Membership>>,
    /// Until when members are frozen.
    frozen: BTreeMap<usize, Duration>,
    /// The directions that are cut, as sender and receiver.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    duplication: f64,
    max_delay: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    last_serial: u64,
    now: Duration,
    rng: fastrand::Rng,
    generation: u64,
    /// Each declaration of a death: its time, the member that declared it, and the name of the dead member.
    deaths: Vec<(Duration, usize, String)>,
    changes: Vec<(Duration, usize, Change)>,
}

impl Fleet {
    fn new(members: usize, seed: u64) -> Self {
        let mut fleet = Self {
            cores: (0..members).map(|_| None).collect(),
            frozen: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            max_delay: MS * 3,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_serial: 0,
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            generation: 1,
            deaths: Vec::new(),
            changes: Vec::new(),
        };
        (0..members).for_each(|index| fleet.start(index));
        fleet
    }

    fn start(&mut self, index: usize) {
        self.generation += 1;
        let local = LocalMember {
            name: format!("m{index}"),
            address: address(index),
            fleet: "test".into(),
            generation: self.generation,
        };
        let (seed_peers, expected_members) = (vec![address(0), address(1), address(2)], self.cores.len());
        let core = Membership::new(local, seed_peers, expected_members, self.rng.u64(..), self.now)
            .expect("the name has a valid length");
        self.cores[index] = Some(core);
        self.push(self.now, Event::Timer(index));
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.last_serial += 1;
        self.events.insert(self.last_serial, event);
        self.queue.push(Reverse((at, self.last_serial)));
    }

    fn cut_direction(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    fn random_delay(&mut self) -> Duration {
        MS + self.max_delay.mul_f64(self.rng.f64())
    }

    fn run_until(&mut self, until: Duration) {
        while let Some(&Reverse((at, serial))) = self.queue.peek().filter(|Reverse((at, _))| *at <= until) {
            self.queue.pop();
            self.now = at.max(self.now);
            let event = self.events.remove(&serial).expect("each serial is pushed once");
            let member = match &event {
                Event::Timer(member)
                | Event::Datagram(member, _)
                | Event::Exchange(member, ..)
                | Event::ExchangeResult(member, ..) => *member,
            };
            if let Some(&frozen_until) = self.frozen.get(&member).filter(|until| **until > self.now) {
                // The system queues what arrives; the process handles it when it runs again.
                self.push(frozen_until, event);
                continue;
            }
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let (now, mut actions) = (self.now, Vec::new());
        match event {
            Event::Timer(member) => {
                let Some(core) = &mut self.cores[member] else { return };
                core.on_timer(now, &mut actions);
                let due = core.next_timeout().max(now + MS);
                self.push(due, Event::Timer(member));
                self.perform(member, actions);
            }
            Event::Datagram(member, bytes) => {
                let Some(core) = &mut self.cores[member] else { return };
                core.on_datagram(&bytes, now, &mut actions).expect("datagrams of members are accepted");
                self.perform(member, actions);
            }
            Event::Exchange(member, initiator, bytes) => {
                let Some(core) = &mut self.cores[member] else { return };
                let answer = core.on_exchange(&bytes, now).expect("exchanges of members are accepted");
                let at = now + self.random_delay();
                self.push(at, Event::ExchangeResult(initiator, member, Ok(answer)));
            }
            Event::ExchangeResult(member, peer, result) => {
                let Some(core) = &mut self.cores[member] else { return };
                let result = result.as_deref().map_err(|failure| *failure);
                let accepted = core.on_exchange_result(address(peer), result, now);
                accepted.expect("answers of members are accepted");
            }
        }
    }

    fn perform(&mut self, member: usize, actions: Vec<Action>) {
        let now = self.now;
        let count = self.cores.len();
        let index = |at: SocketAddr| (0..count).find(|&index| address(index) == at);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    let Some(to) = index(to).filter(|&to| !self.cut.contains(&(member, to))) else {
                        continue;
                    };
                    let copies = usize::from(self.rng.f64() >= self.loss)
                        + usize::from(self.rng.f64() < self.duplication);
                    for _ in 0..copies {
                        let at = now + self.random_delay();
                        self.push(at, Event::Datagram(to, bytes.clone()));
                    }
                }
                Action::Exchange { address } => {
                    let Some(to) = index(address) else { continue };
                    let is_cut = self.cut.contains(&(member, to)) || self.cut.contains(&(to, member));
                    let is_frozen = self.frozen.get(&to).is_some_and(|until| *until > now);
                    if is_cut || is_frozen {
                        let failure =
                            if is_cut { ExchangeFailure::Unreachable } else { ExchangeFailure::Unanswered };
                        self.push(now + MS * 600, Event::ExchangeResult(member, to, Err(failure)));
                    } else if let Some(core) =
                        &self.cores[member].as_ref().filter(|_| self.cores[to].is_some())
                    {
                        let bytes = core.exchange_message();
                        let at = now + self.random_delay();
                        self.push(at, Event::Exchange(to, member, bytes));
                    } else {
                        let at = now + self.random_delay();
                        let refused = Err(ExchangeFailure::Refused);
                        self.push(at, Event::ExchangeResult(member, to, refused));
                    }
                }
                Action::Changed(change) => {
                    if let Change::Gone(name) = &change {
                        self.deaths.push((now, member, name.clone()));
                    }
                    self.changes.push((now, member, change));
                }
            }
        }
    }

    /// Whether every live member sees all live members alive, and reaches most.
    fn is_converged(&self) -> bool {
        let live = self.cores.iter().flatten().count();
        self.cores.iter().flatten().all(|core| core.view().alive == live && core.view().reach == Reach::Most)
    }

    /// A member's state as another one sees it.
    fn state_at(&self, observer: usize, member: usize) -> Option<MemberState> {
        self.cores[observer].as_ref()?.state(&format!("m{member}"))
    }
}

#[test]
fn a_fleet_converges_and_a_death_is_known_to_all_within_two_seconds() {
    for seed in 1..20 {
        let mut fleet = Fleet::new(16, seed);
        fleet.run_until(seconds(6));
        assert!(fleet.is_converged(), "seed {seed}");
        fleet.cores[5] = None;
        fleet.run_until(seconds(8));
        let unaware: Vec<_> = (0..16)
            .filter(|&observer| observer != 5 && fleet.state_at(observer, 5) != Some(MemberState::Dead))
            .collect();
        assert!(unaware.is_empty(), "seed {seed}: {unaware:?} have not declared it dead");
        assert!(fleet.deaths.iter().all(|(_, _, name)| name == "m5"));
    }
}

/// A frozen member is not removed. It detects its own pause, raises its incarnation and accuses nobody.
#[test]
fn a_frozen_member_is_kept_detects_its_pause_and_accuses_nobody() {
    for (seed, pause_s) in [(1, 1), (2, 3), (3, 10), (4, 3)] {
        let mut fleet = Fleet::new(16, seed);
        fleet.run_until(seconds(6));
        fleet.frozen.insert(3, seconds(6 + pause_s));
        fleet.run_until(seconds(20 + pause_s));
        assert!(fleet.deaths.is_empty(), "{pause_s} s: {:?}", fleet.deaths);
        assert!(fleet.is_converged(), "{pause_s} s");
        let has_resumed = |(_, member, change): &(Duration, usize, Change)| {
            *member == 3 && matches!(change, Change::Woke(_))
        };
        assert!(fleet.changes.iter().any(has_resumed));
        assert!(fleet.cores[3].as_ref().is_some_and(|core| core.version().incarnation > 0));
    }
}

/// With all other members frozen, the running one regards itself as isolated and declares nobody dead.
#[test]
fn a_member_that_runs_alone_among_frozen_ones_removes_nobody() {
    let mut fleet = Fleet::new(9, 1);
    fleet.run_until(seconds(6));
    fleet.frozen.extend((1..9).map(|index| (index, seconds(9))));
    fleet.run_until(seconds(8) + MS * 900);
    assert_eq!(fleet.cores[0].as_ref().map(|core| core.view().reach), Some(Reach::NotMost));
    fleet.run_until(seconds(20));
    assert!(fleet.deaths.is_empty() && fleet.is_converged(), "{:?}", fleet.deaths);
}

/// A cut of one direction removes nobody, nor does a ring of such cuts, or a cut in both directions between two members.
#[test]
fn cuts_that_indirect_probes_can_bypass_remove_nobody() {
    type Cut = fn(usize) -> Vec<(usize, usize)>;
    let cuts: [Cut; 3] = [
        |_| vec![(4, 7)],
        |_| vec![(4, 7), (7, 4)],
        |members| (0..members).map(|index| (index, (index + 1) % members)).collect(),
    ];
    for (seed, cut) in (1..).zip(cuts) {
        let mut fleet = Fleet::new(12, seed);
        fleet.run_until(seconds(6));
        cut(12).into_iter().for_each(|(from, to)| fleet.cut_direction(from, to));
        fleet.run_until(seconds(126));
        assert!(fleet.deaths.is_empty(), "{seed}: {:?}", fleet.deaths);
    }
}

/// A member that receives nothing, or that nobody receives, notices that and removes nobody. After the fault it is alive
/// again everywhere.
#[test]
fn a_member_cut_off_in_one_direction_notices_it_and_removes_nobody() {
    for can_receive in [false, true] {
        let mut fleet = Fleet::new(12, 5);
        fleet.run_until(seconds(6));
        for other in (0..12).filter(|&other| other != 5) {
            let (from, to) = if can_receive { (5, other) } else { (other, 5) };
            fleet.cut_direction(from, to);
        }
        fleet.run_until(seconds(30));
        let is_allowed = |(_, observer, name): &(Duration, usize, String)| *observer != 5 && name == "m5";
        assert!(fleet.deaths.iter().all(is_allowed), "{:?}", fleet.deaths);
        assert_eq!(fleet.cores[5].as_ref().map(|core| core.view().reach), Some(Reach::NotMost));
        assert_eq!(fleet.state_at(0, 5), Some(MemberState::Dead));
        fleet.cut.clear();
        fleet.run_until(seconds(40));
        assert!(fleet.is_converged(), "can receive: {can_receive}");
    }
}

/// At most one half of a partition reaches most. Both halves divide sources by the whole fleet, and they join again once the
/// partition is healed.
#[test]
fn the_halves_of_a_partition_do_not_count_as_the_whole_fleet() {
    for (first_half, seed) in [(8, 1), (9, 2), (4, 3)] {
        let mut fleet = Fleet::new(16, seed);
        fleet.run_until(seconds(6));
        for one in 0..first_half {
            for other in first_half..16 {
                fleet.cut_direction(one, other);
                fleet.cut_direction(other, one);
            }
        }
        fleet.run_until(seconds(40));
        let reach = |index: usize| fleet.cores[index].as_ref().map(|core| core.view().reach);
        let reaching_most = (0..16).filter(|&index| reach(index) == Some(Reach::Most)).count();
        let larger_half = [first_half, 16 - first_half].into_iter().find(|half| half * 2 > 16);
        assert_eq!(reaching_most, larger_half.unwrap_or(0));
        assert!(fleet.cores.iter().flatten().all(|core| core.source_sharers() == 16));
        fleet.cut.clear();
        fleet.run_until(seconds(60));
        let views: Vec<_> = fleet.cores.iter().flatten().map(Membership::view).collect();
        assert!(fleet.is_converged(), "{first_half} {views:#?}");
    }
}

#[test]
fn three_in_ten_datagrams_lost_some_duplicated_and_all_reordered_remove_nobody() {
    let mut fleet = Fleet::new(24, 3);
    fleet.run_until(seconds(6));
    (fleet.loss, fleet.duplication, fleet.max_delay) = (0.3, 0.1, MS * 60);
    fleet.run_until(seconds(126));
    assert!(fleet.deaths.is_empty(), "{:?}", fleet.deaths);
    assert!(fleet.cores.iter().flatten().all(|core| core.view().known == 24));
}

#[test]
fn a_member_sends_less_than_three_kilobytes_a_second_at_any_fleet_size() {
    for members in [4, 16, 100] {
        let mut fleet = Fleet::new(members, 2);
        fleet.run_until(seconds(10));
        let before: u64 = fleet.cores.iter().flatten().map(|core| core.bytes_sent).sum();
        fleet.run_until(seconds(20));
        let after: u64 = fleet.cores.iter().flatten().map(|core| core.bytes_sent).sum();
        let bytes_per_second = (after - before) as f64 / 10.0 / members as f64;
        assert!(
            bytes_per_second < 3000.0 && bytes_per_second > 100.0,
            "{members}: {bytes_per_second} bytes a second"
        );
    }
}

#[test]
fn a_restarted_member_is_recognized_and_of_two_with_one_name_the_earlier_gives_way() {
    let mut fleet = Fleet::new(8, 4);
    fleet.run_until(seconds(6));
    fleet.cores[2] = None;
    fleet.run_until(seconds(7));
    fleet.start(2);
    fleet.run_until(seconds(12));
    assert!(fleet.is_converged());
    assert!(fleet.cores.iter().flatten().all(|core| core.view().known == 8));
    // A new process at the address of member 6 takes the name of member 7, and starts later than that one.
    fleet.generation += 1;
    let local = LocalMember {
        name: "m7".into(),
        address: address(6),
        fleet: "test".into(),
        generation: fleet.generation,
    };
    let namesake = Membership::new(local, vec![address(0)], 8, 9, fleet.now);
    fleet.cores[6] = Some(namesake.expect("the name has a valid length"));
    fleet.run_until(seconds(30));
    let lost_name = |index: usize| {
        fleet.changes.iter().any(|(_, member, change)| *member == index && *change == Change::NameTaken)
    };
    assert!(lost_name(7));
    assert!(!lost_name(6));
}

/// A member that starts after a death receives gossip on the dead member for as long as the others remember it. A refused
/// connection proves the death, so the dead member becomes suspect only once.
#[test]
fn a_member_that_starts_after_a_death_suspects_the_dead_one_once() {
    for seed in 1..10 {
        let mut fleet = Fleet::new(7, seed);
        fleet.run_until(seconds(6));
        fleet.cores[5] = None;
        fleet.run_until(seconds(8));
        fleet.cores[0] = None;
        fleet.run_until(seconds(9));
        fleet.start(0);
        let (mut suspicions, mut previous) = (0, None);
        while fleet.now < seconds(129) {
            fleet.run_until(fleet.now + MS * 5);
            let state = fleet.state_at(0, 5);
            suspicions += usize::from(state == Some(MemberState::Suspect) && previous != state);
            previous = state;
        }
        assert!(suspicions <= 1, "seed {seed}: suspected {suspicions} times");
        assert!(matches!(fleet.state_at(0, 5), None | Some(MemberState::Dead)), "seed {seed}");
        assert!(
            fleet.state_at(1, 5) == Some(MemberState::Dead)
                && fleet.state_at(1, 0) == Some(MemberState::Alive),
            "seed {seed}"
        );
        // A restarted process of the dead member joins as any other does.
        fleet.start(5);
        fleet.run_until(seconds(140));
        assert!(fleet.is_converged(), "seed {seed}");
    }
}

/// A member's reports about others are a reason to probe these, and no more.
#[test]
fn a_member_that_falsely_reports_all_others_dead_removes_nobody() {
    let mut fleet = Fleet::new(12, 6);
    fleet.run_until(seconds(6));
    for seq in 0..50 {
        let records: Vec<_> = (0..11)
            .filter_map(|index| {
                let version = fleet.cores[index].as_ref()?.version();
                let (name, address) = (format!("m{index}"), address(index));
                Some(MemberRecord { name, address, version, state: MemberState::Dead })
            })
            .collect();
        let version = fleet.cores[11].as_ref().expect("member 11 runs").version();
        let from =
            MemberRecord { name: "m11".into(), address: address(11), version, state: MemberState::Alive };
        let each = (0..11).flat_map(|to| records.chunks(6).map(move |records| (to, records.to_vec())));
        for (to, records) in each {
            let datagram =
                Datagram { fleet: fleet_id("test"), from: from.clone(), body: Body::Ping { seq }, records };
            let at = fleet.now + MS;
            fleet.push(at, Event::Datagram(to, encode(&datagram)));
        }
        fleet.run_until(fleet.now + MS * 100);
    }
    let is_suspicion = |(_, _, change): &(Duration, usize, Change)| matches!(change, Change::Doubted(_));
    assert!(fleet.changes.iter().any(is_suspicion), "the false reports had no effect at all");
    fleet.run_until(fleet.now + seconds(5));
    assert!(fleet.deaths.is_empty(), "{:?}", fleet.deaths);
}

#[derive(Clone, Debug)]
enum Fault {
    /// A member is frozen for this number of milliseconds.
    Freeze(usize, u64),
    Kill(usize),
    Start(usize),
    Cut(usize, usize),
    /// This percentage of datagrams is lost.
    Lose(u32),
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..7usize, 200..8000u64).prop_map(|(member, pause_ms)| Fault::Freeze(member, pause_ms)),
        (0..7usize).prop_map(Fault::Kill),
        (0..7usize).prop_map(Fault::Start),
        (0..7usize, 0..7usize).prop_map(|(from, to)| Fault::Cut(from, to)),
        (0..40u32).prop_map(Fault::Lose),
        Just(Fault::Heal),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Once the faults are over every live member is alive at every other, every dead one is not, and no version went back
    /// to an earlier one.
    #[test]
    fn views_converge_after_any_schedule_of_faults(
        seed in 0..1000u64,
        faults in prop::collection::vec((fault(), 50..2500u64), 1..14),
    ) {
        let mut fleet = Fleet::new(7, seed);
        fleet.run_until(seconds(4));
        let mut versions = BTreeMap::new();
        for (fault, wait_ms) in faults {
            match fault {
                Fault::Freeze(member, pause_ms) => {
                    fleet.frozen.extend([(member, fleet.now + Duration::from_millis(pause_ms))]);
                }
                Fault::Kill(member) => fleet.cores[member] = None,
                Fault::Start(member) if fleet.cores[member].is_none() => fleet.start(member),
                Fault::Start(_) => {}
                Fault::Cut(from, to) => fleet.cut_direction(from, to),
                Fault::Lose(percent) => fleet.loss = f64::from(percent) / 100.0,
                Fault::Heal => { fleet.cut.clear(); fleet.loss = 0.0; }
            }
            fleet.run_until(fleet.now + Duration::from_millis(wait_ms));
            for (index, core) in fleet.cores.iter().enumerate() {
                let Some(core) = core else { continue };
                let previous = versions.insert(index, core.version());
                prop_assert!(previous.is_none_or(|previous| core.version() >= previous));
            }
        }
        fleet.cut.clear();
        fleet.loss = 0.0;
        fleet.run_until(fleet.now + seconds(60));
        let live: Vec<_> = (0..7).filter(|&index| fleet.cores[index].is_some()).collect();
        for &observer in &live {
            for member in 0..7 {
                let state = fleet.state_at(observer, member);
                if live.contains(&member) {
                    prop_assert_eq!(state, Some(MemberState::Alive), "live {} at {}", member, observer);
                } else {
                    prop_assert!(
                        matches!(state, None | Some(MemberState::Dead)),
                        "dead {} at {}: {:?}", member, observer, state
                    );
                }
            }
        }
    }
}
