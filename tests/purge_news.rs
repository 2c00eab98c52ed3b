//! Which purges may be in force without having been received, judged by the times of the platform's pages.

mod common;

use common::{DispatcherRig, ms, settings};
use myrtlegauge::purge_news::PurgeNews;
use proptest::prelude::*;
use serde_json::json;
use std::time::Duration;

/// The settings' `obey_after_ms` and `gone_everywhere_ms`.
const GRACE: Duration = Duration::from_millis(1000);
const GONE_AFTER: Duration = Duration::from_millis(6000);
/// The longest wait that a poll requests.
const WAIT: Duration = Duration::from_millis(500);
/// Every limit is longer by this on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
const KNOWN_AFTER_LOSS: Duration = Duration::from_millis(2000);
const KNOWN_AT_LATEST: Duration = Duration::from_millis(7000);

/// What becomes of a poll.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered { after_ms: u64 },
    Lost { after_ms: u64 },
    Unanswered,
}

/// A poll that is sent some time after the one before.
#[derive(Clone, Copy, Debug)]
struct Poll {
    sent_at: Duration,
    fate: Fate,
}

fn polls() -> impl Strategy<Value = Vec<Poll>> {
    let fate = prop_oneof![
        (0..3000u64).prop_map(|after_ms| Fate::Answered { after_ms }),
        (0..1500u64).prop_map(|after_ms| Fate::Lost { after_ms }),
        Just(Fate::Unanswered),
    ];
    prop::collection::vec((1..4000u64, fate), 0..12).prop_map(|drawn| {
        let mut sent_at = Duration::ZERO;
        let poll = |(gap_ms, fate)| {
            sent_at += ms(gap_ms);
            Poll { sent_at, fate }
        };
        drawn.into_iter().map(poll).collect()
    })
}

/// From when a purge is in force, by the pages: it counts as told once it was asked for, 2 s after the loss of a poll that
/// would have told it, and 7 s after it was made at the latest.
fn in_force_from(polls: &[Poll], purged_at: Duration) -> Duration {
    let known_by = |poll: &Poll| match poll.fate {
        Fate::Lost { after_ms } if poll.sent_at + ms(after_ms) >= purged_at => {
            Some(poll.sent_at + ms(after_ms) + KNOWN_AFTER_LOSS + GRACE)
        }
        Fate::Lost { .. } => None,
        _ if poll.sent_at >= purged_at => Some((poll.sent_at + GRACE).max(poll.sent_at + WAIT)),
        _ => None,
    };
    let earliest = polls.iter().filter_map(known_by).min().unwrap_or(Duration::MAX);
    earliest.min(purged_at + KNOWN_AT_LATEST + GRACE)
}

/// The state at a time, with what has happened by then.
fn state_at(polls: &[Poll], now: Duration) -> (PurgeNews, Duration) {
    let mut events: Vec<(Duration, u8, Poll)> = Vec::new();
    for &poll in polls {
        events.push((poll.sent_at, 0, poll));
        match poll.fate {
            Fate::Answered { after_ms } | Fate::Lost { after_ms } => {
                events.push((poll.sent_at + ms(after_ms), 1, poll));
            }
            Fate::Unanswered => {}
        }
    }
    events.sort_by_key(|&(at, order, _)| (at, order));
    let mut news = PurgeNews::new(settings().as_object().unwrap(), Duration::ZERO);
    let mut known_until = Duration::ZERO;
    for (at, order, poll) in events.into_iter().filter(|&(at, ..)| at <= now) {
        news.in_force_until(at);
        match poll.fate {
            _ if order == 0 => news.on_poll_sent(poll.sent_at, poll.sent_at + WAIT),
            Fate::Answered { .. } => {
                news.on_poll_answered(poll.sent_at);
                known_until = known_until.max(poll.sent_at);
            }
            _ => news.on_poll_lost(poll.sent_at, at),
        }
    }
    (news, known_until)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against copies from before a purge that counts as told, whatever becomes of the polls that would have told it.
    #[test]
    fn no_copy_is_accepted_that_an_unheard_purge_in_force_forbids(
        polls in polls(),
        purged_ms in 1..30_000u64,
        now_ms in 1..40_000u64,
    ) {
        let (purged_at, now) = (ms(purged_ms), ms(now_ms));
        let (mut news, known_until) = state_at(&polls, now);
        let polls: Vec<Poll> = polls.into_iter().filter(|poll| poll.sent_at <= now).collect();
        let is_in_force = now >= in_force_from(&polls, purged_at) + SOCKET_SLACK;
        let is_anywhere = now < purged_at + GONE_AFTER;
        if purged_at > known_until && is_in_force && is_anywhere {
            let refused_until = news.in_force_until(now);
            prop_assert!(refused_until >= Some(purged_at), "copies are accepted from {refused_until:?} on");
        }
    }

    /// Guards against a sound change log that costs copies: each poll is answered when its wait is over.
    #[test]
    fn while_polls_are_answered_in_time_every_copy_is_accepted(delays_ms in prop::collection::vec(0..540u64, 1..40)) {
        let mut news = PurgeNews::new(settings().as_object().unwrap(), Duration::ZERO);
        let mut now = Duration::ZERO;
        for delay_ms in delays_ms {
            news.on_poll_sent(now, now + WAIT);
            let sent_at = now;
            now += ms(delay_ms);
            prop_assert_eq!(news.in_force_until(now), None);
            news.on_poll_answered(sent_at);
        }
    }
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
