//! Time as monotonic spans since an epoch that lies an hour before the program's start. Nothing decides by a wall clock: stamps of
//! other machines become claims here, and nowhere else.

use myrtlegauge::host_life::StartClaim;
use myrtlegauge::interface::duration_from_ms;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What lies before the start is a span, too.
const BEFORE: Duration = Duration::from_secs(3600);

pub struct Clock {
    start: Instant,
    /// This machine's wall clock at the start, as it was then: steps since are not followed.
    start_unix: Duration,
    /// What Unix time is ahead of `now` at least, as far as this machine's clock and the stamps of others agree.
    unix_offset: Duration,
}

impl Clock {
    pub fn start() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix, unix_offset: Duration::ZERO }
    }

    pub fn now(&self) -> Duration {
        BEFORE + self.start.elapsed()
    }

    /// Notes a stamp of another machine, in Unix milliseconds: the time that it tells is past.
    pub fn heard(&mut self, unix_ms: f64, now: Duration) {
        let past = duration_from_ms(unix_ms).min(self.unix(now));
        self.unix_offset = self.unix_offset.max(past.saturating_sub(now));
    }

    /// What Unix time is ahead of `now` at least, by two clocks; zero where no stamp was heard.
    pub fn unix_offset(&self) -> Duration {
        self.unix_offset
    }

    /// What another machine's stamp of a host's start claims at `now`. A stamp ahead of this machine's clock claims no age,
    /// one that is no time, or lies before 1970, no start.
    pub fn claim(&self, unix_ms: f64, now: Duration) -> StartClaim {
        let stamp = duration_from_ms(unix_ms);
        StartClaim { unix_ms: stamp.as_millis() as u64, age: self.unix(now).saturating_sub(stamp) }
    }

    /// A moment in Unix milliseconds, for other programs to compare; zero for none.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        if at.is_zero() { 0 } else { self.unix(at).as_millis() as u64 }
    }

    fn unix(&self, at: Duration) -> Duration {
        (self.start_unix + at).saturating_sub(BEFORE)
    }
}
