//! The stand-ins of all proof runs: hosts with what really binds them, the change log, a client of the dispatcher, the
//! dispatcher as a process, the links between any two of them, and the ledger that judges.

pub mod asker;
pub mod changelog;
pub mod hosts;
pub mod ledger;
pub mod net;
pub mod process;
