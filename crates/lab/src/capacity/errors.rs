//! Why a capacity run can't be played.

use super::limits::LimitError;

#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    #[error(transparent)]
    Limit(#[from] LimitError),
    #[error("{program} does not start: {why}; look whether the program may start processes")]
    Start { program: &'static str, why: String },
    #[error("{program} ended or broke off: {why}; its own words stand above")]
    Child { program: &'static str, why: String },
    #[error("the settings of the run can't be used: {0}")]
    Settings(String),
    #[error("the machine can't be read: {0}")]
    Machine(String),
    #[error("{what} within {seconds} s: {done} of {all}; run fewer dispatchers, or on an idle machine")]
    TooLate { what: &'static str, seconds: u64, done: usize, all: usize },
}
