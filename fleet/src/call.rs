//! HTTP requests sent one after another over a persistent connection, bounded in time and size. A request that is
//! abandoned closes its connection, so a late response is never taken for the response to the next request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::watch::LIST_AGE_HEADER;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established: the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection failed during the request, which may have been processed.
    #[error("HTTP request failed: {0}")]
    Http(#[from] hyper::Error),
    /// The response body was incomplete or exceeded the limit.
    #[error("response body incomplete or too large: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No response arrived in time; the request may have been processed.
    #[error("no response within the timeout")]
    Timeout,
    /// The request is not valid HTTP.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// The body: the method is POST if there is one, and GET otherwise.
    pub body: Option<Bytes>,
    /// The path and query of the URI.
    pub path_and_query: String,
    /// Headers to be sent besides `host`.
    pub headers: Vec<(&'static str, String)>,
    /// Time limit for the whole call, including connecting.
    pub timeout: Duration,
    /// Size limit of the response body.
    pub max_response_bytes: usize,
}

impl Call {
    /// Creates a GET request.
    pub fn get(path_and_query: impl Into<String>, timeout: Duration, max_response_bytes: usize) -> Self {
        Self {
            body: None,
            path_and_query: path_and_query.into(),
            headers: Vec::new(),
            timeout,
            max_response_bytes,
        }
    }

    /// Creates a POST request.
    pub fn post(
        path_and_query: impl Into<String>,
        body: Vec<u8>,
        timeout: Duration,
        max_response_bytes: usize,
    ) -> Self {
        Self { body: Some(body.into()), ..Self::get(path_and_query, timeout, max_response_bytes) }
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

impl Response {
    /// Returns the value of a header, if it is present and printable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the upper bound of the list's age; `None` if the replica does not know it.
    pub fn list_age(&self) -> Option<Duration> {
        self.header(LIST_AGE_HEADER)?.parse().ok().map(Duration::from_millis)
    }
}

/// An HTTP client for one address that reuses its connection.
pub struct HttpClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// Creates a client that connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads its response. The request is sent at most once: a connection that the server has
    /// closed is replaced before the request is written.
    pub async fn call(&mut self, call: &Call) -> Result<Response, CallError> {
        // Moved out of `self`, so that dropping this future closes the connection.
        let sender = self.sender.take().filter(|sender| !sender.is_closed());
        let (sender, response) =
            timeout(call.timeout, self.exchange(sender, call)).await.map_err(|_| CallError::Timeout)??;
        self.sender = Some(sender);
        Ok(response)
    }

    async fn exchange(
        &self,
        sender: Option<SendRequest<Full<Bytes>>>,
        call: &Call,
    ) -> Result<(SendRequest<Full<Bytes>>, Response), CallError> {
        let ready_sender = match sender {
            Some(mut ready_sender) => ready_sender.ready().await.is_ok().then_some(ready_sender),
            None => None,
        };
        let mut sender = match ready_sender {
            Some(ready_sender) => ready_sender,
            None => self.connect().await?,
        };
        sender.ready().await?;
        let method = if call.body.is_some() { Method::POST } else { Method::GET };
        let mut request = Request::builder()
            .method(method)
            .uri(call.path_and_query.as_str())
            .header(HOST, self.address.to_string());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(call.body.clone().unwrap_or_default()))?;
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let body =
            Limited::new(body, call.max_response_bytes).collect().await.map_err(CallError::Body)?.to_bytes();
        Ok((sender, Response { status: parts.status, headers: parts.headers, body }))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let timed_out = |_| CallError::Connect(std::io::ErrorKind::TimedOut.into());
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await.map_err(timed_out)?;
        let stream = stream.map_err(CallError::Connect)?;
        // Some systems refuse the option on a closed connection; the request will then fail.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(cause = %error, "connection closed with an error");
            }
        });
        Ok(sender)
    }
}
