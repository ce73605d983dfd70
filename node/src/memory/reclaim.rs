//! Gives back memory while others wait for it: first what is only kept for later use, then that of evicted holders.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::budget::Budget;
use super::eviction;

/// How long evicted holders have to give up their bytes before others are chosen.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(10);

/// Gives back memory for as long as somebody waits for a permit; never returns. `release_unused` is called with the number of
/// bytes that there is no room for, gives back memory that nobody uses now, and returns how much.
pub async fn reclaim(budget: Budget, release_unused: impl Fn(usize) -> usize) {
    loop {
        budget.shortage().await;
        while let Some(missing) = budget.missing() {
            let released = release_unused(budget.missing_room());
            let missing = missing.saturating_sub(released);
            let chosen = eviction::choose(budget.candidates(Instant::now()), missing);
            if released > 0 || !chosen.is_empty() {
                tracing::debug!(missing, released, evicted = chosen.len(), "memory is short; reclaiming");
                budget.evict(&chosen);
            }
            sleep(RECLAIM_INTERVAL).await;
        }
    }
}
