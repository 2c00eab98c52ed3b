//! Data structures of the decision module: the consistent-hash ring, the sliding counts and the table of recent
//! values by key.

use crate::interface::HostIndex;
use myrtlegauge_recovery::bits::mix;
use std::cell::Cell;
use std::iter::Chain;
use std::ops::Range;
use std::slice;
use std::time::Duration;

/// A point of a member: its position on the ring, and the member's host.
pub type Point = (u64, HostIndex);

/// A consistent-hash ring. The points of near members, which belong to the router's own hub, are kept apart from
/// those of the others, so that a walk along the near ones visits no others.
#[derive(Default)]
pub struct Ring {
    near: RingPoints,
    far: RingPoints,
    /// In the order in which they were given.
    members: Vec<RingMember>,
    walk_cost: Cell<WalkCost>,
}

/// The sorted points of the near or of the far members.
#[derive(Default)]
struct RingPoints {
    points: Vec<Point>,
    /// Number of members that have points.
    member_count: usize,
}

/// Points to remove from a `RingPoints` and to add to it.
#[derive(Default)]
struct PointChanges {
    removed: Vec<Point>,
    added: Vec<Point>,
}

impl RingPoints {
    /// Applies changes in a time that depends on the changed points, apart from moving the others in memory.
    fn apply(&mut self, mut changes: PointChanges) {
        changes.removed.sort_unstable();
        changes.added.sort_unstable();
        self.remove_sorted(&changes.removed);
        self.insert_sorted(&changes.added);
    }

    /// Removes points, which are all present, by moving the blocks between them.
    fn remove_sorted(&mut self, removed: &[Point]) {
        let (mut write, mut read) = (0, 0);
        for point in removed {
            let position = read + self.points[read..].partition_point(|kept| kept < point);
            self.points.copy_within(read..position, write);
            write += position - read;
            read = position + 1;
        }
        let length = self.points.len();
        self.points.copy_within(read..length, write);
        self.points.truncate(length - removed.len());
    }

    /// Inserts points by moving the blocks between them, from the last to the first.
    fn insert_sorted(&mut self, added: &[Point]) {
        let mut unmoved = self.points.len();
        self.points.resize(unmoved + added.len(), Point::default());
        let mut write = self.points.len();
        for &point in added.iter().rev() {
            let position = self.points[..unmoved].partition_point(|&kept| kept < point);
            write -= unmoved - position;
            self.points.copy_within(position..unmoved, write);
            unmoved = position;
            write -= 1;
            self.points[write] = point;
        }
    }
}

/// Cost of a ring's walks since its last change: hosts found, and points visited on the way to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WalkCost {
    pub hosts: u64,
    pub points: u64,
}

/// A member from which a ring is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingMember {
    pub host: HostIndex,
    /// Hash of the host's id, the same at every router.
    pub id_hash: u64,
    pub points: u64,
    /// The member belongs to the router's own hub.
    pub is_near: bool,
}

impl RingMember {
    /// The points with these numbers.
    fn points(self, numbers: Range<u64>) -> impl Iterator<Item = Point> {
        numbers.map(move |number| (mix(self.id_hash ^ mix(number)), self.host))
    }

    /// Whether points of the same number are the same.
    fn shares_points_with(&self, other: &Self) -> bool {
        (self.host, self.id_hash, self.is_near) == (other.host, other.id_hash, other.is_near)
    }
}

impl Ring {
    /// Builds a ring. A member without points is listed, but no walk finds it.
    pub fn build(members: impl Iterator<Item = RingMember>) -> Self {
        let mut ring = Self::default();
        ring.update(members);
        ring
    }

    /// Replaces the members, of which each has another host. The points of members that stay the same are not sorted
    /// again. Returns the number of points that were added and removed.
    pub fn update(&mut self, members: impl Iterator<Item = RingMember>) -> usize {
        let members: Vec<RingMember> = members.collect();
        if members == self.members {
            return 0;
        }
        let [near, far] = self.changes_to(&members);
        let changed_points = [&near, &far].map(|changes| changes.removed.len() + changes.added.len());
        self.near.apply(near);
        self.far.apply(far);
        let member_count =
            |is_near| members.iter().filter(|member| member.is_near == is_near && member.points > 0).count();
        (self.near.member_count, self.far.member_count) = (member_count(true), member_count(false));
        self.members = members;
        self.walk_cost = Cell::default();
        changed_points.iter().sum()
    }

    /// The changes to the points of the near and of the far members.
    fn changes_to(&self, members: &[RingMember]) -> [PointChanges; 2] {
        let host_count = self.members.iter().chain(members).map(|member| member.host + 1).max().unwrap_or(0);
        let mut known: Vec<Option<RingMember>> = vec![None; host_count];
        for &member in &self.members {
            known[member.host] = Some(member);
        }
        let mut changes: [PointChanges; 2] = Default::default();
        for &member in members {
            let side = &mut changes[usize::from(!member.is_near)];
            match known[member.host].filter(|known| known.shares_points_with(&member)) {
                Some(unchanged_points) => {
                    known[member.host] = None;
                    let RingMember { points, .. } = unchanged_points;
                    side.added.extend(member.points(points..member.points));
                    side.removed.extend(member.points(member.points..points));
                }
                None => side.added.extend(member.points(0..member.points)),
            }
        }
        for member in known.into_iter().flatten() {
            changes[usize::from(!member.is_near)].removed.extend(member.points(0..member.points));
        }
        changes
    }

    /// The members in the order in which they were given.
    pub fn members(&self) -> impl Iterator<Item = HostIndex> {
        self.members.iter().map(|member| member.host)
    }

    /// The members with their numbers of points.
    pub fn members_with_points(&self) -> impl Iterator<Item = (HostIndex, u64)> {
        self.members.iter().map(|member| (member.host, member.points))
    }

    /// The points of the near members, or of the far ones, in the order of their positions.
    pub fn points(&self, is_near: bool) -> &[Point] {
        if is_near { &self.near.points } else { &self.far.points }
    }

    /// Cost of the walks on this ring since its last change.
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
