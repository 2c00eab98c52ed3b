//! The fleet's verdicts on zones at this dispatcher: news come in, evidence goes out, and the list that the module is told
//! bears what holds now. Only where an operator file names services to follow; never in `run`.

use super::proxy::Proxy;
use myrtlegauge::interface::{End, HostEntry, HostIndex, HostStatus};
use myrtlegauge_zones::{HeldVerdicts, HostEvidence, LocalRule, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// What a control service says, as it was read off its stream.
#[derive(Clone, Debug)]
pub enum ZoneNews {
    /// A verdict on a zone, by its name, and how long until it takes effect.
    Verdict { zone: String, verdict: Verdict, lead: Duration },
    /// All that it says is known here, for so long from now on.
    Lease(Duration),
}

/// What is reported of one host, of one interval.
#[derive(Clone, Debug, Default)]
pub struct SeenHost {
    pub returned: u64,
    pub errored: u64,
    /// Of those returned, late ones that did not wait for a source.
    pub late: u64,
    /// Fills asked of it as a source, by delivery service: all, and late or failed ones.
    pub fills: Vec<(u64, u64)>,
}

/// What this dispatcher saw in an interval, and what it holds of each zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneReport {
    /// Each by its name, and the address by which it is reached from here.
    pub hosts: Vec<(String, SocketAddr, SeenHost)>,
    pub held: Vec<(String, Verdict)>,
    /// GETs taken since the last report, those that were shed at once included.
    pub taken: u64,
}

/// How one talks with the services that it follows.
pub struct ZonePort {
    pub news: calloop::channel::Channel<ZoneNews>,
    pub report: Box<dyn Fn(ZoneReport)>,
    pub every: Duration,
}

pub struct Zones {
    names: Vec<String>,
    held: HeldVerdicts,
    local_rule: LocalRule,
    /// As the module was told them last.
    parts: Vec<f64>,
    sheds: f64,
    seen: Vec<SeenHost>,
    reports_at: Duration,
    taken: u64,
    every: Duration,
    report: Box<dyn Fn(ZoneReport)>,
}

impl Zones {
    pub fn new(names: Vec<String>, every: Duration, report: Box<dyn Fn(ZoneReport)>, now: Duration) -> Self {
        let count = names.len();
        Self {
            held: HeldVerdicts::new(count, now),
            local_rule: LocalRule::new(count),
            parts: vec![1.0; count],
            names,
            sheds: 0.0,
            seen: Vec::new(),
            reports_at: now + every,
            taken: 0,
            every,
            report,
        }
    }

    fn part(&self, zone: usize, now: Duration) -> f64 {
        self.held.key_fraction(zone, now).min(self.local_rule.max_key_fraction(zone, now))
    }

    /// A host's entry as the module is told it: a zone that takes nothing drains, one that comes back takes a part.
    pub fn told(&self, entry: HostEntry) -> HostEntry {
        let part = self.parts.get(entry.zone).copied().unwrap_or(1.0);
        let drains = part <= 0.0 && entry.status == HostStatus::Active;
        let standing = if drains { HostStatus::Draining } else { entry.status };
        HostEntry { status: standing, withheld_fraction: 1.0 - part, ..entry }
    }

    /// Whether a key is of the part that the fleet sheds.
    pub fn is_over(&self, key: u64) -> bool {
        self.sheds > 0.0 && myrtlegauge::snapshot::is_in_key_fraction(key, OVER, self.sheds)
    }

    pub fn is_unsure(&self, now: Duration) -> bool {
        self.held.is_uncertain(now)
    }

    pub fn due(&self, now: Duration) -> Duration {
        self.held.next_change(now).min(self.local_rule.next_change(now)).min(self.reports_at)
    }

    pub fn woke(&mut self, now: Duration) {
        self.held.on_resume(now);
    }

    fn seen_of(&mut self, host: HostIndex) -> &mut SeenHost {
        self.seen.resize(self.seen.len().max(host + 1), SeenHost::default());
        &mut self.seen[host]
    }

    /// Counts how a forward ended, for its host and for the source that it was filled from.
    pub fn saw(
        &mut self,
        host: HostIndex,
        source: HostIndex,
        end: End,
        late: bool,
        filled: Option<(usize, bool)>,
    ) {
        let seen = self.seen_of(host);
        match end {
            End::Returned => (seen.returned, seen.late) = (seen.returned + 1, seen.late + u64::from(late)),
            End::NoConnection | End::Reset | End::Spoilt | End::TimedOut => seen.errored += 1,
            End::Withdrawn if late => seen.errored += 1,
            End::NeverSent | End::Withdrawn => {}
            _ => seen.returned += 1,
        }
        if let Some((ds, bad)) = filled {
            let fills = &mut self.seen_of(source).fills;
            fills.resize(fills.len().max(ds + 1), (0, 0));
            fills[ds] = (fills[ds].0 + 1, fills[ds].1 + u64::from(bad));
        }
    }
}

/// Keeps the part that is shed apart from the parts that hosts take.
const OVER: u64 = 0x51ed_270b_27d1_e2a5;

impl Proxy {
    /// What services said since the last turn.
    pub fn hear_zones(&mut self) {
        for news in std::mem::take(&mut self.zone_heard) {
            self.zones_due = self.now;
            self.zone_news(news);
        }
    }

    /// News of zones; what they change is told to the module by `zones_moved`.
    fn zone_news(&mut self, news: ZoneNews) {
        let (now, Some(zones)) = (self.now, &mut self.zones) else { return };
        match news {
            ZoneNews::Lease(left) => zones.held.renew_lease(now + left),
            ZoneNews::Verdict { zone, verdict, lead } => {
                let Some(at) = zones.names.iter().position(|name| *name == zone) else { return };
                if zones.held.apply(at, &verdict, lead, now) {
                    let Verdict { epoch, part, sheds, .. } = verdict;
                    log::info!(zone:%, epoch, stage:? = verdict.stage, part, sheds; "zone verdict");
                }
            }
        }
    }

    /// Closes an interval of evidence where it is over; the hosts whose zones take another part from now on, as the
    /// module is to be told them.
    pub fn zones_moved(&mut self) -> Vec<HostEntry> {
        let now = self.now;
        if self.zones.as_ref().is_some_and(|zones| now >= zones.reports_at) {
            self.report_zones();
        }
        let Some(zones) = &mut self.zones else { return Vec::new() };
        zones.sheds = zones.held.shed_fraction(now);
        let moved: Vec<usize> =
            (0..zones.parts.len()).filter(|&zone| zones.part(zone, now) != zones.parts[zone]).collect();
        for &zone in &moved {
            zones.parts[zone] = zones.part(zone, now);
            log::info!(zone:% = zones.names[zone], part = zones.parts[zone]; "zone takes");
        }
        self.zones_due = zones.due(now);
        if moved.is_empty() {
            return Vec::new();
        }
        let concerned =
            |entry: &HostEntry| moved.contains(&entry.zone) && entry.status != HostStatus::Removed;
        let entries = self.hosts.iter().filter(|host| !host.name.is_empty() && concerned(&host.entry));
        let entries: Vec<_> =
            entries.filter_map(|host| Some(self.zones.as_ref()?.told(host.entry))).collect();
        let drained: Vec<_> = entries
            .iter()
            .filter(|entry| entry.status != HostStatus::Active)
            .map(|entry| entry.host)
            .collect();
        if !drained.is_empty() {
            self.decide_anew(|_, out| drained.contains(&out.to.host) || drained.contains(&out.to.source));
        }
        entries
    }

    /// Counts forwards that a host has not answered, nor anything else since, for longer than their objective: one that
    /// is silent ends nothing until clients give up, and nothing more is sent there meanwhile.
    fn see_silent(&mut self) {
        let (now, limits) = (self.now, &self.limits);
        let Some(zones) = &mut self.zones else { return };
        for (_, link) in self.links.iter() {
            let silent = link.out.iter().filter(|&&place| {
                let pending = self.in_flight.peek(place);
                let aim = limits.aim(pending.get.ds);
                pending.out.is_some_and(|out| link.heard_at <= out.at && now - out.at > aim)
            });
            let count = silent.count() as u64;
            if count > 0 {
                zones.seen_of(link.host).errored += count;
            }
        }
    }

    fn report_zones(&mut self) {
        self.see_silent();
        let (now, Some(zones)) = (self.now, &mut self.zones) else { return };
        zones.reports_at = now + zones.every;
        let mut saw = vec![HostEvidence::default(); zones.names.len()];
        let mut report = ZoneReport::default();
        for (host, seen) in std::mem::take(&mut zones.seen).into_iter().enumerate() {
            let Some(of) = self.hosts.get(host) else { continue };
            let (all, Some(saw)) = (seen.returned + seen.errored, saw.get_mut(of.entry.zone)) else {
                continue;
            };
            if all > 0 {
                saw.contacted += 1;
                saw.failed += u32::from(seen.errored * 2 > all);
                saw.late += u32::from(seen.errored * 2 <= all && (seen.late + seen.errored) * 2 > all);
            }
            if let Some(address) = of.address.filter(|_| all > 0 || !seen.fills.is_empty()) {
                let name = String::from_utf8_lossy(&of.name).into_owned();
                report.hosts.push((name, address, seen));
            }
        }
        zones.local_rule.record(&saw, now);
        report.held =
            zones.names.iter().enumerate().map(|(at, name)| (name.clone(), zones.held.verdict(at))).collect();
        report.taken = self.counters.taken - std::mem::replace(&mut zones.taken, self.counters.taken);
        (zones.report)(report);
    }
}
