//! A new configuration (SIGHUP), list watches that fall silent, whole lists, and the end of a dispatcher: what is told right
//! after one of them holds, and nobody who asks meanwhile is left without an answer.

mod common;

use common::{HOSTS, Rig, asked, ms, request, settings};
use myrtlegauge_dispatcher::routing::ResourceLimits;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// What a test does to its rig.
type Act<'a> = &'a dyn Fn(&mut Rig);

const ROOMY: ResourceLimits = ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 };
/// A poll waits for 0.5 s, a silent one is left 0.25 s later, and the next begins 0.05 s after that; the rest is a busy machine's.
const SILENCE_FOUND_WITHIN: Duration = Duration::from_millis(1000);

/// The settings, where each client waits so long at most.
fn with_deadline(deadline_ms: f64) -> Value {
    let mut told = settings();
    for class in told["classes"].as_array_mut().unwrap() {
        class["deadline_ms"] = json!(deadline_ms);
    }
    told
}

/// An answer of the change log: one event.
fn event(seq: u64, fleet: &Value) -> String {
    json!({"seq": seq, "results": [{"seq": seq, "fleet": fleet}]}).to_string()
}

/// An answer of the change log: these hosts drain.
fn drains(seq: u64, hosts: &[&str]) -> String {
    let lines: Vec<Value> = hosts.iter().map(|host| json!({"name": host, "status": "leaving"})).collect();
    event(seq, &json!({"snapshot": false, "endpoints": lines}))
}

/// An answer of the change log: the whole list, made of these hosts.
fn whole_list(rig: &mut Rig, seq: u64, hosts: &[&str]) -> String {
    let lines: Vec<Value> = hosts.iter().map(|host| rig.line(host, "active", 0)).collect();
    event(seq, &json!({"snapshot": true, "endpoints": lines}))
}

/// GETs of objects of their own, numbered from `first`, each answered by whoever reads it.
fn get_many(rig: &mut Rig, first: u16, count: u16) {
    for number in first..first + count {
        rig.get(number, "video", &[("HTTP_RESOURCE_KEY", &format!("{number:016x}"))]);
        rig.until(1);
        rig.answer(number, "200", "why=TCP_HIT", "the bytes");
        rig.until(1);
    }
}

/// How many answers the clients have read to a request of this number.
fn answers_to(rig: &Rig, number: u16) -> usize {
    let mark = format!(" reads {number}: ");
    rig.trace.lines().filter(|line| line.starts_with("client ") && line.contains(&mark)).count()
}

/// Turns until the dispatcher is done, for so long at most; how long it took.
fn ended(rig: &mut Rig, within: u64) -> Duration {
    let start = Instant::now();
    while !rig.dispatcher.is_done() {
        rig.turn();
        assert!(start.elapsed() < ms(within), "not done after {within} ms:\n{}", rig.trace);
    }
    start.elapsed()
}

// Reloads.

/// The drains wait in the old change log's connection, unread, as the reload comes; the new change log tells them at once.
#[test]
fn drains_told_right_after_a_reload_hold() {
    let mut rig = Rig::new();
    get_many(&mut rig, 1000, 40);
    rig.changes(&drains(2, &["cache-0", "cache-1"]));
    rig.move_changelog();
    let moved = Instant::now();
    rig.poll();
    assert!(moved.elapsed() < ms(200), "the new change log is asked at once: {:?}", moved.elapsed());
    assert!(rig.trace.ends_with("GET /changes?since=1&timeout=500 HTTP/1.1\n"), "{}", rig.trace);
    rig.changes(&drains(2, &["cache-0", "cache-1"]));
    rig.polled();
    let told = rig.trace.len();
    get_many(&mut rig, 1, 40);
    for host in ["cache-0", "cache-1"] {
        assert!(!rig.has_read_since(host, told), "{host} drains: {}", &rig.trace[told..]);
    }
}

/// What is out at a host that drains behind a reload is answered by it; its failure is not tried there again.
#[test]
fn what_is_out_at_a_host_that_drains_behind_a_reload_ends_there_or_goes_elsewhere() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[]);
    rig.get(2, "video", &[]);
    rig.until(2);
    let host = rig.last.clone();
    rig.move_changelog();
    rig.changes(&drains(2, &[&host]));
    rig.polled();
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    rig.answer(2, "500", "why=PEER_DEAD", "");
    rig.until(1);
    assert_eq!((rig.reads_of(&host, 2), rig.all_reads_of(2)), (1, 2), "{}", rig.trace);
    assert_eq!(answers_to(&rig, 1), 1, "{}", rig.trace);
}

#[test]
fn a_change_log_that_a_reload_names_before_it_is_up_is_followed_as_it_comes_up() {
    for silent in [false, true] {
        let mut rig = Rig::new();
        rig.polled();
        rig.move_changelog();
        if silent {
            rig.clog_changelog();
        } else {
            rig.refuse_at_changelog(true);
        }
        rig.settle(600);
        rig.get(1, "video", &[]);
        rig.until(1);
        if silent {
            rig.unclog("change log");
        } else {
            rig.refuse_at_changelog(false);
        }
        let up = Instant::now();
        rig.changes(&drains(2, &["cache-0", "cache-1"]));
        assert!(up.elapsed() < ms(500), "{:?}", up.elapsed());
        rig.polled();
        let told = rig.trace.len();
        get_many(&mut rig, 10, 20);
        assert!(
            !rig.has_read_since("cache-0", told) && !rig.has_read_since("cache-1", told),
            "{}",
            rig.trace
        );
    }
}

#[test]
fn of_reloads_behind_each_other_the_last_one_counts() {
    let mut rig = Rig::new();
    rig.polled();
    for _ in 0..3 {
        rig.move_changelog();
    }
    rig.changes(&drains(2, &["cache-2"]));
    rig.polled();
    // One that can't be read changes nothing.
    rig.dispatcher.set_change_log_address(None);
    let told = rig.trace.len();
    get_many(&mut rig, 1, 20);
    assert!(!rig.has_read_since("cache-2", told), "{}", rig.trace);
    rig.poll();
    assert!(rig.trace.ends_with("GET /changes?since=2&timeout=500 HTTP/1.1\n"), "{}", rig.trace);
}

// Watches that fall silent.

/// Polls are answered for 13 s, then the watch falls silent, also as the end is asked for: found in time by a new connection,
/// and what that tells holds for GETs that are taken and tried again from then on.
fn a_watch_falls_silent_late(ends: bool) {
    let mut rig = Rig::new();
    let start = Instant::now();
    while start.elapsed() < ms(13_000) {
        rig.changes(&json!({"seq": 1, "results": []}).to_string());
        rig.settle(450);
    }
    // One that asked nothing was closed long ago.
    let client = rig.client();
    rig.write(client, &asked(1, "video", &[], b""));
    rig.until(1);
    let first = rig.last.clone();
    let others: Vec<&str> = HOSTS[..3].iter().copied().filter(|&host| host != first).collect();
    rig.polled();
    let silent = Instant::now();
    if ends {
        rig.dispatcher.stop();
    }
    rig.stop_changelog();
    rig.changes(&drains(2, &others[..1]));
    rig.polled();
    assert!(silent.elapsed() < SILENCE_FOUND_WITHIN, "{:?}", silent.elapsed());
    let told = rig.trace.len();
    rig.close(&first, true);
    rig.until(1);
    assert!(!rig.has_read_since(others[0], told), "{}", rig.trace);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    assert!(rig.trace.contains("| the bytes"), "{}", rig.trace);
    if ends {
        ended(&mut rig, 3700);
    }
}

#[test]
fn a_watch_that_falls_silent_late_is_left_in_time() {
    a_watch_falls_silent_late(false);
}

#[test]
fn a_watch_that_falls_silent_late_and_with_the_end_is_left_in_time() {
    a_watch_falls_silent_late(true);
}

// Whole lists.

#[test]
fn a_whole_list_that_leaves_a_host_out_lets_it_end_what_it_has_and_sends_it_nothing_more() {
    let mut rig = Rig::new();
    get_many(&mut rig, 1000, 20);
    rig.get(1, "video", &[]);
    rig.until(1);
    let host = rig.last.clone();
    let kept: Vec<&str> = HOSTS.iter().copied().filter(|&name| name != host && name != "parent-3").collect();
    let list = whole_list(&mut rig, 2, &kept);
    rig.changes(&list);
    rig.polled();
    let told = rig.trace.len();
    rig.last.clone_from(&host);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    assert!(rig.trace.ends_with("| the bytes\n"), "{}", rig.trace);
    get_many(&mut rig, 2, 40);
    let since = &rig.trace[told..];
    assert!(!rig.has_read_since(&host, told) && !since.contains("up=parent-3"), "{since}");
    rig.settle(400);
    let (had, ends) = (rig.streams_of(&host), rig.ends_of(&host));
    assert_eq!(ends, (had, 0), "its connections are closed, and not reset");
    // Told again, it takes a share again.
    let list = whole_list(&mut rig, 3, &HOSTS);
    rig.changes(&list);
    rig.polled();
    let told = rig.trace.len();
    get_many(&mut rig, 200, 60);
    assert!(rig.has_read_since(&host, told), "{}", &rig.trace[told..]);
}

#[test]
fn what_a_host_that_a_whole_list_leaves_out_has_not_begun_to_read_goes_elsewhere() {
    let mut rig = Rig::new();
    rig.narrow();
    rig.get(1, "video", &[]);
    rig.until(1);
    let host = rig.last.clone();
    rig.hang(&host, true);
    for number in 2..=30 {
        rig.write(0, &asked(number, "video", &[], &[b'x'; 40_000]));
        rig.settle(5);
    }
    let kept: Vec<&str> = HOSTS.iter().copied().filter(|&name| name != host).collect();
    let list = whole_list(&mut rig, 2, &kept);
    rig.changes(&list);
    rig.settle(150);
    let elsewhere = |rig: &Rig, id| rig.all_reads_of(id) - rig.reads_of(&host, id);
    assert!((2..=30).any(|id| elsewhere(&rig, id) > 0), "{}", rig.trace);
    rig.hang(&host, false);
    rig.settle(300);
    for id in 1..=30 {
        assert_eq!(rig.all_reads_of(id), 1, "{id}: {}", rig.trace);
    }
}

/// A whole list, changes to it and a purge in one answer of the change log count in their order.
#[test]
fn changes_behind_a_whole_list_in_the_same_answer_count() {
    let mut rig = Rig::new();
    let whole: Vec<Value> = HOSTS[1..].iter().map(|host| rig.line(host, "active", 0)).collect();
    let told = json!({"seq": 4, "results": [
        {"seq": 2, "fleet": {"snapshot": true, "endpoints": whole}},
        {"seq": 3, "fleet": {"snapshot": false, "endpoints": [{"name": "cache-1", "status": "leaving"}]}},
        {"seq": 4, "invalidate": {"bucket": 17, "time": 9e15}}]});
    rig.changes(&told.to_string());
    rig.poll();
    assert!(rig.trace.ends_with("GET /changes?since=4&timeout=500 HTTP/1.1\n"), "{}", rig.trace);
    rig.get(1, "photo", &[]);
    rig.until(1);
    assert!(rig.trace.contains("cap=small"), "the purge holds: {}", rig.trace);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    let told = rig.trace.len();
    get_many(&mut rig, 10, 30);
    assert!(!rig.has_read_since("cache-0", told) && !rig.has_read_since("cache-1", told), "{}", rig.trace);
}

/// While no list names a cache, each GET is answered; the next list brings them back.
#[test]
fn a_whole_list_without_any_cache_leaves_nobody_unanswered() {
    let mut rig = Rig::with(with_deadline(500.0), ROOMY);
    let list = whole_list(&mut rig, 2, &["parent-3", "origin-5"]);
    rig.changes(&list);
    rig.polled();
    for (number, ds) in [(1, "video"), (2, "photo"), (3, "confirm"), (4, "order")] {
        rig.get(number, ds, &[("HTTP_BUDGET_MS", "500")]);
    }
    rig.settle(550);
    for number in 1..=4 {
        assert_eq!(answers_to(&rig, number), 1, "{number}: {}", rig.trace);
        assert!((0..3).all(|cache| rig.reads_of(HOSTS[cache], number) == 0), "{}", rig.trace);
    }
    let list = whole_list(&mut rig, 3, &HOSTS);
    rig.changes(&list);
    rig.polled();
    get_many(&mut rig, 10, 5);
}

// Requests that come in pieces.

/// Requests cut at many places, of which the rest comes after a reload, or within the time that a restart allows.
#[test]
fn a_request_in_pieces_around_a_reload_or_the_end_is_answered() {
    for ends in [false, true] {
        let mut rig = Rig::new();
        let long = asked(1, "confirm", &[], b"signed for").len();
        let cuts: Vec<usize> = (1..long).step_by(long / 14).chain([long - 1]).collect();
        let requests: Vec<(usize, Vec<u8>, usize)> = cuts
            .iter()
            .enumerate()
            .map(|(at, &cut)| (rig.client(), asked(at as u16 + 1, "confirm", &[], b"signed for"), cut))
            .collect();
        for (client, whole, cut) in &requests {
            rig.write(*client, &whole[..*cut]);
        }
        rig.settle(100);
        rig.move_changelog();
        if ends {
            rig.dispatcher.stop();
        }
        rig.settle(400);
        for (client, whole, cut) in &requests {
            rig.write(*client, &whole[*cut..]);
        }
        rig.until(requests.len());
        for number in 1..=requests.len() as u16 {
            assert_eq!(rig.all_reads_of(number), 1, "cut at {}: {}", cuts[number as usize - 1], rig.trace);
            rig.answer(number, "200", "-", "done");
        }
        rig.until(requests.len());
        assert_eq!(rig.trace.matches("| done").count(), requests.len(), "{}", rig.trace);
        if ends {
            ended(&mut rig, 2000);
        }
    }
}

/// A client that writes slowly, a few bytes at a time, while the change log moves twice and the end is asked for.
#[test]
fn a_request_that_trickles_in_while_all_moves_is_answered() {
    let mut rig = Rig::new();
    let whole = asked(1, "video", &[], b"");
    for (at, piece) in whole.chunks(whole.len() / 12).enumerate() {
        rig.write(0, piece);
        match at {
            3 | 6 => rig.move_changelog(),
            8 => rig.dispatcher.stop(),
            _ => {}
        }
        rig.settle(90);
    }
    rig.settle(20);
    assert_eq!(rig.all_reads_of(1), 1, "{}", rig.trace);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    assert!(rig.trace.contains("| the bytes"), "{}", rig.trace);
    ended(&mut rig, 2000);
}

// The end of a dispatcher that had nothing to do.

#[test]
fn a_dispatcher_that_nobody_asked_anything_ends_in_time() {
    let lone = |rig: &mut Rig| rig.hang_up(0);
    let silent = |_: &mut Rig| {};
    let resting = |rig: &mut Rig| {
        rig.write(0, &request(1, &[("SCRIPT_NAME", "/health")], b""));
        rig.until(1);
        rig.rest(0);
    };
    let clients: [(&str, Act<'_>); 3] = [("none", &lone), ("silent", &silent), ("resting", &resting)];
    // The least time to the kill is the longest deadline and 0.7 s.
    for deadline in [100, 3000] {
        for (who, prepare) in clients {
            for is_up in [true, false] {
                let mut rig = Rig::with(with_deadline(deadline as f64), ROOMY);
                prepare(&mut rig);
                if !is_up {
                    rig.refuse_at_changelog(true);
                }
                rig.settle(300);
                rig.dispatcher.stop();
                let took = ended(&mut rig, deadline + 700);
                assert!(took < ms(1400), "{who}, {deadline} ms: {took:?}");
                assert_eq!(rig.dispatcher.gets_taken(), 0);
            }
        }
    }
}

// Requests whose time is up.

/// Caches that read nothing, that read and say nothing, whose connections never come up, that all leave: whatever happens to a
/// dispatcher meanwhile, each request is answered once, and before its client gives up.
#[test]
fn nobody_is_left_without_an_answer_when_the_time_is_up() {
    let hang = |rig: &mut Rig| HOSTS.iter().for_each(|host| rig.hang(host, true));
    let silent = |_: &mut Rig| {};
    let clogged = |rig: &mut Rig| HOSTS.iter().for_each(|host| rig.clog(host));
    let dead = |rig: &mut Rig| HOSTS.iter().for_each(|host| rig.close(host, true));
    let troubles: [(&str, Act<'_>); 4] =
        [("hang", &hang), ("silent", &silent), ("clogged", &clogged), ("dead", &dead)];
    let reload = |rig: &mut Rig| rig.move_changelog();
    let end = |rig: &mut Rig| rig.dispatcher.stop();
    let leave = |rig: &mut Rig| {
        let list = whole_list(rig, 2, &["origin-5"]);
        rig.changes(&list);
    };
    let events: [(&str, Act<'_>); 4] =
        [("none", &|_| {}), ("reload", &reload), ("end", &end), ("all leave", &leave)];
    for (trouble, begin) in troubles {
        for (what, happen) in events {
            let mut rig = Rig::with(with_deadline(1000.0), ROOMY);
            get_many(&mut rig, 1000, 10);
            begin(&mut rig);
            let (mut number, mut wanted) = (0, Vec::new());
            for budget in [60, 250, 1000] {
                for ds in ["video", "photo", "confirm", "order"] {
                    number += 1;
                    rig.get(number, ds, &[("HTTP_BUDGET_MS", &budget.to_string())]);
                    wanted.push((number, Instant::now() + ms(budget)));
                }
            }
            rig.settle(30);
            happen(&mut rig);
            while !wanted.is_empty() {
                rig.turn();
                wanted.retain(|&(number, by)| {
                    let answered = answers_to(&rig, number) > 0;
                    assert!(
                        answered || Instant::now() < by,
                        "{trouble}, {what}: {number} was left: {}",
                        rig.trace
                    );
                    !answered
                });
            }
            rig.settle(30);
            assert!((1..=number).all(|number| answers_to(&rig, number) == 1), "{}", rig.trace);
        }
    }
}

// Resets and clients that leave.

/// A host resets its connections long after it has read a GET and a write: the GET goes on, the write may have run.
#[test]
fn a_reset_long_after_a_request_has_begun_repeats_no_write() {
    let mut rig = Rig::new();
    rig.get(1, "confirm", &[]);
    rig.until(1);
    let write_at = rig.last.clone();
    rig.get(2, "video", &[]);
    rig.until(1);
    let get_at = rig.last.clone();
    rig.settle(900);
    // It may have been withdrawn from a host that is slow, and be out at another now.
    let before = rig.all_reads_of(2);
    for host in HOSTS {
        rig.reset_all(host);
    }
    rig.until(2);
    assert_eq!(rig.all_reads_of(1), 1, "{write_at}: {}", rig.trace);
    assert_eq!(rig.trace.matches("client 0 reads 1: Status: 502").count(), 1, "{}", rig.trace);
    assert_eq!(rig.all_reads_of(2), before + 1, "{get_at}: {}", rig.trace);
    rig.answer(2, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    assert_eq!(answers_to(&rig, 2), 1, "{}", rig.trace);
    assert!(rig.trace.ends_with("| the bytes\n"), "{}", rig.trace);
}

/// Many clients close or reset in one turn, as the connections that their GETs are out on are reset too.
#[test]
fn a_burst_of_clients_that_leave_has_nothing_tried_again() {
    const BURST: u16 = 12;
    let mut rig = Rig::new();
    get_many(&mut rig, 1000, 40);
    let leaving: Vec<usize> = (0..BURST).map(|_| rig.client()).collect();
    for (number, &client) in (1..).zip(&leaving) {
        let key = format!("{number:016x}");
        rig.write(client, &asked(number, "video", &[("HTTP_RESOURCE_KEY", &key)], b""));
        rig.until(1);
    }
    let before: Vec<usize> = (1..=BURST).map(|number| rig.all_reads_of(number)).collect();
    assert!(before.contains(&1), "{}", rig.trace);
    for host in HOSTS {
        rig.reset_all(host);
    }
    for (at, &client) in leaving.iter().enumerate() {
        if at % 2 == 0 { rig.hang_up(client) } else { rig.reset(client) }
    }
    rig.settle(200);
    let after: Vec<usize> = (1..=BURST).map(|number| rig.all_reads_of(number)).collect();
    assert_eq!(before, after, "{}", rig.trace);
    assert_eq!(rig.dispatcher.client_connections(), 1);
    get_many(&mut rig, 100, 3);
}

// Copies that clients hold.

/// A host that calls another copy current than the client's, or was told of none, has not named the client's copy.
#[test]
fn a_copy_that_its_host_did_not_name_is_not_called_current() {
    let known = [("HTTP_X_KNOWN", "4be0c1927d55a6f3")];
    for is_told in [false, true] {
        let mut rig = Rig::new();
        if is_told {
            rig.changes(&json!({"seq": 1, "results": []}).to_string());
            rig.settle(50);
        }
        rig.get(1, "photo", &known);
        rig.until(1);
        assert_eq!(rig.trace.contains("inm="), is_told, "{}", rig.trace);
        let tag = if is_told { "00000000000000ff" } else { "4be0c1927d55a6f3" };
        rig.answer(1, "304", &format!("why=TCP_HIT,rev={tag},since=1764576000123"), "");
        rig.until(1);
        assert!(!rig.trace.contains("X-Valid"), "{}", rig.trace);
        assert_eq!(rig.all_reads_of(1), 2, "it is asked for again: {}", rig.trace);
        rig.answer(1, "200", "why=TCP_HIT", "the bytes");
        rig.until(1);
        assert!(rig.trace.ends_with("| the bytes\n"), "{}", rig.trace);
    }
}
