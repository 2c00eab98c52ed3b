//! The decisions of a traffic router for a two-tier cache. No I/O happens here.

pub mod decide;
mod footprint;
pub mod host_life;
pub mod interface;
pub mod reading;
mod ring;
mod state;
pub mod values;

pub use ring::{Member, Ring, Walk, Walked};
