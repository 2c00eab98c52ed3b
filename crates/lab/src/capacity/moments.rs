//! A quiet moment and three bad ones on one fleet: seven in ten dispatchers restarted at once, a zone gone and back, a
//! control process killed. Purges are published all the while.

use super::errors::CapacityError;
use super::fleet::{Conditions, Fleet};
use super::footprint::zone_of;
use super::point::{InForce, PointFigures, Timing, figures, finish};
use super::size::Size;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Of ten dispatchers so many are restarted at once.
pub const RESTARTED_OF_TEN: usize = 7;
/// The zone that goes, one of those with most dispatchers.
const ZONE: usize = 3;
/// How long the zone stays away, and the control process down.
pub const AWAY: Duration = Duration::from_millis(1000);

/// What was measured in a moment.
#[derive(Clone, Debug, Serialize)]
pub struct Moment {
    pub name: &'static str,
    /// Who was struck.
    pub struck: usize,
    /// What each role cost from the moment's beginning to the end of its window.
    pub figures: PointFigures,
    /// From the end of the fault until everyone had the whole list and every purge published until then.
    pub whole_ms: f64,
}

/// What happens in a moment.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Restart,
    Zone,
    Control,
}

/// Plays all moments on one fleet.
///
/// # Errors
/// A fleet that does not start, or breaks off.
pub async fn play(size: Size, conditions: Conditions, timing: Timing) -> Result<Vec<Moment>, CapacityError> {
    let mut fleet = Fleet::start(size, conditions).await?;
    let mut chance = fastrand::Rng::with_seed(conditions.seed);
    fleet.publish()?;
    tokio::time::sleep(timing.before).await;
    let faults = [
        ("quiet", Fault::None),
        ("restart", Fault::Restart),
        ("zone", Fault::Zone),
        ("control", Fault::Control),
    ];
    let mut moments = Vec::new();
    for (name, fault) in faults {
        fleet.take_in_force()?;
        moments.push(moment(&mut fleet, name, fault, timing, &mut chance).await?);
    }
    if let Some(last) = moments.last_mut() {
        let in_force = last.figures.in_force;
        finish(&mut fleet, &mut last.figures).await?;
        last.figures.in_force = in_force;
    }
    Ok(moments)
}

async fn moment(
    fleet: &mut Fleet,
    name: &'static str,
    fault: Fault,
    timing: Timing,
    chance: &mut fastrand::Rng,
) -> Result<Moment, CapacityError> {
    let before = fleet.look()?;
    let began = Instant::now();
    let struck = strike(fleet, fault, chance).await?;
    let published = fleet.counts()?.purges;
    let whole = fleet.until_settled("dispatchers had all after a fault", published).await;
    // What came too late is a break of the promise, no end of the run.
    let (whole, late) = match whole {
        Ok(whole) => (whole, None),
        Err(late @ CapacityError::TooLate { .. }) => (began.elapsed(), Some(format!("{name}: {late}"))),
        Err(fault) => return Err(fault),
    };
    tokio::time::sleep(timing.window.saturating_sub(began.elapsed())).await;
    let after = fleet.look()?;
    let mut figures = figures(fleet, &before, &after);
    figures.in_force = InForce::of(&fleet.take_in_force()?);
    figures.breaks.extend(late);
    figures.breaks.extend(fleet.deaths().into_iter().map(|dead| format!("{name}: {dead} ended by itself")));
    Ok(Moment { name, struck, figures, whole_ms: whole.as_secs_f64() * 1e3 })
}

/// Has the fault come and go; how many it struck.
async fn strike(fleet: &mut Fleet, fault: Fault, chance: &mut fastrand::Rng) -> Result<usize, CapacityError> {
    let mut dispatchers: Vec<_> = (0..fleet.size.dispatchers).collect();
    match fault {
        Fault::None => Ok(0),
        Fault::Restart => {
            chance.shuffle(&mut dispatchers);
            dispatchers.truncate(dispatchers.len() * RESTARTED_OF_TEN / 10);
            fleet.stop_hollows(&dispatchers)?;
            fleet.start_hollows(&dispatchers)?;
            Ok(dispatchers.len())
        }
        Fault::Zone => {
            dispatchers.retain(|&number| zone_of(number) == ZONE);
            let hosts: Vec<_> = (0..fleet.size.hosts).filter(|&host| zone_of(host) == ZONE).collect();
            fleet.stop_hollows(&dispatchers)?;
            fleet.list(&hosts, false)?;
            tokio::time::sleep(AWAY).await;
            fleet.list(&hosts, true)?;
            fleet.start_hollows(&dispatchers)?;
            Ok(dispatchers.len())
        }
        Fault::Control => {
            fleet.kill_control(0);
            tokio::time::sleep(AWAY).await;
            fleet.restart_control(0)?;
            Ok(1)
        }
    }
}
