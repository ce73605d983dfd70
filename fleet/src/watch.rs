//! A client of the registry as a state machine: which replica it asks for what, and when; and what it makes of the answer.
//! Time and luck are arguments.
//!
//! It has one version of the list, which never steps back, whichever replica it asks. While no replica answers, what it
//! has stands, with its age. A new incarnation of the registry (a restore, or a new start from nothing) may not know
//! yet who is in service: what it lists counts, and those that it does not list stay for [`WatchPolicy::incarnation_grace`], in which
//! they register again.

use std::time::Duration;

/// Where the list is, and is watched.
pub const INSTANCES_PATH: &str = "/registry/instances";
/// The header that says how old an answer's list may be at most, in milliseconds, or `unknown`.
pub const LIST_AGE_HEADER: &str = "x-list-age-ms";

/// How patient a client is.
#[derive(Clone, Copy, Debug)]
pub struct WatchPolicy {
    /// How long a watch may wait for news.
    pub hold: Duration,
    /// The first wait after every replica has failed, and the longest.
    pub retry_backoff: (Duration, Duration),
    /// Calls are no closer together than this, however fast the list changes.
    pub min_interval: Duration,
    /// A replica whose answers are older than this is left for another one.
    pub max_age: Duration,
    /// How long a new incarnation has to learn of everybody.
    pub incarnation_grace: Duration,
}

impl Default for WatchPolicy {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            hold: ms(5000),
            retry_backoff: (ms(50), ms(2000)),
            min_interval: ms(20),
            max_age: ms(5000),
            incarnation_grace: ms(30_000),
        }
    }
}

/// What is asked of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// Which one, by its place among the addresses.
    pub replica: usize,
    /// Changes since this version; none for the whole list.
    pub from: Option<u64>,
    /// The newest version that was ever seen: a replica that has not reached it must not answer.
    pub seen: Option<u64>,
    /// How long it may wait for news; nothing where the whole list is wanted.
    pub hold: Duration,
}

impl WatchRequest {
    /// Path and query of the call.
    pub fn path_and_query(&self) -> String {
        let mut path_and_query = format!("{INSTANCES_PATH}?hold_ms={}", self.hold.as_millis());
        for (name, value) in [("from", self.from), ("seen", self.seen)] {
            value.into_iter().for_each(|value| path_and_query.push_str(&format!("&{name}={value}")));
        }
        path_and_query
    }
}

/// What an answer says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListHeader {
    /// The registry's incarnation.
    pub incarnation: u64,
    /// The version that the client has with it.
    pub rev: u64,
    /// Whether it is the whole list.
    pub full: bool,
    /// How old it may be at most; none if the replica can't tell.
    pub age: Option<Duration>,
}

/// What is to be done with an answer's lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// They are the whole list: who is missing has gone.
    Full,
    /// They change the list; who is missing stays.
    Changes,
    /// Nothing: it is older than what the client has.
    Ignore,
}

/// A client of the registry.
#[derive(Clone, Debug)]
pub struct WatchClient {
    policy: WatchPolicy,
    replicas: usize,
    replica_index: usize,
    /// What it has: incarnation and version.
    current: Option<(u64, u64)>,
    /// As of when the list is known to be true; a time of its own clock.
    as_of: Option<Duration>,
    /// Until when a new incarnation is learning who is there.
    grace_until: Option<Duration>,
    /// Whether the whole list is wanted next.
    full_list_wanted: bool,
    /// Failures in a row, and how many replicas in a row said that they know little.
    failures: u32,
    consecutive_stale: usize,
    next_call_at: Duration,
}

impl WatchClient {
    /// A client of so many replicas. `random`, from 0 to 1, says which one it asks first, so that a fleet spreads.
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
            failures: 0,
            consecutive_stale: 0,
            next_call_at: Duration::ZERO,
        }
    }

    /// The next call, and not before when.
    pub fn next_request(&mut self, now: Duration) -> (Duration, WatchRequest) {
        if self.grace_until.is_some_and(|until| until <= now) {
            // Who has not registered by now has gone.
            self.full_list_wanted = true;
        }
        let from = self.current.filter(|_| !self.full_list_wanted).map(|(_, rev)| rev);
        // A watch must not outlast the time that a new incarnation has.
        let left = self
            .grace_until
            .map_or(self.policy.hold, |until| until.saturating_sub(now).max(self.policy.min_interval));
        // Whoever was just kept waiting wants an answer, not news: what a silent watch missed counts as told 2 s after
        // its wait, and the next replica may be as silent.
        let long_poll = from.is_some() && self.failures == 0;
        let hold = if long_poll { self.policy.hold.min(left) } else { Duration::ZERO };
        let request =
            WatchRequest { replica: self.replica_index, from, seen: self.current.map(|(_, rev)| rev), hold };
        (self.next_call_at.max(now), request)
    }

    /// A replica has answered with a list; the call went out at `sent_at`.
    pub fn on_response(&mut self, sent_at: Duration, now: Duration, header: ListHeader) -> ListUpdate {
        self.failures = 0;
        self.next_call_at = sent_at + self.policy.min_interval;
        let stale = header.age.is_none_or(|age| age > self.policy.max_age);
        if stale && self.consecutive_stale + 1 < self.replicas {
            // Another one may know more; what this one knows counts all the same.
            self.consecutive_stale += 1;
            self.replica_index = (self.replica_index + 1) % self.replicas;
        } else if !stale {
            self.consecutive_stale = 0;
        }
        if let Some(age) = header.age {
            let as_of = now.saturating_sub(age);
            self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
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
        // Changes make sense only to whom they were told for.
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

    /// A replica did not answer, or with no list. `after` is the wait that it asked for, if it did; `random`, from 0 to 1,
    /// spreads the calls of a fleet.
    pub fn on_failure(&mut self, now: Duration, after: Option<Duration>, random: f64) {
        self.replica_index = (self.replica_index + 1) % self.replicas;
        self.failures = self.failures.saturating_add(1);
        let rounds = self.failures / self.replicas as u32;
        let (first, longest) = self.policy.retry_backoff;
        let wait = if rounds == 0 {
            // Another one is asked almost at once; the spread keeps a fleet from falling on it in one instant.
            first
        } else {
            first.saturating_mul(1 << rounds.min(16)).min(longest)
        };
        let wait = wait.max(after.unwrap_or_default().min(longest));
        self.next_call_at = now + wait.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
    }

    /// The whole list is wanted next.
    pub fn request_full_list(&mut self) {
        self.full_list_wanted = true;
    }

    /// The replicas are others now, so many of them. It is the same registry: the version stands.
    pub fn set_replicas(&mut self, replicas: usize) {
        self.replicas = replicas.max(1);
        (self.replica_index, self.failures, self.consecutive_stale) = (0, 0, 0);
        self.next_call_at = Duration::ZERO;
    }

    /// Whether no replica has answered since each was asked.
    pub fn all_replicas_failed(&self) -> bool {
        self.failures as usize >= self.replicas
    }

    /// How old the list is at most; none if it was never known to be true.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// As of when the list is known to be true; none if it never was.
    pub fn as_of(&self) -> Option<Duration> {
        self.as_of
    }

    /// Which replica is asked now, by its place among the addresses.
    pub fn replica(&self) -> usize {
        self.replica_index
    }

    /// The version that it has.
    pub fn rev(&self) -> Option<u64> {
        self.current.map(|(_, rev)| rev)
    }
}

#[cfg(test)]
mod tests;
