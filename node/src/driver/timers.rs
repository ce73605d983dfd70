//! Timer queue of the driver.

use std::collections::BTreeSet;

use brookfield::{Nanos, RequestId};

/// What to do when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Pass this token to the balancer.
    Balancer(u64),
    /// Fail the request if it still has no final response.
    Watchdog(RequestId),
}

/// The pending timers, earliest first: at most one for each open request, plus those of the balancer.
#[derive(Default)]
pub struct TimerQueue(BTreeSet<(Nanos, Timer)>);

impl TimerQueue {
    /// Sets a timer and returns whether it expires before all others.
    pub fn set(&mut self, at: Nanos, timer: Timer) -> bool {
        let first = self.next().is_none_or(|next| at < next);
        self.0.insert((at, timer));
        first
    }

    /// Cancels a timer, if it has not expired yet.
    pub fn clear(&mut self, at: Nanos, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// When the next timer expires.
    pub fn next(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that has expired.
    pub fn pop(&mut self, now: Nanos) -> Option<Timer> {
        self.0.first().filter(|(at, _)| *at <= now)?;
        self.0.pop_first().map(|(_, timer)| timer)
    }

    /// All pending timers, earliest first.
    #[cfg(test)]
    pub fn all(&self) -> impl Iterator<Item = Timer> {
        self.0.iter().map(|(_, timer)| *timer)
    }
}
