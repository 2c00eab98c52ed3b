//! Checks with the oracle, over a simulated network with faults, that no record is reported in force before it is
//! applied, and that all records are in force after the faults end.

use crate::simulation::{Simulation, SimulationSettings, ms};
use proptest::prelude::*;

/// The time after the end of the faults within which all records are in force. It covers the start-up hold, two leases
/// and a return to the primary.
const RECOVERY_LIMIT_MS: u64 = 12_000;

/// The number of seeds, unless `ORACLE_SEEDS` sets another.
const SEEDS: u64 = 28;

fn seeds() -> u64 {
    std::env::var("ORACLE_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn run(settings: SimulationSettings) -> Simulation {
    let mut simulation = Simulation::new(settings);
    simulation.run_until(settings.faults_end);
    simulation.end_faults();
    simulation.run_until(settings.faults_end + ms(2000));
    simulation.republish_all();
    simulation.run_until(settings.faults_end + ms(RECOVERY_LIMIT_MS));
    simulation
}

fn check(settings: SimulationSettings) -> Simulation {
    let mut simulation = run(settings);
    assert!(simulation.violations.is_empty(), "{settings:?}: {:#?}", simulation.violations);
    let outstanding = simulation.not_in_force();
    assert!(outstanding.is_empty(), "{settings:?}: {outstanding:#?}");
    let missing_at_dispatchers = simulation.missing_at_dispatchers();
    assert!(missing_at_dispatchers.is_empty(), "{settings:?}: {missing_at_dispatchers:#?}");
    simulation
}

#[test]
fn no_record_is_reported_in_force_too_soon_and_all_come_into_force_over_many_seeds() {
    let (mut claims, mut faults) = (0, 0);
    for seed in 0..seeds() {
        let replicas = 3 + (seed as usize) % 7;
        let dispatchers = 5 + (seed as usize * 7) % 36;
        let simulation = check(SimulationSettings::new(seed, replicas, dispatchers));
        claims += simulation.claims_checked;
        faults += simulation.faults;
    }
    println!("{claims} claims checked under {faults} faults");
    assert!(claims > 10_000, "only {claims} claims checked");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    #[test]
    fn no_record_is_reported_in_force_too_soon_under_random_settings(
        seed in any::<u64>(),
        replicas in 3_usize..=9,
        dispatchers in 5_usize..=40,
        max_batch_records in 1_usize..=8,
        fault_interval in 120_u64..=1500,
    ) {
        let settings = SimulationSettings {
            max_batch_records,
            fault_interval: Some(ms(fault_interval)),
            ..SimulationSettings::new(seed, replicas, dispatchers)
        };
        check(settings);
    }
}
