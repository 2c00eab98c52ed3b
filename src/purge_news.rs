//! Purges that may be in force without having been received, because the change log is silent, slow or down. Copies
//! that such a purge could forbid are not accepted.
//!
//! A purge counts as known once it is in the change log and the router has polled for it, also if the answer is late.
//! If the poll's connection is lost, it counts as known somewhat later, so it does after a reload of the configuration,
//! and in any case after `MAX_TIME_TO_KNOWN`. It is in force one grace period after that.

use crate::settings::{self, Settings};
use std::time::Duration;

/// Time from when an answer is due until the poll counts as unanswered, and is sent again. It covers the delays of the
/// network, of both programs and of a busy machine while the change log is sound.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time after the grace period within which copies are still accepted on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// A purge that a poll would have told counts as known this long after the loss of the poll, or after its answer was due.
const TIME_TO_KNOWN_AFTER_LOSS: Duration = Duration::from_millis(2000);
/// All that the change log has at this time after a reload (SIGHUP) counts as known then.
const TIME_TO_KNOWN_AFTER_RELOAD: Duration = Duration::from_millis(4000);
/// Reloads within this time count as one, so that few are kept.
const RELOAD_MERGE_TIME: Duration = Duration::from_millis(50);
/// A purge counts as known after this long, however it fares.
const MAX_TIME_TO_KNOWN: Duration = Duration::from_millis(7000);

/// Purges up to a time that were not received, and when they are in force at the earliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnknownPurges {
    until: Duration,
    in_force_from: Duration,
    /// The answer to a poll that was sent at this time or later has told all of them.
    told_by_poll_at: Duration,
    cause: Cause,
}

impl UnknownPurges {
    fn is_in_force(&self, now: Duration) -> bool {
        self.in_force_from <= now
    }

    /// Whether the answer to a poll that was sent at a time has told all of these purges. What an unanswered poll would
    /// have told at its due time is told by its own answer, or by that to a poll which was sent no earlier than then.
    fn is_told_by_answer(&self, sent_at: Duration) -> bool {
        let is_other_poll = self.told_by_poll_at < sent_at;
        let is_due_later = self.cause == Cause::AnswerOverdue && self.until > sent_at;
        self.told_by_poll_at <= sent_at && !(is_other_poll && is_due_later)
    }

    /// Whether these purges include others, and only a poll that tells these tells the others as well.
    fn covers(&self, other: &Self) -> bool {
        other.until <= self.until && other.is_told_by_answer(self.told_by_poll_at)
    }
}

/// Why purges up to a time are unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The poll sent at that time is not answered yet.
    PollUnanswered,
    /// The answer to a poll was due at that time, and has not come.
    AnswerOverdue,
    /// A poll was lost at that time.
    PollLost,
    /// The configuration was reloaded some time before.
    Reload,
    /// The process did not run until then.
    Pause,
    /// An answer that came at that time was not applied.
    AnswerRejected,
    /// Events of the change log are missing for good.
    EventsMissed,
}

/// When something happened that the process may have noticed late, since it did not run all the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTime {
    pub earliest: Duration,
    /// When it was noticed.
    pub latest: Duration,
}

/// What a reload asks of the change log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReloadTerms {
    /// From this time on, copies are refused that purges may forbid which were not received.
    pub refused_from: Duration,
    /// The answer to a poll that is sent at this time or later ends that.
    pub heard_by_poll_at: Duration,
}

/// Copies that are refused from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyRefusal {
    /// Copies from before this time are refused.
    pub copies_before: Duration,
    pub in_force_from: Duration,
}

/// Copies older than an age, which are refused from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeRefusal {
    pub max_age: Duration,
    pub in_force_from: Duration,
}

/// Which copies are refused now, and which will be unless the change log is heard before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalForecast {
    /// The refusal that is in force now.
    pub current: Option<CopyRefusal>,
    /// All later refusals in one: it is in force as early as the first and refuses as much as the strictest.
    pub upcoming: Option<CopyRefusal>,
    /// Set if caches keep copies for long enough.
    pub by_age: Option<AgeRefusal>,
}

/// Which purges are known, from the polls of the change log and their answers.
#[derive(Clone, Debug)]
pub struct PurgeNews {
    /// Time within which a known purge must be obeyed.
    grace: Duration,
    /// After this long, no cache holds a copy that a purge forbids.
    max_copy_lifetime: Duration,
    /// All purges up to this time were received.
    known_until: Duration,
    /// Since this time the process runs again after a pause.
    resumed_at: Duration,
    unknown: Vec<UnknownPurges>,
}

impl PurgeNews {
    /// Creates the state of a router that was started at `now` with all purges until then.
    pub fn new(settings: &Settings, now: Duration) -> Self {
        let grace = settings::duration(settings, "domain.obey_after_ms").unwrap_or_default();
        Self::with_grace(grace, settings, now)
    }

    /// Creates the same state with a grace that the settings do not tell.
    pub fn with_grace(grace: Duration, settings: &Settings, now: Duration) -> Self {
        let max_copy_lifetime = settings::duration(settings, "domain.gone_everywhere_ms");
        Self {
            grace,
            max_copy_lifetime: max_copy_lifetime.unwrap_or(Duration::MAX),
            known_until: now,
            resumed_at: Duration::ZERO,
            unknown: Vec::new(),
        }
    }

    /// A poll was sent, whose answer is due at a time if there are no events.
    pub fn on_poll_sent(&mut self, sent_at: Duration, answer_due_at: Duration) {
        let in_force_from = (answer_due_at + ANSWER_MARGIN).max(sent_at + self.grace + SOCKET_SLACK);
        self.unknown.push(UnknownPurges {
            until: sent_at,
            in_force_from,
            told_by_poll_at: sent_at,
            cause: Cause::PollUnanswered,
        });
        self.unknown.push(UnknownPurges {
            until: answer_due_at,
            in_force_from: answer_due_at + TIME_TO_KNOWN_AFTER_LOSS + self.grace,
            told_by_poll_at: sent_at,
            cause: Cause::AnswerOverdue,
        });
    }

    /// A poll was answered in whole: all purges until it was sent were received.
    pub fn on_poll_answered(&mut self, sent_at: Duration) {
        self.known_until = self.known_until.max(sent_at);
        self.unknown.retain(|unknown| !unknown.is_told_by_answer(sent_at));
    }

    /// The connection of an unanswered poll was lost.
    pub fn on_poll_lost(&mut self, sent_at: Duration, lost: EventTime) {
        // What was in force when the loss was noticed stays: other entries may have been dropped for it.
        let is_replaced = |unknown: &UnknownPurges| {
            let is_of_poll = unknown.told_by_poll_at == sent_at;
            let is_not_in_force = unknown.in_force_from > lost.latest;
            match unknown.cause {
                Cause::PollUnanswered => is_of_poll && is_not_in_force,
                Cause::AnswerOverdue => is_of_poll && is_not_in_force && unknown.until > lost.earliest,
                Cause::PollLost
                | Cause::Reload
                | Cause::Pause
                | Cause::AnswerRejected
                | Cause::EventsMissed => false,
            }
        };
        self.unknown.retain(|unknown| !is_replaced(unknown));
        let in_force_from = lost.earliest + TIME_TO_KNOWN_AFTER_LOSS + self.grace;
        self.unknown.push(UnknownPurges {
            until: lost.latest,
            in_force_from,
            told_by_poll_at: lost.latest,
            cause: Cause::PollLost,
        });
    }

    /// The answer to a poll came and was not applied: what it told counts as known.
    pub fn on_answer_rejected(&mut self, sent_at: Duration, received_at: Duration) {
        self.unknown.push(UnknownPurges {
            until: received_at,
            in_force_from: sent_at + self.grace + SOCKET_SLACK,
            told_by_poll_at: received_at,
            cause: Cause::AnswerRejected,
        });
    }

    /// Purges are missing from the answer to a poll, and no other will tell them. What earlier polls should have told
    /// may be among them.
    pub fn on_events_missed(&mut self, sent_at: Duration, received_at: Duration) {
        let earlier = self.unknown.iter().filter(|unknown| unknown.told_by_poll_at <= sent_at);
        let earlier_in_force_from = earlier.map(|unknown| unknown.in_force_from).min();
        let in_force_from = sent_at + self.grace + SOCKET_SLACK;
        self.unknown.push(UnknownPurges {
            until: received_at,
            in_force_from: earlier_in_force_from.map_or(in_force_from, |earlier| earlier.min(in_force_from)),
            told_by_poll_at: Duration::MAX,
            cause: Cause::EventsMissed,
        });
    }

    /// The configuration was reloaded, whatever it names. The change log may have moved, and what it has a while later
    /// counts as known then.
    pub fn on_reload(&mut self, reloaded: EventTime) -> ReloadTerms {
        let known_at = reloaded.latest + TIME_TO_KNOWN_AFTER_RELOAD;
        let in_force_from = reloaded.earliest + TIME_TO_KNOWN_AFTER_RELOAD + self.grace + SOCKET_SLACK;
        let is_merged = |unknown: &&mut UnknownPurges| {
            unknown.cause == Cause::Reload && in_force_from < unknown.in_force_from + RELOAD_MERGE_TIME
        };
        match self.unknown.iter_mut().rev().find(is_merged) {
            Some(last) => (last.until, last.told_by_poll_at) = (known_at, known_at),
            None => self.unknown.push(UnknownPurges {
                until: known_at,
                in_force_from,
                told_by_poll_at: known_at,
                cause: Cause::Reload,
            }),
        }
        ReloadTerms { refused_from: in_force_from, heard_by_poll_at: known_at }
    }

    /// The earliest time, after the last poll was sent, from which on a poll has to be answered soon so that no copies
    /// are refused.
    pub fn poll_wanted_at(&self, last_sent_at: Duration) -> Option<Duration> {
        let reloads = self.unknown.iter().filter(|unknown| unknown.cause == Cause::Reload);
        reloads.map(|unknown| unknown.told_by_poll_at).filter(|&at| at > last_sent_at).min()
    }

    /// The process runs again after a pause, in which purges may have come into force.
    pub fn on_resumed(&mut self, now: Duration) {
        self.resumed_at = now;
        self.unknown.push(UnknownPurges {
            until: now,
            in_force_from: now,
            told_by_poll_at: now,
            cause: Cause::Pause,
        });
    }

    /// Whether no poll that was sent after the last pause has been answered yet.
    pub fn is_resync_pending(&self) -> bool {
        self.known_until < self.resumed_at
    }

    /// All purges up to this time were received.
    pub fn known_until(&self) -> Duration {
        self.known_until
    }

    /// Time since which all purges were received.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.known_until)
    }

    /// The refusals that are in force now or will be by a time, unless the change log is heard before.
    pub fn forecast(&self, now: Duration, by: Duration) -> RefusalForecast {
        let refusals = self.unknown.iter().filter(|unknown| unknown.in_force_from <= by);
        let lasting = refusals.filter(|unknown| now < self.gone_everywhere_at(unknown.until));
        let (current, upcoming): (Vec<&UnknownPurges>, Vec<_>) =
            lasting.partition(|unknown| unknown.is_in_force(now));
        RefusalForecast {
            current: merged_refusal(&current),
            upcoming: merged_refusal(&upcoming),
            by_age: self.refusal_by_age().filter(|refusal| refusal.in_force_from <= by),
        }
    }

    /// The refusal of copies that a purge may forbid which counts as known after `MAX_TIME_TO_KNOWN`. `None` if no cache
    /// keeps a copy for so long.
    fn refusal_by_age(&self) -> Option<AgeRefusal> {
        let max_age = MAX_TIME_TO_KNOWN + self.grace;
        let in_force_from = self.known_until + max_age;
        (self.max_copy_lifetime > max_age).then_some(AgeRefusal { max_age, in_force_from })
    }

    /// From this time on, no cache holds a copy that a purge forbids which was made by a time.
    fn gone_everywhere_at(&self, purged_until: Duration) -> Duration {
        purged_until.saturating_add(self.max_copy_lifetime)
    }

    /// The time up to which purges may be in force that were not received; `None` if there is none that a cached copy
    /// could contradict.
    pub fn in_force_until(&mut self, now: Duration) -> Option<Duration> {
        let in_force = self.unknown.iter().filter(|unknown| unknown.is_in_force(now));
        let newest = in_force.copied().max_by_key(|unknown| (unknown.until, unknown.told_by_poll_at));
        if let Some(newest) = newest {
            self.unknown.retain(|unknown| *unknown == newest || !newest.covers(unknown));
        }
        let max_copy_lifetime = self.max_copy_lifetime;
        let is_over = |until: Duration| now >= until.saturating_add(max_copy_lifetime);
        self.unknown.retain(|unknown| unknown.cause != Cause::EventsMissed || !is_over(unknown.until));
        let polled_until = newest.map(|unknown| unknown.until);
        let unpolled_until =
            now.checked_sub(MAX_TIME_TO_KNOWN + self.grace).filter(|&until| until > self.known_until);
        let until = polled_until.max(unpolled_until)?;
        (now < self.gone_everywhere_at(until)).then_some(until)
    }
}

/// The refusal that is in force as early as the first of some, and refuses as much as the strictest.
fn merged_refusal(unknown: &[&UnknownPurges]) -> Option<CopyRefusal> {
    Some(CopyRefusal {
        copies_before: unknown.iter().map(|unknown| unknown.until).max()?,
        in_force_from: unknown.iter().map(|unknown| unknown.in_force_from).min()?,
    })
}
