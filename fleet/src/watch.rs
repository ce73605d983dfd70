//! A client of the registry as a state machine: which replica it asks for what, and when; and what it makes of the answer.
//! Time and luck are arguments.
//!
//! It has one version of the list, which never steps back, whichever replica it asks. While no replica answers, what it
//! has stands, with its age. A new incarnation of the registry (a restore, or a new start from nothing) may not know
//! yet who is in service: what it lists counts, and those that it does not list stay for [`Rules::settle`], in which
//! they register again.

use std::time::Duration;

/// Where the list is, and is watched.
pub const PATH: &str = "/registry/instances";
/// The header that says how old an answer's list may be at most, in milliseconds, or `unknown`.
pub const AGE: &str = "x-list-age-ms";

/// How patient a client is.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// How long a watch may wait for news.
    pub hold: Duration,
    /// The first wait after every replica has failed, and the longest.
    pub again: (Duration, Duration),
    /// Calls are no closer together than this, however fast the list changes.
    pub pace: Duration,
    /// A replica whose answers are older than this is left for another one.
    pub stale: Duration,
    /// How long a new incarnation has to learn of everybody.
    pub settle: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self { hold: ms(5000), again: (ms(50), ms(2000)), pace: ms(20), stale: ms(5000), settle: ms(30_000) }
    }
}

/// What is asked of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Which one, by its place among the addresses.
    pub replica: usize,
    /// Changes since this version; none for the whole list.
    pub from: Option<u64>,
    /// The newest version that was ever seen: a replica that has not reached it must not answer.
    pub seen: Option<u64>,
    /// How long it may wait for news; nothing where the whole list is wanted.
    pub hold: Duration,
}

impl Ask {
    /// Path and query of the call.
    pub fn target(&self) -> String {
        let mut target = format!("{PATH}?hold_ms={}", self.hold.as_millis());
        for (name, value) in [("from", self.from), ("seen", self.seen)] {
            value.into_iter().for_each(|value| target.push_str(&format!("&{name}={value}")));
        }
        target
    }
}

/// What an answer says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The registry's incarnation.
    pub incarnation: u64,
    /// The version that the client has with it.
    pub rev: u64,
    /// Whether it is the whole list.
    pub all: bool,
    /// How old it may be at most; none if the replica can't tell.
    pub age: Option<Duration>,
}

/// What is to be done with an answer's lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// They are the whole list: who is missing has gone.
    Whole,
    /// They change the list; who is missing stays.
    Changes,
    /// Nothing: it is older than what the client has.
    Nothing,
}

/// A client of the registry.
#[derive(Clone, Debug)]
pub struct Follower {
    rules: Rules,
    replicas: usize,
    at: usize,
    /// What it has: incarnation and version.
    has: Option<(u64, u64)>,
    /// As of when the list is known to be true; a time of its own clock.
    as_of: Option<Duration>,
    /// Until when a new incarnation is learning who is there.
    settles: Option<Duration>,
    /// Whether the whole list is wanted next.
    whole: bool,
    /// Failures in a row, and how many replicas in a row said that they know little.
    failures: u32,
    stale: usize,
    not_before: Duration,
}

impl Follower {
    /// A client of so many replicas. `luck`, from 0 to 1, says which one it asks first, so that a fleet spreads.
    pub fn new(rules: Rules, replicas: usize, luck: f64) -> Self {
        let replicas = replicas.max(1);
        Self {
            rules,
            replicas,
            at: ((luck * replicas as f64) as usize).min(replicas - 1),
            has: None,
            as_of: None,
            settles: None,
            whole: true,
            failures: 0,
            stale: 0,
            not_before: Duration::ZERO,
        }
    }

    /// The next call, and not before when.
    pub fn next(&mut self, now: Duration) -> (Duration, Ask) {
        if self.settles.is_some_and(|until| until <= now) {
            // Who has not registered by now has gone.
            self.whole = true;
        }
        let from = self.has.filter(|_| !self.whole).map(|(_, rev)| rev);
        // A watch must not outlast the time that a new incarnation has.
        let left =
            self.settles.map_or(self.rules.hold, |until| until.saturating_sub(now).max(self.rules.pace));
        // Whoever was just kept waiting wants an answer, not news: what a silent watch missed counts as told 2 s after
        // its wait, and the next replica may be as silent.
        let waits = from.is_some() && self.failures == 0;
        let hold = if waits { self.rules.hold.min(left) } else { Duration::ZERO };
        let ask = Ask { replica: self.at, from, seen: self.has.map(|(_, rev)| rev), hold };
        (self.not_before.max(now), ask)
    }

    /// A replica has answered with a list; the call went out at `asked`.
    pub fn answered(&mut self, asked: Duration, now: Duration, head: Head) -> Take {
        self.failures = 0;
        self.not_before = asked + self.rules.pace;
        let stale = head.age.is_none_or(|age| age > self.rules.stale);
        if stale && self.stale + 1 < self.replicas {
            // Another one may know more; what this one knows counts all the same.
            self.stale += 1;
            self.at = (self.at + 1) % self.replicas;
        } else if !stale {
            self.stale = 0;
        }
        if let Some(age) = head.age {
            let as_of = now.saturating_sub(age);
            self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
        }
        match self.has {
            Some((incarnation, rev)) if (head.incarnation, head.rev) < (incarnation, rev) => {
                return Take::Nothing;
            }
            Some((incarnation, _)) if head.incarnation > incarnation => {
                self.settles = Some(now + self.rules.settle);
            }
            _ => {}
        }
        // Changes make sense only to whom they were told for.
        let whole = std::mem::replace(&mut self.whole, false);
        if !head.all && (whole || self.has.is_none()) {
            self.whole = true;
            return Take::Nothing;
        }
        self.has = Some((head.incarnation, head.rev));
        match self.settles {
            Some(until) if now < until => Take::Changes,
            Some(_) if head.all => {
                self.settles = None;
                Take::Whole
            }
            _ if head.all => Take::Whole,
            _ => Take::Changes,
        }
    }

    /// A replica did not answer, or with no list. `after` is the wait that it asked for, if it did; `luck`, from 0 to 1,
    /// spreads the calls of a fleet.
    pub fn failed(&mut self, now: Duration, after: Option<Duration>, luck: f64) {
        self.at = (self.at + 1) % self.replicas;
        self.failures = self.failures.saturating_add(1);
        let rounds = self.failures / self.replicas as u32;
        let (first, longest) = self.rules.again;
        let wait = if rounds == 0 {
            // Another one is asked almost at once; the spread keeps a fleet from falling on it in one instant.
            first
        } else {
            first.saturating_mul(1 << rounds.min(16)).min(longest)
        };
        let wait = wait.max(after.unwrap_or_default().min(longest));
        self.not_before = now + wait.mul_f64(0.5 + 0.5 * luck.clamp(0.0, 1.0));
    }

    /// The whole list is wanted next.
    pub fn want_whole(&mut self) {
        self.whole = true;
    }

    /// The replicas are others now, so many of them. It is the same registry: the version stands.
    pub fn moved(&mut self, replicas: usize) {
        self.replicas = replicas.max(1);
        (self.at, self.failures, self.stale) = (0, 0, 0);
        self.not_before = Duration::ZERO;
    }

    /// Whether no replica has answered since each was asked.
    pub fn is_alone(&self) -> bool {
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
        self.at
    }

    /// The version that it has.
    pub fn rev(&self) -> Option<u64> {
        self.has.map(|(_, rev)| rev)
    }
}

#[cfg(test)]
mod tests;
