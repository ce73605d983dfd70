use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::driver::tests::stream_without_nodelay;

const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// Guards against failing every poll on a socket that rejects `TCP_NODELAY`.
#[tokio::test]
async fn the_list_is_fetched_over_a_socket_without_nodelay() {
    let (mut peer, stream) = stream_without_nodelay();
    let fetched = async { fetch_list(UNUSED_ADDRESS, Some(start_http(stream).await?), INSTANCES_PATH).await };
    let responded = async {
        let mut request = [0; 4];
        peer.read_exact(&mut request).await.expect("a request");
        let list = r#"{"rev":7,"all":true,"targets":[]}"#;
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        peer.write_all(response.as_bytes()).await.expect("the node still reads");
    };
    let both = async { tokio::join!(fetched, responded).0 };
    let (list, _) = tokio::task::LocalSet::new().run_until(both).await.expect("a list");
    assert_eq!(list.rev, 7);
}
