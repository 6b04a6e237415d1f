//! Slab storage: a table whose entries are addressed by stable `u32` indexes.

use std::ops::{Index, IndexMut};

/// Table whose entries keep their index until they are removed. Free indexes are reused.
#[derive(Debug, Clone)]
pub struct Arena<T> {
    slots: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Adds an entry and returns its index.
    pub fn insert(&mut self, value: T) -> u32 {
        if let Some(ix) = self.free.pop() {
            self.slots[ix as usize] = Some(value);
            return ix;
        }
        self.slots.push(Some(value));
        u32::try_from(self.slots.len() - 1).expect("fewer than 2^32 entries")
    }

    /// Removes and returns the entry at an index, if there is one.
    pub fn remove(&mut self, ix: u32) -> Option<T> {
        let value = self.slots.get_mut(ix as usize)?.take();
        if value.is_some() {
            self.free.push(ix);
        }
        value
    }

    /// Returns the entry at an index, if there is one.
    pub fn get(&self, ix: u32) -> Option<&T> {
        self.slots.get(ix as usize)?.as_ref()
    }

    /// Iterates over the entries with their indexes, in the order of the indexes.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        let numbered = (0..).zip(&self.slots);
        numbered.filter_map(|(ix, slot)| slot.as_ref().map(|value| (ix, value)))
    }
}

impl<T> Index<u32> for Arena<T> {
    type Output = T;

    fn index(&self, ix: u32) -> &T {
        self.slots[ix as usize]
            .as_ref()
            .expect("the index refers to an entry")
    }
}

impl<T> IndexMut<u32> for Arena<T> {
    fn index_mut(&mut self, ix: u32) -> &mut T {
        self.slots[ix as usize]
            .as_mut()
            .expect("the index refers to an entry")
    }
}
