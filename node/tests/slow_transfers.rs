//! Servers that take a request or write a response slowly: a response that is still being written is not cut off within its
//! client's time, and no final answer comes after that time.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;

/// A final answer is lost if it comes later than this after the client's time.
const LATE_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Enough served requests for the node to know how long they take, and to give up slow attempts for a retry.
const WARM_UP_REQUESTS: usize = 80;

/// Guards against cutting off a long response that a server is still writing: the attempt was given up for a retry that
/// ran the request again.
#[test]
fn a_response_that_is_still_being_written_is_not_cut_off() {
    let body = "y".repeat(40_000);
    let slow = ok(&body);
    let backends: Vec<Backend> = (0..2)
        .map(|_| {
            let slow = slow.clone();
            Backend::new(move |request| match request.header("x-slow") {
                Some(_) => Behavior::RespondSlowly(slow.clone(), Duration::from_millis(2200)),
                None => Behavior::Respond(ok("yes")),
            })
        })
        .collect();
    let (node, _discovery) = Node::with_backends(&backends.iter().collect::<Vec<_>>());
    let mut client = Client::connect(node.address);
    for number in 0..WARM_UP_REQUESTS {
        assert_eq!(
            client.request(&get(&format!("w{number}"), "")).map(|response| response.status()),
            Some(200)
        );
    }
    let warmed_up: usize = backends.iter().map(Backend::request_count).sum();
    assert_eq!(warmed_up, WARM_UP_REQUESTS);
    let response = client.request(&get("slow", "X-Slow: 1\r\n")).expect("a response");
    assert_eq!((response.status(), response.body.len()), (200, body.len()));
    let attempts: usize = backends.iter().map(Backend::request_count).sum();
    assert_eq!(attempts, 1, "the request was sent again while its response was being written");
}

/// Guards against holding on to a server that has stopped in the middle of its response: another one is tried in time.
#[test]
fn a_response_that_has_stopped_is_given_up_for_a_retry() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\nyyyy".to_owned();
    let stopping = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let stops = stopping.clone();
    let backend = || {
        let (stops, half) = (stops.clone(), half.clone());
        Backend::new(move |request| {
            let stop =
                request.header("x-slow").is_some() && stops.swap(false, std::sync::atomic::Ordering::SeqCst);
            Behavior::Respond(if stop { half.clone() } else { ok("yes") })
        })
    };
    let backends = [backend(), backend()];
    let (node, _discovery) = Node::with_backends(&backends.iter().collect::<Vec<_>>());
    let mut client = Client::connect(node.address);
    for number in 0..WARM_UP_REQUESTS {
        assert_eq!(
            client.request(&get(&format!("w{number}"), "")).map(|response| response.status()),
            Some(200)
        );
    }
    assert_eq!(client.request(&get("stopped", "X-Slow: 1\r\n")).map(|response| response.status()), Some(200));
}

/// Guards against final answers that come seconds late where servers do not read large requests, with many clients at once.
#[test]
fn servers_that_do_not_read_large_requests_delay_no_final_answer() {
    const CLIENTS: usize = 120;
    const BUDGET: Duration = Duration::from_millis(900);
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 2048).expect("a small buffer");
            listener
        })
        .collect();
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().expect("bound")).collect();
    for listener in listeners {
        // Accepts and never reads.
        thread::spawn(move || listener.incoming().flatten().collect::<Vec<_>>());
    }
    let targets: Vec<_> =
        (0..).zip(&addresses).map(|(n, address)| target(&format!("s-{n}"), *address, "Ready")).collect();
    let discovery = Discovery::new(serde_json::json!(targets));
    let mut config = config(discovery.address, serde_json::json!(targets));
    config["limits"]["memory_mb"] = serde_json::json!(32);
    let node = Node::start(&config);
    let address = node.address;
    let clients: Vec<JoinHandle<Vec<(u16, Duration)>>> =
        (0..CLIENTS).map(|number| thread::spawn(move || requests_of(address, number, BUDGET))).collect();
    let results: Vec<(u16, Duration)> =
        clients.into_iter().flat_map(|client| client.join().expect("the client finishes")).collect();
    let late: Vec<_> = results.iter().filter(|(_, took)| *took > BUDGET + LATE_ANSWER_SLACK).collect();
    let unanswered = results.iter().filter(|(status, _)| *status == 0).count();
    assert!(late.is_empty() && unanswered == 0, "{} late, {unanswered} unanswered: {late:?}", late.len());
}

/// Sends large requests one after another, each on a new connection; returns the status, 0 for none, and the time of each.
fn requests_of(address: SocketAddr, number: usize, budget: Duration) -> Vec<(u16, Duration)> {
    (0..3)
        .map(|round| {
            let text = post("pay", &format!("l{number}-{round}"), "", &"x".repeat(62_000))
                .replace("X-Budget-Ms: 3000", &format!("X-Budget-Ms: {}", budget.as_millis()));
            let mut client = Client::connect(address);
            client.try_write(&text);
            let sent_at = Instant::now();
            let status = client.read_response().map_or(0, |response| response.status());
            (status, sent_at.elapsed())
        })
        .collect()
}
