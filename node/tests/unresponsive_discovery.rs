//! Discovery that does not respond: calls are retried in time, and missed changes are applied.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

fn backend_responding(body: &'static str) -> Backend {
    Backend::new(move |_| Behavior::Respond(ok(body)))
}

/// A configuration without a known list, so that the node's first call returns at once.
fn config_for_kind(discovery: &Discovery, kind: &str) -> Value {
    let mut config = config(discovery.address, json!([]));
    config["known"] = Value::Null;
    config["settings"]["discovery"] = json!(kind);
    config
}

/// Waits for the call with this number, counted from 0, and checks that it follows the one before within the limit.
fn expect_call_within(discovery: &Discovery, call: usize, limit: Duration) {
    wait_until("the previous call is made", || discovery.call_count() >= call);
    let before = Instant::now();
    wait_until("the call is made", || discovery.call_count() > call);
    assert!(before.elapsed() < limit, "call {call} came after {:?}", before.elapsed());
}

/// Guards against waiting for a hanging watch to time out before the next call.
#[test]
fn another_call_is_made_beside_a_hanging_watch() {
    let (old, new) = (backend_responding("old"), backend_responding("new"));
    // Call 0 brings the list, call 1 is the watch.
    let discovery = Discovery::with_script(json!([target("s-0", old.address, "Ready")]), |call| match call {
        1 => CallBehavior::Hang,
        _ => CallBehavior::SendList,
    });
    let node = Node::start(&config(discovery.address, json!([])));
    discovery.wait_for_watch_from(1);
    assert_eq!(node.request(&get("w0", "")).body, b"old");
    expect_call_within(&discovery, 2, Duration::from_secs(5));
    discovery
        .set_targets(json!([target("s-0", old.address, "Terminating"), target("s-1", new.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.rev());
    for n in 1..10 {
        assert_eq!(node.request(&get(&format!("w{n}"), "")).body, b"new");
    }
}

/// Guards against waiting for a full timeout on each hanging call, which delays changes once discovery responds again.
#[test]
fn hanging_calls_are_retried_soon() {
    for kind in ["pushed", "on_request"] {
        let backend = backend_responding("yes");
        let hanging = Arc::new(AtomicBool::new(true));
        let hangs = hanging.clone();
        let discovery = Discovery::with_script(json!([target("s-0", backend.address, "Ready")]), move |_| {
            if hangs.load(Ordering::SeqCst) { CallBehavior::Hang } else { CallBehavior::SendList }
        });
        let node = Node::start(&config_for_kind(&discovery, kind));
        wait_until("calls are retried", || discovery.call_count() >= 4);
        hanging.store(false, Ordering::SeqCst);
        discovery.wait_for_watch_from(1);
        assert_eq!(node.request(&get("s1", "")).status(), 200, "{kind}");
    }
}

/// Guards against a slow, endless response that blocks further calls.
#[test]
fn a_trickling_response_is_not_waited_for() {
    for kind in ["pushed", "on_request"] {
        let backend = backend_responding("yes");
        let discovery =
            Discovery::with_script(json!([target("s-0", backend.address, "Ready")]), |call| match call {
                0 => CallBehavior::Trickle,
                1 => CallBehavior::Close,
                _ => CallBehavior::SendList,
            });
        let node = Node::start(&config_for_kind(&discovery, kind));
        discovery.wait_for_watch_from(1);
        assert_eq!(node.request(&get("t1", "")).status(), 200, "{kind}");
    }
}

/// Guards against serving from an outdated configured list when the first call to discovery is lost.
#[test]
fn a_new_node_gets_the_list_though_its_first_call_hangs() {
    let (old, new) = (backend_responding("old"), backend_responding("new"));
    let listed = json!([target("s-0", old.address, "Terminating"), target("s-1", new.address, "Ready")]);
    let discovery =
        Discovery::with_script(
            listed,
            |call| if call == 0 { CallBehavior::Hang } else { CallBehavior::SendList },
        );
    let node = Node::start(&config(discovery.address, json!([target("s-0", old.address, "Ready")])));
    expect_call_within(&discovery, 1, Duration::from_secs(4));
    discovery.wait_for_watch_from(1);
    assert_eq!(node.request(&get("p1", "")).body, b"new");
    assert_eq!(old.request_count(), 0);
}

/// Guards against losing discovery when a new address, set by SIGHUP, does not respond at first.
#[test]
fn a_new_discovery_address_is_retried_after_its_first_call_hangs() {
    let (old, new) = (backend_responding("old"), backend_responding("new"));
    let before = Discovery::new(json!([target("s-0", old.address, "Ready")]));
    let after = Discovery::with_script(json!([target("s-1", new.address, "Ready")]), |call| match call {
        0 | 1 => CallBehavior::Hang,
        _ => CallBehavior::SendList,
    });
    let mut config = config(before.address, json!([]));
    let node = Node::start(&config);
    before.wait_for_watch_from(1);
    config["discovery"] = json!(after.address.to_string());
    node.reconfigure(&config.to_string());
    expect_call_within(&after, 2, Duration::from_secs(4));
    after.wait_for_watch_from(1);
    assert_eq!(node.request(&get("h1", "")).body, b"new");
    assert!(
        after.calls.lock().unwrap()[..3].iter().all(|call| !call.contains("from=")),
        "the full list is requested"
    );
}

/// Guards against giving up every call to a discovery that is slow but responds: the node learned of no change any more, and
/// went on sending to a draining backend. Slow from the start, or from the first long poll on.
#[test]
fn changes_from_a_slow_discovery_are_received_in_time() {
    /// When a change counts as received at the latest, and the grace period of a drain.
    const LIMIT: Duration = Duration::from_millis(6000 + 500);
    let slow_discovery = |latency_ms: u64, slow_from_call: usize| {
        let latency = Duration::from_millis(latency_ms);
        let (old, new) = (backend_responding("old"), backend_responding("new"));
        let discovery = Discovery::with_script(json!([target("s-0", old.address, "Ready")]), move |call| {
            if call < slow_from_call { CallBehavior::SendList } else { CallBehavior::SendListLate(latency) }
        });
        let mut config = config_for_kind(&discovery, "on_request");
        config["known"] = json!({"rev": 0, "all": true, "targets": [target("s-0", old.address, "Ready")]});
        let node = Node::start(&config);
        // The polls that began before discovery was slow have ended, and calls have been given up if they ever are.
        std::thread::sleep(Duration::from_secs(26));
        assert_eq!(node.request(&get("d0", "")).body, b"old", "{latency_ms} ms from call {slow_from_call}");
        discovery.set_targets(json!([
            target("s-0", old.address, "Terminating"),
            target("s-1", new.address, "Ready")
        ]));
        let changed_at = Instant::now();
        let received = (1..).any(|n| {
            std::thread::sleep(Duration::from_millis(20));
            let response = node.request(&get(&format!("d{n}"), ""));
            response.body == b"new" || changed_at.elapsed() > 2 * LIMIT
        });
        let delay = changed_at.elapsed();
        assert!(
            received && delay <= LIMIT,
            "{latency_ms} ms from call {slow_from_call}: received after {delay:?}"
        );
    };
    std::thread::scope(|scope| {
        for latency_ms in [300, 1200, 2500, 4000, 5000] {
            for slow_from_call in [0, 1] {
                let slow_discovery = &slow_discovery;
                scope.spawn(move || slow_discovery(latency_ms, slow_from_call));
            }
        }
    });
}

/// Guards against giving up every call to a slow agent: the node kept its list for ever.
#[test]
fn changes_from_a_slow_agent_are_received() {
    let (old, new) = (backend_responding("old"), backend_responding("new"));
    let discovery = Discovery::with_script(json!([target("s-0", old.address, "Ready")]), |_| {
        CallBehavior::SendListLate(Duration::from_millis(1500))
    });
    let node = Node::start(&config(discovery.address, json!([target("s-0", old.address, "Ready")])));
    std::thread::sleep(Duration::from_secs(6));
    discovery
        .set_targets(json!([target("s-0", old.address, "Terminating"), target("s-1", new.address, "Ready")]));
    let mut number = 0;
    wait_until("the node learns of the change", || {
        number += 1;
        node.request(&get(&format!("a{number}"), "")).body == b"new"
    });
}

/// Guards against a size limit that only compact JSON meets.
#[test]
fn an_indented_list_is_accepted() {
    let backend = backend_responding("yes");
    let discovery = Discovery::new(json!([]));
    let targets: Vec<Value> = (0..200).map(|n| target(&format!("s-{n}"), backend.address, "Ready")).collect();
    let list = json!({"rev": 2, "all": true, "targets": targets});
    let node = Node::start(&config(discovery.address, json!([])));
    discovery.wait_for_watch_from(1);
    discovery.set_response(2, serde_json::to_string_pretty(&list).unwrap());
    discovery.wait_for_watch_from(2);
    assert_eq!(node.request(&get("i1", "")).status(), 200);
    assert!(!node.log_contains("invalid backend list"));
}

/// Guards against extra calls to discovery while its watch gets responses.
#[test]
fn a_healthy_watch_makes_one_call_at_a_time() {
    let backend = backend_responding("yes");
    let (_node, discovery) = Node::with_backends(&[&backend]);
    let (before, began) = (discovery.call_count(), Instant::now());
    std::thread::sleep(Duration::from_millis(5000));
    // A watch lasts 2 s; one may have been about to end.
    let max_calls = 1.0 + began.elapsed().as_secs_f64() / 2.0;
    let call_count = discovery.call_count() - before;
    assert!((call_count as f64) <= max_calls, "{:?}", discovery.calls.lock().unwrap());
}
