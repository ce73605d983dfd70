//! Forwarding of requests and responses between clients and backends.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::*;
use serde_json::json;

fn backend_with(behavior: Behavior) -> Backend {
    Backend::new(move |_| behavior.clone())
}

#[test]
fn forwards_a_request_unchanged_and_once() {
    let backend = backend_with(Behavior::Respond(ok("seated")));
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let response =
        node.request(&post("join", "a1b2", "Idempotency-Key: k-77\r\nX-Budget-Ms-Not: 1\r\n", "lobby"));
    assert_eq!((response.status(), response.body.as_slice()), (200, b"seated".as_slice()));
    let request = backend.next_request();
    assert_eq!(request.start_line, "POST /api HTTP/1.1");
    assert_eq!(request.body, b"lobby");
    assert_eq!(request.header_values("x-call-id"), ["a1b2"]);
    assert_eq!(request.header_values("idempotency-key"), ["k-77"]);
    assert_eq!(request.header_values("content-length"), ["5"]);
    let [budget] = request.header_values("x-budget-ms")[..] else { panic!("one budget: {request:?}") };
    assert!(budget.parse::<u64>().unwrap() <= 3000, "{budget}");
    let response = node.request(&get("a1b3", ""));
    assert_eq!(response.status(), 200);
    assert_eq!(backend.next_request().start_line, "GET /api?x=1 HTTP/1.1");
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_backend() {
    let backend = backend_with(Behavior::Respond(ok("no")));
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let large = "x".repeat(64 * 1024 + 1);
    let key = "Idempotency-Key: k\r\n";
    let cases = [
        (404, get("1", "").replace("/api", "/other")),
        (400, get("1", "").replace("X-Call-Id", "X-No-Id")),
        (400, get("1", "X-Call-Id: 2\r\n")),
        (400, get("1", "").replace("X-Call-Class", "X-No-Class")),
        (400, get("1", "").replace("read", "unheard-of")),
        (400, get("1", "").replace("acme", "nobody")),
        (400, get("1", "").replace("X-Caller", "X-No-Caller")),
        (400, get("1", "").replace("3000", "soon")),
        (400, get("1", "").replace("3000", "-5")),
        (400, get("1", "X-Call-Cost: much\r\n")),
        (405, get("1", "").replace("read", "pay")),
        (405, post("read", "1", "", "")),
        (400, post("join", "1", "", "")),
        (400, post("pay", "1", key, "")),
        (413, post("join", "1", key, &large)),
    ];
    for (expected, text) in cases {
        assert_eq!(node.request(&text).status(), expected, "{}", &text[..text.len().min(300)]);
    }
    assert_eq!(node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    assert_eq!(node.request(&get("last", "")).status(), 200);
    assert_eq!(backend.next_request().header("x-call-id"), Some("last"));
    assert_eq!(backend.request_count(), 0);
}

/// Guards against running an unsafe request twice: after an outcome that leaves open whether it ran, there must be no
/// further attempt, and no rejection, which tells the client that a retry is safe.
#[test]
fn an_unsafe_request_that_may_have_run_is_not_retried() {
    let behaviors = [
        Behavior::Respond(status(500, "")),
        Behavior::Respond(status(503, "")),
        Behavior::Respond(status(504, "X-Rejected: 0\r\n")),
        Behavior::Respond(status(302, "")),
        Behavior::RespondAndClose(String::new()),
        Behavior::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_owned()),
        Behavior::RespondAndClose("HTTP/1.1 200 OK\r\n\r\nwhole or half".to_owned()),
        Behavior::RespondAndClose("noise\r\n\r\n".to_owned()),
        Behavior::Respond(ok(&"x".repeat(64 * 1024 + 1))),
        Behavior::Hang,
    ];
    for (n, behavior) in behaviors.into_iter().enumerate() {
        let (first, second) = (backend_with(behavior.clone()), backend_with(behavior));
        let (node, _discovery) = Node::with_backends(&[&first, &second]);
        let response = node.request(&post("pay", "u1", "", "").replace("3000", "700"));
        assert_eq!(response.status(), 502, "case {n}");
        assert_eq!(first.request_count() + second.request_count(), 1, "case {n}");
    }
}

/// A rejected request never ran, so even an unsafe one is sent to another backend, or rejected if there is none.
#[test]
fn an_unsafe_request_that_was_rejected_is_sent_elsewhere() {
    let rejecting = |code| backend_with(Behavior::Respond(status(code, "X-Rejected: 1\r\n")));
    let healthy = backend_with(Behavior::Respond(ok("paid")));
    let (full, other) = (rejecting(503), rejecting(504));
    let (node, _discovery) = Node::with_backends(&[&full, &healthy]);
    for n in 0..8 {
        assert_eq!(node.request(&post("pay", &format!("p{n}"), "", "")).status(), 200);
    }
    assert_eq!(healthy.request_count(), 8);
    let (node, _discovery) = Node::with_backends(&[&other]);
    assert_eq!(node.request(&post("pay", "p9", "", "")).status(), 503);
}

/// Guards against failing a request on a refused connection, where nothing ran and another backend can serve it.
#[test]
fn a_backend_that_refuses_connections_fails_no_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let healthy = backend_with(Behavior::Respond(ok("paid")));
    let discovery =
        Discovery::new(json!([target("s-0", address, "Ready"), target("s-1", healthy.address, "Ready")]));
    let node = Node::start(&config(discovery.address, json!([])));
    discovery.wait_for_watch_from(1);
    for n in 0..8 {
        assert_eq!(node.request(&post("pay", &format!("p{n}"), "", "")).status(), 200);
    }
    assert_eq!(healthy.request_count(), 8);
}

/// Guards against a rejection without `Retry-After`, even with the `retry-after` setting off.
#[test]
fn a_rejection_carries_retry_after() {
    let rejecting = backend_with(Behavior::Respond(status(503, "X-Rejected: 1\r\n")));
    let discovery = Discovery::new(json!([target("s-0", rejecting.address, "Ready")]));
    for retry_after_allowed in [true, false] {
        let mut config = config(discovery.address, json!([]));
        config["settings"]["policy-limits"]["retry-after"] = json!(retry_after_allowed);
        let node = Node::start(&config);
        wait_until("the node is ready", || {
            node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").status() == 200
        });
        let response = node.request(&get("r1", ""));
        assert_eq!(response.status(), 503);
        let retry_after: f64 =
            response.header("retry-after").expect("a Retry-After header").parse().expect("seconds");
        assert!(retry_after > 0.0 && retry_after <= 1.0, "{retry_after}");
    }
}

/// Guards against holding a request past its client's deadline.
#[test]
fn a_hanging_backend_does_not_hold_a_request_past_its_deadline() {
    let backend = backend_with(Behavior::Hang);
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let response = node.request(&get("s1", "").replace("3000", "200"));
    assert_ne!(response.status(), 200);
    // The abandoned attempt does not block the next request.
    assert_ne!(node.request(&get("s2", "").replace("3000", "200")).status(), 200);
}

/// Guards against writing an unsafe request to a pooled connection that its backend has closed: it would then count as one
/// that may have run.
#[test]
fn a_pooled_connection_closed_by_its_backend_is_not_used() {
    let backend = backend_with(Behavior::RespondAndClose(ok("paid")));
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 1..=20 {
        let response = client.request(&post("pay", &format!("p{n}"), "", "")).expect("a response");
        assert_eq!(response.status(), 200, "call {n}");
        wait_until("the node closes the connection", || backend.closed.load(Ordering::SeqCst) == n);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 20);
}

/// Guards against opening a new connection for each request.
#[test]
fn connections_are_reused() {
    let backend = backend_with(Behavior::Respond(ok("yes")));
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 0..10 {
        assert_eq!(client.request(&get(&format!("k{n}"), "")).expect("a response").status(), 200);
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_malformed_load_report_is_ignored() {
    for report in ["{\"util\":0.4}", "{\"util\":\"high\"}", "{\"util\":1e999}", "{", "[]", "\u{e9}"] {
        let text = format!("HTTP/1.1 200 OK\r\nX-Load-Report: {report}\r\nContent-Length: 2\r\n\r\nok");
        let backend = backend_with(Behavior::Respond(text));
        let (node, _discovery) = Node::with_backends(&[&backend]);
        for n in 0..3 {
            assert_eq!(node.request(&get(&format!("r{n}"), "")).status(), 200, "{report}");
        }
    }
}

/// Guards against giving the response of an abandoned request to another client.
#[test]
fn a_client_disconnect_does_not_affect_later_requests() {
    let gate = Arc::new(Gate::default());
    let first = AtomicBool::new(true);
    let gate_for_backend = gate.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => Behavior::RespondWhenOpen(gate_for_backend.clone(), ok("late")),
        false => Behavior::Respond(ok("yes")),
    });
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("g1", ""));
    assert_eq!(backend.next_request().header("x-call-id"), Some("g1"));
    drop(client);
    gate.open();
    let response = node.request(&get("g2", ""));
    assert_eq!((response.status(), response.body.as_slice()), (200, b"yes".as_slice()));
    assert_eq!(backend.next_request().header("x-call-id"), Some("g2"));
    assert_eq!(backend.request_count(), 0);
}
