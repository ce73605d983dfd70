//! What a node learns about each backend: load, slowness and expected delay. Makes no decisions itself.

use crate::api::*;
use crate::state::*;
use crate::subsetting::MANY_NODES_PER_ZONE;

/// Time constant of a backend's average utilisation: some report periods.
pub(crate) const UTILISATION_TIME_CONSTANT: Nanos = 400 * MS;
/// An older utilisation is ignored; a zone with no newer one counts as a zone without reports.
pub(crate) const UTILISATION_MAX_AGE: Nanos = 4 * SECOND;
/// Time constant of a backend's slowness: tens of responses long, and short against the seconds for which
/// a noisy neighbour slows a backend down.
const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// Time constant with which the slowness of an unused backend decays, so that it is tried again.
pub(crate) const SLOWNESS_DECAY: Nanos = 3 * SECOND;
/// Number of samples over which a class's base latency is averaged: many, so that it changes slowly
/// compared with the faults of a day.
const MAX_BASE_SAMPLES: f64 = 400.0;
/// Weight of a sample above the base latency, relative to one below it.
const BASE_RISE_WEIGHT: f64 = 0.4;
/// Load of an idle backend, in requests: the part of a response time that does not grow with the queue. If it
/// is too small, a loaded backend leads to a base latency that an idle one cannot reach.
pub(crate) const IDLE_LOAD: f64 = 2.0;
/// Limit on a sample relative to the current value, as a single expensive request says little.
const MAX_SLOWNESS_RATIO: f64 = 6.0;

impl Backend {
    /// Load in requests per unit of capacity: this node's, times the nodes that share the zone; with many
    /// nodes, the load that the list reports.
    pub(crate) fn load(&self, nodes_per_zone: f64) -> f64 {
        let own_load = f64::from(self.in_flight) / self.capacity();
        match self.requests_per_core {
            Some(requests) if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + requests.max(own_load),
            None if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + own_load,
            _ => IDLE_LOAD + nodes_per_zone * own_load,
        }
    }

    /// Slowness relative to the mean of all backends, decaying towards what the slow-start ramp implies.
    pub(crate) fn slowness(&self, now: Nanos, rules: &RuleParameters) -> f64 {
        let prior = 1.0 / self.ramp(now, rules);
        let Some(at) = self.slowness_ewma.at else { return prior };
        prior + (self.slowness_ewma.value - prior) * decay_factor(now.saturating_sub(at), SLOWNESS_DECAY)
    }
}

impl Balancer {
    /// Expected response time of the backend, in nanoseconds.
    pub(crate) fn expected_delay(&self, backend: &Backend, class: usize) -> f64 {
        let slowness = backend.slowness(self.now, &self.settings.rules);
        slowness * backend.load(self.nodes_per_zone()) * self.classes[class].base_latency
    }

    /// Records a load report; a utilisation that is negative or not finite is ignored.
    pub(crate) fn record_load_report(&mut self, id: BackendId, report: LoadReport) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if let Some(util) = report.util.filter(|util| util.is_finite() && *util >= 0.0) {
            backend.utilisation.update(self.now, util.min(1.5), UTILISATION_TIME_CONSTANT, 0.05);
            self.utilisation_at = Some(self.now);
        }
    }

    /// Whether any backend has reported its utilisation recently.
    pub(crate) fn has_fresh_utilisation(&self) -> bool {
        self.utilisation_at.is_some_and(|at| self.now.saturating_sub(at) < UTILISATION_MAX_AGE)
    }

    /// Updates slowness, base latency and throughput by one result.
    pub(crate) fn record_result(
        &mut self,
        id: BackendId,
        class: usize,
        cost: f64,
        load: f64,
        result: &AttemptResult,
    ) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let state = &mut self.classes[class];
        let latency_per_load = result.elapsed as f64 / load;
        let slowness = (latency_per_load / state.base_latency.max(1.0))
            .min(MAX_SLOWNESS_RATIO * backend.slowness_ewma.value.max(1.0));
        // A timeout shows that the response time is at least the time waited.
        let timed_out_slower = result.outcome == Outcome::TimedOut && slowness > backend.slowness_ewma.value;
        if result.outcome == Outcome::Served || timed_out_slower {
            backend.slowness_ewma.update(self.now, slowness, SLOWNESS_TIME_CONSTANT, 0.1);
        }
        if result.outcome == Outcome::Served {
            backend.served_work.add(self.now, cost);
            state.samples = (state.samples + 1.0).min(MAX_BASE_SAMPLES);
            // Rises slowly, so that an overload does not become the baseline.
            let weight = if latency_per_load > state.base_latency && state.samples > 50.0 {
                BASE_RISE_WEIGHT
            } else {
                1.0
            };
            state.base_latency +=
                (latency_per_load.min(MAX_SLOWNESS_RATIO * state.base_latency) - state.base_latency) * weight
                    / (state.samples + 4.0);
            if let Some(zone) = self.zones.get_mut(backend.member.zone.0 as usize) {
                let elapsed = result.elapsed as f64;
                zone.min_latency = Some(zone.min_latency.map_or(elapsed, |latency| latency.min(elapsed)));
            }
        }
    }
}
