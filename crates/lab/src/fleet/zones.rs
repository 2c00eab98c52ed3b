//! Fleets over several zones: control services as processes, each dispatcher's own links to them, an observer of verdicts,
//! and voters that report falsely.

use super::judge::BIN_WIDTH;
use super::{Defect, Scenario};
use crate::stand::hosts::{Host, STEP};
use crate::stand::link::Link;
use crate::stand::net::Party;
use crate::stand::service::Service;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use myrtlegauge_control::messages::encode_address;
use myrtlegauge_dispatcher::routing::ZoneUpdate;
use myrtlegauge_follow::stream::{self, StreamSettings};
use myrtlegauge_zones::Verdict;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex as AsyncMutex, mpsc};
use tokio_stream::wrappers::ReceiverStream;

/// How often dispatchers report.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a zone that was left rests.
pub const HOLD: Duration = Duration::from_secs(3);

/// A control service, and the link of each dispatcher to it.
pub struct ControlService {
    pub process: AsyncMutex<Service>,
    pub address: SocketAddr,
    pub links: Vec<Arc<Link>>,
}

/// A verdict as an observer was told it, at a time since the first request.
#[derive(Clone, Debug)]
pub struct ObservedVerdict {
    pub at: Duration,
    pub zone: usize,
    pub verdict: Verdict,
}

impl Scenario {
    /// The indices of the caches of a zone.
    pub fn caches_of(&self, zone: usize) -> std::ops::Range<usize> {
        let each = self.caches / self.zones;
        zone * each..(zone + 1) * each
    }

    /// The name of the zone of a cache.
    pub fn zone_of(&self, cache: usize) -> String {
        if self.zones == 1 { "edge".into() } else { zone_name(cache / (self.caches / self.zones)) }
    }
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("edge-{zone}")
}

/// The site part of all operator files of the fleet.
fn site_config(scenario: &Scenario) -> String {
    let mut zones = String::from("(zone \"hub\")");
    for zone in 0..scenario.zones {
        let bears = if scenario.zone_capacity > 0.0 && scenario.defect != Some(Defect::NoCapacity) {
            format!(" (bears {}/s)", scenario.zone_capacity)
        } else {
            String::new()
        };
        let _ = write!(zones, " (zone \"{}\" (hub 0){bears})", zone_name(zone));
    }
    let also: String = (1..scenario.zones).map(|zone| format!("(also \"{}\") ", zone_name(zone))).collect();
    let share = if scenario.defect == Some(Defect::NoRamp) { 100 } else { 22 };
    let (count, warm) = (scenario.dispatchers, scenario.cache_warm_up.as_millis());
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

/// The operator file of a control service.
fn service_file(scenario: &Scenario, index: usize, listen: &str, log: SocketAddr) -> String {
    let grace = if scenario.defect == Some(Defect::NoLease) { 10_000 } else { 250 };
    format!(
        r#"(log (level info))
(control (name "lab-{index}") (listen "{listen}") (change-log "{log}") (drain-grace {grace}ms) (purge-grace {purge}ms)
  (clock-error 5ms) (reports-every {every}ms) (most-proxies 500)
  (zones (quorum 60%) (least-voters 3) (hold {hold}s) (tries 3)))
{footprint}"#,
        purge = grace.max(1000),
        every = REPORT_INTERVAL.as_millis(),
        hold = HOLD.as_secs(),
        footprint = site_config(scenario),
    )
}

/// The operator file of a dispatcher.
pub fn dispatcher_file(
    scenario: &Scenario,
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
        REPORT_INTERVAL.as_millis(),
        site_config(scenario),
    )
}

/// Starts the control services of a scenario.
pub async fn start(scenario: &Scenario, log: SocketAddr) -> Result<Vec<ControlService>, String> {
    let mut services = Vec::new();
    for index in 0..scenario.control_services {
        let mut process = Service::new(false, |listen| service_file(scenario, index, listen, log))?;
        process.start()?;
        process.wait_until_it_answers().await?;
        let (address, mut links) = (process.address(), Vec::new());
        for _ in 0..scenario.dispatchers {
            links.push(Link::lay(address).await.map_err(|e| e.to_string())?);
        }
        services.push(ControlService { process: AsyncMutex::new(process), address, links });
    }
    Ok(services)
}

/// Records all verdicts in a thread that follows every control service over links without faults.
pub fn watch(services: &[ControlService], began: Instant) -> Arc<Mutex<Vec<ObservedVerdict>>> {
    let seen = Arc::new(Mutex::new(Vec::new()));
    if services.is_empty() {
        return seen;
    }
    let (says, news) = calloop::channel::channel();
    let settings = StreamSettings {
        name: "observer".into(),
        zones: (0..64).map(zone_name).collect(),
        services: Vec::new(),
        control_services: services.iter().map(|service| service.address).collect(),
    };
    let notes = Arc::clone(&seen);
    let Ok(reports) = stream::start(settings, says) else { return seen };
    std::thread::spawn(move || {
        let _reports = reports;
        while let Ok(news) = news.recv() {
            let ZoneUpdate::Verdict { zone, verdict, .. } = news else { continue };
            let zone = zone.trim_start_matches("edge-").parse().unwrap_or(0);
            let at = began.elapsed();
            notes.lock().expect("no holder panics").push(ObservedVerdict { at, zone, verdict });
        }
    });
    seen
}

/// When requests came to the caches of each zone, by dispatcher.
pub fn arrivals(scenario: &Scenario, hosts: &[Arc<Host>], began: Instant) -> Vec<Vec<Vec<Duration>>> {
    let of = |zone: usize| {
        let mut by = vec![Vec::new(); scenario.dispatchers];
        for host in &hosts[scenario.caches_of(zone)] {
            for (at, who) in host.came() {
                if let (Party::Dispatcher(who), true) = (who, at >= began) {
                    by[who].push(at - began);
                }
            }
        }
        by.iter_mut().for_each(|times| times.sort_unstable());
        by
    };
    (0..scenario.zones).map(of).collect()
}

/// By zone and half second, the work asked of its caches over their capacity.
pub fn loads(scenario: &Scenario, hosts: &[Arc<Host>], began: Instant) -> Vec<Vec<f64>> {
    let each = BIN_WIDTH.div_duration_f64(STEP) as usize;
    let of = |zone: usize| {
        let caches = &hosts[scenario.caches_of(zone)];
        let arrived: Vec<_> = caches.iter().map(|cache| cache.arrived(began)).collect();
        let bin = |n: usize| {
            let at = began + BIN_WIDTH * n as u32 + BIN_WIDTH / 2;
            let bears: f64 = caches.iter().map(|cache| cache.bears_at(at)).sum();
            let steps = arrived.iter().flat_map(|steps| steps.iter().skip(n * each).take(each));
            steps.map(|step| step.work).sum::<f64>() / (bears * BIN_WIDTH.as_secs_f64())
        };
        (0..scenario.duration.div_duration_f64(BIN_WIDTH) as usize).map(bin).collect()
    };
    (0..scenario.zones).map(of).collect()
}

/// Lets voters with invented names report to every control service that all these hosts fail.
pub async fn send_false_reports(
    services: &[ControlService],
    hosts: &[SocketAddr],
    count: usize,
    duration: Duration,
) {
    let until = Instant::now() + duration;
    let mut voters = tokio::task::JoinSet::new();
    for to in services.iter().map(|service| service.address) {
        for voter in 0..count {
            let hosts = hosts.to_vec();
            voters.spawn(
                async move { drop(report_failures(to, format!("voter-{voter}"), &hosts, until).await) },
            );
        }
    }
    voters.join_all().await;
}

/// Reports failures of these hosts as one voter, again and again until a time.
async fn report_failures(
    to: SocketAddr,
    name: String,
    hosts: &[SocketAddr],
    until: Instant,
) -> Result<(), String> {
    let client = LoadReportingServiceClient::connect(format!("http://{to}")).await;
    let mut client = client.map_err(|e| e.to_string())?;
    let (out, reports) = mpsc::channel(2);
    let node = Some(Node { id: name, ..Default::default() });
    let stats = hosts.iter().map(|&host| endpoint::UpstreamEndpointStats {
        address: Some(encode_address(host)),
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
        tokio::time::sleep(REPORT_INTERVAL).await;
        out.send(report.clone()).await.map_err(|e| e.to_string())?;
    }
    Ok(())
}
