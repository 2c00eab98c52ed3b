//! The listening socket.

use super::{EventLoopHandle, ReadinessHandler, ResourceUsage, register_socket};
use calloop::{Interest, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that the system keeps ready; a restart brings all clients at once.
const BACKLOG: i32 = 1024;

/// A listening socket, closed on drop. Connections that still wait in its backlog are reset.
pub struct Listener<O: ReadinessHandler> {
    hub: EventLoopHandle<O>,
    registration: RegistrationToken,
    accounts: Rc<ResourceUsage>,
    socket: Rc<TcpListener>,
}

impl<O: ReadinessHandler> Listener<O> {
    /// Binds and listens, also on an address that a process which has just ended was using.
    pub fn bind(
        hub: &EventLoopHandle<O>,
        at: SocketAddr,
        key: O::Key,
        accounts: &Rc<ResourceUsage>,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let registration = register_socket(hub, &socket, Interest::READ, key)?;
        accounts.descriptors.add(1);
        Ok(Self { hub: hub.clone(), registration, accounts: Rc::clone(accounts), socket })
    }

    /// The bound address. The operating system chooses the port if none was given.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next pending connection, if any.
    pub fn accept(&self) -> io::Result<Option<TcpStream>> {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => return Ok(Some(stream)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => return Err(e),
            }
        }
    }
}

impl<O: ReadinessHandler> Drop for Listener<O> {
    fn drop(&mut self) {
        self.hub.remove(self.registration);
        self.accounts.descriptors.subtract(1);
    }
}
