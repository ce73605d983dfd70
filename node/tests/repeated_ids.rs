//! Requests whose id comes again on another connection, after the client of the first has left or while it still waits.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::*;

/// Gaps between the close of the first connection and the second request.
const GAPS: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(20), Duration::from_millis(200), Duration::from_millis(1500)];

fn ids(backend: &Backend) -> Vec<String> {
    let requests = backend.requests.try_iter();
    requests.filter_map(|request| request.header("x-call-id").map(str::to_owned)).collect()
}

/// Guards against running a request twice: its client left, its id came again on a new connection, and reached a backend a
/// second time.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_runs_once() {
    for class in ["pay", "join"] {
        let backend = Backend::new(|_| Behavior::RespondSlowly(ok("yes"), Duration::from_millis(400)));
        let (node, _discovery) = Node::with_backends(&[&backend]);
        let key = if class == "join" { "Idempotency-Key: k1\r\n" } else { "" };
        for (number, gap) in GAPS.into_iter().enumerate() {
            let request = post(class, &format!("{class}-{number}"), key, "x");
            let mut first = Client::connect(node.address);
            first.write(&request);
            assert_eq!(
                backend.next_request().header("x-call-id"),
                Some(format!("{class}-{number}").as_str())
            );
            drop(first);
            thread::sleep(gap);
            let status = node.request(&request).status();
            assert!(
                !matches!(status, 200 | 429 | 503),
                "{class}, {gap:?}: it may have run, but got {status}"
            );
        }
        assert_eq!(ids(&backend), Vec::<String>::new(), "{class}: ids reached the backend again");
    }
}

/// Guards against running a request twice whose id comes again while the first client still waits, or has its response.
#[test]
fn an_id_that_comes_again_beside_its_first_request_runs_once() {
    let gate = Arc::new(Gate::default());
    let opened = gate.clone();
    let backend = Backend::new(move |_| Behavior::RespondWhenOpen(gate.clone(), ok("yes")));
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let mut first = Client::connect(node.address);
    first.write(&post("pay", "p1", "", "x"));
    backend.next_request();
    let beside = node.request(&post("pay", "p1", "", "x")).status();
    opened.open();
    assert_eq!(first.read_response().map(|response| response.status()), Some(200));
    let after = node.request(&post("pay", "p1", "", "x")).status();
    for status in [beside, after] {
        assert!(!matches!(status, 200 | 429 | 503), "it may have run, but got {status}");
    }
    assert_eq!(ids(&backend), Vec::<String>::new());
}

/// Guards against refusing ids for good: one that never ran may come again, and so may one that is safe to repeat.
#[test]
fn an_id_that_never_ran_is_forwarded_when_it_comes_again() {
    let rejecting = Arc::new(AtomicBool::new(true));
    let rejects = rejecting.clone();
    let backend = Backend::new(move |_| {
        let reject = rejects.load(Ordering::SeqCst);
        Behavior::Respond(if reject { status(503, "X-Rejected: 1\r\n") } else { ok("yes") })
    });
    let (node, _discovery) = Node::with_backends(&[&backend]);
    assert_eq!(node.request(&post("pay", "n1", "", "x")).status(), 503);
    rejecting.store(false, Ordering::SeqCst);
    wait_until("the id is forwarded", || node.request(&post("pay", "n1", "", "x")).status() == 200);
    for _ in 0..2 {
        assert_eq!(node.request(&get("g1", "")).status(), 200);
    }
}
