//! Networking shared by the project's programs, in layers that depend only on the layers before them: `transport`
//! (connections on a calloop event loop), `protocol` (parsers and writers without I/O), `host_replies` (reading what hosts
//! answer), and the modules with which the dispatcher and the control service follow the change log: `clock` (its
//! timestamps), `host_registry` (its names and indices), `change_log_client` (its long poll), `poll_records` (what
//! its polls mean for purges that were not received) and `long_poll` (the long poll of a replica, whose caller decides
//! when and what to request).

pub mod change_log_client;
pub mod clock;
pub mod host_registry;
pub mod host_replies;
pub mod long_poll;
mod overdue_polls;
mod poll_connection;
pub mod poll_records;
pub mod protocol;
pub mod transport;
