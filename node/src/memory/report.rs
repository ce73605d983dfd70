//! Logs how much memory is held, and for what.

use std::time::Duration;

use tokio::time::sleep;

use super::budget::Budget;
use super::resident::resident_bytes;

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The balance is logged as a warning while more than this part of the budget is held.
const HIGH_WATER_PERCENT: usize = 75;
const BYTES_PER_KB: usize = 1024;

/// Logs the balance each second: as a warning while the budget is almost used up, else at debug; never returns.
pub async fn report(budget: Budget) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let high_water = budget.capacity() / 100 * HIGH_WATER_PERCENT;
        if budget.total() > high_water {
            tracing::warn!(balance = balance(&budget), "most of the memory budget is held");
        } else if tracing::enabled!(tracing::Level::DEBUG) {
            tracing::debug!(balance = balance(&budget), "memory held");
        }
    }
}

/// The bytes held, by kind and in all, beside the resident memory of the process; in KiB.
fn balance(budget: &Budget) -> String {
    let mut parts: Vec<String> = vec![
        format!("total={}", budget.total() / BYTES_PER_KB),
        format!("capacity={}", budget.capacity() / BYTES_PER_KB),
        format!("resident={}", resident_bytes().unwrap_or(0) / BYTES_PER_KB),
    ];
    let held = budget.held().filter(|(_, bytes)| *bytes > 0);
    parts.extend(held.map(|(kind, bytes)| format!("{}={}", kind.name(), bytes / BYTES_PER_KB)));
    parts.join(" ")
}
