//! Why a proof could not be run, and what broke a promise in one that was.

use myrtlegauge_replica::{ReplicaError, StatusError};
use std::io;
use std::time::Duration;
use thiserror::Error;

/// A proof that could not be run to its end.
#[derive(Debug, Error)]
pub enum ProofError {
    /// A stand-in or a process could not be had.
    #[error("{what}: {why}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// What the system says.
        why: io::Error,
    },
    /// What has to come before a fault can be judged did not come.
    #[error("{what} is waited for since {waited:?}")]
    Late {
        /// What was waited for.
        what: &'static str,
        /// For how long.
        waited: Duration,
    },
    /// A replica that publishes says nothing that can be read.
    #[error("the publishing replica: {0}")]
    Publication(#[from] serde_json::Error),
    /// A replica tells no status.
    #[error(transparent)]
    Status(#[from] StatusError),
}

/// A replica that publishes could not run.
#[derive(Debug, Error)]
pub enum ReplicaProgramError {
    /// The replica itself.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// Its loop.
    #[error("the event loop: {0}")]
    Loop(#[from] calloop::Error),
}

/// Names what was tried, for an error of the system.
pub fn io(what: &'static str) -> impl Fn(io::Error) -> ProofError {
    move |why| ProofError::Io { what, why }
}

/// How a promise was broken.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum BreakCause {
    /// A host was asked for a copy that may be from before the purge, though the purge was called in force.
    #[error(
        "dispatcher d{dispatcher} accepted a copy from {before_purge_ms:.0} ms before the purge, {in_force_ms:.0} ms after it was called in force"
    )]
    OldCopyAccepted {
        /// Which dispatcher.
        dispatcher: usize,
        /// How much older than the purge a copy may be; infinite where no age was told.
        before_purge_ms: f64,
        /// For how long the purge had been called in force.
        in_force_ms: f64,
    },
    /// A dispatcher was frozen since before the purge and its lease was not over.
    #[error(
        "replica {replica} called it in force while dispatcher {dispatcher} was frozen and had its lease"
    )]
    InForceWhileFrozen {
        /// Who called it so.
        replica: String,
        /// Who could not have applied it.
        dispatcher: String,
    },
    /// In force later than promised, or not yet.
    #[error("not in force within {bound:?}{}; it waited last for: {waited_for}", took(*.took_ms))]
    TooLate {
        /// When it was, in ms since it was published.
        took_ms: Option<f64>,
        /// The promise.
        bound: Duration,
        /// Dispatchers and replicas that were named as outstanding last.
        waited_for: String,
    },
    /// A frozen dispatcher was not named.
    #[error("no replica named the frozen dispatcher {0} as outstanding")]
    NotNamed(String),
    /// A host's new address was not used in time.
    #[error("dispatcher d{dispatcher} has not used the new address of the host within {bound:?}")]
    ChangeTooLate {
        /// Which dispatcher.
        dispatcher: usize,
        /// The promise.
        bound: Duration,
    },
    /// A host line that is older than the one in force was not refused by the error for that.
    #[error("an older line of a host was not refused as older: {0}")]
    OlderTaken(String),
    /// Nothing was seen that could have shown a break.
    #[error("no forward came that could be judged")]
    NothingJudged,
}

fn took(ms: Option<f64>) -> String {
    ms.map_or(String::new(), |ms| format!(", but after {ms:.0} ms"))
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// When, in Unix ms.
    pub at_ms: f64,
    /// The case that ran.
    pub case: &'static str,
    /// The object that was purged, if it is about one.
    pub object: Option<u64>,
    /// How.
    pub cause: BreakCause,
}
