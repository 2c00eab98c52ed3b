//! Decision logic of a traffic router for a two-tier cache. This crate does no I/O.

pub mod decide;
mod host_health;
pub mod host_life;
mod host_list;
pub mod interface;
mod link_load;
pub mod purge_news;
mod ring;
pub mod settings;
mod site_settings;
pub mod slow_start;
pub mod snapshot;
mod state;

pub use ring::{Point, Ring, RingMember, Walk, WalkCost};
