//! Deduplication of keyed requests. Any server of the group responds to a repeat within the window without
//! running it again.

use std::collections::HashMap;

use brookfield::Nanos;

/// Expired keys are swept at this size, and then each time the table has doubled.
const MIN_SWEEP_SIZE: usize = 1024;

/// An idempotency key within a group of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DedupKey {
    /// Group of servers that share the table.
    pub cell: u64,
    /// Key of the request.
    pub key: u64,
}

/// A running job: the server process, and the id of the job there.
pub type JobRef = (u32, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    expires_at: Nanos,
    job: JobRef,
}

/// The keys seen by each group. Its size is bounded by the keyed requests within two windows.
#[derive(Debug, Default)]
pub struct DedupTable {
    entries: HashMap<DedupKey, Entry>,
    /// Keys of running jobs.
    running: HashMap<JobRef, DedupKey>,
    sweep_at: usize,
}

impl DedupTable {
    /// Whether a request with this key was accepted within its window.
    pub fn is_duplicate(&self, key: DedupKey, now: Nanos) -> bool {
        self.entries.get(&key).is_some_and(|entry| now < entry.expires_at)
    }

    /// A server accepted the request: its repeats get a response without running for `window`.
    pub fn insert(&mut self, key: DedupKey, job: JobRef, window: Nanos, now: Nanos) {
        if self.entries.len() >= self.sweep_at.max(MIN_SWEEP_SIZE) {
            self.entries.retain(|_, entry| now < entry.expires_at);
            self.sweep_at = 2 * self.entries.len();
        }
        self.entries.insert(key, Entry { expires_at: now.saturating_add(window), job });
        self.running.insert(job, key);
    }

    /// A job ended. If it was not completed, its key is removed so that a repeat runs.
    pub fn job_ended(&mut self, job: JobRef, completed: bool) {
        let Some(key) = self.running.remove(&job) else { return };
        if !completed && self.entries.get(&key).is_some_and(|entry| entry.job == job) {
            self.entries.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
