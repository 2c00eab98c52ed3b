//! The verdicts on zones in a control service: evidence from load reports, verdicts as published notices, status for
//! operators and their orders. The decisions are made in `myrtlegauge_zones`.

use crate::ads_server::AdsServer;
use crate::client_status::{number, text};
use crate::messages::{self, ZoneNotice};
use crate::resource_cache::{Resource, ResourceType, Version};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::status::v3::ClientConfig;
use envoy_types::pb::google::protobuf::Struct;
use myrtlegauge_operator::OperatorFile;
use myrtlegauge_zones::{EvacuationController, HostEvidence, Order, Verdict, ZonePolicy};
use std::time::Duration;

/// The outcomes of GETs at one host in a load report.
#[derive(Clone, Copy, Debug)]
pub struct HostOutcomes {
    pub zone: usize,
    pub returned: u64,
    pub errored: u64,
    pub late: u64,
}

/// Decides on zones and publishes the verdicts.
pub struct ZoneController {
    fleet: EvacuationController,
    /// The indices of the zones in the site settings, in the order of `fleet.zones`.
    zone_indices: Vec<usize>,
}

impl ZoneController {
    /// Creates the controller if the operator file has settings for it.
    pub fn from_file(file: &OperatorFile, reports_every: Duration, now: Duration) -> Option<Self> {
        let settings = file.control.as_ref()?.zones?;
        let zones: Vec<_> = file.zones.iter().map(|zone| (zone.name.clone(), zone.capacity_per_s)).collect();
        let slow_start_value = |name: &str| {
            file.decision_settings.get("obligations").and_then(|obligations| obligations.get(name)?.as_f64())
        };
        let policy = ZonePolicy {
            quorum: settings.quorum,
            min_voters: settings.min_voters,
            report_interval: reports_every,
            hold_down: settings.hold,
            max_step_backs: settings.max_step_backs,
            cold_fraction: slow_start_value("start_capacity").unwrap_or(1.0),
            warm_up_time: Duration::from_secs_f64(slow_start_value("warm_within_ms").unwrap_or(0.0) / 1e3),
        };
        let zone_indices = file.zones.iter().map(|zone| zone.index).collect();
        Some(Self { fleet: EvacuationController::new(policy, &zones, now), zone_indices })
    }

    /// Adds the report of one dispatcher: its outcomes at hosts, the number of GETs it took, its fills at sources, and the
    /// verdicts that it holds.
    pub fn on_report(
        &mut self,
        node: &str,
        hosts: &[HostOutcomes],
        gets_taken: u64,
        fills: (u64, u64),
        node_metadata: Option<&Struct>,
        now: Duration,
    ) {
        self.fleet.record_report(node, gets_taken, fills, now);
        for (index, &zone) in self.zone_indices.iter().enumerate() {
            let (mut evidence, mut gets) = (HostEvidence::default(), 0);
            for host in hosts.iter().filter(|host| host.zone == zone) {
                let total = host.returned + host.errored;
                gets += total;
                evidence.contacted += u32::from(total > 0);
                let has_failed = host.errored * 2 > total;
                evidence.failed += u32::from(has_failed);
                evidence.late += u32::from(!has_failed && (host.errored + host.late) * 2 > total);
            }
            self.fleet.record_evidence(node, index, &evidence, gets, now);
            let name = &self.fleet.zones[index].name;
            if let Some(notice) = node_metadata.and_then(|metadata| messages::held_verdict(metadata, name)) {
                // A verdict that a dispatcher reports as held has taken effect.
                self.fleet.record_held_verdict(node, index, Verdict { from: now, ..notice.verdict() }, now);
            }
        }
    }

    /// Updates the verdicts. Returns whether any changed and is to be published.
    pub fn tick(&mut self, now: Duration) -> bool {
        self.fleet.tick(now)
    }

    /// The fraction of their keys that the hosts of each zone take, by zone index, for verdicts in effect.
    pub fn key_fractions(&self, now: Duration) -> impl Iterator<Item = (usize, f64)> {
        let key_fraction =
            move |verdict: &Verdict| if now >= verdict.from { Some(verdict.part) } else { None };
        let zones = self.zone_indices.iter().zip(&self.fleet.zones);
        zones.filter_map(move |(&zone_index, zone)| Some((zone_index, key_fraction(&zone.verdict)?)))
    }

    /// Publishes the verdict on each zone. Nothing is published before it is known which verdicts the followers hold.
    pub fn publish(&self, server: &mut AdsServer, now: Duration, unix_ms: u64) {
        if !self.fleet.is_ready() {
            return;
        }
        for zone in &self.fleet.zones {
            let lead_ms = zone.verdict.from.saturating_sub(now).as_millis() as u64;
            let notice = ZoneNotice::from_verdict(&zone.verdict, unix_ms + lead_ms);
            let name = messages::zone_resource_name(&zone.name);
            // `from_unix_ms` is computed on each call and may differ, so the version covers the verdict instead.
            let version_text = format!("{:?}", zone.verdict);
            let version = Version::new(zone.verdict.epoch, 0, version_text.as_bytes());
            if server.cache().get(ResourceType::Notice, &name).is_some_and(|known| known.version == version) {
                continue;
            }
            let resource = Resource { version, body: notice.encode_notice(&name).into(), is_leased: false };
            server.put(ResourceType::Notice, &name, Some(resource), true);
        }
    }

    /// Applies an order of an operator to a zone.
    ///
    /// # Errors
    /// The zone or the order is unknown. The error lists the known ones.
    pub fn apply_order(&mut self, zone: &str, order: &str, now: Duration) -> Result<(), String> {
        let index = self.fleet.zones.iter().position(|known| known.name == zone).ok_or_else(|| {
            let names: Vec<_> = self.fleet.zones.iter().map(|known| known.name.as_str()).collect();
            format!("unknown zone {zone:?}; the zones are {}", names.join(", "))
        })?;
        let parsed_order = match order {
            "leave" => Order::Leave,
            "hold" => Order::Hold,
            "return" => Order::None,
            _ => return Err(format!("order {order:?} is unknown; the orders are leave, hold, return")),
        };
        log::warn!(zone, order; "applying an order of an operator");
        self.fleet.set_order(index, parsed_order, now);
        Ok(())
    }

    /// The status of each zone. The values are stored in the metadata of a node.
    pub fn statuses(&self, now: Duration) -> Vec<ClientConfig> {
        let zones = self.fleet.zones.iter().enumerate().map(|(index, zone)| {
            let (tally, verdict) = (self.fleet.tally(index, now), zone.verdict);
            let votes: Vec<_> = self
                .fleet
                .votes(index, now)
                .map(|(voter, vote)| format!("{voter} {}", format!("{vote:?}").to_lowercase()))
                .collect();
            let lower = |debug_text: String| text(&debug_text.to_lowercase());
            let fields = [
                ("stage", lower(format!("{:?}", verdict.stage))),
                ("why", lower(format!("{:?}", zone.why))),
                ("order", lower(format!("{:?}", zone.order))),
                ("epoch", number(verdict.epoch as f64)),
                ("part", number(verdict.part)),
                ("sheds", number(verdict.sheds)),
                ("step", number(f64::from(zone.step))),
                ("backs", number(f64::from(zone.step_backs))),
                ("since_ms", number(now.saturating_sub(zone.since).as_millis() as f64)),
                ("asked", number(zone.get_rate)),
                ("bears", number(zone.capacity)),
                ("well", number(f64::from(tally.well))),
                ("ill", number(f64::from(tally.ill))),
                ("dead", number(f64::from(tally.dead))),
                ("members", number(self.fleet.member_count() as f64)),
                ("sources_bad", number(self.fleet.bad_source_fraction)),
                ("votes", text(&votes.join(", "))),
            ];
            let fields = fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
            let node = Node {
                id: messages::zone_resource_name(&zone.name),
                metadata: Some(Struct { fields }),
                ..Default::default()
            };
            ClientConfig { node: Some(node), ..Default::default() }
        });
        zones.collect()
    }
}
