//! How a dispatcher ends, as a state machine without I/O: time comes in, the state comes out.
//!
//! | state | clients' connections | GETs | leaves it |
//! | --- | --- | --- | --- |
//! | serving | taken | taken | asked to end |
//! | draining | taken; `/health` answers 503 | taken, with no more time than is left | no more are to come, by the page |
//! | closing | the listener is closed once its queue is empty; each is closed in steps once it is quiet | refused as overloaded, never forwarded | all are closed, or the end is near |
//! | done | none | none | |
//!
//! Asked once more, whatever the state, it goes on as it is.

use std::time::Duration;

/// Requests come for so long after a restart is asked for, by the protocol page: new connections for 0.4 s, requests on
/// open ones for 0.2 s more; and 0.1 s beside, for one that was on its way over a slow network.
const TAKES_FOR: Duration = Duration::from_millis(700);
/// The process is killed no earlier than the longest deadline after it was asked, which counts as this where it is longer,
const KILLED_AFTER_MOST: Duration = Duration::from_millis(3000);
/// and so much more.
const KILLED_AFTER_MORE: Duration = Duration::from_millis(700);
/// The end comes so long before that: a turn of a busy loop, and the way of the last answers.
const SPARE: Duration = Duration::from_millis(100);
/// Before the end, what is still in hand is answered: time for the answers to go out.
const ANSWERS_TAKE: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Closing,
    Done,
}

#[derive(Debug)]
pub struct Lifecycle {
    state: State,
    takes_until: Duration,
    answers_by: Duration,
    ends_by: Duration,
    /// What was in hand as the end came near has been given up.
    gave_up: bool,
}

impl Lifecycle {
    pub fn new() -> Self {
        let never = Duration::MAX;
        Self { state: State::Serving, takes_until: never, answers_by: never, ends_by: never, gave_up: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Asked to end, where no client waits longer than `longest`; false if it was asked before.
    pub fn end(&mut self, now: Duration, longest: Duration) -> bool {
        if self.state != State::Serving {
            return false;
        }
        self.state = State::Draining;
        self.ends_by = now + longest.min(KILLED_AFTER_MOST) + KILLED_AFTER_MORE - SPARE;
        self.takes_until = self.ends_by.min(now + TAKES_FOR);
        self.answers_by = self.ends_by - ANSWERS_TAKE;
        true
    }

    /// When time alone moves it on, or has what is in hand answered.
    pub fn due(&self, now: Duration) -> Duration {
        let moments = [self.takes_until, self.answers_by, self.ends_by];
        moments.into_iter().filter(|&at| at > now).min().unwrap_or(Duration::MAX)
    }

    /// Time for a GET that is taken now, where it is bounded.
    pub fn time_left(&self, now: Duration) -> Duration {
        if self.state == State::Serving { Duration::MAX } else { self.answers_by.saturating_sub(now) }
    }

    /// What is in hand has to be answered now.
    pub fn must_answer(&self, now: Duration) -> bool {
        now >= self.answers_by && !self.gave_up
    }

    /// It was, once and for all: what is taken from then on has no time.
    pub fn gave_up(&mut self) {
        self.gave_up = true;
    }

    /// Moves on to closing, if it is time: all that has come until then was read.
    pub fn may_close(&self, now: Duration) -> bool {
        self.state == State::Draining && now >= self.takes_until
    }

    pub fn close(&mut self) {
        self.state = State::Closing;
    }

    /// Ends where nothing is left of it, or its time is up.
    pub fn turn(&mut self, nothing_left: bool, now: Duration) {
        if self.state == State::Closing && (nothing_left || now >= self.ends_by) {
            self.state = State::Done;
        }
    }
}
