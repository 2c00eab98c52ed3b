//! Shared by the tests of the library over sockets.

use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A FastCGI record with its content.
pub fn record(kind: u8, number: u16, content: &[u8]) -> Vec<u8> {
    let (number, length) = (number.to_be_bytes(), (content.len() as u16).to_be_bytes());
    [&[1, kind, number[0], number[1], length[0], length[1], 0, 0], content].concat()
}
