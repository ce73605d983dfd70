//! Handles one HTTP request: validates it, submits it to the driver, and builds the response.

use std::convert::Infallible;
use std::time::Duration;

use brookfield::{Idempotency, Nanos};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::sync::watch;
use tokio::time::Instant;

use super::body::{self, BodyError, RequestMemorySource};
use super::phase::ShutdownPhase;
use crate::driver::{ClientRequest, FinalResponse, HiddenClose, HttpRequest, Node, RequestMemory};
use crate::limited_read::PARSER_BLOCK_BYTES;
use crate::memory::{Account, Kind, Stage};

/// Part of a client's time budget that is set aside for the network between client and node: a response sent at the very
/// end of the budget would arrive too late.
const ROUND_TRIP_ALLOWANCE_NS: Nanos = 4_000_000;

const X_CALL_ID: &str = "x-call-id";
const X_CALL_CLASS: &str = "x-call-class";
const X_CALLER: &str = "x-caller";
const X_BUDGET_MS: &str = "x-budget-ms";
const X_AGAIN: &str = "x-again";
const X_CALL_COST: &str = "x-call-cost";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Memory of a request besides its fields and its body: its state, and the parser's block that a small head keeps.
const BYTES_PER_REQUEST: usize = 4 * 1024 + PARSER_BLOCK_BYTES;
/// A head up to this size fits in the parser's first block.
const SMALL_HEAD_BYTES: usize = 4 * 1024;
/// Memory of a field in the tables of a request and of its attempts, besides its text.
const BYTES_PER_FIELD: usize = 768;
/// How often the text of a request's head is held: as received, and as written to backends.
const COPIES_OF_TEXT: usize = 3;

type HttpResponse = Response<Full<Bytes>>;

/// Why a request is invalid.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("missing header {0}")]
    MissingHeader(&'static str),
    #[error("invalid value of header {0}")]
    InvalidHeader(&'static str),
    #[error("unknown value of header {0}")]
    UnknownValue(&'static str),
    #[error("this class requires method {0}")]
    MethodNotAllowed(Method),
    #[error("{0} is not allowed for this class")]
    NotAllowed(&'static str),
    #[error("request body too large")]
    BodyTooLarge,
    #[error("request body incomplete or not received in time")]
    BodyIncomplete,
    #[error("a request with this id is open or may have run")]
    Repeated,
    #[error("out of memory for requests; safe to retry")]
    OutOfMemory,
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::Incomplete => Self::BodyIncomplete,
            BodyError::OutOfMemory => Self::OutOfMemory,
        }
    }
}

impl RequestError {
    /// Whether the client is not to blame, so that its connection is kept.
    fn is_temporary(&self) -> bool {
        matches!(self, Self::OutOfMemory)
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::Repeated => StatusCode::CONFLICT,
            // Nothing was forwarded.
            Self::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// What a request's connection provides.
pub struct ConnectionContext<'a> {
    /// Whose memory the request counts against.
    pub account: &'a Account,
    /// Whether the client's close could go unnoticed.
    pub hidden_close: HiddenClose,
    /// When the request has to have been received in full.
    pub read_deadline: Instant,
    /// For how long the request may have been complete before it was read. The client's time counts from its last byte.
    pub unread_for: Duration,
}

/// Routes a request by its path. `input_settled` resolves once a close that the client has made by now would have been
/// noticed.
pub async fn handle(
    node: &Node,
    request: Request<Incoming>,
    connection: ConnectionContext<'_>,
    phase: &watch::Receiver<ShutdownPhase>,
    input_settled: impl Future<Output = ()>,
) -> Result<HttpResponse, Infallible> {
    let serving = || *phase.borrow() == ShutdownPhase::Serving;
    let response_deadline = match *phase.borrow() {
        ShutdownPhase::Closing { response_deadline } => Some(response_deadline),
        ShutdownPhase::Serving | ShutdownPhase::Draining => None,
    };
    // The rest of a body that was not read would be taken for the next request.
    let has_body = !request.body().is_end_stream();
    // Only valid API requests keep their connection alive. Health checks open a new connection each time, and would fill
    // the slots.
    let mut keep_alive = false;
    let response = match request.uri().path() {
        "/api" => match forward(node, request, connection, response_deadline, input_settled).await {
            Ok(response) => {
                keep_alive = true;
                response
            }
            Err(error) => {
                tracing::debug!(cause = %error, "request rejected by the node");
                keep_alive = !has_body && error.is_temporary();
                plain_response(error.status(), &error.to_string())
            }
        },
        "/health/ready" if request.method() != Method::GET => {
            plain_response(StatusCode::METHOD_NOT_ALLOWED, "GET only")
        }
        "/health/ready" if !serving() => plain_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down"),
        // Without a backend every request would be rejected.
        "/health/ready" if !node.has_backend_in_service() => {
            plain_response(StatusCode::SERVICE_UNAVAILABLE, "no backend known yet")
        }
        "/health/ready" => plain_response(StatusCode::OK, "ready"),
        "/health/list" if node.list_state().is_some() && request.method() == Method::GET => {
            plain_response(StatusCode::OK, &list_status(node))
        }
        _ => plain_response(StatusCode::NOT_FOUND, "not found"),
    };
    Ok(if keep_alive && serving() { response } else { closing(response) })
}

/// The state of the backend list, as JSON for operators.
fn list_status(node: &Node) -> String {
    let Some(list) = node.list_state() else { return String::new() };
    let elapsed_ms = |at: Option<Instant>| at.map(|at| at.elapsed().as_millis() as u64);
    serde_json::json!({"rev": list.rev, "age_ms": elapsed_ms(list.as_of),
        "away_ms": elapsed_ms(list.unreachable_since), "replica": list.replica.to_string()})
    .to_string()
}

/// Validates an API request, submits it to the driver and waits for the outcome.
async fn forward(
    node: &Node,
    request: Request<Incoming>,
    ConnectionContext { account, hidden_close, read_deadline, unread_for }: ConnectionContext<'_>,
    response_deadline: Option<Instant>,
    input_settled: impl Future<Output = ()>,
) -> Result<HttpResponse, RequestError> {
    let received_at = node.clock().now();
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    let call_id = required_header(headers, X_CALL_ID)?.to_owned();
    if call_id.is_empty() {
        return Err(RequestError::InvalidHeader(X_CALL_ID));
    }
    let class = required_header(headers, X_CALL_CLASS)?;
    let (class, deadline, idempotency) = node.class(class).ok_or(RequestError::UnknownValue(X_CALL_CLASS))?;
    check_method_and_key(&head.method, headers, idempotency)?;
    let tenant =
        node.tenant(optional_header(headers, X_CALLER)?).map_err(|_| RequestError::UnknownValue(X_CALLER))?;
    let parse_u64 = |name, text: &str| text.parse::<u64>().map_err(|_| RequestError::InvalidHeader(name));
    let budget = parse_u64(X_BUDGET_MS, required_header(headers, X_BUDGET_MS)?)?;
    let cost_hint =
        optional_header(headers, X_CALL_COST)?.map(|text| parse_u64(X_CALL_COST, text)).transpose()?;
    let is_retry = optional_header(headers, X_AGAIN)? == Some("1");
    let unread_for = unread_for.as_nanos() as Nanos;
    let client_time = Duration::from_nanos(remaining_budget(budget, deadline, unread_for));
    let memory = RequestMemorySource::new(account, client_time);
    let fields_memory = memory.acquire(Kind::Request, request_bytes(&head)).await?;
    let (method, target, headers) = into_forwarded_parts(head);
    let body = body::receive(body, &memory, read_deadline).await?;
    if idempotency == Idempotency::Idempotent && !body.bytes.is_empty() {
        return Err(RequestError::NotAllowed("request body"));
    }
    // The read that completes a request does not show whether the client has closed its connection since.
    input_settled.await;
    if account.is_evicted() {
        return Err(RequestError::OutOfMemory);
    }
    if idempotency != Idempotency::Idempotent && node.is_repeated(&call_id) {
        return Err(RequestError::Repeated);
    }
    account.set_stage(Stage::Kept);
    let elapsed = unread_for.saturating_add(node.clock().now().saturating_sub(received_at));
    let budget = remaining_budget(budget, deadline, elapsed);
    let time_to_deadline =
        response_deadline.map(|at| at.saturating_duration_since(Instant::now()).as_nanos() as Nanos);
    let client_request = ClientRequest {
        class,
        tenant,
        cost_hint: cost_hint.map(|micros| micros.saturating_mul(1000)),
        is_retry,
        hidden_close,
        budget: time_to_deadline.map_or(budget, |limit| budget.min(limit)),
        http: HttpRequest {
            method,
            target,
            headers,
            body: body.bytes,
            memory: RequestMemory::new(
                account.clone(),
                body.memory.into_iter().chain([fields_memory]).collect(),
            ),
        },
    };
    Ok(to_response(node.submit(client_request).response().await))
}

/// The time left of a client's budget, which is capped at its class's deadline.
pub(super) fn remaining_budget(budget_ms: u64, deadline: Nanos, elapsed: Nanos) -> Nanos {
    budget_ms
        .saturating_mul(1_000_000)
        .min(deadline)
        .saturating_sub(elapsed.saturating_add(ROUND_TRIP_ALLOWANCE_NS))
}

/// The value of a header that may occur at most once.
fn optional_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(RequestError::InvalidHeader(name));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| RequestError::InvalidHeader(name))
}

fn required_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    optional_header(headers, name)?.ok_or(RequestError::MissingHeader(name))
}

/// Checks that the method and the idempotency key are those that the class requires.
fn check_method_and_key(
    method: &Method,
    headers: &HeaderMap,
    idempotency: Idempotency,
) -> Result<(), RequestError> {
    let expected = if idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(RequestError::MethodNotAllowed(expected));
    }
    match (idempotency, optional_header(headers, IDEMPOTENCY_KEY)?) {
        (Idempotency::Keyed { .. }, None | Some("")) => Err(RequestError::MissingHeader(IDEMPOTENCY_KEY)),
        (Idempotency::Keyed { .. }, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(RequestError::NotAllowed(IDEMPOTENCY_KEY)),
    }
}

/// The memory that a request needs besides its body: its state here and in the balancer, its fields, and copies of them for
/// an attempt and for what is written to a backend.
fn request_bytes(head: &Parts) -> usize {
    BYTES_PER_REQUEST + BYTES_PER_FIELD * head.headers.len() + COPIES_OF_TEXT * text_bytes(head)
}

/// The length of a head's fields and target.
fn text_bytes(head: &Parts) -> usize {
    let field_bytes: usize = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    field_bytes + head.uri.path_and_query().map_or(0, |target| target.as_str().len())
}

/// The parts that are forwarded. As parsed, each refers to the parser's block and keeps it alive; those of a large head are
/// given memory of their own.
fn into_forwarded_parts(head: Parts) -> (Method, Uri, HeaderMap) {
    let is_small = text_bytes(&head) <= SMALL_HEAD_BYTES;
    let forwarded = remove_hop_by_hop(head.headers);
    if is_small {
        return (head.method, head.uri, forwarded);
    }
    let mut headers = HeaderMap::with_capacity(forwarded.len());
    for (name, value) in &forwarded {
        // A value that was parsed once is valid.
        let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) else { continue };
        headers.append(name.clone(), value);
    }
    let target = head.uri.to_string().parse().unwrap_or(head.uri);
    (head.method, target, headers)
}

/// Removes the hop-by-hop headers and those of message framing, which is set anew for each attempt.
fn remove_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != X_CALL_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    let hop_by_hop = [
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
    for name in connection_options.into_iter().chain(hop_by_hop) {
        headers.remove(name);
    }
    headers
}

fn to_response(final_response: FinalResponse) -> HttpResponse {
    match final_response {
        FinalResponse::Served(body) => Response::new(Full::new(body)),
        FinalResponse::Rejected(retry_after) => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "rejected; safe to retry");
            if retry_after > 0 {
                // Rounded up, so that the client does not retry too early.
                let seconds = format!("{:.3}", retry_after.div_ceil(1_000_000) as f64 / 1000.0);
                let value = HeaderValue::from_str(&seconds);
                value.into_iter().for_each(|value| {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                });
            }
            response
        }
        FinalResponse::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// The response with the announcement that its connection is closed after it.
pub fn closing(mut response: HttpResponse) -> HttpResponse {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain_response(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
