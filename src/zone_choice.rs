//! Zone selection: the home zone while its utilisation is under the spill threshold, else the one other zone
//! with the best score.

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, UTILISATION_MAX_AGE, UTILISATION_TIME_CONSTANT};
use crate::concurrency::{INITIAL_LIMIT, LIMIT_JITTER};
use crate::state::*;

/// Interval of scoring the other zones: about the time until a send shows in load reports.
const REFRESH_INTERVAL: Nanos = 100 * MS;
/// A zone at or over this utilisation spills over; above it, queues grow faster than reports arrive.
const SPILL_THRESHOLD: f64 = 0.75;
/// Weights of headroom and of latency in a zone's score; headroom decides unless zones are nearly equal.
const WEIGHT_HEADROOM: f64 = 0.7;
const WEIGHT_LATENCY: f64 = 0.3;
/// Share of the mean latency target that a zone's load may use up before arrivals are rejected.
const TARGET_LOAD_SHARE: f64 = 0.7;
/// Share of the difference to the target load that one update of the spill and admission shares corrects.
pub(crate) const CONTROL_GAIN: f64 = 0.5;
/// Lower bound of the admitted share, so that the end of an overload is noticed.
pub(crate) const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Lower bound of the expected arrivals per backend, for a node that has just started and counted none.
const MIN_EXPECTED_ARRIVALS: f64 = 10.0;

impl Balancer {
    /// A zone's utilisation: the average of reports, scaled up by the growth of this node's attempts in
    /// flight. Never scaled down, or a full zone would look free in a short lull. `None` without recent
    /// reports.
    pub(crate) fn utilisation(&self, zone: ZoneId) -> Option<f64> {
        let state = self.zones.get(zone.0 as usize).filter(|_| self.has_fresh_utilisation())?;
        let (mut utilised, mut capacity, in_flight) = (0.0, 0.0, state.in_flight);
        let backends = self.zone_backends.get(zone.0 as usize)?;
        for backend in backends.iter().filter_map(|id| self.backends.get(id)) {
            if self.is_available(backend)
                && backend.utilisation.is_fresher_than(self.now, UTILISATION_MAX_AGE)
            {
                utilised += backend.utilisation.value * backend.capacity();
                capacity += backend.capacity();
            }
        }
        (capacity > 0.0).then(|| {
            utilised / capacity
                * ((in_flight + capacity)
                    / (state.average_in_flight(self.now, UTILISATION_TIME_CONSTANT) + capacity))
                    .max(1.0)
        })
    }

    /// Ranks the other zones: those under the threshold first, by score. A zone without reports qualifies
    /// with the lowest score, so that a request to it obtains some. Also runs the other periodic updates.
    pub(crate) fn refresh(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_refresh_at {
            return;
        }
        self.next_refresh_at =
            self.now + REFRESH_INTERVAL + (self.random_unit() * REFRESH_INTERVAL as f64 * 0.1) as Nanos;
        if let Some(event) = self.advance_traffic_shares() {
            self.log(actions, event);
        }
        self.update_class_priorities();
        self.measure_capacity();
        self.log_slow_start(actions);
        for zone in &mut self.zones {
            // Slowly forgets the minimum, so that a link that has become slow is noticed.
            zone.min_latency = zone.min_latency.map(|latency| latency * 1.002);
        }
        let home = self.settings.home_zone;
        let min_latency_of = |zone: &ZoneId| self.zones[zone.0 as usize].min_latency;
        let others = (0..self.settings.zone_count)
            .map(ZoneId)
            .filter(|&zone| zone != home && !self.is_zone_closed(zone));
        let max_latency = others.clone().filter_map(|zone| min_latency_of(&zone)).fold(1.0, f64::max);
        let mut scored: Vec<(bool, f64, ZoneId)> = others
            .map(|zone| match (self.utilisation(zone), min_latency_of(&zone)) {
                (Some(util), latency) => {
                    let headroom = 1.0 - util;
                    let latency_saved = (max_latency - latency.unwrap_or(max_latency)) / max_latency;
                    (
                        util < SPILL_THRESHOLD,
                        WEIGHT_HEADROOM * headroom + WEIGHT_LATENCY * latency_saved,
                        zone,
                    )
                }
                (None, _) => (true, -10.0, zone),
            })
            .collect();
        if self.many_nodes() {
            // Without reports, a zone is scored by its concurrency limit, with jitter so that nodes do not
            // herd.
            for score in scored.iter_mut().filter(|score| score.1 == -10.0) {
                let limit = self.zones[score.2.0 as usize].concurrency_limit().min(2.0 * INITIAL_LIMIT);
                score.1 += limit * (1.0 - LIMIT_JITTER * self.random_unit());
            }
        }
        let outside_region = |zone| !self.is_in_home_region(zone);
        scored.sort_by(|a, b| {
            let by_region = outside_region(a.2).cmp(&outside_region(b.2));
            b.0.cmp(&a.0).then(by_region).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2))
        });
        self.qualified_zones = scored.iter().filter(|score| score.0).count();
        self.overflow_zones = scored.into_iter().map(|score| score.2).collect();
        if self.settings.weight_kind != WeightKind::Live
            && self.many_nodes()
            && self.now >= self.next_share_update_at
        {
            self.next_share_update_at = self.now + SECOND;
            for zone in 0..self.settings.zone_count {
                let util = self.utilisation(ZoneId(zone)).unwrap_or(0.0).min(0.95);
                self.zones[zone as usize].mean_requests_per_core = util / (1.0 - util);
            }
            self.update_shares();
        }
        if self.many_nodes() {
            self.update_admission();
        }
        let spilling = self.utilisation(home).is_some_and(|util| util >= SPILL_THRESHOLD);
        if std::mem::replace(&mut self.zones[home.0 as usize].spilling, spilling) != spilling {
            let best = self.overflow_zones.first().copied().unwrap_or(home);
            self.log(actions, LogEvent::Spillover { home, spilling, best });
        }
    }

    /// With many nodes: updates the share of requests that spills over and the share that is admitted at all.
    /// Each moves by what corrects the load over the arrivals expected until the next reports.
    pub(crate) fn update_shares(&mut self) {
        let home = self.settings.home_zone;
        let arrival_rate = self.arrival_rate();
        let count = self.zones[home.0 as usize].backend_count.max(1.0);
        let expected_arrivals = (arrival_rate * self.nodes_per_zone() * 2.0 * self.list_interval_s / count)
            .max(MIN_EXPECTED_ARRIVALS);
        let target_load = SPILL_THRESHOLD / (1.0 - SPILL_THRESHOLD);
        let best = self.overflow_zones.first().filter(|_| self.qualified_zones > 0);
        let best = best.map(|zone| self.zones[zone.0 as usize].mean_requests_per_core);
        // Load at which, on a mean weighted by value, requests still meet their latency target.
        let (mut total_value, mut value_load) = (1e-9, 0.0);
        for (state, class) in self.classes.iter().zip(&self.settings.classes) {
            let weight = state.arrivals.per_second(self.now) * class.value;
            total_value += weight;
            value_load += weight * class.latency_target as f64 / state.base_latency.max(1.0);
        }
        // Not below the spill threshold, where the home zone serves everything; bounded above, as one node's
        // samples are few.
        let max_load =
            (TARGET_LOAD_SHARE * value_load / total_value - IDLE_LOAD).clamp(target_load, 1.5 * target_load);
        let state = &mut self.zones[home.0 as usize];
        // Crossing zones has a cost: the other zone must hold at least one request per core less.
        let excess =
            state.mean_requests_per_core - best.map_or(f64::INFINITY, |best| (best + 1.0).max(target_load));
        state.spill_share = (state.spill_share
            + CONTROL_GAIN * excess.max(-state.mean_requests_per_core) / expected_arrivals)
            .clamp(0.0, 1.0);
        // Spills first; rejects only what no zone has capacity for.
        let load =
            best.map_or(state.mean_requests_per_core, |best| 0.5 * (state.mean_requests_per_core + best));
        state.admitted_share = (state.admitted_share + CONTROL_GAIN * (max_load - load) / expected_arrivals)
            .clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// The zone that takes what the home zone does not.
    pub(crate) fn overflow_target(&self) -> Option<ZoneId> {
        self.overflow_zones.first().copied().filter(|_| self.qualified_zones > 0)
    }

    /// Chooses the backend for a request; `None` if no backend should get it now.
    pub(crate) fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let home = self.settings.home_zone;
        // With many nodes each request spills with a probability that follows the excess load; if all nodes
        // switched zones at once, they would overload the next one.
        let home_open = self.draw_zone_share(home);
        let below_threshold = if self.many_nodes() {
            self.random_unit() >= self.zones[home.0 as usize].spill_share
        } else {
            self.utilisation(home).is_none_or(|util| util < SPILL_THRESHOLD)
        };
        let (below_threshold, above_threshold) =
            (home_open && below_threshold, home_open && !below_threshold);
        if below_threshold && let Some(to) = self.pick_in_zone(id, home) {
            return Some(to);
        }
        let target = self.overflow_target();
        if let Some(to) =
            target.filter(|&zone| self.draw_zone_share(zone)).and_then(|zone| self.pick_in_zone(id, zone))
        {
            return Some(to);
        }
        if above_threshold && let Some(to) = self.pick_in_zone(id, home) {
            return Some(to);
        }
        // At the concurrency limit, other zones are not tried in turn: all nodes together would fill each.
        if home_open && !self.has_concurrency(home, 1.0) {
            return None;
        }
        // If neither can respond in time (full, ejected, cold or empty), tries any zone. If the whole home
        // subset is down, the zone probably is; the rest of it is tried only when no other zone can take the
        // request.
        let to = (0..self.overflow_zones.len()).find_map(|index| {
            let zone = self.overflow_zones[index];
            if self.draw_zone_share(zone) { self.pick_in_zone(id, zone) } else { None }
        });
        let in_subset = |b: &Backend| {
            self.zones.get(b.member.zone.0 as usize).is_some_and(|z| b.rendezvous_hash <= z.subset_max_hash)
        };
        let healthy = |b: &Backend| b.member.stage == Stage::InService && b.health == Health::Healthy;
        if to.is_some() || !home_open || self.backends.values().any(|b| in_subset(b) && healthy(b)) {
            return to;
        }
        self.pick_among(id, home, u64::MAX)
    }
}
