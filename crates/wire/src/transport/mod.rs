//! Non-blocking sockets on an event loop: the listener, connections with their buffers, and the accounting of the
//! resources that they hold. Nothing here interprets the bytes.

mod closing;
mod connection;
mod inbound;
mod listener;
mod resource_usage;

pub use closing::ClosingConnections;
pub use connection::{Connection, ReadOutcome};
pub use listener::Listener;
pub use resource_usage::{Gauge, ResourceUsage};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;

/// Handle of the event loop with which sockets are registered.
pub type EventLoopHandle<O> = calloop::LoopHandle<'static, O>;

/// Registers a socket with the event loop, which calls the handler when the socket can be read or, if requested,
/// written.
fn register_socket<O: ReadinessHandler, S: AsFd + 'static>(
    event_loop: &EventLoopHandle<O>,
    socket: &Rc<S>,
    interest: Interest,
    key: O::Key,
) -> io::Result<RegistrationToken> {
    let source = Generic::new(Rc::clone(socket), interest, Mode::Edge);
    let registration = event_loop.insert_source(source, move |_, _, handler: &mut O| {
        handler.on_socket_ready(key);
        Ok(PostAction::Continue)
    });
    registration.map_err(|error| io::Error::other(error.error))
}

/// Owns sockets and is called when one of them can be read or written.
pub trait ReadinessHandler: Sized + 'static {
    /// Identifies a socket of the handler.
    type Key: Copy + 'static;

    /// Called when the socket registered under `key` can be read or written.
    fn on_socket_ready(&mut self, key: Self::Key);
}
