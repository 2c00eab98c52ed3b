//! What is read once at the start: the places, machines and rules around a router, and its delivery services.

use crate::values::{Values, above_zero, flag, list, number, served, span, text};
use std::time::Duration;

/// One of the kinds of GET, with its promise to clients.
pub struct DeliveryService {
    /// Latency objective, s, and what each second of a GET's own sending time adds to it.
    pub objective: f64,
    pub stretch: f64,
    pub fresh: Duration,
    pub grace: Duration,
    pub write: bool,
    pub idempotent: bool,
    pub tokened: bool,
    pub group: TokenGroup,
    pub token_window: Duration,
}

/// Where repeats of a tokened GET are dropped.
#[derive(PartialEq)]
pub enum TokenGroup {
    All,
    Zone,
    Cell,
}

/// How the hosts of a tier start, and how many routers share one.
pub struct ColdStart {
    pub from: f64,
    pub long: Duration,
    pub falls_at: f64,
    pub routers: f64,
}

/// How many routers there are, as told at the start.
struct ToldRouters {
    all: f64,
    /// At this location.
    here: f64,
    /// That choose from the caches that are chosen from here.
    at_caches: f64,
    /// At this location's hub.
    at_hub: f64,
}

pub struct Footprint {
    pub zone: usize,
    /// Zones whose caches are chosen from here.
    serves: Vec<usize>,
    pub hub_of: Vec<usize>,
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    pub routers: f64,
    /// The same, as told at the start.
    told: ToldRouters,
    /// Other routers at this location.
    pub neighbours: f64,
    /// Routers at this location's hub.
    hub_routers: f64,
    /// Kilobytes a second of one transfer to a client.
    pub flow: f64,
    /// Such transfers that the location's link in fits; 0: not told.
    pub link: f64,
    pub joins: bool,
    pub direct: bool,
    pub notes: bool,
    pub weights: bool,
    pub cancel: bool,
    /// The list of hosts must be asked for.
    pub ask_list: bool,
    /// The longest wait that a client heeds, where it hears of one.
    pub come_back: Option<Duration>,
    pub cache_start: ColdStart,
    pub parent_start: ColdStart,
    /// Seconds of too much work after which a cold host falls over.
    pub falls_in: f64,
    pub purged_within: Duration,
    pub tick: Duration,
    pub most_forwards: u32,
    /// Origin fills a second that all routers together may ask for, where told.
    pub origin_rate: Option<f64>,
}

impl DeliveryService {
    pub fn read_all(told: &Values) -> Result<Vec<Self>, String> {
        (0..list(told, "classes")?.len()).map(|ds| Self::read(told, ds)).collect()
    }

    fn read(told: &Values, ds: usize) -> Result<Self, String> {
        let per = |name: &str| span(told, &format!("domain.{name}.{ds}")).unwrap_or_default();
        let of = |name: &str| format!("classes.{ds}.{name}");
        Ok(Self {
            objective: span(told, &of("aim_ms"))?.as_secs_f64(),
            stretch: number(told, &of("aim_stretch")).unwrap_or(0.0),
            fresh: per("lifetime_by_class_ms"),
            grace: per("grace_for_ms"),
            write: flag(told, &format!("domain.pass_on.{ds}")),
            idempotent: text(told, &of("effect")) == "idempotent",
            tokened: text(told, &of("effect")) == "deduplicated",
            group: match text(told, &of("group")) {
                "all" => TokenGroup::All,
                "zone" => TokenGroup::Zone,
                _ => TokenGroup::Cell,
            },
            token_window: span(told, &of("key_ttl_ms")).unwrap_or_default(),
        })
    }
}

impl Footprint {
    /// Whether the caches of a zone are chosen from here.
    pub fn serves(&self, zone: usize) -> bool {
        self.serves.contains(&zone)
    }

    /// So many routers share the sources from now on; those of this location and its hub are taken to be the same part
    /// of them as were told.
    pub fn shared_by(&mut self, routers: f64) {
        let ToldRouters { all, here, at_caches, at_hub } = self.told;
        let part = routers / all;
        self.routers = routers.max(1.0);
        self.neighbours = (here * part).max(1.0) - 1.0;
        // A count that falls may be a partition seen from one side: a host in slow start still gets what all send.
        self.cache_start.routers = at_caches * part.max(1.0);
        self.parent_start.routers = at_hub * part.max(1.0);
        self.hub_routers = (at_hub * part).max(1.0);
    }

    /// Routers that share a source.
    pub fn sharers(&self, is_parent: bool) -> f64 {
        if is_parent { self.hub_routers } else { self.routers }
    }

    pub fn read(told: &Values) -> Result<Self, String> {
        let places = |name: &str| -> Vec<usize> {
            let values = list(told, name).unwrap_or_default();
            values.iter().map(|v| v.as_u64().unwrap_or(0) as usize).collect()
        };
        let (zone, hub_of) = (number(told, "my_zone")? as usize, places("domain.hub_of"));
        let (counts, routers) = (places("domain.count_by_zone"), above_zero(told, "balancers")?);
        if list(told, "zones").is_ok_and(|zones| zone >= zones.len()) {
            return Err(format!("setting my_zone names place {zone}, which is not among the zones"));
        }
        let zone_routers = counts.get(zone).map_or(routers, |&n| n as f64).max(1.0);
        let serves = served(told)?;
        // Routers of a zone whose caches are chosen from here may choose them, too.
        let at_caches = serves.iter().map(|&zone| counts.get(zone).map_or(0.0, |&n| n as f64)).sum::<f64>();
        let at_caches = at_caches.max(zone_routers);
        let near = hub_of.iter().zip(&counts).filter(|(hub, _)| Some(*hub) == hub_of.get(zone));
        let near = near.map(|(_, &n)| n as f64).sum::<f64>().max(1.0);
        let flow = above_zero(told, "domain.flow_kb_per_s")?;
        let heard = flag(told, "limits.retry_after");
        Ok(Self {
            zone,
            serves,
            parent_kind: Some(number(told, "domain.shield_kind")?).filter(|&k| k >= 0.0).map(|k| k as usize),
            origin_kind: number(told, "domain.master_kind")? as usize,
            routers,
            told: ToldRouters { all: routers, here: zone_routers, at_caches, at_hub: near },
            neighbours: zone_routers - 1.0,
            hub_routers: near,
            flow,
            link: number(told, &format!("domain.feed_kb_per_s.{zone}")).unwrap_or(0.0) / flow,
            joins: flag(told, "domain.shares_fills"),
            direct: flag(told, "domain.pass_through_ok"),
            notes: text(told, "domain.note_level") == "all",
            weights: !matches!(text(told, "weights"), "" | "silent"),
            cancel: flag(told, "limits.cancel"),
            ask_list: text(told, "discovery") == "on_request",
            come_back: span(told, "limits.max_retry_after_ms").ok().filter(|_| heard),
            cache_start: ColdStart {
                from: number(told, "obligations.start_capacity")?,
                long: span(told, "obligations.warm_within_ms")?,
                falls_at: above_zero(told, "obligations.fall_multiple")?,
                routers: at_caches,
            },
            parent_start: ColdStart {
                from: number(told, "domain.parent_floor").unwrap_or(0.0),
                long: span(told, "domain.parent_cold_ms").unwrap_or_default(),
                falls_at: number(told, "domain.parent_breaks_at").unwrap_or(1.0),
                routers: near,
            },
            falls_in: span(told, "obligations.fall_ms")?.as_secs_f64(),
            purged_within: span(told, "domain.gone_everywhere_ms").unwrap_or_default(),
            tick: span(told, "resolution_ms").unwrap_or_default(),
            most_forwards: number(told, "limits.max_attempts").map_or(u32::MAX, |n| n as u32),
            origin_rate: number(told, "domain.origin_rate_per_s").ok().filter(|&rate| rate > 0.0),
            hub_of,
        })
    }
}
