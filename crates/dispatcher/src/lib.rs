//! The traffic router on sockets. Modules go by layer, each of which knows only those before it: transport, protocol,
//! routing, program.

pub mod program;
pub mod protocol;
pub mod routing;
mod transport;
