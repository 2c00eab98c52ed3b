//! One connection: a non-blocking socket, the bytes that were read but not parsed yet, and the messages that wait to be
//! written. Its event loop callback only notifies the handler that the socket is ready.

use super::{EventLoopHandle, ReadinessHandler, ResourceUsage, register_socket};
use bytes::{Bytes, BytesMut};
use calloop::{Interest, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Room for bytes to come that a connection keeps while nothing waits to be parsed.
const KEPT: usize = 4 * 1024;
/// Pieces handed to the system in one write.
const PIECES: usize = 32;

/// How a read ended.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available bytes were read.
    Drained,
    /// There may be more to read.
    More,
    /// The peer has closed the connection, or it failed.
    Closed,
}

/// A buffered, non-blocking TCP connection registered with an event loop.
pub struct Connection<O: ReadinessHandler> {
    hub: EventLoopHandle<O>,
    stream: Rc<TcpStream>,
    registration: RegistrationToken,
    accounts: Rc<ResourceUsage>,
    inbound: BytesMut,
    /// Messages that wait to go out, each with its number; of the first a part may have gone.
    outbound: VecDeque<(u64, Bytes)>,
    /// Messages ever handed over; each has the count before it as its number.
    messages: u64,
    begun: bool,
    /// Bytes that wait in `outbound`, and bytes ever taken by the system.
    waiting: usize,
    flushed: u64,
    up: bool,
}

impl<O: ReadinessHandler> Connection<O> {
    /// Registers an accepted connection.
    pub fn from_accepted(
        hub: &EventLoopHandle<O>,
        stream: TcpStream,
        key: O::Key,
        accounts: &Rc<ResourceUsage>,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Self::register(hub, stream, key, accounts, true)
    }

    /// Starts to connect; [`Connection::is_connected`] returns whether it has succeeded.
    pub fn connect(
        hub: &EventLoopHandle<O>,
        to: SocketAddr,
        key: O::Key,
        accounts: &Rc<ResourceUsage>,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(IN_PROGRESS) && e.kind() != ErrorKind::WouldBlock => Err(e),
            _ => Self::register(hub, socket.into(), key, accounts, false),
        }
    }

    fn register(
        hub: &EventLoopHandle<O>,
        stream: TcpStream,
        key: O::Key,
        accounts: &Rc<ResourceUsage>,
        up: bool,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let registration = register_socket(hub, &stream, Interest::BOTH, key)?;
        accounts.descriptors.add(1);
        Ok(Self {
            hub: hub.clone(),
            stream,
            registration,
            accounts: Rc::clone(accounts),
            inbound: BytesMut::new(),
            outbound: VecDeque::new(),
            messages: 0,
            begun: false,
            waiting: 0,
            flushed: 0,
            up,
        })
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    /// The connection attempt has failed.
    pub fn is_connected(&mut self) -> io::Result<bool> {
        if !self.up {
            if let Some(e) = self.stream.take_error()? {
                return Err(e);
            }
            self.up = self.stream.peer_addr().is_ok();
        }
        Ok(self.up)
    }

    /// Reads the available bytes through a buffer that all connections share. Stops soon after `most` bytes, so that a
    /// connection that always has more to read can't starve the others.
    pub fn read(&mut self, shared: &mut [u8], most: usize) -> ReadOutcome {
        let Self { stream, inbound, accounts, .. } = self;
        receive(stream, shared, most, |bytes| {
            inbound.extend_from_slice(bytes);
            accounts.buffered_bytes.add(bytes.len());
            accounts.bytes_in.add(bytes.len());
        })
    }

    /// Applies a parser to the bytes that were read. What it consumes is no longer counted as buffered.
    pub fn parse<T>(&mut self, parser: impl FnOnce(&mut BytesMut) -> T) -> T {
        let before = self.inbound.len();
        let parsed = parser(&mut self.inbound);
        self.accounts.buffered_bytes.subtract(before - self.inbound.len());
        if self.inbound.is_empty() && self.inbound.capacity() > KEPT {
            // A large message is over; what is left of its buffer would stay with an idle connection.
            self.inbound = BytesMut::new();
        }
        parsed
    }

    /// Queues a message to be written and returns its number, for [`Connection::is_written`] and
    /// [`Connection::cancel_unsent`].
    pub fn enqueue(&mut self, bytes: Bytes) -> u64 {
        let number = self.messages;
        if !bytes.is_empty() {
            self.messages += 1;
            self.waiting += bytes.len();
            self.accounts.buffered_bytes.add(bytes.len());
            self.outbound.push_back((number, bytes));
        }
        number
    }

    /// Whether a message was completely handed to the operating system.
    pub fn is_written(&self, number: u64) -> bool {
        self.outbound.front().is_none_or(|&(first, _)| number < first)
    }

    /// Removes a message from the queue if none of its bytes were written. Returns false if a part was written, in which
    /// case the rest follows, or if the message is no longer queued.
    ///
    /// Without this, a peer that reads nothing for a while would still receive requests that were abandoned meanwhile.
    pub fn cancel_unsent(&mut self, number: u64) -> bool {
        let Some(at) = self.outbound.iter().position(|&(waiting, _)| waiting == number) else { return false };
        if at == 0 && self.begun {
            return false;
        }
        let long = self.outbound.remove(at).map_or(0, |(_, bytes)| bytes.len());
        self.waiting -= long;
        self.accounts.buffered_bytes.subtract(long);
        true
    }

    /// Shuts down the write side. What the peer sends can still be read.
    pub fn half_close(&self) {
        // One that is broken already needs no telling.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads and discards the available bytes, up to the same limit as [`Connection::read`].
    pub fn discard(&mut self, shared: &mut [u8], most: usize) -> ReadOutcome {
        receive(&self.stream, shared, most, |_| ())
    }

    /// Writes as many queued bytes as the operating system accepts.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.outbound.is_empty() {
            let mut pieces = [IoSlice::new(&[]); PIECES];
            for (piece, (_, bytes)) in pieces.iter_mut().zip(&self.outbound) {
                *piece = IoSlice::new(bytes);
            }
            let pieces = &pieces[..self.outbound.len().min(PIECES)];
            match (&*self.stream).write_vectored(pieces) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.sent(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn sent(&mut self, mut n: usize) {
        self.flushed += n as u64;
        self.waiting -= n;
        self.accounts.buffered_bytes.subtract(n);
        self.accounts.bytes_out.add(n);
        while let Some((_, first)) = self.outbound.front_mut().filter(|_| n > 0) {
            let part = n.min(first.len());
            n -= part;
            self.begun = part < first.len();
            if self.begun {
                let _ = first.split_to(part);
            } else {
                self.outbound.pop_front();
            }
        }
    }

    /// Total bytes queued so far, for a caller that cancels no messages.
    pub fn enqueued_bytes(&self) -> u64 {
        self.flushed + self.waiting as u64
    }

    /// Total bytes handed to the operating system.
    pub fn written_bytes(&self) -> u64 {
        self.flushed
    }

    /// Bytes that were read but not parsed yet.
    pub fn unparsed_bytes(&self) -> usize {
        self.inbound.len()
    }

    /// Queued bytes that were not written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.waiting
    }
}

/// Hands on what has come, as far as `most` allows.
fn receive(
    mut stream: &TcpStream,
    shared: &mut [u8],
    most: usize,
    mut each: impl FnMut(&[u8]),
) -> ReadOutcome {
    let mut read = 0;
    while read < most {
        match stream.read(shared) {
            Ok(0) => return ReadOutcome::Closed,
            Ok(n) => {
                read += n;
                each(&shared[..n]);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::Drained,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadOutcome::Closed,
        }
    }
    ReadOutcome::More
}

/// What Linux answers to a connect that goes on behind.
const IN_PROGRESS: i32 = 115;

impl<O: ReadinessHandler> Drop for Connection<O> {
    fn drop(&mut self) {
        self.hub.remove(self.registration);
        self.accounts.buffered_bytes.subtract(self.inbound.len() + self.unsent_bytes());
        self.accounts.descriptors.subtract(1);
    }
}
