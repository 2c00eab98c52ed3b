//! Which purges may be in force without having been received, judged by the times of the platform's pages.

mod common;
#[path = "common/drawn_polls.rs"]
mod drawn_polls;

use common::{DispatcherRig, ms, object_request, settings};
use drawn_polls::{
    Fate, GONE_AFTER, GRACE, KNOWN_AFTER_LOSS, KNOWN_AT_LATEST, MAX_LATE_MS, Poll, SOCKET_SLACK, WAIT,
    known_by_poll, polls,
};
use myrtlegauge::purge_news::{EventTime, PurgeNews};
use proptest::prelude::*;
use serde_json::json;
use std::time::{Duration, Instant};

const KNOWN_AFTER_RELOAD: Duration = Duration::from_millis(4000);
/// A network round trip and the work of both programs.
const MAX_ROUND_TRIP_MS: u64 = 40;

/// A reload (SIGHUP), which may be noticed late.
#[derive(Clone, Copy, Debug)]
struct Reload {
    at: Duration,
    noticed: EventTime,
}

/// Reloads in quick and in slow succession.
fn reloads(max_late_ms: u64) -> impl Strategy<Value = Vec<Reload>> {
    let gap_ms = prop_oneof![1..100u64, 50..4000u64, 4000..12_000u64];
    prop::collection::vec((gap_ms, 0..=max_late_ms, 0..=max_late_ms), 0..6).prop_map(|drawn| {
        let mut at = Duration::ZERO;
        let reload = |(gap_ms, early_ms, late_ms)| {
            at += ms(gap_ms);
            let noticed = EventTime { earliest: at.saturating_sub(ms(early_ms)), latest: at + ms(late_ms) };
            Reload { at, noticed }
        };
        drawn.into_iter().map(reload).collect()
    })
}

/// From when a purge is in force, by the pages: it counts as known by a poll, 4 s after a reload, if the change log has it by
/// then, and 7 s after it was made at the latest.
fn in_force_from(polls: &[Poll], reloads: &[Reload], purged_at: Duration, now: Duration) -> Duration {
    let known_by_reload = |reload: &Reload| {
        let known_at = reload.at + KNOWN_AFTER_RELOAD;
        (known_at >= purged_at).then_some(known_at)
    };
    let known_by_polls = polls.iter().filter_map(|poll| known_by_poll(poll, purged_at, now));
    let known_at = known_by_polls.chain(reloads.iter().filter_map(known_by_reload)).min();
    known_at.unwrap_or(Duration::MAX).min(purged_at + KNOWN_AT_LATEST) + GRACE
}

/// What happens to the state of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sent,
    Reload { earliest: Duration },
    Answered { sent_at: Duration },
    Lost { sent_at: Duration, earliest: Duration },
}

/// All events up to a time, in their order.
fn events_until(polls: &[Poll], reloads: &[Reload], now: Duration) -> Vec<(Duration, Event)> {
    let sent = polls.iter().map(|poll| (poll.sent_at, Event::Sent));
    let ended = polls.iter().filter_map(|&Poll { sent_at, fate }| match fate {
        Fate::Answered { after_ms } => Some((sent_at + ms(after_ms), Event::Answered { sent_at })),
        Fate::Lost { after_ms, noticed_late_ms } => {
            let earliest = sent_at + ms(after_ms);
            Some((earliest + ms(noticed_late_ms), Event::Lost { sent_at, earliest }))
        }
        Fate::Unanswered => None,
    });
    let reloaded = reloads
        .iter()
        .map(|&Reload { noticed: EventTime { earliest, latest }, .. }| (latest, Event::Reload { earliest }));
    let mut events: Vec<_> = sent.chain(ended).chain(reloaded).filter(|&(at, _)| at <= now).collect();
    events.sort();
    events
}

/// The state at a time, with what has happened by then, and up to when all purges were received.
fn state_at(polls: &[Poll], reloads: &[Reload], now: Duration) -> (PurgeNews, Duration) {
    let mut news = new_state();
    let mut known_until = Duration::ZERO;
    for (at, event) in events_until(polls, reloads, now) {
        news.in_force_until(at);
        match event {
            Event::Sent => news.on_poll_sent(at, at + WAIT),
            Event::Reload { earliest } => _ = news.on_reload(EventTime { earliest, latest: at }),
            Event::Answered { sent_at } => {
                news.on_poll_answered(sent_at);
                known_until = known_until.max(sent_at);
            }
            Event::Lost { sent_at, earliest } => {
                news.on_poll_lost(sent_at, EventTime { earliest, latest: at });
            }
        }
    }
    (news, known_until)
}

fn new_state() -> PurgeNews {
    PurgeNews::new(settings().as_object().unwrap(), Duration::ZERO)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Guards against copies from before a purge that counts as told, whatever becomes of the polls that would have told it
    /// and however often the configuration is reloaded (review case 8).
    #[test]
    fn no_copy_is_accepted_that_an_unheard_purge_in_force_forbids(
        polls in polls(),
        reloads in reloads(MAX_LATE_MS),
        purged_ms in 1..30_000u64,
        now_ms in 1..40_000u64,
    ) {
        let (purged_at, now) = (ms(purged_ms), ms(now_ms));
        let (mut news, known_until) = state_at(&polls, &reloads, now);
        let polls: Vec<Poll> = polls.into_iter().filter(|poll| poll.sent_at <= now).collect();
        let reloads: Vec<Reload> = reloads.into_iter().filter(|reload| reload.noticed.latest <= now).collect();
        let is_in_force = now >= in_force_from(&polls, &reloads, purged_at, now) + SOCKET_SLACK;
        let is_anywhere = now < purged_at + GONE_AFTER;
        if purged_at > known_until && is_in_force && is_anywhere {
            let refused_until = news.in_force_until(now);
            prop_assert!(refused_until >= Some(purged_at), "copies are accepted from {refused_until:?} on");
        }
    }

    /// Guards against a sound change log that costs copies, also after reloads: each poll is answered when its wait is over.
    #[test]
    fn while_polls_are_answered_in_time_every_copy_is_accepted(
        delays_ms in prop::collection::vec(0..(WAIT.as_millis() as u64 + MAX_ROUND_TRIP_MS), 1..80),
        reloads in reloads(0),
    ) {
        let mut news = new_state();
        let mut now = Duration::ZERO;
        let mut reloads = reloads.into_iter().peekable();
        for delay_ms in delays_ms {
            while let Some(reload) = reloads.next_if(|reload| reload.at <= now) {
                news.on_reload(reload.noticed);
            }
            let until_wanted = news.poll_wanted_at(now).map(|at| at.saturating_sub(now));
            let wait = until_wanted.unwrap_or(WAIT).min(WAIT).max(ms(1));
            news.on_poll_sent(now, now + wait);
            let sent_at = now;
            now += ms(delay_ms).min(wait + ms(MAX_ROUND_TRIP_MS));
            prop_assert_eq!(news.in_force_until(now), None);
            news.on_poll_answered(sent_at);
        }
    }
}

/// Guards against a purge that only an earlier poll would have told, which stays unanswered: the answer to a later poll settled
/// both, though the purge came after it.
#[test]
fn an_answer_settles_nothing_that_an_earlier_poll_would_have_told_after_it() {
    let mut news = new_state();
    let (first, second) = (ms(1000), ms(1100));
    news.on_poll_sent(first, first + WAIT);
    news.on_poll_sent(second, second + WAIT);
    news.on_poll_answered(second);
    let purged_at = first + WAIT;
    let in_force_from = first + WAIT + KNOWN_AFTER_LOSS + GRACE + SOCKET_SLACK;
    assert!(news.in_force_until(in_force_from) >= Some(purged_at));
}

/// The oldest copy that the last forward of the trace accepts, in milliseconds.
fn last_accepted_age_ms(rig: &DispatcherRig) -> u64 {
    let after = rig.trace.rsplit_once("cap=").expect("a forward with an accepted age").1;
    after.split(|character: char| !character.is_ascii_digit()).next().unwrap().parse().expect("milliseconds")
}

/// Guards against the entry of KNOWN-RED.txt on a silent change log: nothing refused old copies while no poll was answered.
#[test]
fn copies_older_than_an_unanswered_poll_are_refused_until_one_is_answered() {
    const FRESH_MS: u64 = 5000;
    let mut rig = DispatcherRig::new();
    let empty = json!({"seq": 1, "results": []}).to_string();
    rig.answer_poll(&empty);
    rig.run_for_ms(50);
    rig.send_get(1, "photo", &[]);
    rig.wait_for_lines(1);
    assert_eq!(last_accepted_age_ms(&rig), FRESH_MS);
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    rig.comment("the change log falls silent");
    rig.run_for_ms(1500);
    rig.send_get(2, "photo", &[]);
    rig.wait_for_lines(1);
    let accepted_ms = last_accepted_age_ms(&rig);
    assert!((1000..FRESH_MS / 2).contains(&accepted_ms), "a copy of {accepted_ms} ms is accepted");
    rig.answer(2, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    rig.answer_poll(&empty);
    rig.run_for_ms(50);
    rig.send_get(3, "photo", &[]);
    rig.wait_for_lines(1);
    assert_eq!(last_accepted_age_ms(&rig), FRESH_MS);
}

/// Guards against review case 8: nothing refused copies from before a purge that a change log named by a reload had, since the
/// reload found no poll outstanding. By the pages all counts as told 4 s after each reload.
#[test]
fn copies_older_than_a_reload_are_refused_once_what_the_new_change_log_has_counts_as_told() {
    const FRESH_MS: u64 = 5000;
    let mut rig = DispatcherRig::new();
    rig.answer_poll(&json!({"seq": 1, "results": []}).to_string());
    rig.run_for_ms(50);
    for _ in 0..2 {
        rig.run_for_ms(600);
        rig.move_changelog();
        rig.set_changelog_refusing(true);
    }
    rig.run_for_ms(5050);
    send_get_on_new_connection(&mut rig, 1);
    rig.wait_for_lines(1);
    let accepted_ms = last_accepted_age_ms(&rig);
    assert!(accepted_ms < 1500, "a copy of {accepted_ms} ms is accepted");
    rig.answer(1, "200", "why=TCP_HIT", "the bytes");
    rig.wait_for_lines(1);
    rig.comment("the change log comes up and tells that there was nothing");
    rig.set_changelog_refusing(false);
    rig.answer_poll(&json!({"seq": 1, "results": []}).to_string());
    rig.run_for_ms(50);
    send_get_on_new_connection(&mut rig, 2);
    rig.wait_for_lines(1);
    assert_eq!(last_accepted_age_ms(&rig), FRESH_MS);
}

/// Sends a GET of a client that was not there before. One that sends nothing for long is closed.
fn send_get_on_new_connection(rig: &mut DispatcherRig, number: u16) {
    let client = rig.connect_client();
    rig.write(client, &object_request(number, "photo", &[], b""));
}

/// Guards against copies refused after a reload although the new change log is up: it is polled in time, and not once more than
/// that.
#[test]
fn with_the_new_change_log_up_a_reload_costs_no_copies() {
    const FRESH_MS: u64 = 5000;
    let mut rig = DispatcherRig::new();
    let empty = json!({"seq": 1, "results": []}).to_string();
    rig.answer_poll(&empty);
    rig.move_changelog();
    let reloaded_at = Instant::now();
    let mut polls = 0;
    while reloaded_at.elapsed() < ms(5600) {
        rig.trace_poll();
        polls += 1;
        let wait_ms = last_poll_wait_ms(&rig);
        rig.run_for_ms(wait_ms);
        rig.answer_poll(&empty);
        rig.run_for_ms(1);
        rig.send_get(polls, "photo", &[]);
        rig.wait_for_lines(1);
        assert_eq!(last_accepted_age_ms(&rig), FRESH_MS, "{:?} after the reload", reloaded_at.elapsed());
        rig.answer(polls, "200", "why=TCP_HIT", "the bytes");
        rig.wait_for_lines(1);
    }
    assert!(polls <= 16, "{polls} polls in 5.6 s");
}

/// The wait that the last poll of the trace requests.
fn last_poll_wait_ms(rig: &DispatcherRig) -> u64 {
    let after = rig.trace.rsplit_once("timeout=").expect("a poll").1;
    after.split(' ').next().unwrap().parse().expect("milliseconds")
}

/// Guards against copies from before a purge that was among events which the change log no longer has: nothing refused them,
/// although the dispatcher knew that events are missing for good.
#[test]
fn copies_from_before_events_that_are_missing_for_good_are_refused() {
    let mut rig = DispatcherRig::new();
    rig.answer_poll(&json!({"seq": 1, "results": []}).to_string());
    rig.wait_for_poll();
    let other_purge = json!({"seq": 5, "invalidate": {"bucket": 99, "time": 0}});
    let gap = json!({"seq": 5, "results": [other_purge]}).to_string();
    rig.answer_poll(&gap);
    rig.trace_poll();
    rig.answer_poll(&gap);
    for _ in 0..3 {
        rig.wait_for_poll();
        rig.run_for_ms(400);
        rig.answer_poll(&json!({"seq": 5, "results": []}).to_string());
    }
    rig.run_for_ms(50);
    send_get_on_new_connection(&mut rig, 1);
    rig.wait_for_lines(1);
    let accepted_ms = last_accepted_age_ms(&rig);
    assert!((1000..2000).contains(&accepted_ms), "a copy of {accepted_ms} ms is accepted");
}
