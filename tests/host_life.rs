//! Start times derived for host processes, for any wall clocks of other machines and any age of the host list.

use myrtlegauge::host_life::{
    EndEvidence, HostLifecycle, ListingContext, MAX_CLOCK_STEP, ProcessStart, TimeReference,
    is_to_new_process,
};
use myrtlegauge::interface::{Start, StartClaim};
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// Time at which each case takes place, on the router's monotonic clock.
const NOW: Duration = Duration::from_secs(10_000);
/// The host list is known up to the present.
const LIST_CURRENT: Duration = NOW;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn claim(unix_ms: u64, age: Duration) -> Start {
    Start::Claimed(StartClaim { unix_ms, age })
}

/// Time reference for a list known up to `until`, without any timestamp of another machine.
fn list_known(until: Duration) -> TimeReference {
    TimeReference { list_known_until: until, unix_offset: ZERO }
}

/// A start that took place while this router was running.
fn observed_start(at: Duration, age: Duration) -> ProcessStart {
    ProcessStart { at, age, is_from_initial_list: false }
}

fn process_start_at(lifecycle: &HostLifecycle, known_until: Duration, now: Duration) -> ProcessStart {
    lifecycle.process_start(ZERO, &list_known(known_until), now)
}

#[test]
fn a_start_counts_from_its_report_whatever_timestamp_it_claims() {
    for age in [ZERO, seconds(5), seconds(30), seconds(7200)] {
        let mut lifecycle = HostLifecycle::default();
        assert!(
            !lifecycle.on_listed(claim(0, NOW), ListingContext::InitialList, ZERO, seconds(100)),
            "an entry without a late start reports no new process"
        );
        assert!(lifecycle.on_listed(claim(77, age), ListingContext::KnownHost, ZERO, NOW));
        assert_eq!(
            process_start_at(&lifecycle, LIST_CURRENT, NOW + seconds(3)),
            observed_start(NOW, seconds(3))
        );
    }
}

#[test]
fn an_initially_listed_host_is_warm_only_if_its_age_exceeds_any_clock_step() {
    for (age, expected_start) in
        [(seconds(2), NOW), (seconds(7200), NOW), (MAX_CLOCK_STEP + seconds(1), ZERO)]
    {
        let mut lifecycle = HostLifecycle::default();
        lifecycle.on_listed(claim(77, age), ListingContext::InitialList, ZERO, NOW);
        assert_eq!(
            process_start_at(&lifecycle, LIST_CURRENT, NOW).at,
            expected_start,
            "claimed to be {age:?} old"
        );
    }
}

#[test]
fn a_known_timestamp_reports_no_new_start_and_an_earlier_one_does() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_listed(claim(77, ZERO), ListingContext::KnownHost, ZERO, NOW);
    assert!(
        !lifecycle.on_listed(claim(77, seconds(9)), ListingContext::KnownHost, ZERO, NOW + seconds(4)),
        "the entry was repeated"
    );
    assert!(
        !lifecycle.on_listed(claim(0, ZERO), ListingContext::KnownHost, ZERO, NOW + seconds(4)),
        "the entry reports no late start"
    );
    assert_eq!(process_start_at(&lifecycle, LIST_CURRENT, NOW + seconds(4)).age, seconds(4));
    assert!(
        lifecycle.on_listed(claim(50, seconds(40)), ListingContext::KnownHost, ZERO, NOW + seconds(5)),
        "the clock of the reporting machine was stepped back"
    );
    assert_eq!(process_start_at(&lifecycle, LIST_CURRENT, NOW + seconds(5)).age, ZERO);
}

#[test]
fn a_process_that_answers_after_another_ended_is_new_until_the_list_is_known_past_its_connection() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_ended(NOW, EndEvidence::DialRefused);
    let list_known = NOW - seconds(1);
    assert_eq!(
        process_start_at(&lifecycle, list_known, NOW + seconds(1)),
        observed_start(NOW, ZERO),
        "no process answers yet"
    );
    lifecycle.on_connected(NOW + seconds(1));
    lifecycle.on_connected(NOW + seconds(2));
    let later = NOW + seconds(6);
    assert_eq!(process_start_at(&lifecycle, list_known, later), observed_start(NOW + seconds(1), seconds(5)));
    assert_eq!(
        process_start_at(&lifecycle, NOW + seconds(1), later).age,
        seconds(5),
        "the list does not cover the time after the connection"
    );
    assert_eq!(
        process_start_at(&lifecycle, NOW + seconds(2), later).at,
        ZERO,
        "the list covers the connection and reports no start"
    );
}

#[test]
fn an_end_is_disregarded_once_the_list_is_known_well_past_it() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_ended(NOW, EndEvidence::DialRefused);
    assert_eq!(process_start_at(&lifecycle, NOW + seconds(1), NOW + seconds(1)).at, NOW);
    assert_eq!(process_start_at(&lifecycle, NOW + seconds(3), NOW + seconds(3)).at, ZERO);
}

#[test]
fn a_start_reported_late_is_dated_to_the_connection_established_after_the_end() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_ended(NOW, EndEvidence::DialRefused);
    lifecycle.on_connected(NOW + seconds(1));
    assert!(lifecycle.on_listed(claim(77, seconds(11)), ListingContext::KnownHost, ZERO, NOW + seconds(12)));
    let list_known = NOW + seconds(12);
    assert_eq!(
        process_start_at(&lifecycle, list_known, NOW + seconds(12)),
        observed_start(NOW + seconds(1), seconds(11))
    );
    assert!(
        lifecycle.on_listed(claim(78, ZERO), ListingContext::KnownHost, ZERO, NOW + seconds(13)),
        "the process starts once more"
    );
    assert_eq!(
        process_start_at(&lifecycle, list_known, NOW + seconds(13)).age,
        ZERO,
        "the connection gives no evidence of the second start"
    );
}

#[test]
fn a_connection_alone_is_no_evidence_of_a_start() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_connected(NOW);
    assert_eq!(process_start_at(&lifecycle, ZERO, NOW).at, ZERO);
}

/// Unix time at `NOW`.
const NOW_UNIX: Duration = Duration::from_secs(1_800_000_000);
/// Unix time of a start 40 s before `NOW`.
const START_UNIX: Duration = Duration::from_secs(1_800_000_000 - 40);

#[test]
fn a_start_in_the_initial_list_is_as_old_as_two_clocks_confirm() {
    for (unix_now, age) in [
        (NOW_UNIX, seconds(40)),
        (START_UNIX + seconds(2), seconds(2)),
        (START_UNIX, ZERO),
        (START_UNIX - seconds(30), ZERO),
    ] {
        let reference = TimeReference { list_known_until: NOW, unix_offset: unix_now - NOW };
        let mut lifecycle = HostLifecycle::default();
        lifecycle.on_listed(
            claim(START_UNIX.as_millis() as u64, seconds(7200)),
            ListingContext::InitialList,
            ZERO,
            NOW,
        );
        assert_eq!(
            lifecycle.process_start(ZERO, &reference, NOW).age,
            age,
            "Unix time is at least {unix_now:?}"
        );
    }
}

#[test]
fn a_start_reported_while_the_router_runs_is_dated_by_no_wall_clock() {
    let reference = TimeReference { list_known_until: NOW, unix_offset: NOW_UNIX - NOW };
    for context in [ListingContext::NewHost, ListingContext::KnownHost] {
        let mut lifecycle = HostLifecycle::default();
        lifecycle.on_listed(claim(START_UNIX.as_millis() as u64, seconds(40)), context, ZERO, NOW);
        assert_eq!(lifecycle.process_start(ZERO, &reference, NOW).age, ZERO);
    }
}

#[test]
fn the_end_of_all_connections_is_evidence_of_a_new_process_only_while_the_list_is_old() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_ended(NOW, EndEvidence::ConnectionsEnded);
    lifecycle.on_connected(NOW + seconds(1));
    assert_eq!(process_start_at(&lifecycle, NOW, NOW + seconds(2)).at, ZERO, "the list is two seconds old");
    assert_eq!(
        process_start_at(&lifecycle, NOW, NOW + seconds(4)),
        observed_start(NOW + seconds(1), seconds(3))
    );
    assert_eq!(
        process_start_at(&lifecycle, NOW + seconds(4), NOW + seconds(4)).at,
        ZERO,
        "the list is current again"
    );
}

#[test]
fn an_unobserved_period_counts_as_a_possible_restart_until_the_list_is_current_again() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_ended(NOW, EndEvidence::Unobserved);
    let resumed_at = NOW + seconds(4);
    assert_eq!(process_start_at(&lifecycle, NOW, resumed_at).age, ZERO);
    assert_eq!(process_start_at(&lifecycle, resumed_at, resumed_at).at, ZERO);
}

#[test]
fn a_connection_is_to_the_new_process_if_established_after_the_end_of_the_previous_one() {
    let ended = Some(NOW);
    assert!(is_to_new_process(NOW + seconds(1), ended, NOW + seconds(2)));
    assert!(
        !is_to_new_process(NOW - seconds(1), ended, NOW + seconds(2)),
        "the connection was established before the end"
    );
    assert!(!is_to_new_process(NOW + seconds(1), None, NOW), "no end was observed");
    assert!(
        !is_to_new_process(NOW + seconds(1), ended, NOW + seconds(60)),
        "the observed end was an earlier, unrelated one"
    );
}

/// Guards against a host that vanishes without a word and comes back cold: an old connection, made after an end that nothing
/// followed, made its start as old as that connection, so that it counted as warm.
#[test]
fn a_start_is_not_dated_to_a_connection_that_the_list_has_covered() {
    let mut lifecycle = HostLifecycle::default();
    lifecycle.on_ended(NOW, EndEvidence::ConnectionsEnded);
    lifecycle.on_connected(NOW + seconds(1));
    let (list_known, listed_at) = (NOW + seconds(59), NOW + seconds(60));
    assert!(lifecycle.on_listed(claim(77, ZERO), ListingContext::KnownHost, list_known, listed_at));
    assert_eq!(process_start_at(&lifecycle, listed_at, listed_at), observed_start(listed_at, ZERO));
}
