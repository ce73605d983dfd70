//! The list of backends: one watch on discovery, renewed at once and for ever. When what is asked is decided in
//! [`Poller`]; here are its sockets and its clock.

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
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

use crate::driver::{BackendEntry, Node};
use poller::{Poller, Timeouts};

/// A list of thousands of backends fits.
pub const MAX_LIST: usize = 4 * 1024 * 1024;

type Link = SendRequest<Empty<Bytes>>;

/// The list as discovery words it.
#[derive(Deserialize)]
pub struct List {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
    /// Told by the fleet's own registry alone.
    #[serde(default)]
    incarnation: u64,
}

impl List {
    /// Its version.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// The registry's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether it is the whole list.
    pub fn is_whole(&self) -> bool {
        self.all
    }

    /// Its lines, as the driver takes them.
    pub fn listed(self) -> Vec<BackendEntry> {
        self.targets.into_iter().map(Target::listed).collect()
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
    fn listed(self) -> BackendEntry {
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

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the call broke: {0}")]
    Broken(#[from] hyper::Error),
    #[error("the answer broke or was too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    #[error("silent")]
    Late,
    #[error("no such request: {0}")]
    Request(#[from] hyper::http::Error),
}

impl CallError {
    /// What went wrong, without figures.
    fn kind(&self) -> &'static str {
        match self {
            Self::Connect(_) => "no connection",
            Self::Broken(_) | Self::Body(_) => "the call broke",
            Self::Status(_) => "turned away",
            Self::Malformed(_) => "invalid backend list",
            Self::Late => "no answer in time",
            Self::Request(_) => "no such request",
        }
    }
}

/// A list with the connection that brought it.
type Called = Result<(List, Link), CallError>;

/// Follows the list.
pub struct Watch {
    node: Node,
    /// Where discovery is, which a new configuration may change.
    at: watch::Receiver<SocketAddr>,
    poller: Poller,
    calls: JoinSet<(u64, Called)>,
    /// The connection that brought the last list.
    kept: Option<Link>,
    began: Instant,
}

impl Watch {
    /// A watch at `at` that goes on from `known`, which may be old.
    pub fn new(node: Node, at: watch::Receiver<SocketAddr>, known: Option<List>) -> Self {
        let timeouts = if node.asks_discovery() { Timeouts::ASKED } else { Timeouts::PUSHED };
        let poller = Poller::new(timeouts, known.as_ref().map(|list| list.rev));
        if let Some(list) = known {
            node.update_backends(ListScope::Cached, list.listed());
        }
        Self { node, at, poller, calls: JoinSet::new(), kept: None, began: Instant::now() }
    }

    /// Watches; never ends.
    pub async fn run(mut self) {
        let mut moves = self.at.clone();
        loop {
            self.call();
            let due = self.poller.due().map(|due| self.began + due);
            tokio::select! {
                biased;
                () = moved(&mut moves) => {
                    self.drop_calls();
                    self.kept = None;
                    self.poller.moved(self.began.elapsed());
                }
                Some(ended) = self.calls.join_next() => match ended {
                    Ok((call, Ok((list, link)))) => self.take(call, list, link),
                    Ok((call, Err(error))) => self.missed(call, &error),
                    // None panics, and those that are dropped are not waited for.
                    Err(_) => {}
                },
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
                () = self.node.discovery_wanted() => self.poller.wanted(self.began.elapsed()),
            }
        }
    }

    /// Makes the call that is due, if one is.
    fn call(&mut self) {
        let now = self.began.elapsed();
        if self.poller.due().is_none_or(|due| due > now) {
            return;
        }
        let link = self.kept.take().filter(|link| !link.is_closed());
        let Some(ask) = self.poller.call(now, self.node.take_whole_list(), link.is_some()) else { return };
        let target = match ask.from {
            Some(rev) => format!("{INSTANCES_PATH}?from={rev}&hold_ms={}", ask.hold.as_millis()),
            None => INSTANCES_PATH.to_owned(),
        };
        let at = *self.at.borrow();
        self.calls.spawn_local(async move {
            let called = timeout(ask.limit, list_at(at, link, &target)).await;
            (ask.call, called.unwrap_or(Err(CallError::Late)))
        });
    }

    fn take(&mut self, call: u64, list: List, link: Link) {
        self.drop_calls();
        self.kept = Some(link);
        if !self.poller.answered(self.began.elapsed(), call, list.rev, list.all) {
            tracing::warn!(rev = list.rev, "the list's version has gone back");
            return;
        }
        tracing::debug!(rev = list.rev, whole = list.all, lines = list.targets.len(), "list answered");
        let scope = if list.all { ListScope::Full } else { ListScope::Changes };
        if list.all || !list.targets.is_empty() {
            self.node.update_backends(scope, list.listed());
        } else {
            self.node.list_unchanged();
        }
    }

    fn missed(&mut self, call: u64, error: &CallError) {
        tracing::warn!(cause = %error, "{}", error.kind());
        self.poller.failed(self.began.elapsed(), call);
        self.node.discovery_failed();
    }

    /// Ends all calls that are out, with their connections: an answer to one must not be taken for another's.
    fn drop_calls(&mut self) {
        self.calls = JoinSet::new();
    }
}

/// Asks for the list, over this connection if it still stands.
async fn list_at(at: SocketAddr, link: Option<Link>, target: &str) -> Called {
    let mut link = match link {
        Some(link) => link,
        None => talk(TcpStream::connect(at).await?).await?,
    };
    link.ready().await?;
    let request = Request::get(target).header(HOST, at.to_string()).body(Empty::new())?;
    let response = link.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST).collect().await.map_err(CallError::Body)?;
    if status != StatusCode::OK {
        return Err(CallError::Status(status));
    }
    Ok((serde_json::from_slice(&body.to_bytes())?, link))
}

/// Resolves when an address has changed.
pub async fn moved<T>(addresses: &mut watch::Receiver<T>) {
    if addresses.changed().await.is_err() {
        // No other address will come.
        std::future::pending().await
    }
}

/// Every call is one small write after the last answer's end, which goes out at once without an option for it.
async fn talk(stream: TcpStream) -> Result<Link, CallError> {
    let (link, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(cause = %error, "the connection broke");
        }
    });
    Ok(link)
}

#[cfg(test)]
mod tests;
