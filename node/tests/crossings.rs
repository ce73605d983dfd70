//! Two events that cross, with the node as a process: what is forced here needs a real limit or two parties.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::json;

fn serving(body: &'static str) -> Backend {
    Backend::new(move |_| Does::Writes(ok(body)))
}

/// Idle clients take every descriptor that clients may have, while discovery is silent: whoever has a connection is
/// served, and at discovery's return the node has the descriptors to ask it, and to open connections to new backends.
#[test]
fn a_node_full_of_idle_clients_hears_discovery_when_it_is_back() {
    let (old, new) = (serving("old"), serving("new"));
    let down = Arc::new(AtomicBool::new(false));
    let silent = down.clone();
    let discovery = Discovery::scripted(json!([target("s-0", old.at, "Ready")]), move |_| {
        if silent.load(Ordering::SeqCst) { Says::Nothing } else { Says::List }
    });
    let mut config = config(discovery.at, json!([]));
    config["limits"]["sockets"] = json!(64);
    let node = Node::start_within_limits(&config);
    discovery.watched_from(1);
    down.store(true, Ordering::SeqCst);
    let before = discovery.called();
    until("a call stays without an answer", || discovery.called() > before + 4);
    let idle: Vec<TcpStream> = (0..120).map(|_| TcpStream::connect(node.at).unwrap()).collect();
    assert_eq!(node.ask(&get("f1", "")).body, b"old");
    discovery.set(json!([target("s-1", new.at, "Ready")]));
    down.store(false, Ordering::SeqCst);
    discovery.watched_from(discovery.rev());
    assert_eq!(node.ask(&get("f2", "")).body, b"new");
    drop(idle);
    assert!(node.log_lines("Too many open files").is_empty(), "{:?}", node.log_lines("open files"));
}

/// What an attempt tells its backend is what is left to the client then, and not what there was at first.
#[test]
fn a_further_attempt_tells_what_is_left() {
    let pause = Duration::from_millis(300);
    let first = Arc::new(AtomicBool::new(true));
    let backend = Backend::new(move |_| {
        if first.swap(false, Ordering::SeqCst) {
            thread::sleep(pause);
            return Does::Ends(String::new());
        }
        Does::Writes(ok("yes"))
    });
    let (node, _discovery) = Node::with(&[&backend]);
    assert_eq!(node.ask(&get("t1", "")).status(), 200);
    let told = |message: Message| message.value("x-budget-ms").unwrap().parse::<u64>().unwrap();
    let (before, after) = (told(backend.next()), told(backend.next()));
    assert!(before <= 3000 && after + 300 <= before, "{before} and then {after}");
}
