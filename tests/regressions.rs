//! Regression tests with few nodes: each one reproduces a past failure in its smallest form.

mod common;
use brookfield::*;
use common::*;

fn fleet(count: u32) -> Vec<Member> {
    (0..count).map(|backend| member(backend, 0)).collect()
}

/// Guards against a backend that rejects within a millisecond attracting nearly all requests.
#[test]
fn a_backend_that_rejects_at_once_does_not_look_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut rejections = 0;
    for _ in 0..200 {
        let (request, actions) = node.request(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while to == Some(BackendId(0)) {
            rejections += 1;
            to = first_send(&node.end_attempt_after(request, attempt, Outcome::Full, 2 * MS, util(0.0)));
            attempt += 1;
        }
        node.advance(30 * MS);
        node.end_attempt(request, attempt, Outcome::Served, util(0.4));
    }
    assert!(rejections < 20, "{rejections} requests sent to the full backend");
}

/// A backend that returns errors at once must be ejected, and later tried and readmitted.
#[test]
fn a_backend_that_fails_fast_is_ejected_and_readmitted() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(4));
    let run = |node: &mut Node, rounds: usize, broken: bool| {
        let mut sent_to_failing = 0;
        for _ in 0..rounds {
            let (request, actions) = node.request(SECOND);
            let (mut to, mut attempt) = (first_send(&actions), 0);
            while to == Some(BackendId(0)) && broken {
                sent_to_failing += 1;
                to = first_send(&node.end_attempt_after(request, attempt, Outcome::Error, MS, util(0.0)));
                attempt += 1;
            }
            sent_to_failing += usize::from(to == Some(BackendId(0)));
            node.advance(30 * MS);
            node.end_attempt(request, attempt, Outcome::Served, util(0.4));
        }
        sent_to_failing
    };
    assert!(run(&mut node, 200, true) < 20);
    node.advance(40 * SECOND);
    assert!(run(&mut node, 200, false) > 20, "never readmitted");
}

/// Guards against every node sending a request to a slow backend because it has none in flight there.
#[test]
fn a_slow_backend_without_requests_of_this_node_is_not_treated_as_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    node.serve(100, |_| util(0.5));
    for _ in 0..40 {
        let (request, actions) = node.request(SECOND);
        node.advance(200 * MS);
        if first_send(&actions).is_some() {
            node.end_attempt_after(request, 0, Outcome::Served, 900 * MS, util(1.0));
        }
    }
    let admitted = (0..20).filter(|_| first_send(&node.request(SECOND).1).is_some()).count();
    assert!(admitted <= 1, "{admitted} requests sent to overloaded backends");
}

/// Guards against a class of high value with a short latency target finding all capacity taken by other
/// classes.
#[test]
fn the_class_of_higher_value_has_precedence() {
    let mut config = settings(Idempotency::Idempotent);
    let long_target = ClassSettings { latency_target: 800 * MS, ..class(800, 2000, Idempotency::Idempotent) };
    config.classes =
        vec![long_target, ClassSettings { value: 5.0, ..class(500, 2000, Idempotency::Idempotent) }];
    let mut node = Node::new(config, fleet(2));
    let mut admitted = [0, 0];
    let mut in_flight = Vec::new();
    for turn in 0..2000u64 {
        let id = RequestId(1_000_000 + turn);
        let class = ClassId((turn % 2) as u32);
        let arrival = Arrival {
            request: id,
            class,
            cost_hint: None,
            is_retry: false,
            tenant: None,
            not_after: node.now + SECOND,
        };
        for action in node.handle(Event::Request(arrival)) {
            if let Action::Send { request, .. } = action {
                admitted[(request.0 % 2) as usize] += 1;
                in_flight.push(request);
            }
        }
        node.now += 5 * MS;
        // The backends together serve one request every 15 ms, in order.
        if turn % 3 == 0 && !in_flight.is_empty() {
            let request = in_flight.remove(0);
            let elapsed = 15 * MS * (in_flight.len() as u64 + 1);
            for action in node.end_attempt_after(request, 0, Outcome::Served, elapsed, util(0.99)) {
                if let Action::Send { request, .. } = action {
                    admitted[(request.0 % 2) as usize] += 1;
                    in_flight.push(request);
                }
            }
        }
        node.handle(Event::Timer { token: 0 });
    }
    assert!(admitted[1] > admitted[0], "{admitted:?}");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut retries = 0;
    for _ in 0..500 {
        let (request, actions) = node.request(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while to.is_some() {
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Error,
                5 * MS,
                LoadReport::default(),
            ));
            retries += usize::from(to.is_some());
            attempt += 1;
        }
        node.advance(10 * MS);
    }
    assert!(retries <= 500 / 10 + 11, "{retries} retries of 500 requests");
}

#[test]
fn a_failing_majority_of_backends_is_not_ejected_entirely() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut sent_late = 0;
    for turn in 0..300 {
        let (request, actions) = node.request(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        sent_late += usize::from(turn > 200 && to.is_some());
        while to.is_some() {
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Reset,
                5 * MS,
                LoadReport::default(),
            ));
            attempt += 1;
        }
        node.advance(20 * MS);
    }
    assert!(sent_late > 50, "only {sent_late} of 99 requests were sent");
}

/// Guards against each of several nodes in a zone filling the backends as if it were alone.
#[test]
fn nodes_that_share_a_zone_leave_capacity_for_each_other() {
    let admitted = |nodes| {
        let config = Settings { node_count: nodes, ..settings(Idempotency::Idempotent) };
        let mut node = Node::new(config, fleet(2));
        node.serve(200, |_| util(0.5));
        (0..60).filter(|_| first_send(&node.request(SECOND).1).is_some()).count()
    };
    let (alone, shared) = (admitted(3), admitted(12));
    assert!(shared < alone, "{alone} sent by a node alone in its zone, {shared} by one of four");
}

/// Guards against a permanent timer, which costs more CPU than the requests.
#[test]
fn a_node_without_queued_requests_sets_no_timer() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    let (request, actions) = node.request(SECOND);
    assert_eq!(sends(&actions).len(), 1);
    let timer = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Timer { .. }));
    assert!(!timer(&actions) && !timer(&node.end_attempt(request, 0, Outcome::Served, util(0.1))));
    assert!(
        timer(&Node::new(settings(Idempotency::Idempotent), vec![]).request(SECOND).1),
        "a queued request needs a timer"
    );
}

/// Guards against taking first tries for late retries: a marked retry may have more time than a first try, as
/// it gets all that is left of the client's time.
#[test]
fn a_first_try_with_less_time_than_marked_retries_is_admitted() {
    let marked = |retries_marked| Settings { retries_marked, ..settings(Idempotency::Idempotent) };
    for (retries_marked, admitted) in [(true, true), (false, false)] {
        let mut node = Node::new(marked(retries_marked), vec![member(1, 0)]);
        node.request_retry(950 * MS);
        let (_, actions) = node.request(400 * MS);
        assert_eq!((first_send(&actions).is_some(), rejected(&actions)), (admitted, !admitted));
    }
}

/// Guards against taking the constant part of a response time for queueing: idle backends then look slow
/// beside loaded ones, and requests are rejected while backends are idle.
#[test]
fn an_idle_backend_does_not_look_slow_beside_a_loaded_one() {
    let mut config = settings(Idempotency::Idempotent);
    config.classes = vec![class(190, 500, Idempotency::Idempotent)];
    let mut node = Node::new(config, vec![member(0, 0), member(1, 1), member(2, 1)]);
    let (mut total, mut queued) = (0, 0);
    for _ in 0..100 {
        let mut in_flight = Vec::new();
        let mut held = [0u64; 3];
        for _ in 0..16 {
            let (request, actions) = node.request(500 * MS);
            total += 1;
            if let Some(to) = first_send(&actions) {
                let queue = &mut held[to.0 as usize];
                *queue += 1;
                in_flight.push((request, (20 + 10 * *queue) * MS));
            } else {
                queued += 1;
            }
        }
        in_flight.sort_by_key(|(_, elapsed)| *elapsed);
        let began = node.now;
        for (request, elapsed) in in_flight {
            node.now = began + elapsed;
            node.end_attempt_after(request, 0, Outcome::Served, elapsed, LoadReport::default());
        }
        node.advance(300 * MS);
    }
    assert!(queued * 20 < total, "{queued} of {total} requests queued although backends had capacity");
}

/// Guards against avoiding backends for seconds after they were slow, while every request is rejected
/// although they have recovered.
#[test]
fn a_backend_that_was_slow_is_retried_soon() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(1));
    node.serve(200, |_| LoadReport::default());
    let mut queued = false;
    for _ in 0..100 {
        let (request, actions) = node.request(SECOND);
        queued = first_send(&actions).is_none();
        if queued {
            break;
        }
        node.now += 350 * MS;
        node.end_attempt_after(request, 0, Outcome::Served, 350 * MS, LoadReport::default());
    }
    assert!(queued, "a slow backend gets no more requests");
    assert_eq!(first_send(&node.advance(200 * MS)), None, "the trial comes too early");
    assert!(first_send(&node.advance(150 * MS)).is_some(), "one request is sent as a trial");
}

/// Guards against keeping a slow backend free for a class of higher value that it could not serve in time
/// anyway.
#[test]
fn a_backend_too_slow_for_the_higher_class_is_not_kept_free_for_it() {
    let mut config = settings(Idempotency::Idempotent);
    let short_target = ClassSettings { value: 10.0, ..class(100, 1000, Idempotency::Idempotent) };
    config.classes = vec![class(800, 1000, Idempotency::Idempotent), short_target];
    let mut node = Node::new(config, vec![member(0, 0), member(1, 1)]);
    let mut in_flight: Vec<(Nanos, BackendId, RequestId)> = Vec::new();
    let mut max_remote = 0;
    for turn in 0..1000 {
        // Both classes arrive all the time; every second, a burst of the first one overflows the home zone.
        let mut actions = node.advance(10 * MS);
        for position in 0..if turn % 100 == 99 { 30 } else { 2 } {
            let request = RequestId(node.next_id);
            node.next_id += 1;
            let class = ClassId(u32::from(position == 1));
            let not_after = node.now + SECOND;
            let arrival =
                Arrival { request, class, cost_hint: None, is_retry: false, tenant: None, not_after };
            actions.extend(node.handle(Event::Request(arrival)));
        }
        let (due, rest) = in_flight.into_iter().partition(|send| send.0 <= node.now);
        in_flight = rest;
        for (_, to, request) in Vec::from_iter::<Vec<_>>(due) {
            let elapsed = if to == BackendId(0) { 30 * MS } else { 200 * MS };
            actions.extend(node.end_attempt_after(
                request,
                0,
                Outcome::Served,
                elapsed,
                LoadReport::default(),
            ));
        }
        for action in actions {
            if let Action::Send { request, backend, .. } = action {
                let elapsed = if backend == BackendId(0) { 30 * MS } else { 200 * MS };
                in_flight.push((node.now + elapsed, backend, request));
            }
        }
        let remote = in_flight.iter().filter(|send| send.1 == BackendId(1)).count();
        // By the second half the node knows which backend is slow.
        max_remote = if turn < 500 { 0 } else { max_remote.max(remote) };
    }
    assert!(max_remote > 1, "at most {max_remote} in flight at the slow backend");
}

/// Guards against waiting for a hung backend until the client gives up while another one could respond.
#[test]
fn an_attempt_that_may_be_retried_times_out_on_a_hung_backend() {
    let timeouts = |actions: &[Action]| -> Vec<(BackendId, Option<Nanos>)> {
        let send = |action: &Action| match *action {
            Action::Send { backend, timeout, .. } => Some((backend, timeout)),
            _ => None,
        };
        actions.iter().filter_map(send).collect()
    };
    let keyed = |window| Idempotency::Keyed { group: DedupGroup::Cell, window };
    // An attempt that times out as its window ends could not be retried.
    for (idempotency, repeats) in
        [(keyed(2 * SECOND), true), (keyed(220 * MS), false), (Idempotency::NonIdempotent, false)]
    {
        let mut node = Node::new(settings(idempotency), fleet(2));
        node.serve(100, |_| LoadReport::default());
        let (request, actions) = node.request(SECOND);
        let [(first, timeout)] = timeouts(&actions)[..] else { panic!("one send: {actions:?}") };
        assert_eq!(timeout.is_some(), repeats, "{idempotency:?}: {timeout:?}");
        let Some(timeout) = timeout else { continue };
        // Longer than a slow response takes, and early enough for another backend to respond in time.
        assert!((100 * MS..=250 * MS).contains(&timeout), "{timeout}");
        node.now += timeout;
        let retry = node.end_attempt_after(request, 0, Outcome::TimedOut, timeout, LoadReport::default());
        let [(second, _)] = timeouts(&retry)[..] else { panic!("one more send: {retry:?}") };
        assert_ne!(first, second);
    }
}
