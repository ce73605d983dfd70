//! How far an attempt has come: what its end means depends on that, and a response that is still being written is told from
//! one that has stopped.

use std::cell::Cell;

use brookfield::Nanos;

/// A response of which nothing has arrived for this long has stopped.
const MAX_PAUSE_NS: Nanos = 500_000_000;

/// How far an attempt has come.
#[derive(Default)]
pub struct AttemptProgress {
    /// Whether the request may have been written.
    pub written: Cell<bool>,
    /// The start of a connect that is in progress.
    pub connecting: Cell<Option<Nanos>>,
    pub response: ResponseProgress,
}

/// How far the response of an attempt has come.
#[derive(Default)]
pub struct ResponseProgress {
    /// When something of it arrived last; none before its head.
    last_arrival: Cell<Option<Nanos>>,
}

impl ResponseProgress {
    /// Something has arrived.
    pub fn record(&self, now: Nanos) {
        self.last_arrival.set(Some(now));
    }

    /// It is read on once there is memory for it; until then its server is not to blame.
    pub fn wait_for_memory(&self) {
        self.last_arrival.set(Some(Nanos::MAX));
    }

    /// Until when the attempt goes on although its time is over, if a response to it is still being written.
    pub fn continues_until(&self) -> Option<Nanos> {
        self.last_arrival.get().map(|at| at.saturating_add(MAX_PAUSE_NS))
    }
}
