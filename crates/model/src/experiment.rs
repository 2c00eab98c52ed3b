//! Experiments: a file describes the world, its faults, the policies to compare and the count of seeds; the result is a
//! table of means with their confidence and a paired comparison that says whether a difference is noise.

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

/// All that an experiment file may hold.
pub static FILE: Form = Form {
    has_title: false,
    fields: &[
        field("world", Kind::Form(&WORLD), Occurrence::Once, "sizes and paces of what is modelled"),
        field(
            "service",
            Kind::Form(&SERVICE),
            Occurrence::AtLeastOnce,
            "a delivery service and how it is asked for",
        ),
        field("fault", Kind::Form(&FAULT), Occurrence::Any, "what goes wrong, and when"),
        field(
            "brain",
            Kind::OneOf(&["module", "hashing", "random", "informed"]),
            Occurrence::AtLeastOnce,
            "who decides; all are compared",
        ),
        field(
            "seeds",
            Kind::Count,
            Occurrence::Optional("4"),
            "runs of each, with the same draws for each policy",
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
            "places with caches and dispatchers of their own",
        ),
        field("caches", Kind::Count, Occurrence::Optional("6"), "of each location"),
        field("dispatchers", Kind::Count, Occurrence::Optional("2"), "of each location"),
        field("parents", Kind::Count, Occurrence::Optional("3"), "of the hub"),
        field("rate", Kind::Rate, Occurrence::Optional("200/s"), "GETs of each location"),
        field("slots", Kind::Count, Occurrence::Optional("8"), "transfers that a cache serves at full pace"),
        field("pace", Kind::TransferRate, Occurrence::Optional("10MB/s"), "one transfer"),
        field("store", Kind::Count, Occurrence::Optional("60000"), "kilobytes that a cache holds"),
        field("parent-store", Kind::Count, Occurrence::Optional("400000"), "kilobytes that a parent holds"),
        field(
            "origin-slots",
            Kind::Count,
            Occurrence::Optional("40"),
            "fills at once that the origin serves",
        ),
        field("origin-wait", Kind::Duration, Occurrence::Optional("60ms"), "of each"),
        field("way", Kind::Duration, Occurrence::Optional("1ms"), "dispatcher to cache, one way"),
        field("hub-way", Kind::Duration, Occurrence::Optional("10ms"), "cache to hub, one way"),
        field(
            "drain-grace",
            Kind::Duration,
            Occurrence::Optional("250ms"),
            "after a drain, nothing new is sent there",
        ),
        field(
            "purge-grace",
            Kind::Duration,
            Occurrence::Optional("1s"),
            "after a purge, no older copy is answered",
        ),
        field(
            "cold-share",
            Kind::Fraction,
            Occurrence::Optional("22%"),
            "of its work that a cold cache bears",
        ),
        field("warm-within", Kind::Duration, Occurrence::Optional("17s"), "until it bears all"),
        field("long", Kind::Duration, Occurrence::Optional("60s"), "how long is played"),
    ],
};

static SERVICE: Form = Form {
    has_title: true,
    fields: &[
        field(
            "objective",
            Kind::Duration,
            Occurrence::Once,
            "latency objective, beside the time of sending it",
        ),
        field("timeout", Kind::Duration, Occurrence::Optional("1.5s"), "how long its client waits"),
        field("fresh", Kind::Duration, Occurrence::Optional("until purged"), "how long a copy is fresh"),
        field("grace", Kind::Duration, Occurrence::Optional("none"), "how much longer it may do"),
        field("non-idempotent", Kind::Flag, Occurrence::Optional("no"), "a second run does harm"),
        field("share", Kind::Fraction, Occurrence::Once, "of all GETs"),
        field("size", Kind::Number, Occurrence::Optional("40"), "mean kilobytes"),
        field("objects", Kind::Count, Occurrence::Optional("5000"), "how many there are"),
    ],
};

static FAULT: Form = Form {
    has_title: false,
    fields: &[
        field("at", Kind::Duration, Occurrence::Once, "after the start"),
        field("for", Kind::Duration, Occurrence::Optional("10s"), "how long; what died comes back cold"),
        field("caches-die", Kind::Count, Occurrence::Optional("none"), "so many, drawn by the seed"),
        field("caches-silent", Kind::Count, Occurrence::Optional("none"), "they say nothing more"),
        field("caches-slow", Kind::Count, Occurrence::Optional("none"), "they take five times as long"),
        field(
            "caches-drain",
            Kind::Count,
            Occurrence::Optional("none"),
            "they drain, and are gone at the end",
        ),
        field("parents-die", Kind::Count, Occurrence::Optional("none"), "so many parents"),
        field(
            "dispatchers-die",
            Kind::Fraction,
            Occurrence::Optional("none"),
            "of each location, all at once",
        ),
        field(
            "stores-lost",
            Kind::Fraction,
            Occurrence::Optional("none"),
            "of caches and parents, which live on",
        ),
        field("origin-slow", Kind::Flag, Occurrence::Optional("no"), "it takes ten times as long"),
        field("purge-all", Kind::Flag, Occurrence::Optional("no"), "all groups of objects"),
        field(
            "burst",
            Kind::Fraction,
            Occurrence::Optional("no"),
            "what is asked more, as a part of it: 100% doubles it",
        ),
    ],
};

/// The experiment that runs without a file: a Saturday in small, with what is hard about it.
pub const BUILT_IN: &str = include_str!("../../../experiments/saturday.sexp");

pub struct Experiment {
    pub world: World,
    pub policies: Vec<Policy>,
    pub seeds: u64,
}

/// Reads an experiment.
///
/// # Errors
/// All faults of the text.
pub fn read(text: &str) -> Result<Experiment, Vec<FileError>> {
    let (trees, mut faults) = tree::read(text);
    let file = form::check(&FILE, &trees, &mut faults);
    let none = CheckedForm::default();
    let told = file.forms("world").next().unwrap_or(&none);
    let count = |name: &str, without: u64| told.count(name).unwrap_or(without) as usize;
    let span = |name: &str, without: u64| told.duration(name).unwrap_or(Duration::from_millis(without));
    let services = file.forms("service").map(|service| Service {
        name: service.title.clone(),
        objective: service.duration("objective").unwrap_or_default(),
        timeout: service.duration("timeout").unwrap_or(Duration::from_millis(1500)),
        fresh: service.duration("fresh").unwrap_or_default(),
        grace: service.duration("grace").unwrap_or_default(),
        non_idempotent: service.flag("non-idempotent").unwrap_or(false),
        share: service.number("share").unwrap_or(0.0),
        size_kb: service.number("size").unwrap_or(40.0),
        objects: service.count("objects").unwrap_or(5000),
    });
    let world = World {
        locations: count("locations", 2),
        caches: count("caches", 6),
        dispatchers: count("dispatchers", 2),
        parents: count("parents", 3),
        rate: told.number("rate").unwrap_or(200.0),
        services: services.collect(),
        slots: count("slots", 8),
        pace_kb: told.number("pace").unwrap_or(10_000.0),
        store_kb: told.count("store").unwrap_or(60_000) as f64,
        parent_store_kb: told.count("parent-store").unwrap_or(400_000) as f64,
        origin_slots: count("origin-slots", 40),
        origin_wait: span("origin-wait", 60),
        way: span("way", 1),
        hub_way: span("hub-way", 10),
        drain_grace: span("drain-grace", 250),
        purge_grace: span("purge-grace", 1000),
        cold_share: told.number("cold-share").unwrap_or(0.22),
        warm_within: span("warm-within", 17_000),
        long: span("long", 60_000),
        faults: file.forms("fault").flat_map(self::faults).collect(),
        policy: Policy::Module,
    };
    let policies =
        file.values.iter().filter(|(name, ..)| *name == "brain").filter_map(|(.., value)| match value {
            form::Value::Word(name) => Policy::of(name),
            _ => None,
        });
    let policies = policies.collect();
    if let (true, Err(what)) = (faults.is_empty(), world.check()) {
        faults.push(FileError { at: told.at, message: what });
    }
    faults.sort_by_key(|fault| fault.at);
    if faults.is_empty() {
        Ok(Experiment { world, policies, seeds: file.count("seeds").unwrap_or(4).max(1) })
    } else {
        Err(faults)
    }
}

/// All that one form names happens together.
fn faults(fault: &CheckedForm) -> Vec<Fault> {
    let count = |name: &str| fault.count(name).map(|n| n as usize);
    let percent = |name: &str| fault.number(name).map(|part| (part * 100.0).round() as u32);
    let flag = |name: &str| fault.flag(name).filter(|on| *on).map(|_| ());
    let told = [
        count("caches-die").map(FaultKind::CachesDie),
        count("caches-silent").map(FaultKind::CachesSilent),
        count("caches-slow").map(FaultKind::CachesSlow),
        count("caches-drain").map(FaultKind::CachesDrain),
        count("parents-die").map(FaultKind::ParentsDie),
        percent("dispatchers-die").map(FaultKind::DispatchersDie),
        percent("stores-lost").map(FaultKind::StoresLost),
        flag("origin-slow").map(|()| FaultKind::OriginSlow),
        flag("purge-all").map(|()| FaultKind::PurgeAll),
        fault.number("burst").map(|part| FaultKind::Burst(100 + (part * 100.0) as u32)),
    ];
    let (at, duration) =
        (fault.duration("at").unwrap_or_default(), fault.duration("for").unwrap_or(Duration::from_secs(10)));
    told.into_iter().flatten().map(|kind| Fault { at, duration, kind }).collect()
}

/// A mean with the half of its 95% confidence interval; none from one value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    pub mean: f64,
    pub half: Option<f64>,
}

pub fn mean(values: &[f64]) -> Mean {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return Mean { mean, half: None };
    }
    let spread = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = StudentsT::new(0.0, 1.0, n - 1.0).map(|t| t.inverse_cdf(0.975)).unwrap_or(f64::NAN);
    Mean { mean, half: Some(t * (spread / n).sqrt()) }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.half {
            Some(half) => write!(f, "{:.2} ±{half:.2}", self.mean),
            None => write!(f, "{:.2}", self.mean),
        }
    }
}

/// What came of an experiment: a run for each policy and seed.
pub struct Results {
    pub runs: Vec<(Policy, u64, Figures)>,
}

/// Plays an experiment on all cores; the same results on any number of them.
///
/// # Errors
/// The first run that can't be played.
pub fn run(experiment: &Experiment, told: impl Fn(Policy, u64) + Sync) -> Result<Results, String> {
    let pairs: Vec<_> = experiment
        .policies
        .iter()
        .flat_map(|&policy| (1..=experiment.seeds).map(move |seed| (policy, seed)))
        .collect();
    let runs = pairs.into_par_iter().map(|(policy, seed)| {
        let figures = play(&World { policy, ..experiment.world.clone() }, seed)?;
        told(policy, seed);
        Ok((policy, seed, figures))
    });
    Ok(Results { runs: runs.collect::<Result<_, String>>()? })
}

/// The figures that are told of a run, by name, in percent or milliseconds.
///
/// Those of the return are from the first fault on; a run that was not full again counts to its end.
fn figures(of: &Figures) -> [(&'static str, f64); 12] {
    let part = |n: u64| n as f64 * 100.0 / of.taken.max(1) as f64;
    let ms = |part: f64| of.latency.value_at_quantile(part) as f64 / 1e3;
    [
        ("in time %", of.share_in_time() * 100.0),
        ("returned %", part(of.returned)),
        ("shed %", part(of.shed)),
        ("errored %", part(of.errored)),
        ("hits %", part(of.hits)),
        ("origin %", part(of.origin_fills)),
        ("p50 ms", ms(0.5)),
        ("p99 ms", ms(0.99)),
        ("lost", f64::from(of.recovery.lost)),
        ("full after s", of.recovery.full_after.unwrap_or(of.recovery.seen).as_secs_f64()),
        ("second falls", f64::from(of.recovery.falls)),
        ("origin peak", of.origin_peak),
    ]
}

impl Results {
    fn of(&self, policy: Policy) -> Vec<&Figures> {
        self.runs.iter().filter(|(of, ..)| *of == policy).map(|(.., figures)| figures).collect()
    }

    fn policies(&self) -> Vec<Policy> {
        let mut policies: Vec<_> = self.runs.iter().map(|(policy, ..)| *policy).collect();
        policies.dedup();
        policies
    }

    /// Rules that the module broke, over all runs. Baselines break them by nature.
    pub fn broken(&self) -> u64 {
        self.of(Policy::Module).iter().map(|figures| figures.broken.values().sum::<u64>()).sum()
    }

    /// The table that people read.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let names = self.runs.first().map(|(.., f)| figures(f).map(|(name, _)| name)).unwrap_or_default();
        let _ = write!(out, "{:<8}", "brain");
        for name in names {
            let _ = write!(out, " {name:>14}");
        }
        let _ = writeln!(out, " {:>8}", "broken");
        for policy in self.policies() {
            let runs = self.of(policy);
            let _ = write!(out, "{:<8}", policy.name());
            for at in 0..names.len() {
                let values: Vec<_> = runs.iter().map(|f| figures(f)[at].1).collect();
                let _ = write!(out, " {:>14}", mean(&values).to_string());
            }
            let broken: u64 = runs.iter().map(|figures| figures.broken.values().sum::<u64>()).sum();
            let _ = writeln!(out, " {broken:>8}");
        }
        for policy in self.policies().into_iter().filter(|policy| *policy != Policy::Module) {
            if let Some(difference) = self.against(policy) {
                let _ = writeln!(out, "{difference}");
            }
        }
        for (policy, seed, figures) in self.runs.iter().filter(|(policy, ..)| *policy == Policy::Module) {
            for what in figures.first_breaks.iter().take(3) {
                let _ = writeln!(out, "BROKEN {} seed {seed}: {what}", policy.name());
            }
        }
        out
    }

    /// The module beside a baseline, seed by seed.
    fn against(&self, policy: Policy) -> Option<String> {
        let differences: Vec<f64> = self
            .of(Policy::Module)
            .iter()
            .zip(self.of(policy))
            .map(|(module, other)| (module.share_in_time() - other.share_in_time()) * 100.0)
            .collect();
        if differences.len() < 2 {
            return None;
        }
        let difference = mean(&differences);
        let noise = difference.half.is_none_or(|half| half >= difference.mean.abs());
        let said = if noise { "which may be noise" } else { "which is no noise" };
        Some(format!("module over {}: {difference} points in time, {said}", policy.name()))
    }

    pub fn csv(&self) -> String {
        let mut out = String::from("brain,seed,taken,events,broken");
        let names = self.runs.first().map(|(.., f)| figures(f).map(|(name, _)| name)).unwrap_or_default();
        for name in names {
            let _ = write!(out, ",{}", name.replace(' ', "_").replace('%', "percent"));
        }
        out.push('\n');
        for (policy, seed, of) in &self.runs {
            let broken: u64 = of.broken.values().sum();
            let _ = write!(out, "{},{seed},{},{},{broken}", policy.name(), of.taken, of.events);
            for (_, value) in figures(of) {
                let _ = write!(out, ",{value:.4}");
            }
            out.push('\n');
        }
        out
    }

    pub fn json(&self) -> Value {
        let runs = self.runs.iter().map(|(policy, seed, of)| {
            let told: serde_json::Map<_, _> = figures(of).into_iter().map(|(n, v)| (n.to_owned(), json!(v))).collect();
            json!({"brain": policy.name(), "seed": seed, "taken": of.taken, "events": of.events, "broken": of.broken,
                "figures": told})
        });
        json!({"runs": runs.collect::<Vec<_>>()})
    }
}
