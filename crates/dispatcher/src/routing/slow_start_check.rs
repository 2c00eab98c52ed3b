//! Check of the rule on hosts in slow start, counted from what is written to sockets. It takes starts from the lines of
//! the host list and the work of a request from the replies. With the limit it shares the settings, as they were at the
//! start, and the observed ends of processes.

use super::guards::Rule;
use super::proxy::Proxy;
use myrtlegauge::decide::Router;
use myrtlegauge::interface::{GetIndex, HostIndex, HostStatus, Note, Settings};
use myrtlegauge::settings;
use myrtlegauge_recovery::{ArrivalCheck, LeastWork, SlowStartTerms};
use std::time::Duration;

/// Fraction of the latency objective that is credible as the work of a request before any was observed.
const INITIAL_WORK_FRACTION: f64 = 0.5;

/// What was written to hosts in slow start.
#[derive(Default)]
pub struct WrittenRequests {
    cache_terms: SlowStartTerms,
    parent_terms: SlowStartTerms,
    parent_kind: Option<usize>,
    /// Without weights in the list, nothing tells what a host can do.
    has_weights: bool,
    checks: Vec<ArrivalCheck>,
    least_work: Vec<LeastWork>,
}

impl WrittenRequests {
    /// Reads the terms from the settings of a router.
    pub fn new(router: &Router, config: &Settings, objectives: &[Duration]) -> Self {
        let least_work =
            |objective: &Duration| LeastWork::new(objective.as_secs_f64() * INITIAL_WORK_FRACTION);
        Self {
            cache_terms: router.slow_start_terms(false),
            parent_terms: router.slow_start_terms(true),
            parent_kind: settings::number(config, "domain.shield_kind").ok().map(|kind| kind as usize),
            has_weights: !matches!(settings::text(config, "weights"), "" | "silent"),
            checks: Vec::new(),
            least_work: objectives.iter().map(least_work).collect(),
        }
    }

    /// A host's line reports a new process, which started at this time or later.
    pub fn on_start(&mut self, host: HostIndex, at: Duration) {
        self.checks.resize(self.checks.len().max(host + 1), ArrivalCheck::default());
        self.checks[host].on_start(at);
    }

    /// Another host has taken this index.
    pub fn forget(&mut self, host: HostIndex) {
        if let Some(check) = self.checks.get_mut(host) {
            *check = ArrivalCheck::default();
        }
    }
}

impl Proxy {
    /// Records a new process of a host, from its line. Its start was after the end of the process before, if that was
    /// observed. Starts in the first list are left out: how long ago they were is not known here.
    pub fn record_listed_start(&mut self, host: HostIndex) {
        if !self.has_host_list || self.hosts[host].entry.status != HostStatus::Active {
            return;
        }
        let started_at = self.hosts[host].process_ended_at.unwrap_or(self.now);
        self.written_requests.on_start(host, started_at);
    }

    /// Records how long a request took at its host, without the wait for its source.
    pub fn record_service_time(&mut self, ds: usize, note: Note, elapsed: Duration, source_wait: Duration) {
        let service_s = elapsed.saturating_sub(source_wait).as_secs_f64();
        if let Some(least_work) =
            self.written_requests.least_work.get_mut(ds).filter(|_| note != Note::Joined)
        {
            least_work.record(service_s.max(1e-3));
        }
    }

    /// Check of starting: a forward that is written keeps within this router's share of its host and of its source.
    pub fn check_slow_start_written(&mut self, get_index: GetIndex) {
        let pending = self.in_flight.get(get_index);
        let Some(forward) = pending.forward.filter(|_| self.written_requests.has_weights) else { return };
        let work_s = self.written_requests.least_work.get(pending.get.ds).map_or(0.0, LeastWork::mean_s);
        let (host, source) = (forward.decision.host, forward.decision.source);
        let fill_source = Some(source).filter(|&source| source != host);
        for checked_host in [Some(host), fill_source].into_iter().flatten() {
            self.check_written_to(checked_host, work_s);
        }
    }

    fn check_written_to(&mut self, host: HostIndex, work_s: f64) {
        let entry = self.hosts[host].entry;
        let written = &mut self.written_requests;
        let is_parent = Some(entry.kind) == written.parent_kind;
        let terms = if is_parent { &written.parent_terms } else { &written.cache_terms };
        let Some(check) = written.checks.get_mut(host) else { return };
        let Some(excess) = check.on_written(work_s, entry.weight, terms, self.now) else { return };
        let name = String::from_utf8_lossy(&self.hosts[host].name).into_owned();
        self.counters.record_violation(
            Rule::Starting,
            format_args!(
                "host {name} in slow start for {} ms is written {} requests in a window that bears {:.1}",
                excess.age.as_millis(),
                excess.requests,
                excess.bound
            ),
        );
    }
}
