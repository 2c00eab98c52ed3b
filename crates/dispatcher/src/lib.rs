//! The dispatcher: the traffic router on sockets. Its layers depend only on the layers before them: transport and
//! protocol (of `myrtlegauge-wire`), routing, program.

pub mod program;
pub mod routing;
