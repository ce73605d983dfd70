//! Slow start: limits what a node sends to a recently started (cold) backend.
//!
//! A cold backend is overloaded when all nodes together send it more than a multiple of its current capacity
//! within the overload window. Nodes do not communicate, so each one takes a fixed share of the budget, and
//! the shares are chosen to sum to at most the full budget.

use crate::api::*;
use crate::backend_view::UTILISATION_MAX_AGE;
use crate::state::*;

/// Share of a cold backend's budget that all nodes together use based on measured capacity, and the largest
/// multiple of it for a backend that responds faster than its ramp implies. Their product is about 1.
const MEASURED_BUDGET_SHARE: f64 = 0.45;
const MAX_SPEED_FACTOR: f64 = 2.2;
/// Share of the budget that all nodes together use without measurements, and how much of `sqrt(budget) + 1`
/// they add as a variance allowance. The rule tolerates twice that root; the rest absorbs late arrivals and
/// trials that coincide.
const UNMEASURED_BUDGET_SHARE: f64 = 0.2;
const VARIANCE_SHARE: f64 = 0.5;
/// Time constant of the measured capacity: some reports long, and short against the changes of a fleet's
/// shape.
const CAPACITY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// Lower bound on utilisation in the capacity estimate; dividing by less would amplify errors in reports.
const MIN_UTILISATION: f64 = 0.5;

impl Balancer {
    /// Whether slow start permits the attempt. A denial is counted for the log.
    pub(crate) fn slow_start_permits(&self, backend: &Backend, request: &Request) -> bool {
        let Some(mut decision) = self.slow_start_decision(backend, request) else { return true };
        let allowed = decision.branch.grants();
        if !allowed {
            let mut denied = self.slow_start_denials.borrow_mut();
            let earlier = denied.get(&decision.backend).map_or(0, |last| last.denials);
            decision.denials = earlier.saturating_add(1);
            denied.insert(decision.backend, decision);
        }
        allowed
    }

    /// Measures, by zone, the throughput that this node gets from each unit of warm capacity.
    ///
    /// Uses plain sums, smoothed equally upwards and downwards, so that the estimates of all nodes add up to
    /// the actual throughput. Peak values would not: clients move between nodes and would be counted twice.
    pub(crate) fn measure_capacity(&mut self) {
        let (now, rules) = (self.now, &self.settings.rules);
        let weight =
            1.0 - decay_factor(now.saturating_sub(self.capacity_measured_at), CAPACITY_TIME_CONSTANT);
        self.capacity_measured_at = now;
        let mut totals = vec![(0.0, 0.0, 0.0); self.zones.len()];
        let warm = |b: &&Backend| b.member.stage == Stage::InService && b.ramp(now, rules) >= 1.0;
        for backend in self.backends.values().filter(warm) {
            if let Some(total) = totals.get_mut(backend.member.zone.0 as usize) {
                // Without a fresh report, assume full utilisation: what is served is a safe lower bound.
                let reported = backend.utilisation.is_fresher_than(now, UTILISATION_MAX_AGE);
                let utilised =
                    if reported { backend.utilisation.value.clamp(MIN_UTILISATION, 1.0) } else { 1.0 };
                *total = (
                    total.0 + backend.served_work.per_second(now),
                    total.1 + backend.capacity() * utilised,
                    total.2 + backend.capacity(),
                );
            }
        }
        for (zone, (served, utilised, capacity)) in self.zones.iter_mut().zip(totals) {
            // Keeps the previous estimate while the zone has no warm backend.
            if capacity > 0.0 {
                zone.served_per_capacity += (served / capacity - zone.served_per_capacity) * weight;
                zone.mean_utilisation += (utilised / capacity - zone.mean_utilisation) * weight;
            }
        }
    }

    /// Decides on an attempt at a cold backend by this node's share of the backend's budget; `None` for a
    /// warm backend. The shares of all nodes in all zones add up to no more than the backend can take.
    pub(crate) fn slow_start_decision(
        &self,
        backend: &Backend,
        request: &Request,
    ) -> Option<SlowStartDecision> {
        let rules = &self.settings.rules;
        let ramp = backend.ramp(self.now, rules);
        if ramp >= 1.0 {
            return None;
        }
        let window_start = self.slow_start_window_start();
        let spent: f64 =
            backend.slow_start_sends.iter().filter(|(at, _)| *at >= window_start).map(|send| send.1).sum();
        let cost = self.in_mean_requests(request.slow_start_cost);
        let zone = self.zones.get(backend.member.zone.0 as usize).copied().unwrap_or_default();
        let window_s = rules.overload_window as f64 / SECOND as f64;
        let local = !self.many_nodes() || backend.member.zone == self.settings.home_zone;
        let capacity_estimate = zone.served_per_capacity / zone.mean_utilisation.max(MIN_UTILISATION);
        // A backend that responds faster than its ramp implies has more capacity than assumed.
        let max_speed_factor = if local { MAX_SPEED_FACTOR } else { 1.0 };
        let speed_factor = (1.0 / (ramp * backend.slowness(self.now, rules))).clamp(1.0, max_speed_factor);
        // With many nodes, only those that have the backend in their subset send to it, so they divide the
        // measured budget of all.
        let subset_share = self.subset_share(backend.member.zone);
        let measured_rate =
            MEASURED_BUDGET_SHARE * speed_factor * capacity_estimate * backend.capacity() / subset_share;
        // The minimum is the work of one request at a time, shared by all nodes that may send, as is the
        // variance allowance of the rule.
        let guaranteed = rules.overload_factor * ramp * window_s * self.in_mean_requests(SECOND as f64);
        let node_share = self.node_budget_share(local) / subset_share;
        let min_budget = UNMEASURED_BUDGET_SHARE * guaranteed * node_share;
        let variance_allowance = VARIANCE_SHARE * (guaranteed.sqrt() + 1.0) * node_share;
        let budget =
            (rules.overload_factor * ramp * window_s * measured_rate).max(min_budget) + variance_allowance;
        let branch = if self.many_nodes() && backend.rendezvous_hash > zone.subset_max_hash {
            SlowStartBranch::OutsideSubset
        } else if spent + cost <= budget {
            SlowStartBranch::WithinBudget
        } else if spent == 0.0 && self.is_trial(backend, budget / cost, local) {
            SlowStartBranch::Trial
        } else {
            SlowStartBranch::OverBudget
        };
        Some(SlowStartDecision {
            backend: backend.member.backend,
            age: backend.member.online_since.map_or(0, |started| self.now.saturating_sub(started)),
            ramp,
            capacity_estimate,
            measured_rate,
            min_budget,
            variance_allowance,
            slowness: backend.slowness(self.now, rules),
            speed_factor,
            budget,
            spent,
            cost,
            branch,
            denials: 0,
        })
    }

    /// Start of the current overload window; earlier sends to a cold backend no longer count.
    pub(crate) fn slow_start_window_start(&self) -> Nanos {
        self.now.saturating_sub(self.settings.rules.overload_window + self.settings.quantum)
    }

    /// This node's share of the unmeasured budget of a backend. With few nodes all shares are equal, as each
    /// node sends to every zone. With many, the nodes of the backend's zone share one half and all other
    /// nodes the other half.
    pub(crate) fn node_budget_share(&self, local: bool) -> f64 {
        let (nodes, local_nodes) = (f64::from(self.settings.node_count), self.nodes_per_zone());
        let remote_nodes = nodes - local_nodes;
        match self.many_nodes() && remote_nodes >= 1.0 {
            false => 1.0 / nodes,
            true if local => 0.5 / local_nodes,
            true => 0.5 / remote_nodes,
        }
    }

    /// Whether this node is drawn to send one trial request in this overload window, with a probability of
    /// `budget`, given in requests. If every node sent one, they would exceed the budget together. On average
    /// at least one local node tries, since otherwise nothing would be learned about the backend.
    pub(crate) fn is_trial(&self, backend: &Backend, budget: f64, local: bool) -> bool {
        let min_probability = match local {
            true if self.many_nodes() => 1.0 / self.nodes_per_zone(),
            true => 1.0 / f64::from(self.settings.node_count),
            false => 0.0,
        };
        let epoch = self.now / self.settings.rules.overload_window.max(1);
        let draw = mix64(backend.rendezvous_hash ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64
            / u64::MAX as f64;
        draw <= budget.max(min_probability)
    }

    /// Converts work to a number of requests of mean work. Measured service times are no unit of work, as
    /// they grow with load.
    pub(crate) fn in_mean_requests(&self, work: f64) -> f64 {
        work / self.mean_cost.max(1.0)
    }

    /// Logs the latest denial for each cold backend, and the backends that have become warm.
    pub(crate) fn log_slow_start(&mut self, actions: &mut Vec<Action>) {
        let rules = &self.settings.rules;
        let denied = std::mem::take(self.slow_start_denials.get_mut());
        actions.extend(denied.into_values().map(|decision| Action::Log(LogEvent::SlowStart(decision))));
        for backend in self.backends.values_mut() {
            let cold = backend.ramp(self.now, rules) < 1.0;
            if std::mem::replace(&mut backend.was_cold, cold) && !cold {
                actions.push(Action::Log(LogEvent::WarmedUp { backend: backend.member.backend }));
            }
        }
    }
}
