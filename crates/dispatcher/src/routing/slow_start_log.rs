//! Log of the hosts in slow start: once a second, and only while there is one, a line for each of them.

use super::log_budget::LOG_INTERVAL;
use super::proxy::Proxy;
use myrtlegauge::decide::Router;
use myrtlegauge::slow_start::SlowStartStatus;
use myrtlegauge_recovery::TimeRange;
use std::time::Duration;

/// Maximum number of lines in each interval. Hosts that got most requests come first.
const MAX_LINES: usize = 20;

/// When the next lines are due.
#[derive(Default)]
pub struct SlowStartLog {
    due_at: Duration,
}

impl Proxy {
    /// Logs what the router assumes about each host in slow start and what it sent there in the last interval.
    pub fn log_slow_starts(&mut self, router: &mut Router) {
        if self.now < self.slow_start_log.due_at {
            return;
        }
        self.slow_start_log.due_at = self.now + LOG_INTERVAL;
        let (mut statuses, range) = (router.take_slow_start_statuses(self.now), router.take_service_range());
        statuses.sort_by_key(|status| std::cmp::Reverse(status.sent_requests));
        let unsaid = statuses.len().saturating_sub(MAX_LINES);
        for status in statuses.iter().take(MAX_LINES) {
            self.log_slow_start(status, &range, unsaid);
        }
    }

    fn log_slow_start(&self, status: &SlowStartStatus, range: &TimeRange, unsaid: usize) {
        let host = String::from_utf8_lossy(&self.hosts[status.host].name).into_owned();
        let from = status.evidence.name();
        let age_ms = status.age.as_millis() as u64;
        let fraction = rounded(status.fraction);
        let allowed = status.mean_work_s().map_or(-1.0, |mean_s| rounded(status.allowed_s / mean_s));
        let allowed_work_ms = to_ms(Some(status.allowed_s));
        let share_work_ms = to_ms(Some(status.share_s));
        let requests = status.sent_requests;
        let work_ms = to_ms(Some(status.sent_s));
        let mean_work_ms = to_ms(status.mean_work_s());
        let (least_ms, largest_ms) = (to_ms(range.least()), to_ms(range.largest()));
        log::info!(host:%, from, age_ms, fraction, allowed, allowed_work_ms, share_work_ms, requests, work_ms,
            mean_work_ms, least_ms, largest_ms, unsaid;
            "slow start");
    }
}

/// Milliseconds with one decimal; -1 for an unknown time.
fn to_ms(time_s: Option<f64>) -> f64 {
    time_s.map_or(-1.0, |time_s| (time_s * 1e4).round() / 10.0)
}

fn rounded(value: f64) -> f64 {
    (value * 1e2).round() / 1e2
}
