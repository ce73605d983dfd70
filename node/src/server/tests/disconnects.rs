//! Clients that close or reset their connections, and the read-ahead by which that is noticed.

use super::*;
use crate::driver::tests::RecordingTransport;
use crate::server::read_ahead::CONNECTION_ALLOWANCE_BYTES;

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
                serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &FREE_SLOTS).await;
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
        () = serve(stream, Instant::now(), node.clone(), phases, no_reserve(), &FREE_SLOTS) => panic!("the request is still pending"),
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
    let reserve = ReadAheadReserve::new(RESERVE_BYTES, Budget::unlimited());
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let sent = Rc::new(Cell::new(0));
    let work = async {
        let mut servers = Vec::new();
        for id in 0..PEERS {
            let (mut peer, stream) = tokio::io::duplex(1024);
            // Every request has an id of its own.
            let request =
                with_budget(API_REQUEST, 3000).replace("X-Call-Id: 1\r", &format!("X-Call-Id: {id}\r"));
            let (node, phases, reserve, sent) = (node.clone(), phases.clone(), reserve.clone(), sent.clone());
            servers.push(spawn_local(async move {
                serve(stream, Instant::now(), node, phases, reserve, &FREE_SLOTS).await
            }));
            spawn_local(async move {
                peer.write_all(request.as_bytes()).await.expect("write succeeds");
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

/// Serves a client without a reserve for the read-ahead. The client sends `bytes` of requests at once, or as much as fits;
/// `then` runs when the first one has been forwarded.
async fn with_pending_burst(bytes: usize, then: impl AsyncFnOnce(TcpStream, &Node, &RecordingTransport)) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (node, transport) = driver::tests::node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let limits = ServerLimits { read_ahead_reserve_bytes: 0, ..LIMITS };
    let work = async {
        spawn_local(run(listener, node.clone(), limits, Budget::unlimited(), phases));
        let mut client = TcpStream::connect(address).await.expect("a connection");
        let request = with_budget(API_REQUEST, 3000);
        write_what_fits(&mut client, &request.repeat(bytes / request.len())).await;
        while transport.attempts.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        then(client, &node, &transport).await;
    };
    tokio::task::LocalSet::new().run_until(work).await;
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
        with_pending_burst(bytes, async |client, node, transport| {
            sleep(Duration::from_millis(20)).await;
            let first = transport.attempts.borrow()[0].id;
            assert!(node.may_send(first), "{bytes} {end:?}: the client is still connected");
            end.apply(client);
            sleep(Duration::from_millis(100)).await;
            assert!(!node.may_send(first), "{bytes} {end:?}: the client has gone");
            assert_eq!(transport.attempts.borrow().len(), 1, "{bytes} {end:?}");
        })
        .await;
    }
}

/// Guards against forwarding the next request of a client whose close could not arrive, as the node had no room to read
/// what the client had sent before: the client's system answers the response with a reset.
#[tokio::test]
async fn nothing_more_is_forwarded_once_a_response_has_met_a_closed_connection() {
    with_pending_burst(1_000_000, async |client, node, transport| {
        drop(client);
        sleep(Duration::from_millis(50)).await;
        let first = transport.attempts.borrow()[0].id;
        node.attempt_ended(first, driver::UpstreamResult::new(brookfield::Outcome::Served));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(transport.attempts.borrow().len(), 1);
    })
    .await;
}

/// The client disconnects after its request was read and before the attempt is written, within one poll of the runtime.
#[tokio::test]
async fn an_attempt_is_not_sent_if_its_client_disconnects_as_it_starts() {
    use std::io::{Read, Write};
    let backend = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let endpoint = backend.local_addr().expect("its address");
    let connection_settings =
        brookfield_settings::ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let upstream =
        crate::upstream::Upstream::new(connection_settings, driver::Clock::start(), 8, &Budget::unlimited());
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
        spawn_local(run(listener, node.clone(), LIMITS, Budget::unlimited(), phases));
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
        spawn_local(run(listener, node.clone(), LIMITS, Budget::unlimited(), phases));
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
            spawn_local(run(listener, node.clone(), LIMITS, Budget::unlimited(), phases));
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
