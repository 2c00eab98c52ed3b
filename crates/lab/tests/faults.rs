//! The proof under faults in its small form: a cache that starts cold beside one other fault.

mod common;

use common::{holds, run};

#[test]
fn a_cold_cache_is_not_overloaded_whatever_wall_clocks_say() {
    holds("faults", &["clock-ahead", "clock-far-ahead", "clock-behind", "clock-far-behind"]);
    holds("faults", &["clock-stepped", "clock-ahead-purges"]);
}

#[test]
fn a_cold_cache_is_not_overloaded_where_the_list_is_old_or_it_stalls() {
    holds("faults", &["frozen", "log-silent", "stalled"]);
}

#[test]
fn a_cold_cache_is_not_overloaded_as_dispatchers_end_and_start() {
    holds("faults", &["told", "killed", "restarted", "reloaded"]);
}

#[test]
fn a_cold_cache_is_not_overloaded_beside_another_or_as_it_starts_again() {
    holds("faults", &["two", "again"]);
}

#[test]
fn drawn_schedules_of_faults_that_overlap_break_no_rule() {
    let (code, told) = run("faults", &["--soak", "2"]);
    assert_eq!(code, 0, "{told}");
}

#[test]
fn without_its_guard_a_cold_cache_is_overloaded_and_the_check_fires() {
    let (code, told) = run("faults", &["--case", "told", "--without", "starting"]);
    assert!(code == 1 && told.contains("in slow start got"), "{told}");
    assert!(told.contains("in slow start gets over its share"), "{told}");
}
