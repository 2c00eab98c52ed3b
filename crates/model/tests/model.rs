//! Tests the model: the same seed gives the same run, the oracle finds violations, and files are checked in full.

use myrtlegauge_model::engine::play;
use myrtlegauge_model::experiment::{self, mean};
use myrtlegauge_model::oracle::Oracle;
use myrtlegauge_model::world::Policy;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn built_in(seeds: u64) -> experiment::Experiment {
    let mut experiment =
        experiment::read(experiment::BUILT_IN).expect("the built-in experiment has no errors");
    experiment.seeds = seeds;
    experiment
}

#[test]
fn the_same_seed_gives_the_same_run_on_any_number_of_threads() {
    let mut experiment = built_in(3);
    experiment.world.duration = ms(12_000);
    let parallel = experiment::run(&experiment, |_, _| ()).unwrap().csv();
    let pool = rayon::ThreadPoolBuilder::new().num_threads(1).build().unwrap();
    let single_threaded = pool.install(|| experiment::run(&experiment, |_, _| ()).unwrap().csv());
    assert_eq!(parallel, single_threaded);
    assert_eq!(parallel.lines().count(), 1 + 3 * 3);
}

#[test]
fn the_module_keeps_the_rules_and_beats_the_baselines_in_the_built_in_experiment() {
    let results = experiment::run(&built_in(2), |_, _| ()).unwrap();
    assert_eq!(results.violations(), 0, "{}", results.table());
    let in_time_fraction = |policy: Policy| {
        let fractions: Vec<_> = results
            .runs
            .iter()
            .filter(|(run_policy, ..)| *run_policy == policy)
            .map(|(.., run)| run.in_time_fraction())
            .collect();
        mean(&fractions).mean
    };
    let [module, hashing, random] = [Policy::Module, Policy::Hashing, Policy::Random].map(in_time_fraction);
    assert!(module > hashing + 0.1 && hashing > random, "{module} {hashing} {random}");
}

#[test]
fn a_run_without_faults_returns_almost_all_gets_and_answers_each_once() {
    let mut experiment = built_in(1);
    experiment.world.faults.clear();
    let figures = play(&experiment.world, 9).unwrap();
    assert!(figures.violations.is_empty(), "{:?}", figures.first_violations);
    assert!(figures.in_time_fraction() > 0.99);
    assert_eq!(figures.returned + figures.shed + figures.errored, figures.gets);
}

#[test]
fn the_oracle_reports_get_time_and_reason_of_each_violation() {
    let mut oracle = Oracle::default();
    oracle.on_drain(3, ms(1000));
    oracle.on_forward_sent(7, 3, ms(250), ms(1250));
    oracle.on_forward_sent(8, 3, ms(250), ms(1251));
    oracle.on_run(9, ms(1300));
    oracle.on_run(9, ms(1400));
    oracle.on_purge(5, ms(2000));
    oracle.on_return(10, 5, ms(1999), ms(1000), ms(3000));
    oracle.on_return(11, 5, ms(1999), ms(1000), ms(3001));
    oracle.on_return(12, 5, ms(2000), ms(1000), ms(9000));
    oracle.accepted = 2;
    oracle.on_answer(13, false, false, ms(4000));
    oracle.on_answer(13, true, false, ms(4001));
    oracle.on_answer(14, false, true, ms(4002));
    oracle.on_overload(2, ms(4100));
    oracle.finish(1, ms(5000));
    insta::assert_snapshot!(oracle.first_violations.join("\n"));
}

#[test]
fn all_errors_of_a_file_are_reported_and_the_world_must_make_sense() {
    let errors = |text: &str| match experiment::read(text) {
        Ok(_) => "no errors".to_owned(),
        Err(errors) => errors.iter().map(|error| format!("{error}\n")).collect(),
    };
    let text = experiment::BUILT_IN;
    let broken = text.replace("(rate 250/s)", "(rate 250)").replace("caches-silent", "caches-silnt");
    insta::assert_snapshot!(errors(&broken) + &errors(&text.replace("(share 70%)", "(share 60%)")));
}

#[test]
fn means_have_their_confidence_intervals() {
    let result = mean(&[1.0, 2.0, 3.0, 4.0]);
    // From the tables: Student's t for 3 degrees of freedom is 3.182; the standard error is 0.6455.
    assert!(
        (result.mean - 2.5).abs() < 1e-9 && (result.half_width.unwrap() - 2.054).abs() < 1e-3,
        "{result}"
    );
    assert_eq!(mean(&[5.0]).half_width, None);
}
