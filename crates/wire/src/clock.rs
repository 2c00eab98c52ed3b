//! Monotonic time, as a span since an epoch one hour before the start of the program. No decision depends on a wall
//! clock: timestamps of other machines are converted into claims here and nowhere else.

use myrtlegauge::host_life::StartClaim;
use myrtlegauge::interface::duration_from_ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What lies before the start is a span, too.
const BEFORE: Duration = Duration::from_secs(3600);

/// Monotonic clock that also converts Unix timestamps of other machines.
pub struct Clock {
    start: Instant,
    /// This machine's wall clock at the start, as it was then: steps since are not followed.
    start_unix: Duration,
    /// What Unix time is ahead of `now` at least, as far as this machine's clock and the stamps of others agree.
    unix_offset: Duration,
}

impl Clock {
    /// Starts the clock, with the wall clock of this moment as its Unix reference.
    pub fn start() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix, unix_offset: Duration::ZERO }
    }

    /// The time since the epoch.
    pub fn now(&self) -> Duration {
        BEFORE + self.start.elapsed()
    }

    /// Records a timestamp of another machine, in Unix milliseconds. The time that it names has passed.
    pub fn record_remote_timestamp(&mut self, unix_ms: f64, now: Duration) {
        let past = duration_from_ms(unix_ms).min(self.unix(now));
        self.unix_offset = self.unix_offset.max(past.saturating_sub(now));
    }

    /// A lower bound of the offset from `now` to Unix time, confirmed by the clocks of two machines. Zero if no
    /// timestamp was recorded.
    pub fn unix_offset(&self) -> Duration {
        self.unix_offset
    }

    /// The claim that a start timestamp of another machine makes at `now`. A timestamp ahead of this machine's clock
    /// claims an age of zero. One that is not a valid time, or lies before 1970, claims no start.
    pub fn start_claim(&self, unix_ms: f64, now: Duration) -> StartClaim {
        let stamp = duration_from_ms(unix_ms);
        StartClaim { unix_ms: stamp.as_millis() as u64, age: self.unix(now).saturating_sub(stamp) }
    }

    /// Converts a time to Unix milliseconds, which other programs can compare. Zero stands for no time and stays zero.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        if at.is_zero() { 0 } else { self.unix(at).as_millis() as u64 }
    }

    fn unix(&self, at: Duration) -> Duration {
        (self.start_unix + at).saturating_sub(BEFORE)
    }
}
