//! One connection: a socket that never blocks, what came in and was not yet read by a parser, and what waits to go
//! out. Its callback in the loop only tells the owner that it is ready.

use super::{Accounts, Hub, Owner, watch};
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

/// What a read came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Reading {
    /// All that had come was read.
    Dry,
    /// More may be there.
    More,
    /// The other side has closed or broken the connection.
    Ended,
}

pub struct Connection<O: Owner> {
    hub: Hub<O>,
    stream: Rc<TcpStream>,
    registration: RegistrationToken,
    accounts: Rc<Accounts>,
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

impl<O: Owner> Connection<O> {
    pub fn accepted(
        hub: &Hub<O>,
        stream: TcpStream,
        key: O::Key,
        accounts: &Rc<Accounts>,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Self::register(hub, stream, key, accounts, true)
    }

    /// Starts to connect; `is_up` tells when it has come about.
    pub fn opening(hub: &Hub<O>, to: SocketAddr, key: O::Key, accounts: &Rc<Accounts>) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(IN_PROGRESS) && e.kind() != ErrorKind::WouldBlock => Err(e),
            _ => Self::register(hub, socket.into(), key, accounts, false),
        }
    }

    fn register(
        hub: &Hub<O>,
        stream: TcpStream,
        key: O::Key,
        accounts: &Rc<Accounts>,
        up: bool,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let registration = watch(hub, &stream, Interest::BOTH, key)?;
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

    /// Whether the connection has come about; an error tells that it never will.
    pub fn is_up(&mut self) -> io::Result<bool> {
        if !self.up {
            if let Some(e) = self.stream.take_error()? {
                return Err(e);
            }
            self.up = self.stream.peer_addr().is_ok();
        }
        Ok(self.up)
    }

    /// Reads what has come, by way of a buffer that all connections share; not much over `most` bytes in one turn, so
    /// that one that is never dry can't keep the others waiting.
    pub fn read(&mut self, shared: &mut [u8], most: usize) -> Reading {
        let Self { stream, inbound, accounts, .. } = self;
        receive(stream, shared, most, |bytes| {
            inbound.extend_from_slice(bytes);
            accounts.buffered.add(bytes.len());
            accounts.bytes_in.add(bytes.len());
        })
    }

    /// Lets a parser take from what came in; what it took is no longer counted as held here.
    pub fn parse<T>(&mut self, parser: impl FnOnce(&mut BytesMut) -> T) -> T {
        let before = self.inbound.len();
        let parsed = parser(&mut self.inbound);
        self.accounts.buffered.take(before - self.inbound.len());
        if self.inbound.is_empty() && self.inbound.capacity() > KEPT {
            // A large message is over; what is left of its buffer would stay with an idle connection.
            self.inbound = BytesMut::new();
        }
        parsed
    }

    /// Hands a message over to go out; its number, by which it can be asked for and taken back.
    pub fn push(&mut self, bytes: Bytes) -> u64 {
        let number = self.messages;
        if !bytes.is_empty() {
            self.messages += 1;
            self.waiting += bytes.len();
            self.accounts.buffered.add(bytes.len());
            self.outbound.push_back((number, bytes));
        }
        number
    }

    /// Whether the system has taken a message whole.
    pub fn has_left(&self, number: u64) -> bool {
        self.outbound.front().is_none_or(|&(first, _)| number < first)
    }

    /// Takes a message back of which not a byte has gone out; false: a part has, and the rest follows.
    ///
    /// Guards a peer that reads nothing for a while against what was given up meanwhile and would still come whole.
    pub fn take_back(&mut self, number: u64) -> bool {
        let Some(at) = self.outbound.iter().position(|&(waiting, _)| waiting == number) else { return false };
        if at == 0 && self.begun {
            return false;
        }
        let long = self.outbound.remove(at).map_or(0, |(_, bytes)| bytes.len());
        self.waiting -= long;
        self.accounts.buffered.take(long);
        true
    }

    /// Tells the other side that nothing more will come; what it writes can still be read.
    pub fn half_close(&self) {
        // One that is broken already needs no telling.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads what has come and throws it away, as far as `read` would go.
    pub fn discard(&mut self, shared: &mut [u8], most: usize) -> Reading {
        receive(&self.stream, shared, most, |_| ())
    }

    /// Writes what the system takes; an error tells that the connection is over.
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
        self.accounts.buffered.take(n);
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

    /// Bytes handed over so far, for an owner that takes nothing back.
    pub fn pushed(&self) -> u64 {
        self.flushed + self.waiting as u64
    }

    pub fn flushed(&self) -> u64 {
        self.flushed
    }

    /// Bytes that came and were not parsed yet.
    pub fn unread(&self) -> usize {
        self.inbound.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting
    }
}

/// Hands on what has come, as far as `most` allows.
fn receive(mut stream: &TcpStream, shared: &mut [u8], most: usize, mut each: impl FnMut(&[u8])) -> Reading {
    let mut read = 0;
    while read < most {
        match stream.read(shared) {
            Ok(0) => return Reading::Ended,
            Ok(n) => {
                read += n;
                each(&shared[..n]);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Reading::Dry,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Reading::Ended,
        }
    }
    Reading::More
}

/// What Linux answers to a connect that goes on behind.
const IN_PROGRESS: i32 = 115;

impl<O: Owner> Drop for Connection<O> {
    fn drop(&mut self) {
        self.hub.remove(self.registration);
        self.accounts.buffered.take(self.inbound.len() + self.waiting());
        self.accounts.descriptors.take(1);
    }
}
