//! Admission: what is taken, held, or refused at once, by the time left and by what it is worth.

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, SLOWNESS_DECAY};
use crate::state::*;
use crate::zone_choice::MIN_ADMITTED_SHARE;

/// A send is admitted if its expected delay fits into this share of the time left to its aim.
const MAX_DELAY_SHARE: f64 = 0.6;
/// An idle backend no slower than this takes one at any expected delay, should base times exceed the aim.
const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// A class worth less leaves this share of the room of the next worthier class at least.
const LOAD_LIMIT_STEP: f64 = 0.8;

impl Balancer {
    /// Part of a tenant's requests that is beyond this node's part of its share.
    pub(crate) fn over_quota_share(&self, tenant: usize) -> f64 {
        let (Some(asked), Some(quota)) =
            (self.tenant_rates.get(tenant), self.settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        let part = quota / f64::from(self.settings.node_count) / asked.per_second(self.now).max(1e-9);
        // A node sees few requests of a tenant: half as many again may be chance.
        if self.settings.over_quota_value < 1.0 { (1.0 - 1.5 * part).max(0.0) } else { 0.0 }
    }

    /// Spreads what the list's figures leave room for over the classes, the worthiest for its work first.
    pub(crate) fn update_admission(&mut self) {
        let asked = self.arrival_rate();
        let taken = self.zones[self.settings.home_zone.0 as usize].admitted_share;
        // A tenant that floods is turned away first, down to this node's part of its share.
        let over: f64 = (0..self.tenant_rates.len())
            .map(|t| self.over_quota_share(t) * self.tenant_rates[t].per_second(self.now))
            .sum();
        let within = (1.0 - over / asked.max(1e-9)).clamp(0.1, 1.0);
        self.over_quota_admit =
            if within < 1.0 { ((taken - within) / (1.0 - within)).clamp(0.0, 1.0) } else { taken };
        let taken = (taken / within).min(1.0);
        let mut left = taken * asked;
        for class in self.classes_by_priority() {
            let view = &mut self.classes[class];
            let asked = view.arrivals.per_second(self.now);
            // A class not asked for of late is not one that there is no room for.
            view.admit_probability =
                if taken < 1.0 && asked > 0.1 { (left / asked).clamp(MIN_ADMITTED_SHARE, 1.0) } else { 1.0 };
            left = (left - asked).max(0.0);
        }
    }

    /// Whether a send there would be answered in time. Own idleness is no proof: where many nodes each send
    /// one to a backend that they hold nothing on, they jam it; so only one not known as slow.
    pub(crate) fn meets_latency_target(&self, request: &Request, backend: &Backend) -> bool {
        let end =
            if self.now >= request.target_deadline { request.not_after } else { request.target_deadline };
        let left = end.saturating_sub(self.now) as f64;
        let slowness = backend.slowness(self.now, &self.settings.rules);
        let stretch = slowness * backend.load(self.nodes_per_zone());
        let view = &self.classes[request.class];
        // What was slow some time ago may be free again, which only a send can show; of those who use it one.
        let cold = backend.ramp(self.now, &self.settings.rules) < 1.0;
        let users = if self.many_nodes() && !cold {
            self.nodes_per_zone() * self.subset_share(backend.member.zone)
        } else {
            1.0
        };
        let trial = (SLOWNESS_DECAY as f64 / 10.0 * users) as Nanos;
        let idle = backend.in_flight == 0
            && (slowness < MAX_IDLE_SLOWNESS || !backend.slowness_ewma.is_fresher_than(self.now, trial));
        // One too slow for the worthier class, even if idle, has no room to leave to it.
        let room = if slowness * IDLE_LOAD < view.load_limit { view.load_limit } else { f64::INFINITY };
        idle || stretch <= room.min(MAX_DELAY_SHARE * left / view.base_latency)
    }

    pub(crate) fn send_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.choose_backend(id).is_some_and(|to| self.send(id, to, actions)) {
            return;
        }
        if self.many_nodes() {
            self.finish(id, actions);
        } else if let Some(request) = self.requests.get_mut(&id).filter(|r| r.phase == Phase::Open) {
            request.phase = Phase::Queued;
            self.queue.push(id);
        }
    }

    /// Sends what is held as room appears, the worthiest first.
    pub(crate) fn drain_queue(&mut self, actions: &mut Vec<Action>) {
        let valued = |&id| self.requests.get(&id).map(|r: &Request| (self.classes[r.class].priority, id));
        let mut order: Vec<(f64, RequestId)> = self.queue.iter().filter_map(valued).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let unsent = |&(_, id): &_| !self.choose_backend(id).is_some_and(|to| self.send(id, to, actions));
        // Where nine find no room, the rest need not be tried.
        order.into_iter().filter(unsent).take(9).count();
    }

    /// Ends what can no longer be answered in time, while a refusal is still early.
    pub(crate) fn expire_queue(&mut self, actions: &mut Vec<Action>) {
        let tick = self.housekeeping_interval();
        for id in self.queue.clone() {
            let Some(held) = self.requests.get(&id).filter(|r| r.phase == Phase::Queued) else { continue };
            let least = (self.classes[held.class].base_latency * IDLE_LOAD * 0.5) as Nanos + tick;
            let late = self.now + least >= held.target_deadline || self.now + tick >= held.not_after;
            if late && !held.attempts.iter().any(Attempt::is_in_flight) {
                self.finish(id, actions);
            }
        }
    }

    /// What a unit of each class's work adds to the goal: worth, and more for the worst-served class.
    pub(crate) fn update_class_priorities(&mut self) {
        let goal = self.settings.worst_class_weight.min(1.0);
        let rates: Vec<(f64, f64)> = self
            .classes
            .iter()
            .map(|c| (c.arrivals.per_second(self.now), c.served.per_second(self.now)))
            .collect();
        let total_value: f64 = rates.iter().zip(&self.settings.classes).map(|(r, c)| r.0 * c.value).sum();
        let part = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let worst = rates.iter().map(|&rate| part(rate)).fold(1.0, f64::min);
        for ((view, class), &rate) in self.classes.iter_mut().zip(&self.settings.classes).zip(&rates) {
            let mut value = (1.0 - goal) * class.value / total_value.max(1e-9);
            if part(rate) <= worst {
                value += goal / rate.0.max(1e-9);
            }
            view.priority =
                if self.settings.value_per_work { value } else { value / view.base_latency.max(1.0) };
        }
        // A worthy class with a tight aim would find all room taken by lesser ones with a wide aim.
        let mut room = f64::INFINITY;
        for class in self.classes_by_priority().into_iter().filter(|&class| rates[class].0 > 0.1) {
            let aim = self.settings.classes[class].latency_target as f64;
            let view = &mut self.classes[class];
            room = (room * LOAD_LIMIT_STEP).min(MAX_DELAY_SHARE * aim / view.base_latency.max(1.0));
            view.load_limit = room;
        }
    }
}
