//! Admission control: which requests are sent, queued or rejected, by the time left and by their value.

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, SLOWNESS_DECAY};
use crate::state::*;
use crate::zone_choice::MIN_ADMITTED_SHARE;

/// A request is sent if its expected delay is at most this share of the time left to its latency target.
const MAX_DELAY_SHARE: f64 = 0.6;
/// An idle backend with at most this slowness takes a request whatever the expected delay, in case the base
/// latency exceeds the target.
const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// The load limit of a class is at most this share of that of the class with the next higher priority.
const LOAD_LIMIT_STEP: f64 = 0.8;

impl Balancer {
    /// Share of a tenant's requests that exceeds this node's part of its quota.
    pub(crate) fn over_quota_share(&self, tenant: usize) -> f64 {
        let (Some(rate), Some(quota)) =
            (self.tenant_rates.get(tenant), self.settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        let quota_share = quota / f64::from(self.settings.node_count) / rate.per_second(self.now).max(1e-9);
        // Tolerates 1.5 times the quota, as the few requests that one node sees vary by chance.
        if self.settings.over_quota_value < 1.0 { (1.0 - 1.5 * quota_share).max(0.0) } else { 0.0 }
    }

    /// Distributes the admitted share of the arrivals over the classes, highest priority first.
    pub(crate) fn update_admission(&mut self) {
        let arrival_rate = self.arrival_rate();
        let admitted = self.zones[self.settings.home_zone.0 as usize].admitted_share;
        // Requests over a tenant's quota are rejected first.
        let over_quota: f64 = (0..self.tenant_rates.len())
            .map(|t| self.over_quota_share(t) * self.tenant_rates[t].per_second(self.now))
            .sum();
        let within_quota = (1.0 - over_quota / arrival_rate.max(1e-9)).clamp(0.1, 1.0);
        self.over_quota_admit = if within_quota < 1.0 {
            ((admitted - within_quota) / (1.0 - within_quota)).clamp(0.0, 1.0)
        } else {
            admitted
        };
        let admitted = (admitted / within_quota).min(1.0);
        let mut unallotted_rate = admitted * arrival_rate;
        for class in self.classes_by_priority() {
            let state = &mut self.classes[class];
            let arrival_rate = state.arrivals.per_second(self.now);
            // A class without recent arrivals is admitted, although nothing was left to allot to it.
            state.admit_probability = if admitted < 1.0 && arrival_rate > 0.1 {
                (unallotted_rate / arrival_rate).clamp(MIN_ADMITTED_SHARE, 1.0)
            } else {
                1.0
            };
            unallotted_rate = (unallotted_rate - arrival_rate).max(0.0);
        }
    }

    /// Whether the backend is expected to respond to the request in time. That this node has nothing in
    /// flight there does not prove it idle, as other nodes may load it: it must not be known as slow either.
    pub(crate) fn meets_latency_target(&self, request: &Request, backend: &Backend) -> bool {
        let deadline =
            if self.now >= request.target_deadline { request.not_after } else { request.target_deadline };
        let time_left = deadline.saturating_sub(self.now) as f64;
        let slowness = backend.slowness(self.now, &self.settings.rules);
        let stretch = slowness * backend.load(self.nodes_per_zone());
        let state = &self.classes[request.class];
        // A backend that was slow a while ago gets a trial, by about one of the nodes that use it.
        let cold = backend.ramp(self.now, &self.settings.rules) < 1.0;
        let node_count = if self.many_nodes() && !cold {
            self.nodes_per_zone() * self.subset_share(backend.member.zone)
        } else {
            1.0
        };
        let trial_interval = (SLOWNESS_DECAY as f64 / 10.0 * node_count) as Nanos;
        let idle = backend.in_flight == 0
            && (slowness < MAX_IDLE_SLOWNESS
                || !backend.slowness_ewma.is_fresher_than(self.now, trial_interval));
        // A backend too slow for the higher class even when idle need not be kept free for it.
        let load_limit =
            if slowness * IDLE_LOAD < state.load_limit { state.load_limit } else { f64::INFINITY };
        idle || stretch <= load_limit.min(MAX_DELAY_SHARE * time_left / state.base_latency)
    }

    /// Sends a request, or queues it if no backend can take it; with many nodes it is ended instead of
    /// queued.
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

    /// Sends queued requests where backends have capacity again, highest priority first.
    pub(crate) fn drain_queue(&mut self, actions: &mut Vec<Action>) {
        let with_priority =
            |&id| self.requests.get(&id).map(|r: &Request| (self.classes[r.class].priority, id));
        let mut order: Vec<(f64, RequestId)> = self.queue.iter().filter_map(with_priority).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let unsent = |&(_, id): &_| !self.choose_backend(id).is_some_and(|to| self.send(id, to, actions));
        // Stops after nine requests that could not be sent, to bound the work.
        order.into_iter().filter(unsent).take(9).count();
    }

    /// Ends queued requests that can no longer be served in time.
    pub(crate) fn expire_queue(&mut self, actions: &mut Vec<Action>) {
        let interval = self.housekeeping_interval();
        for id in self.queue.clone() {
            let Some(request) = self.requests.get(&id).filter(|r| r.phase == Phase::Queued) else { continue };
            let min_time = (self.classes[request.class].base_latency * IDLE_LOAD * 0.5) as Nanos + interval;
            let late =
                self.now + min_time >= request.target_deadline || self.now + interval >= request.not_after;
            if late && !request.attempts.iter().any(Attempt::is_in_flight) {
                self.finish(id, actions);
            }
        }
    }

    /// Updates the priority of each class: the value of its work, with a bonus for the worst-served class.
    pub(crate) fn update_class_priorities(&mut self) {
        let worst_class_weight = self.settings.worst_class_weight.min(1.0);
        let rates: Vec<(f64, f64)> = self
            .classes
            .iter()
            .map(|c| (c.arrivals.per_second(self.now), c.served.per_second(self.now)))
            .collect();
        let total_value: f64 = rates.iter().zip(&self.settings.classes).map(|(r, c)| r.0 * c.value).sum();
        let served_share = |(arrived, served): (f64, f64)| if arrived > 0.0 { served / arrived } else { 1.0 };
        let worst = rates.iter().map(|&rate| served_share(rate)).fold(1.0, f64::min);
        for ((state, class), &rate) in self.classes.iter_mut().zip(&self.settings.classes).zip(&rates) {
            let mut value = (1.0 - worst_class_weight) * class.value / total_value.max(1e-9);
            if served_share(rate) <= worst {
                value += worst_class_weight / rate.0.max(1e-9);
            }
            state.priority =
                if self.settings.value_per_work { value } else { value / state.base_latency.max(1.0) };
        }
        // Otherwise classes with a long latency target would take all capacity from those with a short one.
        let mut load_limit = f64::INFINITY;
        for class in self.classes_by_priority().into_iter().filter(|&class| rates[class].0 > 0.1) {
            let latency_target = self.settings.classes[class].latency_target as f64;
            let state = &mut self.classes[class];
            load_limit = (load_limit * LOAD_LIMIT_STEP)
                .min(MAX_DELAY_SHARE * latency_target / state.base_latency.max(1.0));
            state.load_limit = load_limit;
        }
    }
}
