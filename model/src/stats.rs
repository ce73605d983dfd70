//! What a run comes to: counts, worth, delays from the moment a request was due, and their course by the second.

use std::collections::BTreeMap;

use brookfield::Nanos;
use hdrhistogram::Histogram;

use crate::clients::ClientRequest;
use crate::world::{SECOND, World};

/// Delays are kept from a microsecond to ten minutes, to three digits.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a client's request ended, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused at the last.
    Rejected,
    /// Failed, or given up.
    Failed,
    /// Nobody took it.
    Unreachable,
}

/// A second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that were due in it.
    pub requests: u64,
    /// Of these, served within their aim.
    pub in_time: u64,
    /// Served, but late.
    pub late: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed, given up or not taken.
    pub failed: u64,
    /// Worth asked for.
    pub value: f64,
    /// Worth earned.
    pub earned_value: f64,
}

impl OutcomeCounts {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.value += other.value;
        self.earned_value += other.earned_value;
    }
}

/// What a run comes to.
#[derive(Clone)]
pub struct RunStats {
    start: Nanos,
    /// By the second in which each request was due.
    pub per_second: Vec<OutcomeCounts>,
    /// By class.
    pub per_class: Vec<OutcomeCounts>,
    /// Delays of what was served, from the moment it was due, in microseconds.
    pub served_latency: Histogram<u64>,
    /// Delays of all that ended, in microseconds.
    pub total_latency: Histogram<u64>,
    /// Tries that clients made.
    pub tries: u64,
    /// Attempts that nodes made.
    pub attempts: u64,
    /// Of these, to another zone than the node's.
    pub cross_zone_attempts: u64,
    /// Connections that nodes opened.
    pub connections_opened: u64,
    /// Keyed repeats that a group knew, and answered without running them.
    pub duplicates_dropped: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes; a plain histogram of as many digits grows by itself.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).unwrap_or_else(|_| {
        Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are fine"))
    })
}

impl RunStats {
    /// Nothing yet, from this time on.
    pub fn new(world: &World, start: Nanos) -> Self {
        Self {
            start,
            per_second: Vec::new(),
            per_class: vec![OutcomeCounts::default(); world.classes.len()],
            served_latency: histogram(),
            total_latency: histogram(),
            tries: 0,
            attempts: 0,
            cross_zone_attempts: 0,
            connections_opened: 0,
            duplicates_dropped: 0,
        }
    }

    /// A request has ended for good.
    pub fn record(&mut self, world: &World, request: &ClientRequest, outcome: RequestOutcome, now: Nanos) {
        let class = &world.classes[request.class];
        let latency = now.saturating_sub(request.due_at);
        let in_time = outcome == RequestOutcome::Served && latency <= class.latency_target;
        let late = outcome == RequestOutcome::Served && !in_time;
        let earned = match outcome {
            RequestOutcome::Served if in_time => class.value,
            RequestOutcome::Served => class.value * class.late_value_share,
            _ => 0.0,
        };
        let counts = OutcomeCounts {
            requests: 1,
            in_time: in_time.into(),
            late: late.into(),
            rejected: (outcome == RequestOutcome::Rejected).into(),
            failed: matches!(outcome, RequestOutcome::Failed | RequestOutcome::Unreachable).into(),
            value: class.value,
            earned_value: earned,
        };
        let at = (request.due_at.saturating_sub(self.start) / SECOND) as usize;
        if self.per_second.len() <= at {
            self.per_second.resize(at + 1, OutcomeCounts::default());
        }
        self.per_second[at].add(&counts);
        self.per_class[request.class].add(&counts);
        self.total_latency.saturating_record((latency / 1000).max(1));
        if outcome == RequestOutcome::Served {
            self.served_latency.saturating_record((latency / 1000).max(1));
        }
    }

    /// Adds another part of the same run.
    pub fn merge(&mut self, other: &Self) {
        if self.per_second.len() < other.per_second.len() {
            self.per_second.resize(other.per_second.len(), OutcomeCounts::default());
        }
        self.per_second.iter_mut().zip(&other.per_second).for_each(|(own, other)| own.add(other));
        self.per_class.iter_mut().zip(&other.per_class).for_each(|(own, other)| own.add(other));
        // Of one shape, so that no value can be out of range.
        let _ = self.served_latency.add(&other.served_latency);
        let _ = self.total_latency.add(&other.total_latency);
        self.tries += other.tries;
        self.attempts += other.attempts;
        self.cross_zone_attempts += other.cross_zone_attempts;
        self.connections_opened += other.connections_opened;
        self.duplicates_dropped += other.duplicates_dropped;
    }

    /// All seconds together.
    pub fn total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        self.per_second.iter().for_each(|second| total.add(second));
        total
    }

    /// The figures by name, the unit in the name; `skip` seconds at the start are left out of the worst window.
    pub fn measures(&self, world: &World, skip: usize) -> BTreeMap<String, f64> {
        let total = self.total();
        let share = |part: u64, of: u64| if of > 0 { part as f64 / of as f64 } else { 0.0 };
        let mut measures = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            measures.insert(name.to_owned(), value);
        };
        put("asked", total.requests as f64);
        put("served_in_time_share", share(total.in_time, total.requests));
        put("served_late_share", share(total.late, total.requests));
        put("refused_share", share(total.rejected, total.requests));
        put("failed_share", share(total.failed, total.requests));
        put("worth_share", if total.value > 0.0 { total.earned_value / total.value } else { 0.0 });
        put("asked_per_s", total.requests as f64 / self.per_second.len().max(1) as f64);
        put("latency_p50_ms", self.served_latency.value_at_quantile(0.5) as f64 / 1000.0);
        put("latency_p90_ms", self.served_latency.value_at_quantile(0.9) as f64 / 1000.0);
        put("latency_p99_ms", self.served_latency.value_at_quantile(0.99) as f64 / 1000.0);
        put("tries_per_request", self.tries as f64 / total.requests.max(1) as f64);
        put("attempts_per_request", self.attempts as f64 / total.requests.max(1) as f64);
        put("crossing_share", share(self.cross_zone_attempts, self.attempts));
        put("connections_per_request", self.connections_opened as f64 / total.requests.max(1) as f64);
        put("repeats_dropped", self.duplicates_dropped as f64);
        for (class, counts) in world.classes.iter().zip(&self.per_class) {
            put(&format!("worth_share.{}", class.name), counts.earned_value / counts.value.max(1e-9));
        }
        put("worst_10s_worth_share", self.worst_window(10, skip));
        measures
    }

    /// The least share of the worth earned over any window of so many whole seconds.
    pub fn worst_window(&self, length: usize, skip: usize) -> f64 {
        let seconds = self.per_second.get(skip..).unwrap_or_default();
        let earned_share = |window: &[OutcomeCounts]| {
            let (earned, worth) =
                window.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.earned_value, sum.1 + s.value));
            if worth > 0.0 { earned / worth } else { 1.0 }
        };
        if seconds.len() <= length {
            earned_share(seconds)
        } else {
            seconds.windows(length).map(earned_share).fold(1.0, f64::min)
        }
    }
}
