//! Evicts holders of memory while others wait for it.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::budget::Budget;
use super::eviction;

/// How long evicted holders have to give up their bytes before others are chosen.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(10);

/// Evicts holders for as long as somebody waits for a permit; never returns.
pub async fn reclaim(budget: Budget) {
    loop {
        budget.shortage().await;
        while let Some(missing) = budget.missing() {
            let chosen = eviction::choose(budget.candidates(Instant::now()), missing);
            if !chosen.is_empty() {
                tracing::debug!(missing, evicted = chosen.len(), "memory is short; evicting");
                budget.evict(&chosen);
            }
            sleep(RECLAIM_INTERVAL).await;
        }
    }
}
