//! The dispatcher on loopback sockets, as short traces of what the other sides read.

mod common;

use common::{HOSTS, Rig, record, request, settings};
use insta::assert_snapshot;
use myrtlegauge_dispatcher::program::{ConfigFile, moved};
use myrtlegauge_dispatcher::routing::{Dispatcher, ResourceLimits};
use serde_json::json;

#[test]
fn a_get_goes_on_as_it_came_and_its_answer_comes_back_whole() {
    let mut rig = Rig::new();
    rig.changes(&json!({"seq": 1, "results": []}).to_string());
    rig.settle(50);
    rig.get(1, "video", &[]);
    rig.until(1);
    rig.answer(1, "200", "why=TCP_MISS,fill=12,rev=4be0c1927d55a6f3,since=1764576000123", "the bytes");
    rig.until(1);
    rig.say("two at once, answered in the other order, one by the copy that the client holds");
    rig.get(2, "photo", &[("HTTP_X_KNOWN", "\"4be0c1927d55a6f3\"")]);
    rig.get(3, "photo", &[("HTTP_X_CHUNK", "0")]);
    rig.until(2);
    rig.answer(3, "200", "why=TCP_HIT,rep=util:0.61;x0:0.7", "more bytes");
    rig.until(1);
    rig.answer(2, "304", "why=TCP_HIT", "");
    rig.until(1);
    rig.say("240,000 bytes");
    rig.get(4, "video", &[]);
    rig.until(1);
    rig.answer(4, "200", "why=TCP_HIT", &"x".repeat(240_000));
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_copy_is_called_current_only_by_a_host_and_once_the_log_has_answered() {
    let mut rig = Rig::new();
    let known = [("HTTP_X_KNOWN", "4be0c1927d55a6f3")];
    rig.get(1, "photo", &known);
    rig.until(1);
    rig.say("the client's tag stayed here: purges since the start are not known yet");
    rig.answer(1, "200", "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123", "the bytes");
    rig.until(1);
    rig.changes(&json!({"seq": 1, "results": []}).to_string());
    rig.settle(50);
    rig.say("the change log has answered");
    rig.get(2, "photo", &known);
    rig.until(1);
    rig.answer(2, "304", "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123", "");
    rig.until(1);
    rig.say("a host gives the bytes: nothing is called current");
    rig.get(3, "photo", &known);
    rig.until(1);
    rig.answer(3, "200", "why=TCP_HIT,rev=4be0c1927d55a6f3,since=1764576000123", "the bytes");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_write_carries_its_body_and_is_never_sent_twice_unless_proven_not_run() {
    let mut rig = Rig::new();
    let params = [("SCRIPT_NAME", "/rpc/confirm"), ("HTTP_REQUEST_ID", "00000000000000a1")];
    let params =
        [&params[..], &[("HTTP_BUDGET_MS", "3000"), ("HTTP_RESOURCE_KEY", "0000000000000001")]].concat();
    rig.write(0, &request(1, &params, b"signed for"));
    rig.until(1);
    rig.say("the connection ends after it was read: it may have run");
    rig.close("origin-5", false);
    rig.until(1);
    rig.write(0, &request(2, &params, b"signed for"));
    rig.until(1);
    rig.say("turned away: it never ran");
    rig.answer(0xa1, "503", "-", "");
    rig.until(1);
    rig.answer(0xa1, "503", "-", "");
    rig.until(1);
    rig.say("the connection is refused: it never ran");
    rig.close("origin-5", true);
    let params = [&params[..1], &[("HTTP_REQUEST_ID", "00000000000000a3")], &params[2..]].concat();
    rig.write(0, &request(3, &params, b"signed for"));
    rig.until(1);
    assert_snapshot!(rig.trace);
}

/// A tokened request that may have run is known by its token wherever it is sent next.
#[test]
fn a_token_goes_on_as_it_came_with_each_forward() {
    let mut rig = Rig::new();
    let token = [("HTTP_ONCE_KEY", "0f4739ac5126432a3ac4bdb04cc333d5")];
    rig.get(1, "order", &token);
    rig.until(1);
    rig.say("the connection ends after it was read: it may have run, and is sent again");
    let first = rig.last.clone();
    rig.close(&first, true);
    rig.until(1);
    rig.answer(1, "200", "why=TCP_HIT", "done");
    rig.until(1);
    rig.say("a token that would say more than it may");
    rig.get(2, "order", &[("HTTP_ONCE_KEY", "0f,up=origin-5")]);
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_dead_cache_is_met_by_another_forward() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[]);
    rig.until(1);
    let first = rig.last.clone();
    rig.close(&first, true);
    rig.until(1);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_connection_that_does_not_come_up_proves_that_nothing_ran() {
    let mut rig = Rig::new();
    rig.clog("origin-5");
    rig.get(1, "confirm", &[]);
    rig.until(1);
    rig.say("a parent passes it on after the time that a connection may take");
    assert_snapshot!(rig.trace);
}

#[test]
fn what_waits_for_a_connection_is_decided_anew_when_its_host_drains() {
    let mut told = settings();
    told["limits"]["connect_timeout_ms"] = json!(60_000.0);
    let mut rig = Rig::with(told, ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 });
    rig.clog("cache-0");
    rig.get(1, "video", &[]);
    rig.settle(100);
    rig.say("nothing was read yet; cache-0 drains, told by its name and status alone");
    let drains = json!({"seq": 2, "fleet": {"endpoints": [{"name": "cache-0", "status": "leaving"}]}});
    rig.changes(&json!({"seq": 2, "results": [drains]}).to_string());
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn what_a_client_no_longer_waits_for_is_called_off() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[]);
    rig.until(1);
    rig.write(0, &record(2, 1, b""));
    rig.until(2);
    rig.say("a late answer goes nowhere; the number may be used again");
    rig.answer(1, "200", "why=TCP_HIT", "late");
    rig.get(1, "photo", &[("HTTP_REQUEST_ID", "000000000000000b")]);
    rig.until(1);
    rig.answer(0xb, "200", "why=TCP_HIT", "in time");
    rig.until(1);
    rig.say("a client that goes takes its GETs with it");
    rig.get(2, "video", &[]);
    rig.until(1);
    rig.hang_up(0);
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_get_that_expires_is_answered_before_its_client_gives_up() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[("HTTP_BUDGET_MS", "150")]);
    rig.until(3);
    assert_snapshot!(rig.trace);
}

#[test]
fn requests_that_cannot_be_used_are_answered_at_once() {
    let mut rig = Rig::new();
    rig.write(0, &request(1, &[("SCRIPT_NAME", "/health")], b""));
    rig.until(1);
    rig.get(2, "no-such-service", &[]);
    rig.until(1);
    rig.get(3, "video", &[("HTTP_BUDGET_MS", "soon")]);
    rig.until(1);
    rig.get(4, "video", &[("HTTP_RESOURCE_KEY", "not hex")]);
    rig.until(1);
    rig.say("a field that would say more than it may, one without an end, a wait without one");
    rig.get(7, "video", &[("HTTP_X_KNOWN", "ab,up=origin-5")]);
    rig.until(1);
    rig.get(8, "video", &[("HTTP_X_CHUNK", &"0".repeat(5000))]);
    rig.until(1);
    rig.get(9, "video", &[("HTTP_BUDGET_MS", "1e21")]);
    rig.until(1);
    rig.say("parameters over the bound, and its connection is closed behind the answer");
    rig.get(5, "video", &[("HTTP_COOKIE", &"c".repeat(20_000))]);
    rig.until(2);
    let other = rig.client();
    rig.say("another role; values; a type that is not known; a record of a request that is not open");
    rig.write(other, &record(1, 6, &[0, 2, 1, 0, 0, 0, 0, 0]));
    rig.until(1);
    rig.write(other, &record(9, 0, b"\x0f\0FCGI_MPXS_CONNS"));
    rig.until(1);
    rig.write(other, &record(77, 0, b""));
    rig.until(1);
    rig.write(other, &record(5, 99, b"stray"));
    rig.say("a version that is not known closes the connection, and only that");
    rig.client();
    rig.write(other, b"GET / HTTP/1.1\r\n\r\n");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_host_that_writes_what_cannot_be_read_loses_its_connection() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[]);
    rig.until(1);
    rig.say("an id that nobody waits for is passed over, a length over the bound is not");
    rig.answer(9, "200", "why=TCP_HIT", "stray");
    rig.raw(b"*4\r\n$16\r\n0000000000000001\r\n$999999999\r\n");
    rig.until(1);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    rig.say("a word that is not known is an error");
    rig.get(2, "video", &[]);
    rig.until(1);
    rig.answer(2, "999", "-", "");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_spoilt_answer_takes_down_its_connection_alone_and_what_was_there_is_sent_again() {
    let mut rig = Rig::new();
    for number in 1..=6 {
        rig.get(number, "video", &[]);
        rig.until(1);
    }
    let first = rig.last.clone();
    rig.say("four connections have the six; a part of an answer stays one");
    rig.raw(b"*4\r\n$16\r\n0000");
    rig.until(2);
    rig.say("noise, under no id");
    rig.raw(b"*4\r\n$3\r\n1,2\r\n$3\r\n200\r\n$1\r\n-\r\n$0\r\n\r\n");
    rig.until(2);
    rig.say("a copy without its tag; under an id that nobody waits for; owed; a second copy");
    rig.answer(1, "200", "why=TCP_HIT,rev=", "spoilt");
    rig.until(1);
    rig.answer(99, "200", "why=TCP_HIT", "nobody's");
    rig.answer(1, "200", "why=TCP_HIT", "owed");
    rig.answer(1, "200", "why=TCP_HIT", "owed again");
    rig.until(1);
    rig.get(9, "video", &[]);
    rig.until(1);
    assert_eq!(rig.last, first, "nobody was blamed");
    rig.say("a write whose answer can't be read may have run");
    rig.get(10, "confirm", &[]);
    rig.until(1);
    rig.raw(b"?");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_client_that_says_nothing_whole_is_answered_or_closed_in_time() {
    let mut rig = Rig::with(settings(), ResourceLimits { descriptors: 8, memory_bytes: 192 << 20 });
    let params = [("SCRIPT_NAME", "/rpc/video"), ("HTTP_REQUEST_ID", "0000000000000001")];
    rig.say("the id of a GET in hand, for another object");
    rig.get(1, "video", &[]);
    rig.until(1);
    rig.get(
        2,
        "video",
        &[("HTTP_REQUEST_ID", "0000000000000001"), ("HTTP_RESOURCE_KEY", "00000000000000ff")],
    );
    rig.until(1);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    rig.say("a body over the bound is refused before it ends");
    let long = rig.client();
    let begun = request(1, &params, b"");
    rig.write(long, &begun[..begun.len() - 11]);
    for _ in 0..3 {
        rig.write(long, &record(5, 1, &[b'x'; 30_000]));
    }
    rig.until(2);
    rig.say("mute, begun and not whole, a record that does not end");
    for bytes in [&[][..], &begun[..begun.len() - 11], &begun[..50]] {
        let client = rig.client();
        rig.write(client, bytes);
    }
    rig.settle(200);
    rig.say("over the bound of four a mute one makes room");
    rig.client();
    rig.until(1);
    rig.until(4);
    assert_snapshot!(rig.trace);
}

#[test]
fn the_change_log_is_followed_without_a_gap_or_a_repeat() {
    let mut rig = Rig::new();
    rig.get(1, "photo", &[]);
    rig.until(1);
    let first = rig.last.clone();
    rig.answer(1, "200", "why=TCP_HIT", "old");
    rig.until(1);
    rig.say("its group is purged; the next GET takes no older copy");
    let purge = json!({"seq": 2, "invalidate": {"bucket": 17, "time": 9e15}});
    rig.changes(&json!({"seq": 2, "results": [purge]}).to_string());
    rig.polled();
    rig.get(2, "photo", &[]);
    rig.until(1);
    rig.answer(2, "200", "why=TCP_MISS", "new");
    rig.until(1);
    rig.say("an answer that can't be read, then what was told and more: the cache leaves");
    rig.changes("not what was asked for");
    rig.polled();
    let leaves =
        json!({"seq": 3, "fleet": {"snapshot": false, "endpoints": [rig.line(&first, "leaving", 0)]}});
    rig.changes(&json!({"seq": 3, "results": [purge, leaves]}).to_string());
    rig.polled();
    rig.get(3, "photo", &[]);
    rig.until(1);
    rig.say("another now");
    assert_ne!(rig.last, first);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_change_log_that_moves_or_breaks_off_tells_each_event_once() {
    let mut rig = Rig::new();
    rig.get(1, "photo", &[]);
    rig.until(1);
    let first = rig.last.clone();
    rig.poll();
    rig.say("it moves while a GET is in hand; the numbers go on");
    rig.move_changelog();
    rig.poll();
    rig.answer(1, "200", "why=TCP_HIT", "in hand");
    rig.until(1);
    rig.say("it stops and stays open: asked on a new connection");
    rig.stop_changelog();
    rig.poll();
    rig.say("events are missing before the one that came: asked for again; then the answer breaks off");
    let purge = |seq: u64| json!({"seq": seq, "invalidate": {"bucket": 99, "time": 0}});
    rig.changes(&json!({"seq": 7, "results": [purge(3)]}).to_string());
    rig.poll();
    rig.break_off("{\"seq\": 3, \"results\": [{\"seq\": 2, \"fl");
    rig.poll();
    let leaves = json!({"seq": 2, "fleet": {"endpoints": [rig.line(&first, "leaving", 0)]}});
    rig.changes(&json!({"seq": 7, "results": [leaves, purge(3)]}).to_string());
    rig.poll();
    rig.get(2, "photo", &[]);
    rig.until(1);
    assert_ne!(rig.last, first);
    assert_snapshot!(rig.trace);
}

#[test]
fn of_a_later_configuration_only_the_change_log_counts() {
    let told = json!({"name": "n1", "listen": "127.0.0.1:1", "seed": "8c", "changelog": "127.0.0.1:2",
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": {}, "settings": settings()});
    let read = |name: &str, value: serde_json::Value| {
        let mut later = told.clone();
        later[name] = value;
        format!("{name}: {:?}", moved(&told.to_string(), &later.to_string()))
    };
    let half = &told.to_string()[..200];
    let lines = [
        read("changelog", json!("127.0.0.1:3")),
        read("changelog", json!("elsewhere")),
        read("seed", json!("8d")),
        read("limits", json!({"memory_mb": 64, "sockets": 1024})),
        read("settings", json!({})),
        format!("half: {:?}", moved(&told.to_string(), half).map_err(|e| e.starts_with("ROUTER_CONFIG: "))),
    ];
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_connection_belongs_to_one_life_of_its_host() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[]);
    rig.until(1);
    let first = rig.last.clone();
    rig.say("it started anew without a word; what was out there ends, and goes on elsewhere or on a new connection");
    let anew = json!({"seq": 2, "fleet": {"endpoints": [rig.line(&first, "active", 9_000_000_000_000)]}});
    rig.changes(&json!({"seq": 2, "results": [anew]}).to_string());
    rig.until(1);
    rig.answer(1, "200", "why=TCP_MISS", "the bytes");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_client_that_does_not_read_does_not_grow_memory() {
    let mut rig = Rig::with(settings(), ResourceLimits { descriptors: 1024, memory_bytes: 4 << 20 });
    rig.deaf = true;
    let mut read_by = Vec::new();
    for number in 1..=31 {
        rig.get(number, "video", &[]);
        rig.until(1);
        read_by.push((number, rig.last.clone()));
    }
    for (number, host) in read_by {
        rig.last = host;
        rig.answer(number, "200", "why=TCP_HIT", &"x".repeat(240_000));
    }
    rig.settle(200);
    let most = rig.dispatcher.buffered_bytes();
    assert!(most < 2 << 20, "{most} bytes in buffers");
    rig.deaf = false;
    rig.until(31);
    assert_eq!(rig.trace.matches("240086 bytes").count(), 31, "{}", rig.trace);
    assert_eq!(rig.dispatcher.buffered_bytes(), 0, "all has gone out");
}

#[test]
fn a_new_client_takes_the_place_of_the_one_idle_for_longest() {
    let mut rig = Rig::with(settings(), ResourceLimits { descriptors: 4, memory_bytes: 192 << 20 });
    rig.get(1, "video", &[]);
    rig.until(1);
    let params = [("SCRIPT_NAME", "/health")];
    for _ in 0..2 {
        let new = rig.client();
        rig.write(new, &request(1, &params, b""));
        rig.until(1);
    }
    rig.say("the first had a GET open");
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.until(1);
    assert_snapshot!(rig.trace);
}

#[test]
fn a_restart_is_waited_for_until_nothing_is_in_hand() {
    let mut rig = Rig::new();
    rig.get(1, "video", &[]);
    rig.until(1);
    rig.dispatcher.stop();
    rig.say("asked to end: what comes still is taken, on open connections and on new ones");
    let late = rig.client();
    rig.get(2, "photo", &[]);
    rig.until(1);
    rig.answer(2, "200", "why=TCP_HIT", "still here");
    rig.until(1);
    rig.write(late, &request(1, &[("SCRIPT_NAME", "/health")], b""));
    rig.until(1);
    rig.settle(1100);
    assert!(!rig.dispatcher.is_done(), "a GET is in hand");
    rig.answer(1, "200", "why=TCP_HIT", "the last");
    rig.until(2);
    assert!(rig.dispatcher.is_done(), "all is answered, and all clients have closed");
    assert_snapshot!(rig.trace);
}

#[test]
fn a_host_gone_for_longer_than_any_get_gives_its_index_to_the_next() {
    let mut told = settings();
    for class in told["classes"].as_array_mut().unwrap() {
        class["deadline_ms"] = json!(300.0);
    }
    let mut rig = Rig::with(told, ResourceLimits { descriptors: 1024, memory_bytes: 192 << 20 });
    rig.get(1, "video", &[]);
    rig.until(1);
    let first = rig.last.clone();
    rig.say("it goes; a new one, at its address, is told once nothing can name the old one any more");
    let gone = json!({"seq": 2, "fleet": {"endpoints": [rig.line(&first, "left", 0)]}});
    let mut new = rig.line(&first, "active", 0);
    new["name"] = json!("cache-9");
    rig.changes(&json!({"seq": 2, "results": [gone]}).to_string());
    rig.until(1);
    rig.settle(1500);
    let told = json!({"seq": 3, "fleet": {"endpoints": [new]}});
    rig.changes(&json!({"seq": 3, "results": [told]}).to_string());
    rig.polled();
    rig.say("its own part of the objects comes to it; the late answer of the old one went nowhere");
    for number in 2..9 {
        rig.get(number, "video", &[("HTTP_RESOURCE_KEY", &format!("{number:016x}"))]);
        rig.until(1);
        rig.answer(number, "200", "why=TCP_HIT", "the bytes");
        rig.until(1);
    }
    assert_eq!(rig.dispatcher.host_slots(), HOSTS.len());
    assert_snapshot!(rig.trace);
}

#[test]
fn a_wrong_start_is_told_in_one_line() {
    let good = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "changelog": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"seq": 0, "results": []},
        "settings": settings()});
    let start = |told: &serde_json::Value| {
        let turns = calloop::EventLoop::try_new().map_err(|e| e.to_string())?;
        let text = told.to_string();
        let told = ConfigFile::parse(&text)?;
        Dispatcher::start(turns.handle(), told.startup()?).map(|_| ())
    };
    start(&good).unwrap();
    let mut faults = Vec::new();
    for (name, value) in [
        ("listen", json!("here")),
        ("listen", json!("192.0.2.1:1")),
        ("seed", json!("odd")),
        ("known", json!([])),
        ("limits", json!({})),
        ("settings", json!({})),
    ] {
        let mut told = good.clone();
        told[name] = value;
        faults.push(start(&told).unwrap_err());
    }
    assert_snapshot!(faults.join("\n"));
}
