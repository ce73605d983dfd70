//! Statistics of a run: outcome counts, value, and latency measured from the time a request was due.

use std::collections::BTreeMap;

use brookfield::Nanos;
use hdrhistogram::Histogram;

use crate::clients::ClientRequest;
use crate::world::{SECOND, World};

/// Latency histograms range from 1 us to 10 min with three significant digits.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Final outcome of a client's request, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// The last try was rejected.
    Rejected,
    /// Failed or timed out.
    Failed,
    /// No node could be reached.
    Unreachable,
}

/// Outcome counts of one second or one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that were due.
    pub requests: u64,
    /// Requests served within their latency target.
    pub in_time: u64,
    /// Requests served after their latency target.
    pub late: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests that failed, timed out or reached no node.
    pub failed: u64,
    /// Value of all requests.
    pub value: f64,
    /// Value earned by the requests served.
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

/// Statistics of a run.
#[derive(Clone)]
pub struct RunStats {
    start: Nanos,
    /// By the second in which a request was due.
    pub per_second: Vec<OutcomeCounts>,
    /// By class.
    pub per_class: Vec<OutcomeCounts>,
    /// Latency of requests served, in microseconds.
    pub served_latency: Histogram<u64>,
    /// Latency of all requests, in microseconds.
    pub overall_latency: Histogram<u64>,
    /// Tries made by clients.
    pub tries: u64,
    /// Attempts made by nodes.
    pub attempts: u64,
    /// Attempts to a zone other than the node's.
    pub cross_zone_attempts: u64,
    /// Connections opened by nodes.
    pub connections_opened: u64,
    /// Repeats of keyed requests that got a response without running again.
    pub duplicates_dropped: u64,
}

fn histogram() -> Histogram<u64> {
    // The bounds are valid constants; the fallback is an auto-resizing histogram of the same precision.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).unwrap_or_else(|_| {
        Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are fine"))
    })
}

impl RunStats {
    /// Creates empty statistics that start at `start`.
    pub fn new(world: &World, start: Nanos) -> Self {
        Self {
            start,
            per_second: Vec::new(),
            per_class: vec![OutcomeCounts::default(); world.classes.len()],
            served_latency: histogram(),
            overall_latency: histogram(),
            tries: 0,
            attempts: 0,
            cross_zone_attempts: 0,
            connections_opened: 0,
            duplicates_dropped: 0,
        }
    }

    /// Records the final outcome of a request.
    pub fn record(&mut self, world: &World, request: &ClientRequest, outcome: RequestOutcome, now: Nanos) {
        let class = &world.classes[request.class];
        let latency = now.saturating_sub(request.due_at);
        let in_time = outcome == RequestOutcome::Served && latency <= class.latency_target;
        let late = outcome == RequestOutcome::Served && !in_time;
        let earned_value = match outcome {
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
            earned_value,
        };
        let second = (request.due_at.saturating_sub(self.start) / SECOND) as usize;
        if self.per_second.len() <= second {
            self.per_second.resize(second + 1, OutcomeCounts::default());
        }
        self.per_second[second].add(&counts);
        self.per_class[request.class].add(&counts);
        self.overall_latency.saturating_record((latency / 1000).max(1));
        if outcome == RequestOutcome::Served {
            self.served_latency.saturating_record((latency / 1000).max(1));
        }
    }

    /// Adds the statistics of another part of the same run.
    pub fn merge(&mut self, other: &Self) {
        if self.per_second.len() < other.per_second.len() {
            self.per_second.resize(other.per_second.len(), OutcomeCounts::default());
        }
        self.per_second.iter_mut().zip(&other.per_second).for_each(|(counts, other)| counts.add(other));
        self.per_class.iter_mut().zip(&other.per_class).for_each(|(counts, other)| counts.add(other));
        // Both histograms have the same bounds, so adding does not fail.
        let _ = self.served_latency.add(&other.served_latency);
        let _ = self.overall_latency.add(&other.overall_latency);
        self.tries += other.tries;
        self.attempts += other.attempts;
        self.cross_zone_attempts += other.cross_zone_attempts;
        self.connections_opened += other.connections_opened;
        self.duplicates_dropped += other.duplicates_dropped;
    }

    /// Sums over all seconds.
    pub fn total(&self) -> OutcomeCounts {
        let mut total = OutcomeCounts::default();
        self.per_second.iter().for_each(|second| total.add(second));
        total
    }

    /// Measures by name, with the unit in the name. The first `skip` seconds are left out of the worst
    /// window.
    pub fn measures(&self, world: &World, skip: usize) -> BTreeMap<String, f64> {
        let total = self.total();
        let share = |part: u64, of: u64| if of > 0 { part as f64 / of as f64 } else { 0.0 };
        let mut measures = BTreeMap::new();
        let mut insert = |name: &str, value: f64| {
            measures.insert(name.to_owned(), value);
        };
        insert("asked", total.requests as f64);
        insert("served_in_time_share", share(total.in_time, total.requests));
        insert("served_late_share", share(total.late, total.requests));
        insert("refused_share", share(total.rejected, total.requests));
        insert("failed_share", share(total.failed, total.requests));
        insert("worth_share", if total.value > 0.0 { total.earned_value / total.value } else { 0.0 });
        insert("asked_per_s", total.requests as f64 / self.per_second.len().max(1) as f64);
        insert("latency_p50_ms", self.served_latency.value_at_quantile(0.5) as f64 / 1000.0);
        insert("latency_p90_ms", self.served_latency.value_at_quantile(0.9) as f64 / 1000.0);
        insert("latency_p99_ms", self.served_latency.value_at_quantile(0.99) as f64 / 1000.0);
        insert("tries_per_request", self.tries as f64 / total.requests.max(1) as f64);
        insert("attempts_per_request", self.attempts as f64 / total.requests.max(1) as f64);
        insert("crossing_share", share(self.cross_zone_attempts, self.attempts));
        insert("connections_per_request", self.connections_opened as f64 / total.requests.max(1) as f64);
        insert("repeats_dropped", self.duplicates_dropped as f64);
        for (class, counts) in world.classes.iter().zip(&self.per_class) {
            insert(&format!("worth_share.{}", class.name), counts.earned_value / counts.value.max(1e-9));
        }
        insert("worst_10s_worth_share", self.worst_window(10, skip));
        measures
    }

    /// Lowest share of the value earned in any window of `length` whole seconds.
    pub fn worst_window(&self, length: usize, skip: usize) -> f64 {
        let per_second = self.per_second.get(skip..).unwrap_or_default();
        let earned_share = |window: &[OutcomeCounts]| {
            let (earned_value, value) =
                window.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.earned_value, sum.1 + s.value));
            if value > 0.0 { earned_value / value } else { 1.0 }
        };
        if per_second.len() <= length {
            earned_share(per_second)
        } else {
            per_second.windows(length).map(earned_share).fold(1.0, f64::min)
        }
    }
}
