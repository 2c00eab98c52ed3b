//! Recovery after a start or a loss of state.
//!
//! A dispatcher that has just started has no information about the load on origins or about purges that it missed. This
//! crate limits the requests that it sends and the copies that it accepts, so that hundreds of dispatchers starting
//! together overload no host and return no stale copy. The crate does no I/O and reads no clock: callers pass in the time
//! and the events, and act on the results.

pub mod arrival_check;
pub mod bits;
pub mod fill_limiter;
pub mod latency_estimator;
pub mod retry_budget;
pub mod slow_start;
pub mod slow_start_check;
pub mod staleness_decay;
pub mod startup_timeline;
pub mod time_range;
pub mod work_estimate;

pub use arrival_check::{ArrivalCheck, Excess, LeastWork, SlowStartTerms};
pub use fill_limiter::{FillLimiter, FillOutcome};
pub use latency_estimator::LatencyEstimator;
pub use retry_budget::RetryBudget;
pub use slow_start::{ColdSince, SlowStart, WorkShare};
pub use slow_start_check::SlowStartCheck;
pub use staleness_decay::StalenessDecay;
pub use startup_timeline::{LossCause, Milestones, StartupTimeline};
pub use time_range::TimeRange;
pub use work_estimate::WorkEstimate;
