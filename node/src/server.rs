//! The clients' side: takes connections, reads requests, waits for each one's final answer and writes it.

use std::cell::Cell;
use std::convert::Infallible;
use std::sync::Arc;
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
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::driver::{Asked, Call, Node, Reply};
use crate::upstream::{MAX_BODY, without_delay};

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// In service.
    Serving,
    /// Takes all that comes; each answer ends its connection.
    Stopping,
    /// Closes connections on which nothing is going on, and still takes new ones.
    Closing,
    /// Takes no more connections.
    Closed,
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

/// Serves until the phase is [`Phase::Closed`] and all connections have ended. At most `most` are open.
pub async fn run(listener: TcpListener, node: Node, most: usize, mut phase: watch::Receiver<Phase>) {
    let slots = Arc::new(Semaphore::new(most));
    let scarce = most / SCARCE;
    let mut closed = phase.clone();
    let closed = closed.wait_for(|phase| *phase == Phase::Closed);
    let accepting = async {
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slots = slots.clone();
                    let scarcity = move || slots.available_permits() <= scarce;
                    welcome(stream, &node, slot, &phase, scarcity);
                }
                Err(error) => {
                    tracing::warn!(cause = %error, "accept failed");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    // The accept is polled first: what waits in the backlog is taken before the listener goes.
    tokio::select! {
        biased;
        () = accepting => {}
        _ = closed => {}
    }
    drop(listener);
    phase.mark_unchanged();
    let all = u32::try_from(most).unwrap_or(u32::MAX);
    drop(slots.acquire_many(all).await);
}

fn welcome(
    stream: TcpStream,
    node: &Node,
    slot: OwnedSemaphorePermit,
    phase: &watch::Receiver<Phase>,
    scarcity: impl Fn() -> bool + 'static,
) {
    let (node, phase) = (node.clone(), phase.clone());
    spawn_local(async move {
        let _slot = slot;
        without_delay(&stream);
        if let Err(error) = converse(stream, node, phase, scarcity).await {
            tracing::debug!(cause = %error, "a client's connection broke");
        }
    });
}

async fn converse(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    node: Node,
    mut phase: watch::Receiver<Phase>,
    scarcity: impl Fn() -> bool,
) -> Result<(), hyper::Error> {
    let accepted = Cell::new(Some(Instant::now()));
    let answered = Cell::new(None);
    // One that comes during the way out is closed by its first answer. Closing it sooner would lose the
    // request for which it was opened.
    let late = *phase.borrow() != Phase::Serving;
    let answers = phase.clone();
    let service = service_fn(async |request| {
        let whole_by = accepted.take().unwrap_or_else(Instant::now) + WHOLE_WITHIN;
        answered.set(None);
        let response = answer(&node, request, whole_by, &answers).await;
        answered.set(Some(Instant::now()));
        response
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(stream), service)
    );
    let talk = async {
        if !late {
            tokio::select! {
                biased;
                result = &mut connection => return result,
                _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
        connection.await
    };
    tokio::select! {
        biased;
        result = talk => result,
        () = left_unread(&answered) => Ok(()),
        () = crowded_out(&accepted, scarcity) => Ok(()),
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
    // Only a client's connection is worth its slot: checks come on a new one each time, and hold the old ones.
    let mut client = false;
    let mut response = match request.uri().path() {
        "/api" => match call(node, request, whole_by).await {
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

async fn call(node: &Node, request: Request<Incoming>, whole_by: Instant) -> Result<Answer, BadCall> {
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
    let asked = Asked {
        class,
        tenant,
        hint: hint.map(|micros| micros.saturating_mul(1000)),
        repeat,
        budget: time_left(budget, deadline, spent),
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
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    use super::*;
    use crate::driver;

    const MS: Nanos = 1_000_000;

    /// What a connection brings back until the node closes it, and how long that took on the paused clock.
    /// Each text is written a second after the one before. The node has no backends, and refuses.
    async fn until_closed(scarce: bool, texts: &[&str]) -> (String, Duration) {
        let (mut peer, stream) = tokio::io::duplex(4096);
        let (_phase, phases) = watch::channel(Phase::Serving);
        let began = Instant::now();
        let (node, _) = driver::tests::node(0);
        let client = async {
            for text in texts {
                peer.write_all(text.as_bytes()).await.expect("the node still reads");
                sleep(Duration::from_secs(1)).await;
            }
            let mut got = String::new();
            let _ = peer.read_to_string(&mut got).await;
            got
        };
        let talk = async { tokio::join!(client, converse(stream, node.clone(), phases, || scarce)).0 };
        let got = tokio::select! {
            got = talk => got,
            () = node.run_timers() => unreachable!("timers run for ever"),
        };
        (got, began.elapsed())
    }

    /// Serves whole what a socket of another family brings, which has no such option as TCP's.
    #[tokio::test]
    async fn a_connection_that_takes_no_option_is_served() {
        let (mut peer, stream) = driver::tests::optionless();
        let slot = Arc::new(Semaphore::new(1)).acquire_owned().await.expect("a slot");
        let (_phase, phases) = watch::channel(Phase::Serving);
        let (node, _) = driver::tests::node(0);
        let mut got = String::new();
        let serve = async {
            welcome(stream, &node, slot, &phases, || false);
            peer.write_all(CHECK.as_bytes()).await.expect("the node still reads");
            peer.read_to_string(&mut got).await.expect("an answer and the end");
        };
        tokio::task::LocalSet::new().run_until(serve).await;
        assert!(got.starts_with("HTTP/1.1 503 "), "{got:?}");
    }

    const CALL: &str = "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: pay\r\nX-Budget-Ms: 1\r\nContent-Length: 0\r\n\r\n";
    const CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n";

    const OWED: Duration = Duration::from_secs(3);

    /// Idle connections once kept all slots for half a minute, and no client was let in meanwhile.
    #[tokio::test(start_paused = true)]
    async fn a_connection_with_nothing_to_ask_is_closed_soon() {
        let (got, took) = until_closed(false, &[CALL]).await;
        assert!(got.starts_with("HTTP/1.1 503 "), "{got}");
        assert!((Duration::from_secs(2)..OWED).contains(&took), "{took:?}");
        let (got, took) = until_closed(false, &[]).await;
        assert_eq!(got, "");
        assert!((Duration::from_secs(2)..OWED).contains(&took), "{took:?}");
    }

    /// Each check comes on a connection of its own; in bursts they took all slots for as long as they stayed.
    #[tokio::test(start_paused = true)]
    async fn what_is_no_call_ends_its_connection() {
        for (status, text) in
            [("503", CHECK), ("404", "GET /other HTTP/1.1\r\n\r\n"), ("400", "POST /api HTTP/1.1\r\n\r\n")]
        {
            let (got, took) = until_closed(false, &[text]).await;
            assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{got}");
            // The second is the peer's own, after its text.
            assert!(took < Duration::from_millis(1100), "{took:?}");
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_request_that_does_not_arrive_whole_is_ended_soon() {
        let head = "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: pay\r\nX-Budget-Ms: 900\r\n";
        let (_, took) = until_closed(false, &["POST /api", " HTTP/1.1"]).await;
        assert!(took < OWED, "{took:?}");
        let (got, took) = until_closed(false, &[head, "Content-Length: 9\r\n\r\nhalf"]).await;
        assert!(got.starts_with("HTTP/1.1 408 "), "{got}");
        assert!(took < OWED, "{took:?}");
    }

    /// A burst of peers that ask nothing once kept clients waiting in the backlog past their time.
    #[tokio::test(start_paused = true)]
    async fn a_connection_without_a_request_makes_room_while_slots_are_scarce() {
        let (got, took) = until_closed(true, &[]).await;
        assert_eq!(got, "");
        assert!(took < Duration::from_millis(500), "{took:?}");
        let (got, took) = until_closed(true, &[CALL]).await;
        assert!(got.starts_with("HTTP/1.1 503 "), "{got}");
        assert!(took >= Duration::from_secs(2), "one that has asked may be a client: {took:?}");
    }

    /// The answer stays in the way of everything else, so nothing that the connection waits for ever comes.
    #[tokio::test(start_paused = true)]
    async fn a_client_that_does_not_read_is_let_go() {
        let (mut peer, stream) = tokio::io::duplex(64);
        let (_phase, phases) = watch::channel(Phase::Serving);
        let (node, _) = driver::tests::node(0);
        let talk = converse(stream, node, phases, || false);
        let ask = async {
            peer.write_all(CHECK.as_bytes()).await.expect("taken");
            std::future::pending().await
        };
        tokio::select! {
            biased;
            result = talk => assert!(result.is_ok()),
            () = ask => {}
            () = sleep(Duration::from_secs(60)) => panic!("still held"),
        }
    }

    /// Guards against answers that leave when the client's time is up and so come too late.
    #[test]
    fn the_ways_there_and_back_come_off_a_budget() {
        assert_eq!(time_left(200, 500 * MS, 0), 196 * MS);
        assert_eq!(time_left(200, 500 * MS, 10 * MS), 186 * MS);
        assert_eq!(time_left(9000, 500 * MS, 0), 496 * MS);
        assert_eq!(time_left(3, 500 * MS, 0), 0);
        assert_eq!(time_left(u64::MAX, u64::MAX, u64::MAX), 0);
    }
}
