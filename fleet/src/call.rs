//! One HTTP call after the other over a connection that is kept while it lasts. Time and size are bounded; a call that is
//! given up takes its connection with it, so that no late answer is taken for the next call's.

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

/// A connection that is not up by then does not come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection: the call was not made.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// It broke; it may have been carried out.
    #[error("the call broke: {0}")]
    Http(#[from] hyper::Error),
    /// Its answer broke, or was too long.
    #[error("the answer broke or was too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No answer in time; it may have been carried out.
    #[error("no answer in time")]
    Timeout,
    /// What was asked can't be asked.
    #[error("no such request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Call {
    /// GET where there is no body, else POST.
    pub body: Option<Bytes>,
    /// Path and query.
    pub path_and_query: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// It takes no longer.
    pub timeout: Duration,
    /// Bytes that the answer may have.
    pub max_response_bytes: usize,
}

impl Call {
    /// A GET.
    pub fn get(path_and_query: impl Into<String>, timeout: Duration, max_response_bytes: usize) -> Self {
        Self {
            body: None,
            path_and_query: path_and_query.into(),
            headers: Vec::new(),
            timeout,
            max_response_bytes,
        }
    }

    /// A POST.
    pub fn post(
        path_and_query: impl Into<String>,
        body: Vec<u8>,
        timeout: Duration,
        max_response_bytes: usize,
    ) -> Self {
        Self { body: Some(body.into()), ..Self::get(path_and_query, timeout, max_response_bytes) }
    }
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// How old its list may be at most; none if the replica can't tell.
    pub fn list_age(&self) -> Option<Duration> {
        self.header(LIST_AGE_HEADER)?.parse().ok().map(Duration::from_millis)
    }
}

/// Where calls go, with the connection that is open to there.
pub struct HttpClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// No connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Where calls go.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call. It goes out at most once: a connection that had been closed meanwhile is noticed before.
    pub async fn call(&mut self, call: &Call) -> Result<Response, CallError> {
        // Taken, so that it goes with a call that is dropped half way.
        let sender = self.sender.take().filter(|sender| !sender.is_closed());
        let (sender, answer) =
            timeout(call.timeout, self.exchange(sender, call)).await.map_err(|_| CallError::Timeout)??;
        self.sender = Some(sender);
        Ok(answer)
    }

    async fn exchange(
        &self,
        sender: Option<SendRequest<Full<Bytes>>>,
        call: &Call,
    ) -> Result<(SendRequest<Full<Bytes>>, Response), CallError> {
        let kept = match sender {
            Some(mut kept) => kept.ready().await.is_ok().then_some(kept),
            None => None,
        };
        let mut sender = match kept {
            Some(kept) => kept,
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
        let (head, body) = sender.send_request(request).await?.into_parts();
        let body =
            Limited::new(body, call.max_response_bytes).collect().await.map_err(CallError::Body)?.to_bytes();
        Ok((sender, Response { status: head.status, headers: head.headers, body }))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let timed_out = |_| CallError::Connect(std::io::ErrorKind::TimedOut.into());
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await.map_err(timed_out)?;
        let stream = stream.map_err(CallError::Connect)?;
        // Some systems refuse the option on a connection that has just gone; the call will show it.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(cause = %error, "the connection broke");
            }
        });
        Ok(sender)
    }
}
