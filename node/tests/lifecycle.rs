//! The life cycle of a node: start, changes of its backend list and configuration, and graceful shutdown.

mod common;

use std::io::{BufReader, Read, Write};
use std::sync::Arc;
use std::thread;

use common::*;
use serde_json::json;

fn backend_responding(body: &'static str) -> Backend {
    Backend::new(move |_| Behavior::Respond(ok(body)))
}

/// An address on which nothing listens.
fn unused_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn starts_with_the_configured_list_while_discovery_is_down() {
    let backend = backend_responding("yes");
    let node = Node::start(&config(unused_address(), json!([target("s-0", backend.address, "Ready")])));
    assert_eq!(node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    assert_eq!(node.request(&get("k1", "")).status(), 200);
}

/// Guards against traffic to a node that has no backend yet and would reject every request.
#[test]
fn is_ready_once_a_backend_is_known() {
    let backend = backend_responding("yes");
    let discovery = Discovery::new(json!([]));
    let node = Node::start(&config(discovery.address, json!([])));
    discovery.wait_for_watch_from(1);
    let check = || node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").status();
    assert_eq!(check(), 503);
    discovery.set_targets(json!([target("s-0", backend.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.rev());
    assert_eq!(check(), 200);
}

#[test]
fn an_invalid_list_is_ignored() {
    let backend = backend_responding("yes");
    let (node, discovery) = Node::with_backends(&[&backend]);
    for (rev, text) in [
        (2, "{"),
        (3, r#"{"rev":3,"all":true,"targets":[{"uid":"s-9","endpoint":"here","az":"a","state":"Ready"}]}"#),
        (4, r#"{"rev":4,"all":true}"#),
    ] {
        discovery.set_response(rev, text.to_owned());
        wait_until("the invalid list is logged", || node.log_contains("discovery: invalid backend list"));
        assert_eq!(node.request(&get(&format!("b{rev}"), "")).status(), 200);
    }
    let other = backend_responding("other");
    discovery.set_response(
        5,
        json!({"rev": 5, "all": true, "targets": [target("s-1", other.address, "Ready")]}).to_string(),
    );
    discovery.wait_for_watch_from(5);
    assert_eq!(node.request(&get("b9", "")).body, b"other");
}

/// Guards against a node that stops polling discovery after a failed call.
#[test]
fn retries_discovery_after_a_failed_call() {
    let backend = backend_responding("yes");
    let discovery = Discovery::new(json!([]));
    discovery.set_response(1, "no list".to_owned());
    let mut config = config(discovery.address, json!([]));
    config["settings"]["discovery"] = json!("on_request");
    let node = Node::start(&config);
    wait_until("the failure is logged", || node.log_contains("discovery: invalid backend list"));
    discovery.set_targets(json!([target("s-0", backend.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.rev());
    assert_eq!(node.request(&get("a1", "")).status(), 200);
}

#[test]
fn draining_and_removed_backends_get_no_new_requests() {
    for state in ["Terminating", "Gone"] {
        let (old, new) = (backend_responding("old"), backend_responding("new"));
        let (node, discovery) = Node::with_backends(&[&old]);
        assert_eq!(node.request(&get("d0", "")).body, b"old");
        discovery
            .set_targets(json!([target("s-0", old.address, state), target("s-1", new.address, "Ready")]));
        discovery.wait_for_watch_from(discovery.rev());
        for n in 1..10 {
            assert_eq!(node.request(&get(&format!("d{n}"), "")).body, b"new", "{state}");
        }
        assert_eq!(old.request_count(), 1);
    }
}

#[test]
fn follows_a_backend_to_a_new_endpoint() {
    let (before, after) = (backend_responding("before"), backend_responding("after"));
    let (node, discovery) = Node::with_backends(&[&before]);
    assert_eq!(node.request(&get("e0", "")).body, b"before");
    discovery.set_targets(json!([target("s-0", after.address, "Ready")]));
    discovery.wait_for_watch_from(discovery.rev());
    for n in 1..5 {
        assert_eq!(node.request(&get(&format!("e{n}"), "")).body, b"after");
    }
}

/// Starts a backend that answers the request `slow` once the gate opens, and all others at once.
fn backend_with_slow_request() -> (Arc<Gate>, Backend) {
    let gate = Arc::new(Gate::default());
    let gate_for_backend = gate.clone();
    let backend = Backend::new(move |message| match message.header("x-call-id") {
        Some("slow") => Behavior::RespondWhenOpen(gate_for_backend.clone(), ok("slow")),
        _ => Behavior::Respond(ok("yes")),
    });
    (gate, backend)
}

/// Sends the request `slow` and waits until it has reached its backend.
fn send_slow_request(client: &mut Client, backend: &Backend) {
    client.write(&get("slow", ""));
    wait_until("the slow request reaches the backend", || {
        backend.requests.try_iter().any(|message| message.header("x-call-id") == Some("slow"))
    });
}

/// Guards against losing requests in a planned restart, on existing connections and on new ones.
#[test]
fn all_requests_are_answered_after_sigterm() {
    let (gate, backend) = backend_with_slow_request();
    let (mut node, _discovery) = Node::with_backends(&[&backend]);
    let (mut slow, mut idle, mut kept) =
        (Client::connect(node.address), Client::connect(node.address), Client::connect(node.address));
    assert_eq!(idle.request(&get("i0", "")).expect("a response").status(), 200);
    assert_eq!(kept.request(&get("k0", "")).expect("a response").status(), 200);
    send_slow_request(&mut slow, &backend);
    node.signal("-TERM");
    wait_until("the node has begun to shut down", || node.log_contains("shutting down"));
    for client in [kept, Client::connect(node.address)] {
        let mut client = client;
        let response = client.request(&get("after", "")).expect("a response after the signal");
        assert_eq!(response.status(), 200);
        assert_eq!(response.header("connection"), Some("close"));
        assert!(client.read_response().is_none(), "the connection is closed after the response");
    }
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    gate.open();
    let response = slow.read_response().expect("the slow request gets a response");
    assert_eq!((response.status(), response.body.as_slice()), (200, b"slow".as_slice()));
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Guards against losing requests while clients keep sending on open connections and open new ones, and against a shutdown
/// that does not end.
#[test]
fn no_request_is_lost_in_a_shutdown_under_load() {
    let backend = Backend::new(|_| {
        thread::sleep(std::time::Duration::from_millis(20));
        Behavior::Respond(ok("yes"))
    });
    let (mut node, _discovery) = Node::with_backends(&[&backend]);
    let address = node.address;
    let terminated = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|number| {
            let terminated = terminated.clone();
            thread::spawn(move || {
                let (mut response_count, mut closed_early, mut client) =
                    (0u32, 0u32, Client::connect(address));
                for call in 0.. {
                    let first_request = call == 0;
                    client.try_write(&get(&format!("l{number}-{call}"), ""));
                    match client.read_response() {
                        Some(response) => {
                            assert_eq!(response.status(), 200);
                            response_count += 1;
                            if response.header("connection") != Some("close") {
                                continue;
                            }
                            if terminated.load(std::sync::atomic::Ordering::SeqCst) {
                                return (response_count, closed_early);
                            }
                        }
                        // The node closed the idle connection just as the next request was sent.
                        None => {
                            assert!(
                                !first_request && terminated.load(std::sync::atomic::Ordering::SeqCst),
                                "request lost"
                            );
                            closed_early += 1;
                            return (response_count, closed_early);
                        }
                    }
                    client = Client::connect(address);
                }
                unreachable!("the loop never ends")
            })
        })
        .collect();
    wait_until("requests go through", || backend.request_count() > 0);
    node.signal("-TERM");
    terminated.store(true, std::sync::atomic::Ordering::SeqCst);
    let late_clients: Vec<_> = (0..24)
        .map(|number| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                client
                    .request(&get(&format!("n{number}"), ""))
                    .expect("a response on a new connection")
                    .status()
            })
        })
        .collect();
    for client in late_clients {
        assert_eq!(client.join().unwrap(), 200);
    }
    for client in clients {
        let (response_count, closed_early) = client.join().expect("no request was lost");
        assert!(response_count > 0 && closed_early <= 1);
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Guards against closing the listener while requests are pending, which would refuse new connections.
#[test]
fn connections_are_accepted_until_the_node_exits() {
    let (gate, backend) = backend_with_slow_request();
    let (mut node, _discovery) = Node::with_backends(&[&backend]);
    let (mut slow, mut idle) = (Client::connect(node.address), Client::connect(node.address));
    assert_eq!(idle.request(&get("i0", "")).expect("a response").status(), 200);
    send_slow_request(&mut slow, &backend);
    node.signal("-TERM");
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    thread::sleep(std::time::Duration::from_millis(300));
    let response = Client::connect(node.address).request(&get("late", "")).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    gate.open();
    assert_eq!(slow.read_response().expect("the slow request gets a response").body, b"slow");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Guards against a failed bind while connections of the previous process are in `TIME_WAIT`.
#[test]
fn a_restarted_node_binds_its_address_at_once() {
    let backend = backend_responding("yes");
    let known = json!([target("s-0", backend.address, "Ready")]);
    let mut node = Node::start(&config(unused_address(), known.clone()));
    let mut client = Client::connect(node.address);
    assert_eq!(client.request(&get("r0", "")).expect("a response").status(), 200);
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    let mut restarted_config = config(unused_address(), known);
    restarted_config["listen"] = json!(node.address.to_string());
    let next = Node::start(&restarted_config);
    assert_eq!(next.address, node.address);
    assert_eq!(next.request(&get("r1", "")).status(), 200);
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let good = config(unused_address(), json!([]));
    let without = |field: &str| {
        let mut config = good.clone();
        config.as_object_mut().unwrap().remove(field);
        config.to_string()
    };
    let with = |field: &str, value: serde_json::Value| {
        let mut config = good.clone();
        config[field] = value;
        config.to_string()
    };
    let texts = [
        "{".to_owned(),
        without("settings"),
        without("listen"),
        with("seed", json!("no number")),
        with("listen", json!("somewhere")),
        with("settings", json!({"zones": []})),
        with("limits", json!({"sockets": 3})),
    ];
    for text in texts {
        let mut child = spawn(&text);
        let mut stderr = String::new();
        child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
        assert!(!child.wait().unwrap().success(), "{text}");
        assert!(stderr.starts_with("badgerpost: ") && stderr.lines().count() == 1, "{stderr:?}");
    }
}

/// Guards against pooling a connection to a backend that is no longer in service.
#[test]
fn a_connection_in_use_is_not_pooled_after_its_backend_left() {
    for state in ["Terminating", "Gone"] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery::new(json!([target("s-0", address, "Ready")]));
        let mut config = config(discovery.address, json!([]));
        config["settings"]["policy-limits"]["conn-idle-ns"] = json!(600_000_000_000u64);
        let node = Node::start(&config);
        discovery.wait_for_watch_from(1);
        let mut client = Client::connect(node.address);
        client.write(&get("b1", ""));
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        assert!(read_message(&mut reader).is_some());
        discovery.set_targets(json!([target("s-0", address, state)]));
        discovery.wait_for_watch_from(discovery.rev());
        stream.write_all(ok("late").as_bytes()).unwrap();
        assert_eq!(client.read_response().expect("a response").body, b"late");
        assert_eq!(reader.read(&mut [0; 1]).expect("closed in time"), 0, "{state}");
    }
}

/// Guards against lists from the former discovery address after the configuration was reloaded.
#[test]
fn sighup_changes_the_discovery_address() {
    let (old, new) = (backend_responding("old"), backend_responding("new"));
    let before = Discovery::new(json!([target("s-0", old.address, "Ready")]));
    let after = Discovery::new(json!([target("s-1", new.address, "Ready")]));
    let mut config = config(before.address, json!([]));
    let mut node = Node::start(&config);
    before.wait_for_watch_from(1);
    assert_eq!(node.request(&get("h0", "")).body, b"old");
    // An invalid configuration file changes nothing.
    node.reconfigure("{");
    wait_until("the invalid file is logged", || node.log_contains("configuration"));
    assert_eq!(node.request(&get("h1", "")).body, b"old");
    config["discovery"] = json!(after.address.to_string());
    node.reconfigure(&config.to_string());
    after.wait_for_watch_from(1);
    assert_eq!(node.request(&get("h2", "")).body, b"new");
    after.set_targets(json!([target("s-0", old.address, "Ready")]));
    after.wait_for_watch_from(after.rev());
    assert_eq!(node.request(&get("h3", "")).body, b"old");
    assert!(node.child.try_wait().unwrap().is_none(), "the node keeps running");
}

/// Guards against a node that stops serving when it runs out of file descriptors.
#[test]
fn clients_beyond_the_descriptor_limit_are_served_in_turn() {
    let backend = backend_responding("yes");
    let mut config = config(unused_address(), json!([target("s-0", backend.address, "Ready")]));
    config["limits"]["sockets"] = json!(32);
    let node = Node::start(&config);
    let address = node.address;
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(address)).collect();
    assert_eq!(clients[0].request(&get("c0", "")).expect("a response").status(), 200);
    let last =
        thread::spawn(move || Client::connect(address).request(&get("c1", "")).expect("a response").status());
    clients.clear();
    assert_eq!(last.join().unwrap(), 200);
}

/// Guards against gaps in the log of a request, which is followed by its client's request ID.
#[test]
fn each_step_of_a_request_is_logged_as_json() {
    let backend = backend_responding("yes");
    let config = config(unused_address(), json!([target("s-0", backend.address, "Ready")]));
    let node = Node::start_with_env(&config, &[("EDGE_LOG", "debug"), ("EDGE_LOG_FORMAT", "json")]);
    assert_eq!(node.request(&get("followed", "")).status(), 200);
    wait_until("the end of the request is logged", || node.log_contains("request ended"));
    let lines: Vec<serde_json::Value> = node
        .log_lines("followed")
        .iter()
        .map(|line| serde_json::from_str(line).expect("one JSON object per line"))
        .collect();
    let steps: Vec<&str> = lines.iter().filter_map(|line| line["message"].as_str()).collect();
    assert_eq!(steps, ["request received", "attempt started", "attempt ended", "request ended"], "{lines:?}");
    assert!(lines.iter().all(|line| line["request"] == "followed"), "{lines:?}");
    assert_eq!((&lines[1]["backend"], &lines[2]["outcome"]), (&json!("s-0"), &json!("Served")));
    assert_eq!(lines[3]["answer"], "served");
}

/// Guards against logs that fill a disk under load.
#[test]
fn requests_are_not_logged_at_the_default_level() {
    let backend = backend_responding("yes");
    let node = Node::start(&config(unused_address(), json!([target("s-0", backend.address, "Ready")])));
    let mut client = Client::connect(node.address);
    for n in 0..50 {
        assert_eq!(client.request(&get(&format!("q{n}"), "")).expect("a response").status(), 200);
    }
    assert_eq!(node.log_lines("request").len(), 0);
}
