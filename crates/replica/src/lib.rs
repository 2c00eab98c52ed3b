//! The replica program of the change log: socket I/O around the core of `myrtlegauge-replication`, on one calloop event
//! loop in one thread. Dispatchers and other replicas poll it with the long poll of the change log. The core decides
//! which records are sent, to whom and when.
//!
//! `http` parses requests and builds responses, `pollers` manages the connections of pollers, `peers` polls the other
//! replicas, `source` converts the platform's change log into records, `status` reports the state to operators,
//! `service` runs the event loop.

pub mod errors;
pub mod http;
mod log_budget;
mod peers;
mod pollers;
pub mod service;
pub mod source;
pub mod status;

pub use errors::{ReplicaError, RequestError, StatusError};
pub use service::{Service, run};
