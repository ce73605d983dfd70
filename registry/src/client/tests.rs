use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Starts a replica that answers one request with this status and body.
async fn replica(status: u16, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let response = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes()).await.expect("a written response");
    });
    address
}

/// Guards against a client that takes one full store for the response of the whole registry.
#[tokio::test]
async fn a_replica_whose_store_has_failed_does_not_keep_a_client_from_the_others() {
    let full = replica(507, "{\"error\":\"the store rejects writes\"}").await;
    let mut client = Client::new(&[full, replica(200, "7").await]);
    assert_eq!(client.get::<u64>("/").await.expect("a response"), 7);
    let full = replica(507, "{\"error\":\"the store rejects writes\"}").await;
    let mut client = Client::new(&[full, replica(503, "{\"error\":\"no leader is known\"}").await]);
    let error = client.get::<u64>("/").await.expect_err("an error");
    assert!(
        matches!(&error, ClientError::Rejected { status: 507, text } if text.contains("store")),
        "{error}"
    );
}
