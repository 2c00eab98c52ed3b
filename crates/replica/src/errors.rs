//! Errors of the replica program, of requests to it, and of fetching its status.

use myrtlegauge_replication::{ConfigurationError, PollError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Reasons why a replica cannot start or stops running.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The operator file has no `replica` form.
    #[error("the operator file configures no replica: add a form (replica ...)")]
    NoReplica,
    /// The listening address is in use or does not belong to this machine.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The configured listening address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The event loop or one of its event sources failed.
    #[error("{operation}: {cause}")]
    Loop {
        /// The operation that failed.
        operation: &'static str,
        /// The error of the event loop.
        cause: calloop::Error,
    },
    /// The settings of the operator file are unusable.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

/// Reasons to reject a request; the text of the error is the body of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The head is longer than that of any poll.
    #[error(
        "request head over {max_bytes} bytes or with too many headers: send GET /changes?since=N&timeout=MS with few headers"
    )]
    HeadTooLong {
        /// The maximum size of a head.
        max_bytes: usize,
    },
    /// The request is not HTTP/1.1.
    #[error("not an HTTP/1.1 request: send GET /changes?since=N&timeout=MS HTTP/1.1")]
    NotHttp,
    /// The method is not GET.
    #[error("method {0} is not supported: use GET")]
    Method(String),
    /// The request has a body, which no request to a replica has.
    #[error("unexpected request body: send a GET request with all parameters in its query")]
    Body,
    /// Nothing is served under the path.
    #[error("path {0} not found: request /changes?since=N&timeout=MS or /status")]
    Path(String),
    /// The request was started and not completed in time.
    #[error("timed out waiting for the rest of the request head: send the whole head at once")]
    Timeout,
    /// The query of the poll is invalid or the poll cannot be accepted.
    #[error(transparent)]
    Poll(#[from] PollError),
}

impl RequestError {
    /// The HTTP status of the response.
    pub fn status(&self) -> http_status::Status {
        match self {
            Self::Path(_) => http_status::NOT_FOUND,
            Self::Method(_) => http_status::METHOD_NOT_ALLOWED,
            Self::Timeout => http_status::REQUEST_TIMEOUT,
            Self::HeadTooLong { .. } => http_status::HEADERS_TOO_LARGE,
            Self::Poll(PollError::TooManyMembers { .. }) => http_status::UNAVAILABLE,
            Self::NotHttp | Self::Body | Self::Poll(_) => http_status::BAD_REQUEST,
        }
    }
}

/// HTTP statuses in the form of the status line.
pub mod http_status {
    /// A status code with its reason phrase.
    pub type Status = &'static str;

    /// The request was accepted.
    pub const OK: Status = "200 OK";
    /// The request is invalid.
    pub const BAD_REQUEST: Status = "400 Bad Request";
    /// Nothing is served under the path.
    pub const NOT_FOUND: Status = "404 Not Found";
    /// Only GET is supported.
    pub const METHOD_NOT_ALLOWED: Status = "405 Method Not Allowed";
    /// The request was not completed in time.
    pub const REQUEST_TIMEOUT: Status = "408 Request Timeout";
    /// The request head is too long.
    pub const HEADERS_TOO_LARGE: Status = "431 Request Header Fields Too Large";
    /// No further member can be accepted.
    pub const UNAVAILABLE: Status = "503 Service Unavailable";
}

/// Reasons why the status of a replica cannot be fetched.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The connection could not be opened or failed.
    #[error("cannot fetch the status of the replica at {address}: {cause}; check that it is running there")]
    Connection {
        /// The address of the replica.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The connection was closed before the response was complete.
    #[error("the response from {0} is truncated: check that a replica listens there")]
    Truncated(SocketAddr),
    /// The response is not the status of a replica.
    #[error("the response from {address} is not the status of a replica: {cause}")]
    Invalid {
        /// The address of the replica.
        address: SocketAddr,
        /// What is wrong with the response.
        cause: String,
    },
}
