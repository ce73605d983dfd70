//! The node's memory: one budget, drawn from `limits.memory_mb`, for every byte that peers make the node hold.
//!
//! Whoever holds bytes has a [`Permit`] for them, which belongs to the [`Account`] of a client connection or of the process.
//! Submodules: `budget` grants permits and queues those that do not fit; `kind` says what bytes are held for and which
//! kinds give way first; `eviction` decides whose connection is closed when memory is short; `reclaim` carries that out;
//! `resident` reads how much memory the process really takes; `report` logs the balance.

mod budget;
mod eviction;
mod kind;
mod reclaim;
mod report;
mod resident;

pub use budget::{Account, Budget, Permit, Stage};
pub use kind::Kind;
pub use reclaim::reclaim;
pub use report::report;
pub use resident::resident_bytes;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// The share of the memory left after the start that may be held with permits. The rest is for the allocator: memory that
/// was freed and not given back, and buffers that are copied as they grow.
const BUDGET_SHARE: f64 = 0.67;
/// The smallest budget, with which some tens of clients are served.
const MIN_BUDGET_BYTES: usize = 4 * 1024 * 1024;
/// Memory of a process that has just started, where the system does not report it.
const DEFAULT_START_BYTES: usize = 6 * 1024 * 1024;

/// The memory limit in bytes. One that is no positive number is none at all.
pub fn limit_bytes(memory_limit_mb: f64) -> usize {
    (memory_limit_mb * BYTES_PER_MB) as usize
}

/// The budget of a node with this memory limit that has just started. A limit under which no node could serve is not kept.
pub fn budget_for(memory_limit_mb: f64) -> Budget {
    let start_bytes = resident_bytes().unwrap_or(DEFAULT_START_BYTES);
    let left = limit_bytes(memory_limit_mb).saturating_sub(start_bytes);
    let capacity = (left as f64 * BUDGET_SHARE) as usize;
    if capacity < MIN_BUDGET_BYTES {
        tracing::warn!(
            memory_limit_mb,
            start_bytes,
            "the memory limit is too low to be kept; raise limits.memory_mb"
        );
    }
    Budget::new(capacity.max(MIN_BUDGET_BYTES))
}

#[cfg(test)]
mod tests;
