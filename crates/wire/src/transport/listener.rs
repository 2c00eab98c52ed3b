//! The listening socket.

use super::{Accounts, Hub, Owner, watch};
use calloop::{Interest, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that the system keeps ready; a restart brings all clients at once.
const BACKLOG: i32 = 1024;

/// Closed as it is dropped; who still waits in its queue is reset.
pub struct Listener<O: Owner> {
    hub: Hub<O>,
    registration: RegistrationToken,
    accounts: Rc<Accounts>,
    socket: Rc<TcpListener>,
}

impl<O: Owner> Listener<O> {
    /// Listens at once, also where a process that has just ended did.
    pub fn open(hub: &Hub<O>, at: SocketAddr, key: O::Key, accounts: &Rc<Accounts>) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        let registration = watch(hub, &socket, Interest::READ, key)?;
        accounts.descriptors.add(1);
        Ok(Self { hub: hub.clone(), registration, accounts: Rc::clone(accounts), socket })
    }

    /// Where it listens; the port is the system's choice where none was given.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next connection that waits, if any.
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

impl<O: Owner> Drop for Listener<O> {
    fn drop(&mut self) {
        self.hub.remove(self.registration);
        self.accounts.descriptors.take(1);
    }
}
