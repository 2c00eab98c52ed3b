//! The guards of sending, repeating, closing and starting: with them nothing is counted against the rules, and without one its
//! check fires.

mod common;

use common::{DEFAULT_LIMITS, DispatcherRig, object_request, settings};
use myrtlegauge_dispatcher::routing::Rule;
use serde_json::json;

/// Requests to a cache that has just started anew, of a service of which nothing is learnt yet.
const RUSH: u16 = 25;

fn assert_only(rig: &DispatcherRig, broken: Option<Rule>) {
    for rule in Rule::ALL {
        let count = rig.dispatcher.violations(rule);
        assert_eq!(count > 0, broken == Some(rule), "{}: {count}\n{}", rule.name(), rig.trace);
    }
}

/// Plays the same with all guards, and without the one of this rule.
fn each_way(rule: Rule, play: impl Fn(&mut DispatcherRig)) {
    let mut told = settings();
    // A connection may come up as late as the system's second try.
    told["limits"]["connect_timeout_ms"] = json!(3000.0);
    let mut guarded = DispatcherRig::with_settings(told.clone(), DEFAULT_LIMITS);
    play(&mut guarded);
    assert_only(&guarded, None);
    let mut unguarded = DispatcherRig::without_guard(rule, told);
    play(&mut unguarded);
    assert_only(&unguarded, Some(rule));
}

#[test]
fn nothing_leaves_for_a_host_that_drained_while_its_connection_came_up() {
    each_way(Rule::Sending, |rig| {
        rig.send_get(1, "video", &[]);
        rig.wait_for_lines(1);
        let host = rig.last_reader.clone();
        rig.answer(1, "200", "why=TCP_HIT", "the bytes");
        rig.wait_for_lines(1);
        rig.fill_accept_queue(&host);
        rig.send_get(2, "video", &[]);
        rig.run_for_ms(100);
        let drains = json!({"seq": 2, "fleet": {"endpoints": [{"name": host, "status": "leaving"}]}});
        rig.answer_poll(&json!({"seq": 2, "results": [drains]}).to_string());
        rig.run_for_ms(100);
        rig.empty_accept_queue(&host);
        rig.run_for_ms(1300);
    });
}

#[test]
fn an_effect_that_may_have_run_is_not_sent_again() {
    each_way(Rule::Repeating, |rig| {
        rig.send_get(1, "confirm", &[]);
        rig.wait_for_lines(1);
        rig.answer(1, "500", "-", "");
        rig.run_for_ms(50);
    });
}

#[test]
fn a_connection_is_not_closed_over_an_answer_that_is_owed() {
    each_way(Rule::Closing, |rig| {
        rig.send_get(1, "video", &[]);
        rig.wait_for_lines(1);
        // A second request that stays half a record.
        let half = object_request(2, "video", &[], b"");
        rig.write(0, &half[..half.len() / 2]);
        rig.run_for_ms(1900);
        rig.answer(1, "200", "why=TCP_HIT", "the bytes");
        rig.run_for_ms(50);
    });
}

#[test]
fn a_host_in_slow_start_gets_no_more_than_this_routers_share() {
    each_way(Rule::Starting, |rig| {
        rig.send_get(1, "video", &[]);
        rig.wait_for_lines(1);
        let host = rig.last_reader.clone();
        let started =
            json!({"seq": 2, "fleet": {"endpoints": [rig.host_line(&host, "active", 9_000_000_000_000)]}});
        rig.answer_poll(&json!({"seq": 2, "results": [started]}).to_string());
        rig.run_for_ms(20);
        for number in 2..RUSH {
            rig.send_get(number, "video", &[]);
        }
        rig.run_for_ms(50);
    });
}
