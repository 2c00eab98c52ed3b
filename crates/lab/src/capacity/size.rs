//! Sizes of a fleet: the one to design for, those that a slope is laid through, and what one dispatcher may cost.

use serde::Serialize;

/// Zones of the footprint.
pub const ZONES: usize = 9;
/// Control machines beside a fleet, in full and in the small form.
pub const CONTROLS: usize = 9;
pub const QUICK_CONTROLS: usize = 2;
/// Processes that hollow dispatchers are spread over at most.
const HOLLOW_PROCESSES: usize = 8;
/// Hollow dispatchers for which another process is worth it.
const HOLLOWS_EACH: usize = 16;

/// What one point of a run is played with.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    pub dispatchers: usize,
    pub hosts: usize,
    pub purges_per_second: f64,
    pub controls: usize,
    /// Replicas between the change log and the dispatchers; none: dispatchers poll the change log.
    pub replicas: usize,
}

/// The size to design for.
pub const DESIGN: Size =
    Size { dispatchers: 770, hosts: 290, purges_per_second: 20.0, controls: CONTROLS, replicas: 0 };
/// The small form's largest size.
pub const QUICK: Size =
    Size { dispatchers: 60, hosts: 64, purges_per_second: 20.0, controls: QUICK_CONTROLS, replicas: 0 };
/// Where the others stay while one number is varied.
const BASE: Size =
    Size { dispatchers: 150, hosts: 32, purges_per_second: 20.0, controls: CONTROLS, replicas: 0 };
const QUICK_BASE: Size =
    Size { dispatchers: 20, hosts: 16, purges_per_second: 20.0, controls: QUICK_CONTROLS, replicas: 0 };

impl Size {
    /// Processes that the hollow dispatchers are spread over.
    pub fn hollow_processes(&self) -> usize {
        self.dispatchers.div_ceil(HOLLOWS_EACH).clamp(1, HOLLOW_PROCESSES)
    }
}

/// What one dispatcher may cost at the size to design for.
pub struct Budget {
    pub cpu_percent: f64,
    pub memory_kb: f64,
    pub bytes_per_second: f64,
}

pub const BUDGET: Budget = Budget { cpu_percent: 1.8, memory_kb: 32.0 * 1024.0, bytes_per_second: 12_000.0 };

/// A number that is varied while the others stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Direction {
    Dispatchers,
    Hosts,
    Purges,
}

impl Direction {
    pub const ALL: [Self; 3] = [Self::Dispatchers, Self::Hosts, Self::Purges];

    pub fn name(self) -> &'static str {
        match self {
            Self::Dispatchers => "dispatchers",
            Self::Hosts => "hosts",
            Self::Purges => "purges",
        }
    }

    /// The four sizes along this direction.
    pub fn sizes(self, quick: bool) -> [Size; 4] {
        let base = if quick { QUICK_BASE } else { BASE };
        match (self, quick) {
            (Self::Dispatchers, false) => [50, 150, 400, 770].map(|dispatchers| Size { dispatchers, ..base }),
            (Self::Dispatchers, true) => [10, 20, 40, 60].map(|dispatchers| Size { dispatchers, ..base }),
            (Self::Hosts, false) => [8, 32, 100, 290].map(|hosts| Size { hosts, ..base }),
            (Self::Hosts, true) => [8, 16, 32, 64].map(|hosts| Size { hosts, ..base }),
            (Self::Purges, false) => {
                [0.0, 5.0, 20.0, 60.0].map(|purges_per_second| Size { purges_per_second, ..base })
            }
            (Self::Purges, true) => {
                [0.0, 5.0, 10.0, 20.0].map(|purges_per_second| Size { purges_per_second, ..base })
            }
        }
    }

    /// The number that is varied.
    pub fn of(self, size: &Size) -> f64 {
        match self {
            Self::Dispatchers => size.dispatchers as f64,
            Self::Hosts => size.hosts as f64,
            Self::Purges => size.purges_per_second,
        }
    }
}
