//! Decisions as short traces, kept under `tests/snapshots` and read by people.

mod common;

use common::{CACHES, ORIGIN, PARENTS, RouterRig, host_entry, ms, settings};
use insta::assert_snapshot;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::*;
use serde_json::json;

#[test]
fn ordinary_path_ring_ranks_and_renewal() {
    let mut day = RouterRig::new(settings());
    for object in [1, 2, 3, 1] {
        let get = day.start_get(1, object);
        day.end_forward(get, 0, End::Returned, Note::Hit, 110);
    }
    assert_snapshot!(day.trace.lines);
}

#[test]
fn busy_doubles_the_accepted_age_and_idle_takes_it_back() {
    let mut day = RouterRig::new(settings());
    for object in 1..=6 {
        let get = day.start_get(1, object);
        day.now += ms(500);
        day.end_forward(get, 0, End::Returned, Note::FilledFromOrigin, 600);
    }
    day.trace.comment("the window passes without fills");
    day.advance(6000);
    day.start_get(1, 9);
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_told_origin_rate_sets_the_flag_by_count() {
    let mut told = settings();
    told["domain"]["origin_rate_per_s"] = json!(1.2);
    let mut day = RouterRig::new(told);
    for object in 1..=5 {
        let get = day.start_get(1, object);
        day.end_forward(get, 0, End::Returned, Note::FilledFromOrigin, 120);
    }
    assert_snapshot!(day.trace.lines);
}

#[test]
fn no_copy_older_than_a_purge_of_the_object_or_its_group() {
    let mut day = RouterRig::new(settings());
    day.round(|round| round.on_purge(PurgeKey::Object(1), ms(0)));
    day.trace.comment("just purged: a tiny limit, for zero would mean any age");
    day.start_get(0, 1);
    day.start_get(0, 2);
    day.advance(1000);
    day.start_get(0, 1);
    day.round(|round| round.on_purge(PurgeKey::Group(0), ms(80)));
    day.trace.comment("the whole group, told 80 ms late");
    day.start_get(1, 2);
    day.advance(7000);
    day.trace.comment("all have dropped it");
    day.start_get(0, 1);
    assert_snapshot!(day.trace.lines);
}

#[test]
fn nothing_goes_to_draining_or_gone_hosts_nor_from_them() {
    let mut day = RouterRig::new(settings());
    let draining = HostEntry { status: HostStatus::Draining, ..host_entry(0) };
    day.apply_host_list(
        ListUpdate::Changes,
        &[draining, HostEntry { status: HostStatus::Removed, ..host_entry(PARENTS[0]) }],
    );
    for object in 0..12 {
        day.start_get(0, object);
    }
    assert!(!day.trace.forwarded_to.contains(&0) && !day.trace.lines.contains("parent 3"));
    day.trace = Default::default();
    day.trace.comment("a whole list without cache 1 and without parents");
    day.apply_host_list(ListUpdate::Full, &[host_entry(0), host_entry(2), host_entry(ORIGIN)]);
    for object in 100..104 {
        let get = day.start_get(0, object);
        day.end_forward(get, 0, End::Returned, Note::Filled, 110);
    }
    assert!(!day.trace.forwarded_to.contains(&1));
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_write_goes_on_or_is_shed_only_if_proven_not_run() {
    let mut day = RouterRig::new(settings());
    let ends = [End::Full, End::NoConnection, End::NeverSent, End::Miss];
    for end in ends.into_iter().chain([End::Errored, End::TimedOut, End::Reset, End::Withdrawn, End::Spoilt])
    {
        day.trace.comment(&format!("{end:?}"));
        let get = day.start_get(2, 1);
        day.end_forward(get, 0, end, Note::Untold, 20);
        day.end_forward(get, 1, End::Full, Note::Untold, 20);
        day.end_forward(get, 2, End::Full, Note::Untold, 20);
    }
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_spoilt_answer_is_asked_for_again_where_it_was_and_an_error_is_held_against_its_host_alone() {
    let mut day = RouterRig::new(settings());
    for _ in 0..5 {
        let get = day.start_get(0, 1);
        day.end_forward(get, 0, End::Spoilt, Note::Untold, 20);
        day.end_forward(get, 1, End::Returned, Note::Hit, 100);
    }
    day.trace.comment("nobody knows what these ask for");
    for _ in 0..5 {
        let get = day.start_get(0, 1);
        (0..3).for_each(|hop| day.end_forward(get, hop, End::Errored, Note::Untold, 20));
    }
    day.trace.comment("another returns what the first errs on: the first is left out");
    for _ in 0..4 {
        let get = day.start_get(0, 1);
        day.end_forward(get, 0, End::Errored, Note::Untold, 20);
        day.end_forward(get, 1, End::Returned, Note::Hit, 100);
    }
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_wait_that_small_fills_have_too_is_no_reason_to_shed_a_large_one() {
    let mut day = after_late_fills(Note::Filled, 420);
    let get = Get { ds: 0, object: 100, size_kb: 4000.0, viewer_timeout: ms(5000), ..Get::default() };
    day.trace.comment("fills of 100 ms sending waited 320 ms; one of 400 ms has time for that");
    day.round(|round| round.on_get(get));
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_late_fill_alone_cuts_no_source_and_late_ones_together_do() {
    let counts = [16, 2].map(|late| {
        let mut day = RouterRig::new(settings());
        for object in 0..120 {
            let get = day.start_get(0, object);
            day.advance(300);
            day.end_forward(get, 0, End::Returned, Note::Filled, if object % late == 0 { 1000 } else { 110 });
        }
        day.advance(20_000);
        day.trace.lines.clear();
        (0..16).for_each(|object| _ = day.start_get(0, 1000 + object));
        let all = day.trace.lines.matches("from parent").count();
        format!("one in {late} late: {all} of 16 fills from parents")
    });
    assert_snapshot!(counts.join("\n"));
}

#[test]
fn a_cache_slower_than_the_best_one_is_passed_by_where_sizes_are_untold_too() {
    let mut day = RouterRig::new(settings());
    let mut said = Vec::new();
    for slow in [100, 900] {
        let mut at_first = 0;
        for object in 0..200 {
            let get = Get { ds: 0, object: object % 40, viewer_timeout: ms(5000), ..Get::default() };
            let mut place = 0;
            day.round(|round| {
                place = round.next_get_index();
                round.on_get(get);
            });
            let host = day.trace.last_forward.unwrap().host;
            at_first += u32::from(host == CACHES[0] && (20..120).contains(&object));
            day.now += ms(20);
            day.end_forward(place, 0, End::Returned, Note::Hit, if host == CACHES[0] { slow } else { 100 });
            day.advance(25);
        }
        said.push(format!("hits at cache 0 take {slow} ms, at the others 100: it gets {at_first} of 100"));
    }
    assert_snapshot!(said.join("\n"));
}

#[test]
fn what_its_client_broke_off_early_cuts_no_source() {
    let mut day = RouterRig::new(settings());
    for object in 0..40 {
        let get = day.start_get(0, object);
        day.round(|round| round.on_abandoned(get));
        day.end_forward(get, 0, End::Withdrawn, Note::Untold, 5);
        day.advance(300);
    }
    day.trace.lines.clear();
    day.trace.comment("fills at once, each from the parent that its ring names");
    (0..16).for_each(|object| _ = day.start_get(0, 1000 + object));
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_tokened_get_that_may_have_run_stays_in_its_group_and_window() {
    let mut day = RouterRig::new(settings());
    let get = day.start_get(3, 1);
    day.end_forward(get, 0, End::Reset, Note::Untold, 20);
    day.trace.comment("its own location has no other cache left: parents are outside the group");
    let gone = CACHES.map(|host| HostEntry { status: HostStatus::Removed, ..host_entry(host) });
    day.apply_host_list(ListUpdate::Changes, &gone);
    day.end_forward(get, 1, End::Reset, Note::Untold, 20);
    assert_snapshot!(day.trace.lines);
}

/// Work that 200 different objects ask of a host within the time in which a cold one falls over, s of sending.
fn work_to(started: [HostIndex; 2], host: HostIndex) -> (f64, f64) {
    let mut day = RouterRig::new(settings());
    let fresh = started.map(|host| HostEntry { start: Start::At(day.now), ..host_entry(host) });
    day.apply_host_list(ListUpdate::Changes, &fresh);
    let (mut sent, mut filled) = (0.0, 0.0);
    for object in 0..200 {
        day.now += ms(5);
        let get = day.start_get(0, object);
        let forward = day.trace.last_forward.unwrap();
        sent += if forward.host == host { 0.1 } else { 0.0 };
        filled += if forward.source == host { 0.1 } else { 0.0 };
        day.end_forward(get, 0, End::Returned, Note::Filled, 110);
    }
    (sent, filled)
}

#[test]
fn a_cold_cache_and_a_cold_parent_are_not_pushed_over() {
    let bears = |units: f64, from: f64| 2.0 * from * units;
    let (cache, parent) = (work_to([0, 3], 0).0, work_to([0, 3], 3).1);
    assert!(cache > 0.0 && cache * 2.0 <= bears(4.0, 0.25), "two routers send a cold cache {cache} s each");
    assert!(
        parent > 0.0 && parent * 2.0 <= bears(30.0, 0.12),
        "two routers ask {parent} s each of a cold parent"
    );
}

#[test]
fn a_cold_cache_that_turns_gets_away_is_rested() {
    let mut day = RouterRig::new(settings());
    let started = day.now - ms(10_000);
    day.apply_host_list(ListUpdate::Changes, &[HostEntry { start: Start::At(started), ..host_entry(0) }]);
    let mut full = 0;
    for object in 0..60 {
        let get = day.start_get(0, object);
        let cold = day.trace.last_forward.unwrap().host == 0;
        full += u32::from(cold);
        day.end_forward(get, 0, if cold { End::Full } else { End::Returned }, Note::NoFillPlace, 5);
        day.end_forward(get, 1, End::Returned, Note::Hit, 110);
    }
    assert_eq!(full, 3, "forwards to a cold cache that is full");
}

#[test]
fn a_silent_cache_is_left_and_tried_again_later() {
    let mut day = RouterRig::new(settings());
    let silent = {
        day.start_get(0, 1);
        day.trace.last_forward.unwrap().host
    };
    let mut object = 2;
    while day.trace.forwarded_to.iter().filter(|&&host| host == silent).count() < 4 {
        let get = day.start_get(0, object);
        if day.trace.last_forward.unwrap().host != silent {
            day.end_forward(get, 0, End::Returned, Note::Hit, 110);
        }
        object += 1;
    }
    day.trace = Default::default();
    day.advance(3);
    day.trace.comment("all that is out there is overdue: new GETs pass it by");
    day.advance(700);
    for object in 1..8 {
        let get = day.start_get(1, object);
        day.end_forward(get, 0, End::Returned, Note::Hit, 110);
    }
    assert!(!day.trace.forwarded_to.contains(&silent));
    assert_snapshot!(day.trace.lines);
}

/// A router whose last forty fills all came late.
fn after_late_fills(note: Note, spent: u64) -> RouterRig {
    let mut day = RouterRig::new(settings());
    for object in 0..40 {
        let get = day.start_get(0, object);
        day.now += ms(300);
        day.end_forward(get, 0, End::Returned, note, spent);
    }
    day.trace = Default::default();
    day
}

#[test]
fn late_fills_bound_their_source_and_what_is_over_it_is_asked_only_of_what_parents_hold() {
    let mut day = after_late_fills(Note::FilledFromOrigin, 2000);
    day.trace.comment("every source's fills came late for long");
    for object in 100..105 {
        day.start_get(0, object);
    }
    day.trace.comment("the parent lacks it");
    day.end_forward(4, 0, End::Miss, Note::SourceLacks, 10);
    assert_snapshot!(day.trace.lines);
}

#[test]
fn nothing_is_said_of_a_get_after_its_final_answer() {
    let mut day = RouterRig::new(settings());
    let get = day.start_get(0, 1);
    let o = Outcome {
        attempt: 0,
        end: End::Errored,
        elapsed: ms(5),
        is_answered: false,
        note: Note::Untold,
        source_wait: ms(0),
        load: LoadReport::default(),
    };
    day.trace.comment("abandoned and an outcome in one round, then a late outcome for the place");
    day.round(|round| {
        round.on_abandoned(get);
        round.on_outcome(get, &o);
        round.on_abandoned(get)
    });
    let again = day.start_get(0, 2);
    day.end_forward(again, 7, End::Returned, Note::Hit, 5);
    day.trace.comment("time-out at the viewer timeout");
    day.now += ms(5000);
    day.end_forward(again, 0, End::TimedOut, Note::Untold, 5000);
    day.end_forward(again, 0, End::Returned, Note::Hit, 5000);
    assert_snapshot!(day.trace.lines);
}

#[test]
fn what_would_be_late_at_its_cache_goes_on_along_the_ring_or_is_shed() {
    let mut day = RouterRig::new(settings());
    let big = Get { ds: 0, object: 1, size_kb: 8000.0, viewer_timeout: ms(5000), ..Get::default() };
    for part in 0..6 {
        day.round(|round| round.on_get(Get { part, ..big }));
    }
    day.trace.comment("small ones are still in time there");
    day.start_get(1, 1);
    assert_snapshot!(day.trace.lines);
}

#[test]
fn one_part_tells_the_sending_time_of_the_others_where_sizes_are_untold() {
    let mut day = RouterRig::new(settings());
    let part = |part, object| Get { ds: 0, object, part, viewer_timeout: ms(5000), ..Get::default() };
    for object in [1, 2] {
        day.round(|round| round.on_get(part(0, object)));
        day.end_forward(0, 0, End::Returned, Note::Hit, if object == 1 { 1500 } else { 50 });
    }
    for object in [1, 2] {
        day.trace.comment(&format!("parts of object {object} at once"));
        (1..6).for_each(|next| day.round(|round| round.on_get(part(next, object))));
    }
    assert_snapshot!(day.trace.lines);
}

#[test]
fn what_no_source_fills_in_time_is_looked_for_at_its_cache_once() {
    let mut day = after_late_fills(Note::Filled, 2500);
    day.trace.comment("fills took twenty-five times their sending time: a hit is returned, a miss shed");
    for (end, note) in [(End::Returned, Note::Hit), (End::Miss, Note::Untold)] {
        let get = day.start_get(0, 100);
        day.end_forward(get, 0, end, note, 100);
    }
    day.trace.comment("the pace is half forgotten in 2 s, so that fills are tried again");
    day.advance(20_000);
    day.start_get(0, 101);
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_parent_whose_fills_hang_is_left_though_caches_answer() {
    let mut day = RouterRig::new(settings());
    for object in 0..24 {
        let get = day.start_get(0, object);
        let hangs = day.trace.last_forward.unwrap().source == PARENTS[0];
        day.now += ms(100);
        for other in 0..6 {
            let hit = day.start_get(1, 1000 + other);
            day.end_forward(hit, 0, End::Returned, Note::Hit, 100);
        }
        day.now += ms(2400);
        day.round(|round| round.on_abandoned(get));
        day.end_forward(get, 0, if hangs { End::Withdrawn } else { End::Returned }, Note::Filled, 2500);
    }
    day.trace = Default::default();
    day.now += ms(1);
    for object in 100..110 {
        day.start_get(1, object);
    }
    assert!(!day.trace.lines.contains("parent 3"));
    assert_snapshot!(day.trace.lines);
}

#[test]
fn a_preempted_cache_its_death_and_its_cold_replacement() {
    let mut day = RouterRig::new(settings());
    day.trace.comment("listed as draining");
    day.apply_host_list(ListUpdate::Changes, &[HostEntry { status: HostStatus::Draining, ..host_entry(0) }]);
    let to = |day: &mut RouterRig, host| {
        let before = day.trace.forwarded_to.iter().filter(|&&h| h == host).count();
        for object in 0..60 {
            let get = day.start_get(1, object);
            day.end_forward(get, 0, End::Returned, Note::Hit, 50);
        }
        day.trace.forwarded_to.iter().filter(|&&h| h == host).count() - before
    };
    assert_eq!(to(&mut day, 0), 0);
    let (gone, new) = (
        HostEntry { status: HostStatus::Removed, ..host_entry(0) },
        HostEntry { zone: 1, kind: 0, weight: 4.0, ..host_entry(6) },
    );
    day.apply_host_list(ListUpdate::Changes, &[gone, HostEntry { start: Start::At(day.now), ..new }]);
    let cold = to(&mut day, 6);
    day.advance(18_000);
    let warm = to(&mut day, 6);
    assert!(0 < cold && cold < warm, "of 60 GETs {cold} go to the cold replacement, {warm} once it is warm");
}

#[test]
fn an_ageing_cache_is_passed_by_as_it_slows_and_its_return_is_cold() {
    let mut told = settings();
    told["weights"] = json!("silent");
    let mut day = RouterRig::new(told);
    let share = |day: &mut RouterRig, spent: u64, end: End| {
        let mut sent = 0;
        for object in 0..60 {
            day.now += ms(20);
            let get = day.start_get(0, object);
            let old = day.trace.last_forward.unwrap().host == 0;
            sent += u32::from(old);
            day.end_forward(
                get,
                0,
                if old { end } else { End::Returned },
                Note::Hit,
                if old { spent } else { 100 },
            );
            day.end_forward(get, 1, End::Returned, Note::Hit, 100);
        }
        sent
    };
    let counts = [
        ("at full pace", share(&mut day, 100, End::Returned)),
        ("ten times slower", share(&mut day, 1000, End::Returned)),
        ("dead", share(&mut day, 1, End::Reset)),
    ];
    let told = counts.map(|(when, sent)| format!("{when}: {sent} of 60 GETs")).join("\n");
    assert_snapshot!(told);
}

#[test]
fn hosts_that_restart_together_get_their_budgets_and_no_more() {
    let (cache, other) = (work_to([0, 1], 0).0, work_to([0, 1], 1).0);
    for work in [cache, other] {
        assert!(work > 0.0 && work * 2.0 <= 2.0 * 0.25 * 4.0, "two routers send a cold cache {work} s each");
    }
}

#[test]
fn odd_settings_and_lists_are_met() {
    let fault = |name: &str, value: serde_json::Value| {
        let mut told = settings();
        let (group, key) = name.split_once('.').unwrap_or(("", name));
        let map = if group.is_empty() { &mut told } else { &mut told[group] };
        map[key] = value;
        Router::new(told.as_object().unwrap(), 7).err().unwrap_or_else(|| "taken".into())
    };
    let faults = [
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
    let told = faults.map(|(name, value)| format!("{name} {value}: {}", fault(name, value.clone())));
    let mut day = RouterRig::new(settings());
    day.trace.comment("an emptied list, then one in reverse order");
    day.apply_host_list(ListUpdate::Full, &[]);
    day.start_get(0, 1);
    day.apply_host_list(ListUpdate::Full, &(0..6).rev().map(host_entry).collect::<Vec<_>>());
    day.start_get(0, 1);
    day.trace.comment("without parents the origin fills, with one cache it gets all");
    day.apply_host_list(ListUpdate::Full, &[host_entry(1), host_entry(ORIGIN)]);
    day.start_get(0, 1);
    assert_snapshot!(told.join("\n") + "\n" + &day.trace.lines);
}

#[test]
fn a_location_of_many_caches_leaves_none_out() {
    let mut day = RouterRig::new(settings());
    let many: Vec<_> =
        (6..206).map(|host| HostEntry { zone: 1, kind: 0, weight: 4.0, ..host_entry(host) }).collect();
    day.apply_host_list(ListUpdate::Changes, &many);
    for object in 0..4000 {
        let get = day.start_get(1, object);
        day.end_forward(get, 0, End::Returned, Note::Hit, 50);
    }
    let mut met = std::mem::take(&mut day.trace.forwarded_to);
    met.sort_unstable();
    met.dedup();
    assert_eq!(met.len(), 203, "caches that were asked, of 203");
}
