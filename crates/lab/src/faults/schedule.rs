//! What goes wrong in a run, and when: written out for a named case, or drawn from a seed.

use super::fleet::Fleet;
use super::news;
use crate::stand::changelog::Delivery;
use crate::stand::fault_layout::Call;
use crate::stand::fault_page::ClockShift;
use crate::stand::ledger::{Named, unix_ms};
use crate::stand::net::{Party, Way};
use rustix::process::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The signals of a series, in turn.
const SERIES: [Signal; 2] = [Signal::HUP, Signal::USR1];

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A cache's process dies and is back cold.
    CrashCache { cache: usize, away: Duration },
    /// A cache reads nothing, then all at once.
    StallCache { cache: usize, long: Duration },
    /// Dispatchers are killed and started again.
    Kill { dispatchers: Vec<usize>, away: Duration },
    /// Dispatchers are asked to end, one after another, and started again.
    Restart { dispatchers: Vec<usize> },
    /// Signals that ask for a reload and for the counters come to dispatchers in series.
    Signals { dispatchers: Vec<usize>, count: u32, gap: Duration },
    /// Clients that ask nothing hold connections to dispatchers.
    Crowd { dispatchers: Vec<usize>, clients: usize, long: Duration },
    /// Dispatchers are stopped and run on later.
    Freeze { dispatchers: Vec<usize>, long: Duration },
    /// The wall clocks of dispatchers are stepped.
    StepClock { dispatchers: Vec<usize>, shift: ClockShift },
    /// The change log says nothing to anybody.
    SilenceLog { long: Duration },
    /// The change log's answers come late by this much.
    SlowLog { late: Duration, long: Duration },
    /// The change log delivers its answers so.
    DeliverNews { delivery: Delivery, long: Duration },
    /// The change log takes no connection.
    LogDown { long: Duration },
    /// A cache drains.
    Drain { cache: usize },
    /// Hosts of another zone are listed, and six in ten of them replaced, this many changes in an event.
    Release { hosts: usize, changes_per_event: usize, within: Duration },
    /// Connections between a cache and dispatchers are reset in the middle of answers.
    ResetLinks { cache: usize, dispatchers: Vec<usize>, long: Duration },
    /// Nothing passes from a cache to dispatchers.
    CutLinks { cache: usize, dispatchers: Vec<usize>, long: Duration },
    /// System calls of dispatchers fail.
    FailCalls { dispatchers: Vec<usize>, call: Call, part: f64, long: Duration },
    /// Objects are purged, `gap` apart.
    Purge { objects: Vec<u64>, gap: Duration },
    /// Dispatchers are told of another address of the change log.
    Reload { dispatchers: Vec<usize> },
}

/// A fault and when it begins, after the first request.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: Duration,
    pub fault: Fault,
}

/// Has all events happen, each at its time, and waits until the last is over.
pub async fn play(fleet: &Arc<Fleet>, events: &[Event]) -> Result<(), String> {
    let began = tokio::time::Instant::now();
    let mut playing = JoinSet::new();
    for Event { at, fault } in events.iter().cloned() {
        let fleet = Arc::clone(fleet);
        playing.spawn(async move {
            tokio::time::sleep_until(began + at).await;
            fleet.ledger.say(format_args!("{fault:?}"));
            happen(&fleet, fault).await
        });
    }
    while let Some(played) = playing.join_next().await {
        played.map_err(|e| e.to_string())??;
    }
    Ok(())
}

async fn happen(fleet: &Arc<Fleet>, fault: Fault) -> Result<(), String> {
    match fault {
        Fault::CrashCache { cache, away } => fleet.crash_cache(cache, away).await,
        Fault::StallCache { cache, long } => fleet.hosts[cache].stall(long),
        Fault::Kill { dispatchers, away } => {
            for_each(fleet, dispatchers, move |fleet, index| async move {
                fleet.kill_dispatcher(index, away).await
            })
            .await?;
        }
        Fault::Restart { dispatchers } => {
            for index in dispatchers {
                fleet.restart_dispatcher(index).await?;
            }
        }
        Fault::Signals { dispatchers, count, gap } => {
            for number in 0..count {
                for &index in &dispatchers {
                    fleet.signal_dispatcher(index, SERIES[number as usize % SERIES.len()]).await;
                }
                tokio::time::sleep(gap).await;
            }
        }
        Fault::Crowd { dispatchers, clients, long } => {
            let _crowd = crowd(fleet, &dispatchers, clients).await;
            tokio::time::sleep(long).await;
        }
        Fault::Freeze { dispatchers, long } => {
            for_each(fleet, dispatchers, move |fleet, index| async move {
                fleet.freeze_dispatcher(index, long).await;
                Ok(())
            })
            .await?;
        }
        Fault::StepClock { dispatchers, shift } => {
            for index in dispatchers {
                fleet.pages[index].shift_clock(shift).map_err(|e| e.to_string())?;
            }
        }
        Fault::SilenceLog { long } => {
            let all = 0..fleet.scale.dispatchers;
            impair(fleet, Party::ChangeLog, all.collect(), Way::Cut, long).await;
        }
        Fault::SlowLog { late, long } => {
            let all = 0..fleet.scale.dispatchers;
            impair(fleet, Party::ChangeLog, all.collect(), Way::Slow(late), long).await;
        }
        Fault::DeliverNews { delivery, long } => {
            fleet.change_log.deliver(Some(delivery));
            tokio::time::sleep(long).await;
            fleet.change_log.deliver(None);
        }
        Fault::LogDown { long } => {
            fleet.change_log.set_down(true);
            tokio::time::sleep(long).await;
            fleet.change_log.set_down(false);
        }
        Fault::Drain { cache } => fleet.drain_cache(cache),
        Fault::Release { hosts, changes_per_event, within } => {
            news::release(&fleet.change_log, hosts, changes_per_event, within).await;
        }
        Fault::ResetLinks { cache, dispatchers, long } => {
            impair(fleet, Party::Host(cache), dispatchers, Way::Reset, long).await;
        }
        Fault::CutLinks { cache, dispatchers, long } => {
            impair(fleet, Party::Host(cache), dispatchers, Way::Cut, long).await;
        }
        Fault::FailCalls { dispatchers, call, part, long } => {
            fail_calls(fleet, &dispatchers, call, part, long).await?;
        }
        Fault::Purge { objects, gap } => {
            for object in objects {
                fleet.change_log.purge(Named::Object(object), unix_ms(), true);
                tokio::time::sleep(gap).await;
            }
        }
        Fault::Reload { dispatchers } => {
            for index in dispatchers {
                let address = fleet.links[index].other_change_log;
                fleet.dispatchers[index].lock().await.follow(address)?;
            }
        }
    }
    Ok(())
}

/// Connections on which nothing is asked. Those that a dispatcher does not take are left out.
async fn crowd(fleet: &Fleet, dispatchers: &[usize], clients: usize) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for &index in dispatchers {
        for _ in 0..clients {
            connections.extend(TcpStream::connect(fleet.addresses[index]).await);
        }
    }
    connections
}

/// Does the same with several dispatchers at once.
async fn for_each<F, Done>(fleet: &Arc<Fleet>, dispatchers: Vec<usize>, does: F) -> Result<(), String>
where
    F: Fn(Arc<Fleet>, usize) -> Done,
    Done: Future<Output = Result<(), String>> + Send + 'static,
{
    let mut all = JoinSet::new();
    for index in dispatchers {
        all.spawn(does(Arc::clone(fleet), index));
    }
    while let Some(done) = all.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    Ok(())
}

/// Impairs the links from a party to dispatchers for a while.
async fn impair(fleet: &Fleet, from: Party, dispatchers: Vec<usize>, way: Way, long: Duration) {
    for &index in &dispatchers {
        fleet.net.set(from, Party::Dispatcher(index), way);
    }
    tokio::time::sleep(long).await;
    for &index in &dispatchers {
        fleet.net.mend(from, Party::Dispatcher(index));
    }
}

async fn fail_calls(
    fleet: &Fleet,
    dispatchers: &[usize],
    call: Call,
    part: f64,
    long: Duration,
) -> Result<(), String> {
    for &index in dispatchers {
        if call == Call::Break {
            // Clients' connections break, too, through no fault of the dispatcher's.
            fleet.note_outage(index, long);
        }
        fleet.pages[index].fail_calls(call, part).map_err(|e| e.to_string())?;
    }
    tokio::time::sleep(long).await;
    for &index in dispatchers {
        fleet.pages[index].fail_calls(call, 0.0).map_err(|e| e.to_string())?;
    }
    Ok(())
}
