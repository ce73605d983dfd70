use std::time::Duration;

use super::*;

async fn connect(address: SocketAddr) -> Option<io::Result<TcpStream>> {
    tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(address)).await.ok()
}

#[tokio::test]
async fn a_listener_refuses_goes_silent_and_reopens_at_the_same_address() {
    let mut listener = SwitchableListener::bind().expect("bind");
    let address = listener.address();
    let mut open = Vec::new();
    for _ in 0..2 {
        open.push(connect(address).await.expect("connect within the timeout").expect("connect"));
        listener.accept().await.expect("accept");
        listener.refuse().expect("refuse connections");
        assert!(
            connect(address).await.expect("connect within the timeout").is_err(),
            "connection should be refused"
        );
        listener.reopen().expect("reopen");
        open.push(connect(address).await.expect("connect within the timeout").expect("connect"));
        tokio::time::timeout(Duration::from_secs(10), listener.accept())
            .await
            .expect("accept within 10 s")
            .expect("accept");
        let idle = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
        assert!(idle.is_err(), "accept should stay pending without blocking the runtime");
        listener.silence().await.expect("silence");
        // Connections opened during the switch may still be established.
        let mut unanswered = 0;
        for _ in 0..6 {
            unanswered += u32::from(connect(address).await.is_none());
        }
        assert!(unanswered >= 3, "{unanswered} of 6 connections were left unanswered");
        listener.reopen().expect("reopen");
    }
}

#[tokio::test]
async fn a_port_stays_reserved_while_its_listener_refuses() {
    let listener = SwitchableListener::bind_refusing().expect("bind");
    let other = TcpSocket::new_v4().expect("socket");
    assert!(other.bind(listener.address()).is_err());
    assert!(connect(listener.address()).await.expect("connect within the timeout").is_err());
}

#[tokio::test]
async fn a_reserved_port_is_available_only_to_a_process_that_binds_it_by_number() {
    let port = ReservedPort::reserve().expect("reserve a port");
    let address = port.address().expect("local address");
    let other = TcpSocket::new_v4().expect("socket");
    assert!(other.bind(address).is_err(), "a socket without SO_REUSEADDR should not get the port");
    for _ in 0..2 {
        let listener = std::net::TcpListener::bind(address).expect("bind by number");
        assert!(connect(address).await.expect("connect within the timeout").is_ok());
        drop(listener);
        // A child process forked by another test may inherit the listener for a moment.
        let refused = async { while connect(address).await.is_none_or(|result| result.is_ok()) {} };
        let in_time = tokio::time::timeout(Duration::from_secs(10), refused).await;
        assert!(in_time.is_ok(), "connections should be refused while nothing listens");
    }
}
