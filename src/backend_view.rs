//! What a node learns of each backend: load, slowness and expected delay.
//!
//! Not for decisions: these read the figures.

use crate::api::*;
use crate::crowding::MANY_NODES_PER_ZONE;
use crate::state::*;

/// Time constant of a backend's smoothed utilisation: some report periods.
pub(crate) const UTILISATION_TIME_CONSTANT: Nanos = 400 * MS;
/// A utilisation older than this says nothing; a zone with no younger one counts as unseen.
pub(crate) const UTILISATION_MAX_AGE: Nanos = 4 * SECOND;
/// Time constant of a backend's slowness: tens of answers, yet within a neighbour's seconds on and off.
const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// An unused backend's slowness is forgotten with this time constant, so that it is tried again.
pub(crate) const SLOWNESS_DECAY: Nanos = 3 * SECOND;
/// Samples over which a class's base time is learned; slow against a day's troubles.
const MAX_BASE_SAMPLES: f64 = 400.0;
/// Weight of a sample above the base time against one below it.
const BASE_RISE_WEIGHT: f64 = 0.4;
/// Load of an idle backend in the expected delay, in own requests: the part of a request's time that passes
/// in waits no queue lengthens. Too small, a crowded backend teaches a base time that no idle one can reach.
pub(crate) const IDLE_LOAD: f64 = 2.0;
/// One observation counts at most this many times the expectation: single expensive requests are chance.
const MAX_SLOWNESS_RATIO: f64 = 6.0;

impl Backend {
    /// Load in requests for each unit of size: own ones, times the nodes that do alike; where these are
    /// many, what all nodes have been told.
    pub(crate) fn load(&self, nodes_per_zone: f64) -> f64 {
        let own = f64::from(self.in_flight) / self.capacity();
        match self.requests_per_core {
            Some(held) if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + held.max(own),
            None if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + own,
            _ => IDLE_LOAD + nodes_per_zone * own,
        }
    }

    /// Slowness against the fleet's mean, forgotten towards what its ramp implies.
    pub(crate) fn slowness(&self, now: Nanos, rules: &RuleParameters) -> f64 {
        let prior = 1.0 / self.ramp(now, rules);
        let Some(at) = self.slowness_ewma.at else { return prior };
        prior + (self.slowness_ewma.value - prior) * decay_factor(now.saturating_sub(at), SLOWNESS_DECAY)
    }
}

impl Balancer {
    /// How long an answer from there should take, in nanoseconds.
    pub(crate) fn expected_delay(&self, backend: &Backend, class: usize) -> f64 {
        let slowness = backend.slowness(self.now, &self.settings.rules);
        slowness * backend.load(self.nodes_per_zone()) * self.classes[class].base_latency
    }

    /// Takes a load report in; figures that are not finite or not possible are passed over.
    pub(crate) fn record_load_report(&mut self, id: BackendId, report: LoadReport) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if let Some(util) = report.util.filter(|util| util.is_finite() && *util >= 0.0) {
            backend.utilisation.update(self.now, util.min(1.5), UTILISATION_TIME_CONSTANT, 0.05);
            self.utilisation_at = Some(self.now);
        }
    }

    /// Whether any utilisation at all is young enough to say something.
    pub(crate) fn has_fresh_utilisation(&self) -> bool {
        self.utilisation_at.is_some_and(|at| self.now.saturating_sub(at) < UTILISATION_MAX_AGE)
    }

    /// Learns slowness, base time and served rate from one outcome.
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
        let view = &mut self.classes[class];
        let unit = result.elapsed as f64 / load;
        let slow = (unit / view.base_latency.max(1.0))
            .min(MAX_SLOWNESS_RATIO * backend.slowness_ewma.value.max(1.0));
        // No answer at all tells of a delay of at least the time waited.
        let longer = result.outcome == Outcome::TimedOut && slow > backend.slowness_ewma.value;
        if result.outcome == Outcome::Served || longer {
            backend.slowness_ewma.update(self.now, slow, SLOWNESS_TIME_CONSTANT, 0.1);
        }
        if result.outcome == Outcome::Served {
            backend.served_work.add(self.now, cost);
            view.samples = (view.samples + 1.0).min(MAX_BASE_SAMPLES);
            // Rises slowly, so that a jam does not come to pass for the normal state.
            let weight = if unit > view.base_latency && view.samples > 50.0 { BASE_RISE_WEIGHT } else { 1.0 };
            view.base_latency += (unit.min(MAX_SLOWNESS_RATIO * view.base_latency) - view.base_latency)
                * weight
                / (view.samples + 4.0);
            if let Some(zone) = self.zones.get_mut(backend.member.zone.0 as usize) {
                let elapsed = result.elapsed as f64;
                zone.min_latency = Some(zone.min_latency.map_or(elapsed, |least| least.min(elapsed)));
            }
        }
    }
}
