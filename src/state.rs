//! The state of a node: its requests, and its view of backends, zones and classes.
//!
//! Data and arithmetic only. The decisions are in the modules that `deploy/balancer.toml` lists under
//! `policy`.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use crate::api::*;

pub(crate) const SECOND: Nanos = 1_000_000_000;
pub(crate) const MS: Nanos = SECOND / 1000;
/// Time constant of the rates that this node counts: long enough for some requests on each of many nodes, yet
/// short against a fault.
const RATE_TIME_CONSTANT: Nanos = 3 * SECOND;

/// An exponentially weighted moving average, with the time of its last sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    pub(crate) value: f64,
    pub(crate) at: Option<Nanos>,
}

impl Ewma {
    /// Adds a sample. Its weight grows with the time since the last one and is at least `min_weight`.
    pub(crate) fn update(&mut self, now: Nanos, sample: f64, time_constant: Nanos, min_weight: f64) {
        let weight = self
            .at
            .map_or(1.0, |at| (1.0 - decay_factor(now.saturating_sub(at), time_constant)).max(min_weight));
        self.value += (sample - self.value) * weight;
        self.at = Some(now);
    }

    /// The average, decayed towards 0 by the time since the last sample.
    pub(crate) fn decayed(&self, now: Nanos, time_constant: Nanos) -> f64 {
        self.at.map_or(0.0, |at| self.value * decay_factor(now.saturating_sub(at), time_constant))
    }

    pub(crate) fn is_fresher_than(&self, now: Nanos, age: Nanos) -> bool {
        self.at.is_some_and(|at| now.saturating_sub(at) < age)
    }
}

/// An amount per second, over an exponentially decaying window.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    pub(crate) value: f64,
    pub(crate) at: Nanos,
}

impl DecayingRate {
    pub(crate) fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.per_second(now) + amount * SECOND as f64 / RATE_TIME_CONSTANT as f64;
        self.at = now;
    }

    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        // Skips the exponential for backends that this node does not use, which most are in a large fleet.
        if self.value == 0.0 {
            0.0
        } else {
            self.value * decay_factor(now.saturating_sub(self.at), RATE_TIME_CONSTANT)
        }
    }
}

/// A 64-bit finalizer (as in SplitMix64), for random numbers and rendezvous hashes.
pub(crate) fn mix64(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// `exp(-elapsed / time_constant)`.
pub(crate) fn decay_factor(elapsed: Nanos, time_constant: Nanos) -> f64 {
    (-(elapsed as f64) / time_constant as f64).exp()
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u64,
    pub(crate) sent_at: Nanos,
    /// Load of the backend when the attempt was sent.
    pub(crate) load: f64,
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// Lifecycle of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Open,
    /// Waits for a backend to have capacity.
    Queued,
    /// Its response has started.
    Streaming,
    /// Has its final response or was abandoned by the client; attempts may still be in flight.
    Ended,
}

/// A request that is open, or that has ended with an attempt still in flight.
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) cost: f64,
    /// Cost that counts against slow-start budgets: at least the class's mean.
    pub(crate) slow_start_cost: f64,
    /// When the latency target of the class is reached.
    pub(crate) target_deadline: Nanos,
    pub(crate) not_after: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) phase: Phase,
}

/// Outlier ejection state.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Ejected {
        until: Nanos,
    },
    /// Ejection is over; trial requests are sent one at a time.
    HalfOpen {
        served: u32,
    },
}

/// A backend as this node sees it.
#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) member: Member,
    pub(crate) in_flight: u32,
    pub(crate) utilisation: Ewma,
    /// Response time relative to what its load explains; 1 is the mean of all backends.
    pub(crate) slowness_ewma: Ewma,
    pub(crate) served_work: DecayingRate,
    pub(crate) failure_rate: Ewma,
    pub(crate) consecutive_failures: u32,
    pub(crate) consecutive_rejections: u32,
    pub(crate) backoff_until: Nanos,
    pub(crate) health: Health,
    pub(crate) ejections: u32,
    /// When requests were sent to it during slow start, and their cost.
    pub(crate) slow_start_sends: VecDeque<(Nanos, f64)>,
    /// Whether it was in slow start at the last check.
    pub(crate) was_cold: bool,
    /// Requests held per core, derived from the last live weight.
    pub(crate) requests_per_core: Option<f64>,
    /// Hash of this node and the backend: the lowest ones of a zone form the node's subset.
    pub(crate) rendezvous_hash: u64,
    /// Factors on its weight in the pick: the long-term correction, and the one from the last list.
    pub(crate) weight_bias: f64,
    pub(crate) weight_correction: f64,
}

impl Backend {
    pub(crate) fn new(member: Member) -> Self {
        Self { member, weight_bias: 1.0, weight_correction: 1.0, ..Self::default() }
    }

    /// Share of its capacity that slow start assumes at this time; 1 when warm.
    pub(crate) fn ramp(&self, now: Nanos, rules: &RuleParameters) -> f64 {
        let Some(since) = self.member.online_since else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / rules.slow_start_window.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).clamp(0.01, 1.0)
    }

    /// Relative capacity: its weight in the list, or 1 where that is no positive number.
    pub(crate) fn capacity(&self) -> f64 {
        if self.member.weight.is_finite() && self.member.weight > 0.0 { self.member.weight } else { 1.0 }
    }
}

/// A zone as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Zone {
    /// This node's attempts in flight there, now and on average.
    pub(crate) in_flight: f64,
    pub(crate) in_flight_ewma: Ewma,
    /// Limit on this node's attempts in flight there: the initial one, derived from the list, and the one
    /// adapted to results since. Below 1, attempts are paced instead.
    pub(crate) initial_limit: f64,
    pub(crate) concurrency_limit: Option<f64>,
    pub(crate) last_sent_at: Nanos,
    /// Mean requests held per core, and the share of arrivals that is admitted.
    pub(crate) mean_requests_per_core: f64,
    pub(crate) admitted_share: f64,
    /// Backends in service there, their total capacity, and the highest rendezvous hash of the subset.
    pub(crate) backend_count: f64,
    pub(crate) capacity: f64,
    pub(crate) subset_max_hash: u64,
    /// Throughput that this node gets from each unit of warm capacity there, in requests of mean work per
    /// second, and the utilisation of that capacity; averaged with the same time constant.
    pub(crate) served_per_capacity: f64,
    pub(crate) mean_utilisation: f64,
    /// Share of the requests that spill over to another zone; used with many nodes.
    pub(crate) spill_share: f64,
    /// Shortest response time from there, slowly forgotten.
    pub(crate) min_latency: Option<f64>,
    pub(crate) spilling: bool,
}

/// Share of its traffic that a zone may be given, by the operator's override.
#[derive(Clone, Copy)]
pub(crate) struct TrafficShare {
    pub(crate) region: u32,
    /// The share that the override sets, and the one in effect while it moves there.
    pub(crate) target: f64,
    pub(crate) current: f64,
    /// Factor on the rate of change, different for each node.
    pub(crate) rate_factor: f64,
}

/// A class as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassState {
    /// Response time for each unit of load on a backend of mean speed.
    pub(crate) base_latency: f64,
    pub(crate) mean_cost: f64,
    pub(crate) samples: f64,
    pub(crate) arrivals: DecayingRate,
    pub(crate) served: DecayingRate,
    /// Value of a unit of the class's work; higher ones are admitted first.
    pub(crate) priority: f64,
    /// Highest load, times slowness, of a backend that still takes the class.
    pub(crate) load_limit: f64,
    /// Share of the arrivals that is admitted.
    pub(crate) admit_probability: f64,
    /// The longest time that a client has given to one try.
    pub(crate) max_wait: Nanos,
}

impl Zone {
    /// Average attempts in flight, up to now.
    pub(crate) fn average_in_flight(&self, now: Nanos, time_constant: Nanos) -> f64 {
        let mut average = self.in_flight_ewma;
        average.update(now, self.in_flight, time_constant, 0.0);
        average.value
    }

    /// Counts sends or their ends; the average takes the number that was in flight until now.
    pub(crate) fn add_in_flight(&mut self, now: Nanos, change: f64, time_constant: Nanos) {
        let before = if self.in_flight_ewma.at.is_none() { change } else { self.in_flight };
        self.in_flight_ewma.update(now, before, time_constant, 0.0);
        self.in_flight = (self.in_flight + change).max(0.0);
    }
}

/// The decisions of one node. Deterministic: the same settings, seed and events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) rng_state: u64,
    pub(crate) now: Nanos,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: Vec<RequestId>,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// Backends by zone, ordered by id: all of them, and the subset that this node uses.
    pub(crate) zone_backends: Vec<Vec<BackendId>>,
    pub(crate) zone_subsets: Vec<Vec<BackendId>>,
    pub(crate) zones: Vec<Zone>,
    pub(crate) classes: Vec<ClassState>,
    /// Mean work of a request over all classes, in nanoseconds.
    pub(crate) mean_cost: f64,
    /// The last slow-start denial for each backend since denials were last logged. In a `RefCell`, as it is
    /// recorded while backends are compared by shared reference.
    pub(crate) slow_start_denials: RefCell<BTreeMap<BackendId, SlowStartDecision>>,
    pub(crate) capacity_measured_at: Nanos,
    /// When the utilisation of any backend was last reported.
    pub(crate) utilisation_at: Option<Nanos>,
    /// Request rate of each tenant, and the share of requests over quota that is admitted.
    pub(crate) tenant_rates: Vec<DecayingRate>,
    pub(crate) over_quota_admit: f64,
    /// The other zones, best score first; the first `qualified_zones` are under the spill threshold.
    pub(crate) overflow_zones: Vec<ZoneId>,
    pub(crate) qualified_zones: usize,
    pub(crate) next_refresh_at: Nanos,
    pub(crate) retry_tokens: f64,
    pub(crate) watch_retry_at: Option<Nanos>,
    pub(crate) discovery_failures: u32,
    pub(crate) next_log_at: Nanos,
    pub(crate) timer_due_at: Option<Nanos>,
    /// Highest live weight seen of each machine kind, taken as the capacity of an idle backend.
    pub(crate) kind_capacity: BTreeMap<u32, f64>,
    pub(crate) list_received_at: Option<Nanos>,
    pub(crate) list_interval_s: f64,
    pub(crate) next_share_update_at: Nanos,
    /// By zone; empty without overrides.
    pub(crate) traffic_shares: Vec<TrafficShare>,
    pub(crate) traffic_shares_moved_at: Nanos,
}

impl Balancer {
    /// Creates the state of a node that has just started. `seed` drives its random choices.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        let zones = vec![
            Zone { admitted_share: 1.0, mean_utilisation: 1.0, ..Zone::default() };
            settings.zone_count as usize
        ];
        let state = |class: &ClassSettings| ClassState {
            base_latency: class.latency_target as f64 / 16.0,
            load_limit: f64::INFINITY,
            admit_probability: 1.0,
            ..Default::default()
        };
        let classes = settings.classes.iter().map(state).collect();
        let tenants = vec![DecayingRate::default(); settings.tenant_quotas.len()];
        Ok(Self {
            settings,
            tenant_rates: tenants,
            over_quota_admit: 1.0,
            seed,
            rng_state: seed ^ 0x9e37_79b9_7f4a_7c15,
            now,
            requests: BTreeMap::new(),
            queue: Vec::new(),
            backends: BTreeMap::new(),
            zone_backends: vec![Vec::new(); zones.len()],
            zone_subsets: vec![Vec::new(); zones.len()],
            zones,
            classes,
            mean_cost: 0.0,
            slow_start_denials: RefCell::default(),
            capacity_measured_at: now,
            utilisation_at: None,
            overflow_zones: Vec::new(),
            qualified_zones: 0,
            next_refresh_at: now,
            retry_tokens: 1.0,
            watch_retry_at: None,
            discovery_failures: 0,
            next_log_at: 0,
            timer_due_at: None,
            kind_capacity: BTreeMap::new(),
            list_received_at: None,
            list_interval_s: 1.0,
            next_share_update_at: 0,
            traffic_shares: Vec::new(),
            traffic_shares_moved_at: now,
        })
    }

    /// A random number from 0 to 1, from the node's own seed.
    pub(crate) fn random_unit(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix64(self.rng_state) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Requests per second that arrive at this node.
    pub(crate) fn arrival_rate(&self) -> f64 {
        self.classes.iter().map(|class| class.arrivals.per_second(self.now)).sum()
    }

    /// Number of requests that the node tracks: open ones, and ended ones with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The classes, highest priority first.
    pub(crate) fn classes_by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| self.classes[b].priority.total_cmp(&self.classes[a].priority));
        order
    }

    /// Mean number of nodes in a zone, at least 1.
    pub(crate) fn nodes_per_zone(&self) -> f64 {
        (f64::from(self.settings.node_count) / f64::from(self.settings.zone_count)).max(1.0)
    }
}
