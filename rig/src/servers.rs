//! Emulated app servers on sockets. The server model decides the outcome of each request and this module speaks HTTP.
//! Each server has a listener, its connections, and a task that completes jobs of the model when they end.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brookfield::Nanos;
use bytes::Bytes;
use flaxdale_model::dedup::DedupKey;
use flaxdale_model::invariants::Rule;
use flaxdale_model::server::{Admission, Job, JobOutcome, Server, ServerFault};
use flaxdale_model::world::{MS, rng_stream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;

use crate::listener::SwitchableListener;
use crate::shared::{RequestInfo, Shared, lock};

/// Maximum size of a request body in the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Idle connections are closed after this time; the settings of the nodes name the same limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// State of the host of a server instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    /// The process runs and is reachable.
    Up,
    /// Packets to the host go unanswered.
    Unreachable,
    /// The host refuses connections because no process listens.
    Down,
}

struct ServerState {
    server: Server,
    pending: HashMap<u64, oneshot::Sender<JobOutcome>>,
    rng: ChaCha12Rng,
}

/// One instance of an app server: one lifetime of its process.
pub struct AppServer {
    /// Index of the instance in the timeline.
    pub instance: u32,
    /// Index of the server in the world.
    server_index: usize,
    address: SocketAddr,
    shared: Arc<Shared>,
    state: Mutex<ServerState>,
    host_state: watch::Sender<HostState>,
    wake: Notify,
    next_job: AtomicU64,
    /// When the process started; `None` if it has been up since the start of the run.
    started_at: Mutex<Option<Nanos>>,
    draining: AtomicBool,
}

/// Whether an instance runs from the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// Running, past its slow start.
    Up,
    /// Not running until [`AppServer::start`].
    Down,
}

impl AppServer {
    /// Binds the port of an instance and spawns its tasks; they run until the runtime shuts down.
    pub fn spawn(
        shared: Arc<Shared>,
        instance: u32,
        initial_state: InitialState,
    ) -> std::io::Result<Arc<Self>> {
        let server_index = shared.timeline().instances[instance as usize].server;
        let listener = if initial_state == InitialState::Up {
            SwitchableListener::bind()?
        } else {
            SwitchableListener::bind_refusing()?
        };
        let mut server = Server::new(shared.world.servers[server_index].spec, shared.clock.now());
        if initial_state == InitialState::Down {
            server.stop(shared.clock.now());
        }
        let rng = rng_stream(shared.world.seed, 50_000 + u64::from(instance));
        let host_state = if initial_state == InitialState::Up { HostState::Up } else { HostState::Down };
        let app_server = Arc::new(Self {
            instance,
            server_index,
            address: listener.address(),
            shared,
            state: Mutex::new(ServerState { server, pending: HashMap::new(), rng }),
            host_state: watch::Sender::new(host_state),
            wake: Notify::new(),
            next_job: AtomicU64::new(0),
            started_at: Mutex::default(),
            draining: AtomicBool::new(false),
        });
        tokio::spawn(app_server.clone().accept_connections(listener, host_state));
        tokio::spawn(app_server.clone().complete_jobs());
        Ok(app_server)
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Unique id in the backend list.
    pub fn uid(&self) -> String {
        uid(self.instance)
    }

    /// Kills the process: open connections are closed, new ones refused.
    pub fn kill(&self) {
        let lost_jobs = lock(&self.state).server.stop(self.shared.clock.now());
        self.release_keys(&lost_jobs);
        lock(&self.state).pending.clear();
        self.host_state.send_replace(HostState::Down);
    }

    /// Starts the process in slow start.
    pub fn start(&self) {
        let lost_jobs = lock(&self.state).server.start(self.shared.clock.now(), true);
        self.release_keys(&lost_jobs);
        *lock(&self.started_at) = Some(self.shared.clock.now());
        self.host_state.send_replace(HostState::Up);
    }

    /// Releases the idempotency keys of lost jobs, so that another server of the group may run the requests.
    fn release_keys(&self, lost_jobs: &[Job]) {
        let dedup = &mut lock(&self.shared.tracker).dedup;
        lost_jobs.iter().for_each(|job| dedup.job_ended((self.instance, job.id), false));
    }

    /// Makes the host unreachable or reachable again; connections from before are reset when it comes back.
    pub fn set_unreachable(&self, unreachable: bool) {
        let change = |host_state: &mut HostState| {
            let new_state = if unreachable { HostState::Unreachable } else { HostState::Up };
            let changed = *host_state != HostState::Down && *host_state != new_state;
            if changed {
                *host_state = new_state;
            }
            changed
        };
        self.host_state.send_if_modified(change);
    }

    /// Marks the instance as draining; its registrar reports that to the registry.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the instance was told to drain.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether the process runs and its host is reachable.
    pub fn is_reachable(&self) -> bool {
        self.is_up() && *self.host_state.borrow() == HostState::Up
    }

    /// When the process started; `None` if it has been up since the start of the run.
    pub fn started_at(&self) -> Option<Nanos> {
        *lock(&self.started_at)
    }

    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        lock(&self.state).server.is_up()
    }

    /// Whether congestion slows the server down.
    pub fn is_congested(&self) -> bool {
        lock(&self.state).server.is_congested()
    }

    /// Replaces the active fault of the server.
    pub fn set_fault(&self, fault: ServerFault) {
        lock(&self.state).server.set_fault(self.shared.clock.now(), fault);
        self.wake.notify_one();
    }

    async fn accept_connections(
        self: Arc<Self>,
        mut listener: SwitchableListener,
        mut host_state: HostState,
    ) {
        let mut host_states = self.host_state.subscribe();
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                changed = host_states.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let next = *host_states.borrow_and_update();
                    let switched = match next {
                        HostState::Up => listener.reopen(),
                        HostState::Down => listener.refuse(),
                        HostState::Unreachable => listener.silence().await,
                    };
                    // A port lost to another process on this machine is a problem of the rig, not of the node.
                    if let Err(error) = switched {
                        let (server, cause) = (self.uid(), error.to_string());
                        self.shared.record_event("rig-trouble", json!({"server": server, "cause": cause}));
                    }
                    // Connections of an unreachable host stay open without responses until it comes back.
                    if next == HostState::Down || host_state == HostState::Unreachable {
                        connections.abort_all();
                    }
                    host_state = next;
                }
                accepted = listener.accept() => {
                    let Ok(stream) = accepted else { continue };
                    if lock(&self.state).server.connect(self.shared.clock.now()) {
                        connections.spawn(self.clone().serve_connection(stream));
                    }
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // Reports the disconnect to the model also if the task is aborted.
        struct ConnectionGuard(Arc<AppServer>, u64);
        impl Drop for ConnectionGuard {
            fn drop(&mut self) {
                let server = &mut lock(&self.0.state).server;
                if server.epoch() == self.1 {
                    server.disconnect(self.0.shared.clock.now());
                }
            }
        }
        let epoch = lock(&self.state).server.epoch();
        let _guard = ConnectionGuard(self.clone(), epoch);
        let _ = stream.set_nodelay(true);
        let first_request = AtomicBool::new(true);
        let service =
            service_fn(|request| self.handle(request, first_request.swap(false, Ordering::Relaxed)));
        // Connection errors are ignored here: they show in the outcome of the request.
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        new_connection: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let respond = |status: StatusCode, text: &str| {
            let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
            *response.status_mut() = status;
            Ok(response)
        };
        let Some(id) = head.headers.get("x-call-id") else {
            return respond(StatusCode::NOT_FOUND, "no id");
        };
        let id = id.to_str().ok().and_then(|text| u64::from_str_radix(text, 16).ok());
        let Some((id, info)) = id.and_then(|id| Some((id, *lock(&self.shared.tracker).requests.get(&id)?)))
        else {
            lock(&self.shared.tracker).invariants.record_check(Rule::KnownOnly);
            let detail = format!("{} received a request id that no client has sent", self.uid());
            self.shared.record_violation(
                Rule::KnownOnly,
                format!("{:?}", head.headers.get("x-call-id")),
                detail,
            );
            return respond(StatusCode::BAD_REQUEST, "unknown id");
        };
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return respond(StatusCode::BAD_REQUEST, "the body did not arrive");
        }
        let (response, delay) = self.process(id, info, new_connection).await;
        self.network_delay(delay).await;
        Ok(response)
    }

    /// Waits for the network delay of a message. Delays below the timer resolution of the runtime are skipped.
    async fn network_delay(&self, delay: Nanos) {
        if delay >= MS {
            tokio::time::sleep(Duration::from_nanos(delay)).await;
        }
    }

    async fn process(
        &self,
        id: u64,
        info: RequestInfo,
        new_connection: bool,
    ) -> (Response<Full<Bytes>>, Nanos) {
        let shared = &self.shared;
        let spec = shared.world.servers[self.server_index].spec;
        let delay = shared.world.one_way_delay(shared.world.nodes[info.node].zone, spec.zone);
        let now = shared.clock.now();
        let notified_drain = lock(&shared.notified_drains[info.node]).get(&self.instance).copied();
        let attempt = lock(&shared.tracker).invariants.attempt_arrived(
            id,
            self.instance,
            spec.cell,
            notified_drain,
            now,
        );
        let job = self.next_job.fetch_add(1, Ordering::Relaxed);
        let mut guard = AttemptGuard { app_server: self, id, attempt, job, ran: true };
        self.network_delay(if new_connection { 4 * delay } else { delay }).await;
        let (sender, receiver) = oneshot::channel();
        let (admission, is_duplicate) = {
            let now = shared.clock.now();
            let mut state = lock(&self.state);
            let (had_crashed, in_slow_start) =
                (state.server.has_crashed(), state.server.capacity_share(now) < 1.0);
            let failure_draw = state.rng.random();
            let RequestInfo { work, io_wait, not_after, dedup_key: key, .. } = info;
            let key = key.map(|(key, window)| (DedupKey { cell: spec.cell, key }, window));
            // With a real registry the rig cannot see when a node was notified: nodes count as notified at once.
            let known_start = match shared.world.replicas {
                0 => lock(&shared.notified_starts[info.node]).get(&self.instance).copied(),
                _ => state.server.started_at(),
            };
            let mut tracker = lock(&shared.tracker);
            let is_duplicate = state.server.would_respond(failure_draw)
                && key.is_some_and(|(key, _)| tracker.dedup.is_duplicate(key, now));
            let admission = if is_duplicate {
                Admission::Accepted
            } else {
                let job = Job { id: job, sender: 0, work, io_wait, not_after, failure_draw, known_start };
                state.server.submit(now, job, new_connection)
            };
            match key {
                _ if admission != Admission::Accepted => {}
                // The group has run or is running the request already: it gets a response without running again.
                _ if is_duplicate => drop(sender.send(JobOutcome::Served)),
                Some((key, window)) => {
                    tracker.dedup.insert(key, (self.instance, job), window, now);
                    state.pending.insert(job, sender);
                }
                None => drop(state.pending.insert(job, sender)),
            }
            drop(tracker);
            let crashed = state.server.has_crashed() && !had_crashed;
            let informed = state.server.overloaded_by_informed_senders();
            drop(state);
            if in_slow_start {
                lock(&shared.tracker).invariants.record_check(Rule::ColdSpared);
            }
            if crashed {
                lock(&shared.tracker).invariants.server_crashed(&self.uid(), informed, shared.clock.now());
                self.host_state.send_replace(HostState::Down);
            }
            (admission, is_duplicate)
        };
        if is_duplicate {
            lock(&shared.stats).duplicates_dropped += 1;
        }
        self.wake.notify_one();
        let outcome = match admission {
            Admission::Accepted => receiver.await.ok(),
            Admission::Full => Some(JobOutcome::Dropped),
            Admission::Failed => Some(JobOutcome::Error),
            Admission::Down => None,
        };
        // The process has ended or the host is unreachable: no response, and the connection is closed or left silent.
        if outcome.is_none() || *self.host_state.borrow() == HostState::Unreachable {
            std::future::pending::<()>().await;
        }
        let (status, text) = match outcome {
            Some(JobOutcome::Served) => (StatusCode::OK, format!("done by {}\n", self.uid())),
            Some(JobOutcome::Dropped) => (StatusCode::SERVICE_UNAVAILABLE, "full\n".to_owned()),
            _ => (StatusCode::INTERNAL_SERVER_ERROR, "failed\n".to_owned()),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            guard.ran = false;
            response.headers_mut().insert("x-rejected", hyper::header::HeaderValue::from_static("1"));
        }
        if let Some(util) = self.report()
            && let Ok(value) = hyper::header::HeaderValue::from_str(&json!({"util": util}).to_string())
        {
            response.headers_mut().insert("x-load-report", value);
        }
        (response, delay)
    }

    fn report(&self) -> Option<f64> {
        use rand_distr::Distribution;
        let mut state = lock(&self.state);
        state.server.spec().reporting?;
        let noise = rand_distr::StandardNormal.sample(&mut state.rng);
        state.server.report(self.shared.clock.now(), noise)
    }

    /// Completes the pending requests of jobs that have ended in the model; runs until the runtime shuts down.
    async fn complete_jobs(self: Arc<Self>) {
        let mut ended_jobs = Vec::new();
        loop {
            let next = lock(&self.state).server.next_event();
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.shared.clock.sleep_until(next.unwrap_or(Nanos::MAX / 2)) => {}
            }
            let mut state = lock(&self.state);
            state.server.advance(self.shared.clock.now(), &mut ended_jobs);
            let mut tracker = lock(&self.shared.tracker);
            for (job, outcome) in ended_jobs.drain(..) {
                tracker.dedup.job_ended((self.instance, job.id), outcome == JobOutcome::Served);
                if let Some(sender) = state.pending.remove(&job.id) {
                    // The receiver may have been dropped meanwhile.
                    let _ = sender.send(outcome);
                }
            }
        }
    }
}

/// Unique id of an instance in the backend list.
pub fn uid(instance: u32) -> String {
    format!("s{instance}")
}

/// Records the end of an attempt when it is dropped, with the response or with the connection.
struct AttemptGuard<'a> {
    app_server: &'a AppServer,
    id: u64,
    attempt: Option<usize>,
    job: u64,
    ran: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.app_server.shared.clock.now();
        let cancelled = {
            let mut state = lock(&self.app_server.state);
            // Still pending: the connection ended before the job.
            let cancelled = state.pending.remove(&self.job).is_some() && state.server.cancel(now, self.job);
            if cancelled {
                lock(&self.app_server.shared.tracker)
                    .dedup
                    .job_ended((self.app_server.instance, self.job), false);
            }
            cancelled
        };
        if let Some(attempt) = self.attempt {
            lock(&self.app_server.shared.tracker).invariants.attempt_ended(
                self.id,
                attempt,
                self.ran && !cancelled,
                now,
            );
        }
    }
}
