//! The request ledger: every request, its attempts and its final answer. What the contract forbids
//! is kept back here: every send passes [`Balancer::permits`].

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, UTILISATION_TIME_CONSTANT};
use crate::concurrency::LOW_PRIORITY_LIMIT_SHARE;
use crate::retries::RETRY_TOKENS_PER_REQUEST;
use crate::state::*;

/// Weight of a request in its class's mean cost.
const COST_SAMPLE_WEIGHT: f64 = 0.01;

impl Balancer {
    /// Counts own attempts in a zone, or their ends.
    pub(crate) fn add_in_flight(&mut self, zone: ZoneId, change: f64) {
        if let Some(view) = self.zones.get_mut(zone.0 as usize) {
            view.add_in_flight(self.now, change, UTILISATION_TIME_CONSTANT);
        }
    }

    pub(crate) fn on_arrival(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let class = (arrival.class.0 as usize).min(self.classes.len() - 1);
        let many = self.many_nodes();
        let view = &mut self.classes[class];
        let cost = arrival.cost_hint.map_or(view.base_latency * IDLE_LOAD, |hint| hint as f64).max(1.0);
        view.mean_cost +=
            (cost - view.mean_cost) * if view.mean_cost > 0.0 { COST_SAMPLE_WEIGHT } else { 1.0 };
        self.mean_cost +=
            (cost - self.mean_cost) * if self.mean_cost > 0.0 { COST_SAMPLE_WEIGHT } else { 1.0 };
        // A try well shorter than others ends with the client's deadline: that tells when its first try came,
        // and the aim counts from then. Arrivals jitter, so a little shorter is no sign. Where repeats
        // are marked the rest are first tries: repeats may get more time, which made those look late.
        let wait = arrival.not_after.saturating_sub(self.now);
        view.max_wait = view.max_wait.max(wait);
        let worthless_late = self.settings.classes[class].late_value_share == 0.0;
        let again = (arrival.is_retry || !self.settings.retries_marked) && (worthless_late || many);
        let again = again && wait < view.max_wait - view.max_wait / 8;
        let began = arrival.not_after.saturating_sub(self.settings.classes[class].deadline);
        let first = if again { began.min(self.now) } else { self.now };
        let admit = view.admit_probability;
        let target_deadline = arrival.not_after.min(first + self.settings.classes[class].latency_target);
        let request = Request {
            class,
            cost,
            // Picking the requests with small hints for a small budget picks the hints that are too low.
            slow_start_cost: cost.max(view.mean_cost),
            target_deadline,
            not_after: arrival.not_after,
            attempts: Vec::new(),
            phase: Phase::Open,
        };
        self.requests.insert(arrival.request, request);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(self.max_retry_tokens());
        self.refresh(actions);
        // Guards against jams that feed on their own repeats: what is past its aim, or more than the servers
        // can do in time, is turned away before it costs them anything.
        let late = target_deadline <= self.now;
        let past = late && (worthless_late || (many && admit < 1.0));
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if !past {
            self.classes[class].arrivals.add(self.now, 1.0);
            self.tenant_rates.get_mut(tenant).into_iter().for_each(|asked| asked.add(self.now, 1.0));
        }
        let over = self.over_quota_share(tenant);
        let admit = if over > 0.0 && self.random_unit() < over { self.over_quota_admit } else { admit };
        // What is worth little leaves room to the rest.
        let lesser = many && (late || (over > 0.0 && self.random_unit() < over));
        let part = if lesser { LOW_PRIORITY_LIMIT_SHARE } else { 1.0 };
        let home = self.settings.home_zone;
        let full = !past
            && !self.has_concurrency(home, part)
            && !self.overflow_target().is_some_and(|zone| self.has_concurrency(zone, part));
        if past || full || (admit < 1.0 && self.random_unit() >= admit) {
            self.finish(arrival.request, actions);
            return;
        }
        self.send_or_queue(arrival.request, actions);
    }

    /// The contract gate: whether this request may be sent to this backend now. Every send passes it.
    pub(crate) fn permits(&self, request: &Request, backend: &Backend) -> bool {
        let class = &self.settings.classes[request.class];
        let live = matches!(request.phase, Phase::Open | Phase::Queued) && self.now < request.not_after;
        let attempts_left = (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        let alone =
            self.settings.limits.concurrent_attempts || !request.attempts.iter().any(Attempt::is_in_flight);
        let ran = request.attempts.iter().find(|attempt| attempt.may_have_run());
        let repeat_dropped = match (class.idempotency, ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::Keyed { group, .. }, Some(first)) => {
                let same = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => first.zone == backend.member.zone,
                    DedupGroup::Cell => first.cell == backend.member.cell,
                };
                same && self.resend_deadline(request, backend).is_some_and(|end| self.now < end)
            }
        };
        // A wanted margin to the drain grace: nothing is sent once told.
        let in_service = backend.member.stage == Stage::InService;
        live && attempts_left
            && alone
            && repeat_dropped
            && in_service
            && self.slow_start_permits(backend, request)
    }

    /// When a repeat has to be on its way, for its group still to know the first copy when it runs: a server
    /// takes it up after what it holds, within the time of an answer from there. `None` without a first copy.
    pub(crate) fn resend_deadline(&self, request: &Request, backend: &Backend) -> Option<Nanos> {
        let Idempotency::Keyed { window, .. } = self.settings.classes[request.class].idempotency else {
            return None;
        };
        let first = request.attempts.iter().find(|attempt| attempt.may_have_run())?;
        let delay = self.expected_delay(backend, request.class);
        Some(first.sent_at.saturating_add(window).saturating_sub(delay as Nanos + self.settings.quantum))
    }

    /// The one place that sends. False where the gate forbids it.
    pub(crate) fn send(&mut self, id: RequestId, to: BackendId, actions: &mut Vec<Action>) -> bool {
        let (nodes_per_zone, gate) =
            (self.nodes_per_zone(), self.requests.get(&id).zip(self.backends.get(&to)));
        if !gate.is_some_and(|(request, backend)| self.permits(request, backend)) {
            return false;
        }
        let send_by = gate.and_then(|(request, backend)| self.resend_deadline(request, backend));
        let since = self.slow_start_window_start();
        let slow_start = gate.and_then(|(request, backend)| self.slow_start_decision(backend, request));
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
        self.zones.get_mut(zone.0 as usize).into_iter().for_each(|view| view.last_sent_at = self.now);
        if let Some(decision) = slow_start {
            backend.slow_start_sends.retain(|(at, _)| *at >= since);
            backend.slow_start_sends.push_back((self.now, decision.cost));
            actions.push(Action::Log(LogEvent::SlowStart(decision)));
        }
        if let Health::Ejected { .. } = backend.health {
            backend.health = Health::HalfOpen { served: 0 };
        }
        // Past its aim an answer may be worth nothing: then a server need not work on it. With few nodes what
        // is admitted by own figures hardly waits that long, and the repeats cost more.
        let late_value_share = self.settings.classes[class].late_value_share;
        let drop_late = self.many_nodes()
            && (late_value_share == 0.0
                || (late_value_share <= 0.5 && self.classes[class].admit_probability < 1.0));
        let late = (drop_late && target_deadline > self.now).then(|| target_deadline - self.now);
        let timeout = late.or_else(|| self.attempt_timeout(class, to, target_deadline));
        actions.push(Action::Send { request: id, backend: to, timeout, send_by });
        self.add_in_flight(zone, 1.0);
        true
    }

    /// The one place that ends requests: refused where trying again does no harm, failed otherwise.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let ran = request.attempts.iter().any(Attempt::may_have_run);
        let class = &self.settings.classes[request.class];
        let free = matches!(
            class.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { group: DedupGroup::All, .. }
        );
        actions.push(if free || !ran {
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

    pub(crate) fn cancel_in_flight(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let out = request.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.is_in_flight());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    /// Marks a request as ended; it is dropped once its last attempt has settled.
    pub(crate) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = Phase::Ended;
        if !request.attempts.iter().any(Attempt::is_in_flight) {
            self.requests.remove(&id);
        }
    }

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
