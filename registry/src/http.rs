//! What clients and operators, and the other replicas, may call, and how a call becomes an operation.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, RawQuery, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use flaxdale_fleet::watch::{INSTANCES_PATH, LIST_AGE_HEADER};
use openraft::Snapshot;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use crate::list::Rev;
use crate::peers::{
    APPEND_PATH, FLEET_HEADER, MAX_MESSAGE_BYTES, REPLICA_HEADER, SNAPSHOT_PATH, SnapshotMessage, VOTE_PATH,
};
use crate::replica::{DO, ELECT, MOST_LIVES, Operation, Replica, Trouble, WHO};
use crate::wire::{BackupPart, ErrorBody, InstanceKey, Renewal, ReplicaChange, SuspectDecision, Target};

type Own = State<Arc<Replica>>;

/// The protocol's bound of a watch.
const MOST_HOLD: Duration = Duration::from_secs(60);
/// A replica that is behind its client waits so long at least for what the client has seen.
const CATCH_UP: Duration = Duration::from_secs(1);
/// Bytes of a call.
const MOST_CALL: usize = 1024 * 1024;

impl IntoResponse for Trouble {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, axum::Json(ErrorBody { error: self.text })).into_response();
        if let Some(again) = self.again
            && let Ok(value) = HeaderValue::from_str(&format!("{:.1}", again.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> Result<T, Trouble> {
    serde_json::from_slice(body).map_err(|error| Trouble::refused(400, error.to_string()))
}

fn json<T: Serialize>(value: &T) -> Response {
    axum::Json(value).into_response()
}

/// Calls of clients and operators.
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
        .route("/registry/backup", get(async |State(own): Own| json(&own.backup())))
        .route("/registry/status", get(async |State(own): Own| json(&own.status())))
        .route("/health/live", get(async || "live\n"))
        .route("/health/ready", get(ready))
        .route("/metrics", get(async |State(own): Own| own.metrics.text(&own.gauges())))
        .fallback(async || Trouble::refused(404, "no such path"))
        .method_not_allowed_fallback(async || Trouble::refused(405, "not by this method"))
        .layer(DefaultBodyLimit::max(MOST_CALL))
        .with_state(replica)
}

/// Calls of the other replicas.
pub fn peers(replica: Arc<Replica>) -> Router {
    Router::new()
        .route(APPEND_PATH, post(append))
        .route(VOTE_PATH, post(vote))
        .route(SNAPSHOT_PATH, post(snapshot))
        .route(WHO, post(async |State(own): Own| json(&own.who().await)))
        .route(ELECT, post(async |State(own): Own| own.stand().await.map(|done| json(&done))))
        .route(DO, post(async |State(own): Own, body: Bytes| perform(&own, parsed(&body)?, true).await))
        .route(
            "/peer/join",
            post(async |State(own): Own, body: Bytes| perform(&own, parsed(&body)?, false).await),
        )
        .fallback(async || Trouble::refused(404, "no such path"))
        .layer(from_fn_with_state(replica.clone(), meant))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(replica)
}

/// Lets through what is for this fleet and this replica.
async fn meant(State(own): Own, headers: HeaderMap, request: Request, next: Next) -> Response {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text(FLEET_HEADER) != Some(own.settings().fleet.as_str()) {
        return Trouble::refused(421, "this is a replica of another fleet").into_response();
    }
    if text(REPLICA_HEADER).is_some_and(|to| to != own.id().to_string()) {
        return Trouble::refused(421, format!("this is replica {}", own.id())).into_response();
    }
    next.run(request).await
}

async fn append(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    Ok(json(&own.raft().append_entries(parsed(&body)?).await))
}

async fn vote(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    Ok(json(&own.raft().vote(parsed(&body)?).await))
}

async fn snapshot(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    let SnapshotMessage { vote, meta, state } = parsed(&body)?;
    let snapshot = Snapshot { meta, snapshot: Box::new(state) };
    Ok(json(&own.raft().install_full_snapshot(vote, snapshot).await))
}

async fn perform(own: &Replica, operation: Operation, sent_on: bool) -> Result<Response, Trouble> {
    own.perform(operation, sent_on).await.map(|done: Value| json(&done))
}

async fn register(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    let instance = crate::list::Instance::from(parsed::<Target>(&body)?);
    // Before it goes anywhere: nonsense costs the log nothing.
    instance.check().map_err(|refused| Trouble::refused(400, refused.to_string()))?;
    perform(&own, Operation::Register(instance), false).await
}

async fn renew(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    let renewal: Renewal = parsed(&body)?;
    if renewal.lives.len() > MOST_LIVES {
        return Err(Trouble::refused(400, format!("lives: {MOST_LIVES} at most in one call")));
    }
    perform(&own, Operation::Renew(renewal), false).await
}

async fn drain(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    perform(&own, Operation::Drain(parsed::<InstanceKey>(&body)?), false).await
}

async fn leave(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    perform(&own, Operation::Leave(parsed::<InstanceKey>(&body)?), false).await
}

async fn suspects(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    perform(&own, Operation::Decide(parsed::<SuspectDecision>(&body)?), false).await
}

async fn restore(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    perform(&own, Operation::Restore(parsed::<BackupPart>(&body)?), false).await
}

async fn replicas(State(own): Own, body: Bytes) -> Result<Response, Trouble> {
    perform(&own, Operation::Replicas(parsed::<ReplicaChange>(&body)?), false).await
}

async fn ready(State(own): Own) -> Result<&'static str, Trouble> {
    own.not_ready_reason().map_or(Ok("ready\n"), |reason| Err(Trouble::later(reason)))
}

/// What a watcher asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Watch {
    from: Option<Rev>,
    seen: Option<Rev>,
    hold: Duration,
}

impl Watch {
    fn read(query: &str) -> Result<Self, Trouble> {
        let mut watch = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let number = value.parse::<u64>();
            let number =
                number.map_err(|_| Trouble::refused(400, format!("{name}: {value:?} is no whole number")));
            match name {
                "from" => watch.from = Some(number?),
                "seen" => watch.seen = Some(number?),
                "hold_ms" => watch.hold = Duration::from_millis(number?).min(MOST_HOLD),
                _ => return Err(Trouble::refused(400, format!("{name}: from, seen and hold_ms are known"))),
            }
        }
        Ok(watch)
    }
}

/// Counts a watch that waits.
struct Waiting<'a>(&'a Replica);

impl<'a> Waiting<'a> {
    fn one(own: &'a Replica) -> Result<Self, Trouble> {
        // Counted out when it is dropped, also where it was one too many.
        let waiting = Self(own);
        let most = own.settings().most_watches;
        if own.watches.fetch_add(1, Ordering::Relaxed) >= most {
            return Err(Trouble::later(format!("{most} watches wait already")));
        }
        Ok(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.watches.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A watch, without the router's way to it.
pub async fn watch(own: Arc<Replica>, query: Option<String>) -> Response {
    instances(State(own), RawQuery(query)).await.into_response()
}

/// The list, or what is new on it once there is something new. Never older than what the client has seen.
async fn instances(State(own): Own, RawQuery(query): RawQuery) -> Result<Response, Trouble> {
    let watch = Watch::read(query.as_deref().unwrap_or_default())?;
    let began = Instant::now();
    let mut revs = own.watch();
    let needed = watch.from.max(watch.seen).unwrap_or(0);
    if needed > own.rev() {
        let _waiting = Waiting::one(&own)?;
        let reached = revs.wait_for(|rev| *rev >= needed);
        if timeout_at(began + watch.hold.max(CATCH_UP), reached).await.is_err() {
            let text = format!("this replica is behind: it has version {}, and {needed} was seen", own.rev());
            return Err(Trouble::later(text));
        }
    }
    if watch.from.is_some_and(|from| from == own.rev()) && !watch.hold.is_zero() {
        let _waiting = Waiting::one(&own)?;
        // Nothing new is an answer too.
        let _ = timeout_at(began + watch.hold, revs.wait_for(|rev| Some(*rev) != watch.from)).await;
    }
    own.metrics.lists_answered.inc();
    let mut response = Response::new(Body::from(own.response_cache.get(watch.from)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let age = match own.age() {
        Some(age) => HeaderValue::from(age.as_millis() as u64),
        None => HeaderValue::from_static("unknown"),
    };
    headers.insert(LIST_AGE_HEADER, age);
    Ok(response)
}

#[cfg(test)]
mod tests;
