//! The keys that the members of a group have seen of late. A keyed request that comes again within its window is
//! answered by whichever member it meets, and not run again: that is what makes its repeats harmless.

use std::collections::HashMap;

use brookfield::Nanos;

/// Old keys are looked for once there are as many, and then each time their number has doubled.
const SWEPT_FROM: usize = 1024;

/// A key, in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DedupKey {
    /// The group whose members share what they have seen.
    pub cell: u64,
    /// The request's key.
    pub key: u64,
}

/// The work that a key stands for: the server's process, and the number under which it holds the job.
pub type JobRef = (u32, u64);

#[derive(Clone, Copy, Debug)]
struct Seen {
    until: Nanos,
    by: JobRef,
}

/// What the groups remember. Bounded by the keyed requests of twice the longest window.
#[derive(Debug, Default)]
pub struct DedupTable {
    seen: HashMap<DedupKey, Seen>,
    /// Jobs that have not ended yet, with their keys.
    open: HashMap<JobRef, DedupKey>,
    sweep_at: usize,
}

impl DedupTable {
    /// Whether a request with this key was taken in before and its window is not over.
    pub fn is_duplicate(&self, key: DedupKey, now: Nanos) -> bool {
        self.seen.get(&key).is_some_and(|seen| now < seen.until)
    }

    /// A server has taken the request in: for so long its repeats are dropped.
    pub fn insert(&mut self, key: DedupKey, by: JobRef, window: Nanos, now: Nanos) {
        if self.seen.len() >= self.sweep_at.max(SWEPT_FROM) {
            self.seen.retain(|_, seen| now < seen.until);
            self.sweep_at = 2 * self.seen.len();
        }
        self.seen.insert(key, Seen { until: now.saturating_add(window), by });
        self.open.insert(by, key);
    }

    /// Its work has ended. One that did not come to its end (it failed, was dropped before it began, or its process
    /// died) is forgotten, so that a repeat runs.
    pub fn job_ended(&mut self, by: JobRef, done: bool) {
        let Some(key) = self.open.remove(&by) else { return };
        if !done && self.seen.get(&key).is_some_and(|seen| seen.by == by) {
            self.seen.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
