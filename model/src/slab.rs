//! Numbers for things that come and go, none of them used twice.

/// A table whose keys hold a place and a generation.
pub struct Slab<T> {
    places: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { places: Vec::new(), free: Vec::new() }
    }
}

/// Bits of a key that hold the place.
const PLACE: u32 = 28;

impl<T> Slab<T> {
    /// Puts a thing in and tells its key.
    pub fn insert(&mut self, thing: T) -> u64 {
        match self.free.pop() {
            Some(place) => {
                let (generation, slot) = &mut self.places[place as usize];
                *slot = Some(thing);
                key(place, *generation)
            }
            None => {
                self.places.push((0, Some(thing)));
                key(self.places.len() as u32 - 1, 0)
            }
        }
    }

    /// The thing of this key, unless it has gone.
    pub fn get(&self, of: u64) -> Option<&T> {
        let (generation, slot) = self.places.get(place(of))?;
        slot.as_ref().filter(|_| key(place(of) as u32, *generation) == of)
    }

    /// See [`Slab::get`].
    pub fn get_mut(&mut self, of: u64) -> Option<&mut T> {
        let (generation, slot) = self.places.get_mut(place(of))?;
        if key(place(of) as u32, *generation) == of { slot.as_mut() } else { None }
    }

    /// Takes a thing out; its key is not used again.
    pub fn remove(&mut self, of: u64) -> Option<T> {
        self.get(of)?;
        let (generation, slot) = &mut self.places[place(of)];
        *generation += 1;
        self.free.push(place(of) as u32);
        slot.take()
    }

    /// Every thing with its key, by place.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.places
            .iter()
            .enumerate()
            .filter_map(|(at, (generation, slot))| Some((key(at as u32, *generation), slot.as_ref()?)))
    }
}

fn key(place: u32, generation: u32) -> u64 {
    u64::from(generation) << PLACE | u64::from(place)
}

fn place(key: u64) -> usize {
    (key & ((1 << PLACE) - 1)) as usize
}
