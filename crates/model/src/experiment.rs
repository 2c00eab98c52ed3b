//! Experiments: a file describes the world, its faults, the policies to compare and the number of seeds. The result is
//! a table of means with their confidence intervals, and a paired comparison that shows whether a difference may be noise.

use crate::engine::{Figures, play};
use crate::world::{Fault, FaultKind, Policy, Service, World};
use myrtlegauge_operator::FileError;
use myrtlegauge_operator::form::{self, CheckedForm, Field, Form, Kind, Occurrence};
use myrtlegauge_operator::tree;
use rayon::prelude::*;
use serde_json::{Value, json};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt::Write;
use std::time::Duration;

const fn field(name: &'static str, kind: Kind, occurrence: Occurrence, about: &'static str) -> Field {
    Field { name, kind, occurrence, about }
}

/// The forms of an experiment file.
pub static FILE: Form = Form {
    has_title: false,
    fields: &[
        field("world", Kind::Form(&WORLD), Occurrence::Once, "sizes and rates of the modelled system"),
        field(
            "service",
            Kind::Form(&SERVICE),
            Occurrence::AtLeastOnce,
            "a delivery service and its requests",
        ),
        field("fault", Kind::Form(&FAULT), Occurrence::Any, "a fault and its time"),
        field(
            "brain",
            Kind::OneOf(&["module", "hashing", "random", "informed"]),
            Occurrence::AtLeastOnce,
            "a policy; all policies are compared",
        ),
        field(
            "seeds",
            Kind::Count,
            Occurrence::Optional("4"),
            "runs of each policy, with the same draws for all policies",
        ),
    ],
};

static WORLD: Form = Form {
    has_title: false,
    fields: &[
        field(
            "locations",
            Kind::Count,
            Occurrence::Optional("2"),
            "locations with caches and dispatchers of their own",
        ),
        field("caches", Kind::Count, Occurrence::Optional("6"), "per location"),
        field("dispatchers", Kind::Count, Occurrence::Optional("2"), "per location"),
        field("parents", Kind::Count, Occurrence::Optional("3"), "at the hub"),
        field("rate", Kind::Rate, Occurrence::Optional("200/s"), "GETs per location"),
        field("slots", Kind::Count, Occurrence::Optional("8"), "concurrent transfers of a cache"),
        field("pace", Kind::TransferRate, Occurrence::Optional("10MB/s"), "rate of one transfer"),
        field("store", Kind::Count, Occurrence::Optional("60000"), "capacity of a cache in kilobytes"),
        field(
            "parent-store",
            Kind::Count,
            Occurrence::Optional("400000"),
            "capacity of a parent in kilobytes",
        ),
        field("origin-slots", Kind::Count, Occurrence::Optional("40"), "concurrent fills of the origin"),
        field("origin-wait", Kind::Duration, Occurrence::Optional("60ms"), "time of each fill of the origin"),
        field("way", Kind::Duration, Occurrence::Optional("1ms"), "one-way latency from dispatcher to cache"),
        field("hub-way", Kind::Duration, Occurrence::Optional("10ms"), "one-way latency from cache to hub"),
        field(
            "drain-grace",
            Kind::Duration,
            Occurrence::Optional("250ms"),
            "time after a drain until no new GETs go to the host",
        ),
        field(
            "purge-grace",
            Kind::Duration,
            Occurrence::Optional("1s"),
            "time after a purge until no older copy is answered",
        ),
        field(
            "cold-share",
            Kind::Fraction,
            Occurrence::Optional("22%"),
            "fraction of its capacity that a cold cache has",
        ),
        field(
            "warm-within",
            Kind::Duration,
            Occurrence::Optional("17s"),
            "time until it has its full capacity",
        ),
        field("long", Kind::Duration, Occurrence::Optional("60s"), "simulated time"),
    ],
};

static SERVICE: Form = Form {
    has_title: true,
    fields: &[
        field(
            "objective",
            Kind::Duration,
            Occurrence::Once,
            "latency objective, without the time of the transfer",
        ),
        field("timeout", Kind::Duration, Occurrence::Optional("1.5s"), "viewer timeout"),
        field("fresh", Kind::Duration, Occurrence::Optional("until purged"), "how long a copy is fresh"),
        field("grace", Kind::Duration, Occurrence::Optional("none"), "how much longer a copy may be used"),
        field("non-idempotent", Kind::Flag, Occurrence::Optional("no"), "a second run does harm"),
        field("share", Kind::Fraction, Occurrence::Once, "fraction of all GETs"),
        field("size", Kind::Number, Occurrence::Optional("40"), "mean size of an object in kilobytes"),
        field("objects", Kind::Count, Occurrence::Optional("5000"), "number of objects"),
    ],
};

static FAULT: Form = Form {
    has_title: false,
    fields: &[
        field("at", Kind::Duration, Occurrence::Once, "time after the start"),
        field("for", Kind::Duration, Occurrence::Optional("10s"), "duration; killed hosts come back cold"),
        field(
            "caches-die",
            Kind::Count,
            Occurrence::Optional("none"),
            "number of caches that are killed, drawn with the seed",
        ),
        field(
            "caches-silent",
            Kind::Count,
            Occurrence::Optional("none"),
            "number of caches that send nothing more",
        ),
        field(
            "caches-slow",
            Kind::Count,
            Occurrence::Optional("none"),
            "number of caches that take five times as long",
        ),
        field(
            "caches-drain",
            Kind::Count,
            Occurrence::Optional("none"),
            "number of caches that drain and are removed at the end",
        ),
        field("parents-die", Kind::Count, Occurrence::Optional("none"), "number of parents that are killed"),
        field(
            "dispatchers-die",
            Kind::Fraction,
            Occurrence::Optional("none"),
            "fraction of the dispatchers of each location that are killed at once",
        ),
        field(
            "stores-lost",
            Kind::Fraction,
            Occurrence::Optional("none"),
            "fraction of the caches and parents that lose their copies and stay up",
        ),
        field("origin-slow", Kind::Flag, Occurrence::Optional("no"), "the origin takes ten times as long"),
        field("purge-all", Kind::Flag, Occurrence::Optional("no"), "all groups of objects are purged"),
        field(
            "burst",
            Kind::Fraction,
            Occurrence::Optional("no"),
            "additional GETs as a fraction of the rate: 100% doubles it",
        ),
    ],
};

/// The experiment that runs without a file: a small version of a Saturday with its typical faults.
pub const BUILT_IN: &str = include_str!("../../../experiments/saturday.sexp");

/// A world, the policies to compare, and the number of seeds.
pub struct Experiment {
    pub world: World,
    pub policies: Vec<Policy>,
    pub seeds: u64,
}

/// Reads an experiment.
///
/// # Errors
/// All errors of the text.
pub fn read(text: &str) -> Result<Experiment, Vec<FileError>> {
    let (trees, mut errors) = tree::read(text);
    let file = form::check(&FILE, &trees, &mut errors);
    let none = CheckedForm::default();
    let world_form = file.forms("world").next().unwrap_or(&none);
    let count = |name: &str, default: u64| world_form.count(name).unwrap_or(default) as usize;
    let duration =
        |name: &str, default_ms: u64| world_form.duration(name).unwrap_or(Duration::from_millis(default_ms));
    let services = file.forms("service").map(|service| Service {
        name: service.title.clone(),
        objective: service.duration("objective").unwrap_or_default(),
        timeout: service.duration("timeout").unwrap_or(Duration::from_millis(1500)),
        fresh: service.duration("fresh").unwrap_or_default(),
        grace: service.duration("grace").unwrap_or_default(),
        is_non_idempotent: service.flag("non-idempotent").unwrap_or(false),
        request_fraction: service.number("share").unwrap_or(0.0),
        size_kb: service.number("size").unwrap_or(40.0),
        objects: service.count("objects").unwrap_or(5000),
    });
    let world = World {
        locations: count("locations", 2),
        caches: count("caches", 6),
        dispatchers: count("dispatchers", 2),
        parents: count("parents", 3),
        requests_per_s: world_form.number("rate").unwrap_or(200.0),
        services: services.collect(),
        slots: count("slots", 8),
        transfer_kb_per_s: world_form.number("pace").unwrap_or(10_000.0),
        cache_store_kb: world_form.count("store").unwrap_or(60_000) as f64,
        parent_store_kb: world_form.count("parent-store").unwrap_or(400_000) as f64,
        origin_slots: count("origin-slots", 40),
        origin_fill_time: duration("origin-wait", 60),
        cache_latency: duration("way", 1),
        hub_latency: duration("hub-way", 10),
        drain_grace: duration("drain-grace", 250),
        purge_grace: duration("purge-grace", 1000),
        cold_fraction: world_form.number("cold-share").unwrap_or(0.22),
        warmup_time: duration("warm-within", 17_000),
        duration: duration("long", 60_000),
        faults: file.forms("fault").flat_map(read_faults).collect(),
        policy: Policy::Module,
    };
    let policies =
        file.values.iter().filter(|(name, ..)| *name == "brain").filter_map(|(.., value)| match value {
            form::Value::Word(name) => Policy::from_name(name),
            _ => None,
        });
    let policies = policies.collect();
    if let (true, Err(message)) = (errors.is_empty(), world.check()) {
        errors.push(FileError { at: world_form.at, message });
    }
    errors.sort_by_key(|error| error.at);
    if errors.is_empty() {
        Ok(Experiment { world, policies, seeds: file.count("seeds").unwrap_or(4).max(1) })
    } else {
        Err(errors)
    }
}

/// Reads the faults of one form; they start together.
fn read_faults(fault: &CheckedForm) -> Vec<Fault> {
    let count = |name: &str| fault.count(name).map(|count| count as usize);
    let percent = |name: &str| fault.number(name).map(|fraction| (fraction * 100.0).round() as u32);
    let flag = |name: &str| fault.flag(name).filter(|is_set| *is_set).map(|_| ());
    let kinds = [
        count("caches-die").map(FaultKind::CachesDie),
        count("caches-silent").map(FaultKind::CachesSilent),
        count("caches-slow").map(FaultKind::CachesSlow),
        count("caches-drain").map(FaultKind::CachesDrain),
        count("parents-die").map(FaultKind::ParentsDie),
        percent("dispatchers-die").map(FaultKind::DispatchersDie),
        percent("stores-lost").map(FaultKind::StoresLost),
        flag("origin-slow").map(|()| FaultKind::OriginSlow),
        flag("purge-all").map(|()| FaultKind::PurgeAll),
        fault.number("burst").map(|fraction| FaultKind::Burst(100 + (fraction * 100.0) as u32)),
    ];
    let (at, duration) =
        (fault.duration("at").unwrap_or_default(), fault.duration("for").unwrap_or(Duration::from_secs(10)));
    kinds.into_iter().flatten().map(|kind| Fault { at, duration, kind }).collect()
}

/// A mean with half the width of its 95% confidence interval, which needs at least two values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half_width: Option<f64>,
}

/// The mean of some values.
pub fn mean(values: &[f64]) -> Mean {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    if values.len() < 2 {
        return Mean { mean, half_width: None };
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let quantile = StudentsT::new(0.0, 1.0, count - 1.0)
        .map(|distribution| distribution.inverse_cdf(0.975))
        .unwrap_or(f64::NAN);
    Mean { mean, half_width: Some(quantile * (variance / count).sqrt()) }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.half_width {
            Some(half_width) => write!(f, "{:.2} ±{half_width:.2}", self.mean),
            None => write!(f, "{:.2}", self.mean),
        }
    }
}

/// The results of an experiment: a run for each policy and seed.
pub struct Results {
    pub runs: Vec<(Policy, u64, Figures)>,
}

/// Runs an experiment on all cores. The results are the same on any number of cores. `on_run_finished` is called
/// after each run.
///
/// # Errors
/// A run failed.
pub fn run(experiment: &Experiment, on_run_finished: impl Fn(Policy, u64) + Sync) -> Result<Results, String> {
    let pairs: Vec<_> = experiment
        .policies
        .iter()
        .flat_map(|&policy| (1..=experiment.seeds).map(move |seed| (policy, seed)))
        .collect();
    let runs = pairs.into_par_iter().map(|(policy, seed)| {
        let figures = play(&World { policy, ..experiment.world.clone() }, seed)?;
        on_run_finished(policy, seed);
        Ok((policy, seed, figures))
    });
    Ok(Results { runs: runs.collect::<Result<_, String>>()? })
}

/// The reported figures of a run by name.
///
/// Those on recovery are from the first fault on; a run without full service at its end counts with its whole time.
fn named_figures(run: &Figures) -> [(&'static str, f64); 12] {
    let percent = |count: u64| count as f64 * 100.0 / run.gets.max(1) as f64;
    let latency_ms = |quantile: f64| run.latency_us.value_at_quantile(quantile) as f64 / 1e3;
    [
        ("in time %", run.in_time_fraction() * 100.0),
        ("returned %", percent(run.returned)),
        ("shed %", percent(run.shed)),
        ("errored %", percent(run.errored)),
        ("hits %", percent(run.hits)),
        ("origin %", percent(run.origin_fills)),
        ("p50 ms", latency_ms(0.5)),
        ("p99 ms", latency_ms(0.99)),
        ("lost", f64::from(run.recovery.lost)),
        ("full after s", run.recovery.full_after.unwrap_or(run.recovery.observed).as_secs_f64()),
        ("second falls", f64::from(run.recovery.relapses)),
        ("origin peak", run.origin_peak),
    ]
}

impl Results {
    fn runs_of(&self, policy: Policy) -> Vec<&Figures> {
        self.runs
            .iter()
            .filter(|(run_policy, ..)| *run_policy == policy)
            .map(|(.., figures)| figures)
            .collect()
    }

    fn policies(&self) -> Vec<Policy> {
        let mut policies: Vec<_> = self.runs.iter().map(|(policy, ..)| *policy).collect();
        policies.dedup();
        policies
    }

    /// Number of rule violations by the module in all runs. Those of the baselines are expected and not counted.
    pub fn violations(&self) -> u64 {
        self.runs_of(Policy::Module).iter().map(|figures| figures.violations.values().sum::<u64>()).sum()
    }

    /// The results as a table for users.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let names =
            self.runs.first().map(|(.., run)| named_figures(run).map(|(name, _)| name)).unwrap_or_default();
        let _ = write!(out, "{:<8}", "brain");
        for name in names {
            let _ = write!(out, " {name:>14}");
        }
        let _ = writeln!(out, " {:>8}", "broken");
        for policy in self.policies() {
            let runs = self.runs_of(policy);
            let _ = write!(out, "{:<8}", policy.name());
            for index in 0..names.len() {
                let values: Vec<_> = runs.iter().map(|run| named_figures(run)[index].1).collect();
                let _ = write!(out, " {:>14}", mean(&values).to_string());
            }
            let violations: u64 = runs.iter().map(|figures| figures.violations.values().sum::<u64>()).sum();
            let _ = writeln!(out, " {violations:>8}");
        }
        for policy in self.policies().into_iter().filter(|policy| *policy != Policy::Module) {
            if let Some(comparison) = self.compare_with(policy) {
                let _ = writeln!(out, "{comparison}");
            }
        }
        for (policy, seed, figures) in self.runs.iter().filter(|(policy, ..)| *policy == Policy::Module) {
            for violation in figures.first_violations.iter().take(3) {
                let _ = writeln!(out, "BROKEN {} seed {seed}: {violation}", policy.name());
            }
        }
        out
    }

    /// Compares the module with a baseline, seed by seed.
    fn compare_with(&self, policy: Policy) -> Option<String> {
        let differences: Vec<f64> = self
            .runs_of(Policy::Module)
            .iter()
            .zip(self.runs_of(policy))
            .map(|(module, other)| (module.in_time_fraction() - other.in_time_fraction()) * 100.0)
            .collect();
        if differences.len() < 2 {
            return None;
        }
        let difference = mean(&differences);
        let may_be_noise = difference.half_width.is_none_or(|half_width| half_width >= difference.mean.abs());
        let verdict = if may_be_noise { "which may be noise" } else { "which is no noise" };
        Some(format!("module over {}: {difference} points in time, {verdict}", policy.name()))
    }

    /// The results as CSV, a line per run.
    pub fn csv(&self) -> String {
        let mut out = String::from("brain,seed,taken,events,broken");
        let names =
            self.runs.first().map(|(.., run)| named_figures(run).map(|(name, _)| name)).unwrap_or_default();
        for name in names {
            let _ = write!(out, ",{}", name.replace(' ', "_").replace('%', "percent"));
        }
        out.push('\n');
        for (policy, seed, run) in &self.runs {
            let violations: u64 = run.violations.values().sum();
            let _ = write!(out, "{},{seed},{},{},{violations}", policy.name(), run.gets, run.events);
            for (_, value) in named_figures(run) {
                let _ = write!(out, ",{value:.4}");
            }
            out.push('\n');
        }
        out
    }

    /// The results as JSON.
    pub fn json(&self) -> Value {
        let runs = self.runs.iter().map(|(policy, seed, run)| {
            let figures: serde_json::Map<_, _> =
                named_figures(run).into_iter().map(|(name, value)| (name.to_owned(), json!(value))).collect();
            json!({"brain": policy.name(), "seed": seed, "taken": run.gets, "events": run.events, "broken": run.violations,
                "figures": figures})
        });
        json!({"runs": runs.collect::<Vec<_>>()})
    }
}
