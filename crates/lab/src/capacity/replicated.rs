//! Moments of a fleet that follows replicas: quiet, a host's line changed, seven in ten dispatchers restarted at once, a
//! replica killed. Purges are published all the while, and counted by name both where they are applied and where they are
//! told as in force everywhere.

use super::errors::CapacityError;
use super::fleet::{Conditions, Fleet, SETTLES_WITHIN};
use super::moments::{AWAY, Moment, RESTARTED_OF_TEN};
use super::point::{InForce, Timing, figures, lacking};
use super::size::Size;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Between two looks at who has what.
const LOOKS_EVERY: Duration = Duration::from_millis(20);
/// The host whose line is changed: a cache, neither the origin nor a parent.
const CHANGED_HOST: usize = 2;

/// How long it may take until a purge or a host's line is in force.
#[derive(Clone, Copy, Debug)]
pub struct Aims {
    pub p99: Duration,
    pub worst: Duration,
    pub host_line: Duration,
}

/// Of the size to design for, by a release build.
pub const AIMS: Aims = Aims {
    p99: Duration::from_millis(1000),
    worst: Duration::from_millis(1900),
    host_line: Duration::from_secs(7),
};
/// Of the small form, and of a build without optimization, on a machine that does other things.
pub const LOOSE_AIMS: Aims =
    Aims { p99: Duration::from_secs(5), worst: Duration::from_secs(5), host_line: Duration::from_secs(7) };

/// How long purges are published before the first moment, and each moment's window.
pub fn timing(quick: bool) -> Timing {
    if quick {
        Timing { before: Duration::from_millis(200), window: Duration::from_millis(1500) }
    } else {
        Timing { before: Duration::from_millis(1000), window: Duration::from_millis(8000) }
    }
}

/// All that a run with replicas measured.
#[derive(Clone, Debug, Serialize)]
pub struct Replicated {
    pub sources: usize,
    pub moments: Vec<Moment>,
    pub host_line: HostLineFigures,
    pub breaks: Vec<String>,
}

/// From a host's line being changed at the change log.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HostLineFigures {
    /// Until every dispatcher had it.
    pub applied_ms: f64,
    /// Until the first purge published after it was told as in force, which is behind it in each log; none without purges.
    pub told_ms: Option<f64>,
}

/// What happens in a moment.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Restart,
    Kill,
}

/// Plays all moments on one fleet.
///
/// # Errors
/// A fleet that does not start, or breaks off.
pub async fn play(
    size: Size,
    conditions: Conditions,
    timing: Timing,
    aims: Aims,
) -> Result<Replicated, CapacityError> {
    let mut fleet = Fleet::start(size, conditions).await?;
    let mut chance = fastrand::Rng::with_seed(conditions.seed);
    fleet.publish()?;
    tokio::time::sleep(timing.before).await;
    let quiet = moment(&mut fleet, "quiet", Fault::None, timing, &mut chance).await?;
    let host_line = change_host_line(&mut fleet).await?;
    let restart = moment(&mut fleet, "restart", Fault::Restart, timing, &mut chance).await?;
    let killed = moment(&mut fleet, "replica killed", Fault::Kill, timing, &mut chance).await?;
    let mut breaks = finish(&mut fleet).await?;
    for moment in [&quiet, &killed] {
        breaks.extend(missed(moment, &aims));
    }
    breaks.extend(host_line.missed(&aims));
    Ok(Replicated { sources: conditions.sources, moments: vec![quiet, restart, killed], host_line, breaks })
}

async fn moment(
    fleet: &mut Fleet,
    name: &'static str,
    fault: Fault,
    timing: Timing,
    chance: &mut fastrand::Rng,
) -> Result<Moment, CapacityError> {
    fleet.take_in_force()?;
    fleet.take_told();
    let before = fleet.look()?;
    let began = Instant::now();
    let struck = strike(fleet, fault, chance)?;
    let ended = Instant::now();
    tokio::time::sleep(timing.window.saturating_sub(began.elapsed())).await;
    let after = fleet.look()?;
    let mut figures = figures(fleet, &before, &after);
    // What was published in the window is waited for, so that its latest and worst are among what is told.
    figures.breaks.extend(all_have_all(fleet, after.counts.purges).await?);
    let whole_ms = ended.elapsed().as_secs_f64() * 1e3;
    figures.in_force = InForce::of(&fleet.take_in_force()?);
    if let Some(replicas) = &mut figures.replicas {
        replicas.told = fleet.take_told();
    }
    figures.breaks.extend(fleet.deaths().into_iter().map(|dead| format!("{name}: {dead} ended by itself")));
    if fault == Fault::Kill {
        tokio::time::sleep(AWAY).await;
    }
    Ok(Moment { name, struck, figures, whole_ms })
}

/// Has the fault come; how many dispatchers it struck.
fn strike(fleet: &mut Fleet, fault: Fault, chance: &mut fastrand::Rng) -> Result<usize, CapacityError> {
    match fault {
        Fault::None => Ok(0),
        Fault::Restart => {
            let mut dispatchers: Vec<_> = (0..fleet.size.dispatchers).collect();
            chance.shuffle(&mut dispatchers);
            dispatchers.truncate(dispatchers.len() * RESTARTED_OF_TEN / 10);
            fleet.stop_hollows(&dispatchers)?;
            fleet.start_hollows(&dispatchers)?;
            Ok(dispatchers.len())
        }
        Fault::Kill => {
            let victim = fleet.replicas.victim();
            fleet.replicas.kill(victim);
            let replicas = fleet.size.replicas;
            Ok((0..fleet.size.dispatchers).filter(|number| number % replicas == victim).count())
        }
    }
}

/// Takes one host off the list, and waits until that is known and told everywhere.
async fn change_host_line(fleet: &mut Fleet) -> Result<HostLineFigures, CapacityError> {
    let changed = Instant::now();
    fleet.list(&[CHANGED_HOST], false)?;
    let next_purge = fleet.counts()?.purges + 1;
    fleet.until_settled("dispatchers had a host's line", 0).await?;
    let applied_ms = changed.elapsed().as_secs_f64() * 1e3;
    let told_ms = if fleet.size.purges_per_second > 0.0 {
        while changed.elapsed() < SETTLES_WITHIN && fleet.is_outstanding(next_purge) {
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        Some(changed.elapsed().as_secs_f64() * 1e3)
    } else {
        None
    };
    Ok(HostLineFigures { applied_ms, told_ms })
}

impl HostLineFigures {
    fn missed(&self, aims: &Aims) -> Option<String> {
        let worst = self.told_ms.unwrap_or_default().max(self.applied_ms);
        let most = aims.host_line.as_secs_f64() * 1e3;
        (worst > most).then(|| format!("a host's line in force after {worst:.0} ms, over {most:.0} ms"))
    }
}

/// Waits until every dispatcher has all purges published so far and each was told as in force; what is lacking in the end.
async fn all_have_all(fleet: &mut Fleet, published: u64) -> Result<Vec<String>, CapacityError> {
    let began = Instant::now();
    loop {
        let (unsettled, untold) = (fleet.unsettled(published)?, fleet.untold(published));
        let is_over = began.elapsed() > fleet.patience();
        if is_over || unsettled.is_empty() && untold.is_empty() {
            let lacking = lacking(&unsettled, published);
            return Ok(lacking.into_iter().chain(never_told(&untold)).collect());
        }
        tokio::time::sleep(LOOKS_EVERY).await;
    }
}

/// A break that tells of purges that were not told as in force.
pub fn never_told(purges: &[u64]) -> Option<String> {
    let first = purges.first()?;
    Some(format!("{} purges were never told as in force, the first is purge {first}", purges.len()))
}

/// Publishes no more, and counts by name who has not all.
async fn finish(fleet: &mut Fleet) -> Result<Vec<String>, CapacityError> {
    fleet.halt()?;
    let published = fleet.counts()?.purges;
    all_have_all(fleet, published).await
}

/// Breaks of a moment: what took longer than the aims.
fn missed(moment: &Moment, aims: &Aims) -> Vec<String> {
    let told = moment.figures.replicas.as_ref().map(|replicas| replicas.told.in_force).unwrap_or_default();
    let mut missed = Vec::new();
    for (what, times) in [("applied", moment.figures.in_force), ("told as in force", told)] {
        for (of, us, most) in [("p99", times.p99_us, aims.p99), ("worst", times.worst_us, aims.worst)] {
            let (ms, most_ms) = (us / 1000, most.as_millis());
            if u128::from(ms) > most_ms {
                missed.push(format!("{}: {what} {of} after {ms} ms, over {most_ms} ms", moment.name));
            }
        }
    }
    missed
}
