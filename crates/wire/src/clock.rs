//! Monotonic time, as a duration since an epoch one hour before the start of the program. No decision depends on a wall
//! clock: timestamps of other machines are converted into claims here and nowhere else.

use myrtlegauge::host_life::StartClaim;
use myrtlegauge::interface::duration_from_ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Distance of the epoch from the start of the program, so that times before the start can be expressed as durations,
/// too.
const EPOCH_BEFORE_START: Duration = Duration::from_secs(3600);

/// Monotonic clock that also converts Unix timestamps of other machines.
pub struct Clock {
    start: Instant,
    /// This machine's wall clock at the start. Later steps of the wall clock are ignored.
    start_unix: Duration,
    /// Lower bound of the offset from `now` to Unix time, on which this machine's clock and the timestamps of other
    /// machines agree.
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
        EPOCH_BEFORE_START + self.start.elapsed()
    }

    /// Records a timestamp of another machine, in Unix milliseconds. The time that it names has passed.
    pub fn record_remote_timestamp(&mut self, unix_ms: f64, now: Duration) {
        let passed = duration_from_ms(unix_ms).min(self.unix_time(now));
        self.unix_offset = self.unix_offset.max(passed.saturating_sub(now));
    }

    /// A lower bound of the offset from `now` to Unix time, confirmed by the clocks of two machines. Zero if no
    /// timestamp was recorded.
    pub fn unix_offset(&self) -> Duration {
        self.unix_offset
    }

    /// The claim that a start timestamp of another machine makes at `now`. A timestamp ahead of this machine's clock
    /// claims an age of zero. One that is not a valid time, or lies before 1970, claims no start.
    pub fn start_claim(&self, unix_ms: f64, now: Duration) -> StartClaim {
        let started_at = duration_from_ms(unix_ms);
        StartClaim {
            unix_ms: started_at.as_millis() as u64,
            age: self.unix_time(now).saturating_sub(started_at),
        }
    }

    /// Converts a time to Unix milliseconds, which other programs can compare. Zero stands for no time and stays zero.
    pub fn unix_ms(&self, time: Duration) -> u64 {
        if time.is_zero() { 0 } else { self.unix_time(time).as_millis() as u64 }
    }

    fn unix_time(&self, time: Duration) -> Duration {
        (self.start_unix + time).saturating_sub(EPOCH_BEFORE_START)
    }
}
