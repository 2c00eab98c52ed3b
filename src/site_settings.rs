//! Settings that are read once at the start: those of the router's site and of its delivery services.

use crate::settings::{Settings, duration, flag, list, number, positive_number, served_zones, text};
use std::time::Duration;

/// A delivery service with its latency objective and its rules for copies and repeats.
pub struct DeliveryService {
    /// The latency objective, and the seconds that each second of a GET's own sending time adds to it.
    pub objective_s: f64,
    pub objective_stretch: f64,
    pub fresh_time: Duration,
    pub grace: Duration,
    pub is_write: bool,
    pub is_idempotent: bool,
    pub is_tokened: bool,
    pub token_group: TokenGroup,
    pub token_window: Duration,
}

/// The group of hosts that drops repeats of a tokened GET.
#[derive(PartialEq)]
pub enum TokenGroup {
    All,
    Zone,
    Cell,
}

/// Slow start of the hosts of a tier, and how many routers share each host.
pub struct SlowStartSettings {
    pub initial_fraction: f64,
    pub duration: Duration,
    pub overload_factor: f64,
    pub sharing_routers: f64,
}

/// Router counts from the settings.
struct ToldRouters {
    all: f64,
    /// At this location.
    here: f64,
    /// That choose from the caches that are chosen from here.
    at_caches: f64,
    /// At this location's hub.
    at_hub: f64,
}

/// Settings of the router's site: zones, tiers, rates and limits.
pub struct SiteSettings {
    pub zone: usize,
    /// Zones whose caches this router uses.
    serves: Vec<usize>,
    pub hub_by_zone: Vec<usize>,
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    pub routers: f64,
    /// The counts from the settings.
    told: ToldRouters,
    /// Other routers at this location.
    pub other_local_routers: f64,
    /// Routers at this location's hub.
    hub_routers: f64,
    /// Rate of one transfer to a client.
    pub transfer_kb_per_s: f64,
    /// Number of such transfers that fit the inbound link of the location; 0 if unknown.
    pub link_transfers: f64,
    pub can_join_fills: bool,
    pub can_bypass_caches: bool,
    pub has_fill_notes: bool,
    pub has_weights: bool,
    pub can_withdraw: bool,
    /// The host list is sent only on request.
    pub must_request_list: bool,
    /// The longest wait that clients obey, if they receive one.
    pub max_retry_after: Option<Duration>,
    pub cache_slow_start: SlowStartSettings,
    pub parent_slow_start: SlowStartSettings,
    /// Seconds of overload after which a cold host fails.
    pub overload_window_s: f64,
    pub max_purge_delay: Duration,
    pub time_resolution: Duration,
    pub max_forwards: u32,
    /// Origin fills per second that all routers together may request, if configured.
    pub origin_fills_per_s: Option<f64>,
}

impl DeliveryService {
    pub fn parse_all(told: &Settings) -> Result<Vec<Self>, String> {
        (0..list(told, "classes")?.len()).map(|ds| Self::parse(told, ds)).collect()
    }

    fn parse(told: &Settings, ds: usize) -> Result<Self, String> {
        let per = |name: &str| duration(told, &format!("domain.{name}.{ds}")).unwrap_or_default();
        let of = |name: &str| format!("classes.{ds}.{name}");
        Ok(Self {
            objective_s: duration(told, &of("aim_ms"))?.as_secs_f64(),
            objective_stretch: number(told, &of("aim_stretch")).unwrap_or(0.0),
            fresh_time: per("lifetime_by_class_ms"),
            grace: per("grace_for_ms"),
            is_write: flag(told, &format!("domain.pass_on.{ds}")),
            is_idempotent: text(told, &of("effect")) == "idempotent",
            is_tokened: text(told, &of("effect")) == "deduplicated",
            token_group: match text(told, &of("group")) {
                "all" => TokenGroup::All,
                "zone" => TokenGroup::Zone,
                _ => TokenGroup::Cell,
            },
            token_window: duration(told, &of("key_ttl_ms")).unwrap_or_default(),
        })
    }
}

impl SiteSettings {
    /// Whether this router uses the caches of a zone.
    pub fn serves(&self, zone: usize) -> bool {
        self.serves.contains(&zone)
    }

    /// Sets the number of routers that share the sources. The routers of this location and of its hub are assumed to be the
    /// same fraction of all as in the settings.
    pub fn set_router_count(&mut self, routers: f64) {
        let ToldRouters { all, here, at_caches, at_hub } = self.told;
        let part = routers / all;
        self.routers = routers.max(1.0);
        self.other_local_routers = (here * part).max(1.0) - 1.0;
        // A count that falls may be a partition seen from one side: a host in slow start still gets what all send.
        self.cache_slow_start.sharing_routers = at_caches * part.max(1.0);
        self.parent_slow_start.sharing_routers = at_hub * part.max(1.0);
        self.hub_routers = (at_hub * part).max(1.0);
    }

    /// Number of routers that share a source.
    pub fn source_sharers(&self, is_parent: bool) -> f64 {
        if is_parent { self.hub_routers } else { self.routers }
    }

    pub fn parse(told: &Settings) -> Result<Self, String> {
        let places = |name: &str| -> Vec<usize> {
            let values = list(told, name).unwrap_or_default();
            values.iter().map(|v| v.as_u64().unwrap_or(0) as usize).collect()
        };
        let (zone, hub_of) = (number(told, "my_zone")? as usize, places("domain.hub_of"));
        let (counts, routers) = (places("domain.count_by_zone"), positive_number(told, "balancers")?);
        if list(told, "zones").is_ok_and(|zones| zone >= zones.len()) {
            return Err(format!("setting my_zone names place {zone}, which is not among the zones"));
        }
        let zone_routers = counts.get(zone).map_or(routers, |&n| n as f64).max(1.0);
        let serves = served_zones(told)?;
        // Routers of a zone whose caches are chosen from here may choose them, too.
        let at_caches = serves.iter().map(|&zone| counts.get(zone).map_or(0.0, |&n| n as f64)).sum::<f64>();
        let at_caches = at_caches.max(zone_routers);
        let near = hub_of.iter().zip(&counts).filter(|(hub, _)| Some(*hub) == hub_of.get(zone));
        let near = near.map(|(_, &n)| n as f64).sum::<f64>().max(1.0);
        let flow = positive_number(told, "domain.flow_kb_per_s")?;
        let heard = flag(told, "limits.retry_after");
        Ok(Self {
            zone,
            serves,
            parent_kind: Some(number(told, "domain.shield_kind")?).filter(|&k| k >= 0.0).map(|k| k as usize),
            origin_kind: number(told, "domain.master_kind")? as usize,
            routers,
            told: ToldRouters { all: routers, here: zone_routers, at_caches, at_hub: near },
            other_local_routers: zone_routers - 1.0,
            hub_routers: near,
            transfer_kb_per_s: flow,
            link_transfers: number(told, &format!("domain.feed_kb_per_s.{zone}")).unwrap_or(0.0) / flow,
            can_join_fills: flag(told, "domain.shares_fills"),
            can_bypass_caches: flag(told, "domain.pass_through_ok"),
            has_fill_notes: text(told, "domain.note_level") == "all",
            has_weights: !matches!(text(told, "weights"), "" | "silent"),
            can_withdraw: flag(told, "limits.cancel"),
            must_request_list: text(told, "discovery") == "on_request",
            max_retry_after: duration(told, "limits.max_retry_after_ms").ok().filter(|_| heard),
            cache_slow_start: SlowStartSettings {
                initial_fraction: number(told, "obligations.start_capacity")?,
                duration: duration(told, "obligations.warm_within_ms")?,
                overload_factor: positive_number(told, "obligations.fall_multiple")?,
                sharing_routers: at_caches,
            },
            parent_slow_start: SlowStartSettings {
                initial_fraction: number(told, "domain.parent_floor").unwrap_or(0.0),
                duration: duration(told, "domain.parent_cold_ms").unwrap_or_default(),
                overload_factor: number(told, "domain.parent_breaks_at").unwrap_or(1.0),
                sharing_routers: near,
            },
            overload_window_s: duration(told, "obligations.fall_ms")?.as_secs_f64(),
            max_purge_delay: duration(told, "domain.gone_everywhere_ms").unwrap_or_default(),
            time_resolution: duration(told, "resolution_ms").unwrap_or_default(),
            max_forwards: number(told, "limits.max_attempts").map_or(u32::MAX, |n| n as u32),
            origin_fills_per_s: number(told, "domain.origin_rate_per_s").ok().filter(|&rate| rate > 0.0),
            hub_by_zone: hub_of,
        })
    }
}
