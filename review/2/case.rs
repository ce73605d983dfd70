//! A client sends much at once and goes: the node begins an attempt for it after its close.

#[path = "../common.rs"]
mod common;

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const CLIENTS: usize = 8;
const REQUESTS: usize = 60;
/// "More than 0.1 s after the close", and the 50 ms of the protocol page.
const LIMIT: Duration = Duration::from_millis(100 + 50);

fn main() {
    let case = Case::start();
    let work: Work = Arc::default();
    // A request of 97 ms of work and 68 ms of waits on a machine of speed 0.6.
    let servers: Vec<AppServer> =
        (0..8).map(|index| AppServer::start(&format!("s{index}"), &case.record, &work, || ms(230))).collect();
    let zones = ["hervanta", "lielahti"];
    let lines: Vec<(String, String)> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| {
            (server.name.clone(), server.line(zones[index % 2], index as u32 % 2, "Ready"))
        })
        .collect();
    let discovery = Discovery::start(&case.record, &lines);
    let node = Node::start(
        &case,
        &NodeOptions {
            name: "n0",
            discovery: discovery.address,
            seed: "8c1f30d27a5be964",
            sockets: 256,
            known: &discovery.list(),
            settings: &tampere("hervanta", 0, 2),
            fleet: None,
        },
    );
    let mut broken = Vec::new();
    for number in 0..CLIENTS {
        let requests: Vec<Request> = (0..REQUESTS)
            .map(|index| Request {
                id: format!("{number:x}{index:015x}"),
                class: "minutes-sign".to_owned(),
                caller: "kaupunki-a".to_owned(),
                budget_ms: 1500,
                key: None,
                body: "x".repeat(1000),
            })
            .collect();
        let Ok(mut client) = Client::connect(node.address) else { fail("cannot connect to the node") };
        if trouble() {
            let bytes: String = requests.iter().map(Request::text).collect();
            if client.stream.write_all(bytes.as_bytes()).is_err() {
                fail("the client could not write");
            }
            case.record
                .say(&format!("client {number} sent {REQUESTS} requests, {} bytes, at once", bytes.len()));
        } else {
            // The first ones, one at a time, each with its answer.
            for request in &requests[..3] {
                let answered = client.send(request).is_ok().then(|| client.answer(ms(3000))).flatten();
                case.record.line(&format!(
                    "client has {:?} for {}",
                    answered.map(|answer| answer.status),
                    request.id
                ));
            }
        }
        drop(client);
        let closed_at = Instant::now();
        case.record.line_at(closed_at, &format!("client {number} has closed its connection"));
        thread::sleep(ms(2500));
        for arrived in lock(&work).iter().filter(|arrived| arrived.id.starts_with(&format!("{number:x}"))) {
            let after = arrived.at.saturating_duration_since(closed_at);
            if after > LIMIT {
                let (id, server) = (&arrived.id, &arrived.server);
                broken.push(format!(
                    "the attempt of {id} at {server} began {after:?} after its client's close"
                ));
            }
        }
    }
    let total = lock(&work).len();
    case.record.say(&format!("{total} attempts for {CLIENTS} clients"));
    drop(node);
    case.verdict(&broken)
}
