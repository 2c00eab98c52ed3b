//! Recovery after a start or a loss of state.
//!
//! A dispatcher that has just started knows nothing of the load on origins and of missed purges. This crate limits what it
//! sends and which copies it accepts, so that hundreds of dispatchers that start together overload no host and return no
//! stale copy. It does no I/O and reads no clock: callers pass in the time and the events, and act on the results.

pub mod bits;
pub mod fill_limiter;
pub mod latency_estimator;
pub mod retry_budget;
pub mod slow_start;
pub mod slow_start_check;
pub mod staleness_decay;
pub mod startup_timeline;

pub use fill_limiter::{FillLimiter, FillOutcome};
pub use latency_estimator::LatencyEstimator;
pub use retry_budget::RetryBudget;
pub use slow_start::{ColdSince, SlowStart, WorkShare};
pub use slow_start_check::SlowStartCheck;
pub use staleness_decay::StalenessDecay;
pub use startup_timeline::{LossCause, Milestones, StartupTimeline};
