//! Open-loop load generator on sockets. Requests are sent when they are due regardless of earlier responses, and
//! latency counts from the due time, so that a stalled fleet does not hide its latency (coordinated omission).

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use bytes::Bytes;
use flaxdale_model::clients::{self, ClientRequest, RequestGenerator, TryOutcome};
use flaxdale_model::invariants::{FinalResponse, wire_id};
use flaxdale_model::scenario::Idempotency;
use flaxdale_model::stats::RequestOutcome;
use flaxdale_model::world::{MS, SECOND, rng_stream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::shared::{RequestInfo, Shared, lock};

/// Grace period after the deadline of a request; a response that is still missing then violates a rule.
pub const ANSWER_SLACK: Nanos = SECOND / 2;
/// Maximum number of requests in flight, which bounds the memory of the rig.
const MAX_IN_FLIGHT: usize = 50_000;
/// Maximum number of idle connections kept per node.
const MAX_IDLE_PER_NODE: usize = 256;
/// Connections idle for longer are not reused: nodes close idle connections after 2 s.
const MAX_IDLE_TIME: Nanos = 1800 * MS;
const MAX_BODY_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the servers' information about a request is kept after its client has given up.
const REQUEST_INFO_RETENTION: Nanos = 10 * SECOND;
/// A node must send an improper peer an error or close its connection within this time.
const IMPROPER_PEER_TIMEOUT: Duration = Duration::from_millis(3500);

type NodeConnection = SendRequest<Full<Bytes>>;

/// A node as seen by the frontend of its zone.
#[derive(Debug, Default)]
pub struct NodeTarget {
    /// Listening address; `None` before the first start.
    pub address: Mutex<Option<SocketAddr>>,
    /// Whether the frontend sends connections to it.
    pub in_rotation: AtomicBool,
    /// Number of kills and pauses; the node owes no response to requests that were in flight then.
    pub disruptions: AtomicU64,
    /// Whether the node is paused; it owes no responses meanwhile.
    pub paused: AtomicBool,
}

/// Clients that send the load of a run, with one frontend per zone.
pub struct LoadGenerator {
    shared: Arc<Shared>,
    /// The nodes by index.
    pub nodes: Vec<NodeTarget>,
    generator: Mutex<RequestGenerator>,
    /// Idle connections by node, with the time at which each became idle.
    idle: Vec<Mutex<Vec<(NodeConnection, Nanos)>>>,
    rng: Mutex<ChaCha12Rng>,
    next_id: AtomicU64,
    permits: Arc<Semaphore>,
    /// Requests that were not sent because too many were in flight.
    pub requests_dropped: AtomicU64,
    /// Number of improper peers, and of those that got neither an error nor a close in time.
    pub improper_peers: [AtomicU64; 2],
}

enum CallResult {
    /// Status, and the retry-after delay if there is one.
    Response(StatusCode, Nanos),
    /// The connection ended or the response was invalid.
    Error,
    /// No connection could be established.
    Unreachable,
    /// No response in time.
    Timeout,
}

impl LoadGenerator {
    /// Creates a load generator that starts with the timeline.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        let nodes = shared.world.nodes.len();
        Arc::new(Self {
            nodes: (0..nodes).map(|_| NodeTarget::default()).collect(),
            generator: Mutex::new(RequestGenerator::new(&shared.world, shared.timeline().start)),
            idle: (0..nodes).map(|_| Mutex::default()).collect(),
            rng: Mutex::new(rng_stream(shared.world.seed, 11)),
            next_id: AtomicU64::new(1),
            permits: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
            requests_dropped: AtomicU64::new(0),
            improper_peers: Default::default(),
            shared,
        })
    }

    /// Restarts the schedule of requests at `start`.
    pub fn start_load(&self, start: Nanos) {
        *lock(&self.generator) = RequestGenerator::new(&self.shared.world, start);
    }

    /// Waits until no request is in flight; the deadlines of the requests bound the wait.
    pub async fn wait_idle(&self) {
        let _ = self.permits.acquire_many(MAX_IN_FLIGHT as u32).await;
    }

    /// Changes the parameters of the load.
    pub fn update_load(&self, update: impl FnOnce(&mut RequestGenerator)) {
        update(&mut lock(&self.generator));
    }

    /// Sends requests until `end`, then waits for those in flight.
    pub async fn run(self: Arc<Self>, end: Nanos) {
        let shared = self.shared.clone();
        loop {
            let request = lock(&self.generator).next(&shared.world);
            if request.due_at >= end {
                break;
            }
            if request.due_at > shared.clock.now() {
                shared.clock.sleep_until(request.due_at).await;
            }
            let late_us = shared.clock.now().saturating_sub(request.due_at) / 1000;
            lock(&shared.lateness).saturating_record(late_us.max(1));
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => {
                    let load_generator = self.clone();
                    tokio::spawn(async move {
                        load_generator.run_request(request).await;
                        drop(permit);
                    });
                }
                Err(_) => {
                    self.requests_dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        self.wait_idle().await;
    }

    /// Sends a request, retries as its client does, and records the outcome.
    async fn run_request(&self, request: ClientRequest) {
        let shared = &self.shared;
        let mut tries = 0;
        let outcome = loop {
            lock(&shared.stats).tries += 1;
            let try_outcome = self.try_once(&request).await;
            let now = shared.clock.now();
            let retry =
                clients::next_retry(&shared.world, &request, tries, try_outcome, now, &mut *lock(&self.rng));
            match retry {
                Some(retry_at) => shared.clock.sleep_until(retry_at).await,
                None => {
                    break match try_outcome {
                        TryOutcome::Served => RequestOutcome::Served,
                        TryOutcome::Rejected(_) => RequestOutcome::Rejected,
                        TryOutcome::Failed => RequestOutcome::Failed,
                        TryOutcome::Unreachable => RequestOutcome::Unreachable,
                    };
                }
            }
            tries += 1;
        };
        let now = shared.clock.now();
        lock(&shared.stats).record(&shared.world, &request, outcome, now);
    }

    fn pick_node(&self, zone: u32) -> Option<usize> {
        let nodes = self.shared.world.nodes.iter().enumerate();
        let in_rotation: Vec<usize> = nodes
            .filter(|(index, node)| {
                node.zone == zone && self.nodes[*index].in_rotation.load(Ordering::Relaxed)
            })
            .map(|(index, _)| index)
            .collect();
        (!in_rotation.is_empty()).then(|| in_rotation[lock(&self.rng).random_range(0..in_rotation.len())])
    }

    async fn try_once(&self, request: &ClientRequest) -> TryOutcome {
        let shared = &self.shared;
        let Some(node) = self.pick_node(request.zone) else { return TryOutcome::Unreachable };
        let now = shared.clock.now();
        let not_after = now + clients::try_timeout(&shared.world, request, now);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let class = &shared.world.classes[request.class];
        let disruptions = || self.nodes[node].disruptions.load(Ordering::Relaxed);
        let disruptions_before = disruptions();
        {
            let mut tracker = lock(&shared.tracker);
            tracker.invariants.request_sent(id, class.idempotency, class.dedup_window, not_after, now);
            let key =
                (class.idempotency == Idempotency::Keyed).then_some((request.number, class.dedup_window));
            tracker.requests.insert(
                id,
                RequestInfo { node, work: request.work, io_wait: request.io_wait, not_after, dedup_key: key },
            );
        }
        let time_left = Duration::from_nanos((not_after + ANSWER_SLACK).saturating_sub(now));
        let result = timeout(time_left, self.call_node(node, request, id, not_after))
            .await
            .unwrap_or(CallResult::Timeout);
        let ended_at = shared.clock.now();
        let excused = disruptions() != disruptions_before || self.nodes[node].paused.load(Ordering::Relaxed);
        let mut tracker = lock(&shared.tracker);
        if excused || matches!(result, CallResult::Unreachable) {
            // No node accepted it, or the node was killed or paused by the rig.
            tracker.invariants.excuse(id);
        }
        let (final_response, try_outcome) = match result {
            CallResult::Response(StatusCode::OK, _) => (Some(FinalResponse::Served), TryOutcome::Served),
            CallResult::Response(
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
                retry_after,
            ) => (Some(FinalResponse::Rejected), TryOutcome::Rejected(retry_after)),
            CallResult::Response(..) => (Some(FinalResponse::Failed), TryOutcome::Failed),
            CallResult::Unreachable => (None, TryOutcome::Unreachable),
            CallResult::Error | CallResult::Timeout => (None, TryOutcome::Failed),
        };
        // The request info is kept for a while: a paused node or a cut link may deliver the request after its client
        // has given up.
        match final_response {
            Some(final_response) => tracker.invariants.response_received(id, final_response, ended_at),
            None => tracker.invariants.request_expired(id, ended_at),
        }
        // The client has given up by then.
        if try_outcome == TryOutcome::Served && ended_at > not_after {
            TryOutcome::Failed
        } else {
            try_outcome
        }
    }

    async fn call_node(&self, node: usize, request: &ClientRequest, id: u64, not_after: Nanos) -> CallResult {
        let disruptions = self.nodes[node].disruptions.load(Ordering::Relaxed);
        for _ in 0..2 {
            let now = self.shared.clock.now();
            let idle_connection = lock(&self.idle[node]).pop();
            let idle_connection = idle_connection
                .filter(|(connection, since)| !connection.is_closed() && now < since + MAX_IDLE_TIME)
                .map(|entry| entry.0);
            let new_connection = idle_connection.is_none();
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => match self.connect(node).await {
                    Some(connection) => connection,
                    None => return CallResult::Unreachable,
                },
            };
            if connection.ready().await.is_err() {
                if new_connection {
                    return CallResult::Error;
                }
                continue;
            }
            let Some(message) = self.build_request(request, id, not_after) else { return CallResult::Error };
            match connection.try_send_request(message).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
                        return CallResult::Error;
                    }
                    let retry_after = head.headers.get("retry-after").and_then(|value| value.to_str().ok());
                    let retry_after =
                        retry_after.and_then(|seconds| seconds.parse::<f64>().ok()).unwrap_or(0.0);
                    let mut idle = lock(&self.idle[node]);
                    if idle.len() < MAX_IDLE_PER_NODE {
                        idle.push((connection, self.shared.clock.now()));
                    }
                    return CallResult::Response(
                        head.status,
                        (retry_after.clamp(0.0, 3600.0) * SECOND as f64) as Nanos,
                    );
                }
                // The node closed an idle connection before it read the request: retried on a new connection, unless
                // the node was disrupted meanwhile, as it may then have read the request.
                Err(_)
                    if !new_connection
                        && self.nodes[node].disruptions.load(Ordering::Relaxed) == disruptions => {}
                Err(_) => return CallResult::Error,
            }
        }
        CallResult::Error
    }

    async fn connect(&self, node: usize) -> Option<NodeConnection> {
        let address = (*lock(&self.nodes[node].address))?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Errors show in the request that uses the connection.
            let _ = connection.await;
        });
        Some(sender)
    }

    fn build_request(
        &self,
        request: &ClientRequest,
        id: u64,
        not_after: Nanos,
    ) -> Option<Request<Full<Bytes>>> {
        let world = &self.shared.world;
        let class = &world.classes[request.class];
        let budget_ms = not_after.saturating_sub(self.shared.clock.now()) / MS;
        let method = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
        let mut builder = Request::builder()
            .method(method)
            .uri("/api")
            .header("host", "origin.svc")
            .header("x-call-id", wire_id(id))
            .header("x-call-class", &class.name)
            .header("x-budget-ms", budget_ms);
        if let Some(tenant) = request.tenant {
            builder = builder.header("x-caller", &world.tenants[tenant].name);
        }
        if class.idempotency == Idempotency::Keyed {
            // All tries of a request share one key.
            builder = builder.header("idempotency-key", format!("{:032x}", request.number));
        }
        let body = if class.idempotency == Idempotency::Idempotent {
            Bytes::new()
        } else {
            Bytes::from_static(b"{}")
        };
        builder.body(Full::new(body)).ok()
    }

    /// Removes information about requests that ended long ago; runs until it is aborted.
    pub async fn remove_expired(self: Arc<Self>) {
        loop {
            sleep(Duration::from_secs(2)).await;
            let cutoff = self.shared.clock.now().saturating_sub(REQUEST_INFO_RETENTION);
            let mut tracker = lock(&self.shared.tracker);
            tracker.requests.retain(|_, info| info.not_after >= cutoff);
            tracker.invariants.remove_idle_since(cutoff);
        }
    }

    /// Acts as a peer that sends no proper request and checks that it gets an error or a close in time.
    pub async fn run_improper_peer(self: Arc<Self>) {
        let kind = lock(&self.rng).random_range(0..4u32);
        let node = lock(&self.rng).random_range(0..self.nodes.len());
        let Some(address) = *lock(&self.nodes[node].address) else { return };
        let disruptions = self.nodes[node].disruptions.load(Ordering::Relaxed);
        self.improper_peers[0].fetch_add(1, Ordering::Relaxed);
        let payload: &[u8] = match kind {
            0 => b"",
            1 => b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
            2 => b"POST /api HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: 10\r\n\r\n",
            _ => b"GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Class: none\r\n\r\n",
        };
        let exchange = async {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            let _ = stream.write_all(payload).await;
            let mut response = [0; 256];
            // An error response, a close and a reset are all accepted.
            let _ = stream.read(&mut response).await;
        };
        let target = &self.nodes[node];
        let disrupted = || {
            target.disruptions.load(Ordering::Relaxed) != disruptions || target.paused.load(Ordering::Relaxed)
        };
        if timeout(IMPROPER_PEER_TIMEOUT, exchange).await.is_err() && !disrupted() {
            self.improper_peers[1].fetch_add(1, Ordering::Relaxed);
        }
    }
}
