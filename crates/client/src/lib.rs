//! The client library of the dispatcher, for the front servers of member stores and for tablets.
//!
//! One budget covers a whole call with all its attempts. Attempts after the first are marked as such. A GET that may have
//! had an effect is never sent again; its caller gets that outcome. A refusal holds back all calls to that dispatcher.
//! Reconnects of many clients are spread over time.
//!
//! `decide` makes all decisions, without I/O. `client` runs it on a calloop event loop; `handle` is a blocking handle.
//!
//! Budgets and pauses are `Duration`s. A call returns no error: each failure is an outcome. This example runs without a
//! dispatcher:
//!
//! ```
//! use myrtlegauge_client::{Dispatcher, Effect, Get, Handle, Outcome, Service, ShedReason};
//! use std::time::Duration;
//!
//! let confirm = Service { name: "delivery-confirm".into(), effect: Effect::NonIdempotent };
//! let dispatcher = Dispatcher { address: "127.0.0.1:1".parse().unwrap(), group: 0, sharers: 40 };
//! let handle = Handle::start(vec![confirm], vec![dispatcher], 1).unwrap();
//! let get = Get {
//!     service: 0,
//!     budget: Duration::from_millis(300),
//!     object: 0x7f3a_9c21_e0b4_d655,
//!     chunk: 0,
//!     group: 17,
//!     held_version: Default::default(),
//!     body: Default::default(),
//! };
//! match handle.get(get) {
//!     Outcome::Returned(answer) => println!("{} bytes", answer.body.len()),
//!     Outcome::MayHaveRun => println!("check whether the delivery is confirmed before retrying"),
//!     Outcome::Shed { reason, retry_after } => {
//!         assert_eq!(reason, ShedReason::NoDispatcher);
//!         println!("not done; retry after {retry_after:?}");
//!     }
//!     Outcome::Errored | Outcome::OutOfTime => println!("not done"),
//! }
//! ```

mod client;
pub mod decide;
mod dispatcher_state;
mod handle;
mod terms;

pub use client::{Client, Ticket};
pub use handle::{Handle, PendingCall};
pub use terms::*;
