//! A replica on loopback, polled over raw connections.

mod common;

use common::{
    RawPoller, ReplicaThread, TIMEOUT, free_address, large_host_entry, member_query, purge, purged_objects,
    terms,
};
use std::time::{Duration, Instant};

#[test]
fn a_poll_waits_for_events_and_is_answered_when_one_is_published() {
    let replica = ReplicaThread::without_peers();
    let mut poller = RawPoller::connect(replica.address);
    poller.send_poll("since=0&timeout=20000");
    assert!(poller.receives_nothing_for(Duration::from_millis(300)), "nothing was published yet");
    let published_at = Instant::now();
    replica.publish(purge("7f3a"));
    let answer = poller.read_poll_answer();
    assert!(published_at.elapsed() < Duration::from_secs(5), "the poll must be answered before its timeout");
    assert_eq!(purged_objects(&answer), ["7f3a"]);
    assert_eq!(answer.log.0, replica.status().log);
}

#[test]
fn without_events_a_poll_is_answered_at_its_timeout_and_the_connection_stays_open() {
    let replica = ReplicaThread::without_peers();
    let mut poller = RawPoller::connect(replica.address);
    for _ in 0..3 {
        let sent_at = Instant::now();
        let answer = poller.poll("since=0&timeout=150");
        assert!(sent_at.elapsed() >= Duration::from_millis(150));
        assert_eq!(answer.results, []);
    }
}

#[test]
fn events_of_one_batch_interval_are_sent_in_one_answer() {
    let batch = Duration::from_millis(600);
    let address = "127.0.0.1:0".parse().expect("an address");
    let replica = ReplicaThread::start(myrtlegauge_operator::file::ReplicaSettings {
        batch_interval: batch,
        ..terms("a", address)
    });
    let mut poller = RawPoller::connect(replica.address);
    let first = poller.poll(&member_query("m", "", 0, 0));
    let answered_at = Instant::now();
    poller.send_poll(&member_query("m", &first.log.0, first.seq.0, 20_000));
    replica.publish(purge("a1"));
    replica.publish(purge("a2"));
    let second = poller.read_poll_answer();
    assert!(answered_at.elapsed() + Duration::from_millis(50) >= batch, "{:?}", answered_at.elapsed());
    assert_eq!(purged_objects(&second), ["a1", "a2"], "one answer with both");
}

#[test]
fn a_poller_with_another_log_id_gets_all_events() {
    let replica = ReplicaThread::without_peers();
    replica.publish(purge("b1"));
    let mut poller = RawPoller::connect(replica.address);
    let answer = poller.poll(&member_query("m", "another-5", 77, 20_000));
    assert_eq!(purged_objects(&answer), ["b1"]);
    assert_ne!(answer.log.0, "another-5");
}

#[test]
fn a_poller_ahead_of_the_log_gets_all_events() {
    let replica = ReplicaThread::without_peers();
    replica.publish(purge("c1"));
    let log = replica.status().log;
    let mut poller = RawPoller::connect(replica.address);
    let answer = poller.poll(&member_query("m", &log, 1_000_000, 20_000));
    assert_eq!((purged_objects(&answer), answer.log.0.as_str()), (vec!["c1".to_owned()], log.as_str()));
}

#[test]
fn an_invalid_poll_gets_an_error_text_and_the_connection_is_closed() {
    let replica = ReplicaThread::without_peers();
    for (query, code) in
        [("since=x", 400), ("since=1&role=dispatcher", 400), ("since=1&role=replica&name=z&own_log=z-1", 400)]
    {
        let mut poller = RawPoller::connect(replica.address);
        poller.send_poll(query);
        let (response_code, body) = poller.read_response();
        assert_eq!(response_code, code, "{query}: {body}");
        assert!(body.len() > 20 && body.contains(':'), "{query}: {body}");
        assert!(poller.is_closed(), "{query}");
    }
    let mut poller = RawPoller::connect(replica.address);
    poller.write("POST /changes HTTP/1.1\r\n\r\n");
    assert_eq!(poller.read_response().0, 405);
    let mut poller = RawPoller::connect(replica.address);
    poller.write(&format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000)));
    assert_eq!(poller.read_response().0, 431);
}

#[test]
fn an_incomplete_request_times_out_and_does_not_delay_other_pollers() {
    let replica = ReplicaThread::without_peers();
    let mut incomplete = RawPoller::connect(replica.address);
    incomplete.write("GET /changes?since=0&time");
    let mut other = RawPoller::connect(replica.address);
    other.poll("since=0&timeout=10");
    let (code, body) = incomplete.read_response();
    assert_eq!(code, 408, "{body}");
    assert!(incomplete.is_closed());
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let replica = ReplicaThread::without_peers();
    replica.publish(purge("d1"));
    let mut poller = RawPoller::connect(replica.address);
    let poll = "GET /changes?since=0&timeout=10 HTTP/1.1\r\n\r\n";
    poller.write(&format!("{poll}GET /status HTTP/1.1\r\n\r\n{poll}"));
    assert_eq!(purged_objects(&poller.read_poll_answer()), ["d1"]);
    assert!(poller.read_response().1.contains("\"watermark\""));
    assert_eq!(purged_objects(&poller.read_poll_answer()), ["d1"]);
}

#[test]
fn a_poll_is_dropped_when_its_poller_disconnects() {
    let replica = ReplicaThread::without_peers();
    let mut pollers: Vec<_> = (0..5).map(|_| RawPoller::connect(replica.address)).collect();
    pollers.iter_mut().for_each(|poller| poller.send_poll("since=0&timeout=60000"));
    replica.wait_for_status("the pollers are connected", |status| status.connections == 6);
    drop(pollers);
    replica.wait_for_status("the pollers are disconnected", |status| status.connections == 1);
    replica.publish(purge("e1"));
    assert_eq!(purged_objects(&RawPoller::connect(replica.address).poll("since=0&timeout=1000")), ["e1"]);
}

#[test]
fn a_poller_that_does_not_read_is_disconnected_and_does_not_delay_other_pollers() {
    let replica = ReplicaThread::without_peers();
    // One record, since answers of several are shorter than what the system buffers for a connection.
    replica.publish(large_host_entry("c0", 24 * 1024 * 1024));
    let mut not_reading = RawPoller::connect(replica.address);
    not_reading.send_poll("since=0&timeout=0");
    replica.wait_for_status("the poller is connected", |status| status.connections >= 2);
    let sent_at = Instant::now();
    let mut other = RawPoller::connect(replica.address);
    other.send_poll("since=1&timeout=10");
    other.read_poll_answer();
    assert!(sent_at.elapsed() < Duration::from_secs(5), "{:?}", sent_at.elapsed());
    drop(other);
    replica
        .wait_for_status("the poller that does not read is disconnected", |status| status.connections == 1);
}

#[test]
fn at_the_connection_limit_idle_connections_are_closed_to_make_room() {
    let address = "127.0.0.1:0".parse().expect("an address");
    let limited_terms =
        myrtlegauge_operator::file::ReplicaSettings { max_connections: 3, ..terms("a", address) };
    let replica = ReplicaThread::start(limited_terms);
    let mut busy = RawPoller::connect(replica.address);
    busy.send_poll("since=0&timeout=20000");
    let mut idle: Vec<_> = (0..6).map(|_| RawPoller::connect(replica.address)).collect();
    let status = replica.wait_for_status("the limit holds", |status| status.connections <= 3);
    assert!(status.connections <= 3);
    assert!(idle[0].is_closed(), "the connection idle for longest is closed");
    replica.publish(purge("f1"));
    assert_eq!(purged_objects(&busy.read_poll_answer()), ["f1"], "the connection with an open poll is kept");
}

#[test]
fn an_address_in_use_is_named_in_the_error() {
    let occupant = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = occupant.local_addr().expect("an address");
    let event_loop = calloop::EventLoop::try_new().expect("an event loop");
    let error = myrtlegauge_replica::Service::start(event_loop.handle(), &terms("a", address)).map(drop);
    let error = error.expect_err("the address is in use").to_string();
    assert!(error.contains(&address.to_string()), "{error}");
    assert!(myrtlegauge_replica::status::fetch(free_address(), TIMEOUT).is_err());
}
