//! Bytes in and out: the loop, the listener, connections with their buffers, and the accounts of what they hold.
//! Nothing here knows what the bytes mean.

mod accounts;
mod closing;
mod connection;
mod listener;

pub use accounts::{Accounts, Gauge};
pub use closing::Closing;
pub use connection::{Connection, Reading};
pub use listener::Listener;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;

/// Where sources are added to the loop of an owner.
pub type Hub<O> = calloop::LoopHandle<'static, O>;

/// Has the owner told whenever a socket can be read or, where wanted, written.
fn watch<O: Owner, S: AsFd + 'static>(
    hub: &Hub<O>,
    socket: &Rc<S>,
    interest: Interest,
    key: O::Key,
) -> io::Result<RegistrationToken> {
    let source = Generic::new(Rc::clone(socket), interest, Mode::Edge);
    let watched = hub.insert_source(source, move |_, _, owner: &mut O| {
        owner.ready(key);
        Ok(PostAction::Continue)
    });
    watched.map_err(|e| io::Error::other(e.error))
}

/// Has connections and is told when one of them can be read or written.
pub trait Owner: Sized + 'static {
    type Key: Copy + 'static;

    fn ready(&mut self, who: Self::Key);
}
