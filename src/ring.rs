//! Data structures of the decision module: the consistent-hash ring, the sliding counts and the table of recent
//! values by key.

use crate::interface::HostIndex;
use myrtlegauge_recovery::bits::mix;
use std::cell::Cell;
use std::iter::Chain;
use std::slice;
use std::time::Duration;

/// A point of a member: its position on the ring, and the member's host.
type Point = (u64, HostIndex);

/// A consistent-hash ring. The points of near members, which belong to the router's own hub, are kept apart from
/// those of the others, so that a walk along the near ones visits no others.
#[derive(Default)]
pub struct Ring {
    near: RingPoints,
    far: RingPoints,
    /// The members with their numbers of points.
    members: Vec<(HostIndex, u64)>,
    walk_cost: Cell<WalkCost>,
}

/// The sorted points of the near or of the far members.
#[derive(Default)]
struct RingPoints {
    points: Vec<Point>,
    /// Number of members that have points.
    member_count: usize,
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
    /// Builds a ring. A member without points is listed, but no walk finds it.
    pub fn build(members: impl Iterator<Item = RingMember>) -> Self {
        let mut ring = Self::default();
        for RingMember { host, id_hash, points, is_near } in members {
            ring.members.push((host, points));
            let side = if is_near { &mut ring.near } else { &mut ring.far };
            side.member_count += usize::from(points > 0);
            side.points.extend((0..points).map(|number| (mix(id_hash ^ mix(number)), host)));
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
        self.walk_cost.get()
    }

    /// Walks along the near members, or the far ones, in the order in which they follow `key`. Each is found once,
    /// and at most `MAX_HOSTS` are found.
    pub fn walk<const MAX_HOSTS: usize>(&self, key: u64, is_near: bool) -> Walk<'_, MAX_HOSTS> {
        let side = if is_near { &self.near } else { &self.far };
        let (before, after) =
            side.points.split_at(side.points.partition_point(|&(position, _)| position < key));
        Walk {
            points: after.iter().chain(before),
            found: [0; MAX_HOSTS],
            found_count: 0,
            max_count: side.member_count.min(MAX_HOSTS),
            walk_cost: &self.walk_cost,
        }
    }
}

/// A walk along a ring; see [`Ring::walk`].
pub struct Walk<'a, const MAX_HOSTS: usize> {
    points: Chain<slice::Iter<'a, Point>, slice::Iter<'a, Point>>,
    /// The first `found_count` entries are the members found so far.
    found: [HostIndex; MAX_HOSTS],
    found_count: usize,
    max_count: usize,
    walk_cost: &'a Cell<WalkCost>,
}

impl<const MAX_HOSTS: usize> Iterator for Walk<'_, MAX_HOSTS> {
    type Item = HostIndex;

    fn next(&mut self) -> Option<HostIndex> {
        if self.found_count == self.max_count {
            return None;
        }
        let found = &self.found[..self.found_count];
        let mut walk_cost = self.walk_cost.get();
        let &(_, host) = self
            .points
            .by_ref()
            .inspect(|_| walk_cost.points += 1)
            .find(|(_, host)| !found.contains(host))?;
        walk_cost.hosts += 1;
        self.walk_cost.set(walk_cost);
        self.found[self.found_count] = host;
        self.found_count += 1;
        Some(host)
    }
}

/// Counts of items, and of the marked ones among them, over a sliding window of `SLOTS` slots.
pub struct SlidingCounts<const SLOTS: usize> {
    slots: [(u32, u32); SLOTS],
    /// Number of the current slot, counted from the router's start.
    current_slot: usize,
    window: Duration,
}

impl<const SLOTS: usize> SlidingCounts<SLOTS> {
    /// Creates empty counts over a window of this length.
    pub fn new(window: Duration) -> Self {
        Self { slots: [(0, 0); SLOTS], current_slot: 0, window }
    }

    /// Moves the window to `now` and clears the slots that it has left.
    pub fn advance(&mut self, now: Duration) {
        let slot = (now.as_millis() * SLOTS as u128 / self.window.as_millis()) as usize;
        for cleared in (self.current_slot + 1..=slot).rev().take(SLOTS) {
            self.slots[cleared % SLOTS] = (0, 0);
        }
        self.current_slot = slot;
    }

    /// Adds to the current slot. `added_marked` is the number of marked items among `added_all`.
    pub fn add(&mut self, added_all: u32, added_marked: u32) {
        let (all, marked) = &mut self.slots[self.current_slot % SLOTS];
        (*all, *marked) = (all.saturating_add(added_all), marked.saturating_add(added_marked));
    }

    /// Totals over the window: all items, and the marked ones among them.
    pub fn totals(&self) -> (u32, u32) {
        self.slots
            .iter()
            .fold((0, 0), |sum, slot| (slot.0.saturating_add(sum.0), slot.1.saturating_add(sum.1)))
    }
}

/// Table of fixed size with the last value per key. A newer key replaces an older one in the same slot.
pub struct DirectMappedTable<T> {
    /// The tag of each slot's key, and the value.
    slots: Box<[(u32, T)]>,
}

impl<T: Copy + Default> DirectMappedTable<T> {
    /// Creates an empty table with this number of slots, a power of two.
    pub fn new(size: usize) -> Self {
        Self { slots: vec![(0, T::default()); size].into() }
    }

    /// Tag by which a slot tells its key from others. It is never zero, the tag of an empty slot.
    fn tag(key: u64) -> u32 {
        (key >> 32) as u32 | 1
    }

    /// The value of a key, if no newer key has replaced it.
    pub fn get(&self, key: u64) -> Option<T> {
        let (tag, value) = self.slots[key as usize % self.slots.len()];
        (tag == Self::tag(key)).then_some(value)
    }

    /// Sets the value of a key, in place of the value of another key in the same slot.
    pub fn set(&mut self, key: u64, value: T) {
        let size = self.slots.len();
        self.slots[key as usize % size] = (Self::tag(key), value);
    }
}
