//! Resting clients that hold all connection slots, or all memory for connections: requests on new connections get their answer,
//! or the close of their connection, in time.

mod common;

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// A final answer later than this after the client's time is lost; time limits grow by 50 ms on sockets.
const LATE_ANSWER_SLACK: Duration = Duration::from_millis(500 + 50);
/// How much more time than its client has a backend may be told.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// How many resting clients connect at a time.
const CONNECTING_CLIENTS: usize = 10;
/// How long a resting client waits for its answer before the next one connects. Those that find no slot must not keep the
/// others waiting until the first connections end.
const ANSWER_WAIT: Duration = Duration::from_millis(50);
const NEW_REQUESTS: usize = 16;
/// The time of the clients' requests, in turn.
const BUDGETS_MS: [u64; 4] = [100, 600, 1500, 3000];
const LONGEST_BUDGET_MS: u64 = 3000;

/// When requests arrived at backends, and the time that they were told, by id.
type Arrivals = Arc<Mutex<HashMap<String, (Instant, Duration)>>>;

fn recording_backend(arrivals: &Arrivals) -> Backend {
    let arrivals = arrivals.clone();
    Backend::new(move |request| {
        let told_ms = request.header("x-budget-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let id = request.header("x-call-id").unwrap_or_default().to_owned();
        arrivals.lock().unwrap().insert(id, (Instant::now(), Duration::from_millis(told_ms)));
        thread::sleep(Duration::from_millis(5));
        Behavior::Respond(ok("yes"))
    })
}

fn request(id: &str, budget_ms: u64) -> String {
    post("pay", id, "", "minutes").replace("X-Budget-Ms: 3000", &format!("X-Budget-Ms: {budget_ms}"))
}

/// Clients that connect, are served once if they are accepted, and rest.
fn start_resting_clients(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let connect = |worker: usize| {
        let mut resting = Vec::new();
        for number in 0..count / CONNECTING_CLIENTS {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            stream.set_read_timeout(Some(ANSWER_WAIT)).unwrap();
            let _ = stream.write_all(request(&format!("rest-{worker}-{number}"), 1500).as_bytes());
            let _ = stream.read(&mut [0; 1024]);
            resting.push(stream);
        }
        resting
    };
    thread::scope(|scope| {
        let workers: Vec<_> =
            (0..CONNECTING_CLIENTS).map(|worker| scope.spawn(move || connect(worker))).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("the clients connect")).collect()
    })
}

/// What a request on a new connection got.
struct Outcome {
    id: String,
    sent_at: Instant,
    budget: Duration,
    /// The status, 0 for a close; none if neither came in time.
    answer: Option<u16>,
}

fn send_on_new_connection(address: SocketAddr, id: String, budget_ms: u64) -> Outcome {
    let budget = Duration::from_millis(budget_ms);
    let mut stream = TcpStream::connect(address).expect("the system accepts the connection");
    stream.write_all(request(&id, budget_ms).as_bytes()).expect("the request is sent");
    let sent_at = Instant::now();
    stream.set_read_timeout(Some(budget + LATE_ANSWER_SLACK)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let status = read_message(&mut reader).map_or(0, |response| response.status());
    let answer = (sent_at.elapsed() < budget + LATE_ANSWER_SLACK).then_some(status);
    Outcome { id, sent_at, budget, answer }
}

/// The limits of a run.
#[derive(Clone, Copy, Debug)]
struct RunLimits {
    descriptors: u64,
    memory_mb: u64,
    resting: usize,
}

/// What was wrong, and how many of the requests on new connections were served.
fn run(limits: RunLimits, budgets_ms: &[u64]) -> (Vec<String>, usize) {
    let arrivals = Arrivals::default();
    let backends: Vec<Backend> = (0..8).map(|_| recording_backend(&arrivals)).collect();
    let (discovery, mut config) = discovery_of(&backends);
    config["limits"]["sockets"] = json!(limits.descriptors);
    config["limits"]["memory_mb"] = json!(limits.memory_mb);
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(200_000_000);
    let mut node = Node::start_with_descriptor_limit(&config);
    discovery.wait_for_watch_from(1);
    let mut known_client = Client::connect(node.address);
    assert_eq!(
        known_client.request(&request("known-0", LONGEST_BUDGET_MS)).expect("a response").status(),
        200
    );
    let resting = start_resting_clients(node.address, limits.resting);
    let address = node.address;
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let requests: Vec<_> = (0..NEW_REQUESTS)
            .map(|number| {
                thread::sleep(Duration::from_millis(20));
                let budget_ms = budgets_ms[number % budgets_ms.len()];
                scope.spawn(move || send_on_new_connection(address, format!("new-{number}"), budget_ms))
            })
            .collect();
        requests.into_iter().map(|request| request.join().expect("the request ends")).collect()
    });
    let known_status =
        known_client.request(&request("known-1", LONGEST_BUDGET_MS)).map(|response| response.status());
    // Requests that are still in the accept queue would be forwarded once the resting clients' connections end.
    thread::sleep(Duration::from_millis(2500));
    drop(resting);
    let mut faults = Vec::new();
    // The page lets the node close a connection that has been idle for 2 s.
    if known_status.is_some_and(|status| status != 200) {
        faults.push(format!("a client with an open connection got {known_status:?}"));
    }
    if node.child.try_wait().expect("the node's state").is_some() {
        faults.push("the node exited".to_owned());
    }
    for Outcome { id, sent_at, budget, answer } in &outcomes {
        if answer.is_none() {
            faults.push(format!("{id} got neither an answer nor a close in {budget:?}"));
        }
        let Some((arrived_at, told)) = arrivals.lock().unwrap().get(id).copied() else { continue };
        let left = (*sent_at + *budget).saturating_duration_since(arrived_at);
        if told > left + TOLD_SLACK {
            faults.push(format!("{id}: {told:?} were told where {left:?} were left"));
        }
    }
    let served = outcomes.iter().filter(|outcome| outcome.answer == Some(200)).count();
    let answers: Vec<Option<u16>> = outcomes.iter().map(|outcome| outcome.answer).collect();
    println!("{limits:?}: {served} of {NEW_REQUESTS} served, {answers:?}, {faults:#?}");
    (faults, served)
}

/// Guards against requests on new connections that wait in the accept queue without limit while resting clients hold all slots
/// or all memory for connections: they got neither an answer nor a close in time, or ran after it with all of their time.
#[test]
fn requests_on_new_connections_are_answered_while_clients_rest_in_all_slots() {
    let runs = [
        RunLimits { descriptors: 256, memory_mb: 192, resting: 170 },
        RunLimits { descriptors: 256, memory_mb: 32, resting: 400 },
        RunLimits { descriptors: 512, memory_mb: 192, resting: 360 },
        RunLimits { descriptors: 1024, memory_mb: 192, resting: 700 },
        RunLimits { descriptors: 1024, memory_mb: 32, resting: 700 },
    ];
    let faults: Vec<String> = runs
        .into_iter()
        .flat_map(|limits| {
            run(limits, &BUDGETS_MS).0.into_iter().map(move |fault| format!("{limits:?}: {fault}"))
        })
        .collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against refusing new connections while there are slots for them.
#[test]
fn requests_on_new_connections_are_served_while_slots_are_free() {
    let limits = RunLimits { descriptors: 256, memory_mb: 192, resting: 100 };
    let (faults, served) = run(limits, &[LONGEST_BUDGET_MS]);
    assert!(faults.is_empty(), "{faults:#?}");
    assert_eq!(served, NEW_REQUESTS);
}
