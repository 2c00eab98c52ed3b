//! A discrete-event model of the system that the dispatchers balance: locations with caches and dispatchers, a hub with
//! parents, an origin, links and clients. It runs the decision module itself at sizes that are out of reach with sockets,
//! with scripted faults, an oracle that checks the rules on every event independently of the module, and baselines for
//! comparison.
//!
//! `recovery` computes the time to full service from the outcomes of GETs; the proofs on sockets use it too.
//! `world` defines the modelled system and its faults, `engine` simulates it, `oracle` checks the rules, and `experiment`
//! reads a file, runs it over several seeds and reports means with their confidence intervals.

pub mod engine;
pub mod experiment;
pub mod oracle;
pub mod recovery;
pub mod world;
