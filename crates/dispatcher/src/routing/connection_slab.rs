//! Connections in reusable slots. The key of a removed connection never finds a later one in the same slot.

use slab::Slab;
use std::ops::{Index, IndexMut};

/// Identifies a connection; the serial tells it from earlier ones in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey {
    slot: u32,
    serial: u32,
}

/// A slab of connections whose keys are valid for one connection only.
pub struct ConnectionSlab<T> {
    slots: Slab<(u32, T)>,
    serial: u32,
}

impl<T> ConnectionSlab<T> {
    /// Creates an empty slab.
    pub fn new() -> Self {
        Self { slots: Slab::new(), serial: 0 }
    }

    /// Returns the key for the next inserted connection.
    pub fn next_key(&mut self) -> ConnectionKey {
        self.serial = self.serial.wrapping_add(1);
        ConnectionKey { slot: self.slots.vacant_key() as u32, serial: self.serial }
    }

    /// Inserts a connection under the key that was returned for it.
    pub fn insert(&mut self, key: ConnectionKey, value: T) {
        let slot = self.slots.insert((key.serial, value));
        debug_assert_eq!(slot, key.slot as usize, "a key must be inserted before the next one is requested");
    }

    /// The connection with this key, for reading; `None` if it was removed.
    pub fn get(&self, key: ConnectionKey) -> Option<&T> {
        let (serial, value) = self.slots.get(key.slot as usize)?;
        (*serial == key.serial).then_some(value)
    }

    /// The connection with this key; `None` if it was removed.
    pub fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut T> {
        let (serial, value) = self.slots.get_mut(key.slot as usize)?;
        (*serial == key.serial).then_some(value)
    }

    /// Removes a connection that must be present.
    pub fn remove(&mut self, key: ConnectionKey) -> T {
        self.slots.remove(key.slot as usize).1
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The connections with their keys, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &T)> {
        self.slots
            .iter()
            .map(|(slot, (serial, value))| (ConnectionKey { slot: slot as u32, serial: *serial }, value))
    }

    /// The connections with their keys, in the order of their slots, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ConnectionKey, &mut T)> {
        self.slots
            .iter_mut()
            .map(|(slot, (serial, value))| (ConnectionKey { slot: slot as u32, serial: *serial }, value))
    }
}

/// Access to a connection that must be present.
impl<T> Index<ConnectionKey> for ConnectionSlab<T> {
    type Output = T;

    fn index(&self, key: ConnectionKey) -> &T {
        &self.slots[key.slot as usize].1
    }
}

impl<T> IndexMut<ConnectionKey> for ConnectionSlab<T> {
    fn index_mut(&mut self, key: ConnectionKey) -> &mut T {
        &mut self.slots[key.slot as usize].1
    }
}
