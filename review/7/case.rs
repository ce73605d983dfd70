//! Discovery that is asked answers each call 2.5 s late. The node gives each call up before that, learns of no change any more,
//! and goes on sending to an app server that drains.

#[path = "../stand_in_2.rs"]
mod stand_in;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use stand_in::*;

const SERVERS: usize = 9;
const ANSWER_DELAY_MS: u64 = 2500;
/// When a change counts as told at the latest, with the site's grace of a drain and the allowance for sockets.
const TOLD_AND_GRACE: Duration = Duration::from_millis(6000 + 600 + 50);
/// Later than the end of the long poll of at most 20 s that was open when discovery became slow, and of its answer.
const BEFORE_DRAIN: Duration = Duration::from_secs(26);

fn main() {
    run_case(run)
}

fn run(case: &Case) -> Result<i32, String> {
    let servers: Vec<AppServer> =
        (0..SERVERS).map(|number| AppServer::start(case, &format!("s{number}"), ms(20))).collect();
    let targets = |state: &str| -> Vec<String> {
        let state_of = |uid: &str| if uid == "s0" { state.to_owned() } else { "Ready".to_owned() };
        servers.iter().map(|server| server.target("north-quay", &state_of(&server.uid))).collect()
    };
    let discovery = Agent::start(&targets("Ready"));
    let node = start_node_with(case, discovery.address, 256, None, harbour_settings())?;
    if case.trouble {
        case.record.line(&format!("discovery answers each call {ANSWER_DELAY_MS} ms late from now on"));
        discovery.delay_ms.store(ANSWER_DELAY_MS, Ordering::SeqCst);
    }
    for _ in 0..6 {
        let record = case.record.clone();
        thread::spawn(move || {
            let mut client = Client::new(node);
            loop {
                client.send(&record, "clearance", 1200, ms(550));
                thread::sleep(ms(40));
            }
        });
    }
    thread::sleep(BEFORE_DRAIN);
    if servers[0].runs.lock().unwrap().is_empty() {
        return Err("the server to be drained has served nothing".to_owned());
    }
    case.record.line("discovery has it that s0 drains");
    discovery.set(&targets("Terminating"));
    let drained_at = case.record.now();
    thread::sleep(Duration::from_secs(20));
    let runs = servers[0].runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs.iter().filter(|run| run.at > drained_at + TOLD_AND_GRACE).collect();
    let last = late.last().map_or(0.0, |run| (run.at - drained_at).as_secs_f64());
    case.record.line(&format!(
        "s0 got {} requests later than 6.65 s after its drain, the last after {last:.2} s",
        late.len()
    ));
    Ok(if late.is_empty() { HELD } else { BROKEN })
}
