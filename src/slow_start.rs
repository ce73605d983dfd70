//! Slow start: what a node may send to a backend that has lately started.
//!
//! A cold backend falls when it gets more from *all* nodes than a multiple of its capacity in a span. Nodes
//! share nothing, so each has a part of the budget; the parts add up to the whole by the way they are cut.

use crate::api::*;
use crate::backend_view::UTILISATION_MAX_AGE;
use crate::state::*;

/// Part of what a cold backend takes that all nodes together use by what they have measured, and what
/// multiplies it at most once it has proved itself: together the whole.
const MEASURED_BUDGET_SHARE: f64 = 0.45;
const MAX_SPEED_FACTOR: f64 = 2.2;
/// The part of it that they use unmeasured, and what they use of the `root + 1` of chance that the rule
/// leaves twice beside it: the rest is for what comes late and for draws that fall together.
const UNMEASURED_BUDGET_SHARE: f64 = 0.2;
const VARIANCE_SHARE: f64 = 0.5;
/// Time constant of the measured capacity: some reports long, and short against a fleet that changes its
/// shape.
const CAPACITY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// A backend that is used less counts as used so much: the less it is, the more an error of the report
/// weighs.
const MIN_UTILISATION: f64 = 0.5;

impl Balancer {
    /// Whether slow start lets the attempt through. One that it keeps back is counted for the log.
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

    /// Measures what this node is served by each unit of warm capacity, by zone. Only sums of what was
    /// counted go in, smoothed alike up and down: so the figures of all nodes add up to what the servers do,
    /// whoever counts when. A node's best moment would not: clients move, and each node would remember them
    /// as its own.
    pub(crate) fn measure_capacity(&mut self) {
        let (now, rules) = (self.now, &self.settings.rules);
        let weight =
            1.0 - decay_factor(now.saturating_sub(self.capacity_measured_at), CAPACITY_TIME_CONSTANT);
        self.capacity_measured_at = now;
        let mut totals = vec![(0.0, 0.0, 0.0); self.zones.len()];
        let warm = |b: &&Backend| b.member.stage == Stage::InService && b.ramp(now, rules) >= 1.0;
        for backend in self.backends.values().filter(warm) {
            if let Some(total) = totals.get_mut(backend.member.zone.0 as usize) {
                // Where no report tells the used part, all of it counts: what is served can surely be done.
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
            // While none is warm there, what was measured before stands.
            if capacity > 0.0 {
                zone.served_per_capacity += (served / capacity - zone.served_per_capacity) * weight;
                zone.mean_utilisation += (utilised / capacity - zone.mean_utilisation) * weight;
            }
        }
    }

    /// Whether this node's part of a cold backend's budget has room; none for a warm one. The parts of all
    /// nodes, of every zone, add up to what the backend surely takes.
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
        // One that answers sooner than its ramp implies has room: what it was held to carry was too low.
        let max_speed_factor = if local { MAX_SPEED_FACTOR } else { 1.0 };
        let speed_factor = (1.0 / (ramp * backend.slowness(self.now, rules))).clamp(1.0, max_speed_factor);
        // Where nodes are many, only those with it in their subset send there, and these divide what all
        // measure.
        let subset_share = self.subset_share(backend.member.zone);
        let measured_rate =
            MEASURED_BUDGET_SHARE * speed_factor * capacity_estimate * backend.capacity() / subset_share;
        // Whatever the others carry, it works on one request at a time. Every node that may send has its part
        // of that, and of the chance that the rule leaves beside it.
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

    /// From when on what was sent to a cold backend counts.
    pub(crate) fn slow_start_window_start(&self) -> Nanos {
        self.now.saturating_sub(self.settings.rules.overload_window + self.settings.quantum)
    }

    /// This node's part of what all nodes may send to a backend whatever they have measured: as much as any
    /// other's where nodes are few, as each of them sends to every zone. Where they are many, those of its
    /// own zone have one half, those of all other zones the other.
    pub(crate) fn node_budget_share(&self, local: bool) -> f64 {
        let (nodes, local_nodes) = (f64::from(self.settings.node_count), self.nodes_per_zone());
        let remote_nodes = nodes - local_nodes;
        match self.many_nodes() && remote_nodes >= 1.0 {
            false => 1.0 / nodes,
            true if local => 0.5 / local_nodes,
            true => 0.5 / remote_nodes,
        }
    }

    /// Whether chance lets this node send one in this span, on a budget of this part of a request: all nodes
    /// would exceed theirs together with their first sends. Of a zone's nodes, or of all where they are few,
    /// one or so always tries, as no figure may come from elsewhere.
    pub(crate) fn is_trial(&self, backend: &Backend, budget: f64, local: bool) -> bool {
        let min_budget = match local {
            true if self.many_nodes() => 1.0 / self.nodes_per_zone(),
            true => 1.0 / f64::from(self.settings.node_count),
            false => 0.0,
        };
        let epoch = self.now / self.settings.rules.overload_window.max(1);
        let draw = mix64(backend.rendezvous_hash ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64
            / u64::MAX as f64;
        draw <= budget.max(min_budget)
    }

    /// Work in requests of mean work: what the nodes learn of the time that a request takes moves with the
    /// load, and would stretch what was measured before.
    pub(crate) fn in_mean_requests(&self, work: f64) -> f64 {
        work / self.mean_cost.max(1.0)
    }

    /// Logs what slow start has kept back, one line a backend, and which backends have become warm.
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
