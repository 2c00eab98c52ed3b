//! The traffic router on sockets, in layers of which each uses only those listed before it: transport and protocol (in
//! `myrtlegauge-wire`), routing, program.

pub mod program;
pub mod routing;
