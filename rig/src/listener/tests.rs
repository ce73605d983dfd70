use std::time::Duration;

use super::*;

async fn comes_up(at: SocketAddr) -> Option<io::Result<TcpStream>> {
    tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(at)).await.ok()
}

#[tokio::test]
async fn a_door_refuses_falls_silent_and_opens_again_at_the_same_address() {
    let mut door = Door::open().expect("a port");
    let at = door.at();
    let mut open = Vec::new();
    for _ in 0..2 {
        open.push(comes_up(at).await.expect("in time").expect("up"));
        door.accept().await.expect("taken");
        door.shut().expect("shut");
        assert!(comes_up(at).await.expect("at once").is_err(), "refused while shut");
        door.reopen().expect("open");
        open.push(comes_up(at).await.expect("in time").expect("up"));
        tokio::time::timeout(Duration::from_secs(10), door.accept()).await.expect("in time").expect("taken");
        let idle = tokio::time::timeout(Duration::from_millis(50), door.accept()).await;
        assert!(idle.is_err(), "nothing more comes, and the wait for it lets others run");
        door.silence().await.expect("silent");
        // What crosses the change may come up; then nothing does.
        let mut silent = 0;
        for _ in 0..6 {
            silent += u32::from(comes_up(at).await.is_none());
        }
        assert!(silent >= 3, "{silent} of 6 never came up");
        door.reopen().expect("open");
    }
}

#[tokio::test]
async fn a_port_is_held_while_it_is_shut() {
    let door = Door::shut_from_the_start().expect("a port");
    let other = TcpSocket::new_v4().expect("a socket");
    assert!(other.bind(door.at()).is_err());
    assert!(comes_up(door.at()).await.expect("at once").is_err());
}

#[tokio::test]
async fn a_port_is_held_for_whoever_listens_there_by_its_number_alone() {
    let port = ReservedPort::reserve().expect("a port");
    let at = port.address().expect("its address");
    let other = TcpSocket::new_v4().expect("a socket");
    assert!(other.bind(at).is_err(), "one that just wants a free port is not given it");
    for _ in 0..2 {
        let listener = std::net::TcpListener::bind(at).expect("its own process listens");
        assert!(comes_up(at).await.expect("at once").is_ok());
        drop(listener);
        // A process that another test is just starting may have the listener for a moment longer.
        let refused = async { while comes_up(at).await.is_none_or(|came| came.is_ok()) {} };
        let in_time = tokio::time::timeout(Duration::from_secs(10), refused).await;
        assert!(in_time.is_ok(), "refused while nobody listens");
    }
}
