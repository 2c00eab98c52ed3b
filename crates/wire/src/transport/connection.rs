//! One connection: a non-blocking socket, the bytes that were read but not parsed yet, and the messages that wait to be
//! written. Its event loop callback only notifies the handler that the socket is ready.

use super::inbound::Inbound;
use super::{EventLoopHandle, ReadinessHandler, ResourceUsage, register_socket};
use bytes::{Bytes, BytesMut};
use calloop::{Interest, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Messages passed to the operating system in one vectored write.
const MAX_WRITE_SLICES: usize = 32;
/// Memory that a queued message takes beside its bytes: its entry in a queue that may be half empty, and the header and
/// reference count of its allocation.
const MESSAGE_OVERHEAD_BYTES: usize = 128;

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
    event_loop: EventLoopHandle<O>,
    stream: Rc<TcpStream>,
    registration: RegistrationToken,
    resource_usage: Rc<ResourceUsage>,
    inbound: Inbound,
    /// Messages that wait to be written, each with its number. The first may be partly written already.
    outbound: VecDeque<(u64, Bytes)>,
    /// Total messages queued so far, which is the number of the next message.
    enqueued_messages: u64,
    /// The first message in `outbound` is partly written.
    is_first_partly_written: bool,
    /// Bytes that wait in `outbound`.
    unsent_bytes: usize,
    /// Messages before this number that wait in `outbound` share their memory with nothing else.
    unshared_before: u64,
    /// Total bytes accepted by the operating system.
    written_bytes: u64,
    is_established: bool,
}

impl<O: ReadinessHandler> Connection<O> {
    /// Registers an accepted connection.
    pub fn from_accepted(
        event_loop: &EventLoopHandle<O>,
        stream: TcpStream,
        key: O::Key,
        resource_usage: &Rc<ResourceUsage>,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Self::register(event_loop, stream, key, resource_usage, true)
    }

    /// Starts to connect; [`Connection::is_connected`] returns whether it has succeeded.
    pub fn connect(
        event_loop: &EventLoopHandle<O>,
        address: SocketAddr,
        key: O::Key,
        resource_usage: &Rc<ResourceUsage>,
    ) -> io::Result<Self> {
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        match socket.connect(&address.into()) {
            Err(error)
                if error.raw_os_error() != Some(IN_PROGRESS) && error.kind() != ErrorKind::WouldBlock =>
            {
                Err(error)
            }
            _ => Self::register(event_loop, socket.into(), key, resource_usage, false),
        }
    }

    fn register(
        event_loop: &EventLoopHandle<O>,
        stream: TcpStream,
        key: O::Key,
        resource_usage: &Rc<ResourceUsage>,
        is_established: bool,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let registration = register_socket(event_loop, &stream, Interest::BOTH, key)?;
        resource_usage.descriptors.add(1);
        Ok(Self {
            event_loop: event_loop.clone(),
            stream,
            registration,
            resource_usage: Rc::clone(resource_usage),
            inbound: Inbound::default(),
            outbound: VecDeque::new(),
            enqueued_messages: 0,
            is_first_partly_written: false,
            unsent_bytes: 0,
            unshared_before: 0,
            written_bytes: 0,
            is_established,
        })
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    /// The connection attempt has failed.
    pub fn is_connected(&mut self) -> io::Result<bool> {
        if !self.is_established {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            self.is_established = self.stream.peer_addr().is_ok();
        }
        Ok(self.is_established)
    }

    /// Reads the available bytes through a buffer that all connections share. Stops soon after `max_bytes` bytes, so
    /// that a connection that always has more to read can't starve the others. Where room is reserved for a message, it
    /// stops at the end of that message.
    pub fn read(&mut self, read_buffer: &mut [u8], max_bytes: usize) -> ReadOutcome {
        let Self { stream, inbound, resource_usage, .. } = self;
        let reserved_bytes = inbound.reserved_bytes();
        let limits = ReadLimits {
            stop_after: max_bytes,
            at_most: if reserved_bytes > 0 { reserved_bytes } else { usize::MAX },
        };
        receive(stream, read_buffer, &limits, |bytes| {
            inbound.extend(bytes, &resource_usage.buffered_bytes);
            resource_usage.bytes_in.add(bytes.len());
        })
    }

    /// Applies a parser to the bytes that were read.
    pub fn parse<T>(&mut self, parser: impl FnOnce(&mut BytesMut) -> T) -> T {
        self.inbound.parse(parser, &self.resource_usage.buffered_bytes)
    }

    /// The bytes that were read but not parsed yet.
    pub fn unparsed(&self) -> &[u8] {
        self.inbound.bytes()
    }

    /// Takes the first `length` unparsed bytes, which are a message, in memory that holds nothing else.
    pub fn take_message(&mut self, length: usize) -> Bytes {
        self.inbound.take_message(length, &self.resource_usage.buffered_bytes)
    }

    /// Reserves exactly the room for the message of this length that the unparsed bytes are a part of. What follows it is
    /// read after it was taken. Has no effect where room is reserved already.
    pub fn reserve_message(&mut self, length: usize) {
        self.inbound.reserve_message(length, &self.resource_usage.buffered_bytes);
    }

    /// Whether room is reserved for the rest of a message, so that reading it takes no further memory.
    pub fn has_room_reserved(&self) -> bool {
        self.inbound.reserved_bytes() > 0
    }

    /// Queues a message to be written and returns its number, for [`Connection::is_written`] and
    /// [`Connection::cancel_unsent`].
    pub fn enqueue(&mut self, bytes: Bytes) -> u64 {
        let number = self.enqueued_messages;
        if !bytes.is_empty() {
            self.enqueued_messages += 1;
            self.unsent_bytes += bytes.len();
            self.resource_usage.buffered_bytes.add(bytes.len() + MESSAGE_OVERHEAD_BYTES);
            self.outbound.push_back((number, bytes));
        }
        number
    }

    /// The number that the next queued message gets.
    pub fn next_message_number(&self) -> u64 {
        self.enqueued_messages
    }

    /// Whether a message was completely handed to the operating system.
    pub fn is_written(&self, number: u64) -> bool {
        self.outbound.front().is_none_or(|&(first, _)| number < first)
    }

    /// Removes a message from the queue if none of its bytes were written. Returns false if it is partly written, in
    /// which case the rest follows, or if the message is no longer queued.
    ///
    /// Without this, a peer that reads nothing for a while would still receive requests that were abandoned meanwhile.
    pub fn cancel_unsent(&mut self, number: u64) -> bool {
        let Some(index) = self.outbound.iter().position(|&(queued, _)| queued == number) else {
            return false;
        };
        if index == 0 && self.is_first_partly_written {
            return false;
        }
        let length = self.outbound.remove(index).map_or(0, |(_, bytes)| bytes.len());
        self.unsent_bytes -= length;
        self.resource_usage.buffered_bytes.subtract(length + MESSAGE_OVERHEAD_BYTES);
        true
    }

    /// Shuts down the write side. What the peer sends can still be read.
    pub fn half_close(&self) {
        // A failed connection needs no shutdown, so the error is ignored.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads and discards the available bytes, up to the same limit as [`Connection::read`].
    pub fn discard(&mut self, read_buffer: &mut [u8], max_bytes: usize) -> ReadOutcome {
        receive(&self.stream, read_buffer, &ReadLimits { stop_after: max_bytes, at_most: usize::MAX }, |_| ())
    }

    /// Whether the peer has closed the connection or its write side, also while bytes from before that are unread.
    pub fn has_peer_closed(&self) -> bool {
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&*self.stream, ends)];
        let has_events = poll(&mut polled, Some(&Timespec::default())).is_ok_and(|count| count > 0);
        has_events && polled[0].revents().intersects(ends)
    }

    /// Writes as many queued bytes as the operating system accepts.
    ///
    /// # Errors
    /// The connection has failed.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.outbound.is_empty() {
            let mut slices = [IoSlice::new(&[]); MAX_WRITE_SLICES];
            for (slice, (_, bytes)) in slices.iter_mut().zip(&self.outbound) {
                *slice = IoSlice::new(bytes);
            }
            let slices = &slices[..self.outbound.len().min(MAX_WRITE_SLICES)];
            match (&*self.stream).write_vectored(slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.on_written(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.unshare_unsent();
                    break;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Copies the queued messages, once each. A message may be a small part of a large buffer, which would stay allocated
    /// for as long as the peer does not read.
    fn unshare_unsent(&mut self) {
        let shared = self.outbound.iter_mut().filter(|(number, _)| *number >= self.unshared_before);
        for (_, bytes) in shared {
            *bytes = Bytes::copy_from_slice(bytes);
        }
        self.unshared_before = self.enqueued_messages;
    }

    fn on_written(&mut self, mut count: usize) {
        self.written_bytes += count as u64;
        self.unsent_bytes -= count;
        self.resource_usage.buffered_bytes.subtract(count);
        self.resource_usage.bytes_out.add(count);
        while let Some((_, first)) = self.outbound.front_mut().filter(|_| count > 0) {
            let written = count.min(first.len());
            count -= written;
            self.is_first_partly_written = written < first.len();
            if self.is_first_partly_written {
                let _ = first.split_to(written);
            } else {
                self.outbound.pop_front();
                self.resource_usage.buffered_bytes.subtract(MESSAGE_OVERHEAD_BYTES);
            }
        }
    }

    /// Total bytes handed to the operating system.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Bytes that were read but not parsed yet.
    pub fn unparsed_bytes(&self) -> usize {
        self.inbound.bytes().len()
    }

    /// Queued bytes that were not written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes
    }

    /// Memory of the queued messages.
    pub fn unsent_memory_bytes(&self) -> usize {
        self.unsent_bytes + self.outbound.len() * MESSAGE_OVERHEAD_BYTES
    }
}

/// Limits of the bytes that are received at once.
struct ReadLimits {
    /// No further read is begun after this many bytes.
    stop_after: usize,
    at_most: usize,
}

/// Passes the available bytes to `on_bytes`, up to the limits.
fn receive(
    mut stream: &TcpStream,
    read_buffer: &mut [u8],
    limits: &ReadLimits,
    mut on_bytes: impl FnMut(&[u8]),
) -> ReadOutcome {
    let mut total = 0;
    while total < limits.stop_after.min(limits.at_most) {
        let piece_bytes = read_buffer.len().min(limits.at_most - total);
        match stream.read(&mut read_buffer[..piece_bytes]) {
            Ok(0) => return ReadOutcome::Closed,
            Ok(count) => {
                total += count;
                on_bytes(&read_buffer[..count]);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Drained,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadOutcome::Closed,
        }
    }
    ReadOutcome::More
}

/// `EINPROGRESS` on Linux: a non-blocking connect continues in the background.
const IN_PROGRESS: i32 = 115;

impl<O: ReadinessHandler> Drop for Connection<O> {
    fn drop(&mut self) {
        self.event_loop.remove(self.registration);
        self.inbound.clear(&self.resource_usage.buffered_bytes);
        self.resource_usage.buffered_bytes.subtract(self.unsent_memory_bytes());
        self.resource_usage.descriptors.subtract(1);
    }
}
