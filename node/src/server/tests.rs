use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::connection::{SlotView, serve};
use super::handler::remaining_budget;
use super::stream::ClientSocket;
use super::*;
use crate::driver;
use crate::driver::tests::{SECOND, backend_entry};
use crate::memory::{Budget, Kind};
use brookfield::{ListScope, Nanos, Stage};

mod disconnects;

const MS: Nanos = 1_000_000;
const LIMITS: ServerLimits = ServerLimits { max_connections: 8, read_ahead_reserve_bytes: 16 * 1024 * 1024 };

/// In memory, a close is only seen by reading.
impl ClientSocket for tokio::io::DuplexStream {
    fn close_reported(&self) -> bool {
        false
    }

    fn has_unread_input(&self, _: &mut std::task::Context<'_>) -> bool {
        false
    }
}

/// Connection slots in a state that the test sets.
struct TestSlots {
    scarce: bool,
    may_rest: bool,
}

const FREE_SLOTS: TestSlots = TestSlots { scarce: false, may_rest: true };

impl SlotView for TestSlots {
    fn is_scarce(&self) -> bool {
        self.scarce
    }

    fn may_rest(&self) -> bool {
        self.may_rest
    }
}

fn no_reserve() -> ReadAheadReserve {
    ReadAheadReserve::new(0, Budget::unlimited())
}

/// Writes the texts to a connection, one second apart, and returns what was read until the node closed it, with the time
/// that elapsed on the paused clock. The node has no backends, and rejects every request.
async fn exchange_until_closed(slots_scarce: bool, texts: &[&str]) -> (String, Duration) {
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    exchange_in_phase(&phase, slots_scarce, texts, Duration::from_secs(1)).await
}

/// Like `exchange_until_closed`, with a given phase and interval between the texts.
async fn exchange_in_phase(
    phase: &watch::Sender<ShutdownPhase>,
    slots_scarce: bool,
    texts: &[&str],
    interval: Duration,
) -> (String, Duration) {
    let (mut peer, stream) = tokio::io::duplex(4096);
    let began = Instant::now();
    let (node, _) = driver::tests::node(0);
    let client = async move {
        for text in texts {
            // A failed write is ignored: the node may have closed, and its response is still read.
            let _ = peer.write_all(text.as_bytes()).await;
            sleep(interval).await;
        }
        let mut received = String::new();
        let _ = peer.read_to_string(&mut received).await;
        // A client closes its side once it has seen the node's close.
        drop(peer);
        received
    };
    let phases = phase.subscribe();
    let slots = TestSlots { scarce: slots_scarce, may_rest: true };
    let exchange = async {
        tokio::join!(client, serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &slots)).0
    };
    let received = tokio::select! {
        received = exchange => received,
        () = node.run_timers() => unreachable!("timers never end"),
    };
    (received, began.elapsed())
}

fn closing() -> ShutdownPhase {
    ShutdownPhase::Closing { response_deadline: Instant::now() + Duration::from_secs(9) }
}

/// Sets the phase to closing after the delay, then never resolves.
async fn start_closing_after(phase: &watch::Sender<ShutdownPhase>, delay: Duration) {
    sleep(delay).await;
    phase.send_replace(closing());
    std::future::pending().await
}

/// Guards against losing a request whose head was only partly received when closing began.
#[tokio::test(start_paused = true)]
async fn a_partly_received_request_is_served_while_the_node_closes() {
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let (first, rest) = API_REQUEST.split_at(30);
    let texts = [API_REQUEST, first, rest];
    let received = tokio::select! {
        result = exchange_in_phase(&phase, false, &texts, Duration::from_millis(400)) => result.0,
        () = start_closing_after(&phase, Duration::from_millis(600)) => unreachable!("never resolves"),
    };
    assert_eq!(received.matches("HTTP/1.1 503 ").count(), 2, "{received}");
    assert!(received.to_lowercase().contains("connection: close"), "{received}");
}

/// Guards against connections that stay open to the end of a shutdown, whose last requests would be lost.
#[tokio::test(start_paused = true)]
async fn idle_connections_are_closed_promptly_during_shutdown() {
    let (phase, _) = watch::channel(ShutdownPhase::Draining);
    let (received, elapsed) = tokio::select! {
        result = exchange_in_phase(&phase, false, &[], Duration::ZERO) => result,
        () = start_closing_after(&phase, Duration::from_millis(100)) => unreachable!("never resolves"),
    };
    assert_eq!(received, "");
    assert!(elapsed <= Duration::from_millis(300), "opened during the shutdown: {elapsed:?}");
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let (_, elapsed) = tokio::select! {
        result = exchange_in_phase(&phase, false, &[API_REQUEST], Duration::ZERO) => result,
        () = start_closing_after(&phase, Duration::from_millis(100)) => unreachable!("never resolves"),
    };
    assert!(elapsed <= Duration::from_millis(110), "opened before the shutdown: {elapsed:?}");
}

/// Guards against a request that arrives late in a shutdown and is still pending when the process is killed.
#[tokio::test(start_paused = true)]
async fn a_request_during_shutdown_is_answered_by_the_response_deadline() {
    let (node, _transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (mut peer, stream) = tokio::io::duplex(4096);
    let response_deadline = Instant::now() + Duration::from_millis(300);
    let (_phase, phases) = watch::channel(ShutdownPhase::Closing { response_deadline });
    let client = async {
        peer.write_all(API_REQUEST.replace("X-Budget-Ms: 1\r", "X-Budget-Ms: 900\r").as_bytes())
            .await
            .expect("write succeeds");
        let mut received = String::new();
        let _ = peer.read_to_string(&mut received).await;
        (received, Instant::now())
    };
    let exchange = async {
        tokio::join!(client, serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &FREE_SLOTS)).0
    };
    let (received, ended_at) = tokio::select! {
        received = exchange => received,
        () = node.run_timers() => unreachable!("timers never end"),
    };
    assert!(received.starts_with("HTTP/1.1 502 "), "{received}");
    assert!(
        ended_at <= response_deadline + Duration::from_millis(30),
        "{:?} late",
        ended_at - response_deadline
    );
}

/// Guards against dropping a connection because setting `TCP_NODELAY` failed.
#[tokio::test]
async fn a_connection_without_tcp_options_is_served() {
    let (mut peer, stream) = driver::tests::stream_without_nodelay();
    let admission = Admission::new(8, &Budget::unlimited());
    let slot = admission.try_admit().expect("a slot");
    let open = ConnectionGuard::new(&Rc::default(), admission.descriptor().await.expect("a descriptor"));
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let mut received = String::new();
    let serve = async {
        let accepted = Accepted { stream, at: Instant::now(), open };
        spawn_local(accepted.serve(slot, node, phases, no_reserve()));
        peer.write_all(HEALTH_CHECK.as_bytes()).await.expect("the node still reads");
        peer.read_to_string(&mut received).await.expect("a response and the close");
    };
    tokio::task::LocalSet::new().run_until(serve).await;
    assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
}

const API_REQUEST: &str =
    "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: pay\r\nX-Budget-Ms: 1\r\nContent-Length: 0\r\n\r\n";
const HEALTH_CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n";

const CLOSE_DEADLINE: Duration = Duration::from_secs(3);

/// Guards against idle connections that fill the slots and keep other clients out.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_after_the_idle_timeout() {
    let (received, elapsed) = exchange_until_closed(false, &[API_REQUEST]).await;
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert!((Duration::from_secs(2)..CLOSE_DEADLINE).contains(&elapsed), "{elapsed:?}");
    let (received, elapsed) = exchange_until_closed(false, &[]).await;
    assert_eq!(received, "");
    assert!((Duration::from_secs(2)..CLOSE_DEADLINE).contains(&elapsed), "{elapsed:?}");
}

/// Guards against health checks that fill the slots: each opens a connection of its own.
#[tokio::test(start_paused = true)]
async fn only_valid_api_requests_keep_their_connection_alive() {
    for (status, text) in
        [("503", HEALTH_CHECK), ("404", "GET /other HTTP/1.1\r\n\r\n"), ("400", "POST /api HTTP/1.1\r\n\r\n")]
    {
        let (received, elapsed) = exchange_until_closed(false, &[text]).await;
        assert!(received.starts_with(&format!("HTTP/1.1 {status} ")), "{received}");
        // The helper waits for one second after the text.
        assert!(elapsed < Duration::from_millis(1100), "{elapsed:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_request_times_out() {
    let head = "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: pay\r\nX-Budget-Ms: 900\r\n";
    let (_, elapsed) = exchange_until_closed(false, &["POST /api", " HTTP/1.1"]).await;
    assert!(elapsed < CLOSE_DEADLINE, "{elapsed:?}");
    let (received, elapsed) = exchange_until_closed(false, &[head, "Content-Length: 9\r\n\r\nhalf"]).await;
    assert!(received.starts_with("HTTP/1.1 408 "), "{received}");
    assert!(elapsed < CLOSE_DEADLINE, "{elapsed:?}");
}

/// Guards against connections without a request that keep clients waiting in the backlog past their deadline.
#[tokio::test(start_paused = true)]
async fn a_connection_without_a_request_is_shed_while_slots_are_scarce() {
    let (received, elapsed) = exchange_until_closed(true, &[]).await;
    assert_eq!(received, "");
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
    let (received, elapsed) = exchange_until_closed(true, &[API_REQUEST]).await;
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert!(elapsed >= Duration::from_secs(2), "a connection that has sent a request is kept: {elapsed:?}");
}

/// Guards against connections that rest on the last free slots and keep other clients out.
#[tokio::test(start_paused = true)]
async fn a_connection_on_a_slot_kept_for_others_is_closed_after_its_response() {
    let (mut peer, stream) = tokio::io::duplex(4096);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let slots = TestSlots { scarce: true, may_rest: false };
    let client = async {
        peer.write_all(API_REQUEST.as_bytes()).await.expect("write succeeds");
        let mut received = String::new();
        peer.read_to_string(&mut received).await.expect("a response and the close");
        received
    };
    let began = Instant::now();
    let (received, ()) = tokio::select! {
        exchange = async { tokio::join!(client, serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &slots)) } => exchange,
        () = node.run_timers() => unreachable!("timers never end"),
    };
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
    assert!(received.to_lowercase().contains("connection: close"), "{received}");
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

/// Checks that the attempt's client has at most this time left. The node's clock does not stand still.
fn assert_time_left(node: &Node, attempt: &driver::Attempt, at_most: Duration) {
    let left = Duration::from_nanos(attempt.client_deadline.saturating_sub(node.clock().now()));
    assert!(left <= at_most, "{left:?} left");
}

/// Guards against forwarding a request that has waited for a slot with time that its client no longer has.
#[tokio::test(start_paused = true)]
async fn the_wait_for_a_slot_is_deducted_from_the_budget() {
    let waited = Duration::from_millis(200);
    let (mut peer, stream) = tokio::io::duplex(4096);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let accepted_at = Instant::now();
    sleep(waited).await;
    let client = async {
        peer.write_all(with_budget(API_REQUEST, 900).as_bytes()).await.expect("write succeeds");
        sleep(Duration::from_millis(10)).await;
        transport.attempts.borrow_mut().pop().expect("an attempt")
    };
    let attempt = tokio::select! {
        attempt = client => attempt,
        () = serve(stream, accepted_at, node.clone(), phases, no_reserve(), &FREE_SLOTS) => unreachable!("still pending"),
    };
    assert_time_left(&node, &attempt, Duration::from_millis(900) - waited);
}

/// Guards against the same for a request whose head has waited for memory.
#[tokio::test(start_paused = true)]
async fn the_wait_for_memory_is_deducted_from_the_budget() {
    let waited = Duration::from_millis(200);
    let (mut peer, stream) = tokio::io::duplex(64 * 1024);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let budget = Budget::new(8 * 1024 * 1024);
    let reserve = ReadAheadReserve::new(0, budget.clone());
    let held = budget.account().hold(Kind::RequestBody, budget.capacity());
    let field = format!("x-long: {}\r\n\r\n", "v".repeat(20 * 1024));
    let request = with_budget(API_REQUEST, 900).trim_end().to_owned() + "\r\n" + &field;
    let sent_at = Instant::now();
    let client = async {
        peer.write_all(request.as_bytes()).await.expect("write succeeds");
        sleep(waited).await;
        assert!(transport.attempts.borrow().is_empty(), "the head waits for memory");
        drop(held);
        sleep(Duration::from_millis(100)).await;
        transport.attempts.borrow_mut().pop().expect("an attempt")
    };
    let attempt = tokio::select! {
        attempt = client => attempt,
        () = serve(stream, sent_at, node.clone(), phases, reserve, &FREE_SLOTS) => unreachable!("still pending"),
    };
    assert_time_left(&node, &attempt, Duration::from_millis(900) - waited);
}

/// Guards against holding a connection for ever whose response cannot be written.
#[tokio::test(start_paused = true)]
async fn a_client_that_does_not_read_its_response_is_closed() {
    let (mut peer, stream) = tokio::io::duplex(64);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let exchange = serve(stream, Instant::now(), node, phases, no_reserve(), &FREE_SLOTS);
    let send_request = async {
        peer.write_all(HEALTH_CHECK.as_bytes()).await.expect("write succeeds");
        std::future::pending().await
    };
    tokio::select! {
        biased;
        () = exchange => {}
        () = send_request => {}
        () = sleep(Duration::from_secs(60)) => panic!("the connection is still open"),
    }
}

/// Guards against responses sent at the very end of the budget, which reach the client too late.
#[test]
fn the_round_trip_allowance_is_deducted_from_the_budget() {
    assert_eq!(remaining_budget(200, 500 * MS, 0), 196 * MS);
    assert_eq!(remaining_budget(200, 500 * MS, 10 * MS), 186 * MS);
    assert_eq!(remaining_budget(9000, 500 * MS, 0), 496 * MS);
    assert_eq!(remaining_budget(3, 500 * MS, 0), 0);
    assert_eq!(remaining_budget(u64::MAX, u64::MAX, u64::MAX), 0);
}

fn with_budget(text: &str, ms: u64) -> String {
    text.replace("X-Budget-Ms: 1\r", &format!("X-Budget-Ms: {ms}\r"))
}

/// Guards against a lingering close of idle connections, which holds their slots for longer.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_without_lingering() {
    for sends_request in [true, false] {
        let (mut peer, stream) = tokio::io::duplex(4096);
        let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
        let (node, _) = driver::tests::node(0);
        let began = Instant::now();
        if sends_request {
            peer.write_all(API_REQUEST.as_bytes()).await.expect("write succeeds");
        }
        tokio::select! {
            () = serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &FREE_SLOTS) => {}
            () = node.run_timers() => unreachable!("timers never end"),
        }
        assert!(began.elapsed() < Duration::from_millis(2250), "{:?}", began.elapsed());
        drop(peer);
    }
}

/// Guards against losing a next request whose first bytes are already in the parser's buffer when closing begins.
#[tokio::test(start_paused = true)]
async fn a_partial_pipelined_request_is_served_while_the_node_closes() {
    let (first, rest) = API_REQUEST.split_at(30);
    let together = format!("{API_REQUEST}{first}");
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let texts = [together.as_str(), rest];
    let (received, _) = tokio::select! {
        result = exchange_in_phase(&phase, false, &texts, Duration::from_millis(400)) => result,
        () = start_closing_after(&phase, Duration::from_millis(200)) => unreachable!("never resolves"),
    };
    assert_eq!(received.matches("HTTP/1.1 503 ").count(), 2, "{received}");
    assert!(received.to_lowercase().contains("connection: close"), "{received}");
}

/// Guards against applying the idle timeout to a connection on which a request has started to arrive.
#[tokio::test(start_paused = true)]
async fn a_request_that_starts_just_before_the_idle_timeout_has_its_full_read_timeout() {
    let (first, rest) = API_REQUEST.split_at(30);
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let texts = [API_REQUEST, first, rest];
    let (received, _) = exchange_in_phase(&phase, false, &texts, Duration::from_millis(2100)).await;
    assert_eq!(received.matches("HTTP/1.1 503 ").count(), 2, "{received}");
    // A request that stays incomplete is closed when its read timeout expires.
    let began = Instant::now();
    exchange_in_phase(&phase, false, &[API_REQUEST, first], Duration::from_millis(2100)).await;
    let elapsed = began.elapsed();
    assert!((Duration::from_millis(4600)..Duration::from_millis(4800)).contains(&elapsed), "{elapsed:?}");
}

/// Guards against a reset: closing a socket with unread input may lose the rest of the response.
#[tokio::test(start_paused = true)]
async fn input_after_the_last_response_is_drained_before_the_close() {
    let (mut peer, stream) = tokio::io::duplex(4096);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let client = async {
        peer.write_all(HEALTH_CHECK.as_bytes()).await.expect("write succeeds");
        let mut received = String::new();
        peer.read_to_string(&mut received).await.expect("a response and the close");
        peer.write_all(&[b'x'; 64 * 1024]).await.expect("the node still reads");
        // The lingering close is bounded, even if the client keeps sending or never closes.
        sleep(Duration::from_millis(400)).await;
        peer.write_all(b"x").await.expect_err("the node has closed");
        received
    };
    let (received, ()) =
        tokio::join!(client, serve(stream, Instant::now(), node, phases, no_reserve(), &FREE_SLOTS));
    assert!(received.starts_with("HTTP/1.1 503 "), "{received}");
}

/// Guards against truncating a response to a slow reader when a shutdown begins.
#[tokio::test(start_paused = true)]
async fn a_response_in_transit_is_completed_when_the_node_closes() {
    const BODY: usize = 60_000;
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (mut peer, stream) = tokio::io::duplex(1024);
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let client = async {
        peer.write_all(with_budget(API_REQUEST, 3000).as_bytes()).await.expect("write succeeds");
        sleep(Duration::from_millis(10)).await;
        let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
        let body = bytes::Bytes::from(vec![b'x'; BODY]);
        node.attempt_ended(
            attempt.id,
            driver::UpstreamResult { body, ..driver::UpstreamResult::new(brookfield::Outcome::Served) },
        );
        sleep(Duration::from_millis(10)).await;
        phase.send_replace(closing());
        sleep(Duration::from_millis(700)).await;
        let mut received = String::new();
        peer.read_to_string(&mut received).await.expect("a response and the close");
        received
    };
    let (received, ()) = tokio::select! {
        result = async { tokio::join!(client, serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &FREE_SLOTS)) } => result,
        () = node.run_timers() => unreachable!("timers never end"),
    };
    assert!(received.starts_with("HTTP/1.1 200 "), "{}", &received[..received.len().min(100)]);
    assert_eq!(received.split("\r\n\r\n").nth(1).map(str::len), Some(BODY));
}
