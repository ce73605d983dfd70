//! Random valid event sequences with fixed seeds; checks the contract on the resulting actions. Outcomes are
//! random as well: no backend is simulated.

mod common;
use brookfield::*;
use common::*;
use std::collections::BTreeMap;

struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
];

#[derive(Default)]
struct TrackedRequest {
    class: usize,
    not_after: Nanos,
    attempts: Vec<(BackendId, Nanos, Option<Outcome>)>,
    ended: bool,
}

struct ContractChecker {
    now: Nanos,
    idempotency_by_class: Vec<Idempotency>,
    listed: BTreeMap<BackendId, Member>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    max_attempts: usize,
    concurrent_attempts: bool,
}

impl ContractChecker {
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, backend, .. } => self.check_send(request, backend),
                Action::Reject { request, .. } => {
                    let tracked = self.requests.get_mut(&request).expect("a known request");
                    let ran = tracked.attempts.iter().any(|a| a.2.is_none_or(Outcome::may_have_run));
                    let retry_safe = matches!(
                        self.idempotency_by_class[tracked.class],
                        Idempotency::Idempotent | Idempotency::Keyed { group: DedupGroup::All, .. }
                    );
                    assert!(retry_safe || !ran, "rejected a request that may have run");
                    assert!(!std::mem::replace(&mut tracked.ended, true), "two final responses");
                }
                Action::Fail { request } => {
                    let tracked = self.requests.get_mut(&request).expect("a known request");
                    assert!(!std::mem::replace(&mut tracked.ended, true), "two final responses");
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, request: RequestId, backend: BackendId) {
        let tracked = self.requests.get_mut(&request).expect("a known request");
        assert!(!tracked.ended, "sent after the request had ended");
        assert!(self.now < tracked.not_after, "sent after the client stopped waiting");
        assert!(tracked.attempts.len() < self.max_attempts, "sent after the last permitted attempt");
        let member = self.listed[&backend];
        assert_eq!(member.stage, Stage::InService, "sent to a backend that is not in service");
        assert!(
            self.concurrent_attempts || tracked.attempts.iter().all(|a| a.2.is_some()),
            "two attempts in flight"
        );
        let ran: Vec<_> = tracked.attempts.iter().filter(|a| a.2.is_none_or(Outcome::may_have_run)).collect();
        if let Some(&&(first, sent_at, _)) = ran.first() {
            match self.idempotency_by_class[tracked.class] {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("a non-idempotent request was retried"),
                Idempotency::Keyed { group, window } => {
                    assert!(self.now <= sent_at + window, "retried after the deduplication window");
                    let first = self.listed[&first];
                    assert!(match group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => first.zone == member.zone,
                        DedupGroup::Cell => first.cell == member.cell,
                    });
                }
            }
        }
        tracked.attempts.push((backend, self.now, None));
    }
}

fn run_random_events(seed: u64) {
    let mut rng = Rng(seed);
    let window = (1 + rng.below(400)) * MS;
    let idempotency_by_class = vec![
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { group: DedupGroup::All, window },
        Idempotency::Keyed { group: DedupGroup::Zone, window },
        Idempotency::Keyed { group: DedupGroup::Cell, window },
    ];
    let mut config = Settings::new(ZoneId(0), 1 + rng.below(3) as u32);
    config.classes = idempotency_by_class
        .iter()
        .map(|&idempotency| class(50 + rng.below(500), 600, idempotency))
        .collect();
    config.node_count = [1, 3, 1000][rng.below(3) as usize];
    config.weight_kind = if rng.below(2) == 0 { WeightKind::Live } else { WeightKind::Static };
    config.limits.max_attempts = 1 + rng.below(4) as u32;
    config.limits.concurrent_attempts = rng.below(2) == 0;
    config.limits.cancel = rng.below(2) == 0;
    config.discovery = if rng.below(2) == 0 { DiscoveryMode::OnRequest } else { DiscoveryMode::Push };
    let mut checker = ContractChecker {
        now: SECOND,
        idempotency_by_class,
        listed: BTreeMap::new(),
        requests: BTreeMap::new(),
        max_attempts: config.limits.max_attempts as usize,
        concurrent_attempts: config.limits.concurrent_attempts,
    };
    let zones = config.zone_count;
    let mut node = Node::new(config, vec![]);
    for step in 0..2000u64 {
        let event = match rng.below(12) {
            0..=3 => {
                let request = RequestId(step);
                let class = rng.below(5) as usize;
                let not_after = checker.now + rng.below(900) * MS;
                checker
                    .requests
                    .insert(request, TrackedRequest { class, not_after, ..TrackedRequest::default() });
                let hint = (rng.below(2) == 0).then(|| rng.below(90) * MS);
                Event::Request(Arrival {
                    request,
                    class: ClassId(class as u32),
                    cost_hint: hint,
                    is_retry: false,
                    tenant: None,
                    not_after,
                })
            }
            4..=7 => {
                let in_flight: Vec<(RequestId, usize)> = checker
                    .requests
                    .iter()
                    .flat_map(|(&id, t)| (0..t.attempts.len()).map(move |a| (id, a)))
                    .filter(|(id, a)| checker.requests[id].attempts[*a].2.is_none())
                    .collect();
                if in_flight.is_empty() {
                    continue;
                }
                let (request, attempt) = in_flight[rng.below(in_flight.len() as u64) as usize];
                let outcome = OUTCOMES[rng.below(8) as usize];
                let tracked = checker.requests.get_mut(&request).unwrap();
                tracked.attempts[attempt].2 = Some(outcome);
                let ended = tracked.ended || outcome == Outcome::Served;
                tracked.ended = ended;
                let elapsed = checker.now - tracked.attempts[attempt].1;
                let utilisation = [0.1, 0.7, 0.99, f64::NAN, -2.0, 1e300][rng.below(6) as usize];
                let attempt = attempt as u32;
                Event::AttemptEnded(AttemptResult {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    request_ended: ended,
                    report: util(utilisation),
                })
            }
            8 => {
                let members: Vec<Member> = (0..rng.below(8))
                    .map(|_| {
                        let backend = rng.below(8) as u32;
                        let stage = [Stage::InService, Stage::InService, Stage::Draining, Stage::Gone];
                        Member {
                            stage: stage[rng.below(4) as usize],
                            cell: u64::from(backend % 3),
                            online_since: (rng.below(3) == 0).then_some(checker.now),
                            weight: [1.0, 2.0, 0.0, f64::NAN][rng.below(4) as usize],
                            ..member(backend, backend % (zones + 1))
                        }
                    })
                    .collect();
                let full = rng.below(3) == 0;
                if full {
                    checker.listed.values_mut().for_each(|member| member.stage = Stage::Gone);
                }
                checker.listed.extend(members.iter().map(|member| (member.backend, *member)));
                let scope = if full { ListScope::Full } else { ListScope::Changes };
                Event::BackendList { scope, members }
            }
            9 => match rng.below(4) {
                0 => Event::DiscoveryFailed,
                1 => {
                    let request = RequestId(rng.below(step + 1));
                    if let Some(tracked) = checker.requests.get_mut(&request) {
                        tracked.ended = true;
                    }
                    Event::ClientDisconnected { request }
                }
                2 => {
                    let (request, attempt) = (RequestId(rng.below(step + 1) + 90_000), 3);
                    let (outcome, report) = (Outcome::Served, util(0.5));
                    Event::AttemptEnded(AttemptResult {
                        request,
                        attempt,
                        outcome,
                        elapsed: 0,
                        request_ended: true,
                        report,
                    })
                }
                _ => Event::ProbeEnded {
                    backend: BackendId(rng.below(12) as u32),
                    outcome: Outcome::Served,
                    elapsed: MS,
                    report: util(0.2),
                },
            },
            _ => {
                checker.now += rng.below(20) * MS;
                Event::Timer { token: rng.below(3) }
            }
        };
        // A clock that steps back must not cause a failure.
        node.now = if rng.below(50) == 0 { checker.now / 2 } else { checker.now };
        let actions = node.handle(event);
        checker.check(&actions);
    }
    // Every attempt in flight times out; then all requests must have a final response.
    for _ in 0..200 {
        checker.now += 10 * MS;
        node.now = checker.now;
        let actions = node.handle(Event::Timer { token: 0 });
        checker.check(&actions);
        let due: Vec<(RequestId, usize)> = checker
            .requests
            .iter()
            .flat_map(|(&id, t)| t.attempts.iter().enumerate().map(move |(n, a)| (id, n, a.2, t.not_after)))
            .filter(|(_, _, outcome, not_after)| outcome.is_none() && *not_after <= checker.now)
            .map(|(id, n, _, _)| (id, n))
            .collect();
        for (request, attempt) in due {
            let tracked = checker.requests.get_mut(&request).unwrap();
            tracked.attempts[attempt].2 = Some(Outcome::TimedOut);
            let (ended, elapsed) = (tracked.ended, checker.now - tracked.attempts[attempt].1);
            let (attempt, report) = (attempt as u32, LoadReport::default());
            let outcome = Outcome::TimedOut;
            let actions = node.handle(Event::AttemptEnded(AttemptResult {
                request,
                attempt,
                outcome,
                elapsed,
                request_ended: ended,
                report,
            }));
            checker.check(&actions);
        }
    }
    let open = checker.requests.values().filter(|tracked| !tracked.ended).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final response");
    assert_eq!(node.balancer.open_requests(), 0, "seed {seed}: ended requests are still tracked");
}

#[test]
fn the_contract_holds_for_random_event_sequences() {
    for seed in 1..40 {
        run_random_events(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut node =
            Node::new(settings(Idempotency::Idempotent), (0..9).map(|b| member(b, b % 3)).collect());
        node.serve(300, |to| util(0.3 + 0.08 * f64::from(to.0)))
    };
    assert_eq!(run(), run());
}
