//! Drawn reloads, outages of the change log, stops of the process and purges.

use super::change_log::Service;
use fastrand::Rng;
use std::time::Duration;

/// Objects that clients ask for. Each is purged at most once, so that nothing else forbids its copies.
pub const OBJECTS: u64 = 24;
/// When the first reload comes, after which nothing more is drawn to begin with.
const FIRST_RELOAD: Duration = Duration::from_millis(2500);
/// How long a scenario is played.
pub const DURATION: Duration = Duration::from_secs(18);
const MAX_RELOADS: usize = 5;
const MAX_OUTAGE_MS: u64 = 15_000;
const MAX_LATENESS_MS: u64 = 1900;
/// A process that is stopped for longer notices it by itself.
const MAX_STOP_MS: u64 = 700;

/// The configuration file of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum File {
    /// It names another change log.
    Moved,
    /// It names the same change log, which goes on.
    Unchanged,
    /// It can't be read, while the change log has moved.
    Unusable,
}

/// One step of a scenario.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Reload(File),
    /// Change logs are served like this from now on.
    Serve(Service),
    Purge(u64),
    /// The process does not run until it is continued.
    Stop,
    Continue,
}

/// The steps of a scenario, in the order of their times.
#[derive(Debug)]
pub struct Scenario {
    pub steps: Vec<(Duration, Step)>,
}

impl Scenario {
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut steps = Vec::new();
        let outage = match rng.u64(..4) {
            0 => Service::Up,
            1 => Service::Late(Duration::from_millis(rng.u64(100..MAX_LATENESS_MS))),
            2 => Service::Silent,
            _ => Service::Refused,
        };
        steps.push((FIRST_RELOAD - Duration::from_millis(rng.u64(0..600)), Step::Serve(outage)));
        steps.push((
            FIRST_RELOAD + Duration::from_millis(rng.u64(0..MAX_OUTAGE_MS)),
            Step::Serve(Service::Up),
        ));
        let mut reload_at = FIRST_RELOAD;
        for _ in 0..rng.usize(1..=MAX_RELOADS) {
            let file = [File::Moved, File::Moved, File::Unchanged, File::Unusable][rng.usize(..4)];
            steps.push((reload_at, Step::Reload(file)));
            if rng.bool() {
                let stop = Duration::from_millis(rng.u64(100..=MAX_STOP_MS));
                let stopped_at = reload_at.saturating_sub(stop.mul_f64(rng.f64()));
                steps.push((stopped_at, Step::Stop));
                steps.push((stopped_at + stop, Step::Continue));
            }
            reload_at +=
                Duration::from_millis(if rng.bool() { rng.u64(50..800) } else { rng.u64(800..4000) });
        }
        for object in 0..OBJECTS {
            steps.push((FIRST_RELOAD.mul_f64(0.5) + DURATION.mul_f64(rng.f64() * 0.7), Step::Purge(object)));
        }
        steps.sort_by_key(|&(at, _)| at);
        Self { steps }
    }

    /// The steps but for the purges, in one line.
    pub fn describe(&self) -> String {
        let others = self.steps.iter().filter(|(_, step)| !matches!(step, Step::Purge(_)));
        others.map(|(at, step)| format!("{:.2} {step:?}", at.as_secs_f64())).collect::<Vec<_>>().join("; ")
    }
}
