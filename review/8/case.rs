//! Idle clients fill the descriptors of a node. Requests on new connections get no answer in their time, their connections are
//! not shut either, and what is accepted later is forwarded after its time, with a time that the client does not have.

#[path = "../stand_in_2.rs"]
mod stand_in;

use std::thread;
use std::time::Duration;

use stand_in::*;

const SOCKETS: u32 = 256;
/// Clients that rest: more than the node has descriptors for. At most `AT_A_TIME` of them have a request open.
const IDLE_CLIENTS: usize = 170;
const AT_A_TIME: usize = 10;
/// How long the clients of the site wait: 40% and all of 1.5 s.
const BUDGETS_MS: [u64; 8] = [600, 1500, 600, 1500, 600, 1500, 600, 1500];
/// Half a second after its time, with the allowance for sockets. A client leaves then.
const PATIENCE: Duration = Duration::from_millis(500 + 50);
const TOLD_SLACK_MS: i64 = 150;

fn main() {
    run_case(run)
}

/// Lets clients connect, be served once, and rest until the node ends their connections.
fn fill_descriptors(case: &Case, node: std::net::SocketAddr) {
    case.record.line(&format!("{IDLE_CLIENTS} clients connect, are served once and then rest"));
    for _ in 0..AT_A_TIME {
        let record = case.record.clone();
        thread::spawn(move || {
            let mut resting = Vec::new();
            for _ in 0..IDLE_CLIENTS / AT_A_TIME {
                let mut client = Client::new(node);
                client.send(&record, "minutes-sign", 1500, PATIENCE);
                resting.push(client);
            }
            thread::sleep(Duration::from_secs(10));
        });
    }
    thread::sleep(ms(500));
}

fn run(case: &Case) -> Result<i32, String> {
    let servers: Vec<AppServer> =
        (0..8).map(|number| AppServer::start(case, &format!("s{number}"), ms(5))).collect();
    let targets: Vec<String> = servers.iter().map(|server| server.target("hervanta", "Ready")).collect();
    let agent = Agent::start(&targets);
    let node = start_node(case, agent.address, SOCKETS, None)?;
    let mut first = Client::new(node);
    for _ in 0..20 {
        first.send(&case.record, "minutes-sign", 1500, PATIENCE);
    }
    if case.trouble {
        fill_descriptors(case, node);
    }
    let mut clients = Vec::new();
    for budget_ms in BUDGETS_MS {
        let record = case.record.clone();
        clients.push(thread::spawn(move || {
            let sent_at = record.now();
            let (id, answer) = Client::new(node).send(&record, "minutes-sign", budget_ms, PATIENCE);
            (id, answer, sent_at + ms(budget_ms))
        }));
        thread::sleep(ms(20));
    }
    let answers: Vec<(String, Answer, Duration)> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(ms(2000));
    let runs: Vec<Run> = servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()).collect();
    let (mut unanswered, mut told_too_much) = (0, 0);
    for (id, answer, over_at) in &answers {
        unanswered += usize::from(*answer == Answer::None);
        for run in runs.iter().filter(|run| run.id == *id) {
            let left_ms = over_at.as_millis() as i64 - run.at.as_millis() as i64;
            if run.budget_ms > left_ms.max(0) + TOLD_SLACK_MS {
                told_too_much += 1;
                case.record
                    .line(&format!("{id}: told {} ms, the client had {left_ms} ms left", run.budget_ms));
            }
        }
    }
    case.record.line(&format!(
        "of {} requests, {unanswered} had neither an answer nor a close 0.55 s after their time, {told_too_much} were forwarded \
         with more time than the client had",
        BUDGETS_MS.len()
    ));
    Ok(if unanswered + told_too_much == 0 { HELD } else { BROKEN })
}
