//! Polls of the change log that are overdue. Another poll has been sent in their place, but their answers are still
//! taken, since a slow change log is not a dead connection.

use crate::poll_connection::{PollConnection, ReadAnswer};
use crate::transport::ReadinessHandler;
use std::collections::VecDeque;
use std::time::Duration;

/// Largest number of overdue polls. With the doubled answer timeout the first of them waits for its answer for longer
/// than the change log may hold one back.
pub(crate) const MAX_OVERDUE_POLLS: usize = 3;

/// An overdue poll on a connection of its own.
pub(crate) struct SentPoll<O: ReadinessHandler> {
    pub connection: PollConnection<O>,
    pub sent_at: Duration,
}

/// The overdue polls, oldest first.
pub(crate) struct OverduePolls<O: ReadinessHandler> {
    polls: VecDeque<SentPoll<O>>,
    /// When those were sent whose connections have failed since this was last taken.
    failed: Vec<Duration>,
}

impl<O: ReadinessHandler> OverduePolls<O> {
    pub fn new() -> Self {
        Self { polls: VecDeque::new(), failed: Vec::new() }
    }

    /// Adds a poll. If there are too many, the oldest one is given up that has received nothing, or else the new one:
    /// the others have received more of their answers.
    pub fn push(&mut self, poll: SentPoll<O>) {
        self.polls.push_back(poll);
        if self.polls.len() > MAX_OVERDUE_POLLS {
            let silent = self.polls.iter().position(|poll| !poll.connection.has_begun_answer());
            self.polls.remove(silent.unwrap_or(MAX_OVERDUE_POLLS));
        }
    }

    pub fn clear(&mut self) {
        self.polls.clear();
    }

    /// Reads and writes as much as possible, up to a limit for each poll. Returns whether there may be more to read.
    pub fn on_ready(&mut self, read_buffer: &mut [u8], max_bytes: usize) -> bool {
        let mut has_more = false;
        for poll in &mut self.polls {
            has_more |= poll.connection.on_ready(read_buffer, max_bytes);
        }
        has_more
    }

    /// The next part of an answer, with the index of its poll. Polls that have failed are given up.
    pub fn next_part<T>(&mut self, read: ReadAnswer<T>) -> Option<(usize, T)> {
        let mut index = 0;
        while let Some(poll) = self.polls.get_mut(index) {
            match poll.connection.parse(read) {
                Ok(Some(part)) => return Some((index, part)),
                Ok(None) => index += 1,
                Err(_) => self.failed.extend(self.polls.remove(index).map(|poll| poll.sent_at)),
            }
        }
        None
    }

    /// When those polls were sent whose connections have failed since the last call.
    pub fn take_failed(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.failed)
    }

    /// Removes and returns a poll.
    pub fn remove(&mut self, index: usize) -> Option<SentPoll<O>> {
        self.polls.remove(index)
    }
}
