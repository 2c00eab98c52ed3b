//! Which dispatchers of a fleet are alive: SWIM with the local health awareness of Lifeguard. [`Membership`] is a core
//! without I/O and without a clock of its own: time and messages go in, messages and a view come out. A driver on a calloop
//! loop ([`driver`]) connects it to sockets.
//!
//! Members probe each other in turn by datagrams, and indirectly through others where no ack arrives. Before a member is
//! declared dead, an exchange over a connection is tried. Gossip alone never removes a member: whoever declares one dead has
//! evidence of its own.
//!
//! ```
//! use myrtlegauge_membership::{Action, LocalMember, Membership, Reach};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let local = |name: &str, port: u16, generation| LocalMember {
//!     name: name.into(), address: ([127, 0, 0, 1], port).into(), fleet: "edge".into(), generation,
//! };
//! let mut a = Membership::new(local("a", 9100, 1), vec![], 2, 7, ms(0))?;
//! let mut b = Membership::new(local("b", 9101, 1), vec![([127, 0, 0, 1], 9100).into()], 2, 8, ms(0))?;
//! assert_eq!(b.view().reach, Reach::NotMost);
//!
//! // b connects to its seed peer, and both exchange all that they know.
//! let mut actions = Vec::new();
//! b.on_timer(ms(10), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Exchange { .. })));
//! let answer = a.on_exchange(&b.exchange_message(), ms(11))?;
//! b.on_exchange_result(([127, 0, 0, 1], 9100).into(), Ok(&answer), ms(12))?;
//! assert_eq!((b.view().alive, b.view().reach), (2, Reach::Most));
//! # Ok::<(), myrtlegauge_membership::MembershipError>(())
//! ```

mod core;
pub mod driver;
mod errors;
pub mod health;
pub mod message;
mod refused_versions;
mod view;

pub use crate::core::{Action, LocalMember, Membership};
pub use errors::MembershipError;
pub use health::ExchangeFailure;
pub use message::{MemberState, MemberVersion};
pub use view::{Change, Reach, View};
