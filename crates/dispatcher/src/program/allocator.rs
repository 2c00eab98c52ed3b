//! Settings of the system's allocator.

use crate::routing::account_bytes;
use std::hint::black_box;

/// Has the C library's allocator keep the memory of messages for the next ones, up to what the account of buffers and
/// requests may hold.
///
/// The allocator maps and unmaps blocks over a threshold one by one, and returns what is free at the end of its heap over
/// twice that threshold to the system. Either costs a page fault for each page of each message. It raises the threshold to
/// the size of the largest mapped block that was freed.
pub fn keep_memory_of_messages(memory_bytes: usize) {
    let threshold_bytes = account_bytes(memory_bytes) / 2;
    drop(black_box(Vec::<u8>::with_capacity(threshold_bytes)));
}
