//! Checks the latency and the traffic of purges in a fleet of full size, in virtual time, with the default durations
//! and a one-way delay of up to 80 ms between regions.

use crate::simulation::{Simulation, SimulationSettings, ms};
use myrtlegauge_replication::{Purge, PurgeTarget, Record, Verdict};
use std::time::Duration;

const REPLICAS: usize = 9;
const DISPATCHERS: usize = 770;
const PURGES_PER_SECOND: u64 = 20;
const PUBLISH_SECONDS: u64 = 5;
const STEP: Duration = Duration::from_millis(10);

#[test]
fn twenty_purges_per_second_reach_770_dispatchers_within_the_latency_and_traffic_limits() {
    let settings = SimulationSettings {
        fault_interval: None,
        publish_interval: ms(1_000_000_000),
        max_batch_records: 5000,
        serialize_messages: true,
        use_default_durations: true,
        check_interval: ms(1000),
        remote_delay_ms: (20, 80),
        ..SimulationSettings::new(1, REPLICAS, DISPATCHERS)
    };
    let mut simulation = Simulation::new(settings);
    simulation.run_until(ms(10_000));
    assert_eq!(simulation.missing_at_dispatchers(), Vec::<String>::new());
    let bytes_before = simulation.bytes;
    let mut outstanding: Vec<(Duration, usize, Record)> = Vec::new();
    let mut latencies: Vec<Duration> = Vec::new();
    let started = simulation.now;
    let mut published = 0;
    let mut bytes_after = bytes_before;
    while simulation.now < started + ms(PUBLISH_SECONDS * 1000 + 2000) {
        if published < PURGES_PER_SECOND * PUBLISH_SECONDS
            && simulation.now >= started + ms(published * 1000 / PURGES_PER_SECOND)
        {
            let target = PurgeTarget::Object(format!("{published:032x}"));
            let purge = Record::Purge(Purge { target, unix_ms: simulation.unix_ms() });
            let replica = (published as usize) % REPLICAS;
            assert!(simulation.publish_at(replica, purge.clone()));
            outstanding.push((simulation.now, replica, purge));
            published += 1;
        }
        simulation.run_until(simulation.now + STEP);
        if simulation.now <= started + ms(PUBLISH_SECONDS * 1000) {
            bytes_after = simulation.bytes;
        }
        outstanding.retain(|(published_at, replica, purge)| {
            let is_in_force = matches!(simulation.verdict(*replica, &purge.name()), Verdict::InForce { .. });
            if is_in_force {
                latencies.push(simulation.now - *published_at);
            }
            !is_in_force
        });
    }
    assert_eq!((outstanding.len(), simulation.violations.len()), (0, 0));
    latencies.sort_unstable();
    let (p50, p99, worst) = (
        latencies[latencies.len() / 2],
        latencies[latencies.len() * 99 / 100],
        latencies[latencies.len() - 1],
    );
    let dispatcher_bytes = bytes_after.dispatcher_bytes - bytes_before.dispatcher_bytes;
    let bytes_per_dispatcher_second = dispatcher_bytes / DISPATCHERS as u64 / PUBLISH_SECONDS;
    let replica_bytes = bytes_after.replica_bytes - bytes_before.replica_bytes;
    let bytes_per_link_second = replica_bytes / (REPLICAS * (REPLICAS - 1)) as u64 / PUBLISH_SECONDS;
    println!("published to known in force: p50 {p50:?}, p99 {p99:?}, worst {worst:?} of {}", latencies.len());
    println!(
        "{DISPATCHERS} dispatchers: {bytes_per_dispatcher_second} bytes per second and dispatcher, {bytes_per_link_second} bytes per second and link between replicas"
    );
    assert!(p99 <= ms(1000) && worst <= ms(1900));
    assert!(bytes_per_dispatcher_second <= 12_000);
}
