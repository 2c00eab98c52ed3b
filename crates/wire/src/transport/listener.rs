//! The listening socket.

use super::{Accounts, Hub, Owner, watch};
use calloop::Interest;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that the system keeps ready; a restart brings all clients at once.
const BACKLOG: i32 = 1024;

pub struct Listener {
    socket: Rc<TcpListener>,
}

impl Listener {
    /// Listens at once, also where a process that has just ended did.
    pub fn open<O: Owner>(
        hub: &Hub<O>,
        at: SocketAddr,
        key: O::Key,
        accounts: &Accounts,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let socket = Rc::new(TcpListener::from(socket));
        watch(hub, &socket, Interest::READ, key)?;
        accounts.descriptors.add(1);
        Ok(Self { socket })
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
