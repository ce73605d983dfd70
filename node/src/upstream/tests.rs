use std::future::{Future, poll_fn};
use std::task::Poll;

use brookfield::{ListScope, Stage};
use tokio::net::TcpSocket;

use super::*;
use crate::driver::tests::{
    HookedUpstream, SECOND, backend_entry, client_request, node, node_with_transport,
};
use crate::driver::{BackendEntry, FinalResponse, PendingRequest};
use crate::memory::Budget;

/// Guards against ejecting healthy backends when the node itself is out of connection slots.
#[tokio::test]
async fn a_lack_of_connection_slots_does_not_count_against_the_backend() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let _pending = node.submit(client_request(60 * SECOND));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let settings = ConnectionSettings { idle_timeout: SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, Clock::start(), 0, &Budget::unlimited());
    let result = upstream.pool().exchange(&node, &attempt, &AttemptProgress::default()).await;
    assert_eq!(result.outcome, Outcome::Moot);
}

/// Guards against ejecting healthy backends when the node itself is out of ports or descriptors.
#[test]
fn a_connect_that_fails_for_lack_of_local_resources_does_not_count_against_the_backend() {
    let outcome_of_kind = |kind: std::io::ErrorKind| ConnectError::from(std::io::Error::from(kind)).outcome();
    let outcome_of_errno =
        |errno: rustix::io::Errno| ConnectError::from(std::io::Error::from(errno)).outcome();
    assert_eq!(outcome_of_errno(rustix::io::Errno::ADDRNOTAVAIL), Outcome::Moot);
    assert_eq!(outcome_of_errno(rustix::io::Errno::MFILE), Outcome::Moot);
    assert_eq!(outcome_of_errno(rustix::io::Errno::CONNREFUSED), Outcome::ConnectFailed);
    assert_eq!(outcome_of_kind(std::io::ErrorKind::Other), Outcome::ConnectFailed);
}

/// Requests time out before the connect does; without this an unreachable zone would never be detected.
#[tokio::test]
async fn a_hanging_connect_counts_as_failed_also_if_the_request_times_out_first() {
    let (listener, _queue) = listener_with_full_queue().await;
    let endpoint = listener.local_addr().expect("local address");
    let (node, mut attempt, _handles) = node_with_attempt(endpoint);
    attempt.deadline = node.clock().now() + SECOND / 4;
    let settings = ConnectionSettings { idle_timeout: SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, node.clock(), 8, &Budget::unlimited());
    let result = upstream.pool().run_to_end(&node, attempt).await;
    assert_eq!(result.outcome, Outcome::ConnectFailed);
}

/// A node, its attempt at a backend at this address, and the handles that keep the attempt from being
/// cancelled.
fn node_with_attempt(
    endpoint: SocketAddr,
) -> (Node, Attempt, (PendingRequest, tokio::sync::oneshot::Sender<()>)) {
    let (node, transport) = node(SECOND);
    node.update_backends(
        ListScope::Full,
        vec![BackendEntry { endpoint, ..backend_entry("s", Stage::InService) }],
    );
    let pending = node.submit(client_request(60 * SECOND));
    let mut attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let (cancel, cancelled) = tokio::sync::oneshot::channel();
    attempt.cancelled = cancelled;
    (node, attempt, (pending, cancel))
}

/// A listener with a full accept queue, so that further connects hang, and the connections in its queue.
async fn listener_with_full_queue()
-> (tokio::net::TcpListener, Vec<std::pin::Pin<Box<dyn Future<Output = ()>>>>) {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let listener = socket.listen(1).expect("listen");
    let endpoint = listener.local_addr().expect("local address");
    let connect = || async move {
        let _stream = TcpStream::connect(endpoint).await;
        std::future::pending().await
    };
    let mut queue: Vec<std::pin::Pin<Box<dyn Future<Output = ()>>>> = Vec::new();
    for _ in 0..16 {
        let mut connecting: std::pin::Pin<Box<dyn Future<Output = ()>>> = Box::pin(connect());
        poll_fn(|context| Poll::Ready(connecting.as_mut().poll(context).is_ready())).await;
        queue.push(connecting);
    }
    (listener, queue)
}

/// A retry that is sent after the backends have forgotten the first attempt would run twice.
#[tokio::test]
async fn a_retry_whose_connect_outlasts_its_send_deadline_is_not_written() {
    let (listener, queue) = listener_with_full_queue().await;
    let endpoint = listener.local_addr().expect("local address");
    let (node, mut attempt, _handles) = node_with_attempt(endpoint);
    attempt.send_by = node.clock().now() + SECOND / 4;
    let settings = ConnectionSettings { idle_timeout: SECOND, connect_timeout: 20 * SECOND };
    let upstream = Upstream::new(settings, node.clock(), 8, &Budget::unlimited());
    let pool = upstream.pool();
    let work = async {
        let attempt = async {
            let started_at = node.clock().now();
            let result = pool.run_to_end(&node, attempt).await;
            (result, node.clock().now() - started_at)
        };
        // From now on connects succeed, this one once the kernel retransmits the SYN.
        drop(queue);
        let received = async {
            let mut bytes = 0;
            while let Ok(Ok((mut stream, _))) = timeout(Duration::from_secs(3), listener.accept()).await {
                let mut buffer = Vec::new();
                let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut buffer);
                let _ = timeout(Duration::from_millis(500), read).await;
                bytes += buffer.len();
            }
            bytes
        };
        tokio::join!(attempt, received)
    };
    let ((result, elapsed), bytes) = tokio::task::LocalSet::new().run_until(work).await;
    assert_eq!((result.outcome, bytes), (Outcome::Moot, 0));
    // The kernel retransmits after a second; the attempt must not wait for it.
    assert!(elapsed < SECOND * 9 / 10, "{elapsed}");
}

/// Starts a backend that responds to each request with this body and passes on the connections that it
/// accepts.
fn spawn_backend(body: &'static str) -> (SocketAddr, std::sync::mpsc::Receiver<std::net::TcpStream>) {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("local address");
    let (accepted, connections) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(copy) = stream.try_clone() else { return };
            if accepted.send(copy).is_err() {
                return;
            }
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                for line in BufReader::new(stream).lines() {
                    let Ok(line) = line else { return };
                    if line.is_empty() {
                        let response =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        let _ = writer.write_all(response.as_bytes());
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Sends two requests to one backend, the second over the idle connection of the first if that is still
/// usable. The event happens to that connection as the second attempt starts.
async fn second_response(event: impl FnOnce(std::net::TcpStream) + 'static) -> FinalResponse {
    let (endpoint, connections) = spawn_backend("right");
    let settings = ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, Clock::start(), 8, &Budget::unlimited());
    let transport = Rc::new(HookedUpstream { upstream, before_attempt: RefCell::default() });
    let node = node_with_transport(SECOND, "pushed", transport.clone());
    node.update_backends(
        ListScope::Full,
        vec![BackendEntry { endpoint, ..backend_entry("s", Stage::InService) }],
    );
    let work = async {
        let first = node.submit(client_request(60 * SECOND)).response().await;
        assert!(matches!(first, FinalResponse::Served(body) if body == "right"));
        let connection = connections.recv().expect("a connection");
        transport.before_attempt.replace(Some(Box::new(move || event(connection))));
        node.submit(client_request(60 * SECOND)).response().await
    };
    tokio::task::LocalSet::new().run_until(work).await
}

/// Guards against taking a response that the backend sent twice for the response to the next request.
#[tokio::test]
async fn a_duplicate_response_is_not_taken_for_that_of_the_next_request() {
    let response = second_response(|mut connection| {
        let stale = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
        std::io::Write::write_all(&mut connection, stale).expect("write");
    });
    assert!(matches!(response.await, FinalResponse::Served(body) if body == "right"));
}

/// A request that is written to a closed connection may have run, as far as the node can tell.
#[tokio::test]
async fn a_connection_that_the_backend_has_just_closed_is_not_written_to() {
    let response = second_response(|connection| {
        connection.shutdown(std::net::Shutdown::Both).expect("shut down");
    });
    assert!(matches!(response.await, FinalResponse::Served(body) if body == "right"));
}

/// As above, with the duplicate arriving some milliseconds after the first response.
#[tokio::test(start_paused = true)]
async fn a_late_duplicate_response_is_not_taken_for_that_of_the_next_request() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let endpoint = listener.local_addr().expect("local address");
    let settings = ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, Clock::start(), 8, &Budget::unlimited());
    let transport = Rc::new(HookedUpstream { upstream, before_attempt: RefCell::default() });
    let node = node_with_transport(SECOND, "pushed", transport);
    node.update_backends(
        ListScope::Full,
        vec![BackendEntry { endpoint, ..backend_entry("s", Stage::InService) }],
    );
    let connections: Rc<RefCell<Vec<Rc<TcpStream>>>> = Rc::default();
    let response_with =
        |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let work = async {
        let accepted = connections.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let stream = Rc::new(stream);
                accepted.borrow_mut().push(stream.clone());
                spawn_local(async move {
                    // Only the first request on a connection gets a response.
                    let (mut chunk, mut is_first) = ([0; 4096], true);
                    loop {
                        stream.readable().await.expect("readable");
                        match stream.try_read(&mut chunk) {
                            Ok(0) => return,
                            Ok(_) if std::mem::take(&mut is_first) => {
                                assert!(stream.try_write(response_with("right").as_bytes()).is_ok());
                            }
                            Ok(_) => {}
                            Err(_) => {}
                        }
                    }
                });
            }
        });
        let first = node.submit(client_request(60 * SECOND)).response().await;
        assert!(matches!(first, FinalResponse::Served(body) if body == "right"));
        let next = node.submit(client_request(60 * SECOND));
        // Lets the node write the next request, if it would do so at once.
        for _ in 0..50 {
            yield_now().await;
        }
        let _ = connections.borrow()[0].try_write(response_with("stale").as_bytes());
        next.response().await
    };
    let response = tokio::task::LocalSet::new().run_until(work).await;
    assert!(matches!(&response, FinalResponse::Served(body) if body == "right"), "{response:?}");
    assert_eq!(connections.borrow().len(), 2);
}

/// Guards against idle connections that hold memory for which requests wait, and against closing those in regular use.
#[tokio::test]
async fn idle_connections_give_their_memory_back() {
    let (endpoint, _connections) = spawn_backend("yes");
    let (node, attempt, _handles) = node_with_attempt(endpoint);
    let settings = ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let budget = Budget::unlimited();
    let upstream = Upstream::new(settings, node.clock(), 8, &budget);
    let pool = upstream.pool();
    let held = || budget.held().find(|(kind, _)| *kind == Kind::BackendConnection).map(|(_, bytes)| bytes);
    let use_pool = async {
        let result = pool.run_to_end(&node, attempt).await;
        assert_eq!(result.outcome, Outcome::Served);
        assert_eq!(held(), Some(CONNECTION_BYTES));
        assert_eq!(pool.release_idle(CONNECTION_BYTES), 0, "it was in use just now");
        sleep(Duration::from_nanos(2 * MIN_RELEASED_IDLE_NS)).await;
        assert_eq!(pool.release_idle(CONNECTION_BYTES), CONNECTION_BYTES);
        // Its task ends once it has noticed.
        while held() != Some(0) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::task::LocalSet::new().run_until(use_pool).await;
}
