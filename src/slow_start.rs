//! Slow start: what a node may send to a backend that has lately started.
//!
//! A cold backend falls when it gets more from *all* nodes than a multiple of its capacity in a span. Nodes
//! share nothing, so each has a part of the budget; the parts add up to the whole by the way they are cut.

use crate::api::*;
use crate::backend_view::UTIL_TRUST;
use crate::state::*;

/// Part of what a cold backend takes that all nodes together use by what they have measured, and what
/// multiplies it at most once it has proved itself: together the whole.
const COLD_MEASURED: f64 = 0.45;
const COLD_PROVEN: f64 = 2.2;
/// The part of it that they use unmeasured, and what they use of the `root + 1` of chance that the rule
/// leaves twice beside it: the rest is for what comes late and for draws that fall together.
const COLD_UNMEASURED: f64 = 0.2;
const COLD_CHANCE: f64 = 0.5;
/// Time constant of the measured capacity: some reports long, and short against a fleet that changes its
/// shape.
const CAPACITY_SMOOTHING: Nanos = 3 * SECOND;
/// A backend that is used less counts as used so much: the less it is, the more an error of the report
/// weighs.
const LEAST_USED: f64 = 0.5;

impl Balancer {
    /// Whether slow start lets the attempt through. One that it keeps back is counted for the log.
    pub(crate) fn cold_budget(&self, backend: &Backend, request: &Request) -> bool {
        let Some(mut decision) = self.slow_start(backend, request) else { return true };
        let grants = decision.branch.grants();
        if !grants {
            let mut refused = self.slow_start_denials.borrow_mut();
            let before = refused.get(&decision.backend).map_or(0, |last| last.denials);
            decision.denials = before.saturating_add(1);
            refused.insert(decision.backend, decision);
        }
        grants
    }

    /// Measures what this node is served by each unit of warm capacity, by zone. Only sums of what was
    /// counted go in, smoothed alike up and down: so the figures of all nodes add up to what the servers do,
    /// whoever counts when. A node's best moment would not: clients move, and each node would remember them
    /// as its own.
    pub(crate) fn measure_capacity(&mut self) {
        let (now, rules) = (self.now, &self.settings.rules);
        let weight = 1.0 - decay_factor(now.saturating_sub(self.capacity_measured_at), CAPACITY_SMOOTHING);
        self.capacity_measured_at = now;
        let mut sums = vec![(0.0, 0.0, 0.0); self.zones.len()];
        let warm = |b: &&Backend| b.member.stage == Stage::InService && b.ramp(now, rules) >= 1.0;
        for backend in self.backends.values().filter(warm) {
            if let Some(sum) = sums.get_mut(backend.member.zone.0 as usize) {
                // Where no report tells the used part, all of it counts: what is served can surely be done.
                let told = backend.utilisation.is_fresher_than(now, UTIL_TRUST);
                let used = if told { backend.utilisation.value.clamp(LEAST_USED, 1.0) } else { 1.0 };
                *sum = (
                    sum.0 + backend.served_work.per_second(now),
                    sum.1 + backend.capacity() * used,
                    sum.2 + backend.capacity(),
                );
            }
        }
        for (zone, (served, used, size)) in self.zones.iter_mut().zip(sums) {
            // While none is warm there, what was measured before stands.
            if size > 0.0 {
                zone.served_per_capacity += (served / size - zone.served_per_capacity) * weight;
                zone.mean_utilisation += (used / size - zone.mean_utilisation) * weight;
            }
        }
    }

    /// Whether this node's part of a cold backend's budget has room; none for a warm one. The parts of all
    /// nodes, of every zone, add up to what the backend surely takes.
    pub(crate) fn slow_start(&self, backend: &Backend, request: &Request) -> Option<SlowStartDecision> {
        let rules = &self.settings.rules;
        let ramp = backend.ramp(self.now, rules);
        if ramp >= 1.0 {
            return None;
        }
        let since = self.slow_start_since();
        let spent: f64 =
            backend.slow_start_sends.iter().filter(|(at, _)| *at >= since).map(|send| send.1).sum();
        let cost = self.mean_parts(request.slow_start_cost);
        let zone = self.zones.get(backend.member.zone.0 as usize).copied().unwrap_or_default();
        let span = rules.overload_window as f64 / SECOND as f64;
        let own = !self.many() || backend.member.zone == self.settings.home_zone;
        let estimate = zone.served_per_capacity / zone.mean_utilisation.max(LEAST_USED);
        // One that answers sooner than its ramp implies has room: what it was held to carry was too low.
        let most = if own { COLD_PROVEN } else { 1.0 };
        let proven = (1.0 / (ramp * backend.slowness(self.now, rules))).clamp(1.0, most);
        // Where nodes are many, only those with it in their subset send there, and these divide what all
        // measure.
        let reach = self.reach(backend.member.zone);
        let measured = COLD_MEASURED * proven * estimate * backend.capacity() / reach;
        // Whatever the others carry, it works on one request at a time. Every node that may send has its part
        // of that, and of the chance that the rule leaves beside it.
        let surely = rules.overload_factor * ramp * span * self.mean_parts(SECOND as f64);
        let part = self.part_of_all(own) / reach;
        let least = COLD_UNMEASURED * surely * part;
        let chance = COLD_CHANCE * (surely.sqrt() + 1.0) * part;
        let budget = (rules.overload_factor * ramp * span * measured).max(least) + chance;
        let branch = if self.many() && backend.rendezvous_hash > zone.subset_max_hash {
            SlowStartBranch::OutsideSubset
        } else if spent + cost <= budget {
            SlowStartBranch::WithinBudget
        } else if spent == 0.0 && self.is_trial(backend, budget / cost, own) {
            SlowStartBranch::Trial
        } else {
            SlowStartBranch::OverBudget
        };
        Some(SlowStartDecision {
            backend: backend.member.backend,
            age: backend.member.online_since.map_or(0, |since| self.now.saturating_sub(since)),
            ramp,
            capacity_estimate: estimate,
            measured_rate: measured,
            min_budget: least,
            variance_allowance: chance,
            slowness: backend.slowness(self.now, rules),
            speed_factor: proven,
            budget,
            spent,
            cost,
            branch,
            denials: 0,
        })
    }

    /// From when on what was sent to a cold backend counts.
    pub(crate) fn slow_start_since(&self) -> Nanos {
        self.now.saturating_sub(self.settings.rules.overload_window + self.settings.quantum)
    }

    /// This node's part of what all nodes may send to a backend whatever they have measured: as much as any
    /// other's where nodes are few, as each of them sends to every zone. Where they are many, those of its
    /// own zone have one half, those of all other zones the other.
    pub(crate) fn part_of_all(&self, own: bool) -> f64 {
        let (nodes, zone_nodes) = (f64::from(self.settings.node_count), self.nodes_per_zone());
        let other_nodes = nodes - zone_nodes;
        match self.many() && other_nodes >= 1.0 {
            false => 1.0 / nodes,
            true if own => 0.5 / zone_nodes,
            true => 0.5 / other_nodes,
        }
    }

    /// Whether chance lets this node send one in this span, on a budget of this part of a request: all nodes
    /// would exceed theirs together with their first sends. Of a zone's nodes, or of all where they are few,
    /// one or so always tries, as no figure may come from elsewhere.
    pub(crate) fn is_trial(&self, backend: &Backend, budget: f64, own: bool) -> bool {
        let least = match own {
            true if self.many() => 1.0 / self.nodes_per_zone(),
            true => 1.0 / f64::from(self.settings.node_count),
            false => 0.0,
        };
        let epoch = self.now / self.settings.rules.overload_window.max(1);
        let draw = mix64(backend.rendezvous_hash ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64
            / u64::MAX as f64;
        draw <= budget.max(least)
    }

    /// Work in requests of mean work: what the nodes learn of the time that a request takes moves with the
    /// load, and would stretch what was measured before.
    pub(crate) fn mean_parts(&self, work: f64) -> f64 {
        work / self.mean_cost.max(1.0)
    }

    /// Logs what slow start has kept back, one line a backend, and which backends have become warm.
    pub(crate) fn note_slow_start(&mut self, actions: &mut Vec<Action>) {
        let rules = &self.settings.rules;
        let refused = std::mem::take(self.slow_start_denials.get_mut());
        actions.extend(refused.into_values().map(|decision| Action::Log(LogEvent::SlowStart(decision))));
        for backend in self.backends.values_mut() {
            let cold = backend.ramp(self.now, rules) < 1.0;
            if std::mem::replace(&mut backend.was_cold, cold) && !cold {
                actions.push(Action::Log(LogEvent::WarmedUp { backend: backend.member.backend }));
            }
        }
    }
}
