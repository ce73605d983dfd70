//! A soak of shutdowns on real processes, from a seed: clients write on every open connection until the
//! node is gone, signals come in series and on top of each other, servers hang, in some runs idle clients
//! crowd the node, and SIGKILL comes as early as it may. Whatever reached a server is answered, and so is
//! the first request on every connection that the node accepted.
//!
//! `SOAK_SEEDS=60 cargo test -p badgerpost --test soak` plays more seeds.

mod common;

use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// Seeds that are always played, and how many of them at a time.
const SEEDS: u64 = 8;
const AT_A_TIME: u64 = 4;
/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
const STAYS: Duration = Duration::from_millis(700);
/// New connections come for so long after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(300);

/// What a seed has drawn.
struct Drawn(u64);

impl Drawn {
    fn below(&mut self, count: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % count
    }
}

/// What the clients of a run have seen.
#[derive(Default)]
struct Seen {
    answered: AtomicU32,
    /// Requests whose connection ended without an answer.
    unanswered: Mutex<Vec<String>>,
    /// Connections whose first request got no answer.
    lost_first: Mutex<Vec<String>>,
}

/// A fleet's settings with this deadline.
fn config_with(discovery: &Discovery, backends: &[Backend], deadline: Duration) -> Value {
    let targets: Vec<Value> = backends
        .iter()
        .enumerate()
        .map(|(number, backend)| target(&format!("s{number}"), backend.at, "Ready"))
        .collect();
    discovery.set(json!(targets));
    let mut config = config(discovery.at, json!(targets));
    for class in config["settings"]["classes"].as_array_mut().expect("a list") {
        class["deadline-ns"] = json!(deadline.as_nanos() as u64);
        class["on-time-ns"] = json!(deadline.as_nanos() as u64 / 2);
    }
    config
}

fn request(id: &str, deadline: Duration) -> String {
    get(id, "").replace("X-Budget-Ms: 3000", &format!("X-Budget-Ms: {}", deadline.as_millis()))
}

/// A client that sends the next request as soon as the last is answered, until its connection ends; then on
/// a new one while connections are still taken.
fn client(name: String, at: SocketAddr, deadline: Duration, coming: Arc<AtomicBool>, seen: Arc<Seen>) {
    let mut turn = 0;
    while let Some(mut connection) = Client::try_to(at) {
        let mut first = true;
        loop {
            let id = format!("{name}-{turn}");
            turn += 1;
            connection.write_if_open(&request(&id, deadline));
            let Some(answer) = connection.read() else {
                if first && coming.load(Ordering::SeqCst) {
                    seen.lost_first.lock().unwrap().push(id.clone());
                }
                seen.unanswered.lock().unwrap().push(id);
                break;
            };
            first = false;
            seen.answered.fetch_add(1, Ordering::SeqCst);
            if answer.value("connection") == Some("close") {
                break;
            }
        }
        if !coming.load(Ordering::SeqCst) {
            return;
        }
    }
}

/// Plays one seed; the text says what was lost.
fn play(seed: u64) -> Result<u32, String> {
    let mut drawn = Drawn(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let deadline = Duration::from_millis([300, 700, 1500, 3000][drawn.below(4) as usize]);
    let (takes, hanging) = (drawn.below(60) + 2, drawn.below(3));
    let backends: Vec<Backend> = (0..4)
        .map(|number| {
            let hangs = number < hanging;
            Backend::new(move |_| {
                if hangs {
                    return Does::Hangs;
                }
                thread::sleep(Duration::from_millis(takes));
                Does::Writes(ok("yes"))
            })
        })
        .collect();
    let discovery = Discovery::new(json!([]));
    let config = config_with(&discovery, &backends, deadline);
    let mut node = Node::start(&config);
    let (at, seen) = (node.at, Arc::new(Seen::default()));
    let coming = Arc::new(AtomicBool::new(true));
    let crowd = if drawn.below(3) == 0 { 300 } else { 0 };
    let idle: Vec<TcpStream> = (0..crowd).filter_map(|_| TcpStream::connect(at).ok()).collect();
    let clients: Vec<JoinHandle<()>> = (0..8 + drawn.below(24))
        .map(|number| {
            let (coming, seen) = (coming.clone(), seen.clone());
            thread::spawn(move || client(format!("q{seed}-{number}"), at, deadline, coming, seen))
        })
        .collect();
    for _ in 0..drawn.below(6) {
        thread::sleep(Duration::from_millis(drawn.below(120)));
        node.reconfigure(&config.to_string());
    }
    thread::sleep(Duration::from_millis(300 + drawn.below(500)));
    node.signal("-TERM");
    let told = Instant::now();
    for _ in 0..drawn.below(4) {
        node.reconfigure(&config.to_string());
    }
    thread::sleep(STILL_COMING.saturating_sub(told.elapsed()));
    coming.store(false, Ordering::SeqCst);
    let until_kill = (deadline.min(Duration::from_secs(3)) + STAYS).saturating_sub(told.elapsed());
    thread::sleep(until_kill);
    let _ = node.child.kill();
    let _ = node.child.wait();
    for client in clients {
        client.join().map_err(|_| format!("seed {seed}: a client failed"))?;
    }
    drop(idle);
    let reached: HashSet<String> = backends
        .iter()
        .flat_map(|backend| {
            backend.got.try_iter().filter_map(|got| got.value("x-call-id").map(str::to_owned))
        })
        .collect();
    let unanswered = seen.unanswered.lock().unwrap();
    let lost: Vec<&String> = unanswered.iter().filter(|id| reached.contains(*id)).collect();
    let first = seen.lost_first.lock().unwrap();
    let answered = seen.answered.load(Ordering::SeqCst);
    if lost.is_empty() && first.is_empty() && answered > 0 {
        return Ok(answered);
    }
    let seen = format!("{answered} answered, {crowd} idle, {hanging} hang, deadline {deadline:?}");
    Err(format!(
        "seed {seed}: reached a server and unanswered {lost:?}; first on a connection {first:?}; {seen}"
    ))
}

#[test]
fn whatever_is_taken_is_answered_before_the_earliest_kill() {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    let next = Arc::new(Mutex::new(0..seeds));
    let players: Vec<JoinHandle<Vec<Result<u32, String>>>> = (0..AT_A_TIME)
        .map(|_| {
            let next = next.clone();
            thread::spawn(move || {
                let mut played = Vec::new();
                loop {
                    let Some(seed) = next.lock().unwrap().next() else { return played };
                    played.push(play(seed));
                }
            })
        })
        .collect();
    let played: Vec<Result<u32, String>> =
        players.into_iter().flat_map(|player| player.join().expect("played")).collect();
    let failed: Vec<&String> = played.iter().filter_map(|run| run.as_ref().err()).collect();
    let answered: u32 = played.iter().flatten().sum();
    println!("{} seeds played, {} failed, {answered} requests answered", played.len(), failed.len());
    assert!(failed.is_empty(), "{failed:#?}");
}
