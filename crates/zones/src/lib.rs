//! Zone evacuation by a whole fleet and the staged return: cores without I/O and without a clock.
//!
//! `votes` counts the evidence of many dispatchers, one vote each. `controller` makes verdicts from the votes, in a control
//! service. `held_verdicts` is what a dispatcher holds of these verdicts, and for how long. `local_rule` is the
//! dispatcher's own rule, which is only ever stricter. `shedding` finds the fraction to shed while the remaining zones
//! lack the capacity for the traffic.

pub mod controller;
pub mod held_verdicts;
pub mod local_rule;
pub mod shedding;
pub mod votes;

pub use controller::{EvacuationController, Order, Stage, Verdict, Why, ZonePolicy};
pub use held_verdicts::HeldVerdicts;
pub use local_rule::LocalRule;
pub use shedding::ShedController;
pub use votes::{HostEvidence, Vote};
