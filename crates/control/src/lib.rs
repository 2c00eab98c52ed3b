//! Routing decisions over xDS. A control service publishes what the decision module decides, and proxies that take GETs
//! elsewhere follow it.
//!
//! Modules without I/O:
//! - `lease`: how long the published state holds.
//! - `resource_cache`: the published resources.
//! - `ads_server`, `ads_stream`, `subscription`: all ADS streams, one of them, and its resources of one type.
//! - `load_reports`: the reports of proxies.
//! - `fleet`: the hosts, the purges and the decision module.
//! - `copy_refusals`: copies that proxies refuse while the change log is not heard.
//! - `refusal_watch`: what the operator is told of these.
//! - `messages`, `struct_fields`: encoding and decoding of the published messages.
//! - `follower`: the core of a proxy that follows a control service.
//! - `session`: the streams of a follower.
//! - `zone_controller`: verdicts on zones.
//!
//! Modules with I/O:
//! - `service`: the event loop.
//! - `news`: the change log.
//! - `grpc`: the published services, on tokio on a thread of its own.
//! - `client_status`: status for operators.

pub mod ads_server;
mod ads_stream;
pub mod client_status;
pub mod copy_refusals;
pub mod fleet;
pub mod follower;
mod grpc;
pub mod lease;
pub mod load_reports;
pub mod messages;
mod news;
mod refusal_watch;
pub mod resource_cache;
pub mod service;
pub mod session;
mod struct_fields;
mod subscription;
pub mod zone_controller;
