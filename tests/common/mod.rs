//! A node under test, with helpers that feed it events.
#![allow(dead_code)]

use brookfield::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1000 * MS;

pub struct Node {
    pub balancer: Balancer,
    pub now: Nanos,
    pub next_id: u64,
}

pub fn class(latency_target_ms: u64, deadline_ms: u64, idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_target: latency_target_ms * MS,
        deadline: deadline_ms * MS,
        idempotency,
        ..ClassSettings::default()
    }
}

pub fn settings(idempotency: Idempotency) -> Settings {
    Settings { classes: vec![class(400, 1000, idempotency)], node_count: 2, ..Settings::new(ZoneId(0), 3) }
}

pub fn member(backend: u32, zone: u32) -> Member {
    Member {
        backend: BackendId(backend),
        zone: ZoneId(zone),
        cell: zone.into(),
        weight: 1.0,
        ..Member::default()
    }
}

pub fn util(util: f64) -> LoadReport {
    LoadReport { util: Some(util), ..LoadReport::default() }
}

impl Node {
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        Self::with_seed(7, settings, members)
    }

    pub fn with_seed(seed: u64, settings: Settings, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings, seed, SECOND).expect("usable settings");
        let mut node = Self { balancer, now: SECOND, next_id: 0 };
        node.handle(Event::Start);
        node.handle(Event::BackendList { scope: ListScope::Cached, members });
        node
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_list(&mut self, scope: ListScope, members: Vec<Member>) -> Vec<Action> {
        self.handle(Event::BackendList { scope, members })
    }

    /// A request of class 0 whose client waits for `wait`.
    pub fn request(&mut self, wait: Nanos) -> (RequestId, Vec<Action>) {
        self.request_marked(wait, false)
    }

    /// The same, marked as a client's retry.
    pub fn request_retry(&mut self, wait: Nanos) -> (RequestId, Vec<Action>) {
        self.request_marked(wait, true)
    }

    fn request_marked(&mut self, wait: Nanos, is_retry: bool) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_id);
        self.next_id += 1;
        let not_after = self.now + wait;
        let arrival =
            Arrival { request, class: ClassId(0), cost_hint: None, is_retry, tenant: None, not_after };
        (request, self.handle(Event::Request(arrival)))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: LoadReport,
    ) -> Vec<Action> {
        self.end_attempt_after(request, attempt, outcome, 30 * MS, report)
    }

    pub fn end_attempt_after(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Nanos,
        report: LoadReport,
    ) -> Vec<Action> {
        let ended = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            elapsed,
            request_ended: ended,
            report,
        }))
    }

    /// Advances the clock in steps of 10 ms, with a timer event at each.
    pub fn advance(&mut self, duration: Nanos) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            actions.extend(self.handle(Event::Timer { token: 0 }));
        }
        actions
    }

    /// Sends `count` requests, one every 10 ms. Each attempt is served after 40 ms with the report of its backend.
    /// Returns the backends in the order of responses.
    pub fn serve(&mut self, count: usize, report: impl Fn(BackendId) -> LoadReport) -> Vec<BackendId> {
        let mut used = Vec::new();
        let mut in_flight: Vec<(RequestId, u32, BackendId, Nanos)> = Vec::new();
        for turn in 0..count + 40 {
            let mut actions = if turn < count { self.request(SECOND).1 } else { Vec::new() };
            actions.extend(self.advance(10 * MS));
            let (due, rest) = in_flight.into_iter().partition(|send| self.now >= send.3 + 40 * MS);
            in_flight = rest;
            for (request, attempt, to, _) in Vec::from_iter::<Vec<_>>(due) {
                used.push(to);
                actions.extend(self.end_attempt_after(
                    request,
                    attempt,
                    Outcome::Served,
                    40 * MS,
                    report(to),
                ));
            }
            for action in actions {
                if let Action::Send { request, backend, .. } = action {
                    let attempt = in_flight.iter().filter(|send| send.0 == request).count() as u32;
                    in_flight.push((request, attempt, backend, self.now));
                }
            }
        }
        used
    }
}

pub fn sends(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn first_send(actions: &[Action]) -> Option<BackendId> {
    sends(actions).first().copied()
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
