//! Each defence is switched off, one at a time, and the oracle has to see it.

use crate::simulation::{Node, Setting, Simulation, ms};
use myrtlegauge_replication::{
    Purge, PurgeTarget, Record, ReplicaDefences, ReplicaStanding, SubscriberDefences, Verdict,
};

/// Seeds that are tried for a false claim.
const SEEDS: u64 = 150;

fn setting(seed: u64) -> Setting {
    let (replicas, dispatchers) = (3 + (seed as usize) % 3, 5 + (seed as usize) % 4);
    Setting {
        faults_until: ms(15_000),
        fault_every: Some(ms(250)),
        ..Setting::new(seed, replicas, dispatchers)
    }
}

/// The first seed under which a claim is false.
fn first_false(replica: ReplicaDefences, subscriber: SubscriberDefences) -> Option<u64> {
    (0..SEEDS).find(|&seed| {
        let setting = Setting { replica_defences: replica, subscriber_defences: subscriber, ..setting(seed) };
        let mut simulation = Simulation::new(setting);
        simulation.run_until(setting.faults_until);
        !simulation.violations.is_empty()
    })
}

fn is_seen(replica: ReplicaDefences, subscriber: SubscriberDefences) {
    let seed = first_false(replica, subscriber);
    println!("{replica:?} {subscriber:?}: false at seed {seed:?}");
    assert!(seed.is_some(), "no seed under {SEEDS} shows that {replica:?} {subscriber:?} is unsafe");
}

#[test]
fn without_the_watermark_a_claim_is_false() {
    is_seen(ReplicaDefences { watermark: false, ..Default::default() }, Default::default());
}

#[test]
fn without_waiting_for_members_attached_since_a_claim_is_false() {
    is_seen(ReplicaDefences { attached_since: false, ..Default::default() }, Default::default());
}

#[test]
fn without_the_majority_of_an_attach_a_claim_is_false() {
    is_seen(ReplicaDefences { attach_quorum: false, ..Default::default() }, Default::default());
}

#[test]
fn without_the_start_up_hold_a_claim_is_false() {
    is_seen(ReplicaDefences { start_up_hold: false, ..Default::default() }, Default::default());
}

#[test]
fn without_doubt_a_claim_is_false() {
    is_seen(Default::default(), SubscriberDefences { doubt: false, ..Default::default() });
}

fn calm(replicas: usize, dispatchers: usize) -> Setting {
    Setting { fault_every: None, publish_every: ms(1_000_000), ..Setting::new(1, replicas, dispatchers) }
}

fn purge(simulation: &Simulation, group: u64) -> Record {
    Record::Purge(Purge { target: PurgeTarget::Group(group), unix_ms: simulation.unix_ms() })
}

fn run_for(simulation: &mut Simulation, span_ms: u64) {
    simulation.run_until(simulation.now + ms(span_ms));
}

fn both_ways(one: usize, others: &[usize]) -> Vec<(usize, usize)> {
    others.iter().flat_map(|&other| [(one, other), (other, one)]).collect()
}

/// A dispatcher starts at r1 while r0 is cut off, which knows of no other dispatcher; then r0 purges.
fn a_purge_of_one_cut_off(claim_quorum: bool) -> Simulation {
    let replica_defences = ReplicaDefences { claim_quorum, ..Default::default() };
    let mut simulation = Simulation::new(Setting { replica_defences, ..calm(3, 2) });
    run_for(&mut simulation, 4000);
    simulation.kill(Node::Dispatcher(1));
    run_for(&mut simulation, 3000);
    simulation.cut(&both_ways(0, &[1, 2]));
    run_for(&mut simulation, 1000);
    simulation.start(Node::Dispatcher(1));
    run_for(&mut simulation, 1000);
    assert!(!simulation.in_doubt_since(1), "a majority is there");
    let purge = purge(&simulation, 1);
    assert!(simulation.publish_at(0, purge));
    run_for(&mut simulation, 1000);
    simulation
}

#[test]
fn without_the_majority_of_a_claim_it_is_false() {
    assert_eq!(a_purge_of_one_cut_off(true).violations, Vec::<String>::new());
    assert!(!a_purge_of_one_cut_off(false).violations.is_empty());
}

/// A dispatcher attaches by a long backlog, one record an answer; meanwhile a record of it moves behind what the attach
/// takes, and the replica that claims the older one is cut off.
fn a_record_that_moves_while_it_is_told(complete_answers: bool, moved_after_ms: u64) -> Simulation {
    let replica_defences = ReplicaDefences { complete_answers, ..Default::default() };
    let mut simulation = Simulation::new(Setting { replica_defences, max_batch_records: 1, ..calm(3, 1) });
    run_for(&mut simulation, 4000);
    simulation.kill(Node::Dispatcher(0));
    for group in 1..=100 {
        let purge = purge(&simulation, group);
        assert!(simulation.publish_at(1, purge));
    }
    run_for(&mut simulation, 8000);
    assert_eq!(simulation.not_in_force(), Vec::<String>::new());
    simulation.start(Node::Dispatcher(0));
    run_for(&mut simulation, moved_after_ms);
    simulation.cut(&both_ways(0, &[1, 2]));
    for group in (101..=200).chain(1..=100) {
        let purge = purge(&simulation, group);
        assert!(simulation.publish_at(0, purge));
    }
    run_for(&mut simulation, 1500);
    simulation
}

#[test]
fn without_whole_answers_a_claim_is_false() {
    let spans = || (10..300).step_by(10);
    for span in spans() {
        assert_eq!(a_record_that_moves_while_it_is_told(true, span).violations, Vec::<String>::new());
    }
    let seen =
        spans().filter(|&span| !a_record_that_moves_while_it_is_told(false, span).violations.is_empty());
    let seen: Vec<u64> = seen.collect();
    println!("false with the record moved after {seen:?} ms");
    assert!(!seen.is_empty());
}

/// The replica of a dispatcher ends for good; a purge later.
fn a_replica_that_stays_away(fallback: bool) -> (Simulation, Record) {
    let subscriber_defences = SubscriberDefences { fallback, ..Default::default() };
    let mut simulation = Simulation::new(Setting { subscriber_defences, ..calm(3, 3) });
    run_for(&mut simulation, 4000);
    simulation.kill(Node::Replica(1));
    run_for(&mut simulation, 2000);
    let purge = purge(&simulation, 1);
    assert!(simulation.publish_at(0, purge.clone()));
    run_for(&mut simulation, 2000);
    (simulation, purge)
}

#[test]
fn without_a_fallback_a_purge_stays_outstanding_and_a_dispatcher_in_doubt() {
    let (mut simulation, purge) = a_replica_that_stays_away(true);
    assert!(matches!(simulation.verdict(0, &purge.name()), Verdict::InForce { .. }));
    assert!(simulation.applied(1, &purge) && !simulation.in_doubt_since(1));
    let (mut simulation, purge) = a_replica_that_stays_away(false);
    let Verdict::Outstanding(outstanding) = simulation.verdict(0, &purge.name()) else {
        panic!("nobody can know what its dispatcher does");
    };
    assert_eq!(outstanding.dispatchers, ["d1".into()]);
    assert!(!simulation.applied(1, &purge) && simulation.in_doubt_since(1));
    assert_eq!(simulation.replica(0).standing(), ReplicaStanding::Established);
}
