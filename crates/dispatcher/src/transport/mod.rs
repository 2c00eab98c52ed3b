//! Bytes in and out: the loop, the listener, connections with their buffers, and the accounts of what they hold.
//! Nothing here knows what the bytes mean.

mod accounts;
mod connection;
mod listener;

pub use accounts::{Accounts, Gauge};
pub use connection::{Connection, Reading};
pub use listener::Listener;

/// Where sources are added to the loop of an owner.
pub type Hub<O> = calloop::LoopHandle<'static, O>;

/// Has connections and is told when one of them can be read or written.
pub trait Owner: Sized + 'static {
    type Key: Copy + 'static;

    fn stirred(&mut self, who: Self::Key);
}
