//! Settings that are read once at startup: those of the router's site and of its delivery services.

use crate::settings::{Settings, duration, flag, list, number, positive_number, served_zones, text};
use std::time::Duration;

/// A delivery service with its latency objective and its rules for cached copies and for repeats.
pub struct DeliveryService {
    /// The latency objective, and the seconds that each second of a GET's own sending time adds to it.
    pub objective_s: f64,
    pub objective_stretch: f64,
    pub fresh_time: Duration,
    pub grace: Duration,
    /// GETs of this service are passed on to the origin.
    pub is_write: bool,
    pub is_idempotent: bool,
    /// Hosts drop repeats of a GET by its token.
    pub is_tokened: bool,
    pub token_group: TokenGroup,
    /// Time for which repeats are dropped.
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
    /// Fraction of its full work that a host can do right after its start.
    pub initial_fraction: f64,
    pub duration: Duration,
    /// Multiple of the work that a cold host can do at which the host fails from overload.
    pub overload_factor: f64,
    pub sharing_routers: f64,
}

/// Router counts from the settings.
struct ConfiguredRouterCounts {
    all: f64,
    /// Routers at this location.
    at_location: f64,
    /// Routers that select from the caches that this router selects from.
    at_caches: f64,
    /// Routers at this location's hub.
    at_hub: f64,
}

/// Settings of the router's site: zones, tiers, rates and limits.
pub struct SiteSettings {
    pub zone: usize,
    /// Zones whose caches this router uses.
    served_zones: Vec<usize>,
    pub hub_by_zone: Vec<usize>,
    /// Kind of the hosts that are parents; `None` if there are no parents.
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    /// Number of routers that share the origin.
    pub routers: f64,
    configured_counts: ConfiguredRouterCounts,
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
    /// The longest retry delay that clients obey, if shed responses can carry one.
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
    /// Reads all delivery services from the settings.
    pub fn parse_all(settings: &Settings) -> Result<Vec<Self>, String> {
        (0..list(settings, "classes")?.len()).map(|ds| Self::parse(settings, ds)).collect()
    }

    fn parse(settings: &Settings, ds: usize) -> Result<Self, String> {
        let domain_duration =
            |name: &str| duration(settings, &format!("domain.{name}.{ds}")).unwrap_or_default();
        let class_key = |name: &str| format!("classes.{ds}.{name}");
        Ok(Self {
            objective_s: duration(settings, &class_key("aim_ms"))?.as_secs_f64(),
            objective_stretch: number(settings, &class_key("aim_stretch")).unwrap_or(0.0),
            fresh_time: domain_duration("lifetime_by_class_ms"),
            grace: domain_duration("grace_for_ms"),
            is_write: flag(settings, &format!("domain.pass_on.{ds}")),
            is_idempotent: text(settings, &class_key("effect")) == "idempotent",
            is_tokened: text(settings, &class_key("effect")) == "deduplicated",
            token_group: match text(settings, &class_key("group")) {
                "all" => TokenGroup::All,
                "zone" => TokenGroup::Zone,
                _ => TokenGroup::Cell,
            },
            token_window: duration(settings, &class_key("key_ttl_ms")).unwrap_or_default(),
        })
    }
}

impl SiteSettings {
    /// Whether this router uses the caches of a zone.
    pub fn uses_zone(&self, zone: usize) -> bool {
        self.served_zones.contains(&zone)
    }

    /// Sets the number of routers that share the sources. The routers of this location and of its hub are assumed to
    /// be the same fraction of all as in the settings.
    pub fn set_router_count(&mut self, routers: f64) {
        let ConfiguredRouterCounts { all, at_location, at_caches, at_hub } = self.configured_counts;
        let fraction = routers / all;
        self.routers = routers.max(1.0);
        self.other_local_routers = (at_location * fraction).max(1.0) - 1.0;
        // A lower count may be a network partition as seen from one side: a host in slow start still gets requests
        // from all routers.
        self.cache_slow_start.sharing_routers = at_caches * fraction.max(1.0);
        self.parent_slow_start.sharing_routers = at_hub * fraction.max(1.0);
        self.hub_routers = (at_hub * fraction).max(1.0);
    }

    /// Number of routers that share a source.
    pub fn source_sharers(&self, is_parent: bool) -> f64 {
        if is_parent { self.hub_routers } else { self.routers }
    }

    /// Reads the site's settings.
    pub fn parse(settings: &Settings) -> Result<Self, String> {
        let indices = |name: &str| -> Vec<usize> {
            let values = list(settings, name).unwrap_or_default();
            values.iter().map(|value| value.as_u64().unwrap_or(0) as usize).collect()
        };
        let (zone, hub_by_zone) = (number(settings, "my_zone")? as usize, indices("domain.hub_of"));
        let (routers_by_zone, routers) =
            (indices("domain.count_by_zone"), positive_number(settings, "balancers")?);
        if list(settings, "zones").is_ok_and(|zones| zone >= zones.len()) {
            return Err(format!("setting my_zone is {zone}, which is not an index into the list of zones"));
        }
        let zone_routers = routers_by_zone.get(zone).map_or(routers, |&count| count as f64).max(1.0);
        let served_zones = served_zones(settings)?;
        // Routers of a zone whose caches this router selects from may select them, too.
        let at_caches = served_zones
            .iter()
            .map(|&zone| routers_by_zone.get(zone).map_or(0.0, |&count| count as f64))
            .sum::<f64>();
        let at_caches = at_caches.max(zone_routers);
        let at_hub =
            hub_by_zone.iter().zip(&routers_by_zone).filter(|(hub, _)| Some(*hub) == hub_by_zone.get(zone));
        let at_hub = at_hub.map(|(_, &count)| count as f64).sum::<f64>().max(1.0);
        let transfer_kb_per_s = positive_number(settings, "domain.flow_kb_per_s")?;
        let has_retry_after = flag(settings, "limits.retry_after");
        Ok(Self {
            zone,
            served_zones,
            parent_kind: Some(number(settings, "domain.shield_kind")?)
                .filter(|&kind| kind >= 0.0)
                .map(|kind| kind as usize),
            origin_kind: number(settings, "domain.master_kind")? as usize,
            routers,
            configured_counts: ConfiguredRouterCounts {
                all: routers,
                at_location: zone_routers,
                at_caches,
                at_hub,
            },
            other_local_routers: zone_routers - 1.0,
            hub_routers: at_hub,
            transfer_kb_per_s,
            link_transfers: number(settings, &format!("domain.feed_kb_per_s.{zone}")).unwrap_or(0.0)
                / transfer_kb_per_s,
            can_join_fills: flag(settings, "domain.shares_fills"),
            can_bypass_caches: flag(settings, "domain.pass_through_ok"),
            has_fill_notes: text(settings, "domain.note_level") == "all",
            has_weights: !matches!(text(settings, "weights"), "" | "silent"),
            can_withdraw: flag(settings, "limits.cancel"),
            must_request_list: text(settings, "discovery") == "on_request",
            max_retry_after: duration(settings, "limits.max_retry_after_ms").ok().filter(|_| has_retry_after),
            cache_slow_start: SlowStartSettings {
                initial_fraction: number(settings, "obligations.start_capacity")?,
                duration: duration(settings, "obligations.warm_within_ms")?,
                overload_factor: positive_number(settings, "obligations.fall_multiple")?,
                sharing_routers: at_caches,
            },
            parent_slow_start: SlowStartSettings {
                initial_fraction: number(settings, "domain.parent_floor").unwrap_or(0.0),
                duration: duration(settings, "domain.parent_cold_ms").unwrap_or_default(),
                overload_factor: number(settings, "domain.parent_breaks_at").unwrap_or(1.0),
                sharing_routers: at_hub,
            },
            overload_window_s: duration(settings, "obligations.fall_ms")?.as_secs_f64(),
            max_purge_delay: duration(settings, "domain.gone_everywhere_ms").unwrap_or_default(),
            time_resolution: duration(settings, "resolution_ms").unwrap_or_default(),
            max_forwards: number(settings, "limits.max_attempts").map_or(u32::MAX, |count| count as u32),
            origin_fills_per_s: number(settings, "domain.origin_rate_per_s").ok().filter(|&rate| rate > 0.0),
            hub_by_zone,
        })
    }
}
