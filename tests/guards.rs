//! The guards of sending, repeating, closing and starting: with them nothing is counted against the rules, and without one its
//! check fires.

mod common;

use common::{ROOM, Rig, asked, settings};
use myrtlegauge_dispatcher::routing::Rule;
use serde_json::json;

/// Requests to a cache that has just started anew, of a service of which nothing is learnt yet.
const RUSH: u16 = 25;

fn assert_only(rig: &Rig, broken: Option<Rule>) {
    for rule in Rule::ALL {
        let count = rig.dispatcher.violations(rule);
        assert_eq!(count > 0, broken == Some(rule), "{}: {count}\n{}", rule.name(), rig.trace);
    }
}

/// Plays the same with all guards, and without the one of this rule.
fn each_way(rule: Rule, play: impl Fn(&mut Rig)) {
    let mut told = settings();
    // A connection may come up as late as the system's second try.
    told["limits"]["connect_timeout_ms"] = json!(3000.0);
    let mut guarded = Rig::with(told.clone(), ROOM);
    play(&mut guarded);
    assert_only(&guarded, None);
    let mut unguarded = Rig::without(rule, told);
    play(&mut unguarded);
    assert_only(&unguarded, Some(rule));
}

#[test]
fn nothing_leaves_for_a_host_that_drained_while_its_connection_came_up() {
    each_way(Rule::Sending, |rig| {
        rig.get(1, "video", &[]);
        rig.until(1);
        let host = rig.last.clone();
        rig.answer(1, "200", "why=TCP_HIT", "the bytes");
        rig.until(1);
        rig.clog(&host);
        rig.get(2, "video", &[]);
        rig.settle(100);
        let drains = json!({"seq": 2, "fleet": {"endpoints": [{"name": host, "status": "leaving"}]}});
        rig.changes(&json!({"seq": 2, "results": [drains]}).to_string());
        rig.settle(100);
        rig.unclog(&host);
        rig.settle(1300);
    });
}

#[test]
fn an_effect_that_may_have_run_is_not_sent_again() {
    each_way(Rule::Repeating, |rig| {
        rig.get(1, "confirm", &[]);
        rig.until(1);
        rig.answer(1, "500", "-", "");
        rig.settle(50);
    });
}

#[test]
fn a_connection_is_not_closed_over_an_answer_that_is_owed() {
    each_way(Rule::Closing, |rig| {
        rig.get(1, "video", &[]);
        rig.until(1);
        // A second request that stays half a record.
        let half = asked(2, "video", &[], b"");
        rig.write(0, &half[..half.len() / 2]);
        rig.settle(1900);
        rig.answer(1, "200", "why=TCP_HIT", "the bytes");
        rig.settle(50);
    });
}

#[test]
fn a_host_in_slow_start_gets_no_more_than_this_routers_share() {
    each_way(Rule::Starting, |rig| {
        rig.get(1, "video", &[]);
        rig.until(1);
        let host = rig.last.clone();
        let started =
            json!({"seq": 2, "fleet": {"endpoints": [rig.line(&host, "active", 9_000_000_000_000)]}});
        rig.changes(&json!({"seq": 2, "results": [started]}).to_string());
        rig.settle(20);
        for number in 2..RUSH {
            rig.get(number, "video", &[]);
        }
        rig.settle(50);
    });
}
