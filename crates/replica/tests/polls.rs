//! A replica on loopback, polled by raw connections.

mod common;

use common::{PATIENCE, Raw, Running, free_address, long_line, member_query, purge, purged, terms};
use std::time::{Duration, Instant};

#[test]
fn a_poll_waits_for_news_and_is_answered_as_they_come() {
    let replica = Running::alone();
    let mut poller = Raw::connect(replica.address);
    poller.ask("since=0&timeout=20000");
    assert!(poller.is_silent_for(Duration::from_millis(300)), "nothing has come yet");
    let published_at = Instant::now();
    replica.publish(purge("7f3a"));
    let answer = poller.poll_answer();
    assert!(published_at.elapsed() < Duration::from_secs(5), "not at its timeout");
    assert_eq!(purged(&answer), ["7f3a"]);
    assert_eq!(answer.log.0, replica.status().log);
}

#[test]
fn without_news_a_poll_is_answered_at_its_timeout_and_the_connection_is_kept() {
    let replica = Running::alone();
    let mut poller = Raw::connect(replica.address);
    for _ in 0..3 {
        let asked_at = Instant::now();
        let answer = poller.poll("since=0&timeout=150");
        assert!(asked_at.elapsed() >= Duration::from_millis(150));
        assert_eq!(answer.results, []);
    }
}

#[test]
fn news_of_one_batch_interval_go_together() {
    let batch = Duration::from_millis(600);
    let at = "127.0.0.1:0".parse().expect("an address");
    let replica = Running::start(myrtlegauge_operator::file::ReplicaSettings {
        batch_interval: batch,
        ..terms("a", at)
    });
    let mut poller = Raw::connect(replica.address);
    let first = poller.poll(&member_query("m", "", 0, 0));
    let answered_at = Instant::now();
    poller.ask(&member_query("m", &first.log.0, first.seq.0, 20_000));
    replica.publish(purge("a1"));
    replica.publish(purge("a2"));
    let second = poller.poll_answer();
    assert!(answered_at.elapsed() + Duration::from_millis(50) >= batch, "{:?}", answered_at.elapsed());
    assert_eq!(purged(&second), ["a1", "a2"], "one answer with both");
}

#[test]
fn a_poller_of_another_log_is_told_all_from_the_start() {
    let replica = Running::alone();
    replica.publish(purge("b1"));
    let mut poller = Raw::connect(replica.address);
    let answer = poller.poll(&member_query("m", "another-5", 77, 20_000));
    assert_eq!(purged(&answer), ["b1"]);
    assert_ne!(answer.log.0, "another-5");
}

#[test]
fn a_poller_that_is_ahead_is_told_all_from_the_start() {
    let replica = Running::alone();
    replica.publish(purge("c1"));
    let log = replica.status().log;
    let mut poller = Raw::connect(replica.address);
    let answer = poller.poll(&member_query("m", &log, 1_000_000, 20_000));
    assert_eq!((purged(&answer), answer.log.0.as_str()), (vec!["c1".to_owned()], log.as_str()));
}

#[test]
fn a_bad_poll_is_answered_by_a_sentence_and_closed() {
    let replica = Running::alone();
    for (query, code) in
        [("since=x", 400), ("since=1&role=dispatcher", 400), ("since=1&role=replica&name=z&own_log=z-1", 400)]
    {
        let mut poller = Raw::connect(replica.address);
        poller.ask(query);
        let (answered, body) = poller.answer();
        assert_eq!(answered, code, "{query}: {body}");
        assert!(body.len() > 20 && body.contains(':'), "{query}: {body}");
        assert!(poller.is_closed(), "{query}");
    }
    let mut poller = Raw::connect(replica.address);
    poller.write("POST /changes HTTP/1.1\r\n\r\n");
    assert_eq!(poller.answer().0, 405);
    let mut poller = Raw::connect(replica.address);
    poller.write(&format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000)));
    assert_eq!(poller.answer().0, 431);
}

#[test]
fn half_a_request_is_given_up_and_keeps_nobody_waiting() {
    let replica = Running::alone();
    let mut half = Raw::connect(replica.address);
    half.write("GET /changes?since=0&time");
    let mut other = Raw::connect(replica.address);
    other.poll("since=0&timeout=10");
    let (code, body) = half.answer();
    assert_eq!(code, 408, "{body}");
    assert!(half.is_closed());
}

#[test]
fn requests_sent_behind_each_other_are_answered_in_order() {
    let replica = Running::alone();
    replica.publish(purge("d1"));
    let mut poller = Raw::connect(replica.address);
    let one = "GET /changes?since=0&timeout=10 HTTP/1.1\r\n\r\n";
    poller.write(&format!("{one}GET /status HTTP/1.1\r\n\r\n{one}"));
    assert_eq!(purged(&poller.poll_answer()), ["d1"]);
    assert!(poller.answer().1.contains("\"watermark\""));
    assert_eq!(purged(&poller.poll_answer()), ["d1"]);
}

#[test]
fn a_poller_that_leaves_is_let_go_with_its_poll() {
    let replica = Running::alone();
    let mut pollers: Vec<_> = (0..5).map(|_| Raw::connect(replica.address)).collect();
    pollers.iter_mut().for_each(|poller| poller.ask("since=0&timeout=60000"));
    replica.until("they are there", |status| status.connections == 6);
    drop(pollers);
    replica.until("they are gone", |status| status.connections == 1);
    replica.publish(purge("e1"));
    assert_eq!(purged(&Raw::connect(replica.address).poll("since=0&timeout=1000")), ["e1"]);
}

#[test]
fn a_poller_that_does_not_read_is_given_up_and_keeps_nobody_waiting() {
    let replica = Running::alone();
    for number in 0..24 {
        replica.publish(long_line(&format!("c{number}"), 1024 * 1024));
    }
    let mut deaf = Raw::connect(replica.address);
    deaf.ask("since=0&timeout=0");
    replica.until("it is there", |status| status.connections >= 2);
    let asked_at = Instant::now();
    let mut other = Raw::connect(replica.address);
    other.ask("since=24&timeout=10");
    other.poll_answer();
    assert!(asked_at.elapsed() < Duration::from_secs(5), "{:?}", asked_at.elapsed());
    drop(other);
    replica.until("the deaf one is gone", |status| status.connections == 1);
}

#[test]
fn over_the_bound_on_connections_the_idle_make_room() {
    let at = "127.0.0.1:0".parse().expect("an address");
    let bound = myrtlegauge_operator::file::ReplicaSettings { max_connections: 3, ..terms("a", at) };
    let replica = Running::start(bound);
    let mut busy = Raw::connect(replica.address);
    busy.ask("since=0&timeout=20000");
    let mut idle: Vec<_> = (0..6).map(|_| Raw::connect(replica.address)).collect();
    let status = replica.until("the bound holds", |status| status.connections <= 3);
    assert!(status.connections <= 3);
    assert!(idle[0].is_closed(), "the one idle for longest");
    replica.publish(purge("f1"));
    assert_eq!(purged(&busy.poll_answer()), ["f1"], "who waits for news is kept");
}

#[test]
fn a_replica_that_can_not_listen_says_where() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address");
    let turns = calloop::EventLoop::try_new().expect("a loop");
    let error = myrtlegauge_replica::Service::start(turns.handle(), &terms("a", at)).map(drop);
    let error = error.expect_err("it is in use").to_string();
    assert!(error.contains(&at.to_string()), "{error}");
    assert!(myrtlegauge_replica::status::ask(free_address(), PATIENCE).is_err());
}
