//! What a client knows of one dispatcher: its health, the pause that it requested, when to connect to it again, and the
//! credit for retries there.

use crate::terms::Dispatcher;
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// Retry credit that a first attempt adds, and the maximum that is kept. Retries add at most a tenth to the load of the
/// dispatchers, and a client that was idle can't send a burst of them.
const RETRY_CREDIT_PER_CALL: f64 = 0.1;
const MAX_RETRY_CREDIT: f64 = 10.0;
/// Initial credit, which allows a few retries before any first attempt has added to it.
const INITIAL_RETRY_CREDIT: f64 = 3.0;
/// Number of recent outcomes by which a dispatcher is judged. It counts as failed while more than half are failures.
const HEALTH_WINDOW: u32 = 4;
/// Time without GETs before the first trial of a failed dispatcher. Each failed trial doubles it, up to eight times.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Reconnects per second that a dispatcher can take beside its work. It sets the window over which clients that lost a
/// dispatcher at the same instant reconnect.
const RECONNECTS_PER_S: f64 = 4000.0;
/// Reconnect window of a client that shares its dispatcher with no other, and the upper limit of every window.
const MIN_RECONNECT_WINDOW: Duration = Duration::from_millis(50);
const MAX_RECONNECT_WINDOW: Duration = Duration::from_secs(10);
/// A recovered dispatcher gets one GET at a time at first; the limit doubles at each step.
pub(crate) const SLOW_START_STEP: Duration = Duration::from_millis(100);
/// Weight of a new answer time in the moving average.
const ANSWER_TIME_WEIGHT: f64 = 0.1;
/// Lost connections in a row that are counted, and how often they double the reconnect window.
const MAX_COUNTED_LOSSES: u32 = 16;
const MAX_WINDOW_DOUBLINGS: u32 = 8;
/// Steps of a slow start.
const SLOW_START_STEPS: u32 = 8;

/// The state of one dispatcher.
pub(crate) struct DispatcherState {
    pub dispatcher: Dispatcher,
    recent_failures: u32,
    failed_trials: u32,
    backoff_until: Duration,
    /// End of the pause that the dispatcher requested.
    pub pause_until: Duration,
    requested_pause: Duration,
    /// After a lost connection, the earliest time for a new one, and the number of losses in a row.
    pub reconnect_at: Duration,
    consecutive_losses: u32,
    /// Start of the slow start after a recovery.
    pub recovered_at: Option<Duration>,
    pub retry_credit: f64,
    pub mean_answer_s: f64,
}

impl DispatcherState {
    /// The state of a dispatcher of which nothing is known yet.
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self {
            dispatcher,
            recent_failures: 0,
            failed_trials: 0,
            backoff_until: ZERO,
            pause_until: ZERO,
            requested_pause: ZERO,
            reconnect_at: ZERO,
            consecutive_losses: 0,
            recovered_at: None,
            retry_credit: INITIAL_RETRY_CREDIT,
            mean_answer_s: 0.0,
        }
    }

    /// Records an established connection.
    pub fn record_connection(&mut self, now: Duration) {
        if std::mem::take(&mut self.consecutive_losses) > 0 {
            self.recovered_at = Some(now);
        }
    }

    /// Records a lost connection, and draws the time before which none is opened again.
    ///
    /// Keeps a dispatcher that all clients lost at the same instant from getting all their reconnects at once. A client
    /// without others pays for it with the minimum window.
    pub fn record_loss(&mut self, now: Duration, rng: &mut fastrand::Rng) {
        self.consecutive_losses = (self.consecutive_losses + 1).min(MAX_COUNTED_LOSSES);
        let shared_window = Duration::from_secs_f64(f64::from(self.dispatcher.sharers) / RECONNECTS_PER_S);
        let window = (MIN_RECONNECT_WINDOW + shared_window + self.requested_pause)
            .saturating_mul(1 << (self.consecutive_losses - 1).min(MAX_WINDOW_DOUBLINGS));
        self.reconnect_at = now + window.min(MAX_RECONNECT_WINDOW).mul_f64(rng.f64());
    }

    /// Records an answer that returned its call.
    pub fn record_answer(&mut self, answer_time: Duration, now: Duration) {
        let answer_s = answer_time.as_secs_f64();
        self.mean_answer_s = if self.mean_answer_s > 0.0 {
            self.mean_answer_s + ANSWER_TIME_WEIGHT * (answer_s - self.mean_answer_s)
        } else {
            answer_s
        };
        self.record_outcome(true, now);
        self.requested_pause = ZERO;
    }

    /// Records a refusal with the pause that follows it, which binds all calls.
    pub fn record_refusal(&mut self, pause: Duration, now: Duration) {
        self.record_outcome(true, now);
        self.requested_pause = pause;
        self.pause_until = self.pause_until.max(now + pause);
    }

    /// Adds the retry credit of a first attempt.
    pub fn add_retry_credit(&mut self) {
        self.retry_credit = (self.retry_credit + RETRY_CREDIT_PER_CALL).min(MAX_RETRY_CREDIT);
    }

    /// Ends the slow start once all of its steps are over.
    pub fn end_slow_start_if_over(&mut self, now: Duration) {
        let is_over = |recovered_at| now >= recovered_at + SLOW_START_STEP * SLOW_START_STEPS;
        self.recovered_at = self.recovered_at.filter(|&recovered_at| !is_over(recovered_at));
    }

    fn is_failed(&self) -> bool {
        (self.recent_failures & ((1 << HEALTH_WINDOW) - 1)).count_ones() > HEALTH_WINDOW / 2
    }

    /// Records an outcome, to keep calls away from a dispatcher that fails them. Where all dispatchers fail alike this does
    /// harm, but one of them is still tried.
    pub fn record_outcome(&mut self, success: bool, now: Duration) {
        let was_failed = self.is_failed();
        self.recent_failures = self.recent_failures << 1 | u32::from(!success);
        if success {
            self.failed_trials = 0;
            if was_failed && !self.is_failed() {
                self.recovered_at = Some(now);
            }
        } else if self.is_failed() && (!was_failed || now >= self.backoff_until) {
            self.backoff_until = now + FAILURE_BACKOFF * (1 << self.failed_trials);
            self.failed_trials = (self.failed_trials + 1).min(3);
        }
    }

    /// When the dispatcher may be used again after lost connections or failures. Requested pauses are not included.
    pub fn available_at(&self) -> Duration {
        self.reconnect_at.max(if self.is_failed() { self.backoff_until } else { ZERO })
    }

    /// Maximum number of GETs in flight at the dispatcher. Keeps one that has just recovered from being sent all waiting
    /// calls at once.
    pub fn max_in_flight(&self, now: Duration) -> usize {
        if self.is_failed() {
            return 1;
        }
        let steps = self
            .recovered_at
            .map(|recovered_at| now.saturating_sub(recovered_at).div_duration_f64(SLOW_START_STEP) as u32);
        steps.map_or(usize::MAX, |steps| 1 << steps.min(16))
    }
}
