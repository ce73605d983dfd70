//! Soak test of the memory limit with randomized runs: mixtures of clients that hold memory in different ways, small and
//! large limits, kills and restarts in the middle, signals in series, and calm clients beside all that. No process may
//! exceed its memory limit or end by itself, and each request of a calm client gets a final answer in its time.
//!
//! `SOAK_SEEDS=60 cargo test -p badgerpost --test memory_soak` runs more seeds.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::pressure::{CalmClient, CalmResults, Crowd, Shape};
use common::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

/// The default number of seeds, and how many of them run in parallel.
const SEEDS: u64 = 12;
const PARALLEL_RUNS: u64 = 3;
const CALM_BUDGET: Duration = Duration::from_millis(3000);
/// A final answer is lost if it comes later than this after the client's time.
const LATE_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM after the longest deadline, capped at 3 s, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3700);

/// What is drawn for a run.
#[derive(Debug)]
struct Plan {
    memory_mb: u64,
    descriptors: u64,
    clients: usize,
    shapes: Vec<Shape>,
    servers: usize,
    service: Duration,
    /// How long each process lives; all but the last are killed.
    lives: Vec<Duration>,
    /// Whether the last process is told to end before it is killed.
    terminates: bool,
}

impl Plan {
    fn draw(random: &mut StdRng) -> Self {
        let memory_mb = *[32, 32, 48, 96, 192].choose(random).expect("not empty");
        let descriptors = *[256, 384, 512, 1024, 1024].choose(random).expect("not empty");
        // Up to a few more than the node has descriptors for.
        let most = descriptors as usize * 21 / 32;
        let lives = random.random_range(1..4);
        let lives = (0..lives).map(|_| Duration::from_millis(random.random_range(400..2500))).collect();
        let shapes = random.random_range(1..5);
        let shapes = (0..shapes).map(|_| *Shape::ALL.choose(random).expect("not empty")).collect();
        Self {
            memory_mb,
            descriptors,
            clients: random.random_range(most / 3..=most),
            shapes,
            servers: random.random_range(3..10),
            service: Duration::from_millis(random.random_range(0..400)),
            lives,
            terminates: random.random_bool(0.4),
        }
    }
}

fn backend(service: Duration) -> Backend {
    let large = ok(&"y".repeat(60_000));
    Backend::new(move |request| {
        if request.header("x-large").is_some() {
            return Behavior::Respond(large.clone());
        }
        if request.body.len() > 500 || request.header("transfer-encoding").is_some() {
            thread::sleep(service);
        }
        Behavior::Respond(ok("yes"))
    })
}

/// An address of this run alone, at which a restarted node listens again. A free port could be taken by a client meanwhile.
fn listen_address(seed: u64) -> SocketAddr {
    let process = (std::process::id() % 120) as u8;
    SocketAddr::from(([127, 100 + process, (seed % 250) as u8, 1], 9000))
}

/// What is wrong with what a calm client got, if anything.
fn calm_fault(name: &str, calm: &CalmResults) -> Option<String> {
    let late = calm.slowest > CALM_BUDGET + LATE_ANSWER_SLACK;
    (late || calm.unanswered > 0).then(|| format!("{name}: {calm:?}"))
}

/// The life of one process beside calm clients; returns what was wrong.
fn live(node: &mut Node, plan: &Plan, life: usize, config: &Value, random: &mut StdRng) -> Vec<String> {
    let reader = CalmClient::start(node.address, &format!("reader{life}"), |id| get(id, ""));
    let writer =
        CalmClient::start(node.address, &format!("writer{life}"), |id| post("pay", id, "", &"x".repeat(300)));
    let ends_at = Instant::now() + plan.lives[life];
    while Instant::now() < ends_at {
        thread::sleep(Duration::from_millis(random.random_range(50..400)));
        if random.random_bool(0.3) {
            node.reconfigure(&config.to_string());
        }
    }
    let mut faults: Vec<String> = [("reader", reader.finish()), ("writer", writer.finish())]
        .iter()
        .filter_map(|(name, calm)| calm_fault(name, calm))
        .collect();
    if node.child.try_wait().expect("the node's state").is_some() {
        faults.push(format!("process {life} ended by itself"));
        return faults;
    }
    if plan.terminates && life + 1 == plan.lives.len() {
        let terminated_at = Instant::now();
        for _ in 0..random.random_range(1..4) {
            node.signal("-TERM");
            thread::sleep(Duration::from_millis(random.random_range(0..40)));
        }
        while terminated_at.elapsed() < EARLIEST_KILL && node.child.try_wait().is_ok_and(|end| end.is_none())
        {
            faults.extend(memory_fault(node, plan, "draining"));
            thread::sleep(Duration::from_millis(20));
        }
        return faults;
    }
    faults.extend(memory_fault(node, plan, "serving"));
    faults
}

fn memory_fault(node: &Node, plan: &Plan, phase: &str) -> Option<String> {
    let peak_kb = node.try_peak_resident_kb()?;
    (peak_kb > plan.memory_mb * 1024).then(|| format!("{peak_kb} KiB while {phase}"))
}

/// Runs one seed and returns a description of it, or of what was wrong.
fn run_seed(seed: u64) -> Result<String, String> {
    let mut random = StdRng::seed_from_u64(seed);
    let plan = Plan::draw(&mut random);
    let backends: Vec<Backend> = (0..plan.servers).map(|_| backend(plan.service)).collect();
    let (_discovery, mut config) = discovery_of(&backends);
    config["limits"]["memory_mb"] = json!(plan.memory_mb);
    config["limits"]["sockets"] = json!(plan.descriptors);
    config["listen"] = json!(listen_address(seed).to_string());
    let mut node = Node::start_with_descriptor_limit(&config);
    let crowd = Crowd::start(node.address, &format!("crowd{seed}"), plan.clients, &plan.shapes);
    let (mut faults, mut peaks) = (Vec::new(), Vec::new());
    for life in 0..plan.lives.len() {
        if life > 0 {
            // The crowd joins the new process at once.
            drop(node);
            node = Node::start_with_descriptor_limit(&config);
        }
        faults.extend(live(&mut node, &plan, life, &config, &mut random));
        peaks.extend(node.try_peak_resident_kb());
    }
    drop(crowd);
    let summary = format!("seed {seed}: peaks {peaks:?} KiB, {plan:?}");
    if faults.is_empty() { Ok(summary) } else { Err(format!("{faults:?}, {summary}")) }
}

#[test]
fn memory_stays_within_the_limit_under_mixtures_of_clients() {
    let runs = run_seeds(SEEDS, PARALLEL_RUNS, run_seed);
    let failed: Vec<&String> = runs.iter().filter_map(|run| run.as_ref().err()).collect();
    runs.iter().flatten().for_each(|run| println!("{run}"));
    println!("{} seeds run, {} failed", runs.len(), failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against clients of the test whose sockets are inherited by a node that is started beside them: it has fewer
/// descriptors than its limit, accepts too late, and the soak blames it.
#[test]
fn a_node_inherits_no_sockets_of_the_clients() {
    const CLIENTS: usize = 100;
    let (_discovery, config) = discovery_of(&[backend(Duration::ZERO)]);
    let first = Node::start(&config);
    let crowd = Crowd::start(first.address, "inherited", CLIENTS, &[Shape::SlowBody]);
    wait_until("the clients have connected", || crowd.connections() >= CLIENTS as u64);
    let second = Node::start(&config);
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", second.child.id())).expect("the node runs");
    let count = descriptors.count();
    assert!(count < CLIENTS, "{count} descriptors");
    drop(crowd);
}
