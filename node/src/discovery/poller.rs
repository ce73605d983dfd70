//! Decides when to poll discovery and how long to wait for each response, as a state machine: time is an
//! argument, and the caller owns the sockets.
//!
//! The contract sets a time from which the node counts as notified of a change of the list and must act on
//! it. The timeouts make sure that the node has received the change by then, or at most the grace period of a
//! drain later. With an agent on the node's machine, the node counts as notified when the agent has the
//! change, also right after an outage of the agent. If a poll hangs, the node counts as notified of the
//! changes it missed 6 s after it began to hang or 2 s after its hold time, whichever is later; after a
//! failed poll, 6 s after the change, however long the next hold time is. An overdue poll is therefore not
//! waited for: another one is started beside it.

use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Timeouts of polls.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Hold time of a long poll: usually, and for the first one after a failure.
    pub hold: (Duration, Duration),
    /// A long poll times out this long after its hold time.
    pub hold_margin: Duration,
    /// Timeout of a poll without a hold time: the first, and the maximum as it doubles with each failure.
    pub response: (Duration, Duration),
    /// A poll is overdue this long after its hold time, and another one is started beside it ...
    pub overdue_after: Duration,
    /// ... while fewer than this many are in flight.
    pub max_in_flight: usize,
    /// Backoff after a failure: the first, and the maximum as it doubles with each further failure.
    pub backoff: (Duration, Duration),
}

impl Timeouts {
    /// For an agent on the node's own machine, where polls are cheap. A poll with a hold time of 2 s that
    /// hangs is overdue 3.75 s before the node counts as notified of the changes it missed. When the agent is
    /// back, a poll is started within the 500 ms of the drain grace period, whether the agent had refused
    /// polls, dropped them or queued them.
    pub const PUSHED: Self = Self {
        hold: (ms(2000), ms(2000)),
        hold_margin: ms(500),
        response: (ms(1000), ms(1000)),
        overdue_after: ms(250),
        max_in_flight: 4,
        backoff: (ms(50), ms(200)),
    };
    /// For one service that all nodes poll: hold times are long and only one poll is in flight. A long poll
    /// times out 1.5 s before the node counts as notified of the changes it missed, and the longest response
    /// timeout and backoff together fit into 6 s. After a failure the node counts as notified of a change
    /// after 6 s whatever the hold time, so the first hold time is short enough for a timeout and one more
    /// poll. The balancer usually requests the next poll before the backoff ends.
    pub const ON_REQUEST: Self = Self {
        hold: (ms(20_000), ms(3500)),
        hold_margin: ms(500),
        response: (ms(1000), ms(2000)),
        overdue_after: ms(500),
        max_in_flight: 1,
        backoff: (ms(3500), ms(3500)),
    };
}

/// A poll to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Identifies the poll when it ends.
    pub id: u64,
    /// Revision to get changes since; none for the full list.
    pub from: Option<u64>,
    /// How long the server may hold the response until there is a change.
    pub hold: Duration,
    pub timeout: Duration,
}

/// State of polling. All times count from a fixed start that the caller chooses.
#[derive(Clone, Debug)]
pub struct Poller {
    timeouts: Timeouts,
    rev: Option<u64>,
    /// Polls in flight, at most [`Timeouts::max_in_flight`], and whether each is a long poll.
    in_flight: Vec<(u64, bool)>,
    next_id: u64,
    due: Option<Duration>,
    failures: u32,
    /// Whether a poll has failed since the last response to a long poll.
    failed_since_long_poll: bool,
    /// Whether the last response was to a poll without a hold time, and so has the current list.
    is_current: bool,
}

impl Poller {
    /// Creates a poller that has the list of revision `rev`. The first poll is due at once.
    pub fn new(timeouts: Timeouts, rev: Option<u64>) -> Self {
        Self {
            timeouts,
            rev,
            in_flight: Vec::new(),
            next_id: 0,
            due: Some(Duration::ZERO),
            failures: 0,
            failed_since_long_poll: false,
            is_current: false,
        }
    }

    /// When the next poll is due; none while responses are awaited.
    pub fn due(&self) -> Option<Duration> {
        self.due.filter(|_| self.in_flight.len() < self.timeouts.max_in_flight)
    }

    /// The next poll, if one is due. `full` requests the full list; `connected` says whether the
    /// connection of the last response is still open.
    pub fn next(&mut self, now: Duration, full: bool, connected: bool) -> Option<PollRequest> {
        self.due().filter(|due| *due <= now)?;
        let from = self.rev.filter(|_| !full);
        let Timeouts { hold, hold_margin, response, overdue_after, max_in_flight, .. } = self.timeouts;
        // With an agent, the node counts as notified of changes while a new connection is being opened, so
        // the first poll over it has no hold time. If the agent closes every connection, such a poll is
        // followed by one with a hold time.
        let reconnecting = max_in_flight > 1 && !connected && !self.is_current;
        // After a failure or beside an overdue poll the response must not be held.
        let may_hold = from.is_some() && self.failures == 0 && self.in_flight.is_empty() && !reconnecting;
        let hold = match (may_hold, self.failed_since_long_poll) {
            (false, _) => Duration::ZERO,
            (true, false) => hold.0,
            (true, true) => hold.1,
        };
        let is_long_poll = hold > Duration::ZERO;
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight.push((id, is_long_poll));
        self.due = (max_in_flight > 1).then(|| now + hold + overdue_after);
        let timeout = if is_long_poll { hold + hold_margin } else { backed_off(response, self.failures) };
        Some(PollRequest { id, from, hold, timeout })
    }

    /// Handles a response with this revision, a full list or changes. The caller drops all other polls in
    /// flight. Returns whether the list can be applied: changes up to an older revision come from a restarted
    /// server, so the full list is fetched next.
    pub fn on_response(&mut self, now: Duration, id: u64, rev: u64, full: bool) -> bool {
        let is_long_poll = self.in_flight.contains(&(id, true));
        let applicable = full || self.rev.is_none_or(|known| known <= rev);
        self.rev = applicable.then_some(rev);
        self.in_flight.clear();
        self.failed_since_long_poll &= !is_long_poll;
        (self.failures, self.due, self.is_current) = (0, Some(now), !is_long_poll);
        applicable
    }

    /// Handles a poll that failed or timed out.
    pub fn on_failure(&mut self, now: Duration, id: u64) {
        self.in_flight.retain(|poll| poll.0 != id);
        let retry_at = now + backed_off(self.timeouts.backoff, self.failures);
        self.failures = self.failures.saturating_add(1);
        (self.failed_since_long_poll, self.is_current) = (true, false);
        self.due = Some(self.due.map_or(retry_at, |due| due.min(retry_at)));
    }

    /// Handles the balancer's request for a poll, unless one is already in flight.
    pub fn poll_requested(&mut self, now: Duration) {
        if self.in_flight.is_empty() {
            self.due = Some(now);
        }
    }

    /// Handles a new address of discovery. Its revisions may differ, so the full list is fetched. The caller
    /// drops all polls in flight.
    pub fn address_changed(&mut self, now: Duration) {
        *self = Self { due: Some(now), next_id: self.next_id, ..Self::new(self.timeouts, None) };
    }
}

/// Doubles the first duration with each failure, up to a maximum.
fn backed_off((first, max): (Duration, Duration), failures: u32) -> Duration {
    first.saturating_mul(1 << failures.min(8)).min(max)
}

#[cfg(test)]
mod tests;
