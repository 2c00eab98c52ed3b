//! A discrete-event model of what the dispatchers balance: locations with caches and dispatchers, a hub with parents, an
//! origin, links, clients. It runs the decision module itself at sizes that sockets don't reach, with faults as a script,
//! an oracle apart from the module that checks the rules on every event, and baselines to stand beside it.
//!
//! `recovery` tells the time to full service from served GETs; the proofs on sockets judge by it too.
//! `world` is what is modelled and its script, `engine` plays it, `oracle` checks, `experiment` reads a file, plays it over
//! seeds and tells means with their confidence.

pub mod engine;
pub mod experiment;
pub mod oracle;
pub mod recovery;
pub mod world;
