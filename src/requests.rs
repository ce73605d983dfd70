//! Requests from arrival to final response, and their attempts. Enforces the contract: every send passes
//! [`Balancer::permits`].

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, UTILISATION_TIME_CONSTANT};
use crate::concurrency::LOW_PRIORITY_LIMIT_SHARE;
use crate::retries::RETRY_TOKENS_PER_REQUEST;
use crate::state::*;

/// Weight of a request in the mean costs.
const COST_SAMPLE_WEIGHT: f64 = 0.01;

impl Balancer {
    /// Counts sends to a zone, or their ends, among this node's attempts in flight.
    pub(crate) fn add_in_flight(&mut self, zone: ZoneId, change: f64) {
        if let Some(state) = self.zones.get_mut(zone.0 as usize) {
            state.add_in_flight(self.now, change, UTILISATION_TIME_CONSTANT);
        }
    }

    /// Registers an arriving request, then sends, queues or rejects it.
    pub(crate) fn on_arrival(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let class = (arrival.class.0 as usize).min(self.classes.len() - 1);
        let many_nodes = self.many_nodes();
        let state = &mut self.classes[class];
        let cost = arrival.cost_hint.map_or(state.base_latency * IDLE_LOAD, |hint| hint as f64).max(1.0);
        state.mean_cost +=
            (cost - state.mean_cost) * if state.mean_cost > 0.0 { COST_SAMPLE_WEIGHT } else { 1.0 };
        self.mean_cost +=
            (cost - self.mean_cost) * if self.mean_cost > 0.0 { COST_SAMPLE_WEIGHT } else { 1.0 };
        // A try with much less time than others is taken as a client's retry that ends at the client's
        // deadline; the latency target then counts from its first try. Small differences are jitter. If
        // clients mark their retries, only marked ones count, as retries may get more time than first tries.
        let wait = arrival.not_after.saturating_sub(self.now);
        state.max_wait = state.max_wait.max(wait);
        let late_has_no_value = self.settings.classes[class].late_value_share == 0.0;
        let is_client_retry =
            (arrival.is_retry || !self.settings.retries_marked) && (late_has_no_value || many_nodes);
        let is_client_retry = is_client_retry && wait < state.max_wait - state.max_wait / 8;
        let client_started_at = arrival.not_after.saturating_sub(self.settings.classes[class].deadline);
        let first_try_at = if is_client_retry { client_started_at.min(self.now) } else { self.now };
        let admit = state.admit_probability;
        let target_deadline =
            arrival.not_after.min(first_try_at + self.settings.classes[class].latency_target);
        let request = Request {
            class,
            cost,
            // A small budget would otherwise select requests whose hints are too low.
            slow_start_cost: cost.max(state.mean_cost),
            target_deadline,
            not_after: arrival.not_after,
            attempts: Vec::new(),
            phase: Phase::Open,
        };
        self.requests.insert(arrival.request, request);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(self.max_retry_tokens());
        self.refresh(actions);
        // Sheds load before it costs the backends anything: requests past their latency target, and more than
        // can be served in time. Otherwise retries would sustain an overload.
        let late = target_deadline <= self.now;
        let expired = late && (late_has_no_value || (many_nodes && admit < 1.0));
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if !expired {
            self.classes[class].arrivals.add(self.now, 1.0);
            self.tenant_rates.get_mut(tenant).into_iter().for_each(|rate| rate.add(self.now, 1.0));
        }
        let over_quota = self.over_quota_share(tenant);
        let admit =
            if over_quota > 0.0 && self.random_unit() < over_quota { self.over_quota_admit } else { admit };
        // Requests of low value leave part of the concurrency limit to others.
        let low_value = many_nodes && (late || (over_quota > 0.0 && self.random_unit() < over_quota));
        let limit_share = if low_value { LOW_PRIORITY_LIMIT_SHARE } else { 1.0 };
        let home = self.settings.home_zone;
        let at_limit = !expired
            && !self.has_concurrency(home, limit_share)
            && !self.overflow_target().is_some_and(|zone| self.has_concurrency(zone, limit_share));
        if expired || at_limit || (admit < 1.0 && self.random_unit() >= admit) {
            self.finish(arrival.request, actions);
            return;
        }
        self.send_or_queue(arrival.request, actions);
    }

    /// Whether the contract permits to send this request to this backend now. Every send is checked.
    pub(crate) fn permits(&self, request: &Request, backend: &Backend) -> bool {
        let class = &self.settings.classes[request.class];
        let live = matches!(request.phase, Phase::Open | Phase::Queued) && self.now < request.not_after;
        let attempts_left = (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        let concurrency_allowed =
            self.settings.limits.concurrent_attempts || !request.attempts.iter().any(Attempt::is_in_flight);
        let ran = request.attempts.iter().find(|attempt| attempt.may_have_run());
        let safe_to_send = match (class.idempotency, ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed { group, .. }, Some(first)) => {
                let same_group = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => first.zone == backend.member.zone,
                    DedupGroup::Cell => first.cell == backend.member.cell,
                };
                same_group
                    && self.retry_deadline(request, backend).is_some_and(|deadline| self.now < deadline)
            }
        };
        // Stricter than the drain grace: nothing is sent to a backend once the list says that it drains.
        let in_service = backend.member.stage == Stage::InService;
        live && attempts_left
            && concurrency_allowed
            && safe_to_send
            && in_service
            && self.slow_start_permits(backend, request)
    }

    /// Latest time to send a retry of a keyed request so that it runs within the deduplication window,
    /// allowing for the expected delay at the backend. `None` if no attempt may have run yet.
    pub(crate) fn retry_deadline(&self, request: &Request, backend: &Backend) -> Option<Nanos> {
        let Idempotency::Keyed { window, .. } = self.settings.classes[request.class].idempotency else {
            return None;
        };
        let first = request.attempts.iter().find(|attempt| attempt.may_have_run())?;
        let delay = self.expected_delay(backend, request.class);
        Some(first.sent_at.saturating_add(window).saturating_sub(delay as Nanos + self.settings.quantum))
    }

    /// Sends an attempt; the only place that does. Returns false if the contract forbids it.
    pub(crate) fn send(&mut self, id: RequestId, to: BackendId, actions: &mut Vec<Action>) -> bool {
        let (nodes_per_zone, request_and_backend) =
            (self.nodes_per_zone(), self.requests.get(&id).zip(self.backends.get(&to)));
        if !request_and_backend.is_some_and(|(request, backend)| self.permits(request, backend)) {
            return false;
        }
        let send_by =
            request_and_backend.and_then(|(request, backend)| self.retry_deadline(request, backend));
        let window_start = self.slow_start_window_start();
        let slow_start =
            request_and_backend.and_then(|(request, backend)| self.slow_start_decision(backend, request));
        let (Some(request), Some(backend)) = (self.requests.get_mut(&id), self.backends.get_mut(&to)) else {
            return false;
        };
        request.phase = Phase::Open;
        request.attempts.push(Attempt {
            backend: to,
            zone: backend.member.zone,
            cell: backend.member.cell,
            sent_at: self.now,
            load: backend.load(nodes_per_zone),
            outcome: None,
        });
        backend.in_flight += 1;
        let (class, target_deadline, zone) = (request.class, request.target_deadline, backend.member.zone);
        self.zones.get_mut(zone.0 as usize).into_iter().for_each(|state| state.last_sent_at = self.now);
        if let Some(decision) = slow_start {
            backend.slow_start_sends.retain(|(at, _)| *at >= window_start);
            backend.slow_start_sends.push_back((self.now, decision.cost));
            actions.push(Action::Log(LogEvent::SlowStart(decision)));
        }
        if let Health::Ejected { .. } = backend.health {
            backend.health = Health::HalfOpen { served: 0 };
        }
        // With many nodes, an attempt whose response would be late and of low value times out at the latency
        // target. With few, admitted requests seldom wait that long, and the retries would cost more.
        let late_value_share = self.settings.classes[class].late_value_share;
        let time_out_late = self.many_nodes()
            && (late_value_share == 0.0
                || (late_value_share <= 0.5 && self.classes[class].admit_probability < 1.0));
        let late_timeout = (time_out_late && target_deadline > self.now).then(|| target_deadline - self.now);
        let timeout = late_timeout.or_else(|| self.attempt_timeout(class, to, target_deadline));
        actions.push(Action::Send { request: id, backend: to, timeout, send_by });
        self.add_in_flight(zone, 1.0);
        true
    }

    /// Ends a request without a response; the only place that does. It is rejected if the client may safely
    /// retry, and failed otherwise.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let ran = request.attempts.iter().any(Attempt::may_have_run);
        let class = &self.settings.classes[request.class];
        let retry_safe = matches!(
            class.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { group: DedupGroup::All, .. }
        );
        actions.push(if retry_safe || !ran {
            Action::Reject {
                request: id,
                retry_after: class.latency_target.min(self.settings.limits.max_retry_after),
            }
        } else {
            Action::Fail { request: id }
        });
        self.cancel_in_flight(id, actions);
        self.remove_request(id);
    }

    /// Cancels a request's attempts in flight, where the settings allow it.
    pub(crate) fn cancel_in_flight(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let in_flight = request.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.is_in_flight());
        actions.extend(in_flight.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    /// Marks a request as ended; it is removed once its last attempt has ended.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = Phase::Ended;
        if !request.attempts.iter().any(Attempt::is_in_flight) {
            self.requests.remove(&id);
        }
    }

    /// Records the result of an attempt, then retries or ends its request.
    pub(crate) fn on_attempt_ended(&mut self, result: AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&result.request) else { return };
        let (class, cost, target_deadline) = (request.class, request.cost, request.target_deadline);
        let Some(attempt) = request.attempts.get_mut(result.attempt as usize).filter(|a| a.is_in_flight())
        else {
            return;
        };
        attempt.outcome = Some(result.outcome);
        let (to, load, zone, sent) = (attempt.backend, attempt.load, attempt.zone, attempt.sent_at);
        let open = request.phase != Phase::Ended;
        self.add_in_flight(zone, -1.0);
        self.record_result(to, class, self.in_mean_requests(cost), load, &result);
        self.update_health(to, &result, actions);
        self.record_load_report(to, result.report);
        self.adjust_concurrency_limit(
            zone,
            &result,
            class,
            target_deadline < sent + self.settings.classes[class].latency_target / 2,
        );
        if result.request_ended || !open {
            if open
                && result.outcome == Outcome::Served
                && (self.now <= target_deadline || !self.many_nodes())
            {
                self.classes[class].served.add(self.now, 1.0);
            }
            if open {
                self.cancel_in_flight(result.request, actions);
            }
            self.remove_request(result.request);
        } else {
            self.retry(result.request, actions);
        }
        self.drain_queue(actions);
    }
}
