//! The decision whose connection is closed when memory is short. No socket and no clock.

use std::time::Duration;

use super::budget::Stage;

/// A request that has been arriving for less than this is left to arrive.
const MIN_RECEIVING_TIME: Duration = Duration::from_millis(300);
/// A response that has been waiting to be read for less than this is left to be read.
const MIN_RESPONDING_TIME: Duration = Duration::from_millis(300);

/// A holder of bytes that may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its account.
    pub account: u64,
    /// What it is doing.
    pub stage: Stage,
    /// Bytes that it holds.
    pub bytes: usize,
    /// How long it has been in its stage.
    pub held_for: Duration,
}

impl Candidate {
    fn is_eligible(&self) -> bool {
        let min_time = match self.stage {
            Stage::Kept => return false,
            Stage::Receiving => MIN_RECEIVING_TIME,
            Stage::Responding => MIN_RESPONDING_TIME,
        };
        self.bytes > 0 && self.held_for >= min_time
    }

    /// Bytes times the time for which they were held.
    fn weight(&self) -> u128 {
        self.bytes as u128 * self.held_for.as_millis()
    }
}

/// Chooses accounts that together give back at least `missing` bytes, as far as there are any: those that hold most for
/// longest first.
pub fn choose(mut candidates: Vec<Candidate>, missing: usize) -> Vec<u64> {
    candidates.retain(Candidate::is_eligible);
    candidates.sort_by_key(|candidate| (std::cmp::Reverse(candidate.weight()), candidate.account));
    let mut freed = 0;
    let chosen = candidates.into_iter().take_while(|candidate| {
        let needed = freed < missing;
        freed += candidate.bytes;
        needed
    });
    chosen.map(|candidate| candidate.account).collect()
}
