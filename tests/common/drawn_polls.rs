//! Drawn polls of a change log, and when a purge counts as known by them, by the times of the platform's pages.

use proptest::prelude::*;
use std::time::Duration;

/// The settings' `obey_after_ms` and `gone_everywhere_ms`.
pub const GRACE: Duration = Duration::from_millis(1000);
pub const GONE_AFTER: Duration = Duration::from_millis(6000);
/// The longest wait that a poll requests.
pub const WAIT: Duration = Duration::from_millis(500);
/// Every limit is longer by this on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
pub const KNOWN_AFTER_LOSS: Duration = Duration::from_millis(2000);
pub const KNOWN_AT_LATEST: Duration = Duration::from_millis(7000);
/// A process that is stopped for longer notices it.
pub const MAX_LATE_MS: u64 = 700;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// What becomes of a poll.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answered {
        after_ms: u64,
    },
    /// It is noticed late, by a process that was stopped.
    Lost {
        after_ms: u64,
        noticed_late_ms: u64,
    },
    Unanswered,
}

/// A poll that is sent some time after the one before.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    pub sent_at: Duration,
    pub fate: Fate,
}

/// Polls in their order, of a change log that answers, is late, falls silent or breaks off.
pub fn polls() -> impl Strategy<Value = Vec<Poll>> {
    let fate = prop_oneof![
        (0..3000u64).prop_map(|after_ms| Fate::Answered { after_ms }),
        (prop_oneof![0..1500u64, 1500..6000u64], 0..=MAX_LATE_MS)
            .prop_map(|(after_ms, noticed_late_ms)| Fate::Lost { after_ms, noticed_late_ms }),
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

/// When a purge counts as known by a poll, if it does, by the pages: once it was asked for, 2 s after the loss of the poll that
/// would have told it, or 2 s after the end of the requested wait of one that is not answered.
pub fn known_by_poll(poll: &Poll, purged_at: Duration, now: Duration) -> Option<Duration> {
    let due_at = poll.sent_at + WAIT;
    let stopped_at = due_at + KNOWN_AFTER_LOSS;
    let known_by_stop = (due_at >= purged_at).then_some(stopped_at);
    let known_by_asking =
        (poll.sent_at >= purged_at).then_some(poll.sent_at.max(due_at.saturating_sub(GRACE)));
    match poll.fate {
        Fate::Lost { after_ms, .. } => {
            let lost_at = poll.sent_at + ms(after_ms);
            let known_by_loss = (lost_at >= purged_at).then_some(lost_at + KNOWN_AFTER_LOSS);
            known_by_stop.filter(|_| lost_at > stopped_at).into_iter().chain(known_by_loss).min()
        }
        Fate::Answered { after_ms } if poll.sent_at + ms(after_ms) <= now => known_by_asking,
        Fate::Answered { .. } | Fate::Unanswered => known_by_asking.into_iter().chain(known_by_stop).min(),
    }
}
