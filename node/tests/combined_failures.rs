//! Coinciding failures that need a real descriptor limit or several parties to reproduce.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::json;

fn backend_responding(body: &'static str) -> Backend {
    Backend::new(move |_| Behavior::Respond(ok(body)))
}

/// Guards against idle clients that use up the file descriptors which the node needs for discovery and for connections to
/// new backends.
#[test]
fn a_node_full_of_idle_clients_reconnects_to_discovery() {
    let (old, new) = (backend_responding("old"), backend_responding("new"));
    let hanging = Arc::new(AtomicBool::new(false));
    let hangs = hanging.clone();
    let discovery = Discovery::with_script(json!([target("s-0", old.address, "Ready")]), move |_| {
        if hangs.load(Ordering::SeqCst) { CallBehavior::Hang } else { CallBehavior::SendList }
    });
    let mut config = config(discovery.address, json!([]));
    config["limits"]["sockets"] = json!(64);
    let node = Node::start_with_descriptor_limit(&config);
    discovery.wait_for_watch_from(1);
    hanging.store(true, Ordering::SeqCst);
    let before = discovery.call_count();
    wait_until("calls to discovery hang", || discovery.call_count() > before + 4);
    let idle: Vec<TcpStream> = (0..120).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    assert_eq!(node.request(&get("f1", "")).body, b"old");
    discovery.set_targets(json!([target("s-1", new.address, "Ready")]));
    hanging.store(false, Ordering::SeqCst);
    discovery.wait_for_watch_from(discovery.rev());
    assert_eq!(node.request(&get("f2", "")).body, b"new");
    drop(idle);
    assert!(node.log_lines("Too many open files").is_empty(), "{:?}", node.log_lines("open files"));
}

/// Guards against sending the client's original budget with a later attempt.
#[test]
fn a_further_attempt_sends_the_remaining_budget() {
    let delay = Duration::from_millis(300);
    let first = Arc::new(AtomicBool::new(true));
    let backend = Backend::new(move |_| {
        if first.swap(false, Ordering::SeqCst) {
            thread::sleep(delay);
            return Behavior::RespondAndClose(String::new());
        }
        Behavior::Respond(ok("yes"))
    });
    let (node, _discovery) = Node::with_backends(&[&backend]);
    assert_eq!(node.request(&get("t1", "")).status(), 200);
    let sent_budget = |message: Message| message.header("x-budget-ms").unwrap().parse::<u64>().unwrap();
    let (before, after) = (sent_budget(backend.next_request()), sent_budget(backend.next_request()));
    assert!(before <= 3000 && after + 300 <= before, "{before} and then {after}");
}
