//! Replicas on loopback that exchange records, and the status that they report meanwhile.

mod common;

use common::{
    RawPoller, ReplicaThread, free_address, is_in_force, member_query, peer, purge, purge_state,
    purged_objects, terms,
};
use myrtlegauge_operator::file::ReplicaSettings;
use myrtlegauge_replica::status::PurgeState;
use myrtlegauge_replication::ReplicaStanding;
use std::time::{Duration, Instant};

fn start_pair() -> (ReplicaThread, ReplicaThread) {
    let [address_a, address_b] = [free_address(), free_address()];
    let terms_a = ReplicaSettings { peers: vec![peer("b", address_b)], ..terms("a", address_a) };
    let terms_b = ReplicaSettings { peers: vec![peer("a", address_a)], ..terms("b", address_b) };
    (ReplicaThread::start(terms_a), ReplicaThread::start(terms_b))
}

#[test]
fn a_record_published_at_one_replica_reaches_pollers_of_the_other() {
    let (a, b) = start_pair();
    let mut poller = RawPoller::connect(b.address);
    poller.send_poll("since=0&timeout=20000");
    a.publish(purge("a1"));
    assert_eq!(purged_objects(&poller.read_poll_answer()), ["a1"]);
}

#[test]
fn a_purge_is_in_force_only_once_a_dispatcher_at_the_other_replica_has_acknowledged_it() {
    let (a, b) = start_pair();
    let mut dispatcher = RawPoller::connect(b.address);
    let (mut log, mut since) = (String::new(), 0);
    // Polls until the attachment is complete, which takes as long as the start-up hold of the replicas.
    let deadline = Instant::now() + common::TIMEOUT;
    loop {
        let answer = dispatcher.poll(&member_query("edge-1", &log, since, 200));
        (log, since) = (answer.log.0.clone(), answer.seq.0);
        if answer.attached {
            break;
        }
        assert!(Instant::now() < deadline, "the dispatcher does not attach: {answer:?}");
    }
    a.wait_for_status("the replica is established", |status| status.standing == ReplicaStanding::Established);
    a.publish(purge("b1"));
    let answer = loop {
        let answer = dispatcher.poll(&member_query("edge-1", &log, since, 5000));
        if !purged_objects(&answer).is_empty() {
            break answer;
        }
        since = answer.seq.0;
    };
    assert_eq!(purged_objects(&answer), ["b1"]);
    // The dispatcher has received the purge and not acknowledged it yet: both replicas report it as lagging.
    let wait_until_lagging = |replica: &ReplicaThread| {
        replica.wait_for_status("the dispatcher is reported as lagging", |status| {
            match purge_state(status, "b1") {
                Some(PurgeState::Outstanding { dispatchers, .. }) => dispatchers == ["edge-1"],
                Some(PurgeState::InForce { .. }) => panic!("in force before it was acknowledged: {status:?}"),
                None => false,
            }
        })
    };
    wait_until_lagging(&a);
    wait_until_lagging(&b);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(wait_until_lagging(&a).lagging(), ["edge-1"]);
    dispatcher.send_poll(&member_query("edge-1", &log, answer.seq.0, 20_000));
    let status = a.wait_for_status("the purge is in force", |status| is_in_force(status, "b1"));
    assert!(
        status.print().contains("object b1") && status.print().contains("in force"),
        "{}",
        status.print()
    );
    b.wait_for_status("the purge is in force", |status| is_in_force(status, "b1"));
}

#[test]
fn a_restarted_peer_is_polled_from_the_start_of_its_log() {
    let [address_a, address_b] = [free_address(), free_address()];
    let a =
        ReplicaThread::start(ReplicaSettings { peers: vec![peer("b", address_b)], ..terms("a", address_a) });
    let terms_b = ReplicaSettings { peers: vec![peer("a", address_a)], ..terms("b", address_b) };
    let b = ReplicaThread::start(terms_b.clone());
    b.publish(purge("c1"));
    assert_eq!(purged_objects(&RawPoller::connect(a.address).poll("since=0&timeout=20000")), ["c1"]);
    drop(b);
    let b = ReplicaThread::start(terms_b);
    assert_eq!(
        purged_objects(&RawPoller::connect(b.address).poll("since=0&timeout=20000")),
        ["c1"],
        "the restarted replica gets back the purge that it had published"
    );
    b.publish(purge("c2"));
    let mut poller = RawPoller::connect(a.address);
    let answer = poller.poll("since=0&timeout=0");
    let (log, mut objects) = (answer.log.0.clone(), purged_objects(&answer));
    if objects.len() < 2 {
        objects
            .extend(purged_objects(&poller.poll(&format!("log={log}&since={}&timeout=20000", answer.seq.0))));
    }
    assert_eq!(objects, ["c1", "c2"]);
}
