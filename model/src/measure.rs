//! What a run comes to: counts, worth, delays from the moment a request was due, and their course by the second.

use std::collections::BTreeMap;

use brookfield::Nanos;
use hdrhistogram::Histogram;

use crate::clients::Ask;
use crate::world::{SECOND, World};

/// Delays are kept from a microsecond to ten minutes, to three digits.
const MOST_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// How a client's request ended, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served.
    Served,
    /// Refused at the last.
    Refused,
    /// Failed, or given up.
    Failed,
    /// Nobody took it.
    Unreachable,
}

/// A second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Requests that were due in it.
    pub asked: u64,
    /// Of these, served within their aim.
    pub in_time: u64,
    /// Served, but late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, given up or not taken.
    pub failed: u64,
    /// Worth asked for.
    pub worth: f64,
    /// Worth earned.
    pub earned: f64,
}

impl Second {
    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.worth += other.worth;
        self.earned += other.earned;
    }
}

/// What a run comes to.
#[derive(Clone)]
pub struct Tally {
    start: Nanos,
    /// By the second in which each request was due.
    pub seconds: Vec<Second>,
    /// By class.
    pub classes: Vec<Second>,
    /// Delays of what was served, from the moment it was due, in microseconds.
    pub served: Histogram<u64>,
    /// Delays of all that ended, in microseconds.
    pub ended: Histogram<u64>,
    /// Tries that clients made.
    pub tries: u64,
    /// Attempts that nodes made.
    pub attempts: u64,
    /// Of these, to another zone than the node's.
    pub crossings: u64,
    /// Connections that nodes opened.
    pub connections: u64,
    /// Keyed repeats that a group knew, and answered without running them.
    pub repeats: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes; a plain histogram of as many digits grows by itself.
    Histogram::new_with_bounds(1, MOST_MICROS, DIGITS)
        .unwrap_or_else(|_| Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("three digits are fine")))
}

impl Tally {
    /// Nothing yet, from this time on.
    pub fn new(world: &World, start: Nanos) -> Self {
        Self {
            start,
            seconds: Vec::new(),
            classes: vec![Second::default(); world.classes.len()],
            served: histogram(),
            ended: histogram(),
            tries: 0,
            attempts: 0,
            crossings: 0,
            connections: 0,
            repeats: 0,
        }
    }

    /// A request has ended for good.
    pub fn end(&mut self, world: &World, ask: &Ask, fate: Fate, now: Nanos) {
        let class = &world.classes[ask.class];
        let took = now.saturating_sub(ask.at);
        let in_time = fate == Fate::Served && took <= class.latency_target;
        let late = fate == Fate::Served && !in_time;
        let earned = match fate {
            Fate::Served if in_time => class.value,
            Fate::Served => class.value * class.late_value_share,
            _ => 0.0,
        };
        let one = Second {
            asked: 1,
            in_time: in_time.into(),
            late: late.into(),
            refused: (fate == Fate::Refused).into(),
            failed: matches!(fate, Fate::Failed | Fate::Unreachable).into(),
            worth: class.value,
            earned,
        };
        let at = (ask.at.saturating_sub(self.start) / SECOND) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        self.seconds[at].add(&one);
        self.classes[ask.class].add(&one);
        self.ended.saturating_record((took / 1000).max(1));
        if fate == Fate::Served {
            self.served.saturating_record((took / 1000).max(1));
        }
    }

    /// Adds another part of the same run.
    pub fn merge(&mut self, other: &Self) {
        if self.seconds.len() < other.seconds.len() {
            self.seconds.resize(other.seconds.len(), Second::default());
        }
        self.seconds.iter_mut().zip(&other.seconds).for_each(|(own, other)| own.add(other));
        self.classes.iter_mut().zip(&other.classes).for_each(|(own, other)| own.add(other));
        // Of one shape, so that no value can be out of range.
        let _ = self.served.add(&other.served);
        let _ = self.ended.add(&other.ended);
        self.tries += other.tries;
        self.attempts += other.attempts;
        self.crossings += other.crossings;
        self.connections += other.connections;
        self.repeats += other.repeats;
    }

    /// All seconds together.
    pub fn total(&self) -> Second {
        let mut total = Second::default();
        self.seconds.iter().for_each(|second| total.add(second));
        total
    }

    /// The figures by name, the unit in the name; `skip` seconds at the start are left out of the worst window.
    pub fn measures(&self, world: &World, skip: usize) -> BTreeMap<String, f64> {
        let total = self.total();
        let share = |part: u64, of: u64| if of > 0 { part as f64 / of as f64 } else { 0.0 };
        let mut all = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            all.insert(name.to_owned(), value);
        };
        put("asked", total.asked as f64);
        put("served_in_time_share", share(total.in_time, total.asked));
        put("served_late_share", share(total.late, total.asked));
        put("refused_share", share(total.refused, total.asked));
        put("failed_share", share(total.failed, total.asked));
        put("worth_share", if total.worth > 0.0 { total.earned / total.worth } else { 0.0 });
        put("asked_per_s", total.asked as f64 / self.seconds.len().max(1) as f64);
        put("latency_p50_ms", self.served.value_at_quantile(0.5) as f64 / 1000.0);
        put("latency_p90_ms", self.served.value_at_quantile(0.9) as f64 / 1000.0);
        put("latency_p99_ms", self.served.value_at_quantile(0.99) as f64 / 1000.0);
        put("tries_per_request", self.tries as f64 / total.asked.max(1) as f64);
        put("attempts_per_request", self.attempts as f64 / total.asked.max(1) as f64);
        put("crossing_share", share(self.crossings, self.attempts));
        put("connections_per_request", self.connections as f64 / total.asked.max(1) as f64);
        put("repeats_dropped", self.repeats as f64);
        for (class, counts) in world.classes.iter().zip(&self.classes) {
            put(&format!("worth_share.{}", class.name), counts.earned / counts.worth.max(1e-9));
        }
        put("worst_10s_worth_share", self.worst_window(10, skip));
        all
    }

    /// The least share of the worth earned over any window of so many whole seconds.
    pub fn worst_window(&self, length: usize, skip: usize) -> f64 {
        let seconds = self.seconds.get(skip..).unwrap_or_default();
        let part = |window: &[Second]| {
            let (earned, worth) =
                window.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.earned, sum.1 + s.worth));
            if worth > 0.0 { earned / worth } else { 1.0 }
        };
        if seconds.len() <= length {
            part(seconds)
        } else {
            seconds.windows(length).map(part).fold(1.0, f64::min)
        }
    }
}
