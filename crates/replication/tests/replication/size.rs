//! The fleet at its size, in virtual time, with the default spans and regions up to 80 ms apart one way.

use crate::simulation::{Setting, Simulation, ms};
use myrtlegauge_replication::{Purge, PurgeTarget, Record, Verdict};
use std::time::Duration;

const REPLICAS: usize = 9;
const DISPATCHERS: usize = 770;
const PURGES_A_SECOND: u64 = 20;
const SECONDS: u64 = 5;
const STEP: Duration = Duration::from_millis(10);

#[test]
fn twenty_purges_a_second_are_in_force_at_770_dispatchers_within_the_bounds() {
    let setting = Setting {
        fault_every: None,
        publish_every: ms(1_000_000_000),
        max_batch_records: 5000,
        through_text: true,
        full_spans: true,
        look_every: ms(1000),
        far_ms: (20, 80),
        ..Setting::new(1, REPLICAS, DISPATCHERS)
    };
    let mut simulation = Simulation::new(setting);
    simulation.run_until(ms(10_000));
    assert_eq!(simulation.lacking(), Vec::<String>::new());
    let bytes_before = simulation.bytes;
    let mut open: Vec<(Duration, usize, Record)> = Vec::new();
    let mut took: Vec<Duration> = Vec::new();
    let started = simulation.now;
    let mut published = 0;
    let mut bytes_after = bytes_before;
    while simulation.now < started + ms(SECONDS * 1000 + 2000) {
        if published < PURGES_A_SECOND * SECONDS
            && simulation.now >= started + ms(published * 1000 / PURGES_A_SECOND)
        {
            let target = PurgeTarget::Object(format!("{published:032x}"));
            let purge = Record::Purge(Purge { target, unix_ms: simulation.unix_ms() });
            let replica = (published as usize) % REPLICAS;
            assert!(simulation.publish_at(replica, purge.clone()));
            open.push((simulation.now, replica, purge));
            published += 1;
        }
        simulation.run_until(simulation.now + STEP);
        if simulation.now <= started + ms(SECONDS * 1000) {
            bytes_after = simulation.bytes;
        }
        open.retain(|(at, replica, purge)| {
            let done = matches!(simulation.verdict(*replica, &purge.name()), Verdict::InForce { .. });
            if done {
                took.push(simulation.now - *at);
            }
            !done
        });
    }
    assert_eq!((open.len(), simulation.violations.len()), (0, 0));
    took.sort_unstable();
    let (p50, p99, worst) = (took[took.len() / 2], took[took.len() * 99 / 100], took[took.len() - 1]);
    let of_dispatchers = bytes_after.of_dispatchers - bytes_before.of_dispatchers;
    let a_dispatcher = of_dispatchers / DISPATCHERS as u64 / SECONDS;
    let of_replicas = bytes_after.of_replicas - bytes_before.of_replicas;
    let a_link = of_replicas / (REPLICAS * (REPLICAS - 1)) as u64 / SECONDS;
    println!("published to known in force: p50 {p50:?}, p99 {p99:?}, worst {worst:?} of {}", took.len());
    println!(
        "{DISPATCHERS} dispatchers: {a_dispatcher} bytes a second and dispatcher, {a_link} bytes a second and link among replicas"
    );
    assert!(p99 <= ms(1000) && worst <= ms(1900));
    assert!(a_dispatcher <= 12_000);
}
