//! Connections at places that are used again, each under a key that meets nothing once it is gone.

use slab::Slab;
use std::ops::{Index, IndexMut};

/// Names a connection; the serial tells it from an earlier one at the same place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    at: u32,
    serial: u32,
}

pub struct Keyed<T> {
    places: Slab<(u32, T)>,
    serial: u32,
}

impl<T> Keyed<T> {
    pub fn new() -> Self {
        Self { places: Slab::new(), serial: 0 }
    }

    /// The key of what is inserted next.
    pub fn next_key(&mut self) -> Key {
        self.serial = self.serial.wrapping_add(1);
        Key { at: self.places.vacant_key() as u32, serial: self.serial }
    }

    pub fn insert(&mut self, key: Key, value: T) {
        let at = self.places.insert((key.serial, value));
        debug_assert_eq!(at, key.at as usize, "a key is used before the next one is asked for");
    }

    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let (serial, value) = self.places.get_mut(key.at as usize)?;
        (*serial == key.serial).then_some(value)
    }

    /// Takes out what is known to be there.
    pub fn remove(&mut self, key: Key) -> T {
        self.places.remove(key.at as usize).1
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.places.iter().map(|(at, (serial, value))| (Key { at: at as u32, serial: *serial }, value))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut T)> {
        self.places.iter_mut().map(|(at, (serial, value))| (Key { at: at as u32, serial: *serial }, value))
    }
}

/// What is known to be there.
impl<T> Index<Key> for Keyed<T> {
    type Output = T;

    fn index(&self, key: Key) -> &T {
        &self.places[key.at as usize].1
    }
}

impl<T> IndexMut<Key> for Keyed<T> {
    fn index_mut(&mut self, key: Key) -> &mut T {
        &mut self.places[key.at as usize].1
    }
}
