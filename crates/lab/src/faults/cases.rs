//! The named cases: a cache that starts cold beside one other fault.

use super::schedule::{Event, Fault};
use crate::stand::fault_page::ClockShift;
use std::time::Duration;

/// When a cache's process dies, after the first request: after any fault that is to be there before.
pub const CRASH_AT: Duration = Duration::from_millis(3000);
/// How long the process is away.
const AWAY: Duration = Duration::from_millis(300);
/// The cache that dies.
const CACHE: usize = 0;
const SECOND_CACHE: usize = 1;
const THIRD_CACHE: usize = 2;
/// How long a killed dispatcher is away.
const KILLED_FOR: Duration = Duration::from_millis(150);
/// A step that an operator makes by hand or that a time service makes after a long loss, and one of a wrong time zone.
const STEP: Duration = Duration::from_secs(30);
const LONG_STEP: Duration = Duration::from_secs(2 * 3600);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What happens beside the cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Case {
    /// Nothing: all are told at once.
    Told,
    /// Half of the dispatchers start with wall clocks 30 s ahead.
    ClockAhead,
    /// The same, two hours ahead.
    ClockFarAhead,
    /// 30 s behind.
    ClockBehind,
    /// Two hours behind.
    ClockFarBehind,
    /// All wall clocks are stepped ahead while the cache is cold, and all dispatchers are killed then.
    ClockStepped,
    /// Half of the wall clocks are ahead, and objects are purged.
    ClockAheadPurges,
    /// All dispatchers are killed five times within the first seconds.
    Killed,
    /// All dispatchers are asked to end, one after another.
    Restarted,
    /// A dispatcher is asked to end while it is stopped for 3 s, and runs on then.
    RestartedFrozen,
    /// A third of the dispatchers is stopped from before the death until after the return.
    Frozen,
    /// The change log is silent from just before the death.
    LogSilent,
    /// The same, and objects are purged at once: what is not told counts as told after a while.
    LogSilentPurges,
    /// The cache reads nothing for a while, then all at once.
    Stalled,
    /// Two caches start cold at once.
    Two,
    /// Three of the caches start cold at once, so that one is left that is warm.
    Three,
    /// The list tells of the start 2.5 s late.
    ListLate,
    /// The list tells of the start 6.5 s late.
    ListVeryLate,
    /// The cache is silent for 3 s, and a new process is there then.
    SilentBack,
    /// The cache starts anew while it is cold.
    Again,
    /// All dispatchers move to another address of the change log while the cache is cold.
    Reloaded,
}

/// The schedule of a case.
pub fn events(case: Case, dispatchers: usize) -> Vec<Event> {
    let all: Vec<usize> = (0..dispatchers).collect();
    let half = all[..dispatchers.div_ceil(2)].to_vec();
    let third = all[..dispatchers.div_ceil(3)].to_vec();
    let crash = Event { at: CRASH_AT, fault: Fault::CrashCache { cache: CACHE, away: AWAY } };
    let back = CRASH_AT + AWAY;
    let mut events = vec![crash];
    let mut add = |at, fault| events.push(Event { at, fault });
    match case {
        Case::Told => {}
        Case::ClockAhead => start_shifted(&mut add, half, ClockShift::Ahead(STEP)),
        Case::ClockFarAhead => start_shifted(&mut add, half, ClockShift::Ahead(LONG_STEP)),
        Case::ClockBehind => start_shifted(&mut add, half, ClockShift::Behind(STEP)),
        Case::ClockFarBehind => start_shifted(&mut add, half, ClockShift::Behind(LONG_STEP)),
        Case::ClockStepped => {
            add(
                back + ms(200),
                Fault::StepClock { dispatchers: all.clone(), shift: ClockShift::Ahead(LONG_STEP) },
            );
            add(back + ms(500), Fault::Kill { dispatchers: all, away: KILLED_FOR });
        }
        Case::ClockAheadPurges => {
            start_shifted(&mut add, half, ClockShift::Ahead(STEP));
            add(CRASH_AT, Fault::Purge { objects: (0..20).collect(), gap: ms(150) });
        }
        Case::Killed => {
            for kill in 0..5 {
                let dispatchers = all.clone();
                add(back + ms(100 + 640 * kill), Fault::Kill { dispatchers, away: KILLED_FOR });
            }
        }
        Case::Restarted => add(back + ms(100), Fault::Restart { dispatchers: all }),
        Case::RestartedFrozen => {
            add(CRASH_AT, Fault::Freeze { dispatchers: vec![0], long: ms(3000) });
            add(CRASH_AT + ms(2000), Fault::Restart { dispatchers: vec![0] });
        }
        Case::Frozen => {
            add(CRASH_AT - ms(300), Fault::Freeze { dispatchers: third, long: ms(300) + AWAY + ms(4000) });
        }
        Case::LogSilent => add(CRASH_AT - ms(200), Fault::SilenceLog { long: ms(12_000) }),
        Case::LogSilentPurges => {
            add(CRASH_AT - ms(200), Fault::SilenceLog { long: ms(12_000) });
            add(CRASH_AT, Fault::Purge { objects: (0..20).collect(), gap: ms(20) });
        }
        Case::Stalled => add(back + ms(1500), Fault::StallCache { cache: CACHE, long: ms(1500) }),
        Case::Two => add(CRASH_AT, Fault::CrashCache { cache: SECOND_CACHE, away: AWAY }),
        Case::Three => {
            add(CRASH_AT, Fault::CrashCache { cache: SECOND_CACHE, away: AWAY });
            add(CRASH_AT, Fault::CrashCache { cache: THIRD_CACHE, away: AWAY });
        }
        Case::ListLate => add(CRASH_AT - ms(200), Fault::SlowLog { late: ms(2500), long: ms(9000) }),
        Case::ListVeryLate => add(CRASH_AT - ms(200), Fault::SlowLog { late: ms(6500), long: ms(14_000) }),
        Case::SilentBack => {
            let silent = Fault::CutLinks { cache: CACHE, dispatchers: all, long: ms(3000) };
            add(CRASH_AT - ms(2800), silent);
        }
        Case::Again => add(back + ms(2500), Fault::CrashCache { cache: CACHE, away: AWAY }),
        Case::Reloaded => add(back + ms(500), Fault::Reload { dispatchers: all }),
    }
    events.sort_by_key(|event| event.at);
    events
}

/// Has dispatchers start with a shifted wall clock, well before the crash.
fn start_shifted(add: &mut impl FnMut(Duration, Fault), dispatchers: Vec<usize>, shift: ClockShift) {
    add(ms(200), Fault::StepClock { dispatchers: dispatchers.clone(), shift });
    add(ms(400), Fault::Kill { dispatchers, away: KILLED_FOR });
}
