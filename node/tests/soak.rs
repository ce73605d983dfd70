//! Soak test of graceful shutdowns with randomized runs: busy and idle clients, hanging backends, signals in series and in
//! the same moment, and SIGKILL at the earliest time allowed. Every request that reached a backend must get a response,
//! and so must the first request on every accepted connection, unless idle clients hold all descriptors: then new
//! connections may be closed unread.
//!
//! `SOAK_SEEDS=60 cargo test -p badgerpost --test soak` runs more seeds.

mod common;

use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

/// The default number of seeds, and how many of them run in parallel.
const SEEDS: u64 = 8;
const PARALLEL_RUNS: u64 = 4;
/// SIGKILL follows SIGTERM after the longest deadline and this margin.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);
/// How long after SIGTERM clients open new connections.
const CONNECT_PERIOD: Duration = Duration::from_millis(300);

/// Number of idle clients in a crowd, and a limit of descriptors that they reach.
const IDLE_CLIENTS: usize = 300;
const FEW_DESCRIPTORS: u64 = 256;

/// The idle clients of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crowd {
    None,
    Idle,
    /// More than the node's limit of descriptors allows.
    FillsDescriptors,
}

/// The results of all clients of a run.
#[derive(Default)]
struct ClientResults {
    responses: AtomicU32,
    /// Requests whose connection was closed without a response.
    without_response: Mutex<Vec<String>>,
    /// Requests without a response that were the first on their connection.
    lost_first_requests: Mutex<Vec<String>>,
}

/// A configuration in which every class has this deadline.
fn config_with(discovery: &Discovery, backends: &[Backend], deadline: Duration) -> Value {
    let targets: Vec<Value> = backends
        .iter()
        .enumerate()
        .map(|(number, backend)| target(&format!("s{number}"), backend.address, "Ready"))
        .collect();
    discovery.set_targets(json!(targets));
    let mut config = config(discovery.address, json!(targets));
    for class in config["settings"]["classes"].as_array_mut().expect("a list") {
        class["deadline-ns"] = json!(deadline.as_nanos() as u64);
        class["on-time-ns"] = json!(deadline.as_nanos() as u64 / 2);
    }
    config
}

fn get_with_budget(id: &str, deadline: Duration) -> String {
    get(id, "").replace("X-Budget-Ms: 3000", &format!("X-Budget-Ms: {}", deadline.as_millis()))
}

/// Sends requests one after another on a connection until it is closed, then on a new one for as long as new connections
/// are made.
fn run_client(
    name: String,
    address: SocketAddr,
    deadline: Duration,
    connecting: Arc<AtomicBool>,
    results: Arc<ClientResults>,
) {
    let mut sequence = 0;
    while let Some(mut connection) = Client::try_connect(address) {
        let mut first = true;
        loop {
            let id = format!("{name}-{sequence}");
            sequence += 1;
            connection.try_write(&get_with_budget(&id, deadline));
            let Some(response) = connection.read_response() else {
                if first && connecting.load(Ordering::SeqCst) {
                    results.lost_first_requests.lock().unwrap().push(id.clone());
                }
                results.without_response.lock().unwrap().push(id);
                break;
            };
            first = false;
            results.responses.fetch_add(1, Ordering::SeqCst);
            if response.header("connection") == Some("close") {
                break;
            }
        }
        if !connecting.load(Ordering::SeqCst) {
            return;
        }
    }
}

/// Runs one seed and returns the number of responses, or a description of the requests lost.
fn run_seed(seed: u64) -> Result<u32, String> {
    let mut random = StdRng::seed_from_u64(seed);
    let deadline = Duration::from_millis([300, 700, 1500, 3000][random.random_range(0..4)]);
    let (service_ms, hanging) = (random.random_range(2..62), random.random_range(0..3));
    let backends: Vec<Backend> = (0..4)
        .map(|number| {
            let hangs = number < hanging;
            Backend::new(move |_| {
                if hangs {
                    return Behavior::Hang;
                }
                thread::sleep(Duration::from_millis(service_ms));
                Behavior::Respond(ok("yes"))
            })
        })
        .collect();
    let discovery = Discovery::new(json!([]));
    let mut config = config_with(&discovery, &backends, deadline);
    let crowd = [Crowd::None, Crowd::None, Crowd::Idle, Crowd::FillsDescriptors][random.random_range(0..4)];
    let mut node = if crowd == Crowd::FillsDescriptors {
        config["limits"]["sockets"] = json!(FEW_DESCRIPTORS);
        Node::start_with_descriptor_limit(&config)
    } else {
        Node::start(&config)
    };
    let (address, results) = (node.address, Arc::new(ClientResults::default()));
    let connecting = Arc::new(AtomicBool::new(true));
    let idle_count = if crowd == Crowd::None { 0 } else { IDLE_CLIENTS };
    let idle: Vec<TcpStream> = (0..idle_count).filter_map(|_| TcpStream::connect(address).ok()).collect();
    let clients: Vec<JoinHandle<()>> = (0..random.random_range(8..32))
        .map(|number| {
            let (connecting, results) = (connecting.clone(), results.clone());
            thread::spawn(move || {
                run_client(format!("q{seed}-{number}"), address, deadline, connecting, results)
            })
        })
        .collect();
    for _ in 0..random.random_range(0..6) {
        thread::sleep(Duration::from_millis(random.random_range(0..120)));
        node.reconfigure(&config.to_string());
    }
    thread::sleep(Duration::from_millis(random.random_range(300..800)));
    // SIGHUP may come in the same moment as SIGTERM, before or after it.
    if random.random_bool(0.5) {
        node.reconfigure(&config.to_string());
    }
    node.signal("-TERM");
    let terminated_at = Instant::now();
    for _ in 0..random.random_range(0..6) {
        if random.random_bool(0.5) {
            node.signal("-TERM")
        } else {
            node.reconfigure(&config.to_string())
        }
        thread::sleep(Duration::from_millis(random.random_range(0..40)));
    }
    thread::sleep(CONNECT_PERIOD.saturating_sub(terminated_at.elapsed()));
    connecting.store(false, Ordering::SeqCst);
    let until_kill =
        (deadline.min(Duration::from_secs(3)) + SIGKILL_MARGIN).saturating_sub(terminated_at.elapsed());
    thread::sleep(until_kill);
    let _ = node.child.kill();
    let _ = node.child.wait();
    for client in clients {
        client.join().map_err(|_| format!("seed {seed}: a client failed"))?;
    }
    drop(idle);
    let received: HashSet<String> = backends
        .iter()
        .flat_map(|backend| {
            backend.requests.try_iter().filter_map(|request| request.header("x-call-id").map(str::to_owned))
        })
        .collect();
    let without_response = results.without_response.lock().unwrap();
    let lost: Vec<&String> = without_response.iter().filter(|id| received.contains(*id)).collect();
    let mut first = results.lost_first_requests.lock().unwrap();
    if crowd == Crowd::FillsDescriptors {
        first.clear();
    }
    let responses = results.responses.load(Ordering::SeqCst);
    if lost.is_empty() && first.is_empty() && responses > 0 {
        return Ok(responses);
    }
    let summary =
        format!("{responses} responses, {crowd:?}, {idle_count} idle, {hanging} hang, deadline {deadline:?}");
    Err(format!(
        "seed {seed}: requests without a response that reached a backend {lost:?}; lost first requests {first:?}; {summary}"
    ))
}

#[test]
fn every_accepted_request_is_answered_before_the_earliest_kill() {
    let runs = run_seeds(SEEDS, PARALLEL_RUNS, run_seed);
    let failed: Vec<&String> = runs.iter().filter_map(|run| run.as_ref().err()).collect();
    let responses: u32 = runs.iter().flatten().sum();
    println!("{} seeds run, {} failed, {responses} responses", runs.len(), failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
}
