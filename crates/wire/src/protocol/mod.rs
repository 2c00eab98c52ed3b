//! Parsers and writers without I/O: FastCGI for clients, RESP for hosts, HTTP and JSON for the change log.

pub mod changelog;
pub mod changelog_answer;
pub mod fastcgi;
pub mod fastcgi_client;
mod fastcgi_responses;
mod http_body;
pub mod resp;

/// The reason why a stream can't be used any further: invalid bytes, or a failed, silent or lost connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamError(pub &'static str);
