//! Graceful shutdown of a dispatcher, as a state machine without I/O: the caller passes the time in and reads the
//! state.
//!
//! | state | client connections | GETs | left when |
//! | --- | --- | --- | --- |
//! | serving | accepted | taken | shutdown is requested |
//! | draining | accepted; `/health` answers 503 | taken, with at most the remaining time | by the protocol page, no more will come |
//! | closing | the listener is closed once its queue is empty; each connection gets a lingering close once it is idle | refused as overloaded, never forwarded | all are closed, or the shutdown deadline is reached |
//! | done | none | none | |
//!
//! A repeated shutdown request has no effect in any state.

use std::time::Duration;

/// Requests arrive for this long after a restart is requested. By the protocol page, new connections come for 0.4 s
/// and requests on open ones for 0.2 s more; 0.1 s is added for a request delayed by a slow network.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// The process is killed no earlier than the longest client deadline, capped at this value, after the request
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// plus this margin.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Shutdown completes this long before the kill: one iteration of a busy loop and the transit of the last answers.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(100);
/// GETs still in flight are answered this long before shutdown completes, so that the answers can be sent.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(100);

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
    accepts_until: Duration,
    answers_by: Duration,
    ends_by: Duration,
    /// Whether the GETs in flight at the answer deadline have been answered.
    has_answered_rest: bool,
}

impl Lifecycle {
    /// Starts in the serving state.
    pub fn new() -> Self {
        let never = Duration::MAX;
        Self {
            state: State::Serving,
            accepts_until: never,
            answers_by: never,
            ends_by: never,
            has_answered_rest: false,
        }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Starts draining. No client waits longer than `max_client_wait`. Returns false if shutdown was requested before.
    pub fn begin_shutdown(&mut self, now: Duration, max_client_wait: Duration) -> bool {
        if self.state != State::Serving {
            return false;
        }
        self.state = State::Draining;
        self.ends_by = now + max_client_wait.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN - SHUTDOWN_MARGIN;
        self.accepts_until = self.ends_by.min(now + ACCEPT_PERIOD);
        self.answers_by = self.ends_by - FINAL_ANSWER_TIME;
        true
    }

    /// The next time at which the state changes, or the GETs in flight must be answered, without any event.
    pub fn next_deadline(&self, now: Duration) -> Duration {
        let deadlines = [self.accepts_until, self.answers_by, self.ends_by];
        deadlines.into_iter().filter(|&at| at > now).min().unwrap_or(Duration::MAX)
    }

    /// Time available to a GET that is taken now; unlimited while serving.
    pub fn time_left(&self, now: Duration) -> Duration {
        if self.state == State::Serving { Duration::MAX } else { self.answers_by.saturating_sub(now) }
    }

    /// Whether the GETs in flight must be answered now.
    pub fn must_answer(&self, now: Duration) -> bool {
        now >= self.answers_by && !self.has_answered_rest
    }

    /// Records that the GETs in flight were answered. GETs taken after that have no time left.
    pub fn mark_answered(&mut self) {
        self.has_answered_rest = true;
    }

    /// Whether it is time to move on to closing. The caller first reads all that has arrived until then.
    pub fn should_close(&self, now: Duration) -> bool {
        self.state == State::Draining && now >= self.accepts_until
    }

    /// Moves on to closing.
    pub fn close(&mut self) {
        self.state = State::Closing;
    }

    /// Ends closing once nothing is left or the deadline is reached.
    pub fn advance(&mut self, nothing_left: bool, now: Duration) {
        if self.state == State::Closing && (nothing_left || now >= self.ends_by) {
            self.state = State::Done;
        }
    }
}
