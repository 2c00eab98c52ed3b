//! Tells the operator when the change log is not heard any more, why, and when it is heard again.

use std::fmt;
use std::time::Duration;

/// The change log is not heard if no poll has been answered that was sent within this time. A sound one answers a poll
/// within half a second.
const UNHEARD_AFTER: Duration = Duration::from_millis(1500);
/// An answer that takes longer than this is late.
const LATE_AFTER: Duration = Duration::from_millis(750);

/// Why the change log is not heard, or heard late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsFault {
    /// Polls are not answered.
    Silent,
    /// Polls are answered late.
    Late,
    /// Its address refuses connections.
    Refused,
    /// Its connections end before an answer is complete.
    Lost,
    /// Its answers can't be read, or a change is too large.
    Unusable,
}

impl fmt::Display for NewsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "silent",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::Unusable => "unusable",
        })
    }
}

/// Follows whether the change log is heard.
#[derive(Debug, Default)]
pub struct NewsWatch {
    /// The fault that was logged and is not over.
    logged: Option<NewsFault>,
    /// The last fault since the last answer.
    last_fault: Option<NewsFault>,
    /// The longest time since all events were known.
    pub max_age: Duration,
}

impl NewsWatch {
    /// Records a fault of the change log, or of the way to it.
    pub fn on_fault(&mut self, fault: NewsFault) {
        // A poll is overdue in the course of any fault, and tells the least.
        if fault != NewsFault::Silent || self.last_fault.is_none() {
            self.last_fault = Some(fault);
        }
    }

    /// Follows the time since all events were known.
    pub fn on_age(&mut self, age: Duration) {
        self.max_age = self.max_age.max(age);
        if age >= UNHEARD_AFTER && self.logged.is_none() {
            self.log_fault(self.last_fault.unwrap_or(NewsFault::Silent), age);
        }
    }

    /// Handles an answer to a poll that was sent `poll_age` ago, before which the last event was known `age` ago.
    pub fn on_answered(&mut self, poll_age: Duration, age: Duration) {
        self.last_fault = None;
        match self.logged {
            Some(NewsFault::Late) | None if poll_age > LATE_AFTER => {}
            Some(_) if poll_age > LATE_AFTER => self.log_fault(NewsFault::Late, poll_age),
            Some(cause) => {
                let silent_ms = age.as_millis() as u64;
                log::info!(cause:% = cause, silent_ms; "change log heard again");
                self.logged = None;
            }
            None => {}
        }
    }

    fn log_fault(&mut self, cause: NewsFault, age: Duration) {
        let age_ms = age.as_millis() as u64;
        log::warn!(cause:% = cause, age_ms; "change log not heard in time, copies may be refused");
        self.logged = Some(cause);
    }
}
