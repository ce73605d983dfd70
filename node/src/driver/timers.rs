//! What comes due when, and for whom.

use std::collections::BTreeSet;

use brookfield::{Nanos, RequestId};

/// Whom a timer wakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module, with its token.
    Module(u64),
    /// The driver's guard on a request.
    Backstop(RequestId),
}

/// The timers, the earliest first. There is at most one for each open request, and the module's own.
#[derive(Default)]
pub struct Timers(BTreeSet<(Nanos, Due)>);

impl Timers {
    /// Sets a timer. Tells whether it comes before all others.
    pub fn set(&mut self, at: Nanos, due: Due) -> bool {
        let first = self.next().is_none_or(|next| at < next);
        self.0.insert((at, due));
        first
    }

    /// Takes a timer back; nothing happens if it has come due.
    pub fn clear(&mut self, at: Nanos, due: Due) {
        self.0.remove(&(at, due));
    }

    /// When the next one comes due.
    pub fn next(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes the next one out if it is due by now.
    pub fn pop(&mut self, now: Nanos) -> Option<Due> {
        self.0.first().filter(|(at, _)| *at <= now)?;
        self.0.pop_first().map(|(_, due)| due)
    }

    /// All that are set, the earliest first.
    #[cfg(test)]
    pub fn all(&self) -> impl Iterator<Item = Due> {
        self.0.iter().map(|(_, due)| *due)
    }
}
