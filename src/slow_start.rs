//! Slow start of hosts, as one router decides it: which hosts are cold, what work a request is to them, and how much
//! of it this router may send, so that all routers together do not overload a host that has just started.

use crate::decide::Router;
use crate::host_life::ProcessStart;
use crate::interface::{HostEntry, HostIndex};
use crate::site_settings::SlowStartSettings;
use crate::snapshot;
use crate::state::{HostState, SentWork};
use myrtlegauge_recovery::{ColdSince, SlowStartTerms, TimeRange, WorkShare};
use std::time::Duration;

const ZERO: Duration = Duration::ZERO;
/// A host in slow start that has answered nothing for this long, with forwards in flight, may not be reading at all.
const SLOW_START_SILENCE: Duration = Duration::from_millis(250);
/// Budget of work for a cold host, as a fraction of the work that overloads it. A burst, plus what drains in the
/// meantime, makes twice the budget in one overload window.
const OVERLOAD_BUDGET_FRACTION: f64 = 0.5;
/// Assumed weight of a cold host relative to the mean, where no weights are configured: it may be a small one.
const MIN_RELATIVE_WEIGHT: f64 = 0.6;

/// From what a host's start is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartEvidence {
    /// The list that the router was started with.
    InitialList,
    /// A later update of the list.
    List,
    /// The end of a process, or a connection that came up after it.
    Connection,
    /// The host answered again after an absence.
    Recovery,
    /// No start: the fleet withholds keys from the host.
    Withheld,
}

impl StartEvidence {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::InitialList => "initial-list",
            Self::List => "list",
            Self::Connection => "connection",
            Self::Recovery => "recovery",
            Self::Withheld => "withheld",
        }
    }

    fn of(host: &HostState, start: &ProcessStart) -> Self {
        match start.at {
            ZERO => Self::Withheld,
            _ if start.is_from_initial_list => Self::InitialList,
            at if at == host.recovered_at => Self::Recovery,
            at if at == host.lifecycle.listed_start() => Self::List,
            _ => Self::Connection,
        }
    }
}

/// What a router assumes about a host in slow start, and what it sent there since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartStatus {
    pub host: HostIndex,
    pub evidence: StartEvidence,
    /// Time since its start.
    pub age: Duration,
    /// Fraction of its full work that it may get.
    pub fraction: f64,
    /// Work that all routers together may send within the overload window, by the settings and the weight.
    pub allowed_s: f64,
    /// This router's share of it, as it is limited here.
    pub share_s: f64,
    pub sent_requests: u32,
    /// Work of these requests, as the limit counts them.
    pub sent_s: f64,
}

impl SlowStartStatus {
    /// Mean work of a request that was sent; `None` if none was.
    pub fn mean_work_s(&self) -> Option<f64> {
        (self.sent_requests > 0).then(|| self.sent_s / f64::from(self.sent_requests))
    }
}

impl Router {
    /// Terms of the slow start of a tier, by the settings and the number of routers that share a host.
    pub fn slow_start_terms(&self, is_parent: bool) -> SlowStartTerms {
        let settings = if is_parent { &self.site.parent_slow_start } else { &self.site.cache_slow_start };
        SlowStartTerms {
            initial_fraction: settings.initial_fraction,
            duration: settings.duration,
            overload_factor: settings.overload_factor,
            window: Duration::from_secs_f64(self.site.overload_window_s),
            sharing_routers: settings.sharing_routers,
        }
    }

    /// Multiplies the work that the limit counts for a request, so that a test can see the check of arrivals fail.
    pub fn scale_request_work(&mut self, factor: f64) {
        self.request_work_scale = factor;
    }

    /// Reports on the hosts in slow start, and begins a new report.
    pub fn take_slow_start_statuses(&mut self, now: Duration) -> Vec<SlowStartStatus> {
        let statuses: Vec<_> =
            (0..self.hosts.len()).filter_map(|host| self.slow_start_status(host, now)).collect();
        for status in &statuses {
            self.hosts[status.host].slow_start_sent = SentWork::default();
        }
        statuses
    }

    fn slow_start_status(&self, host: HostIndex, now: Duration) -> Option<SlowStartStatus> {
        let state = &self.hosts[host];
        let fraction = self.slow_start_fraction(host, now).filter(|_| state.is_active())?;
        let start = state.process_start(&self.time_reference, now);
        let share = self.slow_start_share(host, fraction);
        let settings = self.slow_start_settings(&state.entry);
        let share_s = share.rate * share.window_s;
        Some(SlowStartStatus {
            host,
            evidence: StartEvidence::of(state, &start),
            age: start.age,
            fraction,
            allowed_s: share_s / OVERLOAD_BUDGET_FRACTION * settings.sharing_routers,
            share_s,
            sent_requests: state.slow_start_sent.requests,
            sent_s: state.slow_start_sent.work_s,
        })
    }

    /// Times that GETs took at their caches since the last call, without the wait for the source.
    pub fn take_service_range(&mut self) -> TimeRange {
        let mut range = TimeRange::default();
        for stats in &mut self.service_stats {
            range.merge(std::mem::take(&mut stats.service_range));
        }
        range
    }

    pub(crate) fn slow_start_settings(&self, entry: &HostEntry) -> &SlowStartSettings {
        if self.is_parent(entry) { &self.site.parent_slow_start } else { &self.site.cache_slow_start }
    }

    /// Fraction of its full work that a recently started host may get; `None` for a warm host.
    pub(crate) fn slow_start_fraction(&self, host: HostIndex, now: Duration) -> Option<f64> {
        let (entry, process_start) =
            (&self.hosts[host].entry, self.hosts[host].process_start(&self.time_reference, now));
        let settings = self.slow_start_settings(entry);
        let relative_age = process_start.age.as_secs_f64() / settings.duration.as_secs_f64().max(1e-3);
        let is_cold = process_start.at > ZERO && relative_age < 1.0 && entry.kind != self.site.origin_kind;
        let fraction = if is_cold {
            snapshot::quantize_fraction(
                settings.initial_fraction + (1.0 - settings.initial_fraction) * relative_age,
            )
        } else {
            1.0
        };
        Some(fraction.min(1.0 - entry.withheld_fraction)).filter(|&fraction| fraction < 1.0)
    }

    /// Work of a request of a service to a host in slow start. While few were observed, as after a restart, it is about
    /// the latency objective.
    pub(crate) fn request_work_s(&self, ds: usize) -> f64 {
        self.service_stats[ds].work.mean_s() * self.request_work_scale
    }

    /// Share of this router in the work of a host in slow start that takes `fraction` of its full work.
    fn slow_start_share(&self, host: HostIndex, fraction: f64) -> WorkShare {
        let estimated_capacity =
            self.work_per_warm_cache * (self.site.other_local_routers + 1.0) * MIN_RELATIVE_WEIGHT;
        let entry = &self.hosts[host].entry;
        let capacity = if self.site.has_weights { entry.weight } else { estimated_capacity };
        let settings = self.slow_start_settings(entry);
        let rate = OVERLOAD_BUDGET_FRACTION * settings.overload_factor * fraction * capacity
            / settings.sharing_routers;
        WorkShare { rate, window_s: self.site.overload_window_s }
    }

    /// Whether the slow start of a host admits a request. A host that was lost and reached again is in slow start,
    /// too. It takes a fixed fraction of its keys, the same at every router, within this router's share of its
    /// capacity.
    pub(crate) fn slow_start_admits(
        &mut self,
        host: HostIndex,
        key: u64,
        work_s: f64,
        now: Duration,
    ) -> bool {
        let Some(fraction) = self.slow_start_fraction(host, now).filter(|_| self.limits_slow_start) else {
            return true;
        };
        let share = self.slow_start_share(host, fraction);
        let (time_reference, phase) = (self.time_reference, self.rng.f64());
        let (is_near, is_parent) =
            (self.is_near(&self.hosts[host].entry), self.is_parent(&self.hosts[host].entry));
        let host = &mut self.hosts[host];
        let takes_key = is_near && snapshot::is_in_key_fraction(key, host.entry.id_hash, fraction);
        // What a silent host has not answered counts in addition to recent work, since it may read all of that at
        // once.
        let in_flight = if is_parent { host.fills_in_flight } else { host.link.in_flight };
        let is_silent = in_flight > 0.0 && now >= host.last_answer + SLOW_START_SILENCE;
        let fits = !is_silent || (in_flight + 1.0) * work_s <= (share.rate * share.window_s).max(work_s);
        let process_start = host.process_start(&time_reference, now);
        let cold_since =
            ColdSince { at: process_start.at, is_older_than_router: process_start.is_from_initial_list };
        takes_key && fits && host.slow_start.admits(work_s, share, cold_since, phase, now)
    }

    /// Counts the work that is really sent to a host in slow start or, for a fill, requested from a parent, and checks
    /// the limit against it. Returns false if it exceeds the share.
    pub(crate) fn check_slow_start(&mut self, host: HostIndex, work_s: f64, now: Duration) -> bool {
        let Some(fraction) = self.slow_start_fraction(host, now) else { return true };
        let share = self.slow_start_share(host, fraction);
        let sent = &mut self.hosts[host].slow_start_sent;
        (sent.requests, sent.work_s) = (sent.requests + 1, sent.work_s + work_s);
        let is_within_share = self.hosts[host].slow_start_check.check(work_s, share, now);
        self.slow_start_violations += u64::from(!is_within_share);
        is_within_share
    }

    /// Number of times that a host in slow start got more than this router's share. Zero unless the limit is
    /// disabled.
    pub fn slow_start_violations(&self) -> u64 {
        self.slow_start_violations
    }

    /// Disables the limit, so that a test can see its check fail.
    pub fn disable_slow_start_limit(&mut self) {
        self.limits_slow_start = false;
    }
}
