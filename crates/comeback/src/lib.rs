//! Coming back: what a dispatcher that has just started, or has lost what it knew, may ask for and may believe, so that
//! hundreds that start together push nothing over and return nothing stale. A core without I/O and without a clock of its
//! own: time and events come in, what may be done comes out. The decision module asks it; it sends nothing itself.

pub mod again;
pub mod bits;
pub mod budget;
pub mod ease;
pub mod pace;
pub mod record;
pub mod times;

pub use again::Again;
pub use budget::Budget;
pub use ease::Ease;
pub use pace::{Filled, Pace};
pub use record::{HELD, Held, Record};
pub use times::Times;
