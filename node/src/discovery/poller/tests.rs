use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::*;

/// How late the node may receive a change: the grace period of a drain.
const DRAIN_GRACE: Duration = ms(500);
const STEP: Duration = ms(10);
const SIMULATED_TIME: Duration = ms(60_000);
const NEVER: Duration = Duration::MAX;

/// State of the simulated discovery.
#[derive(Clone, Copy, PartialEq)]
enum ServerState {
    Available,
    Refusing,
    /// Polls get no response. Those received meanwhile get one after the outage if `queues`, else never.
    Hanging {
        queues: bool,
    },
}

struct SimulatedPoll {
    request: PollRequest,
    started_at: Duration,
    /// When its connection is established.
    connected_at: Duration,
    /// Since when it will never get a response.
    hangs_since: Option<Duration>,
}

/// Simulates a poller against a server with random outages, changes and hanging polls. Returns for each
/// change when the node counts as notified of it, and when the node received it.
fn simulate(pushed: bool, timeouts: Timeouts, seed: u64) -> Vec<(Duration, Duration)> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut states = vec![(Duration::ZERO, ServerState::Available)];
    let mut at = Duration::ZERO;
    while at < SIMULATED_TIME {
        at += ms(rng.random_range(3_000..20_000));
        let queues = rng.random();
        states.push((at, if rng.random() { ServerState::Hanging { queues } } else { ServerState::Refusing }));
        at += ms(rng.random_range(500..9_000));
        states.push((at, ServerState::Available));
    }
    let state_at = |now: Duration| states.iter().rev().find(|(from, _)| *from <= now).expect("the first").1;
    // Changes during an outage appear when it ends.
    let appears_at = |at: Duration| {
        if state_at(at) == ServerState::Available {
            at
        } else {
            states.iter().find(|(from, _)| *from > at).expect("end of the outage").0
        }
    };
    let mut changes: Vec<Duration> = (0..12).map(|_| appears_at(ms(rng.random_range(0..50_000)))).collect();
    changes.sort_unstable();
    let mut notified_at = vec![NEVER; changes.len()];
    let mut received_at = vec![NEVER; changes.len()];
    let mut poller = Poller::new(timeouts, Some(0));
    let mut polls: Vec<SimulatedPoll> = Vec::new();
    let (mut connected, mut balancer_request, mut failures, mut slow_connect) = (false, NEVER, 0u32, false);
    // Whether a poll has failed since the last response to a long poll.
    let mut failed = false;
    let mut now = Duration::ZERO;
    while now < SIMULATED_TIME {
        let state = state_at(now);
        let rev = changes.iter().filter(|at| **at <= now).count() as u64;
        // A long poll may also hang while the server is available.
        for poll in &mut polls {
            let hangs = poll.request.hold > Duration::ZERO && rng.random_bool(0.0005);
            let lost = state == ServerState::Hanging { queues: false };
            if (hangs || lost) && poll.hangs_since.is_none() {
                poll.hangs_since = Some(now);
            }
        }
        // When the node counts as notified of each new change.
        for (change, at) in changes.iter().enumerate().filter(|(_, at)| **at <= now) {
            if notified_at[change] != NEVER {
                continue;
            }
            let hanging = polls.iter().filter_map(|poll| Some((poll, poll.hangs_since?))).next();
            let held = polls.iter().find(|poll| poll.request.hold > Duration::ZERO);
            notified_at[change] = match (hanging, held) {
                (Some((poll, since)), _) => {
                    (since + ms(6000)).max(poll.started_at + poll.request.hold + ms(2000)).max(*at)
                }
                _ if pushed => *at,
                (None, Some(poll)) => (*at + ms(6000)).max(poll.started_at + poll.request.hold + ms(2000)),
                (None, None) => *at + ms(6000),
            };
            // After a failure, whatever the hold time.
            if failed && !pushed {
                notified_at[change] = notified_at[change].min(*at + ms(6000));
            }
            // During an outage the node is not notified: an agent's list counts when the outage ends, a
            // service's 6 s later.
            let outages = states.windows(2).filter(|pair| pair[0].1 != ServerState::Available);
            for (from, outage_end) in outages.map(|pair| (pair[0].0, pair[1].0)) {
                if from <= notified_at[change] && outage_end > *at {
                    notified_at[change] =
                        notified_at[change].max(if pushed { outage_end } else { outage_end + ms(6000) });
                }
            }
        }
        let mut ended: Vec<(u64, Option<u64>)> = Vec::new();
        for poll in &polls {
            let reached = poll.connected_at <= now && poll.hangs_since.is_none();
            let changed = poll.request.from != Some(rev);
            if reached && state == ServerState::Refusing {
                ended.push((poll.request.id, None));
            } else if reached
                && state == ServerState::Available
                && (changed || now >= poll.started_at + poll.request.hold)
            {
                ended.push((poll.request.id, Some(rev)));
            } else if now >= poll.started_at + poll.request.timeout {
                ended.push((poll.request.id, None));
            }
        }
        ended.sort_by_key(|(_, response)| response.is_none());
        for (id, response) in ended {
            if !polls.iter().any(|poll| poll.request.id == id) {
                continue;
            }
            let long_poll =
                polls.iter().any(|poll| poll.request.id == id && poll.request.hold > Duration::ZERO);
            polls.retain(|poll| poll.request.id != id);
            failed = response.is_none() || (failed && !long_poll);
            match response {
                Some(rev) => {
                    assert!(poller.on_response(now, id, rev, true));
                    // Giving up a poll counts like a failure.
                    let poll_count = polls.len();
                    polls.retain(|poll| poller.is_in_flight(poll.request.id));
                    failed |= polls.len() < poll_count;
                    (connected, balancer_request, failures) = (true, NEVER, 0);
                    let new = received_at.iter_mut().take(rev as usize).filter(|at| **at == NEVER);
                    new.for_each(|at| *at = now);
                }
                None => {
                    poller.on_failure(now, id);
                    connected = false;
                    // The balancer's backoff: 300 ms, doubled up to three times, with a jitter of a quarter.
                    balancer_request = now + ms(300 << failures.min(3)).mul_f64(rng.random_range(0.75..1.25));
                    failures += 1;
                }
            }
        }
        if !pushed && now >= balancer_request {
            balancer_request = NEVER;
            poller.poll_requested(now);
        }
        if let Some(request) = poller.next(now, false, connected) {
            // One connection in ten is slow, unless the previous one was.
            slow_connect = !connected && !slow_connect && rng.random_bool(0.1);
            let connected_at = now + if slow_connect { ms(rng.random_range(500..1500)) } else { ms(10) };
            polls.push(SimulatedPoll { request, started_at: now, connected_at, hangs_since: None });
            connected = false;
            assert!(polls.len() <= timeouts.max_in_flight, "{} polls in flight", polls.len());
        }
        now += STEP;
    }
    notified_at
        .into_iter()
        .zip(received_at)
        .filter(|(notified_at, _)| *notified_at + DRAIN_GRACE < SIMULATED_TIME)
        .collect()
}

/// The longest time by which a change was received after the node counted as notified of it.
fn max_delay(pushed: bool, timeouts: Timeouts) -> Duration {
    let delay = |(notified_at, received_at): (Duration, Duration)| received_at.saturating_sub(notified_at);
    (0..150).flat_map(|seed| simulate(pushed, timeouts, seed)).map(delay).max().expect("changes")
}

/// Guards against waiting too long for a hanging poll, and against a backoff after an outage that is longer
/// than the grace period of a drain.
#[test]
fn pushed_changes_are_received_within_the_drain_grace() {
    let max_delay = max_delay(true, Timeouts::PUSHED);
    assert!(max_delay <= DRAIN_GRACE, "{max_delay:?}");
}

#[test]
fn polled_changes_are_received_within_the_drain_grace() {
    let max_delay = max_delay(false, Timeouts::ON_REQUEST);
    assert!(max_delay <= DRAIN_GRACE, "{max_delay:?}");
}

/// Checks that the simulation is hard enough to detect timeouts that are too long.
#[test]
fn the_simulation_detects_timeouts_that_are_too_long() {
    let long_polls = Timeouts { hold: (ms(5000), ms(5000)), overdue_after: ms(1000), ..Timeouts::PUSHED };
    let single_poll = Timeouts { max_in_flight: 1, ..Timeouts::PUSHED };
    let long_backoff = Timeouts { overdue_after: ms(1000), backoff: (ms(50), ms(800)), ..Timeouts::PUSHED };
    let single_poll_on_request = Timeouts { max_in_flight: 1, ..Timeouts::ON_REQUEST };
    let late_successor = Timeouts { overdue_after: ms(4000), ..Timeouts::ON_REQUEST };
    // After a failure, the node counts as notified of changes 6 s later however long the hold time is.
    let long_hold_after_failure = Timeouts { hold: (ms(20_000), ms(20_000)), ..Timeouts::ON_REQUEST };
    for (pushed, timeouts) in [
        (true, long_polls),
        (true, single_poll),
        (true, long_backoff),
        (false, single_poll_on_request),
        (false, late_successor),
        (false, long_hold_after_failure),
    ] {
        assert!(max_delay(pushed, timeouts) > DRAIN_GRACE, "{timeouts:?}");
    }
}

/// A poll at a slow discovery, with the time and the revision of its response once discovery has decided on it.
struct SlowPoll {
    request: PollRequest,
    started_at: Duration,
    response: Option<(Duration, u64)>,
}

/// Simulates a poller against a discovery that responds to each poll, but late: each response takes `max_latency`, or if the
/// latency `varies` it is drawn anew now and then. Returns for each change how much later than `MAX_CHANGE_DELAY` it was
/// received, and the number of polls.
fn simulate_slow(
    timeouts: Timeouts,
    max_latency: Duration,
    varies: bool,
    seed: u64,
) -> (Vec<Duration>, usize) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    // Slow from the start in every other run.
    let starts_slow = !varies || seed.is_multiple_of(2);
    let mut latency = if starts_slow { max_latency } else { Duration::ZERO };
    let mut latency_until = ms(rng.random_range(1_000..40_000));
    let mut changes: Vec<Duration> = (0..12).map(|_| ms(rng.random_range(0..50_000))).collect();
    changes.sort_unstable();
    let mut received_at = vec![NEVER; changes.len()];
    let mut notified_at: Vec<Duration> = changes.iter().map(|at| *at + MAX_CHANGE_DELAY).collect();
    let mut poller = Poller::new(timeouts, Some(0));
    let mut polls: Vec<SlowPoll> = Vec::new();
    let (mut now, mut poll_count, mut connected) = (Duration::ZERO, 0, false);
    while now < SIMULATED_TIME {
        if varies && now >= latency_until {
            latency_until = now + ms(rng.random_range(1_000..40_000));
            latency = max_latency.mul_f64([0.0, 0.25, 0.5, 1.0][rng.random_range(0..4)]);
        }
        let rev = changes.iter().filter(|at| **at <= now).count() as u64;
        // A long poll shows nothing of the latency until its hold time ends. Until it was measured, a change that follows
        // another one needs two responses.
        if poller.latency() < latency {
            let in_this_step = |at: Duration| at <= now && at + STEP > now;
            for (at, notified_at) in changes.iter().zip(&mut notified_at).filter(|(at, _)| in_this_step(**at))
            {
                *notified_at = *at + MAX_CHANGE_DELAY.max(2 * max_latency);
            }
        }
        for poll in polls.iter_mut().filter(|poll| poll.response.is_none()) {
            if poll.request.from != Some(rev) || now >= poll.started_at + poll.request.hold {
                poll.response = Some((now + latency, rev));
            }
        }
        polls.retain(|poll| poller.is_in_flight(poll.request.id));
        let mut ended: Vec<(u64, Option<u64>)> = Vec::new();
        for SlowPoll { request, started_at, response } in &polls {
            match response {
                Some((at, rev)) if *at <= now => ended.push((request.id, Some(*rev))),
                _ if now >= *started_at + request.timeout => ended.push((request.id, None)),
                _ => {}
            }
        }
        for (id, response) in ended {
            let Some(rev) = response.filter(|_| poller.is_in_flight(id)) else {
                poller.on_failure(now, id);
                continue;
            };
            assert!(poller.on_response(now, id, rev, true));
            connected = true;
            received_at.iter_mut().take(rev as usize).filter(|at| **at == NEVER).for_each(|at| *at = now);
        }
        polls.retain(|poll| poller.is_in_flight(poll.request.id));
        if let Some(request) = poller.next(now, false, connected) {
            polls.push(SlowPoll { request, started_at: now, response: None });
            poll_count += 1;
            connected = false;
        }
        now += STEP;
    }
    let delays =
        notified_at.into_iter().zip(received_at).map(|(at, received_at)| received_at.saturating_sub(at));
    (delays.collect(), poll_count)
}

/// Guards against giving up each poll before its response arrives, which leaves the node with its list for ever.
#[test]
fn changes_from_a_slow_discovery_are_received_in_time() {
    // A change needs the response to a poll that began after it, so a latency near 6 s cannot be made up for.
    for (timeouts, max_latency_ms) in [(Timeouts::ON_REQUEST, 5000), (Timeouts::PUSHED, 2500)] {
        for latency_ms in (200..=max_latency_ms).step_by(400) {
            for varies in [false, true] {
                let delays = (0..20).flat_map(|seed| simulate_slow(timeouts, ms(latency_ms), varies, seed).0);
                let max_delay = delays.max().expect("changes");
                assert!(max_delay <= DRAIN_GRACE, "{max_delay:?}, latency {latency_ms} ms, varies: {varies}");
            }
        }
    }
}

/// Guards against loading a discovery that is slow because it is loaded. Only where two responses in a row take longer than
/// the node may take to learn of a change, polls have to overlap.
#[test]
fn a_slow_discovery_is_not_polled_more_often_than_needed() {
    let polls = |latency_ms| -> usize {
        (0..30).map(|seed| simulate_slow(Timeouts::ON_REQUEST, ms(latency_ms), false, seed).1).sum()
    };
    let fast = polls(0);
    for latency_ms in [500, 1500, 3000] {
        assert!(polls(latency_ms) <= 2 * fast, "{} polls, {fast} with a fast discovery", polls(latency_ms));
    }
    let at_most = 30 * SIMULATED_TIME.div_duration_f64(Timeouts::ON_REQUEST.min_interval) as usize;
    assert!(polls(5000) <= at_most, "{} polls", polls(5000));
}

#[test]
fn one_poll_at_a_time_is_in_flight_while_responses_arrive() {
    for timeouts in [Timeouts::PUSHED, Timeouts::ON_REQUEST] {
        let mut poller = Poller::new(timeouts, None);
        let first = poller.next(ms(0), false, false).expect("due at once");
        assert_eq!((first.from, first.hold), (None, ms(0)));
        assert!(poller.on_response(ms(10), first.id, 7, true));
        let long_poll = poller.next(ms(10), false, true).expect("due at once");
        assert_eq!((long_poll.from, long_poll.hold), (Some(7), timeouts.hold.0));
        assert_eq!(poller.next(ms(10) + timeouts.hold.0, false, true), None);
        assert!(poller.on_response(ms(10) + timeouts.hold.0, long_poll.id, 7, false));
        assert_eq!(poller.next(ms(10) + timeouts.hold.0, true, true).map(|poll| poll.from), Some(None));
    }
}

#[test]
fn the_full_list_is_fetched_from_a_new_address() {
    let mut poller = Poller::new(Timeouts::PUSHED, Some(7));
    poller.next(ms(0), false, false).expect("a poll");
    poller.address_changed(ms(100));
    let poll = poller.next(ms(100), false, false).expect("due at once");
    assert_eq!((poll.id, poll.from, poll.hold), (1, None, ms(0)));
}

/// Guards against a busy loop of polls without a hold time when the agent closes the connection after each
/// response.
#[test]
fn an_agent_that_closes_each_connection_is_not_polled_in_a_busy_loop() {
    let mut poller = Poller::new(Timeouts::PUSHED, Some(7));
    let mut now = ms(0);
    for _ in 0..10 {
        let poll = poller.next(now, false, false).expect("due at once");
        now += poll.hold + ms(1);
        assert!(poller.on_response(now, poll.id, 7, false));
    }
    assert!(now >= 5 * Timeouts::PUSHED.hold.0, "10 polls in {now:?}");
}

/// A restarted server counts revisions from the start, and its changes do not apply to the list that the node
/// has.
#[test]
fn the_full_list_is_fetched_after_the_revision_goes_backwards() {
    for timeouts in [Timeouts::PUSHED, Timeouts::ON_REQUEST] {
        let mut poller = Poller::new(timeouts, Some(41));
        let poll = poller.next(ms(0), false, true).expect("due at once");
        assert!(!poller.on_response(ms(10), poll.id, 3, false));
        let poll = poller.next(ms(10), false, true).expect("due at once");
        assert_eq!((poll.from, poll.hold), (None, ms(0)));
        assert!(poller.on_response(ms(20), poll.id, 3, true), "a full list applies at any revision");
        assert_eq!(poller.next(ms(20), false, true).and_then(|poll| poll.from), Some(3));
    }
}

/// Until a long poll gets a response again, one that hangs must leave time for another poll within the 6 s.
#[test]
fn the_first_long_poll_on_request_after_a_failure_is_short() {
    let Timeouts { hold, backoff, .. } = Timeouts::ON_REQUEST;
    let mut poller = Poller::new(Timeouts::ON_REQUEST, Some(7));
    let long_poll = poller.next(ms(0), false, false).expect("due at once");
    assert_eq!(long_poll.hold, hold.0);
    poller.on_failure(long_poll.timeout, long_poll.id);
    let mut now = long_poll.timeout + backoff.0;
    for expected in [ms(0), hold.1, hold.0] {
        let poll = poller.next(now, false, true).expect("due at once");
        assert_eq!(poll.hold, expected);
        now += poll.hold + ms(10);
        assert!(poller.on_response(now, poll.id, 7, false));
    }
}
