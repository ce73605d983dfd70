use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::driver::tests::stream_without_nodelay;

const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// No list ever arrived where the option failed: each call ended before it was made.
#[tokio::test]
async fn a_connection_that_takes_no_option_brings_the_list() {
    let (mut peer, stream) = stream_without_nodelay();
    let called = async { list_at(NOWHERE, Some(talk(stream).await?), INSTANCES_PATH).await };
    let answered = async {
        let mut asked = [0; 4];
        peer.read_exact(&mut asked).await.expect("a call");
        let list = r#"{"rev":7,"all":true,"targets":[]}"#;
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        peer.write_all(answer.as_bytes()).await.expect("the node still reads");
    };
    let both = async { tokio::join!(called, answered).0 };
    let (list, _) = tokio::task::LocalSet::new().run_until(both).await.expect("a list");
    assert_eq!(list.rev, 7);
}
