//! The HTTP API for clients, operators and other replicas.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::rejection::QueryRejection;
use axum::extract::{DefaultBodyLimit, Query, RawQuery, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use flaxdale_fleet::watch::{INSTANCES_PATH, LIST_AGE_HEADER};
use openraft::Snapshot;
use openraft::error::RaftError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use crate::list::Rev;
use crate::peers::{
    APPEND_PATH, FLEET_HEADER, MAX_MESSAGE_BYTES, REPLICA_HEADER, SNAPSHOT_PATH, SnapshotMessage, VOTE_PATH,
};
use crate::raft::ReplicaId;
use crate::replica::{
    ApiError, ELECT_PATH, IDENTITY_PATH, MAX_RENEWALS_PER_CALL, OPERATION_PATH, Operation, Origin,
    RELAY_PATH, Replica,
};
use crate::wire::{BackupPart, ErrorBody, InstanceKey, Renewal, ReplicaChange, SuspectDecision, Target};

type ReplicaState = State<Arc<Replica>>;

/// Maximum time that a watch may wait for a change.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// Minimum time that a replica waits to reach the revision that a client has seen.
const MIN_CATCH_UP_WAIT: Duration = Duration::from_secs(1);
/// Size limit of a request body from clients.
const MAX_CALL_BYTES: usize = 1024 * 1024;

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, axum::Json(ErrorBody { error: self.message })).into_response();
        if let Some(retry_after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.1}", retry_after.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| ApiError::new(400, error.to_string()))
}

fn json<T: Serialize>(value: &T) -> Response {
    axum::Json(value).into_response()
}

/// Returns the routes for clients and operators.
pub fn clients(replica: Arc<Replica>) -> Router {
    Router::new()
        .route(INSTANCES_PATH, get(instances))
        .route("/registry/register", post(register))
        .route("/registry/renew", post(renew))
        .route("/registry/drain", post(drain))
        .route("/registry/leave", post(leave))
        .route("/registry/suspects", post(suspects))
        .route("/registry/restore", post(restore))
        .route("/registry/replicas", post(replicas))
        .route("/registry/backup", get(backup))
        .route("/registry/status", get(async |State(replica): ReplicaState| json(&replica.status())))
        .route("/health/live", get(async || "live\n"))
        .route("/health/ready", get(ready))
        .route("/metrics", get(async |State(replica): ReplicaState| replica.metrics.text(&replica.gauges())))
        .fallback(async || ApiError::new(404, "no such path"))
        .method_not_allowed_fallback(async || ApiError::new(405, "method not allowed"))
        .layer(DefaultBodyLimit::max(MAX_CALL_BYTES))
        .with_state(replica)
}

/// Returns the routes for other replicas.
pub fn peers(replica: Arc<Replica>) -> Router {
    Router::new()
        .route(APPEND_PATH, post(append))
        .route(VOTE_PATH, post(vote))
        .route(SNAPSHOT_PATH, post(snapshot))
        .route(IDENTITY_PATH, post(async |State(replica): ReplicaState| json(&replica.identity().await)))
        .route(
            ELECT_PATH,
            post(async |State(replica): ReplicaState| replica.campaign().await.map(|result| json(&result))),
        )
        .route(
            OPERATION_PATH,
            post(async |State(replica): ReplicaState, body: Bytes| {
                dispatch(&replica, parse(&body)?, Origin::Forwarded).await
            }),
        )
        .route(
            RELAY_PATH,
            post(async |State(replica): ReplicaState, body: Bytes| {
                dispatch(&replica, parse(&body)?, Origin::Relayed).await
            }),
        )
        .fallback(async || ApiError::new(404, "no such path"))
        .layer(from_fn_with_state(replica.clone(), check_addressee))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(replica)
}

/// Rejects calls that are meant for another fleet or another replica.
async fn check_addressee(
    State(replica): ReplicaState,
    headers: HeaderMap,
    request: Request,
    next: Next,
) -> Response {
    let value_of = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if value_of(FLEET_HEADER) != Some(replica.settings().fleet.as_str()) {
        return ApiError::new(421, "this is a replica of another fleet").into_response();
    }
    if value_of(REPLICA_HEADER).is_some_and(|to| to != replica.id().to_string()) {
        return ApiError::new(421, format!("this is replica {}", replica.id())).into_response();
    }
    next.run(request).await
}

/// Returns the result of a Raft message as a response. A replica that takes no part in replication at present answers
/// like one that does not run.
fn raft_response<T: Serialize, E: Serialize>(
    result: Result<T, RaftError<ReplicaId, E>>,
) -> Result<Response, ApiError> {
    match result {
        Err(RaftError::Fatal(error)) => Err(ApiError::unavailable(format!("Raft has stopped: {error}"))),
        result => Ok(json(&result)),
    }
}

async fn append(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    raft_response(replica.raft().append_entries(parse(&body)?).await)
}

async fn vote(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    raft_response(replica.raft().vote(parse(&body)?).await)
}

async fn snapshot(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    let SnapshotMessage { vote, meta, state } = parse(&body)?;
    let snapshot = Snapshot { meta, snapshot: Box::new(state) };
    let installed = replica.raft().install_full_snapshot(vote, snapshot).await;
    raft_response(installed.map_err(RaftError::<ReplicaId>::Fatal))
}

async fn dispatch(
    replica: &Arc<Replica>,
    operation: Operation,
    origin: Origin,
) -> Result<Response, ApiError> {
    replica.dispatch(operation, origin).await.map(|result: Value| json(&result))
}

async fn register(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    let instance = crate::list::Instance::from(parse::<Target>(&body)?);
    // Validated before it is forwarded or replicated.
    instance.check().map_err(|error| ApiError::new(400, error.to_string()))?;
    dispatch(&replica, Operation::Register(instance), Origin::Client).await
}

async fn renew(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    let renewal: Renewal = parse(&body)?;
    if renewal.lives.len() > MAX_RENEWALS_PER_CALL {
        return Err(ApiError::new(400, format!("lives: must have at most {MAX_RENEWALS_PER_CALL} entries")));
    }
    dispatch(&replica, Operation::Renew(renewal), Origin::Client).await
}

async fn drain(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    dispatch(&replica, Operation::Drain(parse::<InstanceKey>(&body)?), Origin::Client).await
}

async fn leave(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    dispatch(&replica, Operation::Leave(parse::<InstanceKey>(&body)?), Origin::Client).await
}

async fn suspects(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    dispatch(&replica, Operation::Decide(parse::<SuspectDecision>(&body)?), Origin::Client).await
}

async fn restore(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    dispatch(&replica, Operation::Restore(parse::<BackupPart>(&body)?), Origin::Client).await
}

async fn replicas(State(replica): ReplicaState, body: Bytes) -> Result<Response, ApiError> {
    dispatch(&replica, Operation::Replicas(parse::<ReplicaChange>(&body)?), Origin::Client).await
}

/// The query parameters of a backup.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BackupQuery {
    /// Whether a backup that may lack acknowledged writes is acceptable.
    stale: bool,
}

async fn backup(
    State(replica): ReplicaState,
    query: Result<Query<BackupQuery>, QueryRejection>,
) -> Result<Response, ApiError> {
    let Query(query) = query.map_err(|error| ApiError::new(400, error.to_string()))?;
    replica.backup(query.stale).await.map(|backup| json(&backup))
}

async fn ready(State(replica): ReplicaState) -> Result<&'static str, ApiError> {
    replica.not_ready_reason().map_or(Ok("ready\n"), |reason| Err(ApiError::unavailable(reason)))
}

/// The query parameters of a list request or watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WatchQuery {
    from: Option<Rev>,
    seen: Option<Rev>,
    hold: Duration,
    /// Whether the response must have every write that was acknowledged before the request.
    current: bool,
}

impl WatchQuery {
    fn read(query: &str) -> Result<Self, ApiError> {
        let mut watch = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            if name == "current" {
                let parsed = value.parse::<bool>();
                watch.current = parsed
                    .map_err(|_| ApiError::new(400, format!("{name}: {value:?} is not true or false")))?;
                continue;
            }
            let number = value.parse::<u64>();
            let number = number
                .map_err(|_| ApiError::new(400, format!("{name}: {value:?} is not an unsigned integer")));
            match name {
                "from" => watch.from = Some(number?),
                "seen" => watch.seen = Some(number?),
                "hold_ms" => watch.hold = Duration::from_millis(number?).min(MAX_HOLD),
                _ => {
                    return Err(ApiError::new(
                        400,
                        format!("{name}: expected from, seen, hold_ms or current"),
                    ));
                }
            }
        }
        Ok(watch)
    }
}

/// Counts a waiting watch for as long as it exists.
struct WatchGuard<'a>(&'a Replica);

impl<'a> WatchGuard<'a> {
    fn acquire(replica: &'a Replica) -> Result<Self, ApiError> {
        // Created first: its drop decrements the count even if the limit is exceeded.
        let guard = Self(replica);
        let limit = replica.settings().most_watches;
        if replica.watches.fetch_add(1, Ordering::Relaxed) >= limit {
            return Err(ApiError::unavailable(format!("too many waiting watches, the limit is {limit}")));
        }
        Ok(guard)
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.watches.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles a list request without the router.
pub async fn watch(replica: Arc<Replica>, query: Option<String>) -> Response {
    instances(State(replica), RawQuery(query)).await.into_response()
}

/// Returns the list or its changes, waiting for a change if requested. The response is never older than the revision
/// that the client has seen.
async fn instances(State(replica): ReplicaState, RawQuery(query): RawQuery) -> Result<Response, ApiError> {
    let watch = WatchQuery::read(query.as_deref().unwrap_or_default())?;
    let started_at = Instant::now();
    if watch.current {
        replica.await_current_list().await?;
    }
    let mut revisions = replica.watch();
    let min_rev = watch.from.max(watch.seen).unwrap_or(0);
    if min_rev > replica.rev() {
        let _guard = WatchGuard::acquire(&replica)?;
        let caught_up = revisions.wait_for(|rev| *rev >= min_rev);
        if timeout_at(started_at + watch.hold.max(MIN_CATCH_UP_WAIT), caught_up).await.is_err() {
            let message = format!(
                "this replica is behind: it has revision {}, the client has seen {min_rev}",
                replica.rev()
            );
            return Err(ApiError::unavailable(message));
        }
    }
    if watch.from.is_some_and(|from| from == replica.rev()) && !watch.hold.is_zero() {
        let _guard = WatchGuard::acquire(&replica)?;
        // After a timeout the response is an empty update.
        let _ = timeout_at(started_at + watch.hold, revisions.wait_for(|rev| Some(*rev) != watch.from)).await;
    }
    replica.metrics.lists_answered.inc();
    let mut response = Response::new(Body::from(replica.response_cache.get(watch.from)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let age = match replica.age() {
        Some(age) => HeaderValue::from(age.as_millis() as u64),
        None => HeaderValue::from_static("unknown"),
    };
    headers.insert(LIST_AGE_HEADER, age);
    Ok(response)
}

#[cfg(test)]
mod tests;
