//! The clients' side: takes connections, reads requests, waits for each one's final answer and writes it.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use brookfield::{Effect, Nanos};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::driver::{Asked, Call, Node, Reply};
use crate::upstream::{MAX_BODY, without_delay};

/// So long after the last connection has ended another one may have been opened, on its way out.
const LAST_ONES: Duration = Duration::from_millis(100);
/// Wait before the next accept after one failed: out of descriptors, the next would fail at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A head has this long to arrive, and a connection this long to stand idle: each holds one of few slots, and
/// a peer that has nothing to ask keeps clients out for as long. Clients may be closed on after 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// While slots are scarce a connection has only this long for its first request, which a client sends at once.
const FIRST_TIMEOUT: Duration = Duration::from_millis(250);
/// Slots are scarce once no more than one in this many is free.
const SCARCE: usize = 8;
/// A client that has not taken its answer by then, nor asked again, does not read: past any client's time.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The first request of a connection is whole this long after the accept, and each later one after its head:
/// a peer is owed an error or a close within 3 s of its connect.
const WHOLE_WITHIN: Duration = Duration::from_millis(2600);
const MAX_HEAD: usize = 32 * 1024;
/// A client counts its time from its send to the last byte of the answer, so the ways there and back come
/// off: an answer that leaves as the budget ends comes to a client that has just given up.
const ON_THE_WAY: Nanos = 4_000_000;

const CALL_ID: &str = "x-call-id";
const CALL_CLASS: &str = "x-call-class";
const CALLER: &str = "x-caller";
const BUDGET: &str = "x-budget-ms";
const AGAIN: &str = "x-again";
const COST: &str = "x-call-cost";
const KEY: &str = "idempotency-key";

/// How far the node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In service.
    Serving,
    /// Takes all that comes; each answer ends its connection.
    Stopping,
    /// Closes connections on which nothing is going on. What still comes is taken all the same: whoever has a
    /// connection goes on using it.
    Closing {
        /// What comes from now on is answered by then: the process may be killed.
        answer_by: Instant,
    },
}

impl Phase {
    fn is_closing(&self) -> bool {
        matches!(self, Self::Closing { .. })
    }
}

/// What is wrong with a request.
#[derive(Debug, thiserror::Error)]
enum BadCall {
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} can't be read")]
    Unreadable(&'static str),
    #[error("{0} is not known")]
    Unknown(&'static str),
    #[error("this class takes {0} only")]
    Method(Method),
    #[error("{0} does not go with this class")]
    Misplaced(&'static str),
    #[error("the body is too large")]
    TooLarge,
    #[error("the body did not arrive")]
    NoBody,
}

impl BadCall {
    fn status(&self) -> StatusCode {
        match self {
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

type Answer = Response<Full<Bytes>>;

/// How many connections are open.
#[derive(Default)]
struct Open {
    count: Cell<usize>,
    fewer: Notify,
}

/// Counts a connection for as long as it is open.
struct Counted(Rc<Open>);

impl Counted {
    fn new(open: &Rc<Open>) -> Self {
        open.count.set(open.count.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get().saturating_sub(1));
        self.0.fewer.notify_one();
    }
}

/// Serves until the phase is [`Phase::Closing`] and all connections have ended. At most `most` are open.
pub async fn run(listener: TcpListener, node: Node, most: usize, phase: watch::Receiver<Phase>) {
    let slots = Arc::new(Semaphore::new(most));
    let open = Rc::new(Open::default());
    let scarce = most / SCARCE;
    let accepting = async {
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slots = slots.clone();
                    let scarcity = move || slots.available_permits() <= scarce;
                    welcome(stream, &node, (slot, Counted::new(&open)), &phase, scarcity);
                }
                Err(error) => {
                    tracing::warn!(cause = %error, "accept failed");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    let mut phases = phase.clone();
    let all_ended = async {
        let _ = phases.wait_for(Phase::is_closing).await;
        loop {
            // Whoever comes as the last one leaves is in the backlog by then.
            sleep(LAST_ONES).await;
            if open.count.get() == 0 {
                return;
            }
            open.fewer.notified().await;
        }
    };
    // The accept is polled first: what waits in the backlog is taken before the listener goes.
    tokio::select! {
        biased;
        () = accepting => {}
        () = all_ended => {}
    }
}

fn welcome<Held: 'static>(
    stream: TcpStream,
    node: &Node,
    held: Held,
    phase: &watch::Receiver<Phase>,
    scarcity: impl Fn() -> bool + 'static,
) {
    let (node, phase) = (node.clone(), phase.clone());
    spawn_local(async move {
        let _held = held;
        without_delay(&stream);
        if let Err(error) = converse(stream, node, phase, scarcity).await {
            tracing::debug!(cause = %error, "a client's connection broke");
        }
    });
}

/// What is known of a connection from outside its parser.
#[derive(Default)]
struct Course {
    /// When it came; none once a request has.
    accepted: Cell<Option<Instant>>,
    /// Whether something has come since the last answer was ready, be it half a head.
    begun: Cell<bool>,
    /// When the last answer was ready; none while one is awaited.
    answered: Cell<Option<Instant>>,
}

/// Notes what comes in.
struct Heard<'a, Stream>(Stream, &'a Course);

impl<Stream: AsyncRead + Unpin> AsyncRead for Heard<'_, Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.0).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.1.begun.set(true);
        }
        read
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for Heard<'_, Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

async fn converse(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    node: Node,
    mut phase: watch::Receiver<Phase>,
    scarcity: impl Fn() -> bool,
) -> Result<(), hyper::Error> {
    let came = Instant::now();
    let course = Course { accepted: Cell::new(Some(came)), ..Course::default() };
    let late = *phase.borrow() != Phase::Serving;
    let answers = phase.clone();
    let service = service_fn(async |request| {
        let whole_by = course.accepted.take().unwrap_or_else(Instant::now) + WHOLE_WITHIN;
        course.answered.set(None);
        let response = answer(&node, request, whole_by, &answers).await;
        course.answered.set(Some(Instant::now()));
        course.begun.set(false);
        response
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(Heard(stream, &course)), service)
    );
    let idle = async {
        let _ = phase.wait_for(Phase::is_closing).await;
        // One that came during the way out was opened for a request, which is on its way.
        if late {
            sleep_until(came + FIRST_TIMEOUT).await;
        }
        // What came in with this very turn is read first.
        yield_now().await;
    };
    let talk = async {
        tokio::select! {
            biased;
            result = &mut connection => return result,
            () = idle => {}
        }
        // A request that has begun to come is taken; its answer ends the connection.
        if !course.begun.get() {
            connection.as_mut().graceful_shutdown();
        }
        connection.await
    };
    tokio::select! {
        biased;
        result = talk => result,
        () = left_unread(&course.answered) => Ok(()),
        () = crowded_out(&course.accepted, scarcity) => Ok(()),
    }
}

/// Resolves while slots are scarce for a connection that is still without its first request: others wait for
/// its slot, and their time runs.
async fn crowded_out(accepted: &Cell<Option<Instant>>, scarcity: impl Fn() -> bool) {
    loop {
        sleep(FIRST_TIMEOUT).await;
        if accepted.get().is_none() {
            std::future::pending().await
        }
        if scarcity() {
            return;
        }
    }
}

/// Resolves once an answer has been there for too long with no request after it. A connection that has sent its
/// answer is closed as idle before that, so this one's peer does not read.
async fn left_unread(answered: &Cell<Option<Instant>>) {
    loop {
        let end = answered.get().unwrap_or_else(Instant::now) + UNREAD_TIMEOUT;
        if end <= Instant::now() {
            return;
        }
        sleep_until(end).await;
    }
}

async fn answer(
    node: &Node,
    request: Request<Incoming>,
    whole_by: Instant,
    phase: &watch::Receiver<Phase>,
) -> Result<Answer, Infallible> {
    let serving = || *phase.borrow() == Phase::Serving;
    let answer_by = match *phase.borrow() {
        Phase::Closing { answer_by } => Some(answer_by),
        Phase::Serving | Phase::Stopping => None,
    };
    // Only a client's connection is worth its slot: checks come on a new one each time, and hold the old ones.
    let mut client = false;
    let mut response = match request.uri().path() {
        "/api" => match call(node, request, whole_by, answer_by).await {
            Ok(answer) => {
                client = true;
                answer
            }
            Err(bad) => plain(bad.status(), &bad.to_string()),
        },
        "/health/ready" if request.method() != Method::GET => {
            plain(StatusCode::METHOD_NOT_ALLOWED, "GET only")
        }
        "/health/ready" if !serving() => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        // Clients sent here now would all be refused.
        "/health/ready" if !node.knows_backends() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "no server known yet")
        }
        "/health/ready" => plain(StatusCode::OK, "ready"),
        "/health/list" if node.list_state().is_some() && request.method() == Method::GET => {
            plain(StatusCode::OK, &list_figures(node))
        }
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    };
    if !client || !serving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// How the list stands, for whoever looks after the node.
fn list_figures(node: &Node) -> String {
    let Some(list) = node.list_state() else { return String::new() };
    let since = |at: Option<Instant>| at.map(|at| at.elapsed().as_millis() as u64);
    serde_json::json!({"rev": list.rev, "age_ms": since(list.as_of), "away_ms": since(list.away_since),
        "replica": list.replica.to_string()})
    .to_string()
}

async fn call(
    node: &Node,
    request: Request<Incoming>,
    whole_by: Instant,
    answer_by: Option<Instant>,
) -> Result<Answer, BadCall> {
    let came = node.clock().now();
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    if required(headers, CALL_ID)?.is_empty() {
        return Err(BadCall::Unreadable(CALL_ID));
    }
    let class = required(headers, CALL_CLASS)?;
    let (class, deadline, effect) = node.class(class).ok_or(BadCall::Unknown(CALL_CLASS))?;
    check_form(&head.method, headers, effect)?;
    let tenant = node.tenant(single(headers, CALLER)?).map_err(|_| BadCall::Unknown(CALLER))?;
    let whole = |name, text: &str| text.parse::<u64>().map_err(|_| BadCall::Unreadable(name));
    let budget = whole(BUDGET, required(headers, BUDGET)?)?;
    let hint = single(headers, COST)?.map(|text| whole(COST, text)).transpose()?;
    let repeat = single(headers, AGAIN)? == Some("1");
    let body = read(body, whole_by).await?;
    if effect == Effect::Repeatable && !body.is_empty() {
        return Err(BadCall::Misplaced("a body"));
    }
    let spent: Nanos = node.clock().now().saturating_sub(came);
    let budget = time_left(budget, deadline, spent);
    let stays = answer_by.map(|at| at.saturating_duration_since(Instant::now()).as_nanos() as Nanos);
    let asked = Asked {
        class,
        tenant,
        hint: hint.map(|micros| micros.saturating_mul(1000)),
        repeat,
        budget: stays.map_or(budget, |stays| budget.min(stays)),
        call: Call { method: head.method, target: head.uri, headers: end_to_end(head.headers), body },
    };
    Ok(worded(node.submit(asked).answer().await))
}

/// What is left here of a budget in milliseconds; no client waits for longer than its class's deadline.
fn time_left(budget_ms: u64, deadline: Nanos, spent: Nanos) -> Nanos {
    budget_ms.saturating_mul(1_000_000).min(deadline).saturating_sub(spent.saturating_add(ON_THE_WAY))
}

async fn read(body: Incoming, whole_by: Instant) -> Result<Bytes, BadCall> {
    match timeout_at(whole_by, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadCall::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BadCall::NoBody),
    }
}

/// A header that may stand once at most.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadCall> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(BadCall::Unreadable(name));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| BadCall::Unreadable(name))
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, BadCall> {
    single(headers, name)?.ok_or(BadCall::Missing(name))
}

/// The method and the key follow from the class.
fn check_form(method: &Method, headers: &HeaderMap, effect: Effect) -> Result<(), BadCall> {
    let wanted = if effect == Effect::Repeatable { Method::GET } else { Method::POST };
    if *method != wanted {
        return Err(BadCall::Method(wanted));
    }
    match (effect, single(headers, KEY)?) {
        (Effect::Keyed { .. }, None | Some("")) => Err(BadCall::Missing(KEY)),
        (Effect::Keyed { .. }, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(BadCall::Misplaced(KEY)),
    }
}

/// The headers that go on: all but those that speak of this one connection. The framing is made anew.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CALL_ID && *name != KEY)
        .collect();
    let hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in named.into_iter().chain(hop) {
        headers.remove(name);
    }
    headers
}

fn worded(reply: Reply) -> Answer {
    match reply {
        Reply::Served(body) => Response::new(Full::new(body)),
        Reply::Refused(pause) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again does no harm");
            if pause > 0 {
                // Never sooner than the module said: decimals are cut, so round up.
                let text = format!("{:.3}", pause.div_ceil(1_000_000) as f64 / 1000.0);
                let value = HeaderValue::from_str(&text);
                value.into_iter().for_each(|value| {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                });
            }
            response
        }
        Reply::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
