//! Polls of the change log as its stand-ins read and answer them.

use std::time::Duration;

/// A poll.
pub struct Poll {
    /// The last sequence number that the dispatcher has.
    pub since: usize,
    /// How long the answer may be held back while there are no later events.
    pub wait: Duration,
}

impl Poll {
    /// Parses the head of a poll's request.
    pub fn parse(head: &str) -> Self {
        let number_after = |name: &str| {
            let digits = head.split(name).nth(1).unwrap_or_default();
            let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().unwrap_or(0)
        };
        Self { since: number_after("since=") as usize, wait: Duration::from_millis(number_after("timeout=")) }
    }
}

/// The whole answer to a poll, with this body.
pub fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
