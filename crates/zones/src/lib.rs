//! When a fleet leaves a zone together, and how it comes back: cores without I/O and without a clock.
//!
//! `votes` is what many dispatchers saw, one vote each; `fleet` makes verdicts of it, in a control service; `belief` is what
//! a dispatcher holds of them, for how long; `own` is its own rule, which is only ever stricter.

pub mod belief;
pub mod fleet;
pub mod own;
pub mod votes;

pub use belief::Belief;
pub use fleet::{Fleet, Order, Stage, Terms, Verdict, Why};
pub use own::Own;
pub use votes::{Saw, Vote};
