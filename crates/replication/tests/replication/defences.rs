//! Disables each defence, one at a time, and checks that the oracle detects its absence.

use crate::simulation::{Node, Simulation, SimulationSettings, ms};
use myrtlegauge_replication::{
    Purge, PurgeTarget, Record, ReplicaDefences, ReplicaStanding, SubscriberDefences, Verdict,
};

/// The number of seeds tried to find a record that is reported in force too soon.
const SEEDS: u64 = 150;

fn settings(seed: u64) -> SimulationSettings {
    let (replicas, dispatchers) = (3 + (seed as usize) % 3, 5 + (seed as usize) % 4);
    SimulationSettings {
        faults_end: ms(15_000),
        fault_interval: Some(ms(250)),
        ..SimulationSettings::new(seed, replicas, dispatchers)
    }
}

/// The first seed under which a record is reported in force too soon.
fn first_violating_seed(replica: ReplicaDefences, subscriber: SubscriberDefences) -> Option<u64> {
    (0..SEEDS).find(|&seed| {
        let settings = SimulationSettings {
            replica_defences: replica,
            subscriber_defences: subscriber,
            ..settings(seed)
        };
        let mut simulation = Simulation::new(settings);
        simulation.run_until(settings.faults_end);
        !simulation.violations.is_empty()
    })
}

fn check_violation_found(replica: ReplicaDefences, subscriber: SubscriberDefences) {
    let seed = first_violating_seed(replica, subscriber);
    println!("{replica:?} {subscriber:?}: violated at seed {seed:?}");
    assert!(seed.is_some(), "no seed below {SEEDS} shows that {replica:?} {subscriber:?} is unsafe");
}

#[test]
fn the_oracle_detects_a_disabled_watermark() {
    check_violation_found(ReplicaDefences { watermark: false, ..Default::default() }, Default::default());
}

#[test]
fn the_oracle_detects_ignored_members_attached_since_the_report() {
    check_violation_found(
        ReplicaDefences { attached_since: false, ..Default::default() },
        Default::default(),
    );
}

#[test]
fn the_oracle_detects_a_disabled_attach_quorum() {
    check_violation_found(ReplicaDefences { attach_quorum: false, ..Default::default() }, Default::default());
}

#[test]
fn the_oracle_detects_a_disabled_start_up_hold() {
    check_violation_found(ReplicaDefences { start_up_hold: false, ..Default::default() }, Default::default());
}

#[test]
fn the_oracle_detects_a_disabled_doubt_timeout() {
    check_violation_found(Default::default(), SubscriberDefences { doubt: false, ..Default::default() });
}

fn without_faults(replicas: usize, dispatchers: usize) -> SimulationSettings {
    SimulationSettings {
        fault_interval: None,
        publish_interval: ms(1_000_000),
        ..SimulationSettings::new(1, replicas, dispatchers)
    }
}

fn purge(simulation: &Simulation, group: u64) -> Record {
    Record::Purge(Purge { target: PurgeTarget::Group(group), unix_ms: simulation.unix_ms() })
}

fn run_for_ms(simulation: &mut Simulation, duration_ms: u64) {
    simulation.run_until(simulation.now + ms(duration_ms));
}

fn links_both_directions(one: usize, others: &[usize]) -> Vec<(usize, usize)> {
    others.iter().flat_map(|&other| [(one, other), (other, one)]).collect()
}

/// A dispatcher starts at r1 while r0 is cut off and knows of no other dispatcher. Then r0 accepts a purge.
fn purge_at_isolated_replica(claim_quorum: bool) -> Simulation {
    let replica_defences = ReplicaDefences { claim_quorum, ..Default::default() };
    let mut simulation = Simulation::new(SimulationSettings { replica_defences, ..without_faults(3, 2) });
    run_for_ms(&mut simulation, 4000);
    simulation.kill(Node::Dispatcher(1));
    run_for_ms(&mut simulation, 3000);
    simulation.cut_links(&links_both_directions(0, &[1, 2]));
    run_for_ms(&mut simulation, 1000);
    simulation.start(Node::Dispatcher(1));
    run_for_ms(&mut simulation, 1000);
    assert!(!simulation.is_in_doubt(1), "a majority of replicas is reachable");
    let purge = purge(&simulation, 1);
    assert!(simulation.publish_at(0, purge));
    run_for_ms(&mut simulation, 1000);
    simulation
}

#[test]
fn the_oracle_detects_a_disabled_claim_quorum() {
    assert_eq!(purge_at_isolated_replica(true).violations, Vec::<String>::new());
    assert!(!purge_at_isolated_replica(false).violations.is_empty());
}

/// A dispatcher attaches and reads a long backlog, one record per answer. Meanwhile, records of the backlog move to
/// sequence numbers above the one that the attachment requires, and the replica that claims the older ones is cut off.
fn record_moved_during_attach(complete_answers: bool, moved_after_ms: u64) -> Simulation {
    let replica_defences = ReplicaDefences { complete_answers, ..Default::default() };
    let mut simulation = Simulation::new(SimulationSettings {
        replica_defences,
        max_batch_records: 1,
        ..without_faults(3, 1)
    });
    run_for_ms(&mut simulation, 4000);
    simulation.kill(Node::Dispatcher(0));
    for group in 1..=100 {
        let purge = purge(&simulation, group);
        assert!(simulation.publish_at(1, purge));
    }
    run_for_ms(&mut simulation, 8000);
    assert_eq!(simulation.not_in_force(), Vec::<String>::new());
    simulation.start(Node::Dispatcher(0));
    run_for_ms(&mut simulation, moved_after_ms);
    simulation.cut_links(&links_both_directions(0, &[1, 2]));
    for group in (101..=200).chain(1..=100) {
        let purge = purge(&simulation, group);
        assert!(simulation.publish_at(0, purge));
    }
    run_for_ms(&mut simulation, 1500);
    simulation
}

#[test]
fn the_oracle_detects_acknowledged_incomplete_answers() {
    let delays_ms = || (10..300).step_by(10);
    for delay_ms in delays_ms() {
        assert_eq!(record_moved_during_attach(true, delay_ms).violations, Vec::<String>::new());
    }
    let violating =
        delays_ms().filter(|&delay_ms| !record_moved_during_attach(false, delay_ms).violations.is_empty());
    let violating: Vec<u64> = violating.collect();
    println!("violated with the records moved after {violating:?} ms");
    assert!(!violating.is_empty());
}

/// The replica of a dispatcher ends permanently. A purge is published later.
fn purge_after_permanent_replica_failure(fallback: bool) -> (Simulation, Record) {
    let subscriber_defences = SubscriberDefences { fallback, ..Default::default() };
    let mut simulation = Simulation::new(SimulationSettings { subscriber_defences, ..without_faults(3, 3) });
    run_for_ms(&mut simulation, 4000);
    simulation.kill(Node::Replica(1));
    run_for_ms(&mut simulation, 2000);
    let purge = purge(&simulation, 1);
    assert!(simulation.publish_at(0, purge.clone()));
    run_for_ms(&mut simulation, 2000);
    (simulation, purge)
}

#[test]
fn without_a_fallback_a_purge_stays_outstanding_and_a_dispatcher_in_doubt() {
    let (mut simulation, purge) = purge_after_permanent_replica_failure(true);
    assert!(matches!(simulation.verdict(0, &purge.name()), Verdict::InForce { .. }));
    assert!(simulation.has_applied(1, &purge) && !simulation.is_in_doubt(1));
    let (mut simulation, purge) = purge_after_permanent_replica_failure(false);
    let Verdict::Outstanding(outstanding) = simulation.verdict(0, &purge.name()) else {
        panic!("the state of the dispatcher is unknown, so the purge is outstanding");
    };
    assert_eq!(outstanding.dispatchers, ["d1".into()]);
    assert!(!simulation.has_applied(1, &purge) && simulation.is_in_doubt(1));
    assert_eq!(simulation.replica(0).standing(), ReplicaStanding::Established);
}
