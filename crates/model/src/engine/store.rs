//! The store of a host: copies with eviction.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

struct Copy {
    created_at: Duration,
    rank: u8,
    last_used: u64,
    size_kb: f64,
}

/// Copies by key. Evicts the least recently used copy of the lowest rank first.
#[derive(Default)]
pub(super) struct Store {
    copies: BTreeMap<u64, Copy>,
    /// Rank, last use and key of each copy, in the order of eviction.
    order: BTreeSet<(u8, u64, u64)>,
    used_kb: f64,
    /// Number of uses so far.
    use_count: u64,
}

impl Store {
    /// Marks a copy as used, and raises its rank. Returns its creation time, if it is held and was not created before
    /// `purged_before`.
    pub(super) fn touch(&mut self, key: u64, rank: u8, purged_before: Duration) -> Option<Duration> {
        self.use_count += 1;
        if self.copies.get(&key).is_some_and(|copy| copy.created_at < purged_before) {
            self.remove(key);
        }
        let copy = self.copies.get_mut(&key)?;
        self.order.remove(&(copy.rank, copy.last_used, key));
        (copy.rank, copy.last_used) = (copy.rank.max(rank), self.use_count);
        self.order.insert((copy.rank, copy.last_used, key));
        Some(copy.created_at)
    }

    /// Adds a copy, which replaces an older one, and evicts others while the size of all copies exceeds `capacity_kb`.
    pub(super) fn put(&mut self, key: u64, created_at: Duration, rank: u8, size_kb: f64, capacity_kb: f64) {
        self.remove(key);
        self.use_count += 1;
        self.copies.insert(key, Copy { created_at, rank, last_used: self.use_count, size_kb });
        self.order.insert((rank, self.use_count, key));
        self.used_kb += size_kb;
        while self.used_kb > capacity_kb {
            let Some((.., evicted_key)) = self.order.pop_first() else { break };
            if let Some(copy) = self.copies.remove(&evicted_key) {
                self.used_kb -= copy.size_kb;
            }
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(copy) = self.copies.remove(&key) {
            self.order.remove(&(copy.rank, copy.last_used, key));
            self.used_kb -= copy.size_kb;
        }
    }
}
