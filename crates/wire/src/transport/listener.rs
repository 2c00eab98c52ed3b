//! The listening socket.

use super::{EventLoopHandle, ReadinessHandler, ResourceUsage, register_socket};
use calloop::{Interest, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that the operating system queues until they are accepted. After a restart all clients connect at once.
const BACKLOG_CONNECTIONS: i32 = 1024;

/// A listening socket, closed on drop. Connections that still wait in its backlog are reset.
pub struct Listener<O: ReadinessHandler> {
    event_loop: EventLoopHandle<O>,
    registration: RegistrationToken,
    resource_usage: Rc<ResourceUsage>,
    socket: Rc<TcpListener>,
}

impl<O: ReadinessHandler> Listener<O> {
    /// Binds and listens, also on an address that was used by a process that has just ended.
    pub fn bind(
        event_loop: &EventLoopHandle<O>,
        address: SocketAddr,
        key: O::Key,
        resource_usage: &Rc<ResourceUsage>,
    ) -> io::Result<Self> {
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG_CONNECTIONS)?;
        let socket = Rc::new(TcpListener::from(socket));
        let registration = register_socket(event_loop, &socket, Interest::READ, key)?;
        resource_usage.descriptors.add(1);
        Ok(Self {
            event_loop: event_loop.clone(),
            registration,
            resource_usage: Rc::clone(resource_usage),
            socket,
        })
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
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => return Err(error),
            }
        }
    }
}

impl<O: ReadinessHandler> Drop for Listener<O> {
    fn drop(&mut self) {
        self.event_loop.remove(self.registration);
        self.resource_usage.descriptors.subtract(1);
    }
}
