//! The upstream side: a bounded pool of connections to the backends, and single attempts over them. Each
//! attempt ends with an [`Outcome`]; retries are the balancer's decision, and no request is sent twice here.

mod attempt_progress;
mod response_body;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brookfield::{BackendId, LoadReport, Nanos, Outcome};
use brookfield_settings::ConnectionSettings;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout};

use crate::driver::{Attempt, Clock, Node, Transport, UpstreamResult};
use crate::limited_read::LimitedReads;
use crate::memory::{Account, Budget, Kind, Permit};
use crate::os_error::is_local;
use attempt_progress::{AttemptProgress, ResponseProgress};

/// Maximum size of a request's and of a response's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Idle connections are closed after the backends' idle timeout divided by this. A request that is written
/// while its backend closes the connection ends as a reset, and may have run.
const IDLE_TIMEOUT_DIVISOR: u64 = 2;
/// How long a connection is not reused after a response. Backends send some responses twice, the second a few
/// milliseconds late, and it would be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// A connect that was given up after at least the connect timeout divided by this counts as a failed connect.
const CONNECT_FAILURE_DIVISOR: u64 = 4;
/// Memory of a connection: its task, and the parser's blocks for reading and writing.
const CONNECTION_BYTES: usize = 20 * 1024;
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type Connection = SendRequest<Full<Bytes>>;
type PoolKey = (BackendId, SocketAddr);

struct IdleConnection {
    connection: Connection,
    since: Nanos,
}

impl IdleConnection {
    /// When it may be reused.
    fn reusable_at(&self) -> Nanos {
        self.since.saturating_add(REUSE_DELAY.as_nanos() as Nanos)
    }
}

/// What the pool has for a request.
enum Checkout {
    Connection(Connection),
    /// All idle connections were used too lately; the first is reusable at this time.
    ReusableAt(Nanos),
}

/// Why no connection to a backend was established.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    /// Failed before anything was sent to the backend, so it does not count against the backend.
    #[error("out of local resources (check the limits of descriptors, ports and socket buffers): {0}")]
    Local(std::io::Error),
    #[error("refused or unreachable: {0}")]
    Peer(std::io::Error),
    #[error("connect timed out")]
    Timeout,
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[from] hyper::Error),
}

impl From<std::io::Error> for ConnectError {
    fn from(error: std::io::Error) -> Self {
        if is_local(&error) { Self::Local(error) } else { Self::Peer(error) }
    }
}

impl ConnectError {
    /// Outcome of the attempt; nothing has been written in either case.
    fn outcome(&self) -> Outcome {
        match self {
            Self::Local(_) => Outcome::Moot,
            Self::Peer(_) | Self::Timeout | Self::Handshake(_) => Outcome::ConnectFailed,
        }
    }
}

/// Connections that have been idle for less than this are in regular use: they are kept while others wait for memory.
const MIN_RELEASED_IDLE_NS: Nanos = 100_000_000;

/// Pool of connections to the backends.
pub struct ConnectionPool {
    idle: RefCell<HashMap<PoolKey, Vec<IdleConnection>>>,
    /// Number of open connections, idle or in use.
    open: Rc<Cell<usize>>,
    max_open: usize,
    settings: ConnectionSettings,
    clock: Clock,
    account: Account,
}

/// Counts a connection as open until it is dropped.
struct OpenSlot(Rc<Cell<usize>>);

impl OpenSlot {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The transport that makes attempts over pooled connections.
pub struct Upstream(Rc<ConnectionPool>);

impl Upstream {
    /// Creates a transport with at most `max_open` open connections, whose memory comes from `budget`.
    pub fn new(settings: ConnectionSettings, clock: Clock, max_open: usize, budget: &Budget) -> Self {
        let (idle, open) = (RefCell::default(), Rc::default());
        Self(Rc::new(ConnectionPool { idle, open, max_open, settings, clock, account: budget.account() }))
    }

    /// Closes connections that have been idle for too long; never returns.
    pub async fn sweep(pool: Rc<ConnectionPool>) {
        loop {
            sleep(IDLE_SWEEP_INTERVAL).await;
            pool.close_expired();
        }
    }

    pub fn pool(&self) -> Rc<ConnectionPool> {
        self.0.clone()
    }
}

/// Sets `TCP_NODELAY`. A failure is only logged, as the connection still works, with more latency.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(cause = %error, "TCP_NODELAY not set");
    }
}

impl Transport for Upstream {
    fn start_attempt(&self, node: &Node, attempt: Attempt) {
        let (pool, node) = (self.0.clone(), node.clone());
        spawn_local(async move { pool.run(node, attempt).await });
    }

    fn close_idle(&self, backend: BackendId) {
        self.0.idle.borrow_mut().retain(|key, _| key.0 != backend);
    }
}

impl ConnectionPool {
    async fn run(&self, node: Node, attempt: Attempt) {
        let id = attempt.id;
        let result = self.run_to_end(&node, attempt).await;
        node.attempt_ended(id, result);
    }

    async fn run_to_end(&self, node: &Node, mut attempt: Attempt) -> UpstreamResult {
        let progress = AttemptProgress::default();
        let written = &progress.written;
        let cancelled = std::mem::replace(&mut attempt.cancelled, tokio::sync::oneshot::channel().1);
        // An attempt that was never written cannot have run, and the balancer may still reject the request.
        let unless_written = |outcome| if written.get() { outcome } else { Outcome::Moot };
        let timed_out = async {
            sleep_until(self.clock.instant(attempt.deadline.min(attempt.send_by))).await;
            if written.get() {
                sleep_until(self.clock.instant(attempt.deadline)).await;
            }
            // The attempt's time is for servers that hang, not for long responses.
            while let Some(until) =
                progress.response.continues_until().map(|until| until.min(attempt.client_deadline))
                && until > self.clock.now()
            {
                sleep_until(self.clock.instant(until)).await;
            }
        };
        tokio::select! {
            biased;
            _ = cancelled => UpstreamResult::new(unless_written(Outcome::Cancelled)),
            result = self.exchange(node, &attempt, &progress) => result,
            () = timed_out => UpstreamResult::new(match progress.connecting.get() {
                Some(since) if self.counts_as_failed(since) => Outcome::ConnectFailed,
                _ => unless_written(Outcome::TimedOut),
            }),
        }
    }

    /// Whether a connect that began at `since` has taken long enough to count as failed. Requests often time
    /// out before the connect does, and an unreachable backend would never be detected.
    fn counts_as_failed(&self, since: Nanos) -> bool {
        self.clock.now().saturating_sub(since) >= self.settings.connect_timeout / CONNECT_FAILURE_DIVISOR
    }

    /// Makes one attempt and records how far it has come.
    async fn exchange(&self, node: &Node, attempt: &Attempt, progress: &AttemptProgress) -> UpstreamResult {
        let key = (attempt.backend, attempt.endpoint);
        loop {
            let (mut connection, fresh) = match self.checkout(key) {
                Some(Checkout::Connection(connection)) => (connection, false),
                // Waiting costs less than a new connection, and usually no more time.
                Some(Checkout::ReusableAt(at)) => {
                    sleep_until(self.clock.instant(at)).await;
                    // Another attempt may take the connection first, so check again each time.
                    if !node.may_send(attempt.id) {
                        return UpstreamResult::new(Outcome::Moot);
                    }
                    continue;
                }
                // The lack of a slot does not count against the backend.
                None => match self.reserve_slot() {
                    None => return UpstreamResult::new(Outcome::Moot),
                    Some(slot) => {
                        let memory = self.connection_memory().await;
                        if !node.may_send(attempt.id) {
                            return UpstreamResult::new(Outcome::Moot);
                        }
                        progress.connecting.set(Some(self.clock.now()));
                        let connection = self.connect(attempt.endpoint, (slot, memory)).await;
                        progress.connecting.set(None);
                        match connection {
                            Ok(connection) => (connection, true),
                            Err(error) => {
                                let backend = attempt.endpoint;
                                tracing::debug!(%backend, cause = %error, "connecting to a backend failed");
                                return UpstreamResult::new(error.outcome());
                            }
                        }
                    }
                },
            };
            // Lets pending I/O be processed first: the client may have disconnected, or the backend may have
            // closed the connection or sent more data on it.
            yield_now().await;
            // Nothing was written to a pooled connection that turns out closed, so the next one is tried.
            if connection.ready().await.is_err() {
                if fresh {
                    return UpstreamResult::new(Outcome::ConnectFailed);
                }
                continue;
            }
            // The request may have ended or the backend may have been removed during the connect.
            if !node.may_send(attempt.id) || self.clock.now() >= attempt.send_by {
                self.checkin(node, key, connection);
                return UpstreamResult::new(Outcome::Moot);
            }
            let Some(request) = self.request_for(attempt) else { return UpstreamResult::new(Outcome::Moot) };
            progress.written.set(true);
            match connection.try_send_request(request).await {
                Ok(response) => {
                    let account = &attempt.http.memory.account;
                    return self
                        .read_response(node, key, connection, response, (account, &progress.response))
                        .await;
                }
                // The request is returned only if no byte of it was written.
                Err(mut error) => match error.take_message() {
                    Some(_) => progress.written.set(false),
                    None => return UpstreamResult::new(Outcome::Reset),
                },
            }
            if fresh {
                return UpstreamResult::new(Outcome::ConnectFailed);
            }
        }
    }

    fn request_for(&self, attempt: &Attempt) -> Option<Request<Full<Bytes>>> {
        let http = &attempt.http;
        let budget_ms =
            attempt.deadline.min(attempt.client_deadline).saturating_sub(self.clock.now()) / 1_000_000;
        let mut request = Request::new(Full::new(http.body.clone()));
        *request.method_mut() = http.method.clone();
        *request.uri_mut() = http.target.clone();
        *request.headers_mut() = http.headers.clone();
        let headers = request.headers_mut();
        headers.insert("x-budget-ms", HeaderValue::from(budget_ms));
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&attempt.endpoint.to_string()).ok()?);
        }
        Some(request)
    }

    async fn read_response(
        &self,
        node: &Node,
        key: PoolKey,
        connection: Connection,
        response: Response<Incoming>,
        (account, progress): (&Account, &ResponseProgress),
    ) -> UpstreamResult {
        let (head, body) = response.into_parts();
        let report = load_report(&head.headers);
        let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        // Without a length or chunked encoding the body ends with the connection, and a truncated one looks
        // complete.
        let framed = body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
        let body = response_body::receive(body, account, progress, self.clock).await.filter(|_| framed);
        if body.is_some() {
            self.checkin(node, key, connection);
        }
        let outcome = match (head.status, &body) {
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if rejected => Outcome::Full,
            (_, None) => Outcome::Reset,
            (StatusCode::OK, Some(_)) => Outcome::Served,
            // The request may have run, whatever the status.
            _ => Outcome::Error,
        };
        UpstreamResult { outcome, report, body: body.unwrap_or_default() }
    }

    /// Takes the most recently used idle connection that is reusable, so that surplus ones reach the idle
    /// timeout.
    fn checkout(&self, key: PoolKey) -> Option<Checkout> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|idle| self.is_usable(idle));
        match connections.iter().rposition(|idle| idle.reusable_at() <= now) {
            Some(index) => Some(Checkout::Connection(connections.remove(index).connection)),
            None => connections.first().map(|idle| Checkout::ReusableAt(idle.reusable_at())),
        }
    }

    /// Whether an idle connection is open and within the idle timeout.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        let age = self.clock.now().saturating_sub(idle.since);
        !idle.connection.is_closed() && age < self.settings.idle_timeout / IDLE_TIMEOUT_DIVISOR
    }

    /// Returns a connection to the pool, unless its backend is no longer in service at that address.
    fn checkin(&self, node: &Node, key: PoolKey, connection: Connection) {
        if !connection.is_closed() && node.is_in_service(key.0, key.1) {
            self.idle
                .borrow_mut()
                .entry(key)
                .or_default()
                .push(IdleConnection { connection, since: self.clock.now() });
        }
    }

    /// Reserves a slot for a new connection; none if all are in use. Close to the limit the oldest idle
    /// connection is closed, early enough as its slot is freed only when its task ends.
    fn reserve_slot(&self) -> Option<OpenSlot> {
        if self.open.get() >= self.max_open - self.max_open / 16 {
            self.close_oldest(Nanos::MAX);
        }
        (self.open.get() < self.max_open).then(|| OpenSlot::new(&self.open))
    }

    /// Waits for the memory of a new connection. If there is none, the oldest idle connection is closed.
    async fn connection_memory(&self) -> Permit {
        if let Some(memory) = self.account.try_acquire(Kind::BackendConnection, CONNECTION_BYTES) {
            return memory;
        }
        self.close_oldest(Nanos::MAX);
        self.account.acquire(Kind::BackendConnection, CONNECTION_BYTES).await
    }

    async fn connect(
        &self,
        endpoint: SocketAddr,
        resources: (OpenSlot, Permit),
    ) -> Result<Connection, ConnectError> {
        let limit = Duration::from_nanos(self.settings.connect_timeout);
        let stream = timeout(limit, TcpStream::connect(endpoint)).await.map_err(|_| ConnectError::Timeout)?;
        let stream = stream.map_err(ConnectError::from)?;
        set_nodelay(&stream);
        let (sender, connection) = handshake(TokioIo::new(LimitedReads(stream))).await?;
        spawn_local(async move {
            let _resources = resources;
            if let Err(error) = connection.await {
                tracing::debug!(%endpoint, cause = %error, "connection to a backend closed with an error");
            }
        });
        Ok(sender)
    }

    fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| self.is_usable(idle));
            !connections.is_empty()
        });
    }

    /// Closes the oldest idle connection, if there is one that has been idle since `before` or longer.
    fn close_oldest(&self, before: Nanos) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| connections.first().is_some_and(|oldest| oldest.since <= before))
            .min_by_key(|connections| connections[0].since);
        let Some(connections) = oldest else { return false };
        connections.remove(0);
        true
    }

    /// Closes connections that have been idle for a while, the oldest first, until they give back `bytes` of memory. Returns
    /// how many bytes they give back.
    pub fn release_idle(&self, bytes: usize) -> usize {
        let before = self.clock.now().saturating_sub(MIN_RELEASED_IDLE_NS);
        let mut released = 0;
        while released < bytes && self.close_oldest(before) {
            released += CONNECTION_BYTES;
        }
        released
    }
}

/// The load report in a response's headers, with either of the names that backends use for each value.
#[derive(Default, Deserialize)]
struct LoadReportHeader {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

/// Parses the load report of a response. An invalid one is ignored.
fn load_report(headers: &HeaderMap) -> LoadReport {
    let value = headers.get("x-load-report").map(HeaderValue::as_bytes).unwrap_or_default();
    let values: LoadReportHeader = serde_json::from_slice(value).unwrap_or_default();
    LoadReport { util: values.util, rate: values.qps, in_flight: values.inflight }
}

#[cfg(test)]
mod tests;
