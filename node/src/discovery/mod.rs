//! Follows the backend list of the discovery service with long polls. [`Poller`] decides when to poll and
//! with which timeouts; this file has the sockets and the clock.

mod poller;

use std::net::SocketAddr;

use brookfield::{ListScope, Stage};
use bytes::Bytes;
use flaxdale_fleet::watch::INSTANCES_PATH;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

use crate::driver::{BackendEntry, Node};
use poller::{Poller, Timeouts};

/// Largest list that is accepted, enough for thousands of backends.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

type Connection = SendRequest<Empty<Bytes>>;

/// The backend list in the format of discovery and of the registry.
#[derive(Deserialize)]
pub struct BackendList {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
    /// Sent by the registry only.
    #[serde(default)]
    incarnation: u64,
}

impl BackendList {
    /// Revision of the list.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Incarnation of the registry.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether this is the full list rather than changes.
    pub fn is_full(&self) -> bool {
        self.all
    }

    pub fn into_entries(self) -> Vec<BackendEntry> {
        self.targets.into_iter().map(Target::into_entry).collect()
    }
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u64,
    state: State,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

impl Target {
    fn into_entry(self) -> BackendEntry {
        BackendEntry {
            uid: self.uid,
            endpoint: self.endpoint,
            zone: self.az,
            kind: self.model,
            cell: self.pod_group,
            stage: match self.state {
                State::Ready => Stage::InService,
                State::Terminating => Stage::Draining,
                State::Gone => Stage::Gone,
            },
            weight: self.capacity_hint,
            boot_ms: self.boot_ms,
        }
    }
}

/// Why a poll returned no list.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("connecting failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    #[error("response body incomplete or too large: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("HTTP status {0}")]
    Status(StatusCode),
    #[error("{0}")]
    InvalidList(#[from] serde_json::Error),
    #[error("timed out")]
    Timeout,
    #[error("invalid HTTP request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
}

impl PollError {
    /// Log message, without details.
    fn message(&self) -> &'static str {
        match self {
            Self::Connect(_) => "connecting to discovery failed",
            Self::Connection(_) | Self::Body(_) => "connection to discovery failed",
            Self::Status(_) => "discovery returned an error status",
            Self::InvalidList(_) => "invalid backend list",
            Self::Timeout => "discovery did not respond in time",
            Self::InvalidRequest(_) => "invalid discovery request",
        }
    }
}

/// A list with the connection that it came over.
type PollResult = Result<(BackendList, Connection), PollError>;

/// Follows the backend list of discovery.
pub struct Watcher {
    node: Node,
    /// Address of discovery, which changes when the configuration is reloaded.
    address: watch::Receiver<SocketAddr>,
    poller: Poller,
    in_flight: JoinSet<(u64, PollResult)>,
    /// Ends the poll with this id, and with it its connection.
    abort_handles: Vec<(u64, AbortHandle)>,
    /// The connection that the last list came over.
    idle: Option<Connection>,
    started_at: Instant,
}

impl Watcher {
    /// Creates a watcher that starts with the list `known`, which may be out of date.
    pub fn new(node: Node, address: watch::Receiver<SocketAddr>, known: Option<BackendList>) -> Self {
        let timeouts = if node.discovery_is_on_request() { Timeouts::ON_REQUEST } else { Timeouts::PUSHED };
        let poller = Poller::new(timeouts, known.as_ref().map(|list| list.rev));
        if let Some(list) = known {
            node.update_backends(ListScope::Cached, list.into_entries());
        }
        Self {
            node,
            address,
            poller,
            in_flight: JoinSet::new(),
            abort_handles: Vec::new(),
            idle: None,
            started_at: Instant::now(),
        }
    }

    /// Follows the list; never returns.
    pub async fn run(mut self) {
        let mut address_changes = self.address.clone();
        loop {
            self.start_poll();
            let due = self.poller.due().map(|due| self.started_at + due);
            tokio::select! {
                biased;
                () = changed(&mut address_changes) => {
                    self.idle = None;
                    self.poller.address_changed(self.started_at.elapsed());
                    self.abort_polls_given_up();
                }
                Some(ended) = self.in_flight.join_next() => match ended {
                    // It was given up after it had ended.
                    Ok((poll, _)) if !self.poller.is_in_flight(poll) => {}
                    Ok((poll, Ok((list, connection)))) => self.list_received(poll, list, connection),
                    Ok((poll, Err(error))) => self.poll_failed(poll, &error),
                    // It was aborted: the tasks do not panic.
                    Err(_) => {}
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
                () = self.node.discovery_requested() => self.poller.poll_requested(self.started_at.elapsed()),
            }
        }
    }

    /// Starts the next poll if one is due.
    fn start_poll(&mut self) {
        let now = self.started_at.elapsed();
        if self.poller.due().is_none_or(|due| due > now) {
            return;
        }
        let idle = self.idle.take().filter(|connection| !connection.is_closed());
        let Some(req) = self.poller.next(now, self.node.take_fetch_request(), idle.is_some()) else { return };
        let target = match req.from {
            Some(rev) => format!("{INSTANCES_PATH}?from={rev}&hold_ms={}", req.hold.as_millis()),
            None => INSTANCES_PATH.to_owned(),
        };
        let address = *self.address.borrow();
        let handle = self.in_flight.spawn_local(async move {
            let result = timeout(req.timeout, fetch_list(address, idle, &target)).await;
            (req.id, result.unwrap_or(Err(PollError::Timeout)))
        });
        self.abort_handles.push((req.id, handle));
    }

    fn list_received(&mut self, poll: u64, list: BackendList, connection: Connection) {
        self.idle = Some(connection);
        let applicable = self.poller.on_response(self.started_at.elapsed(), poll, list.rev, list.all);
        self.abort_polls_given_up();
        if !applicable {
            tracing::warn!(rev = list.rev, "list revision went backwards; fetching the full list");
            return;
        }
        tracing::debug!(
            rev = list.rev,
            whole = list.all,
            lines = list.targets.len(),
            latency_ms = self.poller.latency().as_millis() as u64,
            in_flight = self.abort_handles.len(),
            "poll response received"
        );
        let scope = if list.all { ListScope::Full } else { ListScope::Changes };
        if list.all || !list.targets.is_empty() {
            self.node.update_backends(scope, list.into_entries());
        } else {
            self.node.list_unchanged();
        }
    }

    fn poll_failed(&mut self, poll: u64, error: &PollError) {
        tracing::warn!(cause = %error, "{}", error.message());
        self.poller.on_failure(self.started_at.elapsed(), poll);
        self.abort_polls_given_up();
        self.node.discovery_failed();
    }

    /// Aborts the polls that the poller does not wait for any more, which closes their connections.
    fn abort_polls_given_up(&mut self) {
        let poller = &self.poller;
        self.abort_handles.retain(|(poll, handle)| {
            let in_flight = poller.is_in_flight(*poll);
            if !in_flight {
                handle.abort();
            }
            in_flight
        });
    }
}

/// Fetches the list, over `idle` if it is still open and else over a new connection.
async fn fetch_list(address: SocketAddr, idle: Option<Connection>, target: &str) -> PollResult {
    let mut connection = match idle {
        Some(connection) => connection,
        None => start_http(TcpStream::connect(address).await?).await?,
    };
    connection.ready().await?;
    let request = Request::get(target).header(HOST, address.to_string()).body(Empty::new())?;
    let response = connection.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.map_err(PollError::Body)?;
    if status != StatusCode::OK {
        return Err(PollError::Status(status));
    }
    Ok((serde_json::from_slice(&body.to_bytes())?, connection))
}

/// Resolves when the watched value has changed; never if its sender is gone.
pub async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Starts HTTP on a new connection. `TCP_NODELAY` is not needed: each request is one small write that follows
/// the end of the previous response.
async fn start_http(stream: TcpStream) -> Result<Connection, PollError> {
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(cause = %error, "connection closed with an error");
        }
    });
    Ok(sender)
}

#[cfg(test)]
mod tests;
