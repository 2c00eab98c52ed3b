//! Decisions over xDS. A control service publishes what the decision module decides, and proxies that take GETs
//! elsewhere follow it.
//!
//! Without I/O: `lease` (how long what was told holds), `shelf` (what is published), `server` (the state of all
//! streams), `reports` (what proxies saw), `fleet` (the hosts, purges and the decision module), `messages` (the published
//! messages), `follower` (the core of a proxy that follows). With it: `service` (the loop), `grpc` (the published
//! services, on tokio on a thread of its own), `shown` (what operators are shown).

pub mod ads_server;
pub mod client_status;
pub mod fleet;
pub mod follower;
mod grpc;
pub mod lease;
pub mod load_reports;
pub mod messages;
pub mod resource_cache;
pub mod service;
pub mod session;
pub mod zoning;
