//! Sources that wait to be read, each at most once.

use super::EventSource;
use std::collections::{HashSet, VecDeque};

/// The sources that the event loop reported as ready and those with unread data, in the order in which they came.
///
/// A source that is reported again while it waits keeps its place. Otherwise a client that writes without a pause would
/// wait several times, and be read once for each.
#[derive(Default)]
pub struct ReadyQueue {
    order: VecDeque<EventSource>,
    queued: HashSet<EventSource>,
}

impl ReadyQueue {
    /// Adds a source unless it waits already.
    pub fn push(&mut self, source: EventSource) {
        if self.queued.insert(source) {
            self.order.push_back(source);
        }
    }

    /// Removes and returns the source that has waited for longest.
    pub fn pop(&mut self) -> Option<EventSource> {
        let source = self.order.pop_front()?;
        self.queued.remove(&source);
        Some(source)
    }

    /// Number of waiting sources.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// The waiting sources, in their order.
    pub fn iter(&self) -> impl Iterator<Item = &EventSource> {
        self.order.iter()
    }
}
