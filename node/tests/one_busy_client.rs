//! One client that sends small or unsound requests at full speed, also under ever new names, beside a calm client.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use common::pressure::CalmClient;
use common::*;
use serde_json::json;

/// What the busy client sends.
#[derive(Clone, Copy, Debug)]
enum Flood {
    SmallRequests,
    WithoutTimeLeft,
    EverNewClasses,
    EverNewTenants,
    EverNewFields,
    EverNewKeys,
    WithoutId,
    Garbage,
    EmptyLines,
}

const FLOODS: [Flood; 9] = [
    Flood::SmallRequests,
    Flood::WithoutTimeLeft,
    Flood::EverNewClasses,
    Flood::EverNewTenants,
    Flood::EverNewFields,
    Flood::EverNewKeys,
    Flood::WithoutId,
    Flood::Garbage,
    Flood::EmptyLines,
];

impl Flood {
    fn request(self, number: u64) -> String {
        let id = format!("busy-{number}");
        match self {
            Self::SmallRequests => get(&id, ""),
            Self::WithoutTimeLeft => get(&id, "").replace("X-Budget-Ms: 3000", "X-Budget-Ms: 0"),
            Self::EverNewClasses => get(&id, "").replace("Class: read", &format!("Class: c{number}")),
            Self::EverNewTenants => get(&id, "").replace("Caller: acme", &format!("Caller: t{number}")),
            Self::EverNewFields => get(&id, &format!("x-{number}: v\r\n")),
            Self::EverNewKeys => post("join", &id, &format!("Idempotency-Key: k{number}\r\n"), ""),
            Self::WithoutId => "GET /api HTTP/1.1\r\n\r\n".to_owned(),
            Self::Garbage => format!("\u{1}{number}\r\n\r\n"),
            Self::EmptyLines => "\r\n".repeat(50),
        }
    }
}

const FLOOD_TIME: Duration = Duration::from_secs(2);
const LEAST_MEMORY_MB: u64 = 32;
const CALM_BUDGET: Duration = Duration::from_millis(3000);
/// A final answer is lost if it comes later than this after the client's time.
const LATE_ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Sends requests at full speed, on a new connection whenever the last one has ended; returns how many were sent.
fn flood(address: SocketAddr, flood: Flood, stop: Arc<AtomicBool>) -> JoinHandle<u64> {
    thread::spawn(move || {
        let sent = Arc::new(AtomicU64::new(0));
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let mut reader = stream.try_clone().expect("a second handle");
            let sink = thread::spawn(move || {
                let mut buffer = [0; 64 * 1024];
                while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
            });
            while !stop.load(Ordering::Relaxed) {
                let batch: String =
                    (0..50).map(|_| flood.request(sent.fetch_add(1, Ordering::Relaxed))).collect();
                if stream.write_all(batch.as_bytes()).is_err() {
                    break;
                }
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            let _ = sink.join();
        }
        sent.load(Ordering::Relaxed)
    })
}

/// Guards against a client that keeps the node's only thread, or makes its tables grow, by what it sends on one connection.
#[test]
fn a_busy_client_delays_no_other_and_leaves_nothing_behind() {
    let mut faults = Vec::new();
    for kind in FLOODS {
        let backends: Vec<Backend> = (0..4).map(|_| Backend::new(|_| Behavior::Respond(ok("yes")))).collect();
        let (discovery, mut config) = discovery_of(&backends);
        config["limits"]["memory_mb"] = json!(LEAST_MEMORY_MB);
        let node = Node::start(&config);
        discovery.wait_for_watch_from(1);
        let stop = Arc::new(AtomicBool::new(false));
        let calm = CalmClient::start(node.address, "calm", |id| get(id, ""));
        let busy = flood(node.address, kind, stop.clone());
        thread::sleep(FLOOD_TIME);
        let calm = calm.finish();
        stop.store(true, Ordering::Relaxed);
        let peak_kb = node.peak_resident_kb();
        // Ends a write that waits.
        drop(node);
        let sent = busy.join().expect("the busy client finishes");
        println!("{kind:?}: {sent} sent, peak {peak_kb} KiB, {calm:?}");
        let late = calm.slowest > CALM_BUDGET + LATE_ANSWER_SLACK || calm.unanswered > 0;
        if late || calm.served * 2 < calm.requests() || peak_kb > LEAST_MEMORY_MB * 1024 {
            faults.push(format!("{kind:?}: {sent} sent, peak {peak_kb} KiB, {calm:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
