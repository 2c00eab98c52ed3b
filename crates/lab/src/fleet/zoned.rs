//! Fleets over several zones: the program's control services as processes, each dispatcher's own links to them, an observer of
//! verdicts, and voters that lie.

use super::judge::BIN;
use super::{Fault, Scene};
use crate::stand::hosts::{Host, STEP};
use crate::stand::link::Link;
use crate::stand::net::Party;
use crate::stand::service::Service;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use myrtlegauge_control::messages::address_of;
use myrtlegauge_dispatcher::routing::ZoneNews;
use myrtlegauge_follow::stream::{self, Following};
use myrtlegauge_zones::Verdict;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex as Held, mpsc};
use tokio_stream::wrappers::ReceiverStream;

/// How often dispatchers report, and how long a zone that was left rests.
pub const REPORTS: Duration = Duration::from_millis(250);
pub const HOLD: Duration = Duration::from_secs(3);

/// A control service with each dispatcher's link to it.
pub struct Followed {
    pub process: Held<Service>,
    pub address: SocketAddr,
    pub links: Vec<Arc<Link>>,
}

/// A verdict as an observer was told it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Duration,
    pub zone: usize,
    pub verdict: Verdict,
}

impl Scene {
    /// The caches of a zone, by number.
    pub fn caches_of(&self, zone: usize) -> std::ops::Range<usize> {
        let each = self.caches / self.zones;
        zone * each..(zone + 1) * each
    }

    pub fn zone_of(&self, cache: usize) -> String {
        if self.zones == 1 { "edge".into() } else { zone_name(cache / (self.caches / self.zones)) }
    }
}

pub fn zone_name(zone: usize) -> String {
    format!("edge-{zone}")
}

/// What all programs of the fleet are told of the place.
fn footprint(scene: &Scene) -> String {
    let mut zones = String::from("(zone \"hub\")");
    for zone in 0..scene.zones {
        let bears = if scene.zone_bears > 0.0 && scene.fault != Some(Fault::NoCapacity) {
            format!(" (bears {}/s)", scene.zone_bears)
        } else {
            String::new()
        };
        let _ = write!(zones, " (zone \"{}\" (hub 0){bears})", zone_name(zone));
    }
    let also: String = (1..scene.zones).map(|zone| format!("(also \"{}\") ", zone_name(zone))).collect();
    let share = if scene.fault == Some(Fault::NoPace) { 100 } else { 22 };
    let (count, warm) = (scene.dispatchers, scene.warm_within.as_millis());
    format!(
        r#"(footprint {zones} (here "edge-0") {also}(transfer-pace 10MB/s) (instances {count}) (dispatchers {count})
  (fills-joined no) (fills-called-off no) (straight yes)
  (cache-start (share {share}%) (warm-within {warm}ms)) (parent-start (share 8%) (warm-within 3s)) (purged-within 6s))
(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))
(delivery-service "delivery-confirm" (objective 600ms) (timeout 5s) (effect non-idempotent) (passed-on yes))
"#
    )
}

fn service_file(scene: &Scene, index: usize, listen: &str, log: SocketAddr) -> String {
    let grace = if scene.fault == Some(Fault::NoLease) { 10_000 } else { 250 };
    format!(
        r#"(log (level info))
(control (name "lab-{index}") (listen "{listen}") (change-log "{log}") (drain-grace {grace}ms) (purge-grace {purge}ms)
  (clock-error 5ms) (reports-every {every}ms) (most-proxies 500)
  (zones (quorum 60%) (least-voters 3) (hold {hold}s) (tries 3)))
{footprint}"#,
        purge = grace.max(1000),
        every = REPORTS.as_millis(),
        hold = HOLD.as_secs(),
        footprint = footprint(scene),
    )
}

/// The operator file of a dispatcher.
pub fn dispatcher_file(
    scene: &Scene,
    index: usize,
    listen: SocketAddr,
    log: SocketAddr,
    follow: &[SocketAddr],
) -> String {
    let follow: String = follow.iter().map(|address| format!("(follow \"{address}\") ")).collect();
    format!(
        r#"(log (level info))
(dispatcher (name "d{index}") (listen "{listen}") (change-log "{log}") {follow}(reports-every {}ms))
{}"#,
        REPORTS.as_millis(),
        footprint(scene),
    )
}

/// Starts the control services of a scene.
pub async fn start(scene: &Scene, log: SocketAddr) -> Result<Vec<Followed>, String> {
    let mut services = Vec::new();
    for index in 0..scene.services {
        let mut process = Service::new(false, |listen| service_file(scene, index, listen, log))?;
        process.start()?;
        process.wait_until_it_answers().await?;
        let (address, mut links) = (process.address(), Vec::new());
        for _ in 0..scene.dispatchers {
            links.push(Link::lay(address).await.map_err(|e| e.to_string())?);
        }
        services.push(Followed { process: Held::new(process), address, links });
    }
    Ok(services)
}

/// Notes all verdicts as one who follows every service without a fault between hears them.
pub fn watch(services: &[Followed], began: Instant) -> Arc<Mutex<Vec<Seen>>> {
    let seen = Arc::new(Mutex::new(Vec::new()));
    if services.is_empty() {
        return seen;
    }
    let (says, news) = calloop::channel::channel();
    let following = Following {
        name: "observer".into(),
        zones: (0..64).map(zone_name).collect(),
        services: Vec::new(),
        to: services.iter().map(|service| service.address).collect(),
    };
    let notes = Arc::clone(&seen);
    let Ok(reports) = stream::start(following, says) else { return seen };
    std::thread::spawn(move || {
        let _reports = reports;
        while let Ok(news) = news.recv() {
            let ZoneNews::Verdict { zone, verdict, .. } = news else { continue };
            let zone = zone.trim_start_matches("edge-").parse().unwrap_or(0);
            let at = began.elapsed();
            notes.lock().expect("no holder panics").push(Seen { at, zone, verdict });
        }
    });
    seen
}

/// When GETs came to the caches of each zone, by dispatcher.
pub fn came(scene: &Scene, hosts: &[Arc<Host>], began: Instant) -> Vec<Vec<Vec<Duration>>> {
    let of = |zone: usize| {
        let mut by = vec![Vec::new(); scene.dispatchers];
        for host in &hosts[scene.caches_of(zone)] {
            for (at, who) in host.came() {
                if let (Party::Dispatcher(who), true) = (who, at >= began) {
                    by[who].push(at - began);
                }
            }
        }
        by.iter_mut().for_each(|times| times.sort_unstable());
        by
    };
    (0..scene.zones).map(of).collect()
}

/// By zone and half second, work asked of its caches over what they bear.
pub fn pressed(scene: &Scene, hosts: &[Arc<Host>], began: Instant) -> Vec<Vec<f64>> {
    let each = BIN.div_duration_f64(STEP) as usize;
    let of = |zone: usize| {
        let caches = &hosts[scene.caches_of(zone)];
        let arrived: Vec<_> = caches.iter().map(|cache| cache.arrived(began)).collect();
        let bin = |n: usize| {
            let at = began + BIN * n as u32 + BIN / 2;
            let bears: f64 = caches.iter().map(|cache| cache.bears_at(at)).sum();
            let steps = arrived.iter().flat_map(|steps| steps.iter().skip(n * each).take(each));
            steps.map(|step| step.work).sum::<f64>() / (bears * BIN.as_secs_f64())
        };
        (0..scene.long.div_duration_f64(BIN) as usize).map(bin).collect()
    };
    (0..scene.zones).map(of).collect()
}

/// Voters of made-up names tell every service that all these hosts fail them.
pub async fn lie(services: &[Followed], hosts: &[SocketAddr], count: usize, long: Duration) {
    let until = Instant::now() + long;
    let mut liars = tokio::task::JoinSet::new();
    for to in services.iter().map(|service| service.address) {
        for liar in 0..count {
            let hosts = hosts.to_vec();
            liars.spawn(async move { drop(lies(to, format!("liar-{liar}"), &hosts, until).await) });
        }
    }
    liars.join_all().await;
}

async fn lies(to: SocketAddr, name: String, hosts: &[SocketAddr], until: Instant) -> Result<(), String> {
    let client = LoadReportingServiceClient::connect(format!("http://{to}")).await;
    let mut client = client.map_err(|e| e.to_string())?;
    let (out, reports) = mpsc::channel(2);
    let node = Some(Node { id: name, ..Default::default() });
    let stats = hosts.iter().map(|&host| endpoint::UpstreamEndpointStats {
        address: Some(address_of(host)),
        total_error_requests: 50,
        ..Default::default()
    });
    let locality =
        endpoint::UpstreamLocalityStats { upstream_endpoint_stats: stats.collect(), ..Default::default() };
    let cluster = endpoint::ClusterStats { upstream_locality_stats: vec![locality], ..Default::default() };
    let report = LoadStatsRequest { node, cluster_stats: vec![cluster] };
    out.send(report.clone()).await.map_err(|e| e.to_string())?;
    let answers = client.stream_load_stats(ReceiverStream::new(reports)).await;
    let _answers = answers.map_err(|e| e.to_string())?.into_inner();
    while Instant::now() < until {
        tokio::time::sleep(REPORTS).await;
        out.send(report.clone()).await.map_err(|e| e.to_string())?;
    }
    Ok(())
}
