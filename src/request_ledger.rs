//! The request ledger: every request, its attempts and its final answer. What the contract forbids
//! is kept back here: every send passes [`Balancer::permits`].

use crate::api::*;
use crate::backend_view::{IDLE_LOAD, UTIL_SMOOTHING};
use crate::concurrency::WINDOW_LESSER;
use crate::retries::RETRY_SHARE;
use crate::state::*;

/// Weight of a request in its class's mean cost.
const COST_SMOOTHING: f64 = 0.01;

impl Balancer {
    /// Counts own attempts in a zone, or their ends.
    pub(crate) fn add_in_flight(&mut self, zone: ZoneId, change: f64) {
        if let Some(view) = self.zones.get_mut(zone.0 as usize) {
            view.add_in_flight(self.now, change, UTIL_SMOOTHING);
        }
    }

    pub(crate) fn arrive(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let class = (arrival.class.0 as usize).min(self.classes.len() - 1);
        let many = self.many();
        let view = &mut self.classes[class];
        let cost = arrival.cost_hint.map_or(view.base_latency * IDLE_LOAD, |hint| hint as f64).max(1.0);
        view.mean_cost += (cost - view.mean_cost) * if view.mean_cost > 0.0 { COST_SMOOTHING } else { 1.0 };
        self.mean_cost += (cost - self.mean_cost) * if self.mean_cost > 0.0 { COST_SMOOTHING } else { 1.0 };
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
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(self.retries_saved());
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
        let over = self.over_share(tenant);
        let admit = if over > 0.0 && self.random_unit() < over { self.over_quota_admit } else { admit };
        // What is worth little leaves room to the rest.
        let lesser = many && (late || (over > 0.0 && self.random_unit() < over));
        let part = if lesser { WINDOW_LESSER } else { 1.0 };
        let home = self.settings.home_zone;
        let full =
            !past && !self.roomy(home, part) && !self.target().is_some_and(|zone| self.roomy(zone, part));
        if past || full || (admit < 1.0 && self.random_unit() >= admit) {
            self.end(arrival.request, actions);
            return;
        }
        self.dispatch(arrival.request, actions);
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
                same && self.repeat_by(request, backend).is_some_and(|end| self.now < end)
            }
        };
        // A wanted margin to the drain grace: nothing is sent once told.
        let in_service = backend.member.stage == Stage::InService;
        live && attempts_left && alone && repeat_dropped && in_service && self.cold_budget(backend, request)
    }

    /// When a repeat has to be on its way, for its group still to know the first copy when it runs: a server
    /// takes it up after what it holds, within the time of an answer from there. `None` without a first copy.
    pub(crate) fn repeat_by(&self, request: &Request, backend: &Backend) -> Option<Nanos> {
        let Idempotency::Keyed { window, .. } = self.settings.classes[request.class].idempotency else {
            return None;
        };
        let first = request.attempts.iter().find(|attempt| attempt.may_have_run())?;
        let delay = self.expected_delay(backend, request.class);
        Some(first.sent_at.saturating_add(window).saturating_sub(delay as Nanos + self.settings.quantum))
    }

    /// The one place that sends. False where the gate forbids it.
    pub(crate) fn send(&mut self, id: RequestId, to: BackendId, actions: &mut Vec<Action>) -> bool {
        let (crowd, gate) = (self.nodes_per_zone(), self.requests.get(&id).zip(self.backends.get(&to)));
        if !gate.is_some_and(|(request, backend)| self.permits(request, backend)) {
            return false;
        }
        let send_by = gate.and_then(|(request, backend)| self.repeat_by(request, backend));
        let since = self.slow_start_since();
        let slow_start = gate.and_then(|(request, backend)| self.slow_start(backend, request));
        let (Some(request), Some(backend)) = (self.requests.get_mut(&id), self.backends.get_mut(&to)) else {
            return false;
        };
        request.phase = Phase::Open;
        request.attempts.push(Attempt {
            backend: to,
            zone: backend.member.zone,
            cell: backend.member.cell,
            sent_at: self.now,
            load: backend.load(crowd),
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
        let drop_late = self.many()
            && (late_value_share == 0.0
                || (late_value_share <= 0.5 && self.classes[class].admit_probability < 1.0));
        let late = (drop_late && target_deadline > self.now).then(|| target_deadline - self.now);
        let timeout = late.or_else(|| self.patience(class, to, target_deadline));
        actions.push(Action::Send { request: id, backend: to, timeout, send_by });
        self.add_in_flight(zone, 1.0);
        true
    }

    /// The one place that ends requests: refused where trying again does no harm, failed otherwise.
    pub(crate) fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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
        self.cancel_rest(id, actions);
        self.forget(id);
    }

    pub(crate) fn cancel_rest(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let out = request.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.is_in_flight());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    /// Marks a request as ended; it is dropped once its last attempt has settled.
    pub(crate) fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = Phase::Ended;
        if !request.attempts.iter().any(Attempt::is_in_flight) {
            self.requests.remove(&id);
        }
    }

    pub(crate) fn settle(&mut self, settled: AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&settled.request) else { return };
        let (class, cost, target_deadline) = (request.class, request.cost, request.target_deadline);
        let Some(attempt) = request.attempts.get_mut(settled.attempt as usize).filter(|a| a.is_in_flight())
        else {
            return;
        };
        attempt.outcome = Some(settled.outcome);
        let (to, load, zone, sent) = (attempt.backend, attempt.load, attempt.zone, attempt.sent_at);
        let open = request.phase != Phase::Ended;
        self.add_in_flight(zone, -1.0);
        self.learn(to, class, self.mean_parts(cost), load, &settled);
        self.judge(to, &settled, actions);
        self.report(to, settled.report);
        self.resize(
            zone,
            &settled,
            class,
            target_deadline < sent + self.settings.classes[class].latency_target / 2,
        );
        if settled.request_ended || !open {
            if open && settled.outcome == Outcome::Served && (self.now <= target_deadline || !self.many()) {
                self.classes[class].served.add(self.now, 1.0);
            }
            if open {
                self.cancel_rest(settled.request, actions);
            }
            self.forget(settled.request);
        } else {
            self.retry(settled.request, actions);
        }
        self.pump(actions);
    }
}
