//! What a node keeps: smoothed figures, its requests, and its views of backends, zones and classes.
//! Plain data and arithmetic that know nothing of what decides on them: the modules of decisions,
//! which the deploy file lists under `policy`, use them.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use crate::api::*;

pub(crate) const SECOND: Nanos = 1_000_000_000;
pub(crate) const MS: Nanos = SECOND / 1000;
/// Time constant of the node's own rates: some requests of each of many nodes, yet short against a trouble.
const RATE_TIME_CONSTANT: Nanos = 3 * SECOND;

/// An exponentially smoothed figure and when it was last fed.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    pub(crate) value: f64,
    pub(crate) at: Option<Nanos>,
}

impl Ewma {
    pub(crate) fn update(&mut self, now: Nanos, sample: f64, time_constant: Nanos, min_weight: f64) {
        let weight = self
            .at
            .map_or(1.0, |at| (1.0 - decay_factor(now.saturating_sub(at), time_constant)).max(min_weight));
        self.value += (sample - self.value) * weight;
        self.at = Some(now);
    }

    /// The figure, forgotten towards 0 since it was last fed.
    pub(crate) fn decayed(&self, now: Nanos, time_constant: Nanos) -> f64 {
        self.at.map_or(0.0, |at| self.value * decay_factor(now.saturating_sub(at), time_constant))
    }

    pub(crate) fn is_fresher_than(&self, now: Nanos, age: Nanos) -> bool {
        self.at.is_some_and(|at| now.saturating_sub(at) < age)
    }
}

/// An amount a second, over an exponential window.
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
        // Most backends of a large fleet are none of this node's.
        if self.value == 0.0 {
            0.0
        } else {
            self.value * decay_factor(now.saturating_sub(self.at), RATE_TIME_CONSTANT)
        }
    }
}

/// Spreads the bits of a number; drives random draws and lots.
pub(crate) fn mix64(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub(crate) fn decay_factor(elapsed: Nanos, time_constant: Nanos) -> f64 {
    (-(elapsed as f64) / time_constant as f64).exp()
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u64,
    pub(crate) sent_at: Nanos,
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

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Open,
    Queued,
    Streaming,
    Ended,
}

/// A request that is open, or ended with an attempt still out.
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) cost: f64,
    pub(crate) slow_start_cost: f64,
    pub(crate) target_deadline: Nanos,
    pub(crate) not_after: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) phase: Phase,
}

/// Whether an outlier is ejected.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Ejected {
        until: Nanos,
    },
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
    pub(crate) slowness_ewma: Ewma,
    pub(crate) served_work: DecayingRate,
    pub(crate) failure_rate: Ewma,
    pub(crate) consecutive_failures: u32,
    pub(crate) consecutive_rejections: u32,
    pub(crate) backoff_until: Nanos,
    pub(crate) health: Health,
    pub(crate) ejections: u32,
    pub(crate) slow_start_sends: VecDeque<(Nanos, f64)>,
    /// Whether it was still cold when last looked at.
    pub(crate) was_cold: bool,
    /// Requests held for each core, as the list's live weight told last.
    pub(crate) requests_per_core: Option<f64>,
    /// This node's lot for it: the lowest ones of a zone are its subset.
    pub(crate) rendezvous_hash: u64,
    /// Share of the picks against its size: what lasting differences the lists have shown, and the last one.
    pub(crate) weight_bias: f64,
    pub(crate) weight_correction: f64,
}

impl Backend {
    pub(crate) fn new(member: Member) -> Self {
        Self { member, weight_bias: 1.0, weight_correction: 1.0, ..Self::default() }
    }

    /// Share of its capacity that it surely has by now; 1 when warm.
    pub(crate) fn ramp(&self, now: Nanos, rules: &RuleParameters) -> f64 {
        let Some(since) = self.member.online_since else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / rules.slow_start_window.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).clamp(0.01, 1.0)
    }

    pub(crate) fn capacity(&self) -> f64 {
        if self.member.weight.is_finite() && self.member.weight > 0.0 { self.member.weight } else { 1.0 }
    }
}

/// A zone as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Zone {
    /// Own attempts out there, now and smoothed.
    pub(crate) in_flight: f64,
    pub(crate) in_flight_ewma: Ewma,
    /// Most own attempts out there: by the list, and by what came back once anything has. Below 1 they are
    /// paced.
    pub(crate) initial_limit: f64,
    pub(crate) concurrency_limit: Option<f64>,
    pub(crate) last_sent_at: Nanos,
    /// Requests held for each core, on the mean, and the share of the arrivals that is taken.
    pub(crate) mean_requests_per_core: f64,
    pub(crate) admitted_share: f64,
    /// Backends in service there, their size together, and the highest lot of the subset.
    pub(crate) backend_count: f64,
    pub(crate) capacity: f64,
    pub(crate) subset_max_hash: u64,
    /// What this node is served by each unit of warm capacity there, in requests of mean work a second, and
    /// the used part of that capacity; smoothed alike.
    pub(crate) served_per_capacity: f64,
    pub(crate) mean_utilisation: f64,
    /// Share of the requests that spill, where nodes are many.
    pub(crate) spill_share: f64,
    pub(crate) min_latency: Option<f64>,
    pub(crate) spilling: bool,
}

/// What part of its requests a zone may be given, by the operator's order.
#[derive(Clone, Copy)]
pub(crate) struct TrafficShare {
    pub(crate) region: u32,
    /// What was ordered, and how far that has come.
    pub(crate) target: f64,
    pub(crate) current: f64,
    /// This node's own pace.
    pub(crate) rate_factor: f64,
}

/// A class as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassState {
    pub(crate) base_latency: f64,
    pub(crate) mean_cost: f64,
    pub(crate) samples: f64,
    pub(crate) arrivals: DecayingRate,
    pub(crate) served: DecayingRate,
    pub(crate) priority: f64,
    pub(crate) load_limit: f64,
    /// Share of the arrivals that is taken.
    pub(crate) admit_probability: f64,
    /// The longest that a client has waited for one try.
    pub(crate) max_wait: Nanos,
}

impl Zone {
    /// The own load as smoothed up to now.
    pub(crate) fn average_in_flight(&self, now: Nanos, time_constant: Nanos) -> f64 {
        let mut average = self.in_flight_ewma;
        average.update(now, self.in_flight, time_constant, 0.0);
        average.value
    }

    /// Counts own sends or their ends; the smoothed figure is fed with what was out until now.
    pub(crate) fn add_in_flight(&mut self, now: Nanos, change: f64, time_constant: Nanos) {
        let average = if self.in_flight_ewma.at.is_none() { change } else { self.in_flight };
        self.in_flight_ewma.update(now, average, time_constant, 0.0);
        self.in_flight = (self.in_flight + change).max(0.0);
    }
}

/// One node's decisions. Deterministic: the same settings, seed and events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) rng_state: u64,
    pub(crate) now: Nanos,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: Vec<RequestId>,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// By zone, in the order of their numbers: all backends, and those that this node keeps to.
    pub(crate) zone_backends: Vec<Vec<BackendId>>,
    pub(crate) zone_subsets: Vec<Vec<BackendId>>,
    pub(crate) zones: Vec<Zone>,
    pub(crate) classes: Vec<ClassState>,
    /// Work of a request on the mean over all classes, in nanoseconds.
    pub(crate) mean_cost: f64,
    /// The last attempt that slow start kept back on each backend since it was last logged, noted where backends
    /// are compared, which changes nothing else.
    pub(crate) slow_start_denials: RefCell<BTreeMap<BackendId, SlowStartDecision>>,
    /// When the zones' capacity was last measured.
    pub(crate) capacity_measured_at: Nanos,
    /// When any backend's utilisation was last told.
    pub(crate) utilisation_at: Option<Nanos>,
    /// Requests of each tenant, and the share of those over their shares that is taken.
    pub(crate) tenant_rates: Vec<DecayingRate>,
    pub(crate) over_quota_admit: f64,
    pub(crate) overflow_zones: Vec<ZoneId>,
    pub(crate) qualified_zones: usize,
    pub(crate) next_refresh_at: Nanos,
    pub(crate) retry_tokens: f64,
    pub(crate) watch_retry_at: Option<Nanos>,
    pub(crate) discovery_failures: u32,
    pub(crate) next_log_at: Nanos,
    pub(crate) timer_due_at: Option<Nanos>,
    /// The largest live weight of each kind so far: the size of an idle one.
    pub(crate) kind_capacity: BTreeMap<u32, f64>,
    pub(crate) list_received_at: Option<Nanos>,
    pub(crate) list_interval_s: f64,
    pub(crate) next_share_update_at: Nanos,
    /// By zone; empty without orders.
    pub(crate) traffic_shares: Vec<TrafficShare>,
    pub(crate) traffic_shares_moved_at: Nanos,
}

impl Balancer {
    /// A node that knows nothing yet. `seed` drives its jitter.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        let zones = vec![
            Zone { admitted_share: 1.0, mean_utilisation: 1.0, ..Zone::default() };
            settings.zone_count as usize
        ];
        let view = |class: &ClassSettings| ClassState {
            base_latency: class.latency_target as f64 / 16.0,
            load_limit: f64::INFINITY,
            admit_probability: 1.0,
            ..Default::default()
        };
        let classes = settings.classes.iter().map(view).collect();
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

    /// A number from 0 to 1 of the node's own randomness.
    pub(crate) fn random_unit(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix64(self.rng_state) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Requests a second that come to this node.
    pub(crate) fn arrival_rate(&self) -> f64 {
        self.classes.iter().map(|class| class.arrivals.per_second(self.now)).sum()
    }

    /// Requests that the node still keeps: open ones, and ended ones with an attempt out.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The classes, the worthiest for each unit of work first.
    pub(crate) fn classes_by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| self.classes[b].priority.total_cmp(&self.classes[a].priority));
        order
    }

    /// Nodes that share a zone's backends: their load moves with this node's.
    pub(crate) fn nodes_per_zone(&self) -> f64 {
        (f64::from(self.settings.node_count) / f64::from(self.settings.zone_count)).max(1.0)
    }
}
