//! The proof of leaving a zone as a fleet in its small form, and that it can fail. Each case starts eight dispatchers and
//! one or two control services and injects what it is named for between them.

mod common;

use common::{holds, run};

#[test]
fn a_dead_zone_is_left_at_once_and_comes_back_in_steps() {
    holds("leave", &["dead", "flap"]);
}

#[test]
fn a_silent_zone_is_left_and_purges_meanwhile_hold() {
    holds("leave", &["silent", "all", "purges"]);
}

#[test]
fn a_slow_or_lossy_zone_is_left_once_most_find_it_ill() {
    holds("leave", &["slow", "lossy"]);
}

#[test]
fn a_zone_that_a_third_or_half_can_not_reach_is_not_left_for_all() {
    holds("leave", &["third", "half", "liars"]);
}

#[test]
fn none_of_the_control_services_is_needed() {
    holds("leave", &["service-in-it", "services-gone"]);
}

#[test]
fn a_return_outlives_its_service_and_most_dispatchers() {
    holds("leave", &["service-anew", "killed"]);
}

#[test]
fn two_zones_fail_at_once_or_one_while_another_returns() {
    holds("leave", &["two", "while-returning"]);
}

#[test]
fn those_cut_off_from_the_services_or_frozen_act_on_nothing_old() {
    holds("leave", &["cut-off", "frozen"]);
}

#[test]
fn what_remains_gets_no_more_than_it_bears() {
    holds("leave", &["short"]);
}

#[test]
fn liars_with_many_names_have_a_zone_left() {
    let (code, told) = run("leave", &["--case", "liars", "--without", "quorum"]);
    assert!(code == 1 && told.contains("was left that most could reach"), "{told}");
}

#[test]
fn a_lease_that_does_not_end_is_seen() {
    let (code, told) = run("leave", &["--case", "cut-off", "--without", "lease"]);
    assert!(code == 1 && told.contains("whose return was taken back"), "{told}");
}

#[test]
fn all_keys_back_at_once_are_more_than_cold_caches_bear() {
    let (code, told) = run("leave", &["--case", "dead", "--without", "pace"]);
    assert!(code == 1 && (told.contains("pushed over") || told.contains("times what it bears")), "{told}");
}

#[test]
fn a_service_that_is_not_told_what_zones_bear_overloads_what_remains() {
    let (code, told) = run("leave", &["--case", "short", "--without", "capacity"]);
    assert!(code == 1 && told.contains("for a zone that bears"), "{told}");
}
