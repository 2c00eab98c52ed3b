//! Decisions of the router as short, readable traces, compared with the snapshots in `tests/snapshots`.

mod common;

use common::{CACHES, ORIGIN, PARENTS, RouterRig, host_entry, ms, settings};
use insta::assert_snapshot;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use serde_json::json;

#[test]
fn ordinary_gets_show_ring_order_retention_rank_and_renewal() {
    let mut fixture = RouterRig::new(settings());
    for object in [1, 2, 3, 1] {
        let get = fixture.start_get(1, object);
        fixture.end_forward(get, 0, End::Returned, Note::Hit, 110);
    }
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_busy_origin_doubles_the_accepted_age_and_an_idle_one_lets_copies_be_renewed() {
    let mut fixture = RouterRig::new(settings());
    for object in 1..=6 {
        let get = fixture.start_get(1, object);
        fixture.now += ms(500);
        fixture.end_forward(get, 0, End::Returned, Note::FilledFromOrigin, 600);
    }
    fixture.trace.comment("the window of the busy flag passes without fills");
    fixture.advance(6000);
    fixture.start_get(1, 9);
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_configured_origin_rate_sets_the_busy_flag_by_fill_count() {
    let mut configuration = settings();
    configuration["domain"]["origin_rate_per_s"] = json!(1.2);
    let mut fixture = RouterRig::new(configuration);
    for object in 1..=5 {
        let get = fixture.start_get(1, object);
        fixture.end_forward(get, 0, End::Returned, Note::FilledFromOrigin, 120);
    }
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn no_copy_older_than_a_purge_of_its_object_or_group_is_accepted() {
    let mut fixture = RouterRig::new(settings());
    fixture.round(|round| round.on_purge(PurgeKey::Object(1), ms(0)));
    fixture.trace.comment("just purged: a very short accepted age, since zero means any age");
    fixture.start_get(0, 1);
    fixture.start_get(0, 2);
    fixture.advance(1000);
    fixture.start_get(0, 1);
    fixture.round(|round| round.on_purge(PurgeKey::Group(0), ms(80)));
    fixture.trace.comment("the whole group is purged, with a delay of 80 ms");
    fixture.start_get(1, 2);
    fixture.advance(7000);
    fixture.trace.comment("all hosts have executed the purge");
    fixture.start_get(0, 1);
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn draining_and_removed_hosts_get_no_forwards_and_no_fills() {
    let mut fixture = RouterRig::new(settings());
    let draining = HostEntry { status: HostStatus::Draining, ..host_entry(0) };
    fixture.apply_host_list(
        ListUpdate::Changes,
        &[draining, HostEntry { status: HostStatus::Removed, ..host_entry(PARENTS[0]) }],
    );
    for object in 0..12 {
        fixture.start_get(0, object);
    }
    assert!(!fixture.trace.forwarded_to.contains(&0) && !fixture.trace.lines.contains("parent 3"));
    fixture.trace = Default::default();
    fixture.trace.comment("a full list without cache 1 and without parents");
    fixture.apply_host_list(ListUpdate::Full, &[host_entry(0), host_entry(2), host_entry(ORIGIN)]);
    for object in 100..104 {
        let get = fixture.start_get(0, object);
        fixture.end_forward(get, 0, End::Returned, Note::Filled, 110);
    }
    assert!(!fixture.trace.forwarded_to.contains(&1));
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_write_is_forwarded_again_or_shed_only_if_proven_not_run() {
    let mut fixture = RouterRig::new(settings());
    let ends = [End::Full, End::NoConnection, End::NeverSent, End::Miss];
    for end in ends.into_iter().chain([End::Errored, End::TimedOut, End::Reset, End::Withdrawn, End::Spoilt])
    {
        fixture.trace.comment(&format!("{end:?}"));
        let get = fixture.start_get(2, 1);
        fixture.end_forward(get, 0, end, Note::Untold, 20);
        fixture.end_forward(get, 1, End::Full, Note::Untold, 20);
        fixture.end_forward(get, 2, End::Full, Note::Untold, 20);
    }
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_malformed_answer_is_retried_at_the_same_host_and_an_error_counts_against_its_host_alone() {
    let mut fixture = RouterRig::new(settings());
    for _ in 0..5 {
        let get = fixture.start_get(0, 1);
        fixture.end_forward(get, 0, End::Spoilt, Note::Untold, 20);
        fixture.end_forward(get, 1, End::Returned, Note::Hit, 100);
    }
    fixture.trace.comment("no host returns these GETs");
    for _ in 0..5 {
        let get = fixture.start_get(0, 1);
        (0..3).for_each(|attempt| fixture.end_forward(get, attempt, End::Errored, Note::Untold, 20));
    }
    fixture.trace.comment("another cache returns the GETs that fail at the first one, which is then avoided");
    for _ in 0..4 {
        let get = fixture.start_get(0, 1);
        fixture.end_forward(get, 0, End::Errored, Note::Untold, 20);
        fixture.end_forward(get, 1, End::Returned, Note::Hit, 100);
    }
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_fixed_wait_of_all_fills_does_not_cause_a_large_get_to_be_shed() {
    let mut fixture = fixture_after_late_fills(Note::Filled, 420);
    let get = Get { ds: 0, object: 100, size_kb: 4000.0, viewer_timeout: ms(5000), ..Get::default() };
    fixture
        .trace
        .comment("fills with 100 ms of sending time waited 320 ms; one with 400 ms has time for that wait");
    fixture.round(|round| round.on_get(get));
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn occasional_late_fills_do_not_cut_a_source_limit_and_frequent_ones_do() {
    let lines = [16, 2].map(|one_in| {
        let mut fixture = RouterRig::new(settings());
        for object in 0..120 {
            let get = fixture.start_get(0, object);
            fixture.advance(300);
            fixture.end_forward(
                get,
                0,
                End::Returned,
                Note::Filled,
                if object % one_in == 0 { 1000 } else { 110 },
            );
        }
        fixture.advance(20_000);
        fixture.trace.lines.clear();
        (0..16).for_each(|object| _ = fixture.start_get(0, 1000 + object));
        let from_parents = fixture.trace.lines.matches("from parent").count();
        format!("one in {one_in} fills late: {from_parents} of 16 fills from parents")
    });
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_cache_slower_than_the_best_one_gets_fewer_gets_even_with_unknown_sizes() {
    let mut fixture = RouterRig::new(settings());
    let mut lines = Vec::new();
    for hit_ms in [100, 900] {
        let mut gets_at_cache_0 = 0;
        for object in 0..200 {
            let get = Get { ds: 0, object: object % 40, viewer_timeout: ms(5000), ..Get::default() };
            let mut get_index = 0;
            fixture.round(|round| {
                get_index = round.next_get_index();
                round.on_get(get);
            });
            let host = fixture.trace.last_forward.unwrap().host;
            gets_at_cache_0 += u32::from(host == CACHES[0] && (20..120).contains(&object));
            fixture.now += ms(20);
            fixture.end_forward(
                get_index,
                0,
                End::Returned,
                Note::Hit,
                if host == CACHES[0] { hit_ms } else { 100 },
            );
            fixture.advance(25);
        }
        lines.push(format!(
            "a hit takes {hit_ms} ms at cache 0 and 100 ms at the others: cache 0 gets {gets_at_cache_0} of 100 GETs"
        ));
    }
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn gets_that_clients_abandon_early_do_not_cut_a_source_limit() {
    let mut fixture = RouterRig::new(settings());
    for object in 0..40 {
        let get = fixture.start_get(0, object);
        fixture.round(|round| round.on_abandoned(get));
        fixture.end_forward(get, 0, End::Withdrawn, Note::Untold, 5);
        fixture.advance(300);
    }
    fixture.trace.lines.clear();
    fixture.trace.comment("concurrent fills, each from its first parent on the ring");
    (0..16).for_each(|object| _ = fixture.start_get(0, 1000 + object));
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_tokened_get_that_may_have_run_stays_in_its_group_and_window() {
    let mut fixture = RouterRig::new(settings());
    let get = fixture.start_get(3, 1);
    fixture.end_forward(get, 0, End::Reset, Note::Untold, 20);
    fixture.trace.comment("its location has no other cache left, and parents are outside its group");
    let removed = CACHES.map(|host| HostEntry { status: HostStatus::Removed, ..host_entry(host) });
    fixture.apply_host_list(ListUpdate::Changes, &removed);
    fixture.end_forward(get, 1, End::Reset, Note::Untold, 20);
    assert_snapshot!(fixture.trace.lines);
}

/// Starts two hosts and takes GETs for 200 different objects within the time in which overload takes down a cold host.
/// Returns the sending time, in seconds, of the GETs that are sent to `host` and of those that are filled from it.
fn work_at(started: [HostIndex; 2], host: HostIndex) -> (f64, f64) {
    let mut fixture = RouterRig::new(settings());
    let entries = started.map(|host| HostEntry { start: Start::At(fixture.now), ..host_entry(host) });
    fixture.apply_host_list(ListUpdate::Changes, &entries);
    let (mut sent_s, mut filled_s) = (0.0, 0.0);
    for object in 0..200 {
        fixture.now += ms(5);
        let get = fixture.start_get(0, object);
        let forward = fixture.trace.last_forward.unwrap();
        sent_s += if forward.host == host { 0.1 } else { 0.0 };
        filled_s += if forward.source == host { 0.1 } else { 0.0 };
        fixture.end_forward(get, 0, End::Returned, Note::Filled, 110);
    }
    (sent_s, filled_s)
}

#[test]
fn a_cold_cache_and_a_cold_parent_are_not_overloaded() {
    let overload_s = |weight: f64, initial_fraction: f64| 2.0 * initial_fraction * weight;
    let (cache_s, parent_s) = (work_at([0, 3], 0).0, work_at([0, 3], 3).1);
    assert!(
        cache_s > 0.0 && cache_s * 2.0 <= overload_s(4.0, 0.25),
        "two routers each send {cache_s} s of work to a cold cache"
    );
    assert!(
        parent_s > 0.0 && parent_s * 2.0 <= overload_s(30.0, 0.12),
        "two routers each request {parent_s} s of fills from a cold parent"
    );
}

#[test]
fn a_cold_cache_that_rejects_gets_enters_backoff() {
    let mut fixture = RouterRig::new(settings());
    let started_at = fixture.now - ms(10_000);
    fixture
        .apply_host_list(ListUpdate::Changes, &[HostEntry { start: Start::At(started_at), ..host_entry(0) }]);
    let mut rejected = 0;
    for object in 0..60 {
        let get = fixture.start_get(0, object);
        let is_cold = fixture.trace.last_forward.unwrap().host == 0;
        rejected += u32::from(is_cold);
        fixture.end_forward(get, 0, if is_cold { End::Full } else { End::Returned }, Note::NoFillPlace, 5);
        fixture.end_forward(get, 1, End::Returned, Note::Hit, 110);
    }
    assert_eq!(rejected, 3, "forwards to a cold cache that rejects all GETs");
}

#[test]
fn an_unresponsive_cache_is_avoided_while_its_answers_are_overdue() {
    let mut fixture = RouterRig::new(settings());
    let unresponsive = {
        fixture.start_get(0, 1);
        fixture.trace.last_forward.unwrap().host
    };
    let mut object = 2;
    while fixture.trace.forwarded_to.iter().filter(|&&host| host == unresponsive).count() < 4 {
        let get = fixture.start_get(0, object);
        if fixture.trace.last_forward.unwrap().host != unresponsive {
            fixture.end_forward(get, 0, End::Returned, Note::Hit, 110);
        }
        object += 1;
    }
    fixture.trace = Default::default();
    fixture.advance(3);
    fixture.trace.comment("all GETs in flight there are overdue: new GETs avoid the cache");
    fixture.advance(700);
    for object in 1..8 {
        let get = fixture.start_get(1, object);
        fixture.end_forward(get, 0, End::Returned, Note::Hit, 110);
    }
    assert!(!fixture.trace.forwarded_to.contains(&unresponsive));
    assert_snapshot!(fixture.trace.lines);
}

/// Returns a fixture in which the last forty fills were all late.
fn fixture_after_late_fills(note: Note, elapsed_ms: u64) -> RouterRig {
    let mut fixture = RouterRig::new(settings());
    for object in 0..40 {
        let get = fixture.start_get(0, object);
        fixture.now += ms(300);
        fixture.end_forward(get, 0, End::Returned, note, elapsed_ms);
    }
    fixture.trace = Default::default();
    fixture
}

#[test]
fn late_fills_limit_their_source_and_excess_gets_use_only_copies_held_by_parents() {
    let mut fixture = fixture_after_late_fills(Note::FilledFromOrigin, 2000);
    fixture.trace.comment("the fills of all sources have been late for a long time");
    for object in 100..105 {
        fixture.start_get(0, object);
    }
    fixture.trace.comment("the parent does not hold the object");
    fixture.end_forward(4, 0, End::Miss, Note::SourceLacks, 10);
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn no_decision_follows_the_final_answer_of_a_get() {
    let mut fixture = RouterRig::new(settings());
    let get = fixture.start_get(0, 1);
    let outcome = Outcome {
        attempt: 0,
        end: End::Errored,
        elapsed: ms(5),
        is_answered: false,
        note: Note::Untold,
        is_unmodified: false,
        source_wait: ms(0),
        load: LoadReport::default(),
    };
    fixture
        .trace
        .comment("abandoned and an outcome in one round, then a late outcome for the reused GET index");
    fixture.round(|round| {
        round.on_abandoned(get);
        round.on_outcome(get, &outcome);
        round.on_abandoned(get)
    });
    let next_get = fixture.start_get(0, 2);
    fixture.end_forward(next_get, 7, End::Returned, Note::Hit, 5);
    fixture.trace.comment("the forward times out at the viewer timeout");
    fixture.now += ms(5000);
    fixture.end_forward(next_get, 0, End::TimedOut, Note::Untold, 5000);
    fixture.end_forward(next_get, 0, End::Returned, Note::Hit, 5000);
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_get_that_would_be_late_at_its_cache_is_sent_along_the_ring_or_shed() {
    let mut fixture = RouterRig::new(settings());
    let large_get = Get { ds: 0, object: 1, size_kb: 8000.0, viewer_timeout: ms(5000), ..Get::default() };
    for part in 0..6 {
        fixture.round(|round| round.on_get(Get { part, ..large_get }));
    }
    fixture.trace.comment("a small object is still in time at its cache");
    fixture.start_get(1, 1);
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn one_part_predicts_the_sending_time_of_the_others_with_unknown_sizes() {
    let mut fixture = RouterRig::new(settings());
    let get_part = |part, object| Get { ds: 0, object, part, viewer_timeout: ms(5000), ..Get::default() };
    for object in [1, 2] {
        fixture.round(|round| round.on_get(get_part(0, object)));
        fixture.end_forward(0, 0, End::Returned, Note::Hit, if object == 1 { 1500 } else { 50 });
    }
    for object in [1, 2] {
        fixture.trace.comment(&format!("parts of object {object} at once"));
        (1..6).for_each(|part| fixture.round(|round| round.on_get(get_part(part, object))));
    }
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_get_that_no_source_fills_in_time_is_sent_for_held_copies_first() {
    let mut fixture = fixture_after_late_fills(Note::Filled, 2500);
    fixture.trace.comment("fills took 25 times their sending time: one GET ends with a hit, one with a miss");
    for (end, note) in [(End::Returned, Note::Hit), (End::Miss, Note::Untold)] {
        let get = fixture.start_get(0, 100);
        fixture.end_forward(get, 0, end, note, 100);
    }
    fixture.trace.comment("the latency estimate decays by half in 2 s, so that fills are tried again");
    fixture.advance(20_000);
    fixture.start_get(0, 101);
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_parent_whose_fills_hang_is_avoided_although_caches_answer() {
    let mut fixture = RouterRig::new(settings());
    for object in 0..24 {
        let get = fixture.start_get(0, object);
        let is_hanging = fixture.trace.last_forward.unwrap().source == PARENTS[0];
        fixture.now += ms(100);
        for cached_object in 0..6 {
            let hit = fixture.start_get(1, 1000 + cached_object);
            fixture.end_forward(hit, 0, End::Returned, Note::Hit, 100);
        }
        fixture.now += ms(2400);
        fixture.round(|round| round.on_abandoned(get));
        fixture.end_forward(
            get,
            0,
            if is_hanging { End::Withdrawn } else { End::Returned },
            Note::Filled,
            2500,
        );
    }
    fixture.trace = Default::default();
    fixture.now += ms(1);
    for object in 100..110 {
        fixture.start_get(1, object);
    }
    assert!(!fixture.trace.lines.contains("parent 3"));
    assert_snapshot!(fixture.trace.lines);
}

#[test]
fn a_preempted_cache_gets_no_gets_and_its_cold_replacement_gets_few() {
    let mut fixture = RouterRig::new(settings());
    fixture.trace.comment("the cache is listed as draining");
    fixture
        .apply_host_list(ListUpdate::Changes, &[HostEntry { status: HostStatus::Draining, ..host_entry(0) }]);
    let count_forwards = |fixture: &mut RouterRig, host| {
        let before = fixture.trace.forwarded_to.iter().filter(|&&sent_to| sent_to == host).count();
        for object in 0..60 {
            let get = fixture.start_get(1, object);
            fixture.end_forward(get, 0, End::Returned, Note::Hit, 50);
        }
        fixture.trace.forwarded_to.iter().filter(|&&sent_to| sent_to == host).count() - before
    };
    assert_eq!(count_forwards(&mut fixture, 0), 0);
    let (removed, replacement) = (
        HostEntry { status: HostStatus::Removed, ..host_entry(0) },
        HostEntry { zone: 1, kind: 0, weight: 4.0, ..host_entry(6) },
    );
    fixture.apply_host_list(
        ListUpdate::Changes,
        &[removed, HostEntry { start: Start::At(fixture.now), ..replacement }],
    );
    let cold_count = count_forwards(&mut fixture, 6);
    fixture.advance(18_000);
    let warm_count = count_forwards(&mut fixture, 6);
    assert!(
        0 < cold_count && cold_count < warm_count,
        "of 60 GETs {cold_count} are forwarded to the cold replacement, and {warm_count} once it is warm"
    );
}

#[test]
fn a_cache_gets_fewer_gets_as_it_slows_and_none_after_it_fails() {
    let mut configuration = settings();
    configuration["weights"] = json!("silent");
    let mut fixture = RouterRig::new(configuration);
    let count_forwards_to_cache_0 = |fixture: &mut RouterRig, elapsed_ms: u64, end: End| {
        let mut forwards = 0;
        for object in 0..60 {
            fixture.now += ms(20);
            let get = fixture.start_get(0, object);
            let is_cache_0 = fixture.trace.last_forward.unwrap().host == 0;
            forwards += u32::from(is_cache_0);
            let (end, elapsed_ms) = if is_cache_0 { (end, elapsed_ms) } else { (End::Returned, 100) };
            fixture.end_forward(get, 0, end, Note::Hit, elapsed_ms);
            fixture.end_forward(get, 1, End::Returned, Note::Hit, 100);
        }
        forwards
    };
    let counts = [
        ("at full speed", count_forwards_to_cache_0(&mut fixture, 100, End::Returned)),
        ("ten times slower", count_forwards_to_cache_0(&mut fixture, 1000, End::Returned)),
        ("unreachable", count_forwards_to_cache_0(&mut fixture, 1, End::Reset)),
    ];
    let report = counts.map(|(state, forwards)| format!("{state}: {forwards} of 60 GETs")).join("\n");
    assert_snapshot!(report);
}

#[test]
fn hosts_that_restart_together_get_work_within_their_slow_start_limits() {
    let (first_s, second_s) = (work_at([0, 1], 0).0, work_at([0, 1], 1).0);
    for work_s in [first_s, second_s] {
        assert!(
            work_s > 0.0 && work_s * 2.0 <= 2.0 * 0.25 * 4.0,
            "two routers each send {work_s} s of work to a cold cache"
        );
    }
}

#[test]
fn unusual_settings_and_host_lists_are_handled() {
    let settings_error = |name: &str, value: serde_json::Value| {
        let mut configuration = settings();
        let (group, key) = name.split_once('.').unwrap_or(("", name));
        let section = if group.is_empty() { &mut configuration } else { &mut configuration[group] };
        section[key] = value;
        Router::new(configuration.as_object().unwrap(), 7).err().unwrap_or_else(|| "accepted".into())
    };
    let cases = [
        ("my_zone", json!("edge")),
        ("my_zone", json!(9)),
        ("balancers", json!(0)),
        ("classes", json!(null)),
        ("domain.flow_kb_per_s", json!(0)),
        ("domain.shield_kind", json!(-1)),
        ("domain.count_by_zone", json!([])),
        ("obligations.fall_ms", json!(null)),
        ("obligations.fall_multiple", json!(-3)),
        ("unknown", json!({"a": 1})),
    ];
    let errors =
        cases.map(|(name, value)| format!("{name} {value}: {}", settings_error(name, value.clone())));
    let mut fixture = RouterRig::new(settings());
    fixture.trace.comment("an empty list, then one in reverse order");
    fixture.apply_host_list(ListUpdate::Full, &[]);
    fixture.start_get(0, 1);
    fixture.apply_host_list(ListUpdate::Full, &(0..6).rev().map(host_entry).collect::<Vec<_>>());
    fixture.start_get(0, 1);
    fixture.trace.comment("without parents the origin fills; a single cache gets all GETs");
    fixture.apply_host_list(ListUpdate::Full, &[host_entry(1), host_entry(ORIGIN)]);
    fixture.start_get(0, 1);
    assert_snapshot!(errors.join("\n") + "\n" + &fixture.trace.lines);
}

#[test]
fn every_cache_of_a_large_location_receives_gets() {
    let mut fixture = RouterRig::new(settings());
    let entries: Vec<_> =
        (6..206).map(|host| HostEntry { zone: 1, kind: 0, weight: 4.0, ..host_entry(host) }).collect();
    fixture.apply_host_list(ListUpdate::Changes, &entries);
    for object in 0..4000 {
        let get = fixture.start_get(1, object);
        fixture.end_forward(get, 0, End::Returned, Note::Hit, 50);
    }
    let mut used_caches = std::mem::take(&mut fixture.trace.forwarded_to);
    used_caches.sort_unstable();
    used_caches.dedup();
    assert_eq!(used_caches.len(), 203, "caches that got a GET, of 203");
}
