//! The keys that the members of a group have seen of late. A keyed request that comes again within its window is
//! answered by whichever member it meets, and not run again: that is what makes its repeats harmless.

use std::collections::HashMap;

use brookfield::Nanos;

/// Old keys are looked for once there are as many, and then each time their number has doubled.
const MIN_SWEEP_SIZE: usize = 1024;

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
struct Entry {
    expires_at: Nanos,
    job: JobRef,
}

/// What the groups remember. Bounded by the keyed requests of twice the longest window.
#[derive(Debug, Default)]
pub struct DedupTable {
    entries: HashMap<DedupKey, Entry>,
    /// Jobs that have not ended yet, with their keys.
    running: HashMap<JobRef, DedupKey>,
    sweep_at: usize,
}

impl DedupTable {
    /// Whether a request with this key was taken in before and its window is not over.
    pub fn is_duplicate(&self, key: DedupKey, now: Nanos) -> bool {
        self.entries.get(&key).is_some_and(|entry| now < entry.expires_at)
    }

    /// A server has taken the request in: for so long its repeats are dropped.
    pub fn insert(&mut self, key: DedupKey, job: JobRef, window: Nanos, now: Nanos) {
        if self.entries.len() >= self.sweep_at.max(MIN_SWEEP_SIZE) {
            self.entries.retain(|_, seen| now < seen.expires_at);
            self.sweep_at = 2 * self.entries.len();
        }
        self.entries.insert(key, Entry { expires_at: now.saturating_add(window), job });
        self.running.insert(job, key);
    }

    /// Its work has ended. One that did not come to its end (it failed, was dropped before it began, or its process
    /// died) is forgotten, so that a repeat runs.
    pub fn job_ended(&mut self, job: JobRef, completed: bool) {
        let Some(key) = self.running.remove(&job) else { return };
        if !completed && self.entries.get(&key).is_some_and(|seen| seen.job == job) {
            self.entries.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
