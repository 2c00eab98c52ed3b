//! Replicas on loopback that exchange what they know, and what their status says meanwhile.

mod common;

use common::{Raw, Running, free_address, is_in_force, member_query, peer, purge, purged, state, terms};
use myrtlegauge_operator::file::ReplicaSettings;
use myrtlegauge_replica::status::PurgeState;
use myrtlegauge_replication::ReplicaStanding;
use std::time::{Duration, Instant};

fn pair() -> (Running, Running) {
    let [at_a, at_b] = [free_address(), free_address()];
    let a = ReplicaSettings { peers: vec![peer("b", at_b)], ..terms("a", at_a) };
    let b = ReplicaSettings { peers: vec![peer("a", at_a)], ..terms("b", at_b) };
    (Running::start(a), Running::start(b))
}

#[test]
fn what_is_published_at_one_replica_is_told_at_the_other() {
    let (a, b) = pair();
    let mut poller = Raw::connect(b.address);
    poller.ask("since=0&timeout=20000");
    a.publish(purge("a1"));
    assert_eq!(purged(&poller.poll_answer()), ["a1"]);
}

#[test]
fn a_purge_is_in_force_only_once_a_dispatcher_at_the_other_replica_has_acknowledged_it() {
    let (a, b) = pair();
    let mut dispatcher = Raw::connect(b.address);
    let (mut log, mut since) = (String::new(), 0);
    // It polls until its attach is complete, which takes the replicas' start-up hold.
    let end = Instant::now() + common::PATIENCE;
    loop {
        let answer = dispatcher.poll(&member_query("edge-1", &log, since, 200));
        (log, since) = (answer.log.0.clone(), answer.seq.0);
        if answer.attached {
            break;
        }
        assert!(Instant::now() < end, "it does not attach: {answer:?}");
    }
    a.until("both are established", |status| status.standing == ReplicaStanding::Established);
    a.publish(purge("b1"));
    let answer = loop {
        let answer = dispatcher.poll(&member_query("edge-1", &log, since, 5000));
        if !purged(&answer).is_empty() {
            break answer;
        }
        since = answer.seq.0;
    };
    assert_eq!(purged(&answer), ["b1"]);
    // It was told and has acknowledged nothing yet: both replicas name it.
    let lagging = |replica: &Running| {
        replica.until("the dispatcher is named", |status| match state(status, "b1") {
            Some(PurgeState::Outstanding { dispatchers, .. }) => dispatchers == ["edge-1"],
            Some(PurgeState::InForce { .. }) => panic!("in force before it was acknowledged: {status:?}"),
            None => false,
        })
    };
    lagging(&a);
    lagging(&b);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(lagging(&a).lagging(), ["edge-1"]);
    dispatcher.ask(&member_query("edge-1", &log, answer.seq.0, 20_000));
    let status = a.until("it is in force", |status| is_in_force(status, "b1"));
    assert!(
        status.print().contains("object b1") && status.print().contains("in force"),
        "{}",
        status.print()
    );
    b.until("it is in force", |status| is_in_force(status, "b1"));
}

#[test]
fn a_peer_that_starts_anew_is_read_from_its_start() {
    let [at_a, at_b] = [free_address(), free_address()];
    let a = Running::start(ReplicaSettings { peers: vec![peer("b", at_b)], ..terms("a", at_a) });
    let b_terms = ReplicaSettings { peers: vec![peer("a", at_a)], ..terms("b", at_b) };
    let b = Running::start(b_terms.clone());
    b.publish(purge("c1"));
    assert_eq!(purged(&Raw::connect(a.address).poll("since=0&timeout=20000")), ["c1"]);
    drop(b);
    let b = Running::start(b_terms);
    assert_eq!(
        purged(&Raw::connect(b.address).poll("since=0&timeout=20000")),
        ["c1"],
        "it learns what it told before"
    );
    b.publish(purge("c2"));
    let mut poller = Raw::connect(a.address);
    let answer = poller.poll("since=0&timeout=0");
    let (log, mut all) = (answer.log.0.clone(), purged(&answer));
    if all.len() < 2 {
        all.extend(purged(&poller.poll(&format!("log={log}&since={}&timeout=20000", answer.seq.0))));
    }
    assert_eq!(all, ["c1", "c2"]);
}
