//! When a purge counts as told, by the protocol pages: once a poll has asked after it or an outstanding poll was answered,
//! 2 s after a break, 2 s after the end of the requested wait of a poll that is not answered, 4 s after SIGHUP, and 7 s
//! after it was made at the latest.

use super::change_log::{History, LogEvent, Purge};
use super::host::Arrival;
use std::fmt;
use std::time::{Duration, Instant};

const TOLD_AFTER_BREAK: Duration = Duration::from_secs(2);
const TOLD_AFTER_STOP: Duration = Duration::from_secs(2);
const TOLD_AFTER_SIGHUP: Duration = Duration::from_secs(4);
const TOLD_AT_LATEST: Duration = Duration::from_secs(7);
/// Time within which a purge that was told must be obeyed (`obey_after_ms`).
const GRACE: Duration = Duration::from_millis(1000);
/// No host holds a purged copy for longer (`gone_everywhere_ms`).
const GONE_AFTER: Duration = Duration::from_millis(6000);
/// Every limit is longer by this on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The unit of accepted ages.
const AGE_RESOLUTION: Duration = Duration::from_millis(1);

/// A request that accepted a copy from before a purge in force.
pub struct LateCopy {
    /// How long after the purge was in force.
    late_by: Duration,
    accepted_age: Option<Duration>,
    purged_ago: Duration,
}

impl fmt::Display for LateCopy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { late_by, accepted_age, purged_ago } = self;
        write!(f, "{late_by:.3?} late, accepts {accepted_age:.3?}, purged {purged_ago:.3?} ago")
    }
}

/// When a purge counts as told.
pub fn told_at(purged_at: Instant, log: &[LogEvent], sighups: &[Instant]) -> Instant {
    let mut told_at = purged_at + TOLD_AT_LATEST;
    let mut tell = |at: Instant| told_at = told_at.min(at.max(purged_at));
    for &sighup in sighups.iter().filter(|&&sighup| purged_at <= sighup + TOLD_AFTER_SIGHUP) {
        tell(sighup + TOLD_AFTER_SIGHUP);
    }
    for (index, &event) in log.iter().enumerate() {
        match event {
            LogEvent::Polled { at, connection, .. } if at >= purged_at => {
                if !is_cut_off(at, connection, &log[index + 1..], sighups) {
                    tell(at);
                }
            }
            LogEvent::Polled { at, wait, connection } => {
                let stopped_at = at + wait + TOLD_AFTER_STOP;
                let has_stopped =
                    !log[index + 1..].iter().any(|later| ends_poll(later, connection, stopped_at));
                if has_stopped && at + wait >= purged_at {
                    tell(stopped_at);
                }
            }
            LogEvent::Broken { at, .. } if at >= purged_at => tell(at + TOLD_AFTER_BREAK),
            LogEvent::Answered { .. } | LogEvent::Broken { .. } | LogEvent::Replaced { .. } => {}
        }
    }
    told_at
}

/// Whether a poll was cut off within its grace: by a break, by a reload, which gives up what it finds unanswered, or by the close
/// of a change log that a reload has replaced. What it would have told counts as told by that event then.
fn is_cut_off(polled_at: Instant, connection: usize, later: &[LogEvent], sighups: &[Instant]) -> bool {
    let within_grace = |&at: &Instant| at >= polled_at && at < polled_at + GRACE + SOCKET_SLACK;
    let answered_at = later.iter().find_map(|event| match *event {
        LogEvent::Answered { at, connection: answered } if answered == connection => Some(at),
        _ => None,
    });
    let broken_at = later.iter().find_map(|event| match *event {
        LogEvent::Broken { at, connection: broken } | LogEvent::Replaced { at, connection: broken } => {
            (broken == connection).then_some(at)
        }
        LogEvent::Polled { .. } | LogEvent::Answered { .. } => None,
    });
    let cut_off_at = sighups.iter().copied().filter(within_grace).chain(broken_at.filter(within_grace)).min();
    cut_off_at.is_some_and(|at| answered_at.is_none_or(|answered_at| at < answered_at))
}

/// Whether the poll of a connection ended by this event, so that it had not stopped by a time.
fn ends_poll(event: &LogEvent, connection: usize, by: Instant) -> bool {
    match *event {
        LogEvent::Answered { at, connection: ended } | LogEvent::Broken { at, connection: ended } => {
            ended == connection && at <= by
        }
        LogEvent::Replaced { connection: ended, .. } => ended == connection,
        LogEvent::Polled { .. } => false,
    }
}

/// The requests for an object that accepted a copy from before its purge once that was in force. `lag_at` tells how late the
/// machine woke threads around a time; a request may have been written that much earlier than it was read.
pub fn late_copies(
    arrivals: &[Arrival],
    (object, purged_at): (u64, Instant),
    told_at: Instant,
    lag_at: impl Fn(Instant) -> Duration,
) -> Vec<LateCopy> {
    let in_force_from = told_at + GRACE + SOCKET_SLACK;
    let of_object = arrivals.iter().filter(|arrival| arrival.object == object);
    let after = of_object.filter(|arrival| {
        arrival.at > in_force_from + lag_at(arrival.at) && arrival.at < purged_at + GONE_AFTER
    });
    let judged = after.map(|arrival| LateCopy {
        late_by: arrival.at - in_force_from,
        accepted_age: arrival.accepted_age,
        purged_ago: arrival.at - purged_at,
    });
    judged.filter(|late| late.accepted_age.is_none_or(|age| age > late.purged_ago + AGE_RESOLUTION)).collect()
}

/// Judges each purge by the requests that came to the host. Returns what was broken.
pub fn judge(
    history: &History,
    sighups: &[Instant],
    arrivals: &[Arrival],
    started_at: Instant,
    lag_at: impl Fn(Instant) -> Duration,
) -> Vec<String> {
    let judge_purge = |&Purge { object, at: purged_at, .. }: &Purge| {
        let told_at = told_at(purged_at, history.log(), sighups);
        let late = late_copies(arrivals, (object, purged_at), told_at, &lag_at);
        let first = late.first()?;
        let (purged, told) = (purged_at - started_at, told_at - started_at);
        Some(format!(
            "object {object}, purged {purged:.2?}, told {told:.2?}: {} late copies, first {first}",
            late.len()
        ))
    };
    history.purges().iter().filter_map(judge_purge).collect()
}
