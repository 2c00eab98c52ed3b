//! The oracle over a simulated network with faults: no claim is false, and after the faults all is in force.

use crate::simulation::{Setting, Simulation, ms};
use proptest::prelude::*;

/// After the faults end everything is in force within this: the start-up hold, two leases, and a return.
const LIVE_WITHIN_MS: u64 = 12_000;

/// Seeds of the loop; more by the environment.
const SEEDS: u64 = 28;

fn seeds() -> u64 {
    std::env::var("ORACLE_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn run(setting: Setting) -> Simulation {
    let mut simulation = Simulation::new(setting);
    simulation.run_until(setting.faults_until);
    simulation.heal();
    simulation.run_until(setting.faults_until + ms(2000));
    simulation.publish_lost();
    simulation.run_until(setting.faults_until + ms(LIVE_WITHIN_MS));
    simulation
}

fn check(setting: Setting) -> Simulation {
    let mut simulation = run(setting);
    assert!(simulation.violations.is_empty(), "{setting:?}: {:#?}", simulation.violations);
    let missing = simulation.not_in_force();
    assert!(missing.is_empty(), "{setting:?}: {missing:#?}");
    let lacking = simulation.lacking();
    assert!(lacking.is_empty(), "{setting:?}: {lacking:#?}");
    simulation
}

#[test]
fn no_claim_is_false_and_all_comes_in_force_over_many_seeds() {
    let (mut claims, mut faults) = (0, 0);
    for seed in 0..seeds() {
        let replicas = 3 + (seed as usize) % 7;
        let dispatchers = 5 + (seed as usize * 7) % 36;
        let simulation = check(Setting::new(seed, replicas, dispatchers));
        claims += simulation.claims_checked;
        faults += simulation.faults;
    }
    println!("{claims} claims checked under {faults} faults");
    assert!(claims > 10_000, "{claims}: the oracle had little to look at");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    #[test]
    fn no_claim_is_false_whatever_the_seed(
        seed in any::<u64>(),
        replicas in 3_usize..=9,
        dispatchers in 5_usize..=40,
        max_batch_records in 1_usize..=8,
        fault_every in 120_u64..=1500,
    ) {
        let setting = Setting {
            max_batch_records,
            fault_every: Some(ms(fault_every)),
            ..Setting::new(seed, replicas, dispatchers)
        };
        check(setting);
    }
}
