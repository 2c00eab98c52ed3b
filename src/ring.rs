//! The ring, the window of counts and the memory of keys, as plain structures. What goes in is decided
//! elsewhere.

use crate::interface::HostIndex;
use myrtlegauge_recovery::bits::mix;
use std::cell::Cell;
use std::iter::Chain;
use std::slice;
use std::time::Duration;

/// A point of a member: its place on the ring.
type Point = (u64, HostIndex);

/// A consistent-hash ring. The members of the router's own hub and the others have their points apart, so that a walk
/// over the near ones meets no others.
#[derive(Default)]
pub struct Ring {
    near: Half,
    far: Half,
    /// Each with its number of points.
    members: Vec<(HostIndex, u64)>,
    walked: Cell<WalkCost>,
}

/// The near or the far members' points, in order, and how many members have any.
#[derive(Default)]
struct Half {
    points: Vec<Point>,
    members: usize,
}

/// Cost of a ring's walks since it was built: hosts found, and points visited on the way to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WalkCost {
    pub hosts: u64,
    pub points: u64,
}

/// A member from which a ring is built.
#[derive(Clone, Copy, Debug)]
pub struct RingMember {
    pub host: HostIndex,
    /// Hash of the host's id, the same at every router.
    pub id_hash: u64,
    pub points: u64,
    /// The member belongs to the router's own hub.
    pub is_near: bool,
}

impl Ring {
    /// Builds a ring.
    pub fn build(members: impl Iterator<Item = RingMember>) -> Self {
        let mut ring = Self::default();
        for RingMember { host, id_hash: mark, points, is_near: near } in members {
            ring.members.push((host, points));
            let half = if near { &mut ring.near } else { &mut ring.far };
            half.members += usize::from(points > 0);
            half.points.extend((0..points).map(|i| (mix(mark ^ mix(i)), host)));
        }
        ring.near.points.sort_unstable();
        ring.far.points.sort_unstable();
        ring
    }

    /// The members in the order in which they were added.
    pub fn members(&self) -> impl Iterator<Item = HostIndex> {
        self.members.iter().map(|&(host, _)| host)
    }

    /// The members with their numbers of points.
    pub fn members_with_points(&self) -> impl Iterator<Item = (HostIndex, u64)> {
        self.members.iter().copied()
    }

    /// Cost of the walks on this ring since it was built.
    pub fn walk_cost(&self) -> WalkCost {
        self.walked.get()
    }

    /// The near members, or the far ones, in the order in which they follow `key`: each once, and `MOST` at most.
    pub fn walk<const MOST: usize>(&self, key: u64, near: bool) -> Walk<'_, MOST> {
        let half = if near { &self.near } else { &self.far };
        let (before, after) = half.points.split_at(half.points.partition_point(|&(at, _)| at < key));
        Walk {
            points: after.iter().chain(before),
            met: [0; MOST],
            count: 0,
            most: half.members.min(MOST),
            walked: &self.walked,
        }
    }
}

/// A walk along a ring; see [`Ring::walk`].
pub struct Walk<'a, const MOST: usize> {
    points: Chain<slice::Iter<'a, Point>, slice::Iter<'a, Point>>,
    /// The first `count` are the members met.
    met: [HostIndex; MOST],
    count: usize,
    most: usize,
    walked: &'a Cell<WalkCost>,
}

impl<const MOST: usize> Iterator for Walk<'_, MOST> {
    type Item = HostIndex;

    fn next(&mut self) -> Option<HostIndex> {
        if self.count == self.most {
            return None;
        }
        let met = &self.met[..self.count];
        let mut walked = self.walked.get();
        let &(_, host) =
            self.points.by_ref().inspect(|_| walked.points += 1).find(|(_, host)| !met.contains(host))?;
        walked.hosts += 1;
        self.walked.set(walked);
        self.met[self.count] = host;
        self.count += 1;
        Some(host)
    }
}

/// Two running counts over a sliding window of `SLOTS` slots.
pub struct SlidingCounts<const SLOTS: usize> {
    slots: [(u32, u32); SLOTS],
    slot: usize,
    long: Duration,
}

impl<const SLOTS: usize> SlidingCounts<SLOTS> {
    pub fn new(long: Duration) -> Self {
        Self { slots: [(0, 0); SLOTS], slot: 0, long }
    }

    /// Moves the window to `now` and clears the slots that it has left.
    pub fn advance(&mut self, now: Duration) {
        let slot = (now.as_millis() * SLOTS as u128 / self.long.as_millis()) as usize;
        for old in (self.slot + 1..=slot).rev().take(SLOTS) {
            self.slots[old % SLOTS] = (0, 0);
        }
        self.slot = slot;
    }

    pub fn add(&mut self, counted: u32, marked: u32) {
        let (all, with) = &mut self.slots[self.slot % SLOTS];
        (*all, *with) = (all.saturating_add(counted), with.saturating_add(marked));
    }

    /// Totals over the window: all counted items, and the marked ones among them.
    pub fn totals(&self) -> (u32, u32) {
        self.slots
            .iter()
            .fold((0, 0), |sum, slot| (slot.0.saturating_add(sum.0), slot.1.saturating_add(sum.1)))
    }
}

/// Table of fixed size with the last value per key. A newer key replaces an older one in the same slot.
pub struct DirectMappedTable<T> {
    slots: Box<[(u32, T)]>,
}

impl<T: Copy + Default> DirectMappedTable<T> {
    pub fn new(size: usize) -> Self {
        Self { slots: vec![(0, T::default()); size].into() }
    }

    fn mark(key: u64) -> u32 {
        (key >> 32) as u32 | 1
    }

    pub fn get(&self, key: u64) -> Option<T> {
        let (mark, noted) = self.slots[key as usize % self.slots.len()];
        (mark == Self::mark(key)).then_some(noted)
    }

    pub fn set(&mut self, key: u64, noted: T) {
        let size = self.slots.len();
        self.slots[key as usize % size] = (Self::mark(key), noted);
    }
}
