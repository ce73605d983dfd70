//! The server model against results calculated by hand.

use flaxdale_model::server::*;
use flaxdale_model::world::{MS, SECOND};

fn spec() -> ServerSpec {
    ServerSpec {
        cores: 2.0,
        concurrency: 4,
        queue_capacity: 2,
        thrash: 0.0,
        connection_overhead: 0.0,
        handshake_work: 0.0,
        ..ServerSpec::default()
    }
}

fn job(id: u64, work_ms: f64) -> Job {
    Job {
        id,
        sender: 0,
        work: work_ms * MS as f64,
        io_wait: 0,
        not_after: u64::MAX,
        failure_draw: 1.0,
        known_start: None,
    }
}

/// Id, outcome and time in milliseconds of each job that ends by `until`.
fn outcomes_until(server: &mut Server, until: u64) -> Vec<(u64, JobOutcome, u64)> {
    let mut outcomes = Vec::new();
    while let Some(next) = server.next_event().filter(|next| *next <= until) {
        let mut ended = Vec::new();
        server.advance(next, &mut ended);
        outcomes.extend(ended.into_iter().map(|(job, outcome)| (job.id, outcome, next / MS)));
    }
    server.advance(until, &mut Vec::new());
    outcomes
}

#[test]
fn requests_share_the_cores_equally() {
    let mut server = Server::new(spec(), 0);
    // Two requests on two cores run at full speed; four run at half speed.
    for id in 0..4 {
        assert_eq!(server.submit(0, job(id, 10.0 + id as f64), false), Admission::Accepted);
    }
    // Four run at half speed until 20 ms, three share two cores for 1.5 ms, and then two have a core each.
    let outcomes = outcomes_until(&mut server, SECOND);
    let ids: Vec<u64> = outcomes.iter().map(|outcome| outcome.0).collect();
    let times: Vec<u64> = outcomes.iter().map(|outcome| outcome.2).collect();
    assert_eq!((ids, times), (vec![0, 1, 2, 3], vec![20, 21, 22, 23]));
}

#[test]
fn waiting_requests_hold_a_slot_but_no_core() {
    let mut server = Server::new(ServerSpec { cores: 1.0, concurrency: 2, queue_capacity: 1, ..spec() }, 0);
    let waits = Job { io_wait: 100 * MS, ..job(0, 10.0) };
    assert_eq!(server.submit(0, waits, false), Admission::Accepted);
    server.advance(10 * MS, &mut Vec::new());
    assert_eq!(server.submit(10 * MS, job(1, 10.0), false), Admission::Accepted);
    assert_eq!(server.submit(10 * MS, job(2, 10.0), false), Admission::Accepted);
    assert_eq!(server.submit(10 * MS, job(3, 10.0), false), Admission::Full);
    let expected = [(1, JobOutcome::Served, 20), (2, JobOutcome::Served, 30), (0, JobOutcome::Served, 110)];
    assert_eq!(outcomes_until(&mut server, SECOND), expected);
}

#[test]
fn cold_server_ramps_up_linearly() {
    let spec = ServerSpec {
        cores: 1.0,
        initial_capacity: 0.0,
        slow_start_window: 10 * SECOND,
        overload_factor: 1e9,
        ..spec()
    };
    let mut server = Server::new(spec, 0);
    server.start(0, true);
    assert_eq!(server.capacity_share(5 * SECOND), 0.5);
    // The integral of t / 10 s is 200 ms of work at t = 2 s.
    assert_eq!(server.submit(0, job(0, 200.0), false), Admission::Accepted);
    assert_eq!(outcomes_until(&mut server, 20 * SECOND), [(0, JobOutcome::Served, 2000)]);
    // At full speed once warm.
    assert_eq!(server.submit(20 * SECOND, job(1, 200.0), false), Admission::Accepted);
    assert_eq!(outcomes_until(&mut server, 30 * SECOND), [(1, JobOutcome::Served, 20_200)]);
}

#[test]
fn overloaded_cold_server_crashes_and_stays_down() {
    let (slow_start_window, overload_window) = (100 * SECOND, SECOND);
    let spec = ServerSpec {
        cores: 1.0,
        initial_capacity: 0.2,
        slow_start_window,
        overload_factor: 3.0,
        overload_window,
        ..spec()
    };
    let mut server = Server::new(spec, 0);
    server.start(0, true);
    // The budget is 600 ms of work per second: three times a fifth of a core.
    let sent = (0..20).take_while(|id| {
        let at = id * 50 * MS;
        server.advance(at, &mut Vec::new());
        server.submit(at, job(*id, 100.0), false) != Admission::Down
    });
    let sent = sent.count();
    assert!((6..=8).contains(&sent), "{sent} requests of 100 ms");
    assert!(server.has_crashed() && !server.is_up());
    assert_eq!(server.submit(90 * SECOND, job(99, 1.0), false), Admission::Down);
    server.start(100 * SECOND, true);
    assert!(server.is_up() && !server.has_crashed());
}

#[test]
fn congestion_slows_the_server_until_it_has_recovered() {
    let congestion = Congestion {
        queued_per_core: 2.0,
        onset: SECOND,
        slowdown: 4.0,
        recovery_utilisation: 0.5,
        recovery_time: 2 * SECOND,
        max_duration: 60 * SECOND,
    };
    let spec = ServerSpec {
        cores: 1.0,
        concurrency: 100,
        queue_capacity: 0,
        congestion: Some(congestion),
        thrash_at: 1e9,
        ..spec()
    };
    let mut server = Server::new(spec, 0);
    for id in 0..20 {
        server.submit(0, job(id, 100.0), false);
    }
    server.advance(SECOND - 1, &mut Vec::new());
    assert!(!server.is_congested());
    server.advance(SECOND, &mut Vec::new());
    assert!(server.is_congested());
    // Half of the 2 s of work is left and runs four times slower until 5 s. Recovery starts then.
    let outcomes = outcomes_until(&mut server, 6 * SECOND);
    assert_eq!((outcomes.len(), outcomes[19].2), (20, 5000));
    assert!(server.is_congested());
    server.advance(7 * SECOND, &mut Vec::new());
    assert!(!server.is_congested());
}

#[test]
fn faults_slow_down_hang_and_fail_requests() {
    let mut server = Server::new(ServerSpec { cores: 1.0, ..spec() }, 0);
    server.set_fault(0, ServerFault { slowdown: 5.0, ..ServerFault::default() });
    server.submit(0, job(0, 10.0), false);
    assert_eq!(outcomes_until(&mut server, SECOND), [(0, JobOutcome::Served, 50)]);
    server.set_fault(SECOND, ServerFault { hung: true, ..ServerFault::default() });
    assert_eq!(server.submit(SECOND, job(1, 10.0), false), Admission::Accepted);
    assert_eq!(outcomes_until(&mut server, 9 * SECOND), []);
    server
        .set_fault(9 * SECOND, ServerFault { stolen_cpu: 0.5, failure_rate: 0.5, ..ServerFault::default() });
    assert_eq!(
        server.submit(9 * SECOND, Job { failure_draw: 0.4, ..job(2, 10.0) }, false),
        Admission::Failed
    );
    assert_eq!(outcomes_until(&mut server, 10 * SECOND), [(1, JobOutcome::Served, 9020)]);
}

#[test]
fn cancel_drops_queued_jobs_and_stop_drops_all() {
    let mut server = Server::new(ServerSpec { cores: 1.0, concurrency: 1, queue_capacity: 2, ..spec() }, 0);
    for id in 0..3 {
        assert_eq!(server.submit(0, job(id, 10.0), false), Admission::Accepted);
    }
    assert!(!server.cancel(0, 0), "running work was cancelled");
    assert!(server.cancel(0, 1));
    assert_eq!(outcomes_until(&mut server, 15 * MS), [(0, JobOutcome::Served, 10)]);
    assert_eq!(server.stop(15 * MS).iter().map(|job| job.id).collect::<Vec<_>>(), [2]);
    assert_eq!(server.next_event(), None);
    assert_eq!(server.submit(16 * MS, job(3, 1.0), false), Admission::Down);
}

#[test]
fn expired_jobs_are_dropped_from_the_queue() {
    let mut server = Server::new(ServerSpec { cores: 1.0, concurrency: 1, queue_capacity: 2, ..spec() }, 0);
    server.submit(0, job(0, 100.0), false);
    server.submit(0, Job { not_after: 50 * MS, ..job(1, 10.0) }, false);
    assert_eq!(
        outcomes_until(&mut server, SECOND),
        [(0, JobOutcome::Served, 100), (1, JobOutcome::Dropped, 100)]
    );
}

#[test]
fn connections_are_limited_and_cost_work() {
    let mut server =
        Server::new(ServerSpec { max_connections: 2, handshake_work: 5.0 * MS as f64, ..spec() }, 0);
    assert!(server.connect(0) && server.connect(0) && !server.connect(0));
    server.disconnect(0);
    assert!(server.connect(0));
    server.submit(0, job(0, 10.0), true);
    assert_eq!(
        outcomes_until(&mut server, SECOND),
        [(0, JobOutcome::Served, 15)],
        "accepting a connection costs work"
    );
}

#[test]
fn load_reports_are_delayed() {
    let reporting = LoadReporting { period: 100 * MS, delay: 50 * MS, noise: 0.0 };
    let mut server = Server::new(ServerSpec { cores: 1.0, reporting: Some(reporting), ..spec() }, 0);
    server.submit(0, job(0, 1000.0), false);
    assert_eq!(server.report(50 * MS, 0.0), None, "no sample was taken yet");
    assert_eq!(
        server.report(100 * MS, 0.0),
        Some(0.0),
        "the previous sample is reported until the delay has passed"
    );
    assert_eq!(server.report(150 * MS, 0.0), Some(0.5));
    assert_eq!(Server::new(spec(), 0).report(SECOND, 0.0), None);
}

/// Number of 100 ms requests that a cold server accepts in a second, one every 10 ms, and whether informed
/// senders overloaded it. `informed` tells whether the sender of a request knew of the server's start.
fn accepted_by_cold_server(overload_factor: f64, informed: impl Fn(u64) -> bool) -> (u64, bool) {
    let (slow_start_window, mean_work) = (1000 * SECOND, 100.0 * MS as f64);
    let spec = ServerSpec {
        cores: 1.0,
        concurrency: 1000,
        initial_capacity: 0.2,
        slow_start_window,
        overload_factor,
        mean_work,
        ..spec()
    };
    let mut server = Server::new(ServerSpec { overload_window: SECOND, ..spec }, 0);
    server.start(5 * SECOND, true);
    let accepted = (0..100).take_while(|id| {
        let at = 5 * SECOND + id * 10 * MS;
        let known_start = informed(*id).then_some(5 * SECOND);
        server.submit(at, Job { known_start, ..job(*id, 100.0) }, false) != Admission::Down
    });
    (accepted.count() as u64, server.overloaded_by_informed_senders())
}

/// The bound is N + 2 * sqrt(N) + 2 requests of mean work; only senders that knew of the start violate the
/// rule.
#[test]
fn cold_server_crashes_above_the_bound_and_informed_senders_are_responsible() {
    // With 0.2 cores, N = 2 * factor: 8 plus 7.7, and 2 plus 4.8.
    assert_eq!(accepted_by_cold_server(4.0, |_| true), (15, true));
    assert_eq!(accepted_by_cold_server(1.0, |_| true), (6, true));
    assert_eq!(
        accepted_by_cold_server(4.0, |id| id % 3 > 0),
        (15, false),
        "exactly two thirds are not enough"
    );
    assert_eq!(accepted_by_cold_server(4.0, |id| id % 4 > 0), (15, true));
    assert_eq!(accepted_by_cold_server(4.0, |_| false), (15, false));
}
