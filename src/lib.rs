//! The decisions of a traffic router for a two-tier cache. No I/O happens here.

pub mod decide;
pub mod host_life;
pub mod interface;
mod ring;
pub mod settings;
mod site_settings;
pub mod snapshot;
mod state;

pub use ring::{Ring, RingMember, Walk, WalkCost};
