//! The client library of the dispatcher: member stores' front servers and tablets link it in.
//!
//! One budget for a whole call, over all its tries; tries after the first are marked; what may have had an effect is
//! never sent again, and the caller is told so; refusals are honoured for the whole dispatcher; reconnects are spread.
//!
//! `decide` has all decisions, without I/O; `client` drives it on a calloop loop, `handle` is a blocking handle.
//!
//! Budgets and pauses are `Duration`s. No call errs: what goes wrong is an outcome. This runs, with no dispatcher there:
//!
//! ```
//! use myrtlegauge_client::{Effect, Get, Handle, Outcome, Place, Service, Shed};
//! use std::time::Duration;
//!
//! let confirm = Service { name: "delivery-confirm".into(), effect: Effect::NonIdempotent };
//! let place = Place { address: "127.0.0.1:1".parse().unwrap(), group: 0, sharers: 40 };
//! let handle = Handle::start(vec![confirm], vec![place], 1).unwrap();
//! let get = Get {
//!     service: 0,
//!     budget: Duration::from_millis(300),
//!     object: 0x7f3a_9c21_e0b4_d655,
//!     part: 0,
//!     group: 17,
//!     held: Default::default(),
//!     body: Default::default(),
//! };
//! match handle.get(get) {
//!     Outcome::Returned(answer) => println!("{} bytes", answer.body.len()),
//!     Outcome::MayHaveRun => println!("look whether the delivery is confirmed before asking again"),
//!     Outcome::Shed { why, retry_after } => {
//!         assert_eq!(why, Shed::NoDispatcher);
//!         println!("not done; again in {retry_after:?}");
//!     }
//!     Outcome::Errored | Outcome::OutOfTime => println!("not done"),
//! }
//! ```

mod client;
pub mod decide;
mod handle;
mod terms;

pub use client::{Client, Ticket};
pub use handle::{Handle, Pending};
pub use terms::*;
