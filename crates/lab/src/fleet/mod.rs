//! Runs of a whole fleet on one machine, with faults from a script.
//!
//! Dozens of dispatchers run as processes of their own. Stand-ins play the clients with their load balancer, the caches,
//! parents and origin with limited capacity, the change log, and the links between any two. A run is judged by what clients
//! and stand-ins observe.

pub mod bound;
pub mod dispatchers;
mod faults;
pub mod front;
pub mod judge;
pub mod plot;
mod result;
mod run;
mod scenario;
mod servers;
pub mod testbed;
mod workload;
pub mod zones;

pub use result::RunResult;
pub use run::run;
pub use scenario::{Defect, Fault, Scenario, Script};
pub use servers::{CACHE_SLOTS, CACHE_WARM_UP, ORIGIN_WORK};
