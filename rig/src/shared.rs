//! State shared by all components of a run on sockets: world, clock, request tracking, statistics and events.

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

/// Maximum number of recorded events; later ones are only logged.
const MAX_EVENTS: usize = 200_000;

/// Locks a mutex and ignores poisoning: the guarded data is consistent after each call.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the emulated servers need to know about a request beyond its headers.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo {
    /// Node that the client sent it to.
    pub node: usize,
    /// CPU time on a core of standard speed, in nanoseconds.
    pub work: f64,
    /// Time spent waiting for I/O.
    pub io_wait: Nanos,
    /// When the client gives up.
    pub not_after: Nanos,
    /// For keyed requests, the idempotency key and the deduplication window.
    pub dedup_key: Option<(u64, Nanos)>,
}

/// Rule checks and the state of requests in flight.
pub struct RequestTracker {
    /// Checks the rules of a run.
    pub invariants: InvariantChecker,
    /// Recent requests by id.
    pub requests: HashMap<u64, RequestInfo>,
    /// Idempotency keys seen by each group of servers.
    pub dedup: DedupTable,
}

/// State shared by the components of a run.
pub struct Shared {
    /// Fleet, load and faults sampled from the scenario.
    pub world: World,
    timeline: RwLock<Arc<Timeline>>,
    /// Time source of the run.
    pub clock: Clock,
    /// Requests in flight and rule checks.
    pub tracker: Mutex<RequestTracker>,
    /// Outcomes and latencies of the requests.
    pub stats: Mutex<RunStats>,
    /// How late the rig sent requests, in microseconds.
    pub lateness: Mutex<Histogram<u64>>,
    /// For each node, when it was notified that a server instance is draining or gone.
    pub notified_drains: Vec<Mutex<HashMap<u32, Nanos>>>,
    /// For each node, the latest start time of each server instance that it was notified of.
    pub notified_starts: Vec<Mutex<HashMap<u32, Nanos>>>,
    /// Whether the load has started.
    pub load_started: watch::Sender<bool>,
    events: Mutex<Vec<Value>>,
}

impl Shared {
    /// Creates the state of a run whose load has not started.
    pub fn new(world: World, timeline: Timeline, clock: Clock, invariants: InvariantChecker) -> Self {
        let stats = RunStats::new(&world, timeline.start);
        let one_per_node = || world.nodes.iter().map(|_| Mutex::default()).collect();
        let (notified_drains, notified_starts) = (one_per_node(), one_per_node());
        let lateness = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 significant digits are valid"));
        Self {
            world,
            clock,
            tracker: Mutex::new(RequestTracker {
                invariants,
                requests: HashMap::new(),
                dedup: DedupTable::default(),
            }),
            stats: Mutex::new(stats),
            lateness: Mutex::new(lateness),
            notified_drains,
            notified_starts,
            load_started: watch::Sender::new(false),
            events: Mutex::default(),
            timeline: RwLock::new(Arc::new(timeline)),
        }
    }

    /// Schedule of faults and list changes. Before the load starts, its start time is a placeholder far in the future.
    pub fn timeline(&self) -> Arc<Timeline> {
        self.timeline.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts the load; times of faults and list changes are relative to `start`.
    pub fn start_load(&self, start: Nanos, invariants: InvariantChecker) {
        let timeline = Timeline::new(&self.world, start);
        *self.timeline.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(timeline);
        *lock(&self.stats) = RunStats::new(&self.world, start);
        lock(&self.tracker).invariants = invariants;
        self.load_started.send_replace(true);
    }

    /// Milliseconds from the start of the load to `at`; negative before the start.
    pub fn run_time_ms(&self, at: Nanos) -> f64 {
        (at as f64 - self.timeline().start as f64) / 1e6
    }

    /// Records an event at the current time.
    pub fn record_event(&self, kind: &str, mut fields: Value) {
        // Events before the start of the load have time 0.
        let at_ms = if *self.load_started.borrow() { self.run_time_ms(self.clock.now()) } else { 0.0 };
        fields["at_ms"] = json!((at_ms * 10.0).round() / 10.0);
        fields["kind"] = json!(kind);
        tracing::debug!(kind, fields = %fields, "event");
        let mut events = lock(&self.events);
        if events.len() < MAX_EVENTS {
            events.push(fields);
        }
    }

    /// All recorded events in order.
    pub fn events(&self) -> Vec<Value> {
        lock(&self.events).clone()
    }

    /// Records a rule violation and a corresponding event.
    pub fn record_violation(&self, rule: Rule, id: String, detail: String) {
        self.record_event("breach", json!({"rule": rule.name(), "id": id, "what": detail}));
        lock(&self.tracker).invariants.record_violation(rule, id, self.clock.now(), detail);
    }
}
