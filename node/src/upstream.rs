//! The backends' side: a bounded pool of connections, and single attempts over them. What happened to an
//! attempt becomes an [`Outcome`]; whether there is another is not decided here, and nothing is sent twice.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brookfield::{BackendId, LoadReport, Nanos, Outcome};
use brookfield_settings::ConnectionSettings;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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
use crate::os_error::is_local;

/// No body is larger, either way.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// An idle connection is kept for this part of the backends' limit: one that is written to as its backend
/// closes it ends as a reset, and what was sent on it may have run.
const IDLE_PART: u64 = 2;
/// So long after its last answer a connection is not used again: backends send some answers twice, the second one some
/// milliseconds late, which would be taken for the answer to the next request.
const SETTLE: Duration = Duration::from_millis(10);
/// A connection that is not up after this part of the limit says something of the backend.
const SILENT_PART: u64 = 4;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

type Link = SendRequest<Full<Bytes>>;
type Place = (BackendId, SocketAddr);

struct Idle {
    link: Link,
    since: Nanos,
}

impl Idle {
    /// From when it may be used again.
    fn settled(&self) -> Nanos {
        self.since.saturating_add(SETTLE.as_nanos() as Nanos)
    }
}

/// What the pool has for a request.
enum Taken {
    Link(Link),
    /// The first one can be used from then on.
    Settles(Nanos),
}

/// Why no connection to a backend came about.
#[derive(Debug, thiserror::Error)]
enum ConnectError {
    /// Nobody was asked: that says nothing of the backend.
    #[error("this machine can't open one (see its limits of descriptors, ports and buffers): {0}")]
    Local(std::io::Error),
    #[error("refused or unreachable: {0}")]
    Peer(std::io::Error),
    #[error("not up in time")]
    Silent,
    #[error("broken at once: {0}")]
    Broken(#[from] hyper::Error),
}

impl From<std::io::Error> for ConnectError {
    fn from(error: std::io::Error) -> Self {
        if is_local(&error) { Self::Local(error) } else { Self::Peer(error) }
    }
}

impl ConnectError {
    /// What it means to the request: nothing was written either way.
    fn outcome(&self) -> Outcome {
        match self {
            Self::Local(_) => Outcome::Moot,
            Self::Peer(_) | Self::Silent | Self::Broken(_) => Outcome::ConnectFailed,
        }
    }
}

/// Connections to the backends.
pub struct Pool {
    idle: RefCell<HashMap<Place, Vec<Idle>>>,
    /// Open connections, idle or not.
    open: Rc<Cell<usize>>,
    most: usize,
    settings: ConnectionSettings,
    clock: Clock,
}

/// Counts an open connection for as long as its task lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Starts attempts over a pool.
pub struct Upstream(Rc<Pool>);

impl Upstream {
    /// At most `most` connections are open together.
    pub fn new(settings: ConnectionSettings, clock: Clock, most: usize) -> Self {
        let (idle, open) = (RefCell::default(), Rc::default());
        Self(Rc::new(Pool { idle, open, most, settings, clock }))
    }

    /// Closes what has been idle for too long; never ends.
    pub async fn sweep(pool: Rc<Pool>) {
        loop {
            sleep(SWEEP).await;
            pool.drop_stale();
        }
    }

    /// The pool.
    pub fn pool(&self) -> Rc<Pool> {
        self.0.clone()
    }
}

/// Has small writes go out at once. A connection that does not take the option still carries requests, if later:
/// that is no reason to lose them.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(cause = %error, "small writes may be held back");
    }
}

impl Transport for Upstream {
    fn start_attempt(&self, node: &Node, attempt: Attempt) {
        let (pool, node) = (self.0.clone(), node.clone());
        spawn_local(async move { pool.run(node, attempt).await });
    }

    fn close_idle(&self, backend: BackendId) {
        self.0.idle.borrow_mut().retain(|place, _| place.0 != backend);
    }
}

impl Pool {
    async fn run(&self, node: Node, attempt: Attempt) {
        let id = attempt.id;
        let result = self.end_of(&node, attempt).await;
        node.attempt_ended(id, result);
    }

    async fn end_of(&self, node: &Node, mut attempt: Attempt) -> UpstreamResult {
        let (written, connecting) = (Cell::new(false), Cell::new(None));
        let withdrawn = std::mem::replace(&mut attempt.cancelled, tokio::sync::oneshot::channel().1);
        // Never written, it never ran: a refusal is still open to the module then.
        let unless_written = |outcome| if written.get() { outcome } else { Outcome::Moot };
        let over = async {
            sleep_until(self.clock.instant(attempt.deadline.min(attempt.send_by))).await;
            if written.get() {
                sleep_until(self.clock.instant(attempt.deadline)).await;
            }
        };
        tokio::select! {
            biased;
            _ = withdrawn => UpstreamResult::new(unless_written(Outcome::Cancelled)),
            result = self.exchange(node, &attempt, &written, &connecting) => result,
            () = over => UpstreamResult::new(match connecting.get() {
                Some(since) if self.is_silent(since) => Outcome::ConnectFailed,
                _ => unless_written(Outcome::TimedOut),
            }),
        }
    }

    /// Whether a connection begun then should long be up. Requests are often given up sooner than connections:
    /// nobody would ever learn of a machine that says nothing.
    fn is_silent(&self, since: Nanos) -> bool {
        self.clock.now().saturating_sub(since) >= self.settings.connect_timeout / SILENT_PART
    }

    /// Tells by `written` whether the request has been, and by `connecting` since when a connection is coming up.
    async fn exchange(
        &self,
        node: &Node,
        attempt: &Attempt,
        written: &Cell<bool>,
        connecting: &Cell<Option<Nanos>>,
    ) -> UpstreamResult {
        let place = (attempt.backend, attempt.endpoint);
        loop {
            let (mut link, fresh) = match self.take(place) {
                Some(Taken::Link(link)) => (link, false),
                // Cheaper than a new connection, and as a rule no longer in coming.
                Some(Taken::Settles(at)) => {
                    sleep_until(self.clock.instant(at)).await;
                    // Others wait for it as well.
                    if !node.may_send(attempt.id) {
                        return UpstreamResult::new(Outcome::Moot);
                    }
                    continue;
                }
                // Short of descriptors nobody was asked: that says nothing against the backend.
                None => match self.slot() {
                    None => return UpstreamResult::new(Outcome::Moot),
                    Some(slot) => {
                        connecting.set(Some(self.clock.now()));
                        let link = self.connect(attempt.endpoint, slot).await;
                        connecting.set(None);
                        match link {
                            Ok(link) => (link, true),
                            Err(error) => {
                                let backend = attempt.endpoint;
                                tracing::debug!(%backend, cause = %error, "no connection to a backend");
                                return UpstreamResult::new(error.outcome());
                            }
                        }
                    }
                },
            };
            // What has come meanwhile is heard first: that the client has gone, that the backend has closed this
            // connection or sent something more on it.
            yield_now().await;
            // A pooled connection found dead before anything was written to it costs nothing: the next one.
            if link.ready().await.is_err() {
                if fresh {
                    return UpstreamResult::new(Outcome::ConnectFailed);
                }
                continue;
            }
            // The connect may have outlasted the request, or the backend's place on the list.
            if !node.may_send(attempt.id) || self.clock.now() >= attempt.send_by {
                self.keep(node, place, link);
                return UpstreamResult::new(Outcome::Moot);
            }
            let Some(message) = self.message(attempt) else { return UpstreamResult::new(Outcome::Moot) };
            written.set(true);
            match link.try_send_request(message).await {
                Ok(response) => return self.read(node, place, link, response).await,
                // The message comes back only if not a byte of it was written.
                Err(mut error) => match error.take_message() {
                    Some(_) => written.set(false),
                    None => return UpstreamResult::new(Outcome::Reset),
                },
            }
            if fresh {
                return UpstreamResult::new(Outcome::ConnectFailed);
            }
        }
    }

    fn message(&self, attempt: &Attempt) -> Option<Request<Full<Bytes>>> {
        let http = &attempt.http;
        let left = attempt.deadline.min(attempt.client_deadline).saturating_sub(self.clock.now()) / 1_000_000;
        let mut message = Request::new(Full::new(http.body.clone()));
        *message.method_mut() = http.method.clone();
        *message.uri_mut() = http.target.clone();
        *message.headers_mut() = http.headers.clone();
        let headers = message.headers_mut();
        headers.insert("x-budget-ms", HeaderValue::from(left));
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&attempt.endpoint.to_string()).ok()?);
        }
        Some(message)
    }

    async fn read(
        &self,
        node: &Node,
        place: Place,
        link: Link,
        response: Response<Incoming>,
    ) -> UpstreamResult {
        let (head, body) = response.into_parts();
        let report = load_report(&head.headers);
        let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
        // With neither a length nor chunks an answer ends with its connection, and one cut short looks whole.
        let framed = body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
        let whole = Limited::new(body, MAX_BODY_BYTES).collect().await.ok().filter(|_| framed);
        let body = whole.map(|whole| whole.to_bytes());
        if body.is_some() {
            self.keep(node, place, link);
        }
        let outcome = match (head.status, &body) {
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if rejected => Outcome::Full,
            (_, None) => Outcome::Reset,
            (StatusCode::OK, Some(_)) => Outcome::Served,
            // Whatever the status says, the request may have run.
            _ => Outcome::Error,
        };
        UpstreamResult { outcome, report, body: body.unwrap_or_default() }
    }

    /// An idle connection; the one used last, so that those in excess grow old, of those that have settled.
    fn take(&self, place: Place) -> Option<Taken> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&place)?;
        links.retain(|idle| self.is_good(idle));
        match links.iter().rposition(|idle| idle.settled() <= now) {
            Some(at) => Some(Taken::Link(links.remove(at).link)),
            None => links.first().map(|idle| Taken::Settles(idle.settled())),
        }
    }

    /// Whether an idle connection may still be used.
    fn is_good(&self, idle: &Idle) -> bool {
        let age = self.clock.now().saturating_sub(idle.since);
        !idle.link.is_closed() && age < self.settings.idle_timeout / IDLE_PART
    }

    /// Back to the pool, unless its backend has left or moved since: nobody would take it from there.
    fn keep(&self, node: &Node, place: Place, link: Link) {
        if !link.is_closed() && node.is_in_service(place.0, place.1) {
            self.idle.borrow_mut().entry(place).or_default().push(Idle { link, since: self.clock.now() });
        }
    }

    /// A place among the open connections, or none where all are taken. An idle one makes room for a new one
    /// a little before the bound: its task ends a moment later.
    fn slot(&self) -> Option<Counted> {
        if self.open.get() >= self.most - self.most / 16 {
            self.drop_oldest();
        }
        (self.open.get() < self.most).then(|| Counted::new(&self.open))
    }

    async fn connect(&self, endpoint: SocketAddr, counted: Counted) -> Result<Link, ConnectError> {
        let limit = Duration::from_nanos(self.settings.connect_timeout);
        let stream = timeout(limit, TcpStream::connect(endpoint)).await.map_err(|_| ConnectError::Silent)?;
        let stream = stream.map_err(ConnectError::from)?;
        set_nodelay(&stream);
        let (link, connection) = handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            let _counted = counted;
            if let Err(error) = connection.await {
                tracing::debug!(%endpoint, cause = %error, "a connection to a backend broke");
            }
        });
        Ok(link)
    }

    fn drop_stale(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|idle| self.is_good(idle));
            !links.is_empty()
        });
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|links| !links.is_empty()).min_by_key(|links| links[0].since);
        if let Some(links) = oldest {
            links.remove(0);
        }
    }
}

/// A backend's figures of its load, under either of the names in use.
#[derive(Default, Deserialize)]
struct Figures {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

/// Reads the load report that an answer carries. One that can't be read says nothing, and harms nothing.
fn load_report(headers: &HeaderMap) -> LoadReport {
    let text = headers.get("x-load-report").map(HeaderValue::as_bytes).unwrap_or_default();
    let figures: Figures = serde_json::from_slice(text).unwrap_or_default();
    LoadReport { util: figures.util, rate: figures.qps, in_flight: figures.inflight }
}

#[cfg(test)]
mod tests;
