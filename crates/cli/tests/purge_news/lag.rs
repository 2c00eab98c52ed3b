//! How late the machine wakes threads, which no program can help.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Records how late the machine wakes a thread.
pub struct LagWatch {
    is_stopped: Arc<AtomicBool>,
    thread: thread::JoinHandle<Vec<(Instant, Duration)>>,
}

impl LagWatch {
    const INTERVAL: Duration = Duration::from_millis(2);

    /// Starts to record in a thread of its own.
    pub fn start() -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let is_over = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            let mut lags = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let slept_at = Instant::now();
                sleep(Self::INTERVAL);
                lags.push((Instant::now(), slept_at.elapsed() - Self::INTERVAL));
            }
            lags
        });
        Self { is_stopped, thread }
    }

    /// Stops, and returns the lags with the times at which they ended.
    pub fn stop(self) -> Vec<(Instant, Duration)> {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}

/// The longest lag that ended within a short time before a moment, or in it.
pub fn lag_around(lags: &[(Instant, Duration)], at: Instant) -> Duration {
    const SPAN: Duration = Duration::from_millis(100);
    let from = lags.partition_point(|&(ended_at, _)| ended_at + SPAN < at);
    let near = lags[from..].iter().take_while(|&&(ended_at, lag)| ended_at <= at + lag + LagWatch::INTERVAL);
    near.map(|&(_, lag)| lag).max().unwrap_or_default()
}
