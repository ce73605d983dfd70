//! A table with generational keys.

/// A table whose keys hold an index and a generation, so that a key is never reused.
pub struct Slab<T> {
    entries: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }
}

/// Bits of a key that hold the index.
const INDEX_BITS: u32 = 28;

impl<T> Slab<T> {
    /// Inserts a value and returns its key.
    pub fn insert(&mut self, value: T) -> u64 {
        match self.free.pop() {
            Some(index) => {
                let (generation, slot) = &mut self.entries[index as usize];
                *slot = Some(value);
                key(index, *generation)
            }
            None => {
                self.entries.push((0, Some(value)));
                key(self.entries.len() as u32 - 1, 0)
            }
        }
    }

    /// Returns the value of a key, unless it was removed.
    pub fn get(&self, target: u64) -> Option<&T> {
        let (generation, slot) = self.entries.get(index(target))?;
        slot.as_ref().filter(|_| key(index(target) as u32, *generation) == target)
    }

    /// See [`Slab::get`].
    pub fn get_mut(&mut self, target: u64) -> Option<&mut T> {
        let (generation, slot) = self.entries.get_mut(index(target))?;
        if key(index(target) as u32, *generation) == target { slot.as_mut() } else { None }
    }

    /// Removes and returns a value.
    pub fn remove(&mut self, target: u64) -> Option<T> {
        self.get(target)?;
        let (generation, slot) = &mut self.entries[index(target)];
        *generation += 1;
        self.free.push(index(target) as u32);
        slot.take()
    }

    /// All values with their keys, by index.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, (generation, slot))| Some((key(index as u32, *generation), slot.as_ref()?)))
    }
}

fn key(index: u32, generation: u32) -> u64 {
    u64::from(generation) << INDEX_BITS | u64::from(index)
}

fn index(key: u64) -> usize {
    (key & ((1 << INDEX_BITS) - 1)) as usize
}
