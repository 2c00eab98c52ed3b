//! Drawn outages of the change log, stops and kills of the control service, and purges.

use super::change_log::Service;
use fastrand::Rng;
use std::time::Duration;

/// Objects that proxies ask for. Each is purged at most once, so that nothing else forbids its copies.
pub const OBJECTS: u64 = 24;
/// When the outage begins at the earliest.
const OUTAGE_FROM: Duration = Duration::from_millis(2000);
/// How long a scenario is played.
pub const DURATION: Duration = Duration::from_secs(18);
const MAX_OUTAGE_MS: u64 = 15_000;
const MAX_LATENESS_MS: u64 = 1900;
const MAX_STOP_MS: u64 = 2000;

/// One step of a scenario.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The change log is served like this from now on.
    Serve(Service),
    /// The change log begins anew.
    Restart,
    Purge(u64),
    /// The control service does not run until it is continued.
    Stop,
    Continue,
    /// The control service is killed and started anew.
    Kill,
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
        let outage = match rng.u64(..5) {
            0 => Service::Late(Duration::from_millis(rng.u64(100..MAX_LATENESS_MS))),
            1 => Service::Silent,
            2 => Service::Refused,
            _ => Service::BreaksOff,
        };
        let outage_at = OUTAGE_FROM + Duration::from_millis(rng.u64(..1000));
        let back_at = outage_at + Duration::from_millis(rng.u64(..MAX_OUTAGE_MS));
        steps.push((outage_at, Step::Serve(outage)));
        if rng.u64(..3) == 0 {
            steps.push((back_at, Step::Restart));
        }
        steps.push((back_at, Step::Serve(Service::Up)));
        if rng.bool() {
            let stop_at = outage_at + Duration::from_millis(rng.u64(..6000));
            steps.push((stop_at, Step::Stop));
            steps.push((stop_at + Duration::from_millis(rng.u64(50..MAX_STOP_MS)), Step::Continue));
        } else if rng.u64(..3) == 0 {
            steps.push((outage_at + Duration::from_millis(rng.u64(..6000)), Step::Kill));
        }
        for object in 0..OBJECTS {
            steps.push((OUTAGE_FROM.mul_f64(0.7) + DURATION.mul_f64(rng.f64() * 0.7), Step::Purge(object)));
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
