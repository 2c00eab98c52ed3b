//! Reloads of the configuration (SIGHUP), change log polls that fall silent, full host lists, and shutdown: what the change log
//! reports right after one of them is applied, and each request that arrives meanwhile is answered.

mod common;

use common::{DispatcherRig, HOSTS, ms, object_request, request, settings};
use myrtlegauge_dispatcher::routing::ResourceLimits;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// An action of a test on its rig.
type Action<'a> = &'a dyn Fn(&mut DispatcherRig);

const AMPLE_LIMITS: ResourceLimits = ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 };
/// A poll lasts 0.5 s, a silent one times out 0.25 s later, and the next starts 0.05 s after that. The remaining 0.2 s are slack
/// for a busy machine.
const MAX_SILENCE_DETECTION: Duration = Duration::from_millis(1000);

/// The test settings, with this viewer timeout for all delivery services.
fn settings_with_deadline(deadline_ms: f64) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["deadline_ms"] = json!(deadline_ms);
    }
    settings
}

/// An answer of the change log with one event.
fn one_event(seq: u64, fleet: &Value) -> String {
    json!({"seq": seq, "results": [{"seq": seq, "fleet": fleet}]}).to_string()
}

/// An answer of the change log with one event that drains these hosts.
fn drain_event(seq: u64, hosts: &[&str]) -> String {
    let lines: Vec<Value> = hosts.iter().map(|host| json!({"name": host, "status": "leaving"})).collect();
    one_event(seq, &json!({"snapshot": false, "endpoints": lines}))
}

/// An answer of the change log with a full host list of these hosts.
fn full_host_list(rig: &mut DispatcherRig, seq: u64, hosts: &[&str]) -> String {
    let lines: Vec<Value> = hosts.iter().map(|host| rig.host_line(host, "active", 0)).collect();
    one_event(seq, &json!({"snapshot": true, "endpoints": lines}))
}

/// Sends GETs for one distinct object each, numbered from `first`; the host that reads a GET answers it.
fn send_answered_gets(rig: &mut DispatcherRig, first: u16, count: u16) {
    for number in first..first + count {
        rig.send_get(number, "video", &[("HTTP_RESOURCE_KEY", &format!("{number:016x}"))]);
        rig.wait_for_lines(1);
        rig.answer(number, "200", "why=TCP_HIT", "the bytes");
        rig.wait_for_lines(1);
    }
}

/// Counts the answers that clients have read to requests with this number.
fn count_answers(rig: &DispatcherRig, number: u16) -> usize {
    let marker = format!(" reads {number}: ");
    rig.trace.lines().filter(|line| line.starts_with("client ") && line.contains(&marker)).count()
}

/// Runs iterations until the dispatcher is done, for at most `limit_ms`, and returns how long it took.
fn wait_until_done(rig: &mut DispatcherRig, limit_ms: u64) -> Duration {
    let start = Instant::now();
    while !rig.dispatcher.is_done() {
        rig.run_iteration();
        assert!(start.elapsed() < ms(limit_ms), "not done after {limit_ms} ms:\n{}", rig.trace);
    }
    start.elapsed()
}

// Reloads.

/// The drains are still unread in the connection to the old change log when the reload arrives. The new change log reports them
/// with its first answer.
#[test]
fn drains_reported_right_after_a_reload_are_applied() {
    let mut rig = DispatcherRig::new();
    send_answered_gets(&mut rig, 1000, 40);
    rig.answer_poll(&drain_event(2, &["cache-0", "cache-1"]));
    rig.move_changelog();
    let moved_at = Instant::now();
    rig.trace_poll();
    assert!(
        moved_at.elapsed() < ms(200),
        "the new change log was not polled at once: {:?}",
        moved_at.elapsed()
    );
    assert!(rig.trace.ends_with("GET /changes?since=1&timeout=500 HTTP/1.1\n"), "{}", rig.trace);
    rig.answer_poll(&drain_event(2, &["cache-0", "cache-1"]));
    rig.wait_for_poll();
    let trace_length = rig.trace.len();
    send_answered_gets(&mut rig, 1, 40);
    for host in ["cache-0", "cache-1"] {
        assert!(
            !rig.has_read_since(host, trace_length),
            "{host} was sent a request although it drains: {}",
            &rig.trace[trace_length..]
        );
    }
}

/// A GET in flight at a host that drains after a reload may still be answered by that host. If it fails there, it is not sent to
/// that host again.
#[test]
fn gets_in_flight_at_a_host_that_drains_after_a_reload_end_there_or_are_sent_elsewhere() {
    let mut rig = DispatcherRig::new();
    rig.send_get(1, "video", &[]);
    rig.send_get(2, "video", &[]);
    rig.wait_for_lines(2);
    let host = rig.last_reader.clone();
    rig.move_changelog();
    rig.answer_poll(&drain_event(2, &[&host]));
    rig.wait_for_poll();
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    rig.answer(2, "500", "why=PEER_DEAD", "");
    rig.wait_for_lines(1);
    assert_eq!((rig.forwards_read_by(&host, 2), rig.forwards_read(2)), (1, 2), "{}", rig.trace);
    assert_eq!(count_answers(&rig, 1), 1, "{}", rig.trace);
}

#[test]
fn a_change_log_named_by_a_reload_before_it_is_reachable_is_followed_once_it_is() {
    for silent in [false, true] {
        let mut rig = DispatcherRig::new();
        rig.wait_for_poll();
        rig.move_changelog();
        if silent {
            rig.fill_changelog_accept_queue();
        } else {
            rig.set_changelog_refusing(true);
        }
        rig.run_for_ms(600);
        rig.send_get(1, "video", &[]);
        rig.wait_for_lines(1);
        if silent {
            rig.empty_accept_queue("change log");
        } else {
            rig.set_changelog_refusing(false);
        }
        let reachable_at = Instant::now();
        rig.answer_poll(&drain_event(2, &["cache-0", "cache-1"]));
        assert!(reachable_at.elapsed() < ms(500), "{:?}", reachable_at.elapsed());
        rig.wait_for_poll();
        let trace_length = rig.trace.len();
        send_answered_gets(&mut rig, 10, 20);
        assert!(
            !rig.has_read_since("cache-0", trace_length) && !rig.has_read_since("cache-1", trace_length),
            "{}",
            rig.trace
        );
    }
}

#[test]
fn of_several_reloads_in_a_row_the_last_one_takes_effect() {
    let mut rig = DispatcherRig::new();
    rig.wait_for_poll();
    for _ in 0..3 {
        rig.move_changelog();
    }
    rig.answer_poll(&drain_event(2, &["cache-2"]));
    rig.wait_for_poll();
    // A reload of an invalid configuration changes nothing.
    rig.dispatcher.set_change_log_address(None);
    let trace_length = rig.trace.len();
    send_answered_gets(&mut rig, 1, 20);
    assert!(!rig.has_read_since("cache-2", trace_length), "{}", rig.trace);
    rig.trace_poll();
    assert!(rig.trace.ends_with("GET /changes?since=2&timeout=500 HTTP/1.1\n"), "{}", rig.trace);
}

// Polls that fall silent.

/// Polls are answered for 13 s, then the change log falls silent, with `stops` at the same time as shutdown is requested. The
/// dispatcher must notice in time and poll on a new connection, and apply what that reports to GETs accepted or retried from then
/// on.
fn check_late_silence(stops: bool) {
    let mut rig = DispatcherRig::new();
    let start = Instant::now();
    while start.elapsed() < ms(13_000) {
        rig.answer_poll(&json!({"seq": 1, "results": []}).to_string());
        rig.run_for_ms(450);
    }
    // A client that sent nothing was closed long ago.
    let client = rig.connect_client();
    rig.write(client, &object_request(1, "video", &[], b""));
    rig.wait_for_lines(1);
    let first = rig.last_reader.clone();
    let others: Vec<&str> = HOSTS[..3].iter().copied().filter(|&host| host != first).collect();
    rig.wait_for_poll();
    let silent_since = Instant::now();
    if stops {
        rig.dispatcher.stop();
    }
    rig.wait_for_poll_timeout();
    rig.answer_poll(&drain_event(2, &others[..1]));
    rig.wait_for_poll();
    assert!(silent_since.elapsed() < MAX_SILENCE_DETECTION, "{:?}", silent_since.elapsed());
    let trace_length = rig.trace.len();
    rig.close_host(&first, true);
    rig.wait_for_lines(1);
    assert!(!rig.has_read_since(others[0], trace_length), "{}", rig.trace);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    assert!(rig.trace.contains("| the bytes"), "{}", rig.trace);
    if stops {
        wait_until_done(&mut rig, 3700);
    }
}

#[test]
fn a_poll_that_falls_silent_late_is_replaced_in_time() {
    check_late_silence(false);
}

#[test]
fn a_poll_that_falls_silent_late_at_shutdown_is_replaced_in_time() {
    check_late_silence(true);
}

// Full host lists.

#[test]
fn a_host_missing_from_a_full_list_answers_what_is_in_flight_and_gets_nothing_more() {
    let mut rig = DispatcherRig::new();
    send_answered_gets(&mut rig, 1000, 20);
    rig.send_get(1, "video", &[]);
    rig.wait_for_lines(1);
    let host = rig.last_reader.clone();
    let listed: Vec<&str> =
        HOSTS.iter().copied().filter(|&name| name != host && name != "parent-3").collect();
    let list = full_host_list(&mut rig, 2, &listed);
    rig.answer_poll(&list);
    rig.wait_for_poll();
    let trace_length = rig.trace.len();
    rig.last_reader.clone_from(&host);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    assert!(rig.trace.ends_with("| the bytes\n"), "{}", rig.trace);
    send_answered_gets(&mut rig, 2, 40);
    let new_lines = &rig.trace[trace_length..];
    assert!(!rig.has_read_since(&host, trace_length) && !new_lines.contains("up=parent-3"), "{new_lines}");
    rig.run_for_ms(400);
    let (connections, closed_and_reset) = (rig.connection_count(&host), rig.closed_and_reset_counts(&host));
    assert_eq!(closed_and_reset, (connections, 0), "its connections were not all closed without a reset");
    // Once listed again, the host receives a share of the GETs again.
    let list = full_host_list(&mut rig, 3, &HOSTS);
    rig.answer_poll(&list);
    rig.wait_for_poll();
    let trace_length = rig.trace.len();
    send_answered_gets(&mut rig, 200, 60);
    assert!(rig.has_read_since(&host, trace_length), "{}", &rig.trace[trace_length..]);
}

#[test]
fn forwards_not_yet_sent_to_a_host_missing_from_a_full_list_are_rerouted() {
    let mut rig = DispatcherRig::new();
    rig.shrink_receive_buffers();
    rig.send_get(1, "video", &[]);
    rig.wait_for_lines(1);
    let host = rig.last_reader.clone();
    rig.set_reading_paused(&host, true);
    for number in 2..=30 {
        rig.write(0, &object_request(number, "video", &[], &[b'x'; 40_000]));
        rig.run_for_ms(5);
    }
    let listed: Vec<&str> = HOSTS.iter().copied().filter(|&name| name != host).collect();
    let list = full_host_list(&mut rig, 2, &listed);
    rig.answer_poll(&list);
    rig.run_for_ms(150);
    let elsewhere = |rig: &DispatcherRig, id| rig.forwards_read(id) - rig.forwards_read_by(&host, id);
    assert!((2..=30).any(|id| elsewhere(&rig, id) > 0), "{}", rig.trace);
    rig.set_reading_paused(&host, false);
    rig.run_for_ms(300);
    for id in 1..=30 {
        assert_eq!(rig.forwards_read(id), 1, "{id}: {}", rig.trace);
    }
}

/// A full list, a change to it and a purge in one answer of the change log are applied in their order.
#[test]
fn changes_after_a_full_list_in_the_same_answer_are_applied() {
    let mut rig = DispatcherRig::new();
    let listed: Vec<Value> = HOSTS[1..].iter().map(|host| rig.host_line(host, "active", 0)).collect();
    let answer = json!({"seq": 4, "results": [
        {"seq": 2, "fleet": {"snapshot": true, "endpoints": listed}},
        {"seq": 3, "fleet": {"snapshot": false, "endpoints": [{"name": "cache-1", "status": "leaving"}]}},
        {"seq": 4, "invalidate": {"bucket": 17, "time": 9e15}}]});
    rig.answer_poll(&answer.to_string());
    rig.trace_poll();
    assert!(rig.trace.ends_with("GET /changes?since=4&timeout=500 HTTP/1.1\n"), "{}", rig.trace);
    rig.send_get(1, "photo", &[]);
    rig.wait_for_lines(1);
    assert!(rig.trace.contains("cap=small"), "the purge was not applied: {}", rig.trace);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    let trace_length = rig.trace.len();
    send_answered_gets(&mut rig, 10, 30);
    assert!(
        !rig.has_read_since("cache-0", trace_length) && !rig.has_read_since("cache-1", trace_length),
        "{}",
        rig.trace
    );
}

/// While the list has no cache, each GET is answered without one; with the next list the caches are used again.
#[test]
fn requests_are_answered_while_the_full_list_has_no_cache() {
    let mut rig = DispatcherRig::with_settings(settings_with_deadline(500.0), AMPLE_LIMITS);
    let list = full_host_list(&mut rig, 2, &["parent-3", "origin-5"]);
    rig.answer_poll(&list);
    rig.wait_for_poll();
    for (number, ds) in [(1, "video"), (2, "photo"), (3, "confirm"), (4, "order")] {
        rig.send_get(number, ds, &[("HTTP_BUDGET_MS", "500")]);
    }
    rig.run_for_ms(550);
    for number in 1..=4 {
        assert_eq!(count_answers(&rig, number), 1, "{number}: {}", rig.trace);
        assert!((0..3).all(|cache| rig.forwards_read_by(HOSTS[cache], number) == 0), "{}", rig.trace);
    }
    let list = full_host_list(&mut rig, 3, &HOSTS);
    rig.answer_poll(&list);
    rig.wait_for_poll();
    send_answered_gets(&mut rig, 10, 5);
}

// Requests that arrive in pieces.

/// Requests are cut at many places; the rest arrives after a reload, or within the time that a shutdown allows.
#[test]
fn a_request_in_pieces_around_a_reload_or_shutdown_is_answered() {
    for stops in [false, true] {
        let mut rig = DispatcherRig::new();
        let length = object_request(1, "confirm", &[], b"signed for").len();
        let cuts: Vec<usize> = (1..length).step_by(length / 14).chain([length - 1]).collect();
        let requests: Vec<(usize, Vec<u8>, usize)> = cuts
            .iter()
            .enumerate()
            .map(|(index, &cut)| {
                (rig.connect_client(), object_request(index as u16 + 1, "confirm", &[], b"signed for"), cut)
            })
            .collect();
        for (client, request, cut) in &requests {
            rig.write(*client, &request[..*cut]);
        }
        rig.run_for_ms(100);
        rig.move_changelog();
        if stops {
            rig.dispatcher.stop();
        }
        rig.run_for_ms(400);
        for (client, request, cut) in &requests {
            rig.write(*client, &request[*cut..]);
        }
        rig.wait_for_lines(requests.len());
        for number in 1..=requests.len() as u16 {
            assert_eq!(rig.forwards_read(number), 1, "cut at {}: {}", cuts[number as usize - 1], rig.trace);
            rig.answer(number, "200", "-", "done");
        }
        rig.wait_for_lines(requests.len());
        assert_eq!(rig.trace.matches("| done").count(), requests.len(), "{}", rig.trace);
        if stops {
            wait_until_done(&mut rig, 2000);
        }
    }
}

/// A client writes a request slowly, a few bytes at a time, while the change log moves twice and shutdown is requested.
#[test]
fn a_request_that_arrives_slowly_during_reloads_and_shutdown_is_answered() {
    let mut rig = DispatcherRig::new();
    let request = object_request(1, "video", &[], b"");
    for (index, piece) in request.chunks(request.len() / 12).enumerate() {
        rig.write(0, piece);
        match index {
            3 | 6 => rig.move_changelog(),
            8 => rig.dispatcher.stop(),
            _ => {}
        }
        rig.run_for_ms(90);
    }
    rig.run_for_ms(20);
    assert_eq!(rig.forwards_read(1), 1, "{}", rig.trace);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    assert!(rig.trace.contains("| the bytes"), "{}", rig.trace);
    wait_until_done(&mut rig, 2000);
}

// Shutdown of an idle dispatcher.

#[test]
fn an_idle_dispatcher_shuts_down_in_time() {
    let no_client = |rig: &mut DispatcherRig| rig.close_client(0);
    let silent = |_: &mut DispatcherRig| {};
    let kept_open = |rig: &mut DispatcherRig| {
        rig.write(0, &request(1, &[("SCRIPT_NAME", "/health")], b""));
        rig.wait_for_lines(1);
        rig.ignore_peer_close(0);
    };
    let clients: [(&str, Action<'_>); 3] =
        [("none", &no_client), ("silent", &silent), ("idle, kept open", &kept_open)];
    // The shortest time to the kill is the longest deadline plus 0.7 s.
    for deadline_ms in [100, 3000] {
        for (clients, prepare) in clients {
            for is_changelog_reachable in [true, false] {
                let mut rig =
                    DispatcherRig::with_settings(settings_with_deadline(deadline_ms as f64), AMPLE_LIMITS);
                prepare(&mut rig);
                if !is_changelog_reachable {
                    rig.set_changelog_refusing(true);
                }
                rig.run_for_ms(300);
                rig.dispatcher.stop();
                let took = wait_until_done(&mut rig, deadline_ms + 700);
                assert!(
                    took < ms(1400),
                    "clients: {clients}, deadline: {deadline_ms} ms, shutdown took {took:?}"
                );
                assert_eq!(rig.dispatcher.gets_taken(), 0);
            }
        }
    }
}

// Requests that expire.

/// The hosts read nothing, read without answering, accept no connections or refuse them, and meanwhile nothing happens, the
/// configuration is reloaded, shutdown is requested or all caches and parents leave the list. In each combination every request
/// must be answered once, and before its client times out.
#[test]
fn every_expiring_request_is_answered_once_and_in_time() {
    let paused = |rig: &mut DispatcherRig| HOSTS.iter().for_each(|host| rig.set_reading_paused(host, true));
    let silent = |_: &mut DispatcherRig| {};
    let full_queue = |rig: &mut DispatcherRig| HOSTS.iter().for_each(|host| rig.fill_accept_queue(host));
    let refusing = |rig: &mut DispatcherRig| HOSTS.iter().for_each(|host| rig.close_host(host, true));
    let host_failures: [(&str, Action<'_>); 4] = [
        ("not reading", &paused),
        ("silent", &silent),
        ("accept queue full", &full_queue),
        ("refusing", &refusing),
    ];
    let reload = |rig: &mut DispatcherRig| rig.move_changelog();
    let shutdown = |rig: &mut DispatcherRig| rig.dispatcher.stop();
    let remove_all_but_origin = |rig: &mut DispatcherRig| {
        let list = full_host_list(rig, 2, &["origin-5"]);
        rig.answer_poll(&list);
    };
    let events: [(&str, Action<'_>); 4] = [
        ("none", &|_| {}),
        ("reload", &reload),
        ("shutdown", &shutdown),
        ("all but the origin removed", &remove_all_but_origin),
    ];
    for (failure, fail_hosts) in host_failures {
        for (event, trigger) in events {
            let mut rig = DispatcherRig::with_settings(settings_with_deadline(1000.0), AMPLE_LIMITS);
            send_answered_gets(&mut rig, 1000, 10);
            fail_hosts(&mut rig);
            let (mut number, mut unanswered) = (0, Vec::new());
            for budget_ms in [60, 250, 1000] {
                for ds in ["video", "photo", "confirm", "order"] {
                    number += 1;
                    rig.send_get(number, ds, &[("HTTP_BUDGET_MS", &budget_ms.to_string())]);
                    unanswered.push((number, Instant::now() + ms(budget_ms)));
                }
            }
            rig.run_for_ms(30);
            trigger(&mut rig);
            while !unanswered.is_empty() {
                rig.run_iteration();
                unanswered.retain(|&(number, deadline)| {
                    let answered = count_answers(&rig, number) > 0;
                    assert!(
                        answered || Instant::now() < deadline,
                        "hosts: {failure}, event: {event}: request {number} was not answered in time: {}",
                        rig.trace
                    );
                    !answered
                });
            }
            rig.run_for_ms(30);
            assert!((1..=number).all(|number| count_answers(&rig, number) == 1), "{}", rig.trace);
        }
    }
}

// Resets and clients that disconnect.

/// A host resets its connections long after it has read a GET and a write. The GET is sent again; the write may have run and is
/// not.
#[test]
fn a_reset_long_after_a_write_was_read_does_not_repeat_it() {
    let mut rig = DispatcherRig::new();
    rig.send_get(1, "confirm", &[]);
    rig.wait_for_lines(1);
    let write_host = rig.last_reader.clone();
    rig.send_get(2, "video", &[]);
    rig.wait_for_lines(1);
    let get_host = rig.last_reader.clone();
    rig.run_for_ms(900);
    // The GET may have been withdrawn from a slow host and be in flight at another by now.
    let before = rig.forwards_read(2);
    for host in HOSTS {
        rig.reset_host(host);
    }
    rig.wait_for_lines(2);
    assert_eq!(rig.forwards_read(1), 1, "{write_host}: {}", rig.trace);
    assert_eq!(rig.trace.matches("client 0 reads 1: Status: 502").count(), 1, "{}", rig.trace);
    assert_eq!(rig.forwards_read(2), before + 1, "{get_host}: {}", rig.trace);
    rig.answer(2, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    assert_eq!(count_answers(&rig, 2), 1, "{}", rig.trace);
    assert!(rig.trace.ends_with("| the bytes\n"), "{}", rig.trace);
}

/// Many clients close or reset their connections in the iteration in which the host connections that carry their GETs are reset too.
#[test]
fn gets_of_many_clients_that_disconnect_at_once_are_not_retried() {
    const BURST: u16 = 12;
    let mut rig = DispatcherRig::new();
    send_answered_gets(&mut rig, 1000, 40);
    let leaving: Vec<usize> = (0..BURST).map(|_| rig.connect_client()).collect();
    for (number, &client) in (1..).zip(&leaving) {
        let key = format!("{number:016x}");
        rig.write(client, &object_request(number, "video", &[("HTTP_RESOURCE_KEY", &key)], b""));
        rig.wait_for_lines(1);
    }
    let before: Vec<usize> = (1..=BURST).map(|number| rig.forwards_read(number)).collect();
    assert!(before.contains(&1), "{}", rig.trace);
    for host in HOSTS {
        rig.reset_host(host);
    }
    for (index, &client) in leaving.iter().enumerate() {
        if index % 2 == 0 { rig.close_client(client) } else { rig.reset_client(client) }
    }
    rig.run_for_ms(200);
    let after: Vec<usize> = (1..=BURST).map(|number| rig.forwards_read(number)).collect();
    assert_eq!(before, after, "{}", rig.trace);
    assert_eq!(rig.dispatcher.client_connections(), 1);
    send_answered_gets(&mut rig, 100, 3);
}

// Versions held by clients.

/// A host that answers 304 with the tag of another version, or without having been sent the client's tag, has not confirmed the
/// client's version.
#[test]
fn a_held_version_that_the_host_did_not_confirm_is_not_reported_as_current() {
    let known = [("HTTP_X_KNOWN", "4be0c1927d55a6f3")];
    for is_tag_forwarded in [false, true] {
        let mut rig = DispatcherRig::new();
        if is_tag_forwarded {
            rig.answer_poll(&json!({"seq": 1, "results": []}).to_string());
            rig.run_for_ms(50);
        }
        rig.send_get(1, "photo", &known);
        rig.wait_for_lines(1);
        assert_eq!(rig.trace.contains("inm="), is_tag_forwarded, "{}", rig.trace);
        let tag = if is_tag_forwarded { "00000000000000ff" } else { "4be0c1927d55a6f3" };
        rig.answer(1, "304", &format!("why=TCP_HIT,rev={tag},since=1764576000123"), "");
        rig.wait_for_lines(1);
        assert!(!rig.trace.contains("X-Valid"), "{}", rig.trace);
        assert_eq!(rig.forwards_read(1), 2, "the GET was not forwarded again: {}", rig.trace);
        rig.answer(1, "200", "why=TCP_HIT", "the bytes");
        rig.wait_for_lines(1);
        assert!(rig.trace.ends_with("| the bytes\n"), "{}", rig.trace);
    }
}
