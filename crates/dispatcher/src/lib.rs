//! The traffic router on sockets, by layer, each of which knows only those before it: transport and protocol (of
//! `myrtlegauge-wire`), routing, program.

pub mod program;
pub mod routing;
