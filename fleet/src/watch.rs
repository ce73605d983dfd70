//! A client that watches the registry's instance list, as a state machine: it decides which replica to send which
//! request and when, and how to apply the response. Time and randomness are arguments.
//!
//! The client holds one revision of the list, which never goes backwards, whichever replica responds. While no replica
//! responds, the client keeps its list and reports its age. A new incarnation of the registry (after a restore, or a
//! start with empty stores) may not know all instances yet. Its list is merged, and instances that are missing from it
//! are kept for [`WatchPolicy::incarnation_grace`], so that they have time to register again.

use std::time::Duration;

/// Path at which the instance list is read and watched.
pub const INSTANCES_PATH: &str = "/registry/instances";
/// Response header with the upper bound of the list's age in milliseconds, or `unknown`.
pub const LIST_AGE_HEADER: &str = "x-list-age-ms";

/// Timing of a watch client.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// How long a long poll may wait for a change.
    pub hold: Duration,
    /// How long a response may take beyond the hold time: usually, and the maximum as it doubles with each round of
    /// failures of all replicas.
    pub response: (Duration, Duration),
    /// The initial and the maximum backoff after failures.
    pub retry_backoff: (Duration, Duration),
    /// Minimum interval between two requests, however fast the list changes.
    pub min_interval: Duration,
    /// Age of the list beyond which the client tries another replica.
    pub max_age: Duration,
    /// How long instances that a new incarnation does not list are kept.
    pub incarnation_grace: Duration,
}

impl Default for WatchPolicy {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            hold: ms(5000),
            response: (ms(1000), ms(8000)),
            retry_backoff: (ms(50), ms(2000)),
            min_interval: ms(20),
            max_age: ms(5000),
            incarnation_grace: ms(30_000),
        }
    }
}

/// A request to be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Index of the replica among the addresses.
    pub replica: usize,
    /// Revision after which changes are requested; `None` requests the full list.
    pub from: Option<u64>,
    /// Newest revision that the client has seen: a replica that has not reached it must not respond with its list.
    pub seen: Option<u64>,
    /// How long the replica may wait for a change; zero for an immediate response.
    pub hold: Duration,
    /// How long to wait for the response, the hold time included.
    pub timeout: Duration,
}

impl WatchRequest {
    /// Returns the path and query of the request.
    pub fn path_and_query(&self) -> String {
        let mut path_and_query = format!("{INSTANCES_PATH}?hold_ms={}", self.hold.as_millis());
        for (name, value) in [("from", self.from), ("seen", self.seen)] {
            value.into_iter().for_each(|value| path_and_query.push_str(&format!("&{name}={value}")));
        }
        path_and_query
    }
}

/// Metadata of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListHeader {
    /// The registry's incarnation.
    pub incarnation: u64,
    /// The revision that the client holds after applying the response.
    pub rev: u64,
    /// Whether the response is the full list, as opposed to changes.
    pub full: bool,
    /// Upper bound of the list's age; `None` if the replica does not know it.
    pub age: Option<Duration>,
}

/// How the caller must apply the instances of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// They are the full list: instances that are missing have left.
    Full,
    /// They are merged into the list: instances that are missing stay.
    Changes,
    /// They are discarded: the response is older than the client's list, or cannot be applied to it.
    Ignore,
}

/// The state of a watch client.
#[derive(Clone, Debug)]
pub struct WatchClient {
    policy: WatchPolicy,
    replicas: usize,
    replica_index: usize,
    /// Incarnation and revision of the client's list.
    current: Option<(u64, u64)>,
    /// The latest time, on the client's clock, at which the list is known to have been current.
    as_of: Option<Duration>,
    /// End of the grace period after a change of incarnation.
    grace_until: Option<Duration>,
    full_list_wanted: bool,
    consecutive_failures: u32,
    /// Consecutive responses whose list was older than [`WatchPolicy::max_age`].
    consecutive_stale: usize,
    next_call_at: Duration,
    /// Hold time of the last request.
    last_hold: Duration,
    /// How long a response took when last measured, beyond the hold time.
    latency: Duration,
}

impl WatchClient {
    /// Creates a client of this number of replicas. `random`, from 0 to 1, selects the first replica, which distributes
    /// the clients of a fleet.
    pub fn new(policy: WatchPolicy, replicas: usize, random: f64) -> Self {
        let replicas = replicas.max(1);
        Self {
            policy,
            replicas,
            replica_index: ((random * replicas as f64) as usize).min(replicas - 1),
            current: None,
            as_of: None,
            grace_until: None,
            full_list_wanted: true,
            consecutive_failures: 0,
            consecutive_stale: 0,
            next_call_at: Duration::ZERO,
            last_hold: Duration::ZERO,
            latency: Duration::ZERO,
        }
    }

    /// Returns the next request and the earliest time to send it.
    pub fn next_request(&mut self, now: Duration) -> (Duration, WatchRequest) {
        if self.grace_until.is_some_and(|until| until <= now) {
            // The grace period is over: instances that are still missing have left.
            self.full_list_wanted = true;
        }
        let from = self.current.filter(|_| !self.full_list_wanted).map(|(_, rev)| rev);
        // A long poll must not outlast the grace period.
        let max_hold = self
            .grace_until
            .map_or(self.policy.hold, |until| until.saturating_sub(now).max(self.policy.min_interval));
        // After a failure the next replica must respond at once: it may be unresponsive too, and a long poll would add
        // its whole hold time to the delay.
        let long_poll = from.is_some() && self.consecutive_failures == 0;
        let hold = if long_poll { self.policy.hold.min(max_hold) } else { Duration::ZERO };
        self.last_hold = hold;
        let request = WatchRequest {
            replica: self.replica_index,
            from,
            seen: self.current.map(|(_, rev)| rev),
            hold,
            timeout: hold + self.response_timeout(),
        };
        (self.next_call_at.max(now), request)
    }

    /// Handles a list from a replica, which was requested at `sent_at`.
    pub fn on_response(&mut self, sent_at: Duration, now: Duration, header: ListHeader) -> ListUpdate {
        self.consecutive_failures = 0;
        // A response before the end of the hold time brings a change, and shows no latency.
        if let Some(latency) = now.saturating_sub(sent_at).checked_sub(self.last_hold) {
            self.latency = latency;
        }
        self.next_call_at = sent_at + self.policy.min_interval;
        let stale = header.age.is_none_or(|age| age > self.policy.max_age);
        if stale && self.consecutive_stale + 1 < self.replicas {
            // Another replica may be more current. This response is applied nevertheless.
            self.consecutive_stale += 1;
            self.replica_index = (self.replica_index + 1) % self.replicas;
        } else if !stale {
            self.consecutive_stale = 0;
        }
        if let Some(age) = header.age {
            let as_of = now.saturating_sub(age);
            self.as_of = Some(self.as_of.map_or(as_of, |latest| latest.max(as_of)));
        }
        match self.current {
            Some((incarnation, rev)) if (header.incarnation, header.rev) < (incarnation, rev) => {
                return ListUpdate::Ignore;
            }
            Some((incarnation, _)) if header.incarnation > incarnation => {
                self.grace_until = Some(now + self.policy.incarnation_grace);
            }
            _ => {}
        }
        // Changes can only be applied to the revision that they were requested from.
        let full_list_wanted = std::mem::replace(&mut self.full_list_wanted, false);
        if !header.full && (full_list_wanted || self.current.is_none()) {
            self.full_list_wanted = true;
            return ListUpdate::Ignore;
        }
        self.current = Some((header.incarnation, header.rev));
        match self.grace_until {
            Some(until) if now < until => ListUpdate::Changes,
            Some(_) if header.full => {
                self.grace_until = None;
                ListUpdate::Full
            }
            _ if header.full => ListUpdate::Full,
            _ => ListUpdate::Changes,
        }
    }

    /// Handles a request that failed or brought no list. `retry_after` is the wait that the replica asked for, if any;
    /// `random`, from 0 to 1, is the jitter of the backoff.
    pub fn on_failure(&mut self, now: Duration, retry_after: Option<Duration>, random: f64) {
        self.replica_index = (self.replica_index + 1) % self.replicas;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let failed_rounds = self.failed_rounds();
        let (initial, max) = self.policy.retry_backoff;
        let wait = if failed_rounds == 0 {
            // The next replica is tried almost at once; the jitter spreads the requests of a fleet.
            initial
        } else {
            initial.saturating_mul(1 << failed_rounds.min(16)).min(max)
        };
        let wait = wait.max(retry_after.unwrap_or_default().min(max));
        self.next_call_at = now + wait.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
    }

    /// How often all replicas have failed since the last response.
    fn failed_rounds(&self) -> u32 {
        self.consecutive_failures / self.replicas as u32
    }

    /// How long the next response may take beyond the hold time. A registry that is slow must not be taken for one that
    /// does not respond: no list would ever arrive.
    fn response_timeout(&self) -> Duration {
        let (usual, max) = self.policy.response;
        usual.max(2 * self.latency).saturating_mul(1 << self.failed_rounds().min(16)).min(max)
    }

    /// Makes the next request ask for the full list.
    pub fn request_full_list(&mut self) {
        self.full_list_wanted = true;
    }

    /// Replaces the set of replicas by another one of this size, of the same registry: the revision is kept.
    pub fn set_replicas(&mut self, replicas: usize) {
        self.replicas = replicas.max(1);
        (self.replica_index, self.consecutive_failures, self.consecutive_stale) = (0, 0, 0);
        self.next_call_at = Duration::ZERO;
    }

    /// Returns whether every replica has failed since the last response.
    pub fn all_replicas_failed(&self) -> bool {
        self.consecutive_failures as usize >= self.replicas
    }

    /// Returns the upper bound of the list's age; `None` if it is unknown.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Returns the latest time at which the list is known to have been current.
    pub fn as_of(&self) -> Option<Duration> {
        self.as_of
    }

    /// Returns the index of the replica that the next request goes to.
    pub fn replica(&self) -> usize {
        self.replica_index
    }

    /// Returns the revision of the list.
    pub fn rev(&self) -> Option<u64> {
        self.current.map(|(_, rev)| rev)
    }
}

#[cfg(test)]
mod tests;
