//! What proxies report of load and outcomes, and what is made of it: one outcome for each host and interval, and counts
//! of fills, for the decision module. No I/O.
//!
//! A report is believed as far as one proxy can know: what it says of a host is one vote, however many GETs it names, so
//! that one that lies or is itself cut off can't leave out a host that others reach. A report that can't be true is
//! refused whole.

use std::collections::BTreeMap;
use std::time::Duration;

/// GETs in one report of one host; a proxy that does more in an interval than a machine can is not believed.
const MAX_GETS_PER_REPORT: u64 = 1_000_000;
/// Part of the interval after which a further report of the same proxy counts: clocks are not even, but a repeat of
/// what was sent before is no news.
const MIN_INTERVAL_FRACTION: f64 = 0.5;
/// Proxies remembered; a crowd of made-up names must not fill the memory.
const MAX_PROXIES: usize = 4096;

/// What a proxy saw of one host in an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostReport {
    pub host: usize,
    pub returned: u64,
    pub errored: u64,
    /// GETs that came back, but late.
    pub late: u64,
    /// FillCounts asked of this host as a source, by delivery service: all, those late or failed, and those out now.
    pub fills: Vec<FillCounts>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FillCounts {
    pub ds: usize,
    pub total: u64,
    /// As it is reported, a number of any kind.
    pub late_or_failed: f64,
    pub in_flight: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// A number that is negative, not a number, or beyond what a proxy can do.
    OutOfRange,
    /// Another report of this proxy came just before.
    TooSoon,
    /// More proxies than are remembered.
    TooManyProxies,
}

impl std::fmt::Display for ReportError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ReportError::OutOfRange => "a number that can't be true",
            ReportError::TooSoon => "sooner than asked for",
            ReportError::TooManyProxies => "of more proxies than are remembered",
        })
    }
}

/// FillCounts of all hosts and services in one report: all, and those late or failed.
///
/// Call it only on a report that [`LoadLoadReports::add`] believed: the numbers of any other have no bounds.
pub fn sum_fills(hosts: &[HostReport]) -> (u64, u64) {
    let fills = hosts.iter().flat_map(|report| &report.fills);
    fills.fold((0, 0), |(all, bad), fills| (all + fills.total, bad + fills.late_or_failed as u64))
}

/// What the interval came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// By host: a success or a failure, where most who spoke of it agree.
    pub outcomes: Vec<(usize, bool)>,
    /// By source and delivery service: all fills, bad ones, those out.
    pub fills: Vec<(usize, usize, u32, u32, u32)>,
}

#[derive(Default)]
pub struct LoadReports {
    interval: Duration,
    /// When each proxy last reported.
    last: BTreeMap<String, Duration>,
    /// By host: those for which most GETs were returned, and the others.
    votes: BTreeMap<usize, (u32, u32)>,
    fills: BTreeMap<(usize, usize), (u64, u64, u64)>,
    interval_end: Duration,
    pub accepted: u64,
    pub rejected: u64,
}

impl LoadReports {
    pub fn new(every: Duration, now: Duration) -> Self {
        Self { interval: every, interval_end: now + every, ..Self::default() }
    }

    pub fn every(&self) -> Duration {
        self.interval
    }

    /// Takes one proxy's report, of hosts that are known.
    pub fn add(&mut self, node: &str, hosts: &[HostReport], now: Duration) -> Result<(), ReportError> {
        let checked = self.check(node, hosts, now);
        if checked.is_err() {
            self.rejected += 1;
            return checked;
        }
        self.accepted += 1;
        self.last.insert(node.to_owned(), now);
        for report in hosts {
            let (good, bad) = self.votes.entry(report.host).or_default();
            match report.errored * 2 > report.returned + report.errored {
                _ if report.returned + report.errored == 0 => {}
                true => *bad += 1,
                false => *good += 1,
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
        let soon =
            self.last.get(node).is_some_and(|&at| now < at + self.interval.mul_f64(MIN_INTERVAL_FRACTION));
        if soon {
            return Err(ReportError::TooSoon);
        }
        if self.last.len() >= MAX_PROXIES && !self.last.contains_key(node) {
            return Err(ReportError::TooManyProxies);
        }
        let mut hosts_seen = std::collections::BTreeSet::new();
        let sound = hosts.iter().all(|report| {
            let gets = report.returned.saturating_add(report.errored);
            let fills = report.fills.iter().all(|fills| {
                let bad = fills.late_or_failed.is_finite()
                    && fills.late_or_failed >= 0.0
                    && fills.late_or_failed <= fills.total as f64;
                bad && fills.total <= MAX_GETS_PER_REPORT && fills.in_flight <= MAX_GETS_PER_REPORT
            });
            gets <= MAX_GETS_PER_REPORT
                && report.late <= MAX_GETS_PER_REPORT
                && fills
                && hosts_seen.insert(report.host)
        });
        if sound { Ok(()) } else { Err(ReportError::OutOfRange) }
    }

    /// When the interval interval_end.
    pub fn deadline(&self) -> Duration {
        self.interval_end
    }

    /// Closes the interval, once it is over.
    pub fn close_interval(&mut self, now: Duration) -> Option<Summary> {
        if now < self.interval_end {
            return None;
        }
        self.interval_end = now + self.interval;
        // Who has not spoken for some intervals is forgotten.
        let every = self.interval;
        self.last.retain(|_, at| now < *at + every * 8);
        let votes = std::mem::take(&mut self.votes);
        let fills = std::mem::take(&mut self.fills);
        let count = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Some(Summary {
            outcomes: votes
                .into_iter()
                .filter(|(_, (good, bad))| good + bad > 0)
                .map(|(host, (good, bad))| (host, bad <= good))
                .collect(),
            fills: fills
                .into_iter()
                .map(|((source, ds), (all, bad, out))| (source, ds, count(all), count(bad), count(out)))
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
    fn one_proxy_is_one_vote_however_much_it_says() {
        let mut reports = LoadReports::new(ms(500), ms(0));
        reports.add("liar", &[report(0, 0, 900_000)], ms(1)).unwrap();
        reports.add("a", &[report(0, 3, 0)], ms(1)).unwrap();
        reports.add("b", &[report(0, 3, 1)], ms(1)).unwrap();
        assert_eq!(reports.close_interval(ms(499)), None);
        assert_eq!(reports.close_interval(ms(500)).unwrap().outcomes, [(0, true)]);
        // Again at once, and many times: nothing more.
        assert_eq!(reports.add("liar", &[report(0, 0, 1)], ms(200)), Err(ReportError::TooSoon));
        assert_eq!(reports.close_interval(ms(1000)).unwrap().outcomes, []);
    }

    #[test]
    fn what_can_not_be_true_is_refused_whole() {
        let mut reports = LoadReports::new(ms(500), ms(0));
        let fills = |all, bad| HostReport {
            fills: vec![FillCounts { ds: 0, total: all, late_or_failed: bad, in_flight: 0 }],
            ..report(1, 5, 5)
        };
        let late = HostReport { late: u64::MAX, ..report(1, 5, 5) };
        let counts = [fills(u64::MAX, 0.0), report(1, u64::MAX, 9), late];
        for absurd in [fills(3, f64::NAN), fills(3, -1.0), fills(3, 4.0)].into_iter().chain(counts) {
            assert_eq!(reports.add("a", &[report(0, 0, 9), absurd], ms(1)), Err(ReportError::OutOfRange));
        }
        let twice = [report(0, 0, 9), report(0, 0, 9)];
        assert_eq!(reports.add("a", &twice, ms(1)), Err(ReportError::OutOfRange));
        assert_eq!(reports.close_interval(ms(600)).unwrap(), Summary::default());
        assert_eq!((reports.accepted, reports.rejected), (0, 7));
    }

    #[test]
    fn made_up_names_are_bounded() {
        let mut reports = LoadReports::new(ms(500), ms(0));
        for n in 0..MAX_PROXIES {
            reports.add(&format!("n{n}"), &[], ms(1)).unwrap();
        }
        assert_eq!(reports.add("one more", &[], ms(1)), Err(ReportError::TooManyProxies));
        reports.close_interval(ms(9000));
        reports.add("one more", &[], ms(9001)).unwrap();
    }
}
