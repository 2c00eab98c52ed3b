//! Polls of the change log that are overdue. Another poll has been sent in their place, but their answers are still
//! taken, since a slow change log is not a dead connection.

use crate::transport::{Connection, ReadOutcome, ReadinessHandler};
use std::collections::VecDeque;
use std::time::Duration;

/// Largest number of overdue polls. With the doubled answer timeout the first of them waits for its answer for longer
/// than the change log may hold one back.
pub(crate) const MAX_OVERDUE_POLLS: usize = 3;

/// A poll on a connection of its own.
pub(crate) struct SentPoll<O: ReadinessHandler> {
    pub connection: Connection<O>,
    pub sent_at: Duration,
    /// The peer has closed the connection. The bytes received before may still be a complete answer.
    pub is_peer_closed: bool,
}

/// The overdue polls, oldest first.
pub(crate) struct OverduePolls<O: ReadinessHandler> {
    polls: VecDeque<SentPoll<O>>,
}

impl<O: ReadinessHandler> OverduePolls<O> {
    pub fn new() -> Self {
        Self { polls: VecDeque::new() }
    }

    /// Adds a poll. The oldest one is given up if there are too many.
    pub fn push(&mut self, poll: SentPoll<O>) {
        if self.polls.len() == MAX_OVERDUE_POLLS {
            self.polls.pop_front();
        }
        self.polls.push_back(poll);
    }

    pub fn clear(&mut self) {
        self.polls.clear();
    }

    /// Reads and writes as much as possible, up to a limit for each poll. Returns whether there may be more to read.
    pub fn on_ready(&mut self, read_buffer: &mut [u8], max_bytes: usize) -> bool {
        let mut has_more = false;
        for poll in &mut self.polls {
            let outcome = match poll.connection.flush() {
                Ok(()) => poll.connection.read(read_buffer, max_bytes),
                Err(_) => ReadOutcome::Closed,
            };
            poll.is_peer_closed |= outcome == ReadOutcome::Closed;
            has_more |= outcome == ReadOutcome::More;
        }
        has_more
    }

    /// Removes and returns the oldest poll to which `parse` finds an answer, with this answer. Polls whose connections
    /// are lost or carry an invalid answer are given up.
    pub fn take_answered<T, E>(
        &mut self,
        mut parse: impl FnMut(&mut Connection<O>) -> Result<Option<T>, E>,
    ) -> Option<(SentPoll<O>, T)> {
        let mut index = 0;
        while index < self.polls.len() {
            let poll = &mut self.polls[index];
            match parse(&mut poll.connection) {
                Ok(Some(answer)) => return self.polls.remove(index).map(|poll| (poll, answer)),
                Ok(None) if !poll.is_peer_closed => index += 1,
                Ok(None) | Err(_) => _ = self.polls.remove(index),
            }
        }
        None
    }
}
