use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::connection::serve;
use super::handler::remaining_budget;
use super::read_ahead::CONNECTION_ALLOWANCE_BYTES;
use super::stream::ClientSocket;
use super::*;
use crate::driver;
use crate::driver::tests::{SECOND, backend_entry};
use brookfield::{ListScope, Nanos, Stage};
use tokio::time::Instant;

const MS: Nanos = 1_000_000;
const LIMITS: ServerLimits = ServerLimits { max_connections: 8, read_ahead_reserve_bytes: 16 * 1024 * 1024 };

/// In memory, a close is only seen by reading.
impl ClientSocket for tokio::io::DuplexStream {
    fn close_reported(&self) -> bool {
        false
    }
}

fn no_reserve() -> ReadAheadReserve {
    ReadAheadReserve::new(0)
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
    let exchange =
        async { tokio::join!(client, serve(stream, node.clone(), phases, no_reserve(), || slots_scarce)).0 };
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
    let exchange =
        async { tokio::join!(client, serve(stream, node.clone(), phases, no_reserve(), || false)).0 };
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
    let slot = Arc::new(Semaphore::new(1)).acquire_owned().await.expect("a slot");
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let mut received = String::new();
    let serve = async {
        spawn_connection(stream, &node, slot, &phases, &no_reserve(), || false);
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

/// Guards against holding a connection for ever whose response cannot be written.
#[tokio::test(start_paused = true)]
async fn a_client_that_does_not_read_its_response_is_closed() {
    let (mut peer, stream) = tokio::io::duplex(64);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let exchange = serve(stream, node, phases, no_reserve(), || false);
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
            () = serve(stream, node.clone(), phases, no_reserve(), || false) => {}
            () = node.run_timers() => unreachable!("timers never end"),
        }
        assert!(began.elapsed() < Duration::from_millis(2250), "{:?}", began.elapsed());
        drop(peer);
    }
}

/// Guards against a parser that stops reading while it holds bytes of a next request, and so misses the close.
#[tokio::test(start_paused = true)]
async fn a_client_close_is_noticed_behind_pipelined_input() {
    let pipelined = ["", "POST /api HTTP/1.1\r\nX-Call-Id: 2", API_REQUEST, "\r\n"];
    for input in pipelined {
        for delayed in [false, true] {
            let (node, transport) = driver::tests::node(SECOND);
            node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
            let (mut peer, stream) = tokio::io::duplex(4096);
            let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
            let client = async {
                peer.write_all(with_budget(API_REQUEST, 3000).as_bytes()).await.expect("write succeeds");
                if delayed {
                    sleep(Duration::from_millis(10)).await;
                }
                peer.write_all(input.as_bytes()).await.expect("write succeeds");
                sleep(Duration::from_millis(10)).await;
                assert_eq!(transport.attempts.borrow().len(), 1);
                assert!(node.may_send(transport.attempts.borrow()[0].id), "the attempt is pending");
                let closed_at = Instant::now();
                drop(peer);
                closed_at
            };
            let serve = async {
                serve(stream, node.clone(), phases, no_reserve(), || false).await;
                Instant::now()
            };
            let (closed_at, noticed_at) = tokio::select! {
                times = async { tokio::join!(client, serve) } => times,
                () = node.run_timers() => unreachable!("timers never end"),
            };
            assert!(
                noticed_at - closed_at < Duration::from_millis(50),
                "{input:?}: {:?} later",
                noticed_at - closed_at
            );
            assert_eq!(transport.attempts.borrow().len(), 1, "{input:?}: nothing more is forwarded");
            assert!(!node.may_send(transport.attempts.borrow()[0].id), "{input:?}");
        }
    }
}

/// Guards against unbounded memory for a peer that keeps sending while its request is pending.
#[tokio::test(start_paused = true)]
async fn read_ahead_is_bounded() {
    let (node, _transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (mut peer, stream) = tokio::io::duplex(1024);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let mut sent = 0;
    let flood = async {
        peer.write_all(with_budget(API_REQUEST, 3000).as_bytes()).await.expect("write succeeds");
        loop {
            sent += peer.write(&[b'x'; 512]).await.expect("still open");
        }
    };
    tokio::select! {
        () = flood => unreachable!("the peer sends for ever"),
        () = serve(stream, node.clone(), phases, no_reserve(), || false) => panic!("the request is still pending"),
        () = sleep(Duration::from_secs(1)) => {}
    }
    assert!((32 * 1024..100 * 1024).contains(&sent), "{sent}");
}

/// Guards against unbounded memory for many peers that keep sending: beyond its allowance, what a connection reads ahead
/// counts against a reserve that all connections share, and is given back when it is closed.
#[tokio::test(start_paused = true)]
async fn read_ahead_of_all_connections_is_bounded_by_their_allowances_and_the_reserve() {
    const PEERS: usize = 6;
    const RESERVE_BYTES: usize = 300_000;
    /// What the parser and the pipe hold besides, for each connection.
    const OTHER_BUFFER_BYTES: usize = 68 * 1024;
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let reserve = ReadAheadReserve::new(RESERVE_BYTES);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let sent = Rc::new(Cell::new(0));
    let work = async {
        let mut servers = Vec::new();
        for _ in 0..PEERS {
            let (mut peer, stream) = tokio::io::duplex(1024);
            let (node, phases, reserve, sent) = (node.clone(), phases.clone(), reserve.clone(), sent.clone());
            servers.push(spawn_local(async move { serve(stream, node, phases, reserve, || false).await }));
            spawn_local(async move {
                peer.write_all(with_budget(API_REQUEST, 3000).as_bytes()).await.expect("write succeeds");
                while let Ok(count) = peer.write(&[b'x'; 512]).await {
                    sent.set(sent.get() + count);
                }
            });
        }
        sleep(Duration::from_secs(1)).await;
        assert_eq!(transport.attempts.borrow().len(), PEERS);
        let guaranteed = PEERS * CONNECTION_ALLOWANCE_BYTES + RESERVE_BYTES;
        let bounds = guaranteed..guaranteed + PEERS * OTHER_BUFFER_BYTES;
        assert!(bounds.contains(&sent.get()), "{} in {bounds:?}", sent.get());
        assert_eq!(reserve.available(), 0);
        for server in servers {
            server.abort();
            let _ = server.await;
        }
        assert_eq!(reserve.available(), RESERVE_BYTES);
    };
    tokio::task::LocalSet::new().run_until(work).await;
}

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

impl ConnectionEnd {
    fn apply(self, client: TcpStream) {
        if self == Self::Reset {
            client.set_zero_linger().expect("the option is set");
        }
        drop(client);
    }
}

/// Writes as much of `text` as the system takes within a short time.
async fn write_what_fits(client: &mut TcpStream, text: &str) -> usize {
    let mut written = 0;
    while let Ok(Ok(count @ 1..)) =
        tokio::time::timeout(Duration::from_millis(50), client.write(&text.as_bytes()[written..])).await
    {
        written += count;
    }
    written
}

/// Guards against an attempt for a client that sent more than is read ahead and has gone: without room in the buffer, only
/// the system's report of the close or the reset shows it.
#[tokio::test]
async fn the_close_of_a_client_is_noticed_behind_more_input_than_is_read_ahead() {
    for (bytes, end) in [
        (40_000, ConnectionEnd::Close),
        (70_000, ConnectionEnd::Close),
        (70_000, ConnectionEnd::Reset),
        (3_000_000, ConnectionEnd::Reset),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (node, transport) = driver::tests::node(SECOND);
        node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
        let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
        let limits = ServerLimits { read_ahead_reserve_bytes: 0, ..LIMITS };
        let work = async {
            spawn_local(run(listener, node.clone(), limits, phases));
            let mut client = TcpStream::connect(address).await.expect("a connection");
            let request = with_budget(API_REQUEST, 3000);
            write_what_fits(&mut client, &request.repeat(bytes / request.len())).await;
            while transport.attempts.borrow().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            sleep(Duration::from_millis(20)).await;
            let first = transport.attempts.borrow()[0].id;
            assert!(node.may_send(first), "{bytes} {end:?}: the client is still connected");
            end.apply(client);
            sleep(Duration::from_millis(100)).await;
            assert!(!node.may_send(first), "{bytes} {end:?}: the client has gone");
            assert_eq!(transport.attempts.borrow().len(), 1, "{bytes} {end:?}");
        };
        tokio::task::LocalSet::new().run_until(work).await;
    }
}

/// Guards against forwarding the next request of a client whose close could not arrive, as the node had no room to read
/// what the client had sent before: the client's system answers the response with a reset.
#[tokio::test]
async fn nothing_more_is_forwarded_once_a_response_has_met_a_closed_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let limits = ServerLimits { read_ahead_reserve_bytes: 0, ..LIMITS };
    let work = async {
        spawn_local(run(listener, node.clone(), limits, phases));
        let mut client = TcpStream::connect(address).await.expect("a connection");
        let request = with_budget(API_REQUEST, 3000);
        write_what_fits(&mut client, &request.repeat(1_000_000 / request.len())).await;
        while transport.attempts.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        drop(client);
        sleep(Duration::from_millis(50)).await;
        let first = transport.attempts.borrow()[0].id;
        node.attempt_ended(first, driver::UpstreamResult::new(brookfield::Outcome::Served));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(transport.attempts.borrow().len(), 1);
    };
    tokio::task::LocalSet::new().run_until(work).await;
}

/// The client disconnects after its request was read and before the attempt is written, within one poll of the runtime.
#[tokio::test]
async fn an_attempt_is_not_sent_if_its_client_disconnects_as_it_starts() {
    use std::io::{Read, Write};
    let backend = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let endpoint = backend.local_addr().expect("its address");
    let connection_settings =
        brookfield_settings::ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let upstream = crate::upstream::Upstream::new(connection_settings, driver::Clock::start(), 8);
    let transport = Rc::new(driver::tests::HookedUpstream { upstream, before_attempt: Default::default() });
    let node = driver::tests::node_with_transport(SECOND, "pushed", transport.clone());
    node.update_backends(
        ListScope::Full,
        vec![driver::BackendEntry { endpoint, ..backend_entry("s", Stage::InService) }],
    );
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let received = Rc::new(std::cell::RefCell::new(String::new()));
    let work = async {
        spawn_local(run(listener, node.clone(), LIMITS, phases));
        let seen = received.clone();
        spawn_local(async move {
            let (mut stream, _) = backend.accept().await.expect("a connection");
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = stream.read(&mut chunk).await {
                seen.borrow_mut().push_str(&String::from_utf8_lossy(&chunk[..count]));
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                    .await
                    .expect("write succeeds");
            }
        });
        for (id, waits) in [("warm", true), ("gone", false), ("last", true)] {
            let mut client = std::net::TcpStream::connect(address).expect("a connection");
            let text = with_budget(API_REQUEST, 3000).replace("Call-Id: 1", &format!("Call-Id: {id}"));
            client.write_all(text.as_bytes()).expect("write succeeds");
            if waits {
                client.set_nonblocking(true).expect("not blocking");
                let mut client = TcpStream::from_std(client).expect("in the runtime");
                let mut status_line = [0; 12];
                client.read_exact(&mut status_line).await.expect("a response");
                assert_eq!(&status_line, b"HTTP/1.1 200", "{id}");
                continue;
            }
            let (disconnect_signal, disconnected) = std::sync::mpsc::channel::<()>();
            transport.before_attempt.replace(Some(Box::new(move || {
                client.set_nonblocking(true).expect("not blocking");
                assert!(client.read(&mut [0]).is_err(), "no response yet");
                drop((client, disconnect_signal));
            })));
            // The sender is dropped together with the client.
            while disconnected.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                tokio::task::yield_now().await;
            }
        }
    };
    tokio::task::LocalSet::new().run_until(work).await;
    let received = received.borrow();
    assert!(
        received.contains("warm") && received.contains("last") && !received.contains("gone"),
        "{received}"
    );
}

/// Covers connections that sent a request and closed while still in the accept queue.
#[tokio::test]
async fn a_request_is_not_forwarded_if_its_client_disconnected_before_accept() {
    use std::io::Write;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let send_request = |id: &str| {
        let mut client = std::net::TcpStream::connect(address).expect("a connection");
        let text = with_budget(API_REQUEST, 3000).replace("Call-Id: 1", &format!("Call-Id: {id}"));
        client.write_all(text.as_bytes()).expect("write succeeds");
        client
    };
    for id in ["a", "b", "c"] {
        drop(send_request(id));
    }
    let last = send_request("d");
    let work = async {
        spawn_local(run(listener, node.clone(), LIMITS, phases));
        // Connections are accepted in order of arrival.
        while transport.attempts.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::task::LocalSet::new().run_until(work).await;
    let attempts = transport.attempts.borrow();
    assert_eq!(attempts[0].http.headers["x-call-id"], "d");
    assert_eq!(attempts.len(), 1);
    drop(last);
}

/// Covers connections that sent much, closed and then waited in the accept queue for longer than an attempt may begin.
#[tokio::test]
async fn nothing_is_forwarded_for_clients_that_sent_much_and_disconnected_before_accept() {
    for bytes in [300, 20_000, 70_000, 300_000, 1_500_000] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (node, transport) = driver::tests::node(SECOND);
        node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
        let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
        let request = with_budget(API_REQUEST, 3000);
        let mut written = Vec::new();
        for end in [ConnectionEnd::Close, ConnectionEnd::Reset, ConnectionEnd::Close] {
            let mut client = TcpStream::connect(address).await.expect("a connection");
            written.push(write_what_fits(&mut client, &request.repeat(bytes / request.len())).await);
            end.apply(client);
        }
        sleep(Duration::from_millis(100)).await;
        let mut last = TcpStream::connect(address).await.expect("a connection");
        last.write_all(request.replace("Call-Id: 1", "Call-Id: last").as_bytes())
            .await
            .expect("write succeeds");
        let work = async {
            spawn_local(run(listener, node.clone(), LIMITS, phases));
            while transport.attempts.borrow().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            sleep(Duration::from_millis(100)).await;
        };
        tokio::task::LocalSet::new().run_until(work).await;
        let attempts = transport.attempts.borrow();
        let forwarded: Vec<_> = attempts.iter().map(|attempt| &attempt.http.headers["x-call-id"]).collect();
        assert_eq!(forwarded, ["last"], "{written:?} bytes");
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
    let (received, ()) = tokio::join!(client, serve(stream, node, phases, no_reserve(), || false));
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
        result = async { tokio::join!(client, serve(stream, node.clone(), phases, no_reserve(), || false)) } => result,
        () = node.run_timers() => unreachable!("timers never end"),
    };
    assert!(received.starts_with("HTTP/1.1 200 "), "{}", &received[..received.len().min(100)]);
    assert_eq!(received.split("\r\n\r\n").nth(1).map(str::len), Some(BODY));
}
