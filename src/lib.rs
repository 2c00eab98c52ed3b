//! The decisions of a traffic router for a two-tier cache. No I/O happens here.

pub mod decide;
pub mod interface;
mod ring;
mod values;
