//! Clients that send many requests at once on a connection: what is forwarded for those that then close or reset it, and
//! for those that stay.

mod common;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// An attempt may begin this long after its client's close at the latest, with the allowance for sockets.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(100 + 50);

/// The requests that a client sends at once.
#[derive(Clone, Copy, Debug)]
struct Burst {
    requests: usize,
    body_bytes: usize,
}

/// From less than a kilobyte to more than a socket holds while nobody reads.
const BURSTS: [Burst; 6] = [
    Burst { requests: 5, body_bytes: 0 },
    Burst { requests: 20, body_bytes: 1_500 },
    Burst { requests: 60, body_bytes: 1_000 },
    Burst { requests: 60, body_bytes: 4_000 },
    Burst { requests: 20, body_bytes: 30_000 },
    Burst { requests: 30, body_bytes: 60_000 },
];

impl Burst {
    fn text(self, name: &str) -> String {
        let body = "x".repeat(self.body_bytes);
        (0..self.requests).map(|number| post("pay", &format!("{name}-{number}"), "", &body)).collect()
    }
}

#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// When a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaveTime {
    /// As soon as it has sent everything.
    AtOnce,
    /// When its first request has reached a backend.
    AfterFirstAttempt,
}

/// The ids of the requests that reached a backend, in order.
type Arrivals = Arc<Mutex<Vec<String>>>;

fn recording_backend(arrivals: &Arrivals, behavior: Behavior) -> Backend {
    let arrivals = arrivals.clone();
    Backend::new(move |request| {
        arrivals.lock().unwrap().push(request.header("x-call-id").unwrap_or_default().to_owned());
        behavior.clone()
    })
}

/// The requests of one client that reached a backend.
fn arrivals_of(arrivals: &Arrivals, name: &str) -> Vec<String> {
    let prefix = format!("{name}-");
    arrivals.lock().unwrap().iter().filter(|id| id.starts_with(&prefix)).cloned().collect()
}

fn send_and_leave(
    address: SocketAddr,
    arrivals: &Arrivals,
    name: &str,
    burst: Burst,
    (end, time): (ConnectionEnd, LeaveTime),
) {
    let mut client = Client::connect(address);
    client.write(&burst.text(name));
    if time == LeaveTime::AfterFirstAttempt {
        wait_until("the first request is forwarded", || !arrivals_of(arrivals, name).is_empty());
    }
    match end {
        ConnectionEnd::Close => drop(client),
        ConnectionEnd::Reset => client.reset(),
    }
}

/// Guards against attempts for a client that sent more than the node reads ahead and has gone: its close went unnoticed
/// behind the unread input, and the next request was forwarded when the first had been answered.
#[test]
fn no_attempt_begins_for_a_client_that_sent_much_and_has_gone() {
    let (arrivals, gate) = (Arrivals::default(), Arc::new(Gate::default()));
    let backends: Vec<Backend> = (0..8)
        .map(|_| recording_backend(&arrivals, Behavior::RespondWhenOpen(gate.clone(), ok("paid"))))
        .collect();
    let (node, _discovery) = Node::with_backends(&backends.iter().collect::<Vec<_>>());
    let mut clients = Vec::new();
    for burst in BURSTS {
        for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
            for time in [LeaveTime::AtOnce, LeaveTime::AfterFirstAttempt] {
                let (arrivals, address) = (arrivals.clone(), node.address);
                let name = format!("client{}", clients.len());
                clients.push(thread::spawn(move || {
                    send_and_leave(address, &arrivals, &name, burst, (end, time));
                    (name, burst, end, time)
                }));
            }
        }
    }
    let clients: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("the client finishes")).collect();
    thread::sleep(MAX_ATTEMPT_DELAY);
    gate.open();
    thread::sleep(2 * MAX_ATTEMPT_DELAY);
    for (name, burst, end, time) in clients {
        let forwarded = arrivals_of(&arrivals, &name);
        assert!(forwarded.len() <= 1, "{burst:?}, {end:?}, {time:?}: {forwarded:?}");
    }
}

/// Guards against reading ahead at the expense of clients that stay: each request is forwarded once and answered, in order.
#[test]
fn a_client_that_sends_much_and_stays_is_served() {
    let arrivals = Arrivals::default();
    let backend = recording_backend(&arrivals, Behavior::Respond(ok("paid")));
    let (node, _discovery) = Node::with_backends(&[&backend]);
    let clients: Vec<_> = BURSTS
        .into_iter()
        .enumerate()
        .map(|(number, burst)| {
            let (address, name) = (node.address, format!("client{number}"));
            thread::spawn(move || {
                let mut client = Client::connect(address);
                client.write(&burst.text(&name));
                let statuses: Vec<u16> = (0..burst.requests)
                    .map_while(|_| client.read_response().map(|response| response.status()))
                    .collect();
                (statuses, name, burst)
            })
        })
        .collect();
    for client in clients {
        let (statuses, name, burst) = client.join().expect("the client finishes");
        assert_eq!(statuses, vec![200; burst.requests], "{burst:?}");
        let expected: Vec<String> = (0..burst.requests).map(|number| format!("{name}-{number}")).collect();
        assert_eq!(arrivals_of(&arrivals, &name), expected, "{burst:?}");
    }
}

/// Connects and writes as much as the system takes without waiting.
fn send_what_fits(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_nonblocking(true).expect("non-blocking");
    let mut rest = text.as_bytes();
    while let Ok(count) = stream.write(rest)
        && count > 0
    {
        rest = &rest[count..];
    }
    stream
}

/// Guards against further attempts for clients whose close cannot reach the node, as it waits behind more input than the
/// node reads ahead.
#[test]
fn no_further_attempt_begins_for_clients_whose_close_waits_behind_unread_input() {
    const CLIENTS: usize = 6;
    /// More than the sockets and the node together hold.
    const BURST: Burst = Burst { requests: 100, body_bytes: 60_000 };
    const LEAST_MEMORY_MB: u64 = 32;
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let backends: Vec<Backend> = (0..12)
        .map(|_| {
            let arrivals = arrivals.clone();
            Backend::new(move |request| {
                let id = request.header("x-call-id").unwrap_or_default().to_owned();
                let mut arrivals = arrivals.lock().unwrap();
                let first = arrivals.iter().all(|(earlier, _)| *earlier != id);
                arrivals.push((id, Instant::now()));
                drop(arrivals);
                thread::sleep(2 * MAX_ATTEMPT_DELAY);
                // The balancer tries another backend.
                Behavior::Respond(if first { status(503, "X-Rejected: 1\r\n") } else { ok("paid") })
            })
        })
        .collect();
    let (discovery, mut config) = discovery_of(&backends);
    config["limits"]["memory_mb"] = json!(LEAST_MEMORY_MB);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    let mut closes = HashMap::new();
    for stay in [Duration::ZERO, MAX_ATTEMPT_DELAY] {
        let connections: Vec<(String, TcpStream)> = (0..CLIENTS)
            .map(|number| {
                let name = format!("client{}x{number}", stay.as_millis());
                let stream = send_what_fits(node.address, &BURST.text(&name));
                (name, stream)
            })
            .collect();
        thread::sleep(stay);
        closes.extend(connections.into_iter().map(|(name, stream)| {
            drop(stream);
            (name, Instant::now())
        }));
    }
    thread::sleep(6 * MAX_ATTEMPT_DELAY);
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<(&String, Duration)> = arrivals
        .iter()
        .filter_map(|(id, at)| {
            let closed_at = closes[id.split('-').next().expect("the client's name")];
            let delay = at.saturating_duration_since(closed_at);
            (delay > MAX_ATTEMPT_DELAY).then_some((id, delay))
        })
        .collect();
    assert!(late.is_empty(), "{} of {} attempts began late: {late:?}", late.len(), arrivals.len());
}
