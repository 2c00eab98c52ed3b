//! What one hollow dispatcher counts of itself, read by the thread that reports.

use crate::capacity::messages::HollowCounts;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Purges in one word of the set of those taken.
const WORD: u64 = u64::BITS as u64;

/// Counts of one hollow dispatcher in one life.
#[derive(Default)]
pub struct Tally {
    pub active_hosts: AtomicUsize,
    pub last: AtomicU64,
    pub bytes_in: AtomicU64,
    pub bytes_out: AtomicU64,
    /// Polls that replicas answered.
    pub polls_answered: AtomicU64,
    pub turns: AtomicU64,
    purges: Mutex<Purges>,
}

#[derive(Default)]
struct Purges {
    /// One bit for each purge by its name, the first in the lowest bit of the first word.
    taken: Vec<u64>,
    /// Microseconds from published to in force since the last report.
    in_force_us: Vec<u32>,
}

impl Tally {
    /// The decision core has taken a purge; `in_force_us` is how long that took, if it was published in this life.
    pub fn purged(&self, purge: u64, in_force_us: Option<u32>) {
        let mut purges = self.purges.lock().expect("no holder panics");
        let word = (purge / WORD) as usize;
        if purges.taken.len() <= word {
            purges.taken.resize(word + 1, 0);
        }
        purges.taken[word] |= 1 << (purge % WORD);
        purges.in_force_us.extend(in_force_us);
    }

    pub fn take_in_force(&self) -> Vec<u32> {
        std::mem::take(&mut self.purges.lock().expect("no holder panics").in_force_us)
    }

    pub fn counts(&self, number: usize, published: u64) -> HollowCounts {
        HollowCounts {
            number,
            active_hosts: self.active_hosts.load(Ordering::Relaxed),
            last: self.last.load(Ordering::Relaxed),
            missing_purges: self.missing(published),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            polls_answered: self.polls_answered.load(Ordering::Relaxed),
            turns: self.turns.load(Ordering::Relaxed),
        }
    }

    /// Purges named 1 to `published` that were not taken.
    fn missing(&self, published: u64) -> u64 {
        let purges = self.purges.lock().expect("no holder panics");
        let taken = |purge: &u64| {
            let word = purges.taken.get((purge / WORD) as usize);
            word.is_some_and(|word| word >> (purge % WORD) & 1 == 1)
        };
        (1..=published).filter(|purge| !taken(purge)).count() as u64
    }
}
