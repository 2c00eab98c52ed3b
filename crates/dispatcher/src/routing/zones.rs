//! The fleet's verdicts on zones at this dispatcher: receives verdicts, reports evidence, and adjusts the host
//! entries for the decision module by the verdicts in effect. Used only if an operator file names control services to
//! follow; never in `run`.

use super::proxy::Proxy;
use myrtlegauge::interface::{End, HostEntry, HostIndex, HostStatus};
use myrtlegauge_zones::{HeldVerdicts, LocalRule, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// A message of a control service, as parsed from its stream.
#[derive(Clone, Debug)]
pub enum ZoneUpdate {
    /// A verdict on a zone, by the zone's name, and the time until it takes effect.
    Verdict { zone: String, verdict: Verdict, effective_in: Duration },
    /// The verdicts received are complete, and stay valid for this long from now.
    Lease(Duration),
}

/// Evidence on one host in one report interval.
#[derive(Clone, Debug, Default)]
pub struct HostEvidence {
    pub returned: u64,
    pub errored: u64,
    /// Replies counted in `returned` that were late although the host did not wait long for its source.
    pub late: u64,
    /// Fills requested from this host as a source, by delivery service: all of them, and those late or failed.
    pub fills: Vec<(u64, u64)>,
}

/// This dispatcher's evidence of one interval, and the verdict it holds on each zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneReport {
    /// The evidence on each host, with the host's name and the address by which this dispatcher reaches it.
    pub hosts: Vec<(String, SocketAddr, HostEvidence)>,
    pub held_verdicts: Vec<(String, Verdict)>,
    /// GETs taken since the last report, including those shed immediately.
    pub gets_taken: u64,
}

/// The channel to the control services that are followed: updates in, reports out.
pub struct ZoneChannel {
    pub updates: calloop::channel::Channel<ZoneUpdate>,
    pub report: Box<dyn Fn(ZoneReport)>,
    pub report_interval: Duration,
}

/// This dispatcher's view of the zones.
pub struct Zones {
    names: Vec<String>,
    held_verdicts: HeldVerdicts,
    local_rule: LocalRule,
    /// Fraction of its traffic that each zone takes, as last passed to the decision module.
    fractions: Vec<f64>,
    shed_fraction: f64,
    host_evidence: Vec<HostEvidence>,
    next_report_at: Duration,
    reported_gets: u64,
    report_interval: Duration,
    report: Box<dyn Fn(ZoneReport)>,
}

impl Zones {
    pub fn new(
        names: Vec<String>,
        report_interval: Duration,
        report: Box<dyn Fn(ZoneReport)>,
        now: Duration,
    ) -> Self {
        let count = names.len();
        Self {
            held_verdicts: HeldVerdicts::new(count, now),
            local_rule: LocalRule::new(count),
            fractions: vec![1.0; count],
            names,
            shed_fraction: 0.0,
            host_evidence: Vec::new(),
            next_report_at: now + report_interval,
            reported_gets: 0,
            report_interval,
            report,
        }
    }

    /// The fraction of its traffic that a zone takes now: the lower of the fleet's verdict and the local evidence.
    fn fraction(&self, zone: usize, now: Duration) -> f64 {
        self.held_verdicts.key_fraction(zone, now).min(self.local_rule.max_key_fraction(zone, now))
    }

    /// A host's entry as passed to the decision module: hosts of a zone that takes no traffic drain, and those of a
    /// returning zone take a fraction.
    pub fn adjust_entry(&self, entry: HostEntry) -> HostEntry {
        let fraction = self.fractions.get(entry.zone).copied().unwrap_or(1.0);
        let is_drained = fraction <= 0.0 && entry.status == HostStatus::Active;
        let status = if is_drained { HostStatus::Draining } else { entry.status };
        HostEntry { status, withheld_fraction: 1.0 - fraction, ..entry }
    }

    /// Whether a key is in the fraction of keys that the fleet sheds.
    pub fn is_in_shed_fraction(&self, key: u64) -> bool {
        self.shed_fraction > 0.0
            && myrtlegauge::snapshot::is_in_key_fraction(key, SHED_KEY_SALT, self.shed_fraction)
    }

    /// Whether the verdicts may be outdated after a pause of the process.
    pub fn are_verdicts_uncertain(&self, now: Duration) -> bool {
        self.held_verdicts.is_uncertain(now)
    }

    /// The next time at which the verdicts in effect change without an update, or a report is due.
    pub fn next_deadline(&self, now: Duration) -> Duration {
        self.held_verdicts.next_change(now).min(self.local_rule.next_change(now)).min(self.next_report_at)
    }

    /// Records that the process has resumed after a pause, so that verdicts may have been missed.
    pub fn on_resumed(&mut self, now: Duration) {
        self.held_verdicts.on_resume(now);
    }

    /// The evidence on a host in the current interval.
    fn evidence_for(&mut self, host: HostIndex) -> &mut HostEvidence {
        self.host_evidence.resize(self.host_evidence.len().max(host + 1), HostEvidence::default());
        &mut self.host_evidence[host]
    }

    /// Counts the end of a forward, for its host and for its fill source.
    pub fn record_outcome(
        &mut self,
        host: HostIndex,
        source: HostIndex,
        end: End,
        is_late: bool,
        fill: Option<(usize, bool)>,
    ) {
        let evidence = self.evidence_for(host);
        match end {
            End::Returned => {
                (evidence.returned, evidence.late) =
                    (evidence.returned + 1, evidence.late + u64::from(is_late))
            }
            End::NoConnection | End::Reset | End::Spoilt | End::TimedOut => evidence.errored += 1,
            End::Withdrawn if is_late => evidence.errored += 1,
            End::NeverSent | End::Withdrawn => {}
            _ => evidence.returned += 1,
        }
        if let Some((ds, has_failed)) = fill {
            let fills = &mut self.evidence_for(source).fills;
            fills.resize(fills.len().max(ds + 1), (0, 0));
            fills[ds] = (fills[ds].0 + 1, fills[ds].1 + u64::from(has_failed));
        }
    }
}

/// Makes the selection of shed keys independent of the selection of keys that hosts take.
const SHED_KEY_SALT: u64 = 0x51ed_270b_27d1_e2a5;

impl Proxy {
    /// Applies the messages received from control services since the last iteration.
    pub fn apply_zone_updates(&mut self) {
        for update in std::mem::take(&mut self.zone_updates) {
            self.zones_due_at = self.now;
            self.apply_zone_update(update);
        }
    }

    /// Applies one message. The decision module gets the changes by `take_changed_zone_entries`.
    fn apply_zone_update(&mut self, update: ZoneUpdate) {
        let (now, Some(zones)) = (self.now, &mut self.zones) else { return };
        match update {
            ZoneUpdate::Lease(remaining) => zones.held_verdicts.renew_lease(now + remaining),
            ZoneUpdate::Verdict { zone, verdict, effective_in } => {
                let Some(zone_index) = zones.names.iter().position(|name| *name == zone) else { return };
                if zones.held_verdicts.apply(zone_index, &verdict, effective_in, now) {
                    let Verdict { epoch, part, sheds, .. } = verdict;
                    log::info!(zone:%, epoch, stage:? = verdict.stage, part, sheds; "zone verdict received");
                }
            }
        }
    }

    /// Sends a report if the interval is over. Returns the entries, as passed to the decision module, of the hosts
    /// whose zones take another fraction from now on.
    pub fn take_changed_zone_entries(&mut self) -> Vec<HostEntry> {
        let now = self.now;
        if self.zones.as_ref().is_some_and(|zones| now >= zones.next_report_at) {
            self.send_zone_report();
        }
        let Some(zones) = &mut self.zones else { return Vec::new() };
        zones.shed_fraction = zones.held_verdicts.shed_fraction(now);
        let changed_zones: Vec<usize> = (0..zones.fractions.len())
            .filter(|&zone| zones.fraction(zone, now) != zones.fractions[zone])
            .collect();
        for &zone in &changed_zones {
            zones.fractions[zone] = zones.fraction(zone, now);
            log::info!(zone:% = zones.names[zone], part = zones.fractions[zone];
                "zone takes a new fraction of its traffic");
        }
        self.zones_due_at = zones.next_deadline(now);
        if changed_zones.is_empty() {
            return Vec::new();
        }
        let is_affected =
            |entry: &HostEntry| changed_zones.contains(&entry.zone) && entry.status != HostStatus::Removed;
        let entries = self.hosts.iter().filter(|host| !host.name.is_empty() && is_affected(&host.entry));
        let entries: Vec<_> =
            entries.filter_map(|host| Some(self.zones.as_ref()?.adjust_entry(host.entry))).collect();
        let drained: Vec<_> = entries
            .iter()
            .filter(|entry| entry.status != HostStatus::Active)
            .map(|entry| entry.host)
            .collect();
        if !drained.is_empty() {
            self.cancel_unsent_forwards(|_, forward| {
                drained.contains(&forward.decision.host) || drained.contains(&forward.decision.source)
            });
        }
        entries
    }

    /// Counts forwards as errored that are unanswered for longer than their latency objective while their connection
    /// received nothing. Forwards at a silent host end only when clients stop waiting, and meanwhile no more are sent
    /// there, so without this there would be no evidence against it.
    fn count_silent_forwards(&mut self) {
        let (now, limits) = (self.now, &self.limits);
        let Some(zones) = &mut self.zones else { return };
        for (_, link) in self.links.iter() {
            let unanswered = link.in_flight_gets.iter().filter(|&&get_index| {
                let pending = self.in_flight.get(get_index);
                let objective = limits.objective(pending.get.ds);
                pending.forward.is_some_and(|forward| {
                    link.received_at <= forward.sent_at && now - forward.sent_at > objective
                })
            });
            let count = unanswered.count() as u64;
            if count > 0 {
                zones.evidence_for(link.host).errored += count;
            }
        }
    }

    /// Closes the interval: updates the local evidence on zones and sends a report.
    fn send_zone_report(&mut self) {
        self.count_silent_forwards();
        let (now, Some(zones)) = (self.now, &mut self.zones) else { return };
        zones.next_report_at = now + zones.report_interval;
        let mut zone_evidence = vec![myrtlegauge_zones::HostEvidence::default(); zones.names.len()];
        let mut report = ZoneReport::default();
        for (host, evidence) in std::mem::take(&mut zones.host_evidence).into_iter().enumerate() {
            let Some(host_state) = self.hosts.get(host) else { continue };
            let (answered, Some(zone)) =
                (evidence.returned + evidence.errored, zone_evidence.get_mut(host_state.entry.zone))
            else {
                continue;
            };
            if answered > 0 {
                zone.contacted += 1;
                zone.failed += u32::from(evidence.errored * 2 > answered);
                zone.late += u32::from(
                    evidence.errored * 2 <= answered && (evidence.late + evidence.errored) * 2 > answered,
                );
            }
            if let Some(address) = host_state.address.filter(|_| answered > 0 || !evidence.fills.is_empty()) {
                let name = String::from_utf8_lossy(&host_state.name).into_owned();
                report.hosts.push((name, address, evidence));
            }
        }
        zones.local_rule.record(&zone_evidence, now);
        report.held_verdicts = zones
            .names
            .iter()
            .enumerate()
            .map(|(zone, name)| (name.clone(), zones.held_verdicts.verdict(zone)))
            .collect();
        report.gets_taken =
            self.counters.taken - std::mem::replace(&mut zones.reported_gets, self.counters.taken);
        (zones.report)(report);
    }
}
