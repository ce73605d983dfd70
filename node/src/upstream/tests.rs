use std::future::{Future, poll_fn};
use std::task::Poll;

use brookfield::{ListScope, Stage};
use tokio::net::TcpSocket;

use super::*;
use crate::driver::tests::{
    HookedUpstream, SECOND, backend_entry, client_request, node, node_with_transport,
};
use crate::driver::{BackendEntry, FinalResponse, PendingRequest};

/// The node's own want of descriptors once counted against the backends, and ejected good ones.
#[tokio::test]
async fn out_of_connections_nobody_is_to_blame() {
    let (node, transport) = node(SECOND);
    node.update_backends(ListScope::Full, vec![backend_entry("s", Stage::InService)]);
    let _waiting = node.submit(client_request(60 * SECOND));
    let attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let settings = ConnectionSettings { idle_timeout: SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, Clock::start(), 0);
    let result = upstream.pool().exchange(&node, &attempt, &Cell::default(), &Cell::default()).await;
    assert_eq!(result.outcome, Outcome::Moot);
}

/// A node that had run out of local ports held it against every backend that it tried, and ejected healthy ones.
#[test]
fn a_connect_that_fails_for_want_of_our_own_blames_nobody() {
    let outcome = |kind: std::io::ErrorKind| ConnectError::from(std::io::Error::from(kind)).outcome();
    let errno = |errno: rustix::io::Errno| ConnectError::from(std::io::Error::from(errno)).outcome();
    assert_eq!(errno(rustix::io::Errno::ADDRNOTAVAIL), Outcome::Moot);
    assert_eq!(errno(rustix::io::Errno::MFILE), Outcome::Moot);
    assert_eq!(errno(rustix::io::Errno::CONNREFUSED), Outcome::ConnectFailed);
    assert_eq!(outcome(std::io::ErrorKind::Other), Outcome::ConnectFailed);
}

/// Requests were given up sooner than connections that never came up, and blamed nobody: a lost zone went on
/// being tried.
#[tokio::test]
async fn a_connection_that_never_comes_up_counts_also_if_the_request_ends_first() {
    let (listener, _queue) = silent().await;
    let endpoint = listener.local_addr().expect("its address");
    let (node, mut attempt, _held) = node_with_attempt(endpoint);
    attempt.deadline = node.clock().now() + SECOND / 4;
    let settings = ConnectionSettings { idle_timeout: SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, node.clock(), 8);
    let result = upstream.pool().end_of(&node, attempt).await;
    assert_eq!(result.outcome, Outcome::ConnectFailed);
}

/// A node and its attempt at a backend there, and what keeps the attempt from being withdrawn.
fn node_with_attempt(
    endpoint: SocketAddr,
) -> (Node, Attempt, (PendingRequest, tokio::sync::oneshot::Sender<()>)) {
    let (node, transport) = node(SECOND);
    node.update_backends(
        ListScope::Full,
        vec![BackendEntry { endpoint, ..backend_entry("s", Stage::InService) }],
    );
    let waiting = node.submit(client_request(60 * SECOND));
    let mut attempt = transport.attempts.borrow_mut().pop().expect("an attempt");
    let (withdraw, withdrawn) = tokio::sync::oneshot::channel();
    attempt.cancelled = withdrawn;
    (node, attempt, (waiting, withdraw))
}

/// A listener whose queue is full: it says nothing to further connections until it accepts.
async fn silent() -> (tokio::net::TcpListener, Vec<std::pin::Pin<Box<dyn Future<Output = ()>>>>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("an address");
    let listener = socket.listen(1).expect("a listener");
    let endpoint = listener.local_addr().expect("its address");
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

/// A connection that came up late carried a repeat to a group that had forgotten the first copy: it ran twice.
#[tokio::test]
async fn a_repeat_whose_connection_comes_up_past_its_window_is_not_written() {
    let (listener, queue) = silent().await;
    let endpoint = listener.local_addr().expect("its address");
    let (node, mut attempt, _held) = node_with_attempt(endpoint);
    attempt.send_by = node.clock().now() + SECOND / 4;
    let settings = ConnectionSettings { idle_timeout: SECOND, connect_timeout: 20 * SECOND };
    let upstream = Upstream::new(settings, node.clock(), 8);
    let pool = upstream.pool();
    let work = async {
        let attempt = async {
            let began = node.clock().now();
            let result = pool.end_of(&node, attempt).await;
            (result, node.clock().now() - began)
        };
        // From now on connections come up, this one when its system asks again.
        drop(queue);
        let taken = async {
            let mut bytes = 0;
            while let Ok(Ok((mut stream, _))) = timeout(Duration::from_secs(3), listener.accept()).await {
                let mut got = Vec::new();
                let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut got);
                let _ = timeout(Duration::from_millis(500), read).await;
                bytes += got.len();
            }
            bytes
        };
        tokio::join!(attempt, taken)
    };
    let ((result, took), bytes) = tokio::task::LocalSet::new().run_until(work).await;
    assert_eq!((result.outcome, bytes), (Outcome::Moot, 0));
    // The system asks again after a second: nobody waits for that.
    assert!(took < SECOND * 9 / 10, "{took}");
}

/// A backend that answers each request, and hands out the connections that it has accepted.
fn answering(body: &'static str) -> (SocketAddr, std::sync::mpsc::Receiver<std::net::TcpStream>) {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let at = listener.local_addr().expect("its address");
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
                        let answer =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        let _ = writer.write_all(answer.as_bytes());
                    }
                }
            });
        }
    });
    (at, connections)
}

/// Two requests to one backend, the second over the connection that the first has left, if it still is any good. The
/// event happens to that connection as the second is launched.
async fn second_answer(event: impl FnOnce(std::net::TcpStream) + 'static) -> FinalResponse {
    let (endpoint, connections) = answering("right");
    let settings = ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, Clock::start(), 8);
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

/// An answer that came twice, the second time as the next request was about to be written, was taken for the answer to
/// that one.
#[tokio::test]
async fn a_second_answer_that_has_come_is_no_answer_to_the_next_request() {
    let response = second_answer(|mut connection| {
        let stale = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
        std::io::Write::write_all(&mut connection, stale).expect("written");
    });
    assert!(matches!(response.await, FinalResponse::Served(body) if body == "right"));
}

/// A request written to a connection that its backend has closed may have run, for all that the node can know.
#[tokio::test]
async fn a_connection_that_has_just_been_closed_is_not_written_to() {
    let response = second_answer(|connection| {
        connection.shutdown(std::net::Shutdown::Both).expect("closed");
    });
    assert!(matches!(response.await, FinalResponse::Served(body) if body == "right"));
}

/// The second answer came some milliseconds after the first, and the next request had been written in between.
#[tokio::test(start_paused = true)]
async fn a_second_answer_that_comes_late_is_no_answer_to_the_next_request() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let endpoint = listener.local_addr().expect("its address");
    let settings = ConnectionSettings { idle_timeout: 60 * SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(settings, Clock::start(), 8);
    let transport = Rc::new(HookedUpstream { upstream, before_attempt: RefCell::default() });
    let node = node_with_transport(SECOND, "pushed", transport);
    node.update_backends(
        ListScope::Full,
        vec![BackendEntry { endpoint, ..backend_entry("s", Stage::InService) }],
    );
    let connections: Rc<RefCell<Vec<Rc<TcpStream>>>> = Rc::default();
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let work = async {
        let accepted = connections.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let stream = Rc::new(stream);
                accepted.borrow_mut().push(stream.clone());
                spawn_local(async move {
                    // The answer to the next request on a connection takes longer than anybody waits here.
                    let (mut chunk, mut answers) = ([0; 4096], true);
                    loop {
                        stream.readable().await.expect("readable");
                        match stream.try_read(&mut chunk) {
                            Ok(0) => return,
                            Ok(_) if std::mem::take(&mut answers) => {
                                assert!(stream.try_write(answer("right").as_bytes()).is_ok());
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
        // Whatever would be written at once has been by now.
        for _ in 0..50 {
            yield_now().await;
        }
        let _ = connections.borrow()[0].try_write(answer("stale").as_bytes());
        next.response().await
    };
    let response = tokio::task::LocalSet::new().run_until(work).await;
    assert!(matches!(&response, FinalResponse::Served(body) if body == "right"), "{response:?}");
    assert_eq!(connections.borrow().len(), 2);
}
