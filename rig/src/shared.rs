//! What the parties of a run on sockets share: the world, the clock, the book and what has happened.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use brookfield::Nanos;
use flaxdale_fleet::clock::Clock;
use flaxdale_model::dedup::DedupTable;
use flaxdale_model::invariants::{InvariantChecker, Rule};
use flaxdale_model::stats::RunStats;
use flaxdale_model::timeline::Timeline;
use flaxdale_model::world::World;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Events that are kept; what comes after is counted only.
const MOST_EVENTS: usize = 200_000;

/// Takes a lock also if somebody panicked with it: what is in it was whole after each call.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request as the servers have to know it.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// The node that it was sent to.
    pub node: usize,
    /// Work on a standard core, in nanoseconds.
    pub work: f64,
    /// Waits on others.
    pub io_wait: Nanos,
    /// When its client gives up.
    pub not_after: Nanos,
    /// Of a keyed one, its key and for how long its repeats are dropped.
    pub dedup_key: Option<(u64, Nanos)>,
}

/// The rules' book, with what the servers have to know of each request.
pub struct RequestTracker {
    /// The book.
    pub invariants: InvariantChecker,
    /// The requests of late, by id.
    pub requests: HashMap<u64, RequestInfo>,
    /// What the groups of servers have seen.
    pub dedup: DedupTable,
}

/// What the parties share.
pub struct Shared {
    /// The world.
    pub world: World,
    timeline: RwLock<Arc<Timeline>>,
    /// The clock.
    pub clock: Clock,
    /// The book.
    pub tracker: Mutex<RequestTracker>,
    /// What the requests come to.
    pub stats: Mutex<RunStats>,
    /// How late the rig itself was, in microseconds.
    pub lateness: Mutex<Histogram<u64>>,
    /// When each node was told that a process drains or is gone, by its number.
    pub notified_drains: Vec<Mutex<HashMap<u32, Nanos>>>,
    /// The last start of each process that each node was told of, in the same way.
    pub notified_starts: Vec<Mutex<HashMap<u32, Nanos>>>,
    /// Whether the load has begun.
    pub load_started: watch::Sender<bool>,
    events: Mutex<Vec<Value>>,
}

impl Shared {
    /// Nothing has happened yet.
    pub fn new(world: World, timeline: Timeline, clock: Clock, ledger: InvariantChecker) -> Self {
        let tally = RunStats::new(&world, timeline.start);
        let of_nodes = || world.nodes.iter().map(|_| Mutex::default()).collect();
        let (drains, starts) = (of_nodes(), of_nodes());
        let lateness = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are fine"));
        Self {
            world,
            clock,
            tracker: Mutex::new(RequestTracker {
                invariants: ledger,
                requests: HashMap::new(),
                dedup: DedupTable::default(),
            }),
            stats: Mutex::new(tally),
            lateness: Mutex::new(lateness),
            notified_drains: drains,
            notified_starts: starts,
            load_started: watch::Sender::new(false),
            events: Mutex::default(),
            timeline: RwLock::new(Arc::new(timeline)),
        }
    }

    /// What is known of the world beforehand. Until the load starts its start lies far ahead.
    pub fn timeline(&self) -> Arc<Timeline> {
        self.timeline.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The load starts then: faults and the list's changes count from it.
    pub fn start_load(&self, start: Nanos, ledger: InvariantChecker) {
        let timeline = Timeline::new(&self.world, start);
        *self.timeline.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(timeline);
        *lock(&self.stats) = RunStats::new(&self.world, start);
        lock(&self.tracker).invariants = ledger;
        self.load_started.send_replace(true);
    }

    /// Milliseconds since the start of the load; negative before.
    pub fn run_time_ms(&self, at: Nanos) -> f64 {
        (at as f64 - self.timeline().start as f64) / 1e6
    }

    /// Notes what has happened, now.
    pub fn record_event(&self, kind: &str, mut fields: Value) {
        // Before the load begins there is nothing to count from.
        let at = if *self.load_started.borrow() { self.run_time_ms(self.clock.now()) } else { 0.0 };
        fields["at_ms"] = json!((at * 10.0).round() / 10.0);
        fields["kind"] = json!(kind);
        tracing::debug!(kind, fields = %fields, "event");
        let mut events = lock(&self.events);
        if events.len() < MOST_EVENTS {
            events.push(fields);
        }
    }

    /// All that has happened, in order.
    pub fn events(&self) -> Vec<Value> {
        lock(&self.events).clone()
    }

    /// Notes a broken rule, and an event with it.
    pub fn record_violation(&self, rule: Rule, id: String, what: String) {
        self.record_event("breach", json!({"rule": rule.name(), "id": id, "what": what}));
        lock(&self.tracker).invariants.record_violation(rule, id, self.clock.now(), what);
    }
}
