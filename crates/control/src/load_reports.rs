//! Load reports of proxies, and their summary for the decision module: one outcome per host and interval, and counts of
//! fills. Does no I/O.
//!
//! A report counts only as far as one proxy can know. Its outcomes for a host are one vote, however many GETs it names,
//! so that a proxy that reports falsely or is itself cut off cannot exclude a host that others reach. A report with an
//! impossible number is rejected as a whole.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of GETs in the report on one host. No proxy can do more in an interval.
const MAX_GETS_PER_REPORT: u64 = 1_000_000;
/// Fraction of the interval after which another report of the same proxy is accepted. Clocks differ, but a repetition of
/// the previous report has no new information.
const MIN_INTERVAL_FRACTION: f64 = 0.5;
/// Maximum number of recorded proxies, so that made-up names cannot fill the memory.
const MAX_PROXIES: usize = 4096;

/// The outcomes of GETs of one proxy at one host in one interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostReport {
    pub host: usize,
    pub returned: u64,
    pub errored: u64,
    /// GETs that were returned, but late.
    pub late: u64,
    /// Fills requested from this host as a source, by delivery service.
    pub fills: Vec<FillCounts>,
}

/// Fills of one delivery service at one source.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FillCounts {
    pub ds: usize,
    pub total: u64,
    /// As received; may be any number until the report is accepted.
    pub late_or_failed: f64,
    pub in_flight: u64,
}

/// Why a report is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// A number that is negative, not a number, or beyond what a proxy can do.
    OutOfRange,
    /// The previous report of this proxy is too recent.
    TooSoon,
    /// The maximum number of proxies is already recorded.
    TooManyProxies,
}

impl std::fmt::Display for ReportError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ReportError::OutOfRange => "it contains a number that is out of range, or a host twice",
            ReportError::TooSoon => "it came too soon after the previous report",
            ReportError::TooManyProxies => "the maximum number of reporting proxies is reached",
        })
    }
}

/// Sums the fills over all hosts and services of a report: the total, and those late or failed.
///
/// Call it only for a report that [`LoadReports::add`] accepted; the numbers of other reports have no bounds.
pub fn sum_fills(hosts: &[HostReport]) -> (u64, u64) {
    let fills = hosts.iter().flat_map(|report| &report.fills);
    fills.fold((0, 0), |(total, late_or_failed), fills| {
        (total + fills.total, late_or_failed + fills.late_or_failed as u64)
    })
}

/// Summary of one interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// By host: whether it succeeded according to the majority of the proxies that reported on it.
    pub outcomes: Vec<(usize, bool)>,
    /// By source and delivery service: all fills, those late or failed, those in flight.
    pub fills: Vec<(usize, usize, u32, u32, u32)>,
}

/// Collects the reports of an interval.
#[derive(Default)]
pub struct LoadReports {
    interval: Duration,
    /// When each proxy last reported.
    last_report: BTreeMap<String, Duration>,
    /// By host: the number of proxies for which most GETs were returned, and of the others.
    votes: BTreeMap<usize, (u32, u32)>,
    fills: BTreeMap<(usize, usize), (u64, u64, u64)>,
    interval_end: Duration,
    pub accepted: u64,
    pub rejected: u64,
}

impl LoadReports {
    /// Starts the first interval.
    pub fn new(interval: Duration, now: Duration) -> Self {
        Self { interval, interval_end: now + interval, ..Self::default() }
    }

    /// The length of an interval.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Adds the report of one proxy on known hosts, or rejects it.
    pub fn add(&mut self, node: &str, hosts: &[HostReport], now: Duration) -> Result<(), ReportError> {
        let result = self.check(node, hosts, now);
        if result.is_err() {
            self.rejected += 1;
            return result;
        }
        self.accepted += 1;
        self.last_report.insert(node.to_owned(), now);
        for report in hosts {
            let (healthy, failed) = self.votes.entry(report.host).or_default();
            match report.errored * 2 > report.returned + report.errored {
                _ if report.returned + report.errored == 0 => {}
                true => *failed += 1,
                false => *healthy += 1,
            }
            for fills in &report.fills {
                let sum = self.fills.entry((report.host, fills.ds)).or_default();
                sum.0 += fills.total;
                sum.1 += fills.late_or_failed as u64;
                sum.2 += fills.in_flight;
            }
        }
        Ok(())
    }

    fn check(&self, node: &str, hosts: &[HostReport], now: Duration) -> Result<(), ReportError> {
        let is_too_soon = self
            .last_report
            .get(node)
            .is_some_and(|&at| now < at + self.interval.mul_f64(MIN_INTERVAL_FRACTION));
        if is_too_soon {
            return Err(ReportError::TooSoon);
        }
        if self.last_report.len() >= MAX_PROXIES && !self.last_report.contains_key(node) {
            return Err(ReportError::TooManyProxies);
        }
        let mut reported_hosts = std::collections::BTreeSet::new();
        let is_valid = hosts.iter().all(|report| {
            let gets = report.returned.saturating_add(report.errored);
            let are_fills_valid = report.fills.iter().all(|fills| {
                let is_count_valid = fills.late_or_failed.is_finite()
                    && fills.late_or_failed >= 0.0
                    && fills.late_or_failed <= fills.total as f64;
                is_count_valid && fills.total <= MAX_GETS_PER_REPORT && fills.in_flight <= MAX_GETS_PER_REPORT
            });
            gets <= MAX_GETS_PER_REPORT
                && report.late <= MAX_GETS_PER_REPORT
                && are_fills_valid
                && reported_hosts.insert(report.host)
        });
        if is_valid { Ok(()) } else { Err(ReportError::OutOfRange) }
    }

    /// When the interval ends.
    pub fn deadline(&self) -> Duration {
        self.interval_end
    }

    /// Closes the interval and returns its summary, once it is over.
    pub fn close_interval(&mut self, now: Duration) -> Option<Summary> {
        if now < self.interval_end {
            return None;
        }
        self.interval_end = now + self.interval;
        // Proxies without a report for some intervals are forgotten.
        let interval = self.interval;
        self.last_report.retain(|_, at| now < *at + interval * 8);
        let votes = std::mem::take(&mut self.votes);
        let fills = std::mem::take(&mut self.fills);
        let count = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        Some(Summary {
            outcomes: votes
                .into_iter()
                .filter(|(_, (healthy, failed))| healthy + failed > 0)
                .map(|(host, (healthy, failed))| (host, failed <= healthy))
                .collect(),
            fills: fills
                .into_iter()
                .map(|((source, ds), (total, late_or_failed, in_flight))| {
                    (source, ds, count(total), count(late_or_failed), count(in_flight))
                })
                .collect(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(host: usize, returned: u64, errored: u64) -> HostReport {
        HostReport { host, returned, errored, ..HostReport::default() }
    }

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn one_proxy_has_one_vote_however_many_gets_it_reports() {
        let mut reports = LoadReports::new(ms(500), ms(0));
        reports.add("false-reporter", &[report(0, 0, 900_000)], ms(1)).unwrap();
        reports.add("a", &[report(0, 3, 0)], ms(1)).unwrap();
        reports.add("b", &[report(0, 3, 1)], ms(1)).unwrap();
        assert_eq!(reports.close_interval(ms(499)), None);
        assert_eq!(reports.close_interval(ms(500)).unwrap().outcomes, [(0, true)]);
        // A further report too soon after the last one has no effect.
        assert_eq!(reports.add("false-reporter", &[report(0, 0, 1)], ms(200)), Err(ReportError::TooSoon));
        assert_eq!(reports.close_interval(ms(1000)).unwrap().outcomes, []);
    }

    #[test]
    fn a_report_with_an_out_of_range_number_is_rejected_as_a_whole() {
        let mut reports = LoadReports::new(ms(500), ms(0));
        let fills = |total, late_or_failed| HostReport {
            fills: vec![FillCounts { ds: 0, total, late_or_failed, in_flight: 0 }],
            ..report(1, 5, 5)
        };
        let late = HostReport { late: u64::MAX, ..report(1, 5, 5) };
        let counts = [fills(u64::MAX, 0.0), report(1, u64::MAX, 9), late];
        for invalid in [fills(3, f64::NAN), fills(3, -1.0), fills(3, 4.0)].into_iter().chain(counts) {
            assert_eq!(reports.add("a", &[report(0, 0, 9), invalid], ms(1)), Err(ReportError::OutOfRange));
        }
        let twice = [report(0, 0, 9), report(0, 0, 9)];
        assert_eq!(reports.add("a", &twice, ms(1)), Err(ReportError::OutOfRange));
        assert_eq!(reports.close_interval(ms(600)).unwrap(), Summary::default());
        assert_eq!((reports.accepted, reports.rejected), (0, 7));
    }

    #[test]
    fn the_number_of_recorded_proxies_is_bounded() {
        let mut reports = LoadReports::new(ms(500), ms(0));
        for index in 0..MAX_PROXIES {
            reports.add(&format!("n{index}"), &[], ms(1)).unwrap();
        }
        assert_eq!(reports.add("one more", &[], ms(1)), Err(ReportError::TooManyProxies));
        reports.close_interval(ms(9000));
        reports.add("one more", &[], ms(9001)).unwrap();
    }
}
