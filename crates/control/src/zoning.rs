//! The fleet's verdicts on zones in a control service: evidence out of load reports, verdicts as notices, what operators are
//! shown and order. What is decided is decided in `myrtlegauge_zones`.

use crate::exchange::Exchange;
use crate::messages::{self, ZoneLine};
use crate::shelf::{Kind, Resource, Version};
use crate::shown::{number, text};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::status::v3::ClientConfig;
use envoy_types::pb::google::protobuf::Struct;
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_zones::{Fleet, Order, Saw, Terms, Verdict};
use std::time::Duration;

/// What a report says of one host: its zone, GETs returned, those that failed, those late.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub zone: usize,
    pub returned: u64,
    pub errored: u64,
    pub late: u64,
}

pub struct Zoning {
    core: Fleet,
    /// The footprint's numbers of the zones.
    numbers: Vec<usize>,
}

impl Zoning {
    /// Where the file asks for it.
    pub fn of(file: &OperatorFile, reports_every: Duration, now: Duration) -> Option<Self> {
        let told = file.control.as_ref()?.zones?;
        let zones: Vec<_> = file.zones.iter().map(|zone| (zone.name.clone(), zone.capacity_per_s)).collect();
        let start =
            |name: &str| file.decision_settings.get("obligations").and_then(|o| o.get(name)?.as_f64());
        let terms = Terms {
            quorum: told.quorum,
            least_voters: told.min_voters,
            reports_every,
            hold: told.hold,
            tries: told.max_reverted_steps,
            cold_share: start("start_capacity").unwrap_or(1.0),
            warm_within: Duration::from_secs_f64(start("warm_within_ms").unwrap_or(0.0) / 1e3),
        };
        let numbers = file.zones.iter().map(|zone| zone.index).collect();
        Some(Self { core: Fleet::new(terms, &zones, now), numbers })
    }

    /// Takes one dispatcher's report: what it saw of hosts, GETs that it took, its fills at sources, the verdicts that it holds.
    pub fn reported(
        &mut self,
        node: &str,
        hosts: &[Told],
        taken: u64,
        fills: (u64, u64),
        held: Option<&Struct>,
        now: Duration,
    ) {
        self.core.reported(node, taken, fills, now);
        for (at, &zone) in self.numbers.iter().enumerate() {
            let (mut saw, mut gets) = (Saw::default(), 0);
            for host in hosts.iter().filter(|host| host.zone == zone) {
                let all = host.returned + host.errored;
                gets += all;
                saw.asked += u32::from(all > 0);
                let failed = host.errored * 2 > all;
                saw.failed += u32::from(failed);
                saw.late += u32::from(!failed && (host.errored + host.late) * 2 > all);
            }
            self.core.saw(node, at, &saw, gets, now);
            let name = &self.core.zones[at].name;
            if let Some(line) = held.and_then(|held| messages::zone_held(held, name)) {
                // What it was told some time ago has taken effect.
                self.core.holds(node, at, Verdict { from: now, ..line.verdict() }, now);
            }
        }
    }

    /// Whether what is published changed.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.core.tick(now)
    }

    /// What part of their keys hosts of each zone take, by the footprint's number.
    pub fn parts(&self, now: Duration) -> impl Iterator<Item = (usize, f64)> {
        let part = move |verdict: &Verdict| if now >= verdict.from { Some(verdict.part) } else { None };
        let zones = self.numbers.iter().zip(&self.core.zones);
        zones.filter_map(move |(&number, zone)| Some((number, part(&zone.verdict)?)))
    }

    /// Publishes each zone's verdict; nothing before it is known what followers hold.
    pub fn publish(&self, exchange: &mut Exchange, now: Duration, unix_ms: u64) {
        if !self.core.is_ready() {
            return;
        }
        for zone in &self.core.zones {
            let lead = zone.verdict.from.saturating_sub(now).as_millis() as u64;
            let line = ZoneLine::of(&zone.verdict, unix_ms + lead);
            let name = messages::zone_name(&zone.name);
            // The time of day differs at each look: what it is of, is said once.
            let said = format!("{:?}", zone.verdict);
            let version = Version::of(zone.verdict.epoch, 0, said.as_bytes());
            if exchange.shelf().get(Kind::Notice, &name).is_some_and(|known| known.version == version) {
                continue;
            }
            let resource = Resource { version, body: line.body(&name).into(), leased: false };
            exchange.put(Kind::Notice, &name, Some(resource), true);
        }
    }

    /// An operator's word.
    ///
    /// # Errors
    /// A zone or an order that is not known, with those that are.
    pub fn order(&mut self, zone: &str, what: &str, now: Duration) -> Result<(), String> {
        let at = self.core.zones.iter().position(|of| of.name == zone).ok_or_else(|| {
            let names: Vec<_> = self.core.zones.iter().map(|of| of.name.as_str()).collect();
            format!("zone {zone:?} is not known; zones are {}", names.join(", "))
        })?;
        let order = match what {
            "leave" => Order::Leave,
            "hold" => Order::Hold,
            "return" => Order::None,
            _ => return Err(format!("order {what:?} is not known; orders are leave, hold, return")),
        };
        log::warn!(zone, order = what; "an operator's order");
        self.core.order(at, order, now);
        Ok(())
    }

    /// A line for each zone, as the published answer has room for it: in a node's metadata.
    pub fn shown(&self, now: Duration) -> Vec<ClientConfig> {
        let zones = self.core.zones.iter().enumerate().map(|(at, zone)| {
            let (tally, verdict) = (self.core.tally(at, now), zone.verdict);
            let votes: Vec<_> = self
                .core
                .who(at, now)
                .map(|(who, vote)| format!("{who} {}", format!("{vote:?}").to_lowercase()))
                .collect();
            let lower = |said: String| text(&said.to_lowercase());
            let told = [
                ("stage", lower(format!("{:?}", verdict.stage))),
                ("why", lower(format!("{:?}", zone.why))),
                ("order", lower(format!("{:?}", zone.order))),
                ("epoch", number(verdict.epoch as f64)),
                ("part", number(verdict.part)),
                ("sheds", number(verdict.sheds)),
                ("step", number(f64::from(zone.step))),
                ("backs", number(f64::from(zone.backs))),
                ("since_ms", number(now.saturating_sub(zone.since).as_millis() as f64)),
                ("asked", number(zone.asked)),
                ("bears", number(zone.bears)),
                ("well", number(f64::from(tally.well))),
                ("ill", number(f64::from(tally.ill))),
                ("dead", number(f64::from(tally.dead))),
                ("members", number(self.core.members() as f64)),
                ("sources_bad", number(self.core.sources_bad)),
                ("votes", text(&votes.join(", "))),
            ];
            let fields = told.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
            let node = Node {
                id: messages::zone_name(&zone.name),
                metadata: Some(Struct { fields }),
                ..Default::default()
            };
            ClientConfig { node: Some(node), ..Default::default() }
        });
        zones.collect()
    }
}
