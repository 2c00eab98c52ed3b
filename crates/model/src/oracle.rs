//! Checks the rules on every event, independently of the decision module: its input is the events of the world, never
//! decisions or the state of a dispatcher. A violation names the GET, the time and the reason.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of violations that are kept as text; all are counted.
const MAX_KEPT_VIOLATIONS: usize = 16;

/// The events so far, and the violations of the rules.
#[derive(Default)]
pub struct Oracle {
    /// Number of violations by rule.
    pub violations: BTreeMap<&'static str, u64>,
    /// Descriptions of the first violations.
    pub first_violations: Vec<String>,
    drains: BTreeMap<usize, Duration>,
    /// When each group was purged and the purge announced.
    purges: BTreeMap<u64, Duration>,
    run_counts: BTreeMap<u64, u32>,
    pub accepted: u64,
    pub answered: u64,
}

impl Oracle {
    fn record_violation(&mut self, rule: &'static str, now: Duration, description: String) {
        *self.violations.entry(rule).or_default() += 1;
        if self.first_violations.len() < MAX_KEPT_VIOLATIONS {
            self.first_violations.push(format!("{:>9.3} s  {rule}: {description}", now.as_secs_f64()));
        }
    }

    /// A host started to drain.
    pub fn on_drain(&mut self, host: usize, now: Duration) {
        self.drains.insert(host, now);
    }

    /// A host is in service again.
    pub fn on_restored(&mut self, host: usize) {
        self.drains.remove(&host);
    }

    /// A group was purged.
    pub fn on_purge(&mut self, group: u64, now: Duration) {
        self.purges.insert(group, now);
    }

    /// A forward was sent to a host, or a fill to its source.
    pub fn on_forward_sent(&mut self, get: u64, host: usize, grace: Duration, now: Duration) {
        let drained_at = self.drains.get(&host).copied().filter(|&at| now > at + grace);
        if let Some(drained_at) = drained_at {
            let after = now - drained_at;
            self.record_violation(
                "3, draining host",
                now,
                format!("GET {get} to host {host}, {after:?} after its drain"),
            );
        }
    }

    /// A GET with an effect ran.
    pub fn on_run(&mut self, get: u64, now: Duration) {
        let count = self.run_counts.entry(get).or_default();
        *count += 1;
        if *count > 1 {
            let count = *count;
            self.record_violation("2, effect twice", now, format!("GET {get} ran {count} times"));
        }
    }

    /// A GET got its final answer. `is_repeated`: it had one already; `is_late`: its client had given up before.
    pub fn on_answer(&mut self, get: u64, is_repeated: bool, is_late: bool, now: Duration) {
        if is_repeated {
            return self.record_violation("1, one answer", now, format!("GET {get} was answered again"));
        }
        self.answered += 1;
        if is_late {
            self.record_violation(
                "1, in time",
                now,
                format!("GET {get} was answered after its client gave up"),
            );
        }
    }

    /// A copy was returned.
    pub fn on_return(&mut self, get: u64, group: u64, created_at: Duration, grace: Duration, now: Duration) {
        let purged_at = self.purges.get(&group).copied().filter(|&at| created_at < at && now > at + grace);
        if let Some(purged_at) = purged_at {
            let after = now - purged_at;
            self.record_violation(
                "5, purged copy",
                now,
                format!("GET {get}, {after:?} after group {group} was purged"),
            );
        }
    }

    /// A cold host was overloaded.
    pub fn on_overload(&mut self, host: usize, now: Duration) {
        self.record_violation("4, cold host", now, format!("host {host} was overloaded while cold"));
    }

    /// The run has ended. Every accepted GET must have its answer, except for those still in flight.
    pub fn finish(&mut self, in_flight: u64, now: Duration) {
        if self.accepted != self.answered + in_flight {
            let (accepted, answered) = (self.accepted, self.answered);
            self.record_violation(
                "1, one answer",
                now,
                format!("{accepted} accepted, {answered} answered, {in_flight} in flight"),
            );
        }
    }
}
