use std::future::{Future, poll_fn};
use std::task::Poll;

use brookfield::{ListScope, Stage};
use tokio::net::TcpSocket;

use super::*;
use crate::driver::Listed;
use crate::driver::tests::{SECOND, asked, listed, node};

/// The node's own want of descriptors once counted against the backends, and ejected good ones.
#[tokio::test]
async fn out_of_connections_nobody_is_to_blame() {
    let (node, kept) = node(SECOND);
    node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
    let _waiting = node.submit(asked(60 * SECOND));
    let launch = kept.launches.borrow_mut().pop().expect("an attempt");
    let links = Links { idle: SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(links, Clock::start(), 0);
    let ending = upstream.pool().attempt(&node, &launch, &Cell::default(), &Cell::default()).await;
    assert_eq!(ending.outcome, Outcome::Moot);
}

/// Requests were given up sooner than connections that never came up, and blamed nobody: a lost zone went on
/// being tried.
#[tokio::test]
async fn a_connection_that_never_comes_up_counts_also_if_the_request_ends_first() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("an address");
    let listener = socket.listen(1).expect("a listener");
    let endpoint = listener.local_addr().expect("its address");
    // Nobody accepts: once its queue is full a listener says nothing to further connections.
    let mut queue: Vec<_> = (0..16).map(|_| Box::pin(TcpStream::connect(endpoint))).collect();
    for connecting in &mut queue {
        poll_fn(|context| Poll::Ready(connecting.as_mut().poll(context).is_ready())).await;
    }
    let (node, kept) = node(SECOND);
    node.fleet(ListScope::Full, vec![Listed { endpoint, ..listed("s", Stage::InService) }]);
    let _waiting = node.submit(asked(60 * SECOND));
    let mut launch = kept.launches.borrow_mut().pop().expect("an attempt");
    let (_withdraw, withdrawn) = tokio::sync::oneshot::channel();
    launch.withdrawn = withdrawn;
    launch.give_up = node.clock().now() + SECOND / 4;
    let links = Links { idle: SECOND, connect_timeout: SECOND };
    let upstream = Upstream::new(links, node.clock(), 8);
    let ending = upstream.pool().end_of(&node, launch).await;
    assert_eq!(ending.outcome, Outcome::ConnectFailed);
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
    let (node, kept) = node(SECOND);
    node.fleet(ListScope::Full, vec![Listed { endpoint, ..listed("s", Stage::InService) }]);
    let _waiting = node.submit(asked(60 * SECOND));
    let mut launch = kept.launches.borrow_mut().pop().expect("an attempt");
    let (_withdraw, withdrawn) = tokio::sync::oneshot::channel();
    launch.withdrawn = withdrawn;
    launch.send_by = node.clock().now() + SECOND / 4;
    let links = Links { idle: SECOND, connect_timeout: 20 * SECOND };
    let upstream = Upstream::new(links, node.clock(), 8);
    let pool = upstream.pool();
    let work = async {
        let attempt = async {
            let began = node.clock().now();
            let ending = pool.end_of(&node, launch).await;
            (ending, node.clock().now() - began)
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
    let ((ending, took), bytes) = tokio::task::LocalSet::new().run_until(work).await;
    assert_eq!((ending.outcome, bytes), (Outcome::Moot, 0));
    // The system asks again after a second: nobody waits for that.
    assert!(took < SECOND * 9 / 10, "{took}");
}
