//! What bytes mean, as parsers and writers without I/O: FastCGI to clients, RESP to hosts, HTTP and JSON to the
//! change log.

pub mod changelog;
pub mod fastcgi;
pub mod fastcgi_client;
pub mod resp;

/// A stream that can't be read on; what was wrong.
#[derive(Debug, PartialEq, Eq)]
pub struct Fault(pub &'static str);
