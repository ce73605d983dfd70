//! Decides when to poll discovery and how long to wait for each response, as a state machine: time is an
//! argument, and the caller owns the sockets.
//!
//! The contract sets a time from which the node counts as notified of a change of the list and must act on
//! it. The timeouts make sure that the node has received the change by then, or at most the grace period of a
//! drain later. With an agent on the node's machine, the node counts as notified when the agent has the
//! change, also right after an outage of the agent. If a poll hangs, the node counts as notified of the
//! changes it missed 6 s after it began to hang or 2 s after its hold time, whichever is later; after a
//! failed poll, 6 s after the change, however long the next hold time is.
//!
//! A poll that hangs cannot be told from one whose response is slow. Therefore an overdue poll is neither
//! waited for nor given up at once: another one is started beside it, and its response is accepted for as long
//! as no newer one has arrived. The measured latency of discovery sets when a poll is overdue.

use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long one poll is waited for once a whole round of polls has timed out, so that the node learns of changes however
/// slow discovery is.
const PATIENT_TIMEOUT: Duration = ms(30_000);
/// The node counts as notified of a change of the list this long after it at the latest.
const MAX_CHANGE_DELAY: Duration = ms(6000);

/// Timeouts of polls.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Hold time of a long poll: usually, and for the first one after a failure.
    pub hold: (Duration, Duration),
    /// A long poll times out this long after its hold time, or after twice the latency of discovery if that is
    /// longer.
    pub hold_margin: Duration,
    /// Timeout of a poll without a hold time, likewise.
    pub response: Duration,
    /// Another poll is started beside the newest one this long after its hold time, or beside an older one
    /// once that is overdue ...
    pub overdue_after: Duration,
    /// ... if the newest one was started at least this long ago ...
    pub min_interval: Duration,
    /// ... while fewer than this many are in flight.
    pub max_in_flight: usize,
    /// The latency of discovery is added to `overdue_after` up to this maximum.
    pub max_expected_latency: Duration,
    /// Backoff after a failure: the first, and the maximum as it doubles with each further failure.
    pub backoff: (Duration, Duration),
    /// Whether the node counts as notified of changes while it opens a connection.
    pub notified_while_connecting: bool,
}

impl Timeouts {
    /// For an agent on the node's own machine, where polls are cheap. A poll with a hold time of 2 s that
    /// hangs is overdue 3.75 s before the node counts as notified of the changes it missed. When the agent is
    /// back, a poll is started within the 500 ms of the drain grace period, whether the agent had refused
    /// polls, dropped them or queued them.
    pub const PUSHED: Self = Self {
        hold: (ms(2000), ms(2000)),
        hold_margin: ms(500),
        response: ms(1000),
        overdue_after: ms(250),
        min_interval: ms(250),
        max_in_flight: 5,
        max_expected_latency: Duration::ZERO,
        backoff: (ms(50), ms(200)),
        notified_while_connecting: true,
    };
    /// For one service that all nodes poll: hold times are long, and more than one poll is in flight only
    /// while responses are late. A long poll is followed by another one 1.5 s before the node counts as
    /// notified of the changes it missed. While nothing is known of the latency, polls start often enough for
    /// a response that takes 5 s to bring each change within 6 s. After a failure the node counts as notified
    /// of a change after 6 s whatever the hold time, so the first hold time is short enough for one more poll.
    /// The balancer usually requests the next poll before the backoff ends.
    pub const ON_REQUEST: Self = Self {
        hold: (ms(20_000), ms(3500)),
        hold_margin: ms(2000),
        response: ms(6000),
        overdue_after: ms(500),
        min_interval: ms(1100),
        max_in_flight: 5,
        max_expected_latency: ms(6000),
        backoff: (ms(3500), ms(3500)),
        notified_while_connecting: false,
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

/// A poll that has been started.
#[derive(Clone, Copy, Debug)]
struct PollInFlight {
    id: u64,
    started_at: Duration,
    hold: Duration,
    timeout: Duration,
}

impl PollInFlight {
    fn is_long_poll(&self) -> bool {
        self.hold > Duration::ZERO
    }

    fn held_until(&self) -> Duration {
        self.started_at + self.hold
    }
}

/// State of polling. All times count from a fixed start that the caller chooses.
#[derive(Clone, Debug)]
pub struct Poller {
    timeouts: Timeouts,
    rev: Option<u64>,
    /// Polls in flight, oldest first, at most [`Timeouts::max_in_flight`].
    in_flight: Vec<PollInFlight>,
    next_id: u64,
    /// When the next poll is due at the latest: after a response, after a failure, or as requested.
    scheduled_at: Option<Duration>,
    failures: u32,
    /// Whether a poll has failed or was given up since the last response to a long poll.
    failed_since_long_poll: bool,
    /// Whether the last response was to a poll without a hold time, and so has the current list.
    is_current: bool,
    /// How long discovery took to respond when last measured, beyond the hold time.
    latency: Duration,
}

impl Poller {
    /// Creates a poller that has the list of revision `rev`. The first poll is due at once.
    pub fn new(timeouts: Timeouts, rev: Option<u64>) -> Self {
        Self {
            timeouts,
            rev,
            in_flight: Vec::new(),
            next_id: 0,
            scheduled_at: Some(Duration::ZERO),
            failures: 0,
            failed_since_long_poll: false,
            is_current: false,
            latency: Duration::ZERO,
        }
    }

    /// When the next poll is due; none while responses are awaited.
    pub fn due(&self) -> Option<Duration> {
        let Some(newest) = self.in_flight.last() else { return self.scheduled_at };
        if self.in_flight.len() >= self.timeouts.max_in_flight {
            return None;
        }
        let successor_at = newest.held_until() + self.timeouts.overdue_after;
        let overdue_at = self.in_flight.iter().map(|poll| self.overdue_at(poll));
        let beside_at = overdue_at.fold(successor_at, Duration::min);
        let beside_at = beside_at.max(newest.started_at + self.timeouts.min_interval);
        Some(self.scheduled_at.map_or(beside_at, |scheduled_at| scheduled_at.min(beside_at)))
    }

    /// The next poll, if one is due. `full` requests the full list; `connected` says whether the
    /// connection of the last response is still open.
    pub fn next(&mut self, now: Duration, full: bool, connected: bool) -> Option<PollRequest> {
        self.due().filter(|due| *due <= now)?;
        let from = self.rev.filter(|_| !full);
        // The first poll over a new connection then has no hold time. If the agent closes every connection,
        // such a poll is followed by one with a hold time.
        let reconnecting = self.timeouts.notified_while_connecting && !connected && !self.is_current;
        // After a failure or beside an overdue poll the response must not be held.
        let any_overdue = self.in_flight.iter().any(|poll| self.overdue_at(poll) <= now);
        let may_hold = from.is_some() && self.failures == 0 && !any_overdue && !reconnecting;
        let hold = match (may_hold, self.failed_since_long_poll) {
            (false, _) => Duration::ZERO,
            (true, false) => self.timeouts.hold.0.min(self.max_hold()),
            (true, true) => self.timeouts.hold.1.min(self.max_hold()),
        };
        let id = self.next_id;
        self.next_id += 1;
        let timeout = self.timeout(hold);
        self.in_flight.push(PollInFlight { id, started_at: now, hold, timeout });
        self.scheduled_at = None;
        Some(PollRequest { id, from, hold, timeout })
    }

    /// Whether this poll has neither ended nor been given up.
    pub fn is_in_flight(&self, id: u64) -> bool {
        self.in_flight.iter().any(|poll| poll.id == id)
    }

    /// How long discovery took to respond when last measured, beyond the hold time.
    pub fn latency(&self) -> Duration {
        self.latency
    }

    /// Handles a response with this revision, a full list or changes, to a poll in flight. Older polls are
    /// given up, as are newer ones that should have been responded to as well. Returns whether the list can
    /// be applied: changes up to an older revision come from a restarted server, so the full list is fetched
    /// next.
    pub fn on_response(&mut self, now: Duration, id: u64, rev: u64, full: bool) -> bool {
        let Some(index) = self.in_flight.iter().position(|poll| poll.id == id) else { return false };
        let mut newer = self.in_flight.split_off(index);
        let poll = newer.remove(0);
        // A response before the end of the hold time brings a change, and shows no latency.
        if now >= poll.held_until() {
            self.latency = now - poll.held_until();
        }
        let newer_count = newer.len();
        newer.retain(|poll| now.saturating_sub(poll.started_at) < self.expected_latency());
        let applicable = full || self.rev.is_none_or(|known| known <= rev);
        if !applicable {
            newer.clear();
        }
        let given_up = index > 0 || newer.len() < newer_count;
        self.in_flight = newer;
        self.rev = applicable.then_some(rev);
        self.failed_since_long_poll = given_up || (self.failed_since_long_poll && !poll.is_long_poll());
        self.failures = 0;
        self.is_current = !poll.is_long_poll();
        self.scheduled_at = self.in_flight.is_empty().then_some(now);
        applicable
    }

    /// Handles a poll that failed or timed out.
    pub fn on_failure(&mut self, now: Duration, id: u64) {
        let Some(index) = self.in_flight.iter().position(|poll| poll.id == id) else { return };
        let poll = self.in_flight.remove(index);
        let timed_out = now >= poll.started_at + poll.timeout;
        // One of several that hang is replaced at once, which keeps the intervals between them.
        let backoff = if timed_out && !self.in_flight.is_empty() {
            Duration::ZERO
        } else {
            backed_off(self.timeouts.backoff, self.failures)
        };
        let retry_at = now + backoff;
        self.failures = self.failures.saturating_add(1);
        (self.failed_since_long_poll, self.is_current) = (true, false);
        self.scheduled_at = Some(self.due().map_or(retry_at, |due| due.min(retry_at)));
    }

    /// Handles the balancer's request for a poll, unless one is already in flight.
    pub fn poll_requested(&mut self, now: Duration) {
        if self.in_flight.is_empty() {
            self.scheduled_at = Some(now);
        }
    }

    /// Handles a new address of discovery. Its revisions may differ, so the full list is fetched. The caller
    /// drops all polls in flight.
    pub fn address_changed(&mut self, now: Duration) {
        *self = Self { scheduled_at: Some(now), next_id: self.next_id, ..Self::new(self.timeouts, None) };
    }

    /// The latency that polls are given before they are overdue.
    fn expected_latency(&self) -> Duration {
        self.latency.min(self.timeouts.max_expected_latency)
    }

    /// Longest hold time at this latency. Changes that follow the one that ends a long poll are in the response to the next
    /// poll only: where that cannot wait for the first response, polls with short hold times overlap.
    fn max_hold(&self) -> Duration {
        let latency = self.expected_latency();
        if 2 * latency <= MAX_CHANGE_DELAY {
            return Duration::MAX;
        }
        MAX_CHANGE_DELAY.saturating_sub(latency + self.timeouts.overdue_after)
    }

    fn overdue_at(&self, poll: &PollInFlight) -> Duration {
        poll.held_until() + self.expected_latency() + self.timeouts.overdue_after
    }

    /// Timeout of a new poll.
    fn timeout(&self, hold: Duration) -> Duration {
        let is_long_poll = hold > Duration::ZERO;
        let all_timed_out = self.failures as usize >= self.timeouts.max_in_flight;
        if all_timed_out && self.in_flight.iter().all(|poll| poll.timeout < PATIENT_TIMEOUT) {
            return PATIENT_TIMEOUT;
        }
        let usual = if is_long_poll { self.timeouts.hold_margin } else { self.timeouts.response };
        hold + usual.max(2 * self.latency)
    }
}

/// Doubles the first duration with each failure, up to a maximum.
fn backed_off((first, max): (Duration, Duration), failures: u32) -> Duration {
    first.saturating_mul(1 << failures.min(8)).min(max)
}

#[cfg(test)]
mod tests;
