//! Regression tests with many nodes: each sees few requests and shares no state, and they must not act in
//! step.

mod common;
use brookfield::*;
use common::*;

const NODES: u32 = 300;

/// Settings of one of many nodes in three zones, with live weights and no value for late responses.
fn many_node_settings() -> Settings {
    Settings { node_count: NODES, weight_kind: WeightKind::Live, ..settings(Idempotency::Idempotent) }
}

/// A list of ten backends per zone; `held` gives the requests per core that each backend of a zone holds.
fn listed(held: [f64; 3]) -> Vec<Member> {
    let weight = |zone: u32| 1.0 / (1.0 + held[zone as usize]);
    (0..30).map(|b| Member { weight: weight(b / 10), ..member(b, b / 10) }).collect()
}

fn node(seed: u64, config: Settings, members: Vec<Member>) -> Node {
    // A list of idle backends first: the largest live weight of a kind is taken as its capacity.
    let mut node = Node::with_seed(seed, config, listed([0.0; 3]));
    node.update_list(ListScope::Full, members);
    node
}

/// Sends two requests a second, each served after `response_time`, with a new list every second.
fn serve(node: &mut Node, seconds: u64, held: [f64; 3], response_time: Nanos) -> Vec<BackendId> {
    let mut used = Vec::new();
    for turn in 0..seconds * 2 {
        if turn % 2 == 0 {
            node.update_list(ListScope::Full, listed(held));
        }
        let (request, actions) = node.request(SECOND);
        node.now += response_time;
        if let Some(to) = first_send(&actions) {
            used.push(to);
            node.end_attempt_after(request, 0, Outcome::Served, response_time, LoadReport::default());
        }
        node.now += SECOND / 2 - response_time;
    }
    used
}

fn zone(backend: &BackendId) -> u32 {
    backend.0 / 10
}

/// Guards against taking live weights for capacity: the home zone then never seems utilised and never spills
/// over.
#[test]
fn live_weights_determine_the_utilisation() {
    let mut normal = node(1, many_node_settings(), listed([1.0; 3]));
    assert!(serve(&mut normal, 30, [1.0, 0.2, 0.2], 50 * MS).iter().all(|to| zone(to) == 0));
    let mut full = node(1, many_node_settings(), listed([9.0, 0.2, 3.5]));
    let used = serve(&mut full, 30, [9.0, 0.2, 3.5], 50 * MS);
    let spilled = used.iter().filter(|to| zone(to) == 1).count();
    assert!(spilled > used.len() / 3, "{spilled} of {} left a full home zone", used.len());
    assert!(used.iter().all(|to| zone(to) != 2), "only the best zone takes the overflow");
}

/// Guards against nodes with the same view leaving the home zone at once and overloading the next one.
#[test]
fn nodes_do_not_spill_over_in_step() {
    let first_spill = |seed| {
        let mut node = node(seed, many_node_settings(), listed([5.0, 0.2, 0.2]));
        serve(&mut node, 20, [5.0, 0.2, 0.2], 50 * MS).iter().position(|to| zone(to) == 1)
    };
    let mut times: Vec<Option<usize>> = (0..12).map(first_spill).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 3, "nodes spilled over at the same request: {times:?}");
}

/// Guards against every node choosing the few backends that a stale list shows as idle.
#[test]
fn nodes_do_not_herd_onto_a_backend_that_a_stale_list_shows_as_idle() {
    let members: Vec<Member> =
        (0..30).map(|b| Member { weight: if b == 3 { 1.0 } else { 0.25 }, ..member(b, b / 10) }).collect();
    let to_idle = (0..200).filter(|&seed| {
        let mut node = node(seed, many_node_settings(), members.clone());
        first_send(&node.request(SECOND).1) == Some(BackendId(3))
    });
    let to_idle = to_idle.count();
    assert!((10..60).contains(&to_idle), "{to_idle} of 200 nodes chose the idle backend of ten");
}

/// Guards against every node opening a connection to every backend, which overflows their connection tables.
#[test]
fn a_node_uses_a_subset_of_backends_and_others_when_the_subset_fails() {
    let distinct = |used: &[BackendId]| {
        let mut seen: Vec<u32> = used.iter().map(|to| to.0).collect();
        seen.sort_unstable();
        seen.dedup();
        seen
    };
    let mut node = node(5, many_node_settings(), listed([0.5; 3]));
    let subset = distinct(&serve(&mut node, 60, [0.5; 3], 50 * MS));
    assert_eq!(subset.len(), 4);
    // If the whole subset refuses connections, requests are sent to other backends.
    let mut widened = false;
    for _ in 0..10 {
        let (request, actions) = node.request(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while let Some(tried) = to {
            widened |= !subset.contains(&tried.0);
            let failed = if subset.contains(&tried.0) { Outcome::ConnectFailed } else { Outcome::Served };
            to = first_send(&node.end_attempt_after(request, attempt, failed, MS, LoadReport::default()));
            attempt += 1;
        }
    }
    assert!(widened);
}

/// Guards against ejecting a backend for seconds because its connection table is full.
#[test]
fn a_refused_connection_ejects_no_backend_with_many_nodes() {
    let mut node = node(5, many_node_settings(), listed([0.5; 3]));
    let mut logs = 0;
    for _ in 0..40 {
        let (request, _) = node.request(SECOND);
        let actions = node.end_attempt_after(request, 0, Outcome::ConnectFailed, MS, LoadReport::default());
        logs +=
            actions.iter().filter(|action| matches!(action, Action::Log(LogEvent::Ejected { .. }))).count();
        node.now += SECOND;
    }
    assert_eq!(logs, 0);
}

/// Guards against jitter of arrivals making first tries look like late retries, which are rejected.
#[test]
fn a_try_with_slightly_less_time_than_others_is_admitted() {
    let mut node = node(3, many_node_settings(), listed([0.5; 3]));
    for turn in 0..40 {
        let (request, actions) = node.request(500 * MS - (turn % 7) * MS);
        assert!(first_send(&actions).is_some(), "turn {turn}");
        node.now += 50 * MS;
        node.end_attempt_after(request, 0, Outcome::Served, 50 * MS, LoadReport::default());
        node.now += 400 * MS;
    }
}

/// Guards against retries sustaining an overload when their responses have no value any more.
#[test]
fn a_retry_past_its_latency_target_is_rejected_if_late_responses_have_no_value() {
    let mut node = node(3, many_node_settings(), listed([0.5; 3]));
    let (request, _) = node.request(800 * MS);
    node.end_attempt(request, 0, Outcome::Served, LoadReport::default());
    // The deadline is 1 s and the latency target 400 ms: with 300 ms left, the first try was 700 ms ago.
    let (_, actions) = node.request(300 * MS);
    assert!(first_send(&actions).is_none() && rejected(&actions));
}

/// Guards against rejecting a class without recent requests because rounding left no share for it.
#[test]
fn a_class_without_recent_requests_is_admitted() {
    let mut config = many_node_settings();
    config.classes.push(class(400, 1000, Idempotency::Idempotent));
    let mut node = node(3, config, listed([0.5; 3]));
    serve(&mut node, 10, [0.5; 3], 50 * MS);
    let (request, class) = (RequestId(9_999), ClassId(1));
    let not_after = node.now + SECOND;
    let actions = node.handle(Event::Request(Arrival {
        request,
        class,
        cost_hint: None,
        is_retry: false,
        tenant: None,
        not_after,
    }));
    assert!(first_send(&actions).is_some());
}

/// Guards against a burst overloading the backends while discovery is down and the admitted share cannot
/// change.
#[test]
fn timeouts_lower_the_concurrency_limit_without_a_list_and_successes_raise_it_again() {
    let mut node = node(3, many_node_settings(), listed([0.5; 3]));
    let run = |node: &mut Node, count: usize, outcome| {
        let mut admitted = 0;
        for _ in 0..count {
            let (request, actions) = node.request(SECOND);
            node.now += 100 * MS;
            if first_send(&actions).is_some() {
                admitted += 1;
                node.end_attempt_after(request, 0, outcome, 100 * MS, LoadReport::default());
            }
            node.now += 100 * MS;
        }
        admitted
    };
    node.now += 10 * SECOND;
    assert!(run(&mut node, 50, Outcome::Served) > 45);
    run(&mut node, 30, Outcome::TimedOut);
    let overloaded = run(&mut node, 50, Outcome::TimedOut);
    assert!((1..20).contains(&overloaded), "{overloaded} of 50 sent under overload");
    run(&mut node, 150, Outcome::Served);
    let after = run(&mut node, 50, Outcome::Served);
    assert!(after > 40, "{after} of 50 sent after the overload");
}

/// Guards against backends working on requests past their latency target. With few nodes the retries would
/// cost more.
#[test]
fn attempts_time_out_at_the_latency_target_only_with_many_nodes() {
    let timeout = |nodes| {
        let config = Settings { node_count: nodes, ..many_node_settings() };
        let mut node = node(3, config, listed([0.5; 3]));
        node.request(SECOND).1.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    assert_eq!(timeout(NODES), Some(Some(400 * MS)));
    assert_eq!(timeout(2), Some(None));
}

/// Guards against permitting every node one request per window: with many nodes, that overloads a cold
/// backend.
#[test]
fn many_nodes_together_keep_the_slow_start_budget() {
    let mut to_cold = 0;
    for seed in 0..u64::from(NODES / 3) {
        let mut node = node(seed, many_node_settings(), listed([0.5; 3]));
        serve(&mut node, 10, [0.5; 3], 50 * MS);
        let cold = Member { online_since: Some(node.now), ..member(3, 0) };
        node.update_list(ListScope::Changes, vec![cold]);
        for _ in 0..4 {
            to_cold += usize::from(first_send(&node.request(SECOND).1) == Some(BackendId(3)));
            node.now += SECOND / 2;
        }
    }
    // 200 requests a second go to ten backends at a third of their capacity, which is 60 a second each. A
    // tenth of that over 2 s is 12 requests; the rule's limit is twice that.
    assert!((1..=24).contains(&to_cold), "{to_cold} requests to the cold backend");
}

/// Guards against a node that has counted few arrivals so far reacting too strongly to its first list.
#[test]
fn a_node_that_has_just_started_does_not_shed_all_load_on_its_first_list() {
    let admitted = (0..100).filter(|&seed| {
        let mut node = node(seed, many_node_settings(), listed([6.0; 3]));
        let (request, _) = node.request(SECOND);
        node.now += 50 * MS;
        node.end_attempt_after(request, 0, Outcome::Served, 50 * MS, LoadReport::default());
        node.now += 100 * MS;
        node.request(SECOND);
        node.now += 200 * MS;
        first_send(&node.request(SECOND).1).is_some()
    });
    let admitted = admitted.count();
    assert!(admitted > 60, "only {admitted} of 100 nodes sent the request");
}

/// Guards against a tenant with several times its usual traffic displacing all others.
#[test]
fn a_tenant_over_its_quota_is_rejected_first() {
    // Each node receives ten requests a second; three a second of each tenant are within its quota.
    let quota = 3.0 * f64::from(NODES);
    let config =
        Settings { tenant_quotas: vec![quota, quota], over_quota_value: 0.1, ..many_node_settings() };
    let mut node = node(3, config, listed([9.0; 3]));
    let mut admitted = [0, 0];
    let mut arrivals = [0, 0];
    for turn in 0..600u64 {
        if turn % 10 == 0 {
            node.update_list(ListScope::Full, listed([9.0; 3]));
        }
        let tenant = u32::from(turn % 6 == 0);
        let request = RequestId(10_000 + turn);
        let not_after = node.now + SECOND;
        let arrival = Arrival {
            request,
            class: ClassId(0),
            cost_hint: None,
            is_retry: false,
            tenant: Some(tenant),
            not_after,
        };
        let actions = node.handle(Event::Request(arrival));
        arrivals[tenant as usize] += 1;
        node.now += 50 * MS;
        if first_send(&actions).is_some() {
            admitted[tenant as usize] += 1;
            node.end_attempt_after(request, 0, Outcome::Served, 50 * MS, LoadReport::default());
        }
        node.now += 50 * MS;
    }
    let part = |tenant: usize| f64::from(admitted[tenant]) / f64::from(arrivals[tenant]);
    assert!(part(1) > 1.5 * part(0), "{admitted:?} of {arrivals:?}");
}

/// Guards against a slow-start budget that shrinks under overload because little is served, so that new
/// backends cannot relieve it.
#[test]
fn an_overload_does_not_reduce_the_slow_start_budget_of_new_backends() {
    let config = Settings { node_count: 3, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(config, (0..3).map(|b| member(b, 0)).collect());
    node.now += 60 * SECOND;
    node.serve(300, |_| util(0.5));
    for _ in 0..60 {
        let (request, actions) = node.request(SECOND);
        node.advance(100 * MS);
        if first_send(&actions).is_some() {
            node.end_attempt_after(request, 0, Outcome::TimedOut, 100 * MS, util(1.0));
        }
    }
    node.update_list(
        ListScope::Changes,
        vec![Member { online_since: Some(node.now - 15 * SECOND), ..member(9, 0) }],
    );
    let to_new = (0..40).filter(|_| first_send(&node.request(SECOND).1) == Some(BackendId(9))).count();
    assert!(to_new >= 3, "{to_new} requests to the new backend");
}

/// Guards against starving cold backends where responses carry no load reports, so that no capacity is
/// measured.
#[test]
fn a_cold_backend_is_used_without_load_reports() {
    let config = Settings { node_count: 60, ..settings(Idempotency::Idempotent) };
    let members: Vec<Member> = (0..30).map(|b| member(b, b / 10)).collect();
    let mut to_cold = 0;
    for seed in 0..20 {
        let mut node = Node::with_seed(seed, config.clone(), members.clone());
        node.serve(1000, |_| LoadReport::default());
        let cold = Member { online_since: Some(node.now), ..member(3, 0) };
        node.update_list(ListScope::Changes, vec![cold]);
        let used = node.serve(200, |_| LoadReport::default());
        to_cold += used.iter().filter(|to| to.0 == 3).count();
    }
    // A backend of the zone serves 400 requests of these 20 nodes in 2 s. By then it has 15% to 23% of its
    // capacity, or 76 requests, and the limit is three times as much.
    assert!((15..150).contains(&to_cold), "{to_cold} requests to the cold backend");
}

/// Guards against a limit that keeps rejecting for many seconds after an overload although backends respond
/// at once, or that a single late response lowers.
#[test]
fn the_concurrency_limit_recovers_soon_after_an_overload() {
    let config = Settings { node_count: 60, ..settings(Idempotency::NonIdempotent) };
    let mut node = Node::with_seed(3, config, (0..30).map(|b| member(b, b / 10)).collect());
    // Runs one second with sixteen requests; returns how many are sent.
    let mut run_second = |outcome: fn(usize) -> Outcome| {
        let sent = (0..16).filter(|&turn| {
            let (request, actions) = node.request(SECOND);
            node.advance(50 * MS);
            let to = first_send(&actions);
            if to.is_some() {
                node.end_attempt_after(request, 0, outcome(turn), 50 * MS, LoadReport::default());
            }
            node.advance(10 * MS);
            to.is_some()
        });
        sent.count()
    };
    let normal: usize =
        (0..10).map(|_| run_second(|turn| if turn == 7 { Outcome::TimedOut } else { Outcome::Served })).sum();
    assert!(normal >= 158, "{normal} of 160 sent with one late response in 16");
    (0..6).for_each(|_| {
        run_second(|_| Outcome::TimedOut);
    });
    let overloaded = run_second(|_| Outcome::TimedOut);
    assert!(overloaded <= 6, "{overloaded} of 16 sent under overload");
    (0..6).for_each(|_| {
        run_second(|_| Outcome::Served);
    });
    let after: usize = (0..2).map(|_| run_second(|_| Outcome::Served)).sum();
    assert!(after >= 30, "{after} of 32 sent 6 s after the overload");
}

/// Guards against each node sending to a slow backend because it has nothing in flight there, which keeps the
/// backend overloaded while others have capacity.
#[test]
fn a_backend_that_was_just_slow_is_avoided_with_many_nodes() {
    let config = Settings { node_count: 60, ..settings(Idempotency::NonIdempotent) };
    let mut node = Node::with_seed(3, config, (0..30).map(|b| member(b, b / 10)).collect());
    let mut slow_backend = None;
    let mut used = [0, 0];
    for turn in 0..1200 {
        let (request, actions) = node.request(SECOND);
        let Some(to) = first_send(&actions) else { continue };
        // One backend becomes ten times slower after 10 s.
        if turn >= 200 && slow_backend.is_none() {
            slow_backend = Some(to);
        }
        let response_time = if slow_backend == Some(to) { 400 * MS } else { 40 * MS };
        used[usize::from(slow_backend == Some(to))] += usize::from(turn > 300);
        node.end_attempt_after(request, 0, Outcome::Served, response_time, LoadReport::default());
        node.advance(50 * MS);
    }
    // Each of the eight nodes that use the backend sends it one trial every 2.4 s, over 45 s.
    assert!((5..25).contains(&used[1]), "{used:?} requests sent to the other backends and the slow one");
    assert!(used[0] > 800, "{used:?}");
}

/// Requests sent to the fifteen backends of a home zone in the 4 s after it returned cold, by its thirty
/// nodes with sixteen requests a second each. A cold backend responds after `response_time`, all others after
/// 40 ms.
fn sent_to_a_cold_home(response_time: Nanos) -> usize {
    let config = Settings { node_count: 60, zone_count: 2, ..settings(Idempotency::NonIdempotent) };
    let home = |since| (0..15).map(|b| Member { online_since: since, ..member(b, 0) }).collect::<Vec<_>>();
    let gone = || (0..15).map(|b| Member { stage: Stage::Gone, ..member(b, 0) }).collect::<Vec<_>>();
    let at_home = |to: BackendId| to.0 < 15;
    let run_seconds = |node: &mut Node, seconds: usize, response_time: Nanos| {
        let run_request = |node: &mut Node| {
            let (request, actions) = node.request(SECOND);
            let to = first_send(&actions)?;
            let response_time = if at_home(to) { response_time } else { 40 * MS };
            node.now += response_time;
            node.end_attempt_after(request, 0, Outcome::Served, response_time, LoadReport::default());
            Some(to)
        };
        let mut to_home = 0;
        for _ in 0..seconds * 16 {
            let began = node.now;
            to_home += usize::from(run_request(node).is_some_and(at_home));
            node.now = node.now.max(began + SECOND / 16);
        }
        to_home
    };
    let mut to_home = 0;
    for seed in 0..30 {
        let mut node = Node::with_seed(seed, config.clone(), home(None));
        node.update_list(ListScope::Changes, (15..30).map(|b| member(b, 1)).collect());
        run_seconds(&mut node, 20, 40 * MS);
        node.update_list(ListScope::Changes, gone());
        run_seconds(&mut node, 120, 40 * MS);
        let since = Some(node.now - 4 * SECOND);
        node.update_list(ListScope::Changes, home(since));
        to_home += run_seconds(&mut node, 4, response_time);
    }
    to_home
}

/// Guards against starving a zone that returns cold, because its measured capacity decayed while it was gone
/// and its backends are assumed to be slow.
#[test]
fn a_zone_that_returns_cold_is_used() {
    // At 30% to 45% of its capacity a backend serves 9 requests a second one at a time; the limit is three
    // times that.
    let to_home = sent_to_a_cold_home(100 * MS);
    assert!((270..1600).contains(&to_home), "{to_home} of 1920 to the returned home zone");
}

/// Guards against a slow-start budget that ignores how fast a cold backend responds.
#[test]
fn a_cold_backend_that_responds_fast_gets_more_requests() {
    let (slow, prompt) = (sent_to_a_cold_home(110 * MS), sent_to_a_cold_home(45 * MS));
    assert!(
        prompt as f64 > 1.3 * slow as f64,
        "{prompt} requests to fast cold backends, {slow} to slow ones"
    );
    assert!(prompt < 1600, "{prompt} requests to fast cold backends");
}

/// Guards against retries past their latency target, of little value, taking capacity from first tries.
#[test]
fn a_retry_past_its_latency_target_yields_to_first_tries_under_overload() {
    let mut config = Settings { node_count: 60, ..settings(Idempotency::NonIdempotent) };
    config.classes[0].late_value_share = 0.2;
    let mut node = Node::with_seed(3, config, (0..30).map(|b| member(b, b / 10)).collect());
    let admitted = |node: &mut Node, wait: Nanos, outcome: Outcome| {
        let (request, actions) = node.request(wait);
        node.advance(60 * MS);
        let to = first_send(&actions);
        if to.is_some() {
            node.end_attempt_after(request, 0, outcome, 60 * MS, LoadReport::default());
        }
        usize::from(to.is_some())
    };
    // The deadline is 1 s and the latency target 400 ms: with 300 ms left, the first try was 700 ms ago.
    let normal: usize = (0..40).map(|_| admitted(&mut node, SECOND, Outcome::Served)).sum();
    let normal_retries: usize = (0..40).map(|_| admitted(&mut node, 300 * MS, Outcome::Served)).sum();
    assert!(
        normal >= 39 && normal_retries >= 39,
        "{normal} first tries and {normal_retries} retries of 40 sent without overload"
    );
    (0..4).for_each(|_| {
        admitted(&mut node, SECOND, Outcome::Full);
        node.advance(SECOND);
    });
    let (mut first, mut retries) = (0, 0);
    for turn in 0..60 {
        retries += admitted(&mut node, 300 * MS, Outcome::Served);
        first += admitted(&mut node, SECOND, if turn % 8 == 0 { Outcome::Full } else { Outcome::Served });
    }
    assert!(first > 10 && retries < first / 3, "{first} first tries and {retries} retries of 60 sent");
}

/// Guards against counting a retry with little time left as a sign of overload when it is served fast but
/// too late.
#[test]
fn a_response_too_late_for_a_short_retry_does_not_lower_the_concurrency_limit() {
    let mut config = Settings { node_count: 60, ..settings(Idempotency::NonIdempotent) };
    config.classes[0].late_value_share = 0.2;
    let mut node = Node::with_seed(3, config, (0..30).map(|b| member(b, b / 10)).collect());
    let mut admitted = 0;
    for turn in 0..160 {
        // Every other request is a retry with 40 ms left to its latency target.
        let wait = if turn % 2 == 0 { SECOND } else { 640 * MS };
        let (request, actions) = node.request(wait);
        node.now += 60 * MS;
        if first_send(&actions).is_some() {
            admitted += usize::from(turn % 2 == 0);
            node.end_attempt_after(request, 0, Outcome::Served, 60 * MS, LoadReport::default());
        }
    }
    assert!(admitted >= 78, "{admitted} of 80 first tries sent");
}

/// Guards against trying every backend of an unreachable home zone in turn: each try waits for a connect
/// timeout.
#[test]
fn an_unreachable_zone_is_left_for_another_one() {
    let config = Settings { node_count: 40, zone_count: 2, ..settings(Idempotency::NonIdempotent) };
    let mut node = Node::with_seed(3, config, (0..40).map(|b| member(b, b / 20)).collect());
    node.now += SECOND;
    let mut tried = std::collections::BTreeSet::new();
    let (mut to_home, mut served) = (0, 0);
    for _ in 0..320 {
        let (request, actions) = node.request(SECOND);
        node.now += 60 * MS;
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while let Some(backend) = to {
            let (outcome, elapsed) = if backend.0 < 20 {
                to_home += 1;
                tried.insert(backend);
                (Outcome::ConnectFailed, 200 * MS)
            } else {
                served += 1;
                (Outcome::Served, 40 * MS)
            };
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                outcome,
                elapsed,
                LoadReport::default(),
            ));
            attempt += 1;
        }
    }
    assert!(tried.len() <= 4, "{} backends of the unreachable zone tried", tried.len());
    assert!(
        to_home < 50 && served > 200,
        "{to_home} sent to the unreachable zone, {served} served by the other"
    );
}

/// Guards against a limit that is a share of the arrivals: retries of rejected requests then raise the load
/// on servers that do not respond.
#[test]
fn client_retries_do_not_raise_the_load_on_unresponsive_servers() {
    let members: Vec<Member> = (0..30).map(|b| member(b, b / 10)).collect();
    let mut node =
        Node::with_seed(3, Settings { node_count: NODES, ..settings(Idempotency::NonIdempotent) }, members);
    node.now += 10 * SECOND;
    let results: Vec<(bool, bool)> = (0..200)
        .map(|_| {
            let (_, actions) = node.request(SECOND);
            node.advance(5 * MS);
            (first_send(&actions).is_some(), rejected(&actions))
        })
        .collect();
    let sent = results.iter().filter(|result| result.0).count();
    assert!((3..=8).contains(&sent), "{sent} of 200 sent in a second");
    assert!(
        results.iter().all(|result| result.0 != result.1),
        "a request that is not sent is rejected at once"
    );
}

/// Guards against nodes leaving a small home zone with many clients only once it is overloaded.
#[test]
fn a_small_home_zone_sends_its_excess_to_larger_zones() {
    let zone = |b: u32| if b < 3 { 0 } else { 1 + (b - 3) / 14 };
    let members: Vec<Member> = (0..31).map(|b| member(b, zone(b))).collect();
    let (mut home, mut away) = (0, 0);
    for seed in 0..50 {
        let config = Settings { node_count: NODES, ..settings(Idempotency::NonIdempotent) };
        let mut node = Node::with_seed(seed, config, members.clone());
        node.now += 10 * SECOND;
        for _ in 0..4 {
            match first_send(&node.request(SECOND).1) {
                Some(to) if zone(to.0) == 0 => home += 1,
                Some(_) => away += 1,
                None => {}
            }
        }
    }
    assert!(home >= 50 && away >= 50, "{home} in the home zone and {away} in others of 200");
}

/// Guards against nodes of other zones spilling as much to a cold backend as the nodes of its own zone may
/// send.
#[test]
fn nodes_of_all_zones_together_keep_the_slow_start_budget() {
    let mut to_cold = 0;
    for seed in 0..u64::from(NODES) {
        let home = ZoneId(seed as u32 % 3);
        let config = Settings { home_zone: home, node_count: NODES, ..settings(Idempotency::NonIdempotent) };
        let cold = |b| Member { online_since: Some(50 * SECOND), ..member(b, 0) };
        let members = (0..30).map(|b| if b < 4 { cold(b) } else { member(b, 1 + b % 2) }).collect();
        let mut node = Node::with_seed(seed, config, members);
        node.now += 50 * SECOND;
        for _ in 0..8 {
            // All other backends refuse connections.
            let (request, actions) = node.request(SECOND);
            let (mut to, mut attempt) = (first_send(&actions), 0);
            while let Some(BackendId(4..)) = to {
                to = first_send(&node.end_attempt_after(
                    request,
                    attempt,
                    Outcome::ConnectFailed,
                    MS,
                    LoadReport::default(),
                ));
                attempt += 1;
            }
            to_cold += usize::from(to.is_some());
        }
    }
    // Twice a tenth of the capacity of four backends over 2 s is 1.6 s of work, or 32 requests of 50 ms.
    assert!((1..=32).contains(&to_cold), "{to_cold} requests to the cold backends");
}

/// Guards against a limit that stays so low after fast responses that a small burst is rejected.
#[test]
fn the_concurrency_limit_allows_a_small_burst() {
    let config = Settings { node_count: NODES, ..settings(Idempotency::NonIdempotent) };
    let mut node = Node::with_seed(3, config, (0..10).map(|b| member(b, 0)).collect());
    node.now += 10 * SECOND;
    let mut run_one_at_a_time = |outcome, count| {
        for _ in 0..count {
            let (request, actions) = node.request(SECOND);
            node.advance(50 * MS);
            if first_send(&actions).is_some() {
                node.end_attempt_after(request, 0, outcome, 50 * MS, LoadReport::default());
            }
            node.advance(50 * MS);
        }
    };
    run_one_at_a_time(Outcome::TimedOut, 40);
    run_one_at_a_time(Outcome::Served, 200);
    let burst = (0..4).filter(|_| first_send(&node.request(SECOND).1).is_some()).count();
    assert_eq!(burst, 4, "requests sent of a burst of four");
}
