//! Which zone a request goes to: home while it is under the threshold, else the one other zone with
//! the best weighted score.

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, UTILISATION_MAX_AGE, UTILISATION_TIME_CONSTANT};
use crate::concurrency::{INITIAL_LIMIT, LIMIT_JITTER};
use crate::state::*;

/// Period of the overflow target's scoring: the time that a send needs to show in a report, or so.
const REFRESH_INTERVAL: Nanos = 100 * MS;
/// A zone at or over this utilisation spills; above it queues grow faster than figures arrive.
const SPILL_THRESHOLD: f64 = 0.75;
/// WeightKind of headroom and of latency saved in a zone's score; headroom decides unless zones are alike.
const WEIGHT_HEADROOM: f64 = 0.7;
const WEIGHT_LATENCY: f64 = 0.3;
/// Part of the aim, on the mean, that a zone's load may fill before arrivals are turned away.
const TARGET_LOAD_SHARE: f64 = 0.7;
/// Part of the difference to the wanted load that one list's figures correct, in the share of the arrivals
/// that spills and the share that is taken; and the least of the latter, so that an end of the jam is seen.
pub(crate) const CONTROL_GAIN: f64 = 0.5;
pub(crate) const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Fewest arrivals for each backend until the next figures: a node that has just started has counted none.
const MIN_EXPECTED_ARRIVALS: f64 = 10.0;

impl Balancer {
    /// A zone's utilisation: smoothed reports, raised by the own sends since they were made. Never lowered:
    /// a zone reported full would look free in a moment's lull.
    pub(crate) fn utilisation(&self, zone: ZoneId) -> Option<f64> {
        let view = self.zones.get(zone.0 as usize).filter(|_| self.has_fresh_utilisation())?;
        let (mut used, mut size, own) = (0.0, 0.0, view.in_flight);
        let members = self.zone_backends.get(zone.0 as usize)?;
        for backend in members.iter().filter_map(|id| self.backends.get(id)) {
            if self.is_available(backend)
                && backend.utilisation.is_fresher_than(self.now, UTILISATION_MAX_AGE)
            {
                used += backend.utilisation.value * backend.capacity();
                size += backend.capacity();
            }
        }
        (size > 0.0).then(|| {
            used / size
                * ((own + size) / (view.average_in_flight(self.now, UTILISATION_TIME_CONSTANT) + size))
                    .max(1.0)
        })
    }

    /// Scores the other zones. Those under the threshold come first, by score; an unseen zone qualifies
    /// lowest, so that one send learns its figures.
    pub(crate) fn refresh(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_refresh_at {
            return;
        }
        self.next_refresh_at =
            self.now + REFRESH_INTERVAL + (self.random_unit() * REFRESH_INTERVAL as f64 * 0.1) as Nanos;
        if let Some(note) = self.advance_traffic_shares() {
            self.log(actions, note);
        }
        self.update_class_priorities();
        self.measure_capacity();
        self.log_slow_start(actions);
        for zone in &mut self.zones {
            // Forgotten slowly, so that a link that has become slow shows.
            zone.min_latency = zone.min_latency.map(|least| least * 1.002);
        }
        let home = self.settings.home_zone;
        let seen = |zone: &ZoneId| self.zones[zone.0 as usize].min_latency;
        let others = (0..self.settings.zone_count)
            .map(ZoneId)
            .filter(|&zone| zone != home && !self.is_zone_closed(zone));
        let farthest = others.clone().filter_map(|zone| seen(&zone)).fold(1.0, f64::max);
        let mut scored: Vec<(bool, f64, ZoneId)> = others
            .map(|zone| match (self.utilisation(zone), seen(&zone)) {
                (Some(util), latency) => {
                    let headroom = 1.0 - util;
                    let saved = (farthest - latency.unwrap_or(farthest)) / farthest;
                    (util < SPILL_THRESHOLD, WEIGHT_HEADROOM * headroom + WEIGHT_LATENCY * saved, zone)
                }
                (None, _) => (true, -10.0, zone),
            })
            .collect();
        if self.many_nodes() {
            // What came back tells the room of a zone that no report does. Nodes alike must not herd.
            for score in scored.iter_mut().filter(|score| score.1 == -10.0) {
                let room = self.zones[score.2.0 as usize].concurrency_limit().min(2.0 * INITIAL_LIMIT);
                score.1 += room * (1.0 - LIMIT_JITTER * self.random_unit());
            }
        }
        let far = |zone| !self.is_in_home_region(zone);
        scored.sort_by(|a, b| {
            let near = far(a.2).cmp(&far(b.2));
            b.0.cmp(&a.0).then(near).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2))
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

    /// Where nodes are many: the share that spills, and the share of each class that is taken at all. Each
    /// moves by what would even out the figures over the arrivals of about the time until the next ones.
    pub(crate) fn update_shares(&mut self) {
        let home = self.settings.home_zone;
        let asked = self.arrival_rate();
        let count = self.zones[home.0 as usize].backend_count.max(1.0);
        let coming =
            (asked * self.nodes_per_zone() * 2.0 * self.list_interval_s / count).max(MIN_EXPECTED_ARRIVALS);
        let wanted = SPILL_THRESHOLD / (1.0 - SPILL_THRESHOLD);
        let best = self.overflow_zones.first().filter(|_| self.qualified_zones > 0);
        let best = best.map(|zone| self.zones[zone.0 as usize].mean_requests_per_core);
        // Load at which the mean unit of worth would still be answered in time.
        let (mut worth, mut fitting) = (1e-9, 0.0);
        for (view, class) in self.classes.iter().zip(&self.settings.classes) {
            let weight = view.arrivals.per_second(self.now) * class.value;
            worth += weight;
            fitting += weight * class.latency_target as f64 / view.base_latency.max(1.0);
        }
        // Not under the threshold, where home serves all; one node's own times are few, hence the bounds.
        let room = (TARGET_LOAD_SHARE * fitting / worth - IDLE_LOAD).clamp(wanted, 1.5 * wanted);
        let view = &mut self.zones[home.0 as usize];
        // A crossing has its price: the other zone must hold less by one request a core at least.
        let spilling =
            view.mean_requests_per_core - best.map_or(f64::INFINITY, |best| (best + 1.0).max(wanted));
        view.spill_share = (view.spill_share
            + CONTROL_GAIN * spilling.max(-view.mean_requests_per_core) / coming)
            .clamp(0.0, 1.0);
        // Home spills first; only what no zone has room for is turned away.
        let held =
            best.map_or(view.mean_requests_per_core, |best| 0.5 * (view.mean_requests_per_core + best));
        view.admitted_share =
            (view.admitted_share + CONTROL_GAIN * (room - held) / coming).clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// The one zone that takes what home does not.
    pub(crate) fn overflow_target(&self) -> Option<ZoneId> {
        self.overflow_zones.first().copied().filter(|_| self.qualified_zones > 0)
    }

    /// The backend for a request by the design, or none if it is better held.
    pub(crate) fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let home = self.settings.home_zone;
        // Exception: many nodes that all left an over-used zone at once would pile onto the next; so each
        // request leaves by chance, and the share follows the excess.
        let at_home = self.draw_zone_share(home);
        let under = if self.many_nodes() {
            self.random_unit() >= self.zones[home.0 as usize].spill_share
        } else {
            self.utilisation(home).is_none_or(|util| util < SPILL_THRESHOLD)
        };
        let (under, over) = (at_home && under, at_home && !under);
        if under && let Some(to) = self.pick_in_zone(id, home) {
            return Some(to);
        }
        let target = self.overflow_target();
        if let Some(to) =
            target.filter(|&zone| self.draw_zone_share(zone)).and_then(|zone| self.pick_in_zone(id, zone))
        {
            return Some(to);
        }
        if over && let Some(to) = self.pick_in_zone(id, home) {
            return Some(to);
        }
        // A full window is no reason to try one zone after the other: all nodes together would fill each.
        if at_home && !self.has_concurrency(home, 1.0) {
            return None;
        }
        // Exception: home can take nothing in time (full, ejected, cold or empty): any zone that can. Where a
        // subset is dead its zone may well be; past it, to all of home, only when no other zone is left.
        let to = (0..self.overflow_zones.len()).find_map(|at| {
            let zone = self.overflow_zones[at];
            if self.draw_zone_share(zone) { self.pick_in_zone(id, zone) } else { None }
        });
        let own = |b: &Backend| {
            self.zones.get(b.member.zone.0 as usize).is_some_and(|z| b.rendezvous_hash <= z.subset_max_hash)
        };
        let lives = |b: &Backend| b.member.stage == Stage::InService && b.health == Health::Healthy;
        if to.is_some() || !at_home || self.backends.values().any(|b| own(b) && lives(b)) {
            return to;
        }
        self.pick_among(id, home, u64::MAX)
    }
}
