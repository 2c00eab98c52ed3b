//! The bytes of a connection that were read and not parsed yet. Their memory is counted as it is allocated: a buffer that
//! holds a few bytes counts with all of its size.

use super::Gauge;
use bytes::{Buf, Bytes, BytesMut};

/// A message is taken with its buffer if what the buffer holds beside it is at most this fraction of it.
const MAX_SPARE_FRACTION: f64 = 0.1;
/// A buffer of which less than this fraction is in use is replaced by a smaller one.
const MIN_USED_FRACTION: f64 = 0.25;
/// Smaller buffers are not replaced while they hold anything.
const MIN_REPLACED_BYTES: usize = 4 * 1024;

/// Bytes that were read and not parsed yet.
#[derive(Default)]
pub struct Inbound {
    buffer: BytesMut,
    /// Size of the buffer's allocation, which the account counts.
    allocated_bytes: usize,
    /// The start of the allocation holds bytes that were consumed.
    has_consumed_prefix: bool,
    /// Length of the incomplete message for which the buffer was allocated.
    message_bytes: Option<usize>,
}

impl Inbound {
    pub fn bytes(&self) -> &[u8] {
        &self.buffer
    }

    /// Bytes that the message for which room was reserved still lacks.
    pub fn reserved_bytes(&self) -> usize {
        self.message_bytes.map_or(0, |length| length.saturating_sub(self.buffer.len()))
    }

    /// Appends bytes that were read.
    pub fn extend(&mut self, bytes: &[u8], account: &Gauge) {
        self.buffer.extend_from_slice(bytes);
        self.set_allocated(self.allocated_bytes.max(self.buffer.capacity()), account);
    }

    /// Applies a parser, which may consume bytes from the start.
    pub fn parse<T>(&mut self, parser: impl FnOnce(&mut BytesMut) -> T, account: &Gauge) -> T {
        let length_before = self.buffer.len();
        let parsed = parser(&mut self.buffer);
        if self.buffer.len() < length_before {
            self.on_consumed(account);
        }
        parsed
    }

    /// Takes the first `length` bytes. They keep their buffer if it holds hardly anything else.
    pub fn take_message(&mut self, length: usize, account: &Gauge) -> Bytes {
        let spare_bytes = self.allocated_bytes.saturating_sub(length);
        let is_alone = self.buffer.len() == length && !self.has_consumed_prefix;
        if is_alone && spare_bytes as f64 <= length as f64 * MAX_SPARE_FRACTION {
            let message = std::mem::take(&mut self.buffer).freeze();
            self.clear(account);
            return message;
        }
        let message = Bytes::copy_from_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        self.on_consumed(account);
        message
    }

    /// Moves the start of an incomplete message to a buffer of the message's size.
    pub fn reserve_message(&mut self, length: usize, account: &Gauge) {
        if self.message_bytes.is_none() {
            self.replace_buffer(length, account);
            self.message_bytes = Some(length);
        }
    }

    /// Releases the buffer.
    pub fn clear(&mut self, account: &Gauge) {
        account.subtract(self.allocated_bytes);
        *self = Self::default();
    }

    fn on_consumed(&mut self, account: &Gauge) {
        if self.buffer.is_empty() {
            return self.clear(account);
        }
        self.has_consumed_prefix = true;
        self.message_bytes = None;
        let used_bytes = self.buffer.len();
        let is_mostly_unused = (used_bytes as f64) < self.allocated_bytes as f64 * MIN_USED_FRACTION;
        if is_mostly_unused && self.allocated_bytes >= MIN_REPLACED_BYTES {
            self.replace_buffer(used_bytes, account);
        }
    }

    /// Moves the bytes to a buffer with room for `capacity` bytes.
    fn replace_buffer(&mut self, capacity: usize, account: &Gauge) {
        let mut buffer = BytesMut::with_capacity(capacity);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        self.has_consumed_prefix = false;
        self.set_allocated(self.buffer.capacity(), account);
    }

    fn set_allocated(&mut self, allocated_bytes: usize, account: &Gauge) {
        account.subtract(self.allocated_bytes);
        account.add(allocated_bytes);
        self.allocated_bytes = allocated_bytes;
    }
}
