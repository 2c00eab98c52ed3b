//! When a host counts as started, whatever the wall clocks of machines say and however old the list is.

use myrtlegauge::host_life::{
    EndEvidence, HostLifecycle, ListingContext, MAX_CLOCK_STEP, ProcessStart, TimeReference,
    is_to_new_process,
};
use myrtlegauge::interface::{Start, StartClaim};
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// The moment of each case, on the router's own clock.
const NOW: Duration = Duration::from_secs(10_000);
/// The list is as new as can be.
const LIST_FRESH: Duration = NOW;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn claim(stamp: u64, age: Duration) -> Start {
    Start::Claimed(StartClaim { unix_ms: stamp, age })
}

/// What is known where no stamp bears out another clock.
fn list_known(until: Duration) -> TimeReference {
    TimeReference { list_known_until: until, unix_offset: ZERO }
}

/// A start that this router was there for.
fn at(at: Duration, age: Duration) -> ProcessStart {
    ProcessStart { at, age, is_from_initial_list: false }
}

fn began(life: &HostLifecycle, known_until: Duration, now: Duration) -> ProcessStart {
    life.process_start(ZERO, &list_known(known_until), now)
}

#[test]
fn a_start_that_is_heard_of_counts_from_then_whatever_its_stamp_claims() {
    for age in [ZERO, seconds(5), seconds(30), seconds(7200)] {
        let mut life = HostLifecycle::default();
        assert!(
            !life.on_listed(claim(0, NOW), ListingContext::InitialList, seconds(100)),
            "it was there from the start"
        );
        assert!(life.on_listed(claim(77, age), ListingContext::KnownHost, NOW));
        assert_eq!(began(&life, LIST_FRESH, NOW + seconds(3)), at(NOW, seconds(3)));
    }
}

#[test]
fn a_host_met_for_the_first_time_is_warm_only_if_no_clock_step_explains_its_age() {
    for (age, at) in [(seconds(2), NOW), (seconds(7200), NOW), (MAX_CLOCK_STEP + seconds(1), ZERO)] {
        let mut life = HostLifecycle::default();
        life.on_listed(claim(77, age), ListingContext::InitialList, NOW);
        assert_eq!(began(&life, LIST_FRESH, NOW).at, at, "claimed to be {age:?} old");
    }
}

#[test]
fn a_stamp_that_is_known_starts_nothing_anew_and_one_that_goes_back_does() {
    let mut life = HostLifecycle::default();
    life.on_listed(claim(77, ZERO), ListingContext::KnownHost, NOW);
    assert!(
        !life.on_listed(claim(77, seconds(9)), ListingContext::KnownHost, NOW + seconds(4)),
        "a line told again"
    );
    assert!(
        !life.on_listed(claim(0, ZERO), ListingContext::KnownHost, NOW + seconds(4)),
        "a line that tells of no late start"
    );
    assert_eq!(began(&life, LIST_FRESH, NOW + seconds(4)).age, seconds(4));
    assert!(
        life.on_listed(claim(50, seconds(40)), ListingContext::KnownHost, NOW + seconds(5)),
        "its writer's clock was stepped back"
    );
    assert_eq!(began(&life, LIST_FRESH, NOW + seconds(5)).age, ZERO);
}

#[test]
fn a_process_that_answers_after_another_ended_is_new_until_the_list_is_known_past_that() {
    let mut life = HostLifecycle::default();
    life.on_ended(NOW, EndEvidence::DialRefused);
    let list_known = NOW - seconds(1);
    assert_eq!(began(&life, list_known, NOW + seconds(1)), at(NOW, ZERO), "nothing is there yet");
    life.on_connected(NOW + seconds(1));
    life.on_connected(NOW + seconds(2));
    let later = NOW + seconds(6);
    assert_eq!(began(&life, list_known, later), at(NOW + seconds(1), seconds(5)));
    assert_eq!(began(&life, NOW + seconds(1), later).age, seconds(5), "the list says nothing of later");
    assert_eq!(began(&life, NOW + seconds(2), later).at, ZERO, "the list tells of no start");
}

#[test]
fn an_end_is_forgotten_once_the_list_is_known_well_past_it() {
    let mut life = HostLifecycle::default();
    life.on_ended(NOW, EndEvidence::DialRefused);
    assert_eq!(began(&life, NOW + seconds(1), NOW + seconds(1)).at, NOW);
    assert_eq!(began(&life, NOW + seconds(3), NOW + seconds(3)).at, ZERO);
}

#[test]
fn a_start_that_is_heard_of_late_was_before_the_connection_that_has_been_up_since() {
    let mut life = HostLifecycle::default();
    life.on_ended(NOW, EndEvidence::DialRefused);
    life.on_connected(NOW + seconds(1));
    assert!(life.on_listed(claim(77, seconds(11)), ListingContext::KnownHost, NOW + seconds(12)));
    let list_known = NOW + seconds(12);
    assert_eq!(began(&life, list_known, NOW + seconds(12)), at(NOW + seconds(1), seconds(11)));
    assert!(life.on_listed(claim(78, ZERO), ListingContext::KnownHost, NOW + seconds(13)), "and once more");
    assert_eq!(
        began(&life, list_known, NOW + seconds(13)).age,
        ZERO,
        "of which the connection tells nothing"
    );
}

#[test]
fn a_connection_alone_tells_of_no_start() {
    let mut life = HostLifecycle::default();
    life.on_connected(NOW);
    assert_eq!(began(&life, ZERO, NOW).at, ZERO);
}

/// Unix time at `NOW`, and the stamp of a start 40 s before.
const UNIX: Duration = Duration::from_secs(1_800_000_000);
const STAMP: Duration = Duration::from_secs(1_800_000_000 - 40);

#[test]
fn a_start_in_the_first_list_is_as_long_ago_as_two_clocks_bear_out() {
    for (unix, age) in
        [(UNIX, seconds(40)), (STAMP + seconds(2), seconds(2)), (STAMP, ZERO), (STAMP - seconds(30), ZERO)]
    {
        let known = TimeReference { list_known_until: NOW, unix_offset: unix - NOW };
        let mut life = HostLifecycle::default();
        life.on_listed(claim(STAMP.as_millis() as u64, seconds(7200)), ListingContext::InitialList, NOW);
        assert_eq!(life.process_start(ZERO, &known, NOW).age, age, "Unix time is {unix:?} at least");
    }
}

#[test]
fn a_start_that_is_heard_of_while_running_is_believed_of_no_clock() {
    let known = TimeReference { list_known_until: NOW, unix_offset: UNIX - NOW };
    for heard in [ListingContext::NewHost, ListingContext::KnownHost] {
        let mut life = HostLifecycle::default();
        life.on_listed(claim(STAMP.as_millis() as u64, seconds(40)), heard, NOW);
        assert_eq!(life.process_start(ZERO, &known, NOW).age, ZERO);
    }
}

#[test]
fn the_end_of_connections_tells_of_a_new_process_only_while_the_list_is_old() {
    let mut life = HostLifecycle::default();
    life.on_ended(NOW, EndEvidence::ConnectionsEnded);
    life.on_connected(NOW + seconds(1));
    assert_eq!(began(&life, NOW, NOW + seconds(2)).at, ZERO, "the list is two seconds old");
    assert_eq!(began(&life, NOW, NOW + seconds(4)), at(NOW + seconds(1), seconds(3)));
    assert_eq!(began(&life, NOW + seconds(4), NOW + seconds(4)).at, ZERO, "and now it is new");
}

#[test]
fn what_a_router_that_did_not_run_has_not_seen_counts_until_the_list_is_heard_again() {
    let mut life = HostLifecycle::default();
    life.on_ended(NOW, EndEvidence::Unobserved);
    let woken = NOW + seconds(4);
    assert_eq!(began(&life, NOW, woken).age, ZERO);
    assert_eq!(began(&life, woken, woken).at, ZERO);
}

#[test]
fn a_connection_is_to_the_new_process_if_it_came_up_after_the_end_that_the_list_now_tells_of() {
    let ended = Some(NOW);
    assert!(is_to_new_process(NOW + seconds(1), ended, NOW + seconds(2)));
    assert!(!is_to_new_process(NOW - seconds(1), ended, NOW + seconds(2)), "it was there before");
    assert!(!is_to_new_process(NOW + seconds(1), None, NOW), "nobody saw an end");
    assert!(
        !is_to_new_process(NOW + seconds(1), ended, NOW + seconds(60)),
        "that end was another, long before"
    );
}
