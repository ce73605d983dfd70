//! The ids of requests that must not run twice, and may have run lately. Clients give each request a new id, retries too, so an
//! id that comes again is the same request.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

use brookfield::Nanos;

/// Most ids that are kept; the oldest are forgotten first. Bounds the memory to about half a megabyte.
const MAX_IDS: usize = 16 * 1024;
/// How long an id is kept.
const RETENTION_NS: Nanos = 60_000_000_000;

/// The hash of an id with a key of this process, so that clients cannot make ids collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

/// The table of ids.
#[derive(Default)]
pub struct PastIds {
    hasher: RandomState,
    known: HashSet<IdHash>,
    /// In the order in which they were added.
    by_age: VecDeque<(Nanos, IdHash)>,
}

impl PastIds {
    /// The hash of an id.
    pub fn hash(&self, id: &[u8]) -> IdHash {
        IdHash(self.hasher.hash_one(id))
    }

    /// Whether a request with the id may have run.
    pub fn contains(&self, id: IdHash) -> bool {
        self.known.contains(&id)
    }

    /// Adds the id of a request that may have run.
    pub fn add(&mut self, id: IdHash, now: Nanos) {
        if self.known.insert(id) {
            self.by_age.push_back((now, id));
        }
        while let Some((added_at, oldest)) = self.by_age.front().copied() {
            let expired = now.saturating_sub(added_at) >= RETENTION_NS;
            if !expired && self.by_age.len() <= MAX_IDS {
                return;
            }
            self.known.remove(&oldest);
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
